//! Converts the progress of steps to and from its records.

use crate::owner::job::StepState;
use crate::owner::task::LostRun;
use crate::owner::task::Placement;
use crate::owner::worker::WorkerKey;
use crate::policy::suspicion::Suspicion;
use crate::record::StepProgress;
use crate::record::TaskPhase;
use crate::record::TaskProgress;

pub(super) fn resume_step(
    state: &mut StepState,
    step: &StepProgress,
    worker: &mut impl FnMut(&str) -> WorkerKey,
) {
    state.counted_run = step.failed_run;
    for task in &mut state.tasks {
        task.is_done = step.is_done;
    }
    for (task, recorded) in state.tasks.iter_mut().zip(&step.tasks) {
        task.run = recorded.run.max(recorded.copy_run);
        task.failures = recorded.failures;
        task.checkpoint = recorded.checkpoint.as_str().into();
        let max_share_percent = recorded.max_share_percent;
        task.max_share_percent = (max_share_percent > 0).then_some(max_share_percent);
        task.is_done = recorded.phase() == TaskPhase::Done;
        task.suspicion = Suspicion {
            crashes: recorded.crashes,
            confirmed: recorded.confirmed,
            explained: recorded.explained_crashes,
            possible: recorded.departures,
            sole: recorded.sole_crashes,
            starts: recorded.suspect_starts,
            run: recorded.crashed_run,
            address: recorded.crashed_address.as_str().into(),
        };
        task.lost_runs = recorded.lost_runs.iter().map(LostRun::new).collect();
        task.working_since = recorded.working_since;
        task.is_stable = recorded.is_stable;
        task.isolation_since = recorded.isolation_since;
        if recorded.phase() == TaskPhase::Assigned {
            task.placement = Some(Placement {
                run: recorded.run,
                worker: worker(&recorded.worker),
            });
        }
        if !recorded.copy_worker.is_empty() {
            task.copy = Some(Placement {
                run: recorded.copy_run,
                worker: worker(&recorded.copy_worker),
            });
        }
    }
    state.recount();
}

pub(super) fn step_progress(
    state: &StepState,
    name: &impl Fn(WorkerKey) -> String,
) -> StepProgress {
    if state.is_done() {
        return StepProgress {
            is_done: true,
            ..StepProgress::default()
        };
    }
    let is_untouched = state.tasks.iter().all(|task| task.run == 0);
    let mut tasks = Vec::new();
    for task in &state.tasks {
        if is_untouched {
            break;
        }
        let phase = match (task.is_done, task.placement) {
            (true, _) => TaskPhase::Done,
            (false, Some(_)) => TaskPhase::Assigned,
            (false, None) => TaskPhase::Waiting,
        };
        tasks.push(TaskProgress {
            phase: phase as i32,
            run: task.placement.map_or(task.run, |placement| placement.run),
            failures: task.failures,
            worker: task
                .placement
                .map_or(String::new(), |placement| name(placement.worker)),
            checkpoint: task.checkpoint.to_string(),
            copy_run: task.copy.map_or(0, |copy| copy.run),
            copy_worker: task.copy.map_or(String::new(), |copy| name(copy.worker)),
            crashes: task.suspicion.crashes,
            confirmed: task.suspicion.confirmed,
            suspect_starts: task.suspicion.starts,
            explained_crashes: task.suspicion.explained,
            departures: task.suspicion.possible,
            sole_crashes: task.suspicion.sole,
            max_share_percent: task.max_share_percent.unwrap_or(0),
            crashed_run: task.suspicion.run,
            crashed_address: task.suspicion.address.to_string(),
            lost_runs: task.lost_runs.iter().map(LostRun::record).collect(),
            working_since: task.working_since,
            is_stable: task.is_stable,
            isolation_since: task.isolation_since,
        });
    }
    StepProgress {
        is_done: false,
        tasks,
        failed_run: state.counted_run,
    }
}
