//! Rules, workers and jobs of the simulated fleet.

use goldcrestway_dispatch::Config;
use goldcrestway_dispatch::Decoded;
use goldcrestway_dispatch::Queue;
use goldcrestway_dispatch::Resources;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Submission;
use goldcrestway_dispatch::WorkerEntry;

/// Resources of each worker.
pub(crate) const WORKER_RESOURCES: Resources = Resources {
    cpu_milli: 8_000,
    memory_mb: 16_000,
    accelerators: 0,
};

/// Host name under which callers reach all queues.
pub(crate) const QUEUES_HOST: &str = "batch.test";

/// Decodes rules: a version in one byte, and the letters of the queues beside `batch`.
pub(crate) fn decode_config(value: &[u8]) -> Result<Config, Box<str>> {
    let (version, letters) = value.split_first().ok_or("no version")?;
    let mut queues = vec![queue("batch")];
    for letter in letters {
        queues.push(queue(&char::from(*letter).to_string()));
    }
    Ok(Config {
        version: u64::from(*version),
        queues: queues.into(),
        ..Config::default()
    })
}

fn queue(name: &str) -> Queue {
    Queue {
        name: name.into(),
        host: QUEUES_HOST.into(),
        path_prefix: format!("/{name}/").into(),
        service: "service".into(),
        priority: 0,
        max_attempts: 3,
        stretch_permille: 2_000,
        target_latency_ms: 500,
        permits: None,
    }
}

/// Decodes an evacuation: its failure domain is in the key, and its value is `{}` or empty.
pub(crate) fn decode_evacuation(key: &str, value: &[u8]) -> Option<Decoded<Box<str>>> {
    let domain = key.strip_prefix("evacuate/")?;
    match value {
        b"" | b"{}" => Some(Ok(domain.into())),
        _ => Some(Err("no evacuation".into())),
    }
}

/// Number of failure domains, to which workers are assigned in turn.
pub(crate) const FAILURE_DOMAINS: u8 = 2;

/// Returns the failure domain of a worker by its address, 10.0.0.N:80.
pub(crate) fn failure_domain_of(address: &str) -> Box<str> {
    let number = address.split(['.', ':']).nth(3);
    let number: u8 = number.and_then(|text| text.parse().ok()).unwrap_or(0);
    format!("hall-{}", number % FAILURE_DOMAINS).into()
}

/// Decodes a worker: its address, `ready` or `leaving`, its CPU and memory where they differ from
/// the default, and its start time where it reports one.
pub(crate) fn decode_worker(id: &str, value: &[u8]) -> Result<WorkerEntry, Box<str>> {
    let text = std::str::from_utf8(value).map_err(|_| "not text")?;
    let mut words = text.split(' ');
    let address = words.next().ok_or("no address")?;
    let state = words.next().ok_or("no state")?;
    let mut resources = WORKER_RESOURCES;
    if let (Some(cpu_milli), Some(memory_mb)) = (words.next(), words.next()) {
        resources.cpu_milli = cpu_milli.parse().map_err(|_| "no processors")?;
        resources.memory_mb = memory_mb.parse().map_err(|_| "no memory")?;
    }
    let born = words.next().map(str::parse).transpose();
    let started_wall_ms: Option<u64> = born.map_err(|_| "no start")?;
    Ok(WorkerEntry {
        id: id.into(),
        incarnation: started_wall_ms.into(),
        service: "service".into(),
        address: address.into(),
        failure_domain: failure_domain_of(address),
        is_leaving: state == "leaving",
        cold_ms: 0,
        resources,
        rack: "rack".into(),
        labels: Box::default(),
    })
}

/// Returns a step of `count` tasks that take `work_ms` each.
pub(crate) fn step(count: u32, work_ms: u64, after: &[u32]) -> Step {
    Step {
        count,
        cpu_milli: 1_000,
        memory_mb: 1_000,
        estimated_ms: work_ms,
        after: after.to_vec(),
        ..Step::default()
    }
}

/// Returns a job of steps.
pub(crate) fn job(steps: Vec<Step>) -> Submission {
    Submission {
        queue: "batch".into(),
        service: "service".into(),
        max_attempts: 3,
        specification: "text".into(),
        steps,
        stretch_permille: 2_000,
        target_latency_ms: 500,
        ..Submission::default()
    }
}
