//! What answers of the store take.

use crate::tail::flight::Flight;

/// Answers of late of which the fastest tells what they take. One that a host itself was late
/// to read, after it stood still, must not make it patient.
const LATEST: usize = 4;
/// What answers take counts up to this: past it a store is away rather than slow.
const MAX_MS: u64 = 1_000;

/// What answers of late took, without the time for which the store held them back.
#[derive(Debug, Default)]
pub(super) struct Latency {
    average_ms: u64,
    latest_ms: [u64; LATEST],
    answers: usize,
}

impl Latency {
    /// Gives the moving average of reads without a wait.
    pub(super) fn average_ms(&self) -> u64 {
        self.average_ms
    }

    /// Gives what an answer takes at least, of late.
    pub(super) fn typical_ms(&self) -> u64 {
        let fastest = self.latest_ms.iter().copied().min();
        fastest.unwrap_or(0).min(MAX_MS)
    }

    /// Notes an answer.
    pub(super) fn note(&mut self, flight: Flight, now_ms: u64) {
        // A read that waits is answered early when there is a record.
        let Some(latency_ms) = now_ms.checked_sub(flight.held_until_ms()) else {
            return;
        };
        if flight.is_from_before {
            return;
        }
        if !flight.waits() {
            self.average_ms = (self.average_ms + latency_ms) / 2;
        }
        self.latest_ms[self.answers % LATEST] = latency_ms;
        self.answers += 1;
    }
}
