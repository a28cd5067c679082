//! Errors of starting a daemon.

use goldcrestway_inventory::Faults;
use quick_error::quick_error;

quick_error! {
    /// Reason why a daemon can't start.
    #[derive(Debug)]
    pub enum DaemonFault {
        /// The settings have faults.
        Settings(faults: Faults) {
            from()
            display("{}", faults)
        }
        /// Listening at an address failed; `step` says for whom.
        Listen(step: &'static str, address: Box<str>, error: std::io::Error) {
            display("while {} at {}: {}. Choose a free address in the settings", step, address, error)
        }
    }
}
