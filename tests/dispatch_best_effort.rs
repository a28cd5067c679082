//! Best-effort tasks beside serving tasks: they are suspended in time when a serving task is over
//! its latency target.

use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::Step;
use googletest::prelude::*;

/// Guards against a serving task that is over its target for four seconds while best-effort tasks
/// beside it continue. They were not suspended because no single one had enough learned
/// interference; together, at the peak of the serving task's own load, they had.
#[gtest]
fn all_best_effort_tasks_are_suspended_beside_a_serving_task_long_over_its_target() {
    let mut fleet = Fleet::new(3, 1);
    let serving = Step {
        is_long_running: true,
        image: "served".into(),
        tail_latency_target_ms: 20,
        ..step(1, 1_000, &[])
    };
    let best_effort = Step {
        is_best_effort: true,
        image: "filler".into(),
        ..step(2, 60_000, &[])
    };
    fleet.submit(0, 0x1, &job(vec![serving]));
    fleet.submit(0, 0x2, &job(vec![best_effort]));
    fleet.run(6_000);
    let shares = |fleet: &Fleet| -> Vec<u32> {
        let workers = fleet.workers.values();
        workers.flat_map(|worker| worker.shares()).collect()
    };
    expect_that!(shares(&fleet), eq(&vec![100, 100]));
    for worker in fleet.workers.values_mut() {
        worker.tail_ms = 21;
    }
    fleet.run(3_300);
    expect_that!(shares(&fleet), eq(&vec![0, 0]));
}

/// Guards against suspensions that take effect too late. A poll, an order and the half second over
/// which the tail latency is averaged add to the delay, and workers with a serving task over its
/// target were polled no more often than others.
#[gtest]
fn best_effort_tasks_are_suspended_well_before_latency_counts_as_harm() {
    for phase_ms in (0..800).step_by(50) {
        let mut fleet = Fleet::new(3, 1);
        let serving = Step {
            is_long_running: true,
            image: "served".into(),
            tail_latency_target_ms: 20,
            ..step(1, 1_000, &[])
        };
        let best_effort = |image: &str| Step {
            is_best_effort: true,
            image: image.into(),
            ..step(1, 60_000, &[])
        };
        fleet.submit(0, 0x1, &job(vec![serving]));
        fleet.submit(
            0,
            0x2,
            &job(vec![best_effort("first"), best_effort("second")]),
        );
        fleet.run(6_000 + phase_ms);
        for worker in fleet.workers.values_mut() {
            worker.tail_ms = 21;
        }
        fleet.run(2_250);
        for worker in fleet.workers.values() {
            expect_that!(worker.shares(), eq(&vec![0, 0]), "phase {phase_ms} ms");
        }
    }
}
