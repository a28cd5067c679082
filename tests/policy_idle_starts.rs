//! Shares at which best-effort tasks start that interfere with the latency-critical tasks of all
//! workers.

use goldcrestway_dispatch::policy::idle_starts::ServingTask;
use goldcrestway_dispatch::policy::idle_starts::bearable_share;
use goldcrestway_dispatch::policy::idle_starts::bears_crowd;
use googletest::prelude::*;

struct ShareCase {
    name: &'static str,
    serving_tasks: &'static [ServingTask],
    expected_percent: Option<u32>,
}

/// A latency-critical task with twice the headroom that it needs, which loses 1 to the new task.
const TYPICAL: ServingTask = ServingTask {
    bearable_loss: 0.4,
    solo_headroom_now: 2.4,
    present_loss: 0.0,
    own_loss: 1.0,
};

/// Guards against a start that takes more headroom than a latency-critical task can spare, and
/// against one that is refused although a small share would do no harm.
#[gtest]
fn a_best_effort_task_starts_at_the_share_that_is_borne() {
    const CASES: [ShareCase; 7] = [
        ShareCase {
            name: "no latency-critical task",
            serving_tasks: &[],
            expected_percent: Some(100),
        },
        ShareCase {
            name: "in proportion to the loss that is borne",
            serving_tasks: &[TYPICAL],
            expected_percent: Some(40),
        },
        ShareCase {
            name: "the one that loses most decides",
            serving_tasks: &[
                TYPICAL,
                ServingTask {
                    own_loss: 1.6,
                    ..TYPICAL
                },
            ],
            expected_percent: Some(25),
        },
        ShareCase {
            name: "others already take most of it: the smallest share, as it is borne now",
            serving_tasks: &[ServingTask {
                present_loss: 0.4,
                ..TYPICAL
            }],
            expected_percent: Some(20),
        },
        ShareCase {
            name: "too little headroom on average, enough now",
            serving_tasks: &[ServingTask {
                bearable_loss: -0.1,
                solo_headroom_now: 1.8,
                ..TYPICAL
            }],
            expected_percent: Some(20),
        },
        ShareCase {
            name: "at the peak of its load",
            serving_tasks: &[ServingTask {
                solo_headroom_now: 1.5,
                ..TYPICAL
            }],
            expected_percent: None,
        },
        ShareCase {
            name: "loses nothing, at the peak of its load",
            serving_tasks: &[ServingTask {
                solo_headroom_now: 1.1,
                own_loss: 0.0,
                ..TYPICAL
            }],
            expected_percent: Some(100),
        },
    ];
    for case in CASES {
        expect_that!(
            bearable_share(case.serving_tasks),
            eq(case.expected_percent),
            "{}",
            case.name
        );
    }
}

/// Guards against best-effort tasks that slow down each other without bound.
#[gtest]
fn best_effort_tasks_on_one_worker_request_at_most_twice_its_processors() {
    expect_that!(bears_crowd(16_000, 8_000), eq(true));
    expect_that!(bears_crowd(16_001, 8_000), eq(false));
}
