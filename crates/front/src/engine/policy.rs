//! Agreed policies in the engine: by which one a request is decided, and what a front does that cannot know.
//!
//! **One version for one request.** A request is decided by the policy in force when its set-up begins: its patience,
//! its aim, whether it may be repeated and its worth stay as that policy had them, up to its answer, which names the
//! version. What it shares with others (seats, ration, floors and tops, links) counts by what is in force at each
//! moment (`docs/policy-module.md`). A request that waits for the closing of an earlier attempt of its viewer
//! has not begun; of the two patiences it gets the shorter. A copy of a request is that request.
//!
//! **Classes and tenants** are matched by name and known by index, in titles, tokens and sessions. Indices stay: a new
//! name gets the next one, a class that the policy lacks keeps its place and its terms and takes nothing new.
//!
//! **Fenced** is a front that cannot know what the fleet agreed. It begins no set-up; whatever was taken goes on by the
//! version it was taken under, and sessions play.

use super::Engine;
use super::types::{Answer, Effect, Refusal, SessionRequest};
use pepperhook::{Class, Settings, SettingsError, Tenant, Time};
use pepperhook_settings::{ClassSettings, Config};
use serde::Serialize;
use std::rc::Rc;

/// What one request is promised from its begin to its answer.
#[derive(Clone, Copy, Debug)]
pub(super) struct Promise {
    /// The policy's version; none where none was ever agreed.
    pub version: Option<u64>,
    /// Of its class.
    pub aim: Time,
    /// Of its class, the margin taken off.
    pub patience: Time,
}

/// What the engine holds of agreed policies.
#[derive(Debug, Default)]
pub(super) struct Policies {
    /// In force; none before the first.
    pub version: Option<u64>,
    pub fenced: bool,
    /// It was fenced once, or a policy came: there is something to show.
    used: bool,
    /// Indices of the classes that take nothing new.
    pub closed: Vec<u16>,
    changes: u64,
    objections: u64,
}

/// Agreed policies, as the console shows them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct PolicyStatus {
    /// Version in force; none before the first.
    pub version: Option<u64>,
    /// The front cannot know what the fleet agreed, and takes no set-ups.
    pub fenced: bool,
    /// Set-ups that are open and were taken under an earlier version.
    pub open_before: usize,
    /// Classes that take nothing new.
    pub closed: Vec<String>,
    /// Policies that came into force since the start.
    pub changes: u64,
    /// Policies that this front could not go by.
    pub objections: u64,
}

/// A policy fitted to the front's indices.
struct Fitted {
    settings: Settings,
    classes: Vec<ClassSettings>,
    tenants: Vec<String>,
    closed: Vec<u16>,
}

fn fault<T>(what: impl Into<String>) -> Result<T, SettingsError> {
    Err(SettingsError(what.into()))
}

/// Maps a policy's names to the indices of the settings in force.
fn fitted(
    config: &Config,
    mut settings: Settings,
    classes: &[ClassSettings],
    tenants: &[String],
) -> Result<Fitted, SettingsError> {
    if (classes.len(), tenants.len()) != (settings.classes.len(), settings.tenants.len()) {
        return fault("classes and tenants do not have a name each");
    }
    let twice = |names: &[&str]| (1..names.len()).any(|i| names[..i].contains(&names[i]));
    let class_names: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
    if twice(&class_names) || twice(&tenants.iter().map(String::as_str).collect::<Vec<_>>()) {
        return fault("a name is given twice");
    }
    let last = u8::try_from(settings.ladder.len().saturating_sub(1)).unwrap_or(u8::MAX);
    let (mut ours, mut theirs, mut closed): (Vec<ClassSettings>, Vec<Class>, Vec<u16>) = Default::default();
    for (i, (old, kept)) in config.classes.iter().zip(&config.decisions.classes).enumerate() {
        match classes.iter().zip(&settings.classes).find(|(c, _)| c.name == old.name) {
            Some((c, _)) if c.ingest != old.ingest => {
                return fault(format!("class '{}' cannot change between publishers and viewers", c.name));
            }
            Some((c, terms)) => {
                ours.push(c.clone());
                theirs.push(terms.clone());
            }
            None => {
                closed.push(i as u16);
                ours.push(old.clone());
                let floor = kept.lowest_rung.min(last);
                theirs.push(Class {
                    lowest_rung: floor,
                    highest_rung: kept.highest_rung.min(last).max(floor),
                    ..kept.clone()
                });
            }
        }
    }
    let known = |name: &str| config.classes.iter().any(|c| c.name == name);
    for (c, terms) in classes.iter().zip(&settings.classes).filter(|(c, _)| !known(&c.name)) {
        ours.push(c.clone());
        theirs.push(terms.clone());
    }
    let (mut names, mut shares): (Vec<String>, Vec<Tenant>) = (config.tenants.clone(), Vec::new());
    for (name, kept) in config.tenants.iter().zip(&config.decisions.tenants) {
        let now = tenants.iter().zip(&settings.tenants).find(|(t, _)| *t == name);
        shares.push(now.map_or(kept, |(_, share)| share).clone());
    }
    for (name, share) in tenants.iter().zip(&settings.tenants).filter(|(t, _)| !config.tenants.contains(t)) {
        names.push(name.clone());
        shares.push(share.clone());
    }
    if ours.len() > usize::from(u16::MAX) || names.len() > usize::from(u16::MAX) {
        return fault("there are too many classes or tenants");
    }
    (settings.classes, settings.tenants) = (theirs, shares);
    settings.validate()?;
    config.decisions.validate_change(&settings)?;
    Ok(Fitted { settings, classes: ours, tenants: names, closed })
}

impl Engine {
    /// Settings in force: those of the start, with what the policy in force says.
    #[must_use]
    pub fn config(&self) -> &Rc<Config> {
        &self.config
    }

    /// Can this front go by a policy?
    ///
    /// # Errors
    /// Why not: then the front is to object rather than to vouch.
    pub fn check_policy(
        &self,
        settings: &Settings,
        classes: &[ClassSettings],
        tenants: &[String],
    ) -> Result<(), SettingsError> {
        fitted(&self.config, settings.clone(), classes, tenants).map(drop)
    }

    /// The earliest version by which anything is still decided here: that in force, or that of an open set-up. None
    /// while something goes by what settings said before any policy.
    #[must_use]
    pub fn earliest_policy_version(&self) -> Option<u64> {
        let open = self.tickets.values().filter_map(|id| self.live.get(id)).map(|l| l.promise.version);
        open.min().map_or(self.policies.version, |v| v.min(self.policies.version))
    }

    /// The longest time that a request which is taken now or was taken before can wait.
    #[must_use]
    pub fn longest_patience(&self) -> Time {
        let now = self.config.classes.iter().map(|c| c.patience).max().unwrap_or(0);
        let open = self.tickets.values().filter_map(|id| self.live.get(id)).map(|l| l.promise.patience);
        open.max().unwrap_or(0).max(now)
    }

    /// For the console; none where nothing was ever agreed.
    pub(super) fn policy_shown(&self) -> Option<PolicyStatus> {
        let p = &self.policies;
        let before = |l: &&super::Live| l.promise.version < p.version;
        let open: std::collections::BTreeSet<_> = self.tickets.values().collect();
        let named = |i: &u16| self.config.classes.get(usize::from(*i)).map(|c| c.name.clone());
        p.used.then(|| PolicyStatus {
            version: p.version,
            fenced: p.fenced,
            open_before: open.into_iter().filter_map(|id| self.live.get(id)).filter(before).count(),
            closed: p.closed.iter().filter_map(named).collect(),
            changes: p.changes,
            objections: p.objections,
        })
    }

    /// Another policy comes into force. One that is no later than what is in force was heard of before.
    pub(super) fn take_policy(
        &mut self,
        now: Time,
        version: u64,
        settings: Settings,
        names: (&[ClassSettings], &[String]),
        out: &mut Vec<Effect>,
    ) {
        self.policies.used = true;
        if self.policies.version >= Some(version) {
            return;
        }
        // What happened before is decided by what was in force then.
        self.run(now, out);
        let mut actions = Vec::new();
        let fitted = fitted(&self.config, settings, names.0, names.1);
        let taken = fitted
            .and_then(|f| self.controller.apply_settings(now, f.settings.clone(), &mut actions).map(|()| f));
        let f = match taken {
            Ok(f) => f,
            Err(e) => {
                self.policies.objections += 1;
                return out.push(Effect::Log(format!("policy {version} cannot be gone by: {}", e.0)));
            }
        };
        self.policies.version = Some(version);
        self.policies.changes += 1;
        self.policies.closed = f.closed;
        self.metrics.add_classes(f.classes.iter().map(|c| c.name.as_str()));
        let (decisions, classes, tenants) = (f.settings, f.classes, f.tenants);
        let config = Config { decisions, classes, tenants, ..(*self.config).clone() };
        self.config = Rc::new(config);
        self.holds.uplink(self.config.decisions.uplink_kb);
        self.rooms();
        out.push(Effect::Log(format!("policy {version} is in force")));
        for action in actions {
            self.act(now, action, out);
        }
    }

    pub(super) fn fence(&mut self, fenced: bool, out: &mut Vec<Effect>) {
        self.policies.used |= fenced;
        if std::mem::replace(&mut self.policies.fenced, fenced) != fenced {
            let line = if fenced { "fenced: no set-ups are taken" } else { "no longer fenced" };
            out.push(Effect::Log(line.into()));
        }
    }

    pub(super) fn promise(&self, class: u16) -> Promise {
        let aim = self.config.decisions.classes.get(usize::from(class)).map_or(0, |c| c.set_up_target);
        Promise { version: self.policies.version, aim, patience: self.patience(class) }
    }

    /// Why nothing new may begin here, if so. A copy of a request that was taken begins nothing.
    pub(super) fn bars(&self, ask: &SessionRequest) -> Option<Answer> {
        if !self.policies.fenced && self.policies.closed.is_empty() {
            return None;
        }
        match (self.viewers.is_duplicate(ask.viewer, ask.offer_hash), self.policies.fenced) {
            (true, _) => None,
            (false, true) => Some(Answer::Refused(None, Refusal::Fenced)),
            (false, false) => self.policies.closed.contains(&ask.class).then_some(Answer::ClassClosed),
        }
    }
}
