//! An instance of a service, which records the requests that it serves.

/// The run of one request at an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Identity that the caller gave, or the number of the request.
    pub identity: String,
    /// Start time, in milliseconds.
    pub started_ms: u64,
    /// End time, in milliseconds; while the request runs, the planned one.
    pub ended_ms: u64,
}

/// The state of an instance.
#[derive(Debug, Clone, Default)]
pub struct UpstreamState {
    /// All runs so far.
    pub runs: Vec<Run>,
    /// Number of requests that run at present.
    pub in_use: u32,
    /// Highest number of concurrent requests so far.
    pub max_in_use: u32,
}

impl UpstreamState {
    /// Starts the run of a request and returns its index in [`UpstreamState::runs`].
    pub fn begin(&mut self, identity: &str, now_ms: u64, until_ms: u64) -> usize {
        self.in_use += 1;
        self.max_in_use = self.max_in_use.max(self.in_use);
        self.runs.push(Run {
            identity: identity.into(),
            started_ms: now_ms,
            ended_ms: until_ms,
        });
        self.runs.len() - 1
    }

    /// Ends a run. It panics if there is no such run.
    pub fn end(&mut self, run: usize, now_ms: u64) {
        self.in_use -= 1;
        self.runs[run].ended_ms = now_ms;
    }
}
