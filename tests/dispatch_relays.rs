//! Orders of an owner that other hosts relay, and failures of these hosts.

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

/// A fault of a host that relays orders, or of its connections.
struct Case {
    name: &'static str,
    inject_fault: fn(&mut Fleet, usize),
    end_fault: fn(&mut Fleet, usize),
    /// Time after its submission by which the job has completed. Its two steps take 1,500 ms.
    ends_within_ms: u64,
}

fn no_fault(_: &mut Fleet, _: usize) {}

const CASES: &[Case] = &[
    Case {
        name: "no fault",
        inject_fault: no_fault,
        end_fault: no_fault,
        ends_within_ms: 2_200,
    },
    // Its connection closes and its orders count as unknown. Other relays poll for the outcomes.
    Case {
        name: "a relay is killed",
        inject_fault: |fleet, relay| fleet.kill(relay),
        end_fault: no_fault,
        ends_within_ms: 3_000,
    },
    // Only overdue orders show it.
    Case {
        name: "a relay hangs",
        inject_fault: |fleet, relay| fleet.pause(relay),
        end_fault: |fleet, relay| fleet.resume(relay),
        ends_within_ms: 4_500,
    },
    Case {
        name: "the connections of a relay go silent",
        inject_fault: |fleet, relay| fleet.silence_connections(relay),
        end_fault: no_fault,
        ends_within_ms: 4_500,
    },
    // The owner has no relay left and sends its orders directly.
    Case {
        name: "all relays are killed",
        inject_fault: |fleet, _| {
            let owner = fleet.owner();
            for host in 0..HOSTS {
                if Some(host) != owner {
                    fleet.kill(host);
                }
            }
        },
        end_fault: no_fault,
        ends_within_ms: 3_500,
    },
    // It accepts no further orders, and answers those that it has.
    Case {
        name: "a relay is stopped as planned",
        inject_fault: |fleet, relay| fleet.stop(relay),
        end_fault: no_fault,
        ends_within_ms: 2_500,
    },
];

/// Tasks waited for seconds, ran twice, or never ran, after a host that was not the owner had
/// failed: orders were pending at it, and their outcomes were unknown.
#[gtest]
fn jobs_survive_failures_of_the_hosts_that_relay_their_orders() {
    for case in CASES {
        for delay_ms in [5, 200, 600] {
            let mut fleet = Fleet::with_relays(HOSTS, WORKERS);
            let owner = fleet.owner().expect("there is an owner");
            let relay = (owner + 1) % HOSTS;
            let submission = job(vec![step(40, 1_000, &[]), step(8, 500, &[0])]);
            fleet.submit(owner, JOB, &submission);
            fleet.run(delay_ms);
            (case.inject_fault)(&mut fleet, relay);
            fleet.run(case.ends_within_ms - delay_ms);
            let name = format!("{} after {delay_ms} ms", case.name);
            expect_that!(fleet.promises.ended.len(), eq(48), "{name}");
            (case.end_fault)(&mut fleet, relay);
            fleet.run(3_000);
            let state = fleet.state(owner, JOB);
            expect_that!(state, some(eq(JobState::Completed)), "{name}");
            expect_that!(fleet.promises.broken, is_empty(), "{name}");
            expect_that!(fleet.frame_bytes, gt(0), "{name}");
        }
    }
}

/// A healthy worker was removed, because the host that relayed its polls could not reach it and no
/// other host polled it.
#[gtest]
fn a_worker_that_relays_do_not_reach_is_called_directly() {
    let mut fleet = Fleet::with_relays(HOSTS, WORKERS);
    let owner = fleet.owner().expect("there is an owner");
    for host in 0..HOSTS {
        if host != owner {
            fleet.cut_from_workers(host, true);
        }
    }
    let long_running = Step {
        is_long_running: true,
        ..step(20, 100, &[])
    };
    fleet.submit(owner, JOB, &job(vec![long_running]));
    fleet.run(12_000);
    let removed = fleet
        .note_counts
        .get(&Code::WorkerGone)
        .copied()
        .unwrap_or(0);
    expect_that!(removed, eq(0));
    let starts = fleet.promises.starts.len();
    expect_that!(starts, eq(20), "each task started once");
    expect_that!(fleet.promises.broken, is_empty());
}

/// Each of thirty hosts that were stopped in turn cost the owner of 6,000 workers a tenth of a
/// second of a whole core: a relay that was added or removed caused the relays of all workers to be
/// selected anew, with a hash for each worker and relay.
#[gtest]
fn a_restarted_relay_affects_only_its_own_workers() {
    const MANY_HOSTS: usize = 60;
    const MANY_WORKERS: usize = 600;
    /// Relays of each worker, and changes of one relay when its host stops and starts.
    const RELAYS_PER_WORKER: u64 = 3;
    const CHANGES: u64 = 2;
    let mut fleet = Fleet::with_relays(MANY_HOSTS, MANY_WORKERS);
    fleet.run(3_000);
    let owner = fleet.owner().expect("there is an owner");
    let before = fleet.stats(owner).relay_selections;
    let relay = (owner + 1) % MANY_HOSTS;
    fleet.kill(relay);
    fleet.run(1_000);
    fleet.start(relay);
    fleet.run(3_000);
    expect_that!(fleet.owner(), some(eq(owner)));
    let per_change = RELAYS_PER_WORKER * (MANY_WORKERS / MANY_HOSTS) as u64;
    // Workers are distributed by hash: some relays have half as many again.
    let max_selections = CHANGES * per_change * 3 / 2;
    expect_that!(
        fleet.stats(owner).relay_selections - before,
        le(max_selections)
    );
}
