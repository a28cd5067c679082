//! Records what the owner has learned for the next one, and for how long the leases of silent workers
//! last.

use crate::owner::Owner;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;
use crate::record::Learned;
use crate::record::SilentWorker;

/// Interval between two records of learned data. It is the maximum time for which a successor loses
/// them.
const LEARNED_GAP_MS: u64 = 2_500;
/// The same while workers are silent, as the record contains the remaining time of their leases.
const LEARNED_SILENT_GAP_MS: u64 = 400;
/// The same if a worker has fallen silent since, as a successor that does not know it waits anew.
const LEARNED_NEWLY_SILENT_GAP_MS: u64 = 100;
impl Owner {
    /// Returns whether the next owner is to be told for how long the leases of a worker last. An owner
    /// that leaves has no time to see whether a worker that has missed one answer is silent.
    fn has_doubtful_leases(&self, worker: &Worker) -> bool {
        let has_missed = !worker.runs.is_empty() && worker.missed_answers > 0;
        worker.is_in_doubt() || self.is_leaving && has_missed
    }

    /// Lists the workers about whose leases the next owner is to be told.
    fn workers_with_doubtful_leases(&mut self, now_ms: u64) -> Vec<WorkerKey> {
        let mut doubtful = self.workers.in_doubt();
        if self.is_leaving {
            let workers = self.workers.into_iter();
            let missed = workers.filter(|(_, worker)| self.has_doubtful_leases(worker));
            doubtful = missed.map(|(key, _)| key).collect();
        }
        doubtful.retain(|key| !self.are_leases_unknown(*key, now_ms));
        doubtful
    }

    /// Returns whether learned data are to be recorded: at intervals, more often while workers are
    /// silent, soon when a worker has fallen silent, and at once when one no longer is.
    pub(super) fn must_record_learned(&mut self, now_ms: u64) -> bool {
        for id in &self.recorded_silent {
            let key = self.worker_keys.get(id);
            if !key.is_some_and(|key| self.has_doubtful_leases(&self.workers[*key])) {
                return true;
            }
        }
        let must_record_leases = std::mem::take(&mut self.writer.must_record_leases);
        let mut learned_gap_ms = LEARNED_GAP_MS;
        for key in self.workers_with_doubtful_leases(now_ms) {
            let worker = &self.workers[key];
            let is_news = worker.is_known && !worker.is_recorded_silent;
            let gap_ms = match is_news {
                _ if must_record_leases => 0,
                true => LEARNED_NEWLY_SILENT_GAP_MS,
                false => LEARNED_SILENT_GAP_MS,
            };
            learned_gap_ms = learned_gap_ms.min(gap_ms);
        }
        now_ms >= self.writer.learned_ms + learned_gap_ms
    }

    pub(super) fn learned(&mut self, now_ms: u64, no_longer_silent: &mut Vec<Box<str>>) -> Learned {
        let mut silent = Vec::new();
        no_longer_silent.extend(self.recorded_silent.iter().cloned());
        for key in self.workers_with_doubtful_leases(now_ms) {
            let worker = &mut self.workers[key];
            no_longer_silent.retain(|id| *id != worker.entry.id);
            self.recorded_silent.insert(worker.entry.id.clone());
            worker.is_recorded_silent = true;
            silent.push(SilentWorker {
                worker: worker.entry.id.to_string(),
                remaining_ms: worker.leases_expired_ms.saturating_sub(now_ms),
            });
        }
        Learned {
            images: self.interference.learned(&self.images),
            silent,
            run_times: self.run_times.learned(),
            queues: self.fair_shares.learned(),
            written: Some(self.owner_time(now_ms)),
        }
    }
}
