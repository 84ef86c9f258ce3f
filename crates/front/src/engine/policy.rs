//! Agreed policies in the engine: which version decides a request, and what a fenced front refuses.
//!
//! **One version for each request.** A request is decided by the policy in force when its set-up starts: its patience,
//! aim, idempotency and value are those of that policy until its answer, which names the version. Limits shared with
//! other sessions (seats, quotas, lowest and highest rungs, links) are those in force at each moment
//! (`docs/policy-module.md`). The set-up of a parked request has not started; of the patience when it was received and
//! the patience when it starts, the shorter applies. A duplicate belongs to the original request.
//!
//! **Classes and tenants** are matched by name and identified by index in titles, tokens and sessions. Indices never
//! change: a new name gets the next index; a class that the policy lacks keeps its index and terms and is closed to new
//! set-ups.
//!
//! **A fenced front** cannot know what the fleet agreed on. It starts no set-up. Requests already accepted continue
//! under their version, and sessions keep playing.

use super::Engine;
use super::types::{Answer, Effect, Refusal, SessionRequest};
use pepperhook::{Class, Settings, SettingsError, Tenant, Time};
use pepperhook_settings::{ClassSettings, Config};
use serde::Serialize;
use std::rc::Rc;

/// The terms of one request, fixed from the start of its set-up to its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestTerms {
    /// Version of the policy; `None` before any was agreed.
    pub version: Option<u64>,
    /// Aim for the set-up time of its class, nanoseconds.
    pub aim: Time,
    /// Patience of its class less the answer margin, nanoseconds.
    pub patience: Time,
}

/// The engine's state about agreed policies.
#[derive(Debug, Default)]
pub(super) struct PolicyState {
    /// Version in force; `None` before the first.
    pub version: Option<u64>,
    /// Whether the front cannot know what the fleet agreed on.
    pub fenced: bool,
    /// Whether the front was ever fenced or received a policy. Only then is there a status to show.
    ever_active: bool,
    /// Indices of the classes that are closed to new set-ups.
    pub closed_classes: Vec<u16>,
    /// Policies applied since the start.
    changes: u64,
    /// Policies rejected since the start.
    rejections: u64,
}

/// Status of agreed policies, for the console.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PolicyStatus {
    /// Version in force; `None` before the first.
    pub version: Option<u64>,
    /// Whether the front cannot know what the fleet agreed on, and starts no set-ups.
    pub fenced: bool,
    /// Open set-ups that started under an earlier version.
    #[serde(rename = "open_before")]
    pub open_under_earlier: usize,
    /// Names of the classes that are closed to new set-ups.
    #[serde(rename = "closed")]
    pub closed_classes: Vec<String>,
    /// Policies that came into force since the start.
    pub changes: u64,
    /// Policies that this front rejected because it cannot apply them.
    #[serde(rename = "objections")]
    pub rejections: u64,
}

/// A policy with its classes and tenants at the indices that this front uses.
struct AlignedPolicy {
    settings: Settings,
    classes: Vec<ClassSettings>,
    tenants: Vec<String>,
    closed_classes: Vec<u16>,
}

fn invalid<T>(what: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError(what.into()))
}

/// Puts a policy's classes and tenants at the indices of the settings in force.
///
/// # Errors
/// If the policy is invalid or cannot follow the settings in force.
fn align(
    config: &Config,
    mut settings: Settings,
    classes: &[ClassSettings],
    tenants: &[String],
) -> Result<AlignedPolicy, SettingsError> {
    if (classes.len(), tenants.len()) != (settings.classes.len(), settings.tenants.len()) {
        return invalid(format!(
            "each class and tenant must have one name: {} names for {} classes, {} names for {} tenants",
            classes.len(),
            settings.classes.len(),
            tenants.len(),
            settings.tenants.len()
        ));
    }
    let has_duplicate = |names: &[&str]| (1..names.len()).any(|i| names[..i].contains(&names[i]));
    let class_names: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
    if has_duplicate(&class_names) || has_duplicate(&tenants.iter().map(String::as_str).collect::<Vec<_>>()) {
        return invalid("two classes or two tenants have the same name; each name must be unique");
    }
    let highest_rung = u8::try_from(settings.ladder.len().saturating_sub(1)).unwrap_or(u8::MAX);
    let (mut aligned, mut decision_classes, mut closed_classes): (Vec<ClassSettings>, Vec<Class>, Vec<u16>) =
        Default::default();
    for (i, (old, kept)) in config.classes.iter().zip(&config.decisions.classes).enumerate() {
        match classes.iter().zip(&settings.classes).find(|(c, _)| c.name == old.name) {
            Some((c, _)) if c.ingest != old.ingest => {
                return invalid(format!("class '{}' cannot change between publishers and viewers", c.name));
            }
            Some((c, terms)) => {
                aligned.push(c.clone());
                decision_classes.push(terms.clone());
            }
            None => {
                closed_classes.push(i as u16);
                aligned.push(old.clone());
                let lowest_rung = kept.lowest_rung.min(highest_rung);
                decision_classes.push(Class {
                    lowest_rung,
                    highest_rung: kept.highest_rung.min(highest_rung).max(lowest_rung),
                    ..kept.clone()
                });
            }
        }
    }
    let known = |name: &str| config.classes.iter().any(|c| c.name == name);
    for (c, terms) in classes.iter().zip(&settings.classes).filter(|(c, _)| !known(&c.name)) {
        aligned.push(c.clone());
        decision_classes.push(terms.clone());
    }
    let (mut tenant_names, mut decision_tenants): (Vec<String>, Vec<Tenant>) =
        (config.tenants.clone(), Vec::new());
    for (name, kept) in config.tenants.iter().zip(&config.decisions.tenants) {
        let changed = tenants.iter().zip(&settings.tenants).find(|(t, _)| *t == name);
        decision_tenants.push(changed.map_or(kept, |(_, tenant)| tenant).clone());
    }
    for (name, tenant) in tenants.iter().zip(&settings.tenants).filter(|(t, _)| !config.tenants.contains(t)) {
        tenant_names.push(name.clone());
        decision_tenants.push(tenant.clone());
    }
    if aligned.len() > usize::from(u16::MAX) || tenant_names.len() > usize::from(u16::MAX) {
        return invalid(format!(
            "there are {} classes and {} tenants, counting closed ones; at most {} of each are possible",
            aligned.len(),
            tenant_names.len(),
            u16::MAX
        ));
    }
    (settings.classes, settings.tenants) = (decision_classes, decision_tenants);
    settings.validate()?;
    config.decisions.validate_change(&settings)?;
    Ok(AlignedPolicy { settings, classes: aligned, tenants: tenant_names, closed_classes })
}

impl Engine {
    /// Settings in force: those of the start, overridden by the policy in force.
    #[must_use]
    pub fn config(&self) -> &Rc<Config> {
        &self.config
    }

    /// Checks whether this front can apply a policy, without applying it.
    ///
    /// # Errors
    /// The reason why it cannot. The front must then reject the policy instead of acknowledging it.
    pub fn check_policy(
        &self,
        settings: &Settings,
        classes: &[ClassSettings],
        tenants: &[String],
    ) -> Result<(), SettingsError> {
        align(&self.config, settings.clone(), classes, tenants).map(drop)
    }

    /// The earliest version that still decides anything here: the version in force, or that of an open set-up. `None`
    /// while anything is still decided by the settings from before the first policy.
    #[must_use]
    pub fn earliest_policy_version(&self) -> Option<u64> {
        let open = self.tickets.values().filter_map(|id| self.sessions.get(id)).map(|s| s.terms.version);
        open.min().map_or(self.policy.version, |v| v.min(self.policy.version))
    }

    /// The longest time that an open or a new request can wait, nanoseconds.
    #[must_use]
    pub fn longest_patience(&self) -> Time {
        let configured = self.config.classes.iter().map(|c| c.patience).max().unwrap_or(0);
        let open = self.tickets.values().filter_map(|id| self.sessions.get(id)).map(|s| s.terms.patience);
        open.max().unwrap_or(0).max(configured)
    }

    /// Status for the console; `None` if the front was never fenced and never received a policy.
    pub(super) fn policy_status(&self) -> Option<PolicyStatus> {
        let policy = &self.policy;
        let is_earlier = |s: &&super::Session| s.terms.version < policy.version;
        let open: std::collections::BTreeSet<_> = self.tickets.values().collect();
        let class_name = |i: &u16| self.config.classes.get(usize::from(*i)).map(|c| c.name.clone());
        policy.ever_active.then(|| PolicyStatus {
            version: policy.version,
            fenced: policy.fenced,
            open_under_earlier: open
                .into_iter()
                .filter_map(|id| self.sessions.get(id))
                .filter(is_earlier)
                .count(),
            closed_classes: policy.closed_classes.iter().filter_map(class_name).collect(),
            changes: policy.changes,
            rejections: policy.rejections,
        })
    }

    /// Puts a policy into force. One that is not newer than the version in force is ignored as a repeat.
    pub(super) fn apply_policy(
        &mut self,
        now: Time,
        version: u64,
        settings: Settings,
        classes_and_tenants: (&[ClassSettings], &[String]),
        effects: &mut Vec<Effect>,
    ) {
        self.policy.ever_active = true;
        if self.policy.version >= Some(version) {
            return;
        }
        // Pending events are from before the change and are decided by the former settings.
        self.process_events(now, effects);
        let mut actions = Vec::new();
        let aligned = align(&self.config, settings, classes_and_tenants.0, classes_and_tenants.1);
        let applied = aligned
            .and_then(|a| self.controller.apply_settings(now, a.settings.clone(), &mut actions).map(|()| a));
        let aligned = match applied {
            Ok(aligned) => aligned,
            Err(e) => {
                self.policy.rejections += 1;
                return effects
                    .push(Effect::Log(format!("policy {version} cannot be applied by this front: {}", e.0)));
            }
        };
        self.policy.version = Some(version);
        self.policy.changes += 1;
        self.policy.closed_classes = aligned.closed_classes;
        self.metrics.add_classes(aligned.classes.iter().map(|c| c.name.as_str()));
        let (decisions, classes, tenants) = (aligned.settings, aligned.classes, aligned.tenants);
        let config = Config { decisions, classes, tenants, ..(*self.config).clone() };
        self.config = Rc::new(config);
        self.reservations.set_uplink_kb(self.config.decisions.uplink_kb);
        self.update_node_capacities();
        effects.push(Effect::Log(format!("policy {version} is in force")));
        for action in actions {
            self.execute(now, action, effects);
        }
    }

    /// Sets whether the front is fenced.
    pub(super) fn set_fenced(&mut self, fenced: bool, effects: &mut Vec<Effect>) {
        self.policy.ever_active |= fenced;
        if std::mem::replace(&mut self.policy.fenced, fenced) != fenced {
            let line = if fenced { "fenced: no set-ups are started" } else { "no longer fenced" };
            effects.push(Effect::Log(line.into()));
        }
    }

    /// The terms of a request of this class whose set-up starts now.
    pub(super) fn request_terms(&self, class: u16) -> RequestTerms {
        let aim = self.config.decisions.classes.get(usize::from(class)).map_or(0, |c| c.set_up_target);
        RequestTerms { version: self.policy.version, aim, patience: self.patience(class) }
    }

    /// The answer that refuses a new request because the front is fenced or its class is closed; `None` if it may proceed.
    pub(super) fn policy_refusal(&self, request: &SessionRequest) -> Option<Answer> {
        if self.policy.fenced {
            return Some(Answer::Refused(None, Refusal::Fenced));
        }
        self.policy.closed_classes.contains(&request.class).then_some(Answer::ClassClosed)
    }
}
