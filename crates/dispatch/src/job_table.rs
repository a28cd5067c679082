//! The jobs, the owner and the entry hosts, as this host has read them from the streams.

use crate::config::WorkerEntry;
use crate::event::Now;
use crate::event::StoredRecord;
use crate::ids::JobId;
use crate::policy::claim_sightings::ClaimSightings;
use crate::record::HostRecord;
use crate::record::JobPhase;
use crate::record::Key;
use crate::record::Learned;
use crate::record::OwnerRecord;
use crate::record::Progress;
use crate::record::StateRecord;
use crate::record::Submission;
use crate::worker_record::RestartRecord;
use crate::worker_record::WorkerRecord;
use crate::worker_record::set_or_remove;
use prost::Message;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;

/// State of a job as callers see it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have succeeded.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// Its caller has cancelled it.
    Cancelled,
}

impl JobState {
    /// Returns whether the job has ended, so that cancelling it has no effect.
    pub(crate) fn is_final(self) -> bool {
        !matches!(self, JobState::Queued | JobState::Running)
    }
}

/// A job as recorded in the streams.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobRecord {
    /// Its submission; `None` until it was read.
    pub(crate) submission: Option<Rc<Submission>>,
    /// Whether its cancellation was read.
    pub(crate) is_cancelled: bool,
    state: StateRecord,
    /// Time on the steady clock since which this host knows that it has ended, set by the search
    /// that finds it first.
    ended_since_ms: Option<u64>,
    /// Time on the steady clock before which it was not accepted; `None` if unknown.
    pub(crate) not_before_ms: Option<u64>,
}

impl JobRecord {
    pub(crate) fn phase(&self) -> JobPhase {
        self.state.phase()
    }

    /// Returns the phase that a previous owner has recorded. What it has published counts also if
    /// the progress is older, or deleted already.
    pub(crate) fn recorded_phase(&self, progress: Option<&Progress>) -> JobPhase {
        let recorded = progress.map_or(JobPhase::Queued, Progress::phase);
        match recorded.stage() > self.phase().stage() {
            true => recorded,
            false => self.phase(),
        }
    }

    /// Returns the time since its acceptance, by the time of day that another host has recorded. A
    /// time that can't be true shows nothing: records are mostly read just after they were stored.
    pub(crate) fn age_ms(&self, now: Now) -> u64 {
        let accepted_wall_ms = self
            .submission
            .as_ref()
            .map_or(now.wall_ms, |submission| submission.accepted_wall_ms);
        let age_ms = now.wall_ms.saturating_sub(accepted_wall_ms);
        let max_age_ms = self
            .not_before_ms
            .map_or(u64::MAX, |not_before_ms| now.steady_ms - not_before_ms);
        match age_ms > max_age_ms {
            true => 0,
            false => age_ms,
        }
    }

    /// Returns for how long this host has known that it has ended; `None` if it has not. The time
    /// of day at its end, which is on record, shows nothing: it is from the clock of another host,
    /// and either clock may have jumped since.
    pub(crate) fn known_ended_ms(&mut self, now_ms: u64) -> Option<u64> {
        if !self.has_ended() {
            return None;
        }
        Some(now_ms - *self.ended_since_ms.get_or_insert(now_ms))
    }

    /// Returns whether nothing of it will run.
    fn has_ended(&self) -> bool {
        self.phase().is_final() || self.is_only_cancelled()
    }

    /// Returns whether nothing is known of it but its cancellation.
    pub(crate) fn is_only_cancelled(&self) -> bool {
        self.is_cancelled && self.submission.is_none() && !self.phase().is_final()
    }

    pub(crate) fn state(&self) -> JobState {
        match self.phase() {
            JobPhase::Completed => JobState::Completed,
            JobPhase::Failed => JobState::Failed,
            JobPhase::Cancelled => JobState::Cancelled,
            _ if self.is_cancelled => JobState::Cancelled,
            JobPhase::Queued => JobState::Queued,
            JobPhase::Running => JobState::Running,
        }
    }
}

/// The effect of a record on the [`JobTable`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// A job is new.
    Submitted(JobId),
    /// A job is cancelled.
    Cancelled(JobId),
    /// The owner has sent a heartbeat, or there is a new owner.
    Owner,
    /// A host has announced itself.
    Host,
    /// Nothing relevant.
    Nothing,
}

/// State of the previous owner, as a host that becomes the owner reads it: the progress of all
/// jobs, learned data and workers.
#[derive(Debug, Default)]
pub(crate) struct RecoveredState {
    pub(crate) jobs: HashMap<JobId, Progress>,
    pub(crate) learned: Learned,
    /// The last entry of each worker that the previous owner has read.
    pub(crate) workers: BTreeMap<Box<str>, WorkerEntry>,
    /// Restarts of workers under their ids that previous owners knew of.
    pub(crate) restarts: BTreeMap<Box<str>, RestartRecord>,
    /// Claims that this host knows of, by which it understands recorded times.
    pub(crate) claim_sightings: ClaimSightings,
    /// When the claim of the host itself was sent.
    pub(crate) claim_sent_ms: u64,
}

impl RecoveredState {
    /// Applies a record of the stream of progress.
    pub(crate) fn apply(&mut self, record: &StoredRecord) {
        match Key::parse(&record.key) {
            Some(Key::Progress(id)) if !record.value.is_empty() => {
                if let Ok(progress) = Progress::decode(&*record.value) {
                    self.jobs.insert(id, progress);
                }
            }
            Some(Key::Worker(id)) if record.value.is_empty() => {
                self.workers.remove(&id);
                self.restarts.remove(&id);
            }
            Some(Key::Worker(id)) => {
                // A worker whose record can't be decoded is found in the platform's list.
                if let Ok(worker) = WorkerRecord::decode(&*record.value) {
                    self.workers.insert(id.clone(), worker.entry(&id));
                    set_or_remove(&mut self.restarts, &id, worker.restart);
                }
            }
            // Data that can't be decoded is learned again.
            Some(Key::Learned) => {
                self.learned = Learned::decode(&*record.value).unwrap_or_default();
            }
            _ => {}
        }
    }
}

/// All jobs in the streams, the owner, and the entry hosts.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    pub(crate) jobs: HashMap<JobId, JobRecord>,
    pub(crate) owner: OwnerRecord,
    owner_offset: u64,
    /// Number of jobs of which only a cancellation is known, as far as it has changed since the last
    /// count by [`JobTable::count_only_cancelled`].
    only_cancelled: usize,
    /// Entry hosts that have announced themselves; some may be down for good.
    pub(crate) hosts: HashMap<Box<str>, HostRecord>,
}

impl JobTable {
    /// Applies a record. Records of a key may be repeated and may come in any order.
    pub(crate) fn apply(&mut self, record: &StoredRecord) -> Change {
        match Key::parse(&record.key) {
            Some(Key::Submitted(id)) => self.apply_submission(id, &record.value),
            Some(Key::Cancelled(id)) => self.apply_cancellation(id, &record.value),
            Some(Key::State(id)) => self.apply_state(id, &record.value),
            Some(Key::Owner) => self.apply_owner(record),
            Some(Key::Host(name)) => {
                // A record that can't be decoded counts as a host without processor time.
                let host = HostRecord::decode(&*record.value).unwrap_or_default();
                self.hosts.insert(name, host);
                Change::Host
            }
            Some(Key::Progress(_) | Key::Learned | Key::Worker(_)) | None => Change::Nothing,
        }
    }

    fn apply_submission(&mut self, id: JobId, value: &[u8]) -> Change {
        if value.is_empty() {
            self.forget_submission(id);
            return Change::Nothing;
        }
        let Ok(submission) = Submission::decode(value) else {
            return Change::Nothing;
        };
        let job = self.jobs.entry(id).or_default();
        // A caller that got no answer submits again, which must not create a second job.
        if job.submission.is_some() {
            return Change::Nothing;
        }
        job.submission = Some(Rc::new(submission));
        job.ended_since_ms = None;
        Change::Submitted(id)
    }

    /// Forgets a submission that the owner has deleted. That the job has ended stays known until the
    /// owner deletes its state as well: it may die before that, and the next owner continues. A
    /// cancellation stays known, as it may be newer than the deletion.
    fn forget_submission(&mut self, id: JobId) {
        match self.jobs.get_mut(&id) {
            Some(job) if job.phase().is_final() || job.is_cancelled => job.submission = None,
            _ => drop(self.jobs.remove(&id)),
        }
    }

    /// Applies a cancellation, also of a job that is not known: its submission may still be stored.
    /// That a cancellation was deleted has no effect, as partitions are read in any order and
    /// another one may hold a newer cancellation. Time ends it.
    fn apply_cancellation(&mut self, id: JobId, value: &[u8]) -> Change {
        if value.is_empty() {
            return Change::Nothing;
        }
        let job = self.jobs.entry(id).or_default();
        if job.submission.is_none() {
            job.ended_since_ms = None;
        }
        if job.is_cancelled {
            return Change::Nothing;
        }
        job.is_cancelled = true;
        self.only_cancelled += usize::from(job.is_only_cancelled());
        Change::Cancelled(id)
    }

    fn apply_state(&mut self, id: JobId, value: &[u8]) -> Change {
        if value.is_empty() {
            self.forget_state(id);
        } else if let Ok(state) = StateRecord::decode(value) {
            self.set_state(id, state);
        }
        Change::Nothing
    }

    /// Forgets the state of a finished job that the owner has deleted, but not a cancellation.
    fn forget_state(&mut self, id: JobId) {
        match self.jobs.get_mut(&id) {
            Some(job) if job.phase().is_final() && job.is_cancelled => {
                job.state = StateRecord::default();
            }
            Some(job) if job.phase().is_final() => drop(self.jobs.remove(&id)),
            _ => {}
        }
    }

    /// Returns the number of jobs of which only a cancellation is known, and not less: jobs that have
    /// been submitted or forgotten since the last count are included.
    pub(crate) fn only_cancelled(&self) -> usize {
        self.only_cancelled
    }

    /// Counts the jobs of which only a cancellation is known, which is a pass over all jobs.
    pub(crate) fn count_only_cancelled(&mut self) {
        let jobs = self.jobs.values();
        self.only_cancelled = jobs.filter(|job| job.is_only_cancelled()).count();
    }

    /// Returns whether the submission of a job was read.
    pub(crate) fn is_submitted(&self, id: JobId) -> bool {
        let job = self.jobs.get(&id);
        job.is_some_and(|job| job.submission.is_some())
    }

    /// Applies the state of a job. States never go back, so older ones that are read again have no
    /// effect.
    pub(crate) fn set_state(&mut self, id: JobId, state: StateRecord) {
        let job = self.jobs.entry(id).or_default();
        if state.phase().stage() > job.phase().stage() {
            job.state = state;
        }
    }

    fn apply_owner(&mut self, record: &StoredRecord) -> Change {
        let Ok(owner) = OwnerRecord::decode(&*record.value) else {
            return Change::Nothing;
        };
        // A claim with a lower token may be read after the one that fences it.
        if owner.token > self.owner.token
            || (owner.token == self.owner.token && record.offset >= self.owner_offset)
        {
            self.owner = owner;
            self.owner_offset = record.offset;
        }
        Change::Owner
    }

    /// Counts the jobs of a queue none of whose tasks has started.
    pub(crate) fn count_waiting(&self, queue: &str) -> u64 {
        let mut count = 0;
        for job in self.jobs.values() {
            let Some(submission) = &job.submission else {
                continue;
            };
            if *submission.queue == *queue && job.state() == JobState::Queued {
                count += 1;
            }
        }
        count
    }
}
