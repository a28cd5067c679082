//! Clients of the platform: its log, its list of hosts, and its interface on worker hosts.
//!
//! Only this crate contains URLs and field names of the platform's interfaces.
//! `docs/PLATFORM.md` lists the assumptions about them.
//!
//! ```no_run
//! use goldcrestway_platform::LogClient;
//!
//! let log = LogClient::new("http://127.0.0.1:7000", 1_000);
//! let offset = log.append("claims", b"record").unwrap();
//! println!("appended at offset {offset}");
//! ```

mod fault;
mod hosts;
mod log;
mod worker;

pub use fault::PlatformFault;
pub use hosts::HostListClient;
pub use hosts::HostReply;
pub use hosts::Listed;
pub use log::AppendReply;
pub use log::LogClient;
pub use log::LogPage;
pub use log::LogRecord;
pub use log::ReadReply;
pub use worker::WorkerClient;
pub use worker::WorkerOrder;
pub use worker::WorkerReply;
pub use worker::WorkerRequest;
pub use worker::WorkerTask;
