//! Which workers slow down what runs there.
//!
//! **Load pattern:** a worker answers every look in time while its tasks take several times as long
//! as their siblings elsewhere; at other times the siblings merely differ in length.
//!
//! **Without it** the last tasks of a step hold up the steps after it, and each new task that such
//! a worker gets. It shows as jobs that end late with one worker in the lines of all of them. If
//! tasks were judged one by one, those that are longer than their siblings would be stopped and
//! begun anew on workers that are well, as often as not: it shows as runs that are stopped though
//! nothing fails, and work that is done twice.
//!
//! **Limits:** whatever slows a worker slows all that runs there, so a worker is judged by the
//! median of its runs. One run single tells little: siblings differ by a factor of two and more.

/// How much slower than their siblings the runs of a slow worker are, in percent.
const SLOW_PERCENT: u64 = 180;
/// The same where only one run there can be compared.
const SLOW_SINGLE_PERCENT: u64 = 400;

/// How long a run takes at its pace so far, and how long its siblings take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Speed {
    /// Time that the whole run takes at this pace.
    pub projected_ms: u64,
    /// Time that its siblings take.
    pub sibling_ms: u64,
}

impl Speed {
    /// Gives the time that it takes in percent of that of its siblings.
    fn percent(self) -> u64 {
        self.projected_ms * 100 / self.sibling_ms.max(1)
    }
}

/// Tells whether a worker slows down what runs there, by the paces of its runs.
pub fn is_slow(speeds: &[Speed]) -> bool {
    let mut percents: Vec<u64> = speeds.iter().map(|speed| speed.percent()).collect();
    percents.sort_unstable();
    match *percents {
        [] => false,
        [single] => single >= SLOW_SINGLE_PERCENT,
        _ => percents[(percents.len() - 1) / 2] >= SLOW_PERCENT,
    }
}
