//! Failure domains that operators evacuate: no task starts there until the evacuation is reversed.

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
const EVACUATED_DOMAIN: &str = "hall-0";
const OTHER_DOMAIN: &str = "hall-1";
/// Time within which delayed jobs must end. Leases expire first.
const RECOVERY_MS: u64 = 20_000;

/// Guards against tasks that start in a failure domain that the operator has evacuated.
#[gtest]
fn an_evacuated_failure_domain_gets_no_new_tasks() {
    let mut fleet = Fleet::new(3, 4);
    fleet.evacuate("hall-0");
    fleet.run(EVACUATED_MS);
    fleet.submit(0, JOB, &job(vec![step(20, 300, &[])]));
    fleet.run(3_000);
    expect_that!(fleet.starts_in("hall-0", 0), eq(0));
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
}

/// A sequence of events that may start a task in a failure domain after its evacuation.
struct Case {
    name: &'static str,
    submission: fn() -> Submission,
    /// Called just before the evacuation, while the job runs.
    before: fn(&mut Fleet),
    /// Called just after the evacuation.
    after: fn(&mut Fleet),
    /// Ends the disturbance, once no task may start in the domain any more.
    recover: fn(&mut Fleet),
}

fn two_steps() -> Submission {
    job(vec![step(20, 400, &[]), step(20, 400, &[0])])
}

fn long_running() -> Submission {
    let long_running = Step {
        is_long_running: true,
        ..step(4, 1_000, &[])
    };
    job(vec![long_running])
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

fn speculative() -> Submission {
    let speculative = Step {
        is_speculative: true,
        ..step(8, 1_500, &[])
    };
    job(vec![speculative])
}

fn repeated() -> Submission {
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

fn delay_orders(fleet: &mut Fleet) {
    fleet.order_delay_ms = Some(2_500);
}

fn end_order_delays(fleet: &mut Fleet) {
    fleet.order_delay_ms = None;
}

fn stall_worker_elsewhere(fleet: &mut Fleet) {
    for address in fleet.workers_in(OTHER_DOMAIN).into_iter().take(1) {
        if let Some(worker) = fleet.workers.get_mut(&address) {
            worker.behaviour = Behaviour::Hangs;
        }
    }
}

fn restore_workers(fleet: &mut Fleet) {
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

fn crash_domain(fleet: &mut Fleet) {
    for address in fleet.workers_in(EVACUATED_DOMAIN) {
        fleet.crash(&address);
    }
}

const CASES: &[Case] = &[
    Case {
        name: "tasks of steps that start later",
        submission: two_steps,
        before: nothing,
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "unanswered orders to start that are sent again",
        submission: two_steps,
        before: delay_orders,
        after: end_order_delays,
        recover: nothing,
    },
    Case {
        name: "unanswered orders to start before and after",
        submission: two_steps,
        before: delay_orders,
        after: nothing,
        recover: end_order_delays,
    },
    Case {
        name: "tasks whose workers fail",
        submission: two_steps,
        before: |fleet| fleet.crash("10.0.0.1:80"),
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "long-running tasks of a domain that has crashed",
        submission: long_running,
        before: crash_domain,
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "long-running tasks of a domain that crashes while evacuated",
        submission: long_running,
        before: nothing,
        after: crash_domain,
        recover: nothing,
    },
    Case {
        name: "gangs with members in the domain",
        submission: gangs,
        before: nothing,
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "gangs that have lost a member",
        submission: gangs,
        before: |fleet| fleet.crash("10.0.0.1:80"),
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "speculative copies of stragglers",
        submission: speculative,
        before: stall_worker_elsewhere,
        after: nothing,
        recover: restore_workers,
    },
    Case {
        name: "stragglers that are restarted",
        submission: two_steps,
        before: stall_worker_elsewhere,
        after: nothing,
        recover: restore_workers,
    },
    Case {
        name: "repeated jobs",
        submission: repeated,
        before: nothing,
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "permits that were requested before",
        submission: permitted,
        before: nothing,
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "a new owner",
        submission: two_steps,
        before: nothing,
        after: kill_owner,
        recover: start_all,
    },
    Case {
        name: "all hosts restart",
        submission: two_steps,
        before: nothing,
        after: kill_all,
        recover: nothing,
    },
    Case {
        name: "all hosts restart, and the history is dropped",
        submission: two_steps,
        before: nothing,
        after: |fleet| {
            kill_all(fleet);
            fleet.store.drop_history();
        },
        recover: nothing,
    },
    Case {
        name: "an owner that was paused",
        submission: two_steps,
        before: |fleet| fleet.pause(owner(fleet)),
        after: nothing,
        recover: start_all,
    },
    Case {
        name: "an owner that is cut off from the store",
        submission: two_steps,
        before: |fleet| fleet.cut_from_store(owner(fleet), true),
        after: nothing,
        recover: start_all,
    },
    Case {
        name: "rules that can't be read while all else can",
        submission: two_steps,
        before: |fleet| fleet.store.unavailable = vec![Stream::Rules],
        after: nothing,
        recover: |fleet| fleet.store.unavailable.clear(),
    },
    Case {
        name: "calls to the store that went silent",
        submission: two_steps,
        before: |fleet| (0..HOSTS).for_each(|number| fleet.drop_store_connections(number)),
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "a store that loses answers",
        submission: two_steps,
        before: nothing,
        after: |fleet| fleet.store.mode = Mode::LosesAnswers,
        recover: |fleet| fleet.store.mode = Mode::Up,
    },
    Case {
        name: "evacuated, reversed and evacuated again",
        submission: two_steps,
        before: |fleet| {
            fleet.evacuate(EVACUATED_DOMAIN);
            fleet.run(400);
            fleet.cancel_evacuation(EVACUATED_DOMAIN);
            fleet.run(400);
        },
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "evacuated and reversed in one read",
        submission: two_steps,
        before: |fleet| {
            fleet.evacuate(EVACUATED_DOMAIN);
            fleet.cancel_evacuation(EVACUATED_DOMAIN);
        },
        after: nothing,
        recover: nothing,
    },
    Case {
        name: "an unreadable record of the evacuation follows",
        submission: two_steps,
        before: nothing,
        after: |fleet| fleet.store.put(Stream::Rules, "evacuate/hall-0", b"maybe"),
        recover: nothing,
    },
    Case {
        name: "an unreadable record follows, and everything is read again",
        submission: two_steps,
        before: nothing,
        after: |fleet| {
            fleet.run(500);
            fleet.store.put(Stream::Rules, "evacuate/hall-0", b"maybe");
            fleet.store.drop_history();
        },
        recover: nothing,
    },
    Case {
        name: "an unknown domain is evacuated too",
        submission: two_steps,
        before: |fleet| fleet.evacuate("nowhere"),
        after: nothing,
        recover: nothing,
    },
];

/// Runs a case with direct or relayed orders. Returns the broken promises.
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
    fleet.evacuate(EVACUATED_DOMAIN);
    (case.after)(&mut fleet);
    // More jobs than fit into the other domain, so that waiting tasks would start on any worker
    // with free resources.
    for id in 4..=15 {
        fleet.run(1_000);
        let host = (0..HOSTS)
            .find(|number| fleet.is_ready(*number))
            .unwrap_or(0);
        fleet.submit(host, id, &two_steps());
    }
    let starts_before = fleet.promises.starts.len();
    (case.recover)(&mut fleet);
    fleet.run(RECOVERY_MS);
    let mut broken = std::mem::take(&mut fleet.promises.broken);
    if fleet.promises.starts.len() == starts_before {
        broken.push("no task starts any more".into());
    }
    let accepted: Vec<u64> = fleet.promises.accepted.iter().map(|id| id.0).collect();
    for id in accepted {
        let state = fleet.state(0, id);
        let runs_forever =
            fleet.promises.submitted[&goldcrestway_dispatch::JobId(id)].steps[0].is_long_running;
        let expected = match runs_forever {
            true => JobState::Running,
            false => JobState::Completed,
        };
        if state != Some(expected) {
            broken.push(format!("job {id} is {state:?}"));
        }
    }
    broken
}

/// Guards against tasks that start in an evacuated failure domain because of an earlier decision,
/// or by a host that does not know of the evacuation.
#[gtest]
fn nothing_starts_in_an_evacuated_failure_domain_by_any_path() {
    for case in CASES {
        for is_relayed in [false, true] {
            let broken = play(case, is_relayed);
            expect_that!(broken, is_empty(), "{}, relayed {is_relayed}", case.name);
        }
    }
}

/// Guards against relays that start tasks in a domain that they know to be evacuated. The owner
/// that orders these starts does not know it, as its read of the rules was lost.
#[gtest]
fn a_relay_starts_nothing_in_a_domain_that_it_knows_to_be_evacuated() {
    let mut fleet = Fleet::with_relays(HOSTS, WORKERS);
    fleet.run(1_000);
    fleet.drop_store_connections(owner(&fleet));
    fleet.evacuate(EVACUATED_DOMAIN);
    fleet.run(100);
    fleet.submit(0, 1, &job(vec![step(40, 400, &[])]));
    fleet.run(400);
    let starts = fleet.promises.starts.len();
    expect_that!(starts, gt(0));
    expect_that!(fleet.starts_in(EVACUATED_DOMAIN, 0), eq(0));
    fleet.run(RECOVERY_MS);
    expect_that!(fleet.promises.broken, is_empty());
    expect_that!(fleet.state(0, 1), some(eq(JobState::Completed)));
}

/// Guards against jobs that are lost while all domains are evacuated, and against logs that don't
/// show why they wait.
#[gtest]
fn tasks_wait_while_all_domains_are_evacuated_and_the_reason_is_reported() {
    let mut fleet = Fleet::new(HOSTS, WORKERS);
    fleet.evacuate(EVACUATED_DOMAIN);
    fleet.evacuate(OTHER_DOMAIN);
    fleet.run(EVACUATED_MS);
    fleet.submit(0, JOB, &two_steps());
    fleet.run(8_000);
    expect_that!(fleet.promises.starts, is_empty());
    let lines = fleet.log_lines.join("\n");
    expect_that!(lines, contains_substring("TaskWaits"));
    expect_that!(lines, contains_substring("why=Evacuation"));
    expect_that!(lines, contains_substring("open=0 room_for=0 Evacuated=6"));
    fleet.cancel_evacuation(OTHER_DOMAIN);
    fleet.run(3_000);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
    expect_that!(fleet.starts_in(EVACUATED_DOMAIN, 0), eq(0));
    expect_that!(fleet.promises.broken, is_empty());
}

/// Guards against a domain that stays empty after its evacuation was reversed because waiting tasks
/// are not evaluated again.
#[gtest]
fn a_domain_gets_tasks_at_once_after_its_evacuation_ends() {
    for drops_history in [false, true] {
        let mut fleet = Fleet::new(HOSTS, WORKERS);
        fleet.evacuate(EVACUATED_DOMAIN);
        fleet.run(EVACUATED_MS);
        fleet.submit(0, JOB, &job(vec![step(48, 3_000, &[])]));
        fleet.run(500);
        let starts_before = fleet.promises.starts.len();
        fleet.cancel_evacuation(EVACUATED_DOMAIN);
        if drops_history {
            fleet.store.drop_history();
        }
        fleet.run(2_000);
        expect_that!(
            fleet.starts_in(EVACUATED_DOMAIN, starts_before),
            gt(0),
            "{drops_history}"
        );
        expect_that!(fleet.note_counts.get(&Code::DomainEvacuated), some(eq(&3)));
        expect_that!(fleet.note_counts.get(&Code::DomainTakenBack), some(eq(&3)));
    }
}

/// Guards against evacuations that stop running tasks. An evacuated domain must only get no new
/// ones.
#[gtest]
fn running_tasks_in_an_evacuated_domain_continue() {
    let mut fleet = Fleet::new(HOSTS, WORKERS);
    fleet.submit(0, 1, &long_running());
    fleet.submit(0, JOB, &job(vec![step(20, 6_000, &[])]));
    fleet.run(500);
    let starts = fleet.promises.starts.len();
    fleet.evacuate(EVACUATED_DOMAIN);
    fleet.run(7_000);
    expect_that!(fleet.promises.starts.len(), eq(starts));
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
}

/// Guards against an unreadable evacuation record that prevents later rules from being applied, or
/// that is not reported.
#[gtest]
fn an_unreadable_evacuation_record_changes_nothing() {
    let mut fleet = Fleet::new(HOSTS, WORKERS);
    fleet.store.put(Stream::Rules, "evacuate/hall-0", b"maybe");
    fleet.store.put(Stream::Rules, "config", &[2]);
    fleet.run(EVACUATED_MS);
    fleet.submit(0, JOB, &job(vec![step(48, 300, &[])]));
    fleet.run(1_000);
    expect_that!(fleet.rules_version(0), eq(2));
    expect_that!(fleet.starts_in(EVACUATED_DOMAIN, 0), gt(0));
    expect_that!(fleet.note_counts.get(&Code::RulesUnreadable), some(eq(&3)));
}

/// Guards against starts that are paused without a reported reason while the rules can't be read.
#[gtest]
fn rules_that_cannot_be_read_for_long_pause_starts_and_are_reported() {
    let mut fleet = Fleet::new(HOSTS, WORKERS);
    fleet.store.unavailable = vec![Stream::Rules];
    fleet.run(EVACUATED_MS);
    fleet.submit(0, JOB, &two_steps());
    fleet.run(4_000);
    expect_that!(fleet.promises.starts, is_empty());
    expect_that!(fleet.log_lines.join("\n"), contains_substring("why=Rules"));
    fleet.store.unavailable.clear();
    fleet.run(2_000);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
}

/// Guards against an evacuation that affects workers of other domains or without a domain.
#[gtest]
fn workers_outside_an_evacuated_domain_run_what_fits() {
    let mut fleet = Fleet::new(HOSTS, WORKERS);
    for address in fleet.workers_in(EVACUATED_DOMAIN) {
        let resources = Resources {
            cpu_milli: 16_000,
            ..WORKER_RESOURCES
        };
        fleet.resize(&address, resources);
    }
    fleet.evacuate(EVACUATED_DOMAIN);
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
    fleet.cancel_evacuation(EVACUATED_DOMAIN);
    fleet.run(2_000);
    expect_that!(fleet.state(0, JOB), some(eq(JobState::Completed)));
}
