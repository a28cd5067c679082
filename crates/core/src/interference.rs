//! Keeps batch tasks from degrading the services beside them on the same host.
//!
//! How much a kind of job slows a service down is not known in advance, differs from
//! pair to pair, changes with load, and shows only in measurements that arrive late.
//! The control learns it for each kind of job on its host, as the slowdown that one
//! core of that kind adds. It uses this to:
//!
//! - reject tasks of a kind whose cores would bring the service near the limit, and
//!   admit only one task at a time of a kind that it does not know;
//! - reduce the CPU share of batch tasks when measurements come near the limit, which
//!   can be undone within seconds;
//! - have a task of the most harmful kind evicted, only when a low share has not
//!   helped for a while, because a task that restarts may repeat what it has already sent to
//!   customers, such as a confirmation.
//!
//! A single bad measurement has no effect: the median of the last three counts.
//! Learned values are raised fast and lowered slowly, which keeps fluctuating noise
//! from causing oscillation.

/// Slowdown of a service, in thousandths, from which on batch tasks are limited.
const HARMFUL_PERMILLE: u32 = 1_250;
/// Slowdown, in thousandths, below which batch tasks get back CPU share.
const SAFE_PERMILLE: u32 = 1_180;

/// Settings of the control; the benchmarks compare others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InterferenceSettings {
    /// Slowdown that batch tasks may add, as a fraction of the usual latency.
    pub max_slowdown: f64,
    /// Minimum CPU share that batch tasks keep.
    pub min_share: f64,
    /// Number of measurements with a low share before a task is evicted.
    pub eviction_samples: u32,
    /// Whether it learns slowdowns and rejects tasks by them.
    pub is_learning: bool,
}

/// The settings used in production.
pub const INTERFERENCE_SETTINGS: InterferenceSettings = InterferenceSettings {
    max_slowdown: 0.2,
    min_share: 0.25,
    eviction_samples: 10,
    is_learning: true,
};

/// CPU share given back per measurement below the limit.
const SHARE_STEP: f64 = 0.05;
/// CPU share at or below which measurements count towards an eviction.
const LOW_SHARE: f64 = 0.5;
/// Time after a change on the host during which measurements still show the state
/// before it.
const MEASURE_LAG_MS: u64 = 5_000;
/// Fractions of the forecast error by which learned values are raised and lowered.
const RAISE_RATE: f64 = 0.3;
const LOWER_RATE: f64 = 0.02;
/// Number of measurements after which a kind counts as known.
const MIN_COUNT: u32 = 5;

/// What was learned of one kind of job on a host.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Learned {
    kind: u64,
    /// Slowdown that one core adds.
    per_core: f64,
    samples: u32,
}

/// Cores used by one kind of job on a host.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Hash of the job's name.
    pub kind: u64,
    /// Cores reserved for its running tasks.
    pub cores: f64,
}

/// Interference control of one host.
#[derive(Debug, Clone, PartialEq)]
pub struct InterferenceControl {
    settings: InterferenceSettings,
    share: f64,
    /// Slowdown of the service without batch tasks.
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
    /// Creates a control that has learned nothing yet.
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

    /// Records a measurement, 0 if none arrived, with the batch tasks on the host;
    /// returns the kind of which one task should be evicted, if any.
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

    /// Returns the slowdown that `loads` are expected to add at full CPU share.
    fn expected(&self, loads: &[Load]) -> f64 {
        let mut sum = 0.0;
        for load in loads {
            sum += self.find(load.kind).map_or(0.0, |entry| entry.per_core) * load.cores;
        }
        sum
    }

    /// Corrects the learned values by the error of the forecast, each kind by its
    /// contribution.
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
        // Measurements arrive late: the effect of a reduction must show before the
        // next one.
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

    /// Counts measurements with a low share; returns the most harmful kind once there
    /// are enough of them.
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

    /// Returns whether the host accepts another batch task of a kind.
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

    /// Returns whether a kind that is not known yet runs on the host.
    fn has_unknown(&self) -> bool {
        let is_known = |load: &Load| self.find(load.kind).is_some_and(|l| l.samples >= MIN_COUNT);
        self.loads.iter().any(|load| !is_known(load))
    }

    /// Returns the CPU share that batch tasks may use, in thousandths.
    pub fn batch_permille(&self) -> u32 {
        (self.share * 1_000.0).round() as u32
    }
}
