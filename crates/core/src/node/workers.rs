//! Owner's part for cells of workers: reserves resources and starts tasks.

use super::Node;
use crate::event::Action;
use crate::event::PlatformHost;
use crate::ids::Cell;
use crate::ids::Member;
use crate::ids::Term;
use crate::message::Message;
use crate::notes::Code;
use crate::placement::HostEntry;
use crate::placement::HostKey;
use crate::placement::Reservation;
use crate::placement::StartAnswer;
use crate::placement::StartOptions;
use crate::placement::TaskOrder;
use crate::placement::TaskUpdate;
use crate::placement::WorkerCell;
use crate::placement::WorkerReport;
use crate::placement::WorkerTiming;

/// Time after which an unacknowledged task update is sent again.
const UPDATE_ACK_TIMEOUT_MS: u64 = 1_000;

/// Returns the team in the identity of a job, which has the form `team/name`.
pub(super) fn team_of(id: &str) -> &str {
    id.split_once('/').map_or(id, |(team, _)| team)
}

impl Node {
    pub(super) fn open_workers(&mut self, number: u64, term: Term) {
        let timing = WorkerTiming {
            lease_ms: self.limits.worker_lease_ms,
            poll_ms: self.limits.worker_poll_ms,
            reserve_ms: self.limits.reserve_ms,
            skew_permille: self.limits.skew_permille,
        };
        self.workers.insert(number, WorkerCell::new(term, timing));
        let cell = Cell::Workers(number);
        self.note(
            Code::CellOpened,
            cell.to_string(),
            format!("term {}", term.0),
        );
        self.update_hosts(number);
    }

    /// Updates the hosts of a cell from the inventory and the platform's list.
    pub(super) fn update_hosts(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let Some(cell) = self.workers.get_mut(&number) else {
            return;
        };
        let hosts = self.layout.racks.get(&number).cloned().unwrap_or_default();
        for name in cell.host_names() {
            if !hosts.contains(&name) {
                cell.remove_host(&name);
            }
        }
        let inventory = self.config.inventory();
        for name in hosts {
            let Some(host) = inventory.hosts.get(&name) else {
                continue;
            };
            let platform_entry = self.platform.get(&name);
            let is_leaving = platform_entry.is_some_and(|host| host.is_leaving)
                || inventory.drains(&name)
                || inventory.is_evacuated(&name);
            cell.update_host(
                now_ms,
                HostEntry {
                    address: platform_entry
                        .map(|host| host.address.clone())
                        .unwrap_or_default(),
                    total: host.capacity,
                    reserved: inventory.reserved(&name),
                    excluded_jobs: inventory.excluded_jobs(&name),
                    is_leaving,
                    name,
                },
            );
        }
    }

    pub(super) fn apply_host_list(&mut self, list: &[PlatformHost]) {
        self.platform.clear();
        for host in list {
            self.platform.insert(host.name.clone(), host.clone());
        }
        self.update_all_cells();
    }

    pub(super) fn update_all_cells(&mut self) {
        for number in self.workers.keys().copied().collect::<Vec<u64>>() {
            self.update_hosts(number);
        }
        for number in self.upstreams.keys().copied().collect::<Vec<u64>>() {
            self.update_instances(number);
        }
    }

    pub(super) fn receive_as_worker_owner(&mut self, from: Member, message: Message) {
        let now_ms = self.now_ms;
        let may_act = self.acts_until_ms().is_some();
        match message {
            Message::Reserve {
                home,
                cell,
                order,
                is_urgent,
            } => {
                let attempt = order.attempt.clone();
                let owned = self.owned_workers(cell).filter(|_| may_act);
                let reservation = owned.map(|owned| owned.reserve(now_ms, order, is_urgent));
                let free = self.owned_workers(cell).map(|owned| owned.free_resources());
                let answer = Message::Reserved {
                    home,
                    cell,
                    attempt,
                    is_held: reservation == Some(Reservation::Held),
                    free_millicores: free.unwrap_or_default().millicores,
                };
                self.send(from.seat, answer);
            }
            Message::Unreserve { cell, attempt } => {
                if let Some(owned) = self.owned_workers(cell) {
                    owned.release(&attempt);
                }
            }
            Message::Start {
                home,
                cell,
                order,
                is_urgent,
                is_repeat,
            } => {
                self.order_start(
                    from,
                    home,
                    cell,
                    order,
                    StartOptions {
                        is_urgent,
                        is_repeat,
                    },
                );
            }
            Message::TaskUpdateRecorded { cell, attempt } => {
                if let Some(owned) = self.owned_workers(cell) {
                    owned.acknowledge(now_ms, &attempt);
                }
            }
            _ => {}
        }
    }

    fn order_start(
        &mut self,
        from: Member,
        home: Cell,
        cell: Cell,
        order: TaskOrder,
        options: StartOptions,
    ) {
        // An order from a member that does not own the job's cell any more is
        // stale: the new owner may have changed the state of the job.
        let owner = self.claims.owner(home);
        let is_home = owner.is_some_and(|owner| self.speaks_for(from, owner.member));
        if !is_home || self.acts_until_ms().is_none() {
            return;
        }
        let now_ms = self.now_ms;
        let attempt = order.attempt.clone();
        let Some(owned) = self.owned_workers(cell) else {
            return;
        };
        let end = match owned.start(now_ms, order, options) {
            StartAnswer::Starting | StartAnswer::Wait => return,
            StartAnswer::Running => None,
            StartAnswer::Ended(end) => Some(end),
        };
        let update = Message::TaskUpdate {
            home,
            cell,
            attempt,
            end,
        };
        self.send(from.seat, update);
    }

    fn owned_workers(&mut self, cell: Cell) -> Option<&mut WorkerCell> {
        let Cell::Workers(number) = cell else {
            return None;
        };
        self.workers.get_mut(&number)
    }

    pub(super) fn handle_worker_answer(
        &mut self,
        number: u64,
        host: HostKey,
        token: u64,
        report: Option<WorkerReport>,
    ) {
        let now_ms = self.now_ms;
        let inventory = self.config.inventory();
        let Some(cell) = self.workers.get_mut(&number) else {
            return;
        };
        match report {
            Some(report) => {
                let is_urgent = |job: &str| inventory.jobs.get(job).is_some_and(|job| job.urgent);
                cell.handle_report(now_ms, host, token, &report, is_urgent);
            }
            None => cell.handle_call_failure(now_ms, host, token),
        }
        self.call_workers(number, true);
    }

    pub(super) fn tick_workers(&mut self, is_slow: bool) {
        for number in self.workers.keys().copied().collect::<Vec<u64>>() {
            self.call_workers(number, is_slow);
        }
    }

    /// Sends the due calls to the workers of a cell, and the due task updates to the
    /// owners of the jobs.
    fn call_workers(&mut self, number: u64, sends_updates: bool) {
        let Some(begin_by_ms) = self.acts_until_ms() else {
            return;
        };
        let now_ms = self.now_ms;
        let Some(cell) = self.workers.get_mut(&number) else {
            return;
        };
        for (host, address, call) in cell.tick(now_ms) {
            self.out.push(Action::CallWorker {
                cell: number,
                host,
                address,
                call,
                begin_by_ms,
            });
        }
        if !sends_updates {
            return;
        }
        for TaskUpdate { attempt, end } in cell.drain_updates(now_ms, UPDATE_ACK_TIMEOUT_MS) {
            let home = Cell::keys(team_of(&attempt.id), self.limits.key_cells);
            let cell = Cell::Workers(number);
            let update = Message::TaskUpdate {
                home,
                cell,
                attempt,
                end,
            };
            self.send_to_owner(home, update);
        }
    }
}
