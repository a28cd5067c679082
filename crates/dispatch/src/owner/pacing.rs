//! Slowing fillers down where a task that serves is over its target.
//!
//! Placement keeps fillers away from tasks that they are known to press; what is not
//! known yet, or changes with load, shows in the tails that each look tells. Fillers are
//! slowed by as much as the learned presses say is needed, and get their share back step
//! by step as far as they say that there is room. A task that stays over its target all
//! the same has every filler beside it halted, whatever was learned.

use crate::event::Action;
use crate::event::OrderEnd;
use crate::event::WorkerCall;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::Purpose;
use crate::owner::interference::Interference;
use crate::owner::interference::Use;
use crate::owner::interference::ease;
use crate::owner::worker::Run;
use crate::owner::worker::RunPhase;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;

/// Ease below which fillers that press a task are slowed; at 1 its target is missed.
const CUT_EASE: f64 = 1.05;
/// Ease at which a task that was over its target is taken for well again. What looks tell
/// is rough by a tenth and more, so one figure just below the target proves nothing.
const WELL_EASE: f64 = 1.08;
/// Ease below which such fillers get nothing back.
const RAISE_EASE: f64 = 1.43;
/// Time over the target after which fillers that may be a cause are halted. Harm counts
/// after four seconds; a look, an order and its effect take one.
pub(crate) const SUSPECTS_HALT_MS: u64 = 1_300;
/// Time over the target after which every filler is halted: several that press by less than
/// can be told apart may do so together.
const ALL_HALT_MS: u64 = 2_200;
/// Pause between two changes of the same worker: the tail is of the last half second, and
/// an order takes a tenth of a second to have its effect.
const PAUSE_MS: u64 = 700;
/// What slowed fillers get more after each pause.
const RAISE_STEP_PERCENT: u32 = 25;
/// Below this share fillers are halted, so that they do no harm at all.
const HALT_PERCENT: u32 = 20;
/// Pressure of one filler at its full share that makes it a cause, or a suspect.
const CAUSE_PRESSURE: f64 = 0.12;
const SUSPECT_PRESSURE: f64 = 0.04;
/// Smallest change that is worth an order.
const CHANGE_LEAST_PERCENT: u32 = 5;
/// Time after which the answer to an order is no longer awaited.
const TIMEOUT_MS: u64 = 500;

impl Owner {
    /// Learns from what a worker has just listed, and decides on its fillers.
    pub(crate) fn judge_fillers(&mut self, key: WorkerKey, now_ms: u64) {
        let worker = &mut self.workers[key];
        let uses = uses(worker);
        for run in worker.runs.values_mut() {
            if !is_serving(run) {
                run.over_since_ms = None;
                continue;
            }
            let ease = ease(run.tail_target_ms, run.gauge);
            self.interference.learn(run.image, ease, &uses);
            if ease < 1.0 {
                run.over_since_ms.get_or_insert(now_ms);
            } else if ease >= WELL_EASE {
                run.over_since_ms = None;
            }
        }
        if worker.filler_milli > 0 && now_ms >= worker.pace_ms {
            decide(worker, &self.interference, now_ms);
        }
    }

    /// Sends the changes of share that are due.
    pub(crate) fn pace(&mut self, now_ms: u64, tickets: &mut u64, actions: &mut Vec<Action>) {
        let mut due = Vec::new();
        for (key, worker) in &mut self.workers {
            if !worker.has_orders || worker.is_silent() || !worker.is_known {
                continue;
            }
            let mut has_more = false;
            for ((task, number), run) in &mut worker.runs {
                let is_stopping = matches!(run.phase, RunPhase::Stopping { .. });
                let differs = run.pace_percent.abs_diff(run.share_percent) >= CHANGE_LEAST_PERCENT;
                has_more |= is_stopping || differs;
                let is_there = matches!(run.phase, RunPhase::Present { .. });
                if !differs || !is_there || run.is_pacing || now_ms < run.pace_again_ms {
                    continue;
                }
                run.is_pacing = true;
                due.push((key, *task, *number, run.share_percent));
            }
            worker.has_orders = has_more;
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

/// Tells whether a run serves users whose wait is known.
fn is_serving(run: &Run) -> bool {
    run.is_lasting && run.tail_target_ms > 0 && run.percent >= 100 && run.gauge > 0
}

/// Adds up what the fillers on a worker use, by image and by the latest look.
fn uses(worker: &Worker) -> Vec<Use> {
    let mut uses: Vec<Use> = Vec::new();
    for run in worker.runs.values() {
        if !run.is_filler || run.gauge == 0 {
            continue;
        }
        let cores = run.gauge as f64 / 1_000.0;
        match uses.iter_mut().find(|(image, _)| *image == run.image) {
            Some((_, sum)) => *sum += cores,
            None => uses.push((run.image, cores)),
        }
    }
    uses
}

/// Chooses the share of each filler on a worker.
fn decide(worker: &mut Worker, interference: &Interference, now_ms: u64) {
    let mut served = Vec::new();
    for run in worker.runs.values() {
        if is_serving(run) {
            let over_ms = run.over_since_ms.map_or(0, |since_ms| now_ms - since_ms);
            let ease = ease(run.tail_target_ms, run.gauge);
            served.push((run.image, ease, over_ms));
        }
    }
    let mut has_change = false;
    for run in worker.runs.values_mut() {
        if !run.is_filler {
            continue;
        }
        let before = run.share_percent;
        let cores = run.cpu_milli as f64 / 1_000.0;
        let mut wish = Wish::Raise;
        for (serving, ease, over_ms) in &served {
            let pressure = interference.press(*serving, run.image) * cores;
            wish = wish.min(wish_of(pressure, *ease, *over_ms));
        }
        run.share_percent = match wish {
            Wish::Halt => 0,
            Wish::Cut if before / 2 < HALT_PERCENT => 0,
            Wish::Cut => before / 2,
            Wish::Keep => before,
            Wish::Raise => (before + RAISE_STEP_PERCENT).min(100),
        };
        has_change |= before != run.share_percent;
    }
    if has_change {
        worker.has_orders = true;
        worker.pace_ms = now_ms + PAUSE_MS;
    }
}

/// What a served task wishes for a filler beside it; the strictest wish counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Wish {
    Halt,
    Cut,
    Keep,
    Raise,
}

fn wish_of(pressure: f64, ease: f64, over_ms: u64) -> Wish {
    let may_be_cause = over_ms >= SUSPECTS_HALT_MS && pressure >= SUSPECT_PRESSURE;
    if may_be_cause || over_ms >= ALL_HALT_MS {
        Wish::Halt
    } else if ease < CUT_EASE && pressure >= CAUSE_PRESSURE {
        Wish::Cut
    } else if ease < RAISE_EASE && pressure >= CAUSE_PRESSURE {
        Wish::Keep
    } else {
        Wish::Raise
    }
}
