//! Whether a run may still be ordered to start.
//!
//! A run is ordered once its record is stored, and again when an order had no answer: seconds may
//! pass between the choice of its worker and the order. Every order to start is therefore checked
//! here at the moment at which it is sent, whichever decision led to it. Without this check an
//! order that had no answer is repeated at a worker that has begun to drain meanwhile.

use crate::ids::StepId;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::job::JobKey;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;

/// Why a run must not be ordered to start. Logs print the variants by their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartBar {
    /// The platform no longer lists its worker.
    Unlisted,
    /// The platform's list shows another incarnation of its worker.
    Restarted,
    /// Its worker is draining.
    Leaving,
    /// The failure domain of its worker is evacuated.
    Evacuated,
    /// Its worker has not answered, so its clock, by which leases are given, is not known.
    Unheard,
    /// Its worker is recorded as silent: a successor relies on the expiry of leases there.
    RecordedSilent,
    /// A previous run of its task was reported while this one was being recorded.
    Orphan,
    /// Its job has ended.
    JobEnded,
    /// Neither the store nor the workers confirm this owner.
    Unconfirmed,
    /// The rules are too old.
    Rules,
    /// The platform's list of workers is being loaded.
    List,
    /// It has no valid permit.
    Permit,
}

/// What an order to start a run carries beside the run.
#[derive(Debug)]
pub(super) struct StartTerms {
    pub(super) job: JobKey,
    /// Time of the worker's clock.
    pub(super) clock_ms: u64,
    /// Empty if the job needs none.
    pub(super) permit: Box<str>,
}

impl Owner {
    /// Records whether the platform's list of workers is being loaded, with no load late or failed.
    /// Nothing starts until it is: a new owner has the list as its predecessor recorded it, and
    /// workers may have begun to drain while there was no owner. A list that can't be loaded is not
    /// waited for, as that may last for minutes, and a task that is lost with its worker starts
    /// again.
    pub(crate) fn set_loading_list(&mut self, is_loading: bool) {
        self.must_place |= self.is_loading_list && !is_loading;
        self.is_loading_list = is_loading;
    }

    /// Returns whether no task may be placed at present, whatever the worker.
    pub(super) fn is_placing_paused(&self) -> bool {
        self.are_starts_paused || self.is_loading_list
    }

    /// Returns why a worker gets no orders to start anything until its entry in the platform's list
    /// or the evacuation of its failure domain changes, if so.
    fn lasting_bar(&self, worker: &Worker) -> Option<StartBar> {
        if !worker.is_listed {
            return Some(StartBar::Unlisted);
        }
        if !worker.is_reported() {
            return Some(StartBar::Restarted);
        }
        if worker.entry.is_leaving {
            return Some(StartBar::Leaving);
        }
        self.is_evacuated(worker).then_some(StartBar::Evacuated)
    }

    /// Returns what an order to start a run of a task at a worker carries.
    ///
    /// # Errors
    ///
    /// Returns the reason why the order must not be sent at present.
    pub(super) fn start_terms(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        now_ms: u64,
    ) -> Result<StartTerms, StartBar> {
        let worker = &self.workers[key];
        if let Some(bar) = self.lasting_bar(worker) {
            return Err(bar);
        }
        let clock_ms = worker.clock_ms(now_ms).ok_or(StartBar::Unheard)?;
        // An order to start would extend the leases of a worker that is recorded as silent.
        if worker.is_recorded_silent {
            return Err(StartBar::RecordedSilent);
        }
        if self.has_orphan(task) {
            return Err(StartBar::Orphan);
        }
        let job = self.job_keys.get(&task.job).copied();
        let job = job.ok_or(StartBar::JobEnded)?;
        if !self.is_confirmed(now_ms) {
            return Err(StartBar::Unconfirmed);
        }
        if self.are_starts_paused {
            return Err(StartBar::Rules);
        }
        if self.is_loading_list {
            return Err(StartBar::List);
        }
        let permit = self.permits.permit(StepId::of(task), key, now_ms);
        let permit = permit.unwrap_or_default();
        if self.jobs[job].submission.needs_permits() && permit.is_empty() {
            return Err(StartBar::Permit);
        }
        Ok(StartTerms {
            job,
            clock_ms,
            permit: permit.into(),
        })
    }
}
