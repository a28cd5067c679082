//! A worker: it runs tasks under the lease of the caller with the highest fencing token.

use goldcrestway_platform::WorkerOrder;
use goldcrestway_platform::WorkerReply;
use goldcrestway_platform::WorkerRequest;
use goldcrestway_platform::WorkerTask;
use std::collections::VecDeque;

/// Maximum number of listings whose times are retained. A lease counts from the time of the listing
/// that a call acknowledges.
const MAX_LISTINGS: usize = 64;

#[derive(Debug, Clone)]
struct TaskState {
    order: WorkerOrder,
    state: &'static str,
    progress_ms: u64,
    run_time_ms: u64,
}

/// One run of a task, as recorded for checks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskRun {
    /// Identity of the job.
    pub id: String,
    /// Number of the attempt.
    pub attempt: u32,
    /// Start time, in milliseconds.
    pub started_ms: u64,
    /// End time, in milliseconds, if the run has ended.
    pub ended_ms: Option<u64>,
    /// Whether the run ended because the job finished.
    pub is_finished: bool,
    /// Time of the first answer that reported that the job finished, in milliseconds.
    pub reported_ms: Option<u64>,
    /// The order that started the run, with its resources.
    pub order: WorkerOrder,
}

/// The state of a worker.
#[derive(Debug, Clone)]
pub struct WorkerState {
    /// Resources that its services leave: millicores, megabytes of memory, accelerators.
    pub resources: (u32, u32, u32),
    /// Run time of each job, in milliseconds.
    pub run_time_ms: u64,
    /// Whether all tasks that it runs fail.
    pub fails_all: bool,
    /// Slowdown of its services in thousandths, which is measured with a delay.
    pub slowdown_permille: u32,
    token: u64,
    last_listing: u64,
    listings: VecDeque<(u64, u64)>,
    lease_until_ms: u64,
    tasks: Vec<TaskState>,
    now_ms: u64,
    /// All runs so far.
    pub runs: Vec<TaskRun>,
    /// Number of orders to start that exceeded its free resources.
    pub refused_starts: u32,
}

impl WorkerState {
    /// Creates an idle worker whose jobs run for `run_time_ms`.
    pub fn new(resources: (u32, u32, u32), run_time_ms: u64) -> Self {
        Self {
            resources,
            run_time_ms,
            fails_all: false,
            slowdown_permille: 0,
            token: 0,
            last_listing: 0,
            listings: VecDeque::new(),
            lease_until_ms: 0,
            tasks: Vec::new(),
            now_ms: 0,
            runs: Vec::new(),
            refused_starts: 0,
        }
    }

    /// Advances the time. Tasks progress, finish, or end because the lease has expired.
    pub fn advance(&mut self, now_ms: u64) {
        let until_ms = now_ms.min(self.lease_until_ms);
        let passed_ms = until_ms.saturating_sub(self.now_ms);
        for task in &mut self.tasks {
            if task.state != "running" {
                continue;
            }
            task.progress_ms += passed_ms;
            if self.fails_all {
                task.state = "failed";
                end_run(&mut self.runs, &task.order, until_ms, false);
            } else if task.progress_ms >= task.run_time_ms {
                task.state = "finished";
                end_run(&mut self.runs, &task.order, until_ms, true);
            }
        }
        if now_ms >= self.lease_until_ms {
            for task in self.tasks.iter().filter(|task| task.state == "running") {
                end_run(&mut self.runs, &task.order, self.lease_until_ms, false);
            }
            self.tasks.retain(|task| task.state != "running");
        }
        self.now_ms = self.now_ms.max(now_ms);
    }

    /// Returns whether the worker runs a job whose name within its team starts with `prefix`.
    pub fn runs_job(&self, prefix: &str) -> bool {
        let has_prefix = |id: &str| {
            id.rsplit('/')
                .next()
                .is_some_and(|name| name.starts_with(prefix))
        };
        self.tasks
            .iter()
            .any(|task| task.state == "running" && has_prefix(&task.order.id))
    }

    /// Crashes the worker at `now_ms`. It restarts at once without tasks.
    pub fn crash(&mut self, now_ms: u64) {
        self.advance(now_ms);
        for task in self.tasks.iter().filter(|task| task.state == "running") {
            end_run(&mut self.runs, &task.order, now_ms, false);
        }
        self.tasks.clear();
        self.listings.clear();
        self.lease_until_ms = 0;
    }

    /// Handles a call. Returns `None` if its fencing token is outdated.
    pub fn handle_call(&mut self, now_ms: u64, call: &WorkerRequest) -> Option<WorkerReply> {
        self.advance(now_ms);
        if call.token < self.token {
            return None;
        }
        self.token = call.token;
        let listed = self
            .listings
            .iter()
            .find(|(number, _)| *number == call.answers);
        if let Some((_, listed_ms)) = listed
            && now_ms < listed_ms + call.lease_ms
        {
            self.lease_until_ms = self.lease_until_ms.max(listed_ms + call.lease_ms);
            self.apply(now_ms, call);
        }
        self.last_listing += 1;
        self.listings.push_back((self.last_listing, now_ms));
        if self.listings.len() > MAX_LISTINGS {
            self.listings.pop_front();
        }
        Some(self.reply())
    }

    /// Records that the answer to the latest call arrives, which reports the jobs that have
    /// finished.
    pub fn record_reported_exits(&mut self) {
        for task in self.tasks.iter().filter(|task| task.state == "finished") {
            let is_same =
                |run: &&mut TaskRun| run.id == task.order.id && run.attempt == task.order.attempt;
            if let Some(run) = self.runs.iter_mut().find(is_same) {
                run.reported_ms.get_or_insert(self.now_ms);
            }
        }
    }

    fn apply(&mut self, now_ms: u64, call: &WorkerRequest) {
        let is_named = |task: &TaskState, names: &[(String, u32)]| {
            names
                .iter()
                .any(|(id, attempt)| *id == task.order.id && *attempt == task.order.attempt)
        };
        self.tasks
            .retain(|task| task.state == "running" || !is_named(task, &call.forget));
        for task in &mut self.tasks {
            if task.state == "running" && is_named(task, &call.stop) {
                task.state = "stopped";
                end_run(&mut self.runs, &task.order, now_ms, false);
            }
        }
        for order in &call.start {
            self.start(now_ms, order);
        }
    }

    fn start(&mut self, now_ms: u64, order: &WorkerOrder) {
        let is_same =
            |task: &TaskState| task.order.id == order.id && task.order.attempt == order.attempt;
        if self.tasks.iter().any(is_same) {
            return;
        }
        let (mut cores, mut memory, mut accelerators) =
            (order.millicores, order.memory_mb, order.accelerators);
        for task in self.tasks.iter().filter(|task| task.state == "running") {
            cores += task.order.millicores;
            memory += task.order.memory_mb;
            accelerators += task.order.accelerators;
        }
        let fits = cores <= self.resources.0
            && memory <= self.resources.1
            && accelerators <= self.resources.2;
        self.refused_starts += u32::from(!fits);
        let state = if fits { "running" } else { "refused" };
        self.tasks.push(TaskState {
            order: order.clone(),
            state,
            progress_ms: order.checkpoint,
            run_time_ms: self.run_time_ms,
        });
        if fits {
            self.runs.push(TaskRun {
                id: order.id.clone(),
                attempt: order.attempt,
                started_ms: now_ms,
                ended_ms: None,
                is_finished: false,
                reported_ms: None,
                order: order.clone(),
            });
        }
    }

    fn reply(&self) -> WorkerReply {
        let tasks = self.tasks.iter().map(|task| WorkerTask {
            order: task.order.clone(),
            state: task.state.into(),
            checkpoint: task.progress_ms,
        });
        WorkerReply {
            number: self.last_listing,
            tasks: tasks.collect(),
            service_slowdown_permille: self.slowdown_permille,
        }
    }
}

fn end_run(runs: &mut [TaskRun], order: &WorkerOrder, at_ms: u64, is_finished: bool) {
    let is_same = |run: &&mut TaskRun| run.id == order.id && run.attempt == order.attempt;
    if let Some(run) = runs.iter_mut().rev().find(is_same)
        && run.ended_ms.is_none()
    {
        run.ended_ms = Some(at_ms);
        run.is_finished = is_finished;
    }
}
