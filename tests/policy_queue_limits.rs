//! Tests that many queues, and large ones, have bounded effects.

use crate::policy_fair_shares::FINITE;
use crate::policy_fair_shares::TASK;
use crate::policy_fair_shares::group;
use crate::policy_fair_shares::shares;
use goldcrestway_dispatch::Resources;
use goldcrestway_dispatch::policy::fair_shares::HALF_LIFE_MS;
use goldcrestway_dispatch::policy::fair_shares::JobDemand;
use goldcrestway_dispatch::policy::fair_shares::QueueShare;
use goldcrestway_dispatch::policy::shown_queues::OTHERS;
use goldcrestway_dispatch::policy::shown_queues::ShownQueues;
use googletest::prelude::*;
use std::collections::BTreeSet;

/// Guards against memory that grows with the names of queues. Load: a thousand queues a second for a
/// minute, each with one job, and 490 that stay.
#[gtest]
fn queues_without_jobs_are_forgotten() {
    let mut shares = shares();
    let mut most = 0;
    for second in 0..60 {
        let mut demands = Vec::new();
        for number in 0..1_490 {
            let name = match number {
                0..490 => format!("stays-{number}"),
                _ => format!("passes-{second}-{number}"),
            };
            demands.push(JobDemand {
                queue: shares.queue(&group(2, FINITE), &name),
                held: TASK,
                waits: false,
            });
        }
        shares.refresh(&demands, second * 1_000);
        most = most.max(shares.shares().len());
    }
    expect_that!(most, le(2_490));
    shares.refresh(&[], 60_000);
    expect_that!(shares.shares().len(), le(1_000));
    shares.refresh(&[], 600_000);
    expect_that!(shares.shares(), is_empty());
}

/// Guards against metrics whose rows grow with the number of queues that were ever there, and against
/// the work of queues that no row shows.
#[gtest]
fn metrics_show_a_bounded_number_of_queues() {
    let mut shown = ShownQueues::default();
    for day in 0..20 {
        let mut shares = Vec::new();
        for number in 0..490 {
            shares.push(QueueShare {
                queue: format!("day-{day}-{number}").into(),
                usage_ppm: number,
                held_ppm: 1,
                waiting: 1,
            });
        }
        let rows = shown.rows(shares);
        expect_that!(rows.len(), le(17));
        expect_that!(rows.iter().map(|row| row.waiting).sum::<u64>(), eq(490));
        expect_true!(rows.iter().any(|row| *row.queue == *"day-0-489"));
        expect_true!(rows.iter().any(|row| *row.queue == *OTHERS));
    }
}

/// Guards against queues that are never reported, as others come before them each time. Load: 40 of
/// 80 queues hold everything, and all wait.
#[gtest]
fn each_queue_that_is_held_back_is_reported() {
    let mut shares = shares();
    let mut reported = BTreeSet::new();
    for second in 0..20 {
        let mut demands = Vec::new();
        for number in 0..80 {
            demands.push(JobDemand {
                queue: shares.queue(&group(2, FINITE), &format!("queue-{number}")),
                held: TASK.times(number % 2 * 2),
                waits: true,
            });
        }
        shares.refresh(&demands, second * 1_000);
        let held_back = shares.held_back(second * 1_000);
        expect_that!(held_back.len(), le(10));
        for queue in held_back {
            reported.insert(queue.share.queue);
        }
    }
    expect_that!(reported.len(), eq(40));
}

/// Guards against sums that overflow: best-effort tasks may request more than any worker has.
#[gtest]
fn requests_without_bound_make_the_largest_share() {
    let mut shares = shares();
    let all = Resources {
        cpu_milli: u64::MAX,
        memory_mb: u64::MAX,
        accelerators: u64::MAX,
    };
    let mut demands = Vec::new();
    for (queue, held) in [("a", all.times(2)), ("a", all), ("b", TASK), ("c", all)] {
        demands.push(JobDemand {
            queue: shares.queue(&group(2, FINITE), queue),
            held,
            waits: true,
        });
    }
    shares.refresh(&demands, 0);
    shares.refresh(&demands, HALF_LIFE_MS);
    expect_that!(
        shares.rank(demands[0].queue),
        gt(shares.rank(demands[2].queue))
    );
    let held: u64 = shares.shares().iter().map(|share| share.held_ppm).sum();
    expect_that!(held, lt(u64::from(u32::MAX)));
}
