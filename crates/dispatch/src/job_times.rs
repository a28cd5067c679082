//! Where the time of a job went, from its acceptance to its published end.

use crate::ids::JobId;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::fmt::Write;

/// What a job does or waits for. At any time, it is in exactly one phase: that of the task that its
/// step ends with. Logs and metrics show the names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// It is stored, and the owner has not read it yet.
    Accepting,
    /// A previous owner had it. What it did then is not recorded.
    Inherited,
    /// The tasks of a step may start, and no placement pass has considered them yet.
    NextStep,
    /// A more urgent step waits for the same workers and is tried first.
    WaitOrder,
    /// All suitable workers lack the resources.
    WaitRoom,
    /// Most suitable workers run a latency-critical task that it would slow down.
    WaitInterference,
    /// No worker is available: all are silent, draining, avoided, evacuated or lack the label.
    WaitWorker,
    /// No worker has a permit for the step yet.
    WaitPermit,
    /// It is delayed after a run that did not succeed.
    WaitPause,
    /// This host has not read the operator's rules for too long.
    WaitRules,
    /// The link of this host is full.
    WaitLink,
    /// The store does not store the record that has to precede the next act.
    WaitStore,
    /// Any other reason to wait, such as the exit of another member of a gang.
    WaitOther,
    /// The record of a run is being stored.
    Recording,
    /// The order to start a run was sent and has no answer yet.
    StartCall,
    /// A run that succeeds.
    Run,
    /// A run that brings nothing: it was refused, lost or stopped, or it fails.
    LostRun,
    /// A run has ended, and the answer that tells it is on its way.
    ExitNoticed,
    /// The final state of the job is being stored and published.
    Publishing,
    /// Not known, as more tasks were under way than the owner accounts for.
    Untracked,
}

impl Phase {
    /// All phases, in the order of their variants.
    pub const ALL: [Phase; 20] = [
        Phase::Accepting,
        Phase::Inherited,
        Phase::NextStep,
        Phase::WaitOrder,
        Phase::WaitRoom,
        Phase::WaitInterference,
        Phase::WaitWorker,
        Phase::WaitPermit,
        Phase::WaitPause,
        Phase::WaitRules,
        Phase::WaitLink,
        Phase::WaitStore,
        Phase::WaitOther,
        Phase::Recording,
        Phase::StartCall,
        Phase::Run,
        Phase::LostRun,
        Phase::ExitNoticed,
        Phase::Publishing,
        Phase::Untracked,
    ];

    /// Returns the name that logs and metrics show.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Accepting => "accepting",
            Phase::Inherited => "inherited",
            Phase::NextStep => "next_step",
            Phase::WaitOrder => "wait_order",
            Phase::WaitRoom => "wait_room",
            Phase::WaitInterference => "wait_interference",
            Phase::WaitWorker => "wait_worker",
            Phase::WaitPermit => "wait_permit",
            Phase::WaitPause => "wait_pause",
            Phase::WaitRules => "wait_rules",
            Phase::WaitLink => "wait_link",
            Phase::WaitStore => "wait_store",
            Phase::WaitOther => "wait_other",
            Phase::Recording => "recording",
            Phase::StartCall => "start_call",
            Phase::Run => "run",
            Phase::LostRun => "lost_run",
            Phase::ExitNoticed => "exit_noticed",
            Phase::Publishing => "publishing",
            Phase::Untracked => "untracked",
        }
    }

    /// Returns whether no run of the task is recorded or present in this phase.
    pub(crate) fn is_waiting(self) -> bool {
        (Phase::NextStep..=Phase::WaitOther).contains(&self)
    }
}

/// Time in milliseconds of each phase.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PhaseTimes([u32; Phase::ALL.len()]);

impl PhaseTimes {
    /// Returns the time of a phase in milliseconds.
    pub fn get(&self, phase: Phase) -> u64 {
        u64::from(self.0[phase as usize])
    }

    /// Returns the total of all phases in milliseconds.
    pub fn total_ms(&self) -> u64 {
        self.0.iter().copied().map(u64::from).sum()
    }

    /// Returns the phases that took time, with their times in milliseconds.
    pub fn iter(&self) -> impl Iterator<Item = (Phase, u64)> {
        let rows = Phase::ALL.into_iter().zip(self.0);
        rows.filter_map(|(phase, ms)| (ms > 0).then_some((phase, u64::from(ms))))
    }

    pub(crate) fn add(&mut self, phase: Phase, ms: u64) {
        let time_ms = &mut self.0[phase as usize];
        *time_ms = time_ms.saturating_add(u32::try_from(ms).unwrap_or(u32::MAX));
    }

    pub(crate) fn add_all(&mut self, other: &PhaseTimes) {
        for (phase, ms) in other.iter() {
            self.add(phase, ms);
        }
    }
}

/// The task that a step ended with. The next step waited for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CriticalTask {
    /// Number of the step.
    pub step: u16,
    /// Number of the task in its step; 0 for a gang, which ends as a unit.
    pub index: u16,
    /// Its last run.
    pub run: u32,
    /// Worker of that run; empty if unknown.
    pub worker: Box<str>,
    /// Duration that the caller has estimated for it, in milliseconds; 0 for none.
    pub estimated_ms: u64,
    /// Time of the step, by phases of this task.
    pub times: PhaseTimes,
}

/// How a job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEnd {
    /// All tasks have succeeded.
    Completed,
    /// A task has used up its attempts.
    Failed,
    /// Its caller has cancelled it.
    Cancelled,
}

/// Account of the time of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobTimes {
    /// The job.
    pub job: JobId,
    /// Its queue.
    pub queue: Box<str>,
    /// Priority of the queue.
    pub priority: u32,
    /// How it ended.
    pub end: JobEnd,
    /// Time in milliseconds by which its published end exceeds its objective; negative if it was in
    /// time.
    pub late_ms: i64,
    /// The time of each phase. Their total is the time from its acceptance to its published end.
    pub times: PhaseTimes,
    /// The tasks that determined its duration, the last step first.
    pub chain: Vec<CriticalTask>,
}

impl JobTimes {
    /// Returns whether the job has failed, or was completed later than its objective.
    pub fn is_missed(&self) -> bool {
        match self.end {
            JobEnd::Completed => self.late_ms > 0,
            JobEnd::Failed => true,
            JobEnd::Cancelled => false,
        }
    }

    /// Returns the log line.
    pub fn note(&self) -> Note {
        let estimates_ms = self.chain.iter().map(|task| task.estimated_ms);
        let mut detail = format!(
            "how={:?} missed={} queue={} priority={} total_ms={} late_ms={} estimated_ms={}",
            self.end,
            self.is_missed(),
            self.queue,
            self.priority,
            self.times.total_ms(),
            self.late_ms,
            estimates_ms.sum::<u64>()
        );
        for (phase, ms) in self.times.iter() {
            // Writing to a string can't fail.
            let _ = write!(detail, " {}={ms}", phase.name());
        }
        detail.push_str(" chain=");
        for (position, task) in self.chain.iter().rev().enumerate() {
            let separator = if position > 0 { "," } else { "" };
            let (step, index, run) = (task.step, task.index, task.run);
            let total_ms = task.times.total_ms();
            let _ = write!(
                detail,
                "{separator}{step}.{index}:{run}@{}:{total_ms}",
                task.worker
            );
        }
        Note::new(Code::JobTimes, self.job.to_string(), detail)
    }
}
