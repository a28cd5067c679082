//! Settings of a daemon: every key is checked.

use goldcrestway_daemon::SCHEMA;
use goldcrestway_daemon::load_settings;
use googletest::prelude::*;

const SOUND: &str = include_str!("../examples/spa/e1.ini");

struct Case {
    find: &'static str,
    put: &'static str,
    expect: &'static str,
}

const CASES: &[Case] = &[
    Case {
        find: "[daemon]",
        put: "[deamon]",
        expect: "unknown kind of section `deamon`",
    },
    Case {
        find: "[daemon]",
        put: "[daemon x]",
        expect: "there is only one",
    },
    Case {
        find: "cluster = spa\n",
        put: "",
        expect: "lacks `cluster`",
    },
    Case {
        find: "seat = e1",
        put: "seat = e9",
        expect: "`seat = e9` names no seat",
    },
    Case {
        find: "number = 2",
        put: "number = 1",
        expect: "share a number",
    },
    Case {
        find: "127.0.0.1:8080",
        put: "localhost:8080",
        expect: "is no address",
    },
    Case {
        find: "http://127.0.0.1:7000",
        put: "127.0.0.1:7000",
        expect: "is no URL",
    },
    Case {
        find: "[seat e1]",
        put: "[limits]\nlease_ms = 300\n[seat e1]",
        expect: "at least twice `heartbeat_ms`",
    },
    Case {
        find: "[seat e1]",
        put: "[limits]\nlease = 500\n[seat e1]",
        expect: "Did you mean `lease_ms`",
    },
    Case {
        find: "[daemon]",
        put: "[limits]",
        expect: "no `[daemon]` section",
    },
];

#[gtest]
fn each_fault_in_settings_gets_its_own_error() {
    for case in CASES {
        let text = SOUND.replacen(case.find, case.put, 1);
        let faults = load_settings("e1.ini", &text)
            .expect_err(case.expect)
            .to_string();
        expect_that!(faults, contains_substring(case.expect));
    }
}

#[gtest]
fn the_example_is_sound() {
    let settings = load_settings("e1.ini", SOUND).expect("sound");
    expect_that!(settings.seats.len(), eq(3));
    expect_that!(&*settings.own().name, eq("e1"));
}

/// Symptom: a page that names keys or defaults which the daemon does not have.
#[gtest]
fn the_page_lists_every_key_with_its_default() {
    let page = include_str!("../docs/user/settings.md");
    for section in SCHEMA {
        for field in section.fields {
            let default = field.default.unwrap_or("required");
            let row = format!("| `{}` | {default} |", field.key);
            expect_that!(page, contains_substring(row.as_str()));
        }
    }
}
