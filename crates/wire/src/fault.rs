//! What can be wrong with bytes that arrive.

use quick_error::quick_error;

quick_error! {
    /// Why bytes are refused; carries the step at which it showed.
    #[derive(Debug)]
    pub enum WireFault {
        /// The bytes are not the encoding of any such type.
        Malformed(step: &'static str, error: prost::DecodeError) {
            display("while {}: {}", step, error)
        }
        /// A part that must be present is missing, or out of range.
        Missing(step: &'static str, what: &'static str) {
            display("while {}: {} is missing or out of range", step, what)
        }
        /// The peer belongs to another cluster.
        OtherCluster(cluster: Box<str>) {
            display("the peer belongs to cluster `{}`; check `cluster` in its settings", cluster)
        }
        /// The peer speaks another version.
        OtherVersion(version: u32) {
            display("the peer speaks version {}; bring both to one release", version)
        }
        /// The frame is larger than any that is sent.
        TooLarge {
            display("the frame is too large")
        }
        /// The link itself failed.
        Io(error: std::io::Error) {
            from()
            display("the link failed: {}", error)
        }
    }
}
