//! What an owner learns of the durations of tasks, and what its successor knows of it.

use crate::dispatch::JOB;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::OwnerStats;
use googletest::prelude::*;

fn owner_stats(fleet: &Fleet) -> OwnerStats {
    let owner = fleet.owner().expect("there is an owner");
    fleet.stats(owner)
}

/// Guards against a successor that expects tasks to take as long as their callers estimate, until it
/// has seen enough of them itself.
#[gtest]
fn successor_expects_the_durations_that_were_learned() {
    let mut fleet = Fleet::new(3, 6);
    for number in 0..12 {
        fleet.submit(0, JOB + number, &job(vec![step(4, 300, &[])]));
    }
    fleet.run(8_000);
    expect_that!(owner_stats(&fleet).steps_learned, eq(12));
    expect_that!(owner_stats(&fleet).classes_learned, eq(1));
    let owner = fleet.owner().expect("there is an owner");
    fleet.kill(owner);
    fleet.run(6_000);
    expect_that!(owner_stats(&fleet).steps_learned, eq(0));
    expect_that!(owner_stats(&fleet).classes_learned, eq(1));
}

/// Guards against durations as long as the age of the process: a run that has ended while there was
/// no owner is adopted and ends at once, and its successor does not know when it was started.
#[gtest]
fn adopted_runs_teach_nothing() {
    let mut fleet = Fleet::new(3, 6);
    fleet.submit(0, JOB, &job(vec![step(12, 1_500, &[])]));
    fleet.run(1_000);
    let owner = fleet.owner().expect("there is an owner");
    fleet.kill(owner);
    fleet.run(8_000);
    expect_that!(
        fleet.state((owner + 1) % 3, JOB),
        some(eq(JobState::Completed))
    );
    expect_that!(owner_stats(&fleet).steps_learned, eq(0));
}

/// Guards against steps that count as ended although the owner has learned nothing from them.
#[gtest]
fn each_step_that_ends_is_learned_once() {
    let mut fleet = Fleet::new(3, 6);
    fleet.submit(0, JOB, &job(vec![step(6, 500, &[]), step(3, 500, &[0])]));
    fleet.run(4_000);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
    expect_that!(owner_stats(&fleet).steps_learned, eq(2));
}
