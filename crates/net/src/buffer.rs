//! Bytes on their way in and out of one nonblocking stream.

use mio::net::TcpStream;
use std::io;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Write;

/// Bytes that one read asks for; a list of a few dozen workers fits in two.
const READ_CHUNK_BYTES: usize = 16_384;

/// How a read or write left the stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StreamState {
    /// The stream is open.
    Open,
    /// The peer will send no more.
    Ended,
}

/// Appends all that the stream has to `bytes`.
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
            // A short read means that the socket is empty; the next event is awaited.
            Ok(count) if count < READ_CHUNK_BYTES => return Ok(StreamState::Open),
            Ok(_) => continue,
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(StreamState::Open),
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            Err(error) => return Err(error),
        }
    }
}

/// Bytes that wait to be written.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    bytes: Vec<u8>,
    written: usize,
}

impl Outbox {
    /// Adds bytes at the end.
    pub(crate) fn add(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Tells whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.written == self.bytes.len()
    }

    /// Gives how many bytes wait.
    pub(crate) fn pending_bytes(&self) -> usize {
        self.bytes.len() - self.written
    }

    /// Writes as much as the stream takes.
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
