//! What a stand-in node is: sessions, link, rack, warm-up, faults. No sockets here.

use crate::record::{Event, Recorder};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// A node as it starts.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Its name.
    pub name: String,
    /// Address to listen on.
    pub listen: String,
    /// Number of its rack.
    pub rack: u32,
    /// Its link, kB a second.
    pub link_kb: f64,
    /// The rack's uplink, kB a second; 0 for none of its own.
    pub uplink_kb: f64,
    /// Rates of the ladder, kB a second.
    pub ladder: Vec<f64>,
    /// Streams at most.
    pub streams: f64,
    /// A set-up takes about so long, milliseconds.
    pub set_up_ms: f64,
    /// Share of its capacity at which it starts; it is warm after `cold_s` seconds, at once where that is 0.
    pub cold_share: f64,
    /// See `cold_share`.
    pub cold_s: f64,
    /// It falls over at this multiple of its pace, for `fall_s` seconds.
    pub fall_multiple: f64,
    /// See `fall_multiple`.
    pub fall_s: f64,
    /// Its load report is made anew so often, milliseconds.
    pub report_ms: u64,
    /// What it tells on event streams is so late, milliseconds.
    #[serde(rename = "seen_after_ms")]
    pub load_event_delay_ms: u64,
    /// Time between two reports of fullness on event streams, milliseconds.
    #[serde(rename = "told_every_ms")]
    pub load_event_period_ms: u64,
    /// It ends the sessions of a front's run that has had no event stream for so long, milliseconds.
    pub lease_ms: u64,
    /// Seed of its noise.
    pub seed: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "node".into(),
            listen: "127.0.0.1:0".into(),
            rack: 0,
            link_kb: 12_000.0,
            uplink_kb: 0.0,
            ladder: vec![200.0, 350.0, 600.0, 1_000.0, 1_800.0],
            streams: 60.0,
            set_up_ms: 12.0,
            cold_share: 0.4,
            cold_s: 0.0,
            fall_multiple: 2.5,
            fall_s: 2.0,
            report_ms: 250,
            load_event_delay_ms: 500,
            load_event_period_ms: 2_500,
            lease_ms: 3_000,
            seed: 1,
        }
    }
}

/// What goes wrong at a node, as commanded.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Share of set-ups refused with 503, unseen.
    pub refuse: f64,
    /// Share of set-ups that end with 500.
    pub error: f64,
    /// Share of set-ups that never get an answer.
    pub hang: f64,
    /// Share of set-ups whose answer breaks off half way.
    #[serde(rename = "half")]
    pub truncate: f64,
    /// Share of set-ups whose answer no browser takes: its ICE password is too short.
    #[serde(rename = "garble")]
    pub malformed_answer: f64,
    /// Added to each set-up, milliseconds.
    pub slow_ms: u64,
    /// It goes on after the front has shut its side, and answers late.
    #[serde(rename = "deaf")]
    pub ignore_half_close: bool,
    /// It drains: new set-ups get 503.
    pub drain: bool,
    /// Part of the link that is left; 0 counts as whole.
    #[serde(rename = "link")]
    pub link_left: f64,
    /// Part of the uplink that is left; 0 counts as whole.
    #[serde(rename = "uplink")]
    pub uplink_left: f64,
}

/// A command on the control port.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// Faults from now on; none where left out.
    pub faults: Option<Faults>,
    /// What nodes of this rack in other processes ask of the uplink, kB a second.
    pub elsewhere_kb: Option<f64>,
    /// It dies: connections are reset, nothing is answered any more.
    pub die: bool,
}

/// What the control port tells.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    /// Its name.
    pub name: String,
    /// Number of its rack.
    pub rack: u32,
    /// Sessions that it holds.
    pub sessions: usize,
    /// What they ask, kB a second.
    pub asked_kb: f64,
    /// Share of their rates that they get.
    pub delivered: f64,
    /// Sum over sessions of the delivered share, for means.
    pub mean_rung: f64,
    /// Set-ups seen.
    pub attempts: u64,
    /// It has fallen over.
    #[serde(rename = "fell")]
    pub overloaded: bool,
}

/// A rack's uplink, shared by the nodes of one process; what others ask is told by command.
#[derive(Debug, Default)]
pub struct Rack {
    /// kB a second; 0 for none.
    pub uplink_kb: f64,
    /// Part that is left.
    pub left: f64,
    /// Asked by nodes of this process.
    pub asked: BTreeMap<String, f64>,
    /// Asked by others.
    pub elsewhere_kb: f64,
}

impl Rack {
    /// What is asked of the uplink over what it gives.
    fn used(&self) -> f64 {
        let left = if self.left > 0.0 { self.left } else { 1.0 };
        let asked = self.asked.values().sum::<f64>() + self.elsewhere_kb;
        if self.uplink_kb > 0.0 { asked / (self.uplink_kb * left) } else { 0.0 }
    }
}

/// A session at a node.
pub struct Session {
    /// The `o=` line of its offer.
    pub origin: String,
    /// The run of the front that set it up, by its `Via`.
    pub run: String,
    /// Its title.
    pub title: String,
    /// The rung in force.
    pub rung: u8,
    /// Its ICE session: user fragment and entity tag.
    pub ufrag: String,
    /// See `ufrag`.
    pub etag: String,
    /// Its connection closed without error, or it was used since; else it may never have reached the front.
    pub made: Instant,
}

/// What a set-up comes to.
pub enum Fate {
    /// 503, unseen.
    Refuse,
    /// 500.
    Error,
    /// Silence.
    Hang,
    /// Half an answer.
    Half,
    /// It is set up after this time.
    SetUp(Duration),
}

/// The node itself.
pub struct Node {
    pub options: Options,
    pub faults: Faults,
    pub sessions: BTreeMap<String, Session>,
    pub rack: Rc<RefCell<Rack>>,
    pub recorder: Recorder,
    /// What streams that each run of a front has open, and when that last changed.
    pub runs: BTreeMap<String, (usize, Instant)>,
    /// What is told on event streams, with the time from which it may be seen: delivered, link, uplink.
    pub told: VecDeque<(Instant, [f64; 3])>,
    /// Sessions that the node itself ended, by front, for its event stream.
    pub ended: BTreeMap<String, BTreeSet<String>>,
    report: (Instant, [f64; 3]),
    started: Instant,
    sent: VecDeque<Instant>,
    next: u64,
    pub attempts: u64,
    pub overloaded: bool,
    rng: StdRng,
}

impl Node {
    pub fn new(options: Options, rack: Rc<RefCell<Rack>>, recorder: Recorder) -> Self {
        let (streams, cold_share, cold_s) = (options.streams, options.cold_share, options.cold_s);
        recorder.write(Event::NodeStart { streams, cold_share, cold_s });
        let now = Instant::now();
        Self {
            rng: StdRng::seed_from_u64(options.seed),
            faults: Faults::default(),
            sessions: BTreeMap::new(),
            rack,
            recorder,
            runs: BTreeMap::new(),
            told: VecDeque::new(),
            ended: BTreeMap::new(),
            report: (now, [0.0; 3]),
            started: now,
            sent: VecDeque::new(),
            next: 0,
            attempts: 0,
            overloaded: false,
            options,
        }
    }

    /// Share of its capacity that it has reached.
    fn warmth(&self) -> f64 {
        let o = &self.options;
        if o.cold_s <= 0.0 {
            return 1.0;
        }
        (o.cold_share + (1.0 - o.cold_share) * self.started.elapsed().as_secs_f64() / o.cold_s).min(1.0)
    }

    /// True rates lie off the ladder, by title.
    fn rate(&self, s: &Session) -> f64 {
        let off = s.title.bytes().fold(7u32, |h, b| h.wrapping_mul(31).wrapping_add(u32::from(b))) % 31;
        let listed = self.options.ladder.get(usize::from(s.rung)).or(self.options.ladder.last()).copied();
        listed.unwrap_or(0.0) * (0.85 + f64::from(off) / 100.0)
    }

    /// What its sessions ask, kB a second.
    pub fn asked(&self) -> f64 {
        self.sessions.values().map(|s| self.rate(s)).sum()
    }

    fn link_kb(&self) -> f64 {
        let left = if self.faults.link_left > 0.0 { self.faults.link_left } else { 1.0 };
        self.options.link_kb * left * self.warmth()
    }

    /// Delivered share, use of the link, use of the uplink.
    pub fn measure(&self) -> [f64; 3] {
        let asked = self.asked();
        let mut rack = self.rack.borrow_mut();
        rack.asked.insert(self.options.name.clone(), asked);
        let (link, uplink) = (asked / self.link_kb().max(1.0), rack.used());
        [(1.0 / link.max(uplink).max(1.0)).min(1.0), link, uplink]
    }

    /// The load report, made anew now and then, noisy: streams, link, uplink.
    pub fn load(&mut self) -> [f64; 3] {
        if self.report.0.elapsed() >= Duration::from_millis(self.options.report_ms) || self.attempts < 2 {
            let [_, link, uplink] = self.measure();
            let mut noisy = |x: f64| x * self.rng.random_range(0.95..1.05);
            self.report = (Instant::now(), [self.sessions.len() as f64, noisy(link), noisy(uplink)]);
        }
        self.report.1
    }

    /// Measures now, to be told later.
    pub fn observe(&mut self) {
        let seen = self.measure();
        let late = Duration::from_millis(self.options.load_event_delay_ms);
        self.told.push_back((Instant::now() + late, seen));
        while self.told.len() > 64 {
            self.told.pop_front();
        }
    }

    /// The latest of what may be seen now.
    pub fn seen(&self) -> Option<[f64; 3]> {
        let now = Instant::now();
        self.told.iter().rev().find(|(at, _)| *at <= now).map(|(_, seen)| *seen)
    }

    /// Counts a set-up against the pace of a cold node; it falls over past the rule's multiple.
    pub fn pushed(&mut self) -> bool {
        self.attempts += 1;
        let (now, o) = (Instant::now(), &self.options);
        self.sent.push_back(now);
        while self.sent.front().is_some_and(|t| now - *t > Duration::from_secs_f64(o.fall_s)) {
            self.sent.pop_front();
        }
        if self.warmth() < 1.0 && !self.overloaded {
            let pace = o.streams / o.cold_s * self.warmth();
            // A little slack for chance, as the rule has it.
            let most = o.fall_multiple * pace * o.fall_s + 3.0;
            if self.sent.len() as f64 > most {
                self.overloaded = true;
                self.recorder.write(Event::Overloaded);
            }
        }
        self.overloaded
    }

    /// What a set-up that was just read will come to.
    pub fn fate(&mut self) -> Fate {
        let f = self.faults;
        let draw: f64 = self.rng.random();
        let mut from = 0.0;
        for (share, fate) in
            [(f.refuse, Fate::Refuse), (f.error, Fate::Error), (f.hang, Fate::Hang), (f.truncate, Fate::Half)]
        {
            from += share;
            if draw < from {
                return fate;
            }
        }
        if f.drain || self.sessions.len() as f64 >= self.options.streams {
            return Fate::Refuse;
        }
        let ms = self.options.set_up_ms * self.rng.random_range(0.6..1.8) / self.warmth();
        Fate::SetUp(Duration::from_micros((ms * 1_000.0) as u64) + Duration::from_millis(f.slow_ms))
    }

    /// Whether an answer is to be one that no browser takes.
    pub fn garbles(&mut self) -> bool {
        let draw: f64 = self.rng.random();
        draw < self.faults.malformed_answer
    }

    /// Holds a new session; returns its id.
    pub fn hold(&mut self, mut session: Session) -> String {
        self.next += 1;
        let id = format!("{:x}-{:08x}", self.next, self.rng.random::<u32>());
        session.etag = format!("\"{id}-0\"");
        self.sessions.insert(id.clone(), session);
        id
    }

    /// A session ends; `told`: its front is told on its event stream.
    pub fn end(&mut self, id: &str, reason: &str, told: bool) -> bool {
        let Some(s) = self.sessions.remove(id) else { return false };
        self.recorder.write(Event::SessionEnded { origin: s.origin, reason: reason.into() });
        if told {
            self.ended.entry(s.run).or_default().insert(id.to_owned());
        }
        true
    }

    /// A run of a front opened an event stream, or one of its streams closed.
    pub fn streams(&mut self, run: &str, opened: bool) {
        let (open, since) = self.runs.entry(run.to_owned()).or_insert((0, Instant::now()));
        *open = if opened { *open + 1 } else { open.saturating_sub(1) };
        *since = Instant::now();
    }

    /// Ends the sessions of runs that have had no event stream for the lease.
    pub fn sweep(&mut self) {
        let lease = Duration::from_millis(self.options.lease_ms);
        let held: BTreeSet<String> = self.sessions.values().map(|s| s.run.clone()).collect();
        for run in &held {
            self.runs.entry(run.clone()).or_insert_with(|| (0, Instant::now()));
        }
        let lost = |(open, since): &(usize, Instant)| *open == 0 && since.elapsed() > lease;
        let gone: Vec<String> = self.runs.iter().filter(|(_, s)| lost(s)).map(|(r, _)| r.clone()).collect();
        for run in gone {
            self.runs.remove(&run);
            self.ended.remove(&run);
            let ids: Vec<String> =
                self.sessions.iter().filter(|(_, s)| s.run == run).map(|(id, _)| id.clone()).collect();
            ids.iter().for_each(|id| {
                self.end(id, "lease", false);
            });
        }
    }

    pub fn state(&self) -> State {
        let rungs: f64 = self.sessions.values().map(|s| f64::from(s.rung)).sum();
        State {
            name: self.options.name.clone(),
            rack: self.options.rack,
            sessions: self.sessions.len(),
            asked_kb: self.asked(),
            delivered: self.measure()[0],
            mean_rung: rungs / self.sessions.len().max(1) as f64,
            attempts: self.attempts,
            overloaded: self.overloaded,
        }
    }
}
