//! The platform's interface on each worker host.

use crate::fault::PlatformFault;
use crate::fault::agent;
use crate::fault::unanswered;
use serde::Deserialize;
use serde::Serialize;

/// A task to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerOrder {
    /// Identity of the job.
    pub id: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Kind of job.
    pub job: String,
    /// Thousandths of a core it may use.
    pub millicores: u32,
    /// Megabytes of memory it may use.
    pub memory_mb: u32,
    /// Accelerators it may use.
    pub accelerators: u32,
    /// Where it resumes.
    pub checkpoint: u64,
}

/// One call.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkerRequest {
    /// Fencing token.
    pub token: u64,
    /// Number of the latest listing received, 0 for none.
    pub answers: u64,
    /// Length of the lease, from that listing.
    pub lease_ms: u64,
    /// Tasks to start.
    pub start: Vec<WorkerOrder>,
    /// Attempts to checkpoint and stop.
    pub stop: Vec<(String, u32)>,
    /// Ended attempts to forget.
    pub forget: Vec<(String, u32)>,
    /// Share of their processors for batch tasks, in thousandths.
    pub batch_permille: u32,
}

/// A task in an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTask {
    /// What it was told to run.
    pub order: WorkerOrder,
    /// `running`, `finished`, `failed`, `stopped` or `refused`.
    pub state: String,
    /// Progress that is kept of a stopped task.
    pub checkpoint: u64,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WorkerReply {
    /// Number of this listing.
    pub number: u64,
    /// All tasks.
    pub tasks: Vec<WorkerTask>,
    /// Worst slowdown of a service beside them, in thousandths; 0 if not known.
    pub service_slowdown_permille: u32,
}

/// Client of all workers.
#[derive(Debug, Clone)]
pub struct WorkerClient {
    agent: ureq::Agent,
}

impl WorkerClient {
    /// Makes a client whose calls end within `timeout_ms`.
    pub fn new(timeout_ms: u64) -> Self {
        Self {
            agent: agent(timeout_ms),
        }
    }

    /// Calls the worker at `address`.
    ///
    /// # Errors
    ///
    /// When no whole answer came, or the worker refused the token. The call may
    /// have taken effect.
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
