//! Entry of callers' requests.
//!
//! A request passes through these phases: its intent is recorded if it is not idempotent and has an
//! identity, a slot at an instance is requested, an attempt is sent, and the caller is answered.

mod attempts;
mod slots;

use super::Node;
use crate::event::Answer;
use crate::event::Request;
use crate::ids::Cell;
use crate::message::IntentVerdict;
use crate::message::Message;
use crate::notes::Code;
use crate::record::Outcome;
use crate::retry::Budget;

/// Time after which an owner that has not answered is asked again.
const ANSWER_TIMEOUT_MS: u64 = 100;
/// Consecutive requests without an answer after which an owner counts as dead.
const MAX_UNANSWERED: u32 = 2;
/// Time for which a cell whose owner counts as dead gets no requests.
const AVOID_MS: u64 = 500;
/// Delay after which callers are advised to retry while no owner can serve a request.
const NO_OWNER_RETRY_MS: u64 = 1_000;

/// Latest information on the load of a cell that another host may own.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hint {
    /// Free slots, or millicores for a cell of workers.
    pub(super) free: u32,
    /// Time until which the cell refuses requests.
    pub(super) refuses_until_ms: u64,
}

impl Default for Hint {
    fn default() -> Self {
        Self {
            free: u32::MAX,
            refuses_until_ms: 0,
        }
    }
}

/// Phase of an active request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Its intent is being recorded.
    Intent { asked_ms: u64 },
    /// A slot is requested.
    Slot {
        cell: Cell,
        first_asked_ms: u64,
        asked_ms: u64,
    },
    /// An attempt is at an instance; its slot may be used for another request until `use_by_ms`.
    Attempt {
        cell: Cell,
        grant: u64,
        use_by_ms: u64,
    },
    /// The outcome of an attempt is unknown; the attempt has ended by the given time.
    AwaitingEnd { until_ms: u64 },
}

/// A slot that is granted to this entry host.
#[derive(Debug, Clone)]
struct HeldSlot {
    cell: Cell,
    grant: u64,
    address: Box<str>,
    use_by_ms: u64,
}

/// A request of a caller of this entry host that is not answered yet.
#[derive(Debug, Clone)]
pub(super) struct ActiveRequest {
    request: Request,
    phase: Phase,
    tried_cells: Vec<Cell>,
    has_intent: bool,
    /// The owner of the identity has confirmed that no request with this identity has run.
    is_confirmed_not_run: bool,
    retry_hint_ms: u64,
    /// Requests for a slot since the owner of the cell last answered.
    unanswered: u32,
    /// Instance of the latest attempt.
    address: Box<str>,
    /// Attempts that ended without a complete answer.
    interruptions: u32,
    /// Outcome of the attempts so far, which decides the answer if no further one succeeds.
    history: History,
}

/// What is known of a request's previous attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum History {
    /// No attempt has reached an instance.
    NotReached,
    /// An attempt may have run and brought no answer.
    MayHaveRun,
    /// An attempt brought a complete answer, which the network edge retains for the caller.
    Complete,
}

impl Node {
    /// Handles a new request of a caller.
    pub(super) fn handle_request(&mut self, request: Request) {
        let number = request.request;
        let Some(service) = self.config.inventory().services.get(&request.service) else {
            self.answer(number, Answer::NotListed);
            return;
        };
        let timeout_ms = service.timeout_ms;
        self.note(Code::RequestTaken, number.to_string(), &*request.service);
        let may_act = self.acts_until_ms().is_some();
        if !may_act || self.now_ms >= request.deadline_ms {
            let reason = if may_act {
                "its deadline has passed"
            } else {
                "this entry host may not act now"
            };
            match needs_intent(&request) {
                true => self.answer(number, unconfirmed(NO_OWNER_RETRY_MS)),
                false => self.answer_not_run(number, reason, NO_OWNER_RETRY_MS),
            }
            return;
        }
        let retry_permille = self.limits.retry_permille;
        let budget = self.budgets.entry(request.service.clone());
        budget.or_insert_with(|| Budget::new(retry_permille)).earn();
        let mut request = request;
        request.deadline_ms = request.deadline_ms.min(self.now_ms + 4 * timeout_ms);
        let needs_intent = needs_intent(&request);
        let active = ActiveRequest {
            request,
            phase: Phase::Intent {
                asked_ms: self.now_ms,
            },
            tried_cells: Vec::new(),
            has_intent: false,
            is_confirmed_not_run: false,
            retry_hint_ms: 0,
            unanswered: 0,
            address: Box::default(),
            interruptions: 0,
            history: History::NotReached,
        };
        self.active_requests.insert(number, active);
        if needs_intent {
            self.request_intent(number);
        } else {
            self.ask_for_slot(number);
        }
    }

    fn answer_not_run(&mut self, request: u64, reason: &'static str, retry_after_ms: u64) {
        let answer = Answer::NotRun {
            reason,
            retry_after_ms,
        };
        self.answer(request, answer);
    }

    fn identity_cell(&self, identity: u128) -> Cell {
        Cell::Keys((identity % u128::from(self.limits.key_cells.max(1))) as u16)
    }

    /// Asks the owner of the request's identity to record its intent.
    fn request_intent(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let Some(active) = self.active_requests.get_mut(&number) else {
            return;
        };
        let Some(identity) = active.request.identity else {
            return;
        };
        active.phase = Phase::Intent { asked_ms: now_ms };
        let fingerprint = active.request.fingerprint;
        let cell = self.identity_cell(identity);
        let ask = Message::IntentRequest {
            cell,
            request: number,
            identity,
            fingerprint,
        };
        if !self.send_to_owner(cell, ask) {
            self.end_not_run(
                number,
                "nobody owns the request's identity now",
                NO_OWNER_RETRY_MS,
            );
        }
    }

    /// Handles messages to an entry host.
    pub(super) fn receive_as_entry(&mut self, message: Message) {
        match message {
            Message::IntentResponse { request, verdict } => self.handle_verdict(request, verdict),
            Message::GrantResponse {
                cell,
                request,
                verdict,
                free,
            } => self.handle_grant_response(request, cell, verdict, free),
            Message::NotOwner { cell, request } => self.handle_not_owner(cell, request),
            Message::JobResponse { request, verdict } => self.handle_job_response(request, verdict),
            _ => {}
        }
    }

    fn handle_verdict(&mut self, number: u64, verdict: IntentVerdict) {
        let Some(active) = self.active_requests.get_mut(&number) else {
            return;
        };
        if active.has_intent || !matches!(active.phase, Phase::Intent { .. }) {
            return;
        }
        match verdict {
            IntentVerdict::Proceed => {
                active.has_intent = true;
                self.note(Code::IntentRecorded, number.to_string(), "");
                self.ask_for_slot(number);
            }
            IntentVerdict::Pending => {
                self.note(Code::IntentRepeated, number.to_string(), "under way");
                let reason = "an earlier request with this identity may have run";
                self.finish_request(
                    number,
                    Answer::Unknown {
                        reason,
                        retry_after_ms: 0,
                    },
                );
            }
            IntentVerdict::Ended { outcome, status } => {
                self.note(Code::IntentRepeated, number.to_string(), "ended");
                self.finish_request(number, Answer::Repeated { outcome, status });
            }
            IntentVerdict::Conflict => self.finish_request(number, Answer::Conflict),
            IntentVerdict::Refused { retry_after_ms } => {
                active.is_confirmed_not_run = true;
                let reason = "its intent can't be recorded, because the log does not answer";
                self.end_not_run(number, reason, retry_after_ms);
            }
        }
    }

    /// Ends a request whose caller has disconnected, unless its intent is being recorded or an
    /// attempt is at an instance.
    pub(super) fn handle_caller_gone(&mut self, number: u64) {
        let phase = self.active_requests.get(&number).map(|active| active.phase);
        if matches!(phase, Some(Phase::Slot { .. } | Phase::AwaitingEnd { .. })) {
            self.end_not_run(number, "its caller has gone", 1);
        }
    }

    /// Continues the requests whose deadline, answer timeout or wait has passed.
    pub(super) fn tick_requests(&mut self) {
        let now_ms = self.now_ms;
        let mut due = Vec::new();
        for (number, active) in &self.active_requests {
            let is_late = now_ms >= active.request.deadline_ms;
            let is_due = match active.phase {
                Phase::Attempt { .. } => false,
                Phase::Intent { asked_ms } | Phase::Slot { asked_ms, .. } => {
                    is_late || now_ms >= asked_ms + ANSWER_TIMEOUT_MS
                }
                Phase::AwaitingEnd { until_ms } => is_late || now_ms >= until_ms,
            };
            if is_due {
                due.push((*number, active.phase, is_late));
            }
        }
        due.sort_unstable_by_key(|(number, _, _)| *number);
        for (number, phase, is_late) in due {
            self.continue_request(number, phase, is_late);
        }
    }

    fn continue_request(&mut self, number: u64, phase: Phase, is_late: bool) {
        match phase {
            Phase::AwaitingEnd { .. } if is_late || !self.try_retry(number) => {
                self.end_after_attempt(number);
            }
            Phase::AwaitingEnd { .. } | Phase::Attempt { .. } => {}
            _ if is_late => {
                self.end_not_run(number, "its deadline has passed", NO_OWNER_RETRY_MS);
            }
            Phase::Intent { .. } => self.request_intent(number),
            // An owner answers even if the request has to wait, so silence means that the owner is
            // dead or can't be reached; another cell of the service is asked after repeated silence.
            Phase::Slot { cell, .. } => self.retry_slot_request(number, cell),
        }
    }

    /// Ends a request that gets no further attempt.
    ///
    /// The answer is "not run" only if no attempt has reached an instance and no earlier request
    /// with the same identity can have run.
    fn end_not_run(&mut self, number: u64, reason: &'static str, retry_after_ms: u64) {
        if let Some(active) = self.active_requests.get(&number)
            && let Phase::Slot { cell, .. } = active.phase
        {
            self.send_to_owner(
                cell,
                Message::GrantCancel {
                    cell,
                    request: number,
                },
            );
        }
        if self
            .active_requests
            .get(&number)
            .is_some_and(|active| active.history != History::NotReached)
        {
            self.end_after_attempt(number);
            return;
        }
        self.send_intent_outcome(number, Outcome::NotRun, 0);
        let may_have_run = self.active_requests.get(&number).is_some_and(|active| {
            needs_intent(&active.request) && !active.has_intent && !active.is_confirmed_not_run
        });
        let answer = match may_have_run {
            true => unconfirmed(retry_after_ms),
            false => Answer::NotRun {
                reason,
                retry_after_ms,
            },
        };
        self.finish_request(number, answer);
    }

    /// Reports the outcome of a request to the owner of its identity.
    fn send_intent_outcome(&mut self, number: u64, outcome: Outcome, status: u16) {
        let Some(active) = self.active_requests.get(&number) else {
            return;
        };
        let Some(identity) = active
            .request
            .identity
            .filter(|_| !active.request.is_idempotent)
        else {
            return;
        };
        let cell = self.identity_cell(identity);
        let end = Message::IntentOutcome {
            cell,
            request: number,
            identity,
            was_admitted: active.has_intent,
            outcome,
            status,
        };
        self.send_to_owner(cell, end);
    }

    /// Removes a request and answers its caller.
    fn finish_request(&mut self, number: u64, answer: Answer) {
        if self.active_requests.remove(&number).is_none() {
            return;
        }
        self.note(
            Code::RequestAnswered,
            number.to_string(),
            format!("{answer:?}"),
        );
        self.answer(number, answer);
    }
}

/// Returns whether a request's intent must be recorded before it may run.
///
/// A request without an identity can't be repeated by its caller, so it is sent once without a
/// record.
fn needs_intent(request: &Request) -> bool {
    !request.is_idempotent && request.identity.is_some()
}

/// Returns the answer to a request that did not run here, but whose identity an earlier request may
/// have used elsewhere.
fn unconfirmed(retry_after_ms: u64) -> Answer {
    Answer::Unknown {
        reason: "the owner of its identity has not answered; repeat it under the same identity",
        retry_after_ms,
    }
}
