//! Follows a keyed stream: loads the newest record of each key, then reads the records after it.
//!
//! Long polls return new records. Since a lost read looks like a stream without new records, the
//! tail also tracks the age of its view: the time since the stream was last known to be read to its
//! end.

mod age;
mod backoff;
mod failures;
mod flight;
mod latency;

use crate::event::Action;
use crate::event::LoadOutcome;
use crate::event::ReadFault;
use crate::event::ReadOutcome;
use crate::event::ReadTimeouts;
use crate::event::StoredRecord;
use crate::event::Stream;
use crate::tail::age::Age;
use crate::tail::backoff::Backoff;
use crate::tail::backoff::load_timeouts;
use crate::tail::backoff::may_load;
use crate::tail::backoff::may_replace_load;
pub(crate) use crate::tail::failures::Failure;
use crate::tail::failures::Failures;
use crate::tail::flight::Flight;
use crate::tail::flight::brief_timeouts;
use crate::tail::flight::timeouts;
use crate::tail::latency::Latency;
use std::fmt::Display;
use std::fmt::Formatter;

/// Delay after a failed read, which limits the load on a store in trouble.
const RETRY_MS: u64 = 250;
/// Time by which the answer to a long poll may be overdue before another read is sent beside it:
/// three ticks of an idle host.
const OVERDUE_MS: u64 = 150;
/// Multiple of the typical latency that is added to [`OVERDUE_MS`] and to the timeout of such a
/// read.
const SLOW_FACTOR: u64 = 2;
/// Interval between reads that check whether the store is available again. A host recovers later
/// than the store: by 0.48 s on average with the ordinary reads of all streams, by 0.08 s with
/// these.
const CHECK_INTERVAL_MS: u64 = 200;
/// Maximum number of concurrent reads of a stream that the store is to answer immediately. Each
/// query of a caller needs a read that was sent after it. Without a limit, reads accumulated during
/// an outage, up to 131 calls of one host, and delayed the first ones after it.
const MAX_READS: usize = 3;

/// Result of a read or of a load.
#[derive(Debug, Default)]
pub(crate) struct Update {
    /// New records, in order.
    pub(crate) records: Vec<StoredRecord>,
    /// The whole stream was loaded: keys that are not among the records have been deleted.
    pub(crate) is_reloaded: bool,
    /// Age of the view of the stream just before this result.
    pub(crate) previous_age_ms: Option<u64>,
    /// Report of a failed read, if one is due.
    pub(crate) failure: Option<Failure>,
}

impl Display for Tail {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:?}", self.stream)
    }
}

/// A keyed stream that a host follows.
#[derive(Debug)]
pub(crate) struct Tail {
    stream: Stream,
    /// Loads return the keys after this one; all keys if it is empty.
    after_key: Box<str>,
    /// Offset of the next record to read; `None` until loaded.
    next_offset: Option<u64>,
    /// While loading: records so far, end of the stream at the first page, last key.
    loading: Option<(Vec<StoredRecord>, u64, Box<str>)>,
    /// Loads under way, all of the same page; only the first answer is used.
    loads: Vec<Flight>,
    backoff: Backoff,
    /// Number of records that loads have returned so far.
    loaded_records: usize,
    reads: Vec<Flight>,
    /// Time since which the store has answered this host without an interruption. Reads that were
    /// sent earlier may be lost.
    contact_since_ms: u64,
    retry_ms: u64,
    /// Earliest time of the next check whether the store is available.
    next_check_ms: u64,
    age: Age,
    /// When the newest answer arrived.
    pub(crate) answered_ms: Option<u64>,
    latency: Latency,
    failures: Failures,
}

impl Tail {
    /// Creates the tail of a whole stream. The salt must differ between hosts.
    pub(crate) fn new(stream: Stream, salt: u64) -> Self {
        Self::after_key(stream, "", salt)
    }

    /// Creates the tail of a stream of which only the keys after the given one are loaded.
    pub(crate) fn after_key(stream: Stream, key: &str, salt: u64) -> Self {
        Self {
            stream,
            after_key: key.into(),
            next_offset: None,
            loading: None,
            loads: Vec::new(),
            backoff: Backoff::new(salt),
            loaded_records: 0,
            reads: Vec::new(),
            contact_since_ms: 0,
            retry_ms: 0,
            next_check_ms: 0,
            age: Age::default(),
            answered_ms: None,
            latency: Latency::default(),
            failures: Failures::default(),
        }
    }

    /// Returns the age of the view: all records that were stored before have been read. `None` if
    /// the stream was never read to its end.
    pub(crate) fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.age.at(now_ms)
    }

    pub(crate) fn is_loaded(&self) -> bool {
        self.next_offset.is_some()
    }

    /// Returns whether the stream is being loaded and no load is late or has failed.
    pub(crate) fn is_loading_on_time(&self) -> bool {
        self.next_offset.is_none() && !self.backoff.has_failed() && self.loads.len() < 2
    }

    /// Returns the number of records that loads have returned so far.
    pub(crate) fn loaded_records(&self) -> usize {
        self.loaded_records
    }

    /// Returns the offset of the next record to read; 0 until loaded.
    pub(crate) fn next_offset(&self) -> u64 {
        self.next_offset.unwrap_or(0)
    }

    /// Returns the time up to which the stream was read: all records stored by then are known.
    pub(crate) fn known_ms(&self) -> Option<u64> {
        self.age.known_ms()
    }

    /// Returns whether all records that were stored by `since_ms` have been read.
    pub(crate) fn is_fresh_since(&self, since_ms: u64) -> bool {
        self.known_ms().is_some_and(|known_ms| known_ms >= since_ms)
    }

    /// Returns whether a read that was sent after the given ticket has reached the end of the
    /// stream.
    pub(crate) fn is_fresh_after(&self, ticket: u64) -> bool {
        self.age.is_after(ticket)
    }

    /// Returns whether a read sent at `since_ms` or later has failed.
    pub(crate) fn has_failed_since(&self, since_ms: u64) -> bool {
        self.failures.any_since(since_ms)
    }

    /// Returns the minimum latency of recent answers.
    pub(crate) fn typical_latency_ms(&self) -> u64 {
        self.latency.typical_ms()
    }

    /// Returns the moving average of the latency of reads that are answered immediately.
    pub(crate) fn average_latency_ms(&self) -> u64 {
        self.latency.average_ms()
    }

    /// Returns the time by which timeouts are extended for a slow store.
    fn slow_ms(&self) -> u64 {
        SLOW_FACTOR * self.typical_latency_ms()
    }

    /// Records the time since which the store has answered this host. Failures before an outage
    /// ended do not delay the next read.
    pub(crate) fn record_contact(&mut self, contact_since_ms: u64) {
        if contact_since_ms > self.contact_since_ms {
            self.retry_ms = 0;
        }
        self.contact_since_ms = contact_since_ms;
    }

    /// Adds time to the age that the steady clock has not counted, as while the host was suspended.
    /// The answers to reads under way may be as old.
    pub(crate) fn increase_age(&mut self, ms: u64) {
        self.age.increase(ms);
        for flight in self.reads.iter_mut().chain(&mut self.loads) {
            flight.precedes_suspension = true;
        }
    }

    /// Sends a load of the next page if one is due.
    pub(crate) fn load(&mut self, now_ms: u64, tickets: &mut u64, actions: &mut Vec<Action>) {
        if self.next_offset.is_some() || now_ms < self.retry_ms {
            return;
        }
        // A load that was sent before the store recovered may be lost.
        self.loads
            .retain(|flight| flight.sent_ms >= self.contact_since_ms);
        if !may_load(&self.loads, now_ms) {
            return;
        }
        let after = match &self.loading {
            Some((_, _, last)) => last.clone(),
            None => self.after_key.clone(),
        };
        *tickets += 1;
        self.loads.push(Flight::new(*tickets, now_ms, 0));
        actions.push(Action::Load {
            ticket: *tickets,
            stream: self.stream,
            after,
            timeouts: load_timeouts(),
        });
    }

    /// Sends a load of the next page if one is due, for a host that is the owner or about to own: it
    /// replaces loads that stay without an answer.
    pub(crate) fn load_as_owner(
        &mut self,
        link_bytes_per_s: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        if may_replace_load(&self.loads, link_bytes_per_s, now_ms) {
            self.loads.remove(1);
        }
        self.load(now_ms, tickets, actions);
    }

    /// Sends a read that is answered immediately, unless one sent at `since_ms` or later is under
    /// way.
    pub(crate) fn read_now(
        &mut self,
        since_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let is_enough = |flight: &Flight| !flight.is_long_poll() && flight.sent_ms >= since_ms;
        self.read_unless(is_enough, timeouts(0), 0, now_ms, tickets, actions);
    }

    /// Sends a read that is answered immediately, unless one sent after the given ticket is under
    /// way.
    pub(crate) fn read_now_after(
        &mut self,
        ticket: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let is_enough = |flight: &Flight| !flight.is_long_poll() && flight.ticket > ticket;
        self.read_unless(is_enough, timeouts(0), 0, now_ms, tickets, actions);
    }

    /// Sends a long poll unless one is under way. A long poll from before the store recovered may
    /// be lost and does not count.
    pub(crate) fn long_poll(
        &mut self,
        wait_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let contact_since_ms = self.contact_since_ms;
        let is_enough =
            |flight: &Flight| flight.is_long_poll() && flight.sent_ms >= contact_since_ms;
        let timeouts = timeouts(wait_ms);
        self.read_unless(is_enough, timeouts, wait_ms, now_ms, tickets, actions);
    }

    /// Sends an immediate read beside the long poll once the answer to that is overdue, as it may
    /// be lost. None is sent while an earlier one from after the store's recovery is under way.
    pub(crate) fn read_if_overdue(
        &mut self,
        wait_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let slow_ms = self.slow_ms();
        let age_ms = self.age_ms(now_ms);
        if age_ms.is_some_and(|age_ms| age_ms <= wait_ms + OVERDUE_MS + slow_ms) {
            return;
        }
        let timeouts = brief_timeouts(slow_ms);
        let contact_since_ms = self.contact_since_ms;
        let is_enough =
            |flight: &Flight| !flight.is_long_poll() && flight.sent_ms >= contact_since_ms;
        self.read_unless(is_enough, timeouts, 0, now_ms, tickets, actions);
    }

    /// Counts the reads under way that the store is to answer immediately, without those from
    /// before the store recovered, which may be lost.
    fn immediate_reads(&self) -> usize {
        let is_immediate =
            |flight: &&Flight| !flight.is_long_poll() && flight.sent_ms >= self.contact_since_ms;
        self.reads.iter().filter(is_immediate).count()
    }

    /// Sends a read at a fixed interval, to check whether the store is available again.
    pub(crate) fn check_store(
        &mut self,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let is_due = now_ms >= self.next_check_ms && self.immediate_reads() < MAX_READS;
        // `retry_ms` is ignored: a read that has just failed does not delay a check.
        if self.next_offset.is_none() || !is_due {
            return;
        }
        self.next_check_ms = now_ms + CHECK_INTERVAL_MS;
        let timeouts = brief_timeouts(self.slow_ms());
        self.read(timeouts, 0, now_ms, tickets, actions);
    }

    /// Sends a read, unless one under way is enough or none may be sent now.
    fn read_unless(
        &mut self,
        is_enough: impl Fn(&Flight) -> bool,
        timeouts: ReadTimeouts,
        wait_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        if self.next_offset.is_none() || now_ms < self.retry_ms || self.reads.iter().any(is_enough)
        {
            return;
        }
        if wait_ms == 0 && self.immediate_reads() >= MAX_READS {
            return;
        }
        self.read(timeouts, wait_ms, now_ms, tickets, actions);
    }

    fn read(
        &mut self,
        timeouts: ReadTimeouts,
        wait_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        *tickets += 1;
        self.reads.push(Flight::new(*tickets, now_ms, wait_ms));
        actions.push(Action::Read {
            ticket: *tickets,
            stream: self.stream,
            from: self.next_offset(),
            wait_ms,
            timeouts,
        });
    }

    /// Handles the outcome of a read. Returns `None` if it is not a read of this tail.
    pub(crate) fn handle_read(
        &mut self,
        ticket: u64,
        now_ms: u64,
        outcome: &mut ReadOutcome,
    ) -> Option<Update> {
        let index = self
            .reads
            .iter()
            .position(|flight| flight.ticket == ticket)?;
        let flight = self.reads.remove(index);
        let mut update = Update {
            previous_age_ms: self.age_ms(now_ms),
            ..Update::default()
        };
        match std::mem::replace(outcome, ReadOutcome::Trimmed) {
            ReadOutcome::Failed(fault) => update.failure = self.on_failure(flight, fault, now_ms),
            // The store has trimmed the records to read next, but it retains the newest record of
            // each key, so the stream is loaded again.
            ReadOutcome::Trimmed => {
                self.next_offset = None;
                self.loading = None;
            }
            ReadOutcome::Records { records, end } => {
                self.answered_ms = Some(now_ms);
                self.latency.record(flight, now_ms);
                let is_empty = records.is_empty();
                let Some(mut next_offset) = self.next_offset else {
                    return Some(update);
                };
                for record in records {
                    if record.offset < next_offset {
                        continue;
                    }
                    next_offset = record.offset + 1;
                    update.records.push(record);
                }
                self.next_offset = Some(next_offset);
                if next_offset >= end {
                    self.age.record_end(flight, is_empty, now_ms);
                }
            }
        }
        Some(update)
    }

    /// Records a failed read, and returns the report if one is due.
    fn on_failure(&mut self, flight: Flight, fault: ReadFault, now_ms: u64) -> Option<Failure> {
        // The failure of a read from before the store recovered says nothing about its present
        // state.
        if flight.sent_ms >= self.contact_since_ms {
            self.retry_ms = now_ms + RETRY_MS;
        }
        self.failures.record(flight, fault, now_ms)
    }

    /// Handles the outcome of loading a page. Returns `None` if it is not a load of this tail.
    pub(crate) fn handle_page(
        &mut self,
        ticket: u64,
        now_ms: u64,
        outcome: &mut LoadOutcome,
    ) -> Option<Update> {
        let index = self
            .loads
            .iter()
            .position(|flight| flight.ticket == ticket)?;
        let flight = self.loads.remove(index);
        let mut update = Update {
            previous_age_ms: self.age_ms(now_ms),
            ..Update::default()
        };
        let page = match std::mem::replace(outcome, Err(ReadFault::NoAnswer)) {
            Ok(page) => page,
            Err(fault) => {
                let delay_ms = self.backoff.record_failure(flight.ticket);
                update.failure = self.on_failure(flight, fault, now_ms);
                self.retry_ms = self.retry_ms.max(now_ms + delay_ms);
                return Some(update);
            }
        };
        self.backoff.record_success();
        self.loads.clear();
        self.loaded_records += page.records.len();
        self.answered_ms = Some(now_ms);
        let (mut records, first_end, last) =
            self.loading
                .take()
                .unwrap_or((Vec::new(), page.end, "".into()));
        let last = page
            .records
            .last()
            .map_or(last, |record| record.key.clone());
        records.extend(page.records);
        if page.has_more {
            self.loading = Some((records, first_end, last));
            return Some(update);
        }
        // The pages are not a consistent snapshot, so reading resumes at the end of the stream as
        // of the first page.
        self.next_offset = Some(first_end);
        if first_end == page.end {
            self.age.record_end(flight, false, now_ms);
        }
        update.records = records;
        update.is_reloaded = true;
        Some(update)
    }
}
