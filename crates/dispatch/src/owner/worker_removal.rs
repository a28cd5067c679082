//! Removes workers on which nothing can run any more.

use crate::event::Action;
use crate::event::Now;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::worker::RemovalReason;
use crate::owner::worker::WorkerKey;
use goldcrestway_core::Code;
use goldcrestway_core::Note;

/// Delay before a worker that was removed but is still listed is polled again.
const REPOLL_DELAY_MS: u64 = 300;

impl Owner {
    /// Removes a worker: nothing there can be alive.
    pub(crate) fn remove_worker(
        &mut self,
        key: WorkerKey,
        removal_reason: RemovalReason,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        self.record_removal(key, removal_reason, now.steady_ms, actions);
        let removed = self.describe_removal(key, removal_reason, now.steady_ms);
        let runs: Vec<(TaskId, u32)> = self.workers[key].runs.keys().copied().collect();
        for (task, run) in runs {
            self.lose_run(key, task, run, now.steady_ms);
        }
        let Some(worker) = self.workers.remove(key) else {
            return;
        };
        self.worker_keys.remove(&worker.entry.id);
        self.relays.forget_worker(&worker.entry.id);
        if !worker.entry.address.is_empty() {
            actions.push(Action::Disconnect {
                address: worker.entry.address.clone(),
            });
        }
        // The worker may be alive and cut off; it is added again as one without runs.
        if worker.is_listed {
            let id = worker.entry.id.clone();
            let mut readded = self.make_worker(worker.entry, now.steady_ms);
            readded.incarnation = worker.incarnation;
            readded.set_restart(worker.restart);
            readded.first_answered_ms = worker.first_answered_ms;
            readded.next_poll_ms = now.steady_ms + REPOLL_DELAY_MS;
            let key = self.workers.insert(readded);
            self.worker_keys.insert(id, key);
        }
        self.apply_removal(removed, now, actions);
        self.must_place = true;
    }
}

impl Owner {
    /// Reports why a worker is removed and which runs are lost with it, so that operators can tell
    /// a task that crashes its workers from tasks that merely ran beside it, and a crash from a
    /// network cut.
    pub(super) fn record_removal(
        &mut self,
        key: WorkerKey,
        removal_reason: RemovalReason,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        let worker = &self.workers[key];
        actions.push(Action::Note(Note::new(
            Code::WorkerGone,
            &*worker.entry.id,
            format!(
                "why={removal_reason:?} incarnation={} listed_incarnation={} address={} leaving={} listed={} answer_age_ms={} runs={} {} now_ms={now_ms}",
                worker.incarnation,
                worker.entry.incarnation,
                worker.entry.address,
                worker.was_leaving,
                worker.is_listed,
                worker.describe_answer_age(now_ms),
                worker.runs.len(),
                worker.describe_leases(now_ms)
            ),
        )));
        self.stats.workers_removed += 1;
        self.stats.workers_replaced += u64::from(removal_reason.is_replaced());
        self.stats.lost += worker.runs.len() as u64;
        for ((task, number), run) in &worker.runs {
            actions.push(Action::Note(Note::new(
                Code::RunLost,
                task.to_string(),
                format!(
                    "run={number} worker={} why={removal_reason:?} age_ms={} order_to_answer_ms={} phase={:?} percent={} stray={} stable={}",
                    worker.entry.id,
                    now_ms.saturating_sub(run.started_ms),
                    worker.answered_ms as i64 - run.started_ms as i64,
                    run.phase,
                    run.percent,
                    run.is_orphan,
                    run.is_stable
                ),
            )));
        }
    }
}
