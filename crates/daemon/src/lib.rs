//! The daemon of an entry host.
//!
//! A `stakker` actor runs the node of `goldcrestway-core`, which makes all decisions
//! and does no input or output. The other modules pass events to the node and carry
//! out the actions that it returns.
//!
//! ```no_run
//! let text = std::fs::read_to_string("examples/spa/e1.ini").unwrap();
//! let settings = goldcrestway_daemon::load_settings("e1.ini", &text).unwrap();
//! let daemon = goldcrestway_daemon::Daemon::start(settings).unwrap();
//! daemon.wait();
//! ```

mod actor;
mod answers;
mod attempt;
mod callers;
mod event_log;
mod fault;
mod metrics;
mod operators;
mod peer_connections;
mod platform;
mod process;
mod proxy;
mod settings;

pub use actor::NodeActor;
pub use actor::PerformActions;
pub use actor::TICK;
pub use fault::DaemonFault;
pub use operators::JobRequest;
pub use operators::PublishReply;
pub use operators::PublishRequest;
pub use operators::SectionChange;
pub use operators::StatusReply;
pub use operators::changes_from_wire;
pub use operators::changes_to_wire;
pub use platform::listing_of;
pub use platform::log_part_of;
pub use platform::worker_request_of;
pub use process::Daemon;
pub use settings::SCHEMA;
pub use settings::SeatSettings;
pub use settings::Settings;
pub use settings::load as load_settings;
