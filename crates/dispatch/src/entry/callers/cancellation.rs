//! Cancellations of jobs, also of those that no host knows.
//!
//! A job that is not known may be stored any time later: its submission may be on its way from
//! another host, or be carried out late by the store. It is therefore cancelled like any other before
//! its caller is told that it does not exist. Such cancellations are kept for as long as finished jobs,
//! whether their jobs are ever submitted or not. Callers may name any number of jobs, so a host that
//! knows of very many refuses further ones until older ones are deleted.

use crate::entry::Entry;
use crate::entry::callers::RETRY_AFTER_MS;
use crate::entry::queries::QueryKind;
use crate::entry::queries::Requester;
use crate::event::Action;
use crate::event::Now;
use crate::event::Reply;
use crate::ids::JobId;
use crate::record::Key;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Maximum number of cancellations without a job that a host knows of: some 3 MB.
const MAX_ONLY_CANCELLED: usize = 20_000;

impl Entry {
    /// Accepts the cancellation of a job. One that is not known is cancelled once that is certain.
    pub(crate) fn cancel(
        &mut self,
        request: u64,
        job: JobId,
        answer_timeout_ms: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        match self.job_table.jobs.get(&job) {
            Some(record) if record.state().is_final() && !record.is_only_cancelled() => {
                actions.push(Action::Answer {
                    request,
                    reply: Reply::Stored,
                });
            }
            Some(record) if record.submission.is_some() => {
                self.write_cancel(request, job, Reply::Stored, answer_timeout_ms, now, actions);
            }
            _ => self.add_query(
                Requester::Caller(request),
                QueryKind::Cancel(job, answer_timeout_ms),
                now,
            ),
        }
    }

    /// Cancels a job of which another host or a fresh read has told this much, and returns whether
    /// its caller is answered by that. A final job needs no cancellation.
    pub(in crate::entry) fn cancel_by(
        &mut self,
        known: &Reply,
        request: u64,
        job: JobId,
        answer_timeout_ms: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> bool {
        let reply = match known {
            Reply::State(state) if !state.is_final() => Reply::Stored,
            Reply::NoSuchJob if self.job_table.only_cancelled() >= MAX_ONLY_CANCELLED => {
                self.refuse_cancellation(request, job, actions);
                return true;
            }
            Reply::NoSuchJob => Reply::NoSuchJob,
            _ => return false,
        };
        self.write_cancel(request, job, reply, answer_timeout_ms, now, actions);
        true
    }

    fn refuse_cancellation(&mut self, request: u64, job: JobId, actions: &mut Vec<Action>) {
        actions.push(Action::Note(Note::new(
            Code::JobRefused,
            job.to_string(),
            format!("why=cancellations kept={}", self.job_table.only_cancelled()),
        )));
        let retry_after_ms = RETRY_AFTER_MS;
        let reply = Reply::NotDone { retry_after_ms };
        actions.push(Action::Answer { request, reply });
    }

    /// Writes a cancellation, and gives its caller this reply once it is stored.
    fn write_cancel(
        &mut self,
        request: u64,
        job: JobId,
        reply: Reply,
        answer_timeout_ms: u64,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let value = Box::from(*b"1");
        self.write(
            request,
            job,
            Key::Cancelled(job),
            value,
            reply,
            answer_timeout_ms,
            now,
            actions,
        );
    }

    /// Answers the caller of a write that is stored. A job that was cancelled before it was known
    /// may be known by now.
    pub(super) fn answer_stored_write(
        &self,
        request: u64,
        job: JobId,
        reply: Reply,
        actions: &mut Vec<Action>,
    ) {
        let reply = match reply {
            Reply::NoSuchJob if self.job_table.is_submitted(job) => Reply::Stored,
            reply => reply,
        };
        actions.push(Action::Answer { request, reply });
    }
}
