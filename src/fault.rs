//! Errors of commands.

use goldcrestway_inventory::Faults;
use quick_error::quick_error;

quick_error! {
    /// Error of a command, with the step that failed and the address of the entry host.
    #[derive(Debug)]
    pub enum Fault {
        /// A file can't be read or written.
        File(step: &'static str, file: Box<str>, error: std::io::Error) {
            display("while {} {}: {}. Check the name and its permissions", step, file, error)
        }
        /// An inventory or settings file has faults.
        Faulty(faults: Faults) {
            from()
            display("{}", faults.to_string().trim_end())
        }
        /// No entry host answered.
        Unreachable(step: &'static str, addresses: Box<str>) {
            display("while {}: no entry host answers at {}. Name others with --entry ADDRESS:PORT or --settings FILE", step, addresses)
        }
        /// An entry host refused the request.
        Refused(step: &'static str, address: Box<str>, detail: Box<str>) {
            display("while {} at {}: {}", step, address, detail)
        }
        /// The outcome is not known yet.
        Unknown(step: &'static str, address: Box<str>, detail: Box<str>) {
            display("while {} at {}: {}. Run the same command again to learn the outcome", step, address, detail)
        }
        /// The command did nothing, as the operator must act first; `detail` says how.
        Declined(detail: Box<str>) {
            display("{}", detail)
        }
    }
}

impl Fault {
    /// Returns the exit code of the program for this fault.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Fault::File(..) | Fault::Faulty(_) => 2,
            Fault::Unreachable(..) | Fault::Refused(..) | Fault::Declined(_) => 1,
            Fault::Unknown(..) => 3,
        }
    }
}
