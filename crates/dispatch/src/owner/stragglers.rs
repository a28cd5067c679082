//! Tasks that stand still or crawl, and the workers they are on.
//!
//! A worker may answer every look in time while what runs there stands still or takes
//! several times as long. Nothing but the progress of its tasks shows that. The tasks of a
//! step are much alike, so the ones that have ended, or are far ahead, tell how long the others
//! should take. One that stands still, or that will take much longer where it is than it would
//! elsewhere on a worker that slows all that runs there ([`policy`](crate::policy::stragglers)), is
//! stopped and started again, or gets a copy beside it if its step allows that.

use crate::event::Action;
use crate::event::Now;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::job::JobKey;
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

/// Pause between two searches, a third of the time between looks.
const SEARCH_MS: u64 = 250;
/// Oldest look by which tasks are judged.
const FRESH_MS: u64 = 800;
/// A task without progress for so long stands still: a look tells of progress every 0.7 s
/// at the latest, and is a tenth of a second old when it comes.
const STILL_MS: u64 = 950;
/// Or for this part of the time that it should take in all, in percent, if that is longer.
const STILL_PERCENT: u64 = 40;
/// Earliest time, and part of the expected time in percent, at which a task is judged by
/// its pace: by then it has been looked at once or twice.
const JUDGE_MS: u64 = 500;
const JUDGE_PERCENT: u64 = 40;
/// What a task must have left, in percent of the time of a whole run elsewhere, to be
/// started again: less gains nothing over waiting.
const LEFT_PERCENT: u64 = 160;
/// Ends by which a worker is judged beside what runs there, and for how long each counts: until
/// what began after it has shown its own pace.
const MAX_ENDED: usize = 6;
const ENDED_MS: u64 = 1_500;
/// Time that stopping and starting again take.
const MOVE_MS: u64 = 300;
/// Time for which a worker with a straggler gets nothing new.
const AVOID_MS: u64 = 1_500;
/// Runs after which a task is left where it is: it may just be longer than its siblings.
const MAX_RUNS: u32 = 6;
/// Weight of a new duration in the mean of its queue, in percent.
const MEAN_PERCENT: u64 = 5;
/// How much longer than the mean of its queue a task may take of which nothing else is
/// known: half of the jobs are within a factor of 1.6, nearly all within 3.
const UNKNOWN_FACTOR: u64 = 3;

/// Siblings whose pace must be known before one of them is held against the others.
const MIN_SPEEDS: usize = 3;
/// Time that a task takes if its queue has ended none yet.
const UNKNOWN_MS: u64 = 1_000;

/// A step of one occurrence of a job.
type StepKey = (JobKey, u32, u16);

/// How long a whole run should take.
#[derive(Debug, Clone, Copy)]
struct Expected {
    whole_ms: u64,
    /// Siblings tell; otherwise it is no more than what is usual in the queue.
    is_known: bool,
}

/// A run that is judged.
struct Straggler {
    worker: WorkerKey,
    task: TaskId,
    run: u32,
    job: JobKey,
}

impl Straggler {
    fn step(&self) -> StepKey {
        (self.job, self.task.occurrence, self.task.step)
    }
}

/// How long the tasks of a queue take, fillers apart from others.
#[derive(Debug, Default)]
pub(crate) struct Durations {
    mean_ms: HashMap<(Box<str>, bool), u64>,
    next_search_ms: u64,
}

impl Durations {
    /// Notes how long a run took that ended well.
    pub(crate) fn add(&mut self, queue: &str, is_best_effort: bool, took_ms: u64) {
        let mean_ms = self
            .mean_ms
            .entry((queue.into(), is_best_effort))
            .or_insert(took_ms);
        *mean_ms = (*mean_ms * (100 - MEAN_PERCENT) + took_ms * MEAN_PERCENT) / 100;
    }

    fn usual_ms(&self, queue: &str, is_best_effort: bool) -> Option<u64> {
        self.mean_ms.get(&(queue.into(), is_best_effort)).copied()
    }
}

impl Worker {
    /// Notes how long a run took there that ended well.
    pub(crate) fn record_speed(&mut self, speed: Speed, now_ms: u64) {
        self.ended_speeds.push_back((now_ms, speed));
        if self.ended_speeds.len() > MAX_ENDED {
            self.ended_speeds.pop_front();
        }
    }

    /// Gives the paces of runs that ended there of late. The longer ones go on, and would be taken
    /// for slow without them.
    fn recent_speeds(&self, now_ms: u64) -> impl Iterator<Item = Speed> {
        let speeds = self.ended_speeds.iter();
        let recent = speeds.filter(move |(at_ms, _)| now_ms < at_ms + ENDED_MS);
        recent.map(|(_, speed)| *speed)
    }
}

impl Owner {
    /// Looks for stragglers and starts them elsewhere.
    pub(crate) fn replace_stragglers(&mut self, now: Now, actions: &mut Vec<Action>) {
        let is_due = now.steady_ms >= self.durations.next_search_ms && !self.are_starts_paused;
        if !is_due || !self.bounds.policy.replaces_stragglers {
            return;
        }
        self.durations.next_search_ms = now.steady_ms + SEARCH_MS;
        let suspects = self.list_judged(now.steady_ms);
        let expected = self.expect_all(&suspects);
        let slow = self.list_slow_workers(&suspects, &expected, now.steady_ms);
        for suspect in suspects {
            let seen_ms = self.workers[suspect.worker].answered_ms;
            let run = self.run(&suspect);
            let expected = expected[&suspect.step()];
            let is_held_up = slow.contains(&suspect.worker) && lags(run, expected, seen_ms);
            if is_held_up || stands_still(run, expected, seen_ms) {
                self.replace(&suspect, now, actions);
            }
        }
    }

    fn run(&self, suspect: &Straggler) -> &Run {
        &self.workers[suspect.worker].runs[&(suspect.task, suspect.run)]
    }

    /// Gives for each step how long its tasks should take.
    fn expect_all(&self, suspects: &[Straggler]) -> HashMap<StepKey, Expected> {
        let mut speeds: HashMap<StepKey, Vec<u64>> = HashMap::new();
        for suspect in suspects {
            let projected_ms = projected_ms(self.run(suspect));
            speeds
                .entry(suspect.step())
                .or_default()
                .extend(projected_ms);
        }
        let mut expected = HashMap::new();
        for suspect in suspects {
            expected.entry(suspect.step()).or_insert_with(|| {
                let speeds = speeds.get_mut(&suspect.step());
                self.expect(suspect, speeds.map_or(&mut [], |speeds| speeds))
            });
        }
        expected
    }

    /// Lists the workers that slow down what runs there, by the paces of their runs.
    fn list_slow_workers(
        &self,
        suspects: &[Straggler],
        expected: &HashMap<StepKey, Expected>,
        now_ms: u64,
    ) -> HashSet<WorkerKey> {
        let mut speeds: HashMap<WorkerKey, Vec<Speed>> = HashMap::new();
        for suspect in suspects {
            let expected = expected[&suspect.step()];
            let projected_ms = projected_ms(self.run(suspect));
            if let Some(projected_ms) = projected_ms.filter(|_| expected.is_known) {
                speeds.entry(suspect.worker).or_default().push(Speed {
                    projected_ms,
                    sibling_ms: expected.whole_ms,
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

    /// Lists the runs that may be stragglers: at work at full share, and looked at of late.
    fn list_judged(&self, now_ms: u64) -> Vec<Straggler> {
        let mut list = Vec::new();
        for (worker, state) in &self.workers {
            // What was not looked at of late says nothing about its tasks.
            if state.missed_answers > 0 || now_ms > state.answered_ms + FRESH_MS {
                continue;
            }
            for ((task, number), run) in &state.runs {
                let is_present = matches!(run.phase, RunPhase::Present { .. });
                let is_slowed = run.target_share_percent < 100 || run.applied_share_percent < 100;
                if !is_present || run.is_long_running || run.is_orphan || is_slowed {
                    continue;
                }
                let Some(job) = self.job_keys.get(&task.job).copied() else {
                    continue;
                };
                list.push(Straggler {
                    worker,
                    task: *task,
                    run: *number,
                    job,
                });
            }
        }
        list
    }

    /// Gives the time that a task of this step should take: by the siblings that have
    /// ended, else by the pace of those that run. A job whose tasks all take long has no
    /// stragglers.
    fn expect(&self, suspect: &Straggler, speeds: &mut [u64]) -> Expected {
        let job = &self.jobs[suspect.job];
        let task = suspect.task;
        let state = job
            .occurrences
            .iter()
            .find(|occurrence| occurrence.number == task.occurrence)
            .and_then(|occurrence| occurrence.steps.get(usize::from(task.step)));
        if let Some(state) = state
            && state.ended > 0
        {
            let mean_ms = state.ended_ms / u64::from(state.ended);
            return Expected {
                whole_ms: mean_ms,
                is_known: true,
            };
        }
        if speeds.len() >= MIN_SPEEDS {
            speeds.sort_unstable();
            return Expected {
                whole_ms: speeds[(speeds.len() - 1) / 2],
                is_known: true,
            };
        }
        let is_best_effort = job.step(task).is_some_and(|step| step.is_best_effort);
        let usual_ms = self
            .durations
            .usual_ms(&job.submission.queue, is_best_effort);
        Expected {
            whole_ms: usual_ms.unwrap_or(UNKNOWN_MS) * UNKNOWN_FACTOR,
            is_known: false,
        }
    }

    fn replace(&mut self, straggler: &Straggler, now: Now, actions: &mut Vec<Action>) {
        let Straggler {
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
        // A second run would blur what the first one is to tell.
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
            self.place_copy(job, id, now, actions);
        } else {
            self.set_phase(worker, id, number, RunPhase::Stopping { again_ms: 0 });
        }
    }
}

/// Gives the time that a run takes in all at the pace that it has shown so far.
fn projected_ms(run: &Run) -> Option<u64> {
    // Progress is known as of the latest look that told of some.
    let worked_ms = run.progressed_ms.saturating_sub(run.first_ms);
    let done = u64::from(run.percent.saturating_sub(run.first_percent));
    if worked_ms < JUDGE_MS || done == 0 {
        return None;
    }
    Some(worked_ms * 100 / done)
}

/// Tells whether a run has made no progress for so long that it stands still, as of the look at
/// `seen_ms`.
fn stands_still(run: &Run, expected: Expected, seen_ms: u64) -> bool {
    let still_ms = seen_ms.saturating_sub(run.progressed_ms);
    still_ms >= STILL_MS.max(expected.whole_ms * STILL_PERCENT / 100)
}

/// Tells whether a run would end sooner if it were started elsewhere, as of the look at
/// `seen_ms`.
fn lags(run: &Run, expected: Expected, seen_ms: u64) -> bool {
    let whole_ms = expected.whole_ms;
    let still_ms = seen_ms.saturating_sub(run.progressed_ms);
    let worked_ms = run.progressed_ms.saturating_sub(run.first_ms);
    if !expected.is_known || worked_ms < whole_ms * JUDGE_PERCENT / 100 {
        return false;
    }
    let Some(projected_ms) = projected_ms(run) else {
        return false;
    };
    let remaining_ms = projected_ms * u64::from(100 - run.percent.min(100)) / 100;
    let saved = 100 - u64::from(run.first_percent.min(99));
    remaining_ms.saturating_sub(still_ms) > whole_ms * saved / 100 * LEFT_PERCENT / 100 + MOVE_MS
}
