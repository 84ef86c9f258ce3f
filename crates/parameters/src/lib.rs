//! Parses the JSON settings object that both the simulator's first message and the platform's configuration contain.
//! Unknown keys are ignored. An error names the key that is missing or has a value of the wrong type.

mod bounds;
mod json;

pub use bounds::check_bounds;
pub use json::parse_json;

use pepperhook::{
    Class, DedupScope, Gauge, Idempotency, Prices, RetryBudget, Rules, Rung, Settings, Tenant, Time, ZoneId,
};
use serde_json::Value;

/// The parsed value, or a message that names the faulty key.
pub type Parsed<T> = Result<T, String>;

fn required<'a>(v: &'a Value, key: &str) -> Parsed<&'a Value> {
    v.get(key).ok_or_else(|| format!("settings lack '{key}'"))
}

/// The error for a value of the wrong type; a long value is cut after 80 characters.
fn wrong_type(key: &str, value: &Value, expected: &str) -> String {
    format!("settings: '{key}' must be {expected}, but is {:.80}", value.to_string())
}

fn number(v: &Value, key: &str) -> Parsed<f64> {
    let value = required(v, key)?;
    value.as_f64().ok_or_else(|| wrong_type(key, value, "a number"))
}

fn whole_number(v: &Value, key: &str) -> Parsed<u64> {
    let value = required(v, key)?;
    value.as_u64().ok_or_else(|| wrong_type(key, value, "a whole number that is not negative"))
}

fn bounded_integer<T: TryFrom<u64>>(v: &Value, key: &str) -> Parsed<T> {
    let value = whole_number(v, key)?;
    let bits = 8 * size_of::<T>();
    T::try_from(value).map_err(|_| format!("settings: '{key}' is {value}, which does not fit in {bits} bits"))
}

fn text<'a>(v: &'a Value, key: &str) -> Parsed<&'a str> {
    let value = required(v, key)?;
    value.as_str().ok_or_else(|| wrong_type(key, value, "a string"))
}

fn list<'a>(v: &'a Value, key: &str) -> Parsed<&'a Vec<Value>> {
    let value = required(v, key)?;
    value.as_array().ok_or_else(|| wrong_type(key, value, "a list"))
}

fn numbers(v: &Value, key: &str) -> Parsed<Vec<f64>> {
    let parse_element = |x: &Value| {
        x.as_f64().ok_or_else(|| {
            format!("settings: '{key}' contains {:.80}; every element must be a number", x.to_string())
        })
    };
    list(v, key)?.iter().map(parse_element).collect()
}

/// Reads a value that may be absent or null. A value of another type than `expected` is an error.
fn optional<'a, T>(
    v: &'a Value,
    key: &str,
    read: impl Fn(&'a Value) -> Option<T>,
    expected: &str,
) -> Parsed<Option<T>> {
    let present = v.get(key).filter(|v| !v.is_null());
    present.map(|value| read(value).ok_or_else(|| wrong_type(key, value, expected))).transpose()
}

fn bool_or_false(v: &Value, key: &str) -> Parsed<bool> {
    Ok(optional(v, key, Value::as_bool, "true or false")?.unwrap_or(false))
}

fn number_or(v: &Value, key: &str, default: f64) -> Parsed<f64> {
    Ok(optional(v, key, Value::as_f64, "a number")?.unwrap_or(default))
}

fn optional_list<'a>(v: &'a Value, key: &str) -> Parsed<&'a [Value]> {
    Ok(optional(v, key, Value::as_array, "a list")?.map_or(&[], Vec::as_slice))
}

/// Parses the class at `index`. `specifics` has one list per property, with one element per class.
fn class(c: &Value, index: usize, specifics: &Value) -> Parsed<Class> {
    let element = |key: &str| {
        let value = list(specifics, key)?.get(index).and_then(Value::as_f64);
        value.ok_or_else(|| format!("settings: '{key}' has no number for the class at index {index}"))
    };
    let rung = |key: &str| {
        let x = element(key)?;
        if (0.0..256.0).contains(&x) {
            Ok(x as u8)
        } else {
            Err(format!("settings: '{key}' is {x} for the class at index {index}; it must be from 0 to 255"))
        }
    };
    let dedup_scope = || match optional(c, "group", Value::as_str, "a string")? {
        Some("zone") => Ok(DedupScope::Zone),
        Some("cell") => Ok(DedupScope::Cell),
        Some("all") | None => Ok(DedupScope::All),
        Some(other) => Err(format!("settings: unknown 'group' '{other}', expected 'zone', 'cell' or 'all'")),
    };
    let idempotency = match text(c, "idempotency")? {
        "idempotent" => Idempotency::Idempotent,
        "deduplicated" => Idempotency::Deduplicated(dedup_scope()?, whole_number(c, "window_ns")?),
        "at_most_once" => Idempotency::AtMostOnce,
        other => {
            return Err(format!(
                "settings: unknown 'idempotency' '{other}', expected 'idempotent', 'deduplicated' or 'at_most_once'"
            ));
        }
    };
    let live = optional_list(specifics, "is_live")?.get(index);
    let live = live
        .map(|l| {
            l.as_bool().ok_or_else(|| {
                format!(
                    "settings: 'is_live' contains {:.80}; every element must be true or false",
                    l.to_string()
                )
            })
        })
        .transpose()?;
    // Without seats no class has a limit. If any class has seats, each class needs a value.
    let seats = if optional_list(specifics, "seats")?.is_empty() { 0.0 } else { element("seats")? };
    Ok(Class {
        set_up_target: whole_number(c, "aim_ns")?,
        idempotency,
        value: number(c, "value")?,
        rate_scale: element("scale_by_class")?,
        lowest_rung: rung("lowest_rung")?,
        highest_rung: rung("highest_rung")?,
        max_sessions_per_title: seats.max(0.0) as u32,
        live: live.unwrap_or(false),
    })
}

/// The gauge that a value of a load report measures, by its name in the settings.
fn gauge(name: &Value) -> Gauge {
    match name.as_str() {
        Some("active") => Gauge::Streams,
        Some("cpu") => Gauge::LinkCapped,
        Some("x0") => Gauge::Link,
        Some("x1") => Gauge::Uplink,
        _ => Gauge::Other,
    }
}

/// Parses the settings of the decision module from JSON text.
///
/// # Errors
/// Names the key that is missing or invalid.
pub fn parse_decision_settings(raw: &[u8]) -> Parsed<Settings> {
    decision_settings(&serde_json::from_slice(raw).map_err(|e| format!("settings are not JSON: {e}"))?)
}

/// Reads the settings of the decision module.
///
/// # Errors
/// Names the key that is missing or invalid.
pub fn decision_settings(v: &Value) -> Parsed<Settings> {
    let (specifics, limits, rules) =
        (required(v, "specifics")?, required(v, "limits")?, required(v, "rules")?);
    let (rates, worths) = (numbers(specifics, "rung_kb")?, numbers(specifics, "ladder_worth")?);
    if rates.len() != worths.len() {
        return Err(format!(
            "settings: 'rung_kb' and 'ladder_worth' differ in length: {} and {} elements",
            rates.len(),
            worths.len()
        ));
    }
    let classes = list(v, "classes")?;
    let tenants = optional_list(v, "tenants")?;
    let gauges = v.get("load_report").and_then(|r| r.get("fields")).and_then(Value::as_array);
    let price = |key: &str| v.get("prices").map_or(Ok(0.0), |p| number_or(p, key, 0.0));
    let retry_ratio = optional(rules, "extra_per_request", Value::as_f64, "a number")?;
    let retry_budget = retry_ratio.map(|retry_ratio| {
        let (min_retries, window) =
            (number_or(rules, "min_extra", 0.0)?, number_or(rules, "look_back_ns", 0.0)? as u64);
        Parsed::Ok(RetryBudget { min_retries, retry_ratio, window })
    });
    Ok(Settings {
        fronts: bounded_integer(v, "n_instances")?,
        zone: ZoneId(bounded_integer(v, "az")?),
        classes: classes
            .iter()
            .enumerate()
            .map(|(index, c)| class(c, index, specifics))
            .collect::<Parsed<_>>()?,
        tenants: tenants
            .iter()
            .map(|t| Ok(Tenant { quota_per_s: number_or(t, "quota_per_s", 0.0)? }))
            .collect::<Parsed<_>>()?,
        over_share_worth: number_or(v, "over_share_worth", 1.0)?,
        ladder: rates.into_iter().zip(worths).map(|(kb, worth)| Rung { kb, worth }).collect(),
        kind_max_streams: numbers(specifics, "kind_slots")?,
        racks: bounded_integer(specifics, "groups")?,
        cells: bounded_integer(specifics, "positions")?,
        uplink_kb: number(specifics, "uplink_kb")?,
        kb_per_weight: number_or(specifics, "kb_per_weight", 0.0)?,
        all_links_kb: number_or(specifics, "all_links_kb", 0.0)?,
        shared_stream_share: number_or(specifics, "join", 1.0)?,
        link_refusal_threshold: number_or(specifics, "refuses_from", 0.0)?,
        notification_delay: number_or(specifics, "seen_after_ns", 0.0)? as u64,
        switch_cost_s: number_or(specifics, "switch_cost_s", 0.0)?,
        gauges: gauges.map_or_else(Vec::new, |g| g.iter().map(gauge).collect()),
        probes: bool_or_false(limits, "probes")?,
        send_retry_after: bool_or_false(limits, "retry_after")?,
        max_retry_after: number_or(limits, "max_retry_after_ns", 0.0)? as u64,
        max_attempts: bounded_integer(limits, "max_attempts")?,
        list_on_request: v.get("membership_mode").and_then(Value::as_str) == Some("ask"),
        min_event_interval: number_or(v, "step_ns", 0.0)? as u64,
        connection_idle_timeout: number_or(limits, "conn_idle_ns", 0.0)? as u64,
        prices: Prices {
            session_move: price("moves")?,
            cross_zone: price("cross_zone")?,
            probe: price("probe")?,
            handshake: price("handshake")?,
        },
        rules: Rules {
            cold_share: number(rules, "start_capacity")?,
            warm_up: whole_number(rules, "cold_ns")?,
            overload_multiple: number(rules, "fall_multiple")?,
            overload_window: whole_number(rules, "fall_ns")?,
            retry_budget: retry_budget.transpose()?,
        },
    })
}

/// Settings that a front with network connections needs in addition to those of the decision module.
#[derive(Clone, Debug)]
pub struct SocketSettings {
    /// Names of the classes; a class's index is its id.
    pub class_names: Vec<String>,
    /// Longest time that a viewer of each class waits for its answer, in nanoseconds, by class.
    pub deadlines: Vec<Time>,
    /// Names of the zones; a zone's index is its id.
    pub zone_names: Vec<String>,
    /// Names of the kinds of node; a kind's index is its id.
    pub kind_names: Vec<String>,
    /// Names of the tenants, by tenant; `None` for one without a name.
    pub tenant_names: Vec<Option<String>>,
    /// Names of the values in a load report, in the order in which the decision module takes them.
    pub report_fields: Vec<String>,
    /// Time within which a connection to a node must be established, in nanoseconds.
    pub dial_timeout: Time,
    /// Time after which nodes close idle connections, in nanoseconds.
    pub idle_timeout: Time,
    /// Number of set-ups that may be in progress on one connection to a node.
    pub max_set_ups_per_link: usize,
}

fn names(v: &Value, key: &str) -> Parsed<Vec<String>> {
    let parse_element = |x: &Value| {
        let name = x.as_str().map(str::to_owned);
        name.ok_or_else(|| {
            format!("settings: '{key}' contains {:.80}; every element must be a string", x.to_string())
        })
    };
    list(v, key)?.iter().map(parse_element).collect()
}

/// Reads the settings that a front with network connections needs in addition to those of the decision module.
///
/// # Errors
/// Names the key that is missing or invalid.
pub fn socket_settings(v: &Value) -> Parsed<SocketSettings> {
    let (classes, limits) = (list(v, "classes")?, required(v, "limits")?);
    // `load_report` and its `fields` may be absent or null if nodes send no load reports.
    let report = v.get("load_report").filter(|r| r.get("fields").is_some_and(|f| !f.is_null()));
    Ok(SocketSettings {
        class_names: classes.iter().map(|c| text(c, "name").map(str::to_owned)).collect::<Parsed<_>>()?,
        deadlines: classes.iter().map(|c| whole_number(c, "deadline_ns")).collect::<Parsed<_>>()?,
        zone_names: names(v, "zones")?,
        kind_names: names(v, "flavors")?,
        tenant_names: optional_list(v, "tenants")?
            .iter()
            .map(|t| Ok(optional(t, "name", Value::as_str, "a string")?.map(str::to_owned)))
            .collect::<Parsed<_>>()?,
        report_fields: report.map_or_else(|| Ok(Vec::new()), |r| names(r, "fields"))?,
        dial_timeout: whole_number(limits, "dial_timeout_ns")?,
        idle_timeout: whole_number(limits, "conn_idle_ns")?,
        max_set_ups_per_link: bounded_integer::<u32>(limits, "max_streams")?.max(1) as usize,
    })
}

#[cfg(test)]
mod tests;
