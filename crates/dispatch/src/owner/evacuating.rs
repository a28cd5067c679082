//! Failure domains that get nothing new.
//!
//! Placing passes their workers over, and an order to start a run there that was decided before is
//! given up when its turn comes. What runs there goes on. An order that was sent before can't be
//! called back; its lease bounds how late a worker carries it out.

use crate::evacuations::Evacuations;
use crate::owner::Owner;
use crate::owner::worker::Worker;
use std::rc::Rc;

impl Owner {
    /// Takes in which failure domains are evacuated.
    pub(crate) fn set_evacuations(&mut self, evacuations: Rc<Evacuations>) {
        self.evacuations = evacuations;
        // What waited for a domain may have its turn there again.
        self.must_place = true;
    }

    /// Starts nothing while the rules are so old that a failure domain may have been evacuated
    /// unheard.
    pub(crate) fn pause_starts(&mut self, is_paused: bool) {
        self.must_place |= self.are_starts_paused && !is_paused;
        self.are_starts_paused = is_paused;
    }

    /// Tells whether a worker gets nothing new, as its failure domain is evacuated.
    pub(super) fn is_evacuated(&self, worker: &Worker) -> bool {
        self.evacuations.covers(&worker.entry.failure_domain)
    }
}
