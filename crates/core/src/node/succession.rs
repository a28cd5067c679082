//! What helps while the log is away: a fresh host learns from a peer where things
//! stand, and a host that stops hands its life over to another.
//!
//! Ownership can't change without the log. A host that is replaced during an
//! outage would leave its cells without an owner until the log is back. Instead it
//! stops acting and hands over its life: another member carries that life on, asks
//! the voters for promises to it, and acts for its cells under their old terms.
//! Once the log is back, the carrier takes the cells over in its own name.
//!
//! The handed life acts in one place at a time: its process lets go before it
//! sends the message, and the message is sent once. If it is lost, the life's
//! lease lapses and its cells wait for the log, as after a crash.

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

/// Calls that the former owner may have made since it counted them last.
const CALLS_BEYOND: u64 = 1_000;

plain! {
    /// A cell of keys as it is handed over.
    pub struct KeyHandover {
        /// Its number.
        pub number: u16,
        /// Term of its owner.
        pub term: Term,
        /// Sequence of the last batch that was sent.
        pub sequence: u64,
        /// Its identities and jobs, as records that stand for them.
        pub records: Box<[Record]>,
    }

    /// All that a carrier must know of a life.
    pub struct Handover {
        /// The life.
        pub member: Member,
        /// Its cells of keys.
        pub keys: Box<[KeyHandover]>,
        /// Its cells of workers, with terms and calls so far.
        pub workers: Box<[(u64, Term, u64)]>,
        /// Its cells of upstreams.
        pub upstreams: Box<[u64]>,
    }
}

/// A life that this process carries on for another.
#[derive(Debug, Clone)]
pub(super) struct Inherited {
    pub(super) lease: Lease,
    /// What is opened once the voters have promised.
    handover: Option<Handover>,
    /// Its cells, once they are open.
    cells: Vec<Cell>,
    since_ms: u64,
}

impl Node {
    /// Tells whether this process acts for what `member` owns.
    pub(super) fn is_mine(&self, member: Member) -> bool {
        member == self.me || self.inherited.contains_key(&member)
    }

    /// Gives the life under which this process owns `cell`.
    pub(super) fn acting_member(&self, cell: Cell) -> Member {
        let mut inherited = self.inherited.iter();
        let found = inherited.find(|(_, inherited)| inherited.cells.contains(&cell));
        found.map_or(self.me, |(member, _)| *member)
    }

    /// Gives the seat at which a member is reached.
    pub(super) fn seat_of(&self, member: Member) -> Seat {
        self.successors.get(&member).copied().unwrap_or(member.seat)
    }

    /// Tells whether a message from `from` speaks for `member`.
    pub(super) fn speaks_for(&self, from: Member, member: Member) -> bool {
        from == member || (from.seat == self.seat_of(member) && from.seat != member.seat)
    }

    /// Asks a voter where things stand, if the log has never been read.
    pub(super) fn ask_for_state(&mut self) {
        if self.claims_log.was_read() || !self.claims_log.is_away() {
            return;
        }
        let voters = self.voters().to_vec();
        let voter = voters[self.random.random_range(0..voters.len())];
        if voter != self.me.seat {
            self.send(voter, Message::StateRequest);
        }
    }

    /// Tells a peer where claims and configuration stand, as of an offset of each.
    pub(super) fn send_state(&mut self, to: Seat) {
        if self.config.version() == 0 {
            return;
        }
        let claims = self.claims.snapshot(self.claims_log.position());
        let config = self.config.snapshot(self.config_log.position());
        self.send(to, Message::State { claims, config });
    }

    /// Takes over what a peer has read of the log, if this process has read none.
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
            self.config_changed();
        }
    }

    /// Hands over this life and those that it carries, if there is somebody to take
    /// them; tells whether it did.
    pub(super) fn hand_over(&mut self) -> bool {
        if self.acts_until_ms().is_none() || self.alive().iter().all(|member| *member == self.me) {
            return false;
        }
        let mut handovers = Vec::new();
        let mut inherited_cells = BTreeSet::new();
        for (member, inherited) in &self.inherited {
            inherited_cells.extend(inherited.cells.iter().copied());
            handovers.push(match &inherited.handover {
                // It waits for its voters here and can wait there.
                Some(handover) => handover.clone(),
                None => self.handover_of(*member, &inherited.cells),
            });
        }
        let owned = self.owned_cells();
        let own: Vec<Cell> = owned
            .into_iter()
            .filter(|cell| !inherited_cells.contains(cell))
            .collect();
        handovers.push(self.handover_of(self.me, &own));
        // From here on this process acts for nothing, whatever becomes of the
        // messages.
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

    /// Gives what a carrier must know of a life with these cells.
    fn handover_of(&self, member: Member, cells: &[Cell]) -> Handover {
        let (mut keys, mut workers, mut upstreams) = (Vec::new(), Vec::new(), Vec::new());
        for cell in cells {
            match cell {
                Cell::Keys(number) => {
                    let open = self.keys.get(number).filter(|cell| cell.is_open());
                    keys.extend(open.map(|cell| cell.make_handover(*number)));
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

    /// Begins to carry a life: first the voters must promise.
    pub(super) fn take_over(&mut self, handover: Handover) {
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

    /// Opens the cells of carried lives once they may be acted for, and drops those
    /// whose lease has lapsed.
    pub(super) fn check_inherited(&mut self) {
        let now_ms = self.now_ms;
        let patience_ms = self.limits.lease_ms * 2;
        for member in self.inherited.keys().copied().collect::<Vec<Member>>() {
            let Some(inherited) = self.inherited.get_mut(&member) else {
                continue;
            };
            match inherited.lease.state(now_ms) {
                LeaseState::InForce { .. } => {
                    if let Some(handover) = inherited.handover.take() {
                        self.open_handed(handover);
                    }
                }
                LeaseState::Joining if now_ms < inherited.since_ms + patience_ms => {}
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

    fn open_handed(&mut self, handover: Handover) {
        let member = handover.member;
        let mut cells = Vec::new();
        for keys in &handover.keys {
            self.open_handover_keys(keys);
            cells.push(Cell::Keys(keys.number));
        }
        for (number, term, calls) in &handover.workers {
            self.open_workers(*number, *term);
            if let Some(cell) = self.workers.get_mut(number) {
                cell.set_calls(calls + CALLS_BEYOND);
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

    /// Takes carried cells over in this member's own name once the log is back.
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
            let may_go: Vec<Cell> = cells
                .iter()
                .copied()
                .filter(|cell| self.may_release(*cell))
                .collect();
            if may_go.is_empty() {
                if cells.is_empty() && !self.is_waiting(member) {
                    self.inherited.remove(&member);
                }
                continue;
            }
            if let Some(inherited) = self.inherited.get_mut(&member) {
                inherited.cells.retain(|cell| !may_go.contains(cell));
            }
            self.release_cells(member, &may_go, Some(self.me));
            return;
        }
    }

    /// Tells whether a carried life still waits for its voters.
    fn is_waiting(&self, member: Member) -> bool {
        self.inherited
            .get(&member)
            .is_some_and(|inherited| inherited.handover.is_some())
    }

    /// Ends all that this process carries for others.
    pub(super) fn drop_all_inherited(&mut self) {
        self.inherited.clear();
    }

    /// Sends heartbeats for carried lives.
    pub(super) fn heartbeat_inherited(&mut self) {
        for member in self.inherited.keys().copied().collect::<Vec<Member>>() {
            self.send_heartbeat(member);
        }
    }

    /// Says that a planned stop is complete.
    pub(super) fn stopped(&mut self) {
        self.note(Code::Stopped, self.me.to_string(), "");
        self.out.push(Action::Stopped);
    }
}
