//! Conversion of messages between entry hosts from and to the payload of frames.

mod decode;
mod encode;

pub use decode::decode_message;
pub use encode::encode_message;
