//! How often the owner looks at each worker.
//!
//! Load: of thousands of workers a part runs tasks that end every second; the next step of a job
//! waits for each of these ends. The others run nothing, or tasks that serve until they are told
//! to stop. Looked at in turn with one pause for all, which has to grow with their number to leave
//! the owner time for all else, ends are known the later the more workers there are: at 6,000 a
//! second and a half, twice as long as a task takes. One notices by short jobs that take a multiple
//! of their work while starts are quick. So workers on which something is about to end are looked
//! at without pause, and the others as often as the owner's processor bears.
//!
//! Limits: a worker at rest that dies is noticed by the next look, or by a task that is started
//! there and takes a lease to be given up; so the pause has an end.

/// Pause between looks at a worker on which something is about to end, so that ends that come
/// together are told together.
const BUSY_GAP_MS: u64 = 60;
/// The same at any other worker, if the owner's processor bears it.
const MIN_IDLE_GAP_MS: u64 = 60;
const MAX_IDLE_GAP_MS: u64 = 10_000;
/// Longest pause where tasks that serve are to be kept alive: with the look's own wait it is less
/// than half of a lease.
const MAX_LONG_RUNNING_GAP_MS: u64 = 1_500;
/// What a look takes of the owner's processor.
const POLL_US: u64 = 40;
/// Part of the owner's processor, in percent, that looks at workers at rest may take.
const IDLE_CPU_PERCENT: u64 = 10;
/// The same while a new owner looks at them for the first time. Nothing new starts on those that it
/// has not heard.
const FIRST_CPU_PERCENT: u64 = 30;
/// Longest pause while the workers are what confirms the owner: most of them must have answered
/// within two seconds.
const MAX_CONFIRMING_GAP_MS: u64 = 1_000;

/// Gives the time, in microseconds, between the first looks of a new owner at workers at rest.
pub fn first_gap_us(cpu_permille: u64) -> u64 {
    POLL_US * 1_000 * 100 / (cpu_permille * FIRST_CPU_PERCENT).max(1)
}

/// What a worker is about, as far as looks go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Activity {
    /// Something there is about to end, or to be told to.
    Ending,
    /// All that runs there serves until it is told to stop.
    LongRunning,
    /// Nothing runs there.
    None,
}

/// What looks at workers are to be paused by.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollIntervals {
    /// Workers on which nothing is about to end.
    pub idle_workers: u64,
    /// The owner's share of a core, in thousandths.
    pub cpu_permille: u64,
    /// The store does not confirm the owner, so that workers have to.
    pub are_confirming: bool,
}

impl PollIntervals {
    /// Gives the pause before the next look at a worker that has answered.
    pub fn gap_ms(&self, activity: Activity) -> u64 {
        match activity {
            Activity::Ending => BUSY_GAP_MS,
            Activity::LongRunning => self.idle_gap_ms().min(MAX_LONG_RUNNING_GAP_MS),
            Activity::None => self.idle_gap_ms(),
        }
    }

    fn idle_gap_ms(&self) -> u64 {
        // A thousandth of a core is as many microseconds a millisecond.
        let us_per_s = (self.cpu_permille * 1_000 * IDLE_CPU_PERCENT / 100).max(1);
        let gap_ms = self.idle_workers * POLL_US * 1_000 / us_per_s;
        let max_ms = match self.are_confirming {
            true => MAX_CONFIRMING_GAP_MS,
            false => MAX_IDLE_GAP_MS,
        };
        gap_ms.clamp(MIN_IDLE_GAP_MS, max_ms)
    }
}
