//! Tasks that take longer than their siblings, either by themselves or because of their worker.

use crate::dispatch::JOB;
use crate::fleet::Behaviour;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::TaskId;
use googletest::prelude::*;

/// Duration of most tasks, and of every third one.
const USUAL_MS: u64 = 1_000;
const LONG_MS: u64 = 3_500;

/// Guards against restarts of healthy tasks that are merely longer than their siblings.
#[gtest]
fn long_tasks_on_healthy_workers_are_not_replaced() {
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

/// Guards against tasks that remain on a worker that has become slow and delay their job.
#[gtest]
fn tasks_of_a_slow_worker_are_restarted_elsewhere() {
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

/// Guards against stalled tasks on a worker that still answers, which delay their job.
#[gtest]
fn stalled_tasks_are_restarted_elsewhere() {
    let mut fleet = Fleet::new(3, 6);
    if let Some(worker) = fleet.workers.get_mut("10.0.0.0:80") {
        worker.behaviour = Behaviour::Hangs;
    }
    fleet.submit(0, JOB, &job(vec![step(36, USUAL_MS, &[])]));
    fleet.run(4 * USUAL_MS);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
    expect_that!(fleet.promises.broken, is_empty());
}
