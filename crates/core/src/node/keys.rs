//! Owner of cells of keys: identities of requests, and jobs.

use super::Node;
use super::workers::team_of;
use crate::event::Action;
use crate::event::Answer;
use crate::event::Part;
use crate::identity::Admission;
use crate::identity::IdentityTable;
use crate::identity::State;
use crate::ids::Cell;
use crate::ids::Member;
use crate::ids::Stream;
use crate::ids::Term;
use crate::jobs::JobKey;
use crate::jobs::JobState;
use crate::jobs::JobTable;
use crate::jobs::Submission as Submitted;
use crate::message::IntentVerdict;
use crate::message::JobVerdict;
use crate::message::Message;
use crate::notes::Code;
use crate::placement::AttemptId;
use crate::placement::TaskEnd;
use crate::placement::TaskOrder;
use crate::record::BatchFilter;
use crate::record::JobEnd;
use crate::record::JobSpec;
use crate::record::Outcome;
use crate::record::Record;
use crate::writer::Step;
use crate::writer::Writer;
use rand::RngExt;
use std::collections::HashMap;

/// How long a cell of workers may take to answer before it is asked again.
const ANSWER_MS: u64 = 1_000;
/// Jobs that look for room at a time, per cell of keys.
const RESERVING: usize = 256;
/// Cells of workers that are compared by their hints before one is asked.
const SAMPLED: usize = 4;
/// Times a job may fail by itself before it counts as failed.
const FAILURES: u32 = 3;
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
    since_carried: u64,
    carried_ms: u64,
    failures: HashMap<JobKey, u32>,
    last_cell: HashMap<JobKey, Cell>,
}

impl KeyCell {
    /// Tells whether nothing is half written.
    pub(super) fn may_let_go(&self) -> bool {
        self.writer.waiting() == 0
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
        let cell = KeyCell {
            term,
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
            since_carried: 0,
            carried_ms: self.now_ms,
            failures: HashMap::new(),
            last_cell: HashMap::new(),
        };
        self.keys.insert(number, cell);
        self.step_writer(Stream::Keys(number));
    }

    pub(super) fn read_keys(&mut self, number: u16) {
        let now_ms = self.now_ms;
        let patience_ms = self.limits.append_timeout_ms * 4;
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let is_reading = cell
            .read_asked_ms
            .is_some_and(|asked| now_ms < asked + patience_ms);
        if is_reading || now_ms < cell.next_read_ms {
            return;
        }
        cell.read_asked_ms = Some(now_ms);
        cell.next_read_ms = now_ms + self.limits.poll_ms / 5;
        let (stream, from) = (Stream::Keys(number), cell.position);
        self.out.push(Action::Read { stream, from });
    }

    pub(super) fn keys_appended(&mut self, number: u16, sequence: u64, offset: Option<u64>) {
        let (now_ms, limits) = (self.now_ms, self.limits.clone());
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let Some(offset) = offset else {
            cell.writer.lost(now_ms, &limits);
            return;
        };
        if !cell.is_open {
            // The reader finds the record that opens the cell.
            return;
        }
        let records = cell.writer.committed(sequence);
        cell.position = cell.position.max(offset + 1);
        cell.filter.sequence = cell.filter.sequence.max(sequence);
        self.take_effect(number, records);
    }

    pub(super) fn keys_read(&mut self, number: u16, part: Option<Part>) {
        let now_ms = self.now_ms;
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        cell.read_asked_ms = None;
        let Some(part) = part else {
            return;
        };
        if part.next < cell.position {
            return;
        }
        let was_open = cell.is_open;
        let is_gap = part.oldest > cell.position && cell.position > 0;
        let mut committed = Vec::new();
        let mut is_found = false;
        for (offset, batch) in &part.batches {
            let Some(batch) = batch.as_ref().filter(|_| *offset >= cell.position) else {
                continue;
            };
            let is_admitted = cell.filter.admit(batch);
            if batch.term == cell.term {
                is_found |= cell.writer.is_latest(batch);
                committed.extend(cell.writer.seen(batch));
            } else if is_admitted && !cell.is_open {
                apply_batch(now_ms, cell, &batch.records);
            }
        }
        cell.position = cell.position.max(part.next);
        if is_gap {
            self.note(
                Code::StateMissing,
                format!("keys-{number}"),
                "records have expired",
            );
        }
        if was_open && !committed.is_empty() {
            self.note(Code::BatchResolved, format!("keys-{number}"), "");
        }
        self.go_on_after_read(number, committed, is_found, part.is_end);
    }

    fn go_on_after_read(&mut self, number: u16, found: Vec<Record>, is_found: bool, is_end: bool) {
        let now_ms = self.now_ms;
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        if !cell.is_open && is_found {
            cell.is_open = true;
            cell.jobs.resume(now_ms, self.config.inventory());
            let detail = cell.describe();
            self.note(Code::CellOpened, format!("keys-{number}"), detail);
        }
        self.take_effect(number, found);
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        if !is_end {
            cell.next_read_ms = now_ms;
            if !cell.is_open {
                self.read_keys(number);
            }
            return;
        }
        if is_found {
            return;
        }
        if let Some(Step::Append(batch)) = cell.writer.absent(now_ms) {
            let stream = Stream::Keys(number);
            self.note(Code::BatchRepeated, stream.to_string(), "");
            self.out.push(Action::Append { stream, batch });
        }
    }

    /// Tells callers whose records were never sent that nothing was done. The
    /// others wait: their record may stand in the log.
    fn refuse_unsent(&mut self, number: u16) {
        let now_ms = self.now_ms;
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let mut replies = Vec::new();
        for record in cell.writer.take_unsent() {
            match record {
                Record::Intent { identity, .. } => {
                    cell.identities.withdraw(identity);
                    if let Some((asker, request)) = cell.intent_askers.remove(&identity) {
                        let retry_after_ms = LOG_AWAY_RETRY_MS;
                        let verdict = IntentVerdict::Refused { retry_after_ms };
                        replies.push((asker, Message::IntentAnswer { request, verdict }));
                    }
                }
                Record::Accepted(spec) => {
                    cell.jobs.withdraw(&spec.id);
                    if let Some((asker, request)) = cell.job_askers.remove(&spec.id) {
                        let retry_after_ms = LOG_AWAY_RETRY_MS;
                        let verdict = JobVerdict::Refused { retry_after_ms };
                        replies.push((asker, Message::JobAnswer { request, verdict }));
                    }
                }
                other => cell.writer.push(now_ms, other),
            }
        }
        for (asker, reply) in replies {
            self.send(asker.seat, reply);
        }
    }

    /// Acts on records that now stand in the log, if this member still may.
    fn take_effect(&mut self, number: u16, records: Vec<Record>) {
        if records.is_empty() || self.acts_until_ms().is_none() {
            return;
        }
        if let Some(cell) = self.keys.get_mut(&number) {
            cell.since_carried += records.len() as u64;
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
                } => {
                    self.eviction_stands(number, &id, attempt, checkpoint);
                }
                Record::Ended { id, attempt, end } => self.end_stands(number, &id, attempt, end),
                _ => {}
            }
        }
    }

    fn intent_stands(&mut self, number: u16, identity: u128, fingerprint: u64) {
        let now_ms = self.now_ms;
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let Some((asker, request)) = cell.intent_askers.get(&identity).copied() else {
            // Its caller gave up meanwhile; the record of that follows.
            return;
        };
        cell.identities.begin(now_ms, identity, fingerprint);
        let verdict = IntentVerdict::Go;
        self.send(asker.seat, Message::IntentAnswer { request, verdict });
    }

    fn acceptance_stands(&mut self, number: u16, spec: &JobSpec) {
        let now_ms = self.now_ms;
        let is_urgent = self.is_urgent(&spec.job);
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        if let Some((key, _)) = cell.jobs.find(&spec.id) {
            cell.jobs.queue(now_ms, key, is_urgent, false);
        }
        if let Some((asker, request)) = cell.job_askers.remove(&spec.id) {
            let verdict = JobVerdict::Accepted(JobState::Queued);
            self.send(asker.seat, Message::JobAnswer { request, verdict });
        }
        self.note(Code::JobAccepted, &*spec.id, &*spec.job);
    }

    fn is_urgent(&self, job: &str) -> bool {
        self.config
            .inventory()
            .jobs
            .get(job)
            .is_some_and(|job| job.urgent)
    }

    fn assignment_stands(&mut self, number: u16, id: &str, attempt: u32, workers: Cell) {
        let Some(key) = self.job_key(number, id) else {
            return;
        };
        self.note(
            Code::JobAssigned,
            id,
            format!("attempt {attempt}, {workers}"),
        );
        self.order_start_of(number, key, workers, false);
    }

    fn job_key(&self, number: u16, id: &str) -> Option<JobKey> {
        let cell = self.keys.get(&number)?;
        cell.jobs.find(id).map(|(key, _)| key)
    }

    fn order_start_of(&mut self, number: u16, key: JobKey, workers: Cell, is_repeat: bool) {
        let now_ms = self.now_ms;
        let Some((order, is_urgent)) = self.order_of(number, key, 0) else {
            return;
        };
        if let Some(cell) = self.keys.get_mut(&number) {
            let state = JobState::Starting {
                cell: workers,
                asked_ms: now_ms,
            };
            cell.jobs.set_state(key, state);
        }
        let start = Message::Start {
            home: Cell::Keys(number),
            cell: workers,
            order,
            is_urgent,
            is_repeat,
        };
        self.send_to_owner(workers, start);
    }

    /// Writes the order for a job's attempt, `ahead` of its latest one.
    fn order_of(&self, number: u16, key: JobKey, ahead: u32) -> Option<(TaskOrder, bool)> {
        let job = self.keys.get(&number)?.jobs.get(key)?;
        let kind = self.config.inventory().jobs.get(&job.spec.job)?;
        let order = TaskOrder {
            attempt: AttemptId {
                id: job.spec.id.clone(),
                attempt: job.attempt + ahead,
            },
            job: job.spec.job.clone(),
            need: kind.need,
            checkpoint: job.checkpoint,
        };
        Some((order, kind.urgent))
    }

    fn eviction_stands(&mut self, number: u16, id: &str, attempt: u32, checkpoint: u64) {
        let now_ms = self.now_ms;
        let Some(key) = self.job_key(number, id) else {
            return;
        };
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let Some(job) = cell.jobs.get(key).map(|job| job.spec.job.clone()) else {
            return;
        };
        let is_urgent = self.is_urgent(&job);
        if let Some(cell) = self.keys.get_mut(&number) {
            cell.jobs.evicted(now_ms, key, checkpoint, is_urgent);
        }
        self.note(
            Code::JobEvicted,
            id,
            format!("attempt {attempt}, checkpoint {checkpoint}"),
        );
        self.note_report(number, key, id, attempt);
    }

    fn end_stands(&mut self, number: u16, id: &str, attempt: u32, end: JobEnd) {
        let now_ms = self.now_ms;
        let Some(key) = self.job_key(number, id) else {
            return;
        };
        if let Some(cell) = self.keys.get_mut(&number) {
            cell.jobs.end(now_ms, key, end);
            cell.failures.remove(&key);
        }
        self.note(Code::JobEnded, id, format!("{end:?}"));
        self.note_report(number, key, id, attempt);
        if let Some(cell) = self.keys.get_mut(&number) {
            cell.last_cell.remove(&key);
        }
    }

    /// Tells the cell of workers that an attempt's end stands in the log.
    fn note_report(&mut self, number: u16, key: JobKey, id: &str, attempt: u32) {
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let Some(workers) = cell.last_cell.get(&key).copied() else {
            return;
        };
        let attempt = AttemptId {
            id: id.into(),
            attempt,
        };
        let noted = Message::ReportNoted {
            cell: workers,
            attempt,
        };
        self.send_to_owner(workers, noted);
    }

    pub(super) fn receive_as_key_owner(&mut self, from: Member, message: Message) {
        match message {
            Message::IntentAsk {
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
                    self.send(from.seat, Message::IntentAnswer { request, verdict });
                }
                self.step_writer(Stream::Keys(number));
            }
            Message::IntentEnd {
                cell,
                identity,
                outcome,
                status,
            } => self.end_intent(from, cell, identity, outcome, status),
            Message::JobAsk {
                cell,
                request,
                spec,
            } => {
                let Some(number) = self.open_number(cell) else {
                    self.send(from.seat, Message::NotOwner { cell, request });
                    return;
                };
                if let Some(verdict) = self.ask_job(number, from, request, &spec) {
                    self.send(from.seat, Message::JobAnswer { request, verdict });
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
            Message::Report {
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

    fn ask_intent(
        &mut self,
        number: u16,
        from: Member,
        request: u64,
        identity: u128,
        fingerprint: u64,
    ) -> Option<IntentVerdict> {
        let now_ms = self.now_ms;
        let is_away = self.claims_log.is_away();
        let cell = self.keys.get_mut(&number)?;
        let is_same = cell.intent_askers.get(&identity) == Some(&(from, request));
        match cell.identities.admit(now_ms, identity, fingerprint) {
            Admission::Conflict => Some(IntentVerdict::Conflict),
            // The asker did not hear the first answer.
            Admission::Known(State::Recording) if is_same => None,
            Admission::Known(State::Begun) if is_same => Some(IntentVerdict::Go),
            Admission::Known(State::Recording | State::Begun) => Some(IntentVerdict::Begun),
            Admission::Known(State::Ended { outcome, status }) => {
                Some(IntentVerdict::Ended { outcome, status })
            }
            Admission::New if is_away => {
                cell.identities.withdraw(identity);
                let retry_after_ms = LOG_AWAY_RETRY_MS;
                Some(IntentVerdict::Refused { retry_after_ms })
            }
            Admission::New => {
                cell.intent_askers.insert(identity, (from, request));
                let record = Record::Intent {
                    identity,
                    fingerprint,
                };
                cell.writer.push(now_ms, record);
                None
            }
        }
    }

    /// Notes how a request with an identity ended. After a take-over the owner
    /// does not know who asked; then whoever was let go says how it ended.
    fn end_intent(
        &mut self,
        from: Member,
        cell: Cell,
        identity: u128,
        outcome: Outcome,
        status: u16,
    ) {
        let (now_ms, limits) = (self.now_ms, self.limits.clone());
        let Cell::Keys(number) = cell else {
            return;
        };
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let asker = cell.intent_askers.get(&identity);
        if asker.is_some_and(|(asker, _)| *asker != from) {
            return;
        }
        if asker.is_none() && cell.identities.state(identity) != Some(State::Begun) {
            return;
        }
        cell.intent_askers.remove(&identity);
        cell.identities.end(identity, outcome, status);
        let record = Record::IntentEnded {
            identity,
            outcome,
            status,
        };
        cell.writer.push_lazily(now_ms, record, &limits);
    }

    fn ask_job(
        &mut self,
        number: u16,
        from: Member,
        request: u64,
        spec: &JobSpec,
    ) -> Option<JobVerdict> {
        let now_ms = self.now_ms;
        let is_away = self.claims_log.is_away();
        let cell = self.keys.get_mut(&number)?;
        match cell.jobs.submit(now_ms, spec) {
            Submitted::Known(JobState::Accepting) => {
                cell.job_askers.insert(spec.id.clone(), (from, request));
                None
            }
            Submitted::Known(state) => Some(JobVerdict::Accepted(state)),
            Submitted::New(_) if is_away => {
                cell.jobs.withdraw(&spec.id);
                let retry_after_ms = LOG_AWAY_RETRY_MS;
                Some(JobVerdict::Refused { retry_after_ms })
            }
            Submitted::New(_) => {
                cell.job_askers.insert(spec.id.clone(), (from, request));
                cell.writer.push(now_ms, Record::Accepted(spec.clone()));
                None
            }
        }
    }

    fn reserved(
        &mut self,
        home: Cell,
        workers: Cell,
        attempt: &AttemptId,
        is_held: bool,
        free_millicores: u32,
    ) {
        let now_ms = self.now_ms;
        self.hints.entry(workers).or_default().free = free_millicores;
        let job = self.open_number(home).and_then(|number| {
            let key = self.job_key(number, &attempt.id)?;
            Some((number, key))
        });
        let Some((number, key)) = job else {
            self.unreserve(workers, attempt, is_held);
            return;
        };
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let job = cell.jobs.get(key);
        let is_awaited = job.is_some_and(|job| {
            let asked = matches!(job.state, JobState::Reserving { cell, .. } if cell == workers);
            asked && job.attempt + 1 == attempt.attempt
        });
        if !is_awaited {
            self.unreserve(workers, attempt, is_held);
            return;
        }
        cell.reserving = cell.reserving.saturating_sub(1);
        if !is_held {
            let job = cell
                .jobs
                .get(key)
                .map(|job| job.spec.job.clone())
                .unwrap_or_default();
            let is_urgent = self.is_urgent(&job);
            if let Some(cell) = self.keys.get_mut(&number) {
                cell.jobs.refused(now_ms, key, is_urgent);
            }
            return;
        }
        let number_of_attempt = cell.jobs.begin_attempt(key);
        cell.jobs
            .set_state(key, JobState::Assigning { cell: workers });
        let record = Record::Assigned {
            id: attempt.id.clone(),
            attempt: number_of_attempt,
            cell: workers,
        };
        cell.writer.push(now_ms, record);
    }

    fn unreserve(&mut self, cell: Cell, attempt: &AttemptId, is_held: bool) {
        if is_held {
            let attempt = attempt.clone();
            self.send_to_owner(cell, Message::Unreserve { cell, attempt });
        }
    }

    /// A cell of workers says that an attempt runs or has ended.
    fn reported(&mut self, home: Cell, workers: Cell, attempt: &AttemptId, end: Option<TaskEnd>) {
        let now_ms = self.now_ms;
        let Some(number) = self.open_number(home) else {
            return;
        };
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let Some((key, job)) = cell.jobs.find(&attempt.id) else {
            self.noted(workers, attempt, end.is_some());
            return;
        };
        let (state, latest, name) = (job.state, job.attempt, job.spec.job.clone());
        let is_open = matches!(state, JobState::Starting { .. } | JobState::Running { .. });
        if attempt.attempt < latest || (!is_open && state != JobState::Recording) {
            // Its end stands in the log already: a late or repeated report.
            self.noted(workers, attempt, end.is_some());
            return;
        }
        if !is_open {
            return;
        }
        cell.last_cell.insert(key, workers);
        let Some(end) = end else {
            if matches!(state, JobState::Starting { .. }) {
                cell.jobs
                    .set_state(key, JobState::Running { cell: workers });
                self.note(
                    Code::JobStarted,
                    &*attempt.id,
                    format!("attempt {}", attempt.attempt),
                );
            }
            return;
        };
        let is_never_twice = self.config.inventory().jobs.get(&name);
        let is_never_twice = is_never_twice.is_some_and(|job| job.never_twice);
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let record = record_of(cell, key, attempt, end, is_never_twice);
        cell.jobs.set_state(key, JobState::Recording);
        cell.writer.push(now_ms, record);
    }

    fn noted(&mut self, cell: Cell, attempt: &AttemptId, is_end: bool) {
        if is_end {
            let attempt = attempt.clone();
            self.send_to_owner(cell, Message::ReportNoted { cell, attempt });
        }
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

    /// Asks cells of workers for room for the jobs whose turn it is.
    fn look_for_room(&mut self, number: u16) {
        let now_ms = self.now_ms;
        let is_away = self.claims_log.is_away();
        loop {
            let Some(cell) = self.keys.get_mut(&number) else {
                return;
            };
            if !cell.is_open || is_away || cell.reserving >= RESERVING {
                return;
            }
            let Some(key) = cell.jobs.next(now_ms, self.config.inventory()) else {
                return;
            };
            let Some((order, is_urgent)) = self.order_of(number, key, 1) else {
                return;
            };
            let workers = self.choose_workers(number, key, &order.job, is_urgent);
            let Some(cell) = self.keys.get_mut(&number) else {
                return;
            };
            let Some(workers) = workers else {
                cell.jobs.refused(now_ms, key, is_urgent);
                continue;
            };
            cell.reserving += 1;
            cell.last_cell.insert(key, workers);
            let state = JobState::Reserving {
                cell: workers,
                asked_ms: now_ms,
            };
            cell.jobs.set_state(key, state);
            let reserve = Message::Reserve {
                home: Cell::Keys(number),
                cell: workers,
                order,
                is_urgent,
            };
            self.send_to_owner(workers, reserve);
        }
    }

    /// Picks a cell of workers: of a few drawn at random the one with most room by
    /// the latest hint. The cost does not grow with the fleet. Urgent work that was
    /// refused goes back to the cell that is making room for it.
    fn choose_workers(
        &mut self,
        number: u16,
        key: JobKey,
        job: &str,
        is_urgent: bool,
    ) -> Option<Cell> {
        const TURNS_AT_ONE_CELL: u32 = 16;
        let entry = self.keys.get(&number)?;
        let refusals = entry.jobs.get(key)?.refusals;
        let last = entry.last_cell.get(&key).copied();
        if is_urgent
            && refusals % TURNS_AT_ONE_CELL != 0
            && let Some(last) = last
        {
            return Some(last);
        }
        let cells = self.runnable.cells(job);
        let mut best: Option<(u32, Cell)> = None;
        for _ in 0..SAMPLED.min(cells.len()) {
            let cell = cells[self.random.random_range(0..cells.len())];
            if self.claims.owner(cell).is_none() {
                continue;
            }
            let hint = self.hints.get(&cell);
            let free = hint.map_or(u32::MAX, |hint| hint.free);
            if best.is_none_or(|(most, _)| free > most) {
                best = Some((free, cell));
            }
        }
        best.map(|(_, cell)| cell)
    }

    pub(super) fn tick_keys_slow(&mut self) {
        let now_ms = self.now_ms;
        self.ask_again_for_jobs();
        self.carry_shared();
        let window_ms = self.limits.identity_window_ms;
        for number in self.keys.keys().copied().collect::<Vec<u16>>() {
            if self.claims_log.is_away() {
                self.refuse_unsent(number);
            }
            self.chase_overdue(number);
            let Some(cell) = self.keys.get_mut(&number) else {
                continue;
            };
            cell.identities.forget(now_ms, window_ms);
            cell.jobs.forget(now_ms, window_ms);
            self.carry_keys(number);
        }
    }

    /// Asks again where a cell of workers has not answered.
    fn chase_overdue(&mut self, number: u16) {
        let now_ms = self.now_ms;
        if self.open_number(Cell::Keys(number)).is_none() {
            return;
        }
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        for key in cell.jobs.overdue(now_ms, ANSWER_MS) {
            let state = self.keys.get(&number).and_then(|cell| cell.jobs.get(key));
            match state.map(|job| (job.state, job.spec.job.clone())) {
                Some((JobState::Starting { cell, .. }, _)) => {
                    self.order_start_of(number, key, cell, true);
                }
                Some((JobState::Reserving { .. }, job)) => {
                    let is_urgent = self.is_urgent(&job);
                    if let Some(cell) = self.keys.get_mut(&number) {
                        cell.reserving = cell.reserving.saturating_sub(1);
                        cell.jobs.refused(now_ms, key, is_urgent);
                    }
                }
                _ => {}
            }
        }
    }

    /// Carries a cell's state forward, when nothing is on its way.
    fn carry_keys(&mut self, number: u16) {
        let (now_ms, limits) = (self.now_ms, self.limits.clone());
        let may_act = self.acts_until_ms().is_some();
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let is_due = cell.since_carried >= limits.carry_records
            || now_ms >= cell.carried_ms + limits.carry_ms;
        if !may_act || !cell.is_open || !is_due || cell.writer.waiting() > 0 {
            return;
        }
        cell.since_carried = 0;
        cell.carried_ms = now_ms;
        let mut records = vec![Record::Carried];
        for (identity, fingerprint, state) in cell.identities.list() {
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
        records.extend(cell.jobs.carry());
        cell.writer.push_alone(records);
        self.note(Code::StateCarried, format!("keys-{number}"), "");
    }

    /// Takes a job from a caller of this entry host.
    pub(super) fn submit(&mut self, request: u64, spec: JobSpec) {
        const PATIENCE_MS: u64 = 5_000;
        if !self.config.inventory().jobs.contains_key(&spec.job) {
            self.answer(request, Answer::NotListed);
            return;
        }
        if let Some(reason) = self.runnable.reason(&spec.job) {
            self.answer(request, Answer::NeverRuns { reason });
            return;
        }
        if self.acts_until_ms().is_none() {
            let reason = "this entry host may not act now";
            self.answer(
                request,
                Answer::NotRun {
                    reason,
                    retry_after_ms: NO_OWNER_RETRY_MS,
                },
            );
            return;
        }
        let submission = Submission {
            spec,
            asked_ms: self.now_ms,
            deadline_ms: self.now_ms + PATIENCE_MS,
        };
        self.ask_for_job(request, &submission.spec);
        self.submissions.insert(request, submission);
    }

    fn ask_for_job(&mut self, request: u64, spec: &JobSpec) {
        let cell = Cell::keys(team_of(&spec.id), self.limits.key_cells);
        let ask = Message::JobAsk {
            cell,
            request,
            spec: spec.clone(),
        };
        self.send_to_owner(cell, ask);
    }

    /// Asks again for submissions that went unanswered; gives up at the deadline.
    /// Whether such a job was accepted is not known then: the caller submits it
    /// again under the same identity to learn it.
    fn ask_again_for_jobs(&mut self) {
        let now_ms = self.now_ms;
        let due = self
            .submissions
            .iter_mut()
            .filter(|(_, entry)| now_ms >= entry.asked_ms + ANSWER_MS);
        let mut again = Vec::new();
        for (request, entry) in due {
            entry.asked_ms = now_ms;
            again.push((*request, entry.spec.clone(), now_ms >= entry.deadline_ms));
        }
        for (request, spec, is_over) in again {
            if is_over {
                self.submissions.remove(&request);
                let reason = "no owner of the job's cell has answered; submit it again under the same identity";
                self.answer(request, Answer::Unknown { reason });
                continue;
            }
            self.ask_for_job(request, &spec);
        }
    }

    /// Takes what the owner of a job's cell answered.
    pub(super) fn job_answered(&mut self, request: u64, verdict: JobVerdict) {
        if self.submissions.remove(&request).is_none() {
            return;
        }
        let answer = match verdict {
            JobVerdict::Accepted(state) => Answer::Job { state },
            JobVerdict::Refused { retry_after_ms } => Answer::NotRun {
                reason: "the log does not answer",
                retry_after_ms,
            },
        };
        self.answer(request, answer);
    }
}

/// Applies a batch of an earlier owner.
fn apply_batch(now_ms: u64, cell: &mut KeyCell, records: &[Record]) {
    if records.first() == Some(&Record::Carried) {
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

/// Decides what the end of an attempt means for its job.
fn record_of(
    cell: &mut KeyCell,
    key: JobKey,
    attempt: &AttemptId,
    end: TaskEnd,
    is_never_twice: bool,
) -> Record {
    let id = attempt.id.clone();
    let number = attempt.attempt;
    let ended = |end: JobEnd| Record::Ended {
        id: id.clone(),
        attempt: number,
        end,
    };
    let evicted = |checkpoint: u64| Record::Evicted {
        id: id.clone(),
        attempt: number,
        checkpoint,
    };
    match end {
        TaskEnd::Finished => ended(JobEnd::Finished),
        TaskEnd::Evicted { checkpoint } => evicted(checkpoint),
        TaskEnd::NotStarted => evicted(0),
        TaskEnd::Lost if is_never_twice => ended(JobEnd::Unknown),
        TaskEnd::Lost => evicted(0),
        TaskEnd::Failed if is_never_twice => ended(JobEnd::Failed),
        TaskEnd::Failed => {
            let failures = cell.failures.entry(key).or_default();
            *failures += 1;
            if *failures >= FAILURES {
                ended(JobEnd::Failed)
            } else {
                evicted(0)
            }
        }
    }
}
