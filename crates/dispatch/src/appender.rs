//! Fenced appends to a stream, one at a time.

use crate::event::Action;
use crate::event::AppendOutcome;
use crate::event::Fence;
use crate::event::Stream;
use crate::owner::records_bytes;

/// Interval between heartbeats while there is nothing else to append. Other hosts claim ownership
/// after three missed heartbeats.
pub(crate) const HEARTBEAT_MS: u64 = 250;
/// Time after which an append without an answer is retried. The store answers in 4 ms,
/// and in 240 ms when it is sixty times slower.
const APPEND_TIMEOUT_MS: u64 = 700;
/// Delay before a refused append is retried.
const RETRY_MS: u64 = 60;

/// Keys and values of the records of an append.
pub(crate) type Records = Vec<(Box<str>, Box<[u8]>)>;

/// Appends to one stream, one at a time, so that records are stored in the order in which they are
/// passed in. A retry has the sequence number of the first attempt, so the store ignores
/// duplicates.
#[derive(Debug)]
pub(crate) struct Appender {
    stream: Stream,
    sequence: u64,
    /// Records of the append under way; `None` once they are stored.
    records: Option<Records>,
    ticket: Option<u64>,
    retry_ms: u64,
    pub(crate) sent_ms: u64,
    pub(crate) last_begin_ms: u64,
    /// Size of the latest records.
    pub(crate) last_bytes: u64,
    /// Offset after the newest records that are known to be stored.
    pub(crate) stored_end: u64,
}

impl Appender {
    pub(crate) fn new(stream: Stream, sequence: u64, now_ms: u64) -> Self {
        Self {
            stream,
            sequence,
            records: None,
            ticket: None,
            retry_ms: 0,
            sent_ms: now_ms,
            last_begin_ms: now_ms,
            last_bytes: 0,
            stored_end: 0,
        }
    }

    pub(crate) fn may_begin(&self, now_ms: u64, interval_ms: u64) -> bool {
        self.records.is_none() && now_ms >= self.last_begin_ms + interval_ms
    }

    /// Returns whether no append is under way.
    pub(crate) fn is_idle(&self) -> bool {
        self.records.is_none()
    }

    pub(crate) fn begin(&mut self, records: Records, now_ms: u64) {
        let rows = records.iter().map(|(key, value)| (&**key, &**value));
        self.last_bytes = records_bytes(rows);
        self.records = Some(records);
        self.retry_ms = 0;
        self.last_begin_ms = now_ms;
    }

    pub(crate) fn send(
        &mut self,
        epoch: u64,
        extra_timeout_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(records) = &self.records else {
            return;
        };
        if self.ticket.is_some() || now_ms < self.retry_ms {
            return;
        }
        *tickets += 1;
        self.ticket = Some(*tickets);
        self.sent_ms = now_ms;
        actions.push(Action::Append {
            ticket: *tickets,
            stream: self.stream,
            fence: Some(Fence {
                epoch,
                sequence: self.sequence,
            }),
            records: records.clone(),
            timeout_ms: APPEND_TIMEOUT_MS + extra_timeout_ms,
        });
    }

    /// Handles the outcome of an append. Returns whether its records are stored, or `None` if this
    /// appender did not send it.
    pub(crate) fn handle_outcome(
        &mut self,
        ticket: u64,
        outcome: AppendOutcome,
        now_ms: u64,
    ) -> Option<bool> {
        self.ticket.take_if(|own| *own == ticket)?;
        let AppendOutcome::Stored { offset } = outcome else {
            self.retry_ms = now_ms + RETRY_MS;
            return Some(false);
        };
        let count = self.records.take().map_or(0, |records| records.len());
        self.stored_end = offset + count as u64;
        self.sequence += 1;
        Some(true)
    }
}
