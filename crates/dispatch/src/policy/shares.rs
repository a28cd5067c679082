//! At which share best-effort tasks work beside a service.
//!
//! **Load pattern:** best-effort tasks slow the service beside them by more than its users bear, by
//! amounts that are learned and by others that are not, and the service's own load swings.
//!
//! **Without it** users of the service wait until it has been over its target for so long that all
//! best-effort tasks beside it are suspended. It shows as colocated_tasks over their target with
//! best-effort tasks at full share beside them.
//!
//! **Limits:** what a task is known to press decides whether it is slowed, and whether the service
//! would bear it at a greater share. A task that stays over its target all the same has every
//! best-effort task beside it suspended, whatever was learned.

/// Ease below which best-effort tasks that press a service are slowed; at 1 its target is missed.
const THROTTLE_HEADROOM: f64 = 1.05;
/// Ease at which a service that was over its target is taken for well again. What looks tell is
/// rough by a tenth and more, so one figure just below the target proves nothing.
pub const HEALTHY_HEADROOM: f64 = 1.08;
/// Ease below which such tasks get nothing back.
const RAISE_HEADROOM: f64 = 1.43;
/// Part of the time after which a wait counts as harm, in percent, after which tasks that may be a
/// cause are suspended. Of the rest, a tail that is half a second old, the pause between looks, an
/// order and its effect take 1.5 s.
const SUSPECTS_SUSPEND_PERCENT: u64 = 30;
/// The same for every best-effort task: several that press by less than can be told apart may do
/// so together.
const ALL_SUSPEND_PERCENT: u64 = 45;
/// What slowed tasks get more after each pause.
const RAISE_STEP_PERCENT: u32 = 25;
/// Below this share a task is suspended, so that it does no harm at all.
const SUSPEND_BELOW_PERCENT: u32 = 20;
/// Pressure of one task at its full share that makes it a cause, or a suspect.
const CAUSE_HEADROOM_LOSS: f64 = 0.12;
const SUSPECT_HEADROOM_LOSS: f64 = 0.04;

/// Times over its target after which best-effort tasks beside a service are suspended.
#[derive(Debug, Clone, Copy)]
pub struct SuspendDelays {
    /// For those that may be a cause.
    pub suspects_ms: u64,
    /// For all of them.
    pub all_ms: u64,
}

impl SuspendDelays {
    /// Divides the time after which a wait counts as harm.
    pub fn new(harm_ms: u64) -> Self {
        Self {
            suspects_ms: harm_ms * SUSPECTS_SUSPEND_PERCENT / 100,
            all_ms: harm_ms * ALL_SUSPEND_PERCENT / 100,
        }
    }
}

/// How a service stands, and what a best-effort task does to it.
#[derive(Debug, Clone, Copy)]
pub struct ColocatedTask {
    /// The service's target over the tail of its latency.
    pub headroom: f64,
    /// Time for which it has been over its target; 0 if it is not.
    pub over_ms: u64,
    /// What the task takes of its ease at full share, as learned.
    pub headroom_loss: f64,
}

/// What a service changes for a best-effort task beside it; the strictest preferred_change counts.
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

/// Chooses the share of a best-effort task that works at `current_percent` percent beside these colocated_tasks.
/// A halt waits for nothing, since the time after which a wait counts as harm runs on; all other
/// changes wait until `may_change`.
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
