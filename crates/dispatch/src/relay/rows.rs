//! Conversion of orders and their outcomes to rows of frames and back.

use crate::event::ExitReason;
use crate::event::OrderOutcome;
use crate::event::Refusal;
use crate::event::RunExit;
use crate::event::RunReport;
use crate::event::WorkerCall;
use crate::event::WorkerReport;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::relay::frames::ExitReasonKind;
use crate::relay::frames::OrderKind;
use crate::relay::frames::OrderOutcomeRow;
use crate::relay::frames::OrderRow;
use crate::relay::frames::OutcomeKind;
use crate::relay::frames::RunExitRow;
use crate::relay::frames::RunReportRow;
use crate::relay::frames::TaskRow;
use crate::relay::frames::WorkerReportRow;
use std::rc::Rc;

fn task_row(task: TaskId) -> Option<TaskRow> {
    Some(TaskRow {
        job: task.job.0,
        occurrence: task.occurrence,
        step: u32::from(task.step),
        index: u32::from(task.index),
    })
}

/// Decodes the identity of a task; `None` if it is missing or out of range.
fn task(row: Option<TaskRow>) -> Option<TaskId> {
    let row = row?;
    Some(TaskId {
        job: JobId(row.job),
        occurrence: row.occurrence,
        step: row.step.try_into().ok()?,
        index: row.index.try_into().ok()?,
    })
}

/// Encodes an order.
pub(super) fn order_row(ticket: u64, worker: u32, call: &WorkerCall, timeout_ms: u64) -> OrderRow {
    let row = OrderRow {
        ticket,
        worker,
        timeout_ms: timeout_ms as u32,
        ..OrderRow::default()
    };
    match call {
        WorkerCall::Poll {
            acknowledged_exit,
            lease_until_ms,
            wait_ms,
        } => OrderRow {
            kind: OrderKind::Poll as i32,
            acknowledged_exit: *acknowledged_exit,
            lease_until_ms: lease_until_ms.unwrap_or(0),
            wait_ms: *wait_ms as u32,
            ..row
        },
        WorkerCall::Start {
            task,
            run,
            lease_until_ms,
            checkpoint,
            permit,
            ..
        } => OrderRow {
            kind: OrderKind::Start as i32,
            task: task_row(*task),
            run: *run,
            lease_until_ms: *lease_until_ms,
            checkpoint: checkpoint.to_string(),
            permit: permit.to_string(),
            ..row
        },
        WorkerCall::Stop { task, run } => OrderRow {
            kind: OrderKind::Stop as i32,
            task: task_row(*task),
            run: *run,
            ..row
        },
        WorkerCall::SetShare { task, run, percent } => OrderRow {
            kind: OrderKind::SetShare as i32,
            task: task_row(*task),
            run: *run,
            percent: *percent,
            ..row
        },
    }
}

/// Decodes an order. An order to start gets the text that `text_of` returns for its job. Returns
/// `None` if the order can't be carried out: it is malformed, or the text is missing.
pub(super) fn order_call(
    row: &OrderRow,
    text_of: impl FnOnce(JobId) -> Option<Rc<str>>,
) -> Option<WorkerCall> {
    let call = match OrderKind::try_from(row.kind).ok()? {
        OrderKind::Poll => WorkerCall::Poll {
            acknowledged_exit: row.acknowledged_exit,
            lease_until_ms: (row.lease_until_ms > 0).then_some(row.lease_until_ms),
            wait_ms: u64::from(row.wait_ms),
        },
        OrderKind::Start => {
            let task = task(row.task)?;
            WorkerCall::Start {
                task,
                run: row.run,
                specification: text_of(task.job)?,
                lease_until_ms: row.lease_until_ms,
                checkpoint: row.checkpoint.as_str().into(),
                permit: row.permit.as_str().into(),
            }
        }
        OrderKind::Stop => WorkerCall::Stop {
            task: task(row.task)?,
            run: row.run,
        },
        OrderKind::SetShare => WorkerCall::SetShare {
            task: task(row.task)?,
            run: row.run,
            percent: row.percent,
        },
    };
    Some(call)
}

/// Encodes the outcome of an order.
pub(super) fn outcome_row(ticket: u64, outcome: &OrderOutcome) -> OrderOutcomeRow {
    let (kind, clock_ms, report) = match outcome {
        OrderOutcome::Done { clock_ms, report } => {
            (OutcomeKind::Done, *clock_ms, report.as_ref().map(to_row))
        }
        OrderOutcome::Refused(refusal) => (refusal_kind(*refusal), 0, None),
        OrderOutcome::NotSent => (OutcomeKind::NotSent, 0, None),
        OrderOutcome::Unknown => (OutcomeKind::Unknown, 0, None),
    };
    OrderOutcomeRow {
        ticket,
        kind: kind as i32,
        clock_ms,
        report,
    }
}

fn refusal_kind(refusal: Refusal) -> OutcomeKind {
    match refusal {
        Refusal::Fence => OutcomeKind::Fence,
        Refusal::Old => OutcomeKind::Old,
        Refusal::Late => OutcomeKind::Late,
        Refusal::Room => OutcomeKind::Room,
        Refusal::Gone => OutcomeKind::Gone,
        Refusal::Unwell => OutcomeKind::Unwell,
        Refusal::Permit => OutcomeKind::Permit,
        Refusal::Faulty => OutcomeKind::Faulty,
    }
}

/// Decodes the outcome of an order.
pub(super) fn order_outcome(row: OrderOutcomeRow) -> OrderOutcome {
    match row.kind() {
        OutcomeKind::Unknown => OrderOutcome::Unknown,
        OutcomeKind::NotSent => OrderOutcome::NotSent,
        OutcomeKind::Done => OrderOutcome::Done {
            clock_ms: row.clock_ms,
            report: row.report.map(report),
        },
        OutcomeKind::Fence => OrderOutcome::Refused(Refusal::Fence),
        OutcomeKind::Old => OrderOutcome::Refused(Refusal::Old),
        OutcomeKind::Late => OrderOutcome::Refused(Refusal::Late),
        OutcomeKind::Room => OrderOutcome::Refused(Refusal::Room),
        OutcomeKind::Gone => OrderOutcome::Refused(Refusal::Gone),
        OutcomeKind::Unwell => OrderOutcome::Refused(Refusal::Unwell),
        OutcomeKind::Permit => OrderOutcome::Refused(Refusal::Permit),
        OutcomeKind::Faulty => OrderOutcome::Refused(Refusal::Faulty),
    }
}

fn to_row(report: &WorkerReport) -> WorkerReportRow {
    let mut rows = WorkerReportRow {
        started_wall_ms: report.incarnation.started_wall_ms(),
        has_more_exits: Some(report.has_more_exits),
        ..WorkerReportRow::default()
    };
    for run in &report.runs {
        rows.runs.push(RunReportRow {
            task: task_row(run.task),
            run: run.run,
            percent: run.percent,
            gauge: run.gauge,
            checkpoint: run.checkpoint.to_string(),
        });
    }
    for exit in &report.exits {
        rows.exits.push(RunExitRow {
            number: exit.number,
            task: task_row(exit.task),
            run: exit.run,
            exit_reason: exit_reason_kind(exit.exit_reason) as i32,
            checkpoint: exit.checkpoint.to_string(),
        });
    }
    rows
}

fn report(rows: WorkerReportRow) -> WorkerReport {
    // A relay of an earlier release does not say so. If no exit is listed, none can follow.
    let has_more_exits = rows.has_more_exits.unwrap_or(!rows.exits.is_empty());
    let mut report = WorkerReport {
        incarnation: rows.started_wall_ms.into(),
        has_more_exits,
        runs: Vec::with_capacity(rows.runs.len()),
        exits: Vec::with_capacity(rows.exits.len()),
    };
    for row in rows.runs {
        // A run with an invalid task identity was not started by an owner.
        let Some(task) = task(row.task) else {
            continue;
        };
        report.runs.push(RunReport {
            task,
            run: row.run,
            checkpoint: row.checkpoint.into(),
            percent: row.percent,
            gauge: row.gauge,
        });
    }
    for row in rows.exits {
        let exit_reason = exit_reason(row.exit_reason());
        let Some(task) = task(row.task) else {
            continue;
        };
        report.exits.push(RunExit {
            number: row.number,
            task,
            run: row.run,
            exit_reason,
            checkpoint: row.checkpoint.into(),
        });
    }
    report
}

fn exit_reason_kind(exit_reason: ExitReason) -> ExitReasonKind {
    match exit_reason {
        ExitReason::Done => ExitReasonKind::Done,
        ExitReason::Failed => ExitReasonKind::Failed,
        ExitReason::Stopped => ExitReasonKind::Stopped,
        ExitReason::Lapsed => ExitReasonKind::Lapsed,
        ExitReason::Broken => ExitReasonKind::Broken,
        ExitReason::Alone => ExitReasonKind::Alone,
    }
}

fn exit_reason(kind: ExitReasonKind) -> ExitReason {
    match kind {
        ExitReasonKind::Done => ExitReason::Done,
        ExitReasonKind::Failed => ExitReason::Failed,
        ExitReasonKind::Stopped => ExitReason::Stopped,
        ExitReasonKind::Lapsed => ExitReason::Lapsed,
        ExitReasonKind::Broken => ExitReason::Broken,
        ExitReasonKind::Alone => ExitReason::Alone,
    }
}
