//! Cancellations of jobs that the store may hold later, or never.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::Mode;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Reply;
use goldcrestway_dispatch::Stream;
use goldcrestway_dispatch::Submission;
use googletest::prelude::*;

const HOSTS: usize = 3;
const WORKERS: usize = 4;
/// Number of partitions of the stream of jobs.
const PARTITIONS: u8 = 4;
/// Time within which a cancellation is in force everywhere.
const IN_FORCE_MS: u64 = 3_000;
/// Time within which the job would have been completed.
const COMPLETED_MS: u64 = 14_000;
/// Time after which the records of a finished job are deleted: its retention, the slack, and two
/// searches.
const FORGOTTEN_MS: u64 = 120_000 + 60_000 + 2 * 10_000;

/// Jobs with higher numbers are cancelled and never submitted.
const NEVER_SUBMITTED: u64 = 1_000_000;

/// Returns a job whose second step starts seconds after the first.
fn two_steps() -> Submission {
    job(vec![step(2, 4_000, &[]), step(2, 2_000, &[0])])
}

/// Sends a submission that the store appends `delay_ms` later and does not answer.
fn submit_late(fleet: &mut Fleet, host: usize, delay_ms: u64) {
    fleet.append_delay_ms = Some(delay_ms);
    fleet.submit(host, JOB, &two_steps());
    fleet.append_delay_ms = None;
}

/// Moves the partition that a host appends to next.
fn rotate_partition(fleet: &mut Fleet, host: usize, by: u8) {
    for number in 0..by {
        let other = 1_000 + u64::from(number);
        fleet.submit(host, other, &job(vec![step(1, 10, &[])]));
        fleet.run(200);
    }
}

/// Checks that no task of the job starts once its cancellation is in force, and that it neither runs
/// nor is shown as anything but cancelled.
fn expect_cancelled(fleet: &mut Fleet, request: u64, name: &str) {
    let has_ended = |reply: &Reply| matches!(reply, Reply::Stored | Reply::NoSuchJob);
    let reply = fleet.replies.get(&request).cloned();
    expect_that!(
        reply.as_ref().is_some_and(has_ended),
        eq(true),
        "{name}: {reply:?}"
    );
    fleet.run(IN_FORCE_MS);
    let starts = starts_of_job(fleet);
    fleet.run(COMPLETED_MS);
    expect_that!(
        starts_of_job(fleet),
        eq(starts),
        "{name}: starts after the cancellation"
    );
    for host in 0..fleet.host_count() {
        let state = fleet.state(host, JOB);
        expect_that!(
            state,
            any![none(), some(eq(JobState::Cancelled))],
            "{name}: host {host}"
        );
    }
    expect_that!(fleet.promises.broken, is_empty(), "{name}");
}

fn starts_of_job(fleet: &Fleet) -> usize {
    let starts = fleet.promises.starts.iter();
    starts.filter(|(_, task, _)| task.job.0 == JOB).count()
}

/// A job and its cancellation, in the order in which their writes are sent and carried out.
struct CancelCase {
    name: &'static str,
    fleet: fn() -> Fleet,
    /// Submits the job, cancels it at the given host, and returns the request of the cancellation.
    play: fn(&mut Fleet, host: usize) -> u64,
}

fn few_hosts() -> Fleet {
    Fleet::new(HOSTS, WORKERS)
}

fn with_relays() -> Fleet {
    Fleet::with_relays(20, WORKERS)
}

const CANCEL_CASES: &[CancelCase] = &[
    CancelCase {
        name: "the submission is stored before its host repeats it",
        fleet: few_hosts,
        play: |fleet, host| {
            submit_late(fleet, 0, 600);
            fleet.run(500);
            let request = fleet.cancel(host, JOB);
            fleet.run(1_500);
            request
        },
    },
    CancelCase {
        name: "the host repeats the submission after the cancellation was answered",
        fleet: few_hosts,
        play: |fleet, host| {
            submit_late(fleet, 0, 1_000);
            fleet.run(500);
            let request = fleet.cancel(host, JOB);
            fleet.run(1_500);
            request
        },
    },
    CancelCase {
        name: "the host was killed, and the store appends four seconds late",
        fleet: few_hosts,
        play: |fleet, host| {
            submit_late(fleet, 0, 4_000);
            fleet.kill(0);
            fleet.start(0);
            fleet.run(3_000);
            let request = fleet.cancel(host, JOB);
            fleet.run(1_500);
            request
        },
    },
    CancelCase {
        name: "another host owns before the store appends",
        fleet: few_hosts,
        play: |fleet, host| {
            submit_late(fleet, 0, 12_000);
            fleet.kill(0);
            fleet.start(0);
            fleet.run(6_000);
            let request = fleet.cancel(host, JOB);
            fleet.run(1_000);
            let owner = owner(fleet);
            fleet.kill(owner);
            fleet.start(owner);
            fleet.run(1_000);
            request
        },
    },
    CancelCase {
        name: "all hosts are replaced before the store appends",
        fleet: few_hosts,
        play: |fleet, host| {
            submit_late(fleet, 0, 9_000);
            fleet.kill(0);
            fleet.start(0);
            fleet.run(3_000);
            let request = fleet.cancel(host, JOB);
            fleet.run(1_000);
            for number in 0..HOSTS {
                fleet.kill(number);
                fleet.start(number);
            }
            fleet.run(1_000);
            request
        },
    },
    CancelCase {
        name: "both are sent at once",
        fleet: few_hosts,
        play: |fleet, host| {
            fleet.submit(0, JOB, &two_steps());
            let request = fleet.cancel(host, JOB);
            fleet.run(1_500);
            request
        },
    },
    CancelCase {
        name: "the submission is sent after the cancellation was answered",
        fleet: few_hosts,
        play: |fleet, host| {
            let request = fleet.cancel(host, JOB);
            fleet.run(1_500);
            fleet.submit(0, JOB, &two_steps());
            fleet.run(500);
            request
        },
    },
    CancelCase {
        name: "a copy of the submission arrives after the job was cancelled twice",
        fleet: few_hosts,
        play: |fleet, host| {
            fleet.cancel(0, JOB);
            fleet.run(1_500);
            let request = fleet.cancel(host, JOB);
            fleet.run(1_500);
            submit_late(fleet, 1, 1_000);
            fleet.run(2_000);
            request
        },
    },
    CancelCase {
        name: "the job had ended and was forgotten, and a copy of the submission arrives",
        fleet: few_hosts,
        play: |fleet, host| {
            fleet.submit(0, JOB, &two_steps());
            fleet.run(COMPLETED_MS + FORGOTTEN_MS);
            let request = fleet.cancel(host, JOB);
            fleet.run(1_500);
            let owner = owner(fleet);
            fleet.kill(owner);
            fleet.start(owner);
            fleet.run(5_000);
            // The worker does not know either that these tasks have ended.
            fleet.add_worker("10.0.0.0:80", "w0-2");
            fleet.submit(1, JOB, &two_steps());
            fleet.run(500);
            request
        },
    },
    CancelCase {
        name: "hosts that read only rules ask the owner",
        fleet: with_relays,
        play: |fleet, host| {
            submit_late(fleet, 19, 2_000);
            fleet.kill(19);
            fleet.start(19);
            fleet.run(500);
            let request = fleet.cancel(18 - host, JOB);
            fleet.run(1_500);
            request
        },
    },
];

/// Guards against starts after a cancellation that was answered: no job was known, while its
/// submission was still being stored.
#[gtest]
fn a_job_that_is_stored_after_its_cancellation_does_not_run() {
    for case in CANCEL_CASES {
        for host in 0..HOSTS {
            let mut fleet = (case.fleet)();
            let request = (case.play)(&mut fleet, host);
            let name = format!("{}, cancelled at host {host}", case.name);
            expect_cancelled(&mut fleet, request, &name);
        }
    }
}

/// The same for each pair of partitions that hold the submission and the cancellation.
#[gtest]
fn a_cancellation_counts_in_whichever_partition_it_is() {
    for pair in 0..PARTITIONS * PARTITIONS {
        for is_late in [false, true] {
            let mut fleet = few_hosts();
            rotate_partition(&mut fleet, 0, pair / PARTITIONS);
            rotate_partition(&mut fleet, 1, pair % PARTITIONS);
            if is_late {
                submit_late(&mut fleet, 0, 1_000);
            }
            let request = fleet.cancel(1, JOB);
            fleet.run(800);
            if !is_late {
                fleet.submit(0, JOB, &two_steps());
            }
            fleet.run(800);
            let owner = owner(&fleet);
            fleet.kill(owner);
            fleet.start(owner);
            expect_cancelled(&mut fleet, request, &format!("pair {pair}, late {is_late}"));
        }
    }
}

/// Guards against a cancellation that is dropped with the records of the same job, which had ended
/// long before: the deletions are read after the newer cancellation, as they are in other partitions.
#[gtest]
fn a_cancellation_outlasts_the_deletion_of_older_records() {
    for had_ended in [false, true] {
        for state_goes_first in [false, true] {
            let mut fleet = few_hosts();
            let id = JobId(JOB);
            if had_ended {
                fleet.submit(0, JOB, &job(vec![step(1, 100, &[])]));
                fleet.run(3_000);
            }
            fleet.store.put(Stream::Jobs(0), &format!("c{id}"), b"1");
            fleet.run(8_000);
            let deletions = [
                (Stream::States, format!("p{id}")),
                (Stream::Jobs(1), format!("j{id}")),
                (Stream::Jobs(2), format!("j{id}")),
                (Stream::Jobs(3), format!("j{id}")),
                (Stream::Progress, format!("s{id}")),
            ];
            let skipped = usize::from(!state_goes_first);
            for (stream, key) in deletions.iter().skip(skipped).chain(&deletions[..skipped]) {
                fleet.store.put(*stream, key, b"");
                fleet.run(8_000);
            }
            // The worker does not know any more that the task has ended.
            for number in 0..WORKERS {
                fleet.add_worker(&format!("10.0.0.{number}:80"), &format!("w{number}-2"));
            }
            let owner = owner(&fleet);
            fleet.kill(owner);
            fleet.run(5_000);
            fleet.start(owner);
            let starts = starts_of_job(&fleet);
            fleet.submit((owner + 1) % HOSTS, JOB, &two_steps());
            fleet.run(COMPLETED_MS);
            let name = format!("{had_ended} {state_goes_first}");
            expect_that!(starts_of_job(&fleet), eq(starts), "{name}");
        }
    }
}

/// Guards against jobs that are shown although nobody has submitted them.
#[gtest]
fn a_cancelled_job_that_was_never_submitted_is_not_shown() {
    let mut fleet = few_hosts();
    for attempt in 0..2 {
        let request = fleet.cancel(1, JOB);
        fleet.run(1_500);
        expect_that!(
            fleet.replies.get(&request),
            some(eq(&Reply::NoSuchJob)),
            "{attempt}"
        );
        for host in 0..HOSTS {
            let request = fleet.query(host, JOB);
            let count = fleet.count(host);
            fleet.run(2_500);
            expect_that!(fleet.replies.get(&request), some(eq(&Reply::NoSuchJob)));
            expect_that!(fleet.replies.get(&count), some(eq(&Reply::Waiting(0))));
        }
    }
}

/// Guards against an answer that no job exists while the cancellation can't be stored.
#[gtest]
fn no_cancellation_is_confirmed_while_the_store_is_away() {
    const MODES: [Mode; 3] = [Mode::Refuses, Mode::Silent, Mode::LosesAnswers];
    for mode in MODES {
        for away_ms in [0, 4_000] {
            let mut fleet = few_hosts();
            fleet.store.mode = mode;
            fleet.run(away_ms);
            let request = fleet.cancel(1, JOB);
            fleet.run(4_000);
            let reply = fleet.replies.get(&request).cloned();
            let is_open = matches!(reply, Some(Reply::NotDone { .. } | Reply::Unknown));
            expect_that!(is_open, eq(true), "{mode:?} {away_ms}: {reply:?}");
        }
    }
}

/// Guards against records of cancelled jobs that never existed, which no host would delete.
#[gtest]
fn cancellations_of_jobs_that_never_existed_are_forgotten() {
    const CANCELLED: u64 = 700;
    let mut fleet = few_hosts();
    let keys = |fleet: &Fleet| -> usize {
        let partitions = (0..PARTITIONS).map(Stream::Jobs);
        let streams = partitions.chain([Stream::Progress, Stream::States]);
        streams.map(|stream| fleet.store.keys(stream)).sum()
    };
    let before = keys(&fleet);
    for number in 0..CANCELLED {
        fleet.cancel(number as usize % HOSTS, JOB + number);
        fleet.run(10);
    }
    fleet.run(3_000);
    expect_that!(keys(&fleet), ge(before + CANCELLED as usize));
    fleet.run(FORGOTTEN_MS);
    // The owner has recorded what it has learned meanwhile.
    expect_that!(keys(&fleet), le(before + 2));
}

/// Guards against cancellations that a host keeps without limit, as callers name any number of jobs
/// that do not exist. Those of jobs that exist are accepted all the same.
#[gtest]
fn a_host_keeps_a_limited_number_of_cancellations_without_a_job() {
    const MAX_KEPT: u64 = 20_000;
    const AT_A_TIME: u64 = 500;
    let mut fleet = few_hosts();
    let host = owner(&fleet);
    fleet.submit(host, JOB, &two_steps());
    fleet.run(500);
    let mut requests = Vec::new();
    for number in 0..MAX_KEPT + AT_A_TIME {
        requests.push(fleet.cancel(host, NEVER_SUBMITTED + number));
        if number % AT_A_TIME == 0 {
            fleet.run(200);
        }
    }
    fleet.run(3_000);
    let is_confirmed = |request: &&u64| fleet.replies.get(*request) == Some(&Reply::NoSuchJob);
    let confirmed = requests.iter().filter(is_confirmed).count();
    expect_that!(
        confirmed as u64,
        all![ge(MAX_KEPT), lt(MAX_KEPT + AT_A_TIME)]
    );
    let refused = fleet.replies.get(requests.last().unwrap());
    expect_that!(refused, some(matches_pattern!(Reply::NotDone { .. })));
    let request = fleet.cancel(host, JOB);
    fleet.run(1_500);
    expect_that!(fleet.replies.get(&request), some(eq(&Reply::Stored)));
    fleet.run(FORGOTTEN_MS);
    let request = fleet.cancel(host, NEVER_SUBMITTED);
    fleet.run(1_500);
    expect_that!(fleet.replies.get(&request), some(eq(&Reply::NoSuchJob)));
}
