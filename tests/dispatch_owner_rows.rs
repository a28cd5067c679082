//! Rows of owners that live for about a second each: a wait that one owner has begun must end about
//! as soon as if that owner had lived on.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_core::Code;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Stream;
use goldcrestway_dispatch::TaskId;
use googletest::prelude::*;

const HOSTS: usize = 12;
/// Time for which a host that was told to stop continues, and after which it starts again.
const GRACE_MS: u64 = 2_000;
const DOWN_MS: u64 = 600;
/// Time within which a long-running task must run again, whatever happens to owners meanwhile.
const MAX_AWAY_MS: u64 = 9_000;
/// Time for which one owner waits for the leases of a silent worker, at most.
const MAX_WAIT_MS: u64 = 7_000;
/// Time that each change of owner may add to a wait.
const MAX_CHANGE_MS: u64 = 60;
/// Time in which another host owns after the owner has begun to stop.
const TAKEOVER_MS: u64 = 900;

const TASK: TaskId = TaskId {
    job: JobId(JOB),
    occurrence: 0,
    step: 0,
    index: 0,
};

/// Hosts that are stopped as planned or killed, one owner after the other.
struct Row {
    name: &'static str,
    /// Time for which each owner lives.
    life_ms: u64,
    /// Owners are killed in place of stopped.
    kills: bool,
}

const ROWS: &[Row] = &[
    Row {
        name: "stopped after 300 ms",
        life_ms: 300,
        kills: false,
    },
    Row {
        name: "stopped after 700 ms",
        life_ms: 700,
        kills: false,
    },
    Row {
        name: "stopped after 1,100 ms",
        life_ms: 1_100,
        kills: false,
    },
    Row {
        name: "killed after 900 ms",
        life_ms: 900,
        kills: true,
    },
];

/// Hosts on their way down and up.
#[derive(Default)]
struct Rounds {
    owned_since: Option<(usize, u64)>,
    /// Hosts that will be killed, and those that will be started, with the time.
    dying: Vec<(u64, usize)>,
    starting: Vec<(u64, usize)>,
    changes: u64,
}

impl Rounds {
    /// Stops or kills the owner if it has lived for long enough, and restarts earlier ones.
    fn advance(&mut self, fleet: &mut Fleet, row: &Row) {
        let now_ms = fleet.now_ms;
        for (_, host) in self.dying.extract_if(.., |(at_ms, _)| *at_ms <= now_ms) {
            fleet.kill(host);
            self.starting.push((now_ms + DOWN_MS, host));
        }
        for (_, host) in self.starting.extract_if(.., |(at_ms, _)| *at_ms <= now_ms) {
            fleet.start(host);
        }
        let Some(host) = fleet.owner() else {
            return;
        };
        if self.owned_since.is_none_or(|(known, _)| known != host) {
            self.owned_since = Some((host, now_ms));
            self.changes += 1;
        }
        let is_old = self
            .owned_since
            .is_some_and(|(_, ms)| now_ms >= ms + row.life_ms);
        if is_old && self.dying.iter().all(|(_, other)| *other != host) {
            let grace_ms = match row.kills {
                true => 0,
                false => {
                    fleet.stop(host);
                    GRACE_MS
                }
            };
            self.dying.push((now_ms + grace_ms, host));
        }
    }

    fn run(&mut self, fleet: &mut Fleet, row: &Row, ms: u64) {
        let until_ms = fleet.now_ms + ms;
        while fleet.now_ms < until_ms {
            fleet.run(5);
            self.advance(fleet, row);
        }
    }

    /// Runs until a task runs, and returns how long that took.
    fn run_until_running(&mut self, fleet: &mut Fleet, row: &Row) -> u64 {
        let begun_ms = fleet.now_ms;
        while fleet.running(TASK) == 0 && fleet.now_ms < begun_ms + 3 * MAX_AWAY_MS {
            self.run(fleet, row, 5);
        }
        fleet.now_ms - begun_ms
    }
}

fn long_running() -> Step {
    Step {
        is_long_running: true,
        max_per_worker: 1,
        ..step(4, 1_000, &[])
    }
}

/// Returns a fleet on which a long-running job runs.
fn fleet_with_long_running_tasks() -> Fleet {
    fleet_of(HOSTS)
}

/// The same with another number of entry hosts.
fn fleet_of(hosts: usize) -> Fleet {
    let mut fleet = Fleet::new(hosts, 8);
    fleet.set_restart_delay_ms(600_000);
    let host = owner(&fleet);
    fleet.submit(host, JOB, &job(vec![long_running()]));
    fleet.run(3_000);
    fleet
}

/// Returns the address of the worker on which the task runs.
fn address(fleet: &Fleet) -> Box<str> {
    let mut workers = fleet.workers.iter();
    let found = workers.find(|(_, worker)| worker.runs(TASK));
    found.map_or("".into(), |(address, _)| address.clone())
}

/// Long-running tasks ran nowhere for over nine seconds after their worker had left: each owner in a
/// row took the time that the leases there may last from the record of the one before, as if no
/// time had passed since it was written.
#[gtest]
fn a_row_of_owners_gives_up_a_dead_worker_about_as_soon_as_one_owner() {
    for row in ROWS {
        for phase_ms in (0..row.life_ms).step_by(200) {
            let mut fleet = fleet_with_long_running_tasks();
            let mut rounds = Rounds::default();
            rounds.run(&mut fleet, row, 2_000 + phase_ms);
            let crashed = address(&fleet);
            let id = fleet.workers[&crashed].id.clone();
            fleet.shut_down(&crashed);
            fleet.store.put(Stream::Workers, &id, &[]);
            let changes = rounds.changes;
            let away_ms = rounds.run_until_running(&mut fleet, row);
            let added_ms = (rounds.changes - changes) * MAX_CHANGE_MS;
            let case = format!("{}, phase {phase_ms}: {away_ms} ms", row.name);
            if !row.kills {
                expect_that!(away_ms, le(MAX_WAIT_MS + added_ms), "{case}");
            }
            expect_that!(away_ms, le(MAX_AWAY_MS), "{case}");
            expect_that!(fleet.promises.broken, is_empty(), "{case}");
        }
    }
}

/// The opposite: a worker that is cut off for less than its leases last is not given up, however
/// many owners come and go meanwhile.
#[gtest]
fn a_row_of_owners_does_not_give_up_a_worker_that_is_cut_off_for_a_while() {
    /// Leases last for 4.8 s, and after a kill nobody extends them for a second, twice.
    const CUT_MS: u64 = 1_500;
    for row in ROWS {
        let mut fleet = fleet_with_long_running_tasks();
        let mut rounds = Rounds::default();
        rounds.run(&mut fleet, row, 2_000);
        let starts = fleet.promises.starts.len();
        fleet.cut_workers = vec![address(&fleet)];
        rounds.run(&mut fleet, row, CUT_MS);
        fleet.cut_workers.clear();
        rounds.run(&mut fleet, row, 6_000);
        expect_that!(fleet.promises.starts.len(), eq(starts), "{}", row.name);
        expect_that!(fleet.running(TASK), eq(1), "{}", row.name);
        expect_that!(fleet.promises.broken, is_empty(), "{}", row.name);
    }
}

/// Nobody owned for up to 4.3 s: a host was stopped as planned after it had claimed and before it
/// owned. It told nobody, so the others waited for its heartbeats.
#[gtest]
fn a_host_that_stops_between_its_claim_and_its_ownership_is_followed_soon() {
    for delay_ms in (0..40).step_by(5) {
        let mut fleet = Fleet::new(HOSTS, 4);
        let first = owner(&fleet);
        let claims = fleet.claims;
        fleet.stop(first);
        while fleet.claims == claims {
            fleet.run(5);
        }
        fleet.run(delay_ms);
        let claimant = fleet.last_claimant.expect("a host has claimed");
        fleet.stop(claimant);
        let stopped_ms = fleet.now_ms;
        let is_followed = |fleet: &Fleet| {
            fleet
                .owner()
                .is_some_and(|host| host != first && host != claimant)
        };
        while !is_followed(&fleet) && fleet.now_ms < stopped_ms + 5_000 {
            fleet.run(5);
        }
        let took_ms = fleet.now_ms - stopped_ms;
        expect_that!(took_ms, le(TAKEOVER_MS), "{delay_ms} ms after the claim");
    }
}

/// Time for which a worker is waited for that answered an owner and then died: one lease, a poll and
/// a change of owner.
const MAX_LEASE_WAIT_MS: u64 = 5_800;

/// Crashes the worker of the task, and returns how long the task then runs nowhere.
fn crash_and_wait(fleet: &mut Fleet) -> u64 {
    let crashed = address(fleet);
    fleet.shut_down(&crashed);
    let crashed_ms = fleet.now_ms;
    while fleet.running(TASK) == 0 && fleet.now_ms < crashed_ms + 2 * MAX_AWAY_MS {
        fleet.run(5);
    }
    fleet.now_ms - crashed_ms
}

/// A new owner waited for 1.5 s longer than a lease lasts for a worker that had answered it, as the
/// previous owner might have extended the lease since. A worker that has answered refuses that.
#[gtest]
fn a_new_owner_waits_one_lease_for_a_worker_that_has_answered_it() {
    for after_ms in [200, 500, 1_000] {
        let mut fleet = fleet_with_long_running_tasks();
        let previous = owner(&fleet);
        fleet.stop(previous);
        while fleet.owner().is_none_or(|host| host == previous) {
            fleet.run(5);
        }
        fleet.run(after_ms);
        let away_ms = crash_and_wait(&mut fleet);
        expect_that!(
            away_ms,
            le(MAX_LEASE_WAIT_MS),
            "{after_ms} ms after its begin"
        );
        expect_that!(fleet.promises.broken, is_empty());
    }
}

/// A worker that died while its owner left was waited for anew, as the owner records a worker for its
/// successor only some time after it has missed two answers.
#[gtest]
fn a_worker_that_dies_while_its_owner_leaves_is_not_waited_for_anew() {
    /// Few enough that the next one claims some time after the owner has begun to leave.
    const FEW_HOSTS: usize = 7;
    /// Time in which the owner misses an answer and records that, and then the next one claims and
    /// reads the record.
    const NOTICE_MS: u64 = 75;
    let mut fleet = fleet_of(FEW_HOSTS);
    let previous = owner(&fleet);
    fleet.stop(previous);
    let stopped_ms = fleet.now_ms;
    while fleet.owner() == Some(previous) {
        fleet.run(5);
    }
    let takeover_ms = fleet.now_ms - stopped_ms;
    expect_that!(takeover_ms, gt(NOTICE_MS));
    for after_ms in (0..=takeover_ms - NOTICE_MS).step_by(10) {
        let mut fleet = fleet_of(FEW_HOSTS);
        let previous = owner(&fleet);
        fleet.stop(previous);
        fleet.run(after_ms);
        let away_ms = crash_and_wait(&mut fleet);
        expect_that!(
            away_ms,
            le(MAX_LEASE_WAIT_MS),
            "{after_ms} ms after it was told"
        );
        expect_that!(fleet.promises.broken, is_empty());
    }
}

/// Time that a suspected task waits under one owner until it can be alone, and the time that each
/// change of owner adds, as the next one polls the workers first.
const ISOLATION_MS: u64 = 2_000;
const FIRST_POLLS_MS: u64 = 100;

/// Lets the worker of the task leave as announced.
fn leave(fleet: &mut Fleet, rounds: &mut Rounds, row: &Row) {
    let leaving = address(fleet);
    fleet.announce_leave(&leaving);
    rounds.run(fleet, row, 700);
    let id = fleet.workers[&leaving].id.clone();
    fleet.shut_down(&leaving);
    fleet.store.put(Stream::Workers, &id, &[]);
}

/// Runs until the condition holds, and keeps all workers busy with tasks that have just begun, so that
/// no task can be alone there.
fn run_among_short_tasks(
    fleet: &mut Fleet,
    rounds: &mut Rounds,
    row: &Row,
    holds: fn(&Fleet) -> bool,
) {
    const SUBMISSION_GAP_MS: u64 = 250;
    let short = Step {
        cpu_milli: 20,
        memory_mb: 10,
        max_per_worker: 1,
        ..step(8, 2_500, &[])
    };
    let until_ms = fleet.now_ms + 3 * MAX_AWAY_MS;
    while !holds(fleet) && fleet.now_ms < until_ms {
        if fleet.now_ms.is_multiple_of(SUBMISSION_GAP_MS)
            && let Some(host) = fleet.owner()
        {
            fleet.submit(host, fleet.now_ms, &job(vec![short.clone()]));
        }
        rounds.run(fleet, row, 5);
    }
}

fn runs(fleet: &Fleet) -> bool {
    fleet.running(TASK) > 0
}

/// Returns whether a task has waited until it can be alone.
fn has_waited_alone(fleet: &Fleet) -> bool {
    fleet.note_counts.contains_key(&Code::IsolationAwaited)
}

/// Long-running tasks that had worked for seconds waited, under each owner anew, until they could be
/// alone: no owner of a row lived for long enough to see that their runs are stable, so the workers
/// that left with them counted against them.
#[gtest]
fn long_running_tasks_are_not_suspected_for_the_short_lives_of_owners() {
    for row in ROWS.iter().filter(|row| !row.kills) {
        let mut fleet = fleet_with_long_running_tasks();
        let mut rounds = Rounds::default();
        for _ in 0..3 {
            rounds.run(&mut fleet, row, 5_000);
            leave(&mut fleet, &mut rounds, row);
            run_among_short_tasks(&mut fleet, &mut rounds, row, runs);
            expect_that!(fleet.running(TASK), eq(1), "{}", row.name);
            expect_false!(has_waited_alone(&fleet), "{}", row.name);
        }
        expect_that!(fleet.promises.broken, is_empty(), "{}", row.name);
    }
}

/// A suspected task waited until it could be alone for as long as owners came and went: each of them
/// began that wait anew.
#[gtest]
fn a_row_of_owners_does_not_prolong_the_wait_until_a_task_can_be_alone() {
    for row in ROWS.iter().filter(|row| !row.kills) {
        let mut fleet = fleet_with_long_running_tasks();
        let mut rounds = Rounds::default();
        // One owner sees two workers leave within the first second of a run.
        let calm = Row {
            life_ms: u64::MAX / 2,
            ..*row
        };
        leave(&mut fleet, &mut rounds, &calm);
        for _ in 0..2 {
            rounds.run_until_running(&mut fleet, &calm);
            leave(&mut fleet, &mut rounds, &calm);
        }
        run_among_short_tasks(&mut fleet, &mut rounds, &calm, has_waited_alone);
        expect_true!(has_waited_alone(&fleet), "{}", row.name);
        let (since_ms, changes) = (fleet.now_ms, rounds.changes);
        run_among_short_tasks(&mut fleet, &mut rounds, row, runs);
        let waited_ms = fleet.now_ms - since_ms;
        let added_ms = (rounds.changes - changes) * FIRST_POLLS_MS;
        expect_that!(waited_ms, le(ISOLATION_MS + added_ms), "{}", row.name);
        expect_that!(fleet.promises.broken, is_empty(), "{}", row.name);
    }
}
