//! Which workers slow down the tasks that run there.
//!
//! **Load pattern:** a worker answers every poll in time while its tasks take several times as long
//! as their siblings on other workers. At other times the siblings merely differ in length.
//!
//! **Without it** the last tasks of a step delay the steps after it, and so does each new task that
//! such a worker gets. It shows as jobs that end late and have one worker in common in their logs.
//! If tasks were judged one by one, tasks that are merely longer than their siblings would be as
//! likely stopped and restarted on other workers. It shows as runs that are stopped although
//! nothing fails, and as work that is done twice.
//!
//! **Limits:** whatever slows down a worker slows down all of its runs, so a worker is judged by
//! the median of its runs. A single run is weak evidence: siblings differ by a factor of two and
//! more.

/// Duration of the runs of a slow worker in percent of that of their siblings.
const SLOW_PERCENT: u64 = 180;
/// The same where only one run at the worker can be compared.
const SLOW_SINGLE_PERCENT: u64 = 400;

/// Projected duration of a run at its present speed, and the duration of its siblings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Speed {
    /// Duration of the whole run at its present speed, in milliseconds.
    pub projected_ms: u64,
    /// Typical duration of its siblings, in milliseconds.
    pub sibling_ms: u64,
}

impl Speed {
    /// Returns the projected duration in percent of that of the siblings.
    fn percent(self) -> u64 {
        self.projected_ms * 100 / self.sibling_ms.max(1)
    }
}

/// Returns whether a worker slows down its runs, by the speeds of these runs.
pub fn is_slow(speeds: &[Speed]) -> bool {
    let mut percents: Vec<u64> = speeds.iter().map(|speed| speed.percent()).collect();
    percents.sort_unstable();
    match *percents {
        [] => false,
        [single] => single >= SLOW_SINGLE_PERCENT,
        _ => percents[(percents.len() - 1) / 2] >= SLOW_PERCENT,
    }
}
