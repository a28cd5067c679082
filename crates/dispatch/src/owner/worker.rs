//! Workers as the owner knows them.

use crate::config::Resources;
use crate::config::WorkerEntry;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::incarnation::Incarnation;
use crate::policy::images::ImageKey;
use crate::policy::interference::Baseline;
use crate::policy::interference::UsageWindow;
use crate::policy::polls::Activity;
use crate::policy::stragglers::Speed;
use crate::record::Step;
use slotmap::new_key_type;
use std::collections::BTreeMap;
use std::collections::VecDeque;

new_key_type! {
    /// A worker of the owner: one incarnation.
    pub(crate) struct WorkerKey;
}

/// Looks in a row without an answer that make a worker silent.
const MAX_MISSED_ANSWERS: u32 = 2;

/// Why a worker is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RemovalReason {
    /// Another worker answers at its address.
    Replaced,
    /// It has started again under its id.
    Restarted,
    /// It gives no answer, or is listed no more, and its leases are over.
    GivenUp,
}

impl RemovalReason {
    /// Tells whether another incarnation is there in its place.
    pub(crate) fn is_replaced(self) -> bool {
        matches!(self, RemovalReason::Replaced | RemovalReason::Restarted)
    }
}

/// What keeps a task from a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Exclusion {
    /// It is of another service.
    Service,
    /// The platform lists it no more.
    Unlisted,
    /// It has not answered this owner yet.
    Unheard,
    /// It gives no answer, or is on record as silent.
    Silent,
    /// It has started again, and has not reported itself since.
    Unreported,
    /// It is about to leave.
    Leaving,
    /// It failed tasks or refused them just now.
    Shunned,
    /// It has too little room.
    Room,
    /// It lacks the label.
    Label,
    /// It has as many tasks of the step as it may have.
    Spread,
    /// A filler would disturb, or is disturbing, who serves there.
    Disturbed,
    /// Fillers have taken what is unused there.
    Crowded,
    /// Something that may crash it is there already.
    Suspects,
    /// No permit is held for it.
    Permit,
    /// Its failure domain is evacuated, and nothing else keeps the task from there.
    Evacuated,
}

/// How far the order to start a run has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// Its record is not stored yet; no order was sent.
    Recording,
    /// The order is under way.
    Sent,
    /// A former owner put it on record; the worker was not asked yet.
    Inherited,
    /// An order got no answer; the run may be there, or come later.
    Doubtful { since_ms: u64 },
    /// It is there.
    Present { since_ms: u64 },
    /// It must end; a stop is under way or waits to be sent again.
    Stopping { again_ms: u64 },
    /// The worker has agreed to stop it and will not start it later.
    Stopped { since_ms: u64 },
}

/// A run that is on a worker, or may be.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) phase: RunPhase,
    /// Room that it takes.
    pub(crate) resources: Resources,
    /// Processor time that it would like, also if it takes none of its own.
    pub(crate) cpu_milli: u64,
    /// What it runs, as the owner numbers it.
    pub(crate) image: ImageKey,
    pub(crate) is_best_effort: bool,
    pub(crate) is_long_running: bool,
    pub(crate) tail_latency_target_ms: u64,
    /// Nobody awaits its end any more.
    pub(crate) is_orphan: bool,
    /// It has been at work for long enough that a crash of its worker does not speak against it.
    pub(crate) is_stable: bool,
    /// Its task may have crashed a worker before, and this run is to tell.
    pub(crate) is_probe: bool,
    /// Orders to start it that were sent.
    pub(crate) start_attempts: u32,
    /// Its worker has answered that it is there.
    pub(crate) was_confirmed: bool,
    pub(crate) checkpoint: Box<str>,
    pub(crate) percent: u32,
    /// When the order to start it was sent.
    pub(crate) started_ms: u64,
    /// From where its pace is measured: its start, or for one that resumed from a
    /// checkpoint what its first look told, and when.
    pub(crate) first_percent: u32,
    pub(crate) first_ms: u64,
    /// When its percent last rose.
    pub(crate) progressed_ms: u64,
    pub(crate) gauge: u64,
    /// The gauge as of the look before.
    pub(crate) previous_gauge: u64,
    /// What its ease was of late, if it serves.
    pub(crate) baseline: Baseline,
    /// Since when its tail is over its target.
    pub(crate) over_since_ms: Option<u64>,
    /// Share at which it may work, as last ordered.
    pub(crate) applied_share_percent: u32,
    /// Share at which it should work.
    pub(crate) target_share_percent: u32,
    /// An order to change its share is under way.
    pub(crate) is_share_change_pending: bool,
    /// Earliest time of the next such order, after one without effect.
    pub(crate) share_retry_ms: u64,
}

impl Run {
    /// Makes a run of a task of a step.
    pub(crate) fn new(step: &Step, image: ImageKey, phase: RunPhase, now_ms: u64) -> Self {
        Self {
            phase,
            resources: step.resources(),
            cpu_milli: step.cpu_milli,
            image,
            is_best_effort: step.is_best_effort,
            is_long_running: step.is_long_running,
            tail_latency_target_ms: step.tail_latency_target_ms,
            is_orphan: false,
            is_stable: false,
            is_probe: false,
            start_attempts: 0,
            was_confirmed: false,
            checkpoint: "".into(),
            percent: 0,
            started_ms: now_ms,
            first_percent: 0,
            first_ms: now_ms,
            progressed_ms: now_ms,
            gauge: 0,
            previous_gauge: 0,
            baseline: Baseline::default(),
            over_since_ms: None,
            applied_share_percent: 100,
            target_share_percent: 100,
            is_share_change_pending: false,
            share_retry_ms: 0,
        }
    }
}

impl Run {
    /// Has a run end of which no end is awaited any more, or awaits its end before the task
    /// starts anew. Tells whether no order to start it was ever sent, so that it is simply
    /// dropped. A run that waits for its second order is no such run: the first one had no
    /// answer, and may be carried out seconds later unless a stop bars it.
    pub(crate) fn request_stop(&mut self) -> bool {
        match self.phase {
            RunPhase::Recording if self.start_attempts == 0 => return true,
            RunPhase::Stopping { .. } | RunPhase::Stopped { .. } => {}
            _ => self.phase = RunPhase::Stopping { again_ms: 0 },
        }
        false
    }
}

/// One worker.
#[derive(Debug)]
pub(crate) struct Worker {
    /// What was last reported of it; of another incarnation than this one, it may be, as the store
    /// tells of one earlier or later than the worker itself.
    pub(crate) entry: WorkerEntry,
    /// Which incarnation it is, by its own answers, or on record.
    pub(crate) incarnation: Incarnation,
    /// This incarnation has said that it is about to leave.
    pub(crate) was_leaving: bool,
    /// The platform's list has it.
    pub(crate) is_listed: bool,
    /// It has answered this owner, so what runs there is known.
    pub(crate) is_known: bool,
    /// Looks in a row without an answer.
    pub(crate) missed_answers: u32,
    /// When the first answer was missing that none has followed.
    pub(crate) first_missed_ms: Option<u64>,
    /// Runs there of tasks that are suspected to crash workers, and have not shown otherwise yet.
    pub(crate) probes: u32,
    /// Those of them that were sent after its lease was over.
    pub(crate) misses_after_expiry: u32,
    /// Which of its relays carries its orders, and until when that is not the first one.
    pub(crate) relay_place: usize,
    pub(crate) relay_until_ms: u64,
    /// It is on record as silent, so a successor may count on its lease running out.
    pub(crate) is_recorded_silent: bool,
    /// Its clock, and when it was told.
    pub(crate) clock: Option<(u64, u64)>,
    /// After this time nothing that runs there can be alive, if it stays silent.
    pub(crate) leases_expired_ms: u64,
    /// A look is under way.
    pub(crate) is_poll_pending: bool,
    pub(crate) next_poll_ms: u64,
    pub(crate) answered_ms: u64,
    /// Newest end that was handled, and newest that is on record.
    pub(crate) handled_exit: u64,
    pub(crate) recorded_exit: u64,
    /// Newest end that it has forgotten, as it was told to.
    pub(crate) forgotten_exit: u64,
    pub(crate) runs: BTreeMap<(TaskId, u32), Run>,
    /// Room that its runs take.
    pub(crate) used: Resources,
    /// Processor time that fillers there would like.
    pub(crate) best_effort_milli: u64,
    /// The half second that its next figures tell of.
    pub(crate) window: UsageWindow,
    /// Processor time kept by lasting tasks, which use a part of it.
    pub(crate) long_running_milli: u64,
    /// No new work before this time.
    pub(crate) avoided_until_ms: u64,
    /// Paces of runs that ended there of late, and when they did.
    pub(crate) ended_speeds: VecDeque<(u64, Speed)>,
    /// Runs that failed there since the last one that ended well.
    pub(crate) consecutive_failures: u32,
    /// A run there may have to be told to stop, or to change its share.
    pub(crate) has_orders: bool,
    /// It may have changed since it was last looked over.
    pub(crate) is_changed: bool,
    /// When it needs attention, as of then.
    pub(crate) queued_due_ms: Option<u64>,
    /// When the shares of fillers may be changed again.
    pub(crate) next_share_change_ms: u64,
    /// Fillers work beside a served task that is over its target.
    pub(crate) is_over_target: bool,
}

impl Worker {
    pub(crate) fn new(entry: WorkerEntry, leases_expired_ms: u64) -> Self {
        Self {
            incarnation: entry.incarnation,
            was_leaving: entry.is_leaving,
            entry,
            is_listed: true,
            is_known: false,
            missed_answers: 0,
            first_missed_ms: None,
            probes: 0,
            misses_after_expiry: 0,
            relay_place: 0,
            relay_until_ms: 0,
            is_recorded_silent: false,
            clock: None,
            leases_expired_ms,
            is_poll_pending: false,
            next_poll_ms: 0,
            answered_ms: 0,
            handled_exit: 0,
            recorded_exit: 0,
            forgotten_exit: 0,
            runs: BTreeMap::new(),
            used: Resources::default(),
            best_effort_milli: 0,
            window: UsageWindow::default(),
            long_running_milli: 0,
            avoided_until_ms: 0,
            ended_speeds: VecDeque::new(),
            consecutive_failures: 0,
            has_orders: false,
            is_changed: false,
            queued_due_ms: None,
            next_share_change_ms: 0,
            is_over_target: false,
        }
    }

    /// Makes a worker of which only the name is known, from the record.
    pub(crate) fn unlisted(id: &str, leases_expired_ms: u64) -> Self {
        let mut worker = Self::new(
            WorkerEntry {
                id: id.into(),
                incarnation: Incarnation::UNKNOWN,
                service: "".into(),
                address: "".into(),
                failure_domain: "".into(),
                is_leaving: true,
                cold_ms: 0,
                resources: Resources::default(),
                rack: "".into(),
                labels: Box::default(),
            },
            leases_expired_ms,
        );
        worker.is_listed = false;
        worker
    }

    /// Notes that an answer is missing.
    pub(crate) fn record_missed_answer(&mut self, now_ms: u64) {
        self.missed_answers += 1;
        self.first_missed_ms.get_or_insert(now_ms);
    }

    /// Takes a run for sound, as it has been at work for a while.
    pub(crate) fn mark_stable(&mut self, task: TaskId, number: u32) {
        if let Some(run) = self.runs.get_mut(&(task, number)) {
            run.is_stable = true;
            self.probes -= u32::from(std::mem::take(&mut run.is_probe));
        }
    }

    /// Tells whether it is taken for cut off or dead. One lost answer says little.
    pub(crate) fn is_silent(&self) -> bool {
        self.missed_answers >= MAX_MISSED_ANSWERS
    }

    /// Tells whether something may be there that this owner can't see.
    pub(crate) fn is_in_doubt(&self) -> bool {
        !self.runs.is_empty() && (self.is_silent() || !self.is_known)
    }

    /// Lists what runs there of a job.
    pub(crate) fn runs_of(&self, job: JobId) -> impl Iterator<Item = &Run> {
        let first = TaskId {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let from_first = self.runs.range((first, 0)..);
        let own = from_first.take_while(move |((task, _), _)| task.job == job);
        own.map(|(_, run)| run)
    }

    /// Tells what it is about, as far as looks go.
    pub(crate) fn activity(&self) -> Activity {
        if self.runs.is_empty() {
            return Activity::None;
        }
        let lasts =
            |run: &Run| run.is_long_running && matches!(run.phase, RunPhase::Present { .. });
        match self.is_over_target || !self.runs.values().all(lasts) {
            true => Activity::Ending,
            false => Activity::LongRunning,
        }
    }

    /// Tells whether it may be dead, as far as its answers go.
    pub(crate) fn may_be_dead(&self) -> bool {
        self.is_silent() || !self.is_known || self.entry.address.is_empty()
    }

    /// Tells whether it is gone and nothing is left of it.
    pub(crate) fn is_over(&self) -> bool {
        !self.is_listed && self.runs.is_empty() && !self.is_poll_pending
    }

    /// Tells whether something waits for it to be given up, if it is dead.
    pub(crate) fn holds_up(&self) -> bool {
        !self.runs.is_empty() || !self.is_listed
    }

    /// Tells whether it can be looked at.
    pub(crate) fn can_be_polled(&self) -> bool {
        !self.entry.address.is_empty() && !self.is_poll_pending
    }

    /// Gives when it is to be looked at, or may be given up; `None` if nothing but an answer or a
    /// report will change that.
    pub(crate) fn next_due_ms(&self) -> Option<u64> {
        if self.is_over() {
            return Some(0);
        }
        let poll_ms = self.can_be_polled().then_some(self.next_poll_ms);
        let removal_ms =
            (self.may_be_dead() && self.holds_up()).then_some(self.leases_expired_ms + 1);
        poll_ms.into_iter().chain(removal_ms).min()
    }

    /// Takes in what the platform lists of it.
    pub(crate) fn update_entry(&mut self, entry: WorkerEntry) {
        self.is_listed = true;
        self.entry = entry;
        if !self.is_reported() {
            // Only an answer tells which incarnation lives.
            self.next_poll_ms = 0;
            return;
        }
        self.was_leaving |= self.entry.is_leaving;
    }

    /// Tells whether the report is of this incarnation. What another one had says nothing of its
    /// room, nor of whether it leaves.
    pub(crate) fn is_reported(&self) -> bool {
        !self.entry.incarnation.differs_from(self.incarnation)
    }

    /// Tells what keeps all new work from there, if anything does.
    pub(crate) fn exclusion(&self, now_ms: u64) -> Option<Exclusion> {
        let is_avoided = now_ms < self.avoided_until_ms;
        let avoided = is_avoided.then_some(Exclusion::Shunned);
        self.untimed_exclusion().or(avoided)
    }

    /// The same but for what ends by time alone.
    pub(crate) fn untimed_exclusion(&self) -> Option<Exclusion> {
        if !self.is_listed {
            return Some(Exclusion::Unlisted);
        }
        if !self.is_known || self.clock.is_none() {
            return Some(Exclusion::Unheard);
        }
        if self.is_silent() || self.is_recorded_silent {
            return Some(Exclusion::Silent);
        }
        if !self.is_reported() {
            return Some(Exclusion::Unreported);
        }
        if self.entry.is_leaving {
            return Some(Exclusion::Leaving);
        }
        None
    }

    /// Gives how many tasks of a step fit there.
    pub(crate) fn holds_of(&self, step: &Step) -> u32 {
        let mut free = self.free();
        let mut count = 0;
        while count < step.count && free.can_fit(step.resources()) {
            free = free.minus(step.resources());
            count += 1;
        }
        match step.max_per_worker {
            0 => count,
            most => count.min(most),
        }
    }

    pub(crate) fn free(&self) -> Resources {
        self.entry.resources.minus(self.used)
    }

    /// Gives the time of its clock, as estimated.
    pub(crate) fn clock_ms(&self, now_ms: u64) -> Option<u64> {
        let (clock_ms, at_ms) = self.clock?;
        Some(clock_ms + now_ms.saturating_sub(at_ms))
    }

    pub(crate) fn add(&mut self, task: TaskId, number: u32, run: Run) {
        self.used = self.used.plus(run.resources);
        if run.is_best_effort {
            self.best_effort_milli += run.cpu_milli;
        }
        if run.is_long_running {
            self.long_running_milli += run.cpu_milli;
        }
        self.probes += u32::from(run.is_probe);
        self.runs.insert((task, number), run);
    }

    pub(crate) fn remove(&mut self, task: TaskId, number: u32) -> Option<Run> {
        let run = self.runs.remove(&(task, number))?;
        self.used = self.used.minus(run.resources);
        self.probes -= u32::from(run.is_probe);
        if run.is_best_effort {
            self.best_effort_milli = self.best_effort_milli.saturating_sub(run.cpu_milli);
            self.window
                .record_end(run.image, run.gauge as f64 / 1_000.0);
        }
        if run.is_long_running {
            self.long_running_milli = self.long_running_milli.saturating_sub(run.cpu_milli);
        }
        Some(run)
    }
}
