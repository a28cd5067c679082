//! The owner's state of one relay: the connection, and what was sent over it.

use crate::event::ConnectionId;
use crate::event::WorkerCall;
use crate::ids::JobId;
use crate::relay::frames::JobTextRow;
use crate::relay::frames::OrdersFrame;
use crate::relay::frames::WorkerRow;
use crate::relay::peer_clock::PeerClock;
use crate::relay::rows::order_row;
use crate::relay::sessions::HEARTBEAT_INTERVAL_MS;
use crate::relay::sessions::OwnerHeartbeat;
use crate::relay::sessions::RelayedOrder;
use crate::relay::sessions::WATCHER_INTERVAL_MS;
use prost::Message;
use std::collections::HashMap;
use std::collections::HashSet;

/// Maximum number of texts that a relay retains: 4 MB if each has 4,000 bytes.
const MAX_TEXTS: usize = 1_000;

/// State of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// There is none. One may be opened at `retry_ms`.
    Closed { retry_ms: u64 },
    /// It is being opened, or is open.
    Open { conn: ConnectionId },
}

/// The incarnation of a worker that a number in frames refers to.
#[derive(Debug, PartialEq, Eq, Hash)]
struct WorkerIdentity {
    worker: Box<str>,
    address: Box<str>,
    failure_domain: Box<str>,
}

/// One relay.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) name: Box<str>,
    pub(super) address: Box<str>,
    pub(super) phase: Phase,
    pub(super) is_connected: bool,
    pub(super) is_leaving: bool,
    /// It monitors the owner, and gets the owner's heartbeats more often.
    pub(super) is_watcher: bool,
    /// What the latest frame to it said of the owner.
    pub(super) sent_heartbeat: OwnerHeartbeat,
    /// Consecutive failures to connect.
    pub(super) failures: u32,
    /// Time of the last frame from the relay, or of the attempt to connect.
    pub(super) last_received_ms: u64,
    /// Time of the last frame to the relay.
    pub(super) last_sent_ms: u64,
    /// Its steady clock.
    pub(super) clock: PeerClock,
    /// Numbers of workers, by id and address: a worker may start again elsewhere under the same id.
    numbers: HashMap<WorkerIdentity, u32>,
    pub(super) texts: HashSet<JobId>,
    /// Frame that is sent at the end of this turn.
    pub(super) frame: OrdersFrame,
}

impl Peer {
    pub(super) fn new(name: &str, address: &str) -> Self {
        Self {
            name: name.into(),
            address: address.into(),
            phase: Phase::Closed { retry_ms: 0 },
            is_connected: false,
            is_leaving: false,
            is_watcher: false,
            sent_heartbeat: OwnerHeartbeat::default(),
            failures: 0,
            last_received_ms: 0,
            last_sent_ms: 0,
            clock: PeerClock::default(),
            numbers: HashMap::new(),
            texts: HashSet::new(),
            frame: OrdersFrame::default(),
        }
    }

    /// Returns whether it accepts orders. A connection is established even if the host hangs; only a
    /// frame shows that it does not.
    pub(super) fn is_usable(&self) -> bool {
        self.is_connected && !self.is_leaving && self.clock.is_known()
    }

    /// Returns whether the host is to get a frame even if it contains nothing else.
    pub(super) fn is_heartbeat_due(&self, heartbeat: OwnerHeartbeat, now_ms: u64) -> bool {
        let has_news = heartbeat.stored_end > self.sent_heartbeat.stored_end;
        let interval_ms = match self.is_watcher && has_news {
            true => WATCHER_INTERVAL_MS,
            false => HEARTBEAT_INTERVAL_MS,
        };
        let is_leaving_news = heartbeat.is_leaving && !self.sent_heartbeat.is_leaving;
        self.is_connected && (is_leaving_news || now_ms >= self.last_sent_ms + interval_ms)
    }

    /// Drops the connection and the state that belongs to it. Returns the connection if there was
    /// one.
    pub(super) fn close(&mut self, retry_ms: u64) -> Option<ConnectionId> {
        let phase = std::mem::replace(&mut self.phase, Phase::Closed { retry_ms });
        self.is_connected = false;
        self.is_leaving = false;
        self.last_sent_ms = 0;
        self.clock = PeerClock::default();
        self.sent_heartbeat = OwnerHeartbeat::default();
        self.numbers.clear();
        self.texts.clear();
        self.frame = OrdersFrame::default();
        match phase {
            Phase::Open { conn } => Some(conn),
            Phase::Closed { .. } => None,
        }
    }

    /// Adds an order to the next frame, and returns its size in bytes.
    pub(super) fn add_order(&mut self, order: &RelayedOrder<'_>) -> usize {
        let mut bytes = 0;
        let next = self.numbers.len() as u32;
        let identity = WorkerIdentity {
            worker: order.worker.into(),
            address: order.address.into(),
            failure_domain: order.failure_domain.into(),
        };
        let number = *self.numbers.entry(identity).or_insert(next);
        if number == next {
            let worker_row = WorkerRow {
                number,
                address: order.address.into(),
                id: order.worker.into(),
                failure_domain: order.failure_domain.into(),
            };
            bytes += worker_row.encoded_len();
            self.frame.workers.push(worker_row);
        }
        if let WorkerCall::Start {
            task,
            specification,
            ..
        } = order.call
        {
            bytes += self.add_text(task.job, specification);
        }
        let row = order_row(order.ticket, number, order.call, order.timeout_ms);
        bytes += row.encoded_len();
        self.frame.orders.push(row);
        bytes
    }

    fn add_text(&mut self, job: JobId, text: &str) -> usize {
        if self.texts.contains(&job) {
            return 0;
        }
        // The relay drops all texts at once, and only before a frame without orders that refer to
        // them.
        if self.texts.len() >= MAX_TEXTS && self.frame.orders.is_empty() {
            self.texts.clear();
            self.frame.clears_texts = true;
        }
        self.texts.insert(job);
        let text = JobTextRow {
            job: job.0,
            text: text.into(),
        };
        let bytes = text.encoded_len();
        self.frame.texts.push(text);
        bytes
    }
}
