//! Messages as kinds of frames.

use crate::parts::attempt_out;
use crate::parts::cell_out;
use crate::parts::intent_out;
use crate::parts::job_end_out;
use crate::parts::member_out;
use crate::parts::members_out;
use crate::parts::order_out;
use crate::parts::outcome_out;
use crate::parts::spec_out;
use crate::parts::tagged;
use crate::proto;
use crate::proto::Kind;
use crate::proto::Tagged;
use crate::record::record_out;
use goldcrestway_core::Cell;
use goldcrestway_core::GrantOutcome;
use goldcrestway_core::GrantVerdict;
use goldcrestway_core::Handover;
use goldcrestway_core::IntentVerdict;
use goldcrestway_core::JobState;
use goldcrestway_core::JobVerdict;
use goldcrestway_core::Message;
use goldcrestway_core::TaskEnd;

/// Turns a message into the kind that a frame carries.
pub fn encode_message(message: &Message) -> Kind {
    match message {
        Message::Heartbeat {
            member,
            sent_ms,
            config_version,
            is_leaving,
        } => Kind::Heartbeat(proto::Heartbeat {
            life: Some(member_out(*member)),
            ..heartbeat(*sent_ms, *config_version, *is_leaving, 0)
        }),
        Message::LeaseVote {
            member,
            sent_ms,
            is_granted,
            config_version,
            alive,
        } => Kind::Promise(proto::Heartbeat {
            life: Some(member_out(*member)),
            ..heartbeat(*sent_ms, *config_version, *is_granted, *alive)
        }),
        Message::AliveRequest => Kind::AliveAsk(proto::Empty {}),
        Message::Alive {
            digest,
            members,
            inherited,
        } => Kind::Alive(proto::Alive {
            digest: *digest,
            members: members_out(members),
            carried: inherited
                .iter()
                .map(|(life, seat)| proto::CarriedLife {
                    life: Some(member_out(*life)),
                    seat: u32::from(seat.0),
                })
                .collect(),
        }),
        Message::StateRequest => Kind::StateAsk(proto::Empty {}),
        Message::State { claims, config } => Kind::State(proto::Batch {
            records: vec![record_out(claims), record_out(config)],
            ..proto::Batch::default()
        }),
        Message::Handover(handover) => Kind::Handover(handover_out(handover)),
        Message::ConsentRequest { target, asked_ms } => Kind::ConsentAsk(proto::Consent {
            target: Some(member_out(*target)),
            asked_ms: *asked_ms,
        }),
        Message::Consent { target, asked_ms } => Kind::Consent(proto::Consent {
            target: Some(member_out(*target)),
            asked_ms: *asked_ms,
        }),
        Message::NotOwner { cell, request } => Kind::NotOwner(slot(*cell, *request)),
        Message::GrantRequest {
            cell,
            request,
            begin_in_ms,
        } => Kind::GrantAsk(proto::Slot {
            value: *begin_in_ms,
            ..slot(*cell, *request)
        }),
        Message::GrantResponse {
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
        Message::IntentRequest {
            cell,
            request,
            identity,
            fingerprint,
        } => Kind::IntentAsk(proto::IntentTalk {
            cell: Some(cell_out(*cell)),
            request: *request,
            intent: Some(intent_out(*identity, *fingerprint)),
            verdict: None,
            was_admitted: false,
        }),
        Message::IntentResponse { request, verdict } => Kind::IntentAnswer(proto::IntentTalk {
            request: *request,
            verdict: Some(intent_verdict_out(*verdict)),
            ..proto::IntentTalk::default()
        }),
        Message::IntentOutcome {
            cell,
            request,
            identity,
            was_admitted,
            outcome,
            status,
        } => Kind::IntentEnd(proto::IntentTalk {
            request: *request,
            was_admitted: *was_admitted,
            cell: Some(cell_out(*cell)),
            intent: Some(proto::Intent {
                outcome: outcome_out(*outcome),
                status: u32::from(*status),
                ..intent_out(*identity, 0)
            }),
            ..proto::IntentTalk::default()
        }),
        Message::JobRequest {
            cell,
            request,
            spec,
        } => Kind::JobAsk(proto::JobTalk {
            cell: Some(cell_out(*cell)),
            request: *request,
            spec: Some(spec_out(spec)),
            verdict: None,
        }),
        Message::JobResponse { request, verdict } => Kind::JobAnswer(proto::JobTalk {
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
        Message::TaskUpdateRecorded { cell, attempt } => Kind::ReportNoted(proto::TaskTalk {
            cell: Some(cell_out(*cell)),
            attempt: Some(attempt_out(attempt)),
            ..proto::TaskTalk::default()
        }),
        Message::TaskUpdate {
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
        life: Some(member_out(handover.member)),
        cells,
    }
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

fn ended_out(ended: GrantOutcome) -> Tagged {
    match ended {
        GrantOutcome::Answered { latency_ms } => tagged(1, latency_ms),
        GrantOutcome::Failed { latency_ms } => tagged(2, latency_ms),
        GrantOutcome::NotStarted => tagged(3, 0),
        GrantOutcome::Unknown => tagged(4, 0),
        GrantOutcome::Unused => tagged(5, 0),
    }
}

fn task_end_out(end: TaskEnd) -> Tagged {
    match end {
        TaskEnd::Finished => tagged(1, 0),
        TaskEnd::Failed => tagged(2, 0),
        TaskEnd::Evicted { checkpoint } => tagged(3, checkpoint),
        TaskEnd::NotStarted => tagged(4, 0),
        TaskEnd::Lost => tagged(5, 0),
        TaskEnd::Forgotten => tagged(6, 0),
    }
}

fn intent_verdict_out(verdict: IntentVerdict) -> Tagged {
    const STATUS_BITS: u32 = 16;
    match verdict {
        IntentVerdict::Proceed => tagged(1, 0),
        IntentVerdict::Pending => tagged(2, 0),
        IntentVerdict::Ended { outcome, status } => {
            let outcome = u64::from(outcome_out(outcome));
            tagged(3, (outcome << STATUS_BITS) | u64::from(status))
        }
        IntentVerdict::Conflict => tagged(4, 0),
        IntentVerdict::Refused { retry_after_ms } => tagged(5, retry_after_ms),
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
