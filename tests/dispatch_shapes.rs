//! Jobs of other shapes than a plain row of tasks: gangs, and what they leave behind.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Submission;
use googletest::prelude::*;

/// Symptom: a worker that does not guard its room holds more than it has. Sequence: a job
/// is cancelled, its owner stops as planned, and the next one looks while the tasks are
/// still being stopped. Cause: tasks of a job that is over were taken to need no room.
#[gtest]
fn tasks_that_are_being_stopped_take_room_for_the_next_owner() {
    let mut fleet = Fleet::new(5, 2);
    for worker in fleet.workers.values_mut() {
        worker.stop_ms = 1_500;
    }
    fleet.submit(0, JOB, &job(vec![step(16, 60_000, &[])]));
    fleet.run(1_000);
    expect_that!(fleet.promises.starts.len(), eq(16));
    let owner = owner(&fleet);
    fleet.cancel((owner + 1) % 5, JOB);
    fleet.run(100);
    fleet.stop(owner);
    fleet.submit((owner + 1) % 5, 0x1, &job(vec![step(16, 300, &[])]));
    fleet.run(4_000);
    expect_that!(
        fleet.state((owner + 1) % 5, 0x1),
        some(eq(JobState::Completed))
    );
    expect_that!(fleet.promises.refused_room, eq(0));
}

/// Symptom: a gang never starts again though there is room for it. Sequence: its workers
/// are cut off, the gang ends well there, and is given up and started elsewhere; one of the
/// workers comes back and tells of the end, the others are gone for good. Cause: the end of
/// one member was taken for that of this member alone, and a gang starts only as a whole.
#[gtest]
fn a_late_end_of_one_member_ends_the_whole_gang() {
    let mut fleet = Fleet::new(3, 2);
    let gang = Step {
        is_gang: true,
        max_per_worker: 1,
        ..step(2, 3_000, &[])
    };
    fleet.submit(0, JOB, &job(vec![gang]));
    fleet.run(500);
    expect_that!(fleet.promises.starts.len(), eq(2));
    fleet.cut_workers = fleet.workers.keys().cloned().collect();
    fleet.run(3_200);
    for number in 0..2 {
        fleet.add_worker(&format!("10.0.1.{number}:80"), &format!("w1{number}-1"));
    }
    fleet
        .workers
        .values_mut()
        .take(1)
        .for_each(|worker| worker.die());
    fleet.run(3_300);
    expect_that!(fleet.promises.starts.len(), eq(4));
    fleet.cut_workers.clear();
    fleet.run(700);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
}

/// Symptom: members of a gang hold room for seconds and end alone. Sequence: the worker of
/// one member dies. Cause: the others were left to wait for it.
#[gtest]
fn a_gang_that_lost_a_member_is_stopped_at_once() {
    let mut fleet = Fleet::new(3, 4);
    let gang = Step {
        is_gang: true,
        max_per_worker: 1,
        ..step(3, 20_000, &[])
    };
    fleet.submit(0, JOB, &job(vec![gang]));
    fleet.run(500);
    let (worker, lost, _) = fleet.promises.starts[0].clone();
    let address = fleet.address_of(&worker);
    fleet.add_worker(&address, "reborn-1");
    fleet.run(1_500);
    expect_that!(fleet.promises.starts.len(), eq(6));
    expect_that!(fleet.running(lost), eq(1));
    let runs: Vec<u32> = fleet.promises.starts[3..]
        .iter()
        .map(|start| start.2)
        .collect();
    expect_that!(runs, each(eq(&2)));
}

/// Symptom: a task of a cancelled job starts seconds after the cancelling was stored.
/// Sequence: the order to start it has no answer, and while the run is put on record for a
/// second order the job is cancelled; the first order is carried out late. Cause: a run that
/// awaits its record was taken for one of which no order was ever sent.
#[gtest]
fn a_start_that_comes_late_is_barred_when_its_job_is_cancelled() {
    for after_ms in (900..=1_300).step_by(100) {
        let mut fleet = Fleet::new(3, 1);
        let owner = owner(&fleet);
        fleet.submit(owner, JOB, &job(vec![step(1, 5_000, &[])]));
        fleet.order_delay_ms = Some(2_500);
        fleet.run(60);
        fleet.order_delay_ms = None;
        fleet.run(after_ms);
        fleet.store.append_ms = 300;
        fleet.cancel((owner + 1) % 3, JOB);
        fleet.run(4_000);
        expect_that!(
            fleet.state(owner, JOB),
            some(eq(JobState::Cancelled)),
            "cancelled after {after_ms} ms"
        );
        expect_that!(
            fleet.promises.starts,
            is_empty(),
            "cancelled after {after_ms} ms"
        );
    }
}

/// Symptom: all starts of a queue are refused. Sequence: its policy lets only some workers
/// run a step, permits lapse while the job goes on, and the owner changes. Cause: nobody
/// asked for permits, or a lapsed one was used.
#[gtest]
fn only_permitted_workers_run_a_step() {
    let mut fleet = Fleet::new(3, 6);
    fleet.permitted = vec!["w1-1".into(), "w4-1".into()];
    let ruled = Submission {
        permit_decision_ms: 20,
        permit_worker_us: 1_000,
        permit_validity_ms: 1_000,
        ..job(vec![step(30, 900, &[]), step(4, 300, &[0])])
    };
    fleet.submit(0, JOB, &ruled);
    fleet.run(2_500);
    let owner = owner(&fleet);
    fleet.kill(owner);
    fleet.run(6_000);
    let alive = (owner + 1) % 3;
    expect_that!(fleet.state(alive, JOB), some(eq(JobState::Completed)));
    for (worker, _, _) in &fleet.promises.starts {
        expect_that!(**worker, any![eq("w1-1"), eq("w4-1")]);
    }
    expect_that!(fleet.promises.refused_permits, eq(0));
    expect_that!(fleet.permit_calls, le(12));
}

/// Symptom: under overload the later times of a job that runs several times wait until
/// everybody else is done. Sequence: a job runs every two seconds; twice as much comes as
/// fits. Cause: each of its times was taken to be due when the first one was, and so was long
/// past its objective and came last.
#[gtest]
fn each_time_of_a_repeated_job_is_due_anew() {
    const TIMES: u32 = 8;
    const INTERVAL_MS: u64 = 2_000;
    let mut fleet = Fleet::new(3, 1);
    let repeated = Submission {
        repetitions: TIMES,
        first_due_wall_ms: fleet.wall_ms(),
        interval_ms: INTERVAL_MS,
        ..job(vec![step(4, 500, &[])])
    };
    fleet.submit(0, JOB, &repeated);
    for number in 0..72 {
        fleet.submit(
            number as usize % 3,
            0x100 + number,
            &job(vec![step(8, 500, &[])]),
        );
        fleet.run(250);
    }
    let mut started = 0;
    for (_, task, _) in &fleet.promises.starts {
        started += u32::from(task.job == JobId(JOB) && task.index == 0);
    }
    expect_that!(started, ge(TIMES - 1));
}
