//! What a voter has promised, accepted and learned to be decided, in memory, with what has changed since it was last
//! handed to the disk. omnipaxos writes here and takes it for its storage; that a write is synced is
//! [`Voter`](crate::voter::Voter)'s to see to, by holding back what rests on it.

use crate::store::{StoreOp, StoredLog};
use crate::types::{Command, Operation};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

impl Entry for Command {
    type Snapshot = NoSnapshot;
}

/// Bytes that a command takes in a message at most.
pub(crate) fn message_bytes(command: &Command) -> usize {
    64 + match &command.operation {
        Operation::Put { body, .. } => body.len(),
        Operation::Voters { voters, .. } => 20 * voters.len(),
    }
}

/// The state, and what of it the disk has not been handed.
#[derive(Debug, Default)]
pub(crate) struct Journal {
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    log: Vec<Command>,
    bytes: usize,
    promise_changed: bool,
    accepted_changed: bool,
    decided_changed: bool,
    /// The log has changed from this index on.
    changed_from: Option<usize>,
}

impl Journal {
    /// As a store kept it; `None` if it cannot be read or contradicts itself.
    pub(crate) fn from_store(kept: StoredLog) -> Option<Self> {
        let ballot = |bytes: &[u8]| -> Option<Option<Ballot>> {
            if bytes.is_empty() { Some(None) } else { postcard::from_bytes(bytes).ok().map(Some) }
        };
        let decided = usize::try_from(kept.decided).ok().filter(|&d| d <= kept.commands.len())?;
        Some(Self {
            promise: ballot(&kept.promise)?,
            accepted: ballot(&kept.accepted)?,
            decided,
            bytes: kept.commands.iter().map(message_bytes).sum(),
            log: kept.commands,
            ..Self::default()
        })
    }

    pub(crate) fn decided(&self) -> usize {
        self.decided
    }

    pub(crate) fn len(&self) -> usize {
        self.log.len()
    }

    /// Bytes of the log in a message, at most.
    pub(crate) fn log_bytes(&self) -> usize {
        self.bytes
    }

    /// The ballots that are kept, by their node numbers and numbers of configurations.
    pub(crate) fn ballots(&self) -> impl Iterator<Item = &Ballot> {
        self.promise.iter().chain(&self.accepted)
    }

    pub(crate) fn get(&self, index: usize) -> Option<&Command> {
        self.log.get(index)
    }

    pub(crate) fn append(&mut self, commands: Vec<Command>) {
        if !commands.is_empty() {
            self.changed_from = Some(self.changed_from.unwrap_or(self.log.len()).min(self.log.len()));
            self.bytes += commands.iter().map(message_bytes).sum::<usize>();
            self.log.extend(commands);
        }
    }

    pub(crate) fn set_decided(&mut self, decided: usize) {
        self.decided_changed |= self.decided != decided;
        self.decided = decided;
    }

    /// What has changed since, as one write. The order in it is of no account: it is one transaction.
    pub(crate) fn take_changes(&mut self) -> Vec<StoreOp> {
        let mut ops = Vec::new();
        // A ballot can always be written.
        let bytes =
            |ballot: &Option<Ballot>| postcard::to_stdvec(&ballot.unwrap_or_default()).unwrap_or_default();
        if std::mem::take(&mut self.promise_changed) {
            ops.push(StoreOp::Promise(bytes(&self.promise)));
        }
        if std::mem::take(&mut self.accepted_changed) {
            ops.push(StoreOp::Accepted(bytes(&self.accepted)));
        }
        if let Some(from) = self.changed_from.take() {
            ops.push(StoreOp::Log {
                from: from as u64,
                commands: self.log.get(from..).unwrap_or_default().to_vec(),
            });
        }
        if std::mem::take(&mut self.decided_changed) {
            ops.push(StoreOp::Decided(self.decided as u64));
        }
        ops
    }

    fn set_promise_if_changed(&mut self, promise: Ballot) {
        // At its start omnipaxos writes what it read, or a ballot of zeros if there was none: neither is news.
        if self.promise.unwrap_or_default() != promise {
            self.promise = Some(promise);
            self.promise_changed = true;
        }
    }

    fn set_accepted_if_changed(&mut self, accepted: Ballot) {
        if self.accepted != Some(accepted) {
            self.accepted = Some(accepted);
            self.accepted_changed = true;
        }
    }

    fn replace_suffix(&mut self, from: usize, commands: Vec<Command>) -> StorageResult<()> {
        if from > self.log.len() {
            return Err("a log with a gap".into());
        }
        // What stays the same need not be written again.
        let same = self.log[from..].iter().zip(&commands).take_while(|(a, b)| a == b).count();
        if from + same < self.log.len() {
            self.changed_from = Some(self.changed_from.unwrap_or(usize::MAX).min(from + same));
            self.log.truncate(from + same);
            self.bytes = self.log.iter().map(message_bytes).sum();
        }
        self.append(commands.into_iter().skip(same).collect());
        Ok(())
    }
}

/// The journal as omnipaxos' storage. omnipaxos owns its storage and does not show it; hence shared.
#[derive(Clone)]
pub(crate) struct SharedJournal(Arc<Mutex<Journal>>);

impl SharedJournal {
    pub(crate) fn new(journal: Journal) -> Self {
        Self(Arc::new(Mutex::new(journal)))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Journal> {
        // Poisoned by a panic that stopped the voter: nothing of it is written any more.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Storage<Command> for SharedJournal {
    fn write_atomically(&mut self, ops: Vec<StorageOp<Command>>) -> StorageResult<()> {
        for op in ops {
            match op {
                StorageOp::AppendEntry(entry) => self.append_entry(entry)?,
                StorageOp::AppendEntries(entries) => self.append_entries(entries)?,
                StorageOp::AppendOnPrefix(from, entries) => self.append_on_prefix(from, entries)?,
                StorageOp::SetPromise(ballot) => self.set_promise(ballot)?,
                StorageOp::SetDecidedIndex(index) => self.set_decided_idx(index)?,
                StorageOp::SetAcceptedRound(ballot) => self.set_accepted_round(ballot)?,
                StorageOp::SetCompactedIdx(index) => self.set_compacted_idx(index)?,
                StorageOp::Trim(index) => self.trim(index)?,
                StorageOp::SetStopsign(sign) => self.set_stopsign(sign)?,
                StorageOp::SetSnapshot(snapshot) => self.set_snapshot(snapshot)?,
            }
        }
        Ok(())
    }

    fn append_entry(&mut self, entry: Command) -> StorageResult<()> {
        self.lock().append(vec![entry]);
        Ok(())
    }

    fn append_entries(&mut self, entries: Vec<Command>) -> StorageResult<()> {
        self.lock().append(entries);
        Ok(())
    }

    fn append_on_prefix(&mut self, from: usize, entries: Vec<Command>) -> StorageResult<()> {
        self.lock().replace_suffix(from, entries)
    }

    fn set_promise(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.lock().set_promise_if_changed(ballot);
        Ok(())
    }

    fn set_decided_idx(&mut self, index: usize) -> StorageResult<()> {
        self.lock().set_decided(index);
        Ok(())
    }

    fn get_decided_idx(&self) -> StorageResult<usize> {
        Ok(self.lock().decided)
    }

    fn set_accepted_round(&mut self, ballot: Ballot) -> StorageResult<()> {
        self.lock().set_accepted_if_changed(ballot);
        Ok(())
    }

    fn get_accepted_round(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().accepted)
    }

    fn get_entries(&self, from: usize, to: usize) -> StorageResult<Vec<Command>> {
        Ok(self.lock().log.get(from..to).unwrap_or_default().to_vec())
    }

    fn get_log_len(&self) -> StorageResult<usize> {
        Ok(self.lock().len())
    }

    fn get_suffix(&self, from: usize) -> StorageResult<Vec<Command>> {
        Ok(self.lock().log.get(from..).unwrap_or_default().to_vec())
    }

    fn get_promise(&self) -> StorageResult<Option<Ballot>> {
        Ok(self.lock().promise)
    }

    // The log ends by a command of ours and is folded by the next configuration: no stop sign, trimming or snapshot
    // of omnipaxos' own is ever used, and messages that ask for one are refused.

    fn set_stopsign(&mut self, sign: Option<StopSign>) -> StorageResult<()> {
        sign.map_or(Ok(()), |_| Err("stop signs are not used".into()))
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    fn trim(&mut self, _: usize) -> StorageResult<()> {
        Err("trimming is not used".into())
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Err("trimming is not used".into())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Err("snapshots are not used".into())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
