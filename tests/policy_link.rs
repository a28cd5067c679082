//! Tests which calls are sent over a link that is nearly full, and which are deferred.

use goldcrestway_dispatch::policy::link::CallPriority;
use goldcrestway_dispatch::policy::link::LinkBudget;
use goldcrestway_dispatch::policy::link::list_pause_ms;
use googletest::prelude::*;

/// 2 Mbit/s.
const SLOW_LINK_BYTES_PER_S: u64 = 250_000;

/// Bytes in flight, and the priorities that are admitted beside them.
struct Case {
    name: &'static str,
    out_bytes: u64,
    in_bytes: u64,
    admitted: &'static [CallPriority],
}

const CASES: &[Case] = &[
    Case {
        name: "nothing is in flight",
        out_bytes: 0,
        in_bytes: 0,
        admitted: &CallPriority::ALL,
    },
    Case {
        name: "a burst of start orders is in flight",
        out_bytes: 12_000,
        in_bytes: 0,
        admitted: &[
            CallPriority::Lease,
            CallPriority::Control,
            CallPriority::Poll,
        ],
    },
    Case {
        name: "long reports are about to arrive",
        out_bytes: 0,
        in_bytes: 17_000,
        admitted: &[CallPriority::Lease, CallPriority::Control],
    },
    Case {
        name: "all bytes that the link carries in 80 ms are in flight",
        out_bytes: 20_000,
        in_bytes: 0,
        admitted: &[CallPriority::Lease],
    },
];

/// Guards against leases that expire, and followers that claim, while the owner is alive. A wide
/// job fills the link with start orders for a second; if calls are sent in the order in which they
/// become due, lease renewals wait behind them.
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

/// Bytes that the link has transferred are available again, but no more than these.
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

/// A fast link causes no delay: the intervals stay below those that apply anyway.
#[gtest]
fn fast_links_delay_neither_polls_nor_records() {
    let link = LinkBudget::new(25_000_000);
    expect_that!(link.polls_gap_ms(540, 215), le(60));
    expect_that!(link.records_gap_ms(20_000), le(20));
}

/// Bytes of worker reports that one read returned, and the pause before the next read.
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
        name: "thousands of workers on a fast link",
        pause_ms: 400,
        bytes: 270_000,
        link_bytes_per_s: 125_000_000,
        next_ms: 400,
    },
    // Otherwise answers of workers wait for a tenth of a second behind each read.
    ListCase {
        name: "thousands of workers on a slow link",
        pause_ms: 400,
        bytes: 270_000,
        link_bytes_per_s: 2_500_000,
        next_ms: 100,
    },
    ListCase {
        name: "half of the workers were removed",
        pause_ms: 100,
        bytes: 16_000,
        link_bytes_per_s: 2_500_000,
        next_ms: 312,
    },
];

/// Guards against starts and polls that are deferred for a quarter of the time on a link of 20
/// Mbit/s. If the reports of 6,000 workers arrive in one answer, they occupy the link for more than
/// may be in flight.
#[gtest]
fn worker_list_reads_fit_the_link() {
    for case in LIST_CASES {
        let next_ms = list_pause_ms(case.pause_ms, case.bytes, case.link_bytes_per_s);
        expect_that!(next_ms, eq(case.next_ms), "{}", case.name);
    }
}
