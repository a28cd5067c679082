//! Orders to start that are carried out late, beside jobs that are cancelled.

use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use googletest::prelude::*;

/// What happens between the order to start and its being carried out.
struct Case {
    name: &'static str,
    /// Orders are carried out so much later, without an answer.
    late_ms: u64,
    /// The job is cancelled so long after it was handed in.
    cancel_ms: u64,
    /// The host that gave the order is removed for good so long after the cancelling.
    removed_ms: Option<u64>,
}

const CASES: &[Case] = &[
    Case {
        name: "cancelled while the start is under way",
        late_ms: 2_500,
        cancel_ms: 200,
        removed_ms: None,
    },
    Case {
        name: "carried out after the stop was agreed on",
        late_ms: 6_000,
        cancel_ms: 1_000,
        removed_ms: None,
    },
    Case {
        name: "its starter is removed right after the cancelling",
        late_ms: 2_500,
        cancel_ms: 200,
        removed_ms: Some(50),
    },
    Case {
        name: "its starter is removed before the order is carried out",
        late_ms: 5_000,
        cancel_ms: 600,
        removed_ms: Some(400),
    },
    Case {
        name: "its starter is removed, and the order is carried out before another host owns",
        late_ms: 900,
        cancel_ms: 100,
        removed_ms: Some(0),
    },
];

/// Time after which nothing of a cancelled job may run, counted from the start of a task
/// that a worker began late: contact, cancelling and the grace of a stop.
const GONE_MS: u64 = 3_000 + 3_000 + 900;

/// Symptom: a task of a cancelled job runs on. Sequence: its start is ordered, has no answer,
/// and is carried out seconds later; meanwhile the job is cancelled, or the host that gave
/// the order is gone for good. Cause: nobody stops what nobody has seen start.
#[gtest]
fn tasks_started_late_end_with_their_cancelled_job() {
    let mut started = 0;
    for case in CASES {
        let mut fleet = Fleet::new(4, 3);
        let starter = owner(&fleet);
        let asked = (starter + 1) % 4;
        fleet.order_delay_ms = Some(case.late_ms);
        fleet.submit(asked, 0x7, &job(vec![step(3, 60_000, &[])]));
        fleet.run(300);
        fleet.order_delay_ms = None;
        fleet.run(case.cancel_ms);
        fleet.cancel(asked, 0x7);
        if let Some(removed_ms) = case.removed_ms {
            fleet.run(removed_ms);
            fleet.kill(starter);
        }
        fleet.run(case.late_ms + GONE_MS);
        expect_that!(fleet.list_cancelled_runs(), is_empty(), "{}", case.name);
        let running: usize = fleet
            .workers
            .values()
            .map(|worker| worker.shares().len())
            .sum();
        expect_that!(running, eq(0), "{}", case.name);
        expect_that!(fleet.promises.broken, is_empty(), "{}", case.name);
        started += fleet.promises.starts.len();
    }
    // Otherwise the cases would show nothing: some orders must have been carried out.
    expect_that!(started, gt(0));
}
