//! Writes whose append had no answer. A host that reads jobs learns from its reads whether they are
//! stored; any other host queries the owner.

use crate::entry::Entry;
use crate::entry::queries::QueryKind;
use crate::entry::queries::Requester;
use crate::event::Action;
use crate::event::Now;
use crate::event::Reply;
use crate::job_table::JobState;
use crate::record::Key;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Interval between queries to the owner for a write whose append had no answer.
const QUERY_RETRY_MS: u64 = 600;

impl Entry {
    /// Answers the callers whose append had no answer and whose write was read back.
    pub(super) fn answer_read_back_writes(&mut self, now: Now, actions: &mut Vec<Action>) {
        let jobs = &self.job_table.jobs;
        let mut stored_writes = Vec::new();
        self.callers.writes.retain(|write| {
            let record = jobs.get(&write.job);
            let is_stored = write.is_doubtful
                && match write.key {
                    _ if write.is_read_back => true,
                    Key::Cancelled(_) => record.is_some_and(|record| record.is_cancelled),
                    _ => record.is_some_and(|record| record.submission.is_some()),
                };
            if is_stored {
                stored_writes.push((
                    write.request,
                    write.job,
                    write.reply.clone(),
                    write.received_ms,
                ));
            }
            !is_stored
        });
        for (request, job, reply, received_ms) in stored_writes {
            let took_ms = now.steady_ms - received_ms;
            actions.push(Action::Note(Note::new(
                Code::JobStored,
                job.to_string(),
                format!("what=read_back took_ms={took_ms}"),
            )));
            self.answer_stored_write(request, job, reply, actions);
        }
    }

    /// Queries the owner for writes whose append had no answer, on a host that does not read jobs.
    pub(super) fn query_owner_for_writes(&mut self, now: Now) {
        if !self.reading.reads_only_rules() {
            return;
        }
        let mut due = Vec::new();
        for write in &mut self.callers.writes {
            if !write.is_doubtful || write.is_read_back || now.steady_ms < write.next_query_ms {
                continue;
            }
            write.next_query_ms = now.steady_ms + QUERY_RETRY_MS;
            due.push((write.request, write.job));
        }
        for (request, job) in due {
            self.add_query(Requester::Write(request), QueryKind::State(job), now);
        }
    }

    /// Applies the owner's answer about the job of a write.
    pub(in crate::entry) fn record_read_back(&mut self, request: u64, reply: &Reply) {
        let Reply::State(state) = reply else {
            return;
        };
        for write in &mut self.callers.writes {
            if write.request == request {
                let is_cancelling = matches!(write.key, Key::Cancelled(_));
                write.is_read_back |= !is_cancelling || *state == JobState::Cancelled;
            }
        }
    }
}
