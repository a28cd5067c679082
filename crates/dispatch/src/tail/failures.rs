//! Failed reads, and how often they are reported.

use crate::event::ReadFault;
use crate::tail::flight::Flight;

/// Minimum interval between reports on a stream. While the store is unavailable, a host's reads of
/// all streams fail several times a second.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// Report of a failed read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Failure {
    pub(crate) fault: ReadFault,
    /// Time since it was sent.
    pub(crate) sent_age_ms: u64,
    /// It was a long poll: the store delays the answer until there is a record.
    pub(crate) is_long_poll: bool,
    /// Number of failed reads of this stream since the last report, including this one.
    pub(crate) failures: u64,
}

/// Failed reads of a stream.
#[derive(Debug, Default)]
pub(super) struct Failures {
    /// When the newest of the failed reads was sent.
    newest_sent_ms: Option<u64>,
    /// Number of failures since the last report.
    unreported: u64,
    /// Earliest time of the next report.
    next_report_ms: u64,
}

impl Failures {
    /// Returns whether a read sent at `since_ms` or later has failed.
    pub(super) fn any_since(&self, since_ms: u64) -> bool {
        self.newest_sent_ms
            .is_some_and(|sent_ms| sent_ms >= since_ms)
    }

    /// Records a failed read, and returns the report if one is due.
    pub(super) fn record(
        &mut self,
        flight: Flight,
        fault: ReadFault,
        now_ms: u64,
    ) -> Option<Failure> {
        self.newest_sent_ms = self.newest_sent_ms.max(Some(flight.sent_ms));
        self.unreported += 1;
        if now_ms < self.next_report_ms {
            return None;
        }
        self.next_report_ms = now_ms + REPORT_INTERVAL_MS;
        Some(Failure {
            fault,
            sent_age_ms: now_ms.saturating_sub(flight.sent_ms),
            is_long_poll: flight.is_long_poll(),
            failures: std::mem::take(&mut self.unreported),
        })
    }
}
