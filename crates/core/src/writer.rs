//! Group commit to one stream of the log, with one append in flight at a time.
//!
//! If the acknowledgement of an append is lost and the writer simply appends again,
//! the records are in the log twice. The writer therefore reads on from its last
//! position and appends again, under the same sequence, only if the batch is not
//! there. [`crate::record::BatchFilter`] drops the second copy should the first one
//! appear later even so.

use crate::ids::Term;
use crate::limits::Limits;
use crate::record::Batch;
use crate::record::Record;

/// Next step of a writer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Append this batch.
    Append(Batch),
    /// Read on to find out whether the last batch took effect.
    ReadOn,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Idle,
    Appending { sent_ms: u64 },
    Unresolved { retry_ms: u64 },
}

/// Rate limit for the appends of one entry host, which keeps all hosts together
/// within what the log accepts: several hundred a second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Appends {
    thousandths: u64,
    counted_ms: u64,
}

impl Appends {
    /// Spends one append; returns whether the rate limit allows it.
    fn take(&mut self, now_ms: u64, limits: &Limits) -> bool {
        const WHOLE: u64 = 1_000;
        let passed_ms = now_ms.saturating_sub(self.counted_ms);
        self.counted_ms = self.counted_ms.max(now_ms);
        let cap = WHOLE * limits.appends_per_s / 2 + WHOLE;
        let earned = passed_ms.saturating_mul(limits.appends_per_s);
        self.thousandths = self.thousandths.saturating_add(earned).min(cap);
        if self.thousandths < WHOLE {
            return false;
        }
        self.thousandths -= WHOLE;
        true
    }
}

/// Writer of one stream in one term.
#[derive(Debug, Clone)]
pub struct Writer {
    term: Term,
    sequence: u64,
    phase: Phase,
    pending: Vec<Record>,
    /// Time at which the pending records are to be sent; `u64::MAX` if there are
    /// none.
    due_ms: u64,
    under_way: Vec<Record>,
    snapshot: Option<Vec<Record>>,
    is_snapshot: bool,
    failures: u32,
}

impl Writer {
    /// Creates a writer whose last batch, if any, had number `sequence`.
    pub fn new(term: Term, sequence: u64) -> Self {
        Self {
            term,
            sequence,
            phase: Phase::Idle,
            pending: Vec::new(),
            due_ms: u64::MAX,
            under_way: Vec::new(),
            snapshot: None,
            is_snapshot: false,
            failures: 0,
        }
    }

    /// Returns the number of the batch that was sent last.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the term of this writer.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Queues a record.
    pub fn push(&mut self, now_ms: u64, record: Record) {
        self.due_ms = self.due_ms.min(now_ms);
        self.pending.push(record);
    }

    /// Queues a record that nobody waits for. It is sent with the next batch, or by
    /// itself after [`Limits::lazy_ms`].
    pub fn push_lazily(&mut self, now_ms: u64, record: Record, limits: &Limits) {
        self.due_ms = self.due_ms.min(now_ms + limits.lazy_ms);
        self.pending.push(record);
    }

    /// Queues a snapshot, which must be in a batch of its own, before all records
    /// that are queued later, and which has no further effect when it is committed.
    /// Otherwise a reader could find a part of it, and the writer would treat its
    /// records as new ones and act on them again.
    pub fn push_snapshot(&mut self, records: Vec<Record>) {
        self.snapshot = Some(records);
    }

    /// Returns whether a snapshot is not yet known to be in the log.
    pub fn has_pending_snapshot(&self) -> bool {
        self.snapshot.is_some() || self.is_snapshot
    }

    /// Returns the number of records that are not yet known to be in the log.
    pub fn waiting(&self) -> usize {
        let snapshot = self.snapshot.as_ref().map_or(0, Vec::len);
        self.pending.len() + self.under_way.len() + snapshot
    }

    /// Removes and returns the records that were never sent, whose callers are to be
    /// refused.
    pub fn take_unsent(&mut self) -> Vec<Record> {
        self.due_ms = u64::MAX;
        std::mem::take(&mut self.pending)
    }

    /// Returns the next step, if one is due.
    pub fn step(&mut self, now_ms: u64, limits: &Limits, budget: &mut Appends) -> Option<Step> {
        match self.phase {
            Phase::Idle => self.begin(now_ms, limits, budget),
            Phase::Appending { sent_ms } => {
                // An append without any result is resolved like one whose answer is
                // lost.
                if now_ms < sent_ms + limits.append_timeout_ms * 4 {
                    return None;
                }
                self.mark_unresolved(now_ms, limits);
                None
            }
            Phase::Unresolved { retry_ms } => {
                if now_ms < retry_ms {
                    return None;
                }
                self.phase = Phase::Unresolved {
                    retry_ms: now_ms + limits.append_timeout_ms,
                };
                Some(Step::ReadOn)
            }
        }
    }

    /// Begins an append if one is due and the rate limit of the host allows it.
    /// Records that are queued while an append is in flight, or while the rate limit
    /// is reached, share the next batch.
    fn begin(&mut self, now_ms: u64, limits: &Limits, budget: &mut Appends) -> Option<Step> {
        let is_due = self.snapshot.is_some()
            || self.pending.len() >= limits.batch_records
            || now_ms >= self.due_ms;
        if !is_due || !budget.take(now_ms, limits) {
            return None;
        }
        self.sequence += 1;
        if let Some(records) = self.snapshot.take() {
            self.under_way = records;
            self.is_snapshot = true;
            return Some(self.send(now_ms));
        }
        let count = self.pending.len().min(limits.batch_records);
        self.under_way = self.pending.drain(..count).collect();
        if self.pending.is_empty() {
            self.due_ms = u64::MAX;
        }
        Some(self.send(now_ms))
    }

    fn send(&mut self, now_ms: u64) -> Step {
        self.phase = Phase::Appending { sent_ms: now_ms };
        Step::Append(Batch {
            term: self.term,
            sequence: self.sequence,
            records: self.under_way.clone().into(),
        })
    }

    /// Records that the append of batch `sequence` took effect; returns the records
    /// that are now to be acted on.
    pub fn committed(&mut self, sequence: u64) -> Vec<Record> {
        if sequence != self.sequence || self.phase == Phase::Idle {
            return Vec::new();
        }
        self.phase = Phase::Idle;
        self.failures = 0;
        let records = std::mem::take(&mut self.under_way);
        if std::mem::take(&mut self.is_snapshot) {
            return Vec::new();
        }
        records
    }

    /// Records that the answer to an append was lost or was a failure.
    pub fn mark_unresolved(&mut self, now_ms: u64, limits: &Limits) {
        if !matches!(self.phase, Phase::Appending { .. }) {
            return;
        }
        const FASTEST_MS: u64 = 50;
        self.failures = (self.failures + 1).min(5);
        let pause_ms = (FASTEST_MS << self.failures).min(limits.append_timeout_ms);
        self.phase = Phase::Unresolved {
            retry_ms: now_ms + pause_ms,
        };
    }

    /// Returns whether `batch` is the one sent last.
    pub fn is_latest(&self, batch: &Batch) -> bool {
        batch.term == self.term && batch.sequence == self.sequence
    }

    /// Handles a batch that was read from the stream; returns its records if it was
    /// the unresolved one.
    pub fn commit_read(&mut self, batch: &Batch) -> Vec<Record> {
        if !self.is_latest(batch) {
            return Vec::new();
        }
        self.committed(batch.sequence)
    }

    /// Does the same as [`Writer::commit_read`] in a stream with several writers, where a
    /// batch is recognized by its records.
    pub fn commit_read_records(&mut self, records: &[Record]) -> Vec<Record> {
        if self.under_way.is_empty() || *self.under_way != *records {
            return Vec::new();
        }
        self.committed(self.sequence)
    }

    /// Handles that the stream was read to its end without the unresolved batch;
    /// returns the step that appends it again.
    pub fn retry_missing(&mut self, now_ms: u64) -> Option<Step> {
        match self.phase {
            Phase::Unresolved { .. } => Some(self.send(now_ms)),
            _ => None,
        }
    }
}
