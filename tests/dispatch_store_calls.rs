//! What hosts ask of the store while nothing happens: each call is paid for.

use crate::fleet::Fleet;
use goldcrestway_dispatch::Stream;
use googletest::prelude::*;

const HOSTS: usize = 12;
/// Parts of the stream of jobs.
const PARTS: u8 = 4;
const CALM_MS: u64 = 30_000;

/// Gives how often streams were read within a calm while, to be answered at once.
fn short_reads(streams: &[Stream]) -> usize {
    let mut fleet = Fleet::new(HOSTS, 4);
    fleet.run(2_000);
    fleet.short_reads.clear();
    fleet.run(CALM_MS);
    let counts = streams.iter().map(|stream| fleet.short_reads.get(stream));
    counts.flatten().sum()
}

/// Hosts that do not own read all jobs every few seconds, which nobody has asked for.
#[gtest]
fn followers_read_jobs_rarely_while_nobody_asks() {
    /// A third of the time for which the store keeps its history.
    const EACH_MS: u64 = 6_000;
    let parts: Vec<Stream> = (0..PARTS).map(Stream::Jobs).collect();
    let most = (CALM_MS / EACH_MS + 1) as usize * usize::from(PARTS) * (HOSTS - 1);
    expect_that!(short_reads(&parts), le(most));
}

/// What a host read and wrote until there was a first owner, on average.
struct FirstStart {
    calls: usize,
    bytes: u64,
}

fn start_first(hosts: usize) -> FirstStart {
    let fleet = Fleet::with_relays(hosts, 4);
    expect_that!(fleet.owners(), eq(1), "{hosts} hosts");
    FirstStart {
        calls: fleet.store_calls_made / hosts,
        bytes: fleet.store.served_bytes() / hosts as u64,
    }
}

/// Symptom: a third of a calm day's calls are made in its first seconds. Cause: before there is an
/// owner all hosts read again and again which hosts there are, which is hosts times hosts.
#[gtest]
fn what_hosts_read_before_the_first_owner_does_not_grow_with_their_number() {
    let few = start_first(60);
    let many = start_first(600);
    expect_that!(many.calls, le(few.calls * 5 / 4));
    // A few hosts read of all others: those whose turn to claim comes before the first owner shows.
    expect_that!(many.bytes, le(few.bytes * 2));
}

/// Symptom: for ten seconds after it began, an owner on a thin link extends no lease. Cause: it had
/// thousands of reports of workers to catch up with, and read the same ones three times at once, as
/// each read was under way when the next was due.
#[gtest]
fn reports_of_workers_are_not_read_twice_at_once() {
    const ANSWER_MS: u64 = 1_000;
    let mut fleet = Fleet::new(3, 4);
    fleet.store.answer_ms = ANSWER_MS;
    fleet.run(3_000);
    fleet.short_reads.clear();
    fleet.run(CALM_MS);
    let reads = fleet.short_reads.get(&Stream::Workers).copied();
    expect_that!(reads, some(le((CALM_MS / ANSWER_MS) as usize)));
}
