//! Parsing of HTTP/1.1 requests and responses, with `httparse` for the heads, and encoding of
//! responses.

use std::fmt::Write as _;

/// Maximum number of headers in a request or response.
const MAX_HEADERS: usize = 64;
/// Maximum size of the head of a peer's response, in bytes.
const MAX_RESPONSE_HEAD_BYTES: usize = 16_384;
/// Maximum size of a body, in bytes. The longest answers are pages of a list, of about a megabyte. Without
/// a limit an endless body fills the memory, and the length of a chunk leaves the range of integers.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Headers as pairs of a name in lower case and a value.
pub(crate) type Headers = Box<[(Box<str>, Box<str>)]>;

/// Limits on the requests of a caller and on its idle time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head.
    pub max_head_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum time between the first and the last byte of a request.
    pub max_request_ms: u64,
    /// Maximum idle time between requests.
    pub max_idle_ms: u64,
}

impl Default for CallerLimits {
    /// Returns generous limits for use before the configuration is read.
    fn default() -> Self {
        Self {
            max_head_bytes: 16_384,
            max_body_bytes: 1 << 20,
            max_request_ms: 5_000,
            max_idle_ms: 30_000,
        }
    }
}

/// A complete request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// HTTP method, as sent.
    pub method: Box<str>,
    /// Path and query, as sent.
    pub target: Box<str>,
    /// Headers, with names in lower case.
    pub headers: Box<[(Box<str>, Box<str>)]>,
    /// Body, without any chunked encoding.
    pub body: Box<[u8]>,
}

impl Request {
    /// Returns the value of the first header called `name`, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// A complete response of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Headers, with names in lower case.
    pub headers: Box<[(Box<str>, Box<str>)]>,
    /// Body, without any chunked encoding.
    pub body: Box<[u8]>,
    /// Size on the wire, head and body, in bytes.
    pub wire_bytes: usize,
}

impl Response {
    /// Returns the value of the first header called `name`, which must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }
}

/// Returns the value of the first header called `name`, which is in lower case.
fn find_header<'a>(headers: &'a [(Box<str>, Box<str>)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(key, _)| **key == *name)
        .map(|(_, value)| &**value)
}

/// Result of parsing the bytes received so far.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Parsed<T> {
    /// More bytes are needed.
    Partial,
    /// A complete message, its size in bytes, and whether it is the last on the connection.
    Whole(T, usize, bool),
    /// The message is invalid; carries the HTTP status that says why.
    Invalid(u16),
}

/// Copies the headers, with names in lower case. Returns `None` if a value is not UTF-8.
fn collect_headers(headers: &[httparse::Header<'_>]) -> Option<Headers> {
    let mut collected = Vec::with_capacity(headers.len());
    for header in headers {
        let value = std::str::from_utf8(header.value).ok()?;
        collected.push((
            header.name.to_ascii_lowercase().into_boxed_str(),
            value.trim().into(),
        ));
    }
    Some(collected.into())
}

/// Returns whether the sender closes the connection after the message. HTTP/1.0 does so by
/// default.
fn ends_connection(headers: &[(Box<str>, Box<str>)], version: Option<u8>) -> bool {
    match find_header(headers, "connection") {
        Some(value) if value.eq_ignore_ascii_case("close") => true,
        Some(value) if value.eq_ignore_ascii_case("keep-alive") => false,
        _ => version == Some(0),
    }
}

/// Parses one request from the start of `bytes`.
pub(crate) fn parse_request(bytes: &[u8], limits: &CallerLimits) -> Parsed<Request> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut fields);
    let head_bytes = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() > limits.max_head_bytes => {
            return Parsed::Invalid(431);
        }
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(httparse::Error::TooManyHeaders) => return Parsed::Invalid(431),
        Err(_) => return Parsed::Invalid(400),
    };
    if head_bytes > limits.max_head_bytes {
        return Parsed::Invalid(431);
    }
    let Some(headers) = collect_headers(head.headers) else {
        return Parsed::Invalid(400);
    };
    let is_last = ends_connection(&headers, head.version);
    let (body, used) = match read_body(bytes, head_bytes, &headers, limits.max_body_bytes, Some(0))
    {
        Parsed::Whole(body, used, _) => (body, used),
        Parsed::Partial => return Parsed::Partial,
        Parsed::Invalid(status) => return Parsed::Invalid(status),
    };
    let request = Request {
        method: head.method.unwrap_or_default().into(),
        target: head.path.unwrap_or_default().into(),
        headers,
        body,
    };
    Parsed::Whole(request, used, is_last)
}

/// Parses one response from the start of `bytes`. `is_eof` states that no more bytes will
/// follow, which ends a body without a length.
pub(crate) fn parse_response(bytes: &[u8], is_eof: bool) -> Parsed<Response> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut fields);
    let head_bytes = match head.parse(bytes) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() > MAX_RESPONSE_HEAD_BYTES => {
            return Parsed::Invalid(502);
        }
        Ok(httparse::Status::Partial) => return Parsed::Partial,
        Err(_) => return Parsed::Invalid(502),
    };
    let Some(headers) = collect_headers(head.headers) else {
        return Parsed::Invalid(502);
    };
    let status = head.code.unwrap_or(502);
    let is_last = ends_connection(&headers, head.version);
    let implicit_length = match status {
        204 | 304 => Some(0),
        _ if is_eof => Some(bytes.len() - head_bytes),
        _ => None,
    };
    match read_body(bytes, head_bytes, &headers, MAX_BODY_BYTES, implicit_length) {
        Parsed::Whole(body, used, _) => Parsed::Whole(
            Response {
                status,
                headers,
                body,
                wire_bytes: used,
            },
            used,
            is_last,
        ),
        Parsed::Partial => Parsed::Partial,
        Parsed::Invalid(status) => Parsed::Invalid(status),
    }
}

/// Reads the body that follows a head of `head_bytes` bytes.
///
/// A body without a `Content-Length` and a chunked encoding has `implicit_length` bytes; `None`
/// means that its length is not known yet.
fn read_body(
    bytes: &[u8],
    head_bytes: usize,
    headers: &[(Box<str>, Box<str>)],
    max_bytes: usize,
    implicit_length: Option<usize>,
) -> Parsed<Box<[u8]>> {
    let max_bytes = max_bytes.min(MAX_BODY_BYTES);
    if find_header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        return read_chunks(bytes, head_bytes, max_bytes);
    }
    let length = match find_header(headers, "content-length") {
        Some(value) => match value.parse::<usize>() {
            Ok(length) => length,
            Err(_) => return Parsed::Invalid(400),
        },
        None => match implicit_length {
            Some(length) => length,
            None if bytes.len() - head_bytes > max_bytes => return Parsed::Invalid(413),
            None => return Parsed::Partial,
        },
    };
    if length > max_bytes {
        return Parsed::Invalid(413);
    }
    match bytes.get(head_bytes..head_bytes + length) {
        Some(body) => Parsed::Whole(body.into(), head_bytes + length, false),
        None => Parsed::Partial,
    }
}

/// Reads a body in chunked encoding.
fn read_chunks(bytes: &[u8], head_bytes: usize, max_bytes: usize) -> Parsed<Box<[u8]>> {
    let mut body = Vec::new();
    let mut offset = head_bytes;
    loop {
        let (start, length) = match httparse::parse_chunk_size(&bytes[offset..]) {
            Ok(httparse::Status::Complete((skip, length))) => (offset + skip, length as usize),
            Ok(httparse::Status::Partial) => return Parsed::Partial,
            Err(_) => return Parsed::Invalid(400),
        };
        if length > max_bytes - body.len() {
            return Parsed::Invalid(413);
        }
        let end = start + length;
        if bytes.len() < end + 2 {
            return Parsed::Partial;
        }
        body.extend_from_slice(&bytes[start..end]);
        offset = end + 2;
        if length == 0 {
            return Parsed::Whole(body.into(), offset, false);
        }
    }
}

/// Returns the reason phrase of a status.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        410 => "Gone",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

/// Encodes a complete response. If `is_last` is set, it announces that the connection closes.
pub(crate) fn write_response(
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
    is_last: bool,
) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    for (name, value) in headers {
        let _ = write!(head, "{name}: {value}\r\n");
    }
    if is_last {
        head.push_str("Connection: close\r\n");
    }
    let _ = write!(head, "Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
