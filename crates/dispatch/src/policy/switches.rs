//! Switches of the scheduling mechanisms.

/// Mechanisms that an operator may switch off, to measure the effect of each on a deployment. All
/// are on by default. The operator's rules apply whether or not they are on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// The interference of best-effort tasks with long-running ones is learned from polls.
    pub learns_interference: bool,
    /// A new owner restores what the previous one has learned.
    pub inherits_interference: bool,
    /// Best-effort tasks beside a latency-critical task over its target get a smaller CPU share. If
    /// the task stays over its target, they are suspended even without this.
    pub throttles_best_effort: bool,
    /// Latency-critical tasks of the same image are placed on the same workers.
    pub keeps_images_together: bool,
    /// Tasks that make no or little progress are stopped and started again, or get a copy, on
    /// another worker.
    pub replaces_stragglers: bool,
    /// Workers on which tasks fail repeatedly get no new tasks for a while.
    pub avoids_failing_workers: bool,
    /// Jobs that can still meet their objective go before those that cannot.
    pub feasible_first: bool,
    /// Jobs that have started go before others.
    pub begun_first: bool,
    /// Where there are many hosts, the owner answers their queries even if it uses no relays.
    pub owner_answers: bool,
    /// The time of each job is accounted for by phases.
    pub accounts_times: bool,
    /// Best-effort tasks get the processor time that the latency-critical tasks beside them leave
    /// now, by their present load.
    pub protects_serving: bool,
    /// Objectives and ends of jobs follow from learned durations instead of the estimates of their
    /// callers.
    pub learns_run_times: bool,
    /// Queues of the same priority get equal shares, and room is kept for wide tasks that have waited
    /// for long.
    pub fair_shares: bool,
    /// A best-effort job of which nothing runs starts a task at a reduced share where no worker
    /// takes one at its full share.
    pub starts_idle_jobs: bool,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            learns_interference: true,
            inherits_interference: true,
            throttles_best_effort: true,
            keeps_images_together: true,
            replaces_stragglers: true,
            avoids_failing_workers: true,
            feasible_first: true,
            begun_first: true,
            owner_answers: true,
            accounts_times: true,
            protects_serving: true,
            learns_run_times: true,
            fair_shares: true,
            starts_idle_jobs: true,
        }
    }
}
