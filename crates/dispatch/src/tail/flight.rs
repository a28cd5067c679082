//! A read under way, and its timeouts.

use crate::event::ReadTimeouts;

/// Timeout until the first byte of the answer to a read, in addition to the wait of a long poll.
/// The store answers in 4 ms, and in 240 ms when it is sixty times slower.
const FIRST_BYTE_MS: u64 = 1_200;
/// The same timeout for a read that another one can replace: a longer wait would be wasted if its
/// connection is dead.
const BRIEF_FIRST_BYTE_MS: u64 = 600;
/// Longest pause between bytes of an answer that has begun. On a link of 10 Mbit/s that is shared
/// with a dozen other answers, bytes arrive every few milliseconds; a broken connection delivers no
/// more.
const STALL_MS: u64 = 1_200;

/// A read or load under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flight {
    pub(super) ticket: u64,
    pub(super) sent_ms: u64,
    /// Time for which the store may delay the answer until there is a record; 0 for an immediate
    /// answer.
    pub(super) wait_ms: u64,
    /// The host was suspended after it was sent, so the age of its answer is not known.
    pub(super) precedes_suspension: bool,
}

impl Flight {
    pub(super) fn new(ticket: u64, sent_ms: u64, wait_ms: u64) -> Self {
        Self {
            ticket,
            sent_ms,
            wait_ms,
            precedes_suspension: false,
        }
    }

    /// Returns whether the store delays the answer until there is a record.
    pub(super) fn is_long_poll(&self) -> bool {
        self.wait_ms > 0
    }

    /// Returns the time until which the store may delay the answer.
    pub(super) fn delayed_until_ms(&self) -> u64 {
        self.sent_ms + self.wait_ms
    }
}

/// Returns the timeouts of a read whose answer the store may delay by up to `wait_ms`.
pub(super) fn timeouts(wait_ms: u64) -> ReadTimeouts {
    ReadTimeouts {
        first_byte_ms: wait_ms + FIRST_BYTE_MS,
        stall_ms: STALL_MS,
    }
}

/// Returns the timeouts of a read that another one can replace. A slow store gets `slow_ms` more.
pub(super) fn brief_timeouts(slow_ms: u64) -> ReadTimeouts {
    ReadTimeouts {
        first_byte_ms: BRIEF_FIRST_BYTE_MS + slow_ms,
        stall_ms: STALL_MS,
    }
}
