//! How much best-effort work the latency-critical tasks on a worker bear now.
//!
//! **Load pattern:** best-effort tasks fill the processor time that latency-critical tasks have
//! reserved and do not use. How much that is changes within seconds, since the load of each
//! latency-critical task swings. Meanwhile, tasks that reserve their processors start beside them.
//!
//! **Without it** the processors of a worker are in demand for more than they can do, and the
//! latency-critical tasks there queue. It shows as all latency-critical tasks of a worker whose
//! tail latency multiplies from one poll to the next, most of all those at the peak of their own
//! load, although no best-effort image beside them interferes by what was learned.
//!
//! What a latency-critical task uses is not reported. It follows from its headroom, which falls in
//! proportion to its load, and from what it uses on average. The best-effort tasks get the rest,
//! and those that cost most for what they have done are throttled first.
//!
//! **Limits:** about a second passes from a change of load to the effect of an order: the tail
//! latency covers the last half second, and the poll and the order take the rest. Meanwhile, the
//! headroom of a latency-critical task may fall by a third. The limit for placing leaves that much
//! headroom, as a task that is placed stays for seconds. The others leave less, as the next poll
//! decides on shares again.

/// Part of the processor time that a long-running task reserves and uses on average, in percent.
pub const AVERAGE_USE_PERCENT: u64 = 50;
/// Largest part that a latency-critical task is taken to use, in percent. When processors are
/// short, tail latencies show the shortage and no longer the load.
const MAX_USE_PERCENT: u64 = 75;
/// Headroom that a latency-critical task must keep if a new best-effort task is placed beside it.
/// Below 1, the latency target is missed.
const PLACING_HEADROOM: f64 = 1.5;
/// The same if throttled best-effort tasks get a greater share.
const RAISE_HEADROOM: f64 = 1.3;
/// The same below which best-effort tasks are throttled.
const THROTTLE_HEADROOM: f64 = 1.15;
/// Headroom without best-effort tasks below which a latency-critical task is at the peak of its
/// load.
const PEAK_HEADROOM: f64 = 1.8;
/// Headroom that best-effort tasks which interfere with it must leave to it there.
const MIN_PEAK_HEADROOM: f64 = 1.2;
/// Bounds of the limits, in percent of the worker's processors. Beyond them, the rough figures of a
/// single poll would decide alone.
const MIN_LIMIT_PERCENT: u64 = 85;
const MAX_LIMIT_PERCENT: u64 = 125;
/// Limit for throttling below which the latency-critical task that sets it is close to its target.
const TIGHT_LIMIT_PERCENT: u64 = 105;
/// Share below which a task is suspended instead.
const MIN_SHARE_PERCENT: u32 = 20;

/// Returns the processor time, in thousandths of a core, that a latency-critical task uses.
///
/// `solo_headroom` is its headroom now without the best-effort tasks beside it, `average_headroom`
/// the average of its image.
pub fn used_milli(reserved_milli: u64, solo_headroom: f64, average_headroom: f64) -> u64 {
    let unused_percent = (100 - AVERAGE_USE_PERCENT) as f64 * solo_headroom / average_headroom;
    let used_percent = (100.0 - unused_percent).clamp(0.0, MAX_USE_PERCENT as f64);
    (reserved_milli as f64 * used_percent / 100.0) as u64
}

/// Returns whether a latency-critical task with this headroom, without best-effort tasks, is at the
/// peak of its load.
pub fn is_at_peak(solo_headroom: f64) -> bool {
    solo_headroom < PEAK_HEADROOM
}

/// Returns whether a latency-critical task bears it that best-effort tasks take `headroom_loss` from
/// it now.
pub fn bears_loss(solo_headroom: f64, headroom_loss: f64) -> bool {
    solo_headroom - headroom_loss >= MIN_PEAK_HEADROOM
}

/// Demand for the processors of a worker up to which its latency-critical tasks meet their targets,
/// in percent of what the worker has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// For new best-effort tasks.
    pub placing_percent: u64,
    /// For a greater share of throttled ones.
    pub raise_percent: u64,
    /// For those that are there.
    pub throttle_percent: u64,
}

impl Limits {
    /// Returns the limits for one latency-critical task, by its headroom now and the average
    /// headroom of its image.
    pub fn new(headroom: f64, average_headroom: f64) -> Self {
        Self {
            placing_percent: bearable_percent(headroom, average_headroom, PLACING_HEADROOM),
            raise_percent: bearable_percent(headroom, average_headroom, RAISE_HEADROOM),
            throttle_percent: bearable_percent(headroom, average_headroom, THROTTLE_HEADROOM),
        }
    }

    /// Returns whether a change of load within a second may require that best-effort tasks are
    /// throttled.
    pub fn are_tight(&self) -> bool {
        self.throttle_percent < TIGHT_LIMIT_PERCENT
    }

    /// Returns the limits that meet both.
    pub fn min(self, other: Self) -> Self {
        Self {
            placing_percent: self.placing_percent.min(other.placing_percent),
            raise_percent: self.raise_percent.min(other.raise_percent),
            throttle_percent: self.throttle_percent.min(other.throttle_percent),
        }
    }
}

/// Returns the demand for processors, in percent of what a worker has, at which a latency-critical
/// task still has `min_headroom`. Where the demand is greater than that, the task gets its part of
/// the processors only, which has the effect of a greater load.
fn bearable_percent(headroom: f64, average_headroom: f64, min_headroom: f64) -> u64 {
    let idle_headroom = average_headroom * 100.0 / (100 - AVERAGE_USE_PERCENT) as f64;
    let load = (idle_headroom - headroom).max(0.1);
    let max_load = (idle_headroom - min_headroom).max(0.0);
    let percent = (max_load * 100.0 / load) as u64;
    percent.clamp(MIN_LIMIT_PERCENT, MAX_LIMIT_PERCENT)
}

/// Why a latency-critical task is over its target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OverTargetCause {
    /// Best-effort tasks take more headroom than it can spare, as was learned.
    Interference,
    /// The processors of its worker are in demand for more than they can do.
    Processors,
    /// Its own load, or something that is not known.
    Other,
}

impl OverTargetCause {
    /// All causes, in the order of their numbers.
    pub const ALL: [OverTargetCause; 3] = [
        OverTargetCause::Interference,
        OverTargetCause::Processors,
        OverTargetCause::Other,
    ];

    /// Returns the name that metrics show.
    pub fn name(self) -> &'static str {
        match self {
            OverTargetCause::Interference => "interference",
            OverTargetCause::Processors => "processors",
            OverTargetCause::Other => "other",
        }
    }
}

/// Returns why a task with this headroom is over its target, if it is. Best-effort tasks take
/// `headroom_loss` from it.
pub fn over_target_cause(
    headroom: f64,
    headroom_loss: f64,
    demand_percent: u64,
) -> Option<OverTargetCause> {
    if headroom >= 1.0 {
        return None;
    }
    Some(if demand_percent >= 100 {
        OverTargetCause::Processors
    } else if headroom + headroom_loss >= 1.0 {
        OverTargetCause::Interference
    } else {
        OverTargetCause::Other
    })
}

/// Processor time of a worker, in thousandths of a core.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Processors {
    /// What the worker has.
    pub capacity_milli: u64,
    /// What tasks that are neither long-running nor best-effort reserve.
    pub reserved_milli: u64,
    /// What its long-running tasks use now.
    pub long_running_milli: u64,
    /// Demand that its latency-critical tasks bear now.
    pub limits: Limits,
}

impl Processors {
    /// Returns what new best-effort tasks may use where the present ones use `best_effort_milli`;
    /// negative if they already use more.
    pub fn unused_milli(&self, best_effort_milli: u64) -> i64 {
        self.budget_milli(self.limits.placing_percent) - best_effort_milli as i64
    }

    /// Returns the demand in percent of what the worker has, where best-effort tasks use
    /// `best_effort_milli`.
    pub fn demand_percent(&self, best_effort_milli: u64) -> u64 {
        let demand_milli = self.reserved_milli + self.long_running_milli + best_effort_milli;
        demand_milli * 100 / self.capacity_milli.max(1)
    }

    fn budget_milli(&self, limit_percent: u64) -> i64 {
        let limit_milli = self.capacity_milli * limit_percent / 100;
        limit_milli as i64 - (self.reserved_milli + self.long_running_milli) as i64
    }
}

/// A best-effort task beside latency-critical ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BestEffortTask {
    /// Processor time that it uses at full share, in thousandths of a core.
    pub cpu_milli: u64,
    /// Its share, as chosen here.
    pub share_percent: u32,
    /// Progress of its work.
    pub progress_percent: u32,
    /// Headroom that it takes from the latency-critical task which loses most by it.
    pub headroom_loss: f64,
}

impl BestEffortTask {
    fn used_milli(&self) -> i64 {
        (self.cpu_milli * u64::from(self.share_percent) / 100) as i64
    }
}

/// Chooses the shares of the best-effort tasks on a worker. Lowers the shares of as few tasks as
/// possible, and only as far as needed. Where the demand is below the limit for that, raises them
/// again in the reverse order.
pub fn choose_shares(processors: &Processors, tasks: &mut [BestEffortTask]) {
    let demand_milli: i64 = tasks.iter().map(BestEffortTask::used_milli).sum();
    let excess_milli = demand_milli - processors.budget_milli(processors.limits.throttle_percent);
    let spare_milli = processors.budget_milli(processors.limits.raise_percent) - demand_milli;
    let mut order: Vec<usize> = (0..tasks.len()).collect();
    order.sort_by(|left, right| {
        let (left, right) = (&tasks[*left], &tasks[*right]);
        right
            .headroom_loss
            .total_cmp(&left.headroom_loss)
            .then(left.progress_percent.cmp(&right.progress_percent))
    });
    if excess_milli > 0 {
        lower(tasks, &order, excess_milli);
    } else if spare_milli > 0 {
        order.reverse();
        raise(tasks, &order, spare_milli);
    }
}

fn lower(tasks: &mut [BestEffortTask], order: &[usize], mut excess_milli: i64) {
    for index in order {
        let task = &mut tasks[*index];
        let used_milli = task.used_milli();
        if excess_milli <= 0 || task.cpu_milli == 0 {
            continue;
        }
        let left_milli = (used_milli - excess_milli).max(0) as u64;
        let share_percent = (left_milli * 100 / task.cpu_milli) as u32;
        task.share_percent = match share_percent < MIN_SHARE_PERCENT {
            true => 0,
            false => share_percent,
        };
        excess_milli -= used_milli - task.used_milli();
    }
}

fn raise(tasks: &mut [BestEffortTask], order: &[usize], mut spare_milli: i64) {
    for index in order {
        let task = &mut tasks[*index];
        if task.share_percent >= 100 || task.cpu_milli == 0 {
            continue;
        }
        let used_milli = task.used_milli();
        let may_use_milli = (used_milli + spare_milli).max(0) as u64;
        let share_percent = (may_use_milli * 100 / task.cpu_milli).min(100) as u32;
        if share_percent < MIN_SHARE_PERCENT || share_percent <= task.share_percent {
            continue;
        }
        task.share_percent = share_percent;
        spare_milli -= task.used_milli() - used_milli;
    }
}
