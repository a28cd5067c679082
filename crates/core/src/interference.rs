//! Keeps batch tasks from harming the services beside them on one host.
//!
//! How much a kind of job disturbs a service is hidden, differs from pair to pair,
//! shifts with load, and shows only in measurements that arrive late. The guard
//! learns it for each kind of job on its host, as the slowdown that one core of
//! that kind adds. With that it
//!
//! - takes no task of a kind whose cores would bring the service near the bound,
//!   and tries a kind that it does not know only one task at a time;
//! - takes processor share from batch tasks when measurements come near the bound,
//!   which is undone within seconds;
//! - has a task of the most harmful kind evicted only when little share has not
//!   helped for a while, since an eviction may cost a double confirmation.
//!
//! A single bad measurement leads to nothing: the middle one of three counts. What
//! was learned is raised fast and lowered slowly, so that noise in waves does not
//! make the guard swing.

/// Slowdown of a service, in thousandths, above which batch work is held back.
const HARMFUL_PERMILLE: u32 = 1_250;
/// Slowdown below which batch work gets share back.
const SAFE_PERMILLE: u32 = 1_180;

/// Settings of a guard; the benchmarks compare others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InterferenceSettings {
    /// Slowdown that batch work may add, as a share of the usual latency.
    pub max_slowdown: f64,
    /// Least share of their processors that batch tasks keep.
    pub min_share: f64,
    /// Measurements with little share before a task is evicted.
    pub eviction_samples: u32,
    /// Whether it learns, and refuses tasks by what it learned.
    pub is_learning: bool,
}

/// The guard's settings in the product.
pub const INTERFERENCE_SETTINGS: InterferenceSettings = InterferenceSettings {
    max_slowdown: 0.2,
    min_share: 0.25,
    eviction_samples: 10,
    is_learning: true,
};

/// Share given back per calm measurement.
const SHARE_STEP: f64 = 0.05;
/// Share at or below which an eviction comes near.
const LOW_SHARE: f64 = 0.5;
/// Time after a change on the host before measurements teach anything; they lag.
const MEASURE_LAG_MS: u64 = 5_000;
/// How fast what was learned is raised and lowered.
const RAISE_RATE: f64 = 0.3;
const LOWER_RATE: f64 = 0.02;
/// Teachings after which a kind counts as known.
const MIN_COUNT: u32 = 5;

/// What is known of one kind of job on a host.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Learned {
    kind: u64,
    /// Slowdown that one core adds.
    per_core: f64,
    samples: u32,
}

/// Cores that one kind of job holds on a host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Hash of the job's name.
    pub kind: u64,
    /// Cores that its running tasks hold.
    pub cores: f64,
}

/// The guard of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct InterferenceControl {
    settings: InterferenceSettings,
    share: f64,
    /// Slowdown of the service by itself.
    base: f64,
    learned: Vec<Learned>,
    latest: [u32; 3],
    is_measured: bool,
    loads: Vec<Load>,
    changed_ms: u64,
    low_samples: u32,
}

impl Default for InterferenceControl {
    fn default() -> Self {
        Self::new(INTERFERENCE_SETTINGS)
    }
}

impl InterferenceControl {
    /// Makes a guard that knows nothing yet.
    pub fn new(settings: InterferenceSettings) -> Self {
        Self {
            settings,
            share: 1.0,
            base: 0.0,
            learned: Vec::new(),
            latest: [0; 3],
            is_measured: false,
            loads: Vec::new(),
            changed_ms: 0,
            low_samples: 0,
        }
    }

    /// Takes in a measurement, 0 if none arrived, with what runs on the host; gives
    /// the kind of which one task should go, if any.
    pub fn record(&mut self, now_ms: u64, slowdown_permille: u32, loads: &[Load]) -> Option<u64> {
        if self.loads != loads {
            self.loads = loads.to_vec();
            self.changed_ms = now_ms;
        }
        if slowdown_permille == 0 {
            return None;
        }
        self.is_measured = true;
        self.latest.rotate_left(1);
        self.latest[2] = slowdown_permille;
        let median = self.median();
        if self.settings.is_learning && now_ms >= self.changed_ms + MEASURE_LAG_MS {
            self.learn(f64::from(median) / 1_000.0 - 1.0);
        }
        self.set_share(now_ms, median);
        self.choose_eviction()
    }

    fn median(&self) -> u32 {
        let mut sorted = self.latest;
        sorted.sort_unstable();
        sorted[1]
    }

    fn find(&self, kind: u64) -> Option<&Learned> {
        self.learned.iter().find(|entry| entry.kind == kind)
    }

    /// Gives the slowdown that is expected of `loads` at full share.
    fn expected(&self, loads: &[Load]) -> f64 {
        let mut sum = 0.0;
        for load in loads {
            sum += self.find(load.kind).map_or(0.0, |entry| entry.per_core) * load.cores;
        }
        sum
    }

    /// Corrects what is known by the error of the forecast, each kind by its part.
    fn learn(&mut self, slowdown: f64) {
        let share = self.share;
        let error = slowdown - self.base - self.expected(&self.loads) * share;
        let rate = if error > 0.0 { RAISE_RATE } else { LOWER_RATE };
        let squares: f64 = self
            .loads
            .iter()
            .map(|load| (load.cores * share).powi(2))
            .sum();
        const BASE_WEIGHT: f64 = 0.5;
        let whole = squares + BASE_WEIGHT;
        self.base = (self.base + rate * error * BASE_WEIGHT / whole)
            .clamp(0.0, self.settings.max_slowdown / 2.0);
        for load in self.loads.clone() {
            let step = rate * error * load.cores * share / whole;
            match self
                .learned
                .iter_mut()
                .find(|entry| entry.kind == load.kind)
            {
                Some(entry) => {
                    entry.per_core = (entry.per_core + step).max(0.0);
                    entry.samples += 1;
                }
                None => self.learned.push(Learned {
                    kind: load.kind,
                    per_core: step.max(0.0),
                    samples: 1,
                }),
            }
        }
    }

    fn set_share(&mut self, now_ms: u64, median: u32) {
        let max_slowdown = self.settings.max_slowdown;
        let expected = self.expected(&self.loads);
        let mut target = match expected > 0.0 {
            true => (max_slowdown - self.base).max(0.0) / expected,
            false => 1.0,
        };
        // Measurements lag: a cut is given time to show before the next one.
        let is_settled = now_ms >= self.changed_ms + MEASURE_LAG_MS;
        if median >= HARMFUL_PERMILLE && is_settled {
            let excess = f64::from(median) / 1_000.0 - 1.0;
            target = target.min(self.share * max_slowdown / excess);
        }
        let target = target.clamp(self.settings.min_share, 1.0);
        if target < self.share {
            self.share = target;
            self.changed_ms = now_ms;
        } else if median < SAFE_PERMILLE {
            self.share = (self.share + SHARE_STEP).min(target);
        }
    }

    /// Counts measurements with little share; names the worst kind in the end.
    fn choose_eviction(&mut self) -> Option<u64> {
        let limit = LOW_SHARE.max(self.settings.min_share);
        let is_harmed = self.median() >= HARMFUL_PERMILLE;
        if self.share > limit || (self.settings.min_share >= 1.0 && !is_harmed) {
            self.low_samples = 0;
            return None;
        }
        self.low_samples += 1;
        if self.low_samples < self.settings.eviction_samples {
            return None;
        }
        self.low_samples = 0;
        let harm = |load: &Load| self.find(load.kind).map_or(0.0, |l| l.per_core) * load.cores;
        let worst = self
            .loads
            .iter()
            .max_by(|one, other| harm(one).total_cmp(&harm(other)));
        worst.map(|load| load.kind)
    }

    /// Tells whether the host takes another batch task of a kind.
    pub fn accepts(&self, kind: u64, cores: f64) -> bool {
        if !self.is_measured || !self.settings.is_learning {
            return true;
        }
        if self.median() >= HARMFUL_PERMILLE || self.share <= LOW_SHARE {
            return false;
        }
        let expected = self.base + self.expected(&self.loads);
        match self.find(kind).filter(|entry| entry.samples >= MIN_COUNT) {
            Some(entry) => expected + entry.per_core * cores <= self.settings.max_slowdown,
            None => !self.has_unknown(),
        }
    }

    /// Tells whether a kind that is not known yet runs on the host.
    fn has_unknown(&self) -> bool {
        let is_known = |load: &Load| self.find(load.kind).is_some_and(|l| l.samples >= MIN_COUNT);
        self.loads.iter().any(|load| !is_known(load))
    }

    /// Gives the share of their processors that batch tasks may use.
    pub fn batch_permille(&self) -> u32 {
        (self.share * 1_000.0).round() as u32
    }
}
