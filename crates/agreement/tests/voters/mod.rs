//! Simulates voters in one process. The network loses, delays, duplicates and blocks messages, and disks are
//! slow or lose writes, all drawn from one seed. A checker that shares no logic with the voters verifies what
//! they decide.

use pepperhook_agreement::store::{StoreOp, StoredLog};
use pepperhook_agreement::voter::{ReceiveError, StopReason, Voter, VoterOutput};
use pepperhook_agreement::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Length of a simulation step, in milliseconds.
pub const STEP_MS: u64 = 10;
/// Length of a voter's tick, in milliseconds.
pub const TICK_MS: u64 = 50;

/// The decided entries. Once any voter has reported an entry as decided it must not change, whoever restarts.
#[derive(Default)]
pub struct Checker {
    pub decided: BTreeMap<u64, Command>,
    proposed: BTreeSet<u128>,
    /// Next index that each voter reports since its last start.
    next: BTreeMap<u64, u64>,
    /// Number of entries that each voter has ever reported.
    highest: BTreeMap<u64, u64>,
    pub violations: Vec<String>,
}

impl Checker {
    fn on_start(&mut self, voter: u64) {
        self.next.insert(voter, 0);
    }

    fn on_decided(&mut self, voter: u64, index: u64, command: &Command) {
        let next = self.next.entry(voter).or_default();
        if index != *next {
            self.violations.push(format!("voter {voter} reported index {index}, expected {next}"));
        }
        *next = index + 1;
        let highest = self.highest.entry(voter).or_default();
        *highest = (*highest).max(index + 1);
        if !self.proposed.contains(&command.key.0) {
            self.violations
                .push(format!("voter {voter} decided a command at index {index} that was never proposed"));
        }
        let known = self.decided.entry(index).or_insert_with(|| command.clone());
        if known != command {
            self.violations.push(format!(
                "voter {voter} decided {:?} at index {index}, others {:?}",
                command.key, known.key
            ));
        }
    }

    /// Checks at the end, without faults, that every voter has reported all entries since its last start.
    fn check_complete(&mut self, voters: &[u64]) {
        let all = self.decided.len() as u64;
        for &voter in voters {
            let reported = self.next.get(&voter).copied().unwrap_or(0);
            if reported != all {
                self.violations.push(format!("voter {voter} ended with {reported} of {all} decided entries"));
            }
        }
    }
}

/// Faults of a run.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is duplicated.
    pub duplicate: f64,
    /// Maximum delay of a message, in milliseconds; drawn for each message, which reorders them.
    pub max_delay_ms: u64,
    /// Probability that a message is delayed by up to 4 s more.
    pub long_delay: f64,
    /// Maximum time of a disk write, in milliseconds.
    pub max_write_ms: u64,
    /// Probability per step that a link, a voter or a disk changes.
    pub change: f64,
    /// Disks confirm writes but lose the last few when the voter is killed.
    pub disks_lose_writes: bool,
}

/// No faults: short delays only.
pub const FAULTLESS: Faults = Faults {
    loss: 0.0,
    duplicate: 0.0,
    max_delay_ms: 10,
    long_delay: 0.0,
    max_write_ms: 5,
    change: 0.0,
    disks_lose_writes: false,
};

struct Node {
    me: VoterId,
    voter: Option<Voter>,
    /// Content of the disk, which survives a crash.
    disk: StoredLog,
    /// Content before each of the last writes, for disks that lose writes.
    older: VecDeque<StoredLog>,
    /// Pending writes: time of the sync, batch and operations.
    writes: VecDeque<(u64, u64, Vec<StoreOp>)>,
    restart_at_ms: u64,
    /// Factor on the time of a write.
    disk_slowdown: u64,
    /// Number of confirmed writes, for measurements.
    pub syncs: u64,
}

pub struct World {
    rng: StdRng,
    pub now: u64,
    pub config: Config,
    nodes: Vec<Node>,
    /// Messages under way, by delivery time and sequence number: sender, receiver, bytes.
    network: BTreeMap<(u64, u64), (usize, usize, Vec<u8>)>,
    sequence: u64,
    /// Directed links that deliver nothing, as (sender, receiver).
    pub cut_links: BTreeSet<(usize, usize)>,
    pub faults: Faults,
    pub checker: Checker,
    /// Key of the last proposed command.
    last_key: u128,
    /// Number of messages that voters sent.
    pub messages_sent: u64,
    pub kills: u64,
    /// Voters receive false messages: one may detect the contradiction and stop.
    pub false_messages: bool,
    /// The last messages that were sent: sender, receiver, bytes.
    pub recent: VecDeque<(usize, usize, Vec<u8>)>,
}

fn apply(stored: &mut StoredLog, ops: &[StoreOp]) {
    for op in ops {
        match op {
            StoreOp::Promise(p) => stored.promise = p.clone(),
            StoreOp::Accepted(a) => stored.accepted = a.clone(),
            StoreOp::Decided(d) => stored.decided = *d,
            StoreOp::Log { from, commands } => {
                assert!(*from as usize <= stored.commands.len(), "a written log has no gap");
                stored.commands.truncate(*from as usize);
                stored.commands.extend(commands.iter().cloned());
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
    pub fn new(count: usize, seed: u64, faults: Faults) -> Self {
        let config = config(count);
        let nodes = config
            .voters
            .iter()
            .map(|&me| Node {
                me,
                voter: None,
                disk: StoredLog::default(),
                older: VecDeque::new(),
                writes: VecDeque::new(),
                restart_at_ms: 0,
                disk_slowdown: 1,
                syncs: 0,
            })
            .collect();
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now: 0,
            config,
            nodes,
            network: BTreeMap::new(),
            sequence: 0,
            cut_links: BTreeSet::new(),
            faults,
            checker: Checker::default(),
            last_key: 0,
            messages_sent: 0,
            kills: 0,
            false_messages: false,
            recent: VecDeque::new(),
        };
        (0..count).for_each(|i| world.start(i));
        world
    }

    pub fn start(&mut self, i: usize) {
        let node = &mut self.nodes[i];
        node.disk.boots += 1;
        let seed = self.rng.random();
        node.voter =
            Some(Voter::new(node.me, self.config.clone(), node.disk.clone(), seed).expect("a valid voter"));
        self.checker.on_start(node.me.front);
        self.process_outputs(i);
    }

    /// Kills a voter, which restarts after `down_ms`. As on any disk, some of the unconfirmed writes may
    /// survive.
    pub fn kill(&mut self, i: usize, down_ms: u64) {
        self.kills += 1;
        let disks_lose_writes = self.faults.disks_lose_writes;
        let node = &mut self.nodes[i];
        let boots = node.disk.boots;
        let surviving = self.rng.random_range(0..=node.writes.len());
        for (_, _, ops) in node.writes.drain(..).take(surviving) {
            apply(&mut node.disk, &ops);
        }
        if disks_lose_writes && let Some(older) = node.older.pop_front() {
            node.disk = older;
            node.disk.boots = boots;
        }
        node.older.clear();
        node.voter = None;
        node.restart_at_ms = self.now + down_ms;
    }

    /// A voter's promised ballot and length of its log; zeros while it is down.
    pub fn promise_and_log_len(&self, i: usize) -> (u32, u64) {
        self.nodes[i].voter.as_ref().map_or((0, 0), Voter::promise_and_log_len)
    }

    pub fn is_up(&self, i: usize) -> bool {
        self.nodes[i].voter.is_some()
    }

    /// Delivers a message, which may be one that was never sent.
    pub fn deliver(&mut self, from: usize, to: usize, message: &[u8]) -> Option<Result<(), ReceiveError>> {
        let from = self.nodes[from].me;
        let result = self.nodes[to].voter.as_mut().map(|v| v.receive(from, message));
        self.process_outputs(to);
        result
    }

    pub fn syncs(&self, i: usize) -> u64 {
        self.nodes[i].syncs
    }

    pub fn leader(&self) -> Option<usize> {
        (0..self.nodes.len())
            .find(|&i| self.nodes[i].voter.as_ref().is_some_and(|v| v.leader() == Some(self.nodes[i].me)))
    }

    pub fn propose(&mut self, i: usize) -> Option<u128> {
        let body = vec![self.last_key as u8; self.rng.random_range(0..300)];
        self.propose_operation(
            i,
            Operation::Put { subject: Subject { space: 1, number: 0 }, expects: 0, body },
        )
    }

    pub fn propose_operation(&mut self, i: usize, operation: Operation) -> Option<u128> {
        self.last_key += 1;
        let command = Command { key: Key(self.last_key), author: self.nodes[i].me.front, operation };
        self.checker.proposed.insert(self.last_key);
        let accepted = self.nodes[i].voter.as_mut().is_some_and(|v| v.append(command));
        self.process_outputs(i);
        accepted.then_some(self.last_key)
    }

    /// Makes a voter's disk this many times slower.
    pub fn slow_disk(&mut self, i: usize, factor: u64) {
        self.nodes[i].disk_slowdown = factor;
    }

    /// Whether a voter has reported the command with this key as decided since its last start.
    pub fn has(&self, i: usize, key: u128) -> bool {
        let next = self.checker.next.get(&self.nodes[i].me.front).copied().unwrap_or(0);
        self.checker.decided.range(..next).any(|(_, c)| c.key.0 == key)
    }

    /// Processes a voter's outputs.
    fn process_outputs(&mut self, i: usize) {
        let mut out = Vec::new();
        let Some(voter) = self.nodes[i].voter.as_mut() else { return };
        voter.take_output(&mut out);
        let stopped = voter.stop_reason();
        assert!(
            stopped.is_none() || self.false_messages && stopped == Some(StopReason::Inconsistent),
            "voter stopped: {stopped:?}"
        );
        for o in out {
            match o {
                VoterOutput::Write { batch, ops } => {
                    let previous_ms = self.nodes[i].writes.back().map_or(0, |w| w.0);
                    let write_ms =
                        self.rng.random_range(0..=self.faults.max_write_ms) * self.nodes[i].disk_slowdown;
                    self.nodes[i].writes.push_back((previous_ms.max(self.now + write_ms), batch, ops));
                }
                VoterOutput::Send { to, message } => {
                    let j = self.config.voters.iter().position(|&v| v == to).expect("a voter");
                    self.messages_sent += 1;
                    self.recent.push_back((i, j, message.clone()));
                    if self.recent.len() > 50 {
                        self.recent.pop_front();
                    }
                    let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicate));
                    for _ in 0..copies {
                        let lost = self.rng.random_bool(self.faults.loss);
                        if !lost && !self.cut_links.contains(&(i, j)) {
                            let mut at = self.now + self.rng.random_range(1..=self.faults.max_delay_ms);
                            if self.rng.random_bool(self.faults.long_delay) {
                                at += self.rng.random_range(0..4000);
                            }
                            self.sequence += 1;
                            self.network.insert((at, self.sequence), (i, j, message.clone()));
                        }
                    }
                }
                VoterOutput::Decided { index, command } => {
                    self.checker.on_decided(self.nodes[i].me.front, index, &command);
                }
            }
        }
    }

    pub fn step(&mut self) {
        self.now += STEP_MS;
        while let Some((&(at, n), _)) = self.network.first_key_value() {
            if at > self.now {
                break;
            }
            let (i, j, message) = self.network.remove(&(at, n)).expect("an entry");
            let from = self.nodes[i].me;
            if let Some(voter) = self.nodes[j].voter.as_mut() {
                // Old and duplicated messages are refused, which is expected.
                let _ = voter.receive(from, &message);
                self.process_outputs(j);
            }
        }
        for i in 0..self.nodes.len() {
            while self.nodes[i].writes.front().is_some_and(|w| w.0 <= self.now) {
                let node = &mut self.nodes[i];
                let (_, batch, ops) = node.writes.pop_front().expect("an entry");
                node.older.push_back(node.disk.clone());
                if node.older.len() > 3 {
                    node.older.pop_front();
                }
                apply(&mut node.disk, &ops);
                node.syncs += 1;
                if let Some(voter) = node.voter.as_mut() {
                    voter.written(batch, true);
                }
                self.process_outputs(i);
            }
            if self.nodes[i].voter.is_none() && self.nodes[i].restart_at_ms <= self.now {
                self.start(i);
            }
            if (self.now / STEP_MS + i as u64) % (TICK_MS / STEP_MS) == 0 {
                if let Some(voter) = self.nodes[i].voter.as_mut() {
                    voter.tick();
                }
                self.process_outputs(i);
            }
        }
    }

    pub fn run(&mut self, ticks: u64) {
        (0..ticks * TICK_MS / STEP_MS).for_each(|_| self.step());
    }

    /// Proposes, and cuts or restores links, kills voters or changes the speed of disks, at random.
    pub fn random_fault(&mut self) {
        let count = self.nodes.len();
        if self.rng.random_bool(0.05) {
            let i = self.rng.random_range(0..count);
            self.propose(i);
        }
        if !self.rng.random_bool(self.faults.change) {
            return;
        }
        let (i, j) = (self.rng.random_range(0..count), self.rng.random_range(0..count));
        match self.rng.random_range(0..10) {
            0 | 1 => drop(self.cut_links.insert((i, j))),
            2 => self.cut_links.extend([(i, j), (j, i)]),
            3 => {
                // The leader is connected to one voter only.
                let leader = self.leader().unwrap_or(i);
                for k in (0..count).filter(|&k| k != j) {
                    self.cut_links.extend([(k, leader), (leader, k)]);
                }
            }
            4 => {
                // All voters are connected through one voter only.
                for (a, b) in (0..count).flat_map(|a| (0..count).map(move |b| (a, b))) {
                    if a != i && b != i {
                        self.cut_links.insert((a, b));
                    }
                }
            }
            5 | 6 => self.cut_links.clear(),
            7 => self.nodes[i].disk_slowdown = if self.nodes[i].disk_slowdown == 1 { 20 } else { 1 },
            8 => {
                let down_ms = self.rng.random_range(STEP_MS..3000);
                if self.is_up(i) {
                    self.kill(i, down_ms);
                }
            }
            _ => {
                // All voters lose power.
                for k in 0..count {
                    if self.is_up(k) {
                        let down_ms = self.rng.random_range(STEP_MS..500);
                        self.kill(k, down_ms);
                    }
                }
            }
        }
    }

    /// State of the voters, for a run that makes no progress.
    pub fn report(&self) -> String {
        let line = |n: &Node| {
            let voter = n.voter.as_ref()?;
            Some(format!(
                "{}: leader {:?}, promise and log length {:?}, decided {:?}\n",
                n.me.front,
                voter.leader(),
                voter.promise_and_log_len(),
                self.checker.next.get(&n.me.front)
            ))
        };
        self.nodes.iter().filter_map(line).collect()
    }

    /// Ends all faults and waits until a command that is proposed then is decided by every voter. Returns the
    /// ticks that this took, or `None` after `limit` ticks.
    pub fn recover(&mut self, limit: u64) -> Option<u64> {
        self.faults = Faults { disks_lose_writes: self.faults.disks_lose_writes, ..FAULTLESS };
        self.cut_links.clear();
        for node in &mut self.nodes {
            node.disk_slowdown = 1;
            node.restart_at_ms = node.restart_at_ms.min(self.now);
        }
        let mut keys = BTreeSet::new();
        for tick in 0..limit {
            if tick % 10 == 0 {
                keys.extend(self.propose(tick as usize / 10 % self.nodes.len()));
            }
            self.run(1);
            if (0..self.nodes.len()).all(|i| keys.iter().any(|&k| self.has(i, k))) {
                // Lets the last messages arrive.
                self.run(40);
                let all: Vec<u64> = self.nodes.iter().map(|n| n.me.front).collect();
                self.checker.check_complete(&all);
                return Some(tick);
            }
        }
        None
    }
}
