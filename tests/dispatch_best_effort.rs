//! Best-effort tasks beside serving tasks: they are suspended in time when a serving task is over
//! its latency target.

use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_core::Code;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Submission;
use googletest::prelude::*;

/// Guards against a serving task that is over its target for four seconds while best-effort tasks
/// beside it continue. They were not suspended because no single one had enough learned
/// interference; together, at the peak of the serving task's own load, they had.
#[gtest]
fn all_best_effort_tasks_are_suspended_beside_a_serving_task_long_over_its_target() {
    let mut fleet = Fleet::new(3, 1);
    let serving = Step {
        is_long_running: true,
        image: "served".into(),
        tail_latency_target_ms: 20,
        ..step(1, 1_000, &[])
    };
    let best_effort = Step {
        is_best_effort: true,
        image: "filler".into(),
        ..step(2, 60_000, &[])
    };
    fleet.submit(0, 0x1, &job(vec![serving]));
    fleet.submit(0, 0x2, &job(vec![best_effort]));
    fleet.run(6_000);
    let shares = |fleet: &Fleet| -> Vec<u32> {
        let workers = fleet.workers.values();
        workers.flat_map(|worker| worker.shares()).collect()
    };
    expect_that!(shares(&fleet), eq(&vec![100, 100]));
    for worker in fleet.workers.values_mut() {
        worker.tail_ms = 21;
    }
    fleet.run(3_300);
    expect_that!(shares(&fleet), eq(&vec![0, 0]));
}

/// Guards against suspensions that take effect too late. A poll, an order and the half second over
/// which the tail latency is averaged add to the delay, and workers with a serving task over its
/// target were polled no more often than others.
#[gtest]
fn best_effort_tasks_are_suspended_well_before_latency_counts_as_harm() {
    for phase_ms in (0..800).step_by(50) {
        let mut fleet = Fleet::new(3, 1);
        let serving = Step {
            is_long_running: true,
            image: "served".into(),
            tail_latency_target_ms: 20,
            ..step(1, 1_000, &[])
        };
        let best_effort = |image: &str| Step {
            is_best_effort: true,
            image: image.into(),
            ..step(1, 60_000, &[])
        };
        fleet.submit(0, 0x1, &job(vec![serving]));
        fleet.submit(
            0,
            0x2,
            &job(vec![best_effort("first"), best_effort("second")]),
        );
        fleet.run(6_000 + phase_ms);
        for worker in fleet.workers.values_mut() {
            worker.tail_ms = 21;
        }
        fleet.run(2_250);
        for worker in fleet.workers.values() {
            expect_that!(worker.shares(), eq(&vec![0, 0]), "phase {phase_ms} ms");
        }
    }
}

/// A reason for which no worker takes a best-effort job at its full share.
struct IdleCase {
    name: &'static str,
    /// Number of best-effort jobs of an image that interferes with none, which take all processors
    /// that are left.
    harmless_jobs: u64,
    /// Whether the owner is replaced while the job waits.
    replaces_owner: bool,
}

/// Time within which something of a job must run that has its turn and fits.
const MAX_IDLE_MS: u64 = 6_000;

/// Guards against a best-effort job of which nothing ever runs, although most of the room is free:
/// its image interferes with the serving tasks of all workers, and was placed at its full share or
/// not at all.
#[gtest]
fn a_best_effort_job_that_interferes_everywhere_starts_and_completes() {
    const CASES: [IdleCase; 3] = [
        IdleCase {
            name: "calm",
            harmless_jobs: 0,
            replaces_owner: false,
        },
        IdleCase {
            name: "beside harmless best-effort jobs",
            harmless_jobs: 2,
            replaces_owner: false,
        },
        IdleCase {
            name: "its owner is replaced",
            harmless_jobs: 0,
            replaces_owner: true,
        },
    ];
    for case in CASES {
        let mut fleet = fleet_that_knows_an_interfering_image();
        for number in 0..case.harmless_jobs {
            let harmless = Step {
                is_best_effort: true,
                image: "harmless".into(),
                ..step(4, 30_000, &[])
            };
            fleet.submit(0, 0x100 + number, &job(vec![harmless]));
        }
        fleet.submit(0, 0x3, &job(vec![interfering_step(2)]));
        if case.replaces_owner {
            fleet.run(1_000);
            let owner = fleet.owner().unwrap_or(0);
            fleet.kill(owner);
            fleet.run(3_000);
            fleet.start(owner);
        }
        fleet.run(MAX_IDLE_MS);
        let starts = fleet.promises.starts.iter();
        let starts = starts.filter(|(_, task, _)| task.job.0 == 0x3).count();
        expect_that!(starts, gt(0), "{}", case.name);
        let mut longest_ms = 0;
        let mut over_ms = 0;
        for _ in 0..1_200 {
            fleet.run(50);
            over_ms = match fleet
                .workers
                .values()
                .any(|worker| worker.tail_now_ms() > 20)
            {
                true => over_ms + 50,
                false => 0,
            };
            longest_ms = longest_ms.max(over_ms);
        }
        expect_that!(
            fleet.state(0, 0x3),
            some(eq(JobState::Completed)),
            "{}",
            case.name
        );
        expect_that!(longest_ms, lt(4_000), "{}: time over target", case.name);
    }
}

fn interfering_step(count: u32) -> Step {
    Step {
        is_best_effort: true,
        image: "interfering".into(),
        cpu_milli: 4_000,
        ..step(count, 3_000, &[])
    }
}

const INTERFERING_JOBS: [JobId; 2] = [JobId(0x2), JobId(0x3)];

/// Returns a fleet whose workers all have a serving task, and whose owner has learned that an image
/// takes more of its headroom than it can spare.
fn fleet_that_knows_an_interfering_image() -> Fleet {
    let mut fleet = Fleet::new(3, 2);
    let serving = Step {
        is_long_running: true,
        image: "served".into(),
        tail_latency_target_ms: 20,
        max_per_worker: 1,
        ..step(2, 1_000, &[])
    };
    for worker in fleet.workers.values_mut() {
        worker.tail_ms = 9;
        worker.job_interference_ms = INTERFERING_JOBS.map(|job| (job, 4)).into();
    }
    fleet.submit(0, 0x1, &job(vec![serving]));
    fleet.run(3_000);
    fleet.submit(0, 0x2, &job(vec![interfering_step(2)]));
    fleet.run(8_000);
    fleet
}

/// A job that interferes everywhere and could be left out by the search for idle jobs.
struct ShapeCase {
    name: &'static str,
    submission: fn() -> Submission,
    /// The step that must start, and how many of its tasks.
    step: u16,
    starts: usize,
}

/// Guards against best-effort steps that wait without end, as only jobs of which nothing at all
/// runs got a task at a reduced share, no gang did, and permits were requested only for workers
/// that take a task at its full share.
#[gtest]
fn best_effort_steps_of_all_shapes_start_although_they_interfere_everywhere() {
    let cases = [
        ShapeCase {
            name: "a gang",
            submission: || {
                job(vec![Step {
                    is_gang: true,
                    ..interfering_step(2)
                }])
            },
            step: 0,
            starts: 2,
        },
        ShapeCase {
            name: "beside a long-running step of its job",
            submission: || {
                let long_running = Step {
                    is_long_running: true,
                    ..step(1, 1_000, &[])
                };
                job(vec![long_running, interfering_step(1)])
            },
            step: 1,
            starts: 1,
        },
        ShapeCase {
            name: "all tasks of a long-running step",
            submission: || {
                job(vec![Step {
                    is_long_running: true,
                    ..interfering_step(2)
                }])
            },
            step: 0,
            starts: 2,
        },
        ShapeCase {
            name: "a step with permits",
            submission: || Submission {
                permit_decision_ms: 20,
                permit_worker_us: 1_000,
                permit_validity_ms: 1_000,
                ..job(vec![interfering_step(1)])
            },
            step: 0,
            starts: 1,
        },
        ShapeCase {
            name: "one task per worker",
            submission: || {
                job(vec![Step {
                    max_per_worker: 1,
                    ..interfering_step(1)
                }])
            },
            step: 0,
            starts: 1,
        },
    ];
    for case in cases {
        let mut fleet = fleet_that_knows_an_interfering_image();
        let ids = fleet.workers.values().map(|worker| worker.id.clone());
        fleet.permitted = ids.collect();
        fleet.submit(0, 0x3, &(case.submission)());
        fleet.run(MAX_IDLE_MS);
        let starts = fleet.promises.starts.iter();
        let starts = starts.filter(|(_, task, _)| task.job.0 == 0x3 && task.step == case.step);
        expect_that!(starts.count(), ge(case.starts), "{}", case.name);
    }
}

/// Guards against a best-effort job that waits for as long as harmless ones arrive, which can still
/// meet their objective and use the processors that the serving tasks leave.
#[gtest]
fn a_best_effort_job_starts_beside_a_stream_of_harmless_ones() {
    let mut fleet = fleet_that_knows_an_interfering_image();
    let harmless = || Step {
        is_best_effort: true,
        image: "harmless".into(),
        cpu_milli: 4_000,
        ..step(2, 1_500, &[])
    };
    for number in 0..40 {
        if number == 8 {
            fleet.submit(0, 0x3, &job(vec![interfering_step(1)]));
        }
        fleet.submit(0, 0x100 + number, &job(vec![harmless()]));
        fleet.run(500);
    }
    let starts = fleet.promises.starts.iter();
    let starts = starts.filter(|(_, task, _)| task.job.0 == 0x3).count();
    expect_that!(starts, gt(0));
}

/// Guards against a task at a reduced share that gets its full one from a new owner. It was
/// suspended when the owner changed, so that nothing showed at which share it had started.
#[gtest]
fn a_new_owner_keeps_a_suspended_task_at_its_reduced_share() {
    let mut fleet = fleet_that_knows_an_interfering_image();
    let long = Step {
        estimated_ms: 120_000,
        ..interfering_step(1)
    };
    fleet.submit(0, 0x3, &job(vec![long]));
    fleet.run(MAX_IDLE_MS);
    let shares = |fleet: &Fleet| -> Vec<u32> {
        let workers = fleet.workers.values();
        workers.flat_map(|worker| worker.shares()).collect()
    };
    expect_that!(shares(&fleet), elements_are![all![gt(&0), lt(&100)]]);
    for worker in fleet.workers.values_mut() {
        worker.tail_ms = 21;
    }
    fleet.run(3_000);
    expect_that!(shares(&fleet), eq(&vec![0]));
    let owner = fleet.owner().unwrap_or(0);
    fleet.kill(owner);
    for worker in fleet.workers.values_mut() {
        worker.tail_ms = 9;
    }
    let mut max_percent = 0;
    for _ in 0..600 {
        fleet.run(20);
        max_percent = shares(&fleet).into_iter().fold(max_percent, u32::max);
    }
    expect_that!(max_percent, lt(100));
    expect_that!(shares(&fleet), each(gt(&0)));
}

/// Guards against a cancelled job whose task starts and runs on. The job was taken for one of which
/// nothing runs until its cancellation was published, for which a slow store takes long.
#[gtest]
fn a_cancelled_job_of_which_nothing_runs_starts_nothing() {
    for cancelled_after_ms in (0..900).step_by(100) {
        let mut fleet = fleet_that_knows_an_interfering_image();
        fleet.submit(0, 0x3, &job(vec![interfering_step(2)]));
        // A job that fits nowhere, so that the owner keeps trying to place tasks.
        let wide = Step {
            cpu_milli: 100_000,
            ..step(1, 1_000, &[])
        };
        fleet.submit(0, 0x4, &job(vec![wide]));
        fleet.run(cancelled_after_ms);
        fleet.store.append_ms = 900;
        fleet.cancel(0, 0x3);
        fleet.run(MAX_IDLE_MS);
        expect_that!(
            fleet.note_counts.get(&Code::IdleStart),
            none(),
            "cancelled after {cancelled_after_ms} ms"
        );
    }
}

/// Guards against late best-effort jobs that take what a busy service has left from jobs that can
/// still meet their objective. They wait for longer there, but not without end.
#[gtest]
fn idle_jobs_wait_for_longer_in_a_busy_service() {
    let mut fleet = fleet_that_knows_an_interfering_image();
    let busy = Step {
        cpu_milli: 4_500,
        max_per_worker: 1,
        ..step(2, 60_000, &[])
    };
    fleet.submit(0, 0x4, &job(vec![busy]));
    fleet.run(500);
    fleet.submit(0, 0x3, &job(vec![interfering_step(1)]));
    fleet.run(10_000);
    expect_that!(fleet.note_counts.get(&Code::IdleStart), none());
    fleet.run(8_000);
    expect_that!(fleet.note_counts.get(&Code::IdleStart), some(gt(&0)));
}
