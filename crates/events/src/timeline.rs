//! Events of several processes in a single order.

use crate::clock::Stamp;
use serde::Deserialize;
use serde::Serialize;
use std::collections::VecDeque;

/// One recorded event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Time of the event, by the hybrid logical clock.
    pub stamp: Stamp,
    /// Name of the process that recorded it.
    pub process: Box<str>,
    /// Number of the event in the catalogue of events.
    pub code: u16,
    /// Name of the event.
    pub name: Box<str>,
    /// Request, job, cell, member or address that it is about.
    pub subject: Box<str>,
    /// Details, as text.
    pub detail: Box<str>,
}

/// Retains the latest events of one process.
#[derive(Debug, Clone)]
pub struct Recorder {
    capacity: usize,
    entries: VecDeque<Entry>,
}

impl Recorder {
    /// Creates a recorder that retains `capacity` events.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: VecDeque::new(),
        }
    }

    /// Adds an event; drops the oldest one beyond the capacity.
    pub fn add(&mut self, entry: Entry) {
        self.entries.push_back(entry);
        if self.entries.len() > self.capacity {
            self.entries.pop_front();
        }
    }

    /// Returns the events, oldest first.
    pub fn list(&self) -> Vec<Entry> {
        self.entries.iter().cloned().collect()
    }
}

/// Merges the events of several processes, in the order of their stamps.
pub fn merge(lists: Vec<Vec<Entry>>) -> Vec<Entry> {
    let mut merged: Vec<Entry> = lists.into_iter().flatten().collect();
    merged.sort_by(|left, right| {
        let left = (left.stamp, &left.process, left.code);
        left.cmp(&(right.stamp, &right.process, right.code))
    });
    merged
}

/// Returns the events about one request, job, cell or member.
pub fn filter_by_subject(entries: &[Entry], subject: &str) -> Vec<Entry> {
    let about = |entry: &&Entry| &*entry.subject == subject || entry.detail.contains(subject);
    entries.iter().filter(about).cloned().collect()
}
