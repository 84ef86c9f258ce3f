//! The configuration that the platform writes for a front end, at its start and when it is read again.

use nix::sys::resource::{Resource, getrlimit};
use pepperhook::{Idempotency, Settings};
use pepperhook_changelog::{Event, NodeList};
use pepperhook_parameters::{SocketSettings, check_bounds, decision_settings, parse_json, socket_settings};
use serde_json::Value;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::io::Read;
use std::net::SocketAddr;
use std::os::unix::fs::FileTypeExt;
use std::path::Path;

/// Bytes of the file at most: a list of some 50,000 nodes.
const LARGEST: u64 = 8 << 20;
/// Descriptors that a front end needs to run at all, its own and one on either side,
pub(crate) const FEWEST: usize = 18;
/// and at most; no system lets a process have more.
const MOST: usize = 1 << 30;
/// Characters of one line about a file at most,
const LINE: usize = 300;
/// and fields that it names.
const NAMED: usize = 40;

/// Everything that a front end is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name.
    pub name: String,
    /// Where viewers connect.
    pub listen: SocketAddr,
    /// Drives random numbers.
    pub seed: u64,
    /// Descriptors that the process may hold.
    pub descriptors: usize,
    /// Where the change log listens.
    pub changelog: SocketAddr,
    /// The list as the events of the start have built it.
    pub list: NodeList,
    /// What the module needs.
    pub settings: Settings,
    /// What the sockets need besides.
    pub sockets: SocketSettings,
    /// The file as it was read, the events of the start as one number.
    raw: Value,
}

/// Why a configuration cannot be used: file and field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {what}")]
pub struct ConfigError {
    file: String,
    what: String,
}

fn text<'a>(v: &'a Value, key: &str) -> Result<&'a str, String> {
    v.get(key).and_then(Value::as_str).ok_or_else(|| format!("'{key}' is missing or no text"))
}

fn address(v: &Value, key: &str) -> Result<SocketAddr, String> {
    text(v, key)?.parse().map_err(|_| format!("'{key}' is no address and port"))
}

fn parse(mut v: Value) -> Result<Config, String> {
    let given = v.get("settings").ok_or("'settings' is missing")?;
    let known = v.get("known").ok_or("'known' is missing")?;
    let (settings, sockets) = (decision_settings(given)?, socket_settings(given)?);
    check_bounds(given, &settings, &sockets)?;
    settings.validate().map_err(|e| e.to_string())?;
    let events: Vec<Event> =
        pepperhook_changelog::parse_initial_events(known, &sockets.zone_names, &sockets.kind_names)?;
    let mut list = NodeList::default();
    for event in &events {
        list.apply_initial(event);
    }
    let name = Some(text(&v, "name")?).filter(|n| !n.is_empty()).ok_or("'name' is empty")?.to_owned();
    let listen = address(&v, "listen")?;
    let digits = text(&v, "seed")?;
    let seed = Some(digits).filter(|d| d.len() <= 16 && d.bytes().all(|b| b.is_ascii_hexdigit()));
    let seed =
        seed.and_then(|d| u64::from_str_radix(d, 16).ok()).ok_or("'seed' is no hex number of 16 digits")?;
    let descriptors = v.get("limits").and_then(|l| l.get("sockets")).and_then(Value::as_u64);
    let descriptors = descriptors.ok_or("'limits.sockets' is missing or no whole number")?;
    let descriptors = usize::try_from(descriptors).unwrap_or(MOST).min(MOST);
    if descriptors < FEWEST {
        return Err(format!("'limits.sockets' is below {FEWEST}, with which nobody can be served"));
    }
    let changelog = address(&v, "changelog")?;
    if changelog.port() == 0 || changelog.ip().is_unspecified() || changelog.ip().is_multicast() {
        return Err("'changelog' is no address that can be asked".to_owned());
    }
    // Long, and of no use but to tell that it differs.
    let mut hash = DefaultHasher::new();
    known.to_string().hash(&mut hash);
    v["known"] = hash.finish().into();
    Ok(Config { name, listen, seed, descriptors, changelog, list, settings, sockets, raw: v })
}

/// Why a file cannot be used, in one line whatever it holds.
fn fault(path: &Path, what: &str) -> ConfigError {
    let plain = |c: char| if c.is_control() { ' ' } else { c };
    ConfigError { file: path.display().to_string(), what: what.chars().map(plain).take(LINE).collect() }
}

fn read(path: &Path, waits: bool) -> Result<Vec<u8>, String> {
    let kind = std::fs::metadata(path).map_err(|e| e.to_string())?.file_type();
    // One that waits for a writer would hold up whoever is served meanwhile; at the start nobody is.
    if !(kind.is_file() || (waits && kind.is_fifo())) {
        return Err("is no file".to_owned());
    }
    let file = std::fs::File::open(path).map_err(|e| e.to_string())?;
    let mut raw = Vec::new();
    file.take(LARGEST + 1).read_to_end(&mut raw).map_err(|e| e.to_string())?;
    if raw.len() as u64 > LARGEST {
        return Err(format!("is longer than {LARGEST} bytes"));
    }
    Ok(raw)
}

impl Config {
    /// Reads the file at the start; a pipe is waited for.
    ///
    /// # Errors
    /// Names the file and the field that is missing or wrong.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        Self::of(path, true)
    }

    fn of(path: &Path, waits: bool) -> Result<Self, ConfigError> {
        read(path, waits).and_then(|raw| parse_json(&raw)).and_then(parse).map_err(|what| fault(path, &what))
    }

    /// The descriptors that the process may hold by the file and by the system's own limit on it, whichever is less.
    ///
    /// # Errors
    /// When nobody can be served with so few.
    pub fn descriptors(&self) -> Result<usize, String> {
        let soft = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
        let most = self.descriptors.min(usize::try_from(soft).unwrap_or(usize::MAX));
        if most < FEWEST {
            return Err(format!("the system allows {most} descriptors; {FEWEST} are needed at least"));
        }
        Ok(most)
    }

    /// Checks what the environment says beside the file.
    ///
    /// # Errors
    /// Names the variable that disagrees.
    pub fn agrees(&self, name: Option<&str>, listen: Option<&str>) -> Result<(), String> {
        if name.is_some_and(|n| n != self.name) {
            return Err(format!("BALANCER_NAME differs from 'name' ({})", self.name));
        }
        if listen.is_some_and(|l| l.parse() != Ok(self.listen)) {
            return Err(format!("BALANCER_LISTEN differs from 'listen' ({})", self.listen));
        }
        Ok(())
    }

    /// What a running front needs of the configuration of its start to judge one that is read later.
    #[must_use]
    pub fn start(&self) -> Start {
        let repeats = self.settings.classes.iter().map(|c| c.idempotency).collect();
        let places = (self.settings.racks, self.settings.cells);
        Start {
            name: self.name.clone(),
            listen: self.listen,
            sockets: self.sockets.clone(),
            repeats,
            places,
            raw: self.raw.clone(),
        }
    }
}

/// The configuration of a start, as far as a later one is judged by it.
pub struct Start {
    name: String,
    listen: SocketAddr,
    sockets: SocketSettings,
    repeats: Vec<Idempotency>,
    places: (u32, u32),
    raw: Value,
}

/// What a configuration that was read again brings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reload {
    /// Where the change log listens.
    pub changelog: SocketAddr,
    /// Fields that differ and wait for the next start.
    pub waiting: Vec<String>,
}

impl Start {
    /// Reads the file again: it is taken whole or not at all, and all that it can change is the change log's address.
    /// One of another front, or by which records and requests would be read otherwise, is not taken: its change log
    /// would mix two customers' lists.
    ///
    /// # Errors
    /// Names the file and the field that is missing, wrong, or another than at the start.
    pub fn reload(&self, path: &Path) -> Result<Reload, ConfigError> {
        let next = Config::of(path, false)?;
        match self.other(&next) {
            Some(field) => {
                Err(fault(path, &format!("'{field}' differs from that of the start: another's file")))
            }
            None => Ok(Reload { changelog: next.changelog, waiting: self.waiting(&next.raw) }),
        }
    }

    /// The field that shows that these settings are another's.
    fn other(&self, next: &Config) -> Option<&'static str> {
        let (own, new) = (&self.sockets, &next.sockets);
        let repeats = next.settings.classes.iter().map(|c| c.idempotency);
        let tests = [
            (self.name == next.name, "name"),
            (self.listen == next.listen, "listen"),
            (own.class_names == new.class_names, "settings.classes"),
            (own.deadlines == new.deadlines, "settings.classes.deadline_ns"),
            (repeats.eq(self.repeats.iter().copied()), "settings.classes.idempotency"),
            (own.zone_names == new.zone_names, "settings.zones"),
            (own.kind_names == new.kind_names, "settings.flavors"),
            (own.report_fields == new.report_fields, "settings.load_report.fields"),
            (own.tenant_names == new.tenant_names, "settings.tenants"),
            (self.places.0 == next.settings.racks, "settings.specifics.groups"),
            (self.places.1 == next.settings.cells, "settings.specifics.positions"),
        ];
        tests.iter().find(|(same, _)| !same).map(|(_, field)| *field)
    }

    fn waiting(&self, next: &Value) -> Vec<String> {
        let mut out = Vec::new();
        differing("", &self.raw, next, &mut out);
        out.retain(|field| field != "changelog");
        if out.len() > NAMED {
            let more = out.len() - NAMED;
            out.truncate(NAMED);
            out.push(format!("and {more} more"));
        }
        out
    }
}

/// The fields in which two values differ, by their paths.
fn differing(path: &str, a: &Value, b: &Value, out: &mut Vec<String>) {
    match (a, b) {
        (Value::Object(x), Value::Object(y)) => {
            let keys = x.keys().chain(y.keys().filter(|k| !x.contains_key(*k)));
            for key in keys {
                let dot = if path.is_empty() { "" } else { "." };
                let path = format!("{path}{dot}{}", key.escape_debug());
                differing(&path, x.get(key).unwrap_or(&Value::Null), y.get(key).unwrap_or(&Value::Null), out);
            }
        }
        (Value::Array(x), Value::Array(y)) if x.len() == y.len() => {
            x.iter().zip(y).enumerate().for_each(|(i, (x, y))| differing(&format!("{path}[{i}]"), x, y, out));
        }
        _ if a != b => out.push(path.to_owned()),
        _ => {}
    }
}

#[cfg(test)]
mod tests;
