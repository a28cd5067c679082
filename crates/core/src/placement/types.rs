//! What goes into a cell of workers and what comes out.

use crate::macros::plain;
use goldcrestway_inventory::Resources;

plain! {
    /// Names one attempt of a job.
    #[derive(Hash)]
    pub struct AttemptId {
        /// Identity of the job.
        pub id: Box<str>,
        /// Number of the attempt.
        pub attempt: u32,
    }

    /// What a worker must know to run a task.
    pub struct TaskOrder {
        /// The attempt.
        pub attempt: AttemptId,
        /// Kind of job, from the inventory.
        pub job: Box<str>,
        /// What it may use.
        pub need: Resources,
        /// Where it resumes; 0 for the beginning.
        pub checkpoint: u64,
    }

    /// One call to a worker.
    pub struct WorkerCall {
        /// Fencing token; the worker refuses any lower than it has seen.
        pub token: u64,
        /// Number of the latest listing that the owner has received, 0 for none.
        /// The worker's lease runs `lease_ms` from when it gave that listing. A
        /// call that names a listing whose lease has lapsed changes nothing.
        pub answers: u64,
        /// How long the worker runs its tasks on after the listing named above.
        pub lease_ms: u64,
        /// Tasks to start unless it has them already.
        pub start: Box<[TaskOrder]>,
        /// Tasks to checkpoint and stop.
        pub stop: Box<[AttemptId]>,
        /// Ended tasks to forget.
        pub forget: Box<[AttemptId]>,
        /// Share of their processors that batch tasks may use, in thousandths.
        pub batch_permille: u32,
    }

    /// One task as a worker lists it.
    pub struct TaskReport {
        /// What it was told to run.
        pub order: TaskOrder,
        /// Where it stands.
        pub state: ReportedState,
    }

    /// What a worker answers.
    pub struct WorkerReport {
        /// Number of this listing; it only grows.
        pub number: u64,
        /// All tasks it has, those that ended and were not forgotten included.
        pub tasks: Box<[TaskReport]>,
        /// Worst latency of a service's instance on it, as a multiple of its
        /// usual one in thousandths; late, and 0 if not measured.
        pub service_slowdown_permille: u32,
    }
}

/// Where a task stands by its worker's account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// It runs.
    Running,
    /// It finished.
    Finished,
    /// It failed by itself.
    Failed,
    /// It was stopped and can resume at the checkpoint.
    Stopped {
        /// Progress that is kept.
        checkpoint: u64,
    },
    /// It was never started, because the worker has no room for it.
    Refused,
}

/// Where a task stands by the owner's account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// Room is held until the given time.
    Reserved {
        /// End of the reservation.
        until_ms: u64,
    },
    /// The worker is told to start it.
    Starting,
    /// The worker lists it as running.
    Running,
    /// The worker is told to stop it.
    Stopping,
    /// It has ended; its home is told until it acknowledges.
    Ended {
        /// How.
        end: TaskEnd,
        /// When its home was told last.
        told_ms: u64,
    },
    /// Its home has acknowledged the end; the worker is told to forget it.
    Forgetting,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEnd {
    /// The job finished.
    Finished,
    /// The job failed by itself.
    Failed,
    /// It was stopped; the job resumes at the checkpoint.
    Evicted {
        /// Progress that is kept.
        checkpoint: u64,
    },
    /// The worker refused it for want of room; it did not run.
    NotStarted,
    /// Its worker is silent and its lease has lapsed, or an order for it was repeated in vain; it
    /// no longer runs, but may have finished.
    Lost,
    /// Its worker has restarted and knows nothing of it; it may have finished.
    Forgotten,
}

/// What a request for room is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// Room is held.
    Held,
    /// There is none; for urgent work some is being made.
    Unavailable,
}

/// How an order to start is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartOptions {
    /// It overtakes other work.
    pub is_urgent: bool,
    /// It may have been given before, to a former owner of the cell.
    pub is_repeat: bool,
}

/// What an order to start is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker is being told.
    Starting,
    /// It runs.
    Running,
    /// It has ended in this way.
    Ended(TaskEnd),
    /// Not all workers of the cell are known yet; ask again.
    Wait,
}

/// What happened to a task, for its home.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskUpdate {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended, or `None` if it started to run.
    pub end: Option<TaskEnd>,
}

/// Times and bounds of a cell of workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerTiming {
    /// How long a worker runs on without a call.
    pub lease_ms: u64,
    /// Time between two calls.
    pub poll_ms: u64,
    /// How long room stays reserved.
    pub reserve_ms: u64,
    /// Difference in clock rates, in thousandths.
    pub skew_permille: u64,
}

plain! {
    /// A host as the inventory and the platform's list describe it.
    pub struct HostEntry {
        /// Its name.
        pub name: Box<str>,
        /// Address of its worker; empty while the platform does not list it.
        pub address: Box<str>,
        /// What it holds.
        pub total: Resources,
        /// What services' instances reserve on it.
        pub reserved: Resources,
        /// Jobs that rules keep off it.
        pub barred: Vec<Box<str>>,
        /// Gets no new work, and its tasks move.
        pub is_leaving: bool,
    }
}
