//! A simulated fleet of entry hosts, a store and workers in virtual time. The scheduling code is
//! the real one; everything around it is a small stand-in.

mod actions;
mod callers;
mod connections;
mod deliveries;
mod draining;
mod evacuations;
mod fixtures;
mod idle_room;
mod link;
mod promises;
mod reads;
mod rules;
mod store;
mod worker;
mod worker_faults;

use crate::fleet::connections::Peers;
use crate::fleet::connections::relay_address;
pub(crate) use crate::fleet::draining::DRAIN_MS;
use crate::fleet::draining::Draining;
pub(crate) use crate::fleet::evacuations::EVACUATED_MS;
use crate::fleet::evacuations::Evacuations;
pub(crate) use crate::fleet::fixtures::WORKER_RESOURCES;
pub(crate) use crate::fleet::fixtures::decode_config;
pub(crate) use crate::fleet::fixtures::decode_evacuation;
pub(crate) use crate::fleet::fixtures::decode_worker;
pub(crate) use crate::fleet::fixtures::job;
pub(crate) use crate::fleet::fixtures::step;
pub(crate) use crate::fleet::link::Link;
pub(crate) use crate::fleet::promises::Promises;
use crate::fleet::reads::Loader;
use crate::fleet::reads::Reader;
pub(crate) use crate::fleet::rules::RulesWatch;
pub(crate) use crate::fleet::store::Limits;
pub(crate) use crate::fleet::store::Mode;
pub(crate) use crate::fleet::store::Store;
pub(crate) use crate::fleet::worker::Behaviour;
use crate::fleet::worker::MAX_LEASE_MS;
pub(crate) use crate::fleet::worker::Worker;
use crate::fleet::worker_faults::WorkerFaults;
use goldcrestway_core::Code;
use goldcrestway_dispatch::Bounds;
use goldcrestway_dispatch::Decoders;
use goldcrestway_dispatch::Entry;
use goldcrestway_dispatch::Event;
use goldcrestway_dispatch::ExitReason;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::JobTimes;
use goldcrestway_dispatch::Now;
use goldcrestway_dispatch::OwnerStats;
use goldcrestway_dispatch::Reply;
use goldcrestway_dispatch::Stream;
use goldcrestway_dispatch::TaskId;
use goldcrestway_dispatch::WorkerCall;
use goldcrestway_dispatch::policy::Policy;
use std::collections::BTreeMap;

/// Step of virtual time.
const STEP_MS: u64 = 5;
/// Round-trip time of a call.
const CALL_MS: u64 = 5;
/// Time that a request for permits takes, and the validity of permits.
const PERMIT_CALL_MS: u64 = 40;
const PERMIT_MS: u64 = 1_000;
/// Rate of a link that is never a bottleneck.
const WIDE_MBIT_PER_S: u64 = 1_000;
const WALL_MS: u64 = 1_700_000_000_000;

/// A message in flight.
enum Delivery {
    ToEntry(usize, u64, Event),
    Order(usize, u64, Order),
    /// A poll that waits at an incarnation of a worker for the exit of a run.
    PendingPoll(usize, u64, Order, u64, Option<u64>),
    Read(Reader),
    /// A load of a page that is sent to the store.
    Load(Loader),
    /// An order that gets no answer and is executed late, by the incarnation to which it was sent.
    Late(Order, Option<u64>),
    /// Records that callers have sent and that the store appends late.
    LateAppend(Stream, Records),
}

/// Keys and values of an append.
type Records = Vec<(Box<str>, Box<[u8]>)>;

#[derive(Clone)]
struct Order {
    ticket: u64,
    address: Box<str>,
    worker: Box<str>,
    token: u64,
    call: WorkerCall,
}

impl Order {
    /// Returns a waiting poll without its acknowledgement, which the worker applies only when the
    /// poll arrives.
    fn without_acknowledgement(mut self) -> Self {
        if let WorkerCall::Poll {
            acknowledged_exit, ..
        } = &mut self.call
        {
            *acknowledged_exit = 0;
        }
        self
    }
}

/// An entry host.
struct Host {
    entry: Option<Entry>,
    cpu_permille: u64,
    /// Rate of its link according to its settings.
    mbit_per_s: u64,
    /// Number of its starts and stops, which tells its instances apart.
    generation: u64,
    /// Number of times that it has got another address.
    moves: u64,
    is_paused: bool,
    is_cut_from_store: bool,
    is_cut_from_workers: bool,
    /// Calls to the store that were sent before this time get no answer.
    lost_until_ms: u64,
    queued_events: Vec<Event>,
    /// Time of its last disturbance.
    disturbed_ms: u64,
    /// Calls to the store in flight.
    store_calls: usize,
    /// Its link, unless the link is never a bottleneck.
    link: Option<Link>,
    /// Time by which its time of day is ahead of the true one.
    clock_ahead_ms: i64,
    /// Time by which its steady clock is ahead of that of the fleet.
    steady_ahead_ms: u64,
}

impl Host {
    /// Returns the time in milliseconds until bytes have been sent.
    fn sending_ms(&mut self, now_ms: u64, bytes: u64) -> u64 {
        self.link
            .as_mut()
            .map_or(0, |link| link.send(now_ms, bytes))
    }

    fn receiving_ms(&mut self, now_ms: u64, bytes: u64) -> u64 {
        self.link
            .as_mut()
            .map_or(0, |link| link.receive(now_ms, bytes))
    }
}

/// The simulated fleet.
pub(crate) struct Fleet {
    pub(crate) now_ms: u64,
    hosts: Vec<Host>,
    pub(crate) store: Store,
    /// Workers by address.
    pub(crate) workers: BTreeMap<Box<str>, Worker>,
    pub(crate) promises: Promises,
    evacuations: Evacuations,
    draining: Draining,
    deliveries: Vec<(u64, Delivery)>,
    requests: u64,
    /// Replies by request.
    pub(crate) replies: BTreeMap<u64, Reply>,
    /// Job that a submission is about, by request.
    submission_jobs: BTreeMap<u64, JobId>,
    /// If set, orders to workers are executed after this delay and not answered.
    pub(crate) order_delay_ms: Option<u64>,
    /// Addresses of the workers whose orders are delayed; all if there are none.
    pub(crate) delayed_workers: Vec<Box<str>>,
    /// If set, the store appends what callers send after this delay, and does not answer.
    pub(crate) append_delay_ms: Option<u64>,
    /// Delayed orders are also executed if their worker was restarted under its id meanwhile.
    pub(crate) late_orders_outlive_restarts: bool,
    /// Range of the additional delay of answers of workers in milliseconds, and the seed of the
    /// next one.
    pub(crate) answer_delays: Option<(u64, u64, u64)>,
    /// Additional delay of reports of workers, which are answers to polls.
    pub(crate) report_delay_ms: u64,
    /// Number of calls to workers by each host, and when each last sent one that gives a lease.
    pub(crate) worker_calls: Vec<u64>,
    pub(crate) leases_given_ms: Vec<u64>,
    /// Number of claims of ownership that were appended.
    pub(crate) claims: u32,
    /// The host that has claimed last.
    pub(crate) last_claimant: Option<usize>,
    /// Addresses of workers that no entry host can reach.
    pub(crate) cut_workers: Vec<Box<str>>,
    /// Addresses of workers that carry out orders and whose answers are lost.
    pub(crate) mute_workers: Vec<Box<str>>,
    /// Pairs of a host and the address of a worker between which nothing passes.
    pub(crate) cut_links: Vec<(usize, Box<str>)>,
    /// The same where orders pass, and their answers are lost.
    pub(crate) mute_links: Vec<(usize, Box<str>)>,
    /// Workers that may run steps of queues that require permits, and the number of requests for
    /// permits so far.
    pub(crate) permitted: Vec<Box<str>>,
    pub(crate) permit_calls: u32,
    /// Largest number of calls to the store that one host had in flight, and the number of calls of
    /// all hosts.
    pub(crate) max_store_calls: usize,
    pub(crate) store_calls_made: usize,
    /// Reads that do not wait for new records, by stream.
    pub(crate) short_reads: BTreeMap<Stream, usize>,
    /// Loaded pages, by stream.
    pub(crate) loads: BTreeMap<Stream, usize>,
    worker_faults: WorkerFaults,
    /// Switches of hosts that are started from now on.
    pub(crate) policy: Policy,
    /// Runs that were lost with their worker.
    lost: Vec<(TaskId, u32, ExitReason)>,
    /// Connections between hosts, and the bytes that they have transferred.
    peers: Peers,
    pub(crate) frame_bytes: u64,
    /// File descriptors of hosts that start from now on.
    pub(crate) descriptors: u64,
    /// Longest lease that workers grant.
    max_lease_ms: u64,
    /// Logged events of all hosts, counted by code.
    pub(crate) note_counts: BTreeMap<Code, u32>,
    /// Logged events about the results of jobs and workers, as text.
    pub(crate) log_lines: Vec<String>,
    /// Accounts of the time of jobs that have ended, and when they were given.
    pub(crate) job_times: Vec<(u64, JobTimes)>,
}

impl Fleet {
    /// Starts equal entry hosts and workers, and waits until there is an owner.
    pub(crate) fn new(hosts: usize, workers: usize) -> Self {
        Self::with_shares(&vec![100; hosts], workers)
    }

    /// The same with hosts that have the given thousandths of a core.
    pub(crate) fn with_shares(cpu_permille: &[u64], workers: usize) -> Self {
        Self::build(cpu_permille, workers, None)
    }

    /// The same with hosts that have too little CPU for any worker, so that the owner uses relays.
    pub(crate) fn with_relays(hosts: usize, workers: usize) -> Self {
        Self::build(&vec![1; hosts], workers, None)
    }

    /// The same with equal hosts on links of the given rate.
    pub(crate) fn with_links(hosts: usize, workers: usize, mbit_per_s: u64) -> Self {
        Self::build(&vec![100; hosts], workers, Some(mbit_per_s))
    }

    fn build(cpu_permille: &[u64], workers: usize, mbit_per_s: Option<u64>) -> Self {
        let mut fleet = Self {
            now_ms: 0,
            hosts: Vec::new(),
            store: Store::new(),
            workers: BTreeMap::new(),
            promises: Promises::default(),
            evacuations: Evacuations::default(),
            draining: Draining::default(),
            deliveries: Vec::new(),
            requests: 0,
            replies: BTreeMap::new(),
            submission_jobs: BTreeMap::new(),
            order_delay_ms: None,
            delayed_workers: Vec::new(),
            append_delay_ms: None,
            late_orders_outlive_restarts: false,
            answer_delays: None,
            report_delay_ms: 0,
            worker_calls: vec![0; cpu_permille.len()],
            leases_given_ms: vec![0; cpu_permille.len()],
            claims: 0,
            last_claimant: None,
            cut_workers: Vec::new(),
            mute_workers: Vec::new(),
            cut_links: Vec::new(),
            mute_links: Vec::new(),
            permitted: Vec::new(),
            permit_calls: 0,
            max_store_calls: 0,
            store_calls_made: 0,
            short_reads: BTreeMap::new(),
            loads: BTreeMap::new(),
            worker_faults: WorkerFaults::default(),
            policy: Policy::default(),
            lost: Vec::new(),
            peers: Peers::default(),
            frame_bytes: 0,
            descriptors: Bounds::default().descriptors,
            max_lease_ms: MAX_LEASE_MS,
            note_counts: BTreeMap::new(),
            log_lines: Vec::new(),
            job_times: Vec::new(),
        };
        fleet.store.put(Stream::Rules, "config", &[1]);
        for number in 0..workers {
            let address = format!("10.0.0.{number}:80");
            fleet.add_worker(&address, &format!("w{number}-1"));
        }
        for (number, cpu_permille) in cpu_permille.iter().enumerate() {
            fleet.hosts.push(Host {
                entry: None,
                cpu_permille: *cpu_permille,
                mbit_per_s: mbit_per_s.unwrap_or(WIDE_MBIT_PER_S),
                generation: 0,
                moves: 0,
                is_paused: false,
                is_cut_from_store: false,
                is_cut_from_workers: false,
                lost_until_ms: 0,
                queued_events: Vec::new(),
                disturbed_ms: 0,
                store_calls: 0,
                link: mbit_per_s.map(Link::new),
                clock_ahead_ms: 0,
                steady_ahead_ms: 0,
            });
            fleet.start(number);
        }
        fleet.run(4_500);
        fleet
    }

    /// Limits the size of records in the store, and restarts all hosts with this limit.
    pub(crate) fn limit_records(&mut self, max_bytes: usize) {
        self.store.max_record_bytes = max_bytes;
        for number in 0..self.hosts.len() {
            self.kill(number);
            self.start(number);
        }
        self.run(5_000);
    }

    /// Sets the longest lease that workers grant, and restarts all hosts with this limit.
    pub(crate) fn set_max_lease_ms(&mut self, max_lease_ms: u64) {
        self.max_lease_ms = max_lease_ms;
        for worker in self.workers.values_mut() {
            worker.max_lease_ms = max_lease_ms;
        }
        for number in 0..self.hosts.len() {
            self.kill(number);
            self.start(number);
        }
        self.run(5_000);
    }

    /// Returns the true time of day.
    pub(crate) fn wall_ms(&self) -> u64 {
        WALL_MS + self.now_ms
    }

    /// Starts an incarnation of a worker at an address. A previous one there crashes.
    pub(crate) fn add_worker(&mut self, address: &str, id: &str) {
        let mut worker = Worker::new(id, WORKER_RESOURCES);
        worker.started_wall_ms = self.wall_ms();
        worker.max_lease_ms = self.max_lease_ms;
        let previous = self.workers.insert(address.into(), worker);
        self.report(address);
        if let Some(mut previous) = previous {
            for task in previous.tasks() {
                self.promises.record_crash(task, true);
            }
            previous.die();
            self.lost.append(&mut previous.drain_recent_exits());
        }
    }

    /// Returns the address of a worker; empty if there is none with this id.
    pub(crate) fn address_of(&self, id: &str) -> Box<str> {
        let mut workers = self.workers.iter();
        let found = workers.find(|(_, worker)| *worker.id == *id);
        found.map_or("".into(), |(address, _)| address.clone())
    }

    pub(crate) fn start(&mut self, number: usize) {
        self.reset_connections(number);
        let host = &mut self.hosts[number];
        host.generation += 1;
        host.store_calls = 0;
        host.is_paused = false;
        host.queued_events.clear();
        let decoders = Decoders {
            config: decode_config,
            evacuation: decode_evacuation,
            worker: decode_worker,
        };
        let salt = host.generation * 1_000 + number as u64;
        host.entry = Some(Entry::new(
            &format!("entry-{number}"),
            Bounds {
                cpu_permille: host.cpu_permille,
                link_bytes_per_s: host.mbit_per_s * 125_000,
                relay_address: relay_address(number, host.moves),
                descriptors: self.descriptors,
                max_lease_ms: self.max_lease_ms,
                max_record_bytes: self.store.max_record_bytes as u64,
                policy: self.policy,
                ..Bounds::default()
            },
            decoders,
            salt,
        ));
    }

    pub(crate) fn kill(&mut self, number: usize) {
        self.reset_connections(number);
        self.hosts[number].entry = None;
        self.hosts[number].generation += 1;
    }

    /// Ends a host that closes none of its connections, and starts it at another address.
    pub(crate) fn replace(&mut self, number: usize) {
        self.silence_connections(number);
        self.kill(number);
        self.hosts[number].moves += 1;
        self.start(number);
    }

    pub(crate) fn pause(&mut self, number: usize) {
        self.hosts[number].is_paused = true;
    }

    pub(crate) fn resume(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        host.is_paused = false;
        let generation = host.generation;
        for event in std::mem::take(&mut host.queued_events) {
            self.deliveries
                .push((self.now_ms, Delivery::ToEntry(number, generation, event)));
        }
    }

    /// Resumes a host that handles all that has arrived meanwhile in one turn.
    pub(crate) fn resume_at_once(&mut self, number: usize) {
        self.hosts[number].is_paused = false;
        let events = std::mem::take(&mut self.hosts[number].queued_events);
        let now = self.now(number);
        let Some(entry) = &mut self.hosts[number].entry else {
            return;
        };
        for action in entry.handle_all(now, events) {
            self.perform(number, action);
        }
    }

    pub(crate) fn cut_from_store(&mut self, number: usize, is_cut: bool) {
        self.hosts[number].is_cut_from_store = is_cut;
    }

    /// Cuts a host off from all workers, or reconnects it.
    pub(crate) fn cut_from_workers(&mut self, number: usize, is_cut: bool) {
        self.hosts[number].is_cut_from_workers = is_cut;
    }

    /// Starts a planned shutdown of a host.
    pub(crate) fn stop(&mut self, number: usize) {
        self.handle(number, Event::Stop);
    }

    /// Returns the host that acts as owner of the progress of jobs, if any.
    pub(crate) fn owner(&self) -> Option<usize> {
        self.hosts
            .iter()
            .position(|host| !host.is_paused && host.entry.as_ref().is_some_and(Entry::is_owner))
    }

    /// Returns whether a host acts as owner.
    pub(crate) fn is_owner(&self, number: usize) -> bool {
        let host = &self.hosts[number];
        !host.is_paused && host.entry.as_ref().is_some_and(Entry::is_owner)
    }

    /// Returns how many hosts act as owner.
    pub(crate) fn owners(&self) -> usize {
        let owners = self
            .hosts
            .iter()
            .filter(|host| host.entry.as_ref().is_some_and(Entry::is_owner));
        owners.count()
    }

    /// Returns the owner statistics of a host.
    pub(crate) fn stats(&self, number: usize) -> OwnerStats {
        let entry = self.hosts[number].entry.as_ref();
        entry.map_or(OwnerStats::default(), Entry::stats)
    }

    pub(crate) fn is_ready(&self, number: usize) -> bool {
        self.hosts[number]
            .entry
            .as_ref()
            .is_some_and(Entry::is_ready)
    }

    /// Returns at how many workers a task runs.
    pub(crate) fn running(&self, task: TaskId) -> usize {
        self.workers
            .values()
            .filter(|worker| worker.runs(task))
            .count()
    }

    /// Returns the running tasks of jobs whose state is reported as cancelled.
    pub(crate) fn list_cancelled_runs(&mut self) -> Vec<String> {
        let mut list = Vec::new();
        for (_, task, _) in self.promises.starts.clone() {
            let is_cancelled = self.promises.cancelled.contains(&task.job);
            if !is_cancelled || self.running(task) == 0 {
                continue;
            }
            if self.state(0, task.job.0) == Some(JobState::Cancelled) {
                list.push(format!("{task} runs, and its job is cancelled"));
            }
        }
        list
    }

    /// Advances virtual time.
    pub(crate) fn run(&mut self, ms: u64) {
        let until_ms = self.now_ms + ms;
        while self.now_ms < until_ms {
            self.now_ms += STEP_MS;
            self.promises.now_ms = self.now_ms;
            for worker in self.workers.values_mut() {
                worker.advance(self.now_ms, STEP_MS, &mut self.promises);
            }
            self.record_disturbances();
            self.apply_worker_faults();
            self.deliver();
            self.break_gangs();
            for number in 0..self.hosts.len() {
                if !self.hosts[number].is_paused {
                    self.handle(number, Event::Tick);
                }
            }
            self.check();
        }
    }

    /// Ends all members of a gang when one of them ends.
    fn break_gangs(&mut self) {
        let mut exits = Vec::new();
        for worker in self.workers.values_mut() {
            exits.extend(worker.drain_recent_exits());
        }
        exits.append(&mut self.lost);
        for (task, run, exit_reason) in exits {
            let job = self.promises.submitted.get(&task.job);
            let is_gang = job.is_some_and(|job| job.steps[usize::from(task.step)].is_gang);
            if !is_gang {
                continue;
            }
            if exit_reason == ExitReason::Done {
                self.promises.record_gang_completed(task);
            }
            for worker in self.workers.values_mut() {
                worker.end_gang_members(task, run, exit_reason);
            }
        }
    }

    fn check(&mut self) {
        let mut places: BTreeMap<TaskId, usize> = BTreeMap::new();
        for worker in self.workers.values() {
            for task in worker.tasks() {
                *places.entry(task).or_default() += 1;
            }
        }
        for (task, count) in places {
            let job = self.promises.submitted.get(&task.job);
            let is_speculative =
                job.is_some_and(|job| job.steps[usize::from(task.step)].is_speculative);
            if count > 1 && !is_speculative {
                self.promises
                    .broken
                    .push(format!("{task} runs in two places"));
            }
        }
    }

    /// Sets by how much the time of day of a host is ahead of the true one.
    pub(crate) fn set_clock(&mut self, number: usize, ahead_ms: i64) {
        self.hosts[number].clock_ahead_ms = ahead_ms;
    }

    /// Returns by how much the time of day of a host is ahead of the true one.
    pub(crate) fn clock_ahead_ms(&self, number: usize) -> i64 {
        self.hosts[number].clock_ahead_ms
    }

    /// Sets by how much the steady clock of a host that does not run is ahead of that of the fleet.
    pub(crate) fn set_steady_clock(&mut self, number: usize, ahead_ms: u64) {
        self.hosts[number].steady_ahead_ms = ahead_ms;
    }

    /// Returns the time by the clocks of a host.
    fn now(&self, number: usize) -> Now {
        let ahead_ms = self.hosts[number].clock_ahead_ms;
        Now {
            steady_ms: self.now_ms + self.hosts[number].steady_ahead_ms,
            wall_ms: self.wall_ms().saturating_add_signed(ahead_ms),
        }
    }

    fn handle(&mut self, number: usize, event: Event) {
        let now = self.now(number);
        let Some(entry) = &mut self.hosts[number].entry else {
            return;
        };
        for action in entry.handle(now, event) {
            self.perform(number, action);
        }
    }
}
