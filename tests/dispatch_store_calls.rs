//! What hosts ask of the store while nothing happens: each call is paid for.

use crate::fleet::Fleet;
use goldcrestway_dispatch::Stream;
use googletest::prelude::*;

const HOSTS: usize = 12;
/// Parts of the stream of jobs.
const PARTITIONS: u8 = 4;
const QUIET_MS: u64 = 30_000;

/// Gives how often streams were read within a calm while, to be answered at once.
fn short_reads(streams: &[Stream]) -> usize {
    let mut fleet = Fleet::new(HOSTS, 4);
    fleet.run(2_000);
    fleet.short_reads.clear();
    fleet.run(QUIET_MS);
    let counts = streams.iter().map(|stream| fleet.short_reads.get(stream));
    counts.flatten().sum()
}

/// Hosts that do not own read all jobs every few seconds, which nobody has asked for.
#[gtest]
fn non_owners_read_jobs_rarely_without_queries() {
    /// A third of the time for which the store keeps its history.
    const INTERVAL_MS: u64 = 6_000;
    let partitions: Vec<Stream> = (0..PARTITIONS).map(Stream::Jobs).collect();
    let max_reads = (QUIET_MS / INTERVAL_MS + 1) as usize * usize::from(PARTITIONS) * (HOSTS - 1);
    expect_that!(short_reads(&partitions), le(max_reads));
}

/// What a host read and wrote until there was a first owner, on average.
struct FirstStart {
    calls: usize,
    bytes: u64,
}

fn measure_first_start(hosts: usize) -> FirstStart {
    let fleet = Fleet::with_relays(hosts, 4);
    expect_that!(fleet.owners(), eq(1), "{hosts} hosts");
    FirstStart {
        calls: fleet.store_calls_made / hosts,
        bytes: fleet.store.given_bytes() / hosts as u64,
    }
}

/// Symptom: a third of a calm day's calls are made in its first seconds. Cause: before there is an
/// owner all hosts read again and again which hosts there are, which is hosts times hosts.
#[gtest]
fn reads_of_a_host_before_the_first_owner_do_not_grow_with_the_number_of_hosts() {
    let few_hosts = measure_first_start(60);
    let many_hosts = measure_first_start(600);
    expect_that!(many_hosts.calls, le(few_hosts.calls * 5 / 4));
    // A few hosts read of all others: those whose turn to claim comes before the first owner shows.
    expect_that!(many_hosts.bytes, le(few_hosts.bytes * 2));
}

/// Symptom: for ten seconds after it began, an owner on a thin link extends no lease. Cause: it had
/// thousands of reports of workers to catch up with, and read the same ones three times at once, as
/// each read was under way when the next was due.
#[gtest]
fn reports_of_workers_are_not_read_concurrently() {
    const ANSWER_MS: u64 = 1_000;
    let mut fleet = Fleet::new(3, 4);
    fleet.store.answer_ms = ANSWER_MS;
    fleet.run(3_000);
    fleet.short_reads.clear();
    fleet.run(QUIET_MS);
    let reads = fleet.short_reads.get(&Stream::Workers).copied();
    expect_that!(reads, some(le((QUIET_MS / ANSWER_MS) as usize)));
}
