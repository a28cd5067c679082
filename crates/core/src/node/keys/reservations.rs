//! Reservation of workers' resources for queued jobs.

use super::super::Node;
use crate::ids::Cell;
use crate::jobs::JobKey;
use crate::jobs::JobState;
use crate::message::Message;
use crate::placement::AttemptId;
use crate::record::Record;
use rand::RngExt;

/// Maximum number of jobs per cell of keys that wait for an answer to a reservation.
const MAX_PENDING_RESERVATIONS: usize = 256;

/// Number of randomly drawn cells of workers whose hints are compared before one is asked.
const SAMPLED_CELLS: usize = 4;

impl Node {
    /// Handles the answer of a cell of workers to a reservation: assigns the job if resources are
    /// reserved. Cancels a reservation that no job waits for any more.
    pub(super) fn handle_reserved(
        &mut self,
        home: Cell,
        worker_cell: Cell,
        attempt: &AttemptId,
        is_held: bool,
        free_millicores: u32,
    ) {
        let now_ms = self.now_ms;
        self.hints.entry(worker_cell).or_default().free = free_millicores;
        let job = self.open_number(home).and_then(|number| {
            let key = self.job_key(number, &attempt.id)?;
            Some((number, key))
        });
        let Some((number, key)) = job else {
            self.unreserve(worker_cell, attempt, is_held);
            return;
        };
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let job = cell.jobs.get(key);
        let is_awaited = job.is_some_and(|job| {
            let asked =
                matches!(job.state, JobState::Reserving { cell, .. } if cell == worker_cell);
            asked && job.attempt + 1 == attempt.attempt
        });
        if !is_awaited {
            self.unreserve(worker_cell, attempt, is_held);
            return;
        }
        if !is_held {
            self.handle_refused_reservation(number, key);
            return;
        }
        cell.pending_reservations = cell.pending_reservations.saturating_sub(1);
        let attempt_number = cell.jobs.begin_attempt(key);
        cell.jobs
            .set_state(key, JobState::Assigning { cell: worker_cell });
        let record = Record::Assigned {
            id: attempt.id.clone(),
            attempt: attempt_number,
            cell: worker_cell,
        };
        cell.writer.push(now_ms, record);
    }

    /// Queues a job again, after a delay, for which a cell of workers had no resources or gave no
    /// answer.
    pub(super) fn handle_refused_reservation(&mut self, number: u16, key: JobKey) {
        let now_ms = self.now_ms;
        let is_urgent = self.is_urgent_job(number, key);
        if let Some(cell) = self.keys.get_mut(&number) {
            cell.pending_reservations = cell.pending_reservations.saturating_sub(1);
            cell.jobs.requeue_refused(now_ms, key, is_urgent);
        }
    }

    /// Cancels a reservation, if resources are reserved for it.
    pub(super) fn unreserve(&mut self, cell: Cell, attempt: &AttemptId, is_held: bool) {
        if is_held {
            let attempt = attempt.clone();
            self.send_to_owner(cell, Message::Unreserve { cell, attempt });
        }
    }

    /// Asks cells of workers to reserve resources for the next jobs of the queue.
    pub(super) fn request_resources(&mut self, number: u16) {
        let now_ms = self.now_ms;
        let is_unavailable = self.claims_log.is_unavailable();
        loop {
            let Some(cell) = self.keys.get_mut(&number) else {
                return;
            };
            if !cell.is_open
                || is_unavailable
                || cell.pending_reservations >= MAX_PENDING_RESERVATIONS
            {
                return;
            }
            let Some(key) = cell.jobs.next_job(now_ms, self.config.inventory()) else {
                return;
            };
            let Some((order, is_urgent)) = self.make_order(number, key, 1) else {
                return;
            };
            let worker_cell = self.choose_worker_cell(number, key, &order.job, is_urgent);
            let Some(cell) = self.keys.get_mut(&number) else {
                return;
            };
            let Some(worker_cell) = worker_cell else {
                cell.jobs.requeue_refused(now_ms, key, is_urgent);
                continue;
            };
            cell.pending_reservations += 1;
            cell.last_worker_cell.insert(key, worker_cell);
            let state = JobState::Reserving {
                cell: worker_cell,
                asked_ms: now_ms,
            };
            cell.jobs.set_state(key, state);
            let reserve = Message::Reserve {
                home: Cell::Keys(number),
                cell: worker_cell,
                order,
                is_urgent,
            };
            self.send_to_owner(worker_cell, reserve);
        }
    }

    /// Returns the cell of workers with the most free resources by the latest hints, of
    /// [`SAMPLED_CELLS`] drawn at random, so that the cost does not grow with the fleet.
    ///
    /// An urgent job that was refused returns to the same cell, which evicts other work for it.
    pub(super) fn choose_worker_cell(
        &mut self,
        number: u16,
        key: JobKey,
        job: &str,
        is_urgent: bool,
    ) -> Option<Cell> {
        const MAX_TURNS_AT_ONE_CELL: u32 = 16;
        let entry = self.keys.get(&number)?;
        let refusals = entry.jobs.get(key)?.refusals;
        let last = entry.last_worker_cell.get(&key).copied();
        if is_urgent
            && refusals % MAX_TURNS_AT_ONE_CELL != 0
            && let Some(last) = last
        {
            return Some(last);
        }
        let cells = self.runnable.cells(job);
        let mut best: Option<(u32, Cell)> = None;
        for _ in 0..SAMPLED_CELLS.min(cells.len()) {
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
}
