//! Slowing fillers down where a task that serves is over its target.
//!
//! Placement keeps fillers away from tasks that they are known to disturb; what is not
//! known yet, or changes with load, shows in the tails that each look tells. Only the
//! fillers that press a task over its target are slowed, by what was learned of the pair,
//! and they get their share back step by step once its tail is well below.

use crate::event::Action;
use crate::event::OrderEnd;
use crate::event::WorkerCall;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::Purpose;
use crate::owner::images::ImageKey;
use crate::owner::interference::Interference;
use crate::owner::interference::Use;
use crate::owner::worker::RunPhase;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;

/// Tail, in percent of the target, from which fillers are slowed down.
const CUT_PERCENT: u64 = 95;
/// Tail, in percent of the target, below which fillers may work more.
const RAISE_PERCENT: u64 = 70;
/// Pause between two changes of the same worker: the tail is of the last half second, and
/// an order takes a tenth of a second to have its effect.
const PAUSE_MS: u64 = 700;
/// What slowed fillers get more after each pause.
const RAISE_STEP_PERCENT: u32 = 25;
/// Below this share fillers are halted, so that they do no harm at all.
const HALT_PERCENT: u32 = 20;
/// Pressure of one filler, in the logarithm of the tail, that is worth slowing it for.
const BLAME_LEAST: f64 = 0.06;
/// Smallest change that is worth an order.
const CHANGE_LEAST_PERCENT: u32 = 5;
/// Time after which the answer to an order is no longer awaited.
const TIMEOUT_MS: u64 = 800;

impl Owner {
    /// Learns from what a worker has just listed, and decides on its fillers.
    pub(crate) fn judge_fillers(&mut self, key: WorkerKey, now_ms: u64) {
        let worker = &mut self.workers[key];
        let uses = uses(worker);
        for run in worker.runs.values() {
            let is_at_work = run.is_lasting && run.percent >= 100 && run.gauge > 0;
            if is_at_work && run.tail_target_ms > 0 {
                self.interference.learn(run.image, run.gauge, &uses);
            }
        }
        if worker.filler_milli > 0 && now_ms >= worker.raise_ms {
            decide(worker, &self.interference, now_ms);
        }
    }

    /// Sends the changes of share that are due.
    pub(crate) fn pace(&mut self, now_ms: u64, tickets: &mut u64, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for (key, worker) in &mut self.workers {
            if worker.filler_milli == 0 || worker.is_silent || !worker.is_known {
                continue;
            }
            for ((task, number), run) in &mut worker.runs {
                let is_there = matches!(run.phase, RunPhase::Present { .. });
                if !run.is_filler || !is_there || run.is_pacing || now_ms < run.pace_again_ms {
                    continue;
                }
                if run.pace_percent.abs_diff(run.share_percent) >= CHANGE_LEAST_PERCENT {
                    run.is_pacing = true;
                    due.push((key, *task, *number, run.share_percent));
                }
            }
        }
        for (key, task, run, percent) in due {
            self.figures.paces += 1;
            let call = WorkerCall::Pace { task, run, percent };
            let purpose = Purpose::Pace { task, run, percent };
            self.order(key, purpose, call, TIMEOUT_MS, tickets, actions);
        }
    }

    pub(crate) fn end_pace(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        number: u32,
        percent: u32,
        end: &OrderEnd,
        now_ms: u64,
    ) {
        let Some(run) = self.workers[key].runs.get_mut(&(task, number)) else {
            return;
        };
        run.is_pacing = false;
        match end {
            OrderEnd::Done { .. } => run.pace_percent = percent,
            _ => run.pace_again_ms = now_ms + PAUSE_MS,
        }
    }
}

/// Lists what the fillers on a worker use, by the latest look.
fn uses(worker: &Worker) -> Vec<Use> {
    let mut uses = Vec::new();
    for run in worker.runs.values() {
        if run.is_filler && run.gauge > 0 {
            uses.push((run.image, run.gauge as f64 / 1_000.0));
        }
    }
    uses
}

/// Chooses the share of each filler on a worker.
fn decide(worker: &mut Worker, interference: &Interference, now_ms: u64) {
    let mut hot = Vec::new();
    let mut warm = Vec::new();
    for run in worker.runs.values() {
        let Some(percent) = (run.gauge * 100).checked_div(run.tail_target_ms) else {
            continue;
        };
        if percent >= CUT_PERCENT {
            hot.push(run.image);
        } else if percent >= RAISE_PERCENT {
            warm.push(run.image);
        }
    }
    let mut has_change = false;
    for run in worker.runs.values_mut() {
        if !run.is_filler {
            continue;
        }
        let cores = run.cpu_milli as f64 / 1_000.0;
        let blame = |images: &[ImageKey]| {
            let mut most: f64 = 0.0;
            for image in images {
                most = most.max(interference.press(*image, run.image) * cores);
            }
            most
        };
        let before = run.share_percent;
        if blame(&hot) >= BLAME_LEAST {
            let halved = before / 2;
            run.share_percent = if halved < HALT_PERCENT { 0 } else { halved };
        } else if before < 100 && blame(&warm) < BLAME_LEAST {
            run.share_percent = (before + RAISE_STEP_PERCENT).min(100);
        }
        has_change |= before != run.share_percent;
    }
    if has_change {
        worker.raise_ms = now_ms + PAUSE_MS;
    }
}
