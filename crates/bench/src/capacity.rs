//! Renders the capacity page from the measured slopes alone, so that the page always
//! agrees with the measurement.

use crate::edges::HTTP_BYTES;
use crate::facts::facts;
use crate::series::Series;
use crate::slopes::PLANNED_TASKS;
use minijinja::Environment;
use minijinja::Value;
use minijinja::syntax::SyntaxConfig;
use minijinja::value::Serde;
use serde::Serialize;
use std::collections::BTreeMap;

const TEMPLATE: &str = include_str!("capacity.md.jinja");

/// Processor time that control may use on each node, in microseconds per second.
const ALLOWED_CPU_US_PER_S: f64 = 37_000.0;
/// Network bytes that control may use on each node, in bytes per second.
pub(crate) const ALLOWED_BYTES_PER_S: f64 = 14_000.0;
/// Memory that control may use on each node, in bytes.
const ALLOWED_MEMORY_BYTES: f64 = 128e6;
/// Appends per second assumed of the log, which accepts several hundred.
pub(crate) const LOG_APPENDS_PER_S: f64 = 300.0;
/// Growth of a record by its Base64 encoding.
pub(crate) const BASE64_FACTOR: f64 = 4.0 / 3.0;
pub(crate) const DAY_S: f64 = 86_400.0;

/// Sizes and rates of a fleet.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Sizes {
    pub(crate) workers: f64,
    pub(crate) tasks: f64,
    upstreams: f64,
    pub(crate) starts_per_s: f64,
    pub(crate) changes_per_day: f64,
    restarts_per_day: f64,
    entries: f64,
}

/// Frequencies of periodic work, which are settings of the daemon.
#[derive(Debug, Clone, Copy, Serialize)]
struct Pace {
    heartbeats_per_s: f64,
    polls_per_s: f64,
    worker_polls_per_s: f64,
    carry_s: f64,
    lists_per_s: f64,
    lists_changes_only: bool,
    own_voters: bool,
}

/// One kind of control traffic, summed over all entry hosts.
#[derive(Debug, Clone, Serialize)]
struct Line {
    role: &'static str,
    messages: String,
    cpu_us: f64,
    bytes: f64,
    memory: f64,
    appends: f64,
    slopes: &'static str,
}

/// Totals over all entry hosts, and the share of a single one.
#[derive(Debug, Clone, Serialize)]
struct Sum {
    name: &'static str,
    lines: Vec<Row>,
    cpu_share: String,
    bytes_share: String,
    memory_share: String,
    voter: String,
    appends: String,
    entries: String,
    by_cpu: String,
    by_bytes: String,
    by_memory: String,
}

#[derive(Debug, Clone, Serialize)]
struct Row {
    role: &'static str,
    messages: String,
    cpu: String,
    bytes: String,
    memory: String,
    appends: String,
    slopes: &'static str,
}

#[derive(Debug, Serialize)]
struct SeriesRow {
    name: String,
    unit: String,
    size_of: String,
    points: String,
    line: String,
    growth: String,
}

#[derive(Debug, Serialize)]
struct Page {
    sums: Vec<Sum>,
    series: Vec<SeriesRow>,
    facts: BTreeMap<&'static str, String>,
}

/// The measured series by name.
pub(crate) struct Slopes<'a>(BTreeMap<&'a str, &'a Series>);

impl Slopes<'_> {
    /// Returns the value of a series at its last measured size, or 0 for an unknown one.
    pub(crate) fn last(&self, name: &str) -> f64 {
        self.0.get(name).map_or(0.0, |series| series.last())
    }

    /// Returns the value at `size` on the line fitted to a series.
    pub(crate) fn value_at(&self, name: &str, size: f64) -> f64 {
        let Some(series) = self.0.get(name) else {
            return 0.0;
        };
        let (intercept, slope) = series.fit();
        intercept + slope * size
    }

    /// Returns the slope of the line fitted to a series.
    pub(crate) fn slope(&self, name: &str) -> f64 {
        self.0.get(name).map_or(0.0, |series| series.fit().1)
    }
}

/// Returns the bytes of one start in the log: its records accepted, assigned and ended.
pub(crate) fn start_record_bytes(slopes: &Slopes) -> f64 {
    let kinds = [
        "record_accepted_bytes",
        "record_assigned_bytes",
        "record_ended_bytes",
    ];
    kinds.iter().map(|kind| slopes.last(kind)).sum()
}

fn start_record_us(slopes: &Slopes) -> f64 {
    let kinds = [
        "record_accepted_us",
        "record_assigned_us",
        "record_ended_us",
    ];
    kinds.iter().map(|kind| slopes.last(kind)).sum()
}

/// Returns all control traffic of the fleet, summed over its entry hosts.
fn lines(slopes: &Slopes, sizes: Sizes, rates: Pace) -> Vec<Line> {
    let measured_heartbeats = 4.0;
    let heartbeat_factor = rates.heartbeats_per_s / measured_heartbeats;
    let per_worker = sizes.tasks / sizes.workers;
    let calls = sizes.workers * rates.worker_polls_per_s;
    let changes_per_call = 3.0 * sizes.starts_per_s / calls;
    let call_bytes = match rates.lists_changes_only {
        true => slopes.value_at("worker_change_bytes", changes_per_call),
        false => slopes.value_at("worker_call_bytes", per_worker),
    };
    let polls = 2.0 * rates.polls_per_s * sizes.entries;
    const EMPTY_ANSWER_BYTES: f64 = 45.0;
    let change_rate = sizes.changes_per_day / DAY_S;
    let config_bytes = slopes.slope("config_bytes") * sizes.workers;
    let start_appends =
        (sizes.starts_per_s * 3.0 / 500.0).max(LOG_APPENDS_PER_S.min(sizes.starts_per_s * 3.0));
    let entry_restarts = sizes.restarts_per_day * sizes.entries / (sizes.workers + sizes.entries);
    vec![
        Line {
            role: "membership: heartbeats and promises",
            messages: format!(
                "{:.0}/s",
                slopes.last("member_messages") * heartbeat_factor * sizes.entries
            ),
            cpu_us: slopes.value_at("member_cpu", sizes.entries) * heartbeat_factor * sizes.entries,
            bytes: slopes.last("member_bytes") * heartbeat_factor * sizes.entries,
            memory: 0.0,
            appends: 0.0,
            slopes: "member_messages, member_bytes, member_cpu",
        },
        Line {
            role: "following claims and configuration",
            messages: format!("{polls:.0} reads/s"),
            cpu_us: polls * slopes.value_at("append_edge_us", 0.0)
                + change_rate * slopes.value_at("change_us", sizes.workers) * sizes.entries,
            bytes: polls * (HTTP_BYTES + EMPTY_ANSWER_BYTES)
                + change_rate * slopes.last("change_bytes") * BASE64_FACTOR * sizes.entries,
            memory: slopes.slope("config_memory") * sizes.workers * sizes.entries,
            appends: change_rate,
            slopes: "append_edge_us, change_us, change_bytes, config_memory",
        },
        Line {
            role: "carrying the configuration forward",
            messages: format!("1 record in {:.0} s", rates.carry_s),
            cpu_us: 0.0,
            bytes: config_bytes * BASE64_FACTOR / rates.carry_s * (sizes.entries + 1.0),
            memory: 0.0,
            appends: 2.0 / rates.carry_s,
            slopes: "config_bytes",
        },
        Line {
            role: "fresh entry hosts loading the configuration",
            messages: format!("{entry_restarts:.0}/day"),
            cpu_us: entry_restarts / DAY_S * slopes.value_at("config_load_us", sizes.workers),
            bytes: entry_restarts / DAY_S * config_bytes * BASE64_FACTOR,
            memory: 0.0,
            appends: entry_restarts * 3.0 / DAY_S,
            slopes: "config_bytes, config_load_us",
        },
        Line {
            role: "following the list of hosts",
            messages: format!("{:.0} lists/s", rates.lists_per_s * sizes.entries),
            cpu_us: 0.0,
            bytes: match rates.lists_changes_only {
                true => {
                    let changes = 2.0 * sizes.restarts_per_day / DAY_S;
                    sizes.entries
                        * (rates.lists_per_s * HTTP_BYTES
                            + changes * slopes.slope("host_list_bytes"))
                }
                false => {
                    let listed_hosts = sizes.workers + sizes.upstreams;
                    rates.lists_per_s
                        * sizes.entries
                        * slopes.value_at("host_list_bytes", listed_hosts)
                }
            },
            memory: 0.0,
            appends: 0.0,
            slopes: "host_list_bytes",
        },
        Line {
            role: "owning cells of workers: calls",
            messages: format!("{calls:.0} calls/s"),
            cpu_us: calls
                * (slopes.value_at("worker_edge_us", per_worker)
                    + slopes.value_at("listing_us", per_worker)),
            bytes: calls * call_bytes,
            memory: slopes.last("task_bytes") * sizes.tasks,
            appends: 0.0,
            slopes: "worker_edge_us, listing_us, worker_call_bytes, task_bytes",
        },
        Line {
            role: "starting tasks: home and cell of workers",
            messages: format!("{:.0}/s", sizes.starts_per_s * 6.0),
            cpu_us: sizes.starts_per_s
                * (slopes.last("job_home_us")
                    + slopes.last("start_decision_us")
                    + start_record_us(slopes))
                + start_appends * slopes.value_at("append_edge_us", 4_000.0),
            bytes: sizes.starts_per_s
                * (slopes.last("task_message_bytes") * 2.0
                    + start_record_bytes(slopes) * BASE64_FACTOR)
                + start_appends * HTTP_BYTES,
            memory: slopes.last("job_bytes") * sizes.tasks,
            appends: start_appends,
            slopes: "job_home_us, start_decision_us, record_*, task_message_bytes, append_edge_us",
        },
        Line {
            role: "owning cells of upstreams: state",
            messages: "see requests below".into(),
            cpu_us: 0.0,
            bytes: 0.0,
            memory: slopes.last("instance_bytes") * sizes.upstreams,
            appends: 0.0,
            slopes: "instance_bytes",
        },
    ]
}

pub(crate) fn format_number(value: f64) -> String {
    match value.abs() {
        size if size >= 1e6 => format!("{:.1} M", value / 1e6),
        size if size >= 1e4 => format!("{:.1} k", value / 1e3),
        size if size >= 10.0 => format!("{value:.0}"),
        size if size >= 0.1 => format!("{value:.1}"),
        0.0 => "0".into(),
        _ => format!("{value:.4}"),
    }
}

/// Describes how much of an allowance is used; a factor above 1 exceeds it.
fn share(used: f64, allowed: f64) -> String {
    let factor = used / allowed;
    match factor > 1.0 {
        true => format!("**{factor:.1} times the allowance**"),
        false => format!("{:.0}% of the allowance", factor * 100.0),
    }
}

fn summarize(slopes: &Slopes, name: &'static str, sizes: Sizes, rates: Pace) -> Sum {
    let lines = lines(slopes, sizes, rates);
    let total = |pick: fn(&Line) -> f64| lines.iter().map(pick).sum::<f64>();
    let (cpu, bytes) = (total(|line| line.cpu_us), total(|line| line.bytes));
    let memory = total(|line| line.memory);
    let heartbeat_factor = rates.heartbeats_per_s / 4.0;
    let voter_bytes = match rates.own_voters {
        // Each member has its own voters, and a host receives heartbeats from five
        // members on average.
        true => slopes.last("member_bytes") * heartbeat_factor * 2.0,
        false => slopes.value_at("voter_bytes", sizes.entries) * heartbeat_factor,
    };
    // Load that every host bears regardless of their number, against load that is shared.
    let is_per_host = |role: &str| {
        role.starts_with("membership")
            || role.starts_with("following")
            || role.starts_with("carrying")
            || role.starts_with("following the list")
    };
    let split = |pick: fn(&Line) -> f64| {
        let own: f64 = lines
            .iter()
            .filter(|line| is_per_host(line.role))
            .map(pick)
            .sum();
        let shared: f64 = lines
            .iter()
            .filter(|line| !is_per_host(line.role))
            .map(pick)
            .sum();
        (own / sizes.entries, shared)
    };
    let needed = |pick: fn(&Line) -> f64, allowed: f64| {
        let (own, shared) = split(pick);
        match own < allowed {
            true => format!("{:.0}", (shared / (allowed - own)).ceil().max(1.0)),
            false => "no number is enough".into(),
        }
    };
    let rows = lines.iter().map(|line| Row {
        role: line.role,
        messages: line.messages.clone(),
        cpu: format_number(line.cpu_us / 1e4),
        bytes: format_number(line.bytes),
        memory: format_number(line.memory),
        appends: format_number(line.appends),
        slopes: line.slopes,
    });
    Sum {
        name,
        lines: rows.collect(),
        cpu_share: share(cpu / sizes.entries, ALLOWED_CPU_US_PER_S),
        bytes_share: share(bytes / sizes.entries, ALLOWED_BYTES_PER_S),
        memory_share: share(memory / sizes.entries, ALLOWED_MEMORY_BYTES),
        voter: share(voter_bytes, ALLOWED_BYTES_PER_S),
        appends: format_number(total(|line| line.appends)),
        entries: format!("{:.0}", sizes.entries),
        by_cpu: needed(|line| line.cpu_us, ALLOWED_CPU_US_PER_S),
        by_bytes: needed(|line| line.bytes, ALLOWED_BYTES_PER_S),
        by_memory: needed(|line| line.memory, ALLOWED_MEMORY_BYTES),
    }
}

const CURRENT_SIZES: Sizes = Sizes {
    workers: 65.0,
    tasks: 1_330.0,
    upstreams: 65.0,
    starts_per_s: 21.7,
    changes_per_day: 108.0,
    restarts_per_day: 18.0,
    entries: 8.0,
};

pub(crate) const PLANNED_SIZES: Sizes = Sizes {
    workers: 8_400.0,
    tasks: PLANNED_TASKS as f64,
    upstreams: 22_000.0,
    starts_per_s: 2_800.0,
    changes_per_day: 14_000.0,
    restarts_per_day: 2_300.0,
    entries: 62.0,
};

const DEFAULT_RATES: Pace = Pace {
    heartbeats_per_s: 4.0,
    polls_per_s: 1_000.0 / 150.0,
    worker_polls_per_s: 1.0,
    carry_s: 600.0,
    lists_per_s: 2.0,
    lists_changes_only: false,
    own_voters: false,
};

const TUNED_RATES: Pace = Pace {
    heartbeats_per_s: 2.0,
    polls_per_s: 1.0,
    worker_polls_per_s: 0.2,
    carry_s: 7_200.0,
    lists_per_s: 0.2,
    lists_changes_only: false,
    own_voters: false,
};

const REDESIGNED_RATES: Pace = Pace {
    lists_changes_only: true,
    own_voters: true,
    ..TUNED_RATES
};

/// Renders the page from the measured series.
///
/// # Errors
///
/// Returns an error if the template can't be rendered, which is a bug in the program.
pub fn render(series: &[Series]) -> Result<String, minijinja::Error> {
    let slopes = Slopes(
        series
            .iter()
            .map(|series| (&*series.name, series))
            .collect(),
    );
    let planned_with_entries = |entries: f64| Sizes {
        entries,
        ..PLANNED_SIZES
    };
    let sums = vec![
        summarize(
            &slopes,
            "today's sizes, settings as shipped",
            CURRENT_SIZES,
            DEFAULT_RATES,
        ),
        summarize(
            &slopes,
            "the plan's sizes, settings as shipped, 62 entry hosts",
            PLANNED_SIZES,
            DEFAULT_RATES,
        ),
        summarize(
            &slopes,
            "the plan's sizes, settings for the size, 62 entry hosts",
            PLANNED_SIZES,
            TUNED_RATES,
        ),
        summarize(
            &slopes,
            "the plan's sizes, with what three mechanisms must become, 62 entry hosts",
            PLANNED_SIZES,
            REDESIGNED_RATES,
        ),
        summarize(
            &slopes,
            "the plan's sizes, with what three mechanisms must become, 300 entry hosts",
            planned_with_entries(300.0),
            REDESIGNED_RATES,
        ),
    ];
    let rows = series.iter().map(|series| {
        let (intercept, slope) = series.fit();
        let points = series
            .points
            .iter()
            .map(|(size, value)| format!("{size}: {}", format_number(*value)));
        let exponent = series.exponent();
        SeriesRow {
            name: series.name.clone(),
            unit: series.unit.clone(),
            size_of: series.size_of.clone(),
            points: points.collect::<Vec<_>>().join(", "),
            line: format!("{} + {} x", format_number(intercept), format_number(slope)),
            growth: match exponent {
                growth if growth.abs() < 0.1 => "flat".into(),
                growth if (0.9..1.1).contains(&growth) => "linear".into(),
                growth => format!("not linear: grows as size^{growth:.2}"),
            },
        }
    });
    let page = Page {
        sums,
        series: rows.collect(),
        facts: facts(&slopes),
    };
    let mut environment = Environment::new();
    let syntax = SyntaxConfig::builder()
        .trim_blocks(true)
        .lstrip_blocks(true)
        .keep_trailing_newline(true)
        .build()?;
    environment.set_syntax(syntax);
    environment.add_template("capacity", TEMPLATE)?;
    environment
        .get_template("capacity")?
        .render(Value::from(Serde(&page)))
}
