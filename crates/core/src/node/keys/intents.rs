//! Recording of non-idempotent requests by identity, at the owner of the cell of keys.
//!
//! An intent is recorded in the log before the request may run, so that a repeat under the same
//! identity does not run a second time.

use super::super::Node;
use super::LOG_UNAVAILABLE_RETRY_MS;
use crate::identity::Admission;
use crate::identity::State;
use crate::ids::Cell;
use crate::ids::Member;
use crate::message::IntentVerdict;
use crate::message::Message;
use crate::record::Outcome;
use crate::record::Record;

impl Node {
    /// Tells the requester of a committed intent to proceed.
    pub(super) fn apply_intent(&mut self, number: u16, identity: u128, fingerprint: u64) {
        let now_ms = self.now_ms;
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let Some((requester, request)) = cell.intent_requesters.get(&identity).copied() else {
            // The requester has reported an outcome meanwhile; the record of it follows.
            return;
        };
        cell.identities.begin(now_ms, identity, fingerprint);
        let verdict = IntentVerdict::Proceed;
        self.send(requester.seat, Message::IntentResponse { request, verdict });
    }

    /// Admits a request with an identity, or returns why it may not run.
    ///
    /// Returns `None` if the intent is being recorded: the answer is sent once it is committed.
    pub(super) fn handle_intent_request(
        &mut self,
        number: u16,
        from: Member,
        request: u64,
        identity: u128,
        fingerprint: u64,
    ) -> Option<IntentVerdict> {
        let now_ms = self.now_ms;
        let is_unavailable = self.claims_log.is_unavailable();
        let cell = self.keys.get_mut(&number)?;
        let is_same = cell.intent_requesters.get(&identity) == Some(&(from, request));
        match cell.identities.admit(now_ms, identity, fingerprint) {
            Admission::Conflict => Some(IntentVerdict::Conflict),
            // The same request asks again: its first answer may have been lost.
            Admission::Known(State::Recording) if is_same => None,
            Admission::Known(State::Begun) if is_same => Some(IntentVerdict::Proceed),
            Admission::Known(State::Recording | State::Begun) => Some(IntentVerdict::Pending),
            Admission::Known(State::Ended { outcome, status }) => {
                Some(IntentVerdict::Ended { outcome, status })
            }
            Admission::New if is_unavailable => {
                cell.identities.withdraw(identity);
                let retry_after_ms = LOG_UNAVAILABLE_RETRY_MS;
                Some(IntentVerdict::Refused { retry_after_ms })
            }
            Admission::New => {
                cell.intent_requesters.insert(identity, (from, request));
                let record = Record::Intent {
                    identity,
                    fingerprint,
                };
                cell.writer.push(now_ms, record);
                None
            }
        }
    }

    /// Records the outcome of a request with an identity.
    ///
    /// Only the request that was told to proceed may end its identity. Otherwise a repeat
    /// that the previous owner never answered could give up and report that it did not run:
    /// the identity would be freed although the first request with it did run, and the next
    /// repeat would run again. After a change of owner the new owner does not know which
    /// request was admitted, so the message itself says whether it was.
    pub(super) fn handle_intent_outcome(&mut self, from: Member, ended: ReportedOutcome) {
        let (now_ms, limits) = (self.now_ms, self.limits);
        let identity = ended.identity;
        let Cell::Keys(number) = ended.cell else {
            return;
        };
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let is_admitted_request = match cell.intent_requesters.get(&identity) {
            Some((requester, request)) => (requester.seat, *request) == (from.seat, ended.request),
            None => ended.was_admitted && cell.identities.state(identity) == Some(State::Begun),
        };
        if !is_admitted_request {
            return;
        }
        cell.intent_requesters.remove(&identity);
        cell.identities.end(identity, ended.outcome, ended.status);
        let record = Record::IntentEnded {
            identity,
            outcome: ended.outcome,
            status: ended.status,
        };
        cell.writer.push_lazily(now_ms, record, &limits);
    }
}

/// Outcome of a request with an identity, as its entry host reports it.
#[derive(Debug, Clone, Copy)]
pub(super) struct ReportedOutcome {
    pub(super) cell: Cell,
    pub(super) request: u64,
    pub(super) identity: u128,
    pub(super) was_admitted: bool,
    pub(super) outcome: Outcome,
    pub(super) status: u16,
}
