//! The phase of a task and the time of those before, with what holds many tasks up at once.

use crate::job_times::Phase;
use crate::job_times::PhaseTimes;

/// What keeps many tasks from going on at once. Its times are kept once, and not for each task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Hold {
    /// The rules are too old.
    Rules,
    /// The link is full.
    Link,
    /// The store does not store anything.
    Store,
}

impl Hold {
    const ALL: [Hold; 3] = [Hold::Rules, Hold::Link, Hold::Store];

    fn phase(self) -> Phase {
        match self {
            Hold::Rules => Phase::WaitRules,
            Hold::Link => Phase::WaitLink,
            Hold::Store => Phase::WaitStore,
        }
    }

    fn stops(self, phase: Phase) -> bool {
        match self {
            Hold::Rules | Hold::Link => phase.is_waiting(),
            Hold::Store => matches!(phase, Phase::Recording | Phase::Publishing),
        }
    }
}

/// Total time for which a hold was in force.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct HoldTime {
    ended_ms: u64,
    since_ms: Option<u64>,
}

impl HoldTime {
    /// Begins or ends the hold.
    pub(super) fn set(&mut self, since_ms: Option<u64>, now_ms: u64) {
        match (self.since_ms, since_ms) {
            (None, Some(_)) => self.since_ms = since_ms,
            (Some(_), None) => {
                self.ended_ms = self.total_ms(now_ms);
                self.since_ms = None;
            }
            _ => {}
        }
    }

    fn total_ms(&self, now_ms: u64) -> u64 {
        let current_ms = self
            .since_ms
            .map(|since_ms| now_ms.saturating_sub(since_ms));
        self.ended_ms + current_ms.unwrap_or(0)
    }
}

pub(super) type HoldTimes = [HoldTime; Hold::ALL.len()];

/// Times of a task, or of all tasks of a step that have no run yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Track {
    pub(super) phase: Phase,
    pub(super) since_ms: u64,
    /// Total time of each hold at the beginning of the phase.
    held_ms: [u64; Hold::ALL.len()],
    pub(super) times: PhaseTimes,
}

impl Track {
    pub(super) fn new(phase: Phase, now_ms: u64, holds: &HoldTimes) -> Self {
        Self {
            phase,
            since_ms: now_ms,
            held_ms: holds.map(|hold| hold.total_ms(now_ms)),
            times: PhaseTimes::default(),
        }
    }

    /// Ends the current phase and begins another one.
    pub(super) fn enter(&mut self, phase: Phase, now_ms: u64, holds: &HoldTimes) {
        if self.phase == phase {
            return;
        }
        let is_lost = matches!(self.phase, Phase::StartCall | Phase::Run) && phase.is_waiting();
        let spent = if is_lost { Phase::LostRun } else { self.phase };
        self.spend(spent, now_ms, holds);
        self.phase = phase;
    }

    /// Ends a task that has succeeded, and returns its times. The answer that told it was on its way
    /// for `exit_delay_ms`.
    pub(super) fn end(mut self, now_ms: u64, exit_delay_ms: u64, holds: &HoldTimes) -> PhaseTimes {
        if matches!(self.phase, Phase::StartCall | Phase::Run) {
            let ended_ms = now_ms.saturating_sub(exit_delay_ms).max(self.since_ms);
            self.enter(Phase::ExitNoticed, ended_ms, holds);
        }
        self.spend(self.phase, now_ms, holds);
        self.times
    }

    /// Counts the time since the beginning of the current phase, except for holds, as spent in a
    /// phase.
    pub(super) fn spend(&mut self, phase: Phase, now_ms: u64, holds: &HoldTimes) {
        let mut left_ms = now_ms.saturating_sub(self.since_ms);
        for hold in Hold::ALL {
            let total_ms = holds[hold as usize].total_ms(now_ms);
            if hold.stops(self.phase) {
                let held_ms = total_ms.saturating_sub(self.held_ms[hold as usize]);
                let held_ms = held_ms.min(left_ms);
                self.times.add(hold.phase(), held_ms);
                left_ms -= held_ms;
            }
            self.held_ms[hold as usize] = total_ms;
        }
        self.times.add(phase, left_ms);
        self.since_ms = now_ms;
    }
}
