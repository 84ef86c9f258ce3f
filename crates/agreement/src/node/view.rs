//! A node's state for display and monitoring.

use super::Node;
use crate::types::{Config, VoterId};

/// The present state of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    /// This front as a voter, if it has a store.
    pub voter: Option<VoterId>,
    /// How often the store was opened.
    pub boots: u64,
    /// Whether it votes now.
    pub votes: bool,
    /// The configuration that it knows.
    pub config: Option<Config>,
    /// The leader that it follows, if it votes.
    pub leader: Option<VoterId>,
    /// Number of its last entry.
    pub number: u64,
    /// The highest entry number that it knows of.
    pub known: u64,
    /// The last entry that it has confirmed.
    pub confirmed: u64,
    /// The stable entry, which every leaseholder has confirmed.
    pub stable: u64,
    /// Remaining time of its lease, in milliseconds.
    pub lease_remaining_ms: u64,
    /// Whether its log differs from the agreed log.
    pub forked: bool,
    /// Whether it must not vote any more in this run.
    pub stopped: bool,
    /// Number of unexpired leases that it has granted.
    pub grants: usize,
    /// It grants no lease to a front that has confirmed less than this entry.
    pub min_confirmed: u64,
    /// Its watermark: no unexpired lease that it granted has confirmed less.
    pub watermark: Option<u64>,
    /// Number of its own pending proposals.
    pub proposals: usize,
    /// Number of registers that are not empty.
    pub registers: usize,
    /// Approximate memory for catch-up and for fragmented messages, in bytes.
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

    /// Id of a front's store, if that front is this one or requested a lease here lately.
    #[must_use]
    pub fn store_of(&self, front: u64) -> Option<u64> {
        let own = self.id.filter(|v| v.front == front).map(|v| v.store);
        own.or_else(|| self.front_stores.get(&front).map(|(store, _)| *store)).filter(|s| *s != 0)
    }

    /// The present state of this node.
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
