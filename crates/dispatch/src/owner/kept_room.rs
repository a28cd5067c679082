//! Room on workers that is kept for a step with wide tasks.

use crate::config::Resources;
use crate::event::Action;
use crate::event::Now;
use crate::ids::StepId;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::job::JobKey;
use crate::owner::waits::WaitReason;
use crate::owner::worker::Run;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;
use crate::policy::kept_room::Candidate;
use crate::policy::kept_room::MAX_HALF_EMPTY_MS;
use crate::policy::kept_room::Need;
use crate::policy::kept_room::Precedence;
use crate::policy::kept_room::choose;
use crate::policy::kept_room::keep_ms;
use crate::policy::kept_room::max_wait_ms;
use crate::policy::kept_room::max_workers;
use crate::policy::placing::placing_gap_ms;
use crate::record::Step;
use crate::record::Submission;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

/// Shortest interval between two searches for workers on which to keep room.
const SEARCH_INTERVAL_MS: u64 = 250;
/// Interval between two checks which services are half empty.
const CHECK_INTERVAL_MS: u64 = 250;
/// Maximum number of steps considered by one search.
const MAX_CONSIDERED: u64 = 4;
/// Time for which a step is not considered again if no room could be kept for it, so that others have
/// their turn.
const RETRY_MS: u64 = 1_000;

/// When the latest run that reserves certain resources was started, by service.
type LatestStarts = BTreeMap<Box<str>, BTreeMap<Resources, u64>>;

/// Room on a worker that is kept for a step.
#[derive(Debug, Clone, Copy)]
pub(crate) struct KeptRoom {
    pub(crate) step: StepId,
    pub(crate) resources: Resources,
    pub(crate) precedence: Precedence,
}

/// A step for which room is kept.
#[derive(Debug)]
struct Keep {
    job: JobKey,
    step: StepId,
    service: Box<str>,
    workers: Vec<WorkerKey>,
    until_ms: u64,
    /// Since when runs reserve less than half of the service's processors.
    half_empty_since_ms: Option<u64>,
    since_ms: u64,
    /// How long no room is kept for it if it has waited in vain.
    paused_ms: u64,
}

/// What has become of kept room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum KeepProgress {
    /// Its step waits for it.
    Waits,
    /// Its step needs it no more, or can't use it at present.
    Ended,
    /// Its step has waited for too long.
    InVain,
    /// One of its workers takes no tasks any more.
    Unusable,
}

/// A step that waits for longer than its job can bear.
#[derive(Debug, Clone, Copy)]
pub(crate) struct BlockedStep {
    pub(crate) job: JobKey,
    pub(crate) step: StepId,
    pub(crate) waiting_since_ms: u64,
}

/// Steps for which room is kept.
#[derive(Debug, Default)]
pub(crate) struct KeptRooms {
    keeps: Vec<Keep>,
    /// Steps for which room was or could not be kept, and until when none is kept for them again.
    paused_until_ms: BTreeMap<StepId, u64>,
    next_search_ms: u64,
    /// Services of whose processors runs reserve less than half, and when that is checked next.
    half_empty: BTreeSet<Box<str>>,
    next_check_ms: u64,
}

impl Precedence {
    /// Returns the precedence of the first runs of a job.
    pub(crate) fn of(submission: &Submission) -> Self {
        Self {
            is_restart: false,
            priority: submission.priority,
            is_finite: !submission.is_long_running(),
        }
    }
}

impl Worker {
    /// Returns the resources that are free for tasks of a step, without room that is kept for
    /// another one.
    pub(crate) fn free_for(&self, step: StepId, precedence: Precedence) -> Resources {
        match &self.kept {
            Some(kept) if kept.step != step && !precedence.goes_before(kept.precedence) => {
                self.free().minus(kept.resources)
            }
            _ => self.free(),
        }
    }

    /// Reduces the room that is kept for a step by what a task of it has got here.
    pub(crate) fn use_kept_room(&mut self, step: StepId, resources: Resources) {
        if let Some(kept) = &mut self.kept
            && kept.step == step
        {
            kept.resources = kept.resources.minus(resources);
        }
    }
}

impl Owner {
    /// Releases the rooms of steps that no longer wait or that have waited there in vain, and those
    /// on workers that take no tasks any more.
    pub(super) fn release_rooms(&mut self, now_ms: u64) {
        let mut rooms = std::mem::take(&mut self.kept_rooms);
        rooms
            .paused_until_ms
            .retain(|_, until_ms| now_ms < *until_ms);
        if !rooms.keeps.is_empty() && now_ms >= rooms.next_check_ms {
            rooms.next_check_ms = now_ms + CHECK_INTERVAL_MS;
            rooms.half_empty = self.half_empty_services();
        }
        rooms.keeps.retain_mut(|keep| {
            if rooms.half_empty.contains(&keep.service) {
                keep.half_empty_since_ms.get_or_insert(now_ms);
            } else {
                keep.half_empty_since_ms = None;
            }
            let progress = self.keep_progress(keep, now_ms);
            if progress == KeepProgress::Waits {
                return true;
            }
            for key in &keep.workers {
                if let Some(worker) = self.workers.get_mut(*key) {
                    worker.kept = None;
                }
            }
            // Workers that come and go must not make it last.
            let paused_ms = match progress {
                KeepProgress::InVain => keep.paused_ms,
                KeepProgress::Unusable => now_ms - keep.since_ms,
                KeepProgress::Waits | KeepProgress::Ended => 0,
            };
            if paused_ms > 0 {
                let paused_until_ms = now_ms + paused_ms;
                rooms.paused_until_ms.insert(keep.step, paused_until_ms);
            }
            self.stats.rooms_kept_in_vain += u64::from(progress == KeepProgress::InVain);
            false
        });
        self.kept_rooms = rooms;
    }

    fn keep_progress(&self, keep: &Keep, now_ms: u64) -> KeepProgress {
        let mut is_used_up = true;
        let mut is_usable = true;
        for key in &keep.workers {
            let worker = self.workers.get(*key);
            let kept = worker.and_then(|worker| worker.kept);
            is_used_up &= kept.is_none_or(|kept| kept.resources == Resources::default());
            is_usable &= worker.is_some_and(|worker| {
                worker.untimed_exclusion().is_none() && !self.is_evacuated(worker)
            });
        }
        let is_idle = keep
            .half_empty_since_ms
            .is_some_and(|since_ms| now_ms >= since_ms + MAX_HALF_EMPTY_MS);
        match () {
            () if self.waiting_tasks(keep.job, keep.step) == 0 => KeepProgress::Ended,
            () if !is_usable => KeepProgress::Unusable,
            () if is_used_up || self.has_no_use(keep) => KeepProgress::Ended,
            () if is_idle || now_ms >= keep.until_ms => KeepProgress::InVain,
            () => KeepProgress::Waits,
        }
    }

    /// Returns whether all waiting tasks of a step wait for their share of the service, so that they
    /// would not start in its kept room either. Room that is kept for it could be idle until the
    /// end of its time while nothing may start there.
    fn has_no_use(&self, keep: &Keep) -> bool {
        let Some(job) = self.jobs.get(keep.job) else {
            return true;
        };
        let first = keep.step.first_task();
        let (Some(step), Some(state)) = (job.step(first), job.step_state(first)) else {
            return true;
        };
        let mut waiting = state.tasks.iter().filter(|task| task.is_waiting());
        waiting.all(|task| task.run == 0) && self.is_long_running_share_full(keep.job, step)
    }

    /// Returns the services of whose processors runs reserve less than half.
    pub(super) fn half_empty_services(&self) -> BTreeSet<Box<str>> {
        let mut used_milli: BTreeMap<&str, u64> = BTreeMap::new();
        for worker in self.workers.values() {
            if worker.is_listed && !self.is_evacuated(worker) {
                *used_milli.entry(&worker.entry.service).or_default() += worker.used.cpu_milli;
            }
        }
        let mut half_empty = BTreeSet::new();
        for (service, resources) in self.service_resources() {
            let used_milli = used_milli.get(&*service).copied().unwrap_or_default();
            if used_milli * 2 < resources.cpu_milli {
                half_empty.insert(service);
            }
        }
        half_empty
    }

    /// Returns a step that has waited for longer than its job can bear, if it is one for which room
    /// may be kept. Best-effort tasks reserve no processors, and a permit names other workers than
    /// those where the task would fit.
    pub(super) fn blocked_step(
        &self,
        key: JobKey,
        first: TaskId,
        step: &Step,
        now_ms: u64,
    ) -> Option<BlockedStep> {
        let job = &self.jobs[key];
        let waiting_since_ms = job.step_state(first)?.waiting_since_ms?;
        let is_too_long = now_ms >= waiting_since_ms + max_wait_ms(job.allowed_ms());
        let may_be_kept = !step.is_best_effort && !job.submission.needs_permits();
        let is_on = self.bounds.policy.fair_shares;
        (is_on && may_be_kept && is_too_long).then_some(BlockedStep {
            job: key,
            step: StepId::of(first),
            waiting_since_ms,
        })
    }

    /// Keeps room for the first of some steps that have waited for too long while narrower tasks have
    /// started. They are in the order of their urgency.
    pub(super) fn keep_rooms(
        &mut self,
        blocked: &[BlockedStep],
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if blocked.is_empty() || now.steady_ms < self.kept_rooms.next_search_ms {
            return;
        }
        let latest_starts = self.latest_starts();
        let mut considered = 0;
        for blocked in blocked {
            if !self.is_passed_over(*blocked, &latest_starts) {
                continue;
            }
            if considered == MAX_CONSIDERED {
                break;
            }
            considered += 1;
            if !self.keep_room(*blocked, now, actions) {
                let paused_until_ms = now.steady_ms + RETRY_MS;
                let paused = &mut self.kept_rooms.paused_until_ms;
                paused.insert(blocked.step, paused_until_ms);
            }
        }
        let run_count = |worker: &Worker| worker.runs.len().max(1) as u64;
        let runs: u64 = self.workers.values().map(run_count).sum();
        let gap_ms = placing_gap_ms(runs * (1 + considered), self.bounds.cpu_permille);
        self.kept_rooms.next_search_ms = now.steady_ms + gap_ms.max(SEARCH_INTERVAL_MS);
    }

    /// Returns whether narrower tasks have started while a step waited, and room may be kept for it.
    fn is_passed_over(&self, blocked: BlockedStep, latest_starts: &LatestStarts) -> bool {
        let rooms = &self.kept_rooms;
        let is_kept = rooms.keeps.iter().any(|keep| keep.step == blocked.step);
        if is_kept || rooms.paused_until_ms.contains_key(&blocked.step) {
            return false;
        }
        let submission = &self.jobs[blocked.job].submission;
        let resources = submission.steps[usize::from(blocked.step.step)].resources();
        let Some(starts) = latest_starts.get(submission.service.as_str()) else {
            return false;
        };
        starts.iter().any(|(started, started_ms)| {
            *started_ms > blocked.waiting_since_ms && !started.can_fit(resources)
        })
    }

    fn latest_starts(&self) -> LatestStarts {
        let mut latest = LatestStarts::new();
        for worker in self.workers.values() {
            if worker.runs.is_empty() {
                continue;
            }
            let starts = latest.entry(worker.entry.service.clone()).or_default();
            for run in worker.runs.values() {
                if run.is_best_effort {
                    continue;
                }
                let started_ms = starts.entry(run.resources).or_default();
                *started_ms = run.started_ms.max(*started_ms);
            }
        }
        latest
    }

    /// Keeps room for a step, and returns whether there is any.
    fn keep_room(&mut self, blocked: BlockedStep, now: Now, actions: &mut Vec<Action>) -> bool {
        let submission = self.jobs[blocked.job].submission.clone();
        let Some(step) = submission.steps.get(usize::from(blocked.step.step)) else {
            return false;
        };
        if self.wait_reason_of(blocked, step, now.steady_ms) != WaitReason::Worker {
            return false;
        }
        let need = Need {
            task: step.resources(),
            tasks: self.waiting_tasks(blocked.job, blocked.step) as usize,
            max_per_worker: step.max_per_worker as usize,
            is_gang: step.is_gang,
        };
        let mut candidates = Vec::new();
        let mut kept_workers = 0;
        for (key, worker) in self.workers.eligible() {
            if *worker.entry.service != *submission.service
                || worker.exclusion(now.steady_ms).is_some()
                || self.is_evacuated(worker)
                || !worker.has_label(&step.label)
                || !worker.may_add(step, blocked.step)
            {
                continue;
            }
            if worker.kept.is_some() {
                kept_workers += 1;
                continue;
            }
            let mut ends = Vec::new();
            for ((task, _), run) in &worker.runs {
                if !run.is_long_running {
                    ends.push((self.ends_in_ms(*task, run, now.steady_ms), run.resources));
                }
            }
            candidates.push(Candidate {
                key,
                free: worker.free(),
                ends,
            });
        }
        let max_workers = max_workers(candidates.len() + kept_workers).saturating_sub(kept_workers);
        let Some(choice) = choose(need, candidates, max_workers) else {
            return false;
        };
        let waited_ms = now.steady_ms - blocked.waiting_since_ms;
        let keep_ms = keep_ms(self.jobs[blocked.job].allowed_ms(), choice.fits_in_ms);
        let precedence = Precedence::of(&submission);
        for (key, tasks) in &choice.workers {
            self.workers[*key].kept = Some(KeptRoom {
                step: blocked.step,
                resources: need.task.times(*tasks as u64),
                precedence,
            });
        }
        self.stats.rooms_kept += 1;
        actions.push(Action::Note(Note::new(
            Code::RoomKept,
            blocked.step.to_string(),
            format!(
                "queue={} waited_ms={waited_ms} tasks={} workers={} fits_in_ms={} at_most_ms={keep_ms}",
                submission.queue,
                need.tasks,
                choice.workers.len(),
                choice.fits_in_ms
            ),
        )));
        let keep = Keep {
            job: blocked.job,
            step: blocked.step,
            service: submission.service.as_str().into(),
            workers: choice.workers.into_keys().collect(),
            until_ms: now.steady_ms + keep_ms,
            half_empty_since_ms: None,
            since_ms: now.steady_ms,
            paused_ms: keep_ms,
        };
        self.kept_rooms.keeps.push(keep);
        true
    }

    /// Returns the number of tasks of a step that wait.
    fn waiting_tasks(&self, job: JobKey, step: StepId) -> u32 {
        let job = self.jobs.get(job);
        let state = job.and_then(|job| job.step_state(step.first_task()));
        state.map_or(0, |state| state.waiting)
    }

    /// Returns the time in milliseconds until a run should end, by its progress or by the estimate of
    /// its caller. A run that takes longer than estimated is taken to be half done.
    fn ends_in_ms(&self, task: TaskId, run: &Run, now_ms: u64) -> u64 {
        let elapsed_ms = now_ms.saturating_sub(run.started_ms);
        if run.percent > 0 && run.first_percent == 0 {
            let left_percent = u64::from(100_u32.saturating_sub(run.percent));
            return elapsed_ms * left_percent / u64::from(run.percent);
        }
        let key = self.job_keys.get(&task.job);
        let step = key.and_then(|key| self.jobs[*key].step(task));
        let estimated_ms = step.map_or(0, |step| step.estimated_ms);
        match estimated_ms > elapsed_ms {
            true => estimated_ms - elapsed_ms,
            false => elapsed_ms,
        }
    }
}
