//! The platform's append-only log.

use crate::fault::PlatformFault;
use crate::fault::agent;
use crate::fault::unanswered;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde::Serialize;

/// Answer to an append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendReply {
    /// Where the record stands.
    pub offset: u64,
}

/// One record in an answer to a read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogRecord {
    /// Where it stands.
    pub offset: u64,
    /// Its bytes in base64.
    pub payload: String,
}

/// Answer to a read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadReply {
    /// Oldest offset that is still kept.
    pub oldest: u64,
    /// Offset that the next append will get.
    pub end: u64,
    /// The records from the offset asked for.
    pub records: Vec<LogRecord>,
}

/// A part of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogSlice {
    /// Oldest offset that is still kept.
    pub oldest: u64,
    /// Offset that the next append will get.
    pub end: u64,
    /// Records with their offsets.
    pub records: Vec<(u64, Vec<u8>)>,
}

/// Client of the log.
#[derive(Debug, Clone)]
pub struct LogClient {
    url: Box<str>,
    agent: ureq::Agent,
}

/// Most records of one read.
const MAX_READ_RECORDS: usize = 500;

impl LogClient {
    /// Makes a client of the log at `url`.
    pub fn new(url: &str, timeout_ms: u64) -> Self {
        Self {
            url: url.trim_end_matches('/').into(),
            agent: agent(timeout_ms),
        }
    }

    /// Appends a record and gives its offset.
    ///
    /// # Errors
    ///
    /// When no answer came; the record may stand in the stream all the same.
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

    /// Reads records from offset `from` on.
    ///
    /// # Errors
    ///
    /// When no whole answer came.
    pub fn read(&self, stream: &str, from: u64) -> Result<LogSlice, PlatformFault> {
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
        Ok(LogSlice {
            oldest: reply.oldest,
            end: reply.end,
            records,
        })
    }
}
