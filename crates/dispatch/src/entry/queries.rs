//! Queries of callers for the state of a job or the number of waiting jobs.
//!
//! A query about data that may have changed is answered once a read that was sent after it has
//! reached the end of its stream. Final states, and what the owner itself writes, need no read. A
//! host that does not read jobs forwards queries to the owner, which answers them like those of its
//! own callers.

use crate::entry::Entry;
use crate::entry::callers::RETRY_AFTER_MS;
use crate::event::Action;
use crate::event::ConnectionId;
use crate::event::Now;
use crate::event::Reply;
use crate::ids::JobId;
use crate::job_table::JobState;
use crate::relay;
use crate::relay::QuerySubject;
use crate::relay::RemoteQuery;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

/// Time for which a query waits for a fresh read. After it the caller gets the known state, or is
/// told to retry.
pub(super) const MAX_QUERY_MS: u64 = 900;

/// Maximum age of the data from which waiting jobs are counted. Callers are promised that a count
/// is at most two seconds old; the difference is for the transfer of the answer.
const MAX_COUNT_AGE_MS: u64 = 1_750;

/// The origin of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Requester {
    /// A caller, by the number of its request.
    Caller(u64),
    /// Another host, which queries this one as the owner.
    Host(relay::RemoteRequester),
    /// This host itself, on behalf of the caller with this request, whose append had no answer.
    Write(u64),
}

/// A query that was forwarded to the owner.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Flight {
    pub(super) conn: ConnectionId,
    pub(super) ticket: u64,
    pub(super) sent_ms: u64,
}

/// A query that awaits a read or the owner's answer.
#[derive(Debug)]
pub(crate) struct PendingQuery {
    pub(crate) requester: Requester,
    pub(crate) kind: QueryKind,
    pub(crate) received_ms: u64,
    /// The host's latest ticket when the query arrived. Data read under an earlier ticket may lack
    /// a job that was stored within the same millisecond.
    pub(crate) after_ticket: u64,
    /// Set once the query was forwarded to the owner.
    pub(crate) flight: Option<Flight>,
    /// The owner's answer.
    pub(crate) reply: Option<Reply>,
    /// The owner does not know the answer.
    pub(crate) is_declined: bool,
}

impl PendingQuery {
    /// Returns the subject of the query to the owner.
    pub(super) fn subject(&self) -> QuerySubject {
        match &self.kind {
            QueryKind::State(job) | QueryKind::Cancel(job, _) => QuerySubject::State(*job),
            QueryKind::Waiting(queue) => QuerySubject::Waiting(queue.clone()),
        }
    }
}

/// What a query asks for.
#[derive(Debug)]
pub(crate) enum QueryKind {
    State(JobId),
    /// The cancellation of a job that this host does not know yet, with the caller's timeout in
    /// milliseconds. What is known of the job decides how its caller is answered.
    Cancel(JobId, u64),
    Waiting(Box<str>),
}

impl Display for QueryKind {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        match self {
            QueryKind::State(job) | QueryKind::Cancel(job, _) => job.fmt(formatter),
            QueryKind::Waiting(queue) => queue.fmt(formatter),
        }
    }
}

impl Entry {
    /// Answers a caller's query for the state of a job, now or later.
    pub(crate) fn query(&mut self, request: u64, job: JobId, now: Now, actions: &mut Vec<Action>) {
        if let Some(state) = self.authoritative_state(job) {
            actions.push(Action::Answer {
                request,
                reply: Reply::State(state),
            });
            return;
        }
        self.add_query(Requester::Caller(request), QueryKind::State(job), now);
    }

    /// Adds a query, which is answered as soon as possible.
    pub(super) fn add_query(&mut self, requester: Requester, kind: QueryKind, now: Now) {
        self.callers.queries.push(PendingQuery {
            requester,
            kind,
            received_ms: now.steady_ms,
            after_ticket: self.tickets,
            flight: None,
            reply: None,
            is_declined: false,
        });
    }

    /// Returns the state of a job if it is final, or if this host is the owner, which writes
    /// states.
    fn authoritative_state(&self, job: JobId) -> Option<JobState> {
        let record = self.job_table.jobs.get(&job)?;
        record.submission.as_ref()?;
        let state = record.state();
        (state.is_final() || self.owner.is_some()).then_some(state)
    }

    /// Adds a caller's query for the number of waiting jobs of a queue.
    pub(crate) fn count(&mut self, request: u64, queue: Box<str>, now: Now) {
        self.add_query(Requester::Caller(request), QueryKind::Waiting(queue), now);
    }

    /// Adds the queries that other hosts have sent to this one as the owner.
    pub(super) fn handle_remote_queries(&mut self, now: Now) {
        let Some(owner) = &mut self.owner else {
            return;
        };
        // An owner that neither the store nor the workers confirm may have been replaced.
        let is_confirmed = owner.is_confirmed(now.steady_ms);
        for RemoteQuery { requester, subject } in owner.drain_queries() {
            if !is_confirmed {
                let retry_after_ms = RETRY_AFTER_MS;
                self.answer_host(requester, &Reply::NotDone { retry_after_ms });
                continue;
            }
            let kind = match subject {
                QuerySubject::State(job) => QueryKind::State(job),
                QuerySubject::Waiting(queue) => QueryKind::Waiting(queue),
            };
            self.add_query(Requester::Host(requester), kind, now);
        }
    }

    pub(crate) fn answer_queries(&mut self, now: Now, actions: &mut Vec<Action>) {
        let queries = std::mem::take(&mut self.callers.queries);
        for query in queries {
            if let Some(pending) = self.answer_query(query, now, actions) {
                self.callers.queries.push(pending);
            }
        }
    }

    /// Answers a query, or returns it if it must wait.
    fn answer_query(
        &mut self,
        mut query: PendingQuery,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Option<PendingQuery> {
        // While the store is unavailable, no read will bring the missing data in time.
        let is_late =
            self.is_store_unavailable || now.steady_ms >= query.received_ms + MAX_QUERY_MS;
        let reply = match self.reading.asks_owner() {
            true => self.answer_by_owner(&mut query, is_late, now),
            false => self.answer_by_owner_or_reading(&mut query, is_late, now, actions),
        };
        let Some(reply) = reply else {
            return Some(query);
        };
        if let QueryKind::Cancel(job, answer_timeout_ms) = query.kind
            && let Requester::Caller(request) = query.requester
            && self.cancel_by(&reply, request, job, answer_timeout_ms, now, actions)
        {
            return None;
        }
        let reply = match (&query.kind, reply) {
            // The job is cancelled already, or final, so that nothing remains to be cancelled.
            (QueryKind::Cancel(..), Reply::State(_)) => Reply::Stored,
            (_, reply) => reply,
        };
        self.reply(&query, reply, now, actions);
        None
    }

    fn reply(&mut self, query: &PendingQuery, reply: Reply, now: Now, actions: &mut Vec<Action>) {
        match query.requester {
            Requester::Caller(request) => {
                if let (QueryKind::Waiting(queue), Reply::Waiting(count)) = (&query.kind, &reply) {
                    let detail = format!("waiting={count} {}", self.ages(now).describe_rules());
                    let note = Note::new(Code::QueueCounted, queue.clone(), detail);
                    actions.push(Action::Note(note));
                }
                if let Reply::NotDone { .. } = &reply {
                    let waited_ms = now.steady_ms - query.received_ms;
                    let was_passed_on = query.flight.is_some();
                    let detail = format!("waited_ms={waited_ms} asked_owner={was_passed_on}");
                    let note = Note::new(Code::QuestionPutOff, query.kind.to_string(), detail);
                    actions.push(Action::Note(note));
                }
                actions.push(Action::Answer { request, reply });
            }
            Requester::Host(requester) => self.answer_host(requester, &reply),
            Requester::Write(request) => self.record_read_back(request, &reply),
        }
    }

    fn answer_host(&mut self, requester: relay::RemoteRequester, reply: &Reply) {
        if let Some(owner) = &mut self.owner {
            owner.answer_host(requester, reply);
        }
    }

    /// Answers from the data that this host has read, if it is recent enough.
    pub(super) fn answer_by_reading(
        &mut self,
        query: &PendingQuery,
        is_late: bool,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Option<Reply> {
        match &query.kind {
            QueryKind::State(job) => {
                self.answer_state(*job, query.after_ticket, is_late, now, actions)
            }
            QueryKind::Waiting(queue) => {
                self.answer_waiting(queue, query.received_ms, is_late, now, actions)
            }
            QueryKind::Cancel(job, _) => {
                let record = self.job_table.jobs.get(job);
                let known = record.filter(|record| record.submission.is_some());
                match known {
                    Some(record) => Some(Reply::State(record.state())),
                    None => self.answer_state(*job, query.after_ticket, is_late, now, actions),
                }
            }
        }
    }

    fn answer_state(
        &mut self,
        job: JobId,
        after_ticket: u64,
        is_late: bool,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Option<Reply> {
        if let Some(state) = self.authoritative_state(job) {
            return Some(Reply::State(state));
        }
        let record = self
            .job_table
            .jobs
            .get(&job)
            .filter(|record| record.submission.is_some());
        let is_fresh = match record {
            Some(_) => self.states.is_fresh_after(after_ticket),
            None => self.jobs.is_fresh_after(after_ticket),
        };
        if is_fresh {
            return Some(record.map_or(Reply::NoSuchJob, |record| Reply::State(record.state())));
        }
        if is_late {
            // A host whose data may be outdated must not answer that a job does not exist.
            let retry_later = Reply::NotDone {
                retry_after_ms: RETRY_AFTER_MS,
            };
            return Some(record.map_or(retry_later, |record| Reply::State(record.state())));
        }
        let tickets = &mut self.tickets;
        match record {
            Some(_) => self
                .states
                .read_now_after(after_ticket, now.steady_ms, tickets, actions),
            None => self
                .jobs
                .read_now_after(after_ticket, now.steady_ms, tickets, actions),
        }
        None
    }

    /// Returns whether the data from which waiting jobs are counted is as recent as promised to a
    /// caller whose query arrived at `received_ms`.
    pub(super) fn is_count_recent(&self, received_ms: u64) -> bool {
        let since_ms = received_ms.saturating_sub(MAX_COUNT_AGE_MS);
        let are_states_recent = self.owner.is_some() || self.states.is_fresh_since(since_ms);
        self.jobs.is_fresh_since(since_ms) && are_states_recent
    }

    /// Counts waiting jobs once the data is no older than promised and the rules that define the
    /// queue are current.
    fn answer_waiting(
        &mut self,
        queue: &str,
        received_ms: u64,
        is_late: bool,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Option<Reply> {
        let is_fresh = self.is_count_recent(received_ms);
        let are_rules_current = self.are_rules_current(now);
        let config = self.config.as_ref().filter(|_| are_rules_current);
        if config.is_some_and(|config| config.queue(queue).is_none()) {
            return Some(Reply::NoSuchQueue);
        }
        if is_fresh && are_rules_current {
            return Some(Reply::Waiting(self.job_table.count_waiting(queue)));
        }
        if is_late {
            return Some(Reply::NotDone {
                retry_after_ms: RETRY_AFTER_MS,
            });
        }
        let tickets = &mut self.tickets;
        self.jobs
            .read_now(received_ms, now.steady_ms, tickets, actions);
        if self.owner.is_none() {
            self.states
                .read_now(received_ms, now.steady_ms, tickets, actions);
        }
        None
    }
}
