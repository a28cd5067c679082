//! Framing of a connection between entry hosts: a length, then one prost-encoded frame.

use crate::fault::WireFault;
use crate::message::decode_message;
use crate::message::encode_message;
use crate::parts::decode_member;
use crate::parts::encode_member;
use crate::parts::require;
use crate::proto;
use bytes::Bytes;
use bytes::BytesMut;
use goldcrestway_core::Member;
use goldcrestway_core::Message;
use prost::Message as _;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::LengthDelimitedCodec;

/// Version of the protocol between entry hosts. Frames of another version are rejected.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum size of a frame that is sent or accepted. It fits a configuration of the largest
/// intended size, with a margin.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A message with its sender and the reading of the sender's clock.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// The entry host process that sends the message.
    pub from: Member,
    /// Hybrid logical clock of the sender.
    pub clock: u64,
    /// The message.
    pub message: Message,
}

/// Encodes and decodes the frames of one connection.
///
/// Frames of another cluster or version, malformed frames, and frames above
/// [`MAX_FRAME_BYTES`] are rejected with a [`WireFault`]. The connection must then be closed,
/// since the bytes that follow can't be trusted.
#[derive(Debug)]
pub struct FrameCodec {
    cluster: Box<str>,
    frames: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates the codec of a connection within `cluster`.
    pub fn new(cluster: &str) -> Self {
        let mut builder = LengthDelimitedCodec::builder();
        builder.max_frame_length(MAX_FRAME_BYTES);
        Self {
            cluster: cluster.into(),
            frames: builder.new_codec(),
        }
    }
}

/// Returns the size of an encoded envelope in bytes, including the length prefix; 0 if it exceeds
/// [`MAX_FRAME_BYTES`].
pub fn frame_length(cluster: &str, envelope: &Envelope) -> usize {
    let mut bytes = BytesMut::new();
    match FrameCodec::new(cluster).encode(envelope, &mut bytes) {
        Ok(()) => bytes.len(),
        Err(_) => 0,
    }
}

impl Decoder for FrameCodec {
    type Item = Envelope;
    type Error = WireFault;

    fn decode(&mut self, bytes: &mut BytesMut) -> Result<Option<Envelope>, WireFault> {
        let frame = match self.frames.decode(bytes) {
            Ok(Some(frame)) => frame,
            Ok(None) => return Ok(None),
            Err(_) => return Err(WireFault::TooLarge),
        };
        let frame = proto::Frame::decode(frame)
            .map_err(|error| WireFault::Malformed("reading a frame", error))?;
        if frame.version != PROTOCOL_VERSION {
            return Err(WireFault::OtherVersion(frame.version));
        }
        if *frame.cluster != *self.cluster {
            return Err(WireFault::OtherCluster(frame.cluster.into()));
        }
        let message = decode_message(require(frame.kind.as_ref(), "kind of message")?)?;
        Ok(Some(Envelope {
            from: decode_member(require(frame.from.as_ref(), "sender")?)?,
            clock: frame.clock,
            message,
        }))
    }
}

impl Encoder<&Envelope> for FrameCodec {
    type Error = WireFault;

    fn encode(&mut self, envelope: &Envelope, bytes: &mut BytesMut) -> Result<(), WireFault> {
        let frame = proto::Frame {
            version: PROTOCOL_VERSION,
            cluster: self.cluster.to_string(),
            from: Some(encode_member(envelope.from)),
            clock: envelope.clock,
            kind: Some(encode_message(&envelope.message)),
        };
        let frame = frame.encode_to_vec();
        if frame.len() > MAX_FRAME_BYTES {
            return Err(WireFault::TooLarge);
        }
        self.frames.encode(Bytes::from(frame), bytes)?;
        Ok(())
    }
}
