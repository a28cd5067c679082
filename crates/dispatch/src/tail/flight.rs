//! A read under way, and for how long its answer is awaited.

use crate::event::ReadTimeouts;

/// Time in which the answer to a read without a wait must begin. The store answers in
/// 4 ms, and in 240 ms when it is sixty times slower.
const FIRST_BYTE_MS: u64 = 1_200;
/// The same where another read can take its place: one on a connection that is dead is worth
/// no longer wait.
const BRIEF_FIRST_BYTE_MS: u64 = 600;
/// Longest pause between bytes of an answer that has begun. On a link of 10 Mbit/s that is
/// shared with a dozen other answers bytes come every few milliseconds; a connection that
/// was cut gives no more.
const STALL_MS: u64 = 1_200;

/// A read or load under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flight {
    pub(super) ticket: u64,
    pub(super) sent_ms: u64,
    /// Time that the store may hold it back.
    pub(super) wait_ms: u64,
    /// The host was suspended since.
    pub(super) is_from_before: bool,
}

impl Flight {
    pub(super) fn new(ticket: u64, sent_ms: u64, wait_ms: u64) -> Self {
        Self {
            ticket,
            sent_ms,
            wait_ms,
            is_from_before: false,
        }
    }

    /// Tells whether the store holds it back until there is a record.
    pub(super) fn waits(&self) -> bool {
        self.wait_ms > 0
    }

    /// Gives when the store answers it at the latest.
    pub(super) fn held_until_ms(&self) -> u64 {
        self.sent_ms + self.wait_ms
    }
}

/// Gives how long an answer is awaited that the store holds back for up to `wait_ms`.
pub(super) fn timeouts(wait_ms: u64) -> ReadTimeouts {
    ReadTimeouts {
        first_byte_ms: wait_ms + FIRST_BYTE_MS,
        stall_ms: STALL_MS,
    }
}

/// Gives how long an answer is awaited where another read can take its place, from a store
/// that takes `slow_ms` on top.
pub(super) fn brief_timeouts(slow_ms: u64) -> ReadTimeouts {
    ReadTimeouts {
        first_byte_ms: BRIEF_FIRST_BYTE_MS + slow_ms,
        stall_ms: STALL_MS,
    }
}
