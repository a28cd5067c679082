//! What the owner's calls take of its link.

use crate::event::Action;
use crate::event::WorkerCall;
use crate::owner::Owner;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;
use crate::policy::link::PACKET_BYTES;

/// Bytes of the head and the fields of a call to a worker, as counted on the wire: looks are
/// 215, and orders to start 260 without their texts.
const POLL_BYTES: u64 = 215;
const ORDER_BYTES: u64 = 260;
/// Bytes of an answer without a list, and of a run or an end in a list.
const ANSWER_BYTES: u64 = 91;
const ROW_BYTES: u64 = 55;
/// Bytes of a call to the store without its records, and of the length and the name of one.
const STORE_BYTES: u64 = 200;
const RECORD_BYTES: u64 = 10;
/// Bytes of a look that is relayed, of an order to start beside the text, and of the end of an
/// order and a row in it, with a part of the frame's own.
const RELAYED_POLL_BYTES: u64 = 50;
const RELAYED_START_BYTES: u64 = 80;
const RELAYED_ANSWER_BYTES: u64 = 35;
const RELAYED_ROW_BYTES: u64 = 42;
/// Part of the orders to start of a job, one in so many, that take the text of the job with them.
const TEXT_SHARE: usize = 4;
/// Bytes of an answer to a caller.
const CALLER_BYTES: u64 = 150;

/// Gives the bytes of records in a call to the store, or in its answer.
pub(crate) fn records_bytes<'a>(records: impl Iterator<Item = (&'a str, &'a [u8])>) -> u64 {
    let mut bytes = 0;
    for (key, value) in records {
        bytes += (key.len() + value.len()) as u64 + RECORD_BYTES;
    }
    bytes
}

/// Gives the bytes of a look at a worker, and of its answer.
fn poll_bytes(worker: &Worker) -> (u64, u64) {
    (
        POLL_BYTES,
        ANSWER_BYTES + ROW_BYTES * worker.runs.len() as u64,
    )
}

impl Owner {
    /// Notes what a call to a worker takes. Orders to start were counted when their tasks were
    /// placed.
    pub(super) fn charge_order(&mut self, key: WorkerKey, call: &WorkerCall) {
        let (out_bytes, in_bytes) = match call {
            WorkerCall::Start { .. } => return,
            WorkerCall::Poll { .. } => poll_bytes(&self.workers[key]),
            WorkerCall::Stop { .. } | WorkerCall::SetShare { .. } => (POLL_BYTES, ANSWER_BYTES),
        };
        self.link.charge(out_bytes, in_bytes);
    }

    /// Notes what the order to start a task takes, whose texts have so many bytes.
    pub(super) fn charge_start(&mut self, text_bytes: usize) {
        if self.has_relays() {
            let out_bytes = RELAYED_START_BYTES + (text_bytes / TEXT_SHARE) as u64;
            self.link.charge_shared(out_bytes, RELAYED_ANSWER_BYTES);
            return;
        }
        let out_bytes = ORDER_BYTES + text_bytes as u64;
        self.link.charge(out_bytes, ANSWER_BYTES);
    }

    /// Notes what a relayed order of so many bytes takes. Orders to start were counted when
    /// their tasks were placed.
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

    /// Notes what calls to the store and answers to callers take.
    pub(crate) fn charge_actions(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Append { records, .. } => {
                    let rows = records.iter().map(|(key, value)| (&**key, &**value));
                    let out_bytes = STORE_BYTES + records_bytes(rows);
                    self.link.charge(out_bytes, ANSWER_BYTES);
                }
                Action::Read { .. } | Action::Load { .. } => self.link.charge(STORE_BYTES, 0),
                Action::Answer { .. } => self.link.charge(CALLER_BYTES, 0),
                _ => {}
            }
        }
    }

    /// Notes what an answer of the store took.
    pub(crate) fn charge_read(&mut self, bytes: u64) {
        self.link.charge(0, ANSWER_BYTES + bytes);
    }

    /// Gives the pause between looks at each of so many workers that the link bears.
    pub(super) fn link_gap_ms(&self, workers: usize) -> u64 {
        let count = workers as u64;
        match self.has_relays() {
            true => self.link.polls_gap_ms(count, RELAYED_POLL_BYTES),
            false => self.link.polls_gap_ms(count, POLL_BYTES + PACKET_BYTES),
        }
    }

    /// Gives how long the answer of a worker is awaited. Right after a miss a second one is
    /// given twice the time: should the link have become slow, what answers take shows only by
    /// one that is still awaited when it comes.
    pub(super) fn answer_timeout_ms(&self, key: WorkerKey) -> u64 {
        let answer_timeout_ms = self.answers.answer_timeout_ms();
        match self.workers[key].missed_answers {
            1 => 2 * answer_timeout_ms,
            _ => answer_timeout_ms,
        }
    }
}
