//! Identities of non-idempotent requests, at their owner.

use super::super::Node;
use super::LOG_AWAY_RETRY_MS;
use crate::identity::Admission;
use crate::identity::State;
use crate::ids::Cell;
use crate::ids::Member;
use crate::message::IntentVerdict;
use crate::message::Message;
use crate::record::Outcome;
use crate::record::Record;

impl Node {
    pub(super) fn intent_stands(&mut self, number: u16, identity: u128, fingerprint: u64) {
        let now_ms = self.now_ms;
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let Some((asker, request)) = cell.intent_askers.get(&identity).copied() else {
            // Its caller gave up meanwhile; the record of that follows.
            return;
        };
        cell.identities.begin(now_ms, identity, fingerprint);
        let verdict = IntentVerdict::Proceed;
        self.send(asker.seat, Message::IntentResponse { request, verdict });
    }

    pub(super) fn ask_intent(
        &mut self,
        number: u16,
        from: Member,
        request: u64,
        identity: u128,
        fingerprint: u64,
    ) -> Option<IntentVerdict> {
        let now_ms = self.now_ms;
        let is_away = self.claims_log.is_unavailable();
        let cell = self.keys.get_mut(&number)?;
        let is_same = cell.intent_askers.get(&identity) == Some(&(from, request));
        match cell.identities.admit(now_ms, identity, fingerprint) {
            Admission::Conflict => Some(IntentVerdict::Conflict),
            // The asker did not hear the first answer.
            Admission::Known(State::Recording) if is_same => None,
            Admission::Known(State::Begun) if is_same => Some(IntentVerdict::Proceed),
            Admission::Known(State::Recording | State::Begun) => Some(IntentVerdict::Pending),
            Admission::Known(State::Ended { outcome, status }) => {
                Some(IntentVerdict::Ended { outcome, status })
            }
            Admission::New if is_away => {
                cell.identities.withdraw(identity);
                let retry_after_ms = LOG_AWAY_RETRY_MS;
                Some(IntentVerdict::Refused { retry_after_ms })
            }
            Admission::New => {
                cell.intent_askers.insert(identity, (from, request));
                let record = Record::Intent {
                    identity,
                    fingerprint,
                };
                cell.writer.push(now_ms, record);
                None
            }
        }
    }

    /// Notes how a request with an identity ended.
    ///
    /// What goes wrong without the checks: a repeat that this owner's predecessor
    /// never answered gives up and says that it did not run; the identity is freed
    /// though the first request with it did run, and the next repeat runs again.
    /// Only the request that was told to go may free an identity. After a take-over
    /// the owner does not know which one that was, so it must say so itself.
    pub(super) fn end_intent(&mut self, from: Member, ended: IntentEnded) {
        let (now_ms, limits) = (self.now_ms, self.limits);
        let identity = ended.identity;
        let Cell::Keys(number) = ended.cell else {
            return;
        };
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let is_let_go = match cell.intent_askers.get(&identity) {
            Some((asker, request)) => (asker.seat, *request) == (from.seat, ended.request),
            None => ended.was_admitted && cell.identities.state(identity) == Some(State::Begun),
        };
        if !is_let_go {
            return;
        }
        cell.intent_askers.remove(&identity);
        cell.identities.end(identity, ended.outcome, ended.status);
        let record = Record::IntentEnded {
            identity,
            outcome: ended.outcome,
            status: ended.status,
        };
        cell.writer.push_lazily(now_ms, record, &limits);
    }
}

/// The end of a request with an identity, as its entry host tells it.
#[derive(Debug, Clone, Copy)]
pub(super) struct IntentEnded {
    pub(super) cell: Cell,
    pub(super) request: u64,
    pub(super) identity: u128,
    pub(super) was_admitted: bool,
    pub(super) outcome: Outcome,
    pub(super) status: u16,
}
