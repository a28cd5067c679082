//! A pool of HTTP/1.1 connections to peers, kept open between calls.

use crate::buffer::Outbox;
use crate::buffer::StreamState;
use crate::buffer::read_available;
use crate::calls::Call;
use crate::calls::CallFault;
use crate::event_loop::Arrival;
use crate::event_loop::Clock;
use crate::event_loop::Registrar;
use crate::event_loop::TokenKind;
use crate::parse::Parsed;
use crate::parse::Response;
use crate::parse::parse_response;
use mio::Interest;
use mio::net::TcpStream;
use slotmap::Key;
use slotmap::KeyData;
use slotmap::SlotMap;
use slotmap::new_key_type;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;

new_key_type! {
    /// Key of a pooled connection.
    struct PooledKey;
}

/// Default maximum number of connections to one peer. A long poll occupies one of them for
/// seconds, and the others carry short calls. Each further connection is costly for the peer.
const DEFAULT_MAX_CONNECTIONS: usize = 4;
/// Time within which a connection must be established. Peers answer within milliseconds; after
/// a slower attempt the call is reported as not sent.
const CONNECT_TIMEOUT_MS: u64 = 700;

/// Time after which an idle connection is closed. Connections opened for a burst of calls would
/// otherwise stay open indefinitely and occupy descriptors that other peers need.
const IDLE_TIMEOUT_MS: u64 = 60_000;

/// A call that waits for a connection.
struct QueuedCall {
    call: Call,
    deadline_ms: u64,
    /// Time until which it may be sent.
    send_by_ms: u64,
}

/// One connection to a peer, with at most one call in flight.
struct PooledConnection {
    stream: TcpStream,
    peer: SocketAddr,
    is_connected: bool,
    opened_ms: u64,
    /// Time at which bytes were last received, or the connection was established.
    last_received_ms: u64,
    outbox: Outbox,
    inbox: Vec<u8>,
    call: Option<Flight>,
}

/// The call in flight on a connection.
struct Flight {
    number: u64,
    sent_ms: u64,
    /// Time until which it may be written if the connection is still being opened.
    send_by_ms: u64,
    /// Time at which the call is abandoned. Moves with each received byte if `stall_ms` is set.
    deadline_ms: u64,
    stall_ms: Option<u64>,
}

impl PooledConnection {
    /// Returns whether bytes of its call are left to be written that must not be written any more,
    /// as nobody waits for the answer. This process may have been paused meanwhile, and the peer
    /// would carry out what was given up.
    fn is_write_overdue(&self, clock: Clock) -> bool {
        let Some(call) = &self.call else {
            return false;
        };
        let write_by_ms = match self.is_connected {
            true => call.deadline_ms,
            false => call.send_by_ms,
        };
        !self.outbox.is_empty() && clock.now_ms >= write_by_ms
    }

    /// Records that bytes were received, and extends the deadline of a call with a stall limit.
    fn record_progress(&mut self, clock: Clock) {
        self.last_received_ms = clock.now_ms;
        if let Some(call) = &mut self.call
            && let Some(stall_ms) = call.stall_ms
        {
            call.deadline_ms = clock.now_ms + stall_ms;
        }
    }
}

/// Connections and queued calls of one peer.
#[derive(Default)]
struct Peer {
    idle: Vec<PooledKey>,
    open_count: usize,
    queue: VecDeque<QueuedCall>,
}

/// All connections to peers.
#[derive(Default)]
pub(crate) struct Pool {
    conns: SlotMap<PooledKey, PooledConnection>,
    peers: HashMap<SocketAddr, Peer>,
    /// Limits that differ from [`DEFAULT_MAX_CONNECTIONS`]. They are not part of [`Peer`], which
    /// is removed with its last connection: a reset of all connections to the store would bring
    /// its limit back to four, and reads would wait for seconds behind long polls.
    max_connections: HashMap<SocketAddr, usize>,
}

impl Pool {
    /// Sets the maximum number of connections to a peer.
    pub(crate) fn set_max_connections(&mut self, peer: SocketAddr, max_connections: usize) {
        self.max_connections.insert(peer, max_connections);
    }

    /// Sends a call as soon as a connection is available.
    pub(crate) fn call(&mut self, call: Call, clock: Clock, registrar: &Registrar) {
        let deadline_ms = clock.now_ms + call.timeout_ms;
        let max_queue_ms = call.max_queue_ms.unwrap_or(call.timeout_ms);
        let send_by_ms = deadline_ms.min(clock.now_ms + max_queue_ms);
        let peer = call.peer;
        let entry = self.peers.entry(peer).or_default();
        entry.queue.push_back(QueuedCall {
            call,
            deadline_ms,
            send_by_ms,
        });
        self.send_queued(peer, clock, registrar);
    }

    /// Assigns queued calls to idle or new connections.
    fn send_queued(&mut self, peer: SocketAddr, clock: Clock, registrar: &Registrar) {
        let max_conns = self.max_connections.get(&peer).copied();
        let max_conns = max_conns.unwrap_or(DEFAULT_MAX_CONNECTIONS);
        loop {
            let Some(entry) = self.peers.get_mut(&peer) else {
                return;
            };
            let mut queue = entry.queue.iter();
            let Some(index) = queue.position(|queued| clock.now_ms < queued.send_by_ms) else {
                // What is left is reported as not sent when it expires.
                return;
            };
            let key = match entry.idle.pop() {
                Some(key) => key,
                None if entry.open_count < max_conns => match self.open(peer, clock, registrar) {
                    Some(key) => key,
                    None => return,
                },
                None => return,
            };
            let Some(entry) = self.peers.get_mut(&peer) else {
                return;
            };
            let Some(queued) = entry.queue.remove(index) else {
                return;
            };
            let conn = &mut self.conns[key];
            conn.call = Some(Flight {
                number: queued.call.number,
                sent_ms: clock.now_ms,
                send_by_ms: queued.send_by_ms,
                deadline_ms: queued.deadline_ms,
                stall_ms: queued.call.stall_ms,
            });
            conn.outbox.add(&queued.call.bytes);
            if conn.is_connected {
                // A failed write is detected as a closed stream at the next event.
                let _ = conn.outbox.flush(&mut conn.stream);
            }
        }
    }

    /// Starts to open a connection. Returns `None` if the system refuses a socket.
    fn open(&mut self, peer: SocketAddr, clock: Clock, registrar: &Registrar) -> Option<PooledKey> {
        // Without a free descriptor the call stays queued until its timeout.
        let stream = TcpStream::connect(peer).ok()?;
        // Without this option small writes are delayed by up to 40 ms; a failure to set it
        // only makes calls slower.
        let _ = stream.set_nodelay(true);
        let key = self.conns.insert(PooledConnection {
            stream,
            peer,
            is_connected: false,
            opened_ms: clock.now_ms,
            last_received_ms: clock.now_ms,
            outbox: Outbox::default(),
            inbox: Vec::new(),
            call: None,
        });
        let token = TokenKind::Pooled.token(key.data().as_ffi());
        let conn = &mut self.conns[key];
        if registrar
            .register(
                &mut conn.stream,
                token,
                Interest::READABLE | Interest::WRITABLE,
            )
            .is_err()
        {
            self.conns.remove(key);
            return None;
        }
        self.peers.entry(peer).or_default().open_count += 1;
        Some(key)
    }

    /// Handles a readiness event of the connection whose key has the bits `raw_key`.
    pub(crate) fn handle(
        &mut self,
        raw_key: u64,
        clock: Clock,
        registrar: &Registrar,
        arrivals: &mut Vec<Arrival>,
    ) {
        let key = PooledKey::from(KeyData::from_ffi(raw_key));
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        if conn.is_write_overdue(clock) {
            return self.close_overdue(key, arrivals);
        }
        if !conn.is_connected {
            if conn.stream.take_error().ok().flatten().is_some() {
                self.close(key, arrivals);
                return;
            }
            if conn.stream.peer_addr().is_err() {
                return;
            }
            conn.is_connected = true;
            conn.last_received_ms = clock.now_ms;
        }
        let previous_length = conn.inbox.len();
        let is_open = conn.outbox.flush(&mut conn.stream).is_ok()
            && read_available(&mut conn.stream, &mut conn.inbox)
                .is_ok_and(|state| state == StreamState::Open);
        if conn.inbox.len() > previous_length {
            conn.record_progress(clock);
        }
        match parse_response(&conn.inbox, !is_open) {
            Parsed::Whole(response, used, is_last) if conn.call.is_some() => {
                conn.inbox.drain(..used);
                self.finish(key, response, is_open && !is_last, arrivals);
            }
            Parsed::Partial if is_open => {}
            _ => self.close(key, arrivals),
        }
        let peer = self.conns.get(key).map(|conn| conn.peer);
        if let Some(peer) = peer {
            self.send_queued(peer, clock, registrar);
        }
    }

    /// Reports the answer to the call in flight, and returns the connection to the pool or closes
    /// it.
    fn finish(
        &mut self,
        key: PooledKey,
        response: Response,
        is_reusable: bool,
        arrivals: &mut Vec<Arrival>,
    ) {
        let conn = &mut self.conns[key];
        let peer = conn.peer;
        if let Some(call) = conn.call.take() {
            arrivals.push(Arrival::Answer {
                number: call.number,
                answer: Ok(response),
            });
        }
        if is_reusable {
            self.peers.entry(peer).or_default().idle.push(key);
        } else {
            self.close(key, arrivals);
        }
    }

    /// Closes a connection. A call in flight on it ends with a fault.
    fn close(&mut self, key: PooledKey, arrivals: &mut Vec<Arrival>) {
        let Some(conn) = self.conns.remove(key) else {
            return;
        };
        if let Some(entry) = self.peers.get_mut(&conn.peer) {
            entry.open_count -= 1;
            entry.idle.retain(|other| *other != key);
        }
        if let Some(call) = conn.call {
            let fault = match conn.is_connected {
                true => CallFault::Unknown(conn.peer),
                false => CallFault::NotSent(conn.peer),
            };
            arrivals.push(Arrival::Answer {
                number: call.number,
                answer: Err(fault),
            });
        }
    }

    /// Closes a connection whose call or connection attempt is overdue.
    ///
    /// If nothing was received on it since the call was sent, the path to the peer may have
    /// failed without a reset. Other connections may be affected: idle ones that have not
    /// received anything since then are closed as well, so that the next call does not time out
    /// on one of them.
    fn close_overdue(&mut self, key: PooledKey, arrivals: &mut Vec<Arrival>) {
        let Some(conn) = self.conns.get(key) else {
            return;
        };
        let call = conn.call.as_ref();
        let silent_since_ms = call.map(|call| call.sent_ms);
        let is_silent = silent_since_ms.is_some_and(|since_ms| conn.last_received_ms <= since_ms);
        let peer = conn.peer;
        self.close(key, arrivals);
        let (Some(since_ms), true) = (silent_since_ms, is_silent) else {
            return;
        };
        let idle = self.peers.get(&peer).map(|entry| entry.idle.clone());
        for key in idle.unwrap_or_default() {
            if self.conns[key].last_received_ms <= since_ms {
                self.close(key, arrivals);
            }
        }
    }

    /// Closes overdue and idle connections, drops queued calls that may no longer be sent, and sends
    /// queued calls for which a connection is available.
    pub(crate) fn expire(
        &mut self,
        clock: Clock,
        registrar: &Registrar,
        arrivals: &mut Vec<Arrival>,
    ) {
        let mut overdue = Vec::new();
        let mut idle = Vec::new();
        for (key, conn) in &self.conns {
            let is_connect_overdue =
                !conn.is_connected && clock.now_ms > conn.opened_ms + CONNECT_TIMEOUT_MS;
            let call = conn.call.as_ref();
            let is_call_overdue = call.is_some_and(|call| clock.now_ms >= call.deadline_ms);
            if is_connect_overdue || is_call_overdue {
                overdue.push(key);
            }
            if call.is_none() && clock.now_ms > conn.last_received_ms + IDLE_TIMEOUT_MS {
                idle.push(key);
            }
        }
        for key in idle {
            self.close(key, arrivals);
        }
        for key in overdue {
            self.close_overdue(key, arrivals);
        }
        let mut peers_with_queue = Vec::new();
        for (peer, entry) in &mut self.peers {
            entry.queue.retain(|queued| {
                let may_be_sent = clock.now_ms < queued.send_by_ms;
                if !may_be_sent {
                    arrivals.push(Arrival::Answer {
                        number: queued.call.number,
                        answer: Err(CallFault::NotSent(*peer)),
                    });
                }
                may_be_sent
            });
            if !entry.queue.is_empty() {
                peers_with_queue.push(*peer);
            }
        }
        for peer in peers_with_queue {
            self.send_queued(peer, clock, registrar);
        }
        self.peers
            .retain(|_, entry| entry.open_count > 0 || !entry.queue.is_empty());
    }

    /// Closes the connections to a peer. Calls in flight on them end with a fault.
    pub(crate) fn disconnect(&mut self, peer: SocketAddr, arrivals: &mut Vec<Arrival>) {
        let mut keys = Vec::new();
        for (key, conn) in &self.conns {
            if conn.peer == peer {
                keys.push(key);
            }
        }
        for key in keys {
            self.close(key, arrivals);
        }
    }

    /// Returns the earliest time at which a call or connection attempt is overdue.
    pub(crate) fn next_expiry_ms(&self) -> Option<u64> {
        let expiries = self.conns.values().filter_map(|conn| {
            let call = conn.call.as_ref().map(|call| call.deadline_ms);
            let connect = (!conn.is_connected).then_some(conn.opened_ms + CONNECT_TIMEOUT_MS + 1);
            match (call, connect) {
                (Some(call), Some(connect)) => Some(call.min(connect)),
                (call, connect) => call.or(connect),
            }
        });
        expiries.min()
    }
}
