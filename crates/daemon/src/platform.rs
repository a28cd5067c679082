//! Calls to the platform's log, list of hosts and workers. They run on threads of their
//! own, so that a slow log or worker never delays the node.

use goldcrestway_core::Action;
use goldcrestway_core::AttemptId;
use goldcrestway_core::Batch;
use goldcrestway_core::Event;
use goldcrestway_core::PlatformHost;
use goldcrestway_core::ReportedState;
use goldcrestway_core::Stream;
use goldcrestway_core::StreamPage;
use goldcrestway_core::TaskOrder;
use goldcrestway_core::TaskReport;
use goldcrestway_core::WorkerCall;
use goldcrestway_core::WorkerReport;
use goldcrestway_inventory::Resources;
use goldcrestway_platform::HostListClient;
use goldcrestway_platform::LogClient;
use goldcrestway_platform::LogPage;
use goldcrestway_platform::WorkerClient;
use goldcrestway_platform::WorkerOrder;
use goldcrestway_platform::WorkerReply;
use goldcrestway_platform::WorkerRequest;
use goldcrestway_platform::WorkerTask;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// A call that waits for a free thread.
type Call = Box<dyn FnOnce() + Send>;

/// A fixed number of threads that carry out calls in the order of their submission.
pub(crate) struct ThreadPool {
    calls: Sender<Call>,
}

impl ThreadPool {
    /// Starts `threads` threads, which end when the pool is dropped.
    pub(crate) fn start(threads: usize) -> Self {
        let (calls, queue) = channel::<Call>();
        let queue = Arc::new(Mutex::new(queue));
        for _ in 0..threads {
            let queue = queue.clone();
            thread::spawn(move || {
                while let Some(call) = next_call(&queue) {
                    call();
                }
            });
        }
        Self { calls }
    }

    /// Queues a call for the next free thread.
    pub(crate) fn run(&self, call: impl FnOnce() + Send + 'static) {
        // Sending can't fail: the threads live as long as the pool.
        let _ = self.calls.send(Box::new(call));
    }
}

fn next_call(queue: &Mutex<Receiver<Call>>) -> Option<Call> {
    queue
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .recv()
        .ok()
}

/// Clients of the platform, with the threads that use them.
pub(crate) struct Platform {
    log: LogClient,
    worker: WorkerClient,
    appends: ThreadPool,
    reads: ThreadPool,
    calls: ThreadPool,
    events: Sender<Event>,
    started_at: Instant,
}

/// Number of threads that read from the log, and of those that append to it.
const LOG_THREADS: usize = 12;

impl Platform {
    /// Starts the threads that call the platform.
    pub(crate) fn start(
        settings: &crate::settings::Settings,
        events: Sender<Event>,
        started_at: Instant,
    ) -> Self {
        let timeout_ms = settings.platform_timeout_ms;
        Self {
            log: LogClient::new(&settings.log_url, timeout_ms),
            worker: WorkerClient::new(timeout_ms),
            appends: ThreadPool::start(LOG_THREADS),
            reads: ThreadPool::start(LOG_THREADS),
            calls: ThreadPool::start(settings.worker_threads),
            events,
            started_at,
        }
    }

    /// Carries out an append, a read or a call to a worker; ignores other actions.
    pub(crate) fn perform(&self, action: Action) {
        match action {
            Action::Append { stream, batch } => self.append(stream, &batch),
            Action::Read { stream, from } => self.read(stream, from),
            Action::CallWorker {
                cell,
                host,
                address,
                call,
                begin_by_ms,
            } => {
                let (worker, events, started_at) =
                    (self.worker.clone(), self.events.clone(), self.started_at);
                self.calls.run(move || {
                    let token = call.token;
                    // A call that waited until the lease expired must not be made: another
                    // host may act for the cell by now.
                    let is_late = started_at.elapsed().as_millis() as u64 >= begin_by_ms;
                    let reply = match is_late {
                        true => None,
                        false => worker.call(&address, &worker_request_of(&call)).ok(),
                    };
                    let report = reply.and_then(listing_of);
                    let _ = events.send(Event::WorkerAnswered {
                        cell,
                        host,
                        token,
                        report,
                    });
                });
            }
            _ => {}
        }
    }

    fn append(&self, stream: Stream, batch: &Batch) {
        let (log, events) = (self.log.clone(), self.events.clone());
        let bytes = goldcrestway_wire::encode_batch(batch);
        let sequence = batch.sequence;
        self.appends.run(move || {
            let offset = log.append(&stream.to_string(), &bytes).ok();
            let _ = events.send(Event::Appended {
                stream,
                sequence,
                offset,
            });
        });
    }

    fn read(&self, stream: Stream, from: u64) {
        let (log, events) = (self.log.clone(), self.events.clone());
        self.reads.run(move || {
            let page = log
                .read(&stream.to_string(), from)
                .ok()
                .map(|page| log_part_of(from, &page));
            let _ = events.send(Event::Read { stream, page });
        });
    }
}

/// Polls the platform's list of hosts, and sends it to the node, until the daemon ends.
pub(crate) fn follow_hosts(settings: &crate::settings::Settings, events: Sender<Event>) {
    let poll_interval = Duration::from_millis(settings.hosts_poll_ms);
    let client = HostListClient::new(&settings.host_list_url, settings.platform_timeout_ms);
    thread::spawn(move || {
        loop {
            if let Ok(list) = client.list() {
                let hosts = list.into_iter().map(|listed| PlatformHost {
                    name: listed.name.into(),
                    address: listed.address.into(),
                    is_leaving: listed.leaving,
                });
                if events.send(Event::Hosts(hosts.collect())).is_err() {
                    return;
                }
            }
            thread::sleep(poll_interval);
        }
    });
}

/// Converts what was read from the log, from offset `from` on, to the form of the node.
pub fn log_part_of(from: u64, page: &LogPage) -> StreamPage {
    let next = page
        .records
        .last()
        .map_or(page.oldest.max(from), |(offset, _)| offset + 1);
    let batches = page.records.iter();
    StreamPage {
        oldest: page.oldest,
        next,
        is_end: next >= page.end,
        batches: batches
            .map(|(offset, bytes)| (*offset, goldcrestway_wire::decode_batch(bytes).ok()))
            .collect(),
    }
}

/// Converts a call of the node to the request that the worker's client sends.
pub fn worker_request_of(call: &WorkerCall) -> WorkerRequest {
    let names = |attempts: &[AttemptId]| {
        attempts
            .iter()
            .map(|attempt| (attempt.id.to_string(), attempt.attempt))
            .collect()
    };
    WorkerRequest {
        token: call.token,
        answers: call.answers,
        lease_ms: call.lease_ms,
        start: call.start.iter().map(worker_order_of).collect(),
        stop: names(&call.stop),
        forget: names(&call.forget),
        batch_permille: call.batch_permille,
    }
}

fn worker_order_of(order: &TaskOrder) -> WorkerOrder {
    WorkerOrder {
        id: order.attempt.id.to_string(),
        attempt: order.attempt.attempt,
        job: order.job.to_string(),
        millicores: order.need.millicores,
        memory_mb: order.need.memory_mb,
        accelerators: order.need.accelerators,
        checkpoint: order.checkpoint,
    }
}

/// Converts a worker's reply to the form of the node; returns `None`, as without a reply,
/// if the state of a task is unknown.
pub fn listing_of(reply: WorkerReply) -> Option<WorkerReport> {
    let tasks: Option<Vec<TaskReport>> = reply.tasks.into_iter().map(listed_task_of).collect();
    Some(WorkerReport {
        number: reply.number,
        tasks: tasks?.into(),
        service_slowdown_permille: reply.service_slowdown_permille,
    })
}

fn listed_task_of(task: WorkerTask) -> Option<TaskReport> {
    let state = match &*task.state {
        "running" => ReportedState::Running,
        "finished" => ReportedState::Finished,
        "failed" => ReportedState::Failed,
        "refused" => ReportedState::Refused,
        "stopped" => ReportedState::Stopped {
            checkpoint: task.checkpoint,
        },
        _ => return None,
    };
    let order = task.order;
    Some(TaskReport {
        state,
        order: TaskOrder {
            attempt: AttemptId {
                id: order.id.into(),
                attempt: order.attempt,
            },
            job: order.job.into(),
            need: Resources {
                millicores: order.millicores,
                memory_mb: order.memory_mb,
                accelerators: order.accelerators,
            },
            checkpoint: order.checkpoint,
        },
    })
}
