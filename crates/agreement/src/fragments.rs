//! Fragmentation and reassembly of messages that do not fit into one datagram, with acknowledgements and
//! retransmission.
//!
//! A message that fits into a datagram normally bypasses this module: it is sent at once and never
//! acknowledged. Messages that wait for the same front are sent together as one *bundle*, and at most one
//! bundle to a front is in flight. This keeps their order: the consensus layer requires ordered links and
//! would discard a long message each time a later one overtook it.

use std::collections::{BTreeMap, VecDeque};

/// Size of a fragment in bytes; the last one of a bundle may be shorter.
pub const FRAGMENT_BYTES: usize = 1_000;
/// Maximum size of a bundle, in bytes. It exceeds the largest message between voters.
pub const MAX_BUNDLE_BYTES: usize = 400 * 1024;
/// Maximum number of incomplete bundles from one front. It is 2 because one that the sender has dropped may
/// remain here beside its next one.
pub const MAX_INCOMING_BUNDLES: usize = 2;
/// Maximum number of messages queued for one front.
pub const MAX_QUEUED_MESSAGES: usize = 128;
/// Maximum number of fronts with state for sending, and likewise for receiving.
pub const MAX_PEERS: usize = 64;
/// Maximum size of all queued and incomplete messages, in bytes.
pub const MAX_BUFFERED_BYTES: usize = 8 << 20;
/// A bundle without progress for this time is dropped, in milliseconds.
pub const IDLE_TIMEOUT_MS: u64 = 2_000;
/// A bundle is dropped after this time in any case, in milliseconds.
pub const MAX_AGE_MS: u64 = 20_000;
/// Fragments per second to one front.
const FRAGMENTS_PER_S: u64 = 64;
/// Fragments to one front in a burst.
const FRAGMENT_BURST: u64 = 16;
/// An unacknowledged fragment is sent again after this time, in milliseconds.
const RETRANSMIT_MS: u64 = 300;
/// A received fragment is acknowledged after this time at the latest, in milliseconds.
const ACK_DELAY_MS: u64 = 60;
/// An acknowledgement is sent at once after this many fragments.
const ACK_EVERY_FRAGMENTS: u16 = 8;
/// Maximum number of completed bundles from one front that are remembered, to acknowledge their duplicates.
const MAX_COMPLETED_BUNDLES: usize = 16;

/// Token bucket: a rate limit with a burst.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_per_s: u64,
    capacity: u64,
    /// Thousandths of a token.
    millitokens: u64,
    refilled_ms: u64,
}

impl TokenBucket {
    /// A full bucket that gains `tokens_per_s` tokens per second up to `capacity`.
    #[must_use]
    pub fn new(now_ms: u64, tokens_per_s: u64, capacity: u64) -> Self {
        Self { tokens_per_s, capacity, millitokens: capacity.saturating_mul(1_000), refilled_ms: now_ms }
    }

    /// Takes one token; returns whether one was available.
    pub fn take(&mut self, now_ms: u64) -> bool {
        let gained = now_ms.saturating_sub(self.refilled_ms).saturating_mul(self.tokens_per_s);
        self.millitokens = self.millitokens.saturating_add(gained).min(self.capacity.saturating_mul(1_000));
        self.refilled_ms = self.refilled_ms.max(now_ms);
        let available = self.millitokens >= 1_000;
        if available {
            self.millitokens -= 1_000;
        }
        available
    }
}

/// One fragment of a bundle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fragment {
    /// Id of the bundle, counted by the sender.
    pub id: u64,
    /// Length of the whole bundle, in bytes.
    pub length: u32,
    /// Index of the fragment.
    pub index: u16,
    /// Content of the fragment.
    pub bytes: Vec<u8>,
}

/// Acknowledges the fragments of a bundle that have arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ack {
    /// Id of the bundle.
    pub id: u64,
    /// One bit for each fragment, lowest bit first.
    pub received: Vec<u8>,
}

/// A message that this module sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FragmentMessage {
    /// A fragment of an outgoing bundle.
    Fragment(Fragment),
    /// An acknowledgement for an incoming bundle.
    Ack(Ack),
}

#[derive(Debug)]
struct OutgoingBundle {
    id: u64,
    bytes: Vec<u8>,
    /// By fragment: time when it was last sent, 0 if never; `None` once it is acknowledged.
    fragments: Vec<Option<u64>>,
    started_ms: u64,
    /// Time when an acknowledgement last made progress.
    last_progress_ms: u64,
}

#[derive(Debug)]
struct OutboundPeer {
    budget: TokenBucket,
    bundle: Option<OutgoingBundle>,
    queue: VecDeque<Vec<u8>>,
}

#[derive(Debug)]
struct IncomingBundle {
    length: usize,
    bytes: Vec<u8>,
    received: Vec<bool>,
    missing: usize,
    last_received_ms: u64,
    started_ms: u64,
    unacknowledged: u16,
    acknowledged_ms: u64,
}

#[derive(Debug, Default)]
struct InboundPeer {
    run: u64,
    open: BTreeMap<u64, IncomingBundle>,
    /// Ids of completed bundles with their numbers of fragments, oldest first.
    completed: VecDeque<(u64, usize)>,
    last_received_ms: u64,
}

/// Fragmentation state for all fronts.
#[derive(Debug)]
pub struct Fragmenter {
    /// Id of the bundle that was sent last.
    last_id: u64,
    to: BTreeMap<u64, OutboundPeer>,
    from: BTreeMap<u64, InboundPeer>,
}

impl OutgoingBundle {
    /// Takes as many queued messages as fit.
    fn from_queue(now_ms: u64, id: u64, queue: &mut VecDeque<Vec<u8>>) -> Self {
        let (mut messages, mut room) = (Vec::new(), MAX_BUNDLE_BYTES);
        while let Some(next) = queue.front().filter(|w| messages.is_empty() || w.len() + 8 <= room) {
            room = room.saturating_sub(next.len() + 8);
            messages.extend(queue.pop_front());
        }
        let bytes = postcard::to_stdvec(&messages).unwrap_or_default();
        let fragments = vec![Some(0); fragment_count(bytes.len())];
        Self { id, bytes, fragments, started_ms: now_ms, last_progress_ms: now_ms }
    }
}

fn fragment_count(length: usize) -> usize {
    length.div_ceil(FRAGMENT_BYTES)
}

impl Fragmenter {
    /// Without any bundles. Bundle ids continue from `last_id`. A front that restarted must start elsewhere,
    /// because acknowledgements for its earlier run may still arrive.
    #[must_use]
    pub fn new(last_id: u64) -> Self {
        Self { last_id, to: BTreeMap::new(), from: BTreeMap::new() }
    }

    /// Queues a message for a front. Returns false if there is no room; the message is lost then.
    pub fn send(&mut self, now_ms: u64, to: u64, bytes: Vec<u8>) -> bool {
        if bytes.is_empty()
            || bytes.len() + 64 > MAX_BUNDLE_BYTES
            || self.buffered_bytes() + bytes.len() > MAX_BUFFERED_BYTES
        {
            return false;
        }
        if !self.to.contains_key(&to) && self.to.len() >= MAX_PEERS {
            return false;
        }
        let new = || OutboundPeer {
            budget: TokenBucket::new(now_ms, FRAGMENTS_PER_S, FRAGMENT_BURST),
            bundle: None,
            queue: VecDeque::new(),
        };
        let peer = self.to.entry(to).or_insert_with(new);
        let room = peer.queue.len() < MAX_QUEUED_MESSAGES
            && peer.queue.iter().map(Vec::len).sum::<usize>() + bytes.len() <= 2 * MAX_BUNDLE_BYTES;
        if room {
            peer.queue.push_back(bytes);
        }
        room
    }

    /// Whether messages to a front are queued or in flight here. A message that must not overtake them has to
    /// be queued too.
    #[must_use]
    pub fn is_sending(&self, to: u64) -> bool {
        self.to.get(&to).is_some_and(|t| t.bundle.is_some() || !t.queue.is_empty())
    }

    /// Bytes to a front that are queued or not acknowledged.
    #[must_use]
    pub fn unacknowledged_bytes(&self, to: u64) -> usize {
        self.to.get(&to).map_or(0, |t| {
            let in_flight =
                t.bundle.as_ref().map_or(0, |o| o.fragments.iter().flatten().count() * FRAGMENT_BYTES);
            in_flight + t.queue.iter().map(Vec::len).sum::<usize>()
        })
    }

    /// Processes a fragment: returns the bundle's messages if it was the last missing one, and an
    /// acknowledgement if one is due. `run` is the sender's run.
    pub fn receive(
        &mut self,
        now_ms: u64,
        from: u64,
        run: u64,
        fragment: &Fragment,
    ) -> (Vec<Vec<u8>>, Option<Ack>) {
        let (length, index) = (fragment.length as usize, usize::from(fragment.index));
        let fragments = fragment_count(length);
        let here = index.saturating_mul(FRAGMENT_BYTES);
        let buffered = self.buffered_bytes();
        let valid = (1..=MAX_BUNDLE_BYTES).contains(&length)
            && index < fragments
            && fragment.bytes.len() == FRAGMENT_BYTES.min(length.saturating_sub(here));
        if !valid || (!self.from.contains_key(&from) && self.from.len() >= MAX_PEERS) {
            return (Vec::new(), None);
        }
        let peer = self.from.entry(from).or_default();
        if run < peer.run {
            return (Vec::new(), None);
        }
        if run > peer.run {
            *peer = InboundPeer { run, ..InboundPeer::default() };
        }
        peer.last_received_ms = now_ms;
        if let Some((id, fragments)) = peer.completed.iter().find(|(id, _)| *id == fragment.id) {
            return (Vec::new(), Some(Ack { id: *id, received: to_bits(&vec![true; *fragments]) }));
        }
        if !peer.open.contains_key(&fragment.id) {
            if peer.open.len() >= MAX_INCOMING_BUNDLES || buffered + length > MAX_BUFFERED_BYTES {
                return (Vec::new(), None);
            }
            let new = IncomingBundle {
                length,
                bytes: vec![0; length],
                received: vec![false; fragments],
                missing: fragments,
                last_received_ms: now_ms,
                started_ms: now_ms,
                unacknowledged: 0,
                acknowledged_ms: now_ms,
            };
            peer.open.insert(fragment.id, new);
        }
        let Some(open) = peer.open.get_mut(&fragment.id) else { return (Vec::new(), None) };
        if open.length != length {
            return (Vec::new(), None);
        }
        if let (Some(received), Some(room)) =
            (open.received.get_mut(index), open.bytes.get_mut(here..here + fragment.bytes.len()))
            && !*received
        {
            *received = true;
            room.copy_from_slice(&fragment.bytes);
            open.missing = open.missing.saturating_sub(1);
            open.last_received_ms = now_ms;
        }
        open.unacknowledged = open.unacknowledged.saturating_add(1);
        if open.missing == 0 {
            let ack = Ack { id: fragment.id, received: to_bits(&open.received) };
            let bundle = peer.open.remove(&fragment.id).map(|o| o.bytes);
            if peer.completed.len() >= MAX_COMPLETED_BUNDLES {
                peer.completed.pop_front();
            }
            peer.completed.push_back((fragment.id, fragments));
            let messages = bundle.and_then(|bytes| postcard::from_bytes(&bytes).ok()).unwrap_or_default();
            return (messages, Some(ack));
        }
        if open.unacknowledged >= ACK_EVERY_FRAGMENTS {
            (open.unacknowledged, open.acknowledged_ms) = (0, now_ms);
            return (Vec::new(), Some(Ack { id: fragment.id, received: to_bits(&open.received) }));
        }
        (Vec::new(), None)
    }

    /// Processes an acknowledgement.
    pub fn ack(&mut self, now_ms: u64, from: u64, ack: &Ack) {
        let Some(peer) = self.to.get_mut(&from) else { return };
        let Some(o) = peer.bundle.as_mut().filter(|o| o.id == ack.id) else { return };
        for (i, fragment) in o.fragments.iter_mut().enumerate() {
            let received = ack.received.get(i / 8).is_some_and(|b| b >> (i % 8) & 1 == 1);
            if received && fragment.is_some() {
                *fragment = None;
                o.last_progress_ms = now_ms;
            }
        }
        if o.fragments.iter().all(Option::is_none) {
            peer.bundle = None;
        }
    }

    /// Drops timed-out bundles and appends the messages that are due, each with the front to send it to.
    pub fn tick(&mut self, now_ms: u64, out: &mut Vec<(u64, FragmentMessage)>) {
        for (to, peer) in &mut self.to {
            let timed_out = |o: &OutgoingBundle| {
                now_ms.saturating_sub(o.last_progress_ms) >= IDLE_TIMEOUT_MS
                    || now_ms.saturating_sub(o.started_ms) >= MAX_AGE_MS
            };
            if peer.bundle.as_ref().is_some_and(timed_out) {
                peer.bundle = None;
            }
            if peer.bundle.is_none() && !peer.queue.is_empty() {
                self.last_id = self.last_id.wrapping_add(1);
                peer.bundle = Some(OutgoingBundle::from_queue(now_ms, self.last_id, &mut peer.queue));
            }
            let Some(o) = &mut peer.bundle else { continue };
            for (i, fragment) in o.fragments.iter_mut().enumerate() {
                let Some(sent) = fragment else { continue };
                if *sent != 0 && now_ms.saturating_sub(*sent) < RETRANSMIT_MS {
                    continue;
                }
                if !peer.budget.take(now_ms) {
                    break;
                }
                *sent = now_ms.max(1);
                let bytes = o.bytes.chunks(FRAGMENT_BYTES).nth(i).unwrap_or_default().to_vec();
                let (index, length) = (u16::try_from(i).unwrap_or(u16::MAX), o.bytes.len() as u32);
                out.push((*to, FragmentMessage::Fragment(Fragment { id: o.id, length, index, bytes })));
            }
        }
        self.to.retain(|_, t| {
            t.bundle.is_some() || !t.queue.is_empty() || now_ms.saturating_sub(t.budget.refilled_ms) < 1_000
        });
        for (from, peer) in &mut self.from {
            peer.open.retain(|_, o| {
                now_ms.saturating_sub(o.last_received_ms) < IDLE_TIMEOUT_MS
                    && now_ms.saturating_sub(o.started_ms) < MAX_AGE_MS
            });
            for (id, o) in &mut peer.open {
                if o.unacknowledged > 0 && now_ms.saturating_sub(o.acknowledged_ms) >= ACK_DELAY_MS {
                    (o.unacknowledged, o.acknowledged_ms) = (0, now_ms);
                    out.push((*from, FragmentMessage::Ack(Ack { id: *id, received: to_bits(&o.received) })));
                }
            }
        }
        // Completed bundles are remembered for a while, in case the last acknowledgement is lost.
        self.from.retain(|_, p| {
            !p.open.is_empty() || now_ms.saturating_sub(p.last_received_ms) < 2 * IDLE_TIMEOUT_MS
        });
    }

    /// Bytes of all queued and incomplete messages.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        let to = self.to.values().map(|t| {
            t.bundle.as_ref().map_or(0, |o| o.bytes.len()) + t.queue.iter().map(Vec::len).sum::<usize>()
        });
        let from = self.from.values().flat_map(|f| f.open.values()).map(|o| o.length);
        to.chain(from).sum()
    }
}

/// Packs the flags into bytes, lowest bit first.
fn to_bits(received: &[bool]) -> Vec<u8> {
    received
        .chunks(8)
        .map(|eight| eight.iter().rev().fold(0, |byte, bit| byte << 1 | u8::from(*bit)))
        .collect()
}

#[cfg(test)]
mod tests {
    use super::*;
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};

    /// Sends messages from front 1 to front 2 over a link with this loss: each message with its arrival time,
    /// and the number of fragments sent.
    fn transmit(messages: &[Vec<u8>], loss: f64, seed: u64) -> (Vec<(u64, Vec<u8>)>, u64) {
        let mut random = StdRng::seed_from_u64(seed);
        let (mut a, mut b) = (Fragmenter::new(5), Fragmenter::new(9));
        for m in messages {
            assert!(a.send(0, 2, m.clone()));
        }
        let (mut came, mut datagrams) = (Vec::new(), 0);
        for now in (0..60_000).step_by(20) {
            let mut out = Vec::new();
            a.tick(now, &mut out);
            let mut back = Vec::new();
            for (_, message) in out {
                datagrams += 1;
                let FragmentMessage::Fragment(p) = message else { panic!("front 1 receives no bundles") };
                for _ in 0..random.random_range(1..=2) {
                    if random.random_bool(1.0 - loss) {
                        let (whole, ack) = b.receive(now, 1, 1, &p);
                        came.extend(whole.into_iter().map(|w| (now, w)));
                        back.extend(ack);
                    }
                }
            }
            let mut out = Vec::new();
            b.tick(now, &mut out);
            back.extend(
                out.into_iter()
                    .filter_map(|(_, l)| if let FragmentMessage::Ack(a) = l { Some(a) } else { None }),
            );
            for ack in back {
                if random.random_bool(1.0 - loss) {
                    a.ack(now, 2, &ack);
                }
            }
        }
        assert_eq!((a.buffered_bytes(), b.buffered_bytes()), (0, 0), "nothing stays in memory");
        (came, datagrams)
    }

    #[test]
    fn bundles_arrive_complete_and_once_despite_loss() {
        for (seed, loss) in [(1, 0.0), (2, 0.2), (3, 0.5)] {
            let messages: Vec<Vec<u8>> = [1, 1_000, 1_001, 60_000].map(|n: usize| vec![n as u8; n]).to_vec();
            let (came, _) = transmit(&messages, loss, seed);
            assert_eq!(came.iter().map(|(_, m)| m.clone()).collect::<Vec<_>>(), messages, "loss {loss}");
        }
        let (came, datagrams) = transmit(&[vec![7; 60_000]], 0.0, 4);
        assert_eq!(datagrams, 61, "no retransmission without loss");
        assert!(came[0].0 < 1_200, "{}", came[0].0);
    }

    #[test]
    fn lost_bundles_are_dropped_and_hostile_fragments_use_bounded_memory() {
        let (came, datagrams) = transmit(&[vec![7; 60_000]], 1.0, 5);
        assert!(came.is_empty() && datagrams <= 64 * 2 + 17, "{datagrams}");
        let mut p = Fragmenter::new(0);
        for from in 0..500 {
            for id in 0..50 {
                let fragment = Fragment {
                    id,
                    length: MAX_BUNDLE_BYTES as u32,
                    index: 3,
                    bytes: vec![1; FRAGMENT_BYTES],
                };
                p.receive(10, from, 1, &fragment);
                p.receive(10, from, 1, &Fragment { index: u16::MAX, ..fragment.clone() });
                p.receive(10, from, 1, &Fragment { length: u32::MAX, ..fragment.clone() });
                p.receive(10, from, 1, &Fragment { bytes: vec![], ..fragment });
            }
        }
        assert!(p.buffered_bytes() <= MAX_BUFFERED_BYTES && p.from.len() <= MAX_PEERS);
        p.tick(10 + IDLE_TIMEOUT_MS, &mut Vec::new());
        assert_eq!(p.buffered_bytes(), 0);
        let mut p = Fragmenter::new(0);
        for i in 0..1_000 {
            p.send(0, i, vec![i as u8; MAX_BUNDLE_BYTES]);
        }
        assert!(p.buffered_bytes() <= MAX_BUFFERED_BYTES);
    }
}
