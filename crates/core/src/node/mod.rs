//! The decisions of one entry host, as a state machine driven by events and time.
//!
//! Every entry host runs the same node. It accepts requests and jobs, follows the
//! log, votes on leases if its seat has a vote, and owns the cells that the order
//! of records in the log assigns to it.

mod claiming;
mod keys;
mod logs;
mod members;
mod publishing;
mod requests;
mod status;
mod succession;
mod upstreams;
mod workers;

use crate::claims::ClaimTable;
use crate::config::Config;
use crate::event::Action;
use crate::event::Answer;
use crate::event::Event;
use crate::event::PlatformHost;
use crate::ids::Cell;
use crate::ids::Member;
use crate::ids::Seat;
use crate::ids::Term;
use crate::layout::Layout;
use crate::lease::Lease;
use crate::lease::LeaseState;
use crate::lease::Voter;
use crate::limits::Limits;
use crate::message::Message;
use crate::notes::Code;
use crate::notes::Note;
use crate::placement::WorkerCell;
use crate::retry::Budget;
use crate::slots::UpstreamCell;
use crate::writer::Appends;
use crate::writer::Writer;
use keys::KeyCell;
use logs::Follower;
use members::Peers;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use requests::Flight;
pub use status::Status;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
pub use succession::Handover;
pub use succession::KeyHandover;

/// Interval between two ticks of work that is not urgent.
const SLOW_TICK_MS: u64 = 100;

/// The state machine of one entry host.
pub struct Node {
    me: Member,
    seats: Vec<Seat>,
    limits: Limits,
    now_ms: u64,
    incarnation_began_ms: u64,
    next_slow_tick_ms: u64,
    random: Pcg32,

    lease: Lease,
    voter: Voter,
    was_in_force: bool,
    peers: Peers,
    claims: ClaimTable,
    claims_log: Follower,
    claims_writer: Writer,
    appends: Appends,
    depose_attempts: BTreeMap<Member, members::DeposeAttempt>,
    /// Members of other seats for which this process acts.
    inherited: BTreeMap<Member, succession::Inherited>,
    /// Seats that act for members that were handed over.
    successors: HashMap<Member, Seat>,

    config: Config,
    config_log: Follower,
    config_writer: Writer,
    layout: Layout,
    runnable: publishing::Runnable,
    publishing: Vec<publishing::PendingChange>,
    /// The platform's latest list of hosts and instances, by name.
    platform: HashMap<Box<str>, PlatformHost>,

    keys: BTreeMap<u16, KeyCell>,
    workers: BTreeMap<u64, WorkerCell>,
    upstreams: BTreeMap<u64, UpstreamCell>,

    flights: BTreeMap<u64, Flight>,
    /// Requests of callers at this host that wait for a slot of a cell.
    waiting: HashMap<Cell, VecDeque<u64>>,
    budgets: HashMap<Box<str>, Budget>,
    hints: HashMap<Cell, requests::Hint>,
    submissions: BTreeMap<u64, keys::Submission>,

    is_stopping: bool,
    stop_began_ms: u64,
    /// Messages of this process to itself.
    local_messages: VecDeque<Message>,
    /// Actions that the current call of [`Node::handle`] will return.
    out: Vec<Action>,
}

impl Node {
    /// Creates the node of member `me` in a cluster with the given `seats`.
    ///
    /// `now_ms` is the time of any monotonic clock, in milliseconds. All later
    /// times must come from the same clock.
    pub fn new(me: Member, seats: &[Seat], limits: Limits, now_ms: u64) -> Self {
        let voters = seats.len().min(limits.voters);
        let seed = u64::from(me.seat.0) ^ me.incarnation;
        Self {
            me,
            seats: seats.to_vec(),
            now_ms,
            incarnation_began_ms: now_ms,
            next_slow_tick_ms: now_ms,
            random: Pcg32::seed_from_u64(seed),
            lease: Lease::new(voters),
            voter: Voter::new(now_ms, &limits),
            was_in_force: false,
            peers: Peers::default(),
            claims: ClaimTable::default(),
            claims_log: Follower::new(),
            claims_writer: Writer::new(Term(0), 0),
            appends: Appends::default(),
            depose_attempts: BTreeMap::new(),
            inherited: BTreeMap::new(),
            successors: HashMap::new(),
            config: Config::default(),
            config_log: Follower::new(),
            config_writer: Writer::new(Term(0), 0),
            layout: Layout::build(Config::default().inventory(), limits.key_cells),
            runnable: publishing::Runnable::default(),
            publishing: Vec::new(),
            platform: HashMap::new(),
            keys: BTreeMap::new(),
            workers: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            flights: BTreeMap::new(),
            waiting: HashMap::new(),
            budgets: HashMap::new(),
            hints: HashMap::new(),
            submissions: BTreeMap::new(),
            is_stopping: false,
            stop_began_ms: 0,
            local_messages: VecDeque::new(),
            out: Vec::new(),
            limits,
        }
    }

    /// Returns the seat and current incarnation of this process.
    pub fn me(&self) -> Member {
        self.me
    }

    /// Returns the configuration in force in this process.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the table of claims, as of the position up to which the log was read.
    pub fn claims(&self) -> &ClaimTable {
        &self.claims
    }

    /// Handles an event at `now_ms` and returns the actions to perform.
    pub fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        // The process may have been paused before this event. The leases are
        // therefore checked first, so that no action relies on an expired one.
        self.now_ms = self.now_ms.max(now_ms);
        self.check_lease();
        self.check_inherited();
        self.apply_event(event);
        while let Some(message) = self.local_messages.pop_front() {
            self.receive(self.me, message);
        }
        std::mem::take(&mut self.out)
    }

    fn apply_event(&mut self, event: Event) {
        match event {
            Event::Tick => self.tick(),
            Event::Peer { from, message } => self.receive(from, message),
            Event::Request(request) => self.request(request),
            Event::CallerGone { request } => self.caller_gone(request),
            Event::AttemptEnded { request, outcome } => self.attempt_ended(request, outcome),
            Event::Submit { request, spec } => self.submit(request, spec),
            Event::Publish { request, change } => self.handle_publish(request, change),
            Event::Appended {
                stream,
                sequence,
                offset,
            } => self.handle_appended(stream, sequence, offset),
            Event::Read { stream, page } => self.handle_read(stream, page),
            Event::WorkerAnswered {
                cell,
                host,
                token,
                report,
            } => self.handle_worker_answer(cell, host, token, report),
            Event::Hosts(list) => self.apply_host_list(&list),
            Event::Stop => self.begin_stop(),
        }
    }

    fn tick(&mut self) {
        self.tick_members();
        self.tick_logs();
        self.tick_upstreams();
        self.tick_requests();
        self.tick_keys();
        let is_slow = self.now_ms >= self.next_slow_tick_ms;
        if is_slow {
            self.next_slow_tick_ms = self.now_ms + SLOW_TICK_MS;
            self.tick_keys_slow();
            self.tick_publishing();
            self.tick_stop();
        }
        self.tick_workers(is_slow);
    }

    fn receive(&mut self, from: Member, message: Message) {
        match message {
            Message::Heartbeat { .. }
            | Message::LeaseVote { .. }
            | Message::AliveRequest
            | Message::Alive { .. }
            | Message::ConsentRequest { .. }
            | Message::StateRequest
            | Message::State { .. }
            | Message::Handover(_)
            | Message::Consent { .. } => self.receive_membership(from, message),
            Message::GrantRequest { .. }
            | Message::GrantCancel { .. }
            | Message::Release { .. } => self.receive_as_upstream_owner(from, message),
            Message::GrantResponse { .. }
            | Message::IntentResponse { .. }
            | Message::NotOwner { .. }
            | Message::JobResponse { .. } => self.receive_as_entry(message),
            Message::IntentRequest { .. }
            | Message::IntentOutcome { .. }
            | Message::JobRequest { .. }
            | Message::Reserved { .. }
            | Message::TaskUpdate { .. } => self.receive_as_key_owner(from, message),
            Message::Reserve { .. }
            | Message::Unreserve { .. }
            | Message::Start { .. }
            | Message::TaskUpdateRecorded { .. } => self.receive_as_worker_owner(from, message),
        }
    }

    /// Returns the time until which this member may act, both for itself and for
    /// the members that it has inherited, or `None` if it may not act now.
    fn acts_until_ms(&mut self) -> Option<u64> {
        let LeaseState::InForce { mut until_ms } = self.lease.state(self.now_ms) else {
            return None;
        };
        for inherited in self.inherited.values_mut() {
            if let LeaseState::InForce { until_ms: other_ms } = inherited.lease.state(self.now_ms) {
                until_ms = until_ms.min(other_ms);
            }
        }
        Some(until_ms)
    }

    fn send(&mut self, to: Seat, message: Message) {
        if to == self.me.seat {
            self.local_messages.push_back(message);
            return;
        }
        self.out.push(Action::Send { to, message });
    }

    /// Sends `message` to the owner of `cell`. Returns whether an owner is known.
    fn send_to_owner(&mut self, cell: Cell, message: Message) -> bool {
        let Some(owner) = self.claims.owner(cell) else {
            return false;
        };
        self.send(self.seat_of(owner.member), message);
        true
    }

    fn note(&mut self, code: Code, subject: impl Into<String>, detail: impl Into<String>) {
        self.out
            .push(Action::Note(Note::new(code, subject, detail)));
    }

    fn answer(&mut self, request: u64, answer: Answer) {
        self.out.push(Action::Answer { request, answer });
    }
}
