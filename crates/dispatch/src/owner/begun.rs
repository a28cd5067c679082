//! Which jobs have begun: those of which a worker has confirmed that a task runs, or has run.
//!
//! That a worker was chosen, or ordered to start a task, does not count: it may refuse the order, or
//! not answer. Callers would be told that a job runs, and the job would not count as waiting, although
//! none of its tasks has ever started. A phase never goes back, so it is changed only by what can't
//! become untrue.

use crate::event::Action;
use crate::event::Now;
use crate::ids::JobId;
use crate::owner::Owner;
use crate::owner::job::Job;
use crate::policy::fair_shares::NEUTRAL_RANK;
use crate::record::JobPhase;
use crate::record::StateRecord;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

impl Owner {
    /// Records that a worker has confirmed a run of a job, and publishes that the job has begun if
    /// this is news. No record of its progress is needed first: the next owner learns it from the
    /// same worker.
    pub(super) fn begin_job(&mut self, id: JobId, now: Now, actions: &mut Vec<Action>) {
        let Some(key) = self.job_keys.get(&id).copied() else {
            return;
        };
        let job = &mut self.jobs[key];
        if job.phase != JobPhase::Queued {
            return;
        }
        job.phase = JobPhase::Running;
        job.published = JobPhase::Running;
        let waiting = job.waiting(NEUTRAL_RANK, now);
        actions.push(Action::Note(Note::new(
            Code::JobBegun,
            id.to_string(),
            format!(
                "due_in_ms={} projected_ms={}",
                waiting.due_ms as i64 - now.steady_ms as i64,
                waiting.remaining_ms
            ),
        )));
        let state = job.state();
        self.writer.publish(id, state);
        self.begun_jobs.push((id, state));
    }

    /// Removes and returns the states of the jobs that have begun since the last call.
    pub(crate) fn drain_begun_jobs(&mut self) -> Vec<(JobId, StateRecord)> {
        std::mem::take(&mut self.begun_jobs)
    }
}

impl Job {
    /// Returns whether it has begun, or may begin at any moment, as runs of it are placed.
    pub(crate) fn is_under_way(&self) -> bool {
        self.phase != JobPhase::Queued || self.has_placements
    }

    /// Updates whether runs of it are placed, after one was lost.
    pub(crate) fn recount_placements(&mut self) {
        // A job that has begun remains under way.
        if self.phase != JobPhase::Queued {
            return;
        }
        let mut has_placements = false;
        self.for_each_task(|_, task| has_placements |= task.placement.is_some());
        self.has_placements = has_placements;
    }
}
