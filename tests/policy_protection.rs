//! Tests how much best-effort work the latency-critical tasks on a worker bear.

use goldcrestway_dispatch::policy::protection::BestEffortTask;
use goldcrestway_dispatch::policy::protection::Limits;
use goldcrestway_dispatch::policy::protection::OverTargetCause;
use goldcrestway_dispatch::policy::protection::Processors;
use goldcrestway_dispatch::policy::protection::bears_loss;
use goldcrestway_dispatch::policy::protection::choose_shares;
use goldcrestway_dispatch::policy::protection::is_at_peak;
use goldcrestway_dispatch::policy::protection::over_target_cause;
use goldcrestway_dispatch::policy::protection::used_milli;
use googletest::prelude::*;

/// Average headroom of the latency-critical image.
const AVERAGE_HEADROOM: f64 = 2.4;

/// A latency-critical task that reserves 10 cores, and what it is taken to use.
struct UseCase {
    name: &'static str,
    solo_headroom: f64,
    used_milli: u64,
}

const USE_CASES: &[UseCase] = &[
    UseCase {
        name: "its load is average",
        solo_headroom: AVERAGE_HEADROOM,
        used_milli: 5_000,
    },
    UseCase {
        name: "its load is low",
        solo_headroom: 3.6,
        used_milli: 2_500,
    },
    UseCase {
        name: "its load is at its peak",
        solo_headroom: 1.44,
        used_milli: 7_000,
    },
    // Otherwise a lack of processors is taken for load, and best-effort tasks stay suspended.
    UseCase {
        name: "its tail latency shows a lack of processors",
        solo_headroom: 0.2,
        used_milli: 7_500,
    },
    UseCase {
        name: "it has no load at all",
        solo_headroom: 40.0,
        used_milli: 0,
    },
];

/// Load: latency-critical tasks whose load swings.
#[gtest]
fn what_a_task_uses_follows_from_its_headroom() {
    for case in USE_CASES {
        expect_that!(
            used_milli(10_000, case.solo_headroom, AVERAGE_HEADROOM),
            eq(case.used_milli),
            "{}",
            case.name
        );
    }
}

/// A latency-critical task by its headroom now, and the demand for processors that it bears.
struct LimitsCase {
    name: &'static str,
    headroom: f64,
    limits: Limits,
}

const LIMITS_CASES: &[LimitsCase] = &[
    LimitsCase {
        name: "at low load it bears more than the worker has",
        headroom: 3.0,
        limits: Limits {
            placing_percent: 125,
            raise_percent: 125,
            throttle_percent: 125,
        },
    },
    LimitsCase {
        name: "at average load it bears a little more than the worker has",
        headroom: AVERAGE_HEADROOM,
        limits: Limits {
            placing_percent: 125,
            raise_percent: 125,
            throttle_percent: 125,
        },
    },
    LimitsCase {
        name: "at its peak it bears what the worker has",
        headroom: 1.5,
        limits: Limits {
            placing_percent: 100,
            raise_percent: 106,
            throttle_percent: 110,
        },
    },
    LimitsCase {
        name: "close to its target it bears less",
        headroom: 1.1,
        limits: Limits {
            placing_percent: 89,
            raise_percent: 94,
            throttle_percent: 98,
        },
    },
    LimitsCase {
        name: "over its target it bears the smallest demand",
        headroom: 0.5,
        limits: Limits {
            placing_percent: 85,
            raise_percent: 85,
            throttle_percent: 85,
        },
    },
];

/// Load: processors of a worker in demand for more than they can do.
#[gtest]
fn the_demand_that_a_task_bears_follows_from_its_headroom() {
    for case in LIMITS_CASES {
        let limits = Limits::new(case.headroom, AVERAGE_HEADROOM);
        expect_that!(limits, eq(case.limits), "{}", case.name);
    }
}

/// Load: a task close to its target, whose next poll decides whether others are throttled in time.
#[gtest]
fn a_task_close_to_its_target_is_polled_sooner() {
    expect_that!(Limits::new(1.5, AVERAGE_HEADROOM).are_tight(), eq(false));
    expect_that!(Limits::new(1.2, AVERAGE_HEADROOM).are_tight(), eq(true));
}

/// A latency-critical task by its headroom without best-effort tasks, and what these take from it.
struct PeakCase {
    name: &'static str,
    solo_headroom: f64,
    headroom_loss: f64,
    is_at_peak: bool,
    bears_loss: bool,
}

const PEAK_CASES: &[PeakCase] = &[
    PeakCase {
        name: "average load",
        solo_headroom: AVERAGE_HEADROOM,
        headroom_loss: 0.4,
        is_at_peak: false,
        bears_loss: true,
    },
    PeakCase {
        name: "peak, beside tasks that hardly interfere",
        solo_headroom: 1.5,
        headroom_loss: 0.1,
        is_at_peak: true,
        bears_loss: true,
    },
    // Load: many tasks that interfere a little each, at the peak of a latency-critical task.
    PeakCase {
        name: "peak, beside tasks that interfere together",
        solo_headroom: 1.5,
        headroom_loss: 0.35,
        is_at_peak: true,
        bears_loss: false,
    },
];

#[gtest]
fn less_interference_is_borne_at_the_peak_of_load() {
    for case in PEAK_CASES {
        let at_peak = is_at_peak(case.solo_headroom);
        expect_that!(at_peak, eq(case.is_at_peak), "{}", case.name);
        let bears = bears_loss(case.solo_headroom, case.headroom_loss);
        expect_that!(bears, eq(case.bears_loss), "{}", case.name);
    }
}

/// A latency-critical task by its headroom, and why it is over its target.
struct CauseCase {
    name: &'static str,
    headroom: f64,
    headroom_loss: f64,
    demand_percent: u64,
    cause: Option<OverTargetCause>,
}

const CAUSE_CASES: &[CauseCase] = &[
    CauseCase {
        name: "it meets its target",
        headroom: 1.0,
        headroom_loss: 0.4,
        demand_percent: 120,
        cause: None,
    },
    CauseCase {
        name: "the processors are short",
        headroom: 0.8,
        headroom_loss: 0.4,
        demand_percent: 100,
        cause: Some(OverTargetCause::Processors),
    },
    CauseCase {
        name: "best-effort tasks interfere",
        headroom: 0.8,
        headroom_loss: 0.4,
        demand_percent: 80,
        cause: Some(OverTargetCause::Interference),
    },
    CauseCase {
        name: "nothing that is known",
        headroom: 0.3,
        headroom_loss: 0.4,
        demand_percent: 80,
        cause: Some(OverTargetCause::Other),
    },
];

#[gtest]
fn the_cause_of_time_over_target_is_told() {
    for case in CAUSE_CASES {
        let cause = over_target_cause(case.headroom, case.headroom_loss, case.demand_percent);
        expect_that!(cause, eq(case.cause), "{}", case.name);
    }
}

/// Guards against limits that spare one latency-critical task of a worker and let another miss its
/// target.
#[gtest]
fn a_worker_bears_what_each_of_its_tasks_bears() {
    let low_load = Limits::new(3.0, AVERAGE_HEADROOM);
    let peak = Limits::new(1.5, AVERAGE_HEADROOM);
    expect_that!(low_load.min(peak), eq(peak));
    expect_that!(peak.min(low_load), eq(peak));
}

/// A best-effort task that uses four cores.
const TASK: BestEffortTask = BestEffortTask {
    cpu_milli: 4_000,
    share_percent: 100,
    progress_percent: 50,
    headroom_loss: 0.02,
};

/// What the latency-critical tasks of a worker with 32 cores use, best-effort tasks beside them,
/// and their new shares.
struct SharesCase {
    name: &'static str,
    long_running_milli: u64,
    reserved_milli: u64,
    tasks: &'static [BestEffortTask],
    shares: &'static [u32],
}

const SHARES_CASES: &[SharesCase] = &[
    SharesCase {
        name: "the processors suffice",
        long_running_milli: 16_000,
        reserved_milli: 0,
        tasks: &[TASK; 4],
        shares: &[100; 4],
    },
    // Load: the peaks of several latency-critical tasks meet.
    SharesCase {
        name: "as few tasks as possible are throttled, and only as far as needed",
        long_running_milli: 22_000,
        reserved_milli: 0,
        tasks: &[TASK; 4],
        shares: &[30, 100, 100, 100],
    },
    SharesCase {
        name: "a share that is of no use becomes a suspension",
        long_running_milli: 23_000,
        reserved_milli: 0,
        tasks: &[TASK; 4],
        shares: &[0, 100, 100, 100],
    },
    // Load: a burst of urgent tasks.
    SharesCase {
        name: "tasks that reserve their processors go first",
        long_running_milli: 16_000,
        reserved_milli: 6_000,
        tasks: &[TASK; 4],
        shares: &[30, 100, 100, 100],
    },
    SharesCase {
        name: "the task that takes most headroom is throttled first",
        long_running_milli: 22_000,
        reserved_milli: 0,
        tasks: &[
            TASK,
            BestEffortTask {
                headroom_loss: 0.3,
                ..TASK
            },
            TASK,
            TASK,
        ],
        shares: &[100, 30, 100, 100],
    },
    SharesCase {
        name: "of equal ones, the one that has done least",
        long_running_milli: 22_000,
        reserved_milli: 0,
        tasks: &[
            TASK,
            TASK,
            TASK,
            BestEffortTask {
                progress_percent: 10,
                ..TASK
            },
        ],
        shares: &[100, 100, 100, 30],
    },
    SharesCase {
        name: "a suspended task resumes as far as the processors suffice",
        long_running_milli: 18_000,
        reserved_milli: 0,
        tasks: &[
            BestEffortTask {
                share_percent: 0,
                ..TASK
            },
            TASK,
            TASK,
            TASK,
        ],
        shares: &[50, 100, 100, 100],
    },
    // 95% of 333 milli are 316, which are 94.9%.
    SharesCase {
        name: "no share falls by rounding while another one is raised",
        long_running_milli: 27_684,
        reserved_milli: 0,
        tasks: &[
            BestEffortTask {
                cpu_milli: 333,
                share_percent: 95,
                headroom_loss: 0.3,
                ..TASK
            },
            BestEffortTask {
                share_percent: 50,
                ..TASK
            },
        ],
        shares: &[95, 100],
    },
    // Otherwise shares alternate with each poll at a demand close to the limit.
    SharesCase {
        name: "no share is raised between the two limits",
        long_running_milli: 20_500,
        reserved_milli: 0,
        tasks: &[
            BestEffortTask {
                share_percent: 0,
                ..TASK
            },
            TASK,
            TASK,
            TASK,
        ],
        shares: &[0, 100, 100, 100],
    },
];

#[gtest]
fn best_effort_tasks_get_what_others_leave() {
    for case in SHARES_CASES {
        let processors = Processors {
            capacity_milli: 32_000,
            reserved_milli: case.reserved_milli,
            long_running_milli: case.long_running_milli,
            limits: Limits {
                placing_percent: 96,
                raise_percent: 100,
                throttle_percent: 110,
            },
        };
        let mut tasks = case.tasks.to_vec();
        choose_shares(&processors, &mut tasks);
        let shares: Vec<u32> = tasks.iter().map(|task| task.share_percent).collect();
        expect_that!(shares, eq(&case.shares.to_vec()), "{}", case.name);
    }
}

/// Guards against more best-effort tasks than latency-critical ones bear, where each placement
/// counts on their average load.
#[gtest]
fn new_best_effort_tasks_get_less_at_the_peak_of_load() {
    let unused_milli = |headroom: f64| {
        let processors = Processors {
            capacity_milli: 32_000,
            reserved_milli: 2_000,
            long_running_milli: used_milli(24_000, headroom, AVERAGE_HEADROOM),
            limits: Limits::new(headroom, AVERAGE_HEADROOM),
        };
        processors.unused_milli(10_000)
    };
    expect_that!(unused_milli(3.6), gt(16_000));
    expect_that!(unused_milli(1.5), lt(5_000));
    expect_that!(unused_milli(1.1), lt(0));
}
