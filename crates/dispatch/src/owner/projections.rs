//! Objective and projected end of each job, by what is known of the durations of its tasks.

use crate::event::Now;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::job::Job;
use crate::owner::job::JobKey;
use crate::owner::job::Occurrence;
use crate::owner::job::permit_call_ms;
use crate::owner::stragglers::projected_ms;
use crate::owner::task::Placement;
use crate::owner::worker::Run;
use crate::owner::worker::RunPhase;
use crate::policy::run_times::JobTimes;
use crate::policy::run_times::MeasuredTask;
use crate::policy::run_times::RunningTask;
use crate::policy::run_times::StepView;
use crate::policy::run_times::TaskClass;
use crate::record::Step;
use crate::record::Submission;

/// Maximum age of the times of a job that has started. Workers on which a task is about to end are
/// polled no more often.
const MAX_STARTED_AGE_MS: u64 = 100;
/// Maximum age of the times of a job that has not started, if something was learned since. Many
/// wait under overload, and a few more samples change little.
const MAX_WAITING_AGE_MS: u64 = 1_000;

/// What was expected of a job when its first task was assigned.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Expectation {
    pub(crate) begun_ms: u64,
    pub(crate) times: JobTimes,
    pub(crate) is_late: bool,
}

/// Times of a job, and when they were determined.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct KnownTimes {
    pub(crate) times: JobTimes,
    refreshed_ms: Option<u64>,
    steps_learned: u64,
}

impl KnownTimes {
    fn is_current(&self, has_started: bool, steps_learned: u64, now_ms: u64) -> bool {
        let Some(refreshed_ms) = self.refreshed_ms else {
            return false;
        };
        match has_started {
            true => now_ms < refreshed_ms + MAX_STARTED_AGE_MS,
            false => {
                self.steps_learned == steps_learned || now_ms < refreshed_ms + MAX_WAITING_AGE_MS
            }
        }
    }
}

/// Returns the class of the tasks of a step.
pub(crate) fn class<'a>(submission: &'a Submission, step: &Step) -> TaskClass<'a> {
    TaskClass {
        queue: &submission.queue,
        is_best_effort: step.is_best_effort,
        estimated_ms: step.estimated_ms,
    }
}

impl Owner {
    /// Updates the objective and the projected end of a job unless they are current.
    pub(crate) fn refresh_times(&mut self, key: JobKey, now: Now) {
        let job = &self.jobs[key];
        if !self.bounds.policy.learns_run_times || job.is_long_running() {
            return self.jobs[key].estimate_times();
        }
        let has_started = job.is_under_way();
        let steps_learned = self.run_times.steps_learned();
        if job
            .known
            .is_current(has_started, steps_learned, now.steady_ms)
        {
            return;
        }
        let times = self.job_times(key, now.steady_ms);
        let job = &mut self.jobs[key];
        job.known = KnownTimes {
            times,
            refreshed_ms: Some(now.steady_ms),
            steps_learned,
        };
        job.set_objective(times.chain_ms);
    }

    /// Returns the times of a job by what is learned and measured: the work of its first unfinished
    /// occurrence, else of its last one, and the time until all of its occurrences end.
    pub(crate) fn job_times(&self, key: JobKey, now_ms: u64) -> JobTimes {
        let job = &self.jobs[key];
        let call_ms = permit_call_ms(&job.submission);
        if job.occurrences.is_empty() {
            let first = Occurrence::new(0, &job.submission);
            let steps = self.step_views(job, &first, now_ms);
            return self.run_times.job_times(&steps, call_ms);
        }
        let mut times = JobTimes::default();
        let mut has_unfinished = false;
        for occurrence in &job.occurrences {
            let steps = self.step_views(job, occurrence, now_ms);
            let occurrence_times = self.run_times.job_times(&steps, call_ms);
            times.remaining_ms = times.remaining_ms.max(occurrence_times.remaining_ms);
            if !has_unfinished {
                times.chain_ms = occurrence_times.chain_ms;
                has_unfinished = !occurrence.is_done();
            }
        }
        times
    }

    fn step_views<'a>(
        &self,
        job: &'a Job,
        occurrence: &Occurrence,
        now_ms: u64,
    ) -> Vec<StepView<'a>> {
        let mut views = Vec::with_capacity(occurrence.steps.len());
        for (number, (state, step)) in occurrence
            .steps
            .iter()
            .zip(&job.submission.steps)
            .enumerate()
        {
            let mut running = Vec::new();
            let mut longest_ms = 0;
            for (index, task) in state.tasks.iter().enumerate() {
                longest_ms = longest_ms.max(task.ran_ms);
                let id = TaskId {
                    job: job.id,
                    occurrence: occurrence.number,
                    step: number as u16,
                    index: index as u16,
                };
                let run = task
                    .placement
                    .and_then(|placement| self.run_at(id, placement));
                running.extend(run.map(|run| running_task(run, now_ms)));
            }
            views.push(StepView {
                class: class(&job.submission, step),
                after: &step.after,
                count: state.tasks.len() as u64,
                waiting: u64::from(state.waiting),
                is_done: state.is_done(),
                measured: u64::from(state.ended),
                measured_ms: state.ended_ms,
                longest_ms,
                running,
            });
        }
        views
    }

    fn run_at(&self, id: TaskId, placement: Placement) -> Option<&Run> {
        let worker = self.workers.get(placement.worker)?;
        worker.runs.get(&(id, placement.run))
    }

    /// Learns from the step of a task if it has ended.
    pub(crate) fn learn_step(&mut self, key: JobKey, id: TaskId) {
        let job = &self.jobs[key];
        let (Some(state), Some(step)) = (job.step_state(id), job.step(id)) else {
            return;
        };
        if !state.is_done() {
            return;
        }
        let mut tasks = Vec::with_capacity(state.tasks.len());
        for task in &state.tasks {
            if task.ran_ms == 0 {
                continue;
            }
            tasks.push(MeasuredTask {
                took_ms: task.took_ms,
                ran_ms: task.ran_ms,
            });
        }
        let class = class(&job.submission, step);
        self.run_times
            .learn(class, state.tasks.len() as u64, &tasks);
    }

    /// Records the duration of a run that has succeeded or failed by itself. Of a run that a
    /// previous owner has ordered, or that was ordered twice, the start is not known. Returns the
    /// mean duration of the tasks of its step, in milliseconds, if the run counts in it.
    pub(crate) fn measure_run(
        &mut self,
        key: JobKey,
        id: TaskId,
        run: &Run,
        is_done: bool,
        now: Now,
    ) -> Option<u64> {
        if run.start_attempts != 1 || run.was_throttled || run.is_long_running {
            return None;
        }
        let ran_ms = now.steady_ms.saturating_sub(run.started_ms);
        let step = self.jobs[key].step_mut(id)?;
        let task = step.tasks.get_mut(usize::from(id.index))?;
        task.ran_ms += ran_ms;
        // A run that has resumed from a checkpoint did not do all of the work.
        if !is_done || !task.checkpoint.is_empty() {
            return None;
        }
        task.took_ms = Some(ran_ms);
        step.ended += 1;
        step.ended_ms += ran_ms;
        let mean_ms = step.ended_ms / u64::from(step.ended);
        let queue = &self.jobs[key].submission.queue;
        self.run_times.record_run(queue, run.is_best_effort, ran_ms);
        Some(mean_ms)
    }

    /// Returns for the log what was expected of a job at its start, beside its real times.
    pub(crate) fn describe_expectation(&self, key: JobKey, now: Now) -> String {
        let job = &self.jobs[key];
        let Some(expected) = job.expected else {
            return String::new();
        };
        let chain_ms = self.job_times(key, now.steady_ms).chain_ms;
        format!(
            " took_ms={} projected_ms={} chain_ms={chain_ms} expected_chain_ms={} late={} believed_late={}",
            now.steady_ms - expected.begun_ms,
            expected.times.remaining_ms,
            expected.times.chain_ms,
            now.steady_ms > job.due_of_ms(chain_ms) + job.due_offset_ms(now),
            expected.is_late,
        )
    }
}

fn running_task(run: &Run, now_ms: u64) -> RunningTask {
    // The worker was not polled yet, so it is not known how long it has run.
    if run.phase == RunPhase::Inherited {
        return RunningTask {
            age_ms: 0,
            projected_ms: None,
        };
    }
    match projected_ms(run) {
        Some(projected_ms) => RunningTask {
            age_ms: projected_ms * u64::from(run.percent.min(100)) / 100
                + now_ms.saturating_sub(run.progressed_ms),
            projected_ms: Some(projected_ms),
        },
        None => RunningTask {
            age_ms: now_ms.saturating_sub(run.first_ms),
            projected_ms: None,
        },
    }
}
