//! Records and the rules by which two versions of a record merge.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum size of a record's body, bytes: a record must fit into one datagram.
pub const MAX_BODY_BYTES: usize = 900;
/// Maximum number of records held.
const MAX_RECORDS: usize = 4_096;
/// An expired record is kept this long, so that a front whose clock is behind cannot bring back an older
/// version of it; milliseconds.
const EXPIRED_RETENTION_MS: u64 = 120_000;
/// Maximum time from now to a record's expiry, milliseconds (31 days).
const MAX_LIFETIME_MS: u64 = 31 * 86_400_000;

/// Identifies a record. The space determines the kind of content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// 1: announced peaks. [`FIRST_EPHEMERAL_SPACE`] and above: ephemeral records.
    pub space: u8,
    /// Number within the space.
    pub number: u64,
}

/// Records of this space and above are ephemeral: a new version soon replaces them. They are pushed to peers,
/// but are neither listed in digests nor kept across a restart.
pub const FIRST_EPHEMERAL_SPACE: u8 = 128;

impl Id {
    /// Whether the record is ephemeral; see [`FIRST_EPHEMERAL_SPACE`].
    #[must_use]
    pub fn is_ephemeral(&self) -> bool {
        self.space >= FIRST_EPHEMERAL_SPACE
    }
}

/// Versions are ordered by counter, then by author, independently of any clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// One more than the counter of the version that the author held before.
    pub counter: u64,
    /// Number of the front that created this version.
    pub author: u64,
}

/// One version of a record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Identifies the record.
    pub id: Id,
    /// The version.
    pub version: Version,
    /// The record has no effect after this time, Unix milliseconds.
    pub expires_ms: u64,
    /// Content, opaque to this crate.
    pub body: Vec<u8>,
}

impl Record {
    /// The key by which one of two records with the same id wins. Expiry and body only break a tie between
    /// two records with the same author and counter, which a correct author never creates.
    fn precedence(&self) -> (Version, u64, &[u8]) {
        (self.version, self.expires_ms, &self.body)
    }
}

/// The result of merging a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// The record is new or newer than the one held, and was stored.
    Applied,
    /// The record is the same as the one held, or older.
    NotNewer,
    /// The record expired, expires too far in the future or is too large, or the maximum number of records is
    /// held.
    Rejected,
}

/// All records that a front holds, by id.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Records(BTreeMap<Id, Record>);

impl Records {
    /// Stores a record if it is valid and newer than the one held.
    pub fn merge(&mut self, now_ms: u64, record: Record) -> MergeResult {
        let expired = record.expires_ms.saturating_add(EXPIRED_RETENTION_MS) <= now_ms;
        let too_long = record.expires_ms > now_ms.saturating_add(MAX_LIFETIME_MS);
        if expired || too_long || record.body.len() > MAX_BODY_BYTES {
            return MergeResult::Rejected;
        }
        let full = self.0.len() >= MAX_RECORDS;
        match self.0.get_mut(&record.id) {
            Some(held) if held.precedence() >= record.precedence() => MergeResult::NotNewer,
            Some(held) => {
                *held = record;
                MergeResult::Applied
            }
            None if full => MergeResult::Rejected,
            None => {
                self.0.insert(record.id, record);
                MergeResult::Applied
            }
        }
    }

    /// Removes records whose retention after expiry has ended; returns how many were removed.
    pub fn remove_expired(&mut self, now_ms: u64) -> usize {
        let before = self.0.len();
        self.0.retain(|_, r| r.expires_ms.saturating_add(EXPIRED_RETENTION_MS) > now_ms);
        before - self.0.len()
    }

    /// Returns the record with this id.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<&Record> {
        self.0.get(id)
    }

    /// All records in order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.0.values()
    }

    /// Records in order of their ids, starting at `id`; all records if it is `None`.
    pub fn from(&self, id: Option<Id>) -> impl Iterator<Item = &Record> {
        let first = Id { space: 0, number: 0 };
        self.0.range(id.unwrap_or(first)..).map(|(_, r)| r)
    }

    /// Number of records held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether no records are held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn record() -> impl Strategy<Value = Record> {
        (0u64..3, 0u64..4, 0u64..3, 0u64..3, 0u8..3).prop_map(|(number, counter, author, extra_ms, byte)| {
            Record {
                id: Id { space: 1, number },
                version: Version { counter, author },
                expires_ms: 1_000_000 + extra_ms,
                body: vec![byte],
            }
        })
    }

    fn merged(all: &[Record]) -> Records {
        let mut records = Records::default();
        all.iter().for_each(|record| {
            records.merge(1_000, record.clone());
        });
        records
    }

    proptest! {
        /// Merging is commutative, associative and idempotent.
        #[test]
        fn merges_commute_associate_and_repeat(all in prop::collection::vec(record(), 0..12), split in 0usize..12, seed: u64) {
            let expected = merged(&all);
            let mut shuffled = all.clone();
            let mut state = seed | 1;
            for i in (1..shuffled.len()).rev() {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                shuffled.swap(i, (state >> 33) as usize % (i + 1));
            }
            prop_assert_eq!(&merged(&shuffled), &expected);
            let split = split.min(all.len());
            let (left, right) = (merged(&all[..split]), merged(&all[split..]));
            let grouped: Vec<Record> = right.iter().chain(left.iter()).cloned().collect();
            prop_assert_eq!(&merged(&grouped), &expected);
            let twice: Vec<Record> = all.iter().chain(&all).cloned().collect();
            prop_assert_eq!(&merged(&twice), &expected);
        }
    }

    #[test]
    fn expired_records_do_not_return_and_lifetimes_are_bounded() {
        let expiring_at = |expires_ms| Record {
            id: Id { space: 1, number: 1 },
            version: Version { counter: 1, author: 1 },
            expires_ms,
            body: vec![],
        };
        let mut records = Records::default();
        assert_eq!(records.merge(1_000_000, expiring_at(1_000_000)), MergeResult::Applied);
        assert_eq!(records.remove_expired(1_000_000 + EXPIRED_RETENTION_MS - 1), 0);
        assert_eq!(records.remove_expired(1_000_000 + EXPIRED_RETENTION_MS), 1);
        assert_eq!(
            records.merge(1_000_000 + EXPIRED_RETENTION_MS, expiring_at(1_000_000)),
            MergeResult::Rejected
        );
        assert_eq!(records.merge(0, expiring_at(MAX_LIFETIME_MS + 1)), MergeResult::Rejected);
        assert_eq!(
            records.merge(0, Record { body: vec![0; MAX_BODY_BYTES + 1], ..expiring_at(5) }),
            MergeResult::Rejected
        );
    }
}
