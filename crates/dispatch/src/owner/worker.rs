//! Workers and their runs, as the owner knows them.

use crate::config::Resources;
use crate::config::WorkerEntry;
use crate::ids::JobId;
use crate::ids::StepId;
use crate::ids::TaskId;
use crate::incarnation::Incarnation;
use crate::owner::kept_room::KeptRoom;
use crate::owner::leases::LeaseBasis;
use crate::owner::restarts::Restart;
use crate::policy::images::ImageKey;
use crate::policy::interference::Baseline;
use crate::policy::interference::UsageWindow;
use crate::policy::polls::Activity;
use crate::policy::protection::AVERAGE_USE_PERCENT;
use crate::policy::protection::Limits;
use crate::policy::protection::Processors;
use crate::policy::stragglers::Speed;
use crate::record::Step;
use slotmap::new_key_type;
use std::collections::BTreeMap;
use std::collections::VecDeque;

new_key_type! {
    /// A worker of the owner: one incarnation.
    pub(crate) struct WorkerKey;
}

/// Consecutive polls without an answer after which a worker counts as silent.
const MAX_MISSED_ANSWERS: u32 = 2;

/// Time in which a worker that is alive answers the first poll of a new owner.
const FIRST_ANSWER_MS: u64 = 150;

/// Time for which a worker is kept free from new tasks for one that must be alone there. Runs are
/// stable after a second and one poll.
const RESERVATION_MS: u64 = 2_000;

/// Why a worker is removed. Logs print the variants by their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RemovalReason {
    /// Another worker answers at its address.
    Replaced,
    /// It has restarted under its id.
    Restarted,
    /// It does not answer, or is no longer listed, and its leases have expired.
    GivenUp,
}

impl RemovalReason {
    /// Returns whether another incarnation runs in its place.
    pub(crate) fn is_replaced(self) -> bool {
        matches!(self, RemovalReason::Replaced | RemovalReason::Restarted)
    }
}

/// Why a worker can't take a task. Logs print the variants by their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Exclusion {
    /// It is of another service.
    Service,
    /// The platform no longer lists it.
    Unlisted,
    /// It has not answered this owner yet.
    Unheard,
    /// It does not answer, or is recorded as silent.
    Silent,
    /// It has restarted, and the platform's list does not show the new incarnation yet.
    Unreported,
    /// It is draining.
    Leaving,
    /// It is avoided for a while, as it has failed or refused tasks.
    Shunned,
    /// It lacks the resources.
    Room,
    /// It lacks the label.
    Label,
    /// It has the maximum number of tasks of the step.
    Spread,
    /// A best-effort task would slow down a latency-critical task there, or already does.
    Disturbed,
    /// Best-effort tasks already use its unused processor time.
    Crowded,
    /// Another task that is suspected to crash workers is there already.
    Suspects,
    /// There is no valid permit for it.
    Permit,
    /// Its failure domain is evacuated, and there is no other reason.
    Evacuated,
    /// Its room is kept for another step.
    Kept,
}

/// Phase of a run, from the order to start it to its end. Logs print the variants by their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RunPhase {
    /// Its record is not stored yet; no order was sent.
    Recording,
    /// The order was sent and has no answer yet.
    Sent,
    /// A previous owner has recorded it; the worker was not polled yet.
    Inherited,
    /// The order timed out; the run may be there, or may start later.
    Doubtful { since_ms: u64 },
    /// The worker has confirmed it.
    Present { since_ms: u64 },
    /// It must stop; an order to stop it was sent, or waits to be sent again.
    Stopping { again_ms: u64 },
    /// The worker has accepted the order to stop it, and will not start it later.
    Stopped { since_ms: u64 },
}

/// A run that is, or may be, on a worker.
#[derive(Debug, Clone)]
pub(crate) struct Run {
    pub(crate) phase: RunPhase,
    /// Resources that it reserves.
    pub(crate) resources: Resources,
    /// Processor time that it requests, even if it reserves none.
    pub(crate) cpu_milli: u64,
    /// The owner's key of its image.
    pub(crate) image: ImageKey,
    pub(crate) is_best_effort: bool,
    pub(crate) is_long_running: bool,
    pub(crate) tail_latency_target_ms: u64,
    /// It is no longer a run of its task: nothing waits for its exit.
    pub(crate) is_orphan: bool,
    /// It has run for long enough that it is not suspected if its worker crashes.
    pub(crate) is_stable: bool,
    /// Latest time at which a previous owner had it confirmed; `None` if that is unknown.
    pub(crate) working_since_ms: Option<u64>,
    /// That it is stable is recorded for the next owner.
    pub(crate) is_work_recorded: bool,
    /// Its task is suspected to have crashed a worker, and this run is the test.
    pub(crate) is_probe: bool,
    /// Its task has lost several workers, and must be alone until this run is stable.
    pub(crate) is_test: bool,
    /// Number of orders to start it that were sent.
    pub(crate) start_attempts: u32,
    /// Its worker has confirmed it at least once.
    pub(crate) was_confirmed: bool,
    pub(crate) checkpoint: Box<str>,
    pub(crate) percent: u32,
    /// When the order to start it was sent.
    pub(crate) started_ms: u64,
    /// Point from which its speed is measured: its start or, if it resumed from a checkpoint, the
    /// first poll.
    pub(crate) first_percent: u32,
    pub(crate) first_ms: u64,
    /// When its progress last increased.
    pub(crate) progressed_ms: u64,
    pub(crate) gauge: u64,
    /// The gauge of the previous poll.
    pub(crate) previous_gauge: u64,
    /// Recent headroom, if it is latency-critical.
    pub(crate) baseline: Baseline,
    /// Since when its tail latency is over its target.
    pub(crate) over_since_ms: Option<u64>,
    /// Processor time that it is expected to use, at full share.
    pub(crate) used_milli: u64,
    /// Its headroom now without the best-effort tasks beside it, if it is latency-critical.
    pub(crate) solo_headroom: f64,
    /// Its share by the processor time that latency-critical tasks leave, and by the headroom that
    /// it takes from them. The lower one applies.
    pub(crate) processor_share_percent: u32,
    pub(crate) headroom_share_percent: u32,
    /// Greatest share that it gets beside latency-critical tasks.
    pub(crate) max_share_percent: u32,
    /// CPU share that the worker has last accepted; `None` if it may have another one, as a previous
    /// owner may have set it or the answer to an order was lost.
    pub(crate) applied_share_percent: Option<u32>,
    /// It had less than its full CPU share at some time.
    pub(crate) was_throttled: bool,
    /// CPU share that it should have.
    pub(crate) target_share_percent: u32,
    /// An order to change its CPU share was sent and has no answer yet.
    pub(crate) is_share_change_pending: bool,
    /// Earliest time of the next such order after one that failed.
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
            working_since_ms: None,
            is_work_recorded: false,
            is_probe: false,
            is_test: false,
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
            used_milli: match step.is_long_running {
                true => step.cpu_milli * AVERAGE_USE_PERCENT / 100,
                false => step.cpu_milli,
            },
            solo_headroom: f64::INFINITY,
            processor_share_percent: 100,
            headroom_share_percent: 100,
            max_share_percent: 100,
            applied_share_percent: Some(100),
            was_throttled: false,
            target_share_percent: 100,
            is_share_change_pending: false,
            share_retry_ms: 0,
        }
    }
}

impl Run {
    /// Limits the share that it gets beside latency-critical tasks.
    pub(crate) fn limit_share(&mut self, max_share_percent: u32) {
        self.max_share_percent = max_share_percent;
        self.headroom_share_percent = self.headroom_share_percent.min(max_share_percent);
    }

    /// Returns whether an order to start it may still be carried out. Each order before the last one
    /// had no answer, and one order that had an answer does not tell which of them it was.
    pub(crate) fn may_start_late(&self) -> bool {
        self.start_attempts > 1 || self.start_attempts == 1 && !self.was_confirmed
    }

    /// Requests that a run stops, because nothing waits for its exit any more, or because its task
    /// restarts after it. Tells whether no order to start it was ever sent, so that it can simply
    /// be dropped. A run that waits for its second order can't be dropped: the first one timed out
    /// and may be carried out seconds later, unless an order to stop prevents that.
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
    /// Its last entry in the platform's list. The entry may be of another incarnation, as the store
    /// may show a restart earlier or later than the worker itself.
    pub(crate) entry: WorkerEntry,
    /// Its incarnation, by its own answers or as recorded.
    pub(crate) incarnation: Incarnation,
    /// This incarnation has announced that it is draining.
    pub(crate) was_leaving: bool,
    /// That became known only after it had fallen silent, so it may have crashed before.
    pub(crate) left_while_silent: bool,
    /// The platform's list contains it.
    pub(crate) is_listed: bool,
    /// It has answered this owner, so its runs are known.
    pub(crate) is_known: bool,
    /// Consecutive polls without an answer.
    pub(crate) missed_answers: u32,
    /// When the first of them was missed.
    pub(crate) first_missed_ms: Option<u64>,
    /// Number of runs there of tasks that are suspected to crash workers and are not stable yet.
    pub(crate) probes: u32,
    /// Job that waits for the runs there to become stable, and until when.
    pub(crate) reserved_for: Option<(JobId, u64)>,
    /// Missed answers to polls that were sent after its leases had expired.
    pub(crate) misses_after_expiry: u32,
    /// Index of the relay that carries its orders, and until when that is not the first one.
    pub(crate) relay_index: usize,
    pub(crate) relay_index_until_ms: u64,
    /// It is recorded as silent, so a successor relies on the expiry of its leases.
    pub(crate) is_recorded_silent: bool,
    /// Time of its clock, and when it was received.
    pub(crate) clock: Option<(u64, u64)>,
    /// When its clock was last seen to jump, until a poll that was sent since is answered: it may have
    /// restarted, and reports of the previous incarnation may still arrive.
    pub(crate) clock_jumped_ms: Option<u64>,
    /// Its newest restart under its id that is known.
    pub(crate) restart: Option<Restart>,
    /// When the platform's list began to show another incarnation than had answered last, until a poll
    /// that was sent since is answered.
    pub(crate) restart_listed_ms: Option<u64>,
    /// Time after which nothing can run there any more if the worker stays silent.
    pub(crate) leases_expired_ms: u64,
    pub(crate) lease_basis: LeaseBasis,
    /// A poll was sent and has no answer yet.
    pub(crate) is_poll_pending: bool,
    /// When this owner polled it first.
    pub(crate) first_polled_ms: Option<u64>,
    pub(crate) next_poll_ms: u64,
    pub(crate) answered_ms: u64,
    /// When the poll was sent that it answered last.
    pub(crate) answered_poll_ms: u64,
    /// When it, or a previous incarnation, first answered this owner.
    pub(crate) first_answered_ms: Option<u64>,
    /// Number of the newest exit that was handled, and of the newest that is recorded.
    pub(crate) handled_exit: u64,
    pub(crate) recorded_exit: u64,
    /// Number of the newest exit that was acknowledged and that the worker has forgotten.
    pub(crate) forgotten_exit: u64,
    /// Its newest report may not list all of its exits.
    pub(crate) has_more_exits: bool,
    pub(crate) runs: BTreeMap<(TaskId, u32), Run>,
    /// Resources that its runs reserve.
    pub(crate) used: Resources,
    /// Processor time that best-effort runs there request.
    pub(crate) best_effort_milli: u64,
    /// The half second that the gauges of the next poll cover.
    pub(crate) window: UsageWindow,
    /// Processor time reserved by long-running tasks, which use a part of it.
    pub(crate) long_running_milli: u64,
    /// Processor time that they are expected to use.
    pub(crate) long_running_used_milli: u64,
    /// Demand for its processors that its latency-critical tasks bear now; `None` if it has none.
    pub(crate) limits: Option<Limits>,
    /// It gets no new tasks before this time.
    pub(crate) avoided_until_ms: u64,
    /// Speeds of runs that exited there recently, and when they did.
    pub(crate) ended_speeds: VecDeque<(u64, Speed)>,
    /// Runs that failed there since the last one that succeeded.
    pub(crate) consecutive_failures: u32,
    /// An order to stop a run there, or to change its CPU share, may be due.
    pub(crate) has_orders: bool,
    /// It may have changed since the sets of workers were last refreshed.
    pub(crate) is_changed: bool,
    /// Its time in the queue of due workers.
    pub(crate) queued_due_ms: Option<u64>,
    /// Earliest time of the next change of CPU shares by headroom.
    pub(crate) next_share_change_ms: u64,
    /// When its gauges were last read.
    pub(crate) gauged_ms: u64,
    /// Best-effort tasks run beside a latency-critical task that is over its target.
    pub(crate) is_over_target: bool,
    /// Room that is kept for a step.
    pub(crate) kept: Option<KeptRoom>,
}

impl Worker {
    pub(crate) fn new(entry: WorkerEntry, leases_expired_ms: u64) -> Self {
        Self {
            incarnation: entry.incarnation,
            was_leaving: entry.is_leaving,
            left_while_silent: false,
            entry,
            is_listed: true,
            is_known: false,
            missed_answers: 0,
            first_missed_ms: None,
            probes: 0,
            reserved_for: None,
            misses_after_expiry: 0,
            relay_index: 0,
            relay_index_until_ms: 0,
            is_recorded_silent: false,
            clock: None,
            clock_jumped_ms: None,
            restart: None,
            restart_listed_ms: None,
            leases_expired_ms,
            lease_basis: LeaseBasis::Assumed,
            is_poll_pending: false,
            first_polled_ms: None,
            next_poll_ms: 0,
            answered_ms: 0,
            answered_poll_ms: 0,
            first_answered_ms: None,
            handled_exit: 0,
            recorded_exit: 0,
            forgotten_exit: 0,
            has_more_exits: false,
            runs: BTreeMap::new(),
            used: Resources::default(),
            best_effort_milli: 0,
            window: UsageWindow::default(),
            long_running_milli: 0,
            long_running_used_milli: 0,
            limits: None,
            avoided_until_ms: 0,
            ended_speeds: VecDeque::new(),
            consecutive_failures: 0,
            has_orders: false,
            is_changed: false,
            queued_due_ms: None,
            next_share_change_ms: 0,
            gauged_ms: 0,
            is_over_target: false,
            kept: None,
        }
    }

    /// Makes a worker of which only the recorded id is known.
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

    /// Returns the age of its last answer to this owner for logs.
    pub(crate) fn describe_answer_age(&self, now_ms: u64) -> String {
        match self.answered_ms {
            0 => "never".into(),
            answered_ms => now_ms.saturating_sub(answered_ms).to_string(),
        }
    }

    /// Records a missed answer.
    pub(crate) fn record_missed_answer(&mut self, now_ms: u64) {
        self.missed_answers += 1;
        self.first_missed_ms.get_or_insert(now_ms);
    }

    /// Marks a run as stable, as it has run for long enough.
    pub(crate) fn mark_stable(&mut self, task: TaskId, number: u32) {
        if let Some(run) = self.runs.get_mut(&(task, number)) {
            run.is_stable = true;
            self.probes -= u32::from(std::mem::take(&mut run.is_probe));
        }
    }

    /// Keeps it free from new tasks of other jobs until a task of this job can be alone there.
    pub(crate) fn reserve(&mut self, job: JobId, now_ms: u64) {
        self.reserved_for = Some((job, now_ms + RESERVATION_MS));
    }

    /// Returns whether it is kept free for a task of a job.
    pub(crate) fn is_reserved_for(&self, job: JobId, now_ms: u64) -> bool {
        self.reserved_for
            .is_some_and(|(other, until_ms)| other == job && now_ms < until_ms)
    }

    /// Returns whether new tasks of a job must not start there, so that a crash shows whether a
    /// task of another job is the cause.
    pub(crate) fn is_closed_to(&self, job: JobId, now_ms: u64) -> bool {
        let is_other =
            |(id, run): (&(TaskId, u32), &Run)| run.is_test && !run.is_stable && id.0.job != job;
        self.reserved_for
            .is_some_and(|(other, until_ms)| other != job && now_ms < until_ms)
            || self.probes > 0 && self.runs.iter().any(is_other)
    }

    /// Returns whether no task of another job may be the cause if it crashes.
    pub(crate) fn is_quiet_for(&self, job: JobId) -> bool {
        let mut runs = self.runs.iter();
        runs.all(|((task, _), run)| run.is_stable || task.job == job)
    }

    /// Returns whether it counts as unreachable or dead. One missed answer says little.
    pub(crate) fn is_silent(&self) -> bool {
        self.missed_answers >= MAX_MISSED_ANSWERS
    }

    /// Returns whether something may run there that this owner can't see.
    pub(crate) fn is_in_doubt(&self) -> bool {
        !self.runs.is_empty() && (self.is_silent() || !self.is_known)
    }

    /// Lists the runs of a job there.
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

    /// Returns its activity, which decides how often it is polled.
    pub(crate) fn activity(&self) -> Activity {
        if self.runs.is_empty() {
            return Activity::None;
        }
        let is_confirmed_long_running =
            |run: &Run| run.is_long_running && matches!(run.phase, RunPhase::Present { .. });
        match self.is_over_target || !self.runs.values().all(is_confirmed_long_running) {
            true => Activity::Ending,
            false => Activity::LongRunning,
        }
    }

    /// Returns whether it may be dead, judging by its answers.
    pub(crate) fn may_be_dead(&self) -> bool {
        self.is_silent() || !self.is_known || self.entry.address.is_empty()
    }

    /// Returns whether it had time to answer this owner at least once, or can't be asked.
    pub(crate) fn was_asked(&self, now_ms: u64) -> bool {
        let is_asked = |polled_ms: u64| now_ms >= polled_ms + FIRST_ANSWER_MS;
        self.entry.address.is_empty()
            || self.missed_answers > 0
            || self.first_polled_ms.is_some_and(is_asked)
    }

    /// Returns whether it is no longer listed, has no runs, and no answer is pending.
    pub(crate) fn is_obsolete(&self) -> bool {
        !self.is_listed && self.runs.is_empty() && !self.is_poll_pending
    }

    /// Returns whether something waits for its removal, if it is dead.
    pub(crate) fn is_removal_awaited(&self) -> bool {
        !self.runs.is_empty() || !self.is_listed
    }

    /// Returns whether it can be polled.
    pub(crate) fn can_be_polled(&self) -> bool {
        !self.entry.address.is_empty() && !self.is_poll_pending
    }

    /// Returns when its next poll is due or it may be removed; `None` if only an answer or a new
    /// entry can change that.
    pub(crate) fn next_due_ms(&self) -> Option<u64> {
        if self.is_obsolete() {
            return Some(0);
        }
        let poll_ms = self.can_be_polled().then_some(self.next_poll_ms);
        let removal_ms =
            (self.may_be_dead() && self.is_removal_awaited()).then_some(self.leases_expired_ms + 1);
        poll_ms.into_iter().chain(removal_ms).min()
    }

    /// Updates its entry from the platform's list.
    pub(crate) fn update_entry(&mut self, entry: WorkerEntry) {
        self.is_listed = true;
        let names_other = !self.entry.incarnation.is_same_as(self.incarnation);
        self.entry = entry;
        if !self.is_reported() {
            // Only an answer shows which incarnation is alive.
            self.next_poll_ms = 0;
            return;
        }
        // The previous entry named no incarnation, so it may have been of the one before.
        if names_other && self.entry.incarnation.is_same_as(self.incarnation) {
            self.was_leaving = false;
        }
        let is_new = self.entry.is_leaving && !self.was_leaving;
        self.left_while_silent |= is_new && self.first_missed_ms.is_some();
        self.was_leaving |= self.entry.is_leaving;
    }

    /// Returns whether its entry is of this incarnation. The entry of another one says nothing about
    /// its resources, nor whether it is draining.
    pub(crate) fn is_reported(&self) -> bool {
        !self.entry.incarnation.differs_from(self.incarnation)
    }

    /// Returns why it can't take any new task, if so.
    pub(crate) fn exclusion(&self, now_ms: u64) -> Option<Exclusion> {
        let is_avoided = now_ms < self.avoided_until_ms;
        let avoided = is_avoided.then_some(Exclusion::Shunned);
        self.untimed_exclusion().or(avoided)
    }

    /// Returns the same, without reasons that end with time alone.
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

    /// Returns whether it has a label; each has the empty one.
    pub(crate) fn has_label(&self, label: &str) -> bool {
        label.is_empty() || self.entry.labels.iter().any(|own| **own == *label)
    }

    /// Returns whether the number of tasks of a step that run here permits one more.
    pub(crate) fn may_add(&self, step: &Step, id: StepId) -> bool {
        if step.max_per_worker == 0 {
            return true;
        }
        let own = self.runs.keys().filter(|(task, _)| StepId::of(*task) == id);
        own.count() < step.max_per_worker as usize
    }

    /// Returns how many tasks of a step fit.
    pub(crate) fn capacity_for(&self, step: &Step) -> u32 {
        let mut free = self.free();
        let mut count = 0;
        while count < step.count && free.can_fit(step.resources()) {
            free = free.minus(step.resources());
            count += 1;
        }
        match step.max_per_worker {
            0 => count,
            limit => count.min(limit),
        }
    }

    pub(crate) fn free(&self) -> Resources {
        self.entry.resources.minus(self.used)
    }

    /// Returns the use of its processors by all but best-effort tasks, if it has latency-critical
    /// ones.
    pub(crate) fn processors(&self) -> Option<Processors> {
        Some(Processors {
            capacity_milli: self.entry.resources.cpu_milli,
            reserved_milli: self.used.cpu_milli.saturating_sub(self.long_running_milli),
            long_running_milli: self.long_running_used_milli,
            limits: self.limits?,
        })
    }

    /// Returns the estimated time of its clock.
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
            self.long_running_used_milli += run.used_milli;
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
                .record_exit(run.image, run.gauge as f64 / 1_000.0);
        }
        if run.is_long_running {
            self.long_running_milli = self.long_running_milli.saturating_sub(run.cpu_milli);
            self.long_running_used_milli =
                self.long_running_used_milli.saturating_sub(run.used_milli);
        }
        Some(run)
    }
}
