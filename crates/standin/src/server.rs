//! The stand-ins served over HTTP on loopback.

use crate::log::LogState;
use crate::upstream::UpstreamState;
use crate::worker::WorkerState;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use goldcrestway_platform::AppendReply;
use goldcrestway_platform::HostReply;
use goldcrestway_platform::Listed;
use goldcrestway_platform::LogRecord;
use goldcrestway_platform::ReadReply;
use goldcrestway_platform::WorkerRequest;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use tiny_http::Header;
use tiny_http::Request;
use tiny_http::Response;
use tiny_http::Server;

/// Handle of a server. Dropping it ends the threads of the server.
#[derive(Debug)]
struct ServerHandle {
    address: SocketAddr,
    is_stopped: Arc<AtomicBool>,
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// Function that serves one request.
type Handler = dyn Fn(Request) + Send + Sync;

/// Number of threads of a server; logs and upstreams have a multiple of it.
const THREADS: usize = 8;
/// Interval at which an idle thread checks whether its server has been stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Any free port on loopback.
const ANY_PORT: &str = "127.0.0.1:0";

fn serve(address: &str, threads: usize, handler: Arc<Handler>) -> std::io::Result<ServerHandle> {
    let listener = TcpListener::bind(address)?;
    // Accepted sockets inherit this. The server sends head and body of an answer separately;
    // without this, the body waits 40 ms for the delayed acknowledgement of the head.
    socket2::SockRef::from(&listener).set_tcp_nodelay(true)?;
    let server = Server::from_listener(listener, None).map_err(std::io::Error::other)?;
    let address = server
        .server_addr()
        .to_ip()
        .ok_or_else(|| std::io::Error::other("no address"))?;
    let server = Arc::new(server);
    let is_stopped = Arc::new(AtomicBool::new(false));
    for _ in 0..threads {
        let (server, is_stopped, handler) = (server.clone(), is_stopped.clone(), handler.clone());
        thread::spawn(move || {
            while !is_stopped.load(Ordering::Relaxed) {
                if let Ok(Some(request)) = server.recv_timeout(STOP_CHECK_INTERVAL) {
                    handler(request);
                }
            }
        });
    }
    Ok(ServerHandle {
        address,
        is_stopped,
    })
}

fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn answer_json<T: serde::Serialize>(request: Request, value: &T) {
    let text = serde_json::to_string(value).unwrap_or_default();
    // The caller may have closed the connection.
    let _ = request.respond(Response::from_string(text));
}

fn refuse(request: Request, status: u16) {
    let _ = request.respond(Response::from_string("").with_status_code(status));
}

fn read_body(request: &mut Request) -> Vec<u8> {
    let mut body = Vec::new();
    let _ = request.as_reader().read_to_end(&mut body);
    body
}

/// A log over HTTP.
#[derive(Debug)]
pub struct LogServer {
    handle: ServerHandle,
    /// State of the stand-in.
    pub state: Arc<Mutex<LogState>>,
    /// Whether all calls are refused with status 503.
    pub is_down: Arc<AtomicBool>,
}

impl LogServer {
    /// Starts an empty log whose appends take `append_ms`.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be opened.
    pub fn start(append_ms: u64) -> std::io::Result<Self> {
        Self::start_at(ANY_PORT, append_ms)
    }

    /// Starts an empty log like [`LogServer::start`], but at this address.
    ///
    /// # Errors
    ///
    /// Returns an error if the server can't listen at the address.
    pub fn start_at(address: &str, append_ms: u64) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(LogState::default()));
        let is_down = Arc::new(AtomicBool::new(false));
        let (served, down) = (state.clone(), is_down.clone());
        let handler = move |request: Request| {
            if down.load(Ordering::Relaxed) {
                refuse(request, 503);
                return;
            }
            serve_log(request, &served, append_ms);
        };
        Ok(Self {
            handle: serve(address, THREADS * 4, Arc::new(handler))?,
            state,
            is_down,
        })
    }

    /// Returns the URL of the server.
    pub fn url(&self) -> String {
        format!("http://{}", self.handle.address)
    }
}

fn serve_log(mut request: Request, state: &Mutex<LogState>, append_ms: u64) {
    let url = request.url().to_owned();
    let stream = url.split('/').nth(3).unwrap_or_default().to_owned();
    if request.method() == &tiny_http::Method::Post {
        let body = read_body(&mut request);
        let Ok(payload) = STANDARD.decode(body) else {
            refuse(request, 400);
            return;
        };
        thread::sleep(Duration::from_millis(append_ms));
        let offset = lock(state).append(&stream, payload);
        answer_json(request, &AppendReply { offset });
        return;
    }
    let number = |key: &str| {
        let query = url.split_once('?').map_or("", |(_, query)| query);
        let pair = query.split('&').find_map(|pair| pair.strip_prefix(key));
        pair.and_then(|value| value.parse::<u64>().ok())
            .unwrap_or(0)
    };
    let part = lock(state).read(&stream, number("from="), number("most=") as usize);
    let records = part.records.into_iter().map(|(offset, payload)| LogRecord {
        offset,
        payload: STANDARD.encode(payload),
    });
    let reply = ReadReply {
        oldest: part.oldest,
        end: part.end,
        records: records.collect(),
    };
    answer_json(request, &reply);
}

/// The platform's list of hosts over HTTP.
#[derive(Debug)]
pub struct HostListServer {
    handle: ServerHandle,
    /// The hosts that are listed.
    pub hosts: Arc<Mutex<Vec<Listed>>>,
}

impl HostListServer {
    /// Starts with an empty list.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be opened.
    pub fn start() -> std::io::Result<Self> {
        Self::start_at(ANY_PORT)
    }

    /// Starts with an empty list like [`HostListServer::start`], but at this address.
    ///
    /// # Errors
    ///
    /// Returns an error if the server can't listen at the address.
    pub fn start_at(address: &str) -> std::io::Result<Self> {
        let hosts = Arc::new(Mutex::new(Vec::new()));
        let served = hosts.clone();
        let handler = move |request: Request| {
            let hosts = lock(&served).clone();
            answer_json(request, &HostReply { hosts });
        };
        Ok(Self {
            handle: serve(address, THREADS, Arc::new(handler))?,
            hosts,
        })
    }

    /// Returns the URL of the server.
    pub fn url(&self) -> String {
        format!("http://{}", self.handle.address)
    }
}

/// A worker over HTTP.
#[derive(Debug)]
pub struct WorkerServer {
    handle: ServerHandle,
    /// State of the stand-in.
    pub state: Arc<Mutex<WorkerState>>,
    is_dead: Arc<AtomicBool>,
    clock_start: Instant,
}

impl WorkerServer {
    /// Starts a worker whose clock counts from `clock_start`.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be opened.
    pub fn start(state: WorkerState, clock_start: Instant) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(state));
        let is_dead = Arc::new(AtomicBool::new(false));
        let (served, dead) = (state.clone(), is_dead.clone());
        let handler = move |mut request: Request| {
            let body = read_body(&mut request);
            let call: Option<WorkerRequest> = serde_json::from_slice(&body).ok();
            let Some(call) = call.filter(|_| !dead.load(Ordering::Relaxed)) else {
                refuse(request, 503);
                return;
            };
            let now_ms = clock_start.elapsed().as_millis() as u64;
            let reply = lock(&served).handle_call(now_ms, &call);
            match reply {
                Some(reply) => {
                    answer_json(request, &reply);
                    lock(&served).record_reported_exits();
                }
                None => refuse(request, 409),
            }
        };
        Ok(Self {
            handle: serve(ANY_PORT, 2, Arc::new(handler))?,
            state,
            is_dead,
            clock_start,
        })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> String {
        self.handle.address.to_string()
    }

    /// Crashes the worker for good: its tasks end, and all further calls are refused with status
    /// 503.
    pub fn crash(&self) {
        self.is_dead.store(true, Ordering::Relaxed);
        let now_ms = self.clock_start.elapsed().as_millis() as u64;
        lock(&self.state).crash(now_ms);
    }
}

/// An instance of a service over HTTP.
#[derive(Debug)]
pub struct UpstreamServer {
    handle: ServerHandle,
    /// State of the stand-in.
    pub state: Arc<Mutex<UpstreamState>>,
}

impl UpstreamServer {
    /// Starts an instance that takes `work_ms` for each request. The times of its runs count from
    /// `clock_start`.
    ///
    /// # Errors
    ///
    /// Returns an error if no socket can be opened.
    pub fn start(work_ms: u64, clock_start: Instant) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(UpstreamState::default()));
        let served = state.clone();
        let handler = move |mut request: Request| {
            let body = read_body(&mut request);
            let identity = String::from_utf8_lossy(&body).into_owned();
            let now_ms = || clock_start.elapsed().as_millis() as u64;
            let run = lock(&served).begin(&identity, now_ms(), now_ms() + work_ms);
            thread::sleep(Duration::from_millis(work_ms));
            lock(&served).end(run, now_ms());
            let mut response = Response::from_string(format!("answer to {identity}"));
            if let Ok(close) = Header::from_bytes("Connection", "close") {
                response.add_header(close);
            }
            let _ = request.respond(response);
        };
        Ok(Self {
            // More threads than slots, so that requests beyond the granted slots are detected.
            handle: serve(ANY_PORT, THREADS * 3, Arc::new(handler))?,
            state,
        })
    }

    /// Returns the address of the server.
    pub fn address(&self) -> String {
        self.handle.address.to_string()
    }
}
