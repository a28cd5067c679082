//! Slots: asking for one, using it, passing it on.

use super::super::Node;
use super::ASKED_IN_VAIN;
use super::AVOID_MS;
use super::Held;
use super::NO_OWNER_RETRY_MS;
use super::Phase;
use crate::event::Action;
use crate::ids::Cell;
use crate::message::GrantVerdict;
use crate::message::Message;
use crate::notes::Code;
use crate::slots::GrantOutcome;
use rand::RngExt;

impl Node {
    /// Asks the owner of one of the service's cells for a slot.
    pub(super) fn ask_slot(&mut self, number: u64) {
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
        let ask = Message::GrantRequest {
            cell,
            request: number,
            begin_in_ms,
        };
        self.waiting.entry(cell).or_default().push_back(number);
        self.send_to_owner(cell, ask);
    }

    /// Picks a cell that was not tried yet: of two drawn at random the one with
    /// more free slots by the latest hint.
    pub(super) fn choose_cell(&mut self, number: u64) -> Option<Cell> {
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

    pub(super) fn not_owner(&mut self, cell: Cell, number: u64) {
        self.claims_log.read_soon();
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

    pub(super) fn slot_answered(
        &mut self,
        number: u64,
        cell: Cell,
        verdict: GrantVerdict,
        free: u32,
    ) {
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
                self.release(cell, grant, number, GrantOutcome::Unused, None);
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
    pub(super) fn waits_for_slot(&self, number: u64, cell: Cell) -> Option<u64> {
        match self.flights.get(&number)?.phase {
            Phase::Slot {
                cell: asked,
                first_ms,
                ..
            } if asked == cell => Some(first_ms),
            _ => None,
        }
    }

    pub(super) fn release(
        &mut self,
        cell: Cell,
        grant: u64,
        request: u64,
        ended: GrantOutcome,
        next: Option<u64>,
    ) {
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
    pub(super) fn begin_attempt(&mut self, number: u64, held: Held) {
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
            self.release(held.cell, held.grant, number, GrantOutcome::Unused, None);
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
    pub(super) fn next_waiting(&mut self, cell: Cell) -> Option<u64> {
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
    pub(super) fn pass_on_slot(&mut self, number: u64, held: Held, ended: GrantOutcome) {
        let is_free = matches!(ended, GrantOutcome::Answered { .. });
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

    pub(super) fn ask_slot_again(&mut self, number: u64, cell: Cell) {
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
        let ask = Message::GrantRequest {
            cell,
            request: number,
            begin_in_ms,
        };
        if !self.send_to_owner(cell, ask) {
            self.not_owner(cell, number);
        }
    }
}
