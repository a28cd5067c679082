//! Tracks whether the store answers this host, and since when.
//!
//! The store may drop calls that were sent during an outage. Calls from before its return are
//! therefore not awaited.

use crate::entry::Entry;

/// Time without any answer of the store after which the next answer counts as the store's return.
/// An idle host is without an answer for a second anyway, and each return costs another read of
/// each stream on which the host has a long poll.
const MAX_SILENCE_MS: u64 = 1_300;

/// When the store answered, no matter which call.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StoreContact {
    /// Time of the latest answer.
    pub(super) answered_ms: u64,
    /// Time of the first answer after a silence. A call from before may have been dropped and may
    /// never get an answer.
    pub(super) reachable_since_ms: u64,
    /// Time since which a call is late or has failed, without any answer since then.
    doubt_ms: Option<u64>,
}

impl StoreContact {
    /// Returns whether a call is late or has failed since the latest answer.
    pub(super) fn is_in_doubt(&self) -> bool {
        self.doubt_ms.is_some()
    }

    /// Returns whether this has been so for at least `ms`.
    pub(super) fn has_been_in_doubt_for(&self, ms: u64, now_ms: u64) -> bool {
        self.doubt_ms
            .is_some_and(|doubt_ms| now_ms >= doubt_ms + ms)
    }

    /// Records a call that is late or has failed.
    pub(super) fn suspect(&mut self, now_ms: u64) {
        self.doubt_ms.get_or_insert(now_ms);
    }

    /// Records an answer. `expected_silence_ms` is the time for which even a healthy store sends
    /// this host no answer.
    pub(super) fn record_answer(&mut self, expected_silence_ms: u64, now_ms: u64) {
        if now_ms > self.answered_ms + MAX_SILENCE_MS + expected_silence_ms {
            self.reachable_since_ms = now_ms;
        }
        self.answered_ms = self.answered_ms.max(now_ms);
        self.doubt_ms.take_if(|doubt_ms| now_ms > *doubt_ms);
    }
}

impl Entry {
    /// Records the newest answer to a read, and passes on to all streams since when the store is
    /// reachable.
    pub(super) fn record_contact(&mut self) {
        let tails = [&self.rules, &self.states, &self.workers];
        let answered = tails.iter().filter_map(|tail| tail.answered_ms).max();
        if let Some(answered_ms) = answered.max(self.jobs.answered_ms()) {
            self.contact
                .record_answer(self.expected_silence_ms(), answered_ms);
        }
        let since_ms = self.contact.reachable_since_ms;
        for tail in [&mut self.rules, &mut self.states, &mut self.workers] {
            tail.record_contact(since_ms);
        }
        self.jobs.record_contact(since_ms);
    }
}
