//! What the streams of jobs and progress say, as far as this host has read them.

use crate::config::WorkerEntry;
use crate::event::StoredRecord;
use crate::ids::JobId;
use crate::record::HostRecord;
use crate::record::JobPhase;
use crate::record::Key;
use crate::record::Learned;
use crate::record::OwnerRecord;
use crate::record::Progress;
use crate::record::StateRecord;
use crate::record::Submission;
use crate::worker_record::WorkerRecord;
use prost::Message;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;

/// Where a job stands, as told to callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks have ended well.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Its caller has cancelled it.
    Cancelled,
}

impl JobState {
    /// Tells whether cancelling changes nothing any more.
    pub(crate) fn is_over(self) -> bool {
        !matches!(self, JobState::Queued | JobState::Running)
    }
}

/// A job on record.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobRecord {
    /// The job, once its submission was read.
    pub(crate) submission: Option<Rc<Submission>>,
    /// Its cancelling was read.
    pub(crate) is_cancelled: bool,
    state: StateRecord,
}

impl JobRecord {
    pub(crate) fn phase(&self) -> JobPhase {
        self.state.phase()
    }

    /// Gives when it became final, in milliseconds since 1970.
    pub(crate) fn final_wall_ms(&self) -> Option<u64> {
        self.phase().is_final().then_some(self.state.final_wall_ms)
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

/// What a record changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Change {
    /// A job is new.
    Submitted(JobId),
    /// A job is cancelled.
    Cancelled(JobId),
    /// The owner has given a sign of life, or there is a new one.
    Owner,
    /// A host has announced itself.
    Host,
    /// Nothing that matters.
    Nothing,
}

/// The progress of all jobs and what was learned, as a host that becomes owner reads it.
#[derive(Debug, Default)]
pub(crate) struct RecoveredState {
    pub(crate) jobs: HashMap<JobId, Progress>,
    pub(crate) learned: Learned,
    /// Workers as the former owner last saw them listed.
    pub(crate) workers: BTreeMap<Box<str>, WorkerEntry>,
}

impl RecoveredState {
    /// Takes in one record of the stream of progress.
    pub(crate) fn apply(&mut self, record: &StoredRecord) {
        match Key::parse(&record.key) {
            Some(Key::Progress(id)) if !record.value.is_empty() => {
                if let Ok(progress) = Progress::decode(&*record.value) {
                    self.jobs.insert(id, progress);
                }
            }
            Some(Key::Worker(id)) if record.value.is_empty() => {
                self.workers.remove(&id);
            }
            Some(Key::Worker(id)) => {
                // One that can't be read is met with the platform's own list.
                if let Ok(worker) = WorkerRecord::decode(&*record.value) {
                    self.workers.insert(id.clone(), worker.entry(&id));
                }
            }
            // What can't be read is learned anew.
            Some(Key::Learned) => {
                self.learned = Learned::decode(&*record.value).unwrap_or_default();
            }
            _ => {}
        }
    }
}

/// All jobs on record, and the owner.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    pub(crate) jobs: HashMap<JobId, JobRecord>,
    pub(crate) owner: OwnerRecord,
    owner_offset: u64,
    /// Entry hosts that have announced themselves, some of which may be gone.
    pub(crate) hosts: HashMap<Box<str>, HostRecord>,
}

impl JobTable {
    /// Takes in one record. Records of a key may come again and in any order.
    pub(crate) fn apply(&mut self, record: &StoredRecord) -> Change {
        match Key::parse(&record.key) {
            Some(Key::Submitted(id)) => self.submit(id, &record.value),
            Some(Key::Cancelled(id)) => self.cancel(id, &record.value),
            Some(Key::State(id)) => self.state(id, &record.value),
            Some(Key::Owner) => self.own(record),
            Some(Key::Host(name)) => {
                // What can't be read counts as a host without processor time.
                let host = HostRecord::decode(&*record.value).unwrap_or_default();
                self.hosts.insert(name, host);
                Change::Host
            }
            Some(Key::Progress(_) | Key::Learned | Key::Worker(_)) | None => Change::Nothing,
        }
    }

    fn submit(&mut self, id: JobId, value: &[u8]) -> Change {
        if value.is_empty() {
            self.jobs.remove(&id);
            return Change::Nothing;
        }
        let Ok(submission) = Submission::decode(value) else {
            return Change::Nothing;
        };
        let job = self.jobs.entry(id).or_default();
        // A caller that got no answer submits again; it remains one job.
        if job.submission.is_some() {
            return Change::Nothing;
        }
        job.submission = Some(Rc::new(submission));
        Change::Submitted(id)
    }

    fn cancel(&mut self, id: JobId, value: &[u8]) -> Change {
        if value.is_empty() {
            return Change::Nothing;
        }
        let job = self.jobs.entry(id).or_default();
        if job.is_cancelled {
            return Change::Nothing;
        }
        job.is_cancelled = true;
        Change::Cancelled(id)
    }

    fn state(&mut self, id: JobId, value: &[u8]) -> Change {
        if let Ok(state) = StateRecord::decode(value)
            && !value.is_empty()
        {
            self.set_state(id, state);
        }
        Change::Nothing
    }

    /// Takes in the state of a job. States are facts and never go back, so older ones that
    /// are read again change nothing.
    pub(crate) fn set_state(&mut self, id: JobId, state: StateRecord) {
        let job = self.jobs.entry(id).or_default();
        if state.phase().stage() > job.phase().stage() {
            job.state = state;
        }
    }

    fn own(&mut self, record: &StoredRecord) -> Change {
        let Ok(owner) = OwnerRecord::decode(&*record.value) else {
            return Change::Nothing;
        };
        // A claim may stand before another with a higher token that fences it.
        if owner.token > self.owner.token
            || (owner.token == self.owner.token && record.offset >= self.owner_offset)
        {
            self.owner = owner;
            self.owner_offset = record.offset;
        }
        Change::Owner
    }

    /// Counts the jobs of a queue of which no task has started.
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
