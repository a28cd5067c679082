//! Numbered events as logs, through `tracing`.

use crate::timeline::Entry;
use std::io;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;

/// How logs are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Style {
    /// A line for people.
    Readable,
    /// A JSON object a line.
    Json,
}

/// Starts logging to standard error. Later calls in one process have no effect.
pub fn start_logging(style: Style) {
    let builder = tracing_subscriber::fmt()
        .with_writer(io::stderr)
        .with_target(false);
    // An error means that logging has started already, which is fine.
    let _ = match style {
        Style::Readable => builder.try_init(),
        Style::Json => builder.json().try_init(),
    };
}

/// Lines that wait to be written at most. A reader that is slower loses lines, and never
/// holds the process up.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Starts logging JSON lines to standard output from a thread of its own, so that a slow
/// reader does not hold the process up. The guard writes what waits when it is dropped.
pub fn start_bounded_logging() -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(io::stdout());
    // An error means that logging has started already, which is fine.
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
