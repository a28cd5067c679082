//! Whether the owner keeps connections to the other hosts over which it answers their queries.
//!
//! **Load pattern:** callers ask any host about any job. Where there are many hosts, most of these
//! questions reach one that is not the owner.
//!
//! **Without it** each such question is answered by reads of the store: up to five for the length of
//! a queue, one to four for a job. The load on the store grows with the number of questions, and
//! with the number of hosts even if nobody asks, since each of them has to keep its data recent. It
//! shows as calls to the store that outnumber the jobs by far.
//!
//! **Limits:** hosts that monitor the owner read its record several times a second anyway, and with
//! few other hosts the connections save next to nothing. Each connection takes a descriptor and
//! part of the owner's link.

/// Ratio of hosts to watchers from which on other hosts are informed: then most hosts need not read.
const MIN_HOSTS_PER_WATCHER: usize = 2;
/// Bytes per second and direction that a connection to a host takes of the owner's link: a
/// heartbeat, and two queries or answers.
const HOST_BYTES_PER_S: u64 = 500;
/// Maximum percentage of the link that connections to hosts may take. The rest is for workers, for
/// records and for callers.
const MAX_LINK_PERCENT: u64 = 10;
/// Maximum percentage of the descriptors that connections to hosts and workers may take. The rest
/// is for callers and for the store.
const MAX_DESCRIPTORS_PERCENT: u64 = 50;

/// Percentage of these limits of the link and of the descriptors up to which existing connections
/// are kept. With one limit for both, a fleet close to it would open and close them repeatedly.
const KEPT_PERCENT: u64 = 150;

/// What an owner knows of its deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Deployment {
    /// Hosts that have announced themselves, with the owner.
    pub hosts: usize,
    /// Hosts that monitor the owner.
    pub watchers: usize,
    /// Listed workers.
    pub workers: usize,
    /// Capacity of the owner's link in each direction, in bytes per second.
    pub link_bytes_per_s: u64,
    /// File descriptors that the owner may have open.
    pub descriptors: u64,
}

/// Returns whether the owner is to connect to the other hosts and answer their queries.
pub fn should_inform(deployment: Deployment) -> bool {
    deployment.hosts >= deployment.watchers * MIN_HOSTS_PER_WATCHER && fits(deployment, 100)
}

/// Returns whether an owner that is connected to the other hosts is to stay connected.
pub fn should_keep_informing(deployment: Deployment) -> bool {
    fits(deployment, KEPT_PERCENT)
}

/// Returns whether connections take no more than a percentage of what they may.
fn fits(deployment: Deployment, percent: u64) -> bool {
    let Deployment {
        hosts,
        workers,
        link_bytes_per_s,
        descriptors,
        ..
    } = deployment;
    let bytes_per_s = hosts as u64 * HOST_BYTES_PER_S;
    let connections = (hosts + workers) as u64;
    bytes_per_s * 10_000 <= link_bytes_per_s * MAX_LINK_PERCENT * percent
        && connections * 10_000 <= descriptors * MAX_DESCRIPTORS_PERCENT * percent
}
