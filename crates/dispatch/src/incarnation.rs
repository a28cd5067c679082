//! Incarnations of workers, which tell apart the processes that have run under one id.

use std::fmt;

/// One start of a worker. A worker may restart under its previous id; the new process has none of
/// the runs and none of the state of the previous one.
///
/// Incarnations can be compared for equality but have no order: if the worker's clock was set
/// back, a later incarnation has the lower time. Only the worker's own answers show which
/// incarnation runs now.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Incarnation(Option<u64>);

impl Incarnation {
    /// The incarnation of a worker that reports none, such as one that never reuses an id.
    pub const UNKNOWN: Self = Self(None);

    /// Creates an incarnation from the time of the start, in milliseconds since 1970 by the
    /// worker's clock.
    pub fn new(started_wall_ms: u64) -> Self {
        Self(Some(started_wall_ms))
    }

    /// Returns the time of the start in milliseconds since 1970, by the worker's clock; `None` if
    /// it is unknown.
    pub fn started_wall_ms(self) -> Option<u64> {
        self.0
    }

    /// Returns whether both incarnations are known and are the same.
    pub fn is_same_as(self, other: Self) -> bool {
        self.0.is_some() && self.0 == other.0
    }

    /// Returns whether both incarnations are known and they differ.
    pub fn differs_from(self, other: Self) -> bool {
        matches!((self.0, other.0), (Some(one), Some(two)) if one != two)
    }
}

impl From<Option<u64>> for Incarnation {
    fn from(started_wall_ms: Option<u64>) -> Self {
        Self(started_wall_ms)
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0 {
            Some(started_wall_ms) => write!(formatter, "{started_wall_ms}"),
            None => formatter.write_str("unknown"),
        }
    }
}
