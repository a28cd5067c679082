//! Reading of the streams `claims` and `config`, and writing to all streams.

use super::Node;
use crate::event::Action;
use crate::event::StreamPage;
use crate::ids::Cell;
use crate::ids::Stream;
use crate::limits::Limits;
use crate::notes::Code;
use crate::record::Batch;
use crate::record::Record;
use crate::writer::Step;

/// Position and state of a stream that is read continuously.
#[derive(Debug, Clone)]
pub(super) struct Follower {
    position: u64,
    /// Whether the answer to a read is outstanding.
    is_reading: bool,
    read_sent_ms: u64,
    next_read_ms: u64,
    /// When the end of the stream was last reached.
    end_reached_ms: Option<u64>,
    is_unavailable: bool,
    /// Records that were read but can be applied only after the next snapshot,
    /// because the log no longer has the beginning of the stream.
    unapplied: Option<Vec<(u64, Record)>>,
    /// Records read since the last snapshot.
    records_since_snapshot: u64,
    last_snapshot_ms: u64,
}

impl Follower {
    pub(super) fn new() -> Self {
        Self {
            position: 0,
            is_reading: false,
            read_sent_ms: 0,
            next_read_ms: 0,
            end_reached_ms: None,
            is_unavailable: false,
            unapplied: None,
            records_since_snapshot: 0,
            last_snapshot_ms: 0,
        }
    }

    /// Makes the next read due at the next tick.
    pub(super) fn read_soon(&mut self) {
        self.next_read_ms = 0;
    }

    /// Returns the offset up to which the stream was read.
    pub(super) fn position(&self) -> u64 {
        self.position
    }

    /// Returns whether the end of the stream was ever reached.
    pub(super) fn was_read(&self) -> bool {
        self.end_reached_ms.is_some()
    }

    /// Continues from the offset up to which a peer has read.
    pub(super) fn start_at(&mut self, position: u64) {
        self.position = position;
        self.unapplied = None;
    }

    /// Returns whether the latest read of the stream failed. A lost answer to an
    /// append is no sign of an outage by itself: the next read resolves it.
    pub(super) fn is_unavailable(&self) -> bool {
        self.is_unavailable
    }

    /// Returns whether the end of the stream was reached within the last
    /// `POLL_INTERVALS` poll intervals and no records wait for a snapshot.
    pub(super) fn is_current(&self, now_ms: u64, limits: &Limits) -> bool {
        const POLL_INTERVALS: u64 = 4;
        let max_age_ms = limits.poll_ms * POLL_INTERVALS;
        self.end_reached_ms
            .is_some_and(|at_ms| now_ms < at_ms + max_age_ms)
            && self.unapplied.is_none()
    }

    fn is_due(&mut self, now_ms: u64, limits: &Limits) -> bool {
        if self.is_reading && now_ms < self.read_sent_ms + limits.append_timeout_ms * 4 {
            return false;
        }
        if now_ms < self.next_read_ms {
            return false;
        }
        self.is_reading = true;
        self.read_sent_ms = now_ms;
        self.next_read_ms = now_ms + limits.poll_ms;
        true
    }
}

impl Node {
    pub(super) fn tick_logs(&mut self) {
        for stream in [Stream::Claims, Stream::Config] {
            let follower = self.follower(stream);
            let (now_ms, limits) = (follower.0, follower.1);
            if follower.2.is_due(now_ms, limits) {
                let from = follower.2.position;
                self.out.push(Action::Read { stream, from });
            }
            self.step_writer(stream);
        }
    }

    fn follower(&mut self, stream: Stream) -> (u64, &Limits, &mut Follower) {
        let follower = match stream {
            Stream::Config => &mut self.config_log,
            _ => &mut self.claims_log,
        };
        (self.now_ms, &self.limits, follower)
    }

    /// Performs the next step of the writer of `stream`.
    pub(super) fn step_writer(&mut self, stream: Stream) {
        let (now_ms, limits) = (self.now_ms, &self.limits);
        let writer = match stream {
            Stream::Claims => &mut self.claims_writer,
            Stream::Config => &mut self.config_writer,
            Stream::Keys(number) => match self.keys.get_mut(&number) {
                Some(cell) => &mut cell.writer,
                None => return,
            },
        };
        match writer.step(now_ms, limits, &mut self.appends) {
            None => {}
            Some(Step::Append(batch)) => self.out.push(Action::Append { stream, batch }),
            Some(Step::ReadOn) => self.continue_reading(stream),
        }
    }

    fn continue_reading(&mut self, stream: Stream) {
        match stream {
            Stream::Keys(number) => self.read_keys(number),
            _ => self.follower(stream).2.read_soon(),
        }
    }

    pub(super) fn handle_appended(&mut self, stream: Stream, sequence: u64, offset: Option<u64>) {
        let (now_ms, limits) = (self.now_ms, self.limits);
        match stream {
            Stream::Keys(number) => self.handle_keys_appended(number, sequence, offset),
            _ => {
                let writer = match stream {
                    Stream::Config => &mut self.config_writer,
                    _ => &mut self.claims_writer,
                };
                match offset {
                    Some(_) => drop(writer.committed(sequence)),
                    None => writer.mark_unresolved(now_ms, &limits),
                }
                self.follower(stream).2.read_soon();
            }
        }
        self.step_writer(stream);
    }

    pub(super) fn handle_read(&mut self, stream: Stream, page: Option<StreamPage>) {
        if let Stream::Keys(number) = stream {
            self.handle_keys_read(number, page);
            return;
        }
        let (now_ms, limits, follower) = self.follower(stream);
        follower.is_reading = false;
        let Some(page) = page else {
            follower.next_read_ms = now_ms + limits.poll_ms;
            if !std::mem::replace(&mut follower.is_unavailable, true) {
                self.note(Code::LogAway, stream.to_string(), "reading failed");
            }
            return;
        };
        if page.next < follower.position {
            // This is the late answer to an earlier read.
            return;
        }
        if page.oldest > follower.position {
            follower.unapplied = Some(Vec::new());
            follower.position = page.oldest;
        }
        if !page.is_end {
            follower.next_read_ms = now_ms;
        }
        if std::mem::replace(&mut follower.is_unavailable, false) {
            self.note(Code::LogBack, stream.to_string(), "");
        }
        for (offset, batch) in &page.batches {
            self.apply_batch(stream, *offset, batch.as_ref());
        }
        self.finish_page(stream, &page);
    }

    fn finish_page(&mut self, stream: Stream, page: &StreamPage) {
        let (now_ms, _, follower) = self.follower(stream);
        follower.position = follower.position.max(page.next);
        if !page.is_end {
            return;
        }
        follower.end_reached_ms = Some(now_ms);
        let lacks_snapshot = follower.unapplied.is_some();
        let is_empty = page.oldest == page.next;
        if lacks_snapshot && is_empty {
            // All records have expired and there is no snapshot.
            follower.unapplied = None;
            self.note(
                Code::StateMissing,
                stream.to_string(),
                "the stream is empty",
            );
        }
        let writer = match stream {
            Stream::Config => &mut self.config_writer,
            _ => &mut self.claims_writer,
        };
        if let Some(Step::Append(batch)) = writer.retry_missing(now_ms) {
            self.note(Code::BatchRepeated, stream.to_string(), "");
            self.out.push(Action::Append { stream, batch });
        }
    }

    fn apply_batch(&mut self, stream: Stream, offset: u64, batch: Option<&Batch>) {
        if offset < self.follower(stream).2.position {
            return;
        }
        let Some(batch) = batch else {
            self.note(
                Code::RecordUnreadable,
                stream.to_string(),
                format!("offset {offset}"),
            );
            return;
        };
        self.resolve_own_batch(stream, batch);
        for record in &batch.records {
            self.handle_record(stream, offset, record);
        }
    }

    /// Resolves an unresolved append if `batch` is the appended one. A stream with
    /// several writers has no sequence to tell that by, so the batch must contain
    /// exactly the same records.
    fn resolve_own_batch(&mut self, stream: Stream, batch: &Batch) {
        let writer = match stream {
            Stream::Config => &mut self.config_writer,
            _ => &mut self.claims_writer,
        };
        if !writer.commit_read_records(&batch.records).is_empty() {
            self.note(Code::BatchResolved, stream.to_string(), "");
        }
    }

    fn handle_record(&mut self, stream: Stream, offset: u64, record: &Record) {
        let is_snapshot = matches!(
            record,
            Record::ClaimsSnapshot { .. } | Record::ConfigSnapshot { .. }
        );
        let (now_ms, _, follower) = self.follower(stream);
        if is_snapshot {
            follower.records_since_snapshot = 0;
            follower.last_snapshot_ms = now_ms;
            self.apply_snapshot(stream, record);
            return;
        }
        follower.records_since_snapshot += 1;
        if let Some(unapplied) = &mut follower.unapplied {
            unapplied.push((offset, record.clone()));
            return;
        }
        self.apply_record(stream, offset, record);
    }

    /// Restores the state of a snapshot if the beginning of the stream was not read.
    /// Other writers may have appended records between the offset that the snapshot
    /// covers and the snapshot itself; these are applied as well.
    fn apply_snapshot(&mut self, stream: Stream, record: &Record) {
        let follower = self.follower(stream).2;
        let Some(unapplied) = follower.unapplied.take() else {
            return;
        };
        let as_of = match record {
            Record::ClaimsSnapshot {
                as_of,
                owners,
                deposed,
            } => {
                self.claims.restore(owners, deposed);
                *as_of
            }
            Record::ConfigSnapshot {
                as_of,
                version,
                changes,
            } => {
                if self.config.restore(*version, changes) {
                    self.apply_new_config();
                }
                *as_of
            }
            _ => return,
        };
        for (offset, record) in unapplied {
            if offset >= as_of {
                self.apply_record(stream, offset, &record);
            }
        }
    }

    fn apply_record(&mut self, stream: Stream, offset: u64, record: &Record) {
        if stream == Stream::Config {
            self.apply_config(offset, record);
            return;
        }
        if let Record::Depose { target, .. } = record {
            self.note(Code::Deposed, target.to_string(), "");
        }
        let changed = self.claims.apply(offset, record);
        self.owners_changed(&changed);
    }

    fn apply_config(&mut self, offset: u64, record: &Record) {
        let Record::Config(change) = record else {
            return;
        };
        if self.config.apply(offset, record) {
            self.apply_new_config();
            return;
        }
        let id = change.id.to_string();
        let detail = format!("{:?}", self.config.publish_outcome(&change.id));
        self.note(Code::ConfigRefused, id, detail);
    }

    /// Writes snapshots to the shared streams before retention removes the records
    /// that they stand for. The owner of the first cell of keys writes them for all
    /// members.
    pub(super) fn snapshot_shared_streams(&mut self) {
        let owner = self.claims.owner(Cell::Keys(0)).map(|owner| owner.member);
        let is_mine = owner.is_some_and(|owner| self.is_mine(owner));
        if !is_mine || self.acts_until_ms().is_none() {
            return;
        }
        for stream in [Stream::Claims, Stream::Config] {
            let (now_ms, limits, follower) = self.follower(stream);
            let is_due = follower.records_since_snapshot >= limits.carry_records
                || now_ms >= follower.last_snapshot_ms + limits.carry_ms;
            if !is_due || !follower.is_current(now_ms, limits) {
                continue;
            }
            let as_of = follower.position;
            follower.records_since_snapshot = 0;
            follower.last_snapshot_ms = now_ms;
            let (record, writer) = match stream {
                Stream::Config => (self.config.snapshot(as_of), &mut self.config_writer),
                _ => (self.claims.snapshot(as_of), &mut self.claims_writer),
            };
            writer.push(now_ms, record);
            self.note(
                Code::StateCarried,
                stream.to_string(),
                format!("as of {as_of}"),
            );
        }
    }
}
