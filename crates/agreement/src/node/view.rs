//! What a front shows of itself.

use super::Node;
use crate::types::{Config, VoterId};

/// A front's part as it stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// Itself as a voter, if it has a store that may vote.
    pub voter: Option<VoterId>,
    /// How often that was opened.
    pub boots: u64,
    /// It votes now.
    pub votes: bool,
    /// The voters, as it knows them.
    pub config: Option<Config>,
    /// Whom it follows, if it votes.
    pub leader: Option<VoterId>,
    /// The last entry it has.
    pub number: u64,
    /// The highest that it has heard of.
    pub known: u64,
    /// Up to where it goes by what was agreed.
    pub confirmed: u64,
    /// Up to where no front that holds goes by less.
    pub stable: u64,
    /// It holds for so long yet, milliseconds.
    pub lease_remaining_ms: u64,
    /// What it has is not what was agreed.
    pub forked: bool,
    /// It must not vote in this run any more.
    pub stopped: bool,
    /// Fronts that hold by its grant.
    pub grants: usize,
    /// What has to be vouched for at least, at this voter.
    pub min_confirmed: u64,
    /// What it has cleared.
    pub watermark: Option<u64>,
    /// Its own proposals under way.
    pub proposals: usize,
    /// Registers that are not empty.
    pub registers: usize,
    /// Bytes that it keeps for others, about.
    pub buffered_bytes: usize,
}

impl Node {
    /// This front's number.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.settings.me
    }

    /// Whether this front leads the voters now.
    #[must_use]
    pub fn leads(&self) -> bool {
        self.id.is_some() && self.leader() == self.id
    }

    /// The store that a front said it has, if it was heard of lately.
    #[must_use]
    pub fn store_of(&self, front: u64) -> Option<u64> {
        let own = self.id.filter(|v| v.front == front).map(|v| v.store);
        own.or_else(|| self.front_stores.get(&front).map(|(store, _)| *store)).filter(|s| *s != 0)
    }

    /// This front's part as it stands.
    #[must_use]
    pub fn view(&self, now_ms: u64) -> View {
        let grants = self.voting.as_ref().map(|s| s.grants());
        View {
            voter: self.id,
            boots: self.boots,
            votes: self.voting.is_some(),
            config: self.registers.config().cloned(),
            leader: self.leader(),
            number: self.registers.number(),
            known: self.learner.highest_known().max(self.registers.number()),
            confirmed: self.lease.confirmed(),
            stable: self.lease.stable(),
            lease_remaining_ms: if self.forked { 0 } else { self.lease.until_ms().saturating_sub(now_ms) },
            forked: self.forked,
            stopped: self.stopped,
            grants: grants.map_or(0, |g| g.unexpired(now_ms)),
            min_confirmed: grants.map_or(0, |g| g.min_confirmed()),
            watermark: grants.and_then(|g| g.watermark(now_ms)),
            proposals: self.proposals.len(),
            registers: self.registers.iter().count(),
            buffered_bytes: self.source.as_ref().map_or(0, |s| s.buffered_bytes())
                + self.fragmenter.buffered_bytes(),
        }
    }
}
