//! Orders and their ends as rows of frames, and back.

use crate::event::Listed;
use crate::event::ListedEnd;
use crate::event::ListedRun;
use crate::event::Manner;
use crate::event::OrderEnd;
use crate::event::Refusal;
use crate::event::WorkerCall;
use crate::ids::JobId;
use crate::ids::TaskId;
use crate::relay::frames::EndKind;
use crate::relay::frames::ListedRows;
use crate::relay::frames::MannerKind;
use crate::relay::frames::OrderEndRow;
use crate::relay::frames::OrderKind;
use crate::relay::frames::OrderRow;
use crate::relay::frames::RunEndRow;
use crate::relay::frames::RunRow;
use crate::relay::frames::TaskRow;
use std::rc::Rc;

fn task_row(task: TaskId) -> Option<TaskRow> {
    Some(TaskRow {
        job: task.job.0,
        occurrence: task.occurrence,
        step: u32::from(task.step),
        index: u32::from(task.index),
    })
}

/// Reads the name of a task; `None` if it is missing, or none that a task can have.
fn task(row: Option<TaskRow>) -> Option<TaskId> {
    let row = row?;
    Some(TaskId {
        job: JobId(row.job),
        occurrence: row.occurrence,
        step: row.step.try_into().ok()?,
        index: row.index.try_into().ok()?,
    })
}

/// Makes the row of an order.
pub(super) fn order_row(ticket: u64, worker: u32, call: &WorkerCall, timeout_ms: u64) -> OrderRow {
    let row = OrderRow {
        ticket,
        worker,
        timeout_ms: timeout_ms as u32,
        ..OrderRow::default()
    };
    match call {
        WorkerCall::Look {
            seen,
            lease_until_ms,
            wait_ms,
        } => OrderRow {
            kind: OrderKind::Look as i32,
            seen: *seen,
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
        WorkerCall::Pace { task, run, percent } => OrderRow {
            kind: OrderKind::Pace as i32,
            task: task_row(*task),
            run: *run,
            percent: *percent,
            ..row
        },
    }
}

/// Reads an order. An order to start has the text that `text_of` gives for its job; without one
/// it can't be carried out.
pub(super) fn order_call(
    row: &OrderRow,
    text_of: impl FnOnce(JobId) -> Option<Rc<str>>,
) -> Option<WorkerCall> {
    let call = match OrderKind::try_from(row.kind).ok()? {
        OrderKind::Look => WorkerCall::Look {
            seen: row.seen,
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
        OrderKind::Pace => WorkerCall::Pace {
            task: task(row.task)?,
            run: row.run,
            percent: row.percent,
        },
    };
    Some(call)
}

/// Makes the row of an order's end.
pub(super) fn end_row(ticket: u64, end: &OrderEnd) -> OrderEndRow {
    let (kind, clock_ms, listed) = match end {
        OrderEnd::Done { clock_ms, listed } => {
            (EndKind::Done, *clock_ms, listed.as_ref().map(listed_rows))
        }
        OrderEnd::Refused(refusal) => (refusal_kind(*refusal), 0, None),
        OrderEnd::NotSent => (EndKind::NotSent, 0, None),
        OrderEnd::Unknown => (EndKind::Unknown, 0, None),
    };
    OrderEndRow {
        ticket,
        kind: kind as i32,
        clock_ms,
        listed,
    }
}

fn refusal_kind(refusal: Refusal) -> EndKind {
    match refusal {
        Refusal::Fence => EndKind::Fence,
        Refusal::Old => EndKind::Old,
        Refusal::Late => EndKind::Late,
        Refusal::Room => EndKind::Room,
        Refusal::Gone => EndKind::Gone,
        Refusal::Unwell => EndKind::Unwell,
        Refusal::Permit => EndKind::Permit,
        Refusal::Faulty => EndKind::Faulty,
    }
}

/// Reads an order's end.
pub(super) fn order_end(row: OrderEndRow) -> OrderEnd {
    match row.kind() {
        EndKind::Unknown => OrderEnd::Unknown,
        EndKind::NotSent => OrderEnd::NotSent,
        EndKind::Done => OrderEnd::Done {
            clock_ms: row.clock_ms,
            listed: row.listed.map(listed),
        },
        EndKind::Fence => OrderEnd::Refused(Refusal::Fence),
        EndKind::Old => OrderEnd::Refused(Refusal::Old),
        EndKind::Late => OrderEnd::Refused(Refusal::Late),
        EndKind::Room => OrderEnd::Refused(Refusal::Room),
        EndKind::Gone => OrderEnd::Refused(Refusal::Gone),
        EndKind::Unwell => OrderEnd::Refused(Refusal::Unwell),
        EndKind::Permit => OrderEnd::Refused(Refusal::Permit),
        EndKind::Faulty => OrderEnd::Refused(Refusal::Faulty),
    }
}

fn listed_rows(listed: &Listed) -> ListedRows {
    let mut rows = ListedRows {
        started_wall_ms: listed.incarnation.started_wall_ms(),
        ..ListedRows::default()
    };
    for run in &listed.runs {
        rows.runs.push(RunRow {
            task: task_row(run.task),
            run: run.run,
            percent: run.percent,
            gauge: run.gauge,
            checkpoint: run.checkpoint.to_string(),
        });
    }
    for end in &listed.ends {
        rows.ends.push(RunEndRow {
            number: end.number,
            task: task_row(end.task),
            run: end.run,
            manner: manner_kind(end.manner) as i32,
            checkpoint: end.checkpoint.to_string(),
        });
    }
    rows
}

fn listed(rows: ListedRows) -> Listed {
    let mut listed = Listed {
        incarnation: rows.started_wall_ms.into(),
        runs: Vec::with_capacity(rows.runs.len()),
        ends: Vec::with_capacity(rows.ends.len()),
    };
    for row in rows.runs {
        // A name that is none of ours can't be a run of ours.
        let Some(task) = task(row.task) else {
            continue;
        };
        listed.runs.push(ListedRun {
            task,
            run: row.run,
            checkpoint: row.checkpoint.into(),
            percent: row.percent,
            gauge: row.gauge,
        });
    }
    for row in rows.ends {
        let manner = manner(row.manner());
        let Some(task) = task(row.task) else {
            continue;
        };
        listed.ends.push(ListedEnd {
            number: row.number,
            task,
            run: row.run,
            manner,
            checkpoint: row.checkpoint.into(),
        });
    }
    listed
}

fn manner_kind(manner: Manner) -> MannerKind {
    match manner {
        Manner::Done => MannerKind::Done,
        Manner::Failed => MannerKind::Failed,
        Manner::Stopped => MannerKind::Stopped,
        Manner::Lapsed => MannerKind::Lapsed,
        Manner::Broken => MannerKind::Broken,
        Manner::Alone => MannerKind::Alone,
    }
}

fn manner(kind: MannerKind) -> Manner {
    match kind {
        MannerKind::Done => Manner::Done,
        MannerKind::Failed => Manner::Failed,
        MannerKind::Stopped => Manner::Stopped,
        MannerKind::Lapsed => Manner::Lapsed,
        MannerKind::Broken => Manner::Broken,
        MannerKind::Alone => Manner::Alone,
    }
}
