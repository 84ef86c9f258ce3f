//! The document: the fleet's part of the settings, in their form.

use pepperhook_agreement::MAX_BODY_BYTES;
use pepperhook_settings::{Config, FleetClass, FleetSettings};
use std::collections::BTreeMap;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::sync::Arc;
use thiserror::Error;

/// Bytes of the text that an operator hands in at most, comments and all.
pub const MOST_ASKED: usize = MAX_BODY_BYTES;
/// Bytes of a policy as it is written by [`Policy::text`] at most: a step of a change carries two, and the names.
pub const MOST_TEXT: usize = 7 * 1024 + 256;
/// Faults of a document that are told at most.
const MOST_FAULTS: usize = 8;

/// Why a document is none.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum PolicyError {
    /// It is too long, as handed in or as written.
    #[error("the policy has {bytes} bytes, {most} at most")]
    TooLong {
        /// So many bytes.
        bytes: usize,
        /// So many are allowed.
        most: usize,
    },
    /// Its faults, with line and column.
    #[error("{0}")]
    Faults(String),
    /// It does not read as it is written, so that two fronts could read it as different ones.
    #[error("the policy does not read as it is written")]
    Unstable,
}

/// What a policy may never change while fronts run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
#[error("{field} may not change while fronts run: {why}")]
pub struct Fixed {
    /// The field.
    pub field: String,
    /// Why not.
    pub why: String,
}

/// A figure in which two documents differ.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Difference {
    /// The figure, such as `class replay: aim`.
    pub field: String,
    /// In the one; `None` where it lacks the figure.
    pub one: Option<String>,
    /// In the other.
    pub other: Option<String>,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let side = |value: &Option<String>| value.clone().unwrap_or_else(|| "nothing".into());
        write!(f, "{}: {} -> {}", self.field, side(&self.one), side(&self.other))
    }
}

/// The fleet's policy. Two are the same if they are written the same.
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
    /// Reads what an operator wrote; `name` is for messages.
    ///
    /// # Errors
    /// Too long, or every fault with its line, the first eight of them.
    pub fn parse(name: &str, text: &str) -> Result<Self, PolicyError> {
        if text.len() > MOST_ASKED {
            return Err(PolicyError::TooLong { bytes: text.len(), most: MOST_ASKED });
        }
        match FleetSettings::parse(name, text) {
            Ok(fleet) => Self::from_fleet(&fleet),
            Err(mut faults) => {
                let more = faults.errors.len().saturating_sub(MOST_FAULTS);
                faults.errors.truncate(MOST_FAULTS);
                let more = if more > 0 { format!("and {more} more\n") } else { String::new() };
                Err(PolicyError::Faults(format!("{faults}{more}")))
            }
        }
    }

    /// Reads what [`Self::text`] wrote.
    ///
    /// # Errors
    /// Anything else.
    pub fn stored(text: &str) -> Result<Self, PolicyError> {
        if text.len() > MOST_TEXT {
            return Err(PolicyError::TooLong { bytes: text.len(), most: MOST_TEXT });
        }
        let fleet = FleetSettings::parse("policy", text).map_err(|_| PolicyError::Unstable)?;
        if fleet.text() != text {
            return Err(PolicyError::Unstable);
        }
        Ok(Self { text: text.into(), fleet: Arc::new(fleet) })
    }

    /// The fleet's part of a front's settings.
    ///
    /// # Errors
    /// It is too long.
    pub fn from_config(config: &Config) -> Result<Self, PolicyError> {
        Self::from_fleet(&config.fleet_settings())
    }

    pub(crate) fn from_fleet(fleet: &FleetSettings) -> Result<Self, PolicyError> {
        fleet.validate().map_err(PolicyError::Faults)?;
        Self::stored(&fleet.text())
    }

    /// The policy as text that reads as the same.
    #[must_use]
    pub fn text(&self) -> &str {
        &self.text
    }

    /// Its figures.
    #[must_use]
    pub fn fleet(&self) -> &FleetSettings {
        &self.fleet
    }

    /// A front's settings under this policy.
    ///
    /// # Errors
    /// Why that front cannot go by it.
    pub fn over(&self, config: &Config) -> Result<Config, String> {
        config.with_fleet_settings(&self.fleet)
    }

    /// What `asked` means as the policy after this one: classes and tenants keep their places, since sessions and
    /// messages name them by these; one that is left out stays, closed or with a quota of 0, and new ones come last.
    ///
    /// # Errors
    /// It changes what may not change while fronts run.
    pub fn then(&self, asked: &Self) -> Result<Self, Fixed> {
        fixed(&self.fleet, &asked.fleet)?;
        let mut fleet = (*asked.fleet).clone();
        let place = |name: &str| self.fleet.classes.iter().position(|c| c.front.name == name);
        let mut classes = self.fleet.classes.clone();
        classes.iter_mut().for_each(|c| c.front.closed = true);
        for class in &asked.fleet.classes {
            match place(&class.front.name).and_then(|at| classes.get_mut(at)) {
                Some(there) => *there = class.clone(),
                None => classes.push(class.clone()),
            }
        }
        let mut tenants = self.fleet.tenants.clone();
        tenants.iter_mut().for_each(|(_, t)| t.quota_per_s = 0.0);
        for (name, tenant) in &asked.fleet.tenants {
            let at = self.fleet.tenants.iter().position(|(n, _)| n == name);
            match at.and_then(|at| tenants.get_mut(at)) {
                Some((_, there)) => *there = tenant.clone(),
                None => tenants.push((name.clone(), tenant.clone())),
            }
        }
        (fleet.classes, fleet.tenants) = (classes, tenants);
        let unfit = |e: PolicyError| Fixed {
            field: "the policy".into(),
            why: format!("with the classes and tenants that stay closed: {e}"),
        };
        Self::from_fleet(&fleet).map_err(unfit)
    }

    /// The figures in which another differs.
    #[must_use]
    pub fn differences(&self, other: &Self) -> Vec<Difference> {
        let mut all: BTreeMap<String, (Option<String>, Option<String>)> = BTreeMap::new();
        for (field, value) in self.fleet.figures() {
            all.entry(field).or_default().0 = Some(value);
        }
        for (field, value) in other.fleet.figures() {
            all.entry(field).or_default().1 = Some(value);
        }
        let differ = all.into_iter().filter(|(_, (one, other))| one != other);
        differ.map(|(field, (one, other))| Difference { field, one, other }).collect()
    }
}

/// What may never change while fronts run.
pub(crate) fn fixed(old: &FleetSettings, new: &FleetSettings) -> Result<(), Fixed> {
    if old.ladder.len() != new.ladder.len() {
        let why = format!(
            "sessions, nodes and messages name rungs by their place, and {} stand where {} are asked for",
            old.ladder.len(),
            new.ladder.len()
        );
        return Err(Fixed { field: "ladder".into(), why });
    }
    for class in &new.classes {
        let name = &class.front.name;
        let Some(was) = old.classes.iter().find(|c| c.front.name == *name) else { continue };
        let is = |c: &FleetClass| [("live", c.class.live), ("ingest", c.front.ingest)];
        if let Some(((field, _), _)) = is(class).iter().zip(is(was)).find(|(is, was)| *is != was) {
            let why = "sessions under way were set up as what the class is; make another class".into();
            return Err(Fixed { field: format!("class {name}: {field}"), why });
        }
    }
    Ok(())
}
