//! The fakes: messages, log, workers, instances, callers.

use goldcrestway_core::Action;
use goldcrestway_core::Answer;
use goldcrestway_core::AttemptOutcome;
use goldcrestway_core::Event;
use goldcrestway_core::Member;
use goldcrestway_core::Message;
use goldcrestway_core::PlatformHost;
use goldcrestway_core::Seat;
use goldcrestway_daemon::call_out;
use goldcrestway_daemon::listing_in;
use goldcrestway_daemon::part_in;
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
    /// Takes that long for each call.
    Slow(u64),
    /// Answers nothing and takes nothing.
    Down,
    /// Takes appends, but their answers are lost.
    LosesAnswers,
}

/// How an instance behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum UpstreamMode {
    /// Answers after its time.
    Answers,
    /// Answers 503 at once.
    Fails,
    /// Works, and its answer never arrives.
    Cuts,
    /// Refuses connections.
    Refuses,
}

/// A caller's request and what its caller was told.
#[derive(Debug, Clone)]
pub(crate) struct Told {
    pub(crate) identity: String,
    pub(crate) is_once: bool,
    pub(crate) answer: Option<Answer>,
    pub(crate) has_whole: bool,
    /// Attempts that reached an instance.
    pub(crate) attempts: u32,
    pub(crate) told_ms: u64,
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
    /// A paused worker takes calls in only when it wakes.
    pub(crate) is_paused: bool,
    held: Vec<(Seat, Action)>,
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
    pub(crate) told: BTreeMap<u64, Told>,
    pub(crate) jobs: BTreeMap<u64, (String, Option<Answer>)>,
    pub(crate) published: BTreeMap<u64, Option<Answer>>,
    pub(crate) ready: BTreeMap<Seat, bool>,
    pub(crate) broken: Vec<String>,
    /// Jobs and requests whose identity begins so take down whoever runs them, who is back at once.
    pub(crate) poison: Option<String>,
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
            told: BTreeMap::new(),
            jobs: BTreeMap::new(),
            published: BTreeMap::new(),
            ready: BTreeMap::new(),
            broken: Vec::new(),
            poison: None,
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
            held: Vec::new(),
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

    /// Lists hosts and instances as the platform does; names serve as addresses.
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

    fn put(&mut self, at_ms: u64, due: Due) {
        self.next += 1;
        self.due.insert((at_ms, self.next), due);
    }

    /// Takes what is due by `now_ms`.
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

    /// Lets the workers go on.
    pub(crate) fn advance(&mut self, now_ms: u64) {
        for worker in self.workers.values_mut() {
            if !worker.is_dead {
                worker.state.advance(now_ms);
            }
            let poison = self.poison.as_deref();
            if poison.is_some_and(|poison| worker.state.runs_job(poison)) {
                worker.state.die(now_ms);
                self.worker_crashes += 1;
            }
        }
    }

    /// Drops what was on its way to a process that ended.
    pub(crate) fn forget_process(&mut self, seat: Seat) {
        self.due
            .retain(|_, due| !matches!(due, Due::Event(to, _) if *to == seat));
        self.ready.insert(seat, false);
    }

    /// Sends a message; one link keeps its order, as TCP does.
    pub(crate) fn send(&mut self, now_ms: u64, from: Member, to: Seat, message: Message) {
        let delay_ms = self.random.random_range(1..=5);
        let link = self.delayed_until_ms.entry((from.seat, to)).or_default();
        *link = (now_ms + delay_ms).max(*link);
        let at_ms = *link;
        self.put(at_ms, Due::Event(to, Event::Peer { from, message }));
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
        const HANGS_MS: u64 = 1_000;
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
            self.put(now_ms + HANGS_MS, Due::Event(seat, lost));
            return;
        }
        self.put(now_ms + delay_ms, Due::Append(seat, action));
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
        self.put(now_ms + ANSWER_MS, Due::Event(seat, event));
    }

    fn read(&mut self, now_ms: u64, seat: Seat, stream: goldcrestway_core::Stream, from: u64) {
        const RECORDS: usize = 200;
        let delay_ms = match self.log_mode {
            LogMode::Slow(delay_ms) => delay_ms,
            _ => 3,
        };
        let is_down = self.log_mode == LogMode::Down || self.log_cuts.contains(&seat);
        let page =
            (!is_down).then(|| part_in(from, &self.log.read(&stream.to_string(), from, RECORDS)));
        self.put(
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
        let Some(told) = self.told.get_mut(&request) else {
            return;
        };
        let identity = told.identity.clone();
        let Some(upstream) = self.upstreams.get_mut(&address) else {
            return;
        };
        const LEAVING_BORNE_MS: u64 = 3_000;
        if upstream.is_leaving && now_ms > upstream.left_ms + LEAVING_BORNE_MS {
            self.broken
                .push(format!("{address} is leaving and got request {identity}"));
        }
        let mode = upstream.mode;
        let work_ms = if mode == UpstreamMode::Fails {
            1
        } else {
            upstream.work_ms
        };
        let is_poisoned = self
            .poison
            .as_deref()
            .is_some_and(|poison| identity.starts_with(poison));
        self.upstream_crashes += u32::from(is_poisoned);
        let outcome = match mode {
            _ if is_poisoned => AttemptOutcome::Interrupted,
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
            AttemptOutcome::Interrupted if is_poisoned => now_ms + 1,
            AttemptOutcome::Interrupted => now_ms + timeout_ms,
            AttemptOutcome::Complete { .. } => now_ms + work_ms,
        };
        if outcome != AttemptOutcome::NotStarted {
            told.attempts += 1;
            let until_ms = now_ms + work_ms;
            let run = upstream.state.begin(&identity, now_ms, until_ms);
            self.put(until_ms, Due::EndRun(address, run));
        }
        let event = Event::AttemptEnded { request, outcome };
        self.put(answered_ms, Due::Event(seat, event));
        if let (Some(told), AttemptOutcome::Complete { .. }) =
            (self.told.get_mut(&request), outcome)
        {
            told.has_whole = true;
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
            worker.held.push((seat, action.clone()));
        } else if !worker.is_dead && !worker.is_cut {
            delay_ms = 3;
            report = worker
                .state
                .call(now_ms, &call_out(call))
                .and_then(listing_in);
            worker.state.note_heard();
        }
        let event = Event::WorkerAnswered {
            cell,
            host,
            token,
            report,
        };
        self.put(now_ms + delay_ms, Due::Event(seat, event));
    }

    /// Wakes a paused worker: calls that were waiting at it take effect late.
    pub(crate) fn wake_worker(&mut self, now_ms: u64, name: &str) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.is_paused = false;
        for (_, action) in std::mem::take(&mut worker.held) {
            if let Action::CallWorker { call, .. } = action {
                worker.state.call(now_ms, &call_out(&call));
            }
        }
    }

    fn answer(&mut self, now_ms: u64, request: u64, answer: Answer) {
        if let Some(told) = self.told.get_mut(&request) {
            if told.answer.is_some() {
                self.broken
                    .push(format!("request {} was answered twice", told.identity));
            }
            told.told_ms = now_ms;
            told.answer = Some(answer);
        } else if let Some((_, told)) = self.jobs.get_mut(&request) {
            *told = Some(answer);
        } else if let Some(told) = self.published.get_mut(&request) {
            *told = Some(answer);
        }
    }
}
