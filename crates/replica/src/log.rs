//! The log of a stream, which has one writer, and copies of it. The writer numbers its changes and keeps the
//! most recent ones unmodified, so two copies at the same position of the same writer are equal. A copy that
//! missed more than those receives a snapshot, key by key while the writer continues, and is complete again
//! once it has also applied the changes of that time.

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

/// A key, the sequence number of the change that wrote it, and its body.
pub type Entry = (Key, u64, Vec<u8>);
/// A key within a stream.
pub type Key = u64;
/// Progress of a snapshot: the log's last sequence number when the snapshot was started, and the last key
/// received.
pub type SnapshotProgress = (u64, Option<Key>);

/// Number of recent changes that a log keeps; a copy that missed more receives a snapshot.
const MAX_RECENT_CHANGES: usize = 4_096;

/// How complete a copy is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Completeness {
    /// Keys are missing.
    #[default]
    Partial,
    /// The snapshot has arrived, but changes made meanwhile are missing.
    CatchingUp,
    /// The copy equals the log at the copy's position.
    Complete,
}

/// How far a copy has progressed. Positions are ordered: completeness first, then epoch, then sequence
/// number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Position {
    /// How complete the copy is; only a complete copy may be adopted.
    pub completeness: Completeness,
    /// Epoch of the writer that sent the last change.
    pub epoch: u32,
    /// Sequence number of the last change.
    pub seq: u64,
}

impl Position {
    /// Returns whether the copy equals the log at this position.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.completeness == Completeness::Complete
    }
}

/// One change of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Sequence number.
    pub seq: u64,
    /// The changed key.
    pub key: Key,
    /// The new body; `None` deletes the key.
    pub body: Option<Vec<u8>>,
}

/// The result of applying received changes or a snapshot chunk to a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyResult {
    /// The copy contains them now, or contained them already.
    Applied,
    /// They do not follow the copy's position, or belong to an earlier epoch.
    Rejected,
    /// The copy is at its writer's position but its digest differs: it needs a snapshot.
    Diverged,
}

fn digest_of(entries: &BTreeMap<Key, (u64, Vec<u8>)>) -> u64 {
    let mut hash = SipHasher13::new();
    for (key, (seq, body)) in entries {
        hash.write_u64(*key);
        hash.write_u64(*seq);
        hash.write_u64(body.len() as u64);
        hash.write(body);
    }
    hash.finish()
}

/// Returns whether a copy is a prefix of the log whose epoch continued from `base`. A copy that is still
/// catching up under an earlier epoch is not: the changes that it waits for will never be sent.
fn is_prefix(position: Position, epoch: u32, base: (u32, u64)) -> bool {
    match position.completeness {
        Completeness::Partial => false,
        Completeness::CatchingUp => position.epoch == epoch,
        Completeness::Complete => {
            position.epoch == epoch || (position.epoch == base.0 && position.seq <= base.1)
        }
    }
}

/// The writer's log.
#[derive(Clone, Debug, Default)]
pub struct Log {
    epoch: u32,
    /// The position that this epoch continued from: the previous epoch and its last sequence number in this
    /// log. Later changes of that epoch's writer are not part of this log; whether changes of other epochs
    /// are is not known.
    base: (u32, u64),
    /// Sequence number of the last change.
    head_seq: u64,
    /// By key: sequence number of the change that wrote it, and body.
    entries: BTreeMap<Key, (u64, Vec<u8>)>,
    /// Sequence number of the change that created each key; only for keys that this writer created.
    created_seqs: BTreeMap<Key, u64>,
    /// The most recent changes, without a gap up to `head_seq`.
    recent_changes: VecDeque<Change>,
}

impl Log {
    /// Continues a copy under a higher epoch.
    #[must_use]
    pub fn adopt(copy: LogCopy, epoch: u32) -> Self {
        // The copy has no earlier changes, so copies that are behind it receive a snapshot.
        let head_seq = copy.position.seq;
        let (created_seqs, recent_changes) = (BTreeMap::new(), VecDeque::new());
        Self {
            epoch,
            base: (copy.position.epoch, head_seq),
            head_seq,
            entries: copy.entries,
            created_seqs,
            recent_changes,
        }
    }

    /// The same writer continues under a higher epoch, because another front requested its own.
    pub fn raise_epoch(&mut self, epoch: u32) {
        if epoch > self.epoch {
            (self.base, self.epoch) = ((self.epoch, self.head_seq), epoch);
        }
    }

    /// The writer's epoch.
    #[must_use]
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// The position that the epoch continued from: the previous epoch and the sequence number in it.
    #[must_use]
    pub fn base(&self) -> (u32, u64) {
        self.base
    }

    /// Sequence number of the last change.
    #[must_use]
    pub fn head_seq(&self) -> u64 {
        self.head_seq
    }

    /// Keys and bodies.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &[u8])> {
        self.entries.iter().map(|(key, (_, body))| (*key, body.as_slice()))
    }

    /// Returns whether this writer created a key after a change; a front that continued from that change
    /// cannot have it.
    #[must_use]
    pub fn was_created_after(&self, key: Key, seq: u64) -> bool {
        self.created_seqs.get(&key).is_some_and(|created_seq| *created_seq > seq)
    }

    /// Keys that were deleted after a change and not written again, as far as recent changes go back.
    pub fn deleted_after(&self, seq: u64) -> impl Iterator<Item = Key> {
        let deletions = self.recent_changes.iter().filter(move |c| c.seq > seq && c.body.is_none());
        deletions.map(|c| c.key).filter(|key| !self.entries.contains_key(key))
    }

    /// Returns whether a key exists and was not written in this epoch.
    #[must_use]
    pub fn is_unchanged_since_base(&self, key: Key) -> bool {
        self.entries.get(&key).is_some_and(|(seq, _)| *seq <= self.base.1)
    }

    /// Number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the log has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a key exists.
    #[must_use]
    pub fn contains_key(&self, key: Key) -> bool {
        self.entries.contains_key(&key)
    }

    fn append(&mut self, key: Key, body: Option<Vec<u8>>) {
        self.head_seq += 1;
        match &body {
            Some(body) => {
                if self.entries.insert(key, (self.head_seq, body.clone())).is_none() {
                    self.created_seqs.insert(key, self.head_seq);
                }
            }
            None => {
                self.entries.remove(&key);
                self.created_seqs.remove(&key);
            }
        }
        self.recent_changes.push_back(Change { seq: self.head_seq, key, body });
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
        }
    }

    /// Writes a key.
    pub fn put(&mut self, key: Key, body: Vec<u8>) {
        self.append(key, Some(body));
    }

    /// Deletes a key and returns whether it existed.
    pub fn remove(&mut self, key: Key) -> bool {
        let exists = self.entries.contains_key(&key);
        if exists {
            self.append(key, None);
        }
        exists
    }

    /// Sequence number of the last change that is no longer among the recent ones.
    fn trimmed_seq(&self) -> u64 {
        self.head_seq - self.recent_changes.len() as u64
    }

    /// Digest of all entries.
    #[must_use]
    pub fn digest(&self) -> u64 {
        digest_of(&self.entries)
    }

    /// Returns whether a copy at this position can catch up by changes alone: it is a prefix of this log, and
    /// all changes that it lacks are among the recent ones.
    #[must_use]
    pub fn can_catch_up(&self, position: Position) -> bool {
        is_prefix(position, self.epoch, self.base) && self.has_changes_since(position.seq)
    }

    /// Returns whether all changes after `seq` are among the recent ones. A snapshot that was started at
    /// `seq` can be continued only then.
    #[must_use]
    pub fn has_changes_since(&self, seq: u64) -> bool {
        (self.trimmed_seq()..=self.head_seq).contains(&seq)
    }

    /// Changes after `after_seq` up to about `max_bytes`, but at least one if there are any, and the sequence
    /// number of the last one.
    #[must_use]
    pub fn changes_after(&self, after_seq: u64, max_bytes: usize) -> (Vec<Change>, u64) {
        let skip = after_seq.saturating_sub(self.trimmed_seq()) as usize;
        let (mut changes, mut used, mut last_seq) = (Vec::new(), 0, after_seq);
        for change in self.recent_changes.iter().skip(skip) {
            used += 16 + change.body.as_ref().map_or(0, Vec::len);
            if used > max_bytes && !changes.is_empty() {
                break;
            }
            last_seq = change.seq;
            changes.push(change.clone());
        }
        (changes, last_seq)
    }

    /// Entries with keys after `after_key`, up to about `max_bytes`, and the last key of them; `None` if they
    /// reach the end of the log's keys.
    #[must_use]
    pub fn entries_after(&self, after_key: Option<Key>, max_bytes: usize) -> (Vec<Entry>, Option<Key>) {
        let (mut entries, mut used): (Vec<Entry>, usize) = (Vec::new(), 0);
        let range = match after_key {
            Some(key) => (std::ops::Bound::Excluded(key), std::ops::Bound::Unbounded),
            None => (std::ops::Bound::Unbounded, std::ops::Bound::Unbounded),
        };
        for (key, (seq, body)) in self.entries.range(range) {
            used += 24 + body.len();
            if used > max_bytes && !entries.is_empty() {
                let last_key = entries.last().map(|(key, ..)| *key);
                return (entries, last_key);
            }
            entries.push((*key, *seq, body.clone()));
        }
        (entries, None)
    }
}

/// A copy of a log on another front.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LogCopy {
    position: Position,
    /// By key: sequence number of the change that wrote it, and body.
    entries: BTreeMap<Key, (u64, Vec<u8>)>,
    /// Progress of the snapshot that is being received.
    snapshot_progress: Option<SnapshotProgress>,
    /// After a snapshot the copy is complete once it reaches this sequence number.
    complete_from_seq: u64,
}

impl LogCopy {
    /// The copy's position.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// Progress of the snapshot that is being received.
    #[must_use]
    pub fn snapshot_progress(&self) -> Option<SnapshotProgress> {
        self.snapshot_progress
    }

    /// Keys and bodies.
    pub fn iter(&self) -> impl Iterator<Item = (Key, &[u8])> {
        self.entries.iter().map(|(key, (_, body))| (*key, body.as_slice()))
    }

    /// Number of keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the copy has no keys.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Digest of all entries.
    #[must_use]
    pub fn digest(&self) -> u64 {
        digest_of(&self.entries)
    }

    /// Applies the changes after `after_seq` up to `last_seq`. Changes that the copy already has, or that are
    /// received twice, have no effect.
    pub fn apply_changes(
        &mut self,
        epoch: u32,
        base: (u32, u64),
        after_seq: u64,
        last_seq: u64,
        digest: Option<u64>,
        changes: &[Change],
    ) -> ApplyResult {
        let before = self.position;
        if !is_prefix(before, epoch, base) || after_seq > before.seq || last_seq < after_seq {
            return ApplyResult::Rejected;
        }
        for change in changes.iter().filter(|c| c.seq > before.seq && c.seq <= last_seq) {
            // The snapshot may already contain a later change of this key.
            if self.entries.get(&change.key).is_some_and(|(seq, _)| *seq > change.seq) {
                continue;
            }
            match &change.body {
                Some(body) => {
                    self.entries.insert(change.key, (change.seq, body.clone()));
                }
                None => {
                    self.entries.remove(&change.key);
                }
            }
        }
        let seq = last_seq.max(before.seq);
        let completeness =
            if seq >= self.complete_from_seq { Completeness::Complete } else { before.completeness };
        self.position = Position { completeness, epoch, seq };
        if digest.is_some_and(|d| seq == last_seq && self.position.is_complete() && d != self.digest()) {
            self.position.completeness = Completeness::Partial;
            return ApplyResult::Diverged;
        }
        ApplyResult::Applied
    }

    /// Applies a chunk of a snapshot; `head_seq` was the log's last sequence number when the chunk was sent.
    /// Chunks have to arrive in order: one that does not follow the last is rejected, and the writer
    /// continues from the progress that the copy reports.
    pub fn apply_snapshot_chunk(
        &mut self,
        epoch: u32,
        snapshot_seq: u64,
        head_seq: u64,
        after_key: Option<Key>,
        last_key: Option<Key>,
        entries: Vec<Entry>,
    ) -> ApplyResult {
        if epoch < self.position.epoch {
            return ApplyResult::Rejected;
        }
        let follows = match self.snapshot_progress {
            Some((seq, last_received)) if seq == snapshot_seq && self.position.epoch == epoch => {
                last_received == after_key
            }
            _ => false,
        };
        if !follows && after_key.is_some() {
            return ApplyResult::Rejected;
        }
        if self.position.completeness > Completeness::Partial
            && self.position.epoch == epoch
            && self.position.seq >= snapshot_seq
        {
            return ApplyResult::Rejected;
        }
        let replaced: Vec<Key> = self
            .entries
            .keys()
            .copied()
            .filter(|k| after_key.is_none_or(|after| *k > after) && last_key.is_none_or(|last| *k <= last))
            .collect();
        replaced.into_iter().for_each(|key| {
            self.entries.remove(&key);
        });
        for (key, seq, body) in entries {
            if after_key.is_none_or(|after| key > after) && last_key.is_none_or(|last| key <= last) {
                self.entries.insert(key, (seq, body));
            }
        }
        let completeness = match last_key {
            Some(_) => Completeness::Partial,
            None if head_seq > snapshot_seq => Completeness::CatchingUp,
            None => Completeness::Complete,
        };
        self.position = Position { completeness, epoch, seq: snapshot_seq };
        self.complete_from_seq = head_seq;
        self.snapshot_progress = last_key.map(|last| (snapshot_seq, Some(last)));
        ApplyResult::Applied
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[derive(Clone, Debug)]
    enum Step {
        Put(Key, u8),
        Remove(Key),
        /// Sends a message to copy 0 or 1; it arrives 0, 1 or 2 times.
        Send(usize, u8),
        /// The writer dies, and the most complete copy is adopted.
        Adopt,
    }

    fn step() -> impl Strategy<Value = Step> {
        prop_oneof![
            4 => (0..12u64, any::<u8>()).prop_map(|(key, byte)| Step::Put(key, byte)),
            3 => (0..12u64).prop_map(Step::Remove),
            6 => (0..2usize, 0..3u8).prop_map(|(copy, times)| Step::Send(copy, times)),
            1 => Just(Step::Adopt),
        ]
    }

    /// Sends the writer's next message to a copy, as often as `times` says.
    fn send(log: &Log, copy: &mut LogCopy, times: u8) {
        let max_bytes = 40;
        if log.can_catch_up(copy.position()) {
            let after_seq = copy.position().seq;
            let (changes, last_seq) = log.changes_after(after_seq, max_bytes);
            let digest = (last_seq == log.head_seq()).then(|| log.digest());
            for _ in 0..times {
                copy.apply_changes(log.epoch(), log.base(), after_seq, last_seq, digest, &changes);
            }
        } else {
            let (snapshot_seq, after_key) = match copy.snapshot_progress() {
                Some((snapshot_seq, last_received))
                    if copy.position().epoch == log.epoch() && log.has_changes_since(snapshot_seq) =>
                {
                    (snapshot_seq, last_received)
                }
                _ => (log.head_seq(), None),
            };
            let (entries, last_key) = log.entries_after(after_key, max_bytes);
            for _ in 0..times {
                copy.apply_snapshot_chunk(
                    log.epoch(),
                    snapshot_seq,
                    log.head_seq(),
                    after_key,
                    last_key,
                    entries.clone(),
                );
            }
        }
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

        /// Messages are lost or duplicated and writers are replaced: the copies still become equal to the
        /// log, and every complete copy equals the log as it was at the copy's position.
        #[test]
        fn copies_become_equal(steps in proptest::collection::vec(step(), 1..120)) {
            let mut log = Log::default();
            let complete = Position { completeness: Completeness::Complete, ..Position::default() };
            let mut copies = [LogCopy { position: complete, ..LogCopy::default() }, LogCopy::default()];
            let mut states: BTreeMap<(u32, u64), BTreeMap<Key, Vec<u8>>> = BTreeMap::new();
            let log_entries =
                |log: &Log| log.iter().map(|(k, b)| (k, b.to_vec())).collect::<BTreeMap<_, _>>();
            states.insert((0, 0), log_entries(&log));
            let mut checked = 0u32;
            for step in steps {
                match step {
                    Step::Put(key, byte) => log.put(key, vec![byte; usize::from(byte % 30)]),
                    Step::Remove(key) => { log.remove(key); }
                    Step::Send(copy, times) => send(&log, &mut copies[copy], times),
                    Step::Adopt => {
                        let complete = copies.iter().filter(|c| c.position().is_complete());
                        let best = complete.max_by_key(|c| c.position()).cloned();
                        if let Some(copy) = best { log = Log::adopt(copy, log.epoch() + 1); }
                    }
                }
                states.insert((log.epoch(), log.head_seq()), log_entries(&log));
                for copy in copies.iter().filter(|c| c.position().is_complete()) {
                    // Only states of the same epoch count: another writer reuses the sequence numbers.
                    let position = copy.position();
                    if let Some(state) = states.get(&(position.epoch, position.seq)) {
                        let copied: BTreeMap<Key, Vec<u8>> =
                            copy.iter().map(|(k, b)| (k, b.to_vec())).collect();
                        prop_assert_eq!(&copied, state, "at {:?}", position);
                        checked += 1;
                    }
                }
            }
            prop_assert!(checked > 0, "complete copies were checked");
            for copy in &mut copies {
                for _ in 0..200 { send(&log, copy, 1); }
                prop_assert_eq!(
                    copy.position(),
                    Position { completeness: Completeness::Complete, epoch: log.epoch(), seq: log.head_seq() }
                );
                prop_assert_eq!(copy.digest(), log.digest());
                let copied = copy.iter().map(|(k, b)| (k, b.to_vec())).collect::<BTreeMap<_, _>>();
                prop_assert_eq!(copied, log_entries(&log));
            }
        }
    }

    #[test]
    fn a_copy_that_missed_too_much_gets_a_snapshot_and_nothing_deleted_comes_back() {
        let mut log = Log::default();
        let mut copy = LogCopy::default();
        (0..10).for_each(|key| log.put(key, vec![1]));
        (0..3).for_each(|_| send(&log, &mut copy, 1));
        (0..200).for_each(|_| send(&log, &mut copy, 1));
        assert_eq!(copy.len(), 10);
        // The copy receives nothing while the log makes more changes than it keeps.
        for key in 100..100 + MAX_RECENT_CHANGES as u64 {
            log.put(key, vec![2]);
            log.remove(key);
        }
        (0..10).for_each(|key| {
            log.remove(key);
        });
        assert!(!log.can_catch_up(copy.position()), "some changes that it lacks are no longer kept");
        (0..50).for_each(|_| send(&log, &mut copy, 1));
        assert_eq!((copy.len(), copy.position().seq), (0, log.head_seq()));
    }

    #[test]
    fn changes_of_the_old_writer_after_the_new_ones_base_are_no_prefix() {
        let mut old = Log::default();
        let (mut adopted, mut ahead) = (LogCopy::default(), LogCopy::default());
        old.put(1, vec![1]);
        (0..5).for_each(|_| send(&old, &mut adopted, 1));
        old.put(2, vec![2]);
        (0..5).for_each(|_| send(&old, &mut ahead, 1));
        let mut new = Log::adopt(adopted, 1);
        new.put(3, vec![3]);
        assert!(!new.can_catch_up(ahead.position()), "key 2 is not in the new writer's log");
        (0..20).for_each(|_| send(&new, &mut ahead, 1));
        assert_eq!(ahead.iter().map(|(k, _)| k).collect::<Vec<_>>(), [1, 3]);
        // Messages of the old writer, and of an earlier snapshot, are rejected.
        assert_eq!(
            ahead.apply_changes(0, (0, 0), 0, 9, None, &[Change { seq: 9, key: 9, body: Some(vec![]) }]),
            ApplyResult::Rejected
        );
        assert_eq!(
            ahead.apply_snapshot_chunk(0, 50, 50, None, None, vec![(9, 9, vec![])]),
            ApplyResult::Rejected
        );
    }

    #[test]
    fn a_diverged_copy_is_detected() {
        let mut log = Log::default();
        let mut copy = LogCopy::default();
        log.put(1, vec![1]);
        (0..5).for_each(|_| send(&log, &mut copy, 1));
        copy.entries.insert(7, (1, vec![7]));
        let seq = copy.position().seq;
        let digest = Some(log.digest());
        assert_eq!(copy.apply_changes(0, (0, 0), seq, seq, digest, &[]), ApplyResult::Diverged);
        assert!(!copy.position().is_complete(), "it must not be adopted until a snapshot has repaired it");
        (0..5).for_each(|_| send(&log, &mut copy, 1));
        assert_eq!(copy.digest(), log.digest());
    }
}
