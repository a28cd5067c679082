//! Events of all processes: a clock that orders them, logs that record them, and a
//! timeline that merges them.
//!
//! ```
//! use goldcrestway_events::Clock;
//!
//! let mut first = Clock::default();
//! let mut second = Clock::default();
//! let sent = first.tick(1_000);
//! // The wall clock of the second process is behind, but its event is later.
//! let received = second.receive(990, sent);
//! assert!(received > sent);
//! ```

mod clock;
mod logging;
mod page;
mod timeline;

pub use clock::Clock;
pub use clock::Stamp;
pub use logging::Style;
pub use logging::start_bounded_logging;
pub use logging::start_logging;
pub use logging::write_event;
pub use page::render_page;
pub use timeline::Entry;
pub use timeline::Recorder;
pub use timeline::filter_by_subject;
pub use timeline::merge;
