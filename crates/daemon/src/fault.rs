//! Why a daemon can't start.

use goldcrestway_inventory::Faults;
use quick_error::quick_error;

quick_error! {
    /// Why a daemon can't start; carries the step and the peer or address.
    #[derive(Debug)]
    pub enum DaemonFault {
        /// The settings are faulty.
        Settings(faults: Faults) {
            from()
            display("{}", faults)
        }
        /// An address can't be listened on.
        Listen(step: &'static str, address: Box<str>, error: std::io::Error) {
            display("while {} at {}: {}. Choose a free address in the settings", step, address, error)
        }
    }
}
