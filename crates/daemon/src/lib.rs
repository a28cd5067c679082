//! The daemon of an entry host: the decisions of `goldcrestway-core` carried by a
//! `stakker` actor, with input and output at the edge.
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
mod chronicle;
mod fault;
mod front;
mod gate;
mod links;
mod metrics;
mod operator;
mod platform;
mod process;
mod settings;

pub use actor::NodeActor;
pub use actor::Perform;
pub use actor::TICK;
pub use fault::DaemonFault;
pub use operator::JobRequest;
pub use operator::PublishReply;
pub use operator::PublishRequest;
pub use operator::SectionChange;
pub use operator::StatusReply;
pub use operator::changes_in;
pub use operator::changes_out;
pub use platform::call_out;
pub use platform::listing_in;
pub use platform::part_in;
pub use process::Daemon;
pub use settings::SCHEMA;
pub use settings::SeatSettings;
pub use settings::Settings;
pub use settings::load as load_settings;
