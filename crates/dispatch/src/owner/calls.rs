//! Calls to workers that are under way: what each was for, and who takes in how it ended.

use crate::event::Action;
use crate::event::Now;
use crate::event::OrderOutcome;
use crate::event::Refusal;
use crate::event::WorkerCall;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::Stepdown;
use crate::owner::worker::RemovalReason;
use crate::owner::worker::WorkerKey;

/// Time by which a worker's clock is off what was expected when it counts anew. Clocks are slow by
/// 2% and answers late by seconds, which comes to less.
const CLOCK_JUMP_MS: u64 = 3_000;

/// What an order in flight was for.
#[derive(Debug, Clone, Copy)]
pub(super) enum Purpose {
    Poll {
        sent_ms: u64,
        /// Newest end that the worker was told to forget.
        acknowledged_exit: u64,
    },
    Start {
        task: TaskId,
        run: u32,
    },
    Stop {
        task: TaskId,
        run: u32,
    },
    SetShare {
        task: TaskId,
        run: u32,
        percent: u32,
    },
}

/// An order in flight.
#[derive(Debug, Clone, Copy)]
pub(super) struct Order {
    worker: WorkerKey,
    purpose: Purpose,
    sent_ms: u64,
    /// Time for which the worker may hold its answer back.
    wait_ms: u64,
}

impl Owner {
    /// Takes in the end of an order, if it is one of this owner.
    pub(crate) fn handle_order_outcome(
        &mut self,
        ticket: u64,
        outcome: OrderOutcome,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let Some(order) = self.orders.remove(&ticket) else {
            return;
        };
        self.record_lateness(order, &outcome, now.steady_ms);
        let Order {
            worker, purpose, ..
        } = order;
        if outcome == OrderOutcome::Refused(Refusal::Fence) {
            self.stepdown = Some(Stepdown::Fenced);
            return;
        }
        if !self.workers.contains_key(worker) {
            return;
        }
        if outcome == OrderOutcome::Refused(Refusal::Gone) {
            self.remove_worker(worker, RemovalReason::Replaced, now, actions);
            return;
        }
        if let OrderOutcome::Done { clock_ms, .. } = &outcome {
            self.set_clock(worker, *clock_ms, now.steady_ms);
        }
        match purpose {
            Purpose::Poll {
                sent_ms,
                acknowledged_exit,
            } => {
                self.on_poll(worker, sent_ms, acknowledged_exit, outcome, now, actions);
            }
            Purpose::Start { task, run } => self.on_start(worker, task, run, outcome, now, actions),
            Purpose::Stop { task, run } => self.on_stop(worker, task, run, outcome, now),
            Purpose::SetShare { task, run, percent } => {
                self.on_share_change(worker, task, run, percent, &outcome, now.steady_ms);
            }
        }
    }

    /// Takes in the time of a worker's clock. One that has jumped begins to count anew: the worker
    /// has started again, and what it was told by its former clock it grants for as long as it ever
    /// does. Answers to orders tell that before a look does.
    fn set_clock(&mut self, key: WorkerKey, clock_ms: u64, now_ms: u64) {
        let longest_ms = now_ms + self.max_lease_span_ms();
        let worker = &mut self.workers[key];
        let expected_ms = worker.clock_ms(now_ms);
        if expected_ms.is_some_and(|expected_ms| expected_ms.abs_diff(clock_ms) > CLOCK_JUMP_MS) {
            worker.leases_expired_ms = worker.leases_expired_ms.max(longest_ms);
            worker.next_poll_ms = now_ms;
        }
        worker.clock = Some((clock_ms, now_ms));
    }

    /// Learns what answers take. One that came before its wait was over tells nothing, as the
    /// worker may have given it at any time.
    fn record_lateness(&mut self, order: Order, outcome: &OrderOutcome, now_ms: u64) {
        let took_ms = now_ms.saturating_sub(order.sent_ms);
        match outcome {
            OrderOutcome::NotSent => {}
            OrderOutcome::Unknown => {
                self.answers.record_missing(now_ms);
                self.switch_relay(order.worker, now_ms);
            }
            _ if took_ms >= order.wait_ms => {
                self.answers.record_answer(took_ms - order.wait_ms, now_ms);
            }
            _ => {}
        }
    }

    /// Gives an order, over a relay of its worker if there is one.
    pub(super) fn order(
        &mut self,
        worker: WorkerKey,
        purpose: Purpose,
        call: WorkerCall,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let wait_ms = match call {
            WorkerCall::Poll { wait_ms, .. } => wait_ms,
            _ => 0,
        };
        *tickets += 1;
        let order = Order {
            worker,
            purpose,
            sent_ms: now_ms,
            wait_ms,
        };
        self.orders.insert(*tickets, order);
        let timeout_ms = wait_ms + self.answer_timeout_ms(worker);
        if self.relay(*tickets, worker, &call, timeout_ms, now_ms) {
            return;
        }
        self.charge_order(worker, &call);
        let entry = &self.workers[worker].entry;
        actions.push(Action::Order {
            ticket: *tickets,
            address: entry.address.clone(),
            worker: entry.id.clone(),
            token: self.token,
            call,
            timeout_ms,
        });
    }
}
