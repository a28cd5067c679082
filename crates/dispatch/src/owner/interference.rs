//! How much fillers disturb the tasks that serve beside them, learned from looks.
//!
//! Which images get on with which is not known beforehand and differs by pair: most
//! fillers leave a serving image alone, a few lengthen its tail by a third for each core
//! they use. Each look gives the tails on one worker and what its fillers used in the
//! same half second. The logarithm of a tail is taken as a sum: what the image has by
//! itself, and for each filler beside it its use times what that pair costs. The sum is
//! learned by normalised least mean squares, one small step a sample, so that noise and
//! swings of load average out within some dozens of samples.

use crate::owner::images::ImageKey;
use std::collections::HashMap;

/// Part of the error that one sample corrects. Noise of a sample is about 0.4 and pairs
/// that matter cost 0.2 to 0.6 a core, so some 20 samples settle a pair.
const STEP: f64 = 0.08;
/// What a pair costs before anything is known: enough to spread unknown fillers, too
/// little to keep them from being tried.
const UNKNOWN_PRESS: f64 = 0.12;
/// Bounds of what a pair may cost, in the logarithm of the tail for each core.
const PRESS_MOST: f64 = 3.0;
/// Smallest tail that is told apart, in milliseconds.
const TAIL_LEAST_MS: f64 = 0.5;

/// Processor time in use by a filler, in cores.
pub(crate) type Use = (ImageKey, f64);

/// What was learned.
#[derive(Debug, Default)]
pub(crate) struct Interference {
    /// Logarithm of the tail that a serving image has by itself.
    alone: HashMap<ImageKey, f64>,
    /// Cost of a serving image and a filler, for each core in use.
    press: HashMap<(ImageKey, ImageKey), f64>,
}

impl Interference {
    /// Learns from the tail of a serving task and what fillers beside it used meanwhile.
    pub(crate) fn learn(&mut self, serving: ImageKey, tail_ms: u64, fillers: &[Use]) {
        let seen = (tail_ms as f64).max(TAIL_LEAST_MS).ln();
        let mut expected = *self.alone.entry(serving).or_insert(seen);
        let mut norm = 1.0;
        for (filler, cores) in fillers {
            expected += self.press(serving, *filler) * cores;
            norm += cores * cores;
        }
        let correction = STEP * (seen - expected) / norm;
        *self.alone.entry(serving).or_insert(seen) += correction;
        for (filler, cores) in fillers {
            let press = self.press(serving, *filler) + correction * cores;
            self.press
                .insert((serving, *filler), press.clamp(0.0, PRESS_MOST));
        }
    }

    /// Gives the cost of a pair for each core that the filler uses.
    pub(crate) fn press(&self, serving: ImageKey, filler: ImageKey) -> f64 {
        self.press
            .get(&(serving, filler))
            .copied()
            .unwrap_or(UNKNOWN_PRESS)
    }

    /// Gives by how much, in the logarithm of the tail, fillers lengthen a serving task.
    pub(crate) fn pressure(&self, serving: ImageKey, fillers: &[Use]) -> f64 {
        let mut sum = 0.0;
        for (filler, cores) in fillers {
            sum += self.press(serving, *filler) * cores;
        }
        sum
    }
}
