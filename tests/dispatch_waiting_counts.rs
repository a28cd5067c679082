//! How many jobs of a queue are said to wait.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_core::Code;
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

/// What keeps all jobs from beginning after workers were chosen for their tasks.
struct Hindrance {
    name: &'static str,
    begin: fn(&mut Fleet),
    end: fn(&mut Fleet),
    /// All hosts are killed in turn meanwhile.
    kills_hosts: bool,
}

fn refuse_starts(fleet: &mut Fleet) {
    for number in 0..JOBS {
        fleet.promises.faulty.insert(JobId(JOB + number));
    }
}

fn accept_starts(fleet: &mut Fleet) {
    fleet.promises.faulty.clear();
}

/// Cuts off all workers.
fn drop_orders(fleet: &mut Fleet) {
    fleet.cut_workers = fleet.workers.keys().cloned().collect();
}

fn deliver_orders(fleet: &mut Fleet) {
    fleet.cut_workers.clear();
}

const HINDRANCES: &[Hindrance] = &[
    Hindrance {
        name: "starts are refused, and hosts are killed in turn",
        begin: refuse_starts,
        end: accept_starts,
        kills_hosts: true,
    },
    Hindrance {
        name: "starts get no answer",
        begin: drop_orders,
        end: deliver_orders,
        kills_hosts: false,
    },
    Hindrance {
        name: "starts get no answer, and hosts are killed in turn",
        begin: drop_orders,
        end: deliver_orders,
        kills_hosts: true,
    },
];

/// The same where orders get no answer, and where the next owner reads that workers were chosen.
#[gtest]
fn jobs_that_no_worker_has_confirmed_count_as_waiting() {
    for hindrance in HINDRANCES {
        let name = hindrance.name;
        let mut fleet = Fleet::new(3, 2);
        (hindrance.begin)(&mut fleet);
        for number in 0..JOBS {
            let host = number as usize % 3;
            fleet.submit(host, JOB + number, &job(vec![step(2, 300, &[])]));
        }
        fleet.run(1_000);
        for host in 0..3 {
            if hindrance.kills_hosts {
                fleet.kill(host);
                fleet.start(host);
                fleet.run(3_000);
            }
        }
        let ids: Vec<JobId> = (0..JOBS).map(|number| JobId(JOB + number)).collect();
        for reply in counts(&mut fleet) {
            expect_that!(reply, some(eq(&Reply::Waiting(JOBS))), "{name}");
        }
        for (_, state) in fleet.states(1, &ids) {
            expect_that!(state, some(eq(JobState::Queued)), "{name}");
        }
        let begun = fleet.note_counts.get(&Code::JobBegun);
        expect_that!(begun, none(), "{name}");
        (hindrance.end)(&mut fleet);
        fleet.run(40_000);
        for reply in counts(&mut fleet) {
            expect_that!(reply, some(eq(&Reply::Waiting(0))), "{name}");
        }
        for (_, state) in fleet.states(0, &ids) {
            expect_that!(state, some(eq(JobState::Completed)), "{name}");
        }
        let begun = fleet.note_counts.get(&Code::JobBegun);
        expect_that!(begun, some(eq(&(JOBS as u32))), "{name}");
        expect_that!(fleet.promises.broken, is_empty(), "{name}");
    }
}

/// The opposite under another owner: a job that has begun is not said to wait again.
#[gtest]
fn jobs_that_have_begun_do_not_count_as_waiting_under_the_next_owner() {
    // The owner dies at another moment of the start each time.
    for delay_ms in (5..200).step_by(15) {
        let mut fleet = Fleet::new(3, 2);
        fleet.submit(0, JOB, &job(vec![step(1, 20_000, &[])]));
        fleet.run(delay_ms);
        let owner = owner(&fleet);
        fleet.kill(owner);
        fleet.start(owner);
        fleet.run(5_000);
        for reply in counts(&mut fleet) {
            expect_that!(reply, some(eq(&Reply::Waiting(0))), "{delay_ms}");
        }
        expect_that!(
            fleet.state(owner, JOB),
            some(eq(JobState::Running)),
            "{delay_ms}"
        );
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
