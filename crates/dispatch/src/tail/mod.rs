//! Following a keyed stream: load the newest record of each key, then read on.
//!
//! Reads that wait at the store bring what is new; what is known has an age all the same, as a
//! read may be lost and then nothing tells that from a stream in which nothing happens.

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
pub(crate) use crate::tail::failures::Failure;
use crate::tail::failures::Failures;
use crate::tail::flight::Flight;
use crate::tail::flight::brief_timeouts;
use crate::tail::flight::timeouts;
use crate::tail::latency::Latency;
use std::fmt::Display;
use std::fmt::Formatter;

/// Pause after a failed read, which keeps a store in trouble from being pressed.
const RETRY_MS: u64 = 250;
/// Time by which the answer to a read that waits may be overdue before another read goes out
/// beside it: three turns of a host that has nothing else to do.
const OVERDUE_MS: u64 = 150;
/// How many times what answers take may be added to that, and to the patience with such a
/// read.
const SLOW_FACTOR: u64 = 2;
/// Pause between two reads that only find out whether the store is back. A host is back as
/// much later than the store: 0.48 s on average with reads of all streams, 0.08 s with these.
const PROBE_GAP_MS: u64 = 200;
/// Reads of a stream that are to be answered at once and are under way, at most. Each question
/// of a caller needs one that was sent after it, and while nothing is answered they would pile
/// up: 131 calls of one host, which kept the first ones after an outage waiting.
const MAX_READS: usize = 3;

/// What came of a read.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// New records, in order.
    pub(crate) records: Vec<StoredRecord>,
    /// The state was loaded anew: keys that are not among the records are gone.
    pub(crate) is_reloaded: bool,
    /// How old what was known of the stream was when the read ended.
    pub(crate) previous_age_ms: Option<u64>,
    /// The read brought nothing.
    pub(crate) failure: Option<Failure>,
}

impl Display for Tail {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:?}", self.stream)
    }
}

/// One stream that is followed.
#[derive(Debug)]
pub(crate) struct Tail {
    stream: Stream,
    /// Loads bring the keys behind this one; all if it is empty.
    after_key: Box<str>,
    /// Offset from which to read on; `None` until loaded.
    next: Option<u64>,
    /// While loading: records so far, where the stream ended first, last key.
    loading: Option<(Vec<StoredRecord>, u64, Box<str>)>,
    /// Loads under way, all of the same page; the first answer counts.
    loads: Vec<Flight>,
    backoff: Backoff,
    /// Records that loads have brought so far.
    arrived: usize,
    reads: Vec<Flight>,
    /// Since when the store answers this host. Reads from before may have been dropped.
    contact_ms: u64,
    retry_ms: u64,
    /// When the next probe may go out.
    probe_ms: u64,
    age: Age,
    /// When the newest answer came.
    pub(crate) answered_ms: Option<u64>,
    latency: Latency,
    failures: Failures,
}

impl Tail {
    /// Makes the tail of a whole stream. The salt must differ between hosts.
    pub(crate) fn new(stream: Stream, salt: u64) -> Self {
        Self::after_key(stream, "", salt)
    }

    /// Makes the tail of a stream of which only keys behind the given one are loaded.
    pub(crate) fn after_key(stream: Stream, key: &str, salt: u64) -> Self {
        Self {
            stream,
            after_key: key.into(),
            next: None,
            loading: None,
            loads: Vec::new(),
            backoff: Backoff::new(salt),
            arrived: 0,
            reads: Vec::new(),
            contact_ms: 0,
            retry_ms: 0,
            probe_ms: 0,
            age: Age::default(),
            answered_ms: None,
            latency: Latency::default(),
            failures: Failures::default(),
        }
    }

    /// Gives how long ago it was known, at the latest, that nothing newer stood there.
    pub(crate) fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.age.at(now_ms)
    }

    pub(crate) fn is_loaded(&self) -> bool {
        self.next.is_some()
    }

    /// Tells whether a load is under way that the store has not failed to answer.
    pub(crate) fn is_arriving(&self) -> bool {
        self.next.is_none() && !self.backoff.has_failed() && self.loads.len() < 2
    }

    /// Gives how many records loads have brought so far.
    pub(crate) fn arrived(&self) -> usize {
        self.arrived
    }

    /// Gives the offset of the next record to read.
    pub(crate) fn next(&self) -> u64 {
        self.next.unwrap_or(0)
    }

    /// Gives up to when it is certain what stood in the stream.
    pub(crate) fn known_ms(&self) -> Option<u64> {
        self.age.known_ms()
    }

    /// Tells whether all that stood in the stream at `since_ms` has been read.
    pub(crate) fn is_fresh_since(&self, since_ms: u64) -> bool {
        self.known_ms().is_some_and(|known_ms| known_ms >= since_ms)
    }

    /// Tells whether a read that was sent after the given ticket has reached the end.
    pub(crate) fn is_fresh_after(&self, ticket: u64) -> bool {
        self.age.is_after(ticket)
    }

    /// Tells whether a read sent at `since_ms` or later has brought nothing.
    pub(crate) fn has_failed_since(&self, since_ms: u64) -> bool {
        self.failures.is_since(since_ms)
    }

    /// Gives what an answer takes at least, of late.
    pub(crate) fn typical_latency_ms(&self) -> u64 {
        self.latency.typical_ms()
    }

    /// Gives what reads without a wait take of late.
    pub(crate) fn average_latency_ms(&self) -> u64 {
        self.latency.average_ms()
    }

    fn slow_ms(&self) -> u64 {
        SLOW_FACTOR * self.typical_latency_ms()
    }

    /// Notes since when the store answers this host. Failures from before are no reason to
    /// wait with the next read.
    pub(crate) fn record_contact(&mut self, contact_ms: u64) {
        if contact_ms > self.contact_ms {
            self.retry_ms = 0;
        }
        self.contact_ms = contact_ms;
    }

    /// Makes what is known older by a time that the steady clock does not show. What reads
    /// under way bring may be from before that time, too.
    pub(crate) fn age_by(&mut self, ms: u64) {
        self.age.grow_by(ms);
        for flight in self.reads.iter_mut().chain(&mut self.loads) {
            flight.is_from_before = true;
        }
    }

    /// Goes on loading, if that is due.
    pub(crate) fn load(&mut self, now_ms: u64, tickets: &mut u64, actions: &mut Vec<Action>) {
        if self.next.is_some() || now_ms < self.retry_ms {
            return;
        }
        // One from before the store's return may have been dropped there.
        self.loads
            .retain(|flight| flight.sent_ms >= self.contact_ms);
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

    /// Reads at once, unless a read sent at `since_ms` or later is under way.
    pub(crate) fn read_now(
        &mut self,
        since_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let is_enough = |flight: &Flight| !flight.waits() && flight.sent_ms >= since_ms;
        self.read_unless(is_enough, timeouts(0), 0, now_ms, tickets, actions);
    }

    /// Reads at once, unless a read sent after the given ticket is under way.
    pub(crate) fn read_now_after(
        &mut self,
        ticket: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let is_enough = |flight: &Flight| !flight.waits() && flight.ticket > ticket;
        self.read_unless(is_enough, timeouts(0), 0, now_ms, tickets, actions);
    }

    /// Keeps one read under way that waits for a record. One from before the store's return may
    /// have been dropped there, and is not counted.
    pub(crate) fn long_poll(
        &mut self,
        wait_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let contact_ms = self.contact_ms;
        let is_enough = |flight: &Flight| flight.waits() && flight.sent_ms >= contact_ms;
        let timeouts = timeouts(wait_ms);
        self.read_unless(is_enough, timeouts, wait_ms, now_ms, tickets, actions);
    }

    /// Reads beside the read that waits, once that one should have been answered: it may be
    /// lost. A read that was sent since the store answers again is given its time.
    pub(crate) fn confirm(
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
        let contact_ms = self.contact_ms;
        let is_enough = |flight: &Flight| !flight.waits() && flight.sent_ms >= contact_ms;
        self.read_unless(is_enough, timeouts, 0, now_ms, tickets, actions);
    }

    /// Counts the reads under way that the store is to answer at once, without those from
    /// before its return: these may have been dropped there.
    fn short_reads(&self) -> usize {
        let is_short = |flight: &&Flight| !flight.waits() && flight.sent_ms >= self.contact_ms;
        self.reads.iter().filter(is_short).count()
    }

    /// Reads again and again, to find out whether the store is back.
    pub(crate) fn probe(&mut self, now_ms: u64, tickets: &mut u64, actions: &mut Vec<Action>) {
        let is_due = now_ms >= self.probe_ms && self.short_reads() < MAX_READS;
        // That a read has just failed is no reason to put a probe off.
        if self.next.is_none() || !is_due {
            return;
        }
        self.probe_ms = now_ms + PROBE_GAP_MS;
        let timeouts = brief_timeouts(self.slow_ms());
        self.read(timeouts, 0, now_ms, tickets, actions);
    }

    /// Reads, unless a read under way is enough or none may be sent now.
    fn read_unless(
        &mut self,
        is_enough: impl Fn(&Flight) -> bool,
        timeouts: ReadTimeouts,
        wait_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        if self.next.is_none() || now_ms < self.retry_ms || self.reads.iter().any(is_enough) {
            return;
        }
        if wait_ms == 0 && self.short_reads() >= MAX_READS {
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
            from: self.next(),
            wait_ms,
            timeouts,
        });
    }

    /// Takes in the end of a read, if it is one of this stream.
    pub(crate) fn handle_read(
        &mut self,
        ticket: u64,
        now_ms: u64,
        outcome: &mut ReadOutcome,
    ) -> Option<Progress> {
        let at = self
            .reads
            .iter()
            .position(|flight| flight.ticket == ticket)?;
        let flight = self.reads.remove(at);
        let mut progress = Progress {
            previous_age_ms: self.age_ms(now_ms),
            ..Progress::default()
        };
        match std::mem::replace(outcome, ReadOutcome::Trimmed) {
            ReadOutcome::Failed(fault) => progress.failure = self.fail(flight, fault, now_ms),
            // The history was dropped: the newest record of each key is still there.
            ReadOutcome::Trimmed => {
                self.next = None;
                self.loading = None;
            }
            ReadOutcome::Records { records, end } => {
                self.answered_ms = Some(now_ms);
                self.latency.note(flight, now_ms);
                let is_empty = records.is_empty();
                let Some(mut next) = self.next else {
                    return Some(progress);
                };
                for record in records {
                    if record.offset < next {
                        continue;
                    }
                    next = record.offset + 1;
                    progress.records.push(record);
                }
                self.next = Some(next);
                if next >= end {
                    self.age.record_end(flight, is_empty, now_ms);
                }
            }
        }
        Some(progress)
    }

    /// Notes a read that brought nothing, and gives what is to be said about it, if that is
    /// due.
    fn fail(&mut self, flight: Flight, fault: ReadFault, now_ms: u64) -> Option<Failure> {
        // What was dropped before the store's return says nothing of the store as it is now.
        if flight.sent_ms >= self.contact_ms {
            self.retry_ms = now_ms + RETRY_MS;
        }
        self.failures.note(flight, fault, now_ms)
    }

    /// Takes in a page, if it is one of this stream.
    pub(crate) fn handle_page(
        &mut self,
        ticket: u64,
        now_ms: u64,
        outcome: &mut LoadOutcome,
    ) -> Option<Progress> {
        let at = self
            .loads
            .iter()
            .position(|flight| flight.ticket == ticket)?;
        let flight = self.loads.remove(at);
        let mut progress = Progress {
            previous_age_ms: self.age_ms(now_ms),
            ..Progress::default()
        };
        let page = match std::mem::replace(outcome, Err(ReadFault::NoAnswer)) {
            Ok(page) => page,
            Err(fault) => {
                let pause_ms = self.backoff.fail(flight.ticket);
                progress.failure = self.fail(flight, fault, now_ms);
                self.retry_ms = self.retry_ms.max(now_ms + pause_ms);
                return Some(progress);
            }
        };
        self.backoff.end();
        self.loads.clear();
        self.arrived += page.records.len();
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
            return Some(progress);
        }
        // Pages are no snapshot: what changed since the first one is read again.
        self.next = Some(first_end);
        if first_end == page.end {
            self.age.record_end(flight, false, now_ms);
        }
        progress.records = records;
        progress.is_reloaded = true;
        Some(progress)
    }
}
