//! The event loop: polls all sockets and returns what arrived on them.

use crate::callers::Callers;
use crate::calls::Call;
use crate::calls::CallFault;
use crate::frames::Connections;
use crate::parse::CallerLimits;
use crate::parse::Request;
use crate::parse::Response;
use crate::pool::Pool;
use mio::Events;
use mio::Interest;
use mio::Poll;
use mio::Token;
use mio::event::Source;
use mio::net::TcpListener;
use slotmap::Key;
use slotmap::KeyData;
use slotmap::SlotMap;
use slotmap::new_key_type;
use std::collections::HashSet;
use std::io;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

new_key_type! {
    /// Key of a connection from a caller.
    pub struct CallerKey;
    /// Key of a listening socket.
    pub struct ListenerKey;
    /// Key of a frame connection with another process of this system.
    pub struct ConnectionKey;
}

/// Interval between checks for callers and frame connections that have exceeded a timeout. The
/// timeouts are seconds, or 700 ms for a connection attempt.
const EXPIRY_CHECK_INTERVAL_MS: u64 = 200;
/// Maximum number of events returned by one poll.
const MAX_EVENTS: usize = 256;

/// A reading of the loop's clock.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    /// Milliseconds since the loop was created.
    pub(crate) now_ms: u64,
}

/// Kind of socket that a token refers to, stored in the two lowest bits of the token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TokenKind {
    Listener,
    Caller,
    Pooled,
    Framed,
}

impl TokenKind {
    /// Returns the token of a key.
    ///
    /// A key has 32 bits of index and 32 bits of version, of which 30 are kept. A version
    /// repeats only after a billion connections.
    pub(crate) fn token(self, key: u64) -> Token {
        Token(((key << 2) | self as u64) as usize)
    }

    /// Returns the kind of socket and the bits of its key.
    fn from_token(token: Token) -> (Self, u64) {
        let bits = token.0 as u64;
        let kind = match bits & 3 {
            0 => TokenKind::Listener,
            1 => TokenKind::Caller,
            2 => TokenKind::Pooled,
            _ => TokenKind::Framed,
        };
        (kind, bits >> 2)
    }
}

/// Registers sockets with the event queue.
pub(crate) struct Registrar(mio::Registry);

impl Registrar {
    pub(crate) fn register(
        &self,
        source: &mut impl Source,
        token: Token,
        interest: Interest,
    ) -> io::Result<()> {
        self.0.register(source, token, interest)
    }
}

/// An event that [`Net::wait`] returns.
#[derive(Debug)]
#[expect(
    missing_docs,
    reason = "The comment of each variant covers its fields."
)]
pub enum Arrival {
    /// A caller has sent a complete request and awaits one answer.
    Request {
        caller: CallerKey,
        listener: ListenerKey,
        request: Request,
    },
    /// A caller has disconnected before its request was answered.
    CallerDisconnected { caller: CallerKey },
    /// A call was answered or has failed.
    Answer {
        number: u64,
        answer: Result<Response, CallFault>,
    },
    /// A frame connection opened by this process is established.
    ConnectionOpened { conn: ConnectionKey },
    /// A complete frame was received.
    Frame {
        conn: ConnectionKey,
        bytes: Box<[u8]>,
    },
    /// A frame connection was closed, or could not be established.
    ConnectionLost { conn: ConnectionKey },
}

/// An event loop that owns all sockets of the process.
pub struct Net {
    poll: Poll,
    registrar: Registrar,
    events: Events,
    listeners: SlotMap<ListenerKey, TcpListener>,
    /// Listeners that accept frame connections instead of callers.
    frame_listeners: HashSet<ListenerKey>,
    callers: Callers,
    pool: Pool,
    connections: Connections,
    arrivals: Vec<Arrival>,
    started: Instant,
    next_expiry_check_ms: u64,
}

impl Net {
    /// Creates a loop without sockets.
    ///
    /// # Errors
    ///
    /// Returns an error if the system cannot provide an event queue.
    pub fn new() -> io::Result<Self> {
        let poll = Poll::new()?;
        let registrar = Registrar(poll.registry().try_clone()?);
        Ok(Self {
            poll,
            registrar,
            events: Events::with_capacity(MAX_EVENTS),
            listeners: SlotMap::with_key(),
            frame_listeners: HashSet::new(),
            callers: Callers::default(),
            pool: Pool::default(),
            connections: Connections::default(),
            arrivals: Vec::new(),
            started: Instant::now(),
            next_expiry_check_ms: 0,
        })
    }

    fn clock(&self) -> Clock {
        Clock {
            now_ms: self.started.elapsed().as_millis() as u64,
        }
    }

    /// Listens for HTTP/1.1 callers at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address does not belong to this host or is in use.
    pub fn listen(&mut self, address: SocketAddr) -> io::Result<ListenerKey> {
        let mut listener = TcpListener::bind(address)?;
        let mut result = Ok(());
        let registrar = &self.registrar;
        let key = self.listeners.insert_with_key(|key| {
            let token = TokenKind::Listener.token(key.data().as_ffi());
            result = registrar.register(&mut listener, token, Interest::READABLE);
            listener
        });
        result.map(|()| key)
    }

    /// Listens for frame connections of other processes of this system at `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address does not belong to this host or is in use.
    pub fn listen_for_frames(&mut self, address: SocketAddr) -> io::Result<ListenerKey> {
        let key = self.listen(address)?;
        self.frame_listeners.insert(key);
        Ok(key)
    }

    /// Opens a frame connection to another process of this system.
    ///
    /// Returns `None` if the system refuses a socket. Otherwise the outcome arrives as
    /// [`Arrival::ConnectionOpened`] or [`Arrival::ConnectionLost`].
    pub fn open_connection(&mut self, peer: SocketAddr) -> Option<ConnectionKey> {
        let clock = self.clock();
        self.connections.open(peer, clock, &self.registrar)
    }

    /// Sends a frame, once the connection is established.
    ///
    /// Closes the connection if the frame exceeds 4 MiB, if the peer has left more than 8 MiB
    /// unread, or if writing fails.
    pub fn send_frame(&mut self, conn: ConnectionKey, frame: &[u8]) {
        self.connections.send(conn, frame, &mut self.arrivals);
    }

    /// Closes a frame connection; [`Arrival::ConnectionLost`] follows.
    pub fn close_connection(&mut self, conn: ConnectionKey) {
        self.connections.close(conn, &mut self.arrivals);
    }

    /// Returns the local address of a listener.
    ///
    /// # Errors
    ///
    /// Returns an error if the listener is closed or the system cannot report its address.
    pub fn address(&self, listener: ListenerKey) -> io::Result<SocketAddr> {
        match self.listeners.get(listener) {
            Some(listener) => listener.local_addr(),
            None => Err(ErrorKind::NotFound.into()),
        }
    }

    /// Closes all listeners, so that no further connection is accepted.
    pub fn close_listeners(&mut self) {
        self.listeners.clear();
    }

    /// Sets the limits on requests and idle times of callers.
    pub fn set_caller_limits(&mut self, limits: CallerLimits) {
        self.callers.limits = limits;
    }

    /// Closes the connection of each caller after the next answer on it.
    pub fn close_after_answers(&mut self) {
        self.callers.is_closing = true;
    }

    /// Closes callers without a request or answer in progress, and returns the number of those
    /// that remain.
    pub fn close_idle_callers(&mut self) -> usize {
        self.callers.close_idle()
    }

    /// Answers the pending request of a caller. Does nothing if the caller has disconnected.
    pub fn answer(
        &mut self,
        caller: CallerKey,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) {
        let clock = self.clock();
        self.callers
            .answer(caller, status, headers, body, clock, &mut self.arrivals);
    }

    /// Sets the maximum number of connections to a peer; the default is 4.
    ///
    /// A peer that answers several long polls at once needs more. Otherwise the polls would
    /// occupy all connections, and short calls would wait for seconds.
    pub fn set_max_connections(&mut self, peer: SocketAddr, max_connections: usize) {
        self.pool.set_max_connections(peer, max_connections);
    }

    /// Starts a call; its outcome arrives as [`Arrival::Answer`] with the number of the call.
    pub fn call(&mut self, call: Call) {
        let clock = self.clock();
        self.pool.call(call, clock, &self.registrar);
    }

    /// Closes all connections to a peer, for example one that was removed.
    ///
    /// Calls in flight on them end with a [`CallFault`].
    pub fn disconnect(&mut self, peer: SocketAddr) {
        self.pool.disconnect(peer, &mut self.arrivals);
    }

    /// Waits until something arrives, but no longer than `max_wait`, and returns all arrivals.
    ///
    /// A signal or an expired call ends the wait early, possibly with no arrivals.
    pub fn wait(&mut self, max_wait: Duration) -> Vec<Arrival> {
        let wait = self.limit_wait(max_wait);
        // An interrupted poll is handled like one that ended early without events.
        let _ = self.poll.poll(&mut self.events, Some(wait));
        let clock = self.clock();
        let mut tokens = Vec::new();
        for event in &self.events {
            tokens.push(event.token());
        }
        for token in tokens {
            let (kind, raw_key) = TokenKind::from_token(token);
            match kind {
                TokenKind::Listener => self.accept(raw_key, clock),
                TokenKind::Caller => self.callers.handle(raw_key, clock, &mut self.arrivals),
                TokenKind::Framed => self.connections.handle(raw_key, clock, &mut self.arrivals),
                TokenKind::Pooled => {
                    self.pool
                        .handle(raw_key, clock, &self.registrar, &mut self.arrivals);
                }
            }
        }
        self.pool.expire(clock, &self.registrar, &mut self.arrivals);
        if clock.now_ms >= self.next_expiry_check_ms {
            self.next_expiry_check_ms = clock.now_ms + EXPIRY_CHECK_INTERVAL_MS;
            self.callers.expire(clock, &mut self.arrivals);
            self.connections.expire(clock, &mut self.arrivals);
        }
        std::mem::take(&mut self.arrivals)
    }

    /// Shortens a wait to the next deadline of a call or connection attempt.
    fn limit_wait(&self, max_wait: Duration) -> Duration {
        if !self.arrivals.is_empty() {
            return Duration::ZERO;
        }
        match self.pool.next_expiry_ms() {
            Some(expiry_ms) => {
                let remaining_ms = expiry_ms.saturating_sub(self.clock().now_ms);
                max_wait.min(Duration::from_millis(remaining_ms))
            }
            None => max_wait,
        }
    }

    /// Accepts all waiting connections of the listener whose key has the bits `raw_key`.
    fn accept(&mut self, raw_key: u64, clock: Clock) {
        let key = ListenerKey::from(KeyData::from_ffi(raw_key));
        loop {
            let Some(listener) = self.listeners.get(key) else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) if self.frame_listeners.contains(&key) => {
                    self.connections.admit(stream, clock, &self.registrar);
                }
                Ok((stream, _)) => self.callers.admit(stream, key, clock, &self.registrar),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                // No connection waits, or descriptors have run out. The next connection
                // raises another event.
                Err(_) => return,
            }
        }
    }
}
