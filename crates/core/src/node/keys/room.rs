//! Looking for room for the jobs whose turn it is.

use super::super::Node;
use crate::ids::Cell;
use crate::jobs::JobKey;
use crate::jobs::JobState;
use crate::message::Message;
use crate::placement::AttemptId;
use crate::record::Record;
use rand::RngExt;

/// Jobs that look for room at a time, per cell of keys.
const RESERVING: usize = 256;

/// Cells of workers that are compared by their hints before one is asked.
const SAMPLED: usize = 4;

impl Node {
    pub(super) fn reserved(
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
        if !is_held {
            self.room_refused(number, key);
            return;
        }
        cell.reserving = cell.reserving.saturating_sub(1);
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

    /// Lets a job rest for which a cell of workers had no room, or no answer.
    pub(super) fn room_refused(&mut self, number: u16, key: JobKey) {
        let now_ms = self.now_ms;
        let is_urgent = self.is_urgent_job(number, key);
        if let Some(cell) = self.keys.get_mut(&number) {
            cell.reserving = cell.reserving.saturating_sub(1);
            cell.jobs.requeue_refused(now_ms, key, is_urgent);
        }
    }

    pub(super) fn unreserve(&mut self, cell: Cell, attempt: &AttemptId, is_held: bool) {
        if is_held {
            let attempt = attempt.clone();
            self.send_to_owner(cell, Message::Unreserve { cell, attempt });
        }
    }

    /// Asks cells of workers for room for the jobs whose turn it is.
    pub(super) fn look_for_room(&mut self, number: u16) {
        let now_ms = self.now_ms;
        let is_away = self.claims_log.is_unavailable();
        loop {
            let Some(cell) = self.keys.get_mut(&number) else {
                return;
            };
            if !cell.is_open || is_away || cell.reserving >= RESERVING {
                return;
            }
            let Some(key) = cell.jobs.next_job(now_ms, self.config.inventory()) else {
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
                cell.jobs.requeue_refused(now_ms, key, is_urgent);
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
    pub(super) fn choose_workers(
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
}
