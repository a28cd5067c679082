//! Jobs as the owner knows them, with their occurrences, steps and tasks.

mod chain;

use crate::bounds::Bounds;
use crate::config::Resources;
use crate::event::Now;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::job_table::JobRecord;
use crate::owner::gangs::FailedRun;
use crate::owner::idle_starts::Idleness;
use crate::owner::job::chain::longest_chain_ms;
pub(crate) use crate::owner::job::chain::permit_call_ms;
use crate::owner::progress::resume_step;
use crate::owner::progress::step_progress;
use crate::owner::projections::Expectation;
use crate::owner::projections::KnownTimes;
use crate::owner::task::Task;
use crate::owner::worker::WorkerKey;
use crate::policy::fair_shares::JobDemand;
use crate::policy::fair_shares::QueueKey;
use crate::policy::ordering::WaitingJob;
use crate::policy::run_times::JobTimes;
use crate::policy::size::max_tasks;
use crate::record::JobPhase;
use crate::record::OccurrenceProgress;
use crate::record::Progress;
use crate::record::StateRecord;
use crate::record::Step;
use crate::record::Submission;
use slotmap::new_key_type;
use std::rc::Rc;

new_key_type! {
    /// Key of a job in the owner's table of jobs.
    pub(crate) struct JobKey;
}

/// State of one step of one occurrence.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done: u32,
    /// Number of tasks that run nowhere and are not done.
    pub(crate) waiting: u32,
    /// Time since which some of its tasks could run and do not.
    pub(crate) waiting_since_ms: Option<u64>,
    /// Newest run of a gang that was counted as failed, and what is known of the newest one that
    /// failed under this owner.
    pub(crate) counted_run: u32,
    pub(crate) failed_run: FailedRun,
    /// Number of tasks whose duration this owner has measured from start to success, and their
    /// total duration.
    pub(crate) ended: u32,
    pub(crate) ended_ms: u64,
}

impl StepState {
    fn new(step: &Step) -> Self {
        Self {
            tasks: vec![Task::default(); step.count as usize],
            done: 0,
            waiting: step.count,
            ..Self::default()
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Returns the number of tasks that run.
    pub(crate) fn running(&self) -> u64 {
        (self.tasks.len() as u64).saturating_sub(u64::from(self.done) + u64::from(self.waiting))
    }

    /// Records whether some of its tasks still wait after a placement pass, before which
    /// `waiting_before` tasks waited. If some tasks were placed, the others have not waited for
    /// long: their time starts anew.
    pub(crate) fn record_wait(&mut self, waits: bool, waiting_before: u32, now_ms: u64) {
        let since_ms = match self.waiting < waiting_before {
            true => now_ms,
            false => self.waiting_since_ms.unwrap_or(now_ms),
        };
        self.waiting_since_ms = waits.then_some(since_ms);
    }

    pub(crate) fn recount(&mut self) {
        self.done = 0;
        self.waiting = 0;
        for task in &self.tasks {
            self.done += u32::from(task.is_done);
            self.waiting += u32::from(task.is_waiting());
        }
    }
}

/// One occurrence of a job. A job without repetitions has one.
#[derive(Debug, Clone)]
pub(crate) struct Occurrence {
    pub(crate) number: u32,
    pub(crate) steps: Vec<StepState>,
    /// Since when nothing of it but long-running tasks runs, although a best-effort step has its
    /// turn.
    pub(crate) idle: Option<Idleness>,
}

impl Occurrence {
    pub(super) fn new(number: u32, submission: &Submission) -> Self {
        let mut steps = Vec::with_capacity(submission.steps.len());
        for step in &submission.steps {
            steps.push(StepState::new(step));
        }
        Self {
            number,
            steps,
            idle: None,
        }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// Returns the number of its tasks that run and are not long-running.
    pub(crate) fn running_until_done(&self, steps: &[Step]) -> u64 {
        let steps = self.steps.iter().zip(steps);
        let until_done = steps.filter(|(_, step)| !step.is_long_running);
        until_done.map(|(state, _)| state.running()).sum()
    }

    /// Returns whether the tasks of a step may start, as all steps before it are done.
    pub(crate) fn is_open(&self, step: &Step) -> bool {
        step.after.iter().all(|predecessor| {
            self.steps
                .get(*predecessor as usize)
                .is_some_and(StepState::is_done)
        })
    }
}

/// One job.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) submission: Rc<Submission>,
    /// Its queue, for its share.
    pub(crate) queue: QueueKey,
    pub(crate) specification: Rc<str>,
    pub(crate) occurrences: Vec<Occurrence>,
    pub(crate) next_occurrence: u32,
    pub(crate) phase: JobPhase,
    /// Whether runs of it are placed; kept up to date until it has begun.
    pub(crate) has_placements: bool,
    /// The phase that callers can see, or will see after an append in flight.
    pub(crate) published: JobPhase,
    /// Its progress has changed since it was last recorded.
    pub(crate) is_dirty: bool,
    /// Time since its acceptance when this owner read it. This process may be younger.
    pub(crate) read_age_ms: u64,
    arrived_ms: u64,
    /// Time by which its caller wants it to be completed.
    pub(crate) due_ms: u64,
    /// Time after which its completion has no value to its caller.
    pub(crate) no_value_after_ms: u64,
    /// Its expected work and projected end.
    pub(crate) known: KnownTimes,
    /// What was expected of it when its first task was assigned, if this owner has assigned it.
    pub(crate) expected: Option<Expectation>,
    pub(crate) final_wall_ms: u64,
    /// Some of its tasks wait only for a worker, or it is not known whether any do.
    pub(crate) has_waiting: bool,
}

/// Factor by which the objective of a job must be exceeded before its completion has no value.
const NO_VALUE_FACTOR: u64 = 3;
/// Longest time that is allowed for a job, a hundred years. Rules may name any number, and a job is
/// stored with those of its acceptance.
const MAX_ALLOWED_MS: u64 = 100 * 366 * 24 * 3_600_000;

impl Job {
    /// Restores a job from its records. Returns `None` if its submission is not on record.
    pub(crate) fn new(
        id: JobId,
        record: &JobRecord,
        progress: Option<&Progress>,
        now: Now,
        worker: impl FnMut(&str) -> WorkerKey,
    ) -> Option<Self> {
        let submission = record.submission.clone()?;
        let read_age_ms = record.age_ms(now);
        let arrived_ms = now.steady_ms.saturating_sub(read_age_ms);
        let mut job = Self {
            id,
            specification: submission.specification.as_str().into(),
            occurrences: Vec::new(),
            next_occurrence: 0,
            phase: record.recorded_phase(progress),
            has_placements: false,
            published: record.phase(),
            is_dirty: false,
            read_age_ms,
            arrived_ms,
            due_ms: 0,
            no_value_after_ms: 0,
            known: KnownTimes::default(),
            expected: None,
            final_wall_ms: 0,
            has_waiting: true,
            queue: QueueKey::default(),
            submission,
        };
        if let Some(progress) = progress {
            job.resume(progress, worker);
        }
        job.recount_placements();
        job.estimate_times();
        Some(job)
    }

    fn resume(&mut self, progress: &Progress, mut worker: impl FnMut(&str) -> WorkerKey) {
        self.next_occurrence = progress.next_occurrence;
        self.final_wall_ms = progress.final_wall_ms;
        for recorded in &progress.occurrences {
            let mut occurrence = Occurrence::new(recorded.number, &self.submission);
            for (state, step) in occurrence.steps.iter_mut().zip(&recorded.steps) {
                resume_step(state, step, &mut worker);
            }
            self.occurrences.push(occurrence);
        }
    }

    /// Opens the occurrences that are due, up to the maximum number of tasks under way. Returns
    /// whether it opened any.
    pub(crate) fn open_occurrences(&mut self, now: Now, bounds: &Bounds) -> bool {
        let max_tasks = max_tasks(bounds.max_record_bytes);
        let early_ms = bounds.early_ms;
        let mut has_new = false;
        while self.next_occurrence < self.submission.repetitions.max(1) {
            let open = self.occurrences.len() as u64;
            if open > 0 && (open + 1) * self.submission.tasks() > max_tasks {
                break;
            }
            if now.wall_ms + early_ms / 2 < self.occurrence_due_wall_ms(self.next_occurrence) {
                break;
            }
            self.occurrences
                .push(Occurrence::new(self.next_occurrence, &self.submission));
            self.next_occurrence += 1;
            self.has_waiting = true;
            has_new = true;
        }
        has_new
    }

    fn occurrence_due_wall_ms(&self, number: u32) -> u64 {
        match self.submission.repetitions {
            0 => 0,
            _ => {
                let after_ms = u64::from(number).saturating_mul(self.submission.interval_ms);
                self.submission.first_due_wall_ms.saturating_add(after_ms)
            }
        }
    }

    /// Returns what determines the job's place in the order of placement. Each occurrence of a
    /// repeated job is due separately: measured by the first occurrence, all later ones would be
    /// long past their objective and wait behind all other jobs.
    pub(crate) fn waiting(&self, rank: u32, now: Now) -> WaitingJob {
        let due_offset_ms = self.due_offset_ms(now);
        WaitingJob {
            priority: self.submission.priority,
            is_long_running: self.is_long_running(),
            rank,
            has_started: self.is_under_way(),
            due_ms: self.due_ms + due_offset_ms,
            allowed_ms: self.allowed_ms(),
            no_value_after_ms: self.no_value_after_ms + due_offset_ms,
            remaining_ms: self.known.times.remaining_ms,
        }
    }

    /// Returns whether it has tasks that run until it is cancelled.
    pub(crate) fn is_long_running(&self) -> bool {
        self.submission.is_long_running()
    }

    /// Sets its times by the estimates of its caller alone.
    pub(crate) fn estimate_times(&mut self) {
        self.known.times = JobTimes {
            chain_ms: longest_chain_ms(&self.submission, |_| true),
            remaining_ms: self.remaining_ms(),
        };
        self.set_objective(self.known.times.chain_ms);
    }

    /// Sets its objective by the work of its longest chain of steps.
    pub(crate) fn set_objective(&mut self, chain_ms: u64) {
        self.due_ms = self.due_of_ms(chain_ms);
        self.no_value_after_ms = self.arrived_ms + self.allowed_ms() * NO_VALUE_FACTOR;
    }

    /// Returns when it is due if its longest chain of steps takes the given time.
    pub(crate) fn due_of_ms(&self, chain_ms: u64) -> u64 {
        let stretched_ms = chain_ms.saturating_mul(self.submission.stretch_permille) / 1_000;
        let allowed_ms = stretched_ms.saturating_add(self.submission.target_latency_ms);
        self.arrived_ms + allowed_ms.min(MAX_ALLOWED_MS)
    }

    /// Returns the resources that its tasks have, and whether some of them wait.
    pub(crate) fn demand(&self) -> JobDemand {
        let mut held = Resources::default();
        for occurrence in &self.occurrences {
            for (state, step) in occurrence.steps.iter().zip(&self.submission.steps) {
                held = held.plus(step.requested().times(state.running()));
            }
        }
        JobDemand {
            queue: self.queue,
            held,
            waits: self.has_waiting,
        }
    }

    /// Returns the time that its caller allows for it, in milliseconds.
    pub(crate) fn allowed_ms(&self) -> u64 {
        self.due_ms - self.arrived_ms
    }

    /// Returns the time in milliseconds from the acceptance of the job until its first unfinished
    /// occurrence is due, at most until now. Returns 0 for jobs without repetitions. The time of day
    /// of its acceptance is from another host's clock and is not used.
    pub(crate) fn due_offset_ms(&self, now: Now) -> u64 {
        let open = self
            .occurrences
            .iter()
            .find(|occurrence| !occurrence.is_done());
        let Some(occurrence) = open.filter(|_| self.submission.repetitions > 0) else {
            return 0;
        };
        let due_wall_ms = self.occurrence_due_wall_ms(occurrence.number);
        let overdue_ms = now.wall_ms.saturating_sub(due_wall_ms);
        let arrived_age_ms = now.steady_ms - self.arrived_ms;
        arrived_age_ms.saturating_sub(overdue_ms)
    }

    /// Returns the remaining time in milliseconds of the longest chain of steps that have waiting
    /// tasks.
    fn remaining_ms(&self) -> u64 {
        let mut longest_ms = 0;
        for occurrence in &self.occurrences {
            let is_remaining = |number: usize| occurrence.steps[number].waiting > 0;
            longest_ms = longest_ms.max(longest_chain_ms(&self.submission, is_remaining));
        }
        longest_ms
    }

    pub(crate) fn task(&self, id: TaskId) -> Option<&Task> {
        self.step_state(id)?.tasks.get(usize::from(id.index))
    }

    /// Calls `visit` for all tasks of open occurrences.
    pub(crate) fn for_each_task(&self, mut visit: impl FnMut(TaskId, &Task)) {
        for occurrence in &self.occurrences {
            for (step, state) in occurrence.steps.iter().enumerate() {
                for (index, task) in state.tasks.iter().enumerate() {
                    let id = TaskId {
                        job: self.id,
                        occurrence: occurrence.number,
                        step: step as u16,
                        index: index as u16,
                    };
                    visit(id, task);
                }
            }
        }
    }

    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id)?.tasks.get_mut(usize::from(id.index))
    }

    pub(crate) fn step_mut(&mut self, id: TaskId) -> Option<&mut StepState> {
        self.occurrences
            .iter_mut()
            .find(|occurrence| occurrence.number == id.occurrence)?
            .steps
            .get_mut(usize::from(id.step))
    }

    /// Returns the state of the step of a task.
    pub(crate) fn step_state(&self, id: TaskId) -> Option<&StepState> {
        let mut occurrences = self.occurrences.iter();
        let occurrence = occurrences.find(|occurrence| occurrence.number == id.occurrence)?;
        occurrence.steps.get(usize::from(id.step))
    }

    pub(crate) fn step(&self, id: TaskId) -> Option<&Step> {
        self.submission.steps.get(usize::from(id.step))
    }

    /// Drops the finished occurrences of a repeated job. Returns whether all occurrences are done.
    pub(crate) fn is_finished(&mut self) -> bool {
        let keeps_last = self.submission.repetitions <= 1;
        if !keeps_last {
            self.occurrences.retain(|occurrence| !occurrence.is_done());
        }
        self.next_occurrence >= self.submission.repetitions.max(1)
            && self.occurrences.iter().all(Occurrence::is_done)
    }

    /// Returns its state as published to callers.
    pub(crate) fn state(&self) -> StateRecord {
        StateRecord {
            phase: self.phase as i32,
            final_wall_ms: self.final_wall_ms,
        }
    }

    /// Returns the record of its progress.
    pub(crate) fn progress(&self, name: impl Fn(WorkerKey) -> String) -> Progress {
        let mut occurrences = Vec::new();
        if !self.phase.is_final() {
            for occurrence in &self.occurrences {
                let mut steps = Vec::with_capacity(occurrence.steps.len());
                for state in &occurrence.steps {
                    steps.push(step_progress(state, &name));
                }
                occurrences.push(OccurrenceProgress {
                    number: occurrence.number,
                    steps,
                });
            }
        }
        Progress {
            phase: self.phase as i32,
            occurrences,
            next_occurrence: self.next_occurrence,
            final_wall_ms: self.final_wall_ms,
        }
    }
}
