//! A stand-in of the platform's store with keyed streams, epochs, retention and outages.

use goldcrestway_dispatch::AppendOutcome;
use goldcrestway_dispatch::Fence;
use goldcrestway_dispatch::LoadOutcome;
use goldcrestway_dispatch::Page;
use goldcrestway_dispatch::ReadFault;
use goldcrestway_dispatch::ReadOutcome;
use goldcrestway_dispatch::StoredRecord;
use goldcrestway_dispatch::Stream;
use std::collections::BTreeMap;
use std::ops::Bound;

/// Keys on one page, few enough that tests read several pages.
const PAGE_KEYS: usize = 7;
const MS_PER_S: u64 = 1_000;
const US_PER_MS: u64 = 1_000;

/// Capacity of the store for all hosts together.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    /// Bytes per second that it sends, in order of arrival of the reads.
    pub(crate) read_bytes_per_s: u64,
    /// Reads per second above which it refuses reads.
    pub(crate) reads_per_s: u64,
    /// Keys on one page.
    pub(crate) page_keys: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            read_bytes_per_s: u64::MAX,
            reads_per_s: u64::MAX,
            page_keys: PAGE_KEYS,
        }
    }
}

/// Reads that the store has served.
#[derive(Debug, Default)]
struct ServedReads {
    bytes: u64,
    /// Time at which all of these bytes have been sent.
    done_us: u64,
    /// Current second, and the reads in it.
    second: u64,
    reads: u64,
}

/// A keyed stream.
#[derive(Default)]
struct Topic {
    records: Vec<StoredRecord>,
    oldest: u64,
    newest: BTreeMap<Box<str>, StoredRecord>,
    epoch: u64,
    replies: BTreeMap<u64, u64>,
    /// Time at which all appends so far are done.
    busy_until_ms: u64,
}

impl Topic {
    fn end(&self) -> u64 {
        self.records.len() as u64
    }
}

/// Behaviour of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Answers every call.
    Up,
    /// Refuses every call.
    Refuses,
    /// Executes every call and answers none.
    LosesAnswers,
    /// Executes and answers no call.
    Silent,
}

/// Outcome of a read.
pub(crate) enum StoreRead {
    /// Answered at once.
    Answered(ReadOutcome),
    /// Waits, as there is no record yet.
    Waits,
    /// Dropped; the sender detects this only by its timeout.
    Dropped,
}

/// The simulated store.
pub(crate) struct Store {
    topics: BTreeMap<Stream, Topic>,
    /// Its behaviour.
    pub(crate) mode: Mode,
    /// Time that a stream takes for one append; appends to it are sequential.
    pub(crate) append_ms: u64,
    /// Additional time of each answer.
    pub(crate) answer_ms: u64,
    /// Largest record that it accepts.
    pub(crate) max_record_bytes: usize,
    /// Streams that are unavailable while the others work.
    pub(crate) unavailable: Vec<Stream>,
    /// Streams that answer no call while the others work.
    pub(crate) silent: Vec<Stream>,
    pub(crate) limits: Limits,
    served: ServedReads,
}

impl Store {
    pub(crate) fn new() -> Self {
        Self {
            topics: BTreeMap::new(),
            mode: Mode::Up,
            append_ms: 0,
            answer_ms: 0,
            max_record_bytes: 262_144,
            unavailable: Vec::new(),
            silent: Vec::new(),
            limits: Limits::default(),
            served: ServedReads::default(),
        }
    }

    /// Returns whether one more read is accepted in this second, and counts it.
    pub(crate) fn admits_read(&mut self, now_ms: u64) -> bool {
        let second = now_ms / MS_PER_S;
        if self.served.second != second {
            self.served.second = second;
            self.served.reads = 0;
        }
        self.served.reads += 1;
        self.served.reads <= self.limits.reads_per_s
    }

    /// Returns the time in milliseconds for which bytes wait behind those that are being sent
    /// already.
    pub(crate) fn queue_ms_for(&mut self, bytes: u64, now_ms: u64) -> u64 {
        let now_us = now_ms * US_PER_MS;
        let start_us = self.served.done_us.max(now_us);
        let us_per_s = MS_PER_S * US_PER_MS;
        self.served.done_us = start_us + bytes * us_per_s / self.limits.read_bytes_per_s;
        self.served.bytes += bytes;
        (start_us - now_us) / US_PER_MS
    }

    /// Returns the number of bytes that were read so far.
    pub(crate) fn served_bytes(&self) -> u64 {
        self.served.bytes
    }

    /// Returns the time at which an append that arrives now will be done.
    pub(crate) fn done_ms(&mut self, stream: Stream, now_ms: u64) -> u64 {
        let append_ms = self.append_ms;
        let topic = self.topics.entry(stream).or_default();
        topic.busy_until_ms = topic.busy_until_ms.max(now_ms) + append_ms;
        topic.busy_until_ms
    }

    /// Stores a record as the operator or a worker does.
    pub(crate) fn put(&mut self, stream: Stream, key: &str, value: &[u8]) {
        self.store(stream, vec![(key.into(), value.into())]);
    }

    fn store(&mut self, stream: Stream, records: Vec<(Box<str>, Box<[u8]>)>) -> u64 {
        let topic = self.topics.entry(stream).or_default();
        let first = topic.end();
        for (key, value) in records {
            let record = StoredRecord {
                offset: topic.end(),
                key,
                value,
            };
            if record.value.is_empty() {
                topic.newest.remove(&record.key);
            } else {
                topic.newest.insert(record.key.clone(), record.clone());
            }
            topic.records.push(record);
        }
        first
    }

    /// Appends records if the fence permits it.
    pub(crate) fn append(
        &mut self,
        stream: Stream,
        fence: Option<Fence>,
        records: Vec<(Box<str>, Box<[u8]>)>,
    ) -> AppendOutcome {
        let is_too_large = |(key, value): &(Box<str>, Box<[u8]>)| {
            key.len() + value.len() + 1 > self.max_record_bytes
        };
        match self.mode {
            _ if self.unavailable.contains(&stream) => return AppendOutcome::Refused,
            _ if self.silent.contains(&stream) => return AppendOutcome::Unknown,
            _ if records.iter().any(is_too_large) => return AppendOutcome::Refused,
            Mode::Refuses => return AppendOutcome::Refused,
            Mode::Silent => return AppendOutcome::Unknown,
            _ => {}
        }
        let end = self.append_fenced(stream, fence, records);
        match self.mode {
            Mode::LosesAnswers => AppendOutcome::Unknown,
            _ => end,
        }
    }

    fn append_fenced(
        &mut self,
        stream: Stream,
        fence: Option<Fence>,
        records: Vec<(Box<str>, Box<[u8]>)>,
    ) -> AppendOutcome {
        if let Some(Fence { epoch, sequence }) = fence {
            let topic = self.topics.entry(stream).or_default();
            if epoch < topic.epoch {
                return AppendOutcome::Fenced;
            }
            if epoch > topic.epoch {
                topic.epoch = epoch;
                topic.replies.clear();
            }
            if let Some(offset) = topic.replies.get(&sequence) {
                return AppendOutcome::Stored { offset: *offset };
            }
            let offset = topic.end();
            topic.replies.insert(sequence, offset);
        }
        let offset = self.store(stream, records);
        AppendOutcome::Stored { offset }
    }

    /// Returns the fault of reads of a stream, if they fail.
    fn read_fault(&self, stream: Stream) -> Option<ReadFault> {
        match self.mode {
            _ if self.unavailable.contains(&stream) => Some(ReadFault::Refused),
            _ if self.silent.contains(&stream) => Some(ReadFault::NoAnswer),
            Mode::Up => None,
            Mode::Refuses => Some(ReadFault::Refused),
            Mode::LosesAnswers | Mode::Silent => Some(ReadFault::NoAnswer),
        }
    }

    /// Reads records from an offset on.
    pub(crate) fn read(&mut self, stream: Stream, from: u64) -> StoreRead {
        match self.read_fault(stream) {
            Some(ReadFault::NoAnswer) => return StoreRead::Dropped,
            Some(fault) => return StoreRead::Answered(ReadOutcome::Failed(fault)),
            None => {}
        }
        let topic = self.topics.entry(stream).or_default();
        if from < topic.oldest {
            return StoreRead::Answered(ReadOutcome::Trimmed);
        }
        let records = topic.records[(from as usize).min(topic.records.len())..].to_vec();
        if records.is_empty() {
            return StoreRead::Waits;
        }
        StoreRead::Answered(ReadOutcome::Records {
            records,
            end: topic.end(),
        })
    }

    /// Returns the offset at which a stream ends.
    pub(crate) fn end(&mut self, stream: Stream) -> u64 {
        self.topics.entry(stream).or_default().end()
    }

    /// Returns a page of the newest record of each key.
    pub(crate) fn newest(&mut self, stream: Stream, after: &str) -> LoadOutcome {
        if let Some(fault) = self.read_fault(stream) {
            return Err(fault);
        }
        let topic = self.topics.entry(stream).or_default();
        let mut records = Vec::new();
        let mut has_more = false;
        let later_keys = (Bound::Excluded(Box::from(after)), Bound::Unbounded);
        for record in topic
            .newest
            .range::<Box<str>, _>(later_keys)
            .map(|(_, record)| record)
        {
            if records.len() == self.limits.page_keys {
                has_more = true;
                break;
            }
            records.push(record.clone());
        }
        Ok(Page {
            records,
            end: topic.end(),
            has_more,
        })
    }

    /// Returns the number of keys of a stream.
    pub(crate) fn keys(&self, stream: Stream) -> usize {
        self.topics
            .get(&stream)
            .map_or(0, |topic| topic.newest.len())
    }

    /// Returns the keys of a stream.
    pub(crate) fn key_names(&self, stream: Stream) -> Vec<Box<str>> {
        let topic = self.topics.get(&stream);
        topic.map_or(Vec::new(), |topic| topic.newest.keys().cloned().collect())
    }

    /// Trims all streams; the newest record of each key stays.
    pub(crate) fn drop_history(&mut self) {
        for topic in self.topics.values_mut() {
            topic.oldest = topic.end();
        }
    }
}
