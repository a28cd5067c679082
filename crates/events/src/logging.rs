//! Numbered events as logs, through `tracing`.

use crate::timeline::Entry;
use std::io;

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
