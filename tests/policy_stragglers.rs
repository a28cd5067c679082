//! Tests which workers count as slow, by the speeds of their runs.

use goldcrestway_dispatch::policy::stragglers::Speed;
use goldcrestway_dispatch::policy::stragglers::is_slow;
use googletest::prelude::*;

/// Runs of one worker, as projected durations beside siblings that take a second.
struct Case {
    name: &'static str,
    projected_ms: &'static [u64],
    is_slow: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "no run can be compared",
        projected_ms: &[],
        is_slow: false,
    },
    Case {
        name: "one task that is longer than its siblings",
        projected_ms: &[2_600],
        is_slow: false,
    },
    Case {
        name: "one task that takes many times as long",
        projected_ms: &[6_000],
        is_slow: true,
    },
    Case {
        name: "a long task beside others of usual length",
        projected_ms: &[3_500, 900, 1_100],
        is_slow: false,
    },
    Case {
        name: "a long task beside a short one",
        projected_ms: &[5_000, 700],
        is_slow: false,
    },
    Case {
        name: "all tasks take several times as long",
        projected_ms: &[5_200, 4_100, 7_500, 900],
        is_slow: true,
    },
];

/// Guards against tasks that are stopped on healthy workers because they are longer than their
/// siblings, and against tasks that are left on a worker that slows down all of them.
#[gtest]
fn slow_worker_is_detected_by_the_median_of_its_runs() {
    for case in CASES {
        let speeds = case.projected_ms.iter().map(|run_ms| Speed {
            projected_ms: *run_ms,
            sibling_ms: 1_000,
        });
        let speeds: Vec<Speed> = speeds.collect();
        expect_that!(is_slow(&speeds), eq(case.is_slow), "{}", case.name);
    }
}
