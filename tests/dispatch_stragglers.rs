//! Tasks that take longer than their siblings, for reasons of their own or of their worker's.

use crate::dispatch::JOB;
use crate::fleet::Behaviour;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::TaskId;
use googletest::prelude::*;

/// Time that most tasks take, and that every third of them takes.
const USUAL_MS: u64 = 1_000;
const LONG_MS: u64 = 3_500;

/// Healthy tasks are stopped and begun again, since they are longer than their siblings.
#[gtest]
fn tasks_that_are_merely_long_are_left_where_they_are() {
    let mut fleet = Fleet::new(3, 6);
    for index in (0..36).step_by(3) {
        let task = TaskId {
            job: JobId(JOB),
            occurrence: 0,
            step: 0,
            index,
        };
        fleet.promises.lengths.insert(task, LONG_MS);
    }
    fleet.submit(0, JOB, &job(vec![step(36, USUAL_MS, &[])]));
    fleet.run(LONG_MS + 500);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
    expect_that!(fleet.promises.starts.len(), eq(36));
}

/// Tasks of a worker that has become slow are left there, and hold up their jobs.
#[gtest]
fn tasks_of_a_slow_worker_are_started_elsewhere() {
    let mut fleet = Fleet::new(3, 6);
    if let Some(worker) = fleet.workers.get_mut("10.0.0.0:80") {
        worker.behaviour = Behaviour::Slow;
    }
    fleet.submit(0, JOB, &job(vec![step(36, USUAL_MS, &[])]));
    fleet.run(3 * USUAL_MS);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
    expect_that!(fleet.promises.starts.len(), gt(36));
    expect_that!(fleet.promises.broken, is_empty());
}

/// Tasks that stand still on a worker that answers hold up their jobs.
#[gtest]
fn tasks_that_stand_still_are_started_elsewhere() {
    let mut fleet = Fleet::new(3, 6);
    if let Some(worker) = fleet.workers.get_mut("10.0.0.0:80") {
        worker.behaviour = Behaviour::Hangs;
    }
    fleet.submit(0, JOB, &job(vec![step(36, USUAL_MS, &[])]));
    fleet.run(4 * USUAL_MS);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
    expect_that!(fleet.promises.broken, is_empty());
}
