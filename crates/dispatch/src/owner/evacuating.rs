//! Evacuated failure domains, which get no new tasks.
//!
//! Placement skips their workers, and a run there whose order to start has not been sent yet is
//! dropped. Runs that are already there continue. An order that was sent before the evacuation
//! can't be revoked; its lease limits how late a worker can carry it out.

use crate::evacuations::Evacuations;
use crate::owner::Owner;
use crate::owner::worker::Worker;
use std::rc::Rc;

impl Owner {
    /// Applies the set of evacuated failure domains.
    pub(crate) fn set_evacuations(&mut self, evacuations: Rc<Evacuations>) {
        self.evacuations = evacuations;
        // Tasks that waited for a domain may be placed there again.
        self.must_place = true;
    }

    /// Pauses or resumes all starts. They are paused while the rules are so old that a failure
    /// domain may have been evacuated without this host knowing.
    pub(crate) fn pause_starts(&mut self, is_paused: bool) {
        self.must_place |= self.are_starts_paused && !is_paused;
        self.are_starts_paused = is_paused;
    }

    /// Returns whether a worker gets no new tasks because its failure domain is evacuated.
    pub(super) fn is_evacuated(&self, worker: &Worker) -> bool {
        self.evacuations.covers(&worker.entry.failure_domain)
    }
}
