//! How often the owner tries to place waiting steps.
//!
//! **Load pattern:** a fleet is full, or its new owner has polled few workers yet, and hundreds of
//! steps wait. Each attempt evaluates every worker for every step, and each exit or answer triggers
//! a new attempt.
//!
//! **Without it** the cost is jobs times workers, many times a second, and lease renewals and
//! heartbeats wait behind it. It shows as an owner whose turns take a second, and as other hosts
//! that claim ownership meanwhile. Therefore an attempt with many evaluations is followed by a
//! pause in which the owner does its other work.
//!
//! **Limits:** every waiting step is tried again within a few seconds, whatever the load.

/// Smallest and largest pause between two attempts. The smallest is half of the pause between
/// appends.
const MIN_GAP_MS: u64 = 10;
const MAX_GAP_MS: u64 = 2_000;
/// Processor time to evaluate one worker for one step.
const EVALUATION_NS: u64 = 40;
/// Percentage of the owner's processor time that evaluations may take.
const CPU_PERCENT: u64 = 25;

/// Returns the pause in milliseconds after an attempt with `evaluated` evaluations, on a host with
/// `cpu_permille` thousandths of a core.
pub fn placing_gap_ms(evaluated: u64, cpu_permille: u64) -> u64 {
    let ns_per_ms = (cpu_permille * 1_000 * CPU_PERCENT / 100).max(1);
    let gap_ms = evaluated * EVALUATION_NS / ns_per_ms;
    gap_ms.clamp(MIN_GAP_MS, MAX_GAP_MS)
}
