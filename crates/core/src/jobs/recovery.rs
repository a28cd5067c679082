//! Recovery of jobs from the log, and snapshots of them.

use super::JobKey;
use super::JobState;
use super::JobTable;
use crate::record::Record;
use goldcrestway_inventory::Inventory;

impl JobTable {
    /// Applies a record that was read from the log after a change of owner.
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
                failure_counts,
            } => {
                let Some(key) = self.by_id.get(id).copied() else {
                    return;
                };
                let job = &mut self.jobs[key];
                if *attempt < job.attempt {
                    return;
                }
                job.attempt = *attempt;
                job.failure_counts = *failure_counts;
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

    /// Queues waiting jobs and charges teams for jobs that may run, once all records
    /// are applied.
    pub fn resume(&mut self, now_ms: u64, inventory: &Inventory) {
        let keys: Vec<JobKey> = self.jobs.keys().collect();
        for key in keys {
            let job = &self.jobs[key];
            let kind = inventory.jobs.get(&job.spec.job);
            let is_urgent = kind.is_some_and(|kind| kind.urgent);
            match job.state {
                JobState::Queued => self.enqueue(now_ms, key, is_urgent, false),
                JobState::Starting { cell, .. } => {
                    self.charge(key, kind.map(|kind| kind.need).unwrap_or_default());
                    self.set_state(key, JobState::Starting { cell, asked_ms: 0 });
                }
                _ => {}
            }
        }
    }

    /// Returns the records that stand for all jobs, for a snapshot.
    pub fn snapshot(&self) -> Vec<Record> {
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
                    failure_counts: job.failure_counts,
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
}
