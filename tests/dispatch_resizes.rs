//! Workers whose resources are reduced and restored at run time.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::WORKER_RESOURCES;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Resources;
use googletest::prelude::*;

const REDUCED: Resources = Resources {
    cpu_milli: 2_000,
    memory_mb: 2_000,
    accelerators: 0,
};

/// Events while the resources of workers change.
struct Case {
    name: &'static str,
    /// Whether workers refuse what does not fit. Otherwise they start whatever they are ordered to.
    guards: bool,
    /// Time that it takes to stop a run.
    stop_ms: u64,
    /// Called after each second.
    each_second: fn(&mut Fleet, u64),
}

fn resize_all(fleet: &mut Fleet, resources: Resources) {
    let addresses: Vec<Box<str>> = fleet.workers.keys().cloned().collect();
    for address in addresses {
        fleet.resize(&address, resources);
    }
}

/// Reduces the resources of all workers below what runs there, and restores them later.
fn shrink_and_grow(fleet: &mut Fleet, second: u64) {
    match second {
        2 => resize_all(fleet, REDUCED),
        12 => resize_all(fleet, WORKER_RESOURCES),
        _ => {}
    }
}

const CASES: &[Case] = &[
    Case {
        name: "workers that refuse what does not fit",
        guards: true,
        stop_ms: 0,
        each_second: shrink_and_grow,
    },
    Case {
        name: "workers that start everything",
        guards: false,
        stop_ms: 0,
        each_second: shrink_and_grow,
    },
    // A stopping task occupies its resources until it has exited.
    Case {
        name: "a job is cancelled, and its tasks stop slowly",
        guards: false,
        stop_ms: 1_500,
        each_second: |fleet, second| {
            shrink_and_grow(fleet, second);
            if second == 7 {
                fleet.cancel(0, JOB);
            }
        },
    },
    // The next owner must not rely on the resources that the previous owner has recorded.
    Case {
        name: "the owner crashes right after resources are reduced",
        guards: false,
        stop_ms: 0,
        each_second: |fleet, second| {
            shrink_and_grow(fleet, second);
            if second == 3 {
                let owner = owner(fleet);
                fleet.kill(owner);
                fleet.start(owner);
            }
        },
    },
    Case {
        name: "the owner shuts down while resources are reduced",
        guards: false,
        stop_ms: 300,
        each_second: |fleet, second| {
            shrink_and_grow(fleet, second);
            if second == 6 {
                let owner = owner(fleet);
                fleet.stop(owner);
            }
        },
    },
    Case {
        name: "a worker crashes and restarts with reduced resources",
        guards: false,
        stop_ms: 0,
        each_second: |fleet, second| {
            shrink_and_grow(fleet, second);
            if second == 4 {
                fleet.crash("10.0.0.1:80");
            }
        },
    },
];

/// Guards against overcommitted workers that don't refuse what does not fit, and against jobs that
/// wait forever. The resources of workers are reduced below what runs there and restored, while
/// jobs are submitted and other events occur.
#[gtest]
fn nothing_starts_beyond_the_reduced_resources_of_a_worker() {
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
            (case.each_second)(&mut fleet, second);
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
