//! What is agreed on: commands, entries with a chained hash, configurations of voters.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a command's body at most: a policy of some hundred lines.
pub const MOST_BODY: usize = 16 * 1024;
/// Voters at most.
pub const MOST_VOTERS: usize = 7;

/// A voter: a front with the store it votes from. A front whose store was lost or replaced is another voter, so that it
/// cannot contradict what it promised before.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId {
    /// The front's number, as on the exchange.
    pub front: u64,
    /// Drawn when the store was made, and kept in it; never 0.
    pub store: u64,
}

/// Voters that decide a stretch of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Config {
    /// 1 for the first; each next one is one more.
    pub number: u32,
    /// Number of the first entry that they decide.
    pub first: u64,
    /// Who they are, ascending; 1 to [`MOST_VOTERS`], an odd number in rest.
    pub voters: Vec<VoterId>,
}

/// Names a command, so that one that is sent again counts once. Drawn by who proposes it, or derived from what it follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u128);

/// What a command is about: one register of the agreed state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// The matter: 1 is policy.
    pub space: u8,
    /// Which of that matter.
    pub number: u64,
}

/// A command: what the log's entries carry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// Its name.
    pub key: Key,
    /// The front that proposed it.
    pub author: u64,
    /// What it does.
    pub what: What,
}

/// What a command does.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum What {
    /// Puts a body into a register; an empty one clears it.
    Put {
        /// The register.
        subject: Subject,
        /// Number of the entry that the register must stand at, 0 for one that is empty; otherwise the command changes
        /// nothing.
        expects: u64,
        /// At most [`MOST_BODY`] bytes.
        body: Vec<u8>,
    },
    /// These vote from the next entry on. What is decided after it under the configuration that it ends counts as never
    /// decided. The same voters again fold the log: it begins anew behind a snapshot.
    Voters {
        /// The configuration that it ends; otherwise it changes nothing.
        expects: u32,
        /// Who votes then.
        voters: Vec<VoterId>,
    },
}

/// SHA-256 of an entry and all before it.
pub type Hash = [u8; 32];

/// The hash before the first entry.
pub const ORIGIN: Hash = [0; 32];

/// A decided entry. Numbers begin at 1 and have no gap.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its number.
    pub number: u64,
    /// [`chain`] of the entry before, its number and its command.
    pub hash: Hash,
    /// What it carries.
    pub command: Command,
}

/// The hash of an entry that follows `before`.
#[must_use]
pub fn chain(before: &Hash, number: u64, command: &Command) -> Hash {
    let mut h = Sha256::new();
    h.update(before);
    h.update(number.to_be_bytes());
    // A command of these types can always be written.
    h.update(postcard::to_stdvec(command).unwrap_or_default());
    h.finalize().into()
}

/// More than half.
#[must_use]
pub fn majority(of: usize) -> usize {
    of / 2 + 1
}
