//! Which task is the cause when a worker has crashed, and when it is given up.
//!
//! **Load pattern:** a task crashes each worker that starts it, and with it all other tasks there.
//! The workers are back after some seconds.
//!
//! **Without it** a run that is lost with its worker counts as no failure, and its task is started
//! again on other workers forever. It shows as one task with a run on each worker that has crashed,
//! and as tasks beside it that lose their workers repeatedly.
//!
//! **Limits:** a crash counts only against tasks that had not yet run for a while, since the worker
//! had run the others without a crash. One crash proves little, as hosts also crash by themselves.
//! Therefore a task is blamed at the second crash on another host than the first if nothing else
//! may have caused either of them, and otherwise at the third crash if nothing else may have caused
//! that one. For this only runs count that the worker has confirmed: the order to start may have
//! reached a worker that was down already. Suspected tasks are placed apart from each other, and
//! from the second loss on a task is alone on its worker, so that the next crash shows the cause. A
//! run that works for a while clears its task. Crashes that coincide with unexplained crashes of
//! other workers (of a rack or a failure domain) raise no suspicion.
//!
//! Some tasks that crash workers cannot be told from tasks with bad luck: those that crash workers
//! before these can answer, only after a while, always beside other suspects, or while other
//! workers crash as well. Such a task has two starts left after the third crash, known or likely,
//! unless it works for a while, and is given up after so many crashes that chance no longer
//! explains them. A worker that goes after it has announced to leave has mostly left as planned,
//! and mostly not within the first second of a run. Such departures, and losses of workers that are
//! never heard of again, count towards the last starts, and beside two certain crashes towards those
//! that chance does not explain. Of long-running tasks only those crashes count after which they have not worked
//! for a while, as hosts crash by themselves in the days for which these tasks run.

/// Time for which a run must have worked before a crash of its worker no longer counts against it.
pub const STABLE_MS: u64 = 1_000;
/// Crashes during confirmed runs at which a task is blamed if nothing else may have caused the last
/// one, on another host than the one before.
const MAX_CRASHES_ALONE: u32 = 2;
/// The same on the same host, which may be the cause itself.
const MAX_CRASHES_ALONE_SAME_HOST: u32 = 3;
/// Crashes of any cause after which the starts of a task are counted, and the number of starts that
/// it then has left unless one of its runs becomes stable.
const PROBATION_CRASHES: u32 = 3;
const PROBATION_STARTS: u32 = 2;
/// Crashes of any cause at which a task is given up.
const MAX_CRASHES: u32 = 5;
/// Certain crashes beside which departures count as crashes towards the last starts, and losses of
/// unknown fate towards the number that chance does not explain.
const MIN_CERTAIN_CRASHES: u32 = 2;
/// Crashes of any cause from which on a task is placed apart from other suspects.
const ISOLATION_CRASHES: u32 = 2;

/// A crash of a worker, as it concerns one task.
#[derive(Debug, Clone, Copy)]
pub struct Crash<'a> {
    /// Number of the task's run on the worker.
    pub run: u32,
    /// Address of the worker.
    pub address: &'a str,
    /// Whether the run had not worked long enough to be stable ([`STABLE_MS`]).
    pub is_suspect: bool,
    /// Whether the worker has confirmed the run.
    pub is_confirmed: bool,
    /// Whether nothing else on the worker may have been the cause.
    pub is_sole_suspect: bool,
    /// Whether other workers crashed at the same time, and nothing there explains it.
    pub is_excused: bool,
    /// Whether the task runs until its job is cancelled.
    pub is_long_running: bool,
}

/// Evidence against a task, or against a gang, whose members crash as one.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Suspicion {
    /// Crashes of its workers of any cause; for a long-running task only those since its last
    /// stable run.
    pub crashes: u32,
    /// Crashes during confirmed runs that it may have caused, since its last stable run.
    pub confirmed: u32,
    /// Crashes that another task has been blamed for since.
    pub explained: u32,
    /// Workers that had announced to leave, and went with a run of it that was not stable, so that
    /// they may have left as planned, and crashed workers that may not have received the order.
    pub possible: u32,
    /// Starts since the number of crashes from which on starts are counted.
    pub starts: u32,
    /// Its newest run that was counted. Members of a gang may crash several workers in one run,
    /// which counts once.
    pub run: u32,
    /// Confirmed crashes for which no other task may have been the cause.
    pub sole: u32,
    /// Address of the last worker that it is suspected of having crashed; empty for none.
    pub address: Box<str>,
}

impl Suspicion {
    /// Returns whether its next run must be placed apart from other suspects: it is suspected, or
    /// has had more crashes than chance usually brings.
    pub fn needs_isolation(&self) -> bool {
        self.confirmed > 0 || self.crashes >= ISOLATION_CRASHES
    }

    /// Returns whether its next run must be alone on its worker until it is stable. Beside others,
    /// the run would show nothing, and the task has few starts left.
    pub fn must_be_alone(&self, unresolved_crashes: u32) -> bool {
        let suspicious = self.confirmed + self.possible + unresolved_crashes;
        self.starts > 0 || suspicious >= ISOLATION_CRASHES
    }

    /// Returns whether a crash during this run is counted already. A crash during an older run may
    /// still be counted, as the outcome of its worker may become known later.
    pub fn is_counted(&self, run: u32) -> bool {
        run == self.run
    }

    /// Records a start of the task. `unresolved_crashes` is the number of its lost runs whose
    /// workers may have crashed. They count as crashes here, because a crashed worker may be back
    /// only long after its tasks were started on other workers.
    pub fn record_start(&mut self, unresolved_crashes: u32) {
        let crashes = self.crashes + self.possible + unresolved_crashes;
        self.starts += u32::from(crashes >= PROBATION_CRASHES);
    }

    /// Reverts [`Self::record_start`] for a start that the worker refused.
    pub fn undo_start(&mut self) {
        self.starts = self.starts.saturating_sub(1);
    }

    /// Returns whether the task must not be started any more: it has used its last starts, and none
    /// of its runs became stable.
    pub fn is_exhausted(&self) -> bool {
        self.starts >= PROBATION_STARTS && self.crashes >= PROBATION_CRASHES
    }

    /// Returns whether the task must not be started any more, although it is not known what happened
    /// to some workers of its lost runs: it has used its last starts, and chance explains neither
    /// its certain crashes nor all losses together.
    pub fn is_beyond_chance(&self, unresolved_crashes: u32) -> bool {
        let known = self.crashes + self.possible;
        self.starts >= PROBATION_STARTS
            && self.crashes >= MIN_CERTAIN_CRASHES
            && (known >= PROBATION_CRASHES || known + unresolved_crashes >= MAX_CRASHES)
    }

    /// Records that a worker has left as announced, or has crashed before, while a run of the task
    /// was not stable.
    pub fn record_departure(&mut self) {
        self.possible += 1;
    }

    /// Records that another task has been blamed for one of its crashes.
    pub fn explain_crash(&mut self) {
        self.confirmed = self.confirmed.saturating_sub(1);
        self.explained += 1;
    }

    /// Returns whether the task must not be started until it is known what happened to the workers
    /// of its lost runs: if they have crashed, it has used its last starts.
    pub fn must_await_resolution(&self, unresolved_crashes: u32) -> bool {
        let may_be_exhausted = self.starts >= PROBATION_STARTS
            && self.crashes + unresolved_crashes >= PROBATION_CRASHES;
        may_be_exhausted && !self.is_exhausted()
    }

    /// Records a crash, and returns whether the task is to be given up.
    pub fn record_crash(&mut self, crash: &Crash<'_>) -> bool {
        if self.is_counted(crash.run) {
            return false;
        }
        self.run = self.run.max(crash.run);
        if !crash.is_confirmed && (!crash.is_sole_suspect || crash.is_excused) {
            self.possible += u32::from(crash.is_suspect);
            return false;
        }
        self.crashes += u32::from(crash.is_suspect || !crash.is_long_running);
        let is_beyond_chance = self.crashes >= MAX_CRASHES || self.is_exhausted();
        is_beyond_chance || self.record_confirmed(crash)
    }

    /// Records a crash during a confirmed run that the task may have caused, and returns whether
    /// nothing else can explain it any more.
    fn record_confirmed(&mut self, crash: &Crash<'_>) -> bool {
        if !crash.is_suspect || !crash.is_confirmed || crash.is_excused {
            return false;
        }
        self.confirmed += 1;
        let max_confirmed = match *self.address == *crash.address {
            true => MAX_CRASHES_ALONE_SAME_HOST,
            false => MAX_CRASHES_ALONE,
        };
        self.address = crash.address.into();
        let is_ambiguous = self.confirmed > self.sole + 1;
        self.sole += u32::from(crash.is_sole_suspect);
        let max_confirmed = max_confirmed.max(MAX_CRASHES_ALONE + u32::from(is_ambiguous));
        crash.is_sole_suspect && self.confirmed >= max_confirmed
    }

    /// Clears the suspicion after a stable run: the task does not crash workers by starting.
    pub fn clear(&mut self, is_long_running: bool) {
        self.confirmed = 0;
        self.sole = 0;
        self.possible = 0;
        self.starts = 0;
        self.address = Box::default();
        if is_long_running {
            self.crashes = 0;
            self.explained = 0;
        }
    }
}
