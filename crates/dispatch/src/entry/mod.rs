//! One entry host: takes jobs in, answers for them, and owns their progress if no
//! other host does.

mod ages;
mod callers;
mod contact;
mod following;
mod job_tails;
mod loading;
mod owning;
mod questions;
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
use crate::entry::contact::Contact;
use crate::entry::job_tails::JobTails;
use crate::entry::loading::LoadingReport;
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
use crate::policy::link::MAX_LIST_PAUSE_MS;
use crate::record::OwnerRecord;
use crate::relay::Relay;
use crate::tail::Tail;
use crate::tail::Update;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The streams of one part.
const SINGLE_STREAMS: [Stream; 4] = [
    Stream::States,
    Stream::Progress,
    Stream::Rules,
    Stream::Workers,
];

/// A claim under way.
#[derive(Debug)]
struct Claim {
    fence: Fence,
    /// The append under way.
    ticket: Option<u64>,
    retry_ms: u64,
    /// When it was known to be stored.
    stored: Option<u64>,
    /// Signs of life since.
    heartbeats: Appender,
    heartbeat: u64,
}

impl Claim {
    /// Gives the record that tells the other hosts of this claim. What the former owner said of all
    /// hosts holds on.
    fn record(&self, host: &str, previous: &OwnerRecord) -> OwnerRecord {
        OwnerRecord {
            token: self.fence.epoch,
            host: host.into(),
            is_leaving: false,
            heartbeat: self.heartbeat,
            ..previous.clone()
        }
    }
}

/// The decisions of one entry host.
#[derive(Debug)]
pub struct Entry {
    host: Box<str>,
    /// Differs between hosts and between lives of a host.
    salt: u64,
    bounds: Bounds,
    decoders: Decoders,
    tickets: u64,
    reading: Reading,
    jobs: JobTails,
    states: Tail,
    /// Read only while this host is about to become owner.
    progress: Tail,
    recovered: RecoveredState,
    rules: Tail,
    workers: Tail,
    loading: LoadingReport,
    jobs_read_ms: Option<u64>,
    /// When to read which hosts there are; set once an owner has shown itself.
    hosts_read_ms: Option<u64>,
    states_read_ms: u64,
    workers_read_ms: u64,
    /// Pause before the next read of the list of workers.
    workers_pause_ms: u64,
    purge_ms: u64,
    job_table: JobTable,
    config: Option<Rc<Config>>,
    evacuations: Rc<Evacuations>,
    worker_entries: BTreeMap<Box<str>, WorkerEntry>,
    callers: Callers,
    election: Election,
    claim: Option<Claim>,
    /// The announcement under way, and when the next may be.
    announcing: Option<u64>,
    announce_ms: u64,
    owner: Option<Owner>,
    /// Orders of owners that this host carries to workers.
    relay: Relay,
    past_stats: OwnerStats,
    /// When the claim under which this host owns was stored.
    claimed_ms: u64,
    is_stopping: bool,
    is_store_unavailable: bool,
    contact: Contact,
    are_rules_behind: bool,
    /// How far the time of day is ahead of the steady clock.
    clock_lead_ms: Option<u64>,
}

impl Entry {
    /// Makes the decisions of the host with this name. The salt must differ between
    /// hosts and between lives of a host.
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
            jobs_read_ms: None,
            hosts_read_ms: None,
            states_read_ms: 0,
            workers_read_ms: 0,
            workers_pause_ms: MAX_LIST_PAUSE_MS,
            purge_ms: 0,
            job_table: JobTable::default(),
            config: None,
            evacuations: Rc::default(),
            worker_entries: BTreeMap::new(),
            claim: None,
            announcing: None,
            announce_ms: 0,
            owner: None,
            relay: Relay::default(),
            past_stats: OwnerStats::default(),
            claimed_ms: 0,
            is_stopping: false,
            is_store_unavailable: false,
            contact: Contact::default(),
            are_rules_behind: false,
            clock_lead_ms: None,
        }
    }

    /// Gives the rules in force, if any are known.
    pub fn config(&self) -> Option<&Rc<Config>> {
        self.config.as_ref()
    }

    /// Gives the failure domains that get nothing new, by the rules in force.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Tells whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        let is_caught_up = self.is_caught_up() && !self.is_loading();
        let has_rules = self.config.is_some() && !self.are_rules_behind;
        has_rules && is_caught_up && !self.is_stopping && !self.is_store_unavailable
    }

    /// Tells whether this host is the owner.
    pub fn is_owner(&self) -> bool {
        self.owner.is_some()
    }

    /// Tells whether no caller awaits an answer.
    pub fn is_idle(&self) -> bool {
        self.callers.is_empty()
    }

    /// Gives the counts of all times at which this host was the owner.
    pub fn stats(&self) -> OwnerStats {
        match &self.owner {
            Some(owner) => owner.stats,
            None => self.past_stats,
        }
    }

    /// Tells whether this host has read what it needs to take jobs.
    fn is_caught_up(&self) -> bool {
        let has_jobs = self.reading.asks_owner() || self.jobs.is_usable();
        has_jobs && self.states.is_loaded()
    }

    /// Takes in an event and gives what to do.
    pub fn handle(&mut self, now: Now, event: Event) -> Vec<Action> {
        self.handle_all(now, vec![event])
    }

    /// Takes in events that came together and gives what to do. What follows from all of
    /// them is decided once.
    pub fn handle_all(&mut self, now: Now, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.record_time(now, &mut actions);
        for event in events {
            self.take(now, event, &mut actions);
        }
        self.advance(now, &mut actions);
        if let Some(owner) = &mut self.owner {
            owner.charge_actions(&actions);
        }
        actions
    }

    fn take(&mut self, now: Now, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Tick => {}
            Event::Stop => self.stop(),
            Event::ConnectionOpened { conn } => {
                if let Some(owner) = &mut self.owner {
                    owner.handle_relay_opened(conn, now);
                }
            }
            Event::Frame { conn, bytes } => self.handle_frame(conn, &bytes, now, actions),
            Event::ConnectionLost { conn } if conn.is_incoming() => self.relay.lose(conn),
            Event::ConnectionLost { conn } => {
                if let Some(owner) = &mut self.owner {
                    owner.lose_relay(conn, now, actions);
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
            Event::Appended { ticket, outcome } => self.appended(ticket, outcome, now, actions),
            Event::Read { ticket, outcome } => self.read(ticket, outcome, now, actions),
            Event::Loaded { ticket, outcome } => self.loaded(ticket, outcome, now, actions),
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

    /// Takes in orders of an owner, or what came of orders of this one.
    fn handle_frame(
        &mut self,
        conn: ConnectionId,
        bytes: &[u8],
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if conn.is_incoming() {
            let evacuations = &self.evacuations;
            let tickets = &mut self.tickets;
            self.relay
                .handle_frame(conn, bytes, evacuations, now.steady_ms, tickets, actions);
            self.take_answers();
        } else if let Some(owner) = &mut self.owner {
            owner.handle_relay_frame(conn, bytes, now, actions);
            self.take_inquiries(now);
        }
    }

    fn stop(&mut self) {
        self.is_stopping = true;
        self.relay.leave();
        self.claim = None;
        if let Some(owner) = &mut self.owner {
            owner.leave();
        }
    }

    fn read(&mut self, ticket: u64, mut outcome: ReadOutcome, now: Now, actions: &mut Vec<Action>) {
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

    fn loaded(
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

    /// Lists all streams that this host may read.
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
            self.apply_change(change, now, actions);
        }
        // With thousands of hosts this is a pass over all of them.
        if !has_hosts {
            return;
        }
        self.election.update_hosts(&self.job_table.hosts);
        if let Some(owner) = &mut self.owner {
            owner.update_hosts(&self.job_table.hosts);
        }
    }

    /// Passes a change on to the owner, if this host is that.
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
        if !progress.records.is_empty() {
            self.election
                .record_heartbeat(now.steady_ms, &self.job_table.owner);
        }
        if self.states.is_loaded() {
            self.election.record_loaded(now.steady_ms);
        }
    }

    /// Does what is due by now.
    fn advance(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.record_contact();
        self.decide_scope(now, actions);
        self.follow(now, actions);
        self.report_loading(now, actions);
        self.watch_store(now, actions);
        self.watch_rules(now, actions);
        self.announce(now, actions);
        self.contend(now, actions);
        self.own(now, actions);
        self.serve(now, actions);
        self.relay.flush(actions);
        self.purge(now, actions);
    }
}
