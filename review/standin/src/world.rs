//! The platform, the minions and the entry hosts of a small deployment, on loopback.

use crate::http;
use crate::http::{Request, Server};
use crate::minion::{Jobs, Minion, Work};
use crate::record::Record;
use crate::store::Store;
use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time after which a case is given up and everything is ended.
const MOST: Duration = Duration::from_secs(110);
pub const HOST: &str = "nony24.example";
pub const PREFIX: &str = "/lohu930/";

pub struct Host {
    pub front: SocketAddr,
    ready: SocketAddr,
}

pub struct World {
    pub store: Arc<Store>,
    pub minions: Vec<Arc<Minion>>,
    pub hosts: Vec<Host>,
    pub jobs: Jobs,
    pub record: Arc<Record>,
    children: Arc<Mutex<Vec<Option<Child>>>>,
    folder: PathBuf,
    _servers: Vec<Server>,
}

impl World {
    /// Starts `hosts` entry hosts, and a minion of 16 cores for each kind.
    pub fn start(hosts: usize, kinds: &[&str], record: &Arc<Record>) -> Result<Self, String> {
        let store = Arc::new(Store::default());
        let jobs = Jobs::default();
        store.put(
            "keyed.op",
            "config",
            &format!(
                "{{\"version\":7,\"routes\":[{{\"name\":\"r-1\",\"host\":\"{HOST}\",\
                 \"path-prefix\":\"{PREFIX}\",\"kind\":\"unsafe\",\"timeout-ms\":3000,\
                 \"target-latency-ms\":1000,\"priority\":0,\"service\":\"core\",\
                 \"max-attempts\":3,\"stretch\":2.0}}],\"services\":[{{\"name\":\"core\",\
                 \"health-check-path\":\"/health\",\"max-connections\":64,\"protocol\":\"h1\",\
                 \"tls\":false,\"rejects-overload\":true,\"spare\":false}}],\"limits\":\
                 {{\"max-header-bytes\":16384,\"max-body-bytes\":262144,\
                 \"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}}}"
            ),
        );
        let mut minions = Vec::new();
        for (number, kind) in kinds.iter().enumerate() {
            let minion = Minion::start(number, 16_000, kind, jobs.clone(), record.clone());
            store.put("keyed.servers", &minion.id(), &minion.entry(1));
            minions.push(Arc::new(minion));
        }
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut world = Self {
            store,
            minions,
            hosts: Vec::new(),
            jobs,
            record: record.clone(),
            children: Arc::default(),
            folder,
            _servers: Vec::new(),
        };
        world.start_heartbeats();
        world.start_hosts(hosts)?;
        let (children, record) = (world.children.clone(), record.clone());
        thread::spawn(move || {
            thread::sleep(MOST);
            end_all(&children);
            record.note("RESULT 2: took too long");
            record.flush();
            std::process::exit(2);
        });
        world.await_ready()?;
        Ok(world)
    }

    /// Each minion that is up writes about itself every 1.5 s (`heartbeat-ms`).
    fn start_heartbeats(&self) {
        let (minions, store) = (self.minions.clone(), self.store.clone());
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(Duration::from_millis(1_500));
                for minion in minions.iter().filter(|minion| minion.is_up()) {
                    store.put("keyed.servers", &minion.id(), &minion.entry(sequence));
                }
            }
        });
    }

    fn start_hosts(&mut self, count: usize) -> Result<(), String> {
        // An address of its own, so that no connection takes the port of a host that is down.
        let [_, _, high, low] = std::process::id().to_be_bytes();
        let ip = Ipv4Addr::new(127, 1 + high % 250, low, 1);
        let mut listeners = Vec::new();
        for _ in 0..4 * count {
            listeners.push(TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?);
        }
        let addresses: Vec<SocketAddr> = listeners
            .iter()
            .map(|listener| listener.local_addr().unwrap())
            .collect();
        drop(listeners);
        for (number, ports) in addresses.chunks(4).enumerate() {
            let store = self.store.clone();
            let handler = Arc::new(move |request: &Request| store.answer(number, request));
            let any = "127.0.0.1:0".parse().unwrap();
            let server = Server::start(any, handler).map_err(|error| error.to_string())?;
            // As `platform/settings.ini.template` is filled in on a small deployment.
            let settings = format!(
                "[entry]\nname = front-hall-{number}\nfailure_domain = hall-{}\n\
                 caller_address = {}\nready_address = {}\nmetrics_port = {}\nrelay_port = {}\n\
                 cpu_share = 0.1\nlink_mbps = 1000.0\ndescriptors = 4100\n\n[store]\n\
                 address = {}\nparts = 12\nrecord_bytes = 262144\n\n[bounds]\n\
                 lease_most_ms = 6000\nearly_ms = 250\nharm_ms = 4000\n\
                 rules_in_force_ms = 2000\nstatus_s = 120\ngrace_s = 6\n",
                number % 3 + 1,
                ports[0],
                ports[1],
                ports[2].port(),
                ports[3].port(),
                server.address
            );
            self._servers.push(server);
            fs::write(self.folder.join(format!("{number}.ini")), settings)
                .map_err(|error| error.to_string())?;
            self.hosts.push(Host {
                front: ports[0],
                ready: ports[1],
            });
            self.children.lock().unwrap().push(None);
            self.launch(number)?;
        }
        Ok(())
    }

    /// Starts the process of a host with the command of `deploy/system.toml`.
    pub fn launch(&self, number: usize) -> Result<(), String> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{number}.log")))
            .map_err(|error| error.to_string())?;
        let child = Command::new("target/release/goldcrestwayd")
            .arg("--platform")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env(
                "GOLDCRESTWAY_BOOT",
                self.folder.join(format!("{number}.ini")),
            )
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("target/release/goldcrestwayd: {error}"))?;
        self.children.lock().unwrap()[number] = Some(child);
        Ok(())
    }

    /// SIGKILL.
    pub fn kill(&self, number: usize) {
        if let Some(mut child) = self.children.lock().unwrap()[number].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.record.note(&format!("host {number} killed"));
    }

    fn await_ready(&self) -> Result<(), String> {
        let begun = Instant::now();
        loop {
            let wait = Duration::from_millis(500);
            let mut hosts = self.hosts.iter();
            let are_ready = hosts.all(|host| {
                let answer =
                    http::call(host.ready, "GET", "/goldcrestway/readiness", HOST, "", wait);
                answer.is_some_and(|(status, _)| status == 200)
            });
            let are_known = self.minions.iter().all(|minion| minion.is_known());
            if are_ready && are_known && self.store.last_fenced().is_some() {
                thread::sleep(Duration::from_millis(1_500));
                self.record
                    .note("all hosts are ready, all minions were called");
                return Ok(());
            }
            if begun.elapsed() > Duration::from_secs(30) {
                return Err("hosts did not become ready".into());
            }
            thread::sleep(Duration::from_millis(100));
        }
    }

    /// Hands in a job of one step. The client tries again at the next host while it has no answer,
    /// a 502, 503 or 504. Returns when it was accepted.
    pub fn submit(&self, id: &str, count: u64, work: Work, more: &str) -> Result<u64, String> {
        let specification = format!("spec-{id}");
        self.jobs
            .lock()
            .unwrap()
            .insert(id.into(), (specification.clone(), vec![work]));
        let Work { cpu, mem_mb, .. } = work;
        let ms = work.ms + work.uneven_ms / 2;
        let body = format!(
            "{{\"specification\":\"{specification}\",\"steps\":[{{\"count\":{count},\"cpu\":{cpu},\
             \"mem-mb\":{mem_mb},\"estimated-ms\":{ms}{more}}}]}}"
        );
        for attempt in 0..10 {
            let number = attempt % self.hosts.len();
            let answer = self.call(number, "POST", id, &body);
            match answer {
                Some((200..=299, _)) => return Ok(self.record.now_ms()),
                Some((502..=504, _)) | None => thread::sleep(Duration::from_millis(100)),
                other => return Err(format!("POST of {id}: {other:?}")),
            }
        }
        Err(format!("{id} was not accepted"))
    }

    pub fn call(&self, host: usize, method: &str, id: &str, body: &str) -> Option<(u16, String)> {
        let target = format!("{PREFIX}{id}");
        self.record
            .note(&format!("client to host {host}: {method} {target} {body}"));
        let wait = Duration::from_secs(3);
        let answer = http::call(self.hosts[host].front, method, &target, HOST, body, wait);
        match &answer {
            Some((status, body)) => {
                self.record
                    .note(&format!("host {host} to client: {status} {body}"));
            }
            None => self
                .record
                .note(&format!("host {host} to client: no answer")),
        }
        answer
    }

    /// Asks for the state of a job, at each host in turn until one answers.
    pub fn state(&self, id: &str) -> String {
        for number in 0..self.hosts.len() {
            if self.children.lock().unwrap()[number].is_none() {
                continue;
            }
            if let Some((200, body)) = self.call(number, "GET", id, "") {
                let parsed = crate::json::Json::parse(body.as_bytes());
                return parsed.text("state").into();
            }
        }
        String::new()
    }

    pub fn await_state(&self, id: &str, wait: Duration) -> String {
        let begun = Instant::now();
        loop {
            let state = self.state(id);
            let is_final = ["completed", "failed", "cancelled"].contains(&&*state);
            if is_final || begun.elapsed() > wait {
                return state;
            }
            thread::sleep(Duration::from_millis(500));
        }
    }

    /// Returns the log lines of all hosts that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let mut lines = Vec::new();
        for number in 0..self.hosts.len() {
            let log = fs::read(self.folder.join(format!("{number}.log"))).unwrap_or_default();
            let log = String::from_utf8_lossy(&log).into_owned();
            let found = log.lines().filter(|line| line.contains(text));
            lines.extend(found.map(|line| format!("host {number}: {line}")));
        }
        lines
    }
}

fn end_all(children: &Mutex<Vec<Option<Child>>>) {
    for child in children.lock().unwrap().iter_mut().flatten() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

impl Drop for World {
    fn drop(&mut self) {
        end_all(&self.children);
        let _ = fs::remove_dir_all(&self.folder);
    }
}
