//! Voters in one process over a network and disks that lose, delay, double and cut, all drawn from one seed; and a
//! checker of what they decide that shares nothing with them.

use pepperhook_agreement::store::{StoreOp, StoredLog};
use pepperhook_agreement::voter::{ReceiveError, StopReason, Voter, VoterOutput};
use pepperhook_agreement::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Time of a step, ms. A tick is five.
pub const STEP: u64 = 10;
pub const TICK: u64 = 50;

/// What is decided, as the world sees it: once said, it stands, whoever restarts.
#[derive(Default)]
pub struct Checker {
    pub decided: BTreeMap<u64, Command>,
    proposed: BTreeSet<u128>,
    /// Next index of each voter in its life.
    next: BTreeMap<u64, u64>,
    /// Most that each voter ever said.
    most: BTreeMap<u64, u64>,
    pub wrong: Vec<String>,
}

impl Checker {
    fn starts(&mut self, who: u64) {
        self.next.insert(who, 0);
    }

    fn decided(&mut self, who: u64, index: u64, command: &Command) {
        let next = self.next.entry(who).or_default();
        if index != *next {
            self.wrong.push(format!("{who} decided {index} where {next} was next"));
        }
        *next = index + 1;
        let most = self.most.entry(who).or_default();
        *most = (*most).max(index + 1);
        if !self.proposed.contains(&command.key.0) {
            self.wrong.push(format!("{who} decided at {index} what nobody proposed"));
        }
        let there = self.decided.entry(index).or_insert_with(|| command.clone());
        if there != command {
            self.wrong.push(format!("{who} decided at {index} {:?}, others {:?}", command.key, there.key));
        }
    }

    /// Once all is quiet, everyone has said everything again.
    fn settled(&mut self, voters: &[u64]) {
        let all = self.decided.len() as u64;
        for &who in voters {
            let has = self.next.get(&who).copied().unwrap_or(0);
            if has != all {
                self.wrong.push(format!("{who} ended with {has} of {all} decided"));
            }
        }
    }
}

/// How hostile a run is.
#[derive(Clone, Copy, Debug)]
pub struct Weather {
    pub loss: f64,
    pub double: f64,
    /// Delay of a message, ms, at most; drawn anew for each, so that they overtake.
    pub delay: u64,
    /// Share of messages that come much later.
    pub stray: f64,
    /// Time of a write, ms, at most.
    pub disk: u64,
    /// Chance in a step that something is cut, healed, killed.
    pub trouble: f64,
    /// The disks confirm and keep nothing of what came in the last moments before a kill.
    pub lying: bool,
}

pub const FAIR: Weather =
    Weather { loss: 0.0, double: 0.0, delay: 10, stray: 0.0, disk: 5, trouble: 0.0, lying: false };

struct Node {
    me: VoterId,
    voter: Option<Voter>,
    /// What a crash leaves.
    kept: StoredLog,
    /// As of the write before the last few, for a disk that lies.
    older: VecDeque<StoredLog>,
    writes: VecDeque<(u64, u64, Vec<StoreOp>)>,
    back_at: u64,
    slow: u64,
    /// Confirmed writes, for measures.
    pub syncs: u64,
}

pub struct World {
    rng: StdRng,
    pub now: u64,
    pub config: Config,
    nodes: Vec<Node>,
    /// By time and a running number.
    net: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    sent: u64,
    pub cut: BTreeSet<(usize, usize)>,
    pub weather: Weather,
    pub checker: Checker,
    keys: u128,
    pub said: u64,
    pub kills: u64,
    /// Voters are told what is not so: one may find that and stop.
    pub astray: bool,
    /// The last messages that were said, with from and to.
    pub tap: VecDeque<(usize, usize, Vec<u8>)>,
}

fn apply(kept: &mut StoredLog, ops: &[StoreOp]) {
    for op in ops {
        match op {
            StoreOp::Promise(p) => kept.promise = p.clone(),
            StoreOp::Accepted(a) => kept.accepted = a.clone(),
            StoreOp::Decided(d) => kept.decided = *d,
            StoreOp::Log { from, commands } => {
                assert!(*from as usize <= kept.commands.len(), "a gap in what was written");
                kept.commands.truncate(*from as usize);
                kept.commands.extend(commands.iter().cloned());
            }
            StoreOp::Begin { .. } => {}
        }
    }
}

pub fn config(count: usize) -> Config {
    Config {
        number: 1,
        first: 1,
        voters: (0..count as u64).map(|f| VoterId { front: f + 10, store: 7 * f + 1 }).collect(),
    }
}

impl World {
    pub fn new(count: usize, seed: u64, weather: Weather) -> Self {
        let config = config(count);
        let nodes = config
            .voters
            .iter()
            .map(|&me| Node {
                me,
                voter: None,
                kept: StoredLog::default(),
                older: VecDeque::new(),
                writes: VecDeque::new(),
                back_at: 0,
                slow: 1,
                syncs: 0,
            })
            .collect();
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            config,
            nodes,
            net: BTreeMap::new(),
            sent: 0,
            cut: BTreeSet::new(),
            weather,
            checker: Checker::default(),
            keys: 0,
            said: 0,
            kills: 0,
            astray: false,
            tap: VecDeque::new(),
        };
        (0..count).for_each(|i| world.start(i));
        world
    }

    pub fn start(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.kept.boots += 1;
        let seed = self.rng.random();
        node.voter =
            Some(Voter::new(node.me, self.config.clone(), node.kept.clone(), seed).expect("a fit voter"));
        self.checker.starts(node.me.front);
        self.pump(i);
    }

    /// Some of what was not confirmed is there all the same, as on any disk.
    pub fn kill(&mut self, i: usize, back_in: u64) {
        self.kills += 1;
        let lying = self.weather.lying;
        let node = &mut self.nodes[i];
        let boots = node.kept.boots;
        let there = self.rng.random_range(0..=node.writes.len());
        for (_, _, ops) in node.writes.drain(..).take(there) {
            apply(&mut node.kept, &ops);
        }
        if lying && let Some(older) = node.older.pop_front() {
            node.kept = older;
            node.kept.boots = boots;
        }
        node.older.clear();
        node.voter = None;
        node.back_at = self.now + back_in;
    }

    pub fn reach(&self, i: usize) -> (u32, u64) {
        self.nodes[i].voter.as_ref().map_or((0, 0), Voter::promise_and_log_len)
    }

    pub fn is_up(&self, i: usize) -> bool {
        self.nodes[i].voter.is_some()
    }

    /// Hands over a message that may never have been said.
    pub fn hand(&mut self, from: usize, to: usize, message: &[u8]) -> Option<Result<(), ReceiveError>> {
        let from = self.nodes[from].me;
        let answer = self.nodes[to].voter.as_mut().map(|v| v.receive(from, message));
        self.pump(to);
        answer
    }

    pub fn syncs(&self, i: usize) -> u64 {
        self.nodes[i].syncs
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len())
            .find(|&i| self.nodes[i].voter.as_ref().is_some_and(|v| v.leader() == Some(self.nodes[i].me)))
    }

    pub fn propose(&mut self, i: usize) -> Option<u128> {
        let body = vec![self.keys as u8; self.rng.random_range(0..300)];
        self.propose_what(i, Operation::Put { subject: Subject { space: 1, number: 0 }, expects: 0, body })
    }

    pub fn propose_what(&mut self, i: usize, operation: Operation) -> Option<u128> {
        self.keys += 1;
        let command = Command { key: Key(self.keys), author: self.nodes[i].me.front, operation };
        self.checker.proposed.insert(self.keys);
        let taken = self.nodes[i].voter.as_mut().is_some_and(|v| v.append(command));
        self.pump(i);
        taken.then_some(self.keys)
    }

    /// How many times slower this disk is.
    pub fn slow(&mut self, i: usize, times: u64) {
        self.nodes[i].slow = times;
    }

    pub fn has(&self, i: usize, key: u128) -> bool {
        let next = self.checker.next.get(&self.nodes[i].me.front).copied().unwrap_or(0);
        self.checker.decided.range(..next).any(|(_, c)| c.key.0 == key)
    }

    fn pump(&mut self, i: usize) {
        let mut out = Vec::new();
        let Some(voter) = self.nodes[i].voter.as_mut() else { return };
        voter.take_output(&mut out);
        let stopped = voter.stop_reason();
        assert!(
            stopped.is_none() || self.astray && stopped == Some(StopReason::Inconsistent),
            "stopped: {stopped:?}"
        );
        for o in out {
            match o {
                VoterOutput::Write { batch, ops } => {
                    let after = self.nodes[i].writes.back().map_or(0, |w| w.0);
                    let time = self.rng.random_range(0..=self.weather.disk) * self.nodes[i].slow;
                    self.nodes[i].writes.push_back((after.max(self.now + time), batch, ops));
                }
                VoterOutput::Send { to, message } => {
                    let j = self.config.voters.iter().position(|&v| v == to).expect("a voter");
                    self.said += 1;
                    self.tap.push_back((i, j, message.clone()));
                    if self.tap.len() > 50 {
                        self.tap.pop_front();
                    }
                    let copies = 1 + usize::from(self.rng.random_bool(self.weather.double));
                    for _ in 0..copies {
                        let lost = self.rng.random_bool(self.weather.loss);
                        if !lost && !self.cut.contains(&(i, j)) {
                            let mut at = self.now + self.rng.random_range(1..=self.weather.delay);
                            if self.rng.random_bool(self.weather.stray) {
                                at += self.rng.random_range(0..4000);
                            }
                            self.sent += 1;
                            self.net.insert((at, self.sent), (i, j, message.clone()));
                        }
                    }
                }
                VoterOutput::Decided { index, command } => {
                    self.checker.decided(self.nodes[i].me.front, index, &command);
                }
            }
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        while let Some((&(at, n), _)) = self.net.first_key_value() {
            if at > self.now {
                break;
            }
            let (i, j, message) = self.net.remove(&(at, n)).expect("there");
            let from = self.nodes[i].me;
            if let Some(voter) = self.nodes[j].voter.as_mut() {
                // Refusals are a matter of course here: old ones, doubles.
                let _ = voter.receive(from, &message);
                self.pump(j);
            }
        }
        for i in 0..self.nodes.len() {
            while self.nodes[i].writes.front().is_some_and(|w| w.0 <= self.now) {
                let node = &mut self.nodes[i];
                let (_, batch, ops) = node.writes.pop_front().expect("there");
                node.older.push_back(node.kept.clone());
                if node.older.len() > 3 {
                    node.older.pop_front();
                }
                apply(&mut node.kept, &ops);
                node.syncs += 1;
                if let Some(voter) = node.voter.as_mut() {
                    voter.written(batch, true);
                }
                self.pump(i);
            }
            if self.nodes[i].voter.is_none() && self.nodes[i].back_at <= self.now {
                self.start(i);
            }
            if (self.now / STEP + i as u64) % (TICK / STEP) == 0 {
                if let Some(voter) = self.nodes[i].voter.as_mut() {
                    voter.tick();
                }
                self.pump(i);
            }
        }
    }

    pub fn run(&mut self, ticks: u64) {
        (0..ticks * TICK / STEP).for_each(|_| self.step());
    }

    /// Cuts, heals, kills, slows disks down, proposes.
    pub fn trouble(&mut self) {
        let count = self.nodes.len();
        if self.rng.random_bool(0.05) {
            let i = self.rng.random_range(0..count);
            self.propose(i);
        }
        if !self.rng.random_bool(self.weather.trouble) {
            return;
        }
        let (i, j) = (self.rng.random_range(0..count), self.rng.random_range(0..count));
        match self.rng.random_range(0..10) {
            0 | 1 => drop(self.cut.insert((i, j))),
            2 => self.cut.extend([(i, j), (j, i)]),
            3 => {
                // Whoever leads is reached by one only.
                let leader = self.leader().unwrap_or(i);
                for k in (0..count).filter(|&k| k != j) {
                    self.cut.extend([(k, leader), (leader, k)]);
                }
            }
            4 => {
                // All are connected through one only.
                for (a, b) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))) {
                    if a != i && b != i {
                        self.cut.insert((a, b));
                    }
                }
            }
            5 | 6 => self.cut.clear(),
            7 => self.nodes[i].slow = if self.nodes[i].slow == 1 { 20 } else { 1 },
            8 => {
                let back = self.rng.random_range(STEP..3000);
                if self.is_up(i) {
                    self.kill(i, back);
                }
            }
            _ => {
                // Power fails for all.
                for k in 0..count {
                    if self.is_up(k) {
                        let back = self.rng.random_range(STEP..500);
                        self.kill(k, back);
                    }
                }
            }
        }
    }

    /// Who stands where, for a run that stuck.
    pub fn report(&self) -> String {
        let one = |n: &Node| {
            let voter = n.voter.as_ref()?;
            Some(format!(
                "{}: leads {:?}, reach {:?}, decided {:?}\n",
                n.me.front,
                voter.leader(),
                voter.promise_and_log_len(),
                self.checker.next.get(&n.me.front)
            ))
        };
        self.nodes.iter().filter_map(one).collect()
    }

    /// Ends all trouble and waits until what is proposed then is decided by everyone. Ticks that it took.
    pub fn calm(&mut self, within: u64) -> Option<u64> {
        self.weather = Weather { lying: self.weather.lying, ..FAIR };
        self.cut.clear();
        for node in &mut self.nodes {
            node.slow = 1;
            node.back_at = node.back_at.min(self.now);
        }
        let mut keys = BTreeSet::new();
        for tick in 0..within {
            if tick % 10 == 0 {
                keys.extend(self.propose(tick as usize / 10 % self.nodes.len()));
            }
            self.run(1);
            if (0..self.nodes.len()).all(|i| keys.iter().any(|&k| self.has(i, k))) {
                // Let the last ones come round.
                self.run(40);
                let all: Vec<u64> = self.nodes.iter().map(|n| n.me.front).collect();
                self.checker.settled(&all);
                return Some(tick);
            }
        }
        None
    }
}
