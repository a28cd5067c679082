//! Settings of a daemon: each fault is reported, and the page of settings is complete.

use goldcrestway_daemon::SCHEMA;
use goldcrestway_daemon::load_settings;
use googletest::prelude::*;

const VALID: &str = include_str!("../examples/spa/e1.ini");

struct Case {
    original: &'static str,
    replacement: &'static str,
    expect: &'static str,
}

const CASES: &[Case] = &[
    Case {
        original: "number = 2",
        replacement: "number = 65536",
        expect: "can't be read. Use a whole number from",
    },
    Case {
        original: "number = 2",
        replacement: "number = -1",
        expect: "`number = -1` can't be read. Write a whole number",
    },
    Case {
        original: "[seat e1]",
        replacement: "[limits]\nvoters = 18446744073709551616\n[seat e1]",
        expect: "`voters = 18446744073709551616` can't be read",
    },
    Case {
        original: "[seat e1]",
        replacement: "[limits]\nkey_cells = 65536\n[seat e1]",
        expect: "`key_cells = 65536` can't be read",
    },
    Case {
        original: "[seat e1]",
        replacement: "[limits]\nretry_permille = 4294967296\n[seat e1]",
        expect: "`retry_permille = 4294967296` can't be read",
    },
    Case {
        original: "[seat e1]",
        replacement: "[limits]\nwaiting_per_slot = 4294967296\n[seat e1]",
        expect: "`waiting_per_slot = 4294967296` can't be read",
    },
    Case {
        original: "127.0.0.1:8080",
        replacement: "127.0.0.1:65536",
        expect: "is not an IP address and port",
    },
    Case {
        original: "[daemon]",
        replacement: "[deamon]",
        expect: "unknown kind of section `deamon`",
    },
    Case {
        original: "[daemon]",
        replacement: "[daemon x]",
        expect: "there is only one",
    },
    Case {
        original: "cluster = spa\n",
        replacement: "",
        expect: "lacks `cluster`",
    },
    Case {
        original: "seat = e1",
        replacement: "seat = e9",
        expect: "`seat = e9` names no seat",
    },
    Case {
        original: "number = 2",
        replacement: "number = 1",
        expect: "share a number",
    },
    Case {
        original: "127.0.0.1:8080",
        replacement: "localhost:8080",
        expect: "is not an IP address and port",
    },
    Case {
        original: "http://127.0.0.1:7000",
        replacement: "127.0.0.1:7000",
        expect: "is not a URL of the platform",
    },
    Case {
        original: "[seat e1]",
        replacement: "[limits]\nlease_ms = 300\n[seat e1]",
        expect: "at least twice `heartbeat_ms`",
    },
    Case {
        original: "[seat e1]",
        replacement: "[limits]\nlease = 500\n[seat e1]",
        expect: "Did you mean `lease_ms`",
    },
    Case {
        original: "[daemon]",
        replacement: "[limits]",
        expect: "no `[daemon]` section",
    },
];

#[gtest]
fn each_fault_in_settings_gets_its_own_message() {
    for case in CASES {
        let text = VALID.replacen(case.original, case.replacement, 1);
        let faults = load_settings("e1.ini", &text)
            .expect_err(case.expect)
            .to_string();
        expect_that!(faults, contains_substring(case.expect));
    }
}

#[gtest]
fn the_example_is_valid() {
    let settings = load_settings("e1.ini", VALID).expect("valid");
    expect_that!(settings.seats.len(), eq(3));
    expect_that!(&*settings.own().name, eq("e1"));
}

/// Guards against a page of settings that lacks a key or gives another default than the daemon.
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

/// Guards against voters that lose their majority with one failure domain, which happens if
/// the seats of one domain have the lowest numbers and voters are chosen in that order.
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
    let settings = load_settings("seats.ini", &text).expect("valid");
    let order: Vec<u16> = settings.seats_by_vote().iter().map(|seat| seat.0).collect();
    expect_that!(order, eq(&vec![0, 3, 5, 1, 4, 6, 2]));
}
