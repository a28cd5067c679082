//! How much best-effort tasks disturb the serving tasks on a worker, or would disturb them.

use crate::owner::Owner;
use crate::owner::costs::TaskRequirements;
use crate::owner::worker::Worker;
use crate::policy::idle_starts::ServingTask;
use crate::policy::idle_starts::bearable_share;
use crate::policy::interference::ImageUsage;
use crate::policy::protection::bears_loss;
use crate::policy::protection::is_at_peak;
use crate::policy::shares::SuspendDelays;

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

    /// Returns the share at which a best-effort task that accepts a reduced one may start beside the
    /// serving tasks on a worker, which its full share would disturb.
    pub(super) fn reduced_share(
        &self,
        worker: &Worker,
        requirements: &TaskRequirements<'_>,
        cause: DisturbanceCause,
    ) -> Option<u32> {
        if !requirements.accepts_reduced_share || cause == DisturbanceCause::OverTarget {
            return None;
        }
        let cores = requirements.step.cpu_milli as f64 / 1_000.0;
        let others = best_effort_demands(worker);
        self.share_beside(worker, (requirements.image, cores), &others)
    }

    /// Returns the share that the serving tasks on a worker bear of a best-effort task with this
    /// usage at full share, beside those that take `others` at most.
    pub(super) fn share_beside(
        &self,
        worker: &Worker,
        own_usage: ImageUsage,
        others: &[ImageUsage],
    ) -> Option<u32> {
        let mut serving_tasks = Vec::new();
        for run in worker.runs.values() {
            if run.tail_latency_target_ms == 0 {
                continue;
            }
            let average = self.interference.solo_headroom(run.image);
            serving_tasks.push(ServingTask {
                bearable_loss: MAX_HEADROOM_LOSS.min(average - MIN_HEADROOM),
                solo_headroom_now: run.solo_headroom.min(average),
                present_loss: self.interference.headroom_loss(run.image, others),
                own_loss: self.interference.headroom_loss(run.image, &[own_usage]),
            });
        }
        bearable_share(&serving_tasks)
    }
}

/// Returns the cores that the best-effort tasks on a worker request at the greatest share that they
/// may get, with their images.
pub(super) fn best_effort_demands(worker: &Worker) -> Vec<ImageUsage> {
    let mut best_effort_demands = Vec::new();
    for run in worker.runs.values() {
        if run.is_best_effort {
            let cpu_milli = run.cpu_milli * u64::from(run.max_share_percent) / 100;
            best_effort_demands.push((run.image, cpu_milli as f64 / 1_000.0));
        }
    }
    best_effort_demands
}
