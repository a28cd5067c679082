//! Order in which waiting jobs get free resources.
//!
//! **Load pattern:** for seconds or for the whole day more work arrives than fits, either in total
//! or of one kind that few workers can run.
//!
//! **Without it** jobs are ordered by their objective. Under overload every job then starts when it
//! can only just finish in time, and finishes late: all jobs are served, and hardly any in time. It
//! shows as a queue whose oldest job is past its objective and whose jobs all finish a little late.
//!
//! If a job is started as long as it just fits, it ends late all the same: it waits again before
//! each of its steps and for its last tasks. Under overload the oldest jobs that just fit then get
//! all resources, wide jobs among them most rarely in time.
//!
//! **Limits:** a job counts as late when what is left of its longest chain of steps no longer fits
//! before its objective. It then waits for jobs that can still meet theirs. Among these, a started
//! job goes first: its completed work has a value only together with the rest. A job that has not
//! started goes after these unless half of the time is left for which it could wait when it was
//! submitted, so that its own steps can wait for as long as it has itself. A job that can no longer
//! end before its result has no value goes last.
//!
//! Among queues of the same priority, the rank of the queue goes before all that. Otherwise a queue
//! with many jobs that are still in time would keep back those of a queue that has had little, and
//! these would be late for it. Started jobs in time count one rank less, so that a small difference
//! between two queues does not keep half-done jobs waiting.

use crate::policy::Policy;

/// Part of the time that a job could wait when it was submitted, in percent, that must be left when
/// it starts.
const RESERVE_PERCENT: u64 = 50;

/// Properties of a waiting job that decide its place in the order.
#[derive(Debug, Clone, Copy)]
pub struct WaitingJob {
    /// Priority of its queue; 0 goes first.
    pub priority: u32,
    /// Whether it has tasks that run until it is cancelled.
    pub is_long_running: bool,
    /// Rank of its queue among queues of the same priority; the smallest goes first.
    pub rank: u32,
    /// Whether at least one of its tasks has started.
    pub has_started: bool,
    /// Objective: time by which its caller wants it finished, in milliseconds.
    pub due_ms: u64,
    /// Time from its submission to its objective, in milliseconds.
    pub allowed_ms: u64,
    /// Time after which its result has no value to its caller.
    pub no_value_after_ms: u64,
    /// Expected time until it ends if it does not wait any more, in milliseconds.
    pub remaining_ms: u64,
}

/// Position of a job in the order; the smallest goes first.
///
/// Jobs whose result will have no value go last. Long-running tasks go first among their equals:
/// a short task occupies resources for a second, and an endless sequence of short tasks would keep
/// a long-running one from ever starting again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    has_no_value: bool,
    priority: u32,
    is_finite: bool,
    rank: u32,
    outlook: Outlook,
    has_not_started: bool,
    due_ms: u64,
}

/// Whether a job can be expected to meet its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Outlook {
    /// It can wait again before its steps and for its last tasks.
    InTime,
    /// It has not started and can hardly wait any more.
    Tight,
    Late,
}

impl WaitingJob {
    /// Returns whether it is expected to end after its objective, if it does not wait any more.
    pub fn is_late(&self, now_ms: u64) -> bool {
        !self.is_long_running && now_ms + self.remaining_ms > self.due_ms
    }

    fn outlook(&self, policy: &Policy, now_ms: u64) -> Outlook {
        if !policy.feasible_first {
            return Outlook::InTime;
        }
        if self.is_late(now_ms) {
            return Outlook::Late;
        }
        // A caller's estimate is too rough to keep a reserve by.
        if !policy.learns_run_times {
            return Outlook::InTime;
        }
        let spare_ms = self.allowed_ms.saturating_sub(self.remaining_ms);
        let reserve_ms = spare_ms * RESERVE_PERCENT / 100;
        let latest_end_ms = now_ms + self.remaining_ms + reserve_ms;
        match self.has_started || self.is_long_running || latest_end_ms <= self.due_ms {
            true => Outlook::InTime,
            false => Outlook::Tight,
        }
    }

    /// Returns whether its result will have no value. By a caller's estimate alone, only a time that
    /// has passed is certain.
    fn has_no_value(&self, policy: &Policy, now_ms: u64) -> bool {
        let end_ms = match policy.learns_run_times {
            true => now_ms + self.remaining_ms,
            false => now_ms,
        };
        !self.is_long_running && end_ms > self.no_value_after_ms
    }
}

impl Urgency {
    /// Returns the position of a job that waits at `now_ms`.
    pub fn new(job: &WaitingJob, policy: &Policy, now_ms: u64) -> Self {
        let outlook = job.outlook(policy, now_ms);
        let has_not_started = !job.has_started && policy.begun_first;
        let is_favoured = job.has_started && policy.begun_first && outlook != Outlook::Late;
        Self {
            has_no_value: job.has_no_value(policy, now_ms),
            priority: job.priority,
            is_finite: !job.is_long_running,
            rank: job.rank.saturating_sub(u32::from(is_favoured)),
            outlook,
            has_not_started,
            due_ms: job.due_ms,
        }
    }
}
