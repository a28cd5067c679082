//! A hybrid logical clock: close to wall time, and never against cause and effect.

/// A point of the clock: 48 bits of milliseconds, 16 bits of counter.
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
    /// Gives the wall-clock part in milliseconds.
    pub fn wall_ms(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// Gives the counter part.
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
    /// Stamps a local event or a message that is sent at `wall_ms`.
    pub fn tick(&mut self, wall_ms: u64) -> Stamp {
        let wall = Stamp(wall_ms << COUNTER_BITS);
        self.latest = wall.max(Stamp(self.latest.0 + 1));
        self.latest
    }

    /// Takes in the stamp of a message that arrives at `wall_ms`.
    pub fn receive(&mut self, wall_ms: u64, sent: Stamp) -> Stamp {
        self.latest = self.latest.max(sent);
        self.tick(wall_ms)
    }
}
