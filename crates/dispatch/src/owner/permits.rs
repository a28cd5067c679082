//! Permits for queues whose policy allows a step to run only on some workers.
//!
//! Only a service of the platform knows which workers these are. It needs time for each call and
//! for each worker named, and handles one call of a host at a time. Therefore it is called for the
//! most urgent step first and for a few workers only: those that would be chosen next. Its decision
//! on a worker is valid for the step, whereas a permit expires and is requested again.

use crate::event::Action;
use crate::event::Now;
use crate::event::PermitOutcome;
use crate::ids::JobId;
use crate::ids::StepId;
use crate::owner::Owner;
use crate::owner::costs::Isolation;
use crate::owner::costs::TaskRequirements;
use crate::owner::worker::WorkerKey;
use crate::policy::kept_room::Precedence;
use crate::record::Submission;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::VecDeque;

/// Maximum number of workers named in one call. The objectives of jobs allow for one call about
/// this many workers per step.
pub(crate) const MAX_ASKED: usize = 30;
/// Time before its expiry from which a permit is no longer used: a run is recorded before it
/// starts, which takes 20 to 100 ms.
const EXPIRY_MARGIN_MS: u64 = 250;
/// Time beyond the expected duration of a call after which it times out.
const CALL_SLACK_MS: u64 = 1_500;
/// Maximum number of steps for which one search looks for workers to name in a call.
const MAX_CONSIDERED: usize = 32;
/// Longest expected duration of a call. Rules may name any number, and a job is stored with those of
/// its acceptance.
const MAX_CALL_MS: u64 = 3_600_000;
/// Delay before the next call after one that failed.
const RETRY_MS: u64 = 300;

/// Decision of the service on a worker.
#[derive(Debug, Clone)]
enum Decision {
    Denied,
    Permitted { permit: Box<str>, until_ms: u64 },
}

/// A call in flight.
#[derive(Debug)]
struct Flight {
    ticket: u64,
    step: StepId,
    asked: Vec<WorkerKey>,
}

/// All decisions on workers, and the state of the calls for permits.
#[derive(Debug, Default)]
pub(crate) struct Permits {
    decisions: HashMap<StepId, HashMap<WorkerKey, Decision>>,
    /// Steps that lacked permitted workers in the latest placement pass, the most urgent one first.
    requested_steps: VecDeque<StepId>,
    flight: Option<Flight>,
    retry_ms: u64,
}

impl Permits {
    /// Returns the permit of a step for a worker, if there is one that is still valid.
    pub(crate) fn permit(&self, step: StepId, worker: WorkerKey, now_ms: u64) -> Option<&str> {
        match self.decisions.get(&step)?.get(&worker)? {
            Decision::Permitted { permit, until_ms } if now_ms < *until_ms => Some(permit),
            _ => None,
        }
    }

    /// Returns whether a request may yield a permit for a worker.
    fn may_request(&self, step: StepId, worker: WorkerKey, now_ms: u64) -> bool {
        let decision = self
            .decisions
            .get(&step)
            .and_then(|decisions| decisions.get(&worker));
        match decision {
            None => true,
            Some(Decision::Denied) => false,
            Some(Decision::Permitted { until_ms, .. }) => now_ms >= *until_ms,
        }
    }

    /// Records that a step waits for permitted workers. The steps of a placement pass follow each
    /// other by urgency.
    pub(crate) fn request(&mut self, step: StepId) {
        self.requested_steps.push_back(step);
    }

    /// Discards the requests of the previous placement pass.
    pub(crate) fn begin_pass(&mut self) {
        self.requested_steps.clear();
    }

    /// Drops a permit that a worker has refused.
    pub(crate) fn drop_permit(&mut self, step: StepId, worker: WorkerKey) {
        if let Some(decisions) = self.decisions.get_mut(&step) {
            decisions.remove(&worker);
        }
    }

    /// Drops all decisions for a finished job.
    pub(crate) fn remove_job(&mut self, job: JobId) {
        self.decisions.retain(|step, _| step.job != job);
    }

    fn apply_outcome(
        &mut self,
        flight: Flight,
        outcome: PermitOutcome,
        now_ms: u64,
        names: &[Box<str>],
    ) {
        let PermitOutcome::Permitted { rows, validity_ms } = outcome else {
            self.retry_ms = now_ms + RETRY_MS;
            return;
        };
        let until_ms = now_ms.saturating_add(validity_ms.saturating_sub(EXPIRY_MARGIN_MS));
        let decisions = self.decisions.entry(flight.step).or_default();
        for (worker, name) in flight.asked.into_iter().zip(names) {
            let row = rows.iter().find(|(id, _)| id == name);
            let decision = match row {
                Some((_, permit)) => Decision::Permitted {
                    permit: permit.clone(),
                    until_ms,
                },
                None => Decision::Denied,
            };
            decisions.insert(worker, decision);
        }
    }
}

impl Submission {
    /// Returns whether its tasks may only start on workers with a permit.
    pub(crate) fn needs_permits(&self) -> bool {
        self.permit_validity_ms > 0
    }

    /// Returns the expected duration in milliseconds of a call that names `workers` workers.
    pub(crate) fn permit_call_ms(&self, workers: usize) -> u64 {
        let workers_ms = self.permit_worker_us.saturating_mul(workers as u64) / 1_000;
        let call_ms = self.permit_decision_ms.saturating_add(workers_ms);
        call_ms.min(MAX_CALL_MS)
    }
}

impl Owner {
    /// Requests permits for the most urgent step that lacks permitted workers. A step for which no
    /// worker can be named leaves its turn to the next one.
    pub(crate) fn request_permits(
        &mut self,
        now: Now,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let now_ms = now.steady_ms;
        if self.permits.flight.is_some() || now_ms < self.permits.retry_ms {
            return;
        }
        for _ in 0..MAX_CONSIDERED {
            let Some(step) = self.permits.requested_steps.pop_front() else {
                return;
            };
            if self.request_permits_of(step, now_ms, tickets, actions) {
                return;
            }
        }
    }

    /// Requests permits for a step. Returns whether there is a worker to name.
    fn request_permits_of(
        &mut self,
        step_id: StepId,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(key) = self.job_keys.get(&step_id.job).copied() else {
            return false;
        };
        let submission = self.jobs[key].submission.clone();
        let Some(step) = submission.steps.get(usize::from(step_id.step)) else {
            return false;
        };
        let requirements = TaskRequirements {
            step,
            service: &submission.service,
            image: self.images.key(&step.image),
            task: step_id.first_task(),
            precedence: Precedence::of(&submission),
            needs_permits: false,
            suspected_at: None,
            isolation: Isolation::None,
            accepts_reduced_share: self.accepts_reduced_share(step_id, step, now_ms),
        };
        let mut ranked = self.rank_workers(&requirements, now_ms);
        let mut asked = Vec::new();
        while asked.len() < MAX_ASKED
            && let Some(Reverse((_, worker))) = ranked.pop()
        {
            if self.permits.may_request(step_id, worker, now_ms) {
                asked.push(worker);
            }
        }
        if asked.is_empty() {
            return false;
        }
        *tickets += 1;
        actions.push(Action::RequestPermits {
            ticket: *tickets,
            step: step_id,
            workers: asked
                .iter()
                .map(|worker| self.workers[*worker].entry.id.clone())
                .collect(),
            timeout_ms: submission.permit_call_ms(asked.len()) + CALL_SLACK_MS,
        });
        self.permits.flight = Some(Flight {
            ticket: *tickets,
            step: step_id,
            asked,
        });
        true
    }

    /// Handles the outcome of a call for permits, if this owner has made the call.
    pub(crate) fn handle_permit_outcome(&mut self, ticket: u64, outcome: PermitOutcome, now: Now) {
        let is_current = |flight: &mut Flight| flight.ticket == ticket;
        let Some(flight) = self.permits.flight.take_if(is_current) else {
            return;
        };
        let mut names = Vec::with_capacity(flight.asked.len());
        for worker in &flight.asked {
            let worker = self.workers.get(*worker);
            names.push(worker.map_or("".into(), |worker| worker.entry.id.clone()));
        }
        self.permits
            .apply_outcome(flight, outcome, now.steady_ms, &names);
        self.must_place = true;
    }
}
