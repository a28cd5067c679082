//! Tests which CPU share best-effort tasks get beside latency-critical tasks.

use goldcrestway_dispatch::policy::shares::ColocatedTask;
use goldcrestway_dispatch::policy::shares::SuspendDelays;
use goldcrestway_dispatch::policy::shares::choose_share;
use goldcrestway_dispatch::policy::shares::needs_order;
use googletest::prelude::*;

/// Time over target that counts as harm.
const HARM_MS: u64 = 4_000;

/// A latency-critical task within its target, beside a task that takes 0.2 of its headroom.
const HEALTHY_TASK: ColocatedTask = ColocatedTask {
    headroom: 2.0,
    over_ms: 0,
    headroom_loss: 0.2,
};

/// A best-effort task at a share, the latency-critical tasks beside it, and its new share.
struct Case {
    name: &'static str,
    current_percent: u32,
    colocated_tasks: &'static [ColocatedTask],
    may_change: bool,
    share: u32,
}

const CASES: &[Case] = &[
    Case {
        name: "no latency-critical task is beside it",
        current_percent: 50,
        colocated_tasks: &[],
        may_change: true,
        share: 75,
    },
    Case {
        name: "the latency-critical task is within its target",
        current_percent: 100,
        colocated_tasks: &[HEALTHY_TASK],
        may_change: true,
        share: 100,
    },
    Case {
        name: "the latency-critical task is close to its target",
        current_percent: 100,
        colocated_tasks: &[ColocatedTask {
            headroom: 1.02,
            ..HEALTHY_TASK
        }],
        may_change: true,
        share: 50,
    },
    Case {
        name: "a change was just made",
        current_percent: 100,
        colocated_tasks: &[ColocatedTask {
            headroom: 1.02,
            ..HEALTHY_TASK
        }],
        may_change: false,
        share: 100,
    },
    Case {
        name: "the best-effort task does not interfere",
        current_percent: 100,
        colocated_tasks: &[ColocatedTask {
            headroom: 1.02,
            headroom_loss: 0.01,
            ..HEALTHY_TASK
        }],
        may_change: true,
        share: 100,
    },
    Case {
        name: "a share below the smallest useful one becomes a suspension",
        current_percent: 30,
        colocated_tasks: &[ColocatedTask {
            headroom: 0.9,
            ..HEALTHY_TASK
        }],
        may_change: true,
        share: 0,
    },
    Case {
        name: "the latency-critical task has been over its target for long, and the best-effort task may be the cause",
        current_percent: 100,
        colocated_tasks: &[ColocatedTask {
            headroom: 0.9,
            over_ms: 1_300,
            headroom_loss: 0.05,
        }],
        may_change: false,
        share: 0,
    },
    Case {
        name: "the latency-critical task has been over its target for longer, and the cause is unknown",
        current_percent: 100,
        colocated_tasks: &[ColocatedTask {
            headroom: 0.9,
            over_ms: 1_900,
            headroom_loss: 0.0,
        }],
        may_change: false,
        share: 0,
    },
    Case {
        name: "one of two latency-critical tasks would tolerate a greater share",
        current_percent: 50,
        colocated_tasks: &[
            HEALTHY_TASK,
            ColocatedTask {
                headroom: 1.02,
                ..HEALTHY_TASK
            },
        ],
        may_change: true,
        share: 25,
    },
];

/// Guards against latency-critical tasks that stay over their target beside tasks at full share,
/// and against tasks that are throttled without need.
#[gtest]
fn shares_follow_the_headroom_of_colocated_tasks() {
    for case in CASES {
        let suspend_delays = SuspendDelays::new(HARM_MS);
        let share = choose_share(
            case.current_percent,
            case.colocated_tasks,
            suspend_delays,
            case.may_change,
            true,
        );
        expect_that!(share, eq(case.share), "{}", case.name);
    }
}

/// A share that a worker has accepted, and the one that a task should have.
struct OrderCase {
    name: &'static str,
    applied_percent: Option<u32>,
    target_percent: u32,
    needs_order: bool,
}

const ORDER_CASES: &[OrderCase] = &[
    OrderCase {
        name: "the share is not known",
        applied_percent: None,
        target_percent: 100,
        needs_order: true,
    },
    OrderCase {
        name: "the task has its share",
        applied_percent: Some(100),
        target_percent: 100,
        needs_order: false,
    },
    OrderCase {
        name: "a small change",
        applied_percent: Some(50),
        target_percent: 54,
        needs_order: false,
    },
    OrderCase {
        name: "a greater change",
        applied_percent: Some(50),
        target_percent: 45,
        needs_order: true,
    },
    // Otherwise it counts as throttled for the rest of its run.
    OrderCase {
        name: "a small change to full share",
        applied_percent: Some(97),
        target_percent: 100,
        needs_order: true,
    },
];

/// Guards against an order for each small change, and against tasks that stay just below their full
/// share.
#[gtest]
fn orders_are_sent_for_changes_that_matter() {
    for case in ORDER_CASES {
        let needed = needs_order(case.applied_percent, case.target_percent);
        expect_that!(needed, eq(case.needs_order), "{}", case.name);
    }
}
