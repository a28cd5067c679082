//! How often what waits is placed, by what a try has cost.

use goldcrestway_dispatch::policy::placing::placing_gap_ms;
use googletest::prelude::*;

/// A try of an owner, and the pause that follows.
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
        name: "a large fleet is full, and its owner strong",
        steps: 150,
        workers: 6_000,
        cpu_permille: 1_000,
        gap_ms: 144,
    },
    // Its turns took a second each.
    Case {
        name: "a large fleet is full, and its owner weak",
        steps: 150,
        workers: 6_000,
        cpu_permille: 120,
        gap_ms: 1_200,
    },
    Case {
        name: "whoever waits is tried again within seconds",
        steps: 5_000,
        workers: 6_000,
        cpu_permille: 120,
        gap_ms: 2_000,
    },
];

/// Symptom: an owner of thousands of workers gives no sign of life for seconds while much waits, and
/// others take its place in turn.
#[gtest]
fn pause_grows_with_evaluations() {
    for case in CASES {
        let gap_ms = placing_gap_ms(case.steps * case.workers, case.cpu_permille);
        expect_that!(gap_ms, eq(case.gap_ms), "{}", case.name);
    }
}
