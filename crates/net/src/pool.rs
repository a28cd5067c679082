//! Connections to peers, kept open between calls.

use crate::buffer::Flow;
use crate::buffer::Outbox;
use crate::buffer::read_all;
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
    struct LineKey;
}

/// Connections to one peer at most, where nothing else is said. A long poll holds one of
/// them for seconds, and the others carry short calls; each new one is dear at the peer.
const LINES_PER_PEER: usize = 4;
/// Time in which a connection must be made. Peers are milliseconds away; one that
/// takes longer is cut off, and the call can be told as not sent.
const CONNECT_MOST_MS: u64 = 700;

/// Time after which a connection that carries no call is closed. Connections that a burst has
/// opened would otherwise stay for good, and take the descriptors of the next peers.
const IDLE_MOST_MS: u64 = 60_000;

struct Pending {
    call: Call,
    give_up_ms: u64,
}

struct Line {
    stream: TcpStream,
    peer: SocketAddr,
    is_connected: bool,
    opened_ms: u64,
    /// When something last came from the peer.
    heard_ms: u64,
    outbox: Outbox,
    inbox: Vec<u8>,
    call: Option<Flight>,
}

/// The call in flight on a connection.
struct Flight {
    number: u64,
    sent_ms: u64,
    /// When it is given up, unless more of its answer comes.
    give_up_ms: u64,
    stall_ms: Option<u64>,
}

impl Line {
    /// Notes that bytes came, and awaits the rest of an answer that comes in pieces.
    fn note_progress(&mut self, clock: Clock) {
        self.heard_ms = clock.now_ms;
        if let Some(call) = &mut self.call
            && let Some(stall_ms) = call.stall_ms
        {
            call.give_up_ms = clock.now_ms + stall_ms;
        }
    }
}

#[derive(Default)]
struct Peer {
    idle: Vec<LineKey>,
    lines: usize,
    queue: VecDeque<Pending>,
}

/// All connections to peers.
#[derive(Default)]
pub(crate) struct Pool {
    lines: SlotMap<LineKey, Line>,
    peers: HashMap<SocketAddr, Peer>,
    /// Peers that may have another number of connections. Kept apart from what is known of
    /// a peer, which goes with its last connection: when all of them had been reset, the
    /// store was back at four, and reads waited for seconds behind long polls.
    lines_most: HashMap<SocketAddr, usize>,
}

impl Pool {
    /// Allows more connections to a peer that answers several long polls at once.
    pub(crate) fn allow_lines(&mut self, peer: SocketAddr, lines_most: usize) {
        self.lines_most.insert(peer, lines_most);
    }

    /// Sends a call as soon as a connection is free.
    pub(crate) fn call(&mut self, call: Call, clock: Clock, registrar: &Registrar) {
        let give_up_ms = clock.now_ms + call.timeout_ms;
        let peer = call.peer;
        let entry = self.peers.entry(peer).or_default();
        entry.queue.push_back(Pending { call, give_up_ms });
        self.serve(peer, clock, registrar);
    }

    /// Puts waiting calls on free or new connections.
    fn serve(&mut self, peer: SocketAddr, clock: Clock, registrar: &Registrar) {
        let lines_most = self.lines_most.get(&peer).copied();
        let lines_most = lines_most.unwrap_or(LINES_PER_PEER);
        loop {
            let Some(entry) = self.peers.get_mut(&peer) else {
                return;
            };
            if entry.queue.is_empty() {
                return;
            }
            let key = match entry.idle.pop() {
                Some(key) => key,
                None if entry.lines < lines_most => match self.open(peer, clock, registrar) {
                    Some(key) => key,
                    None => return,
                },
                None => return,
            };
            let Some(entry) = self.peers.get_mut(&peer) else {
                return;
            };
            let Some(pending) = entry.queue.pop_front() else {
                return;
            };
            let line = &mut self.lines[key];
            line.call = Some(Flight {
                number: pending.call.number,
                sent_ms: clock.now_ms,
                give_up_ms: pending.give_up_ms,
                stall_ms: pending.call.stall_ms,
            });
            line.outbox.add(&pending.call.bytes);
            if line.is_connected {
                // A failed write shows as an end of the stream at the next event.
                let _ = line.outbox.flush(&mut line.stream);
            }
        }
    }

    fn open(&mut self, peer: SocketAddr, clock: Clock, registrar: &Registrar) -> Option<LineKey> {
        // Running out of descriptors leaves the call queued until its time-out.
        let stream = TcpStream::connect(peer).ok()?;
        // The option spares 40 ms on small writes; without it calls are only slower.
        let _ = stream.set_nodelay(true);
        let key = self.lines.insert(Line {
            stream,
            peer,
            is_connected: false,
            opened_ms: clock.now_ms,
            heard_ms: clock.now_ms,
            outbox: Outbox::default(),
            inbox: Vec::new(),
            call: None,
        });
        let token = TokenKind::Line.token(key.data().as_ffi());
        let line = &mut self.lines[key];
        if registrar
            .register(
                &mut line.stream,
                token,
                Interest::READABLE | Interest::WRITABLE,
            )
            .is_err()
        {
            self.lines.remove(key);
            return None;
        }
        self.peers.entry(peer).or_default().lines += 1;
        Some(key)
    }

    /// Handles an event of the connection with the given number.
    pub(crate) fn handle(
        &mut self,
        number: u64,
        clock: Clock,
        registrar: &Registrar,
        arrivals: &mut Vec<Arrival>,
    ) {
        let key = LineKey::from(KeyData::from_ffi(number));
        let Some(line) = self.lines.get_mut(key) else {
            return;
        };
        if !line.is_connected {
            if line.stream.take_error().ok().flatten().is_some() {
                self.close(key, arrivals);
                return;
            }
            if line.stream.peer_addr().is_err() {
                return;
            }
            line.is_connected = true;
            line.heard_ms = clock.now_ms;
        }
        let received = line.inbox.len();
        let is_open = line.outbox.flush(&mut line.stream).is_ok()
            && read_all(&mut line.stream, &mut line.inbox).is_ok_and(|flow| flow == Flow::Open);
        if line.inbox.len() > received {
            line.note_progress(clock);
        }
        match parse_response(&line.inbox, !is_open) {
            Parsed::Whole(response, used, is_last) if line.call.is_some() => {
                line.inbox.drain(..used);
                self.finish(key, response, is_open && !is_last, arrivals);
            }
            Parsed::Partial if is_open => {}
            _ => self.close(key, arrivals),
        }
        let peer = self.lines.get(key).map(|line| line.peer);
        if let Some(peer) = peer {
            self.serve(peer, clock, registrar);
        }
    }

    fn finish(
        &mut self,
        key: LineKey,
        response: Response,
        stays: bool,
        arrivals: &mut Vec<Arrival>,
    ) {
        let line = &mut self.lines[key];
        let peer = line.peer;
        if let Some(call) = line.call.take() {
            arrivals.push(Arrival::Answer {
                number: call.number,
                answer: Ok(response),
            });
        }
        if stays {
            self.peers.entry(peer).or_default().idle.push(key);
        } else {
            self.close(key, arrivals);
        }
    }

    /// Drops a connection; a call on it has no answer.
    fn close(&mut self, key: LineKey, arrivals: &mut Vec<Arrival>) {
        let Some(line) = self.lines.remove(key) else {
            return;
        };
        if let Some(entry) = self.peers.get_mut(&line.peer) {
            entry.lines -= 1;
            entry.idle.retain(|other| *other != key);
        }
        if let Some(call) = line.call {
            let fault = match line.is_connected {
                true => CallFault::Unknown(line.peer),
                false => CallFault::NotSent(line.peer),
            };
            arrivals.push(Arrival::Answer {
                number: call.number,
                answer: Err(fault),
            });
        }
    }

    /// Drops a connection whose call is overdue. If the peer has said nothing on it since the
    /// call, it may have gone silent without a reset, and others with it: idle connections
    /// that were not heard of since go, too, so that the next call does not wait in vain on
    /// one of them.
    fn close_with_idle(&mut self, key: LineKey, arrivals: &mut Vec<Arrival>) {
        let Some(line) = self.lines.get(key) else {
            return;
        };
        let call = line.call.as_ref();
        let silent_since_ms = call.map(|call| call.sent_ms);
        let is_silent = silent_since_ms.is_some_and(|since_ms| line.heard_ms <= since_ms);
        let peer = line.peer;
        self.close(key, arrivals);
        let (Some(since_ms), true) = (silent_since_ms, is_silent) else {
            return;
        };
        let idle = self.peers.get(&peer).map(|entry| entry.idle.clone());
        for key in idle.unwrap_or_default() {
            if self.lines[key].heard_ms <= since_ms {
                self.close(key, arrivals);
            }
        }
    }

    /// Gives up what is overdue and sends what waits for a connection.
    pub(crate) fn expire(
        &mut self,
        clock: Clock,
        registrar: &Registrar,
        arrivals: &mut Vec<Arrival>,
    ) {
        let mut overdue = Vec::new();
        let mut idle = Vec::new();
        for (key, line) in &self.lines {
            let connects_late =
                !line.is_connected && clock.now_ms > line.opened_ms + CONNECT_MOST_MS;
            let call = line.call.as_ref();
            let is_late = call.is_some_and(|call| clock.now_ms >= call.give_up_ms);
            if connects_late || is_late {
                overdue.push(key);
            }
            if call.is_none() && clock.now_ms > line.heard_ms + IDLE_MOST_MS {
                idle.push(key);
            }
        }
        for key in idle {
            self.close(key, arrivals);
        }
        for key in overdue {
            self.close_with_idle(key, arrivals);
        }
        let mut waiting = Vec::new();
        for (peer, entry) in &mut self.peers {
            entry.queue.retain(|pending| {
                let stays = clock.now_ms < pending.give_up_ms;
                if !stays {
                    arrivals.push(Arrival::Answer {
                        number: pending.call.number,
                        answer: Err(CallFault::NotSent(*peer)),
                    });
                }
                stays
            });
            if !entry.queue.is_empty() {
                waiting.push(*peer);
            }
        }
        for peer in waiting {
            self.serve(peer, clock, registrar);
        }
        self.peers
            .retain(|_, entry| entry.lines > 0 || !entry.queue.is_empty());
    }

    /// Closes the connections to a peer that is gone and gives up calls to it.
    pub(crate) fn forget(&mut self, peer: SocketAddr, arrivals: &mut Vec<Arrival>) {
        let mut keys = Vec::new();
        for (key, line) in &self.lines {
            if line.peer == peer {
                keys.push(key);
            }
        }
        for key in keys {
            self.close(key, arrivals);
        }
    }

    /// Gives the time by which something may be overdue.
    pub(crate) fn next_expiry_ms(&self) -> Option<u64> {
        let lines = self.lines.values().filter_map(|line| {
            let call = line.call.as_ref().map(|call| call.give_up_ms);
            let connect = (!line.is_connected).then_some(line.opened_ms + CONNECT_MOST_MS + 1);
            match (call, connect) {
                (Some(call), Some(connect)) => Some(call.min(connect)),
                (call, connect) => call.or(connect),
            }
        });
        lines.min()
    }
}
