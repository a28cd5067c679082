//! Batches of records as bytes for the log.

use crate::fault::WireFault;
use crate::parts::*;
use crate::proto;
use crate::proto::RecordKind;
use goldcrestway_core::Batch;
use goldcrestway_core::ConfigChange;
use goldcrestway_core::FailureCounts;
use goldcrestway_core::Record;
use goldcrestway_core::Term;
use goldcrestway_inventory::Change;
use prost::Message;

/// Encodes a batch.
pub fn encode_batch(batch: &Batch) -> Vec<u8> {
    proto::Batch {
        term: batch.term.0,
        sequence: batch.sequence,
        records: batch.records.iter().map(record_out).collect(),
    }
    .encode_to_vec()
}

/// Decodes a batch.
///
/// # Errors
///
/// When the bytes are no batch, or hold a record of an unknown kind.
pub fn decode_batch(bytes: &[u8]) -> Result<Batch, WireFault> {
    let batch = proto::Batch::decode(bytes)
        .map_err(|error| WireFault::Malformed("reading a batch", error))?;
    Ok(Batch {
        term: Term(batch.term),
        sequence: batch.sequence,
        records: batch.records.iter().map(record_in).collect::<Read<_>>()?,
    })
}

pub(crate) fn record_out(record: &Record) -> proto::Record {
    let kind = match record {
        Record::Depose { target, voters } => RecordKind::Depose(proto::Depose {
            target: Some(member_out(*target)),
            voters: members_out(voters),
        }),
        Record::Claim { member, cells } => RecordKind::Claim(proto::Cells {
            member: Some(member_out(*member)),
            cells: cells.iter().copied().map(cell_out).collect(),
            successor: None,
        }),
        Record::Release {
            member,
            cells,
            successor,
        } => RecordKind::Release(proto::Cells {
            member: Some(member_out(*member)),
            cells: cells.iter().copied().map(cell_out).collect(),
            successor: successor.map(member_out),
        }),
        Record::ClaimsSnapshot {
            as_of,
            owners,
            deposed,
        } => RecordKind::ClaimsCarried(proto::ClaimsCarried {
            as_of: *as_of,
            owners: owners
                .iter()
                .map(|(cell, member, term)| proto::Ownership {
                    cell: Some(cell_out(*cell)),
                    member: Some(member_out(*member)),
                    term: term.0,
                })
                .collect(),
            deposed: members_out(deposed),
        }),
        Record::Config(change) => RecordKind::Config(proto::Config {
            base: change.base,
            id: change.id.to_string(),
            author: change.author.to_string(),
            changes: change.changes.iter().map(change_out).collect(),
        }),
        Record::ConfigSnapshot {
            as_of,
            version,
            changes,
        } => RecordKind::ConfigCarried(proto::ConfigCarried {
            as_of: *as_of,
            version: *version,
            changes: changes.iter().map(change_out).collect(),
        }),
        Record::Open { member } => RecordKind::Open(member_out(*member)),
        Record::Intent {
            identity,
            fingerprint,
        } => RecordKind::Intent(intent_out(*identity, *fingerprint)),
        Record::IntentEnded {
            identity,
            outcome,
            status,
        } => RecordKind::IntentEnded(proto::Intent {
            outcome: outcome_out(*outcome),
            status: u32::from(*status),
            ..intent_out(*identity, 0)
        }),
        Record::Accepted(spec) => RecordKind::Accepted(spec_out(spec)),
        Record::Assigned { id, attempt, cell } => {
            RecordKind::Assigned(step(id, *attempt, Some(cell_out(*cell)), 0))
        }
        Record::Evicted {
            id,
            attempt,
            checkpoint,
            failure_counts,
        } => RecordKind::Evicted(proto::Step {
            failures: failure_counts.failures,
            crashes: failure_counts.crashes,
            ..step(id, *attempt, None, *checkpoint)
        }),
        Record::Ended { id, attempt, end } => {
            RecordKind::Ended(step(id, *attempt, None, job_end_out(*end)))
        }
        Record::Snapshot => RecordKind::Carried(proto::Empty {}),
    };
    proto::Record { kind: Some(kind) }
}

fn step(id: &str, attempt: u32, cell: Option<proto::Cell>, value: u64) -> proto::Step {
    proto::Step {
        attempt: Some(proto::Attempt {
            id: id.into(),
            attempt,
        }),
        cell,
        value,
        ..proto::Step::default()
    }
}

pub(crate) fn record_in(record: &proto::Record) -> Read<Record> {
    let record = match need(record.kind.as_ref(), "kind of record")? {
        RecordKind::Depose(depose) => Record::Depose {
            target: member_in(need(depose.target.as_ref(), "target")?)?,
            voters: members_in(&depose.voters)?,
        },
        RecordKind::Claim(claim) => Record::Claim {
            member: member_in(need(claim.member.as_ref(), "member")?)?,
            cells: cells_in(&claim.cells)?,
        },
        RecordKind::Release(release) => Record::Release {
            member: member_in(need(release.member.as_ref(), "member")?)?,
            cells: cells_in(&release.cells)?,
            successor: release.successor.as_ref().map(member_in).transpose()?,
        },
        RecordKind::ClaimsCarried(carried) => Record::ClaimsSnapshot {
            as_of: carried.as_of,
            owners: carried
                .owners
                .iter()
                .map(ownership_in)
                .collect::<Read<_>>()?,
            deposed: members_in(&carried.deposed)?,
        },
        RecordKind::Config(config) => Record::Config(ConfigChange {
            base: config.base,
            id: config.id.as_str().into(),
            author: config.author.as_str().into(),
            changes: config.changes.iter().map(change_in).collect(),
        }),
        RecordKind::ConfigCarried(carried) => Record::ConfigSnapshot {
            as_of: carried.as_of,
            version: carried.version,
            changes: carried.changes.iter().map(change_in).collect(),
        },
        RecordKind::Open(member) => Record::Open {
            member: member_in(member)?,
        },
        RecordKind::Intent(intent) => Record::Intent {
            identity: identity_in(intent)?,
            fingerprint: intent.fingerprint,
        },
        RecordKind::IntentEnded(intent) => Record::IntentEnded {
            identity: identity_in(intent)?,
            outcome: outcome_in(intent.outcome)?,
            status: status_in(intent.status)?,
        },
        RecordKind::Accepted(spec) => Record::Accepted(spec_in(spec)),
        RecordKind::Assigned(step) => {
            let attempt = attempt_in(&step.attempt)?;
            Record::Assigned {
                id: attempt.id,
                attempt: attempt.attempt,
                cell: cell_in(&step.cell)?,
            }
        }
        RecordKind::Evicted(step) => {
            let attempt = attempt_in(&step.attempt)?;
            Record::Evicted {
                id: attempt.id,
                attempt: attempt.attempt,
                checkpoint: step.value,
                failure_counts: FailureCounts {
                    failures: step.failures,
                    crashes: step.crashes,
                },
            }
        }
        RecordKind::Ended(step) => {
            let attempt = attempt_in(&step.attempt)?;
            Record::Ended {
                id: attempt.id,
                attempt: attempt.attempt,
                end: job_end_in(step.value)?,
            }
        }
        RecordKind::Carried(_) => Record::Snapshot,
    };
    Ok(record)
}

fn cells_in(cells: &[proto::Cell]) -> Read<Box<[goldcrestway_core::Cell]>> {
    cells
        .iter()
        .map(|cell| cell_in(&Some(cell.clone())))
        .collect()
}

type Ownership = (goldcrestway_core::Cell, goldcrestway_core::Member, Term);

fn ownership_in(ownership: &proto::Ownership) -> Read<Ownership> {
    let cell = cell_in(&ownership.cell)?;
    let member = member_in(need(ownership.member.as_ref(), "member")?)?;
    Ok((cell, member, Term(ownership.term)))
}

fn change_out(change: &Change) -> proto::Section {
    let values = change.values.iter().flatten();
    proto::Section {
        kind: change.kind.to_string(),
        name: change.name.to_string(),
        is_removed: change.values.is_none(),
        values: values
            .map(|(key, value)| (key.to_string(), value.to_string()))
            .collect(),
    }
}

fn change_in(section: &proto::Section) -> Change {
    let values = section.values.iter();
    let values = values.map(|(key, value)| (key.as_str().into(), value.as_str().into()));
    Change {
        kind: section.kind.as_str().into(),
        name: section.name.as_str().into(),
        values: (!section.is_removed).then(|| values.collect()),
    }
}
