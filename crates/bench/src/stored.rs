//! Measures how the cost of stored data grows: the configuration and records of the
//! log.

use crate::fleet::Fleet;
use crate::series::Series;
use crate::slopes::ReadAllocatedBytes;
use crate::slopes::time_us;
use goldcrestway_core::Batch;
use goldcrestway_core::Cell;
use goldcrestway_core::Config;
use goldcrestway_core::ConfigChange;
use goldcrestway_core::JobSpec;
use goldcrestway_core::Outcome;
use goldcrestway_core::Record;
use goldcrestway_core::Term;
use goldcrestway_inventory::Change;
use goldcrestway_inventory::Sections;
use goldcrestway_inventory::compare;
use goldcrestway_wire::decode_batch;
use goldcrestway_wire::encode_batch;
use std::hint::black_box;
use std::time::Instant;

/// Returns an operator's change of a single host.
fn host_change(sections: &Sections, base: u64) -> ConfigChange {
    let identity: (Box<str>, Box<str>) = ("host".into(), "w0".into());
    let mut values = sections[&identity].values.clone();
    values.insert("memory_mb".into(), format!("{}", 200_000 + base).into());
    let change = Change {
        kind: identity.0,
        name: identity.1,
        values: Some(values),
    };
    ConfigChange {
        base,
        id: format!("aino-{base}-0123456789abcdef").into(),
        author: "aino".into(),
        changes: Box::new([change]),
    }
}

fn encoded_bytes(record: Record) -> f64 {
    let batch = Batch {
        term: Term(1_000),
        sequence: 1_000,
        records: Box::new([record]),
    };
    encode_batch(&batch).len() as f64
}

pub(crate) fn configuration(allocated_bytes: ReadAllocatedBytes) -> Vec<Series> {
    let mut change_bytes = Series::new("change_bytes", "hosts", "bytes per change");
    let mut change_us = Series::new("change_us", "hosts", "us per change and process");
    let mut whole_bytes = Series::new("config_bytes", "hosts", "bytes of the whole configuration");
    let mut whole_us = Series::new("config_load_us", "hosts", "us to load the whole");
    let mut memory_used = Series::new("config_memory", "hosts", "bytes held per process");
    for hosts in [55, 550, 8_400] {
        let fleet = Fleet::sized(hosts, hosts * 22 / 8, hosts.div_ceil(40));
        let sections = fleet.load().0;
        let before = allocated_bytes();
        let mut config = Config::default();
        let first = ConfigChange {
            base: 0,
            id: "first".into(),
            author: "aino".into(),
            changes: compare(&Sections::new(), &sections).into(),
        };
        let record = Record::Config(first);
        whole_bytes
            .points
            .push((hosts as f64, encoded_bytes(record.clone())));
        let started = Instant::now();
        config.apply(0, &record);
        whole_us
            .points
            .push((hosts as f64, started.elapsed().as_secs_f64() * 1e6));
        drop(record);
        memory_used
            .points
            .push((hosts as f64, (allocated_bytes() - before) as f64));
        let mut offset = 0;
        let us = time_us(3, 3, |_| {
            offset += 1;
            let change = Record::Config(host_change(&sections, config.version()));
            config.apply(offset, &change);
        });
        change_us.points.push((hosts as f64, us));
        change_bytes.points.push((
            hosts as f64,
            encoded_bytes(Record::Config(host_change(&sections, 7))),
        ));
    }
    vec![change_bytes, change_us, whole_bytes, whole_us, memory_used]
}

/// Measures records that share a batch: bytes of each, and the time to encode and
/// decode it.
pub(crate) fn records() -> Vec<Series> {
    let id = |number: usize| -> Box<str> { format!("team17/roster-2027-05-{number:05}").into() };
    type MakeRecord = Box<dyn Fn(usize) -> Record>;
    let kinds: Vec<(&str, MakeRecord)> = vec![
        (
            "intent",
            Box::new(|number| Record::Intent {
                identity: u128::MAX - number as u128,
                fingerprint: u64::MAX,
            }),
        ),
        (
            "intent_ended",
            Box::new(|number| Record::IntentEnded {
                identity: u128::MAX - number as u128,
                outcome: Outcome::Answered,
                status: 200,
            }),
        ),
        (
            "accepted",
            Box::new(move |number| {
                Record::Accepted(JobSpec {
                    id: id(number),
                    job: "roster".into(),
                    team: "team17".into(),
                })
            }),
        ),
        (
            "assigned",
            Box::new(move |number| Record::Assigned {
                id: id(number),
                attempt: 1,
                cell: Cell::Workers(u64::MAX),
            }),
        ),
        (
            "ended",
            Box::new(move |number| Record::Ended {
                id: id(number),
                attempt: 1,
                end: goldcrestway_core::JobEnd::Finished,
            }),
        ),
    ];
    let mut all = Vec::new();
    for (kind, make) in kinds {
        let mut bytes = Series::new(
            &format!("record_{kind}_bytes"),
            "records in a batch",
            "bytes per record",
        );
        let mut times = Series::new(
            &format!("record_{kind}_us"),
            "records in a batch",
            "us per record, both ways",
        );
        for count in [1, 30, 500] {
            let batch = Batch {
                term: Term(1_000_000),
                sequence: 1_000_000,
                records: (0..count).map(&make).collect(),
            };
            let encoded = encode_batch(&batch);
            bytes
                .points
                .push((count as f64, encoded.len() as f64 / count as f64));
            let us = time_us(9, 2_000 / count, |_| {
                black_box(decode_batch(&encode_batch(black_box(&batch))).is_ok());
            });
            times.points.push((count as f64, us / count as f64));
        }
        all.push(bytes);
        all.push(times);
    }
    all
}
