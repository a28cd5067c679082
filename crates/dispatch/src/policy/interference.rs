//! Model of how much best-effort tasks disturb latency-critical tasks on the same worker, learned
//! from polls.
//!
//! Which images tolerate each other is not known in advance and differs by pair. A latency-critical
//! task behaves like a queue: its tail latency hardly rises with the first best-effort task that
//! interferes and grows without bound as the total interference approaches its spare capacity. The
//! inverse of the tail latency falls in proportion to the interference, so this inverse is learned.
//! The *headroom* of a task is its latency target divided by its tail latency, below 1 where the
//! target is missed, and
//!
//! ```text
//! headroom = solo headroom - sum over best-effort images (coefficient of the pair x cores in use)
//! ```
//!
//! The solo headroom varies with the task's own load by more than a best-effort task takes from it,
//! and independently for each task. Therefore changes are compared instead of levels: [`Baseline`]
//! keeps the recent headroom of a task and the recent usage of the best-effort tasks beside it. The
//! coefficients of a latency-critical image are the ones that best explain the deviations from this
//! baseline, by least squares with no coefficient below 0. When levels over all polls were compared
//! instead, a best-effort image that happened to start while loads were high was taken for one that
//! interferes, and was never placed there again.

use crate::policy::images::ImageKey;
use crate::policy::images::Images;
use crate::record::Learned;
use crate::record::LearnedCoefficient;
use crate::record::LearnedImage;
use std::collections::BTreeMap;
use std::collections::HashMap;

/// Factor by which the weight of a sample decays with each later one of its image. At 30 to 50
/// samples a second for an image, the last minute counts.
const SAMPLE_DECAY: f64 = 0.9995;
/// Average part of a usage window for which a best-effort task ran that exited within it.
const EXITED_FRACTION: f64 = 0.5;
/// Weight of the newest sample in a baseline. Tail latencies are reported twice a second, and load
/// swings within ten seconds. A baseline over one second follows these swings and is smoother than
/// a single poll.
const BASELINE_WEIGHT: f64 = 0.5;
/// Weight of a sample in the moving average of an image's solo headroom, which covers hundreds of
/// samples.
const SOLO_WEIGHT: f64 = 0.005;
/// Coefficient of a pair that has no samples: enough to spread unknown best-effort images, too
/// little to keep them from being tried.
const UNKNOWN_COEFFICIENT: f64 = 0.06;
/// Weight of [`UNKNOWN_COEFFICIENT`], in samples of a best-effort task that uses one core.
const UNKNOWN_WEIGHT: f64 = 4.0;
/// Weight of what the previous owner has learned, in samples. One or two seconds of polls outweigh
/// it.
const LEARNED_WEIGHT: f64 = 60.0;
/// Upper bound of the headroom. A higher value carries no further information.
const MAX_HEADROOM: f64 = 4.0;
/// Solo headroom of an image that has no samples.
const UNKNOWN_HEADROOM: f64 = 2.2;

/// CPU usage of a best-effort image, in cores.
pub type ImageUsage = (ImageKey, f64);

/// Recent headroom of a latency-critical task, and recent usage of the best-effort tasks beside it.
#[derive(Debug, Clone, Default)]
pub struct Baseline {
    headroom: f64,
    usage: Vec<ImageUsage>,
    has_sample: bool,
}

/// Deviation of a poll's figures from the baseline.
#[derive(Debug, Default)]
struct Deviation {
    headroom: f64,
    usage: Vec<ImageUsage>,
}

impl Baseline {
    /// Adds a sample to the baseline. Returns its deviation from the baseline before, or `None` for
    /// the first sample.
    fn update(&mut self, headroom: f64, best_effort_usage: &[ImageUsage]) -> Option<Deviation> {
        let mut deviation = Deviation {
            headroom: headroom - self.headroom,
            usage: best_effort_usage.to_vec(),
        };
        for (image, cores) in &self.usage {
            add_usage(&mut deviation.usage, *image, -cores);
        }
        let weight = if self.has_sample {
            BASELINE_WEIGHT
        } else {
            1.0
        };
        self.headroom += deviation.headroom * weight;
        for (image, cores) in &deviation.usage {
            add_usage(&mut self.usage, *image, cores * weight);
        }
        std::mem::replace(&mut self.has_sample, true).then_some(deviation)
    }
}

/// Half-second interval that the figures of a poll cover.
///
/// A best-effort task that exits within the interval has disturbed the tasks beside it but is no
/// longer reported. If it is ignored, its effect is attributed to chance: coefficients were then
/// learned at half of their true value, and twice as many best-effort tasks were placed as a
/// latency-critical task tolerates.
#[derive(Debug, Default)]
pub struct UsageWindow {
    exited: Vec<ImageUsage>,
}

impl UsageWindow {
    /// Records that a best-effort task has exited which recently used `cores`.
    pub fn record_exit(&mut self, image: ImageKey, cores: f64) {
        add_usage(&mut self.exited, image, cores * EXITED_FRACTION);
    }

    /// Adds the usage of tasks that have exited to the usage that is reported with new figures, and
    /// starts the next interval.
    pub fn close(&mut self, usage: &mut Vec<ImageUsage>) {
        for (image, cores) in self.exited.drain(..) {
            add_usage(usage, image, cores);
        }
    }
}

/// Adds to the usage of an image in a list that contains each image at most once.
pub fn add_usage(usage: &mut Vec<ImageUsage>, image: ImageKey, cores: f64) {
    match usage.iter_mut().find(|(other, _)| *other == image) {
        Some((_, sum)) => *sum += cores,
        None => usage.push((image, cores)),
    }
}

/// Least-squares fit for one latency-critical image.
#[derive(Debug)]
struct Fit {
    solo_headroom: f64,
    pair_coefficients: BTreeMap<ImageKey, Coefficient>,
    /// Sums of products of the usage of two best-effort images, the lower number first.
    products: HashMap<(ImageKey, ImageKey), f64>,
}

/// Coefficient of one best-effort image beside a latency-critical image, with the sums over its
/// samples.
#[derive(Debug)]
struct Coefficient {
    value: f64,
    /// Value that is assumed before the first sample, and its weight in samples of one core.
    assumed: f64,
    assumed_weight: f64,
    square_sum: f64,
    /// Sum of products of additional usage and lost headroom.
    usage_loss_sum: f64,
}

impl Default for Coefficient {
    fn default() -> Self {
        Self {
            value: UNKNOWN_COEFFICIENT,
            assumed: UNKNOWN_COEFFICIENT,
            assumed_weight: UNKNOWN_WEIGHT,
            square_sum: 0.0,
            usage_loss_sum: 0.0,
        }
    }
}

impl Default for Fit {
    fn default() -> Self {
        Self {
            solo_headroom: UNKNOWN_HEADROOM,
            pair_coefficients: BTreeMap::new(),
            products: HashMap::new(),
        }
    }
}

/// Learned interference of all pairs of images.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    fits: HashMap<ImageKey, Fit>,
    /// Coefficients by latency-critical image and best-effort image. Placement reads them many
    /// times for each update.
    coefficient_table: Vec<Vec<f64>>,
}

/// Returns the headroom of a task: its latency target divided by its tail latency, both in
/// milliseconds.
pub fn headroom(target_ms: u64, tail_ms: u64) -> f64 {
    (target_ms as f64 / tail_ms.max(1) as f64).min(MAX_HEADROOM)
}

impl InterferenceModel {
    /// Learns from the headroom of a latency-critical task and the usage of best-effort tasks
    /// beside it in the same interval. `best_effort_usage` contains each image at most once.
    pub fn learn(
        &mut self,
        serving_image: ImageKey,
        baseline: &mut Baseline,
        headroom: f64,
        best_effort_usage: &[ImageUsage],
    ) {
        let fit = self.fits.entry(serving_image).or_default();
        let mut loss = 0.0;
        for (best_effort_image, cores) in best_effort_usage {
            loss += fit
                .pair_coefficients
                .entry(*best_effort_image)
                .or_default()
                .value
                * cores;
        }
        fit.solo_headroom += (headroom + loss - fit.solo_headroom) * SOLO_WEIGHT;
        let Some(deviation) = baseline.update(headroom, best_effort_usage) else {
            return;
        };
        fit.decay();
        fit.add(&deviation);
        fit.solve(&deviation.usage);
        let row = row(&mut self.coefficient_table, serving_image);
        for (best_effort_image, _) in &deviation.usage {
            set_coefficient(
                row,
                *best_effort_image,
                fit.pair_coefficients[best_effort_image].value,
            );
        }
    }

    /// Restores what the previous owner has learned.
    pub(crate) fn resume(&mut self, learned: &Learned, images: &mut Images) {
        for image in &learned.images {
            let fit = self.fits.entry(images.key(&image.image)).or_default();
            fit.solo_headroom = image.solo_headroom;
            for ordered_pair in &image.coefficients {
                let coefficient = Coefficient {
                    value: ordered_pair.coefficient,
                    assumed: ordered_pair.coefficient,
                    assumed_weight: LEARNED_WEIGHT,
                    ..Coefficient::default()
                };
                let best_effort_image = images.key(&ordered_pair.best_effort_image);
                set_coefficient(
                    row(&mut self.coefficient_table, images.key(&image.image)),
                    best_effort_image,
                    ordered_pair.coefficient,
                );
                fit.pair_coefficients.insert(best_effort_image, coefficient);
            }
        }
    }

    /// Returns what was learned, to be stored for the next owner.
    pub(crate) fn learned(&self, images: &Images) -> Vec<LearnedImage> {
        let mut list = Vec::new();
        for (serving_image, fit) in &self.fits {
            let mut coefficients = Vec::new();
            for (best_effort_image, coefficient) in &fit.pair_coefficients {
                coefficients.push(LearnedCoefficient {
                    best_effort_image: images.name(*best_effort_image).into(),
                    coefficient: coefficient.value,
                });
            }
            list.push(LearnedImage {
                image: images.name(*serving_image).into(),
                solo_headroom: fit.solo_headroom,
                coefficients,
            });
        }
        list
    }

    /// Returns the headroom of a latency-critical image without best-effort tasks beside it.
    pub fn solo_headroom(&self, serving_image: ImageKey) -> f64 {
        self.fits
            .get(&serving_image)
            .map_or(UNKNOWN_HEADROOM, |fit| fit.solo_headroom)
    }

    /// Returns the headroom that a latency-critical image loses for each core that a best-effort
    /// image uses.
    pub fn coefficient(&self, serving_image: ImageKey, best_effort_image: ImageKey) -> f64 {
        self.coefficient_table
            .get(usize::from(serving_image.0))
            .and_then(|row| row.get(usize::from(best_effort_image.0)))
            .copied()
            .unwrap_or(UNKNOWN_COEFFICIENT)
    }

    /// Returns by how much best-effort tasks lower the headroom of a latency-critical image.
    pub fn headroom_loss(&self, serving_image: ImageKey, best_effort_usage: &[ImageUsage]) -> f64 {
        let mut sum = 0.0;
        for (best_effort_image, cores) in best_effort_usage {
            sum += self.coefficient(serving_image, *best_effort_image) * cores;
        }
        sum
    }
}

fn row(coefficient_table: &mut Vec<Vec<f64>>, serving_image: ImageKey) -> &mut Vec<f64> {
    let index = usize::from(serving_image.0);
    if coefficient_table.len() <= index {
        coefficient_table.resize(index + 1, Vec::new());
    }
    &mut coefficient_table[index]
}

fn set_coefficient(row: &mut Vec<f64>, best_effort_image: ImageKey, coefficient: f64) {
    let index = usize::from(best_effort_image.0);
    if row.len() <= index {
        row.resize(index + 1, UNKNOWN_COEFFICIENT);
    }
    row[index] = coefficient;
}

fn ordered_pair(left: ImageKey, right: ImageKey) -> (ImageKey, ImageKey) {
    (left.min(right), left.max(right))
}

impl Fit {
    fn decay(&mut self) {
        for coefficient in self.pair_coefficients.values_mut() {
            coefficient.square_sum *= SAMPLE_DECAY;
            coefficient.usage_loss_sum *= SAMPLE_DECAY;
        }
        for product in self.products.values_mut() {
            *product *= SAMPLE_DECAY;
        }
    }

    fn add(&mut self, deviation: &Deviation) {
        for (number, (best_effort_image, cores)) in deviation.usage.iter().enumerate() {
            let coefficient = self
                .pair_coefficients
                .entry(*best_effort_image)
                .or_default();
            coefficient.square_sum += cores * cores;
            coefficient.usage_loss_sum -= cores * deviation.headroom;
            for (other, other_cores) in &deviation.usage[number + 1..] {
                *self
                    .products
                    .entry(ordered_pair(*best_effort_image, *other))
                    .or_default() += cores * other_cores;
            }
        }
    }

    /// Improves the coefficients of the given best-effort images one after the other, with all
    /// others fixed. The sums change little between polls, so one pass for each is enough.
    fn solve(&mut self, best_effort_usage: &[ImageUsage]) {
        for (best_effort_image, _) in best_effort_usage {
            let mut explained_by_others = 0.0;
            for (other, coefficient) in &self.pair_coefficients {
                if other != best_effort_image {
                    let product = self.products.get(&ordered_pair(*best_effort_image, *other));
                    explained_by_others += coefficient.value * product.copied().unwrap_or(0.0);
                }
            }
            let Some(coefficient) = self.pair_coefficients.get_mut(best_effort_image) else {
                continue;
            };
            let loss = coefficient.usage_loss_sum - explained_by_others;
            let weight = coefficient.square_sum + coefficient.assumed_weight;
            coefficient.value =
                ((loss + coefficient.assumed_weight * coefficient.assumed) / weight).max(0.0);
        }
    }
}
