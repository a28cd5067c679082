//! Which entry host owns the progress of jobs.
//!
//! The store decides: a claim is an append under a higher epoch, which shuts the former
//! owner's appends out from then on. Any host may claim at any time without harm; when
//! it should is a matter of not disturbing an owner that is well. A host claims when it
//! has read the stream to its end again and again and found no sign of life for a while.
//! While the store is away nobody finds anything, so nobody claims.

use crate::bounds::Bounds;
use crate::event::Fence;
use crate::record::HostRecord;
use crate::record::OwnerRecord;
use std::collections::HashMap;
use xxhash_rust::xxh3::xxh3_64;

/// Silence of the owner after which a host claims. An owner in good health writes every
/// quarter of a second at least; a store that is sixty times slower takes as much again
/// for the write and for the read.
const SILENCE_MS: u64 = 850;
/// Both this silence and the time between the claims of two hosts are longer by so many
/// times what a read takes: signs of life and claims come through as late as that. With a
/// store 46 times slower 25 of 34 hosts claimed within a second without it.
const LATENCY_FACTOR: u64 = 5;
/// Hosts claim one after the other, in an order of their own, so that one is enough.
const SPREAD_MS: u64 = 300;
/// The same after an owner that leaves, which still acts meanwhile.
const LEAVING_SPREAD_MS: u64 = 400;
/// Pause between two reads of a follower, while the owner is well.
const POLL_MS: u64 = 250;
/// Hosts that look out for the owner: the owner itself and seven to follow. Each read is
/// paid for, and with 34 hosts that all looked out they were half of all calls.
const WATCHERS: usize = 8;
/// Pause between two reads of a host that does not look out; should all that do be gone,
/// it takes so much longer to claim.
const IDLE_POLL_MS: u64 = 1_000;
/// Pause between two reads while the owner is suspected.
const SUSPECT_POLL_MS: u64 = 100;
/// How much stronger a host must be, in percent, for a weaker one to let it go first.
const STRONGER_PERCENT: u64 = 150;
/// Time for which a weaker host lets stronger ones go first. Owning takes processor time:
/// with 0.12 cores instead of 0.5 a fleet of 490 workers earned a third less for its quick
/// jobs.
const WEAKER_MS: u64 = 400;
/// The same when there never was an owner.
const FIRST_WEAKER_MS: u64 = 2_500;
/// Time in which hosts announce themselves when there never was an owner. They start within 0.3 s
/// of one another, and nothing is to do yet.
const FIRST_WAIT_MS: u64 = 1_200;
/// Hosts claim one after the other then, too.
const FIRST_SPREAD_MS: u64 = 1_500;
/// Bits of an epoch that tell apart hosts that claim at the same moment.
const EPOCH_SPREAD_BITS: u32 = 16;

/// Gives a host's place in the order of claims.
fn spread_permille(host: &str) -> u64 {
    xxh3_64(host.as_bytes()) % 1_000
}

/// Tells whether a host with so much processor time lets the strongest go first.
fn is_weaker(cpu_permille: u64, strongest_permille: u64) -> bool {
    strongest_permille * 100 >= cpu_permille * STRONGER_PERCENT
}

/// What the owner tells hosts of all hosts, so that each finds its place among them by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct HostSurvey {
    pub(crate) strongest_permille: u64,
    /// Hosts that let no other go first.
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

/// What a host knows of the owner's health.
#[derive(Debug)]
pub(crate) struct Election {
    cpu_permille: u64,
    /// This host's place in the order of claims.
    spread_permille: u64,
    /// Stronger hosts have announced themselves.
    is_weaker: bool,
    /// This host is among the first to claim, and looks out for that.
    is_watcher: bool,
    salt: u64,
    /// When the newest sign of life was read, and the sign.
    heartbeat_ms: Option<u64>,
    /// When it was first known that the owner leaves.
    leaving_ms: Option<u64>,
    /// Epochs that this host has used.
    claims: u64,
    /// An owner's token that was seen only by its refusing a claim.
    floor: u64,
    /// What reads of the stream take of late.
    latency_ms: u64,
}

impl Election {
    pub(crate) fn new(host: &str, bounds: &Bounds, salt: u64) -> Self {
        Self {
            cpu_permille: bounds.cpu_permille,
            spread_permille: spread_permille(host),
            is_weaker: false,
            is_watcher: true,
            salt,
            heartbeat_ms: None,
            leaving_ms: None,
            claims: 0,
            floor: 0,
            latency_ms: 0,
        }
    }

    /// Notes what reads of the stream take of late.
    pub(crate) fn record_latency(&mut self, latency_ms: u64) {
        self.latency_ms = latency_ms;
    }

    /// Notes which hosts there are.
    pub(crate) fn update_hosts(&mut self, hosts: &HashMap<Box<str>, HostRecord>) {
        let strongest_permille = HostSurvey::of(hosts).strongest_permille;
        let is_weaker = |cpu_permille| is_weaker(cpu_permille, strongest_permille);
        self.is_weaker = is_weaker(self.cpu_permille);
        let own = (self.is_weaker, self.spread_permille);
        let mut earlier = 0;
        for (name, host) in hosts {
            let other = (is_weaker(host.cpu_permille), spread_permille(name));
            earlier += usize::from(other < own);
        }
        self.is_watcher = earlier < WATCHERS;
    }

    /// Notes what the owner tells of all hosts. About as many watch out as among hosts that know
    /// one another.
    pub(crate) fn apply_survey(&mut self, survey: HostSurvey) {
        self.is_weaker = is_weaker(self.cpu_permille, survey.strongest_permille);
        let is_early = self.spread_permille * survey.strong_hosts < WATCHERS as u64 * 1_000;
        self.is_watcher = is_early && !self.is_weaker;
    }

    /// Tells whether this host is among the first to claim.
    pub(crate) fn is_watcher(&self) -> bool {
        self.is_watcher
    }

    /// Notes that a read found something that the owner wrote.
    pub(crate) fn record_heartbeat(&mut self, now_ms: u64, owner: &OwnerRecord) {
        self.heartbeat_ms = Some(now_ms);
        if !owner.is_leaving {
            self.leaving_ms = None;
        } else if self.leaving_ms.is_none() {
            self.leaving_ms = Some(now_ms);
        }
    }

    /// Tells whether a sign of life was read at `since_ms` or later.
    pub(crate) fn has_heartbeat_since(&self, since_ms: u64) -> bool {
        self.heartbeat_ms
            .is_some_and(|heartbeat_ms| heartbeat_ms >= since_ms)
    }

    /// Notes that the stream was read to its end for the first time.
    pub(crate) fn record_loaded(&mut self, now_ms: u64) {
        self.heartbeat_ms.get_or_insert(now_ms);
    }

    /// Counts anew from here: nobody could have been heard so far, or another host was
    /// faster.
    pub(crate) fn restart(&mut self, now_ms: u64) {
        self.heartbeat_ms = self.heartbeat_ms.map(|_| now_ms);
        self.leaving_ms = self.leaving_ms.map(|_| now_ms);
    }

    /// Gives the time at which this host may claim, unless it reads of an owner then.
    pub(crate) fn turn_ms(&self, owner: &OwnerRecord) -> Option<u64> {
        let heartbeat_ms = self.heartbeat_ms?;
        let slow_ms = self.latency_ms * LATENCY_FACTOR;
        let leaving_wait_ms = self.spread_permille * (LEAVING_SPREAD_MS + slow_ms) / 1_000;
        if owner.token == 0 {
            let weaker_ms = if self.is_weaker { FIRST_WEAKER_MS } else { 0 };
            let spread_ms = self.spread_permille * FIRST_SPREAD_MS / 1_000;
            return Some(heartbeat_ms + FIRST_WAIT_MS + weaker_ms + spread_ms);
        }
        let weaker_ms = if self.is_weaker { WEAKER_MS } else { 0 };
        if let Some(leaving_ms) = self.leaving_ms {
            return Some(leaving_ms + weaker_ms + leaving_wait_ms);
        }
        let spread_ms = self.spread_permille * (SPREAD_MS + slow_ms) / 1_000;
        Some(heartbeat_ms + weaker_ms + SILENCE_MS + slow_ms + spread_ms)
    }

    /// Tells whether to claim: a read that was sent when this host's turn had come, at
    /// `fresh_ms`, has reached the end of the stream and found no other owner.
    pub(crate) fn should_claim(&self, fresh_ms: Option<u64>, owner: &OwnerRecord) -> bool {
        match (self.turn_ms(owner), fresh_ms) {
            (Some(claim_ms), Some(fresh_ms)) => fresh_ms >= claim_ms,
            _ => false,
        }
    }

    /// Tells whether this host's turn has come, so that it should read.
    pub(crate) fn is_due(&self, now_ms: u64, owner: &OwnerRecord) -> bool {
        self.turn_ms(owner)
            .is_some_and(|claim_ms| now_ms >= claim_ms)
    }

    /// Gives the pause between reads of the stream.
    pub(crate) fn poll_ms(&self, now_ms: u64, owner: &OwnerRecord) -> u64 {
        match self.heartbeat_ms {
            // There never was an owner, so none is missed.
            Some(_) if owner.token == 0 => POLL_MS,
            Some(_) if !self.is_watcher => IDLE_POLL_MS,
            Some(heartbeat_ms) if now_ms < heartbeat_ms + 2 * POLL_MS => POLL_MS,
            _ => SUSPECT_POLL_MS,
        }
    }

    /// Notes that a claim was refused by an epoch that no sign of life tells of: its owner
    /// may have died before it gave one.
    pub(crate) fn raise_floor(&mut self) {
        self.floor += 1 << EPOCH_SPREAD_BITS;
    }

    /// Makes an epoch above the owner's that no other host uses.
    pub(crate) fn fence(&mut self, owner: &OwnerRecord) -> Fence {
        self.claims += 1;
        let mixed = xxh3_64(&[self.salt.to_le_bytes(), self.claims.to_le_bytes()].concat());
        self.floor = self.floor.max(owner.token);
        let spread = mixed & ((1 << EPOCH_SPREAD_BITS) - 1);
        Fence {
            epoch: (((owner.token.max(self.floor) >> EPOCH_SPREAD_BITS) + 1) << EPOCH_SPREAD_BITS)
                | spread,
            sequence: 0,
        }
    }
}
