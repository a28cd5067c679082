//! The workers of one rack and the tasks on them, as tracked by the cell's owner.
//!
//! Resources are in use from their reservation until the worker itself lists the task
//! as ended: a task that is starting, stopping or in an unknown state still counts.
//! Instances of services are accounted for by what the inventory reserves for them.
//!
//! A worker gets one call that names the tasks to start, to stop and to forget, and
//! answers with all tasks it has. The call carries a fencing token that grows with
//! the owner's term and with every call; a call that was delayed, or that is from a
//! replaced owner, therefore has no effect. This makes the worker itself the
//! authority on what runs on it.

mod calls;
mod orders;
mod reservations;
mod types;

use crate::ids::Term;
use crate::interference::INTERFERENCE_SETTINGS;
use crate::interference::InterferenceControl;
use crate::interference::InterferenceSettings;
use crate::macros::plain;
use goldcrestway_inventory::Resources;
use slotmap::SlotMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

pub use types::AttemptId;
pub use types::HostEntry;
pub use types::ReportedState;
pub use types::Reservation;
pub use types::StartAnswer;
pub use types::StartOptions;
pub use types::TaskEnd;
pub use types::TaskOrder;
pub use types::TaskReport;
pub use types::TaskState;
pub use types::TaskUpdate;
pub use types::WorkerCall;
pub use types::WorkerReport;
pub use types::WorkerTiming;

slotmap::new_key_type! {
    /// Key of a host within its cell.
    pub struct HostKey;
    /// Key of a task within its cell.
    pub struct TaskKey;
}

plain! {
    /// A task on a worker.
    pub struct Task {
        /// Order that the worker gets.
        pub order: TaskOrder,
        /// Host of the task.
        pub host: HostKey,
        /// Whether it has priority over batch tasks.
        pub is_urgent: bool,
        /// Its state.
        pub state: TaskState,
        /// Time at which its resources were reserved.
        pub since_ms: u64,
    }
}

/// Contact with a host's worker in this term.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Contact {
    /// No report has arrived in this term.
    Unreported,
    /// At least one report has arrived in this term.
    Reported,
    /// Its lease has expired without an answer; nothing runs on it any more.
    Expired,
}

#[derive(Debug, Clone)]
struct Host {
    name: Box<str>,
    address: Box<str>,
    total: Resources,
    reserved: Resources,
    booked: Resources,
    tasks: Vec<TaskKey>,
    excluded_jobs: Vec<Box<str>>,
    contact: Contact,
    is_leaving: bool,
    is_listed: bool,
    /// Number of the latest report and the time at which it arrived. The worker
    /// counts its lease from when it sent the report, which was earlier. However late
    /// a call arrives there, the lease therefore expires at the worker first.
    last_report: u64,
    renewed_ms: u64,
    call: Option<PendingCall>,
    next_call_ms: u64,
    is_dirty: bool,
    failures: u32,
    avoided_until_ms: u64,
    interference: InterferenceControl,
    urgent_hold: Option<UrgentHold>,
}

/// Resources that are being freed for an urgent attempt and that no other may use.
#[derive(Debug, Clone)]
struct UrgentHold {
    attempt: AttemptId,
    need: Resources,
    until_ms: u64,
}

#[derive(Debug, Clone)]
struct PendingCall {
    token: u64,
    starts: Vec<TaskKey>,
    stops: Vec<TaskKey>,
    forgets: Vec<TaskKey>,
}

/// The workers of one rack.
#[derive(Debug, Clone)]
pub struct WorkerCell {
    term: Term,
    timing: WorkerTiming,
    settings: InterferenceSettings,
    calls: u64,
    hosts: SlotMap<HostKey, Host>,
    by_name: HashMap<Box<str>, HostKey>,
    tasks: SlotMap<TaskKey, Task>,
    by_attempt: HashMap<AttemptId, TaskKey>,
    tombstones: VecDeque<(u64, AttemptId)>,
    ended_attempts: HashMap<AttemptId, TaskEnd>,
    /// Attempts whose reservation has expired; their homes were not informed.
    expired: HashSet<AttemptId>,
    reports: Vec<TaskUpdate>,
}

/// Failures in a row after which a worker is avoided for a while.
const MAX_FAILURES: u32 = 3;
/// Time for which it is avoided at first; doubles up to sixteen times as long.
const AVOID_MS: u64 = 5_000;
/// Time for which the end of a removed attempt is remembered.
const TOMBSTONE_MS: u64 = 60_000;
/// Number of low bits of a token that count the calls within one term.
const CALLS_PER_TERM_BITS: u32 = 24;

impl WorkerCell {
    /// Creates a cell without hosts.
    pub fn new(term: Term, timing: WorkerTiming) -> Self {
        Self {
            term,
            timing,
            settings: INTERFERENCE_SETTINGS,
            calls: 0,
            hosts: SlotMap::with_key(),
            by_name: HashMap::new(),
            tasks: SlotMap::with_key(),
            by_attempt: HashMap::new(),
            tombstones: VecDeque::new(),
            ended_attempts: HashMap::new(),
            expired: HashSet::new(),
            reports: Vec::new(),
        }
    }

    /// Sets the interference settings of hosts that are added from now on.
    pub fn set_interference_settings(&mut self, settings: InterferenceSettings) {
        self.settings = settings;
    }

    /// Returns the number of calls in this term.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Sets the number of calls to that of a previous process of the same term, which
    /// keeps tokens growing.
    pub fn set_calls(&mut self, calls: u64) {
        self.calls = calls;
    }

    /// Returns the term under which the owner acts.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Adds or updates a host.
    pub fn update_host(&mut self, now_ms: u64, listed: HostEntry) {
        let key = match self.by_name.get(&listed.name) {
            Some(key) => *key,
            None => {
                let key = self.hosts.insert(Host {
                    name: listed.name.clone(),
                    address: listed.address.clone(),
                    total: listed.total,
                    reserved: listed.reserved,
                    booked: Resources::default(),
                    tasks: Vec::new(),
                    excluded_jobs: Vec::new(),
                    contact: Contact::Unreported,
                    is_leaving: false,
                    is_listed: true,
                    // A previous owner may have renewed the lease until now.
                    last_report: 0,
                    renewed_ms: now_ms,
                    call: None,
                    next_call_ms: 0,
                    is_dirty: false,
                    failures: 0,
                    avoided_until_ms: 0,
                    interference: InterferenceControl::new(self.settings),
                    urgent_hold: None,
                });
                self.by_name.insert(listed.name.clone(), key);
                key
            }
        };
        let host = &mut self.hosts[key];
        host.is_leaving = listed.is_leaving;
        host.is_listed = true;
        host.total = listed.total;
        host.reserved = listed.reserved;
        host.excluded_jobs = listed.excluded_jobs;
        if !listed.address.is_empty() {
            host.address = listed.address;
        }
        if host.is_leaving {
            self.evict_all(key);
        }
    }

    /// Handles that a host is no longer in the inventory: its tasks are evicted.
    pub fn remove_host(&mut self, name: &str) {
        if let Some(key) = self.by_name.get(name).copied() {
            self.hosts[key].is_listed = false;
            self.evict_all(key);
        }
    }

    /// Returns the names of the hosts in the inventory.
    pub fn host_names(&self) -> Vec<Box<str>> {
        let listed = self.hosts.values().filter(|host| host.is_listed);
        listed.map(|host| host.name.clone()).collect()
    }

    /// Removes and returns the new updates for the homes of tasks, and repeats those
    /// about ends that were not acknowledged for `answer_timeout_ms`.
    pub fn drain_updates(&mut self, now_ms: u64, answer_timeout_ms: u64) -> Vec<TaskUpdate> {
        let mut reports = std::mem::take(&mut self.reports);
        for task in self.tasks.values_mut() {
            let TaskState::Ended { end, told_ms } = &mut task.state else {
                continue;
            };
            if now_ms < *told_ms + answer_timeout_ms {
                continue;
            }
            *told_ms = now_ms;
            reports.push(TaskUpdate {
                attempt: task.order.attempt.clone(),
                end: Some(*end),
            });
        }
        reports
    }

    /// Returns the free resources of hosts that accept tasks.
    pub fn free_resources(&self) -> Resources {
        let mut sum = Resources::default();
        for host in self.hosts.values() {
            if host.contact != Contact::Reported || host.is_leaving || !host.is_listed {
                continue;
            }
            sum = sum.plus(self.free_on(host));
        }
        sum
    }

    /// Returns the number of tasks.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Returns whether there are no tasks.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns the host and the state of a job's task.
    pub fn find(&self, id: &str) -> Option<(Box<str>, TaskState)> {
        let task = self
            .tasks
            .values()
            .find(|task| &*task.order.attempt.id == id)?;
        Some((self.hosts[task.host].name.clone(), task.state))
    }

    /// Returns a description of one host in a line, for operators.
    pub fn describe(&self, now_ms: u64, name: &str) -> Option<String> {
        let host = &self.hosts[*self.by_name.get(name)?];
        let standing = match host.contact {
            Contact::Unreported => "has not answered yet",
            Contact::Expired => "is silent and its lease has lapsed",
            Contact::Reported if host.is_leaving => "is leaving",
            Contact::Reported if now_ms < host.avoided_until_ms => {
                "is set aside because what it starts fails"
            }
            Contact::Reported => "answers",
        };
        let free = self.free_on(host);
        Some(format!(
            "host {name} {standing}; {} tasks; free: {} millicores, {} MB, {} accelerators; batch share {} permille",
            host.tasks.len(),
            free.millicores,
            free.memory_mb,
            free.accelerators,
            host.interference.batch_permille()
        ))
    }
}

/// Returns the CPU of `need` in cores.
fn cores_of(need: Resources) -> f64 {
    const PER_CORE: f64 = 1_000.0;
    f64::from(need.millicores) / PER_CORE
}
