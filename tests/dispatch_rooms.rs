//! Workers whose room shrinks and grows while they run.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::WORKER_RESOURCES;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Resources;
use googletest::prelude::*;

const SMALL: Resources = Resources {
    cpu_milli: 2_000,
    memory_mb: 2_000,
    accelerators: 0,
};

/// What happens while rooms change.
struct Case {
    name: &'static str,
    /// Workers refuse what does not fit; others start whatever they are told to.
    guards: bool,
    /// Time that a stop takes.
    stop_ms: u64,
    /// What happens, each second.
    besides: fn(&mut Fleet, u64),
}

fn resize_all(fleet: &mut Fleet, resources: Resources) {
    let addresses: Vec<Box<str>> = fleet.workers.keys().cloned().collect();
    for address in addresses {
        fleet.resize(&address, resources);
    }
}

/// Shrinks all rooms under what runs, and lets them grow again.
fn shrink_and_grow(fleet: &mut Fleet, second: u64) {
    match second {
        2 => resize_all(fleet, SMALL),
        12 => resize_all(fleet, WORKER_RESOURCES),
        _ => {}
    }
}

const CASES: &[Case] = &[
    Case {
        name: "workers that guard their room",
        guards: true,
        stop_ms: 0,
        besides: shrink_and_grow,
    },
    Case {
        name: "workers that do not",
        guards: false,
        stop_ms: 0,
        besides: shrink_and_grow,
    },
    // What is being stopped takes its room until it has ended.
    Case {
        name: "a job is cancelled, and its stops take a while",
        guards: false,
        stop_ms: 1_500,
        besides: |fleet, second| {
            shrink_and_grow(fleet, second);
            if second == 7 {
                fleet.cancel(0, JOB);
            }
        },
    },
    // The next owner must not go by the room that its predecessor has put on record.
    Case {
        name: "the owner dies right after rooms have shrunk",
        guards: false,
        stop_ms: 0,
        besides: |fleet, second| {
            shrink_and_grow(fleet, second);
            if second == 3 {
                let owner = owner(fleet);
                fleet.kill(owner);
                fleet.start(owner);
            }
        },
    },
    Case {
        name: "the owner stops as planned while rooms are small",
        guards: false,
        stop_ms: 300,
        besides: |fleet, second| {
            shrink_and_grow(fleet, second);
            if second == 6 {
                let owner = owner(fleet);
                fleet.stop(owner);
            }
        },
    },
    Case {
        name: "a worker crashes and is back with the small room",
        guards: false,
        stop_ms: 0,
        besides: |fleet, second| {
            shrink_and_grow(fleet, second);
            if second == 4 {
                fleet.crash("10.0.0.1:80");
            }
        },
    },
];

/// Symptom: a worker that does not guard its room holds more than it has, or jobs wait for good.
/// Sequence: rooms shrink under what runs and grow again, while jobs come and something else
/// happens.
#[gtest]
fn nothing_starts_beyond_a_room_that_has_shrunk() {
    for case in CASES {
        let mut fleet = Fleet::new(4, 4);
        for worker in fleet.workers.values_mut() {
            worker.enforces_resources = case.guards;
            worker.stop_ms = case.stop_ms;
        }
        fleet.submit(0, JOB, &job(vec![step(20, 9_000, &[])]));
        for second in 1..=20 {
            fleet.submit(1, second, &job(vec![step(4, 700, &[])]));
            fleet.run(1_000);
            (case.besides)(&mut fleet, second);
        }
        fleet.run(30_000);
        expect_that!(fleet.promises.refused_room, eq(0), "{}", case.name);
        expect_that!(fleet.promises.broken, is_empty(), "{}", case.name);
        for second in 1..=20 {
            expect_that!(
                fleet.state(1, second),
                some(eq(JobState::Completed)),
                "{}: job {second}",
                case.name
            );
        }
    }
}
