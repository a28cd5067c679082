//! Outages of the store, or of some of its streams.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::Mode;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::MAX_STORE_CALLS;
use goldcrestway_dispatch::Reply;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Stream;
use googletest::prelude::*;

/// Streams that a new owner can do without for a while.
const CASES: &[&[Stream]] = &[
    &[Stream::Workers],
    &[Stream::Jobs(0)],
    &[Stream::Jobs(1), Stream::Jobs(2), Stream::Workers],
    &[
        Stream::Jobs(0),
        Stream::Jobs(1),
        Stream::Jobs(2),
        Stream::Jobs(3),
    ],
];

/// While part of the store was unavailable, the owner stopped as planned, and its successors
/// claimed one after the other without ever starting to own, until all leases expired. They waited
/// for the list of workers, or the newest jobs, for longer than leases last.
#[gtest]
fn a_new_owner_starts_while_part_of_the_store_is_unavailable() {
    for away in CASES {
        let mut fleet = Fleet::new(3, 4);
        let long_running = Step {
            is_long_running: true,
            ..step(6, 1_000, &[])
        };
        for number in 0..6 {
            fleet.submit(
                number as usize % 3,
                0x10 + number,
                &job(vec![step(2, 300, &[])]),
            );
        }
        fleet.submit(0, 0x1, &job(vec![long_running]));
        fleet.run(1_000);
        fleet.submit(0, JOB, &job(vec![step(6, 9_000, &[]), step(2, 200, &[0])]));
        fleet.run(300);
        let starts = fleet.promises.starts.len();
        fleet.store.unavailable = away.to_vec();
        let owner = owner(&fleet);
        fleet.kill(owner);
        fleet.run(8_000);
        expect_that!(fleet.owners(), eq(1), "{away:?}");
        fleet.store.unavailable.clear();
        fleet.run(5_000);
        expect_that!(fleet.promises.broken, is_empty(), "{away:?}");
        let alive = (owner + 1) % 3;
        expect_that!(
            fleet.state(alive, JOB),
            some(eq(JobState::Completed)),
            "{away:?}"
        );
        // Only the second step, and jobs that the new owner had not read yet, are started.
        let restarts = fleet.promises.starts.len() - starts;
        expect_that!(restarts, eq(2), "{away:?}");
    }
}

/// All submissions were refused while a partition was unavailable, as all of them went to that
/// partition.
#[gtest]
fn submissions_use_available_partitions() {
    let mut fleet = Fleet::new(3, 4);
    fleet.store.unavailable = vec![Stream::Jobs(0), Stream::Jobs(2)];
    let mut requests = Vec::new();
    for number in 0..12 {
        let host = number as usize % 3;
        requests.push(fleet.submit(host, 0x100 + number, &job(vec![step(1, 100, &[])])));
        fleet.run(40);
    }
    fleet.run(600);
    for request in requests {
        expect_that!(fleet.replies.get(&request), some(eq(&Reply::Stored)));
    }
}

/// When no jobs were submitted, one host after the other claimed, and none owned for longer than a
/// second. More calls were pending than there were connections to the store, so the reads of a
/// claiming host waited behind long polls for two seconds.
#[gtest]
fn concurrent_calls_to_the_store_stay_within_the_limit() {
    let mut fleet = Fleet::new(4, 4);
    for round in 0..3 {
        for number in 0..30 {
            let host = number as usize % 4;
            let id = 0x1000 * (round + 1) + number;
            fleet.submit(host, id, &job(vec![step(2, 200, &[])]));
            fleet.query(host, 0xf_0000 + number);
            fleet.count(host);
            fleet.run(15);
        }
        let owner = owner(&fleet);
        fleet.kill(owner);
        fleet.run(2_500);
        fleet.start(owner);
        fleet.run(1_500);
    }
    expect_that!(fleet.max_store_calls, gt(10));
    expect_that!(fleet.max_store_calls, le(MAX_STORE_CALLS));
}

/// Time in which an owner that reaches the store reads what other hosts have stored.
const READ_WITHIN_MS: u64 = 1_200;

/// Jobs that other hosts had accepted did not start for seconds, and tasks of cancelled jobs were
/// still started, though the owner reached the store and the workers. The owner's connections to
/// the store had gone silent, as when the store drops what was sent during an outage. The owner
/// learns of jobs and cancellations by long polls, and awaited the lost ones until their timeout.
#[gtest]
fn an_owner_reads_new_jobs_soon_after_its_reads_were_lost() {
    for offset in 0..8 {
        let mut fleet = Fleet::new(3, 4);
        let long_running = Step {
            is_long_running: true,
            ..step(4, 1_000, &[])
        };
        let other = (owner(&fleet) + 1) % 3;
        fleet.submit(other, 0x1, &job(vec![long_running]));
        fleet.run(2_000 + 150 * offset);
        expect_that!(fleet.promises.starts.len(), eq(4));
        fleet.drop_store_connections(owner(&fleet));
        fleet.run(50);
        fleet.submit(other, JOB, &job(vec![step(2, 500, &[])]));
        fleet.cancel(other, 0x1);
        fleet.run(READ_WITHIN_MS);
        expect_that!(fleet.promises.starts.len(), eq(6), "offset {offset}");
        let mut long_running_runs = 0;
        for (_, task, _) in fleet.promises.starts.clone() {
            long_running_runs += u32::from(task.job.0 == 0x1 && fleet.running(task) > 0);
        }
        expect_that!(long_running_runs, eq(0), "offset {offset}");
        expect_that!(fleet.owners(), eq(1), "offset {offset}");
    }
}

/// The same with a store that answers nothing: all calls are then pending until their timeout, and
/// the first calls after its return must not wait for them.
#[gtest]
fn calls_during_an_outage_stay_within_the_limit() {
    let mut fleet = Fleet::new(4, 4);
    for round in 0..3 {
        for number in 0..100 {
            let is_silent = (20..80).contains(&number);
            fleet.store.mode = if is_silent { Mode::Silent } else { Mode::Up };
            let host = number as usize % 4;
            let id = 0x1000 * (round + 1) + number;
            fleet.submit(host, id, &job(vec![step(2, 200, &[])]));
            fleet.query(host, 0xf_0000 + number);
            fleet.count(host);
            fleet.run(50);
        }
        fleet.run(1_500);
    }
    expect_that!(fleet.max_store_calls, le(MAX_STORE_CALLS));
}

/// Callers with queries for a job that a host does not know waited for 0.9 s before they were told
/// to retry, while the store was known to be unavailable: the host awaited reads that could not
/// succeed.
#[gtest]
fn queries_are_deferred_at_once_while_the_store_is_unavailable() {
    let mut fleet = Fleet::new(3, 4);
    fleet.submit(0, JOB, &job(vec![step(1, 20_000, &[])]));
    // Hosts that do not own read jobs every six seconds.
    fleet.run(6_500);
    fleet.store.mode = Mode::Silent;
    fleet.run(4_000);
    for host in 0..3 {
        let unknown = fleet.query(host, 0x123);
        let known = fleet.query(host, JOB);
        fleet.run(5);
        let deferred = Reply::NotDone {
            retry_after_ms: 1_000,
        };
        expect_that!(fleet.replies.get(&unknown), some(eq(&deferred)));
        let running = Reply::State(JobState::Running);
        expect_that!(fleet.replies.get(&known), some(eq(&running)));
    }
}

/// Calls per second of a host that does not own during an outage: those that detect the store's
/// return, and those for rules, which a store that refuses at once answers four times a second.
const PROBES_PER_S: usize = 9;
/// Time after the store's return by which every host is ready again.
const RECOVERY_MS: u64 = 250;

/// Hosts refused callers for half a second and more after the store's return. They continued to
/// read all streams during the outage, awaited each read for half a second and more, and sent the
/// next one a while after one had failed.
#[gtest]
fn hosts_call_an_unavailable_store_rarely_and_recover_soon() {
    const HOSTS: usize = 8;
    for (mode, offset) in [Mode::Silent, Mode::Refuses]
        .into_iter()
        .flat_map(|mode| (0..8).map(move |offset| (mode, offset)))
    {
        let mut fleet = Fleet::new(HOSTS, 4);
        fleet.run(500 + 90 * offset);
        fleet.store.mode = mode;
        fleet.run(4_000);
        let owner = owner(&fleet);
        fleet.pause(owner);
        let before = fleet.store_calls_made;
        fleet.run(2_000);
        let calls = fleet.store_calls_made - before;
        let max_calls = 2 * PROBES_PER_S * (HOSTS - 1);
        expect_that!(calls, le(max_calls), "{mode:?}, offset {offset}");
        fleet.resume(owner);
        fleet.store.mode = Mode::Up;
        fleet.run(RECOVERY_MS);
        for host in 0..HOSTS {
            let is_ready = fleet.is_ready(host);
            expect_true!(is_ready, "{mode:?}, offset {offset}, host {host}");
        }
    }
}

/// Completed tasks ran a second time, all those of a job at once. A job was stored in a partition
/// that then became unavailable; the owner stopped, and its successor started without that
/// partition. Tasks of the job exited, and the exits were ignored, as the job was unknown. The
/// caller submitted the job again, and it was stored in an available partition. The successor
/// adopted the job with the runs on record, did not check the ignored exits again, and took the
/// runs for lost. From the log of such a day:
///
/// ```text
/// 30.435 JobStored what=submit           32.409 OwnerSuspected leaving=true
/// 33.072 OwnerBegun all_read=false       34.214 JobStored what=submit
/// 35.166 RunOrdered run=2                of a task whose run 1 was done at 32.786
/// ```
#[gtest]
fn exits_of_an_unread_job_count_after_it_is_submitted_again() {
    let all_partitions: Vec<Stream> = (0..4).map(Stream::Jobs).collect();
    for partition in 0..4 {
        let mut fleet = Fleet::new(3, 4);
        let owner = owner(&fleet);
        let other = (owner + 1) % 3;
        let submission = job(vec![step(6, 1_200, &[])]);
        // Appends use the partitions in turn, so one of these goes to the partition that remains.
        for number in 0..partition {
            fleet.submit(owner, 0x10 + number, &job(vec![step(1, 50, &[])]));
            fleet.run(20);
        }
        fleet.submit(owner, JOB, &submission);
        fleet.run(60);
        let starts = fleet.promises.starts.len();
        fleet.store.unavailable = all_partitions.clone();
        fleet.kill(owner);
        fleet.run(3_000);
        expect_that!(fleet.owners(), eq(1), "partition {partition}");
        fleet.store.unavailable.truncate(3);
        let mut stored = fleet.submit(other, JOB, &submission);
        for _ in 0..20 {
            fleet.run(200);
            if fleet.replies.get(&stored) == Some(&Reply::Stored) {
                break;
            }
            stored = fleet.submit(other, JOB, &submission);
        }
        fleet.run(2_000);
        expect_that!(
            fleet.promises.starts.len(),
            eq(starts),
            "partition {partition}"
        );
        fleet.store.unavailable.clear();
        fleet.run(4_000);
        expect_that!(
            fleet.promises.starts.len(),
            eq(starts),
            "partition {partition}"
        );
        let state = fleet.state(other, JOB);
        expect_that!(
            state,
            some(eq(JobState::Completed)),
            "partition {partition}"
        );
        expect_that!(fleet.promises.broken, is_empty(), "partition {partition}");
    }
}

/// While the store was unavailable for some hosts, their callers waited until their timeout without
/// an answer. A host that is connected to the owner reads only rules from the store, and took
/// seconds to detect the outage.
#[gtest]
fn a_host_connected_to_the_owner_detects_an_outage_soon() {
    /// Time until an append is late, and for which the store must then be in doubt.
    const DETECTION_MS: u64 = 1_000;
    for mode in [Mode::Silent, Mode::Refuses] {
        let mut fleet = Fleet::with_relays(12, 12);
        fleet.run(4_000);
        let owner = fleet.owner().expect("there is an owner");
        let host = (owner + 1) % 12;
        fleet.store.mode = mode;
        fleet.run(50);
        fleet.submit(host, JOB, &job(vec![step(1, 100, &[])]));
        fleet.run(DETECTION_MS);
        let request = fleet.submit(host, JOB + 1, &job(vec![step(1, 100, &[])]));
        fleet.run(10);
        let refused = Reply::NotDone {
            retry_after_ms: 1_000,
        };
        expect_that!(fleet.replies.get(&request), some(eq(&refused)), "{mode:?}");
        fleet.store.mode = Mode::Up;
        fleet.run(RECOVERY_MS);
        expect_true!(fleet.is_ready(host));
    }
}

/// Tasks of cancelled jobs started seconds after the cancellation was acknowledged. All hosts had
/// started while some partitions did not answer, all loads of these were lost, and the new owner
/// waited for their timeout although the partitions answered again.
#[gtest]
fn an_owner_loads_partitions_soon_after_they_answer_again() {
    /// Time after which the owner's next load is sent, and is answered.
    const LOADED_MS: u64 = 2_500;
    const JOBS: u64 = 8;
    for silent_ms in [4_000, 4_500, 5_500, 7_500] {
        let mut fleet = Fleet::new(3, 4);
        let ids: Vec<JobId> = (1..=JOBS).map(JobId).collect();
        // Appends use the partitions in turn, so some of these are in the silent ones.
        for id in &ids {
            let host = id.0 as usize % 3;
            fleet.submit(host, id.0, &job(vec![step(4, 20_000, &[])]));
        }
        fleet.run(300);
        fleet.store.silent = vec![Stream::Jobs(2), Stream::Jobs(3)];
        for host in 0..3 {
            fleet.kill(host);
            fleet.start(host);
        }
        fleet.run(silent_ms);
        fleet.store.silent.clear();
        fleet.run(LOADED_MS);
        let host = owner(&fleet);
        for (id, state) in fleet.states(host, &ids) {
            expect_that!(state, some(anything()), "{id:?}, silent for {silent_ms} ms");
        }
        expect_that!(
            fleet.promises.broken,
            is_empty(),
            "silent for {silent_ms} ms"
        );
    }
}
