//! Jobs at their home: what stands in the log, and what cells of workers report.

use super::super::Node;
use super::ANSWER_MS;
use super::CRASHES;
use super::FAILURES;
use super::KeyCell;
use super::LOG_AWAY_RETRY_MS;
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
    /// Cancels waiting jobs whose kind an operator has taken out of the inventory.
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

    /// Tells whether a job of this cell overtakes others.
    pub(super) fn is_urgent_job(&self, number: u16, key: JobKey) -> bool {
        let job = self.keys.get(&number).and_then(|cell| cell.jobs.get(key));
        job.is_some_and(|job| self.is_urgent(&job.spec.job))
    }

    pub(super) fn acceptance_stands(&mut self, number: u16, spec: &JobSpec) {
        let now_ms = self.now_ms;
        let is_urgent = self.is_urgent(&spec.job);
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        if let Some((key, _)) = cell.jobs.find(&spec.id) {
            cell.jobs.enqueue(now_ms, key, is_urgent, false);
        }
        if let Some((asker, request)) = cell.job_askers.remove(&spec.id) {
            let verdict = JobVerdict::Accepted(JobState::Queued);
            self.send(asker.seat, Message::JobResponse { request, verdict });
        }
        self.note(Code::JobAccepted, &*spec.id, &*spec.job);
    }

    pub(super) fn assignment_stands(&mut self, number: u16, id: &str, attempt: u32, workers: Cell) {
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

    pub(super) fn order_start_of(
        &mut self,
        number: u16,
        key: JobKey,
        workers: Cell,
        is_repeat: bool,
    ) {
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
    pub(super) fn order_of(
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

    pub(super) fn eviction_stands(
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

    pub(super) fn end_stands(&mut self, number: u16, id: &str, attempt: u32, end: JobEnd) {
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
            cell.last_cell.remove(&key);
        }
    }

    /// Tells the cell of workers that an attempt's end stands in the log.
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
        let Some(workers) = cell.last_cell.get(&key).copied() else {
            return;
        };
        let attempt = AttemptId {
            id: id.into(),
            attempt,
        };
        let acknowledge_update = Message::TaskUpdateRecorded {
            cell: workers,
            attempt,
        };
        self.send_to_owner(workers, acknowledge_update);
    }

    pub(super) fn ask_job(
        &mut self,
        number: u16,
        from: Member,
        request: u64,
        spec: &JobSpec,
    ) -> Option<JobVerdict> {
        let now_ms = self.now_ms;
        let is_away = self.claims_log.is_unavailable();
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

    /// A cell of workers says that an attempt runs or has ended.
    pub(super) fn reported(
        &mut self,
        home: Cell,
        workers: Cell,
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
            self.acknowledge_update(workers, attempt, end.is_some());
            return;
        };
        let (state, latest, name) = (job.state, job.attempt, job.spec.job.clone());
        let is_open = matches!(state, JobState::Starting { .. } | JobState::Running { .. });
        if attempt.attempt < latest || (!is_open && !matches!(state, JobState::Recording { .. })) {
            // Its end stands in the log already: a late or repeated report.
            self.acknowledge_update(workers, attempt, end.is_some());
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
        cell.jobs
            .set_state(key, JobState::Recording { cell: workers });
        cell.writer.push(now_ms, record);
    }

    pub(super) fn acknowledge_update(&mut self, cell: Cell, attempt: &AttemptId, is_end: bool) {
        if is_end {
            let attempt = attempt.clone();
            self.send_to_owner(cell, Message::TaskUpdateRecorded { cell, attempt });
        }
    }

    /// Asks again where a cell of workers has not answered.
    pub(super) fn chase_overdue(&mut self, number: u16) {
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
        let overdue = cell.jobs.overdue(now_ms, ANSWER_MS);
        let is_any_overdue = !overdue.is_empty();
        for key in overdue {
            let job = self.keys.get(&number).and_then(|cell| cell.jobs.get(key));
            match job.map(|job| job.state) {
                Some(JobState::Starting { cell, .. }) => {
                    self.order_start_of(number, key, cell, true);
                }
                Some(JobState::Reserving { .. }) => {
                    self.room_refused(number, key);
                }
                _ => {}
            }
        }
        if is_any_overdue {
            // Its kind may have gone while a cell of workers was asked.
            self.cancel_unlisted(number);
        }
    }
}

/// Decides what the end of an attempt means for its job.
fn record_of(
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
    let again = |failure_counts: FailureCounts| match failure_counts.failures >= FAILURES
        || failure_counts.crashes >= CRASHES
    {
        true => ended(JobEnd::Failed),
        false => evicted(0, failure_counts),
    };
    match end {
        TaskEnd::Finished => ended(JobEnd::Finished),
        TaskEnd::Evicted { checkpoint } => evicted(checkpoint, failure_counts),
        TaskEnd::NotStarted => evicted(0, failure_counts),
        TaskEnd::Lost | TaskEnd::Forgotten if is_never_twice => ended(JobEnd::Unknown),
        // A worker that can't be heard says nothing against the job.
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
