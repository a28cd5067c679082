//! Retries of loads that are late or have failed.
//!
//! When all hosts start at once, they all load the same streams, which is more than the store can
//! answer in the usual time. The store still processes a load that its host has abandoned, and the
//! load that replaces it delays all others: if each host abandoned and repeated its loads, no load
//! would ever complete. A late load therefore remains under way. Since its answer may be lost,
//! another load is sent beside it, but so few and so late that the store can answer all of them.
//! Hosts whose loads were refused retry after delays that differ between hosts.

use crate::event::ReadTimeouts;
use crate::tail::flight::Flight;
use crate::tail::flight::timeouts;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Maximum number of concurrent loads of one page.
const MAX_LOADS: usize = 3;
/// Time after which a second load is sent. The third is sent after twice this time from the second.
const LATE_LOAD_MS: u64 = 1_200;
/// Time after which the owner replaces a load if all of them stay without an answer.
const REPLACE_LOAD_MS: u64 = 2_400;
/// Largest page that the store returns.
const MAX_PAGE_BYTES: u64 = 1 << 20;
/// Timeout until the first byte of a load as a multiple of that of a read: the store may have to
/// answer the loads of all hosts.
const LOAD_TIMEOUT_FACTOR: u64 = 8;
/// Maximum delay after the first failure. Half of it is fixed, the other half is random.
const MAX_FIRST_DELAY_MS: u64 = 250;
/// Consecutive failures after which the delay no longer doubles.
const MAX_DOUBLINGS: u32 = 2;

/// Returns whether another load may be sent beside those under way.
pub(super) fn may_load(loads: &[Flight], now_ms: u64) -> bool {
    let Some(newest) = loads.last() else {
        return true;
    };
    let late_ms = LATE_LOAD_MS << (loads.len() - 1);
    loads.len() < MAX_LOADS && now_ms >= newest.sent_ms + late_ms
}

/// Returns whether the owner may replace one of its loads under way. The store may drop calls that it
/// receives during an outage, and without this, the owner would wait for their timeout long after the
/// outage has ended, and start tasks of jobs whose cancellation it could have read. Only one host
/// does so, and not before its link could have carried the answers to all of them.
pub(super) fn may_replace_load(loads: &[Flight], link_bytes_per_s: u64, now_ms: u64) -> bool {
    let Some(newest) = loads.last().filter(|_| loads.len() == MAX_LOADS) else {
        return false;
    };
    let pages_bytes = MAX_PAGE_BYTES * MAX_LOADS as u64;
    let link_ms = pages_bytes * 1_000 / link_bytes_per_s.max(1);
    now_ms >= newest.sent_ms + REPLACE_LOAD_MS.max(link_ms)
}

/// Returns the timeouts of a load.
pub(super) fn load_timeouts() -> ReadTimeouts {
    let read_timeouts = timeouts(0);
    ReadTimeouts {
        first_byte_ms: read_timeouts.first_byte_ms * LOAD_TIMEOUT_FACTOR,
        ..read_timeouts
    }
}

/// Exponential backoff of the loads of a stream.
#[derive(Debug)]
pub(super) struct Backoff {
    salt: u64,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures. The salt must differ between hosts.
    pub(super) fn new(salt: u64) -> Self {
        Self { salt, failures: 0 }
    }

    /// Returns whether the latest load has failed.
    pub(super) fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Records a failure, and returns the delay before the next load.
    pub(super) fn record_failure(&mut self, ticket: u64) -> u64 {
        let max_delay_ms = MAX_FIRST_DELAY_MS << self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        let hash = xxh3_64_with_seed(&ticket.to_le_bytes(), self.salt);
        max_delay_ms / 2 + hash % (max_delay_ms / 2)
    }

    /// Records that a load has succeeded.
    pub(super) fn record_success(&mut self) {
        self.failures = 0;
    }
}
