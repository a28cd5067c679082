//! Reasons why a task waits: each is reported, and each wait ends once its cause has ended.

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
use goldcrestway_dispatch::WaitReason;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

/// Time within which a job must start if its tasks fit. A job that could run and does not start for
/// longer counts as lost.
const MAX_START_MS: u64 = 3_000;

/// Time for which the job waits before the cause of the wait ends.
const WATCHED_MS: u64 = 6_000;

/// A cause that prevents a job from starting.
struct Case {
    name: &'static str,
    /// Brings the cause about, before the job is submitted.
    cause: fn(&mut Fleet),
    step: Step,
    /// Text that the log detail of the wait must contain.
    expected_detail: &'static str,
    /// Ends the cause.
    end: fn(&mut Fleet),
    /// Time after the end of the cause within which the job must have ended.
    ends_within_ms: u64,
}

/// Returns a step of `count` tasks that each need most of a worker.
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
            name: "all resources are in use",
            cause: |fleet| {
                fleet.submit(0, JOB + 1, &job(vec![step(16, 8_000, &[])]));
                fleet.run(200);
            },
            step: wide(2),
            expected_detail: "open=0 room_for=0 Room=2",
            end: |fleet| fleet.run(4_000),
            ends_within_ms: MAX_START_MS,
        },
        Case {
            name: "workers that failed tasks are avoided",
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
            expected_detail: "Shunned=2",
            end: |_| {},
            ends_within_ms: MAX_START_MS,
        },
        Case {
            name: "workers are unreachable",
            cause: |fleet| {
                fleet.cut_workers = addresses(fleet);
                fleet.run(2_000);
            },
            step: wide(2),
            expected_detail: "Silent=2",
            end: |fleet| fleet.cut_workers.clear(),
            ends_within_ms: MAX_START_MS,
        },
        Case {
            name: "workers have restarted and are not listed yet",
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
            expected_detail: "Unreported=2",
            end: |fleet| fleet.run(1_500),
            ends_within_ms: MAX_START_MS,
        },
        Case {
            name: "all workers are draining",
            cause: |fleet| {
                for address in addresses(fleet) {
                    fleet.announce_leave(&address);
                }
                fleet.run(1_000);
            },
            step: wide(2),
            expected_detail: "Leaving=2",
            end: |fleet| {
                for (number, address) in addresses(fleet).iter().enumerate() {
                    fleet.add_worker(address, &format!("next-{number}"));
                }
            },
            ends_within_ms: MAX_START_MS,
        },
        Case {
            name: "workers have reduced resources",
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
            expected_detail: "open=0 room_for=0 Room=2",
            end: |fleet| {
                for address in addresses(fleet) {
                    fleet.resize(&address, WORKER_RESOURCES);
                }
                fleet.run(1_500);
            },
            ends_within_ms: MAX_START_MS,
        },
        Case {
            name: "no worker has the label",
            cause: |_| {},
            step: Step {
                label: "a label".into(),
                ..wide(1)
            },
            expected_detail: "Label=2",
            end: |fleet| _ = fleet.cancel(0, JOB),
            ends_within_ms: 500,
        },
        Case {
            name: "each worker has the maximum number of tasks of the step",
            cause: |_| {},
            step: Step {
                max_per_worker: 1,
                cpu_milli: 1_000,
                estimated_ms: 5_000,
                ..wide(3)
            },
            expected_detail: "Spread=2",
            end: |fleet| fleet.run(5_000),
            ends_within_ms: 6_000,
        },
        Case {
            name: "a gang of which only some members fit",
            cause: |fleet| {
                fleet.submit(0, JOB + 1, &job(vec![step(4, 8_000, &[])]));
                fleet.run(200);
            },
            step: Step {
                is_gang: true,
                ..wide(2)
            },
            expected_detail: "open=1 room_for=1",
            end: |fleet| fleet.run(4_000),
            ends_within_ms: MAX_START_MS,
        },
        Case {
            name: "the delay after a refused run",
            cause: |fleet| {
                fleet.promises.faulty.insert(JobId(JOB));
            },
            step: wide(1),
            expected_detail: "why=Pause",
            end: |fleet| fleet.promises.faulty.clear(),
            ends_within_ms: 8_000 + MAX_START_MS,
        },
    ]
}

/// Guards against logs that don't show why a task does not run, and against jobs that do not
/// continue once the cause of their wait has ended.
#[gtest]
fn a_wait_is_reported_and_ends_with_its_cause() {
    for case in cases() {
        let mut fleet = Fleet::new(3, 2);
        (case.cause)(&mut fleet);
        fleet.submit(0, JOB, &job(vec![case.step.clone()]));
        fleet.run(WATCHED_MS);
        let prefix = format!("TaskWaits {:016x}.", JOB);
        let lines = fleet.log_lines.iter();
        let mut waits = lines.filter(|line| line.contains(&prefix));
        expect_true!(
            waits.any(|line| line.contains(case.expected_detail)),
            "{}: {:#?}",
            case.name,
            fleet.log_lines
        );
        (case.end)(&mut fleet);
        fleet.run(case.ends_within_ms);
        let expected = match fleet.promises.cancelled.is_empty() {
            true => JobState::Completed,
            false => JobState::Cancelled,
        };
        let state = fleet.state(0, JOB);
        expect_that!(
            state,
            some(eq(expected)),
            "{}: {:#?}",
            case.name,
            fleet.log_lines
        );
    }
}

/// Guards against a task that waits for minutes unseen: the oldest wait of each reason is shown, and
/// is none once the task runs.
#[gtest]
fn the_oldest_wait_is_shown_by_its_reason() {
    let mut fleet = Fleet::new(3, 2);
    fleet.cut_workers = addresses(&fleet);
    fleet.run(2_000);
    fleet.submit(0, JOB, &job(vec![wide(2)]));
    fleet.run(WATCHED_MS);
    let owner = fleet.owner().expect("there is an owner");
    let reason = WaitReason::Worker as usize;
    expect_that!(
        fleet.stats(owner).oldest_waits_ms[reason],
        all!(ge(WATCHED_MS - 1_500), le(WATCHED_MS))
    );
    fleet.cut_workers.clear();
    fleet.run(MAX_START_MS + 1_000);
    expect_that!(
        fleet.stats(owner).oldest_waits_ms.iter().sum::<u64>(),
        eq(0),
        "{:#?}",
        fleet.log_lines
    );
}

/// Guards against a best-effort task that never starts, because one of the same image that needs
/// more memory than any worker has goes before it and was taken to show that neither fits.
#[gtest]
fn a_best_effort_task_that_fits_starts_behind_one_that_never_fits() {
    let best_effort = Step {
        cpu_milli: 1_000,
        image: "image".into(),
        is_best_effort: true,
        ..wide(1)
    };
    let never_fits = Step {
        memory_mb: WORKER_RESOURCES.memory_mb + 1,
        estimated_ms: 10_000,
        ..best_effort.clone()
    };
    let mut fleet = Fleet::new(3, 2);
    fleet.submit(0, JOB, &job(vec![never_fits]));
    fleet.run(500);
    let mut later = job(vec![best_effort]);
    later.priority = 1;
    fleet.submit(0, JOB + 1, &later);
    fleet.run(MAX_START_MS);
    let state = fleet.state(0, JOB + 1);
    expect_that!(
        state,
        some(eq(JobState::Completed)),
        "{:#?}",
        fleet.log_lines
    );
}

/// Guards against a long-running task that is away and is not told of, because ten others have
/// waited for longer.
#[gtest]
fn a_long_running_task_that_is_away_is_told_of_first() {
    let long_running = Step {
        is_long_running: true,
        ..wide(1)
    };
    let mut fleet = Fleet::new(3, 1);
    fleet.submit(0, JOB, &job(vec![long_running]));
    fleet.run(1_000);
    for other in 1..=20 {
        fleet.submit(0, JOB + other, &job(vec![wide(1)]));
    }
    fleet.run(4_000);
    fleet.set_restart_delay_ms(60_000);
    let address = addresses(&fleet).remove(0);
    fleet.crash(&address);
    fleet.run(10_000);
    let expected = format!("TaskWaits {JOB:016x}.0.0.0 why=Worker");
    let mut lines = fleet.log_lines.iter();
    expect_true!(
        lines.any(|line| line.contains(&expected) && line.contains("runs=1")),
        "{:#?}",
        fleet.log_lines
    );
}

/// Number of workers of the larger fleet, and members of a gang in which each needs most of a
/// worker.
const WORKERS: usize = 14;
const MEMBERS: u32 = 12;

/// Disturbs hosts and workers, and submits small jobs.
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

/// Guards against tasks that could run and do not start: within three seconds after faults have
/// ended and resources are free, all jobs must have started, including gangs that need nearly whole
/// workers.
#[gtest]
fn all_tasks_that_fit_start_once_faults_have_ended() {
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
        // Leases must expire first.
        fleet.run(25_000);
        let submitted_ms = fleet.now_ms;
        let gang = Step {
            is_gang: true,
            ..wide(MEMBERS)
        };
        fleet.submit(0, JOB, &job(vec![gang, step(4, 300, &[0])]));
        fleet.submit(1, JOB + 1, &job(vec![step(8, 300, &[]), wide(2)]));
        fleet.run(MAX_START_MS);
        let has_started = |task: TaskId| fleet.promises.starts.iter().any(|start| start.1 == task);
        for job in [JOB, JOB + 1] {
            let task = TaskId {
                job: JobId(job),
                occurrence: 0,
                step: 0,
                index: 0,
            };
            expect_true!(
                has_started(task),
                "seed {seed}, submitted at {submitted_ms}: {:#?}",
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
