//! The slots of a service's instances in one failure domain, counted exactly by the
//! one owner of their cell.
//!
//! Without a single owner, several entry hosts could see the same free slot and
//! together send an instance more requests than it can process. A slot is therefore
//! granted, held and released here. It stays in use while the outcome of an attempt
//! is unknown, until the instance must have ended the request.

use crate::ids::Member;
use crate::macros::plain;
use slotmap::SlotMap;
use std::collections::HashMap;
use std::collections::VecDeque;

slotmap::new_key_type! {
    /// Key of an instance within its cell.
    pub struct InstanceKey;
    /// Key of a grant within its cell.
    pub struct GrantKey;
}

/// Outcome of an attempt under a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The instance gave a complete answer.
    Answered {
        /// Time from sending the request until the answer was complete.
        latency_ms: u64,
    },
    /// The instance gave a complete answer that reports a failure.
    Failed {
        /// Time from sending the request until the answer was complete.
        latency_ms: u64,
    },
    /// The attempt was made, but nothing reached the instance.
    NotStarted,
    /// The slot was not used.
    Unused,
    /// The outcome is unknown; the instance may still be working on the request.
    Unknown,
}

/// Release of a grant after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRelease {
    /// The grant.
    pub grant: GrantKey,
    /// Member that held the grant.
    pub requester: Member,
    /// Request that the grant was used for.
    pub request: u64,
    /// Outcome of the attempt.
    pub ended: GrantOutcome,
    /// Request for which the requester uses the slot next.
    pub next: Option<u64>,
}

/// A request for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRequest {
    /// Entry host that will send the attempt.
    pub requester: Member,
    /// Number of the request at that host.
    pub request: u64,
    /// Time at which the owner of the cell was first asked.
    pub asked_ms: u64,
    /// Latest time at which an attempt may still begin.
    pub begin_by_ms: u64,
}

plain! {
    /// Answer of the cell's owner.
    pub enum Verdict {
        /// A slot is granted to the requester.
        Granted {
            /// Key of the grant, which its release must name.
            grant: GrantKey,
            /// Address of the instance.
            address: Box<str>,
            /// How long the request had waited when the slot was granted.
            waited_ms: u64,
        },
        /// No slot will be free in time.
        Refused {
            /// Time after which it makes sense to ask again.
            retry_after_ms: u64,
        },
    }
}

#[derive(Debug, Clone)]
struct Instance {
    name: Box<str>,
    address: Box<str>,
    slots: u32,
    in_use: u32,
    is_leaving: bool,
    /// Moving average of the latency in microseconds; 0 before the first answer.
    latency_us: u64,
    failures: u32,
    avoided_until_ms: u64,
    /// Time at which a slot of it was last granted.
    last_granted_ms: u64,
}

impl Instance {
    /// Returns the number of slots that may be used: only one, as a probe, after
    /// [`MAX_FAILURES`] failures in a row.
    fn usable_slots(&self) -> u32 {
        match self.failures >= MAX_FAILURES {
            true => self.slots.min(1),
            false => self.slots,
        }
    }
}

#[derive(Debug, Clone)]
struct Grant {
    instance: InstanceKey,
    requester: Member,
    request: u64,
    waited_ms: u64,
    ends_by_ms: u64,
}

/// Settings of one cell of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Time within which an instance ends any request.
    pub timeout_ms: u64,
    /// Time within which attempts under a grant must begin.
    pub use_ms: u64,
    /// Maximum number of requests that wait per slot.
    pub waiting_per_slot: u32,
}

/// The instances of one service in one failure domain, with their slots, as tracked
/// by the owner.
#[derive(Debug, Clone)]
pub struct UpstreamCell {
    bounds: Bounds,
    opens_ms: u64,
    instances: SlotMap<InstanceKey, Instance>,
    by_name: HashMap<Box<str>, InstanceKey>,
    grants: SlotMap<GrantKey, Grant>,
    by_request: HashMap<(Member, u64), GrantKey>,
    waiting: VecDeque<SlotRequest>,
}

/// Number of failures in a row from which on an instance is avoided for a while.
const MAX_FAILURES: u32 = 3;
/// An instance whose latency is this many times that of the fastest one is slow.
const SLOW_FACTOR: u64 = 3;
/// Time after which a slow instance gets a request even so.
const PROBE_MS: u64 = 1_000;
/// Time for which an instance is avoided at first; doubles up to eight times as long.
const AVOID_MS: u64 = 500;

impl UpstreamCell {
    /// Creates a cell without instances. Nothing is granted before `opens_ms`,
    /// because grants of a previous owner may be in use until then.
    pub fn new(bounds: Bounds, opens_ms: u64) -> Self {
        Self {
            bounds,
            opens_ms,
            instances: SlotMap::with_key(),
            by_name: HashMap::new(),
            grants: SlotMap::with_key(),
            by_request: HashMap::new(),
            waiting: VecDeque::new(),
        }
    }

    /// Adds or updates an instance.
    pub fn update_instance(&mut self, name: &str, address: &str, slots: u32, is_leaving: bool) {
        if let Some(key) = self.by_name.get(name) {
            let instance = &mut self.instances[*key];
            instance.slots = slots;
            instance.is_leaving = is_leaving;
            if &*instance.address != address {
                // A new process at another address starts without failures, while
                // slots of the old one stay in use until they are released.
                instance.address = address.into();
                instance.failures = 0;
                instance.avoided_until_ms = 0;
            }
            return;
        }
        let key = self.instances.insert(Instance {
            name: name.into(),
            address: address.into(),
            slots,
            in_use: 0,
            is_leaving,
            latency_us: 0,
            failures: 0,
            avoided_until_ms: 0,
            last_granted_ms: 0,
        });
        self.by_name.insert(name.into(), key);
    }

    /// Stops granting slots of an instance that was removed from the inventory.
    pub fn remove_instance(&mut self, name: &str) {
        if let Some(key) = self.by_name.get(name) {
            self.instances[*key].is_leaving = true;
        }
    }

    /// Returns the names of the instances that are not leaving.
    pub fn instance_names(&self) -> Vec<Box<str>> {
        let staying = self
            .instances
            .values()
            .filter(|instance| !instance.is_leaving);
        staying.map(|instance| instance.name.clone()).collect()
    }

    /// Returns the number of slots in use and the number of slots of instances that
    /// are not leaving.
    pub fn load(&self) -> (u32, u32) {
        let used = self
            .instances
            .values()
            .map(|instance| instance.in_use)
            .sum();
        let staying = self
            .instances
            .values()
            .filter(|instance| !instance.is_leaving);
        (used, staying.map(|instance| instance.slots).sum())
    }

    /// Returns the number of slots of instances that accept requests now. An avoided
    /// instance has none, and one that is being probed a single one; otherwise a
    /// broken cell would look idle and attract the requests of the whole service.
    fn available_slots(&self, now_ms: u64) -> u32 {
        let mut sum = 0;
        for instance in self.instances.values() {
            if instance.is_leaving || now_ms < instance.avoided_until_ms {
                continue;
            }
            sum += instance.usable_slots();
        }
        sum
    }

    /// Returns the number of free slots that are left for new requests.
    pub fn free_slots(&self, now_ms: u64) -> u32 {
        let mut free = 0;
        for instance in self.instances.values() {
            if instance.is_leaving || now_ms < instance.avoided_until_ms {
                continue;
            }
            free += instance.usable_slots().saturating_sub(instance.in_use);
        }
        free.saturating_sub(self.waiting.len() as u32)
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests a slot; returns `None` if the request waits for one.
    pub fn request_slot(&mut self, now_ms: u64, entry: SlotRequest) -> Option<Verdict> {
        if let Some(grant) = self.by_request.get(&(entry.requester, entry.request)) {
            // The requester did not receive the first answer and asks again.
            return Some(self.granted(*grant));
        }
        if self
            .waiting
            .iter()
            .any(|other| (other.requester, other.request) == (entry.requester, entry.request))
        {
            return None;
        }
        if now_ms < self.opens_ms {
            let retry_after_ms = self.opens_ms - now_ms;
            return Some(Verdict::Refused { retry_after_ms });
        }
        if self.waiting.is_empty()
            && let Some(instance) = self.choose_instance(now_ms)
        {
            return Some(self.grant(now_ms, instance, entry));
        }
        let wait_ms = self.expected_wait_ms(now_ms);
        let slots = self.available_slots(now_ms);
        let is_full = self.waiting.len() as u32 >= slots * self.bounds.waiting_per_slot;
        if is_full || slots == 0 || now_ms + wait_ms > entry.begin_by_ms {
            let retry_after_ms = wait_ms.max(1);
            return Some(Verdict::Refused { retry_after_ms });
        }
        self.waiting.push_back(entry);
        None
    }

    /// Removes a request that waits, or that was granted a slot and never sent.
    pub fn cancel(&mut self, requester: Member, request: u64) {
        self.waiting
            .retain(|entry| (entry.requester, entry.request) != (requester, request));
        if let Some(grant) = self.by_request.get(&(requester, request)).copied() {
            self.release_slot(grant);
        }
    }

    /// Records the outcome of an attempt and frees its slot, unless the outcome is
    /// unknown.
    ///
    /// A release that names another request than the grant's is from a previous
    /// owner, whose grants had the same keys; it is ignored. With `next` the
    /// requester uses the slot for another of its waiting requests, which saves the
    /// two messages during which the slot would be idle. The end of the grant does
    /// not change, which keeps it safe even if this message is lost.
    pub fn release(&mut self, now_ms: u64, released: SlotRelease) {
        let Some(held) = self.grants.get_mut(released.grant) else {
            return;
        };
        if (held.requester.seat, held.request) != (released.requester.seat, released.request) {
            return;
        }
        let key = held.instance;
        match released.ended {
            GrantOutcome::Answered { latency_ms } => self.add_latency(key, latency_ms),
            GrantOutcome::Failed { .. } | GrantOutcome::NotStarted => self.add_failure(now_ms, key),
            GrantOutcome::Unused => {}
            GrantOutcome::Unknown => {
                self.add_failure(now_ms, key);
                return;
            }
        }
        let Some(next) = released.next else {
            self.release_slot(released.grant);
            return;
        };
        let requester = released.requester;
        self.waiting
            .retain(|entry| (entry.requester.seat, entry.request) != (requester.seat, next));
        if let Some(held) = self.grants.get_mut(released.grant) {
            self.by_request.remove(&(held.requester, held.request));
            held.request = next;
        }
    }

    /// Ends expired grants and serves waiting requests; returns their verdicts.
    pub fn tick(&mut self, now_ms: u64) -> Vec<(SlotRequest, Verdict)> {
        let ended = self
            .grants
            .iter()
            .filter(|(_, grant)| now_ms >= grant.ends_by_ms);
        let ended: Vec<GrantKey> = ended.map(|(key, _)| key).collect();
        for grant in ended {
            self.release_slot(grant);
        }
        let mut verdicts = Vec::new();
        while let Some(entry) = self.waiting.front().copied() {
            if now_ms > entry.begin_by_ms {
                self.waiting.pop_front();
                let retry_after_ms = self.expected_wait_ms(now_ms).max(1);
                verdicts.push((entry, Verdict::Refused { retry_after_ms }));
                continue;
            }
            let Some(instance) = self.choose_instance(now_ms) else {
                break;
            };
            self.waiting.pop_front();
            verdicts.push((entry, self.grant(now_ms, instance, entry)));
        }
        verdicts
    }

    /// Returns the instance with a free slot whose answer is expected first.
    ///
    /// A slow instance is skipped while a slot of a fast one is expected to be free
    /// early enough. One request a second is still sent there, which shows when it
    /// has recovered.
    fn choose_instance(&self, now_ms: u64) -> Option<InstanceKey> {
        let mut best: Option<(u64, InstanceKey)> = None;
        let mut fastest_us = u64::MAX;
        for (key, instance) in &self.instances {
            if instance.is_leaving || now_ms < instance.avoided_until_ms {
                continue;
            }
            if instance.failures == 0 && instance.latency_us > 0 {
                fastest_us = fastest_us.min(instance.latency_us);
            }
            if instance.in_use >= instance.usable_slots() {
                continue;
            }
            let expected = self.expected_us(instance);
            if best.is_none_or(|(least, _)| expected < least) {
                best = Some((expected, key));
            }
        }
        let (_, key) = best?;
        let instance = &self.instances[key];
        let is_slow = instance.latency_us / SLOW_FACTOR > fastest_us;
        if !is_slow || now_ms >= instance.last_granted_ms + PROBE_MS {
            return Some(key);
        }
        let wait_us = self.expected_wait_ms(now_ms) * 1_000;
        (fastest_us + wait_us >= instance.latency_us).then_some(key)
    }

    fn expected_us(&self, instance: &Instance) -> u64 {
        let busy = u64::from(instance.in_use) * 1_000 / u64::from(instance.slots.max(1));
        instance.latency_us.max(1) * (1_000 + busy)
    }

    fn grant(&mut self, now_ms: u64, instance: InstanceKey, entry: SlotRequest) -> Verdict {
        let held = &mut self.instances[instance];
        held.in_use += 1;
        held.last_granted_ms = now_ms;
        let grant = self.grants.insert(Grant {
            instance,
            requester: entry.requester,
            request: entry.request,
            waited_ms: now_ms.saturating_sub(entry.asked_ms),
            ends_by_ms: now_ms + self.bounds.use_ms + self.bounds.timeout_ms,
        });
        self.by_request
            .insert((entry.requester, entry.request), grant);
        self.granted(grant)
    }

    fn granted(&self, grant: GrantKey) -> Verdict {
        let held = &self.grants[grant];
        Verdict::Granted {
            grant,
            address: self.instances[held.instance].address.clone(),
            waited_ms: held.waited_ms,
        }
    }

    fn release_slot(&mut self, grant: GrantKey) {
        let Some(held) = self.grants.remove(grant) else {
            return;
        };
        let request = (held.requester, held.request);
        if self.by_request.get(&request) == Some(&grant) {
            self.by_request.remove(&request);
        }
        let instance = &mut self.instances[held.instance];
        instance.in_use -= 1;
    }

    fn add_latency(&mut self, key: InstanceKey, latency_ms: u64) {
        const WEIGHT: u64 = 8;
        let instance = &mut self.instances[key];
        let latest_us = latency_ms.max(1) * 1_000;
        if instance.latency_us == 0 {
            instance.latency_us = latest_us;
        }
        instance.latency_us = (instance.latency_us * (WEIGHT - 1) + latest_us) / WEIGHT;
        instance.failures = 0;
    }

    /// Counts a failure. An instance that fails everything at once would appear to be
    /// the fastest one and attract all load. It is therefore avoided for a while
    /// after several failures; then one request probes it.
    fn add_failure(&mut self, now_ms: u64, key: InstanceKey) {
        let instance = &mut self.instances[key];
        instance.failures += 1;
        if instance.failures < MAX_FAILURES {
            return;
        }
        let doublings = (instance.failures - MAX_FAILURES).min(3);
        instance.avoided_until_ms = now_ms + (AVOID_MS << doublings);
    }

    fn expected_wait_ms(&self, now_ms: u64) -> u64 {
        const UNKNOWN_US: u64 = 10_000;
        let slots = self.available_slots(now_ms);
        if slots == 0 {
            return AVOID_MS;
        }
        let known = self
            .instances
            .values()
            .filter(|instance| instance.latency_us > 0);
        let (count, sum) = known.fold((0_u64, 0_u64), |(count, sum), instance| {
            (count + 1, sum + instance.latency_us)
        });
        let mean_us = sum.checked_div(count).unwrap_or(UNKNOWN_US);
        (self.waiting.len() as u64 + 1) * mean_us / u64::from(slots) / 1_000
    }
}
