//! Processors of workers beside serving tasks: best-effort tasks get what the present load leaves.

use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::Step;
use googletest::prelude::*;

/// Latency target of the serving task, and its tail latency at low load and at the peak of its
/// load, where it is still within its target.
const TARGET_MS: u64 = 20;
const LOW_LOAD_TAIL_MS: u64 = 6;
const PEAK_TAIL_MS: u64 = 15;

/// Returns a fleet of one worker with 8 cores. Its serving task reserves 6 of them.
fn fleet_with_serving_task(tail_ms: u64) -> Fleet {
    let mut fleet = Fleet::new(3, 1);
    let serving = Step {
        is_long_running: true,
        cpu_milli: 6_000,
        image: "served".into(),
        tail_latency_target_ms: TARGET_MS,
        ..step(1, 1_000, &[])
    };
    fleet.submit(0, 0x1, &job(vec![serving]));
    set_tail(&mut fleet, tail_ms);
    fleet.run(3_000);
    fleet
}

/// Returns a step of best-effort tasks that use one core each.
fn best_effort(count: u32) -> Step {
    Step {
        is_best_effort: true,
        image: "filler".into(),
        ..step(count, 60_000, &[])
    }
}

fn set_tail(fleet: &mut Fleet, tail_ms: u64) {
    for worker in fleet.workers.values_mut() {
        worker.tail_ms = tail_ms;
    }
}

fn shares(fleet: &Fleet) -> Vec<u32> {
    let workers = fleet.workers.values();
    workers.flat_map(|worker| worker.shares()).collect()
}

/// Guards against processors in demand for more than they can do when the load of a serving task
/// rises. Best-effort tasks were throttled only once the task had missed its target.
#[gtest]
fn best_effort_tasks_are_throttled_before_a_serving_task_misses_its_target() {
    let mut fleet = fleet_with_serving_task(LOW_LOAD_TAIL_MS);
    fleet.submit(0, 0x2, &job(vec![best_effort(7)]));
    fleet.run(3_000);
    expect_that!(shares(&fleet), eq(&vec![100; 7]));
    set_tail(&mut fleet, PEAK_TAIL_MS);
    fleet.run(1_500);
    let throttled = shares(&fleet);
    expect_that!(throttled.iter().sum::<u32>(), lt(700));
    expect_that!(throttled, contains(eq(&100)), "not all are throttled");
    set_tail(&mut fleet, LOW_LOAD_TAIL_MS);
    fleet.run(2_500);
    expect_that!(shares(&fleet), eq(&vec![100; 7]), "all resume");
}

/// Guards against an event that gives the demand which is left once tasks are throttled.
#[gtest]
fn the_event_gives_the_demand_that_exceeds_the_limit() {
    let mut fleet = fleet_with_serving_task(LOW_LOAD_TAIL_MS);
    fleet.submit(0, 0x2, &job(vec![best_effort(7)]));
    fleet.run(3_000);
    set_tail(&mut fleet, PEAK_TAIL_MS);
    fleet.run(1_500);
    let mut lines = fleet.log_lines.iter();
    let line = lines.find(|line| line.contains("ProcessorsShort")).unwrap();
    let percent_of = |name: &str| -> Option<u64> {
        let mut fields = line.split(' ');
        fields.find_map(|field| field.strip_prefix(name)?.parse().ok())
    };
    let demand_percent = percent_of("demand_percent=");
    expect_that!(demand_percent, some(anything()));
    expect_that!(demand_percent, gt(percent_of("limit_percent=")), "{}", line);
}

/// Guards against shares that alternate while the load of a serving task stays the same: each
/// change delays a task and costs an order.
#[gtest]
fn shares_stay_while_the_load_stays() {
    let mut fleet = fleet_with_serving_task(LOW_LOAD_TAIL_MS);
    fleet.submit(0, 0x2, &job(vec![best_effort(7)]));
    fleet.run(3_000);
    assert_that!(shares(&fleet), eq(&vec![100; 7]));
    set_tail(&mut fleet, PEAK_TAIL_MS);
    fleet.run(3_000);
    let settled = shares(&fleet);
    expect_that!(settled.iter().sum::<u32>(), lt(700));
    for _ in 0..20 {
        fleet.run(200);
        expect_that!(shares(&fleet), eq(&settled));
    }
}

/// Guards against best-effort tasks that are placed by the average load of a serving task while it
/// is at its peak.
#[gtest]
fn fewer_best_effort_tasks_are_placed_at_the_peak_of_load() {
    let running = |tail_ms: u64| {
        let mut fleet = fleet_with_serving_task(tail_ms);
        fleet.submit(0, 0x2, &job(vec![best_effort(8)]));
        fleet.run(1_000);
        shares(&fleet).len()
    };
    expect_that!(running(LOW_LOAD_TAIL_MS), gt(running(PEAK_TAIL_MS) + 2));
}

/// Guards against urgent tasks that are placed where best-effort tasks use the processors which
/// they reserve, while another worker has idle ones.
#[gtest]
fn urgent_tasks_avoid_workers_whose_processors_are_in_use() {
    let mut fleet = fleet_with_serving_task(LOW_LOAD_TAIL_MS);
    fleet.submit(0, 0x2, &job(vec![best_effort(7)]));
    fleet.run(2_000);
    fleet.add_worker("10.0.0.77:80", "idle-worker");
    fleet.run(3_000);
    set_tail(&mut fleet, PEAK_TAIL_MS);
    fleet.run(1_000);
    fleet.submit(0, 0x3, &job(vec![step(1, 60_000, &[])]));
    fleet.run(1_000);
    let idle = &fleet.workers["10.0.0.77:80"];
    expect_that!(idle.shares().len(), eq(1));
}

/// Guards against best-effort tasks that stay suspended when the owner which has suspended them is
/// gone: its successor took them for running at full share and sent no order.
#[gtest]
fn a_new_owner_resumes_tasks_that_the_previous_one_has_suspended() {
    let mut fleet = fleet_with_serving_task(LOW_LOAD_TAIL_MS);
    fleet.submit(0, 0x2, &job(vec![best_effort(3)]));
    fleet.run(2_000);
    set_tail(&mut fleet, TARGET_MS * 2);
    fleet.run(3_000);
    expect_that!(shares(&fleet), eq(&vec![0; 3]));
    if let Some(owner) = fleet.owner() {
        fleet.kill(owner);
    }
    set_tail(&mut fleet, LOW_LOAD_TAIL_MS);
    fleet.run(8_000);
    expect_that!(shares(&fleet), eq(&vec![100; 3]));
}

/// Guards against a best-effort task that stays throttled because the order to throttle it was
/// carried out and its answer was lost, and the load fell before it was sent again.
#[gtest]
fn shares_rise_again_after_the_answer_to_an_order_is_lost() {
    let mut fleet = fleet_with_serving_task(LOW_LOAD_TAIL_MS);
    fleet.submit(0, 0x2, &job(vec![best_effort(7)]));
    fleet.run(3_000);
    assert_that!(shares(&fleet), eq(&vec![100; 7]));
    // The poll that waits at the worker is answered, and the orders that follow from it are not.
    set_tail(&mut fleet, PEAK_TAIL_MS);
    fleet.order_delay_ms = Some(1);
    for _ in 0..1_000 {
        fleet.run(1);
        if shares(&fleet) != vec![100; 7] {
            break;
        }
    }
    assert_that!(shares(&fleet), not(eq(&vec![100; 7])));
    fleet.order_delay_ms = None;
    set_tail(&mut fleet, LOW_LOAD_TAIL_MS);
    fleet.run(6_000);
    expect_that!(shares(&fleet), eq(&vec![100; 7]));
}

/// Guards against a best-effort task that stays throttled because a poll shows that the load has
/// fallen while the answer to the order to throttle it is on its way.
#[gtest]
fn shares_rise_again_after_late_answers() {
    for seed in 0..20 {
        let mut fleet = fleet_with_serving_task(LOW_LOAD_TAIL_MS);
        fleet.submit(0, 0x2, &job(vec![best_effort(7)]));
        fleet.run(3_000);
        fleet.answer_delays = Some((0, 1_500, seed));
        for round in 0..10 {
            set_tail(&mut fleet, PEAK_TAIL_MS);
            fleet.run(400 + 30 * round);
            set_tail(&mut fleet, LOW_LOAD_TAIL_MS);
            fleet.run(400 + 30 * round);
        }
        fleet.answer_delays = None;
        fleet.run(6_000);
        expect_that!(shares(&fleet), eq(&vec![100; 7]), "seed {}", seed);
    }
}

/// Guards against processors in demand for more than they can do until the next poll after an
/// urgent task has started.
#[gtest]
fn best_effort_tasks_are_throttled_when_an_urgent_task_starts() {
    let urgent = Step {
        cpu_milli: 2_000,
        ..step(1, 60_000, &[])
    };
    // The task starts at any time between two polls.
    for offset_ms in (0..800).step_by(100) {
        let mut fleet = fleet_with_serving_task(LOW_LOAD_TAIL_MS);
        fleet.submit(0, 0x2, &job(vec![best_effort(7)]));
        fleet.run(3_000 + offset_ms);
        assert_that!(shares(&fleet), eq(&vec![100; 7]));
        fleet.submit(0, 0x3, &job(vec![urgent.clone()]));
        for _ in 0..200 {
            fleet.run(10);
            if shares(&fleet).len() > 7 {
                break;
            }
        }
        fleet.run(50);
        let shares = shares(&fleet);
        expect_that!(shares.len(), eq(8));
        expect_that!(
            shares.iter().sum::<u32>(),
            lt(800),
            "after {} ms",
            offset_ms
        );
    }
}

/// Guards against a worker that is polled as late as any other while a serving task there is close
/// to its target.
#[gtest]
fn workers_with_a_serving_task_close_to_its_target_are_polled_sooner() {
    let polls_in_10_s = |tail_ms: u64| {
        let mut fleet = fleet_with_serving_task(LOW_LOAD_TAIL_MS);
        fleet.submit(0, 0x2, &job(vec![best_effort(7)]));
        fleet.run(3_000);
        set_tail(&mut fleet, tail_ms);
        fleet.run(1_000);
        let owner = fleet.owner().unwrap();
        let before = fleet.stats(owner).polls;
        fleet.run(10_000);
        fleet.stats(owner).polls - before
    };
    expect_that!(
        polls_in_10_s(TARGET_MS - 2),
        gt(2 * polls_in_10_s(LOW_LOAD_TAIL_MS))
    );
}
