//! Mishaps of workers: tasks that take down whoever starts them, and rooms that shrink and grow.

use crate::fleet::Fleet;
use goldcrestway_dispatch::Resources;
use goldcrestway_dispatch::Stream;
use goldcrestway_dispatch::TaskId;
use std::collections::BTreeMap;

/// Time after which a worker that has crashed is back at its address, as another incarnation.
const BACK_MS: u64 = 3_400;
/// Time after which the platform no longer lists a worker that is silent.
const UNLISTED_MS: u64 = 3_000;
/// Time between two reports of a worker about itself.
const BEAT_MS: u64 = 1_500;

/// What goes wrong with workers of a fleet.
pub(super) struct Mishaps {
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
    lapses: Vec<(u64, Box<str>)>,
    /// Rooms that workers are to report, by address.
    reports: Vec<(u64, Box<str>)>,
    lives: u64,
}

impl Default for Mishaps {
    fn default() -> Self {
        Self {
            poisoned: BTreeMap::new(),
            back_ms: BACK_MS,
            keeps_ids: false,
            set_back_ms: 0,
            report_ms: 0,
            returns: Vec::new(),
            lapses: Vec::new(),
            reports: Vec::new(),
            lives: 0,
        }
    }
}

/// Takes what is due off a list.
fn take_due(list: &mut Vec<(u64, Box<str>)>, now_ms: u64) -> Vec<Box<str>> {
    let due = list.extract_if(.., |entry| entry.0 <= now_ms);
    due.map(|entry| entry.1).collect()
}

impl Fleet {
    /// Has a task crash each worker that it has been on for so long.
    pub(crate) fn poison(&mut self, task: TaskId, after_ms: u64) {
        self.mishaps.poisoned.insert(task, after_ms);
        self.promises.poisoned.insert(task);
    }

    /// Has workers that crash from now on be back after so long.
    pub(crate) fn set_back_ms(&mut self, back_ms: u64) {
        self.mishaps.back_ms = back_ms;
    }

    /// Has workers that are back from now on have the ids that they had, or others.
    pub(crate) fn keep_ids(&mut self, keeps_ids: bool) {
        self.mishaps.keeps_ids = keeps_ids;
    }

    /// Has workers that start again report themselves only after so long.
    pub(crate) fn set_report_ms(&mut self, report_ms: u64) {
        self.mishaps.report_ms = report_ms;
    }

    /// Has the clocks of workers that start again be set back by so much more each time.
    pub(crate) fn set_clocks_back(&mut self, ms: u64) {
        self.mishaps.set_back_ms = ms;
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
            self.promises.note_crash(task, is_by_itself);
        }
        worker.die();
        let id = worker.id.clone();
        let now_ms = self.now_ms;
        self.mishaps.lapses.push((now_ms + UNLISTED_MS, id));
        let back_ms = now_ms + self.mishaps.back_ms;
        self.mishaps.returns.push((back_ms, address.into()));
    }

    /// Changes what a worker has. It enforces that at once and reports it with its next beat.
    pub(crate) fn resize(&mut self, address: &str, resources: Resources) {
        let Some(worker) = self.workers.get_mut(address) else {
            return;
        };
        worker.resize(resources, self.now_ms);
        self.mishaps
            .reports
            .push((self.now_ms + BEAT_MS, address.into()));
    }

    /// Lets happen what is due.
    pub(super) fn suffer(&mut self) {
        let now_ms = self.now_ms;
        let mut crashed = Vec::new();
        for (address, worker) in &self.workers {
            let poisoned = &self.mishaps.poisoned;
            let is_struck = worker.tasks().any(|task| {
                let after_ms = poisoned.get(&task);
                after_ms.is_some_and(|after_ms| now_ms >= worker.begun_ms(task) + after_ms)
            });
            if is_struck {
                crashed.push(address.clone());
            }
        }
        for address in crashed {
            self.fail_worker(&address, false);
        }
        for id in take_due(&mut self.mishaps.lapses, now_ms) {
            let mut workers = self.workers.values();
            if !workers.any(|worker| worker.id == id && worker.is_alive) {
                self.store.put(Stream::Workers, &id, &[]);
            }
        }
        for address in take_due(&mut self.mishaps.returns, now_ms) {
            if self.workers[&address].is_alive {
                continue;
            }
            self.mishaps.lives += 1;
            if self.mishaps.keeps_ids {
                let born_wall_ms = self.wall_ms() - self.mishaps.lives * self.mishaps.set_back_ms;
                if let Some(worker) = self.workers.get_mut(&address) {
                    worker.start_again(now_ms, born_wall_ms);
                }
                let report_ms = now_ms + self.mishaps.report_ms;
                self.mishaps.reports.push((report_ms, address));
                continue;
            }
            let id = format!("reborn-{}", self.mishaps.lives);
            let former = &self.workers[&address];
            let (resources, guards, stop_ms) = (former.resources, former.guards, former.stop_ms);
            self.add_worker(&address, &id);
            if let Some(worker) = self.workers.get_mut(&address) {
                worker.resize(resources, 0);
                worker.guards = guards;
                worker.stop_ms = stop_ms;
            }
            self.report(&address);
        }
        for address in take_due(&mut self.mishaps.reports, now_ms) {
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
        let born_wall_ms = worker.born_wall_ms;
        let text = format!(
            "{address} {state} {} {} {born_wall_ms}",
            resources.cpu_milli, resources.memory_mb
        );
        self.store.put(Stream::Workers, &worker.id, text.as_bytes());
    }
}
