//! The side of callers: requests over plain HTTP.

use crate::answers::AddHeader;
use crate::answers::OUTCOME;
use crate::answers::Reply;
use crate::answers::header;
use crate::answers::not_run;
use crate::answers::problem;
use crate::answers::reply;
use crate::answers::reply_of;
use crate::attempt::Ask;
use crate::attempt::Whole;
use crate::attempt::attempt;
use crate::attempt::is_passed_on;
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

/// What the decisions tell the thread that serves a caller.
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

/// The callers and operators whose threads wait for the decisions.
pub(crate) struct Desk {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, Sender<Step>>>,
}

/// A place at the desk; given up when dropped.
pub(crate) struct Place<'a> {
    desk: &'a Desk,
    pub(crate) number: u64,
    pub(crate) steps: Receiver<Step>,
}

impl Desk {
    /// Numbers requests from `first` on. Numbers must differ from those of a
    /// former process at the seat, whose answers may still be on their way.
    pub(crate) fn new(first: u64) -> Self {
        Self {
            next: AtomicU64::new(first),
            waiting: Mutex::new(HashMap::new()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Sender<Step>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a place for one request.
    pub(crate) fn take(&self) -> Place<'_> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let (sender, steps) = channel();
        self.lock().insert(number, sender);
        Place {
            desk: self,
            number,
            steps,
        }
    }

    /// Passes a step to the thread that waits for it.
    pub(crate) fn pass(&self, number: u64, step: Step) {
        if let Some(sender) = self.lock().get(&number) {
            // A thread that has given up no longer listens.
            let _ = sender.send(step);
        }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.desk.lock().remove(&self.number);
    }
}

/// What the threads that serve callers share.
pub(crate) struct Front {
    pub(crate) desk: Arc<Desk>,
    pub(crate) events: Sender<Event>,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) is_ready: Arc<AtomicBool>,
    pub(crate) is_over: Arc<AtomicBool>,
    pub(crate) began: Instant,
    pub(crate) request_max_bytes: u64,
    pub(crate) caller_timeout_ms: u64,
}

/// How often an idle thread looks whether the daemon is over.
const IDLE: Duration = Duration::from_millis(100);
/// How long callers wait at the most if they don't say.
const DEFAULT_TIMEOUT_MS: u64 = 5_000;
/// Longest time that callers may ask for; below the silence that the gate bears.
const LONGEST_TIMEOUT_MS: u64 = 30_000;
/// Time beyond a deadline after which a thread stops waiting for the decisions.
const GRACE_MS: u64 = 3_000;

impl Front {
    /// Serves callers on `threads` threads until the daemon is over.
    pub(crate) fn serve(self: Arc<Self>, server: Server, threads: usize) {
        let server = Arc::new(server);
        for _ in 0..threads {
            let (front, server) = (self.clone(), server.clone());
            thread::spawn(move || {
                while !front.is_over.load(Ordering::Relaxed) {
                    if let Ok(Some(request)) = server.recv_timeout(IDLE) {
                        front.serve_one(request);
                    }
                }
            });
        }
    }

    fn serve_one(&self, mut request: Request) {
        let began = Instant::now();
        let path = request.url().to_owned();
        let (outcome, reply) = match path.as_str() {
            "/healthz" => ("", reply(200, "text/plain", "ok\n")),
            "/readyz" if self.is_ready.load(Ordering::Relaxed) => {
                ("", reply(200, "text/plain", "ready\n"))
            }
            "/readyz" => ("", reply(503, "text/plain", "not ready\n")),
            _ => match path.strip_prefix("/services/") {
                Some(rest) => self.pass_on(&mut request, rest),
                None => {
                    let detail = "Requests go to /services/NAME/PATH.";
                    (
                        "not-run",
                        problem(404, "no-such-path", "No such path", detail),
                    )
                }
            },
        };
        if self.is_over.load(Ordering::Relaxed) {
            // A daemon that was ended answers nobody; the connection just closes.
            drop(request.into_writer());
            return;
        }
        if !outcome.is_empty() {
            self.metrics
                .request(outcome, began.elapsed().as_millis() as u64);
        }
        // A caller that has gone needs no answer.
        let _ = request.respond(reply);
    }

    /// Takes a request for a service through to its answer.
    fn pass_on(&self, request: &mut Request, rest: &str) -> (&'static str, Reply) {
        let (service, path) = match rest.split_once('/') {
            Some((service, path)) => (service, format!("/{path}")),
            None => (rest, "/".to_owned()),
        };
        let service = service.split('?').next().unwrap_or_default().to_owned();
        let body = match self.read_body(request) {
            Ok(body) => body,
            Err(refusal) => return ("not-run", refusal),
        };
        let ask = Ask {
            method: request.method().to_string(),
            path,
            headers: request
                .headers()
                .iter()
                .map(|header| (header.field.to_string(), header.value.to_string()))
                .filter(|(name, _)| is_passed_on(name))
                .collect(),
            body,
        };
        let place = self.desk.take();
        let now_ms = self.now_ms();
        let core = match core_request(request, &service, &ask, place.number, now_ms) {
            Ok(core) => core,
            Err(refusal) => return ("not-run", refusal),
        };
        let deadline_ms = core.deadline_ms;
        if self.events.send(Event::Request(core)).is_err() {
            return ("not-run", not_run("the daemon is ending", 1_000));
        }
        self.follow(&place, &ask, deadline_ms)
    }

    fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    /// Does what the decisions say until they give the answer.
    fn follow(&self, place: &Place<'_>, ask: &Ask, deadline_ms: u64) -> (&'static str, Reply) {
        let mut held: Option<Whole> = None;
        loop {
            let patience_ms = (deadline_ms + GRACE_MS).saturating_sub(self.now_ms());
            let Ok(step) = place.steps.recv_timeout(Duration::from_millis(patience_ms)) else {
                return reply_of(&Answer::Unknown {
                    reason: "the daemon gave no verdict",
                    retry_after_ms: 0,
                });
            };
            match step {
                Step::Answer(Answer::Whole) => return ("answered", whole_reply(held)),
                Step::Answer(answer) => return reply_of(&answer),
                Step::Attempt {
                    address,
                    timeout_ms,
                    begin_by_ms,
                    response_max_bytes,
                } => {
                    // A thread that was paused must not send on a grant or lease
                    // that has run out meanwhile.
                    let (outcome, whole) = match self.now_ms() > begin_by_ms {
                        true => (AttemptOutcome::Expired, None),
                        false => attempt(ask, &address, timeout_ms, response_max_bytes),
                    };
                    held = whole.or(held);
                    let request = place.number;
                    let _ = self.events.send(Event::AttemptEnded { request, outcome });
                }
            }
        }
    }

    /// Reads a request's body within the bounds of size and time.
    fn read_body(&self, request: &mut Request) -> Result<Vec<u8>, Reply> {
        const CHUNK: usize = 16 * 1024;
        let began = Instant::now();
        let patience = Duration::from_millis(self.caller_timeout_ms);
        let too_large = || {
            let detail = format!("At most {} bytes are accepted.", self.request_max_bytes);
            refuse(problem(
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
                    return Err(refuse(problem(
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
            if began.elapsed() > patience {
                let detail = "The body did not arrive in time.";
                return Err(refuse(problem(
                    408,
                    "too-slow",
                    "The request is too slow",
                    detail,
                )));
            }
        }
        if length.is_some_and(|length| length != body.len()) {
            let detail = "The body is shorter than its Content-Length.";
            return Err(refuse(problem(
                400,
                "cut",
                "The request is not whole",
                detail,
            )));
        }
        Ok(body)
    }
}

/// Marks a refusal of a malformed request: it did not run.
fn refuse(mut reply: Reply) -> Reply {
    reply.add_header_if(header(OUTCOME, "not-run"));
    reply
}

fn whole_reply(held: Option<Whole>) -> Reply {
    let Some(whole) = held else {
        return reply_of(&Answer::Unknown {
            reason: "the answer is no longer held",
            retry_after_ms: 0,
        })
        .1;
    };
    let mut reply = Reply::from_data(whole.body).with_status_code(whole.status);
    for (name, value) in &whole.headers {
        reply.add_header_if(header(name, value));
    }
    reply.add_header_if(header(OUTCOME, "answered"));
    reply
}

fn header_of(request: &Request, wanted: &str) -> Option<String> {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(wanted));
    found.map(|header| header.value.to_string())
}

/// Turns a caller's request into what the decisions take.
fn core_request(
    request: &Request,
    service: &str,
    ask: &Ask,
    number: u64,
    now_ms: u64,
) -> Result<CoreRequest, Reply> {
    let bad = |detail: &str| refuse(problem(400, "bad-header", "A header can't be read", detail));
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
    if timeout_ms > LONGEST_TIMEOUT_MS {
        return Err(bad("Goldcrestway-Timeout-Ms is at most 30000."));
    }
    const LONGEST_KEY: usize = 256;
    let key = header_of(request, "Idempotency-Key");
    if key
        .as_ref()
        .is_some_and(|key| key.is_empty() || key.len() > LONGEST_KEY)
    {
        return Err(bad("Write an Idempotency-Key of 1 to 256 bytes."));
    }
    let identity = key.map(|key| identity_hash(format!("{service}\n{key}").as_bytes()));
    let asked = format!(
        "{}\n{}\n{}",
        ask.method,
        ask.path,
        String::from_utf8_lossy(&ask.body)
    );
    Ok(CoreRequest {
        request: number,
        service: service.into(),
        identity,
        fingerprint: hash(&asked),
        is_idempotent,
        deadline_ms: now_ms + timeout_ms,
    })
}
