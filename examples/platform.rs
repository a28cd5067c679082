//! Stand-ins for the platform, to try out the system: the log at 127.0.0.1:7000, the
//! list of hosts at 127.0.0.1:7001, and the workers and instances of
//! `examples/spa/inventory.ini`. Runs for the given number of minutes (10 by
//! default), then prints how many requests and jobs ran more than once and exits.
//! Requests are identified by their bodies, jobs by their identities.

use goldcrestway_platform::Listed;
use goldcrestway_standin::HostListServer;
use goldcrestway_standin::LogServer;
use goldcrestway_standin::UpstreamServer;
use goldcrestway_standin::WorkerServer;
use goldcrestway_standin::WorkerState;
use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::PoisonError;
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
            eprintln!("failed to start the stand-ins: {error}. Ports 7000 and 7001 must be free");
            ExitCode::FAILURE
        }
    }
}

fn run(minutes: u64) -> std::io::Result<()> {
    const APPEND_LATENCY_MS: u64 = 5;
    const REQUEST_TIME_MS: u64 = 10;
    const RUN_TIME_MS: u64 = 2_000;
    const SECONDS_PER_MINUTE: u64 = 60;
    let started = Instant::now();
    let log = LogServer::start_at("127.0.0.1:7000", APPEND_LATENCY_MS)?;
    let hosts = HostListServer::start_at("127.0.0.1:7001")?;
    let mut list = Vec::new();
    let mut workers = Vec::new();
    for number in 1..=9 {
        let resources = match number % 3 {
            0 => (32_000, 125_000, 0),
            _ => (28_000, 117_000, 0),
        };
        let worker = WorkerServer::start(WorkerState::new(resources, RUN_TIME_MS), started)?;
        list.push(listed_host(format!("w{number}"), worker.address()));
        workers.push(worker);
    }
    let mut upstreams = Vec::new();
    for number in 1..=6 {
        let upstream = UpstreamServer::start(REQUEST_TIME_MS, started)?;
        list.push(listed_host(format!("b{number}"), upstream.address()));
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
    report(&workers, &upstreams);
    Ok(())
}

/// Prints how many requests and jobs the stand-ins ran, and how many of them ran
/// more often than allowed.
fn report(workers: &[WorkerServer], upstreams: &[UpstreamServer]) {
    const SLOTS: u32 = 8;
    let mut requests: BTreeMap<String, usize> = BTreeMap::new();
    let mut over_slots = 0;
    for upstream in upstreams {
        let state = upstream
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        over_slots += usize::from(state.max_in_use > SLOTS);
        for run in &state.runs {
            *requests.entry(run.identity.clone()).or_default() += 1;
        }
    }
    let mut jobs: BTreeMap<String, Vec<(u64, u64)>> = BTreeMap::new();
    for worker in workers {
        let state = worker.state.lock().unwrap_or_else(PoisonError::into_inner);
        for run in &state.runs {
            let span = (run.started_ms, run.ended_ms.unwrap_or(u64::MAX));
            jobs.entry(run.id.clone()).or_default().push(span);
        }
    }
    let overlapping = jobs.values_mut().filter_map(|spans| {
        spans.sort_unstable();
        spans
            .windows(2)
            .find(|pair| pair[1].0 < pair[0].1)
            .map(drop)
    });
    let overlapping = overlapping.count();
    let twice = requests.values().filter(|count| **count > 1).count();
    println!(
        "requests {}, of which ran more than once {twice}",
        requests.len()
    );
    println!("instances over their slots {over_slots}");
    println!(
        "jobs {}, of which in two places at once {overlapping}",
        jobs.len()
    );
}

fn listed_host(name: String, address: String) -> Listed {
    Listed {
        name,
        address,
        leaving: false,
    }
}
