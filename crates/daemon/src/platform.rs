//! Calls to the platform, on threads of their own, so that a slow log or worker
//! never holds up the decisions.

use goldcrestway_core::Action;
use goldcrestway_core::AttemptId;
use goldcrestway_core::Batch;
use goldcrestway_core::Event;
use goldcrestway_core::ListedState;
use goldcrestway_core::ListedTask;
use goldcrestway_core::Listing;
use goldcrestway_core::Part;
use goldcrestway_core::PlatformHost;
use goldcrestway_core::Stream;
use goldcrestway_core::TaskOrder;
use goldcrestway_core::WorkerCall;
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

/// A call waiting for a thread.
type Call = Box<dyn FnOnce() + Send>;

/// A few threads that carry out calls in turn.
pub(crate) struct Pool {
    calls: Sender<Call>,
}

impl Pool {
    /// Starts `threads` threads; they end when the pool is dropped.
    pub(crate) fn start(threads: usize) -> Self {
        let (calls, waiting) = channel::<Call>();
        let waiting = Arc::new(Mutex::new(waiting));
        for _ in 0..threads {
            let waiting = waiting.clone();
            thread::spawn(move || {
                while let Some(call) = next_call(&waiting) {
                    call();
                }
            });
        }
        Self { calls }
    }

    /// Hands a call to the next free thread.
    pub(crate) fn run(&self, call: impl FnOnce() + Send + 'static) {
        // The threads live as long as the pool.
        let _ = self.calls.send(Box::new(call));
    }
}

fn next_call(waiting: &Mutex<Receiver<Call>>) -> Option<Call> {
    waiting
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .recv()
        .ok()
}

/// The platform as the daemon's edge uses it.
pub(crate) struct Platform {
    log: LogClient,
    worker: WorkerClient,
    appends: Pool,
    reads: Pool,
    calls: Pool,
    events: Sender<Event>,
    began: Instant,
}

/// Threads that read from the log, and that append to it.
const LOG_THREADS: usize = 12;

impl Platform {
    /// Starts the threads that call the platform.
    pub(crate) fn start(
        settings: &crate::settings::Settings,
        events: Sender<Event>,
        began: Instant,
    ) -> Self {
        let timeout_ms = settings.platform_timeout_ms;
        Self {
            log: LogClient::new(&settings.log_url, timeout_ms),
            worker: WorkerClient::new(timeout_ms),
            appends: Pool::start(LOG_THREADS),
            reads: Pool::start(LOG_THREADS),
            calls: Pool::start(settings.worker_threads),
            events,
            began,
        }
    }

    /// Carries out one of the actions that concern the platform.
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
                let (worker, events, began) =
                    (self.worker.clone(), self.events.clone(), self.began);
                self.calls.run(move || {
                    let token = call.token;
                    // A call that waited past the lease must not be made: somebody
                    // else may act for the cell by now.
                    let is_late = began.elapsed().as_millis() as u64 >= begin_by_ms;
                    let reply = match is_late {
                        true => None,
                        false => worker.call(&address, &call_out(&call)).ok(),
                    };
                    let listing = reply.and_then(listing_in);
                    let _ = events.send(Event::Worker {
                        cell,
                        host,
                        token,
                        listing,
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
            let part = log
                .read(&stream.to_string(), from)
                .ok()
                .map(|part| part_in(from, &part));
            let _ = events.send(Event::Read { stream, part });
        });
    }
}

/// Follows the platform's list of hosts until the daemon ends.
pub(crate) fn follow_hosts(settings: &crate::settings::Settings, events: Sender<Event>) {
    let pause = Duration::from_millis(settings.hosts_poll_ms);
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
            thread::sleep(pause);
        }
    });
}

/// Turns what was read from offset `from` on into what the decisions take.
pub fn part_in(from: u64, part: &LogPage) -> Part {
    let next = part
        .records
        .last()
        .map_or(part.oldest.max(from), |(offset, _)| offset + 1);
    let batches = part.records.iter();
    Part {
        oldest: part.oldest,
        next,
        is_end: next >= part.end,
        batches: batches
            .map(|(offset, bytes)| (*offset, goldcrestway_wire::decode_batch(bytes).ok()))
            .collect(),
    }
}

/// Turns a call into what the worker's client sends.
pub fn call_out(call: &WorkerCall) -> WorkerRequest {
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
        start: call.start.iter().map(order_out).collect(),
        stop: names(&call.stop),
        forget: names(&call.forget),
        batch_permille: call.batch_permille,
    }
}

fn order_out(order: &TaskOrder) -> WorkerOrder {
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

/// Reads a worker's answer; one with an unknown state counts as no answer.
pub fn listing_in(reply: WorkerReply) -> Option<Listing> {
    let tasks: Option<Vec<ListedTask>> = reply.tasks.into_iter().map(task_in).collect();
    Some(Listing {
        number: reply.number,
        tasks: tasks?.into(),
        service_slowdown_permille: reply.service_slowdown_permille,
    })
}

fn task_in(task: WorkerTask) -> Option<ListedTask> {
    let state = match &*task.state {
        "running" => ListedState::Running,
        "finished" => ListedState::Finished,
        "failed" => ListedState::Failed,
        "refused" => ListedState::Refused,
        "stopped" => ListedState::Stopped {
            checkpoint: task.checkpoint,
        },
        _ => return None,
    };
    let order = task.order;
    Some(ListedTask {
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
