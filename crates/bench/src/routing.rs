//! Compares policies that choose an instance for a request: the owner's exact slot
//! counts against simpler policies.
//!
//! All policies see the same arrivals and the same work. The baselines are plain
//! functions of this module and are used nowhere else.

use crate::fleet::Fleet;
use crate::rig::HOP_US;
use crate::rig::Rig;
use goldcrestway_core::Answer;
use goldcrestway_core::Limits;
use hdrhistogram::Histogram;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;

/// Number of entry hosts.
pub const ENTRIES: usize = 8;
/// Number of instances of the service, spread over three failure domains.
pub const INSTANCES: usize = 48;
/// Number of slots of an instance.
const SLOTS: usize = 8;
/// Mean work on a request, in microseconds.
const MEAN_WORK_US: u64 = 10_000;
/// Time after which callers give up, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 1_000;

/// Highest possible goodput, in percent, if a slot gets its next request only after the
/// answer to the previous one has arrived: two hops pass in between.
pub const MAX_STRICT_GOODPUT_PERCENT: f64 =
    MEAN_WORK_US as f64 * 100.0 / (MEAN_WORK_US + 2 * HOP_US) as f64;

/// Disturbance of the instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Trouble {
    /// No disturbance.
    None,
    /// One instance takes ten times as long.
    OneSlow,
    /// A third of the instances take three times as long, in waves of 200 ms.
    Waves,
}

/// Load and disturbance of one comparison.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Setting {
    /// Arrivals as a share of the capacity of the instances, in percent.
    pub load_percent: u64,
    /// Disturbance of the instances.
    pub trouble: Trouble,
}

/// Results of a policy.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// Name of the policy.
    pub policy: &'static str,
    /// Median time to the answer, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time to the answer, in milliseconds.
    pub p99_ms: f64,
    /// 99.9th percentile of the time to the answer, in milliseconds.
    pub p999_ms: f64,
    /// Requests refused, in percent.
    pub refused_percent: f64,
    /// Median time to a refusal, in milliseconds; 0 if none was refused.
    pub refusal_p50_ms: f64,
    /// Answers as a share of the capacity of the instances, in percent.
    pub goodput_percent: f64,
}

/// One request of the shared sequence.
#[derive(Debug, Clone, Copy)]
struct Arrival {
    at_us: u64,
    entry: usize,
    work_us: u64,
}

fn arrivals(setting: Setting, count: usize, seed: u64) -> Vec<Arrival> {
    let mut random = Pcg32::seed_from_u64(seed);
    let capacity_per_us = (INSTANCES * SLOTS) as f64 / MEAN_WORK_US as f64;
    let rate = capacity_per_us * setting.load_percent as f64 / 100.0;
    let mut at = 0.0;
    let mut draw = || -> f64 { -(1.0 - random.random::<f64>()).ln() };
    let mut list = Vec::with_capacity(count);
    for _ in 0..count {
        at += draw() / rate;
        // Half of the work is fixed and half is exponential, which gives a moderate tail.
        let work_us = MEAN_WORK_US / 2 + (draw() * MEAN_WORK_US as f64 / 2.0) as u64;
        list.push((at as u64, work_us));
    }
    let mut random = Pcg32::seed_from_u64(seed + 1);
    list.into_iter()
        .map(|(at_us, work_us)| Arrival {
            at_us,
            entry: random.random_range(0..ENTRIES),
            work_us,
        })
        .collect()
}

/// Returns the time that an instance needs for work under the disturbance at `at_us`.
fn disturbed_work_us(trouble: Trouble, instance: usize, at_us: u64, work_us: u64) -> u64 {
    const WAVE_US: u64 = 200_000;
    const WAVES_START_US: u64 = 500_000;
    match trouble {
        Trouble::OneSlow if instance == 0 => work_us * 10,
        Trouble::Waves if at_us > WAVES_START_US => {
            let wave = (at_us / WAVE_US) as usize;
            let is_hit = wave % 2 == 1 && instance % 3 == wave / 2 % 3;
            if is_hit { work_us * 3 } else { work_us }
        }
        _ => work_us,
    }
}

/// Records the times of answers and refusals.
struct OutcomeRecorder {
    latency_us: Histogram<u64>,
    refusal_us: Histogram<u64>,
    answered: u64,
    answered_in_span: u64,
    refused: u64,
    span_us: u64,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 100_000_000, 3).unwrap_or_else(|_| unreachable!("valid bounds"))
}

impl OutcomeRecorder {
    /// Creates a recorder for arrivals of which the last is at `span_us`.
    fn new(span_us: u64) -> Self {
        Self {
            span_us,
            answered_in_span: 0,
            latency_us: histogram(),
            refusal_us: histogram(),
            answered: 0,
            refused: 0,
        }
    }

    fn record_answer(&mut self, arrived_us: u64, took_us: u64) {
        self.answered += 1;
        self.answered_in_span += u64::from(arrived_us + took_us <= self.span_us);
        self.latency_us.saturating_record(took_us);
    }

    fn record_refusal(&mut self, took_us: u64) {
        self.refused += 1;
        self.refusal_us.saturating_record(took_us.max(1));
    }

    fn outcome(&self, policy: &'static str) -> Outcome {
        let at = |quantile| self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
        let all = (self.answered + self.refused).max(1) as f64;
        let possible = self.span_us as f64 * (INSTANCES * SLOTS) as f64 / MEAN_WORK_US as f64;
        Outcome {
            policy,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            refused_percent: self.refused as f64 * 100.0 / all,
            refusal_p50_ms: self.refusal_us.value_at_quantile(0.5) as f64 / 1_000.0,
            goodput_percent: self.answered_in_span as f64 * 100.0 / possible,
        }
    }
}

/// Compares all policies in one setting, with `count` requests drawn from `seed`.
pub fn compare(setting: Setting, count: usize, seed: u64) -> Vec<Outcome> {
    let list = arrivals(setting, count, seed);
    vec![
        omniscient(setting, &list),
        owner(setting, &list),
        queues(setting, &list, "two choices", probe_two),
        queues(setting, &list, "random", random_instance),
        static_split(setting, &list),
    ]
}

/// Runs the production policy: real nodes, with the owner's exact slot counts.
fn owner(setting: Setting, list: &[Arrival]) -> Outcome {
    const WARM_UP_US: u64 = 8_000_000;
    const FIRST_REQUEST: u64 = 1_000;
    let mut rig = Rig::new(ENTRIES, &Limits::default(), false);
    rig.run(4_500_000);
    let (sections, _) = Fleet::sized(HOSTS, INSTANCES, 1).load();
    rig.publish(&sections);
    rig.run(WARM_UP_US);
    let base_us = rig.now_us;
    let works: Vec<u64> = list.iter().map(|arrival| arrival.work_us).collect();
    rig.work = Box::new(move |request, address, now_us| {
        let instance = address.trim_start_matches('u').parse().unwrap_or(0);
        let work_us = works[(request - FIRST_REQUEST) as usize];
        disturbed_work_us(setting.trouble, instance, now_us - base_us, work_us)
    });
    for (index, arrival) in list.iter().enumerate() {
        let ahead_us = (base_us + arrival.at_us).saturating_sub(rig.now_us);
        rig.run(ahead_us);
        rig.send_request(
            arrival.entry,
            FIRST_REQUEST + index as u64,
            "s0",
            CALLER_TIMEOUT_MS,
        );
    }
    rig.run(CALLER_TIMEOUT_MS * 2_000);
    let mut recorder = OutcomeRecorder::new(span_us_of(list));
    for (index, arrival) in list.iter().enumerate() {
        match rig.answers.get(&(FIRST_REQUEST + index as u64)) {
            Some((at_us, Answer::Whole)) => {
                recorder.record_answer(arrival.at_us, at_us - base_us - arrival.at_us)
            }
            Some((at_us, _)) => recorder.record_refusal(at_us - base_us - arrival.at_us),
            None => recorder.record_refusal(CALLER_TIMEOUT_MS * 1_000),
        }
    }
    recorder.outcome("owner")
}

/// Number of hosts of the instances; they fill three racks and thus three failure domains.
const HOSTS: usize = 33;

fn span_us_of(list: &[Arrival]) -> u64 {
    list.last().map_or(1, |arrival| arrival.at_us)
}

/// Runs a single queue that knows the exact state of every instance without delay. No
/// policy can do better: this is the bound.
fn omniscient(setting: Setting, list: &[Arrival]) -> Outcome {
    let mut recorder = OutcomeRecorder::new(span_us_of(list));
    let mut busy: BTreeMap<(u64, usize), usize> = BTreeMap::new();
    let mut free: Vec<usize> = vec![SLOTS; INSTANCES];
    let mut waiting: VecDeque<Arrival> = VecDeque::new();
    let mut number = 0;
    let mut queue: VecDeque<Arrival> = list.iter().copied().collect();
    loop {
        let next_end = busy.first_key_value().map(|(key, _)| key.0);
        let next_arrival = queue.front().map(|arrival| arrival.at_us);
        let now_us = match (next_end, next_arrival) {
            (Some(end), Some(arrival)) => end.min(arrival),
            (Some(end), None) => end,
            (None, Some(arrival)) => arrival,
            (None, None) => break,
        };
        while let Some(entry) = busy.first_entry().filter(|entry| entry.key().0 <= now_us) {
            free[entry.remove()] += 1;
        }
        while queue.front().is_some_and(|arrival| arrival.at_us <= now_us) {
            waiting.extend(queue.pop_front());
        }
        while let Some(arrival) = waiting.front().copied() {
            if now_us > arrival.at_us + CALLER_TIMEOUT_MS * 1_000 {
                waiting.pop_front();
                recorder.record_refusal(now_us - arrival.at_us);
                continue;
            }
            let Some(instance) = pick_soonest(setting, &free, now_us, arrival.work_us) else {
                break;
            };
            waiting.pop_front();
            free[instance] -= 1;
            number += 1;
            let work_us = disturbed_work_us(setting.trouble, instance, now_us, arrival.work_us);
            busy.insert((now_us + work_us, number), instance);
            recorder.record_answer(arrival.at_us, now_us + work_us - arrival.at_us + 2 * HOP_US);
        }
    }
    recorder.outcome("omniscient")
}

/// Returns the free instance that would finish soonest, or `None` if waiting for a fast
/// one is better.
fn pick_soonest(setting: Setting, free: &[usize], now_us: u64, work_us: u64) -> Option<usize> {
    let open = (0..INSTANCES).filter(|instance| free[*instance] > 0);
    let best =
        open.min_by_key(|instance| disturbed_work_us(setting.trouble, *instance, now_us, work_us))?;
    let is_slow = disturbed_work_us(setting.trouble, best, now_us, work_us) > work_us * 5;
    (!is_slow).then_some(best)
}

/// Queues of the instances, for policies without an owner.
struct Queues {
    /// Time at which each slot of each instance becomes free, in microseconds.
    free_us: Vec<[u64; SLOTS]>,
    random: Pcg32,
}

impl Queues {
    fn backlog_us(&self, instance: usize, now_us: u64) -> u64 {
        let slots = self.free_us[instance].iter();
        slots.map(|free_us| free_us.saturating_sub(now_us)).sum()
    }
}

/// Returns a random instance; costs no time.
fn random_instance(queues: &mut Queues, _now_us: u64) -> (usize, u64) {
    (queues.random.random_range(0..INSTANCES), 0)
}

/// Queries the backlog of two random instances and returns the one with the smaller
/// backlog; costs two hops.
fn probe_two(queues: &mut Queues, now_us: u64) -> (usize, u64) {
    let first = queues.random.random_range(0..INSTANCES);
    let second = queues.random.random_range(0..INSTANCES);
    let is_first = queues.backlog_us(first, now_us) <= queues.backlog_us(second, now_us);
    (if is_first { first } else { second }, 2 * HOP_US)
}

/// Runs a policy under which requests queue at the instances.
fn queues(
    setting: Setting,
    list: &[Arrival],
    policy: &'static str,
    choose: fn(&mut Queues, u64) -> (usize, u64),
) -> Outcome {
    let mut queues = Queues {
        free_us: vec![[0; SLOTS]; INSTANCES],
        random: Pcg32::seed_from_u64(99),
    };
    let mut recorder = OutcomeRecorder::new(span_us_of(list));
    for arrival in list {
        let (instance, cost_us) = choose(&mut queues, arrival.at_us);
        let reached_us = arrival.at_us + cost_us + HOP_US;
        let slot = (0..SLOTS)
            .min_by_key(|slot| queues.free_us[instance][*slot])
            .unwrap_or(0);
        let start_us = queues.free_us[instance][slot].max(reached_us);
        if start_us > arrival.at_us + CALLER_TIMEOUT_MS * 1_000 {
            recorder.record_refusal(CALLER_TIMEOUT_MS * 1_000);
            continue;
        }
        let end_us =
            start_us + disturbed_work_us(setting.trouble, instance, start_us, arrival.work_us);
        queues.free_us[instance][slot] = end_us;
        recorder.record_answer(arrival.at_us, end_us + HOP_US - arrival.at_us);
    }
    recorder.outcome(policy)
}

/// Runs a policy under which each entry host owns one slot of every instance.
fn static_split(setting: Setting, list: &[Arrival]) -> Outcome {
    let mut free_us = vec![[0_u64; INSTANCES]; ENTRIES];
    let mut recorder = OutcomeRecorder::new(span_us_of(list));
    for arrival in list {
        let slots = &mut free_us[arrival.entry];
        let instance = (0..INSTANCES)
            .min_by_key(|instance| slots[*instance])
            .unwrap_or(0);
        let start_us = slots[instance].max(arrival.at_us + HOP_US);
        if start_us > arrival.at_us + CALLER_TIMEOUT_MS * 1_000 {
            recorder.record_refusal(CALLER_TIMEOUT_MS * 1_000);
            continue;
        }
        let end_us =
            start_us + disturbed_work_us(setting.trouble, instance, start_us, arrival.work_us);
        // The host sends the next request when it receives the answer to this one.
        slots[instance] = end_us + 2 * HOP_US;
        recorder.record_answer(arrival.at_us, end_us + HOP_US - arrival.at_us);
    }
    recorder.outcome("static split")
}
