//! The jobs of one cell of keys: each is accepted once, and started or resumed in one
//! place at a time.
//!
//! The owner of the cell writes each step that later owners must know to the log
//! before it acts on the step: accepted, assigned, evicted, ended. A later owner
//! reads these records and asks the cell of workers named in an open assignment for
//! the job's outcome. It never assigns the job again by assumption.
//!
//! All jobs of a team are in one cell, which makes quotas exact.

mod queues;
mod recovery;

use crate::ids::Cell;
use crate::macros::plain;
use crate::record::FailureCounts;
use crate::record::JobEnd;
use crate::record::JobSpec;
use goldcrestway_inventory::Resources;
use slotmap::SlotMap;
use std::collections::HashMap;
use std::collections::VecDeque;

slotmap::new_key_type! {
    /// Key of a job within its cell.
    pub struct JobKey;
    /// Key of a team within its cell.
    pub struct TeamKey;
}

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// Its acceptance is being written to the log.
    Accepting,
    /// It waits for resources.
    Queued,
    /// A cell of workers was asked for resources.
    Reserving {
        /// The cell.
        cell: Cell,
        /// Time at which it was asked.
        asked_ms: u64,
    },
    /// Its assignment is being written to the log.
    Assigning {
        /// The cell of workers.
        cell: Cell,
    },
    /// The cell of workers was ordered to start it, or must report its outcome.
    Starting {
        /// The cell.
        cell: Cell,
        /// Time of the latest order.
        asked_ms: u64,
    },
    /// The job runs.
    Running {
        /// The cell.
        cell: Cell,
    },
    /// It has stopped or ended, and this is being written to the log. Until that is
    /// done, the cell of workers has the only record of it.
    Recording {
        /// The cell.
        cell: Cell,
    },
    /// The job has ended.
    Ended {
        /// Its outcome.
        end: JobEnd,
        /// Time at which this owner learned of it.
        since_ms: u64,
    },
}

plain! {
    /// One job.
    pub struct Job {
        /// Identity, team and kind.
        pub spec: JobSpec,
        /// Its team.
        pub team: TeamKey,
        /// Number of its latest attempt; the first one is 1.
        pub attempt: u32,
        /// Checkpoint at which it resumes; 0 for the beginning.
        pub checkpoint: u64,
        /// Its failures and crashes so far.
        pub failure_counts: FailureCounts,
        /// Its state.
        pub state: JobState,
        /// Time at which it was last queued.
        pub queued_ms: u64,
        /// Refused requests for resources since it was queued.
        pub refusals: u32,
        /// Time before which it is not tried again.
        pub retry_at_ms: u64,
        /// Resources that its team is charged while the job holds them.
        pub charged: Resources,
    }
}

#[derive(Debug, Clone, Default)]
struct Team {
    name: Box<str>,
    held: Resources,
    urgent: VecDeque<JobKey>,
    batch: VecDeque<JobKey>,
    is_in_ring: bool,
}

/// Result of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submission {
    /// The job is new; its record must reach the log before it counts as accepted.
    New(JobKey),
    /// The job is known and in this state.
    Known(JobState),
}

/// The jobs of one cell.
#[derive(Debug, Clone, Default)]
pub struct JobTable {
    jobs: SlotMap<JobKey, Job>,
    by_id: HashMap<Box<str>, JobKey>,
    teams: SlotMap<TeamKey, Team>,
    team_by_name: HashMap<Box<str>, TeamKey>,
    ring: VecDeque<TeamKey>,
    ended: VecDeque<(u64, JobKey)>,
    open: VecDeque<JobKey>,
}

impl JobTable {
    /// Adds a job unless its identity is known.
    pub fn submit(&mut self, now_ms: u64, spec: &JobSpec) -> Submission {
        if let Some(key) = self.by_id.get(&spec.id) {
            return Submission::Known(self.jobs[*key].state);
        }
        Submission::New(self.insert(now_ms, spec, JobState::Accepting))
    }

    /// Removes a job whose acceptance never reached the log.
    pub fn withdraw(&mut self, id: &str) {
        let Some(key) = self.by_id.get(id).copied() else {
            return;
        };
        if self.jobs[key].state == JobState::Accepting {
            self.jobs.remove(key);
            self.by_id.remove(id);
        }
    }

    fn insert(&mut self, now_ms: u64, spec: &JobSpec, state: JobState) -> JobKey {
        let team = self.team(&spec.team);
        let key = self.jobs.insert(Job {
            spec: spec.clone(),
            team,
            attempt: 0,
            checkpoint: 0,
            failure_counts: FailureCounts::default(),
            state,
            queued_ms: now_ms,
            refusals: 0,
            retry_at_ms: 0,
            charged: Resources::default(),
        });
        self.by_id.insert(spec.id.clone(), key);
        key
    }

    fn team(&mut self, name: &str) -> TeamKey {
        if let Some(key) = self.team_by_name.get(name) {
            return *key;
        }
        let key = self.teams.insert(Team {
            name: name.into(),
            ..Team::default()
        });
        self.team_by_name.insert(name.into(), key);
        key
    }

    /// Returns the job with an identity and its key.
    pub fn find(&self, id: &str) -> Option<(JobKey, &Job)> {
        let key = self.by_id.get(id)?;
        Some((*key, &self.jobs[*key]))
    }

    /// Returns the job with a key.
    pub fn get(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Returns all jobs.
    pub fn list(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the number of known jobs, including those that have ended.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no job is known.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Sets the state of a job.
    pub fn set_state(&mut self, key: JobKey, state: JobState) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.state = state;
        let is_open = matches!(
            state,
            JobState::Starting { .. } | JobState::Reserving { .. }
        );
        if is_open {
            self.open.push_back(key);
        }
    }

    /// Begins the next attempt of a job; returns its number.
    pub fn begin_attempt(&mut self, key: JobKey) -> u32 {
        let job = &mut self.jobs[key];
        job.attempt += 1;
        job.attempt
    }

    /// Records that a job has ended.
    pub fn end(&mut self, now_ms: u64, key: JobKey, end: JobEnd) {
        self.discharge(key);
        self.ended.push_back((now_ms, key));
        self.set_state(
            key,
            JobState::Ended {
                end,
                since_ms: now_ms,
            },
        );
    }

    /// Removes jobs that ended longer than `window_ms` ago.
    pub fn forget_ended(&mut self, now_ms: u64, window_ms: u64) {
        while let Some((since_ms, key)) = self.ended.front().copied() {
            if now_ms < since_ms + window_ms {
                break;
            }
            self.ended.pop_front();
            if let Some(job) = self.jobs.remove(key) {
                self.by_id.remove(&job.spec.id);
            }
        }
    }

    /// Returns jobs whose cell of workers has not answered for `answer_timeout_ms`,
    /// and stops tracking them until their state is set again.
    pub fn overdue(&mut self, now_ms: u64, answer_timeout_ms: u64) -> Vec<JobKey> {
        let mut overdue = Vec::new();
        for _ in 0..self.open.len() {
            let Some(key) = self.open.pop_front() else {
                break;
            };
            let asked_ms = match self.jobs.get(key).map(|job| job.state) {
                Some(JobState::Starting { asked_ms, .. }) => asked_ms,
                Some(JobState::Reserving { asked_ms, .. }) => asked_ms,
                _ => continue,
            };
            if now_ms < asked_ms + answer_timeout_ms {
                self.open.push_back(key);
                continue;
            }
            overdue.push(key);
        }
        overdue
    }
}
