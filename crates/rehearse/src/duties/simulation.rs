//! Simulates many fronts in one process: the code that fronts run among themselves, on a simulated network and clock.

use super::coverage::{Probe, ReadyInterval};
use pepperhook_duties::{Counters, DEFAULT_WEIGHT, Duty, DutyKind, Target, TargetState};
use pepperhook_exchange::Keys;
use pepperhook_fleet::{Fleet, MembershipSettings, Note, Output, Settings};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;

/// Interval of the tick of each front, milliseconds.
const TICK_MS: u64 = 20;
/// Start of the simulated clock, Unix milliseconds.
const BEGIN_MS: u64 = 1_800_000_000_000;

/// Settings of the fleet and its network.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of fronts.
    pub fronts: usize,
    /// Number of nodes.
    pub nodes: usize,
    /// Seed of all random draws.
    pub seed: u64,
    /// Share of the datagrams that is lost.
    pub loss: f64,
    /// Shortest and longest delay of a datagram, milliseconds; datagrams may overtake each other.
    pub delay_ms: (u64, u64),
    /// Share of the datagrams that are delivered twice.
    pub duplicated: f64,
    /// Period of the duty, milliseconds.
    pub period_ms: u64,
    /// Delay between consecutive stand-by fronts of a duty, milliseconds.
    pub stagger_ms: u64,
    /// Timeout of a run of the duty, milliseconds.
    pub timeout_ms: u64,
    /// Limit on the mean number of runs at a node in a period, over all fronts.
    pub max_runs_per_period: u32,
    /// Time after which a suspected front is considered down, milliseconds.
    pub suspicion_ms: u64,
    /// Shortest and longest duration of a run of the duty, milliseconds.
    pub duration_ms: (u64, u64),
    /// Number of peers in the settings of each front.
    pub seeds: usize,
    /// Shared key of the exchange; [`Action::SetKey`] changes that of one front.
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
            duplicated: 0.01,
            period_ms: 1_000,
            stagger_ms: 250,
            timeout_ms: 500,
            max_runs_per_period: 5,
            suspicion_ms: 3_000,
            duration_ms: (2, 10),
            seeds: 3,
            key: "rehearsal".into(),
        }
    }
}

/// An action on the fleet. Fronts and nodes are given by index.
#[derive(Clone, Debug)]
pub enum Action {
    /// Kills a front.
    Kill(usize),
    /// Starts or restarts a front without any state.
    Start(usize),
    /// Suspends a front for this many milliseconds; its input is queued meanwhile.
    Stall(usize, u64),
    /// A front announces that it leaves, and stops.
    Leave(usize),
    /// Shifts the clock of a front by this many milliseconds.
    ShiftClock(usize, i64),
    /// Partitions the network between these fronts and the others.
    Partition(BTreeSet<usize>),
    /// Datagrams of the first front no longer reach the second.
    CutOneWay(usize, usize),
    /// Isolates every front.
    IsolateAll,
    /// Removes all partitions.
    Heal,
    /// Sets the share of lost datagrams.
    SetLoss(f64),
    /// Sets the key of a front from its next start on.
    SetKey(usize, String),
    /// Stops a node.
    NodeDown(usize),
    /// Starts a node again with a new incarnation.
    NodeUp(usize),
    /// Lists a node as draining, or as ready again.
    Drain(usize, bool),
    /// Sets the shortest and longest duration of a run of the duty, milliseconds.
    SetDuration(u64, u64),
}

enum Event {
    Tick(usize, u32),
    Deliver { to: usize, from: SocketAddr, datagram: Vec<u8> },
    RunEnds { front: usize, generation: u32, duty: Duty, round: u64, done: bool },
    Action(Action),
}

/// A queued event: time in milliseconds, sequence number that orders events of the same time, event.
struct QueuedEvent(u64, u64, Event);
impl PartialEq for QueuedEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for QueuedEvent {}
impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for QueuedEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// A front of the simulation.
struct FrontState {
    fleet: Option<Fleet>,
    generation: u32,
    /// Offset of its clock from the simulated clock, milliseconds.
    clock_ms: i64,
    /// Suspended until this time, milliseconds.
    stalled_until_ms: u64,
    key: String,
    /// Datagrams and bytes sent in earlier runs.
    sent: (u64, u64),
    running: BTreeSet<(Duty, u64)>,
}

#[derive(Clone, Copy)]
struct NodeState {
    up: bool,
    draining: bool,
    incarnation: u64,
    since_ms: u64,
}

/// A simulated fleet.
pub struct Simulation {
    options: Options,
    now_ms: u64,
    queue: BinaryHeap<Reverse<QueuedEvent>>,
    last_sequence: u64,
    fronts: Vec<FrontState>,
    nodes: Vec<NodeState>,
    partition: BTreeSet<usize>,
    cut_one_way: BTreeSet<(usize, usize)>,
    isolate_all: bool,
    rng: StdRng,
    /// Probes that nodes received.
    pub probes: Vec<Probe>,
    /// Ended intervals in which nodes were ready.
    ready_intervals: Vec<ReadyInterval>,
    /// Age of the latest reading for each front and node, sampled once a second, milliseconds.
    pub ages_ms: Vec<u64>,
    /// The same for readings by the front itself.
    pub own_ages_ms: Vec<u64>,
    /// Time of the latest reading by the front itself, by front and node, milliseconds.
    own_read_ms: BTreeMap<(usize, u64), u64>,
    /// Changes of the view: time in milliseconds, front, change.
    pub notes: Vec<(u64, usize, Note)>,
    /// If set, collects all datagrams sent with their sender, as an eavesdropper would.
    pub tap: Option<Vec<(usize, Vec<u8>)>>,
    /// Largest number of simultaneous runs at one node.
    pub max_concurrent: usize,
    /// Number of current runs by node.
    running_at: BTreeMap<u64, usize>,
}

fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (i / 250) as u8, (i % 250) as u8 + 1], 7_400))
}

/// The member number of front `i`.
#[must_use]
pub fn number(i: usize) -> u64 {
    (i as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

impl Simulation {
    /// A fleet whose fronts start at random times within the first second.
    #[must_use]
    pub fn new(options: Options) -> Self {
        let front_state = |_| FrontState {
            fleet: None,
            generation: 0,
            clock_ms: 0,
            stalled_until_ms: 0,
            key: options.key.clone(),
            sent: (0, 0),
            running: BTreeSet::new(),
        };
        let node = |_| NodeState { up: true, draining: false, incarnation: 0, since_ms: 0 };
        let mut simulation = Self {
            now_ms: 0,
            queue: BinaryHeap::new(),
            last_sequence: 0,
            fronts: (0..options.fronts).map(front_state).collect(),
            nodes: (0..options.nodes).map(node).collect(),
            partition: BTreeSet::new(),
            cut_one_way: BTreeSet::new(),
            isolate_all: false,
            rng: StdRng::seed_from_u64(options.seed),
            probes: Vec::new(),
            ready_intervals: Vec::new(),
            ages_ms: Vec::new(),
            own_ages_ms: Vec::new(),
            own_read_ms: BTreeMap::new(),
            notes: Vec::new(),
            tap: None,
            max_concurrent: 0,
            running_at: BTreeMap::new(),
            options,
        };
        for i in 0..simulation.options.fronts {
            let at = simulation.rng.random_range(0..1_000);
            simulation.at(at, Action::Start(i));
        }
        simulation
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.last_sequence += 1;
        self.queue.push(Reverse(QueuedEvent(at_ms, self.last_sequence, event)));
    }

    /// Schedules an action, milliseconds from the start.
    pub fn at(&mut self, at_ms: u64, action: Action) {
        self.push(at_ms, Event::Action(action));
    }

    /// Runs until a time, milliseconds from the start.
    pub fn run(&mut self, until_ms: u64) {
        let mut sample_ms = self.now_ms.next_multiple_of(1_000);
        while self.queue.peek().is_some_and(|Reverse(due)| due.0 <= until_ms) {
            let Some(Reverse(QueuedEvent(at, _, event))) = self.queue.pop() else { break };
            while sample_ms <= at {
                self.now_ms = sample_ms;
                self.sample();
                sample_ms += 1_000;
            }
            self.now_ms = at;
            self.process(event);
        }
        self.now_ms = until_ms;
    }

    fn clock(&self, i: usize) -> u64 {
        (BEGIN_MS + self.now_ms).saturating_add_signed(self.fronts[i].clock_ms)
    }

    fn sample(&mut self) {
        for i in 0..self.fronts.len() {
            let clock = self.clock(i);
            let Some(fleet) = &self.fronts[i].fleet else { continue };
            for (n, _) in self.nodes.iter().enumerate().filter(|(_, n)| n.up && !n.draining) {
                if let Some((_, age)) = fleet.latest_reading(clock, n as u64) {
                    self.ages_ms.push(age);
                }
                if let Some(at) = self.own_read_ms.get(&(i, n as u64)) {
                    self.own_ages_ms.push(self.now_ms - at);
                }
            }
        }
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Action(action) => self.perform(action),
            Event::Tick(i, generation) => {
                if self.fronts[i].generation != generation || self.fronts[i].fleet.is_none() {
                    return;
                }
                let stalled = self.fronts[i].stalled_until_ms;
                if stalled > self.now_ms {
                    return self.push(stalled, Event::Tick(i, generation));
                }
                self.call_front(i, |fleet, clock, out| fleet.tick(clock, out));
                self.push(self.now_ms + TICK_MS, Event::Tick(i, generation));
            }
            Event::Deliver { to, from, datagram } => {
                let stalled = self.fronts[to].stalled_until_ms;
                if stalled > self.now_ms {
                    return self.push(stalled, Event::Deliver { to, from, datagram });
                }
                self.call_front(to, |fleet, clock, out| {
                    // The front counts rejected datagrams.
                    let _ = fleet.receive(clock, from, &datagram, out);
                });
            }
            Event::RunEnds { front, generation, duty, round, done } => {
                let stalled = self.fronts[front].stalled_until_ms;
                if stalled > self.now_ms {
                    return self.push(stalled, Event::RunEnds { front, generation, duty, round, done });
                }
                let is_current = self.fronts[front].generation == generation
                    && self.fronts[front].running.remove(&(duty, round));
                if !is_current {
                    return;
                }
                self.count_run_end(duty.target);
                let node = self.nodes[duty.target as usize];
                let done = done && node.up;
                let reading = done.then(|| (node.incarnation, vec![0.5, 0.5, 0.5]));
                if done {
                    self.own_read_ms.insert((front, duty.target), self.now_ms);
                }
                self.call_front(front, |fleet, clock, out| {
                    fleet.finish_duty(clock, duty, round, done, reading, out);
                });
            }
        }
    }

    fn count_run_end(&mut self, node: u64) {
        if let Some(n) = self.running_at.get_mut(&node) {
            *n = n.saturating_sub(1);
        }
    }

    /// Calls a front and executes its output.
    fn call_front(&mut self, i: usize, call: impl FnOnce(&mut Fleet, u64, &mut Vec<Output>)) {
        let (clock, mut out) = (self.clock(i), Vec::new());
        let Some(fleet) = &mut self.fronts[i].fleet else { return };
        call(fleet, clock, &mut out);
        for o in out {
            match o {
                Output::Send(to, datagram) => self.send(i, to, datagram),
                Output::RunDuty(duty, round, _) => self.start_run(i, duty, round),
                Output::CancelDuty(duty, round) => {
                    if self.fronts[i].running.remove(&(duty, round)) {
                        self.count_run_end(duty.target);
                    }
                }
                Output::Note(note) => self.notes.push((self.now_ms, i, note)),
                // These fronts have neither replicas nor an agreement.
                Output::Adopted(_) | Output::Lost(_) | Output::Deleted(_) => {}
                Output::WriteStore(..)
                | Output::RecreateStore
                | Output::ActivatePolicy(_)
                | Output::AnswerOperator(..) => {}
                Output::RecordChanged(_) | Output::ReadingReceived(..) => {}
            }
        }
    }

    /// Delivers a datagram with the source address of a front, as an attacker might.
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
        let partitioned = self.isolate_all || self.partition.contains(&from) != self.partition.contains(&to);
        let lost =
            partitioned || self.cut_one_way.contains(&(from, to)) || self.rng.random_bool(self.options.loss);
        if to >= self.fronts.len() || lost {
            return;
        }
        let times = 1 + u32::from(self.rng.random_bool(self.options.duplicated));
        for _ in 0..times {
            let (low, high) = self.options.delay_ms;
            let at = self.now_ms + self.rng.random_range(low..=high);
            self.push(at, Event::Deliver { to, from: address(from), datagram: datagram.clone() });
        }
    }

    fn start_run(&mut self, front: usize, duty: Duty, round: u64) {
        let node = self.nodes[duty.target as usize];
        let (low, high) = self.options.duration_ms;
        let duration = self.rng.random_range(low..=high);
        if node.up {
            let (node, front) = (format!("node-{}", duty.target), format!("front-{front}"));
            self.probes.push(Probe { t_ms: self.now_ms, node, front });
        }
        self.fronts[front].running.insert((duty, round));
        let concurrent = self.running_at.entry(duty.target).or_default();
        *concurrent += 1;
        self.max_concurrent = self.max_concurrent.max(*concurrent);
        let generation = self.fronts[front].generation;
        self.push(self.now_ms + duration, Event::RunEnds { front, generation, duty, round, done: node.up });
    }

    fn settings(&self, i: usize) -> Settings {
        let (o, clock) = (&self.options, self.clock(i));
        let seeds = (1..=o.seeds).map(|k| (i + k) % o.fronts).filter(|j| *j != i);
        let seed = o.seed ^ number(i) ^ u64::from(self.fronts[i].generation);
        Settings {
            exchange: pepperhook_exchange::Settings {
                me: number(i),
                run: clock,
                keys: Keys::new(&self.fronts[i].key, None),
                peers: seeds.map(address).collect(),
                period_ms: 1_000,
                fanout: 2,
                seed,
            },
            membership: Some(MembershipSettings {
                address: address(i),
                weight: DEFAULT_WEIGHT,
                expected_fronts: o.fronts as u32,
                probe_period_ms: 1_000,
                suspicion_timeout_ms: o.suspicion_ms,
            }),
            copies: None,
            agreement: None,
            duties: Some(pepperhook_duties::Settings {
                me: number(i),
                weight: DEFAULT_WEIGHT,
                max_fronts: o.fronts as u32,
                startup_delay_ms: 2_000,
                kinds: vec![DutyKind {
                    name: "probe".into(),
                    period_ms: o.period_ms,
                    stagger_ms: o.stagger_ms,
                    timeout_ms: o.timeout_ms,
                    max_runs_per_period: o.max_runs_per_period,
                    include_draining: false,
                }],
            }),
        }
    }

    fn targets(&self) -> Vec<Target> {
        let up = self.nodes.iter().enumerate().filter(|(_, n)| n.up);
        let target = |(i, n): (usize, &NodeState)| Target {
            id: i as u64,
            state: if n.draining { TargetState::Draining } else { TargetState::Ready },
            incarnation: n.incarnation,
        };
        up.map(target).collect()
    }

    /// Sends the current list of nodes to all fronts.
    fn publish_targets(&mut self) {
        let targets = self.targets();
        for i in 0..self.fronts.len() {
            self.call_front(i, |fleet, clock, out| fleet.set_targets(clock, 0, &targets, out));
        }
    }

    fn close_interval(&mut self, n: usize) {
        let node = self.nodes[n];
        if node.up && !node.draining {
            let interval =
                ReadyInterval { node: format!("node-{n}"), from_ms: node.since_ms, to_ms: self.now_ms };
            self.ready_intervals.push(interval);
        }
    }

    fn stop_front(&mut self, i: usize) {
        let front_state = &mut self.fronts[i];
        if let Some(fleet) = front_state.fleet.take() {
            front_state.sent.0 += fleet.exchange_counters().sent;
            front_state.sent.1 += fleet.exchange_counters().sent_bytes;
        }
        let running = std::mem::take(&mut front_state.running);
        front_state.generation += 1;
        running.iter().for_each(|(duty, _)| self.count_run_end(duty.target));
        self.own_read_ms.retain(|(front, _), _| *front != i);
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Kill(i) => self.stop_front(i),
            Action::Start(i) => {
                self.stop_front(i);
                let (settings, clock) = (self.settings(i), self.clock(i));
                self.fronts[i].fleet = Some(Fleet::new(settings, Vec::new(), clock));
                let (targets, generation) = (self.targets(), self.fronts[i].generation);
                self.call_front(i, |fleet, clock, out| fleet.set_targets(clock, 0, &targets, out));
                self.push(self.now_ms, Event::Tick(i, generation));
            }
            Action::Stall(i, ms) => self.fronts[i].stalled_until_ms = self.now_ms + ms,
            Action::Leave(i) => {
                self.call_front(i, |fleet, clock, out| fleet.leave(clock, out));
                self.stop_front(i);
            }
            Action::ShiftClock(i, ms) => self.fronts[i].clock_ms += ms,
            Action::Partition(some) => self.partition = some,
            Action::CutOneWay(from, to) => {
                self.cut_one_way.insert((from, to));
            }
            Action::IsolateAll => self.isolate_all = true,
            Action::Heal => {
                self.partition.clear();
                self.cut_one_way.clear();
                self.isolate_all = false;
            }
            Action::SetLoss(loss) => self.options.loss = loss,
            Action::SetKey(i, key) => self.fronts[i].key = key,
            Action::NodeDown(n) => {
                self.close_interval(n);
                self.nodes[n].up = false;
                self.publish_targets();
            }
            Action::NodeUp(n) => {
                let incarnation = self.nodes[n].incarnation + 1;
                self.nodes[n] = NodeState { up: true, draining: false, incarnation, since_ms: self.now_ms };
                self.publish_targets();
            }
            Action::Drain(n, draining) => {
                self.close_interval(n);
                (self.nodes[n].draining, self.nodes[n].since_ms) = (draining, self.now_ms);
                self.publish_targets();
            }
            Action::SetDuration(low, high) => self.options.duration_ms = (low, high),
        }
    }

    // ---- results ---------------------------------------------------------------------------------

    /// Intervals in which nodes were ready, between two times.
    #[must_use]
    pub fn ready_intervals(&self, from_ms: u64, to_ms: u64) -> Vec<ReadyInterval> {
        let open = self.nodes.iter().enumerate().filter(|(_, n)| n.up && !n.draining);
        let open = open.map(|(i, n)| ReadyInterval {
            node: format!("node-{i}"),
            from_ms: n.since_ms,
            to_ms: self.now_ms,
        });
        let all = self.ready_intervals.iter().cloned().chain(open);
        let within =
            all.map(|l| ReadyInterval { from_ms: l.from_ms.max(from_ms), to_ms: l.to_ms.min(to_ms), ..l });
        within.filter(|l| l.from_ms < l.to_ms).collect()
    }

    /// Probes that nodes received between two times.
    #[must_use]
    pub fn probes(&self, from_ms: u64, to_ms: u64) -> Vec<Probe> {
        self.probes.iter().filter(|p| (from_ms..to_ms).contains(&p.t_ms)).cloned().collect()
    }

    /// The fronts in the view of a front, including itself; empty while it is down.
    #[must_use]
    pub fn view(&self, i: usize) -> Vec<usize> {
        let Some(fleet) = &self.fronts[i].fleet else { return Vec::new() };
        let view = fleet.view();
        (0..self.fronts.len()).filter(|j| view.contains_key(&number(*j))).collect()
    }

    /// A front; `None` while it is down.
    #[must_use]
    pub fn front(&self, i: usize) -> Option<&Fleet> {
        self.fronts[i].fleet.as_ref()
    }

    /// Counters of duties of all running fronts.
    #[must_use]
    pub fn counters(&self) -> Vec<Counters> {
        let running = self.fronts.iter().filter_map(|h| h.fleet.as_ref());
        running.filter_map(|f| f.duty_counters().cloned()).collect()
    }

    /// Datagrams and bytes sent by all fronts so far.
    #[must_use]
    pub fn sent(&self) -> (u64, u64) {
        self.fronts.iter().fold((0, 0), |sum, h| {
            let now = h
                .fleet
                .as_ref()
                .map_or((0, 0), |f| (f.exchange_counters().sent, f.exchange_counters().sent_bytes));
            (sum.0 + h.sent.0 + now.0, sum.1 + h.sent.1 + now.1)
        })
    }

    /// Simulated time, milliseconds from the start.
    #[must_use]
    pub fn now_ms(&self) -> u64 {
        self.now_ms
    }
}
