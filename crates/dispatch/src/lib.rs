//! Decisions on jobs of many tasks, for entry hosts that store nothing themselves.
//!
//! All durable state is in keyed streams of the platform's store: the submitted
//! [jobs](Stream::Jobs), their [progress](Stream::Progress) and [states](Stream::States),
//! the operator's [rules](Stream::Rules) and the [workers](Stream::Workers). Every entry
//! host runs an [`Entry`], which accepts jobs by itself and answers queries about their state. One
//! of the hosts is the owner: it alone writes progress, under a token that also fences its orders
//! to workers, and starts, monitors and stops tasks.
//!
//! The crate does no input or output, reads no clock and starts no thread: an [`Entry`] is passed
//! [`Event`]s and the time as [`Now`], and returns [`Action`]s for its caller to carry out.
//!
//! ```
//! use goldcrestway_dispatch::{Action, Bounds, Decoders, Entry, Event, Now};
//!
//! let decoders = Decoders { config: |_| Err("no rules yet".into()), evacuation: |_, _| None, worker: |_, _| Err("none".into()) };
//! let mut entry = Entry::new("entry-1", Bounds::default(), decoders, 7);
//! let now = Now { steady_ms: 0, wall_ms: 1_700_000_000_000 };
//! let actions = entry.handle(now, Event::Tick);
//! // An entry host first loads the streams from the store.
//! assert!(actions.iter().any(|action| matches!(action, Action::Load { .. })));
//! ```

/// Maximum number of concurrent calls of a host to the store: the long polls of an owner (one for
/// each partition of the stream of jobs, one for the rules), as many reads beside them, loads, and
/// appends of its own and of callers. They must not wait for one another: a read that is queued
/// behind a long poll is late by seconds, and a host that claims ownership would lose its claim to
/// the next host meanwhile.
pub const MAX_STORE_CALLS: usize = 32;

mod appender;
mod bounds;
mod config;
mod election;
mod entry;
mod evacuations;
mod event;
mod ids;
mod incarnation;
mod job_table;
mod job_times;
mod owner;
pub mod policy;
mod record;
mod relay;
mod tail;
mod worker_record;

pub use bounds::Bounds;
pub use config::Config;
pub use config::Decoded;
pub use config::Decoders;
pub use config::EvacuationDecoder;
pub use config::PermitRules;
pub use config::Queue;
pub use config::Resources;
pub use config::WorkerEntry;
pub use entry::Ages;
pub use entry::Entry;
pub use entry::Found;
pub use evacuations::Evacuations;
pub use event::Action;
pub use event::AppendOutcome;
pub use event::ConnectionId;
pub use event::Event;
pub use event::ExitReason;
pub use event::Fence;
pub use event::LoadOutcome;
pub use event::Now;
pub use event::OrderOutcome;
pub use event::Page;
pub use event::PermitOutcome;
pub use event::ReadFault;
pub use event::ReadOutcome;
pub use event::ReadTimeouts;
pub use event::Refusal;
pub use event::Reply;
pub use event::RunExit;
pub use event::RunReport;
pub use event::StoredRecord;
pub use event::Stream;
pub use event::WorkerCall;
pub use event::WorkerReport;
pub use ids::JobId;
pub use ids::StepId;
pub use ids::TaskId;
pub use incarnation::Incarnation;
pub use job_table::JobState;
pub use job_times::CriticalTask;
pub use job_times::JobEnd;
pub use job_times::JobTimes;
pub use job_times::Phase;
pub use job_times::PhaseTimes;
pub use owner::OwnerStats;
pub use owner::WaitReason;
pub use record::Step;
pub use record::Submission;
