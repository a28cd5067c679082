//! What is on its way, as it comes in.

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
            Delivery::ToEntry(number, life, event) => {
                if self.hosts[number].life != life {
                    return;
                }
                if self.hosts[number].is_paused {
                    self.hosts[number].held.push(event);
                    return;
                }
                let is_store_call = matches!(
                    event,
                    Event::Appended { .. } | Event::Read { .. } | Event::Loaded { .. }
                );
                self.hosts[number].store_calls -= usize::from(is_store_call);
                self.handle(number, event);
            }
            Delivery::Order(number, life, order) => {
                let starts = self.promises.starts.len();
                let outcome = self.obey(&order);
                if self.promises.starts.len() > starts {
                    self.judge_start(number, &order.address);
                }
                self.reply_order(number, life, order.ticket, outcome);
            }
            Delivery::Late(order, came_to) => {
                let lives = self.incarnation_at(&order.address);
                if came_to == lives || self.outlive_lives {
                    drop(self.obey(&order));
                }
            }
            Delivery::Look(number, life, order, until_ms, held_by) => {
                let lives = self.incarnation_at(&order.address);
                // What a worker holds goes with it.
                if held_by.is_some() && held_by != lives {
                    return self.reply_order(number, life, order.ticket, OrderOutcome::Unknown);
                }
                let outcome = self.obey(&order);
                let has_end = match &outcome {
                    OrderOutcome::Done { report, .. } => report
                        .as_ref()
                        .is_some_and(|report| !report.exits.is_empty()),
                    _ => true,
                };
                if has_end || self.now_ms >= until_ms {
                    self.reply_order(number, life, order.ticket, outcome);
                } else {
                    let again = Delivery::Look(number, life, order.held(), until_ms, lives);
                    self.deliveries.push((self.now_ms + 20, again));
                }
            }
            Delivery::Read(reader) => self.read(reader),
            Delivery::Load(loader) => self.load(loader),
        }
    }

    /// Gives which incarnation lives at an address, if one does.
    pub(super) fn incarnation_at(&self, address: &str) -> Option<u64> {
        let worker = self.workers.get(address).filter(|worker| worker.is_alive);
        worker.map(|worker| worker.born_wall_ms)
    }

    pub(super) fn obey(&mut self, order: &Order) -> OrderOutcome {
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
        worker.obey(self.now_ms, order.token, &order.call, &mut self.promises)
    }

    pub(super) fn reply_order(
        &mut self,
        number: usize,
        life: u64,
        ticket: u64,
        outcome: OrderOutcome,
    ) {
        let bytes = answer_bytes(&outcome);
        let link_ms = self.hosts[number].receiving_ms(self.now_ms, bytes);
        let delivery = Delivery::ToEntry(number, life, Event::Ordered { ticket, outcome });
        let at_ms = self.now_ms + CALL_MS + link_ms + self.draw_lateness();
        self.deliveries.push((at_ms, delivery));
    }

    /// Draws how late the next answer of a worker is.
    fn draw_lateness(&mut self) -> u64 {
        let Some((least_ms, most_ms, seed)) = &mut self.answers_late else {
            return 0;
        };
        let mut random = Pcg64::seed_from_u64(*seed);
        *seed = random.random();
        random.random_range(*least_ms..=*most_ms)
    }
}
