//! Runs many nodes of the production decision code in virtual time. They exchange
//! messages directly; the log answers after a fixed time and instances work for a
//! given time. This is an event loop for measurements, not a fault simulator: nothing
//! fails unless the caller kills a node.

use goldcrestway_core::Action;
use goldcrestway_core::Answer;
use goldcrestway_core::AttemptOutcome;
use goldcrestway_core::Batch;
use goldcrestway_core::ConfigChange;
use goldcrestway_core::Event;
use goldcrestway_core::Limits;
use goldcrestway_core::Member;
use goldcrestway_core::Node;
use goldcrestway_core::PlatformHost;
use goldcrestway_core::Request;
use goldcrestway_core::Seat;
use goldcrestway_core::Stream;
use goldcrestway_core::StreamPage;
use goldcrestway_inventory::Sections;
use goldcrestway_inventory::compare;
use goldcrestway_wire::Envelope;
use goldcrestway_wire::encode_batch;
use goldcrestway_wire::frame_length;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

/// Latency of a message between entry hosts, in microseconds.
pub const HOP_US: u64 = 500;
/// Latency of an append, in microseconds.
const APPEND_US: u64 = 5_000;
/// Time between two ticks, in microseconds.
const TICK_US: u64 = 10_000;
/// Bytes of TCP and IP around a message or call.
const PACKET_BYTES: u64 = 60;

/// Counters since the last reset.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Messages between entry hosts.
    pub messages: u64,
    /// Bytes of the messages, including TCP and IP.
    pub message_bytes: u64,
    /// Appends to the log.
    pub appends: u64,
    /// Bytes of the appended payloads.
    pub append_bytes: u64,
    /// Reads of the log.
    pub reads: u64,
    /// Bytes returned by reads.
    pub read_bytes: u64,
    /// Total time that all nodes spent handling events.
    pub busy: Duration,
    /// Messages that the busiest node sent or received.
    pub busiest_messages: u64,
}

enum Due {
    Tick(usize),
    Deliver(usize, Event),
}

/// Returns how long an instance works on a request, in microseconds. The arguments are
/// the number of the request, the address of the instance and the time at which the
/// attempt was sent, in microseconds.
pub type WorkTime = Box<dyn FnMut(u64, &str, u64) -> u64>;

/// The nodes with a simulated network, log and instances.
pub struct Rig {
    /// The nodes; `None` for a node that was killed.
    pub nodes: Vec<Option<Node>>,
    /// Virtual time in microseconds.
    pub now_us: u64,
    due: BTreeMap<(u64, u64), Due>,
    next: u64,
    log: HashMap<Stream, Vec<(u64, Batch, u64)>>,
    /// Counters without `busiest_messages`, which `total_counts` fills in.
    pub counts: Counts,
    messages_per_node: Vec<u64>,
    /// Time in microseconds and answer, by request.
    pub answers: HashMap<u64, (u64, Answer)>,
    /// Time that instances work on a request.
    pub work: WorkTime,
    counts_bytes: bool,
}

impl Rig {
    /// Starts `members` nodes. `counts_bytes` enables counting the bytes of messages,
    /// which slows the run down.
    pub fn new(members: usize, limits: &Limits, counts_bytes: bool) -> Self {
        let seats: Vec<Seat> = (0..members as u16).map(Seat).collect();
        let mut rig = Self {
            nodes: Vec::new(),
            now_us: 0,
            due: BTreeMap::new(),
            next: 0,
            log: HashMap::new(),
            counts: Counts::default(),
            messages_per_node: vec![0; members],
            answers: HashMap::new(),
            work: Box::new(|_, _, _| 10_000),
            counts_bytes,
        };
        for (index, seat) in seats.iter().enumerate() {
            let me = Member {
                seat: *seat,
                incarnation: 1_000,
            };
            rig.nodes.push(Some(Node::new(me, &seats, *limits, 0)));
            // Offsets the ticks, because different hosts do not tick at the same moment.
            let offset_us = index as u64 * TICK_US / members as u64;
            rig.schedule(offset_us, Due::Tick(index));
        }
        rig
    }

    fn schedule(&mut self, at_us: u64, due: Due) {
        self.next += 1;
        self.due.insert((at_us, self.next), due);
    }

    /// Advances the virtual time and handles all events that fall due.
    pub fn run(&mut self, duration_us: u64) {
        let end_us = self.now_us + duration_us;
        while let Some(entry) = self.due.first_entry() {
            let at_us = entry.key().0;
            if at_us > end_us {
                break;
            }
            let due = entry.remove();
            self.now_us = at_us;
            match due {
                Due::Tick(node) => {
                    if self.nodes[node].is_some() {
                        self.schedule(at_us + TICK_US, Due::Tick(node));
                    }
                    self.handle(node, Event::Tick);
                }
                Due::Deliver(node, event) => self.handle(node, event),
            }
        }
        self.now_us = end_us;
    }

    /// Removes a node abruptly, as a crash does.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node] = None;
    }

    /// Resets all counters.
    pub fn reset_counts(&mut self) {
        self.counts = Counts::default();
        self.messages_per_node.fill(0);
    }

    /// Returns the counters since the last reset.
    pub fn total_counts(&self) -> Counts {
        Counts {
            busiest_messages: self.messages_per_node.iter().copied().max().unwrap_or(0),
            ..self.counts
        }
    }

    /// Delivers an event to a node immediately.
    pub fn handle(&mut self, node: usize, event: Event) {
        let now_ms = self.now_us / 1_000;
        let Some(state) = self.nodes[node].as_mut() else {
            return;
        };
        let started = Instant::now();
        let actions = state.handle(now_ms, event);
        self.counts.busy += started.elapsed();
        let me = state.me();
        for action in actions {
            self.perform(node, me, action);
        }
    }

    fn perform(&mut self, node: usize, me: Member, action: Action) {
        match action {
            Action::Send { to, message } => {
                self.counts.messages += 1;
                self.messages_per_node[node] += 1;
                self.messages_per_node[usize::from(to.0)] += 1;
                if self.counts_bytes {
                    self.counts.message_bytes += message_bytes_of(me, &message);
                }
                let event = Event::Peer { from: me, message };
                self.schedule(self.now_us + HOP_US, Due::Deliver(usize::from(to.0), event));
            }
            Action::Append { stream, batch } => {
                let bytes = encode_batch(&batch).len() as u64;
                self.counts.appends += 1;
                self.counts.append_bytes += bytes;
                let records = self.log.entry(stream).or_default();
                let offset = records.len() as u64;
                let sequence = batch.sequence;
                records.push((offset, batch, bytes));
                let event = Event::Appended {
                    stream,
                    sequence,
                    offset: Some(offset),
                };
                self.schedule(self.now_us + APPEND_US, Due::Deliver(node, event));
            }
            Action::Read { stream, from } => self.read(node, stream, from),
            Action::Attempt {
                request, address, ..
            } => {
                let work_us = (self.work)(request, &address, self.now_us);
                let latency_ms = work_us / 1_000;
                let outcome = AttemptOutcome::Complete {
                    status: 200,
                    latency_ms,
                };
                let event = Event::AttemptEnded { request, outcome };
                self.schedule(
                    self.now_us + 2 * HOP_US + work_us,
                    Due::Deliver(node, event),
                );
            }
            Action::Answer { request, answer } => {
                self.answers.insert(request, (self.now_us, answer));
            }
            _ => {}
        }
    }

    fn read(&mut self, node: usize, stream: Stream, from: u64) {
        let records = self.log.entry(stream).or_default();
        let start = (from as usize).min(records.len());
        let bytes: u64 = records[start..].iter().map(|(_, _, bytes)| bytes).sum();
        let batches = records[start..].iter();
        let page = StreamPage {
            oldest: 0,
            next: records.len() as u64,
            is_end: true,
            batches: batches
                .map(|(offset, batch, _)| (*offset, Some(batch.clone())))
                .collect(),
        };
        self.counts.reads += 1;
        self.counts.read_bytes += bytes;
        let page = Some(page);
        self.schedule(
            self.now_us + HOP_US,
            Due::Deliver(node, Event::Read { stream, page }),
        );
    }

    /// Publishes an inventory and lists all its upstreams as live.
    pub fn publish(&mut self, sections: &Sections) {
        let changes = compare(&Sections::new(), sections);
        let change = ConfigChange {
            base: 0,
            id: "bench".into(),
            author: "bench".into(),
            changes: changes.into(),
        };
        self.handle(0, Event::Publish { request: 1, change });
        let names = sections.keys().filter(|(kind, _)| &**kind == "upstream");
        let hosts: Box<[PlatformHost]> = names
            .map(|(_, name)| PlatformHost {
                name: name.clone(),
                address: name.clone(),
                is_leaving: false,
            })
            .collect();
        for node in 0..self.nodes.len() {
            self.handle(node, Event::Hosts(hosts.clone()));
        }
    }

    /// Returns the number of cells that live nodes serve.
    pub fn count_served_cells(&mut self) -> usize {
        let nodes = self.nodes.iter_mut().flatten();
        nodes.map(|node| node.status().cells.len()).sum()
    }

    /// Sends a request to a node; its deadline is `timeout_ms` from now.
    pub fn send_request(&mut self, node: usize, request: u64, service: &str, timeout_ms: u64) {
        let request = Request {
            request,
            service: service.into(),
            identity: None,
            fingerprint: 0,
            is_idempotent: true,
            deadline_ms: self.now_us / 1_000 + timeout_ms,
        };
        self.handle(node, Event::Request(request));
    }
}

/// Returns the bytes of a message on the wire.
fn message_bytes_of(from: Member, message: &goldcrestway_core::Message) -> u64 {
    let envelope = Envelope {
        from,
        clock: u64::MAX / 3,
        message: message.clone(),
    };
    frame_length("spa", &envelope) as u64 + PACKET_BYTES
}
