//! The agreed state: registers by subject, the voters, and the idempotency keys of the latest commands.
//!
//! It is a pure function of the log entries: two fronts that applied the same number of entries have the same
//! bytes, and a snapshot consists of those bytes. A command applies only to the version that it expects. A
//! command with a key that occurred before changes nothing and gets its first outcome again.

use crate::types::{
    Command, Config, Entry, Hash, Key, MAX_BODY_BYTES, MAX_VOTERS, Operation, Subject, VoterId, ZERO_HASH,
    chain_hash,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use thiserror::Error;

/// Maximum number of registers.
pub const MAX_REGISTERS: usize = 4_096;
/// Maximum size of all bodies together, in bytes.
pub const MAX_TOTAL_BYTES: usize = 4 << 20;
/// Number of the latest idempotency keys that are kept with their outcomes.
pub const MAX_KEYS: usize = 4_096;
/// Maximum size of a snapshot, in bytes: all bodies, and 128 bytes for each register and each key.
pub const MAX_SNAPSHOT_BYTES: usize = MAX_TOTAL_BYTES + 128 * (MAX_REGISTERS + MAX_KEYS) + 1_024;

/// Effect of a command. It is the same on every front.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The register now has the command's body.
    Applied,
    /// Not the expected version: the register is unchanged.
    Conflict {
        /// Number of the entry that last wrote the register, 0 if it is empty.
        current: u64,
        /// The front that wrote it, 0 if it is empty.
        author: u64,
        /// Key of the command that wrote it, 0 if it is empty.
        key: Key,
    },
    /// [`MAX_REGISTERS`] or [`MAX_TOTAL_BYTES`] would be exceeded.
    Full,
    /// The command ended its configuration; the configuration with this number begins.
    Reconfigured(u32),
    /// The command expected another configuration; the one with this number continues.
    Stale(u32),
    /// The body is too long, or the voters are not [valid](valid_voters).
    Invalid,
}

/// A register that is not empty.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Register {
    /// Number of the entry that last wrote it.
    pub number: u64,
    /// Key of that entry's command.
    pub key: Key,
    /// The front that proposed that command.
    pub author: u64,
    /// Content; never empty.
    pub body: Vec<u8>,
}

/// The bytes are not a snapshot of the agreed state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the bytes are not a valid snapshot of the agreed state")]
pub struct InvalidSnapshot;

/// The agreed state after an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registers {
    number: u64,
    hash: Hash,
    /// Derived from the first voters. The log of another fleet, or of the same fleet started anew, has
    /// another id.
    log_id: u64,
    config: Option<Config>,
    /// The configuration since which the set of voters is unchanged. Leases refer to it, so compaction does
    /// not affect them.
    voters_since: u32,
    registers: BTreeMap<Subject, Register>,
    /// The latest keys, oldest first, each with its first entry and its outcome.
    keys: VecDeque<(Key, u64, Outcome)>,
    /// Index of `keys`.
    #[serde(skip)]
    outcomes: BTreeMap<Key, (u64, Outcome)>,
    /// Size of all bodies.
    #[serde(skip)]
    bytes: usize,
}

impl Default for Registers {
    fn default() -> Self {
        Self {
            number: 0,
            hash: ZERO_HASH,
            log_id: 0,
            config: None,
            voters_since: 0,
            registers: BTreeMap::new(),
            keys: VecDeque::new(),
            outcomes: BTreeMap::new(),
            bytes: 0,
        }
    }
}

/// Whether this is a valid list of voters: 1 to [`MAX_VOTERS`], in ascending order, each front once, no store
/// 0.
#[must_use]
pub fn valid_voters(voters: &[VoterId]) -> bool {
    (1..=MAX_VOTERS).contains(&voters.len())
        && voters.iter().all(|v| v.store != 0)
        && voters.windows(2).all(|w| matches!(w, [a, b] if a.front < b.front))
}

impl Registers {
    /// The state before the first entry, with the first voters. `None` if the list of voters is not valid.
    #[must_use]
    pub fn genesis(voters: &[VoterId]) -> Option<Self> {
        let mut h = Sha256::new();
        for v in voters {
            h.update(v.front.to_be_bytes());
            h.update(v.store.to_be_bytes());
        }
        let log_id = hash_prefix(&h.finalize().into()).max(1);
        let config = Some(Config { number: 1, first: 1, voters: voters.to_vec() });
        valid_voters(voters).then(|| Self { log_id, config, voters_since: 1, ..Self::default() })
    }

    /// Number of the last entry, 0 before the first.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Hash of the last entry.
    #[must_use]
    pub fn hash(&self) -> &Hash {
        &self.hash
    }

    /// Id of the log that this state belongs to, 0 for none.
    #[must_use]
    pub fn log_id(&self) -> u64 {
        self.log_id
    }

    /// The present configuration, once there is one.
    #[must_use]
    pub fn config(&self) -> Option<&Config> {
        self.config.as_ref()
    }

    /// Number of the present configuration, 0 before the first.
    #[must_use]
    pub fn config_number(&self) -> u32 {
        self.config.as_ref().map_or(0, |c| c.number)
    }

    /// The configuration since which the set of voters is unchanged.
    #[must_use]
    pub fn voters_since(&self) -> u32 {
        self.voters_since
    }

    /// The register, if it is not empty.
    #[must_use]
    pub fn get(&self, subject: Subject) -> Option<&Register> {
        self.registers.get(&subject)
    }

    /// All registers that are not empty.
    pub fn iter(&self) -> impl Iterator<Item = (&Subject, &Register)> {
        self.registers.iter()
    }

    /// Number of the first entry with this key, and its outcome, if the key is still kept.
    #[must_use]
    pub fn outcome(&self, key: Key) -> Option<(u64, Outcome)> {
        self.outcomes.get(&key).copied()
    }

    /// Applies the command of the next entry. A command whose key occurred before changes nothing and gets
    /// its first outcome.
    pub fn apply(&mut self, command: Command) -> (Entry, Outcome) {
        let number = self.number.saturating_add(1);
        let hash = chain_hash(&self.hash, number, &command);
        (self.number, self.hash) = (number, hash);
        let outcome = match self.outcome(command.key) {
            Some((_, first)) => first,
            None => {
                let outcome = self.change(number, &command);
                self.remember(command.key, number, outcome);
                outcome
            }
        };
        (Entry { number, hash, command }, outcome)
    }

    fn change(&mut self, number: u64, command: &Command) -> Outcome {
        match &command.operation {
            Operation::Put { subject, expects, body } => {
                if body.len() > MAX_BODY_BYTES {
                    return Outcome::Invalid;
                }
                let old = self.registers.get(subject);
                let current = old.map_or(0, |r| r.number);
                if current != *expects {
                    let (author, key) = old.map_or((0, Key(0)), |r| (r.author, r.key));
                    return Outcome::Conflict { current, author, key };
                }
                let freed = old.map_or(0, |r| r.body.len());
                if body.is_empty() {
                    self.registers.remove(subject);
                    self.bytes = self.bytes.saturating_sub(freed);
                    return Outcome::Applied;
                }
                let bytes = self.bytes.saturating_sub(freed).saturating_add(body.len());
                if bytes > MAX_TOTAL_BYTES || (old.is_none() && self.registers.len() >= MAX_REGISTERS) {
                    return Outcome::Full;
                }
                self.bytes = bytes;
                let (key, author) = (command.key, command.author);
                self.registers.insert(*subject, Register { number, key, author, body: body.clone() });
                Outcome::Applied
            }
            Operation::Voters { expects, voters } => {
                let here = self.config_number();
                if *expects != here {
                    return Outcome::Stale(here);
                }
                if !valid_voters(voters) {
                    return Outcome::Invalid;
                }
                let next = here.saturating_add(1);
                if self.config.as_ref().is_none_or(|c| c.voters != *voters) {
                    self.voters_since = next;
                }
                let first = number.saturating_add(1);
                self.config = Some(Config { number: next, first, voters: voters.clone() });
                Outcome::Reconfigured(next)
            }
        }
    }

    fn remember(&mut self, key: Key, number: u64, outcome: Outcome) {
        if self.keys.len() >= MAX_KEYS
            && let Some((old, ..)) = self.keys.pop_front()
        {
            self.outcomes.remove(&old);
        }
        self.keys.push_back((key, number, outcome));
        self.outcomes.insert(key, (number, outcome));
    }

    /// The state as bytes.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Restores a state from a snapshot.
    ///
    /// # Errors
    ///
    /// [`InvalidSnapshot`] if [`Registers::snapshot`] cannot have produced the bytes.
    pub fn load(bytes: &[u8]) -> Result<Self, InvalidSnapshot> {
        if bytes.len() > MAX_SNAPSHOT_BYTES {
            return Err(InvalidSnapshot);
        }
        let mut new: Self = match postcard::take_from_bytes(bytes) {
            Ok((new, [])) => new,
            _ => return Err(InvalidSnapshot),
        };
        new.bytes = new.registers.values().map(|r| r.body.len()).sum();
        new.outcomes = new.keys.iter().map(|(k, n, o)| (*k, (*n, *o))).collect();
        let valid = new.registers.len() <= MAX_REGISTERS
            && new.bytes <= MAX_TOTAL_BYTES
            && new.registers.values().all(|r| {
                (1..=MAX_BODY_BYTES).contains(&r.body.len()) && (1..=new.number).contains(&r.number)
            })
            && new.keys.len() <= MAX_KEYS
            && new.outcomes.len() == new.keys.len()
            && new.keys.iter().all(|(_, n, _)| (1..=new.number).contains(n))
            && new.config.as_ref().is_some_and(|c| {
                c.number >= 1
                    && (1..=c.number).contains(&new.voters_since)
                    && (1..=new.number.saturating_add(1)).contains(&c.first)
                    && valid_voters(&c.voters)
            })
            && new.log_id != 0
            && (new.number > 0 || new.hash == ZERO_HASH);
        // Serializing again must give the same bytes: each state has exactly one form.
        if valid && new.snapshot() == bytes { Ok(new) } else { Err(InvalidSnapshot) }
    }
}

/// The first eight bytes of a hash, enough to detect that two hashes differ.
#[must_use]
pub fn hash_prefix(hash: &Hash) -> u64 {
    hash.iter().take(8).fold(0, |sum, b| sum << 8 | u64::from(*b))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn voters() -> Vec<VoterId> {
        [1, 2, 3].map(|front| VoterId { front, store: front + 100 }).to_vec()
    }

    fn put(key: u128, number: u64, expects: u64, body: &[u8]) -> Command {
        let subject = Subject { space: 1, number };
        Command {
            key: Key(key),
            author: 7,
            operation: Operation::Put { subject, expects, body: body.to_vec() },
        }
    }

    #[test]
    fn a_command_applies_to_the_expected_version_and_once() {
        let mut r = Registers::genesis(&voters()).expect("valid voters");
        assert_eq!(r.apply(put(1, 0, 0, b"a")).1, Outcome::Applied);
        let conflict = Outcome::Conflict { current: 1, author: 7, key: Key(1) };
        assert_eq!(r.apply(put(2, 0, 0, b"b")).1, conflict);
        assert_eq!(r.apply(put(3, 0, 1, b"c")).1, Outcome::Applied);
        // Repeated commands get their first outcome, although a new one would get another now.
        assert_eq!(
            (r.apply(put(1, 0, 0, b"a")).1, r.apply(put(2, 0, 0, b"b")).1),
            (Outcome::Applied, conflict)
        );
        assert_eq!(
            (r.number(), r.get(Subject { space: 1, number: 0 }).expect("not empty").body.as_slice()),
            (5, &b"c"[..])
        );
        assert_eq!(r.apply(put(4, 0, 3, b"")).1, Outcome::Applied);
        assert!(r.get(Subject { space: 1, number: 0 }).is_none());
        assert_eq!(r.apply(put(5, 0, 0, &vec![0; MAX_BODY_BYTES + 1])).1, Outcome::Invalid);
    }

    #[test]
    fn registers_bytes_and_keys_are_bounded_and_a_full_snapshot_loads() {
        let mut r = Registers::genesis(&voters()).expect("valid voters");
        let body = vec![9; MAX_BODY_BYTES];
        for n in 0..(MAX_TOTAL_BYTES / MAX_BODY_BYTES) as u64 {
            assert_eq!(r.apply(put(u128::MAX - u128::from(n), n, 0, &body)).1, Outcome::Applied);
        }
        assert_eq!(r.apply(put(1, 9_999, 0, b"x")).1, Outcome::Full);
        assert_eq!(r.apply(put(2, 0, 1, b"x")).1, Outcome::Applied);
        for n in 1_000..10_000_u64 {
            r.apply(put(u128::MAX / 2 + u128::from(n), n, 0, b"y"));
        }
        assert_eq!((r.registers.len(), r.keys.len(), r.outcomes.len()), (MAX_REGISTERS, MAX_KEYS, MAX_KEYS));
        let bytes = r.snapshot();
        assert!(bytes.len() <= MAX_SNAPSHOT_BYTES, "{}", bytes.len());
        assert_eq!(Registers::load(&bytes), Ok(r));
    }

    #[test]
    fn voters_change_from_their_own_configuration_only() {
        let mut r = Registers::genesis(&voters()).expect("valid voters");
        let change = |key, expects, voters: &[VoterId]| Command {
            key: Key(key),
            author: 1,
            operation: Operation::Voters { expects, voters: voters.to_vec() },
        };
        assert_eq!(r.apply(change(1, 1, &voters())).1, Outcome::Reconfigured(2));
        assert_eq!(
            (r.voters_since(), r.config().expect("a configuration").first),
            (1, 2),
            "compaction keeps the voters"
        );
        assert_eq!(r.apply(change(2, 1, &voters())).1, Outcome::Stale(2));
        assert_eq!(r.apply(change(3, 2, &[])).1, Outcome::Invalid);
        assert_eq!(r.apply(change(4, 2, &voters()[..1])).1, Outcome::Reconfigured(3));
        assert_eq!(r.voters_since(), 3);
    }

    #[test]
    fn hostile_snapshots_are_refused() {
        let mut r = Registers::genesis(&voters()).expect("valid voters");
        for n in 0..9 {
            r.apply(put(n, n as u64, 0, b"body"));
        }
        let bytes = r.snapshot();
        for cut in 0..bytes.len() {
            assert_eq!(Registers::load(&bytes[..cut]), Err(InvalidSnapshot));
        }
        assert_eq!(Registers::load(&[0xff; 4_096]), Err(InvalidSnapshot));
        assert_eq!(
            Registers::load(&Registers::default().snapshot()),
            Err(InvalidSnapshot),
            "the state of no log"
        );
        let mut long = bytes.clone();
        long.push(0);
        assert_eq!(Registers::load(&long), Err(InvalidSnapshot));
        for at in 0..bytes.len() {
            let mut other = bytes.clone();
            other[at] ^= 0x55;
            // It may load as another valid state, but never as one that exceeds a limit.
            if let Ok(other) = Registers::load(&other) {
                assert!(other.registers.len() <= MAX_REGISTERS && other.bytes <= MAX_TOTAL_BYTES);
            }
        }
    }
}
