//! Which task starts next, and where.

use crate::event::Action;
use crate::event::Now;
use crate::ids::StepId;
use crate::ids::TaskId;
use crate::owner::Owner;
use crate::owner::job::JobKey;
use crate::owner::job::Placed;
use crate::owner::pacing::Patience;
use crate::owner::worker::RunPhase;
use crate::owner::worker::Worker;
use crate::owner::worker::WorkerKey;
use crate::policy::images::ImageKey;
use crate::policy::interference::Use;
use crate::policy::link::Rank;
use crate::policy::ordering::Urgency;
use crate::record::JobPhase;
use crate::record::Step;
use goldcrestway_core::Code;
use goldcrestway_core::Note;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Tasks placed in one go; what is left follows with the next event, so that looks and
/// stops are not held up by a burst.
const PLACED_MOST: usize = 400;
/// Part of its room that a lasting task uses, in percent. Workers leave the rest to
/// fillers; measured on calm days as 42.
const LASTING_USE_PERCENT: u64 = 50;
/// Ease that fillers must leave to a serving task: at 1 it misses its target, and its own
/// load takes a third at its peak.
const EASE_LEAST: f64 = 1.9;
/// Pressure on a serving task that fillers may add up to.
const PRESSURE_MOST: f64 = 0.40;
/// Cost, in thousandths of a core, of taking one whole of a serving task's ease.
const PRESSURE_COST: f64 = 40_000.0;
/// Pressure that matters to a task that is over its target already.
const PRESSURE_SLIGHT: f64 = 0.01;
/// Pressure that is no matter.
const PRESSURE_LEAST: f64 = 0.04;
/// Gain of a worker that serves the same image already: a filler that gets on with one
/// gets on with all of them.
const SAME_IMAGE_GAIN: i64 = 14_000;
/// Part of a service's room, in percent, that lasting tasks which never ran may fill up to.
/// A lasting task earns a quarter of what quick ones earn in the same room, and never
/// gives it back.
const LASTING_MOST_PERCENT: u64 = 85;
/// Cost, in thousandths of a core, of a worker far from a task's data.
const FAR_COST: i64 = 1_000_000;
/// Cost of a worker whose last run failed.
const SUSPECT_COST: i64 = 20_000;
/// Cost of a worker that is still warming up.
const COLD_COST: i64 = 50_000;
/// Cost of a worker on which something else may be the cause of a crash; more than all else.
const BLURRED_COST: i64 = 1_000_000_000;
/// Cost of each thousandth of a core whose work is lost in a crash; more than that of a worker far
/// from a task's data, as others would pay for it.
const AT_STAKE_COST: i64 = 1_000;

/// What a step asks of the worker for one of its tasks.
#[derive(Clone)]
pub(crate) struct Wanted<'a> {
    pub(crate) step: &'a Step,
    pub(crate) service: &'a str,
    pub(crate) image: ImageKey,
    /// The first task of the step.
    pub(crate) task: TaskId,
    /// Only permitted workers count.
    pub(crate) needs_permits: bool,
    /// Where the task is suspected to have crashed a worker; `None` if it is not suspected.
    pub(crate) suspected_at: Option<Box<str>>,
    /// It waits for a worker on which nothing else is suspected.
    pub(crate) is_patient: bool,
}

/// What one go at placing has come to.
struct Pass {
    /// Tasks that may still be placed.
    left: usize,
    /// Fillers for which no worker was left: service, image and processor time.
    hopeless: Vec<(Box<str>, ImageKey, u64)>,
}

impl Pass {
    /// Tells whether a filler like this one, or a smaller one, has found no worker.
    fn is_hopeless(&self, wanted: &Wanted<'_>) -> bool {
        wanted.step.is_filler
            && self.hopeless.iter().any(|(service, image, cpu_milli)| {
                **service == *wanted.service
                    && *image == wanted.image
                    && *cpu_milli <= wanted.step.cpu_milli
            })
    }

    fn note_hopeless(&mut self, wanted: &Wanted<'_>) {
        let step = wanted.step;
        let is_plain = step.label.is_empty() && step.per_worker_most == 0 && !wanted.needs_permits;
        if step.is_filler && is_plain {
            let entry = (wanted.service.into(), wanted.image, step.cpu_milli);
            self.hopeless.push(entry);
        }
    }
}

impl Owner {
    /// Places waiting tasks, the most urgent first.
    pub(crate) fn place(&mut self, now: Now, actions: &mut Vec<Action>) {
        if !self.link.admits(Rank::Start) {
            self.must_place = true;
            return;
        }
        let mut order = Vec::new();
        for key in &self.live {
            let job = &self.jobs[*key];
            if job.has_waiting {
                order.push((
                    Urgency::new(&job.waiting(now), &self.bounds.policy, now.steady_ms),
                    *key,
                ));
            }
        }
        order.sort_unstable();
        let mut pass = Pass {
            left: PLACED_MOST,
            hopeless: Vec::new(),
        };
        for (_, key) in order {
            self.place_job(key, now, &mut pass, actions);
            if pass.left == 0 {
                self.must_place = true;
                return;
            }
        }
    }

    fn place_job(&mut self, key: JobKey, now: Now, pass: &mut Pass, actions: &mut Vec<Action>) {
        let submission = self.jobs[key].submission.clone();
        let mut still_waits = false;
        for at in 0..self.jobs[key].occurrences.len() {
            for (number, step) in submission.steps.iter().enumerate() {
                let occurrence = &self.jobs[key].occurrences[at];
                if occurrence.steps[number].waiting == 0 || !occurrence.is_open(step) {
                    continue;
                }
                let first = TaskId {
                    job: self.jobs[key].id,
                    occurrence: occurrence.number,
                    step: number as u16,
                    index: 0,
                };
                let waits = self.place_step(key, first, step, now, pass, actions);
                if waits && submission.needs_permits() {
                    self.permits.wish(StepId::of(first));
                }
                still_waits |= waits;
            }
        }
        self.jobs[key].has_waiting = still_waits;
    }

    /// Places the waiting tasks of a step, and tells whether some still wait.
    fn place_step(
        &mut self,
        key: JobKey,
        first: TaskId,
        step: &Step,
        now: Now,
        pass: &mut Pass,
        actions: &mut Vec<Action>,
    ) -> bool {
        let submission = self.jobs[key].submission.clone();
        let wanted = Wanted {
            step,
            service: &submission.service,
            image: self.images.key(&step.image),
            task: first,
            needs_permits: submission.needs_permits(),
            suspected_at: match step.is_gang {
                true => self.suspected_at(first),
                false => None,
            },
            is_patient: false,
        };
        if step.is_gang {
            return self.place_gang(key, &wanted, now, actions);
        }
        if pass.is_hopeless(&wanted) {
            return true;
        }
        // The tasks of a step are alike: workers are ranked once, and only the one that
        // has just got a task is priced again.
        let mut ranked = self.rank(&wanted, now.steady_ms);
        let (room_milli, mut lasting_milli) = self.lasting_use(&submission.service, step);
        for index in 0..step.count as u16 {
            let id = TaskId { index, ..first };
            let Some(task) = self.jobs[key].task_mut(id) else {
                return false;
            };
            if !task.is_waiting() {
                continue;
            }
            if task.not_before_ms > now.steady_ms {
                self.wake_ms = self.wake_ms.min(task.not_before_ms);
                continue;
            }
            let failed_on = task.failed_on;
            if task.suspicion.is_used_up() {
                self.give_up(key, id, now, actions);
                return false;
            }
            if let Some(until_ms) = task.settles_ms(now.steady_ms) {
                self.wake_ms = self.wake_ms.min(until_ms);
                continue;
            }
            let is_suspect = task.is_suspect();
            let is_new = step.is_lasting && task.run == 0;
            if is_new && lasting_milli * 100 >= room_milli * LASTING_MOST_PERCENT {
                return true;
            }
            let worker = match is_suspect {
                true => self.find_for_suspect(key, &wanted, id, now.steady_ms),
                false => Self::take_best(&mut ranked, failed_on),
            };
            let Some(worker) = worker else {
                if is_suspect {
                    // Its siblings may find one.
                    continue;
                }
                pass.note_hopeless(&wanted);
                return true;
            };
            self.assign(key, id, worker, now, actions);
            lasting_milli += step.cpu_milli;
            if is_suspect {
                ranked = self.rank(&wanted, now.steady_ms);
            } else if let Some(cost) = self.price(&self.workers[worker], &wanted, now.steady_ms) {
                ranked.push(Reverse((cost, worker)));
            }
            pass.left = match self.link.admits(Rank::Start) {
                true => pass.left.saturating_sub(1),
                false => 0,
            };
            if pass.left == 0 {
                return true;
            }
        }
        self.jobs[key]
            .step_mut(first)
            .is_some_and(|state| state.waiting > 0)
    }

    /// Gives the room of a service and what lasting tasks keep of it, which matters to
    /// lasting steps only.
    fn lasting_use(&self, service: &str, step: &Step) -> (u64, u64) {
        let mut room = 0;
        let mut lasting = 0;
        if !step.is_lasting {
            return (room, lasting);
        }
        for worker in self.workers.values() {
            if worker.is_listed && *worker.entry.service == *service {
                room += worker.entry.room.cpu_milli;
                lasting += worker.lasting_milli;
            }
        }
        (room, lasting)
    }

    /// Lists the workers that can take a task of a step, the least cost first.
    pub(crate) fn rank(
        &self,
        wanted: &Wanted<'_>,
        now_ms: u64,
    ) -> BinaryHeap<Reverse<(i64, WorkerKey)>> {
        let mut ranked = BinaryHeap::new();
        let step = StepId::of(wanted.task);
        for (key, worker) in &self.workers {
            if wanted.needs_permits && self.permits.permit(step, key, now_ms).is_none() {
                continue;
            }
            if let Some(cost) = self.price(worker, wanted, now_ms) {
                ranked.push(Reverse((cost, key)));
            }
        }
        ranked
    }

    /// Gives the cost of a task on a worker; `None` if it can't go there.
    fn price(&self, worker: &Worker, wanted: &Wanted<'_>, now_ms: u64) -> Option<i64> {
        if !worker.is_open(now_ms) || !fits(worker, wanted) {
            return None;
        }
        let disturbance = self.disturbance(worker, wanted, now_ms)?;
        Some(cost(worker, wanted)? + disturbance + risk(worker, wanted)?)
    }

    /// Finds the worker on which a task does least harm if it crashes it, and where a crash tells
    /// most. While there are only such on which something else is suspected it waits, for a while.
    fn find_for_suspect(
        &mut self,
        key: JobKey,
        wanted: &Wanted<'_>,
        id: TaskId,
        now_ms: u64,
    ) -> Option<WorkerKey> {
        let is_patient = self.task(id)?.may_wait_alone(now_ms);
        let mut probe = Wanted {
            suspected_at: self.suspected_at(id),
            is_patient,
            ..wanted.clone()
        };
        if let Some(Reverse((_, worker))) = self.rank(&probe, now_ms).pop() {
            return Some(worker);
        }
        probe.is_patient = false;
        if is_patient && !self.rank(&probe, now_ms).is_empty() {
            let until_ms = self.jobs[key].task_mut(id)?.wait_alone(now_ms);
            self.wake_ms = self.wake_ms.min(until_ms);
        }
        None
    }

    /// Takes the best worker for a task off the list; one on which it has failed before
    /// only if there is no other.
    fn take_best(
        ranked: &mut BinaryHeap<Reverse<(i64, WorkerKey)>>,
        failed_on: Option<WorkerKey>,
    ) -> Option<WorkerKey> {
        let Reverse(first) = ranked.pop()?;
        if failed_on != Some(first.1) {
            return Some(first.1);
        }
        match ranked.pop() {
            Some(Reverse((_, second))) => {
                ranked.push(Reverse(first));
                Some(second)
            }
            None => Some(first.1),
        }
    }

    /// Starts a copy of a task that runs already, if a worker has room for it.
    pub(crate) fn place_copy(
        &mut self,
        key: JobKey,
        id: TaskId,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let submission = self.jobs[key].submission.clone();
        let Some(step) = submission.steps.get(usize::from(id.step)) else {
            return;
        };
        let wanted = Wanted {
            step,
            service: &submission.service,
            image: self.images.key(&step.image),
            task: id,
            needs_permits: submission.needs_permits(),
            suspected_at: self.suspected_at(id),
            is_patient: false,
        };
        let failed_on = self.jobs[key].task_mut(id).and_then(|task| task.failed_on);
        let mut ranked = self.rank(&wanted, now.steady_ms);
        if let Some(worker) = Self::take_best(&mut ranked, failed_on)
            && Some(worker) != failed_on
        {
            self.assign(key, id, worker, now, actions);
        }
    }

    /// Gives the cost of what a task would do to those that serve on a worker, or what
    /// fillers there would do to it; `None` if that is too much.
    fn disturbance(&self, worker: &Worker, wanted: &Wanted<'_>, now_ms: u64) -> Option<i64> {
        let step = wanted.step;
        if step.is_filler {
            let own = (wanted.image, step.cpu_milli as f64 / 1_000.0);
            return self.pressure_cost(worker, own, now_ms);
        }
        if step.tail_target_ms == 0 {
            return Some(0);
        }
        let pressure = self.interference.pressure(wanted.image, &demands(worker));
        let mut cost = (pressure * PRESSURE_COST) as i64;
        if !self.bounds.policy.keeps_images_together {
            return Some(cost);
        }
        for run in worker.runs.values() {
            if run.tail_target_ms > 0 {
                cost += if run.image == wanted.image {
                    -SAME_IMAGE_GAIN
                } else {
                    SAME_IMAGE_GAIN
                };
            }
        }
        Some(cost)
    }

    /// Gives the cost of a filler for those that serve on a worker; `None` if it would
    /// take more ease than a task there can spare.
    fn pressure_cost(&self, worker: &Worker, own: Use, now_ms: u64) -> Option<i64> {
        let mut others = None;
        let mut most: f64 = 0.0;
        for run in worker.runs.values() {
            if run.tail_target_ms == 0 {
                continue;
            }
            let pressure = self.interference.pressure(run.image, &[own]);
            // A task over its target gets no further filler that may be the cause, and none
            // at all when it has been so for long.
            if let Some(since_ms) = run.over_since_ms {
                let is_long = now_ms >= since_ms + Patience::new(self.bounds.harm_ms).suspects_ms;
                if is_long || pressure >= PRESSURE_SLIGHT {
                    return None;
                }
            }
            if pressure < PRESSURE_LEAST {
                continue;
            }
            let others = others.get_or_insert_with(|| demands(worker));
            let taken = pressure + self.interference.pressure(run.image, others);
            let is_tight = self.interference.alone(run.image) - taken < EASE_LEAST;
            if is_tight || taken > PRESSURE_MOST {
                return None;
            }
            most = most.max(taken);
        }
        Some((most * PRESSURE_COST) as i64)
    }

    pub(crate) fn assign(
        &mut self,
        key: JobKey,
        id: TaskId,
        worker: WorkerKey,
        now: Now,
        actions: &mut Vec<Action>,
    ) {
        let mut run = self.make_run(key, id, RunPhase::Recording, now.steady_ms);
        run.is_probe = self.suspected_at(id).is_some();
        self.note_start(key, id);
        let job = &mut self.jobs[key];
        job.is_dirty = true;
        if job.phase == JobPhase::Queued {
            job.phase = JobPhase::Running;
            actions.push(Action::Note(Note::new(
                Code::JobBegun,
                id.job.to_string(),
                format!("due_in_ms={}", job.due_ms as i64 - now.steady_ms as i64),
            )));
        }
        let Some(task) = job.task_mut(id) else {
            return;
        };
        task.run += 1;
        task.alone_until_ms = None;
        let number = task.run;
        let checkpoint_bytes = task.checkpoint.len();
        let placed = Some(Placed {
            run: number,
            worker,
        });
        match task.placed {
            None => task.placed = placed,
            Some(_) => task.copy = placed,
        }
        if let Some(step) = job.step_mut(id) {
            step.recount();
        }
        let text_bytes = checkpoint_bytes + job.specification.len();
        self.charge_start(text_bytes);
        self.workers[worker].add(id, number, run);
        self.writer.start_once_stored(worker, id, number);
    }
}

fn fits(worker: &Worker, wanted: &Wanted<'_>) -> bool {
    let step = wanted.step;
    if *worker.entry.service != *wanted.service || !worker.free().holds(step.room()) {
        return false;
    }
    if !step.label.is_empty()
        && !worker
            .entry
            .labels
            .iter()
            .any(|label| **label == *step.label)
    {
        return false;
    }
    if step.per_worker_most > 0 {
        let mut count = 0;
        for (other, _) in worker.runs.keys() {
            let is_same = other.job == wanted.task.job
                && other.occurrence == wanted.task.occurrence
                && other.step == wanted.task.step;
            count += u32::from(is_same);
        }
        return count < step.per_worker_most;
    }
    true
}

/// Gives the cost of putting a task beside others of which one may crash the worker; `None` if two
/// that are suspected would meet there, as a crash would tell nothing of either.
///
/// A task that is suspected goes where nothing else may be the cause of a crash, to another host
/// than the one that it may have crashed, and there where least is lost. All others keep away from
/// it until it has shown that it is sound. None is kept from its turn for long: it waits for two
/// seconds at most, and all else are costs.
fn risk(worker: &Worker, wanted: &Wanted<'_>) -> Option<i64> {
    let probes_cost = i64::from(worker.probes) * BLURRED_COST;
    let Some(suspected_at) = &wanted.suspected_at else {
        return Some(probes_cost);
    };
    if worker.probes > 0 && wanted.is_patient {
        return None;
    }
    let suspects = worker.runs.values().filter(|run| run.is_suspect()).count();
    let at_stake_milli = worker.used.cpu_milli + worker.filler_milli + worker.lasting_milli;
    let same_host_cost = match **suspected_at == *worker.entry.address {
        true => BLURRED_COST / 2,
        false => 0,
    };
    Some(suspects as i64 * BLURRED_COST + same_host_cost + at_stake_milli as i64 * AT_STAKE_COST)
}

/// Lists what the fillers on a worker would like to use.
fn demands(worker: &Worker) -> Vec<Use> {
    let mut demands = Vec::new();
    for run in worker.runs.values() {
        if run.is_filler {
            demands.push((run.image, run.cpu_milli as f64 / 1_000.0));
        }
    }
    demands
}

/// Gives the cost of putting a task on a worker; `None` if it would only slow down what
/// is there.
fn cost(worker: &Worker, wanted: &Wanted<'_>) -> Option<i64> {
    let step = wanted.step;
    let spare = spare_milli(worker);
    let mut cost = -spare;
    if !step.is_filler && !step.is_lasting {
        // The tightest fit leaves large holes whole.
        cost = worker.free().cpu_milli as i64;
    }
    if step.is_filler {
        // Fillers share what is unused: one too many slows all of them.
        if spare < step.cpu_milli as i64 && worker.filler_milli > 0 {
            return None;
        }
    }
    if worker.failures_in_row > 0 {
        cost += SUSPECT_COST;
    }
    if worker.entry.cold_ms > 0 {
        cost += COLD_COST;
    }
    if !step.data_rack.is_empty()
        && !worker
            .entry
            .labels
            .iter()
            .any(|label| **label == *step.data_rack)
    {
        cost += FAR_COST;
    }
    Some(cost)
}

/// Gives the processor time that is expected to be unused on a worker.
fn spare_milli(worker: &Worker) -> i64 {
    let unused_by_lasting = worker.lasting_milli * (100 - LASTING_USE_PERCENT) / 100;
    worker.entry.room.cpu_milli as i64 - worker.used.cpu_milli as i64 + unused_by_lasting as i64
        - worker.filler_milli as i64
}
