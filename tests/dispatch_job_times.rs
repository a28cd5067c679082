//! Accounts of where the time of a job went: each adds up to the time from the acceptance of the
//! job to its published end, and shows a failure in the phase that it prolongs.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Behaviour;
use crate::fleet::Fleet;
use crate::fleet::Mode;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobEnd;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::Phase;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Stream;
use goldcrestway_dispatch::policy::log_budget::LineKind;
use goldcrestway_dispatch::policy::log_budget::LogBudget;
use googletest::prelude::*;
use std::collections::BTreeMap;

/// A disturbance of a job, and the phase that it prolongs.
struct Case {
    name: &'static str,
    steps: Vec<Step>,
    /// Happens before the job is submitted.
    before: fn(&mut Fleet),
    /// Happens 300 ms after the job was submitted.
    fault: fn(&mut Fleet),
    prolonged: Phase,
    /// Shortest and longest time of that phase in milliseconds.
    range_ms: (u64, u64),
    end: JobEnd,
    is_missed: bool,
}

/// Returns two steps of tasks that each need most of a worker.
fn wide_steps() -> Vec<Step> {
    let wide = |after: &[u32]| Step {
        cpu_milli: 7_000,
        ..step(2, 700, after)
    };
    vec![wide(&[]), wide(&[0])]
}

fn crash_busy_worker(fleet: &mut Fleet) {
    let mut workers = fleet.workers.iter();
    let busy = workers.find(|(_, worker)| worker.tasks().count() > 0);
    let address = busy.map_or("".into(), |(address, _)| address.clone());
    fleet.cut_workers = vec![address];
}

fn cases() -> Vec<Case> {
    vec![
        Case {
            name: "no disturbance",
            steps: wide_steps(),
            before: |_| {},
            fault: |_| {},
            prolonged: Phase::Run,
            range_ms: (1_390, 1_500),
            end: JobEnd::Completed,
            is_missed: false,
        },
        // A worker that is cut off keeps its run until all leases have expired there.
        Case {
            name: "a worker is lost",
            steps: wide_steps(),
            before: |_| {},
            fault: crash_busy_worker,
            prolonged: Phase::LostRun,
            range_ms: (4_000, 9_000),
            end: JobEnd::Completed,
            is_missed: true,
        },
        // Nothing starts before its record is stored.
        Case {
            name: "the store is away",
            steps: wide_steps(),
            before: |_| {},
            fault: |fleet| {
                fleet.store.mode = Mode::Refuses;
                fleet.run(4_000);
                fleet.store.mode = Mode::Up;
            },
            prolonged: Phase::WaitStore,
            range_ms: (2_000, 4_500),
            end: JobEnd::Completed,
            is_missed: true,
        },
        Case {
            name: "the owner is replaced",
            steps: wide_steps(),
            before: |_| {},
            fault: |fleet| {
                let owner = owner(fleet);
                fleet.kill(owner);
            },
            prolonged: Phase::Inherited,
            range_ms: (900, 4_500),
            end: JobEnd::Completed,
            is_missed: false,
        },
        Case {
            name: "all resources are in use",
            steps: wide_steps(),
            before: |fleet| {
                fleet.submit(0, JOB + 1, &job(vec![step(24, 4_000, &[])]));
                fleet.run(300);
            },
            fault: |_| {},
            prolonged: Phase::WaitRoom,
            range_ms: (3_000, 4_500),
            end: JobEnd::Completed,
            is_missed: true,
        },
        Case {
            name: "all runs fail",
            steps: wide_steps(),
            before: |fleet| {
                for worker in fleet.workers.values_mut() {
                    worker.behaviour = Behaviour::Fails;
                }
            },
            fault: |_| {},
            prolonged: Phase::LostRun,
            range_ms: (10, 3_000),
            end: JobEnd::Failed,
            is_missed: true,
        },
    ]
}

/// Guards against accounts whose phases do not add up to the time of the job.
#[gtest]
fn phases_of_a_job_add_up_to_its_time_under_failures() {
    for case in cases() {
        let mut fleet = Fleet::new(3, 3);
        (case.before)(&mut fleet);
        let submitted_ms = fleet.now_ms;
        fleet.submit(0, JOB, &job(case.steps));
        fleet.run(300);
        (case.fault)(&mut fleet);
        fleet.run(20_000);
        let found = fleet
            .job_times
            .iter()
            .find(|(_, times)| times.job == JobId(JOB));
        let Some((published_ms, times)) = found else {
            add_failure!("{}: no account", case.name);
            continue;
        };
        let detail = format!("{}: {}", case.name, times.note().detail);
        expect_that!(
            times.times.total_ms(),
            eq(published_ms - submitted_ms),
            "{detail}"
        );
        expect_that!(times.times.get(Phase::Untracked), eq(0), "{detail}");
        let (min_ms, max_ms) = case.range_ms;
        let prolonged_ms = times.times.get(case.prolonged);
        expect_that!(prolonged_ms, all!(ge(min_ms), le(max_ms)), "{detail}");
        expect_that!(times.end, eq(case.end), "{detail}");
        expect_that!(times.is_missed(), eq(case.is_missed), "{detail}");
    }
}

/// Guards against an account that does not name the slowest task of a step.
#[gtest]
fn the_account_names_the_task_that_each_step_ended_with() {
    let mut fleet = Fleet::new(3, 3);
    let steps = vec![step(3, 300, &[]), step(2, 200, &[]), step(1, 400, &[0, 1])];
    fleet.submit(0, JOB, &job(steps));
    fleet.run(3_000);
    let (_, times) = &fleet.job_times[0];
    let steps: Vec<u16> = times.chain.iter().map(|task| task.step).collect();
    expect_that!(steps, eq(&vec![2, 0]));
    for task in &times.chain {
        expect_that!(*task.worker, not(eq("")));
        expect_that!(task.run, eq(1));
    }
}

/// Guards against an account of a failed job that does not show where it failed.
#[gtest]
fn the_account_of_a_failed_job_names_its_last_run() {
    let mut fleet = Fleet::new(3, 3);
    for worker in fleet.workers.values_mut() {
        worker.behaviour = Behaviour::Fails;
    }
    fleet.submit(0, JOB, &job(wide_steps()));
    fleet.run(5_000);
    let (_, times) = &fleet.job_times[0];
    expect_that!(times.end, eq(JobEnd::Failed));
    let last = &times.chain[0];
    expect_that!(last.run, eq(3), "{}", times.note().detail);
    expect_that!(*last.worker, not(eq("")));
}

/// Guards against a late job without an account, as its owner dies after it has recorded the end and
/// before it has published it.
#[gtest]
fn a_new_owner_accounts_for_jobs_whose_end_it_publishes() {
    let mut fleet = Fleet::new(3, 3);
    fleet.submit(0, JOB, &job(vec![step(2, 300, &[])]));
    fleet.run(200);
    fleet.store.unavailable = vec![Stream::States];
    fleet.run(1_500);
    expect_that!(fleet.job_times, is_empty());
    let owner = owner(&fleet);
    fleet.kill(owner);
    fleet.store.unavailable.clear();
    fleet.run(6_000);
    expect_that!(fleet.job_times.len(), eq(1));
    let (_, times) = &fleet.job_times[0];
    expect_that!(times.end, eq(JobEnd::Completed));
    expect_that!(times.is_missed(), eq(true));
    let inherited_ms = times.times.get(Phase::Inherited);
    expect_that!(inherited_ms, ge(1_500), "{}", times.note().detail);
}

/// Guards against an account that ends with the append of an earlier state of the job, not of its
/// final state.
#[gtest]
fn the_account_waits_for_the_append_with_the_final_state() {
    let mut fleet = Fleet::new(3, 3);
    // A heartbeat is in flight, so the begin of the job has to wait for its answer.
    fleet.store.unavailable = vec![Stream::States];
    fleet.run(300);
    fleet.submit(0, JOB, &job(vec![step(2, 300, &[])]));
    fleet.run(250);
    fleet.store.unavailable.push(Stream::Progress);
    fleet.run(500);
    fleet.store.unavailable = vec![Stream::Progress];
    fleet.run(500);
    expect_that!(fleet.job_times, is_empty());
    fleet.store.unavailable.clear();
    fleet.run(2_000);
    expect_that!(fleet.job_times.len(), eq(1));
    let (_, times) = &fleet.job_times[0];
    expect_that!(times.times.get(Phase::Run), ge(290));
    expect_that!(times.times.total_ms(), ge(1_250));
}

/// Guards against late jobs without an account, as lines on starts use up the log under overload.
#[gtest]
fn every_job_that_misses_its_objective_under_overload_has_its_account_in_the_log() {
    const JOBS: u64 = 150;
    let mut fleet = Fleet::new(3, 4);
    for number in 0..JOBS {
        let host = number as usize % 3;
        fleet.submit(
            host,
            JOB + number,
            &job(vec![step(6, 400, &[]), step(2, 200, &[0])]),
        );
        fleet.run(40);
    }
    fleet.run(60_000);
    expect_that!(fleet.job_times.len() as u64, eq(JOBS));
    let mut budget = LogBudget::default();
    let mut lines: BTreeMap<JobId, u32> = BTreeMap::new();
    let mut missed = 0;
    for (ms, times) in &fleet.job_times {
        // Far more starts than may be logged.
        for number in 0..1_000 {
            budget.admits(LineKind::Job(JobId(ms * 1_000 + number)), *ms);
        }
        missed += u32::from(times.is_missed());
        if times.is_missed() && budget.admits(LineKind::of_times(times), *ms) {
            *lines.entry(times.job).or_default() += 1;
        }
    }
    expect_that!(missed, ge(50));
    expect_that!(lines.len() as u32, eq(missed));
    expect_that!(lines.values().copied().max(), some(eq(1)));
}

/// Guards against an account that shows a wait for room where the job waits behind a more urgent one.
#[gtest]
fn a_step_behind_a_more_urgent_one_waits_for_its_turn() {
    let mut fleet = Fleet::new(3, 2);
    let best_effort = |count| Step {
        is_best_effort: true,
        image: "crunch".into(),
        cpu_milli: 8_000,
        ..step(count, 1_000, &[])
    };
    for number in 0..6 {
        fleet.submit(0, JOB + number, &job(vec![best_effort(2)]));
        fleet.run(50);
    }
    fleet.run(12_000);
    let mut ordered_ms = 0;
    for (_, times) in &fleet.job_times {
        ordered_ms += times.times.get(Phase::WaitOrder);
        let room_ms = times.times.get(Phase::WaitRoom);
        expect_that!(room_ms, le(2_500), "{}", times.note().detail);
    }
    expect_that!(fleet.job_times.len(), eq(6));
    expect_that!(ordered_ms, ge(6_000));
}
