//! Conversion of the values that messages and records share.

use crate::fault::WireFault;
use crate::proto;
use goldcrestway_core::AttemptId;
use goldcrestway_core::Cell;
use goldcrestway_core::JobEnd;
use goldcrestway_core::JobSpec;
use goldcrestway_core::Member;
use goldcrestway_core::Outcome;
use goldcrestway_core::Seat;
use goldcrestway_core::TaskOrder;

/// Result of decoding a value.
pub(crate) type DecodeResult<T> = Result<T, WireFault>;

/// Step that is named in faults of this module.
const DECODE_STEP: &str = "reading a message or record";

/// Creates the fault of a field that is missing or out of range.
pub(crate) fn missing(what: &'static str) -> WireFault {
    WireFault::Missing(DECODE_STEP, what)
}

/// Returns a required field, or the fault if it is missing.
pub(crate) fn require<T>(part: Option<T>, what: &'static str) -> DecodeResult<T> {
    part.ok_or_else(|| missing(what))
}

pub(crate) fn encode_member(member: Member) -> proto::Member {
    proto::Member {
        seat: u32::from(member.seat.0),
        incarnation: member.incarnation,
    }
}

pub(crate) fn decode_member(member: &proto::Member) -> DecodeResult<Member> {
    let seat = u16::try_from(member.seat).map_err(|_| missing("seat"))?;
    Ok(Member {
        seat: Seat(seat),
        incarnation: member.incarnation,
    })
}

pub(crate) fn decode_members(members: &[proto::Member]) -> DecodeResult<Box<[Member]>> {
    members.iter().map(decode_member).collect()
}

pub(crate) fn encode_members(members: &[Member]) -> Vec<proto::Member> {
    members.iter().copied().map(encode_member).collect()
}

pub(crate) fn encode_cell(cell: Cell) -> proto::Cell {
    let (kind, number) = match cell {
        Cell::Keys(number) => (1, u64::from(number)),
        Cell::Workers(number) => (2, number),
        Cell::Upstreams(number) => (3, number),
    };
    proto::Cell { kind, number }
}

pub(crate) fn decode_cell(cell: &Option<proto::Cell>) -> DecodeResult<Cell> {
    let cell = require(cell.as_ref(), "cell")?;
    match cell.kind {
        1 => u16::try_from(cell.number)
            .map(Cell::Keys)
            .map_err(|_| missing("cell")),
        2 => Ok(Cell::Workers(cell.number)),
        3 => Ok(Cell::Upstreams(cell.number)),
        _ => Err(missing("kind of cell")),
    }
}

pub(crate) fn encode_attempt(attempt: &AttemptId) -> proto::Attempt {
    proto::Attempt {
        id: attempt.id.to_string(),
        attempt: attempt.attempt,
    }
}

pub(crate) fn decode_attempt(attempt: &Option<proto::Attempt>) -> DecodeResult<AttemptId> {
    let attempt = require(attempt.as_ref(), "attempt")?;
    Ok(AttemptId {
        id: attempt.id.as_str().into(),
        attempt: attempt.attempt,
    })
}

pub(crate) fn encode_order(order: &TaskOrder) -> proto::Order {
    proto::Order {
        attempt: Some(encode_attempt(&order.attempt)),
        job: order.job.to_string(),
        millicores: order.need.millicores,
        memory_mb: order.need.memory_mb,
        accelerators: order.need.accelerators,
        checkpoint: order.checkpoint,
    }
}

pub(crate) fn decode_order(order: &Option<proto::Order>) -> DecodeResult<TaskOrder> {
    let order = require(order.as_ref(), "order")?;
    Ok(TaskOrder {
        attempt: decode_attempt(&order.attempt)?,
        job: order.job.as_str().into(),
        need: goldcrestway_inventory::Resources {
            millicores: order.millicores,
            memory_mb: order.memory_mb,
            accelerators: order.accelerators,
        },
        checkpoint: order.checkpoint,
    })
}

pub(crate) fn encode_spec(spec: &JobSpec) -> proto::Spec {
    proto::Spec {
        id: spec.id.to_string(),
        job: spec.job.to_string(),
        team: spec.team.to_string(),
    }
}

pub(crate) fn decode_spec(spec: &proto::Spec) -> JobSpec {
    JobSpec {
        id: spec.id.as_str().into(),
        job: spec.job.as_str().into(),
        team: spec.team.as_str().into(),
    }
}

/// Combines a kind with the number that belongs to it.
pub(crate) fn tagged(kind: u32, value: u64) -> proto::Tagged {
    proto::Tagged { kind, value }
}

pub(crate) fn encode_outcome(outcome: Outcome) -> u32 {
    match outcome {
        Outcome::Answered => 1,
        Outcome::NotRun => 2,
        Outcome::Unknown => 3,
    }
}

pub(crate) fn decode_outcome(outcome: u32) -> DecodeResult<Outcome> {
    match outcome {
        1 => Ok(Outcome::Answered),
        2 => Ok(Outcome::NotRun),
        3 => Ok(Outcome::Unknown),
        _ => Err(missing("outcome")),
    }
}

pub(crate) fn encode_job_end(end: JobEnd) -> u64 {
    match end {
        JobEnd::Finished => 1,
        JobEnd::Failed => 2,
        JobEnd::Unknown => 3,
        JobEnd::Cancelled => 4,
    }
}

pub(crate) fn decode_job_end(end: u64) -> DecodeResult<JobEnd> {
    match end {
        1 => Ok(JobEnd::Finished),
        2 => Ok(JobEnd::Failed),
        3 => Ok(JobEnd::Unknown),
        4 => Ok(JobEnd::Cancelled),
        _ => Err(missing("end of a job")),
    }
}

/// Encodes an intent without an outcome; the caller adds one if the request has ended.
pub(crate) fn encode_intent(identity: u128, fingerprint: u64) -> proto::Intent {
    proto::Intent {
        identity: identity.to_le_bytes().to_vec(),
        fingerprint,
        outcome: 0,
        status: 0,
    }
}

pub(crate) fn decode_identity(intent: &proto::Intent) -> DecodeResult<u128> {
    let bytes = <[u8; 16]>::try_from(&*intent.identity).map_err(|_| missing("identity"))?;
    Ok(u128::from_le_bytes(bytes))
}

pub(crate) fn decode_status(status: u32) -> DecodeResult<u16> {
    u16::try_from(status).map_err(|_| missing("status"))
}
