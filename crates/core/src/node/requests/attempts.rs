//! Attempts: how they end, and what follows.

use super::super::Node;
use super::Held;
use super::NO_OWNER_RETRY_MS;
use super::Past;
use super::Phase;
use crate::event::Answer;
use crate::event::AttemptOutcome;
use crate::notes::Code;
use crate::record::Outcome;
use crate::slots::GrantOutcome;

/// Instances that may break off a request before it is sent to no other.
const CUTS_MOST: u32 = 2;

impl Node {
    pub(in crate::node) fn attempt_ended(&mut self, number: u64, end: AttemptOutcome) {
        let Some(flight) = self.flights.get(&number) else {
            return;
        };
        let Phase::Attempt {
            cell,
            grant,
            use_by_ms,
        } = flight.phase
        else {
            return;
        };
        let held = Held {
            cell,
            grant,
            address: flight.address.clone(),
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
        self.pass_on_slot(number, held, ended);
        match end {
            AttemptOutcome::Complete { status, .. } => self.whole(number, status),
            AttemptOutcome::NotStarted | AttemptOutcome::Expired => {
                if !self.try_again(number) {
                    let reason = "no instance could be reached";
                    self.end_not_run(number, reason, NO_OWNER_RETRY_MS);
                }
            }
            AttemptOutcome::Interrupted => self.cut(number),
        }
    }

    pub(super) fn whole(&mut self, number: u64, status: u16) {
        let is_failure = matches!(status, 502..=504);
        let mut is_idempotent = false;
        if let Some(flight) = self.flights.get_mut(&number) {
            flight.past = Past::Whole;
            is_idempotent = flight.request.is_idempotent;
        }
        if is_failure && is_idempotent && self.try_again(number) {
            return;
        }
        self.end_intent_of(number, Outcome::Answered, status);
        self.end(number, Answer::Whole);
    }

    /// An attempt brought no whole answer. Only an idempotent request may be sent
    /// again, and only once the former attempt must have ended, so that it never
    /// runs in two places. If its caller would no longer be waiting then, it is
    /// told at once.
    pub(super) fn cut(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let Some(flight) = self.flights.get_mut(&number) else {
            return;
        };
        if flight.past == Past::Nothing {
            flight.past = Past::MayHaveRun;
        }
        flight.cuts += 1;
        let service = self
            .config
            .inventory()
            .services
            .get(&flight.request.service);
        let timeout_ms = service.map_or(0, |service| service.timeout_ms);
        let until_ms = now_ms + timeout_ms;
        // It may be the request that brings down whoever runs it, which shows as instances that
        // break off one after the other; each of them takes the requests beside it down, too.
        let is_spared = flight.cuts < CUTS_MOST;
        if is_spared && flight.request.is_idempotent && until_ms < flight.request.deadline_ms {
            flight.phase = Phase::Lingering { until_ms };
            return;
        }
        self.end_after_attempt(number);
    }

    /// Ends a request by what its attempts so far amount to.
    pub(super) fn end_after_attempt(&mut self, number: u64) {
        let past = self.flights.get(&number).map(|flight| flight.past);
        if past == Some(Past::Whole) {
            self.end(number, Answer::Whole);
            return;
        }
        self.end_intent_of(number, Outcome::Unknown, 0);
        let reason = "an instance gave no whole answer";
        self.end(
            number,
            Answer::Unknown {
                reason,
                retry_after_ms: 0,
            },
        );
    }

    /// Sends a request once more if its deadline and the budget allow it.
    pub(super) fn try_again(&mut self, number: u64) -> bool {
        let now_ms = self.now_ms;
        let Some(flight) = self.flights.get_mut(&number) else {
            return false;
        };
        if now_ms >= flight.request.deadline_ms {
            return false;
        }
        let budget = self.budgets.get_mut(&flight.request.service);
        if !budget.is_some_and(|budget| budget.spend()) {
            return false;
        }
        flight.tried.clear();
        self.note(Code::RequestRetried, number.to_string(), "");
        self.ask_slot(number);
        true
    }
}
