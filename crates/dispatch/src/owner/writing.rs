//! Writing progress to the store, and what follows once it is stored.
//!
//! Progress, task by task, goes to a stream that nobody reads but the next owner. The few
//! bytes that all hosts need, states of jobs and signs of life, follow in a stream of
//! their own: hosts on thin links could not keep up with the first one.

use crate::appender::Appender;
use crate::appender::HEARTBEAT_MS;
use crate::appender::Records;
use crate::config::WorkerEntry;
use crate::event::Action;
use crate::event::AppendOutcome;
use crate::event::Now;
use crate::event::Stream;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::Stepdown;
use crate::owner::job::JobKey;
use crate::owner::worker::RunPhase;
use crate::owner::worker::WorkerKey;
use crate::record::Key;
use crate::record::Learned;
use crate::record::OwnerRecord;
use crate::record::SilentWorker;
use crate::record::StateRecord;
use crate::worker_record::WorkerRecord;
use prost::Message;

/// Pause between appends of progress. Each costs a call to the store; a start that waits
/// for 20 ms is still well inside objectives of 250 ms and more.
const GAP_MS: u64 = 20;
/// Pause between appends of states. Callers ask for them a few times a second.
const STATES_GAP_MS: u64 = 40;
/// Pause between two records of what was learned. A successor loses as much at most.
const LEARNED_MS: u64 = 2_500;
/// The same while workers are silent, whose time runs.
const SILENT_MS: u64 = 400;
/// How many times what answers of workers take of late, and the link takes for the records, is
/// added to that. Repeated too early, records of 30 kB would fill a link of 2 Mbit/s by
/// themselves.
const SLOW_FACTOR: u64 = 3;
/// Bytes of records in one append, well under what the store takes at once.
const MAX_BATCH_BYTES: usize = 200_000;

/// What follows once an append of progress is stored.
#[derive(Debug, Default)]
struct Effects {
    starts: Vec<(WorkerKey, TaskId, u32)>,
    acknowledged_exit: Vec<(WorkerKey, u64)>,
    states: Vec<(JobId, StateRecord)>,
    /// Workers that the records no longer name as silent.
    answering: Vec<Box<str>>,
}

/// Appends of the owner.
#[derive(Debug)]
pub(crate) struct Writer {
    progress: Appender,
    states: Appender,
    effects: Effects,
    heartbeat: u64,
    must_announce: bool,
    learned_ms: u64,
    /// Runs whose records are in no append yet.
    starts: Vec<(WorkerKey, TaskId, u32)>,
    /// Jobs whose keys are to be dropped, from each of the two streams.
    retired: Vec<JobId>,
    retired_states: Vec<JobId>,
    /// States that are true by the stored progress and not told yet.
    unpublished: Vec<(JobId, StateRecord)>,
}

impl Writer {
    /// Goes on in the stream of states where the claim has given its signs of life.
    pub(crate) fn new(states: Appender, now_ms: u64) -> Self {
        Self {
            // The claim was number 0.
            progress: Appender::new(Stream::Progress, 1, now_ms),
            states,
            effects: Effects::default(),
            heartbeat: 0,
            must_announce: false,
            learned_ms: now_ms,
            starts: Vec::new(),
            retired: Vec::new(),
            retired_states: Vec::new(),
            unpublished: Vec::new(),
        }
    }

    /// Has the next append of states tell about the owner.
    pub(crate) fn announce(&mut self) {
        self.must_announce = true;
    }

    /// Has a run started once its job's record is stored.
    pub(crate) fn start_once_stored(&mut self, worker: WorkerKey, task: TaskId, run: u32) {
        self.starts.push((worker, task, run));
    }

    /// Tells the state of a job whose progress is stored.
    pub(crate) fn publish(&mut self, job: JobId, state: StateRecord) {
        self.unpublished.push((job, state));
    }
}

impl Owner {
    /// Appends what has changed, or repeats what has no answer.
    pub(crate) fn write(&mut self, now: Now, tickets: &mut u64, actions: &mut Vec<Action>) {
        let now_ms = now.steady_ms;
        let gap_ms = GAP_MS.max(self.link.records_gap_ms(self.writer.progress.last_bytes));
        if self.writer.progress.may_begin(now_ms, gap_ms) {
            self.fill_progress(now_ms);
        }
        if self.writer.states.may_begin(now_ms, STATES_GAP_MS) {
            self.fill_states(now_ms);
        }
        let before = actions.len();
        let link_ms = self.link.carries_in_ms(self.writer.progress.last_bytes);
        let slow_ms = SLOW_FACTOR * (self.answers.usual_ms() + link_ms);
        let Writer {
            progress, states, ..
        } = &mut self.writer;
        progress.send(self.token, slow_ms, now_ms, tickets, actions);
        states.send(self.token, slow_ms, now_ms, tickets, actions);
        self.stats.appends += (actions.len() - before) as u64;
    }

    fn fill_progress(&mut self, now_ms: u64) {
        let mut records = Vec::new();
        let mut bytes = 0;
        let mut written = Vec::new();
        for key in &self.live_jobs {
            let job = &self.jobs[*key];
            if !job.is_dirty || bytes > MAX_BATCH_BYTES {
                continue;
            }
            let workers = &self.workers;
            let mut progress = job.progress(|worker| {
                workers
                    .get(worker)
                    .map_or(String::new(), |worker| worker.entry.id.to_string())
            });
            // The store would refuse it for good, and whatever comes after it.
            if progress.encoded_len() as u64 > self.bounds.max_record_bytes {
                progress.shorten();
            }
            let value = progress.encode_to_vec();
            bytes += value.len();
            records.push((Key::Progress(job.id).text(), value.into()));
            written.push(*key);
        }
        if records.is_empty() {
            self.forget_ends_without_effect();
        }
        for job in self.writer.retired.drain(..) {
            records.push((Key::Progress(job).text(), Box::default()));
        }
        self.record_workers(&mut records);
        let mut answering = Vec::new();
        if self.must_tell_learned(now_ms) {
            self.writer.learned_ms = now_ms;
            let mut learned = self.learned(now_ms, &mut answering);
            // Callers name the images, and may name very many.
            if learned.encoded_len() as u64 > self.bounds.max_record_bytes {
                learned.images.clear();
            }
            records.push((Key::Learned.text(), learned.encode_to_vec().into()));
        }
        if !records.is_empty() {
            self.writer.effects = self.collect_effects(&written);
            self.writer.effects.answering = answering;
            self.writer.progress.begin(records, now_ms);
        }
    }

    /// Records which workers are listed, where that has changed. A successor needs their
    /// addresses at once, to extend leases, and the platform's list may be away just then.
    fn record_workers(&mut self, records: &mut Records) {
        for id in std::mem::take(&mut self.unrecorded_workers) {
            let known = self.worker_keys.get(&id);
            match known.map(|key| &self.workers[*key]) {
                Some(worker) if worker.is_listed => {
                    let entry = WorkerEntry {
                        cold_ms: 0,
                        // Its runs that are on record are of this one.
                        incarnation: worker.incarnation,
                        ..worker.entry.clone()
                    };
                    if self.recorded_workers.get(&id) != Some(&entry) {
                        let value = WorkerRecord::new(&entry).encode_to_vec();
                        records.push((Key::Worker(id.clone()).text(), value.into()));
                        self.recorded_workers.insert(id, entry);
                    }
                }
                // A successor finds out at its address what became of one on which runs are on
                // record.
                Some(worker) if !worker.runs.is_empty() => drop(self.unrecorded_workers.insert(id)),
                _ => {
                    if self.recorded_workers.remove(&id).is_some() {
                        records.push((Key::Worker(id).text(), Box::default()));
                    }
                }
            }
        }
    }

    /// Tells whether what was learned is to be recorded: now and then, more often while
    /// workers are silent, at once when one is no longer.
    fn must_tell_learned(&mut self, now_ms: u64) -> bool {
        let mut pause_ms = LEARNED_MS;
        for id in &self.recorded_silent {
            let key = self.worker_keys.get(id);
            if !key.is_some_and(|key| self.workers[*key].is_in_doubt()) {
                return true;
            }
        }
        if !self.workers.in_doubt().is_empty() {
            pause_ms = SILENT_MS;
        }
        now_ms >= self.writer.learned_ms + pause_ms
    }

    fn learned(&mut self, now_ms: u64, answering: &mut Vec<Box<str>>) -> Learned {
        let mut silent = Vec::new();
        answering.extend(self.recorded_silent.iter().cloned());
        for key in self.workers.in_doubt() {
            let worker = &mut self.workers[key];
            answering.retain(|id| *id != worker.entry.id);
            self.recorded_silent.insert(worker.entry.id.clone());
            worker.is_recorded_silent = true;
            silent.push(SilentWorker {
                worker: worker.entry.id.to_string(),
                remaining_ms: worker.leases_expired_ms.saturating_sub(now_ms),
            });
        }
        Learned {
            images: self.interference.learned(&self.images),
            silent,
        }
    }

    /// Ends that changed nothing need no record before workers forget them.
    fn forget_ends_without_effect(&mut self) {
        if !self.is_caught_up {
            return;
        }
        for key in self.workers.unrecorded() {
            let worker = &mut self.workers[key];
            worker.recorded_exit = worker.handled_exit;
            worker.next_poll_ms = 0;
        }
    }

    /// Collects what follows once the records of these jobs are stored.
    fn collect_effects(&mut self, written: &[JobKey]) -> Effects {
        let mut effects = Effects::default();
        for key in written {
            let job = &mut self.jobs[*key];
            job.is_dirty = false;
            if job.published != job.phase {
                job.published = job.phase;
                effects.states.push((job.id, job.state()));
            }
        }
        let jobs = &self.jobs;
        let keys = &self.job_keys;
        self.writer.starts.retain(|start| {
            let key = keys.get(&start.1.job);
            let is_written = key.is_some_and(|key| !jobs[*key].is_dirty);
            if is_written {
                effects.starts.push(*start);
            }
            !is_written
        });
        let is_all_written = self.live_jobs.iter().all(|key| !self.jobs[*key].is_dirty);
        if self.is_caught_up && is_all_written {
            for key in self.workers.unrecorded() {
                effects
                    .acknowledged_exit
                    .push((key, self.workers[key].handled_exit));
            }
        }
        effects
    }

    fn fill_states(&mut self, now_ms: u64) {
        let is_quiet =
            now_ms < self.writer.states.last_begin_ms + HEARTBEAT_MS && !self.writer.must_announce;
        let has_news =
            !self.writer.unpublished.is_empty() || !self.writer.retired_states.is_empty();
        if !has_news && is_quiet {
            return;
        }
        let mut records = Vec::new();
        for job in self.writer.retired_states.drain(..) {
            records.push((Key::State(job).text(), Box::default()));
        }
        for (job, state) in self.writer.unpublished.drain(..) {
            records.push((Key::State(job).text(), state.encode_to_vec().into()));
        }
        if records.is_empty() || self.writer.must_announce {
            records.push(self.owner_record());
            self.writer.must_announce = false;
        }
        self.writer.states.begin(records, now_ms);
    }

    fn owner_record(&mut self) -> (Box<str>, Box<[u8]>) {
        self.writer.heartbeat += 1;
        let record = OwnerRecord {
            token: self.token,
            host: self.host.to_string(),
            is_leaving: self.is_leaving,
            heartbeat: self.writer.heartbeat,
            informs_hosts: self.uses_relays,
            strongest_permille: self.survey.strongest_permille,
            strong_hosts: self.survey.strong_hosts,
        };
        record.row()
    }

    /// Takes in the end of the append with this ticket, if it is one of this owner. Gives
    /// the states that may be told from now on.
    pub(crate) fn handle_append(
        &mut self,
        ticket: u64,
        outcome: AppendOutcome,
        now: Now,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) -> Option<Vec<(JobId, StateRecord)>> {
        let now_ms = now.steady_ms;
        let is_progress = match self.writer.progress.handle_outcome(ticket, outcome, now_ms) {
            Some(is_stored) => is_stored,
            None => {
                let is_stored = self.writer.states.handle_outcome(ticket, outcome, now_ms)?;
                self.apply_append_outcome(outcome, is_stored, self.writer.states.sent_ms);
                return Some(Vec::new());
            }
        };
        self.apply_append_outcome(outcome, is_progress, self.writer.progress.sent_ms);
        if !is_progress {
            return Some(Vec::new());
        }
        let effects = std::mem::take(&mut self.writer.effects);
        for id in effects.answering {
            self.recorded_silent.remove(&id);
            if let Some(key) = self.worker_keys.get(&id) {
                self.workers[*key].is_recorded_silent = false;
                self.must_place = true;
            }
        }
        for (worker, number) in effects.acknowledged_exit {
            self.record_acknowledged_exit(worker, number, now_ms);
        }
        for (worker, task, run) in effects.starts {
            self.send_start(worker, task, run, now, tickets, actions);
        }
        self.writer.unpublished.extend_from_slice(&effects.states);
        self.drop_final();
        Some(effects.states)
    }

    fn apply_append_outcome(&mut self, outcome: AppendOutcome, is_stored: bool, sent_ms: u64) {
        if outcome == AppendOutcome::Fenced {
            self.stepdown = Some(Stepdown::Fenced);
        }
        if is_stored {
            self.confirmed_ms = self.confirmed_ms.max(sent_ms);
        }
    }

    fn record_acknowledged_exit(&mut self, key: WorkerKey, number: u64, now_ms: u64) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.recorded_exit = worker.recorded_exit.max(number);
            worker.next_poll_ms = worker.next_poll_ms.min(now_ms);
        }
    }

    /// Lets go of jobs whose end is on record and of which nothing runs.
    fn drop_final(&mut self) {
        let (jobs, keys, finished_jobs) =
            (&mut self.jobs, &mut self.job_keys, &mut self.finished_jobs);
        self.live_jobs.retain(|key| {
            let job = &jobs[*key];
            let stays = !job.phase.is_final() || job.is_dirty;
            if !stays {
                keys.remove(&job.id);
                finished_jobs.insert(job.id, job.submission.clone());
                jobs.remove(*key);
            }
            stays
        });
    }

    /// Drops all that is on record of a job that nobody need be told about any more.
    pub(crate) fn retire(&mut self, job: JobId) {
        self.finished_jobs.remove(&job);
        self.writer.retired.push(job);
        self.writer.retired_states.push(job);
    }

    /// Lists the states that a former owner has recorded and did not tell.
    pub(crate) fn unpublished(&self) -> &[(JobId, StateRecord)] {
        &self.writer.unpublished
    }

    /// Tells whether a run still awaits its order.
    pub(crate) fn is_recording(&self, worker: WorkerKey, task: TaskId, run: u32) -> bool {
        self.workers
            .get(worker)
            .and_then(|worker| worker.runs.get(&(task, run)))
            .is_some_and(|run| run.phase == RunPhase::Recording)
    }
}
