//! Fronts in one process on a seeded network, with clocks and disks of their own.
#![allow(dead_code)]

pub mod checker;

use checker::Checker;
use pepperhook_agreement::store::{StoreOp, StoredLog, StoredState};
use pepperhook_agreement::{
    Command, Config, Key, Node, Note, Operation, Output, ProposalResult, Settings, Subject, VoterId,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};

pub const STEP_MS: u64 = 10;
pub const HOLD_MS: u64 = 4_000;
pub const LOOK_MS: u64 = 500;
pub const PROPOSE_MS: u64 = 120_000;
/// Datagrams that the exchange takes from one front a second.
const TAKEN: f64 = 128.0;

/// A store as it is on the disk: a model of its own.
#[derive(Clone, Default)]
pub struct Disk {
    pub store: u64,
    pub boots: u64,
    pub config: Option<Config>,
    snapshot: Vec<u8>,
    promise: Vec<u8>,
    accepted: Vec<u8>,
    decided: u64,
    log: Vec<Command>,
}

impl Disk {
    fn write(&mut self, ops: &[StoreOp]) {
        for op in ops {
            match op {
                StoreOp::Begin { config, snapshot } => {
                    let (store, boots) = (self.store, self.boots);
                    *self = Self { store, boots, ..Self::default() };
                    (self.config, self.snapshot) = (Some(config.clone()), snapshot.clone());
                }
                StoreOp::Promise(p) => self.promise.clone_from(p),
                StoreOp::Accepted(a) => self.accepted.clone_from(a),
                StoreOp::Decided(n) => self.decided = *n,
                StoreOp::Log { from, commands } => {
                    self.log.truncate(*from as usize);
                    assert_eq!(self.log.len() as u64, *from, "no gap on a disk");
                    self.log.extend(commands.iter().cloned());
                }
            }
        }
    }

    fn open(&mut self) -> StoredState {
        self.boots += 1;
        StoredState {
            store: self.store,
            boots: self.boots,
            config: self.config.clone(),
            snapshot: self.snapshot.clone(),
            log: StoredLog {
                boots: self.boots,
                promise: self.promise.clone(),
                accepted: self.accepted.clone(),
                decided: self.decided,
                commands: self.log.clone(),
            },
        }
    }
}

pub struct Front {
    pub node: Option<Node>,
    pub run: u64,
    pub began: u64,
    still: u64,
    offset: u64,
    rate: u64,
    pub disk: Disk,
    copies: Vec<Disk>,
    /// Writes under way: when each is synced.
    writes: VecDeque<(u64, u64, Vec<StoreOp>)>,
    fails: bool,
    pub hold_ms: u64,
    /// The application goes by entries a little later.
    vouches: VecDeque<(u64, u64)>,
    vouched: u64,
    pub slow: u64,
    /// Keys that it proposed in this run, and what came of them.
    pub proposed: BTreeMap<u128, Option<ProposalResult>>,
    pub syncs: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Letter(std::cmp::Reverse<(u64, u64)>, u64, u64, u64, Vec<u8>);

pub struct World {
    pub now: u64,
    pub seed: u64,
    pub fronts: BTreeMap<u64, Front>,
    wire: BinaryHeap<Letter>,
    letters: u64,
    pub cut: BTreeSet<(u64, u64)>,
    pub loss: f64,
    pub random: StdRng,
    pub checker: Checker,
    taken: BTreeMap<(u64, u64), (f64, u64)>,
    pub dropped: u64,
    /// Holds that ran out.
    pub lapses: u64,
    pub bytes: u64,
    pub datagrams: u64,
    pub sent: BTreeMap<u64, u64>,
    pub notes: Vec<(u64, u64, Note)>,
    voters: Vec<u64>,
    judge_every: u64,
    next_key: u128,
    /// Some of what was said, for tests of hostile bytes.
    pub heard: Vec<Vec<u8>>,
    pub listen: bool,
}

impl World {
    pub fn new(n: u64, voters: u64, seed: u64, loss: f64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut fronts = BTreeMap::new();
        for me in 1..=n {
            let disk = Disk { store: random.random_range(1..u64::MAX), ..Disk::default() };
            let front = Front {
                node: None,
                run: 0,
                began: 0,
                still: 0,
                offset: random.random_range(0..900_000),
                rate: random.random_range(995..=1_005),
                disk,
                copies: Vec::new(),
                writes: VecDeque::new(),
                fails: false,
                hold_ms: HOLD_MS,
                vouches: VecDeque::new(),
                vouched: 0,
                slow: random.random_range(0..300),
                proposed: BTreeMap::new(),
                syncs: 0,
            };
            fronts.insert(me, front);
        }
        let mut world = Self {
            now: 1_000,
            seed,
            fronts,
            wire: BinaryHeap::new(),
            letters: 0,
            cut: BTreeSet::new(),
            loss,
            random,
            checker: Checker::new(1),
            taken: BTreeMap::new(),
            dropped: 0,
            lapses: 0,
            bytes: 0,
            datagrams: 0,
            sent: BTreeMap::new(),
            notes: Vec::new(),
            voters: (1..=voters).collect(),
            judge_every: if n > 20 { 100 } else { STEP_MS },
            next_key: 0,
            heard: Vec::new(),
            listen: false,
        };
        (1..=n).for_each(|me| world.restart(me));
        world
    }

    fn clock(&self, me: u64) -> u64 {
        let f = &self.fronts[&me];
        f.offset + self.now * f.rate / 1_000
    }

    pub fn runs(&self, me: u64) -> bool {
        let f = &self.fronts[&me];
        f.node.is_some() && f.still <= self.now
    }

    pub fn running(&self) -> Vec<u64> {
        self.fronts.keys().copied().filter(|f| self.runs(*f)).collect()
    }

    pub fn node(&self, me: u64) -> &Node {
        self.fronts[&me].node.as_ref().expect("it runs")
    }

    pub fn front(&mut self, me: u64) -> &mut Front {
        self.fronts.get_mut(&me).expect("named")
    }

    pub fn kill(&mut self, me: u64) {
        let kept = self.random.random_range(0..3);
        let f = self.front(me);
        f.node = None;
        // Of what was being written some may have come there.
        let some: Vec<_> = f.writes.drain(..).take(kept).collect();
        some.iter().for_each(|(.., ops)| f.disk.write(ops));
        f.fails = false;
        f.vouches.clear();
    }

    pub fn restart(&mut self, me: u64) {
        let clock = self.clock(me);
        let (now, seed, voters) = (self.now, self.seed, self.voters.clone());
        let f = self.front(me);
        f.run += 1;
        f.began = now;
        f.still = 0;
        (f.vouched, f.fails) = (0, false);
        f.proposed.clear();
        let settings = Settings {
            me,
            run: f.run,
            voters,
            lease_ms: f.hold_ms,
            renew_ms: LOOK_MS,
            proposal_timeout_ms: PROPOSE_MS,
            seed,
        };
        let kept = f.disk.open();
        let node = Node::new(settings, Some(kept), clock);
        f.vouches = VecDeque::from([(now + f.slow, node.registers().number())]);
        f.node = Some(node);
    }

    /// Its clock goes at so many thousandths of the true rate from now on.
    pub fn set_rate(&mut self, me: u64, rate: u64) {
        let (clock, now) = (self.clock(me), self.now);
        let f = self.front(me);
        (f.rate, f.offset) = (rate, clock - now * rate / 1_000);
    }

    pub fn copy_disk(&mut self, me: u64) {
        let f = self.front(me);
        let copy = f.disk.clone();
        f.copies.push(copy);
        if f.copies.len() > 4 {
            f.copies.remove(0);
        }
    }

    /// It comes back with an older copy of its store.
    pub fn restart_older(&mut self, me: u64) -> bool {
        let f = self.front(me);
        let store = f.disk.store;
        f.copies.retain(|c| c.store == store);
        let older = f.copies.pop();
        if let Some(older) = &older {
            f.disk = older.clone();
        }
        self.restart(me);
        older.is_some()
    }

    pub fn wipe(&mut self, me: u64) {
        let store = self.random.random_range(1..u64::MAX);
        let f = self.front(me);
        f.disk = Disk { store, ..Disk::default() };
        f.copies.clear();
    }

    pub fn stand_still(&mut self, me: u64, ms: u64) {
        let until = self.now + ms;
        self.front(me).still = until;
    }

    pub fn fail_disk(&mut self, me: u64) {
        self.front(me).fails = true;
    }

    /// The voters, as the furthest front knows them.
    pub fn config(&self) -> Option<Config> {
        let all = self.fronts.values().filter_map(|f| f.node.as_ref()?.registers().config());
        all.max_by_key(|c| c.number).cloned()
    }

    pub fn key(&mut self) -> Key {
        self.next_key += 1;
        Key(self.next_key << 64 | u128::from(self.seed))
    }

    pub fn put(&mut self, me: u64, number: u64, length: usize) -> Key {
        let subject = Subject { space: 1, number };
        let expects = self.node(me).registers().get(subject).map_or(0, |r| r.number);
        let key = self.key();
        let body: Vec<u8> = (0..length).map(|_| self.random.random()).collect();
        self.propose(me, Command { key, author: me, operation: Operation::Put { subject, expects, body } });
        key
    }

    /// A front takes a voter's place.
    pub fn change_voters(&mut self, me: u64, old: u64, new: u64) {
        let Some(config) = self.node(me).registers().config().cloned() else { return };
        let store = self.fronts[&new].disk.store;
        let mut voters: Vec<VoterId> = config.voters;
        if !voters.iter().any(|v| v.front == new) {
            voters.retain(|v| v.front != old);
            voters.push(VoterId { front: new, store });
            voters.sort();
        }
        let key = self.key();
        self.propose(
            me,
            Command { key, author: me, operation: Operation::Voters { expects: config.number, voters } },
        );
    }

    fn propose(&mut self, me: u64, command: Command) {
        let clock = self.clock(me);
        let mut out = Vec::new();
        let f = self.front(me);
        f.proposed.insert(command.key.0, None);
        f.node.as_mut().expect("it runs").propose(clock, command, &mut out);
        self.carry(me, out);
    }

    fn carry(&mut self, me: u64, said: Vec<Output>) {
        for out in said {
            match out {
                Output::Send { to, message } => self.post(me, to, message),
                Output::Write { batch, ops } => {
                    // Mostly quick, sometimes not.
                    let late = if self.random.random_bool(0.02) { 400 } else { 12 };
                    let at = self.now + self.random.random_range(1..late);
                    let f = self.front(me);
                    let at = f.writes.back().map_or(at, |(last, ..)| at.max(*last));
                    f.writes.push_back((at, batch, ops));
                }
                Output::Applied { entry, .. } => {
                    self.checker.applied(me, &entry);
                    let now = self.now;
                    let f = self.front(me);
                    f.vouches.push_back((now + f.slow, entry.number));
                }
                Output::Replaced => {
                    let now = self.now;
                    let f = self.front(me);
                    let number = f.node.as_ref().expect("it runs").registers().number();
                    f.vouches.push_back((now + f.slow, number));
                }
                Output::Stable(number) => self.checker.told_settled(number),
                Output::LeaseHeld(holds) => self.lapses += u64::from(!holds),
                Output::Proposed { key, result: answer } => {
                    if let Some(slot) = self.front(me).proposed.get_mut(&key.0) {
                        assert!(slot.is_none(), "a proposal is answered once");
                        *slot = Some(answer);
                    }
                }
                Output::RecreateStore => {
                    self.wipe(me);
                    let f = self.front(me);
                    f.writes.clear();
                    let kept = f.disk.open();
                    f.node.as_mut().expect("it runs").store_recreated(kept);
                }
                Output::Note(note) => {
                    if std::env::var("AGREEMENT_TELL").is_ok() {
                        println!("{} ms: front {me}: {note:?}", self.now);
                    }
                    self.notes.push((self.now, me, note));
                }
            }
        }
    }

    fn post(&mut self, me: u64, to: u64, message: Vec<u8>) {
        assert!(message.len() <= pepperhook_agreement::wire::MAX_MESSAGE_BYTES);
        *self.sent.entry(me).or_insert(0) += message.len() as u64;
        if self.listen && self.heard.len() < 4_000 {
            self.heard.push(message.clone());
        }
        (self.datagrams, self.bytes) = (self.datagrams + 1, self.bytes + message.len() as u64);
        if !self.fronts.contains_key(&to) || self.random.random_bool(self.loss) {
            return;
        }
        let copies = if self.random.random_bool(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            let late = if self.random.random_bool(0.02) { 400 } else { 12 };
            let at = self.now + self.random.random_range(1..late);
            self.letters += 1;
            let run = self.fronts[&me].run;
            self.wire.push(Letter(std::cmp::Reverse((at, self.letters)), me, run, to, message.clone()));
        }
    }

    pub fn pass(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        while self.wire.peek().is_some_and(|l| l.0.0.0 <= self.now) {
            let Some(Letter(_, from, run, to, bytes)) = self.wire.pop() else { break };
            if self.cut.contains(&(from, to)) || self.fronts[&to].node.is_none() {
                continue;
            }
            let still = self.fronts[&to].still;
            if still > self.now {
                // What comes to one that stands still waits in its socket, if there is room.
                if self.random.random_bool(0.3) {
                    self.letters += 1;
                    self.wire.push(Letter(std::cmp::Reverse((still, self.letters)), from, run, to, bytes));
                }
                continue;
            }
            let (tokens, at) = self.taken.entry((from, to)).or_insert((TAKEN, self.now));
            *tokens = (*tokens + (self.now - *at) as f64 * TAKEN / 1_000.0).min(TAKEN);
            *at = self.now;
            if *tokens < 1.0 {
                self.dropped += 1;
                continue;
            }
            *tokens -= 1.0;
            let clock = self.clock(to);
            let mut out = Vec::new();
            if let Some(node) = &mut self.front(to).node {
                node.receive(clock, from, run, &bytes, &mut out);
            }
            self.carry(to, out);
        }
        for me in self.running() {
            let clock = self.clock(me);
            let now = self.now;
            loop {
                let f = self.front(me);
                if f.writes.front().is_none_or(|w| w.0 > now) {
                    break;
                }
                let Some((_, batch, ops)) = f.writes.pop_front() else { break };
                let fails = f.fails;
                if !fails {
                    f.disk.write(&ops);
                    f.syncs += 1;
                }
                let mut out = Vec::new();
                if let Some(node) = &mut f.node {
                    node.written(clock, batch, !fails, &mut out);
                }
                self.carry(me, out);
            }
            let f = self.front(me);
            let mut out = Vec::new();
            let Some(node) = &mut f.node else { continue };
            while let Some((_, number)) = f.vouches.front().copied().filter(|v| v.0 <= now) {
                f.vouches.pop_front();
                f.vouched = f.vouched.max(number);
                node.confirm(number);
            }
            node.tick(clock, &mut out);
            self.carry(me, out);
        }
        if self.now % self.judge_every == 0 {
            self.judge();
        }
    }

    fn judge(&mut self) {
        for (me, f) in &self.fronts {
            let Some(node) = &f.node else { continue };
            let clock = f.offset + self.now * f.rate / 1_000;
            if node.holds_lease(clock) {
                self.checker.holds(*me, f.vouched, self.now);
            }
            let r = node.registers();
            if !node.forked() {
                self.checker.stands(*me, r.number(), r.iter().map(|(s, r)| (s, r.number, r.body.as_slice())));
            }
        }
    }

    /// Fronts that hold now.
    pub fn holders(&self) -> usize {
        self.fronts
            .iter()
            .filter(|(me, f)| f.node.as_ref().is_some_and(|n| n.holds_lease(self.clock(**me))))
            .count()
    }

    pub fn all_hold(&self) -> bool {
        self.holders() == self.fronts.len()
    }

    /// All have the same, and it is settled.
    pub fn converged(&self) -> bool {
        let most = self.checker.len();
        let all = self.fronts.values().map(|f| f.node.as_ref().map(|n| (n.registers().number(), n.stable())));
        all.into_iter().all(|n| n.is_some_and(|(number, settled)| number == most && settled == most))
            && self.all_hold()
            && self.fronts.values().all(|f| f.proposed.values().all(Option::is_some))
    }

    /// Passes until then; the milliseconds it took, or `None`.
    pub fn until(&mut self, within: u64, mut is: impl FnMut(&Self) -> bool) -> Option<u64> {
        let began = self.now;
        while self.now < began + within {
            if is(self) {
                return Some(self.now - began);
            }
            self.pass(STEP_MS);
        }
        None
    }

    pub fn report(&self) -> String {
        let mut text = String::new();
        for (me, f) in &self.fronts {
            let Some(node) = &f.node else {
                text += &format!("{me}: down\n");
                continue;
            };
            let v = node.view(self.clock(*me));
            text += &format!(
                "{me}: run {} votes {} leader {:?} config {:?} number {} known {} vouched {} settled {} holds {} grants {} floor {} cleared {:?} proposals {} stopped {} forked {}\n",
                f.run,
                v.votes,
                v.leader.map(|l| l.front),
                v.config.as_ref().map(|c| (
                    c.number,
                    c.first,
                    c.voters.iter().map(|v| v.front).collect::<Vec<_>>()
                )),
                v.number,
                v.known,
                v.confirmed,
                v.stable,
                v.lease_remaining_ms,
                v.grants,
                v.min_confirmed,
                v.watermark,
                v.proposals,
                v.stopped,
                v.forked
            );
        }
        text
    }
}
