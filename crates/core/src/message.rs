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
    /// Answer of an identity's owner to the entry host of a request.
    #[derive(Copy)]
    pub enum IntentVerdict {
        /// The intent is recorded in the log: the request may run once.
        Proceed,
        /// A request with this identity is in progress, or its outcome is unknown.
        Pending,
        /// A request with this identity has ended.
        Ended {
            /// Its outcome.
            outcome: Outcome,
            /// HTTP status that its caller received.
            status: u16,
        },
        /// The identity was used for a different request.
        Conflict,
        /// The intent can't be recorded now.
        Refused {
            /// Time after which it makes sense to ask again.
            retry_after_ms: u64,
        },
    }

    /// Answer to the submission of a job.
    #[derive(Copy)]
    pub enum JobVerdict {
        /// The job is accepted, now or by an earlier submission, and in this state.
        Accepted(JobState),
        /// The job can't be accepted now.
        Refused {
            /// Time after which it makes sense to submit again.
            retry_after_ms: u64,
        },
    }

    /// Answer of a cell's owner to a request for a slot.
    pub enum GrantVerdict {
        /// A slot is granted to the request.
        Granted {
            /// Number of the grant.
            grant: u64,
            /// Address of the instance.
            address: Box<str>,
            /// How long the request had waited at the owner.
            waited_ms: u64,
        },
        /// The request is queued; a slot will be granted or refused later.
        Queued,
        /// No slot will be free in time.
        Refused {
            /// Time after which it makes sense to ask again.
            retry_after_ms: u64,
        },
    }

    /// A message from one entry host to another.
    #[expect(missing_docs, reason = "The comment of each variant covers its fields.")]
    pub enum Message {
        /// A member is alive and asks a voter for a lease vote, for itself or for a
        /// member that it has inherited.
        Heartbeat { member: Member, sent_ms: u64, config_version: u64, is_leaving: bool },
        /// A voter's answer: whether it grants the vote, and a digest of the members
        /// that are alive.
        LeaseVote { member: Member, sent_ms: u64, is_granted: bool, config_version: u64, alive: u64 },
        /// Asks a voter for the members that are alive, when the digest is unknown.
        AliveRequest,
        /// The members that are alive, and the seats that act for inherited ones,
        /// with the digest.
        Alive { digest: u64, members: Box<[Member]>, inherited: Box<[(Member, Seat)]> },
        /// Asks for claims and configuration.
        StateRequest,
        /// Claims and configuration, as snapshot records.
        State { claims: Record, config: Record },
        /// The sender has stopped acting; the receiver inherits its incarnation and
        /// cells.
        Handover(Handover),
        /// Asks a voter to consent to deposing a member, which ends its ownerships.
        ConsentRequest { target: Member, asked_ms: u64 },
        /// A voter consents.
        Consent { target: Member, asked_ms: u64 },
        /// The sender does not own the cell, or may not act for it at present.
        NotOwner { cell: Cell, request: u64 },
        /// Asks for a slot; the attempt must begin within the given time.
        GrantRequest { cell: Cell, request: u64, begin_in_ms: u64 },
        /// Answers a request for a slot; `free` is a hint for the next request.
        GrantResponse { cell: Cell, request: u64, verdict: GrantVerdict, free: u32 },
        /// Cancels a request for a slot.
        GrantCancel { cell: Cell, request: u64 },
        /// An attempt under a grant has ended; the slot passes to the request `next`
        /// if given.
        Release { cell: Cell, grant: u64, request: u64, ended: GrantOutcome, next: Option<u64> },
        /// Asks to record the intent of a non-idempotent request.
        IntentRequest { cell: Cell, request: u64, identity: u128, fingerprint: u64 },
        /// Answers a request to record an intent.
        IntentResponse { request: u64, verdict: IntentVerdict },
        /// A non-idempotent request has ended. An entry host that was not admitted
        /// reports only on its own request.
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
        /// Answers the submission of a job.
        JobResponse { request: u64, verdict: JobVerdict },
        /// Asks for resources for an attempt of a job.
        Reserve { home: Cell, cell: Cell, order: TaskOrder, is_urgent: bool },
        /// Answers a reservation; `free_millicores` is a hint.
        Reserved { home: Cell, cell: Cell, attempt: AttemptId, is_held: bool, free_millicores: u32 },
        /// Releases reserved resources.
        Unreserve { cell: Cell, attempt: AttemptId },
        /// Orders an attempt to start. A repeated order may have been executed
        /// before, by a previous owner of the cell that left no record of it.
        Start { home: Cell, cell: Cell, order: TaskOrder, is_urgent: bool, is_repeat: bool },
        /// An attempt has started to run (`end` is `None`) or has ended.
        TaskUpdate { home: Cell, cell: Cell, attempt: AttemptId, end: Option<TaskEnd> },
        /// The end of an attempt is recorded in the log.
        TaskUpdateRecorded { cell: Cell, attempt: AttemptId },
    }
}
