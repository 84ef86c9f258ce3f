//! The configuration file that the platform writes for a front: loading it at the start and reloading it later.

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

/// Largest file, in bytes: room for a list of some 50,000 nodes.
const MAX_FILE_BYTES: u64 = 8 << 20;
/// Smallest number of file descriptors: those of the process itself, one viewer and one node.
pub(crate) const MIN_DESCRIPTORS: usize = 18;
/// Largest number of file descriptors; no system lets a process have more.
const MAX_DESCRIPTORS: usize = 1 << 30;
/// Longest error message about a file, in characters.
const MAX_ERROR_CHARS: usize = 300;
/// Largest number of changed fields that a reload names.
const MAX_NAMED_FIELDS: usize = 40;

/// A front's configuration.
#[derive(Clone, Debug)]
pub struct Config {
    /// The front's name.
    pub name: String,
    /// Address on which viewers connect.
    pub listen: SocketAddr,
    /// Seed of the random numbers.
    pub seed: u64,
    /// Number of file descriptors that the process may have open.
    pub descriptor_limit: usize,
    /// Address of the change log.
    pub changelog: SocketAddr,
    /// The node list, built from the configuration's initial events.
    pub list: NodeList,
    /// Settings of the decision module.
    pub settings: Settings,
    /// Settings of the connections.
    pub sockets: SocketSettings,
    /// The parsed file, with the initial events replaced by a hash.
    raw: Value,
}

/// Why a configuration cannot be used; names the file and the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{file}: {message}")]
pub struct ConfigError {
    file: String,
    message: String,
}

fn text<'a>(v: &'a Value, key: &str) -> Result<&'a str, String> {
    v.get(key).and_then(Value::as_str).ok_or_else(|| format!("'{key}' is missing or not a string"))
}

fn address(v: &Value, key: &str) -> Result<SocketAddr, String> {
    let text = text(v, key)?;
    text.parse().map_err(|_| format!("'{key}' is {text:?}, not an IP address with a port"))
}

fn parse(mut v: Value) -> Result<Config, String> {
    let settings_json = v.get("settings").ok_or("'settings' is missing")?;
    let initial_events = v.get("known").ok_or("'known' is missing")?;
    let (settings, sockets) = (decision_settings(settings_json)?, socket_settings(settings_json)?);
    check_bounds(settings_json, &settings, &sockets)?;
    settings.validate().map_err(|e| e.to_string())?;
    let events: Vec<Event> =
        pepperhook_changelog::parse_initial_events(initial_events, &sockets.zone_names, &sockets.kind_names)?;
    let mut list = NodeList::default();
    for event in &events {
        list.apply_initial(event);
    }
    let name = Some(text(&v, "name")?)
        .filter(|n| !n.is_empty())
        .ok_or("'name' is empty; the front needs a name")?
        .to_owned();
    let listen = address(&v, "listen")?;
    let digits = text(&v, "seed")?;
    let seed = Some(digits).filter(|d| d.len() <= 16 && d.bytes().all(|b| b.is_ascii_hexdigit()));
    let seed = seed
        .and_then(|d| u64::from_str_radix(d, 16).ok())
        .ok_or("'seed' is not a hex number of 1 to 16 digits")?;
    let limit = v.get("limits").and_then(|l| l.get("sockets")).and_then(Value::as_u64);
    let limit = limit.ok_or("'limits.sockets' is missing or not a whole number")?;
    let descriptor_limit = usize::try_from(limit).unwrap_or(MAX_DESCRIPTORS).min(MAX_DESCRIPTORS);
    if descriptor_limit < MIN_DESCRIPTORS {
        return Err(format!(
            "'limits.sockets' is {descriptor_limit}; the front needs at least {MIN_DESCRIPTORS}"
        ));
    }
    let changelog = address(&v, "changelog")?;
    if changelog.port() == 0 || changelog.ip().is_unspecified() || changelog.ip().is_multicast() {
        return Err(format!("'changelog' is {changelog}, which is not an address that can be connected to"));
    }
    // The events are long and are needed later only to detect a change.
    let mut hash = DefaultHasher::new();
    initial_events.to_string().hash(&mut hash);
    v["known"] = hash.finish().into();
    Ok(Config { name, listen, seed, descriptor_limit, changelog, list, settings, sockets, raw: v })
}

/// An error about a file, as one line: control characters become spaces, and a long message is cut.
fn file_error(path: &Path, message: &str) -> ConfigError {
    let without_control = |c: char| if c.is_control() { ' ' } else { c };
    ConfigError {
        file: path.display().to_string(),
        message: message.chars().map(without_control).take(MAX_ERROR_CHARS).collect(),
    }
}

/// Reads the file; a pipe only if `allow_pipe`.
fn read(path: &Path, allow_pipe: bool) -> Result<Vec<u8>, String> {
    let kind = std::fs::metadata(path).map_err(|e| e.to_string())?.file_type();
    // Opening a pipe blocks until it has a writer. A running front must not stop serving for that; at the start it may.
    if !(kind.is_file() || (allow_pipe && kind.is_fifo())) {
        return Err("is no file: only a regular file, or a pipe at the start, can be read".to_owned());
    }
    let file = std::fs::File::open(path).map_err(|e| e.to_string())?;
    let mut raw = Vec::new();
    file.take(MAX_FILE_BYTES + 1).read_to_end(&mut raw).map_err(|e| e.to_string())?;
    if raw.len() as u64 > MAX_FILE_BYTES {
        return Err(format!("is longer than {MAX_FILE_BYTES} bytes, the largest size of a configuration"));
    }
    Ok(raw)
}

impl Config {
    /// Loads the file at the start; waits for the writer if it is a pipe.
    ///
    /// # Errors
    /// Names the file and the field that is missing or invalid.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        Self::load_from(path, true)
    }

    fn load_from(path: &Path, allow_pipe: bool) -> Result<Self, ConfigError> {
        read(path, allow_pipe)
            .and_then(|raw| parse_json(&raw))
            .and_then(parse)
            .map_err(|message| file_error(path, &message))
    }

    /// The configured limit on file descriptors or the soft limit of the system, whichever is less.
    ///
    /// # Errors
    /// If that is too few to serve anyone.
    pub fn effective_descriptor_limit(&self) -> Result<usize, String> {
        let soft = getrlimit(Resource::RLIMIT_NOFILE).map_or(u64::MAX, |(soft, _)| soft);
        let limit = self.descriptor_limit.min(usize::try_from(soft).unwrap_or(usize::MAX));
        if limit < MIN_DESCRIPTORS {
            return Err(format!(
                "the system allows {limit} descriptors; the front needs at least {MIN_DESCRIPTORS}"
            ));
        }
        Ok(limit)
    }

    /// Checks that the name and listen address in the environment, where given, are those of the file.
    ///
    /// # Errors
    /// Names the variable that differs.
    pub fn check_environment(&self, name: Option<&str>, listen: Option<&str>) -> Result<(), String> {
        if let Some(name) = name.filter(|n| *n != self.name) {
            return Err(format!("BALANCER_NAME is {name:?}, which differs from 'name' ({})", self.name));
        }
        if let Some(listen) = listen.filter(|l| l.parse() != Ok(self.listen)) {
            return Err(format!(
                "BALANCER_LISTEN is {listen:?}, which differs from 'listen' ({})",
                self.listen
            ));
        }
        Ok(())
    }

    /// The part of the configuration that a running front keeps, with which it checks a reload.
    #[must_use]
    pub fn start_config(&self) -> StartConfig {
        let idempotencies = self.settings.classes.iter().map(|c| c.idempotency).collect();
        let racks_and_cells = (self.settings.racks, self.settings.cells);
        StartConfig {
            name: self.name.clone(),
            listen: self.listen,
            sockets: self.sockets.clone(),
            idempotencies,
            racks_and_cells,
            raw: self.raw.clone(),
        }
    }
}

/// The part of the start's configuration with which a reload is checked.
pub struct StartConfig {
    name: String,
    listen: SocketAddr,
    sockets: SocketSettings,
    /// Idempotency of each class.
    idempotencies: Vec<Idempotency>,
    racks_and_cells: (u32, u32),
    raw: Value,
}

/// The result of a reload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reload {
    /// Address of the change log.
    pub changelog: SocketAddr,
    /// Fields that differ and take effect only at the next start.
    pub needs_restart: Vec<String>,
}

impl StartConfig {
    /// Reloads the file. It is accepted as a whole or rejected, and only the change log's address takes effect. A file of
    /// another front, or one with which records and requests would be parsed differently, is rejected: following its
    /// change log would mix the node lists of two customers.
    ///
    /// # Errors
    /// Names the file and the field that is missing, invalid, or differs from the start.
    pub fn reload(&self, path: &Path) -> Result<Reload, ConfigError> {
        let next = Config::load_from(path, false)?;
        match self.mismatch(&next) {
            Some(field) => Err(file_error(
                path,
                &format!(
                    "'{field}' differs from its value at the start: this file belongs to another front or site"
                ),
            )),
            None => Ok(Reload { changelog: next.changelog, needs_restart: self.needs_restart(&next.raw) }),
        }
    }

    /// The first field that must stay the same and does not.
    fn mismatch(&self, next: &Config) -> Option<&'static str> {
        let (old, new) = (&self.sockets, &next.sockets);
        let idempotencies = next.settings.classes.iter().map(|c| c.idempotency);
        let checks = [
            (self.name == next.name, "name"),
            (self.listen == next.listen, "listen"),
            (old.class_names == new.class_names, "settings.classes"),
            (old.deadlines == new.deadlines, "settings.classes.deadline_ns"),
            (idempotencies.eq(self.idempotencies.iter().copied()), "settings.classes.idempotency"),
            (old.zone_names == new.zone_names, "settings.zones"),
            (old.kind_names == new.kind_names, "settings.flavors"),
            (old.report_fields == new.report_fields, "settings.load_report.fields"),
            (old.tenant_names == new.tenant_names, "settings.tenants"),
            (self.racks_and_cells.0 == next.settings.racks, "settings.specifics.groups"),
            (self.racks_and_cells.1 == next.settings.cells, "settings.specifics.positions"),
        ];
        checks.iter().find(|(same, _)| !same).map(|(_, field)| *field)
    }

    /// The fields, other than the change log's address, that differ from the start.
    fn needs_restart(&self, next: &Value) -> Vec<String> {
        let mut fields = Vec::new();
        changed_fields("", &self.raw, next, &mut fields);
        fields.retain(|field| field != "changelog");
        if fields.len() > MAX_NAMED_FIELDS {
            let more = fields.len() - MAX_NAMED_FIELDS;
            fields.truncate(MAX_NAMED_FIELDS);
            fields.push(format!("and {more} more"));
        }
        fields
    }
}

/// Appends the paths of the fields in which two values differ.
fn changed_fields(path: &str, old: &Value, new: &Value, out: &mut Vec<String>) {
    match (old, new) {
        (Value::Object(x), Value::Object(y)) => {
            let keys = x.keys().chain(y.keys().filter(|k| !x.contains_key(*k)));
            for key in keys {
                let separator = if path.is_empty() { "" } else { "." };
                let path = format!("{path}{separator}{}", key.escape_debug());
                changed_fields(
                    &path,
                    x.get(key).unwrap_or(&Value::Null),
                    y.get(key).unwrap_or(&Value::Null),
                    out,
                );
            }
        }
        (Value::Array(x), Value::Array(y)) if x.len() == y.len() => {
            x.iter()
                .zip(y)
                .enumerate()
                .for_each(|(i, (x, y))| changed_fields(&format!("{path}[{i}]"), x, y, out));
        }
        _ if old != new => out.push(path.to_owned()),
        _ => {}
    }
}

#[cfg(test)]
mod tests;
