//! Processors of workers beside serving tasks: what the tasks there use, and the shares of
//! best-effort tasks that follow.

use crate::event::Action;
use crate::owner::Owner;
use crate::owner::shares::is_serving;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;
use crate::policy::images::ImageKey;
use crate::policy::interference::ImageUsage;
use crate::policy::interference::headroom;
use crate::policy::protection::BestEffortTask;
use crate::policy::protection::Limits;
use crate::policy::protection::Processors;
use crate::policy::protection::choose_shares;
use crate::policy::protection::over_target_cause;
use crate::policy::protection::used_milli;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Longest time that one poll accounts for. After a worker has been silent, nothing is known of the
/// time before.
const MAX_POLL_INTERVAL_MS: u64 = 1_000;

impl Owner {
    /// Updates what the tasks on a worker use, and for how long serving tasks were over their
    /// target. `best_effort_usage` is of the same interval as the tail latencies of the serving
    /// tasks.
    pub(super) fn update_processors(
        &mut self,
        key: WorkerKey,
        best_effort_usage: &[ImageUsage],
        now_ms: u64,
    ) {
        let worker = &mut self.workers[key];
        let demand_percent = demand_percent(worker);
        let passed_ms = now_ms.saturating_sub(worker.gauged_ms);
        let interval_ms = passed_ms.min(MAX_POLL_INTERVAL_MS);
        worker.gauged_ms = now_ms;
        worker.limits = None;
        let mut long_running_milli = 0;
        for run in worker.runs.values_mut() {
            if is_serving(run) {
                let headroom = headroom(run.tail_latency_target_ms, run.gauge);
                let average_headroom = self.interference.solo_headroom(run.image);
                let loss = self
                    .interference
                    .headroom_loss(run.image, best_effort_usage);
                run.solo_headroom = headroom + loss;
                run.used_milli = used_milli(run.cpu_milli, run.solo_headroom, average_headroom);
                let limits = Limits::new(headroom, average_headroom);
                let lowest = worker.limits.map_or(limits, |other| other.min(limits));
                worker.limits = Some(lowest);
                if let Some(cause) = over_target_cause(headroom, loss, demand_percent) {
                    self.stats.over_target_ms[cause as usize] += interval_ms;
                }
            } else if run.is_best_effort && run.gauge > 0 && run.applied_share_percent == Some(100)
            {
                run.used_milli = run.gauge.min(run.cpu_milli);
            }
            if run.is_long_running {
                long_running_milli += run.used_milli;
            }
        }
        worker.long_running_used_milli = long_running_milli;
    }

    /// Returns the use of a worker's processors, if best-effort tasks get what its serving tasks
    /// leave now.
    pub(super) fn protected_processors(&self, worker: &Worker) -> Option<Processors> {
        match self.bounds.policy.protects_serving {
            true => worker.processors(),
            false => None,
        }
    }

    /// Returns whether best-effort tasks on a worker run beside a serving task that is close to its
    /// target.
    pub(super) fn is_near_target(&self, worker: &Worker) -> bool {
        let processors = self.protected_processors(worker);
        worker.best_effort_milli > 0
            && processors.is_some_and(|processors| processors.limits.are_tight())
    }

    /// Sets the shares of the best-effort tasks on a worker: for each the lower one of its shares by
    /// processors and by headroom.
    pub(super) fn set_target_shares(&mut self, key: WorkerKey, actions: &mut Vec<Action>) {
        if self.workers[key].best_effort_milli == 0 {
            return;
        }
        let was_throttled = is_throttled(&self.workers[key]);
        let demand_percent = demand_percent(&self.workers[key]);
        self.choose_processor_shares(key);
        let worker = &mut self.workers[key];
        let mut lowered = 0;
        for run in worker.runs.values_mut().filter(|run| run.is_best_effort) {
            let before = run.target_share_percent;
            let after = run.processor_share_percent.min(run.headroom_share_percent);
            run.target_share_percent = after;
            worker.has_orders |= before != after || run.applied_share_percent.is_none();
            lowered += u32::from(after < before);
            self.stats.suspensions += u64::from(after == 0 && before > 0);
            self.stats.resumptions += u64::from(after > 0 && before == 0);
        }
        if is_throttled(worker) && !was_throttled {
            let limit_percent = worker.limits.map_or(0, |limits| limits.throttle_percent);
            actions.push(Action::Note(Note::new(
                Code::ProcessorsShort,
                &*worker.entry.id,
                format!(
                    "lowered={lowered} demand_percent={demand_percent} limit_percent={limit_percent}"
                ),
            )));
        }
    }

    /// Chooses the shares of the best-effort tasks on a worker by the processors that its other
    /// tasks leave.
    fn choose_processor_shares(&mut self, key: WorkerKey) {
        let processors = self.protected_processors(&self.workers[key]);
        let worker = &mut self.workers[key];
        let Some(processors) = processors else {
            for run in worker.runs.values_mut() {
                run.processor_share_percent = 100;
            }
            return;
        };
        let serving_images = serving_images(worker);
        let mut tasks = Vec::new();
        for run in worker.runs.values().filter(|run| run.is_best_effort) {
            let cores = run.used_milli as f64 / 1_000.0;
            let losses = serving_images
                .iter()
                .map(|image| self.interference.coefficient(*image, run.image) * cores);
            tasks.push(BestEffortTask {
                cpu_milli: run.used_milli,
                share_percent: run.processor_share_percent,
                progress_percent: run.percent,
                headroom_loss: losses.fold(0.0, f64::max),
            });
        }
        choose_shares(&processors, &mut tasks);
        let best_effort = worker.runs.values_mut().filter(|run| run.is_best_effort);
        for (run, task) in best_effort.zip(&tasks) {
            run.processor_share_percent = task.share_percent;
        }
    }
}

/// Returns whether a best-effort task on a worker is throttled for lack of processors.
fn is_throttled(worker: &Worker) -> bool {
    let mut runs = worker.runs.values();
    runs.any(|run| run.is_best_effort && run.processor_share_percent < 100)
}

/// Returns the demand for the processors of a worker, in percent of what it has.
fn demand_percent(worker: &Worker) -> u64 {
    let Some(processors) = worker.processors() else {
        return 0;
    };
    let mut best_effort_milli = 0;
    for run in worker.runs.values().filter(|run| run.is_best_effort) {
        best_effort_milli += run.used_milli * u64::from(run.target_share_percent) / 100;
    }
    processors.demand_percent(best_effort_milli)
}

fn serving_images(worker: &Worker) -> Vec<ImageKey> {
    let mut images = Vec::new();
    for run in worker.runs.values() {
        if is_serving(run) && !images.contains(&run.image) {
            images.push(run.image);
        }
    }
    images
}
