//! Queries of callers that a host forwards to the owner.
//!
//! A host that reads jobs can answer by itself, so it waits for the owner only briefly. Any other
//! host has nothing but the owner's answer.

use crate::entry::Entry;
use crate::entry::callers::RETRY_AFTER_MS;
use crate::entry::queries::Flight;
use crate::entry::queries::MAX_QUERY_MS;
use crate::entry::queries::PendingQuery;
use crate::entry::queries::QueryKind;
use crate::entry::queries::Requester;
use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::Now;
use crate::event::Reply;

/// Time for which the owner's answer to a query is awaited before this host reads by itself. It is
/// several times the time between two hosts, and leaves most of [`MAX_QUERY_MS`] for the read.
const OWNER_ANSWER_MS: u64 = 250;

impl Entry {
    /// Applies the owner's answers. A query that the owner can't answer remains pending until it
    /// times out, or until another owner connects and gets it.
    pub(super) fn apply_owner_answers(&mut self) {
        for answer in self.relay.drain_answers() {
            let is_answered = |query: &&mut PendingQuery| {
                let flight = query.flight;
                flight.is_some_and(|flight| flight.ticket == answer.ticket)
            };
            if let Some(query) = self.callers.queries.iter_mut().find(is_answered) {
                query.is_declined = matches!(answer.reply, None | Some(Reply::NoSuchQueue));
                query.reply = answer.reply;
            }
        }
    }

    /// Answers from recent data, or else by the owner's answer, or else from the data that this
    /// host reads for it.
    pub(super) fn answer_by_owner_or_reading(
        &mut self,
        query: &mut PendingQuery,
        is_late: bool,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Option<Reply> {
        if !self.has_recent_data(query, now) {
            if let Some(reply) = self.take_owner_reply(query, now) {
                return Some(reply);
            }
            if self.awaits_owner(query, now) {
                return None;
            }
        }
        self.answer_by_reading(query, is_late, now, actions)
    }

    /// Returns the owner's answer to a query if it has arrived and may be passed on.
    fn take_owner_reply(&mut self, query: &mut PendingQuery, now: Now) -> Option<Reply> {
        match query.reply.take()? {
            // The rules that define the queue must be current on this host as well.
            Reply::Waiting(count) => self.are_rules_current(now).then_some(Reply::Waiting(count)),
            Reply::NoSuchQueue => None,
            reply => Some(reply),
        }
    }

    /// Returns whether this host can answer a query without another read.
    fn has_recent_data(&self, query: &PendingQuery, now: Now) -> bool {
        match &query.kind {
            QueryKind::State(job) | QueryKind::Cancel(job, _) => {
                let record = self.job_table.jobs.get(job);
                let is_known = record.is_some_and(|record| record.submission.is_some());
                let is_cancel = matches!(query.kind, QueryKind::Cancel(..));
                match is_known {
                    true => is_cancel || self.states.is_fresh_after(query.after_ticket),
                    false => self.jobs.is_fresh_after(query.after_ticket),
                }
            }
            QueryKind::Waiting(queue) => {
                let config = self.config.as_ref();
                let is_unknown = config.is_some_and(|config| config.queue(queue).is_none());
                let has_counts = self.is_count_recent(query.received_ms);
                self.are_rules_current(now) && (is_unknown || has_counts)
            }
        }
    }

    /// Forwards a query to a connected owner, and returns whether its answer is still awaited.
    fn awaits_owner(&mut self, query: &mut PendingQuery, now: Now) -> bool {
        let now_ms = now.steady_ms;
        let is_for_caller = matches!(query.requester, Requester::Caller(_));
        if query.is_declined || !is_for_caller || now_ms >= query.received_ms + MAX_QUERY_MS {
            return false;
        }
        let Some(flight) = query.flight else {
            let conn = self.responsive_owner();
            if let Some(conn) = conn {
                self.forward(query, conn, now_ms);
            }
            return conn.is_some();
        };
        if self.reading.owner_connection != Some(flight.conn) {
            return false;
        }
        if now_ms < flight.sent_ms + OWNER_ANSWER_MS {
            return true;
        }
        self.reading.record_unanswered_query(flight.sent_ms);
        false
    }

    fn forward(&mut self, query: &mut PendingQuery, conn: ConnectionId, now_ms: u64) {
        self.tickets += 1;
        let ticket = self.tickets;
        query.flight = Some(Flight {
            conn,
            ticket,
            sent_ms: now_ms,
        });
        self.relay.send_query(conn, ticket, query.subject());
    }

    /// Forwards a query to the owner, and returns the owner's answer once it is there.
    pub(super) fn answer_by_owner(
        &mut self,
        query: &mut PendingQuery,
        is_late: bool,
        now: Now,
    ) -> Option<Reply> {
        if let QueryKind::Waiting(queue) = &query.kind {
            let config = self.config.as_ref();
            let is_unknown = config.is_some_and(|config| config.queue(queue).is_none());
            if is_unknown && self.are_rules_current(now) {
                return Some(Reply::NoSuchQueue);
            }
        }
        if let Some(reply) = self.take_owner_reply(query, now) {
            return Some(reply);
        }
        if is_late {
            return Some(Reply::NotDone {
                retry_after_ms: RETRY_AFTER_MS,
            });
        }
        let conn = self.reading.owner_connection?;
        // A query that was sent over a connection that has closed is sent again.
        if query.flight.is_none_or(|flight| flight.conn != conn) {
            self.forward(query, conn, now.steady_ms);
        }
        None
    }
}
