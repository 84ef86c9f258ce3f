//! Simulates fronts in one process. Each has its own clock and disk; the network is drawn from a seed.
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

/// Length of a simulation step, in milliseconds.
pub const STEP_MS: u64 = 10;
/// Length of a lease, in milliseconds.
pub const LEASE_MS: u64 = 4_000;
/// Interval at which fronts renew their leases, in milliseconds.
pub const RENEW_MS: u64 = 500;
/// Time for which a proposal is sent again, in milliseconds.
pub const PROPOSAL_TIMEOUT_MS: u64 = 120_000;
/// Datagrams per second that the exchange accepts from one front.
const EXCHANGE_DATAGRAMS_PER_S: f64 = 128.0;

/// Model of a store's content on disk, written independently of the store.
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
                    assert_eq!(self.log.len() as u64, *from, "the log on a disk has no gap");
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
    pub started_ms: u64,
    /// The process is paused until this time, in milliseconds.
    paused_until_ms: u64,
    /// Offset of the front's clock, in milliseconds.
    clock_offset_ms: u64,
    /// Rate of the front's clock, in thousandths of the true rate.
    clock_rate: u64,
    pub disk: Disk,
    saved_disks: Vec<Disk>,
    /// Pending writes: time of the sync, batch and operations.
    writes: VecDeque<(u64, u64, Vec<StoreOp>)>,
    writes_fail: bool,
    pub lease_ms: u64,
    /// Confirmations to come, by time: the application acts on an entry some time after it was applied.
    pending_confirms: VecDeque<(u64, u64)>,
    confirmed: u64,
    /// Time from applying an entry to confirming it, in milliseconds.
    pub confirm_delay_ms: u64,
    /// Keys that it proposed in this run, with their results.
    pub proposed: BTreeMap<u128, Option<ProposalResult>>,
    pub syncs: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
/// A datagram under way: delivery time and sequence number, sender, sender's run, receiver, bytes.
struct InFlight(std::cmp::Reverse<(u64, u64)>, u64, u64, u64, Vec<u8>);

pub struct World {
    pub now: u64,
    pub seed: u64,
    pub fronts: BTreeMap<u64, Front>,
    network: BinaryHeap<InFlight>,
    sequence: u64,
    /// Directed links that deliver nothing, as (sender, receiver).
    pub cut_links: BTreeSet<(u64, u64)>,
    /// Probability that a datagram is lost.
    pub loss: f64,
    pub random: StdRng,
    pub checker: Checker,
    /// Token buckets of the receivers, by (sender, receiver): tokens and time of the last refill.
    buckets: BTreeMap<(u64, u64), (f64, u64)>,
    /// Datagrams dropped because a token bucket was empty.
    pub dropped: u64,
    /// Number of leases that expired.
    pub expired_leases: u64,
    pub bytes: u64,
    pub datagrams: u64,
    pub sent: BTreeMap<u64, u64>,
    /// Notes of all fronts: time, front, note.
    pub notes: Vec<(u64, u64, Note)>,
    voters: Vec<u64>,
    check_interval_ms: u64,
    next_key: u128,
    /// Some of the sent messages, for tests with malformed messages.
    pub recorded: Vec<Vec<u8>>,
    pub record_messages: bool,
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
                started_ms: 0,
                paused_until_ms: 0,
                clock_offset_ms: random.random_range(0..900_000),
                clock_rate: random.random_range(995..=1_005),
                disk,
                saved_disks: Vec::new(),
                writes: VecDeque::new(),
                writes_fail: false,
                lease_ms: LEASE_MS,
                pending_confirms: VecDeque::new(),
                confirmed: 0,
                confirm_delay_ms: random.random_range(0..300),
                proposed: BTreeMap::new(),
                syncs: 0,
            };
            fronts.insert(me, front);
        }
        let mut world = Self {
            now: 1_000,
            seed,
            fronts,
            network: BinaryHeap::new(),
            sequence: 0,
            cut_links: BTreeSet::new(),
            loss,
            random,
            checker: Checker::new(1),
            buckets: BTreeMap::new(),
            dropped: 0,
            expired_leases: 0,
            bytes: 0,
            datagrams: 0,
            sent: BTreeMap::new(),
            notes: Vec::new(),
            voters: (1..=voters).collect(),
            check_interval_ms: if n > 20 { 100 } else { STEP_MS },
            next_key: 0,
            recorded: Vec::new(),
            record_messages: false,
        };
        (1..=n).for_each(|me| world.restart(me));
        world
    }

    fn clock(&self, me: u64) -> u64 {
        let f = &self.fronts[&me];
        f.clock_offset_ms + self.now * f.clock_rate / 1_000
    }

    pub fn is_running(&self, me: u64) -> bool {
        let f = &self.fronts[&me];
        f.node.is_some() && f.paused_until_ms <= self.now
    }

    pub fn running(&self) -> Vec<u64> {
        self.fronts.keys().copied().filter(|f| self.is_running(*f)).collect()
    }

    pub fn node(&self, me: u64) -> &Node {
        self.fronts[&me].node.as_ref().expect("the front runs")
    }

    pub fn front(&mut self, me: u64) -> &mut Front {
        self.fronts.get_mut(&me).expect("a front with this number")
    }

    pub fn kill(&mut self, me: u64) {
        let surviving = self.random.random_range(0..3);
        let f = self.front(me);
        f.node = None;
        // A crash may leave some of the pending writes on the disk.
        let survivors: Vec<_> = f.writes.drain(..).take(surviving).collect();
        survivors.iter().for_each(|(.., ops)| f.disk.write(ops));
        f.writes_fail = false;
        f.pending_confirms.clear();
    }

    pub fn restart(&mut self, me: u64) {
        let clock = self.clock(me);
        let (now, seed, voters) = (self.now, self.seed, self.voters.clone());
        let f = self.front(me);
        f.run += 1;
        f.started_ms = now;
        f.paused_until_ms = 0;
        (f.confirmed, f.writes_fail) = (0, false);
        f.proposed.clear();
        let settings = Settings {
            me,
            run: f.run,
            voters,
            lease_ms: f.lease_ms,
            renew_ms: RENEW_MS,
            proposal_timeout_ms: PROPOSAL_TIMEOUT_MS,
            seed,
        };
        let stored = f.disk.open();
        let node = Node::new(settings, Some(stored), clock);
        f.pending_confirms = VecDeque::from([(now + f.confirm_delay_ms, node.registers().number())]);
        f.node = Some(node);
    }

    /// Sets the rate of a front's clock from now on, in thousandths of the true rate.
    pub fn set_rate(&mut self, me: u64, rate: u64) {
        let (clock, now) = (self.clock(me), self.now);
        let f = self.front(me);
        (f.clock_rate, f.clock_offset_ms) = (rate, clock - now * rate / 1_000);
    }

    /// Saves a copy of a front's disk; the last four are kept.
    pub fn save_disk_copy(&mut self, me: u64) {
        let f = self.front(me);
        let copy = f.disk.clone();
        f.saved_disks.push(copy);
        if f.saved_disks.len() > 4 {
            f.saved_disks.remove(0);
        }
    }

    /// Restarts a front with a saved copy of its store; returns whether there was one.
    pub fn restart_with_older_disk(&mut self, me: u64) -> bool {
        let f = self.front(me);
        let store = f.disk.store;
        f.saved_disks.retain(|c| c.store == store);
        let older = f.saved_disks.pop();
        if let Some(older) = &older {
            f.disk = older.clone();
        }
        self.restart(me);
        older.is_some()
    }

    /// Replaces a front's store by an empty one.
    pub fn wipe(&mut self, me: u64) {
        let store = self.random.random_range(1..u64::MAX);
        let f = self.front(me);
        f.disk = Disk { store, ..Disk::default() };
        f.saved_disks.clear();
    }

    /// Pauses a front's process.
    pub fn pause(&mut self, me: u64, ms: u64) {
        let until = self.now + ms;
        self.front(me).paused_until_ms = until;
    }

    /// All writes of a front fail until it restarts.
    pub fn fail_disk(&mut self, me: u64) {
        self.front(me).writes_fail = true;
    }

    /// The latest configuration that any front knows.
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

    /// Proposes a configuration in which front `new` replaces the voter `old`.
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
        f.node.as_mut().expect("the front runs").propose(clock, command, &mut out);
        self.process_outputs(me, out);
    }

    fn process_outputs(&mut self, me: u64, outputs: Vec<Output>) {
        for out in outputs {
            match out {
                Output::Send { to, message } => self.send(me, to, message),
                Output::Write { batch, ops } => {
                    // Most writes are quick, a few are slow.
                    let max_delay_ms = if self.random.random_bool(0.02) { 400 } else { 12 };
                    let at = self.now + self.random.random_range(1..max_delay_ms);
                    let f = self.front(me);
                    let at = f.writes.back().map_or(at, |(last, ..)| at.max(*last));
                    f.writes.push_back((at, batch, ops));
                }
                Output::Applied { entry, .. } => {
                    self.checker.applied(me, &entry);
                    let now = self.now;
                    let f = self.front(me);
                    f.pending_confirms.push_back((now + f.confirm_delay_ms, entry.number));
                }
                Output::Replaced => {
                    let now = self.now;
                    let f = self.front(me);
                    let number = f.node.as_ref().expect("the front runs").registers().number();
                    f.pending_confirms.push_back((now + f.confirm_delay_ms, number));
                }
                Output::Stable(number) => self.checker.on_stable(number),
                Output::LeaseHeld(held) => self.expired_leases += u64::from(!held),
                Output::Proposed { key, result } => {
                    if let Some(slot) = self.front(me).proposed.get_mut(&key.0) {
                        assert!(slot.is_none(), "a proposal has one result");
                        *slot = Some(result);
                    }
                }
                Output::RecreateStore => {
                    self.wipe(me);
                    let f = self.front(me);
                    f.writes.clear();
                    let stored = f.disk.open();
                    f.node.as_mut().expect("the front runs").store_recreated(stored);
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

    fn send(&mut self, me: u64, to: u64, message: Vec<u8>) {
        assert!(message.len() <= pepperhook_agreement::wire::MAX_MESSAGE_BYTES);
        *self.sent.entry(me).or_insert(0) += message.len() as u64;
        if self.record_messages && self.recorded.len() < 4_000 {
            self.recorded.push(message.clone());
        }
        (self.datagrams, self.bytes) = (self.datagrams + 1, self.bytes + message.len() as u64);
        if !self.fronts.contains_key(&to) || self.random.random_bool(self.loss) {
            return;
        }
        let copies = if self.random.random_bool(0.02) { 2 } else { 1 };
        for _ in 0..copies {
            let max_delay_ms = if self.random.random_bool(0.02) { 400 } else { 12 };
            let at = self.now + self.random.random_range(1..max_delay_ms);
            self.sequence += 1;
            let run = self.fronts[&me].run;
            self.network.push(InFlight(std::cmp::Reverse((at, self.sequence)), me, run, to, message.clone()));
        }
    }

    pub fn run_for(&mut self, ms: u64) {
        let end = self.now + ms;
        while self.now < end {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        while self.network.peek().is_some_and(|l| l.0.0.0 <= self.now) {
            let Some(InFlight(_, from, run, to, bytes)) = self.network.pop() else { break };
            if self.cut_links.contains(&(from, to)) || self.fronts[&to].node.is_none() {
                continue;
            }
            let paused_until_ms = self.fronts[&to].paused_until_ms;
            if paused_until_ms > self.now {
                // A datagram to a paused front waits in the socket's buffer, if there is room.
                if self.random.random_bool(0.3) {
                    self.sequence += 1;
                    self.network.push(InFlight(
                        std::cmp::Reverse((paused_until_ms, self.sequence)),
                        from,
                        run,
                        to,
                        bytes,
                    ));
                }
                continue;
            }
            let (tokens, at) = self.buckets.entry((from, to)).or_insert((EXCHANGE_DATAGRAMS_PER_S, self.now));
            *tokens = (*tokens + (self.now - *at) as f64 * EXCHANGE_DATAGRAMS_PER_S / 1_000.0)
                .min(EXCHANGE_DATAGRAMS_PER_S);
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
            self.process_outputs(to, out);
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
                let writes_fail = f.writes_fail;
                if !writes_fail {
                    f.disk.write(&ops);
                    f.syncs += 1;
                }
                let mut out = Vec::new();
                if let Some(node) = &mut f.node {
                    node.written(clock, batch, !writes_fail, &mut out);
                }
                self.process_outputs(me, out);
            }
            let f = self.front(me);
            let mut out = Vec::new();
            let Some(node) = &mut f.node else { continue };
            while let Some((_, number)) =
                f.pending_confirms.front().copied().filter(|confirm| confirm.0 <= now)
            {
                f.pending_confirms.pop_front();
                f.confirmed = f.confirmed.max(number);
                node.confirm(number);
            }
            node.tick(clock, &mut out);
            self.process_outputs(me, out);
        }
        if self.now % self.check_interval_ms == 0 {
            self.check_invariants();
        }
    }

    fn check_invariants(&mut self) {
        for (me, f) in &self.fronts {
            let Some(node) = &f.node else { continue };
            let clock = f.clock_offset_ms + self.now * f.clock_rate / 1_000;
            if node.holds_lease(clock) {
                self.checker.check_leaseholder(*me, f.confirmed, self.now);
            }
            let r = node.registers();
            if !node.forked() {
                self.checker.check_registers(
                    *me,
                    r.number(),
                    r.iter().map(|(s, r)| (s, r.number, r.body.as_slice())),
                );
            }
        }
    }

    /// Number of fronts that hold a lease now.
    pub fn leaseholders(&self) -> usize {
        self.fronts
            .iter()
            .filter(|(me, f)| f.node.as_ref().is_some_and(|n| n.holds_lease(self.clock(**me))))
            .count()
    }

    pub fn all_hold_leases(&self) -> bool {
        self.leaseholders() == self.fronts.len()
    }

    /// All fronts have all entries, report them as stable, hold leases and have the results of their
    /// proposals.
    pub fn converged(&self) -> bool {
        let last = self.checker.len();
        let all = self.fronts.values().map(|f| f.node.as_ref().map(|n| (n.registers().number(), n.stable())));
        all.into_iter().all(|n| n.is_some_and(|(number, stable)| number == last && stable == last))
            && self.all_hold_leases()
            && self.fronts.values().all(|f| f.proposed.values().all(Option::is_some))
    }

    /// Runs until the condition holds; returns the milliseconds that this took, or `None` after `limit_ms`.
    pub fn run_until(&mut self, limit_ms: u64, mut condition: impl FnMut(&Self) -> bool) -> Option<u64> {
        let started_ms = self.now;
        while self.now < started_ms + limit_ms {
            if condition(self) {
                return Some(self.now - started_ms);
            }
            self.run_for(STEP_MS);
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
                "{me}: run {} votes {} leader {:?} config {:?} number {} known {} confirmed {} stable {} lease {} ms grants {} min_confirmed {} watermark {:?} proposals {} stopped {} forked {}\n",
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
