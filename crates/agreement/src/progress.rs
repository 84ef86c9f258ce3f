//! How far a voter's disk is, so that an older copy of a store is told from a later one.
//!
//! Each opening of a store counts `boots`. A voter says them with each message, and what its disk had as synced then.
//! Whoever remembers more of the same store than a later opening has knows that this is an older copy, which has forgotten
//! what it promised. What is remembered is in memory: if all that remember restart as well, it is not found out.

use crate::store::{StoreOp, StoredLog};
use crate::types::{Config, VoterId};
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How far a disk is. It only grows: within one promise a log is replaced once, when it is first accepted under it, and
/// grows from there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Progress {
    /// The configuration.
    pub config: u32,
    /// The round promised: its number, priority and voter.
    pub promise: (u32, u32, u64),
    /// The log was accepted under that round.
    pub accepted: bool,
    /// Entries in the log.
    pub log: u64,
}

/// [`Progress`] while it is written to, with what it comes from.
#[derive(Clone, Debug, Default)]
pub struct ProgressTracker {
    progress: Progress,
    promise: Vec<u8>,
    accepted: Vec<u8>,
}

impl ProgressTracker {
    /// Of a store that was opened.
    #[must_use]
    pub fn of(config: Option<&Config>, log: &StoredLog) -> Self {
        let mut new = Self::default();
        new.progress.config = config.map_or(0, |c| c.number);
        new.progress.log = log.commands.len() as u64;
        (new.promise, new.accepted) = (log.promise.clone(), log.accepted.clone());
        new.update_rounds();
        new
    }

    fn update_rounds(&mut self) {
        let ballot: Option<Ballot> = postcard::from_bytes(&self.promise).ok();
        self.progress.promise = ballot.map_or((0, 0, 0), |b| (b.n, b.priority, b.pid));
        self.progress.accepted = !self.promise.is_empty() && self.promise == self.accepted;
    }

    /// After these writes.
    pub fn record(&mut self, ops: &[StoreOp]) {
        for op in ops {
            match op {
                StoreOp::Begin { config, .. } => {
                    *self = Self {
                        progress: Progress { config: config.number, ..Progress::default() },
                        ..Self::default()
                    };
                }
                StoreOp::Promise(round) => self.promise.clone_from(round),
                StoreOp::Accepted(round) => self.accepted.clone_from(round),
                StoreOp::Decided(_) => {}
                StoreOp::Log { from, commands } => {
                    self.progress.log = from.saturating_add(commands.len() as u64)
                }
            }
        }
        self.update_rounds();
    }

    /// How far that is.
    #[must_use]
    pub fn current(&self) -> Progress {
        self.progress
    }
}

/// What a voter says of its disk with each message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterProgress {
    /// Its store.
    pub store: u64,
    /// How often that was opened.
    pub boots: u64,
    /// How far it was when the message left.
    pub progress: Progress,
}

/// What is remembered of other voters.
#[derive(Debug, Default)]
pub struct KnownProgress {
    voters: BTreeMap<VoterId, (u64, u64, Progress)>,
}

/// Stores remembered at most; those of present voters stay.
const MAX_STORES: usize = 64;

impl KnownProgress {
    /// A voter in a run of its front says where it stands. False if more of that store is remembered: it is an older
    /// copy. A message of an earlier run is for the exchange to refuse.
    pub fn observe(&mut self, front: u64, run: u64, s: &VoterProgress, config: Option<&Config>) -> bool {
        let id = VoterId { front, store: s.store };
        if self.voters.len() >= MAX_STORES && !self.voters.contains_key(&id) {
            self.voters.retain(|v, _| config.is_some_and(|c| c.voters.contains(v)));
        }
        if self.voters.len() >= MAX_STORES {
            return true;
        }
        let (known_run, boots, progress) = self.voters.entry(id).or_insert((run, s.boots, s.progress));
        if run < *known_run {
            return true;
        }
        // An earlier opening than one that was there, or less on the disk than there was. Within a run messages may be late.
        let later = run > *known_run || s.boots > *boots;
        if s.boots < *boots || (later && s.progress < *progress) {
            return false;
        }
        (*known_run, *boots, *progress) = (run, s.boots, (*progress).max(s.progress));
        true
    }
}
