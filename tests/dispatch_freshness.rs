//! How old what a host believes is: what logs say of it, and that no stale answer is given.

use crate::fleet::decode_config;
use crate::fleet::decode_worker;
use goldcrestway_core::Code;
use goldcrestway_dispatch::Action;
use goldcrestway_dispatch::Ages;
use goldcrestway_dispatch::Bounds;
use goldcrestway_dispatch::Decoders;
use goldcrestway_dispatch::Entry;
use goldcrestway_dispatch::Event;
use goldcrestway_dispatch::Now;
use goldcrestway_dispatch::Page;
use goldcrestway_dispatch::ReadEnd;
use goldcrestway_dispatch::ReadFault;
use goldcrestway_dispatch::StoredRecord;
use goldcrestway_dispatch::Stream;
use googletest::prelude::*;

fn at(steady_ms: u64) -> Now {
    Now {
        steady_ms,
        wall_ms: 1_700_000_000_000 + steady_ms,
    }
}

/// Gives an answer to a load that finds rules of version 1 and nothing else.
fn page(stream: Stream) -> Page {
    let mut records = Vec::new();
    if stream == Stream::Rules {
        records.push(rules(0, 1));
    }
    Page {
        end: records.len() as u64,
        records,
        has_more: false,
    }
}

fn rules(offset: u64, version: u8) -> StoredRecord {
    StoredRecord {
        offset,
        key: "config".into(),
        value: Box::new([version]),
    }
}

/// Makes a host that has loaded all at 10 ms, and gives the ticket of its read of the rules.
fn start() -> (Entry, u64) {
    let decoders = Decoders {
        config: decode_config,
        worker: decode_worker,
    };
    let mut entry = Entry::new("entry-1", Bounds::default(), decoders, 7);
    let mut read = 0;
    for action in entry.handle(at(0), Event::Tick) {
        let Action::Load { ticket, stream, .. } = action else {
            continue;
        };
        let end = Ok(page(stream));
        let actions = entry.handle(at(10), Event::Loaded { ticket, end });
        read = find_rules_read(&actions).unwrap_or(read);
    }
    (entry, read)
}

fn find_rules_read(actions: &[Action]) -> Option<u64> {
    for action in actions {
        if let Action::Read { ticket, stream, .. } = action
            && *stream == Stream::Rules
        {
            return Some(*ticket);
        }
    }
    None
}

/// Lists what the notes with a number say.
fn details(actions: &[Action], code: Code) -> Vec<String> {
    let mut details = Vec::new();
    for action in actions {
        if let Action::Note(note) = action
            && note.code == code
        {
            details.push(format!("{} {}", note.subject, note.detail));
        }
    }
    details
}

/// After a host had stayed behind, its log could not tell a read that was lost from one that
/// had not been sent, and nothing told how old its rules had been.
#[gtest]
fn a_failed_read_tells_why_and_how_old_the_rules_are() {
    for (fault, why) in [
        (ReadFault::NotSent, "NotSent"),
        (ReadFault::NoAnswer, "NoAnswer"),
        (ReadFault::Refused, "Refused"),
    ] {
        let (mut entry, ticket) = start();
        let end = ReadEnd::Failed(fault);
        let actions = entry.handle(at(3_210), Event::Read { ticket, end });
        let line = format!("Rules why={why} sent_age_ms=3200 waits=true failures=1 age_ms=3210");
        expect_that!(details(&actions, Code::ReadFailed), contains(eq(&line)));
    }
}

#[gtest]
fn rules_in_force_tell_how_old_the_former_ones_were() {
    let (mut entry, ticket) = start();
    let ages = Ages {
        rules_version: 1,
        rules_ms: Some(400),
        states_ms: Some(400),
        jobs_ms: Some(400),
        workers_ms: None,
    };
    expect_that!(entry.ages(at(400)), eq(ages));
    let end = ReadEnd::Records {
        records: vec![rules(1, 2)],
        end: 2,
    };
    let actions = entry.handle(at(400), Event::Read { ticket, end });
    expect_that!(
        details(&actions, Code::RulesInForce),
        elements_are![eq("2 queues=1 former_age_ms=400")]
    );
    expect_that!(entry.ages(at(400)).rules_version, eq(2));
    expect_that!(entry.ages(at(400)).rules_ms, some(eq(390)));
}
