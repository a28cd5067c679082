//! How soon the owner detects that a task has ended.

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
/// Each step takes a little longer than a worker delays its answer to a poll, so that its exit
/// comes while no poll is pending.
const WORK_MS: u64 = 710;
/// Time for an interval between polls, the records of the exit and of the next start, and the
/// transit.
const DETECTION_MS: u64 = 190;

/// Returns the time that a job of consecutive steps takes, in milliseconds.
fn run_job(workers: usize) -> u64 {
    let mut fleet = Fleet::with_shares(&[1_000; 3], workers);
    let owner = owner(&fleet);
    // The owner reads the list of workers in pages.
    fleet.store.limits.page_keys = 500;
    fleet.run(1_000);
    let mut steps: Vec<Step> = Vec::new();
    for number in 0..STEPS {
        let after: Vec<u32> = number.checked_sub(1).into_iter().collect();
        steps.push(step(3, WORK_MS, &after));
    }
    fleet.submit(owner, JOB, &job(steps));
    let submitted_ms = fleet.now_ms;
    let last = TaskId {
        job: JobId(JOB),
        occurrence: 0,
        step: STEPS as u16 - 1,
        index: 0,
    };
    while fleet.promises.completions_of(last) == 0 && fleet.now_ms < submitted_ms + 60_000 {
        fleet.run(10);
    }
    let took_ms = fleet.now_ms - submitted_ms;
    fleet.run(500);
    expect_that!(fleet.state(owner, JOB), some(eq(JobState::Completed)));
    took_ms
}

/// Guards against jobs of short steps that take a multiple of their work: the interval between two
/// polls of a worker grew with the number of all workers, so each exit was detected late.
#[gtest]
fn exits_are_detected_as_fast_among_thousands_of_workers() {
    for workers in [60, 600, 6_000] {
        let max_ms = u64::from(STEPS) * (WORK_MS + DETECTION_MS);
        expect_that!(run_job(workers), le(max_ms), "{workers} workers");
    }
}
