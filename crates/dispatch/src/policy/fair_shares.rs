//! Which queue goes first among queues of the same priority.
//!
//! **Load pattern:** a customer hands its jobs to several queues of one priority, and more work
//! waits than fits. One of the queues bursts, or never stops.
//!
//! **Without it** jobs of all queues are ordered by their objective alone, so resources follow
//! the number of jobs: a queue that submits three times as much gets three times as much, and the
//! others wait for it. It shows as waits in a queue whose own load has not changed.
//!
//! **What counts:** the share of a queue is the part of a service's resources that its tasks hold,
//! of the resource of which they hold most (processors, memory or accelerators). Best-effort tasks
//! count with the processors that they request, though they reserve none. The queue with the
//! smallest share goes first, so a queue that needs less than an equal part gets all it needs, and
//! the others share the rest equally. The share is what a queue holds now, but at least what it has
//! held of late, limited to between three quarters and five quarters of an equal part. A queue
//! that comes back after a pause goes first, but does not get everything that becomes free.
//!
//! **Limits:** ranks are steps of a quarter of an equal part, and a rank changes only well beyond
//! its bounds, so that queues with about the same share keep the same rank and are ordered by their
//! objectives. A queue that competes with none has the neutral rank, which changes nothing.

use crate::config::Resources;
use crate::record::LearnedQueue;
use slotmap::SlotMap;
use slotmap::new_key_type;
use std::collections::BTreeMap;

/// Time after which what a queue has held counts half. Callers expect jobs to end within some ten
/// seconds, so an advantage of half a minute ago is no reason to wait.
pub const HALF_LIFE_MS: u64 = 10_000;
/// Rank of a queue that holds an equal part, and of all queues that don't compete. Also the number
/// of ranks to an equal part.
pub const NEUTRAL_RANK: u32 = 4;
/// Largest rank.
const MAX_RANK: u32 = 64;
/// Part of a rank by which a share must exceed the bounds of the rank before the rank changes.
const RANK_MARGIN: f64 = 0.25;
/// Maximum change by past usage, as a part of an equal part.
const MAX_PAST: f64 = 0.25;
/// Maximum number of queues without jobs whose usage is kept.
const MAX_IDLE_QUEUES: usize = 1_000;
/// Usage below which a queue without jobs is forgotten, as a part of the service.
const MIN_USAGE: f64 = 0.000_1;
/// Time for which jobs of a queue have waited when it is reported that they go after those of others.
/// Jobs that have just been submitted wait until the next pass even if there is room for all.
const HELD_BACK_AFTER_MS: u64 = 500;
/// Interval between two reports about the same queue.
const REPORT_INTERVAL_MS: u64 = 10_000;
/// Maximum number of queues reported at once.
const MAX_REPORTED: usize = 10;
/// Largest share. Best-effort tasks may request any multiple of what the service has.
const MAX_SHARE: f64 = 1_000.0;

new_key_type! {
    /// Key of a queue and kind of job.
    pub struct QueueKey;
}

/// Kind of a job, by its tasks. Jobs of different kinds hardly compete for resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKind {
    /// Some of its tasks run until it is cancelled.
    pub is_long_running: bool,
    /// Some of its tasks use what others leave unused.
    pub is_best_effort: bool,
}

/// Queues of the same group compete with each other.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Group {
    /// Service whose workers run the tasks.
    pub service: Box<str>,
    /// Priority of the queues.
    pub priority: u32,
    /// Kind of the jobs.
    pub kind: JobKind,
}

/// What a job holds and whether it waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobDemand {
    /// Its queue.
    pub queue: QueueKey,
    /// Resources that its tasks have, with the processors that best-effort tasks request.
    pub held: Resources,
    /// Whether some of its tasks wait for resources.
    pub waits: bool,
}

/// The share of a queue, as metrics and logs show it. Shares are parts of the service's resources
/// in millionths.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct QueueShare {
    /// Name of the queue.
    pub queue: Box<str>,
    /// What it has held of late.
    pub usage_ppm: u64,
    /// What it holds.
    pub held_ppm: u64,
    /// Number of its jobs that wait for resources.
    pub waiting: u64,
}

/// A queue whose waiting jobs go after those of others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldBack {
    /// The queue.
    pub share: QueueShare,
    /// Equal part of a waiting queue of its group, in millionths of the service's resources: the mean
    /// of what these queues hold, or half the mean of what they have held of late if that is more.
    pub equal_ppm: u64,
}

/// Usage of one queue by jobs of one kind.
#[derive(Debug)]
struct Usage {
    name: Box<str>,
    group: Group,
    held: Resources,
    held_share: f64,
    /// The decayed mean of the held share.
    past_share: f64,
    jobs: u64,
    waiting: u64,
    rank: u32,
    /// Since when some of its jobs wait.
    waits_since_ms: Option<u64>,
    /// They went after those of another queue since the last report.
    was_held_back: bool,
    reported_ms: Option<u64>,
}

impl Usage {
    fn share(&self) -> QueueShare {
        QueueShare {
            queue: self.name.clone(),
            usage_ppm: ppm(self.past_share),
            held_ppm: ppm(self.held_share),
            waiting: self.waiting,
        }
    }
}

/// Usage of all queues, and their ranks.
#[derive(Debug, Default)]
pub struct FairShares {
    queues: SlotMap<QueueKey, Usage>,
    /// Keys of queues by group and name.
    keys: BTreeMap<Group, BTreeMap<Box<str>, QueueKey>>,
    /// Resources of each service.
    resources: BTreeMap<Box<str>, Resources>,
    /// Usage under the previous owner, of queues that have had no job since.
    inherited: BTreeMap<(Box<str>, JobKind), f64>,
    refreshed_ms: Option<u64>,
}

impl FairShares {
    /// Returns the key of a queue for jobs of a group.
    pub fn queue(&mut self, group: &Group, name: &str) -> QueueKey {
        if let Some(key) = self.keys.get(group).and_then(|keys| keys.get(name)) {
            return *key;
        }
        let inherited = self.inherited.remove(&(name.into(), group.kind));
        let key = self.queues.insert(Usage {
            name: name.into(),
            group: group.clone(),
            held: Resources::default(),
            held_share: 0.0,
            past_share: inherited.unwrap_or_default(),
            jobs: 0,
            waiting: 0,
            rank: NEUTRAL_RANK,
            waits_since_ms: None,
            was_held_back: false,
            reported_ms: None,
        });
        let keys = self.keys.entry(group.clone()).or_default();
        keys.insert(name.into(), key);
        key
    }

    /// Sets the resources of all services.
    pub fn set_resources(&mut self, resources: BTreeMap<Box<str>, Resources>) {
        self.resources = resources;
    }

    /// Updates usage and ranks from all jobs that have not ended.
    pub fn refresh(&mut self, demands: &[JobDemand], now_ms: u64) {
        let previous_ms = self.refreshed_ms.replace(now_ms).unwrap_or(now_ms);
        let elapsed_ms = now_ms.saturating_sub(previous_ms);
        let remains = (-(elapsed_ms as f64) / HALF_LIFE_MS as f64).exp2();
        for usage in self.queues.values_mut() {
            usage.past_share = usage.held_share + (usage.past_share - usage.held_share) * remains;
            usage.held = Resources::default();
            usage.jobs = 0;
            usage.waiting = 0;
        }
        for share in self.inherited.values_mut() {
            *share *= remains;
        }
        for demand in demands {
            let Some(usage) = self.queues.get_mut(demand.queue) else {
                continue;
            };
            usage.held = usage.held.plus(demand.held);
            usage.jobs += 1;
            usage.waiting += u64::from(demand.waits);
        }
        for usage in self.queues.values_mut() {
            let resources = self.resources.get(&usage.group.service).copied();
            usage.held_share = dominant_share(usage.held, resources.unwrap_or_default());
        }
        self.forget_idle();
        for keys in self.keys.values() {
            rank_group(&mut self.queues, keys, now_ms);
        }
    }

    /// Returns the rank of a queue; the smallest goes first.
    pub fn rank(&self, key: QueueKey) -> u32 {
        self.queues
            .get(key)
            .map_or(NEUTRAL_RANK, |usage| usage.rank)
    }

    /// Returns the shares of all queues by name.
    pub fn shares(&self) -> Vec<QueueShare> {
        let mut by_name: BTreeMap<&str, QueueShare> = BTreeMap::new();
        for usage in self.queues.values() {
            let share = usage.share();
            let sum = by_name.entry(&usage.name).or_default();
            sum.usage_ppm += share.usage_ppm;
            sum.held_ppm += share.held_ppm;
            sum.waiting += share.waiting;
            sum.queue = share.queue;
        }
        by_name.into_values().collect()
    }

    /// Returns Jain's index of the usage of queues that compete, in thousandths, of the group where
    /// it is lowest: 1,000 if all have had the same, and 1,000 divided by their number if one has
    /// had everything.
    pub fn fairness_permille(&self) -> u64 {
        let mut lowest = 1.0_f64;
        for keys in self.keys.values() {
            let waiting = waiting(&self.queues, keys);
            let sum: f64 = waiting.iter().map(|usage| usage.past_share).sum();
            let squares: f64 = waiting.iter().map(|usage| usage.past_share.powi(2)).sum();
            if squares > 0.0 {
                lowest = lowest.min(sum * sum / (waiting.len() as f64 * squares));
            }
        }
        (lowest * 1_000.0).round() as u64
    }

    /// Returns queues whose waiting jobs went after those of others since the last call, each at most
    /// once in ten seconds. If there are many, those whose last report is the oldest come first, and
    /// the others with the next calls.
    pub fn held_back(&mut self, now_ms: u64) -> Vec<HeldBack> {
        let mut due = Vec::new();
        for keys in self.keys.values() {
            let waiting = waiting(&self.queues, keys);
            let equal_ppm = ppm(equal_share(&waiting));
            for key in keys.values() {
                let usage = &mut self.queues[*key];
                usage.was_held_back &= usage
                    .reported_ms
                    .is_none_or(|reported_ms| now_ms >= reported_ms + REPORT_INTERVAL_MS);
                if usage.was_held_back {
                    due.push((usage.reported_ms, *key, equal_ppm));
                }
            }
        }
        due.sort_by_key(|(reported_ms, ..)| *reported_ms);
        due.truncate(MAX_REPORTED);
        let mut list = Vec::with_capacity(due.len());
        for (_, key, equal_ppm) in due {
            let usage = &mut self.queues[key];
            usage.was_held_back = false;
            usage.reported_ms = Some(now_ms);
            list.push(HeldBack {
                share: usage.share(),
                equal_ppm,
            });
        }
        list
    }

    /// Restores the usage that the previous owner has recorded. The time since then is unknown and
    /// not subtracted.
    pub(crate) fn resume(&mut self, learned: &[LearnedQueue]) {
        for queue in learned {
            let kind = JobKind {
                is_long_running: queue.is_long_running,
                is_best_effort: queue.is_best_effort,
            };
            let share = f64::from(queue.usage_ppm) / 1_000_000.0;
            self.inherited
                .insert((queue.queue.as_str().into(), kind), share.min(MAX_SHARE));
        }
    }

    /// Returns the usage of queues that are not alone in their group, to be stored for the next
    /// owner.
    pub(crate) fn learned(&self) -> Vec<LearnedQueue> {
        let mut list = Vec::new();
        for (group, keys) in &self.keys {
            if keys.len() < 2 {
                continue;
            }
            for key in keys.values() {
                let usage = &self.queues[*key];
                if usage.past_share < MIN_USAGE {
                    continue;
                }
                list.push(LearnedQueue {
                    queue: usage.name.to_string(),
                    is_long_running: group.kind.is_long_running,
                    is_best_effort: group.kind.is_best_effort,
                    usage_ppm: ppm(usage.past_share) as u32,
                });
            }
        }
        list
    }

    /// Forgets queues without jobs that have hardly any usage left, or that are too many.
    fn forget_idle(&mut self) {
        self.inherited.retain(|_, share| *share >= MIN_USAGE);
        let mut idle = Vec::new();
        for (key, usage) in &self.queues {
            if usage.jobs == 0 {
                idle.push((usage.past_share, key));
            }
        }
        idle.sort_unstable_by(|one, other| other.0.total_cmp(&one.0));
        for (position, (past_share, key)) in idle.into_iter().enumerate() {
            if past_share >= MIN_USAGE && position < MAX_IDLE_QUEUES {
                continue;
            }
            let Some(usage) = self.queues.remove(key) else {
                continue;
            };
            if let Some(keys) = self.keys.get_mut(&usage.group) {
                keys.remove(&usage.name);
            }
        }
        self.keys.retain(|_, keys| !keys.is_empty());
    }
}

/// Returns the part of `resources` that is held, of the resource of which most is held.
fn dominant_share(held: Resources, resources: Resources) -> f64 {
    let part = |held: u64, of: u64| match of {
        0 => 0.0,
        _ => held as f64 / of as f64,
    };
    part(held.cpu_milli, resources.cpu_milli)
        .max(part(held.memory_mb, resources.memory_mb))
        .max(part(held.accelerators, resources.accelerators))
        .min(MAX_SHARE)
}

/// Returns the queues of a group that have waiting jobs.
fn waiting<'a>(
    queues: &'a SlotMap<QueueKey, Usage>,
    keys: &BTreeMap<Box<str>, QueueKey>,
) -> Vec<&'a Usage> {
    let mut list = Vec::new();
    for key in keys.values() {
        let usage = &queues[*key];
        if usage.waiting > 0 {
            list.push(usage);
        }
    }
    list
}

/// Returns the mean of what queues hold, or half of what they have held of late if that is more: if
/// all of their tasks end at once, the order still follows from the past.
fn equal_share(waiting: &[&Usage]) -> f64 {
    let count = waiting.len().max(1) as f64;
    let held: f64 = waiting.iter().map(|usage| usage.held_share).sum();
    let past: f64 = waiting.iter().map(|usage| usage.past_share).sum();
    (held / count).max(past / count / 2.0)
}

/// Ranks the queues of a group. A queue that competes with none gets the neutral rank.
fn rank_group(
    queues: &mut SlotMap<QueueKey, Usage>,
    keys: &BTreeMap<Box<str>, QueueKey>,
    now_ms: u64,
) {
    let waiting = waiting(queues, keys);
    let equal = equal_share(&waiting);
    let competes = waiting.len() > 1 && equal > 0.0;
    let mut lowest = MAX_RANK;
    for key in keys.values() {
        let usage = &mut queues[*key];
        if !competes || usage.waiting == 0 {
            usage.rank = NEUTRAL_RANK;
            continue;
        }
        let past = usage
            .past_share
            .clamp(equal * (1.0 - MAX_PAST), equal * (1.0 + MAX_PAST));
        let exact = usage.held_share.max(past) / equal * f64::from(NEUTRAL_RANK);
        if (exact - f64::from(usage.rank)).abs() > 0.5 + RANK_MARGIN {
            usage.rank = (exact.round() as u32).min(MAX_RANK);
        }
        lowest = lowest.min(usage.rank);
    }
    for key in keys.values() {
        let usage = &mut queues[*key];
        if usage.waiting == 0 {
            usage.waits_since_ms = None;
            continue;
        }
        let since_ms = *usage.waits_since_ms.get_or_insert(now_ms);
        let waits_long = now_ms >= since_ms + HELD_BACK_AFTER_MS;
        let is_behind = usage.rank > NEUTRAL_RANK && usage.rank > lowest;
        usage.was_held_back |= waits_long && is_behind;
    }
}

fn ppm(share: f64) -> u64 {
    (share * 1_000_000.0).round() as u64
}
