//! Since when the store answers this host, and what that says of calls from before.

use crate::entry::Entry;

/// Time without any answer of the store after which the next one counts as its return. An idle
/// host is without one for a second anyway; each return costs it another read of each stream
/// that it listens to.
const MAX_SILENCE_MS: u64 = 1_300;

/// When the store answered, whatever the call was.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StoreContact {
    /// When it answered last.
    pub(super) answered_ms: u64,
    /// When it answered first after a silence. A call from before may have been dropped, and
    /// whoever awaits it may wait in vain.
    pub(super) reachable_since_ms: u64,
    /// Since when a call is late or has failed, and no answer has come since.
    doubt_ms: Option<u64>,
}

impl StoreContact {
    /// Tells whether a call is late or has failed since the last answer.
    pub(super) fn is_in_doubt(&self) -> bool {
        self.doubt_ms.is_some()
    }

    /// Tells whether that has lasted for so long.
    pub(super) fn has_been_in_doubt_for(&self, ms: u64, now_ms: u64) -> bool {
        self.doubt_ms
            .is_some_and(|doubt_ms| now_ms >= doubt_ms + ms)
    }

    /// Notes a call that is late or has failed.
    pub(super) fn suspect(&mut self, now_ms: u64) {
        self.doubt_ms.get_or_insert(now_ms);
    }

    /// Notes an answer of a store that may be asked for nothing for so long.
    pub(super) fn record_answer(&mut self, expected_silence_ms: u64, now_ms: u64) {
        if now_ms > self.answered_ms + MAX_SILENCE_MS + expected_silence_ms {
            self.reachable_since_ms = now_ms;
        }
        self.answered_ms = self.answered_ms.max(now_ms);
        self.doubt_ms.take_if(|doubt_ms| now_ms > *doubt_ms);
    }
}

impl Entry {
    /// Notes the newest answer to a read, and has all streams know since when the store
    /// answers.
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
