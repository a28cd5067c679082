//! Which crashes count against whom when workers leave, or several tasks that crash their workers
//! share them.

use crate::dispatch::JOB;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Stream;
use goldcrestway_dispatch::TaskId;
use googletest::prelude::*;

/// Time after which a crashed worker answers again, and one that never does within a test.
const BACK_MS: u64 = 3_400;
const NEVER_MS: u64 = 3_600_000;
const POLL_MS: u64 = 100;

/// Announces the leave of all workers that have crashed a moment ago, as a release does.
fn release_crashed_workers(fleet: &mut Fleet) {
    let workers = fleet.workers.iter().filter(|(_, worker)| !worker.is_alive);
    let crashed: Vec<(Box<str>, Box<str>)> = workers
        .map(|(address, worker)| (address.clone(), worker.id.clone()))
        .collect();
    fleet.run(2 * POLL_MS);
    for (address, id) in crashed {
        let text = format!("{address} leaving");
        fleet.store.put(Stream::Workers, &id, text.as_bytes());
    }
}

/// Guards against a task that crashes its workers and starts three times more after the third
/// crash, because two of its workers were announced to leave after they had fallen silent: their
/// loss was taken for a planned exit, and counted nowhere.
#[gtest]
fn workers_that_are_released_after_they_crashed_count_towards_the_last_starts() {
    let mut fleet = Fleet::new(3, 10);
    let crashing = TaskId {
        job: JobId(JOB),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    fleet.poison(crashing, 10);
    let mut jobs = JOB;
    fleet.submit(0, JOB, &job(vec![step(1, 60_000, &[])]));
    for _ in 0..500 {
        // Other tasks begin on all workers all the time, so that it is never alone.
        jobs += 1;
        fleet.submit(0, jobs, &job(vec![step(30, 300, &[])]));
        let crashes = fleet.promises.crashes.get(&crashing).copied();
        fleet.set_restart_delay_ms(match crashes {
            Some(1 | 2) => NEVER_MS,
            _ => BACK_MS,
        });
        if matches!(crashes, Some(2 | 3)) {
            release_crashed_workers(&mut fleet);
        }
        fleet.run(POLL_MS);
    }
    expect_that!(fleet.promises.broken, is_empty(), "{:#?}", fleet.log_lines);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Failed)));
    expect_that!(fleet.promises.crashes[&crashing], le(5));
}
