//! Latency of the store's answers.

use crate::tail::flight::Flight;

/// Number of recent answers whose minimum latency counts as typical. An answer that the host itself
/// read late, because it was paused, must not lengthen its timeouts.
const RECENT_ANSWERS: usize = 4;
/// Upper limit of the typical latency: beyond it, the store is unavailable rather than slow.
const MAX_TYPICAL_MS: u64 = 1_000;

/// Latency of recent answers, without the time by which the store delayed them on purpose.
#[derive(Debug, Default)]
pub(super) struct Latency {
    average_ms: u64,
    recent_ms: [u64; RECENT_ANSWERS],
    answers: usize,
}

impl Latency {
    /// Returns the moving average over reads that are answered immediately.
    pub(super) fn average_ms(&self) -> u64 {
        self.average_ms
    }

    /// Returns the minimum latency of recent answers, up to [`MAX_TYPICAL_MS`].
    pub(super) fn typical_ms(&self) -> u64 {
        let fastest = self.recent_ms.iter().copied().min();
        fastest.unwrap_or(0).min(MAX_TYPICAL_MS)
    }

    /// Records the latency of an answer.
    pub(super) fn record(&mut self, flight: Flight, now_ms: u64) {
        // The store answers a long poll early when there is a record; the latency is then unknown.
        let Some(latency_ms) = now_ms.checked_sub(flight.delayed_until_ms()) else {
            return;
        };
        if flight.precedes_suspension {
            return;
        }
        if !flight.is_long_poll() {
            self.average_ms = (self.average_ms + latency_ms) / 2;
        }
        self.recent_ms[self.answers % RECENT_ANSWERS] = latency_ms;
        self.answers += 1;
    }
}
