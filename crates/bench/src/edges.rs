//! Measures calls and messages over the network: their bytes, and the processor time
//! of the calling thread. The processor time of the stand-in is not included.

use crate::series::Series;
use goldcrestway_core::AttemptId;
use goldcrestway_core::Cell;
use goldcrestway_core::Member;
use goldcrestway_core::Message;
use goldcrestway_core::Seat;
use goldcrestway_core::TaskEnd;
use goldcrestway_core::TaskOrder;
use goldcrestway_inventory::Resources;
use goldcrestway_platform::HostReply;
use goldcrestway_platform::Listed;
use goldcrestway_platform::LogClient;
use goldcrestway_platform::WorkerClient;
use goldcrestway_platform::WorkerOrder;
use goldcrestway_platform::WorkerReply;
use goldcrestway_platform::WorkerRequest;
use goldcrestway_platform::WorkerTask;
use goldcrestway_standin::LogServer;
use goldcrestway_standin::WorkerServer;
use goldcrestway_standin::WorkerState;
use goldcrestway_wire::Envelope;
use goldcrestway_wire::frame_length;
use std::time::Instant;

/// Bytes of HTTP and TCP around a call and its answer, besides the bodies.
pub const HTTP_BYTES: f64 = 480.0;
/// Bytes of TCP and IP around a message between entry hosts.
pub const PACKET_BYTES: f64 = 60.0;

/// Returns the processor time of this thread, in microseconds, or 0 if it can't be read.
fn thread_cpu_us() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text
        .split(' ')
        .next()
        .and_then(|text| text.parse::<f64>().ok());
    nanos.unwrap_or(0.0) / 1_000.0
}

/// Measures all series of network calls and messages.
pub fn measure() -> Vec<Series> {
    let mut all = vec![appends(), task_messages(), host_lists()];
    all.extend(worker_calls());
    all
}

fn appends() -> Series {
    const CALLS: usize = 300;
    let mut series = Series::new(
        "append_edge_us",
        "bytes of payload",
        "us of the calling thread",
    );
    let Ok(server) = LogServer::start(0) else {
        return series;
    };
    let client = LogClient::new(&server.url(), 2_000);
    for bytes in [100, 1_500, 20_000] {
        let payload = vec![7_u8; bytes];
        let before = thread_cpu_us();
        for _ in 0..CALLS {
            // The result is ignored: a failed call shows up as an outlier.
            let _ = client.append("bench", &payload);
        }
        series
            .points
            .push((bytes as f64, (thread_cpu_us() - before) / CALLS as f64));
    }
    series
}

fn order(number: usize) -> WorkerOrder {
    WorkerOrder {
        id: format!("team17/roster-2027-05-{number:05}"),
        attempt: 1,
        job: "roster".into(),
        millicores: 500,
        memory_mb: 1_000,
        accelerators: 0,
        checkpoint: 0,
    }
}

/// Measures calls to a worker by the number of tasks that it runs.
fn worker_calls() -> Vec<Series> {
    const CALLS: usize = 200;
    const WORKER_RESOURCES: (u32, u32, u32) = (1_000_000, 64_000_000, 0);
    let mut times = Series::new(
        "worker_edge_us",
        "tasks per host",
        "us of the calling thread",
    );
    let mut bytes = Series::new("worker_call_bytes", "tasks per host", "bytes, both ways");
    for tasks in [5, 20, 80] {
        let state = WorkerState::new(WORKER_RESOURCES, u64::MAX / 2);
        let Ok(server) = WorkerServer::start(state, Instant::now()) else {
            continue;
        };
        let client = WorkerClient::new(2_000);
        let mut call = WorkerRequest {
            token: 1,
            lease_ms: 600_000,
            batch_permille: 1_000,
            ..WorkerRequest::default()
        };
        let first = client.call(&server.address(), &call).unwrap_or_default();
        call.answers = first.number;
        call.start = (0..tasks).map(order).collect();
        let mut reply = client.call(&server.address(), &call).unwrap_or_default();
        call.start.clear();
        let before = thread_cpu_us();
        for _ in 0..CALLS {
            call.answers = reply.number;
            call.token += 1;
            reply = client.call(&server.address(), &call).unwrap_or_default();
        }
        times
            .points
            .push((tasks as f64, (thread_cpu_us() - before) / CALLS as f64));
        bytes
            .points
            .push((tasks as f64, body_bytes(&call, &reply) + HTTP_BYTES));
    }
    let mut change = Series::new(
        "worker_change_bytes",
        "changed tasks",
        "bytes if only changes were listed",
    );
    for tasks in [0, 1, 5] {
        let reply = WorkerReply {
            number: 1_000_000,
            tasks: (0..tasks)
                .map(|number| WorkerTask {
                    order: order(number),
                    state: "running".into(),
                    checkpoint: 0,
                })
                .collect(),
            service_slowdown_permille: 1_050,
        };
        let call = WorkerRequest {
            token: 1 << 40,
            answers: 1_000_000,
            lease_ms: 10_000,
            ..WorkerRequest::default()
        };
        change
            .points
            .push((tasks as f64, body_bytes(&call, &reply) + HTTP_BYTES));
    }
    vec![times, bytes, change]
}

fn body_bytes(call: &WorkerRequest, reply: &WorkerReply) -> f64 {
    let length = |text: Result<String, serde_json::Error>| text.map_or(0, |text| text.len());
    (length(serde_json::to_string(call)) + length(serde_json::to_string(reply))) as f64
}

/// Measures the messages between a job's home and a cell of workers from its start to
/// its end.
fn task_messages() -> Series {
    let mut series = Series::new(
        "task_message_bytes",
        "messages of one job",
        "bytes in all, packets included",
    );
    let attempt = AttemptId {
        id: "team17/roster-2027-05-00001".into(),
        attempt: 1,
    };
    let order = TaskOrder {
        attempt: attempt.clone(),
        job: "roster".into(),
        need: Resources {
            millicores: 500,
            memory_mb: 1_000,
            accelerators: 0,
        },
        checkpoint: 0,
    };
    let (home, cell, is_urgent) = (Cell::Keys(5), Cell::Workers(u64::MAX), false);
    let report = |end| Message::TaskUpdate {
        home,
        cell,
        attempt: attempt.clone(),
        end,
    };
    let messages = [
        Message::Reserve {
            home,
            cell,
            order: order.clone(),
            is_urgent,
        },
        Message::Reserved {
            home,
            cell,
            attempt: attempt.clone(),
            is_held: true,
            free_millicores: 1_000,
        },
        Message::Start {
            home,
            cell,
            order,
            is_urgent,
            is_repeat: false,
        },
        report(None),
        report(Some(TaskEnd::Finished)),
        Message::TaskUpdateRecorded { cell, attempt },
    ];
    let from = Member {
        seat: Seat(1),
        incarnation: 1 << 40,
    };
    let mut sum = 0.0;
    for (index, message) in messages.into_iter().enumerate() {
        let envelope = Envelope {
            from,
            clock: u64::MAX / 3,
            message,
        };
        sum += frame_length("spa", &envelope) as f64 + PACKET_BYTES;
        series.points.push((index as f64 + 1.0, sum));
    }
    series
}

/// Measures the platform's list of hosts, which is always fetched as a whole.
fn host_lists() -> Series {
    let mut series = Series::new(
        "host_list_bytes",
        "hosts and instances",
        "bytes of one list",
    );
    for count in [130, 3_000, 30_400] {
        let hosts = (0..count).map(|number| Listed {
            name: format!("w{number}"),
            address: "10.123.45.67:8080".into(),
            leaving: false,
        });
        let reply = HostReply {
            hosts: hosts.collect(),
        };
        let body = serde_json::to_string(&reply).map_or(0, |text| text.len());
        series
            .points
            .push((f64::from(count), body as f64 + HTTP_BYTES));
    }
    series
}
