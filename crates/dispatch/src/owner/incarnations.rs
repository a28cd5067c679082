//! Workers that start again under their id.
//!
//! The former incarnation is gone with all that it held: what ran there, which ends it had listed
//! and which were read, its clock, its room, and each promise not to start a run that was stopped.
//! So the new one is another worker to the owner, under a key of its own. Only runs that it lists
//! itself go over, as it may have got an order that was meant for the former one.

use crate::event::Action;
use crate::event::Listed;
use crate::event::Now;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::job::Placed;
use crate::owner::worker::Fate;
use crate::owner::worker::Run;
use crate::owner::worker::RunPhase;
use crate::owner::worker::WorkerKey;
use std::collections::BTreeSet;

impl Owner {
    /// Takes in which incarnation of a worker has answered, and gives the key under which it is
    /// known from now on.
    pub(super) fn meet_incarnation(
        &mut self,
        key: WorkerKey,
        listed: &Listed,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> WorkerKey {
        let worker = &mut self.workers[key];
        if listed.incarnation == worker.incarnation
            || listed.incarnation.started_wall_ms().is_none()
        {
            return key;
        }
        let is_other = listed.incarnation.differs_from(worker.incarnation);
        if is_other && (worker.is_known || !worker.runs.is_empty()) {
            return self.replace_incarnation(key, listed, now, actions);
        }
        worker.incarnation = listed.incarnation;
        worker.was_leaving = worker.entry.is_leaving && worker.is_reported();
        self.is_list_new = true;
        key
    }

    fn replace_incarnation(
        &mut self,
        former: WorkerKey,
        listed: &Listed,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> WorkerKey {
        let now_ms = now.steady_ms;
        let kept = self.take_listed(former, listed);
        self.note_burial(former, Fate::Restarted, now_ms, actions);
        let fall = self.describe_fall(former, Fate::Restarted, now_ms);
        let key = self.begin_incarnation(former, listed, now_ms);
        for (task, number, mut run) in kept {
            run.phase = match run.phase {
                // The promise not to start it later is gone with who gave it.
                RunPhase::Stopping { .. } | RunPhase::Stopped { .. } => {
                    RunPhase::Stopping { again_ms: 0 }
                }
                _ => RunPhase::Present { since_ms: now_ms },
            };
            self.move_run(former, key, task, number, run);
        }
        let lost: Vec<(TaskId, u32)> = self.workers[former].runs.keys().copied().collect();
        for (task, run) in lost {
            self.lose_run(former, task, run, now_ms);
        }
        self.workers.remove(former);
        self.take_fall(fall, now, actions);
        self.must_place = true;
        key
    }

    /// Makes the worker that stands for the new incarnation. What is reported may still be of the
    /// former one; nothing new is given to it until that has changed.
    fn begin_incarnation(&mut self, former: WorkerKey, listed: &Listed, now_ms: u64) -> WorkerKey {
        let former = &self.workers[former];
        let (entry, is_listed) = (former.entry.clone(), former.is_listed);
        let mut worker = self.meet(entry, now_ms);
        worker.is_listed = is_listed;
        worker.incarnation = listed.incarnation;
        worker.was_leaving = worker.entry.is_leaving && worker.is_reported();
        let id = worker.entry.id.clone();
        let key = self.workers.insert(worker);
        self.worker_keys.insert(id, key);
        self.is_list_new = true;
        key
    }

    /// Takes the runs off a worker that its new incarnation lists itself, at work or ended.
    fn take_listed(&mut self, key: WorkerKey, listed: &Listed) -> Vec<(TaskId, u32, Run)> {
        let mut ids: BTreeSet<(TaskId, u32)> = BTreeSet::new();
        ids.extend(listed.runs.iter().map(|row| (row.task, row.run)));
        ids.extend(listed.ends.iter().map(|end| (end.task, end.run)));
        let worker = &mut self.workers[key];
        let mut taken = Vec::new();
        for (task, number) in ids {
            if let Some(run) = worker.remove(task, number) {
                taken.push((task, number, run));
            }
        }
        taken
    }

    fn move_run(&mut self, from: WorkerKey, to: WorkerKey, task: TaskId, number: u32, run: Run) {
        self.workers[to].has_orders = true;
        self.workers[to].add(task, number, run);
        let job = self.job_keys.get(&task.job).copied();
        let Some(state) = job.and_then(|job| self.jobs[job].task_mut(task)) else {
            return;
        };
        let former = Placed {
            run: number,
            worker: from,
        };
        for place in [&mut state.placed, &mut state.copy].into_iter().flatten() {
            if *place == former {
                place.worker = to;
            }
        }
    }
}
