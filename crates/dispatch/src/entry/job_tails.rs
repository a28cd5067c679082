//! Tails of all partitions of the stream of jobs.
//!
//! A partition executes its appends one by one, and may be unavailable while others work. A job may
//! be stored in any partition, so a host that finds one slow or unavailable uses another, and every
//! reader reads all of them.

use crate::event::Action;
use crate::event::Stream;
use crate::tail::Tail;

/// Tails of all partitions.
#[derive(Debug)]
pub(crate) struct JobTails {
    tails: Vec<Tail>,
}

impl JobTails {
    pub(crate) fn new(partitions: u8, salt: u64) -> Self {
        let mut tails = Vec::new();
        for partition in 0..partitions.max(1) {
            tails.push(Tail::new(Stream::Jobs(partition), salt));
        }
        Self { tails }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Tail> {
        self.tails.iter()
    }

    /// Returns the number of partitions.
    pub(crate) fn partitions(&self) -> u8 {
        self.tails.len() as u8
    }

    pub(crate) fn tail(&self, partition: u8) -> Option<&Tail> {
        self.tails.get(usize::from(partition))
    }

    pub(crate) fn tail_mut(&mut self, partition: u8) -> Option<&mut Tail> {
        self.tails.get_mut(usize::from(partition))
    }

    /// Returns whether any partition is loaded, so that jobs can be accepted.
    pub(crate) fn is_usable(&self) -> bool {
        self.tails.iter().any(Tail::is_loaded)
    }

    /// Returns whether reads sent at `since_ms` or later have reached the end of all partitions.
    pub(crate) fn is_fresh_since(&self, since_ms: u64) -> bool {
        self.tails.iter().all(|tail| tail.is_fresh_since(since_ms))
    }

    /// Returns whether reads sent after the given ticket have reached the end of all partitions.
    pub(crate) fn is_fresh_after(&self, ticket: u64) -> bool {
        self.tails.iter().all(|tail| tail.is_fresh_after(ticket))
    }

    /// Reads all partitions that no read sent after the given ticket has read to the end.
    pub(crate) fn read_now_after(
        &mut self,
        ticket: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        for tail in &mut self.tails {
            if !tail.is_fresh_after(ticket) {
                tail.read_now_after(ticket, now_ms, tickets, actions);
            }
        }
    }

    /// Returns the time of the newest answer.
    pub(crate) fn answered_ms(&self) -> Option<u64> {
        self.tails.iter().filter_map(|tail| tail.answered_ms).max()
    }

    /// Records since when the store is reachable from this host.
    pub(crate) fn record_contact(&mut self, contact_ms: u64) {
        for tail in &mut self.tails {
            tail.record_contact(contact_ms);
        }
    }

    /// Adds to the age of the data a time that the steady clock did not count.
    pub(crate) fn age_by(&mut self, ms: u64) {
        for tail in &mut self.tails {
            tail.increase_age(ms);
        }
    }

    /// Continues to load the partitions that are not loaded yet.
    pub(crate) fn load(&mut self, now_ms: u64, tickets: &mut u64, actions: &mut Vec<Action>) {
        for tail in &mut self.tails {
            tail.load(now_ms, tickets, actions);
        }
    }

    /// Continues to load them as [`Tail::load_as_owner`] does.
    pub(crate) fn load_as_owner(
        &mut self,
        link_bytes_per_s: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        for tail in &mut self.tails {
            tail.load_as_owner(link_bytes_per_s, now_ms, tickets, actions);
        }
    }

    /// Reads all partitions that no read sent at `since_ms` or later has read to the end.
    pub(crate) fn read_now(
        &mut self,
        since_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        for tail in &mut self.tails {
            if !tail.is_fresh_since(since_ms) {
                tail.read_now(since_ms, now_ms, tickets, actions);
            }
        }
    }

    /// Keeps one long poll per partition pending.
    pub(crate) fn long_poll(
        &mut self,
        wait_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        for tail in &mut self.tails {
            tail.long_poll(wait_ms, now_ms, tickets, actions);
        }
    }

    /// Reads each partition whose long poll is overdue with a read beside it.
    pub(crate) fn confirm(
        &mut self,
        wait_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        for tail in &mut self.tails {
            tail.read_if_overdue(wait_ms, now_ms, tickets, actions);
        }
    }
}
