//! A stand-in of a worker with tokens, leases, runs, exits and late orders.

use crate::fleet::promises::Promises;
use goldcrestway_dispatch::ExitReason;
use goldcrestway_dispatch::Incarnation;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::OrderOutcome;
use goldcrestway_dispatch::Refusal;
use goldcrestway_dispatch::Resources;
use goldcrestway_dispatch::RunExit;
use goldcrestway_dispatch::RunReport;
use goldcrestway_dispatch::TaskId;
use goldcrestway_dispatch::WorkerCall;
use goldcrestway_dispatch::WorkerReport;
use std::collections::BTreeMap;

/// Behaviour of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Tasks run normally.
    Healthy,
    /// The worker answers, but its tasks make no progress.
    Hangs,
    /// All tasks fail when they start.
    Fails,
    /// Tasks take six times as long.
    Slow,
}

/// A running task.
#[derive(Debug, Clone)]
struct Running {
    run: u32,
    task_started_ms: u64,
    resources: Resources,
    remaining_ms: u64,
    work_ms: u64,
    is_long_running: bool,
    share_percent: u32,
    /// Time at which it has ended, once it is being stopped.
    stopped_ms: Option<u64>,
}

/// An incarnation of a worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) id: Box<str>,
    pub(crate) is_alive: bool,
    pub(crate) behaviour: Behaviour,
    pub(crate) resources: Resources,
    /// Time of the last change of its resources.
    resized_ms: u64,
    /// Time of its start, at which its clock began to count.
    started_ms: u64,
    /// Wall-clock time of its start as it reports it.
    pub(crate) started_wall_ms: u64,
    /// Whether it refuses tasks that exceed its resources.
    pub(crate) enforces_resources: bool,
    token: u64,
    lease_until_ms: u64,
    running: BTreeMap<TaskId, Running>,
    fenced_runs: BTreeMap<TaskId, u32>,
    exits: Vec<RunExit>,
    /// Maximum number of exits in a report.
    pub(crate) exits_per_report: usize,
    next_exit: u64,
    /// First exit since the lease expired; `None` while the lease is expired.
    unexpired_from_exit: Option<u64>,
    /// Exits that may end the other members of a gang.
    recent_exits: Vec<(TaskId, u32, ExitReason)>,
    /// Tail latency of latency-critical tasks without best-effort tasks, and the latency that each
    /// best-effort task at full share adds.
    pub(crate) tail_ms: u64,
    pub(crate) interference_ms: u64,
    /// The same for jobs whose tasks add another latency.
    pub(crate) job_interference_ms: BTreeMap<JobId, u64>,
    /// Time that a stop takes; a task that is being stopped still uses its resources.
    pub(crate) stop_ms: u64,
    /// Longest lease that it grants.
    pub(super) max_lease_ms: u64,
}

/// Time after which reduced resources count: a worker is out of contact for 3 s, and has reported
/// itself one report interval later.
const RESOURCES_REPORTED_MS: u64 = 4_500;
/// Factor by which tasks take longer on a slow worker.
const SLOW_FACTOR: u64 = 6;
/// Exits that a worker lists at a time.
const EXITS_PER_REPORT: usize = 500;
/// Longest lease that a worker grants unless a test sets another one.
pub(super) const MAX_LEASE_MS: u64 = 6_000;

impl Worker {
    pub(crate) fn new(id: &str, resources: Resources) -> Self {
        Self {
            id: id.into(),
            is_alive: true,
            behaviour: Behaviour::Healthy,
            resources,
            resized_ms: 0,
            started_ms: 0,
            started_wall_ms: 0,
            enforces_resources: true,
            token: 0,
            lease_until_ms: 0,
            running: BTreeMap::new(),
            fenced_runs: BTreeMap::new(),
            exits: Vec::new(),
            exits_per_report: EXITS_PER_REPORT,
            next_exit: 1,
            unexpired_from_exit: None,
            recent_exits: Vec::new(),
            tail_ms: 5,
            interference_ms: 0,
            job_interference_ms: BTreeMap::new(),
            stop_ms: 0,
            max_lease_ms: MAX_LEASE_MS,
        }
    }

    /// Restarts under the same id: all previous state is lost, and its counters and its clock start
    /// again.
    pub(crate) fn restart(&mut self, now_ms: u64, started_wall_ms: u64) {
        *self = Self {
            started_ms: now_ms,
            started_wall_ms,
            resized_ms: 0,
            enforces_resources: self.enforces_resources,
            stop_ms: self.stop_ms,
            exits_per_report: self.exits_per_report,
            max_lease_ms: self.max_lease_ms,
            ..Self::new(&self.id, self.resources)
        };
    }

    /// Returns the time of its clock.
    fn clock_ms(&self, now_ms: u64) -> u64 {
        now_ms - self.started_ms
    }

    /// Advances the time of its runs.
    pub(crate) fn advance(&mut self, now_ms: u64, step_ms: u64, promises: &mut Promises) {
        if !self.is_alive {
            return;
        }
        let now_ms = self.clock_ms(now_ms);
        if now_ms > self.lease_until_ms {
            self.unexpired_from_exit = None;
        }
        let mut ended = Vec::new();
        for (task, running) in &mut self.running {
            if now_ms > self.lease_until_ms {
                ended.push((*task, ExitReason::Lapsed));
                continue;
            }
            if let Some(stopped_ms) = running.stopped_ms {
                if now_ms >= stopped_ms {
                    ended.push((*task, ExitReason::Stopped));
                }
                continue;
            }
            match self.behaviour {
                Behaviour::Hangs => continue,
                Behaviour::Fails => ended.push((*task, ExitReason::Failed)),
                Behaviour::Healthy if promises.failing.contains(&task.job) => {
                    ended.push((*task, ExitReason::Failed));
                }
                Behaviour::Healthy | Behaviour::Slow if running.is_long_running => {}
                Behaviour::Slow if !(now_ms / step_ms).is_multiple_of(SLOW_FACTOR) => {}
                Behaviour::Healthy | Behaviour::Slow => {
                    running.remaining_ms = running.remaining_ms.saturating_sub(step_ms);
                    if running.remaining_ms == 0 {
                        ended.push((*task, ExitReason::Done));
                    }
                }
            }
        }
        for (task, exit_reason) in ended {
            if exit_reason == ExitReason::Done {
                promises.record_completed(task);
            }
            self.finish(task, exit_reason);
        }
    }

    fn finish(&mut self, task: TaskId, exit_reason: ExitReason) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        let fenced_runs = self.fenced_runs.entry(task).or_default();
        *fenced_runs = (*fenced_runs).max(running.run);
        self.recent_exits.push((task, running.run, exit_reason));
        self.exits.push(RunExit {
            number: self.next_exit,
            task,
            run: running.run,
            exit_reason,
            checkpoint: "".into(),
        });
        self.next_exit += 1;
    }

    /// Removes and returns the exits since the last call.
    pub(crate) fn drain_recent_exits(&mut self) -> Vec<(TaskId, u32, ExitReason)> {
        std::mem::take(&mut self.recent_exits)
    }

    /// Ends the members of a gang that run there, as another member has ended.
    pub(crate) fn end_gang_members(&mut self, other: TaskId, run: u32, exit_reason: ExitReason) {
        let is_member = |(task, running): &(&TaskId, &Running)| {
            task.job == other.job && task.step == other.step && running.run == run
        };
        let members: Vec<TaskId> = self
            .running
            .iter()
            .filter(is_member)
            .map(|member| *member.0)
            .collect();
        for task in members {
            let exit_reason = match exit_reason {
                ExitReason::Done => ExitReason::Done,
                _ => ExitReason::Broken,
            };
            self.finish(task, exit_reason);
        }
    }

    /// Stops without notice: its runs end unreported.
    pub(crate) fn die(&mut self) {
        for (task, running) in &self.running {
            self.recent_exits
                .push((*task, running.run, ExitReason::Broken));
        }
        self.is_alive = false;
        self.running.clear();
    }

    /// Changes its resources.
    pub(crate) fn resize(&mut self, resources: Resources, now_ms: u64) {
        self.resources = resources;
        self.resized_ms = now_ms;
    }

    /// Returns the start time of a running task; 0 if it does not run there.
    pub(crate) fn task_started_ms(&self, task: TaskId) -> u64 {
        self.running
            .get(&task)
            .map_or(0, |running| running.task_started_ms)
    }

    /// Returns whether a task runs there.
    pub(crate) fn runs(&self, task: TaskId) -> bool {
        self.is_alive && self.running.contains_key(&task)
    }

    /// Returns the tasks that run there.
    pub(crate) fn tasks(&self) -> impl Iterator<Item = TaskId> + '_ {
        self.running.keys().copied().filter(|_| self.is_alive)
    }

    /// Returns the CPU share of each best-effort task, in percent.
    pub(crate) fn shares(&self) -> Vec<u32> {
        let best_effort = self.running.values();
        best_effort
            .filter(|running| !running.is_long_running)
            .map(|running| running.share_percent)
            .collect()
    }

    /// Executes an order.
    pub(crate) fn execute(
        &mut self,
        now_ms: u64,
        token: u64,
        call: &WorkerCall,
        promises: &mut Promises,
    ) -> OrderOutcome {
        if token < self.token {
            return OrderOutcome::Refused(Refusal::Fence);
        }
        self.token = token;
        let mut report = None;
        match call {
            WorkerCall::Start {
                task,
                run,
                lease_until_ms,
                permit,
                ..
            } => {
                let is_permitted = permit.parse().is_ok_and(|until_ms| now_ms <= until_ms);
                if promises.needs_permit(*task) && !is_permitted {
                    promises.refused_permits += 1;
                    return OrderOutcome::Refused(Refusal::Permit);
                }
                self.extend(*lease_until_ms, self.clock_ms(now_ms));
                if promises.faulty.contains(&task.job) {
                    return OrderOutcome::Refused(Refusal::Faulty);
                }
                if let Some(refusal) = self.start(now_ms, *task, *run, *lease_until_ms, promises) {
                    return OrderOutcome::Refused(refusal);
                }
            }
            WorkerCall::Stop { task, run } => {
                let fenced_runs = self.fenced_runs.entry(*task).or_default();
                *fenced_runs = (*fenced_runs).max(*run);
                if let Some(running) = self.running.get_mut(task)
                    && running.run <= *run
                {
                    let gone_ms = now_ms - self.started_ms + self.stop_ms;
                    running.stopped_ms.get_or_insert(gone_ms);
                    if self.stop_ms == 0 {
                        self.finish(*task, ExitReason::Stopped);
                    }
                }
            }
            WorkerCall::SetShare { task, percent, .. } => {
                if let Some(running) = self.running.get_mut(task) {
                    running.share_percent = *percent;
                }
            }
            WorkerCall::Poll {
                acknowledged_exit,
                lease_until_ms,
                ..
            } => {
                if let Some(until_ms) = lease_until_ms {
                    self.extend(*until_ms, self.clock_ms(now_ms));
                }
                for exit in self
                    .exits
                    .iter()
                    .filter(|exit| exit.number <= *acknowledged_exit)
                {
                    let has_expired = self
                        .unexpired_from_exit
                        .is_none_or(|from| exit.number < from);
                    promises.record_acknowledged_exit(exit, has_expired);
                }
                self.exits.retain(|exit| exit.number > *acknowledged_exit);
                for exit in self.exits.iter().take(self.exits_per_report) {
                    if exit.exit_reason == ExitReason::Failed {
                        promises.record_listed_failure(exit);
                    }
                    if self
                        .unexpired_from_exit
                        .is_some_and(|from| exit.number >= from)
                    {
                        promises.record_reported_exit(exit);
                    }
                }
                report = Some(self.build_report());
            }
        }
        OrderOutcome::Done {
            clock_ms: self.clock_ms(now_ms),
            report,
        }
    }

    fn extend(&mut self, until_ms: u64, now_ms: u64) {
        let latest_ms = now_ms + self.max_lease_ms;
        self.lease_until_ms = self.lease_until_ms.max(until_ms.min(latest_ms));
        self.unexpired_from_exit.get_or_insert(self.next_exit);
    }

    fn start(
        &mut self,
        now_ms: u64,
        task: TaskId,
        run: u32,
        until_ms: u64,
        promises: &mut Promises,
    ) -> Option<Refusal> {
        if self
            .running
            .get(&task)
            .is_some_and(|running| running.run == run)
        {
            return None;
        }
        if self
            .fenced_runs
            .get(&task)
            .is_some_and(|fenced_runs| run <= *fenced_runs)
        {
            return Some(Refusal::Old);
        }
        if until_ms < self.clock_ms(now_ms) {
            return Some(Refusal::Late);
        }
        let plan = promises.record_start_attempt(&self.id, task, run);
        let mut used = plan.resources;
        for running in self.running.values() {
            used = used.plus(running.resources);
        }
        if !self.resources.can_fit(used) {
            // Before that, its owner cannot know that the resources were reduced.
            let since_ms = self.resized_ms.max(promises.disturbed_ms);
            let is_told = since_ms == 0 || now_ms >= since_ms + RESOURCES_REPORTED_MS;
            promises.refused_room += u32::from(is_told);
            if self.enforces_resources {
                return Some(Refusal::Room);
            }
        }
        promises.record_start(task);
        let running = Running {
            run,
            task_started_ms: now_ms,
            resources: plan.resources,
            remaining_ms: plan.work_ms,
            work_ms: plan.work_ms.max(1),
            is_long_running: plan.is_long_running,
            share_percent: 100,
            stopped_ms: None,
        };
        self.running.insert(task, running);
        None
    }

    /// Returns the tail latency of its latency-critical tasks.
    pub(crate) fn tail_now_ms(&self) -> u64 {
        let mut interference_sum_ms = 0;
        for (task, running) in &self.running {
            if running.is_long_running {
                continue;
            }
            let own_ms = self.job_interference_ms.get(&task.job);
            let added_ms = own_ms.copied().unwrap_or(self.interference_ms);
            interference_sum_ms += added_ms * u64::from(running.share_percent) / 100;
        }
        self.tail_ms + interference_sum_ms
    }

    fn build_report(&self) -> WorkerReport {
        let mut runs = Vec::new();
        for (task, running) in &self.running {
            let (percent, gauge) = match running.is_long_running {
                true => (100, self.tail_now_ms()),
                false => {
                    let done_ms = running.work_ms - running.remaining_ms.min(running.work_ms);
                    let use_milli = 10 * u64::from(running.share_percent);
                    ((done_ms * 100 / running.work_ms) as u32, use_milli)
                }
            };
            runs.push(RunReport {
                task: *task,
                run: running.run,
                checkpoint: "".into(),
                percent,
                gauge,
            });
        }
        WorkerReport {
            incarnation: Incarnation::new(self.started_wall_ms),
            runs,
            exits: self
                .exits
                .iter()
                .take(self.exits_per_report)
                .cloned()
                .collect(),
            has_more_exits: self.exits.len() >= self.exits_per_report,
        }
    }
}
