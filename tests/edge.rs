//! Tests of one real daemon over sockets: complete answers, limits on connections, planned stops.

use goldcrestway_daemon::Daemon;
use goldcrestway_daemon::PublishRequest;
use goldcrestway_daemon::changes_to_wire;
use goldcrestway_daemon::load_settings;
use goldcrestway_inventory::Sections;
use goldcrestway_inventory::compare;
use goldcrestway_inventory::load_sections;
use goldcrestway_platform::Listed;
use goldcrestway_standin::HostListServer;
use goldcrestway_standin::LogServer;
use googletest::prelude::*;
use std::io::Read;
use std::io::Write;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

const INVENTORY: &str = "\
[failure-domain espoo]
[host w1]
failure_domain = espoo
rack = r1
cores = 16
memory_mb = 60000
[team desk]
[service booking]
team = desk
cores = 4
memory_mb = 8000
timeout_ms = 4500
[upstream b1]
service = booking
host = w1
";

/// One daemon with its platform services.
struct TestDaemon {
    daemon: Option<Daemon>,
    caller: String,
    operator: String,
    _log: LogServer,
    _hosts: HostListServer,
}

/// Starts a daemon as the only member of its cluster, with `instance` as its upstream and at most
/// `connections` connections of callers.
fn start(instance: &TcpListener, connections: usize) -> TestDaemon {
    let log = LogServer::start(1).expect("the log server starts");
    let hosts = HostListServer::start().expect("the host list server starts");
    let address = instance.local_addr().expect("an address").to_string();
    let listed = Listed {
        name: "b1".into(),
        address,
        leaving: false,
    };
    hosts.hosts.lock().expect("not poisoned").push(listed);
    let listeners: Vec<TcpListener> = (0..3)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let ports: Vec<String> = listeners
        .iter()
        .map(|port| port.local_addr().expect("an address").to_string())
        .collect();
    let text = format!(
        "[daemon]\ncluster = test\nseat = e1\nlog_url = {}\nhost_list_url = {}\nlog_style = off\n\
         caller_connections = {connections}\n\
         [seat e1]\nnumber = 0\nfailure_domain = espoo\ncaller_address = {}\n\
         operator_address = {}\npeer_address = {}\n\
         [limits]\nlease_ms = 400\nheartbeat_ms = 50\nsuspect_ms = 300\npoll_ms = 20\nkey_cells = 2\n",
        log.url(),
        hosts.url(),
        ports[0],
        ports[1],
        ports[2]
    );
    drop(listeners);
    let settings = load_settings("test", &text).expect("valid settings");
    let test_daemon = TestDaemon {
        daemon: Some(Daemon::start(settings).expect("the daemon starts")),
        caller: ports[0].clone(),
        operator: ports[1].clone(),
        _log: log,
        _hosts: hosts,
    };
    wait_for(&test_daemon.operator, "/readyz", "ready");
    let (sections, _) = load_sections("test", INVENTORY).expect("a valid inventory");
    let change = PublishRequest {
        base: 0,
        id: "test".into(),
        author: "test".into(),
        changes: changes_to_wire(&compare(&Sections::new(), &sections)),
    };
    let url = format!("http://{}/v1/config", test_daemon.operator);
    ureq::post(&url).send_json(&change).expect("it is accepted");
    wait_for(&test_daemon.operator, "/v1/status", "slots in use");
    wait_for(&test_daemon.operator, "/v1/explain/booking", "1 instances");
    test_daemon
}

/// Polls `path` every 10 ms until the answer contains `expected`.
///
/// # Panics
///
/// Panics after 3,000 attempts.
fn wait_for(operator: &str, path: &str, expected: &str) {
    const MAX_ATTEMPTS: usize = 3_000;
    for _ in 0..MAX_ATTEMPTS {
        let answer = ureq::get(format!("http://{operator}{path}")).call();
        let body = answer.and_then(|mut answer| answer.body_mut().read_to_string());
        if body.is_ok_and(|body| body.contains(expected)) {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("{path} never contained `{expected}`");
}

/// Serves `instance` in a thread that answers each request with the given bytes.
///
/// If `go` is given, each answer waits for a message on it.
fn serve_answer(instance: TcpListener, answer: &'static str, go: Option<Receiver<()>>) {
    thread::spawn(move || {
        for stream in instance.incoming() {
            let Ok(mut stream) = stream else {
                return;
            };
            let mut head = [0_u8; 4_096];
            // The requests of these tests are small enough to arrive in one read.
            let _ = stream.read(&mut head);
            if let Some(go) = &go
                && go.recv().is_err()
            {
                return;
            }
            let _ = stream.write_all(answer.as_bytes());
        }
    });
}

fn bind_instance() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Sends a request to the service and returns the status, the outcome and the body of the answer.
fn send_request(caller: &str) -> (u16, String, String) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let url = format!("http://{caller}/services/booking/slot");
    let mut answer = agent
        .post(&url)
        .header("Idempotency-Key", "k")
        .send("x")
        .expect("an answer");
    let outcome = answer
        .headers()
        .get("goldcrestway-outcome")
        .expect("an outcome")
        .clone();
    let outcome = outcome.to_str().expect("text").to_owned();
    let status = answer.status().as_u16();
    (
        status,
        outcome,
        answer.body_mut().read_to_string().expect("a body"),
    )
}

#[gtest]
fn a_complete_answer_reaches_its_caller() {
    let listener = bind_instance();
    let test_daemon = start(&listener, 8);
    serve_answer(
        listener,
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nsauna",
        None,
    );
    expect_that!(
        send_request(&test_daemon.caller),
        eq(&(200, "answered".to_owned(), "sauna".to_owned()))
    );
}

/// Guards against an incomplete answer that a caller takes for a complete one. The instance
/// announces ten bytes, no length at all or chunks, and closes the connection early; the end of an
/// answer must be checked before any byte is forwarded.
#[gtest]
fn an_incomplete_answer_is_never_forwarded() {
    let answers = [
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nConnection: close\r\n\r\nsauna",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsauna",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nsauna\r\n",
    ];
    for answer in answers {
        let listener = bind_instance();
        let test_daemon = start(&listener, 8);
        serve_answer(listener, answer, None);
        let (status, outcome, _) = send_request(&test_daemon.caller);
        expect_that!(
            (status, outcome.as_str()),
            eq((504, "unknown")),
            "{}",
            answer
        );
    }
}

/// Guards against idle callers that use up all threads. Callers that send nothing open all allowed
/// connections; a further connection must be answered immediately that nothing ran.
#[gtest]
fn a_connection_above_the_limit_is_refused() {
    let listener = bind_instance();
    let test_daemon = start(&listener, 2);
    let idle: Vec<TcpStream> = (0..2)
        .map(|_| TcpStream::connect(&test_daemon.caller).expect("it is accepted"))
        .collect();
    let mut extra = TcpStream::connect(&test_daemon.caller).expect("it is accepted");
    let mut answer = String::new();
    extra.read_to_string(&mut answer).expect("an answer");
    expect_that!(answer, starts_with("HTTP/1.1 503"));
    expect_that!(answer, contains_substring("Goldcrestway-Outcome: not-run"));
    let (head, body) = answer.split_once("\r\n\r\n").expect("a body");
    expect_that!(
        head,
        contains_substring(format!("Content-Length: {}", body.len()).as_str())
    );
    drop(idle);
}

/// Guards against a planned stop that interrupts a request. The request is at its instance when the
/// stop begins; the stop must wait for the answer.
#[gtest]
fn a_planned_stop_waits_for_a_request_in_flight() {
    let listener = bind_instance();
    let mut test_daemon = start(&listener, 8);
    let (go, go_receiver) = channel();
    serve_answer(
        listener,
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nsauna",
        Some(go_receiver),
    );
    let caller = test_daemon.caller.clone();
    let pending = thread::spawn(move || send_request(&caller));
    wait_for(&test_daemon.operator, "/v1/explain/booking", "1 of 8 slots");
    let daemon = test_daemon.daemon.take().expect("the daemon runs");
    daemon.stop();
    wait_for(&test_daemon.operator, "/v1/status", "\"is_stopping\":true");
    go.send(()).expect("the instance waits");
    let answer = pending.join().expect("the request was answered");
    expect_that!(
        answer,
        eq(&(200, "answered".to_owned(), "sauna".to_owned()))
    );
    daemon.wait();
}
