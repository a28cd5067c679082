//! Faults of calls to the platform.

use quick_error::quick_error;

quick_error! {
    /// Reason why a call to the platform returned no usable answer. Carries the step that failed
    /// and the peer that was called.
    #[derive(Debug)]
    pub enum PlatformFault {
        /// No complete answer arrived, or the peer returned an error. The call may have taken
        /// effect.
        Unanswered(step: &'static str, peer: Box<str>, error: Box<ureq::Error>) {
            display("while {} at {}: {}", step, peer, error)
        }
        /// The answer can't be decoded.
        Unreadable(step: &'static str, peer: Box<str>) {
            display("while {} at {}: the answer can't be read", step, peer)
        }
    }
}

/// Creates an HTTP client whose calls end within `timeout_ms` milliseconds.
pub(crate) fn agent(timeout_ms: u64) -> ureq::Agent {
    let timeout = std::time::Duration::from_millis(timeout_ms);
    let config = ureq::Agent::config_builder()
        .timeout_global(Some(timeout))
        .build();
    config.new_agent()
}

/// Converts an error of `ureq` into a [`PlatformFault`].
pub(crate) fn unanswered(step: &'static str, peer: &str, error: ureq::Error) -> PlatformFault {
    PlatformFault::Unanswered(step, peer.into(), Box::new(error))
}
