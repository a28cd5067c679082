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
        self.followed().any(Tail::is_arriving)
    }

    fn followed(&self) -> impl Iterator<Item = &Tail> {
        self.jobs.iter().chain([&self.states])
    }

    /// Says once a second what is missing, and once that nothing is.
    pub(super) fn report_loading(&mut self, now: Now, actions: &mut Vec<Action>) {
        let now_ms = now.steady_ms;
        if self.loading.is_done {
            return;
        }
        let since_ms = *self.loading.since_ms.get_or_insert(now_ms);
        let mut missing = Vec::new();
        let mut records = 0;
        for tail in self.followed() {
            if !tail.is_loaded() {
                missing.push(tail.to_string());
            }
            records += tail.arrived();
        }
        let age_ms = now_ms - since_ms;
        let detail = format!("records={records} age_ms={age_ms}");
        if missing.is_empty() {
            self.loading.is_done = true;
            let note = Note::new(Code::StreamsLoaded, &*self.host, detail);
            actions.push(Action::Note(note));
            return;
        }
        if now_ms < since_ms + REPORT_MS * (self.loading.reports + 1) {
            return;
        }
        self.loading.reports += 1;
        let detail = format!("missing={} {detail}", missing.join(","));
        let note = Note::new(Code::StreamsLoading, &*self.host, detail);
        actions.push(Action::Note(note));
    }
}
