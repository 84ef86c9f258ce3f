//! Types of the replicated log: commands, entries with a chained hash, and configurations of voters.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Maximum size of a command's body, in bytes. A policy of a few hundred lines fits.
pub const MAX_BODY_BYTES: usize = 16 * 1024;
/// Maximum number of voters in a configuration.
pub const MAX_VOTERS: usize = 7;

/// A voter: a front together with the store it votes from. A front whose store was lost or replaced counts as
/// a different voter, because it no longer knows what it promised and might contradict it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct VoterId {
    /// The front's number, as on the exchange.
    pub front: u64,
    /// Random id of the store, drawn when the store was created and kept in it; never 0.
    pub store: u64,
}

/// A configuration: the voters that decide a range of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Config {
    /// Number of the configuration: 1 for the first, then one more for each.
    pub number: u32,
    /// Number of the first log entry that these voters decide.
    pub first: u64,
    /// The voters in ascending order, 1 to [`MAX_VOTERS`]. The count is odd except while voters are being
    /// exchanged.
    pub voters: Vec<VoterId>,
}

/// Idempotency key of a command: a command that is proposed again under the same key takes effect once. It is
/// drawn by the proposer, or derived from the state that the command follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u128);

/// Address of one register of the agreed state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Subject {
    /// Kind of content: 1 is policy.
    pub space: u8,
    /// Number of the register within its space.
    pub number: u64,
}

/// A command: the content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Command {
    /// Idempotency key.
    pub key: Key,
    /// The front that proposed it.
    pub author: u64,
    /// The change that it makes.
    pub operation: Operation,
}

/// The change that a command makes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Operation {
    /// Writes a body into a register; an empty body clears the register.
    Put {
        /// The register.
        subject: Subject,
        /// Compare-and-set condition: number of the entry that last wrote the register, 0 if it must be
        /// empty. On a mismatch the command changes nothing.
        expects: u64,
        /// New content, at most [`MAX_BODY_BYTES`] bytes.
        body: Vec<u8>,
    },
    /// Replaces the voters from the next entry on. Entries that the ended configuration decides after this
    /// one are discarded. The same voters again compact the log: it restarts from a snapshot.
    Voters {
        /// Number of the configuration that this command ends. On a mismatch the command changes nothing.
        expects: u32,
        /// The voters of the next configuration.
        voters: Vec<VoterId>,
    },
}

/// SHA-256 over an entry and all entries before it.
pub type Hash = [u8; 32];

/// The chain's initial value: the hash before the first entry.
pub const ZERO_HASH: Hash = [0; 32];

/// A decided entry. Entry numbers start at 1 and have no gaps.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Number of the entry in the log.
    pub number: u64,
    /// [`chain_hash`] of the previous entry's hash, this number and this command.
    pub hash: Hash,
    /// Content of the entry.
    pub command: Command,
}

/// The hash of the entry that follows the entry with the hash `before`.
#[must_use]
pub fn chain_hash(before: &Hash, number: u64, command: &Command) -> Hash {
    let mut h = Sha256::new();
    h.update(before);
    h.update(number.to_be_bytes());
    // Serializing these types cannot fail.
    h.update(postcard::to_stdvec(command).unwrap_or_default());
    h.finalize().into()
}

/// Size of a strict majority of `of` voters.
#[must_use]
pub fn majority(of: usize) -> usize {
    of / 2 + 1
}
