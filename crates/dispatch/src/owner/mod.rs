//! The owner of all jobs: starts, watches and stops tasks on workers.
//!
//! What is written before what:
//!
//! - a run is on record as assigned before the order to start it is sent, so a
//!   successor knows where each task may be;
//! - an end is on record before the worker is told to forget it, so a successor finds
//!   it in one place or the other;
//! - all else a successor learns by looking at the workers under its higher token,
//!   after which they refuse whatever a former owner still sends.

mod adopting;
mod burials;
mod calls;
mod crashes;
mod ends;
mod evacuating;
mod gangs;
mod incarnations;
mod job;
mod link;
mod looks;
mod orders;
mod pacing;
mod permits;
mod placing;
mod pricing;
mod progress;
mod relaying;
mod stragglers;
mod strays;
mod task;
mod waits;
mod worker;
mod workers;
mod writing;

use crate::bounds::Bounds;
use crate::config::WorkerEntry;
use crate::election::Survey;
use crate::evacuations::Evacuations;
use crate::event::Action;
use crate::event::Now;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::lane::Lane;
use crate::ledger::Inheritance;
use crate::ledger::Ledger;
use crate::owner::calls::Order;
use crate::owner::crashes::Crashes;
use crate::owner::incarnations::DoubtfulStarts;
use crate::owner::job::Job;
use crate::owner::job::JobKey;
pub(crate) use crate::owner::link::records_bytes;
use crate::owner::permits::Permits;
use crate::owner::stragglers::Durations;
pub use crate::owner::waits::Wait;
use crate::owner::worker::RunPhase;
use crate::owner::worker::WorkerKey;
use crate::owner::workers::Workers;
use crate::owner::writing::Writer;
use crate::policy::images::Images;
use crate::policy::interference::Interference;
use crate::policy::link::LinkBudget;
use crate::policy::link::Rank;
use crate::policy::patience::AnswerTimes;
use crate::policy::placing::placing_gap_ms;
use crate::record::JobPhase;
use crate::record::Progress;
use crate::record::Submission;
use crate::relay::Sessions;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use slotmap::SlotMap;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;

/// Time for which an owner goes on that neither the store nor the workers confirm.
/// The store is silent for longer than that at times, the workers are not.
const CONFIRMED_MOST_MS: u64 = 1_500;
/// Age of the latest confirmation at which another one is looked for.
const CONFIRMED_ANEW_MS: u64 = 300;
/// Lease that tasks get. A task whose worker falls silent is started elsewhere once it is
/// over, which must be within 6 s for tasks that last. A new owner extends leases within
/// 3.5 s of its predecessor's end, 2 s to notice and 1.5 s for a store that is slow.
const LEASE_MS: u64 = 4_800;
/// A clock may be slow by 2%; a third more covers the time on the way.
const CLOCK_SKEW_PERMILLE: u64 = 1_030;
const LAPSE_SLACK_MS: u64 = 300;

/// Counts that the metrics show.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Figures {
    /// Orders to start that were sent.
    pub starts: u64,
    /// Orders to start that were refused for want of room.
    pub refused_room: u64,
    /// Runs that ended well.
    pub done: u64,
    /// Runs that failed.
    pub failed: u64,
    /// Runs that ended in any other way.
    pub broken: u64,
    /// Runs that went with their worker.
    pub lost: u64,
    /// Workers that were given up.
    pub workers_gone: u64,
    /// Those of them at whose address another incarnation answered.
    pub workers_replaced: u64,
    /// Jobs that were given up as a task of theirs crashes its workers.
    pub given_up: u64,
    /// Looks at workers.
    pub looks: u64,
    /// How often the state of a worker was looked over in a turn.
    pub looked_over: u64,
    /// How often a worker was weighed for a step that waits.
    pub weighed: u64,
    /// Changes of a filler's share.
    pub paces: u64,
    /// Appends to the stream of progress.
    pub appends: u64,
    /// Times that a call was put off since the link is full, by rank.
    pub put_off: [u64; Rank::ALL.len()],
    /// Time that the link still takes for what goes out.
    pub link_out_ms: u64,
    /// Time that the link still takes for what comes in.
    pub link_in_ms: u64,
    /// What answers of workers take usually.
    pub answer_ms: u64,
    /// Orders that went over relays.
    pub relayed: u64,
    /// Relays that take orders.
    pub relays: u64,
    /// Times that the relays of a worker were selected anew.
    pub selected: u64,
    /// Steps that have waited for long, by what for.
    pub waits: [u64; Wait::ALL.len()],
}

/// Why an owner ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stepdown {
    /// A store or worker has seen a higher token.
    Fenced,
}

/// The owner's state.
#[derive(Debug)]
pub(crate) struct Owner {
    token: u64,
    host: Box<str>,
    bounds: Bounds,
    /// When what a former owner knew to be silent has lapsed, by worker.
    silent: HashMap<Box<str>, u64>,
    /// Workers that the newest record of silent ones names, or one under way.
    noted_silent: BTreeSet<Box<str>>,
    jobs: SlotMap<JobKey, Job>,
    job_keys: HashMap<JobId, JobKey>,
    live: Vec<JobKey>,
    /// Progress of jobs that this owner has not read yet.
    unread: HashMap<JobId, Progress>,
    /// All jobs that stood in the store when this owner claimed are read.
    is_informed: bool,
    /// Workers as they are on record for a successor.
    noted_workers: BTreeMap<Box<str>, WorkerEntry>,
    /// Workers of which something else may be true than these say.
    unnoted: BTreeSet<Box<str>>,
    /// Jobs that are over. What still runs of them takes room until it has ended.
    over: HashMap<JobId, Rc<Submission>>,
    workers: Workers,
    worker_keys: HashMap<Box<str>, WorkerKey>,
    orders: HashMap<u64, Order>,
    link: LinkBudget,
    answers: AnswerTimes,
    relays: Sessions,
    /// Orders go over relays where there are any.
    uses_relays: bool,
    survey: Survey,
    /// When orders no longer wait for them.
    relays_due_ms: u64,
    images: Images,
    interference: Interference,
    durations: Durations,
    permits: Permits,
    evacuations: Rc<Evacuations>,
    /// The rules are too old to start anything by.
    holds_starts: bool,
    crashes: Crashes,
    /// Runs that workers have listed and that are no task's own, where they were listed last.
    strays: HashMap<TaskId, (WorkerKey, u32)>,
    doubtful_starts: DoubtfulStarts,
    writer: Writer,
    /// When the store or most workers last confirmed this owner.
    confirmed_ms: u64,
    /// The store does not confirm it, so that the workers have to.
    are_workers_confirming: bool,
    is_leaving: bool,
    /// Looks that may be sent in this turn, and when that was last counted.
    looks_left: usize,
    looked_ms: u64,
    must_place: bool,
    next_place_ms: u64,
    /// When the first task that was told to wait may be placed.
    wake_ms: u64,
    /// When steps that wait for long are told of next.
    next_waits_ms: u64,
    stepdown: Option<Stepdown>,
    pub(crate) figures: Figures,
}

impl Owner {
    /// Begins to own what the ledger holds, under a token that the store has accepted. `signs`
    /// are the signs of life that it has given since.
    #[expect(
        clippy::too_many_arguments,
        reason = "These are what a claim has come to, and what every decision takes."
    )]
    pub(crate) fn new(
        host: &str,
        token: u64,
        bounds: &Bounds,
        ledger: &Ledger,
        inheritance: Inheritance,
        signs: Lane,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> Self {
        let mut owner = Self {
            token,
            host: host.into(),
            bounds: bounds.clone(),
            silent: HashMap::new(),
            noted_silent: BTreeSet::new(),
            jobs: SlotMap::with_key(),
            job_keys: HashMap::new(),
            live: Vec::new(),
            unread: HashMap::new(),
            is_informed: false,
            noted_workers: inheritance.workers,
            unnoted: BTreeSet::new(),
            over: HashMap::new(),
            workers: Workers::new(),
            worker_keys: HashMap::new(),
            orders: HashMap::new(),
            link: LinkBudget::new(bounds.link_bytes_per_s),
            answers: AnswerTimes::default(),
            relays: Sessions::new(bounds.descriptors),
            uses_relays: false,
            survey: Survey::default(),
            relays_due_ms: 0,
            images: Images::default(),
            interference: Interference::default(),
            durations: Durations::default(),
            permits: Permits::default(),
            evacuations: Rc::default(),
            holds_starts: false,
            crashes: Crashes::default(),
            strays: HashMap::new(),
            doubtful_starts: DoubtfulStarts::default(),
            writer: Writer::new(signs, now.steady_ms),
            confirmed_ms: now.steady_ms,
            are_workers_confirming: false,
            is_leaving: false,
            looks_left: 0,
            looked_ms: 0,
            must_place: true,
            next_place_ms: 0,
            wake_ms: u64::MAX,
            next_waits_ms: 0,
            stepdown: None,
            figures: Figures::default(),
        };
        // The time since that record was written is not known, so it is not counted.
        for silent in &inheritance.learned.silent {
            let lapsed_ms = now.steady_ms + silent.left_ms;
            owner
                .silent
                .insert(silent.worker.as_str().into(), lapsed_ms);
            owner.noted_silent.insert(silent.worker.as_str().into());
        }
        if bounds.policy.inherits_interference {
            owner
                .interference
                .resume(&inheritance.learned, &mut owner.images);
        }
        let mut ids: Vec<JobId> = ledger.jobs.keys().copied().collect();
        ids.sort_unstable();
        owner.note_hosts(&ledger.hosts);
        owner.unread = inheritance.jobs;
        for id in ids {
            owner.adopt(id, ledger, now, actions);
        }
        owner.writer.announce();
        owner
    }

    /// Stops a job for good.
    pub(crate) fn cancel(&mut self, id: JobId, now: Now, actions: &mut Vec<Action>) {
        if let Some(key) = self.job_keys.get(&id) {
            self.finish(*key, JobPhase::Cancelled, now, actions);
        }
    }

    /// Ends a job: whatever still runs of it is stopped.
    fn finish(&mut self, key: JobKey, phase: JobPhase, now: Now, actions: &mut Vec<Action>) {
        let job = &mut self.jobs[key];
        if job.phase.is_final() {
            return;
        }
        actions.push(Action::Note(Note::new(
            Code::JobFinished,
            job.id.to_string(),
            format!(
                "how={phase:?} queue={} spare_ms={}",
                job.submission.queue,
                job.due_ms as i64 - now.steady_ms as i64
            ),
        )));
        job.phase = phase;
        job.final_wall_ms = now.wall_ms;
        job.has_waiting = false;
        job.is_dirty = true;
        let id = job.id;
        self.permits.forget(id);
        self.crashes.forget(id);
        self.strays.retain(|task, _| task.job != id);
        self.halt_runs(id);
        self.must_place = true;
    }

    /// Has all runs of a job stop, of which no end is awaited any more.
    fn halt_runs(&mut self, id: JobId) {
        let mut holders = Vec::new();
        for (key, worker) in &self.workers {
            if worker.runs_of(id).next().is_some() {
                holders.push(key);
            }
        }
        for key in holders {
            let worker = &mut self.workers[key];
            worker.has_orders = true;
            let mut unsent = Vec::new();
            for ((task, number), run) in &mut worker.runs {
                if task.job != id || run.is_stray {
                    continue;
                }
                run.is_stray = true;
                if run.halt() {
                    unsent.push((*task, *number));
                }
            }
            for (task, number) in unsent {
                worker.remove(task, number);
            }
        }
    }

    /// Notes that all jobs that stood in the store at the claim are read. Until then runs of
    /// jobs that were not read go on, and ends are kept by their workers: they may be of such
    /// a job.
    pub(crate) fn inform(&mut self) {
        if self.is_informed {
            return;
        }
        self.is_informed = true;
        // What is left is of jobs whose keys were dropped.
        self.unread.clear();
        for worker in self.workers.values_mut() {
            worker.handled = worker.recorded;
            worker.next_look_ms = 0;
            for run in worker.runs.values_mut() {
                if run.is_stray && matches!(run.phase, RunPhase::Present { .. }) {
                    run.phase = RunPhase::Stopping { again_ms: 0 };
                    worker.has_orders = true;
                }
            }
        }
    }

    /// Marks that the host is about to stop, so that another one claims.
    pub(crate) fn leave(&mut self) {
        self.is_leaving = true;
        self.writer.announce();
    }

    /// Does what is due.
    pub(crate) fn advance(&mut self, now: Now, tickets: &mut u64, actions: &mut Vec<Action>) {
        self.link.refill(now.steady_ms);
        self.keep_relays(now, tickets, actions);
        self.open_due(now);
        self.check_confirmed(now.steady_ms);
        if !self.awaits_relays(now.steady_ms) {
            self.look_around(now, tickets, actions);
        }
        self.chase_stragglers(now, actions);
        self.stop_strays(now.steady_ms, tickets, actions);
        self.must_place |= now.steady_ms >= self.wake_ms;
        self.workers.settle();
        if self.must_place && now.steady_ms >= self.next_place_ms {
            self.must_place = false;
            self.wake_ms = u64::MAX;
            self.permits.begin_pass();
            let before = self.workers.weighed();
            self.place(now, actions);
            let weighed = self.workers.weighed() - before;
            self.next_place_ms = now.steady_ms + placing_gap_ms(weighed, self.bounds.cpu_permille);
        }
        self.ask_permits(now, tickets, actions);
        self.pace(now.steady_ms, tickets, actions);
        self.write(now, tickets, actions);
        self.relays.flush(self.token, now.steady_ms, actions);
        self.show_link();
        self.tell_waits(now, actions);
    }

    /// Has metrics show how full the link is.
    fn show_link(&mut self) {
        self.figures.weighed = self.workers.weighed();
        self.figures.looked_over = self.workers.looked_over();
        self.figures.answer_ms = self.answers.usual_ms();
        self.figures.link_out_ms = self.link.out_ms();
        self.figures.link_in_ms = self.link.in_ms();
        for (rank, count) in self.link.put_off() {
            self.figures.put_off[rank as usize] = count;
        }
    }

    fn open_due(&mut self, now: Now) {
        for key in &self.live {
            let job = &mut self.jobs[*key];
            if job.next_occurrence < job.submission.repetitions
                && job.open_occurrences(now, &self.bounds)
            {
                job.is_dirty = true;
                self.must_place = true;
            }
        }
    }

    /// Notices confirmation by the workers: most of them have answered this token lately,
    /// so no successor has called them before.
    fn check_confirmed(&mut self, now_ms: u64) {
        const ANSWERED_LATELY_MS: u64 = 2_000;
        // While the store confirms, the workers need not be counted.
        let are_confirming = now_ms >= self.confirmed_ms + CONFIRMED_ANEW_MS;
        if are_confirming && !self.are_workers_confirming {
            self.hasten_looks(now_ms);
        }
        self.are_workers_confirming = are_confirming;
        if !are_confirming {
            return;
        }
        let mut count = 0;
        let mut listed = 0;
        for worker in self.workers.values() {
            listed += usize::from(worker.is_listed);
            count += usize::from(
                worker.is_listed
                    && worker.is_known
                    && worker.answered_ms + ANSWERED_LATELY_MS > now_ms,
            );
        }
        if listed > 0 && count * 2 > listed {
            self.confirmed_ms = now_ms;
        }
    }

    /// Tells whether this owner may extend leases and start tasks.
    fn is_confirmed(&self, now_ms: u64) -> bool {
        now_ms < self.confirmed_ms + CONFIRMED_MOST_MS
    }

    pub(crate) fn stepdown(&self) -> Option<Stepdown> {
        self.stepdown
    }

    pub(crate) fn token(&self) -> u64 {
        self.token
    }
}
