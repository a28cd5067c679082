//! Tests which of several suspects is blamed for crashes, as the others prove harmless.

use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::TaskId;
use goldcrestway_dispatch::policy::crash_evidence::CrashEvidence;
use goldcrestway_dispatch::policy::crash_evidence::Loss;
use goldcrestway_dispatch::policy::crash_evidence::Suspect;
use googletest::prelude::*;

/// Returns a task, named by its job and index.
fn task((job, index): (u64, u16)) -> TaskId {
    TaskId {
        job: JobId(job),
        occurrence: 0,
        step: 0,
        index,
    }
}

/// A lost worker at the host with this number, and the tasks that had just begun there.
struct Lost {
    host: u32,
    suspects: &'static [(u64, u16)],
    /// Suspects whose runs the worker had not confirmed.
    unconfirmed: &'static [(u64, u16)],
    is_crash: bool,
}

const CRASH: Lost = Lost {
    host: 1,
    suspects: &[(1, 0), (2, 0), (3, 0)],
    unconfirmed: &[],
    is_crash: true,
};

/// Crashes, the tasks that prove harmless after them, and the tasks that are blamed by then.
struct Case {
    name: &'static str,
    losses: &'static [Lost],
    harmless: &'static [(u64, u16)],
    blamed: &'static [(u64, u16)],
}

const CASES: &[Case] = &[
    Case {
        name: "two crashes of two hosts, and all others work",
        losses: &[CRASH, Lost { host: 2, ..CRASH }],
        harmless: &[(2, 0), (3, 0)],
        blamed: &[(1, 0)],
    },
    Case {
        name: "two crashes of one host, which may be the cause itself",
        losses: &[CRASH, CRASH],
        harmless: &[(2, 0), (3, 0)],
        blamed: &[],
    },
    Case {
        name: "three crashes of one host",
        losses: &[CRASH, CRASH, CRASH],
        harmless: &[(2, 0), (3, 0)],
        blamed: &[(1, 0)],
    },
    Case {
        name: "another suspect has not worked yet",
        losses: &[CRASH, Lost { host: 2, ..CRASH }],
        harmless: &[(2, 0)],
        blamed: &[],
    },
    Case {
        name: "beside two others that crash workers, one at each crash",
        losses: &[
            Lost {
                suspects: &[(1, 0), (2, 0)],
                ..CRASH
            },
            Lost {
                host: 2,
                suspects: &[(1, 0), (3, 0)],
                ..CRASH
            },
        ],
        harmless: &[],
        blamed: &[],
    },
    Case {
        name: "a worker whose crash is not certain",
        losses: &[
            CRASH,
            Lost {
                host: 2,
                is_crash: false,
                ..CRASH
            },
        ],
        harmless: &[(2, 0), (3, 0)],
        blamed: &[],
    },
    Case {
        name: "a run that was not confirmed",
        losses: &[
            CRASH,
            Lost {
                host: 2,
                unconfirmed: &[(1, 0)],
                ..CRASH
            },
        ],
        harmless: &[(2, 0), (3, 0)],
        blamed: &[],
    },
    Case {
        name: "tasks of one job, which fails as a whole",
        losses: &[
            Lost {
                suspects: &[(1, 0), (1, 1), (2, 0)],
                ..CRASH
            },
            Lost {
                host: 2,
                suspects: &[(1, 0), (3, 0)],
                ..CRASH
            },
        ],
        harmless: &[(2, 0), (3, 0)],
        blamed: &[(1, 0)],
    },
    Case {
        name: "the two tasks that were there first work",
        losses: &[CRASH, Lost { host: 2, ..CRASH }],
        harmless: &[(1, 0), (2, 0)],
        blamed: &[(3, 0)],
    },
];

fn add(evidence: &mut CrashEvidence, lost: &Lost) {
    let suspects = lost.suspects.iter().map(|id| Suspect {
        task: task(*id),
        is_confirmed: !lost.unconfirmed.contains(id),
    });
    evidence.add(Loss {
        worker: "worker".into(),
        address: format!("10.0.0.{}:80", lost.host).into(),
        suspects: suspects.collect(),
        is_crash: lost.is_crash,
        is_explained: false,
    });
}

/// Guards against a task that crashes workers and is tried again although no other task can have
/// caused two of the crashes, and against the blame of a task beside it.
#[gtest]
fn task_is_blamed_once_all_other_suspects_have_worked() {
    for case in CASES {
        let mut evidence = CrashEvidence::default();
        for lost in case.losses {
            add(&mut evidence, lost);
        }
        let mut blamed = Vec::new();
        for harmless in case.harmless {
            blamed.extend(evidence.clear(task(*harmless)));
        }
        blamed.sort_unstable();
        blamed.dedup();
        let expected: Vec<TaskId> = case.blamed.iter().map(|id| task(*id)).collect();
        expect_that!(blamed, eq(&expected), "{}", case.name);
    }
}

/// Guards against crashes that count against tasks beside the one that is to blame for them.
#[gtest]
fn blame_clears_the_other_suspects() {
    let mut evidence = CrashEvidence::default();
    add(&mut evidence, &CRASH);
    add(
        &mut evidence,
        &Lost {
            host: 2,
            suspects: &[(2, 0), (3, 0)],
            ..CRASH
        },
    );
    add(
        &mut evidence,
        &Lost {
            host: 3,
            suspects: &[(1, 0), (2, 0)],
            unconfirmed: &[(2, 0)],
            ..CRASH
        },
    );
    expect_that!(
        evidence.blame(JobId(1)),
        eq(&vec![task((2, 0)), task((3, 0))])
    );
    expect_that!(evidence.blame(JobId(1)), is_empty());
}

/// Guards against a worker of unknown fate that counts against the tasks beside the one to blame
/// once its crash is certain.
#[gtest]
fn worker_of_unknown_fate_is_explained_too() {
    let mut evidence = CrashEvidence::default();
    add(
        &mut evidence,
        &Lost {
            is_crash: false,
            ..CRASH
        },
    );
    expect_that!(evidence.blame(JobId(1)), is_empty());
    let loss = evidence.take("worker");
    expect_that!(loss.map(|loss| loss.is_explained), some(eq(true)));
}

/// Guards against memory that grows with the number of lost workers.
#[gtest]
fn number_of_kept_losses_is_limited() {
    let mut evidence = CrashEvidence::default();
    for _ in 0..1_000 {
        add(&mut evidence, &CRASH);
    }
    expect_that!(evidence.blame(JobId(1)).len(), le(512));
}
