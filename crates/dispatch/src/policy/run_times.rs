//! How long tasks take, and what that says of the end of a job.
//!
//! **Load pattern:** callers estimate the mean duration of the tasks of a step, and are often wrong
//! by a large factor in either direction. All tasks of a step are wrong together, while they differ
//! little among themselves. Under overload many jobs wait, and the order among them depends on when
//! each could end and on its objective, which grows with what its tasks really need.
//!
//! **Without it** both follow from the estimates alone. A step ends with its longest task, which
//! takes a multiple of the estimate, so the objective is believed to be too early. Jobs count as
//! late, wait behind others and are given up although they could still meet their objective. It
//! shows as jobs that are believed to be late at their start and end in time.
//!
//! **Limits:** two ratios are learned for each queue, separately for best-effort tasks and for
//! tasks without estimate: the mean duration of a step to its estimate, and the duration of a task,
//! with its runs that failed by themselves, to the mean of its step. The longest of `n` tasks is
//! expected at quantile `n / (n + 1)` of the second. Once tasks of a step have ended or show their
//! progress, their durations count instead of the estimate. Before a class has [`MIN_STEPS`] steps, the estimate counts as it is.

use crate::policy::ratios::Ratios;
use crate::record::LearnedRunTimes;
use std::collections::HashMap;

/// Assumed duration of a task without an estimate by its caller, in milliseconds.
const UNKNOWN_WORK_MS: u64 = 1_000;
/// Number of steps from which on the ratios of a class are used.
const MIN_STEPS: u64 = 10;
/// Number of samples from which on older ones lose half of their weight: what callers estimate
/// changes with what they submit.
const MAX_STEPS: u64 = 400;
const MAX_TASKS: u64 = 4_000;
/// Minimum number of measured tasks of a step that are compared with their mean.
const MIN_SIBLINGS: u64 = 3;
/// Weight of the expectation for a class beside each measured task of the step itself. The tasks of
/// a step differ less among themselves than the steps of a class do.
const CLASS_WEIGHT: f64 = 0.5;
/// Number of classes of a queue.
const CLASSES: usize = 4;
/// Maximum number of queues that are remembered. Callers may name a great many.
const MAX_QUEUES: usize = 1_000;
/// Weight of a new duration in the mean of its queue, in percent.
const MEAN_PERCENT: u64 = 5;

/// Class of tasks whose durations are learned together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskClass<'a> {
    /// Name of the queue.
    pub queue: &'a str,
    /// Whether the tasks are best-effort tasks.
    pub is_best_effort: bool,
    /// Duration of a task as estimated by its caller, in milliseconds; 0 for none.
    pub estimated_ms: u64,
}

impl TaskClass<'_> {
    fn index(&self) -> usize {
        usize::from(self.is_best_effort) + 2 * usize::from(self.estimated_ms > 0)
    }

    fn estimated_ms(&self) -> u64 {
        match self.estimated_ms {
            0 => UNKNOWN_WORK_MS,
            estimated_ms => estimated_ms,
        }
    }
}

/// Durations of a task that has succeeded, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MeasuredTask {
    /// Duration of its run that succeeded, if that was measured from start to end and did not
    /// resume from a checkpoint.
    pub took_ms: Option<u64>,
    /// Total duration of that run and of those that failed by themselves.
    pub ran_ms: u64,
}

/// A running task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunningTask {
    /// Time since its start, in milliseconds.
    pub age_ms: u64,
    /// Duration of the whole run at its speed so far, in milliseconds, if it is known.
    pub projected_ms: Option<u64>,
}

/// State of a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepView<'a> {
    /// Class of its tasks.
    pub class: TaskClass<'a>,
    /// Numbers of the earlier steps that must end first.
    pub after: &'a [u32],
    /// Number of its tasks.
    pub count: u64,
    /// Number of its tasks that run nowhere and are not done.
    pub waiting: u64,
    /// All of its tasks are done.
    pub is_done: bool,
    /// Number of tasks whose duration was measured from start to success.
    pub measured: u64,
    /// Total duration of these tasks, in milliseconds.
    pub measured_ms: u64,
    /// Longest time that a task of it has run, with runs that failed, in milliseconds.
    pub longest_ms: u64,
    /// Its running tasks.
    pub running: Vec<RunningTask>,
}

/// Expected times of a job. See [`crate::JobTimes`] for the account of where its time went.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct JobTimes {
    /// Work of its longest chain of steps, in milliseconds.
    pub chain_ms: u64,
    /// Time until it ends if all waiting tasks start now, in milliseconds.
    pub remaining_ms: u64,
}

/// Learned durations of all queues.
#[derive(Debug, Default)]
pub struct RunTimes {
    queues: HashMap<Box<str>, QueueTimes>,
    steps_learned: u64,
    /// Number of changes to any queue.
    changes: u64,
}

/// Durations of the tasks of one queue.
#[derive(Debug, Default)]
struct QueueTimes {
    classes: [Option<Box<ClassTimes>>; CLASSES],
    /// Mean duration of a run in milliseconds: of other tasks, then of best-effort tasks.
    mean_ms: [Option<u64>; 2],
    /// Number of the latest change to it.
    changed: u64,
}

#[derive(Debug, Clone)]
struct ClassTimes {
    /// Ratio of the mean duration of the tasks of a step to their estimate.
    step: Ratios,
    /// Ratio of the duration of a task to the mean of its step.
    task: Ratios,
}

impl Default for ClassTimes {
    fn default() -> Self {
        Self {
            step: Ratios::new(MAX_STEPS),
            task: Ratios::new(MAX_TASKS),
        }
    }
}

impl ClassTimes {
    fn is_known(&self) -> bool {
        self.step.samples() >= MIN_STEPS
    }
}

impl RunTimes {
    /// Learns from a step of `count` tasks that has ended. If less than half of its tasks were
    /// measured, they are no fair sample.
    pub fn learn(&mut self, class: TaskClass<'_>, count: u64, tasks: &[MeasuredTask]) {
        let mut measured = 0;
        let mut sum_ms = 0;
        for took_ms in tasks.iter().filter_map(|task| task.took_ms) {
            measured += 1;
            sum_ms += took_ms;
        }
        if measured == 0 || measured * 2 < count {
            return;
        }
        let mean_ms = (sum_ms as f64 / measured as f64).max(1.0);
        let slot = &mut self.queue_mut(class.queue).classes[class.index()];
        let times = slot.get_or_insert_default();
        times.step.add(mean_ms / class.estimated_ms() as f64);
        if measured >= MIN_SIBLINGS {
            for task in tasks {
                times.task.add(task.ran_ms as f64 / mean_ms);
            }
        }
        self.steps_learned += 1;
    }

    /// Records the duration of a run that has succeeded, for the mean of its queue.
    pub fn record_run(&mut self, queue: &str, is_best_effort: bool, took_ms: u64) {
        let slot = &mut self.queue_mut(queue).mean_ms[usize::from(is_best_effort)];
        let mean_ms = slot.unwrap_or(took_ms);
        *slot = Some((mean_ms * (100 - MEAN_PERCENT) + took_ms * MEAN_PERCENT) / 100);
    }

    /// Returns the mean duration of the runs of a queue in milliseconds, if any has succeeded.
    pub fn queue_mean_ms(&self, queue: &str, is_best_effort: bool) -> Option<u64> {
        self.queues.get(queue)?.mean_ms[usize::from(is_best_effort)]
    }

    /// Returns the number of queues that are remembered.
    pub fn queues(&self) -> usize {
        self.queues.len()
    }

    /// Returns the number of steps that it was learned from. Expectations change only with it.
    pub fn steps_learned(&self) -> u64 {
        self.steps_learned
    }

    /// Returns the number of classes that are expected by what was learned.
    pub fn classes_learned(&self) -> u64 {
        let classes = self.queues.values().flat_map(|times| &times.classes);
        classes.flatten().filter(|times| times.is_known()).count() as u64
    }

    /// Returns the expected duration of a task, in milliseconds.
    pub fn task_ms(&self, class: TaskClass<'_>) -> u64 {
        let ratio = self
            .class(class)
            .and_then(|times| times.step.quantile(0.5))
            .unwrap_or(1.0);
        (class.estimated_ms() as f64 * ratio) as u64
    }

    /// Returns the expected duration of the longest of `count` tasks, in milliseconds.
    pub fn longest_ms(&self, class: TaskClass<'_>, count: u64) -> u64 {
        (self.task_ms(class) as f64 * self.longest_ratio(class, count)) as u64
    }

    /// Returns the expected times of a job, by the states of its steps. Each step takes `call_ms`
    /// milliseconds more than its tasks.
    pub fn job_times(&self, steps: &[StepView<'_>], call_ms: u64) -> JobTimes {
        let mut chain_ends_ms: Vec<u64> = Vec::with_capacity(steps.len());
        let mut ends_ms: Vec<u64> = Vec::with_capacity(steps.len());
        for step in steps {
            let chain_ms = call_ms + self.step_longest_ms(step);
            let remaining_ms = match (step.is_done, step.waiting) {
                (true, _) => 0,
                (false, 0) => self.step_remaining_ms(step),
                (false, _) => call_ms + self.step_remaining_ms(step),
            };
            chain_ends_ms.push(latest(&chain_ends_ms, step.after) + chain_ms);
            ends_ms.push(latest(&ends_ms, step.after) + remaining_ms);
        }
        JobTimes {
            chain_ms: chain_ends_ms.into_iter().max().unwrap_or(0),
            remaining_ms: ends_ms.into_iter().max().unwrap_or(0),
        }
    }

    /// Returns what was learned, to be stored for the next owner.
    pub(crate) fn learned(&self) -> Vec<LearnedRunTimes> {
        let mut rows = Vec::new();
        for (queue, queue_times) in &self.queues {
            for (index, times) in queue_times.classes.iter().enumerate() {
                let Some(times) = times.as_ref().filter(|times| times.is_known()) else {
                    continue;
                };
                rows.push(LearnedRunTimes {
                    queue: queue.to_string(),
                    class: index as u32,
                    steps: times.step.record(),
                    tasks: times.task.record(),
                });
            }
        }
        rows
    }

    /// Restores what the previous owner has learned.
    pub(crate) fn resume(&mut self, rows: &[LearnedRunTimes]) {
        for row in rows {
            let index = row.class as usize;
            if index >= CLASSES {
                continue;
            }
            let times = ClassTimes {
                step: Ratios::restore(MAX_STEPS, &row.steps),
                task: Ratios::restore(MAX_TASKS, &row.tasks),
            };
            self.queue_mut(&row.queue).classes[index] = Some(Box::new(times));
        }
    }

    /// Returns the times of a queue. If too many are remembered, the one that has not changed for
    /// longest is forgotten.
    fn queue_mut(&mut self, queue: &str) -> &mut QueueTimes {
        if self.queues.len() >= MAX_QUEUES && !self.queues.contains_key(queue) {
            let oldest = self.queues.iter().min_by_key(|(_, times)| times.changed);
            if let Some(oldest) = oldest.map(|(name, _)| name.clone()) {
                self.queues.remove(&oldest);
            }
        }
        self.changes += 1;
        let times = self.queues.entry(queue.into()).or_default();
        times.changed = self.changes;
        times
    }

    /// Returns the times of a class, if they are known well enough.
    fn class(&self, class: TaskClass<'_>) -> Option<&ClassTimes> {
        let times = self.queues.get(class.queue)?.classes[class.index()].as_deref()?;
        times.is_known().then_some(times)
    }

    /// Returns the expected ratio of the longest of `count` tasks to the mean of their step.
    fn longest_ratio(&self, class: TaskClass<'_>, count: u64) -> f64 {
        let part = count as f64 / (count + 1) as f64;
        self.class(class)
            .and_then(|times| times.task.quantile(part))
            .map_or(1.0, |ratio| ratio.max(1.0))
    }

    /// Returns the expected mean duration of the tasks of a step, in milliseconds: the durations of
    /// those that have ended and the projections of those that run, beside the expectation for
    /// their class.
    fn step_mean_ms(&self, step: &StepView<'_>) -> f64 {
        let expected_ms = self.task_ms(step.class) as f64;
        if self.class(step.class).is_none() {
            return expected_ms;
        }
        let mut weight = CLASS_WEIGHT + step.measured as f64;
        let mut sum_ms = expected_ms * CLASS_WEIGHT + step.measured_ms as f64;
        for projected_ms in step.running.iter().filter_map(|task| task.projected_ms) {
            weight += 1.0;
            sum_ms += projected_ms as f64;
        }
        sum_ms / weight
    }

    /// Returns the expected duration of the longest task of a step, in milliseconds.
    fn step_longest_ms(&self, step: &StepView<'_>) -> u64 {
        if step.is_done && step.measured > 0 {
            return step.longest_ms;
        }
        let mut longest_ms = step.longest_ms;
        let mut open = step.count.saturating_sub(step.measured);
        for projected_ms in step.running.iter().filter_map(|task| task.projected_ms) {
            longest_ms = longest_ms.max(projected_ms);
            open = open.saturating_sub(1);
        }
        longest_ms.max(self.longest_of_ms(step, open))
    }

    /// Returns the expected time until the last task of a step ends, in milliseconds, if all that
    /// wait start now.
    fn step_remaining_ms(&self, step: &StepView<'_>) -> u64 {
        let unknown = step
            .running
            .iter()
            .filter(|task| task.projected_ms.is_none());
        let total_ms = self.longest_of_ms(step, unknown.count() as u64);
        let mut longest_ms = self.longest_of_ms(step, step.waiting);
        for task in &step.running {
            let total_ms = task.projected_ms.unwrap_or(total_ms);
            longest_ms = longest_ms.max(total_ms.saturating_sub(task.age_ms));
        }
        longest_ms
    }

    /// Returns the expected duration of the longest of `count` tasks of a step, in milliseconds.
    fn longest_of_ms(&self, step: &StepView<'_>, count: u64) -> u64 {
        match count {
            0 => 0,
            _ => (self.step_mean_ms(step) * self.longest_ratio(step.class, count)) as u64,
        }
    }
}

/// Returns the latest end of the given steps, of which the ends are known.
fn latest(ends_ms: &[u64], steps: &[u32]) -> u64 {
    let ends_ms = steps.iter().filter_map(|step| ends_ms.get(*step as usize));
    ends_ms.copied().max().unwrap_or(0)
}
