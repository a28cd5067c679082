//! Progress of the initial load, and its report in the log.
//!
//! Right after all hosts have started, each of them reads all jobs and their states, which takes
//! seconds over a slow link. A host that accepted callers in the meantime would answer queries
//! about jobs that it has not read with a request to retry, and its callers would time out. One log
//! line a second states which streams are missing and how many records have arrived.

use crate::entry::Entry;
use crate::event::Action;
use crate::event::Now;
use crate::tail::Tail;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Interval between log lines about missing streams.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// What was logged about loading.
#[derive(Debug, Default)]
pub(super) struct LoadingReport {
    since_ms: Option<u64>,
    reports: u64,
    is_done: bool,
}

impl Entry {
    /// Returns whether jobs or states still arrive. A stream that the store refuses, or for which
    /// it does not answer, is not awaited: it may be unavailable for long, and the others suffice
    /// to serve callers.
    pub(super) fn is_loading(&self) -> bool {
        self.followed_tails().any(Tail::is_loading_on_time)
    }

    fn followed_tails(&self) -> impl Iterator<Item = &Tail> {
        let reads_jobs = !self.reading.asks_owner();
        let jobs = self.jobs.iter().filter(move |_| reads_jobs);
        jobs.chain([&self.states])
    }

    /// Logs once a second which streams are missing, and once that all are loaded.
    pub(super) fn report_loading(&mut self, now: Now, actions: &mut Vec<Action>) {
        let now_ms = now.steady_ms;
        if self.loading.is_done {
            return;
        }
        let since_ms = *self.loading.since_ms.get_or_insert(now_ms);
        let is_done = self.followed_tails().all(Tail::is_loaded);
        let is_due = now_ms >= since_ms + REPORT_INTERVAL_MS * (self.loading.reports + 1);
        if !is_done && !is_due {
            return;
        }
        let records: usize = self.followed_tails().map(Tail::loaded_records).sum();
        let detail = format!("records={records} age_ms={}", now_ms - since_ms);
        let note = match is_done {
            true => Note::new(Code::StreamsLoaded, &*self.host, detail),
            false => {
                let detail = format!("missing={} {detail}", self.list_missing().join(","));
                Note::new(Code::StreamsLoading, &*self.host, detail)
            }
        };
        self.loading.is_done = is_done;
        self.loading.reports += 1;
        actions.push(Action::Note(note));
    }

    fn list_missing(&self) -> Vec<String> {
        let mut missing = Vec::new();
        for tail in self.followed_tails() {
            if !tail.is_loaded() {
                missing.push(tail.to_string());
            }
        }
        missing
    }
}
