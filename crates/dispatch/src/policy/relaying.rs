//! Whether other hosts relay the owner's orders to the workers.
//!
//! **Load pattern:** calls to workers grow with the number of workers, while the owner's link,
//! processor and file descriptors are those of one host.
//!
//! **Without it** starts wait beyond the capacity of the link while resources stay unused: at 2
//! Mbit/s a fleet of 147 workers served 39% of its jobs. Beyond the capacity of the processor polls
//! are late, and so the tail latency of latency-critical tasks rises. It shows as calls that are
//! deferred, and as an owner that uses all of its CPU share.
//!
//! **Limits:** a relay costs one hop in each direction, and connections from several hosts to each
//! worker. Therefore an owner with enough capacity uses none.

/// Bytes per second and direction that the calls to one worker take of the owner's link: 1.6 kB a
/// second, at two starts and two polls a second.
const WORKER_BYTES_PER_S: u64 = 1_600;
/// Processor time that these calls take, in millionths of a core: 0.14 cores at 490 workers.
const WORKER_CPU_MILLIONTHS: u64 = 290;
/// Percentage of the link or of the processor above which orders are relayed. The rest is reserved
/// for peaks, records and callers.
const MAX_DIRECT_PERCENT: u64 = 40;

/// Link and processor capacity of an owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OwnerCapacity {
    /// Capacity of its link in each direction, in bytes per second.
    pub link_bytes_per_s: u64,
    /// Its processor share, in thousandths of a core.
    pub cpu_permille: u64,
}

/// Returns whether an owner of this many workers needs relays for its orders.
pub fn needs_relays(workers: usize, capacity: OwnerCapacity) -> bool {
    let workers = workers as u64;
    let bytes_per_s = workers * WORKER_BYTES_PER_S;
    let cpu_permille = workers * WORKER_CPU_MILLIONTHS / 1_000;
    bytes_per_s * 100 > capacity.link_bytes_per_s * MAX_DIRECT_PERCENT
        || cpu_permille * 100 > capacity.cpu_permille * MAX_DIRECT_PERCENT
}
