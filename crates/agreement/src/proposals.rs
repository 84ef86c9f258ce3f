//! Commands that this front proposed and that have not come yet. They are sent again under the same key, to one voter
//! after another, until they are applied here or their time is over.

use crate::fragments::TokenBucket;
use crate::registers::{Outcome, Registers};
use crate::types::{Command, Key};
use std::collections::BTreeMap;

/// Proposals under way at most.
pub const MAX_PROPOSALS: usize = 64;
/// One is sent again after this, milliseconds.
const RESEND_MS: u64 = 500;
/// After a voter declined and named the leader, milliseconds.
const REDIRECT_MS: u64 = 60;
/// Messages with proposals a second, and at once: the exchange takes 128 datagrams a second from a front.
const SENDS_PER_S: u64 = 48;
const SEND_BURST: u64 = 24;

/// What came of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ProposalResult {
    /// It was decided.
    Applied {
        /// The entry that it came in first.
        number: u64,
        /// What it did.
        outcome: Outcome,
    },
    /// Its time is over. It may still be decided.
    Expired,
    /// Too many are under way. It was not sent.
    Busy,
    /// It may not be. It was not sent.
    Invalid,
}

#[derive(Debug)]
struct Pending {
    command: Command,
    until_ms: u64,
    next_ms: u64,
    next_voter: usize,
    /// A voter said that this one leads.
    leader: Option<u64>,
}

/// Those under way.
#[derive(Debug, Default)]
pub struct Proposals {
    pending: BTreeMap<Key, Pending>,
    budget: Option<TokenBucket>,
}

impl Proposals {
    /// A new one; `next_voter` spreads first questions over voters. False if there is no room.
    pub fn add(&mut self, now_ms: u64, for_ms: u64, command: Command, next_voter: usize) -> bool {
        if self.pending.contains_key(&command.key) {
            return true;
        }
        if self.pending.len() >= MAX_PROPOSALS {
            return false;
        }
        let until_ms = now_ms.saturating_add(for_ms);
        self.pending
            .insert(command.key, Pending { command, until_ms, next_ms: now_ms, next_voter, leader: None });
        true
    }

    /// Whether it is under way.
    #[must_use]
    pub fn contains(&self, key: Key) -> bool {
        self.pending.contains_key(&key)
    }

    /// How many are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// A voter would not.
    pub fn declined(&mut self, now_ms: u64, key: Key, leader: Option<u64>) {
        if let Some(pending) = self.pending.get_mut(&key) {
            pending.leader = leader;
            // Two that send each other on are not to be asked at every message. One that names nobody has no room now, or
            // knows of no leader.
            if leader.is_some() {
                pending.next_ms = pending.next_ms.min(now_ms.saturating_add(REDIRECT_MS));
            }
        }
    }

    /// A command was decided.
    pub fn applied(&mut self, key: Key) -> bool {
        self.pending.remove(&key).is_some()
    }

    /// Those that a later state remembers as decided.
    pub fn replaced(&mut self, registers: &Registers) -> Vec<(Key, ProposalResult)> {
        let keys: Vec<Key> = self.pending.keys().copied().collect();
        let done = keys.into_iter().filter_map(|key| {
            let (number, outcome) = registers.outcome(key)?;
            self.pending.remove(&key)?;
            Some((key, ProposalResult::Applied { number, outcome }))
        });
        done.collect()
    }

    /// Those whose time is over.
    pub fn expired(&mut self, now_ms: u64) -> Vec<Key> {
        let over: Vec<Key> =
            self.pending.iter().filter(|(_, o)| o.until_ms <= now_ms).map(|(k, _)| *k).collect();
        over.iter().for_each(|k| drop(self.pending.remove(k)));
        over
    }

    /// Those to be sent now: the command, and to which of `voters`. `known_leader` is the leader as this front knows it.
    pub fn due(&mut self, now_ms: u64, voters: &[u64], known_leader: Option<u64>) -> Vec<(u64, Command)> {
        let mut due = Vec::new();
        if voters.is_empty() {
            return due;
        }
        let budget = self.budget.get_or_insert_with(|| TokenBucket::new(now_ms, SENDS_PER_S, SEND_BURST));
        // Those that have waited longest go first.
        let mut waiting: Vec<&mut Pending> =
            self.pending.values_mut().filter(|o| o.next_ms <= now_ms).collect();
        waiting.sort_by_key(|o| o.next_ms);
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
