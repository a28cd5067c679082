//! Election of the entry host that owns the progress of jobs.
//!
//! The store decides: a claim is an append under a higher epoch, and from then on the store rejects
//! appends of the previous owner. A claim at any time is safe, but a needless one replaces a
//! healthy owner. A host claims after it has repeatedly read the stream to its end without finding
//! a heartbeat. While the store is unavailable, no read reaches the end, so no host claims.

use crate::bounds::Bounds;
use crate::event::Fence;
use crate::record::HostRecord;
use crate::record::OwnerRecord;
use std::collections::HashMap;
use std::collections::HashSet;
use xxhash_rust::xxh3::xxh3_64;

/// Time without a heartbeat after which a host claims. A healthy owner writes at least every
/// quarter of a second; a store that is sixty times slower takes another quarter of a second for
/// the write and one for the read.
const SILENCE_MS: u64 = 850;
/// Multiple of the latency of reads that is added both to [`SILENCE_MS`] and to the time between
/// the claims of hosts, since heartbeats and claims are delayed by that latency. Without it, 25 of
/// 34 hosts claimed within a second when the store was 46 times slower.
const LATENCY_FACTOR: u64 = 5;
/// Period over which the claims of hosts are spread, in an order that is derived from their names,
/// so that the first claim makes the others unnecessary.
const CLAIM_SPREAD_MS: u64 = 300;
/// The same period if the owner is leaving, since it continues to act meanwhile.
const LEAVING_CLAIM_SPREAD_MS: u64 = 400;
/// Interval between reads of a watcher while the owner is healthy.
const READ_INTERVAL_MS: u64 = 250;
/// Hosts that monitor the owner: the owner itself and the seven hosts that would claim first. Each
/// read has a cost, so only a few hosts monitor the owner.
pub(crate) const WATCHERS: usize = 8;
/// Interval between reads of a host that is no watcher. If all watchers are down, a claim is later
/// by up to this time.
const IDLE_READ_INTERVAL_MS: u64 = 1_000;
/// Interval between reads while heartbeats are overdue.
const OVERDUE_READ_INTERVAL_MS: u64 = 100;
/// Time without news of the owner's heartbeats over its connection after which a watcher reads them
/// from the store. The owner sends watchers such news five times a second.
const WATCHER_UNHEARD_MS: u64 = 2 * READ_INTERVAL_MS;
/// The same for any other host, to which the owner sends news once a second.
const UNHEARD_MS: u64 = 3_000;
/// CPU share of the strongest host, in percent of a host's own, from which the host delays its
/// claims.
const MIN_STRONGER_PERCENT: u64 = 150;
/// Time by which a weaker host delays its claims, so that stronger hosts claim first. Ownership
/// takes processor time: with 0.12 cores instead of 0.5, a fleet of 490 workers earned a third less
/// for its short jobs.
const WEAKER_DELAY_MS: u64 = 400;
/// The same delay if there has never been an owner.
const FIRST_WEAKER_DELAY_MS: u64 = 2_500;
/// Time for which hosts announce themselves before the first claim ever. They start within 0.3 s
/// of one another, and there is no work yet that a later claim would delay.
const FIRST_CLAIM_DELAY_MS: u64 = 1_200;
/// Period over which the first claims are spread.
const FIRST_CLAIM_SPREAD_MS: u64 = 1_500;
/// Low bits of an epoch, which differ between hosts that claim at the same moment.
const EPOCH_SUFFIX_BITS: u32 = 16;

/// Returns a host's position in the order of claims, in thousandths.
fn position_permille(host: &str) -> u64 {
    xxh3_64(host.as_bytes()) % 1_000
}

/// Returns whether a host with this CPU share lets the strongest host claim first.
fn is_weaker(cpu_permille: u64, strongest_permille: u64) -> bool {
    strongest_permille * 100 >= cpu_permille * MIN_STRONGER_PERCENT
}

/// Returns a host's place in the order of claims. Names decide between hosts of equal position.
fn claim_order(name: &str, cpu_permille: u64, strongest_permille: u64) -> (bool, u64, &str) {
    let is_weaker = is_weaker(cpu_permille, strongest_permille);
    (is_weaker, position_permille(name), name)
}

/// Returns the names of the hosts that monitor the owner.
pub(crate) fn watchers(hosts: &HashMap<Box<str>, HostRecord>) -> HashSet<&str> {
    let strongest_permille = HostSurvey::of(hosts).strongest_permille;
    let mut names = Vec::with_capacity(hosts.len());
    for (name, host) in hosts {
        names.push(claim_order(name, host.cpu_permille, strongest_permille));
    }
    names.sort_unstable();
    names
        .iter()
        .take(WATCHERS)
        .map(|(.., name)| *name)
        .collect()
}

/// Summary of all hosts that the owner publishes, so that each host can compute its own position in
/// the order of claims.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct HostSurvey {
    pub(crate) strongest_permille: u64,
    /// Number of hosts that do not delay their claims.
    pub(crate) strong_hosts: u64,
}

impl HostSurvey {
    pub(crate) fn of(hosts: &HashMap<Box<str>, HostRecord>) -> Self {
        let strongest = hosts.values().map(|host| host.cpu_permille).max();
        let strongest_permille = strongest.unwrap_or(0);
        let mut strong_hosts = 0;
        for host in hosts.values() {
            strong_hosts += u64::from(!is_weaker(host.cpu_permille, strongest_permille));
        }
        Self {
            strongest_permille,
            strong_hosts,
        }
    }
}

/// A host's view of the owner's health, and the host's position in the order of claims.
#[derive(Debug)]
pub(crate) struct Election {
    host: Box<str>,
    cpu_permille: u64,
    /// This host's position in the order of claims.
    position_permille: u64,
    /// Stronger hosts have announced themselves, so this one delays its claims.
    is_weaker: bool,
    /// This host is among the first to claim, and monitors the owner.
    is_watcher: bool,
    salt: u64,
    /// When the newest heartbeat was read, or when silence began to count.
    heartbeat_ms: Option<u64>,
    /// When the newest heartbeat was heard from the owner itself, and the offset after it in the
    /// stream.
    heard_ms: Option<u64>,
    heard_end: u64,
    /// When it first became known that the owner is leaving.
    leaving_ms: Option<u64>,
    /// Number of epochs that this host has used.
    claims: u64,
    /// Token that the next epoch must exceed. It may be above the owner's known token, since an
    /// owner without a heartbeat is known only by the store's rejection of a claim.
    min_token: u64,
    /// Recent latency of reads of the stream.
    latency_ms: u64,
}

impl Election {
    pub(crate) fn new(host: &str, bounds: &Bounds, salt: u64) -> Self {
        Self {
            host: host.into(),
            cpu_permille: bounds.cpu_permille,
            position_permille: position_permille(host),
            is_weaker: false,
            is_watcher: true,
            salt,
            heartbeat_ms: None,
            heard_ms: None,
            heard_end: 0,
            leaving_ms: None,
            claims: 0,
            min_token: 0,
            latency_ms: 0,
        }
    }

    /// Records the recent latency of reads of the stream.
    pub(crate) fn record_latency(&mut self, latency_ms: u64) {
        self.latency_ms = latency_ms;
    }

    /// Updates this host's position among the hosts that have announced themselves.
    pub(crate) fn update_hosts(&mut self, hosts: &HashMap<Box<str>, HostRecord>) {
        let strongest_permille = HostSurvey::of(hosts).strongest_permille;
        self.is_weaker = is_weaker(self.cpu_permille, strongest_permille);
        let own = claim_order(&self.host, self.cpu_permille, strongest_permille);
        let mut earlier = 0;
        for (name, host) in hosts {
            let other = claim_order(name, host.cpu_permille, strongest_permille);
            earlier += usize::from(other < own);
        }
        self.is_watcher = earlier < WATCHERS;
    }

    /// Updates this host's position from the owner's summary. The number of watchers is about the
    /// same as with [`Election::update_hosts`].
    pub(crate) fn apply_survey(&mut self, survey: HostSurvey) {
        self.is_weaker = is_weaker(self.cpu_permille, survey.strongest_permille);
        let is_early = self.position_permille * survey.strong_hosts < WATCHERS as u64 * 1_000;
        self.is_watcher = is_early && !self.is_weaker;
    }

    /// Returns whether this host is among the first to claim.
    pub(crate) fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// Records that a read found records of the owner, of which the newest is at `offset`. Records
    /// that the owner has already announced to this host do not count as a new heartbeat.
    pub(crate) fn record_heartbeat(&mut self, offset: u64, now_ms: u64, owner: &OwnerRecord) {
        let is_heard = offset < self.heard_end && self.has_heard_within(SILENCE_MS, now_ms);
        if !is_heard {
            self.heartbeat_ms = Some(now_ms);
        }
        if !owner.is_leaving {
            self.leaving_ms = None;
        } else if self.leaving_ms.is_none() {
            self.leaving_ms = Some(now_ms);
        }
    }

    /// Records that the owner has told this host at `heard_ms` of a heartbeat in the store.
    pub(crate) fn record_heard(&mut self, heard_ms: u64, end: u64) {
        // A new connection of an owner repeats what is known.
        if end <= self.heard_end {
            return;
        }
        self.heard_ms = Some(heard_ms);
        self.heard_end = end;
        self.heartbeat_ms = self.heartbeat_ms.map(|known_ms| known_ms.max(heard_ms));
    }

    /// Lets the claims of hosts that relied on the owner follow one another as usual, although its
    /// silence began long ago.
    pub(crate) fn end_reliance(&mut self, now_ms: u64) {
        let earliest_ms = now_ms.saturating_sub(SILENCE_MS);
        self.heartbeat_ms = self.heartbeat_ms.map(|known_ms| known_ms.max(earliest_ms));
    }

    fn has_heard_within(&self, ms: u64, now_ms: u64) -> bool {
        self.heard_ms.is_some_and(|heard_ms| now_ms < heard_ms + ms)
    }

    /// Returns whether the owner itself tells this host of its heartbeats in time, so that they need
    /// not be read.
    pub(crate) fn hears_owner(&self, now_ms: u64) -> bool {
        let unheard_ms = match self.is_watcher {
            true => WATCHER_UNHEARD_MS,
            false => UNHEARD_MS,
        };
        self.leaving_ms.is_none() && self.has_heard_within(unheard_ms, now_ms)
    }

    /// Returns whether a heartbeat was read at `since_ms` or later.
    pub(crate) fn has_heartbeat_since(&self, since_ms: u64) -> bool {
        self.heartbeat_ms
            .is_some_and(|heartbeat_ms| heartbeat_ms >= since_ms)
    }

    /// Records that the stream was read to its end for the first time.
    pub(crate) fn record_loaded(&mut self, now_ms: u64) {
        self.heartbeat_ms.get_or_insert(now_ms);
    }

    /// Restarts the timeouts: heartbeats could not have been read so far, or another host has
    /// claimed first.
    pub(crate) fn restart_timeouts(&mut self, now_ms: u64) {
        self.heartbeat_ms = self.heartbeat_ms.map(|_| now_ms);
        self.leaving_ms = self.leaving_ms.map(|_| now_ms);
    }

    /// Returns the time from which this host may claim, unless it then reads a heartbeat. `None`
    /// before the stream was read to its end.
    pub(crate) fn claim_due_ms(&self, owner: &OwnerRecord) -> Option<u64> {
        let heartbeat_ms = self.heartbeat_ms?;
        let slow_ms = self.latency_ms * LATENCY_FACTOR;
        let leaving_spread_ms =
            self.position_permille * (LEAVING_CLAIM_SPREAD_MS + slow_ms) / 1_000;
        if owner.token == 0 {
            let weaker_ms = if self.is_weaker {
                FIRST_WEAKER_DELAY_MS
            } else {
                0
            };
            let spread_ms = self.position_permille * FIRST_CLAIM_SPREAD_MS / 1_000;
            return Some(heartbeat_ms + FIRST_CLAIM_DELAY_MS + weaker_ms + spread_ms);
        }
        let weaker_ms = if self.is_weaker { WEAKER_DELAY_MS } else { 0 };
        if let Some(leaving_ms) = self.leaving_ms {
            return Some(leaving_ms + weaker_ms + leaving_spread_ms);
        }
        let spread_ms = self.position_permille * (CLAIM_SPREAD_MS + slow_ms) / 1_000;
        Some(heartbeat_ms + weaker_ms + SILENCE_MS + slow_ms + spread_ms)
    }

    /// Returns whether to claim: a read that was sent after the time of this host's claim, at
    /// `known_ms`, has reached the end of the stream and found no other owner.
    pub(crate) fn should_claim(&self, known_ms: Option<u64>, owner: &OwnerRecord) -> bool {
        match (self.claim_due_ms(owner), known_ms) {
            (Some(claim_ms), Some(known_ms)) => known_ms >= claim_ms,
            _ => false,
        }
    }

    /// Returns whether the time of this host's claim has come, so that it should read first.
    pub(crate) fn is_claim_due(&self, now_ms: u64, owner: &OwnerRecord) -> bool {
        self.claim_due_ms(owner)
            .is_some_and(|claim_ms| now_ms >= claim_ms)
    }

    /// Returns the interval between reads of the stream.
    pub(crate) fn read_interval_ms(&self, now_ms: u64, owner: &OwnerRecord) -> u64 {
        match self.heartbeat_ms {
            // There has never been an owner, so no heartbeat is overdue.
            Some(_) if owner.token == 0 => READ_INTERVAL_MS,
            Some(_) if !self.is_watcher => IDLE_READ_INTERVAL_MS,
            Some(heartbeat_ms) if now_ms < heartbeat_ms + 2 * READ_INTERVAL_MS => READ_INTERVAL_MS,
            _ => OVERDUE_READ_INTERVAL_MS,
        }
    }

    /// Raises the lowest token to use, after the store rejected a claim because of a later epoch
    /// that no heartbeat has shown: the owner of that epoch may have died before its first
    /// heartbeat.
    pub(crate) fn raise_min_token(&mut self) {
        self.min_token += 1 << EPOCH_SUFFIX_BITS;
    }

    /// Returns a fence whose epoch is above the owner's and is used by no other host.
    pub(crate) fn next_fence(&mut self, owner: &OwnerRecord) -> Fence {
        self.claims += 1;
        let hash = xxh3_64(&[self.salt.to_le_bytes(), self.claims.to_le_bytes()].concat());
        self.min_token = self.min_token.max(owner.token);
        let suffix = hash & ((1 << EPOCH_SUFFIX_BITS) - 1);
        Fence {
            epoch: (((owner.token.max(self.min_token) >> EPOCH_SUFFIX_BITS) + 1)
                << EPOCH_SUFFIX_BITS)
                | suffix,
            sequence: 0,
        }
    }
}
