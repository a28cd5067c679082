//! Jobs that are larger than owners and their store can handle.

use crate::dispatch::JOB;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Reply;
use goldcrestway_dispatch::Submission;
use googletest::prelude::*;

/// Guards against a fleet in which no job ends any more, whichever host is the owner. If a job has
/// so many tasks that the record of their progress exceeds the limit of the store, the store
/// refuses that append permanently. The owner repeats the append, and all other progress waits
/// behind it.
#[gtest]
fn a_job_that_does_not_fit_a_record_is_refused_at_once() {
    let mut fleet = Fleet::new(3, 8);
    fleet.limit_records(4_096);
    let request = fleet.submit(0, JOB, &job(vec![step(40, 300, &[]), step(40, 300, &[])]));
    fleet.run(50);
    let reply = fleet.replies.get(&request);
    expect_that!(reply, some(eq(&Reply::TooLarge { max_tasks: 64 })));
    fleet.submit(0, 0x1, &job(vec![step(64, 300, &[])]));
    fleet.run(4_000);
    expect_that!(fleet.state(0, 0x1), some(eq(JobState::Completed)));
    expect_that!(
        fleet.state(0, JOB),
        none().or(some(eq(JobState::Completed)))
    );
}

/// Guards against hosts that run out of memory one after the other. A repeated job without a first
/// due time and with a short interval has been due since 1970, millions of times. Its owner opened
/// all of these occurrences at once, and so did each next owner.
#[gtest]
fn a_job_that_is_due_millions_of_times_does_not_delay_other_jobs() {
    let mut fleet = Fleet::new(3, 8);
    let repeated = Submission {
        repetitions: u32::MAX,
        first_due_wall_ms: 0,
        interval_ms: 1,
        ..job(vec![step(2, 300, &[])])
    };
    fleet.limit_records(4_096);
    fleet.submit(0, JOB, &repeated);
    fleet.run(500);
    fleet.submit(1, 0x1, &job(vec![step(4, 300, &[])]));
    fleet.run(2_500);
    expect_that!(fleet.state(0, 0x1), some(eq(JobState::Completed)));
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Running)));
    expect_that!(fleet.promises.broken, is_empty());
}
