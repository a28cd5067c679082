//! Messages between entry hosts as frames.

mod decode;
mod encode;

pub use decode::decode_message;
pub use encode::encode_message;
