//! Measures slopes: the cost of one more member, host, task, request or record. Each is
//! measured at three sizes or more.

use crate::fleet::Fleet;
use crate::fleet::HOSTS_PER_RACK;
use crate::rig::Rig;
use crate::series::Series;
use goldcrestway_core::AttemptId;
use goldcrestway_core::Bounds;
use goldcrestway_core::Cell;
use goldcrestway_core::GrantOutcome;
use goldcrestway_core::HostEntry;
use goldcrestway_core::IdentityTable;
use goldcrestway_core::JobSpec;
use goldcrestway_core::JobState;
use goldcrestway_core::JobTable;
use goldcrestway_core::Limits;
use goldcrestway_core::Member;
use goldcrestway_core::Outcome;
use goldcrestway_core::ReportedState;
use goldcrestway_core::Reservation;
use goldcrestway_core::Seat;
use goldcrestway_core::SlotRelease;
use goldcrestway_core::SlotRequest;
use goldcrestway_core::Submission;
use goldcrestway_core::TaskOrder;
use goldcrestway_core::TaskReport;
use goldcrestway_core::Term;
use goldcrestway_core::UpstreamCell;
use goldcrestway_core::Verdict;
use goldcrestway_core::WorkerCell;
use goldcrestway_core::WorkerReport;
use goldcrestway_core::WorkerTiming;
use goldcrestway_inventory::Resources;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::hint::black_box;
use std::time::Instant;

/// Returns the bytes allocated at present; the program installs a counting allocator.
pub type ReadAllocatedBytes = fn() -> usize;

/// Returns the time of one `operation` in microseconds: the median over several rounds of
/// `each` operations.
pub(crate) fn time_us(rounds: usize, each: usize, mut operation: impl FnMut(usize)) -> f64 {
    let mut times: Vec<f64> = Vec::new();
    let mut number = 0;
    for _ in 0..rounds {
        let started = Instant::now();
        for _ in 0..each {
            operation(number);
            number += 1;
        }
        times.push(started.elapsed().as_secs_f64() * 1e6 / each as f64);
    }
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Measures all series.
pub fn measure(allocated_bytes: ReadAllocatedBytes) -> Vec<Series> {
    let mut all = membership();
    all.extend(takeover());
    all.extend(placement(allocated_bytes));
    all.extend(teams(allocated_bytes));
    all.extend(slots(allocated_bytes));
    all.extend(identities(allocated_bytes));
    all.extend(crate::stored::configuration(allocated_bytes));
    all.extend(crate::stored::records());
    all.extend(requests());
    all.extend(crate::edges::measure());
    all
}

/// Measures the messages, bytes and processor time of idle members.
fn membership() -> Vec<Series> {
    let mut messages = Series::new("member_messages", "members", "messages/s per member");
    let mut bytes = Series::new("member_bytes", "members", "bytes/s per member");
    let mut voter = Series::new("voter_bytes", "members", "bytes/s at a voter");
    let mut busy = Series::new("member_cpu", "members", "us/s per member");
    for members in [8, 62, 300] {
        const SPAN_S: f64 = 4.0;
        let mut rig = Rig::new(members, &Limits::default(), true);
        rig.run(8_000_000);
        rig.reset_counts();
        rig.run((SPAN_S * 1e6) as u64);
        let counts = rig.total_counts();
        let size = members as f64;
        let per_message = counts.message_bytes as f64 / counts.messages.max(1) as f64;
        messages
            .points
            .push((size, counts.messages as f64 / SPAN_S / size));
        // Each message is sent by one host and received by another.
        bytes
            .points
            .push((size, 2.0 * counts.message_bytes as f64 / SPAN_S / size));
        voter
            .points
            .push((size, counts.busiest_messages as f64 * per_message / SPAN_S));
        busy.points
            .push((size, counts.busy.as_secs_f64() * 1e6 / SPAN_S / size));
    }
    vec![messages, bytes, voter, busy]
}

/// Measures how long it takes after members die until all cells are served, and how many
/// appends that needs.
fn takeover() -> Vec<Series> {
    let mut time = Series::new("takeover_ms", "hosts", "ms until all cells are served");
    let mut appends = Series::new("takeover_appends", "hosts", "appends");
    for hosts in [55, 550, 8_400] {
        let (took_ms, count) = measure_member_loss(8, 1, hosts, &Limits::default());
        time.points.push((hosts as f64, took_ms));
        appends.points.push((hosts as f64, count));
    }
    let mut by_lease = Series::new(
        "takeover_by_lease_ms",
        "ms of lease",
        "ms until all cells are served",
    );
    for lease_ms in [1_500, 3_000, 5_000] {
        let limits = Limits {
            lease_ms,
            heartbeat_ms: lease_ms / 6,
            suspect_ms: lease_ms * 2 / 3,
            ..Limits::default()
        };
        by_lease
            .points
            .push((lease_ms as f64, measure_member_loss(8, 1, 550, &limits).0));
    }
    let mut domain = Series::new(
        "domain_loss_ms",
        "members, 5% of them lost",
        "ms until all cells are served",
    );
    let mut domain_appends =
        Series::new("domain_loss_appends", "members, 5% of them lost", "appends");
    for members in [20, 60, 200] {
        let (took_ms, count) =
            measure_member_loss(members, members / 20, 8_400, &Limits::default());
        domain.points.push((members as f64, took_ms));
        domain_appends.points.push((members as f64, count));
    }
    vec![time, appends, by_lease, domain, domain_appends]
}

/// Kills `lost` of `members` at once in a fleet of `hosts`. Returns the milliseconds until
/// all cells are served again and the number of appends.
fn measure_member_loss(members: usize, lost: usize, hosts: usize, limits: &Limits) -> (f64, f64) {
    const MAX_TAKEOVER_US: u64 = 60_000_000;
    let mut rig = Rig::new(members, limits, false);
    rig.run(limits.lease_ms * 3_000);
    rig.publish(&Fleet::sized(hosts, hosts / 4, 10).load().0);
    rig.run(20_000_000 + limits.lease_ms * 2_000);
    let served_before = rig.count_served_cells();
    rig.reset_counts();
    let started_us = rig.now_us;
    for number in 0..lost {
        rig.kill(members - 1 - number);
    }
    rig.run(100_000);
    while rig.count_served_cells() < served_before && rig.now_us < started_us + MAX_TAKEOVER_US {
        rig.run(50_000);
    }
    (
        (rig.now_us - started_us) as f64 / 1_000.0,
        rig.total_counts().appends as f64,
    )
}

fn order(number: usize, attempt: u32) -> TaskOrder {
    TaskOrder {
        attempt: AttemptId {
            id: format!("night/roster-{number}").into(),
            attempt,
        },
        job: "roster".into(),
        need: Resources {
            millicores: 500,
            memory_mb: 1_000,
            accelerators: 0,
        },
        checkpoint: 0,
    }
}

const WORKER_TIMING: WorkerTiming = WorkerTiming {
    lease_ms: 10_000,
    poll_ms: 1_000,
    reserve_ms: 3_000,
    skew_permille: 20,
};

/// Returns cells of workers on which `tasks` tasks run in total.
pub fn worker_cells(hosts: usize, tasks: usize) -> Vec<WorkerCell> {
    let racks = hosts.div_ceil(HOSTS_PER_RACK);
    let per_host = tasks / hosts;
    let mut number = 0;
    let mut cells = Vec::new();
    for _ in 0..racks {
        let mut cell = WorkerCell::new(Term(1), WORKER_TIMING);
        for host in 0..HOSTS_PER_RACK {
            cell.update_host(
                0,
                HostEntry {
                    name: format!("w{host}").into(),
                    address: format!("{host}").into(),
                    total: Resources {
                        millicores: 64_000,
                        memory_mb: 250_000,
                        accelerators: 1,
                    },
                    reserved: Resources::default(),
                    excluded_jobs: Vec::new(),
                    is_leaving: false,
                },
            );
        }
        for (key, _, call) in cell.tick(0) {
            let mut listed = Vec::new();
            for _ in 0..per_host {
                number += 1;
                listed.push(TaskReport {
                    order: order(number, 1),
                    state: ReportedState::Running,
                });
            }
            let report = WorkerReport {
                number: 1,
                tasks: listed.into(),
                service_slowdown_permille: 1_050,
            };
            cell.handle_report(0, key, call.token, &report, |_| false);
        }
        cells.push(cell);
    }
    cells
}

/// Number of tasks that run on the planned fleet.
pub const PLANNED_TASKS: usize = 172_000;

/// Decides one start: picks a random cell of workers, lets it reserve resources at a host,
/// and releases the reservation.
pub fn decide_start(cells: &mut [WorkerCell], random: &mut Pcg32, number: usize) {
    let cell = random.random_range(0..cells.len());
    let cell = &mut cells[cell];
    let order = order(10_000_000 + number, 1);
    let attempt = order.attempt.clone();
    if black_box(cell.reserve(1, order, false)) == Reservation::Held {
        cell.release(&attempt);
    }
}

/// Returns the first host of the whole fleet with enough free resources (baseline).
pub fn first_fit(free: &[Resources], need: Resources) -> Option<usize> {
    free.iter().position(|resources| need.fits(*resources))
}

fn placement(allocated_bytes: ReadAllocatedBytes) -> Vec<Series> {
    let mut decide = Series::new("start_decision_us", "hosts", "us per start");
    let mut baseline = Series::new("start_first_fit_us", "hosts", "us per start");
    let mut bytes = Series::new("task_bytes", "tasks per host", "bytes of state per task");
    let mut listing_us = Series::new("listing_us", "tasks per host", "us per answer of a worker");
    let mut random = Pcg32::seed_from_u64(5);
    for hosts in [50, 500, 8_400] {
        let tasks = PLANNED_TASKS * hosts / 8_400;
        let mut cells = worker_cells(hosts, tasks);
        let took = time_us(9, 2_000, |number| {
            decide_start(&mut cells, &mut random, number)
        });
        decide.points.push((hosts as f64, took));
        // In a busy fleet, first fit finds free resources only far down the list.
        let need = order(0, 1).need;
        let mut free = vec![Resources::default(); hosts];
        free[hosts * 9 / 10] = need.plus(need);
        let took = time_us(9, 200, |_| {
            black_box(first_fit(black_box(&free), need));
        });
        baseline.points.push((hosts as f64, took));
    }
    for per_host in [5, 20, 80] {
        let before = allocated_bytes();
        let hosts = 10 * HOSTS_PER_RACK;
        let mut cells = worker_cells(hosts, hosts * per_host);
        let used = allocated_bytes() - before;
        bytes
            .points
            .push((per_host as f64, used as f64 / (hosts * per_host) as f64));
        let cell = &mut cells[0];
        let mut now_ms = 10_000;
        let took = time_us(5, 20, |_| {
            now_ms += 1_000;
            for (key, address, call) in cell.tick(now_ms) {
                let host: usize = address.parse().unwrap_or(0);
                let first = host * per_host;
                let tasks = (first + 1..=first + per_host).map(|number| TaskReport {
                    order: order(number, 1),
                    state: ReportedState::Running,
                });
                let report = WorkerReport {
                    number: now_ms,
                    tasks: tasks.collect(),
                    service_slowdown_permille: 1_050,
                };
                cell.handle_report(now_ms, key, call.token, &report, |_| false);
            }
        });
        listing_us
            .points
            .push((per_host as f64, took / HOSTS_PER_RACK as f64));
    }
    vec![decide, baseline, bytes, listing_us]
}

fn job_spec(team: usize, number: usize) -> JobSpec {
    JobSpec {
        id: format!("team{team}/roster-{number}").into(),
        job: "roster".into(),
        team: format!("team{team}").into(),
    }
}

/// Measures a job at its home: submitted, queued, dequeued, started and ended.
fn teams(allocated_bytes: ReadAllocatedBytes) -> Vec<Series> {
    let mut took = Series::new("job_home_us", "teams", "us per job at its home");
    let mut bytes = Series::new("job_bytes", "jobs", "bytes of state per job");
    let inventory = Fleet::sized(50, 50, 1).inventory();
    for teams in [5, 50, 490] {
        let mut table = JobTable::default();
        // Every team has a backlog, as at the peak.
        for team in 0..teams {
            for number in 0..20 {
                if let Submission::New(key) = table.submit(0, &job_spec(team, number)) {
                    table.enqueue(0, key, false, false);
                }
            }
        }
        let us = time_us(9, 1_000, |number| {
            let job = job_spec(number % teams, 1_000 + number);
            if let Submission::New(key) = table.submit(1, &job) {
                table.enqueue(1, key, false, false);
            }
            if let Some(key) = table.next_job(1, &inventory) {
                table.begin_attempt(key);
                let cell = Cell::Workers(1);
                table.set_state(key, JobState::Starting { cell, asked_ms: 1 });
                table.set_state(key, JobState::Running { cell });
                table.end(1, key, goldcrestway_core::JobEnd::Finished);
            }
            table.forget_ended(2, 0);
            black_box(table.overdue(1, 1_000));
        });
        took.points.push((teams as f64, us));
    }
    for jobs in [1_000, 10_000, 100_000] {
        let before = allocated_bytes();
        let mut table = JobTable::default();
        for number in 0..jobs {
            if let Submission::New(key) = table.submit(0, &job_spec(number % 490, number)) {
                table.enqueue(0, key, false, false);
            }
        }
        bytes.points.push((
            jobs as f64,
            (allocated_bytes() - before) as f64 / jobs as f64,
        ));
        black_box(&table);
    }
    vec![took, bytes]
}

/// Requests a slot and releases it again.
pub fn grant_and_release(cell: &mut UpstreamCell, number: u64) {
    let me = Member {
        seat: Seat(1),
        incarnation: 1,
    };
    let slot_request = SlotRequest {
        requester: me,
        request: number,
        asked_ms: 1,
        begin_by_ms: 1_000,
    };
    if let Some(Verdict::Granted { grant, .. }) = cell.request_slot(1, slot_request) {
        cell.release(
            1,
            SlotRelease {
                grant,
                requester: me,
                request: number,
                ended: GrantOutcome::Answered { latency_ms: 10 },
                next: None,
            },
        );
    }
}

/// Returns a cell of upstreams with the given number of instances.
pub fn upstream_cell(instances: usize) -> UpstreamCell {
    let bounds = Bounds {
        timeout_ms: 1_000,
        use_ms: 250,
        waiting_per_slot: 2,
    };
    let mut cell = UpstreamCell::new(bounds, 0);
    for instance in 0..instances {
        cell.update_instance(&format!("u{instance}"), "10.0.0.1:8000", 8, false);
    }
    cell
}

fn slots(allocated_bytes: ReadAllocatedBytes) -> Vec<Series> {
    let mut took = Series::new(
        "slot_us",
        "instances in a cell",
        "us per slot granted and released",
    );
    let mut bytes = Series::new(
        "instance_bytes",
        "instances in a cell",
        "bytes per instance",
    );
    for instances in [8, 60, 500] {
        let before = allocated_bytes();
        let mut cell = upstream_cell(instances);
        bytes.points.push((
            instances as f64,
            (allocated_bytes() - before) as f64 / instances as f64,
        ));
        let us = time_us(9, 2_000, |number| {
            grant_and_release(&mut cell, number as u64)
        });
        took.points.push((instances as f64, us));
    }
    vec![took, bytes]
}

fn identities(allocated_bytes: ReadAllocatedBytes) -> Vec<Series> {
    let mut took = Series::new("identity_us", "identities", "us per identity");
    let mut bytes = Series::new("identity_bytes", "identities", "bytes per identity");
    for count in [1_000_u64, 30_000, 300_000] {
        let before = allocated_bytes();
        let mut table = IdentityTable::default();
        for number in 0..u128::from(count) {
            table.admit(0, number, 1);
            table.begin(0, number, 1);
            table.end(number, Outcome::Answered, 200);
        }
        bytes.points.push((
            count as f64,
            (allocated_bytes() - before) as f64 / count as f64,
        ));
        let us = time_us(9, 1_000, |number| {
            let identity = u128::from(count) + number as u128;
            black_box(table.admit(1, identity, 1));
            table.begin(1, identity, 1);
            table.end(identity, Outcome::Answered, 200);
        });
        took.points.push((count as f64, us));
    }
    vec![took, bytes]
}

/// Measures requests through real nodes: messages, bytes and processor time of all hosts.
fn requests() -> Vec<Series> {
    let mut messages = Series::new("request_messages", "requests/s", "messages per request");
    let mut bytes = Series::new("request_bytes", "requests/s", "bytes per request");
    let mut busy = Series::new("request_cpu", "requests/s", "us per request, all hosts");
    let mut rig = Rig::new(8, &Limits::default(), true);
    rig.run(5_000_000);
    rig.publish(&Fleet::sized(33, 48, 1).load().0);
    rig.run(10_000_000);
    let mut number = 1_000;
    for rate in [500_u64, 5_000, 20_000] {
        const SPAN_US: u64 = 1_000_000;
        rig.reset_counts();
        rig.run(SPAN_US);
        let idle = rig.total_counts();
        rig.reset_counts();
        for _ in 0..rate {
            number += 1;
            rig.send_request((number % 8) as usize, number, "s0", 1_000);
            rig.run(SPAN_US / rate);
        }
        let counts = rig.total_counts();
        let per = |all: f64, idle: f64| (all - idle).max(0.0) / rate as f64;
        messages.points.push((
            rate as f64,
            per(counts.messages as f64, idle.messages as f64),
        ));
        bytes.points.push((
            rate as f64,
            per(counts.message_bytes as f64, idle.message_bytes as f64),
        ));
        let spent = per(
            counts.busy.as_secs_f64() * 1e6,
            idle.busy.as_secs_f64() * 1e6,
        );
        busy.points.push((rate as f64, spent));
    }
    vec![messages, bytes, busy]
}
