//! Random series of workers that restart under their ids and are cut off soon after, while tasks run
//! there for longer than any lease and the owner changes.
//!
//! Each series is generated from a seed, as the sequences of `dispatch_faults`, with the same
//! environment variables.

use crate::dispatch::owner;
use crate::dispatch_faults::RECOVERY_MS;
use crate::dispatch_faults::WORKERS;
use crate::dispatch_faults::end_faults;
use crate::dispatch_faults::list_unexpected_states;
use crate::dispatch_faults::seeds;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::Step;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;

const HOSTS: usize = 5;
/// Number of rounds of a series, each with workers that restart.
const ROUNDS: usize = 4;
/// Longest lease that workers grant, more than twice the one that owners give.
const MAX_LEASE_MS: u64 = 10_000;
/// Times after which a crashed worker runs again, and after which it then reports itself.
const DOWNTIMES_MS: [u64; 4] = [5, 100, 600, 2_500];
const REPORTS_MS: [u64; 4] = [0, 0, 1_000, 2_500];
/// Times between two faults.
const GAPS_MS: [u64; 7] = [0, 20, 80, 300, 900, 1_700, 3_000];
/// Times for which workers are cut off.
const CUTS_MS: [u64; 4] = [1_500, 6_500, 9_000, 14_000];
/// Time in which all stored jobs complete once there are no more faults.
const SETTLE_MS: u64 = RECOVERY_MS + 60_000;

/// How the owner's orders reach workers. Failures print the variants by their names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Orders {
    Direct,
    Relayed,
}

struct Series {
    fleet: Fleet,
    random: Pcg64,
    jobs: u64,
}

impl Series {
    fn new(seed: u64, orders: Orders) -> Self {
        let mut fleet = match orders {
            Orders::Direct => Fleet::new(HOSTS, WORKERS),
            Orders::Relayed => Fleet::with_relays(HOSTS, WORKERS),
        };
        fleet.set_max_lease_ms(MAX_LEASE_MS);
        fleet.keep_ids(true);
        fleet.promises.disturbed_ms = fleet.now_ms;
        Self {
            fleet,
            random: Pcg64::seed_from_u64(seed.rotate_left(24)),
            jobs: 0,
        }
    }

    fn draw(&mut self, times_ms: &[u64]) -> u64 {
        times_ms[self.random.random_range(0..times_ms.len())]
    }

    /// Lets some time pass.
    fn pass(&mut self) {
        let gap_ms = self.draw(&GAPS_MS);
        let extra_ms = self.random.random_range(0..200);
        self.fleet.run(gap_ms + extra_ms);
    }

    fn submit(&mut self) {
        let host = self.random.random_range(0..HOSTS);
        let count = self.random.random_range(1..8);
        let work_ms = self.draw(&[300, 2_500, 9_000, 25_000]);
        let single = step(count, work_ms, &[]);
        let first = match self.random.random_range(0..6) {
            0 => Step {
                is_gang: true,
                ..single
            },
            1 => Step {
                is_long_running: true,
                ..single
            },
            _ => single,
        };
        self.jobs += 1;
        self.fleet.submit(host, self.jobs, &job(vec![first]));
    }

    /// Draws one to three workers.
    fn draw_workers(&mut self) -> Vec<Box<str>> {
        let first = self.random.random_range(0..WORKERS);
        let count = self.random.random_range(1..WORKERS);
        let numbers = (first..first + count).map(|number| number % WORKERS);
        numbers
            .map(|number| format!("10.0.0.{number}:80").into())
            .collect()
    }

    fn restart(&mut self, addresses: &[Box<str>]) {
        let down_ms = self.draw(&DOWNTIMES_MS);
        let report_ms = self.draw(&REPORTS_MS);
        self.fleet.set_restart_delay_ms(down_ms);
        self.fleet.set_report_ms(report_ms);
        for address in addresses {
            self.fleet.crash(address);
        }
    }

    /// Ends the owner, takes the store from it, or leaves it alone.
    fn disturb_owner(&mut self) {
        let owner = owner(&self.fleet);
        match self.random.random_range(0..7) {
            0 | 1 => {
                self.fleet.kill(owner);
                self.fleet.start(owner);
            }
            2 => self.fleet.pause(owner),
            3 => self.fleet.stop(owner),
            4 => self.fleet.cut_from_store(owner, true),
            _ => {}
        }
    }

    fn mend_hosts(&mut self) {
        for host in 0..HOSTS {
            self.fleet.cut_from_store(host, false);
            self.fleet.resume(host);
            if !self.fleet.is_ready(host) {
                self.fleet.kill(host);
                self.fleet.start(host);
            }
        }
    }

    fn cut(&mut self, addresses: &[Box<str>]) {
        let fleet = &mut self.fleet;
        match self.random.random_range(0..4) {
            0 => fleet.mute_workers = addresses.to_vec(),
            _ => fleet.cut_workers = addresses.to_vec(),
        }
    }

    fn play_round(&mut self) {
        let addresses = self.draw_workers();
        self.submit();
        self.pass();
        self.restart(&addresses);
        self.pass();
        self.submit();
        self.pass();
        if self.random.random_range(0..4) == 0 {
            self.restart(&addresses);
            self.pass();
        }
        self.disturb_owner();
        self.pass();
        self.cut(&addresses);
        self.pass();
        self.disturb_owner();
        let cut_ms = self.draw(&CUTS_MS);
        self.fleet.run(cut_ms);
        if self.random.random_range(0..2) == 0 {
            self.mend_hosts();
        }
        self.fleet.cut_workers.clear();
        self.fleet.mute_workers.clear();
        self.pass();
        self.mend_hosts();
    }

    /// Ends all faults, and returns the guarantees that were violated.
    fn finish(mut self) -> Vec<String> {
        end_faults(&mut self.fleet);
        self.fleet.run(SETTLE_MS);
        let fleet = &mut self.fleet;
        let mut violations = fleet.promises.broken.clone();
        violations.extend(list_unexpected_states(fleet));
        if !violations.is_empty() && std::env::var("DISPATCH_LOG").is_ok() {
            println!("{violations:#?}\n{}", fleet.log_lines.join("\n"));
        }
        violations
    }
}

fn run_series(seed: u64, orders: Orders) -> Vec<String> {
    let mut series = Series::new(seed, orders);
    for _ in 0..ROUNDS {
        series.play_round();
    }
    series.finish()
}

/// Guards against a task that runs twice at the same time or again after its success, and an accepted
/// job that is lost, where leases by the clock of a previous incarnation outlast those of the owner.
#[gtest]
fn guarantees_hold_with_restarted_workers_that_are_cut_off() {
    for seed in seeds(2) {
        for orders in [Orders::Direct, Orders::Relayed] {
            expect_that!(
                run_series(seed, orders),
                is_empty(),
                "seed {seed}, {orders:?}"
            );
        }
    }
}

/// Series that still fail: a job is given up for two workers that crashed at once under one run of it.
const OPEN_SEEDS: &[(u64, Orders)] = &[
    (20_308, Orders::Relayed),
    (20_443, Orders::Relayed),
    (20_530, Orders::Relayed),
];

/// Guards against an accepted job that is lost. These seeds are not fixed.
#[gtest]
fn guarantees_hold_for_unfixed_seeds_with_restarted_workers() {
    for (seed, orders) in OPEN_SEEDS {
        expect_that!(
            run_series(*seed, *orders),
            is_empty(),
            "seed {seed}, {orders:?}"
        );
    }
}
