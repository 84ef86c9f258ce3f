//! The configuration that the platform writes for a front end.

use pepperhook::Settings;
use pepperhook_changelog::{Event, List};
use pepperhook_parameters::{Sockets, decisions, sockets};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::Path;

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
    pub list: List,
    /// What the module needs.
    pub settings: Settings,
    /// What the sockets need besides.
    pub sockets: Sockets,
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

fn parse(v: &Value) -> Result<Config, String> {
    let settings = v.get("settings").ok_or("'settings' is missing")?;
    let known = v.get("known").ok_or("'known' is missing")?;
    let sockets = sockets(settings)?;
    let events: Vec<Event> = pepperhook_changelog::known(known, &sockets.zones, &sockets.kinds)?;
    let mut list = List::default();
    for event in &events {
        list.start(event);
    }
    let seed = text(v, "seed")?;
    let descriptors = v.get("limits").and_then(|l| l.get("sockets")).and_then(Value::as_u64);
    Ok(Config {
        name: text(v, "name")?.to_owned(),
        listen: address(v, "listen")?,
        seed: u64::from_str_radix(seed, 16).map_err(|_| "'seed' is no hex number of 16 digits")?,
        descriptors: descriptors
            .and_then(|n| usize::try_from(n).ok())
            .ok_or("'limits.sockets' is missing")?,
        changelog: address(v, "changelog")?,
        list,
        settings: decisions(settings)?,
        sockets,
    })
}

impl Config {
    /// Reads the file.
    ///
    /// # Errors
    /// Names the file and the field that is missing or wrong.
    pub fn load(path: &Path) -> Result<Self, ConfigError> {
        let fault = |what: String| ConfigError { file: path.display().to_string(), what };
        let raw = std::fs::read(path).map_err(|e| fault(e.to_string()))?;
        let v: Value = serde_json::from_slice(&raw).map_err(|e| fault(format!("not JSON: {e}")))?;
        parse(&v).map_err(fault)
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
}
