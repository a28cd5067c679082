//! Which task is to blame when a worker has crashed, and when it is given up.
//!
//! **Load pattern:** a task takes down each worker that starts it, and with it all that works
//! there. The workers are back after some seconds.
//!
//! **Without it** a run that goes with its worker is an end to nobody, and its task starts again
//! elsewhere, for good. It shows as one task with a run for each worker that has crashed, and as
//! tasks beside it that lose their workers again and again.
//!
//! **Limits:** a crash speaks against those that had not been at work there for a while yet, since
//! whatever else ran there had shown that it can be borne. One crash says little: hosts crash by
//! themselves, too. So a task is to blame at the second one, if nothing else may have caused that
//! one, and if it was on another host than the first; at the third one on the same host. Only runs
//! count for that of which the worker has answered that they are there: an order may have come to
//! one that was down already. Whoever is suspected is kept apart from others that are, so that the
//! next crash tells them apart. A run that works for a while clears its task. Crashes that come
//! together with others which nothing explains (a rack, a failure domain) raise no suspicion.
//!
//! What can't be told from a task that had bad luck, as it crashes its workers before they can
//! answer, only later, always beside others or when others crash, too, has two starts left after the
//! third crash, known or likely, unless it works for a while; and it is given up after so many crashes that luck is
//! no explanation. Of tasks that last only those crashes count after which they have not worked for
//! a while: hosts crash by themselves in the days for which they run.

/// Time for which a run must have been at work before a crash of its worker no longer speaks
/// against it.
pub const STABLE_MS: u64 = 1_000;
/// Crashes under runs that were there for certain at which a task is to blame if nothing else may
/// have caused the last one, on another host than the one before.
const MAX_CRASHES_ALONE: u32 = 2;
/// The same on the same host, which may be the cause.
const MAX_CRASHES_ALONE_SAME_HOST: u32 = 3;
/// Crashes, whatever the cause, after which the starts of a task are counted, and starts that it has
/// left then unless a run of it is sound.
const PROBATION_CRASHES: u32 = 3;
const PROBATION_STARTS: u32 = 2;
/// Workers that may crash under a task, whatever the cause.
const MAX_CRASHES: u32 = 5;
/// Crashes, whatever the cause, from which on a task is kept apart from others.
const ISOLATION_CRASHES: u32 = 2;

/// A worker that has crashed, as it concerns one task.
#[derive(Debug, Clone, Copy)]
pub struct Crash<'a> {
    /// Number of the task's run there.
    pub run: u32,
    /// Address of the worker.
    pub address: &'a str,
    /// The run had not been at work for long enough to be sound.
    pub is_suspect: bool,
    /// The worker has answered that the run is there.
    pub is_confirmed: bool,
    /// Nothing else there may have been the cause.
    pub is_sole_suspect: bool,
    /// Other workers crashed at the same time, and nothing there explains it.
    pub is_excused: bool,
    /// The task lasts until its job is cancelled.
    pub is_long_running: bool,
}

/// What speaks against a task, or against a gang, whose members crash as one.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Suspicion {
    /// Workers that have crashed under it, whatever the cause; of a task that lasts only those
    /// since a run of it was last sound.
    pub crashes: u32,
    /// Crashes that it may have caused, under runs that were there for certain, since a run of it
    /// was last sound.
    pub confirmed: u32,
    /// Starts since there were so many crashes that these are counted.
    pub starts: u32,
    /// Its newest run that was counted. Members of a gang may take several workers down in one
    /// run, which counts once.
    pub run: u32,
    /// Address of the worker that it was suspected to have crashed last; empty for none.
    pub address: Box<str>,
}

impl Suspicion {
    /// Tells whether its next run is to be kept apart from others: it is suspected, or has more bad
    /// luck than most.
    pub fn needs_isolation(&self) -> bool {
        self.confirmed > 0 || self.crashes >= ISOLATION_CRASHES
    }

    /// Tells whether a crash under this run is counted already. Older ones are not: what became of
    /// their workers may be known later.
    pub fn is_counted(&self, run: u32) -> bool {
        run == self.run
    }

    /// Notes that the task is about to start, after so many losses of which it is not known yet
    /// whether they were crashes. They count here as if they were: workers that crash may be back
    /// only long after their tasks run elsewhere.
    pub fn record_start(&mut self, unresolved_crashes: u32) {
        self.starts += u32::from(self.crashes + unresolved_crashes >= PROBATION_CRASHES);
    }

    /// Takes in that a start was refused.
    pub fn undo_start(&mut self) {
        self.starts = self.starts.saturating_sub(1);
    }

    /// Tells whether it must not be started any more: it has had its last starts, and no run of it
    /// was sound.
    pub fn is_exhausted(&self) -> bool {
        self.starts >= PROBATION_STARTS && self.crashes >= PROBATION_CRASHES
    }

    /// Tells whether it should not be started before it is known what became of the workers that it
    /// was lost with: if they have crashed, it has had its last starts.
    pub fn must_await_resolution(&self, unresolved_crashes: u32) -> bool {
        let may_be_exhausted = self.starts >= PROBATION_STARTS
            && self.crashes + unresolved_crashes >= PROBATION_CRASHES;
        may_be_exhausted && !self.is_exhausted()
    }

    /// Counts a crash, and tells whether the task is to blame for good.
    pub fn record_crash(&mut self, crash: &Crash<'_>) -> bool {
        if self.is_counted(crash.run) {
            return false;
        }
        self.run = self.run.max(crash.run);
        self.crashes += u32::from(crash.is_suspect || !crash.is_long_running);
        let is_beyond_chance = self.crashes >= MAX_CRASHES || self.is_exhausted();
        is_beyond_chance || self.record_confirmed(crash)
    }

    /// Counts a crash that the task may have caused for certain, and tells whether nothing else can
    /// explain it any more.
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
        crash.is_sole_suspect && self.confirmed >= max_confirmed
    }

    /// Takes in that a run has been at work for long enough: it crashes nobody by starting.
    pub fn clear(&mut self, is_long_running: bool) {
        self.confirmed = 0;
        self.starts = 0;
        self.address = Box::default();
        if is_long_running {
            self.crashes = 0;
        }
    }
}
