//! Tests the poll interval by worker activity and number of workers.

use goldcrestway_dispatch::policy::polls::Activity;
use goldcrestway_dispatch::policy::polls::PollIntervals;
use googletest::prelude::*;

/// An owner, the activity of a worker, and the interval before its next poll.
struct Case {
    name: &'static str,
    idle_workers: u64,
    cpu_permille: u64,
    are_confirming: bool,
    activity: Activity,
    gap_ms: u64,
}

const CASES: &[Case] = &[
    Case {
        name: "a task is about to end in a small fleet",
        idle_workers: 40,
        cpu_permille: 100,
        are_confirming: false,
        activity: Activity::Ending,
        gap_ms: 60,
    },
    // Otherwise the interval grows with the number of workers on which no task is about to end.
    Case {
        name: "a task is about to end in a large fleet",
        idle_workers: 6_000,
        cpu_permille: 120,
        are_confirming: false,
        activity: Activity::Ending,
        gap_ms: 60,
    },
    Case {
        name: "a small idle fleet is polled at the shortest interval",
        idle_workers: 10,
        cpu_permille: 100,
        are_confirming: false,
        activity: Activity::None,
        gap_ms: 60,
    },
    Case {
        name: "an owner with a full core polls a large idle fleet every few seconds",
        idle_workers: 6_000,
        cpu_permille: 1_000,
        are_confirming: false,
        activity: Activity::None,
        gap_ms: 2_400,
    },
    Case {
        name: "an owner with a small share polls it at the longest interval at which dead workers are detected",
        idle_workers: 6_000,
        cpu_permille: 120,
        are_confirming: false,
        activity: Activity::None,
        gap_ms: 10_000,
    },
    // Otherwise the leases of these tasks expire.
    Case {
        name: "leases of long-running tasks are renewed",
        idle_workers: 6_000,
        cpu_permille: 120,
        are_confirming: false,
        activity: Activity::LongRunning,
        gap_ms: 1_500,
    },
    // Otherwise an owner counts as replaced while it works.
    Case {
        name: "while the store does not answer most workers answer within two seconds",
        idle_workers: 6_000,
        cpu_permille: 120,
        are_confirming: true,
        activity: Activity::None,
        gap_ms: 1_000,
    },
];

/// Guards against exits that the owner learns only a second and a half later in a fleet of 6,000
/// workers.
#[gtest]
fn poll_interval_follows_worker_activity() {
    for case in CASES {
        let intervals = PollIntervals {
            idle_workers: case.idle_workers,
            cpu_permille: case.cpu_permille,
            are_confirming: case.are_confirming,
        };
        expect_that!(
            intervals.gap_ms(case.activity),
            eq(case.gap_ms),
            "{}",
            case.name
        );
    }
}
