//! An emulated network link of a host with a fixed rate in each direction and a queue in order of
//! arrival.

use goldcrestway_dispatch::OrderOutcome;
use goldcrestway_dispatch::StoredRecord;
use goldcrestway_dispatch::WorkerCall;

/// Bytes of the header of a call, and of the header of an answer.
const CALL_HEAD_BYTES: u64 = 150;
const ANSWER_HEAD_BYTES: u64 = 90;
/// Bytes of the fields of an order without its texts.
const FIELDS_BYTES: u64 = 110;
/// Bytes of a run, or of the exit of a run, in a report.
const ROW_BYTES: u64 = 55;
const US_PER_MS: u64 = 1_000;

/// Returns the length of an order to a worker.
pub(super) fn order_bytes(call: &WorkerCall) -> u64 {
    let texts = match call {
        WorkerCall::Start {
            specification,
            checkpoint,
            ..
        } => specification.len() + checkpoint.len(),
        _ => 0,
    };
    CALL_HEAD_BYTES + FIELDS_BYTES + texts as u64
}

/// Returns the length of the answer to an order.
pub(super) fn answer_bytes(outcome: &OrderOutcome) -> u64 {
    let rows = match outcome {
        OrderOutcome::Done {
            report: Some(report),
            ..
        } => report.runs.len() + report.exits.len(),
        _ => 0,
    };
    ANSWER_HEAD_BYTES + ROW_BYTES * rows as u64
}

/// Returns the length of records that are sent to the store.
pub(super) fn append_bytes(records: &[(Box<str>, Box<[u8]>)]) -> u64 {
    let texts: usize = records
        .iter()
        .map(|(key, value)| key.len() + value.len() + 5)
        .sum();
    CALL_HEAD_BYTES + texts as u64
}

/// Returns the length of records that the store sends.
pub(super) fn read_bytes(records: &[StoredRecord]) -> u64 {
    let texts: usize = records
        .iter()
        .map(|record| record.key.len() + record.value.len() + 5)
        .sum();
    ANSWER_HEAD_BYTES + texts as u64
}

/// A link, and when each direction becomes idle.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Link {
    bytes_per_ms: u64,
    out_free_us: u64,
    in_free_us: u64,
}

impl Link {
    /// Creates a link with the given rate in each direction.
    pub(crate) fn new(mbit_per_s: u64) -> Self {
        Self {
            bytes_per_ms: mbit_per_s * 125,
            out_free_us: 0,
            in_free_us: 0,
        }
    }

    /// Sends bytes, and returns the time in milliseconds until they have left, after the bytes
    /// queued before them.
    pub(super) fn send(&mut self, now_ms: u64, bytes: u64) -> u64 {
        Self::carry(&mut self.out_free_us, self.bytes_per_ms, now_ms, bytes)
    }

    /// Receives bytes, and returns the time in milliseconds until they have arrived, after the
    /// bytes queued before them.
    pub(super) fn receive(&mut self, now_ms: u64, bytes: u64) -> u64 {
        Self::carry(&mut self.in_free_us, self.bytes_per_ms, now_ms, bytes)
    }

    fn carry(free_us: &mut u64, bytes_per_ms: u64, now_ms: u64, bytes: u64) -> u64 {
        let now_us = now_ms * US_PER_MS;
        *free_us = now_us.max(*free_us) + bytes * US_PER_MS / bytes_per_ms;
        (*free_us - now_us) / US_PER_MS
    }
}
