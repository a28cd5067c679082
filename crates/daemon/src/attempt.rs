//! One attempt at an instance: send a request, take its answer whole or not at
//! all.

use goldcrestway_core::AttemptOutcome;
use std::io::ErrorKind;
use std::time::Duration;
use std::time::Instant;
use ureq::http::Response as HttpResponse;

/// What a caller asked, as it is passed on.
#[derive(Debug, Clone)]
pub(crate) struct Ask {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

/// An instance's whole answer.
#[derive(Debug, Clone)]
pub(crate) struct Whole {
    pub(crate) status: u16,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

/// Headers that concern one connection only and are not passed on.
const OWN_HEADERS: &[&str] = &[
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Tells whether a header is passed on.
pub(crate) fn is_passed_on(name: &str) -> bool {
    let name = name.to_ascii_lowercase();
    !OWN_HEADERS.contains(&&*name) && !name.starts_with("goldcrestway-")
}

/// Sends `ask` to the instance at `address`. Each attempt has a connection of its
/// own, so that no instance gets more connections than it has slots.
pub(crate) fn attempt(
    ask: &Ask,
    address: &str,
    timeout_ms: u64,
    most_bytes: u64,
) -> (AttemptOutcome, Option<Whole>) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(timeout_ms.max(1))))
        .http_status_as_error(false)
        .max_redirects(0)
        .max_idle_connections(0)
        .build()
        .new_agent();
    let mut builder = ureq::http::Request::builder()
        .method(ask.method.as_str())
        .uri(format!("http://{address}{}", ask.path));
    for (name, value) in &ask.headers {
        builder = builder.header(name, value);
    }
    let Ok(request) = builder.body(ask.body.clone()) else {
        return (AttemptOutcome::NotStarted, None);
    };
    let began = Instant::now();
    let response = match agent.run(request) {
        Ok(response) => response,
        Err(error) => return (end_of(&error), None),
    };
    match take_whole(response, most_bytes) {
        None => (AttemptOutcome::Interrupted, None),
        Some(whole) => {
            let latency_ms = began.elapsed().as_millis() as u64;
            let status = whole.status;
            (AttemptOutcome::Complete { status, latency_ms }, Some(whole))
        }
    }
}

/// Tells whether anything can have reached the instance. Only a connection that
/// was never made is proof that nothing did.
fn end_of(error: &ureq::Error) -> AttemptOutcome {
    let is_refused = match error {
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
    if is_refused {
        AttemptOutcome::NotStarted
    } else {
        AttemptOutcome::Interrupted
    }
}

/// Reads an answer to its end. One whose end can't be told, because it has neither
/// a length nor chunks, may have been cut and does not count as whole.
fn take_whole(mut response: HttpResponse<ureq::Body>, most_bytes: u64) -> Option<Whole> {
    let headers: Vec<(String, String)> = response
        .headers()
        .iter()
        .filter_map(|(name, value)| Some((name.to_string(), value.to_str().ok()?.to_owned())))
        .collect();
    let find = |wanted: &str| {
        let found = headers
            .iter()
            .find(|(name, _)| name.eq_ignore_ascii_case(wanted));
        found.map(|(_, value)| value.clone())
    };
    let length: Option<u64> = find("content-length").and_then(|value| value.parse().ok());
    let is_chunked = find("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    let status = response.status().as_u16();
    let body = response
        .body_mut()
        .with_config()
        .limit(most_bytes)
        .read_to_vec()
        .ok()?;
    let has_no_body = matches!(status, 204 | 304) && body.is_empty();
    let is_whole = match length {
        Some(length) => length == body.len() as u64,
        None => is_chunked || has_no_body,
    };
    is_whole.then(|| Whole {
        status,
        headers: headers
            .into_iter()
            .filter(|(name, _)| is_passed_on(name))
            .collect(),
        body,
    })
}
