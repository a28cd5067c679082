//! Detection and replacement of stragglers: tasks that are stalled, or slowed down by their worker.
//!
//! A worker may answer every poll in time while its tasks are stalled or take several times as long
//! as elsewhere. Only the progress of the tasks shows this. The tasks of a step are similar, so
//! those that have ended, or are far ahead, indicate how long the others should take. A task is
//! replaced if it is stalled, or if its worker slows down everything that runs there
//! ([`policy`](crate::policy::stragglers)) and the task would take much longer there than
//! elsewhere. A replaced task is stopped and restarted, or gets a speculative copy if its step
//! permits copies.

use crate::event::Action;
use crate::event::Now;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::job::Job;
use crate::owner::job::JobKey;
use crate::owner::projections::class;
use crate::owner::worker::Run;
use crate::owner::worker::RunPhase;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;
use crate::policy::stragglers::Speed;
use crate::policy::stragglers::is_slow;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::collections::HashMap;
use std::collections::HashSet;

/// Interval between two searches for stragglers: a third of the interval between polls.
const SEARCH_INTERVAL_MS: u64 = 250;
/// Maximum age of the latest poll of a worker whose tasks are evaluated.
const MAX_POLL_AGE_MS: u64 = 800;
/// Minimum time without progress after which a task counts as stalled. Progress is reported at
/// least every 0.7 s, and a report is 0.1 s old when it arrives.
const MIN_STALL_MS: u64 = 950;
/// Minimum time without progress in percent of the expected duration. The longer of the two
/// applies.
const MIN_STALL_PERCENT: u64 = 40;
/// Minimum time, and minimum part of the expected duration in percent, for which a task must have
/// run before its speed is evaluated. By then it has been polled once or twice.
const MIN_MEASURED_MS: u64 = 500;
const MIN_MEASURED_PERCENT: u64 = 40;
/// Minimum remaining time of a task that is replaced, in percent of the duration of a whole run
/// elsewhere. With less, a restart gains nothing over waiting.
const MIN_REMAINING_PERCENT: u64 = 160;
/// Maximum number of ended runs whose speeds are evaluated beside those of the present runs of a
/// worker, and the time for which each counts. After that time, runs that started later show a
/// speed of their own.
const MAX_ENDED_SPEEDS: usize = 6;
const ENDED_SPEED_MS: u64 = 1_500;
/// Time that it takes to stop and restart a task.
const RESTART_MS: u64 = 300;
/// Time for which a worker with a straggler gets no new tasks.
const AVOID_MS: u64 = 1_500;
/// Maximum number of runs of a task. After that, it is not replaced any more, as it may just be
/// longer than its siblings.
const MAX_RUNS: u32 = 6;
/// Factor by which a task may exceed the expected duration for its class if nothing else is known.
/// With a smaller one, tasks of a step that was merely underestimated would be replaced.
const CLASS_FACTOR: u64 = 3;

/// Minimum number of siblings whose speed must be known before tasks are compared with each other.
const MIN_SPEEDS: usize = 3;
/// Assumed duration of a task of an unknown step.
const DEFAULT_TASK_MS: u64 = 1_000;

/// A step of one occurrence of a job.
type StepKey = (JobKey, u32, u16);

/// Expected duration of a whole run.
#[derive(Debug, Clone, Copy)]
struct ExpectedDuration {
    total_ms: u64,
    /// The duration was derived from siblings. Otherwise it is only an upper estimate for the class
    /// of the task.
    is_measured: bool,
}

/// A run that may be a straggler.
struct Candidate {
    worker: WorkerKey,
    task: TaskId,
    run: u32,
    job: JobKey,
}

impl Candidate {
    fn step(&self) -> StepKey {
        (self.job, self.task.occurrence, self.task.step)
    }
}

impl Worker {
    /// Records the speed of a successful run on this worker.
    pub(crate) fn record_speed(&mut self, speed: Speed, now_ms: u64) {
        self.ended_speeds.push_back((now_ms, speed));
        if self.ended_speeds.len() > MAX_ENDED_SPEEDS {
            self.ended_speeds.pop_front();
        }
    }

    /// Returns the speeds of runs that ended on this worker recently. Without them, only the longer
    /// runs would remain, and the worker would seem to be slow.
    fn recent_speeds(&self, now_ms: u64) -> impl Iterator<Item = Speed> {
        let speeds = self.ended_speeds.iter();
        let recent = speeds.filter(move |(at_ms, _)| now_ms < at_ms + ENDED_SPEED_MS);
        recent.map(|(_, speed)| *speed)
    }
}

impl Owner {
    /// Searches for stragglers and replaces them.
    pub(crate) fn replace_stragglers(&mut self, now: Now, actions: &mut Vec<Action>) {
        let is_due = now.steady_ms >= self.next_straggler_search_ms && !self.is_placing_paused();
        if !is_due || !self.bounds.policy.replaces_stragglers {
            return;
        }
        self.next_straggler_search_ms = now.steady_ms + SEARCH_INTERVAL_MS;
        let candidates = self.list_candidates(now.steady_ms);
        let expected = self.estimate_all(&candidates);
        let slow = self.list_slow_workers(&candidates, &expected, now.steady_ms);
        for candidate in candidates {
            let polled_ms = self.workers[candidate.worker].answered_ms;
            let run = self.run(&candidate);
            let expected = expected[&candidate.step()];
            let is_slowed_down =
                slow.contains(&candidate.worker) && is_lagging(run, expected, polled_ms);
            if is_slowed_down || is_stalled(run, expected, polled_ms) {
                self.replace(&candidate, now, actions);
            }
        }
    }

    fn run(&self, candidate: &Candidate) -> &Run {
        &self.workers[candidate.worker].runs[&(candidate.task, candidate.run)]
    }

    /// Returns the expected duration of the tasks of each step.
    fn estimate_all(&self, candidates: &[Candidate]) -> HashMap<StepKey, ExpectedDuration> {
        let mut speeds: HashMap<StepKey, Vec<u64>> = HashMap::new();
        for candidate in candidates {
            let projected_ms = projected_ms(self.run(candidate));
            speeds
                .entry(candidate.step())
                .or_default()
                .extend(projected_ms);
        }
        let mut expected = HashMap::new();
        for candidate in candidates {
            expected.entry(candidate.step()).or_insert_with(|| {
                let speeds = speeds.get_mut(&candidate.step());
                self.estimate(candidate, speeds.map_or(&mut [], |speeds| speeds))
            });
        }
        expected
    }

    /// Returns the workers that slow down everything that runs there, judged by the speeds of their
    /// runs.
    fn list_slow_workers(
        &self,
        candidates: &[Candidate],
        expected: &HashMap<StepKey, ExpectedDuration>,
        now_ms: u64,
    ) -> HashSet<WorkerKey> {
        let mut speeds: HashMap<WorkerKey, Vec<Speed>> = HashMap::new();
        for candidate in candidates {
            let expected = expected[&candidate.step()];
            let projected_ms = projected_ms(self.run(candidate));
            if let Some(projected_ms) = projected_ms.filter(|_| expected.is_measured) {
                speeds.entry(candidate.worker).or_default().push(Speed {
                    projected_ms,
                    sibling_ms: expected.total_ms,
                });
            }
        }
        let mut slow = HashSet::new();
        for (key, mut speeds) in speeds {
            speeds.extend(self.workers[key].recent_speeds(now_ms));
            if is_slow(&speeds) {
                slow.insert(key);
            }
        }
        slow
    }

    /// Returns the runs that may be stragglers: those that run at full CPU share on recently polled
    /// workers.
    fn list_candidates(&self, now_ms: u64) -> Vec<Candidate> {
        let mut list = Vec::new();
        for (worker, state) in &self.workers {
            // Without a recent poll, nothing is known of the progress of the tasks.
            if state.missed_answers > 0 || now_ms > state.answered_ms + MAX_POLL_AGE_MS {
                continue;
            }
            for ((task, number), run) in &state.runs {
                let is_present = matches!(run.phase, RunPhase::Present { .. });
                let is_throttled =
                    run.target_share_percent < 100 || run.applied_share_percent != Some(100);
                if !is_present || run.is_long_running || run.is_orphan || is_throttled {
                    continue;
                }
                let Some(job) = self.job_keys.get(&task.job).copied() else {
                    continue;
                };
                list.push(Candidate {
                    worker,
                    task: *task,
                    run: *number,
                    job,
                });
            }
        }
        list
    }

    /// Returns the expected duration of a task: the mean of its siblings that have ended, else the
    /// median projection of those that run, else an estimate for its class. As tasks are only
    /// compared with their siblings, a job whose tasks all take long has no stragglers.
    fn estimate(&self, candidate: &Candidate, speeds: &mut [u64]) -> ExpectedDuration {
        let job = &self.jobs[candidate.job];
        let task = candidate.task;
        let state = job
            .occurrences
            .iter()
            .find(|occurrence| occurrence.number == task.occurrence)
            .and_then(|occurrence| occurrence.steps.get(usize::from(task.step)));
        if let Some(state) = state
            && state.ended > 0
        {
            let mean_ms = state.ended_ms / u64::from(state.ended);
            return ExpectedDuration {
                total_ms: mean_ms,
                is_measured: true,
            };
        }
        if speeds.len() >= MIN_SPEEDS {
            speeds.sort_unstable();
            return ExpectedDuration {
                total_ms: speeds[(speeds.len() - 1) / 2],
                is_measured: true,
            };
        }
        ExpectedDuration {
            total_ms: self.usual_task_ms(job, task) * CLASS_FACTOR,
            is_measured: false,
        }
    }

    /// Returns the usual duration of a task in milliseconds if nothing is known of its siblings: what
    /// is expected of its class, but not less than the mean of its queue. A caller that estimates
    /// far too little would otherwise have its tasks replaced while they run well.
    fn usual_task_ms(&self, job: &Job, task: TaskId) -> u64 {
        let Some(step) = job.step(task) else {
            return DEFAULT_TASK_MS;
        };
        let queue = &job.submission.queue;
        let mean_ms = self.run_times.queue_mean_ms(queue, step.is_best_effort);
        if !self.bounds.policy.learns_run_times {
            return mean_ms.unwrap_or(DEFAULT_TASK_MS);
        }
        let expected_ms = self.run_times.task_ms(class(&job.submission, step));
        expected_ms.max(mean_ms.unwrap_or(0))
    }

    fn replace(&mut self, straggler: &Candidate, now: Now, actions: &mut Vec<Action>) {
        let Candidate {
            worker,
            task: id,
            run: number,
            job,
        } = *straggler;
        let is_speculative = self.jobs[job]
            .step(id)
            .is_some_and(|step| step.is_speculative);
        let Some(task) = self.jobs[job].task_mut(id) else {
            return;
        };
        let is_only = task.copy.is_none()
            && task
                .placement
                .is_some_and(|placement| placement.run == number);
        // A second run of a suspected task would make it unclear which run crashed a worker.
        if !is_only || task.run >= MAX_RUNS || task.is_suspect() {
            return;
        }
        task.failed_on = Some(worker);
        self.workers[worker].avoided_until_ms = now.steady_ms + AVOID_MS;
        let run = &self.workers[worker].runs[&(id, number)];
        actions.push(Action::Note(Note::new(
            Code::RunLagging,
            id.to_string(),
            format!(
                "run={number} worker={} percent={} still_ms={} age_ms={} copy={is_speculative}",
                self.workers[worker].entry.id,
                run.percent,
                now.steady_ms - run.progressed_ms,
                now.steady_ms - run.started_ms
            ),
        )));
        if is_speculative {
            self.place_speculative_copy(job, id, now, actions);
        } else {
            self.set_phase(worker, id, number, RunPhase::Stopping { again_ms: 0 });
        }
    }
}

/// Returns the projected duration of a whole run at its speed so far, or `None` if it has not run
/// for long enough.
pub(crate) fn projected_ms(run: &Run) -> Option<u64> {
    // Progress is measured up to the latest poll that reported an increase.
    let measured_ms = run.progressed_ms.saturating_sub(run.first_ms);
    let progress_percent = u64::from(run.percent.saturating_sub(run.first_percent));
    if measured_ms < MIN_MEASURED_MS || progress_percent == 0 {
        return None;
    }
    Some(measured_ms * 100 / progress_percent)
}

/// Returns whether a run counts as stalled as of the poll at `polled_ms`.
fn is_stalled(run: &Run, expected: ExpectedDuration, polled_ms: u64) -> bool {
    let stalled_ms = polled_ms.saturating_sub(run.progressed_ms);
    stalled_ms >= MIN_STALL_MS.max(expected.total_ms * MIN_STALL_PERCENT / 100)
}

/// Returns whether a run would end sooner if it were restarted elsewhere, as of the poll at
/// `polled_ms`.
fn is_lagging(run: &Run, expected: ExpectedDuration, polled_ms: u64) -> bool {
    let total_ms = expected.total_ms;
    let stalled_ms = polled_ms.saturating_sub(run.progressed_ms);
    let measured_ms = run.progressed_ms.saturating_sub(run.first_ms);
    if !expected.is_measured || measured_ms < total_ms * MIN_MEASURED_PERCENT / 100 {
        return false;
    }
    let Some(projected_ms) = projected_ms(run) else {
        return false;
    };
    let remaining_ms = projected_ms * u64::from(100 - run.percent.min(100)) / 100;
    let unsaved_percent = 100 - u64::from(run.first_percent.min(99));
    remaining_ms.saturating_sub(stalled_ms)
        > total_ms * unsaved_percent / 100 * MIN_REMAINING_PERCENT / 100 + RESTART_MS
}
