//! Serves callers: forwards their requests over plain HTTP to instances of services.

use crate::answers::AddHeader;
use crate::answers::OUTCOME_HEADER;
use crate::answers::Reply;
use crate::answers::header;
use crate::answers::not_run;
use crate::answers::problem;
use crate::answers::reply;
use crate::answers::reply_for;
use crate::attempt::CompleteResponse;
use crate::attempt::ForwardedRequest;
use crate::attempt::attempt;
use crate::attempt::is_forwarded;
use crate::metrics::Metrics;
use goldcrestway_core::Answer;
use goldcrestway_core::AttemptOutcome;
use goldcrestway_core::Event;
use goldcrestway_core::Request as CoreRequest;
use goldcrestway_core::hash;
use goldcrestway_core::identity_hash;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use tiny_http::Method;
use tiny_http::Request;
use tiny_http::Server;

/// What the node tells the thread that serves a request to do next.
#[derive(Debug)]
pub(crate) enum Step {
    /// Send the request to an instance.
    Attempt {
        address: Box<str>,
        timeout_ms: u64,
        begin_by_ms: u64,
        response_max_bytes: u64,
    },
    /// Answer the caller.
    Answer(Answer),
}

/// The threads that serve callers and operators and wait for the node's decisions, by
/// request number.
pub(crate) struct Waiters {
    next_number: AtomicU64,
    waiting: Mutex<HashMap<u64, Sender<Step>>>,
}

/// Registration of a thread that waits for the steps of one request. Dropping it
/// unregisters the thread.
pub(crate) struct Waiter<'a> {
    waiters: &'a Waiters,
    pub(crate) number: u64,
    pub(crate) steps: Receiver<Step>,
}

impl Waiters {
    /// Creates an empty set that numbers requests from `first` on. The numbers must differ
    /// from those of the previous process at the seat, whose answers may still be in
    /// transit.
    pub(crate) fn new(first: u64) -> Self {
        Self {
            next_number: AtomicU64::new(first),
            waiting: Mutex::new(HashMap::new()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Sender<Step>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Registers the current thread for one request, under a new number.
    pub(crate) fn register(&self) -> Waiter<'_> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, steps) = channel();
        self.lock().insert(number, sender);
        Waiter {
            waiters: self,
            number,
            steps,
        }
    }

    /// Sends a step to the thread that serves request `number`, if there still is one.
    pub(crate) fn push(&self, number: u64, step: Step) {
        if let Some(sender) = self.lock().get(&number) {
            // Sending fails if the thread has stopped waiting.
            let _ = sender.send(step);
        }
    }
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        self.waiters.lock().remove(&self.number);
    }
}

/// State that the threads which serve callers share.
pub(crate) struct CallerServer {
    pub(crate) waiters: Arc<Waiters>,
    pub(crate) events: Sender<Event>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) is_ready: Arc<AtomicBool>,
    pub(crate) is_stopped: Arc<AtomicBool>,
    pub(crate) started_at: Instant,
    pub(crate) request_max_bytes: u64,
    pub(crate) caller_timeout_ms: u64,
}

/// Interval at which an idle thread checks whether the daemon has stopped.
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout of a request whose caller gives none.
const DEFAULT_TIMEOUT_MS: u64 = 5_000;
/// Longest timeout that a caller may give; shorter than the proxy's idle timeout, so that
/// the proxy does not close a connection whose answer is pending.
const MAX_TIMEOUT_MS: u64 = 30_000;
/// Time beyond a request's deadline for which its thread still waits for the node.
const DECISION_GRACE_MS: u64 = 3_000;

impl CallerServer {
    /// Serves callers on `threads` threads until the daemon has stopped.
    pub(crate) fn serve(self: Arc<Self>, server: Server, threads: usize) {
        let server = Arc::new(server);
        for _ in 0..threads {
            let (caller_server, server) = (self.clone(), server.clone());
            thread::spawn(move || {
                while !caller_server.is_stopped.load(Ordering::Relaxed) {
                    if let Ok(Some(request)) = server.recv_timeout(IDLE_POLL_INTERVAL) {
                        caller_server.handle_request(request);
                    }
                }
            });
        }
    }

    fn handle_request(&self, mut request: Request) {
        let started_at = Instant::now();
        let path = request.url().to_owned();
        let (outcome, reply) = match path.as_str() {
            "/healthz" => ("", reply(200, "text/plain", "ok\n")),
            "/readyz" if self.is_ready.load(Ordering::Relaxed) => {
                ("", reply(200, "text/plain", "ready\n"))
            }
            "/readyz" => ("", reply(503, "text/plain", "not ready\n")),
            _ => match path.strip_prefix("/services/") {
                Some(rest) => self.forward(&mut request, rest),
                None => {
                    let detail = "Requests go to /services/NAME/PATH.";
                    (
                        "not-run",
                        problem(404, "no-such-path", "No such path", detail),
                    )
                }
            },
        };
        if self.is_stopped.load(Ordering::Relaxed) {
            // A stopped daemon sends no more answers, as after a crash: the connection closes.
            drop(request.into_writer());
            return;
        }
        if !outcome.is_empty() {
            self.metrics
                .record_request(outcome, started_at.elapsed().as_millis() as u64);
        }
        // Responding fails if the caller has disconnected.
        let _ = request.respond(reply);
    }

    /// Forwards a request to a service; returns the name of its outcome and the reply.
    fn forward(&self, request: &mut Request, rest: &str) -> (&'static str, Reply) {
        let (service, path) = match rest.split_once('/') {
            Some((service, path)) => (service, format!("/{path}")),
            None => (rest, "/".to_owned()),
        };
        let service = service.split('?').next().unwrap_or_default().to_owned();
        let body = match self.read_body(request) {
            Ok(body) => body,
            Err(refusal) => return ("not-run", refusal),
        };
        let forwarded = ForwardedRequest {
            method: request.method().to_string(),
            path,
            headers: request
                .headers()
                .iter()
                .map(|header| (header.field.to_string(), header.value.to_string()))
                .filter(|(name, _)| is_forwarded(name))
                .collect(),
            body,
        };
        let waiter = self.waiters.register();
        let now_ms = self.now_ms();
        let core = match core_request(request, &service, &forwarded, waiter.number, now_ms) {
            Ok(core) => core,
            Err(refusal) => return ("not-run", refusal),
        };
        let deadline_ms = core.deadline_ms;
        if self.events.send(Event::Request(core)).is_err() {
            return ("not-run", not_run("the daemon is ending", 1_000));
        }
        self.run_steps(&waiter, &forwarded, deadline_ms)
    }

    fn now_ms(&self) -> u64 {
        self.started_at.elapsed().as_millis() as u64
    }

    /// Carries out the steps that the node sends until one of them is the answer.
    fn run_steps(
        &self,
        waiter: &Waiter<'_>,
        forwarded: &ForwardedRequest,
        deadline_ms: u64,
    ) -> (&'static str, Reply) {
        let mut last_response: Option<CompleteResponse> = None;
        loop {
            let wait_ms = (deadline_ms + DECISION_GRACE_MS).saturating_sub(self.now_ms());
            let Ok(step) = waiter.steps.recv_timeout(Duration::from_millis(wait_ms)) else {
                return reply_for(&Answer::Unknown {
                    reason: "the daemon gave no verdict",
                    retry_after_ms: 0,
                });
            };
            match step {
                Step::Answer(Answer::Whole) => return ("answered", complete_reply(last_response)),
                Step::Answer(answer) => return reply_for(&answer),
                Step::Attempt {
                    address,
                    timeout_ms,
                    begin_by_ms,
                    response_max_bytes,
                } => {
                    // A thread that was suspended must not send after the grant or the
                    // lease that allows the attempt has expired.
                    let (outcome, response) = match self.now_ms() > begin_by_ms {
                        true => (AttemptOutcome::Expired, None),
                        false => attempt(forwarded, &address, timeout_ms, response_max_bytes),
                    };
                    last_response = response.or(last_response);
                    let request = waiter.number;
                    let _ = self.events.send(Event::AttemptEnded { request, outcome });
                }
            }
        }
    }

    /// Reads a request's body within the limits of size and time.
    ///
    /// # Errors
    ///
    /// The refusal, if the body is too large, too slow or truncated.
    fn read_body(&self, request: &mut Request) -> Result<Vec<u8>, Reply> {
        const CHUNK: usize = 16 * 1024;
        let started_at = Instant::now();
        let timeout = Duration::from_millis(self.caller_timeout_ms);
        let too_large = || {
            let detail = format!("At most {} bytes are accepted.", self.request_max_bytes);
            mark_not_run(problem(
                413,
                "too-large",
                "The request is too large",
                detail,
            ))
        };
        let length = request.body_length();
        if length.is_some_and(|length| length as u64 > self.request_max_bytes) {
            return Err(too_large());
        }
        let mut body = Vec::new();
        let mut chunk = [0_u8; CHUNK];
        loop {
            match request.as_reader().read(&mut chunk) {
                Ok(0) => break,
                Ok(count) => body.extend_from_slice(&chunk[..count]),
                Err(_) => {
                    let detail = "The body did not arrive in time.";
                    return Err(mark_not_run(problem(
                        408,
                        "too-slow",
                        "The request is too slow",
                        detail,
                    )));
                }
            }
            if body.len() as u64 > self.request_max_bytes {
                return Err(too_large());
            }
            if started_at.elapsed() > timeout {
                let detail = "The body did not arrive in time.";
                return Err(mark_not_run(problem(
                    408,
                    "too-slow",
                    "The request is too slow",
                    detail,
                )));
            }
        }
        if length.is_some_and(|length| length != body.len()) {
            let detail = "The body is shorter than its Content-Length.";
            return Err(mark_not_run(problem(
                400,
                "cut",
                "The request is not whole",
                detail,
            )));
        }
        Ok(body)
    }
}

/// Adds the outcome `not-run` to the refusal of a malformed request.
fn mark_not_run(mut reply: Reply) -> Reply {
    reply.add_header_if(header(OUTCOME_HEADER, "not-run"));
    reply
}

fn complete_reply(last_response: Option<CompleteResponse>) -> Reply {
    let Some(response) = last_response else {
        return reply_for(&Answer::Unknown {
            reason: "the answer is no longer held",
            retry_after_ms: 0,
        })
        .1;
    };
    let mut reply = Reply::from_data(response.body).with_status_code(response.status);
    for (name, value) in &response.headers {
        reply.add_header_if(header(name, value));
    }
    reply.add_header_if(header(OUTCOME_HEADER, "answered"));
    reply
}

fn header_of(request: &Request, name: &str) -> Option<String> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
    found.map(|header| header.value.to_string())
}

/// Converts a caller's request for the node.
///
/// # Errors
///
/// The refusal, if a header can't be read.
fn core_request(
    request: &Request,
    service: &str,
    forwarded: &ForwardedRequest,
    number: u64,
    now_ms: u64,
) -> Result<CoreRequest, Reply> {
    let bad =
        |detail: &str| mark_not_run(problem(400, "bad-header", "A header can't be read", detail));
    let timeout_ms = match header_of(request, "Goldcrestway-Timeout-Ms") {
        None => DEFAULT_TIMEOUT_MS,
        Some(text) => text
            .parse()
            .map_err(|_| bad("Write Goldcrestway-Timeout-Ms as a whole number of milliseconds."))?,
    };
    let is_idempotent = match header_of(request, "Goldcrestway-Idempotent").as_deref() {
        Some("true") => true,
        Some("false") => false,
        Some(_) => return Err(bad("Write Goldcrestway-Idempotent as true or false.")),
        None => !matches!(request.method(), Method::Post | Method::Patch),
    };
    if timeout_ms > MAX_TIMEOUT_MS {
        return Err(bad("Goldcrestway-Timeout-Ms is at most 30000."));
    }
    const MAX_KEY_BYTES: usize = 256;
    let key = header_of(request, "Idempotency-Key");
    if key
        .as_ref()
        .is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES)
    {
        return Err(bad("Write an Idempotency-Key of 1 to 256 bytes."));
    }
    let identity = key.map(|key| identity_hash(format!("{service}\n{key}").as_bytes()));
    let fingerprint_input = format!(
        "{}\n{}\n{}",
        forwarded.method,
        forwarded.path,
        String::from_utf8_lossy(&forwarded.body)
    );
    Ok(CoreRequest {
        request: number,
        service: service.into(),
        identity,
        fingerprint: hash(&fingerprint_input),
        is_idempotent,
        deadline_ms: now_ms + timeout_ms,
    })
}
