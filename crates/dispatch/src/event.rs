//! What goes into the decisions and what comes out.

use crate::ids::JobId;
use crate::ids::StepId;
use crate::ids::TaskId;
use crate::incarnation::Incarnation;
use crate::job_table::JobState;
use crate::record::Submission;
use goldcrestway_core::Note;
use std::rc::Rc;

/// The time at which something happens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Now {
    /// Milliseconds of a clock that never steps.
    pub steady_ms: u64,
    /// Milliseconds since 1970, which may step.
    pub wall_ms: u64,
}

/// A keyed stream of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Stream {
    /// Jobs as submitted, and cancellations. Every entry host appends, to any of the parts.
    Jobs(u8),
    /// Progress of jobs, task by task. Only the owner appends, and only a host that is
    /// about to become owner reads it.
    Progress,
    /// States of jobs as callers are told them, and the owner's signs of life. Only the
    /// owner appends; every entry host follows.
    States,
    /// The operator's rules.
    Rules,
    /// The workers' reports about themselves.
    Workers,
}

/// What fences an append: a later epoch shuts earlier ones out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fence {
    /// The owner's token.
    pub epoch: u64,
    /// Number of the append within the epoch. A repeat has the same one.
    pub sequence: u64,
}

/// A record of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// Its offset.
    pub offset: u64,
    /// Its key.
    pub key: Box<str>,
    /// Its value; empty if the key is dropped.
    pub value: Box<[u8]>,
}

/// How an append ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// It stands at this offset.
    Stored {
        /// Offset of the first record.
        offset: u64,
    },
    /// A later epoch has shut this one out.
    Fenced,
    /// Nothing was done, and trying again makes sense.
    Refused,
    /// It may stand there now or later.
    Unknown,
}

/// How a read ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReadOutcome {
    /// Records from the asked offset on.
    Records {
        /// The records.
        records: Vec<StoredRecord>,
        /// Offset after the last one that the stream holds.
        end: u64,
    },
    /// The asked offset is no longer kept.
    Trimmed,
    /// It brought nothing.
    Failed(ReadFault),
}

/// Why a read brought nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadFault {
    /// No connection was to be had, so the store has not seen it.
    NotSent,
    /// It was sent, and no answer came in time.
    NoAnswer,
    /// The store refused it, or answered what can't be read.
    Refused,
}

/// A page of the newest record of each key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The records.
    pub records: Vec<StoredRecord>,
    /// Offset after the last record of the stream.
    pub end: u64,
    /// More keys follow the last one.
    pub has_more: bool,
}

/// How loading a page ended.
pub type LoadOutcome = Result<Page, ReadFault>;

/// How long the answer to a read is awaited. What a host on a thin link asks for may take
/// it seconds to receive; given up after a fixed time, the same bytes would be asked for
/// again and again, and such a host would never have read what it must know. So an answer
/// is given up when it does not begin, or when nothing more of it comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadTimeouts {
    /// Time in which the first bytes must come.
    pub first_byte_ms: u64,
    /// Longest pause between bytes after that.
    pub stall_ms: u64,
}

/// How a run ended at a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitReason {
    /// Well.
    Done,
    /// Badly, through its own or its worker's fault.
    Failed,
    /// By an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// A run that a worker lists as present.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunReport {
    /// Its task.
    pub task: TaskId,
    /// Its number.
    pub run: u32,
    /// Its latest checkpoint; empty for none.
    pub checkpoint: Box<str>,
    /// How far it is; a lasting task is at work at 100.
    pub percent: u32,
    /// For a task that serves, the tail of its latency in milliseconds; for any other,
    /// the processor time in use, in thousandths of a core. Over the last half second.
    pub gauge: u64,
}

/// A run that a worker lists as ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunExit {
    /// Number of the end at that worker.
    pub number: u64,
    /// Its task.
    pub task: TaskId,
    /// Its number.
    pub run: u32,
    /// How it ended.
    pub exit_reason: ExitReason,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: Box<str>,
}

/// What a worker lists.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WorkerReport {
    /// Which start of the worker answers.
    pub incarnation: Incarnation,
    /// Present runs.
    pub runs: Vec<RunReport>,
    /// Ends that it was not yet told to forget.
    pub exits: Vec<RunExit>,
}

/// Why a worker refused an order and did nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher token.
    Fence,
    /// A run with this or a higher number was stopped or ended there.
    Old,
    /// The lease in the order was over.
    Late,
    /// It has no room.
    Room,
    /// Another incarnation lives at this address; the one that was meant is dead.
    Gone,
    /// It is unwell or overloaded.
    Unwell,
    /// The permit is missing, or holds no more.
    Permit,
    /// It does not understand the order.
    Faulty,
}

/// How an order to a worker ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Carried out. A look gives what the worker lists.
    Done {
        /// The worker's clock.
        clock_ms: u64,
        /// What it lists, in answer to a look.
        report: Option<WorkerReport>,
    },
    /// Refused; nothing was done.
    Refused(Refusal),
    /// It was not sent, so nothing was done.
    NotSent,
    /// It may be carried out now or later.
    Unknown,
}

/// How a call for permits ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PermitOutcome {
    /// Of the workers named, these may run the step.
    Permitted {
        /// Worker and permit.
        rows: Vec<(Box<str>, Box<str>)>,
        /// Time for which the permits hold.
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
    /// Start a run, and let all that runs there live until the given time of the
    /// worker's clock.
    Start {
        task: TaskId,
        run: u32,
        specification: Rc<str>,
        lease_until_ms: u64,
        checkpoint: Box<str>,
        /// Empty if the queue needs none.
        permit: Box<str>,
    },
    /// Stop a run, and never start it later.
    Stop { task: TaskId, run: u32 },
    /// Let the run work at this share, from 0 to 100.
    SetShare {
        task: TaskId,
        run: u32,
        percent: u32,
    },
    /// Tell what runs and what has ended, forget the ends up to `acknowledged_exit`, let all that
    /// runs live until the given time, and wait for an end if none is there.
    Poll {
        acknowledged_exit: u64,
        lease_until_ms: Option<u64>,
        wait_ms: u64,
    },
}

/// A connection to another entry host. Those that this host opens are numbered by its
/// decisions, those that come in by whoever listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

impl ConnectionId {
    /// Numbers the connections that come in.
    const INCOMING: u64 = 1 << 63;

    /// Makes the id of a connection that has come in.
    pub fn incoming(number: u64) -> Self {
        Self(number | Self::INCOMING)
    }

    /// Gives the number without what tells the two kinds apart.
    pub fn number(self) -> u64 {
        self.0 & !Self::INCOMING
    }

    /// Tells whether the other host has opened it.
    pub fn is_incoming(self) -> bool {
        self.0 & Self::INCOMING != 0
    }
}

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(
    missing_docs,
    reason = "The comment of each variant covers its fields."
)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// A caller submits a job to a queue, and awaits the answer for so long.
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
    /// A caller asks how many jobs of a queue wait.
    Count { request: u64, queue: Box<str> },
    /// An append has ended.
    Appended { ticket: u64, outcome: AppendOutcome },
    /// A read has ended.
    Read { ticket: u64, outcome: ReadOutcome },
    /// A page was loaded, or not.
    Loaded { ticket: u64, outcome: LoadOutcome },
    /// An order to a worker has ended.
    Ordered { ticket: u64, outcome: OrderOutcome },
    /// A call for permits has ended.
    PermitsAnswered { ticket: u64, outcome: PermitOutcome },
    /// A connection to another host was made.
    ConnectionOpened { conn: ConnectionId },
    /// Another host has sent something.
    Frame {
        conn: ConnectionId,
        bytes: Box<[u8]>,
    },
    /// A connection to another host has ended, or could not be made.
    ConnectionLost { conn: ConnectionId },
    /// A planned stop begins.
    Stop,
}

/// What a caller is told.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(
    missing_docs,
    reason = "The comment of each variant covers its fields."
)]
pub enum Reply {
    /// The job is accepted and stored, or its cancelling is.
    Stored,
    /// Where the job stands.
    State(JobState),
    /// So many jobs wait.
    Waiting(u64),
    /// No such job exists.
    NoSuchJob,
    /// The rules in force know no such queue.
    NoSuchQueue,
    /// The job has more tasks or text than can be kept on record; it was not stored and never will
    /// be. A job may have so many tasks.
    TooLarge { max_tasks: u64 },
    /// It was not done and will not be; asking again makes sense after the given time.
    NotDone { retry_after_ms: u64 },
    /// It may have been done; asking again does no harm.
    Unknown,
}

/// Something to do.
#[derive(Debug, Clone, PartialEq, Eq)]
#[expect(
    missing_docs,
    reason = "The comment of each variant covers its fields."
)]
pub enum Action {
    /// Append records to a stream, all or none.
    Append {
        ticket: u64,
        stream: Stream,
        fence: Option<Fence>,
        records: Vec<(Box<str>, Box<[u8]>)>,
        timeout_ms: u64,
    },
    /// Read a stream on from an offset, and wait for a record if none is there.
    Read {
        ticket: u64,
        stream: Stream,
        from: u64,
        wait_ms: u64,
        timeouts: ReadTimeouts,
    },
    /// Load the newest record of the keys that follow `after`.
    Load {
        ticket: u64,
        stream: Stream,
        after: Box<str>,
        timeouts: ReadTimeouts,
    },
    /// Give an order to an incarnation of a worker.
    Order {
        ticket: u64,
        address: Box<str>,
        worker: Box<str>,
        token: u64,
        call: WorkerCall,
        timeout_ms: u64,
    },
    /// Ask which of these workers may run a step.
    RequestPermits {
        ticket: u64,
        step: StepId,
        workers: Vec<Box<str>>,
        timeout_ms: u64,
    },
    /// Connect to another entry host.
    OpenConnection {
        conn: ConnectionId,
        address: Box<str>,
    },
    /// Send something to another entry host.
    SendFrame {
        conn: ConnectionId,
        bytes: Box<[u8]>,
    },
    /// Close a connection to another entry host.
    CloseConnection { conn: ConnectionId },
    /// Drop the connections to a worker that is gone.
    Disconnect { address: Box<str> },
    /// Answer a caller.
    Answer { request: u64, reply: Reply },
    /// New rules are in force.
    Configured,
    /// Say what happened.
    Note(Note),
}
