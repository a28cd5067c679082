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
use crate::ids::weight;
use crate::lease::Lease;
use crate::lease::Standing;
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
    pub struct HandedKeys {
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
        pub life: Member,
        /// Its cells of keys.
        pub keys: Box<[HandedKeys]>,
        /// Its cells of workers, with terms and calls so far.
        pub workers: Box<[(u64, Term, u64)]>,
        /// Its cells of upstreams.
        pub upstreams: Box<[u64]>,
    }
}

/// A life that this process carries on for another.
#[derive(Debug, Clone)]
pub(super) struct Carried {
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
        member == self.me || self.carried.contains_key(&member)
    }

    /// Gives the life under which this process owns `cell`.
    pub(super) fn life_of(&self, cell: Cell) -> Member {
        let mut carried = self.carried.iter();
        let found = carried.find(|(_, carried)| carried.cells.contains(&cell));
        found.map_or(self.me, |(life, _)| *life)
    }

    /// Gives the seat at which a member is reached.
    pub(super) fn seat_of(&self, member: Member) -> Seat {
        self.carriers.get(&member).copied().unwrap_or(member.seat)
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
            self.send(voter, Message::StateAsk);
        }
    }

    /// Tells a peer where claims and configuration stand, as of an offset of each.
    pub(super) fn tell_state(&mut self, to: Seat) {
        if self.config.version() == 0 {
            return;
        }
        let claims = self.claims.carry(self.claims_log.position());
        let config = self.config.carry(self.config_log.position());
        self.send(to, Message::State { claims, config });
    }

    /// Takes over what a peer has read of the log, if this process has read none.
    pub(super) fn take_state(&mut self, claims: &Record, config: &Record) {
        let (
            Record::ClaimsCarried {
                as_of,
                owners,
                deposed,
            },
            Record::ConfigCarried {
                as_of: config_as_of,
                version,
                changes,
            },
        ) = (claims, config)
        else {
            return;
        };
        if !self.claims_log.was_read() && self.claims_log.position() < *as_of {
            self.claims.replace(owners, deposed);
            self.claims_log.start_at(*as_of);
        }
        if !self.config_log.was_read() && self.config.replace(*version, changes) {
            self.config_log.start_at(*config_as_of);
            self.config_changed();
        }
    }

    /// Hands over this life and those that it carries, if there is somebody to take
    /// them; tells whether it did.
    pub(super) fn hand_over(&mut self) -> bool {
        if self.acts_until_ms().is_none() || self.alive().iter().all(|life| *life == self.me) {
            return false;
        }
        let mut handovers = Vec::new();
        let mut carried_cells = BTreeSet::new();
        for (life, carried) in &self.carried {
            carried_cells.extend(carried.cells.iter().copied());
            handovers.push(match &carried.handover {
                // It waits for its voters here and can wait there.
                Some(handover) => handover.clone(),
                None => self.handover_of(*life, &carried.cells),
            });
        }
        let owned = self.owned_cells();
        let own: Vec<Cell> = owned
            .into_iter()
            .filter(|cell| !carried_cells.contains(cell))
            .collect();
        handovers.push(self.handover_of(self.me, &own));
        // From here on this process acts for nothing, whatever becomes of the
        // messages.
        self.drop_all_cells();
        self.drop_all_carried();
        for handover in handovers {
            self.send_handover(handover);
        }
        true
    }

    fn send_handover(&mut self, handover: Handover) {
        let life = handover.life;
        let candidates = self
            .alive()
            .iter()
            .copied()
            .filter(|member| *member != self.me);
        let cell = Cell::Keys(life.seat.0);
        let Some(heir) = candidates.max_by_key(|member| weight(cell, member.seat)) else {
            return;
        };
        self.note(Code::LifeHanded, life.to_string(), heir.to_string());
        self.send(heir.seat, Message::Handover(handover));
    }

    /// Gives what a carrier must know of a life with these cells.
    fn handover_of(&self, life: Member, cells: &[Cell]) -> Handover {
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
            life,
            keys: keys.into(),
            workers: workers.into(),
            upstreams: upstreams.into(),
        }
    }

    /// Begins to carry a life: first the voters must promise.
    pub(super) fn take_over(&mut self, handover: Handover) {
        let life = handover.life;
        if self.is_stopping || self.is_mine(life) || self.claims.is_deposed(life) {
            return;
        }
        let carried = Carried {
            lease: Lease::new(self.voters().len()),
            handover: Some(handover),
            cells: Vec::new(),
            since_ms: self.now_ms,
        };
        self.carried.insert(life, carried);
        self.hurry_heartbeat();
    }

    /// Opens the cells of carried lives once they may be acted for, and drops those
    /// whose lease has lapsed.
    pub(super) fn check_carried(&mut self) {
        let now_ms = self.now_ms;
        let patience_ms = self.limits.lease_ms * 2;
        for life in self.carried.keys().copied().collect::<Vec<Member>>() {
            let Some(carried) = self.carried.get_mut(&life) else {
                continue;
            };
            match carried.lease.standing(now_ms) {
                Standing::InForce { .. } => {
                    if let Some(handover) = carried.handover.take() {
                        self.open_handed(handover);
                    }
                }
                Standing::Joining if now_ms < carried.since_ms + patience_ms => {}
                Standing::Joining | Standing::Over => self.drop_carried(life),
            }
        }
    }

    fn drop_carried(&mut self, life: Member) {
        let Some(carried) = self.carried.remove(&life) else {
            return;
        };
        for cell in carried.cells {
            self.drop_cell(cell);
        }
    }

    fn open_handed(&mut self, handover: Handover) {
        let life = handover.life;
        let mut cells = Vec::new();
        for keys in &handover.keys {
            self.open_handed_keys(keys);
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
            life.to_string(),
            format!("{} cells", cells.len()),
        );
        if let Some(carried) = self.carried.get_mut(&life) {
            carried.cells = cells;
        }
    }

    /// Takes carried cells over in this member's own name once the log is back.
    pub(super) fn settle_carried(&mut self) {
        let is_current = self.claims_log.is_current(self.now_ms, &self.limits);
        if !is_current || self.claims_writer.waiting() > 0 {
            return;
        }
        for life in self.carried.keys().copied().collect::<Vec<Member>>() {
            let cells = self.carried.get(&life).map(|carried| carried.cells.clone());
            let cells = cells.unwrap_or_default();
            let may_go: Vec<Cell> = cells
                .iter()
                .copied()
                .filter(|cell| self.may_let_go(*cell))
                .collect();
            if may_go.is_empty() {
                if cells.is_empty() && !self.is_waiting(life) {
                    self.carried.remove(&life);
                }
                continue;
            }
            if let Some(carried) = self.carried.get_mut(&life) {
                carried.cells.retain(|cell| !may_go.contains(cell));
            }
            self.let_go(life, &may_go, Some(self.me));
            return;
        }
    }

    /// Tells whether a carried life still waits for its voters.
    fn is_waiting(&self, life: Member) -> bool {
        self.carried
            .get(&life)
            .is_some_and(|carried| carried.handover.is_some())
    }

    /// Ends all that this process carries for others.
    pub(super) fn drop_all_carried(&mut self) {
        self.carried.clear();
    }

    /// Sends heartbeats for carried lives.
    pub(super) fn beat_for_carried(&mut self) {
        for life in self.carried.keys().copied().collect::<Vec<Member>>() {
            self.beat(life);
        }
    }

    /// Says that a planned stop is complete.
    pub(super) fn stopped(&mut self) {
        self.note(Code::Stopped, self.me.to_string(), "");
        self.out.push(Action::Stopped);
    }
}
