//! Whether workers may still confirm the previous owner.
//!
//! An owner that the store does not confirm goes on while most workers answer it, and it extends
//! their leases. A worker refuses it once it has answered its successor. Without this module, a host
//! that can't reach most workers, and that claims because the store is unavailable to the previous
//! owner alone, would take the leases there for expired and start their tasks a second time.

use crate::event::Action;
use crate::owner::MAX_UNCONFIRMED_MS;
use crate::owner::Owner;
use crate::owner::leases::LeaseBasis;
use crate::owner::worker::WorkerKey;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Interval between two counts of the workers that have answered.
const COUNT_GAP_MS: u64 = 50;

/// What is known of the previous owner.
#[derive(Debug, Default)]
pub(super) struct Predecessor {
    /// Time by which half of the listed workers had answered this owner, so that most workers can't
    /// confirm the previous one; `None` if they may.
    refused_ms: Option<u64>,
    next_count_ms: u64,
    is_reported: bool,
}

impl Owner {
    /// Returns whether the previous owner may have extended the leases of a worker that are taken for
    /// expired: this one has never reached the worker, and most others neither, or only since then.
    pub(super) fn may_be_extended(
        &mut self,
        key: WorkerKey,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) -> bool {
        if self.are_leases_unknown(key, now_ms) {
            self.report_deferred(key, actions);
            return true;
        }
        now_ms <= self.workers[key].leases_expired_ms
    }

    /// Returns whether it is unknown how long the leases of a worker last, as most workers may confirm
    /// the previous owner. Once they refuse it, it gives no further ones after the time for which an
    /// owner goes on unconfirmed, and a lease counts from then.
    pub(super) fn are_leases_unknown(&mut self, key: WorkerKey, now_ms: u64) -> bool {
        if !self.is_unsettled(key) {
            return false;
        }
        let Some(refused_ms) = self.previous_owner_refused_ms(now_ms) else {
            return true;
        };
        let expired_ms = refused_ms + MAX_UNCONFIRMED_MS + self.lease_span_ms();
        if expired_ms > self.workers[key].leases_expired_ms {
            self.workers[key].extend_leases(expired_ms, LeaseBasis::Assumed);
        }
        false
    }

    /// Returns whether the end of the leases of a worker is an assumption of this owner: neither has
    /// the worker answered it, nor has a previous owner recorded that end.
    fn is_unsettled(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        worker.first_answered_ms.is_none()
            && !self.inherited_expiry_ms.contains_key(&worker.entry.id)
    }

    /// Returns since when most workers can't confirm the previous owner any more, if so.
    fn previous_owner_refused_ms(&mut self, now_ms: u64) -> Option<u64> {
        if self.predecessor.refused_ms.is_some() || now_ms < self.predecessor.next_count_ms {
            return self.predecessor.refused_ms;
        }
        self.predecessor.next_count_ms = now_ms + COUNT_GAP_MS;
        let mut listed = 0_usize;
        let mut answered_ms = Vec::new();
        for worker in self.workers.values().filter(|worker| worker.is_listed) {
            listed += 1;
            answered_ms.extend(worker.first_answered_ms);
        }
        answered_ms.sort_unstable();
        self.predecessor.refused_ms = match listed.div_ceil(2).checked_sub(1) {
            Some(last) => answered_ms.get(last).copied(),
            None => Some(0),
        };
        self.predecessor.refused_ms
    }

    fn report_deferred(&mut self, key: WorkerKey, actions: &mut Vec<Action>) {
        if std::mem::replace(&mut self.predecessor.is_reported, true) {
            return;
        }
        let worker = &self.workers[key];
        let listed = self.workers.values().filter(|worker| worker.is_listed);
        let (mut count, mut answered) = (0, 0);
        for worker in listed {
            count += 1;
            answered += u32::from(worker.first_answered_ms.is_some());
        }
        actions.push(Action::Note(Note::new(
            Code::RemovalDeferred,
            &*worker.entry.id,
            format!(
                "runs={} listed={count} answered={answered}",
                worker.runs.len()
            ),
        )));
    }
}
