//! The record of what passed on the sockets: one JSON object a line, written as it happens.

use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// One line.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Unix time, nanoseconds.
    pub t: u64,
    /// Who wrote it: a node, the viewers, or the conductor.
    pub who: String,
    /// What happened.
    #[serde(flatten)]
    pub what: What,
}

/// What a line tells. Fields are named as the terms that they hold; times are seconds or nanoseconds by suffix.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum What {
    /// A node's process began; it is cold from now on, unless `cold_s` is 0.
    NodeStart { streams: f64, cold_share: f64, cold_s: f64 },
    /// A node read the head and body of a set-up. `origin` is the `o=` line of the offer.
    Attempt { attempt: u64, front: String, origin: String, title: String },
    /// A front asked for the node's load.
    Probe { front: String },
    /// A front read the node's list of sessions.
    Listed { front: String },
    /// It handed its answer to the socket.
    Answered { attempt: u64, status: u16 },
    /// The connection was closed or reset before that.
    Closed { attempt: u64 },
    /// A session ended at the node.
    Ended { origin: String, why: String },
    /// A rung was chosen for a session at the node.
    Layer { origin: String, rung: u8 },
    /// The node was pushed over while cold.
    Fell,
    /// A viewer's request went out. `session` is the viewer's name and title.
    Asked { request: u64, session: String, origin: String, title: String, class: String, front: String },
    /// An answer was read from the socket.
    Reply { request: u64, status: u16, retry_after: Option<u64> },
    /// What the answer told of the agreed policy: the entry by which it was decided, and of a problem its type's last word.
    Under { request: u64, entry: Option<u64>, kind: String },
    /// Bytes came after the answer, which nobody had asked for.
    Extra { request: u64, bytes: usize },
    /// The connection ended without an answer.
    Broke { request: u64 },
    /// The viewer's patience ended without an answer.
    GaveUp { request: u64 },
    /// The viewer itself closed its connection before the answer.
    Hung { request: u64 },
    /// A list was put in place for a front: the node's state in it, `gone` where it is not in it.
    Told { front: String, node: String, state: String },
    /// A front's process began, was told to stop, or was killed.
    FrontStart { front: String },
    /// It was asked to stop, in order.
    FrontStop { front: String },
    /// It was killed.
    FrontDown { front: String },
    /// It stands still from here for so long.
    FrontStall { front: String, ms: u64 },
    /// Room that a front says it holds for announced peaks, kB a second.
    Held { front: String, kb: f64, due_kb: f64 },
    /// A fault was caused; for the reader.
    Fault { kind: String, detail: String },
}

/// Now, Unix time in nanoseconds.
#[must_use]
pub fn now() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64)
}

/// Writes lines of one writer; each goes out at once, so that a killed process leaves all but its last.
#[derive(Clone)]
pub struct Recorder {
    who: Rc<str>,
    file: Option<Rc<RefCell<File>>>,
    kept: Rc<RefCell<Vec<Line>>>,
    silent: bool,
}

impl Recorder {
    /// Appends to a file.
    ///
    /// # Errors
    /// When it cannot be opened.
    pub fn to_file(who: &str, path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            who: who.into(),
            file: Some(Rc::new(RefCell::new(file))),
            kept: Rc::default(),
            silent: false,
        })
    }

    /// Keeps the lines in memory.
    #[must_use]
    pub fn in_memory(who: &str) -> Self {
        Self { who: who.into(), file: None, kept: Rc::default(), silent: false }
    }

    /// Writes nothing: for stand-ins that nobody judges.
    #[must_use]
    pub fn silent() -> Self {
        Self { silent: true, ..Self::in_memory("") }
    }

    /// The same record under another name.
    #[must_use]
    pub fn under(&self, who: &str) -> Self {
        Self { who: who.into(), ..self.clone() }
    }

    /// Writes a line.
    pub fn write(&self, what: What) {
        if self.silent {
            return;
        }
        let line = Line { t: now(), who: self.who.to_string(), what };
        match &self.file {
            Some(file) => {
                let mut text = serde_json::to_vec(&line).unwrap_or_default();
                text.push(b'\n');
                // A record that cannot be written must not pass for one in which nothing happened.
                file.borrow_mut().write_all(&text).expect("the record can be written");
            }
            None => self.kept.borrow_mut().push(line),
        }
    }

    /// What was kept in memory.
    #[must_use]
    pub fn lines(&self) -> Vec<Line> {
        self.kept.borrow().clone()
    }
}

/// Reads a record; a last line that was cut off by a kill is passed over.
///
/// # Errors
/// When the file cannot be read, or another line is no record.
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
    let lines: Vec<String> = BufReader::new(File::open(path)?).lines().collect::<Result<_, _>>()?;
    let last = lines.len().saturating_sub(1);
    let mut out = Vec::with_capacity(lines.len());
    for (n, line) in lines.iter().enumerate() {
        match serde_json::from_str(line) {
            Ok(line) => out.push(line),
            Err(_) if n == last => {}
            Err(e) => return Err(io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {e}", n + 1))),
        }
    }
    Ok(out)
}
