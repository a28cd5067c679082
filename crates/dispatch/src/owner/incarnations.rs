//! Handles workers that restart under their id.
//!
//! The previous incarnation took everything that it held with it: its runs, the exits that it had
//! listed and which of them were acknowledged, its clock, its reserved resources, and each promise
//! not to start a stopped run later. So the owner treats the new incarnation as another worker,
//! under a key of its own. Three kinds of runs move to it: those that it lists itself, as it may have
//! received an order that was meant for the previous incarnation, those that it may list as exited
//! later, and those whose order may still reach it. The owner stops the latter there before it
//! counts them as lost.

use crate::event::Action;
use crate::event::Now;
use crate::event::WorkerReport;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::restarts::RestartSource;
use crate::owner::task::Placement;
use crate::owner::worker::RemovalReason;
use crate::owner::worker::Run;
use crate::owner::worker::RunPhase;
use crate::owner::worker::WorkerKey;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// Time after which an order without an answer is no longer carried out. Workers carry out such
/// orders seconds late.
const LATE_START_MS: u64 = 15_000;

/// An order to start a run that had no answer, and when that was known.
#[derive(Debug, Clone, Copy)]
struct DoubtfulStart {
    task: TaskId,
    run: u32,
    since_ms: u64,
}

impl DoubtfulStart {
    /// Returns whether the order may still be carried out.
    fn is_open(&self, now_ms: u64) -> bool {
        now_ms < self.since_ms + LATE_START_MS
    }
}

/// Orders to start that may still be carried out, by the id of the worker. An order names its
/// worker by the id only, so any incarnation that has this id carries it out.
#[derive(Debug, Default)]
pub(super) struct DoubtfulStarts {
    by_worker: HashMap<Box<str>, Vec<DoubtfulStart>>,
}

impl DoubtfulStarts {
    /// Records that an order may be carried out late.
    pub(super) fn add(&mut self, worker: &str, task: TaskId, run: u32, now_ms: u64) {
        let starts = self.by_worker.entry(worker.into()).or_default();
        starts.retain(|start| start.is_open(now_ms));
        starts.push(DoubtfulStart {
            task,
            run,
            since_ms: now_ms,
        });
    }

    /// Lists the orders that a worker may still carry out.
    fn open_starts(&mut self, worker: &str, now_ms: u64) -> BTreeSet<(TaskId, u32)> {
        let starts = self.by_worker.get(worker).into_iter().flatten();
        let open = starts.filter(|start| start.is_open(now_ms));
        open.map(|start| (start.task, start.run)).collect()
    }

    /// Forgets orders that are too old to be carried out.
    pub(super) fn expire(&mut self, now_ms: u64) {
        self.by_worker.retain(|_, starts| {
            starts.retain(|start| start.is_open(now_ms));
            !starts.is_empty()
        });
    }
}

impl Owner {
    /// Matches the answer to a poll that was sent at `sent_ms` to an incarnation of the worker, and
    /// gives the key of that incarnation, which replaces the previous one if it has restarted.
    pub(super) fn match_incarnation(
        &mut self,
        key: WorkerKey,
        sent_ms: u64,
        report: &WorkerReport,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> WorkerKey {
        let worker = &mut self.workers[key];
        if report.incarnation == worker.incarnation
            || report.incarnation.started_wall_ms().is_none()
        {
            return key;
        }
        let is_other = report.incarnation.differs_from(worker.incarnation);
        if is_other && (worker.is_known || !worker.runs.is_empty()) {
            return self.replace_incarnation(key, sent_ms, report, now, actions);
        }
        if is_other {
            let source = RestartSource::Answer;
            self.record_restart(key, report.incarnation, source, now.steady_ms, actions);
        }
        let worker = &mut self.workers[key];
        worker.incarnation = report.incarnation;
        worker.was_leaving = worker.entry.is_leaving && worker.is_reported();
        self.unrecorded_workers.insert(worker.entry.id.clone());
        key
    }

    fn replace_incarnation(
        &mut self,
        previous: WorkerKey,
        sent_ms: u64,
        report: &WorkerReport,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> WorkerKey {
        let now_ms = now.steady_ms;
        let own_runs = self.split_own_runs(previous, sent_ms, report);
        self.record_removal(previous, RemovalReason::Restarted, now_ms, actions);
        let removed = self.describe_removal(previous, RemovalReason::Restarted, now_ms);
        let doubtful = self.take_doubtful_runs(previous, now_ms);
        let key = self.begin_incarnation(previous, report, now_ms, actions);
        for (task, number, mut run) in own_runs {
            run.phase = match run.phase {
                RunPhase::Inherited => RunPhase::Inherited,
                // Only the previous incarnation had promised not to start it later.
                RunPhase::Stopping { .. } | RunPhase::Stopped { .. } => {
                    RunPhase::Stopping { again_ms: 0 }
                }
                _ => RunPhase::Present { since_ms: now_ms },
            };
            self.move_run(previous, key, task, number, run);
        }
        for (task, number, mut run) in doubtful {
            run.phase = RunPhase::Stopping { again_ms: 0 };
            self.move_run(previous, key, task, number, run);
        }
        let lost_runs: Vec<(TaskId, u32)> = self.workers[previous].runs.keys().copied().collect();
        for (task, run) in lost_runs {
            self.lose_run(previous, task, run, now_ms);
        }
        self.workers.remove(previous);
        // Connections to the previous incarnation may hang.
        let address = self.workers[key].entry.address.clone();
        actions.push(Action::Disconnect { address });
        self.apply_removal(removed, now, actions);
        self.must_place = true;
        key
    }

    /// Makes the worker that represents the new incarnation. The platform's list may still describe
    /// the previous one; the new one gets no tasks until that has changed.
    fn begin_incarnation(
        &mut self,
        previous: WorkerKey,
        report: &WorkerReport,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) -> WorkerKey {
        let previous = &self.workers[previous];
        let (entry, is_listed, clock) =
            (previous.entry.clone(), previous.is_listed, previous.clock);
        let mut worker = self.make_worker(entry, now_ms);
        worker.is_listed = is_listed;
        // The clock came with the answer of this incarnation.
        worker.clock = clock;
        worker.incarnation = report.incarnation;
        // An entry that names no incarnation was read before, so it is of the previous one.
        worker.was_leaving =
            worker.entry.is_leaving && worker.entry.incarnation.is_same_as(report.incarnation);
        // Nothing was given to this incarnation but leases by the previous clock.
        worker.leases_expired_ms = 0;
        let id = worker.entry.id.clone();
        let key = self.workers.insert(worker);
        self.worker_keys.insert(id, key);
        let source = RestartSource::Answer;
        self.record_restart(key, report.incarnation, source, now_ms, actions);
        key
    }

    /// Removes and gives the runs of a worker that its new incarnation lists itself, as running or
    /// as ended, and those that were confirmed since the poll was sent: the new incarnation may have
    /// started them after it had answered, so only its next report shows whether they are there. If
    /// it does not list all of its exits, those that a previous owner has recorded are among them, as
    /// their orders may have reached the new incarnation.
    fn split_own_runs(
        &mut self,
        key: WorkerKey,
        sent_ms: u64,
        report: &WorkerReport,
    ) -> Vec<(TaskId, u32, Run)> {
        let mut ids: BTreeSet<(TaskId, u32)> = BTreeSet::new();
        ids.extend(report.runs.iter().map(|row| (row.task, row.run)));
        ids.extend(report.exits.iter().map(|exit| (exit.task, exit.run)));
        let worker = &mut self.workers[key];
        for (id, run) in &worker.runs {
            if matches!(run.phase, RunPhase::Present { since_ms } if since_ms >= sent_ms) {
                ids.insert(*id);
            }
        }
        if report.has_more_exits {
            let runs = worker.runs.iter();
            let inherited = runs.filter(|(_, run)| run.phase == RunPhase::Inherited);
            ids.extend(inherited.map(|(id, _)| *id));
        }
        let mut removed_runs = Vec::new();
        for (task, number) in ids {
            if let Some(run) = worker.remove(task, number) {
                removed_runs.push((task, number, run));
            }
        }
        removed_runs
    }

    /// Removes and gives the runs of a worker whose orders to start may still be carried out.
    fn take_doubtful_runs(&mut self, key: WorkerKey, now_ms: u64) -> Vec<(TaskId, u32, Run)> {
        let worker = &mut self.workers[key];
        for ((task, number), run) in &worker.runs {
            if run.may_start_late() {
                let id = &worker.entry.id;
                self.doubtful_starts.add(id, *task, *number, now_ms);
            }
        }
        let mut removed_runs = Vec::new();
        for (task, number) in self.doubtful_starts.open_starts(&worker.entry.id, now_ms) {
            if let Some(run) = worker.remove(task, number) {
                removed_runs.push((task, number, run));
            }
        }
        removed_runs
    }

    /// Records a run that is over at a worker if an order to start it may still be carried out. That
    /// it has ended or was stopped rules this out at its incarnation only: the next one would start it
    /// again, after its success or that of the run that replaced it.
    pub(super) fn record_doubtful_start(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        number: u32,
        run: &Run,
        now_ms: u64,
    ) {
        if run.may_start_late() {
            let id = &self.workers[key].entry.id;
            self.doubtful_starts.add(id, task, number, now_ms);
        }
    }

    fn move_run(&mut self, from: WorkerKey, to: WorkerKey, task: TaskId, number: u32, run: Run) {
        self.workers[to].has_orders = true;
        self.workers[to].add(task, number, run);
        let job = self.job_keys.get(&task.job).copied();
        let Some(state) = job.and_then(|job| self.jobs[job].task_mut(task)) else {
            return;
        };
        let previous = Placement {
            run: number,
            worker: from,
        };
        for moved in [&mut state.placement, &mut state.copy]
            .into_iter()
            .flatten()
        {
            if *moved == previous {
                moved.worker = to;
            }
        }
    }

    /// Stops the runs whose orders may still reach a worker that answers for the first time, so
    /// that it does not start them later. Runs that it lists have already reached it.
    pub(super) fn block_late_starts(&mut self, key: WorkerKey, report: &WorkerReport, now_ms: u64) {
        let id = self.workers[key].entry.id.clone();
        for (task, number) in self.doubtful_starts.open_starts(&id, now_ms) {
            let mut run_exits = report.exits.iter();
            let has_ended = run_exits.any(|exit| exit.task == task && exit.run == number);
            if has_ended || self.workers[key].runs.contains_key(&(task, number)) {
                continue;
            }
            let phase = RunPhase::Stopping { again_ms: 0 };
            let mut run = self.make_unknown_run(task, phase, key);
            run.is_orphan = true;
            let worker = &mut self.workers[key];
            worker.has_orders = true;
            worker.add(task, number, run);
        }
    }
}
