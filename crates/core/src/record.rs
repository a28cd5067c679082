//! Records in the platform's log.

use crate::ids::Cell;
use crate::ids::Member;
use crate::ids::Term;
use crate::macros::key;
use crate::macros::plain;
use goldcrestway_inventory::Change;

key! {
    /// Outcome of a request, as reported to its caller.
    pub enum Outcome {
        /// The request ran and the complete answer was passed on.
        Answered,
        /// The request certainly did not run.
        NotRun,
        /// The request may have run; whether it did can't be known.
        Unknown,
    }

    /// Outcome of a job.
    pub enum JobEnd {
        /// The job finished.
        Finished,
        /// The job failed by itself.
        Failed,
        /// The job may have run and must not run twice.
        Unknown,
        /// An operator cancelled the job before it started.
        Cancelled,
    }
}

key! {
    /// Failures and crashes of a job so far. They are recorded in the log, because
    /// the next owner must continue the count.
    #[derive(Default)]
    pub struct FailureCounts {
        /// Runs that failed by themselves.
        pub failures: u32,
        /// Workers that restarted while the job ran on them.
        pub crashes: u32,
    }
}

plain! {
    /// A submitted job.
    pub struct JobSpec {
        /// Team and identity, such as `night/roster-17`; unique for good.
        pub id: Box<str>,
        /// Name of the job in the inventory.
        pub job: Box<str>,
        /// Team whose quota is charged.
        pub team: Box<str>,
    }

    /// One configuration change.
    pub struct ConfigChange {
        /// Version that the change is based on.
        pub base: u64,
        /// Identity given by the operator's tool, by which it can ask for the outcome
        /// again.
        pub id: Box<str>,
        /// Author of the change.
        pub author: Box<str>,
        /// The sections that the change replaces.
        pub changes: Box<[Change]>,
    }

    /// A record in a stream of the log.
    #[expect(missing_docs, reason = "The comment of each variant covers its fields.")]
    pub enum Record {
        /// A majority of voters has confirmed that the target's lease has expired;
        /// its cells are free.
        Depose { target: Member, voters: Box<[Member]> },
        /// A member claims cells that are free.
        Claim { member: Member, cells: Box<[Cell]> },
        /// An owner releases cells, to a successor if one is named.
        Release { member: Member, cells: Box<[Cell]>, successor: Option<Member> },
        /// Snapshot of the table of claims up to a position; it replaces all records
        /// before.
        ClaimsSnapshot { as_of: u64, owners: Box<[(Cell, Member, Term)]>, deposed: Box<[Member]> },
        /// A change of configuration; it takes effect if its base is the current
        /// version.
        Config(ConfigChange),
        /// Snapshot of the configuration up to a position; it replaces all records
        /// before.
        ConfigSnapshot { as_of: u64, version: u64, changes: Box<[Change]> },
        /// A new owner starts to write. Records of lower terms after this one are
        /// void.
        Open { member: Member },
        /// A non-idempotent request is about to run.
        Intent { identity: u128, fingerprint: u64 },
        /// Outcome of such a request; `NotRun` frees its identity again.
        IntentEnded { identity: u128, outcome: Outcome, status: u16 },
        /// A job was accepted.
        Accepted(JobSpec),
        /// A job is about to start in a cell of workers.
        Assigned { id: Box<str>, attempt: u32, cell: Cell },
        /// An attempt has stopped for good; the job will resume from the checkpoint.
        Evicted { id: Box<str>, attempt: u32, checkpoint: u64, failure_counts: FailureCounts },
        /// A job has ended.
        Ended { id: Box<str>, attempt: u32, end: JobEnd },
        /// The records that follow in the same batch are a snapshot and replace all
        /// before.
        Snapshot,
    }

    /// Records that are appended together.
    pub struct Batch {
        /// Term of the writer's ownership; 0 in streams with several writers.
        pub term: Term,
        /// Number of the batch within its term. A batch whose acknowledgement was
        /// lost is appended again under the same number and counts once.
        pub sequence: u64,
        /// The records.
        pub records: Box<[Record]>,
    }
}

/// Decides which batches of a stream take effect.
///
/// The filter guards against two faults. An owner that lost its cell while an append
/// was in flight still writes after its successor began: its term is lower. A batch
/// is appended twice because the first acknowledgement was lost: its sequence was
/// seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BatchFilter {
    /// Highest term seen.
    pub term: Term,
    /// Highest sequence seen within that term.
    pub sequence: u64,
}

impl BatchFilter {
    /// Records `batch` as seen; returns whether it takes effect.
    pub fn admit(&mut self, batch: &Batch) -> bool {
        let seen = (self.term, self.sequence);
        if (batch.term, batch.sequence) <= seen {
            return false;
        }
        self.term = batch.term;
        self.sequence = batch.sequence;
        true
    }
}
