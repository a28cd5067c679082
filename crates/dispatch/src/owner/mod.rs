//! The owner of all jobs: starts, monitors and stops tasks on workers.
//!
//! The order of writes makes the work of a successor safe:
//!
//! - A run is recorded as assigned before the order to start it is sent, so a successor knows where
//!   each task may be.
//! - The exit of a run is recorded before its worker is told to forget it, so a successor finds it
//!   either in the record or at the worker.
//! - Everything else a successor learns by polling the workers under its higher token. From then
//!   on, they refuse whatever a previous owner still sends.

mod adopting;
mod begun;
mod calls;
mod costs;
mod crashes;
mod disturbance;
mod evacuating;
mod exits;
mod fair_shares;
mod gangs;
mod idle_starts;
mod incarnations;
mod job;
mod kept_room;
mod leases;
mod link;
mod long_running;
mod orders;
mod orphans;
mod permits;
mod phases;
mod placing;
mod polls;
mod predecessors;
mod progress;
mod projections;
mod protection;
mod recorded_times;
mod relaying;
mod replacements;
mod restarts;
mod run_reports;
mod shares;
mod starting;
mod stragglers;
mod suspects;
mod task;
mod timeline;
mod track;
mod waits;
mod worker;
mod worker_removal;
mod workers;
mod writing;

use crate::appender::Appender;
use crate::bounds::Bounds;
use crate::config::WorkerEntry;
use crate::election::HostSurvey;
use crate::evacuations::Evacuations;
use crate::event::Action;
use crate::event::Now;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::job_table::JobTable;
use crate::job_table::RecoveredState;
use crate::owner::calls::Order;
use crate::owner::crashes::Crashes;
use crate::owner::incarnations::DoubtfulStarts;
use crate::owner::job::Job;
use crate::owner::job::JobKey;
use crate::owner::kept_room::KeptRooms;
pub(crate) use crate::owner::link::records_bytes;
use crate::owner::permits::Permits;
use crate::owner::phases::Ranking;
use crate::owner::predecessors::Predecessor;
use crate::owner::timeline::Timeline;
pub use crate::owner::waits::WaitReason;
use crate::owner::worker::RunPhase;
use crate::owner::worker::WorkerKey;
use crate::owner::workers::Workers;
use crate::owner::writing::Writer;
use crate::policy::answer_timeouts::AnswerLatencies;
use crate::policy::claim_sightings::ClaimSightings;
use crate::policy::fair_shares::FairShares;
use crate::policy::images::Images;
use crate::policy::interference::InterferenceModel;
use crate::policy::link::CallPriority;
use crate::policy::link::LinkBudget;
use crate::policy::placing::placing_gap_ms;
use crate::policy::protection::OverTargetCause;
use crate::policy::run_times::RunTimes;
use crate::record::JobPhase;
use crate::record::Progress;
use crate::record::StateRecord;
use crate::record::Submission;
use crate::relay::Sessions;
use crate::worker_record::RestartRecord;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use slotmap::SlotMap;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;

/// Maximum time for which the owner continues without confirmation by the store or by most workers.
/// The store is silent for longer than this at times, the workers are not.
const MAX_UNCONFIRMED_MS: u64 = 1_500;
/// Age of the latest confirmation from which on the workers are asked to confirm the owner again.
const RECONFIRM_AFTER_MS: u64 = 300;
/// Lease that tasks get. A task whose worker falls silent is started elsewhere once its lease has
/// expired; for long-running tasks, that must be within 6 s. A new owner extends leases at the
/// latest 3.5 s after the previous one has ended: 2 s until that is noticed, and 1.5 s for a slow
/// store.
const LEASE_MS: u64 = 4_800;
/// Factor by which the owner overestimates leases: the clock of a worker may be slow by 2%. The
/// rest, and `LEASE_SLACK_MS`, cover the time in transit.
const CLOCK_SKEW_PERMILLE: u64 = 1_030;
const LEASE_SLACK_MS: u64 = 300;

/// Counts that the metrics show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OwnerStats {
    /// Orders to start that were sent.
    pub starts: u64,
    /// Orders to start that were decided and not sent.
    pub starts_withheld: u64,
    /// Orders to start that were refused for lack of resources.
    pub refused_for_resources: u64,
    /// Runs that succeeded.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that ended in any other way.
    pub broken: u64,
    /// Runs that were lost with a removed worker.
    pub lost: u64,
    /// Workers that were removed.
    pub workers_removed: u64,
    /// Removed workers in whose place another incarnation has answered.
    pub workers_replaced: u64,
    /// Jobs that were failed because one of their tasks crashes its workers.
    pub crashing_jobs_failed: u64,
    /// Polls that were sent to workers.
    pub polls: u64,
    /// Number of times that the sets of workers were refreshed for one worker.
    pub workers_refreshed: u64,
    /// Number of times that a worker was evaluated for a waiting step.
    pub evaluated: u64,
    /// Orders to change the CPU share of a best-effort task.
    pub share_changes: u64,
    /// Appends to the streams of progress and of states.
    pub appends: u64,
    /// Number of times that a call was deferred because the link was full, by priority.
    pub deferred: [u64; CallPriority::ALL.len()],
    /// Time in milliseconds that the link still needs for queued outgoing bytes.
    pub link_out_ms: u64,
    /// Time in milliseconds that the link still needs for expected incoming bytes.
    pub link_in_ms: u64,
    /// Usual latency of answers of workers, in milliseconds.
    pub answer_ms: u64,
    /// Orders that were sent over relays.
    pub relayed: u64,
    /// Relays that are connected and accept orders.
    pub relays: u64,
    /// Number of times that relays were selected for a worker.
    pub relay_selections: u64,
    /// Steps that have waited for a long time, by the reason.
    pub waits: [u64; WaitReason::ALL.len()],
    /// Time in milliseconds for which the first of them has waited, by the reason; 0 if there is
    /// none.
    pub oldest_waits_ms: [u64; WaitReason::ALL.len()],
    /// Hosts that are connected and whose queries this owner answers.
    pub informed_hosts: u64,
    /// Queries of other hosts.
    pub host_queries: u64,
    /// Time in milliseconds that latency-critical tasks were over their target, by cause.
    pub over_target_ms: [u64; OverTargetCause::ALL.len()],
    /// Number of times that a best-effort task was suspended.
    pub suspensions: u64,
    /// Number of times that one resumed.
    pub resumptions: u64,
    /// Number of tasks that were started at a reduced share as nothing of their job ran.
    pub idle_starts: u64,
    /// Steps whose durations this owner has learned.
    pub steps_learned: u64,
    /// Classes of tasks whose durations are expected by what was learned.
    pub classes_learned: u64,
    /// Waiting jobs that were expected to end after their objective when tasks were last placed.
    pub jobs_expected_late: u64,
    /// Number of times that room was kept for a wide task or a gang.
    pub rooms_kept: u64,
    /// Number of those times after which the task still waited.
    pub rooms_kept_in_vain: u64,
    /// Jain's index of the usage of queues that compete, in thousandths.
    pub fairness_permille: u64,
}

/// Reason for which an owner stops.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stepdown {
    /// A store or worker has seen a higher token.
    Fenced,
}

/// The owner's state.
#[derive(Debug)]
pub(crate) struct Owner {
    token: u64,
    /// When the claim of this owner was sent, and when it began to own.
    claim_sent_ms: u64,
    begun_ms: u64,
    /// Claims that this host knows of, by which it understands recorded times.
    claim_sightings: ClaimSightings,
    host: Box<str>,
    bounds: Bounds,
    /// Times at which the leases of workers expire that a previous owner recorded as silent.
    inherited_expiry_ms: HashMap<Box<str>, u64>,
    /// Workers that the newest record of silent workers names, be it stored or being appended.
    recorded_silent: BTreeSet<Box<str>>,
    /// Restarts of workers under their ids, as recorded for a successor.
    recorded_restarts: BTreeMap<Box<str>, RestartRecord>,
    jobs: SlotMap<JobKey, Job>,
    job_keys: HashMap<JobId, JobKey>,
    live_jobs: Vec<JobKey>,
    /// Progress of jobs that this owner has not read yet.
    unread_progress: HashMap<JobId, Progress>,
    /// All jobs that were in the store when this owner claimed are read.
    is_caught_up: bool,
    /// Workers as recorded for a successor.
    recorded_workers: BTreeMap<Box<str>, WorkerEntry>,
    /// Workers whose record may be out of date.
    unrecorded_workers: BTreeSet<Box<str>>,
    /// Jobs that have ended. Runs of them that are not stopped yet still use resources.
    finished_jobs: HashMap<JobId, Rc<Submission>>,
    workers: Workers,
    worker_keys: HashMap<Box<str>, WorkerKey>,
    /// Time up to which the platform's list of workers was read; `None` if this host has not read it.
    list_known_ms: Option<u64>,
    /// Newest time since when a task waits for the list to be read.
    list_wanted_ms: Option<u64>,
    /// This host is still loading that list. The list that it knows may be older than it is aware of.
    is_loading_list: bool,
    orders: HashMap<u64, Order>,
    link: LinkBudget,
    answers: AnswerLatencies,
    relays: Sessions,
    /// Orders are sent over relays where there are any.
    uses_relays: bool,
    /// There are connections to the other hosts, over which their queries are answered.
    answers_hosts: bool,
    /// Number of hosts that have announced themselves.
    host_count: usize,
    survey: HostSurvey,
    /// Time from which on orders no longer wait for the relays to be connected.
    relays_due_ms: u64,
    images: Images,
    interference: InterferenceModel,
    run_times: RunTimes,
    next_straggler_search_ms: u64,
    permits: Permits,
    evacuations: Rc<Evacuations>,
    /// The rules are too old to start tasks.
    are_starts_paused: bool,
    crashes: Crashes,
    /// Runs that workers have reported and that no task owns any more, with the worker that
    /// reported them last.
    orphans: HashMap<TaskId, (WorkerKey, u32)>,
    doubtful_starts: DoubtfulStarts,
    predecessor: Predecessor,
    writer: Writer,
    /// States of jobs that have begun, for this host's own table of jobs.
    begun_jobs: Vec<(JobId, StateRecord)>,
    /// When the store or most workers last confirmed this owner.
    confirmed_ms: u64,
    /// When this host last went on after a pause in which another one may have begun to own.
    resumed_ms: u64,
    /// The store does not confirm the owner at present, so the workers have to.
    needs_worker_confirmation: bool,
    is_leaving: bool,
    /// Number of polls that may be sent in this turn, and when it was last updated.
    poll_budget: usize,
    poll_budget_ms: u64,
    must_place: bool,
    next_place_ms: u64,
    /// Earliest time at which a task that is delayed may be placed.
    wake_ms: u64,
    /// When steps that have waited for a long time are reported next.
    next_waits_report_ms: u64,
    fair_shares: FairShares,
    /// When the resources of the services are summed next.
    next_sum_ms: u64,
    kept_rooms: KeptRooms,
    /// When jobs of which nothing runs are searched for next.
    next_idle_search_ms: u64,
    stepdown: Option<Stepdown>,
    timeline: Timeline,
    /// Result of the latest ranking for the step that is being placed.
    ranking: Cell<Option<Ranking>>,
    pub(crate) stats: OwnerStats,
}

impl Owner {
    /// Starts to own the jobs of the job table, under a token that the store has accepted.
    /// `heartbeats` continues the appends of the heartbeats that were sent since the claim.
    #[expect(
        clippy::too_many_arguments,
        reason = "These are what a claim has come to, and what every decision takes."
    )]
    pub(crate) fn new(
        host: &str,
        token: u64,
        bounds: &Bounds,
        job_table: &JobTable,
        recovered: RecoveredState,
        heartbeats: Appender,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Self {
        let mut owner = Self {
            token,
            claim_sent_ms: recovered.claim_sent_ms,
            begun_ms: now.steady_ms,
            claim_sightings: recovered.claim_sightings,
            host: host.into(),
            bounds: bounds.clone(),
            inherited_expiry_ms: HashMap::new(),
            recorded_silent: BTreeSet::new(),
            recorded_restarts: recovered.restarts,
            jobs: SlotMap::with_key(),
            job_keys: HashMap::new(),
            live_jobs: Vec::new(),
            unread_progress: HashMap::new(),
            is_caught_up: false,
            recorded_workers: recovered.workers,
            unrecorded_workers: BTreeSet::new(),
            finished_jobs: HashMap::new(),
            workers: Workers::new(),
            worker_keys: HashMap::new(),
            list_known_ms: None,
            list_wanted_ms: None,
            is_loading_list: true,
            orders: HashMap::new(),
            link: LinkBudget::new(bounds.link_bytes_per_s),
            answers: AnswerLatencies::default(),
            relays: Sessions::new(bounds.descriptors),
            uses_relays: false,
            answers_hosts: false,
            host_count: 0,
            survey: HostSurvey::default(),
            relays_due_ms: 0,
            images: Images::default(),
            interference: InterferenceModel::default(),
            run_times: RunTimes::default(),
            next_straggler_search_ms: 0,
            permits: Permits::default(),
            evacuations: Rc::default(),
            are_starts_paused: false,
            crashes: Crashes::default(),
            orphans: HashMap::new(),
            doubtful_starts: DoubtfulStarts::default(),
            predecessor: Predecessor::default(),
            writer: Writer::new(heartbeats, now.steady_ms),
            begun_jobs: Vec::new(),
            confirmed_ms: now.steady_ms,
            resumed_ms: 0,
            needs_worker_confirmation: false,
            is_leaving: false,
            poll_budget: 0,
            poll_budget_ms: 0,
            must_place: true,
            next_place_ms: 0,
            wake_ms: u64::MAX,
            next_waits_report_ms: 0,
            fair_shares: FairShares::default(),
            next_sum_ms: 0,
            kept_rooms: KeptRooms::default(),
            next_idle_search_ms: 0,
            stepdown: None,
            timeline: Timeline::default(),
            ranking: Cell::default(),
            stats: OwnerStats::default(),
        };
        owner.inherit_leases(&recovered.learned, now.steady_ms, actions);
        if bounds.policy.inherits_interference {
            owner
                .interference
                .resume(&recovered.learned, &mut owner.images);
            owner.run_times.resume(&recovered.learned.run_times);
        }
        owner.fair_shares.resume(&recovered.learned.queues);
        let mut ids: Vec<JobId> = job_table.jobs.keys().copied().collect();
        ids.sort_unstable();
        owner.update_hosts(&job_table.hosts);
        owner.unread_progress = recovered.jobs;
        for id in ids {
            owner.adopt(id, job_table, now, actions);
        }
        owner.writer.announce();
        owner
    }

    /// Cancels a job.
    pub(crate) fn cancel(&mut self, id: JobId, now: Now, actions: &mut Vec<Action>) {
        if let Some(key) = self.job_keys.get(&id) {
            self.finish(*key, JobPhase::Cancelled, now, actions);
        }
    }

    /// Ends a job and stops all of its runs.
    fn finish(&mut self, key: JobKey, phase: JobPhase, now: Now, actions: &mut Vec<Action>) {
        if self.jobs[key].phase.is_final() {
            return;
        }
        let expectation = match phase {
            JobPhase::Completed => self.describe_expectation(key, now),
            _ => String::new(),
        };
        let job = &mut self.jobs[key];
        actions.push(Action::Note(Note::new(
            Code::JobFinished,
            job.id.to_string(),
            format!(
                "how={phase:?} queue={} spare_ms={}{expectation}",
                job.submission.queue,
                job.due_ms as i64 - now.steady_ms as i64
            ),
        )));
        job.phase = phase;
        job.final_wall_ms = now.wall_ms;
        job.has_waiting = false;
        job.is_dirty = true;
        let id = job.id;
        self.finish_times(key, now.steady_ms);
        self.permits.remove_job(id);
        self.crashes.forget(id);
        self.orphans.retain(|task, _| task.job != id);
        self.stop_runs(id);
        self.must_place = true;
    }

    /// Orders all runs of a job to stop. Nothing waits for their exits any more.
    fn stop_runs(&mut self, id: JobId) {
        let mut with_runs = Vec::new();
        for (key, worker) in &self.workers {
            if worker.runs_of(id).next().is_some() {
                with_runs.push(key);
            }
        }
        for key in with_runs {
            let worker = &mut self.workers[key];
            worker.has_orders = true;
            let mut unsent = Vec::new();
            for ((task, number), run) in &mut worker.runs {
                if task.job != id || run.is_orphan {
                    continue;
                }
                run.is_orphan = true;
                if run.request_stop() {
                    unsent.push((*task, *number));
                }
            }
            for (task, number) in unsent {
                worker.remove(task, number);
            }
        }
    }

    /// Records that all jobs that were in the store at the claim are read. Until then, runs of
    /// unknown jobs continue and workers keep their exits, as they may belong to a job that was not
    /// read yet.
    pub(crate) fn mark_caught_up(&mut self) {
        if self.is_caught_up {
            return;
        }
        self.is_caught_up = true;
        // Progress that is left belongs to jobs whose keys were dropped.
        self.unread_progress.clear();
        for worker in self.workers.values_mut() {
            worker.handled_exit = worker.recorded_exit;
            worker.next_poll_ms = 0;
            for run in worker.runs.values_mut() {
                if run.is_orphan && matches!(run.phase, RunPhase::Present { .. }) {
                    run.phase = RunPhase::Stopping { again_ms: 0 };
                    worker.has_orders = true;
                }
            }
        }
    }

    /// Announces that the host is about to stop, so that another one claims the jobs.
    pub(crate) fn leave(&mut self) {
        if !self.is_leaving {
            self.writer.record_leases();
        }
        self.is_leaving = true;
        self.writer.announce();
    }

    /// Carries out all work that is due.
    pub(crate) fn advance(&mut self, now: Now, tickets: &mut u64, actions: &mut Vec<Action>) {
        self.link.refill(now.steady_ms);
        self.resolve_replaced_workers(now, actions);
        self.maintain_connections(now, tickets, actions);
        self.open_due_occurrences(now);
        self.check_confirmed(now.steady_ms);
        if !self.awaits_relays(now.steady_ms) {
            self.send_due_polls(now, tickets, actions);
        }
        self.replace_stragglers(now, actions);
        self.stop_orphans(now.steady_ms, tickets, actions);
        self.must_place |= now.steady_ms >= self.wake_ms;
        self.workers.refresh_changed();
        if self.must_place && now.steady_ms >= self.next_place_ms {
            self.must_place = false;
            self.wake_ms = u64::MAX;
            self.permits.begin_pass();
            let before = self.workers.evaluated();
            self.place(now, actions);
            let evaluated = self.workers.evaluated() - before;
            self.next_place_ms =
                now.steady_ms + placing_gap_ms(evaluated, self.bounds.cpu_permille);
        }
        self.request_permits(now, tickets, actions);
        self.send_share_changes(now.steady_ms, tickets, actions);
        self.write(now, tickets, actions);
        self.update_stats();
        self.report_waits(now, actions);
    }

    /// Updates the statistics of the link, of answers, of evaluated workers and of run times.
    fn update_stats(&mut self) {
        self.stats.evaluated = self.workers.evaluated();
        self.stats.workers_refreshed = self.workers.workers_refreshed();
        self.stats.steps_learned = self.run_times.steps_learned();
        self.stats.classes_learned = self.run_times.classes_learned();
        self.stats.answer_ms = self.answers.typical_delay_ms();
        self.stats.link_out_ms = self.link.outbound_ms();
        self.stats.link_in_ms = self.link.inbound_ms();
        for (priority, count) in self.link.deferred() {
            self.stats.deferred[priority as usize] = count;
        }
    }

    fn open_due_occurrences(&mut self, now: Now) {
        for key in &self.live_jobs {
            let job = &mut self.jobs[*key];
            if job.next_occurrence < job.submission.repetitions
                && job.open_occurrences(now, &self.bounds)
            {
                job.is_dirty = true;
                self.must_place = true;
            }
        }
    }

    /// Checks whether the workers confirm this owner: if most of them have answered under its token
    /// recently, no successor had called them before that.
    fn check_confirmed(&mut self, now_ms: u64) {
        // While the store confirms, the workers need not be counted.
        let needs_confirmation = now_ms >= self.confirmed_ms + RECONFIRM_AFTER_MS;
        if needs_confirmation && !self.needs_worker_confirmation {
            self.hasten_polls(now_ms);
        }
        self.needs_worker_confirmation = needs_confirmation;
        if !needs_confirmation {
            return;
        }
        let mut answered_ms = Vec::new();
        let mut listed = 0;
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            listed += 1;
            if worker.is_known && worker.answered_poll_ms >= self.resumed_ms {
                answered_ms.push(worker.answered_ms);
            }
        }
        // Most of them have answered since the answer that is followed by half of all.
        let most = listed / 2;
        if answered_ms.len() > most {
            answered_ms.sort_unstable_by(|one, other| other.cmp(one));
            self.confirmed_ms = self.confirmed_ms.max(answered_ms[most]);
        }
    }

    /// Records that this host did nothing for so long that another one may own meanwhile. What was
    /// sent before that, and answered in between, no longer confirms this owner.
    pub(crate) fn record_pause(&mut self, now_ms: u64) {
        self.resumed_ms = now_ms;
    }

    /// Returns whether this owner may extend leases and start tasks.
    pub(crate) fn is_confirmed(&self, now_ms: u64) -> bool {
        now_ms < self.confirmed_ms + MAX_UNCONFIRMED_MS
    }

    pub(crate) fn stepdown(&self) -> Option<Stepdown> {
        self.stepdown
    }

    pub(crate) fn token(&self) -> u64 {
        self.token
    }
}
