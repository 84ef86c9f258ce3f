//! How the first configuration starts: every named voter must have received the same complete set of named
//! voters from every other one.
//!
//! A set lists each voter with its store and the run of its front, and a voter announces a set only during the
//! run that the set lists for it. At most one set is ever started. Suppose that all voters announced each of
//! two different complete sets:
//! - One of the sets is the earlier one: it has the earlier run (or store) of every front that differs. Two
//!   fronts that differ in opposite directions would each, in its earlier run, have known the later run of the
//!   other, which is impossible.
//! - A voter that announced the later set never announces or starts the earlier one: it is in a later run
//!   itself or knows a later run of another front, and an earlier run never replaces a later one.
//! - A voter that starts the earlier set syncs it to disk before it reports it and announces no set from then
//!   on, so the later set is not announced by all.

use crate::types::{MAX_VOTERS, VoterId};
use crate::wire::GenesisVoter;
use std::collections::BTreeMap;

/// State of genesis at one named voter.
#[derive(Debug)]
pub struct Genesis {
    /// This voter.
    me: GenesisVoter,
    /// Numbers of the fronts that the settings name as voters.
    named: Vec<u64>,
    /// The voters known here, by front.
    known: BTreeMap<u64, GenesisVoter>,
    /// The set that each other voter announced last, by front.
    announced: BTreeMap<u64, Vec<GenesisVoter>>,
}

impl Genesis {
    /// Creates the state of a voter that knows only itself. Named voters beyond [`MAX_VOTERS`] are ignored.
    #[must_use]
    pub fn new(me: GenesisVoter, named: &[u64]) -> Self {
        let named: Vec<u64> = named.iter().copied().take(MAX_VOTERS).collect();
        Self { me, named, known: BTreeMap::from([(me.front, me)]), announced: BTreeMap::new() }
    }

    /// The set that this voter announces: all voters that it knows.
    #[must_use]
    pub fn known(&self) -> Vec<GenesisVoter> {
        self.known.values().copied().collect()
    }

    /// Processes the set that a front announced in a run. Ignored if the front is not another named voter, if
    /// the set is too long or does not list the front in this run with a store, and if a later run of the front,
    /// or this run with another store, is known already.
    pub fn receive(&mut self, front: u64, run: u64, announced: Vec<GenesisVoter>) {
        if front == self.me.front || !self.named.contains(&front) || announced.len() > MAX_VOTERS {
            return;
        }
        let Some(sender) = announced.iter().find(|v| v.front == front && v.run == run && v.store != 0) else {
            return;
        };
        // A run has one store, and an earlier run never replaces a later one.
        match self.known.get(&front) {
            Some(known) if known.run > run || (known.run == run && known.store != sender.store) => return,
            _ => {}
        }
        self.known.insert(front, *sender);
        self.announced.insert(front, announced);
    }

    /// The voters of the first configuration, once all named voters have announced the same complete set.
    #[must_use]
    pub fn complete(&self) -> Option<Vec<VoterId>> {
        let known = self.known();
        let is_complete =
            known.len() == self.named.len() && self.named.iter().all(|n| self.known.contains_key(n));
        let all_announced_it =
            self.named.iter().all(|n| *n == self.me.front || self.announced.get(n) == Some(&known));
        (is_complete && all_announced_it)
            .then(|| known.iter().map(|v| VoterId { front: v.front, store: v.store }).collect())
    }
}
