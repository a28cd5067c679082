//! Detects crashes of workers, and counts them against the tasks that may have caused them.
//!
//! A worker that does not answer has not always crashed: it may be cut off, or the link of the
//! owner's own host may be full. It has crashed if another incarnation answers at its address,
//! unless it was draining. That may be known at once, or only after its leases have expired and its
//! tasks run elsewhere. Until then, its lost runs are kept with their tasks and recorded.

use crate::event::Action;
use crate::event::Now;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::incarnation::Incarnation;
use crate::owner::Owner;
use crate::owner::costs::Isolation;
use crate::owner::job::JobKey;
use crate::owner::task::LostRun;
use crate::owner::task::Task;
use crate::owner::worker::RemovalReason;
use crate::owner::worker::Run;
use crate::owner::worker::RunPhase;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;
use crate::policy::crash_evidence::CrashEvidence;
use crate::policy::crash_evidence::Loss;
use crate::policy::crash_evidence::Suspect;
use crate::policy::suspicion::Crash;
use crate::policy::suspicion::Suspicion;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

/// Time for which a crash that no task can have caused is remembered. Workers that crashed at the
/// same time answer again by then.
const OUTAGE_RETENTION_MS: u64 = 30_000;

/// Time window in which a worker has crashed: from its last answer to the first missed one.
pub(super) type CrashWindow = (u64, u64);

/// A removed worker of which it is not known whether it has crashed.
#[derive(Debug)]
pub(super) struct LostWorker {
    pub(super) address: Box<str>,
    pub(super) incarnation: Incarnation,
    /// Unknown if a previous owner has removed it.
    pub(super) crash_window: Option<CrashWindow>,
    /// Tasks that lost a run there; a gang is represented by its first member.
    pub(super) tasks: BTreeSet<TaskId>,
    /// When another incarnation answered in its place, if one did.
    pub(super) replaced_ms: Option<u64>,
    /// Other workers crashed at the same time, as far as was known then.
    pub(super) is_excused: bool,
    /// The platform's list showed, later than that it was lost, that it had announced to leave.
    pub(super) was_announced: bool,
    /// It was draining, and had fallen silent before that was known. If another incarnation answers
    /// at its address, it has most likely left as planned.
    left_while_silent: bool,
}

impl LostWorker {
    fn new(lost_run: &LostRun, crash_window: Option<CrashWindow>) -> Self {
        Self {
            address: lost_run.address.clone(),
            incarnation: lost_run.incarnation,
            crash_window,
            tasks: BTreeSet::new(),
            replaced_ms: None,
            is_excused: false,
            was_announced: false,
            left_while_silent: false,
        }
    }
}

/// A removed worker and the runs that are lost with it.
pub(super) struct RemovedWorker {
    worker: Box<str>,
    /// It was draining, so it may have exited as planned.
    is_expected_exit: bool,
    /// The same, but it had fallen silent before that was known, and nobody answers in its place.
    left_while_silent: bool,
    /// Another incarnation answers at its address.
    is_replaced: bool,
    /// It is replaced or silent, and no run there can have been the cause.
    is_unexplained: bool,
    /// When it crashed, if it did; unknown if it has never answered this owner.
    crash_window: Option<CrashWindow>,
    /// The lost runs, by task or gang.
    lost_runs: Vec<(TaskId, LostRun)>,
    /// All runs there that may be the cause if it has crashed, by task or gang.
    loss: Loss,
}

/// Crashes of workers, as far as they are known.
#[derive(Debug, Default)]
pub(super) struct Crashes {
    pub(super) lost_workers: BTreeMap<Box<str>, LostWorker>,
    /// Replaced workers that are to be resolved, with the time at which it was known that they are
    /// replaced.
    pub(super) replaced: VecDeque<(u64, Box<str>)>,
    /// Workers whose crash no recently started run there can have caused, and when they crashed.
    outages: Vec<(Box<str>, CrashWindow)>,
    /// Which tasks may have caused the crashes that several may have caused.
    pub(super) evidence: CrashEvidence,
    /// Tasks that are to blame for crashes, whose jobs are still to be failed.
    pub(super) convicted: Vec<TaskId>,
}

impl Crashes {
    /// Returns whether another worker crashed at the same time without an explanation.
    fn overlaps_outage(&self, worker: &str, crash_window: CrashWindow) -> bool {
        let mut others = self.outages.iter().filter(|(id, _)| **id != *worker);
        others.any(|(_, outage)| overlap(*outage, crash_window))
    }

    fn record_outage(&mut self, worker: Box<str>, outage: CrashWindow, now_ms: u64) {
        self.outages
            .retain(|(_, (_, until_ms))| until_ms + OUTAGE_RETENTION_MS > now_ms);
        self.outages.push((worker, outage));
    }

    /// Forgets the lost runs of a job.
    pub(super) fn forget(&mut self, job: JobId) {
        for lost in self.lost_workers.values_mut() {
            lost.tasks.retain(|task| task.job != job);
        }
        self.lost_workers.retain(|_, lost| !lost.tasks.is_empty());
    }
}

/// Adds a run that was lost with a worker. Runs of members of a gang count as one.
fn add_lost_run(lost_runs: &mut Vec<(TaskId, LostRun)>, suspicion_unit: TaskId, lost_run: LostRun) {
    let mut known = lost_runs.iter_mut();
    match known.find(|(other, previous)| *other == suspicion_unit && previous.run == lost_run.run) {
        Some((_, previous)) => {
            previous.is_suspect |= lost_run.is_suspect;
            previous.is_confirmed |= lost_run.is_confirmed;
        }
        None => lost_runs.push((suspicion_unit, lost_run)),
    }
}

fn overlap(one: CrashWindow, other: CrashWindow) -> bool {
    one.0 <= other.1 && other.0 <= one.1
}

impl Run {
    /// Returns whether it may be running, or may have been until just now. A run that is being
    /// stopped runs until it has ended. A run that was never confirmed, and whose worker has
    /// accepted the order to stop it, has most likely never started.
    fn may_have_started(&self) -> bool {
        match self.phase {
            RunPhase::Recording => self.start_attempts > 0,
            RunPhase::Stopped { .. } => self.was_confirmed,
            _ => true,
        }
    }

    /// Returns when the only order to start it was sent, if the worker has not confirmed it.
    fn only_order_ms(&self) -> Option<u64> {
        let is_only = self.start_attempts == 1 && !self.was_confirmed;
        is_only.then_some(self.started_ms)
    }

    /// Returns whether its worker has confirmed it. One that is being stopped may still be there,
    /// and the next incarnation of its worker accepts the order to stop it.
    fn is_confirmed(&self) -> bool {
        match self.phase {
            RunPhase::Present { .. } => true,
            RunPhase::Stopping { .. } | RunPhase::Stopped { .. } => self.was_confirmed,
            _ => false,
        }
    }

    /// Returns whether it may be the cause if its worker crashes.
    pub(crate) fn is_suspect(&self) -> bool {
        !self.is_stable && self.may_have_started()
    }
}

impl Worker {
    /// Returns the time window in which it has crashed, if it has.
    fn crash_window(&self, now_ms: u64) -> CrashWindow {
        (self.answered_ms, self.first_missed_ms.unwrap_or(now_ms))
    }
}

impl Owner {
    /// Returns a task, if its job has not ended.
    pub(super) fn task(&self, id: TaskId) -> Option<&Task> {
        let key = self.job_keys.get(&id.job)?;
        self.jobs[*key].task(id)
    }

    /// Returns the task that holds the suspicion of a task: a gang crashes as one, so its first
    /// member holds it for all.
    pub(super) fn suspicion_unit(&self, task: TaskId) -> TaskId {
        let key = self.job_keys.get(&task.job);
        let step = key.and_then(|key| self.jobs[*key].step(task));
        match step.is_some_and(|step| step.is_gang) {
            true => TaskId { index: 0, ..task },
            false => task,
        }
    }

    /// Returns the runs that are lost with a removed worker, as evidence against their tasks.
    pub(super) fn describe_removal(
        &self,
        key: WorkerKey,
        removal_reason: RemovalReason,
        now_ms: u64,
    ) -> RemovedWorker {
        let worker = &self.workers[key];
        let started = worker.runs.iter().filter(|(_, run)| run.may_have_started());
        let mut suspects: BTreeMap<TaskId, bool> = BTreeMap::new();
        for ((task, _), run) in started.clone().filter(|(_, run)| run.is_suspect()) {
            *suspects.entry(self.suspicion_unit(*task)).or_default() |= run.is_confirmed();
        }
        let mut lost_runs = Vec::new();
        for ((task, number), run) in started {
            // A stable run is no explanation as long as there is another one.
            let is_counted = run.is_suspect() || suspects.is_empty() && !run.is_long_running;
            // Without an address, no later incarnation can be matched to this worker.
            if run.is_orphan || !is_counted || worker.entry.address.is_empty() {
                continue;
            }
            let lost_run = LostRun {
                worker: worker.entry.id.clone(),
                address: worker.entry.address.clone(),
                incarnation: worker.incarnation,
                run: *number,
                is_suspect: run.is_suspect(),
                // Tasks of one job need not be told apart.
                is_sole_suspect: suspects.keys().all(|suspect| suspect.job == task.job),
                is_confirmed: run.is_confirmed(),
                ordered_ms: run.only_order_ms(),
            };
            add_lost_run(&mut lost_runs, self.suspicion_unit(*task), lost_run);
        }
        let is_replaced = removal_reason.is_replaced();
        RemovedWorker {
            worker: worker.entry.id.clone(),
            is_expected_exit: worker.was_leaving,
            left_while_silent: worker.left_while_silent && !is_replaced,
            is_replaced,
            is_unexplained: (is_replaced || worker.is_silent()) && suspects.is_empty(),
            crash_window: worker.is_known.then(|| worker.crash_window(now_ms)),
            lost_runs,
            loss: Loss {
                worker: worker.entry.id.clone(),
                address: worker.entry.address.clone(),
                suspects: suspects
                    .into_iter()
                    .map(|(task, is_confirmed)| Suspect { task, is_confirmed })
                    .collect(),
                is_crash: false,
                is_explained: false,
            },
        }
    }

    /// Records the crash or the lost runs of a removed worker.
    pub(super) fn apply_removal(
        &mut self,
        removed: RemovedWorker,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        // A previous incarnation with this id may still have to be resolved.
        self.resolve_replaced(&removed.worker, now, actions);
        if removed.is_expected_exit && !removed.left_while_silent {
            self.record_departure(&removed.lost_runs);
            return;
        }
        if let Some(crash_window) = removed.crash_window.filter(|_| removed.is_unexplained) {
            self.crashes
                .record_outage(removed.worker.clone(), crash_window, now.steady_ms);
        }
        self.crashes.evidence.add(removed.loss);
        for (task, lost_run) in removed.lost_runs {
            self.record_lost_run(task, lost_run, removed.crash_window, now.steady_ms);
        }
        if let Some(lost) = self.crashes.lost_workers.get_mut(&removed.worker) {
            lost.left_while_silent = removed.left_while_silent;
        }
        if removed.is_replaced {
            self.await_resolution(&removed.worker, now);
        }
    }

    /// Records that a worker has left, most likely as planned.
    fn record_departure(&mut self, lost_runs: &[(TaskId, LostRun)]) {
        for (task, lost_run) in lost_runs {
            let Some(key) = self.job_keys.get(&task.job).copied() else {
                continue;
            };
            let job = &mut self.jobs[key];
            if let Some(state) = job.task_mut(*task).filter(|_| lost_run.is_suspect) {
                state.suspicion.record_departure();
                job.is_dirty = true;
            }
        }
    }

    fn record_lost_run(
        &mut self,
        task: TaskId,
        lost_run: LostRun,
        crash_window: Option<CrashWindow>,
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
            .lost_workers
            .entry(lost_run.worker.clone())
            .or_insert_with(|| LostWorker::new(&lost_run, crash_window));
        lost.tasks.insert(task);
        state.record_lost_run(lost_run, now_ms);
        job.is_dirty = true;
    }

    /// Restores the lost runs of a job that previous owners have recorded.
    pub(super) fn recover_lost_runs(&mut self, key: JobKey) {
        let mut recovered = Vec::new();
        self.jobs[key].for_each_task(|id, task| {
            for lost_run in &task.lost_runs {
                recovered.push((id, lost_run.clone()));
            }
        });
        for (task, lost_run) in recovered {
            let lost = LostWorker::new(&lost_run, None);
            let lost = self
                .crashes
                .lost_workers
                .entry(lost_run.worker)
                .or_insert(lost);
            lost.tasks.insert(task);
        }
    }

    /// Resolves lost workers by the first answer of an incarnation: the previous incarnation at its
    /// address, or under its id, has crashed; a lost worker that answers itself has not.
    pub(super) fn resolve_lost_workers(
        &mut self,
        key: WorkerKey,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let worker = &self.workers[key];
        let mut resolved = Vec::new();
        for (id, lost) in &self.crashes.lost_workers {
            if *id == worker.entry.id {
                let is_replaced = lost.incarnation.differs_from(worker.incarnation);
                resolved.push((id.clone(), is_replaced));
            } else if lost.address == worker.entry.address {
                resolved.push((id.clone(), true));
            }
        }
        for (id, is_replaced) in resolved {
            match is_replaced {
                true => self.await_resolution(&id, now),
                false => self.resolve_crash(&id, false, now, actions),
            }
        }
    }

    /// Returns whether another worker, which no task can have crashed, fell silent at the same time.
    /// Then an outage of a whole rack or failure domain, or of the link of the owner's own host, is
    /// the likelier cause.
    pub(super) fn is_outage(&self, id: &str, window: CrashWindow) -> bool {
        let unexplained = |worker: &Worker| {
            let has_suspects = worker.runs.values().any(Run::is_suspect);
            let is_other = *worker.entry.id != *id;
            is_other && worker.is_known && worker.is_silent() && !has_suspects
        };
        self.crashes.overlaps_outage(id, window)
            || self
                .workers
                .values()
                .any(|worker| unexplained(worker) && overlap(worker.crash_window(window.1), window))
    }

    /// Counts the crash of a worker against the runs that were lost there, or drops these if it has
    /// not crashed.
    pub(super) fn resolve_crash(
        &mut self,
        id: &str,
        has_crashed: bool,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let Some(lost) = self.crashes.lost_workers.remove(id) else {
            return;
        };
        let successor_ms = self.successor_started_ms(id, &lost);
        let loss = self.crashes.evidence.take(id);
        let is_excused = lost.is_excused
            || lost
                .crash_window
                .is_some_and(|crash_window| self.is_outage(id, crash_window));
        let mut lost_runs = Vec::new();
        for task in lost.tasks {
            let Some(key) = self.job_keys.get(&task.job).copied() else {
                continue;
            };
            let job = &mut self.jobs[key];
            if let Some(state) = job.task_mut(task) {
                let removed_runs = state.take_lost_runs(id);
                job.is_dirty = true;
                for lost_run in removed_runs {
                    // An order that was sent when the next incarnation already ran has started
                    // nothing at this one.
                    let ordered_ms = lost_run.ordered_ms;
                    if ordered_ms.is_none() || ordered_ms < successor_ms || successor_ms.is_none() {
                        lost_runs.push((key, task, lost_run));
                    }
                }
            }
        }
        if !has_crashed || lost.left_while_silent {
            return;
        }
        // Tasks with the most confirmed crashes come first: a crash that one of them has certainly
        // caused raises no suspicion against the others.
        lost_runs.sort_by_key(|(key, task, _)| {
            let state = self.jobs[*key].task(*task);
            Reverse(state.map_or(0, |state| state.suspicion.confirmed))
        });
        let mut is_explained = loss.as_ref().is_some_and(|loss| loss.is_explained);
        for (key, task, mut lost_run) in lost_runs {
            lost_run.is_sole_suspect |=
                loss.as_ref().is_some_and(|loss| loss.is_sole_suspect(task));
            let is_excused = is_excused || is_explained;
            let is_cause = self.count_crash(key, task, &lost_run, is_excused, now, actions);
            if is_explained && let Some(state) = self.jobs[key].task_mut(task) {
                state.suspicion.explained += 1;
            }
            is_explained |= is_cause;
        }
        if let Some(loss) = loss.filter(|_| !is_excused && !is_explained) {
            self.crashes.evidence.add(Loss {
                is_crash: true,
                ..loss
            });
        }
    }

    /// Counts a crash against a task, and tells whether the task was the cause. If it was, its job
    /// fails.
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
            crashes,
            confirmed,
            explained,
            possible,
            ..
        } = state.suspicion;
        actions.push(Action::Note(Note::new(
            Code::TaskSuspected,
            task.to_string(),
            format!(
                "run={} worker={} address={} suspect={} there={} alone={} excused={is_excused} confirmed={confirmed} crashes={crashes} explained={explained} departures={possible}",
                lost_run.run,
                lost_run.worker,
                lost_run.address,
                lost_run.is_suspect,
                lost_run.is_confirmed,
                lost_run.is_sole_suspect
            ),
        )));
        if is_to_blame {
            let is_certain = lost_run.may_be_cause() && lost_run.is_sole_suspect && !is_excused;
            if is_certain {
                self.explain_crashes_by(task.job);
            }
            self.fail_crashing_job(key, task, now, actions);
        }
        is_to_blame
    }

    /// Counts a start of a task that may have crashed workers before.
    pub(super) fn record_start(&mut self, key: JobKey, task: TaskId) {
        // The first member counts for its gang.
        if self.suspicion_unit(task) == task
            && let Some(state) = self.jobs[key].task_mut(task)
        {
            state.suspicion.record_start(state.unresolved_crashes());
        }
    }

    /// Undoes the count of a start that was refused. For a gang, the start still counts, as other
    /// members may have started.
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

    /// Returns whether a task has used up its starts.
    pub(super) fn is_used_up(&self, task: TaskId, now_ms: u64) -> bool {
        let state = self.task(self.suspicion_unit(task));
        state.is_some_and(|state| state.is_used_up(now_ms))
    }

    /// Returns until when a task waits to know whether its workers crashed, if it does.
    pub(super) fn undecided_until_ms(&self, task: TaskId, now_ms: u64) -> Option<u64> {
        self.task(self.suspicion_unit(task))?
            .undecided_until_ms(now_ms)
    }

    /// Returns whether the next run of a task must be alone on its worker.
    pub(super) fn must_be_alone(&self, task: TaskId) -> bool {
        let state = self.task(self.suspicion_unit(task));
        state.is_some_and(Task::must_be_alone)
    }

    /// Returns from which other tasks a suspected task must be kept apart at present.
    pub(super) fn needed_isolation(&self, task: TaskId, now_ms: u64) -> Isolation {
        let state = self.task(task);
        let may_wait = state.is_some_and(|state| state.may_wait_for_isolation(now_ms));
        match may_wait {
            true if self.must_be_alone(task) => Isolation::Alone,
            true => Isolation::FromSuspects,
            false => Isolation::None,
        }
    }

    /// Returns the address of the worker that a task is suspected to have crashed last; `None` if it
    /// is not suspected.
    pub(super) fn suspected_at(&self, task: TaskId) -> Option<Box<str>> {
        let state = self.task(self.suspicion_unit(task))?;
        if !state.is_suspect() && !state.must_be_alone() {
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
