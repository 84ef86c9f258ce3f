//! Datagrams: who sent them, in which run and which order, under a keyed MAC (HMAC-SHA-256, cut to 16 bytes;
//! RFC 2104).

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;
use subtle::ConstantTimeEq;

/// Bytes of a datagram at most: one Ethernet frame.
pub const MOST_DATAGRAM: usize = 1_200;
const MAGIC: [u8; 4] = *b"PHX1";
const HEAD: usize = 4 + 8 + 8 + 8;
const TAG: usize = 16;
/// Senders that are remembered at most.
const MOST_SENDERS: usize = 1_024;

/// The key in force and, while keys are being changed, the one before. Never printed.
#[derive(Clone)]
pub struct Keys {
    current: [u8; 32],
    previous: Option<[u8; 32]>,
}

impl fmt::Debug for Keys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Keys")
    }
}

impl Keys {
    /// Keys made from secrets of any length. Datagrams are sealed with the first and opened with either.
    #[must_use]
    pub fn new(current: &str, previous: Option<&str>) -> Self {
        let key = |secret: &str| Sha256::digest(secret.as_bytes()).into();
        Self { current: key(current), previous: previous.map(key) }
    }
}

/// Why a datagram is thrown away.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reject {
    /// Too short, too long, or of another protocol.
    Malformed,
    /// The MAC is wrong.
    BadMac,
    /// It came before.
    Replayed,
    /// It belongs to an earlier run of its sender than this, the last one known.
    StaleRun(u64),
    /// Its content is no message.
    Undecodable,
    /// Its sender sends more than it may.
    RateLimited,
    /// It is this front's own.
    OwnDatagram,
}

/// Prints the reason's name as it appears in the log of rejected datagrams.
impl fmt::Debug for Reject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => f.write_str("Form"),
            Self::BadMac => f.write_str("Key"),
            Self::Replayed => f.write_str("Replay"),
            Self::StaleRun(known) => f.debug_tuple("Behind").field(known).finish(),
            Self::Undecodable => f.write_str("Content"),
            Self::RateLimited => f.write_str("Rate"),
            Self::OwnDatagram => f.write_str("Own"),
        }
    }
}

/// The order in which one sender's datagrams came.
#[derive(Clone, Copy, Debug)]
struct Window {
    run: u64,
    highest: u64,
    /// Bit `i`: `highest - i` came.
    seen: u64,
}

impl Window {
    /// Whether a datagram of the last run known, or a later one, is new.
    fn take(&mut self, run: u64, counter: u64) -> bool {
        if run > self.run {
            *self = Self { run, highest: counter, seen: 1 };
            return true;
        }
        if counter > self.highest {
            let ahead = counter - self.highest;
            self.seen = if ahead < 64 { self.seen << ahead | 1 } else { 1 };
            self.highest = counter;
            return true;
        }
        let behind = self.highest - counter;
        let bit = if behind < 64 { 1u64 << behind } else { return false };
        let fresh = self.seen & bit == 0;
        self.seen |= bit;
        fresh
    }
}

/// Seals and opens datagrams.
pub struct Seal {
    keys: Keys,
    me: u64,
    run: u64,
    counter: u64,
    senders: BTreeMap<u64, Window>,
}

fn tag(key: &[u8; 32], bytes: &[u8]) -> [u8; TAG] {
    let mut out = [0; TAG];
    // A key of 32 bytes is always taken.
    if let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(key) {
        mac.update(bytes);
        out.copy_from_slice(&mac.finalize().into_bytes()[..TAG]);
    }
    out
}

fn word(bytes: &[u8], at: usize) -> u64 {
    let mut w = [0; 8];
    w.copy_from_slice(&bytes[at..at + 8]);
    u64::from_be_bytes(w)
}

impl Seal {
    /// `run` must be higher at each start of this sender.
    pub fn new(keys: Keys, me: u64, run: u64) -> Self {
        Self { keys, me, run, counter: 0, senders: BTreeMap::new() }
    }

    /// A later run from now on; its datagrams are counted from the start.
    pub fn raise(&mut self, run: u64) {
        (self.run, self.counter) = (run, 0);
    }

    /// Seals content.
    pub fn seal(&mut self, content: &[u8]) -> Vec<u8> {
        self.counter += 1;
        let mut out = Vec::with_capacity(HEAD + content.len() + TAG);
        out.extend_from_slice(&MAGIC);
        for word in [self.me, self.run, self.counter] {
            out.extend_from_slice(&word.to_be_bytes());
        }
        out.extend_from_slice(content);
        let tag = tag(&self.keys.current, &out);
        out.extend_from_slice(&tag);
        out
    }

    /// Opens a datagram: its sender, the sender's run and the content. The MAC is checked before anything is believed.
    ///
    /// # Errors
    /// Why it is thrown away.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<(u64, u64, &'a [u8]), Reject> {
        if !(HEAD + TAG..=MOST_DATAGRAM).contains(&datagram.len()) || datagram[..4] != MAGIC {
            return Err(Reject::Malformed);
        }
        let (sealed, given) = datagram.split_at(datagram.len() - TAG);
        let fits = |key: &[u8; 32]| bool::from(tag(key, sealed).ct_eq(given));
        if !fits(&self.keys.current) && !self.keys.previous.as_ref().is_some_and(fits) {
            return Err(Reject::BadMac);
        }
        let (sender, run, counter) = (word(sealed, 4), word(sealed, 12), word(sealed, 20));
        if sender == self.me {
            return Err(Reject::OwnDatagram);
        }
        match self.senders.get_mut(&sender) {
            Some(window) => {
                if run < window.run {
                    return Err(Reject::StaleRun(window.run));
                }
                if !window.take(run, counter) {
                    return Err(Reject::Replayed);
                }
            }
            None => {
                if self.senders.len() >= MOST_SENDERS {
                    self.senders.pop_first();
                }
                self.senders.insert(sender, Window { run, highest: counter, seen: 1 });
            }
        }
        Ok((sender, run, &sealed[HEAD..]))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pair(a: &Keys, b: &Keys) -> (Seal, Seal) {
        (Seal::new(a.clone(), 1, 10), Seal::new(b.clone(), 2, 10))
    }

    #[test]
    fn wrong_keys_cut_and_changed_datagrams_are_thrown_away() {
        let (mut a, mut b) = pair(&Keys::new("k", None), &Keys::new("k", None));
        let d = a.seal(b"hello");
        for cut in 0..d.len() {
            assert!(b.open(&d[..cut]).is_err(), "cut at {cut}");
        }
        for i in 0..d.len() {
            let mut changed = d.clone();
            changed[i] ^= 1;
            assert!(b.open(&changed).is_err(), "byte {i} changed");
        }
        assert_eq!(b.open(&d), Ok((1, 10, &b"hello"[..])));
        assert_eq!(Seal::new(Keys::new("x", None), 3, 1).open(&d), Err(Reject::BadMac));
        let own = a.seal(b"x");
        assert_eq!(a.open(&own), Err(Reject::OwnDatagram));
        let long = a.seal(&[0; MOST_DATAGRAM]);
        assert_eq!(b.open(&long), Err(Reject::Malformed));
    }

    #[test]
    fn two_keys_are_valid_while_they_change() {
        let (old, both, new) =
            (Keys::new("old", None), Keys::new("new", Some("old")), Keys::new("new", None));
        let (mut a, mut b) = pair(&old, &both);
        assert!(b.open(&a.seal(b"x")).is_ok());
        assert_eq!(a.open(&b.seal(b"x")), Err(Reject::BadMac), "the old one does not know the new key yet");
        let (mut c, mut d) = pair(&new, &both);
        assert!(c.open(&d.seal(b"x")).is_ok() && d.open(&c.seal(b"x")).is_ok());
    }

    #[test]
    fn replays_and_earlier_runs_are_thrown_away_reordering_is_not() {
        let keys = Keys::new("k", None);
        let (mut a, mut b) = pair(&keys, &keys);
        let all: Vec<Vec<u8>> = (0..70).map(|_| a.seal(b"x")).collect();
        assert!(b.open(&all[5]).is_ok() && b.open(&all[3]).is_ok(), "out of order");
        assert_eq!(b.open(&all[5]), Err(Reject::Replayed));
        assert!(b.open(&all[69]).is_ok());
        assert_eq!(b.open(&all[4]), Err(Reject::Replayed), "too far behind to be told from a replay");
        let mut restarted = Seal::new(keys, 1, 11);
        assert!(b.open(&restarted.seal(b"x")).is_ok());
        assert_eq!(b.open(&all[68]), Err(Reject::StaleRun(11)), "of the run before");
    }
}
