//! Random sequences of faults against real nodes, in virtual time.
//!
//! Each test runs a thousand sequences drawn from a fixed seed and checks all
//! guarantees after each. A failing sequence is shrunk and printed. The environment
//! variable `FAULT_SEQUENCES` sets another number of sequences.

use crate::scenarios::SPA;
use crate::scenarios::publish;
use crate::scenarios::send;
use crate::scenarios::submit;
use crate::scenarios::usual_world;
use crate::world::LogMode;
use crate::world::UpstreamMode;
use crate::world::World;
use goldcrestway_core::Limits;
use goldcrestway_core::Seat;
use goldcrestway_inventory::Sections;
use goldcrestway_inventory::load_sections;
use proptest::collection::vec;
use proptest::prelude::BoxedStrategy;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_oneof;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestCaseError;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

/// One step of a sequence: a fault, a repair, a request or a wait.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Kill(u16),
    Restart(u16),
    Stop(u16),
    Pause(u16),
    Resume(u16),
    /// Drops all messages from the first seat to the second.
    Cut(u16, u16),
    /// Cuts a seat off from the log.
    CutLog(u16),
    /// Ends all cuts between seats and to the log.
    JoinAll,
    Log(LogMode),
    Send {
        via: u16,
        identity: u8,
        is_once: bool,
    },
    Submit {
        via: u16,
        kind: u8,
        name: u8,
    },
    WorkerDies(u8),
    WorkerReturns(u8),
    /// Drops all calls to a worker.
    WorkerCut(u8),
    /// Ends the cut to a worker.
    WorkerJoined(u8),
    WorkerPauses(u8),
    /// Resumes a paused worker.
    WorkerWakes(u8),
    WorkerLeaves(u8),
    Upstream(u8, UpstreamMode),
    UpstreamSlow(u8),
    Publish {
        via: u16,
        base: u64,
        id: u8,
    },
    /// Removes old records from the shared streams, as retention does.
    Expire,
    /// Lets the given number of milliseconds pass.
    Wait(u64),
}

const SEATS: u16 = 3;

fn seat() -> impl Strategy<Value = u16> {
    0..SEATS
}

fn host_faults() -> BoxedStrategy<Fault> {
    prop_oneof![
        1 => seat().prop_map(Fault::Kill),
        3 => seat().prop_map(Fault::Restart),
        1 => seat().prop_map(Fault::Stop),
        2 => seat().prop_map(Fault::Pause),
        3 => seat().prop_map(Fault::Resume),
        1 => (seat(), seat()).prop_map(|(one, other)| Fault::Cut(one, other)),
        1 => seat().prop_map(Fault::CutLog),
        2 => Just(Fault::JoinAll),
        1 => Just(Fault::Log(LogMode::Down)),
        1 => Just(Fault::Log(LogMode::LosesAnswers)),
        1 => Just(Fault::Log(LogMode::Slow(700))),
        3 => Just(Fault::Log(LogMode::Up)),
        4 => (10_u64..3_000).prop_map(Fault::Wait),
    ]
    .boxed()
}

fn request_faults() -> BoxedStrategy<Fault> {
    let mode = prop_oneof![
        3 => Just(UpstreamMode::Answers),
        1 => Just(UpstreamMode::Fails),
        1 => Just(UpstreamMode::Cuts),
        1 => Just(UpstreamMode::Refuses),
    ];
    prop_oneof![
        8 => (seat(), 0_u8..12, proptest::bool::weighted(0.8))
            .prop_map(|(via, identity, is_once)| Fault::Send { via, identity, is_once }),
        1 => (1_u8..=6, mode).prop_map(|(name, mode)| Fault::Upstream(name, mode)),
        1 => (1_u8..=6).prop_map(Fault::UpstreamSlow),
    ]
    .boxed()
}

fn job_faults() -> BoxedStrategy<Fault> {
    prop_oneof![
        6 => (seat(), 0_u8..3, 0_u8..40).prop_map(|(via, kind, name)| Fault::Submit { via, kind, name }),
        1 => (1_u8..=9).prop_map(Fault::WorkerDies),
        2 => (1_u8..=9).prop_map(Fault::WorkerReturns),
        1 => (1_u8..=9).prop_map(Fault::WorkerCut),
        2 => (1_u8..=9).prop_map(Fault::WorkerJoined),
        1 => (1_u8..=9).prop_map(Fault::WorkerPauses),
        2 => (1_u8..=9).prop_map(Fault::WorkerWakes),
        1 => (1_u8..=9).prop_map(Fault::WorkerLeaves),
    ]
    .boxed()
}

fn operator_faults() -> BoxedStrategy<Fault> {
    prop_oneof![
        6 => (seat(), 0_u64..6, 0_u8..8).prop_map(|(via, base, id)| Fault::Publish { via, base, id }),
        1 => Just(Fault::Expire),
    ]
    .boxed()
}

/// Planned stops and replacements of hosts while the log fails and recovers.
fn replacement_faults() -> BoxedStrategy<Fault> {
    prop_oneof![
        3 => seat().prop_map(Fault::Stop),
        3 => seat().prop_map(Fault::Restart),
        1 => seat().prop_map(Fault::Kill),
        1 => seat().prop_map(Fault::Pause),
        2 => seat().prop_map(Fault::Resume),
        1 => (seat(), seat()).prop_map(|(one, other)| Fault::Cut(one, other)),
        1 => Just(Fault::JoinAll),
        3 => Just(Fault::Log(LogMode::Down)),
        2 => Just(Fault::Log(LogMode::Up)),
        6 => (1_000_u64..6_000).prop_map(Fault::Wait),
    ]
    .boxed()
}

/// Runs sequences of steps drawn from `first` and `second` with a fixed seed.
fn run_family(seed: u8, first: BoxedStrategy<Fault>, second: BoxedStrategy<Fault>) {
    const DEFAULT_SEQUENCES: u32 = 1_000;
    const LENGTH: std::ops::Range<usize> = 4..24;
    let requested = std::env::var("FAULT_SEQUENCES")
        .ok()
        .and_then(|text| text.parse().ok());
    let config = Config {
        cases: requested.unwrap_or(DEFAULT_SEQUENCES),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let sequences = vec(prop_oneof![first, second], LENGTH);
    let result = runner.run(&sequences, |faults| {
        let violations = run_sequence(&faults);
        match violations.is_empty() {
            true => Ok(()),
            false => Err(TestCaseError::fail(violations.join("; "))),
        }
    });
    if let Err(failure) = result {
        panic!("seed {seed}: {failure}");
    }
}

/// Runs a sequence, ends all faults, waits for recovery, and returns the violated
/// guarantees.
fn run_sequence(faults: &[Fault]) -> Vec<String> {
    const STARTUP_MS: u64 = 4_500;
    const RECOVERY_MS: u64 = 14_000;
    let limits = Limits {
        carry_records: 20,
        ..Limits::default()
    };
    let mut world = usual_world(SEATS, limits, 1_500, 7);
    world.run(STARTUP_MS);
    publish(&mut world, Seat(0), "first", 0, &Sections::new(), SPA);
    world.run(2_000);
    for fault in faults {
        inject_fault(&mut world, *fault);
        world.run(50);
    }
    end_all_faults(&mut world);
    world.run(RECOVERY_MS);
    world.violations()
}

fn end_all_faults(world: &mut World) {
    world.edges.log_mode = LogMode::Up;
    world.edges.log_cuts.clear();
    world.cut_links.clear();
    for seat in 0..SEATS {
        world.pause(Seat(seat), false);
        if !world.runs(Seat(seat)) {
            world.kill(Seat(seat));
            world.start(Seat(seat));
        }
    }
    for number in 1..=9 {
        let now_ms = world.now_ms;
        world.edges.wake_worker(now_ms, &format!("w{number}"));
    }
    for worker in world.edges.workers.values_mut() {
        worker.is_dead = false;
        worker.is_cut = false;
    }
}

fn inject_fault(world: &mut World, fault: Fault) {
    let now_ms = world.now_ms;
    match fault {
        Fault::Kill(seat) => world.kill(Seat(seat)),
        Fault::Restart(seat) => {
            world.kill(Seat(seat));
            world.start(Seat(seat));
        }
        Fault::Stop(seat) => world.deliver(Seat(seat), goldcrestway_core::Event::Stop),
        Fault::Pause(seat) => world.pause(Seat(seat), true),
        Fault::Resume(seat) => world.pause(Seat(seat), false),
        Fault::Cut(one, other) => {
            world.cut_links.insert((Seat(one), Seat(other)));
        }
        Fault::CutLog(seat) => drop(world.edges.log_cuts.insert(Seat(seat))),
        Fault::JoinAll => {
            world.cut_links.clear();
            world.edges.log_cuts.clear();
        }
        Fault::Log(mode) => world.edges.log_mode = mode,
        Fault::Send {
            via,
            identity,
            is_once,
        } => {
            let prefix = if is_once { "once" } else { "free" };
            // Identities of non-idempotent requests come from a small range, so that
            // some are repeated. Idempotent requests need no identity and each gets
            // a name of its own.
            let suffix = if is_once {
                u64::from(identity)
            } else {
                world.next_request()
            };
            let name = format!("{prefix}{suffix}");
            send(world, Seat(via), &name, is_once, 2_500);
        }
        Fault::Submit { via, kind, name } => {
            let job = ["roster", "replan", "confirm"][usize::from(kind)];
            submit(world, Seat(via), job, &format!("{job}{name}"));
        }
        Fault::Upstream(number, mode) => upstream(world, number).mode = mode,
        Fault::UpstreamSlow(number) => upstream(world, number).work_ms = 400,
        Fault::Publish { via, base, id } => publish_change(world, via, base, id),
        Fault::Expire => {
            for stream in ["claims", "config"] {
                world.edges.log.expire(stream, 30);
            }
        }
        Fault::Wait(duration_ms) => world.run(duration_ms),
        Fault::WorkerWakes(number) => world.edges.wake_worker(now_ms, &format!("w{number}")),
        _ => inject_worker_fault(world, fault),
    }
}

fn upstream(world: &mut World, number: u8) -> &mut crate::world::Upstream {
    let name = format!("b{number}");
    world
        .edges
        .upstreams
        .get_mut(&*name)
        .expect("the instance exists")
}

fn inject_worker_fault(world: &mut World, fault: Fault) {
    let now_ms = world.now_ms;
    let (Fault::WorkerDies(number)
    | Fault::WorkerReturns(number)
    | Fault::WorkerCut(number)
    | Fault::WorkerJoined(number)
    | Fault::WorkerPauses(number)
    | Fault::WorkerLeaves(number)) = fault
    else {
        return;
    };
    let name = format!("w{number}");
    let worker = world
        .edges
        .workers
        .get_mut(&*name)
        .expect("the worker exists");
    match fault {
        Fault::WorkerDies(_) => {
            worker.state.crash(now_ms);
            worker.is_dead = true;
        }
        Fault::WorkerReturns(_) => worker.is_dead = false,
        Fault::WorkerCut(_) => worker.is_cut = true,
        Fault::WorkerJoined(_) => worker.is_cut = false,
        Fault::WorkerPauses(_) => worker.is_paused = true,
        _ => {
            worker.is_leaving = true;
            world.list_hosts();
        }
    }
}

fn publish_change(world: &mut World, via: u16, base: u64, id: u8) {
    let (old, _) = load_sections("inventory.ini", SPA).expect("the inventory is valid");
    let text = format!(
        "{SPA}\n[rule quota-desk]\nkind = quota\nteam = desk\ncores = {}\nmemory_mb = 100000\n",
        40 + u32::from(id)
    );
    publish(world, Seat(via), &format!("change{id}"), base, &old, &text);
}

/// Guards against two members that act for one cell. Hosts die, pause and lose their
/// connections to each other and to the log in any order; ownership must survive all
/// of these faults and stay exclusive.
#[test]
fn ownership_is_exclusive_under_faults() {
    run_family(1, host_faults(), request_faults());
}

/// Guards against a non-idempotent request that runs twice (a truck is sent twice),
/// and against the answer "not run" to one that has run. Callers repeat identities at
/// other hosts while hosts and instances fail; an attempt whose outcome is unknown
/// must not be treated as one that did not run.
#[test]
fn identities_run_at_most_once_under_faults() {
    run_family(
        2,
        request_faults(),
        prop_oneof![host_faults(), request_faults()].boxed(),
    );
}

/// Guards against a job that runs in two places at once, runs twice or never runs.
/// Workers and hosts die, pause, leave and lose connections; each step of a job must
/// be recorded in order.
#[test]
fn jobs_resume_once_under_faults() {
    run_family(
        3,
        job_faults(),
        prop_oneof![host_faults(), job_faults()].boxed(),
    );
}

/// Guards against a configuration that reverts, and against two conflicting changes
/// that are both accepted. Changes race while hosts restart and retention removes
/// records; the order of the log alone must decide.
#[test]
fn configuration_never_reverts_under_faults() {
    run_family(4, operator_faults(), host_faults());
}

/// Guards against a handed-over member that acts in two places, or whose jobs run
/// twice. Hosts stop, are replaced, pause and die while the log fails and recovers;
/// a stopping host must stop acting before it sends the handover, and the successor
/// needs lease votes before it acts.
#[test]
fn handed_over_members_act_in_one_place_under_faults() {
    let work = prop_oneof![job_faults(), request_faults()].boxed();
    run_family(
        5,
        replacement_faults(),
        prop_oneof![replacement_faults(), work].boxed(),
    );
}
