//! Age of a host's view of a stream.

use crate::tail::flight::Flight;

/// Time up to which a host has read a stream completely.
#[derive(Debug, Default)]
pub(super) struct Age {
    /// All records that were stored by this time have been read; `None` if no read has reached the
    /// end of the stream.
    known_ms: Option<u64>,
    /// Highest ticket of a read that has reached the end. Tickets increase with each action of the
    /// host, so they order reads and other actions within a millisecond, too.
    ticket: u64,
}

impl Age {
    pub(super) fn known_ms(&self) -> Option<u64> {
        self.known_ms
    }

    pub(super) fn at(&self, now_ms: u64) -> Option<u64> {
        self.known_ms
            .map(|known_ms| now_ms.saturating_sub(known_ms))
    }

    /// Returns whether a read sent after the given ticket has reached the end of the stream.
    pub(super) fn is_after(&self, ticket: u64) -> bool {
        self.ticket > ticket
    }

    /// Records that a read has reached the end of the stream. The store has answered after the read
    /// was sent, and if a long poll timed out without a record, after the wait.
    pub(super) fn record_end(&mut self, flight: Flight, is_empty: bool, now_ms: u64) {
        self.ticket = self.ticket.max(flight.ticket);
        if flight.precedes_suspension {
            return;
        }
        let delayed_until_ms = flight.delayed_until_ms();
        let known_ms = match is_empty && now_ms >= delayed_until_ms {
            true => delayed_until_ms,
            false => flight.sent_ms,
        };
        self.known_ms = self.known_ms.max(Some(known_ms));
    }

    /// Adds time to the age that the steady clock has not counted, as while the host was suspended.
    pub(super) fn increase(&mut self, ms: u64) {
        self.known_ms = self.known_ms.and_then(|known_ms| known_ms.checked_sub(ms));
    }
}
