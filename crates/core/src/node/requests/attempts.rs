//! Outcomes of attempts, and the retry or answer that follows.

use super::super::Node;
use super::HeldSlot;
use super::History;
use super::NO_OWNER_RETRY_MS;
use super::Phase;
use crate::event::Answer;
use crate::event::AttemptOutcome;
use crate::notes::Code;
use crate::record::Outcome;
use crate::slots::GrantOutcome;

/// Interrupted attempts after which a request is sent to no further instance.
const MAX_INTERRUPTIONS: u32 = 2;

impl Node {
    /// Handles the end of an attempt: reuses or releases its slot, then retries or answers.
    pub(in crate::node) fn handle_attempt_end(&mut self, number: u64, end: AttemptOutcome) {
        let Some(active) = self.active_requests.get(&number) else {
            return;
        };
        let Phase::Attempt {
            cell,
            grant,
            use_by_ms,
        } = active.phase
        else {
            return;
        };
        let slot = HeldSlot {
            cell,
            grant,
            address: active.address.clone(),
            use_by_ms,
        };
        let ended = match end {
            AttemptOutcome::Complete { status, latency_ms } if status < 500 => {
                GrantOutcome::Answered { latency_ms }
            }
            AttemptOutcome::Complete { latency_ms, .. } => GrantOutcome::Failed { latency_ms },
            AttemptOutcome::NotStarted => GrantOutcome::NotStarted,
            AttemptOutcome::Expired => GrantOutcome::Unused,
            AttemptOutcome::Interrupted => GrantOutcome::Unknown,
        };
        self.reuse_or_release(number, slot, ended);
        match end {
            AttemptOutcome::Complete { status, .. } => self.handle_complete(number, status),
            AttemptOutcome::NotStarted | AttemptOutcome::Expired => {
                if !self.try_retry(number) {
                    let reason = "no instance could be reached";
                    self.end_not_run(number, reason, NO_OWNER_RETRY_MS);
                }
            }
            AttemptOutcome::Interrupted => self.handle_interrupted(number),
        }
    }

    /// Handles a complete answer. An idempotent request is retried after status 502 to 504.
    pub(super) fn handle_complete(&mut self, number: u64, status: u16) {
        let is_failure = matches!(status, 502..=504);
        let mut is_idempotent = false;
        if let Some(active) = self.active_requests.get_mut(&number) {
            active.history = History::Complete;
            is_idempotent = active.request.is_idempotent;
        }
        if is_failure && is_idempotent && self.try_retry(number) {
            return;
        }
        self.send_intent_outcome(number, Outcome::Answered, status);
        self.finish_request(number, Answer::Whole);
    }

    /// Handles an attempt that ended without a complete answer.
    ///
    /// Only an idempotent request is sent again, and only after the time by which the previous
    /// attempt has ended, so that the request never runs in two places at once. If its deadline
    /// comes before that time, the caller is answered immediately.
    pub(super) fn handle_interrupted(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let Some(active) = self.active_requests.get_mut(&number) else {
            return;
        };
        if active.history == History::NotReached {
            active.history = History::MayHaveRun;
        }
        active.interruptions += 1;
        let service = self
            .config
            .inventory()
            .services
            .get(&active.request.service);
        let timeout_ms = service.map_or(0, |service| service.timeout_ms);
        let until_ms = now_ms + timeout_ms;
        // The request itself may crash the instances that run it, in which case one instance after
        // the other interrupts it, and each crash also interrupts the other requests there.
        let may_retry = active.interruptions < MAX_INTERRUPTIONS;
        if may_retry && active.request.is_idempotent && until_ms < active.request.deadline_ms {
            active.phase = Phase::AwaitingEnd { until_ms };
            return;
        }
        self.end_after_attempt(number);
    }

    /// Ends a request with the answer that its attempts so far allow.
    pub(super) fn end_after_attempt(&mut self, number: u64) {
        let history = self
            .active_requests
            .get(&number)
            .map(|active| active.history);
        if history == Some(History::Complete) {
            self.finish_request(number, Answer::Whole);
            return;
        }
        self.send_intent_outcome(number, Outcome::Unknown, 0);
        let reason = "an instance gave no whole answer";
        self.finish_request(
            number,
            Answer::Unknown {
                reason,
                retry_after_ms: 0,
            },
        );
    }

    /// Sends a request once more if its deadline and the retry budget allow it, and returns whether
    /// it does.
    pub(super) fn try_retry(&mut self, number: u64) -> bool {
        let now_ms = self.now_ms;
        let Some(active) = self.active_requests.get_mut(&number) else {
            return false;
        };
        if now_ms >= active.request.deadline_ms {
            return false;
        }
        let budget = self.budgets.get_mut(&active.request.service);
        if !budget.is_some_and(|budget| budget.spend()) {
            return false;
        }
        active.tried_cells.clear();
        self.note(Code::RequestRetried, number.to_string(), "");
        self.ask_for_slot(number);
        true
    }
}
