//! Replacement of hosts while the log is unavailable: a new host gets the state of
//! the log from a peer, and a stopping host hands over its membership to another.
//!
//! Ownership can't change without the log. A host that is replaced during an
//! outage of the log would leave its cells without an owner until the log is
//! available again. Instead it stops acting and hands over its membership: the
//! successor inherits the member, requests lease votes for it from the voters, and
//! acts for its cells under their existing terms. Once the log is available again,
//! the successor claims the cells under its own membership.
//!
//! An inherited member acts in one place at a time: its process stops acting before
//! it sends the handover, and sends the handover only once. If that message is
//! lost, the lease of the member expires and nobody acts for its cells until the log
//! is available, as after a crash.

use super::Node;
use crate::event::Action;
use crate::ids::Cell;
use crate::ids::Member;
use crate::ids::Seat;
use crate::ids::Term;
use crate::ids::rendezvous_weight;
use crate::lease::Lease;
use crate::lease::LeaseState;
use crate::macros::plain;
use crate::message::Message;
use crate::notes::Code;
use crate::record::Record;
use rand::RngExt;
use std::collections::BTreeSet;

/// Upper bound for the worker calls that the previous owner made after the count in
/// its handover.
const MAX_UNCOUNTED_CALLS: u64 = 1_000;

plain! {
    /// The state of a cell of keys in a handover.
    pub struct KeyHandover {
        /// Number of the cell.
        pub number: u16,
        /// Term under which the cell is owned.
        pub term: Term,
        /// Sequence of the last batch that was sent.
        pub sequence: u64,
        /// Records that restore the identities and jobs of the cell.
        pub records: Box<[Record]>,
    }

    /// The state that a successor needs to act for a member.
    pub struct Handover {
        /// The member that is handed over.
        pub member: Member,
        /// Its cells of keys.
        pub keys: Box<[KeyHandover]>,
        /// Its cells of workers, each with its term and the number of calls made in
        /// that term.
        pub workers: Box<[(u64, Term, u64)]>,
        /// Its cells of upstreams.
        pub upstreams: Box<[u64]>,
    }
}

/// A member of another seat for which this process acts.
#[derive(Debug, Clone)]
pub(super) struct Inherited {
    pub(super) lease: Lease,
    /// The cells to open once a majority of voters has granted the lease.
    handover: Option<Handover>,
    /// Cells of the member that are open here.
    cells: Vec<Cell>,
    /// When the handover arrived.
    since_ms: u64,
}

impl Node {
    /// Returns whether this process acts for the cells of `member`.
    pub(super) fn is_mine(&self, member: Member) -> bool {
        member == self.me || self.inherited.contains_key(&member)
    }

    /// Returns the member under which this process owns `cell`.
    pub(super) fn acting_member(&self, cell: Cell) -> Member {
        let mut inherited = self.inherited.iter();
        let found = inherited.find(|(_, inherited)| inherited.cells.contains(&cell));
        found.map_or(self.me, |(member, _)| *member)
    }

    /// Returns the seat whose process acts for `member`.
    pub(super) fn seat_of(&self, member: Member) -> Seat {
        self.successors.get(&member).copied().unwrap_or(member.seat)
    }

    /// Returns whether `from` may send messages on behalf of `member`.
    pub(super) fn speaks_for(&self, from: Member, member: Member) -> bool {
        from == member || (from.seat == self.seat_of(member) && from.seat != member.seat)
    }

    /// Requests the state of the log from a random voter, if the log is unavailable
    /// and was never read to its end.
    pub(super) fn request_state(&mut self) {
        if self.claims_log.was_read() || !self.claims_log.is_unavailable() {
            return;
        }
        let voters = self.voters().to_vec();
        let voter = voters[self.random.random_range(0..voters.len())];
        if voter != self.me.seat {
            self.send(voter, Message::StateRequest);
        }
    }

    /// Sends a peer snapshots of claims and configuration, with the offset of each.
    pub(super) fn send_state(&mut self, to: Seat) {
        if self.config.version() == 0 {
            return;
        }
        let claims = self.claims.snapshot(self.claims_log.position());
        let config = self.config.snapshot(self.config_log.position());
        self.send(to, Message::State { claims, config });
    }

    /// Restores claims and configuration from the snapshots of a peer, unless this
    /// process has read the streams itself.
    pub(super) fn apply_state(&mut self, claims: &Record, config: &Record) {
        let (
            Record::ClaimsSnapshot {
                as_of,
                owners,
                deposed,
            },
            Record::ConfigSnapshot {
                as_of: config_as_of,
                version,
                changes,
            },
        ) = (claims, config)
        else {
            return;
        };
        if !self.claims_log.was_read() && self.claims_log.position() < *as_of {
            self.claims.restore(owners, deposed);
            self.claims_log.start_at(*as_of);
        }
        if !self.config_log.was_read() && self.config.restore(*version, changes) {
            self.config_log.start_at(*config_as_of);
            self.apply_new_config();
        }
    }

    /// Hands over this member and the members that it has inherited, if there is
    /// another live member. Returns whether the handovers were sent.
    pub(super) fn hand_over(&mut self) -> bool {
        if self.acts_until_ms().is_none() || self.alive().iter().all(|member| *member == self.me) {
            return false;
        }
        let mut handovers = Vec::new();
        let mut inherited_cells = BTreeSet::new();
        for (member, inherited) in &self.inherited {
            inherited_cells.extend(inherited.cells.iter().copied());
            handovers.push(match &inherited.handover {
                // The voters have not granted its lease yet. The successor can
                // request the votes instead.
                Some(handover) => handover.clone(),
                None => self.make_handover(*member, &inherited.cells),
            });
        }
        let owned = self.owned_cells();
        let own: Vec<Cell> = owned
            .into_iter()
            .filter(|cell| !inherited_cells.contains(cell))
            .collect();
        handovers.push(self.make_handover(self.me, &own));
        // This process must stop acting before the messages are sent, whether or
        // not they arrive.
        self.drop_all_cells();
        self.drop_all_inherited();
        for handover in handovers {
            self.send_handover(handover);
        }
        true
    }

    fn send_handover(&mut self, handover: Handover) {
        let member = handover.member;
        let candidates = self
            .alive()
            .iter()
            .copied()
            .filter(|member| *member != self.me);
        let cell = Cell::Keys(member.seat.0);
        let Some(successor) = candidates.max_by_key(|member| rendezvous_weight(cell, member.seat))
        else {
            return;
        };
        self.note(Code::LifeHanded, member.to_string(), successor.to_string());
        self.send(successor.seat, Message::Handover(handover));
    }

    /// Returns the state that a successor needs to act for `member` with these cells.
    fn make_handover(&self, member: Member, cells: &[Cell]) -> Handover {
        let (mut keys, mut workers, mut upstreams) = (Vec::new(), Vec::new(), Vec::new());
        for cell in cells {
            match cell {
                Cell::Keys(number) => {
                    let open = self.keys.get(number).filter(|cell| cell.is_open());
                    keys.extend(open.map(|cell| cell.handed(*number)));
                }
                Cell::Workers(number) => {
                    let owned = self.workers.get(number);
                    workers.extend(owned.map(|cell| (*number, cell.term(), cell.calls())));
                }
                Cell::Upstreams(number) => upstreams.push(*number),
            }
        }
        Handover {
            member,
            keys: keys.into(),
            workers: workers.into(),
            upstreams: upstreams.into(),
        }
    }

    /// Inherits the member of a handover. Its cells are opened once a majority of
    /// voters has granted its lease.
    pub(super) fn accept_handover(&mut self, handover: Handover) {
        let member = handover.member;
        if self.is_stopping || self.is_mine(member) || self.claims.is_deposed(member) {
            return;
        }
        let inherited = Inherited {
            lease: Lease::new(self.voters().len()),
            handover: Some(handover),
            cells: Vec::new(),
            since_ms: self.now_ms,
        };
        self.inherited.insert(member, inherited);
        self.send_heartbeat_soon();
    }

    /// Opens the cells of inherited members whose lease is in force, and drops
    /// members whose lease has expired or was not granted in time.
    pub(super) fn check_inherited(&mut self) {
        let now_ms = self.now_ms;
        let timeout_ms = self.limits.lease_ms * 2;
        for member in self.inherited.keys().copied().collect::<Vec<Member>>() {
            let Some(inherited) = self.inherited.get_mut(&member) else {
                continue;
            };
            match inherited.lease.state(now_ms) {
                LeaseState::InForce { .. } => {
                    if let Some(handover) = inherited.handover.take() {
                        self.open_handover(handover);
                    }
                }
                LeaseState::Joining if now_ms < inherited.since_ms + timeout_ms => {}
                LeaseState::Joining | LeaseState::Expired => self.drop_inherited(member),
            }
        }
    }

    fn drop_inherited(&mut self, member: Member) {
        let Some(inherited) = self.inherited.remove(&member) else {
            return;
        };
        for cell in inherited.cells {
            self.drop_cell(cell);
        }
    }

    fn open_handover(&mut self, handover: Handover) {
        let member = handover.member;
        let mut cells = Vec::new();
        for keys in &handover.keys {
            self.open_handed_keys(keys);
            cells.push(Cell::Keys(keys.number));
        }
        for (number, term, calls) in &handover.workers {
            self.open_workers(*number, *term);
            if let Some(cell) = self.workers.get_mut(number) {
                cell.set_calls(calls + MAX_UNCOUNTED_CALLS);
            }
            cells.push(Cell::Workers(*number));
        }
        for number in &handover.upstreams {
            self.open_upstreams(*number, true);
            cells.push(Cell::Upstreams(*number));
        }
        self.note(
            Code::LifeCarried,
            member.to_string(),
            format!("{} cells", cells.len()),
        );
        if let Some(inherited) = self.inherited.get_mut(&member) {
            inherited.cells = cells;
        }
    }

    /// Moves inherited cells to this member once the log is available again.
    pub(super) fn claim_inherited_cells(&mut self) {
        let is_current = self.claims_log.is_current(self.now_ms, &self.limits);
        if !is_current || self.claims_writer.waiting() > 0 {
            return;
        }
        for member in self.inherited.keys().copied().collect::<Vec<Member>>() {
            let cells = self
                .inherited
                .get(&member)
                .map(|inherited| inherited.cells.clone());
            let cells = cells.unwrap_or_default();
            let releasable: Vec<Cell> = cells
                .iter()
                .copied()
                .filter(|cell| self.may_release(*cell))
                .collect();
            if releasable.is_empty() {
                if cells.is_empty() && !self.awaits_votes(member) {
                    self.inherited.remove(&member);
                }
                continue;
            }
            if let Some(inherited) = self.inherited.get_mut(&member) {
                inherited.cells.retain(|cell| !releasable.contains(cell));
            }
            self.release_cells(member, &releasable, Some(self.me));
            return;
        }
    }

    /// Returns whether the voters have not yet granted the lease of an inherited
    /// member.
    fn awaits_votes(&self, member: Member) -> bool {
        self.inherited
            .get(&member)
            .is_some_and(|inherited| inherited.handover.is_some())
    }

    /// Drops all inherited members.
    pub(super) fn drop_all_inherited(&mut self) {
        self.inherited.clear();
    }

    /// Sends heartbeats for all inherited members.
    pub(super) fn heartbeat_inherited(&mut self) {
        for member in self.inherited.keys().copied().collect::<Vec<Member>>() {
            self.send_heartbeat(member);
        }
    }

    /// Reports that a planned stop is complete.
    pub(super) fn finish_stop(&mut self) {
        self.note(Code::Stopped, self.me.to_string(), "");
        self.out.push(Action::Stopped);
    }
}
