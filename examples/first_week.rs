//! Runs the whole system on loopback: three entry hosts, stand-ins for the
//! platform, nine workers and six instances. Publishes an inventory, sends requests
//! and jobs, kills an entry host and a worker halfway through, and checks the
//! guarantees against what the stand-ins recorded. Exits with 1 if a guarantee was
//! violated.

#[path = "first_week/callers.rs"]
mod callers;
#[path = "first_week/fleet.rs"]
mod fleet;
#[path = "first_week/verdict.rs"]
mod verdict;

use fleet::Fleet;
use std::process::ExitCode;

fn main() -> ExitCode {
    let seed = std::env::args()
        .nth(1)
        .and_then(|text| text.parse().ok())
        .unwrap_or(1);
    let mut fleet = match Fleet::start() {
        Ok(fleet) => fleet,
        Err(error) => {
            eprintln!("failed to start the example: {error}");
            return ExitCode::FAILURE;
        }
    };
    println!("3 entry hosts, 9 workers, 6 instances are up; publishing the inventory");
    if let Err(error) = fleet.publish() {
        eprintln!("failed to publish the inventory: {error}");
        return ExitCode::FAILURE;
    }
    println!("published; sending 2000 requests and 200 jobs, killing e2 and w3 half way");
    let report = callers::run(&mut fleet, seed);
    let violations = verdict::judge(&fleet, &report);
    for line in &violations {
        println!("BROKEN: {line}");
    }
    if violations.is_empty() {
        println!("all promises were kept");
        return ExitCode::SUCCESS;
    }
    ExitCode::FAILURE
}
