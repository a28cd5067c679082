//! Tests on which workers room is kept for tasks that are too wide for what others leave free.

use goldcrestway_dispatch::Resources;
use goldcrestway_dispatch::policy::kept_room::Candidate;
use goldcrestway_dispatch::policy::kept_room::Need;
use goldcrestway_dispatch::policy::kept_room::choose;
use goldcrestway_dispatch::policy::kept_room::keep_ms;
use goldcrestway_dispatch::policy::kept_room::max_wait_ms;
use goldcrestway_dispatch::policy::kept_room::max_workers;
use googletest::prelude::*;

fn cores(cores: u64) -> Resources {
    Resources {
        cpu_milli: cores * 1_000,
        memory_mb: cores * 100,
        accelerators: 0,
    }
}

/// Returns a worker with free cores and runs: when each ends, and its cores.
fn worker(key: u32, free: u64, runs: &[(u64, u64)]) -> Candidate<u32> {
    Candidate {
        key,
        free: cores(free),
        ends: runs.iter().map(|(ms, held)| (*ms, cores(*held))).collect(),
    }
}

const WIDE: Need = Need {
    task: Resources {
        cpu_milli: 6_000,
        memory_mb: 600,
        accelerators: 0,
    },
    tasks: 1,
    max_per_worker: 0,
    is_gang: false,
};

struct Case {
    name: &'static str,
    need: Need,
    workers: Vec<Candidate<u32>>,
    /// Number of tasks by worker, and when they fit; `None` for no room.
    expected: Option<(&'static [(u32, usize)], u64)>,
}

fn cases() -> Vec<Case> {
    let pair = || {
        vec![
            worker(1, 2, &[(900, 2), (300, 2), (2_000, 2)]),
            worker(2, 0, &[(500, 4), (700, 4)]),
        ]
    };
    vec![
        Case {
            name: "the worker where the task fits soonest, not the one with most free",
            need: WIDE,
            workers: pair(),
            expected: Some((&[(2, 1)], 700)),
        },
        Case {
            name: "no worker is ever free enough",
            need: WIDE,
            workers: vec![worker(1, 2, &[(300, 2)]), worker(2, 0, &[])],
            expected: None,
        },
        Case {
            name: "the task fits after room is no longer kept",
            need: WIDE,
            workers: vec![worker(1, 2, &[(20_001, 6)])],
            expected: None,
        },
        Case {
            name: "some members of a gang fit only after room is no longer kept",
            need: Need {
                tasks: 2,
                is_gang: true,
                ..WIDE
            },
            workers: vec![worker(1, 8, &[]), worker(2, 2, &[(20_001, 6)])],
            expected: None,
        },
        Case {
            name: "all members of a gang, several on one worker",
            need: Need {
                task: cores(2),
                tasks: 5,
                is_gang: true,
                ..WIDE
            },
            workers: pair(),
            expected: Some((&[(1, 2), (2, 3)], 700)),
        },
        Case {
            name: "no room for some members of a gang only",
            need: Need {
                tasks: 3,
                is_gang: true,
                ..WIDE
            },
            workers: pair(),
            expected: None,
        },
        Case {
            name: "no more tasks on a worker than the step allows",
            need: Need {
                task: cores(2),
                tasks: 2,
                max_per_worker: 1,
                is_gang: true,
            },
            workers: pair(),
            expected: Some((&[(1, 1), (2, 1)], 500)),
        },
        Case {
            name: "a tenth of the workers for tasks that don't need each other",
            need: Need { tasks: 9, ..WIDE },
            workers: (0..20)
                .map(|key| worker(key, 0, &[(100 + u64::from(key), 8)]))
                .collect(),
            expected: Some((&[(0, 1), (1, 1)], 101)),
        },
    ]
}

/// Guards against room that is kept where the task never fits, for a part of a gang, or on most of a
/// service.
#[gtest]
fn room_is_kept_where_tasks_fit_soonest() {
    for case in cases() {
        let max_workers = max_workers(case.workers.len());
        let choice = choose(case.need, case.workers, max_workers);
        let found = choice.map(|choice| {
            let workers: Vec<(u32, usize)> = choice.workers.into_iter().collect();
            (workers, choice.fits_in_ms)
        });
        let expected = case.expected.map(|(workers, ms)| (workers.to_vec(), ms));
        expect_that!(found, eq(&expected), "{}", case.name);
    }
}

/// Guards against a wait that is longer than callers allow for their whole job, and against room that
/// is kept without end.
#[gtest]
fn waits_and_kept_room_are_bounded() {
    for allowed_ms in [0, 1_000, 6_000, 40_000, 86_400_000] {
        let wait_ms = max_wait_ms(allowed_ms);
        expect_that!(wait_ms, le(allowed_ms / 4 + 500));
        expect_that!(wait_ms, le(10_000));
    }
    for fits_in_ms in [0, 1_000, 1_000_000] {
        expect_that!(keep_ms(6_000, fits_in_ms), le(20_000));
        expect_that!(keep_ms(6_000, fits_in_ms), ge(1_500));
    }
}
