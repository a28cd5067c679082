//! What crashes of workers say of a task that was there, and when it is to blame.

use goldcrestway_dispatch::policy::suspicion::Crash;
use goldcrestway_dispatch::policy::suspicion::Suspicion;
use googletest::prelude::*;

/// A crash under a task that may be the cause, and nothing else.
const ALONE: Crash<'_> = Crash {
    run: 1,
    address: "10.0.0.1:80",
    is_suspect: true,
    is_confirmed: true,
    is_sole_suspect: true,
    is_excused: false,
    is_long_running: false,
};

/// The same beside others that may be the cause.
const SHARED: Crash<'_> = Crash {
    is_sole_suspect: false,
    ..ALONE
};

/// The same under a run of which the worker never said that it is there.
const UNCONFIRMED: Crash<'_> = Crash {
    is_confirmed: false,
    ..ALONE
};

/// The same when other workers crashed, too.
const EXCUSED: Crash<'_> = Crash {
    is_excused: true,
    ..ALONE
};

/// The same under a run that had been at work for a while.
const SOUND: Crash<'_> = Crash {
    is_suspect: false,
    is_sole_suspect: false,
    ..ALONE
};

/// Crashes in a row, each of another host and a later run unless said otherwise.
struct Case {
    name: &'static str,
    crashes: &'static [Crash<'static>],
    is_same_host: bool,
    is_same_run: bool,
    /// A run is sound before the last crash.
    is_cleared: bool,
    is_long_running: bool,
    /// Crash at which the task is to blame; 0 for none of them.
    to_blame_at: usize,
}

const CASE: Case = Case {
    name: "",
    crashes: &[ALONE, ALONE],
    is_same_host: false,
    is_same_run: false,
    is_cleared: false,
    is_long_running: false,
    to_blame_at: 0,
};

const CASES: &[Case] = &[
    Case {
        name: "one crash",
        crashes: &[ALONE],
        ..CASE
    },
    Case {
        name: "alone twice",
        to_blame_at: 2,
        ..CASE
    },
    Case {
        name: "beside others, then alone",
        crashes: &[SHARED, ALONE],
        to_blame_at: 2,
        ..CASE
    },
    Case {
        name: "beside others twice",
        crashes: &[SHARED, SHARED],
        ..CASE
    },
    Case {
        name: "alone, and there for certain only the last time",
        crashes: &[UNCONFIRMED, ALONE],
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
        to_blame_at: 5,
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
        to_blame_at: 5,
        ..CASE
    },
    Case {
        name: "with a failure domain, then alone",
        crashes: &[EXCUSED, ALONE],
        ..CASE
    },
    Case {
        name: "beside others three times",
        crashes: &[SHARED, SHARED, SHARED],
        ..CASE
    },
    Case {
        name: "beside others, too often for luck",
        crashes: &[SHARED, SHARED, SHARED, SHARED, SHARED],
        to_blame_at: 5,
        ..CASE
    },
    Case {
        name: "a task that lasts, beside others, too often for luck",
        crashes: &[SHARED, SHARED, SHARED, SHARED, SHARED],
        is_long_running: true,
        to_blame_at: 5,
        ..CASE
    },
    Case {
        name: "twice on a host that may crash by itself",
        is_same_host: true,
        ..CASE
    },
    Case {
        name: "three times on one host",
        crashes: &[ALONE, ALONE, ALONE],
        is_same_host: true,
        to_blame_at: 3,
        ..CASE
    },
    Case {
        name: "several members of a gang in one run",
        crashes: &[ALONE, ALONE, ALONE, ALONE],
        is_same_run: true,
        ..CASE
    },
    Case {
        name: "a sound run in between",
        is_cleared: true,
        ..CASE
    },
    Case {
        name: "under sound runs, which luck explains four times",
        crashes: &[SOUND, SOUND, SOUND, SOUND],
        ..CASE
    },
    Case {
        name: "under sound runs, too often for luck",
        crashes: &[SOUND, SOUND, SOUND, SOUND, SOUND],
        to_blame_at: 5,
        ..CASE
    },
    Case {
        name: "under a task that lasts, often",
        crashes: &[SOUND, SOUND, SOUND, SOUND, SOUND, SOUND, SOUND, SOUND],
        is_long_running: true,
        ..CASE
    },
    Case {
        name: "a task that lasts and crashes whoever starts it",
        is_long_running: true,
        to_blame_at: 2,
        ..CASE
    },
];

/// Symptom: a task that crashes its workers is started once too often. Sequence: what became of a
/// worker is known only after the next one has crashed under the task. Cause: only crashes under
/// newer runs than the newest counted one were taken for new.
#[gtest]
fn a_crash_that_is_known_late_counts_too() {
    let mut suspicion = Suspicion::default();
    expect_that!(
        suspicion.record_crash(&Crash { run: 2, ..ALONE }),
        eq(false)
    );
    let late = Crash {
        run: 1,
        address: "10.0.0.2:80",
        ..ALONE
    };
    expect_that!(suspicion.record_crash(&late), eq(true));
    expect_that!(
        suspicion.record_crash(&Crash { run: 2, ..ALONE }),
        eq(false)
    );
    expect_that!(suspicion.crashes, eq(2));
}

/// Symptom: a task is started again and again as its crashes can't be told from bad luck. After the
/// third one that it may have caused it has two starts left, whether they come to something or not.
#[gtest]
fn a_task_that_may_have_crashed_three_workers_has_two_starts_left() {
    let mut suspicion = Suspicion::default();
    for number in 1..=3 {
        suspicion.record_start(0);
        let crash = Crash {
            run: number,
            ..SHARED
        };
        expect_that!(suspicion.record_crash(&crash), eq(false), "crash {number}");
    }
    suspicion.record_start(0);
    expect_that!(suspicion.is_exhausted(), eq(false));
    let mut sound = suspicion.clone();
    // A start that the worker refused was none.
    suspicion.record_start(0);
    suspicion.undo_start();
    expect_that!(suspicion.is_exhausted(), eq(false));
    suspicion.record_start(0);
    expect_that!(suspicion.is_exhausted(), eq(true));
    sound.clear(false);
    sound.record_start(0);
    expect_that!(sound.is_exhausted(), eq(false));
}

/// Symptom: a task goes on crashing workers, or is given up for what it did not do.
#[gtest]
fn a_task_is_to_blame_once_nothing_else_explains_the_crashes() {
    for case in CASES {
        let mut suspicion = Suspicion::default();
        let mut to_blame_at = 0;
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
            if suspicion.record_crash(&crash) && to_blame_at == 0 {
                to_blame_at = number + 1;
            }
        }
        expect_that!(to_blame_at, eq(case.to_blame_at), "{}", case.name);
    }
}

/// Symptom: a task is started again and again while its workers are away for longer than their
/// leases, as no crash is known yet. Losses count towards its last starts; then it waits for what
/// became of the workers, and is given up only for crashes that are known.
#[gtest]
fn losses_that_may_be_crashes_count_towards_the_last_starts() {
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
        expect_that!(suspicion.record_crash(&Crash { run, ..SHARED }), eq(false));
    }
    expect_that!(
        suspicion.record_crash(&Crash { run: 3, ..SHARED }),
        eq(true)
    );
}
