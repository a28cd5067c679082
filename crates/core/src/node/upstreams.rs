//! Owner's part for cells of upstreams: grants and releases slots of instances.

use super::Node;
use crate::ids::Cell;
use crate::ids::Member;
use crate::message::GrantVerdict;
use crate::message::Message;
use crate::notes::Code;
use crate::slots::Bounds;
use crate::slots::GrantKey;
use crate::slots::SlotRelease;
use crate::slots::SlotRequest;
use crate::slots::UpstreamCell;
use crate::slots::Verdict;
use slotmap::Key;
use slotmap::KeyData;

impl Node {
    /// Opens a cell of upstreams. If it had an owner before, no slots are granted
    /// until every attempt under the previous owner's grants has ended.
    pub(super) fn open_upstreams(&mut self, number: u64, is_handover: bool) {
        let Some(group) = self.layout.groups.get(&number) else {
            return;
        };
        let Some(service) = self.config.inventory().services.get(&group.service) else {
            return;
        };
        let bounds = Bounds {
            timeout_ms: service.timeout_ms,
            use_ms: self.limits.grant_use_ms,
            waiting_per_slot: self.limits.waiting_per_slot,
        };
        let cell = Cell::Upstreams(number);
        let max_attempt_ms = bounds.timeout_ms + bounds.use_ms;
        let grants_from_ms = match is_handover || self.claims.had_owner(cell) {
            true => self.now_ms + max_attempt_ms,
            false => self.now_ms,
        };
        self.upstreams
            .insert(number, UpstreamCell::new(bounds, grants_from_ms));
        self.note(
            Code::CellOpened,
            cell.to_string(),
            format!("grants from {grants_from_ms} ms"),
        );
        self.update_instances(number);
    }

    /// Updates the instances of a cell from the inventory and the platform's list.
    pub(super) fn update_instances(&mut self, number: u64) {
        let Some(cell) = self.upstreams.get_mut(&number) else {
            return;
        };
        let group = self.layout.groups.get(&number).cloned().unwrap_or_default();
        for name in cell.instance_names() {
            if !group.upstreams.contains(&name) {
                cell.remove_instance(&name);
            }
        }
        let inventory = self.config.inventory();
        let service = inventory.services.get(&group.service);
        for name in &group.upstreams {
            let Some(platform_entry) = self.platform.get(name) else {
                cell.remove_instance(name);
                continue;
            };
            let host = inventory.upstreams.get(name).map(|upstream| &upstream.host);
            let is_host_leaving = host
                .is_some_and(|host| self.platform.get(host).is_some_and(|host| host.is_leaving));
            let slots = service.map_or(0, |service| service.slots.min(service.connections));
            let is_evacuated = host.is_some_and(|host| inventory.is_evacuated(host));
            let is_leaving = platform_entry.is_leaving || is_host_leaving || is_evacuated;
            cell.update_instance(name, &platform_entry.address, slots, is_leaving);
        }
    }

    pub(super) fn receive_as_upstream_owner(&mut self, from: Member, message: Message) {
        let may_act = self.acts_until_ms().is_some();
        let now_ms = self.now_ms;
        match message {
            Message::GrantRequest {
                cell,
                request,
                begin_in_ms,
            } => {
                let owned = self.owned_upstreams(cell).filter(|_| may_act);
                let Some(owned) = owned else {
                    self.send(from.seat, Message::NotOwner { cell, request });
                    return;
                };
                let slot_request = SlotRequest {
                    requester: from,
                    request,
                    asked_ms: now_ms,
                    begin_by_ms: now_ms + begin_in_ms,
                };
                let verdict = owned.request_slot(now_ms, slot_request);
                self.send_verdict(cell, slot_request, verdict);
            }
            Message::GrantCancel { cell, request } => {
                if let Some(owned) = self.owned_upstreams(cell) {
                    owned.cancel(from, request);
                    self.serve_waiting(cell);
                }
            }
            Message::Release {
                cell,
                grant,
                request,
                ended,
                next,
            } => {
                let release = SlotRelease {
                    grant: GrantKey::from(KeyData::from_ffi(grant)),
                    requester: from,
                    request,
                    ended,
                    next,
                };
                if let Some(owned) = self.owned_upstreams(cell) {
                    owned.release(now_ms, release);
                    self.serve_waiting(cell);
                }
            }
            _ => {}
        }
    }

    fn owned_upstreams(&mut self, cell: Cell) -> Option<&mut UpstreamCell> {
        let Cell::Upstreams(number) = cell else {
            return None;
        };
        self.upstreams.get_mut(&number)
    }

    /// Answers a request for a slot. Without a verdict the request is queued. This is
    /// answered too, because the requester takes a silent owner for dead.
    fn send_verdict(&mut self, cell: Cell, slot_request: SlotRequest, verdict: Option<Verdict>) {
        let now_ms = self.now_ms;
        let free = self
            .owned_upstreams(cell)
            .map_or(0, |owned| owned.free_slots(now_ms));
        let verdict = match verdict {
            None => GrantVerdict::Queued,
            Some(Verdict::Granted {
                grant,
                address,
                waited_ms,
            }) => GrantVerdict::Granted {
                waited_ms,
                grant: grant.data().as_ffi(),
                address,
            },
            Some(Verdict::Refused { retry_after_ms }) => GrantVerdict::Refused { retry_after_ms },
        };
        let answer = Message::GrantResponse {
            cell,
            request: slot_request.request,
            verdict,
            free,
        };
        self.send(slot_request.requester.seat, answer);
    }

    /// Grants free slots of `cell` to queued requests and refuses those that can't be
    /// served in time.
    fn serve_waiting(&mut self, cell: Cell) {
        let now_ms = self.now_ms;
        if self.acts_until_ms().is_none() {
            return;
        }
        let Some(owned) = self.owned_upstreams(cell) else {
            return;
        };
        for (slot_request, verdict) in owned.tick(now_ms) {
            self.send_verdict(cell, slot_request, Some(verdict));
        }
    }

    pub(super) fn tick_upstreams(&mut self) {
        for number in self.upstreams.keys().copied().collect::<Vec<u64>>() {
            self.serve_waiting(Cell::Upstreams(number));
        }
    }
}
