//! Events of many processes in one order.

use crate::clock::Stamp;
use serde::Deserialize;
use serde::Serialize;
use std::collections::VecDeque;

/// One event as it is kept and passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// When, by the hybrid clock.
    pub stamp: Stamp,
    /// Which process.
    pub process: Box<str>,
    /// Number of the event, from the catalogue.
    pub code: u16,
    /// Name of the event.
    pub name: Box<str>,
    /// What it is about.
    pub subject: Box<str>,
    /// Details in words.
    pub detail: Box<str>,
}

/// Keeps the latest events of one process.
#[derive(Debug, Clone)]
pub struct Recorder {
    capacity: usize,
    entries: VecDeque<Entry>,
}

impl Recorder {
    /// Makes a recorder for `most` events.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: VecDeque::new(),
        }
    }

    /// Adds an event and drops the oldest beyond the bound.
    pub fn add(&mut self, entry: Entry) {
        self.entries.push_back(entry);
        if self.entries.len() > self.capacity {
            self.entries.pop_front();
        }
    }

    /// Lists the events from oldest to latest.
    pub fn list(&self) -> Vec<Entry> {
        self.entries.iter().cloned().collect()
    }
}

/// Merges the events of several processes into one order.
pub fn merge(lists: Vec<Vec<Entry>>) -> Vec<Entry> {
    let mut merged: Vec<Entry> = lists.into_iter().flatten().collect();
    merged.sort_by(|left, right| {
        let left = (left.stamp, &left.process, left.code);
        left.cmp(&(right.stamp, &right.process, right.code))
    });
    merged
}

/// Keeps the events about one request, job, cell or member.
pub fn filter_by_subject(entries: &[Entry], subject: &str) -> Vec<Entry> {
    let about = |entry: &&Entry| &*entry.subject == subject || entry.detail.contains(subject);
    entries.iter().filter(about).cloned().collect()
}
