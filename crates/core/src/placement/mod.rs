//! The workers of one rack and what runs on them, as the cell's owner sees them.
//!
//! Room is booked from the moment it is reserved until the worker itself lists
//! the task as gone: a task that is starting, stopping or of unknown fate still
//! counts. Services' instances are counted as reserved by the inventory.
//!
//! A worker is told everything in one call that names tasks to start, to stop and
//! to forget, and answers with all tasks it has. The call carries a fencing token
//! that grows with the owner's term and with every call, so a call that was
//! delayed, or that comes from an owner that was replaced, has no effect. That
//! makes the worker itself the final reference for what runs on it.

mod calls;
mod orders;
mod room;
mod types;

use crate::guard::INTERFERENCE_SETTINGS;
use crate::guard::InterferenceControl;
use crate::guard::InterferenceSettings;
use crate::ids::Term;
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
    /// One task.
    pub struct Task {
        /// What the worker is told.
        pub order: TaskOrder,
        /// Its worker.
        pub host: HostKey,
        /// Overtakes other work.
        pub is_urgent: bool,
        /// Where it stands.
        pub state: TaskState,
        /// When it was reserved.
        pub since_ms: u64,
    }
}

/// What is known of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Contact {
    /// Not yet listed by this owner.
    Unlisted,
    /// Listed at least once in this term.
    Listed,
    /// Its lease has lapsed without an answer; nothing runs on it any more.
    Lost,
}

#[derive(Debug, Clone)]
struct Host {
    name: Box<str>,
    address: Box<str>,
    total: Resources,
    reserved: Resources,
    booked: Resources,
    tasks: Vec<TaskKey>,
    barred: Vec<Box<str>>,
    contact: Contact,
    is_leaving: bool,
    is_listed: bool,
    /// Number of the latest listing and when it arrived. The worker counts its
    /// lease from when it gave the listing, which was earlier; so however late a
    /// call arrives there, the lease ends by this clock first at the worker.
    last_report: u64,
    renewed_ms: u64,
    call: Option<Pending>,
    next_call_ms: u64,
    is_dirty: bool,
    failures: u32,
    set_aside_until_ms: u64,
    guard: InterferenceControl,
    urgent_hold: Option<UrgentHold>,
}

/// Room that is being made for an urgent attempt and that no other may take.
#[derive(Debug, Clone)]
struct UrgentHold {
    attempt: AttemptId,
    need: Resources,
    until_ms: u64,
}

#[derive(Debug, Clone)]
struct Pending {
    token: u64,
    starts: Vec<TaskKey>,
    stops: Vec<TaskKey>,
    forgets: Vec<TaskKey>,
}

/// The workers of one rack.
#[derive(Debug, Clone)]
pub struct WorkerCell {
    term: Term,
    pace: WorkerTiming,
    temper: InterferenceSettings,
    calls: u64,
    hosts: SlotMap<HostKey, Host>,
    by_name: HashMap<Box<str>, HostKey>,
    tasks: SlotMap<TaskKey, Task>,
    by_attempt: HashMap<AttemptId, TaskKey>,
    tombstones: VecDeque<(u64, AttemptId)>,
    buried: HashMap<AttemptId, TaskEnd>,
    /// Attempts whose reservation ran out, and whose homes were not told.
    expired: HashSet<AttemptId>,
    reports: Vec<TaskUpdate>,
}

/// Failures in a row after which a worker that fails everything is set aside.
const FAILURES_BORNE: u32 = 3;
/// How long it is set aside at first; doubles up to sixteen times as long.
const SET_ASIDE_MS: u64 = 5_000;
/// How long the end of a forgotten attempt is remembered.
const TOMBSTONE_MS: u64 = 60_000;
/// Calls that fit into one term's range of tokens.
const CALLS_PER_TERM_BITS: u32 = 24;

impl WorkerCell {
    /// Starts with no hosts.
    pub fn new(term: Term, pace: WorkerTiming) -> Self {
        Self {
            term,
            pace,
            temper: INTERFERENCE_SETTINGS,
            calls: 0,
            hosts: SlotMap::with_key(),
            by_name: HashMap::new(),
            tasks: SlotMap::with_key(),
            by_attempt: HashMap::new(),
            tombstones: VecDeque::new(),
            buried: HashMap::new(),
            expired: HashSet::new(),
            reports: Vec::new(),
        }
    }

    /// Gives the hosts listed from now on guards of another temper.
    pub fn set_interference_settings(&mut self, temper: InterferenceSettings) {
        self.temper = temper;
    }

    /// Counts the calls that were made in this term.
    pub fn calls(&self) -> u64 {
        self.calls
    }

    /// Goes on counting calls where a former process of the same term left off, so
    /// that tokens keep growing.
    pub fn set_calls(&mut self, calls: u64) {
        self.calls = calls;
    }

    /// Gives the term under which the owner acts.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Lists or updates a host. `barred` names jobs that rules keep off it.
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
                    barred: Vec::new(),
                    contact: Contact::Unlisted,
                    is_leaving: false,
                    is_listed: true,
                    // A former owner may have renewed the lease until just now.
                    last_report: 0,
                    renewed_ms: now_ms,
                    call: None,
                    next_call_ms: 0,
                    is_dirty: false,
                    failures: 0,
                    set_aside_until_ms: 0,
                    guard: InterferenceControl::new(self.temper),
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
        host.barred = listed.barred;
        if !listed.address.is_empty() {
            host.address = listed.address;
        }
        if host.is_leaving {
            self.evict_all(key);
        }
    }

    /// Notes that a host is no longer in the inventory; its tasks are evicted.
    pub fn remove_host(&mut self, name: &str) {
        if let Some(key) = self.by_name.get(name).copied() {
            self.hosts[key].is_listed = false;
            self.evict_all(key);
        }
    }

    /// Names the hosts that the inventory lists.
    pub fn host_names(&self) -> Vec<Box<str>> {
        let listed = self.hosts.values().filter(|host| host.is_listed);
        listed.map(|host| host.name.clone()).collect()
    }

    /// Takes the reports for homes that have come up since, and those whose end
    /// was not acknowledged for `patience_ms`.
    pub fn drain_updates(&mut self, now_ms: u64, patience_ms: u64) -> Vec<TaskUpdate> {
        let mut reports = std::mem::take(&mut self.reports);
        for task in self.tasks.values_mut() {
            let TaskState::Ended { end, told_ms } = &mut task.state else {
                continue;
            };
            if now_ms < *told_ms + patience_ms {
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

    /// Gives the room left on hosts that take work.
    pub fn free_resources(&self) -> Resources {
        let mut sum = Resources::default();
        for host in self.hosts.values() {
            if host.contact != Contact::Listed || host.is_leaving || !host.is_listed {
                continue;
            }
            sum = sum.plus(self.room(host));
        }
        sum
    }

    /// Counts the tasks that hold room.
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Tells whether no task holds room.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Names the host of an attempt and where the task stands.
    pub fn find(&self, id: &str) -> Option<(Box<str>, TaskState)> {
        let task = self
            .tasks
            .values()
            .find(|task| &*task.order.attempt.id == id)?;
        Some((self.hosts[task.host].name.clone(), task.state))
    }

    /// Describes one host in a line, for operators.
    pub fn describe(&self, now_ms: u64, name: &str) -> Option<String> {
        let host = &self.hosts[*self.by_name.get(name)?];
        let standing = match host.contact {
            Contact::Unlisted => "has not answered yet",
            Contact::Lost => "is silent and its lease has lapsed",
            Contact::Listed if host.is_leaving => "is leaving",
            Contact::Listed if now_ms < host.set_aside_until_ms => {
                "is set aside because what it starts fails"
            }
            Contact::Listed => "answers",
        };
        let room = self.room(host);
        Some(format!(
            "host {name} {standing}; {} tasks; free: {} millicores, {} MB, {} accelerators; batch share {} permille",
            host.tasks.len(),
            room.millicores,
            room.memory_mb,
            room.accelerators,
            host.guard.batch_permille()
        ))
    }
}

/// Gives an amount of processors in cores.
fn cores_of(need: Resources) -> f64 {
    const PER_CORE: f64 = 1_000.0;
    f64::from(need.millicores) / PER_CORE
}
