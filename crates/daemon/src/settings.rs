//! Settings of a daemon, read from an INI file.
//!
//! [`load`] reports every fault at once, each with file, line and remedy.

use goldcrestway_core::Limits;
use goldcrestway_core::Seat;
use goldcrestway_inventory::Faults;
use goldcrestway_inventory::Field;
use goldcrestway_inventory::Section;
use goldcrestway_inventory::SectionSchema;
use goldcrestway_inventory::Value;
use goldcrestway_inventory::read;
use std::collections::BTreeMap;
use std::net::SocketAddr;

const MILLISECONDS: Value = Value::Whole {
    min: 1,
    max: 86_400_000,
};
const COUNT: Value = Value::Whole {
    min: 1,
    max: 1_000_000,
};

/// Sections and keys that a settings file may have, with defaults.
pub const SCHEMA: &[SectionSchema] = &[
    SectionSchema {
        kind: "daemon",
        is_single: true,
        fields: &[
            Field::required("cluster", Value::Text),
            Field::required("seat", Value::Text),
            Field::required("log_url", Value::Text),
            Field::required("host_list_url", Value::Text),
            Field::optional(
                "log_style",
                Value::OneOf(&["readable", "json", "off"]),
                "readable",
            ),
            Field::optional("caller_threads", COUNT, "64"),
            Field::optional("caller_connections", COUNT, "512"),
            Field::optional("worker_threads", COUNT, "16"),
            Field::optional("request_max_bytes", COUNT, "1000000"),
            Field::optional("caller_timeout_ms", MILLISECONDS, "10000"),
            Field::optional("platform_timeout_ms", MILLISECONDS, "2000"),
            Field::optional("hosts_poll_ms", MILLISECONDS, "500"),
            Field::optional("events_kept", COUNT, "20000"),
        ],
    },
    SectionSchema {
        kind: "seat",
        is_single: false,
        fields: &[
            Field::required(
                "number",
                Value::Whole {
                    min: 0,
                    max: 65_535,
                },
            ),
            Field::required("failure_domain", Value::Text),
            Field::required("caller_address", Value::Text),
            Field::required("operator_address", Value::Text),
            Field::required("peer_address", Value::Text),
        ],
    },
    SectionSchema {
        kind: "limits",
        is_single: true,
        fields: &[
            Field::optional("voters", Value::Whole { min: 1, max: 9 }, "5"),
            Field::optional("lease_ms", MILLISECONDS, "1500"),
            Field::optional("heartbeat_ms", MILLISECONDS, "250"),
            Field::optional("suspect_ms", MILLISECONDS, "1000"),
            Field::optional(
                "key_cells",
                Value::Whole {
                    min: 1,
                    max: 65_535,
                },
                "16",
            ),
            Field::optional("appends_per_s", COUNT, "50"),
            Field::optional("lazy_ms", MILLISECONDS, "500"),
            Field::optional("poll_ms", MILLISECONDS, "150"),
            Field::optional("append_timeout_ms", MILLISECONDS, "1000"),
            Field::optional("identity_window_ms", MILLISECONDS, "600000"),
            Field::optional("worker_lease_ms", MILLISECONDS, "10000"),
            Field::optional("worker_poll_ms", MILLISECONDS, "1000"),
            Field::optional("retry_permille", Value::Whole { min: 0, max: 1_000 }, "100"),
            Field::optional("waiting_per_slot", COUNT, "2"),
            Field::optional("carry_ms", MILLISECONDS, "600000"),
        ],
    },
];

/// Addresses of the process at one seat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeatSettings {
    /// Its number.
    pub seat: Seat,
    /// Its name.
    pub name: Box<str>,
    /// Its failure domain.
    pub failure_domain: Box<str>,
    /// Address at which it serves callers.
    pub caller_address: SocketAddr,
    /// Address at which it serves operators.
    pub operator_address: SocketAddr,
    /// Address at which it accepts connections of other entry hosts.
    pub peer_address: SocketAddr,
}

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Name that all entry hosts of one cluster share.
    pub cluster: Box<str>,
    /// Index of its own seat in `seats`.
    pub own: usize,
    /// All seats, in the order of their numbers.
    pub seats: Vec<SeatSettings>,
    /// URL of the platform's log.
    pub log_url: Box<str>,
    /// URL of the platform's list of hosts.
    pub host_list_url: Box<str>,
    /// Style of the log: `readable`, `json` or `off`.
    pub log_style: Box<str>,
    /// Number of threads that serve callers, which is also the largest number of requests
    /// in flight.
    pub caller_threads: usize,
    /// Largest number of open connections of callers.
    pub caller_connections: usize,
    /// Number of threads that call workers.
    pub worker_threads: usize,
    /// Largest request body that is accepted.
    pub request_max_bytes: u64,
    /// Time in which a caller must send the body of its request.
    pub caller_timeout_ms: u64,
    /// Timeout of a call to the platform.
    pub platform_timeout_ms: u64,
    /// Time between two reads of the platform's list of hosts.
    pub hosts_poll_ms: u64,
    /// Number of events retained for the timeline.
    pub events_kept: usize,
    /// Times and limits of the node.
    pub limits: Limits,
}

impl Settings {
    /// Returns the seats in the order in which they become voters: one of each failure
    /// domain in turn, so that the loss of one failure domain leaves a majority.
    pub fn seats_by_vote(&self) -> Vec<Seat> {
        let mut seats_by_domain: BTreeMap<&str, usize> = BTreeMap::new();
        let mut order = Vec::new();
        for seat in &self.seats {
            let round = seats_by_domain.entry(&seat.failure_domain).or_default();
            order.push((*round, seat.seat));
            *round += 1;
        }
        order.sort_unstable();
        order.into_iter().map(|(_, seat)| seat).collect()
    }

    /// Returns the daemon's own seat.
    pub fn own(&self) -> &SeatSettings {
        &self.seats[self.own]
    }
}

/// Reads and checks settings from `text`; `file` is the name that faults show.
///
/// # Errors
///
/// All faults of the settings, in the order of their lines.
pub fn load(file: &str, text: &str) -> Result<Settings, Faults> {
    let mut faults = Faults::new(file);
    let sections = read(text, SCHEMA, &mut faults);
    let mut seats: Vec<(usize, SeatSettings)> = Vec::new();
    for ((kind, name), section) in &sections {
        if &**kind == "seat" {
            seats.extend(seat(name, section, &mut faults));
        }
    }
    seats.sort_by_key(|(_, seat)| seat.seat);
    for pair in seats.windows(2) {
        if pair[0].1.seat == pair[1].1.seat {
            let problem = format!(
                "seats `{}` and `{}` share a number",
                pair[0].1.name, pair[1].1.name
            );
            faults.add(
                pair[1].0,
                problem,
                "Give each seat a number of its own, for good.",
            );
        }
    }
    let seats: Vec<SeatSettings> = seats.into_iter().map(|(_, seat)| seat).collect();
    let Some(daemon) = sections.get(&("daemon".into(), "".into())) else {
        faults.add(
            1,
            "there is no `[daemon]` section",
            "Add one; `docs/user/settings.md` has an example.",
        );
        return Err(faults);
    };
    let own_name = text_of(daemon, "seat");
    let own = seats.iter().position(|seat| seat.name == own_name);
    if own.is_none() {
        let problem = format!("`seat = {own_name}` names no seat");
        faults.add(
            daemon.line_of("seat"),
            problem,
            format!("Add a section `[seat {own_name}]`."),
        );
    }
    for key in ["log_url", "host_list_url"] {
        if !text_of(daemon, key).starts_with("http://") && daemon.values.contains_key(key) {
            let problem = format!("`{key}` is not a URL of the platform");
            faults.add(
                daemon.line_of(key),
                problem,
                "Write it as `http://ADDRESS:PORT`.",
            );
        }
    }
    let empty = Section::default();
    let limits = limits(
        sections
            .get(&("limits".into(), "".into()))
            .unwrap_or(&empty),
    );
    if limits.suspect_ms < 2 * limits.heartbeat_ms || limits.lease_ms < 2 * limits.heartbeat_ms {
        let line = sections
            .get(&("limits".into(), "".into()))
            .map_or(1, |section| section.line);
        let problem = "`lease_ms` and `suspect_ms` must be at least twice `heartbeat_ms`";
        faults.add(line, problem, "Raise them or lower `heartbeat_ms`.");
    }
    let Some(own) = own.filter(|_| faults.is_empty()) else {
        return Err(faults);
    };
    Ok(Settings {
        cluster: text_of(daemon, "cluster"),
        own,
        seats,
        log_url: text_of(daemon, "log_url"),
        host_list_url: text_of(daemon, "host_list_url"),
        log_style: text_or(daemon, "log_style", "readable"),
        caller_threads: number(daemon, "caller_threads", 64) as usize,
        caller_connections: number(daemon, "caller_connections", 512) as usize,
        worker_threads: number(daemon, "worker_threads", 16) as usize,
        request_max_bytes: number(daemon, "request_max_bytes", 1_000_000),
        caller_timeout_ms: number(daemon, "caller_timeout_ms", 10_000),
        platform_timeout_ms: number(daemon, "platform_timeout_ms", 2_000),
        hosts_poll_ms: number(daemon, "hosts_poll_ms", 500),
        events_kept: number(daemon, "events_kept", 20_000) as usize,
        limits,
    })
}

fn text_of(section: &Section, key: &str) -> Box<str> {
    text_or(section, key, "")
}

fn text_or(section: &Section, key: &str, default: &str) -> Box<str> {
    section
        .values
        .get(key)
        .cloned()
        .unwrap_or_else(|| default.into())
}

fn number(section: &Section, key: &str, default: u64) -> u64 {
    let value = section.values.get(key).and_then(|value| value.parse().ok());
    value.unwrap_or(default)
}

fn seat(name: &str, section: &Section, faults: &mut Faults) -> Option<(usize, SeatSettings)> {
    let mut address = |key: &str| {
        let text = text_of(section, key);
        let parsed: Result<SocketAddr, _> = text.parse();
        if parsed.is_err() && !text.is_empty() {
            let problem = format!("`{key} = {text}` is not an IP address and port");
            faults.add(
                section.line_of(key),
                problem,
                "Write an IP address and a port, such as 10.0.0.1:8080.",
            );
        }
        parsed.ok()
    };
    let caller_address = address("caller_address");
    let operator_address = address("operator_address");
    let peer_address = address("peer_address");
    let seat = SeatSettings {
        seat: Seat(number(section, "number", 0) as u16),
        name: name.into(),
        failure_domain: text_of(section, "failure_domain"),
        caller_address: caller_address?,
        operator_address: operator_address?,
        peer_address: peer_address?,
    };
    Some((section.line, seat))
}

fn limits(section: &Section) -> Limits {
    let default = Limits::default();
    Limits {
        voters: number(section, "voters", default.voters as u64) as usize,
        lease_ms: number(section, "lease_ms", default.lease_ms),
        heartbeat_ms: number(section, "heartbeat_ms", default.heartbeat_ms),
        suspect_ms: number(section, "suspect_ms", default.suspect_ms),
        key_cells: number(section, "key_cells", u64::from(default.key_cells)) as u16,
        appends_per_s: number(section, "appends_per_s", default.appends_per_s),
        lazy_ms: number(section, "lazy_ms", default.lazy_ms),
        poll_ms: number(section, "poll_ms", default.poll_ms),
        append_timeout_ms: number(section, "append_timeout_ms", default.append_timeout_ms),
        identity_window_ms: number(section, "identity_window_ms", default.identity_window_ms),
        worker_lease_ms: number(section, "worker_lease_ms", default.worker_lease_ms),
        worker_poll_ms: number(section, "worker_poll_ms", default.worker_poll_ms),
        retry_permille: number(section, "retry_permille", u64::from(default.retry_permille)) as u32,
        waiting_per_slot: number(
            section,
            "waiting_per_slot",
            u64::from(default.waiting_per_slot),
        ) as u32,
        carry_ms: number(section, "carry_ms", default.carry_ms),
        ..default
    }
}
