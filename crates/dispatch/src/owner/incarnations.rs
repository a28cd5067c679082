//! Workers that start again under their id.
//!
//! The former incarnation is gone with all that it held: what ran there, which ends it had listed
//! and which were read, its clock, its room, and each promise not to start a run that was stopped.
//! So the new one is another worker to the owner, under a key of its own. Two things go over: runs
//! that it lists itself, as it may have got an order that was meant for the former one, and runs
//! whose order may still reach it, which it has to bar before they count as lost.

use crate::event::Action;
use crate::event::Listed;
use crate::event::Now;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::task::Placed;
use crate::owner::worker::Fate;
use crate::owner::worker::Run;
use crate::owner::worker::RunPhase;
use crate::owner::worker::WorkerKey;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// Time after which an order that had no answer is no longer carried out. Workers are seconds late
/// with such orders.
const LATE_MS: u64 = 15_000;

/// An order to start a run that had no answer, and when that was known.
#[derive(Debug, Clone, Copy)]
struct DoubtfulStart {
    task: TaskId,
    run: u32,
    since_ms: u64,
}

impl DoubtfulStart {
    /// Tells whether the order may still be carried out.
    fn is_open(&self, now_ms: u64) -> bool {
        now_ms < self.since_ms + LATE_MS
    }
}

/// Orders to start that may still be carried out, by the id of the worker. The id is all that an
/// order names, so whoever bears it then carries it out.
#[derive(Debug, Default)]
pub(super) struct DoubtfulStarts {
    by_worker: HashMap<Box<str>, Vec<DoubtfulStart>>,
}

impl DoubtfulStarts {
    /// Notes that an order may be carried out late.
    pub(super) fn note(&mut self, worker: &str, task: TaskId, run: u32, now_ms: u64) {
        let starts = self.by_worker.entry(worker.into()).or_default();
        starts.retain(|start| start.is_open(now_ms));
        starts.push(DoubtfulStart {
            task,
            run,
            since_ms: now_ms,
        });
    }

    /// Lists the orders that a worker may still carry out.
    fn list(&mut self, worker: &str, now_ms: u64) -> BTreeSet<(TaskId, u32)> {
        let starts = self.by_worker.get(worker).into_iter().flatten();
        let open = starts.filter(|start| start.is_open(now_ms));
        open.map(|start| (start.task, start.run)).collect()
    }

    /// Forgets what is too old to be carried out.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.by_worker.retain(|_, starts| {
            starts.retain(|start| start.is_open(now_ms));
            !starts.is_empty()
        });
    }
}

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
        self.unnoted.insert(worker.entry.id.clone());
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
        let doubtful = self.take_doubtful(former, now_ms);
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
        for (task, number, mut run) in doubtful {
            run.phase = RunPhase::Stopping { again_ms: 0 };
            self.move_run(former, key, task, number, run);
        }
        let lost: Vec<(TaskId, u32)> = self.workers[former].runs.keys().copied().collect();
        for (task, run) in lost {
            self.lose_run(former, task, run, now_ms);
        }
        self.workers.remove(former);
        // Connections that were open to the former one may hang.
        let address = self.workers[key].entry.address.clone();
        actions.push(Action::Forget { address });
        self.take_fall(fall, now, actions);
        self.must_place = true;
        key
    }

    /// Makes the worker that stands for the new incarnation. What is reported may still be of the
    /// former one; nothing new is given to it until that has changed.
    fn begin_incarnation(&mut self, former: WorkerKey, listed: &Listed, now_ms: u64) -> WorkerKey {
        let former = &self.workers[former];
        let (entry, is_listed, clock) = (former.entry.clone(), former.is_listed, former.clock);
        let mut worker = self.meet(entry, now_ms);
        worker.is_listed = is_listed;
        // It came with the answer that tells of this incarnation.
        worker.clock = clock;
        worker.incarnation = listed.incarnation;
        worker.was_leaving = worker.entry.is_leaving && worker.is_reported();
        // What it got by the clock of its former life it grants for as long as it ever does.
        worker.lapsed_ms = now_ms + self.longest_lease_span_ms();
        let id = worker.entry.id.clone();
        let key = self.workers.insert(worker);
        self.unnoted.insert(id.clone());
        self.worker_keys.insert(id, key);
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

    /// Takes the runs off a worker whose orders may still be carried out.
    fn take_doubtful(&mut self, key: WorkerKey, now_ms: u64) -> Vec<(TaskId, u32, Run)> {
        self.note_unanswered(key, now_ms);
        let worker = &mut self.workers[key];
        let mut taken = Vec::new();
        for (task, number) in self.doubtful_starts.list(&worker.entry.id, now_ms) {
            if let Some(run) = worker.remove(task, number) {
                taken.push((task, number, run));
            }
        }
        taken
    }

    /// Notes the orders to start of which nothing will be heard, as their worker is given up.
    pub(super) fn note_unanswered(&mut self, key: WorkerKey, now_ms: u64) {
        let worker = &self.workers[key];
        for ((task, number), run) in &worker.runs {
            if run.phase == RunPhase::Sent {
                let id = &worker.entry.id;
                self.doubtful_starts.note(id, *task, *number, now_ms);
            }
        }
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

    /// Has a worker that answers for the first time bar the runs whose orders may still reach it.
    /// Those that it lists have reached it.
    pub(super) fn bar_late_starts(&mut self, key: WorkerKey, listed: &Listed, now_ms: u64) {
        let id = self.workers[key].entry.id.clone();
        for (task, number) in self.doubtful_starts.list(&id, now_ms) {
            let mut ends = listed.ends.iter();
            let has_ended = ends.any(|end| end.task == task && end.run == number);
            if has_ended || self.workers[key].runs.contains_key(&(task, number)) {
                continue;
            }
            let phase = RunPhase::Stopping { again_ms: 0 };
            let mut run = self.make_unknown_run(task, phase, key);
            run.is_stray = true;
            let worker = &mut self.workers[key];
            worker.has_orders = true;
            worker.add(task, number, run);
        }
    }
}
