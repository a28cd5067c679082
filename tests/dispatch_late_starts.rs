//! Orders to start that are carried out late, for jobs that are cancelled meanwhile.

use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use googletest::prelude::*;

/// What happens between the order to start and its execution.
struct Case {
    name: &'static str,
    /// Delay after which orders are carried out, without an answer.
    late_ms: u64,
    /// Time from the submission of the job until it is cancelled.
    cancel_ms: u64,
    /// Time from the cancellation until the host that sent the order is killed for good, if it is.
    removed_ms: Option<u64>,
}

const CASES: &[Case] = &[
    Case {
        name: "cancelled while the order to start is in flight",
        late_ms: 2_500,
        cancel_ms: 200,
        removed_ms: None,
    },
    Case {
        name: "carried out after the worker has accepted the order to stop",
        late_ms: 6_000,
        cancel_ms: 1_000,
        removed_ms: None,
    },
    Case {
        name: "the first owner is killed right after the cancellation",
        late_ms: 2_500,
        cancel_ms: 200,
        removed_ms: Some(50),
    },
    Case {
        name: "the first owner is killed before the order is carried out",
        late_ms: 5_000,
        cancel_ms: 600,
        removed_ms: Some(400),
    },
    Case {
        name: "the first owner is killed, and the order is carried out before another host claims",
        late_ms: 900,
        cancel_ms: 100,
        removed_ms: Some(0),
    },
];

/// Maximum time for which a run of a cancelled job may go on, counted from its late start: contact
/// with the worker, cancellation, and the grace period of a stop.
const MAX_STOP_MS: u64 = 3_000 + 3_000 + 900;

/// Guards against tasks of cancelled jobs that keep running. The order to start had no answer and
/// is carried out seconds later; meanwhile, the job is cancelled or the host that sent the order is
/// killed. Nobody stopped a run that nobody had seen start.
#[gtest]
fn late_started_tasks_of_cancelled_jobs_are_stopped() {
    let mut started = 0;
    for case in CASES {
        let mut fleet = Fleet::new(4, 3);
        let first_owner = owner(&fleet);
        let entry_host = (first_owner + 1) % 4;
        fleet.order_delay_ms = Some(case.late_ms);
        fleet.submit(entry_host, 0x7, &job(vec![step(3, 60_000, &[])]));
        fleet.run(300);
        fleet.order_delay_ms = None;
        fleet.run(case.cancel_ms);
        fleet.cancel(entry_host, 0x7);
        if let Some(removed_ms) = case.removed_ms {
            fleet.run(removed_ms);
            fleet.kill(first_owner);
        }
        fleet.run(case.late_ms + MAX_STOP_MS);
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
    // Without any start, the cases would prove nothing.
    expect_that!(started, gt(0));
}
