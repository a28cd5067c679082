//! One relay as its owner knows it: the connection, and what it was told over that.

use crate::event::ConnectionId;
use crate::event::WorkerCall;
use crate::ids::JobId;
use crate::relay::frames::JobTextRow;
use crate::relay::frames::OrdersFrame;
use crate::relay::frames::WorkerRow;
use crate::relay::rows::order_row;
use crate::relay::sessions::RelayedOrder;
use prost::Message;
use std::collections::HashMap;
use std::collections::HashSet;

/// Texts that a relay keeps at most. A relay holds 4 MB of them if all are of 4,000 bytes.
const MAX_TEXTS: usize = 1_000;

/// How far a connection has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// There is none; one may be opened from then on.
    Closed { retry_ms: u64 },
    /// It is being opened, or the first orders are on their way.
    Open { conn: ConnectionId },
}

/// What a number in frames stands for.
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
    /// Connections in a row that were not made.
    pub(super) failures: u32,
    /// When it last said something.
    pub(super) last_received_ms: u64,
    /// When it was last told something.
    pub(super) last_sent_ms: u64,
    /// Numbers of workers, by id and address: a worker may start again elsewhere under its id.
    numbers: HashMap<WorkerIdentity, u32>,
    pub(super) texts: HashSet<JobId>,
    /// Orders that go out at the end of this turn.
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
            failures: 0,
            last_received_ms: 0,
            last_sent_ms: 0,
            numbers: HashMap::new(),
            texts: HashSet::new(),
            frame: OrdersFrame::default(),
        }
    }

    pub(super) fn is_usable(&self) -> bool {
        self.is_connected && !self.is_leaving
    }

    /// Forgets the connection, and gives it if there was one.
    pub(super) fn close(&mut self, retry_ms: u64) -> Option<ConnectionId> {
        let phase = std::mem::replace(&mut self.phase, Phase::Closed { retry_ms });
        self.is_connected = false;
        self.is_leaving = false;
        self.last_sent_ms = 0;
        self.numbers.clear();
        self.texts.clear();
        self.frame = OrdersFrame::default();
        match phase {
            Phase::Open { conn } => Some(conn),
            Phase::Closed { .. } => None,
        }
    }

    /// Adds an order to the next frame, and gives the bytes that it takes.
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
        // Texts are forgotten together, and only before a frame that needs none of them.
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
