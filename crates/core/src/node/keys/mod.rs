//! Owner of cells of keys: identities of requests, and jobs.

mod intents;
mod jobs;
mod room;
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
use intents::IntentEnded;
use std::collections::HashMap;

/// How long a cell of workers may take to answer before it is asked again.
const ANSWER_MS: u64 = 1_000;
/// Times a job may fail by itself before it counts as failed.
const FAILURES: u32 = 3;
/// Workers that may restart under a job before it counts as failed. Hosts crash by themselves, too,
/// but hardly as often under one job.
const CRASHES: u32 = 5;
/// When asking again makes sense while the log is away.
const LOG_AWAY_RETRY_MS: u64 = 2_000;
/// When asking again makes sense while a cell has no owner that may act.
const NO_OWNER_RETRY_MS: u64 = 1_000;

/// A cell of keys that this member owns.
pub(super) struct KeyCell {
    term: Term,
    is_open: bool,
    pub(super) writer: Writer,
    filter: BatchFilter,
    position: u64,
    read_asked_ms: Option<u64>,
    next_read_ms: u64,
    identities: IdentityTable,
    pub(super) jobs: JobTable,
    intent_askers: HashMap<u128, (Member, u64)>,
    job_askers: HashMap<Box<str>, (Member, u64)>,
    reserving: usize,
    records_since_snapshot: u64,
    last_snapshot_ms: u64,
    last_cell: HashMap<JobKey, Cell>,
}

impl KeyCell {
    /// Starts a cell of which nothing is known, with the writer of its term.
    fn new(now_ms: u64, writer: Writer) -> Self {
        Self {
            term: writer.term(),
            is_open: false,
            writer,
            filter: BatchFilter::default(),
            position: 0,
            read_asked_ms: None,
            next_read_ms: 0,
            identities: IdentityTable::default(),
            jobs: JobTable::default(),
            intent_askers: HashMap::new(),
            job_askers: HashMap::new(),
            reserving: 0,
            records_since_snapshot: 0,
            last_snapshot_ms: now_ms,
            last_cell: HashMap::new(),
        }
    }

    /// Tells whether nothing is half written.
    pub(super) fn may_release(&self) -> bool {
        self.writer.waiting() == 0
    }

    /// Tells whether the cell is served.
    pub(super) fn is_open(&self) -> bool {
        self.is_open
    }

    /// Gives the cell as it is handed over.
    pub(super) fn handed(&self, number: u16) -> KeyHandover {
        KeyHandover {
            number,
            term: self.term,
            sequence: self.writer.sequence(),
            records: self.snapshot_records().into(),
        }
    }

    /// Gives the cell's state as records that stand for all before.
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

    /// Describes the cell in a line, for operators.
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

/// A job that a caller of this entry host submits.
#[derive(Debug, Clone)]
pub(super) struct Submission {
    pub(super) spec: JobSpec,
    asked_ms: u64,
    deadline_ms: u64,
}

impl Node {
    /// Starts to own a cell of keys: writes that it does, then reads the stream up
    /// to that record. What a former owner writes after it is void.
    pub(super) fn open_keys(&mut self, number: u16, term: Term) {
        let mut writer = Writer::new(term, 0);
        writer.push(self.now_ms, Record::Open { member: self.me });
        let cell = KeyCell::new(self.now_ms, writer);
        self.keys.insert(number, cell);
        self.step_writer(Stream::Keys(number));
    }

    /// Goes on with a cell of keys that another process has handed over.
    ///
    /// What goes wrong without writing it down first: a record of the former
    /// process, such as an assignment, was under way when the log went down and
    /// never stands there. The carrier has the job started, the next owner reads
    /// the log without the assignment, and starts it again. So what was handed over
    /// goes into the log before anything is ordered on the strength of it.
    pub(super) fn open_handed_keys(&mut self, handed: &KeyHandover) {
        let now_ms = self.now_ms;
        let mut cell = KeyCell::new(now_ms, Writer::new(handed.term, handed.sequence));
        cell.is_open = true;
        cell.filter.term = handed.term;
        cell.filter.sequence = handed.sequence;
        apply_batch(now_ms, &mut cell, &handed.records);
        cell.jobs.resume(now_ms, self.config.inventory());
        let records = cell.snapshot_records();
        cell.writer.push_alone(records);
        self.keys.insert(handed.number, cell);
    }

    /// Acts on records that now stand in the log, if this member still may.
    fn take_effect(&mut self, number: u16, records: Vec<Record>) {
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
                    self.intent_stands(number, identity, fingerprint);
                }
                Record::Accepted(spec) => self.acceptance_stands(number, &spec),
                Record::Assigned { id, cell, attempt } => {
                    self.assignment_stands(number, &id, attempt, cell);
                }
                Record::Evicted {
                    id,
                    attempt,
                    checkpoint,
                    failure_counts,
                } => {
                    self.eviction_stands(number, &id, attempt, checkpoint, failure_counts);
                }
                Record::Ended { id, attempt, end } => self.end_stands(number, &id, attempt, end),
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
                if let Some(verdict) = self.ask_intent(number, from, request, identity, fingerprint)
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
                let ended = IntentEnded {
                    cell,
                    request,
                    identity,
                    was_admitted,
                    outcome,
                    status,
                };
                self.end_intent(from, ended);
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
                if let Some(verdict) = self.ask_job(number, from, request, &spec) {
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
            } => self.reserved(home, cell, &attempt, is_held, free_millicores),
            Message::TaskUpdate {
                home,
                cell,
                attempt,
                end,
            } => self.reported(home, cell, &attempt, end),
            _ => {}
        }
    }

    /// Gives the number of a cell of keys that is open here and may be acted for.
    fn open_number(&mut self, cell: Cell) -> Option<u16> {
        let Cell::Keys(number) = cell else {
            return None;
        };
        self.acts_until_ms()?;
        self.keys.get(&number).filter(|cell| cell.is_open)?;
        Some(number)
    }

    pub(super) fn tick_keys(&mut self) {
        let may_act = self.acts_until_ms().is_some();
        for number in self.keys.keys().copied().collect::<Vec<u16>>() {
            if may_act {
                self.look_for_room(number);
            }
            self.step_writer(Stream::Keys(number));
            if self.keys.get(&number).is_some_and(|cell| !cell.is_open) {
                self.read_keys(number);
            }
        }
    }

    pub(super) fn tick_keys_slow(&mut self) {
        let now_ms = self.now_ms;
        self.ask_again_for_jobs();
        self.snapshot_shared_streams();
        let window_ms = self.limits.identity_window_ms;
        for number in self.keys.keys().copied().collect::<Vec<u16>>() {
            if self.claims_log.is_unavailable() {
                self.refuse_unsent(number);
            }
            self.chase_overdue(number);
            let Some(cell) = self.keys.get_mut(&number) else {
                continue;
            };
            cell.identities.forget(now_ms, window_ms);
            cell.jobs.forget_ended(now_ms, window_ms);
            self.snapshot_keys(number);
        }
    }
}

/// Applies a batch of an earlier owner.
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
