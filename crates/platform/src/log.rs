//! Client of the platform's append-only log.

use crate::fault::PlatformFault;
use crate::fault::agent;
use crate::fault::unanswered;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;

/// Body of the answer to an append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the appended record.
    pub offset: u64,
}

/// A record in the answer to a read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogRecord {
    /// Offset of the record.
    pub offset: u64,
    /// Content of the record, encoded in base64.
    pub payload: String,
}

/// Body of the answer to a read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadReply {
    /// Oldest offset that is still retained.
    pub oldest: u64,
    /// Offset of the next append.
    pub end: u64,
    /// Records from the requested offset on.
    pub records: Vec<LogRecord>,
}

/// Consecutive records of a stream, decoded, with the bounds of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Oldest offset that is still retained.
    pub oldest: u64,
    /// Offset of the next append.
    pub end: u64,
    /// Offsets and contents of the records.
    pub records: Vec<(u64, Vec<u8>)>,
}

/// Client of the log.
#[derive(Debug, Clone)]
pub struct LogClient {
    url: Box<str>,
    agent: ureq::Agent,
}

/// Maximum number of records requested by one read.
const MAX_READ_RECORDS: usize = 500;

impl LogClient {
    /// Creates a client of the log at `url`, whose calls end within `timeout_ms` milliseconds.
    pub fn new(url: &str, timeout_ms: u64) -> Self {
        Self {
            url: url.trim_end_matches('/').into(),
            agent: agent(timeout_ms),
        }
    }

    /// Appends a record to a stream and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformFault::Unanswered`] if no complete answer arrived. The record may have
    /// been appended nevertheless.
    pub fn append(&self, stream: &str, payload: &[u8]) -> Result<u64, PlatformFault> {
        const STEP: &str = "appending to the log";
        let url = format!("{}/v1/streams/{stream}/records", self.url);
        let mut response = self
            .agent
            .post(&url)
            .send(STANDARD.encode(payload))
            .map_err(|error| unanswered(STEP, &self.url, error))?;
        let reply: AppendReply = response
            .body_mut()
            .read_json()
            .map_err(|error| unanswered(STEP, &self.url, error))?;
        Ok(reply.offset)
    }

    /// Reads up to 500 records of a stream, from offset `from` on.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformFault::Unanswered`] if no complete answer arrived, and
    /// [`PlatformFault::Unreadable`] if the content of a record is not valid base64.
    pub fn read(&self, stream: &str, from: u64) -> Result<LogPage, PlatformFault> {
        const STEP: &str = "reading the log";
        let url = format!(
            "{}/v1/streams/{stream}/records?from={from}&most={MAX_READ_RECORDS}",
            self.url
        );
        let mut response = self
            .agent
            .get(&url)
            .call()
            .map_err(|error| unanswered(STEP, &self.url, error))?;
        let reply: ReadReply = response
            .body_mut()
            .with_config()
            .limit(64 * 1024 * 1024)
            .read_json()
            .map_err(|error| unanswered(STEP, &self.url, error))?;
        let mut records = Vec::with_capacity(reply.records.len());
        for record in reply.records {
            let payload = STANDARD
                .decode(&record.payload)
                .map_err(|_| PlatformFault::Unreadable(STEP, self.url.clone()))?;
            records.push((record.offset, payload));
        }
        Ok(LogPage {
            oldest: reply.oldest,
            end: reply.end,
            records,
        })
    }
}
