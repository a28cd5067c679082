//! Starts the processes of the example on loopback: daemons, stand-ins of the
//! platform, workers and instances.

use goldcrestway_daemon::Daemon;
use goldcrestway_daemon::PublishRequest;
use goldcrestway_daemon::Settings;
use goldcrestway_daemon::StatusReply;
use goldcrestway_daemon::changes_to_wire;
use goldcrestway_daemon::load_settings;
use goldcrestway_inventory::Sections;
use goldcrestway_inventory::compare;
use goldcrestway_inventory::load_sections;
use goldcrestway_platform::Listed;
use goldcrestway_standin::HostListServer;
use goldcrestway_standin::LogServer;
use goldcrestway_standin::UpstreamServer;
use goldcrestway_standin::WorkerServer;
use goldcrestway_standin::WorkerState;
use std::collections::BTreeMap;
use std::error::Error;
use std::net::TcpListener;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// How long an append to the log takes.
const APPEND_LATENCY_MS: u64 = 5;
/// How long an instance works on a request.
const REQUEST_TIME_MS: u64 = 8;
/// How long a job runs.
const RUN_TIME_MS: u64 = 400;

/// Result of setting up a part of the example.
pub(crate) type SetupResult<T> = Result<T, Box<dyn Error>>;

/// All processes of the example.
pub(crate) struct Fleet {
    /// Stand-in for the log.
    pub(crate) log: LogServer,
    /// Stand-in for the platform's list of hosts.
    pub(crate) _hosts: HostListServer,
    /// Workers by name.
    pub(crate) workers: BTreeMap<String, WorkerServer>,
    /// Instances by name.
    pub(crate) upstreams: BTreeMap<String, UpstreamServer>,
    /// Running daemons by seat; a killed daemon is removed.
    pub(crate) daemons: BTreeMap<String, Daemon>,
    /// Settings by seat.
    pub(crate) settings: BTreeMap<String, Settings>,
}

impl Fleet {
    /// Starts everything on loopback, on ports that the operating system picks.
    pub(crate) fn start() -> SetupResult<Self> {
        let started = Instant::now();
        let log = LogServer::start(APPEND_LATENCY_MS)?;
        let hosts = HostListServer::start()?;
        let mut workers = BTreeMap::new();
        for number in 1..=9 {
            let has_service = ![3, 6, 9].contains(&number);
            let resources = match has_service {
                true => (28_000, 117_000, 0),
                false => (32_000, 125_000, 0),
            };
            let worker = WorkerServer::start(WorkerState::new(resources, RUN_TIME_MS), started)?;
            workers.insert(format!("w{number}"), worker);
        }
        let mut upstreams = BTreeMap::new();
        for number in 1..=6 {
            upstreams.insert(
                format!("b{number}"),
                UpstreamServer::start(REQUEST_TIME_MS, started)?,
            );
        }
        let mut list = Vec::new();
        let addresses = workers
            .iter()
            .map(|(name, worker)| (name, worker.address()));
        let instances = upstreams
            .iter()
            .map(|(name, instance)| (name, instance.address()));
        for (name, address) in addresses.chain(instances) {
            list.push(Listed {
                name: name.clone(),
                address,
                leaving: false,
            });
        }
        if let Ok(mut hosts) = hosts.hosts.lock() {
            *hosts = list;
        }
        let settings = settings(&log, &hosts)?;
        let mut daemons = BTreeMap::new();
        for (name, settings) in &settings {
            daemons.insert(name.clone(), Daemon::start(settings.clone())?);
        }
        let fleet = Self {
            log,
            _hosts: hosts,
            workers,
            upstreams,
            daemons,
            settings,
        };
        fleet.wait_until_ready()?;
        Ok(fleet)
    }

    fn wait_until_ready(&self) -> SetupResult<()> {
        const READY_TIMEOUT: Duration = Duration::from_secs(30);
        let started = Instant::now();
        for settings in self.settings.values() {
            let url = format!("http://{}/readyz", settings.own().operator_address);
            while ureq::get(&url).call().is_err() {
                if started.elapsed() > READY_TIMEOUT {
                    return Err("the entry hosts did not become ready within 30 s".into());
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Publishes the inventory and waits until all cells are served.
    pub(crate) fn publish(&self) -> SetupResult<()> {
        let file = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/spa/inventory.ini");
        let text = std::fs::read_to_string(file)?;
        let (sections, _) = load_sections("examples/spa/inventory.ini", &text)?;
        let request = PublishRequest {
            base: 0,
            id: "first-week".into(),
            author: "example".into(),
            changes: changes_to_wire(&compare(&Sections::new(), &sections)),
        };
        let url = format!(
            "http://{}/v1/config",
            self.settings["e1"].own().operator_address
        );
        let started = Instant::now();
        ureq::post(&url).send_json(&request)?;
        println!("accepted after {} ms", started.elapsed().as_millis());
        self.wait_until_served()
    }

    /// Waits until each of the 16 + 3 + 3 cells has an owner that serves it.
    fn wait_until_served(&self) -> SetupResult<()> {
        const READY_TIMEOUT: Duration = Duration::from_secs(30);
        const CELLS: usize = 16 + 3 + 3;
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            let mut cells = 0;
            for settings in self.settings.values() {
                let url = format!("http://{}/v1/status", settings.own().operator_address);
                let status: StatusReply = ureq::get(&url).call()?.body_mut().read_json()?;
                let open = status
                    .cells
                    .iter()
                    .filter(|(_, line)| !line.contains("reading"));
                cells += open.count();
            }
            if cells == CELLS {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err("the cells were not all served within 30 s".into())
    }
}

/// Writes the settings of three seats on addresses that are free now.
fn settings(log: &LogServer, hosts: &HostListServer) -> SetupResult<BTreeMap<String, Settings>> {
    const SEATS: [(&str, &str, &str); 3] = [
        ("e1", "127.0.0.1", "espoo"),
        ("e2", "127.0.0.2", "vantaa"),
        ("e3", "127.0.0.3", "kerava"),
    ];
    let mut seats = String::new();
    for (index, (name, address, domain)) in SEATS.iter().enumerate() {
        // The three listeners are open at the same time, which makes their ports differ.
        let ports = [
            bind_free_port(address)?,
            bind_free_port(address)?,
            bind_free_port(address)?,
        ];
        let port = |listener: &TcpListener| listener.local_addr().map(|address| address.port());
        seats.push_str(&format!(
            "[seat {name}]\nnumber = {index}\nfailure_domain = {domain}\n\
             caller_address = {address}:{}\noperator_address = {address}:{}\n\
             peer_address = {address}:{}\n",
            port(&ports[0])?,
            port(&ports[1])?,
            port(&ports[2])?
        ));
    }
    let mut all = BTreeMap::new();
    for (name, _, _) in SEATS {
        let text = format!(
            "[daemon]\ncluster = spa\nseat = {name}\nlog_url = {}\nhost_list_url = {}\n\
             log_style = off\n{seats}[limits]\nappends_per_s = 100\n",
            log.url(),
            hosts.url()
        );
        all.insert(
            name.to_owned(),
            load_settings("settings of the example", &text)?,
        );
    }
    Ok(all)
}

fn bind_free_port(address: &str) -> SetupResult<TcpListener> {
    Ok(TcpListener::bind((address, 0))?)
}
