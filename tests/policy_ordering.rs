//! Which of many waiting jobs gets what is free.

use goldcrestway_dispatch::policy::Policy;
use goldcrestway_dispatch::policy::ordering::Urgency;
use goldcrestway_dispatch::policy::ordering::WaitingJob;
use googletest::prelude::*;

const NOW_MS: u64 = 100_000;

/// A job of best-effort tasks that can still make its objective.
const JOB: WaitingJob = WaitingJob {
    priority: 2,
    is_long_running: false,
    has_started: false,
    due_ms: NOW_MS + 6_000,
    no_value_after_ms: NOW_MS + 22_000,
    remaining_ms: 3_400,
};

/// Two jobs, the first of which is to go first.
struct Case {
    name: &'static str,
    first: WaitingJob,
    second: WaitingJob,
}

const CASES: &[Case] = &[
    Case {
        name: "one that can still make it before one that can't",
        first: JOB,
        second: WaitingJob {
            due_ms: NOW_MS + 3_000,
            ..JOB
        },
    },
    Case {
        name: "one whose last step is short can still make it",
        first: WaitingJob {
            due_ms: NOW_MS + 3_000,
            remaining_ms: 1_700,
            ..JOB
        },
        second: JOB,
    },
    Case {
        name: "one that has begun before one that has not",
        first: WaitingJob {
            has_started: true,
            due_ms: NOW_MS + 7_000,
            ..JOB
        },
        second: JOB,
    },
    Case {
        name: "the first due of equals",
        first: JOB,
        second: WaitingJob {
            due_ms: NOW_MS + 6_001,
            ..JOB
        },
    },
    Case {
        name: "a late one of a more urgent queue before all of this one",
        first: WaitingJob {
            priority: 0,
            due_ms: NOW_MS,
            ..JOB
        },
        second: JOB,
    },
    Case {
        name: "a late one before one that is worth nothing any more",
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
        name: "one that lasts is never late",
        first: WaitingJob {
            is_long_running: true,
            due_ms: 0,
            no_value_after_ms: 0,
            ..JOB
        },
        second: JOB,
    },
];

/// Symptom: under overload nearly every job ends late, though half of them could have ended
/// in time. Sequence: more comes than fits; jobs go by the time at which they are due; each
/// waits until it can only just make it, and the ones behind it wait for it. Cause: a job
/// that could no longer make it went before those that could.
#[gtest]
fn feasible_jobs_go_first() {
    let policy = Policy::default();
    for case in CASES {
        let first = Urgency::new(&case.first, &policy, NOW_MS);
        let second = Urgency::new(&case.second, &policy, NOW_MS);
        expect_that!(first, lt(second), "{}", case.name);
    }
}

/// The same over a day of overload: one worker, a job of two seconds each second, each of
/// which is to end five seconds after it submitted. By due time alone the first three end in time.
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
