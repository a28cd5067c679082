//! Conversion of the payload of frames into messages.

use crate::fault::WireFault;
use crate::parts::DecodeResult;
use crate::parts::decode_attempt;
use crate::parts::decode_cell;
use crate::parts::decode_identity;
use crate::parts::decode_job_end;
use crate::parts::decode_member;
use crate::parts::decode_members;
use crate::parts::decode_order;
use crate::parts::decode_outcome;
use crate::parts::decode_spec;
use crate::parts::decode_status;
use crate::parts::missing;
use crate::parts::require;
use crate::proto;
use crate::proto::Kind;
use crate::proto::Tagged;
use crate::record::decode_record;
use goldcrestway_core::Cell;
use goldcrestway_core::GrantOutcome;
use goldcrestway_core::GrantVerdict;
use goldcrestway_core::Handover;
use goldcrestway_core::IntentVerdict;
use goldcrestway_core::JobState;
use goldcrestway_core::JobVerdict;
use goldcrestway_core::KeyHandover;
use goldcrestway_core::Member;
use goldcrestway_core::Message;
use goldcrestway_core::Seat;
use goldcrestway_core::TaskEnd;
use goldcrestway_core::Term;

/// Decodes the message that a frame carries.
///
/// # Errors
///
/// Returns [`WireFault::Missing`] if a field is missing or out of range.
pub fn decode_message(kind: &Kind) -> Result<Message, WireFault> {
    let message = match kind {
        Kind::Heartbeat(heartbeat) => Message::Heartbeat {
            member: decode_member(require(heartbeat.member.as_ref(), "member")?)?,
            sent_ms: heartbeat.sent_ms,
            config_version: heartbeat.config_version,
            is_leaving: heartbeat.flag,
        },
        Kind::LeaseVote(vote) => Message::LeaseVote {
            member: decode_member(require(vote.member.as_ref(), "member")?)?,
            sent_ms: vote.sent_ms,
            is_granted: vote.flag,
            config_version: vote.config_version,
            alive: vote.alive,
        },
        Kind::AliveRequest(_) => Message::AliveRequest,
        Kind::Alive(alive) => Message::Alive {
            digest: alive.digest,
            members: decode_members(&alive.members)?,
            inherited: alive
                .inherited
                .iter()
                .map(decode_inherited_member)
                .collect::<DecodeResult<_>>()?,
        },
        Kind::StateRequest(_) => Message::StateRequest,
        Kind::State(batch) => {
            let [claims, config] = batch.records.as_slice() else {
                return Err(missing("claims and configuration"));
            };
            Message::State {
                claims: decode_record(claims)?,
                config: decode_record(config)?,
            }
        }
        Kind::Handover(handover) => Message::Handover(decode_handover(handover)?),
        Kind::ConsentRequest(consent) => Message::ConsentRequest {
            target: decode_member(require(consent.target.as_ref(), "target")?)?,
            asked_ms: consent.asked_ms,
        },
        Kind::Consent(consent) => Message::Consent {
            target: decode_member(require(consent.target.as_ref(), "target")?)?,
            asked_ms: consent.asked_ms,
        },
        Kind::NotOwner(slot) => Message::NotOwner {
            cell: decode_cell(&slot.cell)?,
            request: slot.request,
        },
        Kind::GrantRequest(slot) => Message::GrantRequest {
            cell: decode_cell(&slot.cell)?,
            request: slot.request,
            begin_in_ms: slot.value,
        },
        Kind::Granted(slot) => Message::GrantResponse {
            cell: decode_cell(&slot.cell)?,
            request: slot.request,
            free: slot.free,
            verdict: GrantVerdict::Granted {
                grant: slot.grant,
                address: slot.address.as_str().into(),
                waited_ms: slot.value,
            },
        },
        Kind::Refused(slot) => Message::GrantResponse {
            cell: decode_cell(&slot.cell)?,
            request: slot.request,
            free: slot.free,
            verdict: GrantVerdict::Refused {
                retry_after_ms: slot.value,
            },
        },
        Kind::Queued(slot) => Message::GrantResponse {
            cell: decode_cell(&slot.cell)?,
            request: slot.request,
            free: slot.free,
            verdict: GrantVerdict::Queued,
        },
        Kind::GrantCancel(slot) => Message::GrantCancel {
            cell: decode_cell(&slot.cell)?,
            request: slot.request,
        },
        Kind::Release(slot) => Message::Release {
            cell: decode_cell(&slot.cell)?,
            grant: slot.grant,
            request: slot.request,
            next: slot.next,
            ended: decode_ended(require(slot.ended.as_ref(), "end of an attempt")?)?,
        },
        Kind::IntentRequest(body) => {
            let intent = require(body.intent.as_ref(), "intent")?;
            Message::IntentRequest {
                cell: decode_cell(&body.cell)?,
                request: body.request,
                identity: decode_identity(intent)?,
                fingerprint: intent.fingerprint,
            }
        }
        Kind::IntentResponse(body) => Message::IntentResponse {
            request: body.request,
            verdict: decode_intent_verdict(require(body.verdict.as_ref(), "verdict")?)?,
        },
        Kind::IntentOutcome(body) => {
            let intent = require(body.intent.as_ref(), "intent")?;
            Message::IntentOutcome {
                cell: decode_cell(&body.cell)?,
                request: body.request,
                was_admitted: body.was_admitted,
                identity: decode_identity(intent)?,
                outcome: decode_outcome(intent.outcome)?,
                status: decode_status(intent.status)?,
            }
        }
        Kind::JobRequest(body) => Message::JobRequest {
            cell: decode_cell(&body.cell)?,
            request: body.request,
            spec: decode_spec(require(body.spec.as_ref(), "job")?),
        },
        Kind::JobResponse(body) => Message::JobResponse {
            request: body.request,
            verdict: decode_job_verdict(require(body.verdict.as_ref(), "verdict")?)?,
        },
        Kind::Reserve(task) => Message::Reserve {
            home: decode_cell(&task.home)?,
            cell: decode_cell(&task.cell)?,
            order: decode_order(&task.order)?,
            is_urgent: task.flag,
        },
        Kind::Start(task) => Message::Start {
            home: decode_cell(&task.home)?,
            cell: decode_cell(&task.cell)?,
            order: decode_order(&task.order)?,
            is_urgent: task.flag,
            is_repeat: task.is_repeat,
        },
        Kind::Reserved(task) => Message::Reserved {
            home: decode_cell(&task.home)?,
            cell: decode_cell(&task.cell)?,
            attempt: decode_attempt(&task.attempt)?,
            is_held: task.flag,
            free_millicores: task.free,
        },
        Kind::Unreserve(task) => Message::Unreserve {
            cell: decode_cell(&task.cell)?,
            attempt: decode_attempt(&task.attempt)?,
        },
        Kind::TaskUpdateRecorded(task) => Message::TaskUpdateRecorded {
            cell: decode_cell(&task.cell)?,
            attempt: decode_attempt(&task.attempt)?,
        },
        Kind::TaskUpdate(task) => Message::TaskUpdate {
            home: decode_cell(&task.home)?,
            cell: decode_cell(&task.cell)?,
            attempt: decode_attempt(&task.attempt)?,
            end: task.end.as_ref().map(decode_task_end).transpose()?,
        },
    };
    Ok(message)
}

fn decode_inherited_member(inherited: &proto::InheritedMember) -> DecodeResult<(Member, Seat)> {
    let member = decode_member(require(inherited.member.as_ref(), "member")?)?;
    let seat = u16::try_from(inherited.seat).map_err(|_| missing("seat"))?;
    Ok((member, Seat(seat)))
}

fn decode_handover(handover: &proto::Handover) -> DecodeResult<Handover> {
    let (mut keys, mut workers, mut upstreams) = (Vec::new(), Vec::new(), Vec::new());
    for handed in &handover.cells {
        match decode_cell(&handed.cell)? {
            Cell::Keys(number) => keys.push(KeyHandover {
                number,
                term: Term(handed.term),
                sequence: handed.count,
                records: handed
                    .records
                    .iter()
                    .map(decode_record)
                    .collect::<DecodeResult<_>>()?,
            }),
            Cell::Workers(number) => workers.push((number, Term(handed.term), handed.count)),
            Cell::Upstreams(number) => upstreams.push(number),
        }
    }
    Ok(Handover {
        member: decode_member(require(handover.member.as_ref(), "member")?)?,
        keys: keys.into(),
        workers: workers.into(),
        upstreams: upstreams.into(),
    })
}

fn decode_ended(ended: &Tagged) -> DecodeResult<GrantOutcome> {
    match ended.kind {
        1 => Ok(GrantOutcome::Answered {
            latency_ms: ended.value,
        }),
        2 => Ok(GrantOutcome::Failed {
            latency_ms: ended.value,
        }),
        3 => Ok(GrantOutcome::NotStarted),
        4 => Ok(GrantOutcome::Unknown),
        5 => Ok(GrantOutcome::Unused),
        _ => Err(missing("end of an attempt")),
    }
}

fn decode_task_end(end: &Tagged) -> DecodeResult<TaskEnd> {
    match end.kind {
        1 => Ok(TaskEnd::Finished),
        2 => Ok(TaskEnd::Failed),
        3 => Ok(TaskEnd::Evicted {
            checkpoint: end.value,
        }),
        4 => Ok(TaskEnd::NotStarted),
        5 => Ok(TaskEnd::Lost),
        6 => Ok(TaskEnd::Forgotten),
        _ => Err(missing("end of a task")),
    }
}

fn decode_intent_verdict(verdict: &Tagged) -> DecodeResult<IntentVerdict> {
    const STATUS_BITS: u32 = 16;
    match verdict.kind {
        1 => Ok(IntentVerdict::Proceed),
        2 => Ok(IntentVerdict::Pending),
        3 => Ok(IntentVerdict::Ended {
            outcome: decode_outcome((verdict.value >> STATUS_BITS) as u32)?,
            status: (verdict.value & 0xffff) as u16,
        }),
        4 => Ok(IntentVerdict::Conflict),
        5 => Ok(IntentVerdict::Refused {
            retry_after_ms: verdict.value,
        }),
        _ => Err(missing("verdict")),
    }
}

/// Decodes a verdict. The wire form carries neither the cell of a running job nor the time since
/// which a job has ended; both are set to 0.
fn decode_job_verdict(verdict: &Tagged) -> DecodeResult<JobVerdict> {
    match verdict.kind {
        1 => Ok(JobVerdict::Refused {
            retry_after_ms: verdict.value,
        }),
        2 => Ok(JobVerdict::Accepted(JobState::Queued)),
        3 => Ok(JobVerdict::Accepted(JobState::Ended {
            end: decode_job_end(verdict.value)?,
            since_ms: 0,
        })),
        4 => Ok(JobVerdict::Accepted(JobState::Running {
            cell: Cell::Workers(0),
        })),
        _ => Err(missing("verdict")),
    }
}
