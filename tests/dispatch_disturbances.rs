//! Disturbances of owner, store and workers, each of which a job must outlive.

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

/// A disturbance that three hosts, four workers and a job of two steps must outlive.
struct Case {
    name: &'static str,
    /// When it strikes, after the job was handed in.
    after_ms: u64,
    strike: fn(&mut Fleet),
    /// When it ends, after it struck.
    lasts_ms: u64,
    heal: fn(&mut Fleet),
    /// Time after that by which the job has ended.
    ends_within_ms: u64,
}

fn nothing(_: &mut Fleet) {}

const CASES: &[Case] = &[
    // The owner's process dies with tasks under way; a successor takes them over as
    // the workers list them.
    Case {
        name: "owner killed",
        after_ms: 300,
        strike: |fleet| fleet.kill(owner(fleet)),
        lasts_ms: 0,
        heal: nothing,
        ends_within_ms: 4_000,
    },
    // The owner dies right after the job was stored, before any order.
    Case {
        name: "owner killed at once",
        after_ms: 10,
        strike: |fleet| fleet.kill(owner(fleet)),
        lasts_ms: 0,
        heal: nothing,
        ends_within_ms: 4_500,
    },
    // The owner stands still, is replaced, wakes up and goes on as if nothing had
    // happened. Store and workers refuse its token.
    Case {
        name: "owner paused",
        after_ms: 200,
        strike: |fleet| fleet.pause(owner(fleet)),
        lasts_ms: 3_500,
        heal: |fleet| (0..3).for_each(|number| fleet.resume(number)),
        ends_within_ms: 3_000,
    },
    // The owner is cut off from the store and reaches all workers; another one claims.
    Case {
        name: "owner cut from store",
        after_ms: 200,
        strike: |fleet| fleet.cut_from_store(owner(fleet), true),
        lasts_ms: 4_000,
        heal: |fleet| (0..3).for_each(|number| fleet.cut_from_store(number, false)),
        ends_within_ms: 3_000,
    },
    // A planned stop: another host claims while the old owner still acts.
    Case {
        name: "owner stopped as planned",
        after_ms: 200,
        strike: |fleet| fleet.stop(owner(fleet)),
        lasts_ms: 2_500,
        heal: nothing,
        ends_within_ms: 1_000,
    },
    // All processes die at once and start again.
    Case {
        name: "all killed",
        after_ms: 300,
        strike: |fleet| (0..3).for_each(|number| fleet.kill(number)),
        lasts_ms: 1_000,
        heal: |fleet| (0..3).for_each(|number| fleet.start(number)),
        ends_within_ms: 5_000,
    },
    // The store is away; leases are extended meanwhile, so that nothing lapses.
    Case {
        name: "store silent",
        after_ms: 200,
        strike: |fleet| fleet.store.mode = Mode::Silent,
        lasts_ms: 9_000,
        heal: |fleet| fleet.store.mode = Mode::Up,
        ends_within_ms: 4_000,
    },
    // Appends are carried out and not answered; the repeat with the same sequence
    // must not start anything twice.
    Case {
        name: "answers of the store lost",
        after_ms: 10,
        strike: |fleet| fleet.store.mode = Mode::LosesAnswers,
        lasts_ms: 3_000,
        heal: |fleet| fleet.store.mode = Mode::Up,
        ends_within_ms: 5_000,
    },
    // History is dropped while hosts read on; they load the newest records again.
    Case {
        name: "history dropped",
        after_ms: 100,
        strike: |fleet| fleet.store.drop_history(),
        lasts_ms: 0,
        heal: nothing,
        ends_within_ms: 3_000,
    },
    // A worker dies for good; its tasks start elsewhere once its lease must be over.
    Case {
        name: "worker dies",
        after_ms: 300,
        strike: |fleet| {
            fleet
                .workers
                .values_mut()
                .take(1)
                .for_each(|worker| worker.die())
        },
        lasts_ms: 0,
        heal: nothing,
        ends_within_ms: 9_000,
    },
    // A worker is cut off and runs on, then comes back.
    Case {
        name: "worker cut off",
        after_ms: 300,
        strike: |fleet| fleet.cut_workers = fleet.workers.keys().take(1).cloned().collect(),
        lasts_ms: 7_000,
        heal: |fleet| fleet.cut_workers.clear(),
        ends_within_ms: 3_000,
    },
    // A worker crashes and another incarnation lives at its address at once.
    Case {
        name: "worker reborn",
        after_ms: 300,
        strike: |fleet| {
            let address = fleet.workers.keys().next().cloned().unwrap_or_default();
            fleet.add_worker(&address, "w0-2");
        },
        lasts_ms: 0,
        heal: nothing,
        ends_within_ms: 4_000,
    },
    // Orders get no answer and are carried out two seconds later.
    Case {
        name: "orders carried out late",
        after_ms: 10,
        strike: |fleet| fleet.order_delay_ms = Some(2_000),
        lasts_ms: 3_000,
        heal: |fleet| fleet.order_delay_ms = None,
        ends_within_ms: 12_000,
    },
    // What runs on a worker stands still while it answers every look.
    Case {
        name: "worker hangs",
        after_ms: 100,
        strike: |fleet| {
            let worker = fleet.workers.values_mut().next();
            worker
                .into_iter()
                .for_each(|worker| worker.behaviour = Behaviour::Hangs);
        },
        lasts_ms: 0,
        heal: nothing,
        ends_within_ms: 9_000,
    },
    // A worker fails all that it starts; tasks have three attempts.
    Case {
        name: "worker fails all",
        after_ms: 100,
        strike: |fleet| {
            let worker = fleet.workers.values_mut().next();
            worker
                .into_iter()
                .for_each(|worker| worker.behaviour = Behaviour::Fails);
        },
        lasts_ms: 2_000,
        heal: |fleet| {
            for worker in fleet.workers.values_mut() {
                worker.behaviour = Behaviour::Healthy;
            }
        },
        ends_within_ms: 4_000,
    },
];

/// Symptom: a job is lost, late beyond reason, or runs in two places. Sequence and cause
/// stand with each case.
#[gtest]
fn a_job_outlives_each_disturbance() {
    for case in CASES {
        let mut fleet = Fleet::new(3, 4);
        let warm_up = job(vec![step(8, 400, &[])]);
        fleet.submit(0, 1, &warm_up);
        fleet.run(1_500);
        let request = fleet.submit(1, JOB, &job(vec![step(12, 900, &[]), step(6, 700, &[0])]));
        fleet.run(case.after_ms);
        (case.strike)(&mut fleet);
        fleet.run(case.lasts_ms);
        (case.heal)(&mut fleet);
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
