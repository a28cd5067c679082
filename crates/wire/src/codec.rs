//! Framing of a link: a length, then one prost frame.

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

/// Version of the messages between entry hosts.
pub const PROTOCOL_VERSION: u32 = 1;
/// Largest frame that is sent or accepted: a configuration of the size to design
/// for, with room to spare.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// A message with its sender and the sender's clock.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// The sender.
    pub from: Member,
    /// Its hybrid logical clock.
    pub clock: u64,
    /// The message.
    pub message: Message,
}

/// Reads and writes the frames of one link.
///
/// Frames of another cluster or version, and frames too large, are refused with a
/// fault upon which the link must be closed: what follows can't be trusted.
#[derive(Debug)]
pub struct FrameCodec {
    cluster: Box<str>,
    frames: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Makes the codec of a link within `cluster`.
    pub fn new(cluster: &str) -> Self {
        let mut builder = LengthDelimitedCodec::builder();
        builder.max_frame_length(MAX_FRAME_BYTES);
        Self {
            cluster: cluster.into(),
            frames: builder.new_codec(),
        }
    }
}

/// Gives the bytes that an envelope takes on a link.
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
