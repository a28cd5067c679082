//! The owner's connections to other hosts: sends orders over relays, and receives queries.

use crate::election::HostSurvey;
use crate::election::WATCHERS;
use crate::election::watchers;
use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::Now;
use crate::event::Reply;
use crate::event::WorkerCall;
use crate::owner::Owner;
use crate::owner::worker::WorkerKey;
use crate::policy::informing::Deployment;
use crate::policy::informing::should_inform;
use crate::policy::informing::should_keep_informing;
use crate::policy::relaying::OwnerCapacity;
use crate::policy::relaying::needs_relays;
use crate::record::HostRecord;
use crate::relay::OwnerHeartbeat;
use crate::relay::RELAYS_PER_WORKER;
use crate::relay::RelayedOrder;
use crate::relay::RelayedOutcome;
use crate::relay::RemoteQuery;
use crate::relay::RemoteRequester;
use std::collections::HashMap;

/// Time for which an owner that needs relays sends no orders while it connects to them. Without
/// this delay, the owner opened a connection to each of 3,000 workers that it did not need any more
/// a moment later; the leases last longer than the delay.
const CONNECTING_MS: u64 = 300;
/// Time for which a relay that got no answer from a worker is not used for that worker. Network
/// cuts last for seconds.
const RELAY_AVOID_MS: u64 = 5_000;

impl Owner {
    /// Updates the hosts to which this owner may connect.
    pub(crate) fn update_hosts(&mut self, hosts: &HashMap<Box<str>, HostRecord>) {
        self.survey = HostSurvey::of(hosts);
        self.host_count = hosts.len();
        self.relays.update_hosts(&self.host, hosts);
        self.relays.update_watchers(&watchers(hosts));
    }

    /// Maintains connections to other hosts if there are too many workers for this host, or many
    /// hosts, and times out overdue orders.
    pub(super) fn maintain_connections(
        &mut self,
        now: Now,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let had_connections = self.answers_hosts;
        self.decide_connections(now.steady_ms);
        if !self.uses_relays && !self.answers_hosts {
            if had_connections {
                self.relays.close(actions);
                self.stats.informed_hosts = 0;
            }
            return;
        }
        self.relays.connect(now.steady_ms, tickets, actions);
        let outcomes = self.relays.expire(now.steady_ms, actions);
        self.handle_order_outcomes(outcomes, now, actions);
        self.stats.informed_hosts = self.relays.usable_count() as u64;
        self.stats.relays = self.stats.informed_hosts * u64::from(self.uses_relays);
        self.stats.relay_selections = self.relays.selection_count();
    }

    /// Decides whether orders are relayed, and whether queries of hosts are answered. Connections
    /// are kept when a few workers or hosts are removed, as it costs more to open them again.
    fn decide_connections(&mut self, now_ms: u64) {
        if !self.uses_relays {
            let capacity = OwnerCapacity {
                link_bytes_per_s: self.bounds.link_bytes_per_s,
                cpu_permille: self.bounds.cpu_permille,
            };
            self.uses_relays = needs_relays(self.workers.len(), capacity);
            self.relays_due_ms = now_ms + CONNECTING_MS;
        }
        self.answers_hosts = self.decide_answers();
    }

    fn decide_answers(&self) -> bool {
        if !self.bounds.policy.owner_answers {
            return false;
        }
        let deployment = Deployment {
            hosts: self.host_count,
            watchers: WATCHERS,
            workers: self.workers.len(),
            link_bytes_per_s: self.bounds.link_bytes_per_s,
            descriptors: self.bounds.descriptors,
        };
        match self.answers_hosts {
            true => self.uses_relays || should_keep_informing(deployment),
            false => should_inform(deployment),
        }
    }

    /// Returns whether orders are to wait until a relay is connected.
    pub(super) fn awaits_relays(&self, now_ms: u64) -> bool {
        self.uses_relays && now_ms < self.relays_due_ms && self.relays.are_all_opening()
    }

    /// Sends an order to a relay, and tells whether one has accepted it.
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
        if now_ms >= worker.relay_index_until_ms {
            worker.relay_index = 0;
        }
        let order = RelayedOrder {
            ticket,
            address: &worker.entry.address,
            worker: &worker.entry.id,
            failure_domain: &worker.entry.failure_domain,
            call,
            timeout_ms,
            relay_index: worker.relay_index,
        };
        let Some(bytes) = self.relays.enqueue(&order, now_ms) else {
            return false;
        };
        self.stats.relayed += 1;
        self.charge_relayed(key, call, bytes);
        true
    }

    /// Switches the orders for a worker to another relay, or to direct calls, after one of them had
    /// no answer: it may be the relay that can't reach the worker. Otherwise, workers that others
    /// still reach would be removed.
    pub(super) fn switch_relay(&mut self, key: WorkerKey, now_ms: u64) {
        if !self.uses_relays {
            return;
        }
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        // The index after the last relay stands for a direct call.
        worker.relay_index = (worker.relay_index + 1) % (RELAYS_PER_WORKER + 1);
        worker.relay_index_until_ms = now_ms + RELAY_AVOID_MS;
    }

    pub(crate) fn handle_relay_opened(&mut self, conn: ConnectionId, now: Now) {
        self.relays.handle_opened(conn, now.steady_ms);
    }

    pub(crate) fn handle_relay_lost(
        &mut self,
        conn: ConnectionId,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let outcomes = self.relays.handle_lost(conn, now.steady_ms, actions);
        self.handle_order_outcomes(outcomes, now, actions);
    }

    /// Handles a frame of a relay, which may contain outcomes of relayed orders.
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

    /// Removes and returns the queries of other hosts.
    pub(crate) fn drain_queries(&mut self) -> Vec<RemoteQuery> {
        let queries = self.relays.drain_queries();
        self.stats.host_queries += queries.len() as u64;
        queries
    }

    /// Answers a query of another host.
    pub(crate) fn answer_host(&mut self, requester: RemoteRequester, reply: &Reply) {
        self.relays.answer(requester, reply);
    }

    /// Sends the orders and answers of this turn to the hosts that they are for.
    pub(crate) fn flush_frames(&mut self, now_ms: u64, actions: &mut Vec<Action>) {
        let heartbeat = OwnerHeartbeat {
            // An owner that needs relays leaves its heartbeats to the store.
            stored_end: match self.uses_relays {
                true => 0,
                false => self.stored_states_end(),
            },
            is_leaving: self.is_leaving,
        };
        self.relays.flush(self.token, heartbeat, now_ms, actions);
    }

    /// Closes the connections to all relays, as this owner stops.
    pub(crate) fn close_relays(&mut self, actions: &mut Vec<Action>) {
        self.relays.close(actions);
    }
}
