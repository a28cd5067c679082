//! A hybrid logical clock: close to the wall clock, and consistent with the order of cause
//! and effect across processes.

/// A reading of the clock: 48 bits of milliseconds since the Unix epoch and 16 bits of
/// counter.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Default,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Stamp(pub u64);

const COUNTER_BITS: u32 = 16;

impl Stamp {
    /// Returns the wall-clock part in milliseconds.
    pub fn wall_ms(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// Returns the counter part, which orders events of the same millisecond.
    pub fn counter(self) -> u64 {
        self.0 & ((1 << COUNTER_BITS) - 1)
    }
}

/// The clock of one process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Clock {
    latest: Stamp,
}

impl Clock {
    /// Returns the stamp of a local event, or of a message that is sent, at `wall_ms`. It is
    /// later than all previous stamps.
    pub fn tick(&mut self, wall_ms: u64) -> Stamp {
        let wall = Stamp(wall_ms << COUNTER_BITS);
        self.latest = wall.max(Stamp(self.latest.0 + 1));
        self.latest
    }

    /// Advances the clock past the stamp of a message that arrives at `wall_ms`; returns the
    /// stamp of the arrival.
    pub fn receive(&mut self, wall_ms: u64, sent: Stamp) -> Stamp {
        self.latest = self.latest.max(sent);
        self.tick(wall_ms)
    }
}
