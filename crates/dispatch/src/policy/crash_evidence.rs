//! Which of several suspects has crashed a worker, as shown by what happens to the others later.
//!
//! **Load pattern:** several tasks that crash each worker that starts them, beside others that do
//! nothing wrong, on workers that are few or full. Hardly any suspect is ever alone on its worker.
//!
//! **Without it** a crash says as much against each task that had just begun there, for good. Tasks
//! that crash workers are only given up after so many crashes that chance does not explain them,
//! and take other tasks along with each one. It shows as `TaskSuspected` with `alone=false`, three
//! times and more for one task, and as jobs that fail beside such tasks and have one more crash
//! each time.
//!
//! A task that crashes workers crashes each one. Therefore a run that works for a while, or ends
//! well, shows that its task was not the cause of the crashes before, and leaves fewer suspects for
//! each of them. In the same way, a task that is blamed explains the crashes of which it was a
//! suspect. Tasks of one job need not be told apart, as the job fails as a whole.
//!
//! **Limits:** a task is blamed for crashes of two hosts for which no other suspect is left, or for
//! three of the same host, which may be the cause itself. These are the limits for a task that was
//! alone each time ([`super::suspicion`]). Only certain crashes count, of confirmed runs, and none
//! that coincided with unexplained crashes of other workers. A crash whose suspects never run again
//! says nothing more, so only the newest crashes are kept. They are not recorded: after a change of
//! owner the counts of each task remain.

use crate::ids::JobId;
use crate::ids::TaskId;
use std::collections::VecDeque;

/// Crashes of different hosts, and of the same host, for which no other suspect may be left when a
/// task is blamed.
const MAX_SOLE_CRASHES: usize = 2;
const MAX_SOLE_CRASHES_SAME_HOST: usize = 3;
/// Number of lost workers that are kept, so that memory is bounded.
const MAX_LOSSES: usize = 256;

/// A run that may have crashed its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Suspect {
    /// Its task, or the first member of its gang.
    pub task: TaskId,
    /// The worker had confirmed the run.
    pub is_confirmed: bool,
}

/// A lost worker.
#[derive(Debug, Clone)]
pub struct Loss {
    /// Id of the worker.
    pub worker: Box<str>,
    /// Its address.
    pub address: Box<str>,
    /// The runs that may have crashed it. Runs of members of a gang count as one.
    pub suspects: Vec<Suspect>,
    /// It has certainly crashed.
    pub is_crash: bool,
    /// A task that was a suspect has been blamed for other crashes.
    pub is_explained: bool,
}

impl Loss {
    /// Returns whether only this task, or others of its job, may have crashed the worker.
    pub fn is_sole_suspect(&self, task: TaskId) -> bool {
        let mut others = self.suspects.iter();
        others.all(|suspect| suspect.task.job == task.job)
    }

    fn is_suspect(&self, task: TaskId) -> bool {
        self.suspects.iter().any(|suspect| suspect.task == task)
    }
}

/// Lost workers whose crash may still be attributed to one of their tasks, oldest first.
#[derive(Debug, Default)]
pub struct CrashEvidence {
    losses: VecDeque<Loss>,
}

impl CrashEvidence {
    /// Adds a lost worker.
    pub fn add(&mut self, loss: Loss) {
        if loss.suspects.is_empty() {
            return;
        }
        if self.losses.len() == MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(loss);
    }

    /// Removes and returns a worker whose fate has become known.
    pub fn take(&mut self, worker: &str) -> Option<Loss> {
        let mut losses = self.losses.iter();
        let position = losses.position(|loss| !loss.is_crash && *loss.worker == *worker)?;
        self.losses.remove(position)
    }

    /// Records that a run of a task has worked for a while or ended well. Returns the tasks that
    /// nothing but themselves now explains the crashes of.
    pub fn clear(&mut self, task: TaskId) -> Vec<TaskId> {
        let mut remaining = Vec::new();
        for loss in &mut self.losses {
            if !loss.is_suspect(task) {
                continue;
            }
            loss.suspects.retain(|suspect| suspect.task != task);
            remaining.extend(loss.suspects.iter().map(|suspect| suspect.task));
        }
        self.losses.retain(|loss| !loss.suspects.is_empty());
        remaining.sort_unstable();
        remaining.dedup();
        remaining.retain(|task| self.is_to_blame(*task));
        remaining
    }

    /// Records that a job is blamed for crashes. Returns the other tasks that were suspected of
    /// these, once for each crash.
    pub fn blame(&mut self, job: JobId) -> Vec<TaskId> {
        let mut cleared = Vec::new();
        for loss in &mut self.losses {
            let mut suspects = loss.suspects.iter();
            if !suspects.any(|suspect| suspect.task.job == job) {
                continue;
            }
            loss.is_explained = true;
            if !loss.is_crash {
                continue;
            }
            let confirmed = loss.suspects.iter().filter(|suspect| suspect.is_confirmed);
            cleared.extend(confirmed.map(|suspect| suspect.task));
        }
        self.losses
            .retain(|loss| !loss.is_explained || !loss.is_crash);
        cleared.retain(|task| task.job != job);
        cleared
    }

    /// Returns whether a task, or its job, is the only suspect of so many crashes that nothing else
    /// explains them.
    fn is_to_blame(&self, task: TaskId) -> bool {
        let mut addresses = Vec::new();
        for loss in &self.losses {
            let mut suspects = loss.suspects.iter();
            let is_confirmed = suspects.any(|it| it.task == task && it.is_confirmed);
            if loss.is_crash && is_confirmed && loss.is_sole_suspect(task) {
                addresses.push(&loss.address);
            }
        }
        let is_one_host = addresses.windows(2).all(|pair| pair[0] == pair[1]);
        let max_crashes = match is_one_host {
            true => MAX_SOLE_CRASHES_SAME_HOST,
            false => MAX_SOLE_CRASHES,
        };
        addresses.len() >= max_crashes
    }
}
