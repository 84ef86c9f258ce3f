//! Reconciles the sessions that a node lists with those that this front knows there.
//!
//! Sessions start and end while a list is in transit, so one list alone proves nothing. A difference is acted on only
//! if two lists in a row show it. A session unknown to this front also counts only while no attempt of this front is
//! open at that node.

use super::Engine;
use super::types::Effect;
use pepperhook::ServerId;
use std::collections::BTreeSet;

/// How one list of a node differs from the sessions that this front knows there, by path at the node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Differences {
    /// Listed by the node, unknown here.
    orphans: BTreeSet<String>,
    /// Known here, not listed by the node.
    missing: BTreeSet<String>,
}

impl Engine {
    /// Number of sessions of this front that play at a node.
    #[must_use]
    pub fn session_count_at(&self, node: ServerId) -> usize {
        self.nodes.get(&node).map_or(0, |n| n.playing.len())
    }

    /// Compares a node's list of this run's sessions with those known here, and acts on differences that repeat.
    pub(super) fn reconcile_sessions(
        &mut self,
        node: ServerId,
        listed: &BTreeSet<String>,
        effects: &mut Vec<Effect>,
    ) {
        let attempt_open = self.attempts.values().any(|a| a.node == node);
        let Some(state) = self.nodes.get_mut(&node) else { return };
        let known: BTreeSet<String> = state.playing.keys().cloned().collect();
        let orphans = if attempt_open { BTreeSet::new() } else { listed - &known };
        let differences = Differences { orphans, missing: &known - listed };
        let previous = std::mem::replace(&mut state.list_differences, differences.clone());
        for path in differences.orphans.intersection(&previous.orphans) {
            self.metrics.orphans_deleted += 1;
            effects.push(Effect::DeleteUpstream(node, path.clone()));
        }
        for path in differences.missing.intersection(&previous.missing) {
            self.metrics.sessions_missing += 1;
            self.lose_session_at(node, path, effects);
        }
    }
}
