//! Tests what crashes of workers prove against a task that ran there, and when the task is blamed.

use goldcrestway_dispatch::policy::suspicion::Crash;
use goldcrestway_dispatch::policy::suspicion::Suspicion;
use googletest::prelude::*;

/// A crash during a confirmed run of which only this task may be the cause.
const SOLE_SUSPECT: Crash<'_> = Crash {
    run: 1,
    address: "10.0.0.1:80",
    is_suspect: true,
    is_confirmed: true,
    is_sole_suspect: true,
    is_excused: false,
    is_long_running: false,
};

/// The same beside other tasks that may be the cause.
const ONE_OF_SUSPECTS: Crash<'_> = Crash {
    is_sole_suspect: false,
    ..SOLE_SUSPECT
};

/// The same during a run that the worker never confirmed.
const UNCONFIRMED: Crash<'_> = Crash {
    is_confirmed: false,
    ..SOLE_SUSPECT
};

/// The same beside other tasks that may be the cause.
const UNANSWERED: Crash<'_> = Crash {
    is_sole_suspect: false,
    ..UNCONFIRMED
};

/// The same while other workers crash as well.
const EXCUSED: Crash<'_> = Crash {
    is_excused: true,
    ..SOLE_SUSPECT
};

/// The same during a run that had worked for a while.
const STABLE: Crash<'_> = Crash {
    is_suspect: false,
    is_sole_suspect: false,
    ..SOLE_SUSPECT
};

/// Consecutive crashes, each of another host and during a later run unless stated otherwise.
struct Case {
    name: &'static str,
    crashes: &'static [Crash<'static>],
    is_same_host: bool,
    is_same_run: bool,
    /// Whether a run becomes stable before the last crash.
    is_cleared: bool,
    is_long_running: bool,
    /// Number of the crash at which the task is blamed; 0 for none.
    blamed_at: usize,
}

const CASE: Case = Case {
    name: "",
    crashes: &[SOLE_SUSPECT, SOLE_SUSPECT],
    is_same_host: false,
    is_same_run: false,
    is_cleared: false,
    is_long_running: false,
    blamed_at: 0,
};

const CASES: &[Case] = &[
    Case {
        name: "one crash",
        crashes: &[SOLE_SUSPECT],
        ..CASE
    },
    Case {
        name: "as the only suspect twice",
        blamed_at: 2,
        ..CASE
    },
    // A guilty neighbour and one more crash without a cause look the same.
    Case {
        name: "beside other suspects, then as the only one",
        crashes: &[ONE_OF_SUSPECTS, SOLE_SUSPECT],
        ..CASE
    },
    Case {
        name: "beside other suspects, then twice as the only one",
        crashes: &[ONE_OF_SUSPECTS, SOLE_SUSPECT, SOLE_SUSPECT],
        blamed_at: 3,
        ..CASE
    },
    Case {
        name: "the same on one host",
        crashes: &[ONE_OF_SUSPECTS, SOLE_SUSPECT, SOLE_SUSPECT],
        is_same_host: true,
        blamed_at: 3,
        ..CASE
    },
    Case {
        name: "unanswered orders beside other suspects, any number of times",
        crashes: &[
            UNANSWERED, UNANSWERED, UNANSWERED, UNANSWERED, UNANSWERED, UNANSWERED,
        ],
        ..CASE
    },
    Case {
        name: "beside other suspects twice",
        crashes: &[ONE_OF_SUSPECTS, ONE_OF_SUSPECTS],
        ..CASE
    },
    Case {
        name: "as the only suspect, and confirmed only the last time",
        crashes: &[UNCONFIRMED, SOLE_SUSPECT],
        ..CASE
    },
    Case {
        name: "never confirmed, three times",
        crashes: &[UNCONFIRMED, UNCONFIRMED, UNCONFIRMED],
        ..CASE
    },
    Case {
        name: "never confirmed, too often for chance",
        crashes: &[
            UNCONFIRMED,
            UNCONFIRMED,
            UNCONFIRMED,
            UNCONFIRMED,
            UNCONFIRMED,
        ],
        blamed_at: 5,
        ..CASE
    },
    Case {
        name: "with a failure domain four times",
        crashes: &[EXCUSED, EXCUSED, EXCUSED, EXCUSED],
        ..CASE
    },
    Case {
        name: "with other workers, too often for chance",
        crashes: &[EXCUSED, EXCUSED, EXCUSED, EXCUSED, EXCUSED],
        blamed_at: 5,
        ..CASE
    },
    Case {
        name: "with a failure domain, then as the only suspect",
        crashes: &[EXCUSED, SOLE_SUSPECT],
        ..CASE
    },
    Case {
        name: "beside other suspects three times",
        crashes: &[ONE_OF_SUSPECTS, ONE_OF_SUSPECTS, ONE_OF_SUSPECTS],
        ..CASE
    },
    Case {
        name: "beside other suspects, too often for chance",
        crashes: &[
            ONE_OF_SUSPECTS,
            ONE_OF_SUSPECTS,
            ONE_OF_SUSPECTS,
            ONE_OF_SUSPECTS,
            ONE_OF_SUSPECTS,
        ],
        blamed_at: 5,
        ..CASE
    },
    Case {
        name: "a long-running task, beside other suspects, too often for chance",
        crashes: &[
            ONE_OF_SUSPECTS,
            ONE_OF_SUSPECTS,
            ONE_OF_SUSPECTS,
            ONE_OF_SUSPECTS,
            ONE_OF_SUSPECTS,
        ],
        is_long_running: true,
        blamed_at: 5,
        ..CASE
    },
    Case {
        name: "twice on a host that may crash by itself",
        is_same_host: true,
        ..CASE
    },
    Case {
        name: "three times on the same host",
        crashes: &[SOLE_SUSPECT, SOLE_SUSPECT, SOLE_SUSPECT],
        is_same_host: true,
        blamed_at: 3,
        ..CASE
    },
    Case {
        name: "several members of a gang in one run",
        crashes: &[SOLE_SUSPECT, SOLE_SUSPECT, SOLE_SUSPECT, SOLE_SUSPECT],
        is_same_run: true,
        ..CASE
    },
    Case {
        name: "a stable run between two crashes",
        is_cleared: true,
        ..CASE
    },
    Case {
        name: "during stable runs, which chance explains four times",
        crashes: &[STABLE, STABLE, STABLE, STABLE],
        ..CASE
    },
    Case {
        name: "during stable runs, too often for chance",
        crashes: &[STABLE, STABLE, STABLE, STABLE, STABLE],
        blamed_at: 5,
        ..CASE
    },
    Case {
        name: "during stable runs of a long-running task, often",
        crashes: &[
            STABLE, STABLE, STABLE, STABLE, STABLE, STABLE, STABLE, STABLE,
        ],
        is_long_running: true,
        ..CASE
    },
    Case {
        name: "a long-running task that crashes each worker that starts it",
        is_long_running: true,
        blamed_at: 2,
        ..CASE
    },
];

/// Guards against one start too many of a task that crashes its workers. The crash of a worker may
/// become known only after the next worker has crashed; it must count although it belongs to an
/// older run than the newest counted one.
#[gtest]
fn crash_that_is_known_late_is_counted() {
    let mut suspicion = Suspicion::default();
    expect_that!(
        suspicion.record_crash(&Crash {
            run: 2,
            ..SOLE_SUSPECT
        }),
        eq(false)
    );
    let late = Crash {
        run: 1,
        address: "10.0.0.2:80",
        ..SOLE_SUSPECT
    };
    expect_that!(suspicion.record_crash(&late), eq(true));
    expect_that!(
        suspicion.record_crash(&Crash {
            run: 2,
            ..SOLE_SUSPECT
        }),
        eq(false)
    );
    expect_that!(suspicion.crashes, eq(2));
}

/// Guards against endless restarts of a task whose crashes cannot be told from bad luck. After the
/// third crash that it may have caused it has two starts left, whatever their result.
#[gtest]
fn task_has_two_starts_left_after_three_possible_crashes() {
    let mut suspicion = Suspicion::default();
    for number in 1..=3 {
        suspicion.record_start(0);
        let crash = Crash {
            run: number,
            ..ONE_OF_SUSPECTS
        };
        expect_that!(suspicion.record_crash(&crash), eq(false), "crash {number}");
    }
    suspicion.record_start(0);
    expect_that!(suspicion.is_exhausted(), eq(false));
    let mut stable = suspicion.clone();
    // A refused start does not count.
    suspicion.record_start(0);
    suspicion.undo_start();
    expect_that!(suspicion.is_exhausted(), eq(false));
    suspicion.record_start(0);
    expect_that!(suspicion.is_exhausted(), eq(true));
    stable.clear(false);
    stable.record_start(0);
    expect_that!(stable.is_exhausted(), eq(false));
}

/// Guards against a task that keeps crashing workers, and against a task that is given up for
/// crashes that it did not cause.
#[gtest]
fn task_is_blamed_when_nothing_else_explains_the_crashes() {
    for case in CASES {
        let mut suspicion = Suspicion::default();
        let mut blamed_at = 0;
        for (number, crash) in case.crashes.iter().enumerate() {
            if case.is_cleared && number + 1 == case.crashes.len() {
                suspicion.clear(case.is_long_running);
            }
            let address = match case.is_same_host {
                true => crash.address.into(),
                false => format!("10.0.1.{number}:80"),
            };
            let crash = Crash {
                run: if case.is_same_run {
                    1
                } else {
                    number as u32 + 1
                },
                address: &address,
                is_long_running: case.is_long_running,
                ..*crash
            };
            suspicion.record_start(0);
            if suspicion.record_crash(&crash) && blamed_at == 0 {
                blamed_at = number + 1;
            }
        }
        expect_that!(blamed_at, eq(case.blamed_at), "{}", case.name);
    }
}

/// Guards against endless restarts of a task while its workers are away for longer than their
/// leases, as no crash is known then. Lost runs count towards its last starts. After these it waits
/// for the outcome of its workers, and it is given up only for known crashes.
#[gtest]
fn unresolved_crashes_count_towards_the_last_starts() {
    let mut suspicion = Suspicion::default();
    for unresolved_crashes in 0..4 {
        expect_that!(
            suspicion.must_await_resolution(unresolved_crashes),
            eq(false),
            "{unresolved_crashes} lost"
        );
        suspicion.record_start(unresolved_crashes);
    }
    suspicion.record_start(4);
    expect_that!(suspicion.must_await_resolution(5), eq(true));
    expect_that!(suspicion.is_exhausted(), eq(false));
    expect_that!(
        suspicion.must_await_resolution(2),
        eq(false),
        "the others were cut off"
    );
    for run in 1..=2 {
        expect_that!(
            suspicion.record_crash(&Crash {
                run,
                ..ONE_OF_SUSPECTS
            }),
            eq(false)
        );
    }
    expect_that!(
        suspicion.record_crash(&Crash {
            run: 3,
            ..ONE_OF_SUSPECTS
        }),
        eq(true)
    );
}

/// Guards against a task that crashes its workers and is tried again for ever as they are released
/// at the same time, or never heard of again, and against the loss of a task for these alone.
#[gtest]
fn departures_and_unknown_losses_count_beside_two_certain_crashes() {
    for (departures, unresolved_crashes) in [(3, 0), (0, 3), (1, 2), (8, 4)] {
        let mut suspicion = Suspicion::default();
        for _ in 0..departures {
            suspicion.record_start(unresolved_crashes);
            suspicion.record_departure();
        }
        for run in 1..=2 {
            expect_that!(suspicion.is_beyond_chance(unresolved_crashes), eq(false));
            suspicion.record_start(unresolved_crashes);
            let crash = Crash {
                run,
                ..ONE_OF_SUSPECTS
            };
            expect_that!(suspicion.record_crash(&crash), eq(false));
        }
        suspicion.starts = suspicion.starts.max(2);
        expect_that!(
            suspicion.is_beyond_chance(unresolved_crashes),
            eq(true),
            "{departures} departures, {unresolved_crashes} of unknown fate"
        );
        suspicion.clear(false);
        expect_that!(suspicion.is_beyond_chance(unresolved_crashes), eq(false));
    }
}
