//! In which order jobs get what is free.
//!
//! **Load pattern:** for seconds or for the whole day more work comes than fits, in all or of
//! one kind that few workers can take.
//!
//! **Without it** jobs went by the time at which they were due. Under overload every job then
//! starts when it can only just end in time, and ends late: all are served, and hardly any
//! in time. It shows as a queue whose oldest job is past its objective and whose jobs all
//! end a little late.
//!
//! **Limits:** a job counts as late when its longest chain of steps, as its caller has
//! estimated it, no longer fits before its objective; it then waits for those that can still
//! make it. Among these, one that has begun goes first: what it has done is worth something
//! only with the rest.

use crate::policy::Policy;

/// What is known of a job that waits.
#[derive(Debug, Clone, Copy)]
pub struct WaitingJob {
    /// Priority of its queue; 0 comes first.
    pub priority: u32,
    /// It has tasks that last until it is cancelled.
    pub is_long_running: bool,
    /// Some task of it has started.
    pub has_started: bool,
    /// Time by which its caller would like it done.
    pub due_ms: u64,
    /// Time after which its end is worth nothing to its caller.
    pub no_value_after_ms: u64,
    /// Time that the longest chain of its steps still takes, undisturbed.
    pub remaining_ms: u64,
}

/// A job's place in the order; the least comes first.
///
/// What is worth nothing any more comes last. Tasks that last come first among their equals:
/// a quick task takes room for a second, and an endless row of them would keep a lasting one
/// from ever running again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    has_no_value: bool,
    priority: u32,
    is_finite: bool,
    is_late: bool,
    has_not_started: bool,
    due_ms: u64,
}

impl Urgency {
    /// Gives the place of a job that waits at `now_ms`.
    pub fn new(job: &WaitingJob, policy: &Policy, now_ms: u64) -> Self {
        let fits = now_ms + job.remaining_ms <= job.due_ms;
        Self {
            has_no_value: now_ms > job.no_value_after_ms && !job.is_long_running,
            priority: job.priority,
            is_finite: !job.is_long_running,
            is_late: !fits && !job.is_long_running && policy.feasible_first,
            has_not_started: !job.has_started && policy.begun_first,
            due_ms: job.due_ms,
        }
    }
}
