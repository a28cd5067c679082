//! What a task costs on a worker, and what keeps it from there.

use crate::ids::StepId;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::worker::Exclusion;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;
use crate::policy::images::ImageKey;
use crate::policy::interference::ImageUsage;
use crate::policy::shares::SuspendDelays;
use crate::record::Step;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Part of its room that a lasting task uses, in percent. Workers leave the rest to
/// fillers; measured on calm days as 42.
const LONG_RUNNING_USE_PERCENT: u64 = 50;
/// Ease that fillers must leave to a serving task: at 1 it misses its target, and its own
/// load takes a third at its peak.
const MIN_HEADROOM: f64 = 1.9;
/// Pressure on a serving task that fillers may add up to.
const MAX_HEADROOM_LOSS: f64 = 0.40;
/// Cost, in thousandths of a core, of taking one whole of a serving task's ease.
const HEADROOM_LOSS_COST: f64 = 40_000.0;
/// Pressure that matters to a task that is over its target already.
const SLIGHT_HEADROOM_LOSS: f64 = 0.01;
/// Pressure that is no matter.
const MIN_HEADROOM_LOSS: f64 = 0.04;
/// Gain of a worker that serves the same image already: a filler that gets on with one
/// gets on with all of them.
const SAME_IMAGE_GAIN: i64 = 14_000;
/// Cost, in thousandths of a core, of a worker far from a task's data.
const FAR_COST: i64 = 1_000_000;
/// Cost of a worker whose last run failed.
const SUSPECT_COST: i64 = 20_000;
/// Cost of a worker that is still warming up.
const COLD_COST: i64 = 50_000;
/// Cost of a worker on which something else may be the cause of a crash; more than all else.
const AMBIGUOUS_COST: i64 = 1_000_000_000;
/// Cost of each thousandth of a core whose work is lost in a crash; more than that of a worker far
/// from a task's data, as others would pay for it.
const AT_STAKE_COST: i64 = 1_000;

/// What a step asks of the worker for one of its tasks.
#[derive(Clone)]
pub(crate) struct TaskRequirements<'a> {
    pub(crate) step: &'a Step,
    pub(crate) service: &'a str,
    pub(crate) image: ImageKey,
    /// The first task of the step.
    pub(crate) task: TaskId,
    /// Only permitted workers count.
    pub(crate) needs_permits: bool,
    /// Where the task is suspected to have crashed a worker; `None` if it is not suspected.
    pub(crate) suspected_at: Option<Box<str>>,
    /// It waits for a worker on which nothing else is suspected.
    pub(crate) waits_for_isolation: bool,
}

impl Owner {
    /// Lists the workers that can take a task of a step, the least cost first.
    pub(crate) fn rank_workers(
        &self,
        requirements: &TaskRequirements<'_>,
        now_ms: u64,
    ) -> BinaryHeap<Reverse<(i64, WorkerKey)>> {
        let mut ranked = BinaryHeap::new();
        for (key, worker) in self.workers.eligible() {
            if let Ok(cost) = self.permitted_cost(key, worker, requirements, now_ms) {
                ranked.push(Reverse((cost, key)));
            }
        }
        ranked
    }

    /// Gives the cost of a task on a worker, or why it can't go there.
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

    /// The same without a look at permits.
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
        let disturbance = self
            .disturbance(worker, requirements, now_ms)
            .ok_or(Exclusion::Disturbed)?;
        let cost = cost(worker, requirements).ok_or(Exclusion::Crowded)?;
        let risk = risk(worker, requirements).ok_or(Exclusion::Suspects)?;
        // Asked last, so that it is told only where nothing else keeps the task from there.
        if self.is_evacuated(worker) {
            return Err(Exclusion::Evacuated);
        }
        Ok(cost + disturbance + risk)
    }

    /// Gives the cost of what a task would do to those that serve on a worker, or what
    /// fillers there would do to it; `None` if that is too much.
    fn disturbance(
        &self,
        worker: &Worker,
        requirements: &TaskRequirements<'_>,
        now_ms: u64,
    ) -> Option<i64> {
        let step = requirements.step;
        if step.is_best_effort {
            let own = (requirements.image, step.cpu_milli as f64 / 1_000.0);
            return self.headroom_loss_cost(worker, own, now_ms);
        }
        if step.tail_latency_target_ms == 0 {
            return Some(0);
        }
        let headroom_loss = self
            .interference
            .headroom_loss(requirements.image, &demands(worker));
        let mut cost = (headroom_loss * HEADROOM_LOSS_COST) as i64;
        if !self.bounds.policy.keeps_images_together {
            return Some(cost);
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
        Some(cost)
    }

    /// Gives the cost of a filler for those that serve on a worker; `None` if it would
    /// take more ease than a task there can spare.
    fn headroom_loss_cost(&self, worker: &Worker, own: ImageUsage, now_ms: u64) -> Option<i64> {
        let mut others = None;
        let mut most: f64 = 0.0;
        for run in worker.runs.values() {
            if run.tail_latency_target_ms == 0 {
                continue;
            }
            let headroom_loss = self.interference.headroom_loss(run.image, &[own]);
            // A task over its target gets no further filler that may be the cause, and none
            // at all when it has been so for long.
            if let Some(since_ms) = run.over_since_ms {
                let is_long =
                    now_ms >= since_ms + SuspendDelays::new(self.bounds.harm_ms).suspects_ms;
                if is_long || headroom_loss >= SLIGHT_HEADROOM_LOSS {
                    return None;
                }
            }
            if headroom_loss < MIN_HEADROOM_LOSS {
                continue;
            }
            let others = others.get_or_insert_with(|| demands(worker));
            let taken = headroom_loss + self.interference.headroom_loss(run.image, others);
            let is_tight = self.interference.solo_headroom(run.image) - taken < MIN_HEADROOM;
            if is_tight || taken > MAX_HEADROOM_LOSS {
                return None;
            }
            most = most.max(taken);
        }
        Some((most * HEADROOM_LOSS_COST) as i64)
    }
}

/// Tells what keeps a task from a worker that is open, if anything does.
fn check_fit(worker: &Worker, requirements: &TaskRequirements<'_>) -> Result<(), Exclusion> {
    let step = requirements.step;
    if !worker.free().can_fit(step.resources()) {
        return Err(Exclusion::Room);
    }
    let mut labels = worker.entry.labels.iter();
    if !step.label.is_empty() && !labels.any(|label| **label == *step.label) {
        return Err(Exclusion::Label);
    }
    if step.max_per_worker == 0 {
        return Ok(());
    }
    let mut count = 0;
    for (other, _) in worker.runs.keys() {
        let is_same = other.job == requirements.task.job
            && other.occurrence == requirements.task.occurrence
            && other.step == requirements.task.step;
        count += u32::from(is_same);
    }
    match count < step.max_per_worker {
        true => Ok(()),
        false => Err(Exclusion::Spread),
    }
}

/// Gives the cost of putting a task beside others of which one may crash the worker; `None` if two
/// that are suspected would meet there, as a crash would tell nothing of either.
///
/// A task that is suspected goes where nothing else may be the cause of a crash, to another host
/// than the one that it may have crashed, and there where least is lost. All others keep away from
/// it until it has shown that it is sound. None is kept from its turn for long: it waits for two
/// seconds at most, and all else are costs.
fn risk(worker: &Worker, requirements: &TaskRequirements<'_>) -> Option<i64> {
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

/// Lists what the fillers on a worker would like to use.
fn demands(worker: &Worker) -> Vec<ImageUsage> {
    let mut demands = Vec::new();
    for run in worker.runs.values() {
        if run.is_best_effort {
            demands.push((run.image, run.cpu_milli as f64 / 1_000.0));
        }
    }
    demands
}

/// Gives the cost of putting a task on a worker; `None` if it would only slow down what
/// is there.
fn cost(worker: &Worker, requirements: &TaskRequirements<'_>) -> Option<i64> {
    let step = requirements.step;
    let spare = spare_milli(worker);
    let mut cost = -spare;
    if !step.is_best_effort && !step.is_long_running {
        // The tightest fit leaves large holes whole.
        cost = worker.free().cpu_milli as i64;
    }
    if step.is_best_effort {
        // Fillers share what is unused: one too many slows all of them.
        if spare < step.cpu_milli as i64 && worker.best_effort_milli > 0 {
            return None;
        }
    }
    if worker.consecutive_failures > 0 {
        cost += SUSPECT_COST;
    }
    if worker.entry.cold_ms > 0 {
        cost += COLD_COST;
    }
    if !step.data_rack.is_empty()
        && !worker
            .entry
            .labels
            .iter()
            .any(|label| **label == *step.data_rack)
    {
        cost += FAR_COST;
    }
    Some(cost)
}

/// Gives the processor time that is expected to be unused on a worker.
fn spare_milli(worker: &Worker) -> i64 {
    let unused_by_long_running = worker.long_running_milli * (100 - LONG_RUNNING_USE_PERCENT) / 100;
    worker.entry.resources.cpu_milli as i64 - worker.used.cpu_milli as i64
        + unused_by_long_running as i64
        - worker.best_effort_milli as i64
}
