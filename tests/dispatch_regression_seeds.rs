//! Seeds of random sequences that have failed once, each with its cause. They stay as they are.

use crate::dispatch_faults::Orders;

/// Seeds that have failed once, with the cause.
pub(crate) const REGRESSION_SEEDS: &[(u64, &str)] = &[
    (
        30,
        "an end told after its run was given up was forgotten, and the task ran again",
    ),
    (39, "the same, in a later step"),
    (
        56,
        "a new owner told others, and not itself, of a job that had ended before it",
    ),
    (
        126,
        "a new owner never told of a job that had begun before it",
    ),
    (
        60,
        "an end was passed over as its run was to be barred, and the task ran again",
    ),
    (136, "the same"),
    (182, "the same, on a worker that had started again"),
    (307, "the same"),
];

/// The same with tasks that crash their workers.
pub(crate) const REGRESSION_SEEDS_CRASHING: &[(u64, &str)] = &[
    (
        56,
        "a gang was cleared by members that outlived the one that crashed",
    ),
    (69, "the same"),
    (
        99,
        "a task was blamed for a worker that was down before its order came",
    ),
    (
        105,
        "a crash that was known only after the next one was not counted",
    ),
    (
        109,
        "a task was blamed for a worker that was down before its order came",
    ),
    (147, "starts that came to nothing were not bounded"),
    (
        158,
        "a task that had worked for long was blamed for what its neighbour did",
    ),
    (
        193,
        "a task beside several poisoned ones was given up with them",
    ),
    (204, "a run was taken for sound as a new owner saw it once"),
    (
        55,
        "a run that was told to stop before its start was answered counted for nothing",
    ),
    (232, "the same"),
    (
        242,
        "starts of a gang that came to nothing were not bounded",
    ),
    (278, "a run that was told to stop, as above"),
    (
        372,
        "a task beside several poisoned ones was given up with them",
    ),
];

/// The same with workers that start again under their ids.
pub(crate) const REGRESSION_SEEDS_RESTARTING: &[(u64, &str)] = &[(
    251,
    "a new incarnation was opened, and nobody looked at what waits",
)];

/// Seeds that fail still, with workers that start again under their ids.
pub(crate) const OPEN_SEEDS_RESTARTING: &[(u64, Orders)] = &[
    (219, Orders::Relayed),
    (240, Orders::Relayed),
    (29, Orders::Direct),
    (9, Orders::Relayed),
];
