//! Fakes of the network, the log, workers, instances and callers.

use goldcrestway_core::Action;
use goldcrestway_core::Answer;
use goldcrestway_core::AttemptOutcome;
use goldcrestway_core::Event;
use goldcrestway_core::Member;
use goldcrestway_core::Message;
use goldcrestway_core::PlatformHost;
use goldcrestway_core::Seat;
use goldcrestway_daemon::listing_of;
use goldcrestway_daemon::log_part_of;
use goldcrestway_daemon::worker_request_of;
use goldcrestway_standin::LogState;
use goldcrestway_standin::UpstreamState;
use goldcrestway_standin::WorkerState;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// How the log behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LogMode {
    /// Answers within a few milliseconds.
    Up,
    /// Delays each call by the given milliseconds.
    Slow(u64),
    /// Answers no call and stores nothing.
    Down,
    /// Stores appends, but their answers are lost.
    LosesAnswers,
}

/// How an instance behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpstreamMode {
    /// Answers after its processing time.
    Answers,
    /// Answers 503 at once.
    Fails,
    /// Processes the request, and its answer is lost.
    Cuts,
    /// Refuses connections.
    Refuses,
}

/// A caller's request and the answer that the caller got.
#[derive(Debug, Clone)]
pub(crate) struct RequestRecord {
    pub(crate) identity: String,
    pub(crate) is_once: bool,
    pub(crate) answer: Option<Answer>,
    pub(crate) has_complete_answer: bool,
    /// Attempts that reached an instance.
    pub(crate) attempts: u32,
    pub(crate) answer_ms: u64,
}

/// An instance with its behaviour.
#[derive(Debug, Clone)]
pub(crate) struct Upstream {
    pub(crate) state: UpstreamState,
    pub(crate) mode: UpstreamMode,
    pub(crate) work_ms: u64,
    pub(crate) is_leaving: bool,
    pub(crate) left_ms: u64,
}

/// A worker with its reachability.
#[derive(Debug, Clone)]
pub(crate) struct Worker {
    pub(crate) state: WorkerState,
    pub(crate) is_dead: bool,
    pub(crate) is_cut: bool,
    pub(crate) is_leaving: bool,
    /// A paused worker processes calls only when it is resumed.
    pub(crate) is_paused: bool,
    delayed_calls: Vec<(Seat, Action)>,
}

enum Due {
    Event(Seat, Event),
    Append(Seat, Action),
    EndRun(Box<str>, usize),
}

/// All fakes.
pub(crate) struct Edges {
    random: Pcg32,
    due: BTreeMap<(u64, u64), Due>,
    next: u64,
    pub(crate) log: LogState,
    pub(crate) log_mode: LogMode,
    /// Seats that can't reach the log.
    pub(crate) log_cuts: BTreeSet<Seat>,
    pub(crate) workers: BTreeMap<Box<str>, Worker>,
    pub(crate) upstreams: BTreeMap<Box<str>, Upstream>,
    pub(crate) caller_requests: BTreeMap<u64, RequestRecord>,
    pub(crate) jobs: BTreeMap<u64, (String, Option<Answer>)>,
    pub(crate) published: BTreeMap<u64, Option<Answer>>,
    pub(crate) ready: BTreeMap<Seat, bool>,
    pub(crate) violations: Vec<String>,
    /// Prefix of identities of jobs and requests that crash the worker or instance
    /// that runs them, which restarts at once.
    pub(crate) crashing_prefix: Option<String>,
    pub(crate) worker_crashes: u32,
    pub(crate) upstream_crashes: u32,
    delayed_until_ms: BTreeMap<(Seat, Seat), u64>,
}

impl Edges {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            random: Pcg32::seed_from_u64(seed),
            due: BTreeMap::new(),
            next: 0,
            log: LogState::default(),
            log_mode: LogMode::Up,
            log_cuts: BTreeSet::new(),
            workers: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            caller_requests: BTreeMap::new(),
            jobs: BTreeMap::new(),
            published: BTreeMap::new(),
            ready: BTreeMap::new(),
            violations: Vec::new(),
            crashing_prefix: None,
            worker_crashes: 0,
            upstream_crashes: 0,
            delayed_until_ms: BTreeMap::new(),
        }
    }

    pub(crate) fn add_worker(&mut self, name: &str, room: (u32, u32, u32), run_time_ms: u64) {
        let worker = Worker {
            state: WorkerState::new(room, run_time_ms),
            is_dead: false,
            is_cut: false,
            is_leaving: false,
            is_paused: false,
            delayed_calls: Vec::new(),
        };
        self.workers.insert(name.into(), worker);
    }

    pub(crate) fn add_upstream(&mut self, name: &str, work_ms: u64) {
        let upstream = Upstream {
            state: UpstreamState::default(),
            mode: UpstreamMode::Answers,
            work_ms,
            is_leaving: false,
            left_ms: 0,
        };
        self.upstreams.insert(name.into(), upstream);
    }

    /// Returns hosts and instances as the platform lists them; names serve as
    /// addresses.
    pub(crate) fn hosts(&self) -> Box<[PlatformHost]> {
        let workers = self
            .workers
            .iter()
            .map(|(name, worker)| (name, worker.is_leaving));
        let upstreams = self
            .upstreams
            .iter()
            .map(|(name, upstream)| (name, upstream.is_leaving));
        let listed = workers
            .chain(upstreams)
            .map(|(name, is_leaving)| PlatformHost {
                name: name.clone(),
                address: name.clone(),
                is_leaving,
            });
        listed.collect()
    }

    fn schedule(&mut self, at_ms: u64, due: Due) {
        self.next += 1;
        self.due.insert((at_ms, self.next), due);
    }

    /// Removes what is due by `now_ms`, applies what concerns the fakes, and returns
    /// the events for processes.
    pub(crate) fn due(&mut self, now_ms: u64) -> Vec<(Seat, Event)> {
        let mut events = Vec::new();
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > now_ms {
                break;
            }
            match entry.remove() {
                Due::Event(seat, event) => events.push((seat, event)),
                Due::Append(seat, action) => self.finish_append(now_ms, seat, action),
                Due::EndRun(name, run) => {
                    if let Some(upstream) = self.upstreams.get_mut(&name) {
                        upstream.state.end(run, now_ms);
                    }
                }
            }
        }
        events
    }

    /// Advances the workers to `now_ms`, and crashes those that run a crashing job.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        for worker in self.workers.values_mut() {
            if !worker.is_dead {
                worker.state.advance(now_ms);
            }
            let crashing_prefix = self.crashing_prefix.as_deref();
            if crashing_prefix.is_some_and(|crashing_prefix| worker.state.runs_job(crashing_prefix))
            {
                worker.state.crash(now_ms);
                self.worker_crashes += 1;
            }
        }
    }

    /// Drops events in flight to a process that has ended.
    pub(crate) fn forget_process(&mut self, seat: Seat) {
        self.due
            .retain(|_, due| !matches!(due, Due::Event(to, _) if *to == seat));
        self.ready.insert(seat, false);
    }

    /// Sends a message; each connection keeps the order of messages, as TCP does.
    pub(crate) fn send(&mut self, now_ms: u64, from: Member, to: Seat, message: Message) {
        let delay_ms = self.random.random_range(1..=5);
        let link = self.delayed_until_ms.entry((from.seat, to)).or_default();
        *link = (now_ms + delay_ms).max(*link);
        let at_ms = *link;
        self.schedule(at_ms, Due::Event(to, Event::Peer { from, message }));
    }

    pub(crate) fn perform(&mut self, now_ms: u64, seat: Seat, action: Action) {
        match action {
            Action::Append { .. } => self.append(now_ms, seat, action),
            Action::Read { stream, from } => self.read(now_ms, seat, stream, from),
            Action::Attempt { .. } => self.attempt(now_ms, seat, action),
            Action::CallWorker { .. } => self.call_worker(now_ms, seat, action),
            Action::Answer { request, answer } => self.answer(now_ms, request, answer),
            Action::Ready(is_ready) => drop(self.ready.insert(seat, is_ready)),
            Action::Send { .. } | Action::Note(_) | Action::Stopped => {}
        }
    }

    fn append(&mut self, now_ms: u64, seat: Seat, action: Action) {
        const APPEND_TIMEOUT_MS: u64 = 1_000;
        let Action::Append { stream, ref batch } = action else {
            return;
        };
        let sequence = batch.sequence;
        let lost = Event::Appended {
            stream,
            sequence,
            offset: None,
        };
        let delay_ms = match self.log_mode {
            LogMode::Slow(delay_ms) => delay_ms,
            _ => self.random.random_range(2..=12),
        };
        if self.log_mode == LogMode::Down || self.log_cuts.contains(&seat) {
            self.schedule(now_ms + APPEND_TIMEOUT_MS, Due::Event(seat, lost));
            return;
        }
        self.schedule(now_ms + delay_ms, Due::Append(seat, action));
    }

    fn finish_append(&mut self, now_ms: u64, seat: Seat, action: Action) {
        const ANSWER_MS: u64 = 2;
        let Action::Append { stream, batch } = action else {
            return;
        };
        let bytes = goldcrestway_wire::encode_batch(&batch);
        let offset = self.log.append(&stream.to_string(), bytes);
        let offset = Some(offset).filter(|_| self.log_mode != LogMode::LosesAnswers);
        let sequence = batch.sequence;
        let event = Event::Appended {
            stream,
            sequence,
            offset,
        };
        self.schedule(now_ms + ANSWER_MS, Due::Event(seat, event));
    }

    fn read(&mut self, now_ms: u64, seat: Seat, stream: goldcrestway_core::Stream, from: u64) {
        const RECORDS: usize = 200;
        let delay_ms = match self.log_mode {
            LogMode::Slow(delay_ms) => delay_ms,
            _ => 3,
        };
        let is_down = self.log_mode == LogMode::Down || self.log_cuts.contains(&seat);
        let page = (!is_down)
            .then(|| log_part_of(from, &self.log.read(&stream.to_string(), from, RECORDS)));
        self.schedule(
            now_ms + delay_ms,
            Due::Event(seat, Event::Read { stream, page }),
        );
    }

    fn attempt(&mut self, now_ms: u64, seat: Seat, action: Action) {
        let Action::Attempt {
            request,
            address,
            timeout_ms,
            ..
        } = action
        else {
            return;
        };
        let Some(record) = self.caller_requests.get_mut(&request) else {
            return;
        };
        let identity = record.identity.clone();
        let Some(upstream) = self.upstreams.get_mut(&address) else {
            return;
        };
        const MAX_LEAVING_MS: u64 = 3_000;
        if upstream.is_leaving && now_ms > upstream.left_ms + MAX_LEAVING_MS {
            self.violations
                .push(format!("{address} is leaving and got request {identity}"));
        }
        let mode = upstream.mode;
        let work_ms = if mode == UpstreamMode::Fails {
            1
        } else {
            upstream.work_ms
        };
        let is_crashing = self
            .crashing_prefix
            .as_deref()
            .is_some_and(|crashing_prefix| identity.starts_with(crashing_prefix));
        self.upstream_crashes += u32::from(is_crashing);
        let outcome = match mode {
            _ if is_crashing => AttemptOutcome::Interrupted,
            UpstreamMode::Refuses => AttemptOutcome::NotStarted,
            UpstreamMode::Fails => AttemptOutcome::Complete {
                status: 503,
                latency_ms: work_ms,
            },
            UpstreamMode::Answers if work_ms <= timeout_ms => AttemptOutcome::Complete {
                status: 200,
                latency_ms: work_ms,
            },
            _ => AttemptOutcome::Interrupted,
        };
        let answered_ms = match outcome {
            AttemptOutcome::NotStarted | AttemptOutcome::Expired => now_ms + 1,
            AttemptOutcome::Interrupted if is_crashing => now_ms + 1,
            AttemptOutcome::Interrupted => now_ms + timeout_ms,
            AttemptOutcome::Complete { .. } => now_ms + work_ms,
        };
        if outcome != AttemptOutcome::NotStarted {
            record.attempts += 1;
            let until_ms = now_ms + work_ms;
            let run = upstream.state.begin(&identity, now_ms, until_ms);
            self.schedule(until_ms, Due::EndRun(address, run));
        }
        let event = Event::AttemptEnded { request, outcome };
        self.schedule(answered_ms, Due::Event(seat, event));
        if let (Some(record), AttemptOutcome::Complete { .. }) =
            (self.caller_requests.get_mut(&request), outcome)
        {
            record.has_complete_answer = true;
        }
    }

    fn call_worker(&mut self, now_ms: u64, seat: Seat, action: Action) {
        const TIMEOUT_MS: u64 = 1_000;
        let Action::CallWorker {
            cell,
            host,
            ref address,
            ref call,
            ..
        } = action
        else {
            return;
        };
        let token = call.token;
        let Some(worker) = self.workers.get_mut(address) else {
            return;
        };
        let mut report = None;
        let mut delay_ms = TIMEOUT_MS;
        if worker.is_paused {
            worker.delayed_calls.push((seat, action.clone()));
        } else if !worker.is_dead && !worker.is_cut {
            delay_ms = 3;
            report = worker
                .state
                .handle_call(now_ms, &worker_request_of(call))
                .and_then(listing_of);
            worker.state.record_reported_exits();
        }
        let event = Event::WorkerAnswered {
            cell,
            host,
            token,
            report,
        };
        self.schedule(now_ms + delay_ms, Due::Event(seat, event));
    }

    /// Resumes a paused worker, which then processes the delayed calls.
    pub(crate) fn wake_worker(&mut self, now_ms: u64, name: &str) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.is_paused = false;
        for (_, action) in std::mem::take(&mut worker.delayed_calls) {
            if let Action::CallWorker { call, .. } = action {
                worker.state.handle_call(now_ms, &worker_request_of(&call));
            }
        }
    }

    fn answer(&mut self, now_ms: u64, request: u64, answer: Answer) {
        if let Some(record) = self.caller_requests.get_mut(&request) {
            if record.answer.is_some() {
                self.violations
                    .push(format!("request {} was answered twice", record.identity));
            }
            record.answer_ms = now_ms;
            record.answer = Some(answer);
        } else if let Some((_, record)) = self.jobs.get_mut(&request) {
            *record = Some(answer);
        } else if let Some(record) = self.published.get_mut(&request) {
            *record = Some(answer);
        }
    }
}
