//! The loop itself: sockets in, arrivals out.

use crate::callers::Callers;
use crate::calls::Call;
use crate::calls::CallFault;
use crate::links::Links;
use crate::parse::Bounds;
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
    pub struct LinkKey;
}

/// How often silent callers and connections that are not made are looked for. Their bounds are
/// seconds, or most of one.
const CALLERS_LOOK_MS: u64 = 200;
/// Events taken at one look.
const EVENTS_MOST: usize = 256;

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
    Line,
    Link,
}

impl TokenKind {
    /// Makes the token of a key. Keys count in 32 bits of index and 32 of version, of
    /// which 30 are kept; a version comes again after a billion connections.
    pub(crate) fn token(self, key: u64) -> Token {
        Token(((key << 2) | self as u64) as usize)
    }

    fn read(token: Token) -> (Self, u64) {
        let number = token.0 as u64;
        let kind = match number & 3 {
            0 => TokenKind::Listener,
            1 => TokenKind::Caller,
            2 => TokenKind::Line,
            _ => TokenKind::Link,
        };
        (kind, number >> 2)
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
    CallerGone { caller: CallerKey },
    /// A call has ended.
    Answer {
        number: u64,
        answer: Result<Response, CallFault>,
    },
    /// A connection to another process of ours was made.
    LinkOpened { link: LinkKey },
    /// Another process of ours has sent a frame.
    Frame { link: LinkKey, bytes: Box<[u8]> },
    /// A connection to another process of ours has ended, or could not be made.
    LinkLost { link: LinkKey },
}

/// The event loop.
pub struct Net {
    poll: Poll,
    registrar: Registrar,
    events: Events,
    listeners: SlotMap<ListenerKey, TcpListener>,
    /// Those of them at which our own processes connect.
    link_listeners: HashSet<ListenerKey>,
    callers: Callers,
    pool: Pool,
    links: Links,
    arrivals: Vec<Arrival>,
    started: Instant,
    callers_look_ms: u64,
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
            events: Events::with_capacity(EVENTS_MOST),
            listeners: SlotMap::with_key(),
            link_listeners: HashSet::new(),
            callers: Callers::default(),
            pool: Pool::default(),
            links: Links::default(),
            arrivals: Vec::new(),
            started: Instant::now(),
            callers_look_ms: 0,
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
    pub fn listen_for_links(&mut self, address: SocketAddr) -> io::Result<ListenerKey> {
        let key = self.listen(address)?;
        self.link_listeners.insert(key);
        Ok(key)
    }

    /// Opens a connection to another process of ours; `None` if the system has none to give.
    pub fn open_link(&mut self, peer: SocketAddr) -> Option<LinkKey> {
        let clock = self.clock();
        self.links.open(peer, clock, &self.registrar)
    }

    /// Sends a frame. A connection that can't take it is closed.
    pub fn send_frame(&mut self, link: LinkKey, frame: &[u8]) {
        self.links.send(link, frame, &mut self.arrivals);
    }

    /// Closes a connection to another process of ours.
    pub fn close_link(&mut self, link: LinkKey) {
        self.links.close(link, &mut self.arrivals);
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
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.callers.bounds = bounds;
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
    pub fn allow_lines(&mut self, peer: SocketAddr, lines_most: usize) {
        self.pool.allow_lines(peer, lines_most);
    }

    /// Makes a call; its end arrives under its number.
    pub fn call(&mut self, call: Call) {
        let clock = self.clock();
        self.pool.call(call, clock, &self.registrar);
    }

    /// Closes the connections to a peer that is gone.
    pub fn forget(&mut self, peer: SocketAddr) {
        self.pool.forget(peer, &mut self.arrivals);
    }

    /// Waits until something arrives, or for the given time at most. A signal ends
    /// the wait early.
    pub fn wait(&mut self, most: Duration) -> Vec<Arrival> {
        let wait = self.shorten(most);
        // An interrupted wait is an early end, which the caller takes as any other.
        let _ = self.poll.poll(&mut self.events, Some(wait));
        let clock = self.clock();
        let mut tokens = Vec::new();
        for event in &self.events {
            tokens.push(event.token());
        }
        for token in tokens {
            let (kind, number) = TokenKind::read(token);
            match kind {
                TokenKind::Listener => self.accept(number, clock),
                TokenKind::Caller => self.callers.handle(number, clock, &mut self.arrivals),
                TokenKind::Link => self.links.handle(number, clock, &mut self.arrivals),
                TokenKind::Line => {
                    self.pool
                        .handle(number, clock, &self.registrar, &mut self.arrivals);
                }
            }
        }
        self.pool.expire(clock, &self.registrar, &mut self.arrivals);
        if clock.now_ms >= self.callers_look_ms {
            self.callers_look_ms = clock.now_ms + CALLERS_LOOK_MS;
            self.callers.expire(clock, &mut self.arrivals);
            self.links.expire(clock, &mut self.arrivals);
        }
        std::mem::take(&mut self.arrivals)
    }

    fn shorten(&self, most: Duration) -> Duration {
        if !self.arrivals.is_empty() {
            return Duration::ZERO;
        }
        match self.pool.next_expiry_ms() {
            Some(at_ms) => {
                let left_ms = at_ms.saturating_sub(self.clock().now_ms);
                most.min(Duration::from_millis(left_ms))
            }
            None => most,
        }
    }

    fn accept(&mut self, number: u64, clock: Clock) {
        let key = ListenerKey::from(KeyData::from_ffi(number));
        loop {
            let Some(listener) = self.listeners.get(key) else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) if self.link_listeners.contains(&key) => {
                    self.links.admit(stream, clock, &self.registrar);
                }
                Ok((stream, _)) => self.callers.admit(stream, key, clock, &self.registrar),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                // Nothing waits, or descriptors are short; the next connection shows.
                Err(_) => return,
            }
        }
    }
}
