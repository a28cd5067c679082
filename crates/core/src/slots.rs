//! The slots of a service's instances in one failure domain, exactly counted by
//! the one owner of their cell.
//!
//! What goes wrong without one owner: several entry hosts each see a free slot
//! and together send an instance more than it can work on. A slot is therefore
//! granted, held and released here. It stays taken while the fate of an attempt
//! is unknown, until the instance must have ended it.

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

/// How an attempt under a grant ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GrantOutcome {
    /// The instance gave a whole answer after `latency_ms`.
    Answered {
        /// Time from sending to the whole answer.
        latency_ms: u64,
    },
    /// The instance gave a whole answer that says it failed.
    Failed {
        /// Time from sending to the whole answer.
        latency_ms: u64,
    },
    /// Nothing reached the instance, though it was tried.
    NotStarted,
    /// The slot was not used.
    Unused,
    /// The instance may still be working on it.
    Unknown,
}

/// The end of an attempt under a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRelease {
    /// The grant.
    pub grant: GrantKey,
    /// Who held it.
    pub requester: Member,
    /// The request that it was used for.
    pub request: u64,
    /// How the attempt ended.
    pub ended: GrantOutcome,
    /// Request for which the asker goes on to use the slot.
    pub next: Option<u64>,
}

/// A request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SlotRequest {
    /// Entry host that will send the attempt.
    pub requester: Member,
    /// Its number there.
    pub request: u64,
    /// When its owner was first asked for it.
    pub asked_ms: u64,
    /// Latest time at which an attempt may still begin.
    pub begin_by_ms: u64,
}

plain! {
    /// What the owner of the cell answers.
    pub enum Verdict {
        /// A slot is held for the asker.
        Granted {
            /// Names the grant when it is released.
            grant: GrantKey,
            /// Address of the instance.
            address: Box<str>,
            /// How long the request had waited when the slot was granted.
            waited_ms: u64,
        },
        /// No slot comes free in time.
        Refused {
            /// When asking again makes sense.
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
    /// Smoothed time of an answer, in microseconds; 0 before the first one.
    latency_us: u64,
    failures: u32,
    shunned_until_ms: u64,
    /// When a slot of it was granted last.
    used_ms: u64,
}

impl Instance {
    /// Gives the slots that may be used; one that failed often is only probed.
    fn usable_slots(&self) -> u32 {
        match self.failures >= FAILURES_BORNE {
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

/// Bounds of one cell of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Time within which an instance ends any request.
    pub timeout_ms: u64,
    /// Time within which attempts under a grant begin.
    pub use_ms: u64,
    /// Requests that may wait per slot.
    pub waiting_per_slot: u32,
}

/// The instances of one service in one failure domain, as their owner sees them.
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

/// One failure in a row more than this and an instance is shunned.
const FAILURES_BORNE: u32 = 3;
/// An instance that takes this many times as long as the fastest one is slow.
const SLOW_FACTOR: u64 = 3;
/// Time after which a slow instance gets a request all the same.
const PROBE_MS: u64 = 1_000;
/// How long an instance is shunned at first; doubles up to eight times as long.
const SHUN_MS: u64 = 500;

impl UpstreamCell {
    /// Starts with no instances; nothing is granted before `opens_ms`, since a
    /// former owner's grants may be in use until then.
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

    /// Lists or updates an instance.
    pub fn update_instance(&mut self, name: &str, address: &str, slots: u32, is_leaving: bool) {
        if let Some(key) = self.by_name.get(name) {
            let instance = &mut self.instances[*key];
            instance.slots = slots;
            instance.is_leaving = is_leaving;
            if &*instance.address != address {
                // A new process at another address: its record starts afresh,
                // while slots of the old one stay taken until released.
                instance.address = address.into();
                instance.failures = 0;
                instance.shunned_until_ms = 0;
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
            shunned_until_ms: 0,
            used_ms: 0,
        });
        self.by_name.insert(name.into(), key);
    }

    /// Stops granting slots of an instance that is no longer listed.
    pub fn remove_instance(&mut self, name: &str) {
        if let Some(key) = self.by_name.get(name) {
            self.instances[*key].is_leaving = true;
        }
    }

    /// Names the instances that are listed and not leaving.
    pub fn instance_names(&self) -> Vec<Box<str>> {
        let staying = self
            .instances
            .values()
            .filter(|instance| !instance.is_leaving);
        staying.map(|instance| instance.name.clone()).collect()
    }

    /// Counts the slots in use and those there are on staying instances.
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

    /// Counts the slots of instances that take requests now. One that is shunned
    /// counts for nothing, and one on probation for a single slot, so that a broken
    /// cell does not look idle and draw the requests of the whole service.
    fn open_slots(&self, now_ms: u64) -> u32 {
        let mut sum = 0;
        for instance in self.instances.values() {
            if instance.is_leaving || now_ms < instance.shunned_until_ms {
                continue;
            }
            sum += instance.usable_slots();
        }
        sum
    }

    /// Gives the free slots in sight of new requests.
    pub fn free_slots(&self, now_ms: u64) -> u32 {
        let mut free = 0;
        for instance in self.instances.values() {
            if instance.is_leaving || now_ms < instance.shunned_until_ms {
                continue;
            }
            free += instance.usable_slots().saturating_sub(instance.in_use);
        }
        free.saturating_sub(self.waiting.len() as u32)
    }

    /// Counts the requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Asks for a slot; `None` means that the request waits for one.
    pub fn request_slot(&mut self, now_ms: u64, entry: SlotRequest) -> Option<Verdict> {
        if let Some(grant) = self.by_request.get(&(entry.requester, entry.request)) {
            // The asker did not hear the first answer and asks again.
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
            && let Some(instance) = self.choose(now_ms)
        {
            return Some(self.grant(now_ms, instance, entry));
        }
        let wait_ms = self.expected_wait_ms(now_ms);
        let slots = self.open_slots(now_ms);
        let is_full = self.waiting.len() as u32 >= slots * self.bounds.waiting_per_slot;
        if is_full || slots == 0 || now_ms + wait_ms > entry.begin_by_ms {
            let retry_after_ms = wait_ms.max(1);
            return Some(Verdict::Refused { retry_after_ms });
        }
        self.waiting.push_back(entry);
        None
    }

    /// Drops a request that waits, or that was granted and never sent.
    pub fn cancel(&mut self, requester: Member, request: u64) {
        self.waiting
            .retain(|entry| (entry.requester, entry.request) != (requester, request));
        if let Some(grant) = self.by_request.get(&(requester, request)).copied() {
            self.release_slot(grant);
        }
    }

    /// Notes how an attempt ended.
    ///
    /// A release that names another request than the grant's comes from a time
    /// before this owner, whose grants had the same names; it is passed over. With
    /// `next` the asker goes on to use the slot for a request of its own that
    /// waits, which saves the two messages in which the slot would stand idle. The
    /// grant's end stays where it was, so that it is safe even if this message is
    /// lost.
    pub fn release(&mut self, now_ms: u64, released: SlotRelease) {
        let Some(held) = self.grants.get_mut(released.grant) else {
            return;
        };
        if (held.requester.seat, held.request) != (released.requester.seat, released.request) {
            return;
        }
        let key = held.instance;
        match released.ended {
            GrantOutcome::Answered { latency_ms } => self.note_answer(key, latency_ms),
            GrantOutcome::Failed { .. } | GrantOutcome::NotStarted => {
                self.note_failure(now_ms, key)
            }
            GrantOutcome::Unused => {}
            GrantOutcome::Unknown => {
                self.note_failure(now_ms, key);
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

    /// Ends what has run out and serves those that wait; gives their verdicts.
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
            let Some(instance) = self.choose(now_ms) else {
                break;
            };
            self.waiting.pop_front();
            verdicts.push((entry, self.grant(now_ms, instance, entry)));
        }
        verdicts
    }

    /// Picks the free slot where an answer is expected soonest.
    ///
    /// An instance that has become slow is passed over while a slot of a fast one
    /// is expected to come free early enough. One request a second still goes
    /// there, so that one notices when it has recovered.
    fn choose(&self, now_ms: u64) -> Option<InstanceKey> {
        let mut best: Option<(u64, InstanceKey)> = None;
        let mut fastest_us = u64::MAX;
        for (key, instance) in &self.instances {
            if instance.is_leaving || now_ms < instance.shunned_until_ms {
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
        if !is_slow || now_ms >= instance.used_ms + PROBE_MS {
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
        held.used_ms = now_ms;
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

    fn note_answer(&mut self, key: InstanceKey, latency_ms: u64) {
        const WEIGHT: u64 = 8;
        let instance = &mut self.instances[key];
        let latest_us = latency_ms.max(1) * 1_000;
        if instance.latency_us == 0 {
            instance.latency_us = latest_us;
        }
        instance.latency_us = (instance.latency_us * (WEIGHT - 1) + latest_us) / WEIGHT;
        instance.failures = 0;
    }

    /// Counts a failure. An instance that fails everything at once would look
    /// the fastest of all and draw all load; its failures shun it for a while,
    /// after which one request probes it.
    fn note_failure(&mut self, now_ms: u64, key: InstanceKey) {
        let instance = &mut self.instances[key];
        instance.failures += 1;
        if instance.failures < FAILURES_BORNE {
            return;
        }
        let doublings = (instance.failures - FAILURES_BORNE).min(3);
        instance.shunned_until_ms = now_ms + (SHUN_MS << doublings);
    }

    fn expected_wait_ms(&self, now_ms: u64) -> u64 {
        const UNKNOWN_US: u64 = 10_000;
        let slots = self.open_slots(now_ms);
        if slots == 0 {
            return SHUN_MS;
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
