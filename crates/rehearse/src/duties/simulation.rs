//! Many fronts in one process: the very code that fronts run among themselves, on a network and clocks in memory.

use super::coverage::{Life, Probe};
use pepperhook_duties::{Counters, DEFAULT_WEIGHT, Duty, DutyKind, Target, TargetState};
use pepperhook_exchange::Keys;
use pepperhook_fleet::{Fleet, Note, Out, Settings, View};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

/// Fronts are called so often, milliseconds.
const TICK_MS: u64 = 20;
/// The clock at which a rehearsal begins, Unix milliseconds.
const BEGIN_MS: u64 = 1_800_000_000_000;

/// A fleet and what lies between.
#[derive(Clone, Debug)]
pub struct Options {
    /// Fronts.
    pub fronts: usize,
    /// Nodes.
    pub nodes: usize,
    /// Seed.
    pub seed: u64,
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// A datagram is under way between these, milliseconds; later ones overtake earlier ones.
    pub delay_ms: (u64, u64),
    /// Part of the datagrams that come twice.
    pub doubled: f64,
    /// The period of the duty, milliseconds.
    pub period_ms: u64,
    /// Who stands by acts so much later than the one before.
    pub step_ms: u64,
    /// A duty is given up after this time.
    pub limit_ms: u64,
    /// Times a period that a node may hear of all fronts.
    pub most: u32,
    /// A suspect is given up after this time.
    pub suspicion_ms: u64,
    /// A duty takes between these.
    pub takes_ms: (u64, u64),
    /// Fronts that each front is told of at its start.
    pub seeds: usize,
    /// What the fronts know as their key; one front may have another, see [`Act::Key`].
    pub key: String,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            fronts: 8,
            nodes: 12,
            seed: 1,
            loss: 0.0,
            delay_ms: (1, 8),
            doubled: 0.01,
            period_ms: 1_000,
            step_ms: 250,
            limit_ms: 500,
            most: 5,
            suspicion_ms: 3_000,
            takes_ms: (2, 10),
            seeds: 3,
            key: "rehearsal".into(),
        }
    }
}

/// Something that is done to the fleet.
#[derive(Clone, Debug)]
pub enum Act {
    /// A front is killed.
    Kill(usize),
    /// A front starts (again); it knows nothing of before.
    Start(usize),
    /// A front stands still for so long, milliseconds; what comes for it meanwhile waits.
    Stall(usize, u64),
    /// A front leaves in order.
    Leave(usize),
    /// A front's clock is set by so much, milliseconds.
    SetClock(usize, i64),
    /// These fronts and the others hear nothing of each other any more.
    Cut(BTreeSet<usize>),
    /// What the first sends no longer reaches the second.
    OneWay(usize, usize),
    /// Every front hears nothing of any other.
    CutAll,
    /// All hear each other again.
    Heal,
    /// This part of the datagrams is lost from now on.
    Loss(f64),
    /// A front's next start is with this key.
    Key(usize, String),
    /// A node dies.
    NodeDown(usize),
    /// A node is back; a new life of it.
    NodeUp(usize),
    /// A node drains, or does so no longer.
    Drain(usize, bool),
    /// Duties take between these from now on, milliseconds.
    Takes(u64, u64),
}

enum Event {
    Tick(usize, u32),
    Deliver { to: usize, from: SocketAddr, datagram: Vec<u8> },
    Ends { front: usize, generation: u32, duty: Duty, round: u64, done: bool },
    Act(Act),
}

struct Due(u64, u64, Event);
impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

struct Host {
    fleet: Option<Fleet>,
    generation: u32,
    /// Its clock less the rehearsal's.
    clock_ms: i64,
    stalled_until: u64,
    key: String,
    /// Bytes and datagrams sent in earlier runs.
    sent: (u64, u64),
    running: BTreeSet<(Duty, u64)>,
}

#[derive(Clone, Copy)]
struct NodeState {
    up: bool,
    draining: bool,
    life: u64,
    since_ms: u64,
}

/// The rehearsal.
pub struct Net {
    options: Options,
    now_ms: u64,
    queue: BinaryHeap<Reverse<Due>>,
    number: u64,
    hosts: Vec<Host>,
    nodes: Vec<NodeState>,
    cut: BTreeSet<usize>,
    one_way: BTreeSet<(usize, usize)>,
    cut_all: bool,
    rng: StdRng,
    /// What nodes heard.
    pub probes: Vec<Probe>,
    /// When nodes were there to be asked.
    lives: Vec<Life>,
    /// Readings' ages at all fronts for all nodes, sampled once a second, milliseconds.
    pub ages_ms: Vec<u64>,
    /// The same, if each front had its own readings only.
    pub own_ages_ms: Vec<u64>,
    own_at: BTreeMap<(usize, u64), u64>,
    /// Changes of the view, by front, and when.
    pub notes: Vec<(u64, usize, Note)>,
    /// Where it is set, all datagrams that are sent are kept here with their sender, as an eavesdropper would.
    pub tap: Option<Vec<(usize, Vec<u8>)>>,
    /// Most duties that ran at one node at once.
    pub most_at_once: usize,
    at_node: BTreeMap<u64, usize>,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (i / 250) as u8, (i % 250) as u8 + 1], 7_400))
}

/// The number of front `i`.
#[must_use]
pub fn number(i: usize) -> u64 {
    (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl Net {
    /// A fleet whose fronts start within the first second.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let host = |_| Host {
            fleet: None,
            generation: 0,
            clock_ms: 0,
            stalled_until: 0,
            key: options.key.clone(),
            sent: (0, 0),
            running: BTreeSet::new(),
        };
        let node = |_| NodeState { up: true, draining: false, life: 0, since_ms: 0 };
        let mut net = Self {
            now_ms: 0,
            queue: BinaryHeap::new(),
            number: 0,
            hosts: (0..options.fronts).map(host).collect(),
            nodes: (0..options.nodes).map(node).collect(),
            cut: BTreeSet::new(),
            one_way: BTreeSet::new(),
            cut_all: false,
            rng: StdRng::seed_from_u64(options.seed),
            probes: Vec::new(),
            lives: Vec::new(),
            ages_ms: Vec::new(),
            own_ages_ms: Vec::new(),
            own_at: BTreeMap::new(),
            notes: Vec::new(),
            tap: None,
            most_at_once: 0,
            at_node: BTreeMap::new(),
            options,
        };
        for i in 0..net.options.fronts {
            let at = net.rng.random_range(0..1_000);
            net.at(at, Act::Start(i));
        }
        net
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.number += 1;
        self.queue.push(Reverse(Due(at_ms, self.number, event)));
    }

    /// Does something at a time, milliseconds from the beginning.
    pub fn at(&mut self, at_ms: u64, act: Act) {
        self.push(at_ms, Event::Act(act));
    }

    /// Runs to a time.
    pub fn run(&mut self, until_ms: u64) {
        let mut sample_ms = self.now_ms.next_multiple_of(1_000);
        while self.queue.peek().is_some_and(|Reverse(due)| due.0 <= until_ms) {
            let Some(Reverse(Due(at, _, event))) = self.queue.pop() else { break };
            while sample_ms <= at {
                self.now_ms = sample_ms;
                self.sample();
                sample_ms += 1_000;
            }
            self.now_ms = at;
            self.happen(event);
        }
        self.now_ms = until_ms;
    }

    fn clock(&self, i: usize) -> u64 {
        (BEGIN_MS + self.now_ms).saturating_add_signed(self.hosts[i].clock_ms)
    }

    fn sample(&mut self) {
        for i in 0..self.hosts.len() {
            let clock = self.clock(i);
            let Some(fleet) = &self.hosts[i].fleet else { continue };
            for (n, _) in self.nodes.iter().enumerate().filter(|(_, n)| n.up && !n.draining) {
                if let Some((_, age)) = fleet.latest(clock, n as u64) {
                    self.ages_ms.push(age);
                }
                if let Some(at) = self.own_at.get(&(i, n as u64)) {
                    self.own_ages_ms.push(self.now_ms - at);
                }
            }
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Act(act) => self.act(act),
            Event::Tick(i, generation) => {
                if self.hosts[i].generation != generation || self.hosts[i].fleet.is_none() {
                    return;
                }
                let stalled = self.hosts[i].stalled_until;
                if stalled > self.now_ms {
                    return self.push(stalled, Event::Tick(i, generation));
                }
                self.with(i, |fleet, clock, out| fleet.tick(clock, out));
                self.push(self.now_ms + TICK_MS, Event::Tick(i, generation));
            }
            Event::Deliver { to, from, datagram } => {
                let stalled = self.hosts[to].stalled_until;
                if stalled > self.now_ms {
                    return self.push(stalled, Event::Deliver { to, from, datagram });
                }
                self.with(to, |fleet, clock, out| {
                    // What is thrown away is counted by the front.
                    let _ = fleet.receive(clock, from, &datagram, out);
                });
            }
            Event::Ends { front, generation, duty, round, done } => {
                let stalled = self.hosts[front].stalled_until;
                if stalled > self.now_ms {
                    return self.push(stalled, Event::Ends { front, generation, duty, round, done });
                }
                let own = self.hosts[front].generation == generation
                    && self.hosts[front].running.remove(&(duty, round));
                if !own {
                    return;
                }
                self.leave_node(duty.target);
                let node = self.nodes[duty.target as usize];
                let done = done && node.up;
                let reading = done.then(|| (node.life, vec![0.5, 0.5, 0.5]));
                if done {
                    self.own_at.insert((front, duty.target), self.now_ms);
                }
                self.with(front, |fleet, clock, out| {
                    fleet.finished(clock, duty, round, done, reading, out);
                });
            }
        }
    }

    fn leave_node(&mut self, node: u64) {
        if let Some(n) = self.at_node.get_mut(&node) {
            *n = n.saturating_sub(1);
        }
    }

    /// Calls a front and carries out what it says.
    fn with(&mut self, i: usize, call: impl FnOnce(&mut Fleet, u64, &mut Vec<Out>)) {
        let (clock, mut out) = (self.clock(i), Vec::new());
        let Some(fleet) = &mut self.hosts[i].fleet else { return };
        call(fleet, clock, &mut out);
        for o in out {
            match o {
                Out::Send(to, datagram) => self.send(i, to, datagram),
                Out::Run(duty, round, _) => self.begin(i, duty, round),
                Out::Cancel(duty, round) => {
                    if self.hosts[i].running.remove(&(duty, round)) {
                        self.leave_node(duty.target);
                    }
                }
                Out::Note(note) => self.notes.push((self.now_ms, i, note)),
                // These fronts have no copies, and agree on nothing.
                Out::Adopted(_) | Out::Lost(_) | Out::Ended(_) => {}
                Out::Write(..) | Out::Remake | Out::InForce(_) | Out::Told(..) => {}
                Out::Changed(_) | Out::Seen(..) => {}
            }
        }
    }

    /// Sends any datagram from an address, as an attacker might.
    pub fn inject(&mut self, to: usize, from: usize, datagram: Vec<u8>) {
        self.push(self.now_ms + 1, Event::Deliver { to, from: address(from), datagram });
    }

    fn send(&mut self, from: usize, to: SocketAddr, datagram: Vec<u8>) {
        if let Some(tap) = &mut self.tap {
            tap.push((from, datagram.clone()));
        }
        let octets = match to {
            SocketAddr::V4(v4) => v4.ip().octets(),
            SocketAddr::V6(_) => return,
        };
        let to = usize::from(octets[2]) * 250 + usize::from(octets[3]).saturating_sub(1);
        let apart = self.cut_all || self.cut.contains(&from) != self.cut.contains(&to);
        let lost = apart || self.one_way.contains(&(from, to)) || self.rng.random_bool(self.options.loss);
        if to >= self.hosts.len() || lost {
            return;
        }
        let times = 1 + u32::from(self.rng.random_bool(self.options.doubled));
        for _ in 0..times {
            let (low, high) = self.options.delay_ms;
            let at = self.now_ms + self.rng.random_range(low..=high);
            self.push(at, Event::Deliver { to, from: address(from), datagram: datagram.clone() });
        }
    }

    fn begin(&mut self, front: usize, duty: Duty, round: u64) {
        let node = self.nodes[duty.target as usize];
        let (low, high) = self.options.takes_ms;
        let takes = self.rng.random_range(low..=high);
        if node.up {
            let (node, front) = (format!("node-{}", duty.target), format!("front-{front}"));
            self.probes.push(Probe { t_ms: self.now_ms, node, front });
        }
        self.hosts[front].running.insert((duty, round));
        let at_once = self.at_node.entry(duty.target).or_default();
        *at_once += 1;
        self.most_at_once = self.most_at_once.max(*at_once);
        let generation = self.hosts[front].generation;
        self.push(self.now_ms + takes, Event::Ends { front, generation, duty, round, done: node.up });
    }

    fn settings(&self, i: usize) -> Settings {
        let (o, clock) = (&self.options, self.clock(i));
        let seeds = (1..=o.seeds).map(|k| (i + k) % o.fronts).filter(|j| *j != i);
        let seed = o.seed ^ number(i) ^ u64::from(self.hosts[i].generation);
        Settings {
            exchange: pepperhook_exchange::Settings {
                me: number(i),
                run: clock,
                keys: Keys::new(&self.hosts[i].key, None),
                peers: seeds.map(address).collect(),
                period_ms: 1_000,
                fanout: 2,
                seed,
            },
            view: Some(View {
                address: address(i),
                weight: DEFAULT_WEIGHT,
                fronts: o.fronts as u32,
                period_ms: 1_000,
                suspicion_ms: o.suspicion_ms,
            }),
            copies: None,
            agreed: None,
            duties: Some(pepperhook_duties::Settings {
                me: number(i),
                weight: DEFAULT_WEIGHT,
                max_fronts: o.fronts as u32,
                startup_delay_ms: 2_000,
                kinds: vec![DutyKind {
                    name: "probe".into(),
                    period_ms: o.period_ms,
                    stagger_ms: o.step_ms,
                    timeout_ms: o.limit_ms,
                    max_runs_per_period: o.most,
                    include_draining: false,
                }],
            }),
        }
    }

    fn targets(&self) -> Vec<Target> {
        let there = self.nodes.iter().enumerate().filter(|(_, n)| n.up);
        let target = |(i, n): (usize, &NodeState)| Target {
            id: i as u64,
            state: if n.draining { TargetState::Draining } else { TargetState::Ready },
            incarnation: n.life,
        };
        there.map(target).collect()
    }

    /// All fronts hear of the nodes as they are now.
    fn list(&mut self) {
        let targets = self.targets();
        for i in 0..self.hosts.len() {
            self.with(i, |fleet, clock, out| fleet.set_targets(clock, 0, &targets, out));
        }
    }

    fn close_life(&mut self, n: usize) {
        let node = self.nodes[n];
        if node.up && !node.draining {
            let life = Life { node: format!("node-{n}"), from_ms: node.since_ms, to_ms: self.now_ms };
            self.lives.push(life);
        }
    }

    fn down(&mut self, i: usize) {
        let host = &mut self.hosts[i];
        if let Some(fleet) = host.fleet.take() {
            host.sent.0 += fleet.counters().sent;
            host.sent.1 += fleet.counters().sent_bytes;
        }
        let running = std::mem::take(&mut host.running);
        host.generation += 1;
        running.iter().for_each(|(duty, _)| self.leave_node(duty.target));
        self.own_at.retain(|(front, _), _| *front != i);
    }

    fn act(&mut self, act: Act) {
        match act {
            Act::Kill(i) => self.down(i),
            Act::Start(i) => {
                self.down(i);
                let (settings, clock) = (self.settings(i), self.clock(i));
                self.hosts[i].fleet = Some(Fleet::new(settings, Vec::new(), clock));
                let (targets, generation) = (self.targets(), self.hosts[i].generation);
                self.with(i, |fleet, clock, out| fleet.set_targets(clock, 0, &targets, out));
                self.push(self.now_ms, Event::Tick(i, generation));
            }
            Act::Stall(i, ms) => self.hosts[i].stalled_until = self.now_ms + ms,
            Act::Leave(i) => {
                self.with(i, |fleet, clock, out| fleet.leave(clock, out));
                self.down(i);
            }
            Act::SetClock(i, ms) => self.hosts[i].clock_ms += ms,
            Act::Cut(some) => self.cut = some,
            Act::OneWay(from, to) => {
                self.one_way.insert((from, to));
            }
            Act::CutAll => self.cut_all = true,
            Act::Heal => {
                self.cut.clear();
                self.one_way.clear();
                self.cut_all = false;
            }
            Act::Loss(loss) => self.options.loss = loss,
            Act::Key(i, key) => self.hosts[i].key = key,
            Act::NodeDown(n) => {
                self.close_life(n);
                self.nodes[n].up = false;
                self.list();
            }
            Act::NodeUp(n) => {
                let life = self.nodes[n].life + 1;
                self.nodes[n] = NodeState { up: true, draining: false, life, since_ms: self.now_ms };
                self.list();
            }
            Act::Drain(n, draining) => {
                self.close_life(n);
                (self.nodes[n].draining, self.nodes[n].since_ms) = (draining, self.now_ms);
                self.list();
            }
            Act::Takes(low, high) => self.options.takes_ms = (low, high),
        }
    }

    // ---- what is read --------------------------------------------------------------------------

    /// Times for which nodes are to be covered between two moments.
    #[must_use]
    pub fn lives(&self, from_ms: u64, to_ms: u64) -> Vec<Life> {
        let open = self.nodes.iter().enumerate().filter(|(_, n)| n.up && !n.draining);
        let open =
            open.map(|(i, n)| Life { node: format!("node-{i}"), from_ms: n.since_ms, to_ms: self.now_ms });
        let all = self.lives.iter().cloned().chain(open);
        let within = all.map(|l| Life { from_ms: l.from_ms.max(from_ms), to_ms: l.to_ms.min(to_ms), ..l });
        within.filter(|l| l.from_ms < l.to_ms).collect()
    }

    /// What nodes heard between two moments.
    #[must_use]
    pub fn probes(&self, from_ms: u64, to_ms: u64) -> Vec<Probe> {
        self.probes.iter().filter(|p| (from_ms..to_ms).contains(&p.t_ms)).cloned().collect()
    }

    /// The fronts that a front believes to be there, itself among them; none while it is down.
    #[must_use]
    pub fn view(&self, i: usize) -> Vec<usize> {
        let Some(fleet) = &self.hosts[i].fleet else { return Vec::new() };
        let view = fleet.view();
        (0..self.hosts.len()).filter(|j| view.contains_key(&number(*j))).collect()
    }

    /// A front, while it runs.
    #[must_use]
    pub fn front(&self, i: usize) -> Option<&Fleet> {
        self.hosts[i].fleet.as_ref()
    }

    /// What became of duties at all fronts that run.
    #[must_use]
    pub fn counters(&self) -> Vec<Counters> {
        let running = self.hosts.iter().filter_map(|h| h.fleet.as_ref());
        running.filter_map(|f| f.duty_counters().cloned()).collect()
    }

    /// Datagrams and bytes sent by all fronts so far.
    #[must_use]
    pub fn sent(&self) -> (u64, u64) {
        self.hosts.iter().fold((0, 0), |sum, h| {
            let now = h.fleet.as_ref().map_or((0, 0), |f| (f.counters().sent, f.counters().sent_bytes));
            (sum.0 + h.sent.0 + now.0, sum.1 + h.sent.1 + now.1)
        })
    }

    /// Milliseconds from the beginning.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }
}
