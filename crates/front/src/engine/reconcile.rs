//! What a node and this front hold of each other's sessions, brought to agree.
//!
//! A list is as old as its way, and sessions begin and end meanwhile. So nothing is done on one list alone: what two
//! lists in a row say, with no attempt of this front out at that node, is believed.

use super::Engine;
use super::types::Effect;
use pepperhook::{Outcome, ServerId};
use std::collections::BTreeSet;

/// What one list of a node said that this front does not hold, and the other way round.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Odds {
    /// At the node, and not known here.
    stray: BTreeSet<String>,
    /// Known here, and not at the node.
    missing: BTreeSet<String>,
}

impl Engine {
    /// Sessions that this front holds at a node.
    #[must_use]
    pub fn session_count_at(&self, node: ServerId) -> usize {
        self.nodes.get(&node).map_or(0, |n| n.playing.len())
    }

    /// A node's list of this run's sessions.
    pub(super) fn reconcile(&mut self, node: ServerId, listed: &BTreeSet<String>, out: &mut Vec<Effect>) {
        let out_there = self.attempts.values().any(|a| a.node == node);
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let held: BTreeSet<String> = state.playing.keys().cloned().collect();
        let stray = if out_there { BTreeSet::new() } else { listed - &held };
        let odds = Odds { stray, missing: &held - listed };
        let before = std::mem::replace(&mut state.odds, odds.clone());
        for path in odds.stray.intersection(&before.stray) {
            self.metrics.orphans_deleted += 1;
            out.push(Effect::DeleteUpstream(node, path.clone()));
        }
        for path in odds.missing.intersection(&before.missing) {
            let id = self.nodes.get(&node).and_then(|n| n.playing.get(path)).copied();
            if let Some(id) = id {
                self.metrics.sessions_missing += 1;
                self.end_playing(id, Outcome::Broken, false, Some(("inactive", "lost")), out);
            }
        }
    }
}
