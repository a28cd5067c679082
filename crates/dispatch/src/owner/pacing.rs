//! Slowing fillers down where a task that serves is over its target.
//!
//! Fillers disturb the tasks beside them by amounts that differ by what they run and
//! change within seconds. The tail of a serving task is told with each look, so the
//! share of fillers on its worker is cut at once when the tail nears the target, and
//! raised slowly when it is well below.

use crate::event::Action;
use crate::event::OrderEnd;
use crate::event::WorkerCall;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::Purpose;
use crate::owner::worker::RunPhase;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;

/// Tail, in percent of the target, from which fillers are slowed down.
const CUT_PERCENT: u64 = 90;
/// Tail, in percent of the target, below which fillers may work more.
const RAISE_PERCENT: u64 = 65;
/// Pause between two changes of the same worker: the tail is of the last half second.
const PAUSE_MS: u64 = 700;
/// What fillers get more after each pause.
const RAISE_STEP_PERCENT: u32 = 20;
/// Below this share fillers are halted, so that they do no harm at all.
const HALT_PERCENT: u32 = 15;
/// Smallest change that is worth an order.
const CHANGE_LEAST_PERCENT: u32 = 5;
/// Time after which the answer to an order is no longer awaited.
const TIMEOUT_MS: u64 = 800;

impl Owner {
    /// Changes the share of fillers where that is due.
    pub(crate) fn pace(&mut self, now_ms: u64, tickets: &mut u64, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for (key, worker) in &mut self.workers {
            if worker.filler_milli == 0 || worker.is_silent || !worker.is_known {
                continue;
            }
            decide(worker, now_ms);
            let percent = worker.filler_percent;
            for ((task, number), run) in &mut worker.runs {
                let is_there = matches!(run.phase, RunPhase::Present { .. });
                if !run.is_filler || !is_there || run.is_pacing {
                    continue;
                }
                if run.pace_percent.abs_diff(percent) >= CHANGE_LEAST_PERCENT {
                    run.is_pacing = true;
                    due.push((key, *task, *number, percent));
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
    ) {
        if let Some(run) = self.workers[key].runs.get_mut(&(task, number)) {
            run.is_pacing = false;
            if matches!(end, OrderEnd::Done { .. }) {
                run.pace_percent = percent;
            }
        }
    }
}

/// Chooses the share of fillers on a worker by the worst of its serving tasks.
fn decide(worker: &mut Worker, now_ms: u64) {
    let mut worst_percent = 0;
    for run in worker.runs.values() {
        let percent = (run.gauge * 100).checked_div(run.tail_target_ms);
        worst_percent = worst_percent.max(percent.unwrap_or(0));
    }
    if now_ms < worker.raise_ms {
        return;
    }
    if worst_percent >= CUT_PERCENT {
        let halved = worker.filler_percent / 2;
        worker.filler_percent = if halved < HALT_PERCENT { 0 } else { halved };
        worker.raise_ms = now_ms + PAUSE_MS;
    } else if worst_percent < RAISE_PERCENT && worker.filler_percent < 100 {
        worker.filler_percent = (worker.filler_percent + RAISE_STEP_PERCENT).min(100);
        worker.raise_ms = now_ms + PAUSE_MS;
    }
}
