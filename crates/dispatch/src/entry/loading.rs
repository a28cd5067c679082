//! What a host that has just started still has to read, and telling so.
//!
//! Right after all hosts have started, each of them reads all jobs and their states. On a
//! thin link that takes seconds. A host that took callers meanwhile would answer questions
//! about jobs that it has not read with "come again", and its callers would be late; one
//! line a second says what it still waits for and how far it is.

use crate::entry::Entry;
use crate::event::Action;
use crate::event::Now;
use crate::tail::Tail;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Pause between two lines about what is missing.
const REPORT_MS: u64 = 1_000;

/// What was said about loading.
#[derive(Debug, Default)]
pub(super) struct LoadingReport {
    since_ms: Option<u64>,
    reports: u64,
    is_done: bool,
}

impl Entry {
    /// Tells whether jobs or states still come in. A stream that the store refuses or does
    /// not answer for is not waited for: it may be away for long, and the others serve.
    pub(super) fn is_loading(&self) -> bool {
        self.followed().any(Tail::is_loading_on_time)
    }

    fn followed(&self) -> impl Iterator<Item = &Tail> {
        let reads_jobs = !self.reading.asks_owner();
        let jobs = self.jobs.iter().filter(move |_| reads_jobs);
        jobs.chain([&self.states])
    }

    /// Says once a second what is missing, and once that nothing is.
    pub(super) fn report_loading(&mut self, now: Now, actions: &mut Vec<Action>) {
        let now_ms = now.steady_ms;
        if self.loading.is_done {
            return;
        }
        let since_ms = *self.loading.since_ms.get_or_insert(now_ms);
        let is_done = self.followed().all(Tail::is_loaded);
        let is_due = now_ms >= since_ms + REPORT_MS * (self.loading.reports + 1);
        if !is_done && !is_due {
            return;
        }
        let records: usize = self.followed().map(Tail::loaded_records).sum();
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
        for tail in self.followed() {
            if !tail.is_loaded() {
                missing.push(tail.to_string());
            }
        }
        missing
    }
}
