//! What can go wrong towards the platform.

use quick_error::quick_error;

quick_error! {
    /// A call to the platform that brought no usable answer; carries the step and
    /// the peer.
    #[derive(Debug)]
    pub enum PlatformFault {
        /// No answer came, or not all of it. The call may have taken effect.
        Unanswered(step: &'static str, peer: Box<str>, error: Box<ureq::Error>) {
            display("while {} at {}: {}", step, peer, error)
        }
        /// The answer can't be read.
        Unreadable(step: &'static str, peer: Box<str>) {
            display("while {} at {}: the answer can't be read", step, peer)
        }
    }
}

/// Makes an agent whose calls end within `timeout_ms`.
pub(crate) fn agent(timeout_ms: u64) -> ureq::Agent {
    let timeout = std::time::Duration::from_millis(timeout_ms);
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .build();
    config.new_agent()
}

/// Turns a library's error into ours.
pub(crate) fn unanswered(step: &'static str, peer: &str, error: ureq::Error) -> PlatformFault {
    PlatformFault::Unanswered(step, peer.into(), Box::new(error))
}
