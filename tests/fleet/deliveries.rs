//! Delivers messages in flight once they are due.

use crate::fleet::CALL_MS;
use crate::fleet::Delivery;
use crate::fleet::Fleet;
use crate::fleet::Order;
use crate::fleet::link::answer_bytes;
use goldcrestway_dispatch::Event;
use goldcrestway_dispatch::OrderOutcome;
use goldcrestway_dispatch::Refusal;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

impl Fleet {
    pub(super) fn deliver(&mut self) {
        let now_ms = self.now_ms;
        let mut due = Vec::new();
        for (at_ms, delivery) in std::mem::take(&mut self.deliveries) {
            match at_ms <= now_ms {
                true => due.push(delivery),
                false => self.deliveries.push((at_ms, delivery)),
            }
        }
        for delivery in due {
            self.deliver_one(delivery);
        }
    }

    fn deliver_one(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::ToEntry(number, generation, event) => {
                if self.hosts[number].generation != generation {
                    return;
                }
                if self.hosts[number].is_paused {
                    self.hosts[number].queued_events.push(event);
                    return;
                }
                let is_store_call = matches!(
                    event,
                    Event::Appended { .. } | Event::Read { .. } | Event::Loaded { .. }
                );
                self.hosts[number].store_calls -= usize::from(is_store_call);
                self.handle(number, event);
            }
            Delivery::Order(number, generation, order) => {
                let starts = self.promises.starts.len();
                let outcome = self.execute_over_link(number, &order);
                if self.promises.starts.len() > starts {
                    self.check_start(number, &order.address);
                    self.check_draining(number, &order.address);
                }
                self.reply_order(number, generation, order.ticket, outcome);
            }
            Delivery::LateAppend(stream, records) => {
                let _ = self.store.append(stream, None, records);
            }
            Delivery::Late(order, target_incarnation) => {
                let current_incarnation = self.incarnation_at(&order.address);
                if target_incarnation == current_incarnation || self.late_orders_outlive_restarts {
                    drop(self.execute(&order));
                }
            }
            Delivery::PendingPoll(number, generation, order, until_ms, polled_incarnation) => {
                let current_incarnation = self.incarnation_at(&order.address);
                // A poll that waits at a worker is lost with the worker.
                if polled_incarnation.is_some() && polled_incarnation != current_incarnation {
                    return self.reply_order(
                        number,
                        generation,
                        order.ticket,
                        OrderOutcome::Unknown,
                    );
                }
                let outcome = self.execute_over_link(number, &order);
                let has_exit = match &outcome {
                    OrderOutcome::Done { report, .. } => report
                        .as_ref()
                        .is_some_and(|report| !report.exits.is_empty()),
                    _ => true,
                };
                if has_exit || self.now_ms >= until_ms {
                    self.reply_order(number, generation, order.ticket, outcome);
                } else {
                    let again = Delivery::PendingPoll(
                        number,
                        generation,
                        order.without_acknowledgement(),
                        until_ms,
                        current_incarnation,
                    );
                    self.deliveries.push((self.now_ms + 20, again));
                }
            }
            Delivery::Read(reader) => self.read(reader),
            Delivery::Load(loader) => self.load(loader),
        }
    }

    /// Returns the incarnation that runs at an address, if any.
    pub(super) fn incarnation_at(&self, address: &str) -> Option<u64> {
        let worker = self.workers.get(address).filter(|worker| worker.is_alive);
        worker.map(|worker| worker.started_wall_ms)
    }

    /// Executes an order of a host; its answer may be lost on the way back.
    fn execute_over_link(&mut self, number: usize, order: &Order) -> OrderOutcome {
        let outcome = self.execute(order);
        match self.mute_links.contains(&(number, order.address.clone())) {
            true => OrderOutcome::Unknown,
            false => outcome,
        }
    }

    pub(super) fn execute(&mut self, order: &Order) -> OrderOutcome {
        let is_cut = self.cut_workers.contains(&order.address);
        let Some(worker) = self.workers.get_mut(&order.address) else {
            return OrderOutcome::NotSent;
        };
        if is_cut || !worker.is_alive {
            return OrderOutcome::Unknown;
        }
        if worker.id != order.worker {
            return OrderOutcome::Refused(Refusal::Gone);
        }
        let outcome = worker.execute(self.now_ms, order.token, &order.call, &mut self.promises);
        match self.mute_workers.contains(&order.address) {
            true => OrderOutcome::Unknown,
            false => outcome,
        }
    }

    pub(super) fn reply_order(
        &mut self,
        number: usize,
        generation: u64,
        ticket: u64,
        outcome: OrderOutcome,
    ) {
        let bytes = answer_bytes(&outcome);
        let report_ms = match &outcome {
            OrderOutcome::Done {
                report: Some(_), ..
            } => self.report_delay_ms,
            _ => 0,
        };
        let link_ms = self.hosts[number].receiving_ms(self.now_ms, bytes) + report_ms;
        let delivery = Delivery::ToEntry(number, generation, Event::Ordered { ticket, outcome });
        let at_ms = self.now_ms + CALL_MS + link_ms + self.draw_answer_delay();
        self.deliveries.push((at_ms, delivery));
    }

    /// Draws the delay of the next answer of a worker.
    fn draw_answer_delay(&mut self) -> u64 {
        let Some((min_ms, max_ms, seed)) = &mut self.answer_delays else {
            return 0;
        };
        let mut random = Pcg64::seed_from_u64(*seed);
        *seed = random.random();
        random.random_range(*min_ms..=*max_ms)
    }
}
