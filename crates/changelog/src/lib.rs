//! The platform's change log: frames, records and the list of nodes that they build. No I/O.
//!
//! A frame is `length:4 number:8 kind:1 payload`, big-endian; the length counts what follows it. Kind 0 tells of
//! nothing new, 1 holds the whole list, 2 changes, both as records of 27 bytes. The events of a start come as JSON and
//! give the same values ([`known`]).

mod known;

pub use known::{known, node_id};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Bytes of one record.
const RECORD: usize = 27;
/// Bytes of number and kind.
const HEAD: usize = 9;
/// Records of one frame at most, a longer frame is taken for noise; and nodes of the list.
const RECORDS: usize = 20_000;

/// Why the bytes are no change log. The connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The length is too small or too large, or no whole number of records.
    #[error("a frame's length does not fit")]
    Length,
    /// The kind is none of the known ones.
    #[error("a frame's kind is unknown")]
    Kind,
    /// A record's state is none of the known ones.
    #[error("a record's state is unknown")]
    State,
}

/// What the list says of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes set-ups.
    Ready,
    /// It finishes its work.
    Draining,
    /// It is gone.
    Gone,
}

/// One node as listed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Entry {
    /// Its id.
    pub id: u32,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its state.
    pub state: State,
    /// Its zone, an index into the settings' list.
    pub zone: u16,
    /// Its kind, an index into the settings' list.
    pub kind: u16,
    /// Its cell.
    pub cell: u32,
    /// Its weight.
    pub weight: f64,
    /// When it last started, Unix milliseconds; 0 means long ago.
    pub started_ms: u64,
}

/// One event.
#[derive(Clone, Debug, PartialEq)]
pub struct Event {
    /// Its number, from 1.
    pub number: u64,
    /// It holds the whole list.
    pub full: bool,
    /// Its entries.
    pub entries: Vec<Entry>,
}

/// One frame.
#[derive(Clone, Debug, PartialEq)]
pub enum Frame {
    /// Nothing new; the number of the last event.
    Nothing(u64),
    /// An event.
    Event(Event),
}

/// Takes bytes in pieces of any size and gives frames out. It holds one frame and one piece at most.
#[derive(Debug, Default)]
pub struct Decoder(Vec<u8>);

impl Decoder {
    /// Takes bytes in.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.0.extend_from_slice(bytes);
    }

    /// Bytes of the frame that is under way, as it announces itself; 0 where that is not told yet.
    #[must_use]
    pub fn announced(&self) -> usize {
        self.0.first_chunk::<4>().map_or(0, |length| 4 + u32::from_be_bytes(*length) as usize)
    }

    /// The next whole frame.
    ///
    /// # Errors
    /// When the bytes are no frame.
    pub fn decode(&mut self) -> Result<Option<Frame>, Fault> {
        let Some(length) = self.0.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        let records = length.checked_sub(HEAD).ok_or(Fault::Length)?;
        if records % RECORD != 0 || records / RECORD > RECORDS {
            return Err(Fault::Length);
        }
        // The kind is judged as soon as it is there, before a long payload is waited for.
        if self.0.get(12).is_some_and(|kind| *kind > 2 || (*kind == 0 && records > 0)) {
            return Err(Fault::Kind);
        }
        if self.0.len() < 4 + length {
            return Ok(None);
        }
        let frame: Vec<u8> = self.0.drain(..4 + length).collect();
        let mut r = Reader(&frame[4..]);
        let (number, kind) = (r.u64(), r.u8());
        if kind == 0 {
            return Ok(Some(Frame::Nothing(number)));
        }
        let entries = (0..records / RECORD).map(|_| r.record()).collect::<Result<_, _>>()?;
        Ok(Some(Frame::Event(Event { number, full: kind == 1, entries })))
    }
}

/// A cursor over bytes whose number was checked; past the end it reads zeros.
struct Reader<'a>(&'a [u8]);

impl Reader<'_> {
    fn number(&mut self, bytes: usize) -> u64 {
        let (value, rest) = self.0.split_at(bytes.min(self.0.len()));
        self.0 = rest;
        value.iter().fold(0, |sum, b| sum << 8 | u64::from(*b))
    }

    fn u8(&mut self) -> u8 {
        self.number(1) as u8
    }

    fn u64(&mut self) -> u64 {
        self.number(8)
    }

    fn record(&mut self) -> Result<Entry, Fault> {
        let id = self.number(4) as u32;
        let address = SocketAddrV4::new(Ipv4Addr::from(self.number(4) as u32), self.number(2) as u16);
        let state = match self.u8() {
            0 => State::Ready,
            1 => State::Draining,
            2 => State::Gone,
            _ => return Err(Fault::State),
        };
        let (zone, kind, cell) = (u16::from(self.u8()), u16::from(self.u8()), self.number(2) as u32);
        let (weight, started_ms) = (self.number(4) as f64 / 1000.0, self.u64());
        Ok(Entry { id, address, state, zone, kind, cell, weight, started_ms })
    }
}

/// What became of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// It is in force now.
    New,
    /// It was known already.
    Known,
    /// Events before it are missing: the change log is asked again.
    Gap,
    /// The list would name more nodes than one whole list can.
    TooMany,
}

/// The list of nodes as the events so far have built it, and the number of the last one.
#[derive(Clone, Debug, Default)]
pub struct List {
    last: u64,
    nodes: BTreeMap<u32, Entry>,
}

impl List {
    /// The number of the last event taken.
    #[must_use]
    pub fn last(&self) -> u64 {
        self.last
    }

    /// The nodes by id.
    #[must_use]
    pub fn nodes(&self) -> &BTreeMap<u32, Entry> {
        &self.nodes
    }

    /// Takes an event whole or not at all. Each is taken once; a change that does not follow the last event is not
    /// taken, a whole list may skip some.
    pub fn apply(&mut self, event: &Event) -> Applied {
        if event.number <= self.last {
            return Applied::Known;
        }
        if !event.full && event.number != self.last + 1 {
            return Applied::Gap;
        }
        let new = |e: &&Entry| e.state != State::Gone && !self.nodes.contains_key(&e.id);
        if !event.full && self.nodes.len() + event.entries.iter().filter(new).count() > RECORDS {
            return Applied::TooMany;
        }
        if event.full {
            self.nodes.clear();
        }
        for entry in &event.entries {
            match entry.state {
                State::Gone => self.nodes.remove(&entry.id),
                _ => self.nodes.insert(entry.id, *entry),
            };
        }
        self.last = event.number;
        Applied::New
    }

    /// Takes an event of the start, whose numbers may begin anywhere.
    pub fn start(&mut self, event: &Event) {
        if event.number > self.last {
            self.last = event.number - 1;
            self.apply(event);
        }
    }

    /// Whether the change log is ahead of this list, by the number in a frame that tells of nothing new.
    #[must_use]
    pub fn is_behind(&self, number: u64) -> bool {
        number > self.last
    }
}

#[cfg(test)]
mod tests;
