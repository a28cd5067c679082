//! Tasks that take down the workers that start them, and those that merely stand beside them.

use crate::dispatch::JOB;
use crate::dispatch::owner;
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
use googletest::prelude::*;

/// Time after its start at which a poisoned task takes its worker down.
const CRASH_MS: u64 = 10;

/// Gives a task of a job that runs once.
fn task(job: u64, step: u16, index: u16) -> TaskId {
    TaskId {
        job: JobId(job),
        occurrence: 0,
        step,
        index,
    }
}

/// Callers waited for good for a job whose first task took each worker down 10 ms after it had
/// begun there. The worker was back 3.4 s later, its owner learned that from another incarnation
/// at its address, and started the task elsewhere at once: 32 times in two minutes, 250 crashes
/// on 66 workers in all, and quick jobs beside it were four times as often late. What the owner
/// wrote, `WorkerGone runs=7` and 26 ms later `RunOrdered run=7`, with neither `RunBroken` nor
/// `JobFailed` between them, shows that a run which goes with its worker was an end to nobody:
/// only ends that a worker lists were counted.
#[gtest]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut fleet = Fleet::new(3, 8);
    fleet.poison(task(JOB, 0, 0), CRASH_MS);
    fleet.submit(0, JOB, &job(vec![step(4, 300, &[])]));
    fleet.run(40_000);
    expect_that!(fleet.promises.broken, is_empty(), "{:#?}", fleet.log_lines);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Failed)));
}

/// A job with tasks that crash their workers, and what may become of it.
struct Case {
    name: &'static str,
    hosts: usize,
    workers: usize,
    relays: bool,
    steps: fn() -> Vec<Step>,
    /// Occurrences of the job, 2 s apart; 0 for a plain one.
    repetitions: u32,
    /// Indexes in the first step of the tasks that crash their workers, and after which time.
    poisoned: &'static [u16],
    crash_ms: u64,
    /// Time after which a crashed worker is back.
    back_ms: u64,
    /// It is back under its old id.
    keeps_ids: bool,
    /// What happens besides, each second.
    besides: fn(&mut Fleet, u64),
    /// Workers that it may take down.
    crashes_most: u32,
}

const CASE: Case = Case {
    name: "",
    hosts: 3,
    workers: 8,
    relays: false,
    steps: || vec![step(4, 300, &[])],
    repetitions: 0,
    poisoned: &[0],
    crash_ms: CRASH_MS,
    back_ms: 3_400,
    keeps_ids: false,
    besides: |_, _| {},
    crashes_most: 2,
};

/// Kills the owner now and then, and starts it again.
fn kill_owner(fleet: &mut Fleet, second: u64) {
    let owner = owner(fleet);
    if second.is_multiple_of(4) {
        fleet.kill(owner);
        fleet.start(owner);
    }
}

const CASES: &[Case] = &[
    Case {
        name: "one task of four",
        ..CASE
    },
    // A lease is over long before the worker is back, so the task runs elsewhere by then.
    Case {
        name: "workers that are back only after their leases are over",
        back_ms: 8_000,
        crashes_most: 3,
        ..CASE
    },
    Case {
        name: "a worker that is down before it has answered the order",
        crash_ms: 0,
        crashes_most: 4,
        ..CASE
    },
    Case {
        name: "workers that are back at once",
        back_ms: 50,
        ..CASE
    },
    Case {
        name: "workers that are back under their old ids",
        keeps_ids: true,
        ..CASE
    },
    Case {
        name: "workers that are back at once under their old ids",
        back_ms: 5,
        keeps_ids: true,
        ..CASE
    },
    Case {
        name: "workers that are back under their old ids after their leases are over",
        back_ms: 8_000,
        keeps_ids: true,
        crashes_most: 3,
        ..CASE
    },
    Case {
        name: "the same, and owners that die between the crashes",
        back_ms: 8_000,
        keeps_ids: true,
        besides: kill_owner,
        crashes_most: 5,
        ..CASE
    },
    // What was counted must be on record before the next start.
    Case {
        name: "owners that die between the crashes",
        besides: kill_owner,
        crashes_most: 5,
        ..CASE
    },
    Case {
        name: "all hosts die between the crashes",
        besides: |fleet, second| {
            for host in 0..3 {
                if second.is_multiple_of(5) {
                    fleet.kill(host);
                    fleet.start(host);
                }
            }
        },
        crashes_most: 5,
        ..CASE
    },
    Case {
        name: "a store that is away at times",
        besides: |fleet, second| {
            fleet.store.mode = match second % 6 {
                2 | 3 => Mode::Silent,
                _ => Mode::Up,
            };
        },
        ..CASE
    },
    Case {
        name: "a slow store",
        besides: |fleet, _| fleet.store.answer_ms = 200,
        ..CASE
    },
    Case {
        name: "relayed orders",
        relays: true,
        ..CASE
    },
    Case {
        name: "the job is handed in again and again",
        besides: |fleet, second| {
            let submission = fleet.promises.submitted[&JobId(JOB)].clone();
            fleet.submit(second as usize % 3, JOB, &submission);
        },
        ..CASE
    },
    Case {
        name: "all tasks",
        poisoned: &[0, 1, 2, 3],
        crashes_most: 3,
        ..CASE
    },
    Case {
        name: "a gang of which one member crashes its worker",
        steps: || {
            vec![Step {
                is_gang: true,
                ..step(4, 300, &[])
            }]
        },
        ..CASE
    },
    Case {
        name: "a gang that crashes all of its workers",
        steps: || {
            vec![Step {
                is_gang: true,
                max_per_worker: 1,
                ..step(4, 300, &[])
            }]
        },
        poisoned: &[0, 1, 2, 3],
        ..CASE
    },
    Case {
        name: "copies allowed",
        steps: || {
            vec![Step {
                is_speculative: true,
                ..step(4, 300, &[])
            }]
        },
        ..CASE
    },
    Case {
        name: "tasks that last",
        steps: || {
            vec![Step {
                is_long_running: true,
                ..step(3, 1_000, &[])
            }]
        },
        ..CASE
    },
    Case {
        name: "a job that runs three times",
        repetitions: 3,
        ..CASE
    },
    // It has shown that it can be borne, so only many crashes in a row speak against it.
    Case {
        name: "a task that crashes its worker only after a while",
        steps: || vec![step(2, 8_000, &[])],
        crash_ms: 2_500,
        crashes_most: 5,
        ..CASE
    },
];

fn play(case: &Case) -> Fleet {
    let mut fleet = match case.relays {
        true => Fleet::with_relays(case.hosts, case.workers),
        false => Fleet::new(case.hosts, case.workers),
    };
    fleet.set_restart_delay_ms(case.back_ms);
    fleet.keep_ids(case.keeps_ids);
    for index in case.poisoned {
        fleet.poison(task(JOB, 0, *index), case.crash_ms);
    }
    let submission = Submission {
        repetitions: case.repetitions,
        interval_ms: 2_000,
        first_due_wall_ms: fleet.wall_ms(),
        ..job((case.steps)())
    };
    fleet.submit(0, JOB, &submission);
    for second in 1..=45 {
        fleet.run(1_000);
        (case.besides)(&mut fleet, second);
    }
    fleet.run(5_000);
    fleet
}

/// Symptom: a task that crashes its workers goes on for good, under one of these conditions, or
/// takes more of them down than are needed to know it.
#[gtest]
fn a_task_that_crashes_its_workers_is_known_soon() {
    for case in CASES {
        let mut fleet = play(case);
        expect_that!(
            fleet.state(0, JOB),
            some(eq(JobState::Failed)),
            "{}: {:#?}",
            case.name,
            fleet.log_lines
        );
        expect_that!(fleet.promises.broken, is_empty(), "{}", case.name);
        for index in case.poisoned {
            let crashes = fleet.promises.crashes.get(&task(JOB, 0, *index));
            expect_that!(
                crashes.copied().unwrap_or(0),
                le(case.crashes_most),
                "{}: {:#?}",
                case.name,
                fleet.log_lines
            );
        }
    }
}

/// Workers that go down for other reasons than a task.
struct Luckless {
    name: &'static str,
    steps: fn() -> Vec<Step>,
    /// What happens, each second.
    besides: fn(&mut Fleet, u64),
    /// Workers that crash are back under their old ids.
    keeps_ids: bool,
}

/// Gives the addresses of all workers on which something runs.
pub(crate) fn busy(fleet: &Fleet) -> Vec<Box<str>> {
    let workers = fleet.workers.iter();
    let busy = workers.filter(|(_, worker)| worker.tasks().next().is_some());
    busy.map(|(address, _)| address.clone()).collect()
}

/// Has all workers go dark at once, now and then.
fn go_dark(fleet: &mut Fleet, second: u64) {
    if matches!(second, 1 | 5 | 9 | 13) {
        let addresses: Vec<Box<str>> = fleet.workers.keys().cloned().collect();
        for address in addresses {
            fleet.crash(&address);
        }
    }
}

/// Crashes the workers on which something runs, now and then.
fn crash_busy(fleet: &mut Fleet, second: u64) {
    if second.is_multiple_of(6) {
        for address in busy(fleet) {
            fleet.crash(&address);
        }
    }
}

fn last_long() -> Vec<Step> {
    vec![Step {
        is_long_running: true,
        ..step(4, 1_000, &[])
    }]
}

const LUCKLESS: &[Luckless] = &[
    // All that works there runs elsewhere meanwhile, and has not crashed it.
    Luckless {
        keeps_ids: false,
        name: "workers that are cut off and come back",
        steps: || vec![step(6, 6_000, &[])],
        besides: |fleet, second| match second {
            1 | 12 | 23 => fleet.cut_workers = busy(fleet),
            9 | 20 | 31 => fleet.cut_workers.clear(),
            _ => {}
        },
    },
    // The failure domain goes dark under runs that have just begun, and again under the next ones.
    Luckless {
        keeps_ids: false,
        name: "a failure domain that goes dark several times",
        steps: || vec![step(2, 20_000, &[])],
        besides: go_dark,
    },
    // They serve for longer than hosts live here.
    Luckless {
        keeps_ids: false,
        name: "tasks that last, on hosts that crash by themselves",
        steps: last_long,
        besides: crash_busy,
    },
    Luckless {
        keeps_ids: false,
        name: "workers that leave as planned, with another one at their address",
        steps: || vec![step(4, 60_000, &[])],
        besides: |fleet, second| {
            if !second.is_multiple_of(3) || second > 12 {
                return;
            }
            for address in busy(fleet) {
                let id = fleet.workers[&address].id.clone();
                let text = format!("{address} leaving");
                fleet.store.put(Stream::Workers, &id, text.as_bytes());
                fleet.run(500);
                fleet.store.put(Stream::Workers, &id, &[]);
                fleet.add_worker(&address, &format!("{id}-next"));
            }
        },
    },
    Luckless {
        keeps_ids: false,
        name: "a host whose own way to all workers is cut",
        steps: || vec![step(4, 12_000, &[])],
        besides: |fleet, second| {
            let owner = owner(fleet);
            fleet.cut_from_workers(owner, matches!(second, 2..=4 | 9..=11));
        },
    },
    Luckless {
        keeps_ids: true,
        name: "a failure domain that goes dark several times, and keeps its ids",
        steps: || vec![step(2, 20_000, &[])],
        besides: go_dark,
    },
    Luckless {
        keeps_ids: true,
        name: "tasks that last, on hosts that crash by themselves and keep their ids",
        steps: last_long,
        besides: crash_busy,
    },
    Luckless {
        keeps_ids: true,
        name: "workers that leave as planned and start again under their ids",
        steps: || vec![step(4, 60_000, &[])],
        besides: |fleet, second| {
            if second > 6 {
                return;
            }
            fleet.set_restart_delay_ms(500);
            for address in busy(fleet) {
                fleet.announce_leave(&address);
                fleet.run(100);
                fleet.crash(&address);
            }
        },
    },
];

/// Symptom: a job is shown as failed though no task of it did anything. Cause: whatever goes with
/// a worker was taken for what brought it down.
#[gtest]
fn tasks_are_not_given_up_for_what_befalls_their_workers() {
    for case in LUCKLESS {
        let mut fleet = Fleet::new(3, 6);
        fleet.keep_ids(case.keeps_ids);
        fleet.submit(0, JOB, &job((case.steps)()));
        for second in 1..=40 {
            fleet.run(1_000);
            (case.besides)(&mut fleet, second);
        }
        fleet.run(30_000);
        let is_long_running = fleet.promises.submitted[&JobId(JOB)].steps[0].is_long_running;
        let wanted = match is_long_running {
            true => JobState::Running,
            false => JobState::Completed,
        };
        let state = fleet.state(0, JOB);
        // The job that lasts for longest needs a minute.
        let state = match state {
            Some(JobState::Running) if !is_long_running => {
                fleet.run(40_000);
                fleet.state(0, JOB)
            }
            other => other,
        };
        expect_that!(
            state,
            some(eq(wanted)),
            "{}: {:#?}",
            case.name,
            fleet.log_lines
        );
        expect_that!(fleet.promises.broken, is_empty(), "{}", case.name);
    }
}

/// Symptom: jobs that do nothing wrong are given up, or wait, because they stand beside one that
/// crashes its workers. Sequence: jobs come one after the other while four poisoned ones do their
/// damage. All others end, and none needs more than a few starts.
#[gtest]
fn bystanders_are_neither_given_up_nor_kept_waiting() {
    let mut fleet = Fleet::new(3, 6);
    for number in 0..60_u64 {
        if number.is_multiple_of(15) {
            fleet.poison(task(number + 1, 0, 1), CRASH_MS);
        }
        fleet.submit(0, number + 1, &job(vec![step(4, 400, &[])]));
        fleet.run(250);
    }
    fleet.run(20_000);
    for number in 0..60_u64 {
        let wanted = match number.is_multiple_of(15) {
            true => JobState::Failed,
            false => JobState::Completed,
        };
        expect_that!(
            fleet.state(0, number + 1),
            some(eq(wanted)),
            "job {:x}: {:#?}",
            number + 1,
            fleet.log_lines
        );
    }
    expect_that!(fleet.promises.broken, is_empty());
    let crashes = fleet.promises.crashes_of_poisoned();
    expect_that!(crashes, le(12));
}
