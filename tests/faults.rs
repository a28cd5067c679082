//! Random sequences of faults against the real decisions, in virtual time.
//!
//! Each family draws at least a thousand sequences from a fixed seed and checks
//! every promise after each. A failing sequence is shrunk and printed. Set
//! `FAULT_SEQUENCES` for more.

use crate::scenarios::SPA_INVENTORY;
use crate::scenarios::default_world;
use crate::scenarios::publish;
use crate::scenarios::send;
use crate::scenarios::submit;
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

/// One thing that happens, after which some time passes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    Kill(u16),
    Restart(u16),
    Stop(u16),
    Pause(u16),
    Resume(u16),
    Cut(u16, u16),
    CutLog(u16),
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
    WorkerCut(u8),
    WorkerJoined(u8),
    WorkerPauses(u8),
    WorkerWakes(u8),
    WorkerLeaves(u8),
    Upstream(u8, UpstreamMode),
    UpstreamSlow(u8),
    Publish {
        via: u16,
        base: u64,
        id: u8,
    },
    Expire,
    Wait(u64),
}

const SEATS: u16 = 3;

fn seat() -> impl Strategy<Value = u16> {
    0..SEATS
}

fn hosts() -> BoxedStrategy<Fault> {
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

fn requests() -> BoxedStrategy<Fault> {
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

fn jobs() -> BoxedStrategy<Fault> {
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

fn operators() -> BoxedStrategy<Fault> {
    prop_oneof![
        6 => (seat(), 0_u64..6, 0_u8..8).prop_map(|(via, base, id)| Fault::Publish { via, base, id }),
        1 => Just(Fault::Expire),
    ]
    .boxed()
}

/// Planned stops and replacements while the log comes and goes.
fn replacements() -> BoxedStrategy<Fault> {
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

/// Runs sequences drawn from two kinds of faults.
fn run_family(seed: u8, first: BoxedStrategy<Fault>, second: BoxedStrategy<Fault>) {
    const SEQUENCES: u32 = 1_000;
    const LENGTH: std::ops::Range<usize> = 4..24;
    let wanted = std::env::var("FAULT_SEQUENCES")
        .ok()
        .and_then(|text| text.parse().ok());
    let config = Config {
        cases: wanted.unwrap_or(SEQUENCES),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let random = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config, random);
    let sequences = vec(prop_oneof![first, second], LENGTH);
    let verdict = runner.run(&sequences, |faults| {
        let broken = play(&faults);
        match broken.is_empty() {
            true => Ok(()),
            false => Err(TestCaseError::fail(broken.join("; "))),
        }
    });
    if let Err(failure) = verdict {
        panic!("seed {seed}: {failure}");
    }
}

/// Plays a sequence, lets everything heal, and lists what broke.
fn play(faults: &[Fault]) -> Vec<String> {
    const READY_MS: u64 = 4_500;
    const HEAL_MS: u64 = 14_000;
    let limits = Limits {
        carry_records: 20,
        ..Limits::default()
    };
    let mut world = default_world(SEATS, limits, 1_500, 7);
    world.run(READY_MS);
    publish(
        &mut world,
        Seat(0),
        "first",
        0,
        &Sections::new(),
        SPA_INVENTORY,
    );
    world.run(2_000);
    for fault in faults {
        inflict(&mut world, *fault);
        world.run(50);
    }
    heal(&mut world);
    world.run(HEAL_MS);
    world.broken()
}

fn heal(world: &mut World) {
    world.edges.log_mode = LogMode::Up;
    world.edges.log_cuts.clear();
    world.cuts.clear();
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

fn inflict(world: &mut World, fault: Fault) {
    let now_ms = world.now_ms;
    match fault {
        Fault::Kill(seat) => world.kill(Seat(seat)),
        Fault::Restart(seat) => {
            world.kill(Seat(seat));
            world.start(Seat(seat));
        }
        Fault::Stop(seat) => world.give(Seat(seat), goldcrestway_core::Event::Stop),
        Fault::Pause(seat) => world.pause(Seat(seat), true),
        Fault::Resume(seat) => world.pause(Seat(seat), false),
        Fault::Cut(one, other) => {
            world.cuts.insert((Seat(one), Seat(other)));
        }
        Fault::CutLog(seat) => drop(world.edges.log_cuts.insert(Seat(seat))),
        Fault::JoinAll => {
            world.cuts.clear();
            world.edges.log_cuts.clear();
        }
        Fault::Log(mode) => world.edges.log_mode = mode,
        Fault::Send {
            via,
            identity,
            is_once,
        } => {
            let prefix = if is_once { "once" } else { "free" };
            // An identity of a non-idempotent request may be repeated; others are
            // each their own, as callers that may repeat freely need none.
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
        _ => hurt_worker(world, fault),
    }
}

fn upstream(world: &mut World, number: u8) -> &mut crate::world::Upstream {
    let name = format!("b{number}");
    world
        .edges
        .upstreams
        .get_mut(&*name)
        .expect("such an instance")
}

fn hurt_worker(world: &mut World, fault: Fault) {
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
    let worker = world.edges.workers.get_mut(&*name).expect("such a worker");
    match fault {
        Fault::WorkerDies(_) => {
            worker.state.die(now_ms);
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
    let (old, _) = load_sections("inventory.ini", SPA_INVENTORY).expect("the inventory is sound");
    let text = format!(
        "{SPA_INVENTORY}\n[rule quota-desk]\nkind = quota\nteam = desk\ncores = {}\nmemory_mb = 100000\n",
        40 + u32::from(id)
    );
    publish(world, Seat(via), &format!("change{id}"), base, &old, &text);
}

/// Symptom: two members act for one cell. Sequence: hosts die, pause, lose links
/// and the log in any order. Cause: ownership must outlive and survive them all.
#[test]
fn ownership_is_exclusive_under_faults() {
    run_family(1, hosts(), requests());
}

/// Symptom: a truck is sent twice, or "not run" is told of one that was sent.
/// Sequence: callers repeat identities at other hosts while hosts and instances
/// fail. Cause: the fate of an attempt must be told apart from hearsay.
#[test]
fn identities_run_at_most_once_under_faults() {
    run_family(2, requests(), prop_oneof![hosts(), requests()].boxed());
}

/// Symptom: a job runs in two places, twice, or never. Sequence: workers and hosts
/// die, pause, leave and lose links. Cause: each step must be recorded in order.
#[test]
fn jobs_resume_once_under_faults() {
    run_family(3, jobs(), prop_oneof![hosts(), jobs()].boxed());
}

/// Symptom: a configuration reverts, or two operators both win. Sequence: changes
/// race while hosts restart and retention drops records. Cause: one order decides.
#[test]
fn configuration_never_reverts_under_faults() {
    run_family(4, operators(), hosts());
}

/// Symptom: a life that was handed over acts in two places, or its jobs run twice.
/// Sequence: hosts stop, are replaced, pause and die while the log comes and goes.
/// Cause: the one who stops must let go first, and the carrier needs promises.
#[test]
fn lives_are_carried_once_under_faults() {
    let work = prop_oneof![jobs(), requests()].boxed();
    run_family(5, replacements(), prop_oneof![replacements(), work].boxed());
}
