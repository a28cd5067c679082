//! Whether an owner has other hosts carry its orders to the workers.
//!
//! Load: calls to workers grow with their number, while the owner's link, processor and
//! descriptors are those of one host. Past its link, starts wait while room stays unused: at
//! 2 Mbit/s a fleet of 147 workers served 39% of its jobs. Past its processor looks are late,
//! and tails of served tasks with them. One notices by calls that are put off, and by an owner
//! that uses up its share.
//!
//! Limits: a relay costs a hop each way, and connections from several hosts to each worker. So
//! an owner that does well by itself uses none.

/// What the calls to one worker take of the owner's link, each way: 1.6 kB a second, at two
/// starts and two looks a second.
const WORKER_BYTES_PER_S: u64 = 1_600;
/// What they take of the owner's processor, in millionths of a core: 0.14 cores at 490 workers.
const WORKER_CPU_MILLIONTHS: u64 = 290;
/// Part of the link or of the processor, in percent, above which orders are relayed. The rest is
/// for peaks, records and callers.
const MAX_DIRECT_PERCENT: u64 = 40;

/// What an owner has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerCapacity {
    /// What its link carries each way.
    pub link_bytes_per_s: u64,
    /// Its share of a core, in thousandths.
    pub cpu_permille: u64,
}

/// Tells whether an owner of so many workers is to have its orders relayed.
pub fn needs_relays(workers: usize, capacity: OwnerCapacity) -> bool {
    let workers = workers as u64;
    let bytes_per_s = workers * WORKER_BYTES_PER_S;
    let cpu_permille = workers * WORKER_CPU_MILLIONTHS / 1_000;
    bytes_per_s * 100 > capacity.link_bytes_per_s * MAX_DIRECT_PERCENT
        || cpu_permille * 100 > capacity.cpu_permille * MAX_DIRECT_PERCENT
}
