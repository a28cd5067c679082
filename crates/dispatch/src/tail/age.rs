//! How old what is known of a stream is.

use crate::tail::flight::Flight;

/// Up to when it is certain what stood in a stream.
#[derive(Debug, Default)]
pub(super) struct Age {
    /// When nothing stood there that has not been read.
    known_ms: Option<u64>,
    /// Ticket of the read that told so. Tickets rise with each action of the host, so they
    /// tell what came after what within a millisecond, too.
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

    /// Tells whether a read sent after the given ticket has reached the end.
    pub(super) fn is_after(&self, ticket: u64) -> bool {
        self.ticket > ticket
    }

    /// Notes that a read has reached the end of the stream. The store answered it after it was
    /// sent; if it found nothing until the wait was over, after the wait.
    pub(super) fn record_end(&mut self, flight: Flight, is_empty: bool, now_ms: u64) {
        self.ticket = self.ticket.max(flight.ticket);
        if flight.is_from_before {
            return;
        }
        let held_until_ms = flight.held_until_ms();
        let known_ms = match is_empty && now_ms >= held_until_ms {
            true => held_until_ms,
            false => flight.sent_ms,
        };
        self.known_ms = self.known_ms.max(Some(known_ms));
    }

    /// Makes what is known older by a time that the steady clock does not show.
    pub(super) fn grow_by(&mut self, ms: u64) {
        self.known_ms = self.known_ms.and_then(|known_ms| known_ms.checked_sub(ms));
    }
}
