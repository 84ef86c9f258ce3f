//! The persistent store of a voter, on `redb`: its id, its promised and accepted log, and the snapshot that
//! its configuration started from. Each write is one transaction that is synced to the disk when the call
//! returns. No other module of this crate does I/O.

use crate::types::{Command, Config};
use redb::{Database, DatabaseError, Durability, ReadableTable, TableDefinition};
use std::fs;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Value of the record `format`. Any other value means another program's file or a later format.
const FORMAT: &[u8] = b"pepperhook agreement 1";

/// One change within a write.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOp {
    /// Starts a configuration from a snapshot; the promise, accepted ballot, decided index and log of the
    /// former one are deleted.
    Begin {
        /// The configuration.
        config: Config,
        /// The serialized registers.
        snapshot: Vec<u8>,
    },
    /// The promised ballot, as [`StoredLog::promise`].
    Promise(Vec<u8>),
    /// The ballot of the last accepted entry, as [`StoredLog::accepted`].
    Accepted(Vec<u8>),
    /// Number of entries that are known to be decided.
    Decided(u64),
    /// Replaces the log from this index to its end.
    Log {
        /// Index of the first command, from 0 in the configuration.
        from: u64,
        /// The new commands.
        commands: Vec<Command>,
    },
}

/// A voter's log as stored, to continue from.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredLog {
    /// How often the store was opened, this opening included. For a configuration that starts with an empty
    /// log it is copied from [`StoredState::boots`].
    pub boots: u64,
    /// The promised ballot, serialized by the voter; empty if there is none.
    pub promise: Vec<u8>,
    /// The accepted ballot, likewise.
    pub accepted: Vec<u8>,
    /// Number of entries that are known to be decided.
    pub decided: u64,
    /// The commands of the accepted entries, from index 0.
    pub commands: Vec<Command>,
}

/// Content of a store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoredState {
    /// Id of the store, drawn when it was created.
    pub store: u64,
    /// How often the store was opened, this opening included.
    pub boots: u64,
    /// The configuration that this voter takes part in, if one has started.
    pub config: Option<Config>,
    /// The serialized registers before the configuration's first entry.
    pub snapshot: Vec<u8>,
    /// The configuration's log.
    pub log: StoredLog,
}

/// Why a store cannot be opened or written.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Another process, or this one, has it open.
    #[error("the store is already open in this or another process")]
    InUse,
    /// The file is not a store of this format, is damaged, or contradicts itself. To continue, move the file
    /// away and create a new store; the front is then a different voter.
    #[error("the file is not a valid agreement store: {0}")]
    Invalid(String),
    /// Reading or writing failed. The state on the disk is unknown until the store is opened again.
    #[error("reading or writing the agreement store failed: {0}")]
    Io(String),
    /// The id for a new store is 0, which means no store.
    #[error("the id of a store must not be 0")]
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

/// The open store of one voter. The file stays locked until the value is dropped.
pub struct Store {
    database: Database,
}

impl Store {
    /// Opens the store at `path`, or creates one with this id if there is no file. Increments and syncs its
    /// opening count.
    ///
    /// # Errors
    ///
    /// [`StoreError`]; an existing file is never replaced.
    pub fn open(path: &Path, id: u64) -> Result<(Self, StoredState), StoreError> {
        if id == 0 {
            return Err(StoreError::ZeroId);
        }
        if !path.try_exists()? {
            create(path, id)?;
        }
        // redb panics on some files that are not databases.
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let mut database = Database::open(path)?;
            if !database.check_integrity()? {
                return Err(StoreError::Invalid("damaged".into()));
            }
            let stored = open_and_count(&database)?;
            Ok((Self { database }, stored))
        }));
        opened.unwrap_or_else(|_| Err(StoreError::Invalid("unreadable".into())))
    }

    /// Writes the changes atomically and returns once they are synced. After an error the store must not be
    /// written again: whether this write took effect is unknown until the store is reopened.
    ///
    /// # Errors
    ///
    /// [`StoreError::Io`] if the write failed.
    pub fn write(&self, ops: &[StoreOp]) -> Result<(), StoreError> {
        let written = catch_unwind(AssertUnwindSafe(|| {
            transact(&self.database, |meta, log| ops.iter().try_for_each(|op| apply(op, meta, log)))
        }));
        written.unwrap_or_else(|_| Err(StoreError::Io("the database panicked during a write".into())))
    }
}

type Meta<'a> = redb::Table<'a, &'static str, &'static [u8]>;
type Log<'a> = redb::Table<'a, u64, &'static [u8]>;

/// Runs `f` in one synced transaction.
fn transact<R>(
    database: &Database,
    f: impl FnOnce(&mut Meta<'_>, &mut Log<'_>) -> Result<R, StoreError>,
) -> Result<R, StoreError> {
    let mut transaction = database.begin_write()?;
    transaction.set_durability(Durability::Immediate);
    // Without two-phase commit, redb takes a damaged last commit for an unfinished one and silently uses the
    // commit before it. A promise would be lost.
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

/// Lets tests abort the process or fail the write at this point.
#[cfg(feature = "failpoints")]
fn failpoint(name: &str) -> Result<(), StoreError> {
    fail::fail_point!(name, |what| match what.as_deref() {
        Some("abort") => std::process::abort(),
        _ => Err(StoreError::Io("write failed by a failpoint".into())),
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
        StoreOp::Promise(ballot) => drop(meta.insert("promise", ballot.as_slice())?),
        StoreOp::Accepted(ballot) => drop(meta.insert("accepted", ballot.as_slice())?),
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

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, StoreError> {
    postcard::to_stdvec(value).map_err(|e| StoreError::Io(e.to_string()))
}

/// Creates a store under a temporary name beside `path` and renames it when it is complete, so `path` never
/// has an incomplete store.
fn create(path: &Path, id: u64) -> Result<(), StoreError> {
    let temporary: PathBuf = {
        let mut name = path
            .file_name()
            .ok_or_else(|| StoreError::Io(format!("the path {} has no file name", path.display())))?
            .to_owned();
        name.push(".new");
        path.with_file_name(name)
    };
    match fs::remove_file(&temporary) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e.into()),
        _ => {}
    }
    let database = Database::create(&temporary)?;
    transact(&database, |meta, _| {
        meta.insert("format", FORMAT)?;
        meta.insert("store", id.to_be_bytes().as_slice())?;
        meta.insert("boots", 0_u64.to_be_bytes().as_slice())?;
        Ok(())
    })?;
    drop(database);
    fs::File::open(&temporary)?.sync_all()?;
    fs::rename(&temporary, path)?;
    if let Some(parent) = path.parent() {
        let parent = if parent.as_os_str().is_empty() { Path::new(".") } else { parent };
        fs::File::open(parent)?.sync_all()?;
    }
    Ok(())
}

/// Increments the opening count and reads the content, in one transaction.
fn open_and_count(database: &Database) -> Result<StoredState, StoreError> {
    transact(database, |meta, log| {
        let invalid = |name: &str| StoreError::Invalid(format!("record `{name}` is missing or malformed"));
        let blob = |name: &str| -> Result<Option<Vec<u8>>, StoreError> {
            Ok(meta.get(name)?.map(|v| v.value().to_vec()))
        };
        let number = |name: &str| -> Result<Option<u64>, StoreError> {
            blob(name)?.map(|b| b.try_into().map(u64::from_be_bytes).map_err(|_| invalid(name))).transpose()
        };
        if blob("format")?.as_deref() != Some(FORMAT) {
            return Err(StoreError::Invalid("record `format` has another value than this version's".into()));
        }
        let store = number("store")?.filter(|&n| n != 0).ok_or_else(|| invalid("store"))?;
        let boots = number("boots")?.and_then(|n| n.checked_add(1)).ok_or_else(|| invalid("boots"))?;
        let config: Option<Config> =
            blob("config")?.map(|b| postcard::from_bytes(&b).map_err(|_| invalid("config"))).transpose()?;
        let mut commands = Vec::new();
        for (index, entry) in log.iter()?.enumerate() {
            let (at, value) = entry?;
            if at.value() != index as u64 {
                return Err(StoreError::Invalid(format!(
                    "the log has a gap: entry {} where {index} should be",
                    at.value()
                )));
            }
            commands.push(postcard::from_bytes(value.value()).map_err(|_| invalid("log"))?);
        }
        let decided = number("decided")?.unwrap_or(0);
        if decided > commands.len() as u64 {
            return Err(StoreError::Invalid(format!(
                "record `decided` is {decided}, but the log has only {} entries",
                commands.len()
            )));
        }
        let stored = StoredState {
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
        Ok(stored)
    })
}

#[cfg(test)]
mod tests;
