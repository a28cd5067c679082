//! Faults in received bytes and of the connection that carries them.

use quick_error::quick_error;

quick_error! {
    /// Reason why a frame or record can't be read or written. Some variants carry the step that
    /// failed.
    #[derive(Debug)]
    pub enum WireFault {
        /// The bytes are not a valid encoding of the expected type.
        Malformed(step: &'static str, error: prost::DecodeError) {
            display("while {}: {}", step, error)
        }
        /// A required field is missing or out of range.
        Missing(step: &'static str, what: &'static str) {
            display("while {}: {} is missing or out of range", step, what)
        }
        /// The peer belongs to another cluster.
        OtherCluster(cluster: Box<str>) {
            display("the peer belongs to cluster `{}`; check `cluster` in its settings", cluster)
        }
        /// The peer uses another protocol version.
        OtherVersion(version: u32) {
            display("the peer speaks version {}; bring both to one release", version)
        }
        /// The frame exceeds [`MAX_FRAME_BYTES`](crate::MAX_FRAME_BYTES).
        TooLarge {
            display("the frame is too large")
        }
        /// Reading from or writing to the connection failed.
        Io(error: std::io::Error) {
            from()
            display("the link failed: {}", error)
        }
    }
}
