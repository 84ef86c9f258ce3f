//! What a front remembers, as plain data, and the shape of its ladder. Nothing here decides anything.

use crate::interface::*;
use crate::window::SlidingSum;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Copy, PartialEq)]
pub enum Phase {
    Waiting,
    SettingUp,
    Playing,
}

pub struct Session {
    pub wish: SessionSpec,
    pub class: usize,
    /// As the class had it when the request came: what one request is promised never changes.
    pub aim: Time,
    pub repeat: Idempotency,
    /// Its bounds, as long as it is set up those of then and of now.
    pub floor: u8,
    pub top: u8,
    pub value: f64,
    pub rung: u8,
    pub phase: Phase,
    pub server: Option<ServerId>,
    /// Holders that were probed for it and have not answered.
    pub asked: BTreeSet<ServerId>,
    /// Servers not to be tried: those that failed it, and the one it was moved from.
    pub shun: BTreeSet<ServerId>,
    /// At the same rung as before a move, at most.
    pub cap: u8,
    pub deadline: Time,
    pub attempts: u32,
    /// When each attempt was sent and where, for classes that may repeat only within a group.
    pub first_run: Option<(Time, ServerId)>,
    pub maybe_ran: bool,
    pub since: Time,
    pub changed: Time,
    /// When it was last weighed whether its rung should rise.
    pub weighed: Time,
    pub moving: bool,
}

/// A use that was seen: what is asked over what is given, and when that was so.
#[derive(Clone, Copy)]
pub struct Reading {
    pub used: f64,
    pub at: Time,
}

pub struct Server {
    pub entry: ServerEntry,
    pub rack: u32,
    pub sessions: BTreeSet<SessionId>,
    pub own_kb: f64,
    pub changes: SlidingSum,
    pub link: Option<Reading>,
    pub streams: Option<f64>,
    pub short_at: Option<Time>,
    /// When rungs were last lowered for it.
    pub relieved_at: Time,
    pub barred_until: Time,
    pub cold_from: Option<Time>,
    /// Lost, and not yet seen to run again: it will be cold from a moment still unknown.
    pub lost: bool,
    /// When it was first seen to be gone, with no own session left there.
    pub gone_at: Option<Time>,
    pub sends: SlidingSum,
    /// When the last set-up was sent there.
    pub sent_at: Option<Time>,
}

#[derive(Default)]
pub struct Rack {
    /// Servers that the list has placed there.
    pub members: BTreeSet<ServerId>,
    pub changes: SlidingSum,
    pub uplink: Option<Reading>,
    pub alert_until: Time,
    pub moved_at: Option<Time>,
    pub short_at: Option<Time>,
    /// When rungs were last lowered for it.
    pub relieved_at: Time,
}

/// The rungs of a class worth choosing: each earns less for each kB than the one before.
pub fn worthwhile(class: &Class, ladder: &[Rung]) -> Vec<(u8, f64, f64)> {
    let mut steps: Vec<(u8, f64, f64)> = Vec::new();
    for rung in class.lowest_rung..=class.highest_rung.min((ladder.len() - 1) as u8) {
        let r = ladder[usize::from(rung)];
        let before = steps.iter().fold((0.0, 0.0), |sum, s| (sum.0 + s.1, sum.1 + s.2));
        let mut step = (rung, r.kb * class.rate_scale - before.0, r.worth - before.1);
        while let Some(last) = steps.last().copied().filter(|l| l.2 * step.1 <= step.2 * l.1) {
            step = (rung, step.1 + last.1, step.2 + last.2);
            steps.pop();
        }
        steps.push(step);
    }
    steps
}

impl Server {
    /// A server as the list names it, of which nothing else is known.
    pub fn new(entry: ServerEntry, rack: u32) -> Self {
        Self {
            entry,
            rack,
            sessions: BTreeSet::new(),
            own_kb: 0.0,
            changes: SlidingSum::default(),
            link: None,
            streams: None,
            short_at: None,
            relieved_at: 0,
            barred_until: 0,
            cold_from: entry.started,
            lost: false,
            gone_at: None,
            sends: SlidingSum::default(),
            sent_at: None,
        }
    }
}

impl Session {
    /// A request as it comes.
    pub fn new(now: Time, wish: SessionSpec, class: usize, terms: &Class, top: u8) -> Self {
        Self {
            wish,
            class,
            aim: terms.set_up_target,
            repeat: terms.idempotency,
            floor: terms.lowest_rung,
            top,
            value: terms.value,
            rung: terms.lowest_rung,
            phase: Phase::Waiting,
            server: None,
            asked: BTreeSet::new(),
            shun: BTreeSet::new(),
            cap: top,
            deadline: now.saturating_add(wish.max_wait),
            attempts: 0,
            first_run: None,
            maybe_ran: false,
            since: now,
            changed: now,
            weighed: now,
            moving: false,
        }
    }
}

impl Session {
    /// Takes over the bounds that its class has now; one that is still set up keeps to its own too. The rung that it
    /// must have instead, if any: one that plays above the top may stay there a while, but on the ladder.
    pub fn bounded(&mut self, set: &Settings) -> Option<u8> {
        let (class, last) = (&set.classes[self.class], (set.ladder.len() - 1) as u8);
        let (mut floor, mut top) = (class.lowest_rung, highest(set, self.class, &self.wish));
        let playing = self.phase == Phase::Playing;
        if playing {
            self.value = class.value;
        } else {
            top = top.min(self.top).max(floor);
            floor = floor.max(self.floor).min(top);
        }
        // A rung that a server told, and that is off the same bounds as before, is not this change's to mend.
        if (floor, top) == (self.floor, self.top) && self.rung <= last {
            return None;
        }
        (self.floor, self.top) = (floor, top);
        let was = self.rung;
        self.rung = was.max(floor).min(if playing { last } else { top });
        (self.rung != was && self.server.is_some()).then_some(self.rung)
    }
}

/// A number between 0 and 1 of the upper bits.
pub fn unit(bits: u64) -> f64 {
    (bits >> 11) as f64 / (1u64 << 53) as f64
}

/// Spreads a seed over all its bits.
pub fn scatter(seed: u64) -> u64 {
    let x = (seed ^ (seed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x ^ (x >> 29)
}

/// A server holds a title if its cell is one of those that the wish names.
pub fn holds(set: &Settings, server: &Server, wish: &SessionSpec) -> bool {
    let cells = f64::from(set.cells);
    let (home, copies) = (wish.first_cell.max(0.0).min(cells), wish.cell_count.max(0.0).min(cells));
    (f64::from(server.entry.cell) + cells - home.floor()) % cells < copies.floor()
}

/// Rate of a class on a rung, kB a second. A rung above the ladder, as a change can leave it, counts as the last.
pub fn rate(set: &Settings, class: usize, rung: u8) -> f64 {
    set.ladder[usize::from(rung).min(set.ladder.len() - 1)].kb * set.classes[class].rate_scale
}

/// Highest rung for a wish; a missing or senseless top counts as the class's floor.
pub fn highest(set: &Settings, class: usize, wish: &SessionSpec) -> u8 {
    let top = wish.highest_rung.min((set.ladder.len() - 1) as f64).max(0.0) as u8;
    top.min(set.classes[class].highest_rung).max(set.classes[class].lowest_rung)
}

/// The rungs worth choosing, for each class.
pub fn all_steps(set: &Settings) -> Vec<Vec<(u8, f64, f64)>> {
    set.classes.iter().map(|c| worthwhile(c, &set.ladder)).collect()
}

/// Own rates on a server, kB a second: who joins a live stream adds a part.
pub fn own_kb(set: &Settings, server: &Server, sessions: &BTreeMap<SessionId, Session>) -> f64 {
    let mut streams = BTreeSet::new();
    let mut own = 0.0;
    for s in server.sessions.iter().filter_map(|id| sessions.get(id)) {
        let alone = !set.classes[s.class].live || streams.insert((s.wish.title, s.class, s.rung));
        own += rate(set, s.class, s.rung) * if alone { 1.0 } else { set.shared_stream_share };
    }
    own
}

/// Sessions that play above their top, the highest above it first.
pub fn above(sessions: &BTreeMap<SessionId, Session>) -> Vec<SessionId> {
    let over = sessions.iter().filter(|(_, s)| s.phase == Phase::Playing && s.rung > s.top);
    let mut over: Vec<_> = over.map(|(id, s)| (s.rung - s.top, *id)).collect();
    over.sort_by_key(|(by, _)| std::cmp::Reverse(*by));
    over.into_iter().map(|(_, id)| id).collect()
}

/// Streams that a server runs at most; an unknown kind counts as the last one.
pub fn streams(set: &Settings, server: &Server) -> f64 {
    let kinds = &set.kind_max_streams;
    kinds[usize::from(server.entry.kind.0).min(kinds.len() - 1)]
}
