//! The decisions of goldcrestway: which host may act, where requests and jobs go, and
//! how the system reacts when hosts, connections and the log fail.
//!
//! Nothing in this crate does input or output, reads a clock or starts a thread. A
//! [`Node`] is given events with the present time and returns actions, which the
//! embedding process carries out. Times are milliseconds of any monotonic clock.
//!
//! ```
//! use goldcrestway_core::{Action, Event, Limits, Member, Node, Seat};
//!
//! let me = Member { seat: Seat(0), incarnation: 1 };
//! let mut node = Node::new(me, &[Seat(0)], Limits::default(), 0);
//! // A single member votes for itself once the votes of its previous incarnation have expired.
//! let mut now_ms = 0;
//! let mut is_ready = false;
//! while !is_ready && now_ms < 10_000 {
//!     now_ms += 100;
//!     let actions = node.handle(now_ms, Event::Tick);
//!     is_ready = actions.contains(&Action::Ready(true));
//! }
//! assert!(is_ready);
//! ```

mod claims;
mod config;
mod event;
mod identity;
mod ids;
mod interference;
mod jobs;
mod layout;
mod lease;
mod limits;
mod macros;
mod message;
mod node;
mod notes;
mod placement;
mod record;
mod retry;
mod slots;
mod writer;

pub use claims::ClaimTable;
pub use claims::Owner;
pub use config::Config;
pub use config::PublishOutcome;
pub use event::Action;
pub use event::Answer;
pub use event::AttemptOutcome;
pub use event::Event;
pub use event::PlatformHost;
pub use event::Request;
pub use event::StreamPage;
pub use identity::Admission;
pub use identity::IdentityTable;
pub use identity::State;
pub use ids::Cell;
pub use ids::Member;
pub use ids::Seat;
pub use ids::Stream;
pub use ids::Term;
pub use ids::hash;
pub use ids::identity_hash;
pub use ids::rendezvous_weight;
pub use interference::INTERFERENCE_SETTINGS;
pub use interference::InterferenceControl;
pub use interference::InterferenceSettings;
pub use interference::Load as JobLoad;
pub use jobs::Job;
pub use jobs::JobKey;
pub use jobs::JobState;
pub use jobs::JobTable;
pub use jobs::Submission;
pub use jobs::TeamKey;
pub use layout::Group;
pub use layout::Layout;
pub use lease::Lease;
pub use lease::LeaseState;
pub use lease::Voter;
pub use limits::Limits;
pub use message::GrantVerdict;
pub use message::IntentVerdict;
pub use message::JobVerdict;
pub use message::Message;
pub use node::Handover;
pub use node::KeyHandover;
pub use node::Node;
pub use node::Status;
pub use notes::Code;
pub use notes::Note;
pub use placement::AttemptId;
pub use placement::HostEntry;
pub use placement::HostKey;
pub use placement::ReportedState;
pub use placement::Reservation;
pub use placement::StartAnswer;
pub use placement::StartOptions;
pub use placement::Task;
pub use placement::TaskEnd;
pub use placement::TaskKey;
pub use placement::TaskOrder;
pub use placement::TaskReport;
pub use placement::TaskState;
pub use placement::TaskUpdate;
pub use placement::WorkerCall;
pub use placement::WorkerCell;
pub use placement::WorkerReport;
pub use placement::WorkerTiming;
pub use record::Batch;
pub use record::BatchFilter;
pub use record::ConfigChange;
pub use record::FailureCounts;
pub use record::JobEnd;
pub use record::JobSpec;
pub use record::Outcome;
pub use record::Record;
pub use retry::Budget;
pub use slots::Bounds;
pub use slots::GrantKey;
pub use slots::GrantOutcome;
pub use slots::InstanceKey;
pub use slots::SlotRelease;
pub use slots::SlotRequest;
pub use slots::UpstreamCell;
pub use slots::Verdict;
pub use writer::Appends;
pub use writer::Step;
pub use writer::Writer;
