//! The cost of a turn of the owner: it must grow with what has changed and not with the size of the
//! fleet.

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
/// Maximum number of changes of a worker between two polls: reports, phases of runs, records and
/// answers.
const MAX_CHANGES_PER_POLL: u64 = 6;

/// Returns the owner's counters before and after a job of a hundred tasks, in a fleet of `workers`
/// workers.
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

/// Guards against turns that examine workers that have not changed. An owner of 6,000 workers used
/// a third of a core, half of it for these.
#[gtest]
fn a_turn_refreshes_only_workers_that_have_changed() {
    for workers in [60, 600, 3_000] {
        let (before, after) = watch(workers);
        expect_that!(after.done - before.done, eq(100), "{workers} workers");
        let polls = after.polls - before.polls;
        let workers_refreshed = after.workers_refreshed - before.workers_refreshed;
        expect_that!(
            workers_refreshed,
            le(MAX_CHANGES_PER_POLL * polls),
            "{workers} workers"
        );
    }
}

/// Guards against a new owner that is replaced before it can act. With small hosts only and 6,000
/// workers, it loaded the platform's list of workers besides the recorded one and polled all
/// workers in one turn. Meanwhile it sent no heartbeat, was assumed to be dead, and another host
/// claimed.
#[gtest]
fn a_new_owner_starts_from_the_recorded_workers_and_polls_few_per_turn() {
    const WORKERS: usize = 1_200;
    const MAX_POLLS_PER_TURN: u64 = 100;
    /// Additional polls that may follow within one step of virtual time.
    const MAX_EXTRA_POLLS_PER_STEP: u64 = 100;
    let mut fleet = Fleet::with_shares(&[400; 3], WORKERS);
    fleet.store.limits.page_keys = 500;
    fleet.run(2_000);
    let previous_owner = owner(&fleet);
    fleet.submit(previous_owner, JOB, &job(vec![step(20, 10_000, &[])]));
    fleet.run(1_000);
    fleet.kill(previous_owner);
    fleet.loads.clear();
    while fleet.owner().is_none() {
        fleet.run(5);
    }
    // The first page is requested when the owner starts.
    expect_that!(fleet.loads.get(&Stream::Workers), none().or(some(eq(&1))));
    let new_owner = owner(&fleet);
    let mut polls = fleet.stats(new_owner).polls;
    expect_that!(polls, le(MAX_POLLS_PER_TURN));
    for _ in 0..200 {
        fleet.run(5);
        let current_polls = fleet.stats(new_owner).polls;
        expect_that!(
            current_polls - polls,
            le(MAX_POLLS_PER_TURN + MAX_EXTRA_POLLS_PER_STEP)
        );
        polls = current_polls;
    }
    fleet.run(12_000);
    expect_that!(fleet.state(new_owner, JOB), some(eq(JobState::Completed)));
    expect_that!(fleet.promises.starts.len(), eq(20));
}

/// Guards against an owner that sends no heartbeat for a second while many steps wait in a full
/// fleet. Each exit caused an evaluation of all workers for each waiting step, a hundred times per
/// second.
#[gtest]
fn placement_in_a_full_fleet_stays_within_its_cpu_budget() {
    const WORKERS: usize = 300;
    const JOBS: u64 = 160;
    const CPU_PERMILLE: u64 = 20;
    /// Maximum number of evaluations per millisecond: a quarter of the owner's CPU, at 40 ns each.
    const MAX_EVALUATED_PER_MS: u64 = CPU_PERMILLE * 25 / 100 * 1_000 / 40;
    let mut fleet = Fleet::with_shares(&[CPU_PERMILLE; 3], WORKERS);
    let owner = owner(&fleet);
    for id in 0..JOBS {
        // Each task needs a whole worker, and tasks end at all times.
        let full_worker = Step {
            cpu_milli: 8_000,
            ..step(20, 700 + 17 * id, &[])
        };
        fleet.submit(owner, id, &job(vec![full_worker]));
    }
    fleet.run(2_000);
    let before = fleet.stats(owner).evaluated;
    fleet.run(WATCHED_MS);
    let evaluated = fleet.stats(owner).evaluated - before;
    let one_pass = JOBS * WORKERS as u64;
    expect_that!(evaluated, le(MAX_EVALUATED_PER_MS * WATCHED_MS + one_pass));
}
