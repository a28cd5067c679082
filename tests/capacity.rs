//! Tests that the capacity page agrees with the measured slopes.

use goldcrestway_bench::capacity::render;
use goldcrestway_bench::series::Series;
use googletest::prelude::*;

const SLOPES: &str = include_str!("../docs/dev/slopes.json");
const PAGE: &str = include_str!("../docs/dev/own-log-capacity.md");

/// Guards against a figure on the page that no measurement supports: the page was edited
/// by hand, or the slopes were measured again and the page was not regenerated.
#[gtest]
fn page_matches_measured_slopes() {
    let all: Vec<Series> = serde_json::from_str(SLOPES).expect("valid slopes");
    let page = render(&all).expect("a page");
    expect_true!(
        page == PAGE,
        "run `cargo run --release -p goldcrestway-bench -- capacity`"
    );
}

#[gtest]
fn fit_of_collinear_points_is_their_line() {
    let mut series = Series::new("x", "sizes", "us");
    series.points = vec![(1.0, 5.0), (2.0, 7.0), (10.0, 23.0)];
    let (zero, slope) = series.fit();
    expect_that!(zero, near(3.0, 1e-9));
    expect_that!(slope, near(2.0, 1e-9));
}
