//! Faulty inventories: each fault is reported with its own message, line and remedy.

use crate::scenarios::SPA;
use goldcrestway_inventory::compare;
use goldcrestway_inventory::dangers;
use goldcrestway_inventory::load;
use goldcrestway_inventory::load_sections;
use googletest::prelude::*;

struct Case {
    name: &'static str,
    /// Text of the valid inventory that is replaced; if empty, `replacement` is appended.
    original: &'static str,
    replacement: &'static str,
    /// Parts that the errors must contain.
    expect: &'static [&'static str],
}

/// A small valid inventory; each case adds one fault.
const VALID: &str = "\
[failure-domain espoo]
[failure-domain vantaa]

[host w1]
failure_domain = espoo
rack = r1
cores = 16
memory_mb = 60000

[host w2]
failure_domain = vantaa
rack = r2
cores = 16
memory_mb = 60000

[team desk]

[service booking]
team = desk
cores = 4
memory_mb = 8000

[upstream b1]
service = booking
host = w1

[job roster]
team = desk
cores = 8
memory_mb = 16000
";

const CASES: &[Case] = &[
    Case {
        name: "unknown kind",
        original: "",
        replacement: "[hosts w9]\n",
        expect: &["unknown kind of section `hosts`", "`[host w9]`"],
    },
    Case {
        name: "far kind",
        original: "",
        replacement: "[volcano x]\n",
        expect: &["unknown kind of section `volcano`", "Use one of"],
    },
    Case {
        name: "no name",
        original: "",
        replacement: "[host]\n",
        expect: &["no usable name", "[host NAME]"],
    },
    Case {
        name: "bad name",
        original: "",
        replacement: "[host a b]\n",
        expect: &["no usable name"],
    },
    Case {
        name: "listed twice",
        original: "",
        replacement: "[team desk]\n",
        expect: &["team `desk` is listed twice, first at line 16", "Rename"],
    },
    Case {
        name: "unknown key",
        original: "rack = r1",
        replacement: "rak = r1",
        expect: &["unknown key `rak`", "Did you mean `rack`"],
    },
    Case {
        name: "far key",
        original: "rack = r1",
        replacement: "rack = r1\ncolour_of_door = red",
        expect: &["unknown key `colour_of_door`", "A host takes:"],
    },
    Case {
        name: "unit left out",
        original: "memory_mb = 60000\n\n[host w2]",
        replacement: "memory = 60000\n\n[host w2]",
        expect: &["unknown key `memory`", "`memory_mb`"],
    },
    Case {
        name: "wrong unit",
        original: "memory_mb = 8000",
        replacement: "memory_mb = 8GB",
        expect: &["`memory_mb = 8GB` can't be read", "whole number"],
    },
    Case {
        name: "out of range",
        original: "memory_mb = 8000",
        replacement: "memory_mb = 0",
        expect: &["`memory_mb = 0`", "from 1 to"],
    },
    Case {
        name: "negative cores",
        original: "cores = 4\n",
        replacement: "cores = -4\n",
        expect: &["`cores = -4`", "0.001 to 4096"],
    },
    Case {
        name: "key twice",
        original: "rack = r1",
        replacement: "rack = r1\nrack = r9",
        expect: &["`rack` is given twice, first at line 6"],
    },
    Case {
        name: "key missing",
        original: "rack = r1\n",
        replacement: "",
        expect: &["host `w1` lacks `rack`", "Add a line"],
    },
    Case {
        name: "key above",
        original: "[failure-domain espoo]",
        replacement: "cores = 1\n[failure-domain espoo]",
        expect: &["is outside any known section"],
    },
    Case {
        name: "no keys taken",
        original: "[team desk]",
        replacement: "[team desk]\nsize = 4",
        expect: &["A team takes no keys"],
    },
    Case {
        name: "unknown domain",
        original: "failure_domain = espoo",
        replacement: "failure_domain = espo",
        expect: &[
            "failure-domain `espo`, which is not listed",
            "Did you mean `espoo`",
        ],
    },
    Case {
        name: "unknown service",
        original: "service = booking",
        replacement: "service = massage",
        expect: &["service `massage`, which is not listed", "Add a section"],
    },
    Case {
        name: "unknown host",
        original: "host = w1",
        replacement: "host = w7",
        expect: &["host `w7`, which is not listed"],
    },
    Case {
        name: "unknown team",
        original: "[team desk]",
        replacement: "[team front]",
        expect: &["names team `desk`, which is not listed"],
    },
    Case {
        name: "rule without kind",
        original: "",
        replacement: "[rule x]\njob = roster\n",
        expect: &["rule `x` lacks `kind`"],
    },
    Case {
        name: "rule of no kind",
        original: "",
        replacement: "[rule x]\nkind = sometimes\n",
        expect: &["`kind = sometimes`", "may-share"],
    },
    Case {
        name: "rule lacks key",
        original: "",
        replacement: "[rule x]\nkind = never-share\njob = roster\n",
        expect: &["rule `x` of kind `never-share` lacks `service`"],
    },
    Case {
        name: "rule has surplus key",
        original: "",
        replacement: "[rule x]\nkind = urgent\njob = roster\nteam = desk\n",
        expect: &["takes no `team`"],
    },
    Case {
        name: "rule names nothing",
        original: "",
        replacement: "[rule x]\nkind = never-twice\njob = rooster\n",
        expect: &[
            "job `rooster`, which is not listed",
            "Did you mean `roster`",
        ],
    },
    Case {
        name: "rules contradict",
        original: "",
        replacement: "[rule x]\nkind = may-share\nservice = booking\njob = roster\n[rule y]\nkind = never-share\nservice = booking\njob = roster\n",
        expect: &["rule `y` contradicts rule `x`", "Remove one"],
    },
    Case {
        name: "quota twice",
        original: "",
        replacement: "[rule x]\nkind = quota\nteam = desk\ncores = 9\nmemory_mb = 20000\n[rule y]\nkind = quota\nteam = desk\ncores = 9\nmemory_mb = 20000\n",
        expect: &["rules `x` and `y` both set the quota"],
    },
    Case {
        name: "spread impossible",
        original: "",
        replacement: "[rule x]\nkind = spread\nservice = booking\n",
        expect: &["over 2 failure domains, but its upstreams are in 1"],
    },
    Case {
        name: "job too large",
        original: "cores = 8",
        replacement: "cores = 64",
        expect: &[
            "job `roster` could never run",
            "no listed host has that much room",
        ],
    },
    Case {
        name: "job over quota",
        original: "",
        replacement: "[rule x]\nkind = quota\nteam = desk\ncores = 2\nmemory_mb = 20000\n",
        expect: &["could never run", "more than the quota of team `desk`"],
    },
    Case {
        name: "job barred everywhere",
        original: "host = w1",
        replacement: "host = w1\n[upstream b2]\nservice = booking\nhost = w2\n[rule x]\nkind = never-share\nservice = booking\njob = roster",
        expect: &["could never run", "rules bar it"],
    },
    Case {
        name: "host over-reserved",
        original: "cores = 4\n",
        replacement: "cores = 17\n",
        expect: &["the services on host `w1` need more than the host has"],
    },
    Case {
        name: "rack in two domains",
        original: "rack = r2",
        replacement: "rack = r1",
        expect: &["rack `r1` is listed in two failure domains"],
    },
    Case {
        name: "not INI",
        original: "[team desk]",
        replacement: "[team desk",
        expect: &["the heading `[team desk` is not closed", "End it with"],
    },
    Case {
        name: "no equals sign",
        original: "rack = r1",
        replacement: "rack r1",
        expect: &["`rack r1` is neither a heading nor a key"],
    },
];

fn add_fault(case: &Case) -> String {
    if case.original.is_empty() {
        return format!("{VALID}{}", case.replacement);
    }
    assert!(
        VALID.contains(case.original),
        "case `{}` does not apply to the inventory",
        case.name
    );
    VALID.replacen(case.original, case.replacement, 1)
}

#[gtest]
fn each_fault_gets_its_own_message() {
    for case in CASES {
        let text = add_fault(case);
        let faults = load("first.ini", &text).expect_err(case.name).to_string();
        for part in case.expect {
            expect_that!(faults, contains_substring(*part), "case `{}`", case.name);
        }
        let first = faults.lines().next().unwrap_or_default();
        let line = first
            .split(':')
            .nth(1)
            .and_then(|line| line.parse::<usize>().ok());
        let lines = text.lines().count();
        expect_that!(
            line,
            some(all!(ge(1), le(lines + 1))),
            "case `{}`: {}",
            case.name,
            first
        );
    }
}

#[gtest]
fn all_faults_are_shown_at_once() {
    let text = VALID
        .replace("rack = r1", "rak = r1")
        .replace("memory_mb = 8000", "memory_mb = 8GB");
    let faults = load("first.ini", &text).expect_err("two faults");
    expect_that!(faults.list().len(), ge(3));
}

#[gtest]
fn valid_inventories_load() {
    for text in [VALID, SPA] {
        expect_that!(load("valid.ini", text), ok(anything()));
    }
}

#[gtest]
fn dangerous_changes_are_explained() {
    struct Danger {
        original: &'static str,
        replacement: &'static str,
        expect: &'static [&'static str],
    }
    let cases = [
        Danger {
            original: "[host w2]\nfailure_domain = vantaa\nrack = r2\ncores = 16\nmemory_mb = 60000\n",
            replacement: "",
            expect: &["host `w2` is removed"],
        },
        Danger {
            original: "[upstream b1]\nservice = booking\nhost = w1\n",
            replacement: "",
            expect: &["upstream `b1` is removed"],
        },
        Danger {
            original: "[team desk]",
            replacement: "[team desk]\n[rule q]\nkind = quota\nteam = desk\ncores = 9\nmemory_mb = 20000",
            expect: &["quota of team `desk` is lowered"],
        },
        Danger {
            original: "cores = 8",
            replacement: "cores = 7",
            expect: &[],
        },
    ];
    let old = load("old.ini", VALID).expect("valid");
    for case in cases {
        let new = load(
            "new.ini",
            &VALID.replacen(case.original, case.replacement, 1),
        )
        .expect("valid");
        let found = dangers(&old, &new);
        expect_that!(found.len(), eq(case.expect.len()));
        for part in case.expect {
            expect_that!(found.join("\n"), contains_substring(*part));
        }
    }
}

#[gtest]
fn changes_contain_only_differing_sections() {
    let (old, _) = load_sections("old.ini", SPA).expect("valid");
    let (new, _) =
        load_sections("new.ini", &SPA.replacen("cores = 32", "cores = 31", 1)).expect("valid");
    let changes = compare(&old, &new);
    expect_that!(changes.len(), eq(1));
    expect_that!(&*changes[0].name, eq("w1"));
}
