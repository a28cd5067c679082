//! A measured series, the straight line fitted to it and its exponent of growth.

use serde::Deserialize;
use serde::Serialize;

/// A measured series: values at several sizes.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Series {
    /// Name by which the capacity page refers to the series.
    pub name: String,
    /// What the size counts.
    pub size_of: String,
    /// Unit of the values.
    pub unit: String,
    /// Pairs of size and value.
    pub points: Vec<(f64, f64)>,
}

impl Series {
    /// Creates a series without points.
    pub fn new(name: &str, size_of: &str, unit: &str) -> Self {
        Self {
            name: name.into(),
            size_of: size_of.into(),
            unit: unit.into(),
            points: Vec::new(),
        }
    }

    /// Fits a straight line by least squares and returns its value at zero and its
    /// slope.
    pub fn fit(&self) -> (f64, f64) {
        let count = self.points.len() as f64;
        let mean = |pick: fn(&(f64, f64)) -> f64| self.points.iter().map(pick).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|point| point.0), mean(|point| point.1));
        let (mut covariance, mut variance) = (0.0, 0.0);
        for (x, y) in &self.points {
            covariance += (x - mean_x) * (y - mean_y);
            variance += (x - mean_x) * (x - mean_x);
        }
        let slope = if variance == 0.0 {
            0.0
        } else {
            covariance / variance
        };
        (mean_y - slope * mean_x, slope)
    }

    /// Returns the exponent of growth between the first and the last point: 0 is flat,
    /// 1 is linear, 2 is quadratic. Returns 0 if the points do not allow a logarithm.
    pub fn exponent(&self) -> f64 {
        let (Some(first), Some(last)) = (self.points.first(), self.points.last()) else {
            return 0.0;
        };
        let is_usable = first.0 > 0.0 && last.0 > first.0 && first.1 > 0.0 && last.1 > 0.0;
        if !is_usable {
            return 0.0;
        }
        (last.1 / first.1).ln() / (last.0 / first.0).ln()
    }

    /// Returns the value of the last point, or 0 without points.
    pub fn last(&self) -> f64 {
        self.points.last().map_or(0.0, |point| point.1)
    }
}
