//! Injected faults of workers: tasks that crash their workers, and resources that change.

use crate::fleet::Fleet;
use goldcrestway_dispatch::Resources;
use goldcrestway_dispatch::Stream;
use goldcrestway_dispatch::TaskId;
use std::collections::BTreeMap;

/// Time after which a crashed worker is restarted at its address, as another incarnation.
const RESTART_MS: u64 = 3_400;
/// Time after which the platform no longer lists a silent worker.
const UNLISTED_MS: u64 = 3_000;
/// Interval between two reports of a worker about itself.
const REPORT_INTERVAL_MS: u64 = 1_500;

/// Injected faults of the workers of a fleet, and those that are still to be applied.
pub(super) struct WorkerFaults {
    /// Tasks that crash their workers, and the time for which they run before that.
    poisoned: BTreeMap<TaskId, u64>,
    restart_delay_ms: u64,
    /// Whether restarted workers keep their ids.
    keeps_ids: bool,
    /// Time by which their clocks are then set back for each restart.
    clock_setback_ms: u64,
    /// Time after which restarted workers report themselves.
    report_ms: u64,
    /// Workers that will be restarted, and entries in the list of workers that will be removed,
    /// with the time.
    pending_restarts: Vec<(u64, Box<str>)>,
    pending_unlistings: Vec<(u64, Box<str>)>,
    /// Addresses of workers that will report their resources, with the time.
    pending_reports: Vec<(u64, Box<str>)>,
    restarts: u64,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        Self {
            poisoned: BTreeMap::new(),
            restart_delay_ms: RESTART_MS,
            keeps_ids: false,
            clock_setback_ms: 0,
            report_ms: 0,
            pending_restarts: Vec::new(),
            pending_unlistings: Vec::new(),
            pending_reports: Vec::new(),
            restarts: 0,
        }
    }
}

/// Removes the due entries of a list and returns their texts.
fn drain_due(list: &mut Vec<(u64, Box<str>)>, now_ms: u64) -> Vec<Box<str>> {
    let due = list.extract_if(.., |entry| entry.0 <= now_ms);
    due.map(|entry| entry.1).collect()
}

impl Fleet {
    /// Makes a task crash each worker on which it has run for `delay_ms`.
    pub(crate) fn poison(&mut self, task: TaskId, delay_ms: u64) {
        self.worker_faults.poisoned.insert(task, delay_ms);
        self.promises.poisoned.insert(task);
    }

    /// Sets the time after which workers that crash from now on are restarted.
    pub(crate) fn set_restart_delay_ms(&mut self, restart_delay_ms: u64) {
        self.worker_faults.restart_delay_ms = restart_delay_ms;
    }

    /// Sets whether workers that are restarted from now on keep their ids.
    pub(crate) fn keep_ids(&mut self, keeps_ids: bool) {
        self.worker_faults.keeps_ids = keeps_ids;
    }

    /// Sets the time after which restarted workers report themselves.
    pub(crate) fn set_report_ms(&mut self, report_ms: u64) {
        self.worker_faults.report_ms = report_ms;
    }

    /// Sets the time by which the clocks of restarted workers are set back further at each restart.
    pub(crate) fn set_clocks_back(&mut self, ms: u64) {
        self.worker_faults.clock_setback_ms = ms;
    }

    /// Returns whether a worker will be restarted, reported or unlisted within the given time.
    pub(super) fn has_pending_changes(&self, within_ms: u64) -> bool {
        let faults = &self.worker_faults;
        let lists = [
            &faults.pending_restarts,
            &faults.pending_reports,
            &faults.pending_unlistings,
        ];
        let mut changes = lists.into_iter().flatten();
        changes.any(|(at_ms, _)| *at_ms <= self.now_ms + within_ms)
    }

    /// Makes a worker report that it is about to leave.
    pub(crate) fn announce_leave(&mut self, address: &str) {
        self.report_as(address, "leaving");
    }

    /// Crashes a worker: all its runs end unreported, and it is restarted later.
    pub(crate) fn crash(&mut self, address: &str) {
        self.fail_worker(address, true);
    }

    fn fail_worker(&mut self, address: &str, is_unrelated: bool) {
        let Some(worker) = self.workers.get_mut(address) else {
            return;
        };
        if !worker.is_alive {
            return;
        }
        for task in worker.tasks() {
            self.promises.record_crash(task, is_unrelated);
        }
        let tasks: Vec<String> = worker.tasks().map(|task| task.to_string()).collect();
        self.log_lines.push(format!(
            "{} worker {} crashes unrelated={is_unrelated} tasks={}",
            self.now_ms,
            worker.id,
            tasks.join(",")
        ));
        self.shut_down(address);
    }

    /// Ends a worker that leaves as planned: its runs end, and it is restarted later.
    pub(crate) fn shut_down(&mut self, address: &str) {
        let Some(worker) = self.workers.get_mut(address) else {
            return;
        };
        worker.die();
        let id = worker.id.clone();
        let now_ms = self.now_ms;
        self.log_lines.push(format!("{now_ms} worker {id} exits"));
        self.worker_faults
            .pending_unlistings
            .push((now_ms + UNLISTED_MS, id));
        let restart_ms = now_ms + self.worker_faults.restart_delay_ms;
        self.worker_faults
            .pending_restarts
            .push((restart_ms, address.into()));
    }

    /// Changes the resources of a worker. It enforces them at once and reports them one interval
    /// later.
    pub(crate) fn resize(&mut self, address: &str, resources: Resources) {
        let Some(worker) = self.workers.get_mut(address) else {
            return;
        };
        worker.resize(resources, self.now_ms);
        self.worker_faults
            .pending_reports
            .push((self.now_ms + REPORT_INTERVAL_MS, address.into()));
    }

    /// Applies the faults that are due.
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
        for id in drain_due(&mut self.worker_faults.pending_unlistings, now_ms) {
            let mut workers = self.workers.values();
            if !workers.any(|worker| worker.id == id && worker.is_alive) {
                self.store.put(Stream::Workers, &id, &[]);
            }
        }
        for address in drain_due(&mut self.worker_faults.pending_restarts, now_ms) {
            if self.workers[&address].is_alive {
                continue;
            }
            self.worker_faults.restarts += 1;
            if self.worker_faults.keeps_ids {
                let started_wall_ms = self.wall_ms()
                    - self.worker_faults.restarts * self.worker_faults.clock_setback_ms;
                if let Some(worker) = self.workers.get_mut(&address) {
                    worker.restart(now_ms, started_wall_ms);
                }
                let report_ms = now_ms + self.worker_faults.report_ms;
                self.worker_faults
                    .pending_reports
                    .push((report_ms, address));
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
        for address in drain_due(&mut self.worker_faults.pending_reports, now_ms) {
            self.report(&address);
        }
    }

    /// Makes a worker report itself to the platform, which lists it from then on.
    pub(crate) fn report(&mut self, address: &str) {
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
