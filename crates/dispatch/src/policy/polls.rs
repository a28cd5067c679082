//! How often the owner polls each worker.
//!
//! **Load pattern:** of thousands of workers some run tasks that end every second, and the next
//! step of a job waits for each of these exits. The others run nothing, or tasks that run until
//! they are stopped.
//!
//! **Without it** all workers are polled in turn with one interval, which has to grow with their
//! number to leave the owner time for its other work. The more workers there are, the later exits
//! are known: at 6,000 workers after a second and a half, twice as long as a task takes. It shows
//! as short jobs that take a multiple of their work although starts are fast. Therefore workers on
//! which a task is about to end are polled at a short fixed interval, and the others as often as
//! the owner's processor allows.
//!
//! **Limits:** the death of an idle worker is detected by the next poll, or by a task that is
//! started there and then takes one lease to be given up. Therefore the interval is bounded.

/// Interval between polls of a worker on which a task is about to end. Exits within it are reported
/// together.
const BUSY_GAP_MS: u64 = 60;
/// Smallest and largest interval for any other worker. The smallest applies if the owner's
/// processor allows it.
const MIN_IDLE_GAP_MS: u64 = 60;
const MAX_IDLE_GAP_MS: u64 = 10_000;
/// Largest interval for a worker with long-running tasks, whose leases are renewed by polls. With
/// the wait time of the poll itself it is less than half of a lease.
const MAX_LONG_RUNNING_GAP_MS: u64 = 1_500;
/// Processor time of the owner for one poll.
const POLL_US: u64 = 40;
/// Percentage of the owner's processor time that polls of idle workers may take.
const IDLE_CPU_PERCENT: u64 = 10;
/// The same while a new owner polls them for the first time. No task is started on workers that it
/// has not polled.
const FIRST_CPU_PERCENT: u64 = 30;
/// Largest interval while the owner is confirmed by workers instead of the store: most of them must
/// have answered within two seconds.
const MAX_CONFIRMING_GAP_MS: u64 = 1_000;

/// Returns the time in microseconds between the first polls of a new owner of idle workers.
pub fn first_gap_us(cpu_permille: u64) -> u64 {
    POLL_US * 1_000 * 100 / (cpu_permille * FIRST_CPU_PERCENT).max(1)
}

/// What runs at a worker, as far as the poll interval depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// A task there is about to end, or may have to be suspended or stopped.
    Ending,
    /// All tasks there run until they are stopped.
    LongRunning,
    /// No task runs there.
    None,
}

/// Inputs of the poll intervals of all workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollIntervals {
    /// Number of workers on which no task is about to end.
    pub idle_workers: u64,
    /// Processor share of the owner, in thousandths of a core.
    pub cpu_permille: u64,
    /// Whether the store does not confirm the owner, so that workers have to.
    pub are_confirming: bool,
}

impl PollIntervals {
    /// Returns the interval in milliseconds before the next poll of a worker that has answered.
    pub fn gap_ms(&self, activity: Activity) -> u64 {
        match activity {
            Activity::Ending => BUSY_GAP_MS,
            Activity::LongRunning => self.idle_gap_ms().min(MAX_LONG_RUNNING_GAP_MS),
            Activity::None => self.idle_gap_ms(),
        }
    }

    fn idle_gap_ms(&self) -> u64 {
        // A thousandth of a core equals one microsecond of processor time per millisecond.
        let us_per_s = (self.cpu_permille * 1_000 * IDLE_CPU_PERCENT / 100).max(1);
        let gap_ms = self.idle_workers * POLL_US * 1_000 / us_per_s;
        let max_ms = match self.are_confirming {
            true => MAX_CONFIRMING_GAP_MS,
            false => MAX_IDLE_GAP_MS,
        };
        gap_ms.clamp(MIN_IDLE_GAP_MS, max_ms)
    }
}
