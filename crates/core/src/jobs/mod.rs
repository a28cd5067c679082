//! The jobs of one key cell: accepted once, started in one place, resumed once.
//!
//! The owner of the cell writes each step that must not be forgotten into the log
//! before it acts on it: accepted, assigned, evicted, ended. A later owner reads
//! them and asks the cell of workers that an open assignment names what became of
//! it; it never assigns the job a second time on its own guess.
//!
//! All jobs of a team live in one cell, so quotas are counted exactly.

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

/// Where a job stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobState {
    /// Its record is on the way into the log.
    Accepting,
    /// It waits for room.
    Queued,
    /// A cell of workers was asked for room.
    Reserving {
        /// The cell.
        cell: Cell,
        /// When it was asked.
        asked_ms: u64,
    },
    /// Its assignment is on the way into the log.
    Assigning {
        /// The cell of workers.
        cell: Cell,
    },
    /// The cell of workers was told to start it, or must say what became of it.
    Starting {
        /// The cell.
        cell: Cell,
        /// When it was last told.
        asked_ms: u64,
    },
    /// It runs.
    Running {
        /// The cell.
        cell: Cell,
    },
    /// It stopped or ended, and the record of that is on the way into the log. Until
    /// it stands there, the cell of workers is the one to ask.
    Recording {
        /// The cell.
        cell: Cell,
    },
    /// It has ended.
    Ended {
        /// How.
        end: JobEnd,
        /// When this owner learned of it.
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
        /// Where it resumes; 0 for the beginning.
        pub checkpoint: u64,
        /// What speaks against it so far.
        pub failure_counts: FailureCounts,
        /// Where it stands.
        pub state: JobState,
        /// When it was queued last.
        pub queued_ms: u64,
        /// Asked for room in vain that often since it was queued.
        pub refusals: u32,
        /// Is not tried again before this time.
        pub retry_at_ms: u64,
        /// What its team is charged while it holds room.
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

/// What a submission is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Submission {
    /// New; its record must reach the log before it counts as accepted.
    New(JobKey),
    /// Known already.
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
    /// Enters a job unless its identity is known.
    pub fn submit(&mut self, now_ms: u64, spec: &JobSpec) -> Submission {
        if let Some(key) = self.by_id.get(&spec.id) {
            return Submission::Known(self.jobs[*key].state);
        }
        Submission::New(self.insert(now_ms, spec, JobState::Accepting))
    }

    /// Forgets a job whose acceptance never reached the log.
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

    /// Finds a job.
    pub fn find(&self, id: &str) -> Option<(JobKey, &Job)> {
        let key = self.by_id.get(id)?;
        Some((*key, &self.jobs[*key]))
    }

    /// Gives the job behind `key`.
    pub fn get(&self, key: JobKey) -> Option<&Job> {
        self.jobs.get(key)
    }

    /// Lists all jobs.
    pub fn list(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Counts the jobs that are known, ended ones included.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Tells whether no job is known.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Moves a job to `state`.
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

    /// Starts the next attempt of a job; gives its number.
    pub fn begin_attempt(&mut self, key: JobKey) -> u32 {
        let job = &mut self.jobs[key];
        job.attempt += 1;
        job.attempt
    }

    /// Notes that a job has ended.
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

    /// Forgets jobs that ended longer than `window_ms` ago.
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

    /// Gives jobs whose cell of workers has not answered for `patience_ms`.
    pub fn overdue(&mut self, now_ms: u64, patience_ms: u64) -> Vec<JobKey> {
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
            if now_ms < asked_ms + patience_ms {
                self.open.push_back(key);
                continue;
            }
            overdue.push(key);
        }
        overdue
    }
}
