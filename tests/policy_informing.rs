//! Tests whether the owner keeps connections to the other hosts, by what it knows of its
//! deployment.

use goldcrestway_dispatch::policy::informing::Deployment;
use goldcrestway_dispatch::policy::informing::should_inform;
use googletest::prelude::*;

/// An owner that can afford connections to 44 hosts.
const STRONG: Deployment = Deployment {
    hosts: 44,
    watchers: 8,
    workers: 350,
    link_bytes_per_s: 25_000_000,
    descriptors: 8_192,
};

/// A deployment, and whether its owner informs the other hosts.
struct Case {
    name: &'static str,
    deployment: Deployment,
    is_expected: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "many hosts that callers query",
        deployment: STRONG,
        is_expected: true,
    },
    // All of them monitor the owner in any case.
    Case {
        name: "few hosts",
        deployment: Deployment { hosts: 9, ..STRONG },
        is_expected: false,
    },
    Case {
        name: "as many other hosts as watchers",
        deployment: Deployment {
            hosts: 16,
            ..STRONG
        },
        is_expected: true,
    },
    Case {
        name: "one host less",
        deployment: Deployment {
            hosts: 15,
            ..STRONG
        },
        is_expected: false,
    },
    // Heartbeats and answers would displace orders to workers.
    Case {
        name: "a slow link",
        deployment: Deployment {
            link_bytes_per_s: 125_000,
            ..STRONG
        },
        is_expected: false,
    },
    // Callers and the store need descriptors as well.
    Case {
        name: "few descriptors",
        deployment: Deployment {
            descriptors: 700,
            ..STRONG
        },
        is_expected: false,
    },
];

#[gtest]
fn hosts_are_informed_where_most_of_them_would_read_otherwise() {
    for case in CASES {
        let informs = should_inform(case.deployment);
        expect_that!(informs, eq(case.is_expected), "{}", case.name);
    }
}
