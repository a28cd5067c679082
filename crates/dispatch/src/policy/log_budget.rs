//! Which log lines are written when there are more than the process may write.
//!
//! **Load pattern:** hundreds of tasks start in a second, and each start is a line. An owner with a
//! small part of a core spends more time on logging than on deciding if it writes them all.
//!
//! **Without it** lines are dropped in the order in which they come. Most jobs then have some of
//! their lines, and nobody can tell which are missing; the loss of a worker or of the store is
//! dropped behind a thousand starts. It shows as jobs without a line on their start. Therefore a
//! job keeps all of its owner's lines or none, and a job that missed its objective always keeps the
//! line that accounts for its time. Lines on what a host believes of others, and answers to callers,
//! have budgets of their own.
//!
//! **Limits:** the rates of all kinds together are what a twentieth of a core writes. The bursts
//! cover a failure domain that falls silent, and the backlog of jobs that ends with an outage.

use crate::ids::JobId;
use crate::job_times::JobTimes;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::collections::HashMap;
use std::collections::VecDeque;

/// Lines of jobs that may be written in a second on average, and at once.
const JOB_LINES_PER_S: u64 = 200;
const JOB_LINES_BURST: u64 = 500;
/// Answers to callers and changes of CPU shares, likewise.
const OTHERS_PER_S: u64 = 50;
const OTHERS_BURST: u64 = 200;
/// Accounts of jobs that missed their objectives, likewise.
const SUMMARIES_PER_S: u64 = 75;
const SUMMARIES_BURST: u64 = 2_000;
/// Lines on other hosts, workers, the store and the rules, likewise.
const BELIEFS_PER_S: u64 = 75;
const BELIEFS_BURST: u64 = 2_000;
/// Number of jobs for which it is remembered whether their lines are written. The memory of it
/// takes about 40 bytes each.
const MAX_JOBS: usize = 8_192;
/// Number of lines that a job is assumed to have before any has ended, in thousandths.
const FIRST_ESTIMATE_MILLI: u64 = 50_000;
/// Each job that ends changes the average number of lines by a sixteenth of its difference from it.
const ESTIMATE_JOBS: u64 = 16;
/// Increase of that average, in thousandths, with each line that a job has beyond it. The jobs that
/// are under way may all be larger than those before, and the budget must not be promised twice.
const ESTIMATE_STEP_MILLI: u64 = 250;
/// Maximum of that average, in thousandths. Jobs that repeat or never end raise it with each line,
/// and a job that reserved more than the burst would keep all others from being logged for long.
const MAX_ESTIMATE_MILLI: u64 = JOB_LINES_BURST * 1_000;

/// What a line is about, as far as the budget depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// What a host believes of other hosts, workers, the store or the rules, and its own life.
    Belief,
    /// The account of a job that missed its objective.
    Missed,
    /// Anything else that the owner does with a job.
    Job(JobId),
    /// Answers to callers, also about jobs, changes of CPU shares, and queues that are held back.
    Other,
}

impl LineKind {
    /// Returns the kind of a line.
    pub fn of(note: &Note) -> Self {
        let is_about_job = matches!(
            note.code,
            Code::JobBegun
                | Code::JobFailed
                | Code::JobFinished
                | Code::JobTimes
                | Code::RunOrdered
                | Code::RunBroken
                | Code::StartRefused
                | Code::StartWithheld
                | Code::StopOrdered
                | Code::StartRelayed
                | Code::StartExpired
                | Code::RunLagging
                | Code::RunLost
                | Code::TaskSuspected
                | Code::RunVanished
                | Code::TaskWaits
                | Code::RoomKept
                | Code::IsolationAwaited
        );
        let is_other = matches!(
            note.code,
            Code::JobStored
                | Code::JobRefused
                | Code::JobUnknown
                | Code::QueueUnknown
                | Code::QueueCounted
                | Code::QuestionPutOff
                | Code::FillersPaced
                | Code::ProcessorsShort
                | Code::QueueHeldBack
        );
        let job = note.subject.get(..16).and_then(JobId::parse);
        match job.filter(|_| is_about_job) {
            Some(job) => LineKind::Job(job),
            None if is_about_job || is_other => LineKind::Other,
            None => LineKind::Belief,
        }
    }

    /// Returns the kind of the line that accounts for the time of a job.
    pub fn of_times(times: &JobTimes) -> Self {
        match times.is_missed() {
            true => LineKind::Missed,
            false => LineKind::Job(times.job),
        }
    }

    /// Returns the name that metrics show.
    pub fn name(self) -> &'static str {
        match self {
            LineKind::Belief => "belief",
            LineKind::Missed => "missed",
            LineKind::Job(_) => "job",
            LineKind::Other => "other",
        }
    }
}

/// Budget for lines of one kind.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    per_s: u64,
    burst: u64,
    /// Thousandths of a line that may be written; negative if lines that were promised to jobs were
    /// written beyond it.
    available_milli: i64,
    refilled_ms: Option<u64>,
}

impl Bucket {
    fn new(per_s: u64, burst: u64) -> Self {
        Self {
            per_s,
            burst,
            available_milli: burst as i64 * 1_000,
            refilled_ms: None,
        }
    }

    fn refill(&mut self, now_ms: u64) {
        // A clock that was set back adds nothing.
        let passed_ms = now_ms.saturating_sub(self.refilled_ms.unwrap_or(now_ms));
        self.refilled_ms = Some(now_ms);
        let max_milli = self.burst as i64 * 1_000;
        let added_milli = i64::try_from(passed_ms * self.per_s).unwrap_or(max_milli);
        self.available_milli = self
            .available_milli
            .saturating_add(added_milli)
            .min(max_milli);
    }

    fn take(&mut self, lines: u64) {
        self.available_milli -= lines as i64 * 1_000;
    }

    fn take_one(&mut self) -> bool {
        let has_line = self.available_milli >= 1_000;
        if has_line {
            self.take(1);
        }
        has_line
    }
}

/// What was decided on a job.
#[derive(Debug, Clone, Copy)]
struct JobLines {
    is_kept: bool,
    has_ended: bool,
    /// Lines written so far, and lines that were taken from the budget in advance.
    written: u32,
    reserved: u32,
}

/// Decides which lines are written.
#[derive(Debug)]
pub struct LogBudget {
    job_lines: Bucket,
    others: Bucket,
    summaries: Bucket,
    beliefs: Bucket,
    jobs: HashMap<JobId, JobLines>,
    /// The jobs in the order of their first lines.
    order: VecDeque<JobId>,
    /// Average number of lines of a job, in thousandths.
    estimate_milli: u64,
}

impl Default for LogBudget {
    fn default() -> Self {
        Self {
            job_lines: Bucket::new(JOB_LINES_PER_S, JOB_LINES_BURST),
            others: Bucket::new(OTHERS_PER_S, OTHERS_BURST),
            summaries: Bucket::new(SUMMARIES_PER_S, SUMMARIES_BURST),
            beliefs: Bucket::new(BELIEFS_PER_S, BELIEFS_BURST),
            jobs: HashMap::new(),
            order: VecDeque::new(),
            estimate_milli: FIRST_ESTIMATE_MILLI,
        }
    }
}

impl LogBudget {
    /// Returns whether a line is written now, and charges it if so.
    pub fn admits(&mut self, kind: LineKind, now_ms: u64) -> bool {
        match kind {
            LineKind::Belief => {
                self.beliefs.refill(now_ms);
                self.beliefs.take_one()
            }
            LineKind::Missed => {
                self.summaries.refill(now_ms);
                self.summaries.take_one()
            }
            LineKind::Other => {
                self.others.refill(now_ms);
                self.others.take_one()
            }
            LineKind::Job(job) => {
                self.job_lines.refill(now_ms);
                self.admits_job_line(job)
            }
        }
    }

    /// Returns to the budget what was reserved for a job that has ended. Has no effect the second
    /// time.
    pub fn end_job(&mut self, job: JobId) {
        let Some(lines) = self.jobs.get_mut(&job) else {
            return;
        };
        if !lines.is_kept || lines.has_ended {
            return;
        }
        lines.has_ended = true;
        let unused = lines.reserved.saturating_sub(lines.written);
        self.job_lines.available_milli += i64::from(unused) * 1_000;
        lines.reserved = lines.written;
        let total_milli =
            self.estimate_milli * (ESTIMATE_JOBS - 1) + u64::from(lines.written) * 1_000;
        self.estimate_milli = (total_milli / ESTIMATE_JOBS).min(MAX_ESTIMATE_MILLI);
    }

    fn admits_job_line(&mut self, job: JobId) -> bool {
        if !self.jobs.contains_key(&job) {
            self.decide(job);
        }
        // A job keeps its lines while those that are written beyond the budget are less than one
        // burst. It may lose the rest if thousands of its tasks start at once.
        let has_room = self.job_lines.available_milli > -(JOB_LINES_BURST as i64) * 1_000;
        let Some(lines) = self.jobs.get_mut(&job) else {
            return false;
        };
        lines.is_kept &= has_room || lines.written < lines.reserved;
        if !lines.is_kept {
            return false;
        }
        lines.written += 1;
        if lines.written > lines.reserved {
            self.job_lines.take(1);
            if !lines.has_ended {
                let raised_milli = self.estimate_milli + ESTIMATE_STEP_MILLI;
                self.estimate_milli = raised_milli.min(MAX_ESTIMATE_MILLI);
            }
        }
        true
    }

    /// Decides with the first line of a job whether its lines are written, and takes those that it
    /// will probably have from the budget.
    fn decide(&mut self, job: JobId) {
        while self.jobs.len() >= MAX_JOBS {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.jobs.remove(&oldest);
        }
        let is_kept = self.job_lines.available_milli >= 1_000;
        let estimate_lines = self.estimate_milli.div_ceil(1_000) as u32;
        let reserved = if is_kept { estimate_lines } else { 0 };
        self.job_lines.take(u64::from(reserved));
        self.order.push_back(job);
        self.jobs.insert(
            job,
            JobLines {
                is_kept,
                has_ended: false,
                written: 0,
                reserved,
            },
        );
    }
}
