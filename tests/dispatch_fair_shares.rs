//! Queues of one priority that compete for a full service, and wide tasks among narrow ones.

use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_core::Code;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Submission;
use goldcrestway_dispatch::TaskId;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Workers of 8 cores each, so that 32 tasks of one core run at the same time.
const WORKERS: usize = 4;
/// Duration of a narrow task.
const WORK_MS: u64 = 1_000;
/// Longest wait after which such a task ends in time: callers allow twice its work and half a second.
const IN_TIME_MS: u64 = 1_500;
/// First job of the queue that bursts; the other one's are below.
const FIRST_OF_BURST: u64 = 0x1_0000;

fn job_of(queue: &str, steps: Vec<Step>) -> Submission {
    Submission {
        queue: queue.into(),
        ..job(steps)
    }
}

/// Submits jobs of four tasks each for a time: of the queue `even` one each 400 to 900 ms, which is a
/// fifth of the service, and of the queue `burst` as many as given. Returns the jobs of `even`.
fn load(fleet: &mut Fleet, random: &mut Pcg64, bursts_per_s: f64, ms: u64) -> Vec<u64> {
    let mut even = Vec::new();
    let mut next_ms = fleet.now_ms;
    for _ in 0..ms / 50 {
        let id = fleet.now_ms;
        if id >= next_ms {
            next_ms += random.random_range(400..900);
            fleet.submit(0, id, &job_of("even", vec![step(4, WORK_MS, &[])]));
            even.push(id);
        }
        if random.random_bool(bursts_per_s / 20.0) {
            let submission = job_of("burst", vec![step(4, WORK_MS, &[])]);
            fleet.submit(0, FIRST_OF_BURST + id, &submission);
        }
        fleet.run(50);
    }
    even
}

/// Returns how long each task of some jobs has waited for its first start, in milliseconds, in
/// ascending order. Jobs are named by the time of their submission.
fn waits_ms(fleet: &Fleet, jobs: &[u64]) -> Vec<u64> {
    let mut waits_ms = Vec::new();
    for id in jobs {
        for index in 0..4 {
            let task = TaskId {
                job: JobId(*id),
                occurrence: 0,
                step: 0,
                index,
            };
            let started_ms = fleet.promises.first_starts_ms.get(&task);
            waits_ms.push(started_ms.unwrap_or(&fleet.now_ms) - *id);
        }
    }
    waits_ms.sort_unstable();
    waits_ms
}

/// Guards against a queue that waits because another one of its priority bursts: ordered by objective
/// alone, jobs that need a fifth of the service wait for seconds behind three times what fits.
#[gtest]
fn a_burst_of_one_queue_does_not_delay_another_of_its_priority() {
    for seed in 0..4 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut fleet = Fleet::new(3, WORKERS);
        load(&mut fleet, &mut random, 6.0, 5_000);
        let even = load(&mut fleet, &mut random, 19.0, 10_000);
        fleet.run(3_000);
        let waits_ms = waits_ms(&fleet, &even);
        let wait_ms = waits_ms[waits_ms.len() * 95 / 100];
        expect_that!(wait_ms, le(IN_TIME_MS), "seed {seed}");
        expect_that!(fleet.note_counts.get(&Code::QueueHeldBack), some(ge(&1)));
        expect_that!(fleet.promises.broken, is_empty(), "seed {seed}");
    }
}

/// Guards against shares that are lost with the owner. It is killed in the middle of a burst; the
/// next one holds the burst back from the first seconds on, and knows what each queue has had.
#[gtest]
fn the_next_owner_continues_the_shares() {
    for seed in 0..4 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut fleet = Fleet::new(3, WORKERS);
        load(&mut fleet, &mut random, 19.0, 10_000);
        let killed = owner(&fleet);
        let usage_ppm = |fleet: &Fleet, queue: &str| {
            let shares = fleet.queue_shares(owner(fleet));
            let share = shares.iter().find(|share| *share.queue == *queue);
            share.map_or(0, |share| share.usage_ppm)
        };
        let before_ppm = usage_ppm(&fleet, "burst");
        expect_that!(before_ppm, ge(300_000), "seed {seed}");
        fleet.kill(killed);
        while fleet.owner().is_none() {
            fleet.run(50);
        }
        fleet.run(1_000);
        expect_that!(
            usage_ppm(&fleet, "burst"),
            ge(before_ppm / 2),
            "seed {seed}"
        );
        fleet.start(killed);
        fleet.run(1_000);
        let even = load(&mut fleet, &mut random, 19.0, 10_000);
        fleet.run(3_000);
        let waits_ms = waits_ms(&fleet, &even);
        let wait_ms = waits_ms[waits_ms.len() * 95 / 100];
        expect_that!(wait_ms, le(IN_TIME_MS), "seed {seed}");
        expect_that!(fleet.promises.broken, is_empty(), "seed {seed}");
    }
}

/// Bound on the wait of a wide task: a quarter of the 4.5 s that its caller allows, until the narrow
/// ones at one worker have ended, twice as long as they take, and half a second for the next passes.
const MAX_WIDE_WAIT_MS: u64 = 4_500 / 4 + 2 * WORK_MS + 500;

/// A wide step among narrow tasks.
struct Wide {
    name: &'static str,
    step: Step,
}

fn wide_steps() -> Vec<Wide> {
    vec![
        Wide {
            name: "a task of nearly a whole worker",
            step: Step {
                cpu_milli: 7_000,
                ..step(1, 2_000, &[])
            },
        },
        Wide {
            name: "a gang of a quarter of the service",
            step: Step {
                cpu_milli: 4_000,
                is_gang: true,
                ..step(2, 2_000, &[])
            },
        },
    ]
}

/// Guards against a wide task that is passed over for as long as narrow ones wait. Narrow tasks are
/// submitted faster than they end, and each that ends makes room for the next. The wide one must
/// start within its bound.
#[gtest]
fn a_wide_task_among_narrow_ones_starts_within_its_bound() {
    for wide in wide_steps() {
        for seed in 0..4 {
            let mut random = Pcg64::seed_from_u64(seed);
            let mut fleet = Fleet::new(3, WORKERS);
            let narrow = job_of("burst", vec![step(1, WORK_MS, &[])]);
            let mut id = FIRST_OF_BURST;
            let mut submit_narrow = |fleet: &mut Fleet, ms: u64| {
                for _ in 0..ms / 20 {
                    id += 1;
                    fleet.submit(0, id, &narrow);
                    if random.random_bool(0.5) {
                        id += 1;
                        fleet.submit(1, id, &narrow);
                    }
                    fleet.run(20);
                }
            };
            submit_narrow(&mut fleet, 3_000);
            let submitted_ms = fleet.now_ms;
            fleet.submit(0, 1, &job_of("burst", vec![wide.step.clone()]));
            submit_narrow(&mut fleet, 8_000);
            let mut starts = fleet.promises.first_starts_ms.iter();
            let start = starts.find(|(task, _)| task.job == JobId(1));
            let wait_ms = start.map(|(_, started_ms)| started_ms - submitted_ms);
            expect_that!(
                wait_ms,
                some(le(MAX_WIDE_WAIT_MS)),
                "{}, seed {seed}",
                wide.name
            );
            expect_that!(fleet.note_counts.get(&Code::RoomKept), some(ge(&1)));
            expect_that!(fleet.promises.broken, is_empty(), "{}", wide.name);
        }
    }
}

/// Guards against a wide task that is passed over without end where owners change, as kept room is
/// not on record. The owner is lost while room is kept. The next one begins within six seconds, and
/// the bound counts from then on.
#[gtest]
fn a_wide_task_starts_although_the_owner_is_lost() {
    let mut fleet = Fleet::new(3, WORKERS);
    let mut jobs = FIRST_OF_BURST..;
    let narrow = job_of("burst", vec![step(1, WORK_MS, &[])]);
    let mut submit_narrow = |fleet: &mut Fleet, ms: u64| {
        for (_, id) in (0..ms / 15).zip(&mut jobs) {
            let host = (0..3).find(|host| fleet.is_ready(*host)).unwrap_or(0);
            fleet.submit(host, id, &narrow);
            fleet.run(15);
        }
    };
    submit_narrow(&mut fleet, 3_000);
    let wide = &wide_steps()[0].step;
    fleet.submit(0, 1, &job_of("burst", vec![wide.clone()]));
    while !fleet.note_counts.contains_key(&Code::RoomKept) && fleet.now_ms < 20_000 {
        submit_narrow(&mut fleet, 15);
    }
    let killed = owner(&fleet);
    fleet.kill(killed);
    submit_narrow(&mut fleet, 6_000);
    let begun_ms = fleet.now_ms;
    submit_narrow(&mut fleet, 6_000);
    let mut starts = fleet.promises.first_starts_ms.iter();
    let start = starts.find(|(task, _)| task.job == JobId(1));
    let wait_ms = start.map(|(_, started_ms)| started_ms.saturating_sub(begun_ms));
    expect_that!(wait_ms, some(le(MAX_WIDE_WAIT_MS)));
    expect_that!(fleet.promises.broken, is_empty());
}

/// Guards against urgent work that waits for room that is kept for less urgent work.
#[gtest]
fn urgent_tasks_start_in_kept_room() {
    let mut fleet = Fleet::new(3, 1);
    let low = |steps| Submission {
        priority: 2,
        ..job_of("low", steps)
    };
    fleet.submit(0, 2, &low(vec![step(4, 20_000, &[])]));
    fleet.submit(0, 3, &low(vec![step(3, 1_500, &[])]));
    fleet.run(200);
    let wide = Step {
        cpu_milli: 4_000,
        ..step(1, 2_000, &[])
    };
    fleet.submit(0, 1, &low(vec![wide]));
    fleet.run(500);
    // One core is free, so this one passes the wide task over.
    fleet.submit(0, 4, &low(vec![step(1, 10_000, &[])]));
    fleet.run(2_000);
    expect_that!(fleet.note_counts.get(&Code::RoomKept), some(eq(&1)));
    fleet.submit(0, 5, &low(vec![step(1, 500, &[])]));
    fleet.submit(0, 6, &job_of("urgent", vec![step(1, 500, &[])]));
    fleet.run(300);
    let has_started = |id: u64| {
        let mut tasks = fleet.promises.first_starts_ms.keys();
        tasks.any(|task| task.job == JobId(id))
    };
    expect_true!(has_started(6));
    expect_false!(has_started(5));
    expect_that!(fleet.promises.broken, is_empty());
}

/// Guards against narrow tasks that don't start though most of the service is idle, as room is kept
/// on all workers for a gang that has to wait for long tasks there.
#[gtest]
fn narrow_tasks_start_in_a_half_empty_service_whatever_is_kept() {
    let mut fleet = Fleet::new(3, WORKERS);
    let spread = Step {
        max_per_worker: 1,
        ..step(WORKERS as u32, 25_000, &[])
    };
    fleet.submit(0, 2, &job_of("burst", vec![spread]));
    fleet.run(200);
    let gang = Step {
        cpu_milli: 8_000,
        is_gang: true,
        ..step(WORKERS as u32, 1_000, &[])
    };
    fleet.submit(0, 1, &job_of("burst", vec![gang]));
    fleet.run(200);
    let mut waits_ms = Vec::new();
    for id in 10..60 {
        let submitted_ms = fleet.now_ms;
        fleet.submit(0, id, &job_of("burst", vec![step(1, 100, &[])]));
        fleet.run(400);
        let task = TaskId {
            job: JobId(id),
            occurrence: 0,
            step: 0,
            index: 0,
        };
        if !fleet.promises.first_starts_ms.contains_key(&task) {
            fleet.run(3_000);
        }
        let started_ms = fleet.promises.first_starts_ms.get(&task);
        waits_ms.push(started_ms.map_or(u64::MAX, |ms| ms - submitted_ms));
    }
    expect_that!(fleet.note_counts.get(&Code::RoomKept), some(ge(&1)));
    expect_that!(waits_ms.iter().max(), some(le(&3_000)));
    expect_that!(fleet.promises.broken, is_empty());
}

/// Guards against room that stays kept after the job that waited for it is cancelled, and against
/// room that is kept where nothing has passed the job over.
#[gtest]
fn kept_room_is_released_with_its_job() {
    let mut fleet = Fleet::new(3, WORKERS);
    fleet.submit(0, 2, &job_of("burst", vec![step(32, 6_000, &[])]));
    fleet.run(200);
    let wide = Step {
        cpu_milli: 7_000,
        ..step(4, 2_000, &[])
    };
    fleet.submit(0, 1, &job_of("burst", vec![wide]));
    fleet.run(5_000);
    expect_that!(fleet.note_counts.get(&Code::RoomKept), none());
    // Two of the narrow tasks end, and narrow ones take their place.
    fleet.cancel(0, 2);
    fleet.submit(0, 3, &job_of("burst", vec![step(40, 3_000, &[])]));
    fleet.run(1_000);
    fleet.cancel(0, 1);
    fleet.run(5_000);
    let narrow = fleet
        .promises
        .starts
        .iter()
        .filter(|start| start.1.job == JobId(3));
    expect_that!(narrow.count(), eq(40));
    expect_that!(fleet.promises.broken, is_empty());
}

/// Guards against memory that grows with the names of queues where shares are off, as nothing then
/// forgets queues without jobs.
#[gtest]
fn no_queue_is_remembered_where_shares_are_off() {
    let mut fleet = Fleet::new(3, WORKERS);
    fleet.policy.fair_shares = false;
    for number in 0..3 {
        fleet.kill(number);
        fleet.start(number);
    }
    fleet.run(10_000);
    for id in 1..=40 {
        let queue = format!("queue-{id}");
        fleet.submit(0, id, &job_of(&queue, vec![step(1, 100, &[])]));
    }
    fleet.run(3_000);
    expect_that!(fleet.state(0, 40), some(eq(JobState::Completed)));
    expect_that!(fleet.queue_shares(owner(&fleet)), is_empty());
}

/// Guards against a wide task that is never considered, as more urgent gangs that will never fit are
/// considered each time.
#[gtest]
fn a_wide_task_starts_behind_gangs_that_never_fit() {
    let mut fleet = Fleet::new(3, WORKERS);
    let gang = Step {
        cpu_milli: 8_000,
        is_gang: true,
        ..step(WORKERS as u32 + 1, 2_000, &[])
    };
    for id in 2..8 {
        fleet.submit(0, id, &job_of("burst", vec![gang.clone()]));
    }
    let low = |steps| Submission {
        priority: 2,
        ..job_of("low", steps)
    };
    let narrow = low(vec![step(1, WORK_MS, &[])]);
    let mut jobs = FIRST_OF_BURST..;
    let mut submit_narrow = |fleet: &mut Fleet, ms: u64| {
        for (_, id) in (0..ms / 20).zip(&mut jobs) {
            fleet.submit(0, id, &narrow);
            fleet.run(20);
        }
    };
    submit_narrow(&mut fleet, 2_000);
    let submitted_ms = fleet.now_ms;
    let wide = wide_steps()[0].step.clone();
    fleet.submit(0, 1, &low(vec![wide]));
    submit_narrow(&mut fleet, 8_000);
    let mut starts = fleet.promises.first_starts_ms.iter();
    let start = starts.find(|(task, _)| task.job == JobId(1));
    let wait_ms = start.map(|(_, started_ms)| started_ms - submitted_ms);
    expect_that!(wait_ms, some(le(MAX_WIDE_WAIT_MS + 1_000)));
    expect_that!(fleet.promises.broken, is_empty());
}

/// Guards against room that is kept on a worker that already runs as many tasks of the step as it may.
#[gtest]
fn no_room_is_kept_where_a_step_has_all_of_its_tasks() {
    let mut fleet = Fleet::new(3, 2);
    let low = |steps| job_of("low", steps);
    // The second worker never has room for the second task of the step.
    let long = Step {
        cpu_milli: 6_000,
        ..step(1, 60_000, &[])
    };
    fleet.submit(0, 2, &low(vec![long]));
    fleet.run(200);
    let spread = Step {
        cpu_milli: 4_000,
        max_per_worker: 1,
        ..step(2, 30_000, &[])
    };
    fleet.submit(0, 1, &low(vec![spread]));
    fleet.run(200);
    for id in 10..60 {
        fleet.submit(0, id, &low(vec![step(4, 300, &[])]));
        fleet.run(400);
    }
    expect_that!(fleet.note_counts.get(&Code::RoomKept), none());
    expect_that!(fleet.state(0, 59), some(eq(JobState::Completed)));
    expect_that!(fleet.promises.broken, is_empty());
}

/// Guards against room that is kept all the time for a gang whose workers come and go: after a worker
/// is lost, none is kept for as long as it was before.
#[gtest]
fn a_lost_worker_does_not_make_kept_room_last() {
    let mut fleet = Fleet::new(3, 5);
    let long = Step {
        cpu_milli: 5_000,
        max_per_worker: 1,
        ..step(5, 15_000, &[])
    };
    fleet.submit(0, 2, &job_of("burst", vec![long]));
    fleet.run(200);
    let gang = Step {
        cpu_milli: 8_000,
        is_gang: true,
        ..step(4, 1_000, &[])
    };
    fleet.submit(0, 1, &job_of("burst", vec![gang]));
    let narrow = job_of("burst", vec![step(1, 100, &[])]);
    let mut jobs = FIRST_OF_BURST..;
    let mut submit_narrow = |fleet: &mut Fleet, ms: u64| {
        for (_, id) in (0..ms / 100).zip(&mut jobs) {
            fleet.submit(0, id, &narrow);
            fleet.run(100);
        }
    };
    submit_narrow(&mut fleet, 5_000);
    expect_that!(fleet.note_counts.get(&Code::RoomKept), some(eq(&1)));
    fleet.crash("10.0.0.0:80");
    submit_narrow(&mut fleet, 1_500);
    expect_that!(fleet.note_counts.get(&Code::RoomKept), some(eq(&1)));
    expect_that!(fleet.promises.broken, is_empty());
}
