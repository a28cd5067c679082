//! The jobs of one key cell: accepted once, started in one place, resumed once.
//!
//! The owner of the cell writes each step that must not be forgotten into the log
//! before it acts on it: accepted, assigned, evicted, ended. A later owner reads
//! them and asks the cell of workers that an open assignment names what became of
//! it; it never assigns the job a second time on its own guess.
//!
//! All jobs of a team live in one cell, so quotas are counted exactly.

use crate::ids::Cell;
use crate::macros::plain;
use crate::record::JobEnd;
use crate::record::JobSpec;
use crate::record::Record;
use goldcrestway_inventory::Inventory;
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
        /// Where it stands.
        pub state: JobState,
        /// When it was queued last.
        pub queued_ms: u64,
        /// Asked for room in vain that often since it was queued.
        pub refusals: u32,
        /// Is not tried again before this time.
        pub rests_until_ms: u64,
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
            state,
            queued_ms: now_ms,
            refusals: 0,
            rests_until_ms: 0,
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

    /// Puts a job at the end of its team's queue, or at its head if it had waited.
    pub fn queue(&mut self, now_ms: u64, key: JobKey, is_urgent: bool, at_head: bool) {
        self.discharge(key);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.state = JobState::Queued;
        if !at_head {
            job.queued_ms = now_ms;
        }
        let team = &mut self.teams[job.team];
        let queue = if is_urgent {
            &mut team.urgent
        } else {
            &mut team.batch
        };
        if at_head {
            queue.push_front(key);
        } else {
            queue.push_back(key);
        }
        if !team.is_in_ring {
            team.is_in_ring = true;
            self.ring.push_back(job.team);
        }
    }

    /// Takes the next job that its team's quota allows, urgent ones first.
    ///
    /// Teams take turns, so none starves behind a large one; within a team the
    /// oldest goes first, and a job that must rest after a refusal keeps its place
    /// without holding up teams behind it.
    pub fn next(&mut self, now_ms: u64, inventory: &Inventory) -> Option<JobKey> {
        for wants_urgent in [true, false] {
            for _ in 0..self.ring.len() {
                let team = self.ring.pop_front()?;
                let taken = self.take(now_ms, team, wants_urgent, inventory);
                let entry = &mut self.teams[team];
                entry.is_in_ring = !(entry.urgent.is_empty() && entry.batch.is_empty());
                if entry.is_in_ring {
                    self.ring.push_back(team);
                }
                if taken.is_some() {
                    return taken;
                }
            }
        }
        None
    }

    fn take(
        &mut self,
        now_ms: u64,
        team_key: TeamKey,
        wants_urgent: bool,
        inventory: &Inventory,
    ) -> Option<JobKey> {
        let team = &self.teams[team_key];
        let queue = if wants_urgent {
            &team.urgent
        } else {
            &team.batch
        };
        let key = *queue.front()?;
        let job = &self.jobs[key];
        if now_ms < job.rests_until_ms {
            return None;
        }
        let need = inventory.jobs.get(&job.spec.job)?.need;
        let quota = inventory.teams.get(&team.name).and_then(|team| team.quota);
        if quota.is_some_and(|quota| !team.held.plus(need).fits(quota)) {
            return None;
        }
        let team = &mut self.teams[team_key];
        team.held = team.held.plus(need);
        if wants_urgent {
            team.urgent.pop_front();
        } else {
            team.batch.pop_front();
        }
        self.jobs[key].charged = need;
        Some(key)
    }

    /// Takes the waiting jobs out of the queues whose kind is no longer listed.
    ///
    /// Left there, the first of them would hold up its team for ever.
    pub fn take_unlisted(&mut self, inventory: &Inventory) -> Vec<JobKey> {
        let jobs = &self.jobs;
        let is_listed = |key: &JobKey| {
            jobs.get(*key)
                .is_some_and(|job| inventory.jobs.contains_key(&job.spec.job))
        };
        let mut taken = Vec::new();
        for team in self.teams.values_mut() {
            for queue in [&mut team.urgent, &mut team.batch] {
                taken.extend(queue.iter().copied().filter(|key| !is_listed(key)));
                queue.retain(is_listed);
            }
        }
        taken
    }

    fn discharge(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let team = &mut self.teams[job.team];
        team.held = team.held.minus(job.charged);
        job.charged = Resources::default();
    }

    /// Charges a job's team for room that it already holds, after a take-over.
    pub fn charge(&mut self, key: JobKey, need: Resources) {
        let job = &mut self.jobs[key];
        if job.charged != Resources::default() {
            return;
        }
        job.charged = need;
        let team = &mut self.teams[job.team];
        team.held = team.held.plus(need);
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

    /// Notes a refusal; the job rests, longer with each one up to a second.
    pub fn refused(&mut self, now_ms: u64, key: JobKey, is_urgent: bool) {
        const REST_MS: u64 = 20;
        const LONGEST_MS: u64 = 1_000;
        const LONGEST_URGENT_MS: u64 = 100;
        let longest = if is_urgent {
            LONGEST_URGENT_MS
        } else {
            LONGEST_MS
        };
        if let Some(job) = self.jobs.get_mut(key) {
            job.refusals += 1;
            let rest_ms = (REST_MS << job.refusals.min(10)).min(longest);
            job.rests_until_ms = now_ms + rest_ms;
        }
        self.queue(now_ms, key, is_urgent, true);
    }

    /// Notes that an attempt stopped; the job will resume at `checkpoint`.
    pub fn evicted(&mut self, now_ms: u64, key: JobKey, checkpoint: u64, is_urgent: bool) {
        let job = &mut self.jobs[key];
        job.checkpoint = job.checkpoint.max(checkpoint);
        job.refusals = 0;
        job.rests_until_ms = 0;
        self.queue(now_ms, key, is_urgent, true);
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
    pub fn forget(&mut self, now_ms: u64, window_ms: u64) {
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

    /// Applies a record that was read from the log after a take-over.
    pub fn apply(&mut self, now_ms: u64, record: &Record) {
        match record {
            Record::Accepted(spec) if !self.by_id.contains_key(&spec.id) => {
                self.insert(now_ms, spec, JobState::Queued);
            }
            Record::Assigned { id, attempt, cell } => {
                let Some(key) = self.by_id.get(id).copied() else {
                    return;
                };
                self.jobs[key].attempt = *attempt;
                self.jobs[key].state = JobState::Starting {
                    cell: *cell,
                    asked_ms: 0,
                };
            }
            Record::Evicted {
                id,
                attempt,
                checkpoint,
            } => {
                let Some(key) = self.by_id.get(id).copied() else {
                    return;
                };
                let job = &mut self.jobs[key];
                if *attempt < job.attempt {
                    return;
                }
                job.attempt = *attempt;
                job.checkpoint = job.checkpoint.max(*checkpoint);
                job.state = JobState::Queued;
            }
            Record::Ended { id, end, .. } => {
                if let Some(key) = self.by_id.get(id).copied() {
                    self.end(now_ms, key, *end);
                }
            }
            _ => {}
        }
    }

    /// After all records were applied: queues what waits, charges what may run.
    pub fn resume(&mut self, now_ms: u64, inventory: &Inventory) {
        let keys: Vec<JobKey> = self.jobs.keys().collect();
        for key in keys {
            let job = &self.jobs[key];
            let kind = inventory.jobs.get(&job.spec.job);
            let is_urgent = kind.is_some_and(|kind| kind.urgent);
            match job.state {
                JobState::Queued => self.queue(now_ms, key, is_urgent, false),
                JobState::Starting { cell, .. } => {
                    self.charge(key, kind.map(|kind| kind.need).unwrap_or_default());
                    self.set_state(key, JobState::Starting { cell, asked_ms: 0 });
                }
                _ => {}
            }
        }
    }

    /// Lists what the log must keep of the jobs, for carrying it forward.
    pub fn carry(&self) -> Vec<Record> {
        let mut records = Vec::new();
        for job in self.jobs.values() {
            if job.state == JobState::Accepting {
                continue;
            }
            let id = job.spec.id.clone();
            let attempt = job.attempt;
            records.push(Record::Accepted(job.spec.clone()));
            if job.checkpoint > 0 || attempt > 0 {
                let checkpoint = job.checkpoint;
                records.push(Record::Evicted {
                    id: id.clone(),
                    attempt,
                    checkpoint,
                });
            }
            match job.state {
                JobState::Starting { cell, .. }
                | JobState::Running { cell }
                | JobState::Assigning { cell }
                | JobState::Recording { cell } => {
                    records.push(Record::Assigned { id, attempt, cell });
                }
                JobState::Ended { end, .. } => records.push(Record::Ended { id, attempt, end }),
                _ => {}
            }
        }
        records
    }

    /// Counts what the team holds and how many of its jobs wait.
    pub fn team_load(&self, name: &str) -> (Resources, usize) {
        let Some(team) = self.team_by_name.get(name).map(|key| &self.teams[*key]) else {
            return (Resources::default(), 0);
        };
        (team.held, team.urgent.len() + team.batch.len())
    }
}
