//! Why a command did not do what was asked.

use goldcrestway_inventory::Faults;
use quick_error::quick_error;

quick_error! {
    /// Why a command did not do what was asked; carries the step and the peer.
    #[derive(Debug)]
    pub enum Fault {
        /// A file that can't be read or written.
        File(step: &'static str, file: Box<str>, error: std::io::Error) {
            display("while {} {}: {}. Check the name and its permissions", step, file, error)
        }
        /// A faulty inventory or settings file.
        Faulty(faults: Faults) {
            from()
            display("{}", faults.to_string().trim_end())
        }
        /// No entry host answered.
        Unreachable(step: &'static str, addresses: Box<str>) {
            display("while {}: no entry host answers at {}. Give others with --entry ADDRESS:PORT or --settings FILE", step, addresses)
        }
        /// An entry host refused.
        Refused(step: &'static str, address: Box<str>, detail: Box<str>) {
            display("while {} at {}: {}", step, address, detail)
        }
        /// The outcome is not known yet.
        Unknown(step: &'static str, address: Box<str>, detail: Box<str>) {
            display("while {} at {}: {}. Give the same command again to learn the outcome", step, address, detail)
        }
        /// The operator has to decide.
        Declined(detail: Box<str>) {
            display("{}", detail)
        }
    }
}

impl Fault {
    /// Gives the exit code that stands for this fault.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Fault::File(..) | Fault::Faulty(_) => 2,
            Fault::Unreachable(..) | Fault::Refused(..) | Fault::Declined(_) => 1,
            Fault::Unknown(..) => 3,
        }
    }
}
