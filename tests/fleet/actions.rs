//! Performs the actions of hosts: calls to the store, to workers and to permit services, and
//! answers to callers.

use crate::fleet::CALL_MS;
use crate::fleet::Delivery;
use crate::fleet::Fleet;
use crate::fleet::Loader;
use crate::fleet::Order;
use crate::fleet::PERMIT_CALL_MS;
use crate::fleet::PERMIT_MS;
use crate::fleet::Reader;
use crate::fleet::STEP_MS;
use crate::fleet::link::append_bytes;
use crate::fleet::link::order_bytes;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use goldcrestway_dispatch::Action;
use goldcrestway_dispatch::AppendOutcome;
use goldcrestway_dispatch::Event;
use goldcrestway_dispatch::OrderOutcome;
use goldcrestway_dispatch::PermitOutcome;
use goldcrestway_dispatch::Reply;
use goldcrestway_dispatch::Stream;
use goldcrestway_dispatch::WorkerCall;

/// Returns whether an order extends the leases of a worker.
fn gives_lease(call: &WorkerCall) -> bool {
    match call {
        WorkerCall::Poll { lease_until_ms, .. } => lease_until_ms.is_some(),
        WorkerCall::Start { .. } => true,
        _ => false,
    }
}

impl Fleet {
    pub(super) fn perform(&mut self, number: usize, action: Action) {
        let generation = self.hosts[number].generation;
        let is_store_call = matches!(
            action,
            Action::Append { .. } | Action::Read { .. } | Action::Load { .. }
        );
        self.hosts[number].store_calls += usize::from(is_store_call);
        self.store_calls_made += usize::from(is_store_call);
        let store_calls = self.hosts[number].store_calls;
        self.max_store_calls = self.max_store_calls.max(store_calls);
        let is_cut = self.hosts[number].is_cut_from_store;
        match action {
            Action::Append {
                ticket,
                stream,
                fence,
                records,
                timeout_ms,
            } => {
                let bytes = append_bytes(&records);
                let is_callers = matches!(stream, Stream::Jobs(_));
                let outcome = match self.append_delay_ms.filter(|_| is_callers) {
                    _ if is_cut => AppendOutcome::Unknown,
                    Some(delay_ms) => {
                        let late = Delivery::LateAppend(stream, records);
                        self.deliveries.push((self.now_ms + delay_ms, late));
                        AppendOutcome::Unknown
                    }
                    None => self.store.append(stream, fence, records),
                };
                let is_claim = fence.is_some_and(|fence| fence.sequence == 0);
                if is_claim && stream == Stream::Progress {
                    self.claims += 1;
                    self.last_claimant = Some(number);
                }
                let answer_ms = self.store.answer_ms + CALL_MS;
                let link_ms = self.hosts[number].sending_ms(self.now_ms, bytes);
                let done_ms = self.store.done_ms(stream, self.now_ms) + answer_ms + link_ms;
                let give_up_ms = self.now_ms + timeout_ms;
                let is_lost = outcome == AppendOutcome::Unknown || done_ms > give_up_ms;
                let (at_ms, outcome) = match is_lost {
                    true => (give_up_ms, AppendOutcome::Unknown),
                    false => (done_ms, outcome),
                };
                let event = Event::Appended { ticket, outcome };
                let delivery = Delivery::ToEntry(number, generation, event);
                self.deliveries.push((at_ms, delivery));
            }
            Action::Read {
                ticket,
                stream,
                from,
                wait_ms,
                timeouts,
            } => {
                if wait_ms == 0 {
                    *self.short_reads.entry(stream).or_default() += 1;
                }
                let reader = Reader {
                    number,
                    generation,
                    ticket,
                    stream,
                    from,
                    until_ms: self.now_ms + wait_ms,
                    sent_ms: self.now_ms,
                    give_up_ms: self.now_ms + timeouts.first_byte_ms,
                };
                self.deliveries
                    .push((self.now_ms + STEP_MS, Delivery::Read(reader)));
            }
            Action::Load {
                ticket,
                stream,
                after,
                timeouts,
            } => {
                *self.loads.entry(stream).or_default() += 1;
                let loader = Loader {
                    number,
                    generation,
                    ticket,
                    stream,
                    after,
                    sent_ms: self.now_ms,
                    give_up_ms: self.now_ms + timeouts.first_byte_ms,
                };
                self.deliveries
                    .push((self.now_ms + STEP_MS, Delivery::Load(loader)));
            }
            Action::Order {
                ticket,
                address,
                worker,
                token,
                call,
                timeout_ms,
            } => {
                self.worker_calls[number] += 1;
                if gives_lease(&call) {
                    self.leases_given_ms[number] = self.now_ms;
                }
                let order = Order {
                    ticket,
                    address,
                    worker,
                    token,
                    call,
                };
                self.send_order(number, generation, order, timeout_ms);
            }
            Action::RequestPermits {
                ticket, workers, ..
            } => self.answer_permits(number, ticket, workers),
            Action::Answer { request, reply } => {
                if reply == Reply::Stored
                    && let Some(job) = self.submission_jobs.get(&request)
                {
                    self.promises.accepted.insert(*job);
                }
                self.replies.insert(request, reply);
            }
            Action::OpenConnection { conn, address } => self.connect(number, conn, &address),
            Action::SendFrame { conn, bytes } => self.send_frame(number, conn, bytes),
            Action::CloseConnection { conn } => self.disconnect(number, conn),
            Action::Note(note) => self.record_note(number, &note),
            Action::JobTimed(times) => self.job_times.push((self.now_ms, *times)),
            Action::Disconnect { .. } | Action::Configured => {}
        }
    }

    fn record_note(&mut self, number: usize, note: &Note) {
        *self.note_counts.entry(note.code).or_default() += 1;
        let is_logged = matches!(
            note.code,
            Code::WorkerGone
                | Code::RunLost
                | Code::RunOrdered
                | Code::StartWithheld
                | Code::StopOrdered
                | Code::StartRelayed
                | Code::StartExpired
                | Code::RunVanished
                | Code::RunsUnreported
                | Code::TaskWaits
                | Code::WorkerBack
                | Code::WorkerRestarted
                | Code::TaskSuspected
                | Code::JobFailed
                | Code::ProcessorsShort
        );
        if is_logged {
            let name = note.code.name();
            let line = format!(
                "{} {name} {} {} host={number}",
                self.now_ms, note.subject, note.detail
            );
            self.log_lines.push(line);
        }
    }

    /// Answers a request for permits. Each permit carries the time until which it is valid.
    fn answer_permits(&mut self, number: usize, ticket: u64, workers: Vec<Box<str>>) {
        let generation = self.hosts[number].generation;
        self.permit_calls += 1;
        let until_ms = self.now_ms + PERMIT_MS;
        let mut rows = Vec::new();
        for worker in workers {
            if self.permitted.contains(&worker) {
                rows.push((worker, until_ms.to_string().into()));
            }
        }
        let outcome = PermitOutcome::Permitted {
            rows,
            validity_ms: PERMIT_MS,
        };
        let event = Event::PermitsAnswered { ticket, outcome };
        let delivery = Delivery::ToEntry(number, generation, event);
        self.deliveries
            .push((self.now_ms + PERMIT_CALL_MS, delivery));
    }

    fn send_order(&mut self, number: usize, generation: u64, order: Order, timeout_ms: u64) {
        let delayed = &self.delayed_workers;
        let is_delayed = delayed.is_empty() || delayed.contains(&order.address);
        if let Some(order_delay_ms) = self.order_delay_ms.filter(|_| is_delayed) {
            let event = Event::Ordered {
                ticket: order.ticket,
                outcome: OrderOutcome::Unknown,
            };
            let no_answer = Delivery::ToEntry(number, generation, event);
            self.deliveries.push((self.now_ms + timeout_ms, no_answer));
            let target_incarnation = self.incarnation_at(&order.address);
            self.deliveries.push((
                self.now_ms + order_delay_ms,
                Delivery::Late(order, target_incarnation),
            ));
            return;
        }
        let link = (number, order.address.clone());
        if self.hosts[number].is_cut_from_workers || self.cut_links.contains(&link) {
            let event = Event::Ordered {
                ticket: order.ticket,
                outcome: OrderOutcome::Unknown,
            };
            let no_answer = Delivery::ToEntry(number, generation, event);
            self.deliveries.push((self.now_ms + timeout_ms, no_answer));
            return;
        }
        let link_ms = self.hosts[number].sending_ms(self.now_ms, order_bytes(&order.call));
        let at_ms = self.now_ms + CALL_MS + link_ms;
        if self.hosts[number].link.is_some() || self.answer_delays.is_some() {
            // The earlier of answer and timeout counts.
            let event = Event::Ordered {
                ticket: order.ticket,
                outcome: OrderOutcome::Unknown,
            };
            let timed_out = Delivery::ToEntry(number, generation, event);
            self.deliveries.push((self.now_ms + timeout_ms, timed_out));
        }
        let delivery = match order.call {
            WorkerCall::Poll { wait_ms, .. } if wait_ms > 0 => {
                Delivery::PendingPoll(number, generation, order, at_ms + wait_ms - CALL_MS, None)
            }
            _ => Delivery::Order(number, generation, order),
        };
        self.deliveries.push((at_ms, delivery));
    }
}
