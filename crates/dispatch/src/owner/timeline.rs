//! Accounts for the time of each job by phases.
//!
//! This module makes no decisions. Others call it when the phase of a task changes, and read
//! nothing from here that they decide by. A step takes as long as the task that ends last, so the
//! times of each task under way are kept until its end, and those of the last task count. The steps
//! that determine a job's duration are found at its end, from the last step backwards.
//!
//! An owner that takes over knows from the records what is done and what runs, but not since when:
//! the time until then counts as [`Phase::Inherited`].

use crate::ids::JobId;
use crate::ids::TaskId;
use crate::job_times::CriticalTask;
use crate::job_times::JobEnd;
use crate::job_times::JobTimes;
use crate::job_times::Phase;
use crate::job_times::PhaseTimes;
use crate::owner::track::Hold;
use crate::owner::track::HoldTimes;
use crate::owner::track::Track;
use crate::record::Submission;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;

/// Maximum number of tasks under way whose times are kept, at about 150 bytes each. The time of any
/// further task counts as [`Phase::Untracked`].
const MAX_TRACKS: usize = 32_768;

/// Times of a step.
#[derive(Debug, Default)]
struct StepTimeline {
    /// Number of its tasks that are done.
    done: u32,
    /// Number of its tasks that have had a run.
    begun: u32,
    /// Number of tasks with a track that wait.
    waiting_again: u32,
    ended_ms: Option<u64>,
    /// Times of its tasks that have not had a run; `None` until the step is open.
    waiting: Option<Box<Track>>,
    /// Times of its other tasks that are not done.
    tracks: BTreeMap<u16, Track>,
    /// The task that ended last.
    critical: Option<Box<CriticalTask>>,
}

/// Times of a job.
#[derive(Debug)]
struct JobTimeline {
    submission: Rc<Submission>,
    /// Time from its acceptance until this owner has read it.
    before: PhaseTimes,
    begun_ms: u64,
    steps: Vec<StepTimeline>,
    /// Step and number of the task whose phase changed last.
    latest: (usize, u16),
    /// Its run that ended last without success, if any did, and the worker of that run.
    latest_broken: (u32, Box<str>),
    finished: Option<Finished>,
}

/// A job whose final state is being stored and published.
#[derive(Debug)]
struct Finished {
    end: JobEnd,
    due_ms: u64,
    publishing: Track,
    chain: Vec<CriticalTask>,
}

impl JobTimeline {
    /// Returns the number of tasks of a step that end separately.
    fn count(&self, step: usize) -> u32 {
        match &self.submission.steps[step] {
            step if step.is_gang => 1,
            step => step.count,
        }
    }

    /// Returns when a step could begin, and the step before it that ended last. Returns `None` if a
    /// step before it has not ended.
    fn opening(&self, step: usize) -> Option<(u64, Option<usize>)> {
        let mut latest = (self.begun_ms, None);
        for predecessor in &self.submission.steps[step].after {
            let predecessor = *predecessor as usize;
            let ended_ms = self.steps.get(predecessor)?.ended_ms?;
            if ended_ms > latest.0 {
                latest = (ended_ms, Some(predecessor));
            }
        }
        Some(latest)
    }

    /// Opens the steps whose predecessors have all ended.
    fn open_steps(&mut self, now_ms: u64, holds: &HoldTimes) {
        for step in 0..self.steps.len() {
            let state = &self.steps[step];
            let may_wait = state.ended_ms.is_none() && state.begun < self.count(step);
            if may_wait && state.waiting.is_none() && self.opening(step).is_some() {
                let track = Track::new(Phase::NextStep, now_ms, holds);
                self.steps[step].waiting = Some(Box::new(track));
            }
        }
    }

    /// Returns the tasks that determined its duration until now, the last one first.
    fn chain(&self, now_ms: u64, holds: &HoldTimes) -> Vec<CriticalTask> {
        let mut chain = Vec::new();
        let mut next = self.last_step();
        while let Some(step) = next {
            chain.extend(self.critical(step, now_ms, holds));
            next = self.opening(step).and_then(|(_, predecessor)| predecessor);
        }
        chain
    }

    /// Returns the step that ended last, or the one whose task stopped the job.
    fn last_step(&self) -> Option<usize> {
        let ends = self.steps.iter().map(|step| step.ended_ms);
        let last = ends.enumerate().max_by_key(|(_, ended_ms)| *ended_ms);
        if self.steps.iter().all(|step| step.ended_ms.is_some()) {
            return last.map(|(step, _)| step);
        }
        let is_open = |step: usize| {
            let state = &self.steps[step];
            state.ended_ms.is_none() && self.opening(step).is_some()
        };
        let latest = Some(self.latest.0).filter(|step| is_open(*step));
        latest.or_else(|| (0..self.steps.len()).find(|step| is_open(*step)))
    }

    fn critical(&self, step: usize, now_ms: u64, holds: &HoldTimes) -> Option<CriticalTask> {
        let state = &self.steps[step];
        if state.ended_ms.is_some() {
            return state.critical.as_deref().cloned();
        }
        let index = match self.latest.0 == step {
            true => self.latest.1,
            false => 0,
        };
        let track = state.tracks.get(&index).or(state.waiting.as_deref());
        let mut track = track.or_else(|| state.tracks.values().next()).copied()?;
        track.spend(track.phase, now_ms, holds);
        Some(CriticalTask {
            step: step as u16,
            index,
            run: self.latest_broken.0,
            worker: self.latest_broken.1.clone(),
            estimated_ms: self.submission.steps[step].estimated_ms,
            times: track.times,
        })
    }
}

/// Times of all jobs of the owner that run once and end by themselves.
#[derive(Debug, Default)]
pub(super) struct Timeline {
    jobs: HashMap<JobId, JobTimeline>,
    tracks: usize,
    holds: HoldTimes,
    /// Time for which the answer that is being handled has been on its way.
    pub(super) exit_delay_ms: u64,
    /// Jobs whose final states are in the append in flight.
    in_append: Vec<JobId>,
}

impl Timeline {
    /// Begins the account of a job. `age` is the phase that the time since its acceptance counts as,
    /// and that time in milliseconds. `progress` gives for each step the number of its tasks that are
    /// done, and the numbers of those that run.
    pub(super) fn begin(
        &mut self,
        job: JobId,
        submission: Rc<Submission>,
        age: (Phase, u64),
        progress: Vec<(u32, Vec<u16>)>,
        now_ms: u64,
    ) {
        let mut before = PhaseTimes::default();
        before.add(age.0, age.1);
        let mut timeline = JobTimeline {
            steps: Vec::new(),
            submission,
            before,
            begun_ms: now_ms,
            latest: (0, 0),
            latest_broken: (0, "".into()),
            finished: None,
        };
        for (step, (done, _)) in progress.iter().enumerate() {
            let count = timeline.count(step);
            timeline.steps.push(StepTimeline {
                done: (*done).min(count),
                begun: (*done).min(count),
                ended_ms: (*done >= count).then_some(now_ms),
                ..StepTimeline::default()
            });
        }
        timeline.open_steps(now_ms, &self.holds);
        self.jobs.insert(job, timeline);
        for (step, (_, running)) in progress.iter().enumerate() {
            for index in running {
                let task = TaskId {
                    job,
                    occurrence: 0,
                    step: step as u16,
                    index: *index,
                };
                self.enter(task, Phase::Run, now_ms);
            }
        }
    }

    /// Returns whether there is an account of a job.
    pub(super) fn contains(&self, job: JobId) -> bool {
        self.jobs.contains_key(&job)
    }

    /// Records that a task is in another phase from now on. Before its first run a task shares the
    /// phase of its step. A gang counts as one task.
    pub(super) fn enter(&mut self, task: TaskId, phase: Phase, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let number = usize::from(task.step);
        let Some(step) = job.steps.get_mut(number) else {
            return;
        };
        let is_gang = job.submission.steps[number].is_gang;
        let index = if is_gang { 0 } else { task.index };
        job.latest = (number, index);
        if let Some(track) = step.tracks.get_mut(&index) {
            let was_waiting = track.phase.is_waiting();
            // A copy beside a run does not change what the task does.
            let is_copy = !was_waiting && phase < track.phase && !phase.is_waiting();
            if is_copy || was_waiting && phase == Phase::WaitPause {
                return;
            }
            track.enter(phase, now_ms, &self.holds);
            step.waiting_again += u32::from(phase.is_waiting());
            step.waiting_again -= u32::from(was_waiting);
            return;
        }
        if phase.is_waiting() || self.tracks >= MAX_TRACKS || step.ended_ms.is_some() {
            return;
        }
        let waiting = step.waiting.as_deref().copied();
        let mut track = waiting.unwrap_or_else(|| Track::new(phase, now_ms, &self.holds));
        track.enter(phase, now_ms, &self.holds);
        step.tracks.insert(index, track);
        step.begun += 1;
        self.tracks += 1;
        if step.begun >= job.count(number) {
            job.steps[number].waiting = None;
        }
    }

    /// Ends a run of a task that has not succeeded, so that the task waits again.
    pub(super) fn end_run(&mut self, task: TaskId, run: u32, worker: &str, now_ms: u64) {
        self.enter(task, Phase::WaitPause, now_ms);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.latest_broken = (run, worker.into());
        }
    }

    /// Records why the waiting tasks of a step wait.
    pub(super) fn enter_waiting(&mut self, first: TaskId, phase: Phase, now_ms: u64) {
        let job = self.jobs.get_mut(&first.job);
        let Some(step) = job.and_then(|job| job.steps.get_mut(usize::from(first.step))) else {
            return;
        };
        if let Some(track) = &mut step.waiting {
            track.enter(phase, now_ms, &self.holds);
        }
        if step.waiting_again == 0 {
            return;
        }
        for track in step.tracks.values_mut() {
            if track.phase.is_waiting() {
                track.enter(phase, now_ms, &self.holds);
            }
        }
    }

    /// Ends a task that has succeeded.
    pub(super) fn end_task(&mut self, task: TaskId, run: u32, worker: &str, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let number = usize::from(task.step);
        if job
            .steps
            .get(number)
            .is_none_or(|step| step.ended_ms.is_some())
        {
            return;
        }
        let count = job.count(number);
        let is_gang = job.submission.steps[number].is_gang;
        let index = if is_gang { 0 } else { task.index };
        let step = &mut job.steps[number];
        let track = step.tracks.remove(&index);
        self.tracks -= usize::from(track.is_some());
        step.begun += u32::from(track.is_none());
        step.waiting_again -= u32::from(track.is_some_and(|track| track.phase.is_waiting()));
        step.done += 1;
        if step.done < count {
            return;
        }
        let times = match (track, step.waiting.take()) {
            (Some(track), _) => track.end(now_ms, self.exit_delay_ms, &self.holds),
            (None, Some(mut waiting)) => {
                waiting.spend(Phase::Untracked, now_ms, &self.holds);
                waiting.times
            }
            (None, None) => PhaseTimes::default(),
        };
        step.ended_ms = Some(now_ms);
        step.critical = Some(Box::new(CriticalTask {
            step: task.step,
            index,
            run,
            worker: worker.into(),
            estimated_ms: job.submission.steps[number].estimated_ms,
            times,
        }));
        job.open_steps(now_ms, &self.holds);
    }

    /// Ends a job whose final state is not published yet.
    pub(super) fn finish(&mut self, id: JobId, end: JobEnd, due_ms: u64, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let chain = job.chain(now_ms, &self.holds);
        for step in &mut job.steps {
            self.tracks -= step.tracks.len();
            step.tracks.clear();
        }
        job.finished = Some(Finished {
            end,
            due_ms,
            publishing: Track::new(Phase::Publishing, now_ms, &self.holds),
            chain,
        });
    }

    /// Records that the append that begins now publishes the final state of a job.
    pub(super) fn begin_publishing(&mut self, id: JobId) {
        if self.jobs.contains_key(&id) {
            self.in_append.push(id);
        }
    }

    /// Returns the accounts of the jobs whose final states were in the append that is now stored.
    pub(super) fn take_published(&mut self, now_ms: u64) -> Vec<JobTimes> {
        let mut published = Vec::new();
        for id in std::mem::take(&mut self.in_append) {
            let Some(job) = self.jobs.remove(&id) else {
                continue;
            };
            let Some(mut finished) = job.finished else {
                continue;
            };
            let mut times = job.before;
            for task in &finished.chain {
                times.add_all(&task.times);
            }
            finished
                .publishing
                .spend(Phase::Publishing, now_ms, &self.holds);
            times.add_all(&finished.publishing.times);
            published.push(JobTimes {
                job: id,
                queue: job.submission.queue.as_str().into(),
                priority: job.submission.priority,
                end: finished.end,
                late_ms: now_ms as i64 - finished.due_ms as i64,
                times,
                chain: finished.chain,
            });
        }
        published
    }

    /// Begins or ends a hold.
    pub(super) fn set_hold(&mut self, hold: Hold, since_ms: Option<u64>, now_ms: u64) {
        self.holds[hold as usize].set(since_ms, now_ms);
    }
}
