//! Renders the timeline as a self-contained HTML page.

use crate::timeline::Entry;
use crate::timeline::filter_by_subject;
use minijinja::Environment;
use minijinja::Value;
use minijinja::value::Serde;
use serde::Serialize;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

const TEMPLATE: &str = include_str!("timeline.html");
/// Total width of all lanes, within the limits for one lane.
const TOTAL_LANE_WIDTH_PX: u64 = 1_080;
const MIN_LANE_WIDTH_PX: u64 = 190;
const MAX_LANE_WIDTH_PX: u64 = 360;
const ROW_HEIGHT_PX: u64 = 16;

/// Numbers of the events that begin and end a band of the page.
const LOG_UNAVAILABLE: u16 = 1201;
const LOG_AVAILABLE: u16 = 1202;
const CELL_OPENED: u16 = 1106;
const CELL_CLOSED: u16 = 1107;
const LEASE_GAINED: u16 = 1101;
const LEASE_LOST: u16 = 1102;

#[derive(Serialize)]
struct Row<'a> {
    top_px: u64,
    left_px: u64,
    family: u16,
    is_followed: bool,
    entry: &'a Entry,
    since_ms: u64,
}

#[derive(Serialize)]
struct Page<'a> {
    lanes: Vec<&'a str>,
    rows: Vec<Row<'a>>,
    bands: Vec<Band>,
    subject: Option<&'a str>,
    count: usize,
    followed: usize,
    lane_width_px: u64,
    height_px: u64,
    width_px: u64,
}

#[derive(Serialize)]
struct Band {
    top_px: u64,
    height_px: u64,
    left_px: u64,
    kind: &'static str,
    label: String,
}

/// Renders merged events as a page that loads no other file.
///
/// `subject` names a request, job, cell or member whose events are highlighted.
///
/// # Errors
///
/// If the template can't be rendered, which is a bug.
pub fn render_page(entries: &[Entry], subject: Option<&str>) -> Result<String, minijinja::Error> {
    let lanes: BTreeSet<&str> = entries.iter().map(|entry| &*entry.process).collect();
    let lanes: Vec<&str> = lanes.into_iter().collect();
    let followed = subject
        .map(|subject| filter_by_subject(entries, subject))
        .unwrap_or_default();
    let lane_px = TOTAL_LANE_WIDTH_PX / lanes.len().max(1) as u64;
    let lane_px = lane_px.clamp(MIN_LANE_WIDTH_PX, MAX_LANE_WIDTH_PX);
    let start_ms = entries.first().map_or(0, |entry| entry.stamp.wall_ms());
    let rows: Vec<Row> = entries
        .iter()
        .enumerate()
        .map(|(index, entry)| Row {
            top_px: index as u64 * ROW_HEIGHT_PX,
            left_px: left_of(&lanes, lane_px, entry),
            family: entry.code / 100,
            is_followed: followed.contains(entry),
            entry,
            since_ms: entry.stamp.wall_ms().saturating_sub(start_ms),
        })
        .collect();
    let mut environment = Environment::new();
    environment.add_template("page.html", TEMPLATE)?;
    let page = Page {
        rows,
        bands: bands(entries, &lanes, lane_px),
        subject,
        count: entries.len(),
        followed: followed.len(),
        lane_width_px: lane_px,
        height_px: entries.len() as u64 * ROW_HEIGHT_PX + 40,
        width_px: lanes.len() as u64 * lane_px + 80,
        lanes,
    };
    let context = Value::from(Serde(&page));
    environment.get_template("page.html")?.render(context)
}

fn left_of(lanes: &[&str], lane_px: u64, entry: &Entry) -> u64 {
    let lane = lanes.iter().position(|lane| **lane == *entry.process);
    lane.unwrap_or(0) as u64 * lane_px
}

/// Returns the outages of the log, the leases and the terms of cells as bands of their lanes.
fn bands(entries: &[Entry], lanes: &[&str], lane_px: u64) -> Vec<Band> {
    let pairs = [
        (LOG_UNAVAILABLE, LOG_AVAILABLE, "outage"),
        (LEASE_GAINED, LEASE_LOST, "lease"),
        (CELL_OPENED, CELL_CLOSED, "term"),
    ];
    let mut bands = Vec::new();
    let end_px = entries.len() as u64 * ROW_HEIGHT_PX;
    for (begin, end, kind) in pairs {
        let mut open: BTreeMap<(Box<str>, Box<str>), (u64, u64)> = BTreeMap::new();
        for (index, entry) in entries.iter().enumerate() {
            let subject = if kind == "lease" {
                "".into()
            } else {
                entry.subject.clone()
            };
            let identity = (entry.process.clone(), subject);
            let top_px = index as u64 * ROW_HEIGHT_PX;
            if entry.code == begin {
                open.entry(identity)
                    .or_insert((top_px, left_of(lanes, lane_px, entry)));
            } else if entry.code == end
                && let Some((from_px, left_px)) = open.remove(&identity)
            {
                bands.push(band(kind, &identity.1, from_px, top_px, left_px));
            }
        }
        for ((_, subject), (from_px, left_px)) in open {
            bands.push(band(kind, &subject, from_px, end_px, left_px));
        }
    }
    bands
}

fn band(kind: &'static str, subject: &str, from_px: u64, to_px: u64, left_px: u64) -> Band {
    Band {
        top_px: from_px,
        height_px: (to_px - from_px).max(2),
        left_px,
        kind,
        label: format!("{kind} {subject}"),
    }
}
