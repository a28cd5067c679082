//! Conversion of messages into the payload of frames.

use crate::parts::encode_attempt;
use crate::parts::encode_cell;
use crate::parts::encode_intent;
use crate::parts::encode_job_end;
use crate::parts::encode_member;
use crate::parts::encode_members;
use crate::parts::encode_order;
use crate::parts::encode_outcome;
use crate::parts::encode_spec;
use crate::parts::tagged;
use crate::proto;
use crate::proto::Kind;
use crate::proto::Tagged;
use crate::record::encode_record;
use goldcrestway_core::Cell;
use goldcrestway_core::GrantOutcome;
use goldcrestway_core::GrantVerdict;
use goldcrestway_core::Handover;
use goldcrestway_core::IntentVerdict;
use goldcrestway_core::JobState;
use goldcrestway_core::JobVerdict;
use goldcrestway_core::Message;
use goldcrestway_core::TaskEnd;

/// Encodes a message as the payload of a frame.
pub fn encode_message(message: &Message) -> Kind {
    match message {
        Message::Heartbeat {
            member,
            sent_ms,
            config_version,
            is_leaving,
        } => Kind::Heartbeat(proto::Heartbeat {
            member: Some(encode_member(*member)),
            ..heartbeat(*sent_ms, *config_version, *is_leaving, 0)
        }),
        Message::LeaseVote {
            member,
            sent_ms,
            is_granted,
            config_version,
            alive,
        } => Kind::LeaseVote(proto::Heartbeat {
            member: Some(encode_member(*member)),
            ..heartbeat(*sent_ms, *config_version, *is_granted, *alive)
        }),
        Message::AliveRequest => Kind::AliveRequest(proto::Empty {}),
        Message::Alive {
            digest,
            members,
            inherited,
        } => Kind::Alive(proto::Alive {
            digest: *digest,
            members: encode_members(members),
            inherited: inherited
                .iter()
                .map(|(member, seat)| proto::InheritedMember {
                    member: Some(encode_member(*member)),
                    seat: u32::from(seat.0),
                })
                .collect(),
        }),
        Message::StateRequest => Kind::StateRequest(proto::Empty {}),
        Message::State { claims, config } => Kind::State(proto::Batch {
            records: vec![encode_record(claims), encode_record(config)],
            ..proto::Batch::default()
        }),
        Message::Handover(handover) => Kind::Handover(encode_handover(handover)),
        Message::ConsentRequest { target, asked_ms } => Kind::ConsentRequest(proto::Consent {
            target: Some(encode_member(*target)),
            asked_ms: *asked_ms,
        }),
        Message::Consent { target, asked_ms } => Kind::Consent(proto::Consent {
            target: Some(encode_member(*target)),
            asked_ms: *asked_ms,
        }),
        Message::NotOwner { cell, request } => Kind::NotOwner(slot(*cell, *request)),
        Message::GrantRequest {
            cell,
            request,
            begin_in_ms,
        } => Kind::GrantRequest(proto::SlotMessage {
            value: *begin_in_ms,
            ..slot(*cell, *request)
        }),
        Message::GrantResponse {
            cell,
            request,
            verdict,
            free,
        } => encode_grant_answer(*cell, *request, verdict, *free),
        Message::GrantCancel { cell, request } => Kind::GrantCancel(slot(*cell, *request)),
        Message::Release {
            cell,
            grant,
            request,
            ended,
            next,
        } => Kind::Release(proto::SlotMessage {
            grant: *grant,
            ended: Some(encode_ended(*ended)),
            next: *next,
            ..slot(*cell, *request)
        }),
        Message::IntentRequest {
            cell,
            request,
            identity,
            fingerprint,
        } => Kind::IntentRequest(proto::IntentMessage {
            cell: Some(encode_cell(*cell)),
            request: *request,
            intent: Some(encode_intent(*identity, *fingerprint)),
            verdict: None,
            was_admitted: false,
        }),
        Message::IntentResponse { request, verdict } => {
            Kind::IntentResponse(proto::IntentMessage {
                request: *request,
                verdict: Some(encode_intent_verdict(*verdict)),
                ..proto::IntentMessage::default()
            })
        }
        Message::IntentOutcome {
            cell,
            request,
            identity,
            was_admitted,
            outcome,
            status,
        } => Kind::IntentOutcome(proto::IntentMessage {
            request: *request,
            was_admitted: *was_admitted,
            cell: Some(encode_cell(*cell)),
            intent: Some(proto::Intent {
                outcome: encode_outcome(*outcome),
                status: u32::from(*status),
                ..encode_intent(*identity, 0)
            }),
            ..proto::IntentMessage::default()
        }),
        Message::JobRequest {
            cell,
            request,
            spec,
        } => Kind::JobRequest(proto::JobMessage {
            cell: Some(encode_cell(*cell)),
            request: *request,
            spec: Some(encode_spec(spec)),
            verdict: None,
        }),
        Message::JobResponse { request, verdict } => Kind::JobResponse(proto::JobMessage {
            request: *request,
            verdict: Some(encode_job_verdict(*verdict)),
            ..proto::JobMessage::default()
        }),
        Message::Reserve {
            home,
            cell,
            order,
            is_urgent,
        } => Kind::Reserve(proto::TaskMessage {
            home: Some(encode_cell(*home)),
            cell: Some(encode_cell(*cell)),
            order: Some(encode_order(order)),
            flag: *is_urgent,
            ..proto::TaskMessage::default()
        }),
        Message::Start {
            home,
            cell,
            order,
            is_urgent,
            is_repeat,
        } => Kind::Start(proto::TaskMessage {
            home: Some(encode_cell(*home)),
            cell: Some(encode_cell(*cell)),
            order: Some(encode_order(order)),
            flag: *is_urgent,
            is_repeat: *is_repeat,
            ..proto::TaskMessage::default()
        }),
        Message::Reserved {
            home,
            cell,
            attempt,
            is_held,
            free_millicores,
        } => Kind::Reserved(proto::TaskMessage {
            home: Some(encode_cell(*home)),
            cell: Some(encode_cell(*cell)),
            attempt: Some(encode_attempt(attempt)),
            flag: *is_held,
            free: *free_millicores,
            ..proto::TaskMessage::default()
        }),
        Message::Unreserve { cell, attempt } => Kind::Unreserve(proto::TaskMessage {
            cell: Some(encode_cell(*cell)),
            attempt: Some(encode_attempt(attempt)),
            ..proto::TaskMessage::default()
        }),
        Message::TaskUpdateRecorded { cell, attempt } => {
            Kind::TaskUpdateRecorded(proto::TaskMessage {
                cell: Some(encode_cell(*cell)),
                attempt: Some(encode_attempt(attempt)),
                ..proto::TaskMessage::default()
            })
        }
        Message::TaskUpdate {
            home,
            cell,
            attempt,
            end,
        } => Kind::TaskUpdate(proto::TaskMessage {
            home: Some(encode_cell(*home)),
            cell: Some(encode_cell(*cell)),
            attempt: Some(encode_attempt(attempt)),
            end: end.map(encode_task_end),
            ..proto::TaskMessage::default()
        }),
    }
}

fn encode_handover(handover: &Handover) -> proto::Handover {
    let mut cells = Vec::new();
    for keys in &handover.keys {
        cells.push(proto::HandedOverCell {
            cell: Some(encode_cell(Cell::Keys(keys.number))),
            term: keys.term.0,
            count: keys.sequence,
            records: keys.records.iter().map(encode_record).collect(),
        });
    }
    for (number, term, calls) in &handover.workers {
        cells.push(proto::HandedOverCell {
            cell: Some(encode_cell(Cell::Workers(*number))),
            term: term.0,
            count: *calls,
            records: Vec::new(),
        });
    }
    for number in &handover.upstreams {
        cells.push(proto::HandedOverCell {
            cell: Some(encode_cell(Cell::Upstreams(*number))),
            ..proto::HandedOverCell::default()
        });
    }
    proto::Handover {
        member: Some(encode_member(handover.member)),
        cells,
    }
}

fn heartbeat(sent_ms: u64, config_version: u64, flag: bool, alive: u64) -> proto::Heartbeat {
    proto::Heartbeat {
        sent_ms,
        config_version,
        flag,
        alive,
        member: None,
    }
}

fn slot(cell: Cell, request: u64) -> proto::SlotMessage {
    proto::SlotMessage {
        cell: Some(encode_cell(cell)),
        request,
        ..proto::SlotMessage::default()
    }
}

fn encode_grant_answer(cell: Cell, request: u64, verdict: &GrantVerdict, free: u32) -> Kind {
    let base = proto::SlotMessage {
        free,
        ..slot(cell, request)
    };
    match verdict {
        GrantVerdict::Granted {
            grant,
            address,
            waited_ms,
        } => Kind::Granted(proto::SlotMessage {
            grant: *grant,
            value: *waited_ms,
            address: address.to_string(),
            ..base
        }),
        GrantVerdict::Queued => Kind::Queued(base),
        GrantVerdict::Refused { retry_after_ms } => Kind::Refused(proto::SlotMessage {
            value: *retry_after_ms,
            ..base
        }),
    }
}

fn encode_ended(ended: GrantOutcome) -> Tagged {
    match ended {
        GrantOutcome::Answered { latency_ms } => tagged(1, latency_ms),
        GrantOutcome::Failed { latency_ms } => tagged(2, latency_ms),
        GrantOutcome::NotStarted => tagged(3, 0),
        GrantOutcome::Unknown => tagged(4, 0),
        GrantOutcome::Unused => tagged(5, 0),
    }
}

fn encode_task_end(end: TaskEnd) -> Tagged {
    match end {
        TaskEnd::Finished => tagged(1, 0),
        TaskEnd::Failed => tagged(2, 0),
        TaskEnd::Evicted { checkpoint } => tagged(3, checkpoint),
        TaskEnd::NotStarted => tagged(4, 0),
        TaskEnd::Lost => tagged(5, 0),
        TaskEnd::Forgotten => tagged(6, 0),
    }
}

fn encode_intent_verdict(verdict: IntentVerdict) -> Tagged {
    const STATUS_BITS: u32 = 16;
    match verdict {
        IntentVerdict::Proceed => tagged(1, 0),
        IntentVerdict::Pending => tagged(2, 0),
        IntentVerdict::Ended { outcome, status } => {
            let outcome = u64::from(encode_outcome(outcome));
            tagged(3, (outcome << STATUS_BITS) | u64::from(status))
        }
        IntentVerdict::Conflict => tagged(4, 0),
        IntentVerdict::Refused { retry_after_ms } => tagged(5, retry_after_ms),
    }
}

/// Encodes a verdict. The submitter needs to know only whether its job waits, runs or has ended,
/// so other details of the state are left out.
fn encode_job_verdict(verdict: JobVerdict) -> Tagged {
    match verdict {
        JobVerdict::Refused { retry_after_ms } => tagged(1, retry_after_ms),
        JobVerdict::Accepted(JobState::Ended { end, .. }) => tagged(3, encode_job_end(end)),
        JobVerdict::Accepted(JobState::Running { .. }) => tagged(4, 0),
        JobVerdict::Accepted(_) => tagged(2, 0),
    }
}
