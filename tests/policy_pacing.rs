//! At which share best-effort tasks work beside a service.

use goldcrestway_dispatch::policy::shares::ColocatedService;
use goldcrestway_dispatch::policy::shares::SuspendDelays;
use goldcrestway_dispatch::policy::shares::choose_share;
use googletest::prelude::*;

/// Time after which a wait counts as harm.
const HARM_MS: u64 = 4_000;

/// A service that is well, beside a task that takes a fifth of its ease.
const HEALTHY_SERVICE: ColocatedService = ColocatedService {
    headroom: 2.0,
    over_ms: 0,
    headroom_loss: 0.2,
};

/// A task at a share, the services beside it, and the share that it gets.
struct Case {
    name: &'static str,
    before: u32,
    services: &'static [ColocatedService],
    may_shift: bool,
    share: u32,
}

const CASES: &[Case] = &[
    Case {
        name: "nobody is beside it",
        before: 50,
        services: &[],
        may_shift: true,
        share: 75,
    },
    Case {
        name: "the service is well",
        before: 100,
        services: &[HEALTHY_SERVICE],
        may_shift: true,
        share: 100,
    },
    Case {
        name: "the service is close to its target",
        before: 100,
        services: &[ColocatedService {
            headroom: 1.02,
            ..HEALTHY_SERVICE
        }],
        may_shift: true,
        share: 50,
    },
    Case {
        name: "a change was just made",
        before: 100,
        services: &[ColocatedService {
            headroom: 1.02,
            ..HEALTHY_SERVICE
        }],
        may_shift: false,
        share: 100,
    },
    Case {
        name: "the task does nothing to the service",
        before: 100,
        services: &[ColocatedService {
            headroom: 1.02,
            headroom_loss: 0.01,
            ..HEALTHY_SERVICE
        }],
        may_shift: true,
        share: 100,
    },
    Case {
        name: "a little of it is worse than nothing",
        before: 30,
        services: &[ColocatedService {
            headroom: 0.9,
            ..HEALTHY_SERVICE
        }],
        may_shift: true,
        share: 0,
    },
    Case {
        name: "the service has been over its target for long, and the task may be why",
        before: 100,
        services: &[ColocatedService {
            headroom: 0.9,
            over_ms: 1_300,
            headroom_loss: 0.05,
        }],
        may_shift: false,
        share: 0,
    },
    Case {
        name: "the service has been over its target for longer, and nobody knows why",
        before: 100,
        services: &[ColocatedService {
            headroom: 0.9,
            over_ms: 1_900,
            headroom_loss: 0.0,
        }],
        may_shift: false,
        share: 0,
    },
    Case {
        name: "one of two services would bear more",
        before: 50,
        services: &[
            HEALTHY_SERVICE,
            ColocatedService {
                headroom: 1.02,
                ..HEALTHY_SERVICE
            },
        ],
        may_shift: true,
        share: 25,
    },
];

/// Services stay over their target beside tasks at full share, or tasks are slowed for nothing.
#[gtest]
fn shares_follow_what_services_bear() {
    for case in CASES {
        let suspend_delays = SuspendDelays::new(HARM_MS);
        let share = choose_share(
            case.before,
            case.services,
            suspend_delays,
            case.may_shift,
            true,
        );
        expect_that!(share, eq(case.share), "{}", case.name);
    }
}
