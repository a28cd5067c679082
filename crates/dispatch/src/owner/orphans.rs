//! Runs that a worker lists and nobody here has placed there.
//!
//! They may be of a job that has ended, be an order of a former owner that was carried out late, or
//! have been given up while their worker could not be heard. No other run of their task begins
//! beside them.

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
    /// Takes back a run that was given up and is at work all the same, while its task runs nowhere
    /// else. Stopped, it would still be there while the next one begins. Tells whether it was.
    pub(super) fn reclaim_run(&mut self, key: WorkerKey, row: &RunReport, now_ms: u64) -> bool {
        let Some(job_key) = self.job_keys.get(&row.task.job).copied() else {
            return false;
        };
        let job = &mut self.jobs[job_key];
        // Members of a gang start together, under a number of their own.
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
        self.workers[key].add(row.task, row.run, run);
        true
    }

    /// A run that nobody here knows is stopped: it may be of a job that has ended, or an
    /// order of a former owner that was carried out late. It takes its room until it has
    /// ended; without that, a new owner would start too much beside the tasks of a job that
    /// was cancelled just before, where workers start whatever they are told to.
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

    /// Tells whether a run of a task is known to be there that is no more the task's own. The next
    /// one must not begin beside it.
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

    /// Makes a run of a task that may be of no job under way.
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
            // Nothing is known of it, so it may fill the worker.
            cpu_milli: self.workers[worker].entry.resources.cpu_milli,
            ..Step::default()
        });
        Run::new(&step, ImageKey::default(), phase, 0)
    }

    /// Gives the step of a task of a job that is over.
    fn finished_step(&self, task: TaskId) -> Option<Step> {
        let submission = self.finished_jobs.get(&task.job)?;
        submission.steps.get(usize::from(task.step)).cloned()
    }
}
