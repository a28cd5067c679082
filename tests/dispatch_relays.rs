//! Orders of an owner that other hosts relay, and what happens when those fail.

use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_core::Code;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Step;
use googletest::prelude::*;

const HOSTS: usize = 5;
const WORKERS: usize = 12;
const JOB: u64 = 1;

/// What happens to hosts that relay, or to their connections.
struct Case {
    name: &'static str,
    strike: fn(&mut Fleet, usize),
    heal: fn(&mut Fleet, usize),
    /// Time by which the job has ended, after it was handed in. Its two steps take 1,500 ms.
    ends_within_ms: u64,
}

fn nothing(_: &mut Fleet, _: usize) {}

const CASES: &[Case] = &[
    Case {
        name: "all is well",
        strike: nothing,
        heal: nothing,
        ends_within_ms: 2_200,
    },
    // Its connection ends, and its orders count as unknown; other relays ask what came of them.
    Case {
        name: "a relay is killed",
        strike: |fleet, relay| fleet.kill(relay),
        heal: nothing,
        ends_within_ms: 3_000,
    },
    // Nothing tells of it but orders that are overdue.
    Case {
        name: "a relay stands still",
        strike: |fleet, relay| fleet.pause(relay),
        heal: |fleet, relay| fleet.resume(relay),
        ends_within_ms: 4_500,
    },
    Case {
        name: "the connections of a relay go silent",
        strike: |fleet, relay| fleet.silence_connections(relay),
        heal: nothing,
        ends_within_ms: 4_500,
    },
    // The owner has no relay left, and gives its orders by itself.
    Case {
        name: "all relays are killed",
        strike: |fleet, _| {
            let owner = fleet.owner();
            for host in 0..HOSTS {
                if Some(host) != owner {
                    fleet.kill(host);
                }
            }
        },
        heal: nothing,
        ends_within_ms: 3_500,
    },
    // It takes no further orders, and what it has is answered.
    Case {
        name: "a relay is stopped as planned",
        strike: |fleet, relay| fleet.stop(relay),
        heal: nothing,
        ends_within_ms: 2_500,
    },
];

/// Symptom: tasks wait for seconds, run twice, or never run, after a host that was no owner has
/// failed. Sequence: orders are with it, and nobody says what became of them.
#[gtest]
fn jobs_outlive_the_hosts_that_relay_their_orders() {
    for case in CASES {
        for delay_ms in [5, 200, 600] {
            let mut fleet = Fleet::with_relays(HOSTS, WORKERS);
            let owner = fleet.owner().expect("there is an owner");
            let relay = (owner + 1) % HOSTS;
            let submission = job(vec![step(40, 1_000, &[]), step(8, 500, &[0])]);
            fleet.submit(owner, JOB, &submission);
            fleet.run(delay_ms);
            (case.strike)(&mut fleet, relay);
            fleet.run(case.ends_within_ms - delay_ms);
            let name = format!("{} after {delay_ms} ms", case.name);
            expect_that!(fleet.promises.ended.len(), eq(48), "{name}");
            (case.heal)(&mut fleet, relay);
            fleet.run(3_000);
            let state = fleet.state(owner, JOB);
            expect_that!(state, some(eq(JobState::Completed)), "{name}");
            expect_that!(fleet.promises.broken, is_empty(), "{name}");
            expect_that!(fleet.frame_bytes, gt(0), "{name}");
        }
    }
}

/// Symptom: a worker is given up though it is well. Cause: the host that relays its looks can't
/// reach it, and nobody else asked.
#[gtest]
fn a_worker_that_one_relay_misses_is_asked_directly() {
    let mut fleet = Fleet::with_relays(HOSTS, WORKERS);
    let owner = fleet.owner().expect("there is an owner");
    for host in 0..HOSTS {
        if host != owner {
            fleet.cut_from_workers(host, true);
        }
    }
    let lasting = Step {
        is_long_running: true,
        ..step(20, 100, &[])
    };
    fleet.submit(owner, JOB, &job(vec![lasting]));
    fleet.run(12_000);
    let given_up = fleet
        .note_counts
        .get(&Code::WorkerGone)
        .copied()
        .unwrap_or(0);
    expect_that!(given_up, eq(0));
    let starts = fleet.promises.starts.len();
    expect_that!(starts, eq(20), "each task started once");
    expect_that!(fleet.promises.broken, is_empty());
}

/// Symptom: each of thirty hosts that are stopped in turn costs the owner of 6,000 workers a tenth of
/// a second of a whole core. Cause: a relay that came or went had the relays of all workers selected
/// anew, by a hash for each worker and relay.
#[gtest]
fn a_relay_that_comes_and_goes_concerns_its_own_workers_only() {
    const MANY_HOSTS: usize = 60;
    const MANY_WORKERS: usize = 600;
    /// Relays that each worker has, and times that one changes as a host stops and starts.
    const CHOICES: u64 = 3;
    const CHANGES: u64 = 2;
    let mut fleet = Fleet::with_relays(MANY_HOSTS, MANY_WORKERS);
    fleet.run(3_000);
    let owner = fleet.owner().expect("there is an owner");
    let before = fleet.stats(owner).selected;
    let relay = (owner + 1) % MANY_HOSTS;
    fleet.kill(relay);
    fleet.run(1_000);
    fleet.start(relay);
    fleet.run(3_000);
    expect_that!(fleet.owner(), some(eq(owner)));
    let own = CHOICES * (MANY_WORKERS / MANY_HOSTS) as u64;
    // Workers are dealt out by chance: some relays have half as many again.
    let most = CHANGES * own * 3 / 2;
    expect_that!(fleet.stats(owner).selected - before, le(most));
}
