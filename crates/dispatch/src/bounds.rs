//! Limits agreed with the platform's operators, and the scheduler's own.

use crate::policy::Policy;

/// Limits that differ between deployments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// Longest lease of a task that a worker grants.
    pub max_lease_ms: u64,
    /// Time for which callers can query the state of a finished job.
    pub status_ms: u64,
    /// How early a scheduled occurrence may start.
    pub early_ms: u64,
    /// Time for which a latency-critical task may exceed its latency target before it counts as
    /// harm to users.
    pub harm_ms: u64,
    /// Time after its acknowledgement by which all hosts apply a version of the rules.
    pub rules_in_force_ms: u64,
    /// Time after its acknowledgement by which an evacuated failure domain gets no new tasks.
    pub evacuation_ms: u64,
    /// Share of a core that this host has, in thousandths. Hosts with more claim first.
    pub cpu_permille: u64,
    /// Bandwidth of this host's link in each direction.
    pub link_bytes_per_s: u64,
    /// File descriptors that this host may have open.
    pub descriptors: u64,
    /// Address at which this host relays orders of other hosts; empty if it does not.
    pub relay_address: Box<str>,
    /// Largest record that the store accepts.
    pub max_record_bytes: u64,
    /// Partitions of the stream of jobs. All hosts must use the same number.
    pub job_partitions: u8,
    /// Mechanisms that are enabled.
    pub policy: Policy,
}

impl Default for Bounds {
    /// The values of the first deployments.
    fn default() -> Self {
        Self {
            max_lease_ms: 6_000,
            status_ms: 120_000,
            early_ms: 250,
            harm_ms: 4_000,
            rules_in_force_ms: 2_000,
            evacuation_ms: 5_000,
            cpu_permille: 100,
            link_bytes_per_s: 125_000_000,
            descriptors: 4_096,
            relay_address: "".into(),
            max_record_bytes: 262_144,
            job_partitions: 4,
            policy: Policy::default(),
        }
    }
}
