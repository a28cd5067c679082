//! Leases that a worker may have been given by the clock of its previous incarnation.
//!
//! A worker that restarts under its id takes calls that were meant for its previous incarnation. It
//! cuts a lease by that one's clock to the longest that it grants, which may be twice the one that
//! owners give. Until such a lease must have expired, runs at the worker count as alive whatever the
//! owner has given itself. Owners record since when they know of a restart: without that, one that
//! begins while such a worker is cut off would take its leases for expired while its tasks go on.

use crate::event::Action;
use crate::incarnation::Incarnation;
use crate::owner::MAX_UNCONFIRMED_MS;
use crate::owner::Owner;
use crate::owner::leases::LeaseBasis;
use crate::owner::polls::LONG_POLL_MS;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;
use crate::record::OwnerTime;
use crate::worker_record::RestartRecord;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Time within which a worker that has started has reported itself to the platform.
const FIRST_REPORT_MS: u64 = 1_500;

/// What tells of a restart. Logs print the variants by their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RestartSource {
    /// The worker itself.
    Answer,
    /// The platform's list, which may be ahead of the answers of the worker.
    List,
}

/// A restart of a worker under its id.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Restart {
    /// The incarnation that it began.
    incarnation: Incarnation,
    /// Time by which no lease by the previous clock was under way any more.
    settled: OwnerTime,
    /// Time by which such leases have expired.
    leases_expired_ms: u64,
}

impl Restart {
    /// Returns the record for the next owner.
    pub(super) fn record(&self) -> RestartRecord {
        RestartRecord {
            started_wall_ms: self.incarnation.started_wall_ms(),
            settled: Some(self.settled),
        }
    }

    /// Returns whether it began an incarnation.
    fn began(&self, incarnation: Incarnation) -> bool {
        self.incarnation.is_same_as(incarnation)
    }
}

impl Worker {
    /// Sets the newest restart that is known, or none. Its leases last at least until those by the
    /// previous clock have expired.
    pub(super) fn set_restart(&mut self, restart: Option<Restart>) {
        self.restart = restart;
        self.apply_restart();
    }

    /// Extends its leases if some may have been given by the clock of a previous incarnation.
    pub(super) fn apply_restart(&mut self) {
        if let Some(restart) = self.restart {
            self.extend_leases(restart.leases_expired_ms, LeaseBasis::PreviousClock);
        }
    }
}

impl Owner {
    /// Records that a worker has restarted under its id.
    pub(super) fn record_restart(
        &mut self,
        key: WorkerKey,
        incarnation: Incarnation,
        source: RestartSource,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let settled_ms = match source {
            // It refuses calls of former owners now.
            RestartSource::Answer => now_ms,
            // Former owners may not know of it, and calls of this one may be under way.
            RestartSource::List => {
                (now_ms + self.transit_ms()).max(self.begun_ms + MAX_UNCONFIRMED_MS)
            }
        };
        let restart = Restart {
            incarnation,
            settled: self.owner_time(settled_ms),
            leases_expired_ms: settled_ms + self.max_lease_span_ms(),
        };
        let worker = &mut self.workers[key];
        worker.set_restart(Some(restart));
        actions.push(Action::Note(Note::new(
            Code::WorkerRestarted,
            &*worker.entry.id,
            format!(
                "incarnation={incarnation} by={source:?} {}",
                worker.describe_leases(now_ms)
            ),
        )));
        let id = worker.entry.id.clone();
        self.unrecorded_workers.insert(id);
    }

    /// Forgets the restart of a worker that has answered once leases by the previous clock have
    /// expired, also in the record: a host that has started since could not tell how old it is.
    pub(super) fn expire_restart(&mut self, key: WorkerKey, now_ms: u64) {
        let worker = &mut self.workers[key];
        let is_over = |restart: &Restart| now_ms > restart.leases_expired_ms;
        if worker.restart.is_some_and(|restart| is_over(&restart)) {
            worker.restart = None;
            let id = worker.entry.id.clone();
            self.unrecorded_workers.insert(id);
        }
    }

    /// Handles that the platform's list shows another incarnation of a worker than has answered last.
    /// Until the worker answers, the time of its clock is not known.
    pub(super) fn apply_listed_restart(
        &mut self,
        key: WorkerKey,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let worker = &mut self.workers[key];
        let listed = worker.entry.incarnation;
        worker.restart_listed_ms = Some(now_ms);
        if !worker.restart.is_some_and(|restart| restart.began(listed)) {
            self.record_restart(key, listed, RestartSource::List, now_ms, actions);
        }
    }

    /// Returns whether leases that are taken for expired may last, as the worker may have restarted
    /// before a call with the last of them reached it, and the platform's list, which would tell, was
    /// not read since.
    pub(super) fn may_have_restarted(&self, key: WorkerKey, now_ms: u64) -> bool {
        let worker = &self.workers[key];
        let extra_ms = self.max_lease_span_ms() - self.lease_span_ms();
        if !worker.is_listed || now_ms > worker.leases_expired_ms + extra_ms {
            return false;
        }
        let given_ms = worker
            .leases_expired_ms
            .saturating_sub(self.lease_span_ms());
        let told_ms = given_ms + self.transit_ms() + FIRST_REPORT_MS;
        self.list_known_ms.is_none_or(|known_ms| known_ms < told_ms)
    }

    /// Returns the time within which a call reaches its worker or is given up.
    fn transit_ms(&self) -> u64 {
        LONG_POLL_MS + self.answers.answer_timeout_ms()
    }

    /// Returns the restart of a worker that is on record.
    pub(super) fn restart_on_record(&self, id: &str) -> Option<Restart> {
        let record = self.recorded_restarts.get(id)?;
        let settled = record.settled.unwrap_or_default();
        let settled_ms = self.latest_ms(&settled);
        // If that time is unknown, the previous owner may have learned of it just before its end.
        let settled_ms = settled_ms.unwrap_or(self.begun_ms + MAX_UNCONFIRMED_MS);
        Some(Restart {
            incarnation: record.started_wall_ms.into(),
            settled,
            leases_expired_ms: settled_ms + self.max_lease_span_ms(),
        })
    }
}
