//! Records that the product keeps in the platform's log.

use crate::ids::Cell;
use crate::ids::Member;
use crate::ids::Term;
use crate::macros::key;
use crate::macros::plain;
use goldcrestway_inventory::Change;

key! {
    /// How a request ended, as a caller is told.
    pub enum Outcome {
        /// It ran and the whole answer was passed on.
        Answered,
        /// It truly did not run.
        NotRun,
        /// It may have run; whether it did can't be told.
        Unknown,
    }

    /// How a job ended.
    pub enum JobEnd {
        /// It finished.
        Finished,
        /// It failed by itself.
        Failed,
        /// It may have run and must not run twice.
        Unknown,
        /// An operator took it back before it started.
        Cancelled,
    }
}

key! {
    /// What speaks against a job. It is kept in the log, as whoever owns the job next must go on
    /// counting.
    #[derive(Default)]
    pub struct FailureCounts {
        /// Runs that failed by themselves.
        pub failures: u32,
        /// Workers that restarted under it.
        pub crashes: u32,
    }
}

plain! {
    /// One submitted job as it is kept.
    pub struct JobSpec {
        /// Team and identity, such as `night/roster-17`; unique for good.
        pub id: Box<str>,
        /// Name of the job in the inventory.
        pub job: Box<str>,
        /// Team that is charged.
        pub team: Box<str>,
    }

    /// One configuration change.
    pub struct ConfigChange {
        /// Version on which it was made.
        pub base: u64,
        /// Identity given by the operator's tool, for asking again.
        pub id: Box<str>,
        /// Who made it.
        pub author: Box<str>,
        /// The sections that differ.
        pub changes: Box<[Change]>,
    }

    /// One record.
    #[expect(missing_docs, reason = "The comment of each variant covers its fields.")]
    pub enum Record {
        /// A majority of voters saw the target's lease lapse; its cells are free.
        Depose { target: Member, voters: Box<[Member]> },
        /// A member asks for cells that are free.
        Claim { member: Member, cells: Box<[Cell]> },
        /// An owner gives up cells, to an heir if one is named.
        Release { member: Member, cells: Box<[Cell]>, successor: Option<Member> },
        /// The table of claims as of a position, in place of all records before.
        ClaimsSnapshot { as_of: u64, owners: Box<[(Cell, Member, Term)]>, deposed: Box<[Member]> },
        /// A change of configuration; takes effect if its base is current.
        Config(ConfigChange),
        /// The configuration as of a position, in place of all records before.
        ConfigSnapshot { as_of: u64, version: u64, changes: Box<[Change]> },
        /// A new owner starts to write; records of lower terms after it are void.
        Open { member: Member },
        /// A non-idempotent request is about to run.
        Intent { identity: u128, fingerprint: u64 },
        /// How such a request ended; `NotRun` frees its identity again.
        IntentEnded { identity: u128, outcome: Outcome, status: u16 },
        /// A job was accepted.
        Accepted(JobSpec),
        /// A job is about to start in a cell of workers.
        Assigned { id: Box<str>, attempt: u32, cell: Cell },
        /// An attempt has stopped for good; the job resumes from the checkpoint.
        Evicted { id: Box<str>, attempt: u32, checkpoint: u64, failure_counts: FailureCounts },
        /// A job has ended.
        Ended { id: Box<str>, attempt: u32, end: JobEnd },
        /// The state that follows in the same batch replaces all before.
        Snapshot,
    }

    /// What one append holds.
    pub struct Batch {
        /// Term of the writer's ownership; 0 in streams with many writers.
        pub term: Term,
        /// Number of the batch within its term. A batch whose acknowledgement was
        /// lost is appended again under the same number and counts once.
        pub sequence: u64,
        /// The records.
        pub records: Box<[Record]>,
    }
}

/// Tells which batches of a stream count.
///
/// Two things go wrong without it. An owner that lost its cell while an append
/// was under way still writes after its successor began: its term is lower. A
/// batch is appended twice because the first acknowledgement was lost: its
/// sequence was seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BatchFilter {
    /// Highest term seen.
    pub term: Term,
    /// Highest sequence seen within that term.
    pub sequence: u64,
}

impl BatchFilter {
    /// Notes `batch`; tells whether it counts.
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
