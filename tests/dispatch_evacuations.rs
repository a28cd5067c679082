//! Failure domains that operators evacuate: nothing new starts there until that is taken back.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Behaviour;
use crate::fleet::EVACUATED_MS;
use crate::fleet::Fleet;
use crate::fleet::Mode;
use crate::fleet::WORKER_RESOURCES;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_core::Code;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Resources;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Stream;
use goldcrestway_dispatch::Submission;
use googletest::prelude::*;

const HOSTS: usize = 3;
const WORKERS: usize = 6;
const HALL: &str = "hall-0";
const OTHER_HALL: &str = "hall-1";
/// Time in which jobs that were held up come to their end: leases run out first.
const SETTLED_MS: u64 = 20_000;

/// Tasks start at workers of a failure domain that the operator has evacuated.
#[gtest]
fn an_evacuated_failure_domain_gets_nothing_new() {
    let mut fleet = Fleet::new(3, 4);
    fleet.evacuate("hall-0");
    fleet.run(EVACUATED_MS);
    fleet.submit(0, JOB, &job(vec![step(20, 300, &[])]));
    fleet.run(3_000);
    expect_that!(fleet.starts_in("hall-0", 0), eq(0));
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
}

/// Something that may start a task after its failure domain was evacuated.
struct Case {
    name: &'static str,
    submission: fn() -> Submission,
    /// What happens just before the evacuation, while the job is under way.
    before: fn(&mut Fleet),
    /// What happens just after it.
    after: fn(&mut Fleet),
    /// What ends the trouble, once nothing may start there any more.
    heal: fn(&mut Fleet),
}

fn rows() -> Submission {
    job(vec![step(20, 400, &[]), step(20, 400, &[0])])
}

fn lasting() -> Submission {
    let lasting = Step {
        is_long_running: true,
        ..step(4, 1_000, &[])
    };
    job(vec![lasting])
}

fn gangs() -> Submission {
    let gang = Step {
        is_gang: true,
        ..step(12, 2_000, &[])
    };
    job(vec![
        gang.clone(),
        Step {
            after: vec![0],
            ..gang
        },
    ])
}

fn copied() -> Submission {
    let copied = Step {
        is_speculative: true,
        ..step(8, 1_500, &[])
    };
    job(vec![copied])
}

fn timed() -> Submission {
    Submission {
        repetitions: 8,
        first_due_wall_ms: 1_700_000_005_000,
        interval_ms: 1_000,
        ..job(vec![step(10, 300, &[])])
    }
}

fn permitted() -> Submission {
    Submission {
        permit_decision_ms: 20,
        permit_worker_us: 1_000,
        permit_validity_ms: 1_000,
        ..job(vec![step(12, 900, &[]), step(12, 900, &[0])])
    }
}

fn nothing(_: &mut Fleet) {}

fn lose_orders(fleet: &mut Fleet) {
    fleet.order_delay_ms = Some(2_500);
}

fn end_losses(fleet: &mut Fleet) {
    fleet.order_delay_ms = None;
}

fn hang_others(fleet: &mut Fleet) {
    for address in fleet.workers_in(OTHER_HALL).into_iter().take(1) {
        if let Some(worker) = fleet.workers.get_mut(&address) {
            worker.behaviour = Behaviour::Hangs;
        }
    }
}

fn cure(fleet: &mut Fleet) {
    for worker in fleet.workers.values_mut() {
        worker.behaviour = Behaviour::Healthy;
    }
}

fn kill_owner(fleet: &mut Fleet) {
    fleet.kill(owner(fleet));
}

fn kill_all(fleet: &mut Fleet) {
    for number in 0..HOSTS {
        fleet.kill(number);
        fleet.start(number);
    }
}

fn start_all(fleet: &mut Fleet) {
    for number in 0..HOSTS {
        fleet.cut_from_store(number, false);
        fleet.resume(number);
        if fleet.owners() == 0 || number != owner(fleet) {
            fleet.kill(number);
            fleet.start(number);
        }
    }
}

fn darken(fleet: &mut Fleet) {
    for address in fleet.workers_in(HALL) {
        fleet.crash(&address);
    }
}

const CASES: &[Case] = &[
    Case {
        name: "tasks of steps that begin later",
        submission: rows,
        before: nothing,
        after: nothing,
        heal: nothing,
    },
    Case {
        name: "starts without an answer, sent again",
        submission: rows,
        before: lose_orders,
        after: end_losses,
        heal: nothing,
    },
    Case {
        name: "starts without an answer, before and after",
        submission: rows,
        before: lose_orders,
        after: nothing,
        heal: end_losses,
    },
    Case {
        name: "tasks whose workers fail",
        submission: rows,
        before: |fleet| fleet.crash("10.0.0.1:80"),
        after: nothing,
        heal: nothing,
    },
    Case {
        name: "lasting tasks of a domain that went dark",
        submission: lasting,
        before: darken,
        after: nothing,
        heal: nothing,
    },
    Case {
        name: "lasting tasks of a domain that goes dark while evacuated",
        submission: lasting,
        before: nothing,
        after: darken,
        heal: nothing,
    },
    Case {
        name: "gangs with members there",
        submission: gangs,
        before: nothing,
        after: nothing,
        heal: nothing,
    },
    Case {
        name: "gangs of which one member was lost",
        submission: gangs,
        before: |fleet| fleet.crash("10.0.0.1:80"),
        after: nothing,
        heal: nothing,
    },
    Case {
        name: "copies of stragglers",
        submission: copied,
        before: hang_others,
        after: nothing,
        heal: cure,
    },
    Case {
        name: "stragglers that are started again",
        submission: rows,
        before: hang_others,
        after: nothing,
        heal: cure,
    },
    Case {
        name: "timed jobs",
        submission: timed,
        before: nothing,
        after: nothing,
        heal: nothing,
    },
    Case {
        name: "permits that were asked for before",
        submission: permitted,
        before: nothing,
        after: nothing,
        heal: nothing,
    },
    Case {
        name: "a new owner",
        submission: rows,
        before: nothing,
        after: kill_owner,
        heal: start_all,
    },
    Case {
        name: "all hosts start anew",
        submission: rows,
        before: nothing,
        after: kill_all,
        heal: nothing,
    },
    Case {
        name: "all hosts start anew, and the history is dropped",
        submission: rows,
        before: nothing,
        after: |fleet| {
            kill_all(fleet);
            fleet.store.drop_history();
        },
        heal: nothing,
    },
    Case {
        name: "an owner that stood still",
        submission: rows,
        before: |fleet| fleet.pause(owner(fleet)),
        after: nothing,
        heal: start_all,
    },
    Case {
        name: "an owner that is cut off from the store",
        submission: rows,
        before: |fleet| fleet.cut_from_store(owner(fleet), true),
        after: nothing,
        heal: start_all,
    },
    Case {
        name: "rules that can't be read while all else can",
        submission: rows,
        before: |fleet| fleet.store.unavailable = vec![Stream::Rules],
        after: nothing,
        heal: |fleet| fleet.store.unavailable.clear(),
    },
    Case {
        name: "calls to the store that went silent",
        submission: rows,
        before: |fleet| (0..HOSTS).for_each(|number| fleet.drop_store_connections(number)),
        after: nothing,
        heal: nothing,
    },
    Case {
        name: "a store that loses answers",
        submission: rows,
        before: nothing,
        after: |fleet| fleet.store.mode = Mode::LosesAnswers,
        heal: |fleet| fleet.store.mode = Mode::Up,
    },
    Case {
        name: "evacuated, taken back and evacuated again",
        submission: rows,
        before: |fleet| {
            fleet.evacuate(HALL);
            fleet.run(400);
            fleet.cancel_evacuation(HALL);
            fleet.run(400);
        },
        after: nothing,
        heal: nothing,
    },
    Case {
        name: "evacuated and taken back in one read",
        submission: rows,
        before: |fleet| {
            fleet.evacuate(HALL);
            fleet.cancel_evacuation(HALL);
        },
        after: nothing,
        heal: nothing,
    },
    Case {
        name: "a record of it that can't be read follows",
        submission: rows,
        before: nothing,
        after: |fleet| fleet.store.put(Stream::Rules, "evacuate/hall-0", b"maybe"),
        heal: nothing,
    },
    Case {
        name: "a record that can't be read follows, and all is read anew",
        submission: rows,
        before: nothing,
        after: |fleet| {
            fleet.run(500);
            fleet.store.put(Stream::Rules, "evacuate/hall-0", b"maybe");
            fleet.store.drop_history();
        },
        heal: nothing,
    },
    Case {
        name: "another domain that nobody knows is evacuated too",
        submission: rows,
        before: |fleet| fleet.evacuate("nowhere"),
        after: nothing,
        heal: nothing,
    },
];

/// Plays a case over direct orders or relays, and gives what it broke.
fn play(case: &Case, is_relayed: bool) -> Vec<String> {
    let mut fleet = match is_relayed {
        true => Fleet::with_relays(HOSTS, WORKERS),
        false => Fleet::new(HOSTS, WORKERS),
    };
    fleet.permitted = (0..WORKERS)
        .map(|number| format!("w{number}-1").into())
        .collect();
    let mut jobs = Vec::new();
    for id in 1..=3 {
        fleet.submit(0, id, &(case.submission)());
        jobs.push(id);
    }
    fleet.run(300);
    (case.before)(&mut fleet);
    fleet.evacuate(HALL);
    (case.after)(&mut fleet);
    // More than fits into the other domain, so that what waits would start at any free worker.
    for id in 4..=15 {
        fleet.run(1_000);
        let host = (0..HOSTS)
            .find(|number| fleet.is_ready(*number))
            .unwrap_or(0);
        fleet.submit(host, id, &rows());
    }
    let since = fleet.promises.starts.len();
    (case.heal)(&mut fleet);
    fleet.run(SETTLED_MS);
    let mut broken = std::mem::take(&mut fleet.promises.broken);
    if fleet.promises.starts.len() == since {
        broken.push("nothing starts any more".into());
    }
    let accepted: Vec<u64> = fleet.promises.accepted.iter().map(|id| id.0).collect();
    for id in accepted {
        let state = fleet.state(0, id);
        let lasts =
            fleet.promises.submitted[&goldcrestway_dispatch::JobId(id)].steps[0].is_long_running;
        let wanted = match lasts {
            true => JobState::Running,
            false => JobState::Completed,
        };
        if state != Some(wanted) {
            broken.push(format!("job {id} is {state:?}"));
        }
    }
    broken
}

/// Tasks start in an evacuated failure domain by what was begun before, or by who has not heard.
#[gtest]
fn nothing_starts_in_an_evacuated_failure_domain_whoever_may_start_it() {
    for case in CASES {
        for is_relayed in [false, true] {
            let broken = play(case, is_relayed);
            expect_that!(broken, is_empty(), "{}, relayed {is_relayed}", case.name);
        }
    }
}

/// An owner whose read of the rules was lost has relays start tasks that they know better of.
#[gtest]
fn a_relay_starts_nothing_in_a_domain_that_it_knows_to_be_evacuated() {
    let mut fleet = Fleet::with_relays(HOSTS, WORKERS);
    fleet.run(1_000);
    fleet.drop_store_connections(owner(&fleet));
    fleet.evacuate(HALL);
    fleet.run(100);
    fleet.submit(0, 1, &job(vec![step(40, 400, &[])]));
    fleet.run(400);
    let starts = fleet.promises.starts.len();
    expect_that!(starts, gt(0));
    expect_that!(fleet.starts_in(HALL, 0), eq(0));
    fleet.run(SETTLED_MS);
    expect_that!(fleet.promises.broken, is_empty());
    expect_that!(fleet.state(0, 1), some(eq(JobState::Completed)));
}

/// Work that finds only evacuated domains is lost, or nobody can say why it waits.
#[gtest]
fn work_waits_while_all_domains_are_evacuated_and_is_told_why() {
    let mut fleet = Fleet::new(HOSTS, WORKERS);
    fleet.evacuate(HALL);
    fleet.evacuate(OTHER_HALL);
    fleet.run(EVACUATED_MS);
    fleet.submit(0, JOB, &rows());
    fleet.run(8_000);
    expect_that!(fleet.promises.starts, is_empty());
    let lines = fleet.log_lines.join("\n");
    expect_that!(lines, contains_substring("TaskWaits"));
    expect_that!(lines, contains_substring("why=Evacuation"));
    expect_that!(lines, contains_substring("open=0 room_for=0 Evacuated=6"));
    fleet.cancel_evacuation(OTHER_HALL);
    fleet.run(3_000);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
    expect_that!(fleet.starts_in(HALL, 0), eq(0));
    expect_that!(fleet.promises.broken, is_empty());
}

/// A domain that was taken back stays empty: nothing makes waiting work try it again.
#[gtest]
fn a_domain_that_is_taken_back_gets_work_at_once() {
    for drops_history in [false, true] {
        let mut fleet = Fleet::new(HOSTS, WORKERS);
        fleet.evacuate(HALL);
        fleet.run(EVACUATED_MS);
        fleet.submit(0, JOB, &job(vec![step(48, 3_000, &[])]));
        fleet.run(500);
        let since = fleet.promises.starts.len();
        fleet.cancel_evacuation(HALL);
        if drops_history {
            fleet.store.drop_history();
        }
        fleet.run(2_000);
        expect_that!(fleet.starts_in(HALL, since), gt(0), "{drops_history}");
        expect_that!(fleet.note_counts.get(&Code::DomainEvacuated), some(eq(&3)));
        expect_that!(fleet.note_counts.get(&Code::DomainTakenBack), some(eq(&3)));
    }
}

/// What runs in an evacuated domain is stopped, though it only was to get nothing new.
#[gtest]
fn what_runs_in_an_evacuated_domain_goes_on() {
    let mut fleet = Fleet::new(HOSTS, WORKERS);
    fleet.submit(0, 1, &lasting());
    fleet.submit(0, JOB, &job(vec![step(20, 6_000, &[])]));
    fleet.run(500);
    let starts = fleet.promises.starts.len();
    fleet.evacuate(HALL);
    fleet.run(7_000);
    expect_that!(fleet.promises.starts.len(), eq(starts));
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
}

/// An evacuation that can't be read stops the rules that follow it, or is not told of.
#[gtest]
fn an_evacuation_that_cannot_be_read_changes_nothing() {
    let mut fleet = Fleet::new(HOSTS, WORKERS);
    fleet.store.put(Stream::Rules, "evacuate/hall-0", b"maybe");
    fleet.store.put(Stream::Rules, "config", &[2]);
    fleet.run(EVACUATED_MS);
    fleet.submit(0, JOB, &job(vec![step(48, 300, &[])]));
    fleet.run(1_000);
    expect_that!(fleet.rules_version(0), eq(2));
    expect_that!(fleet.starts_in(HALL, 0), gt(0));
    expect_that!(fleet.note_counts.get(&Code::RulesUnreadable), some(eq(&3)));
}

/// Starts stand still for no reason that anybody is told, while rules can't be read.
#[gtest]
fn rules_that_cannot_be_read_for_long_hold_starts_and_are_told() {
    let mut fleet = Fleet::new(HOSTS, WORKERS);
    fleet.store.unavailable = vec![Stream::Rules];
    fleet.run(EVACUATED_MS);
    fleet.submit(0, JOB, &rows());
    fleet.run(4_000);
    expect_that!(fleet.promises.starts, is_empty());
    expect_that!(fleet.log_lines.join("\n"), contains_substring("why=Rules"));
    fleet.store.unavailable.clear();
    fleet.run(2_000);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
}

/// A worker that names no domain is barred by an evacuation of another one.
#[gtest]
fn a_worker_whose_domain_is_not_evacuated_takes_what_fits() {
    let mut fleet = Fleet::new(HOSTS, WORKERS);
    for address in fleet.workers_in(HALL) {
        let resources = Resources {
            cpu_milli: 16_000,
            ..WORKER_RESOURCES
        };
        fleet.resize(&address, resources);
    }
    fleet.evacuate(HALL);
    fleet.run(EVACUATED_MS);
    let large = Step {
        cpu_milli: 12_000,
        ..step(1, 300, &[])
    };
    fleet.submit(0, JOB, &job(vec![large]));
    fleet.submit(0, 1, &job(vec![step(8, 300, &[])]));
    fleet.run(5_000);
    expect_that!(fleet.state(0, 1), some(eq(JobState::Completed)));
    expect_that!(
        fleet.log_lines.join("\n"),
        contains_substring("why=Evacuation")
    );
    fleet.cancel_evacuation(HALL);
    fleet.run(2_000);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
}
