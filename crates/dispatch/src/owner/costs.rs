//! The cost of placing a task on a worker, and the reasons that exclude a worker.
//!
//! Costs are in thousandths of a core, the unit of unused CPU, and may be negative. Workers with
//! lower costs are preferred.

use crate::ids::StepId;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::phases::Ranking;
use crate::owner::worker::Exclusion;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;
use crate::policy::idle_starts::MIN_SHARE_PERCENT;
use crate::policy::idle_starts::bears_crowd;
use crate::policy::images::ImageKey;
use crate::policy::kept_room::Precedence;
use crate::policy::protection::AVERAGE_USE_PERCENT;
use crate::record::Step;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Cost, in thousandths of a core, of slowing down the best-effort tasks on a worker whose unused
/// processors they use up. Exceeds that of any share that latency-critical tasks bear on average.
const CROWD_COST: i64 = 40_000;
/// Cost, in thousandths of a core, of each percent of its share that a task does without.
const MISSING_SHARE_COST: i64 = 300;
/// Cost, in thousandths of a core, of the smallest share, which may take more from latency-critical
/// tasks than they bear on average. Exceeds that of slowing down best-effort tasks.
const SMALLEST_SHARE_COST: i64 = 80_000;
/// Cost, in thousandths of a core, of a worker that is not on the rack of a task's data.
const REMOTE_DATA_COST: i64 = 1_000_000;
/// Cost, in thousandths of a core, of a worker whose last run failed.
const FAILED_RUN_COST: i64 = 20_000;
/// Cost, in thousandths of a core, of a worker that is still warming up.
const WARM_UP_COST: i64 = 50_000;
/// Cost, in thousandths of a core, of a worker on which another run may be the cause of a crash.
/// Exceeds all other costs.
const AMBIGUOUS_COST: i64 = 1_000_000_000;
/// Cost of each thousandth of a core whose work would be lost in a crash. It exceeds the cost of
/// remote data, as other jobs would lose the work.
const AT_STAKE_COST: i64 = 1_000;

/// Cost of each thousandth of a core that best-effort tasks have to release to a task that reserves
/// it.
const CONTENTION_COST: i64 = 10;

/// Requirements of a step for the worker of one of its tasks.
#[derive(Clone)]
pub(crate) struct TaskRequirements<'a> {
    pub(crate) step: &'a Step,
    pub(crate) service: &'a str,
    pub(crate) image: ImageKey,
    /// The first task of the step.
    pub(crate) task: TaskId,
    pub(crate) precedence: Precedence,
    /// Only workers with a permit are eligible.
    pub(crate) needs_permits: bool,
    /// Address of the worker that the task is suspected to have crashed; `None` if the task is not
    /// suspected.
    pub(crate) suspected_at: Option<Box<str>>,
    /// Which other tasks may run on its worker.
    pub(crate) isolation: Isolation,
    /// The task may start at a reduced share, as nothing of its job runs.
    pub(crate) accepts_reduced_share: bool,
}

/// From which other tasks a suspected task is kept apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Isolation {
    None,
    /// From other suspected tasks.
    FromSuspects,
    /// From all tasks of other jobs that may still crash their worker.
    Alone,
}

/// Terms on which a worker takes a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Offer {
    pub(super) cost: i64,
    /// Share of its CPU at which the task starts.
    pub(super) share_percent: u32,
}

impl Owner {
    /// Returns the workers on which a task of a step can be placed, ordered by cost.
    pub(crate) fn rank_workers(
        &self,
        requirements: &TaskRequirements<'_>,
        now_ms: u64,
    ) -> BinaryHeap<Reverse<(i64, WorkerKey)>> {
        let mut ranked = BinaryHeap::new();
        let mut ranking = Ranking::default();
        for (key, worker) in self.workers.eligible() {
            let cost = self.permitted_cost(key, worker, requirements, now_ms);
            ranking.count(&cost);
            if let Ok(cost) = cost {
                ranked.push(Reverse((cost, key)));
            }
        }
        self.ranking.set(Some(ranking));
        ranked
    }

    /// Returns the cost of placing a task on a worker.
    ///
    /// # Errors
    ///
    /// Returns the reason why the task can't be placed there, which may be a missing permit.
    pub(super) fn permitted_cost(
        &self,
        key: WorkerKey,
        worker: &Worker,
        requirements: &TaskRequirements<'_>,
        now_ms: u64,
    ) -> Result<i64, Exclusion> {
        self.permitted_offer(key, worker, requirements, now_ms)
            .map(|offer| offer.cost)
    }

    /// Returns the terms on which a worker takes a task.
    ///
    /// # Errors
    ///
    /// Returns the reason why the task can't be placed there, which may be a missing permit.
    pub(super) fn permitted_offer(
        &self,
        key: WorkerKey,
        worker: &Worker,
        requirements: &TaskRequirements<'_>,
        now_ms: u64,
    ) -> Result<Offer, Exclusion> {
        let step = StepId::of(requirements.task);
        if requirements.needs_permits && self.permits.permit(step, key, now_ms).is_none() {
            return Err(Exclusion::Permit);
        }
        self.offer(worker, requirements, now_ms)
    }

    /// Returns the cost of placing a task on a worker, without regard to permits.
    ///
    /// # Errors
    ///
    /// Returns the reason why the task can't be placed there.
    pub(super) fn placement_cost(
        &self,
        worker: &Worker,
        requirements: &TaskRequirements<'_>,
        now_ms: u64,
    ) -> Result<i64, Exclusion> {
        self.offer(worker, requirements, now_ms)
            .map(|offer| offer.cost)
    }

    /// Returns the terms on which a worker takes a task, without regard to permits.
    ///
    /// # Errors
    ///
    /// Returns the reason why the task can't be placed there.
    fn offer(
        &self,
        worker: &Worker,
        requirements: &TaskRequirements<'_>,
        now_ms: u64,
    ) -> Result<Offer, Exclusion> {
        if *worker.entry.service != *requirements.service {
            return Err(Exclusion::Service);
        }
        if let Some(exclusion) = worker.exclusion(now_ms) {
            return Err(exclusion);
        }
        check_fit(worker, requirements)?;
        let (interference_cost, share_percent) =
            match self.interference_cost(worker, requirements, now_ms) {
                Ok(cost) => (cost, 100),
                Err(disturbance) => {
                    let share_percent = self
                        .reduced_share(worker, requirements, disturbance.cause)
                        .ok_or(Exclusion::Disturbed)?;
                    (reduced_share_cost(share_percent), share_percent)
                }
            };
        let processors = self.protected_processors(worker);
        let available_milli = match processors {
            Some(processors) => processors.unused_milli(worker.best_effort_milli),
            None => unused_milli(worker),
        };
        let requested_milli = requirements.step.cpu_milli * u64::from(share_percent) / 100;
        let cost = resource_cost(worker, requirements, requested_milli, available_milli)
            .ok_or(Exclusion::Crowded)?;
        let contention_cost = match processors {
            Some(_) => contention_cost(requirements.step, available_milli),
            None => 0,
        };
        let crash_risk_cost =
            crash_risk_cost(worker, requirements, now_ms).ok_or(Exclusion::Suspects)?;
        // Checked last, so that an evacuation is only reported if nothing else excludes the worker.
        if self.is_evacuated(worker) {
            return Err(Exclusion::Evacuated);
        }
        Ok(Offer {
            cost: cost + interference_cost + contention_cost + crash_risk_cost,
            share_percent,
        })
    }
}

/// Checks the resources, the label and the number of tasks per worker that a step requires.
///
/// # Errors
///
/// Returns the reason why a task of the step can't be placed on the worker.
fn check_fit(worker: &Worker, requirements: &TaskRequirements<'_>) -> Result<(), Exclusion> {
    let step = requirements.step;
    if !worker.free().can_fit(step.resources()) {
        return Err(Exclusion::Room);
    }
    let free = worker.free_for(StepId::of(requirements.task), requirements.precedence);
    if !free.can_fit(step.resources()) {
        return Err(Exclusion::Kept);
    }
    if !worker.has_label(&step.label) {
        return Err(Exclusion::Label);
    }
    match worker.may_add(step, StepId::of(requirements.task)) {
        true => Ok(()),
        false => Err(Exclusion::Spread),
    }
}

/// Returns the cost of placing a task beside tasks of which one may crash the worker. Returns
/// `None` if two suspects would run on the same worker while the task waits for isolation, as a
/// crash would then not show which of them is the cause.
///
/// A suspected task is placed where no other run may be the cause of a crash, on another host than
/// the one that it may have crashed, and where the least work would be lost. All other tasks avoid
/// the worker until the suspect has proved stable. A suspect waits for isolation for at most two
/// seconds. A worker is closed to other jobs only while a task that must be alone runs there and is
/// not stable, or while it is reserved for one; everything else only adds costs.
fn crash_risk_cost(
    worker: &Worker,
    requirements: &TaskRequirements<'_>,
    now_ms: u64,
) -> Option<i64> {
    if worker.is_closed_to(requirements.task.job, now_ms) {
        return None;
    }
    let probes_cost = i64::from(worker.probes) * AMBIGUOUS_COST;
    let Some(suspected_at) = &requirements.suspected_at else {
        return Some(probes_cost);
    };
    let is_apart = match requirements.isolation {
        Isolation::None => true,
        Isolation::FromSuspects => worker.probes == 0,
        Isolation::Alone => worker.is_quiet_for(requirements.task.job),
    };
    if !is_apart {
        return None;
    }
    let suspects = worker.runs.values().filter(|run| run.is_suspect()).count();
    let at_stake_milli =
        worker.used.cpu_milli + worker.best_effort_milli + worker.long_running_milli;
    let same_host_cost = match **suspected_at == *worker.entry.address {
        true => AMBIGUOUS_COST / 2,
        false => 0,
    };
    Some(suspects as i64 * AMBIGUOUS_COST + same_host_cost + at_stake_milli as i64 * AT_STAKE_COST)
}

/// Returns the cost of a task that gets `requested_milli` of a worker's CPU, by the resources,
/// health and location of the worker. Returns `None` if a best-effort task would only slow down
/// those that are already there.
fn resource_cost(
    worker: &Worker,
    requirements: &TaskRequirements<'_>,
    requested_milli: u64,
    available_milli: i64,
) -> Option<i64> {
    let step = requirements.step;
    let mut cost = -available_milli;
    if !step.is_best_effort && !step.is_long_running {
        // Best fit: workers with much free CPU remain available for large tasks.
        cost = worker.free().cpu_milli as i64;
    }
    if step.is_best_effort {
        // Best-effort tasks share unused CPU. One too many slows all of them.
        let is_crowded = available_milli < requested_milli as i64 && worker.best_effort_milli > 0;
        if is_crowded && !bears_crowd_of(worker, requirements) {
            return None;
        }
        cost += i64::from(is_crowded) * CROWD_COST;
    }
    if worker.consecutive_failures > 0 {
        cost += FAILED_RUN_COST;
    }
    if worker.entry.cold_ms > 0 {
        cost += WARM_UP_COST;
    }
    if !step.data_rack.is_empty()
        && !worker
            .entry
            .labels
            .iter()
            .any(|label| **label == *step.data_rack)
    {
        cost += REMOTE_DATA_COST;
    }
    Some(cost)
}

/// Returns the cost of a task that starts at a reduced share.
fn reduced_share_cost(share_percent: u32) -> i64 {
    match share_percent > MIN_SHARE_PERCENT {
        true => i64::from(100_u32.saturating_sub(share_percent)) * MISSING_SHARE_COST,
        false => SMALLEST_SHARE_COST,
    }
}

/// Returns whether a best-effort task that accepts a reduced share may start on a worker whose
/// unused processors other best-effort tasks use up.
fn bears_crowd_of(worker: &Worker, requirements: &TaskRequirements<'_>) -> bool {
    if !requirements.accepts_reduced_share {
        return false;
    }
    let mut runs = worker.runs.values();
    let demand_milli =
        worker.used.cpu_milli + worker.best_effort_milli + requirements.step.cpu_milli;
    runs.all(|run| run.tail_latency_target_ms == 0)
        && bears_crowd(demand_milli, worker.entry.resources.cpu_milli)
}

/// Returns the cost of a task that reserves its processors where best-effort tasks use them now.
/// Until these are throttled, all of them slow down the latency-critical tasks.
fn contention_cost(step: &Step, available_milli: i64) -> i64 {
    if step.is_best_effort || step.is_long_running {
        return 0;
    }
    let missing_milli = step.cpu_milli as i64 - available_milli;
    missing_milli.max(0) * CONTENTION_COST
}

/// Returns the CPU that is expected to be unused on a worker, in thousandths of a core. It is
/// negative if the best-effort tasks there already request more than that.
fn unused_milli(worker: &Worker) -> i64 {
    let unused_by_long_running = worker.long_running_milli * (100 - AVERAGE_USE_PERCENT) / 100;
    worker.entry.resources.cpu_milli as i64 - worker.used.cpu_milli as i64
        + unused_by_long_running as i64
        - worker.best_effort_milli as i64
}
