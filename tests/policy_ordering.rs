//! Tests which of many waiting jobs gets free resources.

use goldcrestway_dispatch::policy::Policy;
use goldcrestway_dispatch::policy::fair_shares::NEUTRAL_RANK;
use goldcrestway_dispatch::policy::ordering::Urgency;
use goldcrestway_dispatch::policy::ordering::WaitingJob;
use googletest::prelude::*;

const NOW_MS: u64 = 100_000;

/// A job of best-effort tasks that can still meet its objective.
const JOB: WaitingJob = WaitingJob {
    priority: 2,
    is_long_running: false,
    rank: NEUTRAL_RANK,
    has_started: false,
    due_ms: NOW_MS + 6_000,
    allowed_ms: 8_000,
    no_value_after_ms: NOW_MS + 22_000,
    remaining_ms: 3_400,
};

/// Two jobs, of which `first` must go first.
struct Case {
    name: &'static str,
    first: WaitingJob,
    second: WaitingJob,
}

const CASES: &[Case] = &[
    Case {
        name: "a job that can meet its objective before one that cannot",
        first: JOB,
        second: WaitingJob {
            due_ms: NOW_MS + 3_000,
            ..JOB
        },
    },
    Case {
        name: "a job whose last step is short can still meet its objective",
        first: WaitingJob {
            has_started: true,
            due_ms: NOW_MS + 3_000,
            remaining_ms: 1_700,
            ..JOB
        },
        second: WaitingJob {
            has_started: true,
            ..JOB
        },
    },
    Case {
        name: "a job that has not started needs half of the time left for which it could wait",
        first: JOB,
        second: WaitingJob {
            due_ms: NOW_MS + 5_000,
            ..JOB
        },
    },
    Case {
        name: "a job without that time before one that cannot meet its objective",
        first: WaitingJob {
            due_ms: NOW_MS + 3_400,
            ..JOB
        },
        second: WaitingJob {
            has_started: true,
            due_ms: NOW_MS + 3_399,
            ..JOB
        },
    },
    Case {
        name: "a started job may use up the time for which it could wait",
        first: WaitingJob {
            has_started: true,
            due_ms: NOW_MS + 3_400,
            ..JOB
        },
        second: JOB,
    },
    Case {
        name: "a started job before one that has not started",
        first: WaitingJob {
            has_started: true,
            due_ms: NOW_MS + 7_000,
            ..JOB
        },
        second: JOB,
    },
    Case {
        name: "the earliest objective among equals",
        first: JOB,
        second: WaitingJob {
            due_ms: NOW_MS + 6_001,
            ..JOB
        },
    },
    Case {
        name: "a late job of a queue with a higher priority before all jobs of this one",
        first: WaitingJob {
            priority: 0,
            due_ms: NOW_MS,
            ..JOB
        },
        second: JOB,
    },
    Case {
        name: "a late job before one whose result has no value any more",
        first: WaitingJob {
            due_ms: NOW_MS,
            ..JOB
        },
        second: WaitingJob {
            priority: 0,
            due_ms: 0,
            no_value_after_ms: NOW_MS - 1,
            ..JOB
        },
    },
    Case {
        name: "a late job before one that cannot end before its result has no value",
        first: WaitingJob {
            due_ms: NOW_MS,
            ..JOB
        },
        second: WaitingJob {
            due_ms: NOW_MS - 1,
            no_value_after_ms: NOW_MS + 3_399,
            ..JOB
        },
    },
    Case {
        name: "a late job of a queue that holds less than its part before all jobs of one that holds more",
        first: WaitingJob {
            rank: NEUTRAL_RANK - 1,
            due_ms: NOW_MS,
            ..JOB
        },
        second: WaitingJob {
            rank: NEUTRAL_RANK + 1,
            has_started: true,
            ..JOB
        },
    },
    Case {
        name: "a started job in time before a new one of a queue that holds a little less",
        first: WaitingJob {
            rank: NEUTRAL_RANK,
            has_started: true,
            due_ms: NOW_MS + 7_000,
            ..JOB
        },
        second: WaitingJob {
            rank: NEUTRAL_RANK - 1,
            ..JOB
        },
    },
    Case {
        name: "a queue with a higher priority before all others, whatever it holds",
        first: WaitingJob {
            priority: 0,
            rank: NEUTRAL_RANK + 9,
            ..JOB
        },
        second: WaitingJob { rank: 0, ..JOB },
    },
    Case {
        name: "a long-running job is never late",
        first: WaitingJob {
            is_long_running: true,
            due_ms: 0,
            no_value_after_ms: 0,
            ..JOB
        },
        second: JOB,
    },
];

/// Guards against overload in which nearly every job finishes late, though half of them could
/// finish in time. If jobs go by their objective alone, a job that can no longer meet it goes
/// before those that can, each job waits until it can only just finish in time, and the jobs behind
/// it wait as well.
#[gtest]
fn feasible_jobs_go_first() {
    let policy = Policy::default();
    for case in CASES {
        let first = Urgency::new(&case.first, &policy, NOW_MS);
        let second = Urgency::new(&case.second, &policy, NOW_MS);
        expect_that!(first, lt(second), "{}", case.name);
    }
}

/// The same during continuous overload: one worker gets a job of two seconds each second, and each
/// job must finish five seconds after its submission. By objective alone only the first three
/// finish in time.
#[gtest]
fn half_of_the_jobs_finish_in_time_under_double_load() {
    const WORK_MS: u64 = 2_000;
    const ALLOWED_MS: u64 = 5_000;
    let mut waiting: Vec<WaitingJob> = Vec::new();
    let policy = Policy::default();
    let mut in_time = 0;
    let mut submitted = 0;
    for now_ms in (0_u64..60_000).step_by(WORK_MS as usize) {
        for submitted_ms in [now_ms.saturating_sub(1_000), now_ms] {
            submitted += 1;
            waiting.push(WaitingJob {
                due_ms: submitted_ms + ALLOWED_MS,
                allowed_ms: ALLOWED_MS,
                no_value_after_ms: submitted_ms + 3 * ALLOWED_MS,
                remaining_ms: WORK_MS,
                ..JOB
            });
        }
        waiting.sort_by_key(|job| Urgency::new(job, &policy, now_ms));
        let job = waiting.remove(0);
        in_time += u32::from(now_ms + WORK_MS <= job.due_ms);
    }
    expect_that!(in_time, ge(submitted * 45 / 100));
}

/// Guards against a reserve that is kept, and jobs that are given up, by estimates of callers alone
/// where run times are not learned.
#[gtest]
fn without_learned_run_times_only_what_is_certain_counts() {
    let policy = Policy {
        learns_run_times: false,
        ..Policy::default()
    };
    let tight = WaitingJob {
        due_ms: NOW_MS + 3_400,
        ..JOB
    };
    let may_have_no_value = WaitingJob {
        due_ms: NOW_MS,
        no_value_after_ms: NOW_MS + 3_399,
        ..JOB
    };
    let has_no_value = WaitingJob {
        no_value_after_ms: NOW_MS - 1,
        ..may_have_no_value
    };
    let urgency = |job: &WaitingJob| Urgency::new(job, &policy, NOW_MS);
    expect_that!(urgency(&tight), lt(urgency(&JOB)));
    expect_that!(urgency(&may_have_no_value), lt(urgency(&has_no_value)));
}
