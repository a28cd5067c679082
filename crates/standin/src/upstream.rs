//! An instance of a service: works on requests and records which it ran.

/// One request that an instance worked on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Identity that the caller gave, or its number.
    pub identity: String,
    /// When it began.
    pub started_ms: u64,
    /// When it ended.
    pub ended_ms: u64,
}

/// One instance.
#[derive(Debug, Clone, Default)]
pub struct UpstreamState {
    /// Requests that it worked on.
    pub runs: Vec<Run>,
    /// Requests at work now.
    pub in_use: u32,
    /// Most requests at work at a time so far.
    pub max_in_use: u32,
}

impl UpstreamState {
    /// Begins to work on a request; gives the number of the run.
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

    /// Ends a run.
    pub fn end(&mut self, run: usize, now_ms: u64) {
        self.in_use -= 1;
        self.runs[run].ended_ms = now_ms;
    }
}
