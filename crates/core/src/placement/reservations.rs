//! Resources of hosts: reservation, choice of a host, and preemption for urgent
//! attempts.

use super::Contact;
use super::Host;
use super::HostKey;
use super::MAX_FAILURES;
use super::Task;
use super::TaskKey;
use super::UrgentHold;
use super::WorkerCell;
use super::cores_of;
use super::types::AttemptId;
use super::types::Reservation;
use super::types::TaskOrder;
use super::types::TaskState;
use crate::ids::hash;
use goldcrestway_inventory::Resources;

impl WorkerCell {
    /// Reserves resources for an attempt.
    pub fn reserve(&mut self, now_ms: u64, order: TaskOrder, is_urgent: bool) -> Reservation {
        if let Some(key) = self.by_attempt.get(&order.attempt) {
            let held = matches!(self.tasks[*key].state, TaskState::Reserved { .. });
            return if held {
                Reservation::Held
            } else {
                Reservation::Unavailable
            };
        }
        let Some(host) = self.choose_host(now_ms, &order, is_urgent) else {
            if is_urgent {
                self.preempt_for(now_ms, &order);
            }
            return Reservation::Unavailable;
        };
        let until_ms = now_ms + self.timing.reserve_ms;
        self.insert_task(
            now_ms,
            host,
            order,
            is_urgent,
            TaskState::Reserved { until_ms },
        );
        Reservation::Held
    }

    pub(super) fn insert_task(
        &mut self,
        now_ms: u64,
        host: HostKey,
        order: TaskOrder,
        is_urgent: bool,
        state: TaskState,
    ) -> TaskKey {
        let attempt = order.attempt.clone();
        let entry = &mut self.hosts[host];
        entry.booked = entry.booked.plus(order.need);
        let key = self.tasks.insert(Task {
            order,
            host,
            is_urgent,
            state,
            since_ms: now_ms,
        });
        self.hosts[host].tasks.push(key);
        self.by_attempt.insert(attempt, key);
        key
    }

    /// Returns the host on which the order leaves the least resources free, which
    /// keeps large gaps for large jobs.
    pub(super) fn choose_host(
        &self,
        now_ms: u64,
        order: &TaskOrder,
        is_urgent: bool,
    ) -> Option<HostKey> {
        let kind = hash(&order.job);
        let cores = cores_of(order.need);
        let mut best: Option<(u64, HostKey)> = None;
        for (key, host) in &self.hosts {
            let free = self.free_for(now_ms, host, &order.attempt);
            if !self.is_eligible(now_ms, host, &order.job) || !order.need.fits(free) {
                continue;
            }
            if !is_urgent && !host.interference.accepts(kind, cores) {
                continue;
            }
            let left = free.minus(order.need);
            let score = u64::from(left.millicores)
                + u64::from(left.memory_mb) / 4
                + u64::from(left.accelerators) * 100_000;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key)
    }

    pub(super) fn is_eligible(&self, now_ms: u64, host: &Host, job: &str) -> bool {
        let is_probing = host.failures >= MAX_FAILURES && !host.tasks.is_empty();
        host.contact == Contact::Reported
            && host.is_listed
            && !host.is_leaving
            && !is_probing
            && now_ms >= host.avoided_until_ms
            && !host
                .excluded_jobs
                .iter()
                .any(|excluded_jobs| &**excluded_jobs == job)
    }

    pub(super) fn free_on(&self, host: &Host) -> Resources {
        host.total.minus(host.reserved).minus(host.booked)
    }

    /// Returns the free resources that `attempt` may use, without those held for
    /// others.
    pub(super) fn free_for(&self, now_ms: u64, host: &Host, attempt: &AttemptId) -> Resources {
        let free = self.free_on(host);
        match &host.urgent_hold {
            Some(urgent_hold)
                if now_ms < urgent_hold.until_ms && urgent_hold.attempt != *attempt =>
            {
                free.minus(urgent_hold.need)
            }
            _ => free,
        }
    }

    /// Evicts the fewest batch tasks of one host that free enough resources for an
    /// urgent order, and holds these for it. A job that asks again keeps the same
    /// host.
    pub(super) fn preempt_for(&mut self, now_ms: u64, order: &TaskOrder) {
        let mut best: Option<(usize, HostKey, Vec<TaskKey>)> = None;
        for (key, host) in &self.hosts {
            let urgent_hold = host
                .urgent_hold
                .as_ref()
                .filter(|urgent_hold| now_ms < urgent_hold.until_ms);
            if urgent_hold.is_some_and(|urgent_hold| urgent_hold.attempt == order.attempt) {
                return;
            }
            if urgent_hold.is_some() || !self.is_eligible(now_ms, host, &order.job) {
                continue;
            }
            let Some(victims) = self.victims(host, order.need) else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|(fewest, _, _)| victims.len() < *fewest)
            {
                best = Some((victims.len(), key, victims));
            }
        }
        let Some((_, host, victims)) = best else {
            return;
        };
        self.hosts[host].urgent_hold = Some(UrgentHold {
            attempt: order.attempt.clone(),
            need: order.need,
            until_ms: now_ms + self.timing.reserve_ms,
        });
        for victim in victims {
            self.evict(victim);
        }
    }

    /// Returns the tasks to evict until `need` fits, the youngest first because they
    /// lose least. Resources that are being freed already count; asking again while
    /// tasks stop therefore does not evict more.
    pub(super) fn victims(&self, host: &Host, need: Resources) -> Option<Vec<TaskKey>> {
        let mut free = self.free_on(host);
        let mut running = Vec::new();
        for key in &host.tasks {
            let task = &self.tasks[*key];
            match task.state {
                TaskState::Stopping => free = free.plus(task.order.need),
                TaskState::Running if !task.is_urgent => running.push(*key),
                _ => {}
            }
        }
        running.sort_by_key(|key| std::cmp::Reverse(self.tasks[*key].since_ms));
        let mut victims = Vec::new();
        for key in running {
            if need.fits(free) {
                break;
            }
            free = free.plus(self.tasks[key].order.need);
            victims.push(key);
        }
        need.fits(free).then_some(victims)
    }

    /// Releases resources that will not be used.
    pub fn release(&mut self, attempt: &AttemptId) {
        let Some(key) = self.by_attempt.get(attempt).copied() else {
            return;
        };
        if matches!(self.tasks[key].state, TaskState::Reserved { .. }) {
            self.remove(key);
        }
    }
}
