//! Keeps records across restarts and crashes in a redb file; every change is one transaction.

use crate::records::Record;
use redb::{Database, ReadableTable, TableDefinition};
use std::path::Path;

/// Why an operation of the store failed.
pub type StoreError = Box<dyn std::error::Error + Send + Sync>;

/// Records by space and number, encoded with postcard.
const RECORDS: TableDefinition<(u8, u64), &[u8]> = TableDefinition::new("records");
/// Under the key "run": the number of the latest run of this front.
const RUNS: TableDefinition<&str, u64> = TableDefinition::new("runs");

/// An open store file.
pub struct Store(Database);

impl Store {
    /// Opens the file, or creates it if it does not exist. If the process was killed during a write, the file
    /// opens in its state before that write.
    ///
    /// # Errors
    /// If the file cannot be opened or is not a redb database.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        let db = Database::create(path)?;
        let write = db.begin_write()?;
        write.open_table(RECORDS)?;
        write.open_table(RUNS)?;
        write.commit()?;
        Ok(Self(db))
    }

    /// Returns and stores the number of a new run: the current time, or one more than the last run's number
    /// if the clock was set back.
    ///
    /// # Errors
    /// If it cannot be written.
    pub fn next_run(&self, now_ms: u64) -> Result<u64, StoreError> {
        let write = self.0.begin_write()?;
        let run = {
            let mut table = write.open_table(RUNS)?;
            let last = table.get("run")?.map_or(0, |v| v.value());
            let run = now_ms.max(last + 1);
            table.insert("run", run)?;
            run
        };
        write.commit()?;
        Ok(run)
    }

    /// All stored records; entries that cannot be decoded are skipped.
    ///
    /// # Errors
    /// If the file cannot be read.
    pub fn records(&self) -> Result<Vec<Record>, StoreError> {
        let table = self.0.begin_read()?.open_table(RECORDS)?;
        let mut records = Vec::new();
        for entry in table.iter()? {
            records.extend(postcard::from_bytes(entry?.1.value()).ok());
        }
        Ok(records)
    }

    /// Stores a record, replacing the one with the same id; it is durable on return.
    ///
    /// # Errors
    /// If it cannot be written.
    pub fn write(&self, record: &Record) -> Result<(), StoreError> {
        let write = self.0.begin_write()?;
        write
            .open_table(RECORDS)?
            .insert((record.id.space, record.id.number), postcard::to_stdvec(record)?.as_slice())?;
        write.commit()?;
        Ok(())
    }

    /// Deletes the records for which `keep` is false, and entries that cannot be decoded.
    ///
    /// # Errors
    /// If the change cannot be written.
    pub fn retain(&self, keep: impl Fn(&Record) -> bool) -> Result<(), StoreError> {
        let write = self.0.begin_write()?;
        write
            .open_table(RECORDS)?
            .retain(|_, bytes| postcard::from_bytes(bytes).is_ok_and(|record: Record| keep(&record)))?;
        write.commit()?;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::records::{Id, Version};

    fn record(number: u64, counter: u64) -> Record {
        let version = Version { counter, author: 1 };
        Record { id: Id { space: 1, number }, version, expires_ms: 5, body: vec![1, 2] }
    }

    #[test]
    fn records_and_runs_survive_a_restart() {
        let dir = tempfile::tempdir().expect("temporary directory");
        let file = dir.path().join("r.redb");
        {
            let store = Store::open(&file).expect("opened store");
            store.write(&record(1, 1)).expect("written record");
            store.write(&record(1, 2)).expect("written record");
            store.write(&record(2, 1)).expect("written record");
            assert_eq!(store.next_run(1_000).expect("run number"), 1_000);
        }
        let store = Store::open(&file).expect("opened store");
        assert_eq!(store.records().expect("stored records"), [record(1, 2), record(2, 1)]);
        assert_eq!(
            store.next_run(900).expect("run number"),
            1_001,
            "higher than the last run although the clock was set back"
        );
        store.retain(|r| r.id.number == 2).expect("deleted records");
        assert_eq!(store.records().expect("stored records"), [record(2, 1)]);
        std::fs::write(dir.path().join("bad"), b"no store").expect("written file");
        assert!(Store::open(&dir.path().join("bad")).is_err());
    }
}
