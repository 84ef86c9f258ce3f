//! How the first configuration starts: every named voter must have received the same complete set of named
//! voters from every other one.
//!
//! A set lists each voter with its store and the run of its front, and a voter announces it only in that run.
//! Suppose two different complete sets were each announced by all voters. A front that differs between them
//! was in an earlier run, or had an earlier store, in the same one of the two sets; a voter that starts the
//! other set has announced that one before and never returns to it. A voter that starts the configuration has
//! synced it before it reports it, and announces no set from then on. So at most one set is ever started.

use crate::types::{MAX_VOTERS, VoterId};
use crate::wire::GenesisVoter;
use std::collections::BTreeMap;

/// State of genesis at one named voter.
#[derive(Debug)]
pub struct Genesis {
    me: GenesisVoter,
    /// Numbers of the fronts that the settings name as voters.
    named: Vec<u64>,
    /// The voters known here, by front.
    known: BTreeMap<u64, GenesisVoter>,
    /// The set that each other voter announced last, by front.
    announced: BTreeMap<u64, Vec<GenesisVoter>>,
}

impl Genesis {
    /// Only this voter itself is known.
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

    /// Processes the set that another named voter announced in this run.
    pub fn receive(&mut self, front: u64, run: u64, announced: Vec<GenesisVoter>) {
        if front == self.me.front || !self.named.contains(&front) || announced.len() > MAX_VOTERS {
            return;
        }
        let Some(sender) = announced.iter().find(|v| v.front == front && v.run == run && v.store != 0) else {
            return;
        };
        // A run has one store; a later run replaces an earlier one for good.
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
        let all = self.known();
        let complete = all.len() == self.named.len() && self.named.iter().all(|n| self.known.contains_key(n));
        let same = self.named.iter().all(|n| *n == self.me.front || self.announced.get(n) == Some(&all));
        (complete && same).then(|| all.iter().map(|v| VoterId { front: v.front, store: v.store }).collect())
    }
}
