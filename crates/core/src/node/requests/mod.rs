//! Entry of callers' requests: intent, slot, attempt, answer.

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

/// How long an owner may take to answer before it is asked again.
const PATIENCE_MS: u64 = 100;
/// Times an owner is asked in vain before it counts as dead.
const ASKED_IN_VAIN: u32 = 2;
/// How long requests keep away from a cell whose owner seems dead.
const AVOID_MS: u64 = 500;
/// When asking again makes sense while nobody can serve a request.
const NO_OWNER_RETRY_MS: u64 = 1_000;

/// What is known of another host's cell.
#[derive(Debug, Clone, Copy)]
pub(super) struct Hint {
    /// Free slots, or millicores for a cell of workers.
    pub(super) free: u32,
    /// Until when the cell refuses.
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

/// Where a request stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// Its intent is being recorded.
    Intent { asked_ms: u64 },
    /// A slot is asked for.
    Slot {
        cell: Cell,
        first_ms: u64,
        asked_ms: u64,
    },
    /// It is at an instance, in a slot that may be used again until `use_by_ms`.
    Attempt {
        cell: Cell,
        grant: u64,
        use_by_ms: u64,
    },
    /// An attempt's fate is unknown; it must have ended by the given time.
    Lingering { until_ms: u64 },
}

/// A slot that is held for this entry host.
#[derive(Debug, Clone)]
struct Held {
    cell: Cell,
    grant: u64,
    address: Box<str>,
    use_by_ms: u64,
}

/// A request that this entry host has taken.
#[derive(Debug, Clone)]
pub(super) struct Flight {
    request: Request,
    phase: Phase,
    tried: Vec<Cell>,
    has_intent: bool,
    /// The owner of its identity has said that no request with it has run.
    is_vouched: bool,
    wait_hint_ms: u64,
    /// Times its owner was asked since it answered last.
    in_vain: u32,
    /// Instance of the latest attempt.
    address: Box<str>,
    /// Attempts that brought no whole answer.
    cuts: u32,
    /// What became of the attempts so far, for when no further one succeeds.
    past: Past,
}

/// What is known of a request's former attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Past {
    /// None has reached an instance.
    Nothing,
    /// One may have run and brought no answer.
    MayHaveRun,
    /// One brought a whole answer that says it failed; the edge holds it.
    Whole,
}

impl Node {
    pub(super) fn request(&mut self, request: Request) {
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
                true => self.answer(number, unvouched(NO_OWNER_RETRY_MS)),
                false => self.not_run(number, reason, NO_OWNER_RETRY_MS),
            }
            return;
        }
        let retry_permille = self.limits.retry_permille;
        let budget = self.budgets.entry(request.service.clone());
        budget.or_insert_with(|| Budget::new(retry_permille)).earn();
        let mut request = request;
        request.deadline_ms = request.deadline_ms.min(self.now_ms + 4 * timeout_ms);
        let needs_intent = needs_intent(&request);
        let flight = Flight {
            request,
            phase: Phase::Intent {
                asked_ms: self.now_ms,
            },
            tried: Vec::new(),
            has_intent: false,
            is_vouched: false,
            wait_hint_ms: 0,
            in_vain: 0,
            address: Box::default(),
            cuts: 0,
            past: Past::Nothing,
        };
        self.flights.insert(number, flight);
        if needs_intent {
            self.ask_intent_of(number);
        } else {
            self.ask_slot(number);
        }
    }

    fn not_run(&mut self, request: u64, reason: &'static str, retry_after_ms: u64) {
        let answer = Answer::NotRun {
            reason,
            retry_after_ms,
        };
        self.answer(request, answer);
    }

    fn identity_cell(&self, identity: u128) -> Cell {
        Cell::Keys((identity % u128::from(self.limits.key_cells.max(1))) as u16)
    }

    fn ask_intent_of(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let Some(flight) = self.flights.get_mut(&number) else {
            return;
        };
        let Some(identity) = flight.request.identity else {
            return;
        };
        flight.phase = Phase::Intent { asked_ms: now_ms };
        let fingerprint = flight.request.fingerprint;
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

    pub(super) fn receive_as_entry(&mut self, message: Message) {
        match message {
            Message::IntentResponse { request, verdict } => self.intent_answered(request, verdict),
            Message::GrantResponse {
                cell,
                request,
                verdict,
                free,
            } => self.slot_answered(request, cell, verdict, free),
            Message::NotOwner { cell, request } => self.not_owner(cell, request),
            Message::JobResponse { request, verdict } => self.job_answered(request, verdict),
            _ => {}
        }
    }

    fn intent_answered(&mut self, number: u64, verdict: IntentVerdict) {
        let Some(flight) = self.flights.get_mut(&number) else {
            return;
        };
        if flight.has_intent || !matches!(flight.phase, Phase::Intent { .. }) {
            return;
        }
        match verdict {
            IntentVerdict::Proceed => {
                flight.has_intent = true;
                self.note(Code::IntentRecorded, number.to_string(), "");
                self.ask_slot(number);
            }
            IntentVerdict::Pending => {
                self.note(Code::IntentRepeated, number.to_string(), "under way");
                let reason = "an earlier request with this identity may have run";
                self.end(
                    number,
                    Answer::Unknown {
                        reason,
                        retry_after_ms: 0,
                    },
                );
            }
            IntentVerdict::Ended { outcome, status } => {
                self.note(Code::IntentRepeated, number.to_string(), "ended");
                self.end(number, Answer::Repeated { outcome, status });
            }
            IntentVerdict::Conflict => self.end(number, Answer::Conflict),
            IntentVerdict::Refused { retry_after_ms } => {
                flight.is_vouched = true;
                let reason = "its intent can't be recorded, because the log does not answer";
                self.end_not_run(number, reason, retry_after_ms);
            }
        }
    }

    pub(super) fn caller_gone(&mut self, number: u64) {
        let phase = self.flights.get(&number).map(|flight| flight.phase);
        if matches!(phase, Some(Phase::Slot { .. } | Phase::Lingering { .. })) {
            self.end_not_run(number, "its caller has gone", 1);
        }
    }

    pub(super) fn tick_requests(&mut self) {
        let now_ms = self.now_ms;
        let mut due = Vec::new();
        for (number, flight) in &self.flights {
            let is_late = now_ms >= flight.request.deadline_ms;
            let is_due = match flight.phase {
                Phase::Attempt { .. } => false,
                Phase::Intent { asked_ms } | Phase::Slot { asked_ms, .. } => {
                    is_late || now_ms >= asked_ms + PATIENCE_MS
                }
                Phase::Lingering { until_ms } => is_late || now_ms >= until_ms,
            };
            if is_due {
                due.push((*number, flight.phase, is_late));
            }
        }
        due.sort_unstable_by_key(|(number, _, _)| *number);
        for (number, phase, is_late) in due {
            self.go_on(number, phase, is_late);
        }
    }

    fn go_on(&mut self, number: u64, phase: Phase, is_late: bool) {
        match phase {
            Phase::Lingering { .. } if is_late || !self.try_again(number) => {
                self.end_after_attempt(number);
            }
            Phase::Lingering { .. } | Phase::Attempt { .. } => {}
            _ if is_late => {
                self.end_not_run(number, "its deadline has passed", NO_OWNER_RETRY_MS);
            }
            Phase::Intent { .. } => self.ask_intent_of(number),
            // The owner says when a request waits, so silence means that it is dead
            // or can't be reached: then another cell of the service is asked.
            Phase::Slot { cell, .. } => self.ask_slot_again(number, cell),
        }
    }

    /// Ends a request that gets no further attempt. It is told "not run" only if
    /// no attempt has reached an instance, and no earlier request with its identity
    /// can have run.
    fn end_not_run(&mut self, number: u64, reason: &'static str, retry_after_ms: u64) {
        if let Some(flight) = self.flights.get(&number)
            && let Phase::Slot { cell, .. } = flight.phase
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
            .flights
            .get(&number)
            .is_some_and(|flight| flight.past != Past::Nothing)
        {
            self.end_after_attempt(number);
            return;
        }
        self.end_intent_of(number, Outcome::NotRun, 0);
        let may_have_run = self.flights.get(&number).is_some_and(|flight| {
            needs_intent(&flight.request) && !flight.has_intent && !flight.is_vouched
        });
        let answer = match may_have_run {
            true => unvouched(retry_after_ms),
            false => Answer::NotRun {
                reason,
                retry_after_ms,
            },
        };
        self.end(number, answer);
    }

    /// Tells the owner of the request's identity how it ended.
    fn end_intent_of(&mut self, number: u64, outcome: Outcome, status: u16) {
        let Some(flight) = self.flights.get(&number) else {
            return;
        };
        let Some(identity) = flight
            .request
            .identity
            .filter(|_| !flight.request.is_idempotent)
        else {
            return;
        };
        let cell = self.identity_cell(identity);
        let end = Message::IntentOutcome {
            cell,
            request: number,
            identity,
            was_admitted: flight.has_intent,
            outcome,
            status,
        };
        self.send_to_owner(cell, end);
    }

    fn end(&mut self, number: u64, answer: Answer) {
        if self.flights.remove(&number).is_none() {
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

/// Tells whether a request's intent must be recorded before it may run. Without an
/// identity no caller can repeat it, so it is simply sent once.
fn needs_intent(request: &Request) -> bool {
    !request.is_idempotent && request.identity.is_some()
}

/// Answers a request of which this entry host knows only that it did not run here:
/// an earlier one with its identity may have run elsewhere.
fn unvouched(retry_after_ms: u64) -> Answer {
    Answer::Unknown {
        reason: "the owner of its identity has not answered; repeat it under the same identity",
        retry_after_ms,
    }
}
