//! The state of a simulated node: sessions, link, rack, warm-up and faults. The sockets are in `server`.

use crate::record::{Event, Recorder};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Settings of a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Name.
    pub name: String,
    /// Address to listen on.
    pub listen: String,
    /// Number of the rack; nodes of one rack share an uplink.
    pub rack: u32,
    /// Capacity of the node's link, kB/s.
    pub link_kb: f64,
    /// Capacity of the rack's uplink, kB/s; 0 leaves it as another node of the rack sets it.
    pub uplink_kb: f64,
    /// Rate of each rung of the ladder, kB/s, lowest first.
    pub ladder: Vec<f64>,
    /// Maximum number of sessions; more set-ups get 503.
    pub streams: f64,
    /// Typical duration of a set-up on a warm node, milliseconds.
    pub set_up_ms: f64,
    /// Share of its capacity that a cold node has at its start; the share grows to 1 within `cold_s` seconds.
    pub cold_share: f64,
    /// Warm-up time, seconds; 0 starts the node warm.
    pub cold_s: f64,
    /// A cold node is overloaded by set-ups at this multiple of its set-up rate during `fall_s`.
    pub fall_multiple: f64,
    /// Window over which set-ups are counted for `fall_multiple`, seconds.
    pub fall_s: f64,
    /// Interval at which the load report in answers is refreshed, milliseconds.
    pub report_ms: u64,
    /// Delay of the load that event streams report, milliseconds.
    #[serde(rename = "seen_after_ms")]
    pub load_event_delay_ms: u64,
    /// Interval between two load events (link and uplink) on an event stream, milliseconds.
    #[serde(rename = "told_every_ms")]
    pub load_event_period_ms: u64,
    /// Lease: sessions of a front's run end when that run has had no open event stream for this long, milliseconds.
    pub lease_ms: u64,
    /// Seed of the random draws (faults, durations, noise).
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

/// Faults injected at a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Share of set-ups refused with 503 without being processed.
    pub refuse: f64,
    /// Share of set-ups that fail with 500.
    pub error: f64,
    /// Share of set-ups that get no answer.
    pub hang: f64,
    /// Share of set-ups whose answer is cut off within its body.
    #[serde(rename = "half")]
    pub truncate: f64,
    /// Share of set-ups whose answer is invalid for a browser: its ICE password is too short.
    #[serde(rename = "garble")]
    pub malformed_answer: f64,
    /// Delay added to each set-up, milliseconds.
    pub slow_ms: u64,
    /// Delay of each PATCH, milliseconds.
    pub slow_patch_ms: u64,
    /// Continues a set-up after the front has closed its sending side, and answers late.
    #[serde(rename = "deaf")]
    pub ignore_half_close: bool,
    /// Drains: new set-ups get 503.
    pub drain: bool,
    /// Remaining share of the link capacity; 0 means all of it.
    #[serde(rename = "link")]
    pub link_left: f64,
    /// Remaining share of the uplink capacity; 0 means all of it.
    #[serde(rename = "uplink")]
    pub uplink_left: f64,
}

/// A command on the control port.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Command {
    /// Replaces the faults; left out, they stay as they are.
    pub faults: Option<Faults>,
    /// Demand on the uplink by nodes of this rack in other processes, kB/s.
    pub elsewhere_kb: Option<f64>,
    /// Crashes the node: connections are reset and the ports closed.
    pub die: bool,
}

/// State of a node as its control port reports it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct State {
    /// Name.
    pub name: String,
    /// Number of the rack.
    pub rack: u32,
    /// Number of sessions.
    pub sessions: usize,
    /// Sum of the rates of all sessions, kB/s.
    pub asked_kb: f64,
    /// Delivered share of these rates.
    pub delivered: f64,
    /// Mean rung over all sessions.
    pub mean_rung: f64,
    /// Set-ups received.
    pub attempts: u64,
    /// The node was overloaded while cold and no longer answers.
    #[serde(rename = "fell")]
    pub overloaded: bool,
}

/// A rack's uplink, shared by the nodes of one process; the demand of other processes is set by command.
#[derive(Debug, Default)]
pub struct Rack {
    /// Capacity, kB/s; 0 for unlimited.
    pub uplink_kb: f64,
    /// Remaining share of the capacity; 0 means all of it.
    pub share_left: f64,
    /// Demand of the nodes of this process by name, kB/s.
    pub demand_kb: BTreeMap<String, f64>,
    /// Demand of nodes in other processes, kB/s.
    pub elsewhere_kb: f64,
}

impl Rack {
    /// Demand divided by the remaining capacity.
    fn utilisation(&self) -> f64 {
        let left = if self.share_left > 0.0 { self.share_left } else { 1.0 };
        let demand_kb = self.demand_kb.values().sum::<f64>() + self.elsewhere_kb;
        if self.uplink_kb > 0.0 { demand_kb / (self.uplink_kb * left) } else { 0.0 }
    }
}

/// A session at a node.
pub struct Session {
    /// The `o=` line of its offer.
    pub origin: String,
    /// The front and its run that set the session up: the value of the `Via` header.
    pub run: String,
    /// Title.
    pub title: String,
    /// Current rung.
    pub rung: u8,
    /// User fragment of the ICE session.
    pub ufrag: String,
    /// Entity tag of the ICE session.
    pub etag: String,
    /// When the session was set up. If its connection fails soon after, the front may not have got the answer.
    pub created_at: Instant,
}

/// Outcome drawn for a set-up.
pub enum SetUpOutcome {
    /// 503 without processing.
    Refuse,
    /// 500.
    Error,
    /// No answer.
    Hang,
    /// An answer cut off within its body.
    Truncate,
    /// The session is set up after this time.
    SetUp(Duration),
}

/// A node.
pub struct Node {
    pub options: Options,
    pub faults: Faults,
    pub sessions: BTreeMap<String, Session>,
    pub rack: Rc<RefCell<Rack>>,
    pub recorder: Recorder,
    /// By run of a front: the number of open event streams, and when that number last changed.
    pub runs: BTreeMap<String, (usize, Instant)>,
    /// Load measurements for event streams with the time from which they are visible: delivered share, link, uplink.
    pub delayed_loads: VecDeque<(Instant, [f64; 3])>,
    /// Sessions that the node itself ended and has not reported yet, by run of a front.
    pub ended: BTreeMap<String, BTreeSet<String>>,
    /// The load report in answers and when it was made.
    report: (Instant, [f64; 3]),
    started: Instant,
    recent_set_ups: VecDeque<Instant>,
    /// Number of the latest session.
    last_session: u64,
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
            delayed_loads: VecDeque::new(),
            ended: BTreeMap::new(),
            report: (now, [0.0; 3]),
            started: now,
            recent_set_ups: VecDeque::new(),
            last_session: 0,
            attempts: 0,
            overloaded: false,
            options,
        }
    }

    /// Share of its capacity that the node has reached; 1 when warm.
    fn warmth(&self) -> f64 {
        let o = &self.options;
        if o.cold_s <= 0.0 {
            return 1.0;
        }
        (o.cold_share + (1.0 - o.cold_share) * self.started.elapsed().as_secs_f64() / o.cold_s).min(1.0)
    }

    /// The true rate of a session, kB/s: 85 to 115 % of its rung's rate, depending on the title.
    fn rate(&self, s: &Session) -> f64 {
        let percent = s.title.bytes().fold(7u32, |h, b| h.wrapping_mul(31).wrapping_add(u32::from(b))) % 31;
        let listed = self.options.ladder.get(usize::from(s.rung)).or(self.options.ladder.last()).copied();
        listed.unwrap_or(0.0) * (0.85 + f64::from(percent) / 100.0)
    }

    /// Sum of the rates of all sessions, kB/s.
    pub fn demand_kb(&self) -> f64 {
        self.sessions.values().map(|s| self.rate(s)).sum()
    }

    fn link_kb(&self) -> f64 {
        let left = if self.faults.link_left > 0.0 { self.faults.link_left } else { 1.0 };
        self.options.link_kb * left * self.warmth()
    }

    /// Current load: delivered share, utilisation of the link, utilisation of the uplink.
    pub fn measure(&self) -> [f64; 3] {
        let demand_kb = self.demand_kb();
        let mut rack = self.rack.borrow_mut();
        rack.demand_kb.insert(self.options.name.clone(), demand_kb);
        let (link, uplink) = (demand_kb / self.link_kb().max(1.0), rack.utilisation());
        [(1.0 / link.max(uplink).max(1.0)).min(1.0), link, uplink]
    }

    /// The load report in answers: sessions, noisy link and uplink utilisation; refreshed every `report_ms`.
    pub fn load_report(&mut self) -> [f64; 3] {
        if self.report.0.elapsed() >= Duration::from_millis(self.options.report_ms) || self.attempts < 2 {
            let [_, link, uplink] = self.measure();
            let mut noisy = |x: f64| x * self.rng.random_range(0.95..1.05);
            self.report = (Instant::now(), [self.sessions.len() as f64, noisy(link), noisy(uplink)]);
        }
        self.report.1
    }

    /// Measures the load for event streams, which report it after `load_event_delay_ms`.
    pub fn record_load(&mut self) {
        let load = self.measure();
        let delay = Duration::from_millis(self.options.load_event_delay_ms);
        self.delayed_loads.push_back((Instant::now() + delay, load));
        while self.delayed_loads.len() > 64 {
            self.delayed_loads.pop_front();
        }
    }

    /// The latest load measurement that event streams may report.
    pub fn visible_load(&self) -> Option<[f64; 3]> {
        let now = Instant::now();
        self.delayed_loads.iter().rev().find(|(at, _)| *at <= now).map(|(_, load)| *load)
    }

    /// Counts a set-up. A cold node is overloaded if the window holds more than `fall_multiple` times the set-ups
    /// of its rate. Returns whether the node is overloaded.
    pub fn count_set_up(&mut self) -> bool {
        self.attempts += 1;
        let (now, o) = (Instant::now(), &self.options);
        self.recent_set_ups.push_back(now);
        while self.recent_set_ups.front().is_some_and(|t| now - *t > Duration::from_secs_f64(o.fall_s)) {
            self.recent_set_ups.pop_front();
        }
        if self.warmth() < 1.0 && !self.overloaded {
            let rate_per_s = o.streams / o.cold_s * self.warmth();
            // Three set-ups of slack for chance, as in the rule that rehearsals check.
            let limit = o.fall_multiple * rate_per_s * o.fall_s + 3.0;
            if self.recent_set_ups.len() as f64 > limit {
                self.overloaded = true;
                self.recorder.write(Event::Overloaded);
            }
        }
        self.overloaded
    }

    /// Draws the outcome of a set-up.
    pub fn draw_outcome(&mut self) -> SetUpOutcome {
        let f = self.faults;
        let draw: f64 = self.rng.random();
        let mut upper = 0.0;
        for (share, outcome) in [
            (f.refuse, SetUpOutcome::Refuse),
            (f.error, SetUpOutcome::Error),
            (f.hang, SetUpOutcome::Hang),
            (f.truncate, SetUpOutcome::Truncate),
        ] {
            upper += share;
            if draw < upper {
                return outcome;
            }
        }
        if f.drain || self.sessions.len() as f64 >= self.options.streams {
            return SetUpOutcome::Refuse;
        }
        let ms = self.options.set_up_ms * self.rng.random_range(0.6..1.8) / self.warmth();
        SetUpOutcome::SetUp(Duration::from_micros((ms * 1_000.0) as u64) + Duration::from_millis(f.slow_ms))
    }

    /// Draws whether an answer is malformed.
    pub fn draw_malformed(&mut self) -> bool {
        let draw: f64 = self.rng.random();
        draw < self.faults.malformed_answer
    }

    /// Adds a session; returns its id.
    pub fn add_session(&mut self, mut session: Session) -> String {
        self.last_session += 1;
        let id = format!("{:x}-{:08x}", self.last_session, self.rng.random::<u32>());
        session.etag = format!("\"{id}-0\"");
        self.sessions.insert(id.clone(), session);
        id
    }

    /// Ends a session; `notify` reports that on the event streams of its front. Returns whether it existed.
    pub fn end(&mut self, id: &str, reason: &str, notify: bool) -> bool {
        let Some(s) = self.sessions.remove(id) else { return false };
        self.recorder.write(Event::SessionEnded { origin: s.origin, reason: reason.into() });
        if notify {
            self.ended.entry(s.run).or_default().insert(id.to_owned());
        }
        true
    }

    /// Counts an event stream that a run of a front opened, or that closed.
    pub fn count_event_stream(&mut self, run: &str, opened: bool) {
        let (open, since) = self.runs.entry(run.to_owned()).or_insert((0, Instant::now()));
        *open = if opened { *open + 1 } else { open.saturating_sub(1) };
        *since = Instant::now();
    }

    /// Ends the sessions of runs whose lease has expired.
    pub fn expire_leases(&mut self) {
        let lease = Duration::from_millis(self.options.lease_ms);
        let runs: BTreeSet<String> = self.sessions.values().map(|s| s.run.clone()).collect();
        for run in &runs {
            self.runs.entry(run.clone()).or_insert_with(|| (0, Instant::now()));
        }
        let expired = |(open, since): &(usize, Instant)| *open == 0 && since.elapsed() > lease;
        let expired: Vec<String> =
            self.runs.iter().filter(|(_, s)| expired(s)).map(|(r, _)| r.clone()).collect();
        for run in expired {
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
            asked_kb: self.demand_kb(),
            delivered: self.measure()[0],
            mean_rung: rungs / self.sessions.len().max(1) as f64,
            attempts: self.attempts,
            overloaded: self.overloaded,
        }
    }
}
