//! Messages longer than a datagram between two fronts, in numbered pieces; the missing ones are sent again.
//!
//! What fits into a datagram does not come here: it goes out at once and nobody says that it arrived. To one front one
//! parcel is under way at a time, and what waits goes into the next one together: consensus takes links for ordered, and a
//! long message that later ones overtake would be thrown away each time.

use std::collections::{BTreeMap, VecDeque};

/// Bytes of a piece.
pub const PIECE: usize = 1_000;
/// Bytes of a parcel at most: more than a message between voters ever has.
pub const MOST_PARCEL: usize = 400 * 1024;
/// Parcels from one front at a time: one that it has given up may still be here.
pub const MOST_OPEN: usize = 2;
/// Messages that wait for a parcel to one front.
pub const MOST_WAITING: usize = 128;
/// Fronts that parcels are open to, or from.
pub const MOST_PEERS: usize = 64;
/// Bytes of all parcels that are open.
pub const MOST_HELD: usize = 8 << 20;
/// A parcel of which nothing arrived for so long is dropped, milliseconds.
pub const IDLE_MS: u64 = 2_000;
/// It is dropped after this in any case, milliseconds.
pub const LIFE_MS: u64 = 20_000;
/// Pieces to one front a second, and at once.
const RATE: u64 = 64;
const BURST: u64 = 16;
const AGAIN_MS: u64 = 300;
const ACK_MS: u64 = 60;
const ACK_EVERY: u16 = 8;
/// Parcels from one front that arrived whole and are still acknowledged when they come again.
const MOST_DONE: usize = 16;

/// Tokens that fill up with time.
#[derive(Clone, Debug)]
pub struct Bucket {
    rate: u64,
    most: u64,
    /// Thousandths of a token.
    has: u64,
    at_ms: u64,
}

impl Bucket {
    /// Full, with `rate` tokens a second and `most` at once.
    #[must_use]
    pub fn new(now_ms: u64, rate: u64, most: u64) -> Self {
        Self { rate, most, has: most.saturating_mul(1_000), at_ms: now_ms }
    }

    /// Takes one if there is one.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let gained = now_ms.saturating_sub(self.at_ms).saturating_mul(self.rate);
        self.has = self.has.saturating_add(gained).min(self.most.saturating_mul(1_000));
        self.at_ms = self.at_ms.max(now_ms);
        let is = self.has >= 1_000;
        if is {
            self.has -= 1_000;
        }
        is
    }
}

/// A piece on its way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// The parcel, by the sender's count.
    pub id: u64,
    /// Bytes of the whole.
    pub length: u32,
    /// Which piece.
    pub index: u16,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// What the receiver has of a parcel.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ack {
    /// The parcel.
    pub id: u64,
    /// One bit for each piece, the lowest first.
    pub has: Vec<u8>,
}

/// What leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Leaves {
    /// A piece of a parcel.
    Piece(Piece),
    /// What of another's parcel is here.
    Ack(Ack),
}

#[derive(Debug)]
struct Outgoing {
    id: u64,
    bytes: Vec<u8>,
    /// By piece: when it was sent last, 0 if never; `None` once it arrived.
    pieces: Vec<Option<u64>>,
    begun_ms: u64,
    heard_ms: u64,
}

#[derive(Debug)]
struct To {
    bucket: Bucket,
    open: Option<Outgoing>,
    waiting: VecDeque<Vec<u8>>,
}

#[derive(Debug)]
struct Incoming {
    length: usize,
    bytes: Vec<u8>,
    has: Vec<bool>,
    missing: usize,
    heard_ms: u64,
    begun_ms: u64,
    unsaid: u16,
    said_ms: u64,
}

#[derive(Debug, Default)]
struct From {
    run: u64,
    open: BTreeMap<u64, Incoming>,
    /// Those that are whole, and how many pieces they had.
    done: VecDeque<(u64, usize)>,
    heard_ms: u64,
}

/// Parcels to and from all fronts.
#[derive(Debug)]
pub struct Parcels {
    next: u64,
    to: BTreeMap<u64, To>,
    from: BTreeMap<u64, From>,
}

impl Outgoing {
    /// As many of those that wait as there is room for.
    fn of(now_ms: u64, id: u64, waiting: &mut VecDeque<Vec<u8>>) -> Self {
        let (mut messages, mut room) = (Vec::new(), MOST_PARCEL);
        while let Some(next) = waiting.front().filter(|w| messages.is_empty() || w.len() + 8 <= room) {
            room = room.saturating_sub(next.len() + 8);
            messages.extend(waiting.pop_front());
        }
        let bytes = postcard::to_stdvec(&messages).unwrap_or_default();
        let pieces = vec![Some(0); count(bytes.len())];
        Self { id, bytes, pieces, begun_ms: now_ms, heard_ms: now_ms }
    }
}

fn count(length: usize) -> usize {
    length.div_ceil(PIECE)
}

impl Parcels {
    /// None open. Parcels are counted from `first`: a front that restarted begins elsewhere, since acknowledgements of
    /// its earlier run may still be on their way.
    #[must_use]
    pub fn new(first: u64) -> Self {
        Self { next: first, to: BTreeMap::new(), from: BTreeMap::new() }
    }

    /// A message for a front. False if there is no room: it counts as lost.
    pub fn send(&mut self, now_ms: u64, to: u64, bytes: Vec<u8>) -> bool {
        if bytes.is_empty() || bytes.len() + 64 > MOST_PARCEL || self.bytes() + bytes.len() > MOST_HELD {
            return false;
        }
        if !self.to.contains_key(&to) && self.to.len() >= MOST_PEERS {
            return false;
        }
        let new = || To { bucket: Bucket::new(now_ms, RATE, BURST), open: None, waiting: VecDeque::new() };
        let peer = self.to.entry(to).or_insert_with(new);
        let room = peer.waiting.len() < MOST_WAITING
            && peer.waiting.iter().map(Vec::len).sum::<usize>() + bytes.len() <= 2 * MOST_PARCEL;
        if room {
            peer.waiting.push_back(bytes);
        }
        room
    }

    /// Whether messages to a front are under way here: what must not overtake them has to follow them.
    #[must_use]
    pub fn is_busy(&self, to: u64) -> bool {
        self.to.get(&to).is_some_and(|t| t.open.is_some() || !t.waiting.is_empty())
    }

    /// Bytes that have not arrived at a front yet.
    #[must_use]
    pub fn left(&self, to: u64) -> usize {
        self.to.get(&to).map_or(0, |t| {
            let open = t.open.as_ref().map_or(0, |o| o.pieces.iter().flatten().count() * PIECE);
            open + t.waiting.iter().map(Vec::len).sum::<usize>()
        })
    }

    /// A piece came; the parcel's messages once it was the last. `run` is the sender's.
    pub fn piece(&mut self, now_ms: u64, from: u64, run: u64, piece: &Piece) -> (Vec<Vec<u8>>, Option<Ack>) {
        let (length, index) = (piece.length as usize, usize::from(piece.index));
        let pieces = count(length);
        let here = index.saturating_mul(PIECE);
        let held = self.bytes();
        let sound = (1..=MOST_PARCEL).contains(&length)
            && index < pieces
            && piece.bytes.len() == PIECE.min(length.saturating_sub(here));
        if !sound || (!self.from.contains_key(&from) && self.from.len() >= MOST_PEERS) {
            return (Vec::new(), None);
        }
        let peer = self.from.entry(from).or_default();
        if run < peer.run {
            return (Vec::new(), None);
        }
        if run > peer.run {
            *peer = From { run, ..From::default() };
        }
        peer.heard_ms = now_ms;
        if let Some((id, pieces)) = peer.done.iter().find(|(id, _)| *id == piece.id) {
            return (Vec::new(), Some(Ack { id: *id, has: bits(&vec![true; *pieces]) }));
        }
        if !peer.open.contains_key(&piece.id) {
            if peer.open.len() >= MOST_OPEN || held + length > MOST_HELD {
                return (Vec::new(), None);
            }
            let new = Incoming {
                length,
                bytes: vec![0; length],
                has: vec![false; pieces],
                missing: pieces,
                heard_ms: now_ms,
                begun_ms: now_ms,
                unsaid: 0,
                said_ms: now_ms,
            };
            peer.open.insert(piece.id, new);
        }
        let Some(open) = peer.open.get_mut(&piece.id) else { return (Vec::new(), None) };
        if open.length != length {
            return (Vec::new(), None);
        }
        if let (Some(has), Some(room)) =
            (open.has.get_mut(index), open.bytes.get_mut(here..here + piece.bytes.len()))
            && !*has
        {
            *has = true;
            room.copy_from_slice(&piece.bytes);
            open.missing = open.missing.saturating_sub(1);
            open.heard_ms = now_ms;
        }
        open.unsaid = open.unsaid.saturating_add(1);
        if open.missing == 0 {
            let ack = Ack { id: piece.id, has: bits(&open.has) };
            let whole = peer.open.remove(&piece.id).map(|o| o.bytes);
            if peer.done.len() >= MOST_DONE {
                peer.done.pop_front();
            }
            peer.done.push_back((piece.id, pieces));
            let messages = whole.and_then(|w| postcard::from_bytes(&w).ok()).unwrap_or_default();
            return (messages, Some(ack));
        }
        if open.unsaid >= ACK_EVERY {
            (open.unsaid, open.said_ms) = (0, now_ms);
            return (Vec::new(), Some(Ack { id: piece.id, has: bits(&open.has) }));
        }
        (Vec::new(), None)
    }

    /// The receiver told what it has.
    pub fn ack(&mut self, now_ms: u64, from: u64, ack: &Ack) {
        let Some(peer) = self.to.get_mut(&from) else { return };
        let Some(o) = peer.open.as_mut().filter(|o| o.id == ack.id) else { return };
        for (i, piece) in o.pieces.iter_mut().enumerate() {
            let has = ack.has.get(i / 8).is_some_and(|b| b >> (i % 8) & 1 == 1);
            if has && piece.is_some() {
                *piece = None;
                o.heard_ms = now_ms;
            }
        }
        if o.pieces.iter().all(Option::is_none) {
            peer.open = None;
        }
    }

    /// What has to leave now: (to, what).
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<(u64, Leaves)>) {
        for (to, peer) in &mut self.to {
            let over = |o: &Outgoing| {
                now_ms.saturating_sub(o.heard_ms) >= IDLE_MS || now_ms.saturating_sub(o.begun_ms) >= LIFE_MS
            };
            if peer.open.as_ref().is_some_and(over) {
                peer.open = None;
            }
            if peer.open.is_none() && !peer.waiting.is_empty() {
                self.next = self.next.wrapping_add(1);
                peer.open = Some(Outgoing::of(now_ms, self.next, &mut peer.waiting));
            }
            let Some(o) = &mut peer.open else { continue };
            for (i, piece) in o.pieces.iter_mut().enumerate() {
                let Some(sent) = piece else { continue };
                if *sent != 0 && now_ms.saturating_sub(*sent) < AGAIN_MS {
                    continue;
                }
                if !peer.bucket.take(now_ms) {
                    break;
                }
                *sent = now_ms.max(1);
                let bytes = o.bytes.chunks(PIECE).nth(i).unwrap_or_default().to_vec();
                let (index, length) = (u16::try_from(i).unwrap_or(u16::MAX), o.bytes.len() as u32);
                out.push((*to, Leaves::Piece(Piece { id: o.id, length, index, bytes })));
            }
        }
        self.to.retain(|_, t| {
            t.open.is_some() || !t.waiting.is_empty() || now_ms.saturating_sub(t.bucket.at_ms) < 1_000
        });
        for (from, peer) in &mut self.from {
            peer.open.retain(|_, o| {
                now_ms.saturating_sub(o.heard_ms) < IDLE_MS && now_ms.saturating_sub(o.begun_ms) < LIFE_MS
            });
            for (id, o) in &mut peer.open {
                if o.unsaid > 0 && now_ms.saturating_sub(o.said_ms) >= ACK_MS {
                    (o.unsaid, o.said_ms) = (0, now_ms);
                    out.push((*from, Leaves::Ack(Ack { id: *id, has: bits(&o.has) })));
                }
            }
        }
        // Whole ones are remembered a little, so that the last acknowledgement may be lost.
        self.from.retain(|_, p| !p.open.is_empty() || now_ms.saturating_sub(p.heard_ms) < 2 * IDLE_MS);
    }

    /// Bytes that are held for parcels under way.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let to = self.to.values().map(|t| {
            t.open.as_ref().map_or(0, |o| o.bytes.len()) + t.waiting.iter().map(Vec::len).sum::<usize>()
        });
        let from = self.from.values().flat_map(|f| f.open.values()).map(|o| o.length);
        to.chain(from).sum()
    }
}

fn bits(has: &[bool]) -> Vec<u8> {
    has.chunks(8).map(|eight| eight.iter().rev().fold(0, |b, is| b << 1 | u8::from(*is))).collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};

    /// Carries messages from 1 to 2 with this loss; when each arrived, and datagrams that left.
    fn carry(messages: &[Vec<u8>], loss: f64, seed: u64) -> (Vec<(u64, Vec<u8>)>, u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let (mut a, mut b) = (Parcels::new(5), Parcels::new(9));
        for m in messages {
            assert!(a.send(0, 2, m.clone()));
        }
        let (mut came, mut datagrams) = (Vec::new(), 0);
        for now in (0..60_000).step_by(20) {
            let mut out = Vec::new();
            a.tick(now, &mut out);
            let mut back = Vec::new();
            for (_, leaves) in out {
                datagrams += 1;
                let Leaves::Piece(p) = leaves else { panic!("nothing comes to 1") };
                for _ in 0..random.random_range(1..=2) {
                    if random.random_bool(1.0 - loss) {
                        let (whole, ack) = b.piece(now, 1, 1, &p);
                        came.extend(whole.into_iter().map(|w| (now, w)));
                        back.extend(ack);
                    }
                }
            }
            let mut out = Vec::new();
            b.tick(now, &mut out);
            back.extend(
                out.into_iter().filter_map(|(_, l)| if let Leaves::Ack(a) = l { Some(a) } else { None }),
            );
            for ack in back {
                if random.random_bool(1.0 - loss) {
                    a.ack(now, 2, &ack);
                }
            }
        }
        assert_eq!((a.bytes(), b.bytes()), (0, 0), "everything has an end");
        (came, datagrams)
    }

    #[test]
    fn parcels_arrive_whole_and_once_whatever_is_lost() {
        for (seed, loss) in [(1, 0.0), (2, 0.2), (3, 0.5)] {
            let messages: Vec<Vec<u8>> = [1, 1_000, 1_001, 60_000].map(|n: usize| vec![n as u8; n]).to_vec();
            let (came, _) = carry(&messages, loss, seed);
            assert_eq!(came.iter().map(|(_, m)| m.clone()).collect::<Vec<_>>(), messages, "loss {loss}");
        }
        let (came, datagrams) = carry(&[vec![7; 60_000]], 0.0, 4);
        assert_eq!(datagrams, 61, "nothing again that arrived");
        assert!(came[0].0 < 1_200, "{}", came[0].0);
    }

    #[test]
    fn what_never_arrives_is_dropped_and_hostile_pieces_cost_bounded_memory() {
        let (came, datagrams) = carry(&[vec![7; 60_000]], 1.0, 5);
        assert!(came.is_empty() && datagrams <= 64 * 2 + 17, "{datagrams}");
        let mut p = Parcels::new(0);
        for from in 0..500 {
            for id in 0..50 {
                let piece = Piece { id, length: MOST_PARCEL as u32, index: 3, bytes: vec![1; PIECE] };
                p.piece(10, from, 1, &piece);
                p.piece(10, from, 1, &Piece { index: u16::MAX, ..piece.clone() });
                p.piece(10, from, 1, &Piece { length: u32::MAX, ..piece.clone() });
                p.piece(10, from, 1, &Piece { bytes: vec![], ..piece });
            }
        }
        assert!(p.bytes() <= MOST_HELD && p.from.len() <= MOST_PEERS);
        p.tick(10 + IDLE_MS, &mut Vec::new());
        assert_eq!(p.bytes(), 0);
        let mut p = Parcels::new(0);
        for i in 0..1_000 {
            p.send(0, i, vec![i as u8; MOST_PARCEL]);
        }
        assert!(p.bytes() <= MOST_HELD);
    }
}
