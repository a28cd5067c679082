//! Group commit to one stream of the log, with one append under way at a time.
//!
//! What goes wrong without it: the acknowledgement of an append is lost, the
//! writer appends again, and the records stand twice. One notices by a batch with
//! a sequence already seen. The writer therefore reads on from where it was and
//! appends again, under the same sequence, only if the batch is not there;
//! [`crate::record::BatchFilter`] drops the second copy should the first one
//! surface later all the same.

use crate::ids::Term;
use crate::limits::Limits;
use crate::record::Batch;
use crate::record::Record;

/// What the writer wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Append this batch.
    Append(Batch),
    /// Read the stream on to learn whether the last batch took effect.
    ReadOn,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Idle,
    Appending { sent_ms: u64 },
    Unresolved { retry_ms: u64 },
}

/// Appends that one entry host may make, so that all hosts together stay within
/// what the log takes: several hundred a second.
#[derive(Debug, Clone, Copy, Default)]
pub struct Appends {
    thousandths: u64,
    counted_ms: u64,
}

impl Appends {
    /// Takes one append from the budget if there is one.
    fn take(&mut self, now_ms: u64, limits: &Limits) -> bool {
        const WHOLE: u64 = 1_000;
        let passed_ms = now_ms.saturating_sub(self.counted_ms);
        self.counted_ms = self.counted_ms.max(now_ms);
        let most = WHOLE * limits.appends_per_s / 2 + WHOLE;
        let earned = passed_ms.saturating_mul(limits.appends_per_s);
        self.thousandths = self.thousandths.saturating_add(earned).min(most);
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
    /// When the pending records are to be sent; never if there are none.
    due_ms: u64,
    under_way: Vec<Record>,
    alone: Option<Vec<Record>>,
    is_alone: bool,
    failures: u32,
}

impl Writer {
    /// Starts a writer whose last batch, if any, had number `sequence`.
    pub fn new(term: Term, sequence: u64) -> Self {
        Self {
            term,
            sequence,
            phase: Phase::Idle,
            pending: Vec::new(),
            due_ms: u64::MAX,
            under_way: Vec::new(),
            alone: None,
            is_alone: false,
            failures: 0,
        }
    }

    /// Gives the number of the batch that was sent last.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Gives the term of this writer.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Queues a record.
    pub fn push(&mut self, now_ms: u64, record: Record) {
        self.due_ms = self.due_ms.min(now_ms);
        self.pending.push(record);
    }

    /// Queues a record that nobody waits for: it goes along with the next batch, or
    /// by itself after a while.
    pub fn push_lazily(&mut self, now_ms: u64, record: Record, limits: &Limits) {
        self.due_ms = self.due_ms.min(now_ms + limits.lazy_ms);
        self.pending.push(record);
    }

    /// Queues records that must stand in a batch of their own, before all that are
    /// queued later, and that nothing follows from: state carried forward. A
    /// reader could otherwise find a part of it, and the writer would take the
    /// records for new ones and act on them again.
    pub fn push_alone(&mut self, records: Vec<Record>) {
        self.alone = Some(records);
    }

    /// Tells whether state carried forward is not yet known to be in the log.
    pub fn has_pending_snapshot(&self) -> bool {
        self.alone.is_some() || self.is_alone
    }

    /// Counts the records that are not yet known to be in the log.
    pub fn waiting(&self) -> usize {
        let alone = self.alone.as_ref().map_or(0, Vec::len);
        self.pending.len() + self.under_way.len() + alone
    }

    /// Gives back the records that were never sent; for refusing their callers.
    pub fn take_unsent(&mut self) -> Vec<Record> {
        self.due_ms = u64::MAX;
        std::mem::take(&mut self.pending)
    }

    /// Tells what to do now.
    pub fn step(&mut self, now_ms: u64, limits: &Limits, budget: &mut Appends) -> Option<Step> {
        match self.phase {
            Phase::Idle => self.begin(now_ms, limits, budget),
            Phase::Appending { sent_ms } => {
                // An append that hangs is resolved like one whose answer is lost.
                if now_ms < sent_ms + limits.append_timeout_ms * 4 {
                    return None;
                }
                self.lost(now_ms, limits);
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

    /// Begins an append if one is due and the host's budget of appends allows it.
    /// Records that come while one is under way, or while the budget is used up,
    /// share the next.
    fn begin(&mut self, now_ms: u64, limits: &Limits, budget: &mut Appends) -> Option<Step> {
        let is_due = self.alone.is_some()
            || self.pending.len() >= limits.batch_records
            || now_ms >= self.due_ms;
        if !is_due || !budget.take(now_ms, limits) {
            return None;
        }
        self.sequence += 1;
        if let Some(records) = self.alone.take() {
            self.under_way = records;
            self.is_alone = true;
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

    /// Notes that the append of batch `sequence` took effect; gives the records that
    /// something follows from.
    pub fn committed(&mut self, sequence: u64) -> Vec<Record> {
        if sequence != self.sequence || self.phase == Phase::Idle {
            return Vec::new();
        }
        self.phase = Phase::Idle;
        self.failures = 0;
        let records = std::mem::take(&mut self.under_way);
        if std::mem::take(&mut self.is_alone) {
            return Vec::new();
        }
        records
    }

    /// Notes that the answer to an append was lost or was no answer.
    pub fn lost(&mut self, now_ms: u64, limits: &Limits) {
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

    /// Tells whether `batch` is the one sent last.
    pub fn is_latest(&self, batch: &Batch) -> bool {
        batch.term == self.term && batch.sequence == self.sequence
    }

    /// Notes a batch that was read from the stream; gives its records if it was
    /// the unresolved one.
    pub fn seen(&mut self, batch: &Batch) -> Vec<Record> {
        if !self.is_latest(batch) {
            return Vec::new();
        }
        self.committed(batch.sequence)
    }

    /// Does as [`Writer::seen`] in a stream with many writers, where a batch is
    /// known by its records.
    pub fn seen_records(&mut self, records: &[Record]) -> Vec<Record> {
        if self.under_way.is_empty() || *self.under_way != *records {
            return Vec::new();
        }
        self.committed(self.sequence)
    }

    /// Notes that the stream was read to its end without the unresolved batch.
    pub fn absent(&mut self, now_ms: u64) -> Option<Step> {
        match self.phase {
            Phase::Unresolved { .. } => Some(self.send(now_ms)),
            _ => None,
        }
    }
}
