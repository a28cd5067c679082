//! The edge of one real daemon: sockets, whole answers, bounds, planned stops.

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

/// One daemon with its platform, and an instance that the test plays itself.
struct Edge {
    daemon: Option<Daemon>,
    caller: String,
    operator: String,
    _log: LogServer,
    _hosts: HostListServer,
}

/// Starts a daemon that is alone in its cluster, with `instance` as its upstream.
fn start(instance: &TcpListener, connections: usize) -> Edge {
    let log = LogServer::start(1).expect("a log");
    let hosts = HostListServer::start().expect("a list of hosts");
    let address = instance.local_addr().expect("an address").to_string();
    let listed = Listed {
        name: "b1".into(),
        address,
        leaving: false,
    };
    hosts.hosts.lock().expect("not poisoned").push(listed);
    let held: Vec<TcpListener> = (0..3)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let ports: Vec<String> = held
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
    drop(held);
    let settings = load_settings("test", &text).expect("sound settings");
    let edge = Edge {
        daemon: Some(Daemon::start(settings).expect("it starts")),
        caller: ports[0].clone(),
        operator: ports[1].clone(),
        _log: log,
        _hosts: hosts,
    };
    wait_for(&edge.operator, "/readyz", "ready");
    let (sections, _) = load_sections("test", INVENTORY).expect("a sound inventory");
    let change = PublishRequest {
        base: 0,
        id: "test".into(),
        author: "test".into(),
        changes: changes_to_wire(&compare(&Sections::new(), &sections)),
    };
    let url = format!("http://{}/v1/config", edge.operator);
    ureq::post(&url).send_json(&change).expect("it is accepted");
    wait_for(&edge.operator, "/v1/status", "slots in use");
    wait_for(&edge.operator, "/v1/explain/booking", "1 instances");
    edge
}

/// Asks until the answer holds `wanted`; gives up after very many tries.
fn wait_for(operator: &str, path: &str, wanted: &str) {
    const TRIES: usize = 3_000;
    for _ in 0..TRIES {
        let answer = ureq::get(format!("http://{operator}{path}")).call();
        let body = answer.and_then(|mut answer| answer.body_mut().read_to_string());
        if body.is_ok_and(|body| body.contains(wanted)) {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("{path} never held `{wanted}`");
}

/// Plays an instance that answers each request with the given bytes, once told to.
fn play(instance: TcpListener, answer: &'static str, go: Option<Receiver<()>>) {
    thread::spawn(move || {
        for stream in instance.incoming() {
            let Ok(mut stream) = stream else {
                return;
            };
            let mut head = [0_u8; 4_096];
            // One read holds the small requests of these tests.
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

fn instance() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Asks for the service; gives status, outcome and body.
fn ask(caller: &str) -> (u16, String, String) {
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
fn a_whole_answer_reaches_its_caller() {
    let listener = instance();
    let edge = start(&listener, 8);
    play(
        listener,
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nsauna",
        None,
    );
    expect_that!(
        ask(&edge.caller),
        eq(&(200, "answered".to_owned(), "sauna".to_owned()))
    );
}

/// Symptom: a caller takes half an answer for a whole one. Sequence: the instance
/// announces ten bytes, or no length at all, and closes early. Cause: the end of
/// an answer must be checked before a byte is passed on.
#[gtest]
fn a_cut_answer_is_never_passed_on() {
    let answers = [
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nConnection: close\r\n\r\nsauna",
        "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsauna",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n5\r\nsauna\r\n",
    ];
    for answer in answers {
        let listener = instance();
        let edge = start(&listener, 8);
        play(listener, answer, None);
        let (status, outcome, _) = ask(&edge.caller);
        expect_that!(
            (status, outcome.as_str()),
            eq((504, "unknown")),
            "{}",
            answer
        );
    }
}

/// Symptom: silent callers use up the threads. Sequence: all connections are taken
/// by callers that say nothing. Cause: connections must be bounded; one more is
/// told at once that nothing ran.
#[gtest]
fn one_connection_too_many_is_refused() {
    let listener = instance();
    let edge = start(&listener, 2);
    let silent: Vec<TcpStream> = (0..2)
        .map(|_| TcpStream::connect(&edge.caller).expect("it is accepted"))
        .collect();
    let mut surplus = TcpStream::connect(&edge.caller).expect("it is accepted");
    let mut told = String::new();
    surplus.read_to_string(&mut told).expect("an answer");
    expect_that!(told, starts_with("HTTP/1.1 503"));
    expect_that!(told, contains_substring("Goldcrestway-Outcome: not-run"));
    let (head, body) = told.split_once("\r\n\r\n").expect("a body");
    expect_that!(
        head,
        contains_substring(format!("Content-Length: {}", body.len()).as_str())
    );
    drop(silent);
}

/// Symptom: a planned stop cuts off a request. Sequence: a request is at its
/// instance when the stop begins. Cause: the stop must wait for its answer.
#[gtest]
fn a_planned_stop_answers_what_is_in_flight() {
    let listener = instance();
    let mut edge = start(&listener, 8);
    let (go, goes) = channel();
    play(
        listener,
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nsauna",
        Some(goes),
    );
    let caller = edge.caller.clone();
    let asking = thread::spawn(move || ask(&caller));
    wait_for(&edge.operator, "/v1/explain/booking", "1 of 8 slots");
    let daemon = edge.daemon.take().expect("it runs");
    daemon.stop();
    wait_for(&edge.operator, "/v1/status", "\"is_stopping\":true");
    go.send(()).expect("the instance waits");
    let told = asking.join().expect("it was answered");
    expect_that!(told, eq(&(200, "answered".to_owned(), "sauna".to_owned())));
    daemon.wait();
}
