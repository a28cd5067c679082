//! Queries of callers, event by event.

use crate::fleet::decode_config;
use crate::fleet::decode_evacuation;
use crate::fleet::decode_worker;
use goldcrestway_dispatch::Action;
use goldcrestway_dispatch::Bounds;
use goldcrestway_dispatch::Decoders;
use goldcrestway_dispatch::Entry;
use goldcrestway_dispatch::Event;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::Now;
use goldcrestway_dispatch::Page;
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

/// Returns a host that has loaded a store with rules and no jobs.
fn loaded() -> Entry {
    let decoders = Decoders {
        config: decode_config,
        evacuation: decode_evacuation,
        worker: decode_worker,
    };
    let mut entry = Entry::new("entry-1", Bounds::default(), decoders, 7);
    let mut due: VecDeque<Action> = entry.handle(at(0), Event::Tick).into();
    while let Some(action) = due.pop_front() {
        if let Action::Load { ticket, stream, .. } = action {
            let rules = StoredRecord {
                offset: 0,
                key: "config".into(),
                value: Box::new([1]),
            };
            let mut records = vec![rules];
            records.retain(|_| stream == Stream::Rules);
            let page = Page {
                end: records.len() as u64,
                records,
                has_more: false,
            };
            let outcome = Ok(page);
            due.extend(entry.handle(at(1), Event::Loaded { ticket, outcome }));
        }
    }
    entry
}

fn reads(actions: &[Action]) -> Vec<u64> {
    let mut tickets = Vec::new();
    for action in actions {
        if let Action::Read {
            ticket, wait_ms: 0, ..
        } = action
        {
            tickets.push(*ticket);
        }
    }
    tickets
}

/// A host answered that a job does not exist which another host had just accepted. It read for one
/// caller, the job was stored, and another caller queried it within the same millisecond: the read
/// was taken to have been sent after the second query.
#[gtest]
fn a_read_from_before_a_query_does_not_answer_it() {
    let mut entry = loaded();
    let query = |request, job| Event::Query {
        request,
        job: JobId(job),
    };
    let before = reads(&entry.handle(at(100), query(1, 0xa)));
    expect_that!(before, not(is_empty()));
    let mut actions = entry.handle(at(100), query(2, 0xb));
    for ticket in before {
        let outcome = ReadOutcome::Records {
            records: Vec::new(),
            end: 0,
        };
        actions.extend(entry.handle(at(101), Event::Read { ticket, outcome }));
    }
    let is_answered = |request: u64| {
        let no_such_job = Action::Answer {
            request,
            reply: Reply::NoSuchJob,
        };
        actions.contains(&no_such_job)
    };
    expect_true!(is_answered(1));
    expect_false!(is_answered(2));
    expect_that!(reads(&actions), not(is_empty()));
}

/// Each query for the number of waiting jobs caused a read of each partition of their stream,
/// although callers accept a number that is two seconds old.
#[gtest]
fn a_count_is_answered_from_recent_data() {
    let count = |request| Event::Count {
        request,
        queue: "batch".into(),
    };
    let is_answered = |actions: &[Action], request| {
        let reply = Reply::Waiting(0);
        actions.contains(&Action::Answer { request, reply })
    };
    let mut entry = loaded();
    let actions = entry.handle(at(1_500), count(1));
    expect_true!(is_answered(&actions, 1));
    let actions = entry.handle(at(1_760), count(2));
    expect_false!(is_answered(&actions, 2));
    expect_that!(reads(&actions), not(is_empty()));
}
