//! Messages between entry hosts.

use crate::ids::Cell;
use crate::ids::Member;
use crate::ids::Seat;
use crate::jobs::JobState;
use crate::macros::plain;
use crate::node::Handover;
use crate::placement::AttemptId;
use crate::placement::TaskEnd;
use crate::placement::TaskOrder;
use crate::record::JobSpec;
use crate::record::Outcome;
use crate::record::Record;
use crate::slots::GrantOutcome;

plain! {
    /// What the owner of an identity tells the entry host that asked.
    #[derive(Copy)]
    pub enum IntentVerdict {
        /// The intent stands in the log: run it, once.
        Proceed,
        /// A request with this identity is under way or its fate is not known.
        Pending,
        /// A request with this identity has ended.
        Ended {
            /// How.
            outcome: Outcome,
            /// HTTP status that its caller got.
            status: u16,
        },
        /// The identity was used for a different request.
        Conflict,
        /// The intent can't be recorded now.
        Refused {
            /// When asking again makes sense.
            retry_after_ms: u64,
        },
    }

    /// What a submission is told.
    #[derive(Copy)]
    pub enum JobVerdict {
        /// It is accepted, or was before, and stands here.
        Accepted(JobState),
        /// It can't be accepted now.
        Refused {
            /// When submitting again makes sense.
            retry_after_ms: u64,
        },
    }

    /// What an entry host with a free slot, or none, answers.
    pub enum GrantVerdict {
        /// A slot is held.
        Granted {
            /// Names the grant.
            grant: u64,
            /// Address of the instance.
            address: Box<str>,
            /// How long the request had waited at the owner.
            waited_ms: u64,
        },
        /// The request waits; a slot will be granted or refused.
        Queued,
        /// No slot comes free in time.
        Refused {
            /// When asking again makes sense.
            retry_after_ms: u64,
        },
    }

    /// A message from one entry host to another.
    #[expect(missing_docs, reason = "The comment of each variant covers its fields.")]
    pub enum Message {
        /// A member lives and asks a voter for a promise to a life, its own or one
        /// that it carries.
        Heartbeat { member: Member, sent_ms: u64, config_version: u64, is_leaving: bool },
        /// A voter's answer: whether it promises, and a digest of who lives.
        LeaseVote { member: Member, sent_ms: u64, is_granted: bool, config_version: u64, alive: u64 },
        /// Asks a voter who lives, since the digest is not known.
        AliveRequest,
        /// Who lives, and at which seats lives are carried on, with the digest.
        Alive { digest: u64, members: Box<[Member]>, inherited: Box<[(Member, Seat)]> },
        /// Asks where claims and configuration stand.
        StateRequest,
        /// Tells, as records that carry state forward.
        State { claims: Record, config: Record },
        /// The sender has stopped acting; the receiver is to carry its life on.
        Handover(Handover),
        /// Asks a voter to consent to deposing a member.
        ConsentRequest { target: Member, asked_ms: u64 },
        /// A voter consents.
        Consent { target: Member, asked_ms: u64 },
        /// The sender does not own the cell, or may not act for it now.
        NotOwner { cell: Cell, request: u64 },
        /// Asks for a slot; an attempt must begin within the given time.
        GrantRequest { cell: Cell, request: u64, begin_in_ms: u64 },
        /// Answers; `free` is a hint for the next request.
        GrantResponse { cell: Cell, request: u64, verdict: GrantVerdict, free: u32 },
        /// The request no longer wants a slot.
        GrantCancel { cell: Cell, request: u64 },
        /// An attempt under a grant has ended; the slot goes on to `next` if given.
        Release { cell: Cell, grant: u64, request: u64, ended: GrantOutcome, next: Option<u64> },
        /// Asks to record the intent of a non-idempotent request.
        IntentRequest { cell: Cell, request: u64, identity: u128, fingerprint: u64 },
        /// Answers.
        IntentResponse { request: u64, verdict: IntentVerdict },
        /// Such a request has ended. Whoever was not told to go speaks only for its
        /// own request.
        IntentOutcome {
            cell: Cell,
            request: u64,
            identity: u128,
            was_admitted: bool,
            outcome: Outcome,
            status: u16,
        },
        /// Submits a job.
        JobRequest { cell: Cell, request: u64, spec: JobSpec },
        /// Answers.
        JobResponse { request: u64, verdict: JobVerdict },
        /// Asks for room for an attempt of a job.
        Reserve { home: Cell, cell: Cell, order: TaskOrder, is_urgent: bool },
        /// Answers; `free_millicores` is a hint.
        Reserved { home: Cell, cell: Cell, attempt: AttemptId, is_held: bool, free_millicores: u32 },
        /// Gives room back.
        Unreserve { cell: Cell, attempt: AttemptId },
        /// Orders an attempt to start. A repeated order may have been carried out
        /// before, by an owner of the cell whom the present one knows nothing of.
        Start { home: Cell, cell: Cell, order: TaskOrder, is_urgent: bool, is_repeat: bool },
        /// An attempt runs (`end` is `None`) or has ended.
        TaskUpdate { home: Cell, cell: Cell, attempt: AttemptId, end: Option<TaskEnd> },
        /// The end of an attempt stands in the log.
        TaskUpdateRecorded { cell: Cell, attempt: AttemptId },
    }
}
