//! What keeps a task from its start: that it is told, and that none of it lasts once its cause is
//! over.

use crate::dispatch::JOB;
use crate::fleet::Behaviour;
use crate::fleet::Fleet;
use crate::fleet::WORKER_RESOURCES;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Resources;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::TaskId;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Time in which a job must have begun for which there is room: one that could run and does not for
/// longer counts as lost.
const BEGUN_MS: u64 = 3_000;

/// Time for which a job waits before its cause ends.
const WATCHED_MS: u64 = 6_000;

/// Something that keeps a job from its start.
struct Case {
    name: &'static str,
    /// What brings it about, before the job comes.
    cause: fn(&mut Fleet),
    step: Step,
    /// What must be told of the wait.
    told: &'static str,
    /// What ends it.
    end: fn(&mut Fleet),
    /// Time after that in which the job must have ended.
    ends_within_ms: u64,
}

/// Gives a step of so many tasks, which each take most of a worker.
const fn wide(count: u32) -> Step {
    Step {
        count,
        cpu_milli: 7_000,
        memory_mb: 1_000,
        accelerators: 0,
        estimated_ms: 300,
        after: Vec::new(),
        writes_checkpoints: false,
        is_gang: false,
        is_rack_sensitive: false,
        label: String::new(),
        data_rack: String::new(),
        max_per_worker: 0,
        is_speculative: false,
        is_long_running: false,
        image: String::new(),
        tail_latency_target_ms: 0,
        is_best_effort: false,
        max_unavailable: 0,
    }
}

fn addresses(fleet: &Fleet) -> Vec<Box<str>> {
    fleet.workers.keys().cloned().collect()
}

fn set_manners(fleet: &mut Fleet, behaviour: Behaviour) {
    for worker in fleet.workers.values_mut() {
        worker.behaviour = behaviour;
    }
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "all room is taken",
            cause: |fleet| {
                fleet.submit(0, JOB + 1, &job(vec![step(16, 8_000, &[])]));
                fleet.run(200);
            },
            step: wide(2),
            told: "open=0 room_for=0 Room=2",
            end: |fleet| fleet.run(4_000),
            ends_within_ms: BEGUN_MS,
        },
        Case {
            name: "workers that failed tasks are left alone",
            cause: |fleet| {
                let spread = Step {
                    max_per_worker: 4,
                    ..step(8, 300, &[])
                };
                set_manners(fleet, Behaviour::Fails);
                fleet.submit(0, JOB + 1, &job(vec![spread]));
                fleet.run(30);
                set_manners(fleet, Behaviour::Healthy);
            },
            step: wide(2),
            told: "Shunned=2",
            end: |_| {},
            ends_within_ms: BEGUN_MS,
        },
        Case {
            name: "workers are cut off",
            cause: |fleet| {
                fleet.cut_workers = addresses(fleet);
                fleet.run(2_000);
            },
            step: wide(2),
            told: "Silent=2",
            end: |fleet| fleet.cut_workers.clear(),
            ends_within_ms: BEGUN_MS,
        },
        Case {
            name: "workers have started again and not reported themselves",
            cause: |fleet| {
                fleet.keep_ids(true);
                fleet.set_restart_delay_ms(50);
                fleet.set_report_ms(6_000);
                for address in addresses(fleet) {
                    fleet.crash(&address);
                }
                fleet.run(500);
            },
            step: wide(2),
            told: "Unreported=2",
            end: |fleet| fleet.run(1_500),
            ends_within_ms: BEGUN_MS,
        },
        Case {
            name: "all workers are about to leave",
            cause: |fleet| {
                for address in addresses(fleet) {
                    fleet.announce_leave(&address);
                }
                fleet.run(1_000);
            },
            step: wide(2),
            told: "Leaving=2",
            end: |fleet| {
                for (number, address) in addresses(fleet).iter().enumerate() {
                    fleet.add_worker(address, &format!("next-{number}"));
                }
            },
            ends_within_ms: BEGUN_MS,
        },
        Case {
            name: "rooms have shrunk",
            cause: |fleet| {
                let resources = Resources {
                    cpu_milli: 2_000,
                    ..WORKER_RESOURCES
                };
                for address in addresses(fleet) {
                    fleet.resize(&address, resources);
                }
                fleet.run(2_000);
            },
            step: wide(2),
            told: "open=0 room_for=0 Room=2",
            end: |fleet| {
                for address in addresses(fleet) {
                    fleet.resize(&address, WORKER_RESOURCES);
                }
                fleet.run(1_500);
            },
            ends_within_ms: BEGUN_MS,
        },
        Case {
            name: "no worker has the label",
            cause: |_| {},
            step: Step {
                label: "a label".into(),
                ..wide(1)
            },
            told: "Label=2",
            end: |fleet| _ = fleet.cancel(0, JOB),
            ends_within_ms: 500,
        },
        Case {
            name: "each worker has as many tasks of the step as it may",
            cause: |_| {},
            step: Step {
                max_per_worker: 1,
                cpu_milli: 1_000,
                estimated_ms: 5_000,
                ..wide(3)
            },
            told: "Spread=2",
            end: |fleet| fleet.run(5_000),
            ends_within_ms: 6_000,
        },
        Case {
            name: "a gang that finds room for some of its members",
            cause: |fleet| {
                fleet.submit(0, JOB + 1, &job(vec![step(4, 8_000, &[])]));
                fleet.run(200);
            },
            step: Step {
                is_gang: true,
                ..wide(2)
            },
            told: "open=1 room_for=1",
            end: |fleet| fleet.run(4_000),
            ends_within_ms: BEGUN_MS,
        },
        Case {
            name: "its pause after it has failed",
            cause: |fleet| {
                fleet.promises.faulty.insert(JobId(JOB));
            },
            step: wide(1),
            told: "why=Pause",
            end: |fleet| fleet.promises.faulty.clear(),
            ends_within_ms: 8_000 + BEGUN_MS,
        },
    ]
}

/// Symptom: nobody can tell from logs why a task does not run, or a job does not go on when what
/// kept it is over.
#[gtest]
fn a_wait_is_told_and_ends_with_its_cause() {
    for case in cases() {
        let mut fleet = Fleet::new(3, 2);
        (case.cause)(&mut fleet);
        fleet.submit(0, JOB, &job(vec![case.step.clone()]));
        fleet.run(WATCHED_MS);
        let own = format!("TaskWaits {:016x}.", JOB);
        let lines = fleet.log_lines.iter();
        let mut waits = lines.filter(|line| line.contains(&own));
        expect_true!(
            waits.any(|line| line.contains(case.told)),
            "{}: {:#?}",
            case.name,
            fleet.log_lines
        );
        (case.end)(&mut fleet);
        fleet.run(case.ends_within_ms);
        let wanted = match fleet.promises.cancelled.is_empty() {
            true => JobState::Completed,
            false => JobState::Cancelled,
        };
        let state = fleet.state(0, JOB);
        expect_that!(
            state,
            some(eq(wanted)),
            "{}: {:#?}",
            case.name,
            fleet.log_lines
        );
    }
}

/// Workers of the larger fleet, and members of a gang that needs most of each.
const WORKERS: usize = 14;
const MEMBERS: u32 = 12;

/// Disturbs hosts and workers, and hands in small jobs.
fn disturb(fleet: &mut Fleet, random: &mut Pcg64, jobs: &mut u64) {
    let host = random.random_range(0..3);
    let all = addresses(fleet);
    let address = &all[random.random_range(0..WORKERS)];
    fleet.keep_ids(random.random_range(0..3) > 0);
    fleet.set_restart_delay_ms([5, 400, 3_400][random.random_range(0..3)]);
    match random.random_range(0..8) {
        0 => {
            fleet.kill(host);
            fleet.start(host);
        }
        1 => fleet.cut_workers = vec![address.clone()],
        2 => fleet.cut_workers.clear(),
        3 => fleet.order_delay_ms = Some(random.random_range(500..3_000)),
        4 => fleet.order_delay_ms = None,
        5 => fleet.stop(host),
        _ => {
            for address in &all {
                if random.random_range(0..3) == 0 {
                    fleet.crash(address);
                }
            }
        }
    }
    for _ in 0..3 {
        *jobs += 1;
        let count = random.random_range(1..10);
        let gang = Step {
            is_gang: random.random_range(0..4) == 0,
            ..step(count, random.random_range(100..2_000), &[])
        };
        let submission = job(vec![gang, step(3, 300, &[0])]);
        fleet.submit(host, *jobs, &submission);
        if random.random_range(0..5) == 0 {
            fleet.cancel(host, *jobs);
        }
    }
    fleet.run(random.random_range(100..1_200));
}

/// Guards against work that could run and doesn't: once faults have ended and room is free, all
/// that can run has begun within three seconds, gangs that need nearly whole hosts among them.
#[gtest]
fn all_that_can_run_runs_once_faults_have_ended() {
    for seed in 0..20 {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut fleet = Fleet::new(3, WORKERS);
        let mut jobs = 0;
        for _ in 0..12 {
            disturb(&mut fleet, &mut random, &mut jobs);
        }
        fleet.order_delay_ms = None;
        fleet.cut_workers.clear();
        for host in 0..3 {
            fleet.kill(host);
            fleet.start(host);
        }
        // Leases must run out first.
        fleet.run(25_000);
        let first_ms = fleet.now_ms;
        let gang = Step {
            is_gang: true,
            ..wide(MEMBERS)
        };
        fleet.submit(0, JOB, &job(vec![gang, step(4, 300, &[0])]));
        fleet.submit(1, JOB + 1, &job(vec![step(8, 300, &[]), wide(2)]));
        fleet.run(BEGUN_MS);
        let begun = |task: TaskId| fleet.promises.starts.iter().any(|start| start.1 == task);
        for job in [JOB, JOB + 1] {
            let task = TaskId {
                job: JobId(job),
                occurrence: 0,
                step: 0,
                index: 0,
            };
            expect_true!(
                begun(task),
                "seed {seed}, since {first_ms}: {:#?}",
                fleet.log_lines
            );
        }
        fleet.run(4_000);
        expect_that!(fleet.promises.broken, is_empty(), "seed {seed}");
        for id in (1..=jobs).chain([JOB, JOB + 1]) {
            let state = fleet.state(0, id);
            let is_stored = fleet.promises.accepted.contains(&JobId(id));
            let is_cancelled = fleet.promises.cancelled.contains(&JobId(id));
            let is_given_up = state == Some(JobState::Failed) && fleet.promises.may_fail(JobId(id));
            let has_ended = state == Some(JobState::Completed) || is_given_up;
            let is_well = has_ended || is_cancelled || !is_stored;
            expect_true!(
                is_well,
                "seed {seed}: job {id:x} is {state:?}: {:#?}",
                fleet.log_lines
            );
        }
    }
}
