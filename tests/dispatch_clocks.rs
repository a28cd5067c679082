//! Clocks of hosts that jump, alone or together, ahead or back, and again before the last jump is
//! undone.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobId;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Stream;
use goldcrestway_dispatch::Submission;
use goldcrestway_dispatch::TaskId;
use goldcrestway_dispatch::policy::time_of_day::MAX_TRIAL_MS;
use googletest::prelude::*;
use rand::RngExt;
use rand_pcg::Pcg64;

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

/// Sets the clocks of some hosts, or of all, ahead or back by up to some minutes, or right.
pub(crate) fn jump_clocks(fleet: &mut Fleet, random: &mut Pcg64) {
    const SIZES_MS: [i64; 4] = [2 * SECOND_MS, 9 * SECOND_MS, MINUTE_MS, 3 * MINUTE_MS];
    let by_ms = SIZES_MS[random.random_range(0..SIZES_MS.len())];
    let all_jump = random.random_range(0..3) == 0;
    let direction = random.random_range(0..3);
    for host in 0..fleet.host_count() {
        if !all_jump && random.random_range(0..3) > 0 {
            continue;
        }
        let ahead_ms = match direction {
            0 => fleet.clock_ahead_ms(host) + by_ms,
            1 => fleet.clock_ahead_ms(host) - by_ms,
            _ => 0,
        };
        fleet.set_clock(host, ahead_ms);
    }
}

/// Calls `visit` for each sequence of jumps and each choice of hosts, with a new fleet.
fn for_each_case(mut visit: impl FnMut(&mut Fleet, &[usize], &Jumps, &str)) {
    for jumps in &JUMPS {
        for who in Who::ALL {
            let mut fleet = Fleet::new(HOSTS, 2);
            // A clock is believed as long as it has been right before.
            fleet.run(MAX_TRIAL_MS);
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

/// Guards against timed jobs that start early, or not at all, as the clock of the owner has jumped.
/// Each occurrence starts by the time of day that the clocks showed before.
#[gtest]
fn timed_jobs_start_by_the_time_of_day_while_clocks_jump() {
    const TIMES: u32 = 5;
    const INTERVAL_MS: u64 = 4_000;
    const FIRST_MS: u64 = 3_000;
    const EARLY_MS: u64 = 250;
    const LATE_MS: u64 = 500;
    for_each_case(|fleet, hosts, jumps, name| {
        let first_due_ms = fleet.now_ms + FIRST_MS;
        let repeated = Submission {
            repetitions: TIMES,
            first_due_wall_ms: fleet.wall_ms() + FIRST_MS,
            interval_ms: INTERVAL_MS,
            ..job(vec![step(1, 300, &[])])
        };
        fleet.submit(0, JOB, &repeated);
        fleet.run(1_000);
        jump(fleet, hosts, jumps);
        let end_ms = first_due_ms + u64::from(TIMES) * INTERVAL_MS;
        fleet.run(end_ms - fleet.now_ms);
        for occurrence in 0..TIMES {
            let task = TaskId {
                job: JobId(JOB),
                occurrence,
                step: 0,
                index: 0,
            };
            let due_ms = first_due_ms + u64::from(occurrence) * INTERVAL_MS;
            let started_ms = fleet.promises.first_starts_ms.get(&task).copied();
            let range = all![ge(due_ms - EARLY_MS), le(due_ms + LATE_MS)];
            expect_that!(started_ms, some(range), "{name}, occurrence {occurrence}");
        }
    });
}

/// A host that starts with a wrong clock and has never known a right one.
struct WrongStart {
    name: &'static str,
    is_owner: bool,
    ahead_ms: i64,
}

const WRONG_STARTS: [WrongStart; 8] = [
    WrongStart {
        name: "the owner, an hour ahead",
        is_owner: true,
        ahead_ms: HOUR_MS,
    },
    WrongStart {
        name: "the owner, an hour back",
        is_owner: true,
        ahead_ms: -HOUR_MS,
    },
    WrongStart {
        name: "the owner, a year ahead",
        is_owner: true,
        ahead_ms: YEAR_MS,
    },
    WrongStart {
        name: "the owner, a year back",
        is_owner: true,
        ahead_ms: -YEAR_MS,
    },
    WrongStart {
        name: "another host, an hour ahead",
        is_owner: false,
        ahead_ms: HOUR_MS,
    },
    WrongStart {
        name: "another host, an hour back",
        is_owner: false,
        ahead_ms: -HOUR_MS,
    },
    WrongStart {
        name: "another host, a year ahead",
        is_owner: false,
        ahead_ms: YEAR_MS,
    },
    WrongStart {
        name: "another host, a year back",
        is_owner: false,
        ahead_ms: -YEAR_MS,
    },
];

/// Starts a fleet with such a host, and returns the host. Only a host that is to be the owner has
/// enough of a core to be the first to claim.
fn start_wrong(case: &WrongStart) -> (Fleet, usize) {
    let mut fleet = Fleet::with_shares(&[200, 100, 100], 2);
    let host = if case.is_owner { 0 } else { 1 };
    for number in 0..HOSTS {
        fleet.kill(number);
    }
    fleet.set_clock(host, case.ahead_ms);
    for number in 0..HOSTS {
        fleet.start(number);
    }
    fleet.run(6_000);
    expect_that!(fleet.owner(), some(eq(0)), "{}", case.name);
    (fleet, host)
}

/// Guards against timed jobs that start early or late by the clock of the owner, which has always
/// been wrong, while the other hosts show another time.
#[gtest]
fn timed_jobs_start_by_the_time_of_most_hosts() {
    const FIRST_MS: u64 = 5_000;
    for case in &WRONG_STARTS {
        let (mut fleet, _) = start_wrong(case);
        for host in 0..HOSTS {
            let id = 0x100 + host as u64;
            fleet.submit(host, id, &job(vec![step(1, 300, &[])]));
            fleet.run(500);
        }
        let due_ms = fleet.now_ms + FIRST_MS;
        let timed = Submission {
            repetitions: 1,
            first_due_wall_ms: fleet.wall_ms() + FIRST_MS,
            interval_ms: 1_000,
            ..job(vec![step(1, 300, &[])])
        };
        fleet.submit(2, JOB, &timed);
        fleet.run(FIRST_MS + 2_000);
        let task = TaskId {
            job: JobId(JOB),
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let started_ms = fleet.promises.first_starts_ms.get(&task).copied();
        let range = all![ge(due_ms - 250), le(due_ms + 1_000)];
        expect_that!(started_ms, some(range), "{}", case.name);
    }
}

/// Guards against jobs that are taken for hours late, and accounts of their time that contain the
/// error of a clock, where the clock of the host that accepted them or that of the owner is wrong.
#[gtest]
fn accounts_of_time_do_not_contain_errors_of_clocks() {
    for case in &WRONG_STARTS {
        let (mut fleet, host) = start_wrong(case);
        for (id, number) in [(1, host), (2, 2), (3, host)] {
            let before = fleet.job_times.len();
            fleet.submit(number, id, &job(vec![step(2, 300, &[])]));
            fleet.run(2_000);
            expect_that!(fleet.job_times.len(), eq(before + 1), "{}", case.name);
            for (_, times) in &fleet.job_times[before..] {
                expect_that!(times.times.total_ms(), le(4_500), "{}", case.name);
                expect_that!(times.is_missed(), eq(false), "{}", case.name);
            }
        }
    }
}

/// Guards against accounts that begin with the process of the owner, where that is younger than the
/// job.
#[gtest]
fn accounts_of_inherited_jobs_begin_with_their_acceptance() {
    let mut fleet = Fleet::new(HOSTS, 2);
    let submitted_ms = fleet.now_ms;
    fleet.submit(0, JOB, &job(vec![step(2, 12_000, &[])]));
    fleet.run(9_000);
    for host in 0..HOSTS {
        fleet.kill(host);
    }
    for host in 0..HOSTS {
        fleet.start(host);
    }
    fleet.run(6_000);
    let accounts: Vec<_> = fleet.job_times.iter().collect();
    expect_that!(accounts.len(), eq(1));
    for (ended_ms, times) in accounts {
        let elapsed_ms = ended_ms - submitted_ms;
        let range = all![ge(elapsed_ms - 100), le(elapsed_ms + 100)];
        expect_that!(times.times.total_ms(), range);
    }
}

/// Guards against leases that end, and runs that are started again, as the clock of a host jumps.
#[gtest]
fn leases_do_not_depend_on_the_time_of_day() {
    for_each_case(|fleet, hosts, jumps, name| {
        let long_running = Step {
            is_long_running: true,
            ..step(2, 1_000, &[])
        };
        fleet.submit(0, JOB, &job(vec![long_running]));
        fleet.run(2_000);
        jump(fleet, hosts, jumps);
        fleet.run(12_000);
        expect_that!(starts(fleet), eq(2), "{name}");
        expect_that!(fleet.owners(), eq(1), "{name}");
        expect_that!(fleet.claims, eq(1), "{name}");
    });
}

/// Streams that are unavailable while a finished job is deleted.
struct HalfDeletion {
    name: &'static str,
    unavailable: &'static [Stream],
}

const HALF_DELETIONS: [HalfDeletion; 4] = [
    HalfDeletion {
        name: "submissions stay",
        unavailable: &[
            Stream::Jobs(0),
            Stream::Jobs(1),
            Stream::Jobs(2),
            Stream::Jobs(3),
        ],
    },
    HalfDeletion {
        name: "submissions and states stay",
        unavailable: &[
            Stream::Jobs(0),
            Stream::Jobs(1),
            Stream::Jobs(2),
            Stream::Jobs(3),
            Stream::States,
        ],
    },
    HalfDeletion {
        name: "progress stays",
        unavailable: &[Stream::Progress],
    },
    HalfDeletion {
        name: "states stay",
        unavailable: &[Stream::States],
    },
];

/// Guards against finished jobs that start again: the records of their ends were deleted while the
/// store refused to delete their submissions, and the next owner read jobs without any progress.
#[gtest]
fn a_job_that_is_half_deleted_does_not_start_again() {
    for case in &HALF_DELETIONS {
        let mut fleet = Fleet::new(HOSTS, 2);
        let keys = job_keys(&fleet);
        fleet.submit(0, JOB, &job(vec![step(2, 300, &[])]));
        fleet.run(178_000);
        fleet.store.unavailable = case.unavailable.to_vec();
        fleet.run(25_000);
        for host in 0..HOSTS {
            fleet.kill(host);
        }
        fleet.run(100);
        fleet.store.unavailable.clear();
        for host in 0..HOSTS {
            fleet.start(host);
        }
        fleet.run(8_000);
        expect_that!(starts(&fleet), eq(2), "{}", case.name);
        expect_that!(fleet.promises.broken, is_empty(), "{}", case.name);
        fleet.run(FORGOTTEN_MS);
        expect_that!(job_keys(&fleet), eq(keys), "{}", case.name);
        for stream in [Stream::Progress, Stream::States] {
            let record_keys = fleet.store.key_names(stream);
            let name = JobId(JOB).to_string();
            let left = record_keys.iter().filter(|key| key.contains(&name));
            expect_that!(left.count(), eq(0), "{}, {stream:?}", case.name);
        }
    }
}
