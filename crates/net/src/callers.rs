//! Connections from callers: reads HTTP/1.1 requests, writes answers, and closes connections
//! that exceed the [`CallerLimits`].

use crate::buffer::Outbox;
use crate::buffer::StreamState;
use crate::buffer::read_available;
use crate::event_loop::Arrival;
use crate::event_loop::CallerKey;
use crate::event_loop::Clock;
use crate::event_loop::ListenerKey;
use crate::event_loop::Registrar;
use crate::event_loop::TokenKind;
use crate::parse::CallerLimits;
use crate::parse::Parsed;
use crate::parse::parse_request;
use crate::parse::write_response;
use mio::Interest;
use mio::net::TcpStream;
use slotmap::Key;
use slotmap::KeyData;
use slotmap::SlotMap;

/// Maximum number of connected callers. Further connections are closed on arrival, which
/// leaves more than half of the 4,100 descriptors of an entry host for calls to peers.
const MAX_CALLERS: usize = 1_500;

struct Caller {
    stream: TcpStream,
    listener: ListenerKey,
    inbox: Vec<u8>,
    outbox: Outbox,
    /// Whether a request was passed on and has not been answered yet.
    is_answer_pending: bool,
    /// Whether the connection closes after the present answer; no further request is read.
    is_last: bool,
    /// Whether the caller has closed its sending side.
    is_half_closed: bool,
    /// Start of the present request, or of the present idle time.
    since_ms: u64,
}

/// All connections from callers.
#[derive(Default)]
pub(crate) struct Callers {
    callers: SlotMap<CallerKey, Caller>,
    /// Limits on requests and idle times.
    pub(crate) limits: CallerLimits,
    /// Whether each connection closes after its next answer.
    pub(crate) is_closing: bool,
}

impl Callers {
    /// Registers an accepted connection, or drops it if [`MAX_CALLERS`] are connected.
    pub(crate) fn admit(
        &mut self,
        stream: TcpStream,
        listener: ListenerKey,
        clock: Clock,
        registrar: &Registrar,
    ) {
        if self.callers.len() >= MAX_CALLERS {
            return;
        }
        // Without this option small writes are delayed by up to 40 ms; a failure to set it
        // only makes answers slower.
        let _ = stream.set_nodelay(true);
        let key = self.callers.insert(Caller {
            stream,
            listener,
            inbox: Vec::new(),
            outbox: Outbox::default(),
            is_answer_pending: false,
            is_last: false,
            is_half_closed: false,
            since_ms: clock.now_ms,
        });
        let token = TokenKind::Caller.token(key.data().as_ffi());
        let caller = &mut self.callers[key];
        if registrar
            .register(
                &mut caller.stream,
                token,
                Interest::READABLE | Interest::WRITABLE,
            )
            .is_err()
        {
            self.callers.remove(key);
        }
    }

    /// Handles a readiness event of the connection whose key has the bits `raw_key`.
    pub(crate) fn handle(&mut self, raw_key: u64, clock: Clock, arrivals: &mut Vec<Arrival>) {
        let key = CallerKey::from(KeyData::from_ffi(raw_key));
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        let was_empty = caller.inbox.is_empty();
        let state = read_available(&mut caller.stream, &mut caller.inbox);
        if was_empty && !caller.inbox.is_empty() && !caller.is_answer_pending {
            caller.since_ms = clock.now_ms;
        }
        match state {
            Ok(StreamState::Open) => {}
            // A caller that has closed its sending side may still await its answer.
            Ok(StreamState::Ended) => caller.is_half_closed = true,
            Err(_) => return self.drop_caller(key, arrivals),
        }
        if caller.outbox.flush(&mut caller.stream).is_err() {
            return self.drop_caller(key, arrivals);
        }
        self.advance(key, clock, arrivals);
    }

    /// Passes on the next complete request, or closes a connection that has no more to serve.
    fn advance(&mut self, key: CallerKey, clock: Clock, arrivals: &mut Vec<Arrival>) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        if caller.is_answer_pending {
            return;
        }
        let is_done = caller.is_last || (caller.is_half_closed && caller.inbox.is_empty());
        if is_done && caller.outbox.is_empty() {
            return self.drop_caller(key, arrivals);
        }
        if caller.is_last || caller.inbox.is_empty() {
            return;
        }
        match parse_request(&caller.inbox, &self.limits) {
            Parsed::Partial if caller.is_half_closed => self.drop_caller(key, arrivals),
            Parsed::Partial => {}
            Parsed::Invalid(status) => {
                caller.is_last = true;
                caller.inbox.clear();
                caller.outbox.add(&write_response(status, &[], b"", true));
                let _ = caller.outbox.flush(&mut caller.stream);
                self.advance(key, clock, arrivals);
            }
            Parsed::Whole(request, used, is_last) => {
                caller.inbox.drain(..used);
                caller.is_last = is_last;
                caller.is_answer_pending = true;
                caller.since_ms = clock.now_ms;
                arrivals.push(Arrival::Request {
                    caller: key,
                    listener: caller.listener,
                    request,
                });
            }
        }
    }

    /// Sends the answer to the pending request of a caller.
    pub(crate) fn answer(
        &mut self,
        key: CallerKey,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
        clock: Clock,
        arrivals: &mut Vec<Arrival>,
    ) {
        let Some(caller) = self.callers.get_mut(key) else {
            return;
        };
        caller.is_last |= self.is_closing || caller.is_half_closed;
        caller
            .outbox
            .add(&write_response(status, headers, body, caller.is_last));
        caller.is_answer_pending = false;
        caller.since_ms = clock.now_ms;
        if caller.outbox.flush(&mut caller.stream).is_err() {
            return self.drop_caller(key, arrivals);
        }
        self.advance(key, clock, arrivals);
    }

    /// Closes a connection, and reports the loss of a caller whose request is unanswered.
    fn drop_caller(&mut self, key: CallerKey, arrivals: &mut Vec<Arrival>) {
        if let Some(caller) = self.callers.remove(key)
            && caller.is_answer_pending
        {
            arrivals.push(Arrival::CallerDisconnected { caller: key });
        }
    }

    /// Closes idle connections and incomplete requests that exceed their time limit.
    ///
    /// An incomplete request is answered with status 408.
    pub(crate) fn expire(&mut self, clock: Clock, arrivals: &mut Vec<Arrival>) {
        let limits = self.limits;
        let mut expired = Vec::new();
        for (key, caller) in &self.callers {
            if caller.is_answer_pending {
                continue;
            }
            let timeout_ms = match caller.inbox.is_empty() {
                true => limits.max_idle_ms,
                false => limits.max_request_ms,
            };
            if clock.now_ms > caller.since_ms + timeout_ms {
                expired.push((key, !caller.inbox.is_empty()));
            }
        }
        for (key, is_partial) in expired {
            if is_partial && let Some(caller) = self.callers.get_mut(key) {
                caller.outbox.add(&write_response(408, &[], b"", true));
                let _ = caller.outbox.flush(&mut caller.stream);
            }
            self.drop_caller(key, arrivals);
        }
    }

    /// Closes connections without a request or answer in progress, and returns the number of
    /// those that remain.
    pub(crate) fn close_idle(&mut self) -> usize {
        self.callers.retain(|_, caller| {
            caller.is_answer_pending || !caller.inbox.is_empty() || !caller.outbox.is_empty()
        });
        self.callers.len()
    }
}
