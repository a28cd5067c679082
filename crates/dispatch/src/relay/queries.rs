//! Queries of hosts to the owner, and their conversion to rows of frames and back.

use crate::event::ConnectionId;
use crate::event::Reply;
use crate::ids::JobId;
use crate::job_table::JobState;
use crate::relay::frames::AnswerKind;
use crate::relay::frames::AnswerRow;
use crate::relay::frames::QueryRow;

/// Subject of a query.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum QuerySubject {
    /// The state of a job.
    State(JobId),
    /// The number of waiting jobs of a queue.
    Waiting(Box<str>),
}

/// A query of another host, as the owner receives it.
#[derive(Debug)]
pub(crate) struct RemoteQuery {
    pub(crate) requester: RemoteRequester,
    pub(crate) subject: QuerySubject,
}

/// The host that sent a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RemoteRequester {
    /// The owner's connection to the host.
    pub(crate) conn: ConnectionId,
    /// Number by which the host knows the query.
    pub(crate) ticket: u64,
}

/// The owner's answer to a query.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) ticket: u64,
    /// `None` if the owner does not know.
    pub(crate) reply: Option<Reply>,
}

pub(super) fn query_row(ticket: u64, subject: QuerySubject) -> QueryRow {
    let row = QueryRow {
        ticket,
        ..QueryRow::default()
    };
    match subject {
        QuerySubject::State(job) => QueryRow {
            job: Some(job.0),
            ..row
        },
        QuerySubject::Waiting(queue) => QueryRow {
            queue: queue.into(),
            ..row
        },
    }
}

pub(super) fn remote_query(conn: ConnectionId, row: QueryRow) -> RemoteQuery {
    let subject = match row.job {
        Some(job) => QuerySubject::State(JobId(job)),
        None => QuerySubject::Waiting(row.queue.into()),
    };
    let ticket = row.ticket;
    RemoteQuery {
        requester: RemoteRequester { conn, ticket },
        subject,
    }
}

pub(super) fn answer_row(ticket: u64, reply: &Reply) -> AnswerRow {
    let (kind, waiting) = match reply {
        Reply::NoSuchJob => (AnswerKind::NoSuchJob, 0),
        Reply::NoSuchQueue => (AnswerKind::NoSuchQueue, 0),
        Reply::State(state) => (state_kind(*state), 0),
        Reply::Waiting(count) => (AnswerKind::Waiting, *count),
        Reply::Stored | Reply::NotDone { .. } | Reply::Unknown | Reply::TooLarge { .. } => {
            (AnswerKind::Unsure, 0)
        }
    };
    AnswerRow {
        ticket,
        kind: kind as i32,
        waiting,
    }
}

pub(super) fn answer(row: &AnswerRow) -> Answer {
    let reply = match AnswerKind::try_from(row.kind) {
        Ok(AnswerKind::Unsure) | Err(_) => None,
        Ok(AnswerKind::NoSuchJob) => Some(Reply::NoSuchJob),
        Ok(AnswerKind::NoSuchQueue) => Some(Reply::NoSuchQueue),
        Ok(AnswerKind::Queued) => Some(Reply::State(JobState::Queued)),
        Ok(AnswerKind::Running) => Some(Reply::State(JobState::Running)),
        Ok(AnswerKind::Completed) => Some(Reply::State(JobState::Completed)),
        Ok(AnswerKind::Failed) => Some(Reply::State(JobState::Failed)),
        Ok(AnswerKind::Cancelled) => Some(Reply::State(JobState::Cancelled)),
        Ok(AnswerKind::Waiting) => Some(Reply::Waiting(row.waiting)),
    };
    Answer {
        ticket: row.ticket,
        reply,
    }
}

fn state_kind(state: JobState) -> AnswerKind {
    match state {
        JobState::Queued => AnswerKind::Queued,
        JobState::Running => AnswerKind::Running,
        JobState::Completed => AnswerKind::Completed,
        JobState::Failed => AnswerKind::Failed,
        JobState::Cancelled => AnswerKind::Cancelled,
    }
}
