//! All workers of the owner, and the sets of those that need work.
//!
//! Load: an owner takes hundreds of turns a second, and most of them concern one worker. If each
//! turn passed over all workers, the cost would be turns times workers, which is more than a small
//! host can bear with a few thousand workers. So each change of a worker marks it as changed, and
//! only changed workers are evaluated again; the results are kept in a queue ordered by time, and
//! in sets.

use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;
use crate::policy::polls::Activity;
use slotmap::SlotMap;
use std::cell::Cell;
use std::collections::BTreeSet;
use std::ops::Index;
use std::ops::IndexMut;

/// All workers.
#[derive(Debug)]
pub(crate) struct Workers {
    slots: SlotMap<WorkerKey, Worker>,
    /// Workers that may have changed since the last refresh, each once.
    changed: Vec<WorkerKey>,
    /// Workers by the time at which they are due next.
    due_queue: BTreeSet<(u64, WorkerKey)>,
    /// Workers to which orders may be due.
    with_orders: BTreeSet<WorkerKey>,
    /// Workers whose newest exits are not recorded.
    with_unrecorded_exits: BTreeSet<WorkerKey>,
    /// Workers on which something may run that the owner can't see.
    in_doubt: BTreeSet<WorkerKey>,
    /// Number of times that a worker was refreshed.
    workers_refreshed: u64,
    /// Workers that run something which may end at any time, or best-effort tasks beside a
    /// latency-critical task over its target.
    ending: BTreeSet<WorkerKey>,
    /// Workers that may get new tasks.
    eligible: BTreeSet<WorkerKey>,
    /// Number of times that one of them was evaluated for a task.
    evaluated: Cell<u64>,
}

impl Workers {
    pub(crate) fn new() -> Self {
        Self {
            slots: SlotMap::with_key(),
            changed: Vec::new(),
            due_queue: BTreeSet::new(),
            with_orders: BTreeSet::new(),
            with_unrecorded_exits: BTreeSet::new(),
            in_doubt: BTreeSet::new(),
            workers_refreshed: 0,
            ending: BTreeSet::new(),
            eligible: BTreeSet::new(),
            evaluated: Cell::new(0),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.slots.len()
    }

    pub(crate) fn insert(&mut self, worker: Worker) -> WorkerKey {
        let key = self.slots.insert(worker);
        self.mark_changed(key);
        key
    }

    pub(crate) fn remove(&mut self, key: WorkerKey) -> Option<Worker> {
        let worker = self.slots.remove(key)?;
        if let Some(due_ms) = worker.queued_due_ms {
            self.due_queue.remove(&(due_ms, key));
        }
        self.with_orders.remove(&key);
        self.with_unrecorded_exits.remove(&key);
        self.in_doubt.remove(&key);
        self.ending.remove(&key);
        self.eligible.remove(&key);
        Some(worker)
    }

    pub(crate) fn contains_key(&self, key: WorkerKey) -> bool {
        self.slots.contains_key(key)
    }

    pub(crate) fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.slots.get(key)
    }

    pub(crate) fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.mark_changed(key);
        self.slots.get_mut(key)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Worker> {
        self.slots.values()
    }

    /// Returns mutable references to all workers, and marks all of them as changed.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Worker> {
        let keys: Vec<WorkerKey> = self.slots.keys().collect();
        for key in keys {
            self.mark_changed(key);
        }
        self.slots.values_mut()
    }

    fn mark_changed(&mut self, key: WorkerKey) {
        if let Some(worker) = self.slots.get_mut(key)
            && !worker.is_changed
        {
            worker.is_changed = true;
            self.changed.push(key);
        }
    }

    /// Updates the queue and the sets for the workers that may have changed.
    pub(crate) fn refresh_changed(&mut self) {
        for key in std::mem::take(&mut self.changed) {
            let Some(worker) = self.slots.get_mut(key) else {
                continue;
            };
            worker.is_changed = false;
            self.workers_refreshed += 1;
            let due_ms = worker.next_due_ms();
            let (orders, with_unrecorded_exits) = (
                worker.has_orders,
                worker.handled_exit > worker.recorded_exit,
            );
            let in_doubt = worker.is_in_doubt();
            let ending = worker.activity() == Activity::Ending;
            let eligible = worker.untimed_exclusion().is_none();
            self.schedule(key, due_ms);
            set_membership(&mut self.with_orders, key, orders);
            set_membership(&mut self.with_unrecorded_exits, key, with_unrecorded_exits);
            set_membership(&mut self.in_doubt, key, in_doubt);
            set_membership(&mut self.ending, key, ending);
            set_membership(&mut self.eligible, key, eligible);
        }
    }

    fn schedule(&mut self, key: WorkerKey, due_ms: Option<u64>) {
        let worker = &mut self.slots[key];
        let previous_ms = std::mem::replace(&mut worker.queued_due_ms, due_ms);
        if previous_ms == due_ms {
            return;
        }
        if let Some(previous_ms) = previous_ms {
            self.due_queue.remove(&(previous_ms, key));
        }
        if let Some(due_ms) = due_ms {
            self.due_queue.insert((due_ms, key));
        }
    }

    /// Lists the workers that are due. Each is due again in the next turn, unless its time has
    /// changed.
    pub(crate) fn due(&mut self, now_ms: u64) -> Vec<WorkerKey> {
        self.refresh_changed();
        let mut due = Vec::new();
        for (due_ms, key) in &self.due_queue {
            if *due_ms > now_ms {
                break;
            }
            due.push(*key);
        }
        self.workers_refreshed += due.len() as u64;
        due
    }

    /// Returns the number of times that a worker was refreshed.
    pub(crate) fn workers_refreshed(&self) -> u64 {
        self.workers_refreshed
    }

    /// Lists the workers to which orders may be due.
    pub(crate) fn with_orders(&mut self) -> Vec<WorkerKey> {
        self.refresh_changed();
        self.with_orders.iter().copied().collect()
    }

    /// Lists the workers whose newest exits are not recorded.
    pub(crate) fn with_unrecorded_exits(&mut self) -> Vec<WorkerKey> {
        self.refresh_changed();
        self.with_unrecorded_exits.iter().copied().collect()
    }

    /// Lists the workers that might get new tasks, as of the last refresh.
    pub(crate) fn eligible(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        let count = self.eligible.len() as u64;
        self.evaluated.set(self.evaluated.get() + count);
        self.eligible.iter().map(|key| (*key, &self.slots[*key]))
    }

    /// Returns the number of times that a worker was evaluated for a task.
    pub(crate) fn evaluated(&self) -> u64 {
        self.evaluated.get()
    }

    /// Returns the number of workers that run something which may end at any time.
    pub(crate) fn ending(&self) -> usize {
        self.ending.len()
    }

    /// Lists the workers on which something may run that the owner can't see.
    pub(crate) fn in_doubt(&mut self) -> Vec<WorkerKey> {
        self.refresh_changed();
        self.in_doubt.iter().copied().collect()
    }
}

fn set_membership(set: &mut BTreeSet<WorkerKey>, key: WorkerKey, is_member: bool) {
    match is_member {
        true => set.insert(key),
        false => set.remove(&key),
    };
}

impl Index<WorkerKey> for Workers {
    type Output = Worker;

    fn index(&self, key: WorkerKey) -> &Worker {
        &self.slots[key]
    }
}

impl IndexMut<WorkerKey> for Workers {
    fn index_mut(&mut self, key: WorkerKey) -> &mut Worker {
        self.mark_changed(key);
        &mut self.slots[key]
    }
}

impl<'a> IntoIterator for &'a Workers {
    type Item = (WorkerKey, &'a Worker);
    type IntoIter = slotmap::basic::Iter<'a, WorkerKey, Worker>;

    fn into_iter(self) -> Self::IntoIter {
        self.slots.iter()
    }
}
