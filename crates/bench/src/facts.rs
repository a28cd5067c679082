//! Computes the individual figures in the text of the capacity page.

use crate::capacity::ALLOWED_BYTES_PER_S;
use crate::capacity::BASE64_FACTOR;
use crate::capacity::DAY_S;
use crate::capacity::LOG_APPENDS_PER_S;
use crate::capacity::PLANNED_SIZES;
use crate::capacity::Slopes;
use crate::capacity::format_number;
use crate::capacity::start_record_bytes;
use crate::edges::PACKET_BYTES;
use std::collections::BTreeMap;

/// Returns the figures by the names that the template uses.
pub(crate) fn facts(slopes: &Slopes) -> BTreeMap<&'static str, String> {
    let records = PLANNED_SIZES.starts_per_s * 3.0;
    let share = records / LOG_APPENDS_PER_S;
    let bytes = start_record_bytes(slopes);
    let cells = LOG_APPENDS_PER_S / 2.0;
    let domain_tasks = PLANNED_SIZES.tasks / 20.0;
    let config = slopes.slope("config_bytes") * PLANNED_SIZES.workers;
    let per_thousand = |name: &str| slopes.last(name) * 1_000.0;
    BTreeMap::from([
        ("records_per_s", format_number(records)),
        ("records_per_append", format_number(share)),
        (
            "log_bytes_per_s",
            format_number(PLANNED_SIZES.starts_per_s * bytes * BASE64_FACTOR),
        ),
        ("start_bytes", format_number(bytes)),
        ("batch_bytes", format_number(share * bytes / 3.0)),
        (
            "cell_wait_ms",
            format_number(1_000.0 * cells / LOG_APPENDS_PER_S / 2.0),
        ),
        ("cells", format_number(cells)),
        (
            "one_reader_bytes",
            format_number(PLANNED_SIZES.starts_per_s * bytes * BASE64_FACTOR / cells),
        ),
        (
            "decision_us",
            format_number(slopes.last("start_decision_us")),
        ),
        (
            "first_fit_us",
            format_number(slopes.last("start_first_fit_us")),
        ),
        (
            "takeover_s",
            format_number(slopes.last("takeover_ms") / 1_000.0),
        ),
        (
            "takeover_appends",
            format_number(slopes.last("takeover_appends")),
        ),
        (
            "takeover_3s",
            format_number(slopes.value_at("takeover_by_lease_ms", 3_000.0) / 1_000.0),
        ),
        (
            "domain_s",
            format_number(slopes.last("domain_loss_ms") / 1_000.0),
        ),
        (
            "domain_appends",
            format_number(slopes.last("domain_loss_appends")),
        ),
        ("domain_tasks", format_number(domain_tasks)),
        (
            "domain_place_s",
            format_number(domain_tasks / PLANNED_SIZES.starts_per_s),
        ),
        ("config_mb", format_number(config / 1e6)),
        (
            "config_load_s",
            format_number(config * BASE64_FACTOR / ALLOWED_BYTES_PER_S),
        ),
        (
            "config_load_ms",
            format_number(slopes.last("config_load_us") / 1_000.0),
        ),
        (
            "change_ms",
            format_number(slopes.last("change_us") / 1_000.0),
        ),
        (
            "change_cpu",
            format_number(slopes.last("change_us") * PLANNED_SIZES.changes_per_day / DAY_S / 1e4),
        ),
        ("change_bytes", format_number(slopes.last("change_bytes"))),
        ("voter_300", format_number(slopes.last("voter_bytes"))),
        (
            "voter_factor",
            format_number(slopes.last("voter_bytes") / ALLOWED_BYTES_PER_S),
        ),
        ("member_bytes", format_number(slopes.last("member_bytes"))),
        (
            "call_bytes",
            format_number(slopes.value_at(
                "worker_call_bytes",
                PLANNED_SIZES.tasks / PLANNED_SIZES.workers,
            )),
        ),
        (
            "change_call_bytes",
            format_number(slopes.value_at("worker_change_bytes", 0.2)),
        ),
        (
            "request_messages",
            format_number(slopes.last("request_messages")),
        ),
        (
            "request_kb",
            format_number(per_thousand("request_bytes") / 1_000.0 * 2.0),
        ),
        (
            "request_cpu_percent",
            format_number(per_thousand("request_cpu") / 1e4),
        ),
        (
            "identity_mb",
            format_number(slopes.last("identity_bytes") * 1_000.0 * 600.0 / 1e6),
        ),
        (
            "identity_records_kb",
            format_number(
                (slopes.last("record_intent_bytes") + slopes.last("record_intent_ended_bytes"))
                    * BASE64_FACTOR,
            ),
        ),
        (
            "task_message_bytes",
            format_number(slopes.last("task_message_bytes")),
        ),
        (
            "packet_percent",
            format_number(6.0 * PACKET_BYTES * 100.0 / slopes.last("task_message_bytes").max(1.0)),
        ),
    ])
}
