//! Disturbances of the owner, the store and workers, despite each of which a job must complete.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Behaviour;
use crate::fleet::Fleet;
use crate::fleet::Mode;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Reply;
use googletest::prelude::*;

/// A disturbance of three hosts and four workers that run a job of two steps.
struct Case {
    name: &'static str,
    /// Time from the submission of the job until the disturbance.
    after_ms: u64,
    inject: fn(&mut Fleet),
    /// Duration of the disturbance.
    duration_ms: u64,
    recover: fn(&mut Fleet),
    /// Time after the disturbance within which the job must have ended.
    ends_within_ms: u64,
}

fn nothing(_: &mut Fleet) {}

const CASES: &[Case] = &[
    // The owner's process dies while tasks run. The next owner takes over the tasks that the
    // workers report.
    Case {
        name: "owner killed",
        after_ms: 300,
        inject: |fleet| fleet.kill(owner(fleet)),
        duration_ms: 0,
        recover: nothing,
        ends_within_ms: 4_000,
    },
    // The owner dies right after the job was stored, before any order was sent.
    Case {
        name: "owner killed at once",
        after_ms: 10,
        inject: |fleet| fleet.kill(owner(fleet)),
        duration_ms: 0,
        recover: nothing,
        ends_within_ms: 4_500,
    },
    // The owner is paused and replaced. When it resumes and continues, the store and the workers
    // refuse its token.
    Case {
        name: "owner paused",
        after_ms: 200,
        inject: |fleet| fleet.pause(owner(fleet)),
        duration_ms: 3_500,
        recover: |fleet| (0..3).for_each(|number| fleet.resume(number)),
        ends_within_ms: 3_000,
    },
    // The owner can't reach the store but reaches all workers. Another host claims.
    Case {
        name: "owner disconnected from the store",
        after_ms: 200,
        inject: |fleet| fleet.cut_from_store(owner(fleet), true),
        duration_ms: 4_000,
        recover: |fleet| (0..3).for_each(|number| fleet.cut_from_store(number, false)),
        ends_within_ms: 3_000,
    },
    // The owner shuts down. Another host claims while the old owner is still active.
    Case {
        name: "owner shut down",
        after_ms: 200,
        inject: |fleet| fleet.stop(owner(fleet)),
        duration_ms: 2_500,
        recover: nothing,
        ends_within_ms: 1_000,
    },
    // All processes die at the same time and restart.
    Case {
        name: "all killed",
        after_ms: 300,
        inject: |fleet| (0..3).for_each(|number| fleet.kill(number)),
        duration_ms: 1_000,
        recover: |fleet| (0..3).for_each(|number| fleet.start(number)),
        ends_within_ms: 5_000,
    },
    // The store is unavailable. Leases are extended meanwhile, so that none expires.
    Case {
        name: "store silent",
        after_ms: 200,
        inject: |fleet| fleet.store.mode = Mode::Silent,
        duration_ms: 9_000,
        recover: |fleet| fleet.store.mode = Mode::Up,
        ends_within_ms: 4_000,
    },
    // Appends are carried out but not answered. A repeated append with the same sequence number
    // must not start anything twice.
    Case {
        name: "store answers lost",
        after_ms: 10,
        inject: |fleet| fleet.store.mode = Mode::LosesAnswers,
        duration_ms: 3_000,
        recover: |fleet| fleet.store.mode = Mode::Up,
        ends_within_ms: 5_000,
    },
    // The history of the streams is dropped while hosts read them. They load the latest records
    // again.
    Case {
        name: "history dropped",
        after_ms: 100,
        inject: |fleet| fleet.store.drop_history(),
        duration_ms: 0,
        recover: nothing,
        ends_within_ms: 3_000,
    },
    // A worker dies permanently. Its tasks start elsewhere once its leases must have expired.
    Case {
        name: "worker dies",
        after_ms: 300,
        inject: |fleet| {
            fleet
                .workers
                .values_mut()
                .take(1)
                .for_each(|worker| worker.die())
        },
        duration_ms: 0,
        recover: nothing,
        ends_within_ms: 9_000,
    },
    // A worker becomes unreachable but continues to run, and is reachable again later.
    Case {
        name: "worker unreachable",
        after_ms: 300,
        inject: |fleet| fleet.cut_workers = fleet.workers.keys().take(1).cloned().collect(),
        duration_ms: 7_000,
        recover: |fleet| fleet.cut_workers.clear(),
        ends_within_ms: 3_000,
    },
    // A worker crashes, and another incarnation is immediately present at its address.
    Case {
        name: "worker replaced",
        after_ms: 300,
        inject: |fleet| {
            let address = fleet.workers.keys().next().cloned().unwrap_or_default();
            fleet.add_worker(&address, "w0-2");
        },
        duration_ms: 0,
        recover: nothing,
        ends_within_ms: 4_000,
    },
    // Orders are not answered and are carried out two seconds later.
    Case {
        name: "orders carried out late",
        after_ms: 10,
        inject: |fleet| fleet.order_delay_ms = Some(2_000),
        duration_ms: 3_000,
        recover: |fleet| fleet.order_delay_ms = None,
        ends_within_ms: 12_000,
    },
    // All tasks of a worker stall while it still answers each poll.
    Case {
        name: "tasks of a worker stalled",
        after_ms: 100,
        inject: |fleet| {
            let worker = fleet.workers.values_mut().next();
            worker
                .into_iter()
                .for_each(|worker| worker.behaviour = Behaviour::Hangs);
        },
        duration_ms: 0,
        recover: nothing,
        ends_within_ms: 9_000,
    },
    // A worker fails all tasks that it starts. Tasks have three attempts.
    Case {
        name: "worker fails all tasks",
        after_ms: 100,
        inject: |fleet| {
            let worker = fleet.workers.values_mut().next();
            worker
                .into_iter()
                .for_each(|worker| worker.behaviour = Behaviour::Fails);
        },
        duration_ms: 2_000,
        recover: |fleet| {
            for worker in fleet.workers.values_mut() {
                worker.behaviour = Behaviour::Healthy;
            }
        },
        ends_within_ms: 4_000,
    },
];

/// Guards against jobs that are lost, end far too late or run in two places at once. The sequence
/// of events is described at each case.
#[gtest]
fn a_job_completes_despite_each_disturbance() {
    for case in CASES {
        let mut fleet = Fleet::new(3, 4);
        let warm_up = job(vec![step(8, 400, &[])]);
        fleet.submit(0, 1, &warm_up);
        fleet.run(1_500);
        let request = fleet.submit(1, JOB, &job(vec![step(12, 900, &[]), step(6, 700, &[0])]));
        fleet.run(case.after_ms);
        (case.inject)(&mut fleet);
        fleet.run(case.duration_ms);
        (case.recover)(&mut fleet);
        fleet.run(case.ends_within_ms);
        let alive = (0..3).find(|number| fleet.is_ready(*number)).unwrap_or(0);
        let is_stored = fleet.replies.get(&request) == Some(&Reply::Stored);
        expect_true!(is_stored, "{}: not accepted", case.name);
        expect_that!(
            fleet.state(alive, JOB),
            some(eq(JobState::Completed)),
            "{}",
            case.name
        );
        expect_that!(fleet.promises.broken, is_empty(), "{}", case.name);
        expect_that!(fleet.owners(), eq(1), "{}", case.name);
    }
}
