//! Connections between processes of this system, over which both sides send length-prefixed
//! frames at any time.

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
use std::io;
use std::net::SocketAddr;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

/// Maximum size of a frame. A frame with the lists of a thousand workers, forty runs each, takes
/// 2 MB.
const MAX_FRAME_BYTES: usize = 4 << 20;
/// Bytes that may be queued for a peer that does not read. Beyond that the connection is closed,
/// since the queue would exhaust the memory of this host, which is 160 MB in total.
const MAX_PENDING_BYTES: usize = 8 << 20;
/// Time within which a connection must be established. Peers answer within milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 700;
/// Time without a received byte after which an incoming connection is closed. Its peer may have
/// lost power without closing the connection.
const IDLE_TIMEOUT_MS: u64 = 30_000;
/// Maximum number of open incoming connections. Owners, which open them, are few, and previous
/// owners close theirs.
const MAX_INCOMING: usize = 64;

/// One frame connection.
struct Connection {
    stream: TcpStream,
    is_incoming: bool,
    is_connected: bool,
    opened_ms: u64,
    /// Time at which bytes were last received, or the connection was established.
    last_received_ms: u64,
    outbox: Outbox,
    inbox: BytesMut,
    /// Decoder and encoder of frames. Retains the length of a partially received frame between
    /// reads.
    codec: LengthDelimitedCodec,
}

impl Connection {
    /// Reports all complete frames received. Returns `false` if the bytes are not valid frames,
    /// after which nothing on the connection can be trusted.
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

/// All frame connections, incoming and outgoing.
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
    /// Registers an accepted connection, or drops it if [`MAX_INCOMING`] are open.
    pub(crate) fn admit(&mut self, stream: TcpStream, clock: Clock, registrar: &Registrar) {
        let incoming = self.conns.values().filter(|conn| conn.is_incoming).count();
        if incoming < MAX_INCOMING {
            self.insert(stream, true, clock, registrar);
        }
    }

    /// Starts to open a connection. Returns `None` if the system refuses a socket.
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
        // Without this option small writes are delayed by up to 40 ms; a failure to set it
        // only makes frames slower.
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

    /// Sends a frame, once the connection is established. Closes the connection if the frame is
    /// too large, too much is queued, or writing fails.
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

    /// Handles a readiness event of the connection whose key has the bits `raw_key`.
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
            && read_all(&mut conn.stream, &mut bytes).is_ok_and(|state| state == StreamState::Open);
        if !bytes.is_empty() {
            conn.last_received_ms = clock.now_ms;
            conn.inbox.extend_from_slice(&bytes);
        }
        let is_valid = conn.read_frames(key, arrivals);
        if !is_open || !is_valid {
            self.close(key, arrivals);
        }
    }

    /// Closes a connection and reports its loss.
    pub(crate) fn close(&mut self, key: ConnectionKey, arrivals: &mut Vec<Arrival>) {
        if self.conns.remove(key).is_some() {
            arrivals.push(Arrival::ConnectionLost { conn: key });
        }
    }

    /// Closes connections that were not established in time, and incoming ones that are silent.
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

/// Appends all bytes that can be read without blocking, and returns whether the stream has ended. The
/// end may come with the last bytes, and no further event tells of it.
fn read_all(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> io::Result<StreamState> {
    loop {
        let length = bytes.len();
        let state = read_available(stream, bytes)?;
        if state == StreamState::Ended || bytes.len() == length {
            return Ok(state);
        }
    }
}
