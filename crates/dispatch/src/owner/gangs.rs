//! Gangs: steps whose tasks can only work together.
//!
//! A member that runs without the others waits, occupies resources and exits after some seconds.
//! Therefore either all members are assigned workers in the same pass, under one run number and
//! from one checkpoint, or none is. When a member exits, the workers of the other members end those
//! too, and the whole gang restarts.

use crate::event::Action;
use crate::event::Now;
use crate::ids::StepId;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::costs::Isolation;
use crate::owner::costs::TaskRequirements;
use crate::owner::job::JobKey;
use crate::owner::job::StepState;
use crate::owner::task::Placement;
use crate::owner::worker::WorkerKey;
use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Time for which a gang waits for other workers than those on which its last run failed. It would
/// otherwise use up its attempts within a second while all others are busy for a moment.
const RETURN_DELAY_MS: u64 = 1_500;

/// The newest run of a gang in which members have failed. On a worker that fails all that it starts,
/// each of them does, and yet only one run has failed.
#[derive(Debug, Clone, Default)]
pub(crate) struct FailedRun {
    /// Its number; 0 if no run has failed.
    number: u32,
    /// Workers on which members of it have failed.
    workers: Vec<WorkerKey>,
    /// When the first of them failed.
    failed_ms: u64,
}

impl FailedRun {
    /// Records that a member has failed on a worker. Returns whether it is the first one of its run
    /// on this worker.
    fn record(&mut self, number: u32, worker: WorkerKey, now_ms: u64) -> bool {
        if number > self.number {
            *self = Self {
                number,
                workers: Vec::new(),
                failed_ms: now_ms,
            };
        }
        if number == self.number && self.workers.contains(&worker) {
            return false;
        }
        if number == self.number {
            self.workers.push(worker);
        }
        true
    }

    /// Returns whether the gang may run on the same workers again if it finds no others.
    fn may_return(&self, now_ms: u64) -> bool {
        now_ms >= self.failed_ms + RETURN_DELAY_MS
    }
}

impl Owner {
    /// Records that a task has failed on a worker. Returns whether the worker has failed once more,
    /// which it has not if another member of the same run of a gang has failed there.
    pub(crate) fn record_failure(
        &mut self,
        id: TaskId,
        number: u32,
        worker: WorkerKey,
        now_ms: u64,
    ) -> bool {
        let Some(key) = self.job_keys.get(&id.job).copied() else {
            return true;
        };
        let job = &mut self.jobs[key];
        if job.step(id).is_none_or(|step| !step.is_gang) {
            return true;
        }
        let state = job.step_mut(id);
        state.is_none_or(|state| state.failed_run.record(number, worker, now_ms))
    }

    /// Places all tasks of a gang or none. Returns whether the gang still waits.
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
        let is_fully_waiting = state.tasks.iter().all(|task| task.is_waiting());
        let not_before = state.tasks.iter().map(|task| task.not_before_ms);
        let not_before_ms = not_before.max().unwrap_or(0);
        if !is_fully_waiting || not_before_ms > now.steady_ms {
            // No timer is needed for a member that still runs: its exit is an event.
            if is_fully_waiting {
                self.wake_ms = self.wake_ms.min(not_before_ms);
            }
            return true;
        }
        align_members(state);
        if self.is_used_up(first, now.steady_ms) {
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
        let Some(workers) =
            self.find_isolated_gang_workers(key, requirements, now.steady_ms, actions)
        else {
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

    /// Stops the remaining members of a gang that has lost a member. Otherwise they would wait for
    /// it for seconds, occupy resources meanwhile and exit without a result.
    pub(crate) fn stop_gang(&mut self, key: JobKey, id: TaskId) {
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
                self.drop_member(placement.worker, key, task, placement.run);
            }
        }
    }

    fn drop_member(&mut self, worker: WorkerKey, key: JobKey, id: TaskId, run: u32) {
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

    /// Finds workers for all members. A suspected gang waits for a limited time until it can be
    /// alone.
    fn find_isolated_gang_workers(
        &mut self,
        key: JobKey,
        requirements: &TaskRequirements<'_>,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) -> Option<Vec<WorkerKey>> {
        let count = requirements.step.count as usize;
        let first = requirements.task;
        if self.needed_isolation(first, now_ms) != Isolation::Alone {
            return self.find_gang_workers(requirements, count, now_ms);
        }
        let alone = TaskRequirements {
            isolation: Isolation::Alone,
            ..requirements.clone()
        };
        if let Some(workers) = self.find_gang_workers(&alone, count, now_ms) {
            return Some(workers);
        }
        for worker in self.find_gang_workers(requirements, count, now_ms)? {
            self.workers[worker].reserve(first.job, now_ms);
        }
        self.await_isolation(key, first, now_ms, actions);
        None
    }

    /// Finds workers for all members, at first only others than those on which the last run failed.
    fn find_gang_workers(
        &self,
        requirements: &TaskRequirements<'_>,
        count: usize,
        now_ms: u64,
    ) -> Option<Vec<WorkerKey>> {
        let id = requirements.task;
        let job = self.job_keys.get(&id.job).map(|key| &self.jobs[*key]);
        let failed = &job?.step_state(id)?.failed_run;
        let others = self.find_workers_except(&failed.workers, requirements, count, now_ms);
        if others.is_some() || failed.workers.is_empty() || !failed.may_return(now_ms) {
            return others;
        }
        self.find_workers_except(&[], requirements, count, now_ms)
    }

    /// Finds workers for all members, within one rack if the step is rack-sensitive and a rack has
    /// sufficient resources.
    fn find_workers_except(
        &self,
        excluded: &[WorkerKey],
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
                let workers =
                    self.choose_workers(excluded, requirements, count, Some(rack), now_ms);
                if workers.is_some() {
                    return workers;
                }
            }
        }
        self.choose_workers(excluded, requirements, count, None, now_ms)
    }

    /// Chooses workers in order of cost, each for as many members as fit on it.
    fn choose_workers(
        &self,
        excluded: &[WorkerKey],
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
            if excluded.contains(&key) || rack.is_some_and(|rack| *worker.entry.rack != *rack) {
                continue;
            }
            let resources = requirements.step.resources();
            let mut free = worker.free_for(StepId::of(requirements.task), requirements.precedence);
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

/// Sets all members to the same run number and checkpoint. A checkpoint of a gang is valid for all
/// members. The lexicographically greatest one is the furthest.
pub(super) fn align_members(state: &mut StepState) {
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
    /// Counts a failed run, which is that of a gang if `is_gang`: for the member that failed first
    /// in it, as owners of former releases add up the failures of all members.
    pub(crate) fn count_failed_run(&mut self, id: TaskId, number: u32, is_gang: bool) {
        if is_gang && number <= self.counted_run {
            return;
        }
        if is_gang {
            self.counted_run = number;
        }
        if let Some(task) = self.tasks.get_mut(usize::from(id.index)) {
            task.failures += 1;
        }
    }

    /// Returns the number of failed runs of a task, or of its gang.
    pub(crate) fn failures_of(&self, id: TaskId, is_gang: bool) -> u32 {
        match is_gang {
            true => self.gang_failures(),
            false => self
                .tasks
                .get(usize::from(id.index))
                .map_or(0, |task| task.failures),
        }
    }

    /// Returns the number of failed runs of a gang.
    fn gang_failures(&self) -> u32 {
        self.tasks.iter().map(|task| task.failures).sum()
    }
}
