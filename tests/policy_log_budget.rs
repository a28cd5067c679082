//! Tests which log lines are written when there are more than a process may write.

use goldcrestway_core::Code;
use goldcrestway_core::Note;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::policy::log_budget::LineKind;
use goldcrestway_dispatch::policy::log_budget::LogBudget;
use googletest::prelude::*;
use std::collections::BTreeMap;

/// A load of jobs over some seconds.
struct Load {
    name: &'static str,
    jobs_per_s: u64,
    /// Lines of each job, of which the last is the account of its time.
    lines: u64,
    /// Time from the first line of a job to the last.
    duration_ms: u64,
    /// Every how many-th job misses its objective.
    missed_every: u64,
    /// Lines on silent workers, all at once after half of the time.
    beliefs: u64,
    /// Bounds of the number of jobs of which all lines are written.
    kept: (u64, u64),
}

const SPAN_MS: u64 = 60_000;

const LOADS: &[Load] = &[
    Load {
        name: "a quiet hour: all lines are written",
        jobs_per_s: 5,
        lines: 20,
        duration_ms: 5_000,
        missed_every: 10,
        beliefs: 2,
        kept: (300, 300),
    },
    Load {
        name: "four times as many lines as may be written",
        jobs_per_s: 20,
        lines: 50,
        duration_ms: 20_000,
        missed_every: 2,
        beliefs: 300,
        kept: (200, 400),
    },
    Load {
        name: "a thousand short jobs in a second",
        jobs_per_s: 1_000,
        lines: 4,
        duration_ms: 500,
        missed_every: 20,
        beliefs: 1_000,
        kept: (2_000, 5_000),
    },
    Load {
        name: "jobs of hundreds of tasks that start at once",
        jobs_per_s: 4,
        lines: 300,
        duration_ms: 400,
        missed_every: 2,
        beliefs: 100,
        kept: (30, 65),
    },
];

/// Returns the lines of a load in the order of their times.
fn lines_of(load: &Load) -> BTreeMap<(u64, u64, u64), LineKind> {
    let mut lines = BTreeMap::new();
    for number in 0..load.jobs_per_s * SPAN_MS / 1_000 {
        let first_ms = 1_000 + number * 1_000 / load.jobs_per_s;
        for line in 0..load.lines {
            let at_ms = first_ms + load.duration_ms * line / load.lines;
            let is_account = line + 1 == load.lines;
            let kind = match is_account && number % load.missed_every == 0 {
                true => LineKind::Missed,
                false => LineKind::Job(JobId(number)),
            };
            lines.insert((at_ms, number, line), kind);
        }
    }
    for number in 0..load.beliefs {
        lines.insert((SPAN_MS / 2, u64::MAX, number), LineKind::Belief);
    }
    lines
}

/// Guards against jobs with only some of their lines, and against lines on lost workers that are
/// displaced by starts.
#[gtest]
fn a_job_keeps_all_of_its_lines_or_none_but_its_account() {
    for load in LOADS {
        let mut budget = LogBudget::default();
        let mut written: BTreeMap<u64, u64> = BTreeMap::new();
        let mut per_second: BTreeMap<u64, u64> = BTreeMap::new();
        for ((at_ms, number, line), kind) in lines_of(load) {
            let is_written = budget.admits(kind, at_ms);
            if line + 1 == load.lines {
                budget.end_job(JobId(number));
            }
            *per_second.entry(at_ms / 1_000).or_default() += u64::from(is_written);
            match kind {
                LineKind::Job(_) => *written.entry(number).or_default() += u64::from(is_written),
                _ => expect_that!(is_written, eq(true), "{}: {kind:?} {number}", load.name),
            }
        }
        let mut kept = 0;
        for (number, count) in &written {
            let of_account = u64::from(number % load.missed_every == 0);
            let all = load.lines - of_account;
            expect_that!(*count, any!(eq(0), eq(all)), "{}: job {number}", load.name);
            kept += u64::from(*count == all);
        }
        let (min_kept, max_kept) = load.kept;
        expect_that!(kept, all!(ge(min_kept), le(max_kept)), "{}", load.name);
        // 400 lines a second over the time, and the bursts.
        let total: u64 = per_second.values().sum();
        let max_total = 400 * (SPAN_MS + load.duration_ms) / 1_000 + 4_500;
        expect_that!(total, le(max_total), "{}", load.name);
    }
}

/// Guards against one job of thousands of tasks that uses up the budget for seconds.
#[gtest]
fn one_large_job_does_not_displace_other_kinds() {
    let mut budget = LogBudget::default();
    let mut written = 0;
    for _ in 0..5_000 {
        written += u64::from(budget.admits(LineKind::Job(JobId(1)), 1_000));
    }
    expect_that!(written, le(1_100));
    expect_that!(budget.admits(LineKind::Job(JobId(2)), 1_000), eq(false));
    expect_that!(budget.admits(LineKind::Other, 1_000), eq(true));
    expect_that!(budget.admits(LineKind::Belief, 1_000), eq(true));
    expect_that!(budget.admits(LineKind::Missed, 1_000), eq(true));
    // What was written beyond the budget is made up for within seconds.
    expect_that!(budget.admits(LineKind::Job(JobId(3)), 6_000), eq(true));
}

/// Guards against answers to callers that are lost because lines of jobs are reserved on hosts that
/// only accept jobs.
#[gtest]
fn a_host_that_only_takes_jobs_logs_each_of_them() {
    let mut budget = LogBudget::default();
    let mut written = 0;
    for number in 0..1_200 {
        let note = Note::new(Code::JobStored, JobId(number).to_string(), "");
        written += u64::from(budget.admits(LineKind::of(&note), number * 50));
    }
    expect_that!(written, eq(1_200));
}

/// Guards against a job that repeats for hours and raises the reserved number of lines until no job
/// is logged.
#[gtest]
fn a_job_that_never_ends_does_not_stop_the_lines_of_others() {
    let mut budget = LogBudget::default();
    let mut now_ms = 0;
    for _ in 0..36_000 {
        now_ms += 100;
        expect_that!(budget.admits(LineKind::Job(JobId(1)), now_ms), eq(true));
    }
    expect_that!(budget.admits(LineKind::Job(JobId(2)), now_ms), eq(true));
    // A job that is under way keeps its lines, and the next one gets some.
    expect_that!(budget.admits(LineKind::Job(JobId(1)), now_ms), eq(true));
    expect_that!(
        budget.admits(LineKind::Job(JobId(3)), now_ms + 3_000),
        eq(true)
    );
}

/// Guards against a log that stops until a clock that was set back has caught up.
#[gtest]
fn a_clock_that_jumps_back_does_not_stop_the_log() {
    let mut budget = LogBudget::default();
    let burst = (0..5_000).filter(|_| budget.admits(LineKind::Belief, 90_000));
    expect_that!(burst.count(), ge(100));
    expect_that!(budget.admits(LineKind::Belief, 10_000), eq(false));
    expect_that!(budget.admits(LineKind::Belief, 12_000), eq(true));
}

#[gtest]
fn lines_are_of_the_kind_that_their_event_is_about() {
    let job = JobId(0x5c0e_7a21_d94b_36f8);
    let cases = [
        (
            Code::RunOrdered,
            "5c0e7a21d94b36f8.0.1.17",
            LineKind::Job(job),
        ),
        (Code::JobFinished, "5c0e7a21d94b36f8", LineKind::Job(job)),
        (Code::WorkerSilent, "5c0e7a21d94b36f8", LineKind::Belief),
        (Code::OwnerBegun, "entry-1", LineKind::Belief),
        (Code::RulesBehind, "entry-1", LineKind::Belief),
        (Code::StoreAway, "entry-1", LineKind::Belief),
        (Code::JobStored, "5c0e7a21d94b36f8", LineKind::Other),
        (Code::JobRefused, "5c0e7a21d94b36f8", LineKind::Other),
        (Code::JobUnknown, "5c0e7a21d94b36f8", LineKind::Other),
        (Code::QueueCounted, "batch", LineKind::Other),
        (Code::FillersPaced, "w1", LineKind::Other),
    ];
    for (code, subject, kind) in cases {
        let note = Note::new(code, subject, "");
        expect_that!(LineKind::of(&note), eq(kind), "{code:?}");
    }
}
