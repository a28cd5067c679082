//! Which time of day a host uses, when clocks jump.
//!
//! Load pattern: the clock of one host, or those of all, is set ahead or back by seconds, minutes
//! or an hour, again before the last jump is undone, while jobs are due at times of day.
//!
//! Without it, a host uses what its clock says at this moment: an owner starts timed jobs an hour
//! early, and records times from which other hosts take the ages of jobs. One notices by jobs that
//! start before their time, and by accounts whose first phase lasts as long as the jump.
//!
//! The steady clock shows what happens to the time of day of this host: their difference, the
//! offset, changes only when the clock is set. An offset counts once the clock has shown it for as
//! long as the one before, at most for [`MAX_TRIAL_MS`]. Jumps that are undone sooner have no
//! effect. The limit is how long a clock that was set right is not believed: the shorter it is, the
//! shorter are the jumps that do no harm.
//!
//! A clock that stays wrong shows itself by what other hosts have recorded when they accepted jobs.
//! The offset in use is the median of this host's and of those that at least two other hosts show,
//! so that no single clock decides. If most clocks are wrong for good, the time in use is wrong too.

use std::collections::BTreeMap;

/// Maximum time for which a clock must show a new offset before it counts: longer than the few
/// seconds after which time services undo a jump, and short against the intervals of timed jobs.
pub const MAX_TRIAL_MS: u64 = 30_000;
/// Change of the offset that is no jump: corrections of the clock that let it run on.
const MAX_SLEW_MS: u64 = 500;
/// Age of another host's time after which it no longer counts. The host may be gone, or its clock
/// set.
const MAX_PEER_AGE_MS: u64 = 600_000;
/// Maximum number of other hosts whose times are kept. A median needs few.
const MAX_PEERS: usize = 32;
/// Number of other hosts that must have shown their times before they outvote this host's clock.
const MIN_PEERS: usize = 2;
/// Difference to the other hosts' clocks that does not count: the time of another host is known
/// with the delay of its record.
const TOLERANCE_MS: i64 = 1_000;

/// An offset that a clock shows.
#[derive(Debug, Clone, Copy)]
struct Shown {
    offset_ms: i64,
    since_ms: u64,
    until_ms: u64,
}

impl Shown {
    fn new(offset_ms: i64, now_ms: u64) -> Self {
        Self {
            offset_ms,
            since_ms: now_ms,
            until_ms: now_ms,
        }
    }

    fn lasted_ms(&self) -> u64 {
        self.until_ms - self.since_ms
    }

    /// Continues with an offset that is the same but for a correction. Returns whether it is.
    fn continue_with(&mut self, offset_ms: i64, now_ms: u64) -> bool {
        let is_same = self.offset_ms.abs_diff(offset_ms) < MAX_SLEW_MS;
        if is_same {
            self.offset_ms = offset_ms;
            self.until_ms = now_ms;
        }
        is_same
    }
}

/// Range of the offset that another host's clock would give this one.
#[derive(Debug, Clone, Copy)]
struct PeerTime {
    /// The offset if its time was recorded just before it was read, as it mostly is.
    min_ms: i64,
    max_ms: i64,
    at_ms: u64,
}

impl PeerTime {
    /// Returns the offset that it shows: this host's own if the two may be the same.
    fn offset_ms(&self, own_ms: i64) -> i64 {
        let range = self.min_ms - TOLERANCE_MS..=self.max_ms + TOLERANCE_MS;
        match range.contains(&own_ms) {
            true => own_ms,
            false => self.min_ms,
        }
    }
}

/// The clocks of this host, and what is known of those of the others.
#[derive(Debug, Default)]
pub struct TimeOfDay {
    settled: Option<Shown>,
    trial: Option<Shown>,
    peers: BTreeMap<Box<str>, PeerTime>,
    /// Offset in use.
    offset_ms: i64,
}

impl TimeOfDay {
    /// Takes both clocks of this host, and returns the time of day to use.
    pub fn observe(&mut self, steady_ms: u64, wall_ms: u64) -> u64 {
        let shown_ms = wall_ms as i64 - steady_ms as i64;
        let settled = self
            .settled
            .get_or_insert_with(|| Shown::new(shown_ms, steady_ms));
        if settled.continue_with(shown_ms, steady_ms) {
            self.trial = None;
        } else {
            let trial = self
                .trial
                .get_or_insert_with(|| Shown::new(shown_ms, steady_ms));
            if !trial.continue_with(shown_ms, steady_ms) {
                *trial = Shown::new(shown_ms, steady_ms);
            }
            if trial.lasted_ms() >= settled.lasted_ms().min(MAX_TRIAL_MS) {
                *settled = *trial;
                self.trial = None;
            }
        }
        let settled_ms = settled.offset_ms;
        self.offset_ms = self.agree(settled_ms);
        (steady_ms as i64 + self.offset_ms).max(0) as u64
    }

    /// Takes the time of day that another host has recorded within the last `age_ms`.
    pub fn record_peer(&mut self, host: &str, wall_ms: u64, age_ms: u64, now_ms: u64) {
        let min_ms = wall_ms as i64 - now_ms as i64;
        let peer = PeerTime {
            min_ms,
            max_ms: min_ms + age_ms as i64,
            at_ms: now_ms,
        };
        self.peers.insert(host.into(), peer);
        self.peers
            .retain(|_, peer| peer.at_ms + MAX_PEER_AGE_MS > now_ms);
        if self.peers.len() > MAX_PEERS {
            let oldest = self.peers.iter().min_by_key(|(_, peer)| peer.at_ms);
            if let Some(host) = oldest.map(|(host, _)| host.clone()) {
                self.peers.remove(&host);
            }
        }
    }

    /// Returns by how much this host's clock is ahead of the time of day in use, in milliseconds.
    pub fn ahead_ms(&self, steady_ms: u64, wall_ms: u64) -> i64 {
        wall_ms as i64 - steady_ms as i64 - self.offset_ms
    }

    /// Returns the number of other hosts whose clocks count.
    pub fn peers(&self) -> usize {
        self.peers.len()
    }

    /// Returns the median of this host's offset and of those that the others show.
    fn agree(&self, own_ms: i64) -> i64 {
        if self.peers.len() < MIN_PEERS {
            return own_ms;
        }
        let mut offsets_ms = vec![own_ms];
        for peer in self.peers.values() {
            offsets_ms.push(peer.offset_ms(own_ms));
        }
        offsets_ms.sort_unstable();
        // Of two in the middle, the one that is nearer to this host's clock.
        let lower_ms = offsets_ms[(offsets_ms.len() - 1) / 2];
        let upper_ms = offsets_ms[offsets_ms.len() / 2];
        own_ms.clamp(lower_ms, upper_ms)
    }
}
