//! Loads that are late or fail, and when to load again.
//!
//! Load: all hosts start at once and load the same, more than the store gives out in the time in
//! which an answer usually comes. A load that is given up is no less work for the store, and the
//! one that takes its place makes all others later: where each host gives up and begins anew, no
//! load ever ends. So a load that is late stays under way; another goes out beside it, as the
//! first may be lost, but so few that the store has an end of them. Hosts that are refused come
//! back at times of their own.

use crate::event::ReadTimeouts;
use crate::tail::flight::Flight;
use crate::tail::flight::timeouts;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Loads of one page under way at once.
const MAX_LOADS: usize = 3;
/// Time after which a second load goes out, and half of the time from there to the third.
const LATE_MS: u64 = 1_200;
/// How many times longer than for a read the answer to a load is awaited: the store may have the
/// loads of all hosts to answer.
const LOAD_TIMEOUT_FACTOR: u64 = 8;
/// Pause after the first failure; half of it is the same on all hosts.
const PAUSE_MS: u64 = 250;
/// Failures in a row after which the pause no longer doubles.
const MAX_DOUBLINGS: u32 = 2;

/// Tells whether a load may go out beside those under way.
pub(super) fn may_load(loads: &[Flight], now_ms: u64) -> bool {
    let Some(newest) = loads.last() else {
        return true;
    };
    let late_ms = LATE_MS << (loads.len() - 1);
    loads.len() < MAX_LOADS && now_ms >= newest.sent_ms + late_ms
}

/// Gives how long the answer to a load is awaited.
pub(super) fn load_timeouts() -> ReadTimeouts {
    let once = timeouts(0);
    ReadTimeouts {
        first_byte_ms: once.first_byte_ms * LOAD_TIMEOUT_FACTOR,
        ..once
    }
}

/// How often loads of a stream have failed in a row.
#[derive(Debug)]
pub(super) struct Backoff {
    salt: u64,
    failures: u32,
}

impl Backoff {
    /// Hosts must differ in their salt.
    pub(super) fn new(salt: u64) -> Self {
        Self { salt, failures: 0 }
    }

    /// Tells whether the latest load has failed.
    pub(super) fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Notes a failure, and gives the pause before the next load.
    pub(super) fn fail(&mut self, ticket: u64) -> u64 {
        let max_ms = PAUSE_MS << self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        let drawn = xxh3_64_with_seed(&ticket.to_le_bytes(), self.salt);
        max_ms / 2 + drawn % (max_ms / 2)
    }

    /// Notes that a load has come through.
    pub(super) fn end(&mut self) {
        self.failures = 0;
    }
}
