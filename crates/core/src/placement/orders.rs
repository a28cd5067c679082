//! Orders to start, and the ends of attempts.

use super::AVOID_MS;
use super::Contact;
use super::Host;
use super::HostKey;
use super::MAX_FAILURES;
use super::TOMBSTONE_MS;
use super::TaskKey;
use super::WorkerCell;
use super::types::AttemptId;
use super::types::Reservation;
use super::types::StartAnswer;
use super::types::StartOptions;
use super::types::TaskEnd;
use super::types::TaskOrder;
use super::types::TaskState;
use super::types::TaskUpdate;

impl WorkerCell {
    pub(super) fn evict_all(&mut self, key: HostKey) {
        for task in self.hosts[key].tasks.clone() {
            self.evict(task);
        }
    }

    /// Orders a running task to write a checkpoint and stop.
    pub(super) fn evict(&mut self, key: TaskKey) {
        let task = &mut self.tasks[key];
        if !matches!(task.state, TaskState::Running | TaskState::Starting) {
            return;
        }
        task.state = TaskState::Stopping;
        self.hosts[task.host].is_dirty = true;
    }

    /// Orders an attempt to start; the order may be repeated.
    ///
    /// The last check guards against this fault: a previous owner of the cell started
    /// the attempt on a host that has since restarted and does not know it; a
    /// repeated order would run it again. An attempt that is unknown to this owner
    /// therefore counts as lost if the order may have been given before. By then
    /// every host has reported or its lease has expired, which means that the attempt
    /// no longer runs.
    pub fn start(&mut self, now_ms: u64, order: TaskOrder, manner: StartOptions) -> StartAnswer {
        let is_first = !manner.is_repeat;
        match self.ended_attempts.get(&order.attempt) {
            // Its reservation has expired because the log was slow. It was never
            // started, and its home was not informed: a first order may still find
            // resources.
            Some(TaskEnd::NotStarted) if is_first && self.expired.remove(&order.attempt) => {
                self.ended_attempts.remove(&order.attempt);
            }
            Some(end) => {
                let end = *end;
                self.expired.remove(&order.attempt);
                return StartAnswer::Ended(end);
            }
            None => {}
        }
        if let Some(key) = self.by_attempt.get(&order.attempt).copied() {
            return self.start_known(key, order);
        }
        let is_unlisted = |host: &Host| host.contact == Contact::Unreported;
        if manner.is_repeat {
            return match self.hosts.values().any(is_unlisted) {
                true => StartAnswer::Wait,
                false => StartAnswer::Ended(TaskEnd::Lost),
            };
        }
        match self.reserve(now_ms, order.clone(), manner.is_urgent) {
            Reservation::Held => {
                let key = self.by_attempt[&order.attempt];
                self.start_known(key, order)
            }
            Reservation::Unavailable => {
                self.record_end(now_ms, order.attempt, TaskEnd::NotStarted);
                StartAnswer::Ended(TaskEnd::NotStarted)
            }
        }
    }

    /// Records how an attempt ended, for orders and reports that arrive late.
    pub(super) fn record_end(&mut self, now_ms: u64, attempt: AttemptId, end: TaskEnd) {
        self.ended_attempts.insert(attempt.clone(), end);
        self.tombstones.push_back((now_ms, attempt));
    }

    pub(super) fn start_known(&mut self, key: TaskKey, order: TaskOrder) -> StartAnswer {
        let task = &mut self.tasks[key];
        match task.state {
            TaskState::Reserved { .. } => {
                task.order = order;
                task.state = TaskState::Starting;
                self.hosts[task.host].is_dirty = true;
                StartAnswer::Starting
            }
            TaskState::Starting => StartAnswer::Starting,
            TaskState::Running | TaskState::Stopping => StartAnswer::Running,
            TaskState::Ended { end, .. } => StartAnswer::Ended(end),
            TaskState::Forgetting => StartAnswer::Wait,
        }
    }

    /// Handles that the home has recorded an attempt's end.
    pub fn acknowledge(&mut self, now_ms: u64, attempt: &AttemptId) {
        let Some(key) = self.by_attempt.get(attempt).copied() else {
            return;
        };
        let TaskState::Ended { end, .. } = self.tasks[key].state else {
            return;
        };
        self.record_end(now_ms, attempt.clone(), end);
        let host = self.tasks[key].host;
        if self.hosts[host].contact == Contact::Expired {
            self.remove(key);
            return;
        }
        self.tasks[key].state = TaskState::Forgetting;
        self.hosts[host].is_dirty = true;
    }

    pub(super) fn remove(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.remove(key) else {
            return;
        };
        self.by_attempt.remove(&task.order.attempt);
        let host = &mut self.hosts[task.host];
        host.tasks.retain(|other| *other != key);
        if !matches!(task.state, TaskState::Ended { .. } | TaskState::Forgetting) {
            host.booked = host.booked.minus(task.order.need);
        }
    }

    /// Ends a task, releases its resources and informs its home.
    pub(super) fn end(&mut self, now_ms: u64, key: TaskKey, end: TaskEnd) {
        let task = &mut self.tasks[key];
        if matches!(task.state, TaskState::Ended { .. } | TaskState::Forgetting) {
            return;
        }
        task.state = TaskState::Ended {
            end,
            told_ms: now_ms,
        };
        let host = &mut self.hosts[task.host];
        host.booked = host.booked.minus(task.order.need);
        match end {
            TaskEnd::Finished => host.failures = 0,
            TaskEnd::Failed => {
                host.failures += 1;
                if host.failures >= MAX_FAILURES {
                    let doublings = (host.failures - MAX_FAILURES).min(4);
                    host.avoided_until_ms = now_ms + (AVOID_MS << doublings);
                }
            }
            _ => {}
        }
        self.reports.push(TaskUpdate {
            attempt: task.order.attempt.clone(),
            end: Some(end),
        });
    }

    pub(super) fn expire(&mut self, now_ms: u64) {
        let mut stale = Vec::new();
        for (key, task) in &self.tasks {
            if let TaskState::Reserved { until_ms } = task.state
                && now_ms >= until_ms
            {
                stale.push(key);
            }
        }
        for key in stale {
            let attempt = self.tasks[key].order.attempt.clone();
            self.expired.insert(attempt.clone());
            self.record_end(now_ms, attempt, TaskEnd::NotStarted);
            self.remove(key);
        }
        let silence_ms =
            self.timing.lease_ms + self.timing.lease_ms * self.timing.skew_permille / 1_000;
        let lost: Vec<HostKey> = self
            .hosts
            .iter()
            .filter(|(_, host)| {
                let is_silent = now_ms >= host.renewed_ms + silence_ms;
                is_silent && host.contact != Contact::Expired
            })
            .map(|(key, _)| key)
            .collect();
        for key in lost {
            self.hosts[key].contact = Contact::Expired;
            for task in self.hosts[key].tasks.clone() {
                self.end(now_ms, task, TaskEnd::Lost);
            }
        }
        while let Some((since_ms, attempt)) = self.tombstones.front().cloned() {
            if now_ms < since_ms + TOMBSTONE_MS {
                break;
            }
            self.tombstones.pop_front();
            self.ended_attempts.remove(&attempt);
            self.expired.remove(&attempt);
        }
    }
}
