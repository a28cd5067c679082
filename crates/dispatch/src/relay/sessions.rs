//! The owner's connections to relays, and the orders under way over them.

use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::OrderOutcome;
use crate::event::Reply;
use crate::event::WorkerCall;
use crate::record::HostRecord;
use crate::relay::Selection;
use crate::relay::frames::OutcomesFrame;
use crate::relay::peer::Peer;
use crate::relay::peer::Phase;
use crate::relay::queries::RemoteQuery;
use crate::relay::queries::RemoteRequester;
use crate::relay::queries::answer_row;
use crate::relay::queries::remote_query;
use crate::relay::rows::order_outcome;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use prost::Message;
use slotmap::SlotMap;
use slotmap::new_key_type;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::HashSet;

new_key_type! {
    struct RelayKey;
}

/// Time that an order may take over a relay beyond what the worker's answer may: two hops, and
/// the turn of a busy host.
const RELAY_OVERHEAD_MS: u64 = 150;
/// Pause before a relay that could not be reached, or gave no answer, is tried again. Hosts that
/// start together are there within a moment. It doubles so many times while it stays away, up to
/// 8 s: hosts that are gone for good stay on record.
const RETRY_MS: u64 = 250;
const MAX_DOUBLINGS: u32 = 5;
/// Pause after which a host to which nothing was to be said gets a sign of life.
pub(super) const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// Part of an owner's descriptors, one in so many, that its connections to other hosts may take.
/// The rest is for workers that it calls by itself, callers and the store.
const DESCRIPTORS_DIVISOR: u64 = 2;

/// An order to be carried by a relay.
#[derive(Debug)]
pub(crate) struct RelayedOrder<'a> {
    pub(crate) ticket: u64,
    pub(crate) address: &'a str,
    pub(crate) worker: &'a str,
    pub(crate) failure_domain: &'a str,
    pub(crate) call: &'a WorkerCall,
    pub(crate) timeout_ms: u64,
    /// Which of the worker's relays is to carry it.
    pub(crate) relay_index: usize,
}

/// How an order has ended.
#[derive(Debug)]
pub(crate) struct RelayedOutcome {
    /// Number by which the owner knows the order.
    pub(crate) ticket: u64,
    pub(crate) outcome: OrderOutcome,
}

/// An order under way.
#[derive(Debug, Clone, Copy)]
struct Flight {
    relay: RelayKey,
    sent_ms: u64,
    due_ms: u64,
}

/// All relays of one owner.
#[derive(Debug)]
pub(crate) struct Sessions {
    max_peers: usize,
    peers: SlotMap<RelayKey, Peer>,
    keys: HashMap<Box<str>, RelayKey>,
    conns: HashMap<ConnectionId, RelayKey>,
    flights: BTreeMap<u64, Flight>,
    /// When which of them is overdue.
    deadlines: BTreeSet<(u64, u64)>,
    /// Relays of each worker that an order was for, as of the relays that are there.
    selections: HashMap<Box<str>, Selection<RelayKey>>,
    /// Relays that take orders.
    usable_count: usize,
    /// How often the relays of a worker were selected anew.
    selection_count: u64,
    /// What other hosts have asked.
    remote_queries: Vec<RemoteQuery>,
}

impl Sessions {
    /// Makes the sessions of an owner with so many descriptors.
    pub(crate) fn new(descriptors: u64) -> Self {
        Self {
            max_peers: (descriptors / DESCRIPTORS_DIVISOR) as usize,
            peers: SlotMap::with_key(),
            keys: HashMap::new(),
            conns: HashMap::new(),
            flights: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            selections: HashMap::new(),
            usable_count: 0,
            selection_count: 0,
            remote_queries: Vec::new(),
        }
    }

    /// Takes in which hosts there are.
    pub(crate) fn update_hosts(&mut self, own: &str, hosts: &HashMap<Box<str>, HostRecord>) {
        let mut new = Vec::new();
        for (name, host) in hosts {
            if **name == *own || host.relay_address.is_empty() {
                continue;
            }
            let Some(key) = self.keys.get(name) else {
                new.push((name, &host.relay_address));
                continue;
            };
            let peer = &mut self.peers[*key];
            // A host that was replaced has another address; its old connection ends by itself.
            if *peer.address != *host.relay_address {
                peer.address = host.relay_address.as_str().into();
            }
        }
        // In the same order at each run, so that tests in virtual time repeat.
        new.sort_unstable();
        for (name, address) in new {
            if self.peers.len() < self.max_peers {
                let key = self.peers.insert(Peer::new(name, address));
                self.keys.insert(name.clone(), key);
            }
        }
    }

    /// Opens connections to relays that have none.
    pub(crate) fn connect(&mut self, now_ms: u64, tickets: &mut u64, actions: &mut Vec<Action>) {
        for (key, peer) in &mut self.peers {
            let Phase::Closed { retry_ms } = peer.phase else {
                continue;
            };
            if now_ms < retry_ms {
                continue;
            }
            *tickets += 1;
            let conn = ConnectionId(*tickets);
            peer.phase = Phase::Open { conn };
            peer.last_received_ms = now_ms;
            self.conns.insert(conn, key);
            actions.push(Action::OpenConnection {
                conn,
                address: peer.address.clone(),
            });
        }
    }

    /// Notes that a connection was made.
    pub(crate) fn handle_opened(&mut self, conn: ConnectionId, now_ms: u64) {
        let Some(key) = self.conns.get(&conn).copied() else {
            return;
        };
        let peer = &mut self.peers[key];
        if peer.is_connected {
            return;
        }
        peer.is_connected = true;
        peer.failures = 0;
        peer.last_received_ms = now_ms;
        self.add_usable(key);
    }

    /// Tells whether connections to relays are being made and none takes orders yet.
    pub(crate) fn are_all_opening(&self) -> bool {
        !self.conns.is_empty() && self.usable_count == 0
    }

    /// Tells how many relays take orders.
    pub(crate) fn usable_count(&self) -> usize {
        self.usable_count
    }

    /// Tells how often the relays of a worker were selected anew.
    pub(crate) fn selection_count(&self) -> u64 {
        self.selection_count
    }

    /// Forgets a worker that is gone.
    pub(crate) fn forget_worker(&mut self, worker: &str) {
        self.selections.remove(worker);
    }

    /// Has a relay that has connected take orders.
    fn add_usable(&mut self, key: RelayKey) {
        self.usable_count += 1;
        let name = &self.peers[key].name;
        for selection in self.selections.values_mut() {
            selection.add(key, name);
        }
    }

    /// Has a relay that took orders take none any more. Its workers select anew.
    fn remove_usable(&mut self, key: RelayKey) {
        if !self.peers[key].is_usable() {
            return;
        }
        self.usable_count -= 1;
        self.selections
            .retain(|_, selection| !selection.contains(key));
    }

    /// Gives an order to a relay of its worker, and gives the bytes that it takes; `None` if
    /// there is no relay, so that the order must go out directly.
    pub(crate) fn enqueue(&mut self, order: &RelayedOrder<'_>, now_ms: u64) -> Option<u64> {
        let key = self.choose_relay(order)?;
        let flight = Flight {
            relay: key,
            sent_ms: now_ms,
            due_ms: now_ms + order.timeout_ms + RELAY_OVERHEAD_MS,
        };
        self.flights.insert(order.ticket, flight);
        self.deadlines.insert((flight.due_ms, order.ticket));
        Some(self.peers[key].add_order(order) as u64)
    }

    /// Chooses the relay of an order: the one in its place, but for a start one that has the
    /// text already, unless the first one has just missed its worker.
    fn choose_relay(&mut self, order: &RelayedOrder<'_>) -> Option<RelayKey> {
        if !self.selections.contains_key(order.worker) {
            let usable = self.peers.iter().filter(|(_, peer)| peer.is_usable());
            let names = usable.map(|(key, peer)| (key, &*peer.name));
            let selection = Selection::new(order.worker, names);
            self.selection_count += 1;
            self.selections.insert(order.worker.into(), selection);
        }
        let selection = &self.selections[order.worker];
        if let WorkerCall::Start { task, .. } = order.call
            && order.relay_index == 0
        {
            for key in selection.iter() {
                if self.peers[key].texts.contains(&task.job) {
                    return Some(key);
                }
            }
        }
        selection.get(order.relay_index)
    }

    /// Takes what other hosts have asked.
    pub(crate) fn drain_queries(&mut self) -> Vec<RemoteQuery> {
        std::mem::take(&mut self.remote_queries)
    }

    /// Answers a host, if its connection is still there.
    pub(crate) fn answer(&mut self, requester: RemoteRequester, reply: &Reply) {
        if let Some(key) = self.conns.get(&requester.conn) {
            let row = answer_row(requester.ticket, reply);
            self.peers[*key].frame.answers.push(row);
        }
    }

    /// Sends what is to be said in this turn, and signs of life where nothing was for a while.
    pub(crate) fn flush(&mut self, token: u64, now_ms: u64, actions: &mut Vec<Action>) {
        for peer in self.peers.values_mut() {
            let Phase::Open { conn } = peer.phase else {
                continue;
            };
            let is_quiet = !peer.is_connected || now_ms < peer.last_sent_ms + HEARTBEAT_INTERVAL_MS;
            if peer.frame.is_empty() && is_quiet {
                continue;
            }
            peer.last_sent_ms = now_ms;
            peer.frame.token = token;
            let frame = std::mem::take(&mut peer.frame);
            actions.push(Action::SendFrame {
                conn,
                bytes: frame.encode_to_vec().into(),
            });
        }
    }

    /// Takes in what came of orders, if the link is one of these.
    pub(crate) fn handle_frame(
        &mut self,
        conn: ConnectionId,
        bytes: &[u8],
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) -> Vec<RelayedOutcome> {
        let Some(key) = self.conns.get(&conn).copied() else {
            return Vec::new();
        };
        let frame = match OutcomesFrame::decode(bytes) {
            Ok(frame) => frame,
            Err(error) => {
                let detail = format!("step=decode why={error}");
                let name = &*self.peers[key].name;
                actions.push(Action::Note(Note::new(Code::LinkRefused, name, detail)));
                return self.disconnect_peer(key, now_ms, actions);
            }
        };
        let peer = &mut self.peers[key];
        peer.last_received_ms = now_ms;
        if frame.is_leaving && !peer.is_leaving {
            self.remove_usable(key);
            self.peers[key].is_leaving = true;
        }
        for row in frame.queries {
            self.remote_queries.push(remote_query(conn, row));
        }
        let mut outcomes = Vec::with_capacity(frame.outcomes.len());
        for row in frame.outcomes {
            // An order that was given up already has had its end.
            if self.remove_flight(row.ticket).is_some() {
                outcomes.push(RelayedOutcome {
                    ticket: row.ticket,
                    outcome: order_outcome(row),
                });
            }
        }
        outcomes
    }

    /// Gives the ends of orders that went with a connection.
    pub(crate) fn handle_lost(
        &mut self,
        conn: ConnectionId,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) -> Vec<RelayedOutcome> {
        match self.conns.get(&conn).copied() {
            Some(key) => self.disconnect_peer(key, now_ms, actions),
            None => Vec::new(),
        }
    }

    /// Gives up orders that are overdue. A relay that has said nothing since one of them went
    /// out stands still or is cut off: the others that it has are given up with it, so that
    /// their workers are asked over other relays at once.
    pub(crate) fn expire(&mut self, now_ms: u64, actions: &mut Vec<Action>) -> Vec<RelayedOutcome> {
        let mut outcomes = Vec::new();
        let mut silent = BTreeSet::new();
        while let Some((due_ms, ticket)) = self.deadlines.first().copied()
            && due_ms <= now_ms
        {
            let Some(flight) = self.remove_flight(ticket) else {
                break;
            };
            outcomes.push(RelayedOutcome {
                ticket,
                outcome: OrderOutcome::Unknown,
            });
            if self.peers[flight.relay].last_received_ms <= flight.sent_ms {
                silent.insert(flight.relay);
            }
        }
        for key in silent {
            outcomes.extend(self.disconnect_peer(key, now_ms, actions));
        }
        outcomes
    }

    fn remove_flight(&mut self, ticket: u64) -> Option<Flight> {
        let flight = self.flights.remove(&ticket)?;
        self.deadlines.remove(&(flight.due_ms, ticket));
        Some(flight)
    }

    fn disconnect_peer(
        &mut self,
        key: RelayKey,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) -> Vec<RelayedOutcome> {
        self.remove_usable(key);
        let peer = &mut self.peers[key];
        let was_connected = peer.is_connected;
        let silent_ms = now_ms.saturating_sub(peer.last_received_ms);
        let unsent: HashSet<u64> = peer.frame.orders.iter().map(|row| row.ticket).collect();
        let retry_ms = RETRY_MS << peer.failures.min(MAX_DOUBLINGS);
        peer.failures += u32::from(!was_connected);
        if let Some(conn) = peer.close(now_ms + retry_ms) {
            self.conns.remove(&conn);
            actions.push(Action::CloseConnection { conn });
        }
        let mut outcomes = Vec::new();
        for (ticket, flight) in &self.flights {
            if flight.relay != key {
                continue;
            }
            let outcome = match unsent.contains(ticket) {
                true => OrderOutcome::NotSent,
                false => OrderOutcome::Unknown,
            };
            outcomes.push(RelayedOutcome {
                ticket: *ticket,
                outcome,
            });
        }
        for outcome in &outcomes {
            self.remove_flight(outcome.ticket);
        }
        if was_connected {
            actions.push(Action::Note(Note::new(
                Code::RelayLost,
                &*self.peers[key].name,
                format!("orders={} heard_age_ms={silent_ms}", outcomes.len()),
            )));
        }
        outcomes
    }

    /// Closes all connections, as the owner ends.
    pub(crate) fn close(&mut self, actions: &mut Vec<Action>) {
        for peer in self.peers.values_mut() {
            if let Some(conn) = peer.close(0) {
                actions.push(Action::CloseConnection { conn });
            }
        }
        self.conns.clear();
        self.flights.clear();
        self.deadlines.clear();
        self.selections.clear();
        self.usable_count = 0;
    }
}
