//! Latency of the store's answers.

use crate::tail::flight::Flight;

/// Number of recent answers whose minimum latency counts as typical. An answer that the host itself
/// read late, because it was paused, must not lengthen its timeouts.
const LATEST: usize = 4;
/// Upper limit of the typical latency: beyond it, the store is unavailable rather than slow.
const MAX_MS: u64 = 1_000;

/// Latency of recent answers, without the time by which the store delayed them on purpose.
#[derive(Debug, Default)]
pub(super) struct Latency {
    average_ms: u64,
    latest_ms: [u64; LATEST],
    answers: usize,
}

impl Latency {
    /// Returns the moving average over reads that are answered immediately.
    pub(super) fn average_ms(&self) -> u64 {
        self.average_ms
    }

    /// Returns the minimum latency of recent answers, up to [`MAX_MS`].
    pub(super) fn typical_ms(&self) -> u64 {
        let fastest = self.latest_ms.iter().copied().min();
        fastest.unwrap_or(0).min(MAX_MS)
    }

    /// Records the latency of an answer.
    pub(super) fn note(&mut self, flight: Flight, now_ms: u64) {
        // The store answers a long poll early when there is a record; the latency is then unknown.
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
