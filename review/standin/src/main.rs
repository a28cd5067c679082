//! Plays a case of the review: the platform's stand-in, entry hosts as processes, and clients.
//!
//! `review-standin CASE RECORD`, in the repository; with `TROUBLE=0` without the disruption. Exits
//! with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod minion;
mod record;
mod store;
mod world;

use record::Record;
use std::sync::Arc;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("review-standin CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new(path));
    let outcome = match &**case {
        "ends" => cases::ends(&record, trouble),
        "crash" => cases::crash(&record, trouble),
        _ => Err("no such case".into()),
    };
    let (code, text) = match outcome {
        Ok(broken) if broken.is_empty() => (0, "the rule held".into()),
        Ok(broken) => (
            1,
            format!("{} breaks, the first: {}", broken.len(), broken[0]),
        ),
        Err(fault) => (2, format!("could not run: {fault}")),
    };
    record.note(&format!("RESULT {code}: {text}"));
    record.flush();
    println!("{text}");
    std::process::exit(code);
}
