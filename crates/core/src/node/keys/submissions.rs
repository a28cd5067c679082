//! Jobs that callers of this entry host submit.

use super::super::Node;
use super::super::workers::team_of;
use super::ANSWER_MS;
use super::NO_OWNER_RETRY_MS;
use super::Submission;
use crate::event::Answer;
use crate::ids::Cell;
use crate::message::JobVerdict;
use crate::message::Message;
use crate::record::JobSpec;

impl Node {
    /// Takes a job from a caller of this entry host.
    pub(in crate::node) fn submit(&mut self, request: u64, spec: JobSpec) {
        const PATIENCE_MS: u64 = 5_000;
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
            deadline_ms: self.now_ms + PATIENCE_MS,
        };
        self.ask_for_job(request, &submission.spec);
        self.submissions.insert(request, submission);
    }

    pub(super) fn ask_for_job(&mut self, request: u64, spec: &JobSpec) {
        let cell = Cell::keys(team_of(&spec.id), self.limits.key_cells);
        let ask = Message::JobRequest {
            cell,
            request,
            spec: spec.clone(),
        };
        self.send_to_owner(cell, ask);
    }

    /// Asks again for submissions that went unanswered; gives up at the deadline.
    /// Whether such a job was accepted is not known then: the caller submits it
    /// again under the same identity to learn it.
    pub(super) fn ask_again_for_jobs(&mut self) {
        let now_ms = self.now_ms;
        let due = self
            .submissions
            .iter_mut()
            .filter(|(_, entry)| now_ms >= entry.asked_ms + ANSWER_MS);
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
            self.ask_for_job(request, &spec);
        }
    }

    /// Takes what the owner of a job's cell answered.
    pub(in crate::node) fn job_answered(&mut self, request: u64, verdict: JobVerdict) {
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
