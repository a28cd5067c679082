//! Accounting for the traffic of the owner on its host's network link.

use crate::event::Action;
use crate::event::WorkerCall;
use crate::owner::Owner;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;
use crate::policy::link::PACKET_BYTES;

/// Bytes of the headers and the fields of a call to a worker, as on the wire: 215 for
/// polls, and 260 for orders to start without their texts.
const POLL_BYTES: u64 = 215;
const START_BYTES: u64 = 260;
/// Bytes of an answer without a report, and of a run or an exit in a report.
const ANSWER_BYTES: u64 = 91;
const ROW_BYTES: u64 = 55;
/// Bytes of a call to the store without its records, and of the length and the name of a record.
const STORE_CALL_BYTES: u64 = 200;
const RECORD_BYTES: u64 = 10;
/// Bytes of a relayed poll, of a relayed order to start without its text, and of the outcome of an
/// order and a row in it, each with a part of the frame's own bytes.
const RELAYED_POLL_BYTES: u64 = 50;
const RELAYED_START_BYTES: u64 = 80;
const RELAYED_ANSWER_BYTES: u64 = 35;
const RELAYED_ROW_BYTES: u64 = 42;
/// Number of orders to start of a job for which its text is sent once.
const STARTS_PER_TEXT: usize = 4;
/// Bytes of an answer to a caller.
const CALLER_ANSWER_BYTES: u64 = 150;

/// Returns the bytes of records in a call to the store, or in its answer.
pub(crate) fn records_bytes<'a>(records: impl Iterator<Item = (&'a str, &'a [u8])>) -> u64 {
    let mut bytes = 0;
    for (key, value) in records {
        bytes += (key.len() + value.len()) as u64 + RECORD_BYTES;
    }
    bytes
}

/// Returns the bytes of a poll of a worker, and of its answer.
fn poll_bytes(worker: &Worker) -> (u64, u64) {
    (
        POLL_BYTES,
        ANSWER_BYTES + ROW_BYTES * worker.runs.len() as u64,
    )
}

impl Owner {
    /// Charges a call to a worker to the link. Orders to start were charged when their tasks were
    /// placed.
    pub(super) fn charge_order(&mut self, key: WorkerKey, call: &WorkerCall) {
        let (out_bytes, in_bytes) = match call {
            WorkerCall::Start { .. } => return,
            WorkerCall::Poll { .. } => poll_bytes(&self.workers[key]),
            WorkerCall::Stop { .. } | WorkerCall::SetShare { .. } => (POLL_BYTES, ANSWER_BYTES),
        };
        self.link.charge(out_bytes, in_bytes);
    }

    /// Charges the order to start a task, whose texts have `text_bytes` bytes, to the link.
    pub(super) fn charge_start(&mut self, text_bytes: usize) {
        if self.has_relays() {
            let out_bytes = RELAYED_START_BYTES + (text_bytes / STARTS_PER_TEXT) as u64;
            self.link.charge_shared(out_bytes, RELAYED_ANSWER_BYTES);
            return;
        }
        let out_bytes = START_BYTES + text_bytes as u64;
        self.link.charge(out_bytes, ANSWER_BYTES);
    }

    /// Charges a relayed order of `bytes` bytes and its answer to the link. Orders to start were
    /// charged when their tasks were placed.
    pub(super) fn charge_relayed(&mut self, key: WorkerKey, call: &WorkerCall, bytes: u64) {
        let rows = match call {
            WorkerCall::Start { .. } => return,
            WorkerCall::Poll { .. } => self.workers[key].runs.len() as u64,
            WorkerCall::Stop { .. } | WorkerCall::SetShare { .. } => 0,
        };
        let in_bytes = RELAYED_ANSWER_BYTES + RELAYED_ROW_BYTES * rows;
        self.link.charge_shared(bytes, in_bytes);
    }

    fn has_relays(&self) -> bool {
        self.uses_relays && self.relays.usable_count() > 0
    }

    /// Charges calls to the store and answers to callers to the link.
    pub(crate) fn charge_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Append { records, .. } => {
                    let rows = records.iter().map(|(key, value)| (&**key, &**value));
                    let out_bytes = STORE_CALL_BYTES + records_bytes(rows);
                    self.link.charge(out_bytes, ANSWER_BYTES);
                }
                Action::Read { .. } | Action::Load { .. } => self.link.charge(STORE_CALL_BYTES, 0),
                Action::Answer { .. } => self.link.charge(CALLER_ANSWER_BYTES, 0),
                _ => {}
            }
        }
    }

    /// Charges an answer of the store to the link.
    pub(crate) fn charge_read(&mut self, bytes: u64) {
        self.link.charge(0, ANSWER_BYTES + bytes);
    }

    /// Returns the interval in milliseconds between polls of the same worker that the link can
    /// carry for `workers` workers.
    pub(super) fn link_gap_ms(&self, workers: usize) -> u64 {
        let count = workers as u64;
        match self.has_relays() {
            true => self.link.polls_gap_ms(count, RELAYED_POLL_BYTES),
            false => self.link.polls_gap_ms(count, POLL_BYTES + PACKET_BYTES),
        }
    }

    /// Returns the timeout in milliseconds of a worker's answer. After one missed answer it is
    /// doubled once: if the link has become slow, the new latency of answers can only be measured
    /// from one that is still awaited when it arrives.
    pub(super) fn answer_timeout_ms(&self, key: WorkerKey) -> u64 {
        let answer_timeout_ms = self.answers.answer_timeout_ms();
        match self.workers[key].missed_answers {
            1 => 2 * answer_timeout_ms,
            _ => answer_timeout_ms,
        }
    }
}
