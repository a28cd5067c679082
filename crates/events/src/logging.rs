//! Writes numbered events to the log, through `tracing`.

use crate::timeline::Entry;
use std::io;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;

/// Format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// One readable line per event.
    Readable,
    /// One JSON object per line.
    Json,
}

/// Starts logging to standard error. Later calls in one process have no effect.
pub fn start_logging(style: Style) {
    let builder = tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_target(false);
    // An error only means that logging was started before.
    let _ = match style {
        Style::Readable => builder.try_init(),
        Style::Json => builder.json().try_init(),
    };
}

/// Number of lines that may wait to be written. If the reader is slower, lines are dropped
/// and the process is not blocked.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Starts logging JSON lines to standard output from a thread of its own, so that a slow
/// reader does not block the process. The guard writes the waiting lines when it is dropped.
pub fn start_bounded_logging() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(io::stdout());
    // An error only means that logging was started before.
    let _ = tracing_subscriber::fmt()
        .with_writer(writer)
        .with_target(false)
        .json()
        .try_init();
    guard
}

/// Writes one event to the log.
pub fn write_event(entry: &Entry) {
    tracing::info!(
        event = entry.code,
        process = &*entry.process,
        subject = &*entry.subject,
        clock = entry.stamp.0,
        "{} {}",
        entry.name,
        entry.detail
    );
}
