//! In-memory state of a voter's log (promised, accepted and decided), and the changes to it that are not
//! handed to the disk yet. omnipaxos uses it as its storage. It does not wait for the disk:
//! [`Voter`](crate::voter::Voter) holds back everything that depends on a write until the write is synced.

use crate::store::{StoreOp, StoredLog};
use crate::types::{Command, Operation};
use omnipaxos::ballot_leader_election::Ballot;
use omnipaxos::storage::{Entry, NoSnapshot, StopSign, Storage, StorageOp, StorageResult};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

impl Entry for Command {
    type Snapshot = NoSnapshot;
}

/// Upper bound for the size of a command in a message, in bytes.
pub(crate) fn message_bytes(command: &Command) -> usize {
    64 + match &command.operation {
        Operation::Put { body, .. } => body.len(),
        Operation::Voters { voters, .. } => 20 * voters.len(),
    }
}

/// A voter's log state, with marks for the changes since the last [`Journal::take_changes`].
#[derive(Debug, Default)]
pub(crate) struct Journal {
    promise: Option<Ballot>,
    accepted: Option<Ballot>,
    decided: usize,
    log: Vec<Command>,
    /// Upper bound for the size of the log in a message.
    log_bytes: usize,
    promise_changed: bool,
    accepted_changed: bool,
    decided_changed: bool,
    /// The log has changed from this index on.
    changed_from: Option<usize>,
}

impl Journal {
    /// The state that a store had; `None` if it cannot be parsed or contradicts itself.
    pub(crate) fn from_store(stored: StoredLog) -> Option<Self> {
        let ballot = |bytes: &[u8]| -> Option<Option<Ballot>> {
            if bytes.is_empty() { Some(None) } else { postcard::from_bytes(bytes).ok().map(Some) }
        };
        let decided = usize::try_from(stored.decided).ok().filter(|&d| d <= stored.commands.len())?;
        Some(Self {
            promise: ballot(&stored.promise)?,
            accepted: ballot(&stored.accepted)?,
            decided,
            log_bytes: stored.commands.iter().map(message_bytes).sum(),
            log: stored.commands,
            ..Self::default()
        })
    }

    pub(crate) fn decided(&self) -> usize {
        self.decided
    }

    pub(crate) fn len(&self) -> usize {
        self.log.len()
    }

    /// Upper bound for the size of the log in a message, in bytes.
    pub(crate) fn log_bytes(&self) -> usize {
        self.log_bytes
    }

    /// The promised and the accepted ballot, as far as there are any.
    pub(crate) fn ballots(&self) -> impl Iterator<Item = &Ballot> {
        self.promise.iter().chain(&self.accepted)
    }

    pub(crate) fn get(&self, index: usize) -> Option<&Command> {
        self.log.get(index)
    }

    pub(crate) fn append(&mut self, commands: Vec<Command>) {
        if !commands.is_empty() {
            self.changed_from = Some(self.changed_from.unwrap_or(self.log.len()).min(self.log.len()));
            self.log_bytes += commands.iter().map(message_bytes).sum::<usize>();
            self.log.extend(commands);
        }
    }

    pub(crate) fn set_decided(&mut self, decided: usize) {
        self.decided_changed |= self.decided != decided;
        self.decided = decided;
    }

    /// Takes the changes since the last call, for one write to the store. Their order does not matter,
    /// because the write is one transaction.
    pub(crate) fn take_changes(&mut self) -> Vec<StoreOp> {
        let mut ops = Vec::new();
        // Serializing a ballot cannot fail.
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
        // At its start omnipaxos writes back the promise that it read, or a ballot of zeros if there was
        // none. Neither changes anything.
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
            return Err(format!(
                "entries from index {from} leave a gap: the log has {} entries",
                self.log.len()
            )
            .into());
        }
        // Entries that stay the same need not be written again.
        let same = self.log[from..].iter().zip(&commands).take_while(|(a, b)| a == b).count();
        if from + same < self.log.len() {
            self.changed_from = Some(self.changed_from.unwrap_or(usize::MAX).min(from + same));
            self.log.truncate(from + same);
            self.log_bytes = self.log.iter().map(message_bytes).sum();
        }
        self.append(commands.into_iter().skip(same).collect());
        Ok(())
    }
}

/// The journal as the storage of omnipaxos. It is shared because omnipaxos owns its storage and gives no
/// access to it.
#[derive(Clone)]
pub(crate) struct SharedJournal(Arc<Mutex<Journal>>);

impl SharedJournal {
    pub(crate) fn new(journal: Journal) -> Self {
        Self(Arc::new(Mutex::new(journal)))
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, Journal> {
        // A panic that poisoned the lock has also stopped the voter, so nothing of this state is written any
        // more.
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

    // A configuration is ended by a command of this crate, and the next configuration compacts the log. Stop
    // signs, trimming and snapshots of omnipaxos are never used, and messages that request them are refused.

    fn set_stopsign(&mut self, sign: Option<StopSign>) -> StorageResult<()> {
        sign.map_or(Ok(()), |_| Err("stop signs of omnipaxos are not supported".into()))
    }

    fn get_stopsign(&self) -> StorageResult<Option<StopSign>> {
        Ok(None)
    }

    fn trim(&mut self, _: usize) -> StorageResult<()> {
        Err("trimming by omnipaxos is not supported".into())
    }

    fn set_compacted_idx(&mut self, _: usize) -> StorageResult<()> {
        Err("trimming by omnipaxos is not supported".into())
    }

    fn get_compacted_idx(&self) -> StorageResult<usize> {
        Ok(0)
    }

    fn set_snapshot(&mut self, _: Option<NoSnapshot>) -> StorageResult<()> {
        Err("snapshots of omnipaxos are not supported".into())
    }

    fn get_snapshot(&self) -> StorageResult<Option<NoSnapshot>> {
        Ok(None)
    }
}
