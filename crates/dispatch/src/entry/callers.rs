//! Callers who await that something is stored: submissions and cancellations.

mod read_back;

use crate::entry::Entry;
use crate::entry::queries::PendingQuery;
use crate::entry::queries::QueryKind;
use crate::entry::queries::Requester;
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

/// What a record holds beside its value: the key and its length.
const KEY_BYTES: u64 = 64;
/// Time after which an append without an answer is repeated; a job stored twice remains
/// one. The store answers in 4 ms, and in 240 ms when it is sixty times slower.
const APPEND_TIMEOUT_MS: u64 = 700;
/// A store that takes longer than this for an append is slow. A stream takes its appends
/// one by one, so a slow one gets one of this host at a time, with all that waits.
const SLOW_APPEND_MS: u64 = 60;
/// Time after which an append counts as late, where nothing else tells how the store is.
const LATE_APPEND_MS: u64 = 200;
/// An append to a slow store is given up after so many times what the latest ones took.
const TIMEOUT_FACTOR: u64 = 4;
/// Pause before a refused append is repeated, at another part.
const RETRY_MS: u64 = 120;
/// Time for which a part that refused an append, or gave no answer, is left alone: parts
/// are away for seconds.
const AVOID_PARTITION_MS: u64 = 1_000;
/// Appends of this host under way at once. Jobs that come meanwhile share the next one.
const MAX_FLIGHTS: usize = 4;
/// Records in one append.
const MAX_BATCH: usize = 64;
/// Time that the way back to the caller may take.
const REPLY_MARGIN_MS: u64 = 150;
/// Time that a caller of unknown patience is made to wait at most.
const MAX_ANSWER_TIMEOUT_MS: u64 = 2_500;
/// After that long a store in trouble may be better.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;

/// A write that a caller awaits.
#[derive(Debug)]
struct Write {
    request: u64,
    job: JobId,
    key: Key,
    value: Box<[u8]>,
    deadline_ms: u64,
    received_ms: u64,
    retry_ms: u64,
    /// The append under way.
    ticket: Option<u64>,
    /// An earlier append may yet be carried out.
    is_doubtful: bool,
    /// The owner knows of it.
    is_read_back: bool,
    /// When the owner may be asked whether it does.
    next_query_ms: u64,
    refusals: u32,
}

/// All callers who await an answer.
#[derive(Debug)]
pub(crate) struct Callers {
    writes: Vec<Write>,
    pub(crate) queries: Vec<PendingQuery>,
    /// Appends under way, by ticket.
    flights: HashMap<u64, Flight>,
    /// Until when each part of the stream of jobs is left alone, after a failure.
    avoided_until_ms: Vec<u64>,
    /// The part that the next append goes to.
    next_partition: usize,
    /// What appends take of late.
    append_ms: u64,
}

/// An append under way.
#[derive(Debug)]
struct Flight {
    sent_ms: u64,
    partition: usize,
}

impl Callers {
    /// Hosts begin with different parts, so that these share the load.
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

    /// Tells whether an append that callers await had no answer.
    pub(crate) fn has_doubtful(&self) -> bool {
        self.writes.iter().any(|write| write.is_doubtful)
    }

    /// Chooses the part for an append: in turn, past those that have just failed.
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

    /// Notes the end of an append.
    fn record_append(&mut self, ticket: u64, outcome: AppendOutcome, now_ms: u64) {
        let Some(flight) = self.flights.remove(&ticket) else {
            return;
        };
        self.append_ms = (self.append_ms + now_ms - flight.sent_ms) / 2;
        if matches!(outcome, AppendOutcome::Refused | AppendOutcome::Unknown) {
            self.avoided_until_ms[flight.partition] = now_ms + AVOID_PARTITION_MS;
        }
    }

    /// Tells whether an append takes longer than one does on a store that is well.
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
    /// Takes a job in: it is stored before the caller is told so.
    pub(crate) fn submit(
        &mut self,
        request: u64,
        job: JobId,
        submission: Submission,
        answer_timeout_ms: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let is_known = self
            .job_table
            .jobs
            .get(&job)
            .is_some_and(|record| record.submission.is_some());
        if is_known {
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
            answer_timeout_ms,
            now,
            actions,
        );
    }

    /// Takes the cancelling of a job in.
    pub(crate) fn cancel(
        &mut self,
        request: u64,
        job: JobId,
        answer_timeout_ms: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        match self.job_table.jobs.get(&job) {
            Some(record) if record.is_cancelled || record.phase().is_final() => {
                actions.push(Action::Answer {
                    request,
                    reply: Reply::Stored,
                });
            }
            Some(record) if record.submission.is_some() => {
                self.write_cancel(request, job, answer_timeout_ms, now, actions);
            }
            _ => self.add_query(
                Requester::Caller(request),
                QueryKind::Cancel(job, answer_timeout_ms),
                now,
            ),
        }
    }

    pub(crate) fn write_cancel(
        &mut self,
        request: u64,
        job: JobId,
        answer_timeout_ms: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let value = Box::from(*b"1");
        self.write(
            request,
            job,
            Key::Cancelled(job),
            value,
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
        answer_timeout_ms: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        // What can't be stored soon is refused at once; nothing of it was sent.
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

    /// Takes in the end of an append.
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
        let mut at = 0;
        let mut stored = 0;
        while at < self.callers.writes.len() {
            let write = &mut self.callers.writes[at];
            if write.ticket != Some(ticket) {
                at += 1;
                continue;
            }
            write.ticket = None;
            match outcome {
                AppendOutcome::Stored { offset } => {
                    let write = self.callers.writes.remove(at);
                    self.complete_write(write, offset + stored, now, actions);
                    stored += 1;
                }
                AppendOutcome::Unknown => {
                    write.is_doubtful = true;
                    at += 1;
                }
                AppendOutcome::Refused | AppendOutcome::Fenced => {
                    write.refusals += 1;
                    write.retry_ms = now.steady_ms + RETRY_MS;
                    at += 1;
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
                if matches!(write.key, Key::Cancelled(_)) {
                    "cancel"
                } else {
                    "submit"
                },
                now.steady_ms - write.received_ms
            ),
        )));
        actions.push(Action::Answer {
            request: write.request,
            reply: Reply::Stored,
        });
    }

    /// Sends what waits, answers what can be answered, gives up what is late.
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
            // A write under way may be stored at any moment.
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
