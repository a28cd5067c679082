//! Polls workers: renews their leases and fetches what runs and what has ended there.

use crate::event::Action;
use crate::event::Now;
use crate::event::OrderOutcome;
use crate::event::WorkerCall;
use crate::event::WorkerReport;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::calls::Purpose;
use crate::owner::leases::LeaseBasis;
use crate::owner::worker::RemovalReason;
use crate::owner::worker::RunPhase;
use crate::owner::worker::WorkerKey;
use crate::policy::link::CallPriority;
use crate::policy::polls::Activity;
use crate::policy::polls::PollIntervals;
use crate::policy::polls::first_gap_us;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Time for which a worker delays the answer to a poll until a run ends. It bounds how late a
/// silent worker is noticed, and how old the tail latencies of latency-critical tasks are.
pub(super) const LONG_POLL_MS: u64 = 700;
/// The same where best-effort tasks run beside a latency-critical task that is over its target, or
/// close to it: the next answer decides whether they are suspended or throttled in time.
const OVER_TARGET_LONG_POLL_MS: u64 = 250;
/// Maximum number of polls in one turn, and in one millisecond where turns are shorter.
const MAX_POLLS: usize = 100;
const POLLS_PER_MS: u64 = 20;
/// Time over which hastened polls are spread.
const HASTEN_SPREAD_MS: u64 = 700;
/// Interval between polls while exits wait to be recorded, as a poll would list them again.
const UNRECORDED_GAP_MS: u64 = 1_000;
/// Delay before the poll that follows one without an answer.
const MISSED_GAP_MS: u64 = 20;
/// Consecutive polls without an answer at which the worker is reported as silent.
const REPORT_SILENT_AFTER: u32 = 2;
/// Interval between polls of a worker that does not answer.
const SILENT_GAP_MS: u64 = 300;
/// Consecutive polls without an answer, all of them sent after its leases had expired, after which
/// a worker is removed even though the link of the owner's own host is suspected. The platform
/// lists such a worker, so it is likely alive and may hold exits of tasks that would run again.
const MAX_MISSED_WHILE_SUSPECT: u32 = 3;

impl Owner {
    /// Sends the polls that are due, and removes workers on which nothing can run any more.
    pub(crate) fn send_due_polls(
        &mut self,
        now: Now,
        tickets: &mut u64,
        actions: &mut Vec<Action>,
    ) {
        let now_ms = now.steady_ms;
        let is_own_link_suspect = self.answers.is_link_suspect();
        let renew_ms = self.lease_span_ms() / 2;
        let mut due = Vec::new();
        let mut dead = Vec::new();
        for key in self.workers.due(now_ms) {
            let worker = &self.workers[key];
            let has_missed_enough = !is_own_link_suspect
                || !worker.is_listed
                || worker.misses_after_expiry >= MAX_MISSED_WHILE_SUSPECT;
            // Leases that a previous owner has recorded may have expired before this one began. The
            // worker may be back, and may have the exits of tasks that would run again.
            let has_expired = worker.may_be_dead()
                && now_ms > worker.leases_expired_ms
                && has_missed_enough
                && worker.was_asked(now_ms);
            let is_obsolete = worker.is_obsolete();
            let is_given_up =
                has_expired && worker.is_removal_awaited() && !self.may_have_restarted(key, now_ms);
            if is_obsolete || is_given_up && !self.may_be_extended(key, now_ms, actions) {
                dead.push(key);
                continue;
            }
            let worker = &self.workers[key];
            if worker.can_be_polled() && now_ms >= worker.next_poll_ms {
                let priority = match now_ms + renew_ms > worker.leases_expired_ms {
                    true => CallPriority::Lease,
                    false => CallPriority::Poll,
                };
                due.push((
                    priority,
                    worker.runs.is_empty(),
                    worker.leases_expired_ms,
                    key,
                ));
            }
        }
        for key in dead {
            self.remove_worker(key, RemovalReason::GivenUp, now, actions);
        }
        // Workers with runs come first, in the order in which their leases expire. If all workers
        // are due at once, as for a new owner, the rest wait for the next turns, so that heartbeats
        // are sent in between.
        due.sort_unstable();
        let passed_ms = now_ms.saturating_sub(self.poll_budget_ms);
        self.poll_budget_ms = now_ms;
        let refill = (passed_ms * POLLS_PER_MS).min(MAX_POLLS as u64) as usize;
        self.poll_budget = (self.poll_budget + refill).min(MAX_POLLS);
        due.truncate(self.poll_budget);
        self.poll_budget -= due.len();
        for (priority, _, _, key) in due {
            if self.link.admits(priority) {
                self.poll(key, now_ms, tickets, actions);
            }
        }
    }

    fn poll(&mut self, key: WorkerKey, now_ms: u64, tickets: &mut u64, actions: &mut Vec<Action>) {
        let is_confirmed = self.is_confirmed(now_ms);
        let span_ms = self.lease_span_ms();
        let lease_ms = self.lease_ms();
        let is_own_link_suspect = self.answers.is_link_suspect();
        let is_near_target = self.is_near_target(&self.workers[key]);
        let worker = &mut self.workers[key];
        // The leases of a silent worker must expire at some time, as its tasks are started
        // elsewhere only then; a poll whose answer is lost would extend them. While the answers of
        // all workers are late, this one is likely alive, and its tasks must not end because of the
        // link.
        let is_likely_alive = worker.missed_answers == 0
            || is_own_link_suspect && worker.missed_answers < MAX_MISSED_WHILE_SUSPECT;
        let extends = is_confirmed
            && worker.is_known
            && is_likely_alive
            && !worker.is_recorded_silent
            && worker.restart_listed_ms.is_none();
        let lease_until_ms = match worker.clock_ms(now_ms) {
            Some(clock_ms) if extends => Some(clock_ms + lease_ms),
            _ => None,
        };
        if lease_until_ms.is_some() {
            worker.extend_leases(now_ms + span_ms, LeaseBasis::Given);
        }
        let has_unrecorded = worker.handled_exit > worker.recorded_exit;
        let waits = worker.is_known
            && worker.missed_answers == 0
            && !has_unrecorded
            && !worker.has_more_exits
            && worker.clock.is_some();
        let wait_ms = match waits {
            true if worker.is_over_target || is_near_target => OVER_TARGET_LONG_POLL_MS,
            true => LONG_POLL_MS,
            false => 0,
        };
        // A worker that has restarted since would apply the number to its own exits, and forget
        // some that the owner has not read. So the number is sent only if there is something to
        // forget, and not after a missed answer, a jump of its clock or a restart that is listed.
        let is_same = worker.missed_answers == 0
            && worker.clock_jumped_ms.is_none()
            && worker.restart_listed_ms.is_none();
        let acknowledged_exit = match is_same && worker.recorded_exit > worker.forgotten_exit {
            true => worker.recorded_exit,
            false => 0,
        };
        let call = WorkerCall::Poll {
            acknowledged_exit,
            lease_until_ms,
            wait_ms,
        };
        self.stats.polls += 1;
        self.send_order(
            key,
            Purpose::Poll {
                sent_ms: now_ms,
                acknowledged_exit,
            },
            call,
            now_ms,
            tickets,
            actions,
        );
        let worker = &mut self.workers[key];
        worker.is_poll_pending = true;
        worker.first_polled_ms.get_or_insert(now_ms);
    }

    pub(crate) fn on_poll(
        &mut self,
        key: WorkerKey,
        sent_ms: u64,
        acknowledged_exit: u64,
        outcome: OrderOutcome,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let now_ms = now.steady_ms;
        let worker = &mut self.workers[key];
        worker.is_poll_pending = false;
        let OrderOutcome::Done {
            report: Some(report),
            ..
        } = outcome
        else {
            worker.record_missed_answer(now_ms);
            worker.misses_after_expiry += u32::from(sent_ms > worker.leases_expired_ms);
            worker.next_poll_ms = now_ms + MISSED_GAP_MS;
            if worker.is_silent() {
                worker.next_poll_ms = now_ms + SILENT_GAP_MS;
            }
            if worker.missed_answers == REPORT_SILENT_AFTER {
                actions.push(Action::Note(Note::new(
                    Code::WorkerSilent,
                    &*worker.entry.id,
                    format!(
                        "incarnation={} listed_incarnation={} answer_age_ms={} runs={} {} recorded_silent={}",
                        worker.incarnation,
                        worker.entry.incarnation,
                        worker.describe_answer_age(now_ms),
                        worker.runs.len(),
                        worker.describe_leases(now_ms),
                        worker.is_recorded_silent
                    ),
                )));
            }
            return;
        };
        worker.forgotten_exit = worker.forgotten_exit.max(acknowledged_exit);
        self.bound_earlier_leases(key, &report, now_ms);
        let key = self.match_incarnation(key, sent_ms, &report, now, actions);
        let worker = &mut self.workers[key];
        if worker.is_silent() {
            self.must_place = true;
            actions.push(Action::Note(Note::new(
                Code::WorkerBack,
                &*worker.entry.id,
                format!(
                    "incarnation={} runs={} ends={} handled={} told_to_forget={}",
                    report.incarnation,
                    report.runs.len(),
                    report.exits.len(),
                    worker.handled_exit,
                    worker.forgotten_exit
                ),
            )));
        }
        worker.missed_answers = 0;
        worker.first_missed_ms = None;
        worker.left_while_silent = false;
        worker.misses_after_expiry = 0;
        worker.has_more_exits = report.has_more_exits;
        worker.answered_ms = now_ms;
        worker.answered_poll_ms = sent_ms;
        worker
            .clock_jumped_ms
            .take_if(|jumped_ms| sent_ms >= *jumped_ms);
        worker
            .restart_listed_ms
            .take_if(|listed_ms| sent_ms >= *listed_ms);
        worker.first_answered_ms.get_or_insert(now_ms);
        let was_known = worker.is_known;
        worker.is_known = true;
        self.must_place |= !was_known;
        self.expire_restart(key, now_ms);
        if !was_known {
            self.resolve_lost_workers(key, now, actions);
        }
        self.timeline.exit_delay_ms = (now_ms - sent_ms).min(self.answers.typical_delay_ms());
        self.apply_run_exits(key, &report, now, actions);
        self.apply_run_reports(key, sent_ms, &report, now, actions);
        self.fail_convicted(now, actions);
        if !was_known {
            self.block_late_starts(key, &report, now_ms);
        }
        self.adjust_best_effort(key, now_ms, actions);
        let gap_ms = self.poll_gap_ms(key);
        let worker = &mut self.workers[key];
        let gap_ms = match worker.handled_exit > worker.recorded_exit {
            true => UNRECORDED_GAP_MS,
            false if was_known => gap_ms,
            false => 0,
        };
        worker.next_poll_ms = now_ms + gap_ms;
    }

    /// Shortens the time for which the leases of a worker may last by its first answer: from then on,
    /// it refuses to extend them for a previous owner. Leases by the clock of a previous incarnation
    /// last for longer.
    fn bound_earlier_leases(&mut self, key: WorkerKey, report: &WorkerReport, now_ms: u64) {
        let latest_ms = now_ms + self.lease_span_ms();
        let worker = &mut self.workers[key];
        if !worker.is_known && report.incarnation == worker.incarnation {
            worker.leases_expired_ms = worker.leases_expired_ms.min(latest_ms);
            worker.lease_basis = LeaseBasis::Given;
            worker.apply_restart();
        }
    }

    /// Returns the interval until the next poll of a worker.
    fn poll_gap_ms(&mut self, key: WorkerKey) -> u64 {
        let ending = self.workers.ending();
        let polls = PollIntervals {
            idle_workers: (self.workers.len() - ending) as u64,
            cpu_permille: self.bounds.cpu_permille,
            are_confirming: self.needs_worker_confirmation,
        };
        let activity = self.workers[key].activity();
        let link_gap_ms = match activity {
            Activity::Ending => self.link_gap_ms(ending),
            Activity::LongRunning | Activity::None => self.link_gap_ms(self.workers.len()),
        };
        polls.gap_ms(activity).max(link_gap_ms)
    }

    /// Schedules the next poll of an idle worker as soon as that of one whose runs may end at any
    /// time.
    pub(super) fn poll_soon(&mut self, key: WorkerKey, now_ms: u64) {
        let at_ms = now_ms + self.poll_gap_ms(key);
        let worker = &mut self.workers[key];
        worker.next_poll_ms = worker.next_poll_ms.min(at_ms);
    }

    /// Spreads the first polls of workers without runs, at a rate that the owner's processor can
    /// bear. Workers with runs are polled first.
    pub(crate) fn spread_first_polls(&mut self, now_ms: u64) {
        let gap_us = first_gap_us(self.bounds.cpu_permille);
        let mut delay_us = 0;
        for worker in self.workers.values_mut() {
            let was_polled = worker.is_known || worker.next_poll_ms > 0;
            if worker.runs.is_empty() && !was_polled {
                worker.next_poll_ms = now_ms + delay_us / 1_000;
                delay_us += gap_us;
            }
        }
    }

    /// Polls all workers within a second, as they have to confirm this owner.
    pub(super) fn hasten_polls(&mut self, now_ms: u64) {
        let mut position = 0;
        for worker in self.workers.values_mut() {
            position += 1;
            let at_ms = now_ms + position % HASTEN_SPREAD_MS;
            worker.next_poll_ms = worker.next_poll_ms.min(at_ms);
        }
    }

    fn apply_run_exits(
        &mut self,
        key: WorkerKey,
        report: &WorkerReport,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        for exit in &report.exits {
            if exit.number <= self.workers[key].handled_exit {
                continue;
            }
            self.workers[key].handled_exit = exit.number;
            self.apply_run_exit(
                key,
                exit.task,
                exit.run,
                exit.exit_reason,
                &exit.checkpoint,
                now,
                actions,
            );
        }
    }

    pub(crate) fn set_phase(&mut self, key: WorkerKey, task: TaskId, number: u32, phase: RunPhase) {
        self.workers[key].has_orders = true;
        if let Some(run) = self.workers[key].runs.get_mut(&(task, number)) {
            run.phase = phase;
        }
    }
}
