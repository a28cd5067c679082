//! What an owner and a relay send one another, encoded by `prost`.

use prost::Message;

/// Orders of an owner. Names and texts are sent once, and referred to from then on.
#[derive(Clone, PartialEq, Message)]
pub(super) struct OrdersFrame {
    /// Token of all these orders.
    #[prost(uint64, tag = "1")]
    pub(super) token: u64,
    /// Workers that are named for the first time.
    #[prost(message, repeated, tag = "2")]
    pub(super) workers: Vec<WorkerRow>,
    /// Texts of jobs that are sent for the first time.
    #[prost(message, repeated, tag = "3")]
    pub(super) texts: Vec<JobTextRow>,
    #[prost(message, repeated, tag = "4")]
    pub(super) orders: Vec<OrderRow>,
    /// All texts from before this frame are to be forgotten.
    #[prost(bool, tag = "5")]
    pub(super) clears_texts: bool,
    /// Answers to what the host has asked.
    #[prost(message, repeated, tag = "6")]
    pub(super) answers: Vec<AnswerRow>,
}

impl OrdersFrame {
    /// Tells whether it says anything beside that there is an owner.
    pub(super) fn is_empty(&self) -> bool {
        self.orders.is_empty() && self.answers.is_empty()
    }
}

/// What a host asks the owner: about the job, or how many jobs wait in the queue.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct QueryRow {
    /// Number by which the host knows it.
    #[prost(uint64, tag = "1")]
    pub(super) ticket: u64,
    #[prost(fixed64, optional, tag = "2")]
    pub(super) job: Option<u64>,
    #[prost(string, tag = "3")]
    pub(super) queue: String,
}

/// What the owner says of a job or a queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(super) enum AnswerKind {
    /// The owner can't say; also what a later release says and this one does not know.
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

/// The answer to a question.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct AnswerRow {
    #[prost(uint64, tag = "1")]
    pub(super) ticket: u64,
    #[prost(enumeration = "AnswerKind", tag = "2")]
    pub(super) kind: i32,
    /// How many jobs wait.
    #[prost(uint64, tag = "3")]
    pub(super) waiting: u64,
}

/// The number that stands for one incarnation of a worker.
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

/// What an order is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(super) enum OrderKind {
    Poll = 0,
    Start = 1,
    Stop = 2,
    SetShare = 3,
}

/// One order.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct OrderRow {
    /// Number by which the owner knows it.
    #[prost(uint64, tag = "1")]
    pub(super) ticket: u64,
    /// Number of the worker.
    #[prost(uint32, tag = "2")]
    pub(super) worker: u32,
    #[prost(enumeration = "OrderKind", tag = "3")]
    pub(super) kind: i32,
    /// Time for which the worker's answer is awaited.
    #[prost(uint32, tag = "4")]
    pub(super) timeout_ms: u32,
    #[prost(message, optional, tag = "5")]
    pub(super) task: Option<TaskRow>,
    #[prost(uint32, tag = "6")]
    pub(super) run: u32,
    /// Time of the worker's clock until which leases go on; 0 for no lease.
    #[prost(uint64, tag = "7")]
    pub(super) lease_until_ms: u64,
    /// Newest end that the worker may forget.
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

/// The name of a task.
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

/// What came of orders.
#[derive(Clone, PartialEq, Message)]
pub(super) struct OutcomesFrame {
    #[prost(message, repeated, tag = "1")]
    pub(super) outcomes: Vec<OrderOutcomeRow>,
    /// The relay is about to stop and wants no further orders.
    #[prost(bool, tag = "2")]
    pub(super) is_leaving: bool,
    /// What the host wants to know.
    #[prost(message, repeated, tag = "3")]
    pub(super) queries: Vec<QueryRow>,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(super) enum OutcomeKind {
    /// It may be carried out now or later; also what a later release says and this one does
    /// not know.
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

/// What came of one order.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct OrderOutcomeRow {
    #[prost(uint64, tag = "1")]
    pub(super) ticket: u64,
    #[prost(enumeration = "OutcomeKind", tag = "2")]
    pub(super) kind: i32,
    /// Clock of the worker.
    #[prost(uint64, tag = "3")]
    pub(super) clock_ms: u64,
    /// What the worker lists; in answer to a look.
    #[prost(message, optional, tag = "4")]
    pub(super) report: Option<WorkerReportRow>,
}

/// What a worker lists.
#[derive(Clone, PartialEq, Eq, Message)]
pub(super) struct WorkerReportRow {
    #[prost(message, repeated, tag = "1")]
    pub(super) runs: Vec<RunReportRow>,
    #[prost(message, repeated, tag = "2")]
    pub(super) exits: Vec<RunExitRow>,
    /// When the worker started, by its clock.
    #[prost(uint64, optional, tag = "3")]
    pub(super) started_wall_ms: Option<u64>,
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

/// How a run ended.
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

/// A run that has ended.
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
