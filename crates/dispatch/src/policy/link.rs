//! What the owner puts on its link, and what waits.
//!
//! Load: a burst of orders to start is several times what a link of 2 Mbit/s carries in a
//! second. What is sent all the same waits in the network, first come first served, and
//! renewals of leases wait behind orders that could wait: leases run outbound, followers miss the
//! owner's signs of life and claim. One notices by answers that take as long as the queue.
//! So the owner sends no more than its link carries, and each rank leaves room for the more
//! important ones. What has no room is decided on again a little later, by what is known then.
//!
//! Limits: the link's width is a setting. At most 80 ms of it are sent at once, so that nothing
//! waits for longer than that behind our own bytes.

/// What a call is for, the most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// It keeps a lease that is half over, or the claim to own.
    Lease,
    /// It stops a run, or changes its share.
    Control,
    /// It asks what runs at a worker and what has ended there.
    Poll,
    /// It starts a run.
    Start,
}

impl CallPriority {
    /// All ranks.
    pub const ALL: [CallPriority; 4] = [
        CallPriority::Lease,
        CallPriority::Control,
        CallPriority::Poll,
        CallPriority::Start,
    ];

    /// Gives its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            CallPriority::Lease => "lease",
            CallPriority::Control => "control",
            CallPriority::Poll => "look",
            CallPriority::Start => "start",
        }
    }

    /// Gives the part of what may be under direction at once, in percent, that calls of this rank
    /// leave to more important ones. Leases go outbound whatever is under direction: a few hundred bytes
    /// each, and work is lost without them.
    fn reserved_percent(self) -> i64 {
        match self {
            CallPriority::Lease => -100,
            CallPriority::Control => 0,
            CallPriority::Poll => 15,
            CallPriority::Start => 40,
        }
    }
}

/// Time that the link takes for what may be under direction at once.
const IN_FLIGHT_MS: u64 = 80;
/// Part of the link that is used, in percent. Acknowledgements and the answers to callers take
/// the rest.
const USED_PERCENT: u64 = 92;
/// Bytes that each message takes beside its own.
pub(crate) const PACKET_BYTES: u64 = 60;
/// Part of the link, in percent, that looks at all workers in turn may take.
const POLLS_PERCENT: u64 = 25;
/// Part of the link, in percent, that records of progress may take.
const RECORDS_PERCENT: u64 = 45;

/// Longest and shortest pause between two reads of the list of workers.
pub(crate) const MAX_LIST_PAUSE_MS: u64 = 400;
const MIN_LIST_PAUSE_MS: u64 = 100;
/// Time that the link may take for what one such read brings, as all else waits behind it.
const LIST_BURST_MS: u64 = 20;

/// Gives the pause before the next read of the list of workers, by what the latest one brought after
/// its pause. Reports of thousands of workers come all the time; read seldom, they come at once.
pub fn list_pause_ms(pause_ms: u64, bytes: u64, link_bytes_per_s: u64) -> u64 {
    let burst_bytes = link_bytes_per_s * LIST_BURST_MS / 1_000;
    let fitting_ms = pause_ms * burst_bytes / bytes.max(1);
    fitting_ms.clamp(MIN_LIST_PAUSE_MS, MAX_LIST_PAUSE_MS)
}

/// One direction of a link.
#[derive(Debug, Clone, Copy)]
struct Direction {
    bytes_per_s: u64,
    /// Bytes that may still go under direction; negative while more are under direction than should be.
    available_bytes: i64,
    refilled_ms: u64,
}

impl Direction {
    fn new(bytes_per_s: u64) -> Self {
        let mut direction = Self {
            bytes_per_s,
            available_bytes: 0,
            refilled_ms: 0,
        };
        direction.available_bytes = direction.max_bytes();
        direction
    }

    fn max_bytes(&self) -> i64 {
        (self.bytes_per_s * IN_FLIGHT_MS / 1_000) as i64
    }

    fn refill(&mut self, now_ms: u64) {
        let passed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = now_ms;
        let refilled_bytes = (self.bytes_per_s * passed_ms / 1_000) as i64;
        self.available_bytes = (self.available_bytes + refilled_bytes).min(self.max_bytes());
    }

    fn in_flight_ms(&self) -> u64 {
        let bytes = (self.max_bytes() - self.available_bytes).max(0) as u64;
        bytes * 1_000 / self.bytes_per_s.max(1)
    }

    fn has_room(&self, priority: CallPriority) -> bool {
        self.available_bytes > self.max_bytes() * priority.reserved_percent() / 100
    }
}

/// Both ways of a link.
#[derive(Debug, Clone, Copy)]
pub struct LinkBudget {
    outbound: Direction,
    inbound: Direction,
    deferred: [u64; CallPriority::ALL.len()],
}

impl LinkBudget {
    /// Makes the budget of a link of which nothing is in use.
    pub fn new(bytes_per_s: u64) -> Self {
        let used = bytes_per_s.max(1) * USED_PERCENT / 100;
        Self {
            outbound: Direction::new(used),
            inbound: Direction::new(used),
            deferred: [0; CallPriority::ALL.len()],
        }
    }

    /// Lets time pass, in which the link carries what is under direction.
    pub fn refill(&mut self, now_ms: u64) {
        self.outbound.refill(now_ms);
        self.inbound.refill(now_ms);
    }

    /// Tells whether a call of this rank may go outbound now, and counts it if not.
    pub fn admits(&mut self, priority: CallPriority) -> bool {
        let has_room = self.has_room(priority);
        self.deferred[priority as usize] += u64::from(!has_room);
        has_room
    }

    /// Tells whether a call of this rank may go outbound now.
    pub fn has_room(&self, priority: CallPriority) -> bool {
        self.outbound.has_room(priority) && self.inbound.has_room(priority)
    }

    /// Notes a message that goes outbound, and one that comes in or will come in answer.
    pub fn charge(&mut self, out_bytes: u64, in_bytes: u64) {
        let packet_bytes = |bytes: u64| if bytes > 0 { PACKET_BYTES } else { 0 };
        self.charge_shared(
            out_bytes + packet_bytes(out_bytes),
            in_bytes + packet_bytes(in_bytes),
        );
    }

    /// The same for a part of a message.
    pub fn charge_shared(&mut self, out_bytes: u64, in_bytes: u64) {
        self.outbound.available_bytes -= out_bytes as i64;
        self.inbound.available_bytes -= in_bytes as i64;
    }

    /// Gives the pause between looks at one of so many workers that keeps them within their
    /// part of the link, if each takes so many bytes.
    pub fn polls_gap_ms(&self, workers: u64, poll_bytes: u64) -> u64 {
        let max_per_s = self.outbound.bytes_per_s * POLLS_PERCENT / 100;
        workers * poll_bytes * 1_000 / max_per_s.max(1)
    }

    /// Gives the pause after an append of records that keeps them within their part.
    pub fn records_gap_ms(&self, bytes: u64) -> u64 {
        let max_per_s = self.outbound.bytes_per_s * RECORDS_PERCENT / 100;
        bytes * 1_000 / max_per_s.max(1)
    }

    /// Gives how long the link takes for so many bytes.
    pub fn transfer_ms(&self, bytes: u64) -> u64 {
        bytes * 1_000 / self.outbound.bytes_per_s.max(1)
    }

    /// Gives how long the link still takes for what goes outbound.
    pub fn outbound_ms(&self) -> u64 {
        self.outbound.in_flight_ms()
    }

    /// Gives how long the link still takes for what comes in.
    pub fn inbound_ms(&self) -> u64 {
        self.inbound.in_flight_ms()
    }

    /// Gives how many times calls of each rank were put off.
    pub fn deferred(&self) -> impl Iterator<Item = (CallPriority, u64)> + use<> {
        CallPriority::ALL.into_iter().zip(self.deferred)
    }
}
