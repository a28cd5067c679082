//! Learning which best-effort tasks slow down which services, from rough tails and under
//! loads that swing.

use goldcrestway_dispatch::policy::images::ImageKey;
use goldcrestway_dispatch::policy::interference::Baseline;
use goldcrestway_dispatch::policy::interference::ImageUsage;
use goldcrestway_dispatch::policy::interference::InterferenceModel;
use goldcrestway_dispatch::policy::interference::UsageWindow;
use goldcrestway_dispatch::policy::interference::headroom;
use googletest::prelude::*;
use std::f64::consts::TAU;

const SERVICE: ImageKey = ImageKey(1);
const FILLER: ImageKey = ImageKey(2);
const OTHER: ImageKey = ImageKey(3);
const TARGET_MS: u64 = 18;
/// Tail of a service that has nothing to do.
const IDLE_TAIL_MS: f64 = 4.0;
/// Share of its capacity that a service uses by itself: on average, by how much that swings,
/// and within what time, as measured on long-running services.
const LOAD: f64 = 0.42;
const SWING: f64 = 0.21;
const SWING_MS: u64 = 10_000;
/// Cores of one best-effort task, and how long it runs.
const CORES: f64 = 3.5;
const RUN_MS: u64 = 1_700;
const LOOK_MS: u64 = 500;
/// When the only task of the pair begins.
const BEGUN_MS: u64 = 1_500;

/// A load under which a pair of images is met.
struct Case {
    name: &'static str,
    /// Part of the swing at which the first task of the pair comes.
    first_phase: f64,
    /// Part of the service's capacity that each core of it takes.
    taken_a_core: f64,
    /// How much of the ease a core is to be told to take.
    told: [f64; 2],
}

const CASES: &[Case] = &[
    Case {
        name: "harmless, first met while the service's own load rises",
        first_phase: 0.0,
        taken_a_core: 0.0,
        told: [0.0, 0.15],
    },
    Case {
        name: "harmless, first met at the peak",
        first_phase: 0.25,
        taken_a_core: 0.0,
        told: [0.0, 0.15],
    },
    Case {
        name: "heavy, first met while the service's own load falls",
        first_phase: 0.5,
        taken_a_core: 0.09,
        told: [0.18, 0.6],
    },
];

/// One service on a worker of its own, and a swing of its own.
struct Service {
    phase: f64,
    baseline: Baseline,
}

impl Service {
    /// Gives the tail that a look tells, in whole milliseconds.
    fn tail_ms(&self, now_ms: u64, taken: f64) -> u64 {
        let turn = now_ms as f64 / SWING_MS as f64 + self.phase;
        let load = LOAD + SWING * (turn * TAU).sin();
        (IDLE_TAIL_MS / (1.0 - load - taken).max(0.02)).round() as u64
    }
}

fn cores(now_ms: u64) -> f64 {
    match now_ms >= BEGUN_MS {
        true => CORES,
        false => 0.0,
    }
}

/// Symptom: hundreds of best-effort tasks of one image wait for minutes while workers have
/// half of their processors free. Sequence: the image is first tried beside a service whose
/// own load just rises; the tail grows; the pair is taken for a bad one and is never tried
/// again. Cause: tails were compared with their mean over all time, and a service's own load
/// moves them by more than a task beside it does.
#[gtest]
fn a_service_s_own_load_is_not_taken_for_interference() {
    for case in CASES {
        let mut interference = InterferenceModel::default();
        let mut service = Service {
            phase: case.first_phase,
            baseline: Baseline::default(),
        };
        let mut bystander = Service {
            phase: case.first_phase + 0.4,
            baseline: Baseline::default(),
        };
        for now_ms in (0..BEGUN_MS + RUN_MS).step_by(LOOK_MS as usize) {
            let used = cores(now_ms);
            let uses: &[ImageUsage] = &[(FILLER, used)];
            let tail_ms = service.tail_ms(now_ms, case.taken_a_core * used);
            let is_beside = if used > 0.0 { uses } else { &[] };
            interference.learn(
                SERVICE,
                &mut service.baseline,
                headroom(TARGET_MS, tail_ms),
                is_beside,
            );
            let tail_ms = bystander.tail_ms(now_ms, 0.0);
            let other = [(OTHER, 1.0)];
            interference.learn(
                SERVICE,
                &mut bystander.baseline,
                headroom(TARGET_MS, tail_ms),
                &other,
            );
        }
        let told = interference.coefficient(SERVICE, FILLER);
        expect_that!(told, ge(case.told[0]), "{}", case.name);
        expect_that!(told, le(case.told[1]), "{}", case.name);
    }
}

/// Tail of a service beside which a task used so many cores on average.
fn tail_beside(cores: f64) -> u64 {
    let alone = 1.0 - LOAD;
    (IDLE_TAIL_MS / (alone - TAKEN_A_CORE * cores)).round() as u64
}

/// Part of the service's capacity that each core takes, and how much of its ease that is.
const TAKEN_A_CORE: f64 = 0.06;
const TRUE_PRESS: f64 = TAKEN_A_CORE * TARGET_MS as f64 / IDLE_TAIL_MS;

/// Symptom: services are over their target by turns, though each task beside them was let in
/// by what was learned. Sequence: short tasks come and go; a look comes as one ends, and its
/// figures still tell of it. Cause: what such a task took was put down to nothing, so pairs
/// were learned at half of what they are.
#[gtest]
fn tasks_that_ended_within_a_window_count() {
    let mut interference = InterferenceModel::default();
    let mut baseline = Baseline::default();
    let mut window = UsageWindow::default();
    for round in 0..120 {
        // Windows without a task, with a whole one, and with one that ends half way.
        let (listed, ended) = [(0.0, 0.0), (CORES, 0.0), (0.0, CORES)][round % 3];
        let mut uses: Vec<ImageUsage> = Vec::new();
        if listed > 0.0 {
            uses.push((FILLER, listed));
        }
        if ended > 0.0 {
            window.record_exit(FILLER, ended);
        }
        window.close(&mut uses);
        let tail_ms = tail_beside(listed + ended / 2.0);
        interference.learn(SERVICE, &mut baseline, headroom(TARGET_MS, tail_ms), &uses);
    }
    let told = interference.coefficient(SERVICE, FILLER);
    expect_that!(told, ge(TRUE_PRESS * 0.85));
    expect_that!(told, le(TRUE_PRESS * 1.15));
}
