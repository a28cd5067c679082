//! Writes that callers await: submissions and cancellations.
//!
//! A caller is answered once its write is stored. A write whose append failed is retried in another
//! partition. An append without an answer may still be carried out, so its write is read back.

mod cancellation;
mod read_back;

use crate::entry::Entry;
use crate::entry::queries::PendingQuery;
use crate::event::Action;
use crate::event::AppendOutcome;
use crate::event::Now;
use crate::event::Reply;
use crate::event::StoredRecord;
use crate::event::Stream;
use crate::ids::JobId;
use crate::policy::size::max_tasks;
use crate::record::Key;
use crate::record::Submission;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use prost::Message;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a record beside its value: the key and its length.
const KEY_BYTES: u64 = 64;
/// Time after which an append without an answer is retried; a job that is stored twice remains one
/// job. The store answers in 4 ms, and in 240 ms when it is sixty times slower.
const APPEND_TIMEOUT_MS: u64 = 700;
/// Average latency of appends above which the store counts as slow. A stream executes its appends
/// one by one, so a slow store gets one append of this host at a time, with all writes that are
/// pending.
const SLOW_APPEND_MS: u64 = 60;
/// Time after which an append counts as late on a host that has no other sign of the store's
/// condition.
const LATE_APPEND_MS: u64 = 200;
/// Timeout of an append to a slow store, as a multiple of the latency of the latest appends.
const TIMEOUT_FACTOR: u64 = 4;
/// Delay before a refused append is retried, in another partition.
const RETRY_MS: u64 = 120;
/// Time for which a partition that refused an append, or did not answer, gets no appends:
/// partitions are unavailable for seconds.
const AVOID_PARTITION_MS: u64 = 1_000;
/// Maximum number of concurrent appends of this host. Writes that arrive while all of them are
/// pending share the next append.
const MAX_FLIGHTS: usize = 4;
/// Maximum number of records in one append.
const MAX_BATCH: usize = 64;
/// Time reserved for the answer to reach the caller, out of the caller's own timeout.
const REPLY_MARGIN_MS: u64 = 150;
/// Maximum time for which a caller waits, also one whose timeout is unknown.
const MAX_ANSWER_TIMEOUT_MS: u64 = 2_500;
/// Delay after which a caller is told to retry, as the store may have recovered by then.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;

/// A write that a caller awaits.
#[derive(Debug)]
struct Write {
    request: u64,
    job: JobId,
    key: Key,
    value: Box<[u8]>,
    /// Answer once it is stored.
    reply: Reply,
    deadline_ms: u64,
    received_ms: u64,
    retry_ms: u64,
    /// Ticket of the pending append.
    ticket: Option<u64>,
    /// An earlier append had no answer and may still be carried out.
    is_doubtful: bool,
    /// The owner has confirmed that it is stored.
    is_read_back: bool,
    /// When the owner may next be queried for it.
    next_query_ms: u64,
    refusals: u32,
}

/// All writes and queries that callers await.
#[derive(Debug)]
pub(crate) struct Callers {
    writes: Vec<Write>,
    pub(crate) queries: Vec<PendingQuery>,
    /// Pending appends, by ticket.
    flights: HashMap<u64, Flight>,
    /// Time until which each partition of the stream of jobs is avoided, after a failure.
    avoided_until_ms: Vec<u64>,
    /// Partition of the next append.
    next_partition: usize,
    /// Moving average of the latency of appends.
    append_ms: u64,
}

/// A pending append.
#[derive(Debug)]
struct Flight {
    sent_ms: u64,
    partition: usize,
}

impl Callers {
    /// Creates the state of a host without callers. Hosts start with different partitions to spread
    /// the load.
    pub(crate) fn new(host: &str, partitions: u8) -> Self {
        let partitions = usize::from(partitions.max(1));
        Self {
            writes: Vec::new(),
            queries: Vec::new(),
            flights: HashMap::new(),
            avoided_until_ms: vec![0; partitions],
            next_partition: xxh3_64(host.as_bytes()) as usize % partitions,
            append_ms: 0,
        }
    }

    /// Returns whether a write awaits an append that had no answer.
    pub(crate) fn has_doubtful(&self) -> bool {
        self.writes.iter().any(|write| write.is_doubtful)
    }

    /// Returns the partition for an append: round robin, without those that have just failed unless
    /// all have.
    pub(crate) fn choose_partition(&mut self, now_ms: u64) -> u8 {
        let partitions = self.avoided_until_ms.len();
        let mut partition = self.next_partition;
        for ahead in 0..partitions {
            let candidate = (self.next_partition + ahead) % partitions;
            if now_ms >= self.avoided_until_ms[candidate] {
                partition = candidate;
                break;
            }
        }
        self.next_partition = (partition + 1) % partitions;
        partition as u8
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.writes.is_empty() && self.queries.is_empty()
    }

    /// Records the outcome of an append: its latency, and a failure of its partition.
    fn record_append(&mut self, ticket: u64, outcome: AppendOutcome, now_ms: u64) {
        let Some(flight) = self.flights.remove(&ticket) else {
            return;
        };
        self.append_ms = (self.append_ms + now_ms - flight.sent_ms) / 2;
        if matches!(outcome, AppendOutcome::Refused | AppendOutcome::Unknown) {
            self.avoided_until_ms[flight.partition] = now_ms + AVOID_PARTITION_MS;
        }
    }

    /// Returns whether a pending append takes longer than it does at a healthy store.
    pub(crate) fn has_late_append(&self, now_ms: u64) -> bool {
        let mut flights = self.flights.values();
        flights.any(|flight| now_ms >= flight.sent_ms + LATE_APPEND_MS)
    }

    fn max_flights(&self) -> usize {
        if self.append_ms > SLOW_APPEND_MS {
            1
        } else {
            MAX_FLIGHTS
        }
    }

    fn timeout_ms(&self) -> u64 {
        (self.append_ms * TIMEOUT_FACTOR).clamp(APPEND_TIMEOUT_MS, MAX_ANSWER_TIMEOUT_MS)
    }
}

impl Entry {
    /// Accepts a job. The caller is answered once the job is stored.
    pub(crate) fn submit(
        &mut self,
        request: u64,
        job: JobId,
        mut submission: Submission,
        answer_timeout_ms: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        self.stamp(&mut submission);
        if self.job_table.is_submitted(job) {
            actions.push(Action::Answer {
                request,
                reply: Reply::Stored,
            });
            return;
        }
        let max_record_bytes = self.bounds.max_record_bytes;
        let max_tasks = max_tasks(max_record_bytes);
        let value: Box<[u8]> = submission.encode_to_vec().into();
        if submission.tasks() > max_tasks || value.len() as u64 + KEY_BYTES > max_record_bytes {
            actions.push(Action::Answer {
                request,
                reply: Reply::TooLarge { max_tasks },
            });
            return;
        }
        self.write(
            request,
            job,
            Key::Submitted(job),
            value,
            Reply::Stored,
            answer_timeout_ms,
            now,
            actions,
        );
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "These are the fields of one write."
    )]
    fn write(
        &mut self,
        request: u64,
        job: JobId,
        key: Key,
        value: Box<[u8]>,
        reply: Reply,
        answer_timeout_ms: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        // A write that can't be stored soon is refused at once; nothing of it was sent.
        if self.is_store_unavailable || self.config.is_none() {
            actions.push(Action::Note(Note::new(
                Code::JobRefused,
                job.to_string(),
                format!("why=store_away last_answer_ms={}", self.contact.answered_ms),
            )));
            actions.push(Action::Answer {
                request,
                reply: Reply::NotDone {
                    retry_after_ms: RETRY_AFTER_MS,
                },
            });
            return;
        }
        let answer_timeout_ms = answer_timeout_ms
            .min(MAX_ANSWER_TIMEOUT_MS)
            .saturating_sub(REPLY_MARGIN_MS);
        self.callers.writes.push(Write {
            request,
            job,
            key,
            value,
            reply,
            deadline_ms: now.steady_ms + answer_timeout_ms,
            received_ms: now.steady_ms,
            retry_ms: 0,
            ticket: None,
            is_doubtful: false,
            is_read_back: false,
            next_query_ms: 0,
            refusals: 0,
        });
    }

    /// Handles the outcome of an append.
    pub(crate) fn on_append(
        &mut self,
        ticket: u64,
        outcome: AppendOutcome,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        match outcome {
            AppendOutcome::Fenced | AppendOutcome::Stored { .. } => {
                self.contact
                    .record_answer(self.expected_silence_ms(), now.steady_ms);
            }
            AppendOutcome::Refused | AppendOutcome::Unknown => self.contact.suspect(now.steady_ms),
        }
        if self.handle_announcement(ticket, outcome, now)
            || self.handle_claim(ticket, outcome, now, actions)
            || self.handle_deletion(ticket, outcome, now)
        {
            return;
        }
        if let Some(owner) = &mut self.owner
            && let Some(states) =
                owner.handle_append(ticket, outcome, now, &mut self.tickets, actions)
        {
            for (job, state) in states {
                self.job_table.set_state(job, state);
            }
            return;
        }
        self.apply_append_outcome(ticket, outcome, now, actions);
    }

    fn apply_append_outcome(
        &mut self,
        ticket: u64,
        outcome: AppendOutcome,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        self.callers.record_append(ticket, outcome, now.steady_ms);
        let mut index = 0;
        let mut stored = 0;
        while index < self.callers.writes.len() {
            let write = &mut self.callers.writes[index];
            if write.ticket != Some(ticket) {
                index += 1;
                continue;
            }
            write.ticket = None;
            match outcome {
                AppendOutcome::Stored { offset } => {
                    let write = self.callers.writes.remove(index);
                    self.complete_write(write, offset + stored, now, actions);
                    stored += 1;
                }
                AppendOutcome::Unknown => {
                    write.is_doubtful = true;
                    index += 1;
                }
                AppendOutcome::Refused | AppendOutcome::Fenced => {
                    write.refusals += 1;
                    write.retry_ms = now.steady_ms + RETRY_MS;
                    index += 1;
                }
            }
        }
    }

    fn complete_write(&mut self, write: Write, offset: u64, now: Now, actions: &mut Vec<Action>) {
        let record = StoredRecord {
            offset,
            key: write.key.text(),
            value: write.value,
        };
        let change = self.job_table.apply(&record);
        self.apply_change(change, now, actions);
        actions.push(Action::Note(Note::new(
            Code::JobStored,
            write.job.to_string(),
            format!(
                "what={} offset={offset} took_ms={}",
                match (&write.key, &write.reply) {
                    (Key::Cancelled(_), Reply::NoSuchJob) => "cancel_unknown",
                    (Key::Cancelled(_), _) => "cancel",
                    _ => "submit",
                },
                now.steady_ms - write.received_ms
            ),
        )));
        self.answer_stored_write(write.request, write.job, write.reply, actions);
    }

    /// Sends pending writes, answers what can be answered, and abandons writes that are overdue.
    pub(crate) fn answer_callers(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.query_owner_for_writes(now);
        self.answer_read_back_writes(now, actions);
        self.send_writes(now, actions);
        self.abandon_writes(now, actions);
        self.answer_queries(now, actions);
    }

    fn send_writes(&mut self, now: Now, actions: &mut Vec<Action>) {
        let mut flights = self.callers.flights.len();
        let timeout_ms = self.callers.timeout_ms();
        while flights < self.callers.max_flights() {
            let mut records = Vec::new();
            let ticket = self.tickets + 1;
            for write in &mut self.callers.writes {
                if write.ticket.is_some() || now.steady_ms < write.retry_ms {
                    continue;
                }
                if records.len() < MAX_BATCH {
                    write.ticket = Some(ticket);
                    records.push((write.key.text(), write.value.clone()));
                }
            }
            if records.is_empty() {
                return;
            }
            self.tickets = ticket;
            let partition = self.callers.choose_partition(now.steady_ms);
            let flight = Flight {
                sent_ms: now.steady_ms,
                partition: usize::from(partition),
            };
            self.callers.flights.insert(ticket, flight);
            flights += 1;
            actions.push(Action::Append {
                ticket,
                stream: Stream::Jobs(partition),
                fence: None,
                records,
                timeout_ms,
            });
        }
    }

    fn abandon_writes(&mut self, now: Now, actions: &mut Vec<Action>) {
        let is_store_unavailable = self.is_store_unavailable;
        self.callers.writes.retain(|write| {
            // A pending append may be carried out at any moment.
            let is_certain = !write.is_doubtful && write.ticket.is_none();
            let is_unstorable = is_store_unavailable || write.refusals > 2;
            let is_late = now.steady_ms >= write.deadline_ms;
            if !(is_late || is_certain && is_unstorable) {
                return true;
            }
            let (reply, code) = match is_certain {
                true => (
                    Reply::NotDone {
                        retry_after_ms: RETRY_AFTER_MS,
                    },
                    Code::JobRefused,
                ),
                false => (Reply::Unknown, Code::JobUnknown),
            };
            actions.push(Action::Note(Note::new(
                code,
                write.job.to_string(),
                format!(
                    "waited_ms={} refusals={} doubtful={}",
                    now.steady_ms - write.received_ms,
                    write.refusals,
                    write.is_doubtful
                ),
            )));
            actions.push(Action::Answer {
                request: write.request,
                reply,
            });
            false
        });
    }
}
