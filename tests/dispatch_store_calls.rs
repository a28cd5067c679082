//! Calls of hosts to the store while nothing happens: each call is charged for.

use crate::fleet::Fleet;
use goldcrestway_dispatch::Stream;
use googletest::prelude::*;

const HOSTS: usize = 12;
/// Partitions of the stream of jobs.
const PARTITIONS: u8 = 4;
const QUIET_MS: u64 = 30_000;

/// Returns how often streams were read by reads that are no long polls, within a quiet period.
fn short_reads(streams: &[Stream]) -> usize {
    let mut fleet = Fleet::new(HOSTS, 4);
    fleet.run(2_000);
    fleet.short_reads.clear();
    fleet.run(QUIET_MS);
    let counts = streams.iter().map(|stream| fleet.short_reads.get(stream));
    counts.flatten().sum()
}

/// Hosts that do not own read all jobs every few seconds, although no caller has queried them.
#[gtest]
fn non_owners_read_jobs_rarely_without_queries() {
    /// A third of the time for which the store retains its history.
    const INTERVAL_MS: u64 = 6_000;
    let partitions: Vec<Stream> = (0..PARTITIONS).map(Stream::Jobs).collect();
    let max_reads = (QUIET_MS / INTERVAL_MS + 1) as usize * usize::from(PARTITIONS) * (HOSTS - 1);
    expect_that!(short_reads(&partitions), le(max_reads));
}

/// Average calls and bytes of a host until there was a first owner.
struct FirstStart {
    calls: usize,
    bytes: u64,
}

fn measure_first_start(hosts: usize) -> FirstStart {
    let fleet = Fleet::with_relays(hosts, 4);
    expect_that!(fleet.owners(), eq(1), "{hosts} hosts");
    FirstStart {
        calls: fleet.store_calls_made / hosts,
        bytes: fleet.store.served_bytes() / hosts as u64,
    }
}

/// A third of a quiet day's calls were made in its first seconds: before there is an owner, all
/// hosts read repeatedly which hosts exist, a load that grows with the square of their number.
#[gtest]
fn reads_of_a_host_before_the_first_owner_do_not_grow_with_the_number_of_hosts() {
    let few_hosts = measure_first_start(60);
    let many_hosts = measure_first_start(600);
    expect_that!(many_hosts.calls, le(few_hosts.calls * 5 / 4));
    // A few hosts read of all others: those whose turn to claim comes before the first owner is on
    // record.
    expect_that!(many_hosts.bytes, le(few_hosts.bytes * 2));
}

/// For ten seconds after it had started, an owner on a slow link extended no lease. It had
/// thousands of reports of workers to read, and read the same ones three times concurrently, as
/// each read was still pending when the next was due.
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
