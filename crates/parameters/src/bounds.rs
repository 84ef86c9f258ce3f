//! Figures that no deployment can mean. What the pages leave open is let through; the module's own check comes after.

use crate::{Parsed, Sockets, need};
use pepperhook::{Idempotency, Settings, Time};
use serde_json::Value;
use std::collections::BTreeSet;

/// Racks and cells at most: a record of the change log numbers cells with two bytes.
const CELLS: u32 = 1 << 16;
/// Times at most, nanoseconds: some thirty years, so that no sum with the time of day overflows.
const LONGEST: Time = 1_000_000_000_000_000_000;

/// Checks what was read of the settings of a front end on sockets.
///
/// # Errors
/// Names the first key that is empty, given twice, out of range or at odds with another.
pub fn within_bounds(v: &Value, own: &Settings, sockets: &Sockets) -> Parsed<()> {
    let (specifics, limits, rules) = (need(v, "specifics")?, need(v, "limits")?, need(v, "rules")?);
    let positive = |x: f64| x.is_finite() && x > 0.0;
    let share = |x: f64| (0.0..=1.0).contains(&x);
    let time = |t: Time| (1..=LONGEST).contains(&t);
    let each_whole = |key: &str| {
        let each = specifics.get(key).and_then(Value::as_array).into_iter().flatten();
        each.filter_map(Value::as_f64).all(|x| x >= 0.0 && x.fract() == 0.0)
    };
    let not_negative = |of: &Value, key: &str| of.get(key).and_then(Value::as_f64).is_none_or(|x| x >= 0.0);
    let prices = v.get("prices").unwrap_or(&Value::Null);
    let (rates, kinds) = (&own.ladder, &own.kind_max_streams);
    let tests = [
        (!own.classes.is_empty(), "'classes' is empty"),
        (sockets.classes.iter().all(|n| is_label(n)), "a class's 'name' cannot stand in a message"),
        (once(&sockets.classes), "'classes' has a name twice"),
        (sockets.deadlines.iter().all(|t| time(*t)), "'deadline_ns' is out of range"),
        (own.classes.iter().all(|c| time(c.set_up_target)), "'aim_ns' is out of range"),
        (own.classes.iter().all(|c| positive(c.value)), "'value' is not positive"),
        (
            own.classes
                .iter()
                .all(|c| !matches!(c.idempotency, Idempotency::Deduplicated(_, t) if t > LONGEST)),
            "'window_ns' is out of range",
        ),
        (own.classes.iter().all(|c| positive(c.rate_scale)), "'scale_by_class' is not positive"),
        (each_whole("lowest_rung"), "'lowest_rung' holds no whole number"),
        (each_whole("highest_rung"), "'highest_rung' holds no whole number"),
        (each_whole("seats"), "'seats' holds no whole number"),
        (!rates.is_empty() && rates.len() < 256, "'rung_kb' has no rungs or too many"),
        (rates.iter().all(|r| positive(r.kb)), "'rung_kb' holds a rate that is not positive"),
        (rates.windows(2).all(|w| w[0].kb < w[1].kb), "'rung_kb' does not ascend"),
        (rates.iter().all(|r| r.worth >= 0.0), "'ladder_worth' holds a negative worth"),
        (
            own.classes.iter().all(|c| usize::from(c.lowest_rung) < rates.len()),
            "'lowest_rung' is beyond the ladder of 'rung_kb'",
        ),
        (
            own.classes.iter().all(|c| c.lowest_rung <= c.highest_rung),
            "'highest_rung' is below 'lowest_rung'",
        ),
        (once(&sockets.zones), "'zones' has a name twice"),
        (usize::from(own.zone.0) < sockets.zones.len().max(1), "'az' is beyond 'zones'"),
        (once(&sockets.kinds), "'flavors' has a name twice"),
        (!kinds.is_empty() && kinds.len() >= sockets.kinds.len(), "'kind_slots' is shorter than 'flavors'"),
        (kinds.iter().all(|s| positive(*s)), "'kind_slots' holds a figure that is not positive"),
        (once(&sockets.fields), "'fields' has a name twice"),
        (own.fronts > 0, "'n_instances' is 0"),
        (own.max_attempts > 0, "'max_attempts' is 0"),
        ((1..=CELLS).contains(&own.racks), "'groups' is out of range"),
        ((1..=CELLS).contains(&own.cells), "'positions' is out of range"),
        (time(sockets.dial), "'dial_timeout_ns' is out of range"),
        (sockets.idle <= LONGEST, "'conn_idle_ns' is out of range"),
        (not_negative(limits, "max_retry_after_ns"), "'max_retry_after_ns' is negative"),
        (positive(own.uplink_kb), "'uplink_kb' is not positive"),
        (own.kb_per_weight >= 0.0, "'kb_per_weight' is negative"),
        (own.all_links_kb >= 0.0, "'all_links_kb' is negative"),
        (
            positive(own.all_links_kb) || positive(own.kb_per_weight),
            "'all_links_kb' and 'kb_per_weight' are both 0",
        ),
        (share(own.shared_stream_share), "'join' is not between 0 and 1"),
        (own.link_refusal_threshold >= 0.0, "'refuses_from' is negative"),
        (not_negative(specifics, "seen_after_ns"), "'seen_after_ns' is negative"),
        (own.notification_delay <= LONGEST, "'seen_after_ns' is out of range"),
        (own.switch_cost_s >= 0.0, "'switch_cost_s' is negative"),
        (own.over_share_worth >= 0.0, "'over_share_worth' is negative"),
        (own.tenants.iter().all(|t| t.quota_per_s >= 0.0), "'quota_per_s' is negative"),
        (prices.is_null() || prices.is_object(), "'prices' is no object"),
        (own.prices.session_move >= 0.0, "'moves' of 'prices' is negative"),
        (own.prices.cross_zone >= 0.0, "'cross_zone' of 'prices' is negative"),
        (own.prices.probe >= 0.0, "'probe' of 'prices' is negative"),
        (own.prices.handshake >= 0.0, "'handshake' of 'prices' is negative"),
        (share(own.rules.cold_share), "'start_capacity' is not between 0 and 1"),
        (own.rules.warm_up <= LONGEST, "'cold_ns' is out of range"),
        (positive(own.rules.overload_multiple), "'fall_multiple' is not positive"),
        (own.rules.overload_window <= LONGEST, "'fall_ns' is out of range"),
        // A ration without a window would ration nothing.
        (
            own.rules.retry_budget.is_none_or(|b| time(b.window) && not_negative(rules, "look_back_ns")),
            "'look_back_ns' is missing or out of range beside 'extra_per_request'",
        ),
        (own.rules.retry_budget.is_none_or(|b| b.retry_ratio >= 0.0), "'extra_per_request' is negative"),
        (own.rules.retry_budget.is_none_or(|b| b.min_retries >= 0.0), "'min_extra' is negative"),
    ];
    match tests.iter().find(|(ok, _)| !ok) {
        Some((_, what)) => Err(format!("settings: {what}")),
        None => Ok(()),
    }
}

/// Whether a name is read from a message's field as it was written there.
fn is_label(name: &str) -> bool {
    !name.is_empty() && name.trim() == name && !name.chars().any(char::is_control)
}

fn once(names: &[String]) -> bool {
    names.iter().collect::<BTreeSet<_>>().len() == names.len()
}
