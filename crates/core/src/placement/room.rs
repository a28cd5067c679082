//! Room on hosts: reserving, choosing a host, making room for urgent work.

use super::Contact;
use super::FAILURES_BORNE;
use super::Host;
use super::HostKey;
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
    /// Asks for room for an attempt.
    pub fn reserve(&mut self, now_ms: u64, order: TaskOrder, is_urgent: bool) -> Reservation {
        if let Some(key) = self.by_attempt.get(&order.attempt) {
            let held = matches!(self.tasks[*key].state, TaskState::Reserved { .. });
            return if held {
                Reservation::Held
            } else {
                Reservation::Unavailable
            };
        }
        let Some(host) = self.choose(now_ms, &order, is_urgent) else {
            if is_urgent {
                self.make_room(now_ms, &order);
            }
            return Reservation::Unavailable;
        };
        let until_ms = now_ms + self.pace.reserve_ms;
        self.book(
            now_ms,
            host,
            order,
            is_urgent,
            TaskState::Reserved { until_ms },
        );
        Reservation::Held
    }

    pub(super) fn book(
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

    /// Picks the host whose remaining room fits the order most tightly, so that
    /// large jobs still find room elsewhere.
    pub(super) fn choose(
        &self,
        now_ms: u64,
        order: &TaskOrder,
        is_urgent: bool,
    ) -> Option<HostKey> {
        let kind = hash(&order.job);
        let cores = cores_of(order.need);
        let mut best: Option<(u64, HostKey)> = None;
        for (key, host) in &self.hosts {
            let room = self.room_for(now_ms, host, &order.attempt);
            if !self.is_open(now_ms, host, &order.job) || !order.need.fits(room) {
                continue;
            }
            if !is_urgent && !host.guard.accepts(kind, cores) {
                continue;
            }
            let left = room.minus(order.need);
            let score = u64::from(left.millicores)
                + u64::from(left.memory_mb) / 4
                + u64::from(left.accelerators) * 100_000;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key)
    }

    pub(super) fn is_open(&self, now_ms: u64, host: &Host, job: &str) -> bool {
        let is_probing = host.failures >= FAILURES_BORNE && !host.tasks.is_empty();
        host.contact == Contact::Listed
            && host.is_listed
            && !host.is_leaving
            && !is_probing
            && now_ms >= host.set_aside_until_ms
            && !host.barred.iter().any(|barred| &**barred == job)
    }

    pub(super) fn room(&self, host: &Host) -> Resources {
        host.total.minus(host.reserved).minus(host.booked)
    }

    /// Gives the room that `attempt` may take, without what others were promised.
    pub(super) fn room_for(&self, now_ms: u64, host: &Host, attempt: &AttemptId) -> Resources {
        let room = self.room(host);
        match &host.urgent_hold {
            Some(urgent_hold)
                if now_ms < urgent_hold.until_ms && urgent_hold.attempt != *attempt =>
            {
                room.minus(urgent_hold.need)
            }
            _ => room,
        }
    }

    /// Evicts the fewest batch tasks of one host that make room for urgent work,
    /// and promises it the room. A job that asks again keeps the same host.
    pub(super) fn make_room(&mut self, now_ms: u64, order: &TaskOrder) {
        let mut best: Option<(usize, HostKey, Vec<TaskKey>)> = None;
        for (key, host) in &self.hosts {
            let urgent_hold = host
                .urgent_hold
                .as_ref()
                .filter(|urgent_hold| now_ms < urgent_hold.until_ms);
            if urgent_hold.is_some_and(|urgent_hold| urgent_hold.attempt == order.attempt) {
                return;
            }
            if urgent_hold.is_some() || !self.is_open(now_ms, host, &order.job) {
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
            until_ms: now_ms + self.pace.reserve_ms,
        });
        for victim in victims {
            self.evict(victim);
        }
    }

    /// Lists tasks to evict until `need` fits, the youngest first since they lose
    /// least. Room that is being freed already counts, so that asking again while
    /// tasks stop does not evict more.
    pub(super) fn victims(&self, host: &Host, need: Resources) -> Option<Vec<TaskKey>> {
        let mut room = self.room(host);
        let mut running = Vec::new();
        for key in &host.tasks {
            let task = &self.tasks[*key];
            match task.state {
                TaskState::Stopping => room = room.plus(task.order.need),
                TaskState::Running if !task.is_urgent => running.push(*key),
                _ => {}
            }
        }
        running.sort_by_key(|key| std::cmp::Reverse(self.tasks[*key].since_ms));
        let mut victims = Vec::new();
        for key in running {
            if need.fits(room) {
                break;
            }
            room = room.plus(self.tasks[key].order.need);
            victims.push(key);
        }
        need.fits(room).then_some(victims)
    }

    /// Gives back room that will not be used.
    pub fn release(&mut self, attempt: &AttemptId) {
        let Some(key) = self.by_attempt.get(attempt).copied() else {
            return;
        };
        if matches!(self.tasks[key].state, TaskState::Reserved { .. }) {
            self.remove(key);
        }
    }
}
