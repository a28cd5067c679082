//! The parts of the stream of jobs, followed together.
//!
//! A part takes its appends one by one and may be away while others are well. A job may
//! stand in any part, so a host that finds one slow or away uses another; whoever reads
//! reads all of them.

use crate::event::Action;
use crate::event::Stream;
use crate::tail::Tail;

/// Tails of all parts.
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

    /// Gives the number of parts.
    pub(crate) fn partitions(&self) -> u8 {
        self.tails.len() as u8
    }

    pub(crate) fn tail(&self, partition: u8) -> Option<&Tail> {
        self.tails.get(usize::from(partition))
    }

    pub(crate) fn tail_mut(&mut self, partition: u8) -> Option<&mut Tail> {
        self.tails.get_mut(usize::from(partition))
    }

    /// Tells whether some part was loaded, so that jobs can be taken in.
    pub(crate) fn is_usable(&self) -> bool {
        self.tails.iter().any(Tail::is_loaded)
    }

    /// Tells whether reads sent at `since_ms` or later have reached the end of all parts.
    pub(crate) fn is_fresh_since(&self, since_ms: u64) -> bool {
        self.tails.iter().all(|tail| tail.is_fresh_since(since_ms))
    }

    /// Tells whether reads sent after the given ticket have reached the end of all parts.
    pub(crate) fn is_fresh_after(&self, ticket: u64) -> bool {
        self.tails.iter().all(|tail| tail.is_fresh_after(ticket))
    }

    /// Reads all parts that were not read to their end since the given ticket.
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

    /// Gives when the newest answer came.
    pub(crate) fn answered_ms(&self) -> Option<u64> {
        self.tails.iter().filter_map(|tail| tail.answered_ms).max()
    }

    /// Notes since when the store answers this host.
    pub(crate) fn record_contact(&mut self, contact_ms: u64) {
        for tail in &mut self.tails {
            tail.record_contact(contact_ms);
        }
    }

    /// Makes what is known older by a time that the steady clock does not show.
    pub(crate) fn age_by(&mut self, ms: u64) {
        for tail in &mut self.tails {
            tail.increase_age(ms);
        }
    }

    /// Goes on loading what is not loaded yet.
    pub(crate) fn load(&mut self, now_ms: u64, tickets: &mut u64, actions: &mut Vec<Action>) {
        for tail in &mut self.tails {
            tail.load(now_ms, tickets, actions);
        }
    }

    /// Reads all parts that were not read to their end since `since_ms`.
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

    /// Keeps one read of each part under way that waits for a record.
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

    /// Reads each part beside the read that waits for its records, where that is overdue.
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
