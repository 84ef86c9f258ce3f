//! Records that survive a crash: a redb file, written in one transaction a change.

use crate::records::Record;
use redb::{Database, ReadableTable, TableDefinition};
use std::path::Path;

/// Why the store cannot serve.
pub type StoreError = Box<dyn std::error::Error + Send + Sync>;

const RECORDS: TableDefinition<(u8, u64), &[u8]> = TableDefinition::new("records");
const RUNS: TableDefinition<&str, u64> = TableDefinition::new("runs");

/// The file.
pub struct Store(Database);

impl Store {
    /// Opens the file or makes it. A file that was being written when its process was killed opens as it was
    /// before that write.
    ///
    /// # Errors
    /// When it cannot be opened, or is no such file.
    pub fn open(path: &Path) -> Result<Self, StoreError> {
        let db = Database::create(path)?;
        let begin = db.begin_write()?;
        begin.open_table(RECORDS)?;
        begin.open_table(RUNS)?;
        begin.commit()?;
        Ok(Self(db))
    }

    /// The number of this run, higher than all before it even where the clock went back.
    ///
    /// # Errors
    /// When it cannot be written.
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

    /// All records; one that cannot be read is left out.
    ///
    /// # Errors
    /// When the file cannot be read.
    pub fn records(&self) -> Result<Vec<Record>, StoreError> {
        let table = self.0.begin_read()?.open_table(RECORDS)?;
        let mut out = Vec::new();
        for entry in table.iter()? {
            out.extend(postcard::from_bytes(entry?.1.value()).ok());
        }
        Ok(out)
    }

    /// Keeps a record in place of the one of its id; durable on return.
    ///
    /// # Errors
    /// When it cannot be written.
    pub fn write(&self, record: &Record) -> Result<(), StoreError> {
        let write = self.0.begin_write()?;
        write
            .open_table(RECORDS)?
            .insert((record.id.space, record.id.number), postcard::to_stdvec(record)?.as_slice())?;
        write.commit()?;
        Ok(())
    }

    /// Forgets records that no longer matter.
    ///
    /// # Errors
    /// When it cannot be written.
    pub fn retain(&self, keep: impl Fn(&Record) -> bool) -> Result<(), StoreError> {
        let write = self.0.begin_write()?;
        write
            .open_table(RECORDS)?
            .retain(|_, bytes| postcard::from_bytes(bytes).is_ok_and(|r: Record| keep(&r)))?;
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
    fn records_and_runs_outlast_the_process() {
        let dir = tempfile::tempdir().expect("a folder");
        let file = dir.path().join("r.redb");
        {
            let store = Store::open(&file).expect("a store");
            store.write(&record(1, 1)).expect("kept");
            store.write(&record(1, 2)).expect("kept");
            store.write(&record(2, 1)).expect("kept");
            assert_eq!(store.next_run(1_000).expect("a run"), 1_000);
        }
        let store = Store::open(&file).expect("a store");
        assert_eq!(store.records().expect("records"), [record(1, 2), record(2, 1)]);
        assert_eq!(store.next_run(900).expect("a run"), 1_001, "though the clock went back");
        store.retain(|r| r.id.number == 2).expect("swept");
        assert_eq!(store.records().expect("records"), [record(2, 1)]);
        std::fs::write(dir.path().join("bad"), b"no store").expect("written");
        assert!(Store::open(&dir.path().join("bad")).is_err());
    }
}
