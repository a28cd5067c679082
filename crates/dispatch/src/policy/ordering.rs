//! Order in which waiting jobs get free resources.
//!
//! **Load pattern:** for seconds or for the whole day more work arrives than fits, either in total
//! or of one kind that few workers can run.
//!
//! **Without it** jobs are ordered by their objective. Under overload every job then starts when it
//! can only just finish in time, and finishes late: all jobs are served, and hardly any in time. It
//! shows as a queue whose oldest job is past its objective and whose jobs all finish a little late.
//!
//! **Limits:** a job counts as late when its longest chain of steps, as estimated by its caller, no
//! longer fits before its objective. It then waits for jobs that can still meet theirs. Among
//! these, a started job goes first: its completed work has a value only together with the rest.
//!
//! Among queues of the same priority, the rank of the queue goes before all that. Otherwise a queue
//! with many jobs that are still in time would keep back those of a queue that has had little, and
//! these would be late for it. Started jobs in time count one rank less, so that a small difference
//! between two queues does not keep half-done jobs waiting.

use crate::policy::Policy;

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
    /// Time after which its result has no value to its caller.
    pub no_value_after_ms: u64,
    /// Estimated time that its longest chain of remaining steps takes without disturbance.
    pub remaining_ms: u64,
}

/// Position of a job in the order; the smallest goes first.
///
/// Jobs whose result no longer has a value go last. Long-running tasks go first among their equals:
/// a short task occupies resources for a second, and an endless sequence of short tasks would keep
/// a long-running one from ever starting again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    has_no_value: bool,
    priority: u32,
    is_finite: bool,
    rank: u32,
    is_late: bool,
    has_not_started: bool,
    due_ms: u64,
}

impl Urgency {
    /// Returns the position of a job that waits at `now_ms`.
    pub fn new(job: &WaitingJob, policy: &Policy, now_ms: u64) -> Self {
        let fits = now_ms + job.remaining_ms <= job.due_ms;
        let is_late = !fits && !job.is_long_running && policy.feasible_first;
        let has_not_started = !job.has_started && policy.begun_first;
        let is_favoured = job.has_started && policy.begun_first && !is_late;
        Self {
            has_no_value: now_ms > job.no_value_after_ms && !job.is_long_running,
            priority: job.priority,
            is_finite: !job.is_long_running,
            rank: job.rank.saturating_sub(u32::from(is_favoured)),
            is_late,
            has_not_started,
            due_ms: job.due_ms,
        }
    }
}
