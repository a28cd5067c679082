//! CPU shares of best-effort tasks beside serving tasks that miss their latency target.
//!
//! Placement keeps best-effort tasks away from serving tasks with which they are known to
//! interfere. Interference that is not known yet, or that changes with load, shows in the tail
//! latencies that each poll reports. Best-effort tasks are throttled by as much as the learned
//! interference coefficients require, and regain their share step by step as far as the
//! coefficients permit. If a serving task stays over its target nevertheless, all best-effort tasks
//! beside it are suspended, whatever was learned.
//!
//! These are the shares by headroom. See [`crate::owner::protection`] for those by processors.

use crate::event::Action;
use crate::event::OrderOutcome;
use crate::event::WorkerCall;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::calls::Purpose;
use crate::owner::worker::Run;
use crate::owner::worker::RunPhase;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;
use crate::policy::interference::ImageUsage;
use crate::policy::interference::InterferenceModel;
use crate::policy::interference::add_usage;
use crate::policy::interference::headroom;
use crate::policy::shares::ColocatedTask;
use crate::policy::shares::HEALTHY_HEADROOM;
use crate::policy::shares::SuspendDelays;
use crate::policy::shares::choose_share;
use crate::policy::shares::needs_order;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Minimum time between two changes of shares on the same worker: the tail latency covers the last
/// half second, and an order takes a tenth of a second to take effect.
const MIN_CHANGE_INTERVAL_MS: u64 = 700;

/// Number of best-effort tasks on a worker whose target share was changed, by kind of change.
#[derive(Debug, Default)]
struct ShareChanges {
    suspended: u32,
    throttled: u32,
    raised: u32,
}

impl Owner {
    /// Learns interference from the latest report of a worker, and chooses the shares of its
    /// best-effort tasks.
    pub(crate) fn adjust_best_effort(
        &mut self,
        key: WorkerKey,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let suspend_delays = SuspendDelays::new(self.bounds.harm_ms);
        let worker = &mut self.workers[key];
        worker.is_over_target = false;
        let has_new = has_new_gauges(worker) && self.bounds.policy.learns_interference;
        let mut usage = usage(worker);
        if has_new {
            worker.window.close(&mut usage);
        }
        for run in worker.runs.values_mut() {
            if !is_serving(run) {
                run.over_since_ms = None;
                continue;
            }
            let headroom = headroom(run.tail_latency_target_ms, run.gauge);
            if has_new {
                self.interference
                    .learn(run.image, &mut run.baseline, headroom, &usage);
            }
            if headroom < 1.0 {
                run.over_since_ms.get_or_insert(now_ms);
                worker.is_over_target = true;
            } else if headroom >= HEALTHY_HEADROOM {
                run.over_since_ms = None;
            }
        }
        self.update_processors(key, &usage, now_ms);
        let worker = &mut self.workers[key];
        if worker.best_effort_milli == 0 {
            worker.is_over_target = false;
            return;
        }
        let throttles_best_effort = self.bounds.policy.throttles_best_effort;
        if let Some(changes) = choose_shares(
            worker,
            &self.interference,
            suspend_delays,
            throttles_best_effort,
            now_ms,
        ) {
            actions.push(Action::Note(Note::new(
                Code::FillersPaced,
                &*worker.entry.id,
                format!(
                    "halted={} slowed={} raised={} {}",
                    changes.suspended,
                    changes.throttled,
                    changes.raised,
                    describe_worst_serving_task(worker, now_ms)
                ),
            )));
        }
        self.set_target_shares(key, actions);
    }

    /// Sends the orders to change shares that are due.
    pub(crate) fn send_share_changes(
        &mut self,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let mut due = Vec::new();
        for key in self.workers.with_orders() {
            let worker = &mut self.workers[key];
            if worker.is_silent() || !worker.is_known {
                continue;
            }
            let mut has_more = false;
            for ((task, number), run) in &mut worker.runs {
                let is_stopping = matches!(run.phase, RunPhase::Stopping { .. });
                let differs = needs_order(run.applied_share_percent, run.target_share_percent);
                has_more |= is_stopping || differs;
                let is_present = matches!(run.phase, RunPhase::Present { .. });
                if !differs
                    || !is_present
                    || run.is_share_change_pending
                    || now_ms < run.share_retry_ms
                {
                    continue;
                }
                run.is_share_change_pending = true;
                due.push((key, *task, *number, run.target_share_percent));
            }
            worker.has_orders = has_more;
        }
        for (key, task, run, percent) in due {
            self.stats.share_changes += 1;
            let call = WorkerCall::SetShare { task, run, percent };
            let purpose = Purpose::SetShare { task, run, percent };
            self.send_order(key, purpose, call, now_ms, tickets, actions);
        }
    }

    pub(crate) fn on_share_change(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        number: u32,
        percent: u32,
        outcome: &OrderOutcome,
        now_ms: u64,
    ) {
        let worker = &mut self.workers[key];
        let Some(run) = worker.runs.get_mut(&(task, number)) else {
            return;
        };
        run.is_share_change_pending = false;
        match outcome {
            OrderOutcome::Done { .. } => {
                run.applied_share_percent = Some(percent);
                run.was_throttled |= percent < 100;
            }
            outcome => {
                if *outcome == OrderOutcome::Unknown {
                    run.applied_share_percent = None;
                }
                run.share_retry_ms = now_ms + MIN_CHANGE_INTERVAL_MS;
            }
        }
        // The target share may have changed while the order was on its way.
        worker.has_orders = true;
    }
}

/// Returns whether a run is a serving task whose tail latency is known.
pub(super) fn is_serving(run: &Run) -> bool {
    run.is_long_running && run.tail_latency_target_ms > 0 && run.percent >= 100 && run.gauge > 0
}

/// Returns whether a poll reported new gauges, and records them. Workers report the same gauges for
/// half a second, and learning from one twice would count it double.
fn has_new_gauges(worker: &mut Worker) -> bool {
    let mut has_new = false;
    for run in worker.runs.values_mut() {
        has_new |= run.gauge != run.previous_gauge;
        run.previous_gauge = run.gauge;
    }
    has_new
}

/// Returns the cores that the best-effort tasks on a worker used according to the latest poll, by
/// image.
fn usage(worker: &Worker) -> Vec<ImageUsage> {
    let mut usage: Vec<ImageUsage> = Vec::new();
    for run in worker.runs.values() {
        if !run.is_best_effort || run.gauge == 0 {
            continue;
        }
        let cores = run.gauge as f64 / 1_000.0;
        add_usage(&mut usage, run.image, cores);
    }
    usage
}

/// Describes the serving task on a worker that has the least headroom.
fn describe_worst_serving_task(worker: &Worker, now_ms: u64) -> String {
    let mut worst: Option<(f64, String)> = None;
    for ((task, _), run) in &worker.runs {
        if !is_serving(run) {
            continue;
        }
        let headroom = headroom(run.tail_latency_target_ms, run.gauge);
        if worst.as_ref().is_none_or(|(lowest, _)| headroom < *lowest) {
            let over_ms = run.over_since_ms.map_or(0, |since_ms| now_ms - since_ms);
            let text = format!(
                "task={task} tail_ms={} target_ms={} over_ms={over_ms}",
                run.gauge, run.tail_latency_target_ms
            );
            worst = Some((headroom, text));
        }
    }
    worst.map_or("served=0".into(), |(_, text)| text)
}

/// Chooses the share by headroom of each best-effort task on a worker. Returns what has changed, or
/// `None` if nothing has. Between two changes, tasks are given time to show their effect. Only a
/// suspension is immediate, as time over the target that counts as harm keeps accumulating.
fn choose_shares(
    worker: &mut Worker,
    interference: &InterferenceModel,
    suspend_delays: SuspendDelays,
    throttles_best_effort: bool,
    now_ms: u64,
) -> Option<ShareChanges> {
    let may_change = now_ms >= worker.next_share_change_ms;
    let mut serving_tasks = Vec::new();
    let mut has_latency_critical = false;
    for run in worker.runs.values() {
        has_latency_critical |= run.tail_latency_target_ms > 0;
        if is_serving(run) {
            let over_ms = run.over_since_ms.map_or(0, |since_ms| now_ms - since_ms);
            let headroom = headroom(run.tail_latency_target_ms, run.gauge);
            serving_tasks.push((run.image, headroom, over_ms));
        }
    }
    let mut changes = ShareChanges::default();
    for run in worker.runs.values_mut() {
        if !run.is_best_effort {
            continue;
        }
        let before = run.headroom_share_percent;
        let cores = run.cpu_milli as f64 / 1_000.0;
        let colocated = serving_tasks
            .iter()
            .map(|(serving_image, headroom, over_ms)| ColocatedTask {
                headroom: *headroom,
                over_ms: *over_ms,
                headroom_loss: interference.coefficient(*serving_image, run.image) * cores,
            });
        let colocated: Vec<ColocatedTask> = colocated.collect();
        let max_percent = match has_latency_critical {
            true => run.max_share_percent,
            false => 100,
        };
        run.headroom_share_percent = choose_share(
            before,
            &colocated,
            suspend_delays,
            may_change,
            throttles_best_effort,
        )
        .min(max_percent);
        changes.suspended += u32::from(run.headroom_share_percent == 0 && before > 0);
        changes.throttled +=
            u32::from(run.headroom_share_percent > 0 && before > run.headroom_share_percent);
        changes.raised += u32::from(before < run.headroom_share_percent);
    }
    if changes.suspended + changes.throttled + changes.raised == 0 {
        return None;
    }
    worker.next_share_change_ms = now_ms + MIN_CHANGE_INTERVAL_MS;
    Some(changes)
}
