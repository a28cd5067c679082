//! Random sequences of faults with callers that leave before they are answered and cancel at another
//! host, gangs on workers that fail all that they start, and jobs whose starts are refused.
//!
//! The seeds are chosen as in `dispatch_faults`, whose faults these sequences have as well.

use crate::dispatch_faults::Callers;
use crate::dispatch_faults::FAULTS;
use crate::dispatch_faults::HOSTS;
use crate::dispatch_faults::RECOVERY_MS;
use crate::dispatch_faults::WORKERS;
use crate::dispatch_faults::end_faults;
use crate::dispatch_faults::inject_faults;
use crate::dispatch_faults::list_unexpected_states;
use crate::dispatch_faults::seeds;
use crate::fleet::Behaviour;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Reply;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Submission;
use googletest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand_pcg::Pcg64;
use std::collections::BTreeSet;

/// Time after the last fault until late appends are carried out, an owner has read everything, and
/// cancellations are in force.
const SETTLED_MS: u64 = 14_000;
/// Longest time by which the store is late.
const MAX_APPEND_DELAY_MS: u64 = 6_000;
/// Time after which an accepted job that has not begun counts as waiting.
const VISIBLE_MS: u64 = 5_000;
/// Jobs with higher numbers are cancelled and never submitted.
const NEVER_SUBMITTED: u64 = 1_000_000;

/// Cancellations of a sequence, by the numbers of their requests.
#[derive(Default)]
struct Cancellations(Vec<(JobId, u64)>);

impl Cancellations {
    fn send(&mut self, fleet: &mut Fleet, host: usize, id: u64) {
        self.0.push((JobId(id), fleet.cancel(host, id)));
    }

    /// Returns the jobs whose callers were told that nothing of them will run.
    fn confirmed(&self, fleet: &Fleet) -> BTreeSet<JobId> {
        let mut confirmed = BTreeSet::new();
        for (id, request) in &self.0 {
            let reply = fleet.replies.get(request);
            if matches!(reply, Some(Reply::Stored | Reply::NoSuchJob)) {
                confirmed.insert(*id);
            }
        }
        confirmed
    }
}

/// Returns the jobs that have run although their callers were told that they do not exist.
fn list_denied(fleet: &mut Fleet, cancellations: &Cancellations) -> Vec<String> {
    let mut list = Vec::new();
    for (id, request) in &cancellations.0 {
        let is_denied = fleet.replies.get(request) == Some(&Reply::NoSuchJob);
        if is_denied
            && let Some(state) = fleet.state(0, id.0).filter(|it| *it != JobState::Cancelled)
        {
            list.push(format!("job {id} was told not to exist, and is {state:?}"));
        }
    }
    list
}

fn two_steps(random: &mut Pcg64) -> Submission {
    let first_ms = random.random_range(500..4_000);
    job(vec![step(2, first_ms, &[]), step(2, 2_000, &[0])])
}

fn disturb_callers(
    fleet: &mut Fleet,
    random: &mut Pcg64,
    jobs: &mut u64,
    cancellations: &mut Cancellations,
) {
    let host = random.random_range(0..fleet.host_count());
    let other = random.random_range(0..fleet.host_count());
    match random.random_range(0..6) {
        0 | 1 => {
            *jobs += 1;
            let submission = two_steps(random);
            fleet.append_delay_ms = Some(random.random_range(50..MAX_APPEND_DELAY_MS));
            fleet.submit(host, *jobs, &submission);
            fleet.append_delay_ms = None;
            fleet.run(random.random_range(0..900));
            if random.random_range(0..3) == 0 {
                fleet.kill(host);
            }
            cancellations.send(fleet, other, *jobs);
        }
        2 => {
            let id = NEVER_SUBMITTED + random.random_range(0..20);
            cancellations.send(fleet, other, id);
        }
        3 => {
            let address = format!("10.0.0.{}:80", random.random_range(0..WORKERS));
            if let Some(worker) = fleet.workers.get_mut(&*address) {
                worker.behaviour = Behaviour::Fails;
            }
            *jobs += 1;
            let gang = Step {
                is_gang: true,
                ..step(
                    random.random_range(2..9),
                    random.random_range(200..2_000),
                    &[],
                )
            };
            fleet.submit(host, *jobs, &job(vec![gang]));
        }
        4 => {
            *jobs += 1;
            fleet.promises.faulty.insert(JobId(*jobs));
            fleet.submit(host, *jobs, &job(vec![step(2, 300, &[])]));
        }
        _ => {
            for worker in fleet.workers.values_mut() {
                worker.behaviour = Behaviour::Healthy;
            }
        }
    }
}

/// Returns the hosts that give less than half of the accepted jobs that have not begun as waiting.
fn list_low_counts(fleet: &mut Fleet) -> Vec<String> {
    let begun: BTreeSet<JobId> = fleet
        .promises
        .starts
        .iter()
        .map(|start| start.1.job)
        .collect();
    let mut unbegun = 0;
    for id in &fleet.promises.accepted {
        let is_open = !begun.contains(id) && !fleet.promises.cancelled.contains(id);
        unbegun += u64::from(is_open);
    }
    let requests: Vec<u64> = (0..fleet.host_count())
        .map(|host| fleet.count(host))
        .collect();
    fleet.run(2_500);
    let mut list = Vec::new();
    for (host, request) in requests.iter().enumerate() {
        let reply = fleet.replies.get(request);
        if !matches!(reply, Some(Reply::Waiting(count)) if 2 * count >= unbegun) {
            list.push(format!("host {host}: {unbegun} have not begun, {reply:?}"));
        }
    }
    list
}

/// Returns the starts from the given one on that belong to jobs of which nothing may run.
fn list_starts_of(fleet: &Fleet, confirmed: &BTreeSet<JobId>, from: usize) -> Vec<String> {
    let mut list = Vec::new();
    for (worker, task, run) in &fleet.promises.starts[from..] {
        if confirmed.contains(&task.job) {
            list.push(format!("{task} run {run} starts at {worker}, cancelled"));
        }
    }
    list
}

/// Runs a sequence and returns the guarantees that were violated.
fn run_sequence(seed: u64, mut fleet: Fleet) -> Vec<String> {
    let mut random = Pcg64::seed_from_u64(seed);
    let mut jobs = 0;
    let mut cancellations = Cancellations::default();
    for _ in 0..FAULTS {
        inject_faults(&mut fleet, &mut random, &mut jobs, Callers::Plain);
        disturb_callers(&mut fleet, &mut random, &mut jobs, &mut cancellations);
        fleet.run(random.random_range(50..1_500));
    }
    end_faults(&mut fleet);
    let confirmed = cancellations.confirmed(&fleet);
    fleet.run(SETTLED_MS);
    let starts = fleet.promises.starts.len();
    fleet.run(VISIBLE_MS);
    let mut violations = list_low_counts(&mut fleet);
    fleet.promises.faulty.clear();
    fleet.run(RECOVERY_MS);
    violations.extend(list_starts_of(&fleet, &confirmed, starts));
    violations.extend(list_denied(&mut fleet, &cancellations));
    violations.extend(fleet.promises.broken.clone());
    violations.extend(list_unexpected_states(&mut fleet));
    violations.extend(fleet.list_cancelled_runs());
    if !violations.is_empty() && std::env::var("DISPATCH_LOG").is_ok() {
        println!("{violations:#?}\n{}", fleet.log_lines.join("\n"));
    }
    violations
}

/// Guards against jobs that start after a confirmed cancellation, gangs that are given up before
/// their attempts are used up, and jobs that do not count as waiting although none of their tasks has
/// started, under a mix of faults.
#[gtest]
fn guarantees_hold_with_callers_that_leave() {
    for seed in seeds(1) {
        let violations = run_sequence(seed, Fleet::new(HOSTS, WORKERS));
        expect_that!(violations, is_empty(), "seed {seed}");
    }
}

/// The same where most hosts read only rules and ask the owner.
#[gtest]
fn guarantees_hold_with_callers_that_leave_and_relayed_orders() {
    for seed in seeds(2) {
        let violations = run_sequence(seed, Fleet::with_relays(HOSTS, WORKERS));
        expect_that!(violations, is_empty(), "seed {seed}");
    }
}
