//! How much of the store a host reads.
//!
//! Load: many hosts, each of which reads all jobs and states, ask the store for hosts times jobs,
//! and most of them are never asked about most jobs. Right after all hosts were lost this is more
//! than the store gives out within the time in which they must serve again. So where the owner
//! keeps connections to the other hosts, these read no more than the rules and who owns, and ask
//! the owner what callers want to know. Hosts that look out for the owner read everything, as one
//! of them is the next; so does a host that the owner does not connect to, after a while.

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

/// Time for which a host waits for the connection of an owner that lives before it announces
/// itself again: the owner may not know it, or not where it is now.
const UNKNOWN_MS: u64 = 1_000;
/// Time for which it waits before it reads everything by itself. Hosts that an owner has no room
/// for begin at times of their own.
const ALONE_MS: u64 = 3_000;
const ALONE_SPREAD_MS: u64 = 2_000;
/// Time without a sign of life of an owner after which none is waited for.
const OWNER_GONE_MS: u64 = 2_500;
/// Time after which a host that reads everything leaves that to an owner that has connected.
const SETTLED_MS: u64 = 1_000;

/// What a host reads of the store beside the rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Scope {
    /// Who owns; what else is to be read shows then.
    Undecided,
    /// Who owns, while no owner is heard.
    Owner,
    /// All jobs and their states.
    All,
}

/// How much a host reads, and what it hears of the owner.
#[derive(Debug)]
pub(super) struct Reading {
    pub(super) scope: Scope,
    /// The connection over which the owner is heard.
    pub(super) owner_connection: Option<ConnectionId>,
    /// Since when that is so, or not.
    changed_ms: u64,
    /// Since when an owner lives and does not connect.
    alone_since_ms: Option<u64>,
}

impl Reading {
    pub(super) fn new() -> Self {
        Self {
            scope: Scope::Undecided,
            owner_connection: None,
            changed_ms: 0,
            alone_since_ms: None,
        }
    }

    /// Tells whether the owner is asked for what callers want to know.
    pub(super) fn asks_owner(&self) -> bool {
        self.scope == Scope::Owner
    }

    /// Tells whether nothing is read but the rules, as the owner is heard.
    pub(super) fn is_quiet(&self) -> bool {
        self.asks_owner() && self.owner_connection.is_some()
    }

    fn has_been_alone_for(&self, ms: u64, now_ms: u64) -> bool {
        self.alone_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + ms)
    }
}

/// Makes the tail of the stream of states that brings who owns, and no job.
pub(super) fn owner_tail(salt: u64) -> Tail {
    Tail::after_key(Stream::States, AFTER_JOBS, salt)
}

impl Entry {
    /// Decides how much is to be read from now on.
    pub(super) fn decide_scope(&mut self, now: Now, actions: &mut Vec<Action>) {
        let now_ms = now.steady_ms;
        self.record_owner_connection(now_ms, actions);
        match self.reading.scope {
            Scope::Undecided if self.states.is_loaded() => self.choose_scope(),
            Scope::Owner => {
                self.record_alone(now_ms);
                let spread_ms = self.salt % ALONE_SPREAD_MS;
                if self
                    .reading
                    .has_been_alone_for(ALONE_MS + spread_ms, now_ms)
                {
                    self.read_all();
                }
            }
            Scope::All => self.leave_to_owner(now_ms),
            Scope::Undecided => {}
        }
    }

    /// Chooses by what the newest owner has said of itself.
    fn choose_scope(&mut self) {
        if !self.take_survey() {
            return self.read_all();
        }
        match self.election.is_watcher() {
            true => self.read_all(),
            false => self.reading.scope = Scope::Owner,
        }
    }

    /// Takes in what the newest owner says of all hosts; tells whether it informs them.
    fn take_survey(&mut self) -> bool {
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

    /// Notices that the owner is heard, and that it no longer is.
    fn record_owner_connection(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let conn = self
            .relay
            .owner_connection(self.job_table.owner.token, now_ms);
        let previous = std::mem::replace(&mut self.reading.owner_connection, conn);
        if previous.is_some() == conn.is_some() {
            return;
        }
        let since_ms = std::mem::replace(&mut self.reading.changed_ms, now_ms);
        let code = match conn {
            Some(_) => Code::OwnerHeard,
            None => Code::OwnerUnheard,
        };
        let lasted_ms = now_ms - since_ms;
        let detail = format!("scope={:?} lasted_ms={lasted_ms}", self.reading.scope);
        actions.push(Action::Note(Note::new(code, &*self.host, detail)));
        if conn.is_none() && self.reading.asks_owner() {
            // Until now nobody could have been heard in the store.
            self.election.restart_timeouts(now_ms);
        }
    }

    /// Notices that an owner lives that does not connect to this host.
    fn record_alone(&mut self, now_ms: u64) {
        let is_alive = self
            .election
            .has_heartbeat_since(now_ms.saturating_sub(OWNER_GONE_MS));
        if self.reading.owner_connection.is_some() || !is_alive {
            self.reading.alone_since_ms = None;
        } else {
            self.reading.alone_since_ms.get_or_insert(now_ms);
        }
    }

    /// Tells whether an owner that lives may not know of this host.
    pub(super) fn may_be_unknown(&self, now_ms: u64) -> bool {
        self.reading.has_been_alone_for(UNKNOWN_MS, now_ms)
    }

    /// Reads all jobs and their states from now on.
    pub(super) fn read_all(&mut self) {
        if self.reading.scope == Scope::All {
            return;
        }
        self.reading.scope = Scope::All;
        self.reading.alone_since_ms = None;
        self.states = Tail::new(Stream::States, self.salt);
        self.jobs = JobTails::new(self.bounds.job_partitions, self.salt);
    }

    /// Stops reading jobs once an owner answers for them.
    fn leave_to_owner(&mut self, now_ms: u64) {
        let is_heard = self.reading.owner_connection.is_some();
        let is_settled = now_ms >= self.reading.changed_ms + SETTLED_MS;
        let acts = self.owner.is_some() || self.claim.is_some();
        if !is_heard || !is_settled || acts {
            return;
        }
        // Whoever has not read which hosts there are goes by what the owner says of them.
        if self.job_table.hosts.len() <= 1 && !self.take_survey() || self.election.is_watcher() {
            return;
        }
        self.reading.scope = Scope::Owner;
        self.states = owner_tail(self.salt);
        self.job_table.jobs.clear();
    }
}
