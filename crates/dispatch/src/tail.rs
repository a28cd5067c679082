//! Following a keyed stream: load the newest record of each key, then read on.

use crate::event::Action;
use crate::event::PageEnd;
use crate::event::ReadEnd;
use crate::event::ReadFault;
use crate::event::ReadPatience;
use crate::event::StoredRecord;
use crate::event::Stream;
use std::fmt::Display;
use std::fmt::Formatter;

/// Time in which the answer to a read without a wait must begin. The store answers in
/// 4 ms, and in 240 ms when it is sixty times slower.
const FIRST_BYTE_MS: u64 = 1_200;
/// Longest pause between bytes of an answer that has begun. On a link of 10 Mbit/s that is
/// shared with a dozen other answers bytes come every few milliseconds; a connection that
/// was cut gives no more.
const STALL_MS: u64 = 1_200;
/// Pause after a failed read, which keeps a store in trouble from being pressed.
const RETRY_MS: u64 = 250;
/// Time by which the answer to a read that waits may be overdue before another read goes out
/// beside it: three turns of a host that has nothing else to do.
const OVERDUE_MS: u64 = 150;
/// Time in which the answer to such a read must begin. Answers take 4 ms; one on a connection
/// that is dead is worth no longer wait, since the next read may take another.
const CONFIRM_FIRST_BYTE_MS: u64 = 600;
/// How often what answers take of late fits into that time and into the delay of an answer.
const SLOW_FACTOR: u64 = 2;
/// Answers of late of which the fastest tells what they take. One that a host itself was late
/// to read, after it stood still, must not make it patient.
const LATENCIES: usize = 4;
/// What answers take counts up to this: past it a store is away rather than slow.
const LATENCY_MOST_MS: u64 = 1_000;
/// Pause between two reads that only find out whether the store is back. A host is back as
/// much later than the store: 0.48 s on average with reads of all streams, 0.08 s with these.
const PROBE_GAP_MS: u64 = 200;
/// Reads of a stream that are to be answered at once and are under way, at most. Each question
/// of a caller needs one that was sent after it, and while nothing is answered they would pile
/// up: 131 calls of one host, which kept the first ones after an outage waiting.
const READS_MOST: usize = 3;
/// Pause between two reports of failed reads of a stream. While the store is away a host's
/// reads of all streams fail some twenty times a second.
const REPORT_MS: u64 = 1_000;

/// Gives how long an answer is awaited that the store holds back for up to `wait_ms`.
fn patience(wait_ms: u64) -> ReadPatience {
    ReadPatience {
        first_byte_ms: wait_ms + FIRST_BYTE_MS,
        stall_ms: STALL_MS,
    }
}

/// A read or load under way.
#[derive(Debug, Clone, Copy)]
struct Flight {
    ticket: u64,
    sent_ms: u64,
    /// Time that the store may hold it back.
    wait_ms: u64,
    /// The host was suspended since.
    is_from_before: bool,
}

impl Flight {
    fn waits(&self) -> bool {
        self.wait_ms > 0
    }
}

/// What came of a read.
#[derive(Debug, Default)]
pub(crate) struct Progress {
    /// New records, in order.
    pub(crate) records: Vec<StoredRecord>,
    /// The state was loaded anew: keys that are not among the records are gone.
    pub(crate) is_reloaded: bool,
    /// How old what was known of the stream was when the read ended.
    pub(crate) former_age_ms: Option<u64>,
    /// The read brought nothing.
    pub(crate) failure: Option<Failure>,
}

/// A read that brought nothing.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Failure {
    pub(crate) fault: ReadFault,
    /// How long ago it was sent.
    pub(crate) sent_age_ms: u64,
    /// The store was to hold it back until a record came.
    pub(crate) waits: bool,
    /// Reads of this stream that failed since the last line about one, this one included.
    pub(crate) failures: u64,
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
    /// Offset from which to read on; `None` until loaded.
    next: Option<u64>,
    /// While loading: records so far, where the stream ended first, last key.
    loading: Option<(Vec<StoredRecord>, u64, Box<str>)>,
    load: Option<Flight>,
    /// The latest part of a load had no answer.
    has_load_failed: bool,
    /// Records that loads have brought so far.
    arrived: usize,
    reads: Vec<Flight>,
    /// Since when the store answers this host. Reads from before may have been dropped.
    contact_ms: u64,
    retry_ms: u64,
    /// When the next probe may go out.
    probe_ms: u64,
    /// When the newest complete read that reached the end of the stream was sent.
    pub(crate) fresh_ms: Option<u64>,
    /// Ticket of that read. Tickets rise with each action of the host, so they tell what came
    /// after what within a millisecond, too.
    fresh_ticket: u64,
    /// When the newest answer came.
    pub(crate) answered_ms: Option<u64>,
    /// What reads without a wait take of late.
    pub(crate) latency_ms: u64,
    /// What the latest answers took, without the time for which the store held them back.
    latencies_ms: [u64; LATENCIES],
    answers: usize,
    /// When the newest of the reads that brought nothing was sent.
    failed_ms: Option<u64>,
    /// Failed reads that no report has told of yet, and when the next may.
    failures: u64,
    report_ms: u64,
}

impl Tail {
    pub(crate) fn new(stream: Stream) -> Self {
        Self {
            stream,
            next: None,
            loading: None,
            load: None,
            has_load_failed: false,
            arrived: 0,
            reads: Vec::new(),
            contact_ms: 0,
            retry_ms: 0,
            probe_ms: 0,
            fresh_ms: None,
            fresh_ticket: 0,
            answered_ms: None,
            latency_ms: 0,
            latencies_ms: [0; LATENCIES],
            answers: 0,
            failed_ms: None,
            failures: 0,
            report_ms: 0,
        }
    }

    /// Gives how long ago it was known, at the latest, that nothing newer stood there.
    pub(crate) fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.fresh_ms
            .map(|fresh_ms| now_ms.saturating_sub(fresh_ms))
    }

    pub(crate) fn is_loaded(&self) -> bool {
        self.next.is_some()
    }

    /// Tells whether a load is under way that the store has not failed to answer.
    pub(crate) fn is_arriving(&self) -> bool {
        self.next.is_none() && !self.has_load_failed
    }

    /// Gives how many records loads have brought so far.
    pub(crate) fn arrived(&self) -> usize {
        self.arrived
    }

    /// Gives the offset of the next record to read.
    pub(crate) fn next(&self) -> u64 {
        self.next.unwrap_or(0)
    }

    /// Tells whether a read sent at `since_ms` or later has reached the end.
    pub(crate) fn is_fresh_since(&self, since_ms: u64) -> bool {
        self.fresh_ms.is_some_and(|at_ms| at_ms >= since_ms)
    }

    /// Tells whether a read that was sent after the given ticket has reached the end.
    pub(crate) fn is_fresh_after(&self, ticket: u64) -> bool {
        self.fresh_ticket > ticket
    }

    /// Tells whether a read sent at `since_ms` or later has brought nothing.
    pub(crate) fn has_failed_since(&self, since_ms: u64) -> bool {
        self.failed_ms.is_some_and(|at_ms| at_ms >= since_ms)
    }

    /// Gives what an answer takes of late.
    pub(crate) fn typical_latency_ms(&self) -> u64 {
        let fastest = self.latencies_ms.iter().copied().min();
        fastest.unwrap_or(0).min(LATENCY_MOST_MS)
    }

    /// Notes what an answer took.
    fn note_latency(&mut self, flight: Flight, now_ms: u64) {
        if flight.is_from_before {
            return;
        }
        let held_ms = flight.sent_ms + flight.wait_ms;
        // A read that waits is answered early when there is a record.
        let Some(latency_ms) = now_ms.checked_sub(held_ms) else {
            return;
        };
        if !flight.waits() {
            self.latency_ms = (self.latency_ms + latency_ms) / 2;
        }
        self.latencies_ms[self.answers % LATENCIES] = latency_ms;
        self.answers += 1;
    }

    /// Notes that nothing more stood in the stream when the store answered a read. That was
    /// after it was sent; if the store found nothing until the wait was over, after the wait.
    fn note_end(&mut self, flight: Flight, is_empty: bool, now_ms: u64) {
        let held_ms = flight.sent_ms + flight.wait_ms;
        self.fresh_ticket = self.fresh_ticket.max(flight.ticket);
        if flight.is_from_before {
            return;
        }
        let known_ms = match is_empty && now_ms >= held_ms {
            true => held_ms,
            false => flight.sent_ms,
        };
        self.fresh_ms = self.fresh_ms.max(Some(known_ms));
    }

    /// Notes since when the store answers this host.
    pub(crate) fn note_contact(&mut self, contact_ms: u64) {
        self.contact_ms = contact_ms;
    }

    /// Makes what is known older by a time that the steady clock does not show. What reads
    /// under way bring may be from before that time, too.
    pub(crate) fn age_by(&mut self, ms: u64) {
        self.fresh_ms = self.fresh_ms.and_then(|at_ms| at_ms.checked_sub(ms));
        for flight in self.reads.iter_mut().chain(&mut self.load) {
            flight.is_from_before = true;
        }
    }

    /// Goes on loading, if that is due.
    pub(crate) fn load(&mut self, now_ms: u64, tickets: &mut u64, actions: &mut Vec<Action>) {
        if self.next.is_some() || self.load.is_some() || now_ms < self.retry_ms {
            return;
        }
        let after = match &self.loading {
            Some((_, _, last)) => last.clone(),
            None => "".into(),
        };
        *tickets += 1;
        self.load = Some(Flight {
            ticket: *tickets,
            sent_ms: now_ms,
            wait_ms: 0,
            is_from_before: false,
        });
        actions.push(Action::Load {
            ticket: *tickets,
            stream: self.stream,
            after,
            patience: patience(0),
        });
    }

    /// Reads at once, unless a read sent at `since_ms` or later is under way.
    pub(crate) fn prompt(
        &mut self,
        since_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let is_enough = |flight: &Flight| !flight.waits() && flight.sent_ms >= since_ms;
        self.read_unless(is_enough, patience(0), 0, now_ms, tickets, actions);
    }

    /// Reads at once, unless a read sent after the given ticket is under way.
    pub(crate) fn prompt_after(
        &mut self,
        ticket: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let is_enough = |flight: &Flight| !flight.waits() && flight.ticket > ticket;
        self.read_unless(is_enough, patience(0), 0, now_ms, tickets, actions);
    }

    /// Keeps one read under way that waits for a record.
    pub(crate) fn listen(
        &mut self,
        wait_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        self.read_unless(
            Flight::waits,
            patience(wait_ms),
            wait_ms,
            now_ms,
            tickets,
            actions,
        );
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
        let slow_ms = SLOW_FACTOR * self.typical_latency_ms();
        let age_ms = self.age_ms(now_ms);
        if age_ms.is_some_and(|age_ms| age_ms <= wait_ms + OVERDUE_MS + slow_ms) {
            return;
        }
        let patience = self.brief_patience();
        let contact_ms = self.contact_ms;
        let is_enough = |flight: &Flight| !flight.waits() && flight.sent_ms >= contact_ms;
        self.read_unless(is_enough, patience, 0, now_ms, tickets, actions);
    }

    /// Counts the reads under way that the store is to answer at once, without those from
    /// before its return: these may have been dropped there.
    fn short_reads(&self) -> usize {
        let is_short = |flight: &&Flight| !flight.waits() && flight.sent_ms >= self.contact_ms;
        self.reads.iter().filter(is_short).count()
    }

    /// Reads again and again, to find out whether the store is back.
    pub(crate) fn probe(&mut self, now_ms: u64, tickets: &mut u64, actions: &mut Vec<Action>) {
        let is_due = now_ms >= self.probe_ms && self.short_reads() < READS_MOST;
        // That a read has just failed is no reason to put a probe off.
        if self.next.is_none() || !is_due {
            return;
        }
        self.probe_ms = now_ms + PROBE_GAP_MS;
        self.read(self.brief_patience(), 0, now_ms, tickets, actions);
    }

    /// Gives how long an answer is awaited where another read can take its place.
    fn brief_patience(&self) -> ReadPatience {
        ReadPatience {
            first_byte_ms: CONFIRM_FIRST_BYTE_MS + SLOW_FACTOR * self.typical_latency_ms(),
            stall_ms: STALL_MS,
        }
    }

    /// Reads, unless a read under way is enough or none may be sent now.
    fn read_unless(
        &mut self,
        is_enough: impl Fn(&Flight) -> bool,
        patience: ReadPatience,
        wait_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        if self.next.is_none() || now_ms < self.retry_ms || self.reads.iter().any(is_enough) {
            return;
        }
        if wait_ms == 0 && self.short_reads() >= READS_MOST {
            return;
        }
        self.read(patience, wait_ms, now_ms, tickets, actions);
    }

    fn read(
        &mut self,
        patience: ReadPatience,
        wait_ms: u64,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        *tickets += 1;
        self.reads.push(Flight {
            ticket: *tickets,
            sent_ms: now_ms,
            wait_ms,
            is_from_before: false,
        });
        actions.push(Action::Read {
            ticket: *tickets,
            stream: self.stream,
            from: self.next(),
            wait_ms,
            patience,
        });
    }

    /// Takes in the end of a read, if it is one of this stream.
    pub(crate) fn take_read(
        &mut self,
        ticket: u64,
        now_ms: u64,
        end: &mut ReadEnd,
    ) -> Option<Progress> {
        let at = self
            .reads
            .iter()
            .position(|flight| flight.ticket == ticket)?;
        let flight = self.reads.remove(at);
        let mut progress = Progress {
            former_age_ms: self.age_ms(now_ms),
            ..Progress::default()
        };
        match std::mem::replace(end, ReadEnd::Trimmed) {
            ReadEnd::Failed(fault) => progress.failure = self.fail(flight, fault, now_ms),
            // The history was dropped: the newest record of each key is still there.
            ReadEnd::Trimmed => {
                self.next = None;
                self.loading = None;
            }
            ReadEnd::Records { records, end } => {
                self.answered_ms = Some(now_ms);
                self.note_latency(flight, now_ms);
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
                    self.note_end(flight, is_empty, now_ms);
                }
            }
        }
        Some(progress)
    }

    /// Notes a read that brought nothing, and gives what is to be said about it, if that is
    /// due.
    fn fail(&mut self, flight: Flight, fault: ReadFault, now_ms: u64) -> Option<Failure> {
        self.retry_ms = now_ms + RETRY_MS;
        self.failed_ms = self.failed_ms.max(Some(flight.sent_ms));
        self.failures += 1;
        if now_ms < self.report_ms {
            return None;
        }
        self.report_ms = now_ms + REPORT_MS;
        Some(Failure {
            fault,
            sent_age_ms: now_ms.saturating_sub(flight.sent_ms),
            waits: flight.waits(),
            failures: std::mem::take(&mut self.failures),
        })
    }

    /// Takes in a page, if it is one of this stream.
    pub(crate) fn take_page(
        &mut self,
        ticket: u64,
        now_ms: u64,
        end: &mut PageEnd,
    ) -> Option<Progress> {
        let flight = self.load.take_if(|flight| flight.ticket == ticket)?;
        let mut progress = Progress {
            former_age_ms: self.age_ms(now_ms),
            ..Progress::default()
        };
        let page = match std::mem::replace(end, Err(ReadFault::NoAnswer)) {
            Ok(page) => page,
            Err(fault) => {
                self.has_load_failed = true;
                progress.failure = self.fail(flight, fault, now_ms);
                return Some(progress);
            }
        };
        self.has_load_failed = false;
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
            self.note_end(flight, false, now_ms);
        }
        progress.records = records;
        progress.is_reloaded = true;
        Some(progress)
    }
}
