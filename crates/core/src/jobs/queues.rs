//! Queues of the teams, which are served in turn within their quotas.

use super::JobKey;
use super::JobState;
use super::JobTable;
use super::TeamKey;
use crate::record::FailureCounts;
use goldcrestway_inventory::Inventory;
use goldcrestway_inventory::Resources;

impl JobTable {
    /// Queues a job at the end of its team's queue, or at the head if it had waited
    /// before.
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

    /// Removes and returns the next job that its team's quota allows, urgent ones
    /// first.
    ///
    /// Teams are served in turn, which prevents starvation behind a large one. Within
    /// a team the oldest job is first; one that is delayed after a refusal keeps its
    /// place without delaying other teams.
    pub fn next_job(&mut self, now_ms: u64, inventory: &Inventory) -> Option<JobKey> {
        for wants_urgent in [true, false] {
            for _ in 0..self.ring.len() {
                let team = self.ring.pop_front()?;
                let removed = self.take_from_team(now_ms, team, wants_urgent, inventory);
                let entry = &mut self.teams[team];
                entry.is_in_ring = !(entry.urgent.is_empty() && entry.batch.is_empty());
                if entry.is_in_ring {
                    self.ring.push_back(team);
                }
                if removed.is_some() {
                    return removed;
                }
            }
        }
        None
    }

    pub(super) fn take_from_team(
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

    /// Removes and returns waiting jobs whose kind is not in the inventory any more.
    ///
    /// Otherwise the first of them would block its team forever.
    pub fn remove_unlisted(&mut self, inventory: &Inventory) -> Vec<JobKey> {
        let jobs = &self.jobs;
        let is_listed = |key: &JobKey| {
            jobs.get(*key)
                .is_some_and(|job| inventory.jobs.contains_key(&job.spec.job))
        };
        let mut removed = Vec::new();
        for team in self.teams.values_mut() {
            for queue in [&mut team.urgent, &mut team.batch] {
                removed.extend(queue.iter().copied().filter(|key| !is_listed(key)));
                queue.retain(is_listed);
            }
        }
        removed
    }

    pub(super) fn discharge(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let team = &mut self.teams[job.team];
        team.held = team.held.minus(job.charged);
        job.charged = Resources::default();
    }

    /// Charges a job's team for resources that the job already holds after a change
    /// of owner.
    pub fn charge(&mut self, key: JobKey, need: Resources) {
        let job = &mut self.jobs[key];
        if job.charged != Resources::default() {
            return;
        }
        job.charged = need;
        let team = &mut self.teams[job.team];
        team.held = team.held.plus(need);
    }

    /// Records a refusal and queues the job again, with an exponential delay of up to
    /// 1 s, or 100 ms if it is urgent.
    pub fn requeue_refused(&mut self, now_ms: u64, key: JobKey, is_urgent: bool) {
        const BACKOFF_MS: u64 = 20;
        const MAX_BACKOFF_MS: u64 = 1_000;
        const MAX_URGENT_BACKOFF_MS: u64 = 100;
        let max_ms = if is_urgent {
            MAX_URGENT_BACKOFF_MS
        } else {
            MAX_BACKOFF_MS
        };
        if let Some(job) = self.jobs.get_mut(key) {
            job.refusals += 1;
            let backoff_ms = (BACKOFF_MS << job.refusals.min(10)).min(max_ms);
            job.retry_at_ms = now_ms + backoff_ms;
        }
        self.enqueue(now_ms, key, is_urgent, true);
    }

    /// Records that an attempt stopped and queues the job, which will resume at
    /// `checkpoint`.
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

    /// Returns the resources that a team holds and the number of its waiting jobs.
    pub fn team_load(&self, name: &str) -> (Resources, usize) {
        let Some(team) = self.team_by_name.get(name).map(|key| &self.teams[*key]) else {
            return (Resources::default(), 0);
        };
        (team.held, team.urgent.len() + team.batch.len())
    }
}
