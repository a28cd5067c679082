//! The wire format of messages between entry hosts and of records in the log: prost types, their
//! conversion from and to the core types, and the framing of connections.
//!
//! The types in [`proto`] define the encoding. No other crate uses them.
//!
//! ```
//! use goldcrestway_core::{Batch, Record, Term, Member, Seat};
//!
//! let member = Member { seat: Seat(1), incarnation: 7 };
//! let records = Box::new([Record::Open { member }]);
//! let batch = Batch { term: Term(3), sequence: 1, records };
//! let bytes = goldcrestway_wire::encode_batch(&batch);
//! assert_eq!(goldcrestway_wire::decode_batch(&bytes).unwrap(), batch);
//! ```

mod codec;
mod fault;
mod message;
mod parts;
mod record;

pub mod proto;

pub use codec::Envelope;
pub use codec::FrameCodec;
pub use codec::MAX_FRAME_BYTES;
pub use codec::PROTOCOL_VERSION;
pub use codec::frame_length;
pub use fault::WireFault;
pub use message::decode_message;
pub use message::encode_message;
pub use record::decode_batch;
pub use record::encode_batch;
