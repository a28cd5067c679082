//! Events that a node handles, and the actions and answers that it returns.

use crate::config::PublishOutcome;
use crate::ids::Member;
use crate::ids::Seat;
use crate::ids::Stream;
use crate::jobs::JobState;
use crate::macros::plain;
use crate::message::Message;
use crate::notes::Note;
use crate::placement::HostKey;
use crate::placement::WorkerCall;
use crate::placement::WorkerReport;
use crate::record::Batch;
use crate::record::ConfigChange;
use crate::record::JobSpec;
use crate::record::Outcome;

plain! {
    /// A caller's request, with what the node needs to know of it.
    pub struct Request {
        /// Number that this entry host has given to the request.
        pub request: u64,
        /// Service that the request is for.
        pub service: Box<str>,
        /// Identity given by the caller, hashed with the service's name.
        pub identity: Option<u128>,
        /// Hash of the request's content, which shows whether an identity is used for
        /// two different requests.
        pub fingerprint: u64,
        /// The request may be sent again once the previous attempt has ended.
        pub is_idempotent: bool,
        /// Time at which the caller stops waiting.
        pub deadline_ms: u64,
    }

    /// Outcome of an attempt to send a request to an instance.
    #[derive(Copy)]
    pub enum AttemptOutcome {
        /// A complete answer arrived; the edge keeps it until the node says what to
        /// do with it.
        Complete {
            /// Its HTTP status.
            status: u16,
            /// Time from sending the request until the answer was complete.
            latency_ms: u64,
        },
        /// The attempt was made, but nothing reached the instance.
        NotStarted,
        /// The time by which the attempt had to begin had passed.
        Expired,
        /// No complete answer arrived; the instance may still be working on the
        /// request.
        Interrupted,
    }

    /// Records of a stream that one read has returned.
    pub struct StreamPage {
        /// Offset of the oldest record that the log still has.
        pub oldest: u64,
        /// Offset at which the next read begins.
        pub next: u64,
        /// Whether the page reaches the end of the stream.
        pub is_end: bool,
        /// Batches with their offsets; `None` for a batch that can't be decoded.
        pub batches: Box<[(u64, Option<Batch>)]>,
    }

    /// A host or instance in the platform's list.
    pub struct PlatformHost {
        /// Name of the host or instance in the inventory.
        pub name: Box<str>,
        /// Address at which it is reached.
        pub address: Box<str>,
        /// The platform is about to remove it.
        pub is_leaving: bool,
    }

    /// An input of the node.
    #[expect(missing_docs, reason = "The comment of each variant covers its fields.")]
    pub enum Event {
        /// Time has passed.
        Tick,
        /// A message from another entry host, or from this one to itself.
        Peer { from: Member, message: Message },
        /// A caller's request.
        Request(Request),
        /// A caller has disconnected and awaits no answer.
        CallerGone { request: u64 },
        /// An attempt has ended.
        AttemptEnded { request: u64, outcome: AttemptOutcome },
        /// A job is submitted.
        Submit { request: u64, spec: JobSpec },
        /// A change of configuration is published.
        Publish { request: u64, change: ConfigChange },
        /// An append was acknowledged with its offset; `None` if there was no
        /// acknowledgement.
        Appended { stream: Stream, sequence: u64, offset: Option<u64> },
        /// A page of a stream was read; `None` if the read failed.
        Read { stream: Stream, page: Option<StreamPage> },
        /// A worker answered a call with its report; `None` if the call failed.
        WorkerAnswered { cell: u64, host: HostKey, token: u64, report: Option<WorkerReport> },
        /// The platform's list of hosts.
        Hosts(Box<[PlatformHost]>),
        /// A planned shutdown begins.
        Stop,
    }

    /// The answer to a caller or operator.
    #[expect(missing_docs, reason = "The comment of each variant covers its fields.")]
    pub enum Answer {
        /// The complete answer that the edge has kept.
        Whole,
        /// The request did not run. The caller may repeat it after the given time.
        NotRun { reason: &'static str, retry_after_ms: u64 },
        /// It is unknown whether the request ran. The caller may repeat it after the
        /// given time, or not at all if that is 0.
        Unknown { reason: &'static str, retry_after_ms: u64 },
        /// An earlier request with this identity has ended with this outcome.
        Repeated { outcome: Outcome, status: u16 },
        /// The identity was used for a different request.
        Conflict,
        /// The inventory has no such service or job.
        NotListed,
        /// The job is accepted and in this state.
        Job { state: JobState },
        /// No worker could ever run the job.
        NeverRuns { reason: Box<str> },
        /// The outcome of publishing a change.
        Published(PublishOutcome),
    }

    /// An output of the node, which the process that embeds it carries out.
    #[expect(missing_docs, reason = "The comment of each variant covers its fields.")]
    pub enum Action {
        /// Send a message to the process at a seat.
        Send { to: Seat, message: Message },
        /// Append a batch.
        Append { stream: Stream, batch: Batch },
        /// Read a stream from an offset.
        Read { stream: Stream, from: u64 },
        /// Send a request to an instance, unless `begin_by_ms` has passed.
        Attempt {
            request: u64,
            address: Box<str>,
            timeout_ms: u64,
            begin_by_ms: u64,
            response_max_bytes: u64,
        },
        /// Call a worker, unless `begin_by_ms` has passed.
        CallWorker { cell: u64, host: HostKey, address: Box<str>, call: WorkerCall, begin_by_ms: u64 },
        /// Answer a caller or operator.
        Answer { request: u64, answer: Answer },
        /// Log a numbered event.
        Note(Note),
        /// Set the readiness that the load balancer sees.
        Ready(bool),
        /// The planned shutdown is complete.
        Stopped,
    }
}
