//! Orders to workers that are in flight: their purposes, and the dispatch of their outcomes.

use crate::event::Action;
use crate::event::Now;
use crate::event::OrderOutcome;
use crate::event::Refusal;
use crate::event::WorkerCall;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::Stepdown;
use crate::owner::leases::LeaseBasis;
use crate::owner::worker::RemovalReason;
use crate::owner::worker::WorkerKey;

/// Minimum difference between the actual and the expected time of a worker's clock that counts as a
/// jump. Clocks that are slow by 2% and answers that are seconds late cause smaller differences.
const CLOCK_JUMP_MS: u64 = 3_000;

/// Purpose of an order in flight.
#[derive(Debug, Clone, Copy)]
pub(super) enum Purpose {
    Poll {
        sent_ms: u64,
        /// Newest exit that the worker was told to forget.
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
    /// Time for which the worker may delay its answer, as in a long poll.
    wait_ms: u64,
}

impl Owner {
    /// Handles the outcome of an order, if this owner has sent it.
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
        self.record_latency(order, &outcome, now.steady_ms);
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

    /// Records the time of a worker's clock. If the clock has jumped, the worker has restarted, and
    /// it respects leases that it was granted by its previous clock for as long as the longest lease
    /// lasts. Answers to orders show a jump before the next poll does.
    fn set_clock(&mut self, key: WorkerKey, clock_ms: u64, now_ms: u64) {
        let expired_ms = now_ms + self.max_lease_span_ms();
        let worker = &mut self.workers[key];
        let expected_ms = worker.clock_ms(now_ms);
        if expected_ms.is_some_and(|expected_ms| expected_ms.abs_diff(clock_ms) > CLOCK_JUMP_MS) {
            worker.extend_leases(expired_ms, LeaseBasis::PreviousClock);
            worker.next_poll_ms = now_ms;
            worker.clock_jumped_ms = Some(now_ms);
        }
        worker.clock = Some((clock_ms, now_ms));
    }

    /// Records the latency of an answer. An answer that came before its wait time had passed has no
    /// known latency, as the worker may have sent it at any time.
    fn record_latency(&mut self, order: Order, outcome: &OrderOutcome, now_ms: u64) {
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

    /// Sends an order to a worker, over a relay if there is one for it.
    pub(super) fn send_order(
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
