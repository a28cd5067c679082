//! Decisions on jobs of many tasks, for entry hosts that keep nothing themselves.
//!
//! All that must last stands in keyed streams of the platform's store: the submitted
//! [jobs](Stream::Jobs), their [progress](Stream::Progress) and [states](Stream::States),
//! the operator's [rules](Stream::Rules) and the [workers](Stream::Workers). Every entry
//! host runs an [`Entry`], which accepts jobs by itself and answers for their state. One of them is
//! the owner: it alone writes progress, under a token that also fences its orders to
//! workers, and starts, watches and stops tasks.
//!
//! Nothing here does input or output, reads a clock or starts a thread: [`Event`]s and
//! a [`Now`] go in, [`Action`]s come out.
//!
//! ```
//! use goldcrestway_dispatch::{Action, Bounds, Decoders, Entry, Event, Now};
//!
//! let decoders = Decoders { config: |_| Err("no rules yet".into()), evacuation: |_, _| None, worker: |_, _| Err("none".into()) };
//! let mut entry = Entry::new("entry-1", Bounds::default(), decoders, 7);
//! let now = Now { steady_ms: 0, wall_ms: 1_700_000_000_000 };
//! let actions = entry.handle(now, Event::Tick);
//! // The first thing an entry host does is to load what the store holds.
//! assert!(actions.iter().any(|action| matches!(action, Action::Load { .. })));
//! ```

/// Calls to the store that a host has under way at once at most: the long polls of an owner
/// (one for each part of the stream of jobs, one for the rules), as many reads beside them,
/// loads, and appends of its own and of callers. Whoever carries them out must not let one
/// wait for another: a read that waits behind a long poll is late by seconds, and a host
/// that claims would lose its claim to the next one meanwhile.
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
pub use owner::OwnerStats;
pub use owner::WaitReason;
pub use record::Step;
pub use record::Submission;
