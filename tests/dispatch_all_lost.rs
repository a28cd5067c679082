//! Loss and restart of all hosts at once, on a store with limited throughput.

use crate::fleet::Fleet;
use crate::fleet::Limits;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Reply;
use goldcrestway_dispatch::Stream;
use googletest::prelude::*;
use prost::Message;

/// Finished jobs on record, half of a day's.
const FINISHED_JOBS: u64 = 400;
/// Bytes of the text of each job.
const TEXT_BYTES: usize = 600;
const JOB: u64 = 0x1_0000;
/// Throughput of the store: a twentieth of what 600 hosts would read in a second if each read
/// everything.
const LIMITS: Limits = Limits {
    read_bytes_per_s: 8_000_000,
    reads_per_s: 16_000,
    page_keys: 500,
};
/// Time by which all hosts serve again and the owner has started the waiting tasks: a fifth of what
/// operators allow.
const RECOVERY_MS: u64 = 3_500;

/// Loads and reads of a starting host, with a few polls until the owner connects to it.
const CALLS_PER_HOST: usize = 24;
/// Bytes that it reads, including what all hosts write in the meantime.
const BYTES_PER_HOST: u64 = 4_000;
/// Hosts that may read everything: those that monitor the owner, and a margin.
const MAX_READERS: u64 = 24;

const COMPLETED: u8 = 2;
/// Tags of the fields with the final time of a job, in the record of its state and in that of its
/// progress.
const STATE_FINAL: u8 = 2 << 3;
const PROGRESS_FINAL: u8 = 4 << 3;

/// Returns the record of a completed job.
fn final_record(head: u8, wall_ms: u64) -> Vec<u8> {
    const PHASE: u8 = 1 << 3;
    let mut record = vec![PHASE, COMPLETED, head];
    prost::encoding::encode_varint(wall_ms, &mut record);
    record
}

/// Stores finished jobs.
fn store_finished_jobs(fleet: &mut Fleet) {
    let mut finished = job(vec![step(1, 500, &[])]);
    finished.specification = "x".repeat(TEXT_BYTES);
    let finished = finished.encode_to_vec();
    let state = final_record(STATE_FINAL, fleet.wall_ms());
    let progress = final_record(PROGRESS_FINAL, fleet.wall_ms());
    for id in 0..FINISHED_JOBS {
        let partition = (id % 4) as u8;
        let name = format!("{id:016x}");
        fleet.store.put(Stream::States, &format!("p{name}"), &state);
        fleet
            .store
            .put(Stream::Progress, &format!("s{name}"), &progress);
        fleet
            .store
            .put(Stream::Jobs(partition), &format!("j{name}"), &finished);
    }
}

/// Calls and bytes until all hosts served again.
struct Recovery {
    calls: usize,
    bytes: u64,
    history_bytes: u64,
}

fn measure_recovery(hosts: usize) -> Recovery {
    let mut fleet = Fleet::with_relays(hosts, 4);
    let history_bytes = FINISHED_JOBS * (TEXT_BYTES as u64 + 150);
    for number in 0..hosts {
        fleet.kill(number);
    }
    store_finished_jobs(&mut fleet);
    fleet.run(1_000);
    fleet.store.limits = LIMITS;
    let (calls_before, bytes_before) = (fleet.store_calls_made, fleet.store.served_bytes());
    for number in 0..hosts {
        fleet.start(number);
    }
    // A caller submits as soon as a host is ready.
    fleet.run(500);
    let request = fleet.submit(hosts / 2, JOB, &job(vec![step(2, 200, &[])]));
    fleet.run(RECOVERY_MS - 500);
    expect_that!(fleet.replies.get(&request), some(eq(&Reply::Stored)));
    let unready = (0..hosts).filter(|number| !fleet.is_ready(*number)).count();
    expect_that!(unready, eq(0), "{hosts} hosts");
    let recovery = Recovery {
        calls: fleet.store_calls_made - calls_before,
        bytes: fleet.store.served_bytes() - bytes_before,
        history_bytes,
    };
    // Every host knows the finished jobs and the new one, and that no other job exists.
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

/// After all of 584 hosts were killed, the system never served again. Each host read all jobs on
/// record before it accepted callers or claimed, timed out its reads after a second while the store
/// was still executing them, and started again, so that most of the store's output was discarded.
#[gtest]
fn all_hosts_serve_again_after_a_simultaneous_loss() {
    for hosts in [60, 600, 1_200] {
        let Recovery {
            calls,
            bytes,
            history_bytes,
        } = measure_recovery(hosts);
        expect_that!(calls, le(CALLS_PER_HOST * hosts), "{hosts} hosts");
        let max_bytes = MAX_READERS * history_bytes + BYTES_PER_HOST * hosts as u64;
        expect_that!(bytes, le(max_bytes), "{hosts} hosts");
    }
}
