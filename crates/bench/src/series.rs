//! A measured series, the line through it and its growth.

use serde::Deserialize;
use serde::Serialize;

/// One measured series.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Series {
    /// Name by which the page refers to it.
    pub name: String,
    /// What the size counts.
    pub size_of: String,
    /// Unit of the values.
    pub unit: String,
    /// Size and value.
    pub points: Vec<(f64, f64)>,
}

impl Series {
    /// Starts a series without points.
    pub fn new(name: &str, size_of: &str, unit: &str) -> Self {
        Self {
            name: name.into(),
            size_of: size_of.into(),
            unit: unit.into(),
            points: Vec::new(),
        }
    }

    /// Fits a straight line by least squares: value at zero, and slope.
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

    /// Gives the exponent of growth between the smallest and the largest size: 0 is
    /// flat, 1 is linear, 2 is quadratic.
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

    /// Gives the value at the largest size.
    pub fn last(&self) -> f64 {
        self.points.last().map_or(0.0, |point| point.1)
    }
}
