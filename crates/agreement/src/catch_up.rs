//! Catch-up: how a front that is behind fetches entries from the voters. It asks one voter at a time for what
//! follows its own last entry.
//!
//! The answer is a *transfer*: a batch of the entries that follow or, where those are no longer kept, a
//! snapshot. It is sent in chunks of one datagram each. A transfer has the same bytes at every voter, so a
//! learner can continue with another voter, and a voter keeps no state for a learner except its rate limit.
//! The learner's request lists the chunks that it misses; it verifies the hash chain before it uses anything.

use crate::fragments::{FRAGMENT_BYTES, TokenBucket};
use crate::registers::{MAX_SNAPSHOT_BYTES, Registers, hash_prefix};
use crate::types::{Command, Entry, Hash, chain_hash};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Maximum number of entries in a batch.
const MAX_BATCH_ENTRIES: usize = 64;
/// Maximum size of a batch, in bytes; a single larger entry is still sent.
const MAX_BATCH_BYTES: usize = 32 * 1024;
/// A voter takes a new snapshot after this many entries.
const SNAPSHOT_EVERY_ENTRIES: usize = 1_024;
/// A voter takes a new snapshot after this many bytes of command bodies.
const SNAPSHOT_EVERY_BYTES: usize = 1 << 20;
/// Chunks per second to one front.
const FRONT_CHUNKS_PER_S: u64 = 80;
/// Chunks to one front in a burst.
const FRONT_CHUNK_BURST: u64 = 32;
/// Chunks per second to all fronts together.
const TOTAL_CHUNKS_PER_S: u64 = 2_000;
/// Chunks to all fronts together in a burst.
const TOTAL_CHUNK_BURST: u64 = 400;
/// Maximum number of fronts whose rate limits a voter keeps.
const MAX_REQUESTERS: usize = 512;
/// Time to wait for a reply, in milliseconds; after two timeouts the next voter is asked.
const REPLY_TIMEOUT_MS: u64 = 200;
/// Delay before the next voter is asked when one has nothing newer, in milliseconds.
const NEXT_VOTER_DELAY_MS: u64 = 30;

/// A learner's request: the state that it has, and the chunks that it misses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CatchUpRequest {
    /// The learner's last entry, 0 for none.
    pub number: u64,
    /// First bytes of that entry's hash.
    pub hash: u64,
    /// Id of the log that the learner follows, 0 for none.
    pub log_id: u64,
    /// The transfer in progress, if any.
    pub transfer: Option<Transfer>,
}

/// A transfer in progress, with the chunks of it that are requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Transfer {
    /// Whether it is a snapshot rather than a batch of entries.
    pub is_snapshot: bool,
    /// Last entry that it contains.
    pub last_entry: u64,
    /// Index of the first missing chunk.
    pub from: u16,
    /// Bit i is set if chunk `from + i` is missing.
    pub missing: u32,
}

/// One chunk of a transfer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Whether the transfer is a snapshot rather than a batch of entries.
    pub is_snapshot: bool,
    /// The batch starts after this entry; 0 for a snapshot.
    pub after: u64,
    /// Last entry that the transfer contains.
    pub last_entry: u64,
    /// Length of the whole transfer, in bytes.
    pub length: u32,
    /// Index of the chunk.
    pub index: u16,
    /// Content of the chunk.
    pub bytes: Vec<u8>,
}

/// A voter's reply to a catch-up request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CatchUpReply {
    /// Requested chunks, as many as the rate limits allow.
    Chunks(Vec<Chunk>),
    /// The learner's log differs from the voter's.
    Fork {
        /// Number of an entry that both have; 0 if they follow different logs.
        number: u64,
        /// First bytes of the entry's hash at the voter; the voter's log id if they follow different logs.
        here: u64,
    },
    /// The voter has nothing newer, or does not serve this front now.
    Nothing,
}

/// The registers after an entry, serialized.
struct BaseSnapshot {
    number: u64,
    hash: Hash,
    snapshot: Vec<u8>,
}

/// Snapshots and entries that a voter serves to learners.
pub struct Source {
    /// The two newest snapshots, oldest first.
    bases: VecDeque<BaseSnapshot>,
    /// All entries after the older snapshot.
    entries: VecDeque<Entry>,
    /// Bytes of command bodies since the newest snapshot.
    bytes: usize,
    /// Rate limit for all fronts together.
    total_budget: TokenBucket,
    /// By front: time of the last request, and the front's rate limit.
    requesters: BTreeMap<u64, (u64, TokenBucket)>,
}

/// Size of a command's content in bytes, approximately for a list of voters.
#[must_use]
pub fn body_bytes(command: &Command) -> usize {
    match &command.operation {
        crate::types::Operation::Put { body, .. } => body.len(),
        crate::types::Operation::Voters { voters, .. } => voters.len() * 20,
    }
}

impl Source {
    /// Serves this state and the entries after it.
    #[must_use]
    pub fn new(now_ms: u64, registers: &Registers) -> Self {
        let mut source = Self {
            bases: VecDeque::new(),
            entries: VecDeque::new(),
            bytes: 0,
            total_budget: TokenBucket::new(now_ms, TOTAL_CHUNKS_PER_S, TOTAL_CHUNK_BURST),
            requesters: BTreeMap::new(),
        };
        source.take_snapshot(registers);
        source
    }

    /// Takes a new snapshot. Of the former ones only the last is kept; the entries up to that one are
    /// dropped.
    pub fn take_snapshot(&mut self, registers: &Registers) {
        let (number, hash) = (registers.number(), *registers.hash());
        self.bases.push_back(BaseSnapshot { number, hash, snapshot: registers.snapshot() });
        while self.bases.len() > 2 {
            self.bases.pop_front();
        }
        let oldest = self.bases.front().map_or(0, |b| b.number);
        while self.entries.front().is_some_and(|e| e.number <= oldest) {
            self.entries.pop_front();
        }
        self.bytes = 0;
    }

    /// Records an applied entry; `registers` is the state after it.
    pub fn applied(&mut self, entry: &Entry, registers: &Registers) {
        self.bytes += body_bytes(&entry.command);
        self.entries.push_back(entry.clone());
        let base = self.bases.back().map_or(0, |b| b.number);
        if self.bytes > SNAPSHOT_EVERY_BYTES
            || entry.number.saturating_sub(base) > SNAPSHOT_EVERY_ENTRIES as u64
        {
            self.take_snapshot(registers);
        }
    }

    fn hash_prefix_of(&self, number: u64) -> Option<u64> {
        let base = self.bases.iter().find(|b| b.number == number).map(|b| hash_prefix(&b.hash));
        base.or_else(|| self.entry(number).map(|e| hash_prefix(&e.hash)))
    }

    fn entry(&self, number: u64) -> Option<&Entry> {
        let first = self.entries.front()?.number;
        self.entries.get(usize::try_from(number.checked_sub(first)?).ok()?)
    }

    /// A batch of the entries after `after`, up to `last_entry` or to the size limits: the number of its last
    /// entry, and its bytes.
    fn batch(&self, after: u64, last_entry: Option<u64>) -> Option<(u64, Vec<u8>)> {
        let mut commands = Vec::new();
        let (mut bytes, mut last) = (0, None);
        let mut number = after.checked_add(1)?;
        while let Some(e) = self.entry(number) {
            let more = body_bytes(&e.command) + 48;
            if !commands.is_empty()
                && (last_entry.is_some_and(|last| number > last)
                    || commands.len() >= MAX_BATCH_ENTRIES
                    || bytes + more > MAX_BATCH_BYTES)
            {
                break;
            }
            bytes += more;
            commands.push(&e.command);
            last = Some(e);
            number += 1;
        }
        let last = last?;
        Some((last.number, postcard::to_stdvec(&(last.hash, commands)).ok()?))
    }

    /// Answers a front's request; `here` is this voter's state.
    pub fn answer(
        &mut self,
        now_ms: u64,
        front: u64,
        request: &CatchUpRequest,
        here: &Registers,
    ) -> CatchUpReply {
        if request.log_id != 0 && request.log_id != here.log_id() {
            return CatchUpReply::Fork { number: 0, here: here.log_id() };
        }
        if request.number > here.number() {
            return CatchUpReply::Nothing;
        }
        let known = self.hash_prefix_of(request.number).filter(|_| request.log_id != 0);
        if let Some(hash) = known.filter(|h| *h != request.hash) {
            return CatchUpReply::Fork { number: request.number, here: hash };
        }
        if known.is_some() && request.number == here.number() {
            return CatchUpReply::Nothing;
        }
        // A batch that another voter started could end later here, so the learner names its last entry.
        let in_progress = request.transfer.filter(|t| t.is_snapshot != known.is_some());
        let (last_entry, batch);
        let bytes: &[u8] = if known.is_some() {
            let Some(found) = self.batch(request.number, in_progress.map(|t| t.last_entry)) else {
                return CatchUpReply::Nothing;
            };
            (last_entry, batch) = found;
            &batch
        } else {
            let base = self.bases.iter().find(|b| in_progress.is_some_and(|t| t.last_entry == b.number));
            let Some(base) = base.or(self.bases.back()) else { return CatchUpReply::Nothing };
            last_entry = base.number;
            &base.snapshot
        };
        let is_snapshot = known.is_none();
        let (from, missing) = in_progress
            .filter(|t| t.last_entry == last_entry)
            .map_or((0, u32::MAX), |t| (usize::from(t.from), t.missing));
        let after = if is_snapshot { 0 } else { request.number };
        let length = u32::try_from(bytes.len()).unwrap_or(0);
        if self.requesters.len() >= MAX_REQUESTERS {
            self.requesters.retain(|_, (at, _)| now_ms.saturating_sub(*at) < 2_000);
        }
        if self.requesters.len() >= MAX_REQUESTERS && !self.requesters.contains_key(&front) {
            return CatchUpReply::Nothing;
        }
        let (at, budget) = self
            .requesters
            .entry(front)
            .or_insert((now_ms, TokenBucket::new(now_ms, FRONT_CHUNKS_PER_S, FRONT_CHUNK_BURST)));
        *at = now_ms;
        let mut chunks = Vec::new();
        for (index, chunk) in bytes.chunks(FRAGMENT_BYTES).enumerate().skip(from).take(32) {
            let requested = missing >> (index - from) & 1 == 1;
            if !requested {
                continue;
            }
            if !budget.take(now_ms) || !self.total_budget.take(now_ms) {
                break;
            }
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            chunks.push(Chunk { is_snapshot, after, last_entry, length, index, bytes: chunk.to_vec() });
        }
        CatchUpReply::Chunks(chunks)
    }

    /// Approximate size of the snapshots and entries in memory, in bytes.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        let entries: usize = self.entries.iter().map(|e| body_bytes(&e.command) + 120).sum();
        entries + self.bases.iter().map(|b| b.snapshot.len()).sum::<usize>()
    }
}

/// Content of a complete transfer.
#[derive(Debug)]
pub enum Received {
    /// The commands of the entries that follow the learner's state; their hash chain is verified.
    Commands(Vec<Command>),
    /// A later state.
    Snapshot(Box<Registers>),
}

/// A transfer of which some chunks have arrived.
struct PartialTransfer {
    is_snapshot: bool,
    after: u64,
    last_entry: u64,
    bytes: Vec<u8>,
    received: Vec<bool>,
    missing: usize,
}

/// The side of a front that is behind.
#[derive(Default)]
pub struct Learner {
    /// The highest entry number that any message has named.
    highest_known: u64,
    part: Option<PartialTransfer>,
    /// Time of the last request.
    requested_ms: Option<u64>,
    /// Timeouts in a row at the present voter.
    timeouts: u32,
    /// Chunks that were requested and have not arrived.
    outstanding: usize,
    /// Counter that selects the voter to ask, modulo the number of voters.
    next_voter: usize,
    /// Replies in a row without anything newer.
    empty_replies: u32,
}

impl Learner {
    /// Starts with the voter at this position; different positions spread learners over the voters.
    #[must_use]
    pub fn new(next_voter: usize) -> Self {
        Self { next_voter, ..Self::default() }
    }

    /// Another front has this entry.
    pub fn observe(&mut self, number: u64) {
        self.highest_known = self.highest_known.max(number);
    }

    /// The highest entry number that any message has named.
    #[must_use]
    pub fn highest_known(&self) -> u64 {
        self.highest_known
    }

    /// Whether a newer entry than this state is known to exist.
    #[must_use]
    pub fn is_behind(&self, here: &Registers) -> bool {
        self.highest_known > here.number()
    }

    /// The request that is due now, if any, with the position of the voter to send it to among `voters`
    /// voters.
    pub fn tick(&mut self, now_ms: u64, here: &Registers, voters: usize) -> Option<(usize, CatchUpRequest)> {
        if voters == 0 {
            return None;
        }
        if let Some(requested) = self.requested_ms.filter(|_| self.outstanding > 0) {
            if now_ms.saturating_sub(requested) < REPLY_TIMEOUT_MS {
                return None;
            }
            self.timeouts = self.timeouts.saturating_add(1);
            if self.timeouts >= 2 {
                (self.next_voter, self.timeouts) = (self.next_voter.wrapping_add(1), 0);
            }
        }
        if self.part.as_ref().is_some_and(|p| {
            if p.is_snapshot {
                p.last_entry <= here.number() && here.log_id() != 0
            } else {
                p.after != here.number()
            }
        }) {
            self.part = None;
        }
        let transfer = self.part.as_ref().map(|p| {
            let from = p.received.iter().position(|has| !has).unwrap_or(0);
            let bits = p.received.iter().skip(from).take(32).enumerate();
            let missing = bits.fold(0_u32, |m, (i, has)| if *has { m } else { m | 1 << i });
            Transfer {
                is_snapshot: p.is_snapshot,
                last_entry: p.last_entry,
                from: u16::try_from(from).unwrap_or(u16::MAX),
                missing,
            }
        });
        self.outstanding = transfer.map_or(1, |t| t.missing.count_ones() as usize);
        self.requested_ms = Some(now_ms);
        let (number, log_id) = (here.number(), here.log_id());
        Some((
            self.next_voter % voters,
            CatchUpRequest { number, hash: hash_prefix(here.hash()), log_id, transfer },
        ))
    }

    /// The asked voter has nothing newer: the next voter is asked shortly. If none of `voters` voters has
    /// anything newer, the highest known number was wrong and is reset; returns true then.
    pub fn nothing_newer(&mut self, voters: usize) -> bool {
        (self.next_voter, self.timeouts) = (self.next_voter.wrapping_add(1), 0);
        self.requested_ms =
            self.requested_ms.map(|at| at.saturating_sub(REPLY_TIMEOUT_MS - NEXT_VOTER_DELAY_MS));
        self.empty_replies = self.empty_replies.saturating_add(1);
        let wrong = self.empty_replies as usize > voters;
        if wrong {
            (self.empty_replies, self.highest_known) = (0, 0);
        }
        wrong
    }

    /// Processes a chunk; returns the content once the transfer is complete and verified.
    pub fn receive(&mut self, chunk: &Chunk, here: &Registers) -> Option<Received> {
        let max_length = if chunk.is_snapshot {
            MAX_SNAPSHOT_BYTES
        } else {
            MAX_BATCH_BYTES + crate::types::MAX_BODY_BYTES + 1_024
        };
        let (length, index) = (chunk.length as usize, usize::from(chunk.index));
        let at = index.saturating_mul(FRAGMENT_BYTES);
        let later = chunk.last_entry > here.number() || (chunk.is_snapshot && here.log_id() == 0);
        let valid = (1..=max_length).contains(&length)
            && at < length
            && chunk.bytes.len() == FRAGMENT_BYTES.min(length - at)
            && later
            && (chunk.is_snapshot || (chunk.after == here.number() && here.log_id() != 0));
        if !valid {
            return None;
        }
        let same = |p: &PartialTransfer| {
            (p.is_snapshot, p.after, p.last_entry, p.bytes.len())
                == (chunk.is_snapshot, chunk.after, chunk.last_entry, length)
        };
        if !self.part.as_ref().is_some_and(same) {
            // A chunk of a different transfer. The one in progress continues as long as its chunks arrive.
            if self.part.is_some() && self.timeouts == 0 {
                return None;
            }
            let chunks = length.div_ceil(FRAGMENT_BYTES);
            let (bytes, received) = (vec![0; length], vec![false; chunks]);
            self.part = Some(PartialTransfer {
                is_snapshot: chunk.is_snapshot,
                after: chunk.after,
                last_entry: chunk.last_entry,
                bytes,
                received,
                missing: chunks,
            });
            self.outstanding = chunks.min(32);
        }
        let part = self.part.as_mut()?;
        let (has, room) = (part.received.get_mut(index)?, part.bytes.get_mut(at..at + chunk.bytes.len())?);
        if *has {
            return None;
        }
        *has = true;
        room.copy_from_slice(&chunk.bytes);
        part.missing = part.missing.saturating_sub(1);
        (self.timeouts, self.empty_replies) = (0, 0);
        self.outstanding = self.outstanding.saturating_sub(1);
        if part.missing > 0 {
            return None;
        }
        let part = self.part.take()?;
        (self.outstanding, self.requested_ms) = (0, None);
        let content = read(&part, here);
        if content.is_none() {
            self.next_voter = self.next_voter.wrapping_add(1);
        }
        content
    }
}

/// Parses a complete transfer; `None` if it does not follow from `here` or its hash chain is wrong.
fn read(part: &PartialTransfer, here: &Registers) -> Option<Received> {
    if part.is_snapshot {
        let new = Registers::load(&part.bytes).ok()?;
        let matches =
            new.number() == part.last_entry && (here.log_id() == 0 || here.log_id() == new.log_id());
        return matches.then(|| Received::Snapshot(Box::new(new)));
    }
    let (last, commands): (Hash, Vec<Command>) = match postcard::take_from_bytes(&part.bytes) {
        Ok((read, [])) => read,
        _ => return None,
    };
    let (mut number, mut hash) = (here.number(), *here.hash());
    for command in &commands {
        number = number.checked_add(1)?;
        hash = chain_hash(&hash, number, command);
    }
    (number == part.last_entry && hash == last).then_some(Received::Commands(commands))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::types::{Key, Operation, Subject, VoterId};
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};

    fn genesis() -> Registers {
        let voters = [1, 2, 3].map(|front| VoterId { front, store: 9 });
        Registers::genesis(&voters).expect("valid voters")
    }

    fn put(n: u64, body: usize) -> Command {
        let subject = Subject { space: 1, number: n % 50 };
        Command {
            key: Key(u128::from(n)),
            author: 1,
            operation: Operation::Put { subject, expects: n.saturating_sub(49), body: vec![7; body] },
        }
    }

    /// The state of a voter after so many entries, and its catch-up source.
    fn voter(entries: u64, body: usize) -> (Registers, Source) {
        let mut r = genesis();
        let mut source = Source::new(0, &r);
        for n in 0..entries {
            let (entry, _) = r.apply(put(n, body));
            source.applied(&entry, &r);
        }
        (r, source)
    }

    /// Runs a learner against the voters until it has everything: its state, the milliseconds that it took,
    /// and the datagrams that were sent.
    fn catch_up(mut here: Registers, voters: &mut [(Registers, Source)], loss: f64) -> (Registers, u64, u64) {
        let mut random = StdRng::seed_from_u64(4);
        let (mut learner, mut datagrams) = (Learner::default(), 0);
        learner.observe(voters[0].0.number());
        for now in (1_000..120_000).step_by(10) {
            if !learner.is_behind(&here) && here.log_id() != 0 {
                return (here, now - 1_000, datagrams);
            }
            let Some((to, request)) = learner.tick(now, &here, voters.len()) else { continue };
            if random.random_bool(loss) {
                continue;
            }
            let (r, source) = &mut voters[to];
            let CatchUpReply::Chunks(chunks) = source.answer(now, 77, &request, r) else {
                learner.nothing_newer(2);
                continue;
            };
            for p in chunks {
                datagrams += 1;
                assert!(postcard::to_stdvec(&p).expect("written").len() < 1_080);
                if !random.random_bool(loss) {
                    match learner.receive(&p, &here) {
                        Some(Received::Commands(commands)) => {
                            commands.into_iter().for_each(|c| drop(here.apply(c)));
                        }
                        Some(Received::Snapshot(new)) => here = *new,
                        None => {}
                    }
                }
            }
        }
        panic!("the learner stopped at entry {}", here.number());
    }

    #[test]
    fn a_learner_gets_entries_or_a_snapshot_despite_loss() {
        for loss in [0.0, 0.2, 0.5] {
            for (entries, body) in [(1, 10), (40, 16 * 1024), (5_000, 50)] {
                let mut voters = vec![voter(entries, body), voter(entries, body)];
                let (here, ms, datagrams) = catch_up(Registers::default(), &mut voters, loss);
                assert_eq!(here, voters[0].0);
                println!("{entries} of {body} at loss {loss}: {ms} ms, {datagrams} datagrams");
            }
        }
    }

    #[test]
    fn forks_and_other_logs_are_reported() {
        let (r, mut source) = voter(20, 10);
        let mut request = CatchUpRequest { number: 10, hash: 1, log_id: r.log_id(), transfer: None };
        assert!(matches!(source.answer(0, 5, &request, &r), CatchUpReply::Fork { number: 10, .. }));
        request.log_id = 4;
        assert!(matches!(source.answer(0, 5, &request, &r), CatchUpReply::Fork { number: 0, .. }));
        (request.number, request.log_id) = (21, r.log_id());
        assert_eq!(source.answer(0, 5, &request, &r), CatchUpReply::Nothing);
    }

    #[test]
    fn a_batch_that_does_not_follow_is_not_used() {
        let (r, mut source) = voter(20, 10);
        let mut here = genesis();
        for n in 0..4 {
            here.apply(put(n, 10));
        }
        let request =
            CatchUpRequest { number: 4, hash: hash_prefix(here.hash()), log_id: r.log_id(), transfer: None };
        let CatchUpReply::Chunks(chunks) = source.answer(0, 5, &request, &r) else { panic!() };
        let mut learner = Learner::default();
        for p in &chunks {
            let mut other = p.clone();
            if let Some(b) = other.bytes.get_mut(40) {
                *b ^= 1;
            }
            assert!(learner.receive(&other, &here).is_none());
        }
        let mut further = here.clone();
        further.apply(put(4, 10));
        assert!(chunks.iter().all(|p| learner.receive(p, &further).is_none()), "never a gap");
        let got = chunks.iter().filter_map(|p| learner.receive(p, &here)).next();
        assert!(matches!(got, Some(Received::Commands(c)) if c.len() == 16));
    }

    #[test]
    fn memory_and_replies_are_bounded() {
        let (r, mut source) = voter(5_000, 2_000);
        assert!(
            source.entries.len() <= 2 * SNAPSHOT_EVERY_ENTRIES + 2 && source.buffered_bytes() < 4 << 20,
            "{}",
            source.buffered_bytes()
        );
        let request = CatchUpRequest { number: 0, hash: 0, log_id: 0, transfer: None };
        let mut sent = 0;
        for front in 0..5_000 {
            if let CatchUpReply::Chunks(p) = source.answer(0, front, &request, &r) {
                sent += p.len();
            }
        }
        assert!(sent as u64 <= TOTAL_CHUNK_BURST && source.requesters.len() <= MAX_REQUESTERS);
        let huge = Chunk {
            is_snapshot: true,
            after: 0,
            last_entry: 9,
            length: u32::MAX,
            index: 0,
            bytes: vec![0; FRAGMENT_BYTES],
        };
        assert!(Learner::default().receive(&huge, &genesis()).is_none());
    }
}
