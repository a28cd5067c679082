//! Encoding and decoding of batches of records for the log.

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

/// Encodes a batch as the payload of a log record.
pub fn encode_batch(batch: &Batch) -> Vec<u8> {
    proto::Batch {
        term: batch.term.0,
        sequence: batch.sequence,
        records: batch.records.iter().map(encode_record).collect(),
    }
    .encode_to_vec()
}

/// Decodes a batch from the payload of a log record.
///
/// # Errors
///
/// Returns [`WireFault::Malformed`] if the bytes are not a batch, and [`WireFault::Missing`] if a
/// record is of an unknown kind or a field of it is missing or out of range.
pub fn decode_batch(bytes: &[u8]) -> Result<Batch, WireFault> {
    let batch = proto::Batch::decode(bytes)
        .map_err(|error| WireFault::Malformed("reading a batch", error))?;
    Ok(Batch {
        term: Term(batch.term),
        sequence: batch.sequence,
        records: batch
            .records
            .iter()
            .map(decode_record)
            .collect::<DecodeResult<_>>()?,
    })
}

pub(crate) fn encode_record(record: &Record) -> proto::Record {
    let kind = match record {
        Record::Depose { target, voters } => RecordKind::Depose(proto::Depose {
            target: Some(encode_member(*target)),
            voters: encode_members(voters),
        }),
        Record::Claim { member, cells } => RecordKind::Claim(proto::Cells {
            member: Some(encode_member(*member)),
            cells: cells.iter().copied().map(encode_cell).collect(),
            successor: None,
        }),
        Record::Release {
            member,
            cells,
            successor,
        } => RecordKind::Release(proto::Cells {
            member: Some(encode_member(*member)),
            cells: cells.iter().copied().map(encode_cell).collect(),
            successor: successor.map(encode_member),
        }),
        Record::ClaimsSnapshot {
            as_of,
            owners,
            deposed,
        } => RecordKind::ClaimsSnapshot(proto::ClaimsSnapshot {
            as_of: *as_of,
            owners: owners
                .iter()
                .map(|(cell, member, term)| proto::Ownership {
                    cell: Some(encode_cell(*cell)),
                    member: Some(encode_member(*member)),
                    term: term.0,
                })
                .collect(),
            deposed: encode_members(deposed),
        }),
        Record::Config(change) => RecordKind::Config(proto::Config {
            base: change.base,
            id: change.id.to_string(),
            author: change.author.to_string(),
            changes: change.changes.iter().map(encode_change).collect(),
        }),
        Record::ConfigSnapshot {
            as_of,
            version,
            changes,
        } => RecordKind::ConfigSnapshot(proto::ConfigSnapshot {
            as_of: *as_of,
            version: *version,
            changes: changes.iter().map(encode_change).collect(),
        }),
        Record::Open { member } => RecordKind::Open(encode_member(*member)),
        Record::Intent {
            identity,
            fingerprint,
        } => RecordKind::Intent(encode_intent(*identity, *fingerprint)),
        Record::IntentEnded {
            identity,
            outcome,
            status,
        } => RecordKind::IntentEnded(proto::Intent {
            outcome: encode_outcome(*outcome),
            status: u32::from(*status),
            ..encode_intent(*identity, 0)
        }),
        Record::Accepted(spec) => RecordKind::Accepted(encode_spec(spec)),
        Record::Assigned { id, attempt, cell } => {
            RecordKind::Assigned(step(id, *attempt, Some(encode_cell(*cell)), 0))
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
            RecordKind::Ended(step(id, *attempt, None, encode_job_end(*end)))
        }
        Record::Snapshot => RecordKind::Snapshot(proto::Empty {}),
    };
    proto::Record { kind: Some(kind) }
}

/// Creates a step of an attempt without failures and crashes. `value` is the checkpoint or the end
/// of the job.
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

pub(crate) fn decode_record(record: &proto::Record) -> DecodeResult<Record> {
    let record = match require(record.kind.as_ref(), "kind of record")? {
        RecordKind::Depose(depose) => Record::Depose {
            target: decode_member(require(depose.target.as_ref(), "target")?)?,
            voters: decode_members(&depose.voters)?,
        },
        RecordKind::Claim(claim) => Record::Claim {
            member: decode_member(require(claim.member.as_ref(), "member")?)?,
            cells: decode_cells(&claim.cells)?,
        },
        RecordKind::Release(release) => Record::Release {
            member: decode_member(require(release.member.as_ref(), "member")?)?,
            cells: decode_cells(&release.cells)?,
            successor: release.successor.as_ref().map(decode_member).transpose()?,
        },
        RecordKind::ClaimsSnapshot(snapshot) => Record::ClaimsSnapshot {
            as_of: snapshot.as_of,
            owners: snapshot
                .owners
                .iter()
                .map(decode_ownership)
                .collect::<DecodeResult<_>>()?,
            deposed: decode_members(&snapshot.deposed)?,
        },
        RecordKind::Config(config) => Record::Config(ConfigChange {
            base: config.base,
            id: config.id.as_str().into(),
            author: config.author.as_str().into(),
            changes: config.changes.iter().map(decode_change).collect(),
        }),
        RecordKind::ConfigSnapshot(snapshot) => Record::ConfigSnapshot {
            as_of: snapshot.as_of,
            version: snapshot.version,
            changes: snapshot.changes.iter().map(decode_change).collect(),
        },
        RecordKind::Open(member) => Record::Open {
            member: decode_member(member)?,
        },
        RecordKind::Intent(intent) => Record::Intent {
            identity: decode_identity(intent)?,
            fingerprint: intent.fingerprint,
        },
        RecordKind::IntentEnded(intent) => Record::IntentEnded {
            identity: decode_identity(intent)?,
            outcome: decode_outcome(intent.outcome)?,
            status: decode_status(intent.status)?,
        },
        RecordKind::Accepted(spec) => Record::Accepted(decode_spec(spec)),
        RecordKind::Assigned(step) => {
            let attempt = decode_attempt(&step.attempt)?;
            Record::Assigned {
                id: attempt.id,
                attempt: attempt.attempt,
                cell: decode_cell(&step.cell)?,
            }
        }
        RecordKind::Evicted(step) => {
            let attempt = decode_attempt(&step.attempt)?;
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
            let attempt = decode_attempt(&step.attempt)?;
            Record::Ended {
                id: attempt.id,
                attempt: attempt.attempt,
                end: decode_job_end(step.value)?,
            }
        }
        RecordKind::Snapshot(_) => Record::Snapshot,
    };
    Ok(record)
}

fn decode_cells(cells: &[proto::Cell]) -> DecodeResult<Box<[goldcrestway_core::Cell]>> {
    cells
        .iter()
        .map(|cell| decode_cell(&Some(cell.clone())))
        .collect()
}

type Ownership = (goldcrestway_core::Cell, goldcrestway_core::Member, Term);

fn decode_ownership(ownership: &proto::Ownership) -> DecodeResult<Ownership> {
    let cell = decode_cell(&ownership.cell)?;
    let member = decode_member(require(ownership.member.as_ref(), "member")?)?;
    Ok((cell, member, Term(ownership.term)))
}

fn encode_change(change: &Change) -> proto::Section {
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

fn decode_change(section: &proto::Section) -> Change {
    let values = section.values.iter();
    let values = values.map(|(key, value)| (key.as_str().into(), value.as_str().into()));
    Change {
        kind: section.kind.as_str().into(),
        name: section.name.as_str().into(),
        values: (!section.is_removed).then(|| values.collect()),
    }
}
