//! HTTP responses to callers and operators: outcome header, problem details and
//! `Retry-After`.

use goldcrestway_core::Answer;
use goldcrestway_core::JobEnd;
use goldcrestway_core::JobState;
use goldcrestway_core::Outcome;
use goldcrestway_core::PublishOutcome;
use serde::Serialize;
use std::io::Cursor;
use tiny_http::Header;
use tiny_http::Response;

/// Response header that names the outcome of a request, such as `answered` or `not-run`.
pub(crate) const OUTCOME_HEADER: &str = "Goldcrestway-Outcome";

/// Problem details according to RFC 9457.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    r#type: &'a str,
    title: &'a str,
    status: u16,
    detail: String,
}

/// Response to a caller or an operator.
pub(crate) type Reply = Response<Cursor<Vec<u8>>>;

/// Creates a header; returns `None` if `name` or `value` contains characters that a header must
/// not have.
pub(crate) fn header(name: &str, value: &str) -> Option<Header> {
    Header::from_bytes(name, value).ok()
}

/// Creates a reply with a body of the given content type.
pub(crate) fn reply(status: u16, content_type: &str, body: impl Into<Vec<u8>>) -> Reply {
    let mut response = Response::from_data(body.into()).with_status_code(status);
    response.add_header_if(header("Content-Type", content_type));
    response
}

/// Extension of [`Reply`] for optional headers.
pub(crate) trait AddHeader {
    /// Adds `header` unless it is `None`.
    fn add_header_if(&mut self, header: Option<Header>);
}

impl AddHeader for Reply {
    fn add_header_if(&mut self, header: Option<Header>) {
        if let Some(header) = header {
            self.add_header(header);
        }
    }
}

/// Creates a refusal with problem details; `name` is the last part of the problem's URN.
pub(crate) fn problem(status: u16, name: &str, title: &str, detail: impl Into<String>) -> Reply {
    let problem_type = format!("urn:goldcrestway:problem:{name}");
    let body = Problem {
        r#type: &problem_type,
        title,
        status,
        detail: detail.into(),
    };
    let body = serde_json::to_vec(&body).unwrap_or_default();
    reply(status, "application/problem+json", body)
}

/// Returns a `Retry-After` header in seconds, rounded up, or `None` for 0 ms.
fn retry_header(retry_after_ms: u64) -> Option<Header> {
    const MS_PER_S: u64 = 1_000;
    let seconds = retry_after_ms.div_ceil(MS_PER_S);
    (seconds > 0).then(|| header("Retry-After", &seconds.to_string()))?
}

/// Creates a refusal of a request that did not run, with a `Retry-After` of at least 1 s.
pub(crate) fn not_run(reason: &str, retry_after_ms: u64) -> Reply {
    let mut reply = problem(503, "not-run", "The request did not run", reason);
    reply.add_header_if(retry_header(retry_after_ms.max(1)));
    reply.add_header_if(header(OUTCOME_HEADER, "not-run"));
    reply
}

/// Creates the reply for an answer that carries no response of an instance, and
/// returns it with the name of its outcome.
pub(crate) fn reply_for(answer: &Answer) -> (&'static str, Reply) {
    let (outcome, mut reply) = match answer {
        Answer::Whole => ("answered", reply(200, "text/plain", "")),
        Answer::NotRun {
            reason,
            retry_after_ms,
        } => return ("not-run", not_run(reason, *retry_after_ms)),
        Answer::Unknown {
            reason,
            retry_after_ms,
        } => {
            let title = "Whether the request ran is not known";
            let mut reply = problem(504, "unknown", title, *reason);
            reply.add_header_if(retry_header(*retry_after_ms));
            ("unknown", reply)
        }
        Answer::Repeated { outcome, status } => repeated_reply(*outcome, *status),
        Answer::Conflict => (
            "not-run",
            problem(
                422,
                "identity-conflict",
                "The identity was used for a different request",
                "Give each request an Idempotency-Key of its own.",
            ),
        ),
        Answer::NotListed => (
            "not-run",
            problem(
                404,
                "not-listed",
                "No such service or job",
                "The inventory in force lists none.",
            ),
        ),
        Answer::Job { state } => ("answered", reply(200, "application/json", job_json(*state))),
        Answer::NeverRuns { reason } => (
            "not-run",
            problem(422, "never-runs", "The job could never run", &**reason),
        ),
        Answer::Published(fate) => ("answered", publication_reply(fate)),
    };
    reply.add_header_if(header(OUTCOME_HEADER, outcome));
    (outcome, reply)
}

fn repeated_reply(outcome: Outcome, status: u16) -> (&'static str, Reply) {
    let (name, detail) = match outcome {
        Outcome::Answered => (
            "answered",
            format!("It ran once and was answered with status {status}."),
        ),
        Outcome::NotRun => ("not-run", "It did not run.".to_owned()),
        Outcome::Unknown => ("unknown", "Whether it ran is not known.".to_owned()),
    };
    (
        name,
        problem(
            409,
            "repeated",
            "A request with this identity came before",
            detail,
        ),
    )
}

/// Returns the name of a job's state as callers see it.
pub(crate) fn job_state_name(state: JobState) -> &'static str {
    match state {
        JobState::Ended { end, .. } => match end {
            JobEnd::Finished => "finished",
            JobEnd::Failed => "failed",
            JobEnd::Unknown => "unknown",
            JobEnd::Cancelled => "cancelled",
        },
        JobState::Running { .. } => "running",
        _ => "accepted",
    }
}

fn job_json(state: JobState) -> String {
    serde_json::json!({ "state": job_state_name(state) }).to_string()
}

fn publication_reply(fate: &PublishOutcome) -> Reply {
    match fate {
        PublishOutcome::Accepted { version } => {
            let body = serde_json::json!({ "version": version }).to_string();
            reply(200, "application/json", body)
        }
        PublishOutcome::Overtaken { version, author } => problem(
            409,
            "overtaken",
            "Another change came first",
            format!(
                "Version {version} by {author} is in force. Compare with `goldcrestway diff FILE`, then publish again."
            ),
        ),
        PublishOutcome::Faulty { faults } => {
            problem(422, "faulty", "The inventory would be faulty", &**faults)
        }
    }
}
