//! Orders to start and stop runs, and the handling of their outcomes.

use crate::event::Action;
use crate::event::Now;
use crate::event::OrderOutcome;
use crate::event::Refusal;
use crate::event::WorkerCall;
use crate::ids::StepId;
use crate::ids::TaskId;
use crate::job_times::Phase;
use crate::owner::Owner;
use crate::owner::calls::Purpose;
use crate::owner::leases::LeaseBasis;
use crate::owner::starting::StartBar;
use crate::owner::starting::StartTerms;
use crate::owner::worker::Run;
use crate::owner::worker::RunPhase;
use crate::owner::worker::WorkerKey;
use crate::policy::link::CallPriority;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Delay before an order to stop that failed or was not answered is sent again.
const STOP_RETRY_MS: u64 = 300;
/// Time for which a worker that lacked resources for a run gets no new tasks.
const NO_ROOM_AVOID_MS: u64 = 400;
/// Time for which a worker that is unhealthy or can't be reached gets no new tasks.
const UNWELL_AVOID_MS: u64 = 1_500;
/// Delay before a task that a worker rejected as faulty is started again, doubled with each further
/// rejection.
const FAULTY_BACKOFF_MS: u64 = 1_000;
/// Time for which a worker that refused a run for another reason gets no new tasks.
const REFUSED_AVOID_MS: u64 = 1_000;

impl Owner {
    /// Sends the order to start a recorded run.
    pub(crate) fn send_start(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        number: u32,
        now: Now,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        if !self.is_recording(key, task, number) {
            return;
        }
        let now_ms = now.steady_ms;
        let span_ms = self.lease_span_ms();
        let lease_ms = self.lease_ms();
        let StartTerms {
            job,
            clock_ms,
            permit,
        } = match self.start_terms(key, task, now_ms) {
            Ok(terms) => terms,
            Err(bar) => return self.drop_start(key, task, number, bar, now_ms, actions),
        };
        let job = &mut self.jobs[job];
        let specification = job.specification.clone();
        let checkpoint = job
            .task_mut(task)
            .map_or("".into(), |task| task.checkpoint.clone());
        let list_age_ms = self.describe_list_age(now_ms);
        let worker = &mut self.workers[key];
        worker.extend_leases(now_ms + span_ms, LeaseBasis::Given);
        let mut attempt = 0;
        if let Some(run) = worker.runs.get_mut(&(task, number)) {
            run.phase = RunPhase::Sent;
            run.start_attempts += 1;
            attempt = run.start_attempts;
            run.checkpoint.clone_from(&checkpoint);
            run.progressed_ms = now_ms;
            run.started_ms = now_ms;
            run.first_ms = now_ms;
        }
        self.stats.starts += 1;
        self.timeline.enter(task, Phase::StartCall, now_ms);
        let worker_id = worker.entry.id.clone();
        let look_age_ms = now_ms.saturating_sub(worker.answered_ms);
        let call = WorkerCall::Start {
            task,
            run: number,
            specification,
            lease_until_ms: clock_ms + lease_ms,
            checkpoint,
            permit,
        };
        let purpose = Purpose::Start { task, run: number };
        self.send_order(key, purpose, call, now_ms, tickets, actions);
        let via = self.relays.carrier(*tickets).unwrap_or("direct");
        actions.push(Action::Note(Note::new(
            Code::RunOrdered,
            task.to_string(),
            format!(
                "run={number} worker={worker_id} look_age_ms={look_age_ms} attempt={attempt} list_age_ms={list_age_ms} order={tickets} via={via}",
            ),
        )));
    }

    /// Drops a run whose order to start must not be sent any more. If an earlier order to start it
    /// was not answered, the run is stopped at the worker first.
    fn drop_start(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        number: u32,
        bar: StartBar,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        self.stats.starts_withheld += 1;
        let worker = &mut self.workers[key];
        worker.has_orders = true;
        let run = worker.runs.get_mut(&(task, number));
        let attempts = run.as_ref().map_or(0, |run| run.start_attempts);
        actions.push(Action::Note(Note::new(
            Code::StartWithheld,
            task.to_string(),
            format!(
                "run={number} worker={} why={bar:?} earlier_orders={attempts}",
                worker.entry.id
            ),
        )));
        if run.is_some_and(Run::request_stop) {
            self.lose_run(key, task, number, now_ms);
        }
    }

    pub(crate) fn on_start(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        number: u32,
        outcome: OrderOutcome,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let now_ms = now.steady_ms;
        let is_confirmed = matches!(outcome, OrderOutcome::Done { .. });
        if is_confirmed {
            self.begin_job(task.job, now, actions);
        }
        let worker = &mut self.workers[key];
        let Some(run) = worker.runs.get_mut(&(task, number)) else {
            return;
        };
        // The run may already be stopping and still be present at the worker.
        run.was_confirmed |= is_confirmed;
        if run.phase != RunPhase::Sent {
            return;
        }
        let is_first = run.start_attempts <= 1;
        worker.has_orders = true;
        if matches!(outcome, OrderOutcome::Done { .. } | OrderOutcome::Unknown) {
            self.timeline.enter(task, Phase::Run, now_ms);
        }
        match outcome {
            OrderOutcome::Done { .. } => run.phase = RunPhase::Present { since_ms: now_ms },
            OrderOutcome::Unknown => {
                run.phase = RunPhase::Doubtful { since_ms: now_ms };
                let id = &worker.entry.id;
                self.doubtful_starts.add(id, task, number, now_ms);
                // A worker that may be dead gets no further leases.
                self.workers[key].record_missed_answer(now_ms);
            }
            OrderOutcome::Refused(Refusal::Old) => {
                run.phase = RunPhase::Stopped { since_ms: now_ms }
            }
            // An earlier order to start the same run may still be in flight.
            _ if !is_first => run.phase = RunPhase::Stopping { again_ms: now_ms },
            OrderOutcome::NotSent => self.on_refusal(key, task, number, UNWELL_AVOID_MS, now_ms),
            OrderOutcome::Refused(refusal) => {
                actions.push(Action::Note(Note::new(
                    Code::StartRefused,
                    task.to_string(),
                    format!(
                        "run={number} worker={} why={refusal:?}",
                        self.workers[key].entry.id
                    ),
                )));
                let avoid_ms = match refusal {
                    Refusal::Room => {
                        self.stats.refused_for_resources += 1;
                        NO_ROOM_AVOID_MS
                    }
                    Refusal::Permit => {
                        self.permits.drop_permit(StepId::of(task), key);
                        0
                    }
                    Refusal::Unwell => UNWELL_AVOID_MS,
                    // The worker is healthy. The task backs off and then tries another worker.
                    Refusal::Faulty => 0,
                    _ => REFUSED_AVOID_MS,
                };
                self.on_refusal(key, task, number, avoid_ms, now_ms);
                if refusal == Refusal::Faulty {
                    self.back_off_task(key, task, now_ms);
                }
            }
        }
        self.poll_soon(key, now_ms);
    }

    /// Handles an order to start that was refused or could not be sent: the run is dropped, and the
    /// worker gets no new tasks for `avoid_ms`.
    fn on_refusal(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        number: u32,
        avoid_ms: u64,
        now_ms: u64,
    ) {
        self.workers[key].avoided_until_ms = now_ms + avoid_ms;
        self.undo_start(task);
        self.lose_run(key, task, number, now_ms);
    }

    /// Delays the next run of a task that a worker has rejected as faulty.
    fn back_off_task(&mut self, worker: WorkerKey, id: TaskId, now_ms: u64) {
        let job = self.job_keys.get(&id.job).copied();
        let task = job.and_then(|job| self.jobs[job].task_mut(id));
        if let Some(task) = task {
            task.failed_on = Some(worker);
            task.back_off(FAULTY_BACKOFF_MS, now_ms);
        }
    }

    /// Sends the orders to stop that are due, for orphans and for all other runs that are stopping.
    pub(crate) fn stop_orphans(
        &mut self,
        now_ms: u64,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let mut due = Vec::new();
        let answer_timeout_ms = 2 * self.answers.answer_timeout_ms();
        for key in self.workers.with_orders() {
            let worker = &mut self.workers[key];
            if worker.entry.address.is_empty() {
                continue;
            }
            for ((task, number), run) in &mut worker.runs {
                if let RunPhase::Stopping { again_ms } = &mut run.phase
                    && *again_ms <= now_ms
                {
                    if !self.link.admits(CallPriority::Control) {
                        continue;
                    }
                    *again_ms = now_ms + answer_timeout_ms + STOP_RETRY_MS;
                    due.push((key, *task, *number));
                }
            }
        }
        for (key, task, run) in due {
            let call = WorkerCall::Stop { task, run };
            let purpose = Purpose::Stop { task, run };
            self.send_order(key, purpose, call, now_ms, tickets, actions);
            let via = self.relays.carrier(*tickets).unwrap_or("direct");
            let worker = &self.workers[key];
            let known = worker.runs.get(&(task, run));
            actions.push(Action::Note(Note::new(
                Code::StopOrdered,
                task.to_string(),
                format!(
                    "run={run} worker={} incarnation={} stray={} seen={} order={tickets} via={via}",
                    worker.entry.id,
                    worker.incarnation,
                    known.is_some_and(|known| known.is_orphan),
                    known.is_some_and(|known| known.was_confirmed),
                ),
            )));
        }
    }

    pub(crate) fn on_stop(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        number: u32,
        outcome: OrderOutcome,
        now: Now,
    ) {
        let phase = match outcome {
            OrderOutcome::Done { .. } | OrderOutcome::Refused(Refusal::Old) => RunPhase::Stopped {
                since_ms: now.steady_ms,
            },
            _ => RunPhase::Stopping {
                again_ms: now.steady_ms + STOP_RETRY_MS,
            },
        };
        self.set_phase(key, task, number, phase);
    }
}
