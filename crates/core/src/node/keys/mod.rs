//! Owner of cells of keys: identities of requests, and jobs.
//!
//! The state of a cell of keys is kept in a log stream of its own. An owner acts on a record only
//! once the record is committed.

mod intents;
mod jobs;
mod reservations;
mod stream;
mod submissions;

use super::KeyHandover;
use super::Node;
use crate::identity::IdentityTable;
use crate::identity::State;
use crate::ids::Cell;
use crate::ids::Member;
use crate::ids::Stream;
use crate::ids::Term;
use crate::jobs::JobKey;
use crate::jobs::JobTable;
use crate::message::Message;
use crate::record::BatchFilter;
use crate::record::JobSpec;
use crate::record::Record;
use crate::writer::Writer;
use intents::ReportedOutcome;
use std::collections::HashMap;

/// How long a cell of workers may take to answer before it is asked again.
const ANSWER_TIMEOUT_MS: u64 = 1_000;
/// Failures of a job's own attempts after which the job counts as failed.
const MAX_FAILURES: u32 = 3;
/// Worker restarts during a job's attempts after which the job counts as failed. Hosts also crash
/// for other reasons, but hardly as often under one job.
const MAX_CRASHES: u32 = 5;
/// Delay after which callers are advised to retry while the log is unavailable.
const LOG_UNAVAILABLE_RETRY_MS: u64 = 2_000;
/// Delay after which callers are advised to retry while a cell has no owner that may act.
const NO_OWNER_RETRY_MS: u64 = 1_000;

/// A cell of keys that this member owns.
pub(super) struct KeyCell {
    term: Term,
    is_open: bool,
    pub(super) writer: Writer,
    filter: BatchFilter,
    position: u64,
    read_sent_ms: Option<u64>,
    next_read_ms: u64,
    identities: IdentityTable,
    pub(super) jobs: JobTable,
    /// Entry host and request number that asked for each identity.
    intent_requesters: HashMap<u128, (Member, u64)>,
    /// Entry host and request number that wait for each job's acceptance.
    job_requesters: HashMap<Box<str>, (Member, u64)>,
    /// Jobs that wait for a cell of workers to answer a reservation.
    pending_reservations: usize,
    records_since_snapshot: u64,
    last_snapshot_ms: u64,
    /// Cell of workers that each job was last sent to.
    last_worker_cell: HashMap<JobKey, Cell>,
}

impl KeyCell {
    /// Creates a cell with empty state, with the writer of its term.
    fn new(now_ms: u64, writer: Writer) -> Self {
        Self {
            term: writer.term(),
            is_open: false,
            writer,
            filter: BatchFilter::default(),
            position: 0,
            read_sent_ms: None,
            next_read_ms: 0,
            identities: IdentityTable::default(),
            jobs: JobTable::default(),
            intent_requesters: HashMap::new(),
            job_requesters: HashMap::new(),
            pending_reservations: 0,
            records_since_snapshot: 0,
            last_snapshot_ms: now_ms,
            last_worker_cell: HashMap::new(),
        }
    }

    /// Returns whether no record waits for its commit.
    pub(super) fn may_release(&self) -> bool {
        self.writer.waiting() == 0
    }

    /// Returns whether the stream has been read and the cell is served.
    pub(super) fn is_open(&self) -> bool {
        self.is_open
    }

    /// Returns the cell's state for the process that it is handed over to.
    pub(super) fn make_handover(&self, number: u16) -> KeyHandover {
        KeyHandover {
            number,
            term: self.term,
            sequence: self.writer.sequence(),
            records: self.snapshot_records().into(),
        }
    }

    /// Returns the cell's state as records that replace all earlier ones.
    fn snapshot_records(&self) -> Vec<Record> {
        let mut records = vec![Record::Snapshot];
        for (identity, fingerprint, state) in self.identities.list() {
            records.push(Record::Intent {
                identity,
                fingerprint,
            });
            if let State::Ended { outcome, status } = state {
                records.push(Record::IntentEnded {
                    identity,
                    outcome,
                    status,
                });
            }
        }
        records.extend(self.jobs.snapshot());
        records
    }

    /// Returns a one-line description of the cell for operators.
    pub(super) fn describe(&self) -> String {
        format!(
            "term {}, {}, {} identities, {} jobs, {} records on their way",
            self.term.0,
            if self.is_open {
                "open"
            } else {
                "reading the log"
            },
            self.identities.len(),
            self.jobs.len(),
            self.writer.waiting()
        )
    }
}

/// A job submitted by a caller of this entry host, not answered yet.
#[derive(Debug, Clone)]
pub(super) struct Submission {
    pub(super) spec: JobSpec,
    asked_ms: u64,
    deadline_ms: u64,
}

impl Node {
    /// Becomes the owner of a cell of keys.
    ///
    /// Appends an `Open` record, then reads the stream up to that record. Records that a previous
    /// owner writes after it are ignored.
    pub(super) fn open_keys(&mut self, number: u16, term: Term) {
        let mut writer = Writer::new(term, 0);
        writer.push(self.now_ms, Record::Open { member: self.me });
        let cell = KeyCell::new(self.now_ms, writer);
        self.keys.insert(number, cell);
        self.step_writer(Stream::Keys(number));
    }

    /// Continues a cell of keys that another process has handed over.
    ///
    /// The state received is appended to the log as a snapshot before any order is based on it.
    /// Otherwise a record of the previous process, such as an assignment, may have been in flight
    /// when the log failed and never be committed: this process would have the job started, and
    /// the next owner, which reads the log without the assignment, would start it again.
    pub(super) fn open_handover_keys(&mut self, handover: &KeyHandover) {
        let now_ms = self.now_ms;
        let mut cell = KeyCell::new(now_ms, Writer::new(handover.term, handover.sequence));
        cell.is_open = true;
        cell.filter.term = handover.term;
        cell.filter.sequence = handover.sequence;
        apply_batch(now_ms, &mut cell, &handover.records);
        cell.jobs.resume(now_ms, self.config.inventory());
        let records = cell.snapshot_records();
        cell.writer.push_snapshot(records);
        self.keys.insert(handover.number, cell);
    }

    /// Acts on records that are now committed, if this member still may act.
    fn apply_committed(&mut self, number: u16, records: Vec<Record>) {
        if records.is_empty() || self.acts_until_ms().is_none() {
            return;
        }
        if let Some(cell) = self.keys.get_mut(&number) {
            cell.records_since_snapshot += records.len() as u64;
        }
        for record in records {
            match record {
                Record::Intent {
                    identity,
                    fingerprint,
                } => {
                    self.apply_intent(number, identity, fingerprint);
                }
                Record::Accepted(spec) => self.apply_acceptance(number, &spec),
                Record::Assigned { id, cell, attempt } => {
                    self.apply_assignment(number, &id, attempt, cell);
                }
                Record::Evicted {
                    id,
                    attempt,
                    checkpoint,
                    failure_counts,
                } => {
                    self.apply_eviction(number, &id, attempt, checkpoint, failure_counts);
                }
                Record::Ended { id, attempt, end } => self.apply_end(number, &id, attempt, end),
                _ => {}
            }
        }
    }

    fn is_urgent(&self, job: &str) -> bool {
        self.config
            .inventory()
            .jobs
            .get(job)
            .is_some_and(|job| job.urgent)
    }

    fn job_key(&self, number: u16, id: &str) -> Option<JobKey> {
        let cell = self.keys.get(&number)?;
        cell.jobs.find(id).map(|(key, _)| key)
    }

    /// Handles messages to the owner of a cell of keys.
    pub(super) fn receive_as_key_owner(&mut self, from: Member, message: Message) {
        match message {
            Message::IntentRequest {
                cell,
                request,
                identity,
                fingerprint,
            } => {
                let Some(number) = self.open_number(cell) else {
                    self.send(from.seat, Message::NotOwner { cell, request });
                    return;
                };
                if let Some(verdict) =
                    self.handle_intent_request(number, from, request, identity, fingerprint)
                {
                    self.send(from.seat, Message::IntentResponse { request, verdict });
                }
                self.step_writer(Stream::Keys(number));
            }
            Message::IntentOutcome {
                cell,
                request,
                identity,
                was_admitted,
                outcome,
                status,
            } => {
                let ended = ReportedOutcome {
                    cell,
                    request,
                    identity,
                    was_admitted,
                    outcome,
                    status,
                };
                self.handle_intent_outcome(from, ended);
            }
            Message::JobRequest {
                cell,
                request,
                spec,
            } => {
                let Some(number) = self.open_number(cell) else {
                    self.send(from.seat, Message::NotOwner { cell, request });
                    return;
                };
                if let Some(verdict) = self.handle_job_request(number, from, request, &spec) {
                    self.send(from.seat, Message::JobResponse { request, verdict });
                }
                self.step_writer(Stream::Keys(number));
            }
            Message::Reserved {
                home,
                cell,
                attempt,
                is_held,
                free_millicores,
            } => self.handle_reserved(home, cell, &attempt, is_held, free_millicores),
            Message::TaskUpdate {
                home,
                cell,
                attempt,
                end,
            } => self.handle_task_update(home, cell, &attempt, end),
            _ => {}
        }
    }

    /// Returns the number of a cell of keys that is open here, if this member may act for it.
    fn open_number(&mut self, cell: Cell) -> Option<u16> {
        let Cell::Keys(number) = cell else {
            return None;
        };
        self.acts_until_ms()?;
        self.keys.get(&number).filter(|cell| cell.is_open)?;
        Some(number)
    }

    /// Requests resources, appends and reads for all cells of keys.
    pub(super) fn tick_keys(&mut self) {
        let may_act = self.acts_until_ms().is_some();
        for number in self.keys.keys().copied().collect::<Vec<u16>>() {
            if may_act {
                self.request_resources(number);
            }
            self.step_writer(Stream::Keys(number));
            if self.keys.get(&number).is_some_and(|cell| !cell.is_open) {
                self.read_keys(number);
            }
        }
    }

    /// Does the less frequent work of cells of keys: retries, expiry and snapshots.
    pub(super) fn tick_keys_slow(&mut self) {
        let now_ms = self.now_ms;
        self.retry_submissions();
        self.snapshot_shared_streams();
        let window_ms = self.limits.identity_window_ms;
        for number in self.keys.keys().copied().collect::<Vec<u16>>() {
            if self.claims_log.is_unavailable() {
                self.refuse_unsent(number);
            }
            self.retry_overdue(number);
            let Some(cell) = self.keys.get_mut(&number) else {
                continue;
            };
            cell.identities.forget(now_ms, window_ms);
            cell.jobs.forget_ended(now_ms, window_ms);
            self.snapshot_keys(number);
        }
    }
}

/// Applies a batch that a previous owner wrote.
fn apply_batch(now_ms: u64, cell: &mut KeyCell, records: &[Record]) {
    if records.first() == Some(&Record::Snapshot) {
        cell.identities = IdentityTable::default();
        cell.jobs = JobTable::default();
    }
    for record in records {
        match record {
            Record::Intent {
                identity,
                fingerprint,
            } => {
                cell.identities.begin(now_ms, *identity, *fingerprint);
            }
            Record::IntentEnded {
                identity,
                outcome,
                status,
            } => {
                cell.identities.end(*identity, *outcome, *status);
            }
            other => cell.jobs.apply(now_ms, other),
        }
    }
}
