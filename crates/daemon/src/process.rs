//! One daemon: the thread of the decisions, and the edges around it.

use crate::actor::NodeActor;
use crate::actor::TICK;
use crate::callers::Desk;
use crate::callers::Front;
use crate::callers::Step;
use crate::event_log::Chronicle;
use crate::event_log::wall_ms;
use crate::fault::DaemonFault;
use crate::metrics::Metrics;
use crate::operators::Look;
use crate::operators::Operators;
use crate::peer_connections::Links;
use crate::platform::Platform;
use crate::platform::follow_hosts;
use crate::proxy;
use crate::proxy::Bounds;
use crate::settings::Settings;
use goldcrestway_core::Action;
use goldcrestway_core::Code;
use goldcrestway_core::Event;
use goldcrestway_core::Member;
use goldcrestway_core::Node;
use goldcrestway_core::Note;
use goldcrestway_events::Style;
use goldcrestway_events::start_logging;
use stakker::Stakker;
use stakker::actor;
use stakker::call;
use stakker::ret_nop;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

/// Events that are taken in before timers get their turn.
const EVENTS_PER_TURN: usize = 256;

/// A running daemon. Dropping it ends it at once, as a crash would.
pub struct Daemon {
    events: Sender<Event>,
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// What carries out actions.
struct Edge {
    platform: Platform,
    links: Links,
    desk: Arc<Desk>,
    chronicle: Arc<Chronicle>,
    metrics: Arc<Metrics>,
    is_ready: Arc<AtomicBool>,
    is_over: Arc<AtomicBool>,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// When one of its addresses can't be listened on.
    pub fn start(settings: Settings) -> Result<Self, DaemonFault> {
        let logs = match &*settings.log_style {
            "off" => false,
            "json" => {
                start_logging(Style::Json);
                true
            }
            _ => {
                start_logging(Style::Readable);
                true
            }
        };
        let began = Instant::now();
        let incarnation = wall_ms();
        let (events, inbox) = channel();
        let (looks, looking) = channel();
        let is_over = Arc::new(AtomicBool::new(false));
        let is_ready = Arc::new(AtomicBool::new(false));
        let chronicle = Arc::new(Chronicle::new(
            &settings.own().name,
            settings.events_kept,
            logs,
        ));
        let metrics = Arc::new(Metrics::new());
        const REQUESTS_PER_MS_BITS: u32 = 16;
        let desk = Arc::new(Desk::new(incarnation << REQUESTS_PER_MS_BITS));
        const OPERATORS: usize = 64;
        let callers = proxy::open(
            "listening for callers",
            settings.own().caller_address,
            gate_bounds(settings.caller_connections),
            chronicle.clone(),
            is_over.clone(),
        )?;
        let operators = proxy::open(
            "listening for operators",
            settings.own().operator_address,
            gate_bounds(OPERATORS),
            chronicle.clone(),
            is_over.clone(),
        )?;
        let links = Links::start(
            &settings,
            events.clone(),
            chronicle.clone(),
            is_over.clone(),
        )?;
        let front = Arc::new(Front {
            desk: desk.clone(),
            events: events.clone(),
            metrics: metrics.clone(),
            is_ready: is_ready.clone(),
            is_over: is_over.clone(),
            began,
            request_max_bytes: settings.request_max_bytes,
            caller_timeout_ms: settings.caller_timeout_ms,
        });
        front.serve(callers, settings.caller_threads);
        let serving = Arc::new(Operators {
            desk: desk.clone(),
            events: events.clone(),
            looks,
            chronicle: chronicle.clone(),
            metrics: metrics.clone(),
            is_ready: is_ready.clone(),
            is_over: is_over.clone(),
        });
        serving.serve(operators);
        follow_hosts(&settings, events.clone());
        let edge = Edge {
            platform: Platform::start(&settings, events.clone(), began),
            links,
            desk,
            chronicle,
            metrics,
            is_ready,
            is_over: is_over.clone(),
        };
        let me = Member {
            seat: settings.own().seat,
            incarnation,
        };
        let seats = settings.seats_by_vote();
        let limits = settings.limits;
        edge.note(&Note::new(
            Code::Started,
            me.to_string(),
            &*settings.own().failure_domain,
        ));
        let thread = thread::spawn(move || {
            let node = Node::new(me, &seats, limits, 0);
            decide(node, began, edge, &inbox, &looking);
        });
        Ok(Self {
            events,
            is_over,
            thread: Some(thread),
        })
    }

    /// Begins a planned stop; [`Daemon::wait`] returns when it is complete.
    pub fn stop(&self) {
        let _ = self.events.send(Event::Stop);
    }

    /// Gives a handle with which another thread begins a planned stop.
    pub fn stop_handle(&self) -> impl Fn() + Send + 'static {
        let events = self.events.clone();
        move || {
            let _ = events.send(Event::Stop);
        }
    }

    /// Waits until the daemon has ended.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            // A panic of that thread was printed already.
            let _ = thread.join();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
    }
}

/// Bounds connections so that no caller holds one for ever, yet none is cut while
/// its answer is under way.
fn gate_bounds(connections: usize) -> Bounds {
    const SILENCE: Duration = Duration::from_secs(40);
    const AGE: Duration = Duration::from_secs(900);
    Bounds {
        connections,
        silence: SILENCE,
        age: AGE,
    }
}

/// Runs the decisions until the daemon is over.
fn decide(
    node: Node,
    began: Instant,
    mut edge: Edge,
    inbox: &Receiver<Event>,
    looking: &Receiver<Look>,
) {
    let is_over = edge.is_over.clone();
    let mut stakker = Stakker::new(Instant::now());
    let perform = Box::new(move |_now_ms: u64, node: &mut Node, actions: Vec<Action>| {
        for action in actions {
            edge.perform(node.me(), action);
        }
    });
    let actor = actor!(stakker, NodeActor::init(node, began, perform), ret_nop!());
    while !is_over.load(Ordering::Relaxed) {
        stakker.run(Instant::now(), false);
        let wait = stakker.next_wait_max(Instant::now(), TICK, false);
        if let Ok(event) = inbox.recv_timeout(wait) {
            call!([actor], event(event));
            for event in inbox.try_iter().take(EVENTS_PER_TURN) {
                call!([actor], event(event));
            }
        }
        for look in looking.try_iter() {
            call!([actor], query(look));
        }
    }
}

impl Edge {
    fn note(&self, note: &Note) {
        self.metrics.event(note.code);
        self.chronicle.note(note);
    }

    fn perform(&mut self, me: Member, action: Action) {
        match action {
            Action::Send { to, message } => self.links.send(me, to, message),
            Action::Append { .. } | Action::Read { .. } | Action::CallWorker { .. } => {
                self.platform.perform(action);
            }
            Action::Attempt {
                request,
                address,
                timeout_ms,
                begin_by_ms,
                response_max_bytes,
            } => {
                let step = Step::Attempt {
                    address,
                    timeout_ms,
                    begin_by_ms,
                    response_max_bytes,
                };
                self.desk.pass(request, step);
            }
            Action::Answer { request, answer } => self.desk.pass(request, Step::Answer(answer)),
            Action::Note(note) => self.note(&note),
            Action::Ready(is_ready) => self.is_ready.store(is_ready, Ordering::Relaxed),
            Action::Stopped => {
                // Answers handed to callers' threads a moment ago are written out.
                const LAST_ANSWERS: Duration = Duration::from_millis(300);
                thread::sleep(LAST_ANSWERS);
                self.is_over.store(true, Ordering::Relaxed);
            }
        }
    }
}
