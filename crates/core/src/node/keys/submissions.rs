//! Submission of jobs by callers of this entry host.

use super::super::Node;
use super::super::workers::team_of;
use super::ANSWER_TIMEOUT_MS;
use super::NO_OWNER_RETRY_MS;
use super::Submission;
use crate::event::Answer;
use crate::ids::Cell;
use crate::message::JobVerdict;
use crate::message::Message;
use crate::record::JobSpec;

impl Node {
    /// Handles a job submitted by a caller of this entry host.
    pub(in crate::node) fn handle_submit(&mut self, request: u64, spec: JobSpec) {
        const SUBMIT_TIMEOUT_MS: u64 = 5_000;
        if !self.config.inventory().jobs.contains_key(&spec.job) {
            self.answer(request, Answer::NotListed);
            return;
        }
        if let Some(reason) = self.runnable.reason(&spec.job) {
            self.answer(request, Answer::NeverRuns { reason });
            return;
        }
        if self.acts_until_ms().is_none() {
            let reason = "this entry host may not act now";
            self.answer(
                request,
                Answer::NotRun {
                    reason,
                    retry_after_ms: NO_OWNER_RETRY_MS,
                },
            );
            return;
        }
        let submission = Submission {
            spec,
            asked_ms: self.now_ms,
            deadline_ms: self.now_ms + SUBMIT_TIMEOUT_MS,
        };
        self.request_job(request, &submission.spec);
        self.submissions.insert(request, submission);
    }

    /// Asks the owner of the job's cell of keys to accept it.
    pub(super) fn request_job(&mut self, request: u64, spec: &JobSpec) {
        let cell = Cell::keys(team_of(&spec.id), self.limits.key_cells);
        let ask = Message::JobRequest {
            cell,
            request,
            spec: spec.clone(),
        };
        self.send_to_owner(cell, ask);
    }

    /// Repeats requests for submissions without an answer, until their deadline.
    ///
    /// After the deadline the caller is told that it is unknown whether the job was accepted; a
    /// submission under the same identity shows it.
    pub(super) fn retry_submissions(&mut self) {
        let now_ms = self.now_ms;
        let due = self
            .submissions
            .iter_mut()
            .filter(|(_, entry)| now_ms >= entry.asked_ms + ANSWER_TIMEOUT_MS);
        let mut again = Vec::new();
        for (request, entry) in due {
            entry.asked_ms = now_ms;
            again.push((*request, entry.spec.clone(), now_ms >= entry.deadline_ms));
        }
        for (request, spec, is_over) in again {
            if is_over {
                self.submissions.remove(&request);
                let reason = "no owner of the job's cell has answered; submit it again under the same identity";
                self.answer(
                    request,
                    Answer::Unknown {
                        reason,
                        retry_after_ms: 0,
                    },
                );
                continue;
            }
            self.request_job(request, &spec);
        }
    }

    /// Handles the verdict of the owner of a job's cell.
    pub(in crate::node) fn handle_job_response(&mut self, request: u64, verdict: JobVerdict) {
        if self.submissions.remove(&request).is_none() {
            return;
        }
        let answer = match verdict {
            JobVerdict::Accepted(state) => Answer::Job { state },
            JobVerdict::Refused { retry_after_ms } => Answer::NotRun {
                reason: "the log does not answer",
                retry_after_ms,
            },
        };
        self.answer(request, answer);
    }
}
