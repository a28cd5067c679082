//! Slowing fillers down where a task that serves is over its target.
//!
//! Placement keeps fillers away from tasks that they are known to press; what is not
//! known yet, or changes with load, shows in the tails that each look tells. Fillers are
//! slowed by as much as the learned presses say is needed, and get their share back step
//! by step as far as they say that there is room. A task that stays over its target all
//! the same has every filler beside it halted, whatever was learned.

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
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Pause between two changes of the same worker: the tail is of the last half second, and
/// an order takes a tenth of a second to have its effect.
const PAUSE_MS: u64 = 700;
/// Smallest change that is worth an order.
const MIN_CHANGE_PERCENT: u32 = 5;

/// What a decision on the fillers of a worker has changed.
#[derive(Debug, Default)]
struct Shift {
    suspended: u32,
    slowed: u32,
    raised: u32,
}

impl Owner {
    /// Learns from what a worker has just listed, and decides on its fillers.
    pub(crate) fn adjust_best_effort(
        &mut self,
        key: WorkerKey,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let suspend_delays = SuspendDelays::new(self.bounds.harm_ms);
        let worker = &mut self.workers[key];
        worker.is_over_target = false;
        let is_new = has_new_gauges(worker) && self.bounds.policy.learns_interference;
        let mut uses = uses(worker);
        if is_new {
            worker.window.close(&mut uses);
        }
        for run in worker.runs.values_mut() {
            if !is_serving(run) {
                run.over_since_ms = None;
                continue;
            }
            let headroom = headroom(run.tail_latency_target_ms, run.gauge);
            if is_new {
                self.interference
                    .learn(run.image, &mut run.baseline, headroom, &uses);
            }
            if headroom < 1.0 {
                run.over_since_ms.get_or_insert(now_ms);
                worker.is_over_target = true;
            } else if headroom >= HEALTHY_HEADROOM {
                run.over_since_ms = None;
            }
        }
        if worker.best_effort_milli == 0 {
            worker.is_over_target = false;
            return;
        }
        let throttles_best_effort = self.bounds.policy.throttles_best_effort;
        if let Some(shift) = decide(
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
                    shift.suspended,
                    shift.slowed,
                    shift.raised,
                    worst_served(worker, now_ms)
                ),
            )));
        }
    }

    /// Sends the changes of share that are due.
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
                let differs = run.applied_share_percent.abs_diff(run.target_share_percent)
                    >= MIN_CHANGE_PERCENT;
                has_more |= is_stopping || differs;
                let is_there = matches!(run.phase, RunPhase::Present { .. });
                if !differs
                    || !is_there
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
            self.order(key, purpose, call, now_ms, tickets, actions);
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
        let Some(run) = self.workers[key].runs.get_mut(&(task, number)) else {
            return;
        };
        run.is_share_change_pending = false;
        match outcome {
            OrderOutcome::Done { .. } => run.applied_share_percent = percent,
            _ => run.share_retry_ms = now_ms + PAUSE_MS,
        }
    }
}

/// Tells whether a run serves users whose wait is known.
fn is_serving(run: &Run) -> bool {
    run.is_long_running && run.tail_latency_target_ms > 0 && run.percent >= 100 && run.gauge > 0
}

/// Tells whether the figures of a look are new, and notes them. Workers tell the same ones
/// for half a second, and learning from one twice would count it double.
fn has_new_gauges(worker: &mut Worker) -> bool {
    let mut is_new = false;
    for run in worker.runs.values_mut() {
        is_new |= run.gauge != run.previous_gauge;
        run.previous_gauge = run.gauge;
    }
    is_new
}

/// Adds up what the fillers on a worker use, by image and by the latest look.
fn uses(worker: &Worker) -> Vec<ImageUsage> {
    let mut uses: Vec<ImageUsage> = Vec::new();
    for run in worker.runs.values() {
        if !run.is_best_effort || run.gauge == 0 {
            continue;
        }
        let cores = run.gauge as f64 / 1_000.0;
        add_usage(&mut uses, run.image, cores);
    }
    uses
}

/// Describes the served task on a worker that is worst off.
fn worst_served(worker: &Worker, now_ms: u64) -> String {
    let mut worst: Option<(f64, String)> = None;
    for ((task, _), run) in &worker.runs {
        if !is_serving(run) {
            continue;
        }
        let headroom = headroom(run.tail_latency_target_ms, run.gauge);
        if worst.as_ref().is_none_or(|(least, _)| headroom < *least) {
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

/// Chooses the share of each filler on a worker, and tells what has changed. Between two
/// changes fillers are given time to show their effect; only a halt waits for nothing, since
/// the time after which a wait counts as harm runs on.
fn decide(
    worker: &mut Worker,
    interference: &InterferenceModel,
    suspend_delays: SuspendDelays,
    throttles_best_effort: bool,
    now_ms: u64,
) -> Option<Shift> {
    let may_shift = now_ms >= worker.next_share_change_ms;
    let mut served = Vec::new();
    for run in worker.runs.values() {
        if is_serving(run) {
            let over_ms = run.over_since_ms.map_or(0, |since_ms| now_ms - since_ms);
            let headroom = headroom(run.tail_latency_target_ms, run.gauge);
            served.push((run.image, headroom, over_ms));
        }
    }
    let mut shift = Shift::default();
    for run in worker.runs.values_mut() {
        if !run.is_best_effort {
            continue;
        }
        let before = run.target_share_percent;
        let cores = run.cpu_milli as f64 / 1_000.0;
        let services = served
            .iter()
            .map(|(serving, headroom, over_ms)| ColocatedTask {
                headroom: *headroom,
                over_ms: *over_ms,
                headroom_loss: interference.coefficient(*serving, run.image) * cores,
            });
        let services: Vec<ColocatedTask> = services.collect();
        run.target_share_percent = choose_share(
            before,
            &services,
            suspend_delays,
            may_shift,
            throttles_best_effort,
        );
        shift.suspended += u32::from(run.target_share_percent == 0 && before > 0);
        shift.slowed +=
            u32::from(run.target_share_percent > 0 && before > run.target_share_percent);
        shift.raised += u32::from(before < run.target_share_percent);
    }
    if shift.suspended + shift.slowed + shift.raised == 0 {
        return None;
    }
    worker.has_orders = true;
    worker.next_share_change_ms = now_ms + PAUSE_MS;
    Some(shift)
}
