//! Jobs as their owner knows them.

use crate::bounds::Bounds;
use crate::event::Now;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::incarnation::Incarnation;
use crate::ledger::JobRecord;
use crate::owner::permits::ASKED_MOST;
use crate::owner::worker::WorkerKey;
use crate::policy::ordering::Waiting;
use crate::policy::size::tasks_most;
use crate::policy::suspicion::Suspicion;
use crate::record::JobPhase;
use crate::record::LossRecord;
use crate::record::OccurrenceProgress;
use crate::record::Progress;
use crate::record::StateRecord;
use crate::record::Step;
use crate::record::StepProgress;
use crate::record::Submission;
use crate::record::TaskPhase;
use crate::record::TaskProgress;
use slotmap::new_key_type;
use std::collections::BTreeSet;
use std::rc::Rc;

new_key_type! {
    /// A job of the owner.
    pub(crate) struct JobKey;
}

/// Work of a task when its caller gives no estimate.
const UNKNOWN_WORK_MS: u64 = 1_000;

/// A run of a task that is on record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Placed {
    pub(crate) run: u32,
    pub(crate) worker: WorkerKey,
}

/// Times that the wait before the next run of a task doubles: from 30 ms to 1 s after a bad end.
/// Tasks that last must run again within seconds where they can.
const DOUBLINGS_MOST: u32 = 5;
/// Time for which a task that is suspected waits for a worker on which nothing else is. A job that
/// could run and does not for three seconds counts as lost.
const ALONE_WAIT_MS: u64 = 2_000;
/// Losses of a task that are kept until it is known what became of their workers.
const LOSSES_MOST: usize = 4;
/// Time for which a task that may have had its last starts waits until it is known whether workers
/// have crashed. Those that crash are back within twice a lease, mostly.
const SETTLE_MS: u64 = 6_000;

/// A run that went with a worker that was given up.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Loss {
    pub(crate) worker: Box<str>,
    pub(crate) address: Box<str>,
    pub(crate) incarnation: Incarnation,
    pub(crate) run: u32,
    /// The run may be the cause if the worker has crashed.
    pub(crate) is_suspect: bool,
    /// Nothing else there may be.
    pub(crate) is_alone: bool,
    /// The worker has answered that the run is there.
    pub(crate) is_confirmed: bool,
}

impl Loss {
    /// Tells whether the run was there for certain and may have crashed the worker. What a new owner
    /// has never seen there is not suspected: after an outage that would be all tasks of a domain.
    pub(crate) fn may_be_cause(&self) -> bool {
        self.is_suspect && self.is_confirmed
    }

    fn new(record: &LossRecord) -> Self {
        Self {
            worker: record.worker.as_str().into(),
            address: record.address.as_str().into(),
            incarnation: record.started_wall_ms.into(),
            run: record.run,
            is_suspect: record.is_suspect,
            is_alone: record.is_alone,
            is_confirmed: record.is_confirmed,
        }
    }

    fn record(&self) -> LossRecord {
        LossRecord {
            worker: self.worker.to_string(),
            address: self.address.to_string(),
            started_wall_ms: self.incarnation.started_wall_ms(),
            run: self.run,
            is_suspect: self.is_suspect,
            is_alone: self.is_alone,
            is_confirmed: self.is_confirmed,
        }
    }
}

/// One task.
#[derive(Debug, Clone, Default)]
pub(crate) struct Task {
    pub(crate) is_done: bool,
    /// Number of its latest run; 0 before the first.
    pub(crate) run: u32,
    pub(crate) failures: u32,
    /// Its run, if one may be on a worker.
    pub(crate) placed: Option<Placed>,
    /// A second run beside it, of a step that allows copies.
    pub(crate) copy: Option<Placed>,
    pub(crate) checkpoint: Box<str>,
    /// Earliest time of the next run.
    pub(crate) not_before_ms: u64,
    /// Runs in a row that ended badly, or were refused, before they had worked for a while.
    pub(crate) mishaps: u32,
    /// Worker on which it failed last; another one is tried first.
    pub(crate) failed_on: Option<WorkerKey>,
    /// Until when its next run waits for a worker on which nothing else is suspected, if it does.
    pub(crate) alone_until_ms: Option<u64>,
    /// What speaks against it when its workers crash.
    pub(crate) suspicion: Suspicion,
    /// Runs that went with workers of which it is not known whether they have crashed.
    pub(crate) losses: Vec<Loss>,
    /// When the newest of them was.
    pub(crate) lost_ms: u64,
}

impl Task {
    /// Lets go of a run that is over; its copy, if there is one, takes its place. Tells
    /// whether the run was the task's at all.
    pub(crate) fn let_go(&mut self, run: Placed) -> bool {
        if self.placed == Some(run) {
            self.placed = self.copy.take();
            return true;
        }
        self.copy.take_if(|copy| *copy == run).is_some()
    }

    /// Has it wait before its next run: at first for as long as given, and twice as long with each
    /// mishap in a row, so that a task which can't run anywhere does not keep store and workers
    /// busy.
    pub(crate) fn wait_longer(&mut self, first_ms: u64, now_ms: u64) {
        let doublings = self.mishaps.min(DOUBLINGS_MOST);
        self.not_before_ms = now_ms + (first_ms << doublings);
        self.mishaps += 1;
    }

    pub(crate) fn is_waiting(&self) -> bool {
        !self.is_done && self.placed.is_none()
    }

    /// Tells whether it may have crashed a worker.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspicion.is_open() || self.losses.iter().any(Loss::may_be_cause)
    }

    /// Begins, or goes on, to wait for a worker on which nothing else is suspected, as there are
    /// only others. Gives until when it waits.
    pub(crate) fn wait_alone(&mut self, now_ms: u64) -> u64 {
        *self.alone_until_ms.get_or_insert(now_ms + ALONE_WAIT_MS)
    }

    /// Tells whether it may still wait for such a worker.
    pub(crate) fn may_wait_alone(&self, now_ms: u64) -> bool {
        self.alone_until_ms.is_none_or(|until_ms| now_ms < until_ms)
    }

    /// Keeps a loss until it is known what became of its worker.
    pub(crate) fn note_loss(&mut self, loss: Loss, now_ms: u64) {
        self.lost_ms = now_ms;
        if self.losses.len() == LOSSES_MOST {
            self.losses.remove(0);
        }
        self.losses.push(loss);
    }

    /// Gives under how many of its runs workers may have crashed, where that is not known yet. A
    /// gang may lose several in one run, which counts once.
    pub(crate) fn unsettled(&self) -> u32 {
        let suspects = self.losses.iter().filter(|loss| loss.is_suspect);
        let runs: BTreeSet<u32> = suspects.map(|loss| loss.run).collect();
        runs.len() as u32
    }

    /// Gives until when it waits for what became of its workers, if it does.
    pub(crate) fn settles_ms(&self, now_ms: u64) -> Option<u64> {
        let until_ms = self.lost_ms + SETTLE_MS;
        (self.suspicion.awaits(self.unsettled()) && now_ms < until_ms).then_some(until_ms)
    }

    /// Takes what was lost with a worker.
    pub(crate) fn take_losses(&mut self, worker: &str) -> Vec<Loss> {
        self.losses
            .extract_if(.., |loss| *loss.worker == *worker)
            .collect()
    }
}

/// The tasks of one step of one occurrence.
#[derive(Debug, Clone, Default)]
pub(crate) struct StepState {
    pub(crate) tasks: Vec<Task>,
    pub(crate) done: u32,
    /// Tasks that run nowhere.
    pub(crate) waiting: u32,
    /// Since when some of them could run and don't.
    pub(crate) waits_since_ms: Option<u64>,
    /// Runs that ended well under this owner, and the time that they took together.
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

    /// Notes whether some of its tasks wait, of which there were so many before. Those that wait
    /// while others of them get their turn have not waited for long.
    pub(crate) fn note_wait(&mut self, waits: bool, before: u32, now_ms: u64) {
        let since_ms = match self.waiting < before {
            true => now_ms,
            false => self.waits_since_ms.unwrap_or(now_ms),
        };
        self.waits_since_ms = waits.then_some(since_ms);
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

/// One time that a job runs.
#[derive(Debug, Clone)]
pub(crate) struct Occurrence {
    pub(crate) number: u32,
    pub(crate) steps: Vec<StepState>,
}

impl Occurrence {
    fn new(number: u32, submission: &Submission) -> Self {
        let mut steps = Vec::with_capacity(submission.steps.len());
        for step in &submission.steps {
            steps.push(StepState::new(step));
        }
        Self { number, steps }
    }

    pub(crate) fn is_done(&self) -> bool {
        self.steps.iter().all(StepState::is_done)
    }

    /// Tells whether the tasks of a step may start.
    pub(crate) fn is_open(&self, step: &Step) -> bool {
        step.after.iter().all(|before| {
            self.steps
                .get(*before as usize)
                .is_some_and(StepState::is_done)
        })
    }
}

/// One job.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) submission: Rc<Submission>,
    pub(crate) specification: Rc<str>,
    pub(crate) occurrences: Vec<Occurrence>,
    pub(crate) next_occurrence: u32,
    pub(crate) phase: JobPhase,
    /// The phase that callers are told, or will be by an append under way.
    pub(crate) told: JobPhase,
    /// The record of its progress is behind.
    pub(crate) is_dirty: bool,
    /// Time by which its caller would like it done.
    pub(crate) due_ms: u64,
    /// Time after which its end is worth nothing to its caller.
    pub(crate) worthless_ms: u64,
    pub(crate) final_wall_ms: u64,
    /// Tasks that must wait for nothing but a worker, or `true` if that has to be found out.
    pub(crate) has_waiting: bool,
}

/// An objective counts as missed for good when it is missed by this factor.
const WORTHLESS_FACTOR: u64 = 3;

impl Job {
    /// Takes a job over from the record.
    pub(crate) fn new(
        id: JobId,
        record: &JobRecord,
        progress: Option<&Progress>,
        now: Now,
        worker: impl FnMut(&str) -> WorkerKey,
    ) -> Option<Self> {
        let submission = record.submission.clone()?;
        let age_ms = now.wall_ms.saturating_sub(submission.accepted_wall_ms);
        let allowed_ms = submission.target_latency_ms
            + chain_ms(&submission, |_| true) * submission.stretch_permille / 1_000;
        let arrived_ms = now.steady_ms.saturating_sub(age_ms);
        let mut job = Self {
            id,
            specification: submission.specification.as_str().into(),
            occurrences: Vec::new(),
            next_occurrence: 0,
            phase: progress.map_or(JobPhase::Queued, Progress::phase),
            told: record.phase(),
            is_dirty: false,
            due_ms: arrived_ms + allowed_ms,
            worthless_ms: arrived_ms + allowed_ms * WORTHLESS_FACTOR,
            final_wall_ms: 0,
            has_waiting: true,
            submission,
        };
        if let Some(progress) = progress {
            job.resume(progress, worker);
        }
        Some(job)
    }

    fn resume(&mut self, progress: &Progress, mut worker: impl FnMut(&str) -> WorkerKey) {
        self.next_occurrence = progress.next_occurrence;
        self.final_wall_ms = progress.final_wall_ms;
        for past in &progress.occurrences {
            let mut occurrence = Occurrence::new(past.number, &self.submission);
            for (state, step) in occurrence.steps.iter_mut().zip(&past.steps) {
                resume_step(state, step, &mut worker);
            }
            self.occurrences.push(occurrence);
        }
    }

    /// Opens the occurrences that are due, as many as may be under way, and tells whether there
    /// were any.
    pub(crate) fn open_occurrences(&mut self, now: Now, bounds: &Bounds) -> bool {
        let tasks_most = tasks_most(bounds.record_most_bytes);
        let early_ms = bounds.early_ms;
        let mut has_new = false;
        while self.next_occurrence < self.submission.repetitions.max(1) {
            let open = self.occurrences.len() as u64;
            if open > 0 && (open + 1) * self.submission.tasks() > tasks_most {
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

    /// Gives what decides its place in the order of jobs. A job that runs several times is due
    /// anew with each of them: by its first time, all later ones would be long past their
    /// objective, and would wait behind everything else.
    pub(crate) fn waiting(&self, now: Now) -> Waiting {
        let later_ms = self.later_ms(now);
        Waiting {
            priority: self.submission.priority,
            is_lasting: self.submission.steps.iter().any(|step| step.is_lasting),
            has_begun: self.phase != JobPhase::Queued,
            due_ms: self.due_ms + later_ms,
            worthless_ms: self.worthless_ms + later_ms,
            left_ms: self.left_ms(),
        }
    }

    /// Gives how long after the job came the first of its times that is not over was due.
    fn later_ms(&self, now: Now) -> u64 {
        let open = self
            .occurrences
            .iter()
            .find(|occurrence| !occurrence.is_done());
        let Some(occurrence) = open.filter(|_| self.submission.repetitions > 0) else {
            return 0;
        };
        let due_wall_ms = self
            .occurrence_due_wall_ms(occurrence.number)
            .min(now.wall_ms);
        due_wall_ms.saturating_sub(self.submission.accepted_wall_ms)
    }

    /// Gives the time that the longest chain of steps still takes in which tasks wait.
    fn left_ms(&self) -> u64 {
        let mut longest_ms = 0;
        for occurrence in &self.occurrences {
            let is_left = |number: usize| occurrence.steps[number].waiting > 0;
            longest_ms = longest_ms.max(chain_ms(&self.submission, is_left));
        }
        longest_ms
    }

    pub(crate) fn task(&self, id: TaskId) -> Option<&Task> {
        let mut occurrences = self.occurrences.iter();
        occurrences
            .find(|occurrence| occurrence.number == id.occurrence)?
            .steps
            .get(usize::from(id.step))?
            .tasks
            .get(usize::from(id.index))
    }

    /// Goes through all tasks of occurrences that are under way.
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

    pub(crate) fn step(&self, id: TaskId) -> Option<&Step> {
        self.submission.steps.get(usize::from(id.step))
    }

    /// Drops finished occurrences, and tells whether all are done.
    pub(crate) fn is_finished(&mut self) -> bool {
        let keeps_last = self.submission.repetitions <= 1;
        if !keeps_last {
            self.occurrences.retain(|occurrence| !occurrence.is_done());
        }
        self.next_occurrence >= self.submission.repetitions.max(1)
            && self.occurrences.iter().all(Occurrence::is_done)
    }

    /// Gives its state as callers are to be told it.
    pub(crate) fn state(&self) -> StateRecord {
        StateRecord {
            phase: self.phase as i32,
            final_wall_ms: self.final_wall_ms,
        }
    }

    /// Gives the record of its progress.
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

fn resume_step(
    state: &mut StepState,
    step: &StepProgress,
    worker: &mut impl FnMut(&str) -> WorkerKey,
) {
    for task in &mut state.tasks {
        task.is_done = step.is_done;
    }
    for (task, past) in state.tasks.iter_mut().zip(&step.tasks) {
        task.run = past.run.max(past.copy_run);
        task.failures = past.failures;
        task.checkpoint = past.checkpoint.as_str().into();
        task.is_done = past.phase() == TaskPhase::Done;
        task.suspicion = Suspicion {
            crashes: past.crashes,
            confirmed: past.confirmed,
            starts: past.suspect_starts,
            run: past.crashed_run,
            address: past.crashed_address.as_str().into(),
        };
        task.losses = past.losses.iter().map(Loss::new).collect();
        if past.phase() == TaskPhase::Assigned {
            task.placed = Some(Placed {
                run: past.run,
                worker: worker(&past.worker),
            });
        }
        if !past.copy_worker.is_empty() {
            task.copy = Some(Placed {
                run: past.copy_run,
                worker: worker(&past.copy_worker),
            });
        }
    }
    state.recount();
}

fn step_progress(state: &StepState, name: &impl Fn(WorkerKey) -> String) -> StepProgress {
    if state.is_done() {
        return StepProgress {
            is_done: true,
            tasks: Vec::new(),
        };
    }
    let is_untouched = state.tasks.iter().all(|task| task.run == 0);
    let mut tasks = Vec::new();
    for task in &state.tasks {
        if is_untouched {
            break;
        }
        let phase = match (task.is_done, task.placed) {
            (true, _) => TaskPhase::Done,
            (false, Some(_)) => TaskPhase::Assigned,
            (false, None) => TaskPhase::Waiting,
        };
        tasks.push(TaskProgress {
            phase: phase as i32,
            run: task.placed.map_or(task.run, |placed| placed.run),
            failures: task.failures,
            worker: task
                .placed
                .map_or(String::new(), |placed| name(placed.worker)),
            checkpoint: task.checkpoint.to_string(),
            copy_run: task.copy.map_or(0, |copy| copy.run),
            copy_worker: task.copy.map_or(String::new(), |copy| name(copy.worker)),
            crashes: task.suspicion.crashes,
            confirmed: task.suspicion.confirmed,
            suspect_starts: task.suspicion.starts,
            crashed_run: task.suspicion.run,
            crashed_address: task.suspicion.address.to_string(),
            losses: task.losses.iter().map(Loss::record).collect(),
        });
    }
    StepProgress {
        is_done: false,
        tasks,
    }
}

/// Gives the work of the longest chain of those steps that are `counted`.
fn chain_ms(submission: &Submission, counted: impl Fn(usize) -> bool) -> u64 {
    let mut ends_ms: Vec<u64> = Vec::with_capacity(submission.steps.len());
    for (number, step) in submission.steps.iter().enumerate() {
        let mut start_ms = 0;
        for before in &step.after {
            start_ms = start_ms.max(ends_ms.get(*before as usize).copied().unwrap_or(0));
        }
        let work_ms = match step.estimated_ms {
            0 => UNKNOWN_WORK_MS,
            work_ms => work_ms,
        };
        let call_ms = match submission.needs_permits() {
            true => submission.permit_call_ms(ASKED_MOST),
            false => 0,
        };
        let took_ms = if counted(number) {
            call_ms + work_ms
        } else {
            0
        };
        ends_ms.push(start_ms + took_ms);
    }
    ends_ms.into_iter().max().unwrap_or(0)
}
