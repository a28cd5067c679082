//! Measurements as commands.

use argh::FromArgs;
use goldcrestway_bench::routing;
use goldcrestway_bench::routing::Setting;
use goldcrestway_bench::routing::Trouble;
use goldcrestway_bench::sharing;

/// Measures goldcrestway's decisions.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Routing(Routing),
    Sharing(Sharing),
}

/// Compare choices of an instance.
#[derive(FromArgs)]
#[argh(subcommand, name = "routing")]
struct Routing {
    /// requests of each run; default 60000
    #[argh(option, default = "60000")]
    requests: usize,
    /// seed of arrivals; default 1
    #[argh(option, default = "1")]
    seed: u64,
}

/// Compare ways to keep batch work from harming services.
#[derive(FromArgs)]
#[argh(subcommand, name = "sharing")]
struct Sharing {
    /// first seed; default 100
    #[argh(option, default = "100")]
    first: u64,
    /// number of seeds; default 20
    #[argh(option, default = "20")]
    seeds: u64,
}

fn main() {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Routing(arguments) => compare_routing(&arguments),
        Command::Sharing(arguments) => compare_sharing(&arguments),
    }
}

fn compare_routing(arguments: &Routing) {
    let settings = [
        (50, Trouble::None),
        (80, Trouble::None),
        (95, Trouble::None),
        (80, Trouble::OneSlow),
        (80, Trouble::Waves),
        (130, Trouble::None),
    ];
    println!(
        "| Load | Trouble | Policy | p50 ms | p99 ms | p99.9 ms | p99 to omniscient | refused % | refusal p50 ms | goodput % |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for (load_percent, trouble) in settings {
        let setting = Setting {
            load_percent,
            trouble,
        };
        let outcomes = routing::compare(setting, arguments.requests, arguments.seed);
        let bound = outcomes[0].p99_ms;
        for outcome in &outcomes {
            println!(
                "| {load_percent}% | {trouble:?} | {} | {:.1} | {:.1} | {:.1} | {:.2} | {:.2} | {:.1} | {:.1} |",
                outcome.policy,
                outcome.p50_ms,
                outcome.p99_ms,
                outcome.p999_ms,
                outcome.p99_ms / bound,
                outcome.refused_percent,
                outcome.refusal_p50_ms,
                outcome.goodput_percent
            );
        }
    }
}

fn compare_sharing(arguments: &Sharing) {
    let all = sharing::compare(arguments.first..arguments.first + arguments.seeds);
    println!(
        "| Policy | violations % median | worst | batch core-s median | worst | evictions median | worst |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- |");
    for (name, outcomes) in all {
        let sorted = |value: fn(&sharing::Outcome) -> f64| {
            let mut values: Vec<f64> = outcomes.iter().map(value).collect();
            values.sort_by(f64::total_cmp);
            values
        };
        let violations = sorted(|outcome| outcome.violation_percent);
        let batch = sorted(|outcome| outcome.batch_core_s);
        let evictions = sorted(|outcome| outcome.evictions as f64);
        let middle = violations.len() / 2;
        println!(
            "| {name} | {:.2} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0} |",
            violations[middle],
            violations[violations.len() - 1],
            batch[middle],
            batch[0],
            evictions[middle],
            evictions[evictions.len() - 1]
        );
    }
}
