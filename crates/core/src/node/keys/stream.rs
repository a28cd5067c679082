//! The log stream of a cell of keys: read when the cell gets a new owner, written in batches.

use super::super::Node;
use super::LOG_UNAVAILABLE_RETRY_MS;
use super::apply_batch;
use crate::event::Action;
use crate::event::StreamPage;
use crate::ids::Stream;
use crate::message::IntentVerdict;
use crate::message::JobVerdict;
use crate::message::Message;
use crate::notes::Code;
use crate::record::Record;
use crate::writer::Step;

impl Node {
    /// Reads the next page of the stream, unless a read is pending or was sent a short time ago.
    pub(in crate::node) fn read_keys(&mut self, number: u16) {
        let now_ms = self.now_ms;
        let timeout_ms = self.limits.append_timeout_ms * 4;
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let is_reading = cell
            .read_sent_ms
            .is_some_and(|asked| now_ms < asked + timeout_ms);
        if is_reading || now_ms < cell.next_read_ms {
            return;
        }
        cell.read_sent_ms = Some(now_ms);
        cell.next_read_ms = now_ms + self.limits.poll_ms / 5;
        let (stream, from) = (Stream::Keys(number), cell.position);
        self.out.push(Action::Read { stream, from });
    }

    /// Handles the outcome of an append; an `offset` of `None` means that the outcome is unknown.
    pub(in crate::node) fn handle_keys_appended(
        &mut self,
        number: u16,
        sequence: u64,
        offset: Option<u64>,
    ) {
        let (now_ms, limits) = (self.now_ms, self.limits);
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let Some(offset) = offset else {
            cell.writer.mark_unresolved(now_ms, &limits);
            return;
        };
        if !cell.is_open {
            // The cell opens once a read finds the record that opens it.
            return;
        }
        let records = cell.writer.committed(sequence);
        cell.position = cell.position.max(offset + 1);
        cell.filter.sequence = cell.filter.sequence.max(sequence);
        self.apply_committed(number, records);
    }

    /// Handles a page of the stream, or `None` if the read failed.
    pub(in crate::node) fn handle_keys_read(&mut self, number: u16, page: Option<StreamPage>) {
        let now_ms = self.now_ms;
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        cell.read_sent_ms = None;
        let Some(page) = page else {
            return;
        };
        if page.next < cell.position {
            return;
        }
        let was_open = cell.is_open;
        let is_gap = page.oldest > cell.position && cell.position > 0;
        let mut committed = Vec::new();
        let mut is_found = false;
        for (offset, batch) in &page.batches {
            let Some(batch) = batch.as_ref().filter(|_| *offset >= cell.position) else {
                continue;
            };
            let is_admitted = cell.filter.admit(batch);
            if batch.term == cell.term {
                is_found |= cell.writer.is_latest(batch);
                committed.extend(cell.writer.commit_read(batch));
            } else if is_admitted && !cell.is_open {
                apply_batch(now_ms, cell, &batch.records);
            }
        }
        cell.position = cell.position.max(page.next);
        if is_gap {
            self.note(
                Code::StateMissing,
                format!("keys-{number}"),
                "records have expired",
            );
        }
        if was_open && !committed.is_empty() {
            self.note(Code::BatchResolved, format!("keys-{number}"), "");
        }
        self.finish_read(number, committed, is_found, page.is_end);
    }

    /// Opens the cell if its `Open` record was found, acts on the records that are committed, and
    /// appends a lost batch again once the end of the stream shows that it is absent.
    pub(super) fn finish_read(
        &mut self,
        number: u16,
        found: Vec<Record>,
        is_found: bool,
        is_end: bool,
    ) {
        let now_ms = self.now_ms;
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        if !cell.is_open && is_found {
            cell.is_open = true;
            cell.jobs.resume(now_ms, self.config.inventory());
            let detail = cell.describe();
            self.note(Code::CellOpened, format!("keys-{number}"), detail);
            self.cancel_unlisted(number);
        }
        self.apply_committed(number, found);
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        if !is_end {
            cell.next_read_ms = now_ms;
            if !cell.is_open {
                self.read_keys(number);
            }
            return;
        }
        if is_found {
            return;
        }
        if let Some(Step::Append(batch)) = cell.writer.retry_missing(now_ms) {
            let stream = Stream::Keys(number);
            self.note(Code::BatchRepeated, stream.to_string(), "");
            self.out.push(Action::Append { stream, batch });
        }
    }

    /// Refuses requests whose records were never sent to the log, as nothing was done for them.
    ///
    /// The others keep waiting, because their records may be committed.
    pub(super) fn refuse_unsent(&mut self, number: u16) {
        let now_ms = self.now_ms;
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let mut replies = Vec::new();
        for record in cell.writer.take_unsent() {
            match record {
                Record::Intent { identity, .. } => {
                    cell.identities.withdraw(identity);
                    if let Some((requester, request)) = cell.intent_requesters.remove(&identity) {
                        let retry_after_ms = LOG_UNAVAILABLE_RETRY_MS;
                        let verdict = IntentVerdict::Refused { retry_after_ms };
                        replies.push((requester, Message::IntentResponse { request, verdict }));
                    }
                }
                Record::Accepted(spec) => {
                    cell.jobs.withdraw(&spec.id);
                    if let Some((requester, request)) = cell.job_requesters.remove(&spec.id) {
                        let retry_after_ms = LOG_UNAVAILABLE_RETRY_MS;
                        let verdict = JobVerdict::Refused { retry_after_ms };
                        replies.push((requester, Message::JobResponse { request, verdict }));
                    }
                }
                other => cell.writer.push(now_ms, other),
            }
        }
        for (requester, reply) in replies {
            self.send(requester.seat, reply);
        }
    }

    /// Appends a snapshot of the cell if one is due and no record waits for its commit.
    pub(super) fn snapshot_keys(&mut self, number: u16) {
        let (now_ms, limits) = (self.now_ms, self.limits);
        let may_act = self.acts_until_ms().is_some();
        let Some(cell) = self.keys.get_mut(&number) else {
            return;
        };
        let is_due = cell.records_since_snapshot >= limits.carry_records
            || now_ms >= cell.last_snapshot_ms + limits.carry_ms;
        if !may_act || !cell.is_open || !is_due || cell.writer.waiting() > 0 {
            return;
        }
        cell.records_since_snapshot = 0;
        cell.last_snapshot_ms = now_ms;
        let records = cell.snapshot_records();
        cell.writer.push_snapshot(records);
        self.note(Code::StateCarried, format!("keys-{number}"), "");
    }
}
