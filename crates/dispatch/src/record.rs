//! What stands in the streams of jobs and progress, encoded by `prost`.
//!
//! The newest record of each key is kept for good, so a record holds the whole state
//! of what its key names, and history may be dropped at any time.

use crate::config::Resources;
use crate::ids::JobId;
use prost::Message;

/// Key of the record that names the owner, in the streams of progress and states. It comes behind
/// the keys of all jobs, so that it can be read without them.
pub(crate) const OWNER_KEY: &str = "~owner";
/// All keys of jobs come before this one.
pub(crate) const AFTER_JOBS: &str = "~";
/// Key of what the owner has learned, in the stream of progress.
pub(crate) const LEARNED_KEY: &str = "learned";

/// A step of a job: tasks that are alike.
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
    /// Earlier steps that must be done first.
    #[prost(uint32, repeated, tag = "6")]
    pub after: Vec<u32>,
    /// Tasks write checkpoints.
    #[prost(bool, tag = "7")]
    pub writes_checkpoints: bool,
    /// Tasks work only together.
    #[prost(bool, tag = "8")]
    pub is_gang: bool,
    /// Tasks are slowed when they run on several racks.
    #[prost(bool, tag = "9")]
    pub is_rack_sensitive: bool,
    /// Label that a worker must have; empty for none.
    #[prost(string, tag = "10")]
    pub label: String,
    /// Rack that holds the data; empty for none.
    #[prost(string, tag = "11")]
    pub data_rack: String,
    /// Tasks of one occurrence that may share a worker; 0 for any number.
    #[prost(uint32, tag = "12")]
    pub max_per_worker: u32,
    /// Copies of a task may run at once.
    #[prost(bool, tag = "13")]
    pub is_speculative: bool,
    /// Tasks serve until the job is cancelled and are restarted whenever they end.
    #[prost(bool, tag = "14")]
    pub is_long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[prost(string, tag = "15")]
    pub image: String,
    /// Tail latency that a serving task must stay below; 0 for none.
    #[prost(uint64, tag = "16")]
    pub tail_latency_target_ms: u64,
    /// Tasks take processor time that others leave unused, and no share of their own.
    #[prost(bool, tag = "17")]
    pub is_best_effort: bool,
    /// Tasks that may be away at once through acts of the system.
    #[prost(uint32, tag = "18")]
    pub max_unavailable: u32,
}

impl Step {
    /// Gives the room that a task takes on a worker.
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
    /// Service whose workers run it, as of its acceptance.
    #[prost(string, tag = "2")]
    pub service: String,
    /// Priority as of its acceptance.
    #[prost(uint32, tag = "3")]
    pub priority: u32,
    /// Runs of a task that may fail, as of its acceptance.
    #[prost(uint32, tag = "4")]
    pub max_attempts: u32,
    /// Text that workers get with each task.
    #[prost(string, tag = "5")]
    pub specification: String,
    /// Its steps.
    #[prost(message, repeated, tag = "6")]
    pub steps: Vec<Step>,
    /// How often it runs; 0 for once, at once.
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
    /// Allowed time as a multiple of its work, in thousandths, as of its acceptance.
    #[prost(uint64, tag = "11")]
    pub stretch_permille: u64,
    /// Time allowed on top, as of its acceptance.
    #[prost(uint64, tag = "12")]
    pub target_latency_ms: u64,
    /// Time that a call for permits takes, and more for each worker named; as of its
    /// acceptance.
    #[prost(uint64, tag = "13")]
    pub permit_decision_ms: u64,
    /// See above, in microseconds.
    #[prost(uint64, tag = "14")]
    pub permit_worker_us: u64,
    /// Time for which a permit holds; 0 if its tasks may start on any worker.
    #[prost(uint64, tag = "15")]
    pub permit_validity_ms: u64,
}

impl Submission {
    /// Gives how many tasks one occurrence has.
    pub(crate) fn tasks(&self) -> u64 {
        self.steps.iter().map(|step| u64::from(step.count)).sum()
    }
}

/// Where a task stands on record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum TaskPhase {
    /// It runs nowhere.
    Waiting = 0,
    /// Its run may be on its worker.
    Assigned = 1,
    /// A run of it has ended well.
    Done = 2,
}

/// One task on record.
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
    /// Run of a copy, and its worker.
    #[prost(uint32, tag = "6")]
    pub(crate) copy_run: u32,
    /// Worker of the copy; empty for none.
    #[prost(string, tag = "7")]
    pub(crate) copy_worker: String,
    /// Workers that have crashed under it.
    #[prost(uint32, tag = "8")]
    pub(crate) crashes: u32,
    /// Crashes that it may have caused, under runs that were there for certain, since a run of it
    /// was last sound.
    #[prost(uint32, tag = "9")]
    pub(crate) confirmed: u32,
    /// Starts since there were so many crashes that they are counted.
    #[prost(uint32, tag = "13")]
    pub(crate) suspect_starts: u32,
    /// Newest run of which a crash was counted.
    #[prost(uint32, tag = "10")]
    pub(crate) crashed_run: u32,
    /// Address of the worker that it was last suspected to have crashed.
    #[prost(string, tag = "11")]
    pub(crate) crashed_address: String,
    /// Runs that went with workers of which it is not known whether they have crashed.
    #[prost(message, repeated, tag = "12")]
    pub(crate) lost_runs: Vec<LostRunRecord>,
}

/// A run that went with its worker.
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
    /// Nothing else there may be.
    #[prost(bool, tag = "5")]
    pub(crate) is_sole_suspect: bool,
    /// The worker has answered that the run is there.
    #[prost(bool, tag = "6")]
    pub(crate) is_confirmed: bool,
    /// When the worker that it went with had started, by its clock.
    #[prost(uint64, optional, tag = "7")]
    pub(crate) started_wall_ms: Option<u64>,
}

/// One step on record. It is empty until a task of it has started.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct StepProgress {
    /// All tasks are done; the list is then empty.
    #[prost(bool, tag = "1")]
    pub(crate) is_done: bool,
    #[prost(message, repeated, tag = "2")]
    pub(crate) tasks: Vec<TaskProgress>,
}

/// One occurrence on record.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct OccurrenceProgress {
    #[prost(uint32, tag = "1")]
    pub(crate) number: u32,
    #[prost(message, repeated, tag = "2")]
    pub(crate) steps: Vec<StepProgress>,
}

/// Where a job stands on record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum JobPhase {
    /// No task has started.
    Queued = 0,
    /// A task has started.
    Running = 1,
    /// All tasks have ended well.
    Completed = 2,
    /// A task has failed too often.
    Failed = 3,
    /// Its caller has cancelled it, and nothing of it runs.
    Cancelled = 4,
}

impl JobPhase {
    /// Gives how far a job has come; it never goes back.
    pub(crate) fn stage(self) -> u8 {
        match self {
            JobPhase::Queued => 0,
            JobPhase::Running => 1,
            JobPhase::Completed | JobPhase::Failed | JobPhase::Cancelled => 2,
        }
    }

    /// Tells whether nothing will happen any more.
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
    /// Occurrences under way.
    #[prost(message, repeated, tag = "2")]
    pub(crate) occurrences: Vec<OccurrenceProgress>,
    /// Number of the occurrence that comes next.
    #[prost(uint32, tag = "3")]
    pub(crate) next_occurrence: u32,
    /// When it became final, in milliseconds since 1970.
    #[prost(uint64, tag = "4")]
    pub(crate) final_wall_ms: u64,
}

impl Progress {
    /// Leaves out what is not needed to go on, for a record that would be too large: checkpoints,
    /// of which some work is done again, and what is not known yet of lost workers.
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

/// What an owner has learned, for its successor: how fillers press served images, and
/// which workers are silent.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Learned {
    #[prost(message, repeated, tag = "1")]
    pub(crate) images: Vec<LearnedImage>,
    /// Workers that give no answer, and whose leases are not extended.
    #[prost(message, repeated, tag = "2")]
    pub(crate) silent: Vec<SilentWorker>,
}

/// A worker that gives no answer.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct SilentWorker {
    #[prost(string, tag = "1")]
    pub(crate) worker: String,
    /// Time after this record was written by which all that ran there has ended.
    #[prost(uint64, tag = "2")]
    pub(crate) remaining_ms: u64,
}

/// What was learned of one served image.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LearnedImage {
    #[prost(string, tag = "1")]
    pub(crate) image: String,
    /// Ease by itself.
    #[prost(double, tag = "2")]
    pub(crate) solo_headroom: f64,
    #[prost(message, repeated, tag = "3")]
    pub(crate) coefficients: Vec<LearnedCoefficient>,
}

/// What was learned of one pair.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LearnedCoefficient {
    #[prost(string, tag = "1")]
    pub(crate) best_effort_image: String,
    /// Ease taken by each core.
    #[prost(double, tag = "2")]
    pub(crate) coefficient: f64,
}

/// The state of a job as callers are told it.
#[derive(Clone, Copy, PartialEq, Eq, Message)]
pub(crate) struct StateRecord {
    #[prost(enumeration = "JobPhase", tag = "1")]
    pub(crate) phase: i32,
    /// When it became final, in milliseconds since 1970.
    #[prost(uint64, tag = "2")]
    pub(crate) final_wall_ms: u64,
}

/// Who owns the progress of all jobs.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct OwnerRecord {
    /// Token of its orders, and epoch of its appends.
    #[prost(uint64, tag = "1")]
    pub(crate) token: u64,
    /// Name of its host.
    #[prost(string, tag = "2")]
    pub(crate) host: String,
    /// It is about to stop; another host should claim.
    #[prost(bool, tag = "3")]
    pub(crate) is_leaving: bool,
    /// Counts its signs of life.
    #[prost(uint64, tag = "4")]
    pub(crate) heartbeat: u64,
    /// It keeps connections to the other hosts and answers what they ask, so that they need not
    /// read all jobs.
    #[prost(bool, tag = "5")]
    pub(crate) informs_hosts: bool,
    /// Processor time of the strongest hosts, and how many are about as strong.
    #[prost(uint64, tag = "6")]
    pub(crate) strongest_permille: u64,
    #[prost(uint64, tag = "7")]
    pub(crate) strong_hosts: u64,
}

impl OwnerRecord {
    /// Gives key and value as they are appended.
    pub(crate) fn row(&self) -> (Box<str>, Box<[u8]>) {
        (Key::Owner.text(), self.encode_to_vec().into())
    }
}

/// An entry host, as it announces itself.
#[derive(Clone, PartialEq, Eq, Message)]
pub(crate) struct HostRecord {
    /// Its share of a core, in thousandths.
    #[prost(uint64, tag = "1")]
    pub(crate) cpu_permille: u64,
    /// Where it takes orders of an owner, to relay them; empty if nowhere.
    #[prost(string, tag = "2")]
    pub(crate) relay_address: String,
}

/// What a key of the streams of jobs and progress names.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Key {
    /// A job as submitted.
    Submitted(JobId),
    /// That a job is cancelled.
    Cancelled(JobId),
    /// The progress of a job.
    Progress(JobId),
    /// The state of a job.
    State(JobId),
    /// The owner.
    Owner,
    /// What the owner has learned.
    Learned,
    /// An entry host.
    Host(Box<str>),
    /// A worker as the owner last saw it listed.
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
