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

use crate::guard::Guard;
use crate::guard::Load;
use crate::guard::TEMPER;
use crate::guard::Temper;
use crate::ids::Term;
use crate::ids::hash;
use crate::macros::plain;
use goldcrestway_inventory::Resources;
use slotmap::SlotMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

slotmap::new_key_type! {
    /// Key of a host within its cell.
    pub struct HostKey;
    /// Key of a task within its cell.
    pub struct TaskKey;
}

plain! {
    /// Names one attempt of a job.
    #[derive(Hash)]
    pub struct AttemptId {
        /// Identity of the job.
        pub id: Box<str>,
        /// Number of the attempt.
        pub attempt: u32,
    }

    /// What a worker must know to run a task.
    pub struct TaskOrder {
        /// The attempt.
        pub attempt: AttemptId,
        /// Kind of job, from the inventory.
        pub job: Box<str>,
        /// What it may use.
        pub need: Resources,
        /// Where it resumes; 0 for the beginning.
        pub checkpoint: u64,
    }

    /// One call to a worker.
    pub struct WorkerCall {
        /// Fencing token; the worker refuses any lower than it has seen.
        pub token: u64,
        /// Number of the latest listing that the owner has received, 0 for none.
        /// The worker's lease runs `lease_ms` from when it gave that listing. A
        /// call that names a listing whose lease has lapsed changes nothing.
        pub answers: u64,
        /// How long the worker runs its tasks on after the listing named above.
        pub lease_ms: u64,
        /// Tasks to start unless it has them already.
        pub start: Box<[TaskOrder]>,
        /// Tasks to checkpoint and stop.
        pub stop: Box<[AttemptId]>,
        /// Ended tasks to forget.
        pub forget: Box<[AttemptId]>,
        /// Share of their processors that batch tasks may use, in thousandths.
        pub batch_permille: u32,
    }

    /// One task as a worker lists it.
    pub struct ListedTask {
        /// What it was told to run.
        pub order: TaskOrder,
        /// Where it stands.
        pub state: ListedState,
    }

    /// What a worker answers.
    pub struct Listing {
        /// Number of this listing; it only grows.
        pub number: u64,
        /// All tasks it has, those that ended and were not forgotten included.
        pub tasks: Box<[ListedTask]>,
        /// Worst latency of a service's instance on it, as a multiple of its
        /// usual one in thousandths; late, and 0 if not measured.
        pub service_slowdown_permille: u32,
    }
}

/// Where a task stands by its worker's account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// It runs.
    Running,
    /// It finished.
    Finished,
    /// It failed by itself.
    Failed,
    /// It was stopped and can resume at the checkpoint.
    Stopped {
        /// Progress that is kept.
        checkpoint: u64,
    },
    /// It was never started, because the worker has no room for it.
    Refused,
}

/// Where a task stands by the owner's account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// Room is held until the given time.
    Reserved {
        /// End of the reservation.
        until_ms: u64,
    },
    /// The worker is told to start it.
    Starting,
    /// The worker lists it as running.
    Running,
    /// The worker is told to stop it.
    Stopping,
    /// It has ended; its home is told until it acknowledges.
    Ended {
        /// How.
        end: TaskEnd,
        /// When its home was told last.
        told_ms: u64,
    },
    /// Its home has acknowledged the end; the worker is told to forget it.
    Forgetting,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEnd {
    /// The job finished.
    Finished,
    /// The job failed by itself.
    Failed,
    /// It was stopped; the job resumes at the checkpoint.
    Evicted {
        /// Progress that is kept.
        checkpoint: u64,
    },
    /// The worker refused it for want of room; it did not run.
    NotStarted,
    /// Its worker died or forgot it; it no longer runs, but may have finished.
    Lost,
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
    listing: u64,
    renewed_ms: u64,
    call: Option<Pending>,
    next_call_ms: u64,
    is_dirty: bool,
    failures: u32,
    set_aside_until_ms: u64,
    guard: Guard,
    promise: Option<Promise>,
}

/// Room that is being made for an urgent attempt and that no other may take.
#[derive(Debug, Clone)]
struct Promise {
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

/// What a request for room is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// Room is held.
    Held,
    /// There is none; for urgent work some is being made.
    NoRoom,
}

/// How an order to start is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Manner {
    /// It overtakes other work.
    pub is_urgent: bool,
    /// It may have been given before, to a former owner of the cell.
    pub is_repeat: bool,
}

/// What an order to start is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker is being told.
    Starting,
    /// It runs.
    Running,
    /// It has ended in this way.
    Ended(TaskEnd),
    /// Not all workers of the cell are known yet; ask again.
    Wait,
}

/// What happened to a task, for its home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended, or `None` if it started to run.
    pub end: Option<TaskEnd>,
}

/// Times and bounds of a cell of workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pace {
    /// How long a worker runs on without a call.
    pub lease_ms: u64,
    /// Time between two calls.
    pub poll_ms: u64,
    /// How long room stays reserved.
    pub reserve_ms: u64,
    /// Difference in clock rates, in thousandths.
    pub skew_permille: u64,
}

/// The workers of one rack.
#[derive(Debug, Clone)]
pub struct WorkerCell {
    term: Term,
    pace: Pace,
    temper: Temper,
    calls: u64,
    hosts: SlotMap<HostKey, Host>,
    by_name: HashMap<Box<str>, HostKey>,
    tasks: SlotMap<TaskKey, Task>,
    by_attempt: HashMap<AttemptId, TaskKey>,
    tombstones: VecDeque<(u64, AttemptId)>,
    buried: HashMap<AttemptId, TaskEnd>,
    /// Attempts whose reservation ran out, and whose homes were not told.
    expired: HashSet<AttemptId>,
    reports: Vec<Report>,
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
    pub fn new(term: Term, pace: Pace) -> Self {
        Self {
            term,
            pace,
            temper: TEMPER,
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
    pub fn set_temper(&mut self, temper: Temper) {
        self.temper = temper;
    }

    /// Gives the term under which the owner acts.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Lists or updates a host. `barred` names jobs that rules keep off it.
    pub fn list(&mut self, now_ms: u64, listed: ListedHost) {
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
                    listing: 0,
                    renewed_ms: now_ms,
                    call: None,
                    next_call_ms: 0,
                    is_dirty: false,
                    failures: 0,
                    set_aside_until_ms: 0,
                    guard: Guard::new(self.temper),
                    promise: None,
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
    pub fn unlist(&mut self, name: &str) {
        if let Some(key) = self.by_name.get(name).copied() {
            self.hosts[key].is_listed = false;
            self.evict_all(key);
        }
    }

    /// Names the hosts that the inventory lists.
    pub fn names(&self) -> Vec<Box<str>> {
        let listed = self.hosts.values().filter(|host| host.is_listed);
        listed.map(|host| host.name.clone()).collect()
    }

    fn evict_all(&mut self, key: HostKey) {
        for task in self.hosts[key].tasks.clone() {
            self.evict(task);
        }
    }

    /// Has a running task checkpointed and stopped.
    fn evict(&mut self, key: TaskKey) {
        let task = &mut self.tasks[key];
        if !matches!(task.state, TaskState::Running | TaskState::Starting) {
            return;
        }
        task.state = TaskState::Stopping;
        self.hosts[task.host].is_dirty = true;
    }

    /// Asks for room for an attempt.
    pub fn reserve(&mut self, now_ms: u64, order: TaskOrder, is_urgent: bool) -> Reservation {
        if let Some(key) = self.by_attempt.get(&order.attempt) {
            let held = matches!(self.tasks[*key].state, TaskState::Reserved { .. });
            return if held {
                Reservation::Held
            } else {
                Reservation::NoRoom
            };
        }
        let Some(host) = self.choose(now_ms, &order, is_urgent) else {
            if is_urgent {
                self.make_room(now_ms, &order);
            }
            return Reservation::NoRoom;
        };
        let until_ms = now_ms + self.pace.reserve_ms;
        self.book(
            now_ms,
            host,
            order,
            is_urgent,
            TaskState::Reserved { until_ms },
        );
        Reservation::Held
    }

    fn book(
        &mut self,
        now_ms: u64,
        host: HostKey,
        order: TaskOrder,
        is_urgent: bool,
        state: TaskState,
    ) -> TaskKey {
        let attempt = order.attempt.clone();
        let entry = &mut self.hosts[host];
        entry.booked = entry.booked.plus(order.need);
        let key = self.tasks.insert(Task {
            order,
            host,
            is_urgent,
            state,
            since_ms: now_ms,
        });
        self.hosts[host].tasks.push(key);
        self.by_attempt.insert(attempt, key);
        key
    }

    /// Picks the host whose remaining room fits the order most tightly, so that
    /// large jobs still find room elsewhere.
    fn choose(&self, now_ms: u64, order: &TaskOrder, is_urgent: bool) -> Option<HostKey> {
        let kind = hash(&order.job);
        let cores = cores_of(order.need);
        let mut best: Option<(u64, HostKey)> = None;
        for (key, host) in &self.hosts {
            let room = self.room_for(now_ms, host, &order.attempt);
            if !self.is_open(now_ms, host, &order.job) || !order.need.fits(room) {
                continue;
            }
            if !is_urgent && !host.guard.accepts(kind, cores) {
                continue;
            }
            let left = room.minus(order.need);
            let score = u64::from(left.millicores)
                + u64::from(left.memory_mb) / 4
                + u64::from(left.accelerators) * 100_000;
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, key));
            }
        }
        best.map(|(_, key)| key)
    }

    fn is_open(&self, now_ms: u64, host: &Host, job: &str) -> bool {
        let is_probing = host.failures >= FAILURES_BORNE && !host.tasks.is_empty();
        host.contact == Contact::Listed
            && host.is_listed
            && !host.is_leaving
            && !is_probing
            && now_ms >= host.set_aside_until_ms
            && !host.barred.iter().any(|barred| &**barred == job)
    }

    fn room(&self, host: &Host) -> Resources {
        host.total.minus(host.reserved).minus(host.booked)
    }

    /// Gives the room that `attempt` may take, without what others were promised.
    fn room_for(&self, now_ms: u64, host: &Host, attempt: &AttemptId) -> Resources {
        let room = self.room(host);
        match &host.promise {
            Some(promise) if now_ms < promise.until_ms && promise.attempt != *attempt => {
                room.minus(promise.need)
            }
            _ => room,
        }
    }

    /// Evicts the fewest batch tasks of one host that make room for urgent work,
    /// and promises it the room. A job that asks again keeps the same host.
    fn make_room(&mut self, now_ms: u64, order: &TaskOrder) {
        let mut best: Option<(usize, HostKey, Vec<TaskKey>)> = None;
        for (key, host) in &self.hosts {
            let promise = host
                .promise
                .as_ref()
                .filter(|promise| now_ms < promise.until_ms);
            if promise.is_some_and(|promise| promise.attempt == order.attempt) {
                return;
            }
            if promise.is_some() || !self.is_open(now_ms, host, &order.job) {
                continue;
            }
            let Some(victims) = self.victims(host, order.need) else {
                continue;
            };
            if best
                .as_ref()
                .is_none_or(|(fewest, _, _)| victims.len() < *fewest)
            {
                best = Some((victims.len(), key, victims));
            }
        }
        let Some((_, host, victims)) = best else {
            return;
        };
        self.hosts[host].promise = Some(Promise {
            attempt: order.attempt.clone(),
            need: order.need,
            until_ms: now_ms + self.pace.reserve_ms,
        });
        for victim in victims {
            self.evict(victim);
        }
    }

    /// Lists tasks to evict until `need` fits, the youngest first since they lose
    /// least. Room that is being freed already counts, so that asking again while
    /// tasks stop does not evict more.
    fn victims(&self, host: &Host, need: Resources) -> Option<Vec<TaskKey>> {
        let mut room = self.room(host);
        let mut running = Vec::new();
        for key in &host.tasks {
            let task = &self.tasks[*key];
            match task.state {
                TaskState::Stopping => room = room.plus(task.order.need),
                TaskState::Running if !task.is_urgent => running.push(*key),
                _ => {}
            }
        }
        running.sort_by_key(|key| std::cmp::Reverse(self.tasks[*key].since_ms));
        let mut victims = Vec::new();
        for key in running {
            if need.fits(room) {
                break;
            }
            room = room.plus(self.tasks[key].order.need);
            victims.push(key);
        }
        need.fits(room).then_some(victims)
    }

    /// Orders an attempt to start; safe to repeat.
    ///
    /// What goes wrong without the last check: a former owner of the cell started
    /// the attempt on a host that has since restarted and remembers nothing; a
    /// repeated order would run it again. An attempt that this owner knows nothing
    /// of therefore counts as lost if the order may have been given before. By then
    /// every host was listed or its lease has lapsed, so it no longer runs.
    pub fn start(&mut self, now_ms: u64, order: TaskOrder, manner: Manner) -> StartAnswer {
        let is_first = !manner.is_repeat;
        match self.buried.get(&order.attempt) {
            // Its reservation ran out, since the log was slow. It was never started,
            // nor was its home told so: a first order may still find room.
            Some(TaskEnd::NotStarted) if is_first && self.expired.remove(&order.attempt) => {
                self.buried.remove(&order.attempt);
            }
            Some(end) => {
                let end = *end;
                self.expired.remove(&order.attempt);
                return StartAnswer::Ended(end);
            }
            None => {}
        }
        if let Some(key) = self.by_attempt.get(&order.attempt).copied() {
            return self.start_known(key, order);
        }
        let is_unlisted = |host: &Host| host.contact == Contact::Unlisted;
        if manner.is_repeat {
            return match self.hosts.values().any(is_unlisted) {
                true => StartAnswer::Wait,
                false => StartAnswer::Ended(TaskEnd::Lost),
            };
        }
        match self.reserve(now_ms, order.clone(), manner.is_urgent) {
            Reservation::Held => {
                let key = self.by_attempt[&order.attempt];
                self.start_known(key, order)
            }
            Reservation::NoRoom => {
                self.bury(now_ms, order.attempt, TaskEnd::NotStarted);
                StartAnswer::Ended(TaskEnd::NotStarted)
            }
        }
    }

    /// Remembers how an attempt ended, for orders and reports that come late.
    fn bury(&mut self, now_ms: u64, attempt: AttemptId, end: TaskEnd) {
        self.buried.insert(attempt.clone(), end);
        self.tombstones.push_back((now_ms, attempt));
    }

    fn start_known(&mut self, key: TaskKey, order: TaskOrder) -> StartAnswer {
        let task = &mut self.tasks[key];
        match task.state {
            TaskState::Reserved { .. } => {
                task.order = order;
                task.state = TaskState::Starting;
                self.hosts[task.host].is_dirty = true;
                StartAnswer::Starting
            }
            TaskState::Starting => StartAnswer::Starting,
            TaskState::Running | TaskState::Stopping => StartAnswer::Running,
            TaskState::Ended { end, .. } => StartAnswer::Ended(end),
            TaskState::Forgetting => StartAnswer::Wait,
        }
    }

    /// Gives back room that will not be used.
    pub fn release(&mut self, attempt: &AttemptId) {
        let Some(key) = self.by_attempt.get(attempt).copied() else {
            return;
        };
        if matches!(self.tasks[key].state, TaskState::Reserved { .. }) {
            self.remove(key);
        }
    }

    /// Notes that the home has recorded an attempt's end.
    pub fn acknowledge(&mut self, now_ms: u64, attempt: &AttemptId) {
        let Some(key) = self.by_attempt.get(attempt).copied() else {
            return;
        };
        let TaskState::Ended { end, .. } = self.tasks[key].state else {
            return;
        };
        self.bury(now_ms, attempt.clone(), end);
        let host = self.tasks[key].host;
        if self.hosts[host].contact == Contact::Lost {
            self.remove(key);
            return;
        }
        self.tasks[key].state = TaskState::Forgetting;
        self.hosts[host].is_dirty = true;
    }

    fn remove(&mut self, key: TaskKey) {
        let Some(task) = self.tasks.remove(key) else {
            return;
        };
        self.by_attempt.remove(&task.order.attempt);
        let host = &mut self.hosts[task.host];
        host.tasks.retain(|other| *other != key);
        if !matches!(task.state, TaskState::Ended { .. } | TaskState::Forgetting) {
            host.booked = host.booked.minus(task.order.need);
        }
    }

    /// Moves a task to its end and frees its room.
    fn end(&mut self, now_ms: u64, key: TaskKey, end: TaskEnd) {
        let task = &mut self.tasks[key];
        if matches!(task.state, TaskState::Ended { .. } | TaskState::Forgetting) {
            return;
        }
        task.state = TaskState::Ended {
            end,
            told_ms: now_ms,
        };
        let host = &mut self.hosts[task.host];
        host.booked = host.booked.minus(task.order.need);
        match end {
            TaskEnd::Finished => host.failures = 0,
            TaskEnd::Failed => {
                host.failures += 1;
                if host.failures >= FAILURES_BORNE {
                    let doublings = (host.failures - FAILURES_BORNE).min(4);
                    host.set_aside_until_ms = now_ms + (SET_ASIDE_MS << doublings);
                }
            }
            _ => {}
        }
        self.reports.push(Report {
            attempt: task.order.attempt.clone(),
            end: Some(end),
        });
    }

    /// Does what is due; gives the calls to send, by host.
    pub fn tick(&mut self, now_ms: u64) -> Vec<(HostKey, Box<str>, WorkerCall)> {
        self.expire(now_ms);
        let mut calls = Vec::new();
        let due: Vec<HostKey> = self
            .hosts
            .iter()
            .filter(|(_, host)| {
                let is_due = host.is_dirty || now_ms >= host.next_call_ms;
                host.call.is_none() && is_due && !host.address.is_empty()
            })
            .map(|(key, _)| key)
            .collect();
        for key in due {
            let call = self.call(now_ms, key);
            calls.push((key, self.hosts[key].address.clone(), call));
        }
        calls
    }

    fn call(&mut self, now_ms: u64, key: HostKey) -> WorkerCall {
        self.calls += 1;
        let token = (self.term.0 << CALLS_PER_TERM_BITS) + self.calls;
        let host = &mut self.hosts[key];
        let mut pending = Pending {
            token,
            starts: Vec::new(),
            stops: Vec::new(),
            forgets: Vec::new(),
        };
        for task in &host.tasks {
            match self.tasks[*task].state {
                TaskState::Starting => pending.starts.push(*task),
                TaskState::Stopping => pending.stops.push(*task),
                TaskState::Forgetting => pending.forgets.push(*task),
                _ => {}
            }
        }
        let order = |key: &TaskKey| self.tasks[*key].order.clone();
        let attempt = |key: &TaskKey| self.tasks[*key].order.attempt.clone();
        let call = WorkerCall {
            token,
            answers: host.listing,
            lease_ms: self.pace.lease_ms,
            start: pending.starts.iter().map(order).collect(),
            stop: pending.stops.iter().map(attempt).collect(),
            forget: pending.forgets.iter().map(attempt).collect(),
            batch_permille: host.guard.batch_permille(),
        };
        host.is_dirty = false;
        host.next_call_ms = now_ms + self.pace.poll_ms;
        host.call = Some(pending);
        call
    }

    fn expire(&mut self, now_ms: u64) {
        let mut stale = Vec::new();
        for (key, task) in &self.tasks {
            if let TaskState::Reserved { until_ms } = task.state
                && now_ms >= until_ms
            {
                stale.push(key);
            }
        }
        for key in stale {
            let attempt = self.tasks[key].order.attempt.clone();
            self.expired.insert(attempt.clone());
            self.bury(now_ms, attempt, TaskEnd::NotStarted);
            self.remove(key);
        }
        let silence_ms = self.pace.lease_ms + self.pace.lease_ms * self.pace.skew_permille / 1_000;
        let lost: Vec<HostKey> = self
            .hosts
            .iter()
            .filter(|(_, host)| {
                let is_silent = now_ms >= host.renewed_ms + silence_ms;
                is_silent && host.contact != Contact::Lost
            })
            .map(|(key, _)| key)
            .collect();
        for key in lost {
            self.hosts[key].contact = Contact::Lost;
            for task in self.hosts[key].tasks.clone() {
                self.end(now_ms, task, TaskEnd::Lost);
            }
        }
        while let Some((since_ms, attempt)) = self.tombstones.front().cloned() {
            if now_ms < since_ms + TOMBSTONE_MS {
                break;
            }
            self.tombstones.pop_front();
            self.buried.remove(&attempt);
            self.expired.remove(&attempt);
        }
    }

    /// Notes that a call to a host failed or went unanswered.
    pub fn unanswered(&mut self, now_ms: u64, key: HostKey, token: u64) {
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        if host.call.take_if(|call| call.token == token).is_some() {
            host.next_call_ms = now_ms + self.pace.poll_ms;
        }
    }

    /// Takes in what a worker answered.
    ///
    /// `is_urgent` tells from the name of a job whether it overtakes others.
    pub fn listed(
        &mut self,
        now_ms: u64,
        key: HostKey,
        token: u64,
        listing: &Listing,
        is_urgent: impl Fn(&str) -> bool,
    ) {
        let Some(host) = self.hosts.get_mut(key) else {
            return;
        };
        let Some(pending) = host.call.take_if(|call| call.token == token) else {
            return;
        };
        host.contact = Contact::Listed;
        host.listing = listing.number;
        host.renewed_ms = now_ms;
        let mut seen = Vec::new();
        for listed in &listing.tasks {
            let task = match self.by_attempt.get(&listed.order.attempt) {
                Some(task) => *task,
                None => self.adopt(now_ms, key, listed, is_urgent(&listed.order.job)),
            };
            seen.push(task);
            self.reconcile(now_ms, task, listed.state);
        }
        self.settle_absent(now_ms, key, &pending, &seen);
        self.guard_services(now_ms, key, listing.service_slowdown_permille);
    }

    /// Has the host's guard look at a measurement of its services.
    fn guard_services(&mut self, now_ms: u64, key: HostKey, slowdown_permille: u32) {
        let loads = self.loads(key);
        let host = &mut self.hosts[key];
        if let Some(kind) = host.guard.note(now_ms, slowdown_permille, &loads) {
            self.evict_youngest(key, kind);
        }
    }

    /// Sums the cores that batch tasks of each kind hold on a host.
    fn loads(&self, key: HostKey) -> Vec<Load> {
        let mut loads: Vec<Load> = Vec::new();
        for task in &self.hosts[key].tasks {
            let task = &self.tasks[*task];
            if task.state != TaskState::Running || task.is_urgent {
                continue;
            }
            let kind = hash(&task.order.job);
            let cores = cores_of(task.order.need);
            match loads.iter_mut().find(|load| load.kind == kind) {
                Some(load) => load.cores += cores,
                None => loads.push(Load { kind, cores }),
            }
        }
        loads.sort_by_key(|load| load.kind);
        loads
    }

    /// Takes in a task that a former owner of the cell started.
    fn adopt(
        &mut self,
        now_ms: u64,
        host: HostKey,
        listed: &ListedTask,
        is_urgent: bool,
    ) -> TaskKey {
        let order = listed.order.clone();
        self.book(now_ms, host, order, is_urgent, TaskState::Running)
    }

    fn reconcile(&mut self, now_ms: u64, key: TaskKey, state: ListedState) {
        match state {
            ListedState::Running => {
                if self.tasks[key].state == TaskState::Starting {
                    self.tasks[key].state = TaskState::Running;
                    let attempt = self.tasks[key].order.attempt.clone();
                    self.reports.push(Report { attempt, end: None });
                }
            }
            ListedState::Finished => self.end(now_ms, key, TaskEnd::Finished),
            ListedState::Failed => self.end(now_ms, key, TaskEnd::Failed),
            ListedState::Refused => self.end(now_ms, key, TaskEnd::NotStarted),
            ListedState::Stopped { checkpoint } => {
                self.end(now_ms, key, TaskEnd::Evicted { checkpoint });
            }
        }
    }

    /// Settles tasks that the worker no longer lists. Only those count that were
    /// known to it, or named, when the call was sent; later ones may be absent
    /// because the call did not speak of them.
    fn settle_absent(&mut self, now_ms: u64, host: HostKey, call: &Pending, seen: &[TaskKey]) {
        for key in self.hosts[host].tasks.clone() {
            if seen.contains(&key) {
                continue;
            }
            let was_named = call.starts.contains(&key) || call.stops.contains(&key);
            match self.tasks[key].state {
                TaskState::Forgetting if call.forgets.contains(&key) => self.remove(key),
                TaskState::Running => self.end(now_ms, key, TaskEnd::Lost),
                TaskState::Starting | TaskState::Stopping if was_named => {
                    self.end(now_ms, key, TaskEnd::Lost);
                }
                _ => {}
            }
        }
    }

    /// Evicts the batch task of a kind that started last on a host.
    fn evict_youngest(&mut self, host: HostKey, kind: u64) {
        let running = self.hosts[host].tasks.iter().copied().filter(|key| {
            let task = &self.tasks[*key];
            task.state == TaskState::Running && !task.is_urgent && hash(&task.order.job) == kind
        });
        if let Some(key) = running.max_by_key(|key| self.tasks[*key].since_ms) {
            self.evict(key);
        }
    }

    /// Takes the reports for homes that have come up since, and those whose end
    /// was not acknowledged for `patience_ms`.
    pub fn take_reports(&mut self, now_ms: u64, patience_ms: u64) -> Vec<Report> {
        let mut reports = std::mem::take(&mut self.reports);
        for task in self.tasks.values_mut() {
            let TaskState::Ended { end, told_ms } = &mut task.state else {
                continue;
            };
            if now_ms < *told_ms + patience_ms {
                continue;
            }
            *told_ms = now_ms;
            reports.push(Report {
                attempt: task.order.attempt.clone(),
                end: Some(*end),
            });
        }
        reports
    }

    /// Gives the room left on hosts that take work.
    pub fn free(&self) -> Resources {
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

plain! {
    /// A host as the inventory and the platform's list describe it.
    pub struct ListedHost {
        /// Its name.
        pub name: Box<str>,
        /// Address of its worker; empty while the platform does not list it.
        pub address: Box<str>,
        /// What it holds.
        pub total: Resources,
        /// What services' instances reserve on it.
        pub reserved: Resources,
        /// Jobs that rules keep off it.
        pub barred: Vec<Box<str>>,
        /// Gets no new work, and its tasks move.
        pub is_leaving: bool,
    }
}

/// Gives an amount of processors in cores.
fn cores_of(need: Resources) -> f64 {
    const PER_CORE: f64 = 1_000.0;
    f64::from(need.millicores) / PER_CORE
}
