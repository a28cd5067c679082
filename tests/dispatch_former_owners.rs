//! Owners that go on after another host has begun to own.

use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use googletest::prelude::*;

const JOB: u64 = 1;
const TASKS: u32 = 4;
/// Time after which a crashed worker runs again.
const DOWN_MS: u64 = 5;

/// A pause of the owner.
struct Pause {
    /// Time from the submission of a job to the pause, in which the record of its runs is sent.
    offset_ms: u64,
    /// Time for which the owner goes on to be paused once its successor has finished the job.
    extra_ms: u64,
    /// Whether its steady clock stands still meanwhile.
    is_suspended: bool,
}

/// Guards against a task that runs again after its end was noted: the owner was paused while the store
/// answered that a run is recorded, its successor ran the task, the workers restarted under their ids
/// and knew no token, and the owner went on and ordered the run to start.
#[gtest]
fn an_owner_that_was_paused_starts_nothing_until_the_store_confirms_it_again() {
    let mut recorded = 0;
    for is_suspended in [false, true] {
        for extra_ms in [0, 200, 400, 600, 1_000, 2_000] {
            for offset_ms in [0, 5, 10, 15] {
                let pause = Pause {
                    offset_ms,
                    extra_ms,
                    is_suspended,
                };
                recorded += u32::from(play(&pause));
            }
        }
    }
    // Without a pause between record and order, the cases would prove nothing.
    expect_that!(recorded, gt(0));
}

/// Plays a pause, and returns whether the owner was paused before it had ordered anything.
fn play(pause: &Pause) -> bool {
    let name = format!(
        "offset {} extra {} suspended {}",
        pause.offset_ms, pause.extra_ms, pause.is_suspended
    );
    let mut fleet = Fleet::new(3, 4);
    fleet.keep_ids(true);
    fleet.set_restart_delay_ms(DOWN_MS);
    let ahead_ms = 3_600_000;
    for host in 0..3 {
        fleet.kill(host);
        fleet.set_steady_clock(host, ahead_ms);
        fleet.start(host);
    }
    fleet.run(8_000);
    let former = owner(&fleet);
    fleet.submit(former, JOB, &job(vec![step(TASKS, 20, &[])]));
    fleet.run(pause.offset_ms);
    fleet.pause(former);
    let paused_ms = fleet.now_ms;
    let has_ordered = !fleet.promises.starts.is_empty();
    for _ in 0..1_000 {
        if fleet.promises.ended.len() == TASKS as usize {
            break;
        }
        fleet.run(5);
    }
    fleet.run(300 + pause.extra_ms);
    for address in fleet.workers.keys().cloned().collect::<Vec<_>>() {
        fleet.crash(&address);
    }
    fleet.run(2 * DOWN_MS);
    let starts = fleet.promises.starts.len();
    if pause.is_suspended {
        fleet.set_steady_clock(former, ahead_ms - (fleet.now_ms - paused_ms));
    }
    fleet.resume(former);
    fleet.run(3_000);
    expect_that!(fleet.promises.starts.len(), eq(starts), "{name}");
    expect_that!(fleet.promises.broken, is_empty(), "{name}");
    !has_ordered
}

/// Time for which an owner may act after it was last confirmed, on which its successor relies, and
/// the time in which an answer arrives.
const UNCONFIRMED_MS: u64 = 1_500 + 100;

/// Guards against an owner that acts for two seconds longer than its successor expects: most workers had
/// answered it within the last two seconds, and that counted as if they had just done so. A worker that
/// it still reached got leases, while its successor took them for expired.
#[gtest]
fn an_owner_without_store_counts_from_the_answers_of_most_workers() {
    let mut fleet = Fleet::new(3, 4);
    let former = owner(&fleet);
    fleet.submit(former, JOB, &job(vec![step(TASKS, 60_000, &[])]));
    fleet.run(2_000);
    for host in 0..3 {
        fleet.cut_from_store(host, true);
    }
    fleet.run(3_000);
    let now_ms = fleet.now_ms;
    // Most workers still confirm it.
    expect_that!(now_ms - fleet.leases_given_ms[former], lt(1_000));
    for address in fleet.workers.keys().skip(1).cloned().collect::<Vec<_>>() {
        fleet.cut_workers.push(address);
    }
    fleet.run(6_000);
    let acted_ms = fleet.leases_given_ms[former] - now_ms;
    expect_that!(acted_ms, le(UNCONFIRMED_MS));
}
