//! Tasks that are retried repeatedly without success, and the tasks beside them.

use crate::dispatch::JOB;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Step;
use googletest::prelude::*;

/// Guards against jobs that start seconds late in an idle fleet. When each worker rejected the
/// tasks of one job as faulty, each rejection excluded that worker for all jobs for a second. One
/// such job thus kept all workers, one after the other, from all others permanently.
#[gtest]
fn a_task_that_all_workers_reject_does_not_delay_other_jobs() {
    let mut fleet = Fleet::new(3, 6);
    fleet.promises.faulty.insert(JobId(JOB));
    fleet.submit(0, JOB, &job(vec![step(12, 300, &[])]));
    fleet.run(2_000);
    for number in 1..=8 {
        fleet.submit(0, number, &job(vec![step(4, 200, &[])]));
        fleet.run(400);
        let done = fleet.promises.ended.iter();
        let done = done.filter(|task| task.job == JobId(number)).count();
        expect_that!(done, eq(4), "job {number}");
    }
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Queued)));
    let has_begun = fleet
        .promises
        .starts
        .iter()
        .any(|(_, task, _)| task.job == JobId(JOB));
    expect_that!(has_begun, eq(false));
}

/// Guards against one job that keeps the store and all workers busy. A long-running task that
/// failed as soon as it had started, on any worker, was restarted every 30 ms without end.
#[gtest]
fn restarts_of_a_task_that_fails_at_once_are_delayed_increasingly() {
    let mut fleet = Fleet::new(3, 6);
    fleet.promises.failing.insert(JobId(JOB));
    let long_running = Step {
        is_long_running: true,
        ..step(1, 1_000, &[])
    };
    fleet.submit(0, JOB, &job(vec![long_running]));
    fleet.run(10_000);
    expect_that!(fleet.promises.starts.len(), le(20));
    // Once it no longer fails, it soon runs again.
    fleet.promises.failing.clear();
    fleet.run(1_500);
    expect_that!(fleet.running(fleet.promises.starts[0].1), eq(1));
}
