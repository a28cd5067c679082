//! Records of the streams of jobs, progress and states, encoded by `prost`.
//!
//! The store keeps the newest record of each key and may drop older ones at any time, so a record
//! contains the whole state of the object that its key names.

use crate::config::Resources;
use crate::ids::JobId;
use prost::Message;

/// Key of the record that names the owner, in the streams of progress and states. It sorts after
/// the keys of all jobs, so that it can be read without them.
pub(crate) const OWNER_KEY: &str = "~owner";
/// The keys of all jobs sort before this one.
pub(crate) const AFTER_JOBS: &str = "~";
/// Key of the owner's learned data, in the stream of progress.
pub(crate) const LEARNED_KEY: &str = "learned";

/// A step of a job: tasks of one kind.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Step {
    /// Number of its tasks.
    #[prost(uint32, tag = "1")]
    pub count: u32,
    /// Processor time of a task in thousandths of a core.
    #[prost(uint64, tag = "2")]
    pub cpu_milli: u64,
    /// Memory of a task.
    #[prost(uint64, tag = "3")]
    pub memory_mb: u64,
    /// Accelerators of a task.
    #[prost(uint64, tag = "4")]
    pub accelerators: u64,
    /// Rough estimate of a task's duration.
    #[prost(uint64, tag = "5")]
    pub estimated_ms: u64,
    /// Earlier steps that must be complete first.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// Tasks write checkpoints.
    #[prost(bool, tag = "7")]
    pub writes_checkpoints: bool,
    /// Tasks form a gang: they run only together.
    #[prost(bool, tag = "8")]
    pub is_gang: bool,
    /// Tasks run more slowly when they are spread over several racks.
    #[prost(bool, tag = "9")]
    pub is_rack_sensitive: bool,
    /// Label that a worker must have; empty for none.
    #[prost(string, tag = "10")]
    pub label: String,
    /// Rack that holds the data; empty for none.
    #[prost(string, tag = "11")]
    pub data_rack: String,
    /// Maximum number of tasks of one occurrence on one worker; 0 for any number.
    #[prost(uint32, tag = "12")]
    pub max_per_worker: u32,
    /// A second copy of a task may run at the same time.
    #[prost(bool, tag = "13")]
    pub is_speculative: bool,
    /// Tasks are long-running: they run until the job is cancelled and restart when they exit.
    #[prost(bool, tag = "14")]
    pub is_long_running: bool,
    /// Image that the tasks run. Tasks of one image behave alike.
    #[prost(string, tag = "15")]
    pub image: String,
    /// Target for the tail latency of a latency-critical task; 0 for none.
    #[prost(uint64, tag = "16")]
    pub tail_latency_target_ms: u64,
    /// Tasks are best-effort: they use processor time that others leave unused, and reserve none.
    #[prost(bool, tag = "17")]
    pub is_best_effort: bool,
    /// Maximum number of tasks that the scheduler itself may make unavailable at the same time.
    #[prost(uint32, tag = "18")]
    pub max_unavailable: u32,
}

impl Step {
    /// Returns the resources that a task requests, even if it reserves no processor time.
    pub(crate) fn requested(&self) -> Resources {
        Resources {
            cpu_milli: self.cpu_milli,
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
        }
    }

    /// Returns the resources that a task reserves on a worker.
    pub fn resources(&self) -> Resources {
        Resources {
            cpu_milli: if self.is_best_effort {
                0
            } else {
                self.cpu_milli
            },
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
        }
    }
}

/// A job as submitted.
#[derive(Clone, PartialEq, Eq, Message)]
pub struct Submission {
    /// Name of its queue.
    #[prost(string, tag = "1")]
    pub queue: String,
    /// Service whose workers run its tasks, as of its acceptance.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Priority as of its acceptance.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Failed runs of a task after which the job fails, as of its acceptance.
    #[prost(uint32, tag = "4")]
    pub max_attempts: u32,
    /// Text that workers get with each task.
    #[prost(string, tag = "5")]
    pub specification: String,
    /// Its steps.
    #[prost(message, repeated, tag = "6")]
    pub steps: Vec<Step>,
    /// Number of scheduled occurrences; 0 for a single one that is due at once.
    #[prost(uint32, tag = "7")]
    pub repetitions: u32,
    /// When the first repetition is due, in milliseconds since 1970.
    #[prost(uint64, tag = "8")]
    pub first_due_wall_ms: u64,
    /// Time between repetitions.
    #[prost(uint64, tag = "9")]
    pub interval_ms: u64,
    /// When it was accepted, in milliseconds since 1970.
    #[prost(uint64, tag = "10")]
    pub accepted_wall_ms: u64,
    /// Time that it may take as a multiple of its longest chain of steps, in thousandths, as of its
    /// acceptance.
    #[prost(uint64, tag = "11")]
    pub stretch_permille: u64,
    /// Time allowed in addition, as of its acceptance.
    #[prost(uint64, tag = "12")]
    pub target_latency_ms: u64,
    /// Time that a request for permits takes, as of its acceptance.
    #[prost(uint64, tag = "13")]
    pub permit_decision_ms: u64,
    /// Additional time for each worker named in the request, as of its acceptance.
    #[prost(uint64, tag = "14")]
    pub permit_worker_us: u64,
    /// Time for which a permit is valid; 0 if its tasks may start on any worker.
    #[prost(uint64, tag = "15")]
    pub permit_validity_ms: u64,
    /// Host whose clock shows when it was accepted; empty if a former release has recorded it.
    #[prost(string, tag = "16")]
    pub accepted_by: String,
}

impl Submission {
    /// Returns whether some of its tasks run until the job is cancelled.
    pub(crate) fn is_long_running(&self) -> bool {
        self.steps.iter().any(|step| step.is_long_running)
    }

    /// Returns the number of tasks of one occurrence.
    pub(crate) fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }
}

/// Recorded phase of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum TaskPhase {
    /// It has no run.
    Waiting = 0,
    /// A run of it may be present at its worker.
    Assigned = 1,
    /// A run of it has succeeded.
    Done = 2,
}

/// Recorded progress of a task.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct TaskProgress {
    #[prost(enumeration = "TaskPhase", tag = "1")]
    pub(crate) phase: i32,
    /// Number of its latest run; 0 before the first.
    #[prost(uint32, tag = "2")]
    pub(crate) run: u32,
    /// Runs that have failed.
    #[prost(uint32, tag = "3")]
    pub(crate) failures: u32,
    /// Worker of the latest run.
    #[prost(string, tag = "4")]
    pub(crate) worker: String,
    /// Checkpoint to resume from.
    #[prost(string, tag = "5")]
    pub(crate) checkpoint: String,
    /// Number of the run of its copy.
    #[prost(uint32, tag = "6")]
    pub(crate) copy_run: u32,
    /// Worker of the copy; empty for none.
    #[prost(string, tag = "7")]
    pub(crate) copy_worker: String,
    /// Worker crashes during its runs.
    #[prost(uint32, tag = "8")]
    pub(crate) crashes: u32,
    /// Crashes that it may have caused, during runs that the workers had confirmed, since a run of
    /// it was last stable.
    #[prost(uint32, tag = "9")]
    pub(crate) confirmed: u32,
    /// Starts since the number of crashes reached the limit at which starts are counted.
    #[prost(uint32, tag = "13")]
    pub(crate) suspect_starts: u32,
    /// Newest run for which a crash was counted.
    #[prost(uint32, tag = "10")]
    pub(crate) crashed_run: u32,
    /// Address of the worker that it is suspected to have crashed last.
    #[prost(string, tag = "11")]
    pub(crate) crashed_address: String,
    /// Runs lost with removed workers that may or may not have crashed.
    #[prost(message, repeated, tag = "12")]
    pub(crate) lost_runs: Vec<LostRunRecord>,
    /// Crashes that another task has been blamed for.
    #[prost(uint32, tag = "14")]
    pub(crate) explained_crashes: u32,
    /// Workers that had announced to leave and went with a run that was not stable.
    #[prost(uint32, tag = "15")]
    pub(crate) departures: u32,
    /// Greatest CPU share, in percent, that its run gets beside latency-critical tasks; 0 if it may
    /// have its full share.
    #[prost(uint32, tag = "16")]
    pub(crate) max_share_percent: u32,
    /// Those of the confirmed crashes for which no other task may have been the cause.
    #[prost(uint32, tag = "17")]
    pub(crate) sole_crashes: u32,
    /// When its worker first confirmed the latest run; only for long-running tasks.
    #[prost(message, optional, tag = "18")]
    pub(crate) working_since: Option<OwnerTime>,
    /// The latest run has worked for a while; only for long-running tasks.
    #[prost(bool, tag = "19")]
    pub(crate) is_stable: bool,
    /// Since when its next run waits until it can be apart from other suspects, if it does.
    #[prost(message, optional, tag = "20")]
    pub(crate) isolation_since: Option<OwnerTime>,
}

/// A run that was lost with its worker.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct LostRunRecord {
    #[prost(string, tag = "1")]
    pub(crate) worker: String,
    #[prost(string, tag = "2")]
    pub(crate) address: String,
    #[prost(uint32, tag = "3")]
    pub(crate) run: u32,
    /// The run may be the cause if the worker has crashed.
    #[prost(bool, tag = "4")]
    pub(crate) is_suspect: bool,
    /// No other run there may be the cause.
    #[prost(bool, tag = "5")]
    pub(crate) is_sole_suspect: bool,
    /// The worker has confirmed that the run was there.
    #[prost(bool, tag = "6")]
    pub(crate) is_confirmed: bool,
    /// When that worker had started, by its clock.
    #[prost(uint64, optional, tag = "7")]
    pub(crate) started_wall_ms: Option<u64>,
}

/// Recorded progress of a step. It is empty until a task of it has started.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct StepProgress {
    /// All tasks are done; the list is then empty.
    #[prost(bool, tag = "1")]
    pub(crate) is_done: bool,
    #[prost(message, repeated, tag = "2")]
    pub(crate) tasks: Vec<TaskProgress>,
    /// Newest run of a gang that was counted as failed. Other members of it may still be listed.
    #[prost(uint32, tag = "3")]
    pub(crate) failed_run: u32,
}

/// Recorded progress of an occurrence.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct OccurrenceProgress {
    #[prost(uint32, tag = "1")]
    pub(crate) number: u32,
    #[prost(message, repeated, tag = "2")]
    pub(crate) steps: Vec<StepProgress>,
}

/// Recorded phase of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum JobPhase {
    /// No task has started.
    Queued = 0,
    /// A task has started.
    Running = 1,
    /// All tasks have succeeded.
    Completed = 2,
    /// A task has used up its attempts.
    Failed = 3,
    /// Its caller has cancelled it, and none of its tasks runs.
    Cancelled = 4,
}

impl JobPhase {
    /// Returns the stage of a job, which never decreases.
    pub(crate) fn stage(self) -> u8 {
        match self {
            JobPhase::Queued => 0,
            JobPhase::Running => 1,
            JobPhase::Completed | JobPhase::Failed | JobPhase::Cancelled => 2,
        }
    }

    /// Returns whether the phase can no longer change.
    pub(crate) fn is_final(self) -> bool {
        matches!(
            self,
            JobPhase::Completed | JobPhase::Failed | JobPhase::Cancelled
        )
    }
}

/// The progress of one job.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct Progress {
    #[prost(enumeration = "JobPhase", tag = "1")]
    pub(crate) phase: i32,
    /// Open occurrences.
    #[prost(message, repeated, tag = "2")]
    pub(crate) occurrences: Vec<OccurrenceProgress>,
    /// Number of the next occurrence.
    #[prost(uint32, tag = "3")]
    pub(crate) next_occurrence: u32,
    /// When it became final, in milliseconds since 1970.
    #[prost(uint64, tag = "4")]
    pub(crate) final_wall_ms: u64,
}

impl Progress {
    /// Shortens a record that would be too large: leaves out checkpoints, so that some work is done
    /// again, and lost runs whose cause is not known yet.
    pub(crate) fn shorten(&mut self) {
        for occurrence in &mut self.occurrences {
            for task in occurrence.steps.iter_mut().flat_map(|step| &mut step.tasks) {
                task.checkpoint.clear();
                task.lost_runs.clear();
                task.crashed_address.clear();
            }
        }
    }
}

/// Learned data that an owner hands to the next one: how best-effort images interfere with
/// latency-critical tasks, which workers are silent, and what each queue has held.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Learned {
    #[prost(message, repeated, tag = "1")]
    pub(crate) images: Vec<LearnedImage>,
    /// Workers that do not answer and whose leases are not extended.
    #[prost(message, repeated, tag = "2")]
    pub(crate) silent: Vec<SilentWorker>,
    #[prost(message, repeated, tag = "3")]
    pub(crate) run_times: Vec<LearnedRunTimes>,
    /// Usage of queues that compete.
    #[prost(message, repeated, tag = "4")]
    pub(crate) queues: Vec<LearnedQueue>,
    /// When this was written; `None` if a former release has written it.
    #[prost(message, optional, tag = "5")]
    pub(crate) written: Option<OwnerTime>,
}

impl Learned {
    /// Shortens a record that would be larger than `max_bytes`. Images and queues are named by
    /// callers, who may name a great many. What is learned again soonest is left out first.
    pub(crate) fn shorten(&mut self, max_bytes: u64) {
        let clears: [fn(&mut Self); 3] = [
            |learned| learned.run_times.clear(),
            |learned| learned.queues.clear(),
            |learned| learned.images.clear(),
        ];
        for clear in clears {
            if self.encoded_len() as u64 <= max_bytes {
                return;
            }
            clear(self);
        }
    }
}

/// Durations learned for one class of tasks of a queue.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct LearnedRunTimes {
    #[prost(string, tag = "1")]
    pub(crate) queue: String,
    /// Index of the class.
    #[prost(uint32, tag = "2")]
    pub(crate) class: u32,
    /// Ratio of the mean duration of the tasks of a step to their estimate.
    #[prost(message, repeated, tag = "3")]
    pub(crate) steps: Vec<LearnedRatio>,
    /// Ratio of the duration of a task to the mean of its step.
    #[prost(message, repeated, tag = "4")]
    pub(crate) tasks: Vec<LearnedRatio>,
}

/// One bucket of the histogram of a ratio.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct LearnedRatio {
    #[prost(uint64, tag = "1")]
    pub(crate) permille: u64,
    #[prost(uint32, tag = "2")]
    pub(crate) samples: u32,
}

/// What jobs of one kind of a queue have held of late.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct LearnedQueue {
    #[prost(string, tag = "1")]
    pub(crate) queue: String,
    #[prost(bool, tag = "2")]
    pub(crate) is_long_running: bool,
    #[prost(bool, tag = "3")]
    pub(crate) is_best_effort: bool,
    /// Part of the service's resources, in millionths.
    #[prost(uint32, tag = "4")]
    pub(crate) usage_ppm: u32,
}

/// A time that an owner has recorded, counted from its claim, as hosts share no clock.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct OwnerTime {
    /// Token of the owner.
    #[prost(uint64, tag = "1")]
    pub(crate) token: u64,
    /// Time from sending its claim.
    #[prost(uint64, tag = "2")]
    pub(crate) claim_age_ms: u64,
}

/// A worker that does not answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct SilentWorker {
    #[prost(string, tag = "1")]
    pub(crate) worker: String,
    /// Time from the writing of this record until all leases there have expired.
    #[prost(uint64, tag = "2")]
    pub(crate) remaining_ms: u64,
}

/// Interference learned for the image of a latency-critical task.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LearnedImage {
    #[prost(string, tag = "1")]
    pub(crate) image: String,
    /// Headroom with no best-effort task on the same worker.
    #[prost(double, tag = "2")]
    pub(crate) solo_headroom: f64,
    #[prost(message, repeated, tag = "3")]
    pub(crate) coefficients: Vec<LearnedCoefficient>,
}

/// Interference coefficient learned for a pair of images.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LearnedCoefficient {
    #[prost(string, tag = "1")]
    pub(crate) best_effort_image: String,
    /// Headroom lost per core that the best-effort image uses.
    #[prost(double, tag = "2")]
    pub(crate) coefficient: f64,
}

/// The published state of a job.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct StateRecord {
    #[prost(enumeration = "JobPhase", tag = "1")]
    pub(crate) phase: i32,
    /// When it became final, in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub(crate) final_wall_ms: u64,
}

/// The owner's record: who owns the progress of all jobs.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct OwnerRecord {
    /// Token of its orders, and epoch of its appends.
    #[prost(uint64, tag = "1")]
    pub(crate) token: u64,
    /// Name of its host.
    #[prost(string, tag = "2")]
    pub(crate) host: String,
    /// It is shutting down; another host should claim ownership.
    #[prost(bool, tag = "3")]
    pub(crate) is_leaving: bool,
    /// Number of the heartbeat.
    #[prost(uint64, tag = "4")]
    pub(crate) heartbeat: u64,
    /// It keeps connections to the other hosts and answers their queries, so that they need not
    /// read all jobs.
    #[prost(bool, tag = "5")]
    pub(crate) informs_hosts: bool,
    /// CPU share of the strongest hosts; `strong_hosts` is the number of hosts about as strong.
    #[prost(uint64, tag = "6")]
    pub(crate) strongest_permille: u64,
    #[prost(uint64, tag = "7")]
    pub(crate) strong_hosts: u64,
    /// Time from sending its claim to writing this; 0 if a former release has written it.
    #[prost(uint64, tag = "8")]
    pub(crate) claim_age_ms: u64,
}

impl OwnerRecord {
    /// Returns the key and the value to append.
    pub(crate) fn row(&self) -> (Box<str>, Box<[u8]>) {
        (Key::Owner.text(), self.encode_to_vec().into())
    }
}

/// The announcement of an entry host.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct HostRecord {
    /// Its share of a core, in thousandths.
    #[prost(uint64, tag = "1")]
    pub(crate) cpu_permille: u64,
    /// Address at which it relays an owner's orders; empty if it does not.
    #[prost(string, tag = "2")]
    pub(crate) relay_address: String,
}

/// A parsed key of the streams of jobs, progress and states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Key {
    /// A job as submitted.
    Submitted(JobId),
    /// The cancellation of a job.
    Cancelled(JobId),
    /// The progress of a job.
    Progress(JobId),
    /// The state of a job.
    State(JobId),
    /// The owner.
    Owner,
    /// The owner's learned data.
    Learned,
    /// An entry host.
    Host(Box<str>),
    /// The last entry of a worker that the owner has read.
    Worker(Box<str>),
}

impl Key {
    pub(crate) fn parse(text: &str) -> Option<Self> {
        if text == OWNER_KEY {
            return Some(Key::Owner);
        }
        if text == LEARNED_KEY {
            return Some(Key::Learned);
        }
        let (kind, id) = text.split_at_checked(1)?;
        match kind {
            "h" => return Some(Key::Host(id.into())),
            "w" => return Some(Key::Worker(id.into())),
            _ => {}
        }
        let id = JobId::parse(id)?;
        match kind {
            "j" => Some(Key::Submitted(id)),
            "c" => Some(Key::Cancelled(id)),
            "s" => Some(Key::Progress(id)),
            "p" => Some(Key::State(id)),
            _ => None,
        }
    }

    pub(crate) fn text(&self) -> Box<str> {
        match self {
            Key::Submitted(id) => format!("j{id}").into(),
            Key::Cancelled(id) => format!("c{id}").into(),
            Key::Progress(id) => format!("s{id}").into(),
            Key::State(id) => format!("p{id}").into(),
            Key::Owner => OWNER_KEY.into(),
            Key::Learned => LEARNED_KEY.into(),
            Key::Host(name) => format!("h{name}").into(),
            Key::Worker(id) => format!("w{id}").into(),
        }
    }
}
