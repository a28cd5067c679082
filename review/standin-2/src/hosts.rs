//! Entry hosts: the project's own daemon, a process each.

use crate::fleet::World;
use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Hosts {
    pub hosts: Vec<Host>,
    folder: PathBuf,
    world: Arc<World>,
}

fn free_addresses(count: usize) -> Vec<SocketAddr> {
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let ip = [127, 2 + high % 250, low, 1];
    let listeners: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind(SocketAddr::from((ip, 0))).expect("a free port"))
        .collect();
    listeners
        .iter()
        .map(|listener| listener.local_addr().expect("an address"))
        .collect()
}

impl Hosts {
    /// Starts the hosts, and waits until all of them are ready. `store_of` gives the address at which
    /// a host finds the store.
    pub fn start(
        world: Arc<World>,
        zones: &[&str],
        store_of: impl Fn(usize) -> SocketAddr,
    ) -> Option<Self> {
        let names: Vec<String> = zones
            .iter()
            .enumerate()
            .map(|(number, zone)| format!("front-{zone}-{number}"))
            .collect();
        Self::start_named(world, zones, &names, store_of)
    }

    /// Starts hosts with these names.
    pub fn start_named(
        world: Arc<World>,
        zones: &[&str],
        names: &[String],
        store_of: impl Fn(usize) -> SocketAddr,
    ) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let mut hosts = Self {
            hosts: Vec::new(),
            folder,
            world,
        };
        let free = free_addresses(zones.len() * 4);
        for (number, zone) in zones.iter().enumerate() {
            let ports = &free[number * 4..number * 4 + 4];
            let name = names[number].clone();
            let settings = hosts.folder.join(format!("{name}.ini"));
            let cpu_share = std::env::var("CPU_SHARE").unwrap_or_else(|_| "0.1".into());
            let text = format!(
                "[entry]\nname = {name}\nfailure_domain = {zone}\ncaller_address = {}\nready_address = {}\nmetrics_port = {}\nrelay_port = {}\ncpu_share = {}\nlink_mbps = 1000\ndescriptors = 4100\n\n[store]\naddress = {}\nparts = 12\nrecord_bytes = 262144\n\n[advice]\naddress = {}\n\n[bounds]\nlease_most_ms = 6000\nearly_ms = 250\nharm_ms = 4000\nrules_in_force_ms = 2000\nstatus_s = 120\ngrace_s = 6\n",
                ports[0],
                ports[1],
                ports[2].port(),
                ports[3].port(),
                cpu_share,
                store_of(number),
                store_of(number)
            );
            fs::write(&settings, text).ok()?;
            let log = hosts.folder.join(format!("{name}.log"));
            hosts.hosts.push(Host {
                name,
                callers: ports[0],
                ready: ports[1],
                settings,
                log,
                child: None,
            });
            hosts.launch(number);
        }
        hosts.await_ready().then_some(hosts)
    }

    pub fn launch(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        let log = File::options()
            .create(true)
            .append(true)
            .open(&host.log)
            .expect("a log file");
        let child = Command::new("target/release/goldcrestwayd")
            .arg("--platform")
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("GOLDCRESTWAY_BOOT", &host.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log file"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => {
                self.world
                    .note(format!("{} starts, process {}", host.name, child.id()));
                host.child = Some(child);
            }
            Err(error) => self
                .world
                .note(format!("{} can't start: {error}", host.name)),
        }
    }

    pub fn await_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        for host in &self.hosts {
            loop {
                let patience = Duration::from_millis(500);
                let answer = crate::http::send(
                    host.ready,
                    "GET",
                    "/goldcrestway/readiness",
                    "ready",
                    "",
                    patience,
                    patience,
                );
                if matches!(answer, crate::http::Outcome::Answer(200, _)) {
                    break;
                }
                if Instant::now() > until {
                    return false;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        true
    }

    pub fn pid(&self, number: usize) -> Option<u32> {
        self.hosts[number].child.as_ref().map(Child::id)
    }

    /// Sends a signal to the process of a host, by the id that was kept.
    pub fn signal(&self, number: usize, signal: &str) {
        if let Some(pid) = self.pid(number) {
            self.world
                .note(format!("{} gets {signal}", self.hosts[number].name));
            let _ = Command::new("kill")
                .arg(format!("-{signal}"))
                .arg(pid.to_string())
                .status();
        }
    }

    pub fn kill(&mut self, number: usize) {
        if let Some(child) = &mut self.hosts[number].child {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.world
            .note(format!("{} is killed", self.hosts[number].name));
        self.hosts[number].child = None;
    }

    pub fn copy_logs(&self, folder: &str) {
        for host in &self.hosts {
            let _ = fs::copy(
                &host.log,
                PathBuf::from(folder).join(format!("{}.log", host.name)),
            );
        }
    }

    /// Lines of the logs that contain any of these words.
    pub fn log_lines(&self, words: &[&str]) -> String {
        let mut text = String::new();
        for host in &self.hosts {
            let log = fs::read_to_string(&host.log).unwrap_or_default();
            for line in log
                .lines()
                .filter(|line| words.iter().any(|word| line.contains(word)))
            {
                text.push_str(&format!("{}: {line}\n", host.name));
            }
        }
        text
    }
}

impl Drop for Hosts {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            if let Some(child) = &mut host.child {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}
