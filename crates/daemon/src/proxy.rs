//! A gate before an HTTP server: bounds the connections, their silence and their
//! age.
//!
//! What goes wrong without it: `tiny_http` gives each connection a thread and sets
//! no timeouts, so callers that connect and say nothing use up the threads. A read
//! timeout on the listening socket would be inherited, but it ends the library's
//! accepting as well: after that long without a caller the daemon is deaf for good.
//! One notices by `Error accepting new client` in the log. The gate therefore
//! accepts by itself and passes bytes on to the server behind it.

use crate::event_log::Chronicle;
use crate::fault::DaemonFault;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use tiny_http::Server;

/// Bounds of a gate.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Bounds {
    /// Most connections at a time.
    pub(crate) connections: usize,
    /// Longest time without a byte in either direction.
    pub(crate) silence: Duration,
    /// Longest life of a connection.
    pub(crate) age: Duration,
}

/// What a caller is told when all connections are taken.
const FULL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    Goldcrestway-Outcome: not-run\r\nRetry-After: 1\r\n\
    Content-Type: application/problem+json\r\nContent-Length: 96\r\nConnection: close\r\n\r\n\
    {\"type\":\"urn:goldcrestway:problem:not-run\",\"title\":\"Too many connections are open\",\"status\":503}";

/// How often a silent connection is looked at.
const LOOK: Duration = Duration::from_millis(500);
/// Least time between two events about refused callers.
const NOTE_PAUSE: Duration = Duration::from_secs(5);
/// Pause after a failed accept.
const PAUSE: Duration = Duration::from_millis(50);

/// One open connection, counted while it lives.
struct Passage {
    open: Arc<AtomicUsize>,
    began: Instant,
    /// Milliseconds after `began` at which a byte last passed.
    active_ms: AtomicU64,
    bounds: Bounds,
    is_over: Arc<AtomicBool>,
}

impl Drop for Passage {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Passage {
    fn note_byte(&self) {
        self.active_ms
            .store(self.began.elapsed().as_millis() as u64, Ordering::Relaxed);
    }

    /// Tells whether the connection has been silent or open for too long.
    fn has_ended(&self) -> bool {
        let age = self.began.elapsed();
        let active = Duration::from_millis(self.active_ms.load(Ordering::Relaxed));
        age > self.bounds.age
            || age.saturating_sub(active) > self.bounds.silence
            || self.is_over.load(Ordering::Relaxed)
    }
}

/// Opens a server behind a gate at `address`.
///
/// # Errors
///
/// When the address can't be listened on.
pub(crate) fn open(
    step: &'static str,
    address: SocketAddr,
    bounds: Bounds,
    chronicle: Arc<Chronicle>,
    is_over: Arc<AtomicBool>,
) -> Result<Server, DaemonFault> {
    let fault = |error| DaemonFault::Listen(step, address.to_string().into(), error);
    let listener = TcpListener::bind(address).map_err(fault)?;
    // The server behind listens on the same IP number, so a host needs only one.
    let inner = TcpListener::bind((address.ip(), 0)).map_err(fault)?;
    // The server writes head and body of an answer apart. Without this, which its
    // accepted sockets inherit, the body waits for the kernel's delayed
    // acknowledgement of the head: 40 ms on every connection that is used again.
    socket2::SockRef::from(&inner)
        .set_tcp_nodelay(true)
        .map_err(fault)?;
    let behind = inner.local_addr().map_err(fault)?;
    let server = Server::from_listener(inner, None);
    let server = server.map_err(|error| fault(std::io::Error::other(error)))?;
    thread::spawn(move || accept(&listener, behind, bounds, &chronicle, &is_over));
    Ok(server)
}

fn accept(
    listener: &TcpListener,
    behind: SocketAddr,
    bounds: Bounds,
    chronicle: &Chronicle,
    is_over: &Arc<AtomicBool>,
) {
    let mut noted: Option<Instant> = None;
    let open = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming() {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let Ok(mut caller) = stream else {
            thread::sleep(PAUSE);
            continue;
        };
        let taken = open.fetch_add(1, Ordering::Relaxed);
        let passage = Arc::new(Passage {
            open: open.clone(),
            began: Instant::now(),
            active_ms: AtomicU64::new(0),
            bounds,
            is_over: is_over.clone(),
        });
        if taken >= bounds.connections {
            // A caller that does not even take this is let go.
            let _ = caller.write_all(FULL);
            // One event a pause says it; a flood of callers must not flood the log.
            if noted.is_none_or(|noted| noted.elapsed() > NOTE_PAUSE) {
                noted = Some(Instant::now());
                let peer = caller
                    .peer_addr()
                    .map_or_else(|_| "gone".to_owned(), |peer| peer.to_string());
                chronicle.note(&Note::new(
                    Code::CallerRefused,
                    peer,
                    "all connections are taken",
                ));
            }
            continue;
        }
        thread::spawn(move || join(caller, behind, &passage));
    }
}

/// Passes bytes both ways until either side ends or a bound is reached.
fn join(caller: TcpStream, behind: SocketAddr, passage: &Arc<Passage>) {
    let Ok(server) = TcpStream::connect_timeout(&behind, LOOK) else {
        return;
    };
    let clones = (caller.try_clone(), server.try_clone());
    let (Ok(caller_out), Ok(server_out)) = clones else {
        return;
    };
    for stream in [&caller, &server] {
        let is_set = stream.set_read_timeout(Some(LOOK)).is_ok()
            && stream
                .set_write_timeout(Some(passage.bounds.silence))
                .is_ok()
            && stream.set_nodelay(true).is_ok();
        if !is_set {
            return;
        }
    }
    let back = passage.clone();
    let answers = thread::spawn(move || pass(server, caller_out, &back));
    pass(caller, server_out, passage);
    // A panic of that thread was printed already.
    let _ = answers.join();
}

fn pass(mut from: TcpStream, mut to: TcpStream, passage: &Passage) {
    const CHUNK: usize = 16 * 1024;
    let mut chunk = vec![0_u8; CHUNK];
    loop {
        match from.read(&mut chunk) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) => {
                passage.note_byte();
                if to.write_all(&chunk[..count]).is_err() {
                    break;
                }
            }
            Err(error) => {
                let is_silent = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
                if !is_silent || passage.has_ended() {
                    break;
                }
            }
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
