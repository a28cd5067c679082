//! The owner's side of the connections to relays, and the pending orders over them.

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

/// Time that an order may take over a relay beyond the timeout of the worker's answer: two hops,
/// and one turn of a busy host.
const RELAY_OVERHEAD_MS: u64 = 150;
/// Delay before the owner connects again to a relay that could not be reached or gave no answer.
/// Hosts that start together are reachable within a moment. The delay doubles with each failure, up
/// to 8 s: hosts that are gone forever stay on record.
const RETRY_MS: u64 = 250;
const MAX_DOUBLINGS: u32 = 5;
/// Time without a frame to a host after which it gets a heartbeat.
pub(super) const HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// The same for hosts that monitor the owner, if its heartbeats in the store have continued.
pub(super) const WATCHER_INTERVAL_MS: u64 = 200;
/// Divisor for the part of an owner's descriptors that its connections to other hosts may take. The
/// rest is for workers that it calls directly, for callers and for the store.
const DESCRIPTORS_DIVISOR: u64 = 2;

/// Returns how long the owner waits for the outcome of a relayed order, given the timeout of the
/// worker's answer.
pub(super) fn patience_ms(timeout_ms: u64) -> u64 {
    timeout_ms + RELAY_OVERHEAD_MS
}

/// An order for a relay to carry.
#[derive(Debug)]
pub(crate) struct RelayedOrder<'a> {
    pub(crate) ticket: u64,
    pub(crate) address: &'a str,
    pub(crate) worker: &'a str,
    pub(crate) failure_domain: &'a str,
    pub(crate) call: &'a WorkerCall,
    pub(crate) timeout_ms: u64,
    /// Position, among the worker's relays, of the relay that is to carry the order.
    pub(crate) relay_index: usize,
}

/// What each frame says of the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct OwnerHeartbeat {
    /// Offset after its newest stored record in the stream of states.
    pub(crate) stored_end: u64,
    /// It is shutting down.
    pub(crate) is_leaving: bool,
}

/// Outcome of a relayed order.
#[derive(Debug)]
pub(crate) struct RelayedOutcome {
    /// Number by which the owner knows the order.
    pub(crate) ticket: u64,
    pub(crate) outcome: OrderOutcome,
}

/// A pending order.
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
    /// Connections to former addresses of hosts.
    replaced: Vec<ConnectionId>,
    flights: BTreeMap<u64, Flight>,
    /// Deadlines of pending orders, with their tickets.
    deadlines: BTreeSet<(u64, u64)>,
    /// Selected relays of each worker that an order was for, among the relays that are usable now.
    selections: HashMap<Box<str>, Selection<RelayKey>>,
    /// Number of relays that accept orders.
    usable_count: usize,
    /// Number of times that the relays of a worker were selected anew.
    selection_count: u64,
    /// Queries of other hosts.
    remote_queries: Vec<RemoteQuery>,
}

impl Sessions {
    /// Creates the sessions of an owner with this number of descriptors.
    pub(crate) fn new(descriptors: u64) -> Self {
        Self {
            max_peers: (descriptors / DESCRIPTORS_DIVISOR) as usize,
            peers: SlotMap::with_key(),
            keys: HashMap::new(),
            conns: HashMap::new(),
            replaced: Vec::new(),
            flights: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            selections: HashMap::new(),
            usable_count: 0,
            selection_count: 0,
            remote_queries: Vec::new(),
        }
    }

    /// Updates the hosts that may be relays.
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
            if *peer.address == *host.relay_address {
                continue;
            }
            peer.address = host.relay_address.as_str().into();
            // The host was replaced. If it lost power, its old connection never closes by itself.
            if let Phase::Open { conn } = peer.phase {
                self.replaced.push(conn);
            }
        }
        // The order is the same in each run, so that tests in virtual time are reproducible.
        new.sort_unstable();
        for (name, address) in new {
            if self.peers.len() < self.max_peers {
                let key = self.peers.insert(Peer::new(name, address));
                self.keys.insert(name.clone(), key);
            }
        }
    }

    /// Updates which hosts monitor the owner.
    pub(crate) fn update_watchers(&mut self, watchers: &HashSet<&str>) {
        for peer in self.peers.values_mut() {
            peer.is_watcher = watchers.contains(&*peer.name);
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

    /// Handles a connection that was established.
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
    }

    /// Returns whether connections to relays are being opened and no relay accepts orders yet.
    pub(crate) fn are_all_opening(&self) -> bool {
        !self.conns.is_empty() && self.usable_count == 0
    }

    /// Returns the number of relays that accept orders.
    pub(crate) fn usable_count(&self) -> usize {
        self.usable_count
    }

    /// Returns the number of times that the relays of a worker were selected anew.
    pub(crate) fn selection_count(&self) -> u64 {
        self.selection_count
    }

    /// Drops the selection of a removed worker.
    pub(crate) fn forget_worker(&mut self, worker: &str) {
        self.selections.remove(worker);
    }

    /// Adds a relay that has connected to the usable ones, and to the selections of workers.
    fn add_usable(&mut self, key: RelayKey) {
        self.usable_count += 1;
        let name = &self.peers[key].name;
        for selection in self.selections.values_mut() {
            selection.add(key, name);
        }
    }

    /// Removes a relay from the usable ones. The relays of its workers are selected anew.
    fn remove_usable(&mut self, key: RelayKey) {
        if !self.peers[key].is_usable() {
            return;
        }
        self.usable_count -= 1;
        self.selections
            .retain(|_, selection| !selection.contains(key));
    }

    /// Enqueues an order at a relay of its worker, and returns its size in bytes. Returns `None` if
    /// there is no relay, so that the order must be sent directly.
    pub(crate) fn enqueue(&mut self, order: &RelayedOrder<'_>, now_ms: u64) -> Option<u64> {
        let key = self.choose_relay(order)?;
        let flight = Flight {
            relay: key,
            sent_ms: now_ms,
            due_ms: now_ms + patience_ms(order.timeout_ms),
        };
        self.flights.insert(order.ticket, flight);
        self.deadlines.insert((flight.due_ms, order.ticket));
        Some(self.peers[key].add_order(order) as u64)
    }

    /// Returns the name of the relay that carries a pending order; `None` if it was sent directly.
    pub(crate) fn carrier(&self, ticket: u64) -> Option<&str> {
        let flight = self.flights.get(&ticket)?;
        Some(&self.peers[flight.relay].name)
    }

    /// Chooses the relay of an order: the one at its position. An order to start goes to a selected
    /// relay that has the text of the job already, unless the worker's first relay has just failed
    /// to reach the worker.
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

    /// Removes and returns the queries of other hosts.
    pub(crate) fn drain_queries(&mut self) -> Vec<RemoteQuery> {
        std::mem::take(&mut self.remote_queries)
    }

    /// Answers a host, if its connection still exists.
    pub(crate) fn answer(&mut self, requester: RemoteRequester, reply: &Reply) {
        if let Some(key) = self.conns.get(&requester.conn) {
            let row = answer_row(requester.ticket, reply);
            self.peers[*key].frame.answers.push(row);
        }
    }

    /// Sends the frames of this turn, and heartbeats to hosts that got no frame for a while.
    pub(crate) fn flush(
        &mut self,
        token: u64,
        heartbeat: OwnerHeartbeat,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        for peer in self.peers.values_mut() {
            let Phase::Open { conn } = peer.phase else {
                continue;
            };
            if peer.frame.is_empty() && !peer.is_heartbeat_due(heartbeat, now_ms) {
                continue;
            }
            peer.last_sent_ms = now_ms;
            peer.sent_heartbeat = heartbeat;
            peer.frame.token = token;
            peer.frame.stored_end = heartbeat.stored_end;
            peer.frame.is_leaving = heartbeat.is_leaving;
            peer.frame.sent_clock_ms = peer.clock.estimate_ms(now_ms);
            let frame = std::mem::take(&mut peer.frame);
            actions.push(Action::SendFrame {
                conn,
                bytes: frame.encode_to_vec().into(),
            });
        }
    }

    /// Handles a frame of a relay and returns the outcomes in it. Returns none if the connection is
    /// not to a relay.
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
        let was_usable = peer.is_usable();
        if let Some(clock_ms) = frame.clock_ms {
            peer.clock.record(clock_ms, now_ms);
        }
        if peer.is_usable() && !was_usable {
            self.add_usable(key);
        }
        let peer = &mut self.peers[key];
        if frame.is_leaving && !peer.is_leaving {
            self.remove_usable(key);
            self.peers[key].is_leaving = true;
        }
        for row in frame.queries {
            self.remote_queries.push(remote_query(conn, row));
        }
        let mut outcomes = Vec::with_capacity(frame.outcomes.len());
        for row in frame.outcomes {
            // The outcome of an order that has timed out was returned already.
            if self.remove_flight(row.ticket).is_some() {
                outcomes.push(RelayedOutcome {
                    ticket: row.ticket,
                    outcome: order_outcome(row),
                });
            }
        }
        outcomes
    }

    /// Drops a lost connection and returns the outcomes of its pending orders.
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

    /// Times out orders that are overdue. A relay that has sent nothing since one of them was sent
    /// hangs or is partitioned: all its other orders time out as well, so that their workers are
    /// called over other relays at once. The same holds for a relay whose address has changed.
    pub(crate) fn expire(&mut self, now_ms: u64, actions: &mut Vec<Action>) -> Vec<RelayedOutcome> {
        let mut outcomes = Vec::new();
        let mut silent = BTreeSet::new();
        for conn in std::mem::take(&mut self.replaced) {
            silent.extend(self.conns.get(&conn).copied());
        }
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
        self.replaced.clear();
        self.flights.clear();
        self.deadlines.clear();
        self.selections.clear();
        self.usable_count = 0;
    }
}
