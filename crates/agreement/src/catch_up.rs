//! How a front that does not vote gets the entries: it asks one voter, then another, for what comes after what it has.
//!
//! The answer is a *stretch*: some entries that follow, or a snapshot where those are no longer kept, in pieces of a
//! datagram. A stretch is the same bytes at every voter that has it, so that an asker can go on with another, and a voter
//! keeps nothing for an asker but its budget. The asker says what it misses; the chain of hashes is checked before
//! anything is used.

use crate::fragments::{Bucket, PIECE};
use crate::registers::{MOST_SNAPSHOT, Registers, first8};
use crate::types::{Command, Entry, Hash, chain};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Entries and bytes of a stretch at most; one entry is always in it.
const MOST_ENTRIES: usize = 64;
const MOST_STRETCH: usize = 32 * 1024;
/// Entries, and bytes of their bodies, behind a base before there is another one.
const BASE_ENTRIES: usize = 1_024;
const BASE_BYTES: usize = 1 << 20;
/// Pieces to one asker a second and at once, to all a second and at once, and askers with a budget.
const RATE: u64 = 80;
const BURST: u64 = 32;
const ALL_RATE: u64 = 2_000;
const ALL_BURST: u64 = 400;
const MOST_ASKERS: usize = 512;
/// An answer is waited for so long, milliseconds; after two such another voter is asked.
const WAIT_MS: u64 = 200;
/// After a voter that has nothing.
const SOON_MS: u64 = 30;

/// What an asker has, and what it misses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Want {
    /// The last entry it has, 0 for none.
    pub number: u64,
    /// The first bytes of that entry's hash.
    pub hash: u64,
    /// Which fleet's, 0 if it has heard of none.
    pub origin: u64,
    /// The stretch that it is taking.
    pub taking: Option<Taking>,
}

/// A stretch under way, and pieces of it that are asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Taking {
    /// It is a snapshot.
    pub whole: bool,
    /// Its last entry.
    pub upto: u64,
    /// The first piece that is missing.
    pub from: u16,
    /// One bit for each piece from there on, the lowest first: it is missing.
    pub missing: u32,
}

/// A piece of a stretch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stretch {
    /// It is a snapshot.
    pub whole: bool,
    /// It follows this entry; 0 for a snapshot.
    pub after: u64,
    /// Its last entry.
    pub upto: u64,
    /// Bytes of it.
    pub length: u32,
    /// Which piece.
    pub index: u16,
    /// The piece.
    pub bytes: Vec<u8>,
}

/// A voter's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// Pieces, as many as the budget has.
    Pieces(Vec<Stretch>),
    /// What the asker has is not what was agreed here.
    Fork {
        /// An entry that both have.
        number: u64,
        /// First bytes of its hash here.
        here: u64,
    },
    /// There is nothing for it.
    Nothing,
}

struct Base {
    number: u64,
    hash: Hash,
    snapshot: Vec<u8>,
}

/// What a voter hands out.
pub struct Source {
    bases: VecDeque<Base>,
    /// All entries behind the older base.
    entries: VecDeque<Entry>,
    bytes: usize,
    all: Bucket,
    askers: BTreeMap<u64, (u64, Bucket)>,
}

/// Bytes of a command's body.
#[must_use]
pub fn body_len(command: &Command) -> usize {
    match &command.what {
        crate::types::What::Put { body, .. } => body.len(),
        crate::types::What::Voters { voters, .. } => voters.len() * 20,
    }
}

impl Source {
    /// From here on.
    #[must_use]
    pub fn new(now_ms: u64, registers: &Registers) -> Self {
        let mut source = Self {
            bases: VecDeque::new(),
            entries: VecDeque::new(),
            bytes: 0,
            all: Bucket::new(now_ms, ALL_RATE, ALL_BURST),
            askers: BTreeMap::new(),
        };
        source.base(registers);
        source
    }

    /// A new base; the one before the last goes, with the entries behind it.
    pub fn base(&mut self, registers: &Registers) {
        let (number, hash) = (registers.number(), *registers.hash());
        self.bases.push_back(Base { number, hash, snapshot: registers.snapshot() });
        while self.bases.len() > 2 {
            self.bases.pop_front();
        }
        let oldest = self.bases.front().map_or(0, |b| b.number);
        while self.entries.front().is_some_and(|e| e.number <= oldest) {
            self.entries.pop_front();
        }
        self.bytes = 0;
    }

    /// An entry was applied; `registers` are after it.
    pub fn applied(&mut self, entry: &Entry, registers: &Registers) {
        self.bytes += body_len(&entry.command);
        self.entries.push_back(entry.clone());
        let base = self.bases.back().map_or(0, |b| b.number);
        if self.bytes > BASE_BYTES || entry.number.saturating_sub(base) > BASE_ENTRIES as u64 {
            self.base(registers);
        }
    }

    fn hash_of(&self, number: u64) -> Option<u64> {
        let base = self.bases.iter().find(|b| b.number == number).map(|b| first8(&b.hash));
        base.or_else(|| self.at(number).map(|e| first8(&e.hash)))
    }

    fn at(&self, number: u64) -> Option<&Entry> {
        let first = self.entries.front()?.number;
        self.entries.get(usize::try_from(number.checked_sub(first)?).ok()?)
    }

    /// Entries after `after`, to `upto` or to as many as a stretch may have: its last one, and its bytes.
    fn stretch(&self, after: u64, upto: Option<u64>) -> Option<(u64, Vec<u8>)> {
        let mut commands = Vec::new();
        let (mut bytes, mut last) = (0, None);
        let mut number = after.checked_add(1)?;
        while let Some(e) = self.at(number) {
            let more = body_len(&e.command) + 48;
            if !commands.is_empty()
                && (upto.is_some_and(|u| number > u)
                    || commands.len() >= MOST_ENTRIES
                    || bytes + more > MOST_STRETCH)
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

    /// Answers an asker; `here` is what this voter has.
    pub fn asked(&mut self, now_ms: u64, front: u64, want: &Want, here: &Registers) -> Reply {
        if want.origin != 0 && want.origin != here.origin() {
            return Reply::Fork { number: 0, here: here.origin() };
        }
        if want.number > here.number() {
            return Reply::Nothing;
        }
        let known = self.hash_of(want.number).filter(|_| want.origin != 0);
        if let Some(hash) = known.filter(|h| *h != want.hash) {
            return Reply::Fork { number: want.number, here: hash };
        }
        if known.is_some() && want.number == here.number() {
            return Reply::Nothing;
        }
        // A stretch that another voter began may be longer here: the asker names its end.
        let named = want.taking.filter(|t| t.whole != known.is_some());
        let (upto, stretch);
        let bytes: &[u8] = if known.is_some() {
            let Some(found) = self.stretch(want.number, named.map(|t| t.upto)) else { return Reply::Nothing };
            (upto, stretch) = found;
            &stretch
        } else {
            let base = self.bases.iter().find(|b| named.is_some_and(|t| t.upto == b.number));
            let Some(base) = base.or(self.bases.back()) else { return Reply::Nothing };
            upto = base.number;
            &base.snapshot
        };
        let whole = known.is_none();
        let (from, missing) =
            named.filter(|t| t.upto == upto).map_or((0, u32::MAX), |t| (usize::from(t.from), t.missing));
        let after = if whole { 0 } else { want.number };
        let length = u32::try_from(bytes.len()).unwrap_or(0);
        if self.askers.len() >= MOST_ASKERS {
            self.askers.retain(|_, (at, _)| now_ms.saturating_sub(*at) < 2_000);
        }
        if self.askers.len() >= MOST_ASKERS && !self.askers.contains_key(&front) {
            return Reply::Nothing;
        }
        let (at, budget) = self.askers.entry(front).or_insert((now_ms, Bucket::new(now_ms, RATE, BURST)));
        *at = now_ms;
        let mut pieces = Vec::new();
        for (index, piece) in bytes.chunks(PIECE).enumerate().skip(from).take(32) {
            let asked = missing >> (index - from) & 1 == 1;
            if !asked {
                continue;
            }
            if !budget.take(now_ms) || !self.all.take(now_ms) {
                break;
            }
            let index = u16::try_from(index).unwrap_or(u16::MAX);
            pieces.push(Stretch { whole, after, upto, length, index, bytes: piece.to_vec() });
        }
        Reply::Pieces(pieces)
    }

    /// Bytes that it holds, about.
    #[must_use]
    pub fn held(&self) -> usize {
        let entries: usize = self.entries.iter().map(|e| body_len(&e.command) + 120).sum();
        entries + self.bases.iter().map(|b| b.snapshot.len()).sum::<usize>()
    }
}

/// What an asker got.
#[derive(Debug)]
pub enum Got {
    /// The commands of the entries that follow; their chain is checked.
    Commands(Vec<Command>),
    /// A later state.
    Snapshot(Box<Registers>),
}

struct Part {
    whole: bool,
    after: u64,
    upto: u64,
    bytes: Vec<u8>,
    has: Vec<bool>,
    missing: usize,
}

/// An asker.
#[derive(Default)]
pub struct Learner {
    /// The highest entry that anyone told of.
    known: u64,
    part: Option<Part>,
    /// When it asked last, how often in vain, and how many pieces it waits for.
    asked_ms: Option<u64>,
    vain: u32,
    waits: usize,
    turn: usize,
    /// Voters in a row that had nothing.
    nothing: u32,
}

impl Learner {
    /// Begins with the voter of this place, so that not all ask the same one.
    #[must_use]
    pub fn new(turn: usize) -> Self {
        Self { turn, ..Self::default() }
    }

    /// A voter told that it has this entry.
    pub fn told(&mut self, number: u64) {
        self.known = self.known.max(number);
    }

    /// The highest entry that anyone told of.
    #[must_use]
    pub fn known(&self) -> u64 {
        self.known
    }

    /// Whether there is more than this.
    #[must_use]
    pub fn is_behind(&self, here: &Registers) -> bool {
        self.known > here.number()
    }

    /// The question that is due, and to which of `of` voters.
    pub fn tick(&mut self, now_ms: u64, here: &Registers, of: usize) -> Option<(usize, Want)> {
        if of == 0 {
            return None;
        }
        if let Some(asked) = self.asked_ms.filter(|_| self.waits > 0) {
            if now_ms.saturating_sub(asked) < WAIT_MS {
                return None;
            }
            self.vain = self.vain.saturating_add(1);
            if self.vain >= 2 {
                (self.turn, self.vain) = (self.turn.wrapping_add(1), 0);
            }
        }
        if self.part.as_ref().is_some_and(|p| {
            if p.whole { p.upto <= here.number() && here.origin() != 0 } else { p.after != here.number() }
        }) {
            self.part = None;
        }
        let taking = self.part.as_ref().map(|p| {
            let from = p.has.iter().position(|has| !has).unwrap_or(0);
            let bits = p.has.iter().skip(from).take(32).enumerate();
            let missing = bits.fold(0_u32, |m, (i, has)| if *has { m } else { m | 1 << i });
            Taking { whole: p.whole, upto: p.upto, from: u16::try_from(from).unwrap_or(u16::MAX), missing }
        });
        self.waits = taking.map_or(1, |t| t.missing.count_ones() as usize);
        self.asked_ms = Some(now_ms);
        let (number, origin) = (here.number(), here.origin());
        Some((self.turn % of, Want { number, hash: first8(here.hash()), origin, taking }))
    }

    /// The voter that was asked has nothing: another one next, soon. If none of `of` has anything, what was told is wrong.
    /// True then.
    pub fn nothing(&mut self, of: usize) -> bool {
        (self.turn, self.vain) = (self.turn.wrapping_add(1), 0);
        self.asked_ms = self.asked_ms.map(|at| at.saturating_sub(WAIT_MS - SOON_MS));
        self.nothing = self.nothing.saturating_add(1);
        let wrong = self.nothing as usize > of;
        if wrong {
            (self.nothing, self.known) = (0, 0);
        }
        wrong
    }

    /// A piece came.
    pub fn piece(&mut self, s: &Stretch, here: &Registers) -> Option<Got> {
        let most = if s.whole { MOST_SNAPSHOT } else { MOST_STRETCH + crate::types::MOST_BODY + 1_024 };
        let (length, index) = (s.length as usize, usize::from(s.index));
        let at = index.saturating_mul(PIECE);
        let later = s.upto > here.number() || (s.whole && here.origin() == 0);
        let sound = (1..=most).contains(&length)
            && at < length
            && s.bytes.len() == PIECE.min(length - at)
            && later
            && (s.whole || (s.after == here.number() && here.origin() != 0));
        if !sound {
            return None;
        }
        let same = |p: &Part| (p.whole, p.after, p.upto, p.bytes.len()) == (s.whole, s.after, s.upto, length);
        if !self.part.as_ref().is_some_and(same) {
            // Another stretch than the one under way: that goes on as long as its pieces come.
            if self.part.is_some() && self.vain == 0 {
                return None;
            }
            let pieces = length.div_ceil(PIECE);
            let (bytes, has) = (vec![0; length], vec![false; pieces]);
            self.part =
                Some(Part { whole: s.whole, after: s.after, upto: s.upto, bytes, has, missing: pieces });
            self.waits = pieces.min(32);
        }
        let part = self.part.as_mut()?;
        let (has, room) = (part.has.get_mut(index)?, part.bytes.get_mut(at..at + s.bytes.len())?);
        if *has {
            return None;
        }
        *has = true;
        room.copy_from_slice(&s.bytes);
        part.missing = part.missing.saturating_sub(1);
        (self.vain, self.nothing) = (0, 0);
        self.waits = self.waits.saturating_sub(1);
        if part.missing > 0 {
            return None;
        }
        let part = self.part.take()?;
        (self.waits, self.asked_ms) = (0, None);
        let got = read(&part, here);
        if got.is_none() {
            self.turn = self.turn.wrapping_add(1);
        }
        got
    }
}

fn read(part: &Part, here: &Registers) -> Option<Got> {
    if part.whole {
        let new = Registers::load(&part.bytes).ok()?;
        let fits = new.number() == part.upto && (here.origin() == 0 || here.origin() == new.origin());
        return fits.then(|| Got::Snapshot(Box::new(new)));
    }
    let (last, commands): (Hash, Vec<Command>) = match postcard::take_from_bytes(&part.bytes) {
        Ok((read, [])) => read,
        _ => return None,
    };
    let (mut number, mut hash) = (here.number(), *here.hash());
    for command in &commands {
        number = number.checked_add(1)?;
        hash = chain(&hash, number, command);
    }
    (number == part.upto && hash == last).then_some(Got::Commands(commands))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::types::{Key, Subject, VoterId, What};
    use rand::rngs::StdRng;
    use rand::{Rng, SeedableRng};

    fn genesis() -> Registers {
        let voters = [1, 2, 3].map(|front| VoterId { front, store: 9 });
        Registers::genesis(&voters).expect("sound")
    }

    fn put(n: u64, body: usize) -> Command {
        let subject = Subject { space: 1, number: n % 50 };
        Command {
            key: Key(u128::from(n)),
            author: 1,
            what: What::Put { subject, expects: n.saturating_sub(49), body: vec![7; body] },
        }
    }

    /// A voter after so many entries, and what it hands out.
    fn voter(entries: u64, body: usize) -> (Registers, Source) {
        let mut r = genesis();
        let mut source = Source::new(0, &r);
        for n in 0..entries {
            let (entry, _) = r.apply(put(n, body));
            source.applied(&entry, &r);
        }
        (r, source)
    }

    /// Milliseconds until an asker has all, datagrams that came; voters change places all the while.
    fn catch_up(mut here: Registers, voters: &mut [(Registers, Source)], loss: f64) -> (Registers, u64, u64) {
        let mut random = StdRng::seed_from_u64(4);
        let (mut learner, mut datagrams) = (Learner::default(), 0);
        learner.told(voters[0].0.number());
        for now in (1_000..120_000).step_by(10) {
            if !learner.is_behind(&here) && here.origin() != 0 {
                return (here, now - 1_000, datagrams);
            }
            let Some((to, want)) = learner.tick(now, &here, voters.len()) else { continue };
            if random.random_bool(loss) {
                continue;
            }
            let (r, source) = &mut voters[to];
            let Reply::Pieces(pieces) = source.asked(now, 77, &want, r) else {
                learner.nothing(2);
                continue;
            };
            for p in pieces {
                datagrams += 1;
                assert!(postcard::to_stdvec(&p).expect("written").len() < 1_080);
                if !random.random_bool(loss) {
                    match learner.piece(&p, &here) {
                        Some(Got::Commands(commands)) => {
                            commands.into_iter().for_each(|c| drop(here.apply(c)));
                        }
                        Some(Got::Snapshot(new)) => here = *new,
                        None => {}
                    }
                }
            }
        }
        panic!("stands at {}", here.number());
    }

    #[test]
    fn an_asker_gets_entries_or_a_snapshot_whatever_is_lost() {
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
    fn a_fork_is_told_and_another_fleets_state_too() {
        let (r, mut source) = voter(20, 10);
        let mut want = Want { number: 10, hash: 1, origin: r.origin(), taking: None };
        assert!(matches!(source.asked(0, 5, &want, &r), Reply::Fork { number: 10, .. }));
        want.origin = 4;
        assert!(matches!(source.asked(0, 5, &want, &r), Reply::Fork { number: 0, .. }));
        (want.number, want.origin) = (21, r.origin());
        assert_eq!(source.asked(0, 5, &want, &r), Reply::Nothing);
    }

    #[test]
    fn a_stretch_that_does_not_follow_is_not_used() {
        let (r, mut source) = voter(20, 10);
        let mut here = genesis();
        for n in 0..4 {
            here.apply(put(n, 10));
        }
        let want = Want { number: 4, hash: first8(here.hash()), origin: r.origin(), taking: None };
        let Reply::Pieces(pieces) = source.asked(0, 5, &want, &r) else { panic!() };
        let mut learner = Learner::default();
        for p in &pieces {
            let mut other = p.clone();
            if let Some(b) = other.bytes.get_mut(40) {
                *b ^= 1;
            }
            assert!(learner.piece(&other, &here).is_none());
        }
        let mut further = here.clone();
        further.apply(put(4, 10));
        assert!(pieces.iter().all(|p| learner.piece(p, &further).is_none()), "never a gap");
        let got = pieces.iter().filter_map(|p| learner.piece(p, &here)).next();
        assert!(matches!(got, Some(Got::Commands(c)) if c.len() == 16));
    }

    #[test]
    fn memory_and_answers_are_bounded() {
        let (r, mut source) = voter(5_000, 2_000);
        assert!(source.entries.len() <= 2 * BASE_ENTRIES + 2 && source.held() < 4 << 20, "{}", source.held());
        let want = Want { number: 0, hash: 0, origin: 0, taking: None };
        let mut sent = 0;
        for front in 0..5_000 {
            if let Reply::Pieces(p) = source.asked(0, front, &want, &r) {
                sent += p.len();
            }
        }
        assert!(sent as u64 <= ALL_BURST && source.askers.len() <= MOST_ASKERS);
        let huge =
            Stretch { whole: true, after: 0, upto: 9, length: u32::MAX, index: 0, bytes: vec![0; PIECE] };
        assert!(Learner::default().piece(&huge, &genesis()).is_none());
    }
}
