//! Stand-ins for the platform and for upstreams, for tests and examples.
//!
//! Each is a state machine that gets the time as an argument. Test scenarios use the state machines
//! directly; the examples use them as servers over HTTP on loopback. Tests and examples check what
//! the stand-ins record.
//!
//! ```
//! use goldcrestway_standin::LogState;
//!
//! let mut log = LogState::default();
//! assert_eq!(log.append("claims", b"record".to_vec()), 0);
//! assert_eq!(log.read("claims", 0, 10).records.len(), 1);
//! ```

mod log;
mod server;
mod upstream;
mod worker;

pub use log::LogState;
pub use server::HostListServer;
pub use server::LogServer;
pub use server::UpstreamServer;
pub use server::WorkerServer;
pub use upstream::Run;
pub use upstream::UpstreamState;
pub use worker::TaskRun;
pub use worker::WorkerState;
