//! An emulated link of a host: so many bytes a second each way, first come, first served.

use goldcrestway_dispatch::OrderOutcome;
use goldcrestway_dispatch::StoredRecord;
use goldcrestway_dispatch::WorkerCall;

/// Bytes of the head of a call, and of the head of an answer.
const CALL_HEAD_BYTES: u64 = 150;
const ANSWER_HEAD_BYTES: u64 = 90;
/// Bytes of the fields of an order beside its texts.
const FIELDS_BYTES: u64 = 110;
/// Bytes of a run, or of an end, in a list.
const ROW_BYTES: u64 = 55;
const US_PER_MS: u64 = 1_000;

/// Gives the bytes of an order to a worker.
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

/// Gives the bytes of the answer to an order.
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

/// Gives the bytes of records on their way to the store.
pub(super) fn append_bytes(records: &[(Box<str>, Box<[u8]>)]) -> u64 {
    let texts: usize = records
        .iter()
        .map(|(key, value)| key.len() + value.len() + 5)
        .sum();
    CALL_HEAD_BYTES + texts as u64
}

/// Gives the bytes of records on their way from the store.
pub(super) fn read_bytes(records: &[StoredRecord]) -> u64 {
    let texts: usize = records
        .iter()
        .map(|record| record.key.len() + record.value.len() + 5)
        .sum();
    ANSWER_HEAD_BYTES + texts as u64
}

/// One link.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Link {
    bytes_per_ms: u64,
    out_free_us: u64,
    in_free_us: u64,
}

impl Link {
    /// Makes a link of so many megabits a second.
    pub(crate) fn new(mbit_per_s: u64) -> Self {
        Self {
            bytes_per_ms: mbit_per_s * 125,
            out_free_us: 0,
            in_free_us: 0,
        }
    }

    /// Sends bytes and gives how long they take, with those before them.
    pub(super) fn send(&mut self, now_ms: u64, bytes: u64) -> u64 {
        Self::carry(&mut self.out_free_us, self.bytes_per_ms, now_ms, bytes)
    }

    /// Receives bytes and gives how long they take, with those before them.
    pub(super) fn receive(&mut self, now_ms: u64, bytes: u64) -> u64 {
        Self::carry(&mut self.in_free_us, self.bytes_per_ms, now_ms, bytes)
    }

    fn carry(free_us: &mut u64, bytes_per_ms: u64, now_ms: u64, bytes: u64) -> u64 {
        let now_us = now_ms * US_PER_MS;
        *free_us = now_us.max(*free_us) + bytes * US_PER_MS / bytes_per_ms;
        (*free_us - now_us) / US_PER_MS
    }
}
