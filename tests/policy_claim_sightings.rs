//! What a host knows of times that owners have recorded.

use goldcrestway_dispatch::policy::claim_sightings::ClaimSightings;
use googletest::prelude::*;

/// Claims that a host has seen, and a time that an owner has recorded.
struct Case {
    name: &'static str,
    /// Token, age of the claim as far as known, and when it was seen.
    seen: &'static [(u64, u64, u64)],
    token: u64,
    claim_age_ms: u64,
    latest_ms: Option<u64>,
}

const CASES: &[Case] = &[
    Case {
        name: "no claim was seen",
        seen: &[],
        token: 5,
        claim_age_ms: 100,
        latest_ms: None,
    },
    Case {
        name: "no owner",
        seen: &[(7, 0, 1_000)],
        token: 0,
        claim_age_ms: 100,
        latest_ms: None,
    },
    Case {
        name: "only an earlier claim was seen",
        seen: &[(3, 0, 1_000)],
        token: 5,
        claim_age_ms: 100,
        latest_ms: None,
    },
    Case {
        name: "the claim was seen",
        seen: &[(5, 0, 1_000), (5, 0, 3_000)],
        token: 5,
        claim_age_ms: 100,
        latest_ms: Some(1_100),
    },
    Case {
        name: "a later heartbeat shows that the claim is older",
        seen: &[(5, 0, 1_000), (5, 900, 1_700)],
        token: 5,
        claim_age_ms: 100,
        latest_ms: Some(900),
    },
    Case {
        name: "only a later claim was seen",
        seen: &[(8, 0, 4_000), (9, 0, 5_000)],
        token: 5,
        claim_age_ms: 100,
        latest_ms: Some(4_000),
    },
    Case {
        name: "a later claim bounds the time",
        seen: &[(5, 0, 1_000), (8, 0, 1_500)],
        token: 5,
        claim_age_ms: 2_000,
        latest_ms: Some(1_500),
    },
    // The claim was sent at 2,000 and stored later; until then, the previous owner still wrote.
    Case {
        name: "a later claim took long to be stored",
        seen: &[(5, 0, 1_000), (8, 3_000, 5_000)],
        token: 5,
        claim_age_ms: 3_500,
        latest_ms: Some(4_500),
    },
];

/// A time that is taken for earlier than it was would let a lease count as expired too soon, so that
/// a task would run in two places.
#[gtest]
fn recorded_times_are_never_taken_for_earlier_than_they_are() {
    for case in CASES {
        let mut sightings = ClaimSightings::default();
        for (token, claim_age_ms, now_ms) in case.seen {
            sightings.record(*token, *claim_age_ms, *now_ms);
        }
        let latest_ms = sightings.latest_ms(case.token, case.claim_age_ms);
        expect_that!(latest_ms, eq(case.latest_ms), "{}", case.name);
    }
}

/// Memory grew with each change of owner.
#[gtest]
fn few_claims_are_remembered() {
    let mut sightings = ClaimSightings::default();
    for token in 1..=1_000 {
        sightings.record(token, 0, token * 10);
    }
    expect_that!(sightings.latest_ms(1_000, 0), some(eq(10_000)));
    expect_that!(sightings.latest_ms(1, 0), some(gt(9_000)));
}
