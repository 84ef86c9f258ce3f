//! The events of a start, as JSON in the configuration.

use crate::{Entry, Event, State};
use serde_json::Value;

/// Reads `{"seq": LAST, "results": [...]}`; zones and kinds are named as in the settings' lists. Events are numbered from
/// 1. The last number is not gone by: what is asked for are the events after those that are here.
///
/// # Errors
/// Names the field that is missing or wrong.
pub fn known(v: &Value, zones: &[String], kinds: &[String]) -> Result<Vec<Event>, String> {
    let results = v.get("results").and_then(Value::as_array).ok_or("known: 'results' is no list")?;
    results
        .iter()
        .enumerate()
        .map(|(i, e)| event(e, zones, kinds).map_err(|e| format!("known: event {i}: {e}")))
        .collect()
}

fn event(v: &Value, zones: &[String], kinds: &[String]) -> Result<Event, String> {
    let number =
        v.get("seq").and_then(Value::as_u64).filter(|n| *n > 0).ok_or("'seq' is no number from 1")?;
    let fleet = v.get("fleet").ok_or("'fleet' is missing")?;
    let full = optional(fleet, "full", Value::as_bool, "true or false")?.unwrap_or(false);
    let servers = fleet.get("servers").and_then(Value::as_array).ok_or("'servers' is no list")?;
    let entries = servers.iter().map(|s| entry(s, zones, kinds)).collect::<Result<_, _>>()?;
    Ok(Event { number, full, entries })
}

/// Reads a node's id as it stands in text: `s-` and 8 hex digits.
#[must_use]
pub fn node_id(text: &str) -> Option<u32> {
    let hex = |d: &&str| d.len() == 8 && d.bytes().all(|b| b.is_ascii_hexdigit());
    let digits = text.strip_prefix("s-").filter(hex)?;
    u32::from_str_radix(digits, 16).ok()
}

/// A value that may be absent; one of another form is no absent one.
fn optional<T>(v: &Value, key: &str, read: fn(&Value) -> Option<T>, form: &str) -> Result<Option<T>, String> {
    let given = v.get(key).filter(|v| !v.is_null());
    given.map(|v| read(v).ok_or(format!("'{key}' is not {form}"))).transpose()
}

fn entry(v: &Value, zones: &[String], kinds: &[String]) -> Result<Entry, String> {
    let text = |key: &str| v.get(key).and_then(Value::as_str).ok_or(format!("'{key}' is no text"));
    let place = |key: &str, names: &[String]| {
        let name = text(key)?;
        let at = names.iter().position(|n| n == name).and_then(|i| u16::try_from(i).ok());
        at.ok_or(format!("'{key}' {name:?} is not in the settings"))
    };
    let whole = |key: &str| v.get(key).and_then(Value::as_u64);
    Ok(Entry {
        id: node_id(text("id")?).ok_or("'id' is not of the form s- and 8 hex digits")?,
        address: text("addr")?.parse().map_err(|_| "'addr' is no address and port")?,
        state: match text("state")? {
            "up" => State::Ready,
            "draining" => State::Draining,
            "removed" => State::Gone,
            other => return Err(format!("'state' {other:?} is unknown")),
        },
        zone: place("zone", zones)?,
        kind: place("kind", kinds)?,
        cell: whole("cell").and_then(|c| u32::try_from(c).ok()).ok_or("'cell' is no whole number")?,
        weight: optional(v, "weight", |w| w.as_f64().filter(|w| *w >= 0.0), "a number from 0")?
            .unwrap_or(1.0),
        started_ms: optional(v, "started_ms", Value::as_u64, "a whole number")?.unwrap_or(0),
    })
}
