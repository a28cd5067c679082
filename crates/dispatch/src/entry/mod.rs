//! The decisions of one entry host: it accepts jobs, answers queries of callers, and owns the
//! progress of all jobs while no other host does.

mod ages;
mod callers;
mod clock;
mod contact;
mod following;
mod forwarding;
mod job_tails;
mod loading;
mod ownership;
mod queries;
mod retirement;
mod rules;
mod scope;
mod suspension;
mod worker_list;

use crate::appender::Appender;
use crate::bounds::Bounds;
use crate::config::Config;
use crate::config::Decoders;
use crate::config::WorkerEntry;
use crate::election::Election;
pub use crate::entry::ages::Ages;
use crate::entry::callers::Callers;
use crate::entry::contact::StoreContact;
use crate::entry::job_tails::JobTails;
use crate::entry::loading::LoadingReport;
use crate::entry::retirement::Retirement;
pub use crate::entry::rules::Found;
use crate::entry::scope::Reading;
use crate::entry::scope::owner_tail;
use crate::evacuations::Evacuations;
use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::Event;
use crate::event::Fence;
use crate::event::Now;
use crate::event::ReadOutcome;
use crate::event::Stream;
use crate::job_table::Change;
use crate::job_table::JobTable;
use crate::job_table::RecoveredState;
use crate::owner::Owner;
use crate::owner::OwnerStats;
use crate::owner::records_bytes;
use crate::policy::claim_sightings::ClaimSightings;
use crate::policy::fair_shares::QueueShare;
use crate::policy::link::MAX_LIST_PAUSE_MS;
use crate::policy::time_of_day::TimeOfDay;
use crate::record::OwnerRecord;
use crate::relay::Relay;
use crate::tail::Tail;
use crate::tail::Update;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The streams that have a single partition.
const SINGLE_STREAMS: [Stream; 4] = [
    Stream::States,
    Stream::Progress,
    Stream::Rules,
    Stream::Workers,
];

/// A pending claim to own the progress of all jobs.
#[derive(Debug)]
struct Claim {
    fence: Fence,
    /// When the claim was first sent.
    sent_ms: Option<u64>,
    /// Ticket of the pending append of the claim.
    ticket: Option<u64>,
    retry_ms: u64,
    /// When the store confirmed the claim.
    confirmed_ms: Option<u64>,
    /// Appends heartbeats from then on, until this host owns.
    heartbeats: Appender,
    heartbeat: u64,
    /// An append of the claim had no answer, so the claim may be stored.
    is_doubtful: bool,
    withdrawal: Withdrawal,
}

/// Whether a claim is withdrawn, as its host stops before it owns.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Withdrawal {
    /// It is not.
    None,
    /// The other hosts are to be told, if the claim is stored.
    Due,
    /// The record that tells them was appended.
    Sent,
}

impl Claim {
    /// Returns the record that announces this claim to the other hosts. What the previous owner
    /// recorded about all hosts remains valid and is copied.
    fn record(&self, host: &str, previous: &OwnerRecord, now_ms: u64) -> OwnerRecord {
        OwnerRecord {
            token: self.fence.epoch,
            claim_age_ms: self.sent_ms.map_or(0, |sent_ms| now_ms - sent_ms),
            host: host.into(),
            is_leaving: self.withdrawal != Withdrawal::None,
            heartbeat: self.heartbeat,
            ..previous.clone()
        }
    }
}

/// The decisions of one entry host.
#[derive(Debug)]
pub struct Entry {
    host: Box<str>,
    /// Differs between hosts and between incarnations of a host.
    salt: u64,
    bounds: Bounds,
    decoders: Decoders,
    tickets: u64,
    reading: Reading,
    jobs: JobTails,
    states: Tail,
    /// Read only while this host is about to become the owner.
    progress: Tail,
    recovered: RecoveredState,
    rules: Tail,
    workers: Tail,
    loading: LoadingReport,
    last_jobs_read_ms: Option<u64>,
    /// When to read which hosts exist; set once an owner is on record.
    hosts_read_due_ms: Option<u64>,
    last_states_read_ms: u64,
    last_workers_read_ms: u64,
    /// Interval between reads of the list of workers.
    workers_interval_ms: u64,
    next_search_ms: u64,
    retirement: Option<Retirement>,
    job_table: JobTable,
    config: Option<Rc<Config>>,
    evacuations: Rc<Evacuations>,
    worker_entries: BTreeMap<Box<str>, WorkerEntry>,
    callers: Callers,
    election: Election,
    claim_sightings: ClaimSightings,
    claim: Option<Claim>,
    /// Ticket of the pending append that announces this host, and the earliest time of the next
    /// one.
    announcement: Option<u64>,
    next_announce_ms: u64,
    owner: Option<Owner>,
    /// Orders that this host relays from owners to workers.
    relay: Relay,
    past_stats: OwnerStats,
    /// When the store confirmed the claim by which this host owns.
    claimed_ms: u64,
    is_stopping: bool,
    is_store_unavailable: bool,
    contact: StoreContact,
    are_rules_outdated: bool,
    /// When this host last handled anything.
    handled_ms: u64,
    /// Offset of the wall clock from the steady clock.
    shown_offset_ms: Option<u64>,
    time_of_day: TimeOfDay,
    /// Time by which this host's clock is ahead of the time of day in use.
    clock_offset_ms: i64,
    is_clock_doubted: bool,
}

impl Entry {
    /// Creates the decisions of the host with this name. The salt must differ between hosts and
    /// between incarnations of a host.
    pub fn new(host: &str, bounds: Bounds, decoders: Decoders, salt: u64) -> Self {
        Self {
            host: host.into(),
            salt,
            election: Election::new(host, &bounds, salt),
            jobs: JobTails::new(bounds.job_partitions, salt),
            callers: Callers::new(host, bounds.job_partitions),
            bounds,
            decoders,
            tickets: 0,
            reading: Reading::new(),
            states: owner_tail(salt),
            progress: Tail::new(Stream::Progress, salt),
            recovered: RecoveredState::default(),
            rules: Tail::new(Stream::Rules, salt),
            workers: Tail::new(Stream::Workers, salt),
            loading: LoadingReport::default(),
            last_jobs_read_ms: None,
            hosts_read_due_ms: None,
            last_states_read_ms: 0,
            last_workers_read_ms: 0,
            workers_interval_ms: MAX_LIST_PAUSE_MS,
            next_search_ms: 0,
            retirement: None,
            job_table: JobTable::default(),
            config: None,
            evacuations: Rc::default(),
            worker_entries: BTreeMap::new(),
            claim_sightings: ClaimSightings::default(),
            claim: None,
            announcement: None,
            next_announce_ms: 0,
            owner: None,
            relay: Relay::default(),
            past_stats: OwnerStats::default(),
            claimed_ms: 0,
            is_stopping: false,
            is_store_unavailable: false,
            contact: StoreContact::default(),
            are_rules_outdated: false,
            handled_ms: 0,
            shown_offset_ms: None,
            time_of_day: TimeOfDay::default(),
            clock_offset_ms: 0,
            is_clock_doubted: false,
        }
    }

    /// Returns the rules in force, or `None` if none were read yet.
    pub fn config(&self) -> Option<&Rc<Config>> {
        self.config.as_ref()
    }

    /// Returns the failure domains in which the rules in force allow no new tasks.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Returns whether callers may be routed to this host.
    pub fn is_ready(&self) -> bool {
        let is_caught_up = self.is_caught_up() && !self.is_loading();
        let has_rules = self.config.is_some() && !self.are_rules_outdated;
        has_rules && is_caught_up && !self.is_stopping && !self.is_store_unavailable
    }

    /// Returns whether this host is the owner.
    pub fn is_owner(&self) -> bool {
        self.owner.is_some()
    }

    /// Returns whether no caller awaits an answer.
    pub fn is_idle(&self) -> bool {
        self.callers.is_empty()
    }

    /// Returns the counts of all periods in which this host was the owner.
    pub fn stats(&self) -> OwnerStats {
        match &self.owner {
            Some(owner) => owner.stats,
            None => self.past_stats,
        }
    }

    /// Returns the shares of all queues if this host is the owner.
    pub fn queue_shares(&self) -> Vec<QueueShare> {
        self.owner.as_ref().map_or(Vec::new(), Owner::queue_shares)
    }

    /// Returns whether this host has read what it needs to accept jobs.
    fn is_caught_up(&self) -> bool {
        let has_jobs = self.reading.asks_owner() || self.jobs.is_usable();
        has_jobs && self.states.is_loaded()
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.handle_all(now, vec![event])
    }

    /// Handles events that arrived together and returns the actions to carry out. The decisions
    /// that follow from them are made once, after the last event.
    pub fn handle_all(&mut self, now: Now, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        let suspended_ms = self.detect_suspension(now, &mut actions);
        self.detect_pause(now, suspended_ms);
        let now = self.correct_time_of_day(now, &mut actions);
        for event in events {
            self.handle_event(now, event, &mut actions);
        }
        self.advance(now, &mut actions);
        if let Some(owner) = &mut self.owner {
            owner.charge_actions(&actions);
        }
        actions
    }

    fn handle_event(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Stop => self.stop(),
            Event::ConnectionOpened { conn } => {
                if let Some(owner) = &mut self.owner {
                    owner.handle_relay_opened(conn, now);
                }
            }
            Event::Frame { conn, bytes } => self.handle_frame(conn, &bytes, now, actions),
            Event::ConnectionLost { conn } if conn.is_incoming() => self.relay.handle_lost(conn),
            Event::ConnectionLost { conn } => {
                if let Some(owner) = &mut self.owner {
                    owner.handle_relay_lost(conn, now, actions);
                }
            }
            Event::Submit {
                request,
                job,
                submission,
                answer_timeout_ms,
            } => self.submit(request, job, submission, answer_timeout_ms, now, actions),
            Event::Query { request, job } => self.query(request, job, now, actions),
            Event::Cancel {
                request,
                job,
                answer_timeout_ms,
            } => self.cancel(request, job, answer_timeout_ms, now, actions),
            Event::Count { request, queue } => self.count(request, queue, now),
            Event::Appended { ticket, outcome } => self.on_append(ticket, outcome, now, actions),
            Event::Read { ticket, outcome } => self.on_read(ticket, outcome, now, actions),
            Event::Loaded { ticket, outcome } => self.on_load(ticket, outcome, now, actions),
            Event::PermitsAnswered { ticket, outcome } => {
                if let Some(owner) = &mut self.owner {
                    owner.handle_permit_outcome(ticket, outcome, now);
                }
            }
            Event::Ordered { ticket, outcome } => {
                if self.relay.handle_outcome(ticket, &outcome) {
                    return;
                }
                if let Some(owner) = &mut self.owner {
                    owner.handle_order_outcome(ticket, outcome, now, actions);
                }
            }
        }
    }

    /// Handles a frame: orders of an owner, or outcomes of this owner's orders.
    fn handle_frame(
        &mut self,
        conn: ConnectionId,
        bytes: &[u8],
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if conn.is_incoming() {
            let evacuations = &self.evacuations;
            self.relay
                .handle_frame(conn, bytes, evacuations, now.steady_ms, actions);
            self.claim_sightings
                .record(self.relay.owner_token(conn), 0, now.steady_ms);
            self.apply_owner_answers();
        } else if let Some(owner) = &mut self.owner {
            owner.handle_relay_frame(conn, bytes, now, actions);
            self.handle_remote_queries(now);
        }
    }

    fn stop(&mut self) {
        self.is_stopping = true;
        self.relay.begin_shutdown();
        if let Some(claim) = &mut self.claim {
            claim.withdrawal = Withdrawal::Due;
        }
        if let Some(owner) = &mut self.owner {
            owner.leave();
        }
    }

    fn on_read(
        &mut self,
        ticket: u64,
        mut outcome: ReadOutcome,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if matches!(outcome, ReadOutcome::Failed(_)) {
            self.contact.suspect(now.steady_ms);
        }
        if let (Some(owner), ReadOutcome::Records { records, .. }) = (&mut self.owner, &outcome) {
            let rows = records.iter().map(|record| (&*record.key, &*record.value));
            owner.charge_read(records_bytes(rows));
        }
        for stream in self.streams() {
            let Some(tail) = self.tail_mut(stream) else {
                continue;
            };
            if let Some(progress) = tail.handle_read(ticket, now.steady_ms, &mut outcome) {
                self.apply_records(stream, progress, now, actions);
                return;
            }
        }
    }

    fn on_load(
        &mut self,
        ticket: u64,
        mut outcome: crate::event::LoadOutcome,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        for stream in self.streams() {
            let Some(tail) = self.tail_mut(stream) else {
                continue;
            };
            if let Some(progress) = tail.handle_page(ticket, now.steady_ms, &mut outcome) {
                self.apply_records(stream, progress, now, actions);
                return;
            }
        }
    }

    /// Returns all streams that this host may read.
    fn streams(&self) -> impl Iterator<Item = Stream> + use<> {
        let partitions = (0..self.jobs.partitions()).map(Stream::Jobs);
        SINGLE_STREAMS.into_iter().chain(partitions)
    }

    fn tail(&self, stream: Stream) -> Option<&Tail> {
        match stream {
            Stream::Jobs(partition) => self.jobs.tail(partition),
            Stream::Progress => Some(&self.progress),
            Stream::States => Some(&self.states),
            Stream::Rules => Some(&self.rules),
            Stream::Workers => Some(&self.workers),
        }
    }

    fn tail_mut(&mut self, stream: Stream) -> Option<&mut Tail> {
        match stream {
            Stream::Jobs(partition) => self.jobs.tail_mut(partition),
            Stream::Progress => Some(&mut self.progress),
            Stream::States => Some(&mut self.states),
            Stream::Rules => Some(&mut self.rules),
            Stream::Workers => Some(&mut self.workers),
        }
    }

    fn apply_records(
        &mut self,
        stream: Stream,
        progress: Update,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if let Some(failure) = progress.failure {
            self.report_failure(stream, failure, now, actions);
        }
        match stream {
            Stream::Jobs(_) => self.apply_jobs(&progress, now, actions),
            Stream::Progress => {
                for record in &progress.records {
                    self.recovered.apply(record);
                }
            }
            Stream::States => self.apply_states(&progress, now),
            Stream::Rules => self.apply_rules(&progress, actions),
            Stream::Workers => self.apply_workers(progress, now, actions),
        }
    }

    fn apply_jobs(&mut self, progress: &Update, now: Now, actions: &mut Vec<Action>) {
        let mut has_hosts = false;
        for record in &progress.records {
            let change = self.job_table.apply(record);
            has_hosts |= change == Change::Host;
            if let Change::Submitted(id) = change {
                self.record_read_submission(id, progress.previous_age_ms, now);
            }
            self.apply_change(change, now, actions);
        }
        // This is a pass over all hosts, of which there may be thousands.
        if !has_hosts {
            return;
        }
        self.election.update_hosts(&self.job_table.hosts);
        if let Some(owner) = &mut self.owner {
            owner.update_hosts(&self.job_table.hosts);
        }
    }

    /// Passes a change on to the owner if this host is the owner.
    pub(crate) fn apply_change(&mut self, change: Change, now: Now, actions: &mut Vec<Action>) {
        let Some(owner) = &mut self.owner else {
            return;
        };
        match change {
            Change::Submitted(id) => owner.adopt(id, &self.job_table, now, actions),
            Change::Cancelled(id) => owner.cancel(id, now, actions),
            _ => {}
        }
    }

    fn apply_states(&mut self, progress: &Update, now: Now) {
        self.election
            .record_latency(self.states.average_latency_ms());
        for record in &progress.records {
            self.job_table.apply(record);
        }
        let owner = &self.job_table.owner;
        self.claim_sightings
            .record(owner.token, owner.claim_age_ms, now.steady_ms);
        if let Some(newest) = progress.records.iter().map(|record| record.offset).max() {
            self.election
                .record_heartbeat(newest, now.steady_ms, &self.job_table.owner);
        }
        if self.states.is_loaded() {
            self.election.record_loaded(now.steady_ms);
        }
    }

    /// Does what is due by now.
    fn advance(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.record_contact();
        self.decide_scope(now, actions);
        self.follow_streams(now, actions);
        self.report_loading(now, actions);
        self.check_store(now, actions);
        self.check_rules_age(now, actions);
        self.announce(now, actions);
        self.maybe_claim(now, actions);
        self.run_owner(now, actions);
        self.answer_callers(now, actions);
        self.relay.flush(now.steady_ms, &mut self.tickets, actions);
        if let Some(owner) = &mut self.owner {
            owner.flush_frames(now.steady_ms, actions);
        }
        self.forget_finished_jobs(now, actions);
    }
}
