//! Rejects settings that no deployment can mean, such as negative ladder. `Settings::validate` of the decision module
//! makes further checks.

use crate::{Parsed, SocketSettings, required};
use pepperhook::{Idempotency, Settings, Time};
use serde_json::Value;
use std::collections::BTreeSet;

/// Largest number of racks and of cells: a record of the change log has a cell number of two bytes.
const MAX_CELLS: u32 = 1 << 16;
/// Longest time, in nanoseconds: some thirty years, at which its sum with the time of day does not overflow.
const MAX_TIME_NS: Time = 1_000_000_000_000_000_000;

/// Checks the settings of a front with network connections: `decisions` and `sockets`, both parsed from `v`.
///
/// # Errors
/// Names the first key that is empty, has a duplicate element, is out of range or contradicts another key.
pub fn check_bounds(v: &Value, decisions: &Settings, sockets: &SocketSettings) -> Parsed<()> {
    let (specifics, limits, rules) =
        (required(v, "specifics")?, required(v, "limits")?, required(v, "rules")?);
    let is_positive = |x: f64| x.is_finite() && x > 0.0;
    let is_share = |x: f64| (0.0..=1.0).contains(&x);
    let is_time = |t: Time| (1..=MAX_TIME_NS).contains(&t);
    let all_whole = |key: &str| {
        let elements = specifics.get(key).and_then(Value::as_array).into_iter().flatten();
        elements.filter_map(Value::as_f64).all(|x| x >= 0.0 && x.fract() == 0.0)
    };
    let not_negative =
        |object: &Value, key: &str| object.get(key).and_then(Value::as_f64).is_none_or(|x| x >= 0.0);
    let prices = v.get("prices").unwrap_or(&Value::Null);
    let (ladder, kind_slots) = (&decisions.ladder, &decisions.kind_max_streams);
    let checks = [
        (!decisions.classes.is_empty(), "'classes' is empty; at least one class is needed"),
        (
            sockets.class_names.iter().all(|n| is_field_value(n)),
            "the 'name' of a class is empty, starts or ends with white space, or has a control character",
        ),
        (all_distinct(&sockets.class_names), "'classes' has two classes of the same name"),
        (sockets.deadlines.iter().all(|t| is_time(*t)), "'deadline_ns' of a class is not from 1 to 10^18"),
        (
            decisions.classes.iter().all(|c| is_time(c.set_up_target)),
            "'aim_ns' of a class is not from 1 to 10^18",
        ),
        (decisions.classes.iter().all(|c| is_positive(c.value)), "'value' of a class is not greater than 0"),
        (
            decisions
                .classes
                .iter()
                .all(|c| !matches!(c.idempotency, Idempotency::Deduplicated(_, t) if t > MAX_TIME_NS)),
            "'window_ns' of a class is greater than 10^18",
        ),
        (
            decisions.classes.iter().all(|c| is_positive(c.rate_scale)),
            "'scale_by_class' has an element that is not greater than 0",
        ),
        (all_whole("lowest_rung"), "'lowest_rung' has an element that is negative or not whole"),
        (all_whole("highest_rung"), "'highest_rung' has an element that is negative or not whole"),
        (all_whole("seats"), "'seats' has an element that is negative or not whole"),
        (!ladder.is_empty() && ladder.len() < 256, "'rung_kb' does not have from 1 to 255 elements"),
        (ladder.iter().all(|r| is_positive(r.kb)), "'rung_kb' has an element that is not greater than 0"),
        (ladder.windows(2).all(|w| w[0].kb < w[1].kb), "'rung_kb' is not in strictly ascending order"),
        (ladder.iter().all(|r| r.worth >= 0.0), "'ladder_worth' has a negative element"),
        (
            decisions.classes.iter().all(|c| usize::from(c.lowest_rung) < ladder.len()),
            "'lowest_rung' has an element that is not an index of 'rung_kb'",
        ),
        (
            decisions.classes.iter().all(|c| c.lowest_rung <= c.highest_rung),
            "'highest_rung' of a class is below its 'lowest_rung'",
        ),
        (all_distinct(&sockets.zone_names), "'zones' has a duplicate name"),
        (usize::from(decisions.zone.0) < sockets.zone_names.len().max(1), "'az' is not an index of 'zones'"),
        (all_distinct(&sockets.kind_names), "'flavors' has a duplicate name"),
        (
            !kind_slots.is_empty() && kind_slots.len() >= sockets.kind_names.len(),
            "'kind_slots' is empty or has fewer elements than 'flavors'",
        ),
        (
            kind_slots.iter().all(|s| is_positive(*s)),
            "'kind_slots' has an element that is not greater than 0",
        ),
        (all_distinct(&sockets.report_fields), "'fields' has a duplicate name"),
        (decisions.fronts > 0, "'n_instances' is 0; at least 1 is needed"),
        (decisions.max_attempts > 0, "'max_attempts' is 0; at least 1 is needed"),
        ((1..=MAX_CELLS).contains(&decisions.racks), "'groups' is not from 1 to 65536"),
        ((1..=MAX_CELLS).contains(&decisions.cells), "'positions' is not from 1 to 65536"),
        (is_time(sockets.dial_timeout), "'dial_timeout_ns' is not from 1 to 10^18"),
        (sockets.idle_timeout <= MAX_TIME_NS, "'conn_idle_ns' is greater than 10^18"),
        (not_negative(limits, "max_retry_after_ns"), "'max_retry_after_ns' is negative"),
        (is_positive(decisions.uplink_kb), "'uplink_kb' is not greater than 0"),
        (decisions.kb_per_weight >= 0.0, "'kb_per_weight' is negative"),
        (decisions.all_links_kb >= 0.0, "'all_links_kb' is negative"),
        (
            is_positive(decisions.all_links_kb) || is_positive(decisions.kb_per_weight),
            "'all_links_kb' and 'kb_per_weight' are both 0; one must be greater",
        ),
        (is_share(decisions.shared_stream_share), "'join' is not between 0 and 1"),
        (decisions.link_refusal_threshold >= 0.0, "'refuses_from' is negative"),
        (not_negative(specifics, "seen_after_ns"), "'seen_after_ns' is negative"),
        (decisions.notification_delay <= MAX_TIME_NS, "'seen_after_ns' is greater than 10^18"),
        (decisions.switch_cost_s >= 0.0, "'switch_cost_s' is negative"),
        (decisions.over_share_worth >= 0.0, "'over_share_worth' is negative"),
        (decisions.tenants.iter().all(|t| t.quota_per_s >= 0.0), "'quota_per_s' is negative"),
        (prices.is_null() || prices.is_object(), "'prices' is not an object"),
        (decisions.prices.session_move >= 0.0, "'moves' of 'prices' is negative"),
        (decisions.prices.cross_zone >= 0.0, "'cross_zone' of 'prices' is negative"),
        (decisions.prices.probe >= 0.0, "'probe' of 'prices' is negative"),
        (decisions.prices.handshake >= 0.0, "'handshake' of 'prices' is negative"),
        (is_share(decisions.rules.cold_share), "'start_capacity' is not between 0 and 1"),
        (decisions.rules.warm_up <= MAX_TIME_NS, "'cold_ns' is greater than 10^18"),
        (is_positive(decisions.rules.overload_multiple), "'fall_multiple' is not greater than 0"),
        (decisions.rules.overload_window <= MAX_TIME_NS, "'fall_ns' is greater than 10^18"),
        // A retry budget without a time window would limit nothing.
        (
            decisions
                .rules
                .retry_budget
                .is_none_or(|b| is_time(b.window) && not_negative(rules, "look_back_ns")),
            "'look_back_ns' is missing or not from 1 to 10^18; 'extra_per_request' requires it",
        ),
        (
            decisions.rules.retry_budget.is_none_or(|b| b.retry_ratio >= 0.0),
            "'extra_per_request' is negative",
        ),
        (decisions.rules.retry_budget.is_none_or(|b| b.min_retries >= 0.0), "'min_extra' is negative"),
    ];
    match checks.iter().find(|(ok, _)| !ok) {
        Some((_, problem)) => Err(format!("settings: {problem}")),
        None => Ok(()),
    }
}

/// Returns whether a name survives being written to a header field of a message and parsed from it.
fn is_field_value(name: &str) -> bool {
    !name.is_empty() && name.trim() == name && !name.chars().any(char::is_control)
}

fn all_distinct(names: &[String]) -> bool {
    names.iter().collect::<BTreeSet<_>>().len() == names.len()
}
