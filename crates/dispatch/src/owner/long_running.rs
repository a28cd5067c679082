//! Long-running tasks: the part of a service that new ones may use, and those that have to run
//! again soon.

use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::job::Job;
use crate::owner::job::JobKey;
use crate::policy::kept_room::Precedence;
use crate::record::Step;

/// Part of a service's CPU, in percent, that new long-running tasks may fill. On the same
/// resources, a long-running task yields a quarter of the value of short tasks, and it never
/// releases them.
const MAX_LONG_RUNNING_PERCENT: u64 = 85;

impl Job {
    /// Returns the precedence of the waiting tasks of a step in room that is kept for another one.
    /// `first` is its first task.
    pub(super) fn precedence(&self, first: TaskId, step: &Step) -> Precedence {
        Precedence {
            is_restart: step.is_long_running && self.has_lost_run(first),
            ..Precedence::of(&self.submission)
        }
    }

    /// Returns whether a waiting task of a step has run before.
    fn has_lost_run(&self, first: TaskId) -> bool {
        let state = self.step_state(first);
        state.is_some_and(|state| {
            let mut tasks = state.tasks.iter();
            tasks.any(|task| task.run > 0 && task.is_waiting())
        })
    }
}

impl Owner {
    /// Returns whether long-running tasks already use the part of a service's CPU that new ones may
    /// fill.
    pub(super) fn is_long_running_limit_reached(
        resources_milli: u64,
        long_running_milli: u64,
    ) -> bool {
        long_running_milli * 100 >= resources_milli * MAX_LONG_RUNNING_PERCENT
    }

    /// Returns the CPU of the workers of a service and the part of it that long-running tasks
    /// request, both in thousandths of a core. Returns zeros unless the step is long-running, as
    /// only such steps are limited.
    pub(super) fn long_running_usage(&self, service: &str, step: &Step) -> (u64, u64) {
        let mut resources = 0;
        let mut long_running = 0;
        if !step.is_long_running {
            return (resources, long_running);
        }
        for worker in self.workers.values() {
            let is_eligible = worker.is_listed && !self.is_evacuated(worker);
            if is_eligible && *worker.entry.service == *service {
                resources += worker.entry.resources.cpu_milli;
                long_running += worker.long_running_milli;
            }
        }
        (resources, long_running)
    }

    /// Returns whether new tasks of a step have to wait until other long-running tasks of its
    /// service have ended.
    pub(super) fn is_long_running_share_full(&self, job: JobKey, step: &Step) -> bool {
        let (resources_milli, long_running_milli) =
            self.long_running_usage(&self.jobs[job].submission.service, step);
        step.is_long_running
            && Self::is_long_running_limit_reached(resources_milli, long_running_milli)
    }
}
