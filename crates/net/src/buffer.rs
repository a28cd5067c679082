//! Buffered reading from and writing to a nonblocking stream.

use mio::net::TcpStream;
use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;

/// Bytes requested by one read. A list of a few dozen workers fits in two reads.
const READ_CHUNK_BYTES: usize = 16_384;

/// State of a stream after a read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamState {
    /// The peer may send more.
    Open,
    /// The peer has closed its sending side.
    Ended,
}

/// Appends all bytes that can be read without blocking to `bytes`.
pub(crate) fn read_available(
    stream: &mut TcpStream,
    bytes: &mut Vec<u8>,
) -> io::Result<StreamState> {
    loop {
        let length = bytes.len();
        bytes.resize(length + READ_CHUNK_BYTES, 0);
        let outcome = stream.read(&mut bytes[length..]);
        bytes.truncate(length + *outcome.as_ref().unwrap_or(&0));
        match outcome {
            Ok(0) => return Ok(StreamState::Ended),
            // A short read means that the socket buffer is empty; the next event follows
            // when more arrives.
            Ok(count) if count < READ_CHUNK_BYTES => return Ok(StreamState::Open),
            Ok(_) => continue,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(StreamState::Open),
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) => return Err(error),
        }
    }
}

/// Bytes queued for writing.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    bytes: Vec<u8>,
    written: usize,
}

impl Outbox {
    /// Appends bytes to the queue.
    pub(crate) fn add(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns whether all bytes have been written.
    pub(crate) fn is_empty(&self) -> bool {
        self.written == self.bytes.len()
    }

    /// Returns the number of bytes not yet written.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.bytes.len() - self.written
    }

    /// Writes as much as the stream accepts without blocking.
    pub(crate) fn flush(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        while !self.is_empty() {
            match stream.write(&self.bytes[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(error),
            }
        }
        self.bytes.clear();
        self.written = 0;
        Ok(())
    }
}
