//! The age of a host's data: what the log says of it, and that outdated data gives no wrong
//! answers.

use crate::fleet::decode_config;
use crate::fleet::decode_evacuation;
use crate::fleet::decode_worker;
use goldcrestway_core::Code;
use goldcrestway_dispatch::Action;
use goldcrestway_dispatch::Ages;
use goldcrestway_dispatch::Bounds;
use goldcrestway_dispatch::Decoders;
use goldcrestway_dispatch::Entry;
use goldcrestway_dispatch::Event;
use goldcrestway_dispatch::Found;
use goldcrestway_dispatch::Now;
use goldcrestway_dispatch::Page;
use goldcrestway_dispatch::ReadFault;
use goldcrestway_dispatch::ReadOutcome;
use goldcrestway_dispatch::Reply;
use goldcrestway_dispatch::StoredRecord;
use goldcrestway_dispatch::Stream;
use googletest::prelude::*;
use std::collections::VecDeque;

fn at(steady_ms: u64) -> Now {
    Now {
        steady_ms,
        wall_ms: 1_700_000_000_000 + steady_ms,
    }
}

/// Returns a page of a store that holds rules of version 1 and nothing else.
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

/// Returns a host that has loaded everything at 10 ms, and the ticket of its read of the rules.
fn start() -> (Entry, u64) {
    let decoders = Decoders {
        config: decode_config,
        evacuation: decode_evacuation,
        worker: decode_worker,
    };
    let mut entry = Entry::new("entry-1", Bounds::default(), decoders, 7);
    let mut read = 0;
    let mut due: VecDeque<Action> = entry.handle(at(0), Event::Tick).into();
    while let Some(action) = due.pop_front() {
        let Action::Load { ticket, stream, .. } = action else {
            continue;
        };
        let outcome = Ok(page(stream));
        let actions = entry.handle(at(10), Event::Loaded { ticket, outcome });
        read = find_rules_read(&actions).unwrap_or(read);
        due.extend(actions);
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

/// Returns subjects and details of the notes with this code.
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

/// When a host had outdated rules, its log did not distinguish a lost read from one that was not
/// sent, and did not say how old the rules were.
#[gtest]
fn a_failed_read_logs_the_fault_and_the_age_of_the_rules() {
    for (fault, why) in [
        (ReadFault::NotSent, "NotSent"),
        (ReadFault::NoAnswer, "NoAnswer"),
        (ReadFault::Refused, "Refused"),
    ] {
        let (mut entry, ticket) = start();
        let outcome = ReadOutcome::Failed(fault);
        let actions = entry.handle(at(3_210), Event::Read { ticket, outcome });
        let line = format!("Rules why={why} sent_age_ms=3200 waits=true failures=1 age_ms=3210");
        expect_that!(details(&actions, Code::ReadFailed), contains(eq(&line)));
    }
}

#[gtest]
fn new_rules_log_the_age_of_the_previous_ones() {
    let (mut entry, ticket) = start();
    let ages = Ages {
        rules_version: 1,
        rules_ms: Some(400),
        states_ms: Some(390),
        jobs_ms: Some(390),
        workers_ms: None,
        clock_offset_ms: 0,
    };
    expect_that!(entry.ages(at(400)), eq(ages));
    let outcome = ReadOutcome::Records {
        records: vec![rules(1, 2)],
        end: 2,
    };
    let actions = entry.handle(at(400), Event::Read { ticket, outcome });
    expect_that!(
        details(&actions, Code::RulesInForce),
        elements_are![eq("2 queues=1 former_age_ms=400")]
    );
    expect_that!(entry.ages(at(400)).rules_version, eq(2));
    expect_that!(entry.ages(at(400)).rules_ms, some(eq(390)));
}

/// Returns the streams of reads that are no long polls.
fn short_reads(actions: &[Action]) -> Vec<Stream> {
    let mut streams = Vec::new();
    for action in actions {
        if let Action::Read {
            stream, wait_ms: 0, ..
        } = action
        {
            streams.push(*stream);
        }
    }
    streams
}

/// Answers reads of all streams except the rules, up to a point in time.
fn answer_others(entry: &mut Entry, from_ms: u64, until_ms: u64) -> Vec<Action> {
    let mut all = Vec::new();
    let mut tickets = Vec::new();
    for now_ms in (from_ms..=until_ms).step_by(10) {
        let mut actions = Vec::new();
        for ticket in std::mem::take(&mut tickets) {
            let outcome = ReadOutcome::Records {
                records: Vec::new(),
                end: 0,
            };
            actions.extend(entry.handle(at(now_ms), Event::Read { ticket, outcome }));
        }
        actions.extend(entry.handle(at(now_ms), Event::Tick));
        for action in &actions {
            if let Action::Read { ticket, stream, .. } = action
                && *stream != Stream::Rules
            {
                tickets.push(*ticket);
            }
        }
        all.extend(actions);
    }
    all
}

/// The long poll for rules was lost while other calls were answered, and the host read again only
/// after the timeout: `ReadFailed why=NoAnswer sent_age_ms=3200`. Another read must be sent beside
/// it as soon as it is overdue, and no second one while that is pending.
#[gtest]
fn an_overdue_long_poll_gets_one_read_beside_it() {
    let (mut entry, _) = start();
    let early = answer_others(&mut entry, 20, 1_100);
    expect_that!(short_reads(&early), not(contains(eq(&Stream::Rules))));
    let overdue = answer_others(&mut entry, 1_110, 1_300);
    let is_rules = |stream: &&Stream| **stream == Stream::Rules;
    let reads = short_reads(&overdue).iter().filter(is_rules).count();
    expect_that!(reads, eq(1));
}

/// A read that was sent during an outage is not awaited once other answers arrive.
#[gtest]
fn a_read_from_an_outage_is_repeated_at_the_next_answer() {
    let (mut entry, _) = start();
    // Nothing is answered. A read beside the first one is sent, and is lost as well.
    let mut states = 0;
    for now_ms in (20..=1_400).step_by(10) {
        for action in entry.handle(at(now_ms), Event::Tick) {
            if let Action::Read { ticket, stream, .. } = action
                && stream == Stream::States
            {
                states = ticket;
            }
        }
    }
    let outcome = ReadOutcome::Records {
        records: Vec::new(),
        end: 0,
    };
    let actions = entry.handle(
        at(1_400),
        Event::Read {
            ticket: states,
            outcome,
        },
    );
    expect_that!(short_reads(&actions), contains(eq(&Stream::Rules)));
}

/// What a host answers about a queue that its rules do not define, by the age of the rules.
struct UnknownQueue {
    name: &'static str,
    queried_ms: u64,
    found: Found<'static>,
    is_ready: bool,
}

const UNKNOWN_QUEUES: &[UnknownQueue] = &[
    UnknownQueue {
        name: "rules just read",
        queried_ms: 300,
        found: Found::Nothing,
        is_ready: true,
    },
    UnknownQueue {
        name: "rules three quarters as old as promised",
        queried_ms: 1_500,
        found: Found::Nothing,
        is_ready: true,
    },
    UnknownQueue {
        name: "rules that may be too old",
        queried_ms: 1_600,
        found: Found::Unsure,
        is_ready: false,
    },
];

/// A host with possibly outdated rules told callers that a queue does not exist, and they did not
/// retry: `refused with 404`. All other streams of the store answer here.
#[gtest]
fn a_host_with_rules_of_unknown_age_rejects_no_queue() {
    for case in UNKNOWN_QUEUES {
        let (mut entry, _) = start();
        let mut actions = answer_others(&mut entry, 20, case.queried_ms);
        let now = at(case.queried_ms);
        let found = entry.find_queue("batch.test", "/new/", now);
        expect_that!(found, eq(case.found), "{}", case.name);
        // It still accepts jobs for queues that it knows. Only the count must wait.
        let known = entry.find_queue("batch.test", "/batch/", now);
        expect_true!(matches!(known, Found::Queue(_)), "{}", case.name);
        expect_that!(entry.is_ready(), eq(case.is_ready), "{}", case.name);
        let queue = "batch".into();
        actions.extend(entry.handle(now, Event::Count { request: 7, queue }));
        actions.extend(answer_others(
            &mut entry,
            case.queried_ms + 10,
            case.queried_ms + 1_000,
        ));
        let deferred = Action::Answer {
            request: 7,
            reply: Reply::NotDone {
                retry_after_ms: 1_000,
            },
        };
        let is_unsure = case.found == Found::Unsure;
        expect_that!(actions.contains(&deferred), eq(is_unsure), "{}", case.name);
        let is_reported = !details(&actions, Code::RulesBehind).is_empty();
        expect_true!(is_reported || !is_unsure, "{}", case.name);
    }
}

/// A host was ready 75 ms after the store's return, and used rules from before the outage for three
/// more seconds: `StoreBack` at 11.006 s, `RulesInForce` at 14.381 s. It may be ready only once it
/// has read the rules, or has failed to because only part of the store is back.
#[gtest]
fn a_host_is_ready_again_once_it_has_read_the_rules() {
    for outcome in [
        ReadOutcome::Records {
            records: vec![rules(1, 2)],
            end: 2,
        },
        ReadOutcome::Failed(ReadFault::Refused),
    ] {
        let is_read = matches!(outcome, ReadOutcome::Records { .. });
        let (mut entry, _) = start();
        let mut states = None;
        for now_ms in (20..=4_000).step_by(10) {
            for action in entry.handle(at(now_ms), Event::Tick) {
                if let Action::Read { ticket, stream, .. } = action
                    && stream == Stream::States
                {
                    states = Some(ticket);
                }
            }
        }
        expect_false!(entry.is_ready());
        let ticket = states.unwrap_or(0);
        let back = ReadOutcome::Records {
            records: Vec::new(),
            end: 0,
        };
        let actions = entry.handle(
            at(4_010),
            Event::Read {
                ticket,
                outcome: back,
            },
        );
        expect_that!(details(&actions, Code::StoreBack), is_empty());
        expect_false!(entry.is_ready());
        let Some(ticket) = find_rules_read(&actions) else {
            add_failure!("the rules are read at once");
            continue;
        };
        let actions = entry.handle(at(4_020), Event::Read { ticket, outcome });
        expect_that!(details(&actions, Code::StoreBack), len(eq(1)));
        expect_that!(entry.is_ready(), eq(is_read));
    }
}

/// Advance of both clocks while a host does nothing, and whether it uses its rules afterwards. The
/// rules were read 100 ms before.
struct ClockCase {
    name: &'static str,
    steady_ms: u64,
    wall_ms: u64,
    found: Found<'static>,
}

const CLOCK_CASES: &[ClockCase] = &[
    ClockCase {
        name: "both clocks run",
        steady_ms: 300,
        wall_ms: 300,
        found: Found::Nothing,
    },
    ClockCase {
        name: "the host is suspended, and its steady clock with it",
        steady_ms: 5,
        wall_ms: 5_005,
        found: Found::Unsure,
    },
    ClockCase {
        name: "the wall clock is set back",
        steady_ms: 300,
        wall_ms: 0,
        found: Found::Nothing,
    },
];

/// The steady clock of a suspended host stands still, so rules that were read just before look
/// recent after it, though they are as old as the suspension. Only the wall clock shows the
/// difference. A host can't distinguish that from a clock that was set, and reads the rules in
/// either case.
#[gtest]
fn rules_age_while_a_host_is_suspended() {
    for case in CLOCK_CASES {
        let (mut entry, _) = start();
        entry.handle(at(110), Event::Tick);
        let resumed = Now {
            steady_ms: 110 + case.steady_ms,
            wall_ms: at(110).wall_ms + case.wall_ms,
        };
        let actions = entry.handle(resumed, Event::Tick);
        let found = entry.find_queue("batch.test", "/new/", resumed);
        expect_that!(found, eq(case.found), "{}", case.name);
        let is_read = short_reads(&actions).contains(&Stream::Rules);
        let is_unsure = case.found == Found::Unsure;
        expect_that!(is_read, eq(is_unsure), "{}", case.name);
        expect_that!(entry.is_ready(), eq(!is_unsure), "{}", case.name);
    }
}

/// An answer that was in transit while a host was suspended says nothing of the time since.
#[gtest]
fn an_answer_from_before_a_suspension_refreshes_nothing() {
    let (mut entry, ticket) = start();
    entry.handle(at(110), Event::Tick);
    let resumed = Now {
        steady_ms: 815,
        wall_ms: at(6_000).wall_ms,
    };
    entry.handle(resumed, Event::Tick);
    let outcome = ReadOutcome::Records {
        records: Vec::new(),
        end: 1,
    };
    entry.handle(resumed, Event::Read { ticket, outcome });
    let found = entry.find_queue("batch.test", "/new/", resumed);
    expect_that!(found, eq(Found::Unsure));
}
