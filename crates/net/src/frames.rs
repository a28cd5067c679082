//! Connections between our own processes: frames with a length, both ways at any time.

use crate::buffer::Outbox;
use crate::buffer::StreamState;
use crate::buffer::read_available;
use crate::event_loop::Arrival;
use crate::event_loop::Clock;
use crate::event_loop::ConnectionKey;
use crate::event_loop::Registrar;
use crate::event_loop::TokenKind;
use bytes::Bytes;
use bytes::BytesMut;
use mio::Interest;
use mio::net::TcpStream;
use slotmap::Key;
use slotmap::KeyData;
use slotmap::SlotMap;
use std::net::SocketAddr;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame: the lists of a thousand workers with forty runs each are 2 MB.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Bytes that may wait for a peer that does not read. It is cut off then: what waits would take
/// the memory of this host, which is 160 MB in all.
const MAX_PENDING_BYTES: usize = 8 << 20;
/// Time in which a connection must be made; peers are milliseconds away.
const CONNECT_TIMEOUT_MS: u64 = 700;
/// Time after which a connection that came in and says nothing is closed. Whoever opened it may
/// have lost its power without a word.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// Connections that may come in at once: owners are few, and former ones close theirs.
const MAX_INCOMING: usize = 64;

struct Connection {
    stream: TcpStream,
    is_incoming: bool,
    is_connected: bool,
    opened_ms: u64,
    /// When something last came from the peer.
    last_received_ms: u64,
    outbox: Outbox,
    inbox: BytesMut,
    /// It keeps the length of a frame of which only a part has come.
    codec: LengthDelimitedCodec,
}

impl Connection {
    /// Takes whole frames from what has come, and tells whether it can be trusted.
    fn read_frames(&mut self, key: ConnectionKey, arrivals: &mut Vec<Arrival>) -> bool {
        loop {
            match self.codec.decode(&mut self.inbox) {
                Ok(Some(frame)) => arrivals.push(Arrival::Frame {
                    conn: key,
                    bytes: frame.to_vec().into(),
                }),
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
    }
}

/// All connections to and from our own processes.
#[derive(Default)]
pub(crate) struct Connections {
    conns: SlotMap<ConnectionKey, Connection>,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

impl Connections {
    /// Takes in a connection.
    pub(crate) fn admit(&mut self, stream: TcpStream, clock: Clock, registrar: &Registrar) {
        let incoming = self.conns.values().filter(|conn| conn.is_incoming).count();
        if incoming < MAX_INCOMING {
            self.insert(stream, true, clock, registrar);
        }
    }

    /// Opens a connection; `None` if the system has none to give.
    pub(crate) fn open(
        &mut self,
        peer: SocketAddr,
        clock: Clock,
        registrar: &Registrar,
    ) -> Option<ConnectionKey> {
        let stream = TcpStream::connect(peer).ok()?;
        self.insert(stream, false, clock, registrar)
    }

    fn insert(
        &mut self,
        stream: TcpStream,
        is_incoming: bool,
        clock: Clock,
        registrar: &Registrar,
    ) -> Option<ConnectionKey> {
        // The option spares 40 ms on small writes; without it frames are only slower.
        let _ = stream.set_nodelay(true);
        let key = self.conns.insert(Connection {
            stream,
            is_incoming,
            is_connected: is_incoming,
            opened_ms: clock.now_ms,
            last_received_ms: clock.now_ms,
            outbox: Outbox::default(),
            inbox: BytesMut::new(),
            codec: codec(),
        });
        let token = TokenKind::Framed.token(key.data().as_ffi());
        let interest = Interest::READABLE | Interest::WRITABLE;
        let stream = &mut self.conns[key].stream;
        if registrar.register(stream, token, interest).is_err() {
            self.conns.remove(key);
            return None;
        }
        Some(key)
    }

    /// Sends a frame, as soon as the connection is made.
    pub(crate) fn send(&mut self, key: ConnectionKey, frame: &[u8], arrivals: &mut Vec<Arrival>) {
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        let mut bytes = BytesMut::new();
        let is_encoded = conn
            .codec
            .encode(Bytes::copy_from_slice(frame), &mut bytes)
            .is_ok();
        if !is_encoded || conn.outbox.pending_bytes() > MAX_PENDING_BYTES {
            return self.close(key, arrivals);
        }
        conn.outbox.add(&bytes);
        if conn.is_connected && conn.outbox.flush(&mut conn.stream).is_err() {
            self.close(key, arrivals);
        }
    }

    /// Handles an event of the connection with the given number.
    pub(crate) fn handle(&mut self, raw_key: u64, clock: Clock, arrivals: &mut Vec<Arrival>) {
        let key = ConnectionKey::from(KeyData::from_ffi(raw_key));
        let Some(conn) = self.conns.get_mut(key) else {
            return;
        };
        if !conn.is_connected {
            if conn.stream.take_error().ok().flatten().is_some() {
                return self.close(key, arrivals);
            }
            if conn.stream.peer_addr().is_err() {
                return;
            }
            conn.is_connected = true;
            conn.last_received_ms = clock.now_ms;
            arrivals.push(Arrival::ConnectionOpened { conn: key });
        }
        let mut bytes = Vec::new();
        let is_open = conn.outbox.flush(&mut conn.stream).is_ok()
            && read_available(&mut conn.stream, &mut bytes)
                .is_ok_and(|state| state == StreamState::Open);
        if !bytes.is_empty() {
            conn.last_received_ms = clock.now_ms;
            conn.inbox.extend_from_slice(&bytes);
        }
        let is_valid = conn.read_frames(key, arrivals);
        if !is_open || !is_valid {
            self.close(key, arrivals);
        }
    }

    /// Closes a connection and tells so.
    pub(crate) fn close(&mut self, key: ConnectionKey, arrivals: &mut Vec<Arrival>) {
        if self.conns.remove(key).is_some() {
            arrivals.push(Arrival::ConnectionLost { conn: key });
        }
    }

    /// Gives up connections that are not made, and ones that have gone silent.
    pub(crate) fn expire(&mut self, clock: Clock, arrivals: &mut Vec<Arrival>) {
        let mut expired = Vec::new();
        for (key, conn) in &self.conns {
            let is_connect_overdue =
                !conn.is_connected && clock.now_ms > conn.opened_ms + CONNECT_TIMEOUT_MS;
            let is_idle =
                conn.is_incoming && clock.now_ms > conn.last_received_ms + IDLE_TIMEOUT_MS;
            if is_connect_overdue || is_idle {
                expired.push(key);
            }
        }
        for key in expired {
            self.close(key, arrivals);
        }
    }
}
