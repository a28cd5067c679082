//! Long-running tasks that have lost their worker, and room that is kept for other steps.

use crate::dispatch::JOB;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_core::Code;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::TaskId;
use googletest::prelude::*;

/// Time for which a task may take longer than its caller has estimated.
const OVERRUN_MS: u64 = 60_000;
/// Time within which a long-running task must run again after its worker has crashed: its lease
/// expires within 5.2 s.
const MAX_GAP_MS: u64 = 6_000;
/// Time within which room must be kept for a step that narrower ones pass over.
const KEPT_WITHIN_MS: u64 = 3_000;

fn first_task(id: u64) -> TaskId {
    TaskId {
        job: JobId(id),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

/// Returns a step of `count` tasks on different workers that each reserve `cpu_milli`.
fn spread(count: u32, cpu_milli: u64, estimated_ms: u64) -> Step {
    Step {
        cpu_milli,
        max_per_worker: 1,
        ..step(count, estimated_ms, &[])
    }
}

fn long_running(count: u32, cpu_milli: u64) -> Step {
    Step {
        is_long_running: true,
        ..spread(count, cpu_milli, 1_000)
    }
}

fn submit(fleet: &mut Fleet, id: u64, priority: u32, step: Step) {
    let mut submission = job(vec![step]);
    submission.priority = priority;
    fleet.submit(0, id, &submission);
    fleet.run(100);
}

fn run_until_room_is_kept(fleet: &mut Fleet) {
    let until_ms = fleet.now_ms + KEPT_WITHIN_MS;
    while !fleet.note_counts.contains_key(&Code::RoomKept) && fleet.now_ms < until_ms {
        fleet.run(50);
    }
    expect_that!(fleet.note_counts.get(&Code::RoomKept), some(eq(&1)));
}

/// Guards against a long-running task that has lost its worker and waits for up to 20 s beside
/// sufficient free resources, because they are kept for a step that still waits for more.
#[gtest]
fn a_lost_long_running_task_runs_again_in_kept_room() {
    for is_kept_for_long_running in [false, true] {
        let mut fleet = Fleet::new(3, 2);
        fleet.set_restart_delay_ms(OVERRUN_MS);
        submit(&mut fleet, JOB, 1, long_running(1, 2_000));
        let task = first_task(JOB);
        let mut workers = fleet.workers.iter();
        let found = workers.find(|(_, worker)| worker.runs(task));
        let crashed = found.map(|(address, _)| address.clone()).expect("it runs");
        for index in 0..2 {
            let filler = TaskId {
                index,
                ..first_task(JOB + 1)
            };
            fleet.promises.lengths.insert(filler, OVERRUN_MS);
        }
        submit(&mut fleet, JOB + 1, 1, spread(2, 4_000, 8_000));
        let wide = Step {
            is_long_running: is_kept_for_long_running,
            ..spread(1, 7_000, 1_000)
        };
        submit(&mut fleet, JOB + 2, 0, wide);
        submit(&mut fleet, JOB + 3, 1, spread(1, 500, OVERRUN_MS));
        run_until_room_is_kept(&mut fleet);

        fleet.crash(&crashed);
        fleet.run(MAX_GAP_MS);

        expect_that!(
            fleet.running(task),
            eq(1),
            "kept for a long-running step: {is_kept_for_long_running}: {:#?}",
            fleet.log_lines
        );
        expect_that!(fleet.promises.broken, is_empty());
    }
}

/// Guards against room that stays kept for a long-running step that can't use it, because other
/// long-running tasks have filled the part of the service that they may use.
#[gtest]
fn room_is_not_kept_for_a_step_that_waits_for_its_share() {
    const FILLER_MS: u64 = 8_000;
    let mut fleet = Fleet::new(3, 2);
    submit(&mut fleet, JOB, 1, long_running(2, 5_000));
    submit(&mut fleet, JOB + 1, 1, spread(2, 1_000, FILLER_MS));
    submit(&mut fleet, JOB + 2, 1, long_running(1, 2_500));
    submit(&mut fleet, JOB + 3, 1, spread(1, 100, OVERRUN_MS));
    run_until_room_is_kept(&mut fleet);
    submit(&mut fleet, JOB + 4, 0, long_running(2, 1_900));
    submit(&mut fleet, JOB + 5, 1, spread(2, 1_000, OVERRUN_MS));

    fleet.run(FILLER_MS);

    for index in 0..2 {
        let narrow = TaskId {
            index,
            ..first_task(JOB + 5)
        };
        expect_true!(
            fleet.promises.first_starts_ms.contains_key(&narrow),
            "{narrow}: {:#?}",
            fleet.log_lines
        );
    }
    let waits = fleet.log_lines.iter();
    let blocked = format!("TaskWaits {}", first_task(JOB + 2));
    let mut waits = waits.filter(|line| line.contains(&blocked));
    expect_true!(waits.any(|line| line.contains("why=Share")));
}

/// Guards against a long-running task that waits for ten seconds and more after its worker has left,
/// as all hosts are shut down in turn: no owner lives for long enough to record for how long the
/// leases on that worker last, and each one that follows waits for the full time again.
#[gtest]
fn owners_that_are_shut_down_in_turn_do_not_prolong_the_wait_for_a_lost_worker() {
    const OWNER_LIFE_MS: u64 = 800;
    /// Time that a change of owner may add to the wait: the next owner knows nothing of it.
    const MAX_CHANGE_MS: u64 = 100;
    const MAX_AWAY_MS: u64 = MAX_GAP_MS + MAX_GAP_MS / OWNER_LIFE_MS * MAX_CHANGE_MS;
    for phase_ms in (0..OWNER_LIFE_MS).step_by(100) {
        let mut fleet = Fleet::new(5, 3);
        fleet.set_restart_delay_ms(OVERRUN_MS);
        submit(&mut fleet, JOB, 1, long_running(2, 2_000));
        fleet.run(2_000);
        let task = first_task(JOB);
        let mut workers = fleet.workers.iter();
        let found = workers.find(|(_, worker)| worker.runs(task));
        let crashed = found.map(|(address, _)| address.clone()).expect("it runs");
        fleet.run(phase_ms);
        fleet.crash(&crashed);
        let crashed_ms = fleet.now_ms;
        let mut owner_since_ms = fleet.now_ms - phase_ms;
        while fleet.running(task) == 0 && fleet.now_ms < crashed_ms + 2 * MAX_AWAY_MS {
            fleet.run(20);
            if fleet.now_ms < owner_since_ms + OWNER_LIFE_MS {
                continue;
            }
            owner_since_ms = fleet.now_ms;
            if let Some(owner) = fleet.owner() {
                fleet.stop(owner);
                fleet.run(300);
                fleet.kill(owner);
                fleet.start(owner);
            }
        }
        expect_that!(
            fleet.now_ms - crashed_ms,
            lt(MAX_AWAY_MS),
            "the worker crashes {phase_ms} ms after a change of owner"
        );
        expect_that!(fleet.promises.broken, is_empty());
    }
}
