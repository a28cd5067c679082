//! Small stand-ins for the platform and for upstreams.
//!
//! Each is a plain state machine with the time as an argument, used as it is by
//! the scenarios, and served over HTTP on loopback for the example. What they
//! record is what verdicts are judged by.
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
