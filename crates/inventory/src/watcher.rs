//! Watches the inventory file and keeps a copy of the last valid version for restarts.

use crate::{InventoryNames, ListError, MAX_FILE_BYTES, Node, parse, stable_hash};
use std::fs;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// Result of one poll of the file.
#[derive(Debug)]
pub enum PollResult {
    /// The content is the one last used or reported.
    Unchanged,
    /// The content differs from the previous poll; it is used once two polls in a row read the same.
    Changing,
    /// A new valid list.
    Updated(Vec<Node>),
    /// The list cannot be used; the last valid one stays in force. Reported once for each content.
    Invalid(Vec<ListError>),
}

/// Watches one inventory file.
#[derive(Debug)]
pub struct InventoryWatcher {
    file: PathBuf,
    /// Copy of the last valid list, in the state directory.
    copy: Option<PathBuf>,
    names: InventoryNames,
    /// Hash of the content at the last poll; `None` if the file could not be read.
    last_polled: Option<u64>,
    /// Hash of the content last used or reported as invalid.
    last_handled: Option<u64>,
}

fn load(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    fs::File::open(path)?.take(MAX_FILE_BYTES + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(io::Error::other(format!("the file is longer than {MAX_FILE_BYTES} bytes")));
    }
    Ok(bytes)
}

fn read_error(e: &io::Error) -> Vec<ListError> {
    vec![ListError { line: 0, column: String::new(), message: format!("the list cannot be read: {e}") }]
}

impl InventoryWatcher {
    /// Watches `file`; the last valid list is also copied into `state_dir`, if there is one.
    #[must_use]
    pub fn new(file: PathBuf, state_dir: Option<&Path>, names: InventoryNames) -> Self {
        let copy = state_dir.map(|d| d.join("inventory.last.csv"));
        Self { file, copy, names, last_polled: None, last_handled: None }
    }

    /// Loads the list to start with: the file's, or else the last valid copy together with the file's errors.
    ///
    /// # Errors
    /// The file's errors, if there is no usable copy.
    pub fn load_initial(&mut self) -> Result<(Vec<Node>, Vec<ListError>), Vec<ListError>> {
        let bytes = load(&self.file);
        self.last_polled = bytes.as_ref().ok().map(|b| stable_hash(b));
        self.last_handled = self.last_polled;
        let errors = match bytes.as_ref().map(|b| parse(b, &self.names)) {
            Ok(Ok(nodes)) => {
                self.save_copy(bytes.as_deref().unwrap_or_default());
                return Ok((nodes, Vec::new()));
            }
            Ok(Err(errors)) => errors,
            Err(e) => read_error(e),
        };
        let last = self.copy.as_ref().and_then(|c| load(c).ok()).and_then(|b| parse(&b, &self.names).ok());
        last.map(|nodes| (nodes, errors.clone())).ok_or(errors)
    }

    /// Polls the file. A new content is used only when two polls in a row read the same, because another process
    /// may still be writing it.
    pub fn poll(&mut self) -> PollResult {
        let bytes = match load(&self.file) {
            Ok(bytes) => bytes,
            Err(e) => {
                let first = self.last_polled.take().is_some();
                self.last_handled = None;
                return if first { PollResult::Invalid(read_error(&e)) } else { PollResult::Unchanged };
            }
        };
        let now = Some(stable_hash(&bytes));
        if now == self.last_handled {
            self.last_polled = now;
            return PollResult::Unchanged;
        }
        if std::mem::replace(&mut self.last_polled, now) != now {
            return PollResult::Changing;
        }
        self.last_handled = now;
        match parse(&bytes, &self.names) {
            Ok(nodes) => {
                self.save_copy(&bytes);
                PollResult::Updated(nodes)
            }
            Err(errors) => PollResult::Invalid(errors),
        }
    }

    /// Replaces the copy atomically: after a crash it is the old or the new one. Write errors are ignored, because
    /// the copy is only used when a front restarts while the file is invalid.
    fn save_copy(&self, bytes: &[u8]) {
        let Some(copy) = &self.copy else { return };
        let temporary = copy.with_extension("new");
        let write = || -> io::Result<()> {
            let mut f = fs::File::create(&temporary)?;
            f.write_all(bytes)?;
            f.sync_all()?;
            fs::rename(&temporary, copy)
        };
        let _ = write();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "name,address,zone,cell,kind,weight,state\na,127.0.0.1:1,z,0,k,1,ready\n";

    fn watcher(dir: &Path) -> InventoryWatcher {
        let names = InventoryNames { zones: vec!["z".into()], kinds: vec!["k".into()], cells: 1 };
        InventoryWatcher::new(dir.join("nodes.csv"), Some(dir), names)
    }

    #[test]
    fn a_missing_list_is_reported_without_a_line() {
        let dir = tempfile::tempdir().expect("a folder");
        let errors = watcher(dir.path()).load_initial().expect_err("no list");
        let text = errors.iter().map(ToString::to_string).collect::<String>();
        assert!(text.contains("cannot be read") && !text.contains("line"), "{text}");
    }

    #[test]
    fn a_partly_written_file_is_not_used_and_an_invalid_one_keeps_the_last_valid_list() {
        let dir = tempfile::tempdir().expect("a folder");
        let file = dir.path().join("nodes.csv");
        fs::write(&file, GOOD).expect("written");
        let mut w = watcher(dir.path());
        assert_eq!(w.load_initial().expect("a list").0.len(), 1);
        assert!(matches!(w.poll(), PollResult::Unchanged));
        let two = format!("{GOOD}b,127.0.0.1:2,z,0,k,1,ready\n");
        fs::write(&file, &two[..two.len() - 9]).expect("written");
        assert!(matches!(w.poll(), PollResult::Changing));
        fs::write(&file, &two).expect("written");
        assert!(matches!(w.poll(), PollResult::Changing), "it changed again");
        assert!(matches!(w.poll(), PollResult::Updated(n) if n.len() == 2));
        fs::write(&file, "name\n").expect("written");
        assert!(matches!(
            (w.poll(), w.poll(), w.poll()),
            (PollResult::Changing, PollResult::Invalid(_), PollResult::Unchanged)
        ));
        fs::remove_file(&file).expect("removed");
        assert!(matches!((w.poll(), w.poll()), (PollResult::Invalid(_), PollResult::Unchanged)));
        let (nodes, errors) =
            watcher(dir.path()).load_initial().expect("the last valid list after a restart");
        assert_eq!((nodes.len(), errors.len()), (2, 1));
    }
}
