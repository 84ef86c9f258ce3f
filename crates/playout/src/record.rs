//! The record of a rehearsal: events observed on sockets, one JSON object per line, written as they happen.

use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::fs::{File, OpenOptions};
use std::io::{self, BufRead, BufReader, Write};
use std::path::Path;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

/// One line of the record: an event, when it happened and who observed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    /// Unix time, nanoseconds.
    #[serde(rename = "t")]
    pub unix_ns: u64,
    /// Observer: the name of a node, `viewers` or `conductor` (the rehearsal itself).
    #[serde(rename = "who")]
    pub source: String,
    /// The event.
    #[serde(flatten)]
    pub event: Event,
}

/// An observed event. The `rename` attributes are the names in the file.
#[allow(missing_docs)]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "kebab-case")]
pub enum Event {
    /// A node's process started; it is cold unless `cold_s` is 0.
    NodeStart { streams: f64, cold_share: f64, cold_s: f64 },
    /// A node read the head and body of a set-up request. `origin` is the `o=` line of the offer.
    Attempt { attempt: u64, front: String, origin: String, title: String },
    /// A front requested the node's load (`OPTIONS`).
    Probe { front: String },
    /// A front read the node's list of sessions.
    #[serde(rename = "listed")]
    SessionsListed { front: String },
    /// The node handed the answer of an attempt to its socket.
    #[serde(rename = "answered")]
    AttemptAnswered { attempt: u64, status: u16 },
    /// The connection was closed or reset before the node answered the attempt.
    #[serde(rename = "closed")]
    AttemptClosed { attempt: u64 },
    /// A session ended at the node.
    #[serde(rename = "ended")]
    SessionEnded {
        origin: String,
        #[serde(rename = "why")]
        reason: String,
    },
    /// A front chose a rung for a session at the node.
    #[serde(rename = "layer")]
    RungSelected { origin: String, rung: u8 },
    /// The node was overloaded while cold and stopped answering.
    #[serde(rename = "fell")]
    Overloaded,
    /// A viewer sent a request. `session` is the viewer's name and the title.
    #[serde(rename = "asked")]
    RequestSent { request: u64, session: String, origin: String, title: String, class: String, front: String },
    /// A viewer read the answer to its request.
    #[serde(rename = "reply")]
    ResponseReceived { request: u64, status: u16, retry_after: Option<u64> },
    /// What the answer reported about the agreed policy: the log entry by which it was decided and, for a
    /// problem, the last segment of the problem type.
    #[serde(rename = "under")]
    PolicyReported {
        request: u64,
        entry: Option<u64>,
        #[serde(rename = "kind")]
        problem_type: String,
    },
    /// Unsolicited bytes arrived after the answer.
    #[serde(rename = "extra")]
    UnexpectedBytes { request: u64, bytes: usize },
    /// The connection ended without an answer.
    #[serde(rename = "broke")]
    ConnectionLost { request: u64 },
    /// The viewer's patience ran out without an answer.
    #[serde(rename = "gave-up")]
    TimedOut { request: u64 },
    /// The viewer closed its connection before the answer.
    #[serde(rename = "hung")]
    ViewerLeft { request: u64 },
    /// A list of nodes was written for a front: the node's state in it, `gone` if the node is not listed.
    #[serde(rename = "told")]
    ListPublished { front: String, node: String, state: String },
    /// A front's process started.
    FrontStart { front: String },
    /// A front was asked to shut down gracefully.
    FrontStop { front: String },
    /// A front's process was killed.
    #[serde(rename = "front-down")]
    FrontKilled { front: String },
    /// A front's process is suspended from now on for this many milliseconds.
    FrontStall { front: String, ms: u64 },
    /// Capacity that a front reports as held for announced peaks, kB/s.
    #[serde(rename = "held")]
    CapacityHeld { front: String, kb: f64, due_kb: f64 },
    /// A fault was injected; for the reader of the record.
    #[serde(rename = "fault")]
    FaultInjected { kind: String, detail: String },
}

/// Current Unix time, nanoseconds.
#[must_use]
pub fn unix_nanos() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_nanos() as u64)
}

/// Appends events of one source to a record. Each line is written immediately, so a killed process loses at most
/// its last line.
#[derive(Clone)]
pub struct Recorder {
    source: Rc<str>,
    file: Option<Rc<RefCell<File>>>,
    memory: Rc<RefCell<Vec<Line>>>,
    disabled: bool,
}

impl Recorder {
    /// Appends to a file.
    ///
    /// # Errors
    /// If the file cannot be opened.
    pub fn to_file(source: &str, path: &Path) -> io::Result<Self> {
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        Ok(Self {
            source: source.into(),
            file: Some(Rc::new(RefCell::new(file))),
            memory: Rc::default(),
            disabled: false,
        })
    }

    /// Keeps the lines in memory.
    #[must_use]
    pub fn in_memory(source: &str) -> Self {
        Self { source: source.into(), file: None, memory: Rc::default(), disabled: false }
    }

    /// Discards all events, for runs that are not checked.
    #[must_use]
    pub fn disabled() -> Self {
        Self { disabled: true, ..Self::in_memory("") }
    }

    /// The same record with another source name.
    #[must_use]
    pub fn with_source(&self, source: &str) -> Self {
        Self { source: source.into(), ..self.clone() }
    }

    /// Writes an event with the current time.
    pub fn write(&self, event: Event) {
        if self.disabled {
            return;
        }
        let line = Line { unix_ns: unix_nanos(), source: self.source.to_string(), event };
        match &self.file {
            Some(file) => {
                let mut text = serde_json::to_vec(&line).unwrap_or_default();
                text.push(b'\n');
                // An unwritable record must fail the run: an empty record would pass every check.
                file.borrow_mut().write_all(&text).expect("the record can be written");
            }
            None => self.memory.borrow_mut().push(line),
        }
    }

    /// The lines kept in memory.
    #[must_use]
    pub fn lines(&self) -> Vec<Line> {
        self.memory.borrow().clone()
    }
}

/// Reads a record. An incomplete last line, left by a killed process, is ignored.
///
/// # Errors
/// If the file cannot be read, or a line other than the last does not parse.
pub fn read(path: &Path) -> io::Result<Vec<Line>> {
    let lines: Vec<String> = BufReader::new(File::open(path)?).lines().collect::<Result<_, _>>()?;
    let last = lines.len().saturating_sub(1);
    let mut out = Vec::with_capacity(lines.len());
    for (index, line) in lines.iter().enumerate() {
        match serde_json::from_str(line) {
            Ok(line) => out.push(line),
            Err(_) if index == last => {}
            Err(e) => {
                return Err(io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {e}", index + 1)));
            }
        }
    }
    Ok(out)
}
