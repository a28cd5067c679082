//! How long leases last, and what is known of their end at a worker.

use crate::owner::CLOCK_SKEW_PERMILLE;
use crate::owner::LEASE_MS;
use crate::owner::LEASE_SLACK_MS;
use crate::owner::MAX_UNCONFIRMED_MS;
use crate::owner::Owner;
use crate::owner::worker::Worker;

/// What the end of the leases of a worker rests on. Logs print the variants by their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaseBasis {
    /// The longest time for which a previous owner may have extended them.
    Assumed,
    /// The record of a previous owner.
    Recorded,
    /// The leases that this owner has given, or that were given before the worker answered it.
    Given,
    /// The longest lease that a worker grants, as the clock of a previous incarnation may have been
    /// used.
    PreviousClock,
}

impl Worker {
    /// Extends the time for which its leases may last.
    pub(crate) fn extend_leases(&mut self, expired_ms: u64, basis: LeaseBasis) {
        if expired_ms > self.leases_expired_ms {
            self.leases_expired_ms = expired_ms;
            self.lease_basis = basis;
        }
    }

    /// Returns what is known of the end of its leases for logs.
    pub(crate) fn describe_leases(&self, now_ms: u64) -> String {
        format!(
            "leases_left_ms={} leases_by={:?}",
            self.leases_expired_ms.saturating_sub(now_ms),
            self.lease_basis
        )
    }
}

impl Owner {
    /// Returns the time after which a worker that this owner has never reached runs nothing of a
    /// previous owner any more, as that owner stops within `MAX_UNCONFIRMED_MS` after its last
    /// confirmation.
    pub(super) fn previous_owner_expiry_ms(&self, now_ms: u64) -> u64 {
        now_ms + MAX_UNCONFIRMED_MS + self.lease_span_ms()
    }

    /// Returns the length of the lease that polls and orders to start carry.
    pub(crate) fn lease_ms(&self) -> u64 {
        self.bounds.max_lease_ms.min(LEASE_MS)
    }

    /// Returns the maximum time from sending an order with a lease until that lease has expired.
    pub(crate) fn lease_span_ms(&self) -> u64 {
        self.lease_ms() * CLOCK_SKEW_PERMILLE / 1_000 + LEASE_SLACK_MS
    }

    /// Returns the maximum time for which a worker grants a lease, whatever is requested.
    pub(crate) fn max_lease_span_ms(&self) -> u64 {
        self.bounds.max_lease_ms * CLOCK_SKEW_PERMILLE / 1_000 + LEASE_SLACK_MS
    }
}
