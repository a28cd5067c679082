//! The lease under which a member may act, and the votes that extend it.
//!
//! With each heartbeat a member asks the voters (the first few seats of the settings)
//! for their votes. While the votes of a majority are in force, no other member can
//! depose it: deposing needs the consent of a majority too, and a voter does not
//! consent while its own vote is in force. This needs no log, which means that
//! ownership survives an outage of the log.
//!
//! The lease guards against a member that was paused, or is cut off while others are
//! not, and still acts for cells that another member has claimed. The member detects
//! this by its own clock: once its lease expires, that incarnation never acts again,
//! and the process starts a new one without cells.

use crate::ids::Member;
use crate::ids::Seat;
use crate::limits::Limits;
use std::collections::HashMap;
use std::collections::HashSet;

/// State of a member's own lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// No majority has voted yet.
    Joining,
    /// The member may act until the given time.
    InForce {
        /// End of the lease by the member's own clock.
        until_ms: u64,
    },
    /// The lease was in force and has expired; this incarnation has ended.
    Expired,
}

/// A member's view of its own lease.
#[derive(Debug, Clone)]
pub struct Lease {
    quorum: usize,
    until_ms: HashMap<Seat, u64>,
    was_in_force: bool,
    end_ms: u64,
}

impl Lease {
    /// Creates a lease without votes; it needs those of a majority of `voters`.
    pub fn new(voters: usize) -> Self {
        Self {
            quorum: voters / 2 + 1,
            until_ms: HashMap::new(),
            was_in_force: false,
            end_ms: 0,
        }
    }

    /// Records a vote in answer to a heartbeat that was sent at `sent_ms`.
    pub fn record_vote(&mut self, voter: Seat, sent_ms: u64, lease_ms: u64) {
        let until = self.until_ms.entry(voter).or_default();
        *until = (*until).max(sent_ms + lease_ms);
        let mut ends: Vec<u64> = self.until_ms.values().copied().collect();
        if ends.len() < self.quorum {
            return;
        }
        ends.sort_unstable_by(|left, right| right.cmp(left));
        self.end_ms = ends[self.quorum - 1];
    }

    /// Returns the state of the lease at `now_ms`.
    pub fn state(&mut self, now_ms: u64) -> LeaseState {
        if now_ms < self.end_ms {
            self.was_in_force = true;
            return LeaseState::InForce {
                until_ms: self.end_ms,
            };
        }
        if self.was_in_force {
            LeaseState::Expired
        } else {
            LeaseState::Joining
        }
    }
}

/// The votes and consents that a voter has given.
///
/// A voter stores nothing across restarts. A new one abstains for as long as a vote
/// of its previous incarnation could be in force; otherwise it could consent to
/// depose a member whose lease rests on a vote that the voter no longer knows.
#[derive(Debug, Clone)]
pub struct Voter {
    abstains_until_ms: u64,
    promised_until_ms: HashMap<Member, u64>,
    consented: HashSet<Member>,
    newest: HashMap<Seat, u64>,
}

impl Voter {
    /// Creates a voter that starts at `now_ms`.
    pub fn new(now_ms: u64, limits: &Limits) -> Self {
        Self {
            abstains_until_ms: now_ms + limits.vote_ms(),
            promised_until_ms: HashMap::new(),
            consented: HashSet::new(),
            newest: HashMap::new(),
        }
    }

    /// Returns whether this voter still abstains.
    pub fn abstains(&self, now_ms: u64) -> bool {
        now_ms < self.abstains_until_ms
    }

    /// Votes for the lease of `member`, which rules out consent to deposing it for
    /// [`Limits::vote_ms`]; returns whether the vote is granted.
    pub fn grant_vote(&mut self, now_ms: u64, member: Member, limits: &Limits) -> bool {
        if self.abstains(now_ms) || self.consented.contains(&member) {
            return false;
        }
        // An earlier incarnation at the seat may be inherited by another process and
        // vote later.
        let newest = self.newest.entry(member.seat).or_insert(member.incarnation);
        *newest = (*newest).max(member.incarnation);
        let until_ms = now_ms + limits.vote_ms();
        self.promised_until_ms.insert(member, until_ms);
        self.remove_expired(now_ms);
        true
    }

    /// Consents to deposing `target` unless a vote for it is in force; returns
    /// whether it consents.
    pub fn consent(&mut self, now_ms: u64, target: Member) -> bool {
        if self.abstains(now_ms) {
            return false;
        }
        let until_ms = self.promised_until_ms.get(&target).copied().unwrap_or(0);
        if now_ms < until_ms {
            return false;
        }
        self.consented.insert(target);
        true
    }

    /// Removes expired votes, and consents that a newer incarnation has made
    /// obsolete.
    fn remove_expired(&mut self, now_ms: u64) {
        const MIN_ENTRIES: usize = 1_024;
        if self.promised_until_ms.len() + self.consented.len() < MIN_ENTRIES {
            return;
        }
        self.promised_until_ms
            .retain(|_, until_ms| now_ms < *until_ms);
        let newest = &self.newest;
        let current = |member: &Member| newest.get(&member.seat) == Some(&member.incarnation);
        self.consented.retain(current);
    }
}
