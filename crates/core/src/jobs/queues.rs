//! Queues of teams: whose turn it is, within quotas.

use super::JobKey;
use super::JobState;
use super::JobTable;
use super::TeamKey;
use crate::record::FailureCounts;
use goldcrestway_inventory::Inventory;
use goldcrestway_inventory::Resources;

impl JobTable {
    /// Puts a job at the end of its team's queue, or at its head if it had waited.
    pub fn enqueue(&mut self, now_ms: u64, key: JobKey, is_urgent: bool, at_head: bool) {
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
    pub fn next_job(&mut self, now_ms: u64, inventory: &Inventory) -> Option<JobKey> {
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

    pub(super) fn take(
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
        if now_ms < job.retry_at_ms {
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
    pub fn remove_unlisted(&mut self, inventory: &Inventory) -> Vec<JobKey> {
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

    pub(super) fn discharge(&mut self, key: JobKey) {
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

    /// Notes a refusal; the job rests, longer with each one up to a second.
    pub fn requeue_refused(&mut self, now_ms: u64, key: JobKey, is_urgent: bool) {
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
            job.retry_at_ms = now_ms + rest_ms;
        }
        self.enqueue(now_ms, key, is_urgent, true);
    }

    /// Notes that an attempt stopped; the job will resume at `checkpoint`.
    pub fn requeue_evicted(
        &mut self,
        now_ms: u64,
        key: JobKey,
        checkpoint: u64,
        failure_counts: FailureCounts,
        is_urgent: bool,
    ) {
        let job = &mut self.jobs[key];
        job.failure_counts = failure_counts;
        job.checkpoint = job.checkpoint.max(checkpoint);
        job.refusals = 0;
        job.retry_at_ms = 0;
        self.enqueue(now_ms, key, is_urgent, true);
    }

    /// Counts what the team holds and how many of its jobs wait.
    pub fn team_load(&self, name: &str) -> (Resources, usize) {
        let Some(team) = self.team_by_name.get(name).map(|key| &self.teams[*key]) else {
            return (Resources::default(), 0);
        };
        (team.held, team.urgent.len() + team.batch.len())
    }
}
