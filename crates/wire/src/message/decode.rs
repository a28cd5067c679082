//! Messages from kinds of frames.

use crate::fault::WireFault;
use crate::parts::Read;
use crate::parts::attempt_in;
use crate::parts::cell_in;
use crate::parts::identity_in;
use crate::parts::job_end_in;
use crate::parts::member_in;
use crate::parts::members_in;
use crate::parts::missing;
use crate::parts::need;
use crate::parts::order_in;
use crate::parts::outcome_in;
use crate::parts::spec_in;
use crate::parts::status_in;
use crate::proto;
use crate::proto::Kind;
use crate::proto::Tagged;
use crate::record::record_in;
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

/// Reads a message from the kind that a frame carries.
///
/// # Errors
///
/// When a part is missing or out of range.
pub fn decode_message(kind: &Kind) -> Result<Message, WireFault> {
    let message = match kind {
        Kind::Heartbeat(heartbeat) => Message::Heartbeat {
            member: member_in(need(heartbeat.life.as_ref(), "life")?)?,
            sent_ms: heartbeat.sent_ms,
            config_version: heartbeat.config_version,
            is_leaving: heartbeat.flag,
        },
        Kind::Promise(promise) => Message::LeaseVote {
            member: member_in(need(promise.life.as_ref(), "life")?)?,
            sent_ms: promise.sent_ms,
            is_granted: promise.flag,
            config_version: promise.config_version,
            alive: promise.alive,
        },
        Kind::AliveAsk(_) => Message::AliveRequest,
        Kind::Alive(alive) => Message::Alive {
            digest: alive.digest,
            members: members_in(&alive.members)?,
            inherited: alive.carried.iter().map(carried_in).collect::<Read<_>>()?,
        },
        Kind::StateAsk(_) => Message::StateRequest,
        Kind::State(batch) => {
            let [claims, config] = batch.records.as_slice() else {
                return Err(missing("claims and configuration"));
            };
            Message::State {
                claims: record_in(claims)?,
                config: record_in(config)?,
            }
        }
        Kind::Handover(handover) => Message::Handover(handover_in(handover)?),
        Kind::ConsentAsk(consent) => Message::ConsentRequest {
            target: member_in(need(consent.target.as_ref(), "target")?)?,
            asked_ms: consent.asked_ms,
        },
        Kind::Consent(consent) => Message::Consent {
            target: member_in(need(consent.target.as_ref(), "target")?)?,
            asked_ms: consent.asked_ms,
        },
        Kind::NotOwner(slot) => Message::NotOwner {
            cell: cell_in(&slot.cell)?,
            request: slot.request,
        },
        Kind::GrantAsk(slot) => Message::GrantRequest {
            cell: cell_in(&slot.cell)?,
            request: slot.request,
            begin_in_ms: slot.value,
        },
        Kind::Granted(slot) => Message::GrantResponse {
            cell: cell_in(&slot.cell)?,
            request: slot.request,
            free: slot.free,
            verdict: GrantVerdict::Granted {
                grant: slot.grant,
                address: slot.address.as_str().into(),
                waited_ms: slot.value,
            },
        },
        Kind::Refused(slot) => Message::GrantResponse {
            cell: cell_in(&slot.cell)?,
            request: slot.request,
            free: slot.free,
            verdict: GrantVerdict::Refused {
                retry_after_ms: slot.value,
            },
        },
        Kind::Queued(slot) => Message::GrantResponse {
            cell: cell_in(&slot.cell)?,
            request: slot.request,
            free: slot.free,
            verdict: GrantVerdict::Queued,
        },
        Kind::GrantCancel(slot) => Message::GrantCancel {
            cell: cell_in(&slot.cell)?,
            request: slot.request,
        },
        Kind::Release(slot) => Message::Release {
            cell: cell_in(&slot.cell)?,
            grant: slot.grant,
            request: slot.request,
            next: slot.next,
            ended: ended_in(need(slot.ended.as_ref(), "end of an attempt")?)?,
        },
        Kind::IntentAsk(talk) => {
            let intent = need(talk.intent.as_ref(), "intent")?;
            Message::IntentRequest {
                cell: cell_in(&talk.cell)?,
                request: talk.request,
                identity: identity_in(intent)?,
                fingerprint: intent.fingerprint,
            }
        }
        Kind::IntentAnswer(talk) => Message::IntentResponse {
            request: talk.request,
            verdict: intent_verdict_in(need(talk.verdict.as_ref(), "verdict")?)?,
        },
        Kind::IntentEnd(talk) => {
            let intent = need(talk.intent.as_ref(), "intent")?;
            Message::IntentOutcome {
                cell: cell_in(&talk.cell)?,
                request: talk.request,
                was_admitted: talk.was_admitted,
                identity: identity_in(intent)?,
                outcome: outcome_in(intent.outcome)?,
                status: status_in(intent.status)?,
            }
        }
        Kind::JobAsk(talk) => Message::JobRequest {
            cell: cell_in(&talk.cell)?,
            request: talk.request,
            spec: spec_in(need(talk.spec.as_ref(), "job")?),
        },
        Kind::JobAnswer(talk) => Message::JobResponse {
            request: talk.request,
            verdict: job_verdict_in(need(talk.verdict.as_ref(), "verdict")?)?,
        },
        Kind::Reserve(task) => Message::Reserve {
            home: cell_in(&task.home)?,
            cell: cell_in(&task.cell)?,
            order: order_in(&task.order)?,
            is_urgent: task.flag,
        },
        Kind::Start(task) => Message::Start {
            home: cell_in(&task.home)?,
            cell: cell_in(&task.cell)?,
            order: order_in(&task.order)?,
            is_urgent: task.flag,
            is_repeat: task.is_repeat,
        },
        Kind::Reserved(task) => Message::Reserved {
            home: cell_in(&task.home)?,
            cell: cell_in(&task.cell)?,
            attempt: attempt_in(&task.attempt)?,
            is_held: task.flag,
            free_millicores: task.free,
        },
        Kind::Unreserve(task) => Message::Unreserve {
            cell: cell_in(&task.cell)?,
            attempt: attempt_in(&task.attempt)?,
        },
        Kind::ReportNoted(task) => Message::TaskUpdateRecorded {
            cell: cell_in(&task.cell)?,
            attempt: attempt_in(&task.attempt)?,
        },
        Kind::Report(task) => Message::TaskUpdate {
            home: cell_in(&task.home)?,
            cell: cell_in(&task.cell)?,
            attempt: attempt_in(&task.attempt)?,
            end: task.end.as_ref().map(task_end_in).transpose()?,
        },
    };
    Ok(message)
}

fn carried_in(carried: &proto::CarriedLife) -> Read<(Member, Seat)> {
    let life = member_in(need(carried.life.as_ref(), "life")?)?;
    let seat = u16::try_from(carried.seat).map_err(|_| missing("seat"))?;
    Ok((life, Seat(seat)))
}

fn handover_in(handover: &proto::Handover) -> Read<Handover> {
    let (mut keys, mut workers, mut upstreams) = (Vec::new(), Vec::new(), Vec::new());
    for handed in &handover.cells {
        match cell_in(&handed.cell)? {
            Cell::Keys(number) => keys.push(KeyHandover {
                number,
                term: Term(handed.term),
                sequence: handed.count,
                records: handed.records.iter().map(record_in).collect::<Read<_>>()?,
            }),
            Cell::Workers(number) => workers.push((number, Term(handed.term), handed.count)),
            Cell::Upstreams(number) => upstreams.push(number),
        }
    }
    Ok(Handover {
        member: member_in(need(handover.life.as_ref(), "life")?)?,
        keys: keys.into(),
        workers: workers.into(),
        upstreams: upstreams.into(),
    })
}

fn ended_in(ended: &Tagged) -> Read<GrantOutcome> {
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

fn task_end_in(end: &Tagged) -> Read<TaskEnd> {
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

fn intent_verdict_in(verdict: &Tagged) -> Read<IntentVerdict> {
    const STATUS_BITS: u32 = 16;
    match verdict.kind {
        1 => Ok(IntentVerdict::Proceed),
        2 => Ok(IntentVerdict::Pending),
        3 => Ok(IntentVerdict::Ended {
            outcome: outcome_in((verdict.value >> STATUS_BITS) as u32)?,
            status: (verdict.value & 0xffff) as u16,
        }),
        4 => Ok(IntentVerdict::Conflict),
        5 => Ok(IntentVerdict::Refused {
            retry_after_ms: verdict.value,
        }),
        _ => Err(missing("verdict")),
    }
}

fn job_verdict_in(verdict: &Tagged) -> Read<JobVerdict> {
    match verdict.kind {
        1 => Ok(JobVerdict::Refused {
            retry_after_ms: verdict.value,
        }),
        2 => Ok(JobVerdict::Accepted(JobState::Queued)),
        3 => Ok(JobVerdict::Accepted(JobState::Ended {
            end: job_end_in(verdict.value)?,
            since_ms: 0,
        })),
        4 => Ok(JobVerdict::Accepted(JobState::Running {
            cell: Cell::Workers(0),
        })),
        _ => Err(missing("verdict")),
    }
}
