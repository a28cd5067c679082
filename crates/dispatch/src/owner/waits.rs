//! Reasons why tasks wait that callers expect to run.
//!
//! This module makes no decisions. It evaluates the rules of placement again for steps that have
//! waited for long, so that logs and metrics show why a task does not run now.

use crate::event::Action;
use crate::event::Now;
use crate::ids::StepId;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::costs::Isolation;
use crate::owner::costs::TaskRequirements;
use crate::owner::disturbance::Disturbance;
use crate::owner::disturbance::DisturbanceCause;
use crate::owner::job::JobKey;
use crate::owner::kept_room::BlockedStep;
use crate::owner::worker::Exclusion;
use crate::policy::link::CallPriority;
use crate::record::Step;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::fmt::Formatter;

/// Interval between two searches for steps that have waited for long.
const SEARCH_INTERVAL_MS: u64 = 1_000;
/// Time after which a waiting step is reported.
const REPORT_AFTER_MS: u64 = 2_000;
/// Maximum number of steps reported by one search. Those that have waited for longest come first.
const MAX_REPORTED: usize = 10;

/// What a task waits for. Logs and metrics show the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitReason {
    /// The operator's rules, which this host has not read for too long.
    Rules,
    /// Capacity of this host's own network link.
    Link,
    /// Its delay after a failed or refused run.
    Pause,
    /// The exit of another member of its gang.
    Members,
    /// The exit of an orphan: a previous run that was given up but is still present at a worker.
    Stray,
    /// The decision whether workers that were lost while running it have crashed.
    Fate,
    /// A worker on which no other run may be the cause of a crash.
    Alone,
    /// The limit on the part of a service that long-running tasks may use.
    Share,
    /// The end of an evacuation: all workers that could run it are in evacuated failure domains.
    Evacuation,
    /// A worker on which it can be placed.
    Worker,
}

impl WaitReason {
    /// All reasons, in the order of their variants.
    pub const ALL: [WaitReason; 10] = [
        WaitReason::Rules,
        WaitReason::Link,
        WaitReason::Pause,
        WaitReason::Members,
        WaitReason::Stray,
        WaitReason::Fate,
        WaitReason::Alone,
        WaitReason::Share,
        WaitReason::Evacuation,
        WaitReason::Worker,
    ];

    /// Returns the name that metrics show.
    pub fn name(self) -> &'static str {
        match self {
            WaitReason::Rules => "rules",
            WaitReason::Link => "link",
            WaitReason::Pause => "pause",
            WaitReason::Members => "members",
            WaitReason::Stray => "stray",
            WaitReason::Fate => "fate",
            WaitReason::Alone => "alone",
            WaitReason::Share => "share",
            WaitReason::Evacuation => "evacuation",
            WaitReason::Worker => "worker",
        }
    }
}

/// A step of an occurrence that has waiting tasks.
struct WaitingStep {
    job: JobKey,
    first: TaskId,
    since_ms: u64,
    /// Its waiting tasks are long-running, and one of them has run before.
    is_restart: bool,
}

impl Owner {
    /// Reports the steps that have waited for long, with the reasons.
    pub(super) fn report_waits(&mut self, now: Now, actions: &mut Vec<Action>) {
        if now.steady_ms < self.next_waits_report_ms {
            return;
        }
        self.next_waits_report_ms = now.steady_ms + SEARCH_INTERVAL_MS;
        self.report_shares(now, actions);
        self.stats.waits = [0; WaitReason::ALL.len()];
        self.stats.oldest_waits_ms = [0; WaitReason::ALL.len()];
        let mut waiting = self.list_waiting(now.steady_ms);
        // Long-running tasks that are away come first: many others may have waited for longer.
        waiting.sort_by_key(|step| (!step.is_restart, step.since_ms));
        for (position, step) in waiting.iter().enumerate() {
            let submission = self.jobs[step.job].submission.clone();
            let Some(definition) = submission.steps.get(usize::from(step.first.step)) else {
                continue;
            };
            let (task, reason) = self.find_wait_reason(step, definition, now.steady_ms);
            let waited_ms = now.steady_ms - step.since_ms;
            self.stats.waits[reason as usize] += 1;
            let oldest_ms = &mut self.stats.oldest_waits_ms[reason as usize];
            *oldest_ms = waited_ms.max(*oldest_ms);
            if position >= MAX_REPORTED {
                continue;
            }
            let mut detail = format!(
                "why={reason:?} since_ms={waited_ms} tasks={} runs={}",
                definition.count,
                self.task(task).map_or(0, |task| task.run)
            );
            if matches!(
                reason,
                WaitReason::Worker | WaitReason::Alone | WaitReason::Evacuation
            ) {
                let counts = self.count_exclusions(step, definition, now.steady_ms);
                detail.push_str(&counts.to_string());
            }
            actions.push(Action::Note(Note::new(
                Code::TaskWaits,
                task.to_string(),
                detail,
            )));
        }
    }

    /// Records that all tasks that are ready to start wait, as nothing is placed.
    pub(super) fn record_waits(&mut self, now_ms: u64) {
        for key in &self.live_jobs {
            let job = &mut self.jobs[*key];
            let submission = job.submission.clone();
            for occurrence in &mut job.occurrences {
                for (number, step) in submission.steps.iter().enumerate() {
                    let is_open = occurrence.is_open(step);
                    let state = &mut occurrence.steps[number];
                    if is_open && state.waiting > 0 {
                        state.record_wait(true, state.waiting, now_ms);
                    }
                }
            }
        }
    }

    fn list_waiting(&self, now_ms: u64) -> Vec<WaitingStep> {
        let mut list = Vec::new();
        for key in &self.live_jobs {
            let job = &self.jobs[*key];
            for occurrence in &job.occurrences {
                for (number, state) in occurrence.steps.iter().enumerate() {
                    let Some(since_ms) = state.waiting_since_ms else {
                        continue;
                    };
                    if state.waiting == 0 || now_ms < since_ms + REPORT_AFTER_MS {
                        continue;
                    }
                    let first = TaskId {
                        job: job.id,
                        occurrence: occurrence.number,
                        step: number as u16,
                        index: 0,
                    };
                    list.push(WaitingStep {
                        job: *key,
                        first,
                        since_ms,
                        is_restart: job
                            .precedence(first, &job.submission.steps[number])
                            .is_restart,
                    });
                }
            }
        }
        list
    }

    /// Returns the reason why a step waits.
    pub(super) fn wait_reason_of(
        &self,
        blocked: BlockedStep,
        step: &Step,
        now_ms: u64,
    ) -> WaitReason {
        let waiting = WaitingStep {
            job: blocked.job,
            first: blocked.step.first_task(),
            since_ms: blocked.waiting_since_ms,
            is_restart: false,
        };
        self.find_wait_reason(&waiting, step, now_ms).1
    }

    /// Returns the first waiting task of a step, and the reason why it waits.
    fn find_wait_reason(
        &self,
        waiting: &WaitingStep,
        step: &Step,
        now_ms: u64,
    ) -> (TaskId, WaitReason) {
        let tasks = (0..step.count as u16).map(|index| TaskId {
            index,
            ..waiting.first
        });
        let is_waiting = |id: &TaskId| self.task(*id).is_some_and(|task| task.is_waiting());
        let id = tasks.clone().find(is_waiting).unwrap_or(waiting.first);
        if self.are_starts_paused {
            return (id, WaitReason::Rules);
        }
        if !self.link.has_room(CallPriority::Start) {
            return (id, WaitReason::Link);
        }
        if step.is_gang && !tasks.clone().all(|id| is_waiting(&id)) {
            return (id, WaitReason::Members);
        }
        let Some(task) = self.task(id) else {
            return (id, WaitReason::Worker);
        };
        let reason = match () {
            () if task.not_before_ms > now_ms => WaitReason::Pause,
            () if self.orphans.contains_key(&id) => WaitReason::Stray,
            () if self.undecided_until_ms(id, now_ms).is_some() => WaitReason::Fate,
            () if task
                .isolation_until_ms
                .is_some_and(|until_ms| now_ms < until_ms) =>
            {
                WaitReason::Alone
            }
            () if step.is_long_running
                && task.run == 0
                && self.is_long_running_share_full(waiting.job, step) =>
            {
                WaitReason::Share
            }
            () if self.is_blocked_by_evacuation(waiting, step, now_ms) => WaitReason::Evacuation,
            () => WaitReason::Worker,
        };
        (id, reason)
    }

    /// Returns whether only evacuated failure domains have workers that could run a step.
    fn is_blocked_by_evacuation(&self, waiting: &WaitingStep, step: &Step, now_ms: u64) -> bool {
        if self.evacuations.is_empty() {
            return false;
        }
        let counts = self.count_exclusions(waiting, step, now_ms);
        counts.eligible == 0 && counts.excluded.contains_key(&Exclusion::Evacuated)
    }

    /// Counts the workers of the service that are eligible for a step, and the others by the reason
    /// that excludes them.
    fn count_exclusions(&self, waiting: &WaitingStep, step: &Step, now_ms: u64) -> WorkerCounts {
        let submission = &self.jobs[waiting.job].submission;
        let requirements = TaskRequirements {
            step,
            service: &submission.service,
            image: self.images.find(&step.image),
            task: waiting.first,
            precedence: self.jobs[waiting.job].precedence(waiting.first, step),
            needs_permits: submission.needs_permits(),
            suspected_at: None,
            isolation: Isolation::None,
            accepts_reduced_share: false,
        };
        let mut counts = WorkerCounts::default();
        for (key, worker) in &self.workers {
            match self.permitted_cost(key, worker, &requirements, now_ms) {
                Ok(_) => {
                    counts.eligible += 1;
                    counts.capacity += worker.capacity_for(step);
                }
                Err(Exclusion::Service) => {}
                Err(exclusion) => {
                    *counts.excluded.entry(exclusion).or_default() += 1;
                    if exclusion == Exclusion::Kept {
                        counts.kept_for = worker.kept.map(|kept| kept.step);
                    }
                    if exclusion == Exclusion::Disturbed
                        && let Err(disturbance) =
                            self.interference_cost(worker, &requirements, now_ms)
                    {
                        let figures = counts.disturbances.entry(disturbance.cause).or_default();
                        figures.add(disturbance);
                    }
                }
            }
        }
        counts
    }
}

/// Number of workers of a service that are eligible for a step, and of those that are not, by
/// reason.
#[derive(Debug, Default)]
struct WorkerCounts {
    /// Workers on which a task of the step can be placed.
    eligible: u32,
    /// Number of tasks of the step that fit on these workers.
    capacity: u32,
    excluded: BTreeMap<Exclusion, u32>,
    /// Workers that interference excludes, by its cause.
    disturbances: BTreeMap<DisturbanceCause, DisturbanceFigures>,
    /// A step for which room is kept on workers where there is enough of it.
    kept_for: Option<StepId>,
}

/// Figures of the workers that interference excludes for one cause.
#[derive(Debug)]
struct DisturbanceFigures {
    workers: u32,
    min_solo_headroom: f64,
    min_headroom_loss: f64,
    max_headroom_loss: f64,
}

impl Default for DisturbanceFigures {
    fn default() -> Self {
        Self {
            workers: 0,
            min_solo_headroom: f64::INFINITY,
            min_headroom_loss: f64::INFINITY,
            max_headroom_loss: 0.0,
        }
    }
}

impl DisturbanceFigures {
    fn add(&mut self, disturbance: Disturbance) {
        self.workers += 1;
        self.min_solo_headroom = self.min_solo_headroom.min(disturbance.solo_headroom);
        self.min_headroom_loss = self.min_headroom_loss.min(disturbance.headroom_loss);
        self.max_headroom_loss = self.max_headroom_loss.max(disturbance.headroom_loss);
    }
}

impl Display for WorkerCounts {
    // A gang waits until all of its members fit, so `room_for` is shown as well as `open`.
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(
            formatter,
            " open={} room_for={}",
            self.eligible, self.capacity
        )?;
        for (exclusion, count) in &self.excluded {
            write!(formatter, " {exclusion:?}={count}")?;
        }
        for (cause, figures) in &self.disturbances {
            write!(
                formatter,
                " disturbed_by_{cause:?}={} min_solo_headroom={:.2} headroom_loss={:.2}..{:.2}",
                figures.workers,
                figures.min_solo_headroom,
                figures.min_headroom_loss,
                figures.max_headroom_loss
            )?;
        }
        match self.kept_for {
            Some(step) => write!(formatter, " kept_for={step}"),
            None => Ok(()),
        }
    }
}
