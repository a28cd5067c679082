//! Workers that start again under the id that they had, and know nothing of before.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::dispatch_crashes::busy;
use crate::fleet::Fleet;
use crate::fleet::Mode;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::TaskId;
use googletest::prelude::*;

/// Time after which a worker that has crashed is back, a tenth of its lease.
const BACK_MS: u64 = 600;

/// Gives a fleet whose workers have each ended some tasks well, so that their ends are numbered
/// higher than those of a worker that has just started.
fn seasoned(workers: usize) -> Fleet {
    let mut fleet = Fleet::new(3, workers);
    fleet.keep_ids(true);
    fleet.set_restart_delay_ms(BACK_MS);
    for number in 0..3 {
        let count = 8 * workers as u32;
        fleet.submit(0, JOB + 100 + number, &job(vec![step(count, 300, &[])]));
        fleet.run(2_000);
    }
    fleet
}

/// Crashes all workers at once.
fn crash_all(fleet: &mut Fleet) {
    let addresses: Vec<Box<str>> = fleet.workers.keys().cloned().collect();
    for address in addresses {
        fleet.crash(&address);
    }
}

/// Tasks of quick jobs that had ended well were started again a second later on another worker;
/// 1,562 of them in two minutes. The worker had crashed, and 0.6 s later it had started again under
/// its old id, so that it was heard again before it was given up: 19 lines like `WorkerBack runs=0`
/// and no `WorkerGone`. All 95 runs that were followed by another one with no end between them,
/// `RunOrdered run=2` at 5.721 s and `RunOrdered run=3` at 8.006 s, were on such workers.
#[gtest]
fn a_task_that_ended_well_on_a_worker_that_started_again_does_not_run_again() {
    let mut fleet = seasoned(4);
    crash_all(&mut fleet);
    fleet.run(BACK_MS + 3_000);
    fleet.submit(0, JOB, &job(vec![step(8, 1_000, &[])]));
    fleet.run(6_000);
    expect_that!(fleet.promises.broken, is_empty(), "{:#?}", fleet.log_lines);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
}

/// A job of several steps stood still for 39 s, until the day was over, with most of the workers'
/// room free: its second step could run and didn't. A task of its first step ran on the same worker
/// again and again, `RunOrdered run=20`, `run=21` and `run=22` within four seconds, and ended well
/// there each time. That worker had started again under its old id 36 s before the job came.
#[gtest]
fn a_job_goes_on_with_its_next_step_on_a_worker_that_started_again() {
    let mut fleet = seasoned(1);
    crash_all(&mut fleet);
    fleet.run(BACK_MS + 3_000);
    let steps = vec![step(1, 1_000, &[]), step(1, 1_000, &[0])];
    fleet.submit(0, JOB, &job(steps));
    fleet.run(10_000);
    expect_that!(
        fleet.state(0, JOB),
        some(eq(JobState::Completed)),
        "{:#?}",
        fleet.log_lines
    );
}

/// A way in which workers start again.
struct Case {
    name: &'static str,
    relays: bool,
    /// Time after which a worker that has crashed is back.
    back_ms: u64,
    /// By how much more its clock is set back each time.
    set_back_ms: u64,
    /// Time after which a worker that is back reports itself.
    report_ms: u64,
    step: fn() -> Step,
    /// What happens, each half second for five seconds.
    besides: fn(&mut Fleet, u64),
}

const CASE: Case = Case {
    name: "",
    relays: false,
    back_ms: BACK_MS,
    set_back_ms: 0,
    report_ms: 0,
    step: || step(6, 400, &[]),
    besides: |fleet, half| {
        if half.is_multiple_of(3) {
            crash(fleet, half);
        }
    },
};

/// Crashes one worker after the other.
fn crash(fleet: &mut Fleet, number: u64) {
    let count = fleet.workers.len();
    let address = fleet.workers.keys().nth(number as usize % count).cloned();
    fleet.crash(&address.unwrap_or_default());
}

fn restart_owner(fleet: &mut Fleet) {
    let owner = owner(fleet);
    fleet.kill(owner);
    fleet.start(owner);
}

const CASES: &[Case] = &[
    Case {
        name: "one after the other",
        ..CASE
    },
    Case {
        name: "between two looks, so that no answer is missed",
        back_ms: 5,
        ..CASE
    },
    Case {
        name: "twice between two looks",
        back_ms: 5,
        besides: |fleet, half| {
            crash(fleet, half);
            fleet.run(10);
            crash(fleet, half);
        },
        ..CASE
    },
    Case {
        name: "with a clock that was set back",
        set_back_ms: 60_000,
        ..CASE
    },
    Case {
        name: "a whole rack at once",
        besides: |fleet, half| {
            if half.is_multiple_of(4) {
                crash_all(fleet);
            }
        },
        ..CASE
    },
    Case {
        name: "behind a cut that is shorter than a lease",
        besides: |fleet, half| match half {
            1 => {
                fleet.cut_workers = fleet.workers.keys().take(2).cloned().collect();
                crash(fleet, 0);
                crash(fleet, 1);
            }
            6 => fleet.cut_workers.clear(),
            _ => {}
        },
        ..CASE
    },
    Case {
        name: "after their leases are over",
        back_ms: 7_000,
        ..CASE
    },
    Case {
        name: "just before their owner dies",
        besides: |fleet, half| {
            if half.is_multiple_of(4) {
                crash_all(fleet);
                restart_owner(fleet);
            }
        },
        ..CASE
    },
    Case {
        name: "while a new owner begins",
        back_ms: 1_200,
        besides: |fleet, half| match half % 5 {
            0 => restart_owner(fleet),
            2 => crash_all(fleet),
            _ => {}
        },
        ..CASE
    },
    Case {
        name: "under an owner that stops as planned",
        besides: |fleet, half| {
            if half.is_multiple_of(5) {
                crash(fleet, half);
                let owner = owner(fleet);
                fleet.stop(owner);
            }
        },
        ..CASE
    },
    Case {
        name: "as their entry in the store is still the old one",
        report_ms: 4_000,
        ..CASE
    },
    Case {
        name: "while the store is away",
        besides: |fleet, half| {
            fleet.store.mode = match half {
                2..=7 => Mode::Silent,
                _ => Mode::Up,
            };
            crash(fleet, half);
        },
        ..CASE
    },
    Case {
        name: "with orders carried out late",
        besides: |fleet, half| {
            fleet.order_delay_ms = matches!(half, 2..=4).then_some(2_500);
            if half == 4 {
                crash_all(fleet);
            }
        },
        ..CASE
    },
    Case {
        name: "with orders carried out late by whoever lives then",
        besides: |fleet, half| {
            fleet.late_orders_outlive_restarts = true;
            fleet.order_delay_ms = matches!(half, 2..=4).then_some(2_500);
            if half == 4 {
                crash_all(fleet);
            }
        },
        ..CASE
    },
    Case {
        name: "with relayed orders",
        relays: true,
        ..CASE
    },
    Case {
        name: "under gangs",
        step: || Step {
            is_gang: true,
            ..step(6, 400, &[])
        },
        ..CASE
    },
    Case {
        name: "under tasks with copies",
        step: || Step {
            is_speculative: true,
            ..step(6, 400, &[])
        },
        ..CASE
    },
    Case {
        name: "under long tasks",
        step: || step(6, 3_000, &[]),
        ..CASE
    },
];

/// Plays a case and gives the fleet with the numbers of the jobs that came.
fn play(case: &Case) -> (Fleet, Vec<u64>) {
    let mut fleet = match case.relays {
        true => Fleet::with_relays(3, 4),
        false => Fleet::new(3, 4),
    };
    fleet.keep_ids(true);
    fleet.set_restart_delay_ms(case.back_ms);
    fleet.set_clocks_back(case.set_back_ms);
    fleet.set_report_ms(case.report_ms);
    for number in 0..3 {
        fleet.submit(0, JOB + 100 + number, &job(vec![step(24, 300, &[])]));
        fleet.run(2_000);
    }
    let mut jobs = Vec::new();
    for half in 0..10 {
        let submission = job(vec![(case.step)(), step(2, 300, &[0])]);
        fleet.submit(0, JOB + half, &submission);
        jobs.push(JOB + half);
        (case.besides)(&mut fleet, half);
        fleet.run(500);
    }
    fleet.store.mode = Mode::Up;
    fleet.order_delay_ms = None;
    fleet.cut_workers.clear();
    fleet.run(ENDED_MS);
    (fleet, jobs)
}

/// Time in which all jobs have ended once nothing disturbs: leases must run out first.
const ENDED_MS: u64 = 20_000;

/// Guards against tasks that run twice, and jobs that are lost, as workers start again under their
/// ids in one of these ways.
#[gtest]
fn jobs_outlive_workers_that_start_again() {
    for case in CASES {
        let (mut fleet, jobs) = play(case);
        expect_that!(
            fleet.promises.broken,
            is_empty(),
            "{}: {:#?}",
            case.name,
            fleet.log_lines
        );
        for id in jobs {
            let request = fleet.replies.len();
            let state = fleet.state(0, id);
            let is_stored = fleet.promises.accepted.contains(&JobId(id));
            expect_true!(
                !is_stored || state == Some(JobState::Completed),
                "{}: job {id:x} is {state:?} after {request} answers: {:#?}",
                case.name,
                fleet.log_lines
            );
        }
    }
}

/// Guards against taking a worker for another incarnation that was merely cut off: what runs there
/// goes on, and none of it starts again.
#[gtest]
fn a_worker_that_was_cut_off_is_no_other_incarnation() {
    let mut fleet = seasoned(4);
    fleet.submit(0, JOB, &job(vec![step(8, 6_000, &[])]));
    fleet.run(1_000);
    for _ in 0..3 {
        fleet.cut_workers = fleet.workers.keys().cloned().collect();
        fleet.run(1_000);
        fleet.cut_workers.clear();
        fleet.run(500);
    }
    fleet.run(6_000);
    let starts = &fleet.promises.starts;
    let own = starts.iter().filter(|(_, task, _)| task.job == JobId(JOB));
    expect_that!(own.count(), eq(8), "{:#?}", fleet.log_lines);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
    expect_that!(fleet.promises.broken, is_empty());
}

/// Guards against a worker that forgets its first ends as it is told a figure of its former life: it
/// starts again at each moment between two looks, and quick tasks end there before the next one.
#[gtest]
fn ends_are_not_forgotten_whenever_a_worker_starts_again() {
    for offset_ms in (0..800).step_by(5) {
        let mut fleet = seasoned(2);
        fleet.set_restart_delay_ms(5);
        fleet.run(offset_ms);
        crash_all(&mut fleet);
        fleet.submit(0, JOB, &job(vec![step(8, 10, &[])]));
        fleet.run(8_000);
        expect_that!(
            fleet.promises.broken,
            is_empty(),
            "{offset_ms} ms: {:#?}",
            fleet.log_lines
        );
        expect_that!(
            fleet.state(0, JOB),
            some(eq(JobState::Completed)),
            "{offset_ms} ms"
        );
        for index in 0..8 {
            let task = TaskId {
                job: JobId(JOB),
                occurrence: 0,
                step: 0,
                index,
            };
            let ends = fleet.promises.completions_of(task);
            expect_that!(ends, eq(1), "{offset_ms} ms: {:#?}", fleet.log_lines);
        }
    }
}

/// Guards against tasks that run in two places: a look that was meant for the former life of their
/// worker extends leases by its clock, so the new one grants the longest that it ever does, and is
/// cut off right after.
#[gtest]
fn a_lease_by_the_clock_of_a_former_life_is_waited_out() {
    for offset_ms in (500..700).step_by(5) {
        let mut fleet = seasoned(2);
        fleet.set_restart_delay_ms(5);
        // Between two looks, so that the next one extends leases as if nothing had happened.
        fleet.run(offset_ms);
        crash_all(&mut fleet);
        fleet.run(30);
        fleet.submit(0, JOB, &job(vec![step(4, 30_000, &[])]));
        fleet.run(120);
        fleet.cut_workers = busy(&fleet);
        fleet.run(15_000);
        fleet.cut_workers.clear();
        fleet.run(35_000);
        let lines = &fleet.log_lines;
        expect_that!(fleet.promises.broken, is_empty(), "{offset_ms}: {lines:#?}");
        expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
    }
}

/// Guards against calls that go where a worker was before: it starts again under its id at another
/// address, and owners that have their orders relayed told the relays of its former one.
#[gtest]
fn a_worker_that_starts_again_at_another_address_is_found_there() {
    for mut fleet in [Fleet::new(3, 1), Fleet::with_relays(3, 1)] {
        fleet.submit(0, JOB, &job(vec![step(4, 300, &[])]));
        fleet.run(1_500);
        if let Some(worker) = fleet.workers.get_mut("10.0.0.0:80") {
            worker.die();
        }
        fleet.run(500);
        fleet.add_worker("10.0.0.9:80", "w0-1");
        fleet.submit(0, JOB + 1, &job(vec![step(4, 300, &[])]));
        fleet.run(1_500);
        let state = fleet.state(0, JOB + 1);
        expect_that!(
            state,
            some(eq(JobState::Completed)),
            "{:#?}",
            fleet.log_lines
        );
        expect_that!(fleet.promises.broken, is_empty());
    }
}
