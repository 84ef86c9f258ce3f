//! Keeps the last good list: looks at the file, and at a copy of its own where the file cannot be used.

use crate::{Fault, MOST_BYTES, Names, Node, read, stable_hash};
use std::fs;
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// What a look at the file brought.
#[derive(Debug)]
pub enum Look {
    /// As it was.
    Same,
    /// It changed since the last look; it counts once it has stood still for one more.
    Changing,
    /// A new list.
    New(Vec<Node>),
    /// It cannot be used; the last good list stays. Reported once for each content.
    Bad(Vec<Fault>),
}

/// Watches one list of nodes.
#[derive(Debug)]
pub struct Keeper {
    file: PathBuf,
    copy: Option<PathBuf>,
    names: Names,
    /// Content seen at the last look, and the content last taken or reported.
    seen: Option<u64>,
    done: Option<u64>,
}

fn load(path: &Path) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    fs::File::open(path)?.take(MOST_BYTES + 1).read_to_end(&mut bytes)?;
    if bytes.len() as u64 > MOST_BYTES {
        return Err(io::Error::other(format!("longer than {MOST_BYTES} bytes")));
    }
    Ok(bytes)
}

fn unreadable(e: &io::Error) -> Vec<Fault> {
    vec![Fault { line: 0, column: String::new(), what: format!("the list cannot be read: {e}") }]
}

impl Keeper {
    /// Watches `file`; the last good list is also kept in `state_dir`, where there is one.
    #[must_use]
    pub fn new(file: PathBuf, state_dir: Option<&Path>, names: Names) -> Self {
        let copy = state_dir.map(|d| d.join("inventory.last.csv"));
        Self { file, copy, names, seen: None, done: None }
    }

    /// The list to start with: the file's, or else the last good copy with the file's faults beside it.
    ///
    /// # Errors
    /// The file's faults, where there is no copy that can be used.
    pub fn start(&mut self) -> Result<(Vec<Node>, Vec<Fault>), Vec<Fault>> {
        let bytes = load(&self.file);
        self.seen = bytes.as_ref().ok().map(|b| stable_hash(b));
        self.done = self.seen;
        let faults = match bytes.as_ref().map(|b| read(b, &self.names)) {
            Ok(Ok(nodes)) => {
                self.keep(bytes.as_deref().unwrap_or_default());
                return Ok((nodes, Vec::new()));
            }
            Ok(Err(faults)) => faults,
            Err(e) => unreadable(e),
        };
        let last = self.copy.as_ref().and_then(|c| load(c).ok()).and_then(|b| read(&b, &self.names).ok());
        last.map(|nodes| (nodes, faults.clone())).ok_or(faults)
    }

    /// Looks again. A file that is being written is waited for: its content must stand still for two looks.
    pub fn look(&mut self) -> Look {
        let bytes = match load(&self.file) {
            Ok(bytes) => bytes,
            Err(e) => {
                let first = self.seen.take().is_some();
                self.done = None;
                return if first { Look::Bad(unreadable(&e)) } else { Look::Same };
            }
        };
        let now = Some(stable_hash(&bytes));
        if now == self.done {
            self.seen = now;
            return Look::Same;
        }
        if std::mem::replace(&mut self.seen, now) != now {
            return Look::Changing;
        }
        self.done = now;
        match read(&bytes, &self.names) {
            Ok(nodes) => {
                self.keep(&bytes);
                Look::New(nodes)
            }
            Err(faults) => Look::Bad(faults),
        }
    }

    /// Replaces the copy in one step, so that a crash leaves the old or the new one. A copy that cannot be
    /// written costs only the restart after the file broke.
    fn keep(&self, bytes: &[u8]) {
        let Some(copy) = &self.copy else { return };
        let fresh = copy.with_extension("new");
        let write = || -> io::Result<()> {
            let mut f = fs::File::create(&fresh)?;
            f.write_all(bytes)?;
            f.sync_all()?;
            fs::rename(&fresh, copy)
        };
        let _ = write();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "name,address,zone,cell,kind,weight,state\na,127.0.0.1:1,z,0,k,1,ready\n";

    fn keeper(dir: &Path) -> Keeper {
        let names = Names { zones: vec!["z".into()], kinds: vec!["k".into()], cells: 1 };
        Keeper::new(dir.join("nodes.csv"), Some(dir), names)
    }

    #[test]
    fn a_list_that_is_not_there_names_no_line() {
        let dir = tempfile::tempdir().expect("a folder");
        let faults = keeper(dir.path()).start().expect_err("no list");
        let said = faults.iter().map(ToString::to_string).collect::<String>();
        assert!(said.contains("cannot be read") && !said.contains("line"), "{said}");
    }

    #[test]
    fn a_file_in_writing_is_waited_for_and_a_bad_one_leaves_the_last_good_list() {
        let dir = tempfile::tempdir().expect("a folder");
        let file = dir.path().join("nodes.csv");
        fs::write(&file, GOOD).expect("written");
        let mut k = keeper(dir.path());
        assert_eq!(k.start().expect("a list").0.len(), 1);
        assert!(matches!(k.look(), Look::Same));
        let two = format!("{GOOD}b,127.0.0.1:2,z,0,k,1,ready\n");
        fs::write(&file, &two[..two.len() - 9]).expect("written");
        assert!(matches!(k.look(), Look::Changing));
        fs::write(&file, &two).expect("written");
        assert!(matches!(k.look(), Look::Changing), "it changed again");
        assert!(matches!(k.look(), Look::New(n) if n.len() == 2));
        fs::write(&file, "name\n").expect("written");
        assert!(matches!((k.look(), k.look(), k.look()), (Look::Changing, Look::Bad(_), Look::Same)));
        fs::remove_file(&file).expect("removed");
        assert!(matches!((k.look(), k.look()), (Look::Bad(_), Look::Same)));
        let (nodes, faults) = keeper(dir.path()).start().expect("the last good list after a restart");
        assert_eq!((nodes.len(), faults.len()), (2, 1));
    }
}
