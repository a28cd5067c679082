//! Calls to peers.

use quick_error::quick_error;
use std::fmt::Write as _;
use std::net::SocketAddr;

/// One call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Number by which its end is reported.
    pub number: u64,
    /// Where it goes.
    pub peer: SocketAddr,
    /// Head and body.
    pub bytes: Box<[u8]>,
    /// Time after which the answer is no longer awaited.
    pub timeout_ms: u64,
    /// If given, an answer that has begun within the time-out is awaited as long as no pause
    /// between its bytes is longer than this.
    pub stall_ms: Option<u64>,
}

/// What a call says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Its method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Headers beside those of the connection and body.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// Type of the body.
    pub content_type: &'static str,
    /// The body; a GET has none.
    pub body: Vec<u8>,
}

impl Message {
    /// Makes a GET.
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
    /// Puts a call together.
    pub fn new(number: u64, peer: SocketAddr, timeout_ms: u64, message: &Message) -> Self {
        let Message {
            method,
            target,
            headers,
            content_type,
            body,
        } = message;
        let mut head = format!("{method} {target} HTTP/1.1\r\nHost: {peer}\r\n");
        // Writing to a string can't fail.
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
        }
    }

    /// Awaits a long answer for as long as bytes of it come.
    pub fn with_stall_ms(self, stall_ms: u64) -> Self {
        Self {
            stall_ms: Some(stall_ms),
            ..self
        }
    }
}

quick_error! {
    /// Why a call has no answer.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum CallFault {
        /// Nothing of it was written, so the peer did nothing.
        NotSent(peer: SocketAddr) {
            display("connecting to {peer}: no connection; the call was not sent")
        }
        /// It may have reached the peer, which may act on it now or later.
        Unknown(peer: SocketAddr) {
            display("calling {peer}: no answer; it may have been carried out")
        }
    }
}

impl CallFault {
    /// Tells whether the peer certainly did nothing.
    pub fn had_no_effect(self) -> bool {
        matches!(self, CallFault::NotSent(_))
    }
}
