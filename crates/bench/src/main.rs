//! Command line of the measurements.

use argh::FromArgs;
use goldcrestway_bench::capacity;
use goldcrestway_bench::plots;
use goldcrestway_bench::routing;
use goldcrestway_bench::routing::Setting;
use goldcrestway_bench::routing::Trouble;
use goldcrestway_bench::series::Series;
use goldcrestway_bench::sharing;
use goldcrestway_bench::slopes;
use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::error::Error;
use std::path::Path;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

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
    Slopes(Slopes),
    Capacity(Capacity),
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

/// Measure all slopes and write them to a file.
#[derive(FromArgs)]
#[argh(subcommand, name = "slopes")]
struct Slopes {
    /// file to write; default docs/dev/slopes.json
    #[argh(option, default = "String::from(\"docs/dev/slopes.json\")")]
    out: String,
}

/// Write the capacity page and the plots from measured slopes.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct Capacity {
    /// file with the slopes; default docs/dev/slopes.json
    #[argh(option, default = "String::from(\"docs/dev/slopes.json\")")]
    slopes: String,
    /// folder of the docs; default docs
    #[argh(option, default = "String::from(\"docs\")")]
    docs: String,
}

/// Allocator that counts the bytes in use, to measure the memory of state.
struct CountingAllocator;

static ALLOCATED_BYTES: AtomicUsize = AtomicUsize::new(0);

// SAFETY: Every call is passed on unchanged to the system's allocator; in addition
// only a counter is updated.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED_BYTES.fetch_add(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        ALLOCATED_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn main() {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Routing(arguments) => compare_routing(&arguments),
        Command::Sharing(arguments) => compare_sharing(&arguments),
        Command::Slopes(arguments) => measure_slopes(&arguments),
        Command::Capacity(arguments) => {
            if let Err(error) = write_capacity(&arguments) {
                eprintln!("failed to write the capacity page: {error}. Run `slopes` first");
                std::process::exit(1);
            }
        }
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

fn measure_slopes(arguments: &Slopes) {
    let all = slopes::measure(|| ALLOCATED_BYTES.load(Ordering::Relaxed));
    println!("| Series | Unit | Sizes and values | Growth |");
    println!("| --- | --- | --- | --- |");
    for series in &all {
        let points = series
            .points
            .iter()
            .map(|(size, value)| format!("{size}: {value:.2}"));
        let points: Vec<String> = points.collect();
        println!(
            "| {} | {} | {} ({}) | {:.2} |",
            series.name,
            series.unit,
            points.join(", "),
            series.size_of,
            series.exponent()
        );
    }
    let text = serde_json::to_string_pretty(&all).unwrap_or_default();
    match std::fs::write(&arguments.out, text + "\n") {
        Ok(()) => println!("written to {}", arguments.out),
        Err(error) => eprintln!(
            "failed to write {}: {error}. Check that its folder exists",
            arguments.out
        ),
    }
}

fn write_capacity(arguments: &Capacity) -> Result<(), Box<dyn Error>> {
    let all: Vec<Series> = serde_json::from_str(&std::fs::read_to_string(&arguments.slopes)?)?;
    let docs = Path::new(&arguments.docs);
    std::fs::write(
        docs.join("dev/own-log-capacity.md"),
        capacity::render(&all)?,
    )?;
    let folder = docs.join("dev/plots");
    std::fs::create_dir_all(&folder)?;
    for series in &all {
        plots::draw(series, &folder)?;
    }
    std::fs::write(docs.join("dev/plots.md"), plots::render_page(&all))?;
    println!("written {}", docs.join("dev/own-log-capacity.md").display());
    Ok(())
}
