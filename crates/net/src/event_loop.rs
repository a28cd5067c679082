//! The loop itself: sockets in, arrivals out.

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
    /// A caller's connection.
    pub struct CallerKey;
    /// A port that is listened on.
    pub struct ListenerKey;
    /// A connection to another process of ours.
    pub struct ConnectionKey;
}

/// How often silent callers and connections that are not made are looked for. Their bounds are
/// seconds, or most of one.
const EXPIRY_CHECK_INTERVAL_MS: u64 = 200;
/// Events taken at one look.
const MAX_EVENTS: usize = 256;

/// The loop's idea of the time.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    /// Milliseconds since the loop was made.
    pub(crate) now_ms: u64,
}

/// What a token stands for; the kind is kept in its two lowest bits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TokenKind {
    Listener,
    Caller,
    Pooled,
    Framed,
}

impl TokenKind {
    /// Makes the token of a key. Keys count in 32 bits of index and 32 of version, of
    /// which 30 are kept; a version comes again after a billion connections.
    pub(crate) fn token(self, key: u64) -> Token {
        Token(((key << 2) | self as u64) as usize)
    }

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

/// Something that came in.
#[derive(Debug)]
#[expect(
    missing_docs,
    reason = "The comment of each variant covers its fields."
)]
pub enum Arrival {
    /// A caller has sent a whole request, and awaits one answer.
    Request {
        caller: CallerKey,
        listener: ListenerKey,
        request: Request,
    },
    /// A caller has gone without awaiting its answer.
    CallerDisconnected { caller: CallerKey },
    /// A call has ended.
    Answer {
        number: u64,
        answer: Result<Response, CallFault>,
    },
    /// A connection to another process of ours was made.
    ConnectionOpened { conn: ConnectionKey },
    /// Another process of ours has sent a frame.
    Frame {
        conn: ConnectionKey,
        bytes: Box<[u8]>,
    },
    /// A connection to another process of ours has ended, or could not be made.
    ConnectionLost { conn: ConnectionKey },
}

/// The event loop.
pub struct Net {
    poll: Poll,
    registrar: Registrar,
    events: Events,
    listeners: SlotMap<ListenerKey, TcpListener>,
    /// Those of them at which our own processes connect.
    frame_listeners: HashSet<ListenerKey>,
    callers: Callers,
    pool: Pool,
    connections: Connections,
    arrivals: Vec<Arrival>,
    started: Instant,
    next_expiry_check_ms: u64,
}

impl Net {
    /// Makes a loop without sockets.
    ///
    /// # Errors
    /// The system has no event queue to give.
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

    /// Listens for callers at an address.
    ///
    /// # Errors
    /// The address is not this host's, or is taken.
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

    /// Listens for other processes of ours at an address.
    ///
    /// # Errors
    /// The address is not this host's, or is taken.
    pub fn listen_for_frames(&mut self, address: SocketAddr) -> io::Result<ListenerKey> {
        let key = self.listen(address)?;
        self.frame_listeners.insert(key);
        Ok(key)
    }

    /// Opens a connection to another process of ours; `None` if the system has none to give.
    pub fn open_connection(&mut self, peer: SocketAddr) -> Option<ConnectionKey> {
        let clock = self.clock();
        self.connections.open(peer, clock, &self.registrar)
    }

    /// Sends a frame. A connection that can't take it is closed.
    pub fn send_frame(&mut self, conn: ConnectionKey, frame: &[u8]) {
        self.connections.send(conn, frame, &mut self.arrivals);
    }

    /// Closes a connection to another process of ours.
    pub fn close_connection(&mut self, conn: ConnectionKey) {
        self.connections.close(conn, &mut self.arrivals);
    }

    /// Gives the address that a listener has got.
    ///
    /// # Errors
    /// The system does not tell it.
    pub fn address(&self, listener: ListenerKey) -> io::Result<SocketAddr> {
        match self.listeners.get(listener) {
            Some(listener) => listener.local_addr(),
            None => Err(ErrorKind::NotFound.into()),
        }
    }

    /// Takes no further connections.
    pub fn close_listeners(&mut self) {
        self.listeners.clear();
    }

    /// Sets what callers may send.
    pub fn set_caller_limits(&mut self, limits: CallerLimits) {
        self.callers.limits = limits;
    }

    /// Ends each connection with the next answer on it.
    pub fn close_after_answers(&mut self) {
        self.callers.is_closing = true;
    }

    /// Closes callers that await nothing, and tells how many are left.
    pub fn close_idle_callers(&mut self) -> usize {
        self.callers.close_idle()
    }

    /// Answers a caller.
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

    /// Allows so many connections to a peer that answers several long polls at once. Without
    /// that the polls would hold all connections, and short calls would wait for seconds.
    pub fn set_max_connections(&mut self, peer: SocketAddr, max_connections: usize) {
        self.pool.set_max_connections(peer, max_connections);
    }

    /// Makes a call; its end arrives under its number.
    pub fn call(&mut self, call: Call) {
        let clock = self.clock();
        self.pool.call(call, clock, &self.registrar);
    }

    /// Closes the connections to a peer that is gone.
    pub fn disconnect(&mut self, peer: SocketAddr) {
        self.pool.disconnect(peer, &mut self.arrivals);
    }

    /// Waits until something arrives, or for the given time at most. A signal ends
    /// the wait early.
    pub fn wait(&mut self, max_wait: Duration) -> Vec<Arrival> {
        let wait = self.limit_wait(max_wait);
        // An interrupted wait is an early end, which the caller takes as any other.
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
                // Nothing waits, or descriptors are short; the next connection shows.
                Err(_) => return,
            }
        }
    }
}
