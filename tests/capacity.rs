//! The capacity page says what the measured slopes say.

use goldcrestway_bench::capacity::render;
use goldcrestway_bench::series::Series;
use googletest::prelude::*;

const SLOPES: &str = include_str!("../docs/dev/slopes.json");
const PAGE: &str = include_str!("../docs/dev/own-log-capacity.md");

/// Symptom: a figure on the page that no measurement gave. Cause: the page was
/// edited by hand, or slopes were measured anew and the page was not written.
#[gtest]
fn the_page_is_that_of_the_slopes() {
    let all: Vec<Series> = serde_json::from_str(SLOPES).expect("sound slopes");
    let page = render(&all).expect("a page");
    expect_true!(
        page == PAGE,
        "run `cargo run --release -p goldcrestway-bench -- capacity`"
    );
}

#[gtest]
fn a_line_through_points_on_a_line_is_that_line() {
    let mut series = Series::new("x", "sizes", "us");
    series.points = vec![(1.0, 5.0), (2.0, 7.0), (10.0, 23.0)];
    let (zero, slope) = series.fit();
    expect_that!(zero, near(3.0, 1e-9));
    expect_that!(slope, near(2.0, 1e-9));
}
