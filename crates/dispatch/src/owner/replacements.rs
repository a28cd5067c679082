//! Decides whether a replaced worker had crashed or left as planned.
//!
//! Another incarnation that answers in a worker's place shows that the worker is gone. Whether it
//! had announced to leave stands in the platform's list, and the list may be older than the answer.
//! Without this, a planned exit counts as a crash against the tasks that had just begun there.

use crate::event::Action;
use crate::event::Now;
use crate::ids::TaskId;
use crate::incarnation::Incarnation;
use crate::owner::Owner;
use crate::owner::crashes::LostWorker;
use crate::owner::task::MAX_UNDECIDED_MS;
use crate::owner::worker::Worker;
use std::collections::BTreeSet;

/// Time for which this waits for the clock of the next incarnation.
const MAX_SUCCESSOR_WAIT_MS: u64 = 1_000;

impl Owner {
    /// Records that another incarnation answers in the place of a lost worker. What happened to that
    /// one is decided once the platform's list was read after that.
    pub(super) fn await_resolution(&mut self, id: &str, now: Now) {
        let Some(lost) = self.crashes.lost_workers.get_mut(id) else {
            return;
        };
        if lost.replaced_ms.is_some() {
            return;
        }
        lost.replaced_ms = Some(now.steady_ms);
        let tasks = lost.tasks.clone();
        let is_outage = lost
            .crash_window
            .is_some_and(|crash_window| self.is_outage(id, crash_window));
        if let Some(lost) = self.crashes.lost_workers.get_mut(id) {
            lost.is_excused = is_outage;
        }
        self.crashes.replaced.push_back((now.steady_ms, id.into()));
        for task in tasks {
            if let Some(key) = self.job_keys.get(&task.job).copied()
                && let Some(state) = self.jobs[key].task_mut(task)
            {
                let is_awaited = state.await_resolution(now.steady_ms + MAX_UNDECIDED_MS);
                self.list_wanted_ms = self.list_wanted_ms.max(is_awaited.then_some(now.steady_ms));
            }
        }
    }

    /// Returns since when a task waits for a list of workers that was read after that, if one does.
    pub(crate) fn list_wanted_ms(&self) -> Option<u64> {
        self.list_wanted_ms
            .filter(|wanted_ms| self.list_known_ms < Some(*wanted_ms))
    }

    /// Records that the platform's list shows a worker as about to leave. If the worker is lost, and
    /// the list was not read since it fell silent, it may have left as planned.
    pub(crate) fn record_announcement(&mut self, id: &str, incarnation: Incarnation) {
        let known_ms = self.list_known_ms;
        let Some(lost) = self.crashes.lost_workers.get_mut(id) else {
            return;
        };
        let silent_ms = lost.crash_window.map(|(_, until_ms)| until_ms);
        let is_late = known_ms >= silent_ms && silent_ms.is_some();
        lost.was_announced |= !is_late && !incarnation.differs_from(lost.incarnation);
    }

    /// Decides on the lost workers that were replaced before the platform's list was last read.
    pub(super) fn resolve_replaced_workers(&mut self, now: Now, actions: &mut Vec<Action>) {
        let Some(known_ms) = self.list_known_ms else {
            return;
        };
        while let Some((replaced_ms, id)) = self.crashes.replaced.front().cloned() {
            if replaced_ms > known_ms || self.awaits_successor(&id, now.steady_ms) {
                break;
            }
            self.crashes.replaced.pop_front();
            let lost = self.crashes.lost_workers.get(&id);
            if lost.is_some_and(|lost| lost.replaced_ms == Some(replaced_ms)) {
                self.resolve_replaced(&id, now, actions);
            }
        }
    }

    /// Returns whether an order had no answer and the worker's successor will soon show whether the
    /// order came too late for it.
    fn awaits_successor(&self, id: &str, now_ms: u64) -> bool {
        let Some(lost) = self.crashes.lost_workers.get(id) else {
            return false;
        };
        let is_open = |replaced_ms: u64| now_ms < replaced_ms + MAX_SUCCESSOR_WAIT_MS;
        lost.replaced_ms.is_some_and(is_open)
            && self.has_unanswered_order(id, lost)
            && self.successor_started_ms(id, lost).is_none()
    }

    fn has_unanswered_order(&self, id: &str, lost: &LostWorker) -> bool {
        let mut tasks = lost.tasks.iter().filter_map(|task| self.task(*task));
        tasks.any(|task| task.has_unanswered_order(id))
    }

    /// Returns when the incarnation that now answers in the place of a lost worker had started, or
    /// a little later, if its clock counts from its start: it can't have started before the last
    /// answer of the lost one. Returns `None` also if no order to that one is without an answer.
    pub(super) fn successor_started_ms(&self, id: &str, lost: &LostWorker) -> Option<u64> {
        if !self.has_unanswered_order(id, lost) {
            return None;
        }
        let (answered_ms, _) = lost.crash_window?;
        let is_successor = |worker: &&Worker| {
            *worker.entry.address == *lost.address
                && (*worker.entry.id != *id || worker.incarnation.differs_from(lost.incarnation))
        };
        let successors = self.workers.values().filter(is_successor);
        let clocks = successors.filter_map(|worker| worker.clock);
        let started = clocks.map(|(clock_ms, at_ms)| at_ms.saturating_sub(clock_ms));
        started
            .filter(|started_ms| *started_ms >= answered_ms)
            .min()
    }

    /// Decides on a lost worker that was replaced, by what is known now.
    pub(super) fn resolve_replaced(&mut self, id: &str, now: Now, actions: &mut Vec<Action>) {
        let lost = self.crashes.lost_workers.get(id);
        let Some(lost) = lost.filter(|lost| lost.replaced_ms.is_some()) else {
            return;
        };
        let (was_announced, tasks) = (lost.was_announced, lost.tasks.clone());
        match was_announced {
            true => self.count_late_departure(id, &tasks),
            false => self.resolve_crash(id, true, now, actions),
        }
        for task in tasks {
            if let Some(key) = self.job_keys.get(&task.job).copied()
                && let Some(state) = self.jobs[key].task_mut(task)
            {
                state.resolution_until_ms = None;
            }
        }
        self.must_place = true;
    }

    /// Counts a lost worker as one that left as announced.
    fn count_late_departure(&mut self, id: &str, tasks: &BTreeSet<TaskId>) {
        self.crashes.lost_workers.remove(id);
        self.crashes.evidence.take(id);
        for task in tasks {
            let Some(key) = self.job_keys.get(&task.job).copied() else {
                continue;
            };
            let job = &mut self.jobs[key];
            let Some(state) = job.task_mut(*task) else {
                continue;
            };
            let lost_runs = state.take_lost_runs(id);
            if lost_runs.iter().any(|lost_run| lost_run.is_suspect) {
                state.suspicion.record_departure();
            }
            job.is_dirty = true;
        }
    }
}
