//! Slots of instances: requested from the owner of a cell, used, reused or released.

use super::super::Node;
use super::AVOID_MS;
use super::HeldSlot;
use super::MAX_UNANSWERED;
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
    /// Requests a slot from the owner of one of the service's cells.
    pub(super) fn ask_for_slot(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let Some(cell) = self.choose_upstream_cell(number) else {
            let retry_after_ms = self
                .active_requests
                .get(&number)
                .map_or(0, |active| active.retry_hint_ms);
            let reason = "no instance has a free slot in time";
            self.end_not_run(number, reason, retry_after_ms.max(1));
            return;
        };
        let Some(active) = self.active_requests.get_mut(&number) else {
            return;
        };
        active.phase = Phase::Slot {
            cell,
            first_asked_ms: now_ms,
            asked_ms: now_ms,
        };
        let begin_in_ms = active.request.deadline_ms.saturating_sub(now_ms);
        let ask = Message::GrantRequest {
            cell,
            request: number,
            begin_in_ms,
        };
        self.waiting_for_slot
            .entry(cell)
            .or_default()
            .push_back(number);
        self.send_to_owner(cell, ask);
    }

    /// Returns a cell that was not tried yet: of two drawn at random the one with more free slots by
    /// the latest hint.
    pub(super) fn choose_upstream_cell(&mut self, number: u64) -> Option<Cell> {
        let active = self.active_requests.get(&number)?;
        let cells = self.layout.services.get(&active.request.service)?;
        let mut candidates = Vec::new();
        for cell in cells {
            let hint = self.hints.get(cell).copied().unwrap_or_default();
            let refuses = self.now_ms < hint.refuses_until_ms;
            if active.tried_cells.contains(cell) || refuses || self.claims.owner(*cell).is_none() {
                continue;
            }
            candidates.push((hint.free, *cell));
        }
        if candidates.is_empty() {
            return None;
        }
        let first = candidates[self.random.random_range(0..candidates.len())];
        let second = candidates[self.random.random_range(0..candidates.len())];
        Some(first.max(second).1)
    }

    /// Requests the slot from another cell, because the member asked does not own this one.
    pub(super) fn handle_not_owner(&mut self, cell: Cell, number: u64) {
        self.claims_log.read_soon();
        let Some(active) = self.active_requests.get_mut(&number) else {
            return;
        };
        match active.phase {
            Phase::Slot { cell: asked, .. } if asked == cell => {
                active.tried_cells.push(cell);
                active.retry_hint_ms = NO_OWNER_RETRY_MS;
                self.ask_for_slot(number);
            }
            _ => {}
        }
    }

    /// Handles the answer to a request for a slot and records the number of `free` slots.
    pub(super) fn handle_grant_response(
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
        let wait_start_ms = self.slot_wait_start_ms(number, cell);
        match (verdict, wait_start_ms) {
            (
                GrantVerdict::Granted {
                    grant,
                    address,
                    waited_ms,
                },
                Some(first_asked_ms),
            ) => {
                // The owner counts the time of use from the grant. The grant is no earlier than the
                // first request plus the time that it waited, whatever the message delay.
                let use_by_ms = first_asked_ms + waited_ms + self.limits.grant_use_ms;
                self.start_attempt(
                    number,
                    HeldSlot {
                        cell,
                        grant,
                        address,
                        use_by_ms,
                    },
                );
            }
            (GrantVerdict::Granted { grant, .. }, None) => {
                self.send_release(cell, grant, number, GrantOutcome::Unused, None);
            }
            (GrantVerdict::Refused { retry_after_ms }, Some(_)) => {
                if let Some(active) = self.active_requests.get_mut(&number) {
                    active.tried_cells.push(cell);
                    active.retry_hint_ms = retry_after_ms;
                }
                self.ask_for_slot(number);
            }
            (GrantVerdict::Queued, Some(_)) => {
                if let Some(active) = self.active_requests.get_mut(&number) {
                    active.unanswered = 0;
                }
            }
            (GrantVerdict::Refused { .. } | GrantVerdict::Queued, None) => {}
        }
    }

    /// Returns the time at which a request first asked for a slot of `cell`, if it waits for one.
    pub(super) fn slot_wait_start_ms(&self, number: u64, cell: Cell) -> Option<u64> {
        match self.active_requests.get(&number)?.phase {
            Phase::Slot {
                cell: asked,
                first_asked_ms,
                ..
            } if asked == cell => Some(first_asked_ms),
            _ => None,
        }
    }

    /// Releases a grant at its owner, or reports that the slot is used on for the request `next`.
    pub(super) fn send_release(
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

    /// Sends a request to the instance whose slot is granted to it.
    pub(super) fn start_attempt(&mut self, number: u64, slot: HeldSlot) {
        let now_ms = self.now_ms;
        let acts_until_ms = self.acts_until_ms();
        let Some(active) = self.active_requests.get_mut(&number) else {
            return;
        };
        let deadline_ms = active.request.deadline_ms;
        let service = self
            .config
            .inventory()
            .services
            .get(&active.request.service);
        let (Some(service), Some(acts_until_ms)) = (service, acts_until_ms) else {
            self.send_release(slot.cell, slot.grant, number, GrantOutcome::Unused, None);
            self.end_not_run(number, "this entry host may not act now", NO_OWNER_RETRY_MS);
            return;
        };
        active.phase = Phase::Attempt {
            cell: slot.cell,
            grant: slot.grant,
            use_by_ms: slot.use_by_ms,
        };
        active.address = slot.address.clone();
        // The owner frees the slot by itself after the time of use plus the service's timeout. An
        // attempt that began later could share the slot with another one.
        self.out.push(Action::Attempt {
            request: number,
            address: slot.address,
            timeout_ms: service.timeout_ms.min(deadline_ms.saturating_sub(now_ms)),
            begin_by_ms: acts_until_ms.min(slot.use_by_ms),
            response_max_bytes: service.response_max_bytes,
        });
        self.note(
            Code::RequestGranted,
            number.to_string(),
            slot.cell.to_string(),
        );
    }

    /// Removes and returns the next request of this host that waits for a slot of `cell`.
    pub(super) fn next_waiting(&mut self, cell: Cell) -> Option<u64> {
        let mut queue = self.waiting_for_slot.remove(&cell)?;
        while let Some(number) = queue.pop_front() {
            if self.slot_wait_start_ms(number, cell).is_some() {
                self.waiting_for_slot.insert(cell, queue);
                return Some(number);
            }
        }
        None
    }

    /// Uses the slot of an ended attempt for the next waiting request, or releases it.
    pub(super) fn reuse_or_release(&mut self, number: u64, slot: HeldSlot, ended: GrantOutcome) {
        let is_free = matches!(ended, GrantOutcome::Answered { .. });
        let may_use = is_free && self.now_ms < slot.use_by_ms && self.acts_until_ms().is_some();
        let next = match may_use {
            true => self.next_waiting(slot.cell),
            false => None,
        };
        self.send_release(slot.cell, slot.grant, number, ended, next);
        if let Some(next) = next {
            self.start_attempt(next, slot);
        }
    }

    /// Repeats a request for a slot that was not answered; after [`MAX_UNANSWERED`] of them asks
    /// another cell and avoids this one for [`AVOID_MS`].
    pub(super) fn retry_slot_request(&mut self, number: u64, cell: Cell) {
        let now_ms = self.now_ms;
        let Some(active) = self.active_requests.get_mut(&number) else {
            return;
        };
        active.unanswered += 1;
        if active.unanswered >= MAX_UNANSWERED {
            active.unanswered = 0;
            active.tried_cells.push(cell);
            active.retry_hint_ms = NO_OWNER_RETRY_MS;
            self.hints.entry(cell).or_default().refuses_until_ms = now_ms + AVOID_MS;
            self.send_to_owner(
                cell,
                Message::GrantCancel {
                    cell,
                    request: number,
                },
            );
            self.ask_for_slot(number);
            return;
        }
        if let Phase::Slot { asked_ms, .. } = &mut active.phase {
            *asked_ms = now_ms;
        }
        let begin_in_ms = active.request.deadline_ms.saturating_sub(now_ms);
        let ask = Message::GrantRequest {
            cell,
            request: number,
            begin_in_ms,
        };
        if !self.send_to_owner(cell, ask) {
            self.handle_not_owner(cell, number);
        }
    }
}
