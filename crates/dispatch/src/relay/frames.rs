//! Frames between an owner and its relays, encoded by `prost`.

use prost::Message;

/// Orders of an owner. Workers and texts of jobs are sent once per connection, and referred to
/// afterwards.
#[derive(Clone, PartialEq, Message)]
pub(super) struct OrdersFrame {
    /// Token of the owner, which applies to all orders of the frame.
    #[prost(uint64, tag = "1")]
    pub(super) token: u64,
    /// Workers that orders refer to for the first time.
    #[prost(message, repeated, tag = "2")]
    pub(super) workers: Vec<WorkerRow>,
    /// Texts of jobs that orders refer to for the first time.
    #[prost(message, repeated, tag = "3")]
    pub(super) texts: Vec<JobTextRow>,
    #[prost(message, repeated, tag = "4")]
    pub(super) orders: Vec<OrderRow>,
    /// The relay must drop all texts from earlier frames.
    #[prost(bool, tag = "5")]
    pub(super) clears_texts: bool,
    /// Answers to queries of the host.
    #[prost(message, repeated, tag = "6")]
    pub(super) answers: Vec<AnswerRow>,
    /// Offset after the owner's newest stored record in the stream of states; 0 if the host must
    /// read the owner's heartbeats from the store.
    #[prost(uint64, tag = "7")]
    pub(super) stored_end: u64,
    /// The owner is shutting down.
    #[prost(bool, tag = "8")]
    pub(super) is_leaving: bool,
    /// Time of the relay's steady clock at which the frame was sent, as the owner estimates it from
    /// the relay's frames. Earlier releases leave it out.
    #[prost(uint64, optional, tag = "9")]
    pub(super) sent_clock_ms: Option<u64>,
}

impl OrdersFrame {
    /// Returns whether the frame holds neither orders nor answers, so that it is only a heartbeat.
    pub(super) fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.answers.is_empty()
    }
}

/// A query of a host to the owner: for the state of the job, or for the number of waiting jobs of
/// the queue.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct QueryRow {
    /// Number by which the host knows the query.
    #[prost(uint64, tag = "1")]
    pub(super) ticket: u64,
    #[prost(fixed64, optional, tag = "2")]
    pub(super) job: Option<u64>,
    #[prost(string, tag = "3")]
    pub(super) queue: String,
}

/// Kind of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(super) enum AnswerKind {
    /// The owner does not know. A kind that a later release has added is read as this one.
    Unsure = 0,
    NoSuchJob = 1,
    Queued = 2,
    Running = 3,
    Completed = 4,
    Failed = 5,
    Cancelled = 6,
    NoSuchQueue = 7,
    Waiting = 8,
}

/// The answer to a query.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct AnswerRow {
    #[prost(uint64, tag = "1")]
    pub(super) ticket: u64,
    #[prost(enumeration = "AnswerKind", tag = "2")]
    pub(super) kind: i32,
    /// Number of waiting jobs.
    #[prost(uint64, tag = "3")]
    pub(super) waiting: u64,
}

/// The number that refers to one incarnation of a worker.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct WorkerRow {
    #[prost(uint32, tag = "1")]
    pub(super) number: u32,
    #[prost(string, tag = "2")]
    pub(super) address: String,
    #[prost(string, tag = "3")]
    pub(super) id: String,
    #[prost(string, tag = "4")]
    pub(super) failure_domain: String,
}

/// The text that workers get with each task of a job.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct JobTextRow {
    #[prost(fixed64, tag = "1")]
    pub(super) job: u64,
    #[prost(string, tag = "2")]
    pub(super) text: String,
}

/// Kind of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(super) enum OrderKind {
    Poll = 0,
    Start = 1,
    Stop = 2,
    SetShare = 3,
}

/// An order to a worker.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct OrderRow {
    /// Number by which the owner knows the order.
    #[prost(uint64, tag = "1")]
    pub(super) ticket: u64,
    /// Number of the worker, as in [`WorkerRow`].
    #[prost(uint32, tag = "2")]
    pub(super) worker: u32,
    #[prost(enumeration = "OrderKind", tag = "3")]
    pub(super) kind: i32,
    /// Timeout of the worker's answer.
    #[prost(uint32, tag = "4")]
    pub(super) timeout_ms: u32,
    #[prost(message, optional, tag = "5")]
    pub(super) task: Option<TaskRow>,
    #[prost(uint32, tag = "6")]
    pub(super) run: u32,
    /// Expiry of leases by the worker's clock; 0 for no lease.
    #[prost(uint64, tag = "7")]
    pub(super) lease_until_ms: u64,
    /// Number of the newest exit that the worker may forget.
    #[prost(uint64, tag = "8")]
    pub(super) acknowledged_exit: u64,
    #[prost(uint32, tag = "9")]
    pub(super) wait_ms: u32,
    #[prost(uint32, tag = "10")]
    pub(super) percent: u32,
    #[prost(string, tag = "11")]
    pub(super) checkpoint: String,
    #[prost(string, tag = "12")]
    pub(super) permit: String,
}

/// The identity of a task.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(super) struct TaskRow {
    #[prost(fixed64, tag = "1")]
    pub(super) job: u64,
    #[prost(uint32, tag = "2")]
    pub(super) occurrence: u32,
    #[prost(uint32, tag = "3")]
    pub(super) step: u32,
    #[prost(uint32, tag = "4")]
    pub(super) index: u32,
}

/// Outcomes of orders, and queries of the host.
#[derive(Clone, PartialEq, Message)]
pub(super) struct OutcomesFrame {
    #[prost(message, repeated, tag = "1")]
    pub(super) outcomes: Vec<OrderOutcomeRow>,
    /// The relay is about to stop and accepts no further orders.
    #[prost(bool, tag = "2")]
    pub(super) is_leaving: bool,
    /// Queries of the host to the owner.
    #[prost(message, repeated, tag = "3")]
    pub(super) queries: Vec<QueryRow>,
    /// Time of the relay's steady clock, with suspensions, at which the frame was sent. Earlier releases
    /// leave it out.
    #[prost(uint64, optional, tag = "4")]
    pub(super) clock_ms: Option<u64>,
}

/// Kind of an order's outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(super) enum OutcomeKind {
    /// It may be carried out now or later. A kind that a later release has added is read as this
    /// one.
    Unknown = 0,
    Done = 1,
    NotSent = 2,
    Fence = 3,
    Old = 4,
    Late = 5,
    Room = 6,
    Gone = 7,
    Unwell = 8,
    Permit = 9,
    Faulty = 10,
}

/// Outcome of an order.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct OrderOutcomeRow {
    #[prost(uint64, tag = "1")]
    pub(super) ticket: u64,
    #[prost(enumeration = "OutcomeKind", tag = "2")]
    pub(super) kind: i32,
    /// The worker's clock.
    #[prost(uint64, tag = "3")]
    pub(super) clock_ms: u64,
    /// The worker's report, in answer to a poll.
    #[prost(message, optional, tag = "4")]
    pub(super) report: Option<WorkerReportRow>,
}

/// What a worker reports in answer to a poll.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct WorkerReportRow {
    #[prost(message, repeated, tag = "1")]
    pub(super) runs: Vec<RunReportRow>,
    #[prost(message, repeated, tag = "2")]
    pub(super) exits: Vec<RunExitRow>,
    /// Start time of the worker, by its clock.
    #[prost(uint64, optional, tag = "3")]
    pub(super) started_wall_ms: Option<u64>,
    /// Further exits may follow. Earlier releases leave it out.
    #[prost(bool, optional, tag = "4")]
    pub(super) has_more_exits: Option<bool>,
}

/// A run that is present.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct RunReportRow {
    #[prost(message, optional, tag = "1")]
    pub(super) task: Option<TaskRow>,
    #[prost(uint32, tag = "2")]
    pub(super) run: u32,
    #[prost(uint32, tag = "3")]
    pub(super) percent: u32,
    #[prost(uint64, tag = "4")]
    pub(super) gauge: u64,
    #[prost(string, tag = "5")]
    pub(super) checkpoint: String,
}

/// Why a run exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(super) enum ExitReasonKind {
    Lapsed = 0,
    Done = 1,
    Failed = 2,
    Stopped = 3,
    Broken = 4,
    Alone = 5,
}

/// A run that has exited.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct RunExitRow {
    #[prost(uint64, tag = "1")]
    pub(super) number: u64,
    #[prost(message, optional, tag = "2")]
    pub(super) task: Option<TaskRow>,
    #[prost(uint32, tag = "3")]
    pub(super) run: u32,
    #[prost(enumeration = "ExitReasonKind", tag = "4")]
    pub(super) exit_reason: i32,
    #[prost(string, tag = "5")]
    pub(super) checkpoint: String,
}
