//! What goes into the decisions and what comes out.

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
    /// A caller's request, as far as the decisions need it.
    pub struct Request {
        /// Number given by this entry host.
        pub request: u64,
        /// Service that it is for.
        pub service: Box<str>,
        /// Identity given by the caller, hashed with the service's name.
        pub identity: Option<u128>,
        /// Hash of what it asks, to notice an identity that is used twice.
        pub fingerprint: u64,
        /// May safely be sent again once a former attempt has ended.
        pub is_idempotent: bool,
        /// When its caller stops waiting.
        pub deadline_ms: u64,
    }

    /// How an attempt at an instance ended.
    #[derive(Copy)]
    pub enum AttemptOutcome {
        /// A whole answer arrived and is held at the edge.
        Complete {
            /// Its HTTP status.
            status: u16,
            /// Time from sending to the whole answer.
            latency_ms: u64,
        },
        /// Nothing reached the instance, though it was tried.
        NotStarted,
        /// It was too late to try.
        Expired,
        /// No whole answer came; the instance may still be working.
        Interrupted,
    }

    /// A part of a stream.
    pub struct StreamPage {
        /// Offset of the oldest record still kept.
        pub oldest: u64,
        /// Where reading goes on.
        pub next: u64,
        /// Whether the part reaches the end of the stream.
        pub is_end: bool,
        /// Batches with their offsets; `None` for one that can't be read.
        pub batches: Box<[(u64, Option<Batch>)]>,
    }

    /// A host or instance in the platform's list.
    pub struct PlatformHost {
        /// Name of the host or upstream in the inventory.
        pub name: Box<str>,
        /// Where it is reached.
        pub address: Box<str>,
        /// It is about to go.
        pub is_leaving: bool,
    }

    /// Something that happened.
    #[expect(missing_docs, reason = "The comment of each variant covers its fields.")]
    pub enum Event {
        /// Time has passed.
        Tick,
        /// A message from another entry host, or from this one to itself.
        Peer { from: Member, message: Message },
        /// A caller's request.
        Request(Request),
        /// A caller has gone and awaits no answer.
        CallerGone { request: u64 },
        /// An attempt has ended.
        AttemptEnded { request: u64, outcome: AttemptOutcome },
        /// A job is submitted.
        Submit { request: u64, spec: JobSpec },
        /// A change of configuration is published.
        Publish { request: u64, change: ConfigChange },
        /// An append was acknowledged, or its answer was lost.
        Appended { stream: Stream, sequence: u64, offset: Option<u64> },
        /// A part of a stream was read, or reading failed.
        Read { stream: Stream, page: Option<StreamPage> },
        /// A worker answered, or did not.
        WorkerAnswered { cell: u64, host: HostKey, token: u64, report: Option<WorkerReport> },
        /// The platform's list of hosts.
        Hosts(Box<[PlatformHost]>),
        /// A planned stop begins.
        Stop,
    }

    /// What a caller or operator is told.
    #[expect(missing_docs, reason = "The comment of each variant covers its fields.")]
    pub enum Answer {
        /// The whole answer that the edge holds.
        Whole,
        /// It did not run; asking again makes sense after the given time.
        NotRun { reason: &'static str, retry_after_ms: u64 },
        /// Whether it ran can't be told; asking again makes sense after the given
        /// time, or not at all if that is 0.
        Unknown { reason: &'static str, retry_after_ms: u64 },
        /// An earlier request with this identity has ended like this.
        Repeated { outcome: Outcome, status: u16 },
        /// The identity was used for a different request.
        Conflict,
        /// No such service or job is listed.
        NotListed,
        /// The job is accepted and stands here.
        Job { state: JobState },
        /// The job could never run.
        NeverRuns { reason: Box<str> },
        /// What became of the published change.
        Published(PublishOutcome),
    }

    /// Something to do.
    #[expect(missing_docs, reason = "The comment of each variant covers its fields.")]
    pub enum Action {
        /// Send a message to the process at a seat.
        Send { to: Seat, message: Message },
        /// Append a batch.
        Append { stream: Stream, batch: Batch },
        /// Read a stream on from an offset.
        Read { stream: Stream, from: u64 },
        /// Send a request to an instance, unless the time has passed.
        Attempt {
            request: u64,
            address: Box<str>,
            timeout_ms: u64,
            begin_by_ms: u64,
            response_max_bytes: u64,
        },
        /// Call a worker, unless the time has passed.
        CallWorker { cell: u64, host: HostKey, address: Box<str>, call: WorkerCall, begin_by_ms: u64 },
        /// Answer a caller or operator.
        Answer { request: u64, answer: Answer },
        /// Say what happened.
        Note(Note),
        /// Tell the balancer whether to send requests here.
        Ready(bool),
        /// The planned stop is complete.
        Stopped,
    }
}
