//! Times that the platform's operators have agreed on, and the project's own.

use crate::policy::Policy;

/// Bounds that differ between deployments.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Bounds {
    /// Longest lease of a task that a worker grants.
    pub max_lease_ms: u64,
    /// Time for which the state of a finished job must be told.
    pub status_ms: u64,
    /// How early a scheduled occurrence may start.
    pub early_ms: u64,
    /// Time for which a served user may wait too long before it counts as harm.
    pub harm_ms: u64,
    /// Time after its acknowledgement by which a version of the rules decides everywhere.
    pub rules_in_force_ms: u64,
    /// Time after its acknowledgement from which on an evacuated failure domain gets nothing new.
    pub evacuation_ms: u64,
    /// Share of a core that this host has, in thousandths. Hosts with more claim first.
    pub cpu_permille: u64,
    /// What this host's link carries each way.
    pub link_bytes_per_s: u64,
    /// Files and connections that this host may have open.
    pub descriptors: u64,
    /// Where other hosts reach this one, to have their orders relayed; empty if nowhere.
    pub relay_address: Box<str>,
    /// Largest record that the store takes.
    pub max_record_bytes: u64,
    /// Parts of the stream of jobs. All hosts must use the same number.
    pub job_partitions: u8,
    /// Which mechanisms are in use.
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
