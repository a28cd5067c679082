//! Connections between entry hosts: one TCP connection in each direction, with the
//! frames of `goldcrestway-wire`.

use crate::event_log::EventLog;
use crate::fault::DaemonFault;
use crate::settings::Settings;
use bytes::BytesMut;
use goldcrestway_core::Code;
use goldcrestway_core::Event;
use goldcrestway_core::Member;
use goldcrestway_core::Message;
use goldcrestway_core::Note;
use goldcrestway_core::Seat;
use goldcrestway_events::Stamp;
use goldcrestway_wire::Envelope;
use goldcrestway_wire::FrameCodec;
use std::collections::HashMap;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::TrySendError;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

/// Messages that wait for a connection before further ones are dropped. The node
/// repeats every message until it is answered, so dropping is safe.
const MAX_QUEUED_MESSAGES: usize = 4_096;
/// Time without a byte after which an incoming connection is closed. Heartbeats come far
/// more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for connecting to another host and for writing to it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Delay after a connection could not be established or accepted.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Largest number of incoming connections per seat, including old ones that are not
/// closed yet.
const MAX_INCOMING_PER_SEAT: usize = 4;

/// The connections of one process: a queue of messages for each other seat.
pub(crate) struct PeerConnections {
    queues: HashMap<Seat, SyncSender<(Member, Message)>>,
}

/// State that the threads of all connections share.
struct Shared {
    cluster: Box<str>,
    seats: Vec<Seat>,
    events: Sender<Event>,
    event_log: Arc<EventLog>,
    is_stopped: Arc<AtomicBool>,
    open_count: AtomicUsize,
}

impl PeerConnections {
    /// Listens for other hosts and starts a thread for the connection to each of them.
    ///
    /// # Errors
    ///
    /// If listening at the peer address fails.
    pub(crate) fn start(
        settings: &Settings,
        events: Sender<Event>,
        event_log: Arc<EventLog>,
        is_stopped: Arc<AtomicBool>,
    ) -> Result<Self, DaemonFault> {
        let address = settings.own().peer_address;
        let listener = TcpListener::bind(address).map_err(|error| {
            DaemonFault::Listen("listening for peers", address.to_string().into(), error)
        })?;
        let shared = Arc::new(Shared {
            cluster: settings.cluster.clone(),
            seats: settings.seats.iter().map(|seat| seat.seat).collect(),
            events,
            event_log,
            is_stopped,
            open_count: AtomicUsize::new(0),
        });
        let accepting = shared.clone();
        thread::spawn(move || accept(&listener, &accepting));
        let mut queues = HashMap::new();
        for seat in &settings.seats {
            if seat.seat == settings.own().seat {
                continue;
            }
            let (sender, receiver) = sync_channel(MAX_QUEUED_MESSAGES);
            queues.insert(seat.seat, sender);
            let (shared, address) = (shared.clone(), seat.peer_address);
            thread::spawn(move || write_messages(address, &receiver, &shared));
        }
        Ok(Self { queues })
    }

    /// Queues a message for a seat; drops it if the queue is full.
    pub(crate) fn send(&self, from: Member, to: Seat, message: Message) {
        let Some(queue) = self.queues.get(&to) else {
            return;
        };
        match queue.try_send((from, message)) {
            Ok(()) | Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
        }
    }
}

/// Decrements the count of open incoming connections when it is dropped.
struct OpenGuard(Arc<Shared>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open_count.fetch_sub(1, Ordering::Relaxed);
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        if shared.is_stopped.load(Ordering::Relaxed) {
            return;
        }
        let Ok(stream) = stream else {
            thread::sleep(RETRY_DELAY);
            continue;
        };
        let open_count = shared.open_count.fetch_add(1, Ordering::Relaxed);
        let guard = OpenGuard(shared.clone());
        if open_count >= shared.seats.len() * MAX_INCOMING_PER_SEAT {
            record_event(
                shared,
                Code::LinkRefused,
                &stream,
                "too many links are open",
            );
            continue;
        }
        thread::spawn(move || {
            read_messages(stream, &guard.0);
            drop(guard);
        });
    }
}

fn record_event(shared: &Shared, code: Code, stream: &TcpStream, detail: &str) {
    let peer = stream
        .peer_addr()
        .map_or_else(|_| "gone".to_owned(), |peer| peer.to_string());
    shared.event_log.record(&Note::new(code, peer, detail));
}

fn read_messages(mut stream: TcpStream, shared: &Shared) {
    const CHUNK: usize = 16 * 1024;
    if stream.set_read_timeout(Some(IDLE_TIMEOUT)).is_err() {
        return;
    }
    let mut codec = FrameCodec::new(&shared.cluster);
    let mut bytes = BytesMut::new();
    let mut chunk = vec![0_u8; CHUNK];
    loop {
        let count = match stream.read(&mut chunk) {
            Ok(0) | Err(_) => break,
            Ok(count) => count,
        };
        bytes.extend_from_slice(&chunk[..count]);
        loop {
            match codec.decode(&mut bytes) {
                Ok(None) => break,
                Ok(Some(envelope)) if shared.seats.contains(&envelope.from.seat) => {
                    shared.event_log.receive(Stamp(envelope.clock));
                    let event = Event::Peer {
                        from: envelope.from,
                        message: envelope.message,
                    };
                    if shared.events.send(event).is_err()
                        || shared.is_stopped.load(Ordering::Relaxed)
                    {
                        return;
                    }
                }
                Ok(Some(envelope)) => {
                    let detail = format!("{} is no member", envelope.from);
                    record_event(shared, Code::LinkRefused, &stream, &detail);
                    return;
                }
                Err(fault) => {
                    record_event(shared, Code::LinkRefused, &stream, &fault.to_string());
                    return;
                }
            }
        }
    }
    record_event(
        shared,
        Code::LinkClosed,
        &stream,
        "the peer closed it or fell silent",
    );
}

fn write_messages(address: SocketAddr, queue: &Receiver<(Member, Message)>, shared: &Shared) {
    let mut stream: Option<TcpStream> = None;
    let mut bytes = BytesMut::new();
    while let Ok((from, message)) = queue.recv() {
        if shared.is_stopped.load(Ordering::Relaxed) {
            return;
        }
        if stream.is_none() {
            stream = connect(address);
        }
        let Some(connected) = &mut stream else {
            // Messages that waited without a connection are stale; the node repeats them.
            while queue.try_recv().is_ok() {}
            thread::sleep(RETRY_DELAY);
            continue;
        };
        bytes.clear();
        encode(shared, from, message, &mut bytes);
        while let Ok((from, message)) = queue.try_recv() {
            encode(shared, from, message, &mut bytes);
        }
        if connected.write_all(&bytes).is_err() {
            stream = None;
        }
    }
}

fn encode(shared: &Shared, from: Member, message: Message, bytes: &mut BytesMut) {
    let envelope = Envelope {
        from,
        clock: shared.event_log.stamp().0,
        message,
    };
    if let Err(fault) = FrameCodec::new(&shared.cluster).encode(&envelope, bytes) {
        let note = Note::new(Code::LinkRefused, "own frame", fault.to_string());
        shared.event_log.record(&note);
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_write_timeout(Some(CONNECT_TIMEOUT)).ok()?;
    Some(stream)
}
