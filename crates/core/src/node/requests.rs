//! Entry of callers' requests: intent, slot, attempt, answer.

use super::Node;
use crate::event::Action;
use crate::event::Answer;
use crate::event::AttemptEnd;
use crate::event::Request;
use crate::ids::Cell;
use crate::message::GrantVerdict;
use crate::message::IntentVerdict;
use crate::message::Message;
use crate::notes::Code;
use crate::record::Outcome;
use crate::retry::Budget;
use crate::slots::Ended;
use rand::RngExt;

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
    wait_hint_ms: u64,
    /// Times its owner was asked since it answered last.
    in_vain: u32,
    /// Instance of the latest attempt.
    address: Box<str>,
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
            self.not_run(number, reason, NO_OWNER_RETRY_MS);
            return;
        }
        let retry_permille = self.limits.retry_permille;
        let budget = self.budgets.entry(request.service.clone());
        budget.or_insert_with(|| Budget::new(retry_permille)).earn();
        let mut request = request;
        request.deadline_ms = request.deadline_ms.min(self.now_ms + 4 * timeout_ms);
        // Without an identity no caller can repeat the request, so no intent is
        // needed: it is simply sent once.
        let needs_intent = !request.is_idempotent && request.identity.is_some();
        let flight = Flight {
            request,
            phase: Phase::Intent {
                asked_ms: self.now_ms,
            },
            tried: Vec::new(),
            has_intent: false,
            wait_hint_ms: 0,
            in_vain: 0,
            address: Box::default(),
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
        let ask = Message::IntentAsk {
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

    /// Asks the owner of one of the service's cells for a slot.
    fn ask_slot(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let Some(cell) = self.choose_cell(number) else {
            let retry_after_ms = self
                .flights
                .get(&number)
                .map_or(0, |flight| flight.wait_hint_ms);
            let reason = "no instance has a free slot in time";
            self.end_not_run(number, reason, retry_after_ms.max(1));
            return;
        };
        let Some(flight) = self.flights.get_mut(&number) else {
            return;
        };
        flight.phase = Phase::Slot {
            cell,
            first_ms: now_ms,
            asked_ms: now_ms,
        };
        let begin_in_ms = flight.request.deadline_ms.saturating_sub(now_ms);
        let ask = Message::GrantAsk {
            cell,
            request: number,
            begin_in_ms,
        };
        self.waiting.entry(cell).or_default().push_back(number);
        self.send_to_owner(cell, ask);
    }

    /// Picks a cell that was not tried yet: of two drawn at random the one with
    /// more free slots by the latest hint.
    fn choose_cell(&mut self, number: u64) -> Option<Cell> {
        let flight = self.flights.get(&number)?;
        let cells = self.layout.services.get(&flight.request.service)?;
        let mut open = Vec::new();
        for cell in cells {
            let hint = self.hints.get(cell).copied().unwrap_or_default();
            let refuses = self.now_ms < hint.refuses_until_ms;
            if flight.tried.contains(cell) || refuses || self.claims.owner(*cell).is_none() {
                continue;
            }
            open.push((hint.free, *cell));
        }
        if open.is_empty() {
            return None;
        }
        let first = open[self.random.random_range(0..open.len())];
        let second = open[self.random.random_range(0..open.len())];
        Some(first.max(second).1)
    }

    pub(super) fn receive_as_entry(&mut self, message: Message) {
        match message {
            Message::IntentAnswer { request, verdict } => self.intent_answered(request, verdict),
            Message::GrantAnswer {
                cell,
                request,
                verdict,
                free,
            } => self.slot_answered(request, cell, verdict, free),
            Message::NotOwner { cell, request } => self.not_owner(cell, request),
            Message::JobAnswer { request, verdict } => self.job_answered(request, verdict),
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
            IntentVerdict::Go => {
                flight.has_intent = true;
                self.note(Code::IntentRecorded, number.to_string(), "");
                self.ask_slot(number);
            }
            IntentVerdict::Begun => {
                self.note(Code::IntentRepeated, number.to_string(), "under way");
                let reason = "an earlier request with this identity may have run";
                self.end(number, Answer::Unknown { reason });
            }
            IntentVerdict::Ended { outcome, status } => {
                self.note(Code::IntentRepeated, number.to_string(), "ended");
                self.end(number, Answer::Repeated { outcome, status });
            }
            IntentVerdict::Conflict => self.end(number, Answer::Conflict),
            IntentVerdict::Refused { retry_after_ms } => {
                let reason = "its intent can't be recorded, because the log does not answer";
                self.end_not_run(number, reason, retry_after_ms);
            }
        }
    }

    fn not_owner(&mut self, cell: Cell, number: u64) {
        self.claims_log.hurry();
        let Some(flight) = self.flights.get_mut(&number) else {
            return;
        };
        match flight.phase {
            Phase::Slot { cell: asked, .. } if asked == cell => {
                flight.tried.push(cell);
                flight.wait_hint_ms = NO_OWNER_RETRY_MS;
                self.ask_slot(number);
            }
            _ => {}
        }
    }

    fn slot_answered(&mut self, number: u64, cell: Cell, verdict: GrantVerdict, free: u32) {
        let now_ms = self.now_ms;
        let hint = self.hints.entry(cell).or_default();
        hint.free = free;
        if let GrantVerdict::Refused { retry_after_ms } = verdict {
            const LONGEST_MS: u64 = 100;
            hint.refuses_until_ms = now_ms + retry_after_ms.min(LONGEST_MS) / 4;
        }
        let awaited_since_ms = self.waits_for_slot(number, cell);
        match (verdict, awaited_since_ms) {
            (
                GrantVerdict::Granted {
                    grant,
                    address,
                    waited_ms,
                },
                Some(first_ms),
            ) => {
                // The owner counts the grant's time from when it gave it, which is
                // no earlier than this, however long the message was under way.
                let use_by_ms = first_ms + waited_ms + self.limits.grant_use_ms;
                self.begin_attempt(
                    number,
                    Held {
                        cell,
                        grant,
                        address,
                        use_by_ms,
                    },
                );
            }
            (GrantVerdict::Granted { grant, .. }, None) => {
                self.release(cell, grant, number, Ended::Unused, None);
            }
            (GrantVerdict::Refused { retry_after_ms }, Some(_)) => {
                if let Some(flight) = self.flights.get_mut(&number) {
                    flight.tried.push(cell);
                    flight.wait_hint_ms = retry_after_ms;
                }
                self.ask_slot(number);
            }
            (GrantVerdict::Queued, Some(_)) => {
                if let Some(flight) = self.flights.get_mut(&number) {
                    flight.in_vain = 0;
                }
            }
            (GrantVerdict::Refused { .. } | GrantVerdict::Queued, None) => {}
        }
    }

    /// Tells since when a request has waited for a slot of `cell`, if it does.
    fn waits_for_slot(&self, number: u64, cell: Cell) -> Option<u64> {
        match self.flights.get(&number)?.phase {
            Phase::Slot {
                cell: asked,
                first_ms,
                ..
            } if asked == cell => Some(first_ms),
            _ => None,
        }
    }

    fn release(&mut self, cell: Cell, grant: u64, request: u64, ended: Ended, next: Option<u64>) {
        let release = Message::Release {
            cell,
            grant,
            request,
            ended,
            next,
        };
        self.send_to_owner(cell, release);
    }

    /// Sends a request to the instance whose slot is held for it.
    fn begin_attempt(&mut self, number: u64, held: Held) {
        let now_ms = self.now_ms;
        let acts_until_ms = self.acts_until_ms();
        let Some(flight) = self.flights.get_mut(&number) else {
            return;
        };
        let deadline_ms = flight.request.deadline_ms;
        let service = self
            .config
            .inventory()
            .services
            .get(&flight.request.service);
        let (Some(service), Some(acts_until_ms)) = (service, acts_until_ms) else {
            self.release(held.cell, held.grant, number, Ended::Unused, None);
            self.end_not_run(number, "this entry host may not act now", NO_OWNER_RETRY_MS);
            return;
        };
        flight.phase = Phase::Attempt {
            cell: held.cell,
            grant: held.grant,
            use_by_ms: held.use_by_ms,
        };
        flight.address = held.address.clone();
        // The owner frees the slot by itself after the time of use and the
        // service's timeout; an attempt that began later would use a slot twice.
        self.out.push(Action::Attempt {
            request: number,
            address: held.address,
            timeout_ms: service.timeout_ms.min(deadline_ms.saturating_sub(now_ms)),
            begin_by_ms: acts_until_ms.min(held.use_by_ms),
            response_max_bytes: service.response_max_bytes,
        });
        self.note(
            Code::RequestGranted,
            number.to_string(),
            held.cell.to_string(),
        );
    }

    /// Finds a request of this host that waits for a slot of `cell`.
    fn next_waiting(&mut self, cell: Cell) -> Option<u64> {
        let mut queue = self.waiting.remove(&cell)?;
        while let Some(number) = queue.pop_front() {
            if self.waits_for_slot(number, cell).is_some() {
                self.waiting.insert(cell, queue);
                return Some(number);
            }
        }
        None
    }

    /// Gives back the slot of an attempt that has ended, or goes on to use it.
    fn pass_on_slot(&mut self, number: u64, held: Held, ended: Ended) {
        let is_free = matches!(ended, Ended::Answered { .. });
        let may_use = is_free && self.now_ms < held.use_by_ms && self.acts_until_ms().is_some();
        let next = match may_use {
            true => self.next_waiting(held.cell),
            false => None,
        };
        self.release(held.cell, held.grant, number, ended, next);
        if let Some(next) = next {
            self.begin_attempt(next, held);
        }
    }

    pub(super) fn attempt_ended(&mut self, number: u64, end: AttemptEnd) {
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
            AttemptEnd::Whole { status, latency_ms } if status < 500 => {
                Ended::Answered { latency_ms }
            }
            AttemptEnd::Whole { latency_ms, .. } => Ended::Failed { latency_ms },
            AttemptEnd::NotStarted => Ended::NotStarted,
            AttemptEnd::Late => Ended::Unused,
            AttemptEnd::Cut => Ended::Unknown,
        };
        self.pass_on_slot(number, held, ended);
        match end {
            AttemptEnd::Whole { status, .. } => self.whole(number, status),
            AttemptEnd::NotStarted | AttemptEnd::Late => {
                if !self.try_again(number) {
                    let reason = "no instance could be reached";
                    self.end_not_run(number, reason, NO_OWNER_RETRY_MS);
                }
            }
            AttemptEnd::Cut => self.cut(number),
        }
    }

    fn whole(&mut self, number: u64, status: u16) {
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
    fn cut(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let Some(flight) = self.flights.get_mut(&number) else {
            return;
        };
        if flight.past == Past::Nothing {
            flight.past = Past::MayHaveRun;
        }
        let service = self
            .config
            .inventory()
            .services
            .get(&flight.request.service);
        let timeout_ms = service.map_or(0, |service| service.timeout_ms);
        let until_ms = now_ms + timeout_ms;
        if flight.request.is_idempotent && until_ms < flight.request.deadline_ms {
            flight.phase = Phase::Lingering { until_ms };
            return;
        }
        self.end_after_attempt(number);
    }

    /// Ends a request by what its attempts so far amount to.
    fn end_after_attempt(&mut self, number: u64) {
        let past = self.flights.get(&number).map(|flight| flight.past);
        if past == Some(Past::Whole) {
            self.end(number, Answer::Whole);
            return;
        }
        self.end_intent_of(number, Outcome::Unknown, 0);
        let reason = "an instance gave no whole answer";
        self.end(number, Answer::Unknown { reason });
    }

    /// Sends a request once more if its deadline and the budget allow it.
    fn try_again(&mut self, number: u64) -> bool {
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

    fn ask_slot_again(&mut self, number: u64, cell: Cell) {
        let now_ms = self.now_ms;
        let Some(flight) = self.flights.get_mut(&number) else {
            return;
        };
        flight.in_vain += 1;
        if flight.in_vain >= ASKED_IN_VAIN {
            flight.in_vain = 0;
            flight.tried.push(cell);
            flight.wait_hint_ms = NO_OWNER_RETRY_MS;
            self.hints.entry(cell).or_default().refuses_until_ms = now_ms + AVOID_MS;
            self.send_to_owner(
                cell,
                Message::GrantCancel {
                    cell,
                    request: number,
                },
            );
            self.ask_slot(number);
            return;
        }
        if let Phase::Slot { asked_ms, .. } = &mut flight.phase {
            *asked_ms = now_ms;
        }
        let begin_in_ms = flight.request.deadline_ms.saturating_sub(now_ms);
        let ask = Message::GrantAsk {
            cell,
            request: number,
            begin_in_ms,
        };
        if !self.send_to_owner(cell, ask) {
            self.not_owner(cell, number);
        }
    }

    /// Ends a request that gets no further attempt. It is told "not run" only if
    /// no attempt has reached an instance.
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
        let answer = Answer::NotRun {
            reason,
            retry_after_ms,
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
        let end = Message::IntentEnd {
            cell,
            identity,
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
