//! Orphans: runs that a worker reports and that this owner has not placed there.
//!
//! An orphan may belong to a finished job, result from an order of a previous owner that was
//! carried out late, or have been given up while its worker did not answer. No other run of its
//! task starts while it is present.

use crate::event::RunReport;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::task::Placement;
use crate::owner::worker::Run;
use crate::owner::worker::RunPhase;
use crate::owner::worker::WorkerKey;
use crate::policy::images::ImageKey;
use crate::record::Step;

impl Owner {
    /// Reclaims a run that was given up but is still running while its task runs nowhere else. If
    /// it were stopped instead, it would still be present when the next run starts. Returns whether
    /// the run was reclaimed.
    pub(super) fn reclaim_run(&mut self, key: WorkerKey, row: &RunReport, now_ms: u64) -> bool {
        let Some(job_key) = self.job_keys.get(&row.task.job).copied() else {
            return false;
        };
        let job = &mut self.jobs[job_key];
        // All members of a gang start together, under a common run number.
        let is_gang = job.step(row.task).is_some_and(|step| step.is_gang);
        if is_gang || job.phase.is_final() {
            return false;
        }
        let Some(task) = job.task_mut(row.task) else {
            return false;
        };
        if !task.is_waiting() || task.run != row.run {
            return false;
        }
        task.placement = Some(Placement {
            run: row.run,
            worker: key,
        });
        if let Some(step) = job.step_mut(row.task) {
            step.recount();
        }
        job.is_dirty = true;
        let phase = RunPhase::Present { since_ms: now_ms };
        let mut run = self.make_run(job_key, row.task, phase, now_ms);
        run.is_probe = self.suspected_at(row.task).is_some();
        run.is_test = self.must_be_alone(row.task);
        self.workers[key].add(row.task, row.run, run);
        true
    }

    /// Adds an unknown run, which is stopped unless its job's progress has not been read yet. The
    /// run may belong to a finished job, or result from an order of a previous owner that was
    /// carried out late. It occupies its resources until it exits. Otherwise, a new owner would
    /// overcommit workers beside the tasks of a job that was cancelled just before, where workers
    /// start whatever they are ordered to.
    pub(super) fn add_orphan(&mut self, key: WorkerKey, row: &RunReport, now_ms: u64) {
        let phase = match self.unread_progress.contains_key(&row.task.job) {
            true => RunPhase::Present { since_ms: now_ms },
            false => RunPhase::Stopping { again_ms: 0 },
        };
        let mut run = self.make_unknown_run(row.task, phase, key);
        run.is_orphan = true;
        self.workers[key].has_orders = true;
        self.workers[key].add(row.task, row.run, run);
        if self.job_keys.contains_key(&row.task.job) {
            self.orphans.insert(row.task, (key, row.run));
        }
    }

    /// Returns whether an orphan of a task is present at a worker. The next run of the task must
    /// not start beside it.
    pub(super) fn has_orphan(&mut self, task: TaskId) -> bool {
        let Some((worker, run)) = self.orphans.get(&task).copied() else {
            return false;
        };
        let worker = self.workers.get(worker);
        let is_present = worker.is_some_and(|worker| worker.runs.contains_key(&(task, run)));
        if !is_present {
            self.orphans.remove(&task);
        }
        is_present
    }

    /// Makes a run of a task whose job may be finished or unknown.
    pub(super) fn make_unknown_run(
        &mut self,
        task: TaskId,
        phase: RunPhase,
        worker: WorkerKey,
    ) -> Run {
        if let Some(job) = self.job_keys.get(&task.job).copied() {
            return self.make_run(job, task, phase, 0);
        }
        let step = self.finished_step(task).unwrap_or_else(|| Step {
            // Nothing is known of the step, so its run may use the whole worker.
            cpu_milli: self.workers[worker].entry.resources.cpu_milli,
            ..Step::default()
        });
        Run::new(&step, ImageKey::default(), phase, 0)
    }

    /// Returns the step of a task of a finished job.
    fn finished_step(&self, task: TaskId) -> Option<Step> {
        let submission = self.finished_jobs.get(&task.job)?;
        submission.steps.get(usize::from(task.step)).cloned()
    }
}
