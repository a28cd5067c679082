//! Which calls the owner sends over its link now, and which are deferred.
//!
//! **Load pattern:** a burst of start orders is several times what a link of 2 Mbit/s carries in a
//! second.
//!
//! **Without it** all of them are sent and queue in the network in order of arrival. Lease renewals
//! wait behind orders that could wait: leases expire, and followers miss the owner's heartbeats and
//! claim ownership. It shows as answers that take as long as the queue. Therefore the owner sends
//! no more than its link carries, and each priority leaves room for more important calls. A
//! deferred call is decided on again a little later, by what is known then.
//!
//! **Limits:** the capacity of the link is a setting. At most 80 ms of it are sent at once, so that
//! no call waits longer than that behind the owner's own bytes.

/// Purpose of a call, the most important first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallPriority {
    /// Renews a lease that is half over, or the claim to be the owner.
    Lease,
    /// Stops a run, or changes its CPU share.
    Control,
    /// Asks a worker for its runs and the exits of runs.
    Poll,
    /// Starts a run.
    Start,
}

impl CallPriority {
    /// All priorities, the most important first.
    pub const ALL: [CallPriority; 4] = [
        CallPriority::Lease,
        CallPriority::Control,
        CallPriority::Poll,
        CallPriority::Start,
    ];

    /// Returns the name of the priority in logs.
    pub fn name(self) -> &'static str {
        match self {
            CallPriority::Lease => "lease",
            CallPriority::Control => "control",
            CallPriority::Poll => "look",
            CallPriority::Start => "start",
        }
    }

    /// Returns the percentage of the bytes in flight that calls of this priority leave to more
    /// important ones. Lease renewals are sent regardless of what is in flight: they take a few
    /// hundred bytes each, and running tasks are lost without them.
    fn reserved_percent(self) -> i64 {
        match self {
            CallPriority::Lease => -100,
            CallPriority::Control => 0,
            CallPriority::Poll => 15,
            CallPriority::Start => 40,
        }
    }
}

/// Transfer time of the bytes that may be in flight at once.
const IN_FLIGHT_MS: u64 = 80;
/// Percentage of the link that is used. Acknowledgements and answers to callers take the rest.
const USED_PERCENT: u64 = 92;
/// Overhead of each message in bytes, beside its content.
pub(crate) const PACKET_BYTES: u64 = 60;
/// Percentage of the link that regular polls of all workers may take.
const POLLS_PERCENT: u64 = 25;
/// Percentage of the link that records of progress may take.
const RECORDS_PERCENT: u64 = 45;

/// Largest and smallest interval between two reads of the list of workers.
pub(crate) const MAX_LIST_PAUSE_MS: u64 = 400;
pub(crate) const MIN_LIST_PAUSE_MS: u64 = 100;
/// Transfer time that the answer to one such read may take, as all other messages wait behind it.
const LIST_BURST_MS: u64 = 20;

/// Returns the interval in milliseconds before the next read of the list of workers, by the bytes
/// that the latest read returned after `pause_ms`. Thousands of workers report all the time; if the
/// list is read rarely, their reports arrive in one burst.
pub fn list_pause_ms(pause_ms: u64, bytes: u64, link_bytes_per_s: u64) -> u64 {
    let burst_bytes = link_bytes_per_s * LIST_BURST_MS / 1_000;
    let fitting_ms = pause_ms * burst_bytes / bytes.max(1);
    fitting_ms.clamp(MIN_LIST_PAUSE_MS, MAX_LIST_PAUSE_MS)
}

/// Budget of one direction of a link.
#[derive(Debug, Clone, Copy)]
struct Direction {
    bytes_per_s: u64,
    /// Bytes that may still be sent; negative while more are in flight than allowed.
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

/// Budget of both directions of a link.
#[derive(Debug, Clone, Copy)]
pub struct LinkBudget {
    outbound: Direction,
    inbound: Direction,
    deferred: [u64; CallPriority::ALL.len()],
}

impl LinkBudget {
    /// Creates the budget of an unused link that carries `bytes_per_s` in each direction.
    pub fn new(bytes_per_s: u64) -> Self {
        let used = bytes_per_s.max(1) * USED_PERCENT / 100;
        Self {
            outbound: Direction::new(used),
            inbound: Direction::new(used),
            deferred: [0; CallPriority::ALL.len()],
        }
    }

    /// Returns to the budget what the link has carried until `now_ms`.
    pub fn refill(&mut self, now_ms: u64) {
        self.outbound.refill(now_ms);
        self.inbound.refill(now_ms);
    }

    /// Returns whether a call of this priority may be sent now, and counts it as deferred if not.
    pub fn admits(&mut self, priority: CallPriority) -> bool {
        let has_room = self.has_room(priority);
        self.deferred[priority as usize] += u64::from(!has_room);
        has_room
    }

    /// Returns whether a call of this priority may be sent now.
    pub fn has_room(&self, priority: CallPriority) -> bool {
        self.outbound.has_room(priority) && self.inbound.has_room(priority)
    }

    /// Charges an outgoing message and an incoming one, each with its overhead. A length of 0
    /// stands for no message.
    pub fn charge(&mut self, out_bytes: u64, in_bytes: u64) {
        let packet_bytes = |bytes: u64| if bytes > 0 { PACKET_BYTES } else { 0 };
        self.charge_shared(
            out_bytes + packet_bytes(out_bytes),
            in_bytes + packet_bytes(in_bytes),
        );
    }

    /// Charges bytes that are part of a larger message, without the overhead of a message.
    pub fn charge_shared(&mut self, out_bytes: u64, in_bytes: u64) {
        self.outbound.available_bytes -= out_bytes as i64;
        self.inbound.available_bytes -= in_bytes as i64;
    }

    /// Returns the interval in milliseconds between two polls of the same worker that keeps polls
    /// of `workers` workers within their part of the link, at `poll_bytes` for each poll.
    pub fn polls_gap_ms(&self, workers: u64, poll_bytes: u64) -> u64 {
        let max_per_s = self.outbound.bytes_per_s * POLLS_PERCENT / 100;
        workers * poll_bytes * 1_000 / max_per_s.max(1)
    }

    /// Returns the interval in milliseconds after an append of `bytes` that keeps records within
    /// their part of the link.
    pub fn records_gap_ms(&self, bytes: u64) -> u64 {
        let max_per_s = self.outbound.bytes_per_s * RECORDS_PERCENT / 100;
        bytes * 1_000 / max_per_s.max(1)
    }

    /// Returns the time in milliseconds that the link takes to transfer `bytes`.
    pub fn transfer_ms(&self, bytes: u64) -> u64 {
        bytes * 1_000 / self.outbound.bytes_per_s.max(1)
    }

    /// Returns the time in milliseconds until the link has sent the outgoing bytes in flight.
    pub fn outbound_ms(&self) -> u64 {
        self.outbound.in_flight_ms()
    }

    /// Returns the time in milliseconds until the link has received the incoming bytes in flight.
    pub fn inbound_ms(&self) -> u64 {
        self.inbound.in_flight_ms()
    }

    /// Returns how many calls of each priority were deferred.
    pub fn deferred(&self) -> impl Iterator<Item = (CallPriority, u64)> + use<> {
        CallPriority::ALL.into_iter().zip(self.deferred)
    }
}
