//! Authenticated datagrams. Each one carries its sender, the sender's run and a counter under a keyed MAC
//! (HMAC-SHA-256, truncated to 16 bytes; RFC 2104); the content is not encrypted.

use hmac::{Hmac, Mac};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt;
use subtle::ConstantTimeEq;

/// Maximum size of a datagram, bytes: it fits into one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;
/// First bytes of every datagram.
const MAGIC: [u8; 4] = *b"PHX1";
/// Size of the header, bytes: magic, sender, run, counter.
const HEADER_BYTES: usize = 4 + 8 + 8 + 8;
/// Size of the truncated MAC, bytes.
const TAG_BYTES: usize = 16;
/// Maximum number of senders whose replay window is kept.
const MAX_SENDERS: usize = 1_024;

/// The current key and, during a key change, the previous one. Never printed.
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
    /// Derives keys from secrets of any length. Datagrams are sealed with the current key and accepted with
    /// either.
    #[must_use]
    pub fn new(current: &str, previous: Option<&str>) -> Self {
        let key = |secret: &str| Sha256::digest(secret.as_bytes()).into();
        Self { current: key(current), previous: previous.map(key) }
    }
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reject {
    /// It is too short, too long, or belongs to another protocol.
    Malformed,
    /// The MAC matches neither the current nor the previous key.
    BadMac,
    /// Its counter was received before, or is too far behind the highest one received.
    Replayed,
    /// It belongs to an earlier run of its sender than the latest known one, which is given here.
    StaleRun(u64),
    /// Its content is not a valid message.
    Undecodable,
    /// Its sender exceeds the rate limit.
    RateLimited,
    /// It carries this front's own number as its sender.
    OwnDatagram,
}

/// Prints the names that the log of rejected datagrams uses.
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

/// The latest run of one sender and which of its counters were received. Datagrams may arrive out of order by
/// up to 63 counters.
#[derive(Clone, Copy, Debug)]
struct ReplayWindow {
    run: u64,
    highest: u64,
    /// Bit `i` is set if counter `highest - i` was received.
    seen: u64,
}

impl ReplayWindow {
    /// Records a datagram of the current run or a later one; returns whether it is new.
    fn accept(&mut self, run: u64, counter: u64) -> bool {
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

/// Seals outgoing datagrams, and authenticates and opens incoming ones.
pub struct Seal {
    keys: Keys,
    me: u64,
    run: u64,
    /// Counter of the last datagram sealed in this run.
    counter: u64,
    senders: BTreeMap<u64, ReplayWindow>,
}

/// An authenticated datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Opened<'a> {
    /// Number of the front that sealed it.
    pub sender: u64,
    /// The sender's run.
    pub run: u64,
    /// The content.
    pub content: &'a [u8],
}

/// The truncated MAC of `bytes`.
fn tag(key: &[u8; 32], bytes: &[u8]) -> [u8; TAG_BYTES] {
    let mut out = [0; TAG_BYTES];
    // HMAC accepts keys of any length, so this cannot fail.
    if let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(key) {
        mac.update(bytes);
        out.copy_from_slice(&mac.finalize().into_bytes()[..TAG_BYTES]);
    }
    out
}

/// Reads a big-endian integer at an offset.
fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    let mut integer = [0; 8];
    integer.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_be_bytes(integer)
}

impl Seal {
    /// `run` must be higher at each start of this front.
    pub fn new(keys: Keys, me: u64, run: u64) -> Self {
        Self { keys, me, run, counter: 0, senders: BTreeMap::new() }
    }

    /// Switches to a later run and restarts its counter.
    pub fn raise_run(&mut self, run: u64) {
        (self.run, self.counter) = (run, 0);
    }

    /// Wraps content into a datagram: header, content, MAC.
    pub fn seal(&mut self, content: &[u8]) -> Vec<u8> {
        self.counter += 1;
        let mut out = Vec::with_capacity(HEADER_BYTES + content.len() + TAG_BYTES);
        out.extend_from_slice(&MAGIC);
        for field in [self.me, self.run, self.counter] {
            out.extend_from_slice(&field.to_be_bytes());
        }
        out.extend_from_slice(content);
        let tag = tag(&self.keys.current, &out);
        out.extend_from_slice(&tag);
        out
    }

    /// Authenticates and opens a datagram. The MAC is verified before any other field is used.
    ///
    /// # Errors
    /// Why the datagram is rejected.
    pub fn open<'a>(&mut self, datagram: &'a [u8]) -> Result<Opened<'a>, Reject> {
        if !(HEADER_BYTES + TAG_BYTES..=MAX_DATAGRAM_BYTES).contains(&datagram.len())
            || datagram[..4] != MAGIC
        {
            return Err(Reject::Malformed);
        }
        let (sealed, received_tag) = datagram.split_at(datagram.len() - TAG_BYTES);
        let matches = |key: &[u8; 32]| bool::from(tag(key, sealed).ct_eq(received_tag));
        if !matches(&self.keys.current) && !self.keys.previous.as_ref().is_some_and(matches) {
            return Err(Reject::BadMac);
        }
        let (sender, run, counter) = (read_u64(sealed, 4), read_u64(sealed, 12), read_u64(sealed, 20));
        if sender == self.me {
            return Err(Reject::OwnDatagram);
        }
        match self.senders.get_mut(&sender) {
            Some(window) => {
                if run < window.run {
                    return Err(Reject::StaleRun(window.run));
                }
                if !window.accept(run, counter) {
                    return Err(Reject::Replayed);
                }
            }
            None => {
                if self.senders.len() >= MAX_SENDERS {
                    self.senders.pop_first();
                }
                self.senders.insert(sender, ReplayWindow { run, highest: counter, seen: 1 });
            }
        }
        Ok(Opened { sender, run, content: &sealed[HEADER_BYTES..] })
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pair(a: &Keys, b: &Keys) -> (Seal, Seal) {
        (Seal::new(a.clone(), 1, 10), Seal::new(b.clone(), 2, 10))
    }

    #[test]
    fn wrong_keys_and_truncated_or_changed_datagrams_are_rejected() {
        let (mut a, mut b) = pair(&Keys::new("k", None), &Keys::new("k", None));
        let datagram = a.seal(b"hello");
        for length in 0..datagram.len() {
            assert!(b.open(&datagram[..length]).is_err(), "truncated to {length} bytes");
        }
        for i in 0..datagram.len() {
            let mut changed = datagram.clone();
            changed[i] ^= 1;
            assert!(b.open(&changed).is_err(), "byte {i} changed");
        }
        assert_eq!(b.open(&datagram), Ok(Opened { sender: 1, run: 10, content: b"hello" }));
        assert_eq!(Seal::new(Keys::new("x", None), 3, 1).open(&datagram), Err(Reject::BadMac));
        let own = a.seal(b"x");
        assert_eq!(a.open(&own), Err(Reject::OwnDatagram));
        let long = a.seal(&[0; MAX_DATAGRAM_BYTES]);
        assert_eq!(b.open(&long), Err(Reject::Malformed));
    }

    #[test]
    fn both_keys_are_valid_during_a_key_change() {
        let (old_only, both, new_only) =
            (Keys::new("old", None), Keys::new("new", Some("old")), Keys::new("new", None));
        let (mut a, mut b) = pair(&old_only, &both);
        assert!(b.open(&a.seal(b"x")).is_ok());
        assert_eq!(
            a.open(&b.seal(b"x")),
            Err(Reject::BadMac),
            "the receiver with the old settings does not have the new key"
        );
        let (mut c, mut d) = pair(&new_only, &both);
        assert!(c.open(&d.seal(b"x")).is_ok() && d.open(&c.seal(b"x")).is_ok());
    }

    #[test]
    fn replays_and_earlier_runs_are_rejected_reordering_is_accepted() {
        let keys = Keys::new("k", None);
        let (mut a, mut b) = pair(&keys, &keys);
        let datagrams: Vec<Vec<u8>> = (0..70).map(|_| a.seal(b"x")).collect();
        assert!(b.open(&datagrams[5]).is_ok() && b.open(&datagrams[3]).is_ok(), "out of order");
        assert_eq!(b.open(&datagrams[5]), Err(Reject::Replayed));
        assert!(b.open(&datagrams[69]).is_ok());
        assert_eq!(
            b.open(&datagrams[4]),
            Err(Reject::Replayed),
            "too far behind to be distinguished from a replay"
        );
        let mut restarted = Seal::new(keys, 1, 11);
        assert!(b.open(&restarted.seal(b"x")).is_ok());
        assert_eq!(b.open(&datagrams[68]), Err(Reject::StaleRun(11)), "from the previous run");
    }
}
