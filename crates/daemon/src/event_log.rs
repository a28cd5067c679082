//! The events of one process: stamped, written to the log, and retained for the
//! timeline.

use goldcrestway_core::Note;
use goldcrestway_events::Clock;
use goldcrestway_events::Entry;
use goldcrestway_events::Recorder;
use goldcrestway_events::Stamp;
use goldcrestway_events::write_event;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Returns the wall clock in milliseconds since the Unix epoch. Only stamps and
/// incarnations use it.
pub(crate) fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

/// Hybrid logical clock and retained events of one process.
pub(crate) struct EventLog {
    process: Box<str>,
    is_logging: bool,
    inner: Mutex<(Clock, Recorder)>,
}

impl EventLog {
    /// Creates a log without events that retains the latest `capacity` ones.
    pub(crate) fn new(process: &str, capacity: usize, is_logging: bool) -> Self {
        Self {
            process: process.into(),
            is_logging,
            inner: Mutex::new((Clock::default(), Recorder::new(capacity))),
        }
    }

    fn lock(&self) -> MutexGuard<'_, (Clock, Recorder)> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the stamp for a message that is sent now.
    pub(crate) fn stamp(&self) -> Stamp {
        self.lock().0.tick(wall_ms())
    }

    /// Advances the clock past the stamp of a message that has arrived.
    pub(crate) fn receive(&self, sent: Stamp) {
        self.lock().0.receive(wall_ms(), sent);
    }

    /// Records an event.
    pub(crate) fn record(&self, note: &Note) {
        let mut inner = self.lock();
        let entry = Entry {
            stamp: inner.0.tick(wall_ms()),
            process: self.process.clone(),
            code: note.code.number(),
            name: note.code.name().into(),
            subject: note.subject.clone(),
            detail: note.detail.clone(),
        };
        if self.is_logging {
            write_event(&entry);
        }
        inner.1.add(entry);
    }

    /// Returns the retained events, oldest first.
    pub(crate) fn list(&self) -> Vec<Entry> {
        self.lock().1.list()
    }
}
