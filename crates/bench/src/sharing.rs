//! Compares placement policies under interference: the latency of services, the
//! throughput of batch work and the evictions on simulated hosts. How much a kind of job
//! slows a service down is hidden from the policies and drawn from seeds on which no
//! policy is tuned.
//!
//! The policy under test is the production [`WorkerCell`] with its guards. The baselines
//! use the same cell without the guard, or keep batch work off hosts with services.

use goldcrestway_core::AttemptId;
use goldcrestway_core::HostEntry;
use goldcrestway_core::INTERFERENCE_SETTINGS;
use goldcrestway_core::InterferenceSettings;
use goldcrestway_core::ReportedState;
use goldcrestway_core::Reservation;
use goldcrestway_core::StartOptions;
use goldcrestway_core::TaskEnd;
use goldcrestway_core::TaskOrder;
use goldcrestway_core::TaskReport;
use goldcrestway_core::Term;
use goldcrestway_core::WorkerCall;
use goldcrestway_core::WorkerCell;
use goldcrestway_core::WorkerReport;
use goldcrestway_core::WorkerTiming;
use goldcrestway_inventory::Resources;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::VecDeque;

/// Number of hosts of the cell.
const HOSTS: usize = 11;
/// Number of hosts with an instance of a service.
const SERVICE_HOSTS: usize = 8;
/// Number of kinds of jobs, each with its own slowdown of each service.
const KINDS: usize = 6;
/// Duration of a run, in seconds.
const SPAN_S: u64 = 1_800;
/// Delay of a measurement, in seconds.
const LAG_S: usize = 3;
/// Multiple of the usual service latency above which a second counts as a violation.
const VIOLATION_FACTOR: f64 = 1.3;

/// How batch work is kept from harming services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub enum Policy {
    /// The guard: throttle, then evict, with hysteresis.
    Guard,
    /// First fit: batch work goes wherever it fits.
    FirstFit,
    /// Batch work goes only to hosts without services.
    NoSharing,
    /// One task is evicted on each harmful measurement, without hysteresis.
    EvictAtOnce,
}

/// Results of a policy in one run.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct Outcome {
    /// The policy.
    pub policy: Policy,
    /// Seconds in which a service's latency was over the bound, in percent.
    pub violation_percent: f64,
    /// Core-seconds of batch work done.
    pub batch_core_s: f64,
    /// Number of tasks evicted.
    pub evictions: u64,
}

/// Slowdowns drawn from a seed, which the policies do not see.
struct HiddenEffects {
    /// Slowdown that one running core of each kind adds to each host's service.
    slowdown_per_core: Vec<[f64; KINDS]>,
    random: Pcg32,
}

impl HiddenEffects {
    fn draw(seed: u64) -> Self {
        let mut random = Pcg32::seed_from_u64(seed);
        let mut slowdown_per_core = Vec::new();
        for _ in 0..HOSTS {
            let mut row = [0.0; KINDS];
            for cell in &mut row {
                // 60% of the pairs barely interfere, 30% interfere, and 10% interfere strongly.
                *cell = match random.random_range(0..10) {
                    0..6 => random.random::<f64>() * 0.003,
                    6..9 => random.random::<f64>() * 0.03,
                    _ => 0.03 + random.random::<f64>() * 0.07,
                };
            }
            slowdown_per_core.push(row);
        }
        Self {
            slowdown_per_core,
            random,
        }
    }

    /// Returns the load of the services at a time: a slow sine wave.
    fn load(&self, now_s: u64) -> f64 {
        const SWING_S: f64 = 400.0;
        let phase = now_s as f64 * std::f64::consts::TAU / SWING_S;
        0.6 + 0.4 * phase.sin()
    }

    /// Returns a service's latency without noise, as a multiple of its usual one.
    fn latency(&self, host: usize, cores_by_kind: &[f64; KINDS], now_s: u64) -> f64 {
        let slowdown: f64 = (0..KINDS)
            .map(|kind| self.slowdown_per_core[host][kind] * cores_by_kind[kind])
            .sum();
        1.0 + slowdown * (0.4 + self.load(now_s)) + 0.05 * self.load(now_s)
    }

    /// Adds noise of the service itself: a little at all times, much in periodic waves.
    /// It affects callers whether batch work shares the host or not.
    fn with_noise(&mut self, latency: f64, now_s: u64) -> f64 {
        const WAVE_S: u64 = 97;
        let in_wave = now_s % WAVE_S < 12;
        let noise = if in_wave { 0.4 } else { 0.04 };
        latency * (1.0 + (self.random.random::<f64>() - 0.5) * 2.0 * noise)
    }
}

/// Task on a simulated host.
#[derive(Debug, Clone)]
struct SimulatedTask {
    order: TaskOrder,
    kind: usize,
    remaining_core_s: f64,
    state: ReportedState,
}

/// Simulated host.
#[derive(Debug, Clone, Default)]
struct SimulatedHost {
    tasks: Vec<SimulatedTask>,
    share: f64,
    delayed_slowdowns: VecDeque<u32>,
    report_count: u64,
}

const CORES_PER_TASK: u32 = 4;

fn order(number: u64, kind: usize) -> TaskOrder {
    TaskOrder {
        attempt: AttemptId {
            id: format!("night/j{number}").into(),
            attempt: 1,
        },
        job: format!("kind{kind}").into(),
        need: Resources {
            millicores: CORES_PER_TASK * 1_000,
            memory_mb: 4_000,
            accelerators: 0,
        },
        checkpoint: 0,
    }
}

fn host_entry(index: usize, policy: Policy) -> HostEntry {
    let has_service = index < SERVICE_HOSTS;
    let service = Resources {
        millicores: 8_000,
        memory_mb: 16_000,
        accelerators: 0,
    };
    let total = Resources {
        millicores: 32_000,
        memory_mb: 125_000,
        accelerators: 0,
    };
    let is_off_limits = policy == Policy::NoSharing && has_service;
    HostEntry {
        name: format!("w{index}").into(),
        address: format!("{index}").into(),
        total,
        reserved: match (is_off_limits, has_service) {
            (true, _) => total,
            (false, true) => service,
            (false, false) => Resources::default(),
        },
        excluded_jobs: Vec::new(),
        is_leaving: false,
    }
}

/// Runs a policy against the slowdowns drawn from `seed`.
pub fn run(policy: Policy, seed: u64) -> Outcome {
    let mut effects = HiddenEffects::draw(seed);
    let timing = WorkerTiming {
        lease_ms: 10_000,
        poll_ms: 1_000,
        reserve_ms: 3_000,
        skew_permille: 20,
    };
    let mut cell = WorkerCell::new(Term(1), timing);
    if policy == Policy::EvictAtOnce {
        cell.set_interference_settings(InterferenceSettings {
            min_share: 1.0,
            eviction_samples: 1,
            is_learning: false,
            ..INTERFERENCE_SETTINGS
        });
    }
    for index in 0..HOSTS {
        cell.update_host(0, host_entry(index, policy));
    }
    let mut hosts = vec![
        SimulatedHost {
            share: 1.0,
            ..SimulatedHost::default()
        };
        HOSTS
    ];
    let mut backlog: VecDeque<TaskOrder> = VecDeque::new();
    let mut kinds = Pcg32::seed_from_u64(seed + 1_000);
    let mut number = 0;
    let (mut violation_s, mut observed_s, mut done, mut evictions) = (0_u64, 0_u64, 0.0, 0_u64);
    for now_s in 0..SPAN_S {
        let now_ms = now_s * 1_000;
        // There is always more batch work than free resources.
        while backlog.len() < 24 {
            number += 1;
            backlog.push_back(order(number, kinds.random_range(0..KINDS)));
        }
        start_backlog(&mut cell, &mut backlog, now_ms);
        for (key, address, call) in cell.tick(now_ms) {
            let index: usize = address.parse().unwrap_or(0);
            let report = handle_call(&mut hosts[index], index, &call, policy, kinds.random());
            cell.handle_report(now_ms, key, call.token, &report, |_| false);
        }
        for report in cell.drain_updates(now_ms, 1_000) {
            if let Some(TaskEnd::Evicted { checkpoint }) = report.end {
                evictions += 1;
                let kind = kind_of(&report.attempt.id, &hosts);
                let mut again = order(0, kind);
                again.attempt.id = report.attempt.id.clone();
                again.attempt.attempt = report.attempt.attempt + 1;
                again.checkpoint = checkpoint;
                backlog.push_front(again);
            }
            if report.end.is_some() {
                cell.acknowledge(now_ms, &report.attempt);
            }
        }
        for (index, host) in hosts.iter_mut().enumerate() {
            done += run_tasks(host);
            if index >= SERVICE_HOSTS {
                continue;
            }
            let latency = effects.latency(index, &cores_by_kind(host), now_s);
            let latency = effects.with_noise(latency, now_s);
            observed_s += 1;
            violation_s += u64::from(latency > VIOLATION_FACTOR);
            host.delayed_slowdowns.push_back((latency * 1_000.0) as u32);
        }
    }
    Outcome {
        policy,
        violation_percent: violation_s as f64 * 100.0 / observed_s as f64,
        batch_core_s: done,
        evictions,
    }
}

fn start_backlog(cell: &mut WorkerCell, backlog: &mut VecDeque<TaskOrder>, now_ms: u64) {
    let options = StartOptions {
        is_urgent: false,
        is_repeat: false,
    };
    for _ in 0..backlog.len() {
        let Some(order) = backlog.pop_front() else {
            return;
        };
        if cell.reserve(now_ms, order.clone(), false) == Reservation::Held {
            cell.start(now_ms, order, options);
        } else {
            backlog.push_back(order);
        }
    }
}

fn kind_of(id: &str, hosts: &[SimulatedHost]) -> usize {
    let tasks = hosts.iter().flat_map(|host| &host.tasks);
    let found = tasks.into_iter().find(|task| &*task.order.attempt.id == id);
    found.map_or(0, |task| task.kind)
}

/// Simulates a worker: handles a call and returns a report of its tasks with a delayed
/// measurement.
fn handle_call(
    host: &mut SimulatedHost,
    index: usize,
    call: &WorkerCall,
    policy: Policy,
    draw: u32,
) -> WorkerReport {
    let is_named_in =
        |attempts: &[AttemptId], task: &SimulatedTask| attempts.contains(&task.order.attempt);
    host.tasks.retain(|task| !is_named_in(&call.forget, task));
    for task in &mut host.tasks {
        if task.state == ReportedState::Running && is_named_in(&call.stop, task) {
            task.state = ReportedState::Stopped {
                checkpoint: (task.remaining_core_s * 1_000.0) as u64,
            };
        }
    }
    for order in &call.start {
        if host
            .tasks
            .iter()
            .any(|task| task.order.attempt == order.attempt)
        {
            continue;
        }
        let kind = order.job.trim_start_matches("kind").parse().unwrap_or(0);
        let remaining_core_s = match order.checkpoint {
            0 => f64::from(40 + draw % 800),
            left => left as f64 / 1_000.0,
        };
        host.tasks.push(SimulatedTask {
            order: order.clone(),
            kind,
            remaining_core_s,
            state: ReportedState::Running,
        });
    }
    host.share = f64::from(call.batch_permille) / 1_000.0;
    host.report_count += 1;
    let delayed = match host.delayed_slowdowns.len() > LAG_S {
        true => host.delayed_slowdowns.pop_front().unwrap_or(0),
        false => 0,
    };
    let is_measured =
        index < SERVICE_HOSTS && matches!(policy, Policy::Guard | Policy::EvictAtOnce);
    WorkerReport {
        number: host.report_count,
        tasks: host
            .tasks
            .iter()
            .map(|task| TaskReport {
                order: task.order.clone(),
                state: task.state,
            })
            .collect(),
        service_slowdown_permille: if is_measured { delayed } else { 0 },
    }
}

fn cores_by_kind(host: &SimulatedHost) -> [f64; KINDS] {
    let mut cores = [0.0; KINDS];
    for task in host
        .tasks
        .iter()
        .filter(|task| task.state == ReportedState::Running)
    {
        cores[task.kind] += f64::from(CORES_PER_TASK) * host.share;
    }
    cores
}

/// Advances the tasks of a host by one second and returns the core-seconds of work done.
fn run_tasks(host: &mut SimulatedHost) -> f64 {
    let mut done = 0.0;
    for task in &mut host.tasks {
        if task.state != ReportedState::Running {
            continue;
        }
        let step = (f64::from(CORES_PER_TASK) * host.share).min(task.remaining_core_s);
        task.remaining_core_s -= step;
        done += step;
        if task.remaining_core_s <= 0.0 {
            task.state = ReportedState::Finished;
        }
    }
    done
}

/// Runs each policy with all `seeds` and returns the outcomes by the name of the policy.
pub fn compare(seeds: std::ops::Range<u64>) -> BTreeMap<&'static str, Vec<Outcome>> {
    let policies = [
        ("guard", Policy::Guard),
        ("first fit", Policy::FirstFit),
        ("no sharing", Policy::NoSharing),
        ("evict at once", Policy::EvictAtOnce),
    ];
    let mut all = BTreeMap::new();
    for (name, policy) in policies {
        all.insert(name, seeds.clone().map(|seed| run(policy, seed)).collect());
    }
    all
}
