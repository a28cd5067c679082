//! An owner of jobs with a simulated fleet of workers that answer immediately, to measure the time
//! of its decisions.

use goldcrestway_dispatch::Action;
use goldcrestway_dispatch::AppendOutcome;
use goldcrestway_dispatch::Bounds;
use goldcrestway_dispatch::Config;
use goldcrestway_dispatch::Decoders;
use goldcrestway_dispatch::Entry;
use goldcrestway_dispatch::Event;
use goldcrestway_dispatch::Incarnation;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::Now;
use goldcrestway_dispatch::OrderOutcome;
use goldcrestway_dispatch::Page;
use goldcrestway_dispatch::ReadOutcome;
use goldcrestway_dispatch::Resources;
use goldcrestway_dispatch::RunReport;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::StoredRecord;
use goldcrestway_dispatch::Stream;
use goldcrestway_dispatch::Submission;
use goldcrestway_dispatch::TaskId;
use goldcrestway_dispatch::WorkerCall;
use goldcrestway_dispatch::WorkerEntry;
use goldcrestway_dispatch::WorkerReport;
use std::collections::BTreeMap;

/// Resources of each worker, as on the larger of the sites in use.
const WORKER_RESOURCES: Resources = Resources {
    cpu_milli: 32_000,
    memory_mb: 125_000,
    accelerators: 1,
};
/// Number of tasks of each job with which the fleet is filled.
const TASKS_PER_JOB: u32 = 20;
/// Time between ticks, which is longer than any interval of the owner between appends.
const TICK_MS: u64 = 50;
const WALL_MS: u64 = 1_700_000_000_000;

/// An owner and the runs of its workers.
pub struct Fleet {
    entry: Entry,
    now_ms: u64,
    jobs: u64,
    running: BTreeMap<Box<str>, Vec<(TaskId, u32)>>,
    polls: Vec<(u64, Box<str>)>,
    offset: u64,
    starts: u64,
    workers: usize,
}

fn decode_config(_: &[u8]) -> Result<Config, Box<str>> {
    Ok(Config {
        version: 1,
        ..Config::default()
    })
}

fn decode_worker(id: &str, _: &[u8]) -> Result<WorkerEntry, Box<str>> {
    Ok(WorkerEntry {
        id: id.into(),
        incarnation: Incarnation::UNKNOWN,
        service: "service".into(),
        address: id.into(),
        failure_domain: "hall".into(),
        is_leaving: false,
        cold_ms: 0,
        resources: WORKER_RESOURCES,
        rack: "rack".into(),
        labels: Box::default(),
    })
}

impl Fleet {
    /// Creates an owner with the given number of workers, which run at least the given number of
    /// tasks.
    pub fn new(workers: usize, tasks: usize) -> Self {
        let decoders = Decoders {
            config: decode_config,
            evacuation: |_, _| None,
            worker: decode_worker,
        };
        let mut fleet = Self {
            entry: Entry::new("entry", Bounds::default(), decoders, 1),
            now_ms: 0,
            jobs: 0,
            running: BTreeMap::new(),
            polls: Vec::new(),
            offset: 0,
            starts: 0,
            workers,
        };
        for _ in 0..100 {
            fleet.tick();
        }
        for number in 0..tasks.div_ceil(TASKS_PER_JOB as usize) {
            fleet.submit(TASKS_PER_JOB, 100);
            if number % 50 == 49 {
                fleet.complete_due_work();
            }
        }
        fleet.complete_due_work();
        fleet
    }

    /// Runs several ticks, before each of which workers answer the pending polls, so that the owner
    /// completes all work that is due.
    pub fn complete_due_work(&mut self) {
        for _ in 0..6 {
            self.answer_polls();
            self.tick();
        }
    }

    /// Returns the number of orders to start a run so far.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Submits a job of equal tasks, which a fleet with free resources starts within the next
    /// ticks.
    pub fn submit(&mut self, tasks: u32, cpu_milli: u64) {
        self.jobs += 1;
        let step = Step {
            count: tasks,
            cpu_milli,
            memory_mb: 100,
            estimated_ms: 1_000_000,
            is_long_running: true,
            ..Step::default()
        };
        let submission = Submission {
            queue: "queue".into(),
            service: "service".into(),
            max_attempts: 3,
            steps: vec![step],
            accepted_wall_ms: WALL_MS + self.now_ms,
            ..Submission::default()
        };
        let event = Event::Submit {
            request: self.jobs,
            job: JobId(self.jobs),
            submission,
            answer_timeout_ms: 3_000,
        };
        self.handle(event);
    }

    /// Advances the time by one tick.
    pub fn tick(&mut self) {
        self.now_ms += TICK_MS;
        self.handle(Event::Tick);
    }

    fn answer_polls(&mut self) {
        for (ticket, worker) in std::mem::take(&mut self.polls) {
            let mut runs = Vec::new();
            for (task, run) in self.running.get(&worker).into_iter().flatten() {
                runs.push(RunReport {
                    task: *task,
                    run: *run,
                    checkpoint: "".into(),
                    percent: 100,
                    gauge: 1,
                });
            }
            let report = WorkerReport {
                incarnation: Incarnation::UNKNOWN,
                runs,
                exits: Vec::new(),
                has_more_exits: false,
            };
            let outcome = OrderOutcome::Done {
                clock_ms: self.now_ms,
                report: Some(report),
            };
            self.handle(Event::Ordered { ticket, outcome });
        }
    }

    fn handle(&mut self, event: Event) {
        let now = Now {
            steady_ms: self.now_ms,
            wall_ms: WALL_MS + self.now_ms,
        };
        let mut actions = self.entry.handle(now, event);
        while let Some(action) = actions.pop() {
            if let Some(event) = self.answer(action) {
                actions.extend(self.entry.handle(now, event));
            }
        }
    }

    fn answer(&mut self, action: Action) -> Option<Event> {
        match action {
            Action::Append {
                ticket, records, ..
            } => {
                let offset = self.offset;
                self.offset += records.len() as u64;
                let outcome = AppendOutcome::Stored { offset };
                Some(Event::Appended { ticket, outcome })
            }
            Action::Read {
                ticket, wait_ms: 0, ..
            } => {
                let outcome = ReadOutcome::Records {
                    records: Vec::new(),
                    end: 0,
                };
                Some(Event::Read { ticket, outcome })
            }
            Action::Load { ticket, stream, .. } => Some(Event::Loaded {
                ticket,
                outcome: Ok(self.page(stream)),
            }),
            Action::Order {
                ticket,
                worker,
                call,
                ..
            } => self.execute_order(ticket, worker, call),
            _ => None,
        }
    }

    fn execute_order(&mut self, ticket: u64, worker: Box<str>, call: WorkerCall) -> Option<Event> {
        match call {
            WorkerCall::Poll { .. } => {
                self.polls.push((ticket, worker));
                return None;
            }
            WorkerCall::Start { task, run, .. } => {
                self.starts += 1;
                self.running.entry(worker).or_default().push((task, run));
            }
            _ => {}
        }
        let outcome = OrderOutcome::Done {
            clock_ms: self.now_ms,
            report: None,
        };
        Some(Event::Ordered { ticket, outcome })
    }

    fn page(&self, stream: Stream) -> Page {
        let keys: Vec<Box<str>> = match stream {
            Stream::Rules => vec!["config".into()],
            Stream::Workers => (0..self.workers)
                .map(|number| format!("w{number}").into())
                .collect(),
            _ => Vec::new(),
        };
        let mut records = Vec::with_capacity(keys.len());
        for key in keys {
            records.push(StoredRecord {
                offset: 0,
                key,
                value: Box::new([1]),
            });
        }
        Page {
            records,
            end: 0,
            has_more: false,
        }
    }
}
