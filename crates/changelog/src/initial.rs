//! Parses the events that the configuration hands to a front at its start, as JSON.

use crate::{Entry, Event, State};
use serde_json::Value;

/// Characters of a wrong value that an error message quotes at most.
const MAX_QUOTED_CHARS: usize = 60;

/// Parses `{"seq": LAST, "results": [...]}`. `zones` and `kinds` are the names from the settings; an entry holds their
/// indices. Events are numbered from 1. The outer `seq` is ignored: the change log is asked for the events after the
/// last one in `results`.
///
/// # Errors
/// Names the event, the server and the member that is missing or invalid, and what is allowed.
pub fn parse_initial_events(v: &Value, zones: &[String], kinds: &[String]) -> Result<Vec<Event>, String> {
    let results = v
        .get("results")
        .and_then(Value::as_array)
        .ok_or_else(|| format!("known: {}", invalid(v, "results", "a list of events")))?;
    results
        .iter()
        .enumerate()
        .map(|(i, e)| parse_event(e, zones, kinds).map_err(|e| format!("known: event {i}: {e}")))
        .collect()
}

fn parse_event(v: &Value, zones: &[String], kinds: &[String]) -> Result<Event, String> {
    let number = v
        .get("seq")
        .and_then(Value::as_u64)
        .filter(|n| *n > 0)
        .ok_or_else(|| invalid(v, "seq", "a whole number from 1"))?;
    let fleet = v.get("fleet").ok_or("'fleet' is missing")?;
    let full = optional(fleet, "full", Value::as_bool, "true or false")?.unwrap_or(false);
    let servers = fleet
        .get("servers")
        .and_then(Value::as_array)
        .ok_or_else(|| invalid(fleet, "servers", "a list of nodes"))?;
    let entries = servers
        .iter()
        .enumerate()
        .map(|(i, s)| parse_entry(s, zones, kinds).map_err(|e| format!("server {i}: {e}")))
        .collect::<Result<_, _>>()?;
    Ok(Event { number, full, entries })
}

/// Parses the text form of a node's id: `s-` and 8 hexadecimal digits.
#[must_use]
pub fn parse_node_id(text: &str) -> Option<u32> {
    let is_hex = |d: &&str| d.len() == 8 && d.bytes().all(|b| b.is_ascii_hexdigit());
    let digits = text.strip_prefix("s-").filter(is_hex)?;
    u32::from_str_radix(digits, 16).ok()
}

/// The message for a member that is missing or is not of the `expected` form.
fn invalid(v: &Value, key: &str, expected: &str) -> String {
    match v.get(key) {
        None => format!("'{key}' is missing, must be {expected}"),
        Some(value) => {
            let quoted: String = value.to_string().chars().take(MAX_QUOTED_CHARS).collect();
            format!("'{key}' is {quoted}, must be {expected}")
        }
    }
}

/// Reads a member that may be missing or null; any other value that `read` rejects is an error.
fn optional<T>(
    v: &Value,
    key: &str,
    read: fn(&Value) -> Option<T>,
    expected: &str,
) -> Result<Option<T>, String> {
    let given = v.get(key).filter(|v| !v.is_null());
    given.map(|value| read(value).ok_or_else(|| invalid(v, key, expected))).transpose()
}

fn parse_entry(v: &Value, zones: &[String], kinds: &[String]) -> Result<Entry, String> {
    let text = |key: &str| v.get(key).and_then(Value::as_str).ok_or_else(|| invalid(v, key, "a string"));
    let index_of = |key: &str, names: &[String]| {
        let name = text(key)?;
        let index = names.iter().position(|n| n == name).and_then(|i| u16::try_from(i).ok());
        index.ok_or_else(|| format!("'{key}' {name:?} is not in the settings, must be one of {names:?}"))
    };
    let whole_number = |key: &str| v.get(key).and_then(Value::as_u64);
    Ok(Entry {
        id: parse_node_id(text("id")?).ok_or_else(|| invalid(v, "id", "'s-' and 8 hexadecimal digits"))?,
        address: text("addr")?.parse().map_err(|_| invalid(v, "addr", "an IPv4 address and port"))?,
        state: match text("state")? {
            "up" => State::Ready,
            "draining" => State::Draining,
            "removed" => State::Gone,
            _ => return Err(invalid(v, "state", "'up', 'draining' or 'removed'")),
        },
        zone: index_of("zone", zones)?,
        kind: index_of("kind", kinds)?,
        cell: whole_number("cell")
            .and_then(|c| u32::try_from(c).ok())
            .ok_or_else(|| invalid(v, "cell", "a whole number from 0 to 4294967295"))?,
        weight: optional(v, "weight", |w| w.as_f64().filter(|w| *w >= 0.0), "a number from 0")?
            .unwrap_or(1.0),
        started_ms: optional(v, "started_ms", Value::as_u64, "a whole number of milliseconds from 0")?
            .unwrap_or(0),
    })
}
