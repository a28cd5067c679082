//! Tests how queues of the same priority share the resources of a service under load.

use goldcrestway_dispatch::Resources;
use goldcrestway_dispatch::policy::Policy;
use goldcrestway_dispatch::policy::fair_shares::FairShares;
use goldcrestway_dispatch::policy::fair_shares::Group;
use goldcrestway_dispatch::policy::fair_shares::HALF_LIFE_MS;
use goldcrestway_dispatch::policy::fair_shares::JobDemand;
use goldcrestway_dispatch::policy::fair_shares::JobKind;
use goldcrestway_dispatch::policy::fair_shares::NEUTRAL_RANK;
use goldcrestway_dispatch::policy::fair_shares::QueueKey;
use goldcrestway_dispatch::policy::ordering::Urgency;
use goldcrestway_dispatch::policy::ordering::WaitingJob;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

pub(crate) const FINITE: JobKind = JobKind {
    is_long_running: false,
    is_best_effort: false,
};
/// Resources of the service: room for a hundred tasks.
const SERVICE: Resources = Resources {
    cpu_milli: 100_000,
    memory_mb: 1_000_000,
    accelerators: 0,
};
const SLOTS: usize = 100;
pub(crate) const TASK: Resources = Resources {
    cpu_milli: 1_000,
    memory_mb: 1_000,
    accelerators: 0,
};
const STEP_MS: u64 = 50;
/// Mean duration of a task, and the time that a caller allows for it.
const WORK_MS: u64 = 2_000;
const ALLOWED_MS: u64 = 6_000;

pub(crate) fn group(priority: u32, kind: JobKind) -> Group {
    Group {
        service: "service".into(),
        priority,
        kind,
    }
}

pub(crate) fn shares() -> FairShares {
    let mut shares = FairShares::default();
    shares.set_resources(BTreeMap::from([("service".into(), SERVICE)]));
    shares
}

/// A job of one task.
struct Job {
    queue: usize,
    arrived_ms: u64,
    started_ms: Option<u64>,
    work_ms: u64,
}

/// Slots of a service, and jobs of queues that wait for them.
struct Load {
    shares: FairShares,
    keys: Vec<QueueKey>,
    jobs: Vec<Job>,
    random: Pcg64,
    now_ms: u64,
    /// Ranks of the queues are ignored.
    ignores_ranks: bool,
    /// Work that each queue submits, as a part of the service.
    demands: Vec<f64>,
    /// Waits of started tasks by queue, in milliseconds.
    waits_ms: Vec<Vec<u64>>,
    rank_changes: usize,
}

impl Load {
    fn new(demands: &[f64], seed: u64, ignores_ranks: bool) -> Self {
        Self {
            shares: shares(),
            keys: Vec::new(),
            jobs: Vec::new(),
            random: Pcg64::seed_from_u64(seed),
            now_ms: 0,
            ignores_ranks,
            demands: demands.to_vec(),
            waits_ms: vec![Vec::new(); demands.len()],
            rank_changes: 0,
        }
    }

    /// Returns the part of the slots that a queue holds.
    fn held(&self, queue: usize) -> f64 {
        let running = self
            .jobs
            .iter()
            .filter(|job| job.queue == queue && job.started_ms.is_some());
        running.count() as f64 / SLOTS as f64
    }

    /// Runs the load, and returns the mean part that each queue has held.
    fn run(&mut self, ms: u64) -> Vec<f64> {
        let mut sums = vec![0.0; self.demands.len()];
        for _ in 0..ms / STEP_MS {
            self.step();
            for (queue, sum) in sums.iter_mut().enumerate() {
                *sum += self.held(queue);
            }
        }
        let steps = (ms / STEP_MS) as f64;
        sums.iter().map(|sum| sum / steps).collect()
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let now_ms = self.now_ms;
        self.jobs.retain(|job| {
            job.started_ms
                .is_none_or(|started_ms| now_ms < started_ms + job.work_ms)
        });
        for queue in 0..self.demands.len() {
            let tasks_per_step =
                self.demands[queue] * SLOTS as f64 * STEP_MS as f64 / WORK_MS as f64;
            let whole = tasks_per_step as u64;
            let has_another = self.random.random_bool(tasks_per_step - whole as f64);
            for _ in 0..whole + u64::from(has_another) {
                let work_ms = self.random.random_range(WORK_MS / 2..WORK_MS * 3 / 2);
                self.jobs.push(Job {
                    queue,
                    arrived_ms: now_ms,
                    started_ms: None,
                    work_ms,
                });
            }
        }
        self.refresh();
        self.place();
    }

    fn refresh(&mut self) {
        let before = self.ranks();
        self.keys.clear();
        for number in 0..self.demands.len() {
            let name = format!("queue-{number}");
            self.keys.push(self.shares.queue(&group(2, FINITE), &name));
        }
        let mut demands = Vec::new();
        for job in &self.jobs {
            let is_running = job.started_ms.is_some();
            demands.push(JobDemand {
                queue: self.keys[job.queue],
                held: TASK.times(u64::from(is_running)),
                waits: !is_running,
            });
        }
        self.shares.refresh(&demands, self.now_ms);
        self.rank_changes += usize::from(before != self.ranks());
    }

    fn ranks(&self) -> Vec<u32> {
        self.keys.iter().map(|key| self.shares.rank(*key)).collect()
    }

    fn place(&mut self) {
        let mut order = Vec::new();
        for (index, job) in self.jobs.iter().enumerate() {
            if job.started_ms.is_some() {
                continue;
            }
            let waiting = WaitingJob {
                priority: 2,
                is_long_running: false,
                rank: match self.ignores_ranks {
                    true => NEUTRAL_RANK,
                    false => self.shares.rank(self.keys[job.queue]),
                },
                has_started: false,
                due_ms: job.arrived_ms + ALLOWED_MS,
                allowed_ms: ALLOWED_MS,
                no_value_after_ms: job.arrived_ms + 10 * ALLOWED_MS,
                remaining_ms: WORK_MS,
            };
            order.push((
                Urgency::new(&waiting, &Policy::default(), self.now_ms),
                index,
            ));
        }
        order.sort_unstable();
        let free = SLOTS - (self.jobs.len() - order.len());
        for (_, index) in order.into_iter().take(free) {
            let job = &mut self.jobs[index];
            job.started_ms = Some(self.now_ms);
            self.waits_ms[job.queue].push(self.now_ms - job.arrived_ms);
        }
    }

    /// Returns the wait of a queue's started tasks, below which 95 of 100 are.
    fn wait_ms(&mut self, queue: usize) -> u64 {
        let waits = &mut self.waits_ms[queue];
        waits.sort_unstable();
        waits[waits.len() * 95 / 100]
    }
}

const SEEDS: std::ops::Range<u64> = 1..5;

/// Guards against a queue that gets resources by the number of its jobs. Load: two queues submit
/// 0.4 of the service each, then one of them three times as much for twenty seconds. Without ranks
/// both wait for seconds; with them, the other still gets its 0.4.
#[gtest]
fn a_burst_of_one_queue_does_not_delay_another_under_its_share() {
    for seed in SEEDS {
        let mut waits_ms = Vec::new();
        for ignores_ranks in [true, false] {
            let mut load = Load::new(&[0.4, 0.4], seed, ignores_ranks);
            load.run(20_000);
            load.demands[1] = 1.2;
            load.waits_ms = vec![Vec::new(); 2];
            let held = load.run(20_000);
            waits_ms.push(load.wait_ms(0));
            if !ignores_ranks {
                expect_that!(held[0], ge(0.36), "seed {seed}");
                expect_that!(held[0] + held[1], ge(0.95), "seed {seed}");
            }
        }
        expect_that!(waits_ms[0], ge(2_000), "seed {seed}, without ranks");
        expect_that!(waits_ms[1], le(500), "seed {seed}, with ranks");
    }
}

/// Guards against queues that take turns by small differences. Load: two queues submit as much as
/// the whole service each, and get half of it each. Their ranks change once in half a second at
/// most; the tasks of a service change twenty times in that time.
#[gtest]
fn queues_with_the_same_usage_keep_their_ranks() {
    for seed in SEEDS {
        let mut load = Load::new(&[1.0, 1.0], seed, false);
        load.run(10_000);
        load.rank_changes = 0;
        let held = load.run(60_000);
        expect_that!(held[0], near(0.5, 0.05), "seed {seed}");
        expect_that!(load.rank_changes, le(60_000 / 500), "seed {seed}");
    }
}

/// Guards against a queue that gets everything that becomes free because it has had nothing for a
/// while. Load: a queue has had the whole service for a minute, and another comes back with as much
/// work. It has its half after a few tasks have ended, and never much more.
#[gtest]
fn a_queue_that_comes_back_does_not_get_everything() {
    for seed in SEEDS {
        let mut load = Load::new(&[1.5, 0.0], seed, false);
        load.run(60_000);
        load.demands[1] = 1.5;
        load.run(4_000);
        expect_that!(load.held(1), ge(0.4), "seed {seed}");
        for _ in 0..40 {
            load.run(500);
            expect_that!(load.held(1), le(0.72), "seed {seed}, {} ms", load.now_ms);
        }
        let held = load.run(60_000);
        expect_that!(held[1], near(0.5, 0.06), "seed {seed}");
    }
}

/// Guards against equal parts of which some are not used. Load: four queues submit 0.1, 0.2, 0.6 and
/// 1.5 of the service: the first two get all they need, the others half of the rest each.
#[gtest]
fn what_small_queues_leave_is_shared_by_the_others() {
    for seed in SEEDS {
        let mut load = Load::new(&[0.1, 0.2, 0.6, 1.5], seed, false);
        load.run(20_000);
        let held = load.run(60_000);
        for (queue, expected) in [0.1, 0.2, 0.35, 0.35].iter().enumerate() {
            expect_that!(held[queue], near(*expected, 0.05), "seed {seed}, {queue}");
        }
    }
}

/// One queue in a table of demands.
struct Row {
    queue: &'static str,
    group: Group,
    held: Resources,
    waits: bool,
}

fn row(queue: &'static str, cpu_milli: u64, memory_mb: u64) -> Row {
    Row {
        queue,
        group: group(2, FINITE),
        held: Resources {
            cpu_milli,
            memory_mb,
            accelerators: 0,
        },
        waits: true,
    }
}

/// Queues with what they hold, and the queues in the order in which they go.
struct Case {
    name: &'static str,
    rows: Vec<Row>,
    /// Queues with the same rank are joined by `=`.
    expected: &'static str,
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "the queue that holds least goes first",
            rows: vec![
                row("a", 60_000, 0),
                row("b", 10_000, 0),
                row("c", 30_000, 0),
            ],
            expected: "b < c < a",
        },
        Case {
            name: "about the same counts as the same",
            rows: vec![row("a", 31_000, 0), row("b", 30_000, 0)],
            expected: "a = b",
        },
        Case {
            name: "a queue counts with the resource of which it holds most",
            rows: vec![row("a", 10_000, 600_000), row("b", 40_000, 40_000)],
            expected: "b < a",
        },
        Case {
            name: "a queue that doesn't wait competes with none",
            rows: vec![
                Row {
                    waits: false,
                    ..row("a", 90_000, 0)
                },
                row("b", 1_000, 0),
            ],
            expected: "a = b",
        },
        Case {
            name: "queues of other priorities don't compete",
            rows: vec![
                Row {
                    group: group(0, FINITE),
                    ..row("a", 90_000, 0)
                },
                row("b", 1_000, 0),
            ],
            expected: "a = b",
        },
        Case {
            name: "jobs of other kinds don't compete",
            rows: vec![
                Row {
                    group: group(
                        2,
                        JobKind {
                            is_best_effort: true,
                            ..FINITE
                        },
                    ),
                    ..row("a", 90_000, 0)
                },
                row("b", 1_000, 0),
            ],
            expected: "a = b",
        },
        Case {
            name: "nothing is held yet",
            rows: vec![row("a", 0, 0), row("b", 0, 0)],
            expected: "a = b",
        },
    ]
}

/// Guards against a queue that goes before others though it holds more, and against ranks where
/// queues don't compete.
#[gtest]
fn queues_go_in_order_of_their_shares() {
    for case in cases() {
        let mut shares = shares();
        let mut demands = Vec::new();
        for row in &case.rows {
            demands.push(JobDemand {
                queue: shares.queue(&row.group, row.queue),
                held: row.held,
                waits: row.waits,
            });
        }
        shares.refresh(&demands, 1_000);
        let mut order = Vec::new();
        for (row, demand) in case.rows.iter().zip(&demands) {
            order.push((shares.rank(demand.queue), row.queue));
        }
        order.sort_unstable();
        let mut text = String::from(order[0].1);
        for pair in order.windows(2) {
            let sign = if pair[0].0 == pair[1].0 { "=" } else { "<" };
            text.push_str(&format!(" {sign} {}", pair[1].1));
        }
        expect_that!(text, eq(case.expected), "{}", case.name);
    }
}

/// Guards against a queue that goes last for long after its burst, and against a past that counts
/// as much as the present.
#[gtest]
fn past_usage_halves_and_counts_little() {
    let mut shares = shares();
    let past = shares.queue(&group(2, FINITE), "past");
    let demand = |queue, tasks| JobDemand {
        queue,
        held: TASK.times(tasks),
        waits: true,
    };
    shares.refresh(&[demand(past, 80)], 0);
    let new = shares.queue(&group(2, FINITE), "new");
    shares.refresh(&[demand(past, 40), demand(new, 40)], 10 * HALF_LIFE_MS);
    let usage_ppm = |shares: &FairShares| -> Vec<u64> {
        shares
            .shares()
            .iter()
            .map(|share| share.usage_ppm)
            .collect()
    };
    // Queues are in the order of their names.
    expect_that!(usage_ppm(&shares), eq(&vec![0, 799_219]));
    let ranks = (shares.rank(new), shares.rank(past));
    expect_that!(ranks, eq((NEUTRAL_RANK, NEUTRAL_RANK + 1)));
    expect_that!(shares.fairness_permille(), eq(500));
    shares.refresh(&[demand(past, 40), demand(new, 40)], 11 * HALF_LIFE_MS);
    expect_that!(usage_ppm(&shares), eq(&vec![200_000, 599_609]));
}

/// Guards against another order of jobs whose queues don't compete: whatever the jobs, the neutral
/// rank orders them by value, priority, lateness, start and objective.
#[gtest]
fn the_neutral_rank_changes_nothing() {
    let mut random = Pcg64::seed_from_u64(7);
    let policy = Policy::default();
    let now_ms = 100_000;
    let mut jobs = Vec::new();
    for _ in 0..500 {
        jobs.push(WaitingJob {
            priority: random.random_range(0..3),
            is_long_running: random.random_bool(0.2),
            rank: NEUTRAL_RANK,
            has_started: random.random_bool(0.5),
            due_ms: now_ms + random.random_range(0..9_000) - 3_000,
            allowed_ms: random.random_range(0..9_000),
            no_value_after_ms: now_ms + random.random_range(0..9_000) - 1_000,
            remaining_ms: random.random_range(0..4_000),
        });
    }
    let mut expected = jobs.clone();
    expected.sort_by_key(|job| {
        let end_ms = now_ms + job.remaining_ms;
        let has_no_value = end_ms > job.no_value_after_ms && !job.is_long_running;
        let is_late = end_ms > job.due_ms && !job.is_long_running;
        let reserve_ms = job.allowed_ms.saturating_sub(job.remaining_ms) / 2;
        let may_be_tight = !job.has_started && !job.is_long_running;
        let is_tight = may_be_tight && end_ms + reserve_ms > job.due_ms;
        let priority = (job.priority, !job.is_long_running);
        (
            has_no_value,
            priority,
            is_late,
            is_tight,
            !job.has_started,
            job.due_ms,
        )
    });
    jobs.sort_by_key(|job| Urgency::new(job, &policy, now_ms));
    let objectives =
        |jobs: &[WaitingJob]| -> Vec<u64> { jobs.iter().map(|job| job.due_ms).collect() };
    expect_that!(objectives(&jobs), eq(&objectives(&expected)));
}
