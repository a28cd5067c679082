//! Which streams of the store a host reads.
//!
//! If each host read all jobs and states, the load on the store would be the number of hosts times
//! the number of jobs, and most hosts are never asked about most jobs. Right after all hosts were
//! lost, this is more than the store can deliver within the time in which the hosts must serve
//! again. Where the owner keeps connections to the other hosts, these therefore read only the rules
//! and the owner's record, and query the owner for what callers ask. Hosts that monitor the owner
//! read everything, as one of them is the next owner. So does, after a while, a host to which the
//! owner does not connect.
//!
//! An owner without relays may keep connections as well, only to answer queries. The other hosts
//! then read everything as before, but rarely: often enough to continue by themselves at once when
//! the owner does not answer.

use crate::election::HostSurvey;
use crate::entry::Entry;
use crate::entry::job_tails::JobTails;
use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::Now;
use crate::event::Stream;
use crate::record::AFTER_JOBS;
use crate::tail::Tail;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Time for which a host waits for the connection of a live owner before it announces itself again:
/// the owner may not know the host, or may have an outdated address of it.
const REANNOUNCE_MS: u64 = 1_000;
/// Time for which it waits before it reads everything by itself. Hosts for which an owner has no
/// connections left start at different times, within the spread.
const UNCONNECTED_MS: u64 = 3_000;
const UNCONNECTED_SPREAD_MS: u64 = 2_000;
/// Time without a heartbeat after which an owner's connection is no longer awaited.
const OWNER_TIMEOUT_MS: u64 = 2_500;
/// Time for which an owner must have been connected before a host that reads everything stops
/// reading jobs.
const STABLE_CONNECTION_MS: u64 = 1_000;

/// What a host reads of the store beside the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    /// The owner's record, which then decides what else is read.
    Undecided,
    /// The owner's record, while no owner is connected.
    Owner,
    /// All jobs and their states.
    All,
}

/// What a host reads, and its connection to the owner.
#[derive(Debug)]
pub(super) struct Reading {
    pub(super) scope: Scope,
    /// The connection over which the owner's frames arrive.
    pub(super) owner_connection: Option<ConnectionId>,
    /// Time since which there is such a connection, or none.
    connection_changed_ms: u64,
    /// Time since which an owner is alive and does not connect.
    unconnected_since_ms: Option<u64>,
    /// Time of the newest query that the owner left unanswered.
    unanswered_ms: Option<u64>,
    /// Everything is read, but rarely.
    is_relying: bool,
}

impl Reading {
    pub(super) fn new() -> Self {
        Self {
            scope: Scope::Undecided,
            owner_connection: None,
            connection_changed_ms: 0,
            unconnected_since_ms: None,
            unanswered_ms: None,
            is_relying: false,
        }
    }

    /// Returns whether queries of callers are forwarded to the owner.
    pub(super) fn asks_owner(&self) -> bool {
        self.scope == Scope::Owner
    }

    /// Returns whether only the rules are read, as the owner is connected.
    pub(super) fn reads_only_rules(&self) -> bool {
        self.asks_owner() && self.owner_connection.is_some()
    }

    /// Records that the owner has not answered a query in time.
    pub(super) fn record_unanswered_query(&mut self, now_ms: u64) {
        self.unanswered_ms = Some(now_ms);
    }

    fn has_been_unconnected_for(&self, ms: u64, now_ms: u64) -> bool {
        self.unconnected_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + ms)
    }
}

/// Creates a tail of the stream of states that returns the owner's record and no jobs.
pub(super) fn owner_tail(salt: u64) -> Tail {
    Tail::after_key(Stream::States, AFTER_JOBS, salt)
}

impl Entry {
    /// Decides what is read from now on.
    pub(super) fn decide_scope(&mut self, now: Now, actions: &mut Vec<Action>) {
        let now_ms = now.steady_ms;
        self.record_owner_connection(now_ms, actions);
        match self.reading.scope {
            Scope::Undecided if self.states.is_loaded() => self.choose_scope(),
            Scope::Owner => {
                self.record_unconnected_owner(now_ms);
                let spread_ms = self.salt % UNCONNECTED_SPREAD_MS;
                if self
                    .reading
                    .has_been_unconnected_for(UNCONNECTED_MS + spread_ms, now_ms)
                {
                    self.read_all();
                }
            }
            Scope::All => self.stop_reading_jobs(now_ms),
            Scope::Undecided => {}
        }
        let is_relying = self.can_rely_on_owner(now_ms);
        let was_relying = std::mem::replace(&mut self.reading.is_relying, is_relying);
        if was_relying && !is_relying {
            self.election.end_reliance(now_ms);
        }
    }

    /// Chooses the scope by the newest owner's record.
    fn choose_scope(&mut self) {
        if !self.apply_owner_survey() {
            return self.read_all();
        }
        match self.election.is_watcher() {
            true => self.read_all(),
            false => self.reading.scope = Scope::Owner,
        }
    }

    /// Applies the newest owner's survey of all hosts. Returns whether that owner keeps other hosts
    /// informed over connections.
    fn apply_owner_survey(&mut self) -> bool {
        let owner = &self.job_table.owner;
        if !owner.informs_hosts {
            return false;
        }
        self.election.apply_survey(HostSurvey {
            strongest_permille: owner.strongest_permille,
            strong_hosts: owner.strong_hosts,
        });
        true
    }

    /// Detects that the owner's connection has opened or closed.
    fn record_owner_connection(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let conn = self
            .relay
            .owner_connection(self.job_table.owner.token, now_ms);
        let previous = std::mem::replace(&mut self.reading.owner_connection, conn);
        if previous.is_some() == conn.is_some() {
            return;
        }
        let since_ms = std::mem::replace(&mut self.reading.connection_changed_ms, now_ms);
        let code = match conn {
            Some(_) => Code::OwnerHeard,
            None => Code::OwnerUnheard,
        };
        let lasted_ms = now_ms - since_ms;
        let detail = format!("scope={:?} lasted_ms={lasted_ms}", self.reading.scope);
        actions.push(Action::Note(Note::new(code, &*self.host, detail)));
        if conn.is_none() && self.reading.asks_owner() {
            // Until now this host read no heartbeats from the store, so their absence is no
            // evidence.
            self.election.restart_timeouts(now_ms);
        }
    }

    /// Returns whether this host reads everything, but rarely, as the owner answers its queries.
    pub(super) fn relies_on_owner(&self) -> bool {
        self.reading.is_relying && !self.is_owner_or_claiming()
    }

    /// Returns whether the owner's connection is enough for this host: over it, the host must hear
    /// of the owner's heartbeats in the store. An owner without them may have been replaced.
    fn can_rely_on_owner(&mut self, now_ms: u64) -> bool {
        if !self.bounds.policy.owner_answers {
            return false;
        }
        let Some(conn) = self.reading.owner_connection else {
            return false;
        };
        let Some((heard_ms, heartbeat)) = self.relay.heartbeat(conn) else {
            return false;
        };
        self.election.record_heard(heard_ms, heartbeat.stored_end);
        self.reading.scope == Scope::All && self.election.hears_owner(now_ms)
    }

    /// Returns the connection over which to query the owner instead of reading. An owner that has
    /// left a query unanswered gets the next one after it has sent a frame.
    pub(super) fn responsive_owner(&self) -> Option<ConnectionId> {
        if !self.bounds.policy.owner_answers {
            return None;
        }
        let conn = self.reading.owner_connection?;
        let may_hang = self
            .reading
            .unanswered_ms
            .is_some_and(|unanswered_ms| self.relay.last_received_ms(conn) <= unanswered_ms);
        (!may_hang && !self.is_owner_or_claiming()).then_some(conn)
    }

    pub(super) fn is_owner_or_claiming(&self) -> bool {
        self.owner.is_some() || self.claim.is_some()
    }

    /// Records since when an owner is alive that does not connect to this host.
    fn record_unconnected_owner(&mut self, now_ms: u64) {
        let is_alive = self
            .election
            .has_heartbeat_since(now_ms.saturating_sub(OWNER_TIMEOUT_MS));
        if self.reading.owner_connection.is_some() || !is_alive {
            self.reading.unconnected_since_ms = None;
        } else {
            self.reading.unconnected_since_ms.get_or_insert(now_ms);
        }
    }

    /// Returns whether a live owner may not know this host.
    pub(super) fn may_be_unknown_to_owner(&self, now_ms: u64) -> bool {
        self.reading.has_been_unconnected_for(REANNOUNCE_MS, now_ms)
    }

    /// Reads all jobs and their states from now on.
    pub(super) fn read_all(&mut self) {
        if self.reading.scope == Scope::All {
            return;
        }
        self.reading.scope = Scope::All;
        self.reading.unconnected_since_ms = None;
        self.states = Tail::new(Stream::States, self.salt);
        self.jobs = JobTails::new(self.bounds.job_partitions, self.salt);
    }

    /// Stops reading jobs once an owner answers queries about them.
    fn stop_reading_jobs(&mut self, now_ms: u64) {
        let is_connected = self.reading.owner_connection.is_some();
        let is_connection_stable =
            now_ms >= self.reading.connection_changed_ms + STABLE_CONNECTION_MS;
        if !is_connected || !is_connection_stable || self.is_owner_or_claiming() {
            return;
        }
        // An owner that only answers queries leaves it to the other hosts to read.
        if !self.job_table.owner.informs_hosts {
            return;
        }
        // A host that has not read which hosts exist uses the owner's survey.
        if self.job_table.hosts.len() <= 1 && !self.apply_owner_survey()
            || self.election.is_watcher()
        {
            return;
        }
        self.reading.scope = Scope::Owner;
        self.states = owner_tail(self.salt);
        self.job_table.jobs.clear();
    }
}
