//! Times and bounds that the decisions keep to.

use crate::macros::plain;

plain! {
    /// Settings of the decisions; the defaults suit today's sizes.
    #[derive(Copy)]
    pub struct Limits {
        /// Seats that vote on leases, the first ones of those given; odd. A majority
        /// of them must be reachable for anybody to act.
        pub voters: usize,
        /// How long one promise of a voter holds.
        pub lease_ms: u64,
        /// Time between two heartbeats of a member.
        pub heartbeat_ms: u64,
        /// How much two clocks may differ in rate, in thousandths.
        pub skew_permille: u64,
        /// How long an act may still be under way after its lease was checked.
        pub act_ms: u64,
        /// Silence after which a member is taken for dead.
        pub suspect_ms: u64,
        /// Number of [`crate::Cell::Keys`] cells; the same on every host.
        pub key_cells: u16,
        /// Appends that this host may make; all hosts together must stay within
        /// what the log takes.
        pub appends_per_s: u64,
        /// How long records that nobody waits for may wait to share an append.
        pub lazy_ms: u64,
        /// Most records that share an append.
        pub batch_records: usize,
        /// Time between two reads of a followed stream.
        pub poll_ms: u64,
        /// Longest silence of the log before an append counts as unresolved.
        pub append_timeout_ms: u64,
        /// How long the identity of a request is remembered.
        pub identity_window_ms: u64,
        /// How long a worker runs its tasks on without hearing from the owner.
        pub worker_lease_ms: u64,
        /// Time between two calls to a worker.
        pub worker_poll_ms: u64,
        /// Time within which attempts under a grant must have begun.
        pub grant_use_ms: u64,
        /// Retries per thousand requests.
        pub retry_permille: u32,
        /// Requests that may wait per slot.
        pub waiting_per_slot: u32,
        /// How long a reservation waits for its job's record.
        pub reserve_ms: u64,
        /// Records after which state is carried forward in a stream.
        pub carry_records: u64,
        /// Time after which state is carried forward even so; well below the
        /// time for which the log keeps records.
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
    /// How long a voter keeps to a promise, by its own clock.
    ///
    /// A member counts its lease from before it asked; the voter counts from when
    /// it heard. The difference in clock rates and an act that was checked just
    /// before the lease ended are added, so that the member has stopped first.
    pub fn vote_ms(&self) -> u64 {
        self.lease_ms + self.lease_ms * self.skew_permille / 1_000 + self.act_ms
    }
}
