//! Client of the platform's interface on each worker host.

use crate::fault::PlatformFault;
use crate::fault::agent;
use crate::fault::unanswered;
use serde::Deserialize;
use serde::Serialize;

/// An order to run one attempt of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerOrder {
    /// Identity of the job.
    pub id: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Kind of job, by its name in the inventory.
    pub job: String,
    /// CPU limit in thousandths of a core.
    pub millicores: u32,
    /// Memory limit in megabytes.
    pub memory_mb: u32,
    /// Number of accelerators.
    pub accelerators: u32,
    /// Checkpoint at which it resumes; 0 for the beginning.
    pub checkpoint: u64,
}

/// Body of a call to a worker.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkerRequest {
    /// Fencing token of the caller.
    pub token: u64,
    /// Number of the latest reply received from the worker; 0 if there is none.
    pub answers: u64,
    /// Length of the lease, which begins at that reply.
    pub lease_ms: u64,
    /// Tasks to start.
    pub start: Vec<WorkerOrder>,
    /// Attempts to checkpoint and stop.
    pub stop: Vec<(String, u32)>,
    /// Ended attempts that the worker may drop from its list.
    pub forget: Vec<(String, u32)>,
    /// CPU share that batch tasks may use, in thousandths of their processors.
    pub batch_permille: u32,
}

/// A task that a worker lists in its reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTask {
    /// Order that started the task.
    pub order: WorkerOrder,
    /// `running`, `finished`, `failed`, `stopped` or `refused`.
    pub state: String,
    /// Checkpoint that is retained of a stopped task.
    pub checkpoint: u64,
}

/// Body of the answer of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkerReply {
    /// Number of this reply; it only grows.
    pub number: u64,
    /// All tasks at the worker that have not been forgotten.
    pub tasks: Vec<WorkerTask>,
    /// Worst slowdown of a service instance colocated with the tasks, as a multiple of its usual
    /// latency in thousandths; 0 if unknown.
    pub service_slowdown_permille: u32,
}

/// Client of worker hosts.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    agent: ureq::Agent,
}

impl WorkerClient {
    /// Creates a client whose calls end within `timeout_ms` milliseconds.
    pub fn new(timeout_ms: u64) -> Self {
        Self {
            agent: agent(timeout_ms),
        }
    }

    /// Calls the worker at `address` and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns [`PlatformFault::Unanswered`] if no complete answer arrived or the worker rejected
    /// the token. The call may have taken effect.
    pub fn call(
        &self,
        address: &str,
        request: &WorkerRequest,
    ) -> Result<WorkerReply, PlatformFault> {
        const STEP: &str = "calling a worker";
        let url = format!("http://{address}/v1/tasks");
        let mut response = self
            .agent
            .post(&url)
            .send_json(request)
            .map_err(|error| unanswered(STEP, address, error))?;
        response
            .body_mut()
            .read_json()
            .map_err(|error| unanswered(STEP, address, error))
    }
}
