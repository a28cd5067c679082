//! Tests whether the owner keeps connections to the other hosts, by what it knows of its
//! deployment.

use goldcrestway_dispatch::policy::informing::Deployment;
use goldcrestway_dispatch::policy::informing::should_inform;
use goldcrestway_dispatch::policy::informing::should_keep_informing;
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
    /// Whether an owner that informs them already continues to do so.
    is_kept: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "many hosts that callers query",
        deployment: STRONG,
        is_expected: true,
        is_kept: true,
    },
    // All of them monitor the owner in any case.
    Case {
        name: "few hosts",
        deployment: Deployment { hosts: 9, ..STRONG },
        is_expected: false,
        is_kept: true,
    },
    Case {
        name: "as many other hosts as watchers",
        deployment: Deployment {
            hosts: 16,
            ..STRONG
        },
        is_expected: true,
        is_kept: true,
    },
    Case {
        name: "one host less",
        deployment: Deployment {
            hosts: 15,
            ..STRONG
        },
        is_expected: false,
        is_kept: true,
    },
    // Heartbeats and answers would displace orders to workers.
    Case {
        name: "a slow link",
        deployment: Deployment {
            link_bytes_per_s: 125_000,
            ..STRONG
        },
        is_expected: false,
        is_kept: false,
    },
    // Callers and the store need descriptors as well.
    Case {
        name: "few descriptors",
        deployment: Deployment {
            descriptors: 700,
            ..STRONG
        },
        is_expected: false,
        is_kept: true,
    },
    // 44 hosts take 22,000 bytes a second, a tenth of this link.
    Case {
        name: "the limit of the link",
        deployment: Deployment {
            link_bytes_per_s: 220_000,
            ..STRONG
        },
        is_expected: true,
        is_kept: true,
    },
    Case {
        name: "a byte less",
        deployment: Deployment {
            link_bytes_per_s: 219_999,
            ..STRONG
        },
        is_expected: false,
        is_kept: true,
    },
    Case {
        name: "half more of the link than for new connections",
        deployment: Deployment {
            link_bytes_per_s: 146_667,
            ..STRONG
        },
        is_expected: false,
        is_kept: true,
    },
    Case {
        name: "more of the link than that",
        deployment: Deployment {
            link_bytes_per_s: 146_666,
            ..STRONG
        },
        is_expected: false,
        is_kept: false,
    },
    Case {
        name: "10 Mbit/s",
        deployment: Deployment {
            link_bytes_per_s: 1_250_000,
            ..STRONG
        },
        is_expected: true,
        is_kept: true,
    },
    // 394 connections.
    Case {
        name: "the limit of descriptors",
        deployment: Deployment {
            descriptors: 788,
            ..STRONG
        },
        is_expected: true,
        is_kept: true,
    },
    Case {
        name: "a descriptor less",
        deployment: Deployment {
            descriptors: 787,
            ..STRONG
        },
        is_expected: false,
        is_kept: true,
    },
    Case {
        name: "three quarters of the descriptors",
        deployment: Deployment {
            descriptors: 526,
            ..STRONG
        },
        is_expected: false,
        is_kept: true,
    },
    Case {
        name: "more than three quarters of the descriptors",
        deployment: Deployment {
            descriptors: 525,
            ..STRONG
        },
        is_expected: false,
        is_kept: false,
    },
];

#[gtest]
fn hosts_are_informed_where_most_of_them_would_read_otherwise() {
    for case in CASES {
        let informs = should_inform(case.deployment);
        expect_that!(informs, eq(case.is_expected), "{}", case.name);
        let keeps = should_keep_informing(case.deployment);
        expect_that!(keeps, eq(case.is_kept), "{}", case.name);
    }
}
