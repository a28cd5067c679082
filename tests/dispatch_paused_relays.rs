//! Orders that a host which relays them holds while it is paused, and that their owner has given up
//! by then.

use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobState;
use googletest::prelude::*;

const JOB: u64 = 1;
const TASKS: u32 = 4;
/// Time within which a job completes whose first orders are held: their timeout, a second attempt
/// and the run.
const COMPLETES_MS: u64 = 3_000;
/// Time after which a crashed worker runs again.
const DOWN_MS: u64 = 100;
/// Time within which a host that goes on handles what it has received.
const FIRST_TURN_MS: u64 = 5;

/// What happens between the pause of a host that relays orders and its end.
struct Case {
    name: &'static str,
    /// Time by which the steady clock of the paused host is ahead of the owner's.
    ahead_ms: u64,
    /// Time for which the host goes on to be paused after the workers have restarted.
    after_restart_ms: u64,
    /// Whether another host owns by the end of the pause.
    changes_owner: bool,
    /// Whether the host is suspended, so that its steady clock stands still meanwhile.
    is_suspended: bool,
    /// Length of an earlier suspension of the host, during which it held no order.
    suspended_before_ms: u64,
    /// Whether the owner of the job begins to own only once the other host is paused.
    is_new_owner: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "workers restart under their ids, and the host goes on at once",
        ahead_ms: 0,
        after_restart_ms: 0,
        changes_owner: false,
        is_suspended: false,
        suspended_before_ms: 0,
        is_new_owner: false,
    },
    Case {
        name: "the host goes on before its owner has heard of the restarted workers",
        ahead_ms: 0,
        after_restart_ms: 20,
        changes_owner: false,
        is_suspended: false,
        suspended_before_ms: 0,
        is_new_owner: false,
    },
    Case {
        name: "the clock of the host is ahead of the owner's by an hour",
        ahead_ms: 3_600_000,
        after_restart_ms: 0,
        changes_owner: false,
        is_suspended: false,
        suspended_before_ms: 0,
        is_new_owner: false,
    },
    Case {
        name: "the owner that sent the orders is gone",
        ahead_ms: 0,
        after_restart_ms: 0,
        changes_owner: true,
        is_suspended: false,
        suspended_before_ms: 0,
        is_new_owner: false,
    },
    // A connection to a paused host is established, as its system accepts it.
    Case {
        name: "the owner has connected to the host while it was paused",
        ahead_ms: 0,
        after_restart_ms: 0,
        changes_owner: false,
        is_suspended: false,
        suspended_before_ms: 0,
        is_new_owner: true,
    },
    Case {
        name: "the host is suspended",
        ahead_ms: 3_600_000,
        after_restart_ms: 0,
        changes_owner: false,
        is_suspended: true,
        suspended_before_ms: 0,
        is_new_owner: false,
    },
    Case {
        name: "the host was suspended a second before",
        ahead_ms: 3_600_000,
        after_restart_ms: 0,
        changes_owner: false,
        is_suspended: false,
        suspended_before_ms: 600,
        is_new_owner: false,
    },
];

/// Guards against a task that runs again after its end was noted: a paused host held the first order
/// to start it, the second one was answered and the run ended, its worker crashed and restarted under
/// its id, and the host went on and passed the first order on.
#[gtest]
fn a_relay_that_was_paused_does_not_pass_on_orders_that_were_given_up() {
    for case in CASES {
        let mut fleet = Fleet::with_relays(3, 4);
        fleet.keep_ids(true);
        fleet.set_restart_delay_ms(DOWN_MS);
        let mut owner = fleet.owner().expect("there is an owner");
        let relay = (owner + 1) % 3;
        let mut other = (owner + 2) % 3;
        fleet.kill(relay);
        fleet.set_steady_clock(relay, case.ahead_ms);
        fleet.start(relay);
        fleet.run(4_000);
        expect_that!(fleet.owner(), some(eq(owner)), "{}", case.name);
        let mut ahead_ms = case.ahead_ms;
        if case.suspended_before_ms > 0 {
            fleet.pause(relay);
            fleet.run(case.suspended_before_ms);
            ahead_ms -= case.suspended_before_ms;
            fleet.set_steady_clock(relay, ahead_ms);
            fleet.resume(relay);
            fleet.run(1_000);
        }
        fleet.pause(relay);
        let paused_ms = fleet.now_ms;
        if case.is_new_owner {
            fleet.kill(owner);
            fleet.run(4_000);
            fleet.start(owner);
            (owner, other) = (other, owner);
            expect_that!(fleet.owner(), some(eq(owner)), "{}", case.name);
        }
        fleet.submit(owner, JOB, &job(vec![step(TASKS, 100, &[])]));
        fleet.run(COMPLETES_MS);
        let state = fleet.state(owner, JOB);
        expect_that!(state, some(eq(JobState::Completed)), "{}", case.name);
        let starts = fleet.promises.starts.len();
        if case.changes_owner {
            fleet.kill(owner);
        }
        for address in fleet.workers.keys().cloned().collect::<Vec<_>>() {
            fleet.crash(&address);
        }
        fleet.run(DOWN_MS + case.after_restart_ms);
        let calls = fleet.worker_calls[relay];
        if case.is_suspended {
            fleet.set_steady_clock(relay, ahead_ms - (fleet.now_ms - paused_ms));
        }
        fleet.resume(relay);
        fleet.run(FIRST_TURN_MS);
        // A poll that is late would make a restarted worker forget exits that nobody has read.
        expect_that!(fleet.worker_calls[relay], eq(calls), "{}", case.name);
        fleet.run(5_000);
        expect_that!(fleet.promises.starts.len(), eq(starts), "{}", case.name);
        expect_that!(fleet.promises.broken, is_empty(), "{}", case.name);
        let state = fleet.state(other, JOB);
        expect_that!(state, some(eq(JobState::Completed)), "{}", case.name);
    }
}

/// Guards against polls that a paused host holds and passes on late: they acknowledge exits by number,
/// and a worker that has restarted would forget exits that nobody has read.
#[gtest]
fn a_relay_that_was_paused_does_not_pass_on_polls_that_were_given_up() {
    let mut expired = 0;
    for offset in [1, 2] {
        let mut fleet = Fleet::with_relays(3, 12);
        let owner = fleet.owner().expect("there is an owner");
        let relay = (owner + offset) % 3;
        // Each worker is polled all the time while tasks run there.
        fleet.submit(owner, JOB, &job(vec![step(40, 30_000, &[])]));
        fleet.run(2_000);
        fleet.pause(relay);
        let held = fleet.frame_bytes;
        fleet.run(COMPLETES_MS);
        expired += fleet.frame_bytes - held;
        let calls = fleet.worker_calls[relay];
        fleet.resume(relay);
        fleet.run(FIRST_TURN_MS);
        expect_that!(fleet.worker_calls[relay], eq(calls));
    }
    // Without any frame, this would prove nothing.
    expect_that!(expired, gt(0));
}

/// Guards against orders that are passed on although the connection of their owner has ended: an owner
/// gives up all orders of a relay that is silent as soon as the first of them is overdue.
#[gtest]
fn a_relay_drops_the_orders_of_a_connection_that_ends_in_the_same_turn() {
    let mut fleet = Fleet::with_relays(3, 4);
    let owner = fleet.owner().expect("there is an owner");
    let relay = (owner + 1) % 3;
    fleet.pause(relay);
    fleet.submit(owner, JOB, &job(vec![step(TASKS, 20, &[])]));
    fleet.run(100);
    fleet.break_connections(owner);
    fleet.run(100);
    let calls = fleet.worker_calls[relay];
    fleet.resume_at_once(relay);
    expect_that!(fleet.worker_calls[relay], eq(calls));
}
