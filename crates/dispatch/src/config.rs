//! The operator's rules and the entries of workers, as decoded from the platform's streams.

use crate::incarnation::Incarnation;

/// Resources that a task requests, or that a worker has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory in megabytes.
    pub memory_mb: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns whether `requested` fits into these resources.
    pub fn can_fit(self, requested: Resources) -> bool {
        self.cpu_milli >= requested.cpu_milli
            && self.memory_mb >= requested.memory_mb
            && self.accelerators >= requested.accelerators
    }

    /// Returns the sum of both resources.
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_add(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns `count` times the resources.
    pub fn times(self, count: u64) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            accelerators: self.accelerators.saturating_mul(count),
        }
    }

    /// Returns the difference of both resources, saturating at zero.
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// A queue of jobs: where callers reach it, and how its jobs are scheduled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Queue {
    /// Its name.
    pub name: Box<str>,
    /// Host name under which callers reach it, in lower case.
    pub host: Box<str>,
    /// Path under which callers reach it.
    pub path_prefix: Box<str>,
    /// Service whose workers run its tasks.
    pub service: Box<str>,
    /// Priority of its jobs; 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// Time that a job may take as a multiple of its longest chain of steps, in thousandths.
    pub stretch_permille: u64,
    /// Time that a job may take in addition to that.
    pub target_latency_ms: u64,
    /// Set if a worker needs a permit to run a step.
    pub permits: Option<PermitRules>,
}

/// How long requests for permits take, and how long permits are valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitRules {
    /// Time that a request takes.
    pub decision_ms: u64,
    /// Additional time for each worker named.
    pub worker_us: u64,
    /// Time for which a permit is valid.
    pub validity_ms: u64,
}

/// The rules in force.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Config {
    /// Increases with each change, not necessarily by 1.
    pub version: u64,
    /// All queues.
    pub queues: Box<[Queue]>,
    /// Largest head of a caller's request.
    pub max_head_bytes: usize,
    /// Largest body of a caller's request.
    pub max_body_bytes: usize,
    /// Longest time to receive a caller's request.
    pub max_request_ms: u64,
    /// Longest idle time of a caller's connection between requests.
    pub max_idle_ms: u64,
}

impl Config {
    /// Returns the queue that serves a host name and path. Of several, the one with the longest
    /// path prefix wins.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let mut best: Option<&Queue> = None;
        for queue in &self.queues {
            if !queue.host.eq_ignore_ascii_case(host) || !path.starts_with(&*queue.path_prefix) {
                continue;
            }
            if best.is_none_or(|other| other.path_prefix.len() < queue.path_prefix.len()) {
                best = Some(queue);
            }
        }
        best
    }

    /// Returns the queue with the given name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| *queue.name == *name)
    }
}

/// The entry that a worker writes about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Its name.
    pub id: Box<str>,
    /// The incarnation that wrote it.
    pub incarnation: Incarnation,
    /// Service whose tasks it runs.
    pub service: Box<str>,
    /// Address at which it receives orders.
    pub address: Box<str>,
    /// Its failure domain.
    pub failure_domain: Box<str>,
    /// It is draining: it must get no new tasks.
    pub is_leaving: bool,
    /// Remaining warm-up time after its start, during which it is slow.
    pub cold_ms: u64,
    /// Its resources.
    pub resources: Resources,
    /// Its rack.
    pub rack: Box<str>,
    /// Its labels, which include its rack.
    pub labels: Box<[Box<str>]>,
}

/// A decoded value of the platform's streams, or what is wrong with it.
pub type Decoded<T> = Result<T, Box<str>>;

/// Reads which failure domain a record evacuates, given its key and its value.
pub type EvacuationDecoder = fn(&str, &[u8]) -> Option<Decoded<Box<str>>>;

/// Functions that decode values of the platform's streams. They depend on the platform, so the
/// program that embeds an [`Entry`](crate::Entry) passes them in.
#[derive(Debug, Clone, Copy)]
pub struct Decoders {
    /// Decodes the rules; the error says what is wrong.
    pub config: fn(&[u8]) -> Decoded<Config>,
    /// Reads which failure domain a record of the rules evacuates, given its key and its value;
    /// an empty value revokes the evacuation. `None` if the record is about something else;
    /// the error says what is wrong.
    pub evacuation: EvacuationDecoder,
    /// Decodes a worker's entry, given its id; the error says what is wrong.
    pub worker: fn(&str, &[u8]) -> Decoded<WorkerEntry>,
}
