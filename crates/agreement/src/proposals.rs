//! Commands that this front proposed and that are not applied here yet. Each is sent again under the same
//! key, to one voter after another, until it is applied here or its time limit has passed.

use crate::fragments::TokenBucket;
use crate::registers::{Outcome, Registers};
use crate::types::{Command, Key};
use std::collections::BTreeMap;

/// Maximum number of pending proposals.
pub const MAX_PROPOSALS: usize = 64;
/// A proposal is sent again after this time, in milliseconds.
const RESEND_MS: u64 = 500;
/// A proposal is sent to the leader this long after a voter declined it and named the leader, in
/// milliseconds.
const REDIRECT_MS: u64 = 60;
/// Messages with proposals per second. The exchange accepts 128 datagrams per second from a front.
const SENDS_PER_S: u64 = 48;
/// Messages with proposals in a burst.
const SEND_BURST: u64 = 24;

/// Result of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProposalResult {
    /// The command was decided and applied here.
    Applied {
        /// Number of the first entry with this command.
        number: u64,
        /// Its effect on the registers.
        outcome: Outcome,
    },
    /// The time limit has passed. The command may still be decided.
    Expired,
    /// Too many proposals are pending. The command was not sent.
    Busy,
    /// The body is too long, or the voters are not valid. The command was not sent.
    Invalid,
}

#[derive(Debug)]
struct Pending {
    command: Command,
    until_ms: u64,
    next_ms: u64,
    next_voter: usize,
    /// The front that a voter named as the leader.
    leader: Option<u64>,
}

/// The pending proposals of this front.
#[derive(Debug, Default)]
pub struct Proposals {
    pending: BTreeMap<Key, Pending>,
    budget: Option<TokenBucket>,
}

impl Proposals {
    /// Adds a proposal that expires after `timeout_ms`. `next_voter` selects the voter that is asked first
    /// and spreads the load over voters. Returns false if there is no room.
    pub fn add(&mut self, now_ms: u64, timeout_ms: u64, command: Command, next_voter: usize) -> bool {
        if self.pending.contains_key(&command.key) {
            return true;
        }
        if self.pending.len() >= MAX_PROPOSALS {
            return false;
        }
        let until_ms = now_ms.saturating_add(timeout_ms);
        self.pending
            .insert(command.key, Pending { command, until_ms, next_ms: now_ms, next_voter, leader: None });
        true
    }

    /// Whether a proposal with this key is pending.
    #[must_use]
    pub fn contains(&self, key: Key) -> bool {
        self.pending.contains_key(&key)
    }

    /// Number of pending proposals.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no proposal is pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// A voter declined the proposal and named `leader` as the leader, if it knows another front to lead.
    pub fn declined(&mut self, now_ms: u64, key: Key, leader: Option<u64>) {
        if let Some(pending) = self.pending.get_mut(&key) {
            pending.leader = leader;
            // Two voters may name each other as the leader, so the proposal is sent on after a delay rather
            // than at once. A voter that names nobody has no room now or knows no leader.
            if leader.is_some() {
                pending.next_ms = pending.next_ms.min(now_ms.saturating_add(REDIRECT_MS));
            }
        }
    }

    /// A command was applied. Returns whether it was a pending proposal.
    pub fn applied(&mut self, key: Key) -> bool {
        self.pending.remove(&key).is_some()
    }

    /// The registers were replaced by a later state: removes and returns the proposals that it has as
    /// decided.
    pub fn replaced(&mut self, registers: &Registers) -> Vec<(Key, ProposalResult)> {
        let keys: Vec<Key> = self.pending.keys().copied().collect();
        let decided = keys.into_iter().filter_map(|key| {
            let (number, outcome) = registers.outcome(key)?;
            self.pending.remove(&key)?;
            Some((key, ProposalResult::Applied { number, outcome }))
        });
        decided.collect()
    }

    /// Removes and returns the proposals whose time limit has passed.
    pub fn expired(&mut self, now_ms: u64) -> Vec<Key> {
        let expired: Vec<Key> =
            self.pending.iter().filter(|(_, p)| p.until_ms <= now_ms).map(|(k, _)| *k).collect();
        expired.iter().for_each(|k| drop(self.pending.remove(k)));
        expired
    }

    /// The commands to send now, each with the one of `voters` to send it to. `known_leader` is the leader as
    /// this front knows it.
    pub fn due(&mut self, now_ms: u64, voters: &[u64], known_leader: Option<u64>) -> Vec<(u64, Command)> {
        let mut due = Vec::new();
        if voters.is_empty() {
            return due;
        }
        let budget = self.budget.get_or_insert_with(|| TokenBucket::new(now_ms, SENDS_PER_S, SEND_BURST));
        // The proposals that have waited longest are sent first.
        let mut waiting: Vec<&mut Pending> =
            self.pending.values_mut().filter(|p| p.next_ms <= now_ms).collect();
        waiting.sort_by_key(|p| p.next_ms);
        for pending in waiting {
            if !budget.take(now_ms) {
                break;
            }
            let to = pending.leader.take().or(known_leader);
            let to = to
                .filter(|l| voters.contains(l))
                .or_else(|| voters.get(pending.next_voter % voters.len()).copied());
            pending.next_voter = pending.next_voter.wrapping_add(1);
            pending.next_ms = now_ms.saturating_add(RESEND_MS);
            due.extend(to.map(|to| (to, pending.command.clone())));
        }
        due
    }
}
