//! Commands that this front proposed and that have not come yet. They are sent again under the same key, to one voter
//! after another, until they are applied here or their time is over.

use crate::fragments::Bucket;
use crate::registers::{Outcome, Registers};
use crate::types::{Command, Key};
use std::collections::BTreeMap;

/// Proposals under way at most.
pub const MOST_PROPOSALS: usize = 64;
/// One is sent again after this, milliseconds.
const AGAIN_MS: u64 = 500;
/// After a voter declined and named the leader, milliseconds.
const SOON_MS: u64 = 60;
/// Messages with proposals a second, and at once: the exchange takes 128 datagrams a second from a front.
const RATE: u64 = 48;
const BURST: u64 = 24;

/// What came of a proposal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
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
    Unsound,
}

#[derive(Debug)]
struct Open {
    command: Command,
    until_ms: u64,
    next_ms: u64,
    turn: usize,
    /// A voter said that this one leads.
    leader: Option<u64>,
}

/// Those under way.
#[derive(Debug, Default)]
pub struct Proposals {
    open: BTreeMap<Key, Open>,
    budget: Option<Bucket>,
}

impl Proposals {
    /// A new one; `turn` spreads first questions over voters. False if there is no room.
    pub fn add(&mut self, now_ms: u64, for_ms: u64, command: Command, turn: usize) -> bool {
        if self.open.contains_key(&command.key) {
            return true;
        }
        if self.open.len() >= MOST_PROPOSALS {
            return false;
        }
        let until_ms = now_ms.saturating_add(for_ms);
        self.open.insert(command.key, Open { command, until_ms, next_ms: now_ms, turn, leader: None });
        true
    }

    /// Whether it is under way.
    #[must_use]
    pub fn has(&self, key: Key) -> bool {
        self.open.contains_key(&key)
    }

    /// How many are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether none is.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// A voter would not.
    pub fn declined(&mut self, now_ms: u64, key: Key, leader: Option<u64>) {
        if let Some(open) = self.open.get_mut(&key) {
            open.leader = leader;
            // Two that send each other on are not to be asked at every message. One that names nobody has no room now, or
            // knows of no leader.
            if leader.is_some() {
                open.next_ms = open.next_ms.min(now_ms.saturating_add(SOON_MS));
            }
        }
    }

    /// A command was decided.
    pub fn applied(&mut self, key: Key) -> bool {
        self.open.remove(&key).is_some()
    }

    /// Those that a later state remembers as decided.
    pub fn replaced(&mut self, registers: &Registers) -> Vec<(Key, Answer)> {
        let keys: Vec<Key> = self.open.keys().copied().collect();
        let done = keys.into_iter().filter_map(|key| {
            let (number, outcome) = registers.outcome(key)?;
            self.open.remove(&key)?;
            Some((key, Answer::Applied { number, outcome }))
        });
        done.collect()
    }

    /// Those whose time is over.
    pub fn expired(&mut self, now_ms: u64) -> Vec<Key> {
        let over: Vec<Key> =
            self.open.iter().filter(|(_, o)| o.until_ms <= now_ms).map(|(k, _)| *k).collect();
        over.iter().for_each(|k| drop(self.open.remove(k)));
        over
    }

    /// Those to be sent now: the command, and to which of `voters`. `leads` is the leader as this front knows it.
    pub fn due(&mut self, now_ms: u64, voters: &[u64], leads: Option<u64>) -> Vec<(u64, Command)> {
        let mut due = Vec::new();
        if voters.is_empty() {
            return due;
        }
        let budget = self.budget.get_or_insert_with(|| Bucket::new(now_ms, RATE, BURST));
        // Those that have waited longest go first.
        let mut waiting: Vec<&mut Open> = self.open.values_mut().filter(|o| o.next_ms <= now_ms).collect();
        waiting.sort_by_key(|o| o.next_ms);
        for open in waiting {
            if !budget.take(now_ms) {
                break;
            }
            let to = open.leader.take().or(leads);
            let to =
                to.filter(|l| voters.contains(l)).or_else(|| voters.get(open.turn % voters.len()).copied());
            open.turn = open.turn.wrapping_add(1);
            open.next_ms = now_ms.saturating_add(AGAIN_MS);
            due.extend(to.map(|to| (to, open.command.clone())));
        }
        due
    }
}
