//! What crashes of workers say of a task that was there, and when it is to blame.

use goldcrestway_dispatch::policy::suspicion::Crash;
use goldcrestway_dispatch::policy::suspicion::Suspicion;
use googletest::prelude::*;

/// A crash under a task that may be the cause, and nothing else.
const SOLE_SUSPECT: Crash<'_> = Crash {
    run: 1,
    address: "10.0.0.1:80",
    is_suspect: true,
    is_confirmed: true,
    is_sole_suspect: true,
    is_excused: false,
    is_long_running: false,
};

/// The same beside others that may be the cause.
const ONE_OF_SUSPECTS: Crash<'_> = Crash {
    is_sole_suspect: false,
    ..SOLE_SUSPECT
};

/// The same under a run of which the worker never said that it is there.
const UNCONFIRMED: Crash<'_> = Crash {
    is_confirmed: false,
    ..SOLE_SUSPECT
};

/// The same when other workers crashed, too.
const EXCUSED: Crash<'_> = Crash {
    is_excused: true,
    ..SOLE_SUSPECT
};

/// The same under a run that had been at work for a while.
const STABLE: Crash<'_> = Crash {
    is_suspect: false,
    is_sole_suspect: false,
    ..SOLE_SUSPECT
};

/// Crashes in a row, each of another host and a later run unless said otherwise.
struct Case {
    name: &'static str,
    crashes: &'static [Crash<'static>],
    is_same_host: bool,
    is_same_run: bool,
    /// A run is stable before the last crash.
    is_cleared: bool,
    is_long_running: bool,
    /// Crash at which the task is to blame; 0 for none of them.
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
        name: "alone twice",
        blamed_at: 2,
        ..CASE
    },
    Case {
        name: "beside others, then alone",
        crashes: &[ONE_OF_SUSPECTS, SOLE_SUSPECT],
        blamed_at: 2,
        ..CASE
    },
    Case {
        name: "beside others twice",
        crashes: &[ONE_OF_SUSPECTS, ONE_OF_SUSPECTS],
        ..CASE
    },
    Case {
        name: "alone, and there for certain only the last time",
        crashes: &[UNCONFIRMED, SOLE_SUSPECT],
        ..CASE
    },
    Case {
        name: "never there for certain, three times",
        crashes: &[UNCONFIRMED, UNCONFIRMED, UNCONFIRMED],
        ..CASE
    },
    Case {
        name: "never there for certain, too often for luck",
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
        name: "with other workers, too often for luck",
        crashes: &[EXCUSED, EXCUSED, EXCUSED, EXCUSED, EXCUSED],
        blamed_at: 5,
        ..CASE
    },
    Case {
        name: "with a failure domain, then alone",
        crashes: &[EXCUSED, SOLE_SUSPECT],
        ..CASE
    },
    Case {
        name: "beside others three times",
        crashes: &[ONE_OF_SUSPECTS, ONE_OF_SUSPECTS, ONE_OF_SUSPECTS],
        ..CASE
    },
    Case {
        name: "beside others, too often for luck",
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
        name: "a task that lasts, beside others, too often for luck",
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
        name: "three times on one host",
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
        name: "a stable run in between",
        is_cleared: true,
        ..CASE
    },
    Case {
        name: "under stable runs, which luck explains four times",
        crashes: &[STABLE, STABLE, STABLE, STABLE],
        ..CASE
    },
    Case {
        name: "under stable runs, too often for luck",
        crashes: &[STABLE, STABLE, STABLE, STABLE, STABLE],
        blamed_at: 5,
        ..CASE
    },
    Case {
        name: "under a task that lasts, often",
        crashes: &[
            STABLE, STABLE, STABLE, STABLE, STABLE, STABLE, STABLE, STABLE,
        ],
        is_long_running: true,
        ..CASE
    },
    Case {
        name: "a task that lasts and crashes whoever starts it",
        is_long_running: true,
        blamed_at: 2,
        ..CASE
    },
];

/// Symptom: a task that crashes its workers is started once too often. Sequence: what became of a
/// worker is known only after the next one has crashed under the task. Cause: only crashes under
/// newer runs than the newest counted one were taken for new.
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

/// Symptom: a task is started again and again as its crashes can't be told from bad luck. After the
/// third one that it may have caused it has two starts left, whether they come to something or not.
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
    // A start that the worker refused was none.
    suspicion.record_start(0);
    suspicion.undo_start();
    expect_that!(suspicion.is_exhausted(), eq(false));
    suspicion.record_start(0);
    expect_that!(suspicion.is_exhausted(), eq(true));
    stable.clear(false);
    stable.record_start(0);
    expect_that!(stable.is_exhausted(), eq(false));
}

/// Symptom: a task goes on crashing workers, or is given up for what it did not do.
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

/// Symptom: a task is started again and again while its workers are away for longer than their
/// leases, as no crash is known yet. Losses count towards its last starts; then it waits for what
/// became of the workers, and is given up only for crashes that are known.
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
