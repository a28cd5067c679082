//! Tells the account of the time of jobs what the owner does.
//!
//! The reason why a task waits follows from the placement pass that has just considered it. Workers
//! are not evaluated again for it.

use crate::event::Action;
use crate::event::AppendOutcome;
use crate::event::Now;
use crate::ids::TaskId;
use crate::job_times::JobEnd;
use crate::job_times::Phase;
use crate::owner::Owner;
use crate::owner::job::Job;
use crate::owner::job::JobKey;
use crate::owner::task::Task;
use crate::owner::track::Hold;
use crate::owner::worker::Exclusion;
use crate::policy::link::CallPriority;
use crate::record::JobPhase;
use crate::record::Step;
use crate::record::Submission;

/// What a ranking of workers has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Ranking {
    eligible: u32,
    without_room: u32,
    disturbed: u32,
    without_permit: u32,
}

impl Ranking {
    pub(super) fn count(&mut self, result: &Result<i64, Exclusion>) {
        match result {
            Ok(_) => self.eligible += 1,
            Err(Exclusion::Room | Exclusion::Crowded | Exclusion::Spread | Exclusion::Kept) => {
                self.without_room += 1;
            }
            Err(Exclusion::Disturbed | Exclusion::Suspects) => self.disturbed += 1,
            Err(Exclusion::Permit) => self.without_permit += 1,
            Err(_) => {}
        }
    }

    /// Returns what a step waits for that was ranked and still has waiting tasks.
    fn phase(&self) -> Phase {
        match () {
            // The tasks before have used up the room.
            () if self.eligible > 0 => Phase::WaitRoom,
            () if self.without_room + self.disturbed == 0 && self.without_permit > 0 => {
                Phase::WaitPermit
            }
            () if self.without_room + self.disturbed == 0 => Phase::WaitWorker,
            () if self.disturbed > self.without_room => Phase::WaitInterference,
            () => Phase::WaitRoom,
        }
    }
}

impl Owner {
    /// Begins the account of a job that this owner has just read.
    pub(super) fn begin_times(&mut self, key: JobKey, now: Now) {
        let job = &self.jobs[key];
        let submission = job.submission.clone();
        if !self.is_timed(&submission) {
            return;
        }
        let Some(occurrence) = job.occurrences.first() else {
            return;
        };
        let mut progress = Vec::with_capacity(occurrence.steps.len());
        for state in &occurrence.steps {
            let mut running = Vec::new();
            for (index, task) in state.tasks.iter().enumerate() {
                if task.placement.is_some() {
                    running.push(index as u16);
                }
            }
            progress.push((state.done, running));
        }
        let age_ms = job.read_age_ms;
        let before = match self.is_caught_up {
            true => Phase::Accepting,
            false => Phase::Inherited,
        };
        self.timeline.begin(
            job.id,
            submission,
            (before, age_ms),
            progress,
            now.steady_ms,
        );
    }

    /// Begins and ends the account of a job whose final state a previous owner has recorded and not
    /// published.
    pub(super) fn begin_inherited_end(&mut self, job: &Job, now: Now) {
        if !job.phase.is_final() || !self.is_timed(&job.submission) {
            return;
        }
        let submission = job.submission.clone();
        let age_ms = job.read_age_ms;
        let mut progress = Vec::new();
        for step in &submission.steps {
            progress.push((step.count, Vec::new()));
        }
        let before = (Phase::Inherited, age_ms);
        self.timeline
            .begin(job.id, submission, before, progress, now.steady_ms);
        self.timeline
            .finish(job.id, end_of(job.phase), job.due_ms, now.steady_ms);
    }

    /// Ends the account of a job that has reached its final phase.
    pub(super) fn finish_times(&mut self, key: JobKey, now_ms: u64) {
        let job = &self.jobs[key];
        self.timeline
            .finish(job.id, end_of(job.phase), job.due_ms, now_ms);
    }

    /// Returns whether the time of a job is accounted for. Jobs that repeat or that run until they
    /// are cancelled have no end that callers wait for.
    fn is_timed(&self, submission: &Submission) -> bool {
        self.bounds.policy.accounts_times
            && submission.repetitions == 0
            && !submission.is_long_running()
    }

    /// Records what keeps all tasks from starting, if anything does.
    pub(super) fn account_holds(&mut self, now_ms: u64) {
        let is_link_full = !self.link.has_room(CallPriority::Start);
        let holds = [
            (Hold::Rules, self.are_starts_paused),
            (Hold::Link, is_link_full),
        ];
        for (hold, is_in_force) in holds {
            let since_ms = is_in_force.then_some(now_ms);
            self.timeline.set_hold(hold, since_ms, now_ms);
        }
    }

    /// Records whether the store has stored an append that was sent at `sent_ms`.
    pub(super) fn account_append(&mut self, outcome: AppendOutcome, sent_ms: u64, now_ms: u64) {
        let is_stored = matches!(outcome, AppendOutcome::Stored { .. });
        let since_ms = (!is_stored).then_some(sent_ms);
        self.timeline.set_hold(Hold::Store, since_ms, now_ms);
    }

    /// Records why a step waits that a placement pass has just considered.
    pub(super) fn account_wait(&mut self, key: JobKey, first: TaskId, step: &Step, now_ms: u64) {
        if !self.timeline.contains(first.job) {
            return;
        }
        let waiting = self.jobs[key].step_mut(first).and_then(|state| {
            let position = state.tasks.iter().position(|task| task.is_waiting())?;
            Some((position, state.tasks[position].not_before_ms))
        });
        let Some((index, not_before_ms)) = waiting else {
            return;
        };
        let id = TaskId {
            index: index as u16,
            ..first
        };
        let phase = match self.ranking.get() {
            _ if not_before_ms > now_ms => Phase::WaitPause,
            None if !step.is_gang => Phase::WaitOrder,
            None => Phase::WaitOther,
            Some(_) if self.is_held_back(id, now_ms) => Phase::WaitOther,
            Some(ranking) => ranking.phase(),
        };
        self.timeline.enter_waiting(first, phase, now_ms);
    }

    /// Returns whether a task waits for what became of its previous runs, or for a worker of its
    /// own.
    fn is_held_back(&self, id: TaskId, now_ms: u64) -> bool {
        let is_isolated = |task: &Task| task.isolation_until_ms.is_some();
        self.orphans.contains_key(&id)
            || self.undecided_until_ms(id, now_ms).is_some()
            || self.task(id).is_some_and(is_isolated)
    }

    /// Reports the jobs whose final states are published now.
    pub(super) fn report_published(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        for times in self.timeline.take_published(now_ms) {
            actions.push(Action::JobTimed(Box::new(times)));
        }
    }
}

fn end_of(phase: JobPhase) -> JobEnd {
    match phase {
        JobPhase::Failed => JobEnd::Failed,
        JobPhase::Cancelled => JobEnd::Cancelled,
        JobPhase::Completed | JobPhase::Queued | JobPhase::Running => JobEnd::Completed,
    }
}
