//! How much fillers disturb the tasks that serve beside them, learned from looks.
//!
//! Which images get on with which is not known beforehand and differs by ordered_pair. A served
//! task behaves like a queue: its tail hardly moves with the first filler that presses it
//! and grows without bound as the pressure nears what it can bear. The inverse of the tail
//! falls in proportion, so that is what is learned: the *ease* of a task is its target
//! over its tail, below 1 where the target is missed, and
//!
//! ```text
//! ease = ease alone - sum over fillers (press of the ordered_pair x cores in use)
//! ```
//!
//! The ease alone swings with the task's own load, by more than a filler presses, and each
//! task has a swing of its own. So changes are compared, not levels: [`Baseline`] keeps what
//! a task's ease and the fillers beside it were of late, and the presses on a serving image
//! are those that explain the departures from that best, by least squares with no press
//! below 0. Levels over all looks were tried first: a filler that happened to come while
//! loads were high was loss for one that presses, and was never tried there again.

use crate::policy::images::ImageKey;
use crate::policy::images::Images;
use crate::record::Learned;
use crate::record::LearnedCoefficient;
use crate::record::LearnedImage;
use std::collections::BTreeMap;
use std::collections::HashMap;

/// Weight that a sample keeps with each later one of its image: at 30 to 50 samples a
/// second for an image, a minute counts.
const SAMPLE_DECAY: f64 = 0.9995;
/// Part of a window for which a filler that exited within it was there, on average.
const EXITED_FRACTION: f64 = 0.5;
/// Weight of the newest sample in a baseline. Tails are told anew twice a second, and a
/// load swings within ten; a baseline of a second follows it and is less rough than one look.
const BASELINE_WEIGHT: f64 = 0.5;
/// Weight of a sample in the mean ease alone of an image, of hundreds of samples.
const SOLO_WEIGHT: f64 = 0.005;
/// Press of a ordered_pair of which nothing is known: enough to spread unknown fillers, too little
/// to keep them from being tried.
const UNKNOWN_COEFFICIENT: f64 = 0.06;
/// Weight of that assumption, in samples of a filler that usage one core.
const UNKNOWN_WEIGHT: f64 = 4.0;
/// Weight of what a former owner has learned: it counts until a second or two of looks
/// say otherwise.
const LEARNED_WEIGHT: f64 = 60.0;
/// An ease above this says no more than that the task is well.
const MAX_HEADROOM: f64 = 4.0;
/// Ease of an image of which nothing is known.
const UNKNOWN_HEADROOM: f64 = 2.2;

/// Processor time in use by a filler, in cores.
pub type ImageUsage = (ImageKey, f64);

/// What a task's ease, and the use of fillers beside it, were of late.
#[derive(Debug, Clone, Default)]
pub struct Baseline {
    headroom: f64,
    usage: Vec<ImageUsage>,
    has_sample: bool,
}

/// How far a look departs from the baseline.
#[derive(Debug, Default)]
struct Deviation {
    headroom: f64,
    usage: Vec<ImageUsage>,
}

impl Baseline {
    /// Gives how far a sample departs from what was of late, and takes it in.
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

/// The half second that the figures of a look tell of.
///
/// A filler that ends within it has disturbed those beside it and is no longer listed. Left
/// out, its effect was put down to chance: presses were learned at half of what they are,
/// and twice as many tasks were let in as a service can bear.
#[derive(Debug, Default)]
pub struct UsageWindow {
    exited: Vec<ImageUsage>,
}

impl UsageWindow {
    /// Notes that a filler has exited which used so much of late.
    pub fn record_exit(&mut self, image: ImageKey, cores: f64) {
        add_usage(&mut self.exited, image, cores * EXITED_FRACTION);
    }

    /// Adds what has exited to what is listed with new figures, and begins the next window.
    pub fn close(&mut self, usage: &mut Vec<ImageUsage>) {
        for (image, cores) in self.exited.drain(..) {
            add_usage(usage, image, cores);
        }
    }
}

/// Adds to the use of an image in a list that names each image once.
pub fn add_usage(usage: &mut Vec<ImageUsage>, image: ImageKey, cores: f64) {
    match usage.iter_mut().find(|(other, _)| *other == image) {
        Some((_, sum)) => *sum += cores,
        None => usage.push((image, cores)),
    }
}

/// Sums over the looks at one serving image, and what follows from them.
#[derive(Debug)]
struct Fit {
    solo_headroom: f64,
    pair_coefficients: BTreeMap<ImageKey, Coefficient>,
    /// Sums of products of the usage of two fillers, the lower number first.
    products: HashMap<(ImageKey, ImageKey), f64>,
}

/// Sums over the looks at which a filler was beside a serving image.
#[derive(Debug)]
struct Coefficient {
    value: f64,
    /// What was assumed before any sample, and its weight in samples of one core.
    assumed: f64,
    assumed_weight: f64,
    square_sum: f64,
    /// Sum of products of what it used more, and what the ease was less.
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

/// What was learned.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    fits: HashMap<ImageKey, Fit>,
    /// Presses by served image and filler, which placement reads many times for each
    /// that is learned.
    coefficient_table: Vec<Vec<f64>>,
}

/// Gives the ease of a task with this tail.
pub fn headroom(target_ms: u64, tail_ms: u64) -> f64 {
    (target_ms as f64 / tail_ms.max(1) as f64).min(MAX_HEADROOM)
}

impl InterferenceModel {
    /// Learns from the ease of a serving task and what fillers beside it used meanwhile.
    /// `best_effort_usage` names each image once.
    pub fn learn(
        &mut self,
        serving: ImageKey,
        baseline: &mut Baseline,
        headroom: f64,
        best_effort_usage: &[ImageUsage],
    ) {
        let fit = self.fits.entry(serving).or_default();
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
        let row = row(&mut self.coefficient_table, serving);
        for (best_effort_image, _) in &deviation.usage {
            set_coefficient(
                row,
                *best_effort_image,
                fit.pair_coefficients[best_effort_image].value,
            );
        }
    }

    /// Takes over what a former owner has learned.
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

    /// Gives what was learned, for a successor.
    pub(crate) fn learned(&self, images: &Images) -> Vec<LearnedImage> {
        let mut list = Vec::new();
        for (serving, fit) in &self.fits {
            let mut coefficients = Vec::new();
            for (best_effort_image, coefficient) in &fit.pair_coefficients {
                coefficients.push(LearnedCoefficient {
                    best_effort_image: images.name(*best_effort_image).into(),
                    coefficient: coefficient.value,
                });
            }
            list.push(LearnedImage {
                image: images.name(*serving).into(),
                solo_headroom: fit.solo_headroom,
                coefficients,
            });
        }
        list
    }

    /// Gives the ease that a serving image has by itself.
    pub fn solo_headroom(&self, serving: ImageKey) -> f64 {
        self.fits
            .get(&serving)
            .map_or(UNKNOWN_HEADROOM, |fit| fit.solo_headroom)
    }

    /// Gives the press of a ordered_pair for each core that the filler usage.
    pub fn coefficient(&self, serving: ImageKey, best_effort_image: ImageKey) -> f64 {
        self.coefficient_table
            .get(usize::from(serving.0))
            .and_then(|row| row.get(usize::from(best_effort_image.0)))
            .copied()
            .unwrap_or(UNKNOWN_COEFFICIENT)
    }

    /// Gives by how much fillers lower the ease of a serving task.
    pub fn headroom_loss(&self, serving: ImageKey, best_effort_usage: &[ImageUsage]) -> f64 {
        let mut sum = 0.0;
        for (best_effort_image, cores) in best_effort_usage {
            sum += self.coefficient(serving, *best_effort_image) * cores;
        }
        sum
    }
}

fn row(coefficient_table: &mut Vec<Vec<f64>>, serving: ImageKey) -> &mut Vec<f64> {
    let index = usize::from(serving.0);
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

    /// Improves the presses of the given fillers, one after the other, with all else as it
    /// is. The sums change little from look to look, so one pass each time is enough.
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
