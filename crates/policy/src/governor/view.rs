//! What a governor shows.

use super::Governor;
use crate::change::Change;
use crate::policy::{Difference, Policy};
use pepperhook_settings::Config;

impl Governor {
    /// The figures in which a file and the policy that stands differ.
    #[must_use]
    pub fn differs(&self, file: &Config) -> Vec<Difference> {
        let stands = self.at.as_ref().map(|at| &at.old);
        let file = Policy::from_config(file).ok();
        file.zip(stands).map_or_else(Vec::new, |(file, stands)| file.differences(stands))
    }

    /// The policy that the front goes by: version, step, document.
    #[must_use]
    pub fn in_force(&self) -> Option<(u64, &'static str, &Policy)> {
        self.force.as_ref().map(|(version, step, policy)| (*version, *step, policy))
    }

    /// Why the front cannot go by what was decided.
    #[must_use]
    pub fn stuck(&self) -> Option<&str> {
        self.stuck.as_deref()
    }

    /// For display: what stands or is under way, and how this front goes by it.
    #[must_use]
    pub fn rows(&self, now_ms: u64) -> Vec<(&'static str, String)> {
        let mut rows = Vec::new();
        match &self.at {
            None => rows.push(("policy", "none is agreed on".to_owned())),
            Some(at) => {
                let change = &at.change;
                rows.push(("policy", format!("version {}, {}", change.version(), change.step())));
                rows.push(("by", change.made().to_string()));
                let for_s = now_ms.saturating_sub(at.since_ms) / 1_000;
                let settled = if at.settled_ms.is_some() { "settled" } else { "not settled" };
                rows.push(("entry", format!("{}, {settled}, for {for_s} s", at.number)));
                if let Change::Trial { steps, from } = change {
                    if let Some(proof) = &steps.proof {
                        let (b, now) = (proof.before, proof.trial.of(self.history.last()).since(*from));
                        let now =
                            now.map_or_else(|| "not known".into(), |c| format!("{} of {}", c.well, c.of));
                        let what = format!(
                            "for {} s; went well: {} of {} before, {now} since",
                            proof.trial.time_ms() / 1_000,
                            b.well,
                            b.of
                        );
                        rows.push(("trial", what));
                    }
                }
                if let Change::Stands { undone: Some(u), .. } = change {
                    let what = format!("version {} by {}, by front {}: {}", u.version, u.made, u.by, u.why);
                    rows.push(("undone", what));
                }
            }
        }
        if let Some((version, step, _)) = &self.force {
            rows.push(("in force", format!("version {version}, {step}")));
        }
        if self.unread {
            rows.push(("stuck", "a later edition wrote what this one cannot read".into()));
        }
        if let Some(why) = &self.stuck {
            rows.push(("stuck", why.clone()));
        }
        rows.push(("vouches for", self.vouched.to_string()));
        rows
    }
}
