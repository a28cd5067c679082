//! Several entry hosts in virtual time, with fakes at their edges.

mod edges;
mod promises;

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
pub(crate) use edges::Told;
pub(crate) use edges::Upstream;
pub(crate) use edges::UpstreamMode;

/// What the node of one process wants done, collected by its edge.
type Outbox = Rc<RefCell<Vec<Action>>>;

/// One process at a seat.
struct Process {
    stakker: Stakker,
    actor: ActorOwn<NodeActor>,
    outbox: Outbox,
    inbox: Vec<Event>,
    is_paused: bool,
    is_stopped: bool,
    /// Configuration versions that it had in force, to see that none reverts.
    highest_config: u64,
}

/// The whole of a scenario.
pub(crate) struct World {
    base: Instant,
    pub(crate) now_ms: u64,
    seats: Vec<Seat>,
    limits: Limits,
    processes: BTreeMap<Seat, Process>,
    lives: u64,
    pub(crate) edges: Edges,
    /// Links that are cut, as ordered pairs of seats.
    pub(crate) cuts: BTreeSet<(Seat, Seat)>,
    /// Promises that were seen broken while running.
    pub(crate) broken: Vec<String>,
    pub(crate) deposed: usize,
    pub(crate) messages: u64,
}

impl World {
    /// Makes `seats` entry hosts that are not started yet.
    pub(crate) fn new(seats: u16, limits: Limits, seed: u64) -> Self {
        Self {
            base: Instant::now(),
            now_ms: 0,
            seats: (0..seats).map(Seat).collect(),
            limits,
            processes: BTreeMap::new(),
            lives: 0,
            edges: Edges::new(seed),
            cuts: BTreeSet::new(),
            broken: Vec::new(),
            deposed: 0,
            messages: 0,
        }
    }

    /// Starts a process at a seat, in place of one that was killed.
    pub(crate) fn start(&mut self, seat: Seat) {
        const LIFE: u64 = 1_000_000;
        self.lives += 1;
        self.start_as(seat, self.lives * LIFE);
    }

    /// Starts a process whose wall clock gives it a certain incarnation.
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

    /// Ends the process at a seat as a crash would.
    pub(crate) fn kill(&mut self, seat: Seat) {
        self.processes.remove(&seat);
        self.edges.forget_process(seat);
    }

    /// Tells whether a process runs at the seat.
    pub(crate) fn runs(&self, seat: Seat) -> bool {
        self.processes
            .get(&seat)
            .is_some_and(|process| !process.is_stopped)
    }

    /// Pauses or resumes the process at a seat; what arrives meanwhile waits.
    pub(crate) fn pause(&mut self, seat: Seat, is_paused: bool) {
        if let Some(process) = self.processes.get_mut(&seat) {
            process.is_paused = is_paused;
        }
    }

    /// Hands an event to the process at a seat.
    pub(crate) fn give(&mut self, seat: Seat, event: Event) {
        if let Some(process) = self.processes.get_mut(&seat) {
            process.inbox.push(event);
        }
    }

    /// Tells all processes what the platform lists.
    pub(crate) fn list_hosts(&mut self) {
        for seat in self.seats.clone() {
            let hosts = self.edges.hosts();
            self.give(seat, Event::Hosts(hosts));
        }
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, duration_ms: u64) {
        let end_ms = self.now_ms + duration_ms;
        while self.now_ms < end_ms {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now_ms += TICK.as_millis() as u64;
        for (seat, event) in self.edges.due(self.now_ms) {
            self.give(seat, event);
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
            self.watch();
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
                    if !self.cuts.contains(&(seat, to)) && self.runs(to) {
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

    /// Looks at the node at a seat.
    pub(crate) fn look<T: 'static>(
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
        // The same time as at the last step, so that a paused process stays paused.
        let now = process.stakker.now();
        process.stakker.run(now, false);
        let outbox = std::mem::take(&mut *process.outbox.borrow_mut());
        if !process.is_paused {
            self.perform(seat, outbox);
        }
        seen.take()
    }

    fn member(&mut self, seat: Seat) -> Member {
        self.look(seat, |node| node.me()).unwrap_or(Member {
            seat,
            incarnation: 0,
        })
    }
}
