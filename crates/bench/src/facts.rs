//! Single figures of the capacity page, each with its arithmetic.

use crate::capacity::ALLOWED_BYTES;
use crate::capacity::BASE64;
use crate::capacity::DAY_S;
use crate::capacity::LOG_APPENDS;
use crate::capacity::PLAN;
use crate::capacity::Slopes;
use crate::capacity::number;
use crate::capacity::start_record_bytes;
use crate::edges::PACKET_BYTES;
use std::collections::BTreeMap;

/// Single figures with their arithmetic.
pub(crate) fn facts(slopes: &Slopes) -> BTreeMap<&'static str, String> {
    let records = PLAN.starts_per_s * 3.0;
    let share = records / LOG_APPENDS;
    let bytes = start_record_bytes(slopes);
    let cells = LOG_APPENDS / 2.0;
    let domain_tasks = PLAN.tasks / 20.0;
    let config = slopes.slope("config_bytes") * PLAN.workers;
    let per_thousand = |name: &str| slopes.last(name) * 1_000.0;
    BTreeMap::from([
        ("records_per_s", number(records)),
        ("records_per_append", number(share)),
        (
            "log_bytes_per_s",
            number(PLAN.starts_per_s * bytes * BASE64),
        ),
        ("start_bytes", number(bytes)),
        ("batch_bytes", number(share * bytes / 3.0)),
        ("cell_wait_ms", number(1_000.0 * cells / LOG_APPENDS / 2.0)),
        ("cells", number(cells)),
        (
            "one_reader_bytes",
            number(PLAN.starts_per_s * bytes * BASE64 / cells),
        ),
        ("decision_us", number(slopes.last("start_decision_us"))),
        ("first_fit_us", number(slopes.last("start_first_fit_us"))),
        ("takeover_s", number(slopes.last("takeover_ms") / 1_000.0)),
        ("takeover_appends", number(slopes.last("takeover_appends"))),
        (
            "takeover_3s",
            number(slopes.at("takeover_by_lease_ms", 3_000.0) / 1_000.0),
        ),
        ("domain_s", number(slopes.last("domain_loss_ms") / 1_000.0)),
        ("domain_appends", number(slopes.last("domain_loss_appends"))),
        ("domain_tasks", number(domain_tasks)),
        ("domain_place_s", number(domain_tasks / PLAN.starts_per_s)),
        ("config_mb", number(config / 1e6)),
        ("config_load_s", number(config * BASE64 / ALLOWED_BYTES)),
        (
            "config_load_ms",
            number(slopes.last("config_load_us") / 1_000.0),
        ),
        ("change_ms", number(slopes.last("change_us") / 1_000.0)),
        (
            "change_cpu",
            number(slopes.last("change_us") * PLAN.changes_per_day / DAY_S / 1e4),
        ),
        ("change_bytes", number(slopes.last("change_bytes"))),
        ("voter_300", number(slopes.last("voter_bytes"))),
        (
            "voter_factor",
            number(slopes.last("voter_bytes") / ALLOWED_BYTES),
        ),
        ("member_bytes", number(slopes.last("member_bytes"))),
        (
            "call_bytes",
            number(slopes.at("worker_call_bytes", PLAN.tasks / PLAN.workers)),
        ),
        (
            "change_call_bytes",
            number(slopes.at("worker_change_bytes", 0.2)),
        ),
        ("request_messages", number(slopes.last("request_messages"))),
        (
            "request_kb",
            number(per_thousand("request_bytes") / 1_000.0 * 2.0),
        ),
        (
            "request_cpu_percent",
            number(per_thousand("request_cpu") / 1e4),
        ),
        (
            "identity_mb",
            number(slopes.last("identity_bytes") * 1_000.0 * 600.0 / 1e6),
        ),
        (
            "identity_records_kb",
            number(
                (slopes.last("record_intent_bytes") + slopes.last("record_intent_ended_bytes"))
                    * BASE64,
            ),
        ),
        (
            "task_message_bytes",
            number(slopes.last("task_message_bytes")),
        ),
        (
            "packet_percent",
            number(6.0 * PACKET_BYTES * 100.0 / slopes.last("task_message_bytes").max(1.0)),
        ),
    ])
}
