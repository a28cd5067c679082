//! Tests the timeout while answers arrive as usual, late, or not at all.

use goldcrestway_dispatch::policy::answer_timeouts::AnswerLatencies;
use googletest::prelude::*;

/// Recent answers as pairs of a number and a delay in milliseconds, and the number of missing ones.
struct Case {
    name: &'static str,
    answers: &'static [(usize, u64)],
    missing: usize,
    answer_timeout_ms: u64,
    is_suspect: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "no outcomes are known yet",
        answers: &[],
        missing: 0,
        answer_timeout_ms: 350,
        is_suspect: false,
    },
    Case {
        name: "all workers answer at once",
        answers: &[(80, 3)],
        missing: 0,
        answer_timeout_ms: 359,
        is_suspect: false,
    },
    // Dead workers must be detected as before, and their tasks started on other workers.
    Case {
        name: "a third of the workers has died",
        answers: &[(60, 3)],
        missing: 30,
        answer_timeout_ms: 359,
        is_suspect: false,
    },
    Case {
        name: "a sixth of the workers is slow",
        answers: &[(70, 3), (14, 400)],
        missing: 0,
        answer_timeout_ms: 359,
        is_suspect: false,
    },
    // The link of this host is saturated: no worker is at fault.
    Case {
        name: "all answers are late",
        answers: &[(80, 300)],
        missing: 10,
        answer_timeout_ms: 1_250,
        is_suspect: true,
    },
    Case {
        name: "most answers are missing",
        answers: &[(20, 5)],
        missing: 60,
        answer_timeout_ms: 1_415,
        is_suspect: true,
    },
    Case {
        name: "the timeout never exceeds what leases allow",
        answers: &[(80, 5_000)],
        missing: 0,
        answer_timeout_ms: 2_000,
        is_suspect: true,
    },
];

/// Guards against the removal of a worker that is alive. If the link of this host is saturated,
/// answers of all workers take longer than a fixed timeout, and a missing answer would count
/// against the worker.
#[gtest]
fn timeout_follows_answer_delays() {
    for case in CASES {
        let mut latencies = AnswerLatencies::default();
        // Outcomes are interleaved, as those of many workers are.
        let mut remaining: Vec<(usize, Option<u64>)> = Vec::new();
        for (count, delay_ms) in case.answers {
            remaining.push((*count, Some(*delay_ms)));
        }
        remaining.push((case.missing, None));
        let mut now_ms = 1_000;
        while remaining.iter().any(|(count, _)| *count > 0) {
            for (count, delay_ms) in &mut remaining {
                if *count == 0 {
                    continue;
                }
                *count -= 1;
                now_ms += 1;
                match delay_ms {
                    Some(delay_ms) => latencies.record_answer(*delay_ms, now_ms),
                    None => latencies.record_missing(now_ms),
                }
            }
        }
        expect_that!(
            latencies.answer_timeout_ms(),
            eq(case.answer_timeout_ms),
            "{}",
            case.name
        );
        expect_that!(
            latencies.is_link_suspect(),
            eq(case.is_suspect),
            "{}",
            case.name
        );
    }
}

/// Guards against late detection of dead workers after the link has recovered, which results if
/// late answers never expire.
#[gtest]
fn late_answers_expire() {
    let mut latencies = AnswerLatencies::default();
    for at_ms in 0..40 {
        latencies.record_answer(800, at_ms);
    }
    expect_that!(latencies.is_link_suspect(), eq(true));
    for at_ms in 2_000..2_016 {
        latencies.record_answer(3, at_ms);
    }
    expect_that!(latencies.is_link_suspect(), eq(false));
    expect_that!(latencies.answer_timeout_ms(), eq(359));
}
