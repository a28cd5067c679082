//! Several entry hosts in virtual time, with fakes for all that they communicate
//! with.

mod edges;
mod guarantees;

use edges::Edges;
use goldcrestway_core::Action;
use goldcrestway_core::Event;
use goldcrestway_core::Limits;
use goldcrestway_core::Member;
use goldcrestway_core::Node;
use goldcrestway_core::Seat;
use goldcrestway_daemon::NodeActor;
use goldcrestway_daemon::TICK;
use stakker::ActorOwn;
use stakker::Stakker;
use stakker::actor;
use stakker::call;
use stakker::ret_nop;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

pub(crate) use edges::LogMode;
pub(crate) use edges::RequestRecord;
pub(crate) use edges::Upstream;
pub(crate) use edges::UpstreamMode;

/// Actions of the node of one process, which the world performs.
type Outbox = Rc<RefCell<Vec<Action>>>;

/// A process at a seat.
struct Process {
    stakker: Stakker,
    actor: ActorOwn<NodeActor>,
    outbox: Outbox,
    inbox: Vec<Event>,
    is_paused: bool,
    is_stopped: bool,
    /// Highest configuration version that it had in force, which shows whether one is
    /// reverted.
    highest_config: u64,
}

/// All hosts and fakes of a scenario.
pub(crate) struct World {
    base: Instant,
    pub(crate) now_ms: u64,
    seats: Vec<Seat>,
    limits: Limits,
    processes: BTreeMap<Seat, Process>,
    incarnations: u64,
    pub(crate) edges: Edges,
    /// Connections that are cut, as ordered pairs of seats.
    pub(crate) cut_links: BTreeSet<(Seat, Seat)>,
    /// Violated guarantees that were seen while running.
    pub(crate) violations: Vec<String>,
    pub(crate) deposed: usize,
    pub(crate) messages: u64,
}

impl World {
    /// Creates `seats` entry hosts that are not started yet.
    pub(crate) fn new(seats: u16, limits: Limits, seed: u64) -> Self {
        Self {
            base: Instant::now(),
            now_ms: 0,
            seats: (0..seats).map(Seat).collect(),
            limits,
            processes: BTreeMap::new(),
            incarnations: 0,
            edges: Edges::new(seed),
            cut_links: BTreeSet::new(),
            violations: Vec::new(),
            deposed: 0,
            messages: 0,
        }
    }

    /// Starts a process at a seat, which replaces one that was killed.
    pub(crate) fn start(&mut self, seat: Seat) {
        const INCARNATION_STEP: u64 = 1_000_000;
        self.incarnations += 1;
        self.start_as(seat, self.incarnations * INCARNATION_STEP);
    }

    /// Starts a process with a given incarnation, as its wall clock would set it.
    pub(crate) fn start_as(&mut self, seat: Seat, incarnation: u64) {
        let me = Member { seat, incarnation };
        let node = Node::new(me, &self.seats, self.limits, self.now_ms);
        let outbox = Outbox::default();
        let filled = outbox.clone();
        let perform = Box::new(
            move |_now_ms: u64, _node: &mut Node, actions: Vec<Action>| {
                filled.borrow_mut().extend(actions);
            },
        );
        let mut stakker = Stakker::new(self.base + Duration::from_millis(self.now_ms));
        let base = self.base;
        let actor = actor!(stakker, NodeActor::init(node, base, perform), ret_nop!());
        let process = Process {
            stakker,
            actor,
            outbox,
            inbox: vec![Event::Hosts(self.edges.hosts())],
            is_paused: false,
            is_stopped: false,
            highest_config: 0,
        };
        self.processes.insert(seat, process);
    }

    /// Ends the process at a seat abruptly, as a crash does.
    pub(crate) fn kill(&mut self, seat: Seat) {
        self.processes.remove(&seat);
        self.edges.forget_process(seat);
    }

    /// Returns whether a process runs at the seat.
    pub(crate) fn runs(&self, seat: Seat) -> bool {
        self.processes
            .get(&seat)
            .is_some_and(|process| !process.is_stopped)
    }

    /// Pauses or resumes the process at a seat; events that arrive while it is paused
    /// are queued.
    pub(crate) fn pause(&mut self, seat: Seat, is_paused: bool) {
        if let Some(process) = self.processes.get_mut(&seat) {
            process.is_paused = is_paused;
        }
    }

    /// Delivers an event to the process at a seat.
    pub(crate) fn deliver(&mut self, seat: Seat, event: Event) {
        if let Some(process) = self.processes.get_mut(&seat) {
            process.inbox.push(event);
        }
    }

    /// Delivers the platform's list of hosts to all processes.
    pub(crate) fn list_hosts(&mut self) {
        for seat in self.seats.clone() {
            let hosts = self.edges.hosts();
            self.deliver(seat, Event::Hosts(hosts));
        }
    }

    /// Runs the scenario for a time.
    pub(crate) fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += TICK.as_millis() as u64;
        for (seat, event) in self.edges.due(self.now_ms) {
            self.deliver(seat, event);
        }
        let now = self.base + Duration::from_millis(self.now_ms);
        for seat in self.seats.clone() {
            let Some(process) = self.processes.get_mut(&seat) else {
                continue;
            };
            if process.is_paused || process.is_stopped {
                continue;
            }
            let actor = &process.actor;
            for event in process.inbox.drain(..) {
                call!([actor], event(event));
            }
            process.stakker.run(now, false);
            let actions = std::mem::take(&mut *process.outbox.borrow_mut());
            self.perform(seat, actions);
        }
        self.edges.advance(self.now_ms);
        if self.now_ms.is_multiple_of(100) {
            self.check_invariants();
        }
    }

    fn perform(&mut self, seat: Seat, actions: Vec<Action>) {
        if actions.is_empty() {
            return;
        }
        let me = self.member(seat);
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    self.messages += 1;
                    if !self.cut_links.contains(&(seat, to)) && self.runs(to) {
                        self.edges.send(self.now_ms, me, to, message);
                    }
                }
                Action::Stopped => {
                    if let Some(process) = self.processes.get_mut(&seat) {
                        process.is_stopped = true;
                    }
                }
                Action::Note(note) => {
                    self.deposed += usize::from(note.code == goldcrestway_core::Code::Deposed);
                }
                other => self.edges.perform(self.now_ms, seat, other),
            }
        }
    }

    /// Calls a function with the node at a seat; returns its result, or `None` if no
    /// process is there.
    pub(crate) fn inspect<T: 'static>(
        &mut self,
        seat: Seat,
        look: impl FnOnce(&mut Node) -> T + 'static,
    ) -> Option<T> {
        let process = self.processes.get_mut(&seat)?;
        let seen: Rc<RefCell<Option<T>>> = Rc::default();
        let slot = seen.clone();
        let look: Box<dyn FnOnce(&mut Node)> = Box::new(move |node| {
            *slot.borrow_mut() = Some(look(node));
        });
        let actor = &process.actor;
        call!([actor], query(look));
        // The time of the last step, which lets no time pass for a paused process.
        let now = process.stakker.now();
        process.stakker.run(now, false);
        let outbox = std::mem::take(&mut *process.outbox.borrow_mut());
        if !process.is_paused {
            self.perform(seat, outbox);
        }
        seen.take()
    }

    fn member(&mut self, seat: Seat) -> Member {
        self.inspect(seat, |node| node.me()).unwrap_or(Member {
            seat,
            incarnation: 0,
        })
    }
}
