//! Which CPU share best-effort tasks get beside latency-critical tasks.
//!
//! **Load pattern:** best-effort tasks slow down the latency-critical tasks beside them by more
//! than users tolerate, by amounts that are partly learned and partly unknown, and the load of the
//! latency-critical tasks themselves varies.
//!
//! **Without it** users wait until a latency-critical task has been over its target for so long
//! that all best-effort tasks beside it are suspended. It shows as latency-critical tasks over
//! their target with best-effort tasks at full share beside them.
//!
//! **Limits:** the learned headroom loss decides whether a best-effort task is throttled, and
//! whether it may get a greater share. If a latency-critical task stays over its target
//! nevertheless, every best-effort task beside it is suspended, whatever was learned.

/// Headroom below which best-effort tasks that are a cause are throttled; at 1 the latency target
/// is missed.
const THROTTLE_HEADROOM: f64 = 1.05;
/// Headroom from which a latency-critical task that was over its target counts as recovered. Polled
/// figures vary by a tenth and more, so a single one just below the target proves nothing.
pub const HEALTHY_HEADROOM: f64 = 1.08;
/// Headroom below which throttled tasks get no greater share.
const RAISE_HEADROOM: f64 = 1.43;
/// Percentage of the time over target that counts as harm after which best-effort tasks that may be
/// a cause are suspended. Of the rest, a tail latency that is half a second old, the interval
/// between polls, an order and its effect take 1.5 s.
const SUSPECTS_SUSPEND_PERCENT: u64 = 30;
/// The same for every best-effort task. Several tasks may cause harm together although the headroom
/// loss of each is too small to be measured.
const ALL_SUSPEND_PERCENT: u64 = 45;
/// Step in percent by which the share of throttled tasks is raised after each pause.
const RAISE_STEP_PERCENT: u32 = 25;
/// Share below which a task is suspended instead, so that it causes no interference at all.
const SUSPEND_BELOW_PERCENT: u32 = 20;
/// Minimum change of a share for which an order is sent.
const MIN_CHANGE_PERCENT: u32 = 5;
/// Headroom loss by one task at its full share from which it counts as a cause, or as a suspect.
const CAUSE_HEADROOM_LOSS: f64 = 0.12;
const SUSPECT_HEADROOM_LOSS: f64 = 0.04;

/// Times over target after which best-effort tasks beside a latency-critical task are suspended, in
/// milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct SuspendDelays {
    /// For tasks that may be a cause.
    pub suspects_ms: u64,
    /// For all tasks.
    pub all_ms: u64,
}

impl SuspendDelays {
    /// Derives the delays from the time over target that counts as harm, in milliseconds.
    pub fn new(harm_ms: u64) -> Self {
        Self {
            suspects_ms: harm_ms * SUSPECTS_SUSPEND_PERCENT / 100,
            all_ms: harm_ms * ALL_SUSPEND_PERCENT / 100,
        }
    }
}

/// State of a latency-critical task, and the effect of a best-effort task on it.
#[derive(Debug, Clone, Copy)]
pub struct ColocatedTask {
    /// Its latency target divided by its tail latency.
    pub headroom: f64,
    /// Time in milliseconds for which it has been over its target; 0 if it is not.
    pub over_ms: u64,
    /// Headroom that it loses to the best-effort task at full share, as learned.
    pub headroom_loss: f64,
}

/// Change of a best-effort task's share that one latency-critical task beside it requires; the
/// strictest one applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum PreferredChange {
    Suspend,
    Throttle,
    Keep,
    Raise,
}

fn preferred_change(
    colocated_task: &ColocatedTask,
    suspend_delays: SuspendDelays,
) -> PreferredChange {
    let ColocatedTask {
        headroom,
        over_ms,
        headroom_loss,
    } = *colocated_task;
    let may_be_cause =
        over_ms >= suspend_delays.suspects_ms && headroom_loss >= SUSPECT_HEADROOM_LOSS;
    if may_be_cause || over_ms >= suspend_delays.all_ms {
        PreferredChange::Suspend
    } else if headroom < THROTTLE_HEADROOM && headroom_loss >= CAUSE_HEADROOM_LOSS {
        PreferredChange::Throttle
    } else if headroom < RAISE_HEADROOM && headroom_loss >= CAUSE_HEADROOM_LOSS {
        PreferredChange::Keep
    } else {
        PreferredChange::Raise
    }
}

/// Returns the new share in percent of a best-effort task that has `current_percent` beside these
/// latency-critical tasks. A suspension takes effect at once, since the time that counts as harm
/// continues to run; all other changes wait until `may_change`.
pub fn choose_share(
    current_percent: u32,
    colocated_tasks: &[ColocatedTask],
    suspend_delays: SuspendDelays,
    may_change: bool,
    throttles_best_effort: bool,
) -> u32 {
    let changes = colocated_tasks
        .iter()
        .map(|colocated_task| preferred_change(colocated_task, suspend_delays));
    match changes.min().unwrap_or(PreferredChange::Raise) {
        PreferredChange::Suspend => 0,
        _ if !may_change => current_percent,
        _ if !throttles_best_effort => 100,
        PreferredChange::Throttle if current_percent / 2 < SUSPEND_BELOW_PERCENT => 0,
        PreferredChange::Throttle => current_percent / 2,
        PreferredChange::Keep => current_percent,
        PreferredChange::Raise => (current_percent + RAISE_STEP_PERCENT).min(100),
    }
}

/// Returns whether an order is needed for a task to get the share `target_percent`. Its worker has
/// last accepted `applied_percent`, `None` if that is not known.
///
/// Small changes are not worth an order, but no task stays just below its full share.
pub fn needs_order(applied_percent: Option<u32>, target_percent: u32) -> bool {
    let Some(applied_percent) = applied_percent else {
        return true;
    };
    let regains_full_share = target_percent == 100 && applied_percent < 100;
    regains_full_share || applied_percent.abs_diff(target_percent) >= MIN_CHANGE_PERCENT
}
