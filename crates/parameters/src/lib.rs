//! Reads the settings object that the simulator's first message and the platform's configuration hand over alike.
//! Keys it does not know are passed over; one that is missing, or of another form than the pages give it, is named.

mod bounds;
mod json;

pub use bounds::within_bounds;
pub use json::object;

use pepperhook::{
    Class, DedupScope, Gauge, Idempotency, Prices, RetryBudget, Rules, Rung, Settings, Tenant, Time, ZoneId,
};
use serde_json::Value;

/// The value, or what is wrong with the object.
pub type Parsed<T> = Result<T, String>;

fn need<'a>(v: &'a Value, key: &str) -> Parsed<&'a Value> {
    v.get(key).ok_or_else(|| format!("settings lack '{key}'"))
}

fn number(v: &Value, key: &str) -> Parsed<f64> {
    need(v, key)?.as_f64().ok_or_else(|| format!("settings: '{key}' is no number"))
}

fn whole(v: &Value, key: &str) -> Parsed<u64> {
    need(v, key)?.as_u64().ok_or_else(|| format!("settings: '{key}' is no whole number"))
}

fn small<T: TryFrom<u64>>(v: &Value, key: &str) -> Parsed<T> {
    T::try_from(whole(v, key)?).map_err(|_| format!("settings: '{key}' is out of range"))
}

fn text<'a>(v: &'a Value, key: &str) -> Parsed<&'a str> {
    need(v, key)?.as_str().ok_or_else(|| format!("settings: '{key}' is no text"))
}

fn list<'a>(v: &'a Value, key: &str) -> Parsed<&'a Vec<Value>> {
    need(v, key)?.as_array().ok_or_else(|| format!("settings: '{key}' is no list"))
}

fn numbers(v: &Value, key: &str) -> Parsed<Vec<f64>> {
    let one = |x: &Value| x.as_f64().ok_or_else(|| format!("settings: '{key}' holds no number"));
    list(v, key)?.iter().map(one).collect()
}

/// A value that may be absent; one of another form is no absent one.
fn optional<'a, T>(
    v: &'a Value,
    key: &str,
    read: impl Fn(&'a Value) -> Option<T>,
    form: &str,
) -> Parsed<Option<T>> {
    let given = v.get(key).filter(|v| !v.is_null());
    given.map(|v| read(v).ok_or_else(|| format!("settings: '{key}' is no {form}"))).transpose()
}

fn flag(v: &Value, key: &str) -> Parsed<bool> {
    Ok(optional(v, key, Value::as_bool, "true or false")?.unwrap_or(false))
}

fn or(v: &Value, key: &str, absent: f64) -> Parsed<f64> {
    Ok(optional(v, key, Value::as_f64, "number")?.unwrap_or(absent))
}

fn optional_list<'a>(v: &'a Value, key: &str) -> Parsed<&'a [Value]> {
    Ok(optional(v, key, Value::as_array, "list")?.map_or(&[], Vec::as_slice))
}

fn class(c: &Value, i: usize, specifics: &Value) -> Parsed<Class> {
    let at = |key: &str| {
        let found = list(specifics, key)?.get(i).and_then(Value::as_f64);
        found.ok_or_else(|| format!("settings: '{key}' has no figure for class {i}"))
    };
    let rung = |key: &str| {
        let x = at(key)?;
        if (0.0..256.0).contains(&x) {
            Ok(x as u8)
        } else {
            Err(format!("settings: '{key}' is out of range"))
        }
    };
    let group = || match optional(c, "group", Value::as_str, "text")? {
        Some("zone") => Ok(DedupScope::Zone),
        Some("cell") => Ok(DedupScope::Cell),
        Some("all") | None => Ok(DedupScope::All),
        Some(other) => Err(format!("settings: unknown 'group' '{other}'")),
    };
    let repeat = match text(c, "idempotency")? {
        "idempotent" => Idempotency::Idempotent,
        "deduplicated" => Idempotency::Deduplicated(group()?, whole(c, "window_ns")?),
        "at_most_once" => Idempotency::AtMostOnce,
        other => return Err(format!("settings: unknown 'idempotency' '{other}'")),
    };
    let live = optional_list(specifics, "is_live")?.get(i);
    let live = live.map(|l| l.as_bool().ok_or("settings: 'is_live' holds no true or false")).transpose()?;
    // Seats that are given for no class count for none; given for some, they were meant for each.
    let seats = if optional_list(specifics, "seats")?.is_empty() { 0.0 } else { at("seats")? };
    Ok(Class {
        set_up_target: whole(c, "aim_ns")?,
        idempotency: repeat,
        value: number(c, "value")?,
        rate_scale: at("scale_by_class")?,
        lowest_rung: rung("lowest_rung")?,
        highest_rung: rung("highest_rung")?,
        max_sessions_per_title: seats.max(0.0) as u32,
        live: live.unwrap_or(false),
    })
}

fn gauge(name: &Value) -> Gauge {
    match name.as_str() {
        Some("active") => Gauge::Streams,
        Some("cpu") => Gauge::LinkCapped,
        Some("x0") => Gauge::Link,
        Some("x1") => Gauge::Uplink,
        _ => Gauge::Other,
    }
}

/// Parses the settings of one instance from text.
///
/// # Errors
/// Names the key that is missing or wrong.
pub fn parse(raw: &[u8]) -> Parsed<Settings> {
    decisions(&serde_json::from_slice(raw).map_err(|e| format!("settings are not JSON: {e}"))?)
}

/// Reads what the decision module needs.
///
/// # Errors
/// Names the key that is missing or wrong.
pub fn decisions(v: &Value) -> Parsed<Settings> {
    let (specifics, limits, rules) = (need(v, "specifics")?, need(v, "limits")?, need(v, "rules")?);
    let (rates, worths) = (numbers(specifics, "rung_kb")?, numbers(specifics, "ladder_worth")?);
    if rates.len() != worths.len() {
        return Err("settings: 'rung_kb' and 'ladder_worth' differ in length".into());
    }
    let classes = list(v, "classes")?;
    let tenants = optional_list(v, "tenants")?;
    let gauges = v.get("load_report").and_then(|r| r.get("fields")).and_then(Value::as_array);
    let price = |key: &str| v.get("prices").map_or(Ok(0.0), |p| or(p, key, 0.0));
    let share = optional(rules, "extra_per_request", Value::as_f64, "number")?;
    let budget = share.map(|share| {
        let (free, window) = (or(rules, "min_extra", 0.0)?, or(rules, "look_back_ns", 0.0)? as u64);
        Parsed::Ok(RetryBudget { min_retries: free, retry_ratio: share, window })
    });
    Ok(Settings {
        fronts: small(v, "n_instances")?,
        zone: ZoneId(small(v, "az")?),
        classes: classes.iter().enumerate().map(|(i, c)| class(c, i, specifics)).collect::<Parsed<_>>()?,
        tenants: tenants
            .iter()
            .map(|t| Ok(Tenant { quota_per_s: or(t, "quota_per_s", 0.0)? }))
            .collect::<Parsed<_>>()?,
        over_share_worth: or(v, "over_share_worth", 1.0)?,
        ladder: rates.into_iter().zip(worths).map(|(kb, worth)| Rung { kb, worth }).collect(),
        kind_max_streams: numbers(specifics, "kind_slots")?,
        racks: small(specifics, "groups")?,
        cells: small(specifics, "positions")?,
        uplink_kb: number(specifics, "uplink_kb")?,
        kb_per_weight: or(specifics, "kb_per_weight", 0.0)?,
        all_links_kb: or(specifics, "all_links_kb", 0.0)?,
        shared_stream_share: or(specifics, "join", 1.0)?,
        link_refusal_threshold: or(specifics, "refuses_from", 0.0)?,
        notification_delay: or(specifics, "seen_after_ns", 0.0)? as u64,
        switch_cost_s: or(specifics, "switch_cost_s", 0.0)?,
        gauges: gauges.map_or_else(Vec::new, |g| g.iter().map(gauge).collect()),
        probes: flag(limits, "probes")?,
        send_retry_after: flag(limits, "retry_after")?,
        max_retry_after: or(limits, "max_retry_after_ns", 0.0)? as u64,
        max_attempts: small(limits, "max_attempts")?,
        list_on_request: v.get("membership_mode").and_then(Value::as_str) == Some("ask"),
        min_event_interval: or(v, "step_ns", 0.0)? as u64,
        connection_idle_timeout: or(limits, "conn_idle_ns", 0.0)? as u64,
        prices: Prices {
            session_move: price("moves")?,
            cross_zone: price("cross_zone")?,
            probe: price("probe")?,
            handshake: price("handshake")?,
        },
        rules: Rules {
            cold_share: number(rules, "start_capacity")?,
            warm_up: whole(rules, "cold_ns")?,
            overload_multiple: number(rules, "fall_multiple")?,
            overload_window: whole(rules, "fall_ns")?,
            retry_budget: budget.transpose()?,
        },
    })
}

/// What a front end on sockets needs of the settings besides the module's own.
#[derive(Clone, Debug)]
pub struct Sockets {
    /// Names of the classes, in their order.
    pub classes: Vec<String>,
    /// How long a viewer of each class waits at most, nanoseconds.
    pub deadlines: Vec<Time>,
    /// Names of zones.
    pub zones: Vec<String>,
    /// Names of kinds of node.
    pub kinds: Vec<String>,
    /// Names of tenants, where they have some.
    pub tenants: Vec<Option<String>>,
    /// Names of the values of a load report, in the module's order.
    pub fields: Vec<String>,
    /// A connection that is not up by then is given up, nanoseconds.
    pub dial: Time,
    /// Nodes close idle connections after this, nanoseconds.
    pub idle: Time,
    /// Set-ups that one connection carries at a time.
    pub streams: usize,
}

fn names(v: &Value, key: &str) -> Parsed<Vec<String>> {
    let one =
        |x: &Value| x.as_str().map(str::to_owned).ok_or_else(|| format!("settings: '{key}' holds no text"));
    list(v, key)?.iter().map(one).collect()
}

/// Parses what a front end on sockets needs besides.
///
/// # Errors
/// Names the key that is missing or wrong.
pub fn sockets(v: &Value) -> Parsed<Sockets> {
    let (classes, limits) = (list(v, "classes")?, need(v, "limits")?);
    // A site whose nodes report nothing may name no report, or no values in it.
    let report = v.get("load_report").filter(|r| r.get("fields").is_some_and(|f| !f.is_null()));
    Ok(Sockets {
        classes: classes.iter().map(|c| text(c, "name").map(str::to_owned)).collect::<Parsed<_>>()?,
        deadlines: classes.iter().map(|c| whole(c, "deadline_ns")).collect::<Parsed<_>>()?,
        zones: names(v, "zones")?,
        kinds: names(v, "flavors")?,
        tenants: optional_list(v, "tenants")?
            .iter()
            .map(|t| Ok(optional(t, "name", Value::as_str, "text")?.map(str::to_owned)))
            .collect::<Parsed<_>>()?,
        fields: report.map_or_else(|| Ok(Vec::new()), |r| names(r, "fields"))?,
        dial: whole(limits, "dial_timeout_ns")?,
        idle: whole(limits, "conn_idle_ns")?,
        streams: small::<u32>(limits, "max_streams")?.max(1) as usize,
    })
}

#[cfg(test)]
mod tests;
