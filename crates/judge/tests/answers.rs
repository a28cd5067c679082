//! Answers that rules allow and that they don't.

use goldcrestway_judge::Answer;
use goldcrestway_judge::Limits;
use goldcrestway_judge::RulesJudge;
use googletest::prelude::*;

/// An answer of a host after three versions: queue `a` goes with version 2, `b` comes with
/// version 3, both acknowledged at 10 s.
struct Case {
    name: &'static str,
    queue: &'static str,
    is_known: bool,
    sent_ms: u64,
    was_in_touch: bool,
    is_allowed: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "a dropped queue, within the time",
        queue: "a",
        is_known: true,
        sent_ms: 12_000,
        was_in_touch: true,
        is_allowed: true,
    },
    Case {
        name: "a dropped queue, too late",
        queue: "a",
        is_known: true,
        sent_ms: 12_001,
        was_in_touch: true,
        is_allowed: false,
    },
    Case {
        name: "a dropped queue, too late, by a host out of touch",
        queue: "a",
        is_known: true,
        sent_ms: 12_001,
        was_in_touch: false,
        is_allowed: true,
    },
    Case {
        name: "a new queue is refused too late",
        queue: "b",
        is_known: false,
        sent_ms: 12_001,
        was_in_touch: true,
        is_allowed: false,
    },
    Case {
        name: "a new queue is served",
        queue: "b",
        is_known: true,
        sent_ms: 12_001,
        was_in_touch: true,
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
        was_in_touch: true,
    }
}

#[gtest]
fn answers_are_judged_by_what_was_acknowledged_in_time() {
    for case in CASES {
        let answer = Answer {
            was_in_touch: case.was_in_touch,
            ..answer(case.queue, case.is_known, case.sent_ms)
        };
        let verdict = judge().judge(&answer);
        expect_that!(verdict.is_ok(), eq(case.is_allowed), "{}", case.name);
    }
}

/// A host that has gone by newer rules goes by older ones, out of touch or not.
#[gtest]
fn a_host_that_goes_back_is_found() {
    let mut judge = judge();
    expect_that!(judge.judge(&answer("b", true, 10_100)), ok(eq(&())));
    let mut back = answer("b", false, 10_300);
    back.was_in_touch = false;
    // It may have been decided before the other one.
    expect_that!(judge.judge(&back), ok(eq(&())));
    back.sent_ms = 10_400;
    expect_that!(judge.judge(&back), err(anything()));
    // Another life of the host begins anew.
    back.host = "entry-1 again";
    expect_that!(judge.judge(&back), ok(eq(&())));
}
