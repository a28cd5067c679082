//! Messages between entry hosts as frames.

use crate::fault::WireFault;
use crate::parts::*;
use crate::proto;
use crate::proto::Kind;
use crate::proto::Tagged;
use crate::record::record_in;
use crate::record::record_out;
use goldcrestway_core::Cell;
use goldcrestway_core::Ended;
use goldcrestway_core::GrantVerdict;
use goldcrestway_core::HandedKeys;
use goldcrestway_core::Handover;
use goldcrestway_core::IntentVerdict;
use goldcrestway_core::JobState;
use goldcrestway_core::JobVerdict;
use goldcrestway_core::Member;
use goldcrestway_core::Message;
use goldcrestway_core::Seat;
use goldcrestway_core::TaskEnd;
use goldcrestway_core::Term;

/// Turns a message into the kind that a frame carries.
pub fn encode_message(message: &Message) -> Kind {
    match message {
        Message::Heartbeat {
            life,
            sent_ms,
            config_version,
            is_leaving,
        } => Kind::Heartbeat(proto::Heartbeat {
            life: Some(member_out(*life)),
            ..heartbeat(*sent_ms, *config_version, *is_leaving, 0)
        }),
        Message::Promise {
            life,
            sent_ms,
            is_granted,
            config_version,
            alive,
        } => Kind::Promise(proto::Heartbeat {
            life: Some(member_out(*life)),
            ..heartbeat(*sent_ms, *config_version, *is_granted, *alive)
        }),
        Message::AliveAsk => Kind::AliveAsk(proto::Empty {}),
        Message::Alive {
            digest,
            members,
            carried,
        } => Kind::Alive(proto::Alive {
            digest: *digest,
            members: members_out(members),
            carried: carried
                .iter()
                .map(|(life, seat)| proto::CarriedLife {
                    life: Some(member_out(*life)),
                    seat: u32::from(seat.0),
                })
                .collect(),
        }),
        Message::StateAsk => Kind::StateAsk(proto::Empty {}),
        Message::State { claims, config } => Kind::State(proto::Batch {
            records: vec![record_out(claims), record_out(config)],
            ..proto::Batch::default()
        }),
        Message::Handover(handover) => Kind::Handover(handover_out(handover)),
        Message::ConsentAsk { target, asked_ms } => Kind::ConsentAsk(proto::Consent {
            target: Some(member_out(*target)),
            asked_ms: *asked_ms,
        }),
        Message::Consent { target, asked_ms } => Kind::Consent(proto::Consent {
            target: Some(member_out(*target)),
            asked_ms: *asked_ms,
        }),
        Message::NotOwner { cell, request } => Kind::NotOwner(slot(*cell, *request)),
        Message::GrantAsk {
            cell,
            request,
            begin_in_ms,
        } => Kind::GrantAsk(proto::Slot {
            value: *begin_in_ms,
            ..slot(*cell, *request)
        }),
        Message::GrantAnswer {
            cell,
            request,
            verdict,
            free,
        } => grant_out(*cell, *request, verdict, *free),
        Message::GrantCancel { cell, request } => Kind::GrantCancel(slot(*cell, *request)),
        Message::Release {
            cell,
            grant,
            request,
            ended,
            next,
        } => Kind::Release(proto::Slot {
            grant: *grant,
            ended: Some(ended_out(*ended)),
            next: *next,
            ..slot(*cell, *request)
        }),
        Message::IntentAsk {
            cell,
            request,
            identity,
            fingerprint,
        } => Kind::IntentAsk(proto::IntentTalk {
            cell: Some(cell_out(*cell)),
            request: *request,
            intent: Some(intent_out(*identity, *fingerprint)),
            verdict: None,
        }),
        Message::IntentAnswer { request, verdict } => Kind::IntentAnswer(proto::IntentTalk {
            request: *request,
            verdict: Some(intent_verdict_out(*verdict)),
            ..proto::IntentTalk::default()
        }),
        Message::IntentEnd {
            cell,
            identity,
            outcome,
            status,
        } => Kind::IntentEnd(proto::IntentTalk {
            cell: Some(cell_out(*cell)),
            intent: Some(proto::Intent {
                outcome: outcome_out(*outcome),
                status: u32::from(*status),
                ..intent_out(*identity, 0)
            }),
            ..proto::IntentTalk::default()
        }),
        Message::JobAsk {
            cell,
            request,
            spec,
        } => Kind::JobAsk(proto::JobTalk {
            cell: Some(cell_out(*cell)),
            request: *request,
            spec: Some(spec_out(spec)),
            verdict: None,
        }),
        Message::JobAnswer { request, verdict } => Kind::JobAnswer(proto::JobTalk {
            request: *request,
            verdict: Some(job_verdict_out(*verdict)),
            ..proto::JobTalk::default()
        }),
        Message::Reserve {
            home,
            cell,
            order,
            is_urgent,
        } => Kind::Reserve(proto::TaskTalk {
            home: Some(cell_out(*home)),
            cell: Some(cell_out(*cell)),
            order: Some(order_out(order)),
            flag: *is_urgent,
            ..proto::TaskTalk::default()
        }),
        Message::Start {
            home,
            cell,
            order,
            is_urgent,
            is_repeat,
        } => Kind::Start(proto::TaskTalk {
            home: Some(cell_out(*home)),
            cell: Some(cell_out(*cell)),
            order: Some(order_out(order)),
            flag: *is_urgent,
            is_repeat: *is_repeat,
            ..proto::TaskTalk::default()
        }),
        Message::Reserved {
            home,
            cell,
            attempt,
            is_held,
            free_millicores,
        } => Kind::Reserved(proto::TaskTalk {
            home: Some(cell_out(*home)),
            cell: Some(cell_out(*cell)),
            attempt: Some(attempt_out(attempt)),
            flag: *is_held,
            free: *free_millicores,
            ..proto::TaskTalk::default()
        }),
        Message::Unreserve { cell, attempt } => Kind::Unreserve(proto::TaskTalk {
            cell: Some(cell_out(*cell)),
            attempt: Some(attempt_out(attempt)),
            ..proto::TaskTalk::default()
        }),
        Message::ReportNoted { cell, attempt } => Kind::ReportNoted(proto::TaskTalk {
            cell: Some(cell_out(*cell)),
            attempt: Some(attempt_out(attempt)),
            ..proto::TaskTalk::default()
        }),
        Message::Report {
            home,
            cell,
            attempt,
            end,
        } => Kind::Report(proto::TaskTalk {
            home: Some(cell_out(*home)),
            cell: Some(cell_out(*cell)),
            attempt: Some(attempt_out(attempt)),
            end: end.map(task_end_out),
            ..proto::TaskTalk::default()
        }),
    }
}

/// Reads a message from the kind that a frame carries.
///
/// # Errors
///
/// When a part is missing or out of range.
pub fn decode_message(kind: &Kind) -> Result<Message, WireFault> {
    let message = match kind {
        Kind::Heartbeat(heartbeat) => Message::Heartbeat {
            life: member_in(need(heartbeat.life.as_ref(), "life")?)?,
            sent_ms: heartbeat.sent_ms,
            config_version: heartbeat.config_version,
            is_leaving: heartbeat.flag,
        },
        Kind::Promise(promise) => Message::Promise {
            life: member_in(need(promise.life.as_ref(), "life")?)?,
            sent_ms: promise.sent_ms,
            is_granted: promise.flag,
            config_version: promise.config_version,
            alive: promise.alive,
        },
        Kind::AliveAsk(_) => Message::AliveAsk,
        Kind::Alive(alive) => Message::Alive {
            digest: alive.digest,
            members: members_in(&alive.members)?,
            carried: alive.carried.iter().map(carried_in).collect::<Read<_>>()?,
        },
        Kind::StateAsk(_) => Message::StateAsk,
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
        Kind::ConsentAsk(consent) => Message::ConsentAsk {
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
        Kind::GrantAsk(slot) => Message::GrantAsk {
            cell: cell_in(&slot.cell)?,
            request: slot.request,
            begin_in_ms: slot.value,
        },
        Kind::Granted(slot) => Message::GrantAnswer {
            cell: cell_in(&slot.cell)?,
            request: slot.request,
            free: slot.free,
            verdict: GrantVerdict::Granted {
                grant: slot.grant,
                address: slot.address.as_str().into(),
                waited_ms: slot.value,
            },
        },
        Kind::Refused(slot) => Message::GrantAnswer {
            cell: cell_in(&slot.cell)?,
            request: slot.request,
            free: slot.free,
            verdict: GrantVerdict::Refused {
                retry_after_ms: slot.value,
            },
        },
        Kind::Queued(slot) => Message::GrantAnswer {
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
            Message::IntentAsk {
                cell: cell_in(&talk.cell)?,
                request: talk.request,
                identity: identity_in(intent)?,
                fingerprint: intent.fingerprint,
            }
        }
        Kind::IntentAnswer(talk) => Message::IntentAnswer {
            request: talk.request,
            verdict: intent_verdict_in(need(talk.verdict.as_ref(), "verdict")?)?,
        },
        Kind::IntentEnd(talk) => {
            let intent = need(talk.intent.as_ref(), "intent")?;
            Message::IntentEnd {
                cell: cell_in(&talk.cell)?,
                identity: identity_in(intent)?,
                outcome: outcome_in(intent.outcome)?,
                status: status_in(intent.status)?,
            }
        }
        Kind::JobAsk(talk) => Message::JobAsk {
            cell: cell_in(&talk.cell)?,
            request: talk.request,
            spec: spec_in(need(talk.spec.as_ref(), "job")?),
        },
        Kind::JobAnswer(talk) => Message::JobAnswer {
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
        Kind::ReportNoted(task) => Message::ReportNoted {
            cell: cell_in(&task.cell)?,
            attempt: attempt_in(&task.attempt)?,
        },
        Kind::Report(task) => Message::Report {
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

fn handover_out(handover: &Handover) -> proto::Handover {
    let mut cells = Vec::new();
    for keys in &handover.keys {
        cells.push(proto::HandedCell {
            cell: Some(cell_out(Cell::Keys(keys.number))),
            term: keys.term.0,
            count: keys.sequence,
            records: keys.records.iter().map(record_out).collect(),
        });
    }
    for (number, term, calls) in &handover.workers {
        cells.push(proto::HandedCell {
            cell: Some(cell_out(Cell::Workers(*number))),
            term: term.0,
            count: *calls,
            records: Vec::new(),
        });
    }
    for number in &handover.upstreams {
        cells.push(proto::HandedCell {
            cell: Some(cell_out(Cell::Upstreams(*number))),
            ..proto::HandedCell::default()
        });
    }
    proto::Handover {
        life: Some(member_out(handover.life)),
        cells,
    }
}

fn handover_in(handover: &proto::Handover) -> Read<Handover> {
    let (mut keys, mut workers, mut upstreams) = (Vec::new(), Vec::new(), Vec::new());
    for handed in &handover.cells {
        match cell_in(&handed.cell)? {
            Cell::Keys(number) => keys.push(HandedKeys {
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
        life: member_in(need(handover.life.as_ref(), "life")?)?,
        keys: keys.into(),
        workers: workers.into(),
        upstreams: upstreams.into(),
    })
}

fn heartbeat(sent_ms: u64, config_version: u64, flag: bool, alive: u64) -> proto::Heartbeat {
    proto::Heartbeat {
        sent_ms,
        config_version,
        flag,
        alive,
        life: None,
    }
}

fn slot(cell: Cell, request: u64) -> proto::Slot {
    proto::Slot {
        cell: Some(cell_out(cell)),
        request,
        ..proto::Slot::default()
    }
}

fn grant_out(cell: Cell, request: u64, verdict: &GrantVerdict, free: u32) -> Kind {
    let base = proto::Slot {
        free,
        ..slot(cell, request)
    };
    match verdict {
        GrantVerdict::Granted {
            grant,
            address,
            waited_ms,
        } => Kind::Granted(proto::Slot {
            grant: *grant,
            value: *waited_ms,
            address: address.to_string(),
            ..base
        }),
        GrantVerdict::Queued => Kind::Queued(base),
        GrantVerdict::Refused { retry_after_ms } => Kind::Refused(proto::Slot {
            value: *retry_after_ms,
            ..base
        }),
    }
}

fn ended_out(ended: Ended) -> Tagged {
    match ended {
        Ended::Answered { latency_ms } => tagged(1, latency_ms),
        Ended::Failed { latency_ms } => tagged(2, latency_ms),
        Ended::NotStarted => tagged(3, 0),
        Ended::Unknown => tagged(4, 0),
        Ended::Unused => tagged(5, 0),
    }
}

fn ended_in(ended: &Tagged) -> Read<Ended> {
    match ended.kind {
        1 => Ok(Ended::Answered {
            latency_ms: ended.value,
        }),
        2 => Ok(Ended::Failed {
            latency_ms: ended.value,
        }),
        3 => Ok(Ended::NotStarted),
        4 => Ok(Ended::Unknown),
        5 => Ok(Ended::Unused),
        _ => Err(missing("end of an attempt")),
    }
}

fn task_end_out(end: TaskEnd) -> Tagged {
    match end {
        TaskEnd::Finished => tagged(1, 0),
        TaskEnd::Failed => tagged(2, 0),
        TaskEnd::Evicted { checkpoint } => tagged(3, checkpoint),
        TaskEnd::NotStarted => tagged(4, 0),
        TaskEnd::Lost => tagged(5, 0),
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
        _ => Err(missing("end of a task")),
    }
}

fn intent_verdict_out(verdict: IntentVerdict) -> Tagged {
    const STATUS_BITS: u32 = 16;
    match verdict {
        IntentVerdict::Go => tagged(1, 0),
        IntentVerdict::Begun => tagged(2, 0),
        IntentVerdict::Ended { outcome, status } => {
            let outcome = u64::from(outcome_out(outcome));
            tagged(3, (outcome << STATUS_BITS) | u64::from(status))
        }
        IntentVerdict::Conflict => tagged(4, 0),
        IntentVerdict::Refused { retry_after_ms } => tagged(5, retry_after_ms),
    }
}

fn intent_verdict_in(verdict: &Tagged) -> Read<IntentVerdict> {
    const STATUS_BITS: u32 = 16;
    match verdict.kind {
        1 => Ok(IntentVerdict::Go),
        2 => Ok(IntentVerdict::Begun),
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

/// A submitter needs to know only whether its job waits, runs or has ended.
fn job_verdict_out(verdict: JobVerdict) -> Tagged {
    match verdict {
        JobVerdict::Refused { retry_after_ms } => tagged(1, retry_after_ms),
        JobVerdict::Accepted(JobState::Ended { end, .. }) => tagged(3, job_end_out(end)),
        JobVerdict::Accepted(JobState::Running { .. }) => tagged(4, 0),
        JobVerdict::Accepted(_) => tagged(2, 0),
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
