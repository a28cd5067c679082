//! Starts a task of each best-effort job of which nothing runs, at a reduced share where no worker
//! takes it at its full share.

use crate::event::Action;
use crate::event::Now;
use crate::ids::StepId;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::costs::Isolation;
use crate::owner::costs::Offer;
use crate::owner::costs::TaskRequirements;
use crate::owner::gangs::align_members;
use crate::owner::job::JobKey;
use crate::owner::job::Occurrence;
use crate::owner::worker::WorkerKey;
use crate::policy::idle_starts::MAX_IDLE_BUSY_MS;
use crate::policy::idle_starts::MAX_IDLE_MS;
use crate::policy::kept_room::Precedence;
use crate::policy::link::CallPriority;
use crate::record::Step;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Interval between two searches for jobs of which nothing runs.
const SEARCH_INTERVAL_MS: u64 = 250;
/// Maximum number of workers that one search evaluates for all jobs together, unless one job takes
/// more.
const MAX_EVALUATED: usize = 4_000;
/// Time for which a job is not considered again if no worker takes its task, so that others have
/// their turn.
const RETRY_MS: u64 = 1_000;

/// Time for which nothing of an occurrence has run that has its turn, but for long-running tasks and
/// those that were started for that reason.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Idleness {
    since_ms: u64,
    /// It is considered at this time at the earliest.
    due_ms: u64,
    /// A task was started for that reason. The next one follows as soon as that has ended.
    has_started: bool,
}

impl Idleness {
    fn new(now_ms: u64) -> Self {
        Self {
            since_ms: now_ms,
            due_ms: now_ms + MAX_IDLE_MS,
            has_started: false,
        }
    }
}

/// A step that has its turn, of an occurrence of which nothing runs.
#[derive(Debug, Clone, Copy)]
struct IdleStep {
    idle: Idleness,
    job: JobKey,
    /// Position of the occurrence in the job.
    position: usize,
    /// The first task of the step.
    first: TaskId,
}

impl Owner {
    /// Starts a task of each best-effort job of which nothing has run for too long, those that have
    /// waited for longest first.
    pub(super) fn start_idle_jobs(&mut self, now: Now, actions: &mut Vec<Action>) {
        if !self.bounds.policy.starts_idle_jobs || now.steady_ms < self.next_idle_search_ms {
            return;
        }
        self.next_idle_search_ms = now.steady_ms + SEARCH_INTERVAL_MS;
        let mut idle = self.list_idle_steps(now.steady_ms);
        idle.sort_by_key(|step| (step.idle.has_started, step.idle.since_ms));
        let max_steps = MAX_EVALUATED.div_ceil(self.workers.len().max(1));
        for step in idle.iter().take(max_steps) {
            if !self.link.admits(CallPriority::Start) {
                return;
            }
            let has_started = self.start_idle(step, now, actions);
            let job = &mut self.jobs[step.job];
            // A permit may expire within the longer time.
            let retry_ms = match job.submission.needs_permits() {
                true => SEARCH_INTERVAL_MS,
                false => RETRY_MS,
            };
            let occurrence = &mut job.occurrences[step.position];
            occurrence.idle = Some(match has_started {
                true => Idleness {
                    has_started,
                    ..step.idle
                },
                false => Idleness {
                    due_ms: now.steady_ms + retry_ms,
                    ..step.idle
                },
            });
        }
    }

    /// Returns whether a best-effort step may start a task at a reduced share, so that permits are of
    /// use for workers that take none at its full share.
    pub(super) fn accepts_reduced_share(&self, id: StepId, step: &Step, now_ms: u64) -> bool {
        if !self.bounds.policy.starts_idle_jobs || !step.is_best_effort {
            return false;
        }
        let Some(key) = self.job_keys.get(&id.job) else {
            return false;
        };
        let mut occurrences = self.jobs[*key].occurrences.iter();
        let occurrence = occurrences.find(|occurrence| occurrence.number == id.occurrence);
        let idle = occurrence.and_then(|occurrence| occurrence.idle);
        idle.is_some_and(|idle| now_ms >= idle.since_ms + MAX_IDLE_MS)
    }

    /// Updates since when nothing of the occurrences of best-effort jobs runs, and returns the steps
    /// for which that is too long.
    fn list_idle_steps(&mut self, now_ms: u64) -> Vec<IdleStep> {
        let mut list = Vec::new();
        let half_empty = self.half_empty_services();
        for key in &self.live_jobs {
            let job = &mut self.jobs[*key];
            // A job that was cancelled or has failed stays among these until that is published.
            if job.phase.is_final() {
                continue;
            }
            let steps = &job.submission.steps;
            for (position, occurrence) in job.occurrences.iter_mut().enumerate() {
                let Some(number) = find_idle_step(occurrence, steps) else {
                    let running = occurrence.running_until_done(steps);
                    occurrence.idle = occurrence.idle.filter(|_| running == 1);
                    continue;
                };
                let idle = *occurrence.idle.get_or_insert(Idleness::new(now_ms));
                let is_busy = !half_empty.contains(&*job.submission.service);
                if now_ms < idle.due_ms || is_busy && now_ms < idle.since_ms + MAX_IDLE_BUSY_MS {
                    continue;
                }
                list.push(IdleStep {
                    idle,
                    job: *key,
                    position,
                    first: TaskId {
                        job: job.id,
                        occurrence: occurrence.number,
                        step: number,
                        index: 0,
                    },
                });
            }
        }
        list
    }

    /// Starts a task of a step at a reduced share, or all members of a gang, if workers take them.
    /// Returns whether they were assigned.
    fn start_idle(&mut self, idle: &IdleStep, now: Now, actions: &mut Vec<Action>) -> bool {
        let now_ms = now.steady_ms;
        let submission = self.jobs[idle.job].submission.clone();
        let Some(step) = submission.steps.get(usize::from(idle.first.step)) else {
            return false;
        };
        let tasks = self.list_startable(idle, step, now_ms);
        let Some(task) = tasks.first().copied() else {
            return false;
        };
        let requirements = TaskRequirements {
            step,
            service: &submission.service,
            image: self.images.key(&step.image),
            task,
            precedence: Precedence::of(&submission),
            needs_permits: submission.needs_permits(),
            suspected_at: self.suspected_at(task),
            isolation: Isolation::None,
            accepts_reduced_share: true,
        };
        let offers = self.best_offers(&requirements, tasks.len(), now_ms);
        if offers.len() < tasks.len() {
            return false;
        }
        if step.is_gang
            && let Some(state) = self.jobs[idle.job].step_mut(task)
        {
            align_members(state);
        }
        for (task, (worker, offer)) in tasks.into_iter().zip(offers) {
            self.stats.idle_starts += 1;
            actions.push(Action::Note(Note::new(
                Code::IdleStart,
                task.to_string(),
                format!(
                    "worker={} share_percent={} since_ms={}",
                    self.workers[worker].entry.id,
                    offer.share_percent,
                    now_ms - idle.idle.since_ms
                ),
            )));
            self.assign(idle.job, task, worker, now, actions);
            self.limit_share(worker, task, offer.share_percent, actions);
        }
        true
    }

    /// Returns the first waiting task of a step that nothing but the choice of a worker delays, or
    /// all members of a gang if that is so for each of them.
    fn list_startable(&self, idle: &IdleStep, step: &Step, now_ms: u64) -> Vec<TaskId> {
        let ids = (0..step.count as u16).map(|index| TaskId {
            index,
            ..idle.first
        });
        let mut startable = ids.filter(|id| self.is_startable(*id, now_ms));
        if !step.is_gang {
            return startable.next().into_iter().collect();
        }
        let members: Vec<TaskId> = startable.collect();
        match members.len() == step.count as usize {
            true => members,
            false => Vec::new(),
        }
    }

    fn is_startable(&self, id: TaskId, now_ms: u64) -> bool {
        let Some(task) = self.task(id) else {
            return false;
        };
        let is_delayed = task.not_before_ms > now_ms
            || task.undecided_until_ms(now_ms).is_some()
            || self.must_be_alone(id);
        task.is_waiting() && !is_delayed && !self.orphans.contains_key(&id)
    }

    /// Returns the best offers of up to `count` workers, the best first.
    fn best_offers(
        &self,
        requirements: &TaskRequirements<'_>,
        count: usize,
        now_ms: u64,
    ) -> Vec<(WorkerKey, Offer)> {
        let mut offers = Vec::new();
        for (key, worker) in self.workers.eligible() {
            if let Ok(offer) = self.permitted_offer(key, worker, requirements, now_ms) {
                offers.push((key, offer));
            }
        }
        offers.sort_by_key(|(_, offer)| offer.cost);
        offers.truncate(count);
        offers
    }

    /// Limits the share of a run that was just assigned. The order follows once the run is present.
    fn limit_share(
        &mut self,
        worker: WorkerKey,
        task: TaskId,
        share_percent: u32,
        actions: &mut Vec<Action>,
    ) {
        let Some(key) = self.job_keys.get(&task.job).copied() else {
            return;
        };
        let Some(state) = self.jobs[key].task_mut(task) else {
            return;
        };
        state.max_share_percent = Some(share_percent);
        let number = state.run;
        if let Some(run) = self.workers[worker].runs.get_mut(&(task, number)) {
            run.limit_share(share_percent);
        }
        self.set_target_shares(worker, actions);
    }
}

/// Returns the number of the first best-effort step of an occurrence that has its turn and whose
/// tasks wait, if nothing but long-running tasks of the occurrence runs.
fn find_idle_step(occurrence: &Occurrence, steps: &[Step]) -> Option<u16> {
    if occurrence.running_until_done(steps) > 0 {
        return None;
    }
    for (number, (state, step)) in occurrence.steps.iter().zip(steps).enumerate() {
        let is_candidate = step.is_best_effort && state.waiting > 0;
        if is_candidate && occurrence.is_open(step) {
            return Some(number as u16);
        }
    }
    None
}
