//! Keeps batch tasks from harming the services beside them on one host.
//!
//! How much a pair disturbs each other is hidden and shifts with load; it shows
//! only in measurements that arrive late. The guard first takes processor share
//! from batch tasks, which is undone within seconds, and evicts only when the
//! least share has not helped for a while, since an evicted task may cost a double
//! confirmation. It gives share back slowly, so that noise in waves does not make
//! it swing.

/// Slowdown of a service, in thousandths, above which batch work is held back.
pub const HARM_PERMILLE: u32 = 1_300;
/// Slowdown below which batch work gets share back.
pub const CALM_PERMILLE: u32 = 1_150;
/// Least share of their processors that batch tasks keep.
const LEAST_SHARE: u32 = 250;
/// Whole share.
const WHOLE_SHARE: u32 = 1_000;
/// Share given back per calm measurement.
const STEP_UP: u32 = 100;
/// Harmful measurements at the least share before one task is evicted.
const HARM_BORNE: u32 = 5;
/// How long a host takes no batch task after harm.
const REST_MS: u64 = 10_000;

/// The guard of one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Guard {
    share: u32,
    harmful: u32,
    rests_until_ms: u64,
}

/// What a measurement leads to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Measure {
    /// One batch task should go.
    pub evicts_one: bool,
}

impl Default for Guard {
    fn default() -> Self {
        Self {
            share: WHOLE_SHARE,
            harmful: 0,
            rests_until_ms: 0,
        }
    }
}

impl Guard {
    /// Takes in one measurement; 0 means that none arrived.
    pub fn note(&mut self, now_ms: u64, slowdown_permille: u32) -> Measure {
        let mut measure = Measure { evicts_one: false };
        if slowdown_permille == 0 {
            return measure;
        }
        if slowdown_permille < CALM_PERMILLE {
            self.harmful = 0;
            self.share = (self.share + STEP_UP).min(WHOLE_SHARE);
            return measure;
        }
        if slowdown_permille < HARM_PERMILLE {
            return measure;
        }
        self.rests_until_ms = now_ms + REST_MS;
        if self.share > LEAST_SHARE {
            self.share = (self.share / 2).max(LEAST_SHARE);
            return measure;
        }
        self.harmful += 1;
        if self.harmful >= HARM_BORNE {
            self.harmful = 0;
            measure.evicts_one = true;
        }
        measure
    }

    /// Tells whether the host takes another batch task.
    pub fn accepts(&self, now_ms: u64) -> bool {
        now_ms >= self.rests_until_ms
    }

    /// Gives the share of their processors that batch tasks may use.
    pub fn batch_permille(&self) -> u32 {
        self.share
    }
}
