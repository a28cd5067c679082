//! Hosts that own, lose their ownership and own again within seconds, while workers are silent,
//! come back, are removed or start again.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::dispatch_faults::list_unexpected_states;
use crate::fleet::Fleet;
use crate::fleet::Mode;
use crate::fleet::WORKER_RESOURCES;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_core::Code;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Resources;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Stream;
use goldcrestway_dispatch::TaskId;
use googletest::prelude::*;

/// The worker that is disturbed.
const WORKER: &str = "10.0.0.0:80";
const WORKERS: usize = 4;
const HOSTS: usize = 3;
/// Time in which a host claims after the last heartbeat of an owner, and begins to own.
const TAKEOVER_MS: u64 = 5_000;
/// Time after which a silent worker is given up.
const GIVEN_UP_MS: u64 = 6_500;
/// Time for which an owner could not read the store.
const UNREAD_MS: u64 = 10_000;
/// Time in which all jobs complete once there are no more faults.
const COMPLETION_MS: u64 = 25_000;
/// Times from the submission of the last job until the first fault. A run is recorded within 30 ms
/// and confirmed within 10 ms more.
const OFFSETS_MS: [u64; 6] = [5, 10, 20, 30, 45, 300];
const FIRST_TASK: TaskId = TaskId {
    job: JobId(JOB),
    occurrence: 0,
    step: 0,
    index: 0,
};
/// Streams that an owner reads while it owns.
const READ_STREAMS: [Stream; 6] = [
    Stream::Jobs(0),
    Stream::Jobs(1),
    Stream::Jobs(2),
    Stream::Jobs(3),
    Stream::Workers,
    Stream::Rules,
];

/// Runs until a host other than the given one owns, and returns it.
fn await_other_owner(fleet: &mut Fleet, former: usize) -> usize {
    for _ in 0..TAKEOVER_MS / 20 {
        fleet.run(20);
        let mut others = (0..fleet.host_count()).filter(|host| *host != former);
        if let Some(owner) = others.find(|host| fleet.is_owner(*host)) {
            return owner;
        }
    }
    former
}

/// Runs until a host owns.
fn await_owner(fleet: &mut Fleet, host: usize) {
    for _ in 0..TAKEOVER_MS / 20 {
        fleet.run(20);
        if fleet.is_owner(host) {
            return;
        }
    }
}

/// How an owner loses its ownership. It returns once the next host owns.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// It alone can't reach the store, and goes on until a worker refuses its orders.
    Store,
    /// The same, and it can't reach the workers either, so it does not learn of the next owner.
    Network,
    /// It is paused, and finds all that arrived meanwhile when it goes on.
    Pause,
}

const LOSSES: [Loss; 3] = [Loss::Store, Loss::Network, Loss::Pause];

fn depose(fleet: &mut Fleet, host: usize, loss: Loss) -> usize {
    match loss {
        Loss::Store => fleet.cut_from_store(host, true),
        Loss::Network => {
            fleet.cut_from_store(host, true);
            fleet.cut_from_workers(host, true);
        }
        Loss::Pause => fleet.pause(host),
    }
    await_other_owner(fleet, host)
}

/// Makes a host that has owned before own again, as all others lose the store.
fn restore(fleet: &mut Fleet, host: usize) {
    for other in 0..fleet.host_count() {
        fleet.cut_from_store(other, other != host);
    }
    fleet.cut_from_workers(host, false);
    fleet.resume(host);
    // It may still take itself for the owner of its first spell.
    fleet.run(200);
    await_owner(fleet, host);
}

fn mend(fleet: &mut Fleet) {
    fleet.store.mode = Mode::Up;
    fleet.store.silent.clear();
    fleet.order_delay_ms = None;
    fleet.answer_delays = None;
    fleet.cut_workers.clear();
    fleet.mute_workers.clear();
    fleet.cut_links.clear();
    fleet.mute_links.clear();
    for host in 0..fleet.host_count() {
        fleet.cut_from_store(host, false);
        fleet.cut_from_workers(host, false);
        fleet.resume(host);
    }
    for worker in 0..WORKERS {
        fleet.report(&format!("10.0.0.{worker}:80"));
    }
}

/// What the host that owns twice meets, beside its loss of ownership.
struct Case {
    name: &'static str,
    /// Before the job is submitted. Returns the host that owns twice.
    prepare: fn(&mut Fleet) -> usize,
    /// After it is submitted to the first spell.
    disturb: fn(&mut Fleet),
    /// While another host owns.
    between: fn(&mut Fleet),
    /// After the first host owns again.
    after: fn(&mut Fleet),
}

const CASE: Case = Case {
    name: "",
    prepare: |fleet| owner(fleet),
    disturb: |_| {},
    between: |fleet| fleet.run(200),
    after: |fleet| fleet.run(2_000),
};

/// An owner gives a silent worker up, and another one owns that can't read the store. Returns the
/// latter, which owns next again.
fn give_up_and_change(fleet: &mut Fleet) -> usize {
    fleet.cut_workers = vec![WORKER.into()];
    fleet.run(GIVEN_UP_MS);
    let first = owner(fleet);
    let second = depose(fleet, first, Loss::Store);
    fleet.store.silent = READ_STREAMS.to_vec();
    fleet.cut_workers.clear();
    fleet.run(UNREAD_MS);
    fleet.store.silent.clear();
    fleet.cut_from_store(first, false);
    fleet.run(500);
    second
}

const CASES: &[Case] = &[
    Case {
        name: "nothing else",
        ..CASE
    },
    Case {
        name: "the store loses its answers while runs are recorded",
        disturb: |fleet| {
            fleet.store.mode = Mode::LosesAnswers;
            fleet.run(400);
            fleet.store.mode = Mode::Up;
        },
        ..CASE
    },
    Case {
        name: "orders are carried out late",
        prepare: |fleet| {
            fleet.order_delay_ms = Some(2_500);
            owner(fleet)
        },
        between: |fleet| {
            fleet.order_delay_ms = None;
            fleet.run(200);
        },
        ..CASE
    },
    Case {
        name: "a worker was given up, came back, and an owner could not read the store",
        prepare: give_up_and_change,
        ..CASE
    },
    Case {
        name: "the same, and the worker is mute when the first host owns again",
        prepare: give_up_and_change,
        between: |fleet| {
            fleet.mute_workers = vec![WORKER.into()];
            fleet.run(1_000);
        },
        after: |fleet| fleet.run(GIVEN_UP_MS),
        ..CASE
    },
    Case {
        name: "the same, and the worker falls silent once more before that",
        prepare: give_up_and_change,
        disturb: |fleet| {
            fleet.cut_workers = vec![WORKER.into()];
            fleet.run(600);
        },
        between: |fleet| {
            fleet.cut_workers.clear();
            fleet.run(1_000);
        },
        ..CASE
    },
    Case {
        name: "a worker is silent until it is given up by the other owner",
        disturb: |fleet| fleet.mute_workers = vec![WORKER.into()],
        between: |fleet| {
            fleet.run(GIVEN_UP_MS + 2_000);
            fleet.mute_workers.clear();
            fleet.run(20);
        },
        ..CASE
    },
    Case {
        name: "a worker carries out orders of one host and answers only others",
        disturb: |fleet| {
            let host = owner(fleet);
            fleet.mute_links = vec![(host, WORKER.into())];
        },
        after: |fleet| fleet.run(GIVEN_UP_MS + 1_000),
        ..CASE
    },
    Case {
        name: "a worker is reached by the first host only",
        disturb: |fleet| {
            let host = owner(fleet);
            let others = (0..fleet.host_count()).filter(|other| *other != host);
            fleet.cut_links = others.map(|other| (other, WORKER.into())).collect();
        },
        between: |fleet| fleet.run(2_000),
        after: |fleet| fleet.run(GIVEN_UP_MS + 1_000),
        ..CASE
    },
    Case {
        name: "the entry of a worker lapses and is back",
        disturb: |fleet| {
            let id = fleet.workers[WORKER].id.clone();
            fleet.store.put(Stream::Workers, &id, &[]);
        },
        between: |fleet| {
            fleet.run(100);
            fleet.report(WORKER);
            fleet.run(100);
        },
        ..CASE
    },
    Case {
        name: "a worker starts again under its id",
        disturb: |fleet| fleet.crash(WORKER),
        ..CASE
    },
    Case {
        name: "a worker starts again under its id while nobody reaches it",
        disturb: |fleet| {
            fleet.cut_workers = vec![WORKER.into()];
            fleet.crash(WORKER);
        },
        between: |fleet| {
            fleet.run(1_000);
            fleet.cut_workers.clear();
        },
        ..CASE
    },
    Case {
        name: "two workers exchange their addresses",
        disturb: |fleet| {
            fleet.add_worker("10.0.0.0:80", "w1-1");
            fleet.add_worker("10.0.0.1:80", "w0-1");
        },
        ..CASE
    },
    Case {
        name: "answers of workers take up to half a second",
        prepare: |fleet| {
            fleet.answer_delays = Some((20, 500, 7));
            owner(fleet)
        },
        ..CASE
    },
    Case {
        name: "workers list two exits at a time",
        prepare: |fleet| {
            for worker in fleet.workers.values_mut() {
                worker.exits_per_report = 2;
            }
            owner(fleet)
        },
        ..CASE
    },
    Case {
        name: "the store is silent for all once the first host owns again",
        disturb: |fleet| fleet.mute_workers = vec![WORKER.into()],
        after: |fleet| {
            fleet.store.mode = Mode::Silent;
            fleet.run(1_500);
            fleet.mute_workers.clear();
            fleet.run(GIVEN_UP_MS);
        },
        ..CASE
    },
];

const STEPS: [fn() -> Step; 5] = [
    || step(8, 300, &[]),
    || step(8, 4_000, &[]),
    || Step {
        is_gang: true,
        ..step(6, 2_000, &[])
    },
    || Step {
        is_speculative: true,
        ..step(8, 2_000, &[])
    },
    || Step {
        is_long_running: true,
        ..step(6, 1_000, &[])
    },
];

fn run_case(case: &Case, new_step: fn() -> Step, loss: Loss, offset_ms: u64) -> Vec<String> {
    let relays = offset_ms == OFFSETS_MS[3];
    let mut fleet = match relays {
        true => Fleet::with_relays(HOSTS, WORKERS),
        false => Fleet::new(HOSTS, WORKERS),
    };
    fleet.keep_ids(true);
    fleet.set_restart_delay_ms(600);
    fleet.promises.disturbed_ms = fleet.now_ms;
    fleet.submit(0, JOB, &job(vec![step(8, 2_000, &[])]));
    fleet.run(500);
    let host = (case.prepare)(&mut fleet);
    fleet.submit(host, JOB + 1, &job(vec![new_step()]));
    fleet.run(offset_ms);
    (case.disturb)(&mut fleet);
    depose(&mut fleet, host, loss);
    (case.between)(&mut fleet);
    restore(&mut fleet, host);
    (case.after)(&mut fleet);
    mend(&mut fleet);
    fleet.run(COMPLETION_MS);
    let mut violations = fleet.promises.broken.clone();
    violations.extend(list_unexpected_states(&mut fleet));
    if !violations.is_empty() && std::env::var("DISPATCH_LOG").is_ok() {
        println!("{violations:#?}\n{}", fleet.log_lines.join("\n"));
    }
    violations
}

/// Guards against a task that runs twice, or again after its success, where the host that ordered it
/// loses its ownership and owns again within seconds. With `DISPATCH_SEQUENCES` set, each combination
/// is played with all times of the first fault, otherwise with one of them in turn.
#[gtest]
fn no_task_runs_twice_when_a_host_owns_again() {
    let plays_all = std::env::var("DISPATCH_SEQUENCES").is_ok();
    let mut combination = 0;
    for case in CASES {
        for (number, new_step) in STEPS.iter().enumerate() {
            for loss in LOSSES {
                combination += 1;
                for (index, offset_ms) in OFFSETS_MS.into_iter().enumerate() {
                    if !plays_all && index != combination % OFFSETS_MS.len() {
                        continue;
                    }
                    expect_that!(
                        run_case(case, *new_step, loss, offset_ms),
                        is_empty(),
                        "{}, step {number}, {loss:?}, {offset_ms} ms",
                        case.name
                    );
                }
            }
        }
    }
}

/// Guards against a successor that gives up workers which it can't reach, while the previous owner
/// still extends leases there: most workers confirm that one, and the store is cut off from it alone.
#[gtest]
fn no_task_runs_twice_while_the_former_owner_alone_reaches_most_workers() {
    let mut fleet = Fleet::new(HOSTS, WORKERS);
    let former = owner(&fleet);
    fleet.submit(former, JOB, &job(vec![step(8, 20_000, &[])]));
    fleet.run(500);
    for other in (0..HOSTS).filter(|other| *other != former) {
        for worker in 0..WORKERS - 1 {
            let address = format!("10.0.0.{worker}:80");
            fleet.cut_links.push((other, address.into()));
        }
    }
    fleet
        .cut_links
        .push((former, format!("10.0.0.{}:80", WORKERS - 1).into()));
    depose(&mut fleet, former, Loss::Store);
    fleet.run(15_000);
    mend(&mut fleet);
    fleet.run(COMPLETION_MS);
    expect_that!(fleet.promises.broken.len(), eq(0), "{:#?}", fleet.log_lines);
}

/// Tasks whose run was given up, is heard of again and succeeds before the order to stop it arrives.
struct OrphanCase {
    name: &'static str,
    step: fn() -> Step,
}

const ORPHAN_CASES: &[OrphanCase] = &[
    OrphanCase {
        name: "one task",
        step: || step(1, 60, &[]),
    },
    OrphanCase {
        name: "a gang, of which one member stands for all",
        step: || Step {
            is_gang: true,
            ..step(3, 60, &[])
        },
    },
];

/// Guards against a task that starts again after its success was acknowledged. Its run was given up
/// with its worker; the order to start it was carried out late, by the next incarnation, while the
/// next run waited to be recorded, and it succeeded before the order to stop it arrived.
#[gtest]
fn a_run_that_was_given_up_and_succeeds_is_the_last_one() {
    for case in ORPHAN_CASES {
        let mut reached = 0;
        for late_ms in (8_005..8_400).step_by(15) {
            let mut fleet = Fleet::new(HOSTS, WORKERS);
            fleet.keep_ids(true);
            fleet.late_orders_outlive_restarts = true;
            fleet.set_restart_delay_ms(8_000);
            fleet.order_delay_ms = Some(late_ms);
            fleet.submit(0, JOB, &job(vec![(case.step)(), step(1, 50, &[0])]));
            let until_ms = fleet.now_ms + 300;
            while !fleet.note_counts.contains_key(&Code::RunOrdered) && fleet.now_ms < until_ms {
                fleet.run(5);
            }
            fleet.run(20);
            fleet.order_delay_ms = None;
            let busy = ordered_workers(&fleet);
            for id in busy {
                let address = fleet.address_of(&id);
                fleet.crash(&address);
            }
            fleet.run(3_000);
            fleet.store.mode = Mode::Silent;
            fleet.run(4_900);
            fleet.answer_delays = Some((200, 200, 1));
            fleet.run(1_600);
            fleet.store.mode = Mode::Up;
            fleet.answer_delays = None;
            fleet.run(COMPLETION_MS);
            let mut starts = fleet.promises.starts.iter();
            let has_next = starts.any(|start| start.1 == FIRST_TASK && start.2 > 1);
            reached += usize::from(!has_next);
            expect_that!(
                fleet.promises.broken,
                is_empty(),
                "{}, {late_ms} ms: {:#?}",
                case.name,
                fleet.log_lines
            );
            expect_that!(
                fleet.promises.completions_of(FIRST_TASK),
                eq(1),
                "{}, {late_ms} ms: {:#?}",
                case.name,
                fleet.log_lines
            );
            expect_that!(
                fleet.state(0, JOB),
                some(eq(JobState::Completed)),
                "{}, {late_ms} ms",
                case.name
            );
        }
        // Otherwise the late run never was the first to succeed, which would prove nothing.
        expect_that!(reached, gt(0), "{}", case.name);
    }
}

/// Returns the ids of the workers that were ordered to start something.
fn ordered_workers(fleet: &Fleet) -> Vec<Box<str>> {
    let mut ids: Vec<Box<str>> = Vec::new();
    let lines = fleet.log_lines.iter();
    for line in lines.filter(|line| line.contains("RunOrdered")) {
        let mut words = line.split(' ');
        if let Some(id) = words.find_map(|word| word.strip_prefix("worker=")) {
            ids.push(id.into());
        }
    }
    ids.sort();
    ids.dedup();
    ids
}

/// An order to start that had no answer, and is carried out by a later incarnation of its worker
/// although its run was given up or has ended.
struct LateCase {
    name: &'static str,
    step: fn() -> Step,
    /// Before the job is submitted.
    prepare: fn(&mut Fleet),
    /// After the orders were sent.
    play: fn(&mut Fleet),
}

/// The worker whose orders are carried out late in [`LATE_CASES`].
const LATE_WORKER: &str = "10.0.0.1:80";
const SMALL: Resources = Resources {
    cpu_milli: 500,
    memory_mb: 500,
    accelerators: 0,
};

fn spread_gang() -> Step {
    Step {
        is_gang: true,
        max_per_worker: 1,
        ..step(2, 200, &[])
    }
}

const LATE_CASES: &[LateCase] = &[
    LateCase {
        name: "the second order was answered, and the run succeeded",
        step: || step(1, 200, &[]),
        prepare: |_| {},
        play: |_| {},
    },
    LateCase {
        name: "its job was cancelled before the order could be answered",
        step: || step(1, 200, &[]),
        prepare: |_| {},
        play: |fleet| {
            fleet.cancel(0, JOB);
        },
    },
    LateCase {
        name: "the same, and its worker starts again before it has confirmed the stop",
        step: || step(1, 200, &[]),
        prepare: |_| {},
        play: |fleet| {
            fleet.mute_workers = fleet.delayed_workers.clone();
            fleet.cancel(0, JOB);
            fleet.run(700);
            fleet.crash(LATE_WORKER);
            fleet.run(10);
            fleet.mute_workers.clear();
        },
    },
    LateCase {
        name: "another member of its gang was refused before the order could be answered",
        step: spread_gang,
        prepare: |fleet| fleet.resize(WORKER, SMALL),
        play: |fleet| {
            fleet.run(100);
            fleet.resize(WORKER, WORKER_RESOURCES);
        },
    },
    LateCase {
        name: "the same, and its worker starts again before it has confirmed that stop",
        step: spread_gang,
        prepare: |fleet| fleet.resize(WORKER, SMALL),
        play: |fleet| {
            fleet.mute_workers = fleet.delayed_workers.clone();
            fleet.run(700);
            fleet.resize(WORKER, WORKER_RESOURCES);
            fleet.crash(LATE_WORKER);
            fleet.run(10);
            fleet.mute_workers.clear();
        },
    },
];

/// Guards against a task that starts again after its success was acknowledged, or after its job was
/// cancelled: an order to start it that had no answer is carried out by the next incarnation of its
/// worker, after the run was stopped or has ended.
#[gtest]
fn orders_without_an_answer_are_ruled_out_at_the_next_incarnation() {
    for case in LATE_CASES {
        for late_ms in [8_000, 9_500, 14_000] {
            let mut fleet = Fleet::new(HOSTS, WORKERS);
            fleet.keep_ids(true);
            fleet.late_orders_outlive_restarts = true;
            fleet.set_restart_delay_ms(5);
            (case.prepare)(&mut fleet);
            // A single task goes to the first worker unless that one is full.
            let first = (case.step)();
            if !first.is_gang {
                fleet.submit(0, JOB + 1, &job(vec![step(8, 9_000, &[])]));
                fleet.run(100);
            }
            let ordered = fleet.note_counts.get(&Code::RunOrdered).copied();
            fleet.delayed_workers = vec![LATE_WORKER.into()];
            fleet.order_delay_ms = Some(late_ms);
            fleet.submit(0, JOB, &job(vec![first, step(1, 100, &[0])]));
            while fleet.note_counts.get(&Code::RunOrdered).copied() == ordered {
                fleet.run(5);
            }
            fleet.order_delay_ms = None;
            (case.play)(&mut fleet);
            fleet.run(5_000);
            let state = fleet.state(0, JOB);
            expect_that!(
                state,
                some(any![eq(JobState::Completed), eq(JobState::Cancelled)]),
                "{}",
                case.name
            );
            fleet.crash(LATE_WORKER);
            let starts = fleet.promises.starts.len();
            fleet.run(late_ms);
            let late: Vec<_> = fleet.promises.starts[starts..]
                .iter()
                .filter(|start| start.1.job == JobId(JOB))
                .collect();
            expect_that!(
                late,
                is_empty(),
                "{}, {late_ms} ms: {:#?}",
                case.name,
                fleet.log_lines
            );
            expect_that!(fleet.promises.broken, is_empty(), "{}", case.name);
        }
    }
}

/// Guards against an owner that gives up what it has started in its former spell: the record of
/// silent workers that it left then names a worker that has come back since, and the worker does not
/// answer at once. Only some milliseconds to seconds lie between its two orders.
#[gtest]
fn a_host_that_owns_again_keeps_what_it_started_on_a_worker_that_came_back() {
    for after_ms in [30, 150, 300, 600, 1_000, 2_000] {
        for stops in [false, true] {
            let mut fleet = Fleet::new(HOSTS, WORKERS);
            let host = owner(&fleet);
            fleet.submit(host, JOB, &job(vec![step(8, 3_000, &[])]));
            fleet.run(500);
            fleet.cut_workers = vec![WORKER.into()];
            fleet.run(GIVEN_UP_MS - 1_500);
            fleet.cut_workers.clear();
            fleet.run(400);
            fleet.submit(host, JOB + 1, &job(vec![step(20, 9_000, &[])]));
            fleet.run(after_ms);
            for other in (0..HOSTS).filter(|other| *other != host) {
                fleet.cut_from_store(other, true);
            }
            if stops {
                fleet.stop(host);
                fleet.run(200);
            }
            fleet.kill(host);
            fleet.start(host);
            fleet.cut_workers = vec![WORKER.into()];
            fleet.run(3_000);
            fleet.cut_workers.clear();
            fleet.run(3_000);
            mend(&mut fleet);
            fleet.run(COMPLETION_MS);
            expect_that!(
                fleet.promises.broken,
                is_empty(),
                "after {after_ms} ms, {stops}: {:#?}",
                fleet.log_lines
            );
        }
    }
}
