//! Events that an [`Entry`](crate::Entry) handles, and actions that it returns.

use crate::ids::JobId;
use crate::ids::StepId;
use crate::ids::TaskId;
use crate::incarnation::Incarnation;
use crate::job_table::JobState;
use crate::job_times::JobTimes;
use crate::record::Submission;
use goldcrestway_core::Note;
use std::rc::Rc;

/// The time of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Milliseconds of a monotonic clock.
    pub steady_ms: u64,
    /// Milliseconds since 1970. This clock may jump.
    pub wall_ms: u64,
}

/// A keyed stream of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stream {
    /// Submitted jobs and cancellations, by partition. Every entry host appends, to any partition.
    Jobs(u8),
    /// Progress of jobs, task by task. Only the owner appends, and only a host that is
    /// about to become the owner reads it.
    Progress,
    /// Published states of jobs, and the owner's heartbeats. Only the owner appends; every
    /// entry host follows it.
    States,
    /// The operator's rules.
    Rules,
    /// Entries that workers write about themselves.
    Workers,
}

/// Fences an append: the store rejects appends of earlier epochs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fence {
    /// The owner's token.
    pub epoch: u64,
    /// Number of the append within the epoch. A retry has the same one.
    pub sequence: u64,
}

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// Its offset.
    pub offset: u64,
    /// Its key.
    pub key: Box<str>,
    /// Its value; empty if the key is deleted.
    pub value: Box<[u8]>,
}

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The records are stored.
    Stored {
        /// Offset of the first record.
        offset: u64,
    },
    /// The store has accepted an append of a later epoch.
    Fenced,
    /// Nothing was stored, and a retry makes sense.
    Refused,
    /// The records may have been stored, or may be stored later.
    Unknown,
}

/// Outcome of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records from the requested offset on.
    Records {
        /// The records.
        records: Vec<StoredRecord>,
        /// Offset after the last record of the stream.
        end: u64,
    },
    /// The requested offset is no longer retained.
    Trimmed,
    /// The read failed.
    Failed(ReadFault),
}

/// Why a read failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFault {
    /// There was no connection, so the store has not received the request.
    NotSent,
    /// The request was sent, and no answer came in time.
    NoAnswer,
    /// The store rejected the request, or its answer can't be decoded.
    Refused,
}

/// A page of a load: the newest record of each key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The records.
    pub records: Vec<StoredRecord>,
    /// Offset after the last record of the stream.
    pub end: u64,
    /// More keys follow the last one.
    pub has_more: bool,
}

/// Outcome of loading a page.
pub type LoadOutcome = Result<Page, ReadFault>;

/// Timeouts of a read. A host on a slow link may need seconds to receive an answer; with a single
/// timeout for the whole answer it would request the same bytes again and again and never finish
/// reading. An answer therefore times out if it does not begin, or if it stalls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTimeouts {
    /// Time until the first bytes.
    pub first_byte_ms: u64,
    /// Longest pause between later bytes.
    pub stall_ms: u64,
}

/// Why a run exited. Logs print the variants by their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// It succeeded.
    Done,
    /// It failed, by its own fault or its worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang exited.
    Broken,
    /// The other members of its gang did not start.
    Alone,
}

/// A run that is present at a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunReport {
    /// Its task.
    pub task: TaskId,
    /// Its number.
    pub run: u32,
    /// Its latest checkpoint; empty for none.
    pub checkpoint: Box<str>,
    /// Progress in percent; a long-running task is ready at 100.
    pub percent: u32,
    /// For a latency-critical task, its tail latency in milliseconds; for any other task, the
    /// processor time in use, in thousandths of a core. Over the last half second.
    pub gauge: u64,
}

/// A run that has exited at a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunExit {
    /// Number of the exit at that worker.
    pub number: u64,
    /// Its task.
    pub task: TaskId,
    /// Its number.
    pub run: u32,
    /// Why it exited.
    pub exit_reason: ExitReason,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Box<str>,
}

/// What a worker reports in answer to a poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// The incarnation that answers.
    pub incarnation: Incarnation,
    /// Present runs.
    pub runs: Vec<RunReport>,
    /// Exits that the owner has not acknowledged yet, by their numbers.
    pub exits: Vec<RunExit>,
    /// Further exits may follow the listed ones: a worker lists a limited number at a time, and the
    /// next ones once these are acknowledged. Until then, a run that is neither present nor listed
    /// as exited may have exited.
    pub has_more_exits: bool,
}

/// Why a worker refused an order. A refused order has no effect. Logs print the variants by their
/// names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher token.
    Fence,
    /// A run with this or a higher number was stopped or has exited there.
    Old,
    /// The lease in the order has expired.
    Late,
    /// It lacks the resources.
    Room,
    /// Another incarnation runs at this address; the addressed one is dead.
    Gone,
    /// It is unhealthy or overloaded.
    Unwell,
    /// The permit is missing or has expired.
    Permit,
    /// It does not understand the order.
    Faulty,
}

/// Outcome of an order to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It was carried out.
    Done {
        /// The worker's clock.
        clock_ms: u64,
        /// Its report, in answer to a poll.
        report: Option<WorkerReport>,
    },
    /// The worker refused it, so it has no effect.
    Refused(Refusal),
    /// It was not sent, so it has no effect.
    NotSent,
    /// It may have been carried out, or may be carried out later.
    Unknown,
}

/// Outcome of a request for permits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The workers, of those named in the request, that may run the step.
    Permitted {
        /// Worker and permit.
        rows: Vec<(Box<str>, Box<str>)>,
        /// Time for which the permits are valid.
        validity_ms: u64,
    },
    /// No answer, or a refusal.
    Failed,
}

/// An order to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(
    missing_docs,
    reason = "The comment of each variant covers its fields."
)]
pub enum WorkerCall {
    /// Start a run, and extend the leases of all runs there to the given time of the worker's
    /// clock.
    Start {
        task: TaskId,
        run: u32,
        specification: Rc<str>,
        lease_until_ms: u64,
        checkpoint: Box<str>,
        /// Empty if the queue needs none.
        permit: Box<str>,
    },
    /// Stop a run, and reject later orders to start it.
    Stop { task: TaskId, run: u32 },
    /// Set the CPU share of a run, from 0 to 100 percent.
    SetShare {
        task: TaskId,
        run: u32,
        percent: u32,
    },
    /// Report what runs and what has exited, forget exits up to `acknowledged_exit`, extend the
    /// leases of all runs to the given time, and wait for an exit if there is none.
    Poll {
        acknowledged_exit: u64,
        lease_until_ms: Option<u64>,
        wait_ms: u64,
    },
}

/// Time for which an order to start may wait for a connection to its worker. It was decided by what
/// was known of the worker, which may begin to drain meanwhile.
const MAX_START_QUEUE_MS: u64 = 500;

impl WorkerCall {
    /// Returns how long the call may wait for a connection; `None` for no limit but its timeout. A
    /// call that waits for longer must not be sent.
    pub fn max_queue_ms(&self) -> Option<u64> {
        matches!(self, Self::Start { .. }).then_some(MAX_START_QUEUE_MS)
    }
}

/// A connection to another entry host. The [`Entry`](crate::Entry) numbers outgoing connections,
/// the listener numbers incoming ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

impl ConnectionId {
    /// Bit that marks incoming connections.
    const INCOMING: u64 = 1 << 63;

    /// Creates the id of an incoming connection.
    pub fn incoming(number: u64) -> Self {
        Self(number | Self::INCOMING)
    }

    /// Returns the number without the bit that marks incoming connections.
    pub fn number(self) -> u64 {
        self.0 & !Self::INCOMING
    }

    /// Returns whether the other host opened it.
    pub fn is_incoming(self) -> bool {
        self.0 & Self::INCOMING != 0
    }
}

/// An event that an [`Entry`](crate::Entry) handles.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(
    missing_docs,
    reason = "The comment of each variant covers its fields."
)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A caller submits a job to a queue.
    Submit {
        request: u64,
        job: JobId,
        submission: Submission,
        answer_timeout_ms: u64,
    },
    /// A caller asks for the state of a job.
    Query { request: u64, job: JobId },
    /// A caller cancels a job.
    Cancel {
        request: u64,
        job: JobId,
        answer_timeout_ms: u64,
    },
    /// A caller asks for the number of waiting jobs of a queue.
    Count { request: u64, queue: Box<str> },
    /// An append has completed.
    Appended { ticket: u64, outcome: AppendOutcome },
    /// A read has completed.
    Read { ticket: u64, outcome: ReadOutcome },
    /// The load of a page has completed.
    Loaded { ticket: u64, outcome: LoadOutcome },
    /// An order to a worker has completed.
    Ordered { ticket: u64, outcome: OrderOutcome },
    /// A request for permits has completed.
    PermitsAnswered { ticket: u64, outcome: PermitOutcome },
    /// A connection to another host is open.
    ConnectionOpened { conn: ConnectionId },
    /// Another host has sent a frame.
    Frame {
        conn: ConnectionId,
        bytes: Box<[u8]>,
    },
    /// A connection to another host has closed, or could not be opened.
    ConnectionLost { conn: ConnectionId },
    /// A planned shutdown begins.
    Stop,
}

/// Answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(
    missing_docs,
    reason = "The comment of each variant covers its fields."
)]
pub enum Reply {
    /// The job or its cancellation is stored.
    Stored,
    /// State of the job.
    State(JobState),
    /// Number of waiting jobs.
    Waiting(u64),
    /// No such job exists.
    NoSuchJob,
    /// The rules in force have no such queue.
    NoSuchQueue,
    /// The job has more tasks or text than fit into a record; it was not stored and never will
    /// be. `max_tasks` is the limit.
    TooLarge { max_tasks: u64 },
    /// The request has no effect and will have none; a retry makes sense after the given time.
    NotDone { retry_after_ms: u64 },
    /// The request may have taken effect; a retry is safe.
    Unknown,
}

/// An action for the program that embeds an [`Entry`](crate::Entry) to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(
    missing_docs,
    reason = "The comment of each variant covers its fields."
)]
pub enum Action {
    /// Append records to a stream atomically.
    Append {
        ticket: u64,
        stream: Stream,
        fence: Option<Fence>,
        records: Vec<(Box<str>, Box<[u8]>)>,
        timeout_ms: u64,
    },
    /// Read a stream from an offset, and wait for a record if there is none.
    Read {
        ticket: u64,
        stream: Stream,
        from: u64,
        wait_ms: u64,
        timeouts: ReadTimeouts,
    },
    /// Load the newest records of the keys that follow `after`.
    Load {
        ticket: u64,
        stream: Stream,
        after: Box<str>,
        timeouts: ReadTimeouts,
    },
    /// Send an order to an incarnation of a worker.
    Order {
        ticket: u64,
        address: Box<str>,
        worker: Box<str>,
        token: u64,
        call: WorkerCall,
        timeout_ms: u64,
    },
    /// Request permits: which of these workers may run a step.
    RequestPermits {
        ticket: u64,
        step: StepId,
        workers: Vec<Box<str>>,
        timeout_ms: u64,
    },
    /// Open a connection to another entry host.
    OpenConnection {
        conn: ConnectionId,
        address: Box<str>,
    },
    /// Send a frame to another entry host.
    SendFrame {
        conn: ConnectionId,
        bytes: Box<[u8]>,
    },
    /// Close a connection to another entry host.
    CloseConnection { conn: ConnectionId },
    /// Close the connections to a removed worker.
    Disconnect { address: Box<str> },
    /// Answer a caller.
    Answer { request: u64, reply: Reply },
    /// Apply the new rules, which are in force.
    Configured,
    /// Log an event.
    Note(Note),
    /// Log and measure where the time of a job went whose end is published.
    JobTimed(Box<JobTimes>),
}
