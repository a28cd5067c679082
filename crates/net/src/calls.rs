//! HTTP/1.1 calls to peers, and the faults they can end with.

use quick_error::quick_error;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// A call to a peer, encoded as it is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Number under which the outcome is reported.
    pub number: u64,
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Encoded head and body of the request.
    pub bytes: Box<[u8]>,
    /// Time in milliseconds after which the answer is no longer awaited.
    pub timeout_ms: u64,
    /// If set, an answer that has begun within the timeout is awaited as long as no gap
    /// between its bytes exceeds this time in milliseconds.
    pub stall_ms: Option<u64>,
    /// Time in milliseconds after which a call that still waits for a connection is not sent any
    /// more. Without it, such a call is sent until the timeout.
    pub max_queue_ms: Option<u64>,
}

/// Content of a call, before it is encoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Headers in addition to `Host`, `Content-Type` and `Content-Length`.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Body; a GET has none.
    pub body: Vec<u8>,
}

impl Message {
    /// Creates a GET request without further headers.
    pub fn get(target: String) -> Self {
        Self {
            method: "GET",
            target,
            headers: Vec::new(),
            content_type: "",
            body: Vec::new(),
        }
    }
}

impl Call {
    /// Encodes `message` as a call to `peer`.
    pub fn new(number: u64, peer: SocketAddr, timeout_ms: u64, message: &Message) -> Self {
        let Message {
            method,
            target,
            headers,
            content_type,
            body,
        } = message;
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {peer}\r\n");
        // Writing to a `String` is infallible.
        for (name, value) in headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if *method != "GET" {
            let length = body.len();
            let _ = write!(
                head,
                "Content-Type: {content_type}\r\nContent-Length: {length}\r\n"
            );
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        Self {
            number,
            peer,
            bytes: bytes.into(),
            timeout_ms,
            stall_ms: None,
            max_queue_ms: None,
        }
    }

    /// Extends the wait for an answer that has begun while gaps between its bytes stay within
    /// `stall_ms` milliseconds.
    pub fn with_stall_ms(self, stall_ms: u64) -> Self {
        Self {
            stall_ms: Some(stall_ms),
            ..self
        }
    }

    /// Limits how long the call may wait for a connection; `None` for no limit but the timeout.
    pub fn with_max_queue_ms(self, max_queue_ms: Option<u64>) -> Self {
        Self {
            max_queue_ms,
            ..self
        }
    }
}

quick_error! {
    /// Reason why a call has no answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CallFault {
        /// No byte of the call was written, so it had no effect at the peer.
        NotSent(peer: SocketAddr) {
            display("connecting to {peer}: no connection; the call was not sent")
        }
        /// The call may have reached the peer, which may execute it now or later.
        Unknown(peer: SocketAddr) {
            display("calling {peer}: no answer; it may have been carried out")
        }
    }
}

impl CallFault {
    /// Returns whether the call certainly had no effect at the peer.
    pub fn had_no_effect(self) -> bool {
        matches!(self, CallFault::NotSent(_))
    }
}
