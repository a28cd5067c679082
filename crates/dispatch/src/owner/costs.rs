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
use crate::policy::images::ImageKey;
use crate::policy::interference::ImageUsage;
use crate::policy::kept_room::Precedence;
use crate::policy::protection::AVERAGE_USE_PERCENT;
use crate::policy::protection::bears_loss;
use crate::policy::protection::is_at_peak;
use crate::policy::shares::SuspendDelays;
use crate::record::Step;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Headroom that best-effort tasks must leave to a serving task. Below 1, the task misses its
/// target, and the task's own load reduces the headroom by a third at its peak.
const MIN_HEADROOM: f64 = 1.9;
/// Maximum total headroom loss that best-effort tasks may cause to a serving task.
const MAX_HEADROOM_LOSS: f64 = 0.40;
/// Cost, in thousandths of a core, of a headroom loss of 1.
const HEADROOM_LOSS_COST: f64 = 40_000.0;
/// Headroom loss from which on a best-effort task is kept away from a serving task that is already
/// over its target.
const SLIGHT_HEADROOM_LOSS: f64 = 0.01;
/// Headroom loss below which the effect on a serving task is ignored.
const MIN_HEADROOM_LOSS: f64 = 0.04;
/// Cost reduction, in thousandths of a core, of a serving task for each serving task of the same
/// image on a worker, and cost increase for each one of another image. A best-effort task that is
/// compatible with one serving task of an image is compatible with all of them.
const SAME_IMAGE_GAIN: i64 = 14_000;
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
    /// The task waits for a worker that runs no other suspect.
    pub(crate) waits_for_isolation: bool,
}

/// Why a best-effort task would disturb a serving task too much. Logs print the variants by their
/// names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DisturbanceCause {
    /// The serving task is over its target.
    OverTarget,
    /// The serving task is at the peak of its load.
    AtPeak,
    /// Its image has too little headroom on average.
    Headroom,
    /// Its image would lose too much headroom to best-effort tasks.
    Loss,
}

/// A serving task that excludes a best-effort task from its worker, and the figures behind that.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Disturbance {
    pub(super) cause: DisturbanceCause,
    /// Headroom without best-effort tasks: that of the task now, or the average of its image.
    pub(super) solo_headroom: f64,
    /// Headroom that best-effort tasks would take from it.
    pub(super) headroom_loss: f64,
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
        let step = StepId::of(requirements.task);
        if requirements.needs_permits && self.permits.permit(step, key, now_ms).is_none() {
            return Err(Exclusion::Permit);
        }
        self.placement_cost(worker, requirements, now_ms)
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
        if *worker.entry.service != *requirements.service {
            return Err(Exclusion::Service);
        }
        if let Some(exclusion) = worker.exclusion(now_ms) {
            return Err(exclusion);
        }
        check_fit(worker, requirements)?;
        let interference_cost = self
            .interference_cost(worker, requirements, now_ms)
            .map_err(|_| Exclusion::Disturbed)?;
        let processors = self.protected_processors(worker);
        let available_milli = match processors {
            Some(processors) => processors.unused_milli(worker.best_effort_milli),
            None => unused_milli(worker),
        };
        let cost =
            resource_cost(worker, requirements, available_milli).ok_or(Exclusion::Crowded)?;
        let contention_cost = match processors {
            Some(_) => contention_cost(requirements.step, available_milli),
            None => 0,
        };
        let crash_risk_cost = crash_risk_cost(worker, requirements).ok_or(Exclusion::Suspects)?;
        // Checked last, so that an evacuation is only reported if nothing else excludes the worker.
        if self.is_evacuated(worker) {
            return Err(Exclusion::Evacuated);
        }
        Ok(cost + interference_cost + contention_cost + crash_risk_cost)
    }

    /// Returns the cost of the interference between a task and the tasks on a worker: what a
    /// best-effort task would do to serving tasks there, or what best-effort tasks there would do
    /// to a serving task.
    ///
    /// # Errors
    ///
    /// Returns why the interference would be too strong.
    pub(super) fn interference_cost(
        &self,
        worker: &Worker,
        requirements: &TaskRequirements<'_>,
        now_ms: u64,
    ) -> Result<i64, Disturbance> {
        let step = requirements.step;
        if step.is_best_effort {
            let own_usage = (requirements.image, step.cpu_milli as f64 / 1_000.0);
            return self.headroom_loss_cost(worker, own_usage, now_ms);
        }
        if step.tail_latency_target_ms == 0 {
            return Ok(0);
        }
        let headroom_loss = self
            .interference
            .headroom_loss(requirements.image, &best_effort_demands(worker));
        let mut cost = (headroom_loss * HEADROOM_LOSS_COST) as i64;
        if !self.bounds.policy.keeps_images_together {
            return Ok(cost);
        }
        for run in worker.runs.values() {
            if run.tail_latency_target_ms > 0 {
                cost += if run.image == requirements.image {
                    -SAME_IMAGE_GAIN
                } else {
                    SAME_IMAGE_GAIN
                };
            }
        }
        Ok(cost)
    }

    /// Returns the cost of a best-effort task to the serving tasks on a worker.
    ///
    /// # Errors
    ///
    /// Returns the first reason why it would take more headroom from one of them than that task can
    /// spare.
    fn headroom_loss_cost(
        &self,
        worker: &Worker,
        own_usage: ImageUsage,
        now_ms: u64,
    ) -> Result<i64, Disturbance> {
        let is_protecting = self.protected_processors(worker).is_some();
        let mut others = None;
        let mut max_loss: f64 = 0.0;
        for run in worker.runs.values() {
            if run.tail_latency_target_ms == 0 {
                continue;
            }
            let headroom_loss = self.interference.headroom_loss(run.image, &[own_usage]);
            // A serving task over its target gets no further best-effort task that may contribute
            // to that, and none at all once it has been over its target for long.
            if let Some(since_ms) = run.over_since_ms {
                let is_long =
                    now_ms >= since_ms + SuspendDelays::new(self.bounds.harm_ms).suspects_ms;
                if is_long || headroom_loss >= SLIGHT_HEADROOM_LOSS {
                    return Err(Disturbance {
                        cause: DisturbanceCause::OverTarget,
                        solo_headroom: run.solo_headroom,
                        headroom_loss,
                    });
                }
            }
            let is_slight = headroom_loss < MIN_HEADROOM_LOSS;
            let is_at_peak = is_protecting && is_at_peak(run.solo_headroom);
            if is_slight && !(is_at_peak && headroom_loss >= SLIGHT_HEADROOM_LOSS) {
                continue;
            }
            let others = others.get_or_insert_with(|| best_effort_demands(worker));
            let total_loss = headroom_loss + self.interference.headroom_loss(run.image, others);
            if is_at_peak && !bears_loss(run.solo_headroom, total_loss) {
                return Err(Disturbance {
                    cause: DisturbanceCause::AtPeak,
                    solo_headroom: run.solo_headroom,
                    headroom_loss: total_loss,
                });
            }
            if is_slight {
                continue;
            }
            let solo_headroom = self.interference.solo_headroom(run.image);
            let is_tight = solo_headroom - total_loss < MIN_HEADROOM;
            if is_tight || total_loss > MAX_HEADROOM_LOSS {
                let cause = match is_tight {
                    true => DisturbanceCause::Headroom,
                    false => DisturbanceCause::Loss,
                };
                return Err(Disturbance {
                    cause,
                    solo_headroom,
                    headroom_loss: total_loss,
                });
            }
            max_loss = max_loss.max(total_loss);
        }
        Ok((max_loss * HEADROOM_LOSS_COST) as i64)
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
/// the worker until the suspect has proved stable. No task waits for long: a suspect waits for
/// isolation for at most two seconds, and everything else only adds costs.
fn crash_risk_cost(worker: &Worker, requirements: &TaskRequirements<'_>) -> Option<i64> {
    let probes_cost = i64::from(worker.probes) * AMBIGUOUS_COST;
    let Some(suspected_at) = &requirements.suspected_at else {
        return Some(probes_cost);
    };
    if worker.probes > 0 && requirements.waits_for_isolation {
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

/// Returns the cores that the best-effort tasks on a worker request, with their images.
fn best_effort_demands(worker: &Worker) -> Vec<ImageUsage> {
    let mut best_effort_demands = Vec::new();
    for run in worker.runs.values() {
        if run.is_best_effort {
            best_effort_demands.push((run.image, run.cpu_milli as f64 / 1_000.0));
        }
    }
    best_effort_demands
}

/// Returns the cost of a task by the resources, health and location of a worker. Returns `None` if
/// a best-effort task would only slow down those that are already there.
fn resource_cost(
    worker: &Worker,
    requirements: &TaskRequirements<'_>,
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
        if available_milli < step.cpu_milli as i64 && worker.best_effort_milli > 0 {
            return None;
        }
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
