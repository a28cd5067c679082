//! Hosts that have just started and load the store, event by event.

use crate::fleet::decode_config;
use crate::fleet::decode_evacuation;
use crate::fleet::decode_worker;
use goldcrestway_core::Code;
use goldcrestway_dispatch::Action;
use goldcrestway_dispatch::Bounds;
use goldcrestway_dispatch::Decoders;
use goldcrestway_dispatch::Entry;
use goldcrestway_dispatch::Event;
use goldcrestway_dispatch::Now;
use goldcrestway_dispatch::Page;
use goldcrestway_dispatch::ReadFault;
use goldcrestway_dispatch::StoredRecord;
use goldcrestway_dispatch::Stream;
use googletest::prelude::*;
use std::collections::VecDeque;

/// Outcome of the load of one partition of the jobs, while all other streams are loaded.
struct Case {
    name: &'static str,
    slow_outcome: Option<SlowOutcome>,
    is_ready: bool,
    missing: Option<&'static str>,
}

/// Outcome of the load of that partition.
enum SlowOutcome {
    Page { has_more: bool },
    Failed,
}

const SLOW_STREAM: Stream = Stream::Jobs(2);

const CASES: &[Case] = &[
    Case {
        name: "the first page is still on its way",
        slow_outcome: None,
        is_ready: false,
        missing: Some("missing=Jobs(2) records=0 age_ms=1100"),
    },
    Case {
        name: "the first of several pages has arrived",
        slow_outcome: Some(SlowOutcome::Page { has_more: true }),
        is_ready: false,
        missing: Some("missing=Jobs(2) records=1 age_ms=1100"),
    },
    Case {
        name: "the partition is unavailable",
        slow_outcome: Some(SlowOutcome::Failed),
        is_ready: true,
        missing: Some("missing=Jobs(2) records=0 age_ms=1100"),
    },
    Case {
        name: "all is read",
        slow_outcome: Some(SlowOutcome::Page { has_more: false }),
        is_ready: true,
        missing: None,
    },
];

fn at(steady_ms: u64) -> Now {
    Now {
        steady_ms,
        wall_ms: 1_700_000_000_000 + steady_ms,
    }
}

fn page(stream: Stream, has_more: bool) -> Page {
    let mut records = Vec::new();
    if stream == Stream::Rules {
        records.push(record("config", &[1]));
    }
    if stream == SLOW_STREAM {
        records.push(record("unknown", &[]));
    }
    Page {
        records,
        end: 0,
        has_more,
    }
}

fn record(key: &str, value: &[u8]) -> StoredRecord {
    StoredRecord {
        offset: 0,
        key: key.into(),
        value: value.into(),
    }
}

/// Creates a host and answers its first loads, that of the slow partition by the case.
fn start(case: &Case) -> (Entry, Vec<Action>) {
    let decoders = Decoders {
        config: decode_config,
        evacuation: decode_evacuation,
        worker: decode_worker,
    };
    let mut entry = Entry::new("entry-1", Bounds::default(), decoders, 7);
    let mut actions = Vec::new();
    let mut due: VecDeque<Action> = entry.handle(at(0), Event::Tick).into();
    let mut answered = Vec::new();
    while let Some(action) = due.pop_front() {
        let Action::Load { ticket, stream, .. } = action else {
            actions.push(action);
            continue;
        };
        // Of a stream with more pages, only the first page arrives.
        if stream == SLOW_STREAM && answered.contains(&stream) {
            continue;
        }
        answered.push(stream);
        let outcome = match (&case.slow_outcome, stream) {
            (None, SLOW_STREAM) => continue,
            (Some(SlowOutcome::Failed), SLOW_STREAM) => Err(ReadFault::NoAnswer),
            (Some(SlowOutcome::Page { has_more }), SLOW_STREAM) => Ok(page(stream, *has_more)),
            _ => Ok(page(stream, false)),
        };
        due.extend(entry.handle(at(10), Event::Loaded { ticket, outcome }));
    }
    (entry, actions)
}

/// Returns whether an action logs that everything was loaded, with the right duration.
fn is_loaded_at_once(action: &Action) -> bool {
    matches!(action, Action::Note(note)
        if note.code == Code::StreamsLoaded && note.detail.contains("age_ms=10"))
}

/// After all hosts had started at once, callers were told to retry queries for accepted jobs until
/// they timed out. Hosts on slow links were ready, and got callers, while they still loaded the
/// store: one partition of the jobs was enough to be ready, and no log line named what was missing.
#[gtest]
fn a_host_is_ready_once_all_available_streams_are_loaded() {
    for case in CASES {
        let (mut entry, mut actions) = start(case);
        expect_that!(entry.is_ready(), eq(case.is_ready), "{}", case.name);
        actions.extend(entry.handle(at(1_100), Event::Tick));
        let mut reported = None;
        let mut is_loaded = false;
        for action in &actions {
            if let Action::Note(note) = action
                && note.code == Code::StreamsLoading
            {
                reported = Some(note.detail.clone());
            }
            is_loaded |= is_loaded_at_once(action);
        }
        expect_that!(is_loaded, eq(case.missing.is_none()), "{}", case.name);
        expect_that!(reported.as_deref(), eq(case.missing), "{}", case.name);
    }
}
