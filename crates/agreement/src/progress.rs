//! How far a voter's disk is. It lets the other voters detect a store that was replaced by an older copy of
//! itself.
//!
//! Each opening of a store increments its `boots`. A voter sends this count with each message, together with
//! the progress that its disk had synced. A voter that remembers more progress of a store than a later
//! opening reports has found an older copy, which has lost promises. The memory is not persistent: if all
//! voters that remember the store restart too, the older copy is not detected.

use crate::store::{StoreOp, StoredLog};
use crate::types::{Config, VoterId};
use omnipaxos::ballot_leader_election::Ballot;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How far a disk is; later progress compares greater. It never decreases: under one promise the log is
/// replaced once, when it is first accepted under that promise, and only grows after that.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Progress {
    /// Number of the configuration.
    pub config: u32,
    /// The promised ballot: its number, priority and voter.
    pub promise: (u32, u32, u64),
    /// Whether the log was accepted under that ballot.
    pub accepted: bool,
    /// Number of entries in the log.
    pub log: u64,
}

/// Computes [`Progress`] from the writes to a store.
#[derive(Clone, Debug, Default)]
pub struct ProgressTracker {
    progress: Progress,
    promise: Vec<u8>,
    accepted: Vec<u8>,
}

impl ProgressTracker {
    /// The progress of a store that was just opened.
    #[must_use]
    pub fn from_store(config: Option<&Config>, log: &StoredLog) -> Self {
        let mut new = Self::default();
        new.progress.config = config.map_or(0, |c| c.number);
        new.progress.log = log.commands.len() as u64;
        (new.promise, new.accepted) = (log.promise.clone(), log.accepted.clone());
        new.update_ballots();
        new
    }

    fn update_ballots(&mut self) {
        let ballot: Option<Ballot> = postcard::from_bytes(&self.promise).ok();
        self.progress.promise = ballot.map_or((0, 0, 0), |b| (b.n, b.priority, b.pid));
        self.progress.accepted = !self.promise.is_empty() && self.promise == self.accepted;
    }

    /// Records these writes.
    pub fn record(&mut self, ops: &[StoreOp]) {
        for op in ops {
            match op {
                StoreOp::Begin { config, .. } => {
                    *self = Self {
                        progress: Progress { config: config.number, ..Progress::default() },
                        ..Self::default()
                    };
                }
                StoreOp::Promise(ballot) => self.promise.clone_from(ballot),
                StoreOp::Accepted(ballot) => self.accepted.clone_from(ballot),
                StoreOp::Decided(_) => {}
                StoreOp::Log { from, commands } => {
                    self.progress.log = from.saturating_add(commands.len() as u64)
                }
            }
        }
        self.update_ballots();
    }

    /// The progress after the recorded writes.
    #[must_use]
    pub fn current(&self) -> Progress {
        self.progress
    }
}

/// The state of a voter's disk, sent with each message between voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VoterProgress {
    /// Id of the store.
    pub store: u64,
    /// How often the store was opened.
    pub boots: u64,
    /// Synced progress when the message was sent.
    pub progress: Progress,
}

/// The latest known progress of other voters.
#[derive(Debug, Default)]
pub struct KnownProgress {
    /// By voter: run of its front, boots of its store, progress.
    voters: BTreeMap<VoterId, (u64, u64, Progress)>,
}

/// Maximum number of remembered stores; those of the present voters are kept.
const MAX_STORES: usize = 64;

impl KnownProgress {
    /// Records the progress that a voter reports in a run of its front. Returns false if more progress of
    /// that store is known: the store is an older copy. Messages of an earlier run pass here; the exchange
    /// refuses them.
    pub fn observe(
        &mut self,
        front: u64,
        run: u64,
        reported: &VoterProgress,
        config: Option<&Config>,
    ) -> bool {
        let id = VoterId { front, store: reported.store };
        if self.voters.len() >= MAX_STORES && !self.voters.contains_key(&id) {
            self.voters.retain(|v, _| config.is_some_and(|c| c.voters.contains(v)));
        }
        if self.voters.len() >= MAX_STORES {
            return true;
        }
        let (known_run, boots, progress) =
            self.voters.entry(id).or_insert((run, reported.boots, reported.progress));
        if run < *known_run {
            return true;
        }
        // An earlier opening than the known one, or a later opening with less on its disk. Within one run and
        // one opening less progress only means that the message was delayed.
        let later = run > *known_run || reported.boots > *boots;
        if reported.boots < *boots || (later && reported.progress < *progress) {
            return false;
        }
        (*known_run, *boots, *progress) = (run, reported.boots, (*progress).max(reported.progress));
        true
    }
}
