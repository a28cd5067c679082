//! The operator's rules and the list of workers, in the product's words.

use crate::incarnation::Incarnation;

/// Resources: what a task asks for, or what a worker has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory.
    pub memory_mb: u64,
    /// Accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Tells whether `requested` fits in.
    pub fn can_fit(self, requested: Resources) -> bool {
        self.cpu_milli >= requested.cpu_milli
            && self.memory_mb >= requested.memory_mb
            && self.accelerators >= requested.accelerators
    }

    /// Adds up.
    pub fn plus(self, other: Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli + other.cpu_milli,
            memory_mb: self.memory_mb + other.memory_mb,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Takes away, down to nothing.
    pub fn minus(self, other: Resources) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli.saturating_sub(other.cpu_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }
}

/// A queue of jobs: where callers reach it and how its jobs are treated.
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
    /// 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail.
    pub max_attempts: u32,
    /// How many times its longest chain of work a job may take, in thousandths.
    pub stretch_permille: u64,
    /// Time on top of that.
    pub target_latency_ms: u64,
    /// Its policy lets only some workers run a step.
    pub permits: Option<PermitRules>,
}

/// What asking for permits takes, and how long they hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PermitRules {
    /// Time that each call takes.
    pub decision_ms: u64,
    /// Time more for each worker named.
    pub worker_us: u64,
    /// Time for which a permit holds.
    pub validity_ms: u64,
}

/// The rules in force.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Config {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// All queues.
    pub queues: Box<[Queue]>,
    /// Longest head of a caller's request.
    pub max_head_bytes: usize,
    /// Longest body of a caller's request.
    pub max_body_bytes: usize,
    /// Longest time for a caller's request to come in.
    pub max_request_ms: u64,
    /// Longest silence of a caller between requests.
    pub max_idle_ms: u64,
}

impl Config {
    /// Finds the queue of a host name and path: the one with the longest prefix.
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

    /// Finds a queue by its name.
    pub fn queue(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| *queue.name == *name)
    }
}

/// A worker as it reports itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Its name.
    pub id: Box<str>,
    /// The start of which this tells.
    pub incarnation: Incarnation,
    /// Service whose tasks it runs.
    pub service: Box<str>,
    /// Where it takes orders.
    pub address: Box<str>,
    /// Its failure domain.
    pub failure_domain: Box<str>,
    /// It is about to leave and must get nothing new.
    pub is_leaving: bool,
    /// Time after its start for which it stays slow.
    pub cold_ms: u64,
    /// What it has.
    pub resources: Resources,
    /// Its rack.
    pub rack: Box<str>,
    /// Its labels, its rack among them.
    pub labels: Box<[Box<str>]>,
}

/// What a value of the platform's streams says, or what is wrong with it.
pub type Decoded<T> = Result<T, Box<str>>;

/// Reads which failure domain a record evacuates, given its key and its value.
pub type EvacuationDecoder = fn(&str, &[u8]) -> Option<Decoded<Box<str>>>;

/// Functions that read values of the platform's streams into the product's types.
/// They differ with the platform, so whoever embeds an entry passes them in.
#[derive(Debug, Clone, Copy)]
pub struct Decoders {
    /// Reads the rules; the error says what is wrong.
    pub config: fn(&[u8]) -> Decoded<Config>,
    /// Reads which failure domain a record of the rules evacuates, given its key and its value;
    /// without a value it takes the evacuation back. `None` if the record is about something else;
    /// the error says what is wrong.
    pub evacuation: EvacuationDecoder,
    /// Reads a worker's report, given its id; the error says what is wrong.
    pub worker: fn(&str, &[u8]) -> Decoded<WorkerEntry>,
}
