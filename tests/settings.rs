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

/// Symptom: losing one failure domain leaves no majority. Cause: the seats of one
/// domain have the lowest numbers, and voters were taken in that order.
#[gtest]
fn voters_are_spread_over_failure_domains() {
    let mut text = String::from(
        "[daemon]\ncluster = x\nseat = s0\nlog_url = http://a\nhost_list_url = http://b\n",
    );
    for (number, domain) in ["a", "a", "a", "b", "b", "c", "c"].iter().enumerate() {
        let address = format!("127.0.0.1:{}", 9_000 + number);
        text.push_str(&format!(
            "[seat s{number}]\nnumber = {number}\nfailure_domain = {domain}\n\
             caller_address = {address}\noperator_address = {address}\npeer_address = {address}\n"
        ));
    }
    let settings = load_settings("seats.ini", &text).expect("sound");
    let order: Vec<u16> = settings.seats_by_vote().iter().map(|seat| seat.0).collect();
    expect_that!(order, eq(&vec![0, 3, 5, 1, 4, 6, 2]));
}
