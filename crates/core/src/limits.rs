//! Settings of timeouts, intervals and sizes.

use crate::macros::plain;

plain! {
    /// Timeouts, intervals and sizes; the defaults suit the present size of the
    /// fleet.
    #[derive(Copy)]
    pub struct Limits {
        /// Number of seats that vote on leases, the first ones of those given; odd. A
        /// majority of them must be reachable for any member to act.
        pub voters: usize,
        /// Time for which one vote extends a lease.
        pub lease_ms: u64,
        /// Time between two heartbeats of a member.
        pub heartbeat_ms: u64,
        /// Largest difference in rate between two clocks, in thousandths.
        pub skew_permille: u64,
        /// Longest time for which an action may still be in flight after its lease
        /// was checked.
        pub act_ms: u64,
        /// Time without a heartbeat after which a member is taken for dead.
        pub suspect_ms: u64,
        /// Number of [`crate::Cell::Keys`] cells; the same on every host.
        pub key_cells: u16,
        /// Appends per second that this host may make; all hosts together must stay
        /// within what the log accepts.
        pub appends_per_s: u64,
        /// Time for which records that nobody waits for are delayed to share an
        /// append.
        pub lazy_ms: u64,
        /// Maximum number of records that share an append.
        pub batch_records: usize,
        /// Time between two reads of a followed stream.
        pub poll_ms: u64,
        /// Time without an answer from the log after which an append counts as
        /// unresolved.
        pub append_timeout_ms: u64,
        /// Time for which the identity of a request is remembered.
        pub identity_window_ms: u64,
        /// Time for which a worker runs its tasks without a call from the owner.
        pub worker_lease_ms: u64,
        /// Time between two calls to a worker.
        pub worker_poll_ms: u64,
        /// Time within which attempts under a grant must begin.
        pub grant_use_ms: u64,
        /// Retries per thousand requests.
        pub retry_permille: u32,
        /// Maximum number of requests that wait per slot.
        pub waiting_per_slot: u32,
        /// Time for which resources stay reserved until the job's assignment is
        /// recorded.
        pub reserve_ms: u64,
        /// Number of records after which a stream gets a new snapshot.
        pub carry_records: u64,
        /// Time after which a stream gets a new snapshot even so; well below the time
        /// for which the log retains records.
        pub carry_ms: u64,
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            voters: 5,
            lease_ms: 1_500,
            heartbeat_ms: 250,
            skew_permille: 20,
            act_ms: 300,
            suspect_ms: 1_000,
            key_cells: 16,
            appends_per_s: 50,
            lazy_ms: 500,
            batch_records: 500,
            poll_ms: 150,
            append_timeout_ms: 1_000,
            identity_window_ms: 600_000,
            worker_lease_ms: 10_000,
            worker_poll_ms: 1_000,
            grant_use_ms: 250,
            retry_permille: 100,
            waiting_per_slot: 2,
            reserve_ms: 3_000,
            carry_records: 2_000,
            carry_ms: 600_000,
        }
    }
}

impl Limits {
    /// Returns the time for which a voter is bound by a lease vote, by its own clock.
    ///
    /// A member counts its lease from before it asked; the voter counts from when the
    /// request arrived. The difference in clock rates and an action that was checked
    /// just before the lease ended are added, which makes sure that the member stops
    /// first.
    pub fn vote_ms(&self) -> u64 {
        self.lease_ms + self.lease_ms * self.skew_permille / 1_000 + self.act_ms
    }
}
