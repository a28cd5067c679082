//! Tasks as the owner knows them, and their lost runs.

use crate::incarnation::Incarnation;
use crate::owner::worker::WorkerKey;
use crate::policy::suspicion::Suspicion;
use crate::record::LostRunRecord;
use crate::record::OwnerTime;
use std::collections::BTreeSet;

/// A recorded run of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Placement {
    pub(crate) run: u32,
    pub(crate) worker: WorkerKey,
}

/// Maximum number of times that the delay before the next run of a task doubles: from 30 ms to 1 s
/// after a failure. Long-running tasks must run again within seconds where they can.
const MAX_DOUBLINGS: u32 = 5;
/// Time for which a suspected task waits for a worker without other suspects. A job that could run
/// but has not started for 3 s counts as lost.
const ISOLATION_WAIT_MS: u64 = 2_000;
/// Maximum number of lost runs of a task that are kept until it is known whether their workers
/// crashed.
const MAX_LOST_RUNS: usize = 4;
/// Time for which a task that may have used up its starts waits until it is known whether its
/// workers have crashed. Crashed workers mostly answer again within twice the length of a lease.
pub(super) const MAX_UNDECIDED_MS: u64 = 6_000;

/// A run that was lost with a removed worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LostRun {
    pub(crate) worker: Box<str>,
    pub(crate) address: Box<str>,
    pub(crate) incarnation: Incarnation,
    pub(crate) run: u32,
    /// The run may be the cause if the worker has crashed.
    pub(crate) is_suspect: bool,
    /// No other run there may be the cause.
    pub(crate) is_sole_suspect: bool,
    /// The worker had confirmed the run.
    pub(crate) is_confirmed: bool,
    /// When the only order to start it was sent, by the clock of this owner; `None` if that is not
    /// known or the worker had confirmed the run.
    pub(crate) ordered_ms: Option<u64>,
}

impl LostRun {
    /// Returns whether the run was confirmed and may have crashed the worker. A run that a new owner
    /// has never seen at its worker is not suspected: after an outage, all tasks of a failure
    /// domain would be.
    pub(crate) fn may_be_cause(&self) -> bool {
        self.is_suspect && self.is_confirmed
    }

    pub(super) fn new(record: &LostRunRecord) -> Self {
        Self {
            worker: record.worker.as_str().into(),
            address: record.address.as_str().into(),
            incarnation: record.started_wall_ms.into(),
            run: record.run,
            is_suspect: record.is_suspect,
            is_sole_suspect: record.is_sole_suspect,
            is_confirmed: record.is_confirmed,
            ordered_ms: None,
        }
    }

    pub(super) fn record(&self) -> LostRunRecord {
        LostRunRecord {
            worker: self.worker.to_string(),
            address: self.address.to_string(),
            started_wall_ms: self.incarnation.started_wall_ms(),
            run: self.run,
            is_suspect: self.is_suspect,
            is_sole_suspect: self.is_sole_suspect,
            is_confirmed: self.is_confirmed,
        }
    }
}

/// One task.
#[derive(Debug, Clone, Default)]
pub(crate) struct Task {
    pub(crate) is_done: bool,
    /// Number of its latest run; 0 before the first.
    pub(crate) run: u32,
    pub(crate) failures: u32,
    /// Total duration of its runs that succeeded or failed by themselves, where this owner has
    /// measured them.
    pub(crate) ran_ms: u64,
    /// Duration of its run that succeeded, if that was measured from start to end.
    pub(crate) took_ms: Option<u64>,
    /// Its current run, if one may be on a worker.
    pub(crate) placement: Option<Placement>,
    /// When the worker first confirmed its current run, and whether that run is stable; only for
    /// long-running tasks. Owners may change faster than a run becomes stable under one of them.
    pub(crate) working_since: Option<OwnerTime>,
    pub(crate) is_stable: bool,
    /// A speculative second run, if its step allows copies.
    pub(crate) copy: Option<Placement>,
    pub(crate) checkpoint: Box<str>,
    /// Greatest CPU share, in percent, that its run gets beside latency-critical tasks; `None` if it
    /// may have its full share.
    pub(crate) max_share_percent: Option<u32>,
    /// Earliest time of the next run.
    pub(crate) not_before_ms: u64,
    /// Consecutive runs that failed or were refused before they had run for a while.
    pub(crate) failed_starts: u32,
    /// Worker on which it failed last; others are tried first.
    pub(crate) failed_on: Option<WorkerKey>,
    /// Until when its next run waits for a worker without other suspects, if it does.
    pub(crate) isolation_until_ms: Option<u64>,
    /// Since when it does, for the next owner.
    pub(crate) isolation_since: Option<OwnerTime>,
    /// Evidence that it crashes its workers.
    pub(crate) suspicion: Suspicion,
    /// Runs lost with removed workers that may or may not have crashed.
    pub(crate) lost_runs: Vec<LostRun>,
    /// When the newest of them was lost.
    pub(crate) lost_ms: u64,
    /// Until when it waits to know whether its last worker crashed or left as planned, if it does.
    pub(crate) resolution_until_ms: Option<u64>,
}

impl Task {
    /// Releases a run that is over; its copy, if there is one, takes its place. Tells whether the
    /// run belonged to the task.
    pub(crate) fn release_run(&mut self, run: Placement) -> bool {
        if self.placement == Some(run) {
            self.placement = self.copy.take();
            self.working_since = None;
            self.is_stable = false;
            return true;
        }
        self.copy.take_if(|copy| *copy == run).is_some()
    }

    /// Delays its next run: at first by the given time, and by twice as much with each consecutive
    /// failed start, so that a task which can't run anywhere does not keep store and workers busy.
    pub(crate) fn back_off(&mut self, first_ms: u64, now_ms: u64) {
        let doublings = self.failed_starts.min(MAX_DOUBLINGS);
        self.not_before_ms = now_ms + (first_ms << doublings);
        self.failed_starts += 1;
    }

    pub(crate) fn is_waiting(&self) -> bool {
        !self.is_done && self.placement.is_none()
    }

    /// Returns whether it may have crashed a worker.
    pub(crate) fn is_suspect(&self) -> bool {
        self.suspicion.needs_isolation() || self.lost_runs.iter().any(LostRun::may_be_cause)
    }

    /// Returns whether it must run alone until it is stable, so that the next crash shows whether it
    /// is the cause.
    pub(crate) fn must_be_alone(&self) -> bool {
        self.suspicion.must_be_alone(self.unresolved_crashes())
    }

    /// Starts or continues to wait for a worker without other suspects, as there is none at
    /// present. `since_ms` is when it began to wait. Gives until when it waits.
    pub(crate) fn wait_for_isolation(&mut self, since_ms: u64) -> u64 {
        *self
            .isolation_until_ms
            .get_or_insert(since_ms + ISOLATION_WAIT_MS)
    }

    /// Returns whether it may still wait for such a worker.
    pub(crate) fn may_wait_for_isolation(&self, now_ms: u64) -> bool {
        self.isolation_until_ms
            .is_none_or(|until_ms| now_ms < until_ms)
    }

    /// Records a lost run until it is known whether its worker crashed.
    pub(crate) fn record_lost_run(&mut self, lost_run: LostRun, now_ms: u64) {
        self.lost_ms = now_ms;
        if self.lost_runs.len() == MAX_LOST_RUNS {
            self.lost_runs.remove(0);
        }
        self.lost_runs.push(lost_run);
    }

    /// Returns the number of its runs during which workers may have crashed, where that is not known
    /// yet. A gang may lose several workers in one run, which counts once.
    pub(crate) fn unresolved_crashes(&self) -> u32 {
        let suspects = self.lost_runs.iter().filter(|lost_run| lost_run.is_suspect);
        let runs: BTreeSet<u32> = suspects.map(|lost_run| lost_run.run).collect();
        runs.len() as u32
    }

    /// Starts to wait to know what happened to its last worker, unless that is the first one that it may
    /// have crashed. Tells whether it waits.
    pub(crate) fn await_resolution(&mut self, until_ms: u64) -> bool {
        let waits = self.suspicion.needs_isolation() || self.unresolved_crashes() > 1;
        if waits {
            self.resolution_until_ms = Some(until_ms);
        }
        waits
    }

    /// Returns until when it waits to know whether its workers crashed, if it does.
    pub(crate) fn undecided_until_ms(&self, now_ms: u64) -> Option<u64> {
        if let Some(until_ms) = self
            .resolution_until_ms
            .filter(|until_ms| now_ms < *until_ms)
        {
            return Some(until_ms);
        }
        let until_ms = self.lost_ms + MAX_UNDECIDED_MS;
        (self
            .suspicion
            .must_await_resolution(self.unresolved_crashes())
            && now_ms < until_ms)
            .then_some(until_ms)
    }

    /// Returns whether it must not be started any more, as it has used up its starts.
    pub(crate) fn is_used_up(&self, now_ms: u64) -> bool {
        let is_resolved = self.undecided_until_ms(now_ms).is_none();
        let unresolved_crashes = self.unresolved_crashes();
        self.suspicion.is_exhausted()
            || is_resolved && self.suspicion.is_beyond_chance(unresolved_crashes)
    }

    /// Returns whether a run was lost with a worker that had not answered the order to start it.
    pub(crate) fn has_unanswered_order(&self, worker: &str) -> bool {
        let mut lost_runs = self.lost_runs.iter();
        lost_runs.any(|lost_run| *lost_run.worker == *worker && lost_run.ordered_ms.is_some())
    }

    /// Removes and gives the runs that were lost with a worker.
    pub(crate) fn take_lost_runs(&mut self, worker: &str) -> Vec<LostRun> {
        self.lost_runs
            .extract_if(.., |lost_run| *lost_run.worker == *worker)
            .collect()
    }
}
