//! The simulator's binary protocol: codes of records, and reading and writing of records in frames. All
//! numbers are big-endian.

use std::fmt;

/// Length of the header of an input frame in bytes: batch (4), number of records (4), length of the body (4)
/// and time in nanoseconds (8).
pub const INPUT_HEADER_BYTES: usize = 20;
/// Length of the header of a reply frame in bytes: batch, number of records and length of the body (4 each).
const REPLY_HEADER_BYTES: usize = 12;

/// Codes of input records.
pub mod input {
    /// Starts an instance with its settings.
    pub const START: u8 = 1;
    /// Gives a list of servers to an instance, by the list's number.
    pub const LIST: u8 = 2;
    /// A viewer asks for a session.
    pub const REQUEST: u8 = 3;
    /// A session plays.
    pub const STARTED: u8 = 4;
    /// An attempt or a session ended.
    pub const ENDED: u8 = 5;
    /// The viewer left, or the request ended for another reason.
    pub const CLOSED: u8 = 6;
    /// A timer expired.
    pub const TIMER: u8 = 7;
    /// The result of a probe.
    pub const PROBED: u8 = 8;
    /// A message from another front.
    pub const MESSAGE: u8 = 9;
    /// Stops an instance.
    pub const STOP: u8 = 10;
    /// A session that was already playing when the instance started.
    pub const ADOPTED: u8 = 11;
    /// A server's notification about a session.
    pub const NOTIFICATION: u8 = 12;
    /// Defines a list of servers, for all instances.
    pub const LIST_CONTENT: u8 = 13;
}

/// Codes of reply records.
pub mod reply {
    /// Send a set-up to a server.
    pub const SET_UP: u8 = 65;
    /// Refuse a request.
    pub const REFUSE: u8 = 66;
    /// Answer that a session failed.
    pub const FAIL: u8 = 67;
    /// Set a timer.
    pub const SET_TIMER: u8 = 69;
    /// Probe a server.
    pub const PROBE: u8 = 70;
    /// Write a line to the log.
    pub const LOG: u8 = 73;
    /// Subscribe to the list of servers.
    pub const WATCH_LIST: u8 = 75;
    /// Set a session's rung.
    pub const SET_RUNG: u8 = 77;
    /// Move a session.
    pub const MOVE: u8 = 78;
}

/// Scopes of a [`input::LIST`] record.
pub mod scope {
    /// The list contains the changed entries.
    pub const CHANGES: u8 = 0;
    /// The list could not be fetched.
    pub const FAILED: u8 = 1;
    /// The list is complete.
    pub const COMPLETE: u8 = 2;
    /// The list is complete; the adapter treats it like [`COMPLETE`].
    pub const COMPLETE_OTHER: u8 = 3;
}

/// States of a server in a list entry.
pub mod server_state {
    pub const GONE: u8 = 0;
    pub const READY: u8 = 1;
    pub const DRAINING: u8 = 2;
}

/// Outcomes of attempts, sessions and probes.
pub mod outcome {
    pub const SERVED: u16 = 100;
    pub const ERROR: u16 = 301;
    pub const FULL: u16 = 302;
    pub const TIMED_OUT: u16 = 303;
    pub const CONNECT_FAILED: u16 = 304;
    pub const BROKEN: u16 = 305;
    pub const CANCELLED: u16 = 306;
    pub const UNSENT: u16 = 307;
}

/// Kinds of notifications.
pub mod notification {
    pub const DELIVERED: u8 = 1;
    pub const RUNG: u8 = 2;
    pub const LINK_USE: u8 = 3;
    pub const UPLINK_USE: u8 = 4;
}

/// Flag of a request: the length field is valid.
pub const FLAG_HAS_LENGTH: u8 = 1;
/// Flags of a request (8 and 16); if any of them is set, the viewer reconnects.
pub const FLAGS_RECONNECT: u8 = 24;

/// An error in the input.
#[derive(Debug)]
pub struct Fault {
    /// Number of the record in its batch, from 0.
    pub record: u32,
    /// Byte offset in the body of the batch.
    pub offset: usize,
    /// What is wrong there.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "record {} at offset {}: {}", self.record, self.offset, self.problem)
    }
}

/// A cursor over the body of one batch.
pub struct Reader<'a> {
    body: &'a [u8],
    offset: usize,
    /// Number of the record being read.
    pub record: u32,
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident: $type:ty),*) => {$(
        $(#[$doc])*
        pub fn $name(&mut self) -> Result<$type, Fault> {
            let mut raw = [0; size_of::<$type>()];
            raw.copy_from_slice(self.take(size_of::<$type>())?);
            Ok(<$type>::from_be_bytes(raw))
        }
    )*};
}

impl<'a> Reader<'a> {
    /// Starts at the first byte.
    pub fn new(body: &'a [u8]) -> Self {
        Self { body, offset: 0, record: 0 }
    }

    /// An error at the current offset.
    pub fn fault(&self, problem: impl Into<String>) -> Fault {
        Fault { record: self.record, offset: self.offset, problem: problem.into() }
    }

    /// Number of bytes that are not read yet.
    pub fn remaining(&self) -> usize {
        self.body.len() - self.offset
    }

    /// The next `length` bytes.
    pub fn take(&mut self, length: usize) -> Result<&'a [u8], Fault> {
        let rest = &self.body[self.offset..];
        let Some(bytes) = rest.get(..length) else {
            return Err(self.fault(format!("needs {length} bytes, {} are left", rest.len())));
        };
        self.offset += length;
        Ok(bytes)
    }

    numbers! {
        /// An unsigned integer of one byte.
        u8: u8,
        /// An unsigned integer of two bytes.
        u16: u16,
        /// An unsigned integer of four bytes.
        u32: u32,
        /// An unsigned integer of eight bytes.
        u64: u64,
        /// A float of four bytes.
        f32: f32
    }

    /// A list of floats after its length of one byte.
    pub fn values(&mut self) -> Result<Vec<f64>, Fault> {
        let count = self.u8()?;
        (0..count).map(|_| Ok(f64::from(self.f32()?))).collect()
    }
}

/// The records of a reply.
#[derive(Default)]
pub struct Writer {
    /// Number of records so far.
    pub records: u32,
    /// Their bytes.
    pub body: Vec<u8>,
}

impl Writer {
    /// Starts a record with its code and instance.
    pub fn record(&mut self, code: u8, instance: u16) -> &mut Self {
        self.records += 1;
        self.body.push(code);
        self.bytes(&instance.to_be_bytes())
    }

    /// Appends bytes.
    pub fn bytes(&mut self, bytes: &[u8]) -> &mut Self {
        self.body.extend_from_slice(bytes);
        self
    }

    /// The whole reply frame.
    pub fn frame(&self, batch: u32) -> Vec<u8> {
        let length = u32::try_from(self.body.len()).unwrap_or(u32::MAX);
        let mut out = Vec::with_capacity(REPLY_HEADER_BYTES + self.body.len());
        for number in [batch, self.records, length] {
            out.extend_from_slice(&number.to_be_bytes());
        }
        out.extend_from_slice(&self.body);
        out
    }
}
