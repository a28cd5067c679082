//! Forgets finished jobs whose state need not be available any more, and cancellations of jobs that
//! were never stored.
//!
//! Only time that has passed on this host's steady clock counts, never the time of day. A host that
//! has just started keeps what it reads for the whole retention, so a job is kept for too long while
//! owners restart within that time, and never for too short a time. What a host keeps is bounded by
//! the jobs that end within two retentions, and by what the store held when it started.
//!
//! The owner also deletes the records of these jobs, which the store otherwise retains forever: the
//! submissions first, then the progress, and last the states. A host that finds the state of a
//! finished job on record, whatever else is left of it, deletes the rest. In any other order, an
//! owner that dies halfway leaves a submission without an end, which the next one runs again.

use crate::entry::Entry;
use crate::event::Action;
use crate::event::AppendOutcome;
use crate::event::Now;
use crate::event::Stream;
use crate::ids::JobId;
use crate::record::Key;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::collections::BTreeMap;

/// Time for which the state of a final job is available to callers beyond what the bounds require.
const STATUS_SLACK_MS: u64 = 60_000;
/// Multiple of the retention for which a host that is not the owner waits for the owner to delete a
/// job, so that the next owner knows the jobs whose deletion is not complete.
const FOLLOWER_FACTOR: u64 = 2;
/// Interval between searches for jobs whose state need not be available any more.
const SEARCH_MS: u64 = 10_000;
/// Maximum number of jobs that are deleted at a time, which bounds the size of the appends.
const MAX_JOBS: usize = 500;
/// Delay after a deletion before the next search. Callers may cancel any number of jobs that do not
/// exist.
const PAUSE_MS: u64 = 1_000;
/// Time after which an append without an answer is repeated, and delay before a refused one is.
const TIMEOUT_MS: u64 = 3_000;
const RETRY_MS: u64 = 1_000;

/// Jobs whose submissions are being deleted.
#[derive(Debug)]
pub(super) struct Retirement {
    jobs: Vec<JobId>,
    /// Partitions that may still hold submissions of them, with the ticket of the pending append.
    partitions: BTreeMap<u8, Option<u64>>,
    retry_ms: u64,
}

impl Entry {
    /// Forgets jobs whose state need not be available any more. The owner deletes their records.
    pub(super) fn forget_finished_jobs(&mut self, now: Now, actions: &mut Vec<Action>) {
        if self.owner.is_none() {
            self.retirement = None;
        }
        if now.steady_ms >= self.next_search_ms {
            self.next_search_ms = now.steady_ms + SEARCH_MS;
            self.search_finished_jobs(now, actions);
        }
        self.delete_submissions(now, actions);
    }

    fn search_finished_jobs(&mut self, now: Now, actions: &mut Vec<Action>) {
        // Jobs are of no use for long on a host that does not read them to the end of their stream.
        if self.reading.asks_owner() {
            self.job_table.jobs.clear();
        }
        self.job_table.count_only_cancelled();
        let is_owner = self.owner.is_some();
        let factor = if is_owner { 1 } else { FOLLOWER_FACTOR };
        let retention_ms = factor * (self.bounds.status_ms + STATUS_SLACK_MS);
        let mut expired = Vec::new();
        for (id, job) in &mut self.job_table.jobs {
            let known_ended_ms = job.known_ended_ms(now.steady_ms);
            if let Some(age_ms) = known_ended_ms.filter(|age_ms| *age_ms >= retention_ms) {
                expired.push((*id, age_ms));
            }
        }
        if expired.is_empty() || self.retirement.is_some() {
            return;
        }
        // The order is the same in each run, so that tests in virtual time are reproducible.
        expired.sort_unstable();
        expired.truncate(MAX_JOBS);
        self.note_forgotten(&expired, now, actions);
        let jobs: Vec<JobId> = expired.into_iter().map(|(id, _)| id).collect();
        if is_owner {
            let partitions = (0..self.jobs.partitions()).map(|partition| (partition, None));
            self.retirement = Some(Retirement {
                jobs,
                partitions: partitions.collect(),
                retry_ms: 0,
            });
            return;
        }
        for id in &jobs {
            self.job_table.jobs.remove(id);
        }
    }

    fn note_forgotten(&self, expired: &[(JobId, u64)], now: Now, actions: &mut Vec<Action>) {
        let ages_ms = expired.iter().map(|(_, age_ms)| *age_ms);
        let (min_ms, max_ms) = (ages_ms.clone().min(), ages_ms.max());
        let detail = format!(
            "jobs={} finished_ms={}..{} deletes={} uptime_ms={}",
            expired.len(),
            min_ms.unwrap_or(0),
            max_ms.unwrap_or(0),
            self.owner.is_some(),
            now.steady_ms
        );
        actions.push(Action::Note(Note::new(
            Code::JobsForgotten,
            &*self.host,
            detail,
        )));
    }

    /// Deletes the submissions and cancellations of retired jobs from all partitions, and then has
    /// the owner delete the other records.
    fn delete_submissions(&mut self, now: Now, actions: &mut Vec<Action>) {
        let (Some(owner), Some(retirement)) = (&mut self.owner, &mut self.retirement) else {
            return;
        };
        if retirement.partitions.is_empty() {
            for id in &retirement.jobs {
                self.job_table.jobs.remove(id);
                owner.retire(*id);
            }
            self.retirement = None;
            self.next_search_ms = self.next_search_ms.min(now.steady_ms + PAUSE_MS);
            return;
        }
        if now.steady_ms < retirement.retry_ms {
            return;
        }
        for (partition, pending) in &mut retirement.partitions {
            if pending.is_some() {
                continue;
            }
            let mut records = Vec::with_capacity(2 * retirement.jobs.len());
            for id in &retirement.jobs {
                records.push((Key::Submitted(*id).text(), Box::default()));
                records.push((Key::Cancelled(*id).text(), Box::default()));
            }
            self.tickets += 1;
            *pending = Some(self.tickets);
            actions.push(Action::Append {
                ticket: self.tickets,
                stream: Stream::Jobs(*partition),
                fence: None,
                records,
                timeout_ms: TIMEOUT_MS,
            });
        }
    }

    /// Handles the outcome of an append if it deletes submissions, and returns whether it does.
    pub(super) fn handle_deletion(
        &mut self,
        ticket: u64,
        outcome: AppendOutcome,
        now: Now,
    ) -> bool {
        let Some(retirement) = &mut self.retirement else {
            return false;
        };
        let mut partitions = retirement.partitions.iter_mut();
        let pending = partitions.find(|(_, pending)| **pending == Some(ticket));
        let Some((partition, pending)) = pending else {
            return false;
        };
        if matches!(outcome, AppendOutcome::Stored { .. }) {
            let partition = *partition;
            retirement.partitions.remove(&partition);
        } else {
            *pending = None;
            retirement.retry_ms = now.steady_ms + RETRY_MS;
        }
        true
    }
}
