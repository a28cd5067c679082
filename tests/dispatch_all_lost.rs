//! All hosts are lost at once, and each starts again on a store that bears only so much.

use crate::fleet::Fleet;
use crate::fleet::Limits;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Reply;
use goldcrestway_dispatch::Stream;
use googletest::prelude::*;
use prost::Message;

/// Jobs on record that are over, half of a day's.
const FORMER_JOBS: u64 = 400;
/// Bytes of the text of each.
const TEXT_BYTES: usize = 600;
const JOB: u64 = 0x1_0000;
/// What the store bears: a twentieth of what 600 hosts would read in a second that each read
/// everything.
const LIMITS: Limits = Limits {
    read_bytes_per_s: 8_000_000,
    reads_per_s: 16_000,
    page_keys: 500,
};
/// Time by which a host serves again and the owner has started what waits: a fifth of what
/// operators allow for it.
const BACK_MS: u64 = 3_500;

/// Loads and reads of a host that starts, with a few polls until it hears of the owner.
const CALLS_A_HOST: usize = 24;
/// Bytes that it reads, with what all hosts write meanwhile.
const BYTES_A_HOST: u64 = 4_000;
/// Hosts that may read everything: those that look out for the owner, and some to spare.
const READERS_MOST: u64 = 24;

const COMPLETED: u8 = 2;
/// Heads of the fields that hold when a job came to its end, in a record of its state and in one
/// of its progress.
const STATE_FINAL: u8 = 2 << 3;
const PROGRESS_FINAL: u8 = 4 << 3;

/// How a job that is over stands on record.
fn final_record(head: u8, wall_ms: u64) -> Vec<u8> {
    const PHASE: u8 = 1 << 3;
    let mut record = vec![PHASE, COMPLETED, head];
    prost::encoding::encode_varint(wall_ms, &mut record);
    record
}

/// Puts jobs that are over on record.
fn put_history(fleet: &mut Fleet) {
    let mut former = job(vec![step(1, 500, &[])]);
    former.specification = "x".repeat(TEXT_BYTES);
    let former = former.encode_to_vec();
    let state = final_record(STATE_FINAL, fleet.wall_ms());
    let progress = final_record(PROGRESS_FINAL, fleet.wall_ms());
    for id in 0..FORMER_JOBS {
        let part = (id % 4) as u8;
        let name = format!("{id:016x}");
        fleet.store.put(Stream::States, &format!("p{name}"), &state);
        fleet
            .store
            .put(Stream::Progress, &format!("s{name}"), &progress);
        fleet
            .store
            .put(Stream::Jobs(part), &format!("j{name}"), &former);
    }
}

/// What it took until all hosts served again.
struct Recovery {
    calls: usize,
    bytes: u64,
    history_bytes: u64,
}

fn lose_all(hosts: usize) -> Recovery {
    let mut fleet = Fleet::with_relays(hosts, 4);
    let history_bytes = FORMER_JOBS * (TEXT_BYTES as u64 + 150);
    for number in 0..hosts {
        fleet.kill(number);
    }
    put_history(&mut fleet);
    fleet.run(1_000);
    fleet.store.limits = LIMITS;
    let (former_calls, former_bytes) = (fleet.store_calls_made, fleet.store.served_bytes());
    for number in 0..hosts {
        fleet.start(number);
    }
    // A caller comes as soon as a host takes any.
    fleet.run(500);
    let request = fleet.submit(hosts / 2, JOB, &job(vec![step(2, 200, &[])]));
    fleet.run(BACK_MS - 500);
    expect_that!(fleet.replies.get(&request), some(eq(&Reply::Stored)));
    let unready = (0..hosts).filter(|number| !fleet.is_ready(*number)).count();
    expect_that!(unready, eq(0), "{hosts} hosts");
    let recovery = Recovery {
        calls: fleet.store_calls_made - former_calls,
        bytes: fleet.store.served_bytes() - former_bytes,
        history_bytes,
    };
    // Whoever is asked knows what is over and what has come, and that nothing else is there.
    let asked = [1, hosts / 3, hosts - 1];
    for number in asked {
        expect_that!(fleet.state(number, JOB), some(eq(JobState::Completed)));
        expect_that!(fleet.state(number, 7), some(eq(JobState::Completed)));
        let request = fleet.query(number, JOB + 1);
        fleet.run(1_200);
        expect_that!(fleet.replies.get(&request), some(eq(&Reply::NoSuchJob)));
    }
    expect_that!(fleet.promises.broken, is_empty());
    recovery
}

/// Symptom: after all of 584 hosts were killed, the system never served again. Cause: each host
/// read all jobs on record before it took callers or claimed, gave reads up after a second while
/// the store was still at them, and began anew, so that most of what the store gave out was for
/// nobody.
#[gtest]
fn all_hosts_are_lost_and_serve_again_whatever_their_number() {
    for hosts in [60, 600, 1_200] {
        let Recovery {
            calls,
            bytes,
            history_bytes,
        } = lose_all(hosts);
        expect_that!(calls, le(CALLS_A_HOST * hosts), "{hosts} hosts");
        let bytes_most = READERS_MOST * history_bytes + BYTES_A_HOST * hosts as u64;
        expect_that!(bytes, le(bytes_most), "{hosts} hosts");
    }
}
