//! How long answers of workers are awaited, and what a missing one means.
//!
//! Load: a host whose link or processor is full gets all answers late. With a fixed time every
//! answer would then be thrown away, asked for again, and the link be fuller still: index 2 Mbit/s
//! 48 of 85 workers that were alive were given up within a minute. One notices by answers that
//! come late from all workers alike. So what is awaited follows what answers take, and while
//! most of them are late or missing, a missing one speaks against this host's own link.
//!
//! Limits: a worker that died must be noticed well before its lease is over, so a few late
//! answers change nothing, and no answer is awaited for longer than the lease bears.

use std::collections::VecDeque;

/// Time in which workers answer that are well: milliseconds, or tens of them where they are
/// seven times slower.
const BASE_TIMEOUT_MS: u64 = 350;
/// How many times what answers take of late is added to that.
const DELAY_FACTOR: u64 = 3;
/// How many times more is awaited while most answers are missing: what they take is not known
/// then, as the late ones were given up.
const MISSING_FACTOR: u64 = 4;
/// Longest time. Two such looks fit in a lease.
const MAX_TIMEOUT_MS: u64 = 2_000;
/// Outcomes by which the time is judged, and how old they may be.
const MAX_OUTCOMES: usize = 256;
const MAX_OUTCOME_AGE_MS: u64 = 1_500;
/// Outcomes below which nothing is concluded from missing answers.
const MIN_OUTCOMES: usize = 8;
/// Outcomes between two judgements.
const OUTCOMES_PER_UPDATE: usize = 16;
/// Of the answers, the part in percent that must come faster than what counts as usual. Workers
/// that are slow themselves are fewer than the rest.
const TYPICAL_PERCENTILE: usize = 75;
/// What answers take usually, above which the link of this host is suspected.
const SUSPECT_DELAY_MS: u64 = 150;

/// What one call came to.
#[derive(Debug, Clone, Copy)]
struct Outcome {
    at_ms: u64,
    /// How late its answer was; `None` if none came.
    delay_ms: Option<u64>,
}

/// What calls to workers came to of late.
#[derive(Debug, Default)]
pub struct AnswerLatencies {
    outcomes: VecDeque<Outcome>,
    outcomes_since_update: usize,
    typical_delay_ms: u64,
    is_mostly_missing: bool,
}

impl AnswerLatencies {
    /// Notes an answer that came so long after the worker could have given it.
    pub fn record_answer(&mut self, delay_ms: u64, now_ms: u64) {
        self.add(Some(delay_ms), now_ms);
    }

    /// Notes that an answer was given up.
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

    /// Gives how long an answer is awaited that a worker could give index once.
    pub fn answer_timeout_ms(&self) -> u64 {
        let factor = if self.is_mostly_missing {
            MISSING_FACTOR
        } else {
            1
        };
        (BASE_TIMEOUT_MS * factor + DELAY_FACTOR * self.typical_delay_ms).min(MAX_TIMEOUT_MS)
    }

    /// Tells whether answers are late or missing from most workers, so that the cause is
    /// likely here.
    pub fn is_link_suspect(&self) -> bool {
        self.is_mostly_missing || self.typical_delay_ms > SUSPECT_DELAY_MS
    }

    /// Gives what answers take usually.
    pub fn typical_delay_ms(&self) -> u64 {
        self.typical_delay_ms
    }
}
