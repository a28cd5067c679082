//! At which share best-effort tasks work beside a service.

use goldcrestway_dispatch::policy::shares::ColocatedTask;
use goldcrestway_dispatch::policy::shares::SuspendDelays;
use goldcrestway_dispatch::policy::shares::choose_share;
use googletest::prelude::*;

/// Time after which a wait counts as harm.
const HARM_MS: u64 = 4_000;

/// A service that is well, beside a task that takes a fifth of its ease.
const HEALTHY_TASK: ColocatedTask = ColocatedTask {
    headroom: 2.0,
    over_ms: 0,
    headroom_loss: 0.2,
};

/// A task at a share, the services beside it, and the share that it gets.
struct Case {
    name: &'static str,
    current_percent: u32,
    colocated_tasks: &'static [ColocatedTask],
    may_change: bool,
    share: u32,
}

const CASES: &[Case] = &[
    Case {
        name: "nobody is beside it",
        current_percent: 50,
        colocated_tasks: &[],
        may_change: true,
        share: 75,
    },
    Case {
        name: "the service is well",
        current_percent: 100,
        colocated_tasks: &[HEALTHY_TASK],
        may_change: true,
        share: 100,
    },
    Case {
        name: "the service is close to its target",
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
        name: "the task does nothing to the service",
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
        name: "a little of it is worse than nothing",
        current_percent: 30,
        colocated_tasks: &[ColocatedTask {
            headroom: 0.9,
            ..HEALTHY_TASK
        }],
        may_change: true,
        share: 0,
    },
    Case {
        name: "the service has been over its target for long, and the task may be why",
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
        name: "the service has been over its target for longer, and nobody knows why",
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
        name: "one of two services would bear more",
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

/// Services stay over their target beside tasks at full share, or tasks are slowed for nothing.
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
