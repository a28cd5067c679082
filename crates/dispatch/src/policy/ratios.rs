//! Distribution of a ratio, such as actual to estimated duration, over its recent samples.

use crate::record::LearnedRatio;
use hdrhistogram::Histogram;

/// Smallest and largest ratio that are told apart from others, in thousandths.
const MIN_PERMILLE: u64 = 1;
const MAX_PERMILLE: u64 = 1_000_000;
/// Precision in significant decimal digits: ratios within 6% of each other count as equal.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Histogram of a ratio in which the weight of old samples fades.
#[derive(Debug, Clone)]
pub(crate) struct Ratios {
    histogram: Histogram<u32>,
    /// Number of samples from which on the weight of all is halved.
    max_samples: u64,
}

impl Ratios {
    pub(crate) fn new(max_samples: u64) -> Self {
        Self {
            histogram: empty(),
            max_samples,
        }
    }

    /// Returns the number of samples, of which faded ones count in part.
    pub(crate) fn samples(&self) -> u64 {
        self.histogram.len()
    }

    pub(crate) fn add(&mut self, ratio: f64) {
        let permille = ((ratio * 1_000.0).round() as u64).max(MIN_PERMILLE);
        self.histogram.saturating_record(permille);
        if self.histogram.len() >= self.max_samples {
            self.fade();
        }
    }

    /// Returns the ratio below which the given part of the samples lies, or `None` without samples.
    pub(crate) fn quantile(&self, part: f64) -> Option<f64> {
        if self.histogram.is_empty() {
            return None;
        }
        let permille = self.histogram.value_at_quantile(part);
        Some(self.histogram.median_equivalent(permille) as f64 / 1_000.0)
    }

    /// Halves the weight of all samples.
    pub(crate) fn fade(&mut self) {
        let mut faded = empty();
        for bucket in self.histogram.iter_recorded() {
            // Rounded up, so that rare large ratios remain.
            let count = bucket.count_at_value().div_ceil(2);
            faded.saturating_record_n(bucket.value_iterated_to(), count);
        }
        self.histogram = faded;
    }

    /// Returns the samples for a record.
    pub(crate) fn record(&self) -> Vec<LearnedRatio> {
        let mut rows = Vec::new();
        for bucket in self.histogram.iter_recorded() {
            rows.push(LearnedRatio {
                permille: bucket.value_iterated_to(),
                samples: bucket.count_at_value(),
            });
        }
        rows
    }

    /// Restores the samples of a record.
    pub(crate) fn restore(max_samples: u64, rows: &[LearnedRatio]) -> Self {
        let mut ratios = Self::new(max_samples);
        for row in rows {
            let samples = u64::from(row.samples).min(max_samples) as u32;
            let permille = row.permille.max(MIN_PERMILLE);
            ratios.histogram.saturating_record_n(permille, samples);
        }
        ratios
    }
}

fn empty() -> Histogram<u32> {
    Histogram::new_with_bounds(MIN_PERMILLE, MAX_PERMILLE, SIGNIFICANT_DIGITS)
        .expect("the constant bounds are valid")
}
