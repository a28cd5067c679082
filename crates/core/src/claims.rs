//! The owners of all cells, as decided by the order of the log.
//!
//! All readers of the stream `claims` compute the same table, because whether a
//! record takes effect depends only on the records before it. A plain append is
//! enough: a claim of a cell that has an owner has no effect.

use crate::ids::Cell;
use crate::ids::Member;
use crate::ids::Seat;
use crate::ids::Term;
use crate::record::Record;
use std::collections::BTreeMap;
use std::collections::HashMap;

/// The owner of a cell and the term of its ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Owner {
    /// The member.
    pub member: Member,
    /// Fencing token of the ownership.
    pub term: Term,
}

/// The table of claims up to a position in the stream.
#[derive(Debug, Clone, Default)]
pub struct ClaimTable {
    owners: BTreeMap<Cell, Owner>,
    deposed: HashMap<Seat, u64>,
    previous_terms: HashMap<Cell, Term>,
}

impl ClaimTable {
    /// Applies the record at `offset`; returns the cells whose owner changed.
    pub fn apply(&mut self, offset: u64, record: &Record) -> Vec<Cell> {
        match record {
            Record::Depose { target, .. } => self.depose(*target),
            Record::Claim { member, cells } => self.claim(offset, *member, cells),
            Record::Release {
                member,
                cells,
                successor,
            } => self.release(offset, *member, cells, *successor),
            _ => Vec::new(),
        }
    }

    /// Returns the owner of `cell`.
    pub fn owner(&self, cell: Cell) -> Option<Owner> {
        self.owners.get(&cell).copied()
    }

    /// Returns whether `cell` ever had an owner, whose actions may still be in
    /// flight.
    pub fn had_owner(&self, cell: Cell) -> bool {
        self.previous_terms.contains_key(&cell)
    }

    /// Returns whether `member` is deposed, which means that its ownerships have
    /// ended.
    pub fn is_deposed(&self, member: Member) -> bool {
        let deposed = self.deposed.get(&member.seat);
        deposed.is_some_and(|incarnation| member.incarnation <= *incarnation)
    }

    /// Returns the highest incarnation at a seat that was deposed; 0 if none was.
    pub fn deposed_incarnation(&self, seat: Seat) -> u64 {
        self.deposed.get(&seat).copied().unwrap_or(0)
    }

    /// Returns the cells with their owners.
    pub fn owners(&self) -> impl Iterator<Item = (Cell, Owner)> + '_ {
        self.owners.iter().map(|(cell, owner)| (*cell, *owner))
    }

    /// Returns the table as a snapshot record that replaces all records before
    /// `as_of`.
    pub fn snapshot(&self, as_of: u64) -> Record {
        let mut deposed: Vec<Member> = Vec::new();
        for (seat, incarnation) in &self.deposed {
            deposed.push(Member {
                seat: *seat,
                incarnation: *incarnation,
            });
        }
        deposed.sort_unstable();
        Record::ClaimsSnapshot {
            as_of,
            owners: self
                .owners()
                .map(|(cell, owner)| (cell, owner.member, owner.term))
                .collect(),
            deposed: deposed.into(),
        }
    }

    fn depose(&mut self, target: Member) -> Vec<Cell> {
        let deposed = self.deposed.entry(target.seat).or_default();
        *deposed = (*deposed).max(target.incarnation);
        let limit = *deposed;
        let mut freed = Vec::new();
        for (cell, owner) in &self.owners {
            if owner.member.seat == target.seat && owner.member.incarnation <= limit {
                freed.push(*cell);
            }
        }
        for cell in &freed {
            self.free(*cell);
        }
        freed
    }

    fn free(&mut self, cell: Cell) {
        if let Some(owner) = self.owners.remove(&cell) {
            self.previous_terms.insert(cell, owner.term);
        }
    }

    fn claim(&mut self, offset: u64, member: Member, cells: &[Cell]) -> Vec<Cell> {
        let mut changed = Vec::new();
        if self.is_deposed(member) {
            return changed;
        }
        for cell in cells {
            if self.owners.contains_key(cell) {
                continue;
            }
            let term = Term(offset + 1);
            self.owners.insert(*cell, Owner { member, term });
            changed.push(*cell);
        }
        changed
    }

    fn release(
        &mut self,
        offset: u64,
        member: Member,
        cells: &[Cell],
        successor: Option<Member>,
    ) -> Vec<Cell> {
        let mut changed = Vec::new();
        for cell in cells {
            if self.owner(*cell).is_none_or(|owner| owner.member != member) {
                continue;
            }
            self.free(*cell);
            if let Some(successor) = successor.filter(|successor| !self.is_deposed(*successor)) {
                let term = Term(offset + 1);
                self.owners.insert(
                    *cell,
                    Owner {
                        member: successor,
                        term,
                    },
                );
            }
            changed.push(*cell);
        }
        changed
    }

    /// Replaces the table by a snapshot.
    pub fn restore(&mut self, owners: &[(Cell, Member, Term)], deposed: &[Member]) {
        self.owners.clear();
        for (cell, member, term) in owners {
            let owner = Owner {
                member: *member,
                term: *term,
            };
            self.owners.insert(*cell, owner);
            self.previous_terms.insert(*cell, *term);
        }
        for member in deposed {
            self.deposed.insert(member.seat, member.incarnation);
        }
    }
}
