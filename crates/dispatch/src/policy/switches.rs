//! Which mechanisms are in use.

/// Mechanisms that an operator may switch off, to find out what each is worth on a
/// deployment. All are on unless said otherwise; rules are kept without them, too.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Policy {
    /// How much best-effort tasks disturb long-running ones is learned from looks.
    pub learns_interference: bool,
    /// A new owner takes over what the former one has learned.
    pub inherits_interference: bool,
    /// Best-effort tasks beside a service over its target work at a smaller share. They are suspended all the same when that lasts.
    pub throttles_best_effort: bool,
    /// Long-running tasks of one image are placed beside one another.
    pub keeps_images_together: bool,
    /// Tasks that stand still or crawl are started elsewhere.
    pub replaces_stragglers: bool,
    /// Workers that fail what they start get nothing new for a while.
    pub avoids_failing_workers: bool,
    /// Jobs that can still make their objective go before those that can not.
    pub feasible_first: bool,
    /// Jobs that have begun go before others.
    pub begun_first: bool,
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
        }
    }
}
