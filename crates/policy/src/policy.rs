//! The policy document: the part of the settings that is common to the fleet, in the same syntax.

use pepperhook_agreement::MAX_BODY_BYTES;
use pepperhook_settings::{Config, FleetClass, FleetSettings};
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use thiserror::Error;

/// Limit of the text that an operator submits, bytes, including comments.
pub const MAX_REQUEST_BYTES: usize = MAX_BODY_BYTES;
/// Limit of a policy's canonical text, bytes. The register holds two of them during a change, and the names.
pub const MAX_POLICY_BYTES: usize = 7 * 1024 + 256;
/// Limit of the faults that an error lists.
const MAX_REPORTED_FAULTS: usize = 8;

/// Why a text is not a valid policy.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PolicyError {
    /// It is too long, as submitted or in canonical form.
    #[error("the policy has {bytes} bytes; at most {limit} are allowed")]
    TooLong {
        /// Its length, bytes.
        bytes: usize,
        /// The limit, bytes.
        limit: usize,
    },
    /// Its faults, each with line and column.
    #[error("{0}")]
    Faults(String),
    /// It differs from its canonical form, so two fronts could read it differently.
    #[error("the policy's text is not in canonical form")]
    NotCanonical,
}

/// An attempt to change a field that must not change while fronts run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
#[error("{field} may not change while fronts run: {reason}")]
pub struct ImmutableField {
    /// The field, such as `class replay: live`.
    pub field: String,
    /// Why it must not change.
    pub reason: String,
}

/// A setting in which two documents differ.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Difference {
    /// The setting, such as `class replay: aim`.
    pub field: String,
    /// Its value in the first document; `None` if that lacks it.
    pub left: Option<String>,
    /// Its value in the second document; `None` if that lacks it.
    pub right: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let side = |value: &Option<String>| value.clone().unwrap_or_else(|| "nothing".into());
        write!(f, "{}: {} -> {}", self.field, side(&self.left), side(&self.right))
    }
}

/// A policy. Two are equal if their canonical texts are.
#[derive(Clone)]
pub struct Policy {
    text: Arc<str>,
    fleet: Arc<FleetSettings>,
}

impl PartialEq for Policy {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl Eq for Policy {}

impl Hash for Policy {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl Policy {
    /// Parses a text that an operator wrote; `name` is the document's name in error messages.
    ///
    /// # Errors
    /// If the text is too long, or its faults with their lines; at most eight are listed.
    pub fn parse(name: &str, text: &str) -> Result<Self, PolicyError> {
        if text.len() > MAX_REQUEST_BYTES {
            return Err(PolicyError::TooLong { bytes: text.len(), limit: MAX_REQUEST_BYTES });
        }
        match FleetSettings::parse(name, text) {
            Ok(fleet) => Self::from_fleet(&fleet),
            Err(mut faults) => {
                let more = faults.errors.len().saturating_sub(MAX_REPORTED_FAULTS);
                faults.errors.truncate(MAX_REPORTED_FAULTS);
                let more = if more > 0 { format!("and {more} more\n") } else { String::new() };
                Err(PolicyError::Faults(format!("{faults}{more}")))
            }
        }
    }

    /// Parses a canonical text, as [`Self::text`] returns it.
    ///
    /// # Errors
    /// If the text is too long or not canonical.
    pub fn from_canonical(text: &str) -> Result<Self, PolicyError> {
        if text.len() > MAX_POLICY_BYTES {
            return Err(PolicyError::TooLong { bytes: text.len(), limit: MAX_POLICY_BYTES });
        }
        let fleet = FleetSettings::parse("policy", text).map_err(|_| PolicyError::NotCanonical)?;
        if fleet.text() != text {
            return Err(PolicyError::NotCanonical);
        }
        Ok(Self { text: text.into(), fleet: Arc::new(fleet) })
    }

    /// Extracts the policy from a front's settings.
    ///
    /// # Errors
    /// If it is too long.
    pub fn from_config(config: &Config) -> Result<Self, PolicyError> {
        Self::from_fleet(&config.fleet_settings())
    }

    pub(crate) fn from_fleet(fleet: &FleetSettings) -> Result<Self, PolicyError> {
        fleet.validate().map_err(PolicyError::Faults)?;
        Self::from_canonical(&fleet.text())
    }

    /// The canonical text, which parses to the same policy.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// The settings in this policy.
    #[must_use]
    pub fn fleet(&self) -> &FleetSettings {
        &self.fleet
    }

    /// A front's settings with this policy applied.
    ///
    /// # Errors
    /// The reason if that front cannot apply it.
    pub fn apply_to(&self, config: &Config) -> Result<Config, String> {
        config.with_fleet_settings(&self.fleet)
    }

    /// The policy that follows this one if `requested` is asked for. Classes and tenants keep their indices, since sessions
    /// and messages refer to them by index: a class that `requested` lacks stays as closed, a tenant that it lacks stays
    /// with a quota of 0, and new ones are appended.
    ///
    /// # Errors
    /// If it changes a field that must not change while fronts run.
    pub fn successor(&self, requested: &Self) -> Result<Self, ImmutableField> {
        check_immutable(&self.fleet, &requested.fleet)?;
        let mut fleet = (*requested.fleet).clone();
        let index = |name: &str| self.fleet.classes.iter().position(|c| c.front.name == name);
        let mut classes = self.fleet.classes.clone();
        classes.iter_mut().for_each(|c| c.front.closed = true);
        for class in &requested.fleet.classes {
            match index(&class.front.name).and_then(|at| classes.get_mut(at)) {
                Some(there) => *there = class.clone(),
                None => classes.push(class.clone()),
            }
        }
        let mut tenants = self.fleet.tenants.clone();
        tenants.iter_mut().for_each(|(_, t)| t.quota_per_s = 0.0);
        for (name, tenant) in &requested.fleet.tenants {
            let at = self.fleet.tenants.iter().position(|(n, _)| n == name);
            match at.and_then(|at| tenants.get_mut(at)) {
                Some((_, there)) => *there = tenant.clone(),
                None => tenants.push((name.clone(), tenant.clone())),
            }
        }
        (fleet.classes, fleet.tenants) = (classes, tenants);
        let invalid = |e: PolicyError| ImmutableField {
            field: "the policy".into(),
            reason: format!("with the former classes and tenants, which stay as closed: {e}"),
        };
        Self::from_fleet(&fleet).map_err(invalid)
    }

    /// The settings in which `other` differs.
    #[must_use]
    pub fn differences(&self, other: &Self) -> Vec<Difference> {
        let mut all: BTreeMap<String, (Option<String>, Option<String>)> = BTreeMap::new();
        for (field, value) in self.fleet.figures() {
            all.entry(field).or_default().0 = Some(value);
        }
        for (field, value) in other.fleet.figures() {
            all.entry(field).or_default().1 = Some(value);
        }
        let differ = all.into_iter().filter(|(_, (left, right))| left != right);
        differ.map(|(field, (left, right))| Difference { field, left, right }).collect()
    }
}

/// Checks that no field changes that must not change while fronts run.
pub(crate) fn check_immutable(old: &FleetSettings, new: &FleetSettings) -> Result<(), ImmutableField> {
    if old.ladder.len() != new.ladder.len() {
        let reason = format!(
            "sessions, nodes and messages refer to rungs by index; the policy has {} rungs, the requested one {}",
            old.ladder.len(),
            new.ladder.len()
        );
        return Err(ImmutableField { field: "ladder".into(), reason });
    }
    for class in &new.classes {
        let name = &class.front.name;
        let Some(was) = old.classes.iter().find(|c| c.front.name == *name) else { continue };
        let flags = |c: &FleetClass| [("live", c.class.live), ("ingest", c.front.ingest)];
        if let Some(((field, _), _)) = flags(class).iter().zip(flags(was)).find(|(new, old)| *new != old) {
            let reason =
                "sessions in progress depend on the former value; define another class instead".into();
            return Err(ImmutableField { field: format!("class {name}: {field}"), reason });
        }
    }
    Ok(())
}
