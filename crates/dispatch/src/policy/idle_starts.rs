//! At which share a best-effort task starts that no worker takes at its full share.
//!
//! **Load pattern:** a best-effort image interferes with the latency-critical images of nearly all
//! workers. The few workers that have none are in demand by all jobs of such images, and those that
//! can still meet their objective go first.
//!
//! **Without it** nothing of a job runs for as long as such jobs arrive, although most of the room
//! is free, and an interference that was learned wrongly is never measured again, as nothing starts
//! there. It shows as `TaskWaits` of best-effort steps whose `since_ms` grows from line to line,
//! with nearly all workers `Disturbed`.
//!
//! A task takes headroom in proportion to its share. A job of which nothing but long-running tasks
//! has run for [`MAX_IDLE_MS`], or [`MAX_IDLE_BUSY_MS`] in a busy service, therefore starts a task
//! at the greatest share that the latency-critical tasks of a worker bear on average or, if that is
//! too small to make progress, at the smallest one if they bear that now. One task, or one gang, is
//! enough to end the wait, so that a queue of such jobs takes little from the latency-critical
//! tasks. Where a worker has none of these, best-effort tasks only slow down each other.
//!
//! **Limits:** users and callers take a job for lost that could run and of which nothing runs for
//! three seconds. The share that a task starts with is also the greatest one that it gets beside
//! latency-critical tasks later.

/// Time without any running task, in milliseconds, after which a best-effort job may start one at
/// a reduced share.
pub const MAX_IDLE_MS: u64 = 2_000;
/// The same in a service whose workers have reserved half of their processors or more. There, jobs
/// wait for load, and those that can still meet their objective need what is left.
pub const MAX_IDLE_BUSY_MS: u64 = 15_000;
/// Smallest share, in percent, at which a task starts. At a smaller one it would hardly progress.
pub const MIN_SHARE_PERCENT: u32 = 20;
/// Headroom that a latency-critical task must keep now beside a task at the smallest share. Below
/// 1, it misses its target, and its own load may take a third of its headroom within seconds.
const MIN_HEADROOM_NOW: f64 = 1.4;
/// Demand of best-effort tasks, in percent of a worker's processors, up to which one more may start
/// beside them. Each then still gets half of what it requests.
const MAX_CROWD_PERCENT: u64 = 200;

/// A latency-critical task on the worker, and what best-effort tasks take from it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServingTask {
    /// Headroom that best-effort tasks may take from it altogether, as an average over its load.
    pub bearable_loss: f64,
    /// Its headroom now without best-effort tasks.
    pub solo_headroom_now: f64,
    /// Headroom that the best-effort tasks on the worker take from it.
    pub present_loss: f64,
    /// Headroom that the new task would take at full share.
    pub own_loss: f64,
}

/// Returns the share in percent at which a best-effort task may start beside these latency-critical
/// tasks; `None` if they bear no share that is worth a start.
pub fn bearable_share(serving_tasks: &[ServingTask]) -> Option<u32> {
    let mut share_percent: u32 = 100;
    for task in serving_tasks {
        if task.own_loss <= 0.0 {
            continue;
        }
        let spare = (task.bearable_loss - task.present_loss).max(0.0);
        share_percent = share_percent.min((spare * 100.0 / task.own_loss) as u32);
        let least_loss = task.own_loss * f64::from(MIN_SHARE_PERCENT) / 100.0;
        if task.solo_headroom_now - task.present_loss - least_loss < MIN_HEADROOM_NOW {
            return None;
        }
    }
    Some(share_percent.max(MIN_SHARE_PERCENT))
}

/// Returns whether one more best-effort task may start on a worker without latency-critical tasks
/// where all of them would then request `demand_milli`, in thousandths of a core.
pub fn bears_crowd(demand_milli: u64, capacity_milli: u64) -> bool {
    demand_milli * 100 <= capacity_milli * MAX_CROWD_PERCENT
}
