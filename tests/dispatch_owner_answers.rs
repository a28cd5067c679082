//! Queries that hosts forward to an owner without relays, and failures on the way.

use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Reply;
use goldcrestway_dispatch::Stream;
use googletest::prelude::*;

/// More than twice the number of hosts that monitor the owner.
const HOSTS: usize = 20;
/// Too few hosts for the owner to connect to them.
const FEW_HOSTS: usize = 9;
const WORKERS: usize = 8;
const JOB: u64 = 1;
/// Time after which a host has to query or to read for the length of a queue.
const COUNTS_AGED_MS: u64 = 3_500;
/// Number of queries to each host.
const ROUNDS: usize = 10;
const ROUND_MS: u64 = 500;
/// Hosts that monitor the owner, without the owner itself.
const WATCHERS: usize = 7;
/// Time after which they no longer rely on an owner that they do not hear, while other hosts do.
const RARELY_READ_MS: u64 = 1_500;
/// Maximum age of the states on a host that reads the owner's record often.
const OFTEN_READ_MS: u64 = 300;

/// Returns a fleet with a job that runs for a while, of which all hosts know.
fn fleet_with_job(hosts: usize) -> Fleet {
    let mut fleet = Fleet::new(hosts, WORKERS);
    let owner = fleet.owner().expect("there is an owner");
    fleet.submit(owner, JOB, &job(vec![step(8, 60_000, &[])]));
    fleet.run(10_000);
    fleet
}

/// Counts the reads of all hosts, beside their long polls, while callers query each host `rounds`
/// times for the state of a job and for the length of a queue.
fn reads_of_queries(fleet: &mut Fleet, rounds: usize) -> usize {
    fleet.short_reads.clear();
    let mut requests = Vec::new();
    for round in 0..ROUNDS {
        for host in 0..HOSTS {
            if round < rounds {
                requests.push((fleet.query(host, JOB), Reply::State(JobState::Running)));
                requests.push((fleet.count(host), Reply::Waiting(0)));
            }
        }
        fleet.run(ROUND_MS);
    }
    for (request, reply) in &requests {
        expect_that!(fleet.replies.get(request), some(eq(reply)));
    }
    fleet.short_reads.values().sum()
}

/// Guards against reads of the store for each query to a host that is not the owner.
#[gtest]
fn queries_to_many_hosts_cost_no_reads_of_the_store() {
    let mut fleet = fleet_with_job(HOSTS);
    let quiet_reads = reads_of_queries(&mut fleet, 0);
    let reads = reads_of_queries(&mut fleet, ROUNDS);
    // The rare reads of a host may fall into one period or the other.
    expect_that!(reads, le(quiet_reads + 5 * HOSTS));
    let owner = fleet.owner().expect("there is an owner");
    let stats = fleet.stats(owner);
    expect_that!(stats.informed_hosts, eq(HOSTS as u64 - 1));
    expect_that!(stats.relayed, eq(0), "orders go directly to workers");
    expect_that!(fleet.promises.broken, is_empty());
}

/// Guards against connections of an owner whose few other hosts all monitor it in any case.
#[gtest]
fn an_owner_of_few_hosts_connects_to_none() {
    let fleet = fleet_with_job(FEW_HOSTS);
    expect_that!(fleet.frame_bytes, eq(0));
}

/// Guards against hosts that claim because they have read no heartbeat of a live owner for seconds.
#[gtest]
fn hosts_that_rely_on_the_owner_do_not_claim() {
    let mut fleet = fleet_with_job(HOSTS);
    fleet.run(60_000);
    expect_that!(fleet.claims, eq(1));
}

/// Guards against regular reads of the owner's heartbeats by watchers that hear them over connections.
#[gtest]
fn watchers_that_hear_the_owner_read_its_heartbeats_rarely() {
    const QUIET_MS: u64 = 32_000;
    /// Interval between reads of a host that hears the owner.
    const INTERVAL_MS: u64 = 8_000;
    let mut fleet = fleet_with_job(HOSTS);
    fleet.short_reads.clear();
    fleet.run(QUIET_MS);
    let reads = fleet.short_reads.get(&Stream::States).copied();
    let max_reads = (QUIET_MS / INTERVAL_MS + 1) as usize * (HOSTS - 1);
    expect_that!(reads, some(le(max_reads)));
}

/// An owner that is lost, and the time within which another host has claimed.
struct Loss {
    name: &'static str,
    inject: fn(&mut Fleet, owner: usize),
    claimed_within_ms: u64,
    /// Interval at which its connections to other hosts break, if they do.
    break_interval_ms: Option<u64>,
}

const LOSSES: &[Loss] = &[
    Loss {
        name: "killed",
        inject: |fleet, owner| fleet.kill(owner),
        claimed_within_ms: 1_000,
        break_interval_ms: None,
    },
    Loss {
        name: "hangs",
        inject: |fleet, owner| fleet.pause(owner),
        claimed_within_ms: 1_000,
        break_interval_ms: None,
    },
    // It still answers the other hosts, but has no news of its heartbeats in the store.
    Loss {
        name: "cut off from the store",
        inject: |fleet, owner| fleet.cut_from_store(owner, true),
        claimed_within_ms: 1_000,
        break_interval_ms: None,
    },
    Loss {
        name: "stopped as planned",
        inject: |fleet, owner| fleet.stop(owner),
        claimed_within_ms: 350,
        break_interval_ms: None,
    },
    // Each new connection repeats what is known of its heartbeats.
    Loss {
        name: "cut off from the store, and its connections break",
        inject: |fleet, owner| fleet.cut_from_store(owner, true),
        claimed_within_ms: 1_000,
        break_interval_ms: Some(400),
    },
];

/// Phases of the rare reads and of heartbeats at which the owner is lost.
const PHASES: u64 = 10;
const PHASE_MS: u64 = 27;

/// Loses the owner, and returns the time until another host has claimed, at most 5 s.
fn time_to_claim(fleet: &mut Fleet, owner: usize, loss: &Loss) -> u64 {
    let lost_ms = fleet.now_ms;
    (loss.inject)(fleet, owner);
    while fleet.claims < 2 && fleet.now_ms < lost_ms + 5_000 {
        fleet.run(10);
        let interval_ms = loss.break_interval_ms;
        if interval_ms.is_some_and(|ms| (fleet.now_ms - lost_ms).is_multiple_of(ms)) {
            fleet.break_connections(owner);
        }
    }
    fleet.now_ms - lost_ms
}

/// Guards against a later change of owner where the watchers hear its heartbeats in place of
/// reading them.
#[gtest]
fn an_owner_that_is_lost_is_replaced_as_soon_as_if_its_heartbeats_were_read() {
    for loss in LOSSES {
        for phase in 0..PHASES {
            let name = format!("{}, phase {phase}", loss.name);
            let mut fleet = fleet_with_job(HOSTS);
            fleet.run(phase * PHASE_MS);
            let owner = fleet.owner().expect("there is an owner");
            let took_ms = time_to_claim(&mut fleet, owner, loss);
            expect_that!(took_ms, le(loss.claimed_within_ms), "{name}");
            fleet.resume(owner);
            fleet.run(5_000);
            expect_that!(fleet.owners(), eq(1), "{name}");
            expect_that!(fleet.promises.broken, is_empty(), "{name}");
        }
    }
}

/// Guards against a healthy owner that is replaced, as the watchers do not hear it over a
/// connection that has gone silent: they read its heartbeats again.
#[gtest]
fn an_owner_that_is_not_heard_but_read_is_kept() {
    let mut fleet = fleet_with_job(HOSTS);
    let owner = fleet.owner().expect("there is an owner");
    fleet.silence_connections(owner);
    fleet.run(20_000);
    expect_that!(fleet.claims, eq(1));
    expect_that!(fleet.owner(), some(eq(owner)));
}

/// A failure between hosts that forward queries and the owner.
struct Failure {
    name: &'static str,
    inject: fn(&mut Fleet, owner: usize, host: usize),
    /// Time within which the host answers queries that it gets right after the failure.
    answers_within_ms: u64,
}

const FAILURES: &[Failure] = &[
    Failure {
        name: "the owner is killed",
        inject: |fleet, owner, _| fleet.kill(owner),
        answers_within_ms: 300,
    },
    Failure {
        name: "the owner hangs",
        inject: |fleet, owner, _| fleet.pause(owner),
        answers_within_ms: 300,
    },
    Failure {
        name: "the owner is cut off from all hosts",
        inject: |fleet, owner, _| fleet.silence_connections(owner),
        answers_within_ms: 300,
    },
    Failure {
        name: "the owner is cut off from one host",
        inject: |fleet, _, host| fleet.silence_connections(host),
        answers_within_ms: 300,
    },
    Failure {
        name: "the owner is cut off from the store",
        inject: |fleet, owner, _| fleet.cut_from_store(owner, true),
        answers_within_ms: 300,
    },
    Failure {
        name: "a host is cut off from the store",
        inject: |fleet, _, host| fleet.cut_from_store(host, true),
        answers_within_ms: 300,
    },
    Failure {
        name: "the owner is stopped as planned",
        inject: |fleet, owner, _| fleet.stop(owner),
        answers_within_ms: 300,
    },
    Failure {
        name: "the host is stopped as planned",
        inject: |fleet, _, host| fleet.stop(host),
        answers_within_ms: 300,
    },
];

/// Guards against callers who wait, or are told to come again, as the host that they ask relies on
/// an owner that does not answer it: a host continues to read, and answers by itself.
#[gtest]
fn queries_are_answered_when_the_owner_does_not_answer() {
    for failure in FAILURES {
        // Queries that are in flight when it happens, and queries right after it.
        for in_flight in [true, false] {
            let mut fleet = fleet_with_job(HOSTS);
            let owner = fleet.owner().expect("there is an owner");
            let host = (owner + 1) % HOSTS;
            let name = format!("{}, in flight: {in_flight}", failure.name);
            if !in_flight {
                (failure.inject)(&mut fleet, owner, host);
            }
            let state = fleet.query(host, JOB);
            let count = fleet.count(host);
            if in_flight {
                (failure.inject)(&mut fleet, owner, host);
            }
            fleet.run(failure.answers_within_ms);
            let running = Reply::State(JobState::Running);
            expect_that!(fleet.replies.get(&state), some(eq(&running)), "{name}");
            let none_waits = Reply::Waiting(0);
            expect_that!(fleet.replies.get(&count), some(eq(&none_waits)), "{name}");
        }
    }
}

/// Guards against callers who wait for an owner that has answered that there is no such queue: its
/// rules are older than those of the host.
#[gtest]
fn queues_that_the_owner_does_not_know_yet_are_counted_by_reading() {
    const ANSWERS_WITHIN_MS: u64 = 150;
    let mut fleet = fleet_with_job(HOSTS);
    fleet.run(COUNTS_AGED_MS);
    let owner = fleet.owner().expect("there is an owner");
    let host = (owner + 1) % HOSTS;
    fleet.cut_from_store(owner, true);
    fleet.store.put(Stream::Rules, "config", &[2, b'a']);
    fleet.run(100);
    expect_that!(fleet.rules_version(host), eq(2));
    let before = fleet.stats(owner).host_queries;
    let count = fleet.count_in(host, "a");
    fleet.run(ANSWERS_WITHIN_MS);
    expect_that!(fleet.replies.get(&count), some(eq(&Reply::Waiting(0))));
    expect_that!(fleet.stats(owner).host_queries, eq(before + 1));
}

/// Guards against a count of a queue that the host knows to be removed when the owner's answer
/// arrives.
#[gtest]
fn counts_of_a_queue_end_once_a_host_knows_that_it_is_removed() {
    const STEP_MS: u64 = 5;
    const STEPS: usize = 40;
    let mut fleet = fleet_with_job(HOSTS);
    fleet.store.put(Stream::Rules, "config", &[2, b'a']);
    fleet.run(COUNTS_AGED_MS);
    let owner = fleet.owner().expect("there is an owner");
    let host = (owner + 1) % HOSTS;
    fleet.cut_from_store(owner, true);
    fleet.store.put(Stream::Rules, "config", &[3]);
    let mut counts = Vec::new();
    for _ in 0..STEPS {
        let knows_removal = fleet.rules_version(host) == 3;
        counts.push(fleet.count_in(host, "a"));
        fleet.run(STEP_MS);
        let replies = &fleet.replies;
        let is_counted = |count: &u64| matches!(replies.get(count), Some(Reply::Waiting(_)));
        expect_false!(knows_removal && counts.iter().any(is_counted));
        counts.retain(|count| !replies.contains_key(count));
    }
    expect_that!(fleet.rules_version(host), eq(3));
    expect_that!(counts, is_empty());
}

/// Returns the hosts of [`fleet_with_job`] that monitor the owner: those that read the owner's
/// record at once when they no longer hear it.
fn watchers() -> Vec<usize> {
    let mut fleet = fleet_with_job(HOSTS);
    let owner = fleet.owner().expect("there is an owner");
    fleet.silence_connections(owner);
    fleet.run(RARELY_READ_MS);
    let mut hosts: Vec<usize> = (0..HOSTS).collect();
    hosts.retain(|host| {
        let age_ms = fleet.ages(*host).states_ms;
        *host != owner && age_ms.is_some_and(|age_ms| age_ms < OFTEN_READ_MS)
    });
    hosts
}

/// Guards against a fleet without an owner when the owner and all hosts that monitor it are lost at
/// once: the others have read no heartbeat for seconds.
#[gtest]
fn hosts_that_rely_on_the_owner_claim_when_all_watchers_are_lost() {
    let watchers = watchers();
    expect_that!(watchers.len(), eq(WATCHERS));
    let mut fleet = fleet_with_job(HOSTS);
    let owner = fleet.owner().expect("there is an owner");
    for host in watchers {
        fleet.kill(host);
    }
    fleet.kill(owner);
    fleet.run(3_500);
    expect_that!(fleet.owners(), eq(1));
    expect_that!(fleet.promises.broken, is_empty());
}

/// Guards against claims of all other hosts at once when the owner hangs and all hosts that monitor
/// it are lost: they relied on the owner, and its silence began long before they read again.
#[gtest]
fn hosts_that_relied_on_the_owner_do_not_claim_all_at_once() {
    const PHASES: u64 = 10;
    const PHASE_MS: u64 = 790;
    let watchers = watchers();
    for phase in 0..PHASES {
        let mut fleet = fleet_with_job(HOSTS);
        fleet.run(phase * PHASE_MS);
        let owner = fleet.owner().expect("there is an owner");
        for host in &watchers {
            fleet.kill(*host);
        }
        fleet.pause(owner);
        fleet.run(7_000);
        expect_that!(fleet.claims, eq(2), "phase {phase}");
        expect_that!(fleet.promises.broken, is_empty(), "phase {phase}");
    }
}

/// Guards against a fleet without an owner when the owner and all hosts that monitor it are cut off
/// from the store: the others still hear the owner.
#[gtest]
fn hosts_that_hear_an_owner_without_heartbeats_in_the_store_claim() {
    let watchers = watchers();
    let mut fleet = fleet_with_job(HOSTS);
    let owner = fleet.owner().expect("there is an owner");
    for host in watchers {
        fleet.cut_from_store(host, true);
    }
    fleet.cut_from_store(owner, true);
    fleet.run(6_000);
    expect_that!(fleet.claims, eq(2));
    expect_that!(fleet.owner(), some(not(eq(owner))));
    expect_that!(fleet.promises.broken, is_empty());
}

/// Guards against a host that reads for each query for the rest of its life, as the owner does not
/// connect to its new incarnation.
#[gtest]
fn a_restarted_host_is_connected_again() {
    let mut fleet = fleet_with_job(HOSTS);
    let owner = fleet.owner().expect("there is an owner");
    let host = (owner + 1) % HOSTS;
    fleet.kill(host);
    fleet.run(2_000);
    expect_that!(fleet.stats(owner).informed_hosts, eq(HOSTS as u64 - 2));
    fleet.start(host);
    fleet.run(9_000);
    expect_that!(fleet.stats(owner).informed_hosts, eq(HOSTS as u64 - 1));
    let before = fleet.stats(owner).host_queries;
    expect_that!(fleet.state(host, JOB), some(eq(JobState::Running)));
    expect_that!(fleet.stats(owner).host_queries, eq(before + 1));
}

/// Guards against an owner that keeps the connection to the former address of a host, which lost
/// power and has closed nothing: without relays, nothing is pending on it that would time out.
#[gtest]
fn a_host_that_was_replaced_is_connected_again() {
    let mut fleet = fleet_with_job(HOSTS);
    let owner = fleet.owner().expect("there is an owner");
    let host = (owner + 1) % HOSTS;
    fleet.replace(host);
    fleet.run(9_000);
    expect_that!(fleet.stats(owner).informed_hosts, eq(HOSTS as u64 - 1));
    let before = fleet.stats(owner).host_queries;
    expect_that!(fleet.state(host, JOB), some(eq(JobState::Running)));
    expect_that!(fleet.stats(owner).host_queries, eq(before + 1));
}

/// Guards against connections to hosts that a growing number of workers has left no descriptors
/// for.
#[gtest]
fn an_owner_whose_workers_grow_closes_its_connections_to_hosts() {
    const DESCRIPTORS: u64 = 64;
    let mut fleet = Fleet::new(HOSTS, WORKERS);
    fleet.descriptors = DESCRIPTORS;
    for host in 0..HOSTS {
        fleet.kill(host);
        fleet.start(host);
    }
    fleet.run(10_000);
    // The number of workers, and whether the owner is connected to the other hosts.
    for (workers, is_connected) in [(12, true), (28, true), (29, false)] {
        for number in fleet.workers.len()..workers {
            fleet.add_worker(&format!("10.0.1.{number}:80"), &format!("w{number}-1"));
        }
        fleet.run(5_000);
        let owner = fleet.owner().expect("there is an owner");
        let expected = u64::from(is_connected) * (HOSTS as u64 - 1);
        let informed_hosts = fleet.stats(owner).informed_hosts;
        expect_that!(informed_hosts, eq(expected), "{workers} workers");
        let host = (owner + 1) % HOSTS;
        fleet.submit(owner, JOB, &job(vec![step(1, 60_000, &[])]));
        fleet.run(1_000);
        let before = fleet.stats(owner).host_queries;
        expect_that!(fleet.state(host, JOB), some(eq(JobState::Running)));
        let queries = fleet.stats(owner).host_queries - before;
        expect_that!(queries, eq(u64::from(is_connected)), "{workers} workers");
    }
    let frame_bytes = fleet.frame_bytes;
    fleet.run(5_000);
    expect_that!(fleet.frame_bytes, eq(frame_bytes));
    expect_that!(fleet.promises.broken, is_empty());
}

/// Guards against hosts that read jobs and yet query the owner although the switch is off: a
/// relaying owner is connected to them in any case.
#[gtest]
fn watchers_do_not_query_a_relaying_owner_if_that_is_switched_off() {
    for is_on in [true, false] {
        let mut fleet = Fleet::with_relays(FEW_HOSTS - 1, WORKERS);
        fleet.policy.owner_answers = is_on;
        for host in 0..fleet.host_count() {
            fleet.kill(host);
            fleet.start(host);
        }
        fleet.run(10_000);
        let owner = fleet.owner().expect("there is an owner");
        fleet.submit(owner, JOB, &job(vec![step(1, 60_000, &[])]));
        fleet.run(1_000);
        expect_that!(fleet.stats(owner).relays, gt(0));
        let host = (owner + 1) % fleet.host_count();
        let running = some(eq(JobState::Running));
        expect_that!(fleet.state(host, JOB), running, "on: {is_on}");
        let queries = fleet.stats(owner).host_queries;
        expect_that!(queries, eq(u64::from(is_on)), "on: {is_on}");
    }
}
