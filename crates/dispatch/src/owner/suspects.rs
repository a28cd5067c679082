//! Clears tasks that prove harmless, and fails jobs whose tasks crash their workers.

use crate::event::Action;
use crate::event::Now;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::job::JobKey;
use crate::record::JobPhase;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

impl Owner {
    /// Starts or continues to wait until a suspected task can be placed apart from other suspects.
    pub(super) fn await_isolation(
        &mut self,
        key: JobKey,
        id: TaskId,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let since = self.owner_time(now_ms);
        let job = &mut self.jobs[key];
        let Some(task) = job.task_mut(id) else {
            return;
        };
        let is_new = task.isolation_until_ms.is_none();
        let until_ms = task.wait_for_isolation(now_ms);
        if is_new {
            task.isolation_since = Some(since);
            let suspicion = &task.suspicion;
            actions.push(Action::Note(Note::new(
                Code::IsolationAwaited,
                id.to_string(),
                format!(
                    "at_most_ms={} confirmed={} possible={} unresolved={} starts={}",
                    until_ms.saturating_sub(now_ms),
                    suspicion.confirmed,
                    suspicion.possible,
                    task.unresolved_crashes(),
                    suspicion.starts
                ),
            )));
            job.is_dirty = true;
        }
        self.wake_ms = self.wake_ms.min(until_ms);
    }

    /// Fails a job because one of its tasks crashes its workers.
    pub(super) fn fail_crashing_job(
        &mut self,
        key: JobKey,
        task: TaskId,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let job = &self.jobs[key];
        if job.phase.is_final() {
            return;
        }
        let suspicion = job
            .task(self.suspicion_unit(task))
            .map(|state| &state.suspicion);
        let (confirmed, crashes) = suspicion.map_or((0, 0), |it| (it.confirmed, it.crashes));
        actions.push(Action::Note(Note::new(
            Code::JobFailed,
            task.job.to_string(),
            format!("task={task} why=crashes confirmed={confirmed} crashes={crashes}"),
        )));
        self.stats.crashing_jobs_failed += 1;
        self.finish(key, JobPhase::Failed, now, actions);
    }

    /// Clears the suspicion of a task, as one of its runs is stable. For a gang, the runs of all
    /// members must be stable, as those of the other members still run when one has just crashed
    /// its worker.
    pub(super) fn clear_suspicion(&mut self, task: TaskId) {
        let suspicion_unit = self.suspicion_unit(task);
        let Some(key) = self.job_keys.get(&task.job).copied() else {
            return;
        };
        if let Some(state) = self.jobs[key].task_mut(task) {
            state.failed_starts = 0;
        }
        let job = &self.jobs[key];
        let (Some(step), Some(state)) = (job.step(task), job.task(suspicion_unit)) else {
            return;
        };
        let is_long_running = step.is_long_running;
        let is_open = state.is_suspect() || is_long_running && state.suspicion.crashes > 0;
        if step.is_gang && !self.is_gang_stable(key, task) {
            return;
        }
        self.clear_evidence(task);
        if !is_open {
            return;
        }
        let job = &mut self.jobs[key];
        if let Some(state) = job.task_mut(suspicion_unit) {
            state.suspicion.clear(is_long_running);
            state.lost_runs.retain(|lost_run| !lost_run.is_suspect);
            job.is_dirty = true;
        }
    }

    fn is_gang_stable(&self, key: JobKey, member: TaskId) -> bool {
        let job = &self.jobs[key];
        let count = job.step(member).map_or(0, |step| step.count) as u16;
        (0..count).all(|index| {
            let id = TaskId { index, ..member };
            let placement = job.task(id).and_then(|task| task.placement);
            let run = placement.and_then(|placement| {
                let worker = self.workers.get(placement.worker)?;
                worker.runs.get(&(id, placement.run))
            });
            run.is_some_and(|run| run.is_stable)
        })
    }

    /// Clears a task of all crashes so far, as a run of it was stable or has succeeded. That may
    /// leave other tasks as the only possible cause.
    pub(super) fn clear_evidence(&mut self, task: TaskId) {
        let suspicion_unit = self.suspicion_unit(task);
        let convicted = self.crashes.evidence.clear(suspicion_unit);
        self.crashes.convicted.extend(convicted);
    }

    /// Fails the jobs of the tasks that were found to be to blame.
    pub(super) fn fail_convicted(&mut self, now: Now, actions: &mut Vec<Action>) {
        for task in std::mem::take(&mut self.crashes.convicted) {
            let Some(key) = self.job_keys.get(&task.job).copied() else {
                continue;
            };
            if self.task(task).is_none_or(|state| state.is_done) {
                continue;
            }
            self.explain_crashes_by(task.job);
            self.fail_crashing_job(key, task, now, actions);
        }
    }

    /// Clears all other tasks of the crashes that a job is certainly to blame for.
    pub(super) fn explain_crashes_by(&mut self, job: JobId) {
        for task in self.crashes.evidence.blame(job) {
            let Some(key) = self.job_keys.get(&task.job).copied() else {
                continue;
            };
            let job = &mut self.jobs[key];
            if let Some(state) = job.task_mut(task) {
                state.suspicion.explain_crash();
                job.is_dirty = true;
            }
        }
    }
}
