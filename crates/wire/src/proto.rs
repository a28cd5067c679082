//! The prost types that define the encoding of messages and records.
//!
//! A field number never changes its meaning; new fields get new numbers.
#![expect(
    missing_docs,
    reason = "The core types that these mirror are documented."
)]

use prost::Message;
use prost::Oneof;

#[derive(Clone, PartialEq, Message)]
pub struct Member {
    #[prost(uint32, tag = "1")]
    pub seat: u32,
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Cell {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(fixed64, tag = "2")]
    pub number: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Attempt {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct Order {
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    #[prost(string, tag = "2")]
    pub job: String,
    #[prost(uint32, tag = "3")]
    pub millicores: u32,
    #[prost(uint32, tag = "4")]
    pub memory_mb: u32,
    #[prost(uint32, tag = "5")]
    pub accelerators: u32,
    #[prost(uint64, tag = "6")]
    pub checkpoint: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Spec {
    #[prost(string, tag = "1")]
    pub id: String,
    #[prost(string, tag = "2")]
    pub job: String,
    #[prost(string, tag = "3")]
    pub team: String,
}

/// A kind of end or verdict with one number, such as a checkpoint, a latency or a delay.
#[derive(Clone, PartialEq, Message)]
pub struct Tagged {
    #[prost(uint32, tag = "1")]
    pub kind: u32,
    #[prost(uint64, tag = "2")]
    pub value: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Section {
    #[prost(string, tag = "1")]
    pub kind: String,
    #[prost(string, tag = "2")]
    pub name: String,
    #[prost(bool, tag = "3")]
    pub is_removed: bool,
    #[prost(btree_map = "string, string", tag = "4")]
    pub values: std::collections::BTreeMap<String, String>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Ownership {
    #[prost(message, optional, tag = "1")]
    pub cell: Option<Cell>,
    #[prost(message, optional, tag = "2")]
    pub member: Option<Member>,
    #[prost(uint64, tag = "3")]
    pub term: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Cells {
    #[prost(message, optional, tag = "1")]
    pub member: Option<Member>,
    #[prost(message, repeated, tag = "2")]
    pub cells: Vec<Cell>,
    #[prost(message, optional, tag = "3")]
    pub successor: Option<Member>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Depose {
    #[prost(message, optional, tag = "1")]
    pub target: Option<Member>,
    #[prost(message, repeated, tag = "2")]
    pub voters: Vec<Member>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ClaimsSnapshot {
    #[prost(uint64, tag = "1")]
    pub as_of: u64,
    #[prost(message, repeated, tag = "2")]
    pub owners: Vec<Ownership>,
    #[prost(message, repeated, tag = "3")]
    pub deposed: Vec<Member>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Config {
    #[prost(uint64, tag = "1")]
    pub base: u64,
    #[prost(string, tag = "2")]
    pub id: String,
    #[prost(string, tag = "3")]
    pub author: String,
    #[prost(message, repeated, tag = "4")]
    pub changes: Vec<Section>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ConfigSnapshot {
    #[prost(uint64, tag = "1")]
    pub as_of: u64,
    #[prost(uint64, tag = "2")]
    pub version: u64,
    #[prost(message, repeated, tag = "3")]
    pub changes: Vec<Section>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Intent {
    #[prost(bytes = "vec", tag = "1")]
    pub identity: Vec<u8>,
    #[prost(fixed64, tag = "2")]
    pub fingerprint: u64,
    #[prost(uint32, tag = "3")]
    pub outcome: u32,
    #[prost(uint32, tag = "4")]
    pub status: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct Step {
    #[prost(message, optional, tag = "1")]
    pub attempt: Option<Attempt>,
    #[prost(message, optional, tag = "2")]
    pub cell: Option<Cell>,
    #[prost(uint64, tag = "3")]
    pub value: u64,
    #[prost(uint32, tag = "4")]
    pub failures: u32,
    #[prost(uint32, tag = "5")]
    pub crashes: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct Empty {}

#[derive(Clone, PartialEq, Oneof)]
pub enum RecordKind {
    #[prost(message, tag = "1")]
    Depose(Depose),
    #[prost(message, tag = "2")]
    Claim(Cells),
    #[prost(message, tag = "3")]
    Release(Cells),
    #[prost(message, tag = "4")]
    ClaimsSnapshot(ClaimsSnapshot),
    #[prost(message, tag = "5")]
    Config(Config),
    #[prost(message, tag = "6")]
    ConfigSnapshot(ConfigSnapshot),
    #[prost(message, tag = "7")]
    Open(Member),
    #[prost(message, tag = "8")]
    Intent(Intent),
    #[prost(message, tag = "9")]
    IntentEnded(Intent),
    #[prost(message, tag = "10")]
    Accepted(Spec),
    #[prost(message, tag = "11")]
    Assigned(Step),
    #[prost(message, tag = "12")]
    Evicted(Step),
    #[prost(message, tag = "13")]
    Ended(Step),
    #[prost(message, tag = "14")]
    Snapshot(Empty),
}

#[derive(Clone, PartialEq, Message)]
pub struct Record {
    #[prost(
        oneof = "RecordKind",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14"
    )]
    pub kind: Option<RecordKind>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Batch {
    #[prost(uint64, tag = "1")]
    pub term: u64,
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    #[prost(message, repeated, tag = "3")]
    pub records: Vec<Record>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Heartbeat {
    #[prost(uint64, tag = "1")]
    pub sent_ms: u64,
    #[prost(uint64, tag = "2")]
    pub config_version: u64,
    /// `is_leaving` of a heartbeat, `is_granted` of the answer to it.
    #[prost(bool, tag = "3")]
    pub flag: bool,
    #[prost(fixed64, tag = "4")]
    pub alive: u64,
    #[prost(message, optional, tag = "5")]
    pub member: Option<Member>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Alive {
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    #[prost(message, repeated, tag = "2")]
    pub members: Vec<Member>,
    #[prost(message, repeated, tag = "3")]
    pub inherited: Vec<InheritedMember>,
}

/// A process incarnation whose duties a process at another seat has taken over.
#[derive(Clone, PartialEq, Message)]
pub struct InheritedMember {
    #[prost(message, optional, tag = "1")]
    pub member: Option<Member>,
    #[prost(uint32, tag = "2")]
    pub seat: u32,
}

#[derive(Clone, PartialEq, Message)]
pub struct HandedOverCell {
    #[prost(message, optional, tag = "1")]
    pub cell: Option<Cell>,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// Sequence number of the last batch for a cell of keys; number of calls so far for a cell of
    /// workers.
    #[prost(uint64, tag = "3")]
    pub count: u64,
    #[prost(message, repeated, tag = "4")]
    pub records: Vec<Record>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Handover {
    #[prost(message, optional, tag = "1")]
    pub member: Option<Member>,
    #[prost(message, repeated, tag = "2")]
    pub cells: Vec<HandedOverCell>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Consent {
    #[prost(message, optional, tag = "1")]
    pub target: Option<Member>,
    #[prost(uint64, tag = "2")]
    pub asked_ms: u64,
}

/// Payload of all messages about a slot of an instance.
#[derive(Clone, PartialEq, Message)]
pub struct SlotMessage {
    #[prost(message, optional, tag = "1")]
    pub cell: Option<Cell>,
    #[prost(uint64, tag = "2")]
    pub request: u64,
    #[prost(uint64, tag = "3")]
    pub grant: u64,
    /// Milliseconds: `begin_in_ms` of a request, `waited_ms` of a grant, `retry_after_ms` of a
    /// refusal.
    #[prost(uint64, tag = "4")]
    pub value: u64,
    #[prost(string, tag = "5")]
    pub address: String,
    #[prost(uint32, tag = "6")]
    pub free: u32,
    #[prost(message, optional, tag = "7")]
    pub ended: Option<Tagged>,
    #[prost(uint64, optional, tag = "8")]
    pub next: Option<u64>,
}

/// Payload of all messages about the intent of a request.
#[derive(Clone, PartialEq, Message)]
pub struct IntentMessage {
    #[prost(message, optional, tag = "1")]
    pub cell: Option<Cell>,
    #[prost(uint64, tag = "2")]
    pub request: u64,
    #[prost(message, optional, tag = "3")]
    pub intent: Option<Intent>,
    #[prost(message, optional, tag = "4")]
    pub verdict: Option<Tagged>,
    #[prost(bool, tag = "5")]
    pub was_admitted: bool,
}

/// Payload of all messages about the submission of a job.
#[derive(Clone, PartialEq, Message)]
pub struct JobMessage {
    #[prost(message, optional, tag = "1")]
    pub cell: Option<Cell>,
    #[prost(uint64, tag = "2")]
    pub request: u64,
    #[prost(message, optional, tag = "3")]
    pub spec: Option<Spec>,
    #[prost(message, optional, tag = "4")]
    pub verdict: Option<Tagged>,
}

/// Payload of all messages about an attempt of a job, between the cell that owns the job and the
/// cell of its worker.
#[derive(Clone, PartialEq, Message)]
pub struct TaskMessage {
    #[prost(message, optional, tag = "1")]
    pub home: Option<Cell>,
    #[prost(message, optional, tag = "2")]
    pub cell: Option<Cell>,
    #[prost(message, optional, tag = "3")]
    pub order: Option<Order>,
    #[prost(message, optional, tag = "4")]
    pub attempt: Option<Attempt>,
    /// `is_urgent` of a reservation or start, `is_held` of the answer to a reservation.
    #[prost(bool, tag = "5")]
    pub flag: bool,
    /// Free thousandths of a core, in the answer to a reservation.
    #[prost(uint32, tag = "6")]
    pub free: u32,
    #[prost(message, optional, tag = "7")]
    pub end: Option<Tagged>,
    #[prost(bool, tag = "8")]
    pub is_repeat: bool,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Kind {
    #[prost(message, tag = "10")]
    Heartbeat(Heartbeat),
    #[prost(message, tag = "11")]
    LeaseVote(Heartbeat),
    #[prost(message, tag = "12")]
    AliveRequest(Empty),
    #[prost(message, tag = "13")]
    Alive(Alive),
    #[prost(message, tag = "14")]
    ConsentRequest(Consent),
    #[prost(message, tag = "15")]
    Consent(Consent),
    #[prost(message, tag = "16")]
    NotOwner(SlotMessage),
    #[prost(message, tag = "17")]
    GrantRequest(SlotMessage),
    #[prost(message, tag = "18")]
    Granted(SlotMessage),
    #[prost(message, tag = "19")]
    Refused(SlotMessage),
    #[prost(message, tag = "20")]
    GrantCancel(SlotMessage),
    #[prost(message, tag = "21")]
    Release(SlotMessage),
    #[prost(message, tag = "22")]
    IntentRequest(IntentMessage),
    #[prost(message, tag = "23")]
    IntentResponse(IntentMessage),
    #[prost(message, tag = "24")]
    IntentOutcome(IntentMessage),
    #[prost(message, tag = "25")]
    JobRequest(JobMessage),
    #[prost(message, tag = "26")]
    JobResponse(JobMessage),
    #[prost(message, tag = "27")]
    Reserve(TaskMessage),
    #[prost(message, tag = "28")]
    Reserved(TaskMessage),
    #[prost(message, tag = "29")]
    Unreserve(TaskMessage),
    #[prost(message, tag = "30")]
    Start(TaskMessage),
    #[prost(message, tag = "31")]
    TaskUpdate(TaskMessage),
    #[prost(message, tag = "32")]
    TaskUpdateRecorded(TaskMessage),
    #[prost(message, tag = "33")]
    Queued(SlotMessage),
    #[prost(message, tag = "34")]
    StateRequest(Empty),
    #[prost(message, tag = "35")]
    State(Batch),
    #[prost(message, tag = "36")]
    Handover(Handover),
}

/// One frame of a connection between entry hosts.
#[derive(Clone, PartialEq, Message)]
pub struct Frame {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    #[prost(string, tag = "2")]
    pub cluster: String,
    #[prost(message, optional, tag = "3")]
    pub from: Option<Member>,
    /// Hybrid logical clock of the sender.
    #[prost(fixed64, tag = "4")]
    pub clock: u64,
    #[prost(
        oneof = "Kind",
        tags = "10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24, 25, 26, 27, 28, 29, 30, 31, 32, 33, 34, 35, 36"
    )]
    pub kind: Option<Kind>,
}
