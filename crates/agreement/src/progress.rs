//! How far a voter's disk is, so that an older copy of a store is told from a later one.
//!
//! Each opening of a store counts `boots`. A voter says them with each message, and what its disk had as synced then.
//! Whoever remembers more of the same store than a later opening has knows that this is an older copy, which has forgotten
//! what it promised. What is remembered is in memory: if all that remember restart as well, it is not found out.

use crate::store::{KeptLog, Op};
use crate::types::{Config, VoterId};
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How far a disk is. It only grows: within one promise a log is replaced once, when it is first accepted under it, and
/// grows from there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Reach {
    /// The configuration.
    pub config: u32,
    /// The round promised: its number, priority and voter.
    pub promise: (u32, u32, u64),
    /// The log was accepted under that round.
    pub accepted: bool,
    /// Entries in the log.
    pub log: u64,
}

/// [`Reach`] while it is written to, with what it comes from.
#[derive(Clone, Debug, Default)]
pub struct Written {
    reach: Reach,
    promise: Vec<u8>,
    accepted: Vec<u8>,
}

impl Written {
    /// Of a store that was opened.
    #[must_use]
    pub fn of(config: Option<&Config>, log: &KeptLog) -> Self {
        let mut new = Self::default();
        new.reach.config = config.map_or(0, |c| c.number);
        new.reach.log = log.commands.len() as u64;
        (new.promise, new.accepted) = (log.promise.clone(), log.accepted.clone());
        new.rounds();
        new
    }

    fn rounds(&mut self) {
        let ballot: Option<Ballot> = postcard::from_bytes(&self.promise).ok();
        self.reach.promise = ballot.map_or((0, 0, 0), |b| (b.n, b.priority, b.pid));
        self.reach.accepted = !self.promise.is_empty() && self.promise == self.accepted;
    }

    /// After these writes.
    pub fn write(&mut self, ops: &[Op]) {
        for op in ops {
            match op {
                Op::Begin { config, .. } => {
                    *self = Self {
                        reach: Reach { config: config.number, ..Reach::default() },
                        ..Self::default()
                    };
                }
                Op::Promise(round) => self.promise.clone_from(round),
                Op::Accepted(round) => self.accepted.clone_from(round),
                Op::Decided(_) => {}
                Op::Log { from, commands } => self.reach.log = from.saturating_add(commands.len() as u64),
            }
        }
        self.rounds();
    }

    /// How far that is.
    #[must_use]
    pub fn reach(&self) -> Reach {
        self.reach
    }
}

/// What a voter says of its disk with each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Standing {
    /// Its store.
    pub store: u64,
    /// How often that was opened.
    pub boots: u64,
    /// How far it was when the message left.
    pub reach: Reach,
}

/// What is remembered of other voters.
#[derive(Debug, Default)]
pub struct Remembered {
    voters: BTreeMap<VoterId, (u64, u64, Reach)>,
}

/// Stores remembered at most; those of present voters stay.
const MOST: usize = 64;

impl Remembered {
    /// A voter in a run of its front says where it stands. False if more of that store is remembered: it is an older
    /// copy. A message of an earlier run is for the exchange to refuse.
    pub fn heard(&mut self, front: u64, run: u64, s: &Standing, config: Option<&Config>) -> bool {
        let id = VoterId { front, store: s.store };
        if self.voters.len() >= MOST && !self.voters.contains_key(&id) {
            self.voters.retain(|v, _| config.is_some_and(|c| c.voters.contains(v)));
        }
        if self.voters.len() >= MOST {
            return true;
        }
        let (known_run, boots, reach) = self.voters.entry(id).or_insert((run, s.boots, s.reach));
        if run < *known_run {
            return true;
        }
        // An earlier opening than one that was there, or less on the disk than there was. Within a run messages may be late.
        let later = run > *known_run || s.boots > *boots;
        if s.boots < *boots || (later && s.reach < *reach) {
            return false;
        }
        (*known_run, *boots, *reach) = (run, s.boots, (*reach).max(s.reach));
        true
    }
}
