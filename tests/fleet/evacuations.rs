//! Failure domains that the operator evacuates and takes back, and what may start there since.

use crate::fleet::Fleet;
use crate::fleet::fixtures::failure_domain_of;
use goldcrestway_dispatch::Stream;
use std::collections::BTreeMap;

/// Time after the acknowledgement of an evacuation from which on nothing starts there by the
/// order of a host in touch.
pub(crate) const EVACUATED_MS: u64 = 5_000;
/// The same for any other host: an order of it is refused once the lease that it brings is over.
const OUT_OF_CONTACT_MS: u64 = EVACUATED_MS + 6_000;
/// Time without a disturbance after which a host is in touch.
const CONTACT_MS: u64 = 4_000;

/// Evacuations that the store has acknowledged, by failure domain, and when it did.
#[derive(Default)]
pub(crate) struct Evacuations {
    since_ms: BTreeMap<Box<str>, u64>,
}

impl Fleet {
    /// Has the operator evacuate a failure domain.
    pub(crate) fn evacuate(&mut self, domain: &str) {
        let key = format!("evacuate/{domain}");
        self.store.put(Stream::Rules, &key, b"{}");
        let since_ms = &mut self.evacuations.since_ms;
        since_ms.entry(domain.into()).or_insert(self.now_ms);
    }

    /// Has the operator take an evacuation back.
    pub(crate) fn cancel_evacuation(&mut self, domain: &str) {
        let key = format!("evacuate/{domain}");
        self.store.put(Stream::Rules, &key, b"");
        self.evacuations.since_ms.remove(domain);
    }

    /// Lists the addresses of the workers of a failure domain.
    pub(crate) fn workers_in(&self, domain: &str) -> Vec<Box<str>> {
        let addresses = self.workers.keys();
        let inside = addresses.filter(|address| *failure_domain_of(address) == *domain);
        inside.cloned().collect()
    }

    /// Counts the starts at workers of a failure domain since there were so many in all.
    pub(crate) fn starts_in(&self, domain: &str, since: usize) -> usize {
        let starts = self.promises.starts[since..].iter();
        let inside =
            starts.filter(|(id, _, _)| *failure_domain_of(&self.address_of(id)) == *domain);
        inside.count()
    }

    /// Notes which hosts are disturbed just now.
    pub(super) fn record_disturbances(&mut self) {
        for number in 0..self.hosts.len() {
            if self.is_disturbed(number) {
                self.hosts[number].disturbed_ms = self.now_ms;
            }
        }
    }

    /// Judges a start by an order that a host has just sent.
    pub(super) fn check_start(&mut self, number: usize, address: &str) {
        let Some(since_ms) = self.evacuations.since_ms.get(&failure_domain_of(address)) else {
            return;
        };
        let is_in_touch = self.now_ms >= self.hosts[number].disturbed_ms + CONTACT_MS;
        let max_ms = match is_in_touch {
            true => EVACUATED_MS,
            false => OUT_OF_CONTACT_MS,
        };
        let age_ms = self.now_ms - since_ms;
        if age_ms > max_ms {
            self.promises.broken.push(format!(
                "a task starts at {address} {age_ms} ms after its failure domain was evacuated"
            ));
        }
    }
}
