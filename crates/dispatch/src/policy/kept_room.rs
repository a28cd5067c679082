//! Room that is kept for a task that is too wide for what others leave free.
//!
//! **Load pattern:** a service is full of narrow tasks, and more of them wait. Each that ends frees
//! room for the next narrow one, and never enough for a wide task or for all members of a gang.
//!
//! **Without it** the wide task is passed over for as long as narrow ones wait. It shows as a step
//! that waits for `Worker` with all workers excluded by `Room`, while others of its service start.
//!
//! **What is decided:** when room is kept, on which workers, and for how long. The workers are those
//! where the task fits soonest as runs there end by themselves; no run is stopped. Until then only
//! tasks of higher priority, and long-running tasks that have run before, may start in the kept
//! room.
//!
//! **Limits:** they follow from the time that the caller allows for its job. After a quarter of it
//! the task has waited for too long. Room is then kept for twice the time in which the runs there
//! should have ended, since estimates are rough, but at least for as long as the task had to wait
//! and at most for 20 s. If that was not enough, no room is kept for the step for as long, so that
//! the room is idle for at most half of the time. It is released early if less than half of the
//! service is reserved for [`MAX_HALF_EMPTY_MS`], or if its step waits for something else. A step
//! that waits for kept room holds nothing that others wait for, and a worker keeps room for one step
//! at a time, so no two steps can wait for each other.

use crate::config::Resources;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

/// Part of the time that a caller allows for its job after which room is kept for a task.
const WAIT_PERCENT: u64 = 25;
/// Bounds of that time. Below half a second nearly every wait ends by itself, and a caller that
/// allows a minute and more must not wait behind narrow tasks for a quarter of it.
const MIN_WAIT_MS: u64 = 500;
const MAX_WAIT_MS: u64 = 10_000;
/// Multiple of the estimated time until a task fits for which room is kept, and its upper bound.
const KEEP_FACTOR: u64 = 2;
const MAX_KEEP_MS: u64 = 20_000;
/// Time for which room is kept while less than half of a service's processors are reserved, in
/// milliseconds. Longer, and narrow tasks would wait although most of the service is idle.
pub const MAX_HALF_EMPTY_MS: u64 = 2_000;
/// Maximum part of a service's workers on which room is kept for tasks that run without each other.
const MAX_WORKERS_PERCENT: usize = 10;

/// Returns how long a step waits before room is kept for it. Its caller allows `allowed_ms` for the
/// whole job.
pub fn max_wait_ms(allowed_ms: u64) -> u64 {
    (allowed_ms * WAIT_PERCENT / 100).clamp(MIN_WAIT_MS, MAX_WAIT_MS)
}

/// Returns for how long room is kept for a step that is estimated to fit in `fits_in_ms`, and then for
/// how long none is kept for it if it still waits. Its caller allows `allowed_ms` for the whole job.
pub fn keep_ms(allowed_ms: u64, fits_in_ms: u64) -> u64 {
    (fits_in_ms * KEEP_FACTOR).clamp(max_wait_ms(allowed_ms), MAX_KEEP_MS)
}

/// A worker on which room may be kept.
#[derive(Debug, Clone)]
pub struct Candidate<K> {
    /// Its key.
    pub key: K,
    /// Resources that are free now.
    pub free: Resources,
    /// Runs that will end: time until then in milliseconds, and what each frees.
    pub ends: Vec<(u64, Resources)>,
}

/// Order of tasks that kept room does not change: a task that goes before those for which room is
/// kept may start there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Precedence {
    /// A long-running task that has run before. What it serves is away until it runs again, which
    /// must be within seconds, while room is kept for up to [`MAX_KEEP_MS`] for tasks that have not
    /// run yet.
    pub is_restart: bool,
    /// Priority of the queue; 0 goes first.
    pub priority: u32,
    /// No task of the job runs until it is cancelled.
    pub is_finite: bool,
}

impl Precedence {
    /// Returns whether a task may start in room that is kept for tasks of the other precedence.
    pub fn goes_before(self, kept: Self) -> bool {
        self.is_restart || (self.priority, self.is_finite) < (kept.priority, kept.is_finite)
    }
}

/// What a step needs.
#[derive(Debug, Clone, Copy)]
pub struct Need {
    /// Resources of one task.
    pub task: Resources,
    /// Number of tasks that wait.
    pub tasks: usize,
    /// Maximum number of tasks on one worker; 0 for any number.
    pub max_per_worker: usize,
    /// The tasks run only together.
    pub is_gang: bool,
}

/// Where room is kept for a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice<K> {
    /// Workers, with the number of tasks for which room is kept there.
    pub workers: BTreeMap<K, usize>,
    /// Time until all of these tasks fit, in milliseconds.
    pub fits_in_ms: u64,
}

/// Returns on how many of a service's workers room is kept at most for tasks that run without each
/// other.
pub fn max_workers(workers: usize) -> usize {
    (workers * MAX_WORKERS_PERCENT / 100).max(1)
}

/// Chooses the workers on which the tasks of a step fit soonest, `max_workers` at most but for a gang.
/// Returns `None` if no task will fit while room is kept, or not all of a gang.
pub fn choose<K: Copy + Ord>(
    need: Need,
    mut candidates: Vec<Candidate<K>>,
    max_workers: usize,
) -> Option<Choice<K>> {
    let mut soonest = BinaryHeap::new();
    for (index, candidate) in candidates.iter_mut().enumerate() {
        candidate
            .ends
            .sort_unstable_by_key(|(ends_in_ms, _)| *ends_in_ms);
        if let Some(fits_in_ms) = candidate.fits_in_ms(need.task) {
            soonest.push(Reverse((fits_in_ms, candidate.key, index)));
        }
    }
    let mut workers: BTreeMap<K, usize> = BTreeMap::new();
    let mut tasks = 0;
    let mut last_ms = 0;
    while tasks < need.tasks {
        let Some(Reverse((fits_in_ms, key, index))) = soonest.pop() else {
            break;
        };
        if fits_in_ms > MAX_KEEP_MS {
            break;
        }
        let is_new = !workers.contains_key(&key);
        if is_new && !need.is_gang && workers.len() == max_workers {
            continue;
        }
        let count = workers.entry(key).or_default();
        *count += 1;
        tasks += 1;
        last_ms = fits_in_ms;
        if *count == need.max_per_worker {
            continue;
        }
        let with_next = need.task.times(*count as u64 + 1);
        if let Some(fits_in_ms) = candidates[index].fits_in_ms(with_next) {
            soonest.push(Reverse((fits_in_ms, key, index)));
        }
    }
    let is_sufficient = tasks == need.tasks || (tasks > 0 && !need.is_gang);
    is_sufficient.then_some(Choice {
        workers,
        fits_in_ms: last_ms,
    })
}

impl<K> Candidate<K> {
    /// Returns the time in milliseconds until enough of its runs have ended that `resources` fit;
    /// `None` if they don't fit even then. The ends are in order of time.
    fn fits_in_ms(&self, resources: Resources) -> Option<u64> {
        let mut free = self.free;
        if free.can_fit(resources) {
            return Some(0);
        }
        for (ends_in_ms, freed) in &self.ends {
            free = free.plus(*freed);
            if free.can_fit(resources) {
                return Some(*ends_in_ms);
            }
        }
        None
    }
}
