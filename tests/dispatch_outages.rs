//! Parts of the store that are away while the others are there.

use crate::dispatch::JOB;
use crate::dispatch::owner;
use crate::fleet::Fleet;
use crate::fleet::Mode;
use crate::fleet::job;
use crate::fleet::step;
use goldcrestway_dispatch::JobState;
use goldcrestway_dispatch::MAX_STORE_CALLS;
use goldcrestway_dispatch::Reply;
use goldcrestway_dispatch::Step;
use goldcrestway_dispatch::Stream;
use googletest::prelude::*;

/// Streams that a new owner can do without for a while.
const CASES: &[&[Stream]] = &[
    &[Stream::Workers],
    &[Stream::Jobs(0)],
    &[Stream::Jobs(1), Stream::Jobs(2), Stream::Workers],
    &[
        Stream::Jobs(0),
        Stream::Jobs(1),
        Stream::Jobs(2),
        Stream::Jobs(3),
    ],
];

/// Symptom: all that runs ends by its lease. Sequence: part of the store is away, and the
/// owner stops as planned; its successors claim one after the other and never begin. Cause:
/// they waited for the list of workers, or the newest jobs, for longer than leases last.
#[gtest]
fn a_new_owner_begins_while_part_of_the_store_is_away() {
    for away in CASES {
        let mut fleet = Fleet::new(3, 4);
        let lasting = Step {
            is_long_running: true,
            ..step(6, 1_000, &[])
        };
        for number in 0..6 {
            fleet.submit(
                number as usize % 3,
                0x10 + number,
                &job(vec![step(2, 300, &[])]),
            );
        }
        fleet.submit(0, 0x1, &job(vec![lasting]));
        fleet.run(1_000);
        fleet.submit(0, JOB, &job(vec![step(6, 9_000, &[]), step(2, 200, &[0])]));
        fleet.run(300);
        let starts = fleet.promises.starts.len();
        fleet.store.unavailable = away.to_vec();
        let owner = owner(&fleet);
        fleet.kill(owner);
        fleet.run(8_000);
        expect_that!(fleet.owners(), eq(1), "{away:?}");
        fleet.store.unavailable.clear();
        fleet.run(5_000);
        expect_that!(fleet.promises.broken, is_empty(), "{away:?}");
        let alive = (owner + 1) % 3;
        expect_that!(
            fleet.state(alive, JOB),
            some(eq(JobState::Completed)),
            "{away:?}"
        );
        // Only the second step, and what the new owner had not read yet, starts anew.
        let again = fleet.promises.starts.len() - starts;
        expect_that!(again, eq(2), "{away:?}");
    }
}

/// Symptom: all submissions are refused while a part of the store is away. Cause: they all
/// went to that part.
#[gtest]
fn submissions_use_the_parts_that_are_there() {
    let mut fleet = Fleet::new(3, 4);
    fleet.store.unavailable = vec![Stream::Jobs(0), Stream::Jobs(2)];
    let mut requests = Vec::new();
    for number in 0..12 {
        let host = number as usize % 3;
        requests.push(fleet.submit(host, 0x100 + number, &job(vec![step(1, 100, &[])])));
        fleet.run(40);
    }
    fleet.run(600);
    for request in requests {
        expect_that!(fleet.replies.get(&request), some(eq(&Reply::Stored)));
    }
}

/// Symptom: one host after the other claims and none owns for longer than a second, as soon
/// as no jobs come in. Sequence: the owner dies; the host that claims reads while its long
/// polls wait. Cause: more calls were under way than there were connections to the store, so
/// the reads waited for two seconds behind long polls.
#[gtest]
fn calls_to_the_store_never_wait_for_one_another() {
    let mut fleet = Fleet::new(4, 4);
    for round in 0..3 {
        for number in 0..30 {
            let host = number as usize % 4;
            let id = 0x1000 * (round + 1) + number;
            fleet.submit(host, id, &job(vec![step(2, 200, &[])]));
            fleet.query(host, 0xf_0000 + number);
            fleet.count(host);
            fleet.run(15);
        }
        let owner = owner(&fleet);
        fleet.kill(owner);
        fleet.run(2_500);
        fleet.start(owner);
        fleet.run(1_500);
    }
    expect_that!(fleet.max_store_calls, gt(10));
    expect_that!(fleet.max_store_calls, le(MAX_STORE_CALLS));
}

/// Time in which an owner that reaches the store knows of what other hosts have stored.
const HEARD_MS: u64 = 1_200;

/// Symptom: jobs taken in by other hosts do not begin for seconds, and tasks of cancelled ones
/// go on being started, though the owner reaches store and workers. Sequence: the owner's
/// connections to the store go silent, as when the store drops what was sent into an outage;
/// then a job is stored, and one is cancelled. Cause: the owner hears of both by reads that
/// the store holds back, and awaited the lost ones to their end.
#[gtest]
fn an_owner_hears_of_jobs_soon_after_its_reads_were_lost() {
    for moment in 0..8 {
        let mut fleet = Fleet::new(3, 4);
        let lasting = Step {
            is_long_running: true,
            ..step(4, 1_000, &[])
        };
        let other = (owner(&fleet) + 1) % 3;
        fleet.submit(other, 0x1, &job(vec![lasting]));
        fleet.run(2_000 + 150 * moment);
        expect_that!(fleet.promises.starts.len(), eq(4));
        fleet.drop_store_connections(owner(&fleet));
        fleet.run(50);
        fleet.submit(other, JOB, &job(vec![step(2, 500, &[])]));
        fleet.cancel(other, 0x1);
        fleet.run(HEARD_MS);
        expect_that!(fleet.promises.starts.len(), eq(6), "moment {moment}");
        let mut lasting_runs = 0;
        for (_, task, _) in fleet.promises.starts.clone() {
            lasting_runs += u32::from(task.job.0 == 0x1 && fleet.running(task) > 0);
        }
        expect_that!(lasting_runs, eq(0), "moment {moment}");
        expect_that!(fleet.owners(), eq(1), "moment {moment}");
    }
}

/// The same beside a store that answers nothing: all calls are awaited to their end then, and
/// the first ones after its return must not wait for them.
#[gtest]
fn calls_into_an_outage_leave_connections_for_those_after_it() {
    let mut fleet = Fleet::new(4, 4);
    for round in 0..3 {
        for number in 0..100 {
            let is_silent = (20..80).contains(&number);
            fleet.store.mode = if is_silent { Mode::Silent } else { Mode::Up };
            let host = number as usize % 4;
            let id = 0x1000 * (round + 1) + number;
            fleet.submit(host, id, &job(vec![step(2, 200, &[])]));
            fleet.query(host, 0xf_0000 + number);
            fleet.count(host);
            fleet.run(50);
        }
        fleet.run(1_500);
    }
    expect_that!(fleet.max_store_calls, le(MAX_STORE_CALLS));
}

/// Symptom: callers who ask about a job that a host does not know wait for 0.9 s before they
/// are told to come again, while the store is known to be away. Cause: the host awaited reads
/// that could bring nothing.
#[gtest]
fn questions_are_put_off_at_once_while_the_store_is_away() {
    let mut fleet = Fleet::new(3, 4);
    fleet.submit(0, JOB, &job(vec![step(1, 20_000, &[])]));
    // Hosts that do not own read jobs every six seconds.
    fleet.run(6_500);
    fleet.store.mode = Mode::Silent;
    fleet.run(4_000);
    for host in 0..3 {
        let unknown = fleet.query(host, 0x123);
        let known = fleet.query(host, JOB);
        fleet.run(5);
        let deferred = Reply::NotDone {
            retry_after_ms: 1_000,
        };
        expect_that!(fleet.replies.get(&unknown), some(eq(&deferred)));
        let running = Reply::State(JobState::Running);
        expect_that!(fleet.replies.get(&known), some(eq(&running)));
    }
}

/// Calls of a host that does not own into an outage: those that notice the store's return, and
/// those for rules, which a store that refuses at once answers four times a second.
const PROBES_PER_S: usize = 9;
/// Time after the store's return by which every host takes callers again.
const BACK_MS: u64 = 250;

/// Symptom: hosts refuse what the store would take for half a second and more after it is back.
/// Cause: reads of all streams went on into the outage, each was awaited for half a second and
/// more, and the next one went out a while after one had failed.
#[gtest]
fn hosts_press_an_away_store_little_and_are_back_soon() {
    const HOSTS: usize = 8;
    for (mode, moment) in [Mode::Silent, Mode::Refuses]
        .into_iter()
        .flat_map(|mode| (0..8).map(move |moment| (mode, moment)))
    {
        let mut fleet = Fleet::new(HOSTS, 4);
        fleet.run(500 + 90 * moment);
        fleet.store.mode = mode;
        fleet.run(4_000);
        let owner = owner(&fleet);
        fleet.pause(owner);
        let before = fleet.store_calls_made;
        fleet.run(2_000);
        let calls = fleet.store_calls_made - before;
        let most = 2 * PROBES_PER_S * (HOSTS - 1);
        expect_that!(calls, le(most), "{mode:?}, moment {moment}");
        fleet.resume(owner);
        fleet.store.mode = Mode::Up;
        fleet.run(BACK_MS);
        for host in 0..HOSTS {
            let is_ready = fleet.is_ready(host);
            expect_true!(is_ready, "{mode:?}, moment {moment}, host {host}");
        }
    }
}

/// Symptom: tasks that had ended well run a second time, all those of a job at once. Sequence:
/// part of the store goes away just after a job was stored there; the owner stops, and its
/// successor begins without that part; tasks of the job end meanwhile, and their ends are passed
/// over, as nothing is known of the job; its caller submits it again, and it is stored in a part
/// that is there. Cause: the successor took the job in, with the runs that were on record, and
/// did not look again at the ends that it had passed over: it took these runs for lost. From the
/// log of such a day:
///
/// ```text
/// 30.435 JobStored what=submit           32.409 OwnerSuspected leaving=true
/// 33.072 OwnerBegun all_read=false       34.214 JobStored what=submit
/// 35.166 RunOrdered run=2                of a task whose run 1 was done at 32.786
/// ```
#[gtest]
fn ends_of_a_job_that_was_not_read_count_once_it_is_submitted_again() {
    let all_parts: Vec<Stream> = (0..4).map(Stream::Jobs).collect();
    for part in 0..4 {
        let mut fleet = Fleet::new(3, 4);
        let owner = owner(&fleet);
        let other = (owner + 1) % 3;
        let submission = job(vec![step(6, 1_200, &[])]);
        // Appends take the parts in turn, so one of these goes to the part that stays.
        for number in 0..part {
            fleet.submit(owner, 0x10 + number, &job(vec![step(1, 50, &[])]));
            fleet.run(20);
        }
        fleet.submit(owner, JOB, &submission);
        fleet.run(60);
        let starts = fleet.promises.starts.len();
        fleet.store.unavailable = all_parts.clone();
        fleet.kill(owner);
        fleet.run(3_000);
        expect_that!(fleet.owners(), eq(1), "part {part}");
        fleet.store.unavailable.truncate(3);
        let mut stored = fleet.submit(other, JOB, &submission);
        for _ in 0..20 {
            fleet.run(200);
            if fleet.replies.get(&stored) == Some(&Reply::Stored) {
                break;
            }
            stored = fleet.submit(other, JOB, &submission);
        }
        fleet.run(2_000);
        expect_that!(fleet.promises.starts.len(), eq(starts), "part {part}");
        fleet.store.unavailable.clear();
        fleet.run(4_000);
        expect_that!(fleet.promises.starts.len(), eq(starts), "part {part}");
        let state = fleet.state(other, JOB);
        expect_that!(state, some(eq(JobState::Completed)), "part {part}");
        expect_that!(fleet.promises.broken, is_empty(), "part {part}");
    }
}

/// Symptom: while the store is away for some hosts, callers there wait for their whole time and learn
/// nothing. Cause: a host that hears the owner asks the store for nothing but rules, and took seconds
/// to notice that it is away.
#[gtest]
fn a_host_that_hears_the_owner_notices_soon_that_the_store_is_away() {
    /// A late append, and the doubt that it raises.
    const NOTICED_MS: u64 = 1_000;
    for mode in [Mode::Silent, Mode::Refuses] {
        let mut fleet = Fleet::with_relays(12, 12);
        fleet.run(4_000);
        let owner = fleet.owner().expect("there is an owner");
        let host = (owner + 1) % 12;
        fleet.store.mode = mode;
        fleet.run(50);
        fleet.submit(host, JOB, &job(vec![step(1, 100, &[])]));
        fleet.run(NOTICED_MS);
        let request = fleet.submit(host, JOB + 1, &job(vec![step(1, 100, &[])]));
        fleet.run(10);
        let refused = Reply::NotDone {
            retry_after_ms: 1_000,
        };
        expect_that!(fleet.replies.get(&request), some(eq(&refused)), "{mode:?}");
        fleet.store.mode = Mode::Up;
        fleet.run(BACK_MS);
        expect_true!(fleet.is_ready(host));
    }
}
