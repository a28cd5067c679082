//! Workers that drain before a planned shutdown: no task starts there once that has been known for
//! long enough.

use crate::dispatch::owner;
use crate::fleet::Behaviour;
use crate::fleet::DRAIN_MS;
use crate::fleet::Fleet;
use crate::fleet::Mode;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Stream;
use goldcrestway_dispatch::Submission;
use goldcrestway_dispatch::TaskId;
use goldcrestway_dispatch::WorkerCall;
use googletest::prelude::*;

const HOSTS: usize = 3;
const WORKERS: usize = 6;
/// Workers that drain in each case.
const DRAINING: [&str; 3] = ["10.0.0.0:80", "10.0.0.2:80", "10.0.0.4:80"];
/// A worker that does not drain.
const REMAINING: &str = "10.0.0.1:80";
/// Time for which workers stay after they have reported that they drain.
const STAY_MS: u64 = 9_000;
/// Time within which delayed jobs must end. Leases expire first.
const RECOVERY_MS: u64 = 25_000;

/// A sequence of events that may start a task at a worker that drains.
struct Case {
    name: &'static str,
    submission: fn() -> Submission,
    /// Called just before the workers report that they drain, while the job runs.
    before: fn(&mut Fleet),
    /// Called just after that.
    after: fn(&mut Fleet),
    /// Ends the disturbance, before the workers leave.
    recover: fn(&mut Fleet),
}

fn two_steps() -> Submission {
    job(vec![step(20, 400, &[]), step(20, 400, &[0])])
}

fn long_running() -> Submission {
    let long_running = Step {
        is_long_running: true,
        ..step(4, 1_000, &[])
    };
    job(vec![long_running])
}

fn gangs() -> Submission {
    let gang = Step {
        is_gang: true,
        ..step(12, 2_000, &[])
    };
    let second = Step {
        after: vec![0],
        ..gang.clone()
    };
    job(vec![gang, second])
}

fn speculative() -> Submission {
    let speculative = Step {
        is_speculative: true,
        ..step(8, 1_500, &[])
    };
    job(vec![speculative])
}

fn repeated() -> Submission {
    Submission {
        repetitions: 8,
        first_due_wall_ms: 1_700_000_005_000,
        interval_ms: 1_000,
        ..job(vec![step(10, 300, &[])])
    }
}

fn permitted() -> Submission {
    Submission {
        permit_decision_ms: 20,
        permit_worker_us: 1_000,
        permit_validity_ms: 1_000,
        ..job(vec![step(12, 900, &[]), step(12, 900, &[0])])
    }
}

fn nothing(_: &mut Fleet) {}

/// Submits tasks whose orders are carried out late and get no answer.
fn delay_orders(fleet: &mut Fleet) {
    fleet.order_delay_ms = Some(2_500);
    fleet.submit(0, 100, &two_steps());
    fleet.run(200);
}

/// Does the same with orders that are lost.
fn lose_orders(fleet: &mut Fleet) {
    fleet.order_delay_ms = Some(60_000);
    fleet.submit(0, 100, &two_steps());
    fleet.run(200);
}

fn end_order_delays(fleet: &mut Fleet) {
    fleet.order_delay_ms = None;
}

/// Ends the delays once all unanswered orders would be sent again too late.
fn end_order_delays_late(fleet: &mut Fleet) {
    fleet.run(DRAIN_MS);
    fleet.order_delay_ms = None;
}

fn stall_worker_elsewhere(fleet: &mut Fleet) {
    if let Some(worker) = fleet.workers.get_mut(REMAINING) {
        worker.behaviour = Behaviour::Hangs;
    }
}

fn restore_workers(fleet: &mut Fleet) {
    for worker in fleet.workers.values_mut() {
        worker.behaviour = Behaviour::Healthy;
    }
}

fn kill_owner(fleet: &mut Fleet) {
    fleet.kill(owner(fleet));
}

fn kill_all(fleet: &mut Fleet) {
    for number in 0..HOSTS {
        fleet.kill(number);
        fleet.start(number);
    }
}

fn start_all(fleet: &mut Fleet) {
    for number in 0..HOSTS {
        fleet.cut_from_store(number, false);
        fleet.resume(number);
        if fleet.owners() == 0 || number != owner(fleet) {
            fleet.kill(number);
            fleet.start(number);
        }
    }
}

const CASES: &[Case] = &[
    Case {
        name: "tasks of steps that start later",
        submission: two_steps,
        before: nothing,
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "unanswered orders to start that are sent again",
        submission: two_steps,
        before: lose_orders,
        after: end_order_delays_late,
        recover: nothing,
    },
    Case {
        name: "unanswered orders to start that are carried out late",
        submission: two_steps,
        before: delay_orders,
        after: end_order_delays,
        recover: nothing,
    },
    Case {
        name: "unanswered orders to start before and after",
        submission: two_steps,
        before: delay_orders,
        after: nothing,
        recover: end_order_delays,
    },
    Case {
        name: "unanswered orders to start gangs",
        submission: gangs,
        before: |fleet| {
            fleet.order_delay_ms = Some(60_000);
            fleet.submit(0, 100, &gangs());
            fleet.run(200);
        },
        after: end_order_delays_late,
        recover: nothing,
    },
    Case {
        name: "unanswered orders to start long-running tasks",
        submission: long_running,
        before: |fleet| {
            fleet.order_delay_ms = Some(60_000);
            fleet.submit(0, 100, &long_running());
            fleet.run(200);
        },
        after: end_order_delays_late,
        recover: nothing,
    },
    Case {
        name: "tasks whose workers fail",
        submission: two_steps,
        before: |fleet| fleet.crash(REMAINING),
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "long-running tasks of workers that drain",
        submission: long_running,
        before: nothing,
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "gangs with members at workers that drain",
        submission: gangs,
        before: nothing,
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "gangs that have lost a member",
        submission: gangs,
        before: |fleet| fleet.crash(REMAINING),
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "speculative copies of stragglers",
        submission: speculative,
        before: stall_worker_elsewhere,
        after: nothing,
        recover: restore_workers,
    },
    Case {
        name: "stragglers that are restarted",
        submission: two_steps,
        before: stall_worker_elsewhere,
        after: nothing,
        recover: restore_workers,
    },
    Case {
        name: "repeated jobs",
        submission: repeated,
        before: nothing,
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "permits that were requested before",
        submission: permitted,
        before: nothing,
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "a new owner",
        submission: two_steps,
        before: nothing,
        after: kill_owner,
        recover: start_all,
    },
    Case {
        name: "a new owner that takes a while to read the list",
        submission: two_steps,
        before: |fleet| {
            for number in 0..600 {
                let id = format!("x{number}-1");
                let text = format!("10.9.{}.{}:80 leaving", number / 200, number % 200);
                fleet.store.put(Stream::Workers, &id, text.as_bytes());
            }
            fleet.run(1_000);
            fleet.store.limits.page_keys = 10;
        },
        after: kill_owner,
        recover: start_all,
    },
    Case {
        name: "a new owner that begins with a recorded list",
        submission: two_steps,
        before: |fleet| fleet.store.unavailable = vec![Stream::Workers],
        after: |fleet| {
            kill_owner(fleet);
            fleet.run(5_000);
            fleet.store.unavailable.clear();
        },
        recover: start_all,
    },
    Case {
        name: "a new owner that finds orders without an answer",
        submission: two_steps,
        before: lose_orders,
        after: |fleet| {
            kill_owner(fleet);
            fleet.order_delay_ms = None;
        },
        recover: start_all,
    },
    Case {
        name: "all hosts restart",
        submission: two_steps,
        before: nothing,
        after: kill_all,
        recover: nothing,
    },
    Case {
        name: "an owner that was paused",
        submission: two_steps,
        before: |fleet| fleet.pause(owner(fleet)),
        after: |fleet| {
            fleet.run(1_000);
            let paused = (0..HOSTS).find(|number| !fleet.is_ready(*number));
            fleet.resume(paused.unwrap_or(0));
        },
        recover: start_all,
    },
    Case {
        name: "an owner that is cut off from the store",
        submission: two_steps,
        before: |fleet| fleet.cut_from_store(owner(fleet), true),
        after: nothing,
        recover: start_all,
    },
    Case {
        name: "a list of workers that can't be read while all else can",
        submission: two_steps,
        before: |fleet| fleet.store.unavailable = vec![Stream::Workers],
        after: nothing,
        recover: |fleet| fleet.store.unavailable.clear(),
    },
    Case {
        name: "calls to the store that went silent",
        submission: two_steps,
        before: |fleet| (0..HOSTS).for_each(|number| fleet.drop_store_connections(number)),
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "a store that loses answers",
        submission: two_steps,
        before: nothing,
        after: |fleet| fleet.store.mode = Mode::LosesAnswers,
        recover: |fleet| fleet.store.mode = Mode::Up,
    },
    Case {
        name: "workers that drain and restart under their ids",
        submission: two_steps,
        before: lose_orders,
        after: |fleet| {
            fleet.keep_ids(true);
            fleet.set_restart_delay_ms(900);
            for address in DRAINING {
                fleet.crash(address);
            }
            end_order_delays_late(fleet);
        },
        recover: nothing,
    },
];

/// Runs a case with direct or relayed orders. Returns the broken promises.
fn play(case: &Case, is_relayed: bool) -> Vec<String> {
    let mut fleet = match is_relayed {
        true => Fleet::with_relays(HOSTS, WORKERS),
        false => Fleet::new(HOSTS, WORKERS),
    };
    fleet.permitted = (0..WORKERS)
        .map(|number| format!("w{number}-1").into())
        .collect();
    for id in 1..=3 {
        fleet.submit(0, id, &(case.submission)());
    }
    fleet.run(300);
    (case.before)(&mut fleet);
    for address in DRAINING {
        fleet.drain(address);
    }
    (case.after)(&mut fleet);
    // More jobs than fit on the other workers, so that waiting tasks would start on any worker with
    // free resources.
    for id in 4..4 + STAY_MS / 1_000 {
        fleet.run(1_000);
        let host = (0..HOSTS)
            .find(|number| fleet.is_ready(*number))
            .unwrap_or(0);
        fleet.submit(host, id, &two_steps());
    }
    let starts_before = fleet.promises.starts.len();
    (case.recover)(&mut fleet);
    for address in DRAINING {
        fleet.leave(address);
    }
    fleet.run(RECOVERY_MS);
    let mut broken = std::mem::take(&mut fleet.promises.broken);
    if fleet.promises.starts.len() == starts_before {
        broken.push("no task starts any more".into());
    }
    let accepted: Vec<JobId> = fleet.promises.accepted.iter().copied().collect();
    for id in accepted {
        let state = fleet.state(0, id.0);
        let runs_forever = fleet.promises.submitted[&id].steps[0].is_long_running;
        let expected = match runs_forever {
            true => JobState::Running,
            false => JobState::Completed,
        };
        if state != Some(expected) {
            broken.push(format!("job {id} is {state:?}"));
        }
    }
    broken
}

/// Guards against tasks that start at a worker that drains because of an earlier decision, or by a
/// host that does not know that it drains.
#[gtest]
fn nothing_starts_at_a_draining_worker_by_any_path() {
    for case in CASES {
        for is_relayed in [false, true] {
            let broken = play(case, is_relayed);
            expect_that!(broken, is_empty(), "{}, relayed {is_relayed}", case.name);
        }
    }
}

/// Guards against orders to start that wait in a host for a connection until their worker drains.
/// Orders to stop must not be dropped as early: the task could not start elsewhere.
#[gtest]
fn only_orders_to_start_are_dropped_after_a_short_wait_for_a_connection() {
    let task = TaskId {
        job: JobId(1),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    let start = WorkerCall::Start {
        task,
        run: 1,
        specification: "text".into(),
        lease_until_ms: 0,
        checkpoint: "".into(),
        permit: "".into(),
    };
    expect_that!(start.max_queue_ms(), some(lt(DRAIN_MS / 2)));
    expect_that!(WorkerCall::Stop { task, run: 1 }.max_queue_ms(), none());
}
