//! Tests of the wire format: messages and records survive encoding and decoding, and invalid bytes
//! are rejected.

use bytes::BytesMut;
use goldcrestway_core::AttemptId;
use goldcrestway_core::Batch;
use goldcrestway_core::Cell;
use goldcrestway_core::ConfigChange;
use goldcrestway_core::FailureCounts;
use goldcrestway_core::GrantOutcome;
use goldcrestway_core::GrantVerdict;
use goldcrestway_core::Handover;
use goldcrestway_core::IntentVerdict;
use goldcrestway_core::JobEnd;
use goldcrestway_core::JobSpec;
use goldcrestway_core::JobState;
use goldcrestway_core::JobVerdict;
use goldcrestway_core::KeyHandover;
use goldcrestway_core::Member;
use goldcrestway_core::Message;
use goldcrestway_core::Outcome;
use goldcrestway_core::Record;
use goldcrestway_core::Seat;
use goldcrestway_core::TaskEnd;
use goldcrestway_core::TaskOrder;
use goldcrestway_core::Term;
use goldcrestway_inventory::Change;
use goldcrestway_inventory::Resources;
use goldcrestway_wire::Envelope;
use goldcrestway_wire::FrameCodec;
use goldcrestway_wire::MAX_FRAME_BYTES;
use goldcrestway_wire::WireFault;
use goldcrestway_wire::decode_batch;
use goldcrestway_wire::encode_batch;
use googletest::prelude::*;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

fn member() -> Member {
    Member {
        seat: Seat(3),
        incarnation: 99,
    }
}

fn attempt() -> AttemptId {
    AttemptId {
        id: "night/roster-1".into(),
        attempt: 4,
    }
}

fn order() -> TaskOrder {
    TaskOrder {
        attempt: attempt(),
        job: "roster".into(),
        need: Resources {
            millicores: 500,
            memory_mb: 16_000,
            accelerators: 1,
        },
        checkpoint: 77,
    }
}

fn spec() -> JobSpec {
    JobSpec {
        id: "night/roster-1".into(),
        job: "roster".into(),
        team: "night".into(),
    }
}

const HOME: Cell = Cell::Keys(7);
const WORKERS: Cell = Cell::Workers(u64::MAX);
const UPSTREAMS: Cell = Cell::Upstreams(12);

fn handover() -> Handover {
    let keys = KeyHandover {
        number: 3,
        term: Term(8),
        sequence: 5,
        records: records().into(),
    };
    Handover {
        member: member(),
        keys: Box::new([keys]),
        workers: Box::new([(7, Term(2), 44)]),
        upstreams: Box::new([u64::MAX]),
    }
}

fn messages() -> Vec<Message> {
    let cell = UPSTREAMS;
    let mut messages = vec![
        Message::Heartbeat {
            member: member(),
            sent_ms: 1,
            config_version: 2,
            is_leaving: true,
        },
        Message::LeaseVote {
            member: member(),
            sent_ms: 1,
            is_granted: true,
            config_version: 2,
            alive: 3,
        },
        Message::AliveRequest,
        Message::Alive {
            digest: 9,
            members: Box::new([member()]),
            inherited: Box::new([(member(), Seat(9))]),
        },
        Message::StateRequest,
        Message::State {
            claims: records()[4].clone(),
            config: records()[6].clone(),
        },
        Message::Handover(handover()),
        Message::ConsentRequest {
            target: member(),
            asked_ms: 5,
        },
        Message::Consent {
            target: member(),
            asked_ms: 5,
        },
        Message::NotOwner { cell, request: 6 },
        Message::GrantRequest {
            cell,
            request: 6,
            begin_in_ms: 7,
        },
        Message::GrantResponse {
            cell,
            request: 6,
            free: 8,
            verdict: GrantVerdict::Granted {
                grant: 9,
                waited_ms: 3,
                address: "1.2.3.4:5".into(),
            },
        },
        Message::GrantResponse {
            cell,
            request: 6,
            free: 0,
            verdict: GrantVerdict::Refused { retry_after_ms: 10 },
        },
        Message::GrantResponse {
            cell,
            request: 6,
            free: 0,
            verdict: GrantVerdict::Queued,
        },
        Message::GrantCancel { cell, request: 6 },
        Message::IntentRequest {
            cell: HOME,
            request: 6,
            identity: u128::MAX,
            fingerprint: 3,
        },
        Message::IntentOutcome {
            cell: HOME,
            request: 6,
            was_admitted: true,
            identity: 1,
            outcome: Outcome::NotRun,
            status: 0,
        },
        Message::JobRequest {
            cell: HOME,
            request: 6,
            spec: spec(),
        },
        Message::Reserve {
            home: HOME,
            cell: WORKERS,
            order: order(),
            is_urgent: true,
        },
        Message::Reserved {
            home: HOME,
            cell: WORKERS,
            attempt: attempt(),
            is_held: true,
            free_millicores: 5,
        },
        Message::Unreserve {
            cell: WORKERS,
            attempt: attempt(),
        },
        Message::Start {
            home: HOME,
            cell: WORKERS,
            order: order(),
            is_urgent: false,
            is_repeat: true,
        },
        Message::TaskUpdate {
            home: HOME,
            cell: WORKERS,
            attempt: attempt(),
            end: None,
        },
        Message::TaskUpdateRecorded {
            cell: WORKERS,
            attempt: attempt(),
        },
    ];
    let ends = [
        GrantOutcome::Answered { latency_ms: 3 },
        GrantOutcome::Failed { latency_ms: 0 },
        GrantOutcome::NotStarted,
        GrantOutcome::Unknown,
        GrantOutcome::Unused,
    ];
    messages.extend(ends.map(|ended| Message::Release {
        cell,
        grant: 4,
        request: 8,
        ended,
        next: Some(9),
    }));
    let verdicts = [
        IntentVerdict::Proceed,
        IntentVerdict::Pending,
        IntentVerdict::Ended {
            outcome: Outcome::Answered,
            status: 200,
        },
        IntentVerdict::Conflict,
        IntentVerdict::Refused { retry_after_ms: 5 },
    ];
    messages.extend(verdicts.map(|verdict| Message::IntentResponse {
        request: 1,
        verdict,
    }));
    let verdicts = [
        JobVerdict::Accepted(JobState::Queued),
        JobVerdict::Accepted(JobState::Ended {
            end: JobEnd::Failed,
            since_ms: 0,
        }),
        JobVerdict::Refused { retry_after_ms: 5 },
    ];
    messages.extend(verdicts.map(|verdict| Message::JobResponse {
        request: 1,
        verdict,
    }));
    let ends = [
        TaskEnd::Finished,
        TaskEnd::Failed,
        TaskEnd::Evicted { checkpoint: 8 },
        TaskEnd::NotStarted,
        TaskEnd::Lost,
        TaskEnd::Forgotten,
    ];
    messages.extend(ends.map(|end| Message::TaskUpdate {
        home: HOME,
        cell: WORKERS,
        attempt: attempt(),
        end: Some(end),
    }));
    messages
}

fn records() -> Vec<Record> {
    let id: Box<str> = "night/roster-1".into();
    let removal = Change {
        kind: "host".into(),
        name: "w1".into(),
        values: None,
    };
    let values = std::collections::BTreeMap::from([("cores".into(), "16".into())]);
    let update = Change {
        kind: "host".into(),
        name: "w2".into(),
        values: Some(values),
    };
    let empty = Change {
        kind: "team".into(),
        name: "desk".into(),
        values: Some(Default::default()),
    };
    let changes: Box<[Change]> = Box::new([removal, update, empty]);
    let change = ConfigChange {
        base: 4,
        id: "x".into(),
        author: "aino".into(),
        changes: changes.clone(),
    };
    vec![
        Record::Depose {
            target: member(),
            voters: Box::new([member()]),
        },
        Record::Claim {
            member: member(),
            cells: Box::new([HOME, WORKERS, UPSTREAMS]),
        },
        Record::Release {
            member: member(),
            cells: Box::new([HOME]),
            successor: Some(member()),
        },
        Record::Release {
            member: member(),
            cells: Box::new([HOME]),
            successor: None,
        },
        Record::ClaimsSnapshot {
            as_of: 4,
            owners: Box::new([(HOME, member(), Term(3))]),
            deposed: Box::new([member()]),
        },
        Record::Config(change),
        Record::ConfigSnapshot {
            as_of: 3,
            version: 9,
            changes,
        },
        Record::Open { member: member() },
        Record::Intent {
            identity: 1 << 100,
            fingerprint: 5,
        },
        Record::IntentEnded {
            identity: 1 << 100,
            outcome: Outcome::Unknown,
            status: 504,
        },
        Record::Accepted(spec()),
        Record::Assigned {
            id: id.clone(),
            attempt: 2,
            cell: WORKERS,
        },
        Record::Evicted {
            id: id.clone(),
            attempt: 2,
            checkpoint: 44,
            failure_counts: FailureCounts {
                failures: 1,
                crashes: 2,
            },
        },
        Record::Ended {
            id,
            attempt: 2,
            end: JobEnd::Unknown,
        },
        Record::Snapshot,
    ]
}

#[gtest]
fn every_message_survives_encoding_and_decoding() {
    let mut codec = FrameCodec::new("spa");
    let mut bytes = BytesMut::new();
    for message in messages() {
        let envelope = Envelope {
            from: member(),
            clock: 5,
            message,
        };
        codec.encode(&envelope, &mut bytes).expect("it fits");
        expect_that!(
            codec.decode(&mut bytes).expect("sound"),
            some(eq(&envelope))
        );
    }
}

#[gtest]
fn every_record_survives_encoding_and_decoding() {
    let batch = Batch {
        term: Term(8),
        sequence: 3,
        records: records().into(),
    };
    expect_that!(decode_batch(&encode_batch(&batch)), ok(eq(&batch)));
}

/// Guards against accepting frames from a host of another cluster or release, to which a wrong
/// address in the settings can lead, and frames that are oversized or malformed. Such frames close
/// the connection.
#[gtest]
fn foreign_and_malformed_frames_are_rejected() {
    let envelope = Envelope {
        from: member(),
        clock: 5,
        message: Message::AliveRequest,
    };
    let mut bytes = BytesMut::new();
    FrameCodec::new("other")
        .encode(&envelope, &mut bytes)
        .expect("it fits");
    let outcome = FrameCodec::new("spa").decode(&mut bytes);
    expect_true!(matches!(outcome, Err(WireFault::OtherCluster(_))));

    let mut oversized = BytesMut::from(&(MAX_FRAME_BYTES as u32 + 1).to_be_bytes()[..]);
    let outcome = FrameCodec::new("spa").decode(&mut oversized);
    expect_true!(matches!(outcome, Err(WireFault::TooLarge)));

    let mut malformed = BytesMut::from(&[0, 0, 0, 3, 0xff, 0xff, 0xff][..]);
    let outcome = FrameCodec::new("spa").decode(&mut malformed);
    expect_true!(matches!(outcome, Err(WireFault::Malformed(..))));
}

#[gtest]
fn truncated_batches_are_rejected() {
    let batch = Batch {
        term: Term(8),
        sequence: 3,
        records: records().into(),
    };
    let bytes = encode_batch(&batch);
    for length in [1, bytes.len() / 2, bytes.len() - 1] {
        expect_that!(
            decode_batch(&bytes[..length]),
            err(anything()),
            "{} bytes",
            length
        );
    }
}
