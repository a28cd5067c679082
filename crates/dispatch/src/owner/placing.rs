//! Placement of waiting tasks: which task starts next, and on which worker.

use crate::config::Resources;
use crate::event::Action;
use crate::event::Now;
use crate::ids::StepId;
use crate::ids::TaskId;
use crate::job_times::Phase;
use crate::owner::Owner;
use crate::owner::costs::Isolation;
use crate::owner::costs::TaskRequirements;
use crate::owner::job::JobKey;
use crate::owner::kept_room::BlockedStep;
use crate::owner::projections::Expectation;
use crate::owner::task::Placement;
use crate::owner::worker::RunPhase;
use crate::owner::worker::WorkerKey;
use crate::policy::fair_shares::NEUTRAL_RANK;
use crate::policy::images::ImageKey;
use crate::policy::kept_room::Precedence;
use crate::policy::link::CallPriority;
use crate::policy::ordering::Urgency;
use crate::record::Step;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Maximum number of tasks placed in one pass. The rest follows with the next event, so that a
/// burst does not delay polls and orders to stop.
const MAX_PLACED_PER_PASS: usize = 400;
/// Time after which waiting tasks are evaluated again even if no event occurred.
const RETRY_INTERVAL_MS: u64 = 500;

/// A best-effort task for which no worker was found.
struct Unplaceable {
    service: Box<str>,
    image: ImageKey,
    precedence: Precedence,
    requested: Resources,
}

/// State of one placement pass.
struct PlacementPass {
    /// Number of tasks that may still be placed in this pass.
    remaining: usize,
    /// Best-effort tasks for which no worker was found.
    unplaceable: Vec<Unplaceable>,
    /// Steps that wait for longer than their jobs can bear.
    blocked: Vec<BlockedStep>,
}

impl PlacementPass {
    /// Returns whether no worker was found in this pass for a best-effort task of the same service
    /// and image that requests the same resources or less of each, and that may start wherever this
    /// one may.
    fn is_known_unplaceable(&self, requirements: &TaskRequirements<'_>) -> bool {
        requirements.step.is_best_effort
            && self.unplaceable.iter().any(|other| {
                *other.service == *requirements.service
                    && other.image == requirements.image
                    && !requirements.precedence.goes_before(other.precedence)
                    && requirements.step.requested().can_fit(other.requested)
            })
    }

    fn record_unplaceable(&mut self, requirements: &TaskRequirements<'_>) {
        let step = requirements.step;
        let is_plain =
            step.label.is_empty() && step.max_per_worker == 0 && !requirements.needs_permits;
        if step.is_best_effort && is_plain {
            self.unplaceable.push(Unplaceable {
                service: requirements.service.into(),
                image: requirements.image,
                precedence: requirements.precedence,
                requested: step.requested(),
            });
        }
    }
}

impl Owner {
    /// Places waiting tasks, the most urgent jobs first.
    pub(crate) fn place(&mut self, now: Now, actions: &mut Vec<Action>) {
        self.account_holds(now.steady_ms);
        if self.is_placing_paused() {
            return self.record_waits(now.steady_ms);
        }
        if !self.link.admits(CallPriority::Start) {
            self.must_place = true;
            return;
        }
        self.release_rooms(now.steady_ms);
        self.rank_queues(now.steady_ms);
        let mut order = Vec::new();
        self.stats.jobs_expected_late = 0;
        for index in 0..self.live_jobs.len() {
            let key = self.live_jobs[index];
            if !self.jobs[key].has_waiting {
                continue;
            }
            self.refresh_times(key, now);
            let rank = self.queue_rank(&self.jobs[key]);
            let waiting = self.jobs[key].waiting(rank, now);
            let urgency = Urgency::new(&waiting, &self.bounds.policy, now.steady_ms);
            self.stats.jobs_expected_late += u64::from(waiting.is_late(now.steady_ms));
            order.push((urgency, key));
        }
        order.sort_unstable();
        let mut pass = PlacementPass {
            remaining: MAX_PLACED_PER_PASS,
            unplaceable: Vec::new(),
            blocked: Vec::new(),
        };
        for (_, key) in order {
            self.place_job(key, now, &mut pass, actions);
            if pass.remaining == 0 {
                self.must_place = true;
                return;
            }
        }
        self.start_idle_jobs(now, actions);
        self.keep_rooms(&pass.blocked, now, actions);
        self.schedule_retry(now.steady_ms);
    }

    /// Schedules the next attempt to place waiting tasks. A worker may become available, or a
    /// serving task may regain headroom, without any event. Without this timer, the tasks would
    /// wait indefinitely.
    fn schedule_retry(&mut self, now_ms: u64) {
        if !self.live_jobs.iter().any(|key| self.jobs[*key].has_waiting) {
            return;
        }
        let avoided = self.workers.values().map(|worker| worker.avoided_until_ms);
        let available_ms = avoided.filter(|until_ms| *until_ms > now_ms).min();
        let latest_ms = now_ms + RETRY_INTERVAL_MS;
        self.wake_ms = self
            .wake_ms
            .min(available_ms.unwrap_or(latest_ms))
            .min(latest_ms);
    }

    fn place_job(
        &mut self,
        key: JobKey,
        now: Now,
        pass: &mut PlacementPass,
        actions: &mut Vec<Action>,
    ) {
        let submission = self.jobs[key].submission.clone();
        let mut job_waits = false;
        for position in 0..self.jobs[key].occurrences.len() {
            for (number, step) in submission.steps.iter().enumerate() {
                let occurrence = &self.jobs[key].occurrences[position];
                if occurrence.steps[number].waiting == 0 || !occurrence.is_open(step) {
                    continue;
                }
                let first = TaskId {
                    job: self.jobs[key].id,
                    occurrence: occurrence.number,
                    step: number as u16,
                    index: 0,
                };
                let waiting_before = occurrence.steps[number].waiting;
                self.ranking.set(None);
                let step_waits = self.place_step(key, first, step, now, pass, actions);
                self.account_wait(key, first, step, now.steady_ms);
                if step_waits && submission.needs_permits() {
                    self.permits.request(StepId::of(first));
                }
                job_waits |= step_waits;
                if let Some(state) = self.jobs[key].step_mut(first) {
                    state.record_wait(step_waits, waiting_before, now.steady_ms);
                }
                pass.blocked
                    .extend(self.blocked_step(key, first, step, now.steady_ms));
            }
        }
        self.jobs[key].has_waiting = job_waits;
    }

    /// Places the waiting tasks of a step. Returns whether some of them still wait.
    fn place_step(
        &mut self,
        key: JobKey,
        first: TaskId,
        step: &Step,
        now: Now,
        pass: &mut PlacementPass,
        actions: &mut Vec<Action>,
    ) -> bool {
        let submission = self.jobs[key].submission.clone();
        let requirements = TaskRequirements {
            step,
            service: &submission.service,
            image: self.images.key(&step.image),
            task: first,
            precedence: Precedence::of(&submission),
            needs_permits: submission.needs_permits(),
            suspected_at: match step.is_gang {
                true => self.suspected_at(first),
                false => None,
            },
            isolation: Isolation::None,
            accepts_reduced_share: false,
        };
        let restarting = TaskRequirements {
            precedence: self.jobs[key].precedence(first, step),
            ..requirements.clone()
        };
        if step.is_gang {
            return self.place_gang(key, &restarting, now, actions);
        }
        if pass.is_known_unplaceable(&requirements) {
            return true;
        }
        if restarting.precedence.is_restart {
            self.place_tasks(key, &restarting, now, pass, actions);
            if pass.remaining == 0 || self.jobs[key].phase.is_final() {
                return true;
            }
        }
        self.place_tasks(key, &requirements, now, pass, actions)
    }

    /// Places the waiting tasks of a step that is no gang, or only those that have run before if the
    /// precedence is theirs. Returns whether some of them still wait.
    fn place_tasks(
        &mut self,
        key: JobKey,
        requirements: &TaskRequirements<'_>,
        now: Now,
        pass: &mut PlacementPass,
        actions: &mut Vec<Action>,
    ) -> bool {
        let step = requirements.step;
        let first = requirements.task;
        // All of these tasks have the same requirements. Workers are therefore ranked once, and
        // only the worker that was just assigned a task is evaluated again.
        let mut ranked = self.rank_workers(requirements, now.steady_ms);
        let (resources_milli, mut long_running_milli) =
            self.long_running_usage(requirements.service, step);
        for index in 0..step.count as u16 {
            let id = TaskId { index, ..first };
            if self.has_orphan(id) {
                continue;
            }
            let Some(task) = self.jobs[key].task_mut(id) else {
                return false;
            };
            if !task.is_waiting() || requirements.precedence.is_restart && task.run == 0 {
                continue;
            }
            if task.not_before_ms > now.steady_ms {
                self.wake_ms = self.wake_ms.min(task.not_before_ms);
                continue;
            }
            let failed_on = task.failed_on;
            if task.is_used_up(now.steady_ms) {
                self.fail_crashing_job(key, id, now, actions);
                return false;
            }
            if let Some(until_ms) = task.undecided_until_ms(now.steady_ms) {
                self.wake_ms = self.wake_ms.min(until_ms);
                continue;
            }
            let is_suspect = task.is_suspect() || task.must_be_alone();
            let is_new = step.is_long_running && task.run == 0;
            if is_new && Self::is_long_running_limit_reached(resources_milli, long_running_milli) {
                return true;
            }
            let worker = match is_suspect {
                true => self.find_worker_for_suspect(key, requirements, id, now.steady_ms, actions),
                false => Self::pop_best(&mut ranked, failed_on),
            };
            let Some(worker) = worker else {
                if is_suspect {
                    // Other tasks of the step that are not suspected may still find a worker.
                    continue;
                }
                pass.record_unplaceable(requirements);
                return true;
            };
            self.assign(key, id, worker, now, actions);
            long_running_milli += step.cpu_milli;
            if is_suspect {
                ranked = self.rank_workers(requirements, now.steady_ms);
            } else if let Ok(cost) =
                self.placement_cost(&self.workers[worker], requirements, now.steady_ms)
            {
                ranked.push(Reverse((cost, worker)));
            }
            pass.remaining = match self.link.admits(CallPriority::Start) {
                true => pass.remaining.saturating_sub(1),
                false => 0,
            };
            if pass.remaining == 0 {
                return true;
            }
        }
        self.jobs[key]
            .step_mut(first)
            .is_some_and(|state| state.waiting > 0)
    }

    /// Finds the worker for a suspected task: the one where a crash would destroy the least work
    /// and would be the clearest evidence. If all suitable workers run another suspect, or tasks
    /// that have just begun if the task must be alone, it waits for a limited time.
    fn find_worker_for_suspect(
        &mut self,
        key: JobKey,
        requirements: &TaskRequirements<'_>,
        id: TaskId,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) -> Option<WorkerKey> {
        let isolation = self.needed_isolation(id, now_ms);
        let mut probe = TaskRequirements {
            suspected_at: self.suspected_at(id),
            isolation,
            ..requirements.clone()
        };
        if let Some(Reverse((_, worker))) = self.rank_workers(&probe, now_ms).pop() {
            return Some(worker);
        }
        if isolation == Isolation::None {
            return None;
        }
        probe.isolation = Isolation::None;
        let ranked = self.rank_workers(&probe, now_ms);
        let Reverse((_, worker)) = *ranked.peek()?;
        let mut others = ranked.iter();
        let has_reserved =
            others.any(|Reverse((_, other))| self.workers[*other].is_reserved_for(id.job, now_ms));
        if isolation == Isolation::Alone && !has_reserved {
            self.workers[worker].reserve(id.job, now_ms);
        }
        self.await_isolation(key, id, now_ms, actions);
        None
    }

    /// Removes the best worker for a task from the ranking. Returns the worker on which the task
    /// failed before only if there is no other.
    fn pop_best(
        ranked: &mut BinaryHeap<Reverse<(i64, WorkerKey)>>,
        failed_on: Option<WorkerKey>,
    ) -> Option<WorkerKey> {
        let Reverse(first) = ranked.pop()?;
        if failed_on != Some(first.1) {
            return Some(first.1);
        }
        match ranked.pop() {
            Some(Reverse((_, second))) => {
                ranked.push(Reverse(first));
                Some(second)
            }
            None => Some(first.1),
        }
    }

    /// Starts a speculative copy of a running task, if a worker has sufficient resources.
    pub(crate) fn place_speculative_copy(
        &mut self,
        key: JobKey,
        id: TaskId,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let submission = self.jobs[key].submission.clone();
        let Some(step) = submission.steps.get(usize::from(id.step)) else {
            return;
        };
        let requirements = TaskRequirements {
            step,
            service: &submission.service,
            image: self.images.key(&step.image),
            task: id,
            precedence: Precedence::of(&submission),
            needs_permits: submission.needs_permits(),
            suspected_at: self.suspected_at(id),
            isolation: Isolation::None,
            accepts_reduced_share: false,
        };
        let failed_on = self.jobs[key].task_mut(id).and_then(|task| task.failed_on);
        let mut ranked = self.rank_workers(&requirements, now.steady_ms);
        if let Some(worker) = Self::pop_best(&mut ranked, failed_on)
            && Some(worker) != failed_on
        {
            self.assign(key, id, worker, now, actions);
        }
    }

    /// Assigns a task to a worker. The order to start the new run is sent once the run is recorded.
    pub(crate) fn assign(
        &mut self,
        key: JobKey,
        id: TaskId,
        worker: WorkerKey,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let mut run = self.make_run(key, id, RunPhase::Recording, now.steady_ms);
        run.is_probe = self.suspected_at(id).is_some();
        run.is_test = self.must_be_alone(id);
        self.record_start(key, id);
        let job = &mut self.jobs[key];
        job.is_dirty = true;
        if !job.is_under_way() {
            let waiting = job.waiting(NEUTRAL_RANK, now);
            job.expected = Some(Expectation {
                begun_ms: now.steady_ms,
                times: job.known.times,
                is_late: waiting.is_late(now.steady_ms),
            });
        }
        job.has_placements = true;
        let Some(task) = job.task_mut(id) else {
            return;
        };
        task.run += 1;
        task.isolation_until_ms = None;
        task.isolation_since = None;
        let number = task.run;
        let checkpoint_bytes = task.checkpoint.len();
        let placement = Some(Placement {
            run: number,
            worker,
        });
        match task.placement {
            None => {
                task.placement = placement;
                task.max_share_percent = None;
            }
            Some(_) => task.copy = placement,
        }
        if let Some(step) = job.step_mut(id) {
            step.recount();
        }
        let text_bytes = checkpoint_bytes + job.specification.len();
        self.charge_start(text_bytes);
        self.timeline.enter(id, Phase::Recording, now.steady_ms);
        let is_best_effort = run.is_best_effort;
        self.workers[worker].use_kept_room(StepId::of(id), run.resources);
        let worker_state = &mut self.workers[worker];
        worker_state.add(id, number, run);
        worker_state.reserved_for = None;
        if !is_best_effort {
            self.set_target_shares(worker, actions);
        }
        self.writer.start_once_stored(worker, id, number);
    }
}
