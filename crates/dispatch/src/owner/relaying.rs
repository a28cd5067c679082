//! Orders of the owner that go over relays.

use crate::election::HostSurvey;
use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::Now;
use crate::event::Reply;
use crate::event::WorkerCall;
use crate::owner::Owner;
use crate::owner::worker::WorkerKey;
use crate::policy::relaying::OwnerCapacity;
use crate::policy::relaying::needs_relays;
use crate::record::HostRecord;
use crate::relay::Asker;
use crate::relay::CHOICES;
use crate::relay::Inquiry;
use crate::relay::RelayedOrder;
use crate::relay::RelayedOutcome;
use std::collections::HashMap;

/// Time for which an owner that needs relays gives no orders while it connects to them. Without
/// it 3,000 workers got a connection each from the owner, which it did not need any more a
/// moment later; leases bear the pause.
const CONNECTING_MS: u64 = 300;
/// Time for which a relay that had no answer of a worker is passed over there. Cuts last for
/// seconds.
const PASSED_OVER_MS: u64 = 5_000;

impl Owner {
    /// Takes in which hosts there are.
    pub(crate) fn update_hosts(&mut self, hosts: &HashMap<Box<str>, HostRecord>) {
        self.survey = HostSurvey::of(hosts);
        self.relays.update_hosts(&self.host, hosts);
    }

    /// Keeps connections to relays if there are too many workers for this host, and gives up
    /// what is overdue.
    pub(super) fn maintain_relays(
        &mut self,
        now: Now,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let capacity = OwnerCapacity {
            link_bytes_per_s: self.bounds.link_bytes_per_s,
            cpu_permille: self.bounds.cpu_permille,
        };
        // Connections stay when a few workers go: opening them anew costs more.
        if !self.uses_relays {
            self.uses_relays = needs_relays(self.workers.len(), capacity);
            self.relays_due_ms = now.steady_ms + CONNECTING_MS;
        }
        if !self.uses_relays {
            return;
        }
        self.relays.connect(now.steady_ms, tickets, actions);
        let outcomes = self.relays.expire(now.steady_ms, actions);
        self.handle_order_outcomes(outcomes, now, actions);
        self.stats.relays = self.relays.usable() as u64;
        self.stats.selected = self.relays.selected();
    }

    /// Tells whether orders are to wait until there are relays.
    pub(super) fn awaits_relays(&self, now_ms: u64) -> bool {
        self.uses_relays && now_ms < self.relays_due_ms && self.relays.are_all_opening()
    }

    /// Gives an order to a relay, and tells whether there is one to take it.
    pub(super) fn relay(
        &mut self,
        ticket: u64,
        key: WorkerKey,
        call: &WorkerCall,
        timeout_ms: u64,
        now_ms: u64,
    ) -> bool {
        if !self.uses_relays {
            return false;
        }
        let worker = &mut self.workers[key];
        if now_ms >= worker.relay_until_ms {
            worker.relay_place = 0;
        }
        let order = RelayedOrder {
            ticket,
            address: &worker.entry.address,
            worker: &worker.entry.id,
            failure_domain: &worker.entry.failure_domain,
            call,
            timeout_ms,
            place: worker.relay_place,
        };
        let Some(bytes) = self.relays.relay(&order, now_ms) else {
            return false;
        };
        self.stats.relayed += 1;
        self.charge_relayed(key, call, bytes);
        true
    }

    /// Has another relay, or none, carry the orders for a worker of which one had no answer: it
    /// may be the relay that does not reach the worker. Workers would be given up otherwise
    /// that others still reach.
    pub(super) fn pass_over_relay(&mut self, key: WorkerKey, now_ms: u64) {
        if !self.uses_relays {
            return;
        }
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        // The place after the last relay stands for a direct call.
        worker.relay_place = (worker.relay_place + 1) % (CHOICES + 1);
        worker.relay_until_ms = now_ms + PASSED_OVER_MS;
    }

    pub(crate) fn handle_relay_opened(&mut self, conn: ConnectionId, now: Now) {
        self.relays.handle_opened(conn, now.steady_ms);
    }

    pub(crate) fn lose_relay(&mut self, conn: ConnectionId, now: Now, actions: &mut Vec<Action>) {
        let outcomes = self.relays.lose(conn, now.steady_ms, actions);
        self.handle_order_outcomes(outcomes, now, actions);
    }

    /// Takes in what came of relayed orders.
    pub(crate) fn handle_relay_frame(
        &mut self,
        conn: ConnectionId,
        bytes: &[u8],
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let outcomes = self
            .relays
            .handle_frame(conn, bytes, now.steady_ms, actions);
        self.handle_order_outcomes(outcomes, now, actions);
    }

    fn handle_order_outcomes(
        &mut self,
        outcomes: Vec<RelayedOutcome>,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        for RelayedOutcome { ticket, outcome } in outcomes {
            self.handle_order_outcome(ticket, outcome, now, actions);
        }
    }

    /// Takes what other hosts have asked.
    pub(crate) fn take_inquiries(&mut self) -> Vec<Inquiry> {
        self.relays.take_inquiries()
    }

    /// Answers another host.
    pub(crate) fn answer_host(&mut self, asker: Asker, reply: &Reply) {
        self.relays.answer(asker, reply);
    }

    /// Lets go of all relays, as this owner ends.
    pub(crate) fn close_relays(&mut self, actions: &mut Vec<Action>) {
        self.relays.close(actions);
    }
}
