//! How long answers of workers are awaited, and what a missing answer indicates.
//!
//! **Load pattern:** the link or the processor of a host is saturated, so all answers reach it
//! late.
//!
//! **Without it** a fixed timeout discards these answers, and the repeated calls load the link even
//! more: at 2 Mbit/s 48 of 85 workers that were alive were removed within a minute. It shows as
//! answers that are late from all workers alike. Therefore the timeout follows recent delays, and
//! while most answers are late or missing, a missing answer is attributed to this host's own link.
//!
//! **Limits:** a dead worker must be detected well before its lease expires. Therefore a few late
//! answers do not change the timeout, and it never exceeds what the lease allows.

use std::collections::VecDeque;

/// Timeout in milliseconds if no delay is known. Responsive workers answer within milliseconds, or
/// within tens of milliseconds where they are seven times slower.
const BASE_TIMEOUT_MS: u64 = 350;
/// Factor by which the typical delay is added to the base timeout.
const DELAY_FACTOR: u64 = 3;
/// Factor applied to the base timeout while most answers are missing. The true delay is unknown
/// then, as late answers are discarded at the timeout.
const MISSING_FACTOR: u64 = 4;
/// Upper bound of the timeout. Two polls with this timeout fit into one lease.
const MAX_TIMEOUT_MS: u64 = 2_000;
/// Largest number of outcomes that are evaluated, and their largest age.
const MAX_OUTCOMES: usize = 256;
const MAX_OUTCOME_AGE_MS: u64 = 1_500;
/// Smallest number of outcomes from which missing answers are evaluated.
const MIN_OUTCOMES: usize = 8;
/// Number of outcomes between two updates of the timeout.
const OUTCOMES_PER_UPDATE: usize = 16;
/// Percentile of the delays that counts as typical. Workers that are slow themselves are fewer than
/// the rest.
const TYPICAL_PERCENTILE: usize = 75;
/// Typical delay above which the link of this host is suspected.
const SUSPECT_DELAY_MS: u64 = 150;

/// Outcome of one call to a worker.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    at_ms: u64,
    /// Delay of its answer; `None` if no answer arrived.
    delay_ms: Option<u64>,
}

/// Recent outcomes of calls to workers.
#[derive(Debug, Default)]
pub struct AnswerLatencies {
    outcomes: VecDeque<Outcome>,
    outcomes_since_update: usize,
    typical_delay_ms: u64,
    is_mostly_missing: bool,
}

impl AnswerLatencies {
    /// Records an answer that arrived `delay_ms` after the worker could have sent it.
    pub fn record_answer(&mut self, delay_ms: u64, now_ms: u64) {
        self.add(Some(delay_ms), now_ms);
    }

    /// Records that no answer arrived before the timeout.
    pub fn record_missing(&mut self, now_ms: u64) {
        self.add(None, now_ms);
    }

    fn add(&mut self, delay_ms: Option<u64>, now_ms: u64) {
        let at_ms = now_ms;
        self.outcomes.push_back(Outcome { at_ms, delay_ms });
        if self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_front();
        }
        self.outcomes_since_update += 1;
        if self.outcomes_since_update >= OUTCOMES_PER_UPDATE
            || self.outcomes.len() <= OUTCOMES_PER_UPDATE
        {
            self.update(now_ms);
        }
    }

    fn update(&mut self, now_ms: u64) {
        self.outcomes_since_update = 0;
        while let Some(outcome) = self.outcomes.front()
            && outcome.at_ms + MAX_OUTCOME_AGE_MS < now_ms
        {
            self.outcomes.pop_front();
        }
        let mut delays_ms: Vec<u64> = Vec::with_capacity(self.outcomes.len());
        delays_ms.extend(self.outcomes.iter().filter_map(|outcome| outcome.delay_ms));
        let count = self.outcomes.len();
        self.is_mostly_missing = count >= MIN_OUTCOMES && delays_ms.len() * 2 < count;
        if delays_ms.is_empty() {
            return;
        }
        let index = delays_ms.len() * TYPICAL_PERCENTILE / 100;
        self.typical_delay_ms = *delays_ms.select_nth_unstable(index).1;
    }

    /// Returns the timeout in milliseconds for a call that a worker can answer at once.
    pub fn answer_timeout_ms(&self) -> u64 {
        let factor = if self.is_mostly_missing {
            MISSING_FACTOR
        } else {
            1
        };
        (BASE_TIMEOUT_MS * factor + DELAY_FACTOR * self.typical_delay_ms).min(MAX_TIMEOUT_MS)
    }

    /// Returns whether answers are late or missing from most workers, which makes this host's own
    /// link the likely cause.
    pub fn is_link_suspect(&self) -> bool {
        self.is_mostly_missing || self.typical_delay_ms > SUSPECT_DELAY_MS
    }

    /// Returns the typical delay of recent answers, in milliseconds.
    pub fn typical_delay_ms(&self) -> u64 {
        self.typical_delay_ms
    }
}
