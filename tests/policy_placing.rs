//! Tests the pause between attempts to place waiting steps, by the cost of the last one.

use goldcrestway_dispatch::policy::placing::placing_gap_ms;
use googletest::prelude::*;

/// An attempt of an owner, and the pause that follows.
struct Case {
    name: &'static str,
    steps: u64,
    workers: u64,
    cpu_permille: u64,
    gap_ms: u64,
}

const CASES: &[Case] = &[
    Case {
        name: "a small fleet",
        steps: 20,
        workers: 50,
        cpu_permille: 100,
        gap_ms: 10,
    },
    Case {
        name: "a step in a large fleet",
        steps: 1,
        workers: 6_000,
        cpu_permille: 120,
        gap_ms: 10,
    },
    Case {
        name: "a large fleet is full, and its owner has a full core",
        steps: 150,
        workers: 6_000,
        cpu_permille: 1_000,
        gap_ms: 144,
    },
    // Without the pause its turns took a second each.
    Case {
        name: "a large fleet is full, and its owner has a small share of a core",
        steps: 150,
        workers: 6_000,
        cpu_permille: 120,
        gap_ms: 1_200,
    },
    Case {
        name: "waiting steps are tried again within seconds",
        steps: 5_000,
        workers: 6_000,
        cpu_permille: 120,
        gap_ms: 2_000,
    },
];

/// Guards against an owner of thousands of workers that sends no heartbeat for seconds while many
/// steps wait, so that other hosts claim ownership in turn.
#[gtest]
fn pause_grows_with_evaluations() {
    for case in CASES {
        let gap_ms = placing_gap_ms(case.steps * case.workers, case.cpu_permille);
        expect_that!(gap_ms, eq(case.gap_ms), "{}", case.name);
    }
}
