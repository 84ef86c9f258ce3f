//! How the first configuration begins: all named voters have to have heard the same set of each other.
//!
//! A set names each voter with its store and the run of its front, and is said by a voter in that run only. So if two sets
//! were ever said by all, each front that differs in them was in its earlier run, or had its earlier store, in the same one
//! of the two; who begins the other has said that first and never goes back. Whoever begins has synced it before it says
//! so, and says no set from then on: at most one set is ever begun.

use crate::types::{MOST_VOTERS, VoterId};
use crate::wire::Heard;
use std::collections::BTreeMap;

/// Genesis as one named voter sees it.
#[derive(Debug)]
pub struct Genesis {
    me: Heard,
    named: Vec<u64>,
    heard: BTreeMap<u64, Heard>,
    said: BTreeMap<u64, Vec<Heard>>,
}

impl Genesis {
    /// Nothing heard but itself.
    #[must_use]
    pub fn new(me: Heard, named: &[u64]) -> Self {
        let named: Vec<u64> = named.iter().copied().take(MOST_VOTERS).collect();
        Self { me, named, heard: BTreeMap::from([(me.front, me)]), said: BTreeMap::new() }
    }

    /// What it says.
    #[must_use]
    pub fn says(&self) -> Vec<Heard> {
        self.heard.values().copied().collect()
    }

    /// Another named voter in this run said whom it has heard.
    pub fn heard(&mut self, front: u64, run: u64, said: Vec<Heard>) {
        if front == self.me.front || !self.named.contains(&front) || said.len() > MOST_VOTERS {
            return;
        }
        let Some(itself) = said.iter().find(|h| h.front == front && h.run == run && h.store != 0) else {
            return;
        };
        // A run has one store; a later run replaces an earlier one for good.
        match self.heard.get(&front) {
            Some(known) if known.run > run || (known.run == run && known.store != itself.store) => return,
            _ => {}
        }
        self.heard.insert(front, *itself);
        self.said.insert(front, said);
    }

    /// The voters, once all have said the same complete set.
    #[must_use]
    pub fn complete(&self) -> Option<Vec<VoterId>> {
        let all = self.says();
        let whole = all.len() == self.named.len() && self.named.iter().all(|n| self.heard.contains_key(n));
        let same = self.named.iter().all(|n| *n == self.me.front || self.said.get(n) == Some(&all));
        (whole && same).then(|| all.iter().map(|h| VoterId { front: h.front, store: h.store }).collect())
    }
}
