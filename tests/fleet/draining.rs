//! Workers that drain and leave, and the check of what still starts there.

use crate::fleet::Fleet;
use goldcrestway_dispatch::Stream;
use rand::RngExt;
use rand_pcg::Pcg64;
use std::collections::BTreeMap;

/// Time after the acknowledgement of a worker's draining from which on no host that is in contact
/// starts tasks there.
pub(crate) const DRAIN_MS: u64 = 2_000;
/// Time without a disturbance after which a host is in contact.
const CONTACT_MS: u64 = 3_000;

/// Incarnations of workers whose draining the store has acknowledged, by worker and start time,
/// with the time of the acknowledgement.
#[derive(Default)]
pub(crate) struct Draining {
    since_ms: BTreeMap<(Box<str>, u64), u64>,
}

impl Fleet {
    /// Makes a worker report that it is draining. It continues to serve until [`Fleet::leave`].
    pub(crate) fn drain(&mut self, address: &str) {
        let Some(worker) = self.workers.get(address).filter(|worker| worker.is_alive) else {
            return;
        };
        let incarnation = (worker.id.clone(), worker.started_wall_ms);
        self.announce_leave(address);
        let since_ms = &mut self.draining.since_ms;
        since_ms.entry(incarnation).or_insert(self.now_ms);
    }

    /// Ends a worker that has drained. What still runs there ends with it.
    pub(crate) fn leave(&mut self, address: &str) {
        let Some(worker) = self.workers.get_mut(address) else {
            return;
        };
        if !worker.is_alive {
            return;
        }
        worker.die();
        let id = worker.id.clone();
        self.store.put(Stream::Workers, &id, &[]);
    }

    /// Makes a worker drain; one that has drained for long enough leaves, and another one takes its
    /// address. Orders may be carried out late from now on, or no longer.
    pub(crate) fn change_draining(&mut self, address: &str, random: &mut Pcg64) {
        match random.random_range(0..4) {
            0 | 1 => self.order_delay_ms = Some(random.random_range(500..6_000)),
            2 => self.order_delay_ms = None,
            _ => {}
        }
        match self.draining_since_ms(address) {
            None => self.drain(address),
            Some(since_ms) if self.now_ms <= since_ms + DRAIN_MS => {}
            Some(_) => self.replace_drained(address),
        }
    }

    /// Replaces all workers that drain, once they have done so for long enough.
    pub(crate) fn end_draining(&mut self) {
        self.run(DRAIN_MS);
        let addresses: Vec<Box<str>> = self.workers.keys().cloned().collect();
        for address in addresses {
            if self.draining_since_ms(&address).is_some() {
                self.replace_drained(&address);
            }
        }
    }

    /// Returns since when the store has known that a worker drains, if it does.
    fn draining_since_ms(&self, address: &str) -> Option<u64> {
        let worker = self.workers.get(address)?;
        let incarnation = (worker.id.clone(), worker.started_wall_ms);
        self.draining.since_ms.get(&incarnation).copied()
    }

    fn replace_drained(&mut self, address: &str) {
        self.leave(address);
        let id = format!("after-{}-{}", self.now_ms, address);
        self.add_worker(address, &id);
    }

    /// Checks a start that a host has just ordered at a worker. Orders that a worker carries out
    /// late are not checked: nobody can revoke them.
    pub(super) fn check_draining(&mut self, number: usize, address: &str) {
        let Some(since_ms) = self.draining_since_ms(address) else {
            return;
        };
        let age_ms = self.now_ms - since_ms;
        let is_in_touch = self.now_ms >= self.hosts[number].disturbed_ms + CONTACT_MS;
        if is_in_touch && age_ms > DRAIN_MS {
            self.promises.broken.push(format!(
                "a task starts at {address} {age_ms} ms after it was known to drain"
            ));
        }
    }
}
