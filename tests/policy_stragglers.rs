//! Which workers slow down what runs there, by the paces of their runs.

use goldcrestway_dispatch::policy::stragglers::Speed;
use goldcrestway_dispatch::policy::stragglers::is_slow;
use googletest::prelude::*;

/// Runs of one worker, as the time that each takes beside its siblings' second.
struct Case {
    name: &'static str,
    takes_ms: &'static [u64],
    is_slow: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "nothing can be compared",
        takes_ms: &[],
        is_slow: false,
    },
    Case {
        name: "one task that is longer than its siblings",
        takes_ms: &[2_600],
        is_slow: false,
    },
    Case {
        name: "one task that takes many times as long",
        takes_ms: &[6_000],
        is_slow: true,
    },
    Case {
        name: "a long task beside others that are as usual",
        takes_ms: &[3_500, 900, 1_100],
        is_slow: false,
    },
    Case {
        name: "a long task beside a short one",
        takes_ms: &[5_000, 700],
        is_slow: false,
    },
    Case {
        name: "all tasks take several times as long",
        takes_ms: &[5_200, 4_100, 7_500, 900],
        is_slow: true,
    },
];

/// Tasks that are merely longer than their siblings are stopped on workers that are well, or those
/// of a worker that slows all of them are left there.
#[gtest]
fn a_worker_is_judged_by_all_that_runs_there() {
    for case in CASES {
        let speeds = case.takes_ms.iter().map(|projected_ms| Speed {
            projected_ms: *projected_ms,
            sibling_ms: 1_000,
        });
        let speeds: Vec<Speed> = speeds.collect();
        expect_that!(is_slow(&speeds), eq(case.is_slow), "{}", case.name);
    }
}
