//! Benchmarks of scheduling decisions and of simple baselines. `cargo bench -p goldcrestway-bench`
//! prints both, and their ratio at the end.

use criterion::BenchmarkId;
use criterion::Criterion;
use goldcrestway_bench::dispatching::Fleet;
use goldcrestway_bench::slopes::PLANNED_TASKS;
use goldcrestway_bench::slopes::decide_start;
use goldcrestway_bench::slopes::first_fit;
use goldcrestway_bench::slopes::grant_and_release;
use goldcrestway_bench::slopes::upstream_cell;
use goldcrestway_bench::slopes::worker_cells;
use goldcrestway_inventory::Resources;
use rand::SeedableRng;
use rand_pcg::Pcg32;
use std::hint::black_box;
use std::time::Duration;
use std::time::Instant;

const SIZES: [usize; 3] = [50, 500, 8_400];
const REQUESTED: Resources = Resources {
    millicores: 500,
    memory_mb: 1_000,
    accelerators: 0,
};

/// Returns the free resources of a busy fleet, in which only a host far down the list has any.
fn busy_fleet(hosts: usize) -> Vec<Resources> {
    let mut free = vec![Resources::default(); hosts];
    free[hosts * 9 / 10] = REQUESTED;
    free
}

fn starts(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("start");
    for hosts in SIZES {
        let mut cells = worker_cells(hosts, PLANNED_TASKS * hosts / 8_400);
        let mut random = Pcg32::seed_from_u64(5);
        let mut number = 0;
        group.bench_function(BenchmarkId::new("chosen", hosts), |bencher| {
            bencher.iter(|| {
                number += 1;
                decide_start(&mut cells, &mut random, number);
            });
        });
        let free = busy_fleet(hosts);
        group.bench_function(BenchmarkId::new("first fit", hosts), |bencher| {
            bencher.iter(|| first_fit(black_box(&free), REQUESTED));
        });
    }
    group.finish();
}

/// Measures the start of a job of ten tasks by an owner whose workers already run many.
fn owner_starts(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("owner");
    group.sample_size(10);
    for (workers, tasks) in [(48, 1_000), (490, 10_000), (8_400, 172_000)] {
        let mut fleet = Fleet::new(workers, tasks);
        group.bench_function(BenchmarkId::new("job of ten tasks", workers), |bencher| {
            bencher.iter(|| {
                fleet.submit(10, 1);
                fleet.tick();
            });
        });
    }
    group.finish();
}

fn slots(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("slot");
    for instances in [8, 60, 500] {
        let mut cell = upstream_cell(instances);
        let mut number = 0;
        group.bench_function(BenchmarkId::new("chosen", instances), |bencher| {
            bencher.iter(|| {
                number += 1;
                grant_and_release(&mut cell, number);
            });
        });
    }
    group.finish();
}

/// Prints each decision as a ratio to its baseline.
fn ratios() {
    const ROUNDS: usize = 20_000;
    for hosts in SIZES {
        let mut cells = worker_cells(hosts, PLANNED_TASKS * hosts / 8_400);
        let mut random = Pcg32::seed_from_u64(5);
        let started = Instant::now();
        for number in 0..ROUNDS {
            decide_start(&mut cells, &mut random, number);
        }
        let chosen = started.elapsed();
        let free = busy_fleet(hosts);
        let started = Instant::now();
        for _ in 0..ROUNDS {
            black_box(first_fit(black_box(&free), REQUESTED));
        }
        let ratio = chosen.as_secs_f64() / started.elapsed().as_secs_f64();
        println!("start at {hosts} hosts: {ratio:.2} of the time of first fit");
    }
}

fn main() {
    let mut criterion = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_millis(700))
        .configure_from_args();
    starts(&mut criterion);
    owner_starts(&mut criterion);
    slots(&mut criterion);
    ratios();
    criterion.final_summary();
}
