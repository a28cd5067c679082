//! How often the owner tries to place what waits.
//!
//! Load: a fleet is full, or its new owner has heard few workers yet, and hundreds of steps wait. Each
//! try weighs each worker for each of them, and each end or answer is a reason to try again: jobs
//! times workers, many times a second, and leases and signs of life wait behind it. One notices by an
//! owner whose turns take a second, and by others that claim meanwhile. So a try that has weighed
//! much is followed by a pause in which the owner does all else.
//!
//! Limits: whoever waits is tried again within a few seconds, whatever is there.

/// Shortest pause between two tries, half of that between appends.
const MIN_GAP_MS: u64 = 10;
const MAX_GAP_MS: u64 = 2_000;
/// What weighing one worker for one step takes.
const EVALUATION_NS: u64 = 40;
/// Part of the owner's processor, in percent, that weighing may take.
const CPU_PERCENT: u64 = 25;

/// Gives the pause after a try in which workers were weighed so often, on a host with so many
/// thousandths of a core.
pub fn placing_gap_ms(evaluated: u64, cpu_permille: u64) -> u64 {
    let ns_per_ms = (cpu_permille * 1_000 * CPU_PERCENT / 100).max(1);
    let gap_ms = evaluated * EVALUATION_NS / ns_per_ms;
    gap_ms.clamp(MIN_GAP_MS, MAX_GAP_MS)
}
