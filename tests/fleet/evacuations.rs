//! Evacuates failure domains and cancels evacuations as the operator does, and checks what still
//! starts there.

use crate::fleet::Fleet;
use crate::fleet::fixtures::failure_domain_of;
use goldcrestway_dispatch::Stream;
use std::collections::BTreeMap;

/// Time after the acknowledgement of an evacuation from which on no host that is in contact starts
/// tasks there.
pub(crate) const EVACUATED_MS: u64 = 5_000;
/// The same for any other host: its orders are refused once the lease that they carry has expired.
const OUT_OF_CONTACT_MS: u64 = EVACUATED_MS + 6_000;
/// Time without a disturbance after which a host is in contact.
const CONTACT_MS: u64 = 4_000;

/// Acknowledged evacuations by failure domain, with the time of the acknowledgement.
#[derive(Default)]
pub(crate) struct Evacuations {
    since_ms: BTreeMap<Box<str>, u64>,
}

impl Fleet {
    /// Evacuates a failure domain.
    pub(crate) fn evacuate(&mut self, domain: &str) {
        let key = format!("evacuate/{domain}");
        self.store.put(Stream::Rules, &key, b"{}");
        let since_ms = &mut self.evacuations.since_ms;
        since_ms.entry(domain.into()).or_insert(self.now_ms);
    }

    /// Cancels an evacuation.
    pub(crate) fn cancel_evacuation(&mut self, domain: &str) {
        let key = format!("evacuate/{domain}");
        self.store.put(Stream::Rules, &key, b"");
        self.evacuations.since_ms.remove(domain);
    }

    /// Returns whether a failure domain is evacuated.
    pub(super) fn is_domain_evacuated(&self, domain: &str) -> bool {
        self.evacuations.since_ms.contains_key(domain)
    }

    /// Returns the addresses of the workers of a failure domain.
    pub(crate) fn workers_in(&self, domain: &str) -> Vec<Box<str>> {
        let addresses = self.workers.keys();
        let inside = addresses.filter(|address| *failure_domain_of(address) == *domain);
        inside.cloned().collect()
    }

    /// Counts the starts at workers of a failure domain, from start number `since` on.
    pub(crate) fn starts_in(&self, domain: &str, since: usize) -> usize {
        let starts = self.promises.starts[since..].iter();
        let inside =
            starts.filter(|(id, _, _)| *failure_domain_of(&self.address_of(id)) == *domain);
        inside.count()
    }

    /// Records which hosts are disturbed at present.
    pub(super) fn record_disturbances(&mut self) {
        for number in 0..self.hosts.len() {
            if self.is_disturbed(number) {
                self.hosts[number].disturbed_ms = self.now_ms;
            }
        }
    }

    /// Checks a start that a host has just ordered.
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
