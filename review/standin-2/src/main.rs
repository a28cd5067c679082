//! Stand-ins of the platform, its minions and clients, and the cases that are played with them.
//!
//! `review-standin-2 CASE FOLDER` plays a case, writes `FOLDER/record.txt`, and exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` in the environment
//! the case is played without its disruption.

mod cases;
mod fleet;
mod fuzz;
mod hosts;
mod http;
mod json;
mod store;

use std::process::ExitCode;
use std::time::Duration;

/// What a case came to.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = arguments.next().unwrap_or_else(|| ".".into());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let stage = cases::Stage::new(has_trouble);
    let world = stage.world.clone();
    let verdict = cases::play(&case, stage);
    let (word, code) = match verdict {
        Verdict::Held => ("held", 0),
        Verdict::Broken => ("broken", 1),
        Verdict::NotRun => ("not run", 2),
    };
    world.note(format!("verdict: {word} (trouble: {has_trouble})"));
    let path = std::path::Path::new(&folder).join("record.txt");
    if std::fs::write(&path, world.lines()).is_err() {
        return ExitCode::from(2);
    }
    std::thread::sleep(Duration::from_millis(50));
    ExitCode::from(code)
}
