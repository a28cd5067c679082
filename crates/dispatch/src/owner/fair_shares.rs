//! What the jobs of each queue hold, and the ranks that follow from it.

use crate::config::Resources;
use crate::event::Action;
use crate::event::Now;
use crate::owner::Owner;
use crate::owner::job::Job;
use crate::policy::fair_shares::Group;
use crate::policy::fair_shares::JobKind;
use crate::policy::fair_shares::NEUTRAL_RANK;
use crate::policy::fair_shares::QueueKey;
use crate::policy::fair_shares::QueueShare;
use crate::record::Submission;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::collections::BTreeMap;

/// Interval between two sums of the resources of each service.
const SUM_INTERVAL_MS: u64 = 1_000;

impl Owner {
    /// Returns the key of the queue of a job; the default key if queues have no shares.
    pub(super) fn queue_key(&mut self, submission: &Submission) -> QueueKey {
        if !self.bounds.policy.fair_shares {
            return QueueKey::default();
        }
        let group = Group {
            service: submission.service.as_str().into(),
            priority: submission.priority,
            kind: JobKind {
                is_long_running: submission.is_long_running(),
                is_best_effort: submission.steps.iter().any(|step| step.is_best_effort),
            },
        };
        self.fair_shares.queue(&group, &submission.queue)
    }

    /// Updates the usage and the ranks of all queues, once for each placement pass.
    pub(super) fn rank_queues(&mut self, now_ms: u64) {
        if !self.bounds.policy.fair_shares {
            return;
        }
        if now_ms >= self.next_sum_ms {
            self.next_sum_ms = now_ms + SUM_INTERVAL_MS;
            self.fair_shares.set_resources(self.service_resources());
        }
        let mut demands = Vec::with_capacity(self.live_jobs.len());
        for key in &self.live_jobs {
            demands.push(self.jobs[*key].demand());
        }
        self.fair_shares.refresh(&demands, now_ms);
    }

    /// Returns the rank of a job's queue; the smallest goes first.
    pub(super) fn queue_rank(&self, job: &Job) -> u32 {
        match self.bounds.policy.fair_shares {
            true => self.fair_shares.rank(job.queue),
            false => NEUTRAL_RANK,
        }
    }

    /// Returns the shares of all queues that have had jobs lately.
    pub(crate) fn queue_shares(&self) -> Vec<QueueShare> {
        self.fair_shares.shares()
    }

    /// Reports the queues that are held back, and updates the statistics.
    pub(super) fn report_shares(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.stats.fairness_permille = self.fair_shares.fairness_permille();
        for queue in self.fair_shares.held_back(now.steady_ms) {
            actions.push(Action::Note(Note::new(
                Code::QueueHeldBack,
                &*queue.share.queue,
                format!(
                    "holds_ppm={} usage_ppm={} equal_ppm={} waiting={}",
                    queue.share.held_ppm,
                    queue.share.usage_ppm,
                    queue.equal_ppm,
                    queue.share.waiting
                ),
            )));
        }
    }

    /// Returns the resources of the workers of each service.
    pub(super) fn service_resources(&self) -> BTreeMap<Box<str>, Resources> {
        let mut resources: BTreeMap<Box<str>, Resources> = BTreeMap::new();
        for worker in self.workers.values() {
            if !worker.is_listed || self.is_evacuated(worker) {
                continue;
            }
            let of_worker = worker.entry.resources;
            match resources.get_mut(&worker.entry.service) {
                Some(sum) => *sum = sum.plus(of_worker),
                None => _ = resources.insert(worker.entry.service.clone(), of_worker),
            }
        }
        resources
    }
}
