//! Hosts on slow links: calls that a link can't carry are deferred, and no promise is broken.

use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_core::Code;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Submission;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const HOSTS: usize = 3;
/// Time for which jobs are submitted.
const BUSY_MS: u64 = 20_000;
/// Bytes of the text of each job, which workers get with each task.
const TEXT_BYTES: usize = 450;

/// A load on links of a given speed.
struct Case {
    name: &'static str,
    mbit_per_s: u64,
    workers: usize,
    /// Interval between two jobs of thirty tasks.
    interval_ms: u64,
    /// Tasks that must have completed once no more jobs are submitted.
    min_ended: usize,
}

const CASES: &[Case] = &[
    Case {
        name: "wide enough",
        mbit_per_s: 20,
        workers: 85,
        interval_ms: 150,
        min_ended: 3_800,
    },
    Case {
        name: "a link that is full at the peak",
        mbit_per_s: 4,
        workers: 85,
        interval_ms: 150,
        min_ended: 3_800,
    },
    Case {
        name: "a link that can't carry all orders to start",
        mbit_per_s: 2,
        workers: 85,
        interval_ms: 70,
        min_ended: 8_000,
    },
    Case {
        name: "a link that carries a third of them",
        mbit_per_s: 1,
        workers: 85,
        interval_ms: 70,
        min_ended: 5_000,
    },
];

fn submission() -> Submission {
    Submission {
        specification: "x".repeat(TEXT_BYTES),
        ..job(vec![step(20, 600, &[]), step(10, 400, &[0])])
    }
}

/// Orders to start saturated the owner's link. Polls queued behind them and timed out after a fixed
/// time. Two such polls made a worker silent, its lease expired, and its tasks were started again
/// elsewhere although their exits were in its list. A missing answer must count against the owner's
/// own link, not against the worker.
#[gtest]
fn no_worker_is_removed_because_the_link_of_the_owner_is_full() {
    for case in CASES {
        let mut fleet = Fleet::with_links(HOSTS, case.workers, case.mbit_per_s);
        fleet.promises.is_calm = true;
        let mut jobs = 0;
        let until_ms = fleet.now_ms + BUSY_MS;
        while fleet.now_ms < until_ms {
            jobs += 1;
            fleet.submit(jobs as usize % HOSTS, jobs, &submission());
            fleet.run(case.interval_ms);
        }
        let ended = fleet.promises.ended.len();
        let removed = fleet
            .note_counts
            .get(&Code::WorkerGone)
            .copied()
            .unwrap_or(0);
        expect_that!(fleet.promises.broken, is_empty(), "{}", case.name);
        expect_that!(removed, eq(0), "{}", case.name);
        expect_that!(fleet.claims, eq(1), "{}", case.name);
        expect_that!(ended, ge(case.min_ended), "{}", case.name);
    }
}

/// After the owner's death a dozen hosts owned in turn, each briefly, and nothing was started. A
/// successor read the progress of all jobs over a slow link for longer than the silence after which
/// the next host claims, and sent no heartbeat between its claim and the end of the read.
#[gtest]
fn a_new_owner_with_a_long_read_is_not_replaced() {
    let mut fleet = Fleet::with_links(6, 40, 2);
    let small = Step {
        cpu_milli: 20,
        memory_mb: 20,
        ..step(2, 60_000, &[])
    };
    let wide = job(vec![small]);
    for id in 1..=400 {
        fleet.submit(id as usize % 6, id, &wide);
        fleet.run(20);
    }
    fleet.run(2_000);
    let previous = fleet.owner().expect("there is an owner");
    // Each page takes a while, as on a link that is shared with other hosts' answers.
    fleet.store.answer_ms = 30;
    let before = fleet.claims;
    fleet.kill(previous);
    fleet.run(8_000);
    eprintln!(
        "{:?} claims {} before {before} now {}",
        fleet.note_counts, fleet.claims, fleet.now_ms
    );
    // Two hosts whose turns come at the same time may both claim.
    expect_that!(fleet.claims - before, le(2));
    expect_that!(fleet.owners(), eq(1));
    expect_that!(fleet.promises.broken, is_empty());
}

/// Sequences of late answers that CI runs.
const LATE_SEQUENCES: u64 = 60;
/// Steps of one sequence, and their duration.
const LATE_STEPS: u64 = 20;
const LATE_STEP_MS: u64 = 700;
/// Time in which jobs finish once answers are no longer late: leases must expire first.
const DRAIN_MS: u64 = 30_000;

/// A task ran again although it had exited, and its exit was recorded afterwards. Answers of
/// workers take 0.1 to 10 s and overtake one another; workers are removed, return, and list old
/// exits; owners change. What is known of a worker's lease must not be taken for knowledge of the
/// exits in its list.
#[gtest]
fn late_exit_reports_count_once() {
    for seed in 0..LATE_SEQUENCES {
        let mut random = Pcg64::seed_from_u64(seed);
        let mut fleet = Fleet::new(HOSTS, 6);
        let mut jobs = 0;
        for _ in 0..LATE_STEPS {
            let max_ms = [100, 400, 1_000, 3_000, 10_000][random.random_range(0..5)];
            fleet.answer_delays = Some((max_ms / 10, max_ms, random.random()));
            if random.random_range(0..6) == 0 {
                let host = random.random_range(0..HOSTS);
                fleet.kill(host);
                fleet.start(host);
            }
            jobs += 1;
            let width = random.random_range(1..12);
            let work_ms = random.random_range(100..2_500);
            let submission = job(vec![step(width, work_ms, &[]), step(2, 300, &[0])]);
            fleet.submit(random.random_range(0..HOSTS), jobs, &submission);
            fleet.run(LATE_STEP_MS);
        }
        fleet.answer_delays = None;
        fleet.run(DRAIN_MS);
        expect_that!(fleet.promises.broken, is_empty(), "seed {seed}");
        for id in fleet.promises.accepted.clone() {
            let state = fleet.state(0, id.0);
            expect_that!(state, some(eq(JobState::Completed)), "seed {seed} {id}");
        }
    }
}
