//! Compares the runs that a worker reports with those that it should have.
//!
//! A run that a report lacks has either ended or never started. Which of them is known only from a
//! report that lists all exits: if a run whose exit is not listed yet counted as lost, its task would
//! run again after it has succeeded.

use crate::event::Action;
use crate::event::Now;
use crate::event::RunReport;
use crate::event::WorkerReport;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::worker::Run;
use crate::owner::worker::RunPhase;
use crate::owner::worker::WorkerKey;
use crate::policy::suspicion::STABLE_MS;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::collections::HashSet;

/// Maximum number of orders to start a run. If the last one has timed out and the run is not there,
/// it is stopped.
const MAX_START_ATTEMPTS: u32 = 2;
/// Part of the requested CPU that a best-effort run uses at least at full share, in percent. If it
/// uses less, a previous owner may have throttled it.
const FULL_SHARE_USE_PERCENT: u64 = 90;

impl Owner {
    /// Compares the runs that a worker reports with those that it should have.
    pub(super) fn apply_run_reports(
        &mut self,
        key: WorkerKey,
        sent_ms: u64,
        report: &WorkerReport,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let now_ms = now.steady_ms;
        let mut present = HashSet::with_capacity(report.runs.len());
        for row in &report.runs {
            present.insert((row.task, row.run));
            let is_known = self.workers[key].runs.contains_key(&(row.task, row.run));
            if !is_known && !self.reclaim_run(key, row, now_ms) {
                self.add_orphan(key, row, now_ms);
            }
            let Some(run) = self.workers[key].runs.get_mut(&(row.task, row.run)) else {
                continue;
            };
            let (was_stable, was_probe) = (run.is_stable, run.is_probe);
            let was_confirmed = run.was_confirmed;
            apply_run_report(run, row, now_ms);
            if run.is_stable && !was_stable {
                self.workers[key].mark_stable(row.task, row.run);
                self.clear_suspicion(row.task);
                self.must_place |= was_probe;
            }
            if !was_confirmed {
                self.begin_job(row.task.job, now, actions);
            }
            self.record_work(key, row.task, row.run, now_ms);
        }
        let mut absent = Vec::new();
        for (id, run) in &self.workers[key].runs {
            if !present.contains(id) {
                absent.push((*id, run.phase));
            }
        }
        self.report_absent(key, &absent, report, actions);
        // The exit of an absent run may be among those that the worker lists later. If the run
        // counted as lost until then, its task would run again after it has succeeded.
        if report.has_more_exits {
            return;
        }
        for ((task, number), phase) in absent {
            self.handle_absent(key, task, number, phase, sent_ms, now_ms, actions);
        }
    }

    /// Reports how many runs that should be at a worker its report lists neither as running nor as
    /// ended. Orders that are under way may not have reached it, so their runs are left out.
    fn report_absent(
        &self,
        key: WorkerKey,
        absent: &[((TaskId, u32), RunPhase)],
        report: &WorkerReport,
        actions: &mut Vec<Action>,
    ) {
        let mut missing = 0;
        let mut example = None;
        for (id, phase) in absent {
            if matches!(
                phase,
                RunPhase::Recording | RunPhase::Sent | RunPhase::Stopping { .. }
            ) {
                continue;
            }
            missing += 1;
            example = Some((id, phase));
        }
        let Some(((task, run), phase)) = example else {
            return;
        };
        let worker = &self.workers[key];
        actions.push(Action::Note(Note::new(
            Code::RunsUnreported,
            &*worker.entry.id,
            format!(
                "missing={missing} task={task} run={run} phase={phase:?} runs={} exits={} more_exits={} handled={} recorded={}",
                report.runs.len(),
                report.exits.len(),
                report.has_more_exits,
                worker.handled_exit,
                worker.recorded_exit
            ),
        )));
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "These are what is known of one run."
    )]
    fn handle_absent(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        number: u32,
        phase: RunPhase,
        sent_ms: u64,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        match phase {
            RunPhase::Recording | RunPhase::Sent | RunPhase::Stopping { .. } => {}
            // The worker refuses orders of a previous owner from this poll on.
            RunPhase::Inherited => {
                let id = &self.workers[key].entry.id;
                self.doubtful_starts.add(id, task, number, now_ms);
                self.lose_run(key, task, number, now_ms);
            }
            RunPhase::Stopped { since_ms } if sent_ms >= since_ms => {
                self.lose_run(key, task, number, now_ms);
            }
            RunPhase::Doubtful { since_ms } if sent_ms >= since_ms => {
                self.retry_start(key, task, number, now_ms);
            }
            RunPhase::Present { since_ms } if sent_ms >= since_ms => {
                self.report_vanished(key, task, number, now_ms - since_ms, actions);
                self.set_phase(key, task, number, RunPhase::Stopping { again_ms: 0 });
            }
            _ => {}
        }
    }

    /// Reports a confirmed run that is missing although its exit was not listed. Its task will run
    /// again, so if the run has succeeded after all, the task runs twice.
    fn report_vanished(
        &self,
        key: WorkerKey,
        task: TaskId,
        number: u32,
        present_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let worker = &self.workers[key];
        let percent = worker
            .runs
            .get(&(task, number))
            .map_or(0, |run| run.percent);
        actions.push(Action::Note(Note::new(
            Code::RunVanished,
            task.to_string(),
            format!(
                "run={number} worker={} present_ms={} percent={percent} handled={} told_to_forget={}",
                worker.entry.id,
                present_ms,
                worker.handled_exit,
                worker.forgotten_exit
            ),
        )));
    }

    fn retry_start(&mut self, key: WorkerKey, task: TaskId, number: u32, now_ms: u64) {
        self.workers[key].has_orders = true;
        let Some(run) = self.workers[key].runs.get_mut(&(task, number)) else {
            return;
        };
        run.phase = match run.start_attempts < MAX_START_ATTEMPTS && !run.is_orphan {
            // A repeated order has the same run number, which makes it idempotent.
            true => RunPhase::Recording,
            false => RunPhase::Stopping { again_ms: now_ms },
        };
        if run.phase == RunPhase::Recording {
            self.writer.start_once_stored(key, task, number);
            if let Some(job) = self.job_keys.get(&task.job) {
                self.jobs[*job].is_dirty = true;
            }
        }
    }
}

fn apply_run_report(run: &mut Run, row: &RunReport, now_ms: u64) {
    // The speed of a run that a previous owner started is measured from the first poll on.
    if run.phase == RunPhase::Inherited {
        run.started_ms = now_ms;
        run.first_ms = now_ms;
        run.first_percent = row.percent;
        run.progressed_ms = now_ms;
        // A throttled run uses less than it requests.
        if run.is_best_effort
            && row.gauge.saturating_mul(100) < run.cpu_milli.saturating_mul(FULL_SHARE_USE_PERCENT)
        {
            run.applied_share_percent = None;
        }
    }
    // A resumed run starts with the progress that its checkpoint contains.
    if run.percent == 0 && !run.checkpoint.is_empty() && run.first_percent == 0 {
        run.first_percent = row.percent;
        run.first_ms = now_ms;
    }
    if row.percent > run.percent {
        run.progressed_ms = now_ms;
    }
    run.was_confirmed = true;
    run.percent = row.percent;
    run.gauge = row.gauge;
    if !row.checkpoint.is_empty() {
        run.checkpoint.clone_from(&row.checkpoint);
    }
    if matches!(run.phase, RunPhase::Inherited | RunPhase::Doubtful { .. }) {
        let since_ms = run.working_since_ms.unwrap_or(now_ms).min(now_ms);
        run.phase = RunPhase::Present { since_ms };
    }
    if let RunPhase::Present { since_ms } = run.phase {
        run.is_stable |= now_ms >= since_ms + STABLE_MS;
    }
}
