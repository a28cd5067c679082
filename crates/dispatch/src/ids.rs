//! Identifiers of jobs, steps and tasks.

use std::fmt;

/// A job, as named by its caller with 16 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

impl JobId {
    /// Parses 16 hexadecimal digits; `None` for anything else.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 16 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return None;
        }
        u64::from_str_radix(text, 16).ok().map(JobId)
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

/// One task of one occurrence of a step of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TaskId {
    /// Its job.
    pub job: JobId,
    /// Number of the occurrence, from 0; always 0 for a job that runs once.
    pub occurrence: u32,
    /// Number of the step, from 0.
    pub step: u16,
    /// Number of the task in its step, from 0.
    pub index: u16,
}

impl TaskId {
    /// Parses what [`fmt::Display`] writes.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('.');
        let id = Self {
            job: JobId::parse(parts.next()?)?,
            occurrence: parts.next()?.parse().ok()?,
            step: parts.next()?.parse().ok()?,
            index: parts.next()?.parse().ok()?,
        };
        parts.next().is_none().then_some(id)
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}.{}.{}.{}",
            self.job, self.occurrence, self.step, self.index
        )
    }
}

/// A step of one occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct StepId {
    /// Its job.
    pub job: JobId,
    /// Number of the occurrence; 0 for a job that runs once.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
}

impl StepId {
    /// Returns the step of a task.
    pub fn of(task: TaskId) -> Self {
        Self {
            job: task.job,
            occurrence: task.occurrence,
            step: task.step,
        }
    }

    /// Returns its first task.
    pub fn first_task(self) -> TaskId {
        TaskId {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index: 0,
        }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}
