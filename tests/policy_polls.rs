//! How often workers are looked at, by what runs there and by how many there are.

use goldcrestway_dispatch::policy::polls::Activity;
use goldcrestway_dispatch::policy::polls::PollIntervals;
use googletest::prelude::*;

/// An owner, a worker of it, and the pause before the next look there.
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
        name: "an end is awaited in a small fleet",
        idle_workers: 40,
        cpu_permille: 100,
        are_confirming: false,
        activity: Activity::Ending,
        gap_ms: 60,
    },
    // It grew with the workers that were not concerned.
    Case {
        name: "an end is awaited in a large fleet",
        idle_workers: 6_000,
        cpu_permille: 120,
        are_confirming: false,
        activity: Activity::Ending,
        gap_ms: 60,
    },
    Case {
        name: "a small fleet at rest costs little",
        idle_workers: 10,
        cpu_permille: 100,
        are_confirming: false,
        activity: Activity::None,
        gap_ms: 60,
    },
    Case {
        name: "a strong owner looks at a large fleet at rest every few seconds",
        idle_workers: 6_000,
        cpu_permille: 1_000,
        are_confirming: false,
        activity: Activity::None,
        gap_ms: 2_400,
    },
    Case {
        name: "a weak one no more rarely than a dead worker may go unnoticed",
        idle_workers: 6_000,
        cpu_permille: 120,
        are_confirming: false,
        activity: Activity::None,
        gap_ms: 10_000,
    },
    // Its leases would run out.
    Case {
        name: "tasks that serve are kept alive",
        idle_workers: 6_000,
        cpu_permille: 120,
        are_confirming: false,
        activity: Activity::LongRunning,
        gap_ms: 1_500,
    },
    // Otherwise an owner would count as replaced while it is well.
    Case {
        name: "while the store is silent most workers answer within two seconds",
        idle_workers: 6_000,
        cpu_permille: 120,
        are_confirming: true,
        activity: Activity::None,
        gap_ms: 1_000,
    },
];

/// Symptom: short tasks are over for a second and a half before the owner knows, in a fleet of
/// 6,000 workers.
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
