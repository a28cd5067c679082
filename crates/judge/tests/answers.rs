//! Tests of which answers the judge accepts and which it reports as faults.

use goldcrestway_judge::Answer;
use goldcrestway_judge::Limits;
use goldcrestway_judge::RulesJudge;
use googletest::prelude::*;

/// An answer of a host after three versions of the rules: version 2 removes queue `a` and version
/// 3 adds queue `b`. Both were acknowledged at 10 s.
struct Case {
    name: &'static str,
    queue: &'static str,
    is_known: bool,
    sent_ms: u64,
    was_in_contact: bool,
    is_allowed: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "a removed queue is served in time",
        queue: "a",
        is_known: true,
        sent_ms: 12_000,
        was_in_contact: true,
        is_allowed: true,
    },
    Case {
        name: "a removed queue is served too late",
        queue: "a",
        is_known: true,
        sent_ms: 12_001,
        was_in_contact: true,
        is_allowed: false,
    },
    Case {
        name: "a removed queue is served too late by a host without contact to the store",
        queue: "a",
        is_known: true,
        sent_ms: 12_001,
        was_in_contact: false,
        is_allowed: true,
    },
    Case {
        name: "a new queue is refused too late",
        queue: "b",
        is_known: false,
        sent_ms: 12_001,
        was_in_contact: true,
        is_allowed: false,
    },
    Case {
        name: "a new queue is served",
        queue: "b",
        is_known: true,
        sent_ms: 12_001,
        was_in_contact: true,
        is_allowed: true,
    },
];

fn judge() -> RulesJudge {
    let mut judge = RulesJudge::new(Limits {
        in_force_ms: 2_000,
        order_slack_ms: 250,
    });
    judge.publish(1, ["a"]);
    judge.publish(2, []);
    judge.publish(3, ["b"]);
    judge.acknowledge(2, 10_000);
    judge.acknowledge(3, 10_000);
    judge
}

fn answer(queue: &str, is_known: bool, sent_ms: u64) -> Answer<'_> {
    Answer {
        host: "entry-1",
        queue,
        is_known,
        sent_ms,
        answered_ms: sent_ms + 10,
        was_in_contact: true,
    }
}

#[gtest]
fn answers_after_the_limit_must_match_acknowledged_rules() {
    for case in CASES {
        let answer = Answer {
            was_in_contact: case.was_in_contact,
            ..answer(case.queue, case.is_known, case.sent_ms)
        };
        let verdict = judge().judge(&answer);
        expect_that!(verdict.is_ok(), eq(case.is_allowed), "{}", case.name);
    }
}

/// A host that has used newer rules must not use older ones again, even without contact to the
/// store.
#[gtest]
fn a_host_that_reverts_to_older_rules_is_reported() {
    let mut judge = judge();
    expect_that!(judge.judge(&answer("b", true, 10_100)), ok(eq(&())));
    let mut reverted = answer("b", false, 10_300);
    reverted.was_in_contact = false;
    // The host may have decided this answer before the previous one.
    expect_that!(judge.judge(&reverted), ok(eq(&())));
    reverted.sent_ms = 10_400;
    expect_that!(judge.judge(&reverted), err(anything()));
    // Another incarnation of the host has used no rules yet.
    reverted.host = "entry-1 again";
    expect_that!(judge.judge(&reverted), ok(eq(&())));
}
