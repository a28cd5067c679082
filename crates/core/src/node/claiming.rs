//! Claims of free cells, transfers of cells to a better owner, and the planned stop.

use super::Node;
use crate::event::Action;
use crate::ids::Cell;
use crate::ids::Member;
use crate::ids::rendezvous_weight;
use crate::notes::Code;
use crate::record::Record;

/// Maximum number of cells in one claim, so that the record stays small.
const MAX_CLAIM_CELLS: usize = 500;
/// Time for which a member must have been alive before cells move to it.
const MIN_ALIVE_MS: u64 = 5_000;
/// Maximum number of cells that move to a better owner per heartbeat.
const MAX_MOVES: usize = 1;
/// Time for which a stopping host still accepts requests, because the load balancer
/// takes a while to stop sending them.
const STOP_GRACE_MS: u64 = 3_000;
/// Time after the start of a planned stop until which a host tries to release its
/// cells through the log.
const MAX_RELEASE_MS: u64 = 10_000;

impl Node {
    /// Returns the live member that should own `cell`.
    fn best_owner(&self, cell: Cell) -> Option<Member> {
        let members = self.alive().iter().copied();
        members.max_by_key(|member| rendezvous_weight(cell, member.seat))
    }

    /// Claims free cells of which this member is the best owner. If there are none,
    /// releases cells of which another member is the best owner.
    pub(super) fn claim_free_cells(&mut self) {
        let is_current = self.claims_log.is_current(self.now_ms, &self.limits);
        if !is_current || self.claims_writer.waiting() > 0 || self.is_stopping {
            return;
        }
        let mut free = Vec::new();
        for cell in &self.layout.cells {
            if self.claims.owner(*cell).is_some() || self.best_owner(*cell) != Some(self.me) {
                continue;
            }
            free.push(*cell);
            if free.len() == MAX_CLAIM_CELLS {
                break;
            }
        }
        if !free.is_empty() {
            let member = self.me;
            let cells = free.into();
            self.claims_writer
                .push(self.now_ms, Record::Claim { member, cells });
            return;
        }
        self.release_misplaced();
    }

    fn release_misplaced(&mut self) {
        let mut moved = 0;
        for cell in self.owned_cells() {
            let Some(best) = self.best_owner(cell).filter(|best| *best != self.me) else {
                continue;
            };
            let since_ms = self.alive_since_ms(best);
            let is_stable = since_ms.is_some_and(|since| self.now_ms >= since + MIN_ALIVE_MS);
            let is_inherited = self.acting_member(cell) != self.me;
            if !is_stable || is_inherited || !self.may_release(cell) {
                continue;
            }
            self.release_cells(self.me, &[cell], Some(best));
            moved += 1;
            if moved == MAX_MOVES {
                return;
            }
        }
    }

    /// Returns the cells that this process owns, including those that are not open
    /// yet and those of inherited members.
    pub(super) fn owned_cells(&self) -> Vec<Cell> {
        let keys = self.keys.keys().map(|number| Cell::Keys(*number));
        let workers = self.workers.keys().map(|number| Cell::Workers(*number));
        let upstreams = self.upstreams.keys().map(|number| Cell::Upstreams(*number));
        keys.chain(workers).chain(upstreams).collect()
    }

    /// Returns whether `cell` has no unfinished writes, so that it may be released.
    pub(super) fn may_release(&self, cell: Cell) -> bool {
        match cell {
            Cell::Keys(number) => self
                .keys
                .get(&number)
                .is_some_and(|cell| cell.may_release()),
            _ => true,
        }
    }

    /// Stops acting for `cells` and then writes their release to the log. The order
    /// matters: the successor may act as soon as the record is in the log.
    pub(super) fn release_cells(
        &mut self,
        member: Member,
        cells: &[Cell],
        successor: Option<Member>,
    ) {
        for cell in cells {
            self.drop_cell(*cell);
        }
        let release = Record::Release {
            member,
            cells: cells.into(),
            successor,
        };
        self.claims_writer.push(self.now_ms, release);
    }

    /// Opens or drops cells whose owner has changed in the log.
    pub(super) fn owners_changed(&mut self, cells: &[Cell]) {
        for cell in cells {
            let owner = self.claims.owner(*cell);
            let Some(owner) = owner.filter(|owner| self.is_mine(owner.member)) else {
                self.drop_cell(*cell);
                continue;
            };
            self.note(
                Code::CellClaimed,
                cell.to_string(),
                format!("term {}", owner.term.0),
            );
            match cell {
                Cell::Keys(number) => self.open_keys(*number, owner.term),
                Cell::Workers(number) => self.open_workers(*number, owner.term),
                Cell::Upstreams(number) => self.open_upstreams(*number, false),
            }
        }
    }

    pub(super) fn drop_cell(&mut self, cell: Cell) {
        let was_owned = match cell {
            Cell::Keys(number) => self.keys.remove(&number).is_some(),
            Cell::Workers(number) => self.workers.remove(&number).is_some(),
            Cell::Upstreams(number) => self.upstreams.remove(&number).is_some(),
        };
        if was_owned {
            self.note(Code::CellGone, cell.to_string(), self.me.to_string());
        }
    }

    pub(super) fn drop_all_cells(&mut self) {
        for cell in self.owned_cells() {
            self.drop_cell(cell);
        }
    }

    pub(super) fn begin_stop(&mut self) {
        if self.is_stopping {
            return;
        }
        self.is_stopping = true;
        self.stop_began_ms = self.now_ms;
        self.note(Code::Stopping, self.me.to_string(), "");
        self.out.push(Action::Ready(false));
    }

    /// Continues a planned stop: once the requests in flight have ended, releases
    /// the cells to their successors, and then reports that the process may exit.
    pub(super) fn tick_stop(&mut self) {
        if !self.is_stopping || self.now_ms < self.stop_began_ms + STOP_GRACE_MS {
            return;
        }
        if !self.flights.is_empty() || !self.submissions.is_empty() || !self.publishing.is_empty() {
            return;
        }
        let may_write = self.acts_until_ms().is_some()
            && self.claims_log.is_current(self.now_ms, &self.limits)
            && self.now_ms < self.stop_began_ms + MAX_RELEASE_MS;
        let owned = self.owned_cells();
        if may_write {
            for cell in &owned {
                if self.may_release(*cell) {
                    let successor = self.best_owner(*cell).filter(|best| *best != self.me);
                    self.release_cells(self.acting_member(*cell), &[*cell], successor);
                }
            }
            if !owned.is_empty() || self.claims_writer.waiting() > 0 {
                return;
            }
        } else if !owned.is_empty() && self.hand_over() {
            // The process must not exit before the handovers are sent. The stop
            // completes at a later tick.
            return;
        }
        self.finish_stop();
    }
}
