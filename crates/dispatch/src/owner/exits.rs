//! Applies the exits of runs to their tasks and jobs.

use crate::event::Action;
use crate::event::ExitReason;
use crate::event::Now;
use crate::ids::TaskId;
use crate::job_times::Phase;
use crate::owner::Owner;
use crate::owner::job::JobKey;
use crate::owner::task::Placement;
use crate::owner::worker::WorkerKey;
use crate::policy::stragglers::Speed;
use crate::record::JobPhase;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Consecutive failures after which a worker gets no new tasks for a while.
const MAX_CONSECUTIVE_FAILURES: u32 = 2;
/// Time for which such a worker is avoided, doubled with the next failure. A worker that has
/// recovered must not stay empty for long: long-running tasks must run again within seconds where
/// resources are free.
const FIRST_AVOID_MS: u64 = 1_500;
/// Delay before a task whose run did not succeed is started again, doubled with each further time.
const RESTART_DELAY_MS: u64 = 30;

impl Owner {
    /// Handles an exit that a worker has listed.
    #[expect(
        clippy::too_many_arguments,
        reason = "These are the columns of one row."
    )]
    pub(crate) fn apply_run_exit(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        number: u32,
        exit_reason: ExitReason,
        checkpoint: &str,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        self.must_place = true;
        let Some(run) = self.workers[key].remove(task, number) else {
            if exit_reason == ExitReason::Done {
                self.accept_late_exit(task, now, actions);
            }
            return;
        };
        self.record_doubtful_start(key, task, number, &run, now.steady_ms);
        self.begin_job(task.job, now, actions);
        match exit_reason {
            ExitReason::Done => {
                self.stats.done += 1;
                self.clear_evidence(task);
            }
            ExitReason::Failed => self.stats.failed += 1,
            _ => self.stats.broken += 1,
        }
        let is_first_failure = self.task(task).is_none_or(|task| task.failed_starts == 0);
        let is_new_failure = exit_reason == ExitReason::Failed
            && self.record_failure(task, number, key, now.steady_ms);
        let counts_for_worker = is_first_failure && is_new_failure;
        self.avoid_failing_worker(key, exit_reason, counts_for_worker, now.steady_ms);
        if exit_reason != ExitReason::Done {
            actions.push(Action::Note(Note::new(
                Code::RunBroken,
                task.to_string(),
                format!(
                    "run={number} worker={} how={exit_reason:?} percent={} stray={}",
                    self.workers[key].entry.id, run.percent, run.is_orphan
                ),
            )));
        }
        if run.is_orphan {
            if exit_reason == ExitReason::Done {
                self.accept_late_exit(task, now, actions);
            }
            return;
        }
        let Some(job) = self.job_keys.get(&task.job).copied() else {
            return;
        };
        let is_done = exit_reason == ExitReason::Done;
        // A worker that fails whatever it starts says nothing of how long its tasks would run.
        let is_own_failure = exit_reason == ExitReason::Failed
            && self.workers[key].consecutive_failures < MAX_CONSECUTIVE_FAILURES;
        if (is_done || is_own_failure)
            && let Some(sibling_ms) = self.measure_run(job, task, &run, is_done, now)
        {
            let speed = Speed {
                projected_ms: now.steady_ms.saturating_sub(run.started_ms),
                sibling_ms,
            };
            self.workers[key].record_speed(speed, now.steady_ms);
        }
        self.end_run(
            job,
            key,
            task,
            number,
            exit_reason,
            checkpoint,
            now,
            actions,
        );
    }

    /// Marks a task as done whose run succeeded although it was given up: its worker was cut off until
    /// its leases had expired, or the run was heard of again and ended before the order to stop it
    /// arrived. Runs that replaced it are stopped, and the task never starts again.
    fn accept_late_exit(&mut self, id: TaskId, now: Now, actions: &mut Vec<Action>) {
        let Some(key) = self.job_keys.get(&id.job).copied() else {
            return;
        };
        let job = &mut self.jobs[key];
        let is_long_running = job.step(id).is_some_and(|step| step.is_long_running);
        if is_long_running || job.phase.is_final() {
            return;
        }
        if job.task_mut(id).is_none_or(|task| task.is_done) {
            return;
        }
        self.begin_job(id.job, now, actions);
        self.timeline.end_task(id, 0, "", now.steady_ms);
        self.complete_task(key, id);
        if self.jobs[key].is_finished() {
            self.finish(key, JobPhase::Completed, now, actions);
        }
    }

    /// Marks a task as done, or all tasks of a gang, as the members of a gang succeed together, and
    /// stops their other runs.
    fn complete_task(&mut self, key: JobKey, id: TaskId) {
        let job = &mut self.jobs[key];
        let is_gang = job.step(id).is_some_and(|step| step.is_gang);
        let Some(step) = job.step_mut(id) else {
            return;
        };
        let mut duplicates = Vec::new();
        for (index, task) in step.tasks.iter_mut().enumerate() {
            let index = index as u16;
            if index != id.index && !is_gang {
                continue;
            }
            task.is_done = true;
            let member = TaskId { index, ..id };
            duplicates.extend(task.placement.take().map(|run| (member, run)));
            duplicates.extend(task.copy.take().map(|run| (member, run)));
        }
        step.recount();
        job.is_dirty = true;
        job.has_waiting = true;
        self.learn_step(key, id);
        for (task, duplicate) in duplicates {
            self.stop_duplicate(task, duplicate);
        }
    }

    /// Updates from an exit whether a worker fails whatever it starts, and avoids it if so. A task
    /// that has just failed elsewhere says nothing about this worker; if it counted, it would make
    /// one worker after the other unavailable to all other tasks.
    fn avoid_failing_worker(
        &mut self,
        key: WorkerKey,
        exit_reason: ExitReason,
        counts_for_worker: bool,
        now_ms: u64,
    ) {
        if !self.bounds.policy.avoids_failing_workers {
            return;
        }
        let worker = &mut self.workers[key];
        match exit_reason {
            ExitReason::Done => worker.consecutive_failures = 0,
            ExitReason::Failed if counts_for_worker => {
                worker.consecutive_failures += 1;
                if worker.consecutive_failures >= MAX_CONSECUTIVE_FAILURES {
                    let doublings = (worker.consecutive_failures - MAX_CONSECUTIVE_FAILURES).min(1);
                    worker.avoided_until_ms = now_ms + (FIRST_AVOID_MS << doublings);
                }
            }
            _ => {}
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "These are the columns of one row."
    )]
    fn end_run(
        &mut self,
        key: JobKey,
        worker: WorkerKey,
        id: TaskId,
        number: u32,
        exit_reason: ExitReason,
        checkpoint: &str,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let job = &mut self.jobs[key];
        if job.phase.is_final() {
            return;
        }
        let is_long_running = job.step(id).is_some_and(|step| step.is_long_running);
        let max_attempts = job.submission.max_attempts.max(1);
        let Some(task) = job.task_mut(id) else {
            return;
        };
        let ended = Placement {
            run: number,
            worker,
        };
        if task.is_done || (task.placement != Some(ended) && task.copy != Some(ended)) {
            return;
        }
        if exit_reason == ExitReason::Done && !is_long_running {
            task.release_run(ended);
            let worker = &self.workers[worker].entry.id;
            self.timeline.end_task(id, number, worker, now.steady_ms);
            self.complete_task(key, id);
            if self.jobs[key].is_finished() {
                self.finish(key, JobPhase::Completed, now, actions);
            }
            return;
        }
        task.release_run(ended);
        if !checkpoint.is_empty() {
            task.checkpoint = checkpoint.into();
        }
        task.back_off(RESTART_DELAY_MS, now.steady_ms);
        if exit_reason == ExitReason::Failed {
            task.failed_on = Some(worker);
        }
        if task.is_waiting() {
            let worker = &self.workers[worker].entry.id;
            self.timeline.end_run(id, number, worker, now.steady_ms);
        }
        job.has_waiting = true;
        job.is_dirty = true;
        let is_gang = job.step(id).is_some_and(|step| step.is_gang);
        let is_attempt = exit_reason == ExitReason::Failed && !is_long_running;
        let mut failures = 0;
        if let Some(step) = job.step_mut(id) {
            step.recount();
            if is_attempt {
                step.count_failed_run(id, number, is_gang);
            }
            failures = step.failures_of(id, is_gang);
        }
        if failures >= max_attempts {
            actions.push(Action::Note(Note::new(
                Code::JobFailed,
                id.job.to_string(),
                format!("task={id} failures={max_attempts}"),
            )));
            self.finish(key, JobPhase::Failed, now, actions);
        } else if is_gang {
            self.stop_gang(key, id);
        }
    }

    fn stop_duplicate(&mut self, task: TaskId, duplicate: Placement) {
        let Some(worker) = self.workers.get_mut(duplicate.worker) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(&(task, duplicate.run)) else {
            return;
        };
        run.is_orphan = true;
        worker.has_orders = true;
        if run.request_stop() {
            worker.remove(task, duplicate.run);
        }
    }

    /// Handles the loss of a run that does not run any more and never will.
    pub(crate) fn lose_run(&mut self, key: WorkerKey, id: TaskId, number: u32, now_ms: u64) {
        let Some(run) = self.workers[key].remove(id, number) else {
            return;
        };
        self.must_place = true;
        self.record_doubtful_start(key, id, number, &run, now_ms);
        let Some(job_key) = self.job_keys.get(&id.job).copied() else {
            return;
        };
        if run.is_orphan {
            return;
        }
        let job = &mut self.jobs[job_key];
        let Some(task) = job.task_mut(id) else {
            return;
        };
        let lost = Placement {
            run: number,
            worker: key,
        };
        if !task.release_run(lost) {
            return;
        }
        if !run.checkpoint.is_empty() {
            task.checkpoint = run.checkpoint;
        }
        task.not_before_ms = now_ms;
        if task.is_waiting() {
            self.timeline.enter(id, Phase::WaitPause, now_ms);
        }
        job.recount_placements();
        job.has_waiting = true;
        job.is_dirty = true;
        let is_gang = job.step(id).is_some_and(|step| step.is_gang);
        if let Some(step) = job.step_mut(id) {
            step.recount();
        }
        if is_gang {
            self.stop_gang(job_key, id);
        }
    }
}
