//! Clocks of hosts that jump, alone or together, ahead or back, and again before the last jump is
//! undone.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Stream;
use googletest::prelude::*;

const HOSTS: usize = 3;
const SECOND_MS: i64 = 1_000;
const MINUTE_MS: i64 = 60 * SECOND_MS;
const HOUR_MS: i64 = 60 * MINUTE_MS;
const YEAR_MS: i64 = 365 * 24 * HOUR_MS;
/// Time after which a finished job is forgotten at the latest: its retention, the slack, and two
/// intervals between searches.
const FORGOTTEN_MS: u64 = 205_000;

/// The hosts whose clocks jump.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Who {
    Owner,
    Other,
    All,
}

impl Who {
    const ALL: [Who; 3] = [Who::Owner, Who::Other, Who::All];

    /// Returns the hosts.
    fn hosts(self, fleet: &Fleet) -> Vec<usize> {
        let owner = owner(fleet);
        match self {
            Who::Owner => vec![owner],
            Who::Other => vec![(owner + 1) % HOSTS],
            Who::All => (0..HOSTS).collect(),
        }
    }
}

/// Jumps of a clock, each by how much and how long after the one before.
struct Jumps {
    name: &'static str,
    steps: &'static [(u64, i64)],
}

/// Each ends with a clock that is right again or wrong for good.
const JUMPS: [Jumps; 12] = [
    Jumps {
        name: "seconds ahead",
        steps: &[(0, 9 * SECOND_MS), (6_000, -9 * SECOND_MS)],
    },
    Jumps {
        name: "seconds back",
        steps: &[(0, -9 * SECOND_MS), (6_000, 9 * SECOND_MS)],
    },
    Jumps {
        name: "minutes ahead",
        steps: &[(0, 5 * MINUTE_MS), (6_000, -5 * MINUTE_MS)],
    },
    Jumps {
        name: "minutes back",
        steps: &[(0, -5 * MINUTE_MS), (6_000, 5 * MINUTE_MS)],
    },
    Jumps {
        name: "a minute ahead, again before the last is undone",
        steps: &[
            (0, MINUTE_MS),
            (900, MINUTE_MS),
            (400, MINUTE_MS),
            (2_200, MINUTE_MS),
            (2_500, -MINUTE_MS),
            (900, -MINUTE_MS),
            (400, -MINUTE_MS),
            (2_200, -MINUTE_MS),
        ],
    },
    Jumps {
        name: "a minute back, again before the last is undone",
        steps: &[
            (0, -MINUTE_MS),
            (900, -MINUTE_MS),
            (400, -MINUTE_MS),
            (2_200, -MINUTE_MS),
            (2_500, MINUTE_MS),
            (900, MINUTE_MS),
            (400, MINUTE_MS),
            (2_200, MINUTE_MS),
        ],
    },
    Jumps {
        name: "an hour ahead, then back by two",
        steps: &[(0, HOUR_MS), (3_000, -2 * HOUR_MS), (3_000, HOUR_MS)],
    },
    Jumps {
        name: "an hour back",
        steps: &[(0, -HOUR_MS), (6_000, HOUR_MS)],
    },
    Jumps {
        name: "an hour ahead for good",
        steps: &[(0, HOUR_MS)],
    },
    Jumps {
        name: "an hour back for good",
        steps: &[(0, -HOUR_MS)],
    },
    Jumps {
        name: "a year ahead for good",
        steps: &[(0, YEAR_MS)],
    },
    Jumps {
        name: "a year back for good",
        steps: &[(0, -YEAR_MS)],
    },
];

/// Lets the clocks of hosts jump.
fn jump(fleet: &mut Fleet, hosts: &[usize], jumps: &Jumps) {
    for (after_ms, by_ms) in jumps.steps {
        fleet.run(*after_ms);
        for host in hosts {
            let ahead_ms = fleet.clock_ahead_ms(*host);
            fleet.set_clock(*host, ahead_ms + by_ms);
        }
    }
}

/// Calls `visit` for each sequence of jumps and each choice of hosts, with a new fleet.
fn for_each_case(mut visit: impl FnMut(&mut Fleet, &[usize], &Jumps, &str)) {
    for jumps in &JUMPS {
        for who in Who::ALL {
            let mut fleet = Fleet::new(HOSTS, 2);
            let hosts = who.hosts(&fleet);
            let name = format!("{}, {who:?}", jumps.name);
            visit(&mut fleet, &hosts, jumps, &name);
            expect_that!(fleet.promises.broken, is_empty(), "{name}");
        }
    }
}

/// Returns how often tasks of the job were started.
fn starts(fleet: &Fleet) -> usize {
    let starts = fleet.promises.starts.iter();
    starts.filter(|(_, task, _)| task.job == JobId(JOB)).count()
}

/// Returns the number of keys in the streams of jobs.
fn job_keys(fleet: &Fleet) -> usize {
    (0..4)
        .map(|partition| fleet.store.keys(Stream::Jobs(partition)))
        .sum()
}

/// Guards against accepted jobs that are not known any more, and that start again when their caller
/// submits them again: a host took the age of a finished job from its clock and that of the host
/// that had recorded the end, and deleted the job from the store for good (`JobsForgotten jobs=21
/// finished_ms=186854..193020 uptime_ms=20000`).
#[gtest]
fn finished_jobs_stay_known_while_clocks_jump() {
    for_each_case(|fleet, hosts, jumps, name| {
        fleet.submit(0, JOB, &job(vec![step(2, 300, &[])]));
        fleet.run(2_500);
        jump(fleet, hosts, jumps);
        // Another job ends while clocks are wrong, and they are set right afterwards.
        fleet.submit(1, JOB + 1, &job(vec![step(2, 300, &[])]));
        fleet.run(2_500);
        for host in hosts {
            fleet.set_clock(*host, 0);
        }
        fleet.run(25_000);
        for host in 0..HOSTS {
            for id in [JOB, JOB + 1] {
                let state = fleet.state(host, id);
                expect_that!(state, some(eq(JobState::Completed)), "{name}, host {host}");
            }
        }
        fleet.submit(2, JOB, &job(vec![step(2, 300, &[])]));
        fleet.run(2_000);
        expect_that!(starts(fleet), eq(2), "{name}");
    });
}

/// Guards against finished jobs that hosts and the store keep for good, as a clock that was set
/// back says that they have just ended, or will end in a year.
#[gtest]
fn finished_jobs_are_forgotten_whatever_clocks_say() {
    for_each_case(|fleet, hosts, jumps, name| {
        let keys = job_keys(fleet);
        fleet.submit(0, JOB, &job(vec![step(2, 300, &[])]));
        fleet.run(2_500);
        jump(fleet, hosts, jumps);
        fleet.submit(1, JOB + 1, &job(vec![step(2, 300, &[])]));
        fleet.run(FORGOTTEN_MS);
        expect_that!(job_keys(fleet), eq(keys), "{name}");
    });
}
