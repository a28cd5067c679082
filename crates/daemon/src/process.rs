//! The daemon process: the thread that runs the node, and the threads for input and
//! output around it.

use crate::actor::NodeActor;
use crate::actor::TICK;
use crate::callers::CallerServer;
use crate::callers::Step;
use crate::callers::Waiters;
use crate::event_log::EventLog;
use crate::event_log::wall_ms;
use crate::fault::DaemonFault;
use crate::metrics::Metrics;
use crate::operators::NodeQuery;
use crate::operators::OperatorServer;
use crate::peer_connections::PeerConnections;
use crate::platform::Platform;
use crate::platform::follow_hosts;
use crate::proxy;
use crate::proxy::ConnectionLimits;
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

/// Largest number of further events that are handled before timers are checked again.
const EVENTS_PER_TURN: usize = 256;

/// A running daemon. Dropping it stops it immediately, like a crash.
pub struct Daemon {
    events: Sender<Event>,
    is_stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// Carries out the actions of the node.
struct ActionExecutor {
    platform: Platform,
    peers: PeerConnections,
    waiters: Arc<Waiters>,
    event_log: Arc<EventLog>,
    metrics: Arc<Metrics>,
    is_ready: Arc<AtomicBool>,
    is_stopped: Arc<AtomicBool>,
}

impl Daemon {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// If listening at one of its addresses fails.
    pub fn start(settings: Settings) -> Result<Self, DaemonFault> {
        let is_logging = match &*settings.log_style {
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
        let started_at = Instant::now();
        let incarnation = wall_ms();
        let (events, inbox) = channel();
        let (queries, query_inbox) = channel();
        let is_stopped = Arc::new(AtomicBool::new(false));
        let is_ready = Arc::new(AtomicBool::new(false));
        let event_log = Arc::new(EventLog::new(
            &settings.own().name,
            settings.events_kept,
            is_logging,
        ));
        let metrics = Arc::new(Metrics::new());
        const REQUESTS_PER_MS_BITS: u32 = 16;
        let waiters = Arc::new(Waiters::new(incarnation << REQUESTS_PER_MS_BITS));
        const MAX_OPERATOR_CONNECTIONS: usize = 64;
        let callers = proxy::listen(
            "listening for callers",
            settings.own().caller_address,
            connection_limits(settings.caller_connections),
            event_log.clone(),
            is_stopped.clone(),
        )?;
        let operators = proxy::listen(
            "listening for operators",
            settings.own().operator_address,
            connection_limits(MAX_OPERATOR_CONNECTIONS),
            event_log.clone(),
            is_stopped.clone(),
        )?;
        let peers = PeerConnections::start(
            &settings,
            events.clone(),
            event_log.clone(),
            is_stopped.clone(),
        )?;
        let caller_server = Arc::new(CallerServer {
            waiters: waiters.clone(),
            events: events.clone(),
            metrics: metrics.clone(),
            is_ready: is_ready.clone(),
            is_stopped: is_stopped.clone(),
            started_at,
            request_max_bytes: settings.request_max_bytes,
            caller_timeout_ms: settings.caller_timeout_ms,
        });
        caller_server.serve(callers, settings.caller_threads);
        let operator_server = Arc::new(OperatorServer {
            waiters: waiters.clone(),
            events: events.clone(),
            queries,
            event_log: event_log.clone(),
            metrics: metrics.clone(),
            is_ready: is_ready.clone(),
            is_stopped: is_stopped.clone(),
        });
        operator_server.serve(operators);
        follow_hosts(&settings, events.clone());
        let executor = ActionExecutor {
            platform: Platform::start(&settings, events.clone(), started_at),
            peers,
            waiters,
            event_log,
            metrics,
            is_ready,
            is_stopped: is_stopped.clone(),
        };
        let me = Member {
            seat: settings.own().seat,
            incarnation,
        };
        let seats = settings.seats_by_vote();
        let limits = settings.limits;
        executor.record(&Note::new(
            Code::Started,
            me.to_string(),
            &*settings.own().failure_domain,
        ));
        let thread = thread::spawn(move || {
            let node = Node::new(me, &seats, limits, 0);
            run_node(node, started_at, executor, &inbox, &query_inbox);
        });
        Ok(Self {
            events,
            is_stopped,
            thread: Some(thread),
        })
    }

    /// Begins a planned stop. [`Daemon::wait`] returns when it is complete.
    pub fn stop(&self) {
        let _ = self.events.send(Event::Stop);
    }

    /// Returns a function with which another thread can begin a planned stop.
    pub fn stop_handle(&self) -> impl Fn() + Send + 'static {
        let events = self.events.clone();
        move || {
            let _ = events.send(Event::Stop);
        }
    }

    /// Waits until the daemon has ended.
    pub fn wait(mut self) {
        if let Some(thread) = self.thread.take() {
            // The panic hook has already printed a panic of that thread.
            let _ = thread.join();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }
}

/// Returns limits under which no caller keeps a connection open indefinitely, and none
/// is closed while its answer is pending: the idle timeout exceeds the longest timeout
/// of a request.
fn connection_limits(max_connections: usize) -> ConnectionLimits {
    const IDLE_TIMEOUT: Duration = Duration::from_secs(40);
    const MAX_AGE: Duration = Duration::from_secs(900);
    ConnectionLimits {
        max_connections,
        idle_timeout: IDLE_TIMEOUT,
        max_age: MAX_AGE,
    }
}

/// Runs the node until the daemon has stopped.
fn run_node(
    node: Node,
    started_at: Instant,
    mut executor: ActionExecutor,
    inbox: &Receiver<Event>,
    query_inbox: &Receiver<NodeQuery>,
) {
    let is_stopped = executor.is_stopped.clone();
    let mut stakker = Stakker::new(Instant::now());
    let perform = Box::new(move |_now_ms: u64, node: &mut Node, actions: Vec<Action>| {
        for action in actions {
            executor.perform(node.me(), action);
        }
    });
    let actor = actor!(
        stakker,
        NodeActor::init(node, started_at, perform),
        ret_nop!()
    );
    while !is_stopped.load(Ordering::Relaxed) {
        stakker.run(Instant::now(), false);
        let wait = stakker.next_wait_max(Instant::now(), TICK, false);
        if let Ok(event) = inbox.recv_timeout(wait) {
            call!([actor], event(event));
            for event in inbox.try_iter().take(EVENTS_PER_TURN) {
                call!([actor], event(event));
            }
        }
        for query in query_inbox.try_iter() {
            call!([actor], query(query));
        }
    }
}

impl ActionExecutor {
    fn record(&self, note: &Note) {
        self.metrics.record_event(note.code);
        self.event_log.record(note);
    }

    fn perform(&mut self, me: Member, action: Action) {
        match action {
            Action::Send { to, message } => self.peers.send(me, to, message),
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
                self.waiters.push(request, step);
            }
            Action::Answer { request, answer } => self.waiters.push(request, Step::Answer(answer)),
            Action::Note(note) => self.record(&note),
            Action::Ready(is_ready) => self.is_ready.store(is_ready, Ordering::Relaxed),
            Action::Stopped => {
                // Gives the threads that serve callers time to write the last answers.
                const ANSWER_FLUSH_TIME: Duration = Duration::from_millis(300);
                thread::sleep(ANSWER_FLUSH_TIME);
                self.is_stopped.store(true, Ordering::Relaxed);
            }
        }
    }
}
