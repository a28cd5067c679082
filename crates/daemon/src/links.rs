//! Links between entry hosts: one TCP connection each way, framed by
//! `goldcrestway-wire`.

use crate::chronicle::Chronicle;
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

/// Messages that wait for a link before further ones are dropped. Every message
/// is repeated by its sender until it is answered, so dropping is safe.
const WAITING: usize = 4_096;
/// How long a link may be silent; heartbeats come far more often.
const SILENCE: Duration = Duration::from_secs(30);
/// How long connecting may take.
const CONNECT: Duration = Duration::from_millis(500);
/// Pause after a failed connection.
const PAUSE: Duration = Duration::from_millis(200);
/// Links from other hosts per seat, old ones that have not closed yet included.
const LINKS_PER_SEAT: usize = 4;

/// The links of one process.
pub(crate) struct Links {
    out: HashMap<Seat, SyncSender<(Member, Message)>>,
}

/// What the threads of all links share.
struct Shared {
    cluster: Box<str>,
    seats: Vec<Seat>,
    events: Sender<Event>,
    chronicle: Arc<Chronicle>,
    is_over: Arc<AtomicBool>,
    open: AtomicUsize,
}

impl Links {
    /// Listens for the links of others and starts those to them.
    ///
    /// # Errors
    ///
    /// When the peer address can't be listened on.
    pub(crate) fn start(
        settings: &Settings,
        events: Sender<Event>,
        chronicle: Arc<Chronicle>,
        is_over: Arc<AtomicBool>,
    ) -> Result<Self, DaemonFault> {
        let address = settings.own().peer_address;
        let listener = TcpListener::bind(address).map_err(|error| {
            DaemonFault::Listen("listening for peers", address.to_string().into(), error)
        })?;
        let shared = Arc::new(Shared {
            cluster: settings.cluster.clone(),
            seats: settings.seats.iter().map(|seat| seat.seat).collect(),
            events,
            chronicle,
            is_over,
            open: AtomicUsize::new(0),
        });
        let accepting = shared.clone();
        thread::spawn(move || accept(&listener, &accepting));
        let mut out = HashMap::new();
        for seat in &settings.seats {
            if seat.seat == settings.own().seat {
                continue;
            }
            let (sender, receiver) = sync_channel(WAITING);
            out.insert(seat.seat, sender);
            let (shared, address) = (shared.clone(), seat.peer_address);
            thread::spawn(move || write_link(address, &receiver, &shared));
        }
        Ok(Self { out })
    }

    /// Sends a message; drops it if the link is stuck.
    pub(crate) fn send(&self, from: Member, to: Seat, message: Message) {
        let Some(link) = self.out.get(&to) else {
            return;
        };
        match link.try_send((from, message)) {
            Ok(()) | Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {}
        }
    }
}

/// Counts an open link while it lives.
struct Open(Arc<Shared>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

fn accept(listener: &TcpListener, shared: &Arc<Shared>) {
    for stream in listener.incoming() {
        if shared.is_over.load(Ordering::Relaxed) {
            return;
        }
        let Ok(stream) = stream else {
            thread::sleep(PAUSE);
            continue;
        };
        let open = shared.open.fetch_add(1, Ordering::Relaxed);
        let guard = Open(shared.clone());
        if open >= shared.seats.len() * LINKS_PER_SEAT {
            note(
                shared,
                Code::LinkRefused,
                &stream,
                "too many links are open",
            );
            continue;
        }
        thread::spawn(move || {
            read_link(stream, &guard.0);
            drop(guard);
        });
    }
}

fn note(shared: &Shared, code: Code, stream: &TcpStream, detail: &str) {
    let peer = stream
        .peer_addr()
        .map_or_else(|_| "gone".to_owned(), |peer| peer.to_string());
    shared.chronicle.note(&Note::new(code, peer, detail));
}

fn read_link(mut stream: TcpStream, shared: &Shared) {
    const CHUNK: usize = 16 * 1024;
    if stream.set_read_timeout(Some(SILENCE)).is_err() {
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
                    shared.chronicle.arrived(Stamp(envelope.clock));
                    let event = Event::Peer {
                        from: envelope.from,
                        message: envelope.message,
                    };
                    if shared.events.send(event).is_err() || shared.is_over.load(Ordering::Relaxed)
                    {
                        return;
                    }
                }
                Ok(Some(envelope)) => {
                    let detail = format!("{} is no member", envelope.from);
                    note(shared, Code::LinkRefused, &stream, &detail);
                    return;
                }
                Err(fault) => {
                    note(shared, Code::LinkRefused, &stream, &fault.to_string());
                    return;
                }
            }
        }
    }
    note(
        shared,
        Code::LinkClosed,
        &stream,
        "the peer closed it or fell silent",
    );
}

fn write_link(address: SocketAddr, waiting: &Receiver<(Member, Message)>, shared: &Shared) {
    let mut stream: Option<TcpStream> = None;
    let mut bytes = BytesMut::new();
    while let Ok((from, message)) = waiting.recv() {
        if shared.is_over.load(Ordering::Relaxed) {
            return;
        }
        if stream.is_none() {
            stream = connect(address);
        }
        let Some(open) = &mut stream else {
            // What waited while there was no link is stale; senders repeat it.
            while waiting.try_recv().is_ok() {}
            thread::sleep(PAUSE);
            continue;
        };
        bytes.clear();
        encode(shared, from, message, &mut bytes);
        while let Ok((from, message)) = waiting.try_recv() {
            encode(shared, from, message, &mut bytes);
        }
        if open.write_all(&bytes).is_err() {
            stream = None;
        }
    }
}

fn encode(shared: &Shared, from: Member, message: Message, bytes: &mut BytesMut) {
    let envelope = Envelope {
        from,
        clock: shared.chronicle.stamp().0,
        message,
    };
    if let Err(fault) = FrameCodec::new(&shared.cluster).encode(&envelope, bytes) {
        let note = Note::new(Code::LinkRefused, "own frame", fault.to_string());
        shared.chronicle.note(&note);
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_write_timeout(Some(CONNECT)).ok()?;
    Some(stream)
}
