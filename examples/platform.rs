//! The platform's stand-ins for a first day: the log at 127.0.0.1:7000, the list
//! of hosts at 127.0.0.1:7001, and the workers and instances of
//! `examples/spa/inventory.ini`. Runs for the given number of minutes, ten unless
//! said otherwise, and ends by itself.

use goldcrestway_platform::Listed;
use goldcrestway_standin::HostListServer;
use goldcrestway_standin::LogServer;
use goldcrestway_standin::UpstreamServer;
use goldcrestway_standin::WorkerServer;
use goldcrestway_standin::WorkerState;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;
use std::time::Instant;

fn main() -> ExitCode {
    let minutes = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(10);
    match run(minutes) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("the stand-ins can't start: {error}. Free the ports 7000 and 7001");
            ExitCode::FAILURE
        }
    }
}

fn run(minutes: u64) -> std::io::Result<()> {
    const APPEND_MS: u64 = 5;
    const WORK_MS: u64 = 10;
    const RUN_TIME_MS: u64 = 2_000;
    const SECONDS_PER_MINUTE: u64 = 60;
    let began = Instant::now();
    let log = LogServer::start_at("127.0.0.1:7000", APPEND_MS)?;
    let hosts = HostListServer::start_at("127.0.0.1:7001")?;
    let mut list = Vec::new();
    let mut workers = Vec::new();
    for number in 1..=9 {
        let room = match number % 3 {
            0 => (32_000, 125_000, 0),
            _ => (28_000, 117_000, 0),
        };
        let worker = WorkerServer::start(WorkerState::new(room, RUN_TIME_MS), began)?;
        list.push(listed(format!("w{number}"), worker.address()));
        workers.push(worker);
    }
    let mut upstreams = Vec::new();
    for number in 1..=6 {
        let upstream = UpstreamServer::start(WORK_MS, began)?;
        list.push(listed(format!("b{number}"), upstream.address()));
        upstreams.push(upstream);
    }
    if let Ok(mut served) = hosts.hosts.lock() {
        *served = list;
    }
    println!(
        "log {}, list of hosts {}, for {minutes} minutes",
        log.url(),
        hosts.url()
    );
    thread::sleep(Duration::from_secs(minutes * SECONDS_PER_MINUTE));
    Ok(())
}

fn listed(name: String, address: String) -> Listed {
    Listed {
        name,
        address,
        leaving: false,
    }
}
