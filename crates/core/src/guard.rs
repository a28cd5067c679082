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
const HARM_PERMILLE: u32 = 1_250;
/// Slowdown below which batch work gets share back.
const CALM_PERMILLE: u32 = 1_180;

/// Settings of a guard; the benchmarks compare others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InterferenceSettings {
    /// Slowdown that batch work may add, as a share of the usual latency.
    pub allowed: f64,
    /// Least share of their processors that batch tasks keep.
    pub least_share: f64,
    /// Measurements with little share before a task is evicted.
    pub patience: u32,
    /// Whether it learns, and refuses tasks by what it learned.
    pub learns: bool,
}

/// The guard's settings in the product.
pub const INTERFERENCE_SETTINGS: InterferenceSettings = InterferenceSettings {
    allowed: 0.2,
    least_share: 0.25,
    patience: 10,
    learns: true,
};

/// Share given back per calm measurement.
const STEP_UP: f64 = 0.05;
/// Share at or below which an eviction comes near.
const LITTLE_SHARE: f64 = 0.5;
/// Time after a change on the host before measurements teach anything; they lag.
const SETTLE_MS: u64 = 5_000;
/// How fast what was learned is raised and lowered.
const RAISE: f64 = 0.3;
const LOWER: f64 = 0.02;
/// Teachings after which a kind counts as known.
const KNOWN: u32 = 5;

/// What is known of one kind of job on a host.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Lesson {
    kind: u64,
    /// Slowdown that one core adds.
    per_core: f64,
    taught: u32,
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
    temper: InterferenceSettings,
    share: f64,
    /// Slowdown of the service by itself.
    own: f64,
    lessons: Vec<Lesson>,
    latest: [u32; 3],
    is_measured: bool,
    loads: Vec<Load>,
    changed_ms: u64,
    strained: u32,
}

impl Default for InterferenceControl {
    fn default() -> Self {
        Self::new(INTERFERENCE_SETTINGS)
    }
}

impl InterferenceControl {
    /// Makes a guard that knows nothing yet.
    pub fn new(temper: InterferenceSettings) -> Self {
        Self {
            temper,
            share: 1.0,
            own: 0.0,
            lessons: Vec::new(),
            latest: [0; 3],
            is_measured: false,
            loads: Vec::new(),
            changed_ms: 0,
            strained: 0,
        }
    }

    /// Takes in a measurement, 0 if none arrived, with what runs on the host; gives
    /// the kind of which one task should go, if any.
    pub fn note(&mut self, now_ms: u64, slowdown_permille: u32, loads: &[Load]) -> Option<u64> {
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
        let middle = self.middle();
        if self.temper.learns && now_ms >= self.changed_ms + SETTLE_MS {
            self.learn(f64::from(middle) / 1_000.0 - 1.0);
        }
        self.set_share(now_ms, middle);
        self.strain()
    }

    fn middle(&self) -> u32 {
        let mut sorted = self.latest;
        sorted.sort_unstable();
        sorted[1]
    }

    fn lesson(&self, kind: u64) -> Option<&Lesson> {
        self.lessons.iter().find(|lesson| lesson.kind == kind)
    }

    /// Gives the slowdown that is expected of `loads` at full share.
    fn expected(&self, loads: &[Load]) -> f64 {
        let mut sum = 0.0;
        for load in loads {
            sum += self.lesson(load.kind).map_or(0.0, |lesson| lesson.per_core) * load.cores;
        }
        sum
    }

    /// Corrects what is known by the error of the forecast, each kind by its part.
    fn learn(&mut self, slowdown: f64) {
        let share = self.share;
        let error = slowdown - self.own - self.expected(&self.loads) * share;
        let rate = if error > 0.0 { RAISE } else { LOWER };
        let squares: f64 = self
            .loads
            .iter()
            .map(|load| (load.cores * share).powi(2))
            .sum();
        const OWN_PART: f64 = 0.5;
        let whole = squares + OWN_PART;
        self.own =
            (self.own + rate * error * OWN_PART / whole).clamp(0.0, self.temper.allowed / 2.0);
        for load in self.loads.clone() {
            let step = rate * error * load.cores * share / whole;
            match self
                .lessons
                .iter_mut()
                .find(|lesson| lesson.kind == load.kind)
            {
                Some(lesson) => {
                    lesson.per_core = (lesson.per_core + step).max(0.0);
                    lesson.taught += 1;
                }
                None => self.lessons.push(Lesson {
                    kind: load.kind,
                    per_core: step.max(0.0),
                    taught: 1,
                }),
            }
        }
    }

    fn set_share(&mut self, now_ms: u64, middle: u32) {
        let allowed = self.temper.allowed;
        let expected = self.expected(&self.loads);
        let mut wanted = match expected > 0.0 {
            true => (allowed - self.own).max(0.0) / expected,
            false => 1.0,
        };
        // Measurements lag: a cut is given time to show before the next one.
        let is_settled = now_ms >= self.changed_ms + SETTLE_MS;
        if middle >= HARM_PERMILLE && is_settled {
            let excess = f64::from(middle) / 1_000.0 - 1.0;
            wanted = wanted.min(self.share * allowed / excess);
        }
        let wanted = wanted.clamp(self.temper.least_share, 1.0);
        if wanted < self.share {
            self.share = wanted;
            self.changed_ms = now_ms;
        } else if middle < CALM_PERMILLE {
            self.share = (self.share + STEP_UP).min(wanted);
        }
    }

    /// Counts measurements with little share; names the worst kind in the end.
    fn strain(&mut self) -> Option<u64> {
        let limit = LITTLE_SHARE.max(self.temper.least_share);
        let is_harmed = self.middle() >= HARM_PERMILLE;
        if self.share > limit || (self.temper.least_share >= 1.0 && !is_harmed) {
            self.strained = 0;
            return None;
        }
        self.strained += 1;
        if self.strained < self.temper.patience {
            return None;
        }
        self.strained = 0;
        let harm = |load: &Load| self.lesson(load.kind).map_or(0.0, |l| l.per_core) * load.cores;
        let worst = self
            .loads
            .iter()
            .max_by(|one, other| harm(one).total_cmp(&harm(other)));
        worst.map(|load| load.kind)
    }

    /// Tells whether the host takes another batch task of a kind.
    pub fn accepts(&self, kind: u64, cores: f64) -> bool {
        if !self.is_measured || !self.temper.learns {
            return true;
        }
        if self.middle() >= HARM_PERMILLE || self.share <= LITTLE_SHARE {
            return false;
        }
        let expected = self.own + self.expected(&self.loads);
        match self.lesson(kind).filter(|lesson| lesson.taught >= KNOWN) {
            Some(lesson) => expected + lesson.per_core * cores <= self.temper.allowed,
            None => !self.has_unknown(),
        }
    }

    /// Tells whether a kind that is not known yet runs on the host.
    fn has_unknown(&self) -> bool {
        let is_known = |load: &Load| self.lesson(load.kind).is_some_and(|l| l.taught >= KNOWN);
        self.loads.iter().any(|load| !is_known(load))
    }

    /// Gives the share of their processors that batch tasks may use.
    pub fn batch_permille(&self) -> u32 {
        (self.share * 1_000.0).round() as u32
    }
}
