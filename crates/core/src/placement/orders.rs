//! Orders to start, and the ends of attempts.

use super::Contact;
use super::FAILURES_BORNE;
use super::Host;
use super::HostKey;
use super::SET_ASIDE_MS;
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

    /// Has a running task checkpointed and stopped.
    pub(super) fn evict(&mut self, key: TaskKey) {
        let task = &mut self.tasks[key];
        if !matches!(task.state, TaskState::Running | TaskState::Starting) {
            return;
        }
        task.state = TaskState::Stopping;
        self.hosts[task.host].is_dirty = true;
    }

    /// Orders an attempt to start; safe to repeat.
    ///
    /// What goes wrong without the last check: a former owner of the cell started
    /// the attempt on a host that has since restarted and remembers nothing; a
    /// repeated order would run it again. An attempt that this owner knows nothing
    /// of therefore counts as lost if the order may have been given before. By then
    /// every host was listed or its lease has lapsed, so it no longer runs.
    pub fn start(&mut self, now_ms: u64, order: TaskOrder, manner: StartOptions) -> StartAnswer {
        let is_first = !manner.is_repeat;
        match self.buried.get(&order.attempt) {
            // Its reservation ran out, since the log was slow. It was never started,
            // nor was its home told so: a first order may still find room.
            Some(TaskEnd::NotStarted) if is_first && self.expired.remove(&order.attempt) => {
                self.buried.remove(&order.attempt);
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
        let is_unlisted = |host: &Host| host.contact == Contact::Unlisted;
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
                self.bury(now_ms, order.attempt, TaskEnd::NotStarted);
                StartAnswer::Ended(TaskEnd::NotStarted)
            }
        }
    }

    /// Remembers how an attempt ended, for orders and reports that come late.
    pub(super) fn bury(&mut self, now_ms: u64, attempt: AttemptId, end: TaskEnd) {
        self.buried.insert(attempt.clone(), end);
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

    /// Notes that the home has recorded an attempt's end.
    pub fn acknowledge(&mut self, now_ms: u64, attempt: &AttemptId) {
        let Some(key) = self.by_attempt.get(attempt).copied() else {
            return;
        };
        let TaskState::Ended { end, .. } = self.tasks[key].state else {
            return;
        };
        self.bury(now_ms, attempt.clone(), end);
        let host = self.tasks[key].host;
        if self.hosts[host].contact == Contact::Lost {
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

    /// Moves a task to its end and frees its room.
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
                if host.failures >= FAILURES_BORNE {
                    let doublings = (host.failures - FAILURES_BORNE).min(4);
                    host.set_aside_until_ms = now_ms + (SET_ASIDE_MS << doublings);
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
            self.bury(now_ms, attempt, TaskEnd::NotStarted);
            self.remove(key);
        }
        let silence_ms = self.pace.lease_ms + self.pace.lease_ms * self.pace.skew_permille / 1_000;
        let lost: Vec<HostKey> = self
            .hosts
            .iter()
            .filter(|(_, host)| {
                let is_silent = now_ms >= host.renewed_ms + silence_ms;
                is_silent && host.contact != Contact::Lost
            })
            .map(|(key, _)| key)
            .collect();
        for key in lost {
            self.hosts[key].contact = Contact::Lost;
            for task in self.hosts[key].tasks.clone() {
                self.end(now_ms, task, TaskEnd::Lost);
            }
        }
        while let Some((since_ms, attempt)) = self.tombstones.front().cloned() {
            if now_ms < since_ms + TOMBSTONE_MS {
                break;
            }
            self.tombstones.pop_front();
            self.buried.remove(&attempt);
            self.expired.remove(&attempt);
        }
    }
}
