//! The catalogue of numbered events in the docs is that of the code.

use goldcrestway_core::Code;
use googletest::prelude::*;

const PAGE: &str = include_str!("../docs/user/events.md");

/// Symptom: an operator looks up a number and finds nothing, or another meaning.
#[gtest]
fn every_event_is_catalogued() {
    for code in Code::ALL {
        let row = format!(
            "| {} | {} | {} |",
            code.number(),
            code.name(),
            code.meaning()
        );
        expect_that!(PAGE, contains_substring(row.as_str()));
    }
    let rows = PAGE
        .lines()
        .filter_map(|line| line.strip_prefix("| "))
        .filter(|row| row.starts_with(|letter: char| letter.is_ascii_digit()))
        .count();
    expect_that!(rows, eq(Code::ALL.len()));
}

#[gtest]
fn numbers_are_unique() {
    for pair in Code::ALL.windows(2) {
        expect_that!(pair[0].number(), lt(pair[1].number()));
    }
    expect_that!(Code::find(1101), some(eq(Code::LeaseGained)));
}
