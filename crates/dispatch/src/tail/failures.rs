//! Reads that brought nothing, and what is said of them.

use crate::event::ReadFault;
use crate::tail::flight::Flight;

/// Pause between two reports on a stream. While the store is away a host's reads of all
/// streams fail several times a second.
const REPORT_MS: u64 = 1_000;

/// A read that brought nothing.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Failure {
    pub(crate) fault: ReadFault,
    /// How long ago it was sent.
    pub(crate) sent_age_ms: u64,
    /// The store was to hold it back until a record came.
    pub(crate) waits: bool,
    /// Reads of this stream that failed since the last report, this one included.
    pub(crate) failures: u64,
}

/// Failed reads of a stream.
#[derive(Debug, Default)]
pub(super) struct Failures {
    /// When the newest of them was sent.
    sent_ms: Option<u64>,
    /// Those that no report has told of yet, and when the next report may be.
    unreported: u64,
    report_ms: u64,
}

impl Failures {
    /// Tells whether a read sent at `since_ms` or later has failed.
    pub(super) fn is_since(&self, since_ms: u64) -> bool {
        self.sent_ms.is_some_and(|sent_ms| sent_ms >= since_ms)
    }

    /// Notes a failed read, and gives what is to be said about it, if that is due.
    pub(super) fn note(
        &mut self,
        flight: Flight,
        fault: ReadFault,
        now_ms: u64,
    ) -> Option<Failure> {
        self.sent_ms = self.sent_ms.max(Some(flight.sent_ms));
        self.unreported += 1;
        if now_ms < self.report_ms {
            return None;
        }
        self.report_ms = now_ms + REPORT_MS;
        Some(Failure {
            fault,
            sent_age_ms: now_ms.saturating_sub(flight.sent_ms),
            waits: flight.waits(),
            failures: std::mem::take(&mut self.unreported),
        })
    }
}
