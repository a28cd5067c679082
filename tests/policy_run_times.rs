//! Tests how long tasks and jobs are expected to take.

use goldcrestway_dispatch::policy::run_times::JobTimes;
use goldcrestway_dispatch::policy::run_times::MeasuredTask;
use goldcrestway_dispatch::policy::run_times::RunTimes;
use goldcrestway_dispatch::policy::run_times::RunningTask;
use goldcrestway_dispatch::policy::run_times::StepView;
use goldcrestway_dispatch::policy::run_times::TaskClass;
use googletest::prelude::*;

/// Duration of a task as estimated by its caller.
const ESTIMATED_MS: u64 = 1_000;
/// Durations of a step whose tasks take twice the estimate on average, and up to 2.6 times.
const TOOK_MS: [u64; 8] = [1_500, 1_700, 1_900, 1_900, 2_100, 2_100, 2_200, 2_600];

const CLASS: TaskClass<'static> = TaskClass {
    queue: "batch",
    is_best_effort: true,
    estimated_ms: ESTIMATED_MS,
};

/// A step of eight tasks that has not started.
const STEP: StepView<'static> = StepView {
    class: CLASS,
    after: &[],
    count: 8,
    waiting: 8,
    is_done: false,
    measured: 0,
    measured_ms: 0,
    longest_ms: 0,
    running: Vec::new(),
};

fn succeeded(took_ms: u64) -> MeasuredTask {
    MeasuredTask {
        took_ms: Some(took_ms),
        ran_ms: took_ms,
    }
}

fn learn(run_times: &mut RunTimes, steps: usize, percent: u64) {
    let tasks = TOOK_MS.map(|took_ms| succeeded(took_ms * percent / 100));
    for _ in 0..steps {
        run_times.learn(CLASS, tasks.len() as u64, &tasks);
    }
}

/// Returns what is known after twenty steps like [`TOOK_MS`].
fn learned() -> RunTimes {
    let mut run_times = RunTimes::default();
    learn(&mut run_times, 20, 100);
    run_times
}

/// Expected times of a job, with an error of a tenth.
struct Case {
    name: &'static str,
    run_times: RunTimes,
    steps: Vec<StepView<'static>>,
    expect: JobTimes,
}

fn cases() -> Vec<Case> {
    let ended = StepView {
        waiting: 0,
        is_done: true,
        measured: 8,
        measured_ms: 8 * 500,
        longest_ms: 700,
        ..STEP
    };
    let running = |age_ms, projected_ms| RunningTask {
        age_ms,
        projected_ms,
    };
    vec![
        Case {
            name: "nothing learned: the estimate as it is",
            run_times: RunTimes::default(),
            steps: vec![
                STEP,
                StepView {
                    after: &[0],
                    ..STEP
                },
            ],
            expect: JobTimes {
                chain_ms: 2_000,
                remaining_ms: 2_000,
            },
        },
        Case {
            name: "a step ends with its longest task",
            run_times: learned(),
            steps: vec![STEP],
            expect: JobTimes {
                chain_ms: 2_600,
                remaining_ms: 2_600,
            },
        },
        Case {
            name: "a step of one task has no longer one",
            run_times: learned(),
            steps: vec![StepView {
                count: 1,
                waiting: 1,
                ..STEP
            }],
            expect: JobTimes {
                chain_ms: 2_050,
                remaining_ms: 2_050,
            },
        },
        Case {
            name: "another queue has learned nothing",
            run_times: learned(),
            steps: vec![StepView {
                class: TaskClass {
                    queue: "other",
                    ..CLASS
                },
                ..STEP
            }],
            expect: JobTimes {
                chain_ms: 1_000,
                remaining_ms: 1_000,
            },
        },
        Case {
            name: "an ended step counts with its real longest task, and takes no more time",
            run_times: learned(),
            steps: vec![
                ended,
                StepView {
                    after: &[0],
                    ..STEP
                },
            ],
            expect: JobTimes {
                chain_ms: 700 + 2_600,
                remaining_ms: 2_600,
            },
        },
        Case {
            name: "tasks that have ended tell how long the waiting ones of their step take",
            run_times: learned(),
            steps: vec![StepView {
                waiting: 4,
                measured: 4,
                measured_ms: 4 * 5_000,
                longest_ms: 5_600,
                ..STEP
            }],
            expect: JobTimes {
                chain_ms: 5_600,
                remaining_ms: 5_250,
            },
        },
        Case {
            name: "running tasks take until their projected end",
            run_times: learned(),
            steps: vec![StepView {
                waiting: 0,
                measured: 6,
                measured_ms: 6 * 2_000,
                longest_ms: 2_600,
                running: vec![running(3_000, Some(4_000)), running(1_000, Some(2_000))],
                ..STEP
            }],
            expect: JobTimes {
                chain_ms: 4_000,
                remaining_ms: 1_000,
            },
        },
        Case {
            name: "a running task without progress takes as long as others of its class",
            run_times: learned(),
            steps: vec![StepView {
                count: 1,
                waiting: 0,
                running: vec![running(550, None)],
                ..STEP
            }],
            expect: JobTimes {
                chain_ms: 2_050,
                remaining_ms: 1_500,
            },
        },
    ]
}

/// Guards against jobs that count as late although they are not: their objective, and the time that
/// they still need, follow from estimates that the longest task of a step exceeds several times.
#[gtest]
fn times_of_a_job_follow_from_what_tasks_have_taken() {
    for case in cases() {
        let times = case.run_times.job_times(&case.steps, 0);
        let is_near = |actual: u64, expected: u64| actual.abs_diff(expected) * 10 <= expected;
        expect_that!(
            is_near(times.chain_ms, case.expect.chain_ms),
            is_true(),
            "{}: {times:?}",
            case.name
        );
        expect_that!(
            is_near(times.remaining_ms, case.expect.remaining_ms),
            is_true(),
            "{}: {times:?}",
            case.name
        );
    }
}

/// Guards against expectations that stay wrong for the rest of the day after callers have changed
/// what they submit.
#[gtest]
fn old_durations_are_forgotten() {
    let mut run_times = RunTimes::default();
    learn(&mut run_times, 1_000, 100);
    learn(&mut run_times, 600, 25);
    expect_that!(run_times.task_ms(CLASS), all!(ge(450), le(550)));
}

/// Guards against steps that count as short because only their shortest tasks were measured: the
/// others had started under a previous owner, or were throttled.
#[gtest]
fn steps_that_were_hardly_measured_teach_nothing() {
    let mut run_times = RunTimes::default();
    for _ in 0..20 {
        run_times.learn(CLASS, 8, &[succeeded(100), succeeded(100), succeeded(100)]);
    }
    expect_that!(run_times.task_ms(CLASS), eq(ESTIMATED_MS));
}

/// Guards against steps that are expected to end too early where tasks fail: one that fails and
/// runs again ends last.
#[gtest]
fn runs_that_failed_count_in_the_longest_task() {
    let mut run_times = RunTimes::default();
    let mut tasks = [succeeded(1_000); 8];
    tasks[7].ran_ms = 1_900;
    for _ in 0..20 {
        run_times.learn(CLASS, 8, &tasks);
    }
    expect_that!(run_times.task_ms(CLASS), all!(ge(950), le(1_050)));
    expect_that!(run_times.longest_ms(CLASS, 20), all!(ge(1_800), le(2_000)));
}

/// Guards against tasks that are expected to take no time, as their caller estimates an hour for
/// what takes a second.
#[gtest]
fn a_task_far_below_its_estimate_takes_some_time() {
    let class = TaskClass {
        estimated_ms: 3_600_000,
        ..CLASS
    };
    let mut run_times = RunTimes::default();
    for _ in 0..20 {
        run_times.learn(class, 1, &[succeeded(1_000)]);
    }
    expect_that!(run_times.task_ms(class), all!(gt(0), le(7_200)));
}

/// Guards against memory that grows with each name that a caller gives to a queue.
#[gtest]
fn only_the_queues_that_changed_last_are_remembered() {
    const MAX_QUEUES: usize = 1_000;
    let mut run_times = RunTimes::default();
    for number in 0..MAX_QUEUES + 10 {
        run_times.record_run(&format!("queue-{number}"), false, 500);
        run_times.record_run("steady", false, 700);
    }
    expect_that!(run_times.queues(), eq(MAX_QUEUES));
    expect_that!(run_times.queue_mean_ms("queue-0", false), none());
    expect_that!(run_times.queue_mean_ms("queue-1009", false), some(eq(500)));
    expect_that!(run_times.queue_mean_ms("steady", false), some(eq(700)));
}
