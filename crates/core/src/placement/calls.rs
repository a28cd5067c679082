//! Calls to workers, and the handling of their reports.

use super::CALLS_PER_TERM_BITS;
use super::Contact;
use super::HostKey;
use super::PendingCall;
use super::TaskKey;
use super::WorkerCell;
use super::cores_of;
use super::types::ReportedState;
use super::types::TaskEnd;
use super::types::TaskReport;
use super::types::TaskState;
use super::types::TaskUpdate;
use super::types::WorkerCall;
use super::types::WorkerReport;
use crate::ids::hash;
use crate::interference::Load;

impl WorkerCell {
    /// Expires reservations and leases; returns the calls that are due, with the host
    /// and address of each.
    pub fn tick(&mut self, now_ms: u64) -> Vec<(HostKey, Box<str>, WorkerCall)> {
        self.expire(now_ms);
        let mut calls = Vec::new();
        let due: Vec<HostKey> = self
            .hosts
            .iter()
            .filter(|(_, host)| {
                let is_due = host.is_dirty || now_ms >= host.next_call_ms;
                host.call.is_none() && is_due && !host.address.is_empty()
            })
            .map(|(key, _)| key)
            .collect();
        for key in due {
            let call = self.call(now_ms, key);
            calls.push((key, self.hosts[key].address.clone(), call));
        }
        calls
    }

    pub(super) fn call(&mut self, now_ms: u64, key: HostKey) -> WorkerCall {
        self.calls += 1;
        let token = (self.term.0 << CALLS_PER_TERM_BITS) + self.calls;
        let host = &mut self.hosts[key];
        let mut pending = PendingCall {
            token,
            starts: Vec::new(),
            stops: Vec::new(),
            forgets: Vec::new(),
        };
        for task in &host.tasks {
            match self.tasks[*task].state {
                TaskState::Starting => pending.starts.push(*task),
                TaskState::Stopping => pending.stops.push(*task),
                TaskState::Forgetting => pending.forgets.push(*task),
                _ => {}
            }
        }
        let order = |key: &TaskKey| self.tasks[*key].order.clone();
        let attempt = |key: &TaskKey| self.tasks[*key].order.attempt.clone();
        let call = WorkerCall {
            token,
            answers: host.last_report,
            lease_ms: self.timing.lease_ms,
            start: pending.starts.iter().map(order).collect(),
            stop: pending.stops.iter().map(attempt).collect(),
            forget: pending.forgets.iter().map(attempt).collect(),
            batch_permille: host.interference.batch_permille(),
        };
        host.is_dirty = false;
        host.next_call_ms = now_ms + self.timing.poll_ms;
        host.call = Some(pending);
        call
    }

    /// Records that a call to a host failed or got no answer.
    pub fn handle_call_failure(&mut self, now_ms: u64, key: HostKey, token: u64) {
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        if host.call.take_if(|call| call.token == token).is_some() {
            host.next_call_ms = now_ms + self.timing.poll_ms;
        }
    }

    /// Handles the report of a worker.
    ///
    /// `is_urgent` returns, by the name of a job, whether it has priority over
    /// others.
    pub fn handle_report(
        &mut self,
        now_ms: u64,
        key: HostKey,
        token: u64,
        report: &WorkerReport,
        is_urgent: impl Fn(&str) -> bool,
    ) {
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        let Some(pending) = host.call.take_if(|call| call.token == token) else {
            return;
        };
        host.contact = Contact::Reported;
        host.last_report = report.number;
        host.renewed_ms = now_ms;
        let mut seen = Vec::new();
        for listed in &report.tasks {
            let task = match self.by_attempt.get(&listed.order.attempt) {
                Some(task) => *task,
                None => self.adopt(now_ms, key, listed, is_urgent(&listed.order.job)),
            };
            seen.push(task);
            self.reconcile(now_ms, task, listed.state);
        }
        self.handle_absent(now_ms, key, &pending, &seen);
        self.apply_slowdown(now_ms, key, report.service_slowdown_permille);
    }

    /// Passes a measurement of a host's services to its interference control.
    pub(super) fn apply_slowdown(&mut self, now_ms: u64, key: HostKey, slowdown_permille: u32) {
        let job_loads = self.job_loads(key);
        let host = &mut self.hosts[key];
        if let Some(kind) = host
            .interference
            .record(now_ms, slowdown_permille, &job_loads)
        {
            self.evict_youngest(key, kind);
        }
    }

    /// Returns the cores that batch tasks of each kind use on a host.
    pub(super) fn job_loads(&self, key: HostKey) -> Vec<Load> {
        let mut job_loads: Vec<Load> = Vec::new();
        for task in &self.hosts[key].tasks {
            let task = &self.tasks[*task];
            if task.state != TaskState::Running || task.is_urgent {
                continue;
            }
            let kind = hash(&task.order.job);
            let cores = cores_of(task.order.need);
            match job_loads.iter_mut().find(|load| load.kind == kind) {
                Some(load) => load.cores += cores,
                None => job_loads.push(Load { kind, cores }),
            }
        }
        job_loads.sort_by_key(|load| load.kind);
        job_loads
    }

    /// Adds a task that a previous owner of the cell has started.
    pub(super) fn adopt(
        &mut self,
        now_ms: u64,
        host: HostKey,
        listed: &TaskReport,
        is_urgent: bool,
    ) -> TaskKey {
        let order = listed.order.clone();
        self.insert_task(now_ms, host, order, is_urgent, TaskState::Running)
    }

    pub(super) fn reconcile(&mut self, now_ms: u64, key: TaskKey, state: ReportedState) {
        match state {
            ReportedState::Running => {
                if self.tasks[key].state == TaskState::Starting {
                    self.tasks[key].state = TaskState::Running;
                    let attempt = self.tasks[key].order.attempt.clone();
                    self.reports.push(TaskUpdate { attempt, end: None });
                }
            }
            ReportedState::Finished => self.end(now_ms, key, TaskEnd::Finished),
            ReportedState::Failed => self.end(now_ms, key, TaskEnd::Failed),
            ReportedState::Refused => self.end(now_ms, key, TaskEnd::NotStarted),
            ReportedState::Stopped { checkpoint } => {
                self.end(now_ms, key, TaskEnd::Evicted { checkpoint });
            }
        }
    }

    /// Ends tasks that the worker no longer lists. Only tasks count that the worker
    /// was known to run, or that the call named, when the call was sent; later ones
    /// may be absent because the call did not mention them.
    pub(super) fn handle_absent(
        &mut self,
        now_ms: u64,
        host: HostKey,
        call: &PendingCall,
        seen: &[TaskKey],
    ) {
        for key in self.hosts[host].tasks.clone() {
            if seen.contains(&key) {
                continue;
            }
            let was_named = call.starts.contains(&key) || call.stops.contains(&key);
            match self.tasks[key].state {
                TaskState::Forgetting if call.forgets.contains(&key) => self.remove(key),
                TaskState::Running => self.end(now_ms, key, TaskEnd::Forgotten),
                TaskState::Starting | TaskState::Stopping if was_named => {
                    self.end(now_ms, key, TaskEnd::Lost);
                }
                _ => {}
            }
        }
    }

    /// Evicts the batch task of a kind that was started last on a host.
    pub(super) fn evict_youngest(&mut self, host: HostKey, kind: u64) {
        let running = self.hosts[host].tasks.iter().copied().filter(|key| {
            let task = &self.tasks[*key];
            task.state == TaskState::Running && !task.is_urgent && hash(&task.order.job) == kind
        });
        if let Some(key) = running.max_by_key(|key| self.tasks[*key].since_ms) {
            self.evict(key);
        }
    }
}
