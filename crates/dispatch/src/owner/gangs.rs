//! Steps whose tasks work only together.
//!
//! A member that is there without the others waits, holds room and ends alone after some
//! seconds. So all members are given their workers in one go, under one run number and
//! from one checkpoint, or none is. When one of them ends, the others are broken by their
//! workers, and the whole gang starts again.

use crate::event::Action;
use crate::event::Now;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::costs::TaskRequirements;
use crate::owner::job::JobKey;
use crate::owner::job::StepState;
use crate::owner::task::Placement;
use crate::owner::worker::WorkerKey;
use std::cmp::Reverse;
use std::collections::BTreeSet;

impl Owner {
    /// Places all tasks of a gang or none, and tells whether it still waits.
    pub(crate) fn place_gang(
        &mut self,
        key: JobKey,
        requirements: &TaskRequirements<'_>,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> bool {
        let first = requirements.task;
        let Some(state) = self.jobs[key].step_mut(first) else {
            return false;
        };
        let is_whole = state.tasks.iter().all(|task| task.is_waiting());
        let waits = state.tasks.iter().map(|task| task.not_before_ms);
        let not_before_ms = waits.max().unwrap_or(0);
        if !is_whole || not_before_ms > now.steady_ms {
            // The end of the last member that still runs comes with an event of its own.
            if is_whole {
                self.wake_ms = self.wake_ms.min(not_before_ms);
            }
            return true;
        }
        align(state);
        if self.is_used_up(first) {
            self.fail_crashing_job(key, first, now, actions);
            return false;
        }
        if let Some(until_ms) = self.undecided_until_ms(first, now.steady_ms) {
            self.wake_ms = self.wake_ms.min(until_ms);
            return true;
        }
        let count = requirements.step.count as usize;
        let mut members = (0..count as u16).map(|index| TaskId { index, ..first });
        if members.any(|member| self.has_orphan(member)) {
            return true;
        }
        let Some(workers) = self.find_gang(requirements, count, now.steady_ms) else {
            return true;
        };
        for (index, worker) in workers.into_iter().enumerate() {
            let id = TaskId {
                index: index as u16,
                ..first
            };
            self.assign(key, id, worker, now, actions);
        }
        false
    }

    /// Stops the other members of a gang of which one is gone. Left alone they would wait
    /// for it for seconds, hold room meanwhile and end for nothing.
    pub(crate) fn break_gang(&mut self, key: JobKey, id: TaskId) {
        let Some(state) = self.jobs[key].step_mut(id) else {
            return;
        };
        let mut others = Vec::new();
        for (index, task) in state.tasks.iter().enumerate() {
            let index = index as u16;
            if let Some(placement) = task.placement {
                others.push((TaskId { index, ..id }, placement));
            }
        }
        for (task, placement) in others {
            let Some(worker) = self.workers.get_mut(placement.worker) else {
                continue;
            };
            let Some(run) = worker.runs.get_mut(&(task, placement.run)) else {
                continue;
            };
            worker.has_orders = true;
            if run.request_stop() {
                self.lose_member(placement.worker, key, task, placement.run);
            }
        }
    }

    fn lose_member(&mut self, worker: WorkerKey, key: JobKey, id: TaskId, run: u32) {
        self.workers[worker].remove(id, run);
        let job = &mut self.jobs[key];
        if let Some(task) = job.task_mut(id) {
            task.release_run(Placement { run, worker });
        }
        if let Some(step) = job.step_mut(id) {
            step.recount();
        }
        job.is_dirty = true;
    }

    /// Finds workers for all members: on one rack if that matters and is possible.
    fn find_gang(
        &self,
        requirements: &TaskRequirements<'_>,
        count: usize,
        now_ms: u64,
    ) -> Option<Vec<WorkerKey>> {
        if requirements.step.is_rack_sensitive {
            let mut racks = BTreeSet::new();
            for worker in self.workers.values() {
                racks.insert(&worker.entry.rack);
            }
            for rack in racks {
                if let Some(workers) = self.fill_gang(requirements, count, Some(rack), now_ms) {
                    return Some(workers);
                }
            }
        }
        self.fill_gang(requirements, count, None, now_ms)
    }

    /// Takes the best workers one after the other, each for as many members as it holds.
    fn fill_gang(
        &self,
        requirements: &TaskRequirements<'_>,
        count: usize,
        rack: Option<&str>,
        now_ms: u64,
    ) -> Option<Vec<WorkerKey>> {
        let mut ranked = self.rank_workers(requirements, now_ms);
        let mut chosen = Vec::with_capacity(count);
        while chosen.len() < count {
            let Reverse((_, key)) = ranked.pop()?;
            let worker = &self.workers[key];
            if rack.is_some_and(|rack| *worker.entry.rack != *rack) {
                continue;
            }
            let resources = requirements.step.resources();
            let mut free = worker.free();
            let mut members = 0;
            while chosen.len() < count && free.can_fit(resources) {
                if requirements.step.max_per_worker > 0
                    && members == requirements.step.max_per_worker
                {
                    break;
                }
                free = free.minus(resources);
                members += 1;
                chosen.push(key);
            }
        }
        Some(chosen)
    }
}

/// Brings all members to one run number and one checkpoint. Checkpoints of a gang are
/// valid for all members; the greatest in the order of text is the furthest.
fn align(state: &mut StepState) {
    let run = state.tasks.iter().map(|task| task.run).max().unwrap_or(0);
    let checkpoint = state
        .tasks
        .iter()
        .map(|task| task.checkpoint.clone())
        .max()
        .unwrap_or_default();
    for task in &mut state.tasks {
        task.run = run;
        task.checkpoint.clone_from(&checkpoint);
    }
}

impl StepState {
    /// Counts the failures of all members, since the gang fails as one.
    pub(crate) fn gang_failures(&self) -> u32 {
        self.tasks.iter().map(|task| task.failures).sum()
    }
}
