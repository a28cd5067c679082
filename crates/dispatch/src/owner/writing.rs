//! Appends progress to the store, and carries out what depends on it once it is stored.
//!
//! The progress of each task goes to a stream that only the next owner reads. The few bytes that
//! all hosts need, states of jobs and heartbeats, follow in a stream of their own: hosts with slow
//! links could not keep up with the first one.

mod learned;

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
use crate::record::OwnerRecord;
use crate::record::StateRecord;
use crate::worker_record::WorkerRecord;
use crate::worker_record::set_or_remove;
use prost::Message;

/// Interval between appends of progress. Each append costs a call to the store; a start that waits
/// for 20 ms is still well within objectives of 250 ms and more.
const PROGRESS_GAP_MS: u64 = 20;
/// Interval between appends of states. Callers poll for them a few times a second.
const STATES_GAP_MS: u64 = 40;
/// Multiple of the usual latency of workers plus the time that the link needs for the records. It
/// is added to the timeout of an append: repeated too early, records of 30 kB would fill a link of
/// 2 Mbit/s by themselves.
const EXTRA_TIMEOUT_FACTOR: u64 = 3;
/// Bytes of records after which an append gets no further job, well below the limit of the store.
const MAX_BATCH_BYTES: usize = 200_000;

/// Actions that follow once an append of progress is stored.
#[derive(Debug, Default)]
struct Effects {
    starts: Vec<(WorkerKey, TaskId, u32)>,
    acknowledged_exit: Vec<(WorkerKey, u64)>,
    states: Vec<(JobId, StateRecord)>,
    /// Jobs whose progress the append deletes.
    retired: Vec<JobId>,
    /// Workers that the append no longer records as silent.
    no_longer_silent: Vec<Box<str>>,
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
    /// The remaining time of the leases on silent workers is to be recorded at once, as this owner is
    /// about to stop. Its successor can't subtract the time that has passed since the last record.
    must_record_leases: bool,
    /// Runs whose records are in no append yet.
    starts: Vec<(WorkerKey, TaskId, u32)>,
    /// Jobs whose progress is to be deleted, and those whose states are, once their progress is.
    retired: Vec<JobId>,
    retired_states: Vec<JobId>,
    /// States that follow from the stored progress and are not published yet.
    unpublished: Vec<(JobId, StateRecord)>,
}

impl Writer {
    /// Continues the stream of states after the heartbeats that the claim has sent.
    pub(crate) fn new(states: Appender, now_ms: u64) -> Self {
        Self {
            // The claim was append number 0.
            progress: Appender::new(Stream::Progress, 1, now_ms),
            states,
            effects: Effects::default(),
            heartbeat: 0,
            must_announce: false,
            learned_ms: now_ms,
            must_record_leases: false,
            starts: Vec::new(),
            retired: Vec::new(),
            retired_states: Vec::new(),
            unpublished: Vec::new(),
        }
    }

    /// Requests that the next append of progress contains for how long the leases on silent workers
    /// last.
    pub(crate) fn record_leases(&mut self) {
        self.must_record_leases = true;
    }

    /// Requests that the next append of states contains the record of the owner.
    pub(crate) fn announce(&mut self) {
        self.must_announce = true;
    }

    /// Starts a run once the record of its job is stored.
    pub(crate) fn start_once_stored(&mut self, worker: WorkerKey, task: TaskId, run: u32) {
        self.starts.push((worker, task, run));
    }

    /// Returns whether states are to be published before the next heartbeat is due. That a job has
    /// begun is appended in place of that heartbeat: workers confirm starts one at a time, and an
    /// append for each would delay further starts on a full link.
    fn has_urgent_states(&self) -> bool {
        let mut unpublished = self.unpublished.iter();
        let has_ended = unpublished.any(|(_, state)| state.phase().is_final());
        has_ended || !self.retired_states.is_empty()
    }

    /// Publishes the state of a job that workers have confirmed, or whose progress is stored.
    pub(crate) fn publish(&mut self, job: JobId, state: StateRecord) {
        self.unpublished.push((job, state));
    }
}

impl Owner {
    /// Appends records of what has changed, and repeats appends that have no answer.
    pub(crate) fn write(&mut self, now: Now, tickets: &mut u64, actions: &mut Vec<Action>) {
        let now_ms = now.steady_ms;
        let gap_ms = PROGRESS_GAP_MS.max(self.link.records_gap_ms(self.writer.progress.last_bytes));
        if self.writer.progress.may_begin(now_ms, gap_ms) {
            self.begin_progress_append(now_ms);
        }
        if self.writer.states.may_begin(now_ms, STATES_GAP_MS) {
            self.begin_states_append(now_ms);
        }
        let before = actions.len();
        let link_ms = self.link.transfer_ms(self.writer.progress.last_bytes);
        let extra_timeout_ms = EXTRA_TIMEOUT_FACTOR * (self.answers.typical_delay_ms() + link_ms);
        let Writer {
            progress, states, ..
        } = &mut self.writer;
        progress.send(self.token, extra_timeout_ms, now_ms, tickets, actions);
        states.send(self.token, extra_timeout_ms, now_ms, tickets, actions);
        self.stats.appends += (actions.len() - before) as u64;
    }

    fn begin_progress_append(&mut self, now_ms: u64) {
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
            // The store would refuse a larger record permanently, and with it all that follow.
            if progress.encoded_len() as u64 > self.bounds.max_record_bytes {
                progress.shorten();
            }
            let value = progress.encode_to_vec();
            bytes += value.len();
            records.push((Key::Progress(job.id).text(), value.into()));
            written.push(*key);
        }
        if records.is_empty() {
            self.acknowledge_exits_without_effect();
        }
        let retired = std::mem::take(&mut self.writer.retired);
        for job in &retired {
            records.push((Key::Progress(*job).text(), Box::default()));
        }
        self.record_workers(&mut records);
        let mut no_longer_silent = Vec::new();
        if self.must_record_learned(now_ms) {
            self.writer.learned_ms = now_ms;
            let mut learned = self.learned(now_ms, &mut no_longer_silent);
            learned.shorten(self.bounds.max_record_bytes);
            records.push((Key::Learned.text(), learned.encode_to_vec().into()));
        }
        if !records.is_empty() {
            self.writer.effects = self.collect_effects(&written);
            self.writer.effects.no_longer_silent = no_longer_silent;
            self.writer.effects.retired = retired;
            self.writer.progress.begin(records, now_ms);
        }
    }

    /// Records which workers are listed, where that has changed. A successor needs their addresses
    /// at once to extend leases, and the platform's list may be unavailable then.
    fn record_workers(&mut self, records: &mut Records) {
        for id in std::mem::take(&mut self.unrecorded_workers) {
            let known = self.worker_keys.get(&id);
            match known.map(|key| &self.workers[*key]) {
                Some(worker) if worker.is_listed => {
                    let entry = WorkerEntry {
                        cold_ms: 0,
                        // Its recorded runs belong to this incarnation.
                        incarnation: worker.incarnation,
                        ..worker.entry.clone()
                    };
                    let restart = worker.restart.map(|restart| restart.record());
                    let is_recorded = self.recorded_workers.get(&id) == Some(&entry)
                        && self.recorded_restarts.get(&id) == restart.as_ref();
                    if !is_recorded {
                        let value = WorkerRecord::new(&entry, restart).encode_to_vec();
                        records.push((Key::Worker(id.clone()).text(), value.into()));
                        set_or_remove(&mut self.recorded_restarts, &id, restart);
                        self.recorded_workers.insert(id, entry);
                    }
                }
                // A successor needs the address of a worker with recorded runs to find out what
                // became of it.
                Some(worker) if !worker.runs.is_empty() => drop(self.unrecorded_workers.insert(id)),
                _ => {
                    self.recorded_restarts.remove(&id);
                    if self.recorded_workers.remove(&id).is_some() {
                        records.push((Key::Worker(id).text(), Box::default()));
                    }
                }
            }
        }
    }

    /// Acknowledges exits that changed nothing, as they need no record before workers forget them.
    fn acknowledge_exits_without_effect(&mut self) {
        if !self.is_caught_up {
            return;
        }
        for key in self.workers.with_unrecorded_exits() {
            let worker = &mut self.workers[key];
            worker.recorded_exit = worker.handled_exit;
            worker.next_poll_ms = 0;
        }
    }

    /// Collects the actions that follow once the records of these jobs are stored.
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
            for key in self.workers.with_unrecorded_exits() {
                effects
                    .acknowledged_exit
                    .push((key, self.workers[key].handled_exit));
            }
        }
        effects
    }

    fn begin_states_append(&mut self, now_ms: u64) {
        let may_wait =
            now_ms < self.writer.states.last_begin_ms + HEARTBEAT_MS && !self.writer.must_announce;
        if !self.writer.has_urgent_states() && may_wait {
            return;
        }
        let mut records = Vec::new();
        for job in self.writer.retired_states.drain(..) {
            records.push((Key::State(job).text(), Box::default()));
        }
        for (job, state) in self.writer.unpublished.drain(..) {
            if state.phase().is_final() {
                self.timeline.begin_publishing(job);
            }
            records.push((Key::State(job).text(), state.encode_to_vec().into()));
        }
        if records.is_empty() || self.writer.must_announce {
            records.push(self.owner_record(now_ms));
            self.writer.must_announce = false;
        }
        self.writer.states.begin(records, now_ms);
    }

    /// Returns the offset after the newest record that this owner has stored in the stream of
    /// states; 0 if there is none.
    pub(super) fn stored_states_end(&self) -> u64 {
        self.writer.states.stored_end
    }

    fn owner_record(&mut self, now_ms: u64) -> (Box<str>, Box<[u8]>) {
        self.writer.heartbeat += 1;
        let record = OwnerRecord {
            token: self.token,
            host: self.host.to_string(),
            is_leaving: self.is_leaving,
            heartbeat: self.writer.heartbeat,
            informs_hosts: self.uses_relays,
            strongest_permille: self.survey.strongest_permille,
            strong_hosts: self.survey.strong_hosts,
            claim_age_ms: self.owner_time(now_ms).claim_age_ms,
        };
        record.row()
    }

    /// Handles the outcome of the append with this ticket, if it is one of this owner. Gives the
    /// states that may be published from now on.
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
                if is_stored {
                    self.report_published(now_ms, actions);
                }
                return Some(Vec::new());
            }
        };
        self.apply_append_outcome(outcome, is_progress, self.writer.progress.sent_ms);
        self.account_append(outcome, self.writer.progress.sent_ms, now_ms);
        if !is_progress {
            return Some(Vec::new());
        }
        let effects = std::mem::take(&mut self.writer.effects);
        for id in effects.no_longer_silent {
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
            match self.writer.progress.sent_ms < self.resumed_ms {
                true => self.record_start_again(worker, task, run),
                false => self.send_start(worker, task, run, now, tickets, actions),
            }
        }
        self.writer.unpublished.extend_from_slice(&effects.states);
        self.writer.retired_states.extend(effects.retired);
        self.remove_finished_jobs();
        Some(effects.states)
    }

    /// Records a run once more before it is ordered to start. Its record was sent before this host
    /// paused, so another one may own by now, have run the task, and have noted its end.
    fn record_start_again(&mut self, key: WorkerKey, task: TaskId, run: u32) {
        if !self.is_recording(key, task, run) {
            return;
        }
        self.writer.start_once_stored(key, task, run);
        if let Some(job) = self.job_keys.get(&task.job) {
            self.jobs[*job].is_dirty = true;
        }
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

    /// Removes jobs whose end is recorded.
    fn remove_finished_jobs(&mut self) {
        let (jobs, keys, finished_jobs) =
            (&mut self.jobs, &mut self.job_keys, &mut self.finished_jobs);
        self.live_jobs.retain(|key| {
            let job = &jobs[*key];
            let is_retained = !job.phase.is_final() || job.is_dirty;
            if !is_retained {
                keys.remove(&job.id);
                finished_jobs.insert(job.id, job.submission.clone());
                jobs.remove(*key);
            }
            is_retained
        });
    }

    /// Deletes the progress of a job, and then its state, once its submission is deleted.
    pub(crate) fn retire(&mut self, job: JobId) {
        self.finished_jobs.remove(&job);
        self.writer.retired.push(job);
    }

    /// Lists the states that follow from the stored progress and are not published yet, such as
    /// those that a previous owner left.
    pub(crate) fn unpublished(&self) -> &[(JobId, StateRecord)] {
        &self.writer.unpublished
    }

    /// Returns whether the order to start a run still waits for its record to be stored.
    pub(crate) fn is_recording(&self, worker: WorkerKey, task: TaskId, run: u32) -> bool {
        self.workers
            .get(worker)
            .and_then(|worker| worker.runs.get(&(task, run)))
            .is_some_and(|run| run.phase == RunPhase::Recording)
    }
}
