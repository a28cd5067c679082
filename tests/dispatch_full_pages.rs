//! Workers that list their exits page by page: what the first pages leave out has not been lost.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::Mode;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::TaskId;
use googletest::prelude::*;

/// Job whose exits come first and fill more than a page.
const EARLIER_JOB: u64 = 0x1;
const EARLIER_TASKS: u32 = 12;
const TASKS: u32 = 8;
const EXITS_PER_REPORT: usize = 5;
const ADDRESS: &str = "10.0.0.0:80";
/// Time for which runs of the earlier job last, and those of the other one.
const EARLIER_MS: u64 = 300;
const LATER_MS: u64 = 600;
/// Time in which another host becomes the owner once the previous one has died.
const TAKEOVER_MS: u64 = 4_000;
/// Time after the first poll of a new owner in which a task of which no run exists starts again: a
/// few pages, each of them recorded before the next one is requested.
const RESTART_MS: u64 = 1_000;

/// How an owner comes to depend on exits that a worker does not list at first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Event {
    /// The owner dies, and its runs end before the next one polls the worker.
    OwnerDies,
    /// The same, and the store is away after the next owner has begun.
    OwnerDiesBeforeOutage,
    /// The store is away, so no exit is recorded and the worker lists the same page again and again.
    Outage,
    /// The orders to start the runs get no answer, and the store is away as they end.
    UnansweredStarts,
}

struct Case {
    name: &'static str,
    event: Event,
    step: fn() -> Step,
    with_relays: bool,
}

fn small(step: Step) -> Step {
    Step {
        cpu_milli: 50,
        memory_mb: 10,
        ..step
    }
}

fn plain() -> Step {
    small(step(TASKS, LATER_MS, &[]))
}

fn gang() -> Step {
    Step {
        is_gang: true,
        ..plain()
    }
}

const CASES: &[Case] = &[
    Case {
        name: "inherited runs",
        event: Event::OwnerDies,
        step: plain,
        with_relays: false,
    },
    Case {
        name: "inherited runs over relays",
        event: Event::OwnerDies,
        step: plain,
        with_relays: true,
    },
    Case {
        name: "an inherited gang",
        event: Event::OwnerDies,
        step: gang,
        with_relays: false,
    },
    Case {
        name: "inherited runs while nothing is recorded",
        event: Event::OwnerDiesBeforeOutage,
        step: plain,
        with_relays: false,
    },
    Case {
        name: "present runs",
        event: Event::Outage,
        step: plain,
        with_relays: false,
    },
    Case {
        name: "a present gang",
        event: Event::Outage,
        step: gang,
        with_relays: false,
    },
    Case {
        name: "runs whose orders had no answer",
        event: Event::UnansweredStarts,
        step: plain,
        with_relays: false,
    },
];

impl Case {
    /// Returns a fleet with one worker, on which the earlier job runs.
    fn fleet(&self) -> Fleet {
        let mut fleet = match self.with_relays {
            true => Fleet::with_relays(3, 1),
            false => Fleet::new(3, 1),
        };
        set_page(&mut fleet);
        let host = owner(&fleet);
        fleet.submit(
            host,
            EARLIER_JOB,
            &job(vec![small(step(EARLIER_TASKS, EARLIER_MS, &[]))]),
        );
        fleet
    }

    /// Brings the event about while the runs of both jobs are at the worker.
    fn play(&self, fleet: &mut Fleet) {
        let host = owner(fleet);
        fleet.submit(host, JOB, &job(vec![(self.step)()]));
        if self.event == Event::UnansweredStarts {
            fleet.mute_workers.push(ADDRESS.into());
        }
        let mut waited_ms = 0;
        while fleet.promises.starts.len() < (EARLIER_TASKS + TASKS) as usize && waited_ms < 1_000 {
            fleet.run(5);
            waited_ms += 5;
        }
        match self.event {
            Event::OwnerDies => {
                fleet.kill(host);
                fleet.run(TAKEOVER_MS);
            }
            Event::OwnerDiesBeforeOutage => {
                fleet.kill(host);
                while fleet.owner().is_none() {
                    fleet.run(5);
                }
                fleet.store.mode = Mode::Silent;
                fleet.run(3_000);
                fleet.store.mode = Mode::Up;
                fleet.run(TAKEOVER_MS);
            }
            Event::Outage | Event::UnansweredStarts => {
                fleet.run(20);
                fleet.store.mode = Mode::Silent;
                fleet.run(250);
                fleet.mute_workers.clear();
                fleet.run(3_000);
                fleet.store.mode = Mode::Up;
                fleet.run(TAKEOVER_MS);
            }
        }
    }
}

fn set_page(fleet: &mut Fleet) {
    let worker = fleet.workers.get_mut(ADDRESS).expect("there is a worker");
    worker.exits_per_report = EXITS_PER_REPORT;
}

/// Completed tasks ran again: a worker lists a limited number of exits at a time, and runs whose
/// exits were not on the first page counted as lost.
#[gtest]
fn runs_whose_exits_are_not_listed_yet_do_not_start_again() {
    for case in CASES {
        let mut fleet = case.fleet();
        case.play(&mut fleet);
        let name = case.name;
        let starts = fleet.promises.starts.len();
        expect_that!(starts, eq((EARLIER_TASKS + TASKS) as usize), "{name}");
        for id in [EARLIER_JOB, JOB] {
            let host = fleet.owner().expect("there is an owner");
            let state = fleet.state(host, id);
            expect_that!(state, some(eq(JobState::Completed)), "{name}");
        }
        expect_that!(fleet.promises.broken, is_empty(), "{name}");
    }
}

/// A task of which no run exists waited for longer than it takes to read all pages.
#[gtest]
fn a_run_that_never_started_starts_again_once_all_pages_are_read() {
    let mut fleet = CASES[0].fleet();
    fleet.run(100);
    let host = owner(&fleet);
    // The order is recorded, and does not reach the worker.
    fleet.cut_from_workers(host, true);
    fleet.submit(host, JOB, &job(vec![small(step(1, LATER_MS, &[]))]));
    fleet.run(60);
    fleet.kill(host);
    let task = TaskId {
        job: JobId(JOB),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    while fleet.owner().is_none() {
        fleet.run(5);
    }
    let begun_ms = fleet.now_ms;
    while fleet.running(task) == 0 && fleet.now_ms < begun_ms + 10_000 {
        fleet.run(5);
    }
    expect_that!(fleet.now_ms - begun_ms, le(RESTART_MS));
    fleet.run(2_000);
    let starts = fleet.promises.starts.len();
    expect_that!(starts, eq(EARLIER_TASKS as usize + 1));
    expect_that!(fleet.promises.broken, is_empty());
}

/// Completed tasks ran again: they had run on a worker that had restarted under its id, by orders of
/// a previous owner that were meant for the incarnation before, and their exits were not on the
/// first page that the next owner read.
#[gtest]
fn runs_at_a_restarted_worker_whose_exits_are_not_listed_yet_do_not_start_again() {
    let mut fleet = Fleet::new(3, 1);
    set_page(&mut fleet);
    fleet.keep_ids(true);
    fleet.set_restart_delay_ms(5);
    fleet.late_orders_outlive_restarts = true;
    let host = owner(&fleet);
    fleet.order_delay_ms = Some(60);
    fleet.submit(
        host,
        JOB,
        &job(vec![small(step(EARLIER_TASKS, EARLIER_MS, &[]))]),
    );
    fleet.run(50);
    fleet.crash(ADDRESS);
    fleet.run(30);
    fleet.kill(host);
    fleet.order_delay_ms = None;
    fleet.run(TAKEOVER_MS + 2_000);
    let log = fleet.log_lines.join("\n");
    expect_that!(fleet.promises.broken, is_empty(), "{log}");
    let host = fleet.owner().expect("there is an owner");
    expect_that!(fleet.state(host, JOB), some(eq(JobState::Completed)));
    expect_that!(
        fleet.promises.starts.len(),
        eq(EARLIER_TASKS as usize),
        "{log}"
    );
}
