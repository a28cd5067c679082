//! Output of the scenario commands that count.

use crate::world::World;
use goldcrestway_core::Answer;
use goldcrestway_core::Seat;
use std::collections::BTreeMap;

/// Returns the number of running tasks of each kind of job.
pub(crate) fn running(world: &World) -> String {
    let runs = world
        .edges
        .workers
        .values()
        .flat_map(|worker| &worker.state.runs);
    let open = runs
        .filter(|run| run.ended_ms.is_none())
        .map(|run| run.order.job.as_str());
    count_words(open)
}

/// Returns the outcome that a caller got, as a word.
pub(crate) fn word(answer: &Option<Answer>) -> &'static str {
    match answer {
        None => "open",
        Some(Answer::Whole) => "answered",
        Some(Answer::NotRun { .. }) => "not-run",
        Some(Answer::Unknown { .. }) => "unknown",
        Some(Answer::Repeated { .. }) => "repeated",
        Some(Answer::Conflict) => "conflict",
        Some(Answer::NotListed) => "not-listed",
        Some(Answer::Job { .. }) => "accepted",
        Some(Answer::NeverRuns { .. }) => "never-runs",
        Some(Answer::Published(_)) => "published",
    }
}

pub(crate) fn count_words<'a>(words: impl Iterator<Item = &'a str>) -> String {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for word in words {
        *counts.entry(word).or_default() += 1;
    }
    let parts: Vec<String> = counts
        .iter()
        .map(|(word, count)| format!("{count} {word}"))
        .collect();
    match parts.is_empty() {
        true => "none\n".into(),
        false => format!("{}\n", parts.join(", ")),
    }
}

pub(crate) fn requests(world: &World) -> String {
    count_words(
        world
            .edges
            .caller_requests
            .values()
            .map(|record| word(&record.answer)),
    )
}

pub(crate) fn jobs(world: &World) -> String {
    let record = count_words(world.edges.jobs.values().map(|(_, record)| word(record)));
    format!("{}finished: {}\n", record, world.finished().len())
}

/// Returns whether each entry host may act, and the number of cells that all together
/// serve.
pub(crate) fn cells(world: &mut World) -> String {
    let mut lines = String::new();
    let mut all = 0;
    for seat in 0..9 {
        if !world.runs(Seat(seat)) {
            continue;
        }
        let Some(status) = world.inspect(Seat(seat), |node| node.status()) else {
            continue;
        };
        let count = if status.acts { status.cells.len() } else { 0 };
        all += count;
        let acts = if status.acts { "acts" } else { "does not act" };
        lines.push_str(&format!("e{} {acts}\n", seat + 1));
    }
    format!("{lines}{all} cells served\n")
}

pub(crate) fn versions(world: &mut World) -> String {
    let mut lines = String::new();
    for seat in 0..9 {
        if !world.runs(Seat(seat)) {
            continue;
        }
        if let Some(status) = world.inspect(Seat(seat), |node| node.status()) {
            let acts = if status.acts { "acts" } else { "does not act" };
            lines.push_str(&format!("e{} {} {acts}\n", seat + 1, status.config_version));
        }
    }
    lines
}

pub(crate) fn guarantees(world: &World) -> String {
    let violations = world.violations();
    if violations.is_empty() {
        return "kept\n".into();
    }
    const SHOWN: usize = 6;
    let shown: Vec<&str> = violations.iter().take(SHOWN).map(String::as_str).collect();
    format!("BROKEN, {} times\n{}\n", violations.len(), shown.join("\n"))
}
