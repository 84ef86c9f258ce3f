//! Records and how they merge.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Bytes of a record's body at most: a record travels in one datagram.
pub const MAX_BODY_BYTES: usize = 900;
/// Records held at most.
const MOST: usize = 4_096;
/// A record that is over stays for so long, so that an older version of it cannot come back from a front whose
/// clock is behind; milliseconds.
const AFTERLIFE_MS: u64 = 120_000;
/// No record lasts longer from now; milliseconds (31 days).
const LONGEST_MS: u64 = 31 * 86_400_000;

/// Which record: the space tells what it is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// 1: announced peaks. From [`FIRST_EPHEMERAL_SPACE`] on: what is soon out of date.
    pub space: u8,
    /// Number within the space.
    pub number: u64,
}

/// Records of this space and higher ones say what will soon be said anew: they are passed on, but neither told in
/// digests nor kept over a restart.
pub const FIRST_EPHEMERAL_SPACE: u8 = 128;

impl Id {
    /// See [`FIRST_EPHEMERAL_SPACE`].
    #[must_use]
    pub fn is_ephemeral(&self) -> bool {
        self.space >= FIRST_EPHEMERAL_SPACE
    }
}

/// Versions are ordered by counter, then by author: no clock is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// One more than the version that its author knew.
    pub counter: u64,
    /// The front that made it.
    pub author: u64,
}

/// A record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Which.
    pub id: Id,
    /// Its version.
    pub version: Version,
    /// It means nothing after this moment, Unix milliseconds.
    pub expires_ms: u64,
    /// What it says; the exchange does not read it.
    pub body: Vec<u8>,
}

impl Record {
    /// The order by which one of two records of an id wins. Body and expiry only decide between two records of
    /// one author and counter, which an honest author never makes.
    fn rank(&self) -> (Version, u64, &[u8]) {
        (self.version, self.expires_ms, &self.body)
    }
}

/// What became of a record that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// It is newer than what was held.
    Applied,
    /// It is what was held, or older.
    NotNewer,
    /// It is over, lasts too long, is too large, or there is no room.
    Rejected,
}

/// All records of a front.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Records(BTreeMap<Id, Record>);

impl Records {
    /// Takes a record in if it is newer than what is held.
    pub fn merge(&mut self, now_ms: u64, record: Record) -> MergeResult {
        let over = record.expires_ms.saturating_add(AFTERLIFE_MS) <= now_ms;
        let too_long = record.expires_ms > now_ms.saturating_add(LONGEST_MS);
        if over || too_long || record.body.len() > MAX_BODY_BYTES {
            return MergeResult::Rejected;
        }
        let full = self.0.len() >= MOST;
        match self.0.get_mut(&record.id) {
            Some(held) if held.rank() >= record.rank() => MergeResult::NotNewer,
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

    /// Forgets what has been over for long enough; returns how many.
    pub fn sweep(&mut self, now_ms: u64) -> usize {
        let before = self.0.len();
        self.0.retain(|_, r| r.expires_ms.saturating_add(AFTERLIFE_MS) > now_ms);
        before - self.0.len()
    }

    /// One record.
    #[must_use]
    pub fn get(&self, id: &Id) -> Option<&Record> {
        self.0.get(id)
    }

    /// All records, by id.
    pub fn iter(&self) -> impl Iterator<Item = &Record> {
        self.0.values()
    }

    /// Records from an id on, in order.
    pub fn from(&self, id: Option<Id>) -> impl Iterator<Item = &Record> {
        let first = Id { space: 0, number: 0 };
        self.0.range(id.unwrap_or(first)..).map(|(_, r)| r)
    }

    /// How many.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// None.
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
        (0u64..3, 0u64..4, 0u64..3, 0u64..3, 0u8..3).prop_map(|(number, counter, author, late, byte)| {
            Record {
                id: Id { space: 1, number },
                version: Version { counter, author },
                expires_ms: 1_000_000 + late,
                body: vec![byte],
            }
        })
    }

    fn merged(all: &[Record]) -> Records {
        let mut out = Records::default();
        all.iter().for_each(|r| {
            out.merge(1_000, r.clone());
        });
        out
    }

    proptest! {
        /// In any order, any grouping and any number of repetitions, the same records come out.
        #[test]
        fn merges_commute_associate_and_repeat(all in prop::collection::vec(record(), 0..12), cut in 0usize..12, seed: u64) {
            let whole = merged(&all);
            let mut shuffled = all.clone();
            let mut state = seed | 1;
            for i in (1..shuffled.len()).rev() {
                state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
                shuffled.swap(i, (state >> 33) as usize % (i + 1));
            }
            prop_assert_eq!(&merged(&shuffled), &whole);
            let cut = cut.min(all.len());
            let (left, right) = (merged(&all[..cut]), merged(&all[cut..]));
            let grouped: Vec<Record> = right.iter().chain(left.iter()).cloned().collect();
            prop_assert_eq!(&merged(&grouped), &whole);
            let twice: Vec<Record> = all.iter().chain(&all).cloned().collect();
            prop_assert_eq!(&merged(&twice), &whole);
        }
    }

    #[test]
    fn what_is_over_cannot_come_back_and_nothing_lasts_for_ever() {
        let r = |expires_ms| Record {
            id: Id { space: 1, number: 1 },
            version: Version { counter: 1, author: 1 },
            expires_ms,
            body: vec![],
        };
        let mut records = Records::default();
        assert_eq!(records.merge(1_000_000, r(1_000_000)), MergeResult::Applied);
        assert_eq!(records.sweep(1_000_000 + AFTERLIFE_MS - 1), 0);
        assert_eq!(records.sweep(1_000_000 + AFTERLIFE_MS), 1);
        assert_eq!(records.merge(1_000_000 + AFTERLIFE_MS, r(1_000_000)), MergeResult::Rejected);
        assert_eq!(records.merge(0, r(LONGEST_MS + 1)), MergeResult::Rejected);
        assert_eq!(
            records.merge(0, Record { body: vec![0; MAX_BODY_BYTES + 1], ..r(5) }),
            MergeResult::Rejected
        );
    }
}
