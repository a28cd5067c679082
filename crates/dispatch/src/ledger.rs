//! What the streams of jobs and progress say, as far as this host has read them.

use crate::event::StoredRecord;
use crate::ids::JobId;
use crate::record::HostRecord;
use crate::record::JobPhase;
use crate::record::Key;
use crate::record::Learned;
use crate::record::OwnerRecord;
use crate::record::Progress;
use crate::record::Submission;
use prost::Message;
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

/// A job on record.
#[derive(Debug, Clone, Default)]
pub(crate) struct JobRecord {
    /// The job, once its submission was read.
    pub(crate) submission: Option<Rc<Submission>>,
    /// Its progress, once there is any.
    pub(crate) progress: Option<Rc<Progress>>,
    /// Its cancelling was read.
    pub(crate) is_cancelled: bool,
    progress_offset: u64,
}

impl JobRecord {
    pub(crate) fn phase(&self) -> JobPhase {
        match &self.progress {
            Some(progress) => progress.phase(),
            None => JobPhase::Queued,
        }
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
    /// A job has progressed.
    Progressed,
    /// The owner has given a sign of life, or there is a new one.
    Owner,
    /// Nothing that matters.
    Nothing,
}

/// All jobs on record, and the owner.
#[derive(Debug, Default)]
pub(crate) struct Ledger {
    pub(crate) jobs: HashMap<JobId, JobRecord>,
    pub(crate) owner: OwnerRecord,
    owner_offset: u64,
    /// What owners have learned, as written last.
    pub(crate) learned: Learned,
    /// Entry hosts that have announced themselves, some of which may be gone.
    pub(crate) hosts: HashMap<Box<str>, HostRecord>,
}

impl Ledger {
    /// Takes in one record. Records of a key may come again and in any order.
    pub(crate) fn apply(&mut self, record: &StoredRecord) -> Change {
        match Key::parse(&record.key) {
            Some(Key::Submitted(id)) => self.submit(id, &record.value),
            Some(Key::Cancelled(id)) => self.cancel(id, &record.value),
            Some(Key::Progress(id)) => self.progress(id, record),
            Some(Key::Owner) => self.own(record),
            Some(Key::Host(name)) => {
                // What can't be read counts as a host without processor time.
                let host = HostRecord::decode(&*record.value).unwrap_or_default();
                self.hosts.insert(name, host);
                Change::Nothing
            }
            Some(Key::Learned) => {
                // What can't be read is learned anew.
                self.learned = Learned::decode(&*record.value).unwrap_or_default();
                Change::Nothing
            }
            None => Change::Nothing,
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

    fn progress(&mut self, id: JobId, record: &StoredRecord) -> Change {
        if record.value.is_empty() {
            return Change::Progressed;
        }
        let Ok(progress) = Progress::decode(&*record.value) else {
            return Change::Nothing;
        };
        let job = self.jobs.entry(id).or_default();
        if job.progress.is_none() || record.offset >= job.progress_offset {
            job.progress = Some(Rc::new(progress));
            job.progress_offset = record.offset;
        }
        Change::Progressed
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

    /// Drops the progress that a reloaded stream no longer holds, and all it held.
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
