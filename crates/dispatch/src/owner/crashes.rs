//! Workers that have crashed: what ran there, and which task took them down.
//!
//! A worker that can't be heard has not always crashed: it may be cut off, or this host's own
//! link may be full. It has crashed if another incarnation answers at its address, unless it was
//! leaving. That may be known at once, or only after its leases are over and its tasks run
//! elsewhere; until then what was lost there is kept with the tasks, on record.

use crate::event::Action;
use crate::event::Now;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::incarnation::Incarnation;
use crate::owner::Owner;
use crate::owner::job::JobKey;
use crate::owner::task::LostRun;
use crate::owner::task::Task;
use crate::owner::worker::RemovalReason;
use crate::owner::worker::Run;
use crate::owner::worker::RunPhase;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;
use crate::policy::suspicion::Crash;
use crate::policy::suspicion::Suspicion;
use crate::record::JobPhase;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::collections::HashMap;

/// Time for which a crash that no task can have caused is remembered: workers that crashed with
/// that one are back by then.
const OUTAGE_KEPT_MS: u64 = 30_000;

/// Time in which a worker has crashed: after its last answer, before the first one was missing.
type Span = (u64, u64);

/// A worker that is given up, and of which it is not known whether it has crashed.
#[derive(Debug)]
struct LostWorker {
    address: Box<str>,
    incarnation: Incarnation,
    /// Not known of one that a former owner has given up.
    span: Option<Span>,
    /// What was lost there: tasks, or the first members of gangs.
    tasks: BTreeSet<TaskId>,
}

impl LostWorker {
    fn new(lost_run: &LostRun, span: Option<Span>) -> Self {
        Self {
            address: lost_run.address.clone(),
            incarnation: lost_run.incarnation,
            span,
            tasks: BTreeSet::new(),
        }
    }
}

/// A worker that is given up, and what goes with it.
pub(super) struct RemovedWorker {
    worker: Box<str>,
    /// It was leaving, so it may have ended as planned.
    is_planned: bool,
    /// Another incarnation answers at its address.
    is_replaced: bool,
    /// It was known, and nothing there can have been the cause.
    is_unexplained: bool,
    /// When it crashed, if it did; not known of one that this owner never heard.
    span: Option<Span>,
    /// What is lost, by task or gang.
    lost_runs: Vec<(TaskId, LostRun)>,
}

/// What is known of crashes.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    lost: HashMap<Box<str>, LostWorker>,
    /// Workers whose crash nothing that had just begun there can have caused, and when.
    outages: Vec<(Box<str>, Span)>,
}

impl Crashes {
    /// Tells whether another worker than this one crashed at the same time, unexplained.
    fn overlaps_outage(&self, worker: &str, span: Span) -> bool {
        let mut others = self.outages.iter().filter(|(id, _)| **id != *worker);
        others.any(|(_, outage)| overlap(*outage, span))
    }

    fn keep(&mut self, worker: Box<str>, outage: Span, now_ms: u64) {
        self.outages
            .retain(|(_, (_, until_ms))| until_ms + OUTAGE_KEPT_MS > now_ms);
        self.outages.push((worker, outage));
    }

    /// Forgets what a job lost.
    pub(super) fn forget(&mut self, job: JobId) {
        for lost in self.lost.values_mut() {
            lost.tasks.retain(|task| task.job != job);
        }
        self.lost.retain(|_, lost| !lost.tasks.is_empty());
    }
}

/// Adds what went with a worker. Members of a gang go with it as one.
fn add_lost_run(lost_runs: &mut Vec<(TaskId, LostRun)>, unit: TaskId, lost_run: LostRun) {
    let mut known = lost_runs.iter_mut();
    match known.find(|(other, previous)| *other == unit && previous.run == lost_run.run) {
        Some((_, previous)) => {
            previous.is_suspect |= lost_run.is_suspect;
            previous.is_confirmed |= lost_run.is_confirmed;
        }
        None => lost_runs.push((unit, lost_run)),
    }
}

fn overlap(one: Span, other: Span) -> bool {
    one.0 <= other.1 && other.0 <= one.1
}

impl Run {
    /// Tells whether it may be at work, or may have been until just now. One that is being stopped
    /// is at work until it has ended. One of unknown fate whose worker has agreed to bar it was
    /// hardly there.
    fn may_have_started(&self) -> bool {
        match self.phase {
            RunPhase::Recording => self.start_attempts > 0,
            RunPhase::Stopped { .. } => self.was_confirmed,
            _ => true,
        }
    }

    /// Tells whether it may be the cause if its worker crashes.
    pub(crate) fn is_suspect(&self) -> bool {
        !self.is_stable && self.may_have_started()
    }
}

impl Worker {
    /// Gives the time in which it has crashed, if it has.
    fn span(&self, now_ms: u64) -> Span {
        (self.answered_ms, self.first_missed_ms.unwrap_or(now_ms))
    }
}

impl Owner {
    /// Gives a task, if its job is under way.
    pub(super) fn task(&self, id: TaskId) -> Option<&Task> {
        let key = self.job_keys.get(&id.job)?;
        self.jobs[*key].task(id)
    }

    /// Gives whose suspicion a task shares: a gang crashes as one, its first member stands for it.
    fn unit(&self, task: TaskId) -> TaskId {
        let key = self.job_keys.get(&task.job);
        let step = key.and_then(|key| self.jobs[*key].step(task));
        match step.is_some_and(|step| step.is_gang) {
            true => TaskId { index: 0, ..task },
            false => task,
        }
    }

    /// Gives what goes with a worker that is given up, as it speaks against the tasks.
    pub(super) fn describe_removal(
        &self,
        key: WorkerKey,
        removal_reason: RemovalReason,
        now_ms: u64,
    ) -> RemovedWorker {
        let worker = &self.workers[key];
        let started = worker.runs.iter().filter(|(_, run)| run.may_have_started());
        let suspects: BTreeSet<TaskId> = started
            .clone()
            .filter(|(_, run)| run.is_suspect())
            .map(|((task, _), _)| self.unit(*task))
            .collect();
        let mut lost_runs = Vec::new();
        for ((task, number), run) in started {
            // What had worked for a while is no explanation as long as there is another one.
            let is_counted = run.is_suspect() || suspects.is_empty() && !run.is_long_running;
            // Nobody can be met again at an address that is not known.
            if run.is_orphan || !is_counted || worker.entry.address.is_empty() {
                continue;
            }
            let lost_run = LostRun {
                worker: worker.entry.id.clone(),
                address: worker.entry.address.clone(),
                incarnation: worker.incarnation,
                run: *number,
                is_suspect: run.is_suspect(),
                is_sole_suspect: suspects.len() == 1,
                is_confirmed: matches!(run.phase, RunPhase::Present { .. }),
            };
            add_lost_run(&mut lost_runs, self.unit(*task), lost_run);
        }
        let is_replaced = removal_reason.is_replaced();
        RemovedWorker {
            worker: worker.entry.id.clone(),
            is_planned: worker.was_leaving,
            is_replaced,
            is_unexplained: (is_replaced || worker.is_silent()) && suspects.is_empty(),
            span: worker.is_known.then(|| worker.span(now_ms)),
            lost_runs,
        }
    }

    /// Takes in how a worker was given up.
    pub(super) fn apply_removal(
        &mut self,
        removed: RemovedWorker,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        if removed.is_planned {
            return;
        }
        if let Some(span) = removed.span.filter(|_| removed.is_unexplained) {
            self.crashes
                .keep(removed.worker.clone(), span, now.steady_ms);
        }
        for (task, lost_run) in removed.lost_runs {
            self.record_lost_run(task, lost_run, removed.span, now.steady_ms);
        }
        if removed.is_replaced {
            self.resolve_crash(&removed.worker, true, now, actions);
        }
    }

    fn record_lost_run(
        &mut self,
        task: TaskId,
        lost_run: LostRun,
        span: Option<Span>,
        now_ms: u64,
    ) {
        let Some(key) = self.job_keys.get(&task.job).copied() else {
            return;
        };
        let job = &mut self.jobs[key];
        let Some(state) = job.task_mut(task) else {
            return;
        };
        let lost = self
            .crashes
            .lost
            .entry(lost_run.worker.clone())
            .or_insert_with(|| LostWorker::new(&lost_run, span));
        lost.tasks.insert(task);
        state.record_lost_run(lost_run, now_ms);
        job.is_dirty = true;
    }

    /// Takes up what former owners have put on record of a job's losses.
    pub(super) fn recover_lost_runs(&mut self, key: JobKey) {
        let mut recovered = Vec::new();
        self.jobs[key].for_each_task(|id, task| {
            for lost_run in &task.lost_runs {
                recovered.push((id, lost_run.clone()));
            }
        });
        for (task, lost_run) in recovered {
            let lost = LostWorker::new(&lost_run, None);
            let lost = self.crashes.lost.entry(lost_run.worker).or_insert(lost);
            lost.tasks.insert(task);
        }
    }

    /// Learns from the first answer of an incarnation what became of those that were lost: the
    /// former one at its address, or under its id, has crashed, and one that answers itself has
    /// not.
    pub(super) fn resolve_lost_workers(
        &mut self,
        key: WorkerKey,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let worker = &self.workers[key];
        let mut resolved = Vec::new();
        for (id, lost) in &self.crashes.lost {
            if *id == worker.entry.id {
                let has_crashed = lost.incarnation.differs_from(worker.incarnation);
                resolved.push((id.clone(), has_crashed));
            } else if lost.address == worker.entry.address {
                resolved.push((id.clone(), true));
            }
        }
        for (id, has_crashed) in resolved {
            self.resolve_crash(&id, has_crashed, now, actions);
        }
    }

    /// Tells whether a worker fell silent at the same time that no task can have taken down, so
    /// that a whole rack or failure domain, or this host's own link, is the likelier cause.
    fn is_outage(&self, id: &str, span: Span) -> bool {
        let is_unexplained = |worker: &Worker| {
            let has_suspects = worker.runs.values().any(Run::is_suspect);
            let is_other = *worker.entry.id != *id;
            is_other && worker.is_known && worker.is_silent() && !has_suspects
        };
        self.crashes.overlaps_outage(id, span)
            || self
                .workers
                .values()
                .any(|worker| is_unexplained(worker) && overlap(worker.span(span.1), span))
    }

    /// Counts the crash of a worker against what ran there, or drops what was kept of it.
    fn resolve_crash(&mut self, id: &str, has_crashed: bool, now: Now, actions: &mut Vec<Action>) {
        let Some(lost) = self.crashes.lost.remove(id) else {
            return;
        };
        let mut is_excused = lost.span.is_some_and(|span| self.is_outage(id, span));
        let mut lost_runs = Vec::new();
        for task in lost.tasks {
            let Some(key) = self.job_keys.get(&task.job).copied() else {
                continue;
            };
            let job = &mut self.jobs[key];
            if let Some(state) = job.task_mut(task) {
                let taken = state.take_lost_runs(id);
                job.is_dirty = true;
                lost_runs.extend(taken.into_iter().map(|lost_run| (key, task, lost_run)));
            }
        }
        if !has_crashed {
            return;
        }
        // Those that are suspected most come first: what one of them has done for certain raises no
        // suspicion against the others.
        lost_runs.sort_by_key(|(key, task, _)| {
            let state = self.jobs[*key].task(*task);
            Reverse(state.map_or(0, |state| state.suspicion.confirmed))
        });
        for (key, task, lost_run) in lost_runs {
            is_excused |= self.count_crash(key, task, &lost_run, is_excused, now, actions);
        }
    }

    /// Counts a crash against a task, and tells whether it was to blame.
    fn count_crash(
        &mut self,
        key: JobKey,
        task: TaskId,
        lost_run: &LostRun,
        is_excused: bool,
        now: Now,
        actions: &mut Vec<Action>,
    ) -> bool {
        let job = &mut self.jobs[key];
        let is_long_running = job.step(task).is_some_and(|step| step.is_long_running);
        let Some(state) = job.task_mut(task) else {
            return false;
        };
        if state.suspicion.is_counted(lost_run.run) {
            return false;
        }
        let crash = Crash {
            run: lost_run.run,
            address: &lost_run.address,
            is_suspect: lost_run.is_suspect,
            is_confirmed: lost_run.is_confirmed,
            is_sole_suspect: lost_run.is_sole_suspect,
            is_excused,
            is_long_running,
        };
        let is_to_blame = state.suspicion.record_crash(&crash) && !state.is_done;
        let Suspicion {
            crashes, confirmed, ..
        } = state.suspicion;
        actions.push(Action::Note(Note::new(
            Code::TaskSuspected,
            task.to_string(),
            format!(
                "run={} worker={} address={} suspect={} there={} alone={} excused={is_excused} confirmed={confirmed} crashes={crashes}",
                lost_run.run,
                lost_run.worker,
                lost_run.address,
                lost_run.is_suspect,
                lost_run.is_confirmed,
                lost_run.is_sole_suspect
            ),
        )));
        if is_to_blame {
            self.give_up(key, task, now, actions);
        }
        is_to_blame
    }

    /// Gives a job up as a task of it crashes its workers.
    pub(super) fn give_up(
        &mut self,
        key: JobKey,
        task: TaskId,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let job = &self.jobs[key];
        if job.phase.is_final() {
            return;
        }
        let suspicion = job.task(self.unit(task)).map(|state| &state.suspicion);
        let (confirmed, crashes) = suspicion.map_or((0, 0), |it| (it.confirmed, it.crashes));
        actions.push(Action::Note(Note::new(
            Code::JobFailed,
            task.job.to_string(),
            format!("task={task} why=crashes confirmed={confirmed} crashes={crashes}"),
        )));
        self.stats.given_up += 1;
        self.finish(key, JobPhase::Failed, now, actions);
    }

    /// Counts a start of a task that may have crashed workers before.
    pub(super) fn record_start(&mut self, key: JobKey, task: TaskId) {
        // One member stands for its gang.
        if self.unit(task) == task
            && let Some(state) = self.jobs[key].task_mut(task)
        {
            state.suspicion.record_start(state.unresolved_crashes());
        }
    }

    /// Takes in that a start was refused, so that it was none; of a gang other members may have
    /// begun.
    pub(super) fn undo_start(&mut self, task: TaskId) {
        let Some(key) = self.job_keys.get(&task.job).copied() else {
            return;
        };
        let job = &mut self.jobs[key];
        let is_gang = job.step(task).is_some_and(|step| step.is_gang);
        if let Some(state) = job.task_mut(task).filter(|_| !is_gang) {
            state.suspicion.undo_start();
        }
    }

    /// Tells whether a task must not be started any more.
    pub(super) fn is_used_up(&self, task: TaskId) -> bool {
        let state = self.task(self.unit(task));
        state.is_some_and(|state| state.suspicion.is_exhausted())
    }

    /// Gives until when a task waits for what became of its workers, if it does.
    pub(super) fn undecided_until_ms(&self, task: TaskId, now_ms: u64) -> Option<u64> {
        self.task(self.unit(task))?.undecided_until_ms(now_ms)
    }

    /// Takes in that a run has been at work for long enough: its task crashes nobody. Members of a
    /// gang must all have been: one that has crashed its worker just now leaves others at work.
    pub(super) fn clear_suspicion(&mut self, task: TaskId) {
        let unit = self.unit(task);
        let Some(key) = self.job_keys.get(&task.job).copied() else {
            return;
        };
        if let Some(state) = self.jobs[key].task_mut(task) {
            state.failed_starts = 0;
        }
        let job = &self.jobs[key];
        let (Some(step), Some(state)) = (job.step(task), job.task(unit)) else {
            return;
        };
        let is_long_running = step.is_long_running;
        let is_open = state.is_suspect() || is_long_running && state.suspicion.crashes > 0;
        if !is_open || step.is_gang && !self.is_gang_stable(key, task) {
            return;
        }
        let job = &mut self.jobs[key];
        if let Some(state) = job.task_mut(unit) {
            state.suspicion.clear(is_long_running);
            state.lost_runs.retain(|lost_run| !lost_run.is_suspect);
            job.is_dirty = true;
        }
    }

    fn is_gang_stable(&self, key: JobKey, member: TaskId) -> bool {
        let job = &self.jobs[key];
        let count = job.step(member).map_or(0, |step| step.count) as u16;
        (0..count).all(|index| {
            let id = TaskId { index, ..member };
            let placement = job.task(id).and_then(|task| task.placement);
            let run = placement.and_then(|placement| {
                let worker = self.workers.get(placement.worker)?;
                worker.runs.get(&(id, placement.run))
            });
            run.is_some_and(|run| run.is_stable)
        })
    }

    /// Tells where a task is suspected to have crashed its last worker; `None` if it is not
    /// suspected.
    pub(super) fn suspected_at(&self, task: TaskId) -> Option<Box<str>> {
        let state = self.task(self.unit(task))?;
        if !state.is_suspect() {
            return None;
        }
        let unresolved_crashes = state
            .lost_runs
            .iter()
            .rev()
            .find(|lost_run| lost_run.may_be_cause());
        let address =
            unresolved_crashes.map_or(&state.suspicion.address, |lost_run| &lost_run.address);
        Some(address.clone())
    }
}
