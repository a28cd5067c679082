//! Callers that send requests and submit jobs. Each request or job is retried under
//! its identity until its outcome is known, as a correct client does.

use crate::fleet::Fleet;
use goldcrestway_daemon::JobRequest;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

const REQUESTS: usize = 2_000;
const JOBS: usize = 200;
const MAX_CONCURRENT_CALLERS: usize = 24;
/// Time after which a caller gives up retrying.
const RETRY_TIMEOUT: Duration = Duration::from_secs(40);

/// Last outcome of a request that its caller received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// Answered with a complete body.
    Answered,
    /// Not run; the caller has given up.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
}

/// Results of all requests and jobs as the callers saw them.
pub(crate) struct Report {
    /// Requests by identity; `true` marks a non-idempotent one.
    pub(crate) requests: BTreeMap<String, (bool, Outcome)>,
    /// Jobs that were accepted.
    pub(crate) jobs: Vec<String>,
    /// Never-twice jobs whose outcome is unknown because their host died.
    pub(crate) unknown_jobs: Vec<String>,
    /// Time to the final answer of idempotent requests, in microseconds.
    pub(crate) idempotent_us: Histogram<u64>,
    /// Time to the final answer of non-idempotent requests, in microseconds.
    pub(crate) non_idempotent_us: Histogram<u64>,
    /// Number of "not run" answers after which the caller retried.
    pub(crate) refusals: usize,
    /// Answers with a body that is not the one expected for the request, and jobs
    /// that were never accepted.
    pub(crate) errors: Vec<String>,
}

/// Sends all requests and submits all jobs; kills entry host e2 and worker w3 after
/// half of the requests.
pub(crate) fn run(fleet: &mut Fleet, seed: usize) -> Report {
    let next = AtomicUsize::new(0);
    let report = Mutex::new(Report {
        requests: BTreeMap::new(),
        jobs: Vec::new(),
        unknown_jobs: Vec::new(),
        idempotent_us: new_histogram(),
        non_idempotent_us: new_histogram(),
        refusals: 0,
        errors: Vec::new(),
    });
    let addresses: Vec<String> = fleet
        .settings
        .values()
        .map(|settings| settings.own().caller_address.to_string())
        .collect();
    let operators: Vec<String> = fleet
        .settings
        .values()
        .map(|settings| settings.own().operator_address.to_string())
        .collect();
    let daemon = fleet.daemons.remove("e2");
    let worker = &fleet.workers["w3"];
    thread::scope(|scope| {
        for _ in 0..MAX_CONCURRENT_CALLERS {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    if number >= REQUESTS {
                        return;
                    }
                    if number.is_multiple_of(REQUESTS / JOBS) {
                        submit(&operators, number, &report);
                    }
                    send_request(&addresses, number, seed, &report);
                }
            });
        }
        scope.spawn(|| {
            while next.load(Ordering::Relaxed) < REQUESTS / 2 {
                thread::sleep(Duration::from_millis(2));
            }
            drop(daemon);
            worker.crash();
        });
    });
    wait_for_jobs(&operators, fleet, &report);
    report.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn new_histogram() -> Histogram<u64> {
    const DIGITS: u8 = 3;
    // Covers up to one minute, in microseconds.
    Histogram::new_with_bounds(1, 60_000_000, DIGITS)
        .unwrap_or_else(|_| unreachable!("the bounds are valid"))
}

fn agent() -> ureq::Agent {
    const TIMEOUT: Duration = Duration::from_secs(4);
    ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .http_status_as_error(false)
        .build()
        .new_agent()
}

/// Result of a single attempt at a request.
enum Response {
    /// The complete body of an answer.
    Whole(String),
    /// The outcome header, and whether `Retry-After` was set.
    Header(String, bool),
    /// No response, no outcome header, or a truncated body.
    NoAnswer,
}

fn send_request(addresses: &[String], number: usize, seed: usize, report: &Mutex<Report>) {
    let identity = format!("r{seed}-{number}");
    let is_non_idempotent = number.is_multiple_of(3);
    let agent = agent();
    let started = Instant::now();
    let mut last_outcome = Outcome::NotRun;
    let mut refusals = 0;
    let mut turn = number;
    while started.elapsed() < RETRY_TIMEOUT {
        // Stands for a load balancer: each attempt goes to another entry host.
        turn += 1;
        let url = format!(
            "http://{}/services/booking/slot",
            addresses[turn % addresses.len()]
        );
        match try_once(&agent, &url, &identity, is_non_idempotent) {
            Response::Whole(body) => {
                if body != format!("answer to {identity}") {
                    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
                    report
                        .errors
                        .push(format!("request {identity} got `{body}`"));
                }
                last_outcome = Outcome::Answered;
                break;
            }
            Response::Header(outcome, _) if outcome == "answered" => {
                last_outcome = Outcome::Answered;
                break;
            }
            Response::Header(outcome, may_repeat) if outcome == "unknown" => {
                last_outcome = Outcome::Unknown;
                if is_non_idempotent && !may_repeat {
                    break;
                }
            }
            Response::Header(..) => {
                refusals += 1;
                if last_outcome != Outcome::Unknown {
                    last_outcome = Outcome::NotRun;
                }
            }
            Response::NoAnswer => last_outcome = Outcome::Unknown,
        }
        thread::sleep(Duration::from_millis(50));
    }
    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
    let micros = started.elapsed().as_micros() as u64;
    match is_non_idempotent {
        true => report.non_idempotent_us.saturating_record(micros),
        false => report.idempotent_us.saturating_record(micros),
    }
    report.refusals += refusals;
    report
        .requests
        .insert(identity, (is_non_idempotent, last_outcome));
}

fn try_once(agent: &ureq::Agent, url: &str, identity: &str, is_non_idempotent: bool) -> Response {
    let sent = match is_non_idempotent {
        true => agent
            .post(url)
            .header("Idempotency-Key", identity)
            .send(identity),
        false => agent
            .post(url)
            .header("Goldcrestway-Idempotent", "true")
            .send(identity),
    };
    let Ok(mut response) = sent else {
        return Response::NoAnswer;
    };
    let outcome = response.headers().get("goldcrestway-outcome");
    let Some(outcome) = outcome
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned)
    else {
        return Response::NoAnswer;
    };
    let status = response.status().as_u16();
    let may_repeat = response.headers().contains_key("retry-after");
    match response.body_mut().read_to_string() {
        Ok(body) if status == 200 && outcome == "answered" => Response::Whole(body),
        Ok(_) => Response::Header(outcome, may_repeat),
        Err(_) => Response::NoAnswer,
    }
}

/// Submits a job under one identity until it is accepted.
fn submit(operators: &[String], number: usize, report: &Mutex<Report>) {
    let agent = agent();
    let (job, team, prefix) = match number / 10 % 10 {
        0 => ("replan", "desk", "j"),
        5 => ("confirm", "desk", "c"),
        _ => ("roster", "night", "j"),
    };
    let request = JobRequest {
        job: job.into(),
        id: format!("{prefix}{number}"),
    };
    let started = Instant::now();
    let mut turn = number;
    while started.elapsed() < RETRY_TIMEOUT {
        turn += 1;
        let url = format!("http://{}/v1/jobs", operators[turn % operators.len()]);
        let is_accepted = agent
            .post(&url)
            .send_json(&request)
            .is_ok_and(|response| response.status() == 200);
        if is_accepted {
            let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
            report.jobs.push(format!("{team}/{prefix}{number}"));
            return;
        }
        thread::sleep(Duration::from_millis(100));
    }
    let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
    report
        .errors
        .push(format!("job j{number} was never accepted"));
}

/// Waits until every accepted job has finished or is reported as having an unknown
/// outcome, for at most `RETRY_TIMEOUT`.
fn wait_for_jobs(operators: &[String], fleet: &Fleet, report: &Mutex<Report>) {
    let started = Instant::now();
    while started.elapsed() < RETRY_TIMEOUT {
        let finished = crate::verdict::finished_jobs(fleet);
        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
        let open: Vec<String> = report
            .jobs
            .iter()
            .filter(|id| !finished.contains(*id))
            .cloned()
            .collect();
        report.unknown_jobs = open
            .iter()
            .filter(|id| has_unknown_outcome(operators, id))
            .cloned()
            .collect();
        if report.unknown_jobs.len() == open.len() {
            return;
        }
        drop(report);
        thread::sleep(Duration::from_millis(100));
    }
}

/// Returns whether a never-twice job has an unknown outcome. Reads the job's state
/// by submitting it again under the same identity.
fn has_unknown_outcome(operators: &[String], id: &str) -> bool {
    let Some(name) = id
        .strip_prefix("desk/")
        .filter(|name| name.starts_with('c'))
    else {
        return false;
    };
    let request = JobRequest {
        job: "confirm".into(),
        id: name.into(),
    };
    operators.iter().any(|operator| {
        let sent = agent()
            .post(format!("http://{operator}/v1/jobs"))
            .send_json(&request);
        let body = sent.and_then(|mut response| response.body_mut().read_to_string());
        body.is_ok_and(|body| body.contains("\"unknown\"") && body.contains("state"))
    })
}
