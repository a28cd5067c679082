//! Adds jobs and workers from the records and the platform's list to the owner's state.

use crate::config::WorkerEntry;
use crate::event::Action;
use crate::event::Now;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::job_table::JobTable;
use crate::owner::Owner;
use crate::owner::job::Job;
use crate::owner::job::JobKey;
use crate::owner::leases::LeaseBasis;
use crate::owner::worker::Run;
use crate::owner::worker::RunPhase;
use crate::owner::worker::Worker;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::collections::BTreeMap;

impl Owner {
    /// Adds a job of the job table, with the runs that a previous owner has recorded.
    pub(crate) fn adopt(
        &mut self,
        id: JobId,
        job_table: &JobTable,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if self.job_keys.contains_key(&id) {
            return;
        }
        let Some(record) = job_table.jobs.get(&id) else {
            return;
        };
        if record.submission.is_none() {
            return;
        }
        let default_expiry_ms = self.previous_owner_expiry_ms(now.steady_ms);
        let progress = self.unread_progress.remove(&id);
        let (inherited_expiry_ms, silent_workers) =
            (&self.inherited_expiry_ms, &self.recorded_silent);
        let listed = &self.recorded_workers;
        let mut added = Vec::new();
        let (workers, keys) = (&mut self.workers, &mut self.worker_keys);
        let job = Job::new(id, record, progress.as_ref(), now, |name| {
            *keys.entry(name.into()).or_insert_with(|| {
                let recorded_ms = inherited_expiry_ms.get(name).copied();
                let leases_expired_ms = recorded_ms.unwrap_or(default_expiry_ms);
                let mut worker = Worker::unlisted(name, leases_expired_ms);
                if recorded_ms.is_some() {
                    worker.lease_basis = LeaseBasis::Recorded;
                }
                // The incarnation that answers at its address shows what became of it.
                if let Some(entry) = listed.get(name) {
                    worker.entry = entry.clone();
                    worker.incarnation = entry.incarnation;
                    worker.was_leaving = entry.is_leaving;
                }
                worker.is_recorded_silent = silent_workers.contains(name);
                let key = workers.insert(worker);
                added.push(key);
                key
            })
        });
        for key in added {
            let restart = self.restart_on_record(&self.workers[key].entry.id);
            self.workers[key].set_restart(restart);
        }
        let Some(mut job) = job else {
            return;
        };
        // A previous owner may have died before it could publish the phase.
        if job.phase.stage() > job.published.stage() {
            job.published = job.phase;
            self.writer.publish(id, job.state());
            self.begin_inherited_end(&job, now);
        }
        if job.phase.is_final() {
            self.finished_jobs.insert(id, job.submission);
            return;
        }
        job.queue = self.queue_key(&job.submission);
        let is_new = job.open_occurrences(now, &self.bounds);
        let key = self.jobs.insert(job);
        self.job_keys.insert(id, key);
        self.live_jobs.push(key);
        self.begin_times(key, now);
        self.recover_runs(key, now.steady_ms);
        self.recover_times(key, now.steady_ms);
        self.recover_lost_runs(key);
        self.must_place |= is_new;
        if record.is_cancelled {
            self.cancel(id, now, actions);
        }
    }

    fn recover_runs(&mut self, key: JobKey, now_ms: u64) {
        let job = &self.jobs[key];
        let mut placement = Vec::new();
        job.for_each_task(|id, task| {
            let max_share_percent = task.max_share_percent.unwrap_or(100);
            placement.extend(
                task.placement
                    .map(|placement| (id, placement, max_share_percent)),
            );
            placement.extend(task.copy.map(|copy| (id, copy, 100)));
        });
        for (id, at, max_share_percent) in placement {
            let mut run = self.make_run(key, id, RunPhase::Inherited, now_ms);
            run.limit_share(max_share_percent);
            run.is_probe = self.suspected_at(id).is_some();
            run.is_test = self.must_be_alone(id);
            if let Some(worker) = self.workers.get_mut(at.worker) {
                // Its exit may have been listed and skipped before the job was read. A run that
                // neither is there nor is known to have ended counts as lost, and its task would
                // run again. The worker still keeps the exits that are not recorded.
                worker.handled_exit = worker.recorded_exit;
                // It may have been added as an orphan before its job was read.
                worker.remove(id, at.run);
                worker.add(id, at.run, run);
            }
        }
    }

    pub(crate) fn make_run(
        &mut self,
        key: JobKey,
        id: TaskId,
        phase: RunPhase,
        now_ms: u64,
    ) -> Run {
        let step = self.jobs[key].step(id).cloned().unwrap_or_default();
        Run::new(&step, self.images.key(&step.image), phase, now_ms)
    }

    /// Makes a worker of which only its entry in the list is known. One that is recorded as silent
    /// gets no lease until that record is replaced.
    pub(crate) fn make_worker(&self, entry: WorkerEntry, now_ms: u64) -> Worker {
        let is_recorded_silent = self.recorded_silent.contains(&entry.id);
        let mut worker = Worker::new(entry, self.previous_owner_expiry_ms(now_ms));
        worker.is_recorded_silent = is_recorded_silent;
        worker.set_restart(self.restart_on_record(&worker.entry.id));
        worker
    }

    /// Applies the platform's list of workers as a whole.
    pub(crate) fn apply_worker_list(
        &mut self,
        entries: &BTreeMap<Box<str>, WorkerEntry>,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let mut unlisted = Vec::new();
        for id in self.worker_keys.keys().chain(self.recorded_workers.keys()) {
            if !entries.contains_key(id) {
                unlisted.push(id.clone());
            }
        }
        for id in entries.keys().chain(&unlisted) {
            self.apply_worker_entry(id, entries.get(id), now, actions);
        }
        self.spread_first_polls(now.steady_ms);
    }

    /// Applies the platform's entry of a worker, or its absence. Most entries are the same as the
    /// previous ones.
    pub(crate) fn apply_worker_entry(
        &mut self,
        id: &str,
        entry: Option<&WorkerEntry>,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let known = self.worker_keys.get(id).copied();
        let has_changed = match (known, entry) {
            (Some(key), Some(entry)) => {
                let worker = &self.workers[key];
                !worker.is_listed || worker.entry != *entry || !worker.is_reported()
            }
            (Some(key), None) => self.workers[key].is_listed,
            (None, entry) => entry.is_some(),
        };
        let is_recorded = self.recorded_workers.contains_key(id);
        if !has_changed && is_recorded == entry.is_some() {
            return;
        }
        self.unrecorded_workers.insert(id.into());
        self.must_place = true;
        match (known, entry) {
            (Some(key), Some(entry)) => {
                let worker = &mut self.workers[key];
                if entry.is_leaving && !worker.entry.is_leaving {
                    actions.push(Action::Note(Note::new(
                        Code::WorkerLeaving,
                        id,
                        format!("runs={}", worker.runs.len()),
                    )));
                }
                let previous = worker.entry.incarnation;
                worker.update_entry(entry.clone());
                let is_news = entry.incarnation.differs_from(previous);
                if is_news && !worker.is_reported() {
                    self.apply_listed_restart(key, now.steady_ms, actions);
                }
            }
            (Some(key), None) => self.workers[key].is_listed = false,
            (None, Some(entry)) => {
                let worker = self.make_worker(entry.clone(), now.steady_ms);
                let key = self.workers.insert(worker);
                self.worker_keys.insert(id.into(), key);
                let is_other =
                    |recorded: &WorkerEntry| recorded.incarnation.differs_from(entry.incarnation);
                if self.recorded_workers.get(id).is_some_and(is_other) {
                    self.apply_listed_restart(key, now.steady_ms, actions);
                }
            }
            (None, None) => {}
        }
    }

    /// Records up to which time the platform's list of workers was read.
    pub(crate) fn set_list_known(&mut self, known_ms: Option<u64>) {
        self.list_known_ms = known_ms;
    }

    /// Returns the age of the platform's list of workers for logs.
    pub(super) fn describe_list_age(&self, now_ms: u64) -> Box<str> {
        match self.list_known_ms {
            Some(known_ms) => now_ms.saturating_sub(known_ms).to_string().into(),
            None => "never_read".into(),
        }
    }

    /// Forgets orders that are too old to be carried out.
    pub(crate) fn expire_doubtful_starts(&mut self, now: Now) {
        self.doubtful_starts.expire(now.steady_ms);
    }
}
