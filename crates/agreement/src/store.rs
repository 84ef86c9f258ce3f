//! The store of a voter: who it is, what it promised and accepted, and what its configuration began from. On `redb`;
//! each write is one transaction that is on the disk when the call returns. Nothing else of this crate does I/O.

use crate::types::{Command, Config};
use redb::{Database, DatabaseError, Durability, ReadableTable, TableDefinition};
use std::fs;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// What is under `format`: another one is another program's, or a later form.
const FORMAT: &[u8] = b"pepperhook agreement 1";

/// A part of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOp {
    /// A configuration begins behind a snapshot; promise, accepted round, decided index and log of the one before go.
    Begin {
        /// The configuration.
        config: Config,
        /// The registers' bytes.
        snapshot: Vec<u8>,
    },
    /// The round that was promised, as [`StoredLog::promise`].
    Promise(Vec<u8>),
    /// The round of the last accepted entry, as [`StoredLog::accepted`].
    Accepted(Vec<u8>),
    /// Entries that are known to be decided.
    Decided(u64),
    /// The log from this index on; what was there and after goes.
    Log {
        /// From 0 in the configuration.
        from: u64,
        /// What is there now.
        commands: Vec<Command>,
    },
}

/// What a voter goes on from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredLog {
    /// Openings of the store, this one included. Who begins a configuration with an empty log takes it over from
    /// [`StoredState::boots`].
    pub boots: u64,
    /// The promised round, in a form of the voter's; empty if there is none.
    pub promise: Vec<u8>,
    /// The accepted round, likewise.
    pub accepted: Vec<u8>,
    /// Entries that are known to be decided.
    pub decided: u64,
    /// Accepted entries, from index 0.
    pub commands: Vec<Command>,
}

/// What a store holds.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredState {
    /// The number that was drawn when it was made.
    pub store: u64,
    /// Openings, this one included.
    pub boots: u64,
    /// The configuration that this voter is in, if one has begun.
    pub config: Option<Config>,
    /// The registers before its first entry.
    pub snapshot: Vec<u8>,
    /// The log of it.
    pub log: StoredLog,
}

/// Why a store cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process has it, or this one.
    #[error("the store is in use")]
    InUse,
    /// The file is not a store of this form, is torn, or contradicts itself. To go on, put it out of the way: the
    /// front is then another voter.
    #[error("not a store, or a torn one: {0}")]
    Invalid(String),
    /// The disk refused. What is on it is not known until it is opened again.
    #[error("the store cannot be written or read: {0}")]
    Io(String),
    /// A draw of 0.
    #[error("a store's number cannot be 0")]
    ZeroId,
}

impl From<DatabaseError> for StoreError {
    fn from(error: DatabaseError) -> Self {
        match error {
            DatabaseError::DatabaseAlreadyOpen => Self::InUse,
            DatabaseError::Storage(error) => error.into(),
            other => Self::Invalid(other.to_string()),
        }
    }
}

impl From<redb::StorageError> for StoreError {
    fn from(error: redb::StorageError) -> Self {
        match error {
            redb::StorageError::Corrupted(what) => Self::Invalid(what),
            redb::StorageError::Io(e)
                if matches!(e.kind(), io::ErrorKind::InvalidData | io::ErrorKind::UnexpectedEof) =>
            {
                Self::Invalid(e.to_string())
            }
            other => Self::Io(other.to_string()),
        }
    }
}

impl From<redb::TransactionError> for StoreError {
    fn from(error: redb::TransactionError) -> Self {
        Self::Io(error.to_string())
    }
}

impl From<redb::CommitError> for StoreError {
    fn from(error: redb::CommitError) -> Self {
        Self::Io(error.to_string())
    }
}

impl From<redb::TableError> for StoreError {
    fn from(error: redb::TableError) -> Self {
        match error {
            redb::TableError::Storage(error) => error.into(),
            other => Self::Invalid(other.to_string()),
        }
    }
}

impl From<io::Error> for StoreError {
    fn from(error: io::Error) -> Self {
        Self::Io(error.to_string())
    }
}

/// The store of one voter; held open, and locked, while it lives.
pub struct Store {
    database: Database,
}

impl Store {
    /// Opens the store at `path`, or makes one numbered `id` if nothing is there. Counts and syncs the opening.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; a file that is there is never replaced.
    pub fn open(path: &Path, id: u64) -> Result<(Self, StoredState), StoreError> {
        if id == 0 {
            return Err(StoreError::ZeroId);
        }
        if !path.try_exists()? {
            create(path, id)?;
        }
        // redb asserts on some files that are not its own.
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let mut database = Database::open(path)?;
            if !database.check_integrity()? {
                return Err(StoreError::Invalid("damaged".into()));
            }
            let kept = open_and_count(&database)?;
            Ok((Self { database }, kept))
        }));
        opened.unwrap_or_else(|_| Err(StoreError::Invalid("unreadable".into())))
    }

    /// Writes all or nothing, and returns when it is on the disk. After an error the store is to be written no more:
    /// whether this write is there shows when it is opened again.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`] if the disk refused.
    pub fn write(&self, ops: &[StoreOp]) -> Result<(), StoreError> {
        let written = catch_unwind(AssertUnwindSafe(|| {
            transact(&self.database, |meta, log| ops.iter().try_for_each(|op| apply(op, meta, log)))
        }));
        written.unwrap_or_else(|_| Err(StoreError::Io("the store broke".into())))
    }
}

type Meta<'a> = redb::Table<'a, &'static str, &'static [u8]>;
type Log<'a> = redb::Table<'a, u64, &'static [u8]>;

/// One synced transaction.
fn transact<R>(
    database: &Database,
    f: impl FnOnce(&mut Meta<'_>, &mut Log<'_>) -> Result<R, StoreError>,
) -> Result<R, StoreError> {
    let mut transaction = database.begin_write()?;
    transaction.set_durability(Durability::Immediate);
    // Without it, a damaged last commit is taken for one that was never finished and the one before is gone by: a
    // promise would be forgotten without a word.
    transaction.set_two_phase_commit(true);
    let answer = {
        let mut meta = transaction.open_table(META)?;
        let mut log = transaction.open_table(LOG)?;
        f(&mut meta, &mut log)?
    };
    failpoint("agreement-before-commit")?;
    transaction.commit()?;
    failpoint("agreement-after-commit")?;
    Ok(answer)
}

/// Where tests stop a write, or make it fail.
#[cfg(feature = "failpoints")]
fn failpoint(name: &str) -> Result<(), StoreError> {
    fail::fail_point!(name, |what| match what.as_deref() {
        Some("abort") => std::process::abort(),
        _ => Err(StoreError::Io("refused by a failpoint".into())),
    });
    Ok(())
}

#[cfg(not(feature = "failpoints"))]
#[inline]
fn failpoint(_: &str) -> Result<(), StoreError> {
    Ok(())
}

fn apply(op: &StoreOp, meta: &mut Meta<'_>, log: &mut Log<'_>) -> Result<(), StoreError> {
    match op {
        StoreOp::Begin { config, snapshot } => {
            log.retain(|_, _| false)?;
            for name in ["promise", "accepted", "decided"] {
                meta.remove(name)?;
            }
            meta.insert("config", encode(config)?.as_slice())?;
            meta.insert("snapshot", snapshot.as_slice())?;
        }
        StoreOp::Promise(round) => drop(meta.insert("promise", round.as_slice())?),
        StoreOp::Accepted(round) => drop(meta.insert("accepted", round.as_slice())?),
        StoreOp::Decided(count) => drop(meta.insert("decided", count.to_be_bytes().as_slice())?),
        StoreOp::Log { from, commands } => {
            log.retain_in(*from.., |_, _| false)?;
            for (index, command) in (*from..).zip(commands) {
                log.insert(index, encode(command)?.as_slice())?;
            }
        }
    }
    Ok(())
}

fn encode<T: serde::Serialize>(what: &T) -> Result<Vec<u8>, StoreError> {
    postcard::to_stdvec(what).map_err(|e| StoreError::Io(e.to_string()))
}

/// Makes a store beside `path` and puts it there whole: a file at `path` that is not a store was never one of ours
/// half made.
fn create(path: &Path, id: u64) -> Result<(), StoreError> {
    let beside: PathBuf = {
        let mut name =
            path.file_name().ok_or_else(|| StoreError::Io("a path without a name".into()))?.to_owned();
        name.push(".new");
        path.with_file_name(name)
    };
    match fs::remove_file(&beside) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e.into()),
        _ => {}
    }
    let database = Database::create(&beside)?;
    transact(&database, |meta, _| {
        meta.insert("format", FORMAT)?;
        meta.insert("store", id.to_be_bytes().as_slice())?;
        meta.insert("boots", 0_u64.to_be_bytes().as_slice())?;
        Ok(())
    })?;
    drop(database);
    fs::File::open(&beside)?.sync_all()?;
    fs::rename(&beside, path)?;
    if let Some(parent) = path.parent() {
        let parent = if parent.as_os_str().is_empty() { Path::new(".") } else { parent };
        fs::File::open(parent)?.sync_all()?;
    }
    Ok(())
}

/// Counts the opening and reads what is there, in one transaction.
fn open_and_count(database: &Database) -> Result<StoredState, StoreError> {
    transact(database, |meta, log| {
        let invalid = |what: &str| StoreError::Invalid(what.into());
        let blob = |name: &str| -> Result<Option<Vec<u8>>, StoreError> {
            Ok(meta.get(name)?.map(|v| v.value().to_vec()))
        };
        let number = |name: &str| -> Result<Option<u64>, StoreError> {
            blob(name)?.map(|b| b.try_into().map(u64::from_be_bytes).map_err(|_| invalid(name))).transpose()
        };
        if blob("format")?.as_deref() != Some(FORMAT) {
            return Err(invalid("another format"));
        }
        let store = number("store")?.filter(|&n| n != 0).ok_or_else(|| invalid("store"))?;
        let boots = number("boots")?.and_then(|n| n.checked_add(1)).ok_or_else(|| invalid("boots"))?;
        let config: Option<Config> =
            blob("config")?.map(|b| postcard::from_bytes(&b).map_err(|_| invalid("config"))).transpose()?;
        let mut commands = Vec::new();
        for (index, entry) in log.iter()?.enumerate() {
            let (at, value) = entry?;
            if at.value() != index as u64 {
                return Err(invalid("a log with a gap"));
            }
            commands.push(postcard::from_bytes(value.value()).map_err(|_| invalid("log"))?);
        }
        let decided = number("decided")?.unwrap_or(0);
        if decided > commands.len() as u64 {
            return Err(invalid("more decided than is there"));
        }
        let kept = StoredState {
            store,
            boots,
            config,
            snapshot: blob("snapshot")?.unwrap_or_default(),
            log: StoredLog {
                boots,
                promise: blob("promise")?.unwrap_or_default(),
                accepted: blob("accepted")?.unwrap_or_default(),
                decided,
                commands,
            },
        };
        meta.insert("boots", boots.to_be_bytes().as_slice())?;
        Ok(kept)
    })
}

#[cfg(test)]
mod tests;
