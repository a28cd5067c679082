//! Following the streams `claims` and `config`, and writing to all streams.

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

/// Where a followed stream stands.
#[derive(Debug, Clone)]
pub(super) struct Follower {
    position: u64,
    is_reading: bool,
    asked_ms: u64,
    next_ms: u64,
    /// When the end of the stream was last reached.
    at_end_ms: Option<u64>,
    is_away: bool,
    /// Records seen while waiting for state that was carried forward, because the
    /// log no longer holds the stream's beginning.
    behind: Option<Vec<(u64, Record)>>,
    /// Records since state was last carried forward.
    records_since_snapshot: u64,
    last_snapshot_ms: u64,
}

impl Follower {
    pub(super) fn new() -> Self {
        Self {
            position: 0,
            is_reading: false,
            asked_ms: 0,
            next_ms: 0,
            at_end_ms: None,
            is_away: false,
            behind: None,
            records_since_snapshot: 0,
            last_snapshot_ms: 0,
        }
    }

    /// Reads again at the next tick.
    pub(super) fn read_soon(&mut self) {
        self.next_ms = 0;
    }

    /// Gives the offset up to which the stream was read.
    pub(super) fn position(&self) -> u64 {
        self.position
    }

    /// Tells whether the end of the stream was ever reached.
    pub(super) fn was_read(&self) -> bool {
        self.at_end_ms.is_some()
    }

    /// Goes on from an offset up to which a peer has read.
    pub(super) fn start_at(&mut self, position: u64) {
        self.position = position;
        self.behind = None;
    }

    /// Tells whether the log has not answered the latest read. A lost answer to an
    /// append alone says little: reading on settles it.
    pub(super) fn is_away(&self) -> bool {
        self.is_away
    }

    /// Tells whether the end of the stream was reached just now.
    pub(super) fn is_current(&self, now_ms: u64, limits: &Limits) -> bool {
        const POLLS: u64 = 4;
        let patience_ms = limits.poll_ms * POLLS;
        self.at_end_ms
            .is_some_and(|at_ms| now_ms < at_ms + patience_ms)
            && self.behind.is_none()
    }

    fn is_due(&mut self, now_ms: u64, limits: &Limits) -> bool {
        if self.is_reading && now_ms < self.asked_ms + limits.append_timeout_ms * 4 {
            return false;
        }
        if now_ms < self.next_ms {
            return false;
        }
        self.is_reading = true;
        self.asked_ms = now_ms;
        self.next_ms = now_ms + limits.poll_ms;
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

    /// Lets the writer of `stream` go on.
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
            Some(Step::ReadOn) => self.read_on(stream),
        }
    }

    fn read_on(&mut self, stream: Stream) {
        match stream {
            Stream::Keys(number) => self.read_keys(number),
            _ => self.follower(stream).2.read_soon(),
        }
    }

    pub(super) fn appended(&mut self, stream: Stream, sequence: u64, offset: Option<u64>) {
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
                    None => writer.lost(now_ms, &limits),
                }
                self.follower(stream).2.read_soon();
            }
        }
        self.step_writer(stream);
    }

    pub(super) fn read(&mut self, stream: Stream, page: Option<StreamPage>) {
        if let Stream::Keys(number) = stream {
            self.handle_keys_read(number, page);
            return;
        }
        let (now_ms, limits, follower) = self.follower(stream);
        follower.is_reading = false;
        let Some(page) = page else {
            follower.next_ms = now_ms + limits.poll_ms;
            if !std::mem::replace(&mut follower.is_away, true) {
                self.note(Code::LogAway, stream.to_string(), "reading failed");
            }
            return;
        };
        if page.next < follower.position {
            // An answer to an earlier read came late.
            return;
        }
        if page.oldest > follower.position {
            follower.behind = Some(Vec::new());
            follower.position = page.oldest;
        }
        if !page.is_end {
            follower.next_ms = now_ms;
        }
        if std::mem::replace(&mut follower.is_away, false) {
            self.note(Code::LogBack, stream.to_string(), "");
        }
        for (offset, batch) in &page.batches {
            self.read_batch(stream, *offset, batch.as_ref());
        }
        self.finish_page(stream, &page);
    }

    fn finish_page(&mut self, stream: Stream, page: &StreamPage) {
        let (now_ms, _, follower) = self.follower(stream);
        follower.position = follower.position.max(page.next);
        if !page.is_end {
            return;
        }
        follower.at_end_ms = Some(now_ms);
        let is_behind = follower.behind.is_some();
        let is_empty = page.oldest == page.next;
        if is_behind && is_empty {
            // Everything has expired and nothing was carried forward.
            follower.behind = None;
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
        if let Some(Step::Append(batch)) = writer.absent(now_ms) {
            self.note(Code::BatchRepeated, stream.to_string(), "");
            self.out.push(Action::Append { stream, batch });
        }
    }

    fn read_batch(&mut self, stream: Stream, offset: u64, batch: Option<&Batch>) {
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
        self.resolve_shared(stream, batch);
        for record in &batch.records {
            self.read_record(stream, offset, record);
        }
    }

    /// In a stream with many writers a batch is this member's if it holds the
    /// very records that are unresolved.
    fn resolve_shared(&mut self, stream: Stream, batch: &Batch) {
        let writer = match stream {
            Stream::Config => &mut self.config_writer,
            _ => &mut self.claims_writer,
        };
        if !writer.seen_records(&batch.records).is_empty() {
            self.note(Code::BatchResolved, stream.to_string(), "");
        }
    }

    fn read_record(&mut self, stream: Stream, offset: u64, record: &Record) {
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
        if let Some(behind) = &mut follower.behind {
            behind.push((offset, record.clone()));
            return;
        }
        self.apply_record(stream, offset, record);
    }

    /// Takes over carried state if the stream's beginning was not read. Records
    /// that others wrote while it was on its way stand before it, and count.
    fn apply_snapshot(&mut self, stream: Stream, record: &Record) {
        let follower = self.follower(stream).2;
        let Some(behind) = follower.behind.take() else {
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
                    self.config_changed();
                }
                *as_of
            }
            _ => return,
        };
        for (offset, record) in behind {
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
            self.config_changed();
            return;
        }
        let id = change.id.to_string();
        let detail = format!("{:?}", self.config.publish_outcome(&change.id));
        self.note(Code::ConfigRefused, id, detail);
    }

    /// Carries state forward in the shared streams before retention passes it.
    /// The owner of the first cell of keys does it for all.
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
