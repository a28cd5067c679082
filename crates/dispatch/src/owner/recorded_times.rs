//! Times that outlast an owner: what it records of them, and how the next owner understands it.
//!
//! Each wait must end about as soon as if one owner had lived on, also where all hosts are stopped in
//! turn and no owner lives for longer than a second.

use crate::event::Action;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::job::JobKey;
use crate::owner::task::Placement;
use crate::owner::worker::WorkerKey;
use crate::record::Learned;
use crate::record::OwnerTime;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

impl Owner {
    /// Takes over for how long the leases of silent workers last. No owner extends leases that are
    /// recorded as silent before that record is replaced, so they expire at the recorded time.
    pub(super) fn inherit_leases(
        &mut self,
        learned: &Learned,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let written = learned.written.unwrap_or_default();
        // If the age of the record is unknown, it counts as just written.
        let written_ms = self.latest_ms(&written).unwrap_or(now_ms).min(now_ms);
        let mut longest_ms = 0;
        for silent in &learned.silent {
            let leases_expired_ms = written_ms + silent.remaining_ms;
            longest_ms = longest_ms.max(leases_expired_ms.saturating_sub(now_ms));
            self.inherited_expiry_ms
                .insert(silent.worker.as_str().into(), leases_expired_ms);
            self.recorded_silent.insert(silent.worker.as_str().into());
        }
        if learned.silent.is_empty() {
            return;
        }
        actions.push(Action::Note(Note::new(
            Code::LeasesInherited,
            &*self.host,
            format!(
                "workers={} longest_ms={longest_ms} recorded_by={} record_age_ms={}",
                learned.silent.len(),
                written.token,
                now_ms - written_ms
            ),
        )));
    }

    /// Returns a time of this host's steady clock as a record gives it.
    pub(crate) fn owner_time(&self, at_ms: u64) -> OwnerTime {
        OwnerTime {
            token: self.token,
            claim_age_ms: at_ms.saturating_sub(self.claim_sent_ms),
        }
    }

    /// Returns the latest time of this host's steady clock that a recorded time can mean; `None` if
    /// that is unknown.
    pub(crate) fn latest_ms(&self, time: &OwnerTime) -> Option<u64> {
        match time.token == self.token {
            true => Some(self.claim_sent_ms + time.claim_age_ms),
            false => self
                .claim_sightings
                .latest_ms(time.token, time.claim_age_ms),
        }
    }

    /// Records that a worker has confirmed a run of a long-running task, and that the run is stable,
    /// for the next owner.
    pub(super) fn record_work(&mut self, key: WorkerKey, id: TaskId, number: u32, now_ms: u64) {
        let Some(run) = self.workers[key].runs.get_mut(&(id, number)) else {
            return;
        };
        if !run.is_long_running || run.is_orphan || run.is_work_recorded {
            return;
        }
        let is_stable = run.is_stable;
        run.is_work_recorded = is_stable;
        let since = self.owner_time(now_ms);
        let Some(job_key) = self.job_keys.get(&id.job).copied() else {
            return;
        };
        let job = &mut self.jobs[job_key];
        let own = Placement {
            run: number,
            worker: key,
        };
        let Some(task) = job.task_mut(id).filter(|task| task.placement == Some(own)) else {
            return;
        };
        let is_news = task.working_since.is_none() || is_stable && !task.is_stable;
        task.working_since.get_or_insert(since);
        task.is_stable |= is_stable;
        job.is_dirty |= is_news;
    }

    /// Takes over since when the runs and waits of a job have lasted under previous owners.
    pub(super) fn recover_times(&mut self, key: JobKey, now_ms: u64) {
        let mut working = Vec::new();
        let mut isolated = Vec::new();
        self.jobs[key].for_each_task(|id, task| {
            let since = task.working_since.unwrap_or_default();
            working.extend(task.placement.map(|at| (id, at, since, task.is_stable)));
            isolated.extend(task.isolation_since.map(|since| (id, since)));
        });
        for (id, at, since, is_stable) in working {
            let since_ms = self.latest_ms(&since);
            let worker = &mut self.workers[at.worker];
            if let Some(run) = worker.runs.get_mut(&(id, at.run)) {
                run.working_since_ms = since_ms;
            }
            if is_stable {
                worker.mark_stable(id, at.run);
            }
        }
        for (id, since) in isolated {
            let since_ms = self.latest_ms(&since).unwrap_or(now_ms).min(now_ms);
            if let Some(task) = self.jobs[key].task_mut(id) {
                task.wait_for_isolation(since_ms);
            }
        }
    }
}
