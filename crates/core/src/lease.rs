//! The lease under which a member may act, and the voters' promises behind it.
//!
//! Every member asks the voters (the first few seats of the settings) for
//! promises with each heartbeat. While a majority of promises holds, no other
//! member can be allowed to depose it, because deposing takes the consent of a
//! majority too, and a voter gives none while its own promise holds. This needs
//! no log, so ownership outlives an outage of the log.
//!
//! What goes wrong without it: a member that is paused, or cut off while others
//! are not, goes on acting for cells that somebody else has claimed. It notices
//! by its own clock: the moment its lease lapses, that life of it is over, and it
//! starts another one without cells.

use crate::ids::Member;
use crate::ids::Seat;
use crate::limits::Limits;
use std::collections::HashMap;
use std::collections::HashSet;

/// Where a member's own lease stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaseState {
    /// No majority has promised yet.
    Joining,
    /// The member may act until the given time.
    InForce {
        /// End of the lease by the member's own clock.
        until_ms: u64,
    },
    /// The lease was in force and has lapsed; this life is over.
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
    /// Starts without promises, of which a majority of `voters` will be needed.
    pub fn new(voters: usize) -> Self {
        Self {
            quorum: voters / 2 + 1,
            until_ms: HashMap::new(),
            was_in_force: false,
            end_ms: 0,
        }
    }

    /// Notes a promise to a heartbeat that was sent at `sent_ms`.
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

    /// Tells where the lease stands at `now_ms`.
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

/// What a voter has promised and consented to.
///
/// A voter keeps nothing across restarts, so a new one abstains for as long as a
/// promise of its former life could hold. Otherwise it would consent to depose a
/// member that still holds a promise which the voter has forgotten.
#[derive(Debug, Clone)]
pub struct Voter {
    abstains_until_ms: u64,
    promised_until_ms: HashMap<Member, u64>,
    consented: HashSet<Member>,
    newest: HashMap<Seat, u64>,
}

impl Voter {
    /// Starts a voter at `now_ms`.
    pub fn new(now_ms: u64, limits: &Limits) -> Self {
        Self {
            abstains_until_ms: now_ms + limits.vote_ms(),
            promised_until_ms: HashMap::new(),
            consented: HashSet::new(),
            newest: HashMap::new(),
        }
    }

    /// Tells whether this voter still abstains.
    pub fn abstains(&self, now_ms: u64) -> bool {
        now_ms < self.abstains_until_ms
    }

    /// Promises `member` not to consent to deposing it for a while, if it may.
    pub fn grant_vote(&mut self, now_ms: u64, member: Member, limits: &Limits) -> bool {
        if self.abstains(now_ms) || self.consented.contains(&member) {
            return false;
        }
        // An earlier life at the seat may be carried on by another process.
        let newest = self.newest.entry(member.seat).or_insert(member.incarnation);
        *newest = (*newest).max(member.incarnation);
        let until_ms = now_ms + limits.vote_ms();
        self.promised_until_ms.insert(member, until_ms);
        self.forget_ended(now_ms);
        true
    }

    /// Consents to deposing `target` if no promise to it holds.
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

    /// Drops promises that ended and consents that a newer life has made moot.
    fn forget_ended(&mut self, now_ms: u64) {
        const MANY: usize = 1_024;
        if self.promised_until_ms.len() + self.consented.len() < MANY {
            return;
        }
        self.promised_until_ms
            .retain(|_, until_ms| now_ms < *until_ms);
        let newest = &self.newest;
        let current = |member: &Member| newest.get(&member.seat) == Some(&member.incarnation);
        self.consented.retain(current);
    }
}
