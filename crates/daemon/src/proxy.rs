//! A TCP proxy before an HTTP server that limits the number of connections, their idle
//! time and their age.
//!
//! `tiny_http` gives each connection a thread and sets no timeouts, so callers that
//! connect and send nothing use up the threads. Accepted sockets would inherit a read
//! timeout of the listening socket, but that timeout also ends the library's accept
//! loop: after that long without a new caller the daemon accepts no connection any more,
//! and the log has `Error accepting new client`. The proxy therefore accepts connections
//! itself and copies their bytes to the server behind it.

use crate::event_log::EventLog;
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

/// Limits that a proxy enforces on its connections.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectionLimits {
    /// Largest number of connections at a time.
    pub(crate) max_connections: usize,
    /// Longest time without a byte in either direction, before the connection is closed.
    pub(crate) idle_timeout: Duration,
    /// Longest time that a connection stays open.
    pub(crate) max_age: Duration,
}

/// Response to a caller that connects while the number of connections is at its limit.
const OVERLOADED_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\n\
    Goldcrestway-Outcome: not-run\r\nRetry-After: 1\r\n\
    Content-Type: application/problem+json\r\nContent-Length: 96\r\nConnection: close\r\n\r\n\
    {\"type\":\"urn:goldcrestway:problem:not-run\",\"title\":\"Too many connections are open\",\"status\":503}";

/// Interval at which an idle connection is checked against its limits; also the timeout
/// for connecting to the server behind.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Shortest time between two events about refused callers.
const REFUSAL_EVENT_INTERVAL: Duration = Duration::from_secs(5);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// One open connection, counted in `open_connections` until it is dropped.
struct ProxiedConnection {
    open_connections: Arc<AtomicUsize>,
    started_at: Instant,
    /// When bytes last arrived from either side, in milliseconds after `started_at`.
    last_active_ms: AtomicU64,
    limits: ConnectionLimits,
    is_stopped: Arc<AtomicBool>,
}

impl Drop for ProxiedConnection {
    fn drop(&mut self) {
        self.open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ProxiedConnection {
    fn record_activity(&self) {
        self.last_active_ms.store(
            self.started_at.elapsed().as_millis() as u64,
            Ordering::Relaxed,
        );
    }

    /// Returns whether the connection has been idle or open for too long, or the daemon
    /// has stopped.
    fn must_close(&self) -> bool {
        let age = self.started_at.elapsed();
        let active = Duration::from_millis(self.last_active_ms.load(Ordering::Relaxed));
        age > self.limits.max_age
            || age.saturating_sub(active) > self.limits.idle_timeout
            || self.is_stopped.load(Ordering::Relaxed)
    }
}

/// Starts a proxy at `address` and returns the HTTP server behind it.
///
/// # Errors
///
/// If listening at the address fails.
pub(crate) fn listen(
    step: &'static str,
    address: SocketAddr,
    limits: ConnectionLimits,
    event_log: Arc<EventLog>,
    is_stopped: Arc<AtomicBool>,
) -> Result<Server, DaemonFault> {
    let fault = |error| DaemonFault::Listen(step, address.to_string().into(), error);
    let listener = TcpListener::bind(address).map_err(fault)?;
    // The server behind listens at another port of the same IP address, so a host needs
    // no further address.
    let inner = TcpListener::bind((address.ip(), 0)).map_err(fault)?;
    // The server writes the head and the body of a response separately. Accepted sockets
    // inherit TCP_NODELAY; without it the body waits for the delayed acknowledgement of
    // the head, which adds 40 ms to every response on a reused connection.
    socket2::SockRef::from(&inner)
        .set_tcp_nodelay(true)
        .map_err(fault)?;
    let server_address = inner.local_addr().map_err(fault)?;
    let server = Server::from_listener(inner, None);
    let server = server.map_err(|error| fault(std::io::Error::other(error)))?;
    thread::spawn(move || accept(&listener, server_address, limits, &event_log, &is_stopped));
    Ok(server)
}

fn accept(
    listener: &TcpListener,
    server_address: SocketAddr,
    limits: ConnectionLimits,
    event_log: &EventLog,
    is_stopped: &Arc<AtomicBool>,
) {
    let mut last_refusal: Option<Instant> = None;
    let open_connections = Arc::new(AtomicUsize::new(0));
    for stream in listener.incoming() {
        if is_stopped.load(Ordering::Relaxed) {
            return;
        }
        let Ok(mut caller) = stream else {
            thread::sleep(ACCEPT_RETRY_DELAY);
            continue;
        };
        let open_before = open_connections.fetch_add(1, Ordering::Relaxed);
        let connection = Arc::new(ProxiedConnection {
            open_connections: open_connections.clone(),
            started_at: Instant::now(),
            last_active_ms: AtomicU64::new(0),
            limits,
            is_stopped: is_stopped.clone(),
        });
        if open_before >= limits.max_connections {
            // If the response can't be written, the connection is just closed.
            let _ = caller.write_all(OVERLOADED_RESPONSE);
            // The interval between events keeps many refused callers from flooding the log.
            if last_refusal
                .is_none_or(|last_refusal| last_refusal.elapsed() > REFUSAL_EVENT_INTERVAL)
            {
                last_refusal = Some(Instant::now());
                let peer = caller
                    .peer_addr()
                    .map_or_else(|_| "gone".to_owned(), |peer| peer.to_string());
                event_log.record(&Note::new(
                    Code::CallerRefused,
                    peer,
                    "all connections are taken",
                ));
            }
            continue;
        }
        thread::spawn(move || relay_connection(caller, server_address, &connection));
    }
}

/// Copies bytes in both directions until either side closes or a limit is reached.
fn relay_connection(
    caller: TcpStream,
    server_address: SocketAddr,
    connection: &Arc<ProxiedConnection>,
) {
    let Ok(server) = TcpStream::connect_timeout(&server_address, POLL_INTERVAL) else {
        return;
    };
    let clones = (caller.try_clone(), server.try_clone());
    let (Ok(caller_out), Ok(server_out)) = clones else {
        return;
    };
    for stream in [&caller, &server] {
        let is_set = stream.set_read_timeout(Some(POLL_INTERVAL)).is_ok()
            && stream
                .set_write_timeout(Some(connection.limits.idle_timeout))
                .is_ok()
            && stream.set_nodelay(true).is_ok();
        if !is_set {
            return;
        }
    }
    let server_side = connection.clone();
    let answers = thread::spawn(move || copy_bytes(server, caller_out, &server_side));
    copy_bytes(caller, server_out, connection);
    // The panic hook has already printed a panic of that thread.
    let _ = answers.join();
}

fn copy_bytes(mut from: TcpStream, mut to: TcpStream, connection: &ProxiedConnection) {
    const CHUNK: usize = 16 * 1024;
    let mut chunk = vec![0_u8; CHUNK];
    loop {
        match from.read(&mut chunk) {
            Ok(0) => {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
            Ok(count) => {
                connection.record_activity();
                if to.write_all(&chunk[..count]).is_err() {
                    break;
                }
            }
            Err(error) => {
                let is_silent = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
                if !is_silent || connection.must_close() {
                    break;
                }
            }
        }
    }
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}
