//! Jobs with special requirements: gangs, tasks that are still stopping, permits and repetitions.

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

/// Guards against overcommitted workers that don't refuse what does not fit. A job is cancelled,
/// its owner shuts down, and the next owner polls the workers while the tasks are still stopping.
/// Tasks of a finished job were assumed to need no resources.
#[gtest]
fn stopping_tasks_occupy_resources_for_the_next_owner() {
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

/// Guards against a gang that never restarts although it fits. Its workers become unreachable, the
/// gang completes there and is restarted elsewhere. Then one worker becomes reachable again and
/// reports the exit, and the others are lost. The exit was applied to one member only, while a gang
/// starts only as a whole.
#[gtest]
fn a_late_exit_of_one_member_completes_the_whole_gang() {
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

/// Guards against members of a gang that occupy resources for seconds and then exit without a
/// result. When the worker of one member was lost, the others were left waiting for it.
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

/// Guards against a task that starts seconds after the cancellation of its job was stored. The
/// order to start it is not answered, and the job is cancelled while the run is being recorded for
/// a second order. Then the first order is carried out late. A run that is being recorded was
/// assumed never to have been ordered.
#[gtest]
fn a_late_start_is_prevented_when_its_job_is_cancelled() {
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

/// Guards against starts that are refused for want of a valid permit. The policy of a queue allows
/// only some workers to run a step, permits expire while the job runs, and the owner changes.
/// Permits must be requested, and expired ones must not be used.
#[gtest]
fn only_permitted_workers_run_a_step() {
    let mut fleet = Fleet::new(3, 6);
    fleet.permitted = vec!["w1-1".into(), "w4-1".into()];
    let restricted = Submission {
        permit_decision_ms: 20,
        permit_worker_us: 1_000,
        permit_validity_ms: 1_000,
        ..job(vec![step(30, 900, &[]), step(4, 300, &[0])])
    };
    fleet.submit(0, JOB, &restricted);
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

/// Guards against steps that never get permits, as the most urgent step asked for none: no worker
/// fits its task.
#[gtest]
fn a_step_that_fits_nowhere_does_not_keep_permits_from_others() {
    let permitted = |cpu_milli: u32| Submission {
        permit_decision_ms: 20,
        permit_worker_us: 1_000,
        permit_validity_ms: 1_000,
        ..job(vec![Step {
            cpu_milli: cpu_milli.into(),
            ..step(1, 300, &[])
        }])
    };
    let mut fleet = Fleet::new(3, 2);
    fleet.permitted = fleet
        .workers
        .values()
        .map(|worker| worker.id.clone())
        .collect();
    fleet.submit(0, JOB, &permitted(9_000));
    fleet.run(300);
    fleet.submit(0, JOB + 1, &permitted(1_000));
    fleet.run(3_000);
    expect_that!(fleet.state(0, JOB + 1), some(eq(JobState::Completed)));
}

/// Guards against later occurrences of a repeated job that wait behind all other jobs under
/// overload. A job is due every two seconds while the fleet is offered twice its capacity. Each
/// occurrence was assumed to be due when the first one was, so it was long past its objective and
/// came last.
#[gtest]
fn each_occurrence_of_a_repeated_job_is_due_separately() {
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
