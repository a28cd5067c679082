//! One attempt of a request: sends it to an instance and accepts only a complete
//! response.

use goldcrestway_core::AttemptOutcome;
use std::io::ErrorKind;
use std::time::Duration;
use std::time::Instant;
use ureq::http::Response as HttpResponse;

/// Request of a caller, as it is forwarded to an instance.
#[derive(Debug, Clone)]
pub(crate) struct ForwardedRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

/// Complete response of an instance.
#[derive(Debug, Clone)]
pub(crate) struct CompleteResponse {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

/// Headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns whether a header is forwarded.
pub(crate) fn is_forwarded(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    !HOP_BY_HOP_HEADERS.contains(&&*name) && !name.starts_with("goldcrestway-")
}

/// Sends `forwarded` to the instance at `address`, with a timeout in milliseconds. Each
/// attempt opens a connection of its own and closes it, so that no instance has more
/// connections than slots.
pub(crate) fn attempt(
    forwarded: &ForwardedRequest,
    address: &str,
    timeout_ms: u64,
    max_body_bytes: u64,
) -> (AttemptOutcome, Option<CompleteResponse>) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(timeout_ms.max(1))))
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .build()
        .new_agent();
    let mut builder = ureq::http::Request::builder()
        .method(forwarded.method.as_str())
        .uri(format!("http://{address}{}", forwarded.path));
    for (name, value) in &forwarded.headers {
        builder = builder.header(name, value);
    }
    let Ok(request) = builder.body(forwarded.body.clone()) else {
        return (AttemptOutcome::NotStarted, None);
    };
    let started_at = Instant::now();
    let response = match agent.run(request) {
        Ok(response) => response,
        Err(error) => return (classify_error(&error), None),
    };
    match read_complete(response, max_body_bytes) {
        None => (AttemptOutcome::Interrupted, None),
        Some(complete) => {
            let latency_ms = started_at.elapsed().as_millis() as u64;
            let status = complete.status;
            (
                AttemptOutcome::Complete { status, latency_ms },
                Some(complete),
            )
        }
    }
}

/// Returns `NotStarted` if nothing can have reached the instance, else `Cut`. Only a
/// connection that was never established proves that nothing reached it.
fn classify_error(error: &ureq::Error) -> AttemptOutcome {
    let never_connected = match error {
        ureq::Error::Io(error) => {
            matches!(
                error.kind(),
                ErrorKind::ConnectionRefused | ErrorKind::AddrNotAvailable
            )
        }
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        _ => false,
    };
    if never_connected {
        AttemptOutcome::NotStarted
    } else {
        AttemptOutcome::Interrupted
    }
}

/// Reads a response to its end. A response with neither a `Content-Length` nor chunked
/// encoding has no recognizable end: it may be truncated and does not count as complete.
fn read_complete(
    mut response: HttpResponse<ureq::Body>,
    max_body_bytes: u64,
) -> Option<CompleteResponse> {
    let headers: Vec<(String, String)> = response
        .headers()
        .iter()
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect();
    let find = |header_name: &str| {
        let found = headers
            .iter()
            .find(|(name, _)| name.eq_ignore_ascii_case(header_name));
        found.map(|(_, value)| value.clone())
    };
    let length: Option<u64> = find("content-length").and_then(|value| value.parse().ok());
    let is_chunked = find("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(max_body_bytes)
        .read_to_vec()
        .ok()?;
    let has_no_body = matches!(status, 204 | 304) && body.is_empty();
    let is_complete = match length {
        Some(length) => length == body.len() as u64,
        None => is_chunked || has_no_body,
    };
    is_complete.then(|| CompleteResponse {
        status,
        headers: headers
            .into_iter()
            .filter(|(name, _)| is_forwarded(name))
            .collect(),
        body,
    })
}
