//! Inputs and outputs of a cell of workers.

use crate::macros::plain;
use goldcrestway_inventory::Resources;

plain! {
    /// Identifies one attempt of a job.
    #[derive(Hash)]
    pub struct AttemptId {
        /// Identity of the job.
        pub id: Box<str>,
        /// Number of the attempt.
        pub attempt: u32,
    }

    /// Order to a worker to run a task.
    pub struct TaskOrder {
        /// The attempt.
        pub attempt: AttemptId,
        /// Name of the job in the inventory.
        pub job: Box<str>,
        /// Resources that it may use.
        pub need: Resources,
        /// Checkpoint at which it resumes; 0 for the beginning.
        pub checkpoint: u64,
    }

    /// One call to a worker.
    pub struct WorkerCall {
        /// Fencing token; the worker rejects any that is lower than the highest it
        /// has seen.
        pub token: u64,
        /// Number of the latest report that the owner has received, 0 for none. The
        /// worker's lease runs for `lease_ms` from when it sent that report. A call
        /// that names a report whose lease has expired has no effect.
        pub answers: u64,
        /// Time for which the worker runs its tasks after the report named above.
        pub lease_ms: u64,
        /// Tasks to start unless the worker has them already.
        pub start: Box<[TaskOrder]>,
        /// Tasks to checkpoint and stop.
        pub stop: Box<[AttemptId]>,
        /// Ended tasks to forget.
        pub forget: Box<[AttemptId]>,
        /// CPU share that batch tasks may use, in thousandths.
        pub batch_permille: u32,
    }

    /// A task in a worker's report.
    pub struct TaskReport {
        /// Order that the worker got for it.
        pub order: TaskOrder,
        /// Its state.
        pub state: ReportedState,
    }

    /// Report of a worker in answer to a call.
    pub struct WorkerReport {
        /// Number of this report; it only grows.
        pub number: u64,
        /// All tasks that the worker has, including those that have ended and were
        /// not forgotten.
        pub tasks: Box<[TaskReport]>,
        /// Worst latency of an instance of a service on the worker, as a multiple of
        /// its usual one in thousandths; it arrives late, and is 0 if not measured.
        pub service_slowdown_permille: u32,
    }
}

/// State of a task according to its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedState {
    /// The task runs.
    Running,
    /// The task finished.
    Finished,
    /// The task failed by itself.
    Failed,
    /// The task was stopped and can resume at the checkpoint.
    Stopped {
        /// Checkpoint up to which its progress is kept.
        checkpoint: u64,
    },
    /// The task was never started, because the worker lacks the resources.
    Refused,
}

/// State of a task according to the owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskState {
    /// Resources are reserved until the given time.
    Reserved {
        /// End of the reservation.
        until_ms: u64,
    },
    /// The worker is ordered to start it.
    Starting,
    /// The worker lists it as running.
    Running,
    /// The worker is ordered to stop it.
    Stopping,
    /// It has ended; its home is informed until it acknowledges.
    Ended {
        /// Its outcome.
        end: TaskEnd,
        /// Time at which its home was last informed.
        told_ms: u64,
    },
    /// Its home has acknowledged the end; the worker is ordered to forget it.
    Forgetting,
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskEnd {
    /// The job finished.
    Finished,
    /// The job failed by itself.
    Failed,
    /// The attempt was stopped; the job resumes at the checkpoint.
    Evicted {
        /// Checkpoint up to which its progress is kept.
        checkpoint: u64,
    },
    /// The worker refused it for lack of resources; it did not run.
    NotStarted,
    /// Its worker does not answer and its lease has expired, or a repeated order
    /// found no trace of it. It no longer runs, but may have finished.
    Lost,
    /// Its worker has restarted and does not know it; it may have finished.
    Forgotten,
}

/// Answer to a request for resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// The resources are reserved.
    Held,
    /// There are no resources at present; for an urgent attempt some are being freed.
    Unavailable,
}

/// Options of an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StartOptions {
    /// Whether the attempt has priority over batch tasks.
    pub is_urgent: bool,
    /// Whether the order may have been given before, to a previous owner of the cell.
    pub is_repeat: bool,
}

/// Answer to an order to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartAnswer {
    /// The worker is being ordered to start it.
    Starting,
    /// The attempt runs.
    Running,
    /// The attempt has ended with this outcome.
    Ended(TaskEnd),
    /// Not all workers of the cell have reported yet; ask again.
    Wait,
}

/// Update about a task for its home, the owner of its job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskUpdate {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its outcome, or `None` if it has started to run.
    pub end: Option<TaskEnd>,
}

/// Timeouts and intervals of a cell of workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerTiming {
    /// Time for which a worker runs its tasks without a call.
    pub lease_ms: u64,
    /// Time between two calls.
    pub poll_ms: u64,
    /// Time for which resources stay reserved.
    pub reserve_ms: u64,
    /// Largest difference in clock rates, in thousandths.
    pub skew_permille: u64,
}

plain! {
    /// A host as described by the inventory and the platform's list.
    pub struct HostEntry {
        /// Its name.
        pub name: Box<str>,
        /// Address of its worker; empty while the platform does not list it.
        pub address: Box<str>,
        /// Resources that it has.
        pub total: Resources,
        /// Resources reserved for instances of services.
        pub reserved: Resources,
        /// Names of jobs that rules exclude from it.
        pub excluded_jobs: Vec<Box<str>>,
        /// Whether it is leaving: it gets no new tasks, and its tasks are evicted.
        pub is_leaving: bool,
    }
}
