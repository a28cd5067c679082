//! Reads and loads of hosts: sent to the store, waiting there, answered, or lost.

use crate::fleet::CALL_MS;
use crate::fleet::Delivery;
use crate::fleet::Fleet;
use crate::fleet::STEP_MS;
use crate::fleet::link::read_bytes;
use crate::fleet::store::StoreRead;
use goldcrestway_dispatch::Event;
use goldcrestway_dispatch::Page;
use goldcrestway_dispatch::ReadFault;
use goldcrestway_dispatch::ReadOutcome;
use goldcrestway_dispatch::Stream;

/// A read that may wait for a record.
pub(super) struct Reader {
    pub(super) number: usize,
    pub(super) generation: u64,
    pub(super) ticket: u64,
    pub(super) stream: Stream,
    pub(super) from: u64,
    pub(super) until_ms: u64,
    pub(super) sent_ms: u64,
    /// Time at which the host gives it up.
    pub(super) give_up_ms: u64,
}

/// A load of a page.
pub(super) struct Loader {
    pub(super) number: usize,
    pub(super) generation: u64,
    pub(super) ticket: u64,
    pub(super) stream: Stream,
    pub(super) after: Box<str>,
    pub(super) sent_ms: u64,
    pub(super) give_up_ms: u64,
}

impl Fleet {
    pub(super) fn read(&mut self, reader: Reader) {
        let is_lost = self.is_lost(reader.number, reader.sent_ms);
        let is_new = self.now_ms <= reader.sent_ms + STEP_MS;
        let is_refused = is_new && !self.store.admits_read(self.now_ms);
        let outcome = match self.store.read(reader.stream, reader.from) {
            _ if is_lost => None,
            _ if is_refused => Some(ReadOutcome::Failed(ReadFault::Refused)),
            StoreRead::Answered(outcome) => Some(outcome),
            StoreRead::Dropped => None,
            StoreRead::Waits if self.now_ms < reader.until_ms => {
                self.deliveries
                    .push((self.now_ms + STEP_MS, Delivery::Read(reader)));
                return;
            }
            StoreRead::Waits => Some(ReadOutcome::Records {
                records: Vec::new(),
                end: self.store.end(reader.stream),
            }),
        };
        let (at_ms, outcome) = match outcome {
            Some(outcome) => {
                let bytes = match &outcome {
                    ReadOutcome::Records { records, .. } => read_bytes(records),
                    _ => 0,
                };
                let queue_ms = self.store.queue_ms_for(bytes, self.now_ms);
                let link_ms = self.hosts[reader.number].receiving_ms(self.now_ms, bytes);
                match self.now_ms + queue_ms > reader.give_up_ms {
                    true => (reader.give_up_ms, ReadOutcome::Failed(ReadFault::NoAnswer)),
                    false => (self.answered_ms() + queue_ms + link_ms, outcome),
                }
            }
            None => (reader.give_up_ms, ReadOutcome::Failed(ReadFault::NoAnswer)),
        };
        let ticket = reader.ticket;
        let event = Event::Read { ticket, outcome };
        let delivery = Delivery::ToEntry(reader.number, reader.generation, event);
        self.deliveries.push((at_ms, delivery));
    }

    pub(super) fn load(&mut self, loader: Loader) {
        let is_lost = self.is_lost(loader.number, loader.sent_ms);
        let is_refused = !self.store.admits_read(self.now_ms);
        let mut page = match self.store.newest(loader.stream, &loader.after) {
            _ if is_lost => Err(ReadFault::NoAnswer),
            _ if is_refused => Err(ReadFault::Refused),
            page => page,
        };
        let mut queue_ms = 0;
        if let Ok(Page { records, .. }) = &page {
            queue_ms = self.store.queue_ms_for(read_bytes(records), self.now_ms);
        }
        if self.now_ms + queue_ms > loader.give_up_ms {
            page = Err(ReadFault::NoAnswer);
        }
        let at_ms = match &page {
            Err(ReadFault::NoAnswer) => loader.give_up_ms,
            Ok(page) => {
                let bytes = read_bytes(&page.records);
                let link_ms = self.hosts[loader.number].receiving_ms(self.now_ms, bytes);
                self.answered_ms() + queue_ms + link_ms
            }
            Err(_) => self.answered_ms(),
        };
        let ticket = loader.ticket;
        let event = Event::Loaded {
            ticket,
            outcome: page,
        };
        let delivery = Delivery::ToEntry(loader.number, loader.generation, event);
        self.deliveries.push((at_ms, delivery));
    }

    /// Returns whether a call of a host to the store, sent at `sent_ms`, gets no answer.
    fn is_lost(&self, number: usize, sent_ms: u64) -> bool {
        let host = &self.hosts[number];
        host.is_cut_from_store || sent_ms < host.lost_until_ms
    }

    /// Makes all present connections of a host to the store go silent; new ones work.
    pub(crate) fn drop_store_connections(&mut self, number: usize) {
        self.hosts[number].lost_until_ms = self.now_ms;
        self.hosts[number].disturbed_ms = self.now_ms;
    }

    /// Returns the time at which an answer that the store sends now reaches its host.
    fn answered_ms(&self) -> u64 {
        self.now_ms + CALL_MS + self.store.answer_ms
    }
}
