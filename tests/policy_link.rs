//! What goes out over a link that is nearly full, and what waits.

use goldcrestway_dispatch::policy::link::CallPriority;
use goldcrestway_dispatch::policy::link::LinkBudget;
use goldcrestway_dispatch::policy::link::list_pause_ms;
use googletest::prelude::*;

/// Two megabits a second.
const SLOW_LINK_BYTES_PER_S: u64 = 250_000;

/// What is under way, and which ranks may go out beside it.
struct Case {
    name: &'static str,
    out_bytes: u64,
    in_bytes: u64,
    admitted: &'static [CallPriority],
}

const CASES: &[Case] = &[
    Case {
        name: "nothing is under way",
        out_bytes: 0,
        in_bytes: 0,
        admitted: &CallPriority::ALL,
    },
    Case {
        name: "a burst of orders to start is under way",
        out_bytes: 12_000,
        in_bytes: 0,
        admitted: &[
            CallPriority::Lease,
            CallPriority::Control,
            CallPriority::Poll,
        ],
    },
    Case {
        name: "long lists are about to come in",
        out_bytes: 0,
        in_bytes: 17_000,
        admitted: &[CallPriority::Lease, CallPriority::Control],
    },
    Case {
        name: "all that the link carries in 80 ms is under way",
        out_bytes: 20_000,
        in_bytes: 0,
        admitted: &[CallPriority::Lease],
    },
];

/// Symptom: leases run out, and followers claim, while the owner lives. Sequence: a wide job
/// comes, its orders to start fill the link for a second, and renewals wait behind them.
/// Cause: whatever was due was sent at once, in no order of importance.
#[gtest]
fn lower_priorities_leave_capacity_to_higher_ones() {
    for case in CASES {
        let mut link = LinkBudget::new(SLOW_LINK_BYTES_PER_S);
        link.charge(case.out_bytes, case.in_bytes);
        for priority in CallPriority::ALL {
            let is_admitted = case.admitted.contains(&priority);
            expect_that!(
                link.admits(priority),
                eq(is_admitted),
                "{} {priority:?}",
                case.name
            );
        }
    }
}

/// What a link has carried makes room again, and no more than what it carries.
#[gtest]
fn sent_bytes_stay_within_the_link_capacity() {
    const ORDER_BYTES: u64 = 700;
    let mut link = LinkBudget::new(SLOW_LINK_BYTES_PER_S);
    let mut sent_bytes = 0;
    for now_ms in 0..10_000 {
        link.refill(now_ms);
        while link.admits(CallPriority::Start) {
            link.charge(ORDER_BYTES, 0);
            sent_bytes += ORDER_BYTES;
        }
    }
    let carried_bytes = 10 * SLOW_LINK_BYTES_PER_S;
    expect_that!(sent_bytes, le(carried_bytes));
    expect_that!(sent_bytes, ge(carried_bytes * 8 / 10));
}

/// Links that are wide enough cost nothing: the pauses stay below those that there are anyway.
#[gtest]
fn fast_links_delay_neither_polls_nor_records() {
    let link = LinkBudget::new(25_000_000);
    expect_that!(link.polls_gap_ms(540, 215), le(60));
    expect_that!(link.records_gap_ms(20_000), le(20));
}

/// Reports of workers that came in a while, and the pause before the next read of them.
struct ListCase {
    name: &'static str,
    pause_ms: u64,
    bytes: u64,
    link_bytes_per_s: u64,
    next_ms: u64,
}

const LIST_CASES: &[ListCase] = &[
    ListCase {
        name: "few workers",
        pause_ms: 400,
        bytes: 4_000,
        link_bytes_per_s: 2_500_000,
        next_ms: 400,
    },
    ListCase {
        name: "thousands of workers on a wide link",
        pause_ms: 400,
        bytes: 270_000,
        link_bytes_per_s: 125_000_000,
        next_ms: 400,
    },
    // Answers of workers would wait for a tenth of a second behind each read.
    ListCase {
        name: "thousands of workers on a thin link",
        pause_ms: 400,
        bytes: 270_000,
        link_bytes_per_s: 2_500_000,
        next_ms: 100,
    },
    ListCase {
        name: "half of them have gone",
        pause_ms: 100,
        bytes: 16_000,
        link_bytes_per_s: 2_500_000,
        next_ms: 312,
    },
];

/// Symptom: on a link of 20 Mbit/s starts and looks are put off for a quarter of the time. Cause: the
/// reports of 6,000 workers came in one answer, which took the link for more than may be under way.
#[gtest]
fn worker_list_reads_fit_the_link() {
    for case in LIST_CASES {
        let next_ms = list_pause_ms(case.pause_ms, case.bytes, case.link_bytes_per_s);
        expect_that!(next_ms, eq(case.next_ms), "{}", case.name);
    }
}
