//! How many jobs of a queue are said to wait.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Reply;
use googletest::prelude::*;

const JOBS: u64 = 5;

/// Returns how many jobs each host says to wait.
fn counts(fleet: &mut Fleet) -> Vec<Option<Reply>> {
    let requests: Vec<u64> = (0..3).map(|host| fleet.count(host)).collect();
    fleet.run(2_500);
    let replies = requests.iter();
    replies
        .map(|request| fleet.replies.get(request).cloned())
        .collect()
}

/// No job was said to wait although none had begun: a job counted as running as soon as a worker was
/// chosen for one of its tasks, and remained so when the worker refused the order.
#[gtest]
fn jobs_whose_starts_are_refused_count_as_waiting() {
    for changes_owner in [false, true] {
        let mut fleet = Fleet::new(3, 2);
        for number in 0..JOBS {
            fleet.promises.faulty.insert(JobId(JOB + number));
            let host = number as usize % 3;
            fleet.submit(host, JOB + number, &job(vec![step(2, 300, &[])]));
        }
        fleet.run(1_000);
        if changes_owner {
            let owner = owner(&fleet);
            fleet.kill(owner);
            fleet.start(owner);
            fleet.run(5_000);
        }
        for reply in counts(&mut fleet) {
            expect_that!(reply, some(eq(&Reply::Waiting(JOBS))), "{changes_owner}");
        }
        fleet.promises.faulty.clear();
        fleet.run(40_000);
        for reply in counts(&mut fleet) {
            expect_that!(reply, some(eq(&Reply::Waiting(0))), "{changes_owner}");
        }
        let ids: Vec<JobId> = (0..JOBS).map(|number| JobId(JOB + number)).collect();
        for (_, state) in fleet.states(0, &ids) {
            expect_that!(state, some(eq(JobState::Completed)), "{changes_owner}");
        }
        expect_that!(fleet.promises.broken, is_empty());
    }
}

/// The opposite: a job does not count as waiting once a task of it has begun.
#[gtest]
fn jobs_that_have_begun_do_not_count_as_waiting() {
    let mut fleet = Fleet::new(3, 2);
    for number in 0..JOBS {
        let host = number as usize % 3;
        fleet.submit(host, JOB + number, &job(vec![step(1, 20_000, &[])]));
    }
    fleet.run(500);
    for reply in counts(&mut fleet) {
        expect_that!(reply, some(eq(&Reply::Waiting(0))));
    }
}
