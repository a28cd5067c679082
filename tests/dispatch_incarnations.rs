//! Workers that start again under the id that they had, and know nothing of before.

use crate::dispatch::JOB;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobState;
use googletest::prelude::*;

/// Time after which a worker that has crashed is back, a tenth of its lease.
const BACK_MS: u64 = 600;

/// Gives a fleet whose workers have each ended some tasks well, so that their ends are numbered
/// higher than those of a worker that has just started.
fn seasoned(workers: usize) -> Fleet {
    let mut fleet = Fleet::new(3, workers);
    fleet.keep_ids(true);
    fleet.set_back_ms(BACK_MS);
    for number in 0..3 {
        let count = 8 * workers as u32;
        fleet.submit(0, JOB + 100 + number, &job(vec![step(count, 300, &[])]));
        fleet.run(2_000);
    }
    fleet
}

/// Crashes all workers at once.
fn crash_all(fleet: &mut Fleet) {
    let addresses: Vec<Box<str>> = fleet.workers.keys().cloned().collect();
    for address in addresses {
        fleet.crash(&address);
    }
}

/// Tasks of quick jobs that had ended well were started again a second later on another worker;
/// 1,562 of them in two minutes. The worker had crashed, and 0.6 s later it had started again under
/// its old id, so that it was heard again before it was given up: 19 lines like `WorkerBack runs=0`
/// and no `WorkerGone`. All 95 runs that were followed by another one with no end between them,
/// `RunOrdered run=2` at 5.721 s and `RunOrdered run=3` at 8.006 s, were on such workers.
#[gtest]
fn a_task_that_ended_well_on_a_worker_that_started_again_does_not_run_again() {
    let mut fleet = seasoned(4);
    crash_all(&mut fleet);
    fleet.run(BACK_MS + 3_000);
    fleet.submit(0, JOB, &job(vec![step(8, 1_000, &[])]));
    fleet.run(6_000);
    expect_that!(fleet.promises.broken, is_empty(), "{:#?}", fleet.lines);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
}

/// A job of several steps stood still for 39 s, until the day was over, with most of the workers'
/// room free: its second step could run and didn't. A task of its first step ran on the same worker
/// again and again, `RunOrdered run=20`, `run=21` and `run=22` within four seconds, and ended well
/// there each time. That worker had started again under its old id 36 s before the job came.
#[gtest]
fn a_job_goes_on_with_its_next_step_on_a_worker_that_started_again() {
    let mut fleet = seasoned(1);
    crash_all(&mut fleet);
    fleet.run(BACK_MS + 3_000);
    let steps = vec![step(1, 1_000, &[]), step(1, 1_000, &[0])];
    fleet.submit(0, JOB, &job(steps));
    fleet.run(10_000);
    expect_that!(
        fleet.state(0, JOB),
        some(eq(JobState::Completed)),
        "{:#?}",
        fleet.lines
    );
}
