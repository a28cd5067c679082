//! Tests which interference is learned from noisy tail latencies while loads vary.

use goldcrestway_dispatch::policy::images::ImageKey;
use goldcrestway_dispatch::policy::interference::Baseline;
use goldcrestway_dispatch::policy::interference::ImageUsage;
use goldcrestway_dispatch::policy::interference::InterferenceModel;
use goldcrestway_dispatch::policy::interference::UsageWindow;
use goldcrestway_dispatch::policy::interference::headroom;
use googletest::prelude::*;
use std::f64::consts::TAU;

const LATENCY_CRITICAL: ImageKey = ImageKey(1);
const BEST_EFFORT: ImageKey = ImageKey(2);
const OTHER_BEST_EFFORT: ImageKey = ImageKey(3);
const TARGET_MS: u64 = 18;
/// Tail latency of an idle latency-critical task.
const IDLE_TAIL_MS: f64 = 4.0;
/// Part of its capacity that a latency-critical task uses by itself: the average, the amplitude of
/// the variation and its period, as measured on long-running tasks.
const OWN_LOAD: f64 = 0.42;
const LOAD_SWING: f64 = 0.21;
const LOAD_SWING_MS: u64 = 10_000;
/// Cores that one best-effort task uses, and how long it runs.
const CORES: f64 = 3.5;
const RUN_MS: u64 = 1_700;
const POLL_MS: u64 = 500;
/// Time at which the only best-effort task of the pair starts.
const START_MS: u64 = 1_500;

/// A load of the latency-critical task while a pair of images is first observed.
struct Case {
    name: &'static str,
    /// Phase of the load variation at which the first best-effort task of the pair starts.
    first_phase: f64,
    /// Part of the latency-critical task's capacity that each core of it takes.
    capacity_per_core: f64,
    /// Smallest and largest coefficient that may be learned.
    expected: [f64; 2],
}

const CASES: &[Case] = &[
    Case {
        name: "harmless, first observed while the load of the latency-critical task rises",
        first_phase: 0.0,
        capacity_per_core: 0.0,
        expected: [0.0, 0.15],
    },
    Case {
        name: "harmless, first observed at the peak of the load",
        first_phase: 0.25,
        capacity_per_core: 0.0,
        expected: [0.0, 0.15],
    },
    Case {
        name: "interfering, first observed while the load of the latency-critical task falls",
        first_phase: 0.5,
        capacity_per_core: 0.09,
        expected: [0.18, 0.6],
    },
];

/// A latency-critical task on a worker of its own, with its own load variation.
struct ServingTask {
    phase: f64,
    baseline: Baseline,
}

impl ServingTask {
    /// Returns the tail latency that a poll reports, in whole milliseconds.
    fn tail_ms(&self, now_ms: u64, used_capacity: f64) -> u64 {
        let cycles = now_ms as f64 / LOAD_SWING_MS as f64 + self.phase;
        let load = OWN_LOAD + LOAD_SWING * (cycles * TAU).sin();
        (IDLE_TAIL_MS / (1.0 - load - used_capacity).max(0.02)).round() as u64
    }
}

fn cores(now_ms: u64) -> f64 {
    match now_ms >= START_MS {
        true => CORES,
        false => 0.0,
    }
}

/// Guards against load variation that is attributed to a best-effort task. If tail latencies are
/// compared with their mean over all time, an image that is first tried while the load of a
/// latency-critical task rises counts as interfering and is never tried again: hundreds of its
/// tasks waited for minutes while half of the processors were free. The load of such a task moves
/// its tail latency by more than a best-effort task does.
#[gtest]
fn own_load_is_not_attributed_to_best_effort_tasks() {
    for case in CASES {
        let mut interference = InterferenceModel::default();
        let mut serving_task = ServingTask {
            phase: case.first_phase,
            baseline: Baseline::default(),
        };
        let mut bystander = ServingTask {
            phase: case.first_phase + 0.4,
            baseline: Baseline::default(),
        };
        for now_ms in (0..START_MS + RUN_MS).step_by(POLL_MS as usize) {
            let used = cores(now_ms);
            let uses: &[ImageUsage] = &[(BEST_EFFORT, used)];
            let tail_ms = serving_task.tail_ms(now_ms, case.capacity_per_core * used);
            let usage = if used > 0.0 { uses } else { &[] };
            interference.learn(
                LATENCY_CRITICAL,
                &mut serving_task.baseline,
                headroom(TARGET_MS, tail_ms),
                usage,
            );
            let tail_ms = bystander.tail_ms(now_ms, 0.0);
            let other = [(OTHER_BEST_EFFORT, 1.0)];
            interference.learn(
                LATENCY_CRITICAL,
                &mut bystander.baseline,
                headroom(TARGET_MS, tail_ms),
                &other,
            );
        }
        let learned = interference.coefficient(LATENCY_CRITICAL, BEST_EFFORT);
        expect_that!(learned, ge(case.expected[0]), "{}", case.name);
        expect_that!(learned, le(case.expected[1]), "{}", case.name);
    }
}

/// Tail latency of a latency-critical task beside a task that used so many cores on average.
fn tail_ms_beside(cores: f64) -> u64 {
    let alone = 1.0 - OWN_LOAD;
    (IDLE_TAIL_MS / (alone - CAPACITY_PER_CORE * cores)).round() as u64
}

/// Part of the latency-critical task's capacity that each core takes, and the headroom that it
/// costs.
const CAPACITY_PER_CORE: f64 = 0.06;
const TRUE_COEFFICIENT: f64 = CAPACITY_PER_CORE * TARGET_MS as f64 / IDLE_TAIL_MS;

/// Guards against coefficients that are learned at half of their value. Short tasks exit between
/// polls, and the next figures still include their effect. If their usage is ignored,
/// latency-critical tasks exceed their target in turn although each task beside them was admitted
/// by what was learned.
#[gtest]
fn usage_of_tasks_that_exited_within_a_window_counts() {
    let mut interference = InterferenceModel::default();
    let mut baseline = Baseline::default();
    let mut window = UsageWindow::default();
    for round in 0..120 {
        // Windows without a task, with a task for the whole window, and with one that exits half
        // way through.
        let (running, exited) = [(0.0, 0.0), (CORES, 0.0), (0.0, CORES)][round % 3];
        let mut uses: Vec<ImageUsage> = Vec::new();
        if running > 0.0 {
            uses.push((BEST_EFFORT, running));
        }
        if exited > 0.0 {
            window.record_exit(BEST_EFFORT, exited);
        }
        window.close(&mut uses);
        let tail_ms = tail_ms_beside(running + exited / 2.0);
        interference.learn(
            LATENCY_CRITICAL,
            &mut baseline,
            headroom(TARGET_MS, tail_ms),
            &uses,
        );
    }
    let learned = interference.coefficient(LATENCY_CRITICAL, BEST_EFFORT);
    expect_that!(learned, ge(TRUE_COEFFICIENT * 0.85));
    expect_that!(learned, le(TRUE_COEFFICIENT * 1.15));
}
