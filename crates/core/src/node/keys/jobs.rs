//! Jobs at the owner of their cell of keys.
//!
//! Each change of a job is committed to the log before it is acted on. Changes come from
//! submissions and from what cells of workers report about attempts.

use super::super::Node;
use super::ANSWER_TIMEOUT_MS;
use super::KeyCell;
use super::LOG_UNAVAILABLE_RETRY_MS;
use super::MAX_CRASHES;
use super::MAX_FAILURES;
use crate::ids::Cell;
use crate::ids::Member;
use crate::jobs::JobKey;
use crate::jobs::JobState;
use crate::jobs::Submission as Submitted;
use crate::message::JobVerdict;
use crate::message::Message;
use crate::notes::Code;
use crate::placement::AttemptId;
use crate::placement::TaskEnd;
use crate::placement::TaskOrder;
use crate::record::FailureCounts;
use crate::record::JobEnd;
use crate::record::JobSpec;
use crate::record::Record;

impl Node {
    /// Cancels waiting jobs whose kind is no longer in the inventory.
    pub(in crate::node) fn cancel_unlisted(&mut self, number: u16) {
        let now_ms = self.now_ms;
        let Some(cell) = self.keys.get_mut(&number).filter(|cell| cell.is_open) else {
            return;
        };
        for key in cell.jobs.remove_unlisted(self.config.inventory()) {
            let Some(job) = cell.jobs.get(key) else {
                continue;
            };
            let record = Record::Ended {
                id: job.spec.id.clone(),
                attempt: job.attempt,
                end: JobEnd::Cancelled,
            };
            cell.writer.push(now_ms, record);
        }
    }

    /// Returns whether a job of this cell is urgent and goes before others.
    pub(super) fn is_urgent_job(&self, number: u16, key: JobKey) -> bool {
        let job = self.keys.get(&number).and_then(|cell| cell.jobs.get(key));
        job.is_some_and(|job| self.is_urgent(&job.spec.job))
    }

    /// Queues a job whose acceptance is committed and answers its requester.
    pub(super) fn apply_acceptance(&mut self, number: u16, spec: &JobSpec) {
        let now_ms = self.now_ms;
        let is_urgent = self.is_urgent(&spec.job);
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        if let Some((key, _)) = cell.jobs.find(&spec.id) {
            cell.jobs.enqueue(now_ms, key, is_urgent, false);
        }
        if let Some((requester, request)) = cell.job_requesters.remove(&spec.id) {
            let verdict = JobVerdict::Accepted(JobState::Queued);
            self.send(requester.seat, Message::JobResponse { request, verdict });
        }
        self.note(Code::JobAccepted, &*spec.id, &*spec.job);
    }

    /// Orders the start of an attempt whose assignment is committed.
    pub(super) fn apply_assignment(
        &mut self,
        number: u16,
        id: &str,
        attempt: u32,
        worker_cell: Cell,
    ) {
        let Some(key) = self.job_key(number, id) else {
            return;
        };
        self.note(
            Code::JobAssigned,
            id,
            format!("attempt {attempt}, {worker_cell}"),
        );
        self.send_start_order(number, key, worker_cell, false);
    }

    /// Sends the order to start a job's latest attempt to a cell of workers.
    pub(super) fn send_start_order(
        &mut self,
        number: u16,
        key: JobKey,
        worker_cell: Cell,
        is_repeat: bool,
    ) {
        let now_ms = self.now_ms;
        let Some((order, is_urgent)) = self.make_order(number, key, 0) else {
            return;
        };
        if let Some(cell) = self.keys.get_mut(&number) {
            let state = JobState::Starting {
                cell: worker_cell,
                asked_ms: now_ms,
            };
            cell.jobs.set_state(key, state);
        }
        let start = Message::Start {
            home: Cell::Keys(number),
            cell: worker_cell,
            order,
            is_urgent,
            is_repeat,
        };
        self.send_to_owner(worker_cell, start);
    }

    /// Returns the order for a job's attempt and whether the job is urgent; the attempt's number
    /// is `ahead` above the latest one.
    pub(super) fn make_order(
        &self,
        number: u16,
        key: JobKey,
        ahead: u32,
    ) -> Option<(TaskOrder, bool)> {
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

    /// Queues a job again whose eviction is committed.
    pub(super) fn apply_eviction(
        &mut self,
        number: u16,
        id: &str,
        attempt: u32,
        checkpoint: u64,
        failure_counts: FailureCounts,
    ) {
        let now_ms = self.now_ms;
        let Some(key) = self.job_key(number, id) else {
            return;
        };
        let is_urgent = self.is_urgent_job(number, key);
        if let Some(cell) = self.keys.get_mut(&number) {
            cell.jobs
                .requeue_evicted(now_ms, key, checkpoint, failure_counts, is_urgent);
        }
        self.note(
            Code::JobEvicted,
            id,
            format!("attempt {attempt}, checkpoint {checkpoint}"),
        );
        self.acknowledge_recorded_update(number, key, id, attempt);
    }

    /// Ends a job whose end is committed.
    pub(super) fn apply_end(&mut self, number: u16, id: &str, attempt: u32, end: JobEnd) {
        let now_ms = self.now_ms;
        let Some(key) = self.job_key(number, id) else {
            return;
        };
        if let Some(cell) = self.keys.get_mut(&number) {
            cell.jobs.end(now_ms, key, end);
        }
        self.note(Code::JobEnded, id, format!("{end:?}"));
        self.acknowledge_recorded_update(number, key, id, attempt);
        if let Some(cell) = self.keys.get_mut(&number) {
            cell.last_worker_cell.remove(&key);
        }
    }

    /// Acknowledges to the cell of workers that an attempt's end is committed.
    pub(super) fn acknowledge_recorded_update(
        &mut self,
        number: u16,
        key: JobKey,
        id: &str,
        attempt: u32,
    ) {
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let Some(worker_cell) = cell.last_worker_cell.get(&key).copied() else {
            return;
        };
        let attempt = AttemptId {
            id: id.into(),
            attempt,
        };
        let acknowledge_update = Message::TaskUpdateRecorded {
            cell: worker_cell,
            attempt,
        };
        self.send_to_owner(worker_cell, acknowledge_update);
    }

    /// Accepts a submitted job, or returns the verdict that is already known.
    ///
    /// Returns `None` if the acceptance is being recorded: the answer is sent once it is committed.
    pub(super) fn handle_job_request(
        &mut self,
        number: u16,
        from: Member,
        request: u64,
        spec: &JobSpec,
    ) -> Option<JobVerdict> {
        let now_ms = self.now_ms;
        let is_unavailable = self.claims_log.is_unavailable();
        let cell = self.keys.get_mut(&number)?;
        match cell.jobs.submit(now_ms, spec) {
            Submitted::Known(JobState::Accepting) => {
                cell.job_requesters.insert(spec.id.clone(), (from, request));
                None
            }
            Submitted::Known(state) => Some(JobVerdict::Accepted(state)),
            Submitted::New(_) if is_unavailable => {
                cell.jobs.withdraw(&spec.id);
                let retry_after_ms = LOG_UNAVAILABLE_RETRY_MS;
                Some(JobVerdict::Refused { retry_after_ms })
            }
            Submitted::New(_) => {
                cell.job_requesters.insert(spec.id.clone(), (from, request));
                cell.writer.push(now_ms, Record::Accepted(spec.clone()));
                None
            }
        }
    }

    /// Handles the report of a cell of workers that an attempt runs or, with an `end`, has ended.
    pub(super) fn handle_task_update(
        &mut self,
        home: Cell,
        worker_cell: Cell,
        attempt: &AttemptId,
        end: Option<TaskEnd>,
    ) {
        let now_ms = self.now_ms;
        let Some(number) = self.open_number(home) else {
            return;
        };
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let Some((key, job)) = cell.jobs.find(&attempt.id) else {
            self.acknowledge_update(worker_cell, attempt, end.is_some());
            return;
        };
        let (state, latest, name) = (job.state, job.attempt, job.spec.job.clone());
        let is_open = matches!(state, JobState::Starting { .. } | JobState::Running { .. });
        if attempt.attempt < latest || (!is_open && !matches!(state, JobState::Recording { .. })) {
            // The end is committed already; the report is late or repeated.
            self.acknowledge_update(worker_cell, attempt, end.is_some());
            return;
        }
        if !is_open {
            return;
        }
        cell.last_worker_cell.insert(key, worker_cell);
        let Some(end) = end else {
            if matches!(state, JobState::Starting { .. }) {
                cell.jobs
                    .set_state(key, JobState::Running { cell: worker_cell });
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
        let record = make_end_record(cell, key, attempt, end, is_never_twice);
        cell.jobs
            .set_state(key, JobState::Recording { cell: worker_cell });
        cell.writer.push(now_ms, record);
    }

    /// Acknowledges a report of an end that needs no further record.
    pub(super) fn acknowledge_update(&mut self, cell: Cell, attempt: &AttemptId, is_end: bool) {
        if is_end {
            let attempt = attempt.clone();
            self.send_to_owner(cell, Message::TaskUpdateRecorded { cell, attempt });
        }
    }

    /// Repeats start orders that a cell of workers has not answered, and queues jobs again
    /// whose reservation it has not answered.
    pub(super) fn retry_overdue(&mut self, number: u16) {
        let now_ms = self.now_ms;
        if self.open_number(Cell::Keys(number)).is_none() {
            return;
        }
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        if cell.writer.has_pending_snapshot() {
            return;
        }
        let overdue = cell.jobs.overdue(now_ms, ANSWER_TIMEOUT_MS);
        let has_overdue = !overdue.is_empty();
        for key in overdue {
            let job = self.keys.get(&number).and_then(|cell| cell.jobs.get(key));
            match job.map(|job| job.state) {
                Some(JobState::Starting { cell, .. }) => {
                    self.send_start_order(number, key, cell, true);
                }
                Some(JobState::Reserving { .. }) => {
                    self.handle_refused_reservation(number, key);
                }
                _ => {}
            }
        }
        if has_overdue {
            // A job's kind may have left the inventory while the reservation was pending.
            self.cancel_unlisted(number);
        }
    }
}

/// Returns the record of what the end of an attempt means for its job.
fn make_end_record(
    cell: &KeyCell,
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
    let failure_counts = cell
        .jobs
        .get(key)
        .map_or(FailureCounts::default(), |job| job.failure_counts);
    let evicted = |checkpoint: u64, failure_counts: FailureCounts| Record::Evicted {
        id: id.clone(),
        attempt: number,
        checkpoint,
        failure_counts,
    };
    let again = |failure_counts: FailureCounts| match failure_counts.failures >= MAX_FAILURES
        || failure_counts.crashes >= MAX_CRASHES
    {
        true => ended(JobEnd::Failed),
        false => evicted(0, failure_counts),
    };
    match end {
        TaskEnd::Finished => ended(JobEnd::Finished),
        TaskEnd::Evicted { checkpoint } => evicted(checkpoint, failure_counts),
        TaskEnd::NotStarted => evicted(0, failure_counts),
        TaskEnd::Lost | TaskEnd::Forgotten if is_never_twice => ended(JobEnd::Unknown),
        // The job is not known to be the cause of a worker's silence, so no failure is counted.
        TaskEnd::Lost => evicted(0, failure_counts),
        TaskEnd::Forgotten => again(FailureCounts {
            crashes: failure_counts.crashes + 1,
            ..failure_counts
        }),
        TaskEnd::Failed if is_never_twice => ended(JobEnd::Failed),
        TaskEnd::Failed => again(FailureCounts {
            failures: failure_counts.failures + 1,
            ..failure_counts
        }),
    }
}
