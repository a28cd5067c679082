//! How long answers are awaited while they come as usual, late, or not at all.

use goldcrestway_dispatch::policy::answer_timeouts::AnswerLatencies;
use googletest::prelude::*;

/// Answers of the last moment: so many that were so late, and so many that did not come.
struct Case {
    name: &'static str,
    answers: &'static [(usize, u64)],
    missing: usize,
    answer_timeout_ms: u64,
    is_suspect: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "nothing is known yet",
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
    // They must be noticed as before, and their tasks started elsewhere.
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
    // The link of this host is full: no worker is to blame.
    Case {
        name: "all answers are late",
        answers: &[(80, 300)],
        missing: 10,
        answer_timeout_ms: 1_250,
        is_suspect: true,
    },
    Case {
        name: "most answers are given up",
        answers: &[(20, 5)],
        missing: 60,
        answer_timeout_ms: 1_415,
        is_suspect: true,
    },
    Case {
        name: "no answer is awaited for longer than leases bear",
        answers: &[(80, 5_000)],
        missing: 0,
        answer_timeout_ms: 2_000,
        is_suspect: true,
    },
];

/// Symptom: a worker that is alive is given up. Sequence: this host's link is full, so answers
/// of all workers take longer than the time for which they are awaited. Cause: that time was
/// fixed, and a missing answer was held against the worker.
#[gtest]
fn timeout_follows_answer_delays() {
    for case in CASES {
        let mut latencies = AnswerLatencies::default();
        // Outcomes come mixed, as they do from many workers.
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

/// Symptom: dead workers are noticed late though the link is free again. Cause: answers that
/// were late are remembered for good.
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
