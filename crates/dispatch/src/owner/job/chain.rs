//! The longest chain of steps of a job, by the estimates of its caller.

use crate::owner::permits::MAX_ASKED;
use crate::record::Submission;

/// Assumed duration of a task without an estimate by its caller.
const UNKNOWN_WORK_MS: u64 = 1_000;

/// Returns the duration in milliseconds of the call for permits before each step of a job.
pub(crate) fn permit_call_ms(submission: &Submission) -> u64 {
    match submission.needs_permits() {
        true => submission.permit_call_ms(MAX_ASKED),
        false => 0,
    }
}

/// Returns the duration in milliseconds of the longest chain of steps, in which only those count
/// for which `counted` returns true.
pub(super) fn longest_chain_ms(submission: &Submission, counted: impl Fn(usize) -> bool) -> u64 {
    let call_ms = permit_call_ms(submission);
    let mut ends_ms: Vec<u64> = Vec::with_capacity(submission.steps.len());
    for (number, step) in submission.steps.iter().enumerate() {
        let mut start_ms = 0;
        for predecessor in &step.after {
            start_ms = start_ms.max(ends_ms.get(*predecessor as usize).copied().unwrap_or(0));
        }
        let work_ms = match step.estimated_ms {
            0 => UNKNOWN_WORK_MS,
            work_ms => work_ms,
        };
        let took_ms = if counted(number) {
            call_ms + work_ms
        } else {
            0
        };
        ends_ms.push(start_ms + took_ms);
    }
    ends_ms.into_iter().max().unwrap_or(0)
}
