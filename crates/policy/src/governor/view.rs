//! Queries on a governor.

use super::Governor;
use crate::change::RegisterState;
use crate::policy::{Difference, Policy};
use pepperhook_settings::Config;

impl Governor {
    /// The settings in which a file differs from the active policy, or during a change, from the old one.
    #[must_use]
    pub fn differences_from(&self, file: &Config) -> Vec<Difference> {
        let agreed = self.current.as_ref().map(|current| &current.old);
        let file = Policy::from_config(file).ok();
        file.zip(agreed).map_or_else(Vec::new, |(file, agreed)| file.differences(agreed))
    }

    /// The policy that this front applies: version, step, document.
    #[must_use]
    pub fn active_policy(&self) -> Option<(u64, &'static str, &Policy)> {
        self.active.as_ref().map(|(version, step, policy)| (*version, *step, policy))
    }

    /// Why the front cannot apply the agreed policy, if so.
    #[must_use]
    pub fn inapplicable_reason(&self) -> Option<&str> {
        self.inapplicable.as_deref()
    }

    /// Rows of name and value for display: the policy or its change, and this front's state in it.
    #[must_use]
    pub fn rows(&self, now_ms: u64) -> Vec<(&'static str, String)> {
        let mut rows = Vec::new();
        match &self.current {
            None => rows.push(("policy", "none is agreed on".to_owned())),
            Some(current) => {
                let change = &current.state;
                rows.push(("policy", format!("version {}, {}", change.version(), change.step())));
                rows.push(("by", change.origin().to_string()));
                let for_s = now_ms.saturating_sub(current.since_ms) / 1_000;
                let settled = if current.stable_since_ms.is_some() { "settled" } else { "not settled" };
                rows.push(("entry", format!("{}, {settled}, for {for_s} s", current.entry)));
                if let RegisterState::Trial { steps, from } = change {
                    if let Some(baseline) = &steps.baseline {
                        let (b, now) =
                            (baseline.before, baseline.trial.select(self.history.last()).since(*from));
                        let now =
                            now.map_or_else(|| "not known".into(), |c| format!("{} of {}", c.good, c.total));
                        let what = format!(
                            "for {} s; went well: {} of {} before, {now} since",
                            baseline.trial.duration_ms() / 1_000,
                            b.good,
                            b.total
                        );
                        rows.push(("trial", what));
                    }
                }
                if let RegisterState::Active { undone: Some(u), .. } = change {
                    let what =
                        format!("version {} by {}, by front {}: {}", u.version, u.origin, u.by, u.reason);
                    rows.push(("undone", what));
                }
            }
        }
        if let Some((version, step, _)) = &self.active {
            rows.push(("in force", format!("version {version}, {step}")));
        }
        if self.unreadable {
            rows.push((
                "stuck",
                "this release cannot decode the policy's register; a later release may have written it"
                    .into(),
            ));
        }
        if let Some(reason) = &self.inapplicable {
            rows.push(("stuck", reason.clone()));
        }
        rows.push(("vouches for", self.confirmed.to_string()));
        rows
    }
}
