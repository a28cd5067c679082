//! The platform's log: streams of records with offsets and limited retention.

use goldcrestway_platform::LogPage;
use std::collections::BTreeMap;
use std::collections::VecDeque;

#[derive(Debug, Clone, Default)]
struct StreamState {
    oldest: u64,
    records: VecDeque<Vec<u8>>,
}

/// The state of a log with all its streams.
#[derive(Debug, Clone, Default)]
pub struct LogState {
    streams: BTreeMap<Box<str>, StreamState>,
    /// Number of appends that took effect, over all streams.
    pub appends: u64,
    /// Total size of the payloads of these appends, in bytes.
    pub bytes: u64,
}

impl LogState {
    /// Appends a record and returns its offset.
    pub fn append(&mut self, stream: &str, payload: Vec<u8>) -> u64 {
        self.appends += 1;
        self.bytes += payload.len() as u64;
        let state = self.streams.entry(stream.into()).or_default();
        state.records.push_back(payload);
        state.oldest + state.records.len() as u64 - 1
    }

    /// Returns up to `max_records` records from the offset `from` on. An offset that is not stored
    /// is replaced by the nearest one that is.
    pub fn read(&self, stream: &str, from: u64, max_records: usize) -> LogPage {
        let empty = StreamState::default();
        let state = self.streams.get(stream).unwrap_or(&empty);
        let end = state.oldest + state.records.len() as u64;
        let from = from.clamp(state.oldest, end);
        let skipped = (from - state.oldest) as usize;
        let records = state
            .records
            .iter()
            .skip(skipped)
            .take(max_records)
            .enumerate();
        LogPage {
            oldest: state.oldest,
            end,
            records: records
                .map(|(index, payload)| (from + index as u64, payload.clone()))
                .collect(),
        }
    }

    /// Drops all but the newest `keep` records of a stream, as retention does.
    pub fn expire(&mut self, stream: &str, keep: usize) {
        let Some(state) = self.streams.get_mut(stream) else {
            return;
        };
        while state.records.len() > keep {
            state.records.pop_front();
            state.oldest += 1;
        }
    }
}
