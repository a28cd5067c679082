//! How soon the owner knows that a task has ended.

use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::TaskId;
use googletest::prelude::*;

const JOB: u64 = 1;
const STEPS: u32 = 10;
/// Each step takes a little longer than a worker holds a look back, so that its end comes while no
/// look is under way.
const WORK_MS: u64 = 710;
/// A pause between looks, records of the end and of the next start, and the ways between.
const KNOWN_MS: u64 = 190;

/// Gives how long a job of steps that wait for one another takes.
fn play(workers: usize) -> u64 {
    let mut fleet = Fleet::with_shares(&[1_000; 3], workers);
    let owner = owner(&fleet);
    // Its list of workers comes in pages.
    fleet.store.limits.page_keys = 500;
    fleet.run(1_000);
    let mut steps: Vec<Step> = Vec::new();
    for number in 0..STEPS {
        let after: Vec<u32> = number.checked_sub(1).into_iter().collect();
        steps.push(step(3, WORK_MS, &after));
    }
    fleet.submit(owner, JOB, &job(steps));
    let began_ms = fleet.now_ms;
    let last = TaskId {
        job: JobId(JOB),
        occurrence: 0,
        step: STEPS as u16 - 1,
        index: 0,
    };
    while fleet.promises.completions_of(last) == 0 && fleet.now_ms < began_ms + 60_000 {
        fleet.run(10);
    }
    let took_ms = fleet.now_ms - began_ms;
    fleet.run(500);
    expect_that!(fleet.state(owner, JOB), some(eq(JobState::Completed)));
    took_ms
}

/// Symptom: jobs of short steps take a multiple of their work. Cause: the pause between two looks
/// at a worker grew with the number of all workers, and the end of each step was known so late.
#[gtest]
fn an_end_is_known_as_soon_among_thousands_of_workers() {
    for workers in [60, 600, 6_000] {
        let most_ms = u64::from(STEPS) * (WORK_MS + KNOWN_MS);
        expect_that!(play(workers), le(most_ms), "{workers} workers");
    }
}
