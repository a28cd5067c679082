//! WorkerFaults of workers: tasks that take down whoever starts them, and rooms that shrink and grow.

use crate::fleet::Fleet;
use goldcrestway_dispatch::Resources;
use goldcrestway_dispatch::Stream;
use goldcrestway_dispatch::TaskId;
use std::collections::BTreeMap;

/// Time after which a worker that has crashed is back at its address, as another incarnation.
const RESTART_MS: u64 = 3_400;
/// Time after which the platform no longer lists a worker that is silent.
const UNLISTED_MS: u64 = 3_000;
/// Time between two reports of a worker about itself.
const REPORT_INTERVAL_MS: u64 = 1_500;

/// What goes wrong with workers of a fleet.
pub(super) struct WorkerFaults {
    /// Tasks that crash their workers, and after how much time there.
    poisoned: BTreeMap<TaskId, u64>,
    back_ms: u64,
    /// Workers that are back have the ids that they had.
    keeps_ids: bool,
    /// Their clocks are then set back by so much for each start.
    set_back_ms: u64,
    /// Time after which they report themselves.
    report_ms: u64,
    /// Workers that will be back, and entries that will lapse.
    returns: Vec<(u64, Box<str>)>,
    unlistings: Vec<(u64, Box<str>)>,
    /// Rooms that workers are to report, by address.
    reports: Vec<(u64, Box<str>)>,
    restarts: u64,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        Self {
            poisoned: BTreeMap::new(),
            back_ms: RESTART_MS,
            keeps_ids: false,
            set_back_ms: 0,
            report_ms: 0,
            returns: Vec::new(),
            unlistings: Vec::new(),
            reports: Vec::new(),
            restarts: 0,
        }
    }
}

/// Takes what is due off a list.
fn drain_due(list: &mut Vec<(u64, Box<str>)>, now_ms: u64) -> Vec<Box<str>> {
    let due = list.extract_if(.., |entry| entry.0 <= now_ms);
    due.map(|entry| entry.1).collect()
}

impl Fleet {
    /// Has a task crash each worker that it has been on for so long.
    pub(crate) fn poison(&mut self, task: TaskId, delay_ms: u64) {
        self.worker_faults.poisoned.insert(task, delay_ms);
        self.promises.poisoned.insert(task);
    }

    /// Has workers that crash from now on be back after so long.
    pub(crate) fn set_back_ms(&mut self, back_ms: u64) {
        self.worker_faults.back_ms = back_ms;
    }

    /// Has workers that are back from now on have the ids that they had, or others.
    pub(crate) fn keep_ids(&mut self, keeps_ids: bool) {
        self.worker_faults.keeps_ids = keeps_ids;
    }

    /// Has workers that start again report themselves only after so long.
    pub(crate) fn set_report_ms(&mut self, report_ms: u64) {
        self.worker_faults.report_ms = report_ms;
    }

    /// Has the clocks of workers that start again be set back by so much more each time.
    pub(crate) fn set_clocks_back(&mut self, ms: u64) {
        self.worker_faults.set_back_ms = ms;
    }

    /// Has a worker report that it is about to leave.
    pub(crate) fn announce_leave(&mut self, address: &str) {
        self.report_as(address, "leaving");
    }

    /// Crashes a worker: all that runs there ends unheard, and it is back later.
    pub(crate) fn crash(&mut self, address: &str) {
        self.fail_worker(address, true);
    }

    fn fail_worker(&mut self, address: &str, is_by_itself: bool) {
        let Some(worker) = self.workers.get_mut(address) else {
            return;
        };
        if !worker.is_alive {
            return;
        }
        for task in worker.tasks() {
            self.promises.record_crash(task, is_by_itself);
        }
        worker.die();
        let id = worker.id.clone();
        let now_ms = self.now_ms;
        self.worker_faults
            .unlistings
            .push((now_ms + UNLISTED_MS, id));
        let back_ms = now_ms + self.worker_faults.back_ms;
        self.worker_faults.returns.push((back_ms, address.into()));
    }

    /// Changes what a worker has. It enforces that at once and reports it with its next beat.
    pub(crate) fn resize(&mut self, address: &str, resources: Resources) {
        let Some(worker) = self.workers.get_mut(address) else {
            return;
        };
        worker.resize(resources, self.now_ms);
        self.worker_faults
            .reports
            .push((self.now_ms + REPORT_INTERVAL_MS, address.into()));
    }

    /// Lets happen what is due.
    pub(super) fn apply_worker_faults(&mut self) {
        let now_ms = self.now_ms;
        let mut crashed = Vec::new();
        for (address, worker) in &self.workers {
            let poisoned = &self.worker_faults.poisoned;
            let is_crashed = worker.tasks().any(|task| {
                let delay_ms = poisoned.get(&task);
                delay_ms.is_some_and(|delay_ms| now_ms >= worker.task_started_ms(task) + delay_ms)
            });
            if is_crashed {
                crashed.push(address.clone());
            }
        }
        for address in crashed {
            self.fail_worker(&address, false);
        }
        for id in drain_due(&mut self.worker_faults.unlistings, now_ms) {
            let mut workers = self.workers.values();
            if !workers.any(|worker| worker.id == id && worker.is_alive) {
                self.store.put(Stream::Workers, &id, &[]);
            }
        }
        for address in drain_due(&mut self.worker_faults.returns, now_ms) {
            if self.workers[&address].is_alive {
                continue;
            }
            self.worker_faults.restarts += 1;
            if self.worker_faults.keeps_ids {
                let started_wall_ms =
                    self.wall_ms() - self.worker_faults.restarts * self.worker_faults.set_back_ms;
                if let Some(worker) = self.workers.get_mut(&address) {
                    worker.restart(now_ms, started_wall_ms);
                }
                let report_ms = now_ms + self.worker_faults.report_ms;
                self.worker_faults.reports.push((report_ms, address));
                continue;
            }
            let id = format!("reborn-{}", self.worker_faults.restarts);
            let previous = &self.workers[&address];
            let (resources, enforces_resources, stop_ms) = (
                previous.resources,
                previous.enforces_resources,
                previous.stop_ms,
            );
            self.add_worker(&address, &id);
            if let Some(worker) = self.workers.get_mut(&address) {
                worker.resize(resources, 0);
                worker.enforces_resources = enforces_resources;
                worker.stop_ms = stop_ms;
            }
            self.report(&address);
        }
        for address in drain_due(&mut self.worker_faults.reports, now_ms) {
            self.report(&address);
        }
    }

    pub(super) fn report(&mut self, address: &str) {
        self.report_as(address, "ready");
    }

    fn report_as(&mut self, address: &str, state: &str) {
        let Some(worker) = self.workers.get(address).filter(|worker| worker.is_alive) else {
            return;
        };
        let resources = worker.resources;
        let started_wall_ms = worker.started_wall_ms;
        let text = format!(
            "{address} {state} {} {} {started_wall_ms}",
            resources.cpu_milli, resources.memory_mb
        );
        self.store.put(Stream::Workers, &worker.id, text.as_bytes());
    }
}
