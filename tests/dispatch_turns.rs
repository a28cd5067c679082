//! What a turn of the owner costs: work for what has changed, and not for all that there is.

use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::OwnerStats;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Stream;
use googletest::prelude::*;

const JOB: u64 = 1;
const WATCHED_MS: u64 = 5_000;
/// Reports of a worker, steps of a run, records and answers that come between two looks.
const CHANGES_A_LOOK: u64 = 6;

/// Gives what an owner of so many workers did while a job with a hundred tasks ran.
fn watch(workers: usize) -> (OwnerStats, OwnerStats) {
    let mut fleet = Fleet::with_shares(&[1_000; 3], workers);
    let owner = owner(&fleet);
    let before = fleet.stats(owner);
    fleet.submit(
        owner,
        JOB,
        &job(vec![step(50, 400, &[]), step(50, 400, &[0])]),
    );
    fleet.run(WATCHED_MS);
    (before, fleet.stats(owner))
}

/// Symptom: an owner of 6,000 workers takes a third of a core, half of it for looking in each
/// turn through workers of which nothing has changed.
#[gtest]
fn a_turn_looks_over_only_workers_that_have_changed() {
    for workers in [60, 600, 3_000] {
        let (before, after) = watch(workers);
        expect_that!(after.done - before.done, eq(100), "{workers} workers");
        let polls = after.polls - before.polls;
        let workers_refreshed = after.workers_refreshed - before.workers_refreshed;
        expect_that!(
            workers_refreshed,
            le(CHANGES_A_LOOK * polls),
            "{workers} workers"
        );
    }
}

/// Symptom: with small hosts only, each new owner of 6,000 workers is taken for dead before it has
/// begun to act, and another one claims. Cause: it read the platform's list of workers beside the one
/// on record, and looked at all of them in one turn, in which it gave no sign of life.
#[gtest]
fn a_new_owner_begins_with_what_is_on_record_and_looks_at_few_workers_a_turn() {
    const WORKERS: usize = 1_200;
    const LOOKS_A_TURN: u64 = 100;
    /// More that may follow within a step of virtual time.
    const LOOKS_IN_STEP: u64 = 100;
    let mut fleet = Fleet::with_shares(&[400; 3], WORKERS);
    fleet.store.limits.page_keys = 500;
    fleet.run(2_000);
    let former = owner(&fleet);
    fleet.submit(former, JOB, &job(vec![step(20, 10_000, &[])]));
    fleet.run(1_000);
    fleet.kill(former);
    fleet.loads.clear();
    while fleet.owner().is_none() {
        fleet.run(5);
    }
    // The first page is asked for as it begins.
    expect_that!(fleet.loads.get(&Stream::Workers), none().or(some(eq(&1))));
    let next = owner(&fleet);
    let mut polls = fleet.stats(next).polls;
    expect_that!(polls, le(LOOKS_A_TURN));
    for _ in 0..200 {
        fleet.run(5);
        let now_looks = fleet.stats(next).polls;
        expect_that!(now_looks - polls, le(LOOKS_A_TURN + LOOKS_IN_STEP));
        polls = now_looks;
    }
    fleet.run(12_000);
    expect_that!(fleet.state(next, JOB), some(eq(JobState::Completed)));
    expect_that!(fleet.promises.starts.len(), eq(20));
}

/// Symptom: an owner gives no sign of life for a second while much waits in a fleet that is full. Cause:
/// each end was a reason to weigh all workers for each step that waits, a hundred times a second.
#[gtest]
fn a_full_fleet_costs_the_owner_no_more_than_its_part() {
    const WORKERS: usize = 300;
    const JOBS: u64 = 160;
    const CPU_PERMILLE: u64 = 20;
    /// A quarter of the owner's processor, at 40 ns each.
    const WEIGHED_A_MS: u64 = CPU_PERMILLE * 25 / 100 * 1_000 / 40;
    let mut fleet = Fleet::with_shares(&[CPU_PERMILLE; 3], WORKERS);
    let owner = owner(&fleet);
    for id in 0..JOBS {
        // Each task takes a whole worker, and they end at all times.
        let whole = Step {
            cpu_milli: 8_000,
            ..step(20, 700 + 17 * id, &[])
        };
        fleet.submit(owner, id, &job(vec![whole]));
    }
    fleet.run(2_000);
    let before = fleet.stats(owner).evaluated;
    fleet.run(WATCHED_MS);
    let evaluated = fleet.stats(owner).evaluated - before;
    let one_try = JOBS * WORKERS as u64;
    expect_that!(evaluated, le(WEIGHED_A_MS * WATCHED_MS + one_try));
}
