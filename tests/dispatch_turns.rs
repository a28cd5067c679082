//! What a turn of the owner costs: work for what has changed, and not for all that there is.

use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::Figures;
use googletest::prelude::*;

const JOB: u64 = 1;
const WATCHED_MS: u64 = 5_000;
/// Reports of a worker, steps of a run, records and answers that come between two looks.
const CHANGES_A_LOOK: u64 = 6;

/// Gives what an owner of so many workers did while a job with a hundred tasks ran.
fn watch(workers: usize) -> (Figures, Figures) {
    let mut fleet = Fleet::with_shares(&[1_000; 3], workers);
    let owner = owner(&fleet);
    let before = fleet.figures(owner);
    fleet.submit(
        owner,
        JOB,
        &job(vec![step(50, 400, &[]), step(50, 400, &[0])]),
    );
    fleet.run(WATCHED_MS);
    (before, fleet.figures(owner))
}

/// Symptom: an owner of 6,000 workers takes a third of a core, half of it for looking in each
/// turn through workers of which nothing has changed.
#[gtest]
fn a_turn_looks_over_only_workers_that_have_changed() {
    for workers in [60, 600, 3_000] {
        let (before, after) = watch(workers);
        expect_that!(after.done - before.done, eq(100), "{workers} workers");
        let looks = after.looks - before.looks;
        let looked_over = after.looked_over - before.looked_over;
        expect_that!(looked_over, le(CHANGES_A_LOOK * looks), "{workers} workers");
    }
}
