//! What an owner knows of the steady clock of another host.
//!
//! Each frame of the host tells its clock. The frame was on its way for some time, so by the time at
//! which it arrives the clock shows that much more. The estimate is therefore behind the clock, and
//! is best by the frame that was on its way for the shortest time. It is ahead only by what the clock
//! has lost since: suspensions too short to be noticed, half a second at most each, and drift.

/// Frames count for one to two of these spans: clocks of hosts do not run equally fast, so what an
/// old frame told is off by more and more.
const WINDOW_MS: u64 = 5_000;

/// The steady clock of another host, as its frames tell it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct PeerClock {
    /// By how much it is ahead of the own clock, at least; by frames of this window and of the one
    /// before.
    ahead_ms: Option<i64>,
    previous_ahead_ms: Option<i64>,
    window_ends_ms: u64,
}

impl PeerClock {
    /// Records that a frame has arrived which was sent at `clock_ms` on the other clock.
    pub(super) fn record(&mut self, clock_ms: u64, now_ms: u64) {
        if now_ms >= self.window_ends_ms {
            let is_recent = now_ms < self.window_ends_ms + WINDOW_MS;
            self.previous_ahead_ms = self.ahead_ms.take().filter(|_| is_recent);
            self.window_ends_ms = now_ms + WINDOW_MS;
        }
        // The other clock may be behind the own one.
        let ahead_ms = clock_ms.cast_signed().saturating_sub(now_ms.cast_signed());
        self.ahead_ms = self.ahead_ms.max(Some(ahead_ms));
    }

    /// Returns whether the other host has told its clock.
    pub(super) fn is_known(&self) -> bool {
        self.ahead_ms.is_some()
    }

    /// Returns the estimated time of the other clock; `None` if the host has not told it.
    pub(super) fn estimate_ms(&self, now_ms: u64) -> Option<u64> {
        let ahead_ms = self.ahead_ms.max(self.previous_ahead_ms)?;
        Some(now_ms.saturating_add_signed(ahead_ms))
    }
}
